"""Deployments in availability zones, with faults on the paths between them.

Each process listens on, and connects from, a loopback address of its
availability zone: 127.0.11.x in the first zone, 127.0.12.x in the second. All
connections pass through one fault proxy, which derives the source zone of a
connection from its peer address.
"""

import collections.abc
import itertools
import typing

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

# Third octet of the addresses in the first zone.
FIRST_ZONE_OCTET = 11


class ZoneNetwork(deployments.Network):
    """Place processes in zones and connect them through the fault proxy.

    ``delay_ms`` is the initial one-way delay between any two zones.
    """

    def __init__(
        self,
        kit: harness.Harness,
        zones: collections.abc.Sequence[str],
        delay_ms: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.proxy = kit.start_proxy('zones-proxy', seed)
        self.zones = list(zones)
        self._prefixes = {
            zone: f'127.0.{FIRST_ZONE_OCTET + place}.'
            for place, zone in enumerate(zones)
        }
        self._host_numbers = {zone: itertools.count(1) for zone in zones}
        self._links: dict[str, str] = {}
        self.proxy.set_zone_prefixes(self._prefixes)
        self.proxy.set_path_faults(self._all_pairs(), delay_ms=delay_ms)

    # Placement.

    def host(self, name: str, zone: str) -> str:
        """Return an unused loopback address of the zone."""
        return f'{self._prefixes[zone]}{next(self._host_numbers[zone])}'

    def source(self, zone: str) -> str:
        """Return the source address of a test client in a zone."""
        return f'{self._prefixes[zone]}254'

    def reach(self, name: str, zone: str, listen: str) -> str:
        """Return the address of a new proxy link to a listener."""
        self._links[name] = zone
        return self.proxy.add_link(name, listen, zone)

    # Faults.

    def delay(self, source: str, destination: str, delay_ms: float) -> None:
        """Set the one-way delay in ms from one zone to another."""
        self.proxy.set_path_faults([(source, destination)], delay_ms=delay_ms)

    def cut(self, first: str, second: str, both: bool = True) -> None:
        """Drop packets from the first zone to the second, or both ways."""
        self.proxy.set_path_faults(_directions(first, second, both), cut=True)

    def heal(self, first: str, second: str, both: bool = True) -> None:
        """End a cut between two zones."""
        self.proxy.set_path_faults(_directions(first, second, both), cut=False)

    def cut_zone(self, zone: str) -> None:
        """Cut all paths between a zone and the others."""
        self.proxy.set_path_faults(self._pairs_with(zone), cut=True)

    def heal_zone(self, zone: str) -> None:
        """End all cuts between a zone and the others."""
        self.proxy.set_path_faults(self._pairs_with(zone), cut=False)

    def heal_all(self) -> None:
        """End all cuts between zones."""
        self.proxy.set_path_faults(self._all_pairs(), cut=False)

    def silence(self, first: str, second: str) -> None:
        """Discard bytes of open connections between zones, not of new ones."""
        self.proxy.silence_between([(first, second)])

    def silence_all(self) -> None:
        """Discard bytes of all open connections, also within zones."""
        self.proxy.silence()

    def isolate(self, *listen: str) -> None:
        """Isolate the hosts of these listeners; no argument ends isolation."""
        self.proxy.isolate(address.rsplit(':', 1)[0] for address in listen)

    def _pairs_with(self, zone: str) -> list[tuple[str, str]]:
        return [pair for pair in self._all_pairs() if zone in pair]

    def _all_pairs(self) -> list[tuple[str, str]]:
        return list(itertools.permutations(self.zones, 2))


def _directions(first: str, second: str, both: bool) -> list[tuple[str, str]]:
    pairs = [(first, second)]
    return [*pairs, (second, first)] if both else pairs


class ZoneDeployment(deployments.Deployment):
    """A deployment whose addresses come from a ``ZoneNetwork``."""

    def __init__(
        self,
        kit: harness.Harness,
        control_zones: collections.abc.Sequence[str] = ('z1', 'z2', 'z3'),
        entry_zones: collections.abc.Sequence[str] = ('z1', 'z2', 'z3'),
        delay_ms: float = 0.0,
        seed: int = 0,
        **options: typing.Any,
    ) -> None:
        names = sorted({*control_zones, *entry_zones})
        self.network = ZoneNetwork(kit, names, delay_ms, seed)
        super().__init__(
            kit, control_zones, entry_zones, network=self.network, **options
        )

    @property
    def announce_addresses(self) -> list[str]:
        """Return the addresses of all daemons; targets announce to each."""
        nodes = [*self.entries.values(), *self.control.values()]
        return [node.advertised_http for node in nodes]

    def start_group(
        self,
        group: str,
        zones: collections.abc.Sequence[str] = ('z1', 'z2', 'z3'),
        **options: typing.Any,
    ) -> harness.DatabaseGroup:
        """Start a group with its primary in the first zone."""
        return self.kit.start_group(
            group,
            zones,
            announce=self.announce_addresses,
            proxy=self.network.proxy,
            host=self.network.host,
            **options,
        )
