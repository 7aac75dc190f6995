"""How long a statement may wait for the primary of its group.

A statement that waits until the new primary is known is served in one
attempt, while a refusal uses up one of the caller's few attempts. It waits as
long as a change of primary can end in time for it. A primary that can't be
reached, or doesn't answer, is a sign that it will be replaced.
"""

import collections

# Shortest duration of a change before one has been observed: an order, a
# promotion and the time until entry processes learn of the new primary.
MIN_CHANGE_S = 0.3
# Afterwards, the shortest duration as a share of the shortest observed one.
MIN_CHANGE_SHARE = 0.5
# Upper limit of the duration of a change. One that takes longer is not waited
# for, and its duration tells nothing about the next one: the group had no
# majority or was cut off. Changes after the loss of a VM took 1 to 2 s.
MAX_EXPECTED_S = 3.0
# Period after the first sign of a change in which the change is likely. It
# adds the detection of a lost primary by control, about 1 s, to a change.
LIKELY_CHANGE_S = 4.0
# A sign that comes later than this after the last one belongs to another
# event. Statements that wait repeat theirs several times a second.
SIGN_GAP_S = 1.5
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
    >>> tracker.wait_until(10.1, 'orders', deadline=10.4) is None
    True
    """

    __slots__ = ('_begun_at', '_signs', '_durations')

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}
        # Times of the first and the last sign of a change, by group.
        self._signs: dict[str, tuple[float, float]] = {}
        self._durations: collections.deque[float] = collections.deque(
            maxlen=OBSERVED_CHANGES
        )

    def begin(self, now: float, group: str) -> None:
        """Record that a change of a group's primary is in progress."""
        self._begun_at.setdefault(group, now)

    def end(self, now: float, group: str) -> None:
        """Record that a group has a primary again."""
        self.reached(group)
        begun_at = self._begun_at.pop(group, None)
        if begun_at is not None and now - begun_at <= MAX_EXPECTED_S:
            self._durations.append(now - begun_at)

    def in_progress(self, group: str) -> bool:
        """Return whether a change of a group's primary is known."""
        return group in self._begun_at

    def suspect(self, now: float, group: str) -> None:
        """Record a sign that the primary of a group will be replaced."""
        first_at, last_at = self._signs.get(group, (now, now))
        if now - last_at > SIGN_GAP_S:
            first_at = now
        self._signs[group] = (first_at, now)

    def reached(self, group: str) -> None:
        """Record that the primary of a group has answered."""
        self._signs.pop(group, None)

    def wait_until(
        self, now: float, group: str, deadline: float
    ) -> float | None:
        """Return until when a statement should wait for the new primary.

        Returns None if no change is in progress or likely, or if it can't
        end in time for a statement with this deadline.
        """
        latest = deadline - RUN_RESERVE_S
        begun_at, sign = self._begun_at.get(group), self._signs.get(group)
        if begun_at is not None:
            if now - begun_at > MAX_EXPECTED_S:
                return None
            earliest_end = max(now, begun_at + self._shortest_s())
        elif sign is not None and now - sign[0] <= LIKELY_CHANGE_S:
            earliest_end = now
        else:
            return None
        return latest if earliest_end <= latest else None

    def _shortest_s(self) -> float:
        if not self._durations:
            return MIN_CHANGE_S
        return MIN_CHANGE_SHARE * min(self._durations)

    def retry_until(
        self, now: float, group: str, deadline: float
    ) -> float | None:
        """Return until when to retry a statement that the primary didn't run.

        Without a sign of a change, the primary is expected to accept it.
        """
        if group in self._begun_at or group in self._signs:
            return self.wait_until(now, group, deadline)
        latest = deadline - RUN_RESERVE_S
        return latest if now <= latest else None
