"""Tests of the rate limits of cold targets."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import coldlimits
from sassafrasridge_core import slots

LEASE_S = 1.5
# Processes take longer than this to start again.
RESTART_S = 1.1
GROUP = ('g', 'a')


class Process:
    """Simulate a holder that sends as many statements as it may."""

    def __init__(self, name, incarnation, starts_at):
        self.name = name
        self.key = (name, incarnation)
        self.starts_at = starts_at
        self.share = slots.ConnectionShare(LEASE_S)
        self.limit = coldlimits.TargetLimit()
        self.sent_at = []

    def allowed(self, now):
        valid = self.share.limit(now).connections > 0
        return self.limit.statements(valid, None)

    def send(self, now):
        allowed = self.allowed(now)
        if not self.share.limit(now).connections or allowed is None:
            return
        while self.limit.take(now, allowed):
            self.sent_at.append(now)

    def apply(self, now, sent_at, grant, rate):
        if self.share.apply_grant(now, sent_at, *grant):
            self.limit.granted(sent_at, rate)


class Fleet:
    """Simulate one cold target, its holders and a series of leaders."""

    def __init__(self, names, total):
        self.total = total
        self.now = 100.0
        self.term = 0
        self.cold = None
        self.incarnations = collections.Counter()
        self.processes = {}
        self.all_processes = []
        self.late = []
        self.change_leader()
        for name in names:
            self.restart(name)

    def change_leader(self):
        self.term += 1
        self.ledger = slots.ConnectionLedger(self.now, self.term, LEASE_S)
        self.rates = coldlimits.ColdRates(self.now, LEASE_S)
        self.renewed = set()

    def restart(self, name):
        self.incarnations[name] += 1
        process = Process(name, self.incarnations[name], self.now + RESTART_S)
        self.processes[name] = process
        self.all_processes.append(process)

    def renew(self, name, fate):
        """Renew; the reply arrives, is lost, or arrives late or twice."""
        process = self.processes[name]
        if self.now < process.starts_at:
            return
        version, limit = process.share.report(self.now)
        grant = self.ledger.renew(
            self.now, *process.key, version, limit, 1.0, 56, 5
        )
        # Every holder gets a connection: their division is another subject.
        grant = grant._replace(connections=1)
        self.renewed.add(process.key)
        if self.renewed >= {p.key for p in self.processes.values()}:
            self.ledger.end_grace_period(self.now)
            self.rates.all_holders_known()
        rate = self.rates.rate(
            self.now,
            GROUP,
            process.key,
            self.ledger.holders(),
            self.total,
            self.cold,
            coldlimits.Report(
                limit > 0,
                process.limit.rate,
                slots.term_of_version(version) == self.term,
            ),
        )
        reply = (process, self.now, grant, rate)
        if fate in ('late', 'twice'):
            self.late.append(reply)
        if fate in ('arrives', 'twice'):
            process.apply(self.now, *reply[1:])

    def deliver_late(self):
        while self.late:
            process, *reply = self.late.pop()
            process.apply(self.now, *reply)

    def pass_time(self, seconds):
        self.now += seconds
        for process in self.processes.values():
            process.send(self.now)
        self.check()

    def in_force(self):
        return sum(p.allowed(self.now) or 0 for p in self.processes.values())

    def check(self):
        assert self.in_force() <= self.total
        since = self.now - coldlimits.WINDOW_S
        sent = sum(t > since for p in self.all_processes for t in p.sent_at)
        assert sent <= self.total

    def run(self, seconds, silent=''):
        for _ in range(round(seconds / 0.4)):
            for name in self.processes:
                if name != silent:
                    self.renew(name, 'arrives')
            self.pass_time(0.2)
            self.pass_time(0.2)


NAMES = ('a', 'b', 'c')
STEPS = st.one_of(
    st.tuples(
        st.just('renew'),
        st.sampled_from(NAMES),
        st.sampled_from(('arrives', 'lost', 'late', 'twice')),
    ),
    st.tuples(st.just('pass_time'), st.sampled_from((0.1, 0.4, 0.9, 1.6))),
    st.tuples(
        st.just('run'),
        st.sampled_from((0.4, 0.8, 1.6, 2.8)),
        st.sampled_from(('', *NAMES)),
    ),
    st.tuples(st.just('deliver_late')),
    st.tuples(st.just('restart'), st.sampled_from(NAMES)),
    st.tuples(st.just('change_leader')),
    st.tuples(st.just('announce'), st.sampled_from((True, None))),
)


class TestDivision:
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        st.integers(0, 12), st.lists(STEPS, min_size=5, max_size=30)
    )
    def test_the_sum_never_exceeds_the_rate(self, total, steps):
        """Guards against a burst at a target that has just started.

        Load: every process sends as much as it may, while renewals are lost,
        late or repeated, processes restart and leaders change.
        """
        fleet = Fleet(NAMES, total)
        fleet.run(2.0)
        for name, *values in steps:
            if name == 'announce':
                fleet.cold = values[0]
            else:
                getattr(fleet, name)(*values)
        fleet.check()

    @pytest.mark.parametrize('total', [2, 7, 40])
    def test_the_whole_rate_is_used_soon(self, total):
        """Guards against a rate that is reserved for nobody.

        Load: 7 processes that all send as much as they may.
        """
        fleet = Fleet('abcdefg', total)
        fleet.cold = True
        fleet.run(4.0)
        assert fleet.in_force() == total
        fleet.processes.pop('g')
        fleet.run(6.0)
        assert fleet.in_force() == total

    def test_a_new_leader_keeps_what_is_in_force(self):
        """Guards against an interruption with every change of leader."""
        fleet = Fleet(NAMES, 9)
        fleet.cold = True
        fleet.run(4.0)
        fleet.cold = None
        fleet.change_leader()
        fleet.run(0.4)
        assert fleet.in_force() == 9

    def test_a_late_reply_of_the_former_leader_counts(self):
        """Guards against a grace period that ends on reports alone."""
        fleet = Fleet('ab', 9)
        fleet.cold = True
        fleet.run(4.0)
        while not fleet.late:
            fleet.renew('a', 'late')
            process, *reply = fleet.late[0]
            if reply[-1] < 9:
                process.apply(fleet.now, *reply)
                fleet.late.clear()
            fleet.pass_time(0.4)
        fleet.change_leader()
        fleet.renew('a', 'lost')
        fleet.renew('b', 'arrives')
        fleet.deliver_late()
        fleet.pass_time(0.1)

    def test_statements_of_the_last_second_count(self):
        """Guards against one burst before and one after a change of leader."""
        fleet = Fleet('ab', 9)
        fleet.cold = True
        fleet.run(4.0)
        fleet.run(4.0, silent='b')
        assert fleet.in_force() == 9
        fleet.pass_time(0.7)
        fleet.change_leader()
        for _ in range(8):
            for name in 'ba':
                fleet.renew(name, 'arrives')
            fleet.pass_time(0.1)

    def test_warm_targets_have_no_limit(self):
        """Guards against a limit that lasts beyond the last report of 0."""
        fleet = Fleet(NAMES, 9)
        fleet.cold = True
        fleet.run(4.0)
        fleet.cold = False
        fleet.run(0.4)
        assert {p.allowed(fleet.now) for p in fleet.all_processes} == {None}
        fleet.cold = None
        fleet.change_leader()
        fleet.run(0.4)
        assert {p.allowed(fleet.now) for p in fleet.all_processes} == {None}


class TestTargetLimit:
    def test_a_restart_that_control_may_not_know_of(self):
        """Guards against full load in the time to the first heartbeat."""
        limit = coldlimits.TargetLimit()
        limit.granted(9.0, coldlimits.NOT_LIMITED)
        limit.connections_broke()
        assert limit.statements(True, 2) == 2
        assert limit.statements(True, None) is None
        limit.granted(30.0, coldlimits.NOT_LIMITED)
        limit.connected(31.0)
        limit.granted(32.9, coldlimits.NOT_LIMITED)
        assert limit.statements(True, 2) == 2
        limit.granted(33.0, coldlimits.NOT_LIMITED)
        assert limit.statements(True, 2) is None
