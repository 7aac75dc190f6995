"""Tests that the oracle detects each kind of violation."""

import types

import pytest

from sassafrasridge_testkit import oracle
from sassafrasridge_testkit import workload

ACCOUNT = workload.Account('shop', rate=1.0, burst=2.0, offered_rate=1.0)


def request(*attempts, access='write', value='v', service='orders', **fields):
    """Return a request; an attempt is (sent, answered, outcome, kind)."""
    result = workload.Request(value, 'shop', service, access, True, 'session')
    for sent, answered, outcome, *kind in attempts:
        attempt = workload.Attempt('e1', value)
        attempt.sent, attempt.answered = sent, answered
        attempt.outcome = outcome
        attempt.kind = kind[0] if kind else ''
        result.attempts.append(attempt)
    for name, field in fields.items():
        setattr(result, name, field)
    return result


def done(at, **fields):
    return request((at, at + 0.1, 'done'), **fields)


def refused(at, kind='rate_limited', **fields):
    return request((at, at + 0.1, 'not_run', kind), **fields)


class TestRateVerdict:
    def test_refusal_within_the_rate_is_wrongful(self):
        """Guards against missing refusals of requests within the rate."""
        verdict = oracle.RateVerdict(ACCOUNT, [done(0.0), refused(0.1)])
        assert verdict.wrongful == {'rate_limited': 1}
        assert verdict.in_rate == 2
        assert verdict.shortfall == 1
        assert verdict.goodput_ratio == 0.5

    def test_refusal_above_the_rate_is_not(self):
        """Guards against counting correct refusals as wrongful."""
        requests = [done(0.0), done(0.0), refused(0.1)]
        verdict = oracle.RateVerdict(ACCOUNT, requests)
        assert not verdict.wrongful
        assert verdict.above_rate == 1
        assert verdict.goodput_ratio == 1.0

    def test_other_refusals_count_too(self):
        """Guards against ignoring refusals for lack of a lease."""
        verdict = oracle.RateVerdict(ACCOUNT, [refused(0.0, 'no_lease')])
        assert verdict.wrongful == {'no_lease': 1}

    def test_other_accounts_do_not_count(self):
        """Guards against counting requests of other client accounts."""
        other = done(0.0)
        other.account = 'other'
        assert oracle.RateVerdict(ACCOUNT, [other]).offered == 0

    def test_overrun(self):
        """Guards against missing use above the burst and rate limit."""
        requests = [done(0.0), done(0.0), done(0.0)]
        verdict = oracle.RateVerdict(ACCOUNT, requests)
        assert verdict.overrun == pytest.approx(3 / 2.1 - 1)

    def test_use_that_may_be_earlier_is_no_overrun(self):
        """Guards against counting requests that began before the window."""
        spans = [(0.0, 9.0), (0.0, 9.0), (8.9, 9.0), (8.9, 9.0)]
        assert oracle.overrun(1.0, 2.0, spans) == 0.0


class TestWriteVerdict:
    def test_correct_answers(self):
        """Guards against violations reported for correct answers."""
        requests = [
            done(0, value='a'),
            refused(0, value='b'),
            request((0, 1, 'unknown'), value='c'),
            request((0, 1, 'unknown'), value='d'),
            request((0, 1, 'not_run'), (1, 2, 'done'), value='e'),
        ]
        verdict = oracle.WriteVerdict(requests, ['a', 'c', 'e'])
        assert not verdict.lost
        assert not verdict.doubled
        assert not verdict.false_not_run

    def test_violations(self):
        """Guards against missing a lost, duplicate or wrongly denied write."""
        requests = [done(0, value='a'), refused(0, value='b')]
        verdict = oracle.WriteVerdict(requests, ['b', 'c', 'c'])
        assert verdict.lost == ['a']
        assert verdict.doubled == ['c']
        assert verdict.false_not_run == ['b']


class TestGapsAndShares:
    def test_gap_reaches_to_the_end(self):
        """Guards against reporting no gap for a service that stays down."""
        requests = [done(0.0), done(1.0), done(2.0, service='other')]
        gap = oracle.longest_write_gap(requests, 'orders', 0.5, 9.0)
        assert gap == pytest.approx(9.0 - 1.1)

    def test_gap_begins_before_the_fault(self):
        """Guards against a gap that starts only at the time of the fault."""
        requests = [done(0.0), done(5.0)]
        gap = oracle.longest_write_gap(requests, 'orders', 2.0, 6.0)
        assert gap == pytest.approx(5.0)

    def test_read_shares(self):
        """Guards against counting primary reads as eligible."""
        reads = [
            done(0, access='read', role='replica', eligible=True),
            done(0, access='read', role='primary', eligible=True),
            done(0, access='read', role='primary'),
            refused(0, access='read', eligible=True),
        ]
        assert oracle.replica_read_shares(reads) == (pytest.approx(1 / 3), 0.5)


class TestEvaluateLoad:
    def test_record_has_all_fields(self):
        """Guards against a report that lacks fields its readers need."""
        load = types.SimpleNamespace(
            accounts={'shop': ACCOUNT},
            requests=[done(0.0, value='a'), refused(1.0, value='b')],
            began=0.0,
            ended=2.0,
            unfinished=0,
            read_your_writes_violations=0,
            crossed_answers=1,
        )
        record = oracle.evaluate_load(load, ['a'])
        assert record['in_rate_requests'] == 2
        assert record['wrongful_refusals'] == 1
        assert record['refusals'] == {'not_run:rate_limited': 1}
        assert record['crossed_answers'] == 1
        assert record['worst_account_goodput_ratio'] == 0.5
