"""Rate limits of cold targets: leader's division and entry side.

A target that has just started may get at most a fixed number of statements in
any second, over all entry processes together. The leader divides this number
among the holders of connection grants for the target. A part counts as in use
from its grant until the grant has expired and one more second has passed,
because a statement counts for a second after it was sent. A part is granted
only from what is not in use by others, so the sum never exceeds the rate, also
if replies are lost, late or repeated.

A rate in a message is in statements/s; 0 means no limit and a negative value
that no statement may be sent.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
import math
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import slots

# Period over which the statements to a cold target are counted.
WINDOW_S = 1.0
NOT_LIMITED = 0.0
NO_STATEMENTS = -1.0
# Period after the first connection to a restarted target in which control may
# not know of the restart: targets announce themselves every 1.3 s at the
# latest, and a renewal takes up to 0.4 s.
RESTART_UNKNOWN_S = 2.0


def service_rates(
    services: Iterable[configuration.Service],
) -> dict[str, float]:
    """Return the lowest cold rate that services set, by group.

    >>> service = configuration.Service
    >>> service_rates([service('a', 'g', 5, 30, '', 20.0),
    ...                service('b', 'g', 5, 30, '')])
    {'g': 20.0}
    """
    rates: dict[str, float] = {}
    for service in services:
        if service.cold_rate > 0:
            known = rates.get(service.group, math.inf)
            rates[service.group] = min(known, service.cold_rate)
    return rates


class Report(typing.NamedTuple):
    """Hold what a holder reports of its grant for a target.

    ``valid`` tells whether it holds a valid grant, ``rate`` is the rate of
    that grant, and ``confirmed`` whether it is a grant of this leader.
    """

    valid: bool
    rate: float
    confirmed: bool

    @property
    def statements(self) -> int:
        """Return the limited statements/s that may be in use, 0 if none."""
        return max(0, int(self.rate)) if self.valid else 0


class RateLedger:
    """Divide the rate of one cold target among its holders.

    ``started_at`` is when the leader began. Until all grants of an earlier
    leader have expired, its grace period, no holder gets a higher rate than
    the one it reports.
    """

    __slots__ = ('_in_use_s', '_grace_ends_at', '_granted', '_confirmed')

    def __init__(
        self, started_at: float, lease_s: float = slots.LEASE_S
    ) -> None:
        self._in_use_s = (
            lease_s * (1 + slots.MAX_CLOCK_DRIFT)
            + slots.RECLAIM_MARGIN_S
            + WINDOW_S
        )
        self._grace_ends_at = started_at + self._in_use_s
        # Times and rates of grants that may be in use, by holder.
        self._granted: dict[Hashable, list[tuple[float, int]]] = {}
        self._confirmed: set[Hashable] = set()

    def grant(
        self,
        now: float,
        holder: Hashable,
        holders: Iterable[Hashable],
        total: int,
        report: Report,
        all_known: bool,
    ) -> int:
        """Return the statements/s that a holder may send from now on.

        ``holders`` has all holders of connection grants for the target. With
        ``all_known``, every entry process has renewed with this leader; the
        grace period then ends once each holder has confirmed a grant.
        """
        self._expire(now)
        names = {str(key): 1.0 for key in holders}
        if report.confirmed:
            self._confirmed.add(holder)
        part = slots.divide(total, names).get(str(holder), 0)
        rate = max(0, min(part, total - self._in_use_by_others(holder)))
        if now < self._grace_ends_at:
            if all_known and self._confirmed.issuperset(holders):
                self._grace_ends_at = now
            else:
                rate = min(rate, report.statements)
        in_use = max(rate, report.statements)
        self._granted.setdefault(holder, []).append((now, in_use))
        return rate

    def in_use(self, now: float) -> int:
        """Return the statements/s that all holders together may send."""
        self._expire(now)
        return sum(map(_highest, self._granted.values()))

    def _in_use_by_others(self, holder: Hashable) -> int:
        return sum(
            _highest(grants)
            for key, grants in self._granted.items()
            if key != holder
        )

    def _expire(self, now: float) -> None:
        since = now - self._in_use_s
        for key, grants in list(self._granted.items()):
            while grants and grants[0][0] < since:
                grants.pop(0)
            if not grants:
                del self._granted[key]
                self._confirmed.discard(key)


def _highest(grants: list[tuple[float, int]]) -> int:
    return max(rate for _, rate in grants)


class ColdRates:
    """Decide the rates in the leader's connection grants."""

    __slots__ = ('_started_at', '_lease_s', '_all_known', '_ledgers')

    def __init__(
        self, started_at: float, lease_s: float = slots.LEASE_S
    ) -> None:
        self._started_at = started_at
        self._lease_s = lease_s
        self._all_known = False
        self._ledgers: dict[Hashable, RateLedger] = {}

    def all_holders_known(self) -> None:
        """Record that every entry process has renewed with this leader."""
        self._all_known = True

    def rate(
        self,
        now: float,
        target: Hashable,
        holder: Hashable,
        holders: Iterable[Hashable],
        total: float,
        cold: bool | None,
        report: Report,
    ) -> float:
        """Return the rate for a grant of a target to a holder.

        ``total`` is the configured rate of a cold target. ``cold`` is what the
        target last announced, None if this leader has not heard of it yet. A
        holder then keeps its grant without a limit; all others are treated as
        if the target were cold.
        """
        unlimited = report.valid and report.rate == NOT_LIMITED
        if total <= 0 or cold is False or (cold is None and unlimited):
            return NOT_LIMITED
        ledger = self._ledgers.get(target)
        if ledger is None:
            ledger = RateLedger(self._started_at, self._lease_s)
            self._ledgers[target] = ledger
        rate = ledger.grant(
            now, holder, tuple(holders), int(total), report, self._all_known
        )
        return float(rate) if rate else NO_STATEMENTS


class StatementWindow:
    """Count the statements of one process to a target in any second.

    >>> window = StatementWindow()
    >>> [window.take(now, 2) for now in (0.0, 0.25, 0.5, 1.0)]
    [True, True, False, True]
    >>> window.wait_s(1.0, 2), window.wait_s(1.0, 0)
    (0.25, inf)
    """

    __slots__ = ('_sent_at',)

    def __init__(self) -> None:
        self._sent_at: collections.deque[float] = collections.deque()

    def take(self, now: float, limit: int) -> bool:
        """Count a statement and return True if the limit allows it now."""
        if self.wait_s(now, limit) > 0:
            return False
        self._sent_at.append(now)
        return True

    def wait_s(self, now: float, limit: int, ahead: int = 0) -> float:
        """Return the seconds until the limit allows a statement.

        ``ahead`` statements are sent before it, each as soon as possible.

        >>> window = StatementWindow()
        >>> window.take(0.0, 2), window.take(0.25, 2)
        (True, True)
        >>> [window.wait_s(0.5, 2, ahead) for ahead in range(4)]
        [0.5, 0.75, 1.5, 1.75]
        """
        while self._sent_at and self._sent_at[0] + WINDOW_S <= now:
            self._sent_at.popleft()
        if limit <= 0:
            return math.inf
        # A statement is sent one window after the one ``limit`` before it.
        windows = ahead // limit + 1
        index = len(self._sent_at) + ahead - windows * limit
        if index < 0:
            return (windows - 1) * WINDOW_S
        return self._sent_at[index] + windows * WINDOW_S - now


class TargetLimit:
    """Limit the statements that one process sends to a target.

    The limit is that of the last grant. A target that closed all connections
    may have restarted: a grant without a limit is then not trusted until
    control must know of the restart. ``rate`` is that of the last grant.
    """

    __slots__ = ('rate', '_window', '_broke', '_regained_at')

    def __init__(self) -> None:
        self.rate = NOT_LIMITED
        self._window = StatementWindow()
        self._broke = False
        self._regained_at = math.inf

    @property
    def active(self) -> bool:
        """Return whether a limit may apply."""
        return self._broke or self.rate != NOT_LIMITED

    def granted(self, sent_at: float, rate: float) -> None:
        """Apply the rate of a grant; its renewal was sent at ``sent_at``."""
        self.rate = rate
        if sent_at >= self._regained_at + RESTART_UNKNOWN_S:
            self._broke = False

    def connections_broke(self) -> None:
        """Record that the target closed all connections."""
        self._broke, self._regained_at = True, math.inf

    def connected(self, now: float) -> None:
        """Record that a connection to the target was opened."""
        self._regained_at = min(self._regained_at, now)

    def statements(self, valid: bool, fallback: int | None) -> int | None:
        """Return the allowed statements/s, None for no limit.

        ``valid`` tells whether the grant is valid. ``fallback`` is the limit
        for a target that may have restarted, None if the service sets none.
        """
        restarted = self._broke and fallback is not None
        if self.rate == NOT_LIMITED and not restarted:
            return None
        if not valid:
            return 0
        if self.rate == NOT_LIMITED:
            return fallback
        return max(0, int(self.rate))

    def take(self, now: float, limit: int | None) -> bool:
        """Count a statement and return True if it may be sent now."""
        return limit is None or self._window.take(now, limit)

    def wait_s(self, now: float, limit: int | None, ahead: int = 0) -> float:
        """Return the seconds until a statement may be sent.

        ``ahead`` other statements wait for the same.
        """
        return 0.0 if limit is None else self._window.wait_s(now, limit, ahead)
