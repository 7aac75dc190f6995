"""Tests of the commit that a replica must have to be promoted."""

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_node import codec
from sassafrasridge_node import grouporders
from sassafrasridge_node import requiredcommits
from sassafrasridge_node import rpc
from tests.node import test_sessionfront as front

Position = model.Position


class TestLastKnown:
    def last_known(self, view, reported=None, **counts):
        table = leases.LeaseTable(leases.LeaseTimes(), 0.0)
        if reported is not None:
            table.report_acknowledged({'g': reported})
        for name, count in counts.items():
            table.report_counts(name, {'g': count})
        return requiredcommits.RequiredCommits(table).last_known(view)

    def view(self, **fields):
        return model.GroupView('g', 5, 'a', **fields)

    def test_counted_commits_follow_the_start_of_their_term(self):
        """Guards against a bound that ignores concurrent commits."""
        view = self.view(log_term=2, starts={2: 40})
        found = self.last_known(view, Position(2, 43), e1=(2, 3), e2=(2, 4))
        assert found == Position(2, 47)

    def test_a_reported_commit_beyond_the_counted_ones(self):
        """Guards against losing sight of it when answers were lost."""
        view = self.view(log_term=2, starts={2: 40})
        found = self.last_known(view, Position(2, 60), e1=(2, 3))
        assert found == Position(2, 60)

    def test_the_first_commit_of_a_term_counts(self):
        """Guards against losing it: its position before is unknown."""
        view = self.view(log_term=2, starts={2: 40})
        assert self.last_known(view, e1=(2, 1)) == Position(2, 41)

    def test_without_the_start_of_the_term_nothing_is_counted(self):
        """Guards against waiting for a position that nobody has."""
        found = self.last_known(self.view(log_term=2), None, e1=(2, 9))
        assert found is None

    def test_counts_of_another_term_are_not_used(self):
        view = self.view(log_term=3, starts={3: 40})
        assert self.last_known(view, None, e1=(2, 9)) is None


class TestFollowLog:
    def status(self, server, term, index):
        return grouporders.ServerStatus(
            server, True, term, 0, Position(term - 1, index)
        )

    def test_the_term_of_a_promoted_target_starts_at_its_log(self):
        view = model.GroupView('g', 5, 'a', log_term=1, starts={1: 3})
        found = requiredcommits.follow_log(view, self.status('b', 2, 40))
        assert (found.log_term, found.starts) == (2, {2: 40})

    def test_the_start_of_a_term_in_use_is_kept(self):
        """Guards against counting commits from before a later start."""
        view = model.GroupView('g', 5, 'b', log_term=2, starts={2: 40})
        found = requiredcommits.follow_log(view, self.status('b', 2, 90))
        assert found.starts == {2: 40}

    def test_a_former_primary_that_is_promoted_again_begins_a_term(self):
        """Guards against a term in which nothing is counted."""
        view = model.GroupView('g', 5, 'a', log_term=1, starts={1: 3})
        found = requiredcommits.follow_log(view, self.status('a', 2, 84))
        assert (found.log_term, found.starts) == (2, {2: 84})

    def test_a_primary_in_use_gets_no_start(self):
        """Guards against the same with a record of an earlier build."""
        view = model.GroupView('g', 5, 'b')
        found = requiredcommits.follow_log(view, self.status('b', 2, 90))
        assert (found.log_term, found.starts) == (2, {})


class TestReports:
    def test_each_acknowledged_commit_is_counted_once(self):
        process = front.EntryProcess()
        process.targets['p'].position = Position(2, 10)
        process.run(front.read(), front.write(), front.write())
        assert process.state.commit_counts == {'g': (2, 2)}

    def test_a_new_term_begins_at_zero(self):
        process = front.EntryProcess()
        process.run(front.write(), front.write())
        process.targets['p'].position = Position(2, 11)
        process.run(front.write())
        assert process.state.commit_counts == {'g': (2, 1)}

    def test_counts_are_sent_with_and_without_a_position(self):
        records = codec.acknowledged_to_wire(
            {'g': Position(2, 9)}, {'g': (2, 3), 'h': (4, 1)}
        )
        assert codec.acknowledged_from_wire(records) == {
            'g': Position(2, 9),
            'h': Position(4, 0),
        }
        assert codec.commit_counts_from_wire(records) == {
            'g': (2, 3),
            'h': (4, 1),
        }

    def test_a_report_of_an_earlier_build_has_no_counts(self):
        record = rpc.idl.AcknowledgedCommit(group='g', term=2, index=9)
        assert codec.commit_counts_from_wire([record]) == {}
