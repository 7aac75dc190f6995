"""Tests of the replicated state machine and the configuration copy."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import orjson
import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import state

SECRET = 'ab' * 32
ROUTE = {'kind': 'route', 'path': 'p'}
TYPES = ['init', 'note', 'refused_note', 'group', 'entry', 'audit', 'zone']
FIELDS = [
    *('session_secret', 'note', 'operator', 'address', 'time', 'digest'),
    *('confirmed_revision', 'group', 'entry', 'action', 'zone', 'kind'),
    *('what', 'number', 'accepted', 'drained'),
]
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(['register', 'remove', SECRET, 'x']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.fixed_dictionaries(
            {},
            optional={
                name: inner
                for name in (
                    *('group', 'term', 'primary', 'members', 'starts'),
                    *('changing', 'number', 'added', 'withdrawn', '7'),
                )
            },
        )
    ),
    max_leaves=10,
)


def account(name, **fields):
    return {'kind': 'account', 'name': name, 'rate': 5, 'burst': 10, **fields}


class Member:
    """Apply commands to a state as the replicated log does."""

    def __init__(self, **limits):
        self.state = state.State(**limits)
        self.log = []

    def apply(self, **command):
        self.log.append(orjson.dumps(command))
        return self.state.apply(self.state.index + 1, self.log[-1])

    def note(self, number, operator='ana', confirmed=0, **lists):
        return self.apply(
            type='note',
            note={'number': number, **lists},
            operator=operator,
            address='127.0.0.1',
            time=float(len(self.log)),
            confirmed_revision=confirmed,
        )

    def group(self, term, primary, starts=None, changing=False, **fields):
        record = {
            'group': 'g',
            'term': term,
            'primary': primary,
            'members': {'x': '127.0.0.1:1', 'y': '127.0.0.1:2'},
            'starts': starts or {},
            'changing': changing,
            **fields,
        }
        return self.apply(type='group', group=record, time=1.0)


@pytest.fixture
def member():
    result = Member()
    assert result.apply(type='init', session_secret=SECRET, time=1.0).ok
    return result


class TestInit:
    def test_secret_is_created_once(self, member):
        """Guards against a second secret, which invalidates all tokens."""
        again = member.apply(type='init', session_secret='cd' * 32, time=2.0)
        assert again.body == {'created': False}
        assert member.state.session_secret == SECRET
        assert SECRET not in str(member.state.trail.select())

    @pytest.mark.parametrize('secret', ['ab', 'zz' * 32, 3, None])
    def test_weak_secret_is_refused(self, secret):
        """Guards against forgeable session tokens."""
        reply = Member().apply(type='init', session_secret=secret)
        assert reply.status == 400


class TestNotes:
    def test_resend_gets_the_first_answer_after_a_restart(self, member):
        """Guards against applying or refusing a resent note."""
        first = member.note(1, added=[account('a')])
        member.note(2, added=[account('b')])
        member.state = state.State.decode(member.state.encode())
        again = member.note(1, added=[account('a')])
        assert (again.ok, again.body) == (True, first.body)
        assert member.state.revision == 3

    def test_only_one_of_two_notes_with_a_number_is_accepted(self, member):
        """Guards against confirming a number to two operators."""
        won = member.note(1, added=[account('a')])
        lost = member.note(1, operator='bob', added=[account('b')])
        assert (lost.ok, lost.status) == (False, 409)
        message = lost.body['error']['message']
        assert "'ana'" in message
        assert won.body['digest'] in message

    def test_same_content_of_another_operator_is_other_content(self, member):
        """Guards against a reply that names the wrong operator."""
        member.note(1, added=[account('a')])
        assert member.note(1, 'bob', added=[account('a')]).status == 409

    def test_skipped_number_is_stale(self, member):
        """Guards against applying notes out of order."""
        member.note(5, added=[account('a')])
        reply = member.note(4, added=[account('b')])
        assert reply.body['error']['kind'] == 'stale_number'

    def test_refused_note_changes_nothing_but_the_trail(self, member):
        """Guards against applying a note partially."""
        before = orjson.loads(member.state.encode())
        key = {'kind': 'key', 'id': 'k', 'account': 'x', 'digest': 'cd' * 32}
        assert member.note(1, added=[account('a'), key]).status == 400
        after = orjson.loads(member.state.encode())
        changed = {name for name in after if after[name] != before[name]}
        assert changed == {'index', 'trail'}
        assert member.note(1, added=[account('a')]).ok

    @pytest.mark.parametrize('reused', [{'id': 'k'}, {'digest': 'cd' * 32}])
    def test_withdrawn_key_never_returns(self, member, reused):
        """Guards against a withdrawn key that works after a restart."""
        key = {'kind': 'key', 'id': 'k', 'account': 'a', 'digest': 'cd' * 32}
        member.note(1, added=[account('a'), key])
        member.note(2, withdrawn=[{'kind': 'key', 'id': 'k'}])
        member.state = state.State.decode(member.state.encode())
        again = {**key, 'id': 'k2', 'digest': 'ef' * 32, **reused}
        assert member.note(3, added=[again]).status == 400

    def test_wrong_request_digest_is_refused(self, member):
        """Guards against a note that changed between member and leader."""
        reply = member.apply(
            type='note',
            note={'number': 1, 'added': [account('a')]},
            operator='ana',
            digest='0' * 64,
        )
        assert reply.body['error']['kind'] == 'digest_mismatch'

    def test_check_changes_nothing(self, member):
        """Guards against a check that uses up the number."""
        before = member.state.encode()
        body = {'number': 1, 'added': [account('a')]}
        assert member.state.check_note(body, 'ana', 0).ok
        assert member.state.check_note({}, 'ana', 0).status == 400
        assert member.state.encode() == before

    def test_answers_are_bounded_and_old_numbers_stale(self):
        """Guards against memory that grows with every note."""
        member = Member(answer_limit=10)
        for number in range(1, 1200):
            lists = {'added': [account('a')]}
            if number > 1:
                change = {'kind': 'account', 'name': 'a', 'burst': number}
                lists = {'changed': [change]}
            assert member.note(number, **lists).ok
        assert 10 <= len(member.state.answers) <= 1010
        reply = member.note(1, added=[account('a')])
        assert reply.body['error']['kind'] == 'stale_number'
        change = {'kind': 'account', 'name': 'a', 'burst': 1199}
        assert member.note(1199, changed=[change]).ok


class TestPartitionReads:
    def withdraw(self, member, number, confirmed):
        return member.note(number, 'ana', confirmed, withdrawn=[ROUTE]).ok

    def test_every_registered_process_must_confirm(self, member):
        """Guards against a partitioned zone that serves a closed route."""
        service = {'kind': 'service', 'name': 's', 'group': 'g'}
        route = {**ROUTE, 'service': 's', 'open': True}
        member.note(1, added=[service, {**route, 'partition_reads': True}])
        entry = {'entry': 'e1', 'zone': 'z', 'address': '127.0.0.1:1'}
        member.apply(type='entry', action='register', time=1.0, **entry)
        assert not self.withdraw(member, 2, 99)
        ended = member.note(2, changed=[{**ROUTE, 'partition_reads': False}])
        revision = ended.body['revision']
        assert not self.withdraw(member, 3, revision - 1)
        # A process that registers later starts with this revision, but e1
        # still has to confirm it.
        late = {**entry, 'entry': 'e2'}
        member.apply(type='entry', action='register', time=2.0, **late)
        assert not self.withdraw(member, 3, revision - 1)
        assert self.withdraw(member, 3, revision)

    def test_removed_process_need_not_confirm(self, member):
        """Guards against waiting for ever for a replaced VM to confirm."""
        service = {'kind': 'service', 'name': 's', 'group': 'g'}
        route = {**ROUTE, 'service': 's', 'open': True}
        member.note(1, added=[service, {**route, 'partition_reads': True}])
        entry = {'zone': 'z', 'address': '127.0.0.1:1', 'type': 'entry'}
        member.apply(action='register', entry='e1', **entry)
        member.note(2, changed=[{**ROUTE, 'partition_reads': False}])
        member.apply(action='register', entry='e2', **entry)
        assert not self.withdraw(member, 3, 0)
        member.apply(action='remove', entry='e1', **entry)
        assert self.withdraw(member, 3, 0)


class TestGroups:
    def test_term_never_falls(self, member):
        """Guards against a late command that restores an old primary."""
        assert member.group(2, 'x').ok
        assert member.group(1, 'y').status == 409
        assert member.state.groups['g'].primary == 'x'

    @pytest.mark.parametrize('primary', ['y', None])
    def test_one_primary_in_a_term(self, member, primary):
        """Guards against two primaries in one term."""
        assert member.group(2, None, changing=True).ok
        assert member.group(2, 'x').ok
        assert member.group(2, primary).status == 409
        assert member.group(3, primary).ok

    def test_start_of_a_term_is_fixed(self, member):
        """Guards against accepting an old log for a session token."""
        assert member.group(2, 'x', {'1': 0, '2': 40}).ok
        assert member.group(2, 'x', {'1': 0, '2': 30}).status == 409

    def test_unchanged_record_does_not_raise_the_revision(self, member):
        """Guards against log growth by repeated group records."""
        member.group(1, 'x')
        member.group(1, 'x')
        assert member.state.groups_revision == 1
        assert [v.group for v in member.state.groups_since(0)] == ['g']
        assert member.state.groups_since(1) == []

    def test_a_promotion_alone_does_not_raise_the_revision(self, member):
        """Guards against revisions that differ between releases.

        A member of the former release ignores the field and counts no change.
        If it leads next, entry processes that have a higher revision aren't
        sent the views that follow, and count as having confirmed them.
        """
        order = {'server': 'y', 'view_term': 2, 'term': 1, 'index': 9}
        member.group(2, 'x', changing=True)
        member.group(2, 'x', changing=True, promotion=order)
        assert member.state.groups['g'].promotion.server == 'y'
        assert member.state.groups_revision == 1


class TestCommands:
    @pytest.mark.parametrize(
        'command',
        [
            b'',
            b'[]',
            b'{"type": []}',
            b'{"type": "note"}',
            b'{"type": "entry", "entry": 1}',
            b'{"type": "entry", "entry": "e", "action": "x"}',
            b'{"type": "group", "group": [1]}',
            b'{"type": "group", "group": {"group": []}}',
            b'{"type": "audit"}',
            b'\xff',
        ],
    )
    def test_malformed_command_is_refused(self, command):
        """Guards against one command that stops every member."""
        assert state.State().apply(1, command).status == 400

    @hypothesis.given(
        st.lists(
            st.fixed_dictionaries(
                {'type': st.sampled_from(TYPES)},
                optional={name: VALUES for name in FIELDS},
            )
        )
    )
    @hypothesis.settings(deadline=None)
    def test_state_after_any_commands_can_be_restored(self, commands):
        """Guards against a command after which no member can restart."""
        member = Member()
        for command in commands:
            member.apply(**command)
        data = member.state.encode()
        assert state.State.decode(data).encode() == data

    def test_an_index_is_applied_once(self, member):
        """Guards against applying a log entry again after a snapshot."""
        member.note(1, added=[account('a')])
        before = member.state.encode()
        index = member.state.index
        assert not member.state.apply(index, member.log[-1]).ok
        assert member.state.encode() == before


class TestTrail:
    def test_entries_can_be_filtered_and_are_in_order(self, member):
        """Guards against changes missing in the audit trail."""
        member.note(1, added=[account('a')])
        member.note(1, 'bob', added=[account('b')])
        member.apply(
            type='refused_note', operator='eve', what='no', number=7, time=9.0
        )
        select = member.state.trail.select
        assert [e['kind'] for e in select()] == ['init', *['note'] * 3]
        assert [e['accepted'] for e in select(kind='note')] == [1, 0, 0]
        assert select(who='bob')[0]['address'] == '127.0.0.1'
        assert [e['who'] for e in select(since=9.0)] == ['eve']
        assert [e['who'] for e in select(limit=1)] == ['eve']

    def test_oldest_entries_are_dropped(self):
        """Guards against unlimited growth of the audit trail."""
        member = Member(audit_limit=3)
        for number in range(5):
            member.apply(type='audit', kind='drain', what=str(number))
        kept = [entry['what'] for entry in member.state.trail.select()]
        assert kept == ['2', '3', '4']


class TestSnapshots:
    def test_damaged_snapshot_is_refused(self):
        """Guards against a member that starts with an incomplete state."""
        for data in (b'', b'{}', b'{"format": 1}', b'{"format": 2}'):
            with pytest.raises(errors.StorageError):
                state.State.decode(data)


class TestConfigView:
    def test_never_applies_an_older_revision(self, member):
        """Guards against a late copy that restores a withdrawn key."""
        key = {'kind': 'key', 'id': 'k', 'account': 'a', 'digest': 'cd' * 32}
        member.note(1, added=[account('a'), key])
        old = member.state.full()
        view = state.ConfigView()
        view.load(old)
        assert view.account_by_key_digest('cd' * 32).name == 'a'
        member.note(2, withdrawn=[{'kind': 'account', 'name': 'a'}])
        for delta in member.state.deltas_since(view.revision):
            view.apply(delta)
        view.load(old)
        assert view.account_by_key_digest('cd' * 32) is None
        for delta in member.state.deltas_since(0):
            view.apply(delta)
        assert view.account_by_key_digest('cd' * 32) is None
        assert list(view.accounts()) == []
        assert view.session_secret == bytes.fromhex(SECRET)

    def test_gap_is_reported(self, member):
        """Guards against a copy that misses a withdrawal."""
        member.note(1, added=[account('a')])
        with pytest.raises(state.RevisionGapError):
            state.ConfigView().apply(member.state.deltas_since(1)[0])

    def test_dropped_deltas_ask_for_a_full_copy(self):
        """Guards against deltas with a gap after a long disconnection."""
        member = Member(delta_limit=3)
        for number in range(1, 6):
            member.note(number, added=[account(f'a{number}')])
        assert member.state.deltas_since(1) is None
        assert len(member.state.deltas_since(2)) == 3
        assert len(member.state.deltas_since(2, max_bytes=1)) == 1
        assert member.state.deltas_since(9) == []


NAMES = st.sampled_from(['a', 'b', 'c'])
KEYS = st.sampled_from(['k1', 'k2', 'k3', 'k4'])
DIGESTS = st.sampled_from([f'{n:02x}' * 32 for n in range(4)])


class NotesMachine(stateful.RuleBasedStateMachine):
    """Compare notes, resends and restarts with a model of dictionaries."""

    def __init__(self):
        super().__init__()
        self.member = Member()
        self.view = state.ConfigView()
        self.accounts = {}
        self.keys = {}
        self.used = set()
        self.sent = {}
        self.number = 0

    def submit(self, accepted, **lists):
        """Submit a note, check the outcome and return it.

        The caller updates the model if the note was accepted.
        """
        self.number += 1
        reply = self.member.note(self.number, **lists)
        assert reply.ok == accepted
        if reply.ok:
            self.sent[self.number] = (lists, reply.body)
        return reply.ok

    @stateful.rule(name=NAMES, burst=st.integers(1, 9))
    def add_account(self, name, burst):
        accepted = name not in self.accounts
        if self.submit(accepted, added=[account(name, burst=burst)]):
            self.accounts[name] = burst

    @stateful.rule(name=NAMES, burst=st.integers(1, 9))
    def change_account(self, name, burst):
        item = {'kind': 'account', 'name': name, 'burst': burst}
        if self.submit(name in self.accounts, changed=[item]):
            self.accounts[name] = burst

    @stateful.rule(name=NAMES)
    def withdraw_account(self, name):
        item = {'kind': 'account', 'name': name}
        if self.submit(name in self.accounts, withdrawn=[item]):
            del self.accounts[name]
            self.keys = {
                id: (owner, digest)
                for id, (owner, digest) in self.keys.items()
                if owner != name
            }

    @stateful.rule(name=NAMES, id=KEYS, digest=DIGESTS)
    def add_key(self, name, id, digest):
        item = {'kind': 'key', 'id': id, 'account': name, 'digest': digest}
        accepted = name in self.accounts and not {id, digest} & self.used
        if self.submit(accepted, added=[item]):
            self.keys[id] = (name, digest)
            self.used |= {id, digest}

    @stateful.rule(id=KEYS)
    def withdraw_key(self, id):
        item = {'kind': 'key', 'id': id}
        if self.submit(id in self.keys, withdrawn=[item]):
            del self.keys[id]

    @stateful.precondition(lambda self: self.accounts and self.used)
    @stateful.rule(data=st.data())
    def reuse_a_key(self, data):
        used = data.draw(st.sampled_from(sorted(self.used)))
        name = data.draw(st.sampled_from(sorted(self.accounts)))
        key = {'kind': 'key', 'id': 'new', 'account': name}
        key['digest'] = 'ff' * 32
        key['digest' if len(used) == 64 else 'id'] = used
        assert not self.submit(False, added=[key])

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def resend(self, data):
        number = data.draw(st.sampled_from(sorted(self.sent)))
        lists, body = self.sent[number]
        again = self.member.note(number, **lists)
        assert (again.ok, again.body) == (True, body)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def reuse_an_accepted_number(self, data):
        number = data.draw(st.sampled_from(sorted(self.sent)))
        lost = self.member.note(number, 'bob', added=[account('z')])
        assert lost.status == 409
        digest = self.sent[number][1]['digest']
        assert digest in lost.body['error']['message']

    @stateful.rule()
    def restart_from_a_snapshot(self):
        data = self.member.state.encode()
        self.member.state = state.State.decode(data)
        assert self.member.state.encode() == data

    @stateful.rule()
    def update_view(self):
        for delta in self.member.state.deltas_since(self.view.revision):
            self.view.apply(delta)
        found = {a.name: a.burst for a in self.view.accounts()}
        assert found == self.accounts
        owners = {digest: owner for owner, digest in self.keys.values()}
        for number in range(4):
            digest = f'{number:02x}' * 32
            owner = self.view.account_by_key_digest(digest)
            assert (owner and owner.name) == owners.get(digest)

    def teardown(self):
        """Replay the log without snapshots and compare the bytes."""
        replayed = state.State()
        for index, command in enumerate(self.member.log, 1):
            replayed.apply(index, command)
        assert replayed.encode() == self.member.state.encode()


TestNotesMachine = NotesMachine.TestCase
TestNotesMachine.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
)
