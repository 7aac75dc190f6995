"""Tests of parsing and validating release notes."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import notes

DIGEST = 'ab' * 32
ACCOUNT = {'kind': 'account', 'name': 'a', 'rate': 5, 'burst': 10}
SERVICE = {'kind': 'service', 'name': 's', 'group': 'g'}
ROUTE = {'kind': 'route', 'path': 'p/q', 'service': 's', 'open': True}


def mistakes_of(body, operator=None):
    with pytest.raises(notes.NoteError) as caught:
        notes.parse(body, operator)
    return {m.path: m for m in caught.value.mistakes}


class TestAddedFields:
    def note(self, **fields):
        account = {**ACCOUNT, **fields}
        return notes.parse({'number': 1, 'added': [account]}, 'ana')

    def test_default_values_keep_the_digest(self):
        """Guards against refusing a resent note after an upgrade."""
        assert set(self.note().added[0].values) == {'name', 'rate', 'burst'}
        assert self.note(regions=[]).digest() == self.note().digest()
        assert self.note(regions=['r']).digest() != self.note().digest()

    def test_a_change_can_remove_the_restriction(self):
        """Guards against a restriction that no note can end."""
        changed = {'kind': 'account', 'name': 'a', 'regions': []}
        note = notes.parse({'number': 1, 'changed': [changed]}, 'ana')
        assert note.changed[0].values['regions'] == ()


class TestParse:
    def test_every_mistake_is_listed_with_its_path(self):
        """Guards against reporting only the first mistake."""
        found = mistakes_of(
            {
                'number': 0,
                'extra': 1,
                'added': [
                    {'kind': 'account', 'name': 'a b', 'rate': '5'},
                    {'kind': 'thing'},
                    {'kind': 'service', 'name': 's', 'group': 'g', 'slot': 1},
                ],
                'changed': [{'kind': 'key', 'id': 'k'}],
                'withdrawn': [{'kind': 'grant', 'account': 'a'}, 3],
            }
        )
        assert set(found) == {
            'number',
            'extra',
            'operator',
            'added[0].name',
            'added[0].rate',
            'added[0].burst',
            'added[1].kind',
            'added[2].slot',
            'changed[0].kind',
            'withdrawn[0].service',
            'withdrawn[1]',
        }
        assert found['added[0].rate'].found == "'5'"
        assert 'statements/s' in found['added[0].rate'].allowed

    def test_a_response_is_bounded(self):
        """Guards against an error response that is too large to send."""
        body = {'number': 1, **{f'x{n}': 1 for n in range(5000)}}
        with pytest.raises(notes.NoteError) as caught:
            notes.parse(body, 'ana')
        assert len(caught.value.mistakes) == notes.MAX_MISTAKES
        assert 'the note has 5000 mistakes' in caught.value.message
        assert len(caught.value.message) < 10_000

    def test_no_secret_in_a_mistake(self):
        """Guards against logging a secret that was sent as a digest."""
        key = {'kind': 'key', 'id': 'k', 'account': 'a'}
        body = {
            'number': 1,
            'added': [{**key, 'digest': 'hunter2', 'secret': 'hunter3'}],
        }
        found = mistakes_of(body, 'ana')
        assert set(found) == {'added[0].digest', 'added[0].secret'}
        assert 'hunter' not in ' '.join(map(str, found.values()))

    @pytest.mark.parametrize('number', [True, 1.0, '1', None, 2**53, -1])
    def test_number_is_an_exact_integer(self, number):
        """Guards against numbers that clients round differently."""
        assert 'number' in mistakes_of(
            {'number': number, 'added': [ACCOUNT]}, 'ana'
        )

    def test_an_item_may_occur_once(self):
        """Guards against a note whose result depends on the order."""
        body = {'number': 1, 'added': [ACCOUNT]}
        body['withdrawn'] = [{'kind': 'account', 'name': 'a'}]
        assert 'added[0]' in mistakes_of(body, 'ana')['withdrawn[0]'].allowed

    @pytest.mark.parametrize('path', ['', '/a', 'a/', 'a//b', '../a', 'a b'])
    def test_route_path_is_normal(self, path):
        """Guards against two paths for the same route."""
        body = {'number': 1, 'added': [{**ROUTE, 'path': path}]}
        assert 'added[0].path' in mistakes_of(body, 'ana')

    def test_operator_must_match_the_token(self):
        """Guards against a note submitted in another operator's name."""
        body = {'number': 1, 'operator': 'bob', 'added': [ACCOUNT]}
        assert 'operator' in mistakes_of(body, 'ana')

    def test_digest_ignores_spelling_but_not_content(self):
        """Guards against rejecting a repeat sent by another JSON encoder."""
        note = notes.parse({'number': 1, 'added': [ROUTE]}, 'ana')
        explicit = {**ROUTE, 'partition_reads': False}
        same = {'added': [explicit], 'operator': 'ana', 'number': 1}
        other = {'number': 1, 'added': [{**ROUTE, 'open': False}]}
        assert notes.parse(same).digest() == note.digest()
        assert notes.parse(other, 'ana').digest() != note.digest()

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(
                        ['number', 'added', 'changed', 'kind', 'name', 'x']
                    ),
                    inner | st.just('account'),
                )
            ),
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_any_json_is_parsed_or_refused(self, body):
        """Guards against a malformed note that crashes control members."""
        try:
            assert notes.parse(body, 'ana').number
        except notes.NoteError as exc:
            assert exc.mistakes


def validate(tables, confirmed=0, revision=9, **lists):
    note = notes.parse({'number': 1, 'operator': 'ana', **lists})
    validator = notes.Validator(
        tables, {'old'}, {'ee' * 32}, revision, confirmed
    )
    return validator.validate(note)


def mistake_paths(tables, confirmed=0, **lists):
    with pytest.raises(notes.NoteError) as caught:
        validate(tables, confirmed, **lists)
    return {m.path for m in caught.value.mistakes}


@pytest.fixture
def tables():
    result = configuration.Tables()
    key = {'kind': 'key', 'id': 'k', 'account': 'a', 'digest': DIGEST}
    grant = {'kind': 'grant', 'account': 'a', 'service': 's'}
    added = [ACCOUNT, SERVICE, ROUTE, key, grant]
    for change in validate(result, added=added).changes:
        result.put(change.kind, change.key, change.values)
    return result


class TestValidator:
    def test_names_must_exist(self, tables):
        """Guards against grants and routes that refer to missing records."""
        grant = {'kind': 'grant', 'account': 'x', 'service': 'y'}
        route = {**ROUTE, 'path': 'r', 'service': 'y'}
        assert mistake_paths(tables, added=[grant, route]) == {
            'added[0].account',
            'added[0].service',
            'added[1].service',
        }

    def test_added_items_must_be_new_and_others_exist(self, tables):
        """Guards against an addition that silently replaces a record."""
        assert mistake_paths(
            tables,
            added=[ACCOUNT],
            changed=[{'kind': 'account', 'name': 'x', 'rate': 1}],
            withdrawn=[{'kind': 'key', 'id': 'x'}],
        ) == {'added[0]', 'changed[0]', 'withdrawn[0]'}

    def test_withdrawing_an_account_withdraws_its_keys_and_grants(
        self, tables
    ):
        """Guards against a key that stays valid without its client account."""
        item = {'kind': 'account', 'name': 'a'}
        result = validate(tables, withdrawn=[item])
        withdrawn = {(c.kind, c.key) for c in result.changes}
        assert withdrawn == {('account', 'a'), ('key', 'k'), ('grant', 'a/s')}
        assert result.withdrawn_ids == {'k'}
        assert result.withdrawn_digests == {DIGEST}

    def test_key_of_a_withdrawn_account_is_refused(self, tables):
        """Guards against a digest that one note gives to another account."""
        account = {**ACCOUNT, 'name': 'b'}
        key = {'kind': 'key', 'id': 'k2', 'account': 'b', 'digest': DIGEST}
        withdrawn = {'kind': 'account', 'name': 'a'}
        assert mistake_paths(
            tables, added=[account, key], withdrawn=[withdrawn]
        ) == {'added[1].digest'}

    @pytest.mark.parametrize(
        ('id', 'digest', 'path'),
        [
            ('old', 'cc' * 32, 'added[0].id'),
            ('new', 'ee' * 32, 'added[0].digest'),
            ('new', DIGEST, 'added[0].digest'),
        ],
    )
    def test_used_keys_never_return(self, tables, id, digest, path):
        """Guards against a withdrawn secret that becomes valid again."""
        key = {'kind': 'key', 'id': id, 'account': 'a', 'digest': digest}
        assert mistake_paths(tables, added=[key]) == {path}

    def test_service_with_a_route_cannot_be_withdrawn(self, tables):
        """Guards against a route without its service."""
        withdrawn = {'kind': 'service', 'name': 's'}
        route = {'kind': 'route', 'path': 'p/q'}
        assert mistake_paths(tables, withdrawn=[withdrawn]) == {'withdrawn[0]'}
        assert validate(tables, withdrawn=[withdrawn, route]).changes

    def test_partition_reads_need_an_open_route(self, tables):
        """Guards against reads that need a key but are served for hours."""
        route = {'kind': 'route', 'path': 'p/q', 'partition_reads': True}
        closed = {**ROUTE, 'path': 'r', 'open': False, 'partition_reads': True}
        assert validate(tables, changed=[route]).changes
        assert mistake_paths(tables, added=[closed]) == {
            'added[0].partition_reads'
        }

    @pytest.mark.parametrize(
        'lists',
        [
            {'withdrawn': [{'kind': 'route', 'path': 'p/q'}]},
            {'changed': [{'kind': 'route', 'path': 'p/q', 'open': False}]},
            {'changed': [{'kind': 'route', 'path': 'p/q', 'service': 't'}]},
            {'changed': [{'kind': 'service', 'name': 's', 'group': 'h'}]},
        ],
    )
    def test_partition_reads_must_end_first(self, tables, lists):
        """Guards against a partitioned process that serves a closed route."""
        tables.put('service', 't', {**SERVICE_RECORD, 'name': 't'})
        route = {'path': 'p/q', 'service': 's', 'open': True}
        tables.put('route', 'p/q', {**route, 'partition_reads': True})
        assert mistake_paths(tables, confirmed=99, **lists)
        ended = {'partition_reads': False, 'reads_ended': 7}
        tables.put('route', 'p/q', {**route, **ended})
        assert mistake_paths(tables, confirmed=6, **lists)
        assert validate(tables, confirmed=7, **lists).changes


SERVICE_RECORD = {
    'group': 'g',
    'slots': None,
    'connections': None,
    'policy': 'demand',
}
