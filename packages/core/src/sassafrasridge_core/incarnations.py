"""Incarnations of entry processes, where a name has one process at a time.

A process that renews under a name ends the earlier incarnation of that name:
it can't run any more, so nobody has to wait for its lease. Once every
registered process has renewed, no lease of an earlier leader is unknown.
"""

import collections.abc

MAX_RETIRED = 64
"""Ended incarnations remembered per name; a delayed renewal is never older
than the few restarts of the last minutes."""


class Incarnations:
    """Track the current incarnation of each name towards one leader."""

    __slots__ = ('_current', '_retired')

    def __init__(self) -> None:
        self._current: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def is_retired(self, entry: str, incarnation: int) -> bool:
        """Return whether a later incarnation has renewed under the name."""
        return incarnation in self._retired.get(entry, ())

    def renewed(self, entry: str, incarnation: int) -> int | None:
        """Record a renewal; return the incarnation that it ends, if any.

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
        """Return whether every one of these names has renewed."""
        return all(entry in self._current for entry in entries)
