"""Distribute a target's connections and slots over the entry processes.

A slot allows one statement in flight. The sum of the connection limits in
effect never exceeds the target's budget. A grant changes the version that a
holder reported to a new one; a holder applies it only while it still has the
reported version. Therefore a holder's limit is either the reported one or that
of a later grant. The highest of these counts as held until a report shows a
later version or the holder's lease has expired.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import model

LEASE_S = 1.2
# Highest tolerated relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT = 0.02
# Safety margin added to the time after which the leader reclaims a limit.
RECLAIM_MARGIN_S = 0.05
# A leader's version has the term in the bits from this one on and a counter
# below it.
TERM_SHIFT_BITS = 40
# Statements that all processes together may have at a target for each of its
# slots, running or queued there.
STATEMENTS_PER_SLOT = 3
# Least number of statements that a process may have at a target.
MIN_STATEMENTS = 2
# One of so many of a target's connections is left for processes that restart.
# A target counts the connections of a VM that lost its power for 3 s more, and
# would reject the new process until then if all of them were in use.
RESTART_RESERVE_DIVISOR = 4


class Limit:
    """Store the allowed numbers of connections and statements in flight."""

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
    """Divide an integer by weights with the largest remainder method.

    >>> divide(5, {'a': 1.0, 'b': 3.0})
    {'a': 1, 'b': 4}
    >>> divide(2, {'a': 0.0, 'b': 0.0, 'c': 0.0})
    {'a': 1, 'b': 1, 'c': 0}
    """
    if not weights or total <= 0:
        return dict.fromkeys(weights, 0)
    if sum(weights.values()) <= 0:
        weights = dict.fromkeys(weights, 1.0)
    total_weight = sum(weights.values())
    exact = {
        name: weight / total_weight * total for name, weight in weights.items()
    }
    parts = {name: int(share) for name, share in exact.items()}
    by_remainder = sorted(
        weights, key=lambda name: (parts[name] - exact[name], name)
    )
    for name in by_remainder[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def service_budgets(
    services: Iterable[configuration.Service],
) -> dict[str, tuple[int, int]]:
    """Return the connections and slots that services set, by group.

    Zero means that none is set. If several services of a group set a value,
    the last one applies. Values above ``model.MAX_COUNT`` count as that.

    >>> service = configuration.Service
    >>> service_budgets([service('a', 'g', 5, 30, ''),
    ...                  service('b', 'g', None, 20, '')])
    {'g': (20, 5)}
    """
    budgets: dict[str, tuple[int, int]] = {}
    for service in services:
        connections, slot_count = budgets.get(service.group, (0, 0))
        budgets[service.group] = (
            min(service.connections or connections, model.MAX_COUNT),
            min(service.slots or slot_count, model.MAX_COUNT),
        )
    return budgets


def usable_connections(accepted: int) -> int:
    """Return how many of a target's connections are divided.

    >>> [usable_connections(accepted) for accepted in (0, 1, 3, 21, 78)]
    [0, 1, 3, 16, 59]
    """
    return accepted - accepted // RESTART_RESERVE_DIVISOR


def statement_limit(slots: int, budget: int, connections: int) -> int:
    """Return how many statements a process may have at a target at a time.

    ``connections`` is the process's part of the target's ``budget``. The
    target queues a few statements for each slot, so that no slot is idle for
    a round trip. Any more would be rejected there, and each of them may have
    cost a slot the opening of its connection.

    >>> statement_limit(5, 78, 11), statement_limit(5, 78, 39)
    (3, 8)
    >>> statement_limit(0, 78, 11)
    11
    """
    if slots <= 0:
        return connections
    share = connections / max(1, budget, connections)
    return max(MIN_STATEMENTS, math.ceil(STATEMENTS_PER_SLOT * slots * share))


class ConnectionAllocator:
    """Divide a target's connections and slots according to demand."""

    def limits(
        self,
        budget: int,
        slots: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, Limit]:
        """Return limits that assign no connection held by another holder.

        ``demands`` maps the entry processes that get limits to their demand.
        ``held`` is the highest number of connections that each holder may
        have open, including holders that are not in ``demands``. A limit
        below ``held`` requests a reduction.
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

        The minimum of one lets every process run a statement without waiting
        for a slot to be reassigned. It exceeds the target's slots by at most
        one statement per entry process.
        """
        shares = divide(slots, demands)
        return {entry: max(1, share) for entry, share in shares.items()}

    def _desired_limits(
        self,
        budget: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, int]:
        """Return the limits aimed for: one each, the rest by demand."""
        by_priority = sorted(
            demands, key=lambda e: (-min(1, held.get(e, 0)), -demands[e], e)
        )
        floor = set(by_priority[: max(0, budget)])
        rest = divide(budget - len(floor), demands)
        return {e: int(e in floor) + rest[e] for e in demands}

    def _connections(
        self,
        budget: int,
        demands: Mapping[str, float],
        held: Mapping[str, int],
    ) -> dict[str, int]:
        desired = self._desired_limits(budget, demands, held)
        free = budget - sum(held.values())
        limits = {e: min(desired[e], held.get(e, 0)) for e in demands}
        # Processes without a connection come first, then those whose limit is
        # furthest below the desired one.
        order = sorted(
            demands,
            key=lambda e: (held.get(e, 0) > 0, limits[e] - desired[e], e),
        )
        for floor in (True, False):
            for entry in order:
                missing = desired[entry] - limits[entry]
                if held.get(entry, 0) > desired[entry]:
                    continue
                if floor:
                    missing = min(missing, 1 - limits[entry])
                given = max(0, min(missing, free))
                limits[entry] += given
                free -= given
        return limits


def term_of_version(version: int) -> int:
    """Return the term of the leader that granted a version."""
    return version >> TERM_SHIFT_BITS


class VersionedLimit(typing.NamedTuple):
    """Grant a limit with a new version to a holder with version ``base``."""

    base: int
    version: int
    connections: int
    in_flight: int


class ConnectionShare:
    """Store an entry process's limit for one target.

    The limit expires one lease duration after the sending of the last renewal
    that was answered with a grant.
    """

    __slots__ = ('_lease_s', '_grant', '_valid_until', '_expired_at')

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._grant = VersionedLimit(0, 0, 0, 0)
        self._valid_until = -math.inf
        self._expired_at = -math.inf

    def limit(self, now: float) -> Limit:
        """Return the limit in effect, zero after it has expired."""
        if now >= self._valid_until:
            return Limit(0, 0)
        return Limit(self._grant.connections, self._grant.in_flight)

    def report(self, now: float) -> tuple[int, int]:
        """Return the version and the connection limit for a renewal."""
        return self._grant.version, self.limit(now).connections

    def apply_grant(
        self,
        now: float,
        sent_at: float,
        base: int,
        version: int,
        connections: int,
        in_flight: int,
    ) -> bool:
        """Apply the grant that answers a renewal sent at ``sent_at``.

        Return False and ignore the grant if it arrives too late, or if its
        renewal reported another version or a limit that has since expired:
        that limit may already be granted to another holder.
        """
        if now >= sent_at + self._lease_s or base != self._grant.version:
            return False
        if now >= self._valid_until:
            self._expired_at = self._valid_until
        if sent_at < self._expired_at:
            return False
        self._grant = VersionedLimit(base, version, connections, in_flight)
        self._valid_until = max(self._valid_until, sent_at + self._lease_s)
        return True


_DecisionInputs = tuple[int, int, int, tuple[str, ...]]


class _Holder:
    """Store the leader's state for one holder's limit for a target."""

    __slots__ = (
        'entry',
        'version',
        'limit',
        'grants',
        'demand',
        'renewed_at',
        'last_answer',
        'decision_inputs',
    )

    def __init__(self, entry: str) -> None:
        self.last_answer = VersionedLimit(0, -1, 0, 0)
        # Budget, slots, change count and missing processes that the last
        # answer is based on.
        self.decision_inputs: _DecisionInputs | None = None
        self.entry = entry
        self.version = -1
        self.limit = 0
        self.grants: list[tuple[int, int]] = []
        self.demand = 0.0
        self.renewed_at = -math.inf

    def apply_report(
        self, version: int, limit: int, accept_unknown: bool
    ) -> None:
        """Update the state from a report; ignore an outdated report.

        With ``accept_unknown``, a version that this leader did not grant is
        accepted. Without it, such a limit counts as zero: more than one lease
        duration after the leader's start it has expired, because its report
        was delayed for that long.
        """
        if version > self.version:
            known = accept_unknown or version in dict(self.grants)
            self.version = version
            self.limit = limit if known else 0
            self.grants = [g for g in self.grants if g[0] > version]
        elif version == self.version and limit < self.limit:
            # The limit has expired, and the holder ignores all answers to
            # renewals that it sent before.
            self.limit = limit
            self.grants = []

    def max_limit(self) -> int:
        """Return the highest limit that may currently be in effect."""
        return max([self.limit, *(limit for _, limit in self.grants)])


class ConnectionLedger:
    """Track one target's connection limits at the leader.

    Each new leader creates a ledger with its term. For one lease duration, its
    grace period, no holder gets a higher limit than the one it reports.
    """

    def __init__(
        self, now: float, term: int, lease_s: float = LEASE_S
    ) -> None:
        self._reclaim_s = lease_s * (1 + MAX_CLOCK_DRIFT) + RECLAIM_MARGIN_S
        self._grace_ends_at = now + self._reclaim_s
        self._version = term << TERM_SHIFT_BITS
        self._holders: dict[tuple[str, int], _Holder] = {}
        self._allocator = ConnectionAllocator()
        # Number of changes of demands and of limits that may be in effect.
        self._change_count = 0

    def end_grace_period(self, now: float) -> None:
        """End the grace period early, once every holder is known."""
        self._grace_ends_at = min(self._grace_ends_at, now)

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
        expected: Collection[str] = (),
    ) -> VersionedLimit:
        """Process a holder's report and return its next limit.

        ``version`` and ``limit`` describe the grant that the holder applied
        last; ``demand`` is its mean number of statements in flight or queued.
        ``expected`` are the entry processes that use the target. Those that
        have not reported yet are assumed to have the mean demand: what the
        others get before is taken back only after two renewals.
        """
        self.tick(now)
        key = (entry, incarnation)
        holder = self._holders.get(key)
        if holder is None:
            holder = self._holders[key] = _Holder(entry)
            self._change_count += 1
        before = (holder.demand, holder.max_limit())
        holder.renewed_at = now
        holder.apply_report(
            version, limit, accept_unknown=now < self._grace_ends_at
        )
        if version == holder.version:
            holder.demand = max(0.0, demand)
        if (holder.demand, holder.max_limit()) != before:
            self._change_count += 1
        known = {name for name, _ in self._holders}
        missing = tuple(name for name in expected if name not in known)
        decision_inputs = (budget, slots, self._change_count, missing)
        if (
            holder.last_answer.version == version
            and holder.decision_inputs == decision_inputs
        ):
            # Equal inputs result in the same limit, which the holder has.
            return holder.last_answer._replace(base=version)
        connections, in_flight = self._decide(now, key, budget, slots, missing)
        self._version += 1
        most = holder.max_limit()
        holder.grants.append((self._version, connections))
        if holder.max_limit() != most:
            self._change_count += 1
        holder.last_answer = VersionedLimit(
            version, self._version, connections, in_flight
        )
        holder.decision_inputs = None
        if now >= self._grace_ends_at:
            holder.decision_inputs = (
                budget,
                slots,
                self._change_count,
                missing,
            )
        return holder.last_answer

    def _decide(
        self,
        now: float,
        key: tuple[str, int],
        budget: int,
        slots: int,
        missing: Collection[str],
    ) -> tuple[int, int]:
        names = {key: f'{key[0]}/{key[1]}' for key in self._holders}
        demands = {
            names[k]: holder.demand for k, holder in self._holders.items()
        }
        mean_demand = sum(demands.values()) / len(demands)
        demands.update(dict.fromkeys(missing, mean_demand))
        held = {names[k]: h.max_limit() for k, h in self._holders.items()}
        limits = self._allocator.limits(budget, slots, demands, held)
        limit = limits[names[key]]
        connections = limit.connections
        if now < self._grace_ends_at:
            connections = min(connections, self._holders[key].limit)
        return connections, min(limit.in_flight, connections)

    def tick(self, now: float) -> None:
        """Reclaim the limits of holders whose lease has expired."""
        expired = [
            key
            for key, holder in self._holders.items()
            if now >= holder.renewed_at + self._reclaim_s
        ]
        for key in expired:
            del self._holders[key]
        self._change_count += len(expired)

    def release(self, entry: str, incarnation: int) -> None:
        """Reclaim the limit of a holder that closed its connections."""
        if self._holders.pop((entry, incarnation), None) is not None:
            self._change_count += 1

    def holders(self) -> Iterable[tuple[str, int]]:
        """Return the entry process and incarnation of each holder."""
        return self._holders.keys()

    def held(self) -> int:
        """Return the highest number of connections that may be in use."""
        return sum(holder.max_limit() for holder in self._holders.values())

    def entries(self) -> Iterable[str]:
        """Return the names of the entry processes with a limit."""
        return sorted({holder.entry for holder in self._holders.values()})
