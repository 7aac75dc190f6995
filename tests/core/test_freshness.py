"""Tests of the upper bound on the age of a replica's data."""

import math
import random

from sassafrasridge_core import freshness


class TestPrimaryTimeline:
    def test_age_is_never_below_the_true_age(self):
        """Guards against serving older data than the caller accepts."""
        rng = random.Random(7)
        timeline = freshness.PrimaryTimeline()
        now, index, acknowledged = 0.0, 0, []
        ages = []
        for _ in range(4000):
            now += rng.choice((0.001, 0.004, 0.2))
            if rng.random() < 0.6:
                index += 1
                acknowledged.append(now)
            if rng.random() < 0.7:
                # The request was sent before the position was read.
                timeline.sample(now - rng.random() * 0.002, 1, index)
            applied = max(0, index - rng.choice((0, 1, 3, 50, 400)))
            # The true age counts from the first write that is missing.
            missing = acknowledged[applied : applied + 1]
            true_age = now - missing[0] if missing else 0.0
            age = timeline.age(now, 1, applied)
            assert age >= true_age - 1e-9
            ages.append((age, true_age))
        # The bound is also useful: most ages are close to the true age.
        close = [
            age <= true_age + 0.1 * true_age + 0.5 for age, true_age in ages
        ]
        assert sum(close) > 0.95 * len(close)

    def test_memory_is_bounded_and_covers_minutes(self):
        """Guards against memory growth at a high rate of samples."""
        timeline = freshness.PrimaryTimeline()
        for step in range(200_000):
            timeline.sample(step / 500, 1, step)
        sizes = [len(level.samples) for level in timeline._levels]
        assert sum(sizes) <= sum(size for _, size in freshness.LEVELS)
        # Index 150,000 was current at 300 s, and the time is 400 s now.
        assert 99.9 < timeline.age(400.0, 1, 150_000) < 106.0
        for step in range(200_000, 200_010):
            timeline.sample(step / 500, 1, step)
            # Dropping samples between levels must keep the newest one.
            assert timeline.age(step / 500, 1, step) == 0.0

    def test_idle_primary_keeps_its_replicas_fresh(self):
        """Guards against an age that grows although nothing is written."""
        timeline = freshness.PrimaryTimeline()
        for step in range(1000):
            timeline.sample(step * 0.1, 1, 5)
        assert timeline.age(100.0, 1, 5) < 0.11
        assert timeline.age(100.0, 1, 4) == math.inf

    def test_server_of_an_older_term_proves_nothing_about_a_newer(self):
        """Guards against trusting the longer log of a replaced primary."""
        timeline = freshness.PrimaryTimeline()
        timeline.sample(1.0, 1, 50)
        timeline.sample(2.0, 2, 40)
        assert timeline.age(3.0, 1, 50) == 2.0
        assert timeline.age(3.0, 2, 40, {2: 40}) == 1.0

    def test_sample_of_an_older_term_is_ignored(self):
        """Guards against a late response from a replaced primary."""
        timeline = freshness.PrimaryTimeline()
        timeline.sample(2.0, 2, 40)
        timeline.sample(3.0, 1, 50)
        assert timeline.age(4.0, 1, 50) == math.inf
        assert timeline.age(4.0, 2, 40) == 2.0

    def test_without_samples_the_age_is_unknown(self):
        """Guards against treating missing contact as absence of lag."""
        assert freshness.PrimaryTimeline().age(1.0, 1, 9) == math.inf
