"""Orders that take availability zones out of service, and their effect."""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import Any

from sassafrasridge_core import configuration
from sassafrasridge_core import errors

MAX_ZONE_CHARS = 200
# An open transaction on a target of a drained zone may go on for this long
# after the process has learned of the order.
TRANSACTION_GRACE_S = 2.0
# An order must be in force everywhere 5 s after it was acknowledged. The rest
# is for the interval of the check for transactions and for the rollback.
IN_FORCE_WITHIN_S = 4.5


def check_zone(zone: object) -> str:
    """Return the name of a zone; raise BadRequestError if it is not valid."""
    if (
        isinstance(zone, str)
        and 0 < len(zone) <= MAX_ZONE_CHARS
        and zone.isprintable()
        and '/' not in zone
    ):
        return zone
    raise errors.BadRequestError(
        f'the zone must have 1 to {MAX_ZONE_CHARS} printable characters '
        "without '/'",
        remedy='Write the zone as targets announce it; see zone list.',
    )


def usable(zone: str, drained: Collection[str]) -> bool:
    """Return whether targets of a zone may be used; '' if it is unknown.

    While any zone is drained, a target whose zone is not known yet may be in
    it.

    >>> usable('', ()), usable('', ['z1']), usable('z2', ['z1'])
    (True, False, True)
    """
    return not drained or bool(zone and zone not in drained)


class ZoneOrder:
    """Apply an order to drain or to restore a zone to the configuration.

    ``changes`` holds the changes of a delta and is empty if the order repeats
    what is in force. Raises BadRequestError.
    """

    __slots__ = ('zone', 'drained', 'changes', 'summary', 'answer')

    def __init__(
        self, tables: configuration.Tables, body: dict[str, Any]
    ) -> None:
        self.zone = check_zone(body.get('zone'))
        self.drained = body.get('drained') is True
        self.summary = f'{"drain" if self.drained else "restore"} {self.zone}'
        self.changes: list[list[Any]] = []
        known = tables.get(configuration.DRAINED_ZONE, self.zone) is not None
        if known != self.drained:
            self._change(tables, body)
        self.answer = {
            'zone': self.zone,
            'drained': self.drained,
            'changed': bool(self.changes),
        }

    def _change(
        self, tables: configuration.Tables, body: dict[str, Any]
    ) -> None:
        values = None
        if self.drained:
            time = body.get('time')
            values = {
                'zone': self.zone,
                'ordered_at': time if isinstance(time, int | float) else 0.0,
                'operator': str(body.get('operator') or 'system'),
            }
        change = configuration.Change(
            configuration.DRAINED_ZONE, self.zone, values
        )
        tables.put(change.kind, change.key, change.values)
        self.changes.append(change.as_list())


class DrainTracker:
    """Track which zones an entry process may not use.

    >>> drains = DrainTracker()
    >>> drains.update(10.0, ['z1'], renewal_age_s=0.3)
    True
    >>> drains.usable('z1'), drains.usable('z2')
    (False, True)
    >>> drains.abort_due(11.9, 'z1'), drains.abort_due(12.0, 'z1')
    (False, True)
    """

    __slots__ = ('_abort_at',)

    def __init__(self) -> None:
        # Time at which open transactions are aborted, by drained zone.
        self._abort_at: dict[str, float] = {}

    def update(
        self, now: float, zones: Iterable[str], renewal_age_s: float
    ) -> bool:
        """Apply the drained zones; return whether they changed.

        ``renewal_age_s`` is the time since the process sent its last granted
        renewal before the one that told of the zones. New orders may have
        been acknowledged right after that, so a process that was cut off for
        a while grants its transactions less time.
        """
        zones = frozenset(zones)
        if zones == self._abort_at.keys():
            return False
        grace_s = min(TRANSACTION_GRACE_S, IN_FORCE_WITHIN_S - renewal_age_s)
        self._abort_at = {
            zone: self._abort_at.get(zone, now + grace_s) for zone in zones
        }
        return True

    def __bool__(self) -> bool:
        return bool(self._abort_at)

    def zones(self) -> frozenset[str]:
        """Return the drained zones."""
        return frozenset(self._abort_at)

    def drained(self, zone: str) -> bool:
        """Return whether a zone is known to be drained."""
        return zone in self._abort_at

    def usable(self, zone: str) -> bool:
        """Return whether targets of a zone may be used; '' if unknown."""
        return usable(zone, self._abort_at)

    def abort_due(self, now: float, zone: str) -> bool:
        """Return whether open transactions in a zone must be aborted."""
        return now >= self._abort_at.get(zone, math.inf)
