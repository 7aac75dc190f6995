"""Connections and statements in flight per target, by entry process.

The sum of the connection limits in effect never exceeds the target's budget.
A grant leads from the version that a holder reported to a new one; a holder
takes it only when it is still at the former. So a holder's limit is the one
it reported or that of a later grant, and the highest of these counts as held
until a report shows a later version or the holder's lease has expired.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import typing

LEASE_S = 1.2
# Difference in speed between two clocks that is tolerated.
CLOCK_DRIFT = 0.02
# Added to the time after which the leader takes back what was held.
RECLAIM_MARGIN_S = 0.05
# Leader versions: term above this bit, a counter below.
TERM_SHIFT = 40


class Limit:
    """Hold how many connections and statements in flight are allowed."""

    __slots__ = ('connections', 'in_flight')

    def __init__(self, connections: int, in_flight: int) -> None:
        self.connections = connections
        self.in_flight = in_flight

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Limit):
            return NotImplemented
        return (self.connections, self.in_flight) == (
            other.connections,
            other.in_flight,
        )

    def __hash__(self) -> int:
        return hash((self.connections, self.in_flight))

    def __repr__(self) -> str:
        return f'Limit({self.connections}, {self.in_flight})'


def divide(total: int, weights: Mapping[str, float]) -> dict[str, int]:
    """Divide a whole number by weights, largest remainder first.

    >>> divide(5, {'a': 1.0, 'b': 3.0})
    {'a': 1, 'b': 4}
    >>> divide(2, {'a': 0.0, 'b': 0.0, 'c': 0.0})
    {'a': 1, 'b': 1, 'c': 0}
    """
    if not weights or total <= 0:
        return dict.fromkeys(weights, 0)
    if sum(weights.values()) <= 0:
        weights = dict.fromkeys(weights, 1.0)
    whole = sum(weights.values())
    exact = {name: weight / whole * total for name, weight in weights.items()}
    parts = {name: int(share) for name, share in exact.items()}
    by_remainder = sorted(
        weights, key=lambda name: (parts[name] - exact[name], name)
    )
    for name in by_remainder[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


class ConnectionAllocator:
    """Divide a target's connections and slots by demand."""

    def limits(
        self,
        budget: int,
        slots: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, Limit]:
        """Return limits of which none gives what is held elsewhere.

        ``demands`` names the entry processes to serve with their demand;
        ``held`` is the most that each holder, also one that is not to be
        served, may have open. A limit below ``held`` asks for a reduction.
        """
        connections = self._connections(budget, demands, held)
        in_flight = self.in_flight(slots, demands)
        return {
            entry: Limit(
                connections[entry], min(in_flight[entry], connections[entry])
            )
            for entry in demands
        }

    def in_flight(
        self, slots: int, demands: Mapping[str, float]
    ) -> dict[str, int]:
        """Return max(1, share of the slots) per entry process.

        A floor of one lets each serve without waiting for a slot to move;
        what this puts on the target above its slots is at most one statement
        per entry process.
        """
        shares = divide(slots, demands)
        return {entry: max(1, share) for entry, share in shares.items()}

    def _wishes(
        self,
        budget: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, int]:
        """Return the limits to reach: one each and the rest by demand."""
        by_claim = sorted(
            demands, key=lambda e: (-min(1, held.get(e, 0)), -demands[e], e)
        )
        floor = set(by_claim[: max(0, budget)])
        rest = divide(budget - len(floor), demands)
        return {e: int(e in floor) + rest[e] for e in demands}

    def _connections(
        self,
        budget: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, int]:
        wishes = self._wishes(budget, demands, held)
        free = budget - sum(held.values())
        limits = {e: min(wishes[e], held.get(e, 0)) for e in demands}
        # Who has none comes first, then who lacks most.
        order = sorted(
            demands,
            key=lambda e: (held.get(e, 0) > 0, limits[e] - wishes[e], e),
        )
        for floor in (True, False):
            for entry in order:
                lacking = wishes[entry] - limits[entry]
                if held.get(entry, 0) > wishes[entry]:
                    continue
                if floor:
                    lacking = min(lacking, 1 - limits[entry])
                given = max(0, min(lacking, free))
                limits[entry] += given
                free -= given
        return limits


class VersionedLimit(typing.NamedTuple):
    """Grant a limit under a version to a holder that is at ``base``."""

    base: int
    version: int
    connections: int
    in_flight: int


class ConnectionShare:
    """Keep one target's limit in an entry process.

    It lapses one lease duration after the last renewal was sent that brought
    a grant.
    """

    __slots__ = ('_lease_s', '_grant', '_until', '_lapsed_at')

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._grant = VersionedLimit(0, 0, 0, 0)
        self._until = -math.inf
        self._lapsed_at = -math.inf

    def limit(self, now: float) -> Limit:
        """Return the limit in effect; zero once it has lapsed."""
        if now >= self._until:
            return Limit(0, 0)
        return Limit(self._grant.connections, self._grant.in_flight)

    def report(self, now: float) -> tuple[int, int]:
        """Return the version and the connections for a renewal."""
        return self._grant.version, self.limit(now).connections

    def replace(
        self,
        now: float,
        sent_at: float,
        base: int,
        version: int,
        connections: int,
        in_flight: int,
    ) -> bool:
        """Take the grant that answers a renewal sent at ``sent_at``.

        A grant that arrives too late is ignored, and one for a renewal that
        presented another limit or one that has lapsed in the meantime: others
        may have been given that limit.
        """
        if now >= sent_at + self._lease_s or base != self._grant.version:
            return False
        if now >= self._until:
            self._lapsed_at = self._until
        if sent_at < self._lapsed_at:
            return False
        self._grant = VersionedLimit(base, version, connections, in_flight)
        self._until = max(self._until, sent_at + self._lease_s)
        return True


class _Holder:
    """Hold what the leader knows of one holder's limit of a target."""

    __slots__ = (
        'entry',
        'version',
        'limit',
        'grants',
        'demand',
        'renewed_at',
        'answer',
        'basis',
    )

    def __init__(self, entry: str) -> None:
        self.answer = VersionedLimit(0, -1, 0, 0)
        # What the answer was decided from.
        self.basis: tuple[int, int, int] | None = None
        self.entry = entry
        self.version = -1
        self.limit = 0
        self.grants: list[tuple[int, int]] = []
        self.demand = 0.0
        self.renewed_at = -math.inf

    def learn(self, version: int, limit: int, any_leader: bool) -> None:
        """Take what a report shows; ignore an older one.

        Later than one lease duration after the leader's start, a limit that
        it does not know of has lapsed: the report was delayed for that long.
        """
        if version > self.version:
            known = any_leader or version in dict(self.grants)
            self.version = version
            self.limit = limit if known else 0
            self.grants = [g for g in self.grants if g[0] > version]
        elif version == self.version and limit < self.limit:
            # The limit lapsed, and the holder ignores all answers to what it
            # sent before.
            self.limit = limit
            self.grants = []

    def most(self) -> int:
        """Return the highest limit that may be in effect."""
        return max([self.limit, *(limit for _, limit in self.grants)])


class ConnectionLedger:
    """Keep one target's connection limits at the leader.

    A new leader creates one with its term. For one lease duration it gives
    no holder more than that one presents.
    """

    def __init__(
        self, now: float, term: int, lease_s: float = LEASE_S
    ) -> None:
        self._reclaim_s = lease_s * (1 + CLOCK_DRIFT) + RECLAIM_MARGIN_S
        self._open_at = now + self._reclaim_s
        self._version = term << TERM_SHIFT
        self._holders: dict[tuple[str, int], _Holder] = {}
        self._allocator = ConnectionAllocator()
        # Counts changes of demands and of limits that may be in effect.
        self._changes = 0

    def open(self, now: float) -> None:
        """End the first lease duration early: every holder is known."""
        self._open_at = min(self._open_at, now)

    def renew(
        self,
        now: float,
        entry: str,
        incarnation: int,
        version: int,
        limit: int,
        demand: float,
        budget: int,
        slots: int,
    ) -> VersionedLimit:
        """Take a holder's report and return its next limit.

        ``version`` and ``limit`` are the holder's last grant, ``demand`` its
        mean number of statements in flight or queued.
        """
        self.tick(now)
        key = (entry, incarnation)
        holder = self._holders.get(key)
        if holder is None:
            holder = self._holders[key] = _Holder(entry)
            self._changes += 1
        before = (holder.demand, holder.most())
        holder.renewed_at = now
        holder.learn(version, limit, any_leader=now < self._open_at)
        if version == holder.version:
            holder.demand = max(0.0, demand)
        if (holder.demand, holder.most()) != before:
            self._changes += 1
        basis = (budget, slots, self._changes)
        if holder.answer.version == version and holder.basis == basis:
            # The same basis gives the same limit, which the holder has.
            return holder.answer._replace(base=version)
        connections, in_flight = self._decide(now, key, budget, slots)
        self._version += 1
        most = holder.most()
        holder.grants.append((self._version, connections))
        if holder.most() != most:
            self._changes += 1
        holder.answer = VersionedLimit(
            version, self._version, connections, in_flight
        )
        holder.basis = None
        if now >= self._open_at:
            holder.basis = (budget, slots, self._changes)
        return holder.answer

    def _decide(
        self, now: float, key: tuple[str, int], budget: int, slots: int
    ) -> tuple[int, int]:
        names = {key: f'{key[0]}/{key[1]}' for key in self._holders}
        demands = {
            names[k]: holder.demand for k, holder in self._holders.items()
        }
        held = {names[k]: h.most() for k, h in self._holders.items()}
        limits = self._allocator.limits(budget, slots, demands, held)
        limit = limits[names[key]]
        connections = limit.connections
        if now < self._open_at:
            connections = min(connections, self._holders[key].limit)
        return connections, min(limit.in_flight, connections)

    def tick(self, now: float) -> None:
        """Take back what holders without renewal can no longer use."""
        over = [
            key
            for key, holder in self._holders.items()
            if now >= holder.renewed_at + self._reclaim_s
        ]
        for key in over:
            del self._holders[key]
        self._changes += len(over)

    def release(self, entry: str, incarnation: int) -> None:
        """Take back the limit of a holder that closed its connections."""
        if self._holders.pop((entry, incarnation), None) is not None:
            self._changes += 1

    def held(self) -> int:
        """Return the most connections that all holders may have."""
        return sum(holder.most() for holder in self._holders.values())

    def entries(self) -> Iterable[str]:
        """Return the names of the entry processes with a limit."""
        return sorted({holder.entry for holder in self._holders.values()})
