"""Tests of the load generator."""

import asyncio

import pytest

from sassafrasridge_testkit import webclient
from sassafrasridge_testkit import workload

ACCOUNT = workload.Account('shop', 50.0, 50.0, 40.0)


class _Client:
    """Answer like an entry process, in a way that the test decides."""

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

    def give_back(self, name, client):
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
        """Guards against measurements that can't be repeated."""
        first, again, other = (
            load(None, seed).arrivals(5.0) for seed in (1, 1, 2)
        )
        assert first == again != other
        assert len(first) == pytest.approx(200, rel=0.3)

    def test_kept_promises(self):
        """Guards against violations where there are none."""
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
        """Guards against missing a session that lost its write."""
        result = run(lambda body, headers: done([value_of(body), 0]), 2.0)
        assert result.read_your_writes_violations > 0

    def test_answer_to_another_request_is_noticed(self):
        """Guards against missing crossed answers."""
        result = run(lambda body, headers: done(['other', 9]))
        assert result.crossed_answers == len(result.requests) > 0

    def test_only_safe_requests_are_sent_again(self):
        """Guards against a generator that doubles writes itself."""
        result = run(lambda b, h: refusal('unknown', 'outcome_unknown'))
        for item in result.requests:
            safe = item.access == 'read' or item.keyed
            wanted = workload.MAX_ATTEMPTS if safe else 1
            assert len(item.attempts) == wanted
            values = {attempt.value for attempt in item.attempts}
            assert not item.keyed or values == {item.id}

    def test_refused_rate_is_final(self):
        """Guards against a generator that raises its own load."""
        result = run(lambda b, h: refusal('not_run', 'rate_limited', 429))
        assert all(len(r.attempts) == 1 for r in result.requests)

    @pytest.mark.parametrize(
        ('sent', 'outcome'), [(True, 'unknown'), (False, 'not_run')]
    )
    def test_lost_connection(self, sent, outcome):
        """Guards against taking a lost answer for "not run"."""

        def answer(body, headers):
            raise webclient.CallFailed('lost', sent)

        result = run(answer, 0.2)
        attempts = [a for r in result.requests for a in r.attempts]
        assert attempts
        assert {a.outcome for a in attempts} == {outcome}
        assert {a.reached for a in attempts} == {sent}


class TestBalancer:
    def test_prefers_ready_and_untried(self):
        """Guards against load on a process that is being stopped."""
        balancer = workload.Balancer({'e1': None, 'e2': None, 'e3': None})
        balancer.ready = {'e1', 'e2'}
        rng = load(None)._rng
        wanted = ['e1', 'e2', 'e3']
        picked = {balancer.pick(rng, wanted, ()) for _ in range(50)}
        assert picked == {'e1', 'e2'}
        assert balancer.pick(rng, wanted, {'e1'}) == 'e2'
        assert balancer.pick(rng, ['e3'], ()) in ('e1', 'e2')
