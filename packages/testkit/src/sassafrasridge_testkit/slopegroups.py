"""Costs of database groups at the leader and entry processes, and probes."""

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

GROUP_COUNTS = (30, 60, 120, 240, 480)
OBSERVERS_PER_SERVER = 7
KEEPER_RUN_S = 0.5
PROBE_COUNTS = (25, 50, 100, 200)
ENTRY_COUNTS = (40, 80, 160, 320, 640)
SERVED_TARGET_COUNT = 39


class MemoryGroupStore(groups.GroupStore):
    """Hold committed group views in memory, without replication."""

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


async def _add_groups(
    store: MemoryGroupStore,
    detector: promotion.FailureDetector,
    group_count: int,
) -> None:
    # A time in the future keeps the sightings recent while measuring.
    observed_at = clocks.boottime() + 1000.0
    for number in range(3 * group_count):
        role = 'replica' if number % 3 else 'primary'
        target = slopelab.target_info(number, role)
        for observer in range(OBSERVERS_PER_SERVER):
            detector.report(
                f'entry-{observer}',
                target.group,
                target.server,
                promotion.TargetObservation(observed_at, 0.0, 0.0, target),
            )
    for number in range(group_count):
        servers = [
            slopelab.target_info(3 * number + index) for index in range(3)
        ]
        members = {server.server: server.address for server in servers}
        await store.commit(
            model.GroupView(
                servers[0].group, 1, servers[0].server, members, {1: 0}
            )
        )


async def _measure_keeper_cpu_rate(count: int) -> float:
    store = MemoryGroupStore()
    detector = promotion.FailureDetector(0.8)
    await _add_groups(store, detector, count)
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
    await asyncio.sleep(KEEPER_RUN_S)
    used = time.process_time() - before
    elapsed = time.monotonic() - started
    task.cancel()
    return used / elapsed


def measure_group_check() -> slopefit.CostSeries:
    """Measure the periodic check of all groups, without sending orders."""
    series = slopefit.CostSeries(
        'group_keeper_cpu',
        'Processor time a second of the check of all groups at the leader',
        'database group',
        's/s',
        note='the real keeper with 3 servers a group and 7 observers a '
        'server; views in memory, no order is due; 1.0 means that the loop '
        'is saturated',
    )
    for count in GROUP_COUNTS:
        for _ in range(slopelab.REPETITIONS):
            series.add(count, asyncio.run(_measure_keeper_cpu_rate(count)))
    return series


def _entry_addresses(count: int) -> list[typing.Any]:
    return [
        rpc.idl.EntryAddress(
            entry=f'entry-{number}',
            zone=f'z{number % 6}',
            address=f'10.0.{number // 250}.{number % 250}:7300',
            draining=False,
        )
        for number in range(count)
    ]


def _entry_state(count: int) -> entry.EntryState:
    state = entry.EntryState(
        'entry-0',
        'z1',
        leases.LeaseTimes(0.3, 1.2, 4.0),
        connections.Dialer(),
        metrics.Metrics(),
    )
    addresses = _entry_addresses(count)
    state.apply_entries(rpc.idl.RenewReply(entries=addresses))
    return state


def measure_serving_sets() -> slopefit.CostSeries:
    """Measure the serving-set lookups of one renewal."""
    series = slopefit.CostSeries(
        'serving_set_cpu',
        'Processor time to decide whether 39 targets are served here, '
        'by live entry processes',
        'live entry process',
        's',
        note='part of every renewal and of every round of probes',
    )
    for count in ENTRY_COUNTS:
        state = _entry_state(count)
        for _ in range(slopelab.REPETITIONS):
            before = time.process_time()
            for _ in range(3):
                for number in range(SERVED_TARGET_COUNT):
                    state.serves(slopelab.target_info(number).group)
            series.add(count, (time.process_time() - before) / 3)
    return series


def measure_entry_list() -> slopefit.CostSeries:
    """Count the bytes of the entry process list in a renewal reply."""
    series = slopefit.CostSeries(
        'entry_list_bytes',
        'Bytes of the list of entry processes, by live entry processes',
        'live entry process',
        'bytes',
        note='sent only when the list has changed',
    )
    for count in ENTRY_COUNTS:
        reply = rpc.idl.RenewReply(
            granted=True, entries=_entry_addresses(count)
        )
        series.add(count, float(len(rpc.encode_message('renew', 1, 1, reply))))
    return series


def measure_entry_memory() -> slopefit.CostSeries:
    """Measure the memory of group views and targets at an entry process."""
    series = slopefit.CostSeries(
        'group_entry_memory',
        'Memory of an entry process for group views and targets, by groups',
        'database group',
        'bytes',
        note='3 servers a group, allocated by Python (tracemalloc)',
    )
    for count in GROUP_COUNTS:
        for _ in range(slopelab.REPETITIONS):
            state = _entry_state(1)
            tracemalloc.start()
            state.apply_groups(_groups_reply(count))
            series.add(count, float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
    return series


def measure_leader_memory() -> slopefit.CostSeries:
    """Measure the memory of group views and sightings at the leader."""
    series = slopefit.CostSeries(
        'group_leader_memory',
        'Memory of the leader for group views and sightings, by groups',
        'database group',
        'bytes',
        note='3 servers a group, 7 observers a server, allocated by Python '
        '(tracemalloc); connection ledgers are not included',
    )
    for count in GROUP_COUNTS:
        for _ in range(slopelab.REPETITIONS):
            store, detector = (
                MemoryGroupStore(),
                promotion.FailureDetector(0.8),
            )
            tracemalloc.start()
            asyncio.run(_add_groups(store, detector, count))
            series.add(count, float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
    return series


def _groups_reply(count: int) -> typing.Any:
    views = []
    for number in range(count):
        servers = [
            slopelab.target_info(3 * number + index) for index in range(3)
        ]
        members = {server.server: server.address for server in servers}
        view = model.GroupView(
            servers[0].group, 1, servers[0].server, members, {1: 0}
        )
        views.append(codec.group_to_wire(view))
    return rpc.idl.RenewReply(groups=views, view_revision=count)


def measure_probes(kit: harness.Harness) -> slopefit.CostSeries:
    """Measure status probes of a target."""
    series = slopefit.CostSeries(
        'probe_cpu', 'Processor time of probes of a target', 'probe', 's'
    )
    group = kit.start_group('probed', zones=('z1',), durable=False)
    address = group['probed1'].listen

    async def run() -> None:
        state = _entry_state(1)
        target = slopelab.target_info(0)
        target.address = address
        state.record_announcement(target)
        backend = state.backends[target.group, target.server]
        backend.pool.limit = 3
        backend.pool.fill(1)
        await asyncio.sleep(0.1)
        for count in PROBE_COUNTS:
            for _ in range(slopelab.REPETITIONS):
                before = slopemeters.cpu_s(os.getpid())
                for _ in range(count):
                    if not await backend.probe():
                        raise AssertionError(
                            f'probe of target {address} failed'
                        )
                series.add(count, slopemeters.cpu_s(os.getpid()) - before)
        backend.pool.close()

    asyncio.run(run())
    return series


def measure(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the costs of groups and probes."""
    return [
        measure_group_check(),
        measure_serving_sets(),
        measure_entry_list(),
        measure_entry_memory(),
        measure_leader_memory(),
        measure_probes(kit),
    ]
