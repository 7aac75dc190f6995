"""Tests of sessions: what is kept, sent, retried and told, without sockets."""

import asyncio
import hashlib
import random

import orjson
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionstate

Kind = statements.Kind
Verdict = statements.Verdict
Failure = statements.Failure
State = statements.State
Position = model.Position

KEY = 'a key of the tests'


class FakeConnection(sessionpool.SessionConnection):
    def __init__(self, target, account):
        super().__init__(account)
        self.target = target
        self.rtt_s = target.rtt_s
        self.state = State.IDLE

    async def run(self, commands, timeout_s):
        if self.closed:
            raise connections.ConnectionLostError('closed', sent=False)
        self.target.commands.append([self, *commands])
        await asyncio.sleep(0)
        verdict = self.target.next_verdict()
        if verdict is Verdict.LOST:
            self.close()
            raise connections.ConnectionLostError('lost', sent=True)
        for command in commands:
            if isinstance(command, sessionpool.Begin):
                self.state = State.OPEN
            ends = isinstance(command, sessionpool.Rollback) or (
                isinstance(command, sessionpool.Forward)
                and command.statement.kind is Kind.COMMIT
            )
            if ends:
                self.state = State.IDLE
        return sessionpool.TargetAnswer(
            verdict, ['row'], 'signed', '', self.state, self.target.position
        )

    async def status(self, timeout_s):
        return True

    def close(self):
        self.closed = True


class FakeTarget:
    def __init__(self, rtt_s):
        self.rtt_s = rtt_s
        self.commands = []
        self.verdicts = []
        self.position = Position(1, 10)

    def next_verdict(self):
        return self.verdicts.pop(0) if self.verdicts else Verdict.DONE

    def sent(self):
        """Return the commands without connections, in order."""
        return [c for _, *commands in self.commands for c in commands]


class Setting(sessionpool.SessionDialer):
    """An entry process with a lease, a primary p and replicas r and s."""

    def __init__(self, consistency=configuration.PRIMARY, connections_each=4):
        self.opened = 0
        self.full_for = 0
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
            self.state.announced(
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
        self.service = sessionfront.Service(
            self.state,
            self.state.metrics,
            random.Random(1),
            admission.Admitter(self.state),
            sessionrelay.Relays(self.state, None, random.Random(1)),
        )

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
            (
                'service',
                'g',
                configuration.Service('g', 'g', 5, 30, 'adaptive'),
            ),
            (
                'route',
                'db',
                configuration.Route(
                    'db', 'g', False, False, 0, consistency, 1.5, 0.5, 0.2
                ),
            ),
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

    def backend(self, name):
        return self.state.backends['g', name]

    async def open(self, info, account, timeout_s):
        self.opened += 1
        if self.full_for:
            self.full_for -= 1
            raise sessionpool.RefusedError(Verdict.TOO_MANY_CONNECTIONS)
        return FakeConnection(self.targets[info.server], account)

    def session(self):
        # Rates are tested elsewhere.
        async def charge(account, deadline):
            return None

        self.service.admitter.charge_account = charge
        return self.service.open('db', KEY)

    def run(self, *stmts, session=None):
        async def work():
            found = session or self.session()
            results = [await found.execute(stmt) for stmt in stmts]
            await asyncio.sleep(0.01)
            return results

        return asyncio.run(work())


def read(item='x'):
    return statements.Statement(Kind.READ, 'r1', f'FETCH {item}')


def write(item='x'):
    return statements.Statement(Kind.WRITE, 'w1', f'STORE {item} v')


def simple(kind, name='', value='', writes=False):
    return statements.Statement(kind, 's1', '', name, value, writes)


BEGIN = simple(Kind.BEGIN)
COMMIT = statements.Statement(Kind.COMMIT, 'c1', 'COMMIT')
ROLLBACK = simple(Kind.ROLLBACK)


class TestOutcomes:
    def test_a_write_without_an_answer_is_in_doubt_and_sent_once(self):
        """Guards against a write that takes effect twice."""
        setting = Setting()
        setting.targets['p'].verdicts = [Verdict.LOST]
        (result,) = setting.run(write())
        assert result.failure is Failure.IN_DOUBT
        assert len(setting.targets['p'].sent()) == 1

    def test_a_write_that_was_not_run_is_sent_again(self):
        setting = Setting()
        setting.targets['p'].verdicts = [Verdict.BUSY]
        (result,) = setting.run(write())
        assert result.failure is None

    def test_a_read_without_an_answer_is_served_elsewhere(self):
        setting = Setting(configuration.BOUNDED_AGE)
        setting.state.timeline('g').sample(clocks.boottime(), 1, 10)
        setting.targets['r'].verdicts = [Verdict.LOST]
        (result,) = setting.run(read())
        assert (result.failure, result.rows) == (None, ['row'])

    def test_an_acknowledgement_needs_the_lease(self):
        """Guards against acknowledging at a replaced primary."""
        setting = Setting()

        class Ending(FakeTarget):
            def next_verdict(self):
                setting.state.lease.end()
                return Verdict.DONE

        setting.targets['p'] = Ending(0.02)
        (result,) = setting.run(write())
        assert result.failure is Failure.IN_DOUBT

    def test_an_acknowledgement_needs_the_same_view(self):
        setting = Setting()

        class Changing(FakeTarget):
            def next_verdict(self):
                setting.state.groups['g'] = model.GroupView('g', 3, 'p')
                return Verdict.DONE

        setting.targets['p'] = Changing(0.02)
        (result,) = setting.run(write())
        assert result.failure is Failure.IN_DOUBT

    def test_without_a_lease_a_write_is_refused_at_once(self):
        setting = Setting()
        setting.state.lease._start -= 2.0
        started = clocks.boottime()
        (result,) = setting.run(write())
        assert result.failure is Failure.NO_PRIMARY
        assert clocks.boottime() - started < 0.1

    def test_a_withdrawn_key_ends_an_open_session(self):
        setting = Setting()
        session = setting.session()
        setting.state.config._tables.put('key', 'k', None)
        (result,) = setting.run(read(), session=session)
        assert result.failure is Failure.UNAUTHORIZED


class TestFreshness:
    def test_without_a_sample_a_read_goes_to_the_primary(self):
        setting = Setting(configuration.BOUNDED_AGE)
        setting.run(read())
        assert setting.targets['p'].sent()

    def test_the_answer_of_the_primary_lets_replicas_serve(self):
        setting = Setting(configuration.BOUNDED_AGE)
        setting.run(read(), read())
        (forward,) = setting.targets['r'].sent()
        assert forward.floor == Position(1, 10)

    def test_a_session_finds_its_own_commit(self):
        setting = Setting(configuration.SESSION)
        setting.state.timeline('g').sample(clocks.boottime(), 1, 3)
        setting.targets['p'].position = Position(1, 42)
        setting.run(write(), read())
        (forward,) = setting.targets['r'].sent()
        assert forward.floor == Position(1, 42)

    def test_a_sample_of_the_former_primary_proves_nothing(self):
        """Guards against stale reads after a change of primary."""
        setting = Setting(configuration.BOUNDED_AGE)
        setting.state.timeline('g').sample(clocks.boottime(), 1, 3)
        known = setting.state.groups['g']
        setting.state._leave_primary(known, model.GroupView('g', 3, 'r'))
        assert setting.state.timeline('g').floor(clocks.boottime(), 9) is None

    def test_a_replica_behind_is_passed_over(self):
        setting = Setting(configuration.BOUNDED_AGE)
        setting.state.timeline('g').sample(clocks.boottime(), 1, 10)
        setting.targets['r'].verdicts = [Verdict.BEHIND]
        (result,) = setting.run(read())
        assert result.failure is None


class TestSessionState:
    def test_values_are_sent_with_the_first_statement(self):
        setting = Setting()
        setting.run(simple(Kind.SET, 'tone', 'deep'), read())
        kinds = [type(c) for c in setting.targets['p'].sent()]
        assert kinds == [sessionpool.SetValue, sessionpool.Forward]

    def test_foreign_values_are_dropped_first(self):
        """Guards against a statement that runs with another's values."""
        setting = Setting()
        setting.run(simple(Kind.SET, 'tone', 'deep'), read())
        setting.run(read())
        kinds = [type(c) for c in setting.targets['p'].sent()]
        assert kinds[2:] == [sessionpool.Reset, sessionpool.Forward]

    def test_a_statement_is_prepared_once_per_connection(self):
        setting = Setting()
        execute = simple(Kind.EXECUTE, 's', 'item')
        prepare = simple(Kind.PREPARE, 's', 'FETCH q1')
        setting.run(prepare, execute, execute)
        kinds = [type(c) for c in setting.targets['p'].sent()]
        assert kinds.count(sessionpool.Prepare) == 1

    def test_an_unknown_prepared_name_is_refused_here(self):
        setting = Setting()
        (result,) = setting.run(simple(Kind.EXECUTE, 's', 'item'))
        assert result.failure is Failure.MALFORMED
        assert not setting.targets['p'].sent()


class TestTransactions:
    def test_all_statements_use_one_connection(self):
        """Guards against transactions that mix."""
        setting = Setting()
        setting.run(BEGIN, write(), read(), COMMIT)
        used = {entry[0] for entry in setting.targets['p'].commands}
        assert len(used) == 1

    def test_a_lost_statement_breaks_it_off_and_keeps_nothing(self):
        setting = Setting()
        setting.targets['p'].verdicts = [Verdict.DONE, Verdict.LOST]
        begun, lost, refused, ended = setting.run(
            BEGIN, write(), read(), COMMIT
        )
        assert lost.failure is Failure.ABORTED
        assert lost.state is State.BROKEN
        assert refused.failure is Failure.MALFORMED
        assert (ended.failure, ended.state) == (Failure.ABORTED, State.IDLE)

    def test_a_lost_commit_is_in_doubt(self):
        setting = Setting()
        setting.targets['p'].verdicts = [Verdict.DONE] * 2 + [Verdict.LOST]
        *_, ended = setting.run(BEGIN, write(), COMMIT)
        assert ended.failure is Failure.IN_DOUBT

    def test_a_commit_is_not_sent_after_a_change_of_primary(self):
        setting = Setting()
        session = setting.session()
        setting.run(BEGIN, write(), session=session)
        setting.state.groups['g'] = model.GroupView('g', 3, 'r')
        (ended,) = setting.run(COMMIT, session=session)
        assert ended.failure is Failure.ABORTED

    def test_a_client_that_leaves_gives_its_connection_back(self):
        setting = Setting()
        session = setting.session()

        async def work():
            await session.execute(BEGIN)
            await session.execute(write())
            setting.service.closed(session)
            await asyncio.sleep(0.01)

        asyncio.run(work())
        backend = setting.backend('p')
        assert backend.in_flight == 0
        sent = setting.targets['p'].sent()
        assert isinstance(sent[-1], sessionpool.Rollback)

    def test_a_withdrawn_key_ends_an_open_transaction(self):
        """Guards against transactions that outlive their key."""
        setting = Setting()
        session = setting.session()
        setting.run(BEGIN, write(), session=session)
        setting.state.config._tables.put('key', 'k', None)
        refused, ended = setting.run(read(), COMMIT, session=session)
        assert refused.failure is Failure.UNAUTHORIZED
        assert ended.failure is Failure.ABORTED
        commits = [
            c
            for c in setting.targets['p'].sent()
            if isinstance(c, sessionpool.Forward) and c.statement is COMMIT
        ]
        assert not commits

    def test_it_ends_where_no_configuration_is_certain(self):
        """Guards against a key that was withdrawn elsewhere meanwhile."""
        setting = Setting()
        session = setting.session()
        setting.run(BEGIN, read(), session=session)
        setting.state.lease._start -= 4.1
        (refused,) = setting.run(read(), session=session)
        assert refused.failure is Failure.ABORTED

    def test_an_idle_one_is_rolled_back(self):
        setting = Setting()
        session = setting.session()

        async def work():
            await session.execute(BEGIN)
            await session.execute(write())
            session.expire(clocks.boottime() + 60)
            await asyncio.sleep(0.01)
            return await session.execute(COMMIT)

        assert asyncio.run(work()).failure is Failure.ABORTED


class TestProbe:
    def test_a_target_that_does_not_answer_ends_the_probe_quietly(self):
        """Guards against a probe whose failure nobody handles."""
        setting = Setting()

        async def open_late(info, account, timeout_s):
            await asyncio.sleep(timeout_s)
            raise connections.ConnectionLostError('silent', sent=False)

        setting.open = open_late
        backend = setting.backend('p')
        assert asyncio.run(backend.probe()) is False


class TestLoad:
    """Many accounts on few connections: who waits, who is evicted."""

    def test_accounts_never_share_a_connection(self):
        """Guards against statements under another client account."""
        setting = Setting(connections_each=1)
        backend = setting.backend('p')

        async def work():
            for account in ('a', 'b', 'a'):
                conn = await backend.acquire(
                    account, clocks.boottime() + 1, {}
                )
                assert conn.account == account
                backend.release(conn, clean=True)
            assert backend.pool.held == 1

        asyncio.run(work())

    def test_waiting_accounts_get_released_connections_in_turn(self):
        """Guards against one account's queue blocking the others."""
        setting = Setting(connections_each=1)
        backend = setting.backend('p')
        order = []

        async def use(account):
            conn = await backend.acquire(account, clocks.boottime() + 2, {})
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

    def test_a_place_that_cannot_be_had_in_time_is_refused(self):
        setting = Setting(connections_each=1)
        backend = setting.backend('p')

        async def work():
            held = await backend.acquire('a', clocks.boottime() + 1, {})
            started = clocks.boottime()
            with pytest.raises(Exception, match='deadline'):
                await backend.acquire('b', started + 0.05, {})
            assert clocks.boottime() - started < 0.5
            backend.release(held, clean=True)

        asyncio.run(work())


class TestStart:
    """Guards against callers that use up their retries at a new process."""

    def test_a_session_waits_for_the_first_lease(self):
        setting = Setting()

        async def work():
            opening = asyncio.ensure_future(
                setting.service.open_soon('db', KEY)
            )
            await asyncio.sleep(0.02)
            assert not opening.done()
            setting.state.configured.set()
            return await opening

        assert asyncio.run(work()).database == 'db'

    def test_without_a_lease_it_is_refused_soon(self, monkeypatch):
        monkeypatch.setattr(sessionfront, 'START_HOLD_S', 0.02)
        setting = Setting()
        setting.state.config_valid = lambda: False
        for _ in range(2):
            with pytest.raises(sessionfront.Problem) as caught:
                asyncio.run(setting.service.open_soon('db', KEY))
            assert caught.value.failure is Failure.BUSY

    def test_later_it_is_refused_at_once(self):
        """Guards against waiting for a process that control can't reach."""
        setting = Setting()
        setting.state.config_valid = lambda: False
        setting.service._started_at -= sessionfront.START_HOLD_S

        async def work():
            async with asyncio.timeout(0.1):
                await setting.service.open_soon('db', KEY)

        with pytest.raises(sessionfront.Problem):
            asyncio.run(work())

    def test_a_client_that_leaves_meanwhile_leaves_nothing(self):
        setting = Setting()

        async def work():
            opening = asyncio.ensure_future(
                setting.service.open_soon('db', KEY)
            )
            await asyncio.sleep(0.02)
            opening.cancel()
            setting.state.configured.set()
            await asyncio.sleep(0.02)

        asyncio.run(work())
        assert setting.service.sessions == set()


class TestFullTarget:
    """A target whose connections are still those of lost VMs."""

    def test_a_write_waits_briefly_for_a_place(self, monkeypatch):
        monkeypatch.setattr(sessionpool, 'FULL_S', 0.05)
        setting = Setting()
        setting.full_for = 1
        (result,) = setting.run(write())
        assert result.failure is None
        assert setting.opened == 2

    def test_no_connection_is_added_for_a_while(self):
        """Guards against opening again and again at a full target."""
        setting = Setting()
        setting.full_for = 100
        (result,) = setting.run(write())
        assert result.failure is Failure.BUSY
        assert setting.opened == 1

    def test_connections_of_other_accounts_make_room(self):
        setting = Setting()
        backend = setting.backend('p')

        async def work():
            conn = await backend.acquire('a', clocks.boottime() + 1, {})
            backend.release(conn, clean=True)
            setting.full_for = 1
            with pytest.raises(sessionpool.RefusedError):
                await backend.acquire('b', clocks.boottime() + 1, {})
            taken = await backend.acquire('b', clocks.boottime() + 1, {})
            assert conn.closed and taken.account == 'b'
            assert backend.pool.held == 1

        asyncio.run(work())

    def test_waiting_statements_use_released_connections(self):
        setting = Setting()
        backend = setting.backend('p')

        async def work():
            conn = await backend.acquire('a', clocks.boottime() + 1, {})
            backend._note_full()
            waiting = asyncio.ensure_future(
                backend.acquire('a', clocks.boottime() + 1, {})
            )
            await asyncio.sleep(0.01)
            assert not waiting.done()
            backend.release(conn, clean=True)
            assert await waiting is conn

        asyncio.run(work())


class TestTooLittleTime:
    def test_nothing_is_sent_that_cannot_be_answered_in_time(self):
        """Guards against a statement in doubt that had no chance."""
        setting = Setting()
        setting.targets['p'].rtt_s = 5.0
        (result,) = setting.run(write())
        assert result.failure is Failure.BUSY
        assert setting.targets['p'].commands == []
