"""Tests of the directory of targets."""

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import directory
from sassafrasridge_core import model


def announce(
    server, born, sequence, address='10.0.0.1:1', leaving=False, role='replica'
):
    info = model.TargetInfo(
        server, 'g', 'z', address, role, 0, 0, 5, 0, leaving
    )
    return directory.Announcement(info, born, sequence)


class TestDirectory:
    def test_a_late_announcement_of_an_earlier_incarnation_names_nothing(self):
        """Guards against requests to a server that has crashed."""
        found = directory.TargetDirectory(0.0)
        assert found.announce(1.0, announce('new', 200, 1))
        assert not found.announce(2.0, announce('old', 100, 90))
        assert [i.server for i in found.targets()] == ['new']

    def test_restarted_target_may_restart_its_sequence(self):
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 100, 50))
        assert found.announce(2.0, announce('a', 200, 1))
        assert not found.announce(3.0, announce('a', 100, 51))

    def test_outdated_sequence_changes_nothing(self):
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 100, 2, leaving=True))
        assert not found.announce(2.0, announce('a', 100, 1, leaving=False))
        assert found.group('g')['a'].leaving

    def test_target_that_left_is_ignored_until_it_restarts(self):
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 100, 1, leaving=True))
        assert found.leave('a')
        assert not found.announce(2.0, announce('a', 100, 2))
        assert found.announce(3.0, announce('a', 101, 1))

    def test_only_a_leaving_target_leaves(self):
        """Guards against late reports of an earlier process of the name."""
        found = directory.TargetDirectory(0.0)
        for name, leaving in (('a', True), ('b', False)):
            address = f'10.0.0.1:{ord(name)}'
            found.announce(1.0, announce(name, 100, 1, address, leaving))
            found.leave(name)
        assert [found.has_left(name) for name in 'abc'] == [
            True,
            False,
            False,
        ]
        found.announce(2.0, announce('a', 200, 1, '10.0.0.1:97'))
        assert not found.has_left('a')

    def test_only_published_changes_raise_the_revision(self):
        found = directory.TargetDirectory(0.0, 7)
        found.announce(1.0, announce('a', 100, 1))
        revision = found.revision
        found.announce(2.0, announce('a', 100, 2))
        assert found.revision == revision
        found.announce(3.0, announce('a', 100, 3, leaving=True))
        assert found.revision == revision + 1

    def test_a_target_that_answers_entry_processes_stays(self):
        """Guards against a proof without a replica that confirms commits."""
        found = directory.TargetDirectory(0.0)
        found.announce(0.0, announce('a', 100, 1))
        found.announce(0.0, announce('b', 100, 1, address='10.0.0.2:1'))
        assert found.expire(16.0, lambda info: info.server == 'a') == ['b']
        assert found.expire(17.5) == ['a']

    def test_a_target_that_stays_is_not_searched_at_each_renewal(self):
        """Guards against a search of all targets for each renewal."""
        found = directory.TargetDirectory(0.0)
        found.announce(0.0, announce('a', 100, 1))
        asked = []
        for now in (16.0, 16.1, 16.2):
            found.expire(now, lambda info: not asked.append(info))
        assert len(asked) == 1

    def test_new_directory_is_not_complete(self):
        """Guards against a promotion based on an incomplete member list."""
        found = directory.TargetDirectory(10.0)
        assert not found.complete(10.0 + directory.COMPLETE_AFTER_S)
        assert found.complete(10.1 + directory.COMPLETE_AFTER_S)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abc'),
                strategies.integers(0, 3),
                strategies.integers(0, 5),
                strategies.sampled_from(('10.0.0.1:1', '10.0.0.2:1')),
            )
        )
    )
    def test_address_belongs_to_one_target(self, announced):
        found = directory.TargetDirectory(0.0)
        for now, (server, born, sequence, address) in enumerate(announced):
            found.announce(now, announce(server, born, sequence, address))
        addresses = [info.address for info in found.targets()]
        assert len(addresses) == len(set(addresses))


class TestLateDeparture:
    def test_it_does_not_remove_the_next_incarnation(self):
        """Guards against a replica that confirms commits and isn't listed.

        The message that a server leaves arrives after it has started again
        under its name.
        """
        found = directory.TargetDirectory(0.0)
        info = model.TargetInfo(
            'r', 'g', 'z', '10.0.0.1:1', 'replica', 0, 0, 5, 0
        )
        found.announce(1.0, directory.Announcement(info, 100, 7))
        found.announce(2.0, directory.Announcement(info, 200, 1))
        found.leave('r')
        found.announce(3.0, directory.Announcement(info, 200, 2))
        assert 'r' in found.group('g')

    def test_it_does_not_remove_it_twice(self):
        """Guards against a report that arrives more than once."""
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 100, 7, leaving=True))
        assert found.leave('a')
        found.announce(2.0, announce('a', 200, 1))
        assert not found.leave('a')
        assert not found.has_left('a') and 'a' in found.group('g')

    def test_a_leaving_target_that_still_runs_is_listed_again(self):
        """Guards against a late report that meets the next departure.

        A leaving target confirms commits until its end.
        """
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 200, 5, leaving=True))
        found.leave('a')
        assert not found.announce(2.0, announce('a', 200, 6, leaving=True))
        assert found.announce(3.2, announce('a', 200, 7, leaving=True))
        assert not found.has_left('a')

    def test_late_announcements_bring_no_ended_target_back(self):
        """Guards against announcements that a link held up until its end."""
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 200, 5, leaving=True))
        found.leave('a')
        for now, sequence in ((2.0, 6), (2.1, 8), (4.0, 5), (5.0, 6)):
            late = announce('a', 200, sequence, leaving=True)
            assert not found.announce(now, late)
        assert found.has_left('a')

    def test_a_late_announcement_of_a_target_that_left_before(self):
        """Guards against listing it once its successor is gone as well."""
        found = directory.TargetDirectory(0.0)
        found.announce(1.0, announce('a', 100, 5, leaving=True))
        found.leave('a')
        found.announce(2.0, announce('a', 200, 1))
        assert found.expire(18.0) == ['a']
        assert not found.announce(19.0, announce('a', 100, 4))
