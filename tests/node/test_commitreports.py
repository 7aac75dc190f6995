"""Tests of the reports that control members pass on to each other."""

import asyncio

import orjson
import pytest

from sassafrasridge_core import acknowledged
from sassafrasridge_core import grouprecords
from sassafrasridge_core import model
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmessages
from sassafrasridge_node import commitreports
from sassafrasridge_node import logmessages
from sassafrasridge_node import rpc
from tests.node import test_control
from tests.node import test_leadership


def message(kind, recipient='c2', term=3, **fields):
    return raftmessages.Message(kind, 'c1', 'd1', recipient, term, **fields)


def decoded(attached):
    return acknowledged.decode(attached.body) if attached else {}


class Exchange:
    """Send messages of one member, each processed by its recipient."""

    def __init__(self):
        self.known = acknowledged.AcknowledgedCommits()
        self.reports = commitreports.CommitReports(self.known)
        self.now = 10.0

    def report(self, index, group='g'):
        self.known.report({group: model.Position(1, index)})

    def send(self, kind, to_voter=True, arrives=True, **fields):
        """Send a message; return the indexes that it carries, by group."""
        self.now += 0.1
        attached = self.reports.attachment(
            self.now, message(kind, **fields), to_voter
        )
        if attached is not None and arrives:
            self.reports.delivered(self.now, attached)
        return {g: at.index for g, at in decoded(attached).items()}


class TestHeartbeats:
    def setup_method(self):
        self.exchange = Exchange()
        self.send = self.exchange.send
        self.exchange.report(1, 'f')
        self.exchange.report(7)

    def test_they_carry_what_is_new(self):
        """Guards against reports that end with the leader."""
        assert self.send('heartbeat') == {'f': 1, 'g': 7}
        assert not self.send('heartbeat')
        self.exchange.report(9)
        assert self.send('heartbeat') == {'g': 9}

    def test_what_was_not_delivered_is_sent_again(self):
        """Guards against reports that a cut link loses."""
        assert self.send('heartbeat', arrives=False) == {'f': 1, 'g': 7}
        assert self.send('heartbeat') == {'f': 1, 'g': 7}

    def test_each_follower_gets_them(self):
        self.send('heartbeat')
        assert self.send('heartbeat', recipient='c3') == {'f': 1, 'g': 7}

    def test_a_learner_gets_none(self):
        """Guards against traffic to members that can't lead."""
        assert not self.send('heartbeat', to_voter=False)

    def test_everything_is_sent_again_after_a_while(self):
        """Guards against a member that restarted and knows nothing."""
        self.send('heartbeat')
        self.exchange.now += commitreports.REFRESH_INTERVAL_S
        assert self.send('heartbeat') == {'f': 1, 'g': 7}

    def test_many_commits_are_sent_less_often(self):
        """Guards against traffic that grows with the number of groups."""
        sent = 0
        for turn in range(60):
            for number in range(1200):
                self.exchange.report(100 + turn, f'g{number}')
            sent += len(self.send('heartbeat'))
        limit = commitreports.MAX_COMMITS_PER_S * 6
        assert 0.8 * limit <= sent <= 1.2 * limit


class TestAnswersToLeaders:
    def setup_method(self):
        self.exchange = Exchange()
        self.exchange.report(7)

    @pytest.mark.parametrize(
        ('kind', 'granted'), [('vote_ack', True), ('heartbeat_ack', False)]
    )
    def test_a_new_leader_gets_everything_once(self, kind, granted):
        """Guards against reports that only members without a lead have."""
        send = self.exchange.send
        assert send(kind, granted=granted, arrives=False) == {'g': 7}
        assert send(kind, granted=granted) == {'g': 7}
        assert not send('heartbeat_ack')
        assert send('heartbeat_ack', term=4) == {'g': 7}

    def test_a_refused_vote_carries_nothing(self):
        assert not self.exchange.send('vote_ack')


class _Log(test_control._Log):
    """Stub of a replicated log that takes messages."""

    def receive(self, now, message):
        self.received = message


class TestControlMember:
    """Pattern: a member learns commits before it leads."""

    def run(self, learn):
        """Let a member learn; return the commit that it knows as leader."""

        async def work():
            log = _Log()
            log.leading = False
            member = test_control._member(log)
            await learn(member)
            log.leading = True
            member._update_leadership()
            try:
                return member.leadership.lease_table.acknowledged('g')
            finally:
                member._end_leadership()

        return asyncio.run(work())

    @staticmethod
    def wire(body):
        return rpc.idl.LogMessage(
            sender='c2',
            recipient='c1',
            body=message('heartbeat', recipient='c1').encode(),
            acknowledged=body,
        )

    @staticmethod
    def change_primary(member, index, primary):
        view = model.GroupView('g', index, primary, log_term=index)
        command = {
            'type': 'group',
            'group': grouprecords.as_json(view),
            'time': 1.0,
        }
        member._apply(
            raft.Entry(index, 1, raftlog.COMMAND, orjson.dumps(command))
        )

    def test_a_message_of_the_log_tells_it(self):
        """Guards against a promotion without commits of the last leader."""

        async def learn(member):
            body = acknowledged.encode({'g': model.Position(1, 7)})
            assert await member.log_message(self.wire(body))

        assert self.run(learn) == model.Position(1, 7)

    def test_a_relayed_renewal_tells_it(self):
        """Guards against the loss of a report whose leader just ended."""

        async def learn(member):
            report = rpc.idl.AcknowledgedCommit(group='g', term=1, index=7)
            req = test_leadership.request('e1', acknowledged=[report])
            reply = await member.renew(req)
            assert reply.reason == 'no_leader'

        assert self.run(learn) == model.Position(1, 7)

    def test_a_message_of_an_earlier_release_tells_nothing(self):
        async def learn(member):
            assert await member.log_message(self.wire(None))

        assert self.run(learn) is None

    def test_a_malformed_report_drops_the_message(self):
        """Guards against a member that ends because of a message."""

        async def learn(member):
            assert not await member.log_message(self.wire(b'{"g":7}'))

        assert self.run(learn) is None

    def test_a_committed_change_of_primary_ends_it(self):
        """Guards against a wait for commits that were given up."""

        async def learn(member):
            self.change_primary(member, 1, 'a')
            member.acknowledged.report({'g': model.Position(1, 7)})
            self.change_primary(member, 2, 'b')

        assert self.run(learn) is None

    def test_the_leader_tells_it_over_a_connection(self):
        """Guards against reports that no message takes along."""

        async def learn(member):
            secret = b's' * 32
            server = rpc.Server(rpc.idl.Daemon, member, secret)
            await server.start('127.0.0.1', 0)
            pool = rpc.ClientPool(rpc.idl.Control, secret)
            known = acknowledged.AcknowledgedCommits()
            known.report({'g': model.Position(1, 7)})
            sender = logmessages.MessageSender(
                lambda name: server.address,
                pool,
                commitreports.CommitReports(known),
            )
            try:
                sender.send(message('heartbeat', recipient='c1'), True)
                async with asyncio.timeout(5.0):
                    while member.acknowledged.get('g') is None:
                        await asyncio.sleep(0.01)
            finally:
                pool.close()
                await server.stop()

        assert self.run(learn) == model.Position(1, 7)
