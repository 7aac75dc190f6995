"""What happens to a deployment while load is offered."""

import abc
import asyncio
import collections.abc
import random
import typing

from sassafrasridge_testkit import platforms
from sassafrasridge_testkit import workload

CALM_S = 3.0
NOISY_FACTOR = 5.0
NOISY_ACCOUNT = 'large-1'


class Scenario(abc.ABC):
    """Inject faults into a system while it is under load.

    ``affected`` is the service whose primary changes, ``fault_at`` the
    monotonic time of the fault. ``plain`` scenarios are run with the plain
    policy as well.
    """

    name: typing.ClassVar[str]
    duration_s: typing.ClassVar[float] = 10.0
    plain: typing.ClassVar[bool] = False
    # Shares of processes that went away count as spent for config_ttl_s.
    recovery_s: typing.ClassVar[float] = 2.0

    def __init__(self, system: platforms.System) -> None:
        self.system = system
        self.affected: list[str] = []
        self.fault_at: float | None = None

    def choose(self, at: float, rng: random.Random) -> list[str]:
        """Return the entry processes that get requests at a time."""
        return list(self.system.deployment.entries)

    def factor(self, at: float, account: str) -> float:
        """Return what an account's rate is multiplied with."""
        return 1.0

    async def disturb(self, load: workload.Load) -> None:
        """Inject the faults; the load goes on meanwhile."""
        return

    def repair(self) -> None:
        """Undo the faults once the load has ended."""
        return

    async def _fault(
        self, act: collections.abc.Callable[[], typing.Any]
    ) -> None:
        self.fault_at = asyncio.get_running_loop().time()
        await asyncio.to_thread(act)


class Steady(Scenario):
    """Every account within its rate, over all entry processes."""

    name = 'steady'
    plain = True


class NoisyTenant(Scenario):
    """One large account at five times its rate for a while."""

    name = 'noisy_tenant'
    plain = True

    def factor(self, at: float, account: str) -> float:
        """Return the factor of the noisy account."""
        noisy = account == NOISY_ACCOUNT and at > CALM_S
        return NOISY_FACTOR if noisy else 1.0


class LoadMoves(Scenario):
    """All load on one VM, then all of it on another."""

    name = 'load_moves'
    plain = True
    duration_s = 12.0

    def choose(self, at: float, rng: random.Random) -> list[str]:
        """Return the one entry process in use."""
        return ['e1'] if at < self.duration_s / 2 else ['e5']


class PrimaryKilled(Scenario):
    """The primary of one service crashes."""

    name = 'primary_killed'
    duration_s = 12.0

    async def disturb(self, load: workload.Load) -> None:
        """Kill the primary."""
        await asyncio.sleep(CALM_S)
        service = self.system.platform.services[0]
        self.affected = [service]
        self._victim = await asyncio.to_thread(self.system.primary, service)
        await self._fault(self._victim.process.kill)

    def repair(self) -> None:
        """Restart the server, which follows."""
        self._victim.restart()


class PrimaryCutOff(Scenario):
    """The primary of one service loses all its network; it runs on."""

    name = 'primary_cut_off'
    duration_s = 12.0

    async def disturb(self, load: workload.Load) -> None:
        """Isolate the primary."""
        await asyncio.sleep(CALM_S)
        service = self.system.platform.services[1]
        self.affected = [service]
        victim = await asyncio.to_thread(self.system.primary, service)
        await self._fault(lambda: self.system.network.isolate(victim.listen))

    def repair(self) -> None:
        """Connect it again; held packets arrive late."""
        self.system.network.isolate()


class ZoneCutOff(Scenario):
    """A zone is cut off from both others, then connected again."""

    name = 'zone_cut_off'
    duration_s = 16.0
    recovery_s = 6.0
    cut_s = 6.0

    async def disturb(self, load: workload.Load) -> None:
        """Cut off the zone of a primary, then heal."""
        await asyncio.sleep(CALM_S)
        zone, self.affected = await asyncio.to_thread(self._zone)
        network = self.system.network
        await self._fault(lambda: network.cut_zone(zone))
        await asyncio.sleep(self.cut_s)
        await asyncio.to_thread(network.heal_zone, zone)

    def _zone(self) -> tuple[str, list[str]]:
        services = self.system.platform.services
        zones = {name: self.system.primary(name).zone for name in services}
        zone = zones[services[2]]
        return zone, [name for name in services if zones[name] == zone]

    def repair(self) -> None:
        """Heal everything."""
        self.system.network.heal_all()


class Silent(Scenario):
    """All open connections between processes go silent, twice."""

    name = 'connections_silent'
    duration_s = 14.0

    async def disturb(self, load: workload.Load) -> None:
        """Silence everything that is open; new connections work."""
        await asyncio.sleep(CALM_S)
        self.affected = list(self.system.platform.services)
        await self._fault(self.system.network.silence_all)
        await asyncio.sleep(5.0)
        await asyncio.to_thread(self.system.network.silence_all)


class RollingRestart(Scenario):
    """Every entry process is restarted in turn, gracefully."""

    name = 'rolling_restart'
    duration_s = 50.0
    recovery_s = 6.0

    async def disturb(self, load: workload.Load) -> None:
        """Restart one after the other, then end the load."""
        await asyncio.sleep(CALM_S)
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
        Silent,
        RollingRestart,
    )
}
