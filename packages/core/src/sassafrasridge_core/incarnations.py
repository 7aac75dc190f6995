"""Incarnations of entry processes, if each name has one process at a time.

An incarnation is one run of the process with a name. A renewal by a new
incarnation shows that the earlier one no longer runs, so its lease need not
expire first. Once every registered process has renewed with the current
leader, no lease granted by an earlier leader can be unknown to it.
"""

import collections.abc

# Ended incarnations remembered per name. This suffices because a delayed
# renewal can only come from one of the few restarts of the last minutes.
MAX_RETIRED = 64


class Incarnations:
    """Track the incarnations that renewed with one leader, by name."""

    __slots__ = ('_current', '_retired')

    def __init__(self) -> None:
        self._current: dict[str, int] = {}
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

    def complete(self, entries: collections.abc.Iterable[str]) -> bool:
        """Return whether all these names have renewed."""
        return all(entry in self._current for entry in entries)
