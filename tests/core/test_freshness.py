"""Tests of the proof of a replica's age."""

import math
import random

from sassafrasridge_core import freshness


class TestPrimaryTimeline:
    def test_age_is_never_below_the_truth(self):
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
            # The data is as old as the first write that it misses.
            missing = acknowledged[applied : applied + 1]
            truth = now - missing[0] if missing else 0.0
            age = timeline.age(now, 1, applied)
            assert age >= truth - 1e-9
            ages.append((age, truth))
        # Useful, too: most ages are close to the truth.
        close = [age <= truth + 0.1 * truth + 0.5 for age, truth in ages]
        assert sum(close) > 0.95 * len(close)

    def test_memory_is_bounded_and_reaches_minutes_back(self):
        """Guards against growth at thousands of samples a second."""
        timeline = freshness.PrimaryTimeline()
        for step in range(200_000):
            timeline.sample(step / 500, 1, step)
        sizes = [len(level.samples) for level in timeline._levels]
        assert sum(sizes) <= sum(size for _, size in freshness.LEVELS)
        # Index 150,000 was current at 300 s; now it is 400 s.
        assert 99.9 < timeline.age(400.0, 1, 150_000) < 106.0
        for step in range(200_000, 200_010):
            timeline.sample(step / 500, 1, step)
            # Thinning must not cost the newest sample.
            assert timeline.age(step / 500, 1, step) == 0.0

    def test_idle_primary_keeps_its_replicas_fresh(self):
        """Guards against an age that grows though nothing is written."""
        timeline = freshness.PrimaryTimeline()
        for step in range(1000):
            timeline.sample(step * 0.1, 1, 5)
        assert timeline.age(100.0, 1, 5) < 0.11
        assert timeline.age(100.0, 1, 4) == math.inf

    def test_server_of_an_older_term_proves_nothing_about_a_newer(self):
        """Guards against a long log of a replaced primary."""
        timeline = freshness.PrimaryTimeline()
        timeline.sample(1.0, 1, 50)
        timeline.sample(2.0, 2, 40)
        assert timeline.age(3.0, 1, 50) == 2.0
        assert timeline.age(3.0, 2, 40, {2: 40}) == 1.0

    def test_sample_of_an_older_term_is_ignored(self):
        """Guards against a late response of the replaced primary."""
        timeline = freshness.PrimaryTimeline()
        timeline.sample(2.0, 2, 40)
        timeline.sample(3.0, 1, 50)
        assert timeline.age(4.0, 1, 50) == math.inf
        assert timeline.age(4.0, 2, 40) == 2.0

    def test_without_samples_the_age_is_unknown(self):
        """Guards against taking no contact for no lag."""
        assert freshness.PrimaryTimeline().age(1.0, 1, 9) == math.inf
