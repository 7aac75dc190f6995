"""The holder's side of rate sharing: the buckets of one entry process.

The protocol between holder and leader is described in ``shares``.
"""

from collections.abc import Iterable
import math
import typing

# The configuration, and with it every holding, expires this long after the
# last granted renewal was sent.
CONFIG_TTL_S = 4.0
# Time constant of the demand estimate. It is long enough to average over a few
# renewals, and short enough that a share follows load that moves to another
# process before waiting requests time out.
DEMAND_DECAY_S = 0.5
# After a gap of this many mean intervals between requests, the estimate is
# bounded by this number divided by the gap.
MAX_GAP_INTERVALS = 3.0
# After this many mean intervals without a request, the load is assumed to have
# moved away, and an immediate renewal informs the leader. With steady load a
# gap this long is rare: its probability is exp(-5).
MOVED_AWAY_GAP_INTERVALS = 5.0
# Shortest and longest interval between renewals while requests wait.
URGENT_MIN_INTERVAL_S = 0.05
URGENT_MAX_INTERVAL_S = 0.3
# Tolerance for rounding errors in one comparison, in tokens.
EPSILON = 1e-9


class Holding:
    """Store the rate (tokens/s), capacity and tokens of a token bucket.

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
        """Add the tokens accrued in an interval, up to the capacity."""
        if seconds > 0:
            refilled = self.tokens + self.rate * seconds
            self.tokens = min(self.capacity, refilled)


class ReportLike(typing.Protocol):
    """Define the fields common to ``Report`` and its thrift message."""

    account: str
    version: int
    rate: float
    capacity: float
    tokens: float
    returned: float
    demand_rate: float
    wanted_tokens: float


class GrantLike(typing.Protocol):
    """Define the fields common to ``Grant`` and its thrift message."""

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

    ``rate`` and ``capacity`` replace the holder's values; ``tokens`` are
    added to its tokens. ``prompt`` requests an early renewal, because other
    holders wait for what this grant takes away or lends. A grant whose version
    equals its base changes nothing; it only tells the holder to ask again
    after ``retry_s``.
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


class DemandEstimator:
    """Estimate the recent request rate from an exponentially decaying sum."""

    __slots__ = ('_decay_s', '_count', '_updated_at')

    def __init__(self, decay_s: float = DEMAND_DECAY_S) -> None:
        self._decay_s = decay_s
        self._count = 0.0
        self._updated_at = -math.inf

    def add(self, now: float, tokens: float) -> None:
        """Add the tokens that a new request asks for."""
        self._count = self.rate(now) * self._decay_s + tokens
        self._updated_at = max(now, self._updated_at)

    def rate(self, now: float) -> float:
        """Return the estimate in tokens/s; zero if it is negligible."""
        if not self._count:
            return 0.0
        gap = max(0.0, now - self._updated_at)
        rate = self._count * math.exp(-gap / self._decay_s) / self._decay_s
        if gap * rate > MAX_GAP_INTERVALS:
            rate = MAX_GAP_INTERVALS / gap
        return rate if rate > 0.01 else 0.0

    def seconds_since_request(self, now: float) -> float:
        """Return the seconds since the last request."""
        return now - self._updated_at


class Validity:
    """Store the time until which all holdings of a holder are valid."""

    __slots__ = ('until',)

    def __init__(self, until: float = -math.inf) -> None:
        self.until = until


class Bucket:
    """Limit the rate of one account in one entry process."""

    __slots__ = (
        'account',
        '_validity',
        '_holding',
        '_updated_at',
        '_version',
        '_returned',
        '_demand',
        '_wanted_tokens',
        '_renewal_requested',
        '_confirm_at_once',
        '_retry_at',
        '_reported_demand',
        '_urgent_interval_s',
        '_next_urgent_at',
    )

    def __init__(self, account: str, validity: Validity | None = None) -> None:
        self.account = account
        self._validity = validity or Validity()
        self._holding = Holding()
        self._updated_at = -math.inf
        self._version = 1
        self._returned = 0.0
        self._demand = DemandEstimator()
        self._wanted_tokens = 0.0
        # Early renewals that the leader requested: the first is sent when no
        # request waits, the second immediately to confirm a reduction.
        self._renewal_requested = False
        self._confirm_at_once = False
        self._retry_at = -math.inf
        self._reported_demand = 0.0
        # Interval and earliest time of the next renewal for waiting requests.
        self._urgent_interval_s = URGENT_MIN_INTERVAL_S
        self._next_urgent_at = -math.inf

    def _refill_or_expire(self, now: float) -> None:
        if now >= self._validity.until:
            self.expire()
        elif now > self._updated_at:
            self._holding.refill(now - self._updated_at)
            self._updated_at = now

    def expire(self) -> None:
        """Discard the expired holding, which the leader may reassign."""
        if self._version % 2 == 0:
            self._version |= 1
            self._holding = Holding()
            self._returned = 0.0
            self._renewal_requested = self._confirm_at_once = False

    def take(
        self, now: float, tokens: float = 1.0, *, waited: bool = False
    ) -> bool:
        """Take all the tokens if available and return whether they were taken.

        ``waited`` marks a request that already tried to take tokens: it is
        not counted as demand again, and it takes precedence over new
        requests.
        """
        self._refill_or_expire(now)
        if not waited:
            self._demand.add(now, tokens)
        ahead = 0.0 if waited else self._wanted_tokens
        if self._holding.tokens + EPSILON < tokens + ahead:
            return False
        self._holding.tokens -= tokens
        return True

    def begin_wait(self, tokens: float = 1.0) -> None:
        """Record that a request starts to wait for tokens."""
        if not self._wanted_tokens:
            self._urgent_interval_s = URGENT_MIN_INTERVAL_S
            self._next_urgent_at = -math.inf
        self._wanted_tokens += tokens

    def end_wait(self, tokens: float = 1.0) -> None:
        """Record that a waiting request got its tokens or gave up."""
        self._wanted_tokens = max(0.0, self._wanted_tokens - tokens)

    def available_tokens(self, now: float) -> float:
        """Return the tokens in the bucket."""
        self._refill_or_expire(now)
        return self._holding.tokens

    def holding(self, now: float) -> Holding:
        """Return a copy of the holding."""
        self._refill_or_expire(now)
        held = self._holding
        return Holding(held.rate, held.capacity, held.tokens)

    def wait_time(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until the bucket has refilled to ``tokens``.

        The result is infinite if the current holding can never reach them.
        """
        self._refill_or_expire(now)
        held = self._holding
        missing = tokens - held.tokens
        if missing <= EPSILON:
            return 0.0
        if held.capacity + EPSILON < tokens or held.rate <= 0:
            return math.inf
        return missing / held.rate

    def demand(self, now: float) -> float:
        """Return the recent demand in tokens/s."""
        return self._demand.rate(now)

    def wanted_tokens(self) -> float:
        """Return the number of tokens that requests are waiting for."""
        return self._wanted_tokens

    def urgent(self, now: float) -> bool:
        """Return whether to renew before the regular time.

        The interval grows with each renewal that brings no new grant, so that
        an account above its rate does not cause constant renewals.
        """
        if self._confirm_at_once:
            return True
        if not self._wanted_tokens:
            return self._renewal_requested or self._load_moved_away(now)
        if self._retry_at > -math.inf:
            return now >= self._retry_at
        return now >= self._next_urgent_at and (
            self.wait_time(now, min(1.0, self._wanted_tokens))
            > URGENT_MIN_INTERVAL_S
            or self.wait_time(now, self._wanted_tokens) > URGENT_MAX_INTERVAL_S
        )

    def _load_moved_away(self, now: float) -> bool:
        """Return whether the reported load seems to have moved away."""
        gap = self._demand.seconds_since_request(now)
        return self._reported_demand > 1 and (
            gap * self._reported_demand > MOVED_AWAY_GAP_INTERVALS
        )

    def report(self, now: float) -> Report:
        """Return the holding and the demand for a renewal.

        With a rate of zero, this gives up the capacity above the remaining
        tokens, because it can no longer be refilled.
        """
        self._refill_or_expire(now)
        self._renewal_requested = self._confirm_at_once = False
        self._retry_at = -math.inf
        self._reported_demand = self._demand.rate(now)
        self._next_urgent_at = now + self._urgent_interval_s - EPSILON
        self._urgent_interval_s = min(
            1.5 * self._urgent_interval_s, URGENT_MAX_INTERVAL_S
        )
        held = self._holding
        if held.rate <= 0:
            held.capacity = max(0.0, min(held.capacity, held.tokens))
        return Report(
            self.account,
            self._version,
            self._holding,
            self._returned,
            self._reported_demand,
            self._wanted_tokens,
        )

    def apply_grant(
        self, now: float, grant: GrantLike, sent_at: float | None = None
    ) -> bool:
        """Apply a grant and return True, or False if its base does not match.

        ``sent_at`` is the time at which the answered renewal was sent.
        """
        self._refill_or_expire(now)
        if grant.version == grant.base == self._version:
            # The delay is measured from the sending time, so that the next
            # renewal reaches the leader ``retry_s`` after this one did.
            renewed_at = now if sent_at is None else sent_at
            self._retry_at = renewed_at + grant.retry_s
        if grant.base != self._version or grant.version <= self._version:
            return False
        held = self._holding
        kept = min(held.tokens, grant.capacity)
        self._returned = held.tokens - kept
        self._renewal_requested = grant.prompt
        self._confirm_at_once = grant.prompt and (
            grant.rate < held.rate or grant.capacity < held.capacity
        )
        tokens = min(kept + grant.tokens, grant.capacity)
        self._holding = Holding(grant.rate, grant.capacity, tokens)
        self._updated_at = now
        self._version = grant.version
        self._urgent_interval_s = URGENT_MIN_INTERVAL_S
        return True


class BucketSet:
    """Manage the buckets of one incarnation of an entry process.

    No other object may change the validity of these buckets.
    """

    __slots__ = (
        '_ttl_s',
        '_validity',
        '_buckets',
        '_sent_times',
        '_last_report',
        'ever_granted',
    )

    def __init__(self, ttl_s: float = CONFIG_TTL_S) -> None:
        self._ttl_s = ttl_s
        self._validity = Validity()
        self._buckets: dict[str, Bucket] = {}
        self._sent_times: dict[int, float] = {}
        self._last_report = -math.inf
        # Whether this incarnation has ever held a share.
        self.ever_granted = False

    def bucket(self, account: str) -> Bucket:
        """Return the bucket of an account, creating it on first use.

        Buckets are never removed, because their version must not restart.
        """
        if account not in self._buckets:
            self._buckets[account] = Bucket(account, self._validity)
        return self._buckets[account]

    def valid(self, now: float) -> bool:
        """Return whether the holdings may be used."""
        return now < self._validity.until

    def build_reports(self, now: float, sequence: int) -> list[Report]:
        """Return the reports for a renewal that is sent now."""
        for old, at in list(self._sent_times.items()):
            if at + self._ttl_s <= now:
                del self._sent_times[old]
        self._sent_times[sequence] = now
        self._last_report = now
        return [bucket.report(now) for bucket in self._buckets.values()]

    def apply_answer(
        self,
        now: float,
        sequence: int,
        granted: bool,
        grants: Iterable[GrantLike],
    ) -> None:
        """Apply the answer to a renewal.

        An answer that arrives more than one time to live after its renewal
        was sent is ignored, because the leader may have reassigned the
        granted shares.
        """
        sent_at = self._sent_times.pop(sequence, -math.inf)
        if sent_at + self._ttl_s <= now:
            return
        if not self.valid(now):
            for bucket in self._buckets.values():
                bucket.expire()
        if granted:
            until = max(self._validity.until, sent_at + self._ttl_s)
            self._validity.until = until
        for grant in grants:
            if self.bucket(grant.account).apply_grant(now, grant, sent_at):
                self.ever_granted = True

    def urgent(self, now: float) -> bool:
        """Return whether to renew now instead of at the regular time."""
        if now - self._last_report < URGENT_MIN_INTERVAL_S - EPSILON:
            return False
        return any(bucket.urgent(now) for bucket in self._buckets.values())
