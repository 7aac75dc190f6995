"""Tests of home regions and cold targets with real processes."""

import pathlib
import threading
import time

import pytest

from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

COLD_RATE = 8
COLD_S = 4.0


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('regions')), groups=1
    )
    try:
        found.start()
        yield found
    finally:
        found.stop()


def configure(cluster, region, **service):
    """Add routes for the targets of a region; set fields of the service."""
    body = cluster.next_configuration()
    for kind in ('bounded_staleness', 'primary'):
        (route,) = (r for r in body['routes'] if r['type'] == kind)
        home = {**route, 'host': f'{region}-{kind}'}
        body['routes'].append({**home, 'allowedRegions': [region]})
    body['services'][0].update(service)
    cluster.configure(body)
    for node in cluster.entries:
        processes.wait_until(
            lambda n=node: knows(cluster, n, f'{region}-primary'),
            10.0,
            f'{node.name} knows the routes of {region}',
        )


def knows(cluster, node, database):
    try:
        cluster.caller(node, database).close()
        return True
    except (OSError, linecaller.ErrorReply):
        return False


def fails(caller, text):
    try:
        caller.query(text)
        return False
    except linecaller.ErrorReply:
        return True


def servers_with(cluster, word):
    return {
        s['server']
        for s in cluster.servers('group0')
        if any(word in text for _, _, text in s['statements'])
    }


class TestHomeRegions:
    def test_no_text_leaves_the_region(self, cluster):
        """Guards against a retry elsewhere when the region's target fails."""
        configure(cluster, 'r1')
        primary = cluster.primary('group0')['server']
        home = cluster.servers('group0')[1]['server']
        assert primary != home
        callers = [
            cluster.caller(node, 'r1-bounded_staleness')
            for node in cluster.entries
        ]
        for caller in callers:
            for turn in range(10):
                caller.query(f'FETCH homely{turn}')
        assert servers_with(cluster, 'homely') == {home}
        writer = cluster.caller(cluster.entries[0], 'r1-primary')
        started = time.monotonic()
        assert fails(writer, 'STORE kept_at_home 1')
        assert time.monotonic() - started < 0.5
        cluster.post_to_platform('/faults', server=home, crash=True)
        assert all(fails(caller, 'FETCH orphaned') for caller in callers)
        cluster.post_to_platform('/faults', server=home, start=True)
        assert servers_with(cluster, 'kept_at_home') == set()
        assert servers_with(cluster, 'orphaned') <= {home}


class TestColdTarget:
    def test_a_restarted_replica_gets_its_rate(self, cluster):
        """Guards against full load on a target that has just started.

        Load: 8 callers that read without pause through two processes, and
        that only this target may serve.
        """
        configure(cluster, 'r2', coldPerS=COLD_RATE, coldStartS=COLD_S)
        cold = cluster.servers('group0')[2]['server']
        stopping = threading.Event()

        def read(node):
            caller = cluster.caller(node, 'r2-bounded_staleness')
            while not stopping.is_set():
                fails(caller, 'FETCH busy')
                time.sleep(0.01)

        threads = [
            threading.Thread(target=read, args=(cluster.entries[n % 2],))
            for n in range(8)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        cluster.post_to_platform('/faults', server=cold, crash=True)
        cluster.post_to_platform(
            '/faults', server=cold, start=True, cold_s=COLD_S
        )
        restarted = time.monotonic()
        time.sleep(COLD_S + 3.0)
        stopping.set()
        for thread in threads:
            thread.join()
        (server,) = (
            s for s in cluster.servers('group0') if s['server'] == cold
        )
        times = server['load_times']
        while_cold = [t for t in times if 0 < t - restarted < COLD_S]
        busiest = max(
            sum(t <= other < t + 1.0 for other in while_cold)
            for t in while_cold
        )
        # Statements spend unequal times on the way.
        assert 1 <= busiest <= COLD_RATE + 2
        assert len(while_cold) >= COLD_RATE * (COLD_S - 2.0)
        before = sum(t < restarted for t in times)
        after = sum(t > restarted + COLD_S for t in times)
        assert min(before, after) > 10 * COLD_RATE
