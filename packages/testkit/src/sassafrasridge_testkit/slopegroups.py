"""Costs of database groups at the control leader and of probes."""

import asyncio
import os
import time
import tracemalloc
import typing

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import groups
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters

GROUPS = (30, 60, 120, 240, 480)
OBSERVERS = 7
KEEPER_S = 0.5
PROBES = (25, 50, 100, 200)
SETS = (40, 80, 160, 320, 640)
SERVED = 39


class Store(groups.GroupStore):
    """Hold committed views of groups in memory."""

    def __init__(self) -> None:
        self._views: dict[str, model.GroupView] = {}

    def view(self, group: str) -> model.GroupView | None:
        """Return the committed view of a group."""
        return self._views.get(group)

    def revision(self) -> int:
        """Return the revision of all group views."""
        return len(self._views)

    async def commit(self, view: model.GroupView) -> None:
        """Commit the view of a group."""
        self._views[view.group] = view

    def names(self) -> list[str]:
        """Return the names of all groups."""
        return list(self._views)


async def _fill(
    store: Store, detector: promotion.FailureDetector, n: int
) -> None:
    # Sightings in the future stay recent during the measurement.
    at = clocks.boottime() + 1000.0
    for number in range(3 * n):
        role = 'replica' if number % 3 else 'primary'
        info = slopelab.target(number, role)
        for observer in range(OBSERVERS):
            detector.report(
                f'entry-{observer}',
                info.group,
                info.server,
                promotion.TargetObservation(at, 0.0, 0.0, info),
            )
    for number in range(n):
        servers = [slopelab.target(3 * number + k) for k in range(3)]
        members = {s.server: s.address for s in servers}
        await store.commit(
            model.GroupView(
                servers[0].group, 1, servers[0].server, members, {1: 0}
            )
        )


async def _keeper_rate(count: int) -> float:
    store = Store()
    detector = promotion.FailureDetector(0.8)
    await _fill(store, detector, count)
    keeper = groups.HttpGroupReconciler(
        store,
        detector,
        leases.LeaseTable(leases.LeaseTimes(0.3, 1.2, 4.0), 0.0),
        'z1',
        connections.Dialer(),
        metrics.Metrics(),
    )
    before, started = time.process_time(), time.monotonic()
    task = asyncio.ensure_future(keeper.run())
    await asyncio.sleep(KEEPER_S)
    used = time.process_time() - before
    elapsed = time.monotonic() - started
    task.cancel()
    return used / elapsed


def keeper() -> slopefit.Slope:
    """Measure the check of all groups, without the sending of orders."""
    slope = slopefit.Slope(
        'group_keeper_cpu',
        'Processor time a second of the check of all groups at the leader',
        'database group',
        's/s',
        note='the real keeper with 3 servers a group and 7 observers a '
        'server; views in memory, no order is due; 1.0 means that the loop '
        'is saturated',
    )
    for count in GROUPS:
        for _ in range(slopelab.REPETITIONS):
            slope.add(count, asyncio.run(_keeper_rate(count)))
    return slope


def _addresses(count: int) -> list[typing.Any]:
    return [
        rpc.idl.EntryAddress(
            entry=f'entry-{number}',
            zone=f'z{number % 6}',
            address=f'10.0.{number // 250}.{number % 250}:7300',
            draining=False,
        )
        for number in range(count)
    ]


def _state(count: int) -> entry.EntryState:
    state = entry.EntryState(
        'entry-0',
        'z1',
        leases.LeaseTimes(0.3, 1.2, 4.0),
        connections.Dialer(),
        metrics.Metrics(),
    )
    records = _addresses(count)
    state.apply_entries(rpc.idl.RenewReply(entries=records))
    return state


def serving() -> slopefit.Slope:
    """Measure the decisions about serving sets of one renewal."""
    slope = slopefit.Slope(
        'serving_set_cpu',
        'Processor time to decide whether 39 targets are served here, '
        'by live entry processes',
        'live entry process',
        's',
        note='part of every renewal and of every round of probes',
    )
    for count in SETS:
        state = _state(count)
        for _ in range(slopelab.REPETITIONS):
            before = time.process_time()
            for _ in range(3):
                for number in range(SERVED):
                    state.serves(slopelab.target(number).group)
            slope.add(count, (time.process_time() - before) / 3)
    return slope


def entry_list() -> slopefit.Slope:
    """Count the bytes of the list of entry processes in a reply."""
    slope = slopefit.Slope(
        'entry_list_bytes',
        'Bytes of the list of entry processes, by live entry processes',
        'live entry process',
        'bytes',
        note='sent only when the list has changed',
    )
    for count in SETS:
        reply = rpc.idl.RenewReply(granted=True, entries=_addresses(count))
        slope.add(count, float(len(rpc.encode_message('renew', 1, 1, reply))))
    return slope


def memory() -> slopefit.Slope:
    """Measure what an entry process keeps for groups that it may reach."""
    slope = slopefit.Slope(
        'group_entry_memory',
        'Memory of an entry process for group views and targets, by groups',
        'database group',
        'bytes',
        note='3 servers a group, allocated by Python (tracemalloc)',
    )
    for count in GROUPS:
        for _ in range(slopelab.REPETITIONS):
            state = _state(1)
            tracemalloc.start()
            state.apply_groups(_records(count))
            slope.add(count, float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
    return slope


def leader_memory() -> slopefit.Slope:
    """Measure views and sightings of groups at the leader."""
    slope = slopefit.Slope(
        'group_leader_memory',
        'Memory of the leader for group views and sightings, by groups',
        'database group',
        'bytes',
        note='3 servers a group, 7 observers a server, allocated by Python '
        '(tracemalloc); connection ledgers are not included',
    )
    for count in GROUPS:
        for _ in range(slopelab.REPETITIONS):
            store, detector = Store(), promotion.FailureDetector(0.8)
            tracemalloc.start()
            asyncio.run(_fill(store, detector, count))
            slope.add(count, float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
    return slope


def _records(count: int) -> typing.Any:
    views = []
    for number in range(count):
        servers = [slopelab.target(3 * number + k) for k in range(3)]
        members = {s.server: s.address for s in servers}
        view = model.GroupView(
            servers[0].group, 1, servers[0].server, members, {1: 0}
        )
        views.append(codec.group_to_wire(view))
    return rpc.idl.RenewReply(groups=views, view_revision=count)


def probes(kit: harness.Harness) -> slopefit.Slope:
    """Measure probes of a target's status."""
    slope = slopefit.Slope(
        'probe_cpu', 'Processor time of probes of a target', 'probe', 's'
    )
    group = kit.start_group('probed', zones=('z1',), durable=False)
    address = group['probed1'].listen

    async def run() -> None:
        state = _state(1)
        info = slopelab.target(0)
        info.address = address
        state.record_announcement(info)
        backend = state.backends[info.group, info.server]
        backend.pool.limit = 3
        backend.pool.fill(1)
        await asyncio.sleep(0.1)
        for count in PROBES:
            for _ in range(slopelab.REPETITIONS):
                before = slopemeters.cpu_s(os.getpid())
                for _ in range(count):
                    if not await backend.probe():
                        raise AssertionError('a probe got no answer')
                slope.add(count, slopemeters.cpu_s(os.getpid()) - before)
        backend.pool.close()

    asyncio.run(run())
    return slope


def measure(kit: harness.Harness) -> list[slopefit.Slope]:
    """Return the slopes of groups and probes."""
    return [
        keeper(),
        serving(),
        entry_list(),
        memory(),
        leader_memory(),
        probes(kit),
    ]
