"""The leader's records of the holders' shares of each client account.

The protocol between leader and holders is described in ``shares``.
"""

import math
import typing

from sassafrasridge_core import holdings

# Name and incarnation of an entry process.
HolderKey = tuple[str, int]


class ShareRecord:
    """Store the leader's state for one holder's share of an account.

    ``grants`` lists the grants not yet known to be applied or rejected. The
    base of the first is ``version``, that of each other grant is the version
    of the grant before it.
    """

    __slots__ = (
        'version',
        'rate',
        'capacity',
        'grants',
        'ceiling_rate',
        'ceiling_capacity',
        'demand_rate',
        'wanted_tokens',
        'waiting_since',
        'granted_at',
        'limited_by_others',
        'counted_contribution',
    )

    def __init__(self, version: int, rate: float, capacity: float) -> None:
        self.version = version
        self.rate = rate
        self.capacity = capacity
        self.grants: list[holdings.Grant] = []
        # Set when operators lower the limits; see Pool.set_ceilings.
        self.ceiling_rate = math.inf
        self.ceiling_capacity = math.inf
        self.demand_rate = 0.0
        self.wanted_tokens = 0.0
        self.waiting_since = math.inf
        self.granted_at = -math.inf
        # Whether the desired share was not free because others hold it.
        self.limited_by_others = False
        self.counted_contribution = _Totals()

    def share_after_grants(self) -> tuple[float, float]:
        """Return the rate and capacity after all pending grants."""
        if self.grants:
            return self.grants[-1].rate, self.grants[-1].capacity
        return self.rate, self.capacity

    def max_capacity(self) -> float:
        """Return the highest capacity that may currently be in effect."""
        return max([self.capacity, *(g.capacity for g in self.grants)])

    def needed_rate(self) -> float:
        """Return the rate that covers the demand and the waiting requests."""
        return self.demand_rate + self.wanted_tokens / holdings.DEMAND_DECAY_S

    def desired_capacity(self) -> float:
        """Return the capacity that the holder can make use of.

        It covers the waiting requests and one second of demand. The rest
        stays in the pool, where any other holder can get it in one exchange.
        """
        if self.needed_rate() <= 0:
            return 0.0
        return max(1.0, self.wanted_tokens) + self.demand_rate

    def contribution(self) -> '_Totals':
        """Return what the record contributes to the totals of its pool."""
        rate, capacity = self.share_after_grants()
        return _Totals(
            held_rate=max([self.rate, *(g.rate for g in self.grants)]),
            held_capacity=self.max_capacity(),
            planned_rate=min(rate, self.ceiling_rate),
            planned_capacity=min(capacity, self.ceiling_capacity),
            needed_rate=self.needed_rate(),
            wanted_tokens=self.wanted_tokens,
            desired_capacity=self.desired_capacity(),
            active_holders=float(self.needed_rate() > 0),
        )


class _Totals(typing.NamedTuple):
    """Store the totals of a pool's records, or one record's contribution."""

    held_rate: float = 0.0
    held_capacity: float = 0.0
    planned_rate: float = 0.0
    planned_capacity: float = 0.0
    needed_rate: float = 0.0
    wanted_tokens: float = 0.0
    desired_capacity: float = 0.0
    active_holders: float = 0.0


class Pool:
    """Track how one client account's rate and burst are distributed."""

    __slots__ = (
        'name',
        'rate',
        'burst',
        'tokens',
        'records',
        'totals',
        '_refilled_at',
        '_grace_ends_at',
        '_freed_rate',
        '_freed_capacity',
        '_incremental_updates',
    )

    # Totals are updated incrementally. After this many updates they are
    # recomputed, so that rounding errors do not accumulate.
    MAX_INCREMENTAL_UPDATES = 1000

    def __init__(self, name: str, now: float, grace_ends_at: float) -> None:
        self.name = name
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.records: dict[HolderKey, ShareRecord] = {}
        self.totals = _Totals()
        self._refilled_at = now
        # Before this time, only what holders have returned to this leader may
        # be granted.
        self._grace_ends_at = grace_ends_at
        # Rate and capacity returned to this leader, less what it granted.
        self._freed_rate = 0.0
        self._freed_capacity = 0.0
        self._incremental_updates = 0

    def free_rate(self, now: float) -> float:
        """Return the rate that is available for grants."""
        free = self.rate - self.totals.held_rate
        if now < self._grace_ends_at:
            free = min(free, self._freed_rate)
        return max(0.0, free)

    def free_capacity(self, now: float) -> float:
        """Return the capacity that is available for grants."""
        free = self.burst - self.totals.held_capacity
        if now < self._grace_ends_at:
            free = min(free, self._freed_capacity)
        return max(0.0, free)

    def end_grace_period(self, now: float, unused_s: float = 0.0) -> None:
        """End the grace period, so that all unheld shares can be granted.

        Adds the tokens that accrued while nobody held a share.
        """
        if now < self._grace_ends_at:
            self._refilled_at = self._grace_ends_at = now
            accrued = self.free_rate(now) * unused_s
            self.tokens = min(self.free_capacity(now), self.tokens + accrued)

    def refill(self, now: float) -> None:
        """Refill the pool up to ``now``; call this before every change."""
        if self._refilled_at < self._grace_ends_at <= now:
            self._refill_until(self._grace_ends_at)
        self._refill_until(now)

    def _refill_until(self, now: float) -> None:
        # The free rate and capacity have not changed since the last refill.
        elapsed_s = max(0.0, now - self._refilled_at)
        refilled = self.tokens + self.free_rate(self._refilled_at) * elapsed_s
        self.tokens = min(self.free_capacity(self._refilled_at), refilled)
        self._refilled_at = max(self._refilled_at, now)

    def update_totals(self, now: float, record: ShareRecord) -> None:
        """Update the totals after a change of the record."""
        new = record.contribution()
        if new == record.counted_contribution:
            self.drop_excess_tokens(now)
            return
        self.totals = _Totals(
            *(
                total + after - before
                for total, after, before in zip(
                    self.totals, new, record.counted_contribution, strict=True
                )
            )
        )
        record.counted_contribution = new
        self._incremental_updates += 1
        if self._incremental_updates >= self.MAX_INCREMENTAL_UPDATES:
            self._recompute_totals()
        self.drop_excess_tokens(now)

    def _recompute_totals(self) -> None:
        self._incremental_updates = 0
        parts = [
            record.counted_contribution for record in self.records.values()
        ]
        self.totals = _Totals(*map(math.fsum, zip(*parts, strict=True)))

    def drop_excess_tokens(self, now: float) -> None:
        """Drop tokens above the free capacity."""
        self.tokens = min(self.tokens, self.free_capacity(now))

    def set_ceilings(self, now: float, rate: float, burst: float) -> None:
        """Set a ceiling for each holder when the limits are lowered.

        The ceilings add up to the new limits. Holders can therefore be
        reduced in any order and independently of their later demand.
        """
        held = self.totals
        for record in self.records.values():
            own = record.counted_contribution
            if rate < held.held_rate:
                ceiling = own.held_rate * rate / held.held_rate
                record.ceiling_rate = min(record.ceiling_rate, ceiling)
            if burst < held.held_capacity:
                ceiling = own.held_capacity * burst / held.held_capacity
                record.ceiling_capacity = min(record.ceiling_capacity, ceiling)
            self.update_totals(now, record)

    def allowed_share(self, record: ShareRecord) -> tuple[float, float]:
        """Return the largest share that the limits allow a holder to keep."""
        own = record.counted_contribution
        rate = self.rate - (self.totals.planned_rate - own.planned_rate)
        capacity = self.burst - (
            self.totals.planned_capacity - own.planned_capacity
        )
        return (
            max(0.0, min(rate, record.ceiling_rate)),
            max(0.0, min(capacity, record.ceiling_capacity)),
        )

    def issue(
        self, now: float, record: ShareRecord, grant: holdings.Grant
    ) -> None:
        """Record a new grant and count its increases as held."""
        rate, capacity = record.share_after_grants()
        self._freed_rate -= max(0.0, grant.rate - rate)
        self._freed_capacity -= max(0.0, grant.capacity - capacity)
        self.tokens -= grant.tokens
        record.grants.append(grant)
        self.update_totals(now, record)

    def apply_report(
        self, now: float, record: ShareRecord, report: holdings.ReportLike
    ) -> None:
        """Update the record from a report; ignore an outdated report.

        After the grace period, a reported holding that is unknown to this
        leader has expired: the report was delayed for at least one time to
        live.
        """
        if report.version <= record.version:
            if report.version == record.version:
                self._free_used_capacity(now, record, report)
            return
        versions = [grant.version for grant in record.grants]
        applied = 0
        if report.version & ~1 in versions:
            applied = versions.index(report.version & ~1) + 1
        returned = 0.0
        if applied and report.version % 2 == 0:
            returned = report.returned
        self._free_reductions(record, applied)
        if report.version % 2 == 0 and applied:
            del record.grants[:applied]
        else:
            # The holder's version rose for another reason than an applied
            # grant (it expired or another leader issued it), so the pending
            # grants no longer match their base.
            returned += self._cancel_unapplied(record, applied)
        record.version = report.version
        known = applied or now < self._grace_ends_at
        record.rate = report.rate if known else 0.0
        record.capacity = report.capacity if known else 0.0
        if record.rate <= record.ceiling_rate:
            record.ceiling_rate = math.inf
        if record.capacity <= record.ceiling_capacity:
            record.ceiling_capacity = math.inf
        self.update_totals(now, record)
        self.tokens += max(0.0, returned)
        self.drop_excess_tokens(now)

    def _free_used_capacity(
        self, now: float, record: ShareRecord, report: holdings.ReportLike
    ) -> None:
        """Reclaim capacity whose tokens were used.

        A holder with a rate of zero can only use the tokens it has, and their
        number only falls within one version. Its capacity can therefore be
        reduced without a new version.
        """
        if record.rate <= 0 and report.capacity < record.capacity:
            self._freed_capacity += record.capacity - report.capacity
            record.capacity = report.capacity
            self.update_totals(now, record)

    def _free_reductions(self, record: ShareRecord, applied: int) -> None:
        """Count the reductions made by applied grants as free."""
        rate, capacity = record.rate, record.capacity
        for grant in record.grants[:applied]:
            self._freed_rate += max(0.0, rate - grant.rate)
            self._freed_capacity += max(0.0, capacity - grant.capacity)
            rate, capacity = grant.rate, grant.capacity

    def _cancel_unapplied(self, record: ShareRecord, applied: int) -> float:
        """Cancel grants that were not applied and return their tokens."""
        unapplied = record.grants[applied:]
        record.grants = []
        if applied or not unapplied:
            return 0.0
        # Only the first pending grant can be an increase.
        self._freed_rate += max(0.0, unapplied[0].rate - record.rate)
        self._freed_capacity += max(
            0.0, unapplied[0].capacity - record.capacity
        )
        return sum(grant.tokens for grant in unapplied)

    def add_record(
        self, now: float, key: HolderKey, report: holdings.ReportLike
    ) -> ShareRecord:
        """Add a record for a new holder, from its first report."""
        record = self.records[key] = ShareRecord(-1, 0.0, 0.0)
        self.apply_report(now, record, report)
        return record

    def update_demand(
        self,
        now: float,
        record: ShareRecord,
        demand_rate: float,
        wanted_tokens: float,
    ) -> None:
        """Store a holder's reported demand and waiting tokens."""
        if (
            demand_rate == record.demand_rate
            and wanted_tokens == record.wanted_tokens
        ):
            return
        record.demand_rate = max(0.0, demand_rate)
        record.wanted_tokens = max(0.0, wanted_tokens)
        if not record.wanted_tokens:
            record.waiting_since = math.inf
        elif record.waiting_since == math.inf:
            record.waiting_since = now
        self.update_totals(now, record)

    def remove_record(self, now: float, key: HolderKey) -> None:
        """Reclaim the share of a holder that can no longer use it."""
        del self.records[key]
        self._recompute_totals()
        self.drop_excess_tokens(now)
