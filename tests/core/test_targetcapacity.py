"""Closed-loop tests of learned limits, in virtual time.

Seven entry processes share each target, as a serving set does.
"""

import heapq
import itertools
import random
import statistics

import pytest

from sassafrasridge_core import targetcapacity

SLOTS = 5
PROCESSES = 7
FIXED_LIMIT = 3
Outcome = targetcapacity.Outcome


class Target:
    """Run statements in slots, first come, first served.

    ``factor`` returns the factor of the running time from the time and the
    number of statements at the target.
    """

    def __init__(self, factor):
        self.factor = factor
        self.queue = []
        self.busy = 0
        self.in_flight = 0


class Load:
    """Send statements of several kinds from all processes to the targets.

    Each process sends ``rate`` statements a second to each target.
    """

    def __init__(self, factors, rate, works, seed=1, learned=True, rtt_s=0.0):
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed)
        self.works, self.rate, self.learned = works, rate, learned
        self.rtt_s = rtt_s
        self.targets = [Target(f) for f in factors]
        self.now, self.order, self.events = 100.0, itertools.count(), []
        self.pairs = []
        self.times = [[] for _ in factors]
        self.at_target = [[] for _ in factors]
        for _ in range(PROCESSES):
            usual = targetcapacity.UsualTimes()
            for index in range(len(factors)):
                estimator = targetcapacity.CapacityEstimator(usual)
                pair = [index, estimator, 0, []]
                self.pairs.append(pair)
                self._arrive_later(pair)

    def _after(self, delay, work, *args):
        entry = (self.now + delay, next(self.order), work, args)
        heapq.heappush(self.events, entry)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)
        self.now = until
        return self

    def limits(self, index):
        return [self.limit(p) for p in self.pairs if p[0] == index]

    def limit(self, pair):
        if not self.learned:
            return FIXED_LIMIT
        return pair[1].limit(self.now, FIXED_LIMIT)

    def mean_s(self, index, since):
        return statistics.mean(s for at, s in self.times[index] if at >= since)

    def done(self, index, since):
        return sum(at >= since for at, _ in self.times[index])

    def _arrive_later(self, pair):
        gap_s = self.arrivals.expovariate(self.rate)
        self._after(gap_s, self._arrive, pair)

    def _arrive(self, pair):
        self._arrive_later(pair)
        pair[3].append((self.now, self.arrivals.choice(list(self.works))))
        self._send(pair)

    def _send(self, pair):
        while pair[3] and pair[2] < self.limit(pair):
            arrived, kind = pair[3].pop(0)
            pair[2] += 1
            running = pair[1].started(self.now, ('db', kind))
            self._after(self.rtt_s / 2, self._queue, pair, arrived, running)

    def _queue(self, pair, arrived, running):
        target = self.targets[pair[0]]
        target.in_flight += 1
        target.queue.append((pair, arrived, running))
        self._start(target)

    def _start(self, target):
        while target.queue and target.busy < SLOTS:
            factor = target.factor(self.now, target.in_flight)
            if factor is None:
                return
            statement = target.queue.pop(0)
            target.busy += 1
            jitter = self.rng.uniform(0.8, 1.2)
            work_s = self.works[statement[2].kind[1]] * factor * jitter
            self._after(work_s, self._free_slot, target, *statement)

    def _free_slot(self, target, *statement):
        target.busy -= 1
        target.in_flight -= 1
        self._after(self.rtt_s / 2, self._end, *statement)
        self._start(target)

    def _end(self, pair, arrived, running):
        pair[2] -= 1
        self.at_target[pair[0]].append((self.now, self.now - running.started))
        self.times[pair[0]].append((self.now, self.now - arrived))
        pair[1].ended(self.now, running, Outcome.ANSWERED, self.rtt_s)
        self._send(pair)


def usual(now, count):
    return 1.0


def third(since, until=1e9):
    return lambda now, count: 3.0 if since <= now < until else 1.0


class TestUnequalTargets:
    """Load: 7 processes with 20 statements of 24 ms a second per target."""

    works = {'read': 0.024}

    def test_a_slowdown_is_followed_within_a_second(self):
        """Guards against filling targets at a third of their speed."""
        load = Load([usual, third(110.0)], 20.0, self.works).run(111.0)
        assert statistics.mean(load.limits(1)) <= 1.5
        assert statistics.mean(load.limits(0)) >= 2.5
        speeds = [p[1].relative_speed() for p in load.pairs if p[0]]
        assert statistics.mean(speeds) < 0.45

    def test_a_slow_target_keeps_its_throughput(self):
        """Guards against a limit that leaves slots of a slow target idle."""
        load = Load([usual, third(110.0)], 20.0, self.works).run(120.0)
        fixed = Load(
            [usual, third(110.0)], 20.0, self.works, learned=False
        ).run(120.0)
        assert load.done(1, 112.0) >= 0.95 * fixed.done(1, 112.0)

    def test_a_recovery_is_followed_within_three_seconds(self):
        """Guards against leaving a recovered target unused."""
        load = Load([usual, third(110.0, 115.0)], 12.0, self.works)
        assert statistics.mean(load.run(115.0).limits(1)) <= 1.5
        assert statistics.mean(load.run(118.0).limits(1)) >= 2.5

    def test_targets_of_usual_speed_are_not_limited(self):
        """Guards against losses where nothing is wrong.

        Load: four fifths of what the target can run, and its way takes as
        long as a statement.
        """
        for rtt_s in (0.0, 0.024):
            load = Load([usual], 24.0, self.works, rtt_s=rtt_s).run(120.0)
            fixed = Load(
                [usual], 24.0, self.works, learned=False, rtt_s=rtt_s
            ).run(120.0)
            assert load.done(0, 110.0) >= 0.97 * fixed.done(0, 110.0)


class TestContention:
    def test_a_target_that_slows_down_early_keeps_short_times(self):
        """Guards against a collapse of a target long before it is full.

        Load: 7 processes with 60 statements a second, more than the target
        can run. Its statements take the longer the more there are.
        """

        def contended(now, count):
            return 1 + (count / 8) ** 2

        works = {'read': 0.024}
        load = Load([contended, usual], 10.0, works).run(110.0)
        load.rate = 60.0
        load.run(125.0)
        fixed = Load([contended, usual], 10.0, works, learned=False).run(110.0)
        fixed.rate = 60.0
        fixed.run(125.0)
        assert load.done(0, 115.0) >= 1.2 * fixed.done(0, 115.0)


class TestStall:
    def test_a_stalled_target_gets_one_statement_at_a_time(self):
        """Guards against sending all that waits to a target that hangs.

        Load: 20 statements a second for each process.
        """

        def stalled(now, count):
            return None if now >= 110.0 else 1.0

        load = Load([stalled], 20.0, {'read': 0.024}).run(110.6)
        assert load.limits(0) == [1] * PROCESSES
        kind = ('db', 'read')
        waits = [p[1].expected_s(110.6, kind, 0.03) for p in load.pairs]
        assert min(waits) > 0.3

    @pytest.mark.parametrize(
        'outcome, limit', [(Outcome.GIVEN_UP, 1), (Outcome.NOT_RUN, 8)]
    )
    def test_only_answers_end_a_stall(self, outcome, limit):
        """Guards against a stall hidden by statements that are given up.

        Load: a statement that hangs, and one more every 0.1 s that ends.
        """
        estimator = targetcapacity.CapacityEstimator(
            targetcapacity.UsualTimes()
        )
        estimator.started(10.0, ('db', 'read'))
        for step in range(10):
            running = estimator.started(10.0 + step * 0.1, ('db', 'read'))
            estimator.ended(10.1 + step * 0.1, running, outcome)
        assert estimator.limit(11.0, 8) == limit

    def test_a_rejection_halves_the_limit_once(self):
        """Guards against falling to one after a burst of rejections."""
        estimator = targetcapacity.CapacityEstimator(
            targetcapacity.UsualTimes()
        )
        assert estimator.limit(10.0, 8) == 8
        sent = [estimator.started(10.0, ('db', 'read')) for _ in range(4)]
        for running in sent:
            estimator.ended(10.1, running, Outcome.REJECTED)
        assert estimator.limit(10.1, 8) == 4


class TestKinds:
    def test_long_statements_are_no_sign_of_a_slow_target(self):
        """Guards against limits that depend on the mix of statements.

        Load: statements of 8 and 47 ms, first mixed, then only long ones.
        """
        works = {'short': 0.008, 'long': 0.047}
        load = Load([usual], 10.0, works).run(110.0)
        load.works = {'long': 0.047}
        load.run(113.0)
        assert statistics.mean(load.limits(0)) >= 2.5
        expected = load.pairs[0][1].expected_s(113.0, ('db', 'short'), 1.0)
        assert expected < 0.016

    def test_the_usual_time_forgets_a_fast_past_slowly(self):
        """Guards against taking a slowdown of a minute for the usual speed."""
        load = Load([third(110.0)], 12.0, {'read': 0.024}).run(170.0)
        speeds = [p[1].relative_speed() for p in load.pairs]
        assert statistics.mean(speeds) < 0.5
