"""Tests of when the group reconciler runs a step."""

import asyncio

import pytest

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import groups
from sassafrasridge_node import metrics

SERVERS = ('a', 'b', 'c')
TIMES = leases.LeaseTimes(0.3, 1.2, 4.0)


def address(server):
    return f'127.0.0.1:1{ord(server)}'


class Store(groups.GroupStore):
    def __init__(self, view):
        self._view = view

    def view(self, group):
        return self._view

    def revision(self):
        return 1

    async def commit(self, view):
        self._view = view

    def names(self):
        return ['g']

    def drained_zones(self):
        return frozenset(['z1'])


class CountingReconciler(groups.HttpGroupReconciler):
    """Counts steps instead of taking them."""

    steps = 0

    async def _step(self, group):
        self.steps += 1


def view(**changes):
    values = {
        'group': 'g',
        'term': 1,
        'primary': 'a',
        'members': {name: address(name) for name in SERVERS},
        'starts': {1: 0},
        'changing': False,
    }
    return model.GroupView(**{**values, **changes})


def info(server, **changes):
    values = {
        'server': server,
        'group': 'g',
        'zone': 'z',
        'address': address(server),
        'role': 'primary' if server == 'a' else 'replica',
        'term': 1,
        'position': 5,
        'slots': 2,
        'connections': 30,
        'leaving': False,
    }
    return model.TargetInfo(**{**values, **changes})


def count_steps(group_view, targets, age=0.1):
    detector = promotion.FailureDetector(0.8)
    table = leases.LeaseTable(TIMES, float('-inf'))
    now = clocks.boottime()
    for observer in ('x', 'y'):
        table.grant(now, observer, observer)
        for target in targets:
            detector.report(
                observer,
                'g',
                target.server,
                promotion.TargetObservation(now, age, age, target),
            )
    reconciler = CountingReconciler(
        Store(group_view),
        detector,
        table,
        'z',
        connections.Dialer(),
        metrics.Metrics(),
    )

    async def run():
        task = asyncio.ensure_future(reconciler.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    return reconciler.steps


ALL = [info(name) for name in SERVERS]


class TestSteps:
    def test_reconciled_group_runs_no_step(self):
        """Guards against a task per unchanged group at each interval."""
        assert count_steps(view(), ALL) == 0

    @pytest.mark.parametrize(
        ('group_view', 'targets', 'age'),
        [
            (None, ALL, 0.1),
            (view(changing=True, primary=None), ALL, 0.1),
            (view(primary=None), ALL, 0.1),
            (view(), ALL, 0.9),
            (view(), ALL[:2], 0.1),
            (view(), [*ALL[:2], info('c', term=0)], 0.1),
            (view(), [*ALL[:2], info('c', role='primary')], 0.1),
            (view(), [info('a', role='replica'), *ALL[1:]], 0.1),
            (view(), [info('a', leaving=True), *ALL[1:]], 0.1),
            (view(), [*ALL[:2], info('c', address='127.0.0.1:9')], 0.1),
            (view(), [*ALL, info('d')], 0.1),
        ],
    )
    def test_group_that_differs_runs_a_step(self, group_view, targets, age):
        """Guards against ignoring a change of a group."""
        assert count_steps(group_view, targets, age) == 1

    @pytest.mark.parametrize(
        ('zone', 'position', 'steps'),
        [('z', 5, 1), ('z', 4, 0), ('z1', 5, 0)],
    )
    def test_a_drained_primary_waits_for_a_member_outside(
        self, zone, position, steps
    ):
        """Guards against a change that ends in the drained zone again.

        No entry process contacts the primary, so all report its silence.
        """
        others = [info(n, zone=zone, position=position) for n in ('b', 'c')]
        targets = [info('a', zone='z1'), *others]
        assert count_steps(view(), targets, age=0.9) == steps
