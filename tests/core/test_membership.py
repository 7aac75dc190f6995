"""Tests of the rule by which members come and go without an operator."""

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import membership
from sassafrasridge_core import raftmembers


def voters(names):
    return {name: raftmembers.Member(f'disk-{name}') for name in names}


class TestSurplus:
    def test_the_last_needed_voter_is_kept_however_silent(self):
        """Guards against a majority of fewer than the losses to be borne."""
        assert membership.surplus(voters('abc'), {'c': 99.0}, 1) is None

    def test_a_replaced_voter_goes(self):
        assert membership.surplus(voters('abcd'), {'c': 9.0}, 1) == 'c'

    def test_a_voter_that_paused_briefly_stays(self):
        assert membership.surplus(voters('abcd'), {'c': 1.0}, 1) is None

    def test_a_silent_learner_goes_at_any_time(self):
        members = {**voters('abc'), 'd': raftmembers.Member('x', voter=False)}
        assert membership.surplus(members, {'d': 9.0}, 1) == 'd'

    @hypothesis.given(
        strategies.sets(strategies.sampled_from('abcdefg'), min_size=1),
        strategies.sets(strategies.sampled_from('abcdefg')),
        strategies.integers(0, 3),
    )
    def test_a_removal_leaves_enough_voters_that_answer(
        self, names, silent, tolerated
    ):
        members = voters(names)
        gone = membership.surplus(
            members, dict.fromkeys(silent & names, 9.0), tolerated
        )
        if gone is not None:
            left = set(members) - silent - {gone}
            assert len(left) >= 2 * tolerated + 1


class TestSilenceTracker:
    def test_a_learner_that_was_just_listed_is_not_silent(self):
        """Guards against a new member removed before it could answer."""
        tracker = membership.SilenceTracker()
        progress = {'d': (0, float('-inf'))}
        members = voters('abcd')
        assert tracker.silence(50.0, members, progress) == {'d': 0.0}
        assert tracker.silence(53.0, members, progress) == {'d': 3.0}

    def test_a_new_disk_counts_from_its_own_listing(self):
        tracker = membership.SilenceTracker()
        progress = {'d': (0, float('-inf'))}
        tracker.silence(10.0, voters('d'), progress)
        fresh = {'d': raftmembers.Member('other')}
        assert tracker.silence(90.0, fresh, progress) == {'d': 0.0}
