"""Choice of the target for a session's statement."""

import collections.abc
import random

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionstate

AGE_MARGIN_S = 0.2
"""Taken off the age that a read accepts: covers clock drift and the time
between the client's first byte and this process."""

STATEMENT_S = 0.03
"""Time that a statement in flight adds at a target; between the mean work of
the users' two services."""

AVOIDED_S = 1.0
"""Added for a target that turned work away a moment ago: more than any
distance, so that it is the last choice."""

TIE_S = 0.002
"""Spreads reads over targets at the same distance."""


class Access:
    """Hold what a key and a route allowed when an operation began."""

    __slots__ = ('account', 'route', 'group')

    def __init__(
        self, account: str, route: configuration.Route, group: str
    ) -> None:
        self.account = account
        self.route = route
        self.group = group


class Router:
    """Choose targets by what is known of them here."""

    def __init__(
        self, state: sessionstate.SessionEntryState, rng: random.Random
    ) -> None:
        self._state = state
        self._rng = rng

    def floor(
        self, access: Access, own: model.Position | None
    ) -> model.Position | None:
        """Return the position that a replica must hold; None: primary only.

        ``own`` is the position of the session's last write.
        """
        route = access.route
        if route.consistency == configuration.PRIMARY:
            return None
        known = self._state.timeline(access.group).floor(
            clocks.boottime(), route.max_age_s - AGE_MARGIN_S
        )
        if known is None:
            return None
        if route.consistency == configuration.SESSION and own:
            return max(known, own)
        return known

    def choose(
        self,
        access: Access,
        floor: model.Position | None,
        tried: collections.abc.Container[sessionpool.SessionBackend] = (),
    ) -> sessionpool.SessionBackend | None:
        """Return the target that will probably answer first, if any fits."""
        leader = self._state.leader(access.group)
        if floor is None:
            return leader if leader not in tried else None
        now = clocks.boottime()
        found = [
            backend
            for backend in self._state.session_members(access.group)
            if backend not in tried
            and backend.pool.limit
            and backend.circuit.ready(now)
            and (backend is leader or not backend.leads())
        ]
        return min(
            found, key=lambda b: self._cost(now, b, access), default=None
        )

    def _cost(
        self,
        now: float,
        backend: sessionpool.SessionBackend,
        access: Access,
    ) -> float:
        """Estimate the seconds until a target has answered a read."""
        cost = backend.rtt_s
        if not backend.pool.has_idle(access.account):
            cost += sessionpool.ROUND_TRIPS_TO_OPEN * backend.rtt_s
        cost += STATEMENT_S * max(0, backend.in_flight - 1)
        if backend.avoid_until > now:
            cost += AVOIDED_S
        return cost + TIE_S * self._rng.random()
