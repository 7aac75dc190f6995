"""Incarnations of entry processes, if each name has one process at a time.

An incarnation is one run of the process with a name. A renewal by a new
incarnation shows that the earlier one no longer runs, so its lease need not
expire first. Once every registered process has renewed with the current
leader, no lease granted by an earlier leader can be unknown to it.
"""

import collections.abc
import math

# Ended incarnations remembered per name. This suffices because a delayed
# renewal can only come from one of the few restarts of the last minutes.
MAX_RETIRED = 64


class Incarnations:
    """Track the incarnations that renewed with one leader, by name."""

    __slots__ = ('_current', '_retired', '_unused_since', '_used')

    def __init__(self) -> None:
        self._current: dict[str, int] = {}
        # Start times of incarnations that have held no shares since.
        self._unused_since: dict[str, float] = {}
        # Last incarnations that have held shares.
        self._used: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def is_retired(self, entry: str, incarnation: int) -> bool:
        """Return whether another incarnation has replaced this one."""
        return incarnation in self._retired.get(entry, ())

    def renewed(self, entry: str, incarnation: int) -> int | None:
        """Record a renewal; return the incarnation it replaces, or None.

        >>> known = Incarnations()
        >>> known.renewed('a', 7), known.renewed('a', 7)
        (None, None)
        >>> known.renewed('a', 9), known.is_retired('a', 7)
        (7, True)
        """
        held = self._current.get(entry)
        self._current[entry] = incarnation
        if held is None or held == incarnation:
            return None
        retired = self._retired.setdefault(entry, [])
        retired.append(held)
        del retired[:-MAX_RETIRED]
        return held

    def report_unused(
        self, now: float, entry: str, incarnation: int, seconds: float
    ) -> None:
        """Record for how long a process has held no shares since its start.

        Zero means that it has held some. A delayed report of the same
        incarnation doesn't revoke that.
        """
        if seconds <= 0:
            self._used[entry] = incarnation
            self._unused_since.pop(entry, None)
        elif self._used.get(entry) != incarnation:
            since = self._unused_since.get(entry, -math.inf)
            self._unused_since[entry] = max(since, now - seconds)

    def unused_s(
        self, now: float, entries: collections.abc.Collection[str]
    ) -> float:
        """Return for how many seconds no process has held any share.

        An earlier process of a name had ended when the current one started,
        so nobody has used a rate since the last start.

        >>> known = Incarnations()
        >>> known.report_unused(10.0, 'a', 1, 3.0)
        >>> known.unused_s(10.5, ['a']), known.unused_s(10.5, ['a', 'b'])
        (3.5, 0.0)
        """
        if not entries or not self._unused_since.keys() >= set(entries):
            return 0.0
        return max(
            0.0, now - max(self._unused_since[entry] for entry in entries)
        )

    def complete(self, entries: collections.abc.Iterable[str]) -> bool:
        """Return whether all these names have renewed."""
        return all(entry in self._current for entry in entries)
