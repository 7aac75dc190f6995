"""Tests of the fleet-wide rates and bursts."""

import bisect
import collections
import heapq
import itertools
import math
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import shares

RECLAIM_S = shares.CONFIG_TTL_S * (1 + shares.CLOCK_DRIFT) + (
    shares.RECLAIM_MARGIN_S
)


class Oracle:
    """Keep all uses and limits of an account; check every window."""

    def __init__(self):
        self.uses = []
        self.limits = []

    def limit(self, now, rate, burst):
        self.limits.append((now, rate, burst))

    def new_leader(self, now):
        """Limits that may still be in effect count as set again.

        A new leader does not know which holders the old one reduced.
        """
        rate, burst = self.in_effect(now)
        latest = self.limits[-1][1:]
        self.limit(now, rate, burst)
        self.limit(now, *latest)

    def in_effect(self, at):
        """Return the highest limits of one reclaim time before ``at``."""
        known = [x for x in self.limits if x[0] <= at]
        since = bisect.bisect_right([x[0] for x in known], at - RECLAIM_S) - 1
        recent = known[max(0, since) :]
        return max(x[1] for x in recent), max(x[2] for x in recent)

    def use(self, now, tokens):
        self.uses.append((now, tokens))
        self.check(now)

    def check(self, now):
        """Check all windows that end now."""
        changes = {x[0] for x in self.limits}
        changes |= {at + RECLAIM_S for at in changes}
        used = allowed = 0.0
        end = now
        times = sorted({at for at, _ in self.uses} | changes, reverse=True)
        by_time = collections.Counter()
        for at, tokens in self.uses:
            by_time[at] += tokens
        for at in times:
            if at > now:
                continue
            rate, burst = self.in_effect((at + end) / 2)
            allowed += rate * (end - at)
            end = at
            used += by_time[at]
            limit = allowed + max(burst, self.in_effect(at)[1])
            assert used <= limit + 1e-6, (at, now, used, limit)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Exchange renewals over a network that loses, delays and repeats.

    Holders pause and are partitioned whenever no rule touches them.
    """

    policy = 'demand'
    holders = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.term = 1
        self.sequence = itertools.count(1)
        self.oracle = Oracle()
        self.limits = (10.0, 6.0)
        self.oracle.limit(0.0, *self.limits)
        self.entries = [shares.BucketSet() for _ in range(3)]
        self.incarnations = [0, 0, 0]
        self.requests = []
        self.answers = []
        self.elect()

    def elect(self):
        self.leader = shares.allocator(self.policy, self.now, self.term)
        self.leader.set_account(self.now, 'a', *self.limits)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 2.5, 4.2]))
    def advance(self, seconds):
        self.now += seconds
        self.leader.tick(self.now)

    @stateful.rule(index=holders)
    def send(self, index):
        number = next(self.sequence)
        entry = self.entries[index]
        entry.bucket('a')
        reports = entry.reports(self.now, number)
        incarnation = self.incarnations[index]
        self.requests.append((index, incarnation, number, reports))

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=st.data(), repeat=st.booleans(), lost=st.booleans())
    def deliver_request(self, data, repeat, lost):
        at = data.draw(st.integers(0, len(self.requests) - 1))
        request = self.requests[at] if repeat else self.requests.pop(at)
        if not lost or repeat:
            index, incarnation, number, reports = request
            grants = self.leader.renew(
                self.now, str(index), reports, incarnation, number
            )
            self.answers.append((index, incarnation, number, grants))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=st.data(), granted=st.booleans(), lost=st.booleans())
    def deliver_answer(self, data, granted, lost):
        at = data.draw(st.integers(0, len(self.answers) - 1))
        index, incarnation, number, grants = self.answers.pop(at)
        if incarnation == self.incarnations[index] and not lost:
            entry = self.entries[index]
            entry.answered(self.now, number, granted, grants)

    @stateful.rule(index=holders, renewals=st.integers(1, 4))
    def exchange(self, index, renewals):
        """Renew without fault, so that shares do get about."""
        for _ in range(renewals):
            self.send(index)
            _, incarnation, number, reports = self.requests.pop()
            grants = self.leader.renew(
                self.now, str(index), reports, incarnation, number
            )
            self.now += 0.01
            self.entries[index].answered(self.now, number, True, grants)

    @stateful.rule(index=holders, tokens=st.sampled_from([0.25, 1.0, 3.0]))
    def use(self, index, tokens):
        bucket = self.entries[index].bucket('a')
        used = 0.0
        while bucket.take(self.now, tokens):
            used += tokens
        if used:
            self.oracle.use(self.now, used)

    @stateful.rule(index=holders, tokens=st.integers(0, 8))
    def want(self, index, tokens):
        bucket = self.entries[index].bucket('a')
        bucket.end_wait(bucket.wanted())
        bucket.begin_wait(tokens)

    @stateful.rule(index=holders)
    def crash(self, index):
        self.entries[index] = shares.BucketSet()
        self.incarnations[index] += 1

    @stateful.rule(index=holders)
    def stop(self, index):
        self.leader.release(self.now, str(index), self.incarnations[index])
        self.crash(index)

    @stateful.rule(index=holders)
    def lose_lease(self, index):
        self.leader.expire(self.now, str(index))

    @stateful.rule()
    def change_leader(self):
        self.term += 1
        self.oracle.new_leader(self.now)
        self.elect()

    @stateful.rule(
        limits=st.sampled_from([(10, 6), (2, 1), (40, 20), (0, 0), (5, 2.5)])
    )
    def change_limits(self, limits):
        self.limits = limits
        self.oracle.limit(self.now, *limits)
        self.leader.set_account(self.now, 'a', *limits)


class StaticFleetMachine(FleetMachine):
    policy = 'static'


FUZZ = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
)


class TestFleetAccounting:
    """Guards against use above burst + rate * w in any window."""

    @pytest.mark.parametrize('machine', [FleetMachine, StaticFleetMachine])
    def test_no_window_is_overrun(self, machine):
        stateful.run_state_machine_as_test(machine, settings=FUZZ)


class Fleet:
    """Simulate entry processes and a leader; time is passed in."""

    STEP_S = 0.005
    MAX_WAIT_S = 1.0
    # One-way seconds to the leader: its own region, and another one.
    DELAYS = (0.0015, 0.0015, 0.0015, 0.02, 0.02, 0.02, 0.02)

    def __init__(self, policy, accounts, seed):
        self.rng = random.Random(seed)
        self.accounts = accounts
        self.now = 10.0
        self.leader = shares.allocator(policy, 0.0, 1)
        for name, (rate, burst) in accounts.items():
            self.leader.set_account(0.0, name, rate, burst)
        self.entries = [shares.BucketSet() for _ in self.DELAYS]
        self.waiting = [
            {name: collections.deque() for name in accounts}
            for _ in self.entries
        ]
        for entry, name in itertools.product(self.entries, accounts):
            entry.bucket(name)
        self.events = []
        self.numbers = itertools.count(1)
        self.renewed = [self.rng.random() * -0.3 + 10 for _ in self.entries]
        self.renewals = 0
        self.offered = collections.Counter()
        self.refused = collections.Counter()
        self.served = {name: [] for name in accounts}
        self.arrivals = {name: [] for name in accounts}

    def run(self, seconds, load):
        """``load(name, time)`` returns the rate per entry process."""
        start = self.now
        while self.now < start + seconds:
            self.now += self.STEP_S
            while self.events and self.events[0][0] <= self.now:
                _, _, action = heapq.heappop(self.events)
                action()
            for index in range(len(self.entries)):
                for name in self.accounts:
                    self._arrive(index, name, load(name, self.now)[index])
                    self._serve(index, name)
                self._renew(index)

    def _arrive(self, index, name, rate):
        bucket = self.entries[index].bucket(name)
        mean = rate * self.STEP_S
        for _ in range(int(mean + 1 if mean > 1 else 1)):
            if self.rng.random() >= mean / max(1, int(mean + 1)):
                continue
            self.offered[name] += 1
            self.arrivals[name].append(self.now)
            if bucket.take(self.now):
                self.served[name].append(self.now)
            else:
                bucket.begin_wait()
                self.waiting[index][name].append(self.now + self.MAX_WAIT_S)

    def _serve(self, index, name):
        bucket = self.entries[index].bucket(name)
        queue = self.waiting[index][name]
        while queue:
            if queue[0] <= self.now:
                self.refused[name] += 1
            elif bucket.take(self.now, waited=True):
                self.served[name].append(self.now)
            else:
                break
            queue.popleft()
            bucket.end_wait()

    def _renew(self, index):
        entry = self.entries[index]
        regular = self.now >= self.renewed[index] + 0.3
        if not (regular or entry.urgent(self.now)):
            return
        self.renewed[index] = self.now
        self.renewals += 1
        number = next(self.numbers)
        reports = entry.reports(self.now, number)
        delay = self.DELAYS[index]

        def at_leader():
            grants = self.leader.renew(
                self.now, str(index), reports, 0, number
            )
            self._later(
                delay,
                lambda: entry.answered(self.now, number, True, grants),
            )

        self._later(delay, at_leader)

    def _later(self, delay, action):
        at = self.now + delay
        heapq.heappush(self.events, (at, next(self.numbers), action))

    def wrongful(self, name):
        """Return refusals beyond those of one central bucket."""
        rate, burst = self.accounts[name]
        tokens, at, refused = burst, 0.0, 0
        for now in self.arrivals[name]:
            tokens = min(burst, tokens + rate * (now - at))
            at = now
            if (1 - tokens) / rate > self.MAX_WAIT_S:
                refused += 1
            else:
                tokens -= 1
        return max(0, self.refused[name] - refused)

    def overrun(self, name):
        """Return the most tokens by which any window was exceeded."""
        rate, burst = self.accounts[name]
        worst = lowest = -math.inf
        for number, at in enumerate(self.served[name]):
            lowest = max(lowest, rate * at - number)
            worst = max(worst, number + 1 - rate * at + lowest - burst)
        return worst


ACCOUNTS = {
    'bank': (200.0, 100.0),
    'shop': (100.0, 50.0),
    'news': (40.0, 10.0),
    'mail': (20.0, 5.0),
    'maps': (10.0, 10.0),
    'game': (5.0, 3.0),
    'tiny': (2.0, 2.0),
    'slow': (1.0, 1.0),
}


def balanced(name, now):
    return [0.9 * ACCOUNTS[name][0] / 7] * 7


def unbalanced(name, now):
    home = sum(map(ord, name)) % 7
    return [0.9 * ACCOUNTS[name][0] * (i == home) for i in range(7)]


def moving(name, now):
    home = (sum(map(ord, name)) + int(now / 2)) % 7
    return [0.9 * ACCOUNTS[name][0] * (i == home) for i in range(7)]


def fivefold(name, now):
    return [5 * ACCOUNTS[name][0] / 7] * 7


class TestSimulation:
    """Guards against overruns and refusals within the rate."""

    @pytest.mark.parametrize('load', [balanced, unbalanced, moving, fivefold])
    def test_demand_shares(self, load, record_property):
        rows = {}
        for policy in ('static', 'demand'):
            fleet = Fleet(policy, ACCOUNTS, seed=7)
            fleet.run(20.0, load)
            wrongful = sum(map(fleet.wrongful, ACCOUNTS))
            ratio = wrongful / fleet.offered.total()
            worst = max(fleet.wrongful(n) / fleet.offered[n] for n in ACCOUNTS)
            overrun = max(map(fleet.overrun, ACCOUNTS))
            goodput = min(
                len(fleet.served[n])
                / min(fleet.offered[n], 20 * ACCOUNTS[n][0])
                for n in ACCOUNTS
            )
            rows[policy] = (ratio, worst, overrun, goodput, fleet.renewals)
            record_property(policy, rows[policy])
            print(
                load.__name__,
                policy,
                rows[policy],
                {n: fleet.wrongful(n) for n in ACCOUNTS},
            )
            assert overrun <= 1e-6


class TestScarceTokens:
    """A small account whose burst is below the number of processes."""

    def test_they_go_to_who_waits(self):
        """Guards against tokens that idle where nothing waits for them."""
        allocator = shares.allocator('demand', 0.0, 1)
        allocator.open_at_once(0.0)
        allocator.set_account(0.0, 'small', 5.0, 5.0, 5.0)
        holders = {f'e{n}': shares.BucketSet() for n in range(7)}
        sequence = itertools.count(1)

        def renew(now, name):
            number = next(sequence)
            reports = holders[name].reports(now, number)
            grants = allocator.renew(now, name, reports, 0, number)
            holders[name].answered(now, number, True, grants)

        for holder in holders.values():
            holder.bucket('small').take(1.0)
        for now in (1.0, 1.1, 1.2, 1.3):
            for name in holders:
                renew(now, name)
        held = [h.bucket('small').holding(1.3) for h in holders.values()]
        assert sum(holding.capacity for holding in held) == 0.0
        last = holders['e6'].bucket('small')
        assert not last.take(1.4)
        last.begin_wait()
        renew(1.4, 'e6')
        assert last.take(1.4, waited=True)
