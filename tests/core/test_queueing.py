"""Tests of the queues in front of a target."""

import math

import pytest

from sassafrasridge_core import model
from sassafrasridge_core import queueing

KINDS = (queueing.FairQueue, queueing.FifoQueue)


def fill(queue, account, count, now=0.0, cost=1.0, deadline=math.inf):
    return [
        queue.push(now, account, f'{account}{n}', cost, deadline)
        for n in range(count)
    ]


class TestFairQueue:
    """Guards against one client account that delays the others."""

    def test_accounts_are_served_in_rotation(self):
        queue = queueing.FairQueue()
        fill(queue, 'a', 6)
        fill(queue, 'b', 2)
        order = [queue.pop(0.0) for _ in range(8)]
        assert sorted(order[:4]) == ['a0', 'a1', 'b0', 'b1']
        assert order[4:] == ['a2', 'a3', 'a4', 'a5']

    def test_expensive_requests_are_served_less_often(self):
        queue = queueing.FairQueue()
        fill(queue, 'a', 8, cost=4.0)
        fill(queue, 'b', 8)
        first = [queue.pop(0.0) for _ in range(10)]
        assert sum(item.startswith('a') for item in first) == 2

    def test_idle_account_accumulates_no_deficit(self):
        queue = queueing.FairQueue()
        fill(queue, 'b', 50)
        for _ in range(20):
            queue.pop(0.0)
        fill(queue, 'a', 20)
        first = [queue.pop(0.0) for _ in range(10)]
        assert sum(item.startswith('a') for item in first) == 5

    def test_light_account_is_hardly_delayed(self):
        """Compare a light account's wait while another one floods."""
        waits = {}
        for kind in KINDS:
            queue, worst = kind(max_wait_s=60.0), 0.0
            sent = {}
            for step in range(3000):
                now = step * 0.01
                fill(queue, 'flood', 3, now)
                if (
                    step % 10 == 0
                    and queue.push(now, 'light', step, 1.0, math.inf) is None
                ):
                    sent[step] = now
                item = queue.pop(now)
                if item in sent:
                    worst = max(worst, now - sent.pop(item))
            waits[kind] = max([worst, *(30 - at for at in sent.values())])
        assert waits[queueing.FairQueue] <= 0.02
        assert waits[queueing.FifoQueue] > 1.0


@pytest.mark.parametrize('kind', KINDS)
class TestBounds:
    """Guards against unbounded queues and waiting past a deadline."""

    def test_length_is_bounded_per_account_and_in_total(self, kind):
        queue = kind(max_per_account=2, max_total=3)
        assert fill(queue, 'a', 3) == [None, None, model.QUEUE_FULL]
        assert fill(queue, 'b', 2) == [None, model.QUEUE_FULL]
        assert len(queue) == 3

    def test_wait_is_bounded(self, kind):
        queue = kind(max_wait_s=5.0)
        queue.push(0.0, 'a', 'short', 1.0, 1.0)
        queue.push(0.0, 'a', 'long', 1.0, 99.0)
        assert queue.expire(0.9) == []
        assert queue.expire(1.0) == ['short']
        assert queue.expire(5.0) == ['long']
        assert len(queue) == 0
        assert queue.pop(5.0) is None

    def test_pop_skips_expired_requests_and_expire_returns_them(self, kind):
        queue = kind()
        queue.push(0.0, 'a', 'late', 1.0, 1.0)
        queue.push(0.0, 'a', 'good', 1.0, 3.0)
        assert queue.pop(2.0) == 'good'
        assert queue.expire(2.0) == ['late']

    def test_every_item_leaves_exactly_once(self, kind):
        queue = kind()
        for number in range(30):
            account = 'abc'[number % 3]
            queue.push(0.0, account, number, 1.0, 1.0 + number % 5)
        left = queue.cancel(lambda item: item % 7 == 0)
        left += [queue.pop(0.5) for _ in range(5)]
        left += queue.expire(3.0)
        while len(queue):
            left.append(queue.pop(3.0))
        assert sorted(left) == list(range(30))

    def test_deadline_that_cannot_be_met_is_refused_early(self, kind):
        queue = kind()
        fill(queue, 'a', 100)
        for step in range(20):
            queue.pop(0.1 * step)
        assert queue.push(2.0, 'a', 'x', 1.0, 3.0) is model.DEADLINE
        assert queue.push(2.0, 'a', 'x', 1.0, 30.0) is None

    def test_outage_does_not_count_as_slow_service(self, kind):
        """Guards against refusals right after a change of primary."""
        queue = kind()
        fill(queue, 'a', 100)
        for step in range(50):
            queue.pop(0.01 * step)
        queue.pop(2.5)
        assert queue.push(2.5, 'a', 'x', 1.0, 4.5) is None

    def test_time_without_requests_does_not_count(self, kind):
        """Guards against refusals when load rises after an idle period."""
        queue = kind()
        for step in range(50):
            fill(queue, 'a', 1, now=0.2 * step)
            queue.pop(0.2 * step + 0.01)
        fill(queue, 'a', 50, now=10.0)
        assert queue.push(10.0, 'a', 'x', 1.0, 11.0) is None

    def test_empty_queue_accepts_every_future_deadline(self, kind):
        queue = kind()
        fill(queue, 'a', 10)
        for step in range(10):
            queue.pop(0.25 * step)
        assert queue.push(9.0, 'a', 'x', 1.0, 9.01) is None
        assert queue.push(9.0, 'a', 'x', 1.0, 9.0) is model.DEADLINE

    def test_fair_wait_ignores_most_of_another_queue(self, kind):
        """Guards against refusing one account for another's long queue."""
        queue = kind()
        fill(queue, 'flood', 200)
        for step in range(50):
            queue.pop(0.1 * step)
        refused = queue.push(5.0, 'light', 'x', 1.0, 6.0)
        fair = kind is queueing.FairQueue
        assert refused is (None if fair else model.DEADLINE)
