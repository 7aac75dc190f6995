"""Leases of entry processes, on the holder's and on the grantor's side.

The holder counts from the moment it sent a renewal, the grantor from the
moment it answered, plus a margin for clock drift. So the holder always stops
before the grantor gives away what the holder had.
"""

DRIFT = 0.02
"""Highest relative difference between the rates of two clocks."""


class LeaseTimes:
    """Hold the durations of a lease in seconds.

    ``lease_s`` bounds writes and the view of groups; ``config_ttl_s`` bounds
    keyed reads, the configuration and shares of rates.
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

    __slots__ = ('_times', '_sent', '_start', 'ended')

    def __init__(self, times: LeaseTimes) -> None:
        self._times = times
        self._sent: dict[int, float] = {}
        self._start = float('-inf')
        self.ended = False

    def sent(self, now: float, sequence: int) -> None:
        """Record that a renewal was sent."""
        self._sent[sequence] = now

    def granted(self, sequence: int) -> None:
        """Extend the lease from the time the renewal was sent."""
        start = self._sent.pop(sequence, None)
        if start is not None and not self.ended:
            self._start = max(self._start, start)
        for older in [seq for seq in self._sent if seq < sequence]:
            del self._sent[older]

    def age(self, now: float) -> float:
        """Return seconds since the last granted renewal was sent."""
        return now - self._start

    def end(self) -> None:
        """Give the lease up for good."""
        self.ended = True
        self._start = float('-inf')

    def valid(self, now: float) -> bool:
        """Return whether writes may be served and acknowledged."""
        return now < self._start + self._times.lease_s

    def config_valid(self, now: float) -> bool:
        """Return whether keyed reads and shares of rates may be used."""
        return now < self._start + self._times.config_ttl_s


class Holder:
    """Hold what the grantor knows of one holder."""

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
    """Track the leases that a control leader granted.

    A holder is one incarnation of an entry process, so that a restarted
    process never inherits the lease of a paused one. ``elected_at`` is when
    this leader was elected: leases of earlier leaders ran on until then.
    """

    __slots__ = ('_times', '_elected_at', 'holders')

    def __init__(self, times: LeaseTimes, elected_at: float) -> None:
        self._times = times
        self._elected_at = elected_at
        self.holders: dict[str, Holder] = {}

    def open(self) -> None:
        """Note that every holder of an earlier leader's lease is known."""
        self._elected_at = float('-inf')

    def _past(self, start: float, duration: float, now: float) -> bool:
        return now > start + duration * (1 + DRIFT)

    def settled(self, now: float) -> bool:
        """Return whether no lease of an earlier leader can be valid."""
        return self._past(self._elected_at, self._times.lease_s, now)

    def shares_settled(self, now: float) -> bool:
        """Return whether no share of an earlier leader can be in use."""
        return self._past(self._elected_at, self._times.config_ttl_s, now)

    def grant(self, now: float, name: str, entry: str) -> Holder:
        """Grant or extend the lease of a holder."""
        holder = self.holders.get(name)
        if holder is None:
            holder = self.holders[name] = Holder(name, entry)
        holder.answered_at = max(holder.answered_at, now)
        return holder

    def holds(self, now: float, holder: Holder) -> bool:
        """Return whether the holder's lease may still be valid."""
        return not self._past(holder.answered_at, self._times.lease_s, now)

    def live(self, now: float) -> list[Holder]:
        """Return the holders whose lease may still be valid."""
        return [h for h in self.holders.values() if self.holds(now, h)]

    def expire(self, now: float) -> list[Holder]:
        """Remove and return the holders that can use no share any more."""
        gone = [
            holder
            for holder in self.holders.values()
            if self._past(holder.answered_at, self._times.config_ttl_s, now)
        ]
        for holder in gone:
            del self.holders[holder.name]
        return gone

    def release(self, name: str) -> None:
        """Remove a holder that gave its lease back."""
        self.holders.pop(name, None)

    def view_confirmed(self, now: float, view_revision: int) -> bool:
        """Return whether every lease in force has at least this view.

        A new leader answers False until leases of earlier leaders are over,
        because it can't know who holds them.
        """
        if not self.settled(now):
            return False
        return all(h.view_revision >= view_revision for h in self.live(now))
