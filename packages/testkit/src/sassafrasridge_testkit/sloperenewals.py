"""Costs of a lease renewal at entry processes, relays and the leader."""

import asyncio
import collections.abc
import copy
import functools
import os
import typing

from sassafrasridge_core import placement
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters

ACCOUNT_COUNTS = (0, 10, 50, 100, 200)
TARGET_COUNTS = (0, 10, 20, 40)
LIVE_ENTRY_COUNTS = (10, 40, 80, 160)
DELTA_COUNTS = (0, 5, 10, 20, 40)
BATCH_SIZES = (1, 4, 8, 16)
RENEWALS_PER_SAMPLE = 40
BATCHES_PER_SAMPLE = 8
# Targets that an entry process serves and observes at the stated size.
SERVED_TARGET_COUNT = 39

ROLES = ('entry', 'leader')
DIRECTIONS = ('sent', 'received')


class RenewalCosts:
    """Collect all costs of a renewal as one size varies."""

    def __init__(self, key: str, what: str, x_unit: str) -> None:
        self.key = key
        self.series_by_name: dict[str, slopefit.CostSeries] = {}
        for role in ROLES:
            self._add(
                f'renewal_{key}_{role}_cpu',
                f'Processor time of a renewal at the {role}, by {what}',
                x_unit,
                's',
            )
        for direction in DIRECTIONS:
            self._add(
                f'renewal_{key}_{direction}_bytes',
                f'Bytes {direction} by an entry process per renewal, '
                f'by {what}',
                x_unit,
                'bytes',
            )

    def _add(self, name: str, title: str, x_unit: str, y_unit: str) -> None:
        self.series_by_name[name] = slopefit.CostSeries(
            name, title, x_unit, y_unit
        )

    def add(self, x: float, costs: dict[str, float]) -> None:
        """Add one sample of each cost at size x."""
        for name, value in costs.items():
            self.series_by_name[f'renewal_{self.key}_{name}'].add(x, value)


class RenewalMeasurement:
    """Measure renewals of simulated entry processes at real members."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.secret = slopelab.cluster_secret(deployment.kit.folder)
        self.leader, self.followers = slopelab.find_leader(deployment)
        self.leader_pid = self.leader.process.pid

    def lease_client(self, name: str) -> slopelab.LeaseClient:
        """Return a simulated entry process that renews with the leader."""
        return slopelab.LeaseClient(name, self.leader.rpc, self.secret)

    async def measure(
        self,
        client: slopelab.LeaseClient,
        prepare: collections.abc.Callable[[], None] = lambda: None,
        count: int = RENEWALS_PER_SAMPLE,
    ) -> dict[str, float]:
        """Return the mean costs of one renewal, net of idle load."""
        meter = slopemeters.CpuMeter(self.leader_pid)
        (idle_rate,) = meter.idle_rates(slopelab.IDLE_SAMPLE_S)
        framing = client.framing
        framing.sent_bytes = framing.received_bytes = 0
        own_cpu_s = 0.0
        meter.start()
        for _ in range(count):
            prepare()
            before = slopemeters.cpu_s(os.getpid())
            await client.renew()
            own_cpu_s += slopemeters.cpu_s(os.getpid()) - before
        elapsed, (leader_cpu_s,) = meter.stop()
        return {
            'entry_cpu': own_cpu_s / count,
            'leader_cpu': max(0.0, leader_cpu_s - idle_rate * elapsed) / count,
            'sent_bytes': framing.sent_bytes / count,
            'received_bytes': framing.received_bytes / count,
        }


def measure_by_accounts(measurement: RenewalMeasurement) -> RenewalCosts:
    """Measure renewals for several numbers of accounts in use."""
    costs = RenewalCosts('accounts', 'accounts in use', 'account in use')

    async def run_measurement() -> None:
        for count in ACCOUNT_COUNTS:
            client = measurement.lease_client(f'accounts-{count}')
            await client.acquire_lease()
            use = functools.partial(client.use_accounts, count)
            for _ in range(slopelab.REPETITIONS):
                use()
                await client.renew()
                costs.add(count, await measurement.measure(client, use))
            client.close()

    asyncio.run(run_measurement())
    return costs


def measure_by_targets(measurement: RenewalMeasurement) -> RenewalCosts:
    """Measure renewals for several numbers of observed targets."""
    costs = RenewalCosts('targets', 'observed targets', 'observed target')

    async def run_measurement() -> None:
        for count in TARGET_COUNTS:
            client = measurement.lease_client(f'targets-{count}')
            await client.acquire_lease()
            client.announce_targets(range(count))
            for _ in range(slopelab.REPETITIONS):
                await client.renew()
                costs.add(count, await measurement.measure(client))
            client.close()

    asyncio.run(run_measurement())
    return costs


def served_targets(name: str, others: list[str]) -> list[int]:
    """Return the numbers of targets whose groups a process serves."""
    found: list[int] = []
    number = 0
    while len(found) < SERVED_TARGET_COUNT:
        group = slopelab.target_info(number).group
        if name in placement.serving_set(group, [name, *others]):
            found += range(number, number + 3)
        number += 3
    return found


def measure_by_live_entries(measurement: RenewalMeasurement) -> RenewalCosts:
    """Measure renewals with 39 targets by number of live entry processes."""
    costs = RenewalCosts('live', 'live entry processes', 'live entry process')

    async def run_measurement() -> None:
        clients: list[slopelab.LeaseClient] = []
        observer = measurement.lease_client('observer')
        names = [f'live-{number}' for number in range(max(LIVE_ENTRY_COUNTS))]
        served = served_targets('observer', names)
        await observer.acquire_lease()
        for count in LIVE_ENTRY_COUNTS:
            added = [
                measurement.lease_client(f'live-{number}')
                for number in range(len(clients) + 1, count)
            ]
            await asyncio.gather(*(client.acquire_lease() for client in added))
            clients += added
            for _ in range(slopelab.REPETITIONS):
                await asyncio.gather(*(client.renew() for client in clients))
                observer.announce_targets(served)
                await observer.renew()
                costs.add(count, await measurement.measure(observer, count=10))
        for client in clients:
            client.close()
        observer.close()

    asyncio.run(run_measurement())
    return costs


def measure_by_deltas(measurement: RenewalMeasurement) -> RenewalCosts:
    """Measure renewals by the number of configuration deltas in the reply."""
    costs = RenewalCosts(
        'deltas', 'configuration deltas', 'configuration delta'
    )

    async def run_measurement() -> None:
        for count in DELTA_COUNTS:
            client = measurement.lease_client(f'deltas-{count}')
            await client.acquire_lease()
            saved = client.state.config
            client.state.config = copy.deepcopy(saved)
            for number in range(count):
                change = dict(
                    kind='account',
                    name=slopelab.account_name(number),
                    rate=1000.0 + number,
                    burst=1000.0 + count,
                )
                measurement.deployment.note(changed=[change])

            def restore_config(
                client: slopelab.LeaseClient = client,
                saved: typing.Any = saved,
            ) -> None:
                client.state.config = copy.deepcopy(saved)

            for _ in range(slopelab.REPETITIONS):
                costs.add(
                    count,
                    await measurement.measure(client, restore_config, 20),
                )
            client.close()

    asyncio.run(run_measurement())
    return costs


def measure_by_batch_size(
    measurement: RenewalMeasurement, targets: bool
) -> list[slopefit.CostSeries]:
    """Measure relayed batches for several numbers of renewals."""
    count = SERVED_TARGET_COUNT if targets else 0
    series_list = [
        slopefit.CostSeries(
            f'relay_batch_{count}_{role}_cpu',
            f'Processor time of a relayed batch at the {role}, by renewals',
            'renewal in a batch',
            's',
            note=f'10 accounts in use and {count} targets in each renewal',
        )
        for role in ('relay', 'leader')
    ]
    asyncio.run(_measure_batches(measurement, targets, series_list))
    return series_list


async def _measure_batches(
    measurement: RenewalMeasurement,
    targets: bool,
    series_list: list[slopefit.CostSeries],
) -> None:
    relay = measurement.followers[0]
    clients = [
        slopelab.LeaseClient(
            f'relayed-{number}', relay.rpc, measurement.secret
        )
        for number in range(max(BATCH_SIZES))
    ]
    names = [client.state.name for client in clients]
    await asyncio.gather(*(client.acquire_lease() for client in clients))
    for client in clients:
        if targets:
            client.announce_targets(served_targets(client.state.name, names))
        await client.renew()
    meter = slopemeters.CpuMeter(relay.process.pid, measurement.leader_pid)
    for count in BATCH_SIZES:
        for _ in range(slopelab.REPETITIONS):
            idle_rates = meter.idle_rates(slopelab.IDLE_SAMPLE_S)
            meter.start()
            for _ in range(BATCHES_PER_SAMPLE):
                for client in clients[:count]:
                    client.use_accounts(10)
                await asyncio.gather(
                    *(client.renew() for client in clients[:count])
                )
            elapsed, cpu_s = meter.stop()
            for series, rate, value in zip(
                series_list, idle_rates, cpu_s, strict=True
            ):
                series.add(
                    count, (value - rate * elapsed) / BATCHES_PER_SAMPLE
                )
    for client in clients:
        client.close()


def measure(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the costs of lease renewals."""
    deployment = deployments.Deployment(
        kit, ('z1', 'z2', 'z3'), (), slopelab.LONG_LEASE_SETTINGS
    )
    deployment.start()
    measurement = RenewalMeasurement(deployment)
    slopelab.add_accounts(deployment, 0, max(ACCOUNT_COUNTS))
    series_list = measure_by_batch_size(measurement, targets=False)
    series_list += measure_by_batch_size(measurement, targets=True)
    for run_measurement in (
        measure_by_accounts,
        measure_by_targets,
        measure_by_deltas,
        measure_by_live_entries,
    ):
        series_list += run_measurement(measurement).series_by_name.values()
    return series_list
