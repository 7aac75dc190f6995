"""Changes of primary under load, with real processes."""

import threading
import time

import pytest

from sassafrasridge_testkit import harness

GAP_LIMIT_S = 8.0
PLANNED_GAP_S = 2.0


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1', 'z2', 'z3'), ('z1', 'z2', 'z3'))


class Load:
    """Insert distinct values from several callers until stopped."""

    def __init__(self, system, first, callers=3):
        self._system = system
        self._first = first
        self._stop = threading.Event()
        self.acknowledged = []
        self.unknown = []
        self.not_run = []
        self.times = []
        self._threads = [
            threading.Thread(target=self._run, args=(n,))
            for n in range(callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        caller = self._system.caller(number)
        value = self._first + number
        while not self._stop.is_set():
            answer = caller.statements(
                ('INSERT INTO t VALUES (?)', [value]), deadline_ms=8000
            )
            self._record(value, answer)
            value += len(self._threads)
            time.sleep(0.005)

    def _record(self, value, answer):
        if answer.status == 200:
            self.acknowledged.append(value)
            self.times.append(time.monotonic())
        elif answer.body['error']['outcome'] == 'unknown':
            self.unknown.append(value)
        else:
            self.not_run.append((value, answer))

    def gap_since(self, moment):
        """Return seconds until the next acknowledged write."""
        return min(t for t in self.times if t > moment) - moment

    def check(self, stored):
        """Check every answer against what the primary holds."""
        stored = [v for v in stored if v >= self._first]
        assert len(stored) == len(set(stored)), 'a write ran twice'
        missing = set(self.acknowledged) - set(stored)
        assert not missing, f'acknowledged writes are lost: {missing}'
        false = {value for value, _ in self.not_run} & set(stored)
        assert not false, f'"not run" was said of {false}'


class TestPrimaryKilled:
    def test_no_acknowledged_write_is_lost(self, system):
        """Guards against losing or doubling writes on failover."""
        with Load(system, 10_000) as load:
            time.sleep(0.5)
            victim = system.group.primary()
            moment = time.monotonic()
            victim.process.kill()
            time.sleep(3.0)
        load.check(system.values())
        assert load.gap_since(moment) < GAP_LIMIT_S
        assert not load.unknown
        assert not load.not_run
        victim.restart()
        system.wait_settled()


class TestPrimaryPaused:
    def test_no_write_is_acknowledged_by_the_former_primary(self, system):
        """Guards against acknowledging from a replaced primary."""
        with Load(system, 20_000) as load:
            time.sleep(0.5)
            victim = system.group.primary()
            moment = time.monotonic()
            victim.process.pause()
            time.sleep(2.5)
            victim.process.resume()
            time.sleep(1.0)
        load.check(system.values())
        assert load.gap_since(moment) < GAP_LIMIT_S
        assert not load.unknown
        system.wait_settled()


class TestLeavingPrimary:
    def test_a_planned_change_refuses_nothing(self, system):
        """Guards against cutting requests when a primary leaves."""
        with Load(system, 30_000) as load:
            time.sleep(0.5)
            leaving = system.group.primary()
            moment = time.monotonic()
            leaving.faults(leaving=True)
            time.sleep(3.0)
            before = leaving.observations()['executions']
            time.sleep(0.5)
            after = leaving.observations()['executions']
        load.check(system.values())
        assert not load.unknown
        assert not load.not_run
        assert load.gap_since(moment) < PLANNED_GAP_S
        assert before == after, 'a leaving target got new work after 3 s'
        leaving.faults(leaving=False)
        system.wait_settled()


class TestLeavingReplica:
    def test_it_gets_no_new_reads(self, system):
        """Guards against sending work to a target that leaves."""
        replica = next(
            s
            for s in system.group.servers.values()
            if s.status()['role'] == 'replica'
        )
        caller = system.caller(0)

        def served_by():
            answer = caller.read('SELECT 1')
            assert answer.status == 200, answer
            return answer.body['served_by']['server']

        harness.wait_until(
            lambda: served_by() == replica.name, 5, 'read from the replica'
        )
        replica.faults(leaving=True)
        time.sleep(3.0)
        assert replica.name not in {served_by() for _ in range(50)}
        replica.faults(leaving=False)


class TestRepeatedFailover:
    def test_promoted_replica_killed_right_after(self, system):
        """Guards against losing writes when two primaries die in turn."""
        with Load(system, 40_000) as load:
            time.sleep(0.3)
            first = system.group.primary()
            first.process.kill()
            time.sleep(1.5)
            first.restart()
            system.wait_settled()
            second = system.group.primary()
            second.process.kill()
            time.sleep(2.5)
        load.check(system.values())
        assert not load.unknown
        second.restart()
        system.wait_settled()
