"""The holder's side of the shares: buckets of one entry process.

The exchange with the leader is described in ``shares``.
"""

from collections.abc import Iterable
import math
import typing

# Configuration, and with it each holding, lapses this long after the last
# granted renewal was sent.
CONFIG_TTL_S = 4.0
# Time constant of the demand estimate: long enough to average a few renewals,
# short enough that a share follows moved load within the time requests wait.
DEMAND_DECAY_S = 0.5
# A gap of this many mean intervals between requests bounds the estimate.
STOP_GAPS = 3.0
# After so many mean intervals without a request the load has moved away, and
# a renewal tells the leader at once. By chance this gap is rare (exp(-5)).
MOVED_GAPS = 5.0
# Shortest and longest interval of renewals for which a request is waiting.
URGENT_MIN_S = 0.05
URGENT_MAX_S = 0.3
# Rounding allowance of one comparison, in tokens.
EPSILON = 1e-9


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
    retry_s: float


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
    for what this grant takes away or lends. A grant whose version is its base
    changes nothing: ``retry_s`` is the time after which asking again is
    worthwhile.
    """

    __slots__ = (
        'account',
        'base',
        'version',
        'rate',
        'capacity',
        'tokens',
        'prompt',
        'retry_s',
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
        retry_s: float = 0.0,
    ) -> None:
        self.account = account
        self.base = base
        self.version = version
        self.rate = rate
        self.capacity = capacity
        self.tokens = tokens
        self.prompt = prompt
        self.retry_s = retry_s


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
        gap = max(0.0, now - self._at)
        rate = self._count * math.exp(-gap / self._decay_s) / self._decay_s
        if gap * rate > STOP_GAPS:
            rate = STOP_GAPS / gap
        return rate if rate > 0.01 else 0.0

    def gap(self, now: float) -> float:
        """Return the seconds since the last request."""
        return now - self._at


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
        '_confirm',
        '_retry_at',
        '_reported_rate',
        '_interval',
        '_ask_at',
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
        # Renewals asked for by the leader: once nothing waits any more, and
        # at once to confirm a reduction.
        self._prompt = False
        self._confirm = False
        self._retry_at = -math.inf
        self._reported_rate = 0.0
        # Interval and time of the next renewal for waiting requests.
        self._interval = URGENT_MIN_S
        self._ask_at = -math.inf

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
            self._prompt = self._confirm = False

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
        if not self._wanted:
            self._interval = URGENT_MIN_S
            self._ask_at = -math.inf
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
        """Tell whether a renewal before the regular one is worthwhile.

        Renewals that bring nothing make the interval longer, so that an
        account above its rate does not cause constant renewals.
        """
        if self._confirm:
            return True
        if not self._wanted:
            return self._prompt or self._moved(now)
        if self._retry_at > -math.inf:
            return now >= self._retry_at
        return now >= self._ask_at and (
            self.wait_time(now, min(1.0, self._wanted)) > URGENT_MIN_S
            or self.wait_time(now, self._wanted) > URGENT_MAX_S
        )

    def _moved(self, now: float) -> bool:
        """Tell whether the load that was reported seems to have gone."""
        gap = self._demand.gap(now)
        return self._reported_rate > 1 and (
            gap * self._reported_rate > MOVED_GAPS
        )

    def report(self, now: float) -> Report:
        """Return the holding and the demand for a renewal.

        Capacity that no rate can fill any more is given up here.
        """
        self._settle(now)
        self._prompt = self._confirm = False
        self._retry_at = -math.inf
        self._reported_rate = self._demand.rate(now)
        self._ask_at = now + self._interval - EPSILON
        self._interval = min(1.5 * self._interval, URGENT_MAX_S)
        held = self._holding
        if held.rate <= 0:
            held.capacity = max(0.0, min(held.capacity, held.tokens))
        return Report(
            self.account,
            self._version,
            self._holding,
            self._returned,
            self._reported_rate,
            self._wanted,
        )

    def replace(
        self, now: float, grant: GrantLike, sent_at: float | None = None
    ) -> bool:
        """Apply a grant unless it starts from another version.

        ``sent_at`` is when the renewal that it answers was sent.
        """
        self._settle(now)
        if grant.version == grant.base == self._version:
            # Counted from sending, the next renewal reaches the leader
            # ``retry_s`` after this one did.
            asked = now if sent_at is None else sent_at
            self._retry_at = asked + grant.retry_s
        if grant.base != self._version or grant.version <= self._version:
            return False
        held = self._holding
        kept = min(held.tokens, grant.capacity)
        self._returned = held.tokens - kept
        self._prompt = grant.prompt
        self._confirm = grant.prompt and (
            grant.rate < held.rate or grant.capacity < held.capacity
        )
        tokens = min(kept + grant.tokens, grant.capacity)
        self._holding = Holding(grant.rate, grant.capacity, tokens)
        self._at = now
        self._version = grant.version
        self._interval = URGENT_MIN_S
        return True


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
    )

    def __init__(self, ttl_s: float = CONFIG_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._validity = Validity()
        self._buckets: dict[str, Bucket] = {}
        self._sent: dict[int, float] = {}
        self._last_report = -math.inf

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
        return [bucket.report(now) for bucket in self._buckets.values()]

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
        for grant in grants:
            self.bucket(grant.account).replace(now, grant, sent_at)

    def urgent(self, now: float) -> bool:
        """Tell whether to renew now instead of at the regular time."""
        if now - self._last_report < URGENT_MIN_S - EPSILON:
            return False
        return any(bucket.urgent(now) for bucket in self._buckets.values())
