"""Tests of changes that promote a target which is leaving, in virtual time.

The groups, entry processes and links are those of the promotion fuzz test.
"""

import pytest

from sassafrasridge_core import model
from sassafrasridge_node import grouporders
from sassafrasridge_node import successors
from tests.node import simulatedgroup
from tests.node import test_promotion_fuzz

# Targets by their place in the order of names.
A, B, C = range(3)
LONG_S = 60.0


class Scenario:
    """A group whose replica b is the furthest when primary a crashes.

    Replica c is cut off from a before that, and receives the commits of the
    next primary ``lag_s`` later.
    """

    def __init__(self, lag_s=1.0):
        self.machine = test_promotion_fuzz.PromotionMachine()
        self.group = self.machine.group
        self.control = self.machine.control
        # Primaries of the views that were published, in sequence.
        self.published = []
        self.control.store.on_commit = self.record
        self.machine.set_lag(after_s=1.0, index=C, lag_s=lag_s)

    def record(self, view):
        if not view.changing and view.primary not in self.published[-1:]:
            self.published.append(view.primary)

    def target(self, name):
        return self.group.targets[name]

    @property
    def view(self):
        return self.control.store.views[simulatedgroup.GROUP]

    def leave(self, index=B, seconds=LONG_S):
        self.machine.leave(
            after_s=0.3, index=index, seconds=seconds, start_s=0.5
        )

    def crash_primary(self, after_s=0.0):
        self.machine.cut_target(
            after_s=0.5, index=C, peer='primary', seconds=LONG_S
        )
        self.machine.crash_primary(after_s=after_s, seconds=LONG_S)

    def advance_until(self, condition, seconds):
        """Let time pass until a condition holds; fail if it never does."""
        end = self.machine.loop.time() + seconds
        while not condition():
            assert self.machine.loop.time() < end, self.history()
            self.machine.advance(0.01)

    def advance(self, seconds):
        self.machine.advance(seconds)

    def history(self):
        return self.machine.history.text()

    def check(self):
        self.machine.no_commit_was_lost()
        self.machine.orders_in_flight_are_recorded()


@pytest.fixture
def scenario():
    scenario = Scenario()
    yield scenario
    scenario.machine.teardown()


class TestLeavingTarget:
    """Pattern: only a leaving replica has the last commits of its group."""

    def test_only_its_successor_is_published(self, scenario):
        """Guards against requests at a target that said that it leaves."""
        scenario.leave()
        scenario.crash_primary(after_s=6.0)
        assert scenario.target('b').term > 1, scenario.history()
        assert scenario.published == ['c'], scenario.history()
        scenario.check()

    def test_the_group_changes_once(self, scenario):
        """Guards against statements that wait for two changes in turn."""
        scenario.leave()
        changing = []
        scenario.control.store.on_commit = lambda view: changing.append(
            view.changing
        )
        scenario.crash_primary(after_s=6.0)
        assert scenario.view.primary == 'c'
        ends = [known for known in changing if not known]
        assert len(ends) == 1
        scenario.check()

    def test_a_former_primary_that_returns_does_not_lead(self, scenario):
        """Guards against its term, which the withheld target has ended."""
        scenario.leave()
        a = scenario.target('a')
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.machine.cut_target(
            after_s=0.0, index=A, peer='primary', seconds=5.0
        )
        scenario.machine.restart(a)
        a.primary = True
        scenario.advance(4.0)
        assert scenario.published in (['a'], ['c']), scenario.history()
        assert scenario.group.leading.term == 3, scenario.history()
        scenario.check()

    def test_it_ends_before_its_successor_has_caught_up(self, scenario):
        """Guards against commits that only the next server there has."""
        scenario.machine.set_lag(after_s=1.0, index=C, lag_s=5.0)
        scenario.leave(seconds=3.5)
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.advance(6.0)
        assert 'b' not in scenario.group.targets
        assert scenario.published, scenario.history()
        assert 'b' not in scenario.published, scenario.history()
        scenario.check()


class TestLostLeader:
    """Pattern: the control leader is lost between the two promotions."""

    # Time from the first promotion, which is recorded as withheld by then,
    # until the leader is lost.
    @pytest.mark.parametrize('after_s', [0.4, 0.8, 1.1, 1.4, 1.7])
    @pytest.mark.parametrize('lands', [False, True])
    def test_the_next_one_goes_on(self, scenario, after_s, lands):
        """Guards against publishing the leaving target, or the former one."""
        scenario.leave()
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.advance(after_s)
        scenario.machine.change_leader(gap_s=0.3, lands=lands)
        scenario.advance(6.0)
        assert scenario.published == ['c'], scenario.history()
        scenario.check()


class TestLackingSuccessor:
    """Pattern: no target can replace a leaving one that has to lead."""

    def test_the_only_target_left_is_published_at_once(self, scenario):
        """Guards against a group without a primary for nothing."""
        scenario.leave()
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.machine.cut_target(
            after_s=1.0, index=C, peer='control', seconds=LONG_S
        )
        assert scenario.published == ['b'], scenario.history()
        scenario.check()

    def test_one_that_never_catches_up_is_not_waited_for(self, scenario):
        """Guards against a group without a primary for good."""
        scenario.leave()
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.machine.cut_target(
            after_s=0.0, index=C, peer='primary', seconds=LONG_S
        )
        scenario.advance(successors.MAX_WITHHELD_S + 0.5)
        assert scenario.published == ['b'], scenario.history()
        assert not scenario.view.changing
        scenario.check()

    def test_it_serves_until_one_has_caught_up(self, scenario):
        """Guards against a step-down after which nobody may be promoted."""
        scenario.leave()
        scenario.crash_primary()
        scenario.advance_until(lambda: scenario.target('b').primary, 5.0)
        scenario.machine.cut_target(
            after_s=0.0, index=C, peer='primary', seconds=20.0
        )
        scenario.advance(19.0)
        assert scenario.target('b').primary, scenario.history()
        assert scenario.published == ['b'], scenario.history()
        scenario.advance(8.0)
        assert scenario.published == ['b', 'c'], scenario.history()
        scenario.check()


class TestLeavingPrimary:
    """Pattern: a primary leaves while one replica is dark and one is behind.

    After it has stepped down, no replica provably has every commit.
    """

    def leave(self, scenario, behind_s):
        scenario.machine.crash(after_s=0.5, index=B, seconds=LONG_S)
        scenario.machine.cut_target(
            after_s=0.5, index=C, peer='primary', seconds=behind_s
        )
        scenario.leave(index=A)

    def test_it_leads_until_a_replica_has_caught_up(self, scenario):
        """Guards against a group without a primary until the other is back.

        The replica is behind for longer than statements wait.
        """
        self.leave(scenario, behind_s=7.0)
        scenario.advance(5.0)
        assert scenario.target('a').primary, scenario.history()
        scenario.advance(6.0)
        assert scenario.published[-1:] == ['c'], scenario.history()
        scenario.check()

    def test_one_that_catches_up_soon_takes_over(self, scenario):
        """Guards against keeping a leaving primary without need."""
        self.leave(scenario, behind_s=0.9)
        scenario.advance(4.0)
        assert scenario.published[-1:] == ['c'], scenario.history()
        scenario.check()


class TestDrainedZone:
    """Pattern: only a replica of a drained zone has the last commits."""

    def test_only_its_successor_is_published(self, scenario):
        """Guards against a view whose primary nobody may use."""
        b = scenario.target('b')
        scenario.control.store.drained = frozenset([b.zone])
        scenario.crash_primary(after_s=6.0)
        assert b.term > 1, scenario.history()
        assert scenario.published == ['c'], scenario.history()
        scenario.check()

    def test_it_is_published_once_its_zone_is_in_use(self, scenario):
        """Guards against waiting for a successor that isn't needed."""
        b = scenario.target('b')
        scenario.control.store.drained = frozenset([b.zone])
        scenario.machine.set_lag(after_s=1.0, index=C, lag_s=30.0)
        scenario.crash_primary()
        scenario.advance_until(lambda: b.primary, 5.0)
        scenario.advance(0.5)
        assert scenario.published == []
        scenario.control.store.drained = frozenset()
        scenario.advance(0.5)
        assert scenario.published == ['b'], scenario.history()
        scenario.check()


class TestUnansweredOrder:
    """Pattern: a leaving target leads, and an earlier order may still come."""

    def test_it_is_published(self, scenario):
        """Guards against promoting another target before the order ends."""
        scenario.leave()
        scenario.machine.disturb_platform(
            after_s=0.0, seconds=3.0, fate='unanswered', delay_s=0.3
        )
        scenario.crash_primary(after_s=6.0)
        order = scenario.view.promotion
        assert isinstance(order, model.PromotionOrder), scenario.history()
        assert scenario.published == ['b'], scenario.history()
        scenario.check()


class TestFound:
    """Statuses of targets that may or may not replace a primary."""

    def test_the_primary_is_not_its_own_successor(self):
        """Guards against a step-down once its zone is in use again."""
        info = model.TargetInfo('a', 'g', 'z', '10.0.0.1:1', '', 0, 0, 5, 0)
        status = grouporders.ServerStatus(
            'a', True, 2, 0, model.Position(1, 9)
        )
        found = successors.Successors(
            None, None, lambda now, info: False, lambda info: True
        )
        assert not found.found({'a': info}, status, [status])
