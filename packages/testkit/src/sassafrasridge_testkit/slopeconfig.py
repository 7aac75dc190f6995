"""Costs of client accounts: full configuration copies, memory, idle time."""

import asyncio
import time

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters
from sassafrasridge_testkit import sloperenewals

ACCOUNT_COUNTS = (500, 1000, 2000, 4000)
COPIES_PER_SAMPLE = 10


def _account_series(name: str, title: str, y_unit: str) -> slopefit.CostSeries:
    return slopefit.CostSeries(
        name,
        title,
        'account with one key',
        y_unit,
        note='each account has one key and no grant',
    )


def _full_copy_series() -> dict[str, slopefit.CostSeries]:
    return {
        'entry_cpu': _account_series(
            'full_copy_entry_cpu',
            'Processor time of a full copy at an entry process, by accounts',
            's',
        ),
        'leader_cpu': _account_series(
            'full_copy_leader_cpu',
            'Processor time of a full copy at the leader, by accounts',
            's',
        ),
        'received_bytes': _account_series(
            'full_copy_bytes', 'Bytes of a full copy, by accounts', 'bytes'
        ),
    }


def measure(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the costs of client accounts with one key each."""
    deployment = deployments.Deployment(
        kit, ('z1',), ('z1',), slopelab.LONG_LEASE_SETTINGS
    )
    deployment.start()
    renewals = sloperenewals.RenewalMeasurement(deployment)
    (node,) = deployment.entries.values()
    pids = {'leader': renewals.leader_pid, 'entry': node.process.pid}
    memory = {
        role: _account_series(
            f'account_{role}_memory',
            f'Resident memory of the {role} process, by accounts',
            'bytes',
        )
        for role in pids
    }
    idle_cpu = {
        role: _account_series(
            f'account_{role}_idle_cpu',
            f'Processor time a second of the idle {role} process, by accounts',
            's/s',
        )
        for role in pids
    }
    full_copies = _full_copy_series()
    ready = _account_series(
        'entry_ready_seconds',
        'Time from the start of an entry process until it is ready',
        's',
    )
    account_count = 0
    for count in ACCOUNT_COUNTS:
        slopelab.add_accounts(deployment, account_count, count - account_count)
        account_count = count
        deployment.wait_in_force()
        asyncio.run(_measure_full_copies(renewals, count, full_copies))
        for _ in range(slopelab.REPETITIONS):
            node.process.kill()
            started = time.monotonic()
            node.process.start()
            deployment.wait_ready(node)
            ready.add(count, time.monotonic() - started)
        pids['entry'] = node.process.pid
        for role, pid in pids.items():
            for _ in range(slopelab.REPETITIONS):
                memory[role].add(count, float(slopemeters.rss_bytes(pid)))
        meter = slopemeters.CpuMeter(*pids.values())
        for _ in range(slopelab.REPETITIONS):
            rates = meter.idle_rates(slopelab.IDLE_SAMPLE_S)
            for role, rate in zip(pids, rates, strict=True):
                idle_cpu[role].add(count, rate)
    return [ready, *memory.values(), *idle_cpu.values(), *full_copies.values()]


async def _measure_full_copies(
    renewals: sloperenewals.RenewalMeasurement,
    count: int,
    series_by_cost: dict[str, slopefit.CostSeries],
) -> None:
    client = renewals.lease_client(f'copies-{count}')
    await client.acquire_lease()

    def discard_config() -> None:
        client.state.config = type(client.state.config)()

    for _ in range(slopelab.REPETITIONS):
        costs = await renewals.measure(
            client, discard_config, COPIES_PER_SAMPLE
        )
        for name, series in series_by_cost.items():
            series.add(count, costs[name])
    client.close()
