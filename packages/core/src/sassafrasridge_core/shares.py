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
tokens that the holder gave up with it are reported as ``returned``.

Versions only rise. Those of leaders are even and start with the leader's
term, so that two leaders never issue the same. A holder whose holdings lapsed
sets the lowest bit: it holds nothing, and no earlier grant applies any more.
"""

import abc
import collections
from collections.abc import Iterable
import math
import typing

from sassafrasridge_core import errors

# Configuration, and with it each holding, lapses this long after the last
# granted renewal was sent.
CONFIG_TTL_S = 4.0
# Difference in speed between two clocks that is tolerated.
CLOCK_DRIFT = 0.02
# Added to the time after which the leader takes back what was held.
RECLAIM_MARGIN_S = 0.1
# Time constant of the demand estimate: long enough to average a few renewals,
# short enough that a share follows moved load within the time requests wait.
DEMAND_DECAY_S = 0.5
# Shortest and longest interval of renewals for which a request is waiting.
URGENT_MIN_S = 0.05
URGENT_MAX_S = 0.3
# Rounding allowance of one comparison, in tokens.
EPSILON = 1e-9
# Leader versions: term above this bit, a counter in steps of two below.
TERM_SHIFT = 40


class Holding:
    """Hold a rate (tokens/s), a capacity and a level of a token bucket.

    >>> Holding(2.0, 10.0, 4.0)
    Holding(2.0, 10.0, 4.0)
    """

    __slots__ = ('rate', 'capacity', 'tokens')

    def __init__(
        self, rate: float = 0.0, capacity: float = 0.0, tokens: float = 0.0
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens

    def __repr__(self) -> str:
        return f'Holding({self.rate}, {self.capacity}, {self.tokens})'

    def refill(self, seconds: float) -> None:
        """Add the tokens of an interval, up to the capacity."""
        if seconds > 0:
            grown = self.tokens + self.rate * seconds
            self.tokens = min(self.capacity, grown)


class ReportLike(typing.Protocol):
    """Name the fields of a report, also of the thrift message."""

    account: str
    version: int
    rate: float
    capacity: float
    tokens: float
    returned: float
    demand_rate: float
    wanted_tokens: float


class GrantLike(typing.Protocol):
    """Name the fields of a grant, also of the thrift message."""

    account: str
    base: int
    version: int
    rate: float
    capacity: float
    tokens: float
    prompt: bool


class Report:
    """Report one account's holding and demand to the leader."""

    __slots__ = (
        'account',
        'version',
        'rate',
        'capacity',
        'tokens',
        'returned',
        'demand_rate',
        'wanted_tokens',
    )

    def __init__(
        self,
        account: str,
        version: int,
        holding: Holding,
        returned: float = 0.0,
        demand_rate: float = 0.0,
        wanted_tokens: float = 0.0,
    ) -> None:
        self.account = account
        self.version = version
        self.rate = holding.rate
        self.capacity = holding.capacity
        self.tokens = holding.tokens
        self.returned = returned
        self.demand_rate = demand_rate
        self.wanted_tokens = wanted_tokens


class Grant:
    """Change a holding from version ``base`` to ``version``.

    ``rate`` and ``capacity`` replace the holder's; ``tokens`` are added.
    ``prompt`` asks for the next renewal without delay, because others wait
    for what this grant takes away or lends.
    """

    __slots__ = (
        'account',
        'base',
        'version',
        'rate',
        'capacity',
        'tokens',
        'prompt',
    )

    def __init__(
        self,
        account: str,
        base: int,
        version: int,
        rate: float,
        capacity: float,
        tokens: float,
        prompt: bool = False,
    ) -> None:
        self.account = account
        self.base = base
        self.version = version
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens
        self.prompt = prompt


class Demand:
    """Estimate a recent rate by an exponentially decaying count."""

    __slots__ = ('_decay_s', '_count', '_at')

    def __init__(self, decay_s: float = DEMAND_DECAY_S) -> None:
        self._decay_s = decay_s
        self._count = 0.0
        self._at = -math.inf

    def add(self, now: float, tokens: float) -> None:
        """Count tokens that a new request asks for."""
        self._count = self.rate(now) * self._decay_s + tokens
        self._at = max(now, self._at)

    def rate(self, now: float) -> float:
        """Return the estimate in tokens/s; zero once it is negligible."""
        if not self._count:
            return 0.0
        passed = max(0.0, now - self._at)
        rate = self._count * math.exp(-passed / self._decay_s) / self._decay_s
        return rate if rate > 0.01 else 0.0


class Validity:
    """Hold the time until which the holdings of one holder are valid."""

    __slots__ = ('until',)

    def __init__(self, until: float = -math.inf) -> None:
        self.until = until


class Bucket:
    """Meter one account in one entry process."""

    __slots__ = (
        'account',
        '_validity',
        '_holding',
        '_at',
        '_version',
        '_returned',
        '_demand',
        '_wanted',
        '_prompt',
    )

    def __init__(self, account: str, validity: Validity | None = None) -> None:
        self.account = account
        self._validity = validity or Validity()
        self._holding = Holding()
        self._at = -math.inf
        self._version = 1
        self._returned = 0.0
        self._demand = Demand()
        self._wanted = 0.0
        self._prompt = False

    def _settle(self, now: float) -> None:
        if now >= self._validity.until:
            self.lapse()
        elif now > self._at:
            self._holding.refill(now - self._at)
            self._at = now

    def lapse(self) -> None:
        """Drop the holding: the leader may give it to others from now on."""
        if self._version % 2 == 0:
            self._version |= 1
            self._holding = Holding()
            self._returned = 0.0
            self._prompt = False

    def take(
        self, now: float, tokens: float = 1.0, *, waited: bool = False
    ) -> bool:
        """Take whole tokens when they are there.

        ``waited`` marks a request that asked before: it counts as demand
        only once, and it goes before requests that come later.
        """
        self._settle(now)
        if not waited:
            self._demand.add(now, tokens)
        ahead = 0.0 if waited else self._wanted
        if self._holding.tokens + EPSILON < tokens + ahead:
            return False
        self._holding.tokens -= tokens
        return True

    def begin_wait(self, tokens: float = 1.0) -> None:
        """Note that a request waits for tokens."""
        self._wanted += tokens

    def end_wait(self, tokens: float = 1.0) -> None:
        """Note that a request got its tokens or gave up."""
        self._wanted = max(0.0, self._wanted - tokens)

    def level(self, now: float) -> float:
        """Return the tokens in the bucket."""
        self._settle(now)
        return self._holding.tokens

    def holding(self, now: float) -> Holding:
        """Return a copy of the holding."""
        self._settle(now)
        held = self._holding
        return Holding(held.rate, held.capacity, held.tokens)

    def wait_time(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until refilling gives so many tokens.

        It is infinite when the holding alone never will.
        """
        self._settle(now)
        held = self._holding
        missing = tokens - held.tokens
        if missing <= EPSILON:
            return 0.0
        if held.capacity + EPSILON < tokens or held.rate <= 0:
            return math.inf
        return missing / held.rate

    def demand(self, now: float) -> float:
        """Return the rate asked for recently in tokens/s."""
        return self._demand.rate(now)

    def wanted(self) -> float:
        """Return the tokens that requests wait for."""
        return self._wanted

    def urgent(self, now: float) -> bool:
        """Tell whether a renewal before the regular one is worthwhile."""
        if self._prompt and not self._wanted:
            return True
        return self._wanted > 0 and (
            self.wait_time(now, min(1.0, self._wanted)) > URGENT_MIN_S
            or self.wait_time(now, self._wanted) > URGENT_MAX_S
        )

    def report(self, now: float) -> Report:
        """Return the holding and the demand for a renewal."""
        self._settle(now)
        return Report(
            self.account,
            self._version,
            self._holding,
            self._returned,
            self._demand.rate(now),
            self._wanted,
        )

    def replace(self, now: float, grant: GrantLike) -> bool:
        """Apply a grant unless it starts from another version."""
        self._settle(now)
        if grant.base != self._version or grant.version <= self._version:
            return False
        kept = min(self._holding.tokens, grant.capacity)
        self._returned = self._holding.tokens - kept
        tokens = min(kept + grant.tokens, grant.capacity)
        self._holding = Holding(grant.rate, grant.capacity, tokens)
        self._at = now
        self._version = grant.version
        self._prompt = grant.prompt
        return True

    def reported(self) -> None:
        """Note that a report left: a prompt renewal is no longer due."""
        self._prompt = False


class BucketSet:
    """Keep the buckets of one incarnation of an entry process.

    It must be the only one that changes their validity.
    """

    __slots__ = (
        '_ttl_s',
        '_validity',
        '_buckets',
        '_sent',
        '_last_report',
        '_interval',
    )

    def __init__(self, ttl_s: float = CONFIG_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._validity = Validity()
        self._buckets: dict[str, Bucket] = {}
        self._sent: dict[int, float] = {}
        self._last_report = -math.inf
        self._interval = URGENT_MIN_S

    def bucket(self, account: str) -> Bucket:
        """Return the bucket of an account; it keeps its version for good."""
        if account not in self._buckets:
            self._buckets[account] = Bucket(account, self._validity)
        return self._buckets[account]

    def valid(self, now: float) -> bool:
        """Tell whether the holdings may be used."""
        return now < self._validity.until

    def reports(self, now: float, sequence: int) -> list[Report]:
        """Return the reports of a renewal that is sent now."""
        for old, at in list(self._sent.items()):
            if at + self._ttl_s <= now:
                del self._sent[old]
        self._sent[sequence] = now
        self._last_report = now
        reports = [bucket.report(now) for bucket in self._buckets.values()]
        for bucket in self._buckets.values():
            bucket.reported()
        return reports

    def answered(
        self,
        now: float,
        sequence: int,
        granted: bool,
        grants: Iterable[GrantLike],
    ) -> None:
        """Apply the answer to a renewal.

        An answer later than the time to live after its renewal is ignored:
        the leader may have given its content to others.
        """
        sent_at = self._sent.pop(sequence, -math.inf)
        if sent_at + self._ttl_s <= now:
            return
        if not self.valid(now):
            for bucket in self._buckets.values():
                bucket.lapse()
        if granted:
            until = max(self._validity.until, sent_at + self._ttl_s)
            self._validity.until = until
        changed = False
        for grant in grants:
            changed |= self.bucket(grant.account).replace(now, grant)
        if changed:
            self._interval = URGENT_MIN_S
        else:
            self._interval = min(2 * self._interval, URGENT_MAX_S)

    def urgent(self, now: float) -> bool:
        """Tell whether to renew now instead of at the regular time.

        Renewals that change nothing make the interval longer, so that an
        account above its rate does not cause constant renewals.
        """
        if now - self._last_report < self._interval - EPSILON:
            return False
        return any(bucket.urgent(now) for bucket in self._buckets.values())


class _Record:
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
        'counted',
    )

    def __init__(self, version: int, rate: float, capacity: float) -> None:
        self.version = version
        self.rate = rate
        self.capacity = capacity
        self.grants: list[Grant] = []
        # Set when operators lower the limits; Pool.lower_to explains it.
        self.ceiling_rate = math.inf
        self.ceiling_capacity = math.inf
        self.demand = 0.0
        self.wanted = 0.0
        self.waiting_since = math.inf
        self.granted_at = -math.inf
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
        return self.demand + self.wanted / DEMAND_DECAY_S

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
        self.records: dict[Key, _Record] = {}
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

    def count(self, now: float, record: _Record) -> None:
        """Take a changed record into the sums."""
        new = record.counts()
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

    def room(self, record: _Record) -> tuple[float, float]:
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

    def issue(self, now: float, record: _Record, grant: Grant) -> None:
        """Count a grant's increases as held."""
        rate, capacity = record.last()
        self._freed_rate -= max(0.0, grant.rate - rate)
        self._freed_capacity -= max(0.0, grant.capacity - capacity)
        self.tokens -= grant.tokens
        record.grants.append(grant)
        self.count(now, record)

    def learn(self, now: float, record: _Record, report: ReportLike) -> None:
        """Take what a report shows of the holding; ignore an older one."""
        if report.version <= record.version:
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
        record.rate = report.rate
        record.capacity = report.capacity
        if record.rate <= record.ceiling_rate:
            record.ceiling_rate = math.inf
        if record.capacity <= record.ceiling_capacity:
            record.ceiling_capacity = math.inf
        self.count(now, record)
        self.tokens += max(0.0, returned)
        self.clamp(now)

    def _confirm(self, record: _Record, applied: int) -> None:
        """Count the reductions of applied grants as free."""
        rate, capacity = record.rate, record.capacity
        for grant in record.grants[:applied]:
            self._freed_rate += max(0.0, rate - grant.rate)
            self._freed_capacity += max(0.0, capacity - grant.capacity)
            rate, capacity = grant.rate, grant.capacity

    def _cancel(self, record: _Record, applied: int) -> float:
        """Take back grants that were not applied; return their tokens."""
        void = record.grants[applied:]
        record.grants = []
        if applied or not void:
            return 0.0
        # Only the first of a chain can be an increase.
        self._freed_rate += max(0.0, void[0].rate - record.rate)
        self._freed_capacity += max(0.0, void[0].capacity - record.capacity)
        return sum(grant.tokens for grant in void)

    def note_demand(
        self, now: float, record: _Record, demand: float, wanted: float
    ) -> None:
        """Take the demand that a report shows."""
        record.demand = max(0.0, demand)
        record.wanted = max(0.0, wanted)
        if not record.wanted:
            record.waiting_since = math.inf
        elif record.waiting_since == math.inf:
            record.waiting_since = now
        self.count(now, record)

    def forget(self, now: float, key: 'Key') -> None:
        """Take back the share of a holder that can no longer use it."""
        del self.records[key]
        self._recount()
        self.clamp(now)


# Entry process and incarnation.
Key = tuple[str, int]


class _Holder:
    """Hold what the leader knows of one incarnation of an entry process."""

    __slots__ = ('renewed_at', 'sequence', 'lost', 'pools')

    def __init__(self) -> None:
        self.renewed_at = -math.inf
        self.sequence = 0
        self.lost = False
        self.pools: dict[str, Pool] = {}


class Allocator(abc.ABC):
    """Divide each account's rate and burst between the entry processes.

    A new leader creates one with its term. For one time to live it gives
    away only what holders gave back to it; it keeps what they present.
    """

    def __init__(
        self, now: float, term: int, ttl_s: float = CONFIG_TTL_S
    ) -> None:
        self._reclaim_s = ttl_s * (1 + CLOCK_DRIFT) + RECLAIM_MARGIN_S
        self._open_at = now + self._reclaim_s
        self._version = term << TERM_SHIFT
        self._pools: dict[str, Pool] = {}
        # Ordered by the time of the last answer.
        self._holders: collections.OrderedDict[Key, _Holder] = (
            collections.OrderedDict()
        )
        self._lost = 0

    def open_at_once(self, now: float) -> None:
        """Skip the wait for holders of earlier leaders.

        Allowed only when no earlier leader had any account to share.
        """
        self._open_at = now

    @abc.abstractmethod
    def target(
        self, now: float, pool: Pool, record: _Record
    ) -> tuple[float, float]:
        """Return the rate and the capacity that a holder should have."""

    def set_account(
        self,
        now: float,
        name: str,
        rate: float,
        burst: float,
        tokens: float = 0.0,
    ) -> None:
        """Set an account's limits in tokens/s and tokens.

        ``tokens`` fills the pool of an account that never existed before.
        Raise BadRequestError for limits that are not finite or negative.
        """
        if not (0 <= rate < math.inf and 0 <= burst < math.inf):
            raise errors.BadRequestError(
                f'client account {name!r}: rate {rate} and burst {burst} '
                'must be finite and not negative'
            )
        known = name in self._pools
        pool = self._pool(now, name)
        pool.settle(now)
        pool.lower_to(now, rate, burst)
        pool.rate = rate
        pool.burst = burst
        if not known:
            pool.tokens = min(tokens, burst)
        else:
            pool.clamp(now)

    def withdraw_account(self, now: float, name: str) -> None:
        """Take back all shares of an account as holders renew."""
        self.set_account(now, name, 0.0, 0.0)

    def accounts(self) -> list[str]:
        """Return the names of the accounts with a burst or with holders."""
        return [
            name
            for name, pool in self._pools.items()
            if pool.burst or pool.sums.held_capacity > EPSILON
        ]

    def live(self) -> int:
        """Return the number of holders that are not known as lost."""
        return max(1, len(self._holders) - self._lost)

    def _pool(self, now: float, name: str) -> Pool:
        if name not in self._pools:
            self._pools[name] = Pool(name, now, self._open_at)
        return self._pools[name]

    def renew(
        self,
        now: float,
        entry: str,
        reports: Iterable[ReportLike],
        incarnation: int = 0,
        sequence: int = 0,
    ) -> list[Grant]:
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
        grants: list[Grant] = []
        for name in [*by_account, *(holder.pools.keys() - by_account.keys())]:
            pool = holder.pools.get(name) or self._pool(now, name)
            holder.pools[name] = pool
            pool.settle(now)
            report = None if overtaken else by_account.get(name)
            record = pool.records.get(key)
            if record is None:
                record = self._presented(now, by_account[name])
                pool.records[key] = record
                pool.count(now, record)
            if report is not None:
                pool.learn(now, record, report)
            if not overtaken:
                demand = report.demand_rate if report else 0.0
                wanted = report.wanted_tokens if report else 0.0
                pool.note_demand(now, record, demand, wanted)
            self._decide(now, pool, record, fresh=report is not None)
            grants += record.grants
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

    def _presented(self, now: float, report: ReportLike) -> _Record:
        """Return a record of what an unknown holder presents.

        Later than one time to live after the start, what this leader does
        not know of has lapsed: the report was delayed for that long.
        """
        if now < self._open_at:
            return _Record(report.version, report.rate, report.capacity)
        return _Record(report.version, 0.0, 0.0)

    def _decide(
        self, now: float, pool: Pool, record: _Record, fresh: bool
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
        if rate > most_rate + EPSILON:
            rate = most_rate
        if capacity > most_capacity + EPSILON:
            capacity = most_capacity
        if capacity < EPSILON:
            rate = capacity = 0.0
        if rate == old_rate and capacity == old_capacity:
            return
        if capacity > old_capacity:
            record.granted_at = now
            if record.wanted:
                record.waiting_since = now
        fewer = capacity < old_capacity or rate < 0.75 * old_rate
        others_wait = pool.sums.wanted - record.wanted > EPSILON
        self._version += 2
        grant = Grant(
            pool.name,
            record.grants[-1].version if record.grants else record.version,
            self._version,
            rate,
            capacity,
            _tokens_for(now, pool, record, capacity - old_capacity),
            prompt=(fewer and others_wait) or pool.burst < 2 * self.live(),
        )
        pool.issue(now, record, grant)

    def _wish(
        self, now: float, pool: Pool, record: _Record
    ) -> tuple[float, float]:
        """Return the target as far as it is worthwhile and free."""
        rate, capacity = self.target(now, pool, record)
        waits = record.wanted > 0
        if not _differs(rate, record.rate, waits):
            rate = record.rate
        if not _differs(capacity, record.capacity, waits):
            capacity = record.capacity
        rate = min(rate, record.rate + pool.free_rate(now))
        free = pool.free_capacity(now)
        capacity = min(capacity, record.capacity + free)
        if record.capacity < capacity < 1 - EPSILON and pool.burst >= 1:
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

    def _lose(self, now: float, key: Key) -> None:
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

    def _forget(self, now: float, key: Key) -> None:
        holder = self._holders.pop(key)
        self._lost -= holder.lost
        for pool in holder.pools.values():
            pool.settle(now)
            pool.forget(now, key)


def _differs(target: float, held: float, waits: bool) -> bool:
    """Tell whether a change is worth a new version.

    Small changes follow only the noise of the demand estimates.
    """
    if target < EPSILON or held < EPSILON:
        return abs(target - held) > EPSILON
    limit = 0.02 if waits and target > held else 0.1
    return abs(target - held) > limit * max(target, held)


def _tokens_for(now: float, pool: Pool, record: _Record, more: float) -> float:
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


class StaticAllocator(Allocator):
    """Give every live entry process an equal share."""

    def target(
        self, now: float, pool: Pool, record: _Record
    ) -> tuple[float, float]:
        """Return the equal share."""
        return pool.rate / self.live(), pool.burst / self.live()


class DemandAllocator(Allocator):
    """Let the shares follow the demand."""

    def target(
        self, now: float, pool: Pool, record: _Record
    ) -> tuple[float, float]:
        """Return a share in proportion to the need."""
        floor = 1.0 if pool.burst >= 4 * self.live() else 0.0
        spare = pool.burst - pool.sums.desire - floor * self.live()
        if spare >= 0:
            capacity = max(record.desire(), floor)
            return self._rate(pool, record, spare, floor), capacity
        if pool.burst >= 2 * pool.sums.active:
            return self._shared(pool, record)
        return self._ranked(now, pool, record)

    def _rate(
        self, pool: Pool, record: _Record, spare: float, floor: float
    ) -> float:
        need = pool.sums.need
        if EPSILON < need >= pool.rate:
            return pool.rate * record.need() / need
        surplus = pool.rate - need
        # The pool keeps a part when it has capacity to collect tokens.
        if spare >= 1:
            surplus *= 0.75
        equal = 0.2 * surplus / self.live() if floor else 0.0
        if need <= EPSILON:
            return equal
        rest = 0.8 * surplus if floor else surplus
        return record.need() + rest * record.need() / need + equal

    def _shared(self, pool: Pool, record: _Record) -> tuple[float, float]:
        """Give one token to each in need and the rest by desire."""
        if record.need() <= 0:
            return 0.0, 0.0
        rate = pool.rate * record.need() / pool.sums.need
        rest = pool.burst - pool.sums.active
        above = max(EPSILON, pool.sums.desire - pool.sums.active)
        return rate, 1.0 + rest * (record.desire() - 1.0) / above

    def _ranked(
        self, now: float, pool: Pool, record: _Record
    ) -> tuple[float, float]:
        """Give whole tokens to those first in line."""
        quantum = max(2 * URGENT_MIN_S, 1.0 / max(pool.rate, EPSILON))

        def rank(other: _Record) -> tuple[int, float]:
            if other.most_capacity() < 1 - EPSILON:
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
        served = line[: int(pool.burst + EPSILON)]
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
    policy: str, now: float, term: int, ttl_s: float = CONFIG_TTL_S
) -> Allocator:
    """Return an allocator for a policy; raise SettingsError for others."""
    if policy not in POLICIES:
        raise errors.SettingsError(
            f'share policy {policy!r} is unknown',
            remedy=f'Use one of: {", ".join(sorted(POLICIES))}.',
        )
    return POLICIES[policy](now, term, ttl_s)
