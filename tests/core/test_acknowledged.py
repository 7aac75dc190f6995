"""Tests of the reports of acknowledged commits."""

import pytest

from sassafrasridge_core import acknowledged
from sassafrasridge_core import errors
from sassafrasridge_core import model


def at(term, index):
    return {'g': model.Position(term, index)}


def view(primary, log_term, changing=False):
    return model.GroupView(
        'g', 1, primary, log_term=log_term, changing=changing
    )


class TestChangesOfPrimary:
    """Pattern: a member learns commits and views in any order."""

    def setup_method(self):
        self.commits = acknowledged.AcknowledgedCommits()
        self.commits.follow([view('a', 1)])
        self.commits.report(at(1, 7))

    def test_a_change_in_progress_forgets_nothing(self):
        """Guards against a promotion without the commits it must prove."""
        self.commits.follow([view('a', 1, changing=True)])
        assert self.commits.get('g').index == 7

    def test_a_primary_that_is_kept_forgets_nothing(self):
        self.commits.follow([view('a', 3)])
        assert self.commits.get('g').index == 7

    def test_a_replaced_primary_is_forgotten(self):
        """Guards against a wait for commits that were given up."""
        self.commits.follow([view('b', 2)])
        assert self.commits.get('g') is None
        assert not self.commits.changes(0)

    def test_a_late_report_of_a_replaced_primary_is_ignored(self):
        """Guards against the same wait after a message that was held up."""
        self.commits.follow([view('b', 2)])
        self.commits.report(at(1, 8))
        assert self.commits.get('g') is None

    def test_commits_of_the_successor_stay(self):
        """Guards against forgetting what is known before its view."""
        self.commits.report(at(2, 3))
        self.commits.follow([view('b', 2)])
        assert self.commits.get('g').term == 2


class TestChanges:
    def test_only_new_ones_are_returned(self):
        """Guards against sending all groups with every heartbeat."""
        commits = acknowledged.AcknowledgedCommits()
        commits.report({n: model.Position(1, 1) for n in ('a', 'b', 'c')})
        version = commits.version
        commits.report({'a': model.Position(1, 2), 'b': model.Position(1, 1)})
        assert list(commits.changes(version)) == ['a']
        assert set(commits.changes(0)) == {'a', 'b', 'c'}
        assert not commits.changes(commits.version)


class TestEncoding:
    def test_positions_survive(self):
        positions = {'g': model.Position(3, 2**40), 'ü': model.Position(0, 0)}
        encoded = acknowledged.encode(positions)
        assert acknowledged.decode(encoded) == positions

    @pytest.mark.parametrize(
        'data',
        [b'', b'{', b'[]', b'{"g":1}', b'{"g":[1]}', b'{"g":[1,"2"]}']
        + [b'{"g":[1,2,3]}', b'{"g":[-1,2]}', b'{"g":[true,2]}', b'{"g":""}'],
    )
    def test_malformed_data_is_refused(self, data):
        """Guards against a member that ends because of a message."""
        with pytest.raises(errors.BadRequestError):
            acknowledged.decode(data)


class TestCommitCounts:
    def test_counts_of_an_ended_process_remain(self):
        """Guards against a bound that drops when a process starts again."""
        counts = acknowledged.CommitCounts()
        counts.report('e1#1', {'g': (2, 7)})
        counts.report('e1#2', {'g': (2, 1)})
        assert counts.total('g', 2) == 8

    def test_a_report_that_arrives_late_lowers_nothing(self):
        counts = acknowledged.CommitCounts()
        counts.report('e1#1', {'g': (2, 7)})
        counts.report('e1#1', {'g': (2, 5)})
        assert counts.total('g', 2) == 7

    def test_commits_of_an_earlier_term_are_not_counted(self):
        """Guards against waiting for commits that don't exist."""
        counts = acknowledged.CommitCounts()
        counts.report('e1#1', {'g': (2, 7)})
        counts.report('e1#1', {'g': (3, 1)})
        counts.report('e2#1', {'g': (2, 4)})
        assert (counts.total('g', 2), counts.total('g', 3)) == (0, 1)
