"""Tests of processes that missed large changes, with real processes."""

import pathlib
import threading

import pytest

from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

# Each change rewrites all routes, so that the changes together exceed a
# message between daemons several times.
ROUTES = 700
CHANGES = 25
# Longest change of primary that the users accept.
MAX_CHANGE_S = 8.0


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('missed')), entries=3, groups=1
    )
    try:
        found.start()
        yield found
    finally:
        found.stop()


def large_change(cluster):
    """Send a configuration that changes each of many routes."""
    body = cluster.next_configuration()
    (first, *_) = body['routes']
    body['routes'] += [
        {**first, 'name': f'r-{n}', 'host': f'added-{n}-{"x" * 40}'}
        for n in range(ROUTES)
    ]
    body['limits'] = {'txIdleMs': 1500 + cluster.version}
    cluster.configure(body)


def crash_primary(cluster):
    """Crash the primary; return once another target leads."""
    (group,) = cluster.group_names
    former = cluster.primary(group)['server']
    cluster.post_to_platform('/faults', server=former, crash=True)
    try:
        processes.wait_until(
            lambda: (
                (found := cluster.primary(group)) and found['server'] != former
            ),
            MAX_CHANGE_S,
            'another primary',
        )
    finally:
        cluster.post_to_platform('/faults', server=former, crash=False)


class TestFrozenDuringChanges:
    """Pattern: machines freeze one after the other while changes come."""

    def test_the_primary_changes_and_all_serve(self, cluster):
        """Guards against waiting for a process that can't be reached."""
        large_change(cluster)
        cluster.wait_serving()
        for node in cluster.entries[:2]:
            node.process.pause()
            resume = threading.Timer(3.5, node.process.resume)
            resume.start()
            try:
                for _ in range(CHANGES):
                    large_change(cluster)
            finally:
                resume.join()
        crash_primary(cluster)
        cluster.wait_serving(MAX_CHANGE_S)
