"""Fault scenarios that run while a deployment is under load."""

import abc
import asyncio
import collections.abc
import random
import typing

from sassafrasridge_testkit import platforms
from sassafrasridge_testkit import workload

# Time of undisturbed load before the fault.
FAULT_DELAY_S = 3.0
NOISY_FACTOR = 5.0
NOISY_ACCOUNT = 'large-1'


class Scenario(abc.ABC):
    """Inject faults into a system while it is under load.

    ``affected_services`` are the services that the fault interrupts,
    ``fault_at`` is the monotonic time of the fault. Scenarios with
    ``with_plain_policy`` also run with the plain policy.
    """

    name: typing.ClassVar[str]
    duration_s: typing.ClassVar[float] = 10.0
    with_plain_policy: typing.ClassVar[bool] = False
    # Rate shares of processes that stopped count as used for config_ttl_s.
    recovery_s: typing.ClassVar[float] = 2.0

    def __init__(self, system: platforms.RunningDeployment) -> None:
        self.system = system
        self.affected_services: list[str] = []
        self.fault_at: float | None = None

    def choose_entries(self, at: float, rng: random.Random) -> list[str]:
        """Return the entry processes that get requests at a time in s."""
        return list(self.system.deployment.entries)

    def rate_factor(self, at: float, account: str) -> float:
        """Return the factor on the rate of a client account."""
        return 1.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Inject the faults while the load runs."""
        return

    def undo_faults(self) -> None:
        """Undo the faults after the load has ended."""
        return

    async def _inject(
        self, inject: collections.abc.Callable[[], typing.Any]
    ) -> None:
        self.fault_at = asyncio.get_running_loop().time()
        await asyncio.to_thread(inject)


class Steady(Scenario):
    """Every client account stays within its rate, on all entry processes."""

    name = 'steady'
    with_plain_policy = True


class NoisyTenant(Scenario):
    """One large client account sends at five times its rate."""

    name = 'noisy_tenant'
    with_plain_policy = True

    def rate_factor(self, at: float, account: str) -> float:
        """Return the factor of the noisy client account."""
        noisy = account == NOISY_ACCOUNT and at > FAULT_DELAY_S
        return NOISY_FACTOR if noisy else 1.0


class LoadMoves(Scenario):
    """All load goes to one VM, then all of it to another."""

    name = 'load_moves'
    with_plain_policy = True
    duration_s = 12.0

    def choose_entries(self, at: float, rng: random.Random) -> list[str]:
        """Return the entry process that gets all load."""
        return ['e1'] if at < self.duration_s / 2 else ['e5']


class PrimaryKilled(Scenario):
    """The primary of one service is killed."""

    name = 'primary_killed'
    duration_s = 12.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Kill the primary."""
        await asyncio.sleep(FAULT_DELAY_S)
        service = self.system.platform.services[0]
        self.affected_services = [service]
        self._victim = await asyncio.to_thread(self.system.primary, service)
        await self._inject(self._victim.process.kill)

    def undo_faults(self) -> None:
        """Restart the server, which then follows the new primary."""
        self._victim.restart()


class PrimaryCutOff(Scenario):
    """The primary of one service is isolated but keeps running."""

    name = 'primary_cut_off'
    duration_s = 12.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Isolate the primary."""
        await asyncio.sleep(FAULT_DELAY_S)
        service = self.system.platform.services[1]
        self.affected_services = [service]
        victim = await asyncio.to_thread(self.system.primary, service)
        await self._inject(lambda: self.system.network.isolate(victim.listen))

    def undo_faults(self) -> None:
        """End the isolation; held packets arrive late."""
        self.system.network.isolate()


class ZoneCutOff(Scenario):
    """A zone is cut off from both others, then reconnected."""

    name = 'zone_cut_off'
    duration_s = 16.0
    recovery_s = 6.0
    cut_duration_s = 6.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Cut off the zone of a primary, then reconnect it."""
        await asyncio.sleep(FAULT_DELAY_S)
        zone, self.affected_services = await asyncio.to_thread(self._zone)
        network = self.system.network
        await self._inject(lambda: network.cut_zone(zone))
        await asyncio.sleep(self.cut_duration_s)
        await asyncio.to_thread(network.heal_zone, zone)

    def _zone(self) -> tuple[str, list[str]]:
        services = self.system.platform.services
        zones = {name: self.system.primary(name).zone for name in services}
        zone = zones[services[2]]
        return zone, [name for name in services if zones[name] == zone]

    def undo_faults(self) -> None:
        """End all cuts between zones."""
        self.system.network.heal_all()


class SilentConnections(Scenario):
    """Bytes of all open connections are discarded, at two times."""

    name = 'connections_silent'
    duration_s = 14.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Silence all open connections; new connections work."""
        await asyncio.sleep(FAULT_DELAY_S)
        self.affected_services = list(self.system.platform.services)
        await self._inject(self.system.network.silence_all)
        await asyncio.sleep(5.0)
        await asyncio.to_thread(self.system.network.silence_all)


class RollingRestart(Scenario):
    """Every entry process is gracefully restarted, one at a time."""

    name = 'rolling_restart'
    duration_s = 50.0
    recovery_s = 6.0

    async def inject_faults(self, load: workload.Load) -> None:
        """Restart the entry processes in order, then end the load."""
        await asyncio.sleep(FAULT_DELAY_S)
        self.fault_at = asyncio.get_running_loop().time()
        for node in self.system.deployment.entries.values():
            await asyncio.to_thread(self._restart, node)
        await asyncio.sleep(1.0)
        load.stop()

    def _restart(self, node: typing.Any) -> None:
        node.process.terminate()
        node.process.wait_exit(15.0)
        node.process.start()
        self.system.deployment.wait_ready(node)


SCENARIOS: dict[str, type[Scenario]] = {
    kind.name: kind
    for kind in (
        Steady,
        NoisyTenant,
        LoadMoves,
        PrimaryKilled,
        PrimaryCutOff,
        ZoneCutOff,
        SilentConnections,
        RollingRestart,
    )
}
