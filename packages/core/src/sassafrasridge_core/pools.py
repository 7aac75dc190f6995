"""The leader's accounts of who holds which share of a client account.

The exchange with the holders is described in ``shares``.
"""

import math
import typing

from sassafrasridge_core import holdings

# Entry process and incarnation.
Key = tuple[str, int]


class Record:
    """Hold what the leader knows of one holder's share of an account.

    ``grants`` are the grants whose fate is unknown; each starts from the
    version of the one before it, the first from ``version``.
    """

    __slots__ = (
        'version',
        'rate',
        'capacity',
        'grants',
        'ceiling_rate',
        'ceiling_capacity',
        'demand',
        'wanted',
        'waiting_since',
        'granted_at',
        'unmet',
        'counted',
    )

    def __init__(self, version: int, rate: float, capacity: float) -> None:
        self.version = version
        self.rate = rate
        self.capacity = capacity
        self.grants: list[holdings.Grant] = []
        # Set when operators lower the limits; Pool.lower_to explains it.
        self.ceiling_rate = math.inf
        self.ceiling_capacity = math.inf
        self.demand = 0.0
        self.wanted = 0.0
        self.waiting_since = math.inf
        self.granted_at = -math.inf
        # Whether the target was out of reach because others hold it.
        self.unmet = False
        self.counted = _Counts()

    def last(self) -> tuple[float, float]:
        """Return rate and capacity once all grants are applied."""
        if self.grants:
            return self.grants[-1].rate, self.grants[-1].capacity
        return self.rate, self.capacity

    def most_capacity(self) -> float:
        """Return the highest capacity that may be in effect."""
        return max([self.capacity, *(g.capacity for g in self.grants)])

    def need(self) -> float:
        """Return the rate that serves the demand and clears the waiting."""
        return self.demand + self.wanted / holdings.DEMAND_DECAY_S

    def desire(self) -> float:
        """Return the capacity that the holder makes use of.

        It covers what waits and one second of its demand, so that the rest
        stays in the pool, where any other holder can fetch it in one
        exchange.
        """
        if self.need() <= 0:
            return 0.0
        return max(1.0, self.wanted) + self.demand

    def counts(self) -> '_Counts':
        """Return what the record adds to the sums of its pool."""
        rate, capacity = self.last()
        return _Counts(
            held_rate=max([self.rate, *(g.rate for g in self.grants)]),
            held_capacity=self.most_capacity(),
            planned_rate=min(rate, self.ceiling_rate),
            planned_capacity=min(capacity, self.ceiling_capacity),
            need=self.need(),
            wanted=self.wanted,
            desire=self.desire(),
            active=float(self.need() > 0),
        )


class _Counts(typing.NamedTuple):
    """Sum over the records of a pool, or the part of one record."""

    held_rate: float = 0.0
    held_capacity: float = 0.0
    planned_rate: float = 0.0
    planned_capacity: float = 0.0
    need: float = 0.0
    wanted: float = 0.0
    desire: float = 0.0
    active: float = 0.0


class Pool:
    """Account for one client account at the leader."""

    __slots__ = (
        'name',
        'rate',
        'burst',
        'tokens',
        'records',
        'sums',
        '_at',
        '_open_at',
        '_freed_rate',
        '_freed_capacity',
        '_changes',
    )

    # Sums are kept up to date by differences; they are added up anew after
    # so many changes, so that rounding errors do not build up.
    RECOUNT_CHANGES = 1000

    def __init__(self, name: str, now: float, open_at: float) -> None:
        self.name = name
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.records: dict[Key, Record] = {}
        self.sums = _Counts()
        self._at = now
        # Before this time only what holders gave back may be given away.
        self._open_at = open_at
        self._freed_rate = 0.0
        self._freed_capacity = 0.0
        self._changes = 0

    def free_rate(self, now: float) -> float:
        """Return the rate that nobody holds."""
        free = self.rate - self.sums.held_rate
        if now < self._open_at:
            free = min(free, self._freed_rate)
        return max(0.0, free)

    def free_capacity(self, now: float) -> float:
        """Return the capacity that nobody holds."""
        free = self.burst - self.sums.held_capacity
        if now < self._open_at:
            free = min(free, self._freed_capacity)
        return max(0.0, free)

    def open(self, now: float) -> None:
        """Give away from now on what no record holds."""
        if now < self._open_at:
            self._at = self._open_at = now

    def settle(self, now: float) -> None:
        """Refill the pool up to now; to be called before every change."""
        if self._at < self._open_at <= now:
            self._refill(self._open_at)
        self._refill(now)

    def _refill(self, now: float) -> None:
        # What is free at the last change was free all the time since then.
        passed = max(0.0, now - self._at)
        grown = self.tokens + self.free_rate(self._at) * passed
        self.tokens = min(self.free_capacity(self._at), grown)
        self._at = max(self._at, now)

    def count(self, now: float, record: Record) -> None:
        """Take a changed record into the sums."""
        new = record.counts()
        if new == record.counted:
            self.clamp(now)
            return
        self.sums = _Counts(
            *(
                total + after - before
                for total, after, before in zip(
                    self.sums, new, record.counted, strict=True
                )
            )
        )
        record.counted = new
        self._changes += 1
        if self._changes >= self.RECOUNT_CHANGES:
            self._recount()
        self.clamp(now)

    def _recount(self) -> None:
        self._changes = 0
        parts = [record.counted for record in self.records.values()]
        self.sums = _Counts(*map(math.fsum, zip(*parts, strict=True)))

    def clamp(self, now: float) -> None:
        """Drop tokens above the free capacity."""
        self.tokens = min(self.tokens, self.free_capacity(now))

    def lower_to(self, now: float, rate: float, burst: float) -> None:
        """Give each holder a ceiling when the limits are lowered.

        The ceilings add up to the new limits, so that the holders can be
        reduced in any order and independently of their later demand.
        """
        held = self.sums
        for record in self.records.values():
            own = record.counted
            if rate < held.held_rate:
                ceiling = own.held_rate * rate / held.held_rate
                record.ceiling_rate = min(record.ceiling_rate, ceiling)
            if burst < held.held_capacity:
                ceiling = own.held_capacity * burst / held.held_capacity
                record.ceiling_capacity = min(record.ceiling_capacity, ceiling)
            self.count(now, record)

    def room(self, record: Record) -> tuple[float, float]:
        """Return the most that a holder may keep within the limits."""
        own = record.counted
        rate = self.rate - (self.sums.planned_rate - own.planned_rate)
        capacity = self.burst - (
            self.sums.planned_capacity - own.planned_capacity
        )
        return (
            max(0.0, min(rate, record.ceiling_rate)),
            max(0.0, min(capacity, record.ceiling_capacity)),
        )

    def issue(self, now: float, record: Record, grant: holdings.Grant) -> None:
        """Count a grant's increases as held."""
        rate, capacity = record.last()
        self._freed_rate -= max(0.0, grant.rate - rate)
        self._freed_capacity -= max(0.0, grant.capacity - capacity)
        self.tokens -= grant.tokens
        record.grants.append(grant)
        self.count(now, record)

    def learn(
        self, now: float, record: Record, report: holdings.ReportLike
    ) -> None:
        """Take what a report shows of the holding; ignore an older one.

        Later than one time to live after the leader's start, a holding that
        it does not know of has lapsed: the report was delayed for that long.
        """
        if report.version <= record.version:
            if report.version == record.version:
                self._learn_use(now, record, report)
            return
        versions = [grant.version for grant in record.grants]
        applied = 0
        if report.version & ~1 in versions:
            applied = versions.index(report.version & ~1) + 1
        returned = 0.0
        if applied and report.version % 2 == 0:
            returned = report.returned
        self._confirm(record, applied)
        if report.version % 2 == 0 and applied:
            del record.grants[:applied]
        else:
            # The holder is past the base of the others by another way, so
            # they can no longer be applied.
            returned += self._cancel(record, applied)
        record.version = report.version
        known = applied or now < self._open_at
        record.rate = report.rate if known else 0.0
        record.capacity = report.capacity if known else 0.0
        if record.rate <= record.ceiling_rate:
            record.ceiling_rate = math.inf
        if record.capacity <= record.ceiling_capacity:
            record.ceiling_capacity = math.inf
        self.count(now, record)
        self.tokens += max(0.0, returned)
        self.clamp(now)

    def _learn_use(
        self, now: float, record: Record, report: holdings.ReportLike
    ) -> None:
        """Take back capacity whose tokens were used.

        Without a rate a holder can only use the tokens it has, and in one
        version their number only falls: that needs no exchange of versions.
        """
        if record.rate <= 0 and report.capacity < record.capacity:
            self._freed_capacity += record.capacity - report.capacity
            record.capacity = report.capacity
            self.count(now, record)

    def _confirm(self, record: Record, applied: int) -> None:
        """Count the reductions of applied grants as free."""
        rate, capacity = record.rate, record.capacity
        for grant in record.grants[:applied]:
            self._freed_rate += max(0.0, rate - grant.rate)
            self._freed_capacity += max(0.0, capacity - grant.capacity)
            rate, capacity = grant.rate, grant.capacity

    def _cancel(self, record: Record, applied: int) -> float:
        """Take back grants that were not applied; return their tokens."""
        void = record.grants[applied:]
        record.grants = []
        if applied or not void:
            return 0.0
        # Only the first of a chain can be an increase.
        self._freed_rate += max(0.0, void[0].rate - record.rate)
        self._freed_capacity += max(0.0, void[0].capacity - record.capacity)
        return sum(grant.tokens for grant in void)

    def present(
        self, now: float, key: Key, report: holdings.ReportLike
    ) -> Record:
        """Add a record of what an unknown holder presents."""
        record = self.records[key] = Record(-1, 0.0, 0.0)
        self.learn(now, record, report)
        return record

    def note_demand(
        self, now: float, record: Record, demand: float, wanted: float
    ) -> None:
        """Take the demand that a report shows."""
        if demand == record.demand and wanted == record.wanted:
            return
        record.demand = max(0.0, demand)
        record.wanted = max(0.0, wanted)
        if not record.wanted:
            record.waiting_since = math.inf
        elif record.waiting_since == math.inf:
            record.waiting_since = now
        self.count(now, record)

    def forget(self, now: float, key: Key) -> None:
        """Take back the share of a holder that can no longer use it."""
        del self.records[key]
        self._recount()
        self.clamp(now)
