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

ACCOUNTS = (0, 10, 50, 100, 200)
TARGETS = (0, 10, 20, 40)
LIVE = (10, 40, 80, 160)
DELTAS = (0, 5, 10, 20, 40)
BATCHES = (1, 4, 8, 16)
RENEWALS = 40
ROUNDS = 8
LIVE_TARGETS = 39
"""Targets that an entry process observes at the stated size."""

ROLES = ('entry', 'leader')
SIDES = ('sent', 'received')


class Costs:
    """Collect the slopes of one varied size."""

    def __init__(self, key: str, what: str, x_unit: str) -> None:
        self.key = key
        self.slopes: dict[str, slopefit.Slope] = {}
        for role in ROLES:
            self._add(
                f'renewal_{key}_{role}_cpu',
                f'Processor time of a renewal at the {role}, by {what}',
                x_unit,
                's',
            )
        for side in SIDES:
            self._add(
                f'renewal_{key}_{side}_bytes',
                f'Bytes {side} by an entry process per renewal, by {what}',
                x_unit,
                'bytes',
            )

    def _add(self, name: str, title: str, x_unit: str, y_unit: str) -> None:
        self.slopes[name] = slopefit.Slope(name, title, x_unit, y_unit)

    def add(self, x: float, costs: dict[str, float]) -> None:
        """Record the costs of one renewal."""
        for name, value in costs.items():
            self.slopes[f'renewal_{self.key}_{name}'].add(x, value)


class Lab:
    """Measure renewals of stand-ins against real control members."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.secret = slopelab.secret_of(deployment.kit.folder)
        self.leader, self.others = slopelab.find_leader(deployment)
        self.pid = self.leader.process.pid

    def holder(self, name: str) -> slopelab.Holder:
        """Return a holder that renews with the leader."""
        return slopelab.Holder(name, self.leader.rpc, self.secret)

    async def measure(
        self,
        holder: slopelab.Holder,
        prepare: collections.abc.Callable[[], None] = lambda: None,
        count: int = RENEWALS,
    ) -> dict[str, float]:
        """Return the costs of one renewal, without what runs anyway."""
        meter = slopemeters.CpuMeter(self.pid)
        (idle,) = meter.rates(slopelab.IDLE_S)
        framing = holder.framing
        framing.sent = framing.received = 0
        own = 0.0
        meter.start()
        for _ in range(count):
            prepare()
            before = slopemeters.cpu_s(os.getpid())
            await holder.renew()
            own += slopemeters.cpu_s(os.getpid()) - before
        elapsed, (used,) = meter.stop()
        return {
            'entry_cpu': own / count,
            'leader_cpu': max(0.0, used - idle * elapsed) / count,
            'sent_bytes': framing.sent / count,
            'received_bytes': framing.received / count,
        }


def by_accounts(lab: Lab) -> Costs:
    """Vary the accounts in use."""
    costs = Costs('accounts', 'accounts in use', 'account in use')

    async def run() -> None:
        for count in ACCOUNTS:
            holder = lab.holder(f'accounts-{count}')
            await holder.join()
            use = functools.partial(holder.use_accounts, count)
            for _ in range(slopelab.REPETITIONS):
                use()
                await holder.renew()
                costs.add(count, await lab.measure(holder, use))
            holder.close()

    asyncio.run(run())
    return costs


def by_targets(lab: Lab) -> Costs:
    """Vary the observed targets."""
    costs = Costs('targets', 'observed targets', 'observed target')

    async def run() -> None:
        for count in TARGETS:
            holder = lab.holder(f'targets-{count}')
            await holder.join()
            holder.observe(range(count))
            for _ in range(slopelab.REPETITIONS):
                await holder.renew()
                costs.add(count, await lab.measure(holder))
            holder.close()

    asyncio.run(run())
    return costs


def served_targets(name: str, others: list[str]) -> list[int]:
    """Return targets of groups that a process serves among others."""
    found: list[int] = []
    number = 0
    while len(found) < LIVE_TARGETS:
        group = slopelab.target(number).group
        if name in placement.serving_set(group, [name, *others]):
            found += range(number, number + 3)
        number += 3
    return found


def by_live(lab: Lab) -> Costs:
    """Vary the live entry processes; the renewal observes 39 targets."""
    costs = Costs('live', 'live entry processes', 'live entry process')

    async def run() -> None:
        holders: list[slopelab.Holder] = []
        observer = lab.holder('observer')
        names = [f'live-{number}' for number in range(max(LIVE))]
        served = served_targets('observer', names)
        await observer.join()
        for count in LIVE:
            added = [
                lab.holder(f'live-{number}')
                for number in range(len(holders) + 1, count)
            ]
            await asyncio.gather(*(holder.join() for holder in added))
            holders += added
            for _ in range(slopelab.REPETITIONS):
                await asyncio.gather(*(h.renew() for h in holders))
                observer.observe(served)
                await observer.renew()
                costs.add(count, await lab.measure(observer, count=10))
        for holder in holders:
            holder.close()
        observer.close()

    asyncio.run(run())
    return costs


def by_deltas(lab: Lab) -> Costs:
    """Vary the configuration deltas that a renewal brings."""
    costs = Costs('deltas', 'configuration deltas', 'configuration delta')

    async def run() -> None:
        for count in DELTAS:
            holder = lab.holder(f'deltas-{count}')
            await holder.join()
            saved = holder.state.config
            holder.state.config = copy.deepcopy(saved)
            for number in range(count):
                change = dict(
                    kind='account',
                    name=slopelab.account_name(number),
                    rate=1000.0 + number,
                    burst=1000.0 + count,
                )
                lab.deployment.note(changed=[change])

            def rewind(
                holder: slopelab.Holder = holder, saved: typing.Any = saved
            ) -> None:
                holder.state.config = copy.deepcopy(saved)

            for _ in range(slopelab.REPETITIONS):
                costs.add(count, await lab.measure(holder, rewind, 20))
            holder.close()

    asyncio.run(run())
    return costs


def by_batch(lab: Lab, targets: bool) -> list[slopefit.Slope]:
    """Vary the renewals that a relay collects into one batch."""
    count = LIVE_TARGETS if targets else 0
    slopes = [
        slopefit.Slope(
            f'relay_batch_{count}_{role}_cpu',
            f'Processor time of a relayed batch at the {role}, by renewals',
            'renewal in a batch',
            's',
            note=f'10 accounts in use and {count} targets in each renewal',
        )
        for role in ('relay', 'leader')
    ]
    asyncio.run(_batches(lab, targets, slopes))
    return slopes


async def _batches(
    lab: Lab, targets: bool, slopes: list[slopefit.Slope]
) -> None:
    relay = lab.others[0]
    holders = [
        slopelab.Holder(f'relayed-{number}', relay.rpc, lab.secret)
        for number in range(max(BATCHES))
    ]
    names = [holder.state.name for holder in holders]
    await asyncio.gather(*(holder.join() for holder in holders))
    for holder in holders:
        if targets:
            holder.observe(served_targets(holder.state.name, names))
        await holder.renew()
    meter = slopemeters.CpuMeter(relay.process.pid, lab.pid)
    for count in BATCHES:
        for _ in range(slopelab.REPETITIONS):
            idle = meter.rates(slopelab.IDLE_S)
            meter.start()
            for _ in range(ROUNDS):
                for holder in holders[:count]:
                    holder.use_accounts(10)
                await asyncio.gather(
                    *(holder.renew() for holder in holders[:count])
                )
            elapsed, used = meter.stop()
            for slope, rate, value in zip(slopes, idle, used, strict=True):
                slope.add(count, (value - rate * elapsed) / ROUNDS)
    for holder in holders:
        holder.close()


def measure(kit: harness.Harness) -> list[slopefit.Slope]:
    """Return the slopes of renewals."""
    deployment = deployments.Deployment(
        kit, ('z1', 'z2', 'z3'), (), slopelab.TIMING
    )
    deployment.start()
    lab = Lab(deployment)
    slopelab.add_accounts(deployment, 0, max(ACCOUNTS))
    slopes = by_batch(lab, targets=False)
    slopes += by_batch(lab, targets=True)
    for run in (by_accounts, by_targets, by_deltas, by_live):
        slopes += run(lab).slopes.values()
    return slopes
