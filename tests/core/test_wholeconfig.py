"""Tests of whole configurations and how the replicated state applies them."""

import copy

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import state
from sassafrasridge_core import wholeconfig

DIGEST = 'ab' * 32


def body(number=1, **changes):
    found = {
        'number': number,
        'services': [{'name': 'orders', 'connections': 30}],
        'routes': [
            {
                'path': 'db1',
                'prefix': '/',
                'service': 'orders',
                'open': False,
                'consistency': configuration.SESSION,
                'max_age_s': 1.5,
                'timeout_s': 1.0,
                'objective_s': 0.8,
                'idle_s': 3.0,
                'priority': 1,
            }
        ],
        'accounts': [
            {
                'name': 'acme',
                'rate': 60,
                'burst': 60,
                'priority': 1,
                'key_digests': [DIGEST],
            }
        ],
    }
    return {**found, **changes}


def submit(replicated, index, configuration_body):
    command = {
        'type': 'configuration',
        'configuration': configuration_body,
        'source': orjson.dumps(configuration_body).decode(),
        'operator': 'ann',
        'time': 1.0,
    }
    return replicated.apply(index, orjson.dumps(command))


class TestParse:
    @pytest.mark.parametrize(
        'path, value, expected',
        [
            (('routes', 0, 'service'), 'missing', 'service of route db1'),
            (('routes', 0, 'timeout_s'), 0, 'timeout_s'),
            (('routes', 0, 'consistency'), None, 'consistency'),
            (('services', 0, 'connections'), 'many', 'connections'),
            (('accounts', 0, 'rate'), -1, 'rate'),
            (('accounts', 0, 'key_digests'), ['short'], 'key'),
            (('number',), '7', 'number'),
        ],
    )
    def test_a_mistake_is_named(self, path, value, expected):
        """Guards against a message without the invalid field."""
        wrong = body()
        container = wrong
        for step in path[:-1]:
            container = container[step]
        container[path[-1]] = value
        with pytest.raises(wholeconfig.InvalidConfigurationError) as caught:
            wholeconfig.parse(wrong)
        assert expected in str(caught.value)

    def test_every_mistake_is_listed(self):
        wrong = body()
        wrong['routes'][0]['service'] = 'missing'
        wrong['accounts'][0]['rate'] = 'fast'
        with pytest.raises(wholeconfig.InvalidConfigurationError) as caught:
            wholeconfig.parse(wrong)
        assert len(caught.value.mistakes) == 2

    def test_a_shared_key_and_a_repeated_route_are_mistakes(self):
        wrong = body()
        other = copy.deepcopy(wrong['accounts'][0])
        wrong['accounts'].append({**other, 'name': 'birch'})
        wrong['routes'].append(copy.deepcopy(wrong['routes'][0]))
        with pytest.raises(wholeconfig.InvalidConfigurationError) as caught:
            wholeconfig.parse(wrong)
        assert len(caught.value.mistakes) == 2

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=5),
            lambda children: (
                strategies.lists(children, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ('number', 'routes', 'services', 'accounts', 'name')
                    ),
                    children,
                    max_size=4,
                )
            ),
            max_leaves=10,
        )
    )
    def test_any_value_is_parsed_or_refused(self, value):
        """Guards against an operator's input that stops a control member."""
        try:
            wholeconfig.parse(value)
        except wholeconfig.InvalidConfigurationError:
            return


class TestRegions:
    def restricted(self, number=2, **route):
        found = body(number)
        found['routes'][0].update(route)
        return found

    def test_the_order_and_repetition_of_regions_change_nothing(self):
        """Guards against deltas for equal configurations."""
        first = wholeconfig.parse(self.restricted(regions=['b', 'a']))
        second = wholeconfig.parse(self.restricted(regions=['a', 'b', 'a']))
        assert first.records == second.records
        assert first.records['route', 'db1']['regions'] == ('a', 'b')

    @pytest.mark.parametrize('value', ['north', [''], [3], {}])
    def test_invalid_regions_are_a_mistake(self, value):
        """Guards against a misread restriction that allows all regions."""
        with pytest.raises(wholeconfig.InvalidConfigurationError) as caught:
            wholeconfig.parse(self.restricted(regions=value))
        assert 'of route db1' in str(caught.value)

    def test_records_of_the_former_release_load(self):
        """Guards against a member that can't start after an upgrade.

        Records without regions are stored as before, so that the former
        release can read them too.
        """
        replicated = state.State()
        submit(replicated, 1, body(1))
        assert b'regions' not in replicated.encode()
        assert b'cold_rate' not in replicated.encode()
        view = state.ConfigView()
        view.load(state.State.decode(replicated.encode()).full())
        assert view.route('db1').regions == ()
        restricted = self.restricted(regions=['a'])
        restricted['services'][0]['cold_rate'] = 20
        submit(replicated, 2, restricted)
        for delta in replicated.deltas_since(view.revision):
            view.apply(delta)
        assert view.route('db1').regions == ('a',)
        assert view.service('orders').cold_rate == 20.0


class TestState:
    def test_the_highest_number_is_in_force_whatever_the_order(self):
        replicated = state.State()
        submit(replicated, 1, body(5))
        older = submit(replicated, 2, body(4, accounts=[]))
        assert older.ok
        assert older.body == {'number': 5, 'changed': False}
        assert [a.name for a in replicated.accounts()] == ['acme']

    def test_other_content_under_the_same_number_changes_nothing(self):
        replicated = state.State()
        submit(replicated, 1, body(5))
        submit(replicated, 2, body(5, accounts=[]))
        assert orjson.loads(replicated.whole_source) == body(5)
        assert [a.name for a in replicated.accounts()] == ['acme']

    def test_invalid_configuration_changes_nothing(self):
        replicated = state.State()
        assert not submit(replicated, 1, body(5, routes='none')).ok
        assert replicated.whole_number == -1

    def test_entry_processes_follow_by_deltas(self):
        replicated, view = state.State(), state.ConfigView()
        secret = {'type': 'init', 'session_secret': '00' * 32}
        replicated.apply(1, orjson.dumps(secret))
        view.load(replicated.full())
        submit(replicated, 2, body(5))
        for delta in replicated.deltas_since(view.revision):
            view.apply(delta)
        assert view.account_by_key_digest(DIGEST).name == 'acme'
        assert view.route('db1').consistency == configuration.SESSION
        submit(replicated, 3, body(6, accounts=[], routes=[]))
        for delta in replicated.deltas_since(view.revision):
            view.apply(delta)
        assert view.account_by_key_digest(DIGEST) is None
        assert view.route('db1') is None

    def test_a_snapshot_keeps_number_and_text(self):
        replicated = state.State()
        submit(replicated, 1, body(5))
        decoded = state.State.decode(replicated.encode())
        assert decoded.encode() == replicated.encode()
        assert decoded.whole_number == 5
