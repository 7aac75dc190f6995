"""Tests of connection limits and statements in flight."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import slots

ENTRIES = ('a', 'b', 'c')


class TestConnectionAllocator:
    """Guards against more connections than a target takes."""

    @settings(max_examples=200, derandomize=True, database=None)
    @given(
        budget=st.integers(0, 40),
        demands=st.dictionaries(
            st.sampled_from('abcdefg'), st.floats(0, 50), min_size=1
        ),
        held=st.dictionaries(st.sampled_from('abcdefgxy'), st.integers(0, 9)),
    )
    def test_nothing_held_is_given_twice(self, budget, demands, held):
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

    def test_first_connection_goes_before_more_of_others(self):
        """Guards against a target that a new entry process can't reach."""
        limits = slots.ConnectionAllocator().limits(
            10, 5, {'a': 50.0, 'b': 0.0}, {'a': 5, 'x': 4}
        )
        assert limits['b'].connections == 1
        assert limits['a'].connections == 5

    def test_slots_follow_demand_with_a_floor(self):
        """Guards against a VM that waits for a slot to move."""
        demands = {'a': 9.0, 'b': 0.0, 'c': 1.0}
        in_flight = slots.ConnectionAllocator().in_flight(5, demands)
        assert in_flight == {'a': 5, 'b': 1, 'c': 1}


class TestConnectionLedger:
    """Guards against limits that overlap while answers are on their way."""

    @pytest.mark.parametrize('seed', range(40))
    def test_limits_in_effect_stay_within_the_budget(self, seed):
        """Lose, delay and repeat messages; replace leaders and holders."""
        rng = random.Random(seed)
        now, term, budget = 10.0, 1, 9
        ledger = slots.ConnectionLedger(now - 9, term)
        holders = {e: slots.VersionedLimit() for e in ENTRIES}
        valid = dict.fromkeys(ENTRIES, 0.0)
        lives = dict.fromkeys(ENTRIES, 0)
        answers = []
        for _ in range(400):
            now += rng.choice([0.0, 0.05, 0.05, 0.3, 1.0])
            for entry, holder in holders.items():
                if now >= valid[entry]:
                    holder.lapse()
            entry = rng.choice(ENTRIES)
            holder = holders[entry]
            if rng.random() < 0.5:
                grant = ledger.renew(
                    now,
                    entry,
                    lives[entry],
                    holder.version,
                    holder.connections,
                    rng.choice([0.0, 1.0, 20.0]),
                    budget,
                    5,
                )
                answers.append((now, entry, lives[entry], grant))
            if answers and rng.random() < 0.7:
                at = rng.choice([-1, -1, rng.randrange(len(answers))])
                sent, entry, life, grant = answers.pop(at)
                if life == lives[entry] and now < sent + slots.LEASE_S:
                    holders[entry].replace(
                        grant.version, grant.connections, grant.in_flight
                    )
                    valid[entry] = max(valid[entry], sent + slots.LEASE_S)
            if rng.random() < 0.02:
                holders[entry] = slots.VersionedLimit()
                lives[entry] += 1
            if rng.random() < 0.02:
                term += 1
                ledger = slots.ConnectionLedger(now, term)
            open_now = sum(h.connections for h in holders.values())
            assert open_now <= budget, (seed, now)

    def test_limits_move_with_the_demand(self):
        ledger = slots.ConnectionLedger(0.0, 1)
        a, b = slots.VersionedLimit(), slots.VersionedLimit()
        for step in range(10):
            now = 5 + 0.3 * step
            for name, holder, demand in (('a', a, 0.0), ('b', b, 20.0)):
                grant = ledger.renew(
                    now,
                    name,
                    0,
                    holder.version,
                    holder.connections,
                    demand,
                    30,
                    5,
                )
                holder.replace(
                    grant.version, grant.connections, grant.in_flight
                )
        assert (a.connections, a.in_flight) == (1, 1)
        assert (b.connections, b.in_flight) == (29, 5)


class TestInFlight:
    def test_limit_is_kept_when_it_is_lowered(self):
        """Guards against queueing in the target instead of in the proxy."""
        count = slots.InFlight(2)
        assert count.enter()
        assert count.enter()
        count.limit = 1
        count.leave()
        assert not count.enter()
        count.leave()
        assert count.enter()


class TestUnchangedBasis:
    """Guards against deciding again, or too rarely, what others changed."""

    def setup_method(self):
        self.ledger = slots.ConnectionLedger(0.0, 1)
        self.held = {e: slots.VersionedLimit() for e in ('x', 'y')}

    def renew(self, entry, demand, budget=10):
        held = self.held[entry]
        grant = self.ledger.renew(
            9.0,
            entry,
            1,
            held.version,
            held.connections,
            demand,
            budget,
            5,
        )
        held.replace(grant.version, grant.connections, grant.in_flight)
        return grant

    def settle(self):
        for _ in range(4):
            for entry in self.held:
                self.renew(entry, 1.0)

    def test_same_basis_repeats_the_limit(self):
        """Guards against a new decision for every renewal."""
        self.settle()
        first = self.renew('x', 1.0)
        again = self.renew('x', 1.0)
        assert again.version == first.version
        assert again.connections == 5

    @pytest.mark.parametrize(
        'change', ['own demand', 'other demand', 'budget', 'release', 'lapse']
    )
    def test_changed_basis_is_decided_again(self, change):
        """Guards against keeping a limit whose basis has changed."""
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
        else:
            self.held['x'].lapse()
        assert self.renew('x', demand, budget).version > before.version
