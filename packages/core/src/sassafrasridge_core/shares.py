"""Distribute each client account's fleet-wide rate limit over the holders.

A holder is one incarnation of an entry process. For each account, the
leader's pool and every holder have one token bucket each. At any time the
rates in effect add up to at most the account's rate and the capacities to at
most its burst, and tokens are transferred only together with capacity.
Therefore all holders together use at most burst + rate * w tokens in any
window of w seconds.

Protocol: a holder reports its holding and the holding's version. The leader
replies with a ``Grant`` that changes that version (``base``) to a new one. It
repeats the same grant until a report shows whether it was applied. A holder
applies a grant only if its version equals ``base``. The leader counts an
increase as held from the time it issues the grant. It counts a reduction as
free only when a report shows the new version; that report's ``returned``
field contains the tokens that the holder gave up. One kind of reduction needs
no new version: a holder with a rate of zero gives up the capacity of tokens
that it used, and reports the remaining capacity.

Versions only increase. Versions from a leader are even and contain the
leader's term, so two leaders never issue the same version. A holder whose
holdings expired sets the lowest bit of the version: it then holds nothing, and
earlier grants no longer apply.
"""

import abc
import collections
from collections.abc import Iterable
import math

from sassafrasridge_core import errors
from sassafrasridge_core import holdings
from sassafrasridge_core import pools
from sassafrasridge_core.holdings import Bucket
from sassafrasridge_core.holdings import BucketSet
from sassafrasridge_core.holdings import CONFIG_TTL_S
from sassafrasridge_core.holdings import DemandEstimator
from sassafrasridge_core.holdings import Grant
from sassafrasridge_core.holdings import GrantLike
from sassafrasridge_core.holdings import Holding
from sassafrasridge_core.holdings import Report
from sassafrasridge_core.holdings import ReportLike
from sassafrasridge_core.holdings import Validity

__all__ = (
    'Allocator',
    'Bucket',
    'BucketSet',
    'CONFIG_TTL_S',
    'DemandEstimator',
    'DemandAllocator',
    'Grant',
    'GrantLike',
    'Holding',
    'POLICIES',
    'Report',
    'ReportLike',
    'StaticAllocator',
    'Validity',
    'create_allocator',
)

# Highest tolerated relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT = 0.02
# Safety margin added to the time after which the leader reclaims a share.
RECLAIM_MARGIN_S = 0.1
# An account's rate stays in the pool only if its burst covers this duration at
# that rate. With a shorter burst, the account would be limited to one burst
# per exchange with the leader.
MIN_POOLED_BURST_S = 0.2
# Fraction of a holder's demand that is ignored if its bucket is full while
# other holders wait for tokens.
FULL_BUCKET_DISCOUNT = 0.75
# A leader's version has the term in the bits from this one on, and below it a
# counter that is incremented by two.
TERM_SHIFT_BITS = 40


class _Holder:
    """Store the leader's state for one incarnation of an entry process."""

    __slots__ = ('renewed_at', 'sequence', 'lost', 'pools')

    def __init__(self) -> None:
        self.renewed_at = -math.inf
        self.sequence = 0
        self.lost = False
        self.pools: dict[str, pools.Pool] = {}


class Allocator(abc.ABC):
    """Divide each account's rate and burst between the entry processes.

    Each new leader creates an allocator with its term. The first time to live
    is a grace period: shares that holders report are recognized, and only
    capacity that was returned to this leader is granted to others.
    """

    def __init__(
        self, now: float, term: int, ttl_s: float = holdings.CONFIG_TTL_S
    ) -> None:
        self._reclaim_s = ttl_s * (1 + MAX_CLOCK_DRIFT) + RECLAIM_MARGIN_S
        self._grace_ends_at = now + self._reclaim_s
        self._version = term << TERM_SHIFT_BITS
        self._pools: dict[str, pools.Pool] = {}
        # Ordered by the time of the last renewal.
        self._holders: collections.OrderedDict[pools.HolderKey, _Holder] = (
            collections.OrderedDict()
        )
        self._lost_count = 0

    @abc.abstractmethod
    def desired_share(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return the rate and capacity that a holder should have."""

    def retry_delay_s(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> float:
        """Return the delay (s) before a waiting holder retries; 0 if unknown.

        Capacity that other holders were told to give up becomes free within
        a few exchanges.
        """
        return (
            2 * holdings.URGENT_MIN_INTERVAL_S
            if record.limited_by_others
            else 0.0
        )

    def set_account(
        self,
        now: float,
        name: str,
        rate: float,
        burst: float,
        created: bool = False,
    ) -> None:
        """Set an account's limits in tokens/s and tokens.

        ``created`` means that no account of this name existed before this
        leader's term. Then no holder can have a share of it, and the pool
        starts with the full burst. Any other pool starts empty, because
        holders that are unknown to this leader may just have used the burst.
        Raise BadRequestError for limits that are negative or not finite.
        """
        if not (0 <= rate < math.inf and 0 <= burst < math.inf):
            raise errors.BadRequestError(
                f'client account {name!r}: rate {rate} and burst {burst} '
                'must be finite and not negative'
            )
        if created and name not in self._pools:
            pool = self._pools[name] = pools.Pool(name, now, now)
            pool.burst = pool.tokens = burst
        pool = self._pool(now, name)
        pool.refill(now)
        pool.set_ceilings(now, rate, burst)
        pool.rate = rate
        pool.burst = burst
        pool.drop_excess_tokens(now)

    def end_grace_period(self, now: float, unused_s: float = 0.0) -> None:
        """End the grace period early, once every holder is known.

        The pools start with the tokens of the last ``unused_s`` seconds, in
        which no process held a share. At the regular end of the period they
        start empty.
        """
        self._grace_ends_at = min(self._grace_ends_at, now)
        for pool in self._pools.values():
            pool.end_grace_period(now, unused_s)

    def withdraw_account(self, now: float, name: str) -> None:
        """Reclaim all shares of an account as its holders renew."""
        self.set_account(now, name, 0.0, 0.0)

    def accounts(self) -> list[str]:
        """Return the names of accounts that have a burst or held capacity."""
        return [
            name
            for name, pool in self._pools.items()
            if pool.burst or pool.totals.held_capacity > holdings.EPSILON
        ]

    def pool(self, name: str) -> pools.Pool:
        """Return an account's pool; raise KeyError if it is unknown."""
        return self._pools[name]

    def live_count(self) -> int:
        """Return the number of holders not marked as lost, at least one."""
        return max(1, len(self._holders) - self._lost_count)

    def _pool(self, now: float, name: str) -> pools.Pool:
        if name not in self._pools:
            self._pools[name] = pools.Pool(name, now, self._grace_ends_at)
        return self._pools[name]

    def renew(
        self,
        now: float,
        entry: str,
        reports: Iterable[holdings.ReportLike],
        incarnation: int = 0,
        sequence: int = 0,
    ) -> list[holdings.Grant]:
        """Process a renewal and return the grants that change its holdings.

        Call this only while this control member is the leader. Sequence
        numbers increase within an incarnation. The holder must apply the
        grants in order.
        """
        self.tick(now)
        holder = self._note_renewal(now, entry, incarnation)
        outdated = sequence < holder.sequence
        holder.sequence = max(holder.sequence, sequence)
        by_account = {report.account: report for report in reports}
        key = (entry, incarnation)
        grants: list[holdings.Grant] = []
        for name in [*by_account, *(holder.pools.keys() - by_account.keys())]:
            pool = holder.pools.get(name) or self._pool(now, name)
            holder.pools[name] = pool
            pool.refill(now)
            report = None if outdated else by_account.get(name)
            record = pool.records.get(key)
            if record is None:
                record = pool.add_record(now, key, by_account[name])
            if report is not None:
                pool.apply_report(now, record, report)
            if not outdated:
                demand = (
                    self._effective_demand(pool, report) if report else 0.0
                )
                wanted = report.wanted_tokens if report else 0.0
                pool.update_demand(now, record, demand, wanted)
            self._update_grant(now, pool, record, fresh=report is not None)
            grants += record.grants
            if (
                record.wanted_tokens
                and report is not None
                and not record.grants
            ):
                retry_s = self.retry_delay_s(now, pool, record)
                if retry_s > 0:
                    grants.append(_retry_grant(name, record, retry_s))
        return grants

    def _note_renewal(
        self, now: float, entry: str, incarnation: int
    ) -> _Holder:
        key = (entry, incarnation)
        if key not in self._holders:
            self._holders[key] = _Holder()
            for other in self._holders:
                if other[0] == entry and other[1] < incarnation:
                    self._mark_lost(now, other)
        holder = self._holders[key]
        holder.renewed_at = now
        self._holders.move_to_end(key)
        self._lost_count -= holder.lost
        holder.lost = False
        return holder

    def _effective_demand(
        self, pool: pools.Pool, report: holdings.ReportLike
    ) -> float:
        """Return the reported demand, discounted for unused tokens.

        A holder with a full bucket cannot collect more tokens. If others are
        waiting for tokens, its demand is reduced by the fill level.
        """
        demand = report.demand_rate
        if report.wanted_tokens or not report.rate > 0 or not report.capacity:
            return demand
        if pool.totals.wanted_tokens > holdings.EPSILON:
            demand *= (
                1 - FULL_BUCKET_DISCOUNT * report.tokens / report.capacity
            )
        return demand

    def _update_grant(
        self,
        now: float,
        pool: pools.Pool,
        record: pools.ShareRecord,
        fresh: bool,
    ) -> None:
        """Issue a grant if the holder's share should change.

        Without a fresh report, or while it is unknown whether a grant was
        applied, the only change made is a reduction required by lowered
        limits. Every reply includes this reduction, so a holder that misses
        it does not have its validity extended either.
        """
        old_rate, old_capacity = record.share_after_grants()
        rate, capacity = old_rate, old_capacity
        if fresh and not record.grants:
            rate, capacity = self._affordable_share(now, pool, record)
        max_rate, max_capacity = pool.allowed_share(record)
        if rate > max_rate + holdings.EPSILON:
            rate = max_rate
        if capacity > max_capacity + holdings.EPSILON:
            capacity = max_capacity
        if capacity < holdings.EPSILON:
            rate = capacity = 0.0
        if rate == old_rate and capacity == old_capacity:
            return
        if capacity > old_capacity:
            record.granted_at = now
            if record.wanted_tokens:
                record.waiting_since = now
        reduced = capacity < old_capacity or rate < 0.75 * old_rate
        others_wait = (
            pool.totals.wanted_tokens - record.wanted_tokens > holdings.EPSILON
        )
        self._version += 2
        grant = holdings.Grant(
            pool.name,
            record.grants[-1].version if record.grants else record.version,
            self._version,
            rate,
            capacity,
            _tokens_for_increase(now, pool, record, capacity - old_capacity),
            prompt=(others_wait and reduced) or rate <= 0,
        )
        pool.issue(now, record, grant)

    def _affordable_share(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return the desired share, limited to what is free.

        Differences that are too small to justify a grant are ignored.
        """
        rate, capacity = self.desired_share(now, pool, record)
        waiting = record.wanted_tokens > 0
        if not _is_significant_change(rate, record.rate, waiting):
            rate = record.rate
        if not _is_significant_change(capacity, record.capacity, waiting):
            capacity = record.capacity
        possible_rate = record.rate + pool.free_rate(now)
        possible_capacity = record.capacity + pool.free_capacity(now)
        record.limited_by_others = (
            0.9 * rate > possible_rate or 0.9 * capacity > possible_capacity
        )
        rate = min(rate, possible_rate)
        capacity = min(capacity, possible_capacity)
        if (
            record.capacity < capacity < 1 - holdings.EPSILON
            and pool.burst >= 1
        ):
            # A request needs at least one whole token.
            capacity = record.capacity
        return rate, capacity

    def tick(self, now: float) -> None:
        """Reclaim the shares of holders whose validity has expired."""
        while self._holders:
            key, holder = next(iter(self._holders.items()))
            if now < holder.renewed_at + self._reclaim_s:
                break
            self._reclaim(now, key)

    def expire(self, now: float, entry: str) -> None:
        """Record that the lease of an entry process expired.

        Its demand is no longer counted. Its share still counts as held until
        the holder can no longer use it.
        """
        for key in self._holders:
            if key[0] == entry:
                self._mark_lost(now, key)
        self.tick(now)

    def _mark_lost(self, now: float, key: pools.HolderKey) -> None:
        holder = self._holders[key]
        self._lost_count += not holder.lost
        holder.lost = True
        for pool in holder.pools.values():
            pool.refill(now)
            pool.update_demand(now, pool.records[key], 0.0, 0.0)

    def release(self, now: float, entry: str, incarnation: int = 0) -> None:
        """Reclaim the share of a holder that has permanently stopped."""
        if (entry, incarnation) in self._holders:
            self._reclaim(now, (entry, incarnation))

    def _reclaim(self, now: float, key: pools.HolderKey) -> None:
        holder = self._holders.pop(key)
        self._lost_count -= holder.lost
        for pool in holder.pools.values():
            pool.refill(now)
            pool.remove_record(now, key)


def _retry_grant(
    name: str, record: pools.ShareRecord, retry_s: float
) -> Grant:
    return holdings.Grant(
        name,
        record.version,
        record.version,
        record.rate,
        record.capacity,
        0.0,
        retry_s=retry_s,
    )


def _is_significant_change(desired: float, held: float, waiting: bool) -> bool:
    """Return whether a change is large enough to issue a new version.

    Smaller changes would only follow noise in the demand estimates.
    """
    if desired < holdings.EPSILON or held < holdings.EPSILON:
        return abs(desired - held) > holdings.EPSILON
    threshold = 0.02 if waiting and desired > held else 0.1
    return abs(desired - held) > threshold * max(desired, held)


def _tokens_for_increase(
    now: float, pool: pools.Pool, record: pools.ShareRecord, increase: float
) -> float:
    """Return the tokens to transfer with an increase of the capacity.

    The result never exceeds the increase: tokens added to capacity that the
    holder already had would let it use that capacity twice.
    """
    if increase <= 0:
        return 0.0
    free = pool.free_capacity(now)
    proportional = pool.tokens * increase / free
    excess = pool.tokens - (free - increase)
    desired = max(proportional, excess, record.wanted_tokens)
    return max(0.0, min(increase, pool.tokens, desired))


def _waiting_counts(
    pool: pools.Pool, record: pools.ShareRecord
) -> tuple[int, int]:
    """Return how many other holders wait before and after this one."""
    since = record.waiting_since
    others = [
        r for r in pool.records.values() if r.wanted_tokens and r is not record
    ]
    ahead = sum(other.waiting_since < since for other in others)
    return ahead, len(others) - ahead


class StaticAllocator(Allocator):
    """Give every live entry process an equal share."""

    def desired_share(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return the equal share."""
        return pool.rate / self.live_count(), pool.burst / self.live_count()


class DemandAllocator(Allocator):
    """Divide rate and burst in proportion to the reported demand."""

    def desired_share(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return a share according to the need and the scarcity of burst."""
        floor = 1.0 if pool.burst >= 4 * self.live_count() else 0.0
        spare = (
            pool.burst
            - pool.totals.desired_capacity
            - floor * self.live_count()
        )
        if spare >= 0:
            capacity = max(record.desired_capacity(), floor)
            return self._rate_with_spare(pool, record, spare, floor), capacity
        if pool.burst >= 2 * pool.totals.active_holders:
            return self._proportional_share(pool, record)
        if self._rate_stays_in_pool(pool):
            return 0.0, record.capacity + self._pool_tokens_to_grant(
                pool, record
            )
        return self._whole_token_share(now, pool, record)

    def retry_delay_s(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> float:
        """Return the delay until the pool has a token for this holder."""
        if not self._rate_stays_in_pool(pool) or pool.rate <= 0:
            return super().retry_delay_s(now, pool, record)
        ahead, _ = _waiting_counts(pool, record)
        return max(
            holdings.URGENT_MIN_INTERVAL_S,
            (ahead + 1 - pool.tokens) / pool.rate,
        )

    def _rate_stays_in_pool(self, pool: pools.Pool) -> bool:
        """Return whether the rate stays in the pool.

        Holders then fetch single tokens from it. This suits a burst that is
        too small to divide but lasts for several exchanges with the leader.
        """
        return (
            1.5 < pool.totals.active_holders
            and pool.burst < 2 * pool.totals.active_holders
            and pool.burst >= MIN_POOLED_BURST_S * pool.rate
        )

    def _pool_tokens_to_grant(
        self, pool: pools.Pool, record: pools.ShareRecord
    ) -> float:
        """Return the tokens to grant now; negative to reclaim capacity."""
        if not record.wanted_tokens:
            return -record.capacity
        ahead, behind = _waiting_counts(pool, record)
        available = pool.tokens + holdings.EPSILON - ahead
        return max(
            0.0,
            min(
                record.wanted_tokens,
                max(1, int(available) - behind),
                int(available),
            ),
        )

    def _rate_with_spare(
        self,
        pool: pools.Pool,
        record: pools.ShareRecord,
        spare: float,
        floor: float,
    ) -> float:
        need = pool.totals.needed_rate
        if holdings.EPSILON < need >= pool.rate:
            return pool.rate * record.needed_rate() / need
        surplus = pool.rate - need
        # Leave part of the surplus in the pool if the pool has free capacity
        # to collect tokens.
        if spare >= 1:
            surplus *= 0.75
        equal = 0.2 * surplus / self.live_count() if floor else 0.0
        if need <= holdings.EPSILON:
            return equal
        rest = 0.8 * surplus if floor else surplus
        return (
            record.needed_rate() + rest * record.needed_rate() / need + equal
        )

    def _proportional_share(
        self, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return one token for each holder in need, the rest by demand."""
        if record.needed_rate() <= 0:
            return 0.0, 0.0
        rate = pool.rate * record.needed_rate() / pool.totals.needed_rate
        rest = pool.burst - pool.totals.active_holders
        above = max(
            holdings.EPSILON,
            pool.totals.desired_capacity - pool.totals.active_holders,
        )
        return rate, 1.0 + rest * (record.desired_capacity() - 1.0) / above

    def _whole_token_share(
        self, now: float, pool: pools.Pool, record: pools.ShareRecord
    ) -> tuple[float, float]:
        """Return a share of whole tokens for the holders first in order."""
        min_hold_s = max(
            2 * holdings.URGENT_MIN_INTERVAL_S,
            1.0 / max(pool.rate, holdings.EPSILON),
        )

        def rank(other: pools.ShareRecord) -> tuple[int, float]:
            if other.max_capacity() < 1 - holdings.EPSILON:
                return 1, other.waiting_since
            # A holder keeps granted capacity long enough to use one token.
            if now < other.granted_at + min_hold_s:
                return 0, other.granted_at
            return 1, other.granted_at + min_hold_s

        # A holder without waiting requests returns its share. There are more
        # holders than tokens, so capacity that a holder does not need is
        # missing at another holder where requests wait.
        ordered = sorted(
            (other for other in pool.records.values() if other.wanted_tokens),
            key=rank,
        )
        served = ordered[: int(pool.burst + holdings.EPSILON)]
        if record not in served:
            return 0.0, 0.0
        need = sum(other.needed_rate() for other in served)
        return (
            pool.rate * record.needed_rate() / need,
            pool.burst / len(served),
        )


POLICIES: dict[str, type[Allocator]] = {
    'static': StaticAllocator,
    'demand': DemandAllocator,
}


def create_allocator(
    policy: str, now: float, term: int, ttl_s: float = holdings.CONFIG_TTL_S
) -> Allocator:
    """Create the policy's allocator; raise SettingsError if unknown."""
    if policy not in POLICIES:
        raise errors.SettingsError(
            f'share policy {policy!r} is unknown',
            remedy=f'Use one of: {", ".join(sorted(POLICIES))}.',
        )
    return POLICIES[policy](now, term, ttl_s)
