"""Shares of the client accounts' fleet-wide rates and bursts.

The leader's pool and every holder (one incarnation of an entry process) have
one token bucket per account. At every moment the rates in effect add up to at
most the account's rate and the capacities to at most its burst, and tokens
only move together with capacity. Therefore all holders together use at most
burst + rate * w tokens in any window of w seconds.

Exchange: a holder reports its holding with a version. The leader answers with
a ``Grant`` from that version (``base``) to a new one, and repeats the same
grant until a report shows what became of it. A holder applies a grant only
when it is at ``base``. An increase counts as held from the moment the grant
is issued, a reduction as free only when a report shows the new version; the
tokens that the holder gave up with it are reported as ``returned``. One
reduction needs no new version: a holder without a rate gives up the capacity
of tokens that it used, and reports the rest.

Versions only rise. Those of leaders are even and start with the leader's
term, so that two leaders never issue the same. A holder whose holdings lapsed
sets the lowest bit: it holds nothing, and no earlier grant applies any more.
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
from sassafrasridge_core.holdings import Demand
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
    'Demand',
    'DemandAllocator',
    'Grant',
    'GrantLike',
    'Holding',
    'POLICIES',
    'Report',
    'ReportLike',
    'StaticAllocator',
    'Validity',
    'allocator',
)

# Difference in speed between two clocks that is tolerated.
CLOCK_DRIFT = 0.02
# Added to the time after which the leader takes back what was held.
RECLAIM_MARGIN_S = 0.1
# An account's rate stays in the pool only when its burst lasts for this long;
# shorter bursts would limit it to one burst per exchange with the leader.
POOLED_S = 0.2
# Part of the demand that a full bucket hides while others wait.
IDLE_DISCOUNT = 0.75
# Leader versions: term above this bit, a counter in steps of two below.
TERM_SHIFT = 40


class _Holder:
    """Hold what the leader knows of one incarnation of an entry process."""

    __slots__ = ('renewed_at', 'sequence', 'lost', 'pools')

    def __init__(self) -> None:
        self.renewed_at = -math.inf
        self.sequence = 0
        self.lost = False
        self.pools: dict[str, pools.Pool] = {}


class Allocator(abc.ABC):
    """Divide each account's rate and burst between the entry processes.

    A new leader creates one with its term. For one time to live it gives
    away only what holders gave back to it; it keeps what they present.
    """

    def __init__(
        self, now: float, term: int, ttl_s: float = holdings.CONFIG_TTL_S
    ) -> None:
        self._reclaim_s = ttl_s * (1 + CLOCK_DRIFT) + RECLAIM_MARGIN_S
        self._open_at = now + self._reclaim_s
        self._version = term << TERM_SHIFT
        self._pools: dict[str, pools.Pool] = {}
        # Ordered by the time of the last answer.
        self._holders: collections.OrderedDict[pools.Key, _Holder] = (
            collections.OrderedDict()
        )
        self._lost = 0

    @abc.abstractmethod
    def target(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Return the rate and the capacity that a holder should have."""

    def retry_time(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> float:
        """Return when a waiting holder should ask again; 0 if unknown.

        What others are to give up becomes free within a few exchanges.
        """
        return 2 * holdings.URGENT_MIN_S if record.unmet else 0.0

    def set_account(
        self,
        now: float,
        name: str,
        rate: float,
        burst: float,
        created: bool = False,
    ) -> None:
        """Set an account's limits in tokens/s and tokens.

        ``created`` says that no account of this name existed before this
        leader's term: nobody can hold a share, so it starts with its full
        burst at once. All others start empty, because holders that this
        leader does not know may have used the burst a moment ago.
        Raise BadRequestError for limits that are not finite or negative.
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
        pool.settle(now)
        pool.lower_to(now, rate, burst)
        pool.rate = rate
        pool.burst = burst
        pool.clamp(now)

    def open(self, now: float) -> None:
        """End the first time to live early: every holder is known.

        The pools start empty, as at its regular end.
        """
        self._open_at = min(self._open_at, now)
        for pool in self._pools.values():
            pool.open(now)

    def withdraw_account(self, now: float, name: str) -> None:
        """Take back all shares of an account as holders renew."""
        self.set_account(now, name, 0.0, 0.0)

    def accounts(self) -> list[str]:
        """Return the names of the accounts with a burst or with holders."""
        return [
            name
            for name, pool in self._pools.items()
            if pool.burst or pool.sums.held_capacity > holdings.EPSILON
        ]

    def pool(self, name: str) -> pools.Pool:
        """Return the accounting of an account; raise KeyError."""
        return self._pools[name]

    def live(self) -> int:
        """Return the number of holders that are not known as lost."""
        return max(1, len(self._holders) - self._lost)

    def _pool(self, now: float, name: str) -> pools.Pool:
        if name not in self._pools:
            self._pools[name] = pools.Pool(name, now, self._open_at)
        return self._pools[name]

    def renew(
        self,
        now: float,
        entry: str,
        reports: Iterable[holdings.ReportLike],
        incarnation: int = 0,
        sequence: int = 0,
    ) -> list[holdings.Grant]:
        """Answer a renewal with the changes of its holdings.

        To be called only while this control member leads. Sequences rise per
        incarnation. The grants are to be applied in order.
        """
        self.tick(now)
        holder = self._seen(now, entry, incarnation)
        overtaken = sequence < holder.sequence
        holder.sequence = max(holder.sequence, sequence)
        by_account = {report.account: report for report in reports}
        key = (entry, incarnation)
        grants: list[holdings.Grant] = []
        for name in [*by_account, *(holder.pools.keys() - by_account.keys())]:
            pool = holder.pools.get(name) or self._pool(now, name)
            holder.pools[name] = pool
            pool.settle(now)
            report = None if overtaken else by_account.get(name)
            record = pool.records.get(key)
            if record is None:
                record = pool.present(now, key, by_account[name])
            if report is not None:
                pool.learn(now, record, report)
            if not overtaken:
                demand = self._demand(pool, report) if report else 0.0
                wanted = report.wanted_tokens if report else 0.0
                pool.note_demand(now, record, demand, wanted)
            self._decide(now, pool, record, fresh=report is not None)
            grants += record.grants
            if record.wanted and report is not None and not record.grants:
                retry_s = self.retry_time(now, pool, record)
                if retry_s > 0:
                    grants.append(_unchanged(name, record, retry_s))
        return grants

    def _seen(self, now: float, entry: str, incarnation: int) -> _Holder:
        key = (entry, incarnation)
        if key not in self._holders:
            self._holders[key] = _Holder()
            for other in self._holders:
                if other[0] == entry and other[1] < incarnation:
                    self._lose(now, other)
        holder = self._holders[key]
        holder.renewed_at = now
        self._holders.move_to_end(key)
        self._lost -= holder.lost
        holder.lost = False
        return holder

    def _demand(self, pool: pools.Pool, report: holdings.ReportLike) -> float:
        """Return the demand, less where tokens go to waste.

        A full bucket collects nothing more, while others wait for tokens.
        """
        demand = report.demand_rate
        if report.wanted_tokens or not report.rate > 0 or not report.capacity:
            return demand
        if pool.sums.wanted > holdings.EPSILON:
            demand *= 1 - IDLE_DISCOUNT * report.tokens / report.capacity
        return demand

    def _decide(
        self, now: float, pool: pools.Pool, record: pools.Record, fresh: bool
    ) -> None:
        """Issue a grant when the share is to change.

        While the fate of a grant is unknown, and without a fresh report, the
        only further change is a reduction that lowered limits require. Each
        answer carries it, so a holder has it or gets no longer validity.
        """
        old_rate, old_capacity = record.last()
        rate, capacity = old_rate, old_capacity
        if fresh and not record.grants:
            rate, capacity = self._wish(now, pool, record)
        most_rate, most_capacity = pool.room(record)
        if rate > most_rate + holdings.EPSILON:
            rate = most_rate
        if capacity > most_capacity + holdings.EPSILON:
            capacity = most_capacity
        if capacity < holdings.EPSILON:
            rate = capacity = 0.0
        if rate == old_rate and capacity == old_capacity:
            return
        if capacity > old_capacity:
            record.granted_at = now
            if record.wanted:
                record.waiting_since = now
        fewer = capacity < old_capacity or rate < 0.75 * old_rate
        others_wait = pool.sums.wanted - record.wanted > holdings.EPSILON
        self._version += 2
        grant = holdings.Grant(
            pool.name,
            record.grants[-1].version if record.grants else record.version,
            self._version,
            rate,
            capacity,
            _tokens_for(now, pool, record, capacity - old_capacity),
            prompt=(others_wait and fewer) or rate <= 0,
        )
        pool.issue(now, record, grant)

    def _wish(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Return the target as far as it is worthwhile and free."""
        rate, capacity = self.target(now, pool, record)
        waits = record.wanted > 0
        if not _differs(rate, record.rate, waits):
            rate = record.rate
        if not _differs(capacity, record.capacity, waits):
            capacity = record.capacity
        possible_rate = record.rate + pool.free_rate(now)
        possible = record.capacity + pool.free_capacity(now)
        record.unmet = 0.9 * rate > possible_rate or 0.9 * capacity > possible
        rate = min(rate, possible_rate)
        capacity = min(capacity, possible)
        if (
            record.capacity < capacity < 1 - holdings.EPSILON
            and pool.burst >= 1
        ):
            # Less than a whole token serves no request.
            capacity = record.capacity
        return rate, capacity

    def tick(self, now: float) -> None:
        """Take back what holders without renewal can no longer use."""
        while self._holders:
            key, holder = next(iter(self._holders.items()))
            if now < holder.renewed_at + self._reclaim_s:
                break
            self._forget(now, key)

    def expire(self, now: float, entry: str) -> None:
        """Note that the lease of an entry process expired.

        Its demand no longer counts; its share stays out until the holder
        can't use it any more.
        """
        for key in self._holders:
            if key[0] == entry:
                self._lose(now, key)
        self.tick(now)

    def _lose(self, now: float, key: pools.Key) -> None:
        holder = self._holders[key]
        self._lost += not holder.lost
        holder.lost = True
        for pool in holder.pools.values():
            pool.settle(now)
            pool.note_demand(now, pool.records[key], 0.0, 0.0)

    def release(self, now: float, entry: str, incarnation: int = 0) -> None:
        """Take back the share of a holder that stopped using it for good."""
        if (entry, incarnation) in self._holders:
            self._forget(now, (entry, incarnation))

    def _forget(self, now: float, key: pools.Key) -> None:
        holder = self._holders.pop(key)
        self._lost -= holder.lost
        for pool in holder.pools.values():
            pool.settle(now)
            pool.forget(now, key)


def _unchanged(name: str, record: pools.Record, retry_s: float) -> Grant:
    return holdings.Grant(
        name,
        record.version,
        record.version,
        record.rate,
        record.capacity,
        0.0,
        retry_s=retry_s,
    )


def _differs(target: float, held: float, waits: bool) -> bool:
    """Tell whether a change is worth a new version.

    Small changes follow only the noise of the demand estimates.
    """
    if target < holdings.EPSILON or held < holdings.EPSILON:
        return abs(target - held) > holdings.EPSILON
    limit = 0.02 if waits and target > held else 0.1
    return abs(target - held) > limit * max(target, held)


def _tokens_for(
    now: float, pool: pools.Pool, record: pools.Record, more: float
) -> float:
    """Return the tokens that go along with an increase of the capacity.

    Never more than the increase: tokens given into capacity that the holder
    had before would let it use that capacity twice.
    """
    if more <= 0:
        return 0.0
    free = pool.free_capacity(now)
    even = pool.tokens * more / free
    left_over = pool.tokens - (free - more)
    wish = max(even, left_over, record.wanted)
    return max(0.0, min(more, pool.tokens, wish))


def _turn(pool: pools.Pool, record: pools.Record) -> tuple[int, int]:
    """Return how many wait before and after a holder."""
    since = record.waiting_since
    others = [r for r in pool.records.values() if r.wanted and r is not record]
    ahead = sum(other.waiting_since < since for other in others)
    return ahead, len(others) - ahead


class StaticAllocator(Allocator):
    """Give every live entry process an equal share."""

    def target(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Return the equal share."""
        return pool.rate / self.live(), pool.burst / self.live()


class DemandAllocator(Allocator):
    """Let the shares follow the demand."""

    def target(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Return a share in proportion to the need."""
        floor = 1.0 if pool.burst >= 4 * self.live() else 0.0
        spare = pool.burst - pool.sums.desire - floor * self.live()
        if spare >= 0:
            capacity = max(record.desire(), floor)
            return self._rate(pool, record, spare, floor), capacity
        if pool.burst >= 2 * pool.sums.active:
            return self._shared(pool, record)
        if self._pooled(pool):
            return 0.0, record.capacity + self._whole(pool, record)
        return self._ranked(now, pool, record)

    def retry_time(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> float:
        """Return when the pool has a token for this holder's turn."""
        if not self._pooled(pool) or pool.rate <= 0:
            return super().retry_time(now, pool, record)
        ahead, _ = _turn(pool, record)
        return max(
            holdings.URGENT_MIN_S, (ahead + 1 - pool.tokens) / pool.rate
        )

    def _pooled(self, pool: pools.Pool) -> bool:
        """Tell whether the rate stays in the pool.

        Holders then fetch single tokens. It suits a burst that is too small
        to be divided, but lasts for several exchanges with the leader.
        """
        return (
            1.5 < pool.sums.active
            and pool.burst < 2 * pool.sums.active
            and pool.burst >= POOLED_S * pool.rate
        )

    def _whole(self, pool: pools.Pool, record: pools.Record) -> float:
        """Return how many tokens to give now; negative to take them back."""
        if not record.wanted:
            return -record.capacity
        ahead, behind = _turn(pool, record)
        mine = pool.tokens + holdings.EPSILON - ahead
        return max(
            0.0, min(record.wanted, max(1, int(mine) - behind), int(mine))
        )

    def _rate(
        self,
        pool: pools.Pool,
        record: pools.Record,
        spare: float,
        floor: float,
    ) -> float:
        need = pool.sums.need
        if holdings.EPSILON < need >= pool.rate:
            return pool.rate * record.need() / need
        surplus = pool.rate - need
        # The pool keeps a part when it has capacity to collect tokens.
        if spare >= 1:
            surplus *= 0.75
        equal = 0.2 * surplus / self.live() if floor else 0.0
        if need <= holdings.EPSILON:
            return equal
        rest = 0.8 * surplus if floor else surplus
        return record.need() + rest * record.need() / need + equal

    def _shared(
        self, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Give one token to each in need and the rest by desire."""
        if record.need() <= 0:
            return 0.0, 0.0
        rate = pool.rate * record.need() / pool.sums.need
        rest = pool.burst - pool.sums.active
        above = max(holdings.EPSILON, pool.sums.desire - pool.sums.active)
        return rate, 1.0 + rest * (record.desire() - 1.0) / above

    def _ranked(
        self, now: float, pool: pools.Pool, record: pools.Record
    ) -> tuple[float, float]:
        """Give whole tokens to those first in line."""
        quantum = max(
            2 * holdings.URGENT_MIN_S, 1.0 / max(pool.rate, holdings.EPSILON)
        )

        def rank(other: pools.Record) -> tuple[int, float]:
            if other.most_capacity() < 1 - holdings.EPSILON:
                return 1, other.waiting_since
            # Who has got capacity keeps it long enough to use one token.
            if now < other.granted_at + quantum:
                return 0, other.granted_at
            return 1, other.granted_at + quantum

        # Who waits for nothing gives its share back: there are more holders
        # than tokens, and what one of them collects or keeps beyond its need
        # is missing where requests wait.
        line = sorted(
            (other for other in pool.records.values() if other.wanted),
            key=rank,
        )
        served = line[: int(pool.burst + holdings.EPSILON)]
        if record not in served:
            return 0.0, 0.0
        need = sum(other.need() for other in served)
        return (
            pool.rate * record.need() / need,
            pool.burst / len(served),
        )


POLICIES: dict[str, type[Allocator]] = {
    'static': StaticAllocator,
    'demand': DemandAllocator,
}


def allocator(
    policy: str, now: float, term: int, ttl_s: float = holdings.CONFIG_TTL_S
) -> Allocator:
    """Return an allocator for a policy; raise SettingsError for others."""
    if policy not in POLICIES:
        raise errors.SettingsError(
            f'share policy {policy!r} is unknown',
            remedy=f'Use one of: {", ".join(sorted(POLICIES))}.',
        )
    return POLICIES[policy](now, term, ttl_s)
