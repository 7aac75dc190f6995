"""Costs of client accounts: full copies and memory of the daemons."""

import asyncio
import time

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters
from sassafrasridge_testkit import sloperenewals

ACCOUNTS = (500, 1000, 2000, 4000)
COPIES = 10


def _slope(name: str, title: str, y_unit: str) -> slopefit.Slope:
    return slopefit.Slope(
        name,
        title,
        'account with one key',
        y_unit,
        note='each account has one key and no grant',
    )


def _copy_slopes() -> dict[str, slopefit.Slope]:
    return {
        'entry_cpu': _slope(
            'full_copy_entry_cpu',
            'Processor time of a full copy at an entry process, by accounts',
            's',
        ),
        'leader_cpu': _slope(
            'full_copy_leader_cpu',
            'Processor time of a full copy at the leader, by accounts',
            's',
        ),
        'received_bytes': _slope(
            'full_copy_bytes', 'Bytes of a full copy, by accounts', 'bytes'
        ),
    }


def measure(kit: harness.Harness) -> list[slopefit.Slope]:
    """Return the slopes of accounts with one key each."""
    deployment = deployments.Deployment(kit, ('z1',), ('z1',), slopelab.TIMING)
    deployment.start()
    lab = sloperenewals.Lab(deployment)
    (node,) = deployment.entries.values()
    pids = {'leader': lab.pid, 'entry': node.process.pid}
    memory = {
        role: _slope(
            f'account_{role}_memory',
            f'Resident memory of the {role} process, by accounts',
            'bytes',
        )
        for role in pids
    }
    idle = {
        role: _slope(
            f'account_{role}_idle_cpu',
            f'Processor time a second of the idle {role} process, by accounts',
            's/s',
        )
        for role in pids
    }
    copies = _copy_slopes()
    ready = _slope(
        'entry_ready_seconds',
        'Time from the start of an entry process until it is ready',
        's',
    )
    known = 0
    for count in ACCOUNTS:
        slopelab.add_accounts(deployment, known, count - known)
        known = count
        deployment.wait_in_force()
        asyncio.run(_copies(lab, count, copies))
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
            rates = meter.rates(slopelab.IDLE_S)
            for role, rate in zip(pids, rates, strict=True):
                idle[role].add(count, rate)
    return [ready, *memory.values(), *idle.values(), *copies.values()]


async def _copies(
    lab: sloperenewals.Lab, count: int, slopes: dict[str, slopefit.Slope]
) -> None:
    holder = lab.holder(f'copies-{count}')
    await holder.join()

    def forget() -> None:
        holder.state.config = type(holder.state.config)()

    for _ in range(slopelab.REPETITIONS):
        costs = await lab.measure(holder, forget, COPIES)
        for name, slope in slopes.items():
            slope.add(count, costs[name])
    holder.close()
