"""Tests of the retry budget and the backoff."""

import math
import random

import hypothesis
from hypothesis import strategies

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


class TestRetryAfter:
    """Load: all callers that a full queue refused come back."""

    @hypothesis.given(
        strategies.floats(0, 30),
        strategies.integers(0, 5),
        strategies.randoms(),
    )
    def test_callers_wait_for_their_class_and_half_as_long_at_most(
        self, wait_s, rank, rng
    ):
        """Guards against callers that return before they can be served."""
        found = retries.retry_after_s(wait_s, rank, rng)
        least = max(1, math.ceil(wait_s)) * (1 + rank)
        assert least <= found <= math.ceil(1.5 * least)

    def test_callers_do_not_return_together(self):
        """Guards against a second burst by those that the first refused."""
        rng = random.Random(1)
        found = [retries.retry_after_s(0.2, 0, rng) for _ in range(100)]
        assert 10 < found.count(2) < 50
