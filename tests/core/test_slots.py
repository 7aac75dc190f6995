"""Tests of connection limits and statements in flight."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import slots

ENTRIES = ('a', 'b', 'c')


class TestConnectionAllocator:
    """Guards against more connections than a target accepts."""

    @settings(max_examples=200)
    @given(
        budget=st.integers(0, 40),
        demands=st.dictionaries(
            st.sampled_from('abcdefg'), st.floats(0, 50), min_size=1
        ),
        held=st.dictionaries(st.sampled_from('abcdefgxy'), st.integers(0, 9)),
    )
    def test_no_held_connection_is_granted_again(self, budget, demands, held):
        limits = slots.ConnectionAllocator().limits(budget, 5, demands, held)
        assert set(limits) == set(demands)
        most = sum(
            max(held.get(e, 0), limits[e].connections if e in limits else 0)
            for e in {*held, *demands}
        )
        assert most <= max(budget, sum(held.values()))
        if not held and budget >= len(demands):
            assert min(x.connections for x in limits.values()) >= 1
            assert sum(x.connections for x in limits.values()) == budget

    def test_first_connection_of_a_process_has_priority(self):
        """Guards against a target that a new entry process can't reach."""
        limits = slots.ConnectionAllocator().limits(
            10, 5, {'a': 50.0, 'b': 0.0}, {'a': 5, 'x': 4}
        )
        assert limits['b'].connections == 1
        assert limits['a'].connections == 5

    def test_each_process_gets_one_before_any_gets_more(self):
        limits = slots.ConnectionAllocator().limits(
            12, 5, dict.fromkeys(ENTRIES, 1.0), {'x': 9}
        )
        assert [x.connections for x in limits.values()] == [1, 1, 1]

    def test_slots_follow_demand_with_a_floor(self):
        """Guards against a VM that waits for a slot to be reassigned."""
        demands = {'a': 9.0, 'b': 0.0, 'c': 1.0}
        in_flight = slots.ConnectionAllocator().in_flight(5, demands)
        assert in_flight == {'a': 5, 'b': 1, 'c': 1}


class TestConnectionLedger:
    """Guards against limits above the budget while answers are in transit."""

    @pytest.mark.parametrize('seed', range(40))
    def test_limits_in_effect_stay_within_the_budget(self, seed):
        """Lose, delay and reorder messages; replace leaders and holders."""
        rng = random.Random(seed)
        now, term, budget = 10.0, 1, 9
        ledger = slots.ConnectionLedger(now - 9, term)
        holders = {e: slots.ConnectionShare() for e in ENTRIES}
        incarnations = dict.fromkeys(ENTRIES, 0)
        requests, answers = [], []
        for _ in range(400):
            now += rng.choice([0.0, 0.05, 0.05, 0.3, 1.0])
            entry = rng.choice(ENTRIES)
            if rng.random() < 0.5:
                report = holders[entry].report(now)
                requests.append((now, entry, incarnations[entry], report))
            if requests and rng.random() < 0.7:
                at = rng.choice([-1, -1, rng.randrange(len(requests))])
                sent, entry, incarnation, report = requests.pop(at)
                demand = rng.choice([0.0, 1.0, 20.0])
                grant = ledger.renew(
                    now, entry, incarnation, *report, demand, budget, 5
                )
                answers.append((sent, entry, incarnation, grant))
            if answers and rng.random() < 0.7:
                at = rng.choice([-1, -1, rng.randrange(len(answers))])
                sent, entry, incarnation, grant = answers.pop(at)
                if incarnation == incarnations[entry]:
                    holders[entry].apply_grant(now, sent, *grant)
            if rng.random() < 0.02:
                holders[entry] = slots.ConnectionShare()
                incarnations[entry] += 1
            if rng.random() < 0.02:
                term += 1
                ledger = slots.ConnectionLedger(now, term)
            limits = [h.limit(now) for h in holders.values()]
            open_now = sum(limit.connections for limit in limits)
            assert open_now <= budget, (seed, now)

    def test_answer_to_an_outdated_report_is_ignored(self):
        """Guards against a new leader that restores a reduced limit."""
        ledger, now = slots.ConnectionLedger(0.0, 1), 5.0
        shares = {'a': slots.ConnectionShare(), 'b': slots.ConnectionShare()}

        def renew(name, report):
            grant = ledger.renew(now, name, 0, *report, 1.0, 9, 5)
            shares[name].apply_grant(now, now, *grant)

        renew('a', shares['a'].report(now))
        overtaken = shares['a'].report(now)
        for _ in range(3):
            for name, share in shares.items():
                renew(name, share.report(now))
        assert shares['b'].limit(now).connections >= 4
        ledger = slots.ConnectionLedger(now, 2)
        renew('a', overtaken)
        limits = [share.limit(now).connections for share in shares.values()]
        assert sum(limits) <= 9

    def test_limits_move_with_the_demand(self):
        ledger = slots.ConnectionLedger(0.0, 1)
        a, b = slots.ConnectionShare(), slots.ConnectionShare()
        for step in range(10):
            now = 5 + 0.3 * step
            for name, share, demand in (('a', a, 0.0), ('b', b, 20.0)):
                report = share.report(now)
                grant = ledger.renew(now, name, 0, *report, demand, 30, 5)
                share.apply_grant(now, now, *grant)
        assert a.limit(now) == slots.Limit(1, 1)
        assert b.limit(now) == slots.Limit(29, 5)


class TestUnchangedInputs:
    """Guards against unnecessary and against missing recomputation."""

    def setup_method(self):
        self.ledger = slots.ConnectionLedger(0.0, 1)
        self.held = {e: slots.ConnectionShare() for e in ('x', 'y')}

    def renew(self, entry, demand, budget=10, now=9.0):
        held = self.held[entry]
        version, limit = held.report(now)
        grant = self.ledger.renew(
            9.0, entry, 1, version, limit, demand, budget, 5
        )
        held.apply_grant(now, now, *grant)
        return grant

    def settle(self):
        for _ in range(4):
            for entry in self.held:
                self.renew(entry, 1.0)

    def test_same_inputs_repeat_the_limit(self):
        """Guards against computing a new limit for every renewal."""
        self.settle()
        first = self.renew('x', 1.0)
        again = self.renew('x', 1.0)
        assert again.version == first.version
        assert again.connections == 5

    @pytest.mark.parametrize(
        'change', ['own demand', 'other demand', 'budget', 'release', 'lapse']
    )
    def test_changed_inputs_give_a_new_limit(self, change):
        """Guards against keeping a limit whose inputs have changed."""
        self.settle()
        before = self.renew('x', 1.0)
        demand, budget = 1.0, 10
        if change == 'own demand':
            demand = 9.0
        elif change == 'other demand':
            self.renew('y', 0.0)
        elif change == 'budget':
            budget = 6
        elif change == 'release':
            self.ledger.release('y', 1)
        now = 9.0
        if change == 'lapse':
            now += slots.LEASE_S
        after = self.renew('x', demand, budget, now)
        assert after.version > before.version

    def test_repeated_limit_does_not_expire(self):
        """Guards against a limit that expires although it is renewed."""
        self.settle()
        for step in range(10):
            now = 9.0 + step * slots.LEASE_S / 2
            self.renew('x', 1.0, now=now)
            assert self.held['x'].limit(now + 0.1).connections == 5


class TestServiceBudgets:
    def test_numbers_too_large_for_messages_are_limited(self):
        """Guards against a configuration that no renewal can carry."""
        service = configuration.Service('a', 'g', 1 << 40, 1 << 40, '')
        budgets = slots.service_budgets([service])
        assert budgets == {'g': (model.MAX_COUNT, model.MAX_COUNT)}
