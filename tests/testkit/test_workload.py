"""Tests of the load generator."""

import asyncio

import pytest

from sassafrasridge_testkit import webclient
from sassafrasridge_testkit import workload

ACCOUNT = workload.Account('shop', 50.0, 50.0, 40.0)


class _Client:
    """Return the answers that the test supplies."""

    def __init__(self, answer):
        self.headers = {'session-token': 'token'}
        self._answer = answer

    async def call(self, method, path, body, timeout_s, headers):
        return self._answer(body, headers)

    def close(self):
        return


class _Balancer(workload.Balancer):
    def __init__(self, answer):
        super().__init__({'e1': None, 'e2': None})
        self._answer = answer

    def connection(self, name):
        return _Client(self._answer)

    def release_connection(self, name, client):
        return


def load(answer, seed=1):
    return workload.Load(
        'test', [ACCOUNT], ['orders'], _Balancer(answer), seed, 0.1
    )


def run(answer, duration_s=0.5):
    result = load(answer)
    asyncio.run(result.run(duration_s))
    return result


def value_of(body):
    statement = body['statements'][-1]
    return statement['params'][0]


def done(row):
    return 200, {
        'served_by': {'role': 'replica'},
        'results': [{'rows': [row]}],
    }


def refusal(outcome, kind, status=503):
    return status, {'error': {'outcome': outcome, 'kind': kind}}


class TestLoad:
    def test_arrivals_repeat_with_the_seed(self):
        """Guards against loads that a seed does not reproduce."""
        first, again, other = (
            load(None, seed).arrivals(5.0) for seed in (1, 1, 2)
        )
        assert first == again != other
        assert len(first) == pytest.approx(200, rel=0.3)

    def test_correct_answers(self):
        """Guards against violations reported for correct answers."""
        highest = {}

        def answer(body, headers):
            params = body['statements'][0]['params']
            if body.get('access') == 'read':
                return done([value_of(body), highest.get(params[1], 0)])
            highest[params[2]] = params[3]
            return done([value_of(body)])

        result = run(answer)
        assert len(result.requests) > 5
        assert all(r.done for r in result.requests)
        assert result.read_your_writes_violations == 0
        assert result.crossed_answers == 0

    def test_stale_read_is_noticed(self):
        """Guards against missing a read that lacks the session's write."""
        result = run(lambda body, headers: done([value_of(body), 0]), 2.0)
        assert result.read_your_writes_violations > 0

    def test_answer_to_another_request_is_noticed(self):
        """Guards against missing an answer to another request."""
        result = run(lambda body, headers: done(['other', 9]))
        assert result.crossed_answers == len(result.requests) > 0

    def test_only_safe_requests_are_sent_again(self):
        """Guards against duplicate writes caused by the load generator."""
        result = run(lambda b, h: refusal('unknown', 'outcome_unknown'))
        for item in result.requests:
            safe = item.access == 'read' or item.keyed
            wanted = workload.MAX_ATTEMPTS if safe else 1
            assert len(item.attempts) == wanted
            values = {attempt.value for attempt in item.attempts}
            assert not item.keyed or values == {item.id}

    def test_refused_rate_is_final(self):
        """Guards against retries that add load beyond the rate."""
        result = run(lambda b, h: refusal('not_run', 'rate_limited', 429))
        assert all(len(r.attempts) == 1 for r in result.requests)

    @pytest.mark.parametrize(
        ('sent', 'outcome'), [(True, 'unknown'), (False, 'not_run')]
    )
    def test_lost_connection(self, sent, outcome):
        """Guards against recording a lost answer as "not run"."""

        def answer(body, headers):
            raise webclient.CallFailed('lost', sent)

        result = run(answer, 0.2)
        attempts = [a for r in result.requests for a in r.attempts]
        assert attempts
        assert {a.outcome for a in attempts} == {outcome}
        assert {a.reached for a in attempts} == {sent}


class TestBalancer:
    def test_prefers_ready_and_untried(self):
        """Guards against requests to a process that is not ready."""
        balancer = workload.Balancer({'e1': None, 'e2': None, 'e3': None})
        balancer.ready = {'e1', 'e2'}
        rng = load(None)._rng
        wanted = ['e1', 'e2', 'e3']
        picked = {balancer.choose_entry(rng, wanted, ()) for _ in range(50)}
        assert picked == {'e1', 'e2'}
        assert balancer.choose_entry(rng, wanted, {'e1'}) == 'e2'
        assert balancer.choose_entry(rng, ['e3'], ()) in ('e1', 'e2')
