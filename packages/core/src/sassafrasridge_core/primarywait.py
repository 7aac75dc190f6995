"""How long a statement may wait while a group's primary is being replaced.

A statement that waits until the new primary is known is served in one
attempt. Waiting helps only if the change is likely to end early enough for
the statement to run before its deadline.
"""

import collections
import math

# Duration of a change before one has been observed: an order, a promotion
# and the time until entry processes learn of the new primary.
TYPICAL_CHANGE_S = 0.8
# Limits of the expected duration. An observation above the upper limit tells
# nothing about the next change: the group had no majority or was cut off.
MIN_EXPECTED_S = 0.3
MAX_EXPECTED_S = 3.0
# Number of observed changes that the expected duration is based on.
OBSERVED_CHANGES = 5
# Time in s that a statement needs once the primary is known: opening a
# connection to another region and running there.
RUN_RESERVE_S = 0.2


class ChangeTracker:
    """Track the changes of primary that this process sees, for all groups.

    >>> tracker = ChangeTracker()
    >>> tracker.begin(10.0, 'orders')
    >>> tracker.wait_until(10.1, 'orders', deadline=11.1)
    10.9
    >>> tracker.wait_until(10.1, 'orders', deadline=10.6) is None
    True
    """

    __slots__ = ('_begun_at', '_durations')

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}
        self._durations: collections.deque[float] = collections.deque(
            maxlen=OBSERVED_CHANGES
        )

    def begin(self, now: float, group: str) -> None:
        """Record that a change of a group's primary is in progress."""
        self._begun_at.setdefault(group, now)

    def end(self, now: float, group: str) -> None:
        """Record that a group has a primary again."""
        begun_at = self._begun_at.pop(group, None)
        if begun_at is not None and now - begun_at <= MAX_EXPECTED_S:
            self._durations.append(now - begun_at)

    def expected_s(self) -> float:
        """Return the expected duration of a change in seconds."""
        if not self._durations:
            return TYPICAL_CHANGE_S
        return max(MIN_EXPECTED_S, max(self._durations))

    def expected_end(self, now: float, group: str) -> float | None:
        """Return when a change is expected to end, None without a change.

        The result is infinite for a change that takes twice as long as
        expected, because nothing tells when it will end.
        """
        begun_at = self._begun_at.get(group)
        if begun_at is None:
            return None
        expected_s = self.expected_s()
        if now > begun_at + 2 * expected_s:
            return math.inf
        return max(now, begun_at + expected_s)

    def wait_until(
        self, now: float, group: str, deadline: float
    ) -> float | None:
        """Return until when a statement should wait for the new primary.

        Returns None if no change is in progress, or if it is not expected to
        end in time for a statement with this deadline.
        """
        end = self.expected_end(now, group)
        latest = deadline - RUN_RESERVE_S
        if end is None or end > latest:
            return None
        return latest
