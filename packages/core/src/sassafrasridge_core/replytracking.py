"""Detection of lease holders that don't receive the replies to renewals.

A path may carry renewals but not their replies, or only small replies. The
holder then has no lease by its own account, but a grantor that answers each
renewal with another grant has to wait for that holder without an end. So a
renewal tells the last reply that its sender received, and grants are suspended
while none arrives. The lease still counts from the last grant that was sent,
since its reply may only be late.
"""

# Consecutive replies without a sign of their arrival before grants are
# suspended. A pause of the holder or of both directions loses one or two.
MAX_LOST_REPLIES = 3

# Time from a lost grant to the next attempt, in lease durations. Between the
# end of the lost grant's lease and that attempt nobody waits for the holder.
ATTEMPT_INTERVAL_LEASES = 2.5


class ReplyTracker:
    """Track which replies a holder has received.

    ``renewed_at`` is the time of the last renewal. While ``suspended`` is set,
    the holder gets refusals; once one of them arrives, it gets a grant again.

    >>> replies = ReplyTracker(1.2)
    >>> [replies.may_grant(n * 0.5, n, 0) for n in range(1, 6)]
    [True, True, True, False, False]
    >>> replies.may_grant(2.6, 6, 5), replies.may_grant(2.7, 7, 6)
    (True, True)
    """

    __slots__ = (
        'renewed_at',
        'suspended',
        '_lease_s',
        '_sequence',
        '_lost_count',
        '_lost_since',
        '_first_lost',
        '_attempt_sequence',
        '_attempt_at',
    )

    def __init__(self, lease_s: float) -> None:
        self.renewed_at = float('-inf')
        self.suspended = False
        self._lease_s = lease_s
        self._sequence = 0
        # Replies since the last one that arrived; refusals if suspended.
        self._lost_count = 0
        self._lost_since = float('-inf')
        self._first_lost = 0
        # Last grant that was sent since the suspension.
        self._attempt_sequence: int | None = None
        self._attempt_at = float('-inf')

    def may_grant(self, now: float, sequence: int, received: int) -> bool:
        """Return whether the reply to a renewal may extend the lease.

        ``received`` is the sequence of the last reply that arrived.
        """
        self.renewed_at = now
        if sequence <= self._sequence:
            # The renewal was held up, and its sender doesn't wait for it.
            return not self.suspended
        self._sequence = sequence
        arrived = self._lost_count > 0 and received >= self._first_lost
        if arrived:
            self._lost_count = 0
        if self.suspended and received == self._attempt_sequence:
            self.suspended = False
        if self.suspended:
            return self._may_attempt(now, sequence, arrived)
        if (
            self._lost_count >= MAX_LOST_REPLIES
            and now - self._lost_since > self._lease_s
        ):
            self.suspended = True
            self._attempt_sequence = None
            self._attempt_at = float('-inf')
            self._lost_count = 0
        self._sent(now, sequence)
        return not self.suspended

    def _may_attempt(self, now: float, sequence: int, arrived: bool) -> bool:
        """Return whether to send a grant to a holder that got a refusal."""
        wait_s = ATTEMPT_INTERVAL_LEASES * self._lease_s
        if arrived and now > self._attempt_at + wait_s:
            self._attempt_sequence, self._attempt_at = sequence, now
            # Refusals that follow show that small replies arrive.
            self._lost_count = 0
            return True
        self._sent(now, sequence)
        return False

    def _sent(self, now: float, sequence: int) -> None:
        """Record a reply that is sent."""
        if not self._lost_count:
            self._first_lost, self._lost_since = sequence, now
        self._lost_count += 1
