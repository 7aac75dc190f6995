"""Tests of the replicated log with members on a simulated network."""

import dataclasses
import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import orjson
import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages

STEP_S = 0.02
# Clocks that run 1% fast and 1% slow differ by the drift margin of 2%.
CLOCK_RATES = (1.0, 1.01, 0.99, 1.0, 0.995)
CFG = raft.RaftConfig(snapshot_chunk_bytes=64)
# A healthy cluster elects a leader within this time, even after split votes.
ELECTION_S = 8.0


class Disk:
    """Store the persisted state of a member in memory."""

    def __init__(self, disk_id, members):
        self.stored = raft.Stored.empty(members, disk_id)

    def persist(self, ready):
        stored = self.stored
        if ready.hard_state is not None:
            stored.hard_state = ready.hard_state
        if ready.snapshot is not None:
            base = ready.snapshot.index
            same = [item for item in stored.entries if item.index == base]
            keeps = not same or same[0].term == ready.snapshot.term
            stored.snapshot = ready.snapshot
            stored.entries = [
                e for e in stored.entries if keeps and e.index > base
            ]
        if ready.truncate_from is not None:
            kept = ready.truncate_from - 1
            stored.entries = [e for e in stored.entries if e.index <= kept]
        stored.entries.extend(ready.entries)

    def copy(self):
        entries = list(self.stored.entries)
        return dataclasses.replace(self.stored, entries=entries)


class Node:
    """Run one member; its state is the list of the committed commands."""

    def __init__(self, name, disk, rate):
        self.name = name
        self.disk = disk
        self.clock_rate = rate
        self.raft = None
        self.paused = False

    def start(self, now, seed):
        stored = self.disk.copy()
        self.state = []
        if stored.snapshot is not None:
            self.state = orjson.loads(stored.snapshot.data)
        self.commit = 0
        self.raft = raft.Raft(
            self.name,
            stored.disk_id,
            stored,
            CFG,
            now * self.clock_rate,
            random.Random(f'{self.name}{seed}'),
        )


class Cluster:
    """Simulate members, clocks and a network, and check the invariants."""

    def __init__(self, names, known_disks=True, seed=0):
        self.now = 100.0
        self.random = random.Random(seed)
        self.known_disks = known_disks
        self.names = list(names)
        self.disks = 0
        self.bootstrap = {
            name: f'{name}0' if known_disks else None for name in names
        }
        self.nodes = {}
        self.queue = []
        self.cut_links = set()
        self.loss = self.duplicates = self.delays = 0.0
        self.log = {}
        self.leaders = {}
        self.sent = self.sent_entries = 0
        for name in names:
            self.add(name, f'{name}0', self.bootstrap)

    def add(self, name, disk_id, members):
        disk = Disk(disk_id, members)
        rate = CLOCK_RATES[len(self.nodes) % len(CLOCK_RATES)]
        self.nodes[name] = Node(name, disk, rate)
        self.start(name)

    def start(self, name):
        self.nodes[name].start(self.now, self.random.random())

    def crash(self, name, persisted=False):
        """Stop a member; with ``persisted`` persist its last output first.

        That output is never sent.
        """
        node = self.nodes[name]
        if node.raft is not None and persisted:
            node.disk.persist(node.raft.ready())
        node.raft = None

    def lose_disk(self, name, members=None):
        """Replace the disk by an empty one and start the member."""
        self.crash(name)
        self.disks += 1
        disk_id = f'{name}{self.disks}'
        if members is None:
            members = self.bootstrap
        self.nodes[name].disk = Disk(disk_id, members)
        self.start(name)
        return disk_id

    def isolate(self, *names):
        """Cut the links between these members and the others."""
        self.cut_links = {
            (one, other)
            for one in self.nodes
            for other in self.nodes
            if (one in names) != (other in names)
        }

    def running(self):
        return [
            node
            for node in self.nodes.values()
            if node.raft is not None and not node.paused
        ]

    def clock(self, node):
        return self.now * node.clock_rate

    def leader(self):
        for node in self.running():
            if node.raft.can_serve_as_leader(self.clock(node)):
                return node
        return None

    def step(self):
        self.now += STEP_S
        for node in self.running():
            node.raft.tick(self.clock(node))
        self.process_all()

    def process_all(self):
        """Process output and deliver messages until there are none left."""
        for _ in range(1000):
            busy = [self._process(node) for node in self.running()]
            if not any(busy) and not self._deliver():
                break
        else:
            raise AssertionError(
                'members still exchange messages after 1000 rounds'
            )
        self.check_invariants()

    def _process(self, node):
        ready = node.raft.ready()
        if not ready:
            return False
        node.disk.persist(ready)
        if ready.restore:
            node.state = orjson.loads(ready.snapshot.data)
            assert node.state == self.state_at(ready.snapshot.index)
        for entry in ready.committed:
            assert self.log.setdefault(entry.index, entry) == entry
            if entry.kind == 'command':
                node.state.append(entry.payload.decode())
        for message in ready.messages:
            self.sent += 1
            self.sent_entries += len(message.entries)
            self.queue.append(message.encode())
            if self.random.random() < self.duplicates:
                self.queue.append(message.encode())
        return True

    def _deliver(self):
        queue, self.queue = self.queue, []
        if self.delays:
            self.random.shuffle(queue)
        delivered = False
        for data in queue:
            if self.delays and self.random.random() < self.delays:
                self.queue.append(data)
                continue
            if self.random.random() < self.loss:
                continue
            message = raft.Message.decode(data)
            node = self.nodes.get(message.recipient)
            if node is None or node.raft is None:
                continue
            if (message.sender, message.recipient) in self.cut_links:
                continue
            if node.paused:
                self.queue.append(data)
                continue
            node.raft.receive(self.clock(node), message)
            delivered = True
        return delivered

    def state_at(self, index):
        return [
            self.log[position].payload.decode()
            for position in range(1, index + 1)
            if self.log[position].kind == 'command'
        ]

    def check_invariants(self):
        """Check that logs agree and that there is one leader.

        There is at most one leader in a term and at any moment.
        """
        leading = []
        for node in self.nodes.values():
            if node.raft is None:
                continue
            assert node.raft.commit_index >= node.commit
            node.commit = node.raft.commit_index
            if node.raft.role == 'leader':
                identity = (node.name, node.raft.disk_id)
                term = node.raft.term
                assert self.leaders.setdefault(term, identity) == identity
            # A paused member counts too because it could resume now.
            if node.raft.can_serve_as_leader(self.clock(node)):
                leading.append(node)
        assert len(leading) <= 1
        for node in leading:
            assert node.raft.commit_index >= max(self.log, default=0)

    def run(self, seconds, until=None):
        """Advance the time; return whether ``until`` became true."""
        end = self.now + seconds
        while self.now < end:
            if until is not None and until():
                return True
            self.step()
        return until is not None and until()

    def wait_for_leader(self):
        assert self.run(ELECTION_S, self.leader), 'no leader was elected'
        return self.leader()

    def propose(self, text):
        """Propose a command on the leader and process all messages."""
        node = self.wait_for_leader()
        node.raft.propose(self.clock(node), text.encode())
        self.process_all()

    def write(self, text):
        self.propose(text)
        assert self.run(ELECTION_S, lambda: self.committed(text)), text

    def committed(self, text):
        return any(
            item.payload == text.encode() and item.kind == 'command'
            for item in self.log.values()
        )

    def change(self, change):
        """Make one membership change and wait until it is committed."""

        def attempt():
            node = self.leader()
            try:
                if node is not None:
                    found = node.raft.change_members(self.clock(node), change)
                    indexes.append(found[1])
            except errors.UnavailableError:
                pass
            return bool(indexes)

        indexes = []
        assert self.run(ELECTION_S, attempt), f'{change} was refused'
        assert self.run(ELECTION_S, lambda: indexes[0] in self.log)

    def replace_member(self, name, disk_id):
        self.change(raft.AddLearner(name, disk_id))
        self.change(raft.Promote(name))

    def converge(self):
        """Wait until all running members have the same state and check it."""

        def equal():
            commits = {node.raft.commit_index for node in self.running()}
            return len(commits) == 1 and commits == {max(self.log)}

        self.step()
        assert self.run(ELECTION_S, equal)
        expected = self.state_at(max(self.log))
        for node in self.running():
            assert node.state == expected

    def compact(self, name):
        node = self.nodes[name]
        index = node.raft.commit_index
        if index > node.raft.snapshot_index:
            node.raft.compact(index, orjson.dumps(node.state))

    def other_names(self, name):
        return [other for other in self.nodes if other != name]


def make_member(entries=(), term=0, members='abc', now=0.0):
    """Return member 'a' of a cluster with known disks, without a network."""
    names = {name: f'{name}0' for name in members}
    stored = raft.Stored.empty(names, 'a0')
    stored.hard_state = raft.HardState(term)
    stored.entries = list(entries)
    return raft.Raft('a', 'a0', stored, CFG, now, random.Random(1))


def deliver(member, now, kind, sender, term, disk_id=None, **fields):
    """Deliver a message to a member and return its responses."""
    disk_id = disk_id or f'{sender}0'
    member.receive(
        now, raft.Message(kind, sender, disk_id, 'a', term, **fields)
    )
    return member.ready().messages


def make_leader(entries=(), **options):
    """Return member 'a' elected as the leader of term 4 at time 2.0."""
    member = make_member(entries, 3, **options)
    member.tick(2.0)
    for kind in ('prevote_ack', 'vote_ack'):
        deliver(member, 2.0, kind, 'b', 4, granted=True)
    assert member.role == 'leader'
    return member


def command(index, term, payload=b'x'):
    return raft.Entry(index, term, 'command', payload)


def make_cluster(names='abc', **options):
    cluster = Cluster(names, **options)
    cluster.write('first')
    cluster.converge()
    return cluster


class TestElection:
    def test_isolated_member_returns_without_disturbing_the_leader(self):
        """Guards against raising the term while a member is isolated."""
        cluster = make_cluster()
        leader = cluster.leader()
        term = leader.raft.term
        cluster.isolate(cluster.other_names(leader.name)[0])
        cluster.run(120)
        cluster.write('meanwhile')
        cluster.cut_links = set()
        for _ in range(100):
            cluster.step()
            assert cluster.leader() is leader
        assert leader.raft.term == term
        cluster.converge()

    def test_member_that_hears_the_leader_refuses_its_vote(self):
        """Guards against an election while the leader's lease is valid."""
        cluster = make_cluster()
        leader = cluster.leader()
        disconnected, other = cluster.other_names(leader.name)
        cluster.cut_links = {(leader.name, disconnected)}
        for _ in range(500):
            cluster.step()
            assert cluster.leader() is leader
        assert cluster.nodes[other].raft.term == leader.raft.term

    def test_leader_with_a_lease_ignores_higher_terms_of_candidates(self):
        """Guards against a vote request that ends a valid lease."""
        leader = make_leader()
        deliver(leader, 2.1, 'heartbeat_ack', 'b', 4, sent_at=2.0)
        assert not deliver(leader, 2.2, 'vote', 'c', 9, index=9, log_term=9)
        assert leader.role == 'leader'
        deliver(leader, 2.6, 'vote', 'c', 9, index=9, log_term=9)
        assert leader.role == 'follower'

    def test_restarted_member_refuses_its_vote_for_one_timeout(self):
        """Guards against a vote that ends a lease confirmed before a crash."""
        member = make_member(term=4, now=10.0)
        assert not deliver(member, 10.4, 'vote', 'b', 9)
        assert deliver(member, 10.6, 'vote', 'b', 9)[0].granted

    def test_restarted_member_votes_for_itself_after_one_timeout(self):
        """Guards against an own vote that ends a lease it has confirmed."""
        member = make_member(term=3, now=10.0)
        member.tick(10.2)
        deliver(member, 10.25, 'prevote_ack', 'b', 4, granted=True)
        assert (member.role, member.term) == ('candidate', 3)
        member.tick(10.6)
        deliver(member, 10.6, 'prevote_ack', 'b', 4, granted=True)
        assert member.term == 4

    def test_lost_election_is_retried_early(self):
        """Guards against a full election timeout after a split vote."""
        member = make_member(term=3)
        member.tick(2.0)
        deliver(member, 2.0, 'prevote_ack', 'b', 4, granted=True)
        for voter in 'bc':
            deliver(member, 2.05, 'vote_ack', voter, 4, granted=False)
        member.tick(2.05 + CFG.prevote_retry_max_s)
        asked = member.ready().messages
        assert {(m.kind, m.term) for m in asked} == {('prevote', 5)}

    def test_one_refusal_does_not_end_an_election(self):
        member = make_member(term=3)
        member.tick(2.0)
        deliver(member, 2.0, 'prevote_ack', 'b', 4, granted=True)
        deliver(member, 2.05, 'vote_ack', 'b', 4, granted=False)
        deliver(member, 2.06, 'vote_ack', 'c', 4, granted=True)
        assert member.role == 'leader'

    def test_granted_prevote_delays_own_campaign(self):
        """Guards against split votes of members that lost their leader."""
        member = make_member(term=3, now=1.0)
        deliver(member, 1.0, 'heartbeat', 'c', 3)
        # The member's own campaign is due between 1.5 and 2.0.
        due = member._election_deadline
        assert 1.5 <= due <= 2.0
        asked_at = due - 0.01
        member.tick(asked_at)
        assert member.role == 'follower'
        assert deliver(
            member, asked_at, 'prevote', 'b', 4, index=9, log_term=9
        )
        member.tick(due + 0.1)
        assert member.role == 'follower'
        member.tick(asked_at + CFG.prevote_retry_max_s)
        assert member.role == 'candidate'

    def test_lease_ends_before_a_voter_with_a_faster_clock_votes(self):
        """Guards against two leaders if the clocks run at different rates."""
        leader, voter = make_leader(), make_member(term=4)
        answer = deliver(voter, 2.02, 'heartbeat', 'b', 4, sent_at=2.0)[0]
        assert answer.sent_at == 2.0
        deliver(leader, 2.3, 'heartbeat_ack', 'b', 4, sent_at=2.0)
        deliver(leader, 2.3, 'append_ack', 'b', 4, index=1, granted=True)
        assert leader.can_serve_as_leader(2.48)
        for step in range(1000):
            passed = 0.0 + step / 1000
            clock = 2.02 + passed * 1.01
            if deliver(voter, clock, 'vote', 'c', 9, index=9, log_term=9):
                break
        assert voter.term == 9
        assert not leader.can_serve_as_leader(2.0 + passed * 0.99)

    def test_vote_is_persisted(self):
        """Guards against two votes in one term.

        This includes votes for two disks of the same member name.
        """
        for second in (('c', 'c0'), ('b', 'b1')):
            cluster = Cluster('abc', known_disks=False)
            cluster.nodes['a'].disk.stored.hard_state = raft.HardState(5)
            for name, disk_id in (('b', 'b0'), second):
                cluster.crash('a')
                cluster.start('a')
                member = cluster.nodes['a'].raft
                message = raft.Message('vote', name, disk_id, 'a', 5)
                member.receive(cluster.now * 2, message)
                ready = member.ready()
                cluster.nodes['a'].disk.persist(ready)
                assert ready.messages[0].granted == (disk_id == 'b0')

    @pytest.mark.parametrize(
        ('sender', 'disk_id', 'last', 'kind', 'granted'),
        [
            ('b', 'b0', (2, 2), 'vote_ack', True),
            ('b', 'b0', (1, 9), 'vote_ack', False),
            ('b', 'b1', (2, 2), 'unlisted', False),
            ('x', 'x0', (2, 2), 'unlisted', False),
            # The candidate may have been added by an entry that this member
            # lacks.
            ('x', 'x0', (2, 3), 'vote_ack', True),
        ],
    )
    def test_vote_depends_on_log_and_identity(
        self, sender, disk_id, last, kind, granted
    ):
        """Guards against a leader without committed entries or membership."""
        member = make_member([command(1, 1), command(2, 2)], 2)
        position = {'log_term': last[0], 'index': last[1]}
        (answer,) = deliver(
            member, 2.0, 'vote', sender, 3, disk_id, **position
        )
        assert (answer.kind, answer.granted) == (kind, granted)

    def test_learner_neither_votes_nor_counts(self):
        """Guards against counting learners for a majority."""
        for learner in 'ab':
            listed = raftmembers.encode(
                {n: raft.Member(f'{n}0', n != learner) for n in 'abc'}
            )
            member = make_member([raft.Entry(1, 1, 'members', listed)], 2)
            member.tick(2.0)
            deliver(member, 2.0, 'prevote_ack', 'b', 3, granted=True)
            assert member.term == 2
            position = {'log_term': 1, 'index': 1}
            (answer,) = deliver(member, 2.0, 'vote', 'c', 3, **position)
            assert answer.granted == (learner != 'a')

    def test_member_with_a_later_term_joins_the_leader_again(self):
        """Guards against a member that can neither follow nor win."""
        cluster = make_cluster()
        leader = cluster.leader()
        name = cluster.other_names(leader.name)[0]
        cluster.crash(name)
        term = leader.raft.term + 3
        cluster.nodes[name].disk.stored.hard_state = raft.HardState(term)
        cluster.start(name)
        cluster.run(2)
        cluster.write('with all')
        cluster.converge()

    def test_leader_without_a_majority_steps_down(self):
        """Guards against a leader that accepts changes it cannot commit."""
        cluster = make_cluster()
        leader = cluster.leader()
        cluster.isolate(leader.name)
        cluster.run(CFG.election_max_s + 0.2)
        assert leader.raft.role != 'leader'
        with pytest.raises(raft.NotLeaderError):
            leader.raft.propose(cluster.clock(leader), b'lost')

    def test_resumed_leader_knows_that_its_lease_has_run_out(self):
        """Guards against reads from a replaced leader after a pause."""
        cluster = make_cluster()
        leader = cluster.leader()
        leader.paused = True
        cluster.run(0.45)
        assert leader.raft.can_serve_as_leader(cluster.clock(leader))
        cluster.run(0.1)
        assert not leader.raft.can_serve_as_leader(cluster.clock(leader))
        cluster.write('by another leader')
        leader.paused = False
        cluster.converge()

    def test_older_entries_commit_only_with_an_entry_of_the_own_term(self):
        """Guards against committing an entry that can be overwritten."""
        leader = make_leader([raft.Entry(1, 1, 'noop', b''), command(2, 2)])
        for index, commit in ((2, 0), (3, 3)):
            # A membership change is also unsafe before the leader's own
            # entry is committed.
            if not commit:
                with pytest.raises(errors.UnavailableError):
                    leader.change_members(2.1, raft.Remove('c'))
            deliver(
                leader, 2.1, 'append_ack', 'b', 4, index=index, granted=True
            )
            assert leader.commit_index == commit
            deliver(leader, 2.1, 'heartbeat_ack', 'b', 4, sent_at=2.0)
            assert leader.can_serve_as_leader(2.1) == (commit == 3)

    def test_answers_of_another_disk_are_ignored(self):
        """Guards against counting acknowledgements of a replaced disk."""
        leader = make_leader([command(1, 1)])
        deliver(leader, 2.1, 'append_ack', 'b', 4, 'b1', index=2, granted=True)
        assert leader.commit_index == 0
        assert leader.unlisted == {'b': 'b1'}


class TestRestartOfAllMembers:
    """Pattern of load: all VMs lose power at once.

    Every caller waits for the election of a control leader.
    """

    @pytest.mark.parametrize('size', [1, 3, 5, 6])
    def test_a_leader_is_elected_before_an_election_timeout(self, size):
        """Guards against waiting for a lease that nobody can hold."""
        for seed in range(20):
            cluster = make_cluster('abcdef'[:size], seed=seed)
            for name in cluster.names:
                cluster.crash(name)
            cluster.run(0.3)
            for name in cluster.names:
                cluster.start(name)
            assert cluster.run(0.45, cluster.leader), f'seed {seed}'

    def test_members_that_start_one_after_the_other(self):
        """Guards against split votes when members start at different times."""
        for seed in range(20):
            cluster = make_cluster('abcde', seed=seed)
            for name in cluster.names:
                cluster.crash(name)
            cluster.run(0.3)
            for name in cluster.names:
                cluster.start(name)
                cluster.run(0.08)
            assert cluster.run(0.45, cluster.leader), f'seed {seed}'

    @pytest.mark.parametrize('missing', ['a', 'c', 'e'])
    def test_with_a_member_missing_the_lease_is_waited_for(self, missing):
        """Guards against an election while the missing member still leads."""
        cluster = make_cluster('abcde')
        others = [name for name in cluster.names if name != missing]
        for name in others:
            cluster.crash(name)
        cluster.nodes[missing].paused = True
        for name in others:
            cluster.start(name)
        slowest = min(node.clock_rate for node in cluster.nodes.values())
        assert not cluster.run(
            CFG.election_min_s * slowest - 0.05, cluster.leader
        )
        assert cluster.run(ELECTION_S, cluster.leader)

    def test_a_member_that_followed_a_leader_keeps_waiting(self):
        """Guards against an early vote of a member that did not restart."""
        member = make_member(term=3, now=10.0)
        deliver(member, 10.0, 'heartbeat', 'b', 3)
        assert not deliver(member, 10.2, 'prevote', 'c', 4, restarted=True)
        assert not deliver(member, 10.2, 'vote', 'c', 4, restarted=True)

    def test_a_report_for_an_earlier_pre_vote_does_not_count(self):
        """Guards against a report that was true only before an election."""
        member = make_member(term=3, now=10.0)
        member.tick(10.2)
        assert member.role == 'candidate'
        # The member's current pre-vote is that of 10.2 s.
        for sent_at, term in ((10.1, 3), (10.2, 4)):
            fields = {'restarted': True, 'sent_at': sent_at}
            for voter in 'bc':
                deliver(member, 10.21, 'prevote_ack', voter, 3, **fields)
            assert member.term == term

    def test_an_early_pre_vote_alone_elects_nobody(self):
        member = make_member(term=3, now=10.0)
        (ack,) = deliver(member, 10.1, 'prevote', 'b', 4, restarted=True)
        assert (ack.granted, ack.restarted) == (False, True)


class TestReplication:
    def test_single_member_commits_once_persisted(self):
        """Guards against committing an entry that is on no disk."""
        cluster = make_cluster('a')
        member = cluster.nodes['a'].raft
        _, index = member.propose(cluster.now, b'x')
        ready = member.ready()
        assert [item.index for item in ready.entries] == [index]
        assert not ready.committed
        assert [item.index for item in member.ready().committed] == [index]

    def test_proposal_commits_without_a_tick(self):
        """Guards against delaying each change until the next tick."""
        cluster = make_cluster()
        cluster.propose('now')
        assert cluster.committed('now')

    def test_lost_messages_are_sent_again(self):
        """Guards against a member that lags for ever after message loss."""
        cluster = make_cluster()
        cluster.loss = 0.3
        for count in range(20):
            node = cluster.leader()
            if node is not None:
                text = f'n{count}'.encode()
                node.raft.propose(cluster.clock(node), text)
            cluster.run(0.2)
        cluster.loss = 0.0
        cluster.write('last')
        cluster.converge()

    def test_entries_without_their_predecessor_are_refused(self):
        """Guards against appending after entries that do not match."""
        member = make_member([command(1, 1), command(2, 1)], 1)
        fields = {'index': 2, 'log_term': 2, 'entries': [command(3, 2)]}
        assert not deliver(member, 2.0, 'append', 'b', 2, **fields)[0].granted
        assert member.last_index == 2

    def test_delayed_append_removes_no_entries(self):
        """Guards against a late message that removes confirmed entries."""
        member = make_member()
        entries = [command(1, 1), command(2, 1), command(3, 1)]
        for count in (3, 1):
            fields = {'entries': entries[:count]}
            assert deliver(member, 2.0, 'append', 'b', 1, **fields)[0].granted
            assert member.last_index == 3

    def test_replaced_entries_do_not_count_as_persisted(self):
        """Guards against counting an entry that is on no disk."""
        log = raftlog.Log({}, None, [])
        log.append(command(1, 1))
        log.append(command(2, 1))
        assert log.take_unpersisted() == (None, [command(1, 1), command(2, 1)])
        log.persisted_index = log.handed_out_index
        log.append(command(2, 2))
        assert log.persisted_index == 1
        assert log.take_unpersisted() == (2, [command(2, 2)])

    def test_last_matching_entry_is_found_in_few_messages(self):
        """Guards against a new leader that probes entry by entry."""
        cluster = make_cluster()
        lagging = cluster.other_names(cluster.leader().name)[0]
        for count in range(600):
            if count == 300:
                cluster.isolate(lagging)
            cluster.propose(f'{count}')
        for name in cluster.names:
            cluster.crash(name)
            cluster.start(name)
        cluster.wait_for_leader()
        cluster.run(1)
        cluster.cut_links = set()
        cluster.sent = cluster.sent_entries = 0
        cluster.run(0.5)
        cluster.converge()
        assert cluster.sent < 100
        assert cluster.sent_entries < 310

    def test_diverged_log_is_replaced_in_few_messages(self):
        """Guards against probing back by one entry per message."""
        cluster = make_cluster()
        leader = cluster.leader()
        cluster.isolate(leader.name)
        for count in range(300):
            leader.raft.propose(cluster.clock(leader), b'lost%d' % count)
        cluster.process_all()
        cluster.run(3)
        for count in range(300):
            cluster.propose(f'kept{count}')
        cluster.cut_links = set()
        cluster.sent = 0
        cluster.run(0.5)
        cluster.converge()
        assert cluster.sent < 100
        assert not cluster.committed('lost0')
        cluster.crash(leader.name)
        cluster.start(leader.name)
        cluster.converge()

    def test_lagging_member_gets_the_snapshot_in_chunks(self):
        """Guards against a member that cannot catch up after compaction."""
        cluster = make_cluster()
        lagging = cluster.other_names(cluster.leader().name)[0]
        cluster.isolate(lagging)
        for count in range(60):
            cluster.write(f'{count}')
        for name in cluster.other_names(lagging):
            cluster.compact(name)
        cluster.process_all()
        cluster.cut_links = set()
        cluster.loss = 0.2
        cluster.run(5)
        cluster.loss = 0.0
        cluster.write('last')
        cluster.converge()
        node = cluster.nodes[lagging]
        assert len(node.disk.stored.snapshot.data) > 2 * 64
        cluster.crash(lagging)
        cluster.start(lagging)
        assert node.raft.members == cluster.leader().raft.members
        cluster.converge()

    def test_message_size_and_messages_in_flight_are_limited(self):
        """Guards against frames above the transport's limit of 4 MiB."""
        cluster = make_cluster()
        leader = cluster.leader()
        node, silent = cluster.other_names(leader.name)
        cluster.isolate(silent)
        payload = bytes(CFG.max_entry_bytes)
        for _ in range(12):
            leader.raft.propose(cluster.clock(leader), payload)
            ready = leader.raft.ready()
            leader.disk.persist(ready)
            for message in ready.messages:
                assert len(message.encode()) < 4 * 1024 * 1024
                if message.recipient == node:
                    cluster.queue.append(message.encode())
        progress = leader.raft._leadership.progress_of(silent)
        assert len(progress.in_flight) <= CFG.max_in_flight
        cluster.cut_links = set()
        cluster.write('last')
        cluster.converge()

    def test_uncommitted_proposals_are_limited(self):
        """Guards against memory growth while there is no majority."""
        cluster = make_cluster()
        leader = cluster.leader()
        cluster.isolate(leader.name)
        with pytest.raises(errors.UnavailableError, match='wait'):
            for _ in range(CFG.max_pending_entries + 1):
                leader.raft.propose(cluster.clock(leader), b'x')
        with pytest.raises(errors.TooLargeError):
            leader.raft.propose(
                cluster.clock(leader), bytes(CFG.max_entry_bytes + 1)
            )


class TestMembers:
    def lose_follower(self, cluster):
        """Return (leader, lost, other, new disk id)."""
        leader = cluster.leader()
        lost, other = cluster.other_names(leader.name)
        return leader, lost, other, cluster.lose_disk(lost)

    @pytest.mark.parametrize('known_disks', [True, False])
    def test_empty_disk_never_votes_under_the_former_identity(
        self, known_disks
    ):
        """Guards against losing a commit that a lost disk had confirmed."""
        cluster = make_cluster(known_disks=known_disks)
        leader = cluster.leader()
        lost, lagging = cluster.other_names(leader.name)
        cluster.isolate(lagging)
        cluster.write('on the leader and the lost disk')
        cluster.lose_disk(lost)
        cluster.isolate(leader.name)
        cluster.run(10)
        assert cluster.leader() is None
        assert cluster.nodes[lost].raft.role != 'leader'
        assert cluster.nodes[lost].raft.reported_unlisted or known_disks
        cluster.cut_links = set()
        cluster.write('after')

    def test_lost_right_after_the_repair_is_complete(self):
        """Guards against a new voter that lacks committed entries."""
        cluster = make_cluster()
        leader, lost, other, disk_id = self.lose_follower(cluster)
        cluster.write('before')
        cluster.replace_member(lost, disk_id)
        assert cluster.run(5, lambda: leader.raft.caught_up(lost))
        cluster.lose_disk(leader.name)
        cluster.write('after')
        assert cluster.leader().state == ['first', 'before', 'after']

    def test_lost_right_before_the_repair_is_complete(self):
        """Guards against counting a learner as a voter."""
        cluster = make_cluster()
        leader, lost, other, disk_id = self.lose_follower(cluster)
        cluster.change(raft.AddLearner(lost, disk_id))
        assert cluster.run(5, lambda: leader.raft.caught_up(lost))
        cluster.crash(leader.name)
        cluster.run(10)
        assert cluster.leader() is None
        cluster.start(leader.name)
        cluster.change(raft.Promote(lost))
        cluster.converge()

    def test_promoted_member_votes_before_it_knows_of_its_promotion(self):
        """Guards against losing the majority with the leader.

        The leader has promoted a member but the member does not know it yet.
        """
        cluster = make_cluster()
        leader, lost, other, disk_id = self.lose_follower(cluster)
        cluster.change(raft.AddLearner(lost, disk_id))
        assert cluster.run(5, lambda: leader.raft.caught_up(lost))
        cluster.isolate(lost)
        leader.raft.change_members(cluster.clock(leader), raft.Promote(lost))
        cluster.process_all()
        assert not cluster.nodes[lost].raft.members[lost].voter
        cluster.crash(leader.name)
        cluster.cut_links = set()
        cluster.write('by the two others')

    def test_member_removed_while_paused_learns_of_it_and_returns(self):
        """Guards against giving up a member that was only silent."""
        cluster = make_cluster('abcd')
        paused = cluster.other_names(cluster.wait_for_leader().name)[0]
        cluster.nodes[paused].paused = True
        cluster.change(raft.Remove(paused))
        cluster.nodes[paused].paused = False
        log = cluster.nodes[paused].raft
        assert cluster.run(ELECTION_S, lambda: log.reported_unlisted)
        cluster.replace_member(paused, f'{paused}0')
        assert cluster.run(
            ELECTION_S,
            lambda: log.role == 'follower' and not log.reported_unlisted,
        )
        cluster.write('after')
        cluster.converge()

    def test_learner_does_not_count_for_a_commit(self):
        """Guards against a commit without a majority of voters."""
        cluster = make_cluster('ab')
        cluster.add('c', 'c0', {})
        cluster.change(raft.AddLearner('c', 'c0'))
        leader = cluster.leader()
        voter = 'b' if leader.name == 'a' else 'a'
        cluster.crash(voter)
        cluster.propose('waits')
        cluster.run(0.5)
        assert not cluster.committed('waits')
        assert cluster.nodes['c'].raft.role == 'learner'

    def test_second_change_waits_for_the_first(self):
        """Guards against majorities that do not overlap."""
        cluster = make_cluster()
        leader = cluster.leader()
        cluster.isolate(leader.name)
        now = cluster.clock(leader)
        leader.raft.change_members(now, raft.AddLearner('d', 'd0'))
        with pytest.raises(errors.UnavailableError, match='committed'):
            leader.raft.change_members(now, raft.AddLearner('e', 'e0'))
        cluster.run(3)
        cluster.cut_links = set()
        cluster.write('by another leader')
        cluster.converge()
        assert sorted(leader.raft.members) == ['a', 'b', 'c']

    def test_learner_is_promoted_only_when_caught_up(self):
        """Guards against a majority that depends on an absent member."""
        cluster = make_cluster()
        cluster.change(raft.AddLearner('d', 'd0'))
        leader = cluster.leader()
        now = cluster.clock(leader)
        with pytest.raises(errors.UnavailableError, match='caught up'):
            leader.raft.change_members(now, raft.Promote('d'))
        for change in (raft.Promote('x'), raft.AddLearner('a', 'a0')):
            with pytest.raises(raftmembers.MembershipError):
                leader.raft.change_members(now, change)

    def test_removed_leader_steps_down_and_starts_no_election(self):
        """Guards against a removed member that remains leader."""
        cluster = make_cluster()
        leader = cluster.leader()
        cluster.change(raft.Remove(leader.name))
        assert leader.raft.role == 'learner'
        cluster.write('without it')
        term = cluster.leader().raft.term
        cluster.run(10)
        assert cluster.leader().raft.term == term

    def test_interrupted_removal_of_the_leader_is_finished(self):
        """Guards against two members that wait for each other's vote."""
        cluster = make_cluster('ab')
        leader = cluster.leader()
        cluster.isolate(leader.name)
        leader.raft.change_members(
            cluster.clock(leader), raft.Remove(leader.name)
        )
        cluster.run(3)
        cluster.cut_links = set()
        cluster.write('after')
        assert leader.raft.role == 'learner'

    def test_first_election_without_known_disks_needs_all_members(self):
        """Guards against two clusters formed from one set of names."""
        cluster = Cluster('abc', known_disks=False)
        cluster.isolate('c')
        cluster.run(10)
        assert cluster.leader() is None
        cluster.cut_links = set()
        cluster.write('all')
        disks = {
            name: member.disk_id
            for name, member in cluster.leader().raft.members.items()
        }
        assert disks == {'a': 'a0', 'b': 'b0', 'c': 'c0'}

    def test_disk_lost_after_it_stored_the_first_entry(self):
        """Guards against a second cluster formed by an empty disk."""
        cluster = Cluster('abc', known_disks=False)

        def bound():
            return [
                node.name for node in cluster.running() if node.raft.last_index
            ]

        cluster.run(ELECTION_S, bound)
        leader = bound()[0]
        lost, lagging = cluster.other_names(leader)
        cluster.isolate(lagging)
        cluster.run(0.2)
        cluster.lose_disk(lost)
        cluster.isolate(leader)
        cluster.run(10)
        assert cluster.leader() is None
        cluster.cut_links = set()
        cluster.write('the first cluster continues')


class RaftMachine(stateful.RuleBasedStateMachine):
    """Generate sequences of faults; the cluster checks the invariants."""

    names = st.integers(0, 4)
    steps = st.sampled_from([0, 5, 30, 100])

    @stateful.initialize(
        size=st.integers(3, 5),
        known_disks=st.booleans(),
        seed=st.integers(0, 999),
    )
    def start_cluster(self, size, known_disks, seed):
        self.cluster = Cluster('abcde'[:size], known_disks, seed)
        self.texts = 0
        self.cluster.run(3)

    def node(self, number):
        names = sorted(self.cluster.nodes)
        return self.cluster.nodes[names[number % len(names)]]

    def run_with_proposals(self, steps):
        """Advance the time while commands are proposed to every leader."""
        for step in range(steps):
            self.cluster.step()
            if step % 16 == 8:
                self.propose()

    def propose(self):
        for node in self.cluster.running():
            self.texts += 1
            try:
                node.raft.propose(self.cluster.clock(node), b'%d' % self.texts)
            except errors.UnavailableError:
                continue

    @stateful.rule(steps=steps)
    def wait(self, steps):
        self.run_with_proposals(steps)

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplicates=st.sampled_from([0.0, 0.3]),
        delays=st.sampled_from([0.0, 0.3, 0.9]),
    )
    def set_network_faults(self, loss, duplicates, delays):
        self.cluster.loss = loss
        self.cluster.duplicates = duplicates
        self.cluster.delays = delays

    @stateful.rule(
        chosen=st.sets(names, max_size=2), one_way=st.booleans(), steps=steps
    )
    def partition(self, chosen, one_way, steps):
        names = [self.node(number).name for number in chosen]
        self.cluster.isolate(*names)
        if one_way:
            self.cluster.cut_links = {
                link for link in self.cluster.cut_links if link[0] in names
            }
        self.run_with_proposals(steps)

    @stateful.rule(number=names, persisted=st.booleans(), steps=steps)
    def crash(self, number, persisted, steps):
        """Stop a member while it processes commands, then restart it."""
        node = self.node(number)
        self.propose()
        self.cluster.crash(node.name, persisted)
        self.run_with_proposals(steps)
        node.paused = False
        self.cluster.start(node.name)

    @stateful.rule(
        numbers=st.sets(names, min_size=2),
        steps=st.sampled_from([0, 1, 5, 30]),
    )
    def crash_together(self, numbers, steps):
        """Stop several members at once, or all, and start them again."""
        stopped = {self.node(number).name for number in numbers}
        for name in sorted(stopped):
            self.cluster.crash(name)
        self.run_with_proposals(steps)
        for name in sorted(stopped):
            self.cluster.nodes[name].paused = False
            self.cluster.start(name)
            self.run_with_proposals(1)

    @stateful.rule(number=names, steps=steps)
    def pause(self, number, steps):
        node = self.node(number)
        node.paused = not node.paused
        self.run_with_proposals(steps)

    @stateful.rule(number=names, blank=st.booleans())
    def lose_disk(self, number, blank):
        # A cluster started without known disks could be formed a second time
        # if every disk with the first entry were lost. Keep one such disk.
        node = self.node(number)
        holders = [
            other
            for other in self.cluster.nodes.values()
            if other is not node
            and (other.disk.stored.entries or other.disk.stored.snapshot)
        ]
        if self.cluster.known_disks or holders or not self.cluster.log:
            self.cluster.lose_disk(node.name, {} if blank else None)

    @stateful.rule(
        number=names,
        kind=st.sampled_from(['replace', 'promote', 'promote', 'remove']),
    )
    def change(self, number, kind):
        leader = self.cluster.leader()
        if leader is None:
            return
        node = self.node(number)
        changes = {
            'replace': raft.AddLearner(
                node.name, node.disk.stored.disk_id or 'x'
            ),
            'promote': raft.Promote(node.name),
            'remove': raft.Remove(node.name),
        }
        try:
            leader.raft.change_members(
                self.cluster.clock(leader), changes[kind]
            )
        except (errors.UnavailableError, errors.ConflictError):
            return
        self.cluster.process_all()

    @stateful.rule(number=names)
    def compact(self, number):
        node = self.node(number)
        if node.raft is not None:
            self.cluster.compact(node.name)

    def teardown(self):
        """Remove all faults; a cluster with a majority must commit again."""
        if not hasattr(self, 'cluster'):
            return
        cluster = self.cluster
        cluster.cut_links = set()
        cluster.loss = cluster.duplicates = cluster.delays = 0.0
        for node in cluster.nodes.values():
            node.paused = False
            if node.raft is None:
                cluster.start(node.name)
        cluster.step()
        for holder in cluster.nodes.values():
            members = holder.raft.members
            intact = sum(
                raftmembers.is_voter(members, name, item.disk.stored.disk_id)
                for name, item in cluster.nodes.items()
            )
            if intact < raftmembers.quorum(members):
                return
        cluster.write('last')


# SASSAFRASRIDGE_FUZZ=long selects random runs that take about 90 times as
# long. Otherwise the hypothesis profile of the test run decides whether the
# examples are random.
LONG_FUZZ = os.environ.get('SASSAFRASRIDGE_FUZZ') == 'long'
TestRaftMachine = pytest.mark.timeout(3600 if LONG_FUZZ else 120)(
    RaftMachine.TestCase
)
# The explain phase is left out because it traces every executed line.
TestRaftMachine.settings = hypothesis.settings(
    derandomize=hypothesis.settings.default.derandomize and not LONG_FUZZ,
    database=None,
    deadline=None,
    max_examples=5000 if LONG_FUZZ else 150,
    stateful_step_count=80 if LONG_FUZZ else 30,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
)


class TestMessages:
    def test_decoding_restores_the_message(self):
        """Guards against fields that are lost in transmission."""
        message = raft.Message('append', 'a', 'a0', 'b', 4, 7, 3, 5)
        message.sent_at = 1.5
        message.entries = [command(8, 4, b'\0\xff'), command(9, 4, b'')]
        message.members = {'a': raft.Member('a0', False, '127.0.0.1:1')}
        message.data = b'part'
        data = message.encode()
        assert raft.Message.decode(data) == message
        for wrong in (data[:-1], data + b'x', b''):
            with pytest.raises(raft.MalformedMessageError):
                raft.Message.decode(wrong)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(st.data())
    def test_damaged_bytes_raise_one_error(self, data):
        """Guards against malformed data from a peer that stops the task."""
        listed = raft.Entry(1, 4, 'members', b'{"a":["d",true,""]}')
        message = raft.Message('append', 'a', 'a0', 'b', 4, entries=[listed])
        whole = message.encode()
        position = data.draw(st.integers(0, len(whole) - 1))
        damaged = bytearray(whole[: data.draw(st.integers(0, len(whole)))])
        if position < len(damaged):
            damaged[position] = data.draw(st.integers(0, 255))
        random_bytes = data.draw(st.binary(max_size=40))
        for candidate in (bytes(damaged), random_bytes, whole + random_bytes):
            try:
                raftmessages.decode(candidate)
            except raft.MalformedMessageError:
                pass
