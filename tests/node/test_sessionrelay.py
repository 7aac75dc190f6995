"""Tests of statements relayed to another entry process, without sockets."""

import asyncio
import random

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import ownwrites
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import relayedsessions
from sassafrasridge_node import rpc
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from tests.node import test_sessionfront as front

StatementKind = statements.StatementKind
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState

SILENT = 'silent'
STUCK = 'stuck'
UNREACHED = 'unreached'


class Peer:
    """Serve relay calls of one process and inject the planned faults."""

    def __init__(self, process):
        self.process = process
        self.sessions = relayedsessions.RelayedSessions(process.service)
        self.faults = []
        self.calls = 0

    async def call(self, api, call, timeout_s):
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else ''
        if fault == UNREACHED:
            raise rpc.RpcError('refused', sent=False)
        reply = await getattr(self.sessions, api)(call)
        if fault == STUCK:
            await asyncio.sleep(timeout_s)
            raise rpc.RpcError('no answer', sent=True)
        if fault == SILENT:
            raise rpc.RpcError('no answer', sent=True)
        return reply


class Pair:
    """Connect a process with client sessions to two that serve the group."""

    process_type = front.EntryProcess

    def __init__(self, consistency=configuration.PRIMARY):
        self.near = self.process_type(consistency)
        self.peers = {
            name: Peer(self.process_type(consistency)) for name in ('s1', 's2')
        }
        state = self.near.state
        state.serves = lambda group: False
        state.relay_order = lambda group, account, zone: list(self.peers)
        state.entries = {name: name for name in self.peers}
        self.near.service.relays = sessionrelay.StatementRelay(
            state, self, random.Random(1)
        )
        self.first, self.second = self.peers.values()

    def get(self, address):
        return self.peers[address]

    def run(self, *stmts, session=None):
        return self.near.run(*stmts, session=session)


def forwarded(peer, target='p'):
    """Return the statements that a process sent to a target."""
    return [
        command.statement
        for command in peer.process.targets[target].sent()
        if isinstance(command, sessionpool.Forward)
    ]


class TestSingleStatements:
    def test_statements_run_for_the_client_account(self):
        pair = Pair()
        results = pair.run(front.write(), front.read())
        assert [r.failure for r in results] == [None, None]
        assert [s.id for s in forwarded(pair.first)] == ['w1', 'r1']
        assert pair.near.targets['p'].commands == []
        conn = pair.first.process.targets['p'].commands[0][0]
        assert conn.account == 'acme'

    def test_values_and_prepared_statements_are_relayed(self):
        pair = Pair()
        results = pair.run(
            front.simple(StatementKind.SET, 'zone', 'x'),
            front.simple(StatementKind.PREPARE, 'q', 'FETCH shape'),
            front.simple(StatementKind.EXECUTE, 'q', 'i'),
        )
        assert [r.failure for r in results] == [None, None, None]
        sent = pair.first.process.targets['p'].sent()
        assert [type(c).__name__ for c in sent] == [
            'SetValue',
            'Prepare',
            'Forward',
        ]

    def test_a_write_without_an_answer_is_in_doubt_and_sent_once(self):
        """Guards against running a write twice through two processes."""
        pair = Pair()
        pair.first.faults = [SILENT]
        (result,) = pair.run(front.write())
        assert result.failure is StatementFailure.IN_DOUBT
        assert pair.second.calls == 0

    def test_a_read_without_an_answer_goes_to_the_next_process(self):
        pair = Pair()
        pair.first.faults = [SILENT]
        (result,) = pair.run(front.read())
        assert result.failure is None
        assert pair.second.calls == 1

    def test_a_read_does_not_spend_all_its_time_on_one_process(self):
        """Guards against reads that time out at a process that hangs."""
        pair = Pair()
        pair.first.faults = [STUCK]
        (result,) = pair.run(front.read())
        assert result.failure is None
        assert pair.second.calls == 1

    def test_a_write_that_was_not_sent_goes_to_the_next_process(self):
        pair = Pair()
        pair.first.faults = [UNREACHED]
        first, second = pair.run(front.write(), front.write())
        assert first.failure is None and second.failure is None
        # The process that could not be reached is tried last.
        assert (pair.first.calls, pair.second.calls) == (1, 2)

    def test_no_reachable_process_is_reported_as_not_run(self):
        pair = Pair()
        pair.first.faults = [UNREACHED]
        pair.second.faults = [UNREACHED]
        (result,) = pair.run(front.write())
        assert result.failure is StatementFailure.BUSY

    def test_own_writes_are_read_through_another_process(self):
        """Guards against losing the position of a relayed write."""
        pair = Pair(configuration.SESSION)
        for peer in pair.peers.values():
            state = peer.process.state
            state.timeline('g').sample(clocks.boottime(), 1, 5)
        session = pair.near.session()
        pair.run(front.write(), session=session)
        assert session.own_writes.position('g') == model.Position(1, 10)
        pair.first.faults = [UNREACHED]
        pair.run(front.read(), session=session)
        (req,) = forwarded(pair.second, 'r') or forwarded(pair.second, 'p')
        assert req.id == 'r1'
        for target in pair.second.process.targets.values():
            for command in target.sent():
                if command.floor is not None:
                    assert command.floor >= model.Position(1, 10)

    def test_a_key_unknown_to_the_other_process_is_refused(self):
        pair = Pair()
        for peer in pair.peers.values():
            config = peer.process.state.config
            config.account_by_key_digest = lambda digest: None
        (result,) = pair.run(front.write())
        assert result.failure is StatementFailure.UNAUTHORIZED

    def test_statements_are_relayed_only_once(self):
        """Guards against a relay loop between two processes.

        Each of them believes that the other one serves the group.
        """
        pair = Pair()
        for peer in pair.peers.values():
            peer.process.state.serves = lambda group: False
        (result,) = pair.run(front.write())
        assert result.failure is None
        assert (pair.first.calls, pair.second.calls) == (1, 0)


class TestMemberWithoutPrimary:
    """Pattern: a member of a serving set is cut off from the primary.

    Or from control, so that its lease has run out; others still serve.
    """

    def test_a_write_goes_to_the_next_member(self):
        """Guards against refusing what another member can serve."""
        pair = Pair()
        pair.first.process.state.lease._renewal_sent_at -= 2.0
        (result,) = pair.run(front.write())
        assert result.failure is None
        assert forwarded(pair.first) == []
        assert len(forwarded(pair.second)) == 1

    @pytest.mark.parametrize('unreachable', [1, 2])
    def test_the_members_together_wait_no_longer_than_one(self, unreachable):
        """Guards against waiting again at each member in turn."""
        pair = Pair()

        async def open_nothing(info, account, timeout_s):
            raise connections.ConnectionLostError('refused', sent=False)

        for peer in list(pair.peers.values())[:unreachable]:
            peer.process.open = open_nothing
        started = clocks.boottime()
        (result,) = pair.run(front.write())
        assert clocks.boottime() - started < 0.5
        if unreachable == 1:
            assert result.failure is None
            assert len(forwarded(pair.second)) == 1
        else:
            assert result.failure is StatementFailure.NO_PRIMARY

    def test_a_transaction_begins_at_the_next_member(self):
        pair = Pair()
        pair.first.process.state.lease._renewal_sent_at -= 2.0
        results = pair.run(front.BEGIN, front.write(), front.COMMIT)
        assert [r.failure for r in results] == [None] * 3
        assert pair.first.sessions._transactions == {}

    def test_without_any_primary_the_refusal_is_passed_on(self):
        pair = Pair()
        for peer in pair.peers.values():
            peer.process.state.lease._renewal_sent_at -= 2.0
        (result,) = pair.run(front.write())
        assert result.failure is StatementFailure.NO_PRIMARY
        assert (pair.first.calls, pair.second.calls) == (1, 1)


class TestTransactions:
    def test_all_statements_run_on_one_connection(self):
        pair = Pair()
        results = pair.run(
            front.BEGIN, front.read(), front.write(), front.COMMIT
        )
        assert [r.failure for r in results] == [None] * 4
        assert [r.state for r in results] == [
            TransactionState.OPEN,
            TransactionState.OPEN,
            TransactionState.OPEN,
            TransactionState.IDLE,
        ]
        commands = pair.first.process.targets['p'].commands
        assert len({id(conn) for conn, *_ in commands}) == 1
        assert pair.first.sessions._transactions == {}
        assert pair.first.process.service.sessions == set()

    def test_a_rollback_ends_the_transaction_at_the_other_process(self):
        pair = Pair()
        results = pair.run(front.BEGIN, front.write(), front.ROLLBACK)
        assert [r.failure for r in results] == [None] * 3
        last = pair.first.process.targets['p'].sent()[-1]
        assert isinstance(last, sessionpool.Rollback)
        assert pair.first.sessions._transactions == {}

    def test_a_disconnect_ends_the_transaction_at_the_other_process(self):
        pair = Pair()

        async def work():
            session = pair.near.session()
            for stmt in (front.BEGIN, front.write()):
                await session.execute(stmt)
            pair.near.service.remove(session)
            await asyncio.sleep(0.01)

        asyncio.run(work())
        assert pair.first.sessions._transactions == {}

    def test_a_commit_without_an_answer_is_in_doubt(self):
        """Guards against reporting an outcome that is not known."""
        pair = Pair()
        pair.first.faults = ['', SILENT]
        *_, result = pair.run(front.BEGIN, front.write(), front.COMMIT)
        assert result.failure is StatementFailure.IN_DOUBT
        assert result.state is TransactionState.IDLE

    @pytest.mark.parametrize('fault', [SILENT, UNREACHED])
    def test_a_statement_without_an_answer_aborts_the_transaction(self, fault):
        pair = Pair()
        pair.first.faults = ['', fault]
        results = pair.run(
            front.BEGIN, front.write(), front.read(), front.COMMIT
        )
        assert [r.failure for r in results] == [
            None,
            None,
            StatementFailure.ABORTED,
            StatementFailure.ABORTED,
        ]
        assert len(forwarded(pair.second)) == 0

    @pytest.mark.parametrize('fault', [SILENT, STUCK])
    def test_the_first_statement_without_an_answer_starts_elsewhere(
        self, fault
    ):
        """Guards against a lost transaction, and one that runs twice."""
        pair = Pair()
        pair.first.faults = [fault]
        results = pair.run(front.BEGIN, front.write(), front.COMMIT)
        assert [r.failure for r in results] == [None] * 3
        assert pair.first.sessions._transactions == {}
        assert pair.second.sessions._transactions == {}
        assert isinstance(
            pair.first.process.targets['p'].sent()[-1], sessionpool.Rollback
        )
        assert [s.kind for s in forwarded(pair.first)] == [StatementKind.WRITE]
        assert [s.kind for s in forwarded(pair.second)] == [
            StatementKind.WRITE,
            StatementKind.COMMIT,
        ]

    def test_a_first_statement_that_nobody_answers_leaves_nothing_open(self):
        """Guards against a transaction that is never ended."""
        pair = Pair()
        pair.first.faults = pair.second.faults = [SILENT, SILENT]
        results = pair.run(front.BEGIN, front.write())
        assert results[1].failure is StatementFailure.ABORTED
        assert pair.first.sessions._transactions == {}
        assert pair.second.sessions._transactions == {}

    def test_an_idle_transaction_is_ended_where_it_runs(self):
        """Guards against transactions that outlive the session's process."""
        pair = Pair()
        session = pair.near.session()
        pair.run(front.BEGIN, front.write(), session=session)
        (relayed,) = pair.first.sessions._transactions.values()

        async def expire():
            relayed.expire(relayed.transaction.used_at + 60)
            await asyncio.sleep(0.01)

        asyncio.run(expire())
        assert pair.first.sessions._transactions == {}
        (result,) = pair.run(front.COMMIT, session=session)
        assert result.failure is StatementFailure.ABORTED

    def test_a_rollback_waits_for_the_statement_in_progress(self):
        """Guards against a connection that is never released."""
        pair = Pair()
        sessions, target = pair.first.sessions, pair.first.process.targets['p']
        stmt = front.write()
        digest = pair.near.session()._digest
        req = sessionrelay.RelayedStatement(
            'db', digest, stmt, {}, begin=StatementKind.BEGIN, transaction=7
        )
        end = sessionrelay.RelayedStatement(
            '', '', front.ROLLBACK, {}, transaction=7
        )

        async def work():
            running = asyncio.ensure_future(sessions.run(req))
            await asyncio.sleep(0)
            await sessions.run(end)
            await running
            await asyncio.sleep(0.01)

        asyncio.run(work())
        assert isinstance(target.sent()[-1], sessionpool.Rollback)
        assert sessions._transactions == {}
        assert pair.first.process.backend('p').in_flight == 0

    def test_a_concurrent_statement_is_refused_and_ends_the_transaction(self):
        """Guards against acknowledging a commit that was not run."""
        pair = Pair()
        sessions, target = pair.first.sessions, pair.first.process.targets['p']
        digest = pair.near.session()._digest
        first = sessionrelay.RelayedStatement(
            'db',
            digest,
            front.write(),
            {},
            begin=StatementKind.BEGIN,
            transaction=7,
        )
        concurrent = sessionrelay.RelayedStatement(
            'db', digest, front.COMMIT, {}, transaction=7
        )

        async def work():
            running = asyncio.ensure_future(sessions.run(first))
            await asyncio.sleep(0)
            answer = await sessions.run(concurrent)
            await running
            await asyncio.sleep(0.01)
            return answer

        answer = asyncio.run(work())
        assert answer.result.failure is StatementFailure.ABORTED
        assert isinstance(target.sent()[-1], sessionpool.Rollback)

    def test_statements_above_the_limit_are_refused_as_not_run(
        self, monkeypatch
    ):
        monkeypatch.setattr(relayedsessions, 'MAX_RELAYED', 1)
        pair = Pair()
        session = pair.near.session()
        pair.run(front.BEGIN, front.write(), session=session)
        (result,) = pair.run(front.write())
        assert result.failure is StatementFailure.BUSY


def own_writes():
    writes = ownwrites.OwnWrites()
    writes.record('g', model.Position(3, 4))
    writes.record('h', None)
    return writes


class TestEncoding:
    def test_a_statement_survives_encoding_and_decoding(self):
        stmt = statements.Statement(
            StatementKind.EXECUTE, 'i', 'EXECUTE q x', 'q', 'x', True
        )
        sent = sessionrelay.RelayedStatement(
            'db',
            'digest',
            stmt,
            {'a': 'b'},
            ('STORE s', True),
            own_writes(),
            model.Position(3, 4),
            StatementKind.BEGIN_READ,
            5,
            0.25,
        )
        found = sessionrelay.RelayedStatement.decode(sent.encode())
        assert found.encode() == sent.encode()
        assert found.floor == sent.floor and found.prepared == sent.prepared

    def test_a_result_survives_encoding_and_decoding(self):
        sent = sessionrelay.RelayedResult(
            statements.Result(
                ['r'],
                's',
                StatementFailure.BUSY,
                'd',
                position=model.Position(1, 2),
            ),
            own_writes(),
            model.Position(1, 2),
            True,
        )
        found = sessionrelay.RelayedResult.decode(sent.encode())
        assert found.encode() == sent.encode()
