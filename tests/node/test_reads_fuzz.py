"""Stateful test of reads: none misses a commit that it must see.

A read must see every commit that was acknowledged before it began, except on
routes that accept old data: there, those that were acknowledged more than the
maximum age before, and the last one of its own session. Commits that a
promotion rolled back don't count.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.node import simulatedreads
from tests.node import test_promotion_fuzz as promotions

TARGETS, SECONDS, event = (
    promotions.TARGETS,
    promotions.SECONDS,
    promotions.event,
)
DELAYS = st.sampled_from([0.0, 0.1, 0.7, 1.5, 2.7, 4.0])


class ReadsMachine(promotions.PromotionMachine):
    """Guards against reads on logs that lack acknowledged commits."""

    loop_type = simulatedreads.FreezingLoop
    group_type = simulatedreads.ReadGroup
    entry_type = simulatedreads.ReadingEntry

    @event(index=TARGETS, lag_s=DELAYS)
    def set_apply_lag(self, index, lag_s):
        self.apply_after(self.pick(index), lag_s)

    def apply_after(self, target, lag_s):
        self.history.add(f'{target.name} applies commits after {lag_s}')
        target.apply_lag_s = lag_s

    @event(index=TARGETS, request_s=DELAYS, answer_s=DELAYS)
    def delay_statements(self, index, request_s, answer_s):
        target = self.pick(index)
        self.history.add(
            f'statements reach {target.name} after {request_s}, its answers'
            f' arrive after {answer_s}'
        )
        target.request_delay_s, target.answer_delay_s = request_s, answer_s

    @event(index=TARGETS)
    def break_connections(self, index):
        target = self.pick(index)
        self.history.add(f'connections to {target.name} break')
        self.group.break_connections(target)

    @event(index=st.sampled_from(range(3)), lag_s=DELAYS)
    def move_route(self, index, lag_s):
        """Move the route of a session away and back while replicas lag."""
        for target in self.group.targets.values():
            self.apply_after(target, lag_s)
        entry = self.entries[index]
        self.history.add(f'the route of a session of {entry.name} moves')
        entry.write_across_move()

    @event(
        indices=st.sets(st.sampled_from(range(3)), min_size=1),
        seconds=SECONDS,
    )
    def freeze_entries(self, indices, seconds):
        for index in sorted(indices):
            entry = self.entries[index]
            if entry.running:
                self.history.add(f'{entry.holder.name} freezes for {seconds}')
                entry.freeze(seconds)

    @event(
        index=TARGETS,
        lags_s=st.lists(DELAYS, min_size=4, max_size=4),
        answer_s=DELAYS,
        seconds=SECONDS,
        leaves=st.booleans(),
    )
    def replace_primary_while_answers_are_late(
        self, index, lags_s, answer_s, seconds, leaves
    ):
        for other, lag_s in enumerate(lags_s):
            self.apply_after(self.pick(other), lag_s)
        self.advance(4.0)
        target = self.pick(index)
        self.history.add(f'answers of {target.name} take {answer_s}')
        target.answer_delay_s = answer_s
        if leaves:
            self.leave_in(self.group.leading, seconds, seconds)
        else:
            self.crash_for(self.group.leading, seconds)

    @stateful.invariant()
    def no_read_missed_a_commit(self):
        found = self.group.stale_reads
        assert not found, f'{found[0]}\n{self.history.text()}'

    def teardown(self):
        for entry in self.entries:
            entry.kill()
        super().teardown()


class LostLogsMachine(ReadsMachine):
    """Guards against reads at targets that started again without a log.

    Commits are lost together with the logs of several targets.
    """

    @event(index=TARGETS, seconds=SECONDS)
    def lose_log(self, index, seconds):
        self.lose_log_of(self.pick(index), seconds)

    @event(seconds=SECONDS)
    def lose_log_of_primary(self, seconds):
        self.lose_log_of(self.group.leading, seconds)

    def lose_log_of(self, target, seconds):
        if target.running:
            self.crash_for(target, seconds)
            self.group.lose_log(target)

    def no_commit_was_lost(self):
        """Check nothing; see the other machines."""


# Shrinking an example that fails takes minutes.
TestReadsMachine = pytest.mark.timeout(600)(ReadsMachine.TestCase)
TestReadsMachine.settings = hypothesis.settings(
    max_examples=10, stateful_step_count=20
)

TestLostLogsMachine = pytest.mark.timeout(600)(LostLogsMachine.TestCase)
TestLostLogsMachine.settings = hypothesis.settings(
    max_examples=10,
    stateful_step_count=20,
    phases=[hypothesis.Phase.generate],
)


@pytest.fixture
def machine():
    """Return a machine that ends after its test."""
    machine = LostLogsMachine()
    yield machine
    machine.teardown()


class TestTraces:
    """Sequences of events after which reads could miss commits."""

    def test_answers_of_a_promoted_replica_from_before(self, machine):
        """Guards against a floor that the new primary reached as a replica."""
        other, promoted = 1, 2
        machine.set_lag(after_s=0.0, index=other, lag_s=0.5)
        machine.set_apply_lag(after_s=0.0, index=promoted, lag_s=1.5)
        machine.set_apply_lag(after_s=4.0, index=other, lag_s=2.7)
        machine.delay_statements(
            after_s=0.0, index=promoted, request_s=0.0, answer_s=1.5
        )
        machine.leave_primary(after_s=4.0, seconds=2.0, start_s=0.7)
        assert machine.group.leading.name == 'c'
        machine.no_read_missed_a_commit()

    def test_commits_that_are_on_their_way_together(self, machine):
        """Guards against a bound that is too low by concurrent commits."""
        machine.advance(2.0)
        only_there = machine.crash_while_an_unlisted_replica_is_ahead()
        assert not machine.history.violations, machine.history.text()
        assert only_there
        assert not any(c.acknowledged_at for c in only_there)

    def test_answers_that_were_lost_earlier_in_the_term(self, machine):
        """Guards against a bound that is too low by their commits."""
        machine.lose_answers_of_primary(after_s=4.0, seconds=2.0)
        assert machine.crash_while_an_unlisted_replica_is_ahead()
        assert not machine.history.violations, machine.history.text()

    def test_commits_whose_answers_were_lost(self, machine):
        """Guards against a bound that is too low by those commits."""
        machine.advance(2.0)
        others = machine.group.running()
        machine.links.cut(machine.group.join().name, 'announcements', 5.0)
        machine.advance(0.3)
        first, *later = machine.entries
        first.write()
        first.write()
        machine.loop.advance(0.007)
        machine.stop_replication(others, 9.0)
        machine.links.cut(first.name, 'a', 9.0)
        for entry in later:
            entry.write()
        machine.loop.advance(0.3)
        machine.crash(after_s=7.0, index=0, seconds=9.0)
        assert not machine.history.violations, machine.history.text()

    @pytest.mark.parametrize('index', range(3))
    def test_a_route_that_moves_to_another_group_and_returns(
        self, machine, index
    ):
        """Guards against a session that loses sight of its own write."""
        machine.advance(2.0)
        machine.move_route(after_s=1.0, index=index, lag_s=4.0)
        machine.no_read_missed_a_commit()

    def test_a_primary_that_lost_its_log_during_its_change(self, machine):
        """Guards against keeping it: processes know no position then."""
        machine.advance(2.0)
        machine.crash(after_s=0.0, index=2, seconds=5.0)
        machine.lose_log_of_primary(after_s=9.0, seconds=2.0)
        machine.no_read_missed_a_commit()
        assert machine.group.leading.name == 'b'

    def test_processes_that_start_again_together_with_their_primary(
        self, machine
    ):
        """Guards against reads where no process knows a position."""
        machine.advance(2.0)
        for index in range(len(machine.entries)):
            machine.kill_entry(after_s=0.0, index=index, seconds=0.2)
        machine.lose_log_of_primary(after_s=2.0, seconds=0.2)
        machine.no_read_missed_a_commit()
