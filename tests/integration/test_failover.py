"""Tests of changes of primary under load."""

import threading
import time

import pytest

from sassafrasridge_testkit import harness

MAX_WRITE_GAP_S = 8.0
MAX_PLANNED_WRITE_GAP_S = 2.0


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1', 'z2', 'z3'), ('z1', 'z2', 'z3'))


class WriteLoad:
    """Insert distinct values from several callers until stopped."""

    def __init__(self, system, first_value, callers=3):
        self._system = system
        self._first_value = first_value
        self._stop = threading.Event()
        self.acknowledged = []
        self.unknown = []
        self.not_run = []
        self.acknowledged_at = []
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
        value = self._first_value + number
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
            self.acknowledged_at.append(time.monotonic())
        elif answer.body['error']['outcome'] == 'unknown':
            self.unknown.append(value)
        else:
            self.not_run.append((value, answer))

    def gap_since(self, moment):
        """Return seconds from a moment to the next acknowledged write."""
        return min(t for t in self.acknowledged_at if t > moment) - moment

    def check(self, stored):
        """Check every answer against the values that the primary stores."""
        stored = [v for v in stored if v >= self._first_value]
        assert len(stored) == len(set(stored)), 'a write ran twice'
        missing = set(self.acknowledged) - set(stored)
        assert not missing, f'acknowledged writes are lost: {missing}'
        false_not_run = {value for value, _ in self.not_run} & set(stored)
        assert not false_not_run, (
            f'writes ran but were answered "not_run": {false_not_run}'
        )


class TestPrimaryKilled:
    def test_no_acknowledged_write_is_lost(self, system):
        """Guards against losing or repeating writes on failover."""
        with WriteLoad(system, 10_000) as load:
            time.sleep(0.5)
            victim = system.group.primary()
            moment = time.monotonic()
            victim.process.kill()
            time.sleep(3.0)
        load.check(system.values())
        assert load.gap_since(moment) < MAX_WRITE_GAP_S
        assert not load.unknown
        assert not load.not_run
        victim.restart()
        system.wait_settled()


class TestPrimaryPaused:
    def test_no_write_is_acknowledged_by_the_former_primary(self, system):
        """Guards against acknowledging a write to a replaced primary."""
        with WriteLoad(system, 20_000) as load:
            time.sleep(0.5)
            victim = system.group.primary()
            moment = time.monotonic()
            victim.process.pause()
            time.sleep(2.5)
            victim.process.resume()
            time.sleep(1.0)
        load.check(system.values())
        assert load.gap_since(moment) < MAX_WRITE_GAP_S
        assert not load.unknown
        system.wait_settled()


class TestLeavingPrimary:
    def test_a_planned_change_refuses_nothing(self, system):
        """Guards against failing requests while a primary leaves."""
        with WriteLoad(system, 30_000) as load:
            time.sleep(0.5)
            leaving = system.group.primary()
            moment = time.monotonic()
            leaving.set_faults(leaving=True)
            time.sleep(3.0)
            executions_before = leaving.observations()['executions']
            time.sleep(0.5)
            executions_after = leaving.observations()['executions']
        load.check(system.values())
        assert not load.unknown
        assert not load.not_run
        assert load.gap_since(moment) < MAX_PLANNED_WRITE_GAP_S
        assert executions_before == executions_after, (
            'a leaving target received requests after 3 s'
        )
        leaving.set_faults(leaving=False)
        system.wait_settled()


class TestLeavingReplica:
    def test_it_gets_no_new_reads(self, system):
        """Guards against sending requests to a target that is leaving."""
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
        replica.set_faults(leaving=True)
        time.sleep(3.0)
        assert replica.name not in {served_by() for _ in range(50)}
        replica.set_faults(leaving=False)


class TestRepeatedFailover:
    def test_promoted_replica_killed_right_after(self, system):
        """Guards against losing writes when two primaries fail in turn."""
        with WriteLoad(system, 40_000) as load:
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
