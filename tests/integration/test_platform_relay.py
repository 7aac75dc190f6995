"""Sessions at entry processes that serve no group, with real processes."""

import pathlib
import time

import pytest

from sassafrasridge_core import placement
from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from tests.integration import test_platform

ENTRIES = 9
SMALL = {'ratePerS': 20, 'burst': 6}


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('relay')),
        entries=ENTRIES,
        groups=1,
    )
    try:
        found.start()
        tenants = found.body()['tenants']
        small = {'name': 'small', 'apiKeys': ['key-small'], **SMALL}
        found.configure(found.body(tenants=[*tenants, small]))
        # The order is in force everywhere once every lease was renewed.
        time.sleep(1.0)
        yield found
    finally:
        found.stop()


def outside(cluster):
    """Return the entry processes that keep no connections to the group."""
    zones = {
        node.name: linecluster.ZONES[n % len(linecluster.ZONES)]
        for n, node in enumerate(cluster.entries)
    }
    serving = placement.serving_set('group0', list(zones), zones=zones)
    found = [n for n in cluster.entries if n.name not in serving]
    assert len(found) == ENTRIES - placement.SERVING_SET_SIZE
    return found


class TestRelayedSessions:
    def test_every_process_reads_its_own_writes(self, cluster):
        for number, node in enumerate(cluster.entries):
            caller = cluster.caller(node, 'group0-read_your_writes')
            for turn in range(5):
                caller.query(f'STORE relayed{number} v{turn}')
                answer = caller.query(f'FETCH relayed{number}')
                assert answer.rows == [f'v{turn}']
            caller.close()

    def test_a_transaction_is_atomic_on_one_connection(self, cluster):
        for node in outside(cluster):
            caller = cluster.caller(node, 'group0-primary')
            other = cluster.caller(cluster.entries[0], 'group0-primary')
            assert caller.query('BEGIN').state == 'T'
            caller.query('STORE far 1')
            assert other.query('FETCH far').rows != ['1']
            assert caller.query('COMMIT').state == 'I'
            assert other.query('FETCH far').rows == ['1']
            other.query('STORE far 0')

    def test_a_client_that_leaves_keeps_nothing(self, cluster):
        caller = cluster.caller(outside(cluster)[0], 'group0-primary')
        caller.query('BEGIN')
        caller.query('STORE left_behind 1')
        caller.close()
        other = cluster.caller(cluster.entries[0], 'group0-primary')
        time.sleep(0.3)
        assert other.query('FETCH left_behind').rows == ['none']

    def test_prepared_statements_and_values_go_along(self, cluster):
        caller = cluster.caller(outside(cluster)[0], 'group0-primary')
        caller.query('SET tone relayed')
        caller.query('PREPARE s1 STORE q1')
        caller.query('EXECUTE s1 prepared_far yes')
        assert caller.query('FETCH prepared_far').rows == ['yes']
        texts = [
            text
            for server in cluster.servers('group0')
            for _, _, text in server['statements']
        ]
        assert 'SET tone relayed' in texts


class TestSmallAccount:
    def test_the_fleet_keeps_one_limit(self, cluster):
        """Guards against a burst for each process."""
        callers = [
            cluster.caller(node, 'group0-primary', 'small')
            for node in cluster.entries
        ]
        started = time.monotonic()
        served = 0
        while time.monotonic() < started + 2.0:
            for caller in callers:
                try:
                    caller.query('FETCH ready')
                    served += 1
                except linecaller.Failed:
                    continue
        elapsed = time.monotonic() - started
        assert served <= SMALL['burst'] + SMALL['ratePerS'] * elapsed + 1
        # The rate is served wherever its requests arrive.
        assert served >= 0.8 * SMALL['ratePerS'] * elapsed


class TestLoss:
    def test_processes_that_serve_are_killed(self, cluster):
        """Guards against sessions that depend on one process."""
        node = outside(cluster)[0]
        caller = cluster.caller(node, 'group0-read_your_writes')
        caller.query('STORE kept yes')
        names = {n.name for n in outside(cluster)}
        serving = [n for n in cluster.entries if n.name not in names]
        for victim in serving[:3]:
            victim.process.kill()
        answer = test_platform.run_until_done(
            lambda: caller.query('FETCH kept'), 5.0
        )
        assert answer.rows == ['yes']
