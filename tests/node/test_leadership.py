"""Tests of the control leader's state and of its renewal replies."""

import asyncio
import types

import orjson

from sassafrasridge_core import directory
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import state as core_state
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from sassafrasridge_node import control
from sassafrasridge_node import entry
from sassafrasridge_node import leadership
from sassafrasridge_node import metrics
from sassafrasridge_node import relays
from sassafrasridge_node import rpc

TIMES = leases.LeaseTimes(0.3, 1.2, 4.0)
COUNTERS = metrics.Metrics()
# Connections of a target that control divides.
BUDGET = 10


def request(name, **fields):
    values = {
        'entry': name,
        'incarnation': 1,
        'zone': 'z1',
        'address': f'{name}:1',
        'revision': 0,
        'view_revision': 0,
        'draining': False,
        'sequence': 1,
    }
    return rpc.idl.RenewRequest(**{**values, **fields})


def leader(term=3):
    return leadership.Leadership(
        core_state.State(), TIMES, 0.8, term, 0.0, 'demand', COUNTERS
    )


class TestLiveEntries:
    def setup_method(self):
        self.leader = leader()

    def renew(self, now, name, **fields):
        return self.leader.renew(now, request(name, **fields))

    def test_known_list_is_not_sent_again(self):
        """Guards against sending the list of processes in every reply."""
        first = self.renew(10.0, 'e1')
        assert [e.entry for e in first.entries] == ['e1']
        again = self.renew(10.3, 'e1', entries_revision=first.entries_revision)
        assert again.entries is None
        assert again.entries_revision == first.entries_revision

    def test_joining_process_is_sent_at_once(self):
        """Guards against a serving set that lacks a new process."""
        first = self.renew(10.0, 'e1')
        self.renew(10.001, 'e2')
        reply = self.renew(
            10.002, 'e1', entries_revision=first.entries_revision
        )
        assert [e.entry for e in reply.entries] == ['e1', 'e2']

    def test_draining_process_is_sent_at_once(self):
        """Guards against relaying new work to a process that shuts down."""
        self.renew(10.0, 'e2')
        first = self.renew(10.0, 'e1')
        self.renew(10.01, 'e2', draining=True)
        reply = self.renew(
            10.02, 'e1', entries_revision=first.entries_revision
        )
        assert [e.draining for e in reply.entries] == [True, False]

    def test_lapsed_process_disappears(self):
        """Guards against relaying to a process without a lease."""
        self.renew(10.0, 'e2')
        first = self.renew(10.0, 'e1')
        reply = self.renew(11.5, 'e1', entries_revision=first.entries_revision)
        assert [e.entry for e in reply.entries] == ['e1']

    def test_another_leader_sends_its_own_list(self):
        """Guards against equal revisions of lists by different leaders."""
        first = self.renew(10.0, 'e1')
        reply = leader(term=4).renew(
            10.1, request('e2', entries_revision=first.entries_revision)
        )
        assert [e.entry for e in reply.entries] == ['e2']


class TestReplacedIncarnations:
    """Pattern: a renewal of a process that has ended arrives late.

    A partition or a frozen relay held it, and the process has started again.
    This leader has not heard the earlier incarnation.
    """

    def setup_method(self):
        self.leader = leadership.Leadership(
            core_state.State(), TIMES, 0.8, 3, 0.0, 'demand', COUNTERS, True
        )
        self.leader.renew(10.0, request('e1', incarnation=9))
        self.leader.renew(10.1, request('e1', incarnation=7, unused_s=5.0))

    def test_the_running_process_keeps_its_lease(self):
        """Guards against a process without a lease until the next leader."""
        assert not self.leader.is_retired(request('e1', incarnation=9))

    def test_the_running_process_confirms_views(self):
        """Guards against a promotion while it acknowledges commits."""
        self.leader.renew(10.1, request('e1', incarnation=7, view_revision=5))
        assert not self.leader.lease_table.view_confirmed(10.2, 5)

    def test_the_running_process_keeps_its_connections(self):
        """Guards against connections that two processes use at once."""
        held = self.limit('e1', 9)
        assert held > 0
        self.leader.renew(10.3, request('e1', incarnation=7))
        assert held + self.limit('e2', 1) <= BUDGET

    def test_the_running_process_retires_the_ended_one(self):
        """Guards against shares for a process that has ended."""
        clock = self.leader.renew(10.2, request('e1', incarnation=9))
        returned = {'leader_clock': clock.leader_clock}
        self.leader.renew(10.5, request('e1', incarnation=9, **returned))
        assert self.leader.is_retired(request('e1', incarnation=7))

    def limit(self, name, incarnation):
        """Renew twice, as limits move; return the last one."""
        version = connections = 0
        for now in (10.2, 10.25):
            obs = rpc.idl.Observation(
                group='g',
                server='s',
                # Three of them are left for processes that restart.
                connections=BUDGET + 3,
                slots=5,
                demand=20.0,
                announcement_age_s=0.0,
                success_age_s=0.0,
                term=0,
                position=0,
                limit_version=version,
                limit=connections,
                serves=True,
            )
            reply = self.leader.renew(
                now,
                request(name, incarnation=incarnation, observations=[obs]),
            )
            (grant,) = reply.connections
            version, connections = grant.version, grant.connections
        return connections


class TestCompleteHolders:
    """Pattern: a new leader waits for the leases of its predecessor."""

    def setup_method(self):
        state = core_state.State()
        command = {
            'type': 'entry',
            'action': 'register',
            'entry': 'e1',
            'zone': 'z1',
            'address': 'e1:1',
            'time': 1.0,
        }
        assert state.apply(1, orjson.dumps(command)).ok
        self.leader = leadership.Leadership(
            state, TIMES, 0.8, 3, 10.0, 'demand', COUNTERS, True
        )

    def knows_all(self, now):
        return self.leader.lease_table.earlier_leases_expired(now)

    def test_a_delayed_renewal_names_no_running_process(self):
        """Guards against a promotion while an unknown lease runs."""
        self.leader.renew(10.1, request('e1', incarnation=7))
        self.leader.renew(10.1, request('e1', incarnation=7, sequence=2))
        assert not self.knows_all(10.2)

    def test_a_process_that_got_a_reply_runs(self):
        """Guards against waiting for leases that nobody can hold."""
        reply = self.leader.renew(10.1, request('e1'))
        again = request('e1', leader_clock=reply.leader_clock)
        self.leader.renew(10.15, again)
        assert self.knows_all(10.2)

    def test_a_reply_of_another_leader_does_not_count(self):
        """Guards against a reply from before the election."""
        earlier = leadership.Leadership(
            core_state.State(), TIMES, 0.8, 2, 5.0, 'demand', COUNTERS, True
        )
        clock = earlier.renew(9.0, request('e1')).leader_clock
        self.leader.renew(10.1, request('e1', leader_clock=clock))
        assert not self.knows_all(10.2)


class TestAcknowledgedCommits:
    def report(self, index):
        return [rpc.idl.AcknowledgedCommit(group='g', term=1, index=index)]

    def test_a_planned_stop_reports_the_last_one(self):
        """Guards against a promotion without commits of the last moment."""
        current = leader()
        current.renew(10.0, request('e1', acknowledged=self.report(7)))
        stop = request('e1', draining=True, acknowledged=self.report(9))
        current.release(10.2, stop)
        assert current.lease_table.acknowledged('g').index == 9


class TestTargetsCutOffFromControl:
    """Pattern: a replica's announcements don't reach control for long.

    Entry processes still get answers from it, and it confirms commits.
    """

    def targets(self, success_age_s):
        current = leader()
        info = model.TargetInfo('b', 'g', 'z', '10.0.0.1:1', '', 0, 0, 5, 0)
        current.register(0.0, directory.Announcement(info, 1, 1))
        seen = codec.observation_to_wire(
            info, 20.0, success_age_s, 0.0, (0, 0), True
        )
        current.renew(20.0, request('e1', observations=[seen]))
        return list(current.directory.group('g'))

    def test_it_stays_listed(self):
        """Guards against a promotion without the commits it confirms."""
        assert self.targets(success_age_s=0.2) == ['b']

    def test_a_silent_one_expires(self):
        """Guards against waiting for a target that is gone."""
        assert self.targets(success_age_s=20.0) == []


class TestFullCopies:
    def setup_method(self):
        self.state = core_state.State()
        command = {'type': 'init', 'session_secret': '5' * 64, 'time': 1.0}
        assert self.state.apply(1, orjson.dumps(command)).ok
        self.leader = leadership.Leadership(
            self.state, TIMES, 0.8, 3, 0.0, 'demand', COUNTERS
        )

    def test_direct_renewal_gets_a_full_copy(self):
        """Guards against a new process that gets no configuration."""
        reply = self.leader.renew(10.0, request('e1'))
        assert reply.full == self.state.full()

    def test_relayed_renewal_gets_no_full_copy(self):
        """Guards against a batch of full copies that exceeds a frame."""
        reply = self.leader.renew(10.0, request('e1'), relayed=True)
        assert reply.granted
        assert reply.revision == 1
        assert not reply.full
        assert not reply.deltas


class TestManyMissedChanges:
    """Pattern: processes were frozen while the configuration changed often."""

    CHANGE_BYTES, CHANGES = 300_000, 25

    def setup_method(self):
        self.state = core_state.State()
        self.state.revision = self.CHANGES + 1
        self.state._deltas.extend(
            bytes(self.CHANGE_BYTES) for _ in range(self.CHANGES)
        )
        self.leader = leadership.Leadership(
            self.state, TIMES, 0.8, 3, 0.0, 'demand', COUNTERS
        )
        # Another member with the same state.
        self.member = types.SimpleNamespace(
            state=self.state, leadership=self.leader
        )

    def size(self, message):
        return len(rpc.encode_message('renew', 2, 1, message))

    def test_they_arrive_in_steps_that_fit_into_a_frame(self):
        """Guards against a process that never gets them."""
        revision, steps = 1, 0
        while revision < self.state.revision:
            reply = self.leader.renew(10.0, request('e1', revision=revision))
            assert self.size(reply) <= rpc.MAX_MESSAGE_BYTES
            assert reply.deltas
            revision += len(reply.deltas)
            steps += 1
        assert steps < self.CHANGES / 2

    def test_a_batch_of_replies_fits_into_a_frame(self):
        """Guards against renewals that fail together with those of others."""

        async def renew(req, relayed, config_bytes):
            return self.leader.renew(10.0, req, relayed, config_bytes)

        self.member._renew_as_leader = renew
        requests = [
            request(f'e{number}', revision=1)
            for number in range(relays.MAX_BATCH)
        ]
        found = asyncio.run(
            control.ControlMember.renew_batch(
                self.member, rpc.idl.RenewBatch(requests=requests)
            )
        )
        assert self.size(found) <= rpc.MAX_MESSAGE_BYTES
        assert len(found.replies) == relays.MAX_BATCH

    def test_the_relaying_member_adds_what_is_left_out(self):
        """Guards against a relayed process that makes no progress."""
        req = request('e1', revision=1)
        reply = self.leader.renew(10.0, req, relayed=True, config_bytes=0)
        assert not reply.deltas and not reply.full
        control.ControlMember._add_own_changes(self.member, req, reply)
        assert reply.deltas
        assert self.size(reply) <= rpc.MAX_MESSAGE_BYTES

    def test_a_process_without_any_gets_a_full_copy_of_the_member(self):
        req = request('e1', revision=0)
        reply = self.leader.renew(10.0, req, relayed=True)
        control.ControlMember._add_own_changes(self.member, req, reply)
        assert reply.full == self.state.full()


class TestProcessWithoutReplies:
    def test_its_commits_are_known_while_it_gets_no_grants(self):
        """Guards against a promotion without a commit that it told."""
        known = leader()
        commit = rpc.idl.AcknowledgedCommit(group='g', term=1, index=9)
        sequence, granted = 0, True
        while granted:
            sequence += 1
            req = request('e1', sequence=sequence, received_sequence=0)
            req.acknowledged = [commit]
            granted = known.may_grant(sequence * 0.45, req)
            assert sequence < 9
        assert known.lease_table.acknowledged('g') == model.Position(1, 9)


class TestConnectionsOfControl:
    """Pattern: entry processes use a target's connections up to its limit."""

    def limits(self, order_connections):
        leader = leadership.Leadership(
            core_state.State(),
            TIMES,
            0.8,
            3,
            0.0,
            'demand',
            COUNTERS,
            order_connections=order_connections,
        )
        granted = {}
        for turn in range(6):
            for name in ('e1', 'e2'):
                obs = rpc.idl.Observation(
                    group='g',
                    server='s',
                    # Three of them are left for processes that restart.
                    connections=13,
                    slots=5,
                    demand=20.0,
                    announcement_age_s=0.0,
                    success_age_s=0.0,
                    term=0,
                    position=0,
                    limit_version=granted.get(name, (0, 0))[0],
                    limit=granted.get(name, (0, 0))[1],
                    serves=True,
                )
                reply = leader.renew(
                    10.0 + turn, request(name, observations=[obs])
                )
                (grant,) = reply.connections
                granted[name] = grant.version, grant.connections
        return sum(connections for _, connections in granted.values())

    def test_connections_for_orders_are_left_free(self):
        """Guards against a target that resets connections over its limit."""
        assert self.limits(0) == 10
        assert self.limits(1) == 9


class TestEntryLists:
    def setup_method(self):
        self.state = entry.EntryState(
            'e1', 'z1', TIMES, connections.Dialer(), COUNTERS
        )

    def apply(self, names, revision):
        records = [
            rpc.idl.EntryAddress(
                entry=name, zone='z1', address=f'{name}:1', draining=False
            )
            for name in names
        ]
        self.state.apply_entries(
            rpc.idl.RenewReply(entries=records, entries_revision=revision)
        )

    def test_reply_without_a_list_changes_nothing(self):
        """Guards against dropping all processes if a reply has no list."""
        self.apply(['e1', 'e2'], 7)
        self.state.apply_entries(rpc.idl.RenewReply(entries_revision=7))
        assert set(self.state.entries) == {'e1', 'e2'}
        assert self.state.entries_revision == 7

    def test_serving_set_follows_the_list(self):
        """Guards against a cached serving set that is out of date."""
        others = [f'e{number}' for number in range(2, 20)]
        assert self.state.serving_set('g') == ['e1']
        self.apply(['e1', *others], 1)
        chosen = self.state.serving_set('g')
        assert len(chosen) == 7
        gone = next(name for name in chosen if name != 'e1')
        self.apply([name for name in others if name != gone], 2)
        assert gone not in self.state.serving_set('g')

    def test_served_targets_follow_the_list(self):
        """Guards against probing other processes' targets indefinitely."""
        reply = rpc.idl.RenewReply(
            groups=[
                rpc.idl.GroupRecord(
                    group=f'g{number}',
                    term=1,
                    primary='a',
                    members=[rpc.idl.MemberAddress(server='a', address='a:1')],
                    starts=[],
                    changing=False,
                )
                for number in range(30)
            ],
            view_revision=1,
        )
        self.state.apply_groups(reply)
        assert len(self.state.served_groups()) == 30
        self.apply([f'e{number}' for number in range(1, 40)], 1)
        served = self.state.served_groups()
        assert len(served) < 30
        assert served == {
            group for group in self.state.groups if self.state.serves(group)
        }
