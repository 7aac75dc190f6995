"""Tests of the wait for a new primary.

Pattern of load: the primary of a group is promoted under full load. Every
caller of the group arrives during the change, and the clients that are
refused come back before it has ended.
"""

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import primarywait


def served(arrivals, change_s, timeout_s, tracker):
    """Return how many statements that arrive in a change are still served."""
    count = 0
    for arrival in arrivals:
        until = tracker.wait_until(arrival, 'g', arrival + timeout_s)
        # A wait of a fifth of an objective of 0.8 s, as without an estimate.
        until = arrival + 0.16 if until is None else until
        count += until >= change_s
    return count


class TestPromotionUnderFullLoad:
    def test_most_callers_of_a_usual_change_are_served(self):
        """Guards against refusing callers right before the change ends."""
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        arrivals = [n / 100 for n in range(60)]
        assert served(arrivals, 0.6, 1.0, tracker) >= 55
        without = primarywait.ChangeTracker()
        assert served(arrivals, 0.6, 1.0, without) < 20

    def test_a_caller_that_cannot_be_served_in_time_does_not_wait(self):
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        assert tracker.wait_until(0.1, 'g', 0.1 + 0.5) is None

    def test_an_observed_slow_change_is_not_waited_for(self):
        """Guards against holding callers that a slow platform can't serve."""
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        tracker.end(2.0, 'g')
        tracker.begin(10.0, 'g')
        assert tracker.wait_until(10.1, 'g', 11.1) is None
        assert tracker.wait_until(11.4, 'g', 12.4) is not None

    def test_an_overdue_change_is_not_waited_for(self):
        """Guards against holding callers of a group without a majority."""
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        assert tracker.wait_until(1.7, 'g', 2.7) is None

    def test_other_groups_are_not_affected(self):
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        assert tracker.wait_until(0.1, 'h', 5.0) is None


class TestExpectedDuration:
    def test_a_cut_off_process_learns_nothing_about_durations(self):
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        tracker.end(60.0, 'g')
        assert tracker.expected_s() == primarywait.TYPICAL_CHANGE_S

    def test_a_repeated_view_does_not_restart_the_change(self):
        tracker = primarywait.ChangeTracker()
        tracker.begin(0.0, 'g')
        tracker.begin(0.7, 'g')
        assert tracker.expected_end(0.7, 'g') == primarywait.TYPICAL_CHANGE_S

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 10), max_size=12),
        strategies.floats(0, 10),
        strategies.floats(0, 5),
    )
    def test_a_wait_always_leaves_time_to_run(self, durations, now, timeout):
        tracker = primarywait.ChangeTracker()
        for duration in durations:
            tracker.begin(0.0, 'g')
            tracker.end(duration, 'g')
        tracker.begin(0.0, 'g')
        until = tracker.wait_until(now, 'g', now + timeout)
        if until is not None:
            assert now <= until + 1e-6
            assert until <= now + timeout - primarywait.RUN_RESERVE_S + 1e-6
