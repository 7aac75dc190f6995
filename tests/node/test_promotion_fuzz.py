"""Stateful test of changes of primary: no acknowledged commit is lost.

Not checked, because docs/testing.md lists it as not proved: a commit that an
entry process acknowledged at most one renewal interval before it was cut off,
or after that under its last lease, and that no leader was told of, if only the
former primary, which doesn't answer, and targets that the leader doesn't list
hold it. Not simulated: orders that take effect later than
``pendingorders.MAX_ORDER_DELAY_S``, and targets that lose their log or are
silent for so long that the directory drops them.
"""

import asyncio
import functools
import itertools
import math

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_testkit import virtualtime
from tests.node import simulatedgroup

ENTRIES = ('e1', 'e2', 'e3')
# Longest interval between two writes while time passes.
WRITE_INTERVAL_S = 0.1
# Targets by their place in the order of names.
TARGETS = st.integers(0, 3)
# Durations of disturbances.
SECONDS = st.sampled_from([0.2, 0.7, 2.0, 5.0, 9.0])
ORDERS = st.sampled_from(['pause', 'resume', 'step_down'])
# Time that passes after an event.
PAUSES = st.sampled_from([0.02, 0.3, 1.0, 4.0])


def event(**arguments):
    """Make a method a rule that lets some time pass after the event."""

    def decorate(method):
        @functools.wraps(method)
        def run(self, after_s, **values):
            method(self, **values)
            self.advance(after_s)

        return stateful.rule(after_s=PAUSES, **arguments)(run)

    return decorate


class PromotionMachine(stateful.RuleBasedStateMachine):
    """Guards against promoting a target that lacks an acknowledged commit.

    Also guards against acknowledging commits of a primary after another
    target was promoted, and against publishing a leaving target as the primary
    while another one could lead.
    """

    loop_type = virtualtime.VirtualTimeLoop
    group_type = simulatedgroup.ReplicatedGroup
    entry_type = simulatedgroup.Entry

    def __init__(self):
        super().__init__()
        self.loop = self.loop_type()
        asyncio.set_event_loop(self.loop)
        self.loop_errors = []
        self.loop.set_exception_handler(
            lambda _, c: self.loop_errors.append(c)
        )
        self.history = simulatedgroup.History(self.loop)
        self.boottime, clocks.boottime = clocks.boottime, self.loop.time
        self.log_event, logs.log_event = (
            logs.log_event,
            self.history.log_event,
        )
        self.links = simulatedgroup.Links(self.loop)
        self.group = self.group_type(
            self.loop, self.links, self.history, count=3
        )
        self.fates = simulatedgroup.Fates(self.loop)
        self.control = simulatedgroup.Control(self.group, self.fates)
        self.group.on_role_change = self.announce
        # Since when each target has been reached, and has been able to lead.
        self.reached_since, self.able_since = {}, {}
        self.leaving_since = {}
        self.last_primary = self.group.leading.name
        self.control.store.on_commit = self.check_published
        self.control.elect(self.loop.time() - 100.0)
        self.entries = [
            self.entry_type(name, self.group, self.control) for name in ENTRIES
        ]
        self.turn = 0
        self.foreign_sequence = itertools.count(1)
        # Delays after which announcements arrive once more.
        self.late_announcements = ()
        self.announce_all()
        self.advance(0.4)

    # Announcements.

    def announce_all(self):
        self.loop.call_later(
            simulatedgroup.ANNOUNCE_INTERVAL_S, self.announce_all
        )
        for target in self.group.running():
            self.announce(target)
        for address, name in self.group.foreign.items():
            self.announce_foreign(address, name)

    def announce_foreign(self, address, name):
        # Its number in the order of starts is part of its name.
        born = int(name.removeprefix('foreign'))
        info = model.TargetInfo(
            name, 'h', 'z0', address, 'replica', 0, 0, 5, 0
        )
        self.control.announce(info, born, next(self.foreign_sequence))

    def announce(self, target):
        target.sequence += 1
        reachable = self.links.up(target.name, 'control')
        if not reachable or not self.links.up(target.name, 'announcements'):
            return
        info = model.TargetInfo(
            target.name,
            simulatedgroup.GROUP,
            target.zone,
            target.address,
            'primary' if target.primary else 'replica',
            0,
            0,
            5,
            0,
            target.leaving,
        )
        self.loop.call_later(
            simulatedgroup.NETWORK_DELAY_S,
            self.control.announce,
            info,
            target.born,
            target.sequence,
        )
        for delay_s in self.late_announcements:
            self.loop.call_later(
                delay_s,
                self.control.announce,
                info,
                target.born,
                target.sequence,
            )

    # Rules.

    def pick(self, index):
        """Return one of the targets."""
        names = sorted(self.group.targets)
        return self.group.targets[names[index % len(names)]]

    def advance(self, seconds):
        end = self.loop.time() + seconds
        while self.loop.time() < end - 1e-6:
            self.turn += 1
            self.entries[self.turn % len(self.entries)].write()
            self.loop.advance(min(WRITE_INTERVAL_S, end - self.loop.time()))
            self.track_able()
        assert not self.loop_errors, self.loop_errors

    def track_able(self):
        """Note which targets could replace any other as the primary."""
        now, drained = self.loop.time(), self.control.store.drained
        for target in self.group.targets.values():
            reached = self.is_reached(target)
            able = reached and not target.leaving
            for since, holds in (
                (self.reached_since, reached),
                (self.able_since, able and target.zone not in drained),
            ):
                if holds:
                    since.setdefault(target.name, now)
                else:
                    since.pop(target.name, None)

    def is_reached(self, target):
        """Return whether control and all targets reach a target."""
        leader = self.control.leader
        if leader is None or self.fates.any_active():
            return False
        others = (t for t in self.group.running() if t is not target)
        return (
            target.running
            and target.name in leader.directory.group(simulatedgroup.GROUP)
            and not target.extra_lag_s
            and self.links.up(target.name, 'control')
            and all(self.links.up(target.name, t.name) for t in others)
        )

    def check_published(self, view):
        """Check the primary of a view that is committed."""
        leader, primary = self.control.leader, view.primary
        if view.changing:
            return
        former, self.last_primary = self.last_primary, primary
        info = leader and leader.directory.group(view.group).get(primary)
        if view.promotion is not None or not info or not info.leaving:
            return
        led_at = self.group.led_at
        if self.reached_since.get(primary, math.inf) > led_at:
            return
        # Its announcement may still be under way when it is published.
        if self.leaving_since[primary] > led_at:
            return
        able = [
            name
            for name, since in self.able_since.items()
            if since <= led_at and name in self.group.targets
        ]
        if able and primary != former:
            self.history.violation(
                f'{primary} is leaving and published, {able} could lead'
            )

    @stateful.rule(seconds=PAUSES)
    def wait(self, seconds):
        self.advance(seconds)

    @stateful.rule(gap_s=st.sampled_from([0.3, 1.0, 3.0]), lands=st.booleans())
    def change_leader(self, gap_s, lands):
        self.control.end_leadership(commit_lands=lands)
        self.advance(gap_s)
        self.control.elect()

    @event(seconds=SECONDS)
    def crash_primary(self, seconds):
        self.crash_for(self.group.leading, seconds)

    @event(index=TARGETS, seconds=SECONDS)
    def crash(self, index, seconds):
        self.crash_for(self.pick(index), seconds)

    @event(
        gap_s=st.sampled_from([0.0, 0.012, 0.05]),
        seconds=SECONDS,
        silent_s=SECONDS,
    )
    def crash_primary_during_writes(self, gap_s, seconds, silent_s):
        """Crash it while commits of several processes are on their way.

        A new replica that control doesn't know yet receives all of them, the
        others only the first ones.
        """
        primary, others = self.group.leading, self.group.running()
        if len(self.group.targets) < 5:
            self.links.cut(self.group.join().name, 'announcements', silent_s)
            self.advance(0.3)
        first, *later = self.entries
        first.write()
        self.loop.advance(gap_s)
        self.stop_replication(others, seconds)
        for entry in later:
            entry.write()
        self.loop.advance(0.3)
        self.crash_for(primary, seconds)

    def crash_while_an_unlisted_replica_is_ahead(self):
        """Crash the primary; return the commits that only the replica had."""
        self.crash_primary_during_writes(
            after_s=0.0, gap_s=0.012, seconds=9.0, silent_s=5.0
        )
        only_there = self.commits_of_unlisted_replica()
        self.advance(7.0)
        return only_there

    def commits_of_unlisted_replica(self):
        """Return the commits that only the newest target has received."""
        *others, newest = sorted(
            (t for t in self.group.running()), key=lambda t: t.born
        )
        return [
            c for c in newest.log if not any(c.is_in(t.log) for t in others)
        ]

    @event(seconds=SECONDS)
    def lose_answers_of_primary(self, seconds):
        """Lose most answers to writes that it has run."""
        self.lose_answers(self.group.leading, seconds)

    def lose_answers(self, target, seconds):
        self.history.add(f'{target.name} loses answers for {seconds}')
        target.loses_answers_until = self.loop.time() + seconds

    def stop_replication(self, targets, seconds):
        """Let targets receive what there is, and nothing for some time."""
        primary = self.group.leading
        for target in targets:
            if target is not primary:
                self.group.touch_now(target)
                self.links.cut(target.name, primary.name, seconds)

    def crash_for(self, target, seconds):
        if target.running:
            self.group.crash(target)
            self.loop.call_later(seconds, self.restart, target)

    def restart(self, target):
        self.group.restart(target)
        if target.running:
            self.announce(target)

    @event(seconds=SECONDS, start_s=SECONDS)
    def leave_primary(self, seconds, start_s):
        self.leave_in(self.group.leading, seconds, start_s)

    @event(index=TARGETS, seconds=SECONDS, start_s=SECONDS)
    def leave(self, index, seconds, start_s):
        self.leave_in(self.pick(index), seconds, start_s)

    def leave_in(self, target, seconds, start_s):
        if target.running and not target.leaving:
            self.history.add(f'{target.name} leaves in {seconds}')
            target.leaving = True
            self.leaving_since[target.name] = self.loop.time()
            self.announce(target)
            self.loop.call_later(seconds, self.end, target, start_s)

    def end(self, target, start_s):
        if target.name not in self.group.targets:
            return
        successor = self.group.end(target)
        if self.links.up(target.name, 'announcements'):
            self.control.leave(target.name)
        self.loop.call_later(start_s, self.restart, successor)

    @event(
        index=TARGETS,
        seconds=SECONDS,
        start_s=SECONDS,
        late_s=st.sets(st.sampled_from([0.0, 1.0, 2.5, 6.0]), max_size=2),
    )
    def restart_under_its_name(self, index, seconds, start_s, late_s):
        """Let a target leave and start again, with its log.

        Its report that it has left arrives after each of the given delays.
        """
        target = self.pick(index)
        if target.running and not target.leaving:
            self.history.add(
                f'{target.name} leaves in {seconds}, starts again after'
                f' {start_s}, its end is reported after {sorted(late_s)}'
            )
            target.leaving = True
            self.leaving_since[target.name] = self.loop.time()
            self.announce(target)
            self.loop.call_later(
                seconds, self.stop_and_restart, target, start_s, sorted(late_s)
            )

    def stop_and_restart(self, target, start_s, late_s):
        if target.name not in self.group.targets:
            return
        if target.running:
            self.group.crash(target)
        target.leaving = False
        for delay_s in late_s:
            self.loop.call_later(delay_s, self.control.leave, target.name)
        self.loop.call_later(start_s, self.restart, target)

    @event(index=TARGETS, start_s=SECONDS)
    def replace(self, index, start_s):
        self.replace_by_successor(self.pick(index), start_s)

    @event(start_s=SECONDS)
    def replace_ordered(self, start_s):
        order = self.control.store.views[simulatedgroup.GROUP].promotion
        if order is not None and order.server in self.group.targets:
            target = self.group.targets[order.server]
            self.replace_by_successor(target, start_s)

    def replace_by_successor(self, target, start_s):
        """Crash a target that another one follows, with role and log."""
        if target.running:
            self.group.crash(target)
            successor = self.group.end(target, primary=True)
            self.loop.call_later(start_s, self.restart, successor)

    @event(index=TARGETS, start_s=SECONDS, ordered=st.booleans())
    def reuse_address(self, index, start_s, ordered):
        """Replace a target by a server of another group.

        Its successor starts at an address of its own, with its log.
        """
        target = self.pick(index)
        order = self.control.store.views[simulatedgroup.GROUP].promotion
        if ordered and order is not None:
            target = self.group.targets.get(order.server, target)
        if not target.running:
            return
        self.group.crash(target)
        address = f'10.0.2.{target.born}:1'
        successor = self.group.end(target, address=address)
        self.loop.call_later(0.1, self.group.start_foreign, target.address)
        self.loop.call_later(start_s, self.restart, successor)

    @event(late=st.sets(st.sampled_from([0.5, 3.0, 8.0]), max_size=2))
    def repeat_announcements(self, late):
        """Let later announcements arrive again after these delays."""
        self.history.add(f'announcements arrive again after {sorted(late)}')
        self.late_announcements = tuple(sorted(late))

    @event(
        index=TARGETS,
        seconds=SECONDS,
        fate=st.sampled_from(['late', 'lost']),
        delay_s=st.sampled_from([0.1, 0.4]),
    )
    def disturb_connections(self, index, seconds, fate, delay_s):
        name = self.pick(index).name
        self.history.add(f'connect {name}: {fate} {delay_s} for {seconds}')
        self.fates.set('connect', name, seconds, fate, delay_s)

    @event(
        seconds=SECONDS,
        delay_s=st.sampled_from([3.0, 6.0, 10.0]),
        end_s=st.sampled_from([1.2, 1.6, 2.5]),
        start_s=SECONDS,
    )
    def replace_ordered_while_platform_is_late(
        self, seconds, delay_s, end_s, start_s
    ):
        self.history.add(f'platform: late {delay_s} for {seconds}')
        self.fates.set('promote', '', seconds, 'late', delay_s)
        self.crash_for(self.group.leading, seconds)
        self.advance(end_s)
        order = self.control.store.views[simulatedgroup.GROUP].promotion
        if order is not None and order.server in self.group.targets:
            target = self.group.targets[order.server]
            self.replace_by_successor(target, start_s)

    @stateful.precondition(lambda self: len(self.group.targets) < 5)
    @event(silent_s=SECONDS)
    def join(self, silent_s):
        target = self.group.join()
        self.links.cut(target.name, 'announcements', silent_s)

    @event(seconds=SECONDS)
    def drain_zone_of_primary(self, seconds):
        zone = self.group.leading.zone
        self.history.add(f'{zone} is drained for {seconds}')
        self.control.store.drained = frozenset([zone])
        self.loop.call_later(seconds, self.restore_zones)

    def restore_zones(self):
        self.control.store.drained = frozenset()

    @event(
        index=TARGETS,
        peer=st.sampled_from(['announcements', 'control', 'primary']),
        seconds=SECONDS,
    )
    def cut_target(self, index, peer, seconds):
        target = self.pick(index)
        if peer == 'primary':
            peer = self.group.leading.name
        self.history.add(f'{target.name}: no {peer} for {seconds}')
        self.links.cut(target.name, peer, seconds)
        self.loop.call_later(seconds + 0.001, self.group.touch)

    @event(
        entries=st.sets(st.sampled_from(ENTRIES), min_size=1),
        peer=st.sampled_from(['control', 'primary']),
        seconds=SECONDS,
    )
    def cut_entries(self, entries, peer, seconds):
        if peer == 'primary':
            peer = self.group.leading.name
        for entry in self.entries:
            if entry.name in entries:
                self.history.add(f'{entry.name}: no {peer} for {seconds}')
                self.links.cut(entry.name, peer, seconds)
                if peer == 'control':
                    entry.cut_off()

    @event(
        entries=st.sets(st.sampled_from(ENTRIES), min_size=1),
        seconds=SECONDS,
        small_arrive=st.booleans(),
    )
    def lose_replies(self, entries, seconds, small_arrive):
        """Lose replies to renewals, which arrive; all, or only the grants.

        Grants exceed the limit of a message if many changes are missing.
        """
        until = self.loop.time() + seconds
        for entry in self.entries:
            if entry.name in entries:
                kind = 'grants' if small_arrive else 'replies'
                self.history.add(f'{entry.name} gets no {kind} for {seconds}')
                if small_arrive:
                    entry.loses_grants_until = until
                else:
                    entry.loses_replies_until = until
                entry.cut_off()

    @event(index=st.sampled_from(range(3)), seconds=SECONDS)
    def kill_entry(self, index, seconds):
        entry = self.entries[index]
        if entry.running:
            self.history.add(f'{entry.holder.name} is killed')
            entry.kill()
            self.loop.call_later(seconds, entry.start)

    @event(index=TARGETS, lag_s=st.sampled_from([0.0, 0.1, 1.0]))
    def set_lag(self, index, lag_s):
        target = self.pick(index)
        self.history.add(f'{target.name} lags by {lag_s} more')
        target.extra_lag_s = lag_s

    @event(delay_s=st.sampled_from([0.005, 0.2, 1.0]))
    def set_answer_delay(self, delay_s):
        self.history.add(f'answers to writes take {delay_s}')
        self.group.answer_delay_s = delay_s

    @event(
        kind=ORDERS,
        index=TARGETS,
        seconds=SECONDS,
        fate=st.sampled_from(['late', 'lost', 'unanswered']),
        delay_s=st.sampled_from([0.3, 0.8, 2.0, 5.0]),
    )
    def disturb_orders(self, kind, index, seconds, fate, delay_s):
        name = self.pick(index).name
        self.history.add(f'{kind} {name}: {fate} {delay_s} for {seconds}')
        self.fates.set(kind, name, seconds, fate, delay_s)

    @event(
        seconds=SECONDS,
        fate=st.sampled_from(
            ['late', 'effect', 'unanswered', 'refused', 'lost']
        ),
        delay_s=st.sampled_from([0.3, 1.0, 3.0, 6.0, 10.0]),
    )
    def disturb_platform(self, seconds, fate, delay_s):
        if fate == 'effect':
            delay_s = min(delay_s, 1.0)
        self.history.add(f'platform: {fate} {delay_s} for {seconds}')
        self.fates.set('promote', '', seconds, fate, delay_s)

    @event(
        seconds=SECONDS,
        delay_s=st.sampled_from([3.0, 6.0, 10.0]),
        crash_s=SECONDS,
    )
    def crash_primary_while_platform_is_late(self, seconds, delay_s, crash_s):
        self.history.add(f'platform: late {delay_s} for {seconds}')
        self.fates.set('promote', '', seconds, 'late', delay_s)
        self.crash_for(self.group.leading, crash_s)

    # Checks.

    @stateful.invariant()
    def no_commit_was_lost(self):
        found = self.history.violations
        assert not found, f'{found[0]}\n{self.history.text()}'

    @stateful.invariant()
    def orders_in_flight_are_recorded(self):
        # Otherwise another target may lead until the order takes effect.
        order = self.control.store.views[simulatedgroup.GROUP].promotion
        for call in self.group.calls_in_flight:
            recorded = order is not None and order.server == call.server
            assert recorded, f'{call.server}\n{self.history.text()}'

    def teardown(self):
        try:
            self.control.end_leadership(commit_lands=False)
            self.loop.advance(0.0)
        finally:
            clocks.boottime = self.boottime
            logs.log_event = self.log_event
            asyncio.set_event_loop(None)
            self.loop.close()


# Shrinking an example that fails takes up to five minutes.
TestPromotionMachine = pytest.mark.timeout(400)(PromotionMachine.TestCase)
TestPromotionMachine.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=30
)


@pytest.fixture
def machine():
    """Return a machine that ends after its test."""
    machine = PromotionMachine()
    yield machine
    machine.teardown()


class TestTraces:
    """Sequences of events that lost acknowledged commits."""

    def test_an_order_that_takes_effect_after_the_primary_returned(
        self, machine
    ):
        """Guards against going back to the primary while an order is out."""
        machine.crash_primary_while_platform_is_late(
            after_s=4.0, seconds=9.0, delay_s=10.0, crash_s=5.0
        )
        machine.advance(2.0)
        machine.set_lag(after_s=6.0, index=1, lag_s=1.0)
        machine.no_commit_was_lost()

    def test_a_second_order_to_a_target_whose_first_one_is_out(self, machine):
        """Guards against forgetting the first when the second is refused."""
        platform, b = machine.disturb_platform, 1
        machine.crash_primary_while_platform_is_late(
            after_s=6.0, seconds=2.0, delay_s=10.0, crash_s=5.0
        )
        assert machine.group.leading.name == 'b'
        platform(after_s=0.0, seconds=3.0, fate='refused', delay_s=0.0)
        machine.cut_entries(
            after_s=2.65, entries=set(ENTRIES), peer='primary', seconds=5.0
        )
        platform(after_s=0.0, seconds=3.0, fate='effect', delay_s=0.3)
        machine.cut_target(after_s=0.0, index=b, peer='control', seconds=5.0)
        machine.set_lag(after_s=4.0, index=b, lag_s=1.0)
        machine.no_commit_was_lost()

    def test_a_leaving_target_that_alone_has_the_last_commits(self, machine):
        """Guards against publishing it while another target could lead."""
        machine.leave(after_s=1.0, index=1, seconds=9.0, start_s=0.7)
        machine.cut_target(after_s=0.5, index=2, peer='primary', seconds=9.0)
        machine.crash_primary(after_s=4.0, seconds=9.0)
        machine.no_commit_was_lost()

    def test_commits_that_are_on_their_way_together(self, machine):
        """Guards against a bound that is too low by concurrent commits."""
        machine.advance(2.0)
        only_there = machine.crash_while_an_unlisted_replica_is_ahead()
        machine.no_commit_was_lost()
        assert machine.group.leading.name == 'b'
        assert only_there
        assert not any(c.acknowledged_at for c in only_there)

    def test_answers_that_were_lost_earlier_in_the_term(self, machine):
        """Guards against a bound that is too low by their commits."""
        machine.lose_answers_of_primary(after_s=4.0, seconds=2.0)
        assert machine.crash_while_an_unlisted_replica_is_ahead()
        machine.no_commit_was_lost()

    @pytest.mark.parametrize('small_arrive', [False, True])
    def test_a_process_that_gets_no_replies(self, machine, small_arrive):
        """Guards against a change that waits for it without an end."""
        machine.advance(2.0)
        machine.lose_replies(
            after_s=0.5,
            entries={'e1'},
            seconds=60.0,
            small_arrive=small_arrive,
        )
        machine.crash_primary(after_s=9.0, seconds=30.0)
        views = machine.control.store.views
        assert not views[simulatedgroup.GROUP].changing
        assert machine.group.leading.name != 'a'
        machine.no_commit_was_lost()

    def test_a_late_departure_of_a_replica_that_runs_again(self, machine):
        """Guards against a running replica that control doesn't list."""
        again, other = 1, 2
        machine.restart_under_its_name(
            after_s=5.0, index=again, seconds=2.0, start_s=0.2, late_s={2.5}
        )
        machine.cut_target(
            after_s=1.5, index=other, peer='primary', seconds=6.0
        )
        machine.crash_primary(after_s=9.0, seconds=30.0)
        assert machine.group.leading.name == 'b'
        machine.advance(12.0)
        machine.no_commit_was_lost()

    def test_a_report_to_a_leader_that_ended(self, machine):
        """Guards against losing the report together with that leader."""
        machine.join(after_s=0.5, silent_s=9.0)
        for index in (1, 2):
            machine.cut_target(
                after_s=0.0, index=index, peer='primary', seconds=9.0
            )
        machine.advance(0.8)
        machine.crash_primary(after_s=0.0, seconds=9.0)
        for index in range(len(ENTRIES)):
            machine.kill_entry(after_s=0.0, index=index, seconds=0.7)
        machine.change_leader(gap_s=1.0, lands=False)
        machine.advance(3.0)
        machine.no_commit_was_lost()

    def test_a_replica_that_leaves_has_confirmed_the_last_commits(
        self, machine
    ):
        """Guards against commits that only a replica that left has."""
        leaving, other = 2, 1
        machine.leave(after_s=4.8, index=leaving, seconds=5.0, start_s=9.0)
        machine.cut_target(
            after_s=0.0, index=other, peer='primary', seconds=9.0
        )
        machine.advance(0.15)
        machine.cut_entries(
            after_s=0.0, entries=set(ENTRIES), peer='control', seconds=9.0
        )
        machine.crash_primary(after_s=6.0, seconds=9.0)
        assert machine.group.leading.name == 'b'
        assert 'is lost' not in machine.history.text()


class TestEndedTargets:
    """Sequences of events in which the target of an order ends."""

    def order(self, machine, delay_s=None, crash_s=3.0):
        """Crash the primary; return the target that is to follow it."""
        if delay_s is not None:
            machine.disturb_platform(
                after_s=0.0, seconds=9.0, fate='late', delay_s=delay_s
            )
        machine.crash_for(machine.group.leading, crash_s)
        return self.recorded_target(machine)

    def recorded_target(self, machine):
        """Return the target of the next order."""
        views = machine.control.store.views
        while views[simulatedgroup.GROUP].promotion is None:
            machine.advance(0.02)
        return machine.group.targets[
            views[simulatedgroup.GROUP].promotion.server
        ]

    def time_without_primary(self, machine):
        """Return the seconds until the group's view has a primary."""
        started = machine.loop.time()
        views = machine.control.store.views
        while views[simulatedgroup.GROUP].changing:
            machine.advance(0.02)
            machine.no_commit_was_lost()
            machine.orders_in_flight_are_recorded()
        return machine.loop.time() - started

    @pytest.mark.parametrize('leader_changes', [False, True])
    def test_another_target_leads_within_seconds(
        self, machine, leader_changes
    ):
        """Guards against 15 s without a primary, and 15 more for a leader."""
        target = self.order(machine, delay_s=10.0, crash_s=30.0)
        machine.advance(0.3)
        machine.disturb_platform(
            after_s=0.0, seconds=0.0, fate='late', delay_s=0.0
        )
        machine.replace_by_successor(target, start_s=0.6)
        if leader_changes:
            machine.advance(3.0)
            machine.change_leader(gap_s=1.0, lands=False)
        assert self.time_without_primary(machine) < 6.0
        machine.advance(12.0)
        machine.no_commit_was_lost()

    def test_an_order_that_took_effect_before_the_end(self, machine):
        """Guards against keeping the former primary beside the successor."""
        machine.cut_entries(
            after_s=0.0, entries=set(ENTRIES), peer='primary', seconds=2.5
        )
        for peer in ('control', 'b', 'c'):
            machine.cut_target(after_s=0.0, index=0, peer=peer, seconds=2.5)
        target = self.recorded_target(machine)
        machine.links.cut(target.name, 'control', 9.0)
        while machine.group.leading is not target:
            machine.advance(0.02)
        machine.replace_by_successor(target, start_s=0.2)
        successor = machine.group.leading
        machine.links.cut(successor.name, 'announcements', 6.0)
        for other in ('a', 'c'):
            machine.links.cut(successor.name, other, 6.0)
        self.time_without_primary(machine)
        machine.advance(9.0)
        machine.no_commit_was_lost()

    def test_commits_that_only_the_successor_has(self, machine):
        """Guards against a target that is behind the one that has ended.

        Nobody was told of the commits, and the successor isn't at the address.
        """
        machine.cut_entries(
            after_s=0.0, entries=set(ENTRIES), peer='control', seconds=2.0
        )
        machine.set_lag(after_s=0.4, index=2, lag_s=1.0)
        for index in range(len(ENTRIES)):
            machine.kill_entry(after_s=0.0, index=index, seconds=2.0)
        target = self.order(machine, delay_s=10.0, crash_s=30.0)
        machine.advance(0.3)
        machine.disturb_platform(
            after_s=0.0, seconds=0.0, fate='late', delay_s=0.0
        )
        machine.group.crash(target)
        successor = machine.group.end(target, address='10.0.2.9:1')
        machine.group.start_foreign(target.address)
        machine.loop.call_later(4.0, machine.restart, successor)
        self.time_without_primary(machine)
        assert machine.group.leading is successor
        machine.no_commit_was_lost()
