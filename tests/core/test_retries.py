"""Tests of the retry budget and the backoff."""

import random

from sassafrasridge_core import retries


class TestRetryBudget:
    """Guards against retries that overload a failing target."""

    def test_retries_stay_under_a_tenth_of_the_load(self):
        budget, allowed = retries.RetryBudget(), 0
        for step in range(10000):
            budget.record(step / 100)
            allowed += budget.allow(step / 100)
        assert 900 <= allowed <= 1010

    def test_minimum_of_retries_is_always_allowed(self):
        budget = retries.RetryBudget()
        budget.record(0.0)
        assert [budget.allow(0.0) for _ in range(3)] == [True, True, False]
        budget.record(60.0)
        assert budget.allow(60.0)

    def test_old_requests_allow_no_retries(self):
        budget = retries.RetryBudget()
        for _ in range(1000):
            budget.record(0.0)
        assert sum(budget.allow(100.0) for _ in range(50)) <= 3


class TestBackoff:
    """Guards against retries that arrive at the same time."""

    def test_delays_cover_the_whole_range_up_to_the_cap(self):
        rng = random.Random(1)
        backoff = retries.Backoff(0.1, 1.0)
        delays = [backoff.delay(2, rng) for _ in range(500)]
        assert min(delays) < 0.02
        assert 0.38 < max(delays) <= 0.4
        assert backoff.delay(10**6, rng) <= 1.0
