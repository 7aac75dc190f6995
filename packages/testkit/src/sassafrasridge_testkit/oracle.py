"""Check recorded requests against reference models of the guarantees."""

import collections
import collections.abc
import typing

from sassafrasridge_testkit import workload

Requests = collections.abc.Sequence[workload.Request]
FAR = float('inf')


class IdealBucket:
    """A single token bucket for all entry processes, initially full.

    >>> bucket = IdealBucket(1.0, 2.0)
    >>> [bucket.take(at) for at in (0.0, 0.0, 0.5, 1.0)]
    [True, True, False, True]
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = 0.0

    def take(self, at: float) -> bool:
        """Take a token if one is left; times in s must not decrease."""
        gained = (at - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = at
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class RateVerdict:
    """Compare one client account's requests with the ideal bucket.

    ``admissible`` counts the requests that the ideal bucket admits if it sees
    only their first attempts, ``in_rate`` the attempts that it admits if it
    sees all of them, and ``wrongful`` those of the latter that were refused,
    by error kind. ``shortfall`` is how many attempts fewer than the ideal
    bucket the entry processes admitted. It is 0 for an account above its rate
    that got its full share, even if the requests that were refused are not
    those that the ideal bucket refuses.
    """

    def __init__(self, account: workload.Account, requests: Requests) -> None:
        own = [r for r in requests if r.account == account.name]
        self.offered = len(own)
        self.admissible = self._count_admissible(account, own)
        self.done = sum(r.done for r in own)
        self.in_rate = 0
        self.above_rate = 0
        self.wrongful: collections.Counter[str] = collections.Counter()
        self._count_attempts(account, own)
        self.admitted = sum(
            a.outcome != 'not_run' for r in own for a in r.attempts
        )
        self.overrun = overrun(
            account.rate,
            account.burst,
            [
                (a.sent, a.answered)
                for r in own
                for a in r.attempts
                if a.outcome == 'done'
            ],
        )

    @staticmethod
    def _count_admissible(account: workload.Account, own: Requests) -> int:
        bucket = IdealBucket(account.rate, account.burst)
        times = sorted(r.attempts[0].sent for r in own if r.attempts)
        return sum(bucket.take(at) for at in times)

    def _count_attempts(
        self, account: workload.Account, own: Requests
    ) -> None:
        bucket = IdealBucket(account.rate, account.burst)
        attempts = [a for r in own for a in r.attempts if a.reached]
        for attempt in sorted(attempts, key=lambda a: a.sent):
            if not bucket.take(attempt.sent):
                self.above_rate += 1
                continue
            self.in_rate += 1
            if attempt.outcome == 'not_run':
                self.wrongful[attempt.kind] += 1

    @property
    def shortfall(self) -> int:
        """Return how many attempts fewer than the ideal were admitted."""
        return max(0, self.in_rate - self.admitted)

    @property
    def goodput_ratio(self) -> float:
        """Return successful requests divided by admissible requests."""
        return self.done / self.admissible if self.admissible else 1.0


def overrun(
    rate: float,
    burst: float,
    spans: collections.abc.Iterable[tuple[float, float]],
) -> float:
    """Return the largest excess over burst + rate * w in any window of w s.

    The result is relative to that limit. Each span is the (sent, answered)
    time of a request. The request is charged at an unknown time in between,
    so only requests that lie wholly within a window count for it.

    >>> overrun(1.0, 2.0, [(0.0, 1.0), (0.0, 1.0), (0.0, 1.0)])
    0.0
    >>> overrun(1.0, 2.0, [(0.0, 0.0)] * 3)
    0.5
    """
    ordered = sorted(spans)
    worst = 0.0
    for place, (start, _) in enumerate(ordered):
        ends = sorted(end for _, end in ordered[place:])
        for count, end in enumerate(ends, 1):
            allowed = burst + rate * (end - start)
            worst = max(worst, count / allowed - 1.0)
    return worst


class WriteVerdict:
    """Compare the write outcomes reported to callers with the database.

    ``lost`` are acknowledged values that are missing, ``doubled`` are values
    stored more than once, ``false_not_run`` are values stored although each
    attempt was reported as not run.
    """

    def __init__(
        self, requests: Requests, stored: collections.abc.Iterable[str]
    ) -> None:
        counts = collections.Counter(stored)
        reported_outcomes: dict[str, set[str]] = {}
        for request in requests:
            if request.access == 'write':
                for attempt in request.attempts:
                    reported_outcomes.setdefault(attempt.value, set()).add(
                        attempt.outcome
                    )
        self.lost = sorted(
            value
            for value, outcomes in reported_outcomes.items()
            if 'done' in outcomes and value not in counts
        )
        self.doubled = sorted(v for v, count in counts.items() if count > 1)
        self.false_not_run = sorted(
            value
            for value, outcomes in reported_outcomes.items()
            if outcomes == {'not_run'} and value in counts
        )


def longest_write_gap(
    requests: Requests, service: str, since: float, until: float
) -> float:
    """Return the longest time in s without an acknowledged write."""
    acknowledged = sorted(
        r.attempts[-1].answered
        for r in requests
        if r.access == 'write' and r.done and r.service == service
    )
    before = [at for at in acknowledged if at <= since][-1:] or [since]
    bounds = [
        *before,
        *(at for at in acknowledged if since < at < until),
        until,
    ]
    return max(
        later - earlier
        for earlier, later in zip(bounds, bounds[1:], strict=False)
    )


def replica_read_shares(requests: Requests) -> tuple[float, float]:
    """Return the replica share of all reads and of eligible reads."""
    reads = [r for r in requests if r.access == 'read' and r.done]
    eligible = [r for r in reads if r.eligible]
    return _replica_share(reads), _replica_share(eligible)


def _replica_share(reads: Requests) -> float:
    if not reads:
        return 0.0
    return sum(r.role == 'replica' for r in reads) / len(reads)


def refusals(requests: Requests) -> dict[str, int]:
    """Return the number of failed attempts by outcome and error kind."""
    counts: collections.Counter[str] = collections.Counter(
        f'{attempt.outcome}:{attempt.kind}'
        for request in requests
        for attempt in request.attempts
        if attempt.outcome != 'done'
    )
    return dict(sorted(counts.items()))


def latencies_ms(requests: Requests, access: str) -> dict[str, float]:
    """Return median and 99th percentile in ms of successful requests."""
    times = sorted(
        r.attempts[-1].answered - r.attempts[0].sent
        for r in requests
        if r.access == access and r.done
    )
    if not times:
        return {}
    return {
        'p50': round(1000 * times[len(times) // 2], 1),
        'p99': round(1000 * times[int(len(times) * 0.99)], 1),
    }


def evaluate_load(
    load: workload.Load, stored: collections.abc.Iterable[str]
) -> dict[str, typing.Any]:
    """Return all measures of a load and the violations found."""
    verdicts = {
        name: RateVerdict(account, load.requests)
        for name, account in load.accounts.items()
    }
    writes = WriteVerdict(load.requests, stored)
    shares = replica_read_shares(load.requests)
    wrongful: collections.Counter[str] = collections.Counter()
    within: collections.Counter[str] = collections.Counter()
    for verdict in verdicts.values():
        wrongful += verdict.wrongful
        if not verdict.above_rate:
            within += verdict.wrongful
    worst = min(verdicts, key=lambda name: verdicts[name].goodput_ratio)
    seconds = max(load.ended - load.began, 1e-9)
    return {
        'replica_read_share': round(shares[0], 4),
        'eligible_read_share': round(shares[1], 4),
        'worst_account_goodput_ratio': round(verdicts[worst].goodput_ratio, 4),
        'worst_account': worst,
        'in_rate_requests': sum(v.in_rate for v in verdicts.values()),
        'wrongful_refusals': wrongful.total(),
        'wrongful_refusals_by_kind': dict(wrongful),
        'wrongful_refusals_of_accounts_within_rate': within.total(),
        'admission_shortfall': sum(v.shortfall for v in verdicts.values()),
        'rate_overrun_ratio': round(
            max(v.overrun for v in verdicts.values()), 4
        ),
        'read_your_writes_violations': load.read_your_writes_violations,
        'lost_acknowledged_writes': len(writes.lost),
        'doubled_requests': len(writes.doubled),
        'false_not_run': len(writes.false_not_run),
        'crossed_answers': load.crossed_answers,
        'offered_per_s': round(len(load.requests) / seconds, 1),
        'requests': len(load.requests),
        'done': sum(r.done for r in load.requests),
        'unfinished': load.unfinished,
        'refusals': refusals(load.requests),
        'read_ms': latencies_ms(load.requests, 'read'),
        'write_ms': latencies_ms(load.requests, 'write'),
        'accounts': {
            name: {
                'asked': v.admissible,
                'done': v.done,
                'above_rate': v.above_rate,
                'wrongful': v.wrongful.total(),
            }
            for name, v in verdicts.items()
        },
        'examples': {
            'lost': writes.lost[:5],
            'doubled': writes.doubled[:5],
            'false_not_run': writes.false_not_run[:5],
        },
    }
