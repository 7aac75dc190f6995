"""Tests of failure detection and of the selection of a primary."""

from sassafrasridge_core import model
from sassafrasridge_core import promotion

VIEW = model.GroupView('g', 1, 'a', {'a': '', 'b': '', 'c': ''})


def fenced(server, last_term, received, zone='z'):
    return promotion.FenceReply(server, zone, last_term, received)


class TestChoosePrimary:
    def test_longer_log_wins(self):
        """Guards against losing writes that only one replica received."""
        chosen = promotion.choose_primary(
            VIEW, [fenced('c', 1, 4), fenced('b', 1, 5)], near_zone='z'
        )
        assert chosen.server == 'b'

    def test_later_term_wins_over_longer_log(self):
        """Guards against promoting an unacknowledged tail of an old term."""
        chosen = promotion.choose_primary(
            VIEW, [fenced('c', 1, 9), fenced('b', 2, 5)]
        )
        assert chosen.server == 'b'

    def test_leaving_server_is_chosen_only_when_it_is_ahead(self):
        """Guards against losing writes to avoid a leaving server."""
        servers = [fenced('b', 1, 5), fenced('c', 1, 5)]
        assert promotion.choose_primary(VIEW, servers, {'c'}).server == 'b'
        servers = [fenced('b', 1, 5), fenced('c', 1, 6)]
        assert promotion.choose_primary(VIEW, servers, {'c'}).server == 'c'

    def test_same_server_twice_is_no_majority(self):
        """Guards against counting one answer twice."""
        servers = [fenced('b', 1, 5), fenced('b', 1, 5)]
        assert promotion.choose_primary(VIEW, servers) is None

    def test_server_outside_the_group_is_no_majority(self):
        """Guards against counting a server that is not a member."""
        servers = [fenced('b', 1, 5), fenced('x', 1, 9)]
        assert promotion.choose_primary(VIEW, servers) is None


class TestFailureDetector:
    def setup_method(self):
        self.detector = promotion.FailureDetector(0.8)

    def report(self, observer, at, age, refused_s=0.0):
        info = model.TargetInfo('a', 'g', 'z', '', 'primary', 1, 5, 2, 30)
        self.detector.report(
            observer,
            'g',
            'a',
            promotion.TargetObservation(at, age, age, info, refused_s),
        )

    def test_refused_connections_cause_a_change_before_silence(self):
        """Guards against waiting for a process that has ended.

        Load: writes that arrive while the primary's host refuses connections.
        """
        for observer in ('x', 'y'):
            self.report(observer, 10.0, 0.35, refused_s=0.3)
        self.report('z', 10.0, 0.35)
        assert not self.failed(10.0, 'x', 'y', 'z')
        assert self.failed(10.2, 'x', 'y', 'z')

    def test_one_refused_observer_of_three_causes_no_change(self):
        """Guards against a promotion caused by one link that resets."""
        self.report('x', 10.0, 0.7, refused_s=0.7)
        self.report('y', 10.0, 0.1)
        self.report('z', 10.0, 0.1)
        assert not self.failed(10.2, 'x', 'y', 'z')

    def test_an_answer_ends_the_refusal(self):
        """Guards against replacing a primary that restarted quickly."""
        for observer in ('x', 'y'):
            self.report(observer, 10.0, 0.5, refused_s=0.3)
            self.report(observer, 10.3, 0.05)
        assert not self.failed(10.5, 'x', 'y')

    def failed(self, now, *live):
        return self.detector.failed(now, 'g', 'a', set(live))

    def test_one_observer_of_three_causes_no_change(self):
        """Guards against a promotion caused by one partitioned observer."""
        self.report('x', 10.0, 5.0)
        self.report('y', 10.0, 0.1)
        self.report('z', 10.0, 0.1)
        assert not self.failed(10.0, 'x', 'y', 'z')

    def test_majority_of_observers_causes_a_change(self):
        """Guards against keeping a partitioned primary."""
        self.report('x', 10.0, 0.9)
        self.report('y', 10.0, 0.9)
        self.report('z', 10.0, 0.1)
        assert self.failed(10.0, 'x', 'y', 'z')

    def test_observer_without_a_lease_does_not_count(self):
        """Guards against trusting old reports of a partitioned process."""
        self.report('x', 10.0, 5.0)
        self.report('y', 10.0, 5.0)
        self.report('z', 10.0, 0.1)
        assert not self.failed(10.0, 'z')

    def test_no_observer_causes_no_change(self):
        """Guards against a promotion by a leader without observers."""
        assert not self.failed(10.0)
        self.report('x', 10.0, 5.0)
        assert not self.failed(10.0)

    def test_forgotten_observer_does_not_count(self):
        """Guards against counting an observer that was removed."""
        self.report('x', 10.0, 5.0)
        self.report('y', 10.0, 5.0)
        self.detector.forget('y')
        assert not self.failed(10.0, 'x', 'y')

    def test_observer_that_stopped_watching_is_no_witness(self):
        """Guards against promotions caused by changes of serving sets."""
        for observer in ('w', 'x', 'y', 'z'):
            self.report(observer, 10.0, 0.0)
        for observer in ('x', 'y', 'z'):
            self.detector.drop_unwatched(observer, {('other', 'b')})
        self.report('w', 15.0, 0.0)
        self.detector.drop_unwatched('w', {('g', 'a')})
        assert not self.failed(15.0, 'w', 'x', 'y', 'z')
        assert self.failed(16.0, 'w')

    def test_new_observer_does_not_count_at_once(self):
        """Guards against a promotion because observers have just started."""
        never = promotion.NEVER_HEARD_S
        for observer in ('x', 'y', 'z'):
            self.report(observer, 10.0, never)
        assert not self.failed(10.0, 'x', 'y', 'z')
        for observer in ('x', 'y', 'z'):
            self.report(observer, 10.5, never)
        assert not self.failed(10.7, 'x', 'y', 'z')

    def test_observers_that_never_hear_cause_a_change(self):
        """Guards against waiting forever when all observers are new."""
        never = promotion.NEVER_HEARD_S
        for at in (10.0, 10.5, 11.0):
            for observer in ('x', 'y', 'z'):
                self.report(observer, at, never)
        assert self.failed(11.0, 'x', 'y', 'z')

    def test_targets_are_those_of_the_group(self):
        """Guards against mixing the servers of two groups."""
        self.report('x', 10.0, 0.1)
        other = model.TargetInfo('b', 'h', 'z', '', 'primary', 1, 5, 2, 30)
        self.detector.report(
            'x', 'h', 'b', promotion.TargetObservation(10.0, 0.1, 0.1, other)
        )
        assert [t.server for t in self.detector.targets('g')] == ['a']
        assert [t.server for t in self.detector.targets('h')] == ['b']
        assert self.detector.groups() == {'g', 'h'}
        assert not self.detector.targets('unknown')
