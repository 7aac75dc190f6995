"""Tests of the log positions that a session's reads must cover."""

from sassafrasridge_core import model
from sassafrasridge_core import ownwrites


class TestOwnWrites:
    def test_a_group_keeps_its_position_beside_writes_in_others(self):
        """Guards against comparing positions of the logs of two groups."""
        writes = ownwrites.OwnWrites()
        writes.record('g', model.Position(4, 20))
        writes.record('h', model.Position(1, 3))
        assert writes.position('g') == model.Position(4, 20)
        assert writes.position('h') == model.Position(1, 3)

    def test_a_position_of_a_log_that_began_anew_replaces_the_last(self):
        """Guards against requiring a position that its log never reaches."""
        writes = ownwrites.OwnWrites()
        writes.record('g', model.Position(4, 20))
        writes.record('g', model.Position(1, 3))
        assert writes.position('g') == model.Position(1, 3)

    def test_groups_beyond_the_limit_are_not_taken_for_unwritten(self):
        """Guards against a replica read after a write that was dropped."""
        writes = ownwrites.OwnWrites()
        names = [f'g{n}' for n in range(ownwrites.MAX_GROUPS + 1)]
        for name in names:
            writes.record(name, model.Position(1, 1))
        assert [n for n in names if not writes.known(n)] == ['g0']
        assert not writes.known('never written')

    def test_the_group_that_was_written_longest_ago_is_dropped(self):
        writes = ownwrites.OwnWrites()
        for number in range(ownwrites.MAX_GROUPS):
            writes.record(f'g{number}', model.Position(1, 1))
        writes.record('g0', model.Position(1, 2))
        writes.record('other', model.Position(1, 1))
        assert writes.known('g0') and not writes.known('g1')

    def test_a_write_without_a_position_is_not_taken_for_none(self):
        """Guards against a replica read after a write of unknown position."""
        writes = ownwrites.OwnWrites()
        writes.record('g', model.Position(1, 2))
        writes.record('g', None)
        assert not writes.known('g') and writes.known('h')

    def test_a_write_of_unknown_group_keeps_higher_positions(self):
        writes = ownwrites.OwnWrites()
        writes.record('g', model.Position(4, 20))
        writes.record_unattributed('g', model.Position(1, 3))
        assert writes.position('g') == model.Position(4, 20)
        assert not writes.known('h')
