"""Selection of the target for a session's statement."""

import collections.abc
import random

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import ownwrites
from sassafrasridge_core import regions
from sassafrasridge_node import clocks
from sassafrasridge_node import regionrules
from sassafrasridge_node import replicareads
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionstate

# Subtracted from the maximum data age that a read accepts, to cover clock
# drift and the time from the client's first byte to its arrival here.
AGE_MARGIN_S = 0.2

# Estimated delay that each statement in flight, or waiting here to be sent,
# adds at a target whose time is not learned. It lies between the mean
# statement times of the users' two services.
STATEMENT_COST_S = 0.03

# Penalty for a target that recently rejected work. It exceeds any round-trip
# time, so such a target is chosen last.
AVOIDED_COST_S = 1.0

# Upper limit of the random part of the cost, which spreads reads over targets
# with equal round-trip times.
MAX_TIE_BREAK_S = 0.002


# Cost of a cold target that may get a statement: a warm one is preferred
# unless a statement waits there.
COLD_COST_S = STATEMENT_COST_S

# Cost of a warm primary while another target is cold: it is preferred only to
# replicas at which several statements wait.
PRIMARY_COST_S = 4 * STATEMENT_COST_S


class Access:
    """Hold what a client is authorized for.

    ``regions`` are the allowed regions of targets, None for all.
    """

    __slots__ = ('account', 'route', 'group', 'regions')

    def __init__(
        self,
        account: str,
        route: configuration.Route,
        group: str,
        allowed: regions.Allowed = None,
    ) -> None:
        self.account = account
        self.route = route
        self.group = group
        self.regions = allowed


class Router:
    """Choose targets from the state that this process has of them."""

    def __init__(
        self, state: sessionstate.SessionEntryState, rng: random.Random
    ) -> None:
        self._state = state
        self._rng = rng

    def required_position(
        self, access: Access, own_writes: ownwrites.OwnWrites
    ) -> model.Position | None:
        """Return the log position that a replica must have applied for a read.

        Returns None if only the primary may serve the read, or none but the
        primary as long as its position isn't known.

        ``own_writes`` are the writes of the session.
        """
        route = access.route
        if self.needs_primary(access, own_writes):
            return None
        known = self._state.timeline(access.group).floor(
            clocks.boottime(), route.max_age_s - AGE_MARGIN_S
        )
        if known is None:
            return None
        if route.consistency != configuration.SESSION:
            return known
        return max(known, own_writes.position(access.group) or known)

    def usable_primary(
        self, access: Access
    ) -> sessionpool.SessionBackend | None:
        """Return the primary, or None if the access may not use it."""
        found = self._state.usable_primary(access.group)
        if found is None or not regionrules.allows_target(
            self._state, access.regions, found
        ):
            return None
        return found

    def needs_primary(
        self, access: Access, own_writes: ownwrites.OwnWrites
    ) -> bool:
        """Return whether no replica can serve a read of the session."""
        route = access.route
        return (
            route.consistency == configuration.PRIMARY
            or route.max_age_s <= AGE_MARGIN_S
            or (
                route.consistency == configuration.SESSION
                and not own_writes.known(access.group)
            )
        )

    def refusal_reason(self, access: Access, primary: bool) -> str:
        """Return why no target in the regions may serve, '' if one may.

        ``primary`` tells that only the primary can serve the statement.
        """
        return regionrules.refusal_reason(
            self._state, access.regions, access.group, primary
        )

    def choose_target(
        self,
        access: Access,
        floor: model.Position | None,
        tried: collections.abc.Container[sessionpool.SessionBackend] = (),
    ) -> sessionpool.SessionBackend | None:
        """Return the target with the lowest estimated delay, if any fits.

        ``floor`` is the result of required_position(); targets in ``tried``
        are left out.
        """
        primary = self.usable_primary(access)
        if floor is None:
            return primary if primary not in tried else None
        now = clocks.boottime()
        found = [
            b for b in self._usable_targets(access, primary) if b not in tried
        ]
        # Without any other target, the read waits for the rate of a cold one.
        found = [b for b in found if b.takes_statement(now)] or found
        costs = {
            b: self._estimate_cost_s(now, b, access)
            + self._cold_cost_s(now, b, primary)
            for b in found
        }
        if not self._state.learned_limits:
            return min(found, key=costs.__getitem__, default=None)
        return self._choose_replica_first(access, floor, costs)

    def _choose_replica_first(
        self,
        access: Access,
        floor: model.Position,
        costs: dict[sessionpool.SessionBackend, float],
    ) -> sessionpool.SessionBackend | None:
        """Return the best replica, or the primary where that is better."""
        timeline = self._state.timeline(access.group)
        primary = next((b for b in costs if b.is_primary()), None)
        replicas = [b for b in costs if b is not primary]
        ready = [
            b
            for b in replicas
            if not replicareads.catch_up_s(b, timeline, floor)
        ]
        if primary is not None and not ready:
            return primary
        best = min(ready or replicas, key=costs.__getitem__, default=None)
        if (
            best is not None
            and primary is not None
            and replicareads.has_free_turn(primary)
            and replicareads.is_clearly_faster(costs[primary], costs[best])
        ):
            return primary
        return best

    def _usable_targets(
        self, access: Access, primary: sessionpool.SessionBackend | None
    ) -> list[sessionpool.SessionBackend]:
        """Return the targets that may serve a read; ``primary`` if usable."""
        now = clocks.boottime()
        return [
            backend
            for backend in self._state.available_targets(access.group)
            if backend.pool.limit
            and backend.circuit.ready(now)
            and (backend is primary or not backend.is_primary())
            and regionrules.allows_target(self._state, access.regions, backend)
            and backend.cold_limit(now) != 0
        ]

    def replicas(self, access: Access) -> list[sessionpool.SessionBackend]:
        """Return the replicas that may serve a read."""
        return self._usable_targets(access, None)

    def replica_wait_s(
        self,
        access: Access,
        floor: model.Position | None,
        tried: collections.abc.Container[sessionpool.SessionBackend],
        until: float,
    ) -> float:
        """Return how long a read should wait for a replica's position.

        Returns 0 if one may be tried now, or if none is expected to have the
        position early enough to run the read by ``until``.
        """
        if floor is None or not self._state.learned_limits:
            return 0.0
        now = clocks.boottime()
        timeline = self._state.timeline(access.group)
        behind = []
        for backend in self.replicas(access):
            catch_up_s = replicareads.catch_up_s(backend, timeline, floor)
            if backend not in tried and not catch_up_s:
                return 0.0
            if backend not in tried or catch_up_s:
                behind.append(backend)
        primary = self.usable_primary(access)
        reserve_s = replicareads.RUN_RESERVE_S
        if primary is not None:
            reserve_s += self._estimate_cost_s(now, primary, access)
        return replicareads.wait_s(behind, timeline, floor, until - reserve_s)

    def _cold_cost_s(
        self,
        now: float,
        backend: sessionpool.SessionBackend,
        primary: sessionpool.SessionBackend | None,
    ) -> float:
        """Return the cost that prefers warm replicas while one is cold."""
        if backend.cold_limit(now) is not None:
            return COLD_COST_S
        if backend is primary and any(
            member.cold_limit(now) is not None
            for member in self._state.available_targets(backend.info.group)
        ):
            return PRIMARY_COST_S
        return 0.0

    def _estimate_cost_s(
        self,
        now: float,
        backend: sessionpool.SessionBackend,
        access: Access,
    ) -> float:
        """Estimate the time in seconds until a target answers a read."""
        cost = backend.rtt_s
        if not backend.pool.has_idle(access.account):
            cost += sessionpool.ROUND_TRIPS_TO_OPEN * backend.rtt_s
        if backend.load is None:
            ahead = backend.in_flight + len(backend.queue)
            cost += STATEMENT_COST_S * max(0, ahead - 1)
        else:
            cost += replicareads.expected_delay_s(
                backend, access.route, STATEMENT_COST_S
            )
        if backend.avoid_until > now:
            cost += AVOIDED_COST_S
        return cost + MAX_TIE_BREAK_S * self._rng.random()
