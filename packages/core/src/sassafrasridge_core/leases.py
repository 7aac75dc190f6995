"""Leases of entry processes, on the holder's and on the grantor's side.

The holder measures a lease from the time it sent the renewal. The grantor
measures it from the time it answered and adds a margin for clock drift.
Therefore the holder always stops before the grantor reassigns what the lease
covered.
"""

from sassafrasridge_core import acknowledged as commits
from sassafrasridge_core import model
from sassafrasridge_core import replytracking

# Highest tolerated relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT = 0.02


class LeaseTimes:
    """Store the durations of a lease in seconds.

    Without a new renewal, writes and group views stay valid for ``lease_s``,
    and keyed reads, the configuration and rate shares for ``config_ttl_s``.
    """

    __slots__ = ('renew_interval_s', 'lease_s', 'config_ttl_s')

    def __init__(
        self,
        renew_interval_s: float = 0.3,
        lease_s: float = 1.2,
        config_ttl_s: float = 4.0,
    ) -> None:
        self.renew_interval_s = renew_interval_s
        self.lease_s = lease_s
        self.config_ttl_s = config_ttl_s


class HolderLease:
    """Track the lease of this entry process.

    >>> lease = HolderLease(LeaseTimes())
    >>> lease.sent(10.0, 1)
    >>> lease.granted(1)
    >>> lease.valid(11.1), lease.valid(11.3), lease.config_valid(11.3)
    (True, False, True)
    """

    __slots__ = ('_times', '_sent_times', '_renewal_sent_at', 'ended')

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._sent_times: dict[int, float] = {}
        self._renewal_sent_at = float('-inf')
        self.ended = False

    def sent(self, now: float, sequence: int) -> None:
        """Record that a renewal was sent."""
        self._sent_times[sequence] = now

    def granted(self, sequence: int) -> None:
        """Extend the lease from the time the renewal was sent."""
        start = self._sent_times.pop(sequence, None)
        if start is not None and not self.ended:
            self._renewal_sent_at = max(self._renewal_sent_at, start)
        for older in [seq for seq in self._sent_times if seq < sequence]:
            del self._sent_times[older]

    def age(self, now: float) -> float:
        """Return the seconds since the last granted renewal was sent."""
        return now - self._renewal_sent_at

    def end(self) -> None:
        """End the lease permanently."""
        self.ended = True
        self._renewal_sent_at = float('-inf')

    def valid(self, now: float) -> bool:
        """Return whether writes may be served and acknowledged."""
        return now < self._renewal_sent_at + self._times.lease_s

    def config_valid(self, now: float) -> bool:
        """Return whether keyed reads and rate shares may be used."""
        return now < self._renewal_sent_at + self._times.config_ttl_s


class LeaseHolder:
    """Store the grantor's state for one lease holder."""

    __slots__ = (
        'name',
        'entry',
        'zone',
        'address',
        'answered_at',
        'revision',
        'view_revision',
        'draining',
    )

    def __init__(self, name: str, entry: str) -> None:
        self.name = name
        self.entry = entry
        self.zone = ''
        self.address = ''
        self.answered_at = float('-inf')
        self.revision = 0
        self.view_revision = 0
        self.draining = False


class LeaseTable:
    """Track the leases granted by a control leader.

    A holder is one incarnation of an entry process, so that a restarted
    process never inherits the lease of a paused one. ``elected_at`` is the
    time of this leader's election: until then, earlier leaders may have
    renewed leases.
    """

    __slots__ = (
        '_times',
        '_elected_at',
        '_acknowledged',
        '_counts',
        '_replies',
        'holders',
    )

    def __init__(
        self,
        times: LeaseTimes,
        elected_at: float,
        acknowledged: commits.AcknowledgedCommits | None = None,
    ) -> None:
        self._times = times
        self._elected_at = elected_at
        self.holders: dict[str, LeaseHolder] = {}
        # Last commit that any holder acknowledged to a client, by group. It
        # outlives the lease: the client still relies on the commit.
        self._acknowledged = acknowledged or commits.AcknowledgedCommits()
        self._counts = commits.CommitCounts()
        # Replies to holders; they outlive the lease of one that gets none.
        self._replies: dict[str, replytracking.ReplyTracker] = {}

    def end_grace_period(self) -> None:
        """End the grace period: all holders of earlier leases are known."""
        self._elected_at = float('-inf')

    def _expired(self, start: float, duration: float, now: float) -> bool:
        return now > start + duration * (1 + MAX_CLOCK_DRIFT)

    def earlier_leases_expired(self, now: float) -> bool:
        """Return whether all leases from earlier leaders have expired."""
        return self._expired(self._elected_at, self._times.lease_s, now)

    def earlier_shares_expired(self, now: float) -> bool:
        """Return whether all shares from earlier leaders have expired."""
        return self._expired(self._elected_at, self._times.config_ttl_s, now)

    def may_grant(
        self, now: float, name: str, sequence: int, received: int | None
    ) -> bool:
        """Return whether a holder receives grants, so that one may be sent.

        ``received`` is the sequence of the last reply that the holder got,
        None if its build doesn't tell.
        """
        if received is None:
            return True
        replies = self._replies.get(name)
        if replies is None:
            replies = replytracking.ReplyTracker(self._times.lease_s)
            self._replies[name] = replies
        return replies.may_grant(now, sequence, received)

    def is_suspended(self, name: str) -> bool:
        """Return whether a holder gets no grants for want of receipts."""
        replies = self._replies.get(name)
        return replies is not None and replies.suspended

    def grant(self, now: float, name: str, entry: str) -> LeaseHolder:
        """Grant or extend the lease of a holder."""
        holder = self.holders.get(name)
        if holder is None:
            holder = self.holders[name] = LeaseHolder(name, entry)
        holder.answered_at = max(holder.answered_at, now)
        return holder

    def may_be_valid(self, now: float, holder: LeaseHolder) -> bool:
        """Return whether the holder's lease may still be valid."""
        return not self._expired(holder.answered_at, self._times.lease_s, now)

    def live(self, now: float) -> list[LeaseHolder]:
        """Return the holders whose lease may still be valid."""
        return [h for h in self.holders.values() if self.may_be_valid(now, h)]

    def expire(self, now: float) -> list[LeaseHolder]:
        """Remove and return the holders whose shares have expired."""
        expired = [
            holder
            for holder in self.holders.values()
            if self._expired(holder.answered_at, self._times.config_ttl_s, now)
        ]
        for holder in expired:
            del self.holders[holder.name]
        if expired:
            self._forget_replies(now)
        return expired

    def _forget_replies(self, now: float) -> None:
        """Drop what is known of holders that no longer renew."""
        since = now - self._times.config_ttl_s
        self._replies = {
            name: replies
            for name, replies in self._replies.items()
            if replies.renewed_at >= since
        }

    def release(self, name: str) -> None:
        """Remove a holder that returned its lease."""
        self.holders.pop(name, None)

    def report_acknowledged(
        self, positions: dict[str, model.Position]
    ) -> None:
        """Record the last commits that a holder acknowledged, by group."""
        self._acknowledged.report(positions)

    def report_counts(
        self, name: str, counts: dict[str, tuple[int, int]]
    ) -> None:
        """Record how many commits of a term a holder acknowledged."""
        self._counts.report(name, counts)

    def acknowledged_count(self, group: str, term: int) -> int:
        """Return how many commits of a term holders acknowledged."""
        return self._counts.total(group, term)

    def acknowledged(self, group: str) -> model.Position | None:
        """Return the last commit in a group that a holder acknowledged."""
        return self._acknowledged.get(group)

    def forget_acknowledged(self, group: str) -> None:
        """Forget the commits of a group's former primary."""
        self._acknowledged.forget(group)

    def view_confirmed(self, now: float, view_revision: int) -> bool:
        """Return whether all live holders have at least this view revision.

        A holder that doesn't receive it gets no further grants, so it is live
        for a limited time only.

        Return False until the leases from earlier leaders have expired,
        because a new leader does not know their holders.
        """
        if not self.earlier_leases_expired(now):
            return False
        return all(h.view_revision >= view_revision for h in self.live(now))
