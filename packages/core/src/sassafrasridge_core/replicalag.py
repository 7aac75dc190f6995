"""The lag of a replica, learned from the reads that it serves or rejects.

A replica does not tell which log position it has applied. A read that names a
position tells whether the replica has it, and so does the time since the
primary reached that position tell about the lag.
"""

import math

# Period for which a rejected read counts. Afterwards the replica is asked
# again, because nothing else tells that its lag has ended.
BEHIND_TTL_S = 0.5
# Period in which another rejection confirms the highest age rejected before.
# Without it, reads would wait in vain after each time the replica is asked.
CONFIRM_S = 5.0
# Period for which a served read limits the expected lag.
REACHED_TTL_S = 2.0
# Place of the expected lag between the highest age that was rejected and the
# lowest that was served. Another rejection costs more than a longer wait.
EXPECTED_PART = 0.75
# Expected lag if no read was served lately: the rejected age times the factor,
# plus a typical lag.
GROWTH_FACTOR = 1.5
TYPICAL_LAG_S = 0.05


class ReplicaLag:
    """Estimate the lag of one replica in seconds.

    >>> lag = ReplicaLag()
    >>> lag.behind(10.0, 0.02)
    >>> lag.reached(10.1, 0.1)
    >>> round(lag.expected_s(10.2), 3), lag.expected_s(11.0)
    (0.08, 0.0)
    """

    __slots__ = ('_rejected_s', '_rejected_at', '_served_s', '_served_at')

    def __init__(self) -> None:
        self._rejected_s = 0.0
        self._rejected_at = -math.inf
        self._served_s = math.inf
        self._served_at = -math.inf

    def behind(self, now: float, age_s: float) -> None:
        """Record that a position was missing.

        The primary had it ``age_s`` seconds before.
        """
        if now - self._rejected_at <= CONFIRM_S:
            age_s = max(age_s, self._rejected_s)
        self._rejected_s, self._rejected_at = max(0.0, age_s), now
        if self._served_s <= self._rejected_s:
            self._served_s = math.inf

    def reached(self, now: float, age_s: float) -> None:
        """Record that the replica had a position."""
        if age_s <= self._rejected_s:
            self._rejected_s, self._rejected_at = 0.0, -math.inf
        if now - self._served_at > REACHED_TTL_S or age_s <= self._served_s:
            self._served_s, self._served_at = age_s, now

    def expected_s(self, now: float) -> float:
        """Return the expected lag in seconds.

        Returns 0 if no read was rejected lately.
        """
        if now - self._rejected_at > BEHIND_TTL_S:
            return 0.0
        lowest_s = self._rejected_s
        if now - self._served_at > REACHED_TTL_S or math.isinf(self._served_s):
            return lowest_s * GROWTH_FACTOR + TYPICAL_LAG_S
        return lowest_s + EXPECTED_PART * (self._served_s - lowest_s)
