"""Tests of client sessions and their target connections, without sockets."""

import asyncio
import hashlib
import random
import time

import orjson
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionstate

StatementKind = statements.StatementKind
ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState
Position = model.Position

KEY = 'a key of the tests'

WORK = scheduling.Work()


class FakeConnection(sessionpool.SessionConnection):
    def __init__(self, target, account, log_end=None):
        super().__init__(account)
        self.target = target
        # Returns the end of the log that a replica receives.
        self.log_end = log_end or (lambda: target.position)
        self.rtt_s = target.rtt_s
        self.state = TransactionState.IDLE

    async def run(self, commands, timeout_s):
        if self.closed:
            raise connections.ConnectionLostError('closed', sent=False)
        self.target.commands.append([self, *commands])
        await asyncio.sleep(0)
        result_code = self.target.next_result_code()
        if result_code is ResultCode.LOST:
            self.close()
            raise connections.ConnectionLostError('lost', sent=True)
        for command in commands:
            if isinstance(command, sessionpool.Begin):
                self.state = TransactionState.OPEN
            ends = isinstance(command, sessionpool.Rollback) or (
                isinstance(command, sessionpool.Forward)
                and command.statement.kind is StatementKind.COMMIT
            )
            if ends:
                self.state = TransactionState.IDLE
        return sessionpool.TargetAnswer(
            result_code,
            ['row'],
            'signed',
            '',
            self.state,
            self.target.position,
        )

    async def status(self, timeout_s):
        self.position = self.target.position
        self.received = self.target.received or self.log_end()
        return self.target.answers_status

    def close(self):
        self.closed = True


class FakeTarget:
    def __init__(self, rtt_s):
        self.rtt_s = rtt_s
        self.commands = []
        self.result_codes = []
        self.position = Position(1, 10)
        # End of the log received, if it isn't that of the primary.
        self.received = None
        self.answers_status = True

    def next_result_code(self):
        return (
            self.result_codes.pop(0) if self.result_codes else ResultCode.DONE
        )

    def sent(self):
        """Return all commands received, in order."""
        return [c for _, *commands in self.commands for c in commands]


class EntryProcess(sessionpool.SessionDialer):
    """Simulate an entry process with a lease, primary p, replicas r, s."""

    def __init__(self, consistency=configuration.PRIMARY, connections_each=4):
        self.opened = 0
        self.opened_to = []
        self.refusals_left = 0
        self.targets = {
            'p': FakeTarget(0.02),
            'r': FakeTarget(0.001),
            's': FakeTarget(0.04),
        }
        times = leases.LeaseTimes()
        self.state = sessionstate.SessionEntryState(
            'e', 'z', times, connections.Dialer(), metrics.Metrics()
        )
        self.state.dialer = self
        self.configure(consistency)
        self.state.groups['g'] = model.GroupView('g', 1, 'p')
        for name in self.targets:
            self.state.record_announcement(
                model.TargetInfo(
                    name, 'g', 'z', f'10.0.0.1:{ord(name)}', '', 0, 0, 5, 0
                )
            )
            backend = self.backend(name)
            backend.pool.limit = connections_each
            backend.rtt_s = self.targets[name].rtt_s
        now = clocks.boottime()
        self.state.lease.sent(now, 1)
        self.state.lease.granted(1)
        self.service = sessionfront.SessionService(
            self.state,
            self.state.metrics,
            random.Random(1),
            admission.Admitter(self.state),
            sessionrelay.StatementRelay(self.state, None, random.Random(1)),
        )

    def routes(self, consistency):
        return [
            configuration.Route(
                'db', 'g', False, False, 0, consistency, 1.5, 0.5, 0.2
            )
        ]

    def configure(self, consistency):
        tables = configuration.Tables()
        for kind, key, record in (
            ('account', 'acme', configuration.Account('acme', 1e6, 1e6)),
            (
                'key',
                'k',
                configuration.Key(
                    'k', 'acme', hashlib.sha256(KEY.encode()).hexdigest()
                ),
            ),
            *(('service', s.name, s) for s in self.services()),
            *(('route', r.path, r) for r in self.routes(consistency)),
        ):
            tables.put(kind, key, configuration.as_dict(record))
        self.state.config.load(
            orjson.dumps(
                {
                    'revision': self.state.config.revision + 1,
                    'session_secret': '00' * 32,
                    'tables': tables.dump(),
                }
            )
        )

    def services(self):
        # A quarter of the connections is left for restarts.
        return [configuration.Service('g', 'g', 5, 40, 'adaptive')]

    def backend(self, name):
        return self.state.backends['g', name]

    async def open(self, info, account, timeout_s):
        self.opened += 1
        self.opened_to.append(info.server)
        if self.refusals_left:
            self.refusals_left -= 1
            raise sessionpool.TargetRefusedError(
                ResultCode.TOO_MANY_CONNECTIONS
            )
        return FakeConnection(
            self.targets[info.server],
            account,
            lambda: (
                self.targets[self.state.groups[info.group].primary].position
            ),
        )

    def session(self, database='db'):
        # Rate limits are not the subject of these tests.
        async def charge(account, deadline, priority):
            return None

        self.service.admitter.charge_account = charge
        return self.service.open(database, KEY)

    def run(self, *stmts, session=None):
        async def work():
            found = session or self.session()
            results = [await found.execute(stmt) for stmt in stmts]
            await asyncio.sleep(0.01)
            return results

        return asyncio.run(work())


def read(item='x'):
    return statements.Statement(StatementKind.READ, 'r1', f'FETCH {item}')


def write(item='x'):
    return statements.Statement(StatementKind.WRITE, 'w1', f'STORE {item} v')


def simple(kind, name='', value='', writes=False):
    return statements.Statement(kind, 's1', '', name, value, writes)


BEGIN = simple(StatementKind.BEGIN)
COMMIT = statements.Statement(StatementKind.COMMIT, 'c1', 'COMMIT')
ROLLBACK = simple(StatementKind.ROLLBACK)


class TestOutcomes:
    def test_a_write_without_an_answer_is_in_doubt_and_sent_once(self):
        """Guards against applying a write twice."""
        process = EntryProcess()
        process.targets['p'].result_codes = [ResultCode.LOST]
        (result,) = process.run(write())
        assert result.failure is StatementFailure.IN_DOUBT
        assert len(process.targets['p'].sent()) == 1

    def test_a_write_that_was_not_run_is_sent_again(self):
        process = EntryProcess()
        process.targets['p'].result_codes = [ResultCode.BUSY]
        (result,) = process.run(write())
        assert result.failure is None

    def test_a_read_without_an_answer_is_retried_at_another_target(self):
        process = EntryProcess(configuration.BOUNDED_AGE)
        process.state.timeline('g').sample(clocks.boottime(), 1, 10)
        process.targets['r'].result_codes = [ResultCode.LOST]
        (result,) = process.run(read())
        assert (result.failure, result.rows) == (None, ['row'])

    def test_an_acknowledgement_needs_the_lease(self):
        """Guards against acknowledging a write that a failover discards."""
        process = EntryProcess()

        class LeaseEndingTarget(FakeTarget):
            def next_result_code(self):
                process.state.lease.end()
                return ResultCode.DONE

        process.targets['p'] = LeaseEndingTarget(0.02)
        (result,) = process.run(write())
        assert result.failure is StatementFailure.IN_DOUBT

    def test_an_acknowledgement_needs_the_same_view(self):
        process = EntryProcess()

        class ViewChangingTarget(FakeTarget):
            def next_result_code(self):
                process.state.groups['g'] = model.GroupView('g', 3, 'p')
                return ResultCode.DONE

        process.targets['p'] = ViewChangingTarget(0.02)
        (result,) = process.run(write())
        assert result.failure is StatementFailure.IN_DOUBT

    def test_acknowledged_commits_are_recorded_for_control(self):
        """Guards against a promotion that control can't compare with them."""
        process = EntryProcess()
        process.run(read(), write(), write())
        assert process.state.acknowledged['g'] == Position(1, 10)
        assert process.state.commit_counts['g'] == (1, 2)

    def test_a_new_primary_clears_the_record(self):
        """Guards against positions of a log that was replaced."""
        process = EntryProcess()
        state = process.state
        state.record_acknowledged('g', Position(1, 5))
        changing = model.GroupView('g', 3, 'p', changing=True)
        state._on_primary_change(state.groups['g'], changing)
        assert state.acknowledged
        state._on_primary_change(changing, model.GroupView('g', 4, 'r'))
        assert not state.acknowledged

    def test_without_a_lease_a_write_is_refused_at_once(self):
        process = EntryProcess()
        process.state.lease._renewal_sent_at -= 2.0
        started = clocks.boottime()
        (result,) = process.run(write())
        assert result.failure is StatementFailure.NO_PRIMARY
        assert clocks.boottime() - started < 0.1

    def test_a_withdrawn_key_ends_an_open_session(self):
        process = EntryProcess()
        session = process.session()
        process.state.config._tables.put('key', 'k', None)
        (result,) = process.run(read(), session=session)
        assert result.failure is StatementFailure.UNAUTHORIZED


class TestFreshness:
    def test_without_a_known_position_a_read_goes_to_the_primary(self):
        process = EntryProcess(configuration.BOUNDED_AGE)
        process.run(read())
        assert process.targets['p'].sent()

    def test_after_an_answer_of_the_primary_replicas_serve_reads(self):
        process = EntryProcess(configuration.BOUNDED_AGE)
        process.run(read(), read())
        (forward,) = process.targets['r'].sent()
        assert forward.floor == Position(1, 10)

    def test_a_session_reads_its_own_write(self):
        process = EntryProcess(configuration.SESSION)
        process.state.timeline('g').sample(clocks.boottime(), 1, 3)
        process.targets['p'].position = Position(1, 42)
        process.run(write(), read())
        (forward,) = process.targets['r'].sent()
        assert forward.floor == Position(1, 42)

    def test_positions_of_the_former_primary_are_discarded(self):
        """Guards against stale reads after a change of primary."""
        process = EntryProcess(configuration.BOUNDED_AGE)
        process.state.timeline('g').sample(clocks.boottime(), 1, 3)
        known = process.state.groups['g']
        process.state._on_primary_change(known, model.GroupView('g', 3, 'r'))
        assert process.state.timeline('g').floor(clocks.boottime(), 9) is None

    def test_a_read_moves_on_from_a_replica_that_is_behind(self):
        process = EntryProcess(configuration.BOUNDED_AGE)
        process.state.timeline('g').sample(clocks.boottime(), 1, 10)
        process.targets['r'].result_codes = [ResultCode.BEHIND]
        (result,) = process.run(read())
        assert result.failure is None


class TestSessionState:
    def test_values_are_sent_with_the_first_statement(self):
        process = EntryProcess()
        process.run(simple(StatementKind.SET, 'tone', 'deep'), read())
        kinds = [type(c) for c in process.targets['p'].sent()]
        assert kinds == [sessionpool.SetValue, sessionpool.Forward]

    def test_values_of_another_session_are_reset_first(self):
        """Guards against running a statement with another session's values."""
        process = EntryProcess()
        process.run(simple(StatementKind.SET, 'tone', 'deep'), read())
        process.run(read())
        kinds = [type(c) for c in process.targets['p'].sent()]
        assert kinds[2:] == [sessionpool.Reset, sessionpool.Forward]

    def test_a_statement_is_prepared_once_per_connection(self):
        process = EntryProcess()
        execute = simple(StatementKind.EXECUTE, 's', 'item')
        prepare = simple(StatementKind.PREPARE, 's', 'FETCH q1')
        process.run(prepare, execute, execute)
        kinds = [type(c) for c in process.targets['p'].sent()]
        assert kinds.count(sessionpool.Prepare) == 1

    def test_an_unknown_prepared_statement_is_refused_without_a_target(self):
        process = EntryProcess()
        (result,) = process.run(simple(StatementKind.EXECUTE, 's', 'item'))
        assert result.failure is StatementFailure.MALFORMED
        assert not process.targets['p'].sent()


class TestTransactions:
    def test_all_statements_use_one_connection(self):
        """Guards against mixing the statements of several transactions."""
        process = EntryProcess()
        process.run(BEGIN, write(), read(), COMMIT)
        used = {entry[0] for entry in process.targets['p'].commands}
        assert len(used) == 1

    def test_a_lost_statement_aborts_the_transaction(self):
        process = EntryProcess()
        process.targets['p'].result_codes = [ResultCode.DONE, ResultCode.LOST]
        begun, lost, refused, ended = process.run(
            BEGIN, write(), read(), COMMIT
        )
        assert lost.failure is StatementFailure.ABORTED
        assert lost.state is TransactionState.BROKEN
        assert refused.failure is StatementFailure.MALFORMED
        assert (ended.failure, ended.state) == (
            StatementFailure.ABORTED,
            TransactionState.IDLE,
        )

    @pytest.mark.parametrize('cause', ['failed setup', 'closed pool'])
    def test_a_connection_closed_after_an_answer_aborts(
        self, cause, monkeypatch
    ):
        """Guards against a COMMIT without the earlier write, and a leak."""
        process = EntryProcess()
        run = FakeConnection.run

        async def run_and_close(conn, commands, timeout_s):
            answer = await run(conn, commands, timeout_s)
            if isinstance(commands[0], sessionpool.SetValue):
                if cause == 'failed setup':
                    answer.failed_setup = True
                else:
                    process.backend('p').pool.close()
            return answer

        monkeypatch.setattr(FakeConnection, 'run', run_and_close)
        change = simple(StatementKind.SET, 'tone', 'deep')
        _, written, _, lost, ended = process.run(
            BEGIN, write(), change, write(), COMMIT
        )
        assert written.failure is None
        assert (lost.failure, lost.state) == (
            StatementFailure.ABORTED,
            TransactionState.BROKEN,
        )
        assert ended.failure is StatementFailure.ABORTED
        backend = process.backend('p')
        assert (backend.in_flight, backend._turns._by_conn) == (0, {})

    def test_a_lost_commit_is_in_doubt(self):
        process = EntryProcess()
        process.targets['p'].result_codes = [ResultCode.DONE] * 2 + [
            ResultCode.LOST
        ]
        *_, ended = process.run(BEGIN, write(), COMMIT)
        assert ended.failure is StatementFailure.IN_DOUBT

    def test_a_commit_is_not_sent_after_a_change_of_primary(self):
        process = EntryProcess()
        session = process.session()
        process.run(BEGIN, write(), session=session)
        process.state.groups['g'] = model.GroupView('g', 3, 'r')
        (ended,) = process.run(COMMIT, session=session)
        assert ended.failure is StatementFailure.ABORTED

    def test_a_disconnect_rolls_back_and_releases_the_connection(self):
        process = EntryProcess()
        session = process.session()

        async def work():
            await session.execute(BEGIN)
            await session.execute(write())
            process.service.remove(session)
            await asyncio.sleep(0.01)

        asyncio.run(work())
        backend = process.backend('p')
        assert backend.in_flight == 0
        sent = process.targets['p'].sent()
        assert isinstance(sent[-1], sessionpool.Rollback)

    def test_a_withdrawn_key_ends_an_open_transaction(self):
        """Guards against transactions that outlive their key."""
        process = EntryProcess()
        session = process.session()
        process.run(BEGIN, write(), session=session)
        process.state.config._tables.put('key', 'k', None)
        refused, ended = process.run(read(), COMMIT, session=session)
        assert refused.failure is StatementFailure.UNAUTHORIZED
        assert ended.failure is StatementFailure.ABORTED
        commits = [
            c
            for c in process.targets['p'].sent()
            if isinstance(c, sessionpool.Forward) and c.statement is COMMIT
        ]
        assert not commits

    def test_an_expired_configuration_lease_ends_a_transaction(self):
        """Guards against using a key whose withdrawal did not arrive."""
        process = EntryProcess()
        session = process.session()
        process.run(BEGIN, read(), session=session)
        process.state.lease._renewal_sent_at -= 4.1
        (refused,) = process.run(read(), session=session)
        assert refused.failure is StatementFailure.ABORTED

    def test_an_idle_transaction_is_rolled_back(self):
        process = EntryProcess()
        session = process.session()

        async def work():
            await session.execute(BEGIN)
            await session.execute(write())
            session.expire(clocks.boottime() + 60)
            await asyncio.sleep(0.01)
            return await session.execute(COMMIT)

        assert asyncio.run(work()).failure is StatementFailure.ABORTED


class TestProbe:
    def test_a_probe_without_an_answer_returns_false(self):
        """Guards against an unhandled exception when a probe fails."""
        process = EntryProcess()

        async def open_late(info, account, timeout_s):
            await asyncio.sleep(timeout_s)
            raise connections.ConnectionLostError('silent', sent=False)

        process.open = open_late
        backend = process.backend('p')
        assert asyncio.run(backend.probe()) is False


class TestLoad:
    """Cover waiting and eviction with many accounts, few connections."""

    def test_accounts_never_share_a_connection(self):
        """Guards against running statements as another client account."""
        process = EntryProcess(connections_each=1)
        backend = process.backend('p')

        async def work():
            for account in ('a', 'b', 'a'):
                conn = await backend.acquire(
                    account, WORK, clocks.boottime() + 1, {}
                )
                assert conn.account == account
                backend.release(conn, clean=True)
            assert backend.pool.held == 1

        asyncio.run(work())

    def test_waiting_accounts_get_released_connections_in_turn(self):
        """Guards against one account's queue blocking the others."""
        process = EntryProcess(connections_each=1)
        backend = process.backend('p')
        order = []

        async def use(account):
            conn = await backend.acquire(
                account, WORK, clocks.boottime() + 2, {}
            )
            order.append(account)
            await asyncio.sleep(0.001)
            backend.release(conn, clean=True)

        async def work():
            tasks = [asyncio.ensure_future(use('big')) for _ in range(20)]
            await asyncio.sleep(0)
            tasks.append(asyncio.ensure_future(use('small')))
            await asyncio.gather(*tasks)

        asyncio.run(work())
        assert order.index('small') < 5

    def test_the_end_of_an_opening_admits_no_statement_above_the_limit(self):
        """Guards against overload whenever a connection was opened."""
        process = EntryProcess()
        backend = process.backend('p')
        backend.statement_limit = lambda: 1
        running = []
        open_conn = process.open

        async def open_slowly(info, account, timeout_s):
            await asyncio.sleep(0.01)
            return await open_conn(info, account, timeout_s)

        process.open = open_slowly

        async def run_one(account):
            deadline = clocks.boottime() + 3
            conn = await backend.acquire(account, WORK, deadline, {})
            running.append(len(backend._running))
            await asyncio.sleep(0.02)
            backend.statement_ended(conn)
            backend.release(conn, clean=True)

        async def work():
            await asyncio.gather(*(run_one(account) for account in 'abcd'))

        asyncio.run(work())
        assert running == [1] * 4

    def test_a_connection_that_is_not_free_in_time_is_refused(self):
        process = EntryProcess(connections_each=1)
        backend = process.backend('p')

        async def work():
            held = await backend.acquire('a', WORK, clocks.boottime() + 1, {})
            started = clocks.boottime()
            with pytest.raises(Exception, match='deadline'):
                await backend.acquire('b', WORK, started + 0.05, {})
            assert clocks.boottime() - started < 0.5
            backend.release(held, clean=True)

        asyncio.run(work())


class SlottedTarget:
    """Simulate a target with slots and a queue that many processes use.

    Opening a connection takes a slot for as long as running a statement.
    """

    def __init__(self, slots, queue):
        self.capacity = slots + queue
        self.slots = asyncio.Semaphore(slots)
        self.waiting = 0
        self.rejected = self.opened = self.ran = 0

    async def work(self):
        if self.waiting >= self.capacity:
            self.rejected += 1
            raise sessionpool.TargetRefusedError(ResultCode.BUSY)
        self.waiting += 1
        async with self.slots:
            await asyncio.sleep(0.001)
        self.waiting -= 1

    async def open(self, info, account, timeout_s):
        await self.work()
        self.opened += 1
        conn = FakeConnection(FakeTarget(0.0), account)

        async def run(commands, timeout_s):
            await self.work()
            self.ran += 1
            return sessionpool.TargetAnswer(
                ResultCode.DONE, [], 's', '', TransactionState.IDLE, None
            )

        conn.run = run
        return conn


class TestBurst:
    """Pattern: a burst of callers of many accounts at one group.

    Each account needs a connection of its own. If the processes send more
    than the target can queue, it rejects what has just cost it the opening of
    a connection; the callers come back, and the overload outlasts the burst.
    """

    ACCOUNTS = 30
    PROCESSES = 7

    def burst(self, target, stall_s=0.0):
        """Run the burst; the event loop stands still once for ``stall_s``."""
        processes = [EntryProcess() for _ in range(self.PROCESSES)]
        refused = []

        async def use(process, account):
            backend = process.backend('p')
            try:
                conn = await backend.acquire(
                    account, WORK, clocks.boottime() + 5, {}
                )
            except sessionpool.TargetRefusedError as exc:
                refused.append(exc)
                return
            answer = await process.service.open('db', KEY)._send(
                backend, conn, [], clocks.boottime() + 5, False
            )
            if answer.result_code is not ResultCode.DONE:
                refused.append(answer)

        async def work():
            for process in processes:
                backend = process.backend('p')
                backend._session_dialer = target
                backend.pool.limit = 11
                backend.connection_budget = lambda: 78
            if stall_s:
                asyncio.get_running_loop().call_later(
                    0.005, time.sleep, stall_s
                )
            await asyncio.gather(
                *(
                    use(process, f'account {number}')
                    for process in processes
                    for number in range(self.ACCOUNTS)
                )
            )

        asyncio.run(work())
        return refused

    def test_nothing_is_rejected_that_could_wait_here(self):
        """Guards against an overload that sustains itself."""
        target = SlottedTarget(slots=5, queue=40)
        assert self.burst(target) == []
        assert target.rejected == 0
        assert target.ran == self.ACCOUNTS * self.PROCESSES

    def test_a_stall_of_the_processes_refuses_nothing(self):
        """Guards against queueing twice on a busy machine.

        Statements in progress during the stall no longer count as running,
        so others are admitted. Those must go on when the former turn out to
        be running after all: if they queued again, they would lose their
        turn, and the queue would refuse them for the rate that it measured
        during the stall.
        """
        target = SlottedTarget(slots=5, queue=40)
        stall_s = 1.5 * sessionpool.STATEMENT_STALL_S
        assert self.burst(target, stall_s) == []
        assert target.rejected == 0
        assert target.ran == self.ACCOUNTS * self.PROCESSES

    def test_a_transaction_that_rests_does_not_count(self):
        """Guards against clients that rest inside transactions."""
        process = EntryProcess(connections_each=11)
        backend = process.backend('p')

        async def work():
            for number in range(6):
                session = process.session()
                await session.execute(BEGIN)
                result = await session.execute(write())
                assert result.failure is None, number
            assert backend.in_flight == 6
            assert not backend._running

        asyncio.run(work())

    def test_lost_answers_do_not_hold_the_others_up(self):
        """Guards against a queue that waits for answers that never come."""
        process = EntryProcess(connections_each=11)
        backend = process.backend('p')
        backend.connection_budget = lambda: 78

        async def work():
            for _ in range(3):
                conn = await backend.acquire(
                    'a', WORK, clocks.boottime() + 1, {}
                )
                backend.statement_started(conn)
            started = clocks.boottime()
            with pytest.raises(Exception, match='deadline'):
                await backend.acquire('b', WORK, started + 0.05, {})
            for conn in backend._running:
                backend._running[conn] -= sessionpool.STATEMENT_STALL_S
            await backend.acquire('b', WORK, clocks.boottime() + 0.05, {})

        asyncio.run(work())

    def test_a_statement_that_gives_up_passes_its_turn_on(self):
        """Guards against slots that nobody uses after a timeout."""
        process = EntryProcess(connections_each=1)
        backend = process.backend('p')

        async def work():
            held = await backend.acquire('a', WORK, clocks.boottime() + 1, {})
            with pytest.raises(Exception, match='deadline'):
                await backend.acquire('b', WORK, clocks.boottime() + 0.01, {})
            waiting = asyncio.ensure_future(
                backend.acquire('c', WORK, clocks.boottime() + 1, {})
            )
            cancelled = asyncio.ensure_future(
                backend.acquire('d', WORK, clocks.boottime() + 1, {})
            )
            await asyncio.sleep(0)
            cancelled.cancel()
            backend.release(held, clean=True)
            conn = await waiting
            backend.release(conn, clean=True)
            assert (backend._admitted, len(backend.queue)) == (0, 0)

        asyncio.run(work())


class TestStart:
    """Guards against clients using up their retries at a new process."""

    def test_a_session_waits_for_the_first_lease(self):
        process = EntryProcess()

        async def work():
            opening = asyncio.ensure_future(
                process.service.open_when_ready('db', KEY)
            )
            await asyncio.sleep(0.02)
            assert not opening.done()
            process.state.configured.set()
            return await opening

        assert asyncio.run(work()).database == 'db'

    def test_without_a_lease_a_session_is_refused_after_the_wait(
        self, monkeypatch
    ):
        monkeypatch.setattr(sessionfront, 'START_WAIT_S', 0.02)
        process = EntryProcess()
        process.state.config_valid = lambda: False
        for _ in range(2):
            with pytest.raises(sessionbase.SessionError) as caught:
                asyncio.run(process.service.open_when_ready('db', KEY))
            assert caught.value.failure is StatementFailure.BUSY

    def test_after_the_start_period_a_session_is_refused_at_once(self):
        """Guards against waiting at a process that can't reach control."""
        process = EntryProcess()
        process.state.config_valid = lambda: False
        process.service._started_at -= sessionfront.START_WAIT_S

        async def work():
            async with asyncio.timeout(0.1):
                await process.service.open_when_ready('db', KEY)

        with pytest.raises(sessionbase.SessionError):
            asyncio.run(work())

    def test_a_disconnect_while_opening_leaves_no_session(self):
        process = EntryProcess()

        async def work():
            opening = asyncio.ensure_future(
                process.service.open_when_ready('db', KEY)
            )
            await asyncio.sleep(0.02)
            opening.cancel()
            process.state.configured.set()
            await asyncio.sleep(0.02)

        asyncio.run(work())
        assert process.service.sessions == set()


class TestFullTarget:
    """Cover a target whose connections are still taken by lost VMs."""

    def test_a_write_waits_briefly_for_a_connection(self, monkeypatch):
        monkeypatch.setattr(sessionpool, 'FULL_BACKOFF_S', 0.05)
        process = EntryProcess()
        process.refusals_left = 1
        (result,) = process.run(write())
        assert result.failure is None
        assert process.opened_to.count('p') == 2

    def test_no_further_connection_is_opened_during_the_backoff(self):
        """Guards against repeated connection attempts to a full target."""
        process = EntryProcess()
        process.refusals_left = 100
        (result,) = process.run(write())
        assert result.failure is StatementFailure.BUSY
        assert process.opened == 1

    def test_idle_connections_of_other_accounts_are_replaced(self):
        process = EntryProcess()
        backend = process.backend('p')

        async def work():
            conn = await backend.acquire('a', WORK, clocks.boottime() + 1, {})
            backend.release(conn, clean=True)
            process.refusals_left = 1
            with pytest.raises(sessionpool.TargetRefusedError):
                await backend.acquire('b', WORK, clocks.boottime() + 1, {})
            taken = await backend.acquire('b', WORK, clocks.boottime() + 1, {})
            assert conn.closed and taken.account == 'b'
            assert backend.pool.held == 1

        asyncio.run(work())

    def test_waiting_statements_use_released_connections(self):
        process = EntryProcess()
        backend = process.backend('p')

        async def work():
            conn = await backend.acquire('a', WORK, clocks.boottime() + 1, {})
            backend._mark_full(clocks.boottime())
            waiting = asyncio.ensure_future(
                backend.acquire('a', WORK, clocks.boottime() + 1, {})
            )
            await asyncio.sleep(0.01)
            assert not waiting.done()
            backend.release(conn, clean=True)
            assert await waiting is conn

        asyncio.run(work())


class TestShortDeadline:
    def test_a_statement_that_cannot_be_answered_in_time_is_not_sent(self):
        """Guards against a needless unknown outcome at the deadline."""
        process = EntryProcess()
        process.targets['p'].rtt_s = 5.0
        (result,) = process.run(write())
        assert result.failure is StatementFailure.BUSY
        assert process.targets['p'].commands == []


class TestChangeOfPrimary:
    """Pattern: callers of a group while its primary is being replaced."""

    def change(self, process, begun_s_ago):
        state = process.state
        changing = model.GroupView('g', 2, 'p', changing=True)
        state.groups['g'] = changing
        state._on_primary_change(model.GroupView('g', 1, 'p'), changing)
        state.primary_changes._begun_at['g'] -= begun_s_ago

    def write_during_change(self, process, ends_after_s):
        async def work():
            session = process.session()
            fut = asyncio.ensure_future(session.execute(write()))
            await asyncio.sleep(ends_after_s)
            process.state.groups['g'] = model.GroupView('g', 3, 'r')
            started = clocks.boottime()
            result = await fut
            return result, clocks.boottime() - started

        return asyncio.run(work())

    def test_a_write_waits_for_a_change_that_will_end_in_time(self):
        process = EntryProcess()
        self.change(process, 0.7)
        result, _ = self.write_during_change(process, 0.15)
        assert result.failure is None
        assert len(process.targets['r'].sent()) == 1
        assert process.targets['p'].sent() == []

    def test_a_write_is_refused_early_if_the_change_takes_too_long(self):
        """Guards against holding callers that can't be served in time."""
        process = EntryProcess()
        now = clocks.boottime()
        process.state.primary_changes.begin(now - 2.0, 'g')
        process.state.primary_changes.end(now, 'g')
        self.change(process, 0.0)
        result, late_s = self.write_during_change(process, 0.15)
        assert result.failure is StatementFailure.NO_PRIMARY
        assert late_s < 0.05
        assert process.targets['r'].sent() == []
