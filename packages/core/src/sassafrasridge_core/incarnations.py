"""Incarnations of entry processes, if each name has one process at a time.

An incarnation is one run of the process with a name. Messages may be held up
and arrive after their sender has ended, so the order of arrival doesn't tell
which of two incarnations runs. A process therefore returns the clock of the
last reply that it got: it ran after the leader had sent that, so every other
incarnation that the leader had heard before has ended. Once every registered
name has a process that ran after the leader began, no lease granted by an
earlier leader can be unknown to it.
"""

import collections.abc
import math

# Incarnations remembered per name, those that ended and the others. This
# suffices because a delayed renewal can only come from one of the few restarts
# of the last minutes.
MAX_REMEMBERED = 64
# A clock holds a counter in this many low bits and the leader's term above.
CLOCK_COUNTER_BITS = 32


def term_of_clock(clock: int) -> int:
    """Return the term of the leader that sent a clock."""
    return clock >> CLOCK_COUNTER_BITS


class Incarnations:
    """Track the incarnations that renewed with one leader, by name.

    ``clock`` is sent in every reply. It counts the incarnations that this
    leader has heard.
    """

    __slots__ = (
        'clock',
        '_heard',
        '_retired',
        '_running',
        '_unused_since',
        '_used',
    )

    def __init__(self, term: int = 0) -> None:
        self.clock = term << CLOCK_COUNTER_BITS
        # Clock after the first renewal of each incarnation, by name.
        self._heard: dict[str, dict[int, int]] = {}
        # Last incarnations that got a reply of this leader.
        self._running: dict[str, int] = {}
        # Start times of incarnations that have held no shares since.
        self._unused_since: dict[str, float] = {}
        # Last incarnations that have held shares.
        self._used: dict[str, int] = {}
        self._retired: dict[str, list[int]] = {}

    def is_retired(self, entry: str, incarnation: int) -> bool:
        """Return whether another incarnation has replaced this one."""
        return incarnation in self._retired.get(entry, ())

    def is_confirmed(self, entry: str, incarnation: int) -> bool:
        """Return whether this one is the last that got a reply."""
        return self._running.get(entry) == incarnation

    def renewed(
        self, entry: str, incarnation: int, returned_clock: int
    ) -> list[int]:
        """Record a renewal; return the incarnations that it shows to be over.

        ``returned_clock`` is that of the last reply that the process got.

        >>> known = Incarnations()
        >>> known.renewed('a', 7, -1), known.renewed('a', 9, -1)
        ([], [])
        >>> known.renewed('a', 9, known.clock), known.is_retired('a', 7)
        ([7], True)
        """
        heard = self._heard.setdefault(entry, {})
        if incarnation not in heard:
            self.clock += 1
            heard[incarnation] = self.clock
            if len(heard) > MAX_REMEMBERED:
                del heard[next(iter(heard))]
        if term_of_clock(returned_clock) != term_of_clock(self.clock):
            return []
        self._running[entry] = incarnation
        ended = [
            other
            for other, heard_at in heard.items()
            if other != incarnation and heard_at <= returned_clock
        ]
        retired = self._retired.setdefault(entry, [])
        for other in ended:
            del heard[other]
            retired.append(other)
        del retired[:-MAX_REMEMBERED]
        return ended

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
        """Return whether all these names have a confirmed incarnation."""
        return all(entry in self._running for entry in entries)
