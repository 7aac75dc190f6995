"""Tests of the automatic removal of silent members."""

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import membership
from sassafrasridge_core import raftmembers


def voters(names):
    return {name: raftmembers.Member(f'disk-{name}') for name in names}


class TestSurplus:
    def test_voter_that_is_needed_is_kept(self):
        """Guards against tolerating fewer losses after a removal."""
        assert membership.surplus(voters('abc'), {'c': 99.0}, 1) is None

    def test_surplus_voter_is_removed(self):
        assert membership.surplus(voters('abcd'), {'c': 9.0}, 1) == 'c'

    def test_briefly_paused_voter_is_kept(self):
        assert membership.surplus(voters('abcd'), {'c': 1.0}, 1) is None

    def test_silent_learner_is_always_removed(self):
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
        removed = membership.surplus(
            members, dict.fromkeys(silent & names, 9.0), tolerated
        )
        if removed is not None:
            responding = set(members) - silent - {removed}
            assert len(responding) >= 2 * tolerated + 1


class TestSilenceTracker:
    def test_silence_starts_when_the_member_is_first_listed(self):
        """Guards against removing a new member before it can respond."""
        tracker = membership.SilenceTracker()
        progress = {'d': (0, float('-inf'))}
        members = voters('abcd')
        assert tracker.silence(50.0, members, progress) == {'d': 0.0}
        assert tracker.silence(53.0, members, progress) == {'d': 3.0}

    def test_silence_restarts_for_a_new_disk(self):
        tracker = membership.SilenceTracker()
        progress = {'d': (0, float('-inf'))}
        tracker.silence(10.0, voters('d'), progress)
        fresh = {'d': raftmembers.Member('other')}
        assert tracker.silence(90.0, fresh, progress) == {'d': 0.0}
