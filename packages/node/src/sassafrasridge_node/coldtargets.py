"""Rate limit of a cold target in an entry process."""

import asyncio
import collections.abc
import typing

from sassafrasridge_core import coldlimits
from sassafrasridge_core import model
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import logs

# Period within which all connections to a target that restarts break. Some may
# be opened again before the last one breaks.
BREAK_PERIOD_S = 0.5


class RateLimitedBackend(backends.Backend):
    """Limit the statements that this process sends to a cold target."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.cold = coldlimits.TargetLimit()
        # Returns this process's statements/s at a target that may be cold
        # without control knowing, None if the service sets no rate.
        self.cold_fallback: typing.Callable[[], int | None] = lambda: None
        # When the first of the connections that broke together did.
        self._broke_at = float('-inf')
        # Statements that wait for the rate.
        self._rate_waiters = 0

    def apply_grant(self, grant: typing.Any, sent_at: float) -> bool:
        """Apply the granted limits and the rate of a cold target."""
        applied = super().apply_grant(grant, sent_at)
        if applied:
            self.cold.granted(sent_at, grant.rate or coldlimits.NOT_LIMITED)
        return applied

    def granted_rate(self) -> float:
        """Return the rate of the last grant in statements/s, 0 for none."""
        return self.cold.rate

    def cold_limit(self, now: float) -> int | None:
        """Return the allowed statements/s, None if the target is warm."""
        if not self.cold.active:
            return None
        valid = self.share.limit(now).connections > 0
        return self.cold.statements(valid, self.cold_fallback())

    def takes_statement(self, now: float) -> bool:
        """Return whether the rate allows a statement now."""
        return self._rate_wait_s(now) <= 0

    def _rate_wait_s(self, now: float) -> float:
        """Return the seconds until the rate allows one more statement."""
        return self.cold.wait_s(now, self.cold_limit(now), self._rate_waiters)

    def require_rate(self, deadline: float) -> None:
        """Raise UnavailableError if the rate allows none until a deadline.

        No connection is opened and none is held then.
        """
        now = clocks.boottime()
        wait_s = self._rate_wait_s(now)
        if wait_s and now + wait_s >= deadline:
            self._metrics.cold_refusals.inc()
            raise backends.refusal_error(model.TARGET_COLD)

    async def wait_for_rate(
        self,
        deadline: float,
        check: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Wait until the rate allows a statement, and count it.

        Raises UnavailableError at once if that is not before the deadline.
        ``check`` is called after each wait and may raise.
        """
        now = clocks.boottime()
        if self.cold.take(now, self.cold_limit(now)):
            return
        self.require_rate(deadline)
        self._metrics.cold_delays.inc()
        while not self.cold.take(now, limit := self.cold_limit(now)):
            wait_s = self.cold.wait_s(now, limit)
            if now + wait_s >= deadline:
                self._metrics.cold_refusals.inc()
                raise backends.refusal_error(model.TARGET_COLD)
            self._rate_waiters += 1
            try:
                await asyncio.sleep(wait_s)
            finally:
                self._rate_waiters -= 1
            check()
            now = clocks.boottime()

    def connection_broke(
        self, opened_at: collections.abc.Iterable[float]
    ) -> None:
        """Record that the target closed a connection.

        ``opened_at`` are the times at which the remaining ones were opened.
        If none of them is older than the break, the target may have restarted
        and is limited until control must know whether it has.
        """
        now = clocks.boottime()
        if now > self._broke_at + BREAK_PERIOD_S:
            self._broke_at = now
        remaining = list(opened_at)
        if any(at < self._broke_at for at in remaining):
            return
        known = self.cold.broke
        self.cold.connections_broke()
        if remaining:
            self.cold.connected(now)
        rate = self.cold_fallback()
        if rate is not None and not known:
            logs.log_event(
                'target_may_be_cold',
                server=self.info.server,
                group=self.info.group,
                rate=rate,
            )
