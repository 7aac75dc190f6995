"""Tests of sessions at entry processes that relay their statements."""

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
        tenants = found.next_configuration()['tenants']
        small = {'name': 'small', 'apiKeys': ['key-small'], **SMALL}
        found.configure(found.next_configuration(tenants=[*tenants, small]))
        # Every process has the configuration once its lease was renewed.
        time.sleep(1.0)
        yield found
    finally:
        found.stop()


def relaying_entries(cluster):
    """Return the entry processes that relay because they do not serve."""
    zones = {
        node.name: linecluster.ZONES[n % len(linecluster.ZONES)]
        for n, node in enumerate(cluster.entries)
    }
    serving = placement.serving_set('group0', list(zones), zones=zones)
    relaying = [n for n in cluster.entries if n.name not in serving]
    assert len(relaying) == ENTRIES - placement.SERVING_SET_SIZE
    return relaying


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
        for node in relaying_entries(cluster):
            caller = cluster.caller(node, 'group0-primary')
            other = cluster.caller(cluster.entries[0], 'group0-primary')
            assert caller.query('BEGIN').state == 'T'
            caller.query('STORE far 1')
            assert other.query('FETCH far').rows != ['1']
            assert caller.query('COMMIT').state == 'I'
            assert other.query('FETCH far').rows == ['1']
            other.query('STORE far 0')

    def test_closed_session_rolls_back_its_transaction(self, cluster):
        caller = cluster.caller(relaying_entries(cluster)[0], 'group0-primary')
        caller.query('BEGIN')
        caller.query('STORE left_behind 1')
        caller.close()
        other = cluster.caller(cluster.entries[0], 'group0-primary')
        time.sleep(0.3)
        assert other.query('FETCH left_behind').rows == ['none']

    def test_prepared_statements_and_values_are_relayed(self, cluster):
        caller = cluster.caller(relaying_entries(cluster)[0], 'group0-primary')
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
        """Guards against granting the whole burst in each process."""
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
                except linecaller.ErrorReply:
                    continue
        elapsed = time.monotonic() - started
        assert served <= SMALL['burst'] + SMALL['ratePerS'] * elapsed + 1
        # The whole rate is available, whichever process gets the requests.
        assert served >= 0.8 * SMALL['ratePerS'] * elapsed


class TestLoss:
    def test_processes_that_serve_are_killed(self, cluster):
        """Guards against sessions that depend on one serving process."""
        node = relaying_entries(cluster)[0]
        caller = cluster.caller(node, 'group0-read_your_writes')
        caller.query('STORE kept yes')
        relaying = {n.name for n in relaying_entries(cluster)}
        serving = [n for n in cluster.entries if n.name not in relaying]
        for victim in serving[:3]:
            victim.process.kill()
        answer = test_platform.retry_until_success(
            lambda: caller.query('FETCH kept'), 5.0
        )
        assert answer.rows == ['yes']
