"""Tests of the shared data types."""

from sassafrasridge_core import model


class TestPosition:
    def test_later_term_is_higher_than_any_index(self):
        """Guards against preferring a long log of an older term."""
        assert model.Position(2, 1) > model.Position(1, 1000)


class TestGroupView:
    def test_majority_of_three_is_two(self):
        """Guards against counting a lone server as a majority."""
        view = model.GroupView('g', members={'a': '', 'b': '', 'c': ''})
        assert view.majority() == 2
