"""Sessions with target_limits = learned, in virtual time, without sockets."""

import asyncio
import functools

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_core import statements
from sassafrasridge_core import targetcapacity
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import loopdelay
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionstate
from sassafrasridge_node import targetload
from sassafrasridge_testkit import virtualtime
from tests.node import test_sessionfront as front

ResultCode = statements.ResultCode
Position = model.Position
TARGETS = ('p', 'r', 's')


class Target(front.FakeTarget):
    """Run reads in 24 ms and writes in 8 ms, with a lag as a replica."""

    def __init__(self, process, primary):
        super().__init__(0.001)
        self.process, self.primary = process, primary
        self.factor = 1.0
        self.reads = 0
        self.rejected = 0
        # Time that answers wait in the entry process.
        self.local_s = 0.0

    def applied(self):
        if self.primary:
            return self.process.position
        since = clocks.boottime() - self.process.lag_s
        known = [i for at, i in self.process.writes if at <= since]
        return Position(1, max(known, default=0))


class Connection(front.FakeConnection):
    async def run(self, commands, timeout_s):
        forward, target = commands[-1], self.target
        writes = forward.statement.kind is statements.StatementKind.WRITE
        if forward.floor and target.applied() < forward.floor:
            target.rejected += 1
            return self.answer(ResultCode.BEHIND)
        await asyncio.sleep((0.008 if writes else 0.024) * target.factor)
        await asyncio.sleep(target.local_s)
        target.reads += not writes
        if writes:
            self.target.process.write()
        return self.answer(target.next_result_code())

    def answer(self, result_code):
        # A target reports the end of its log, not what it has applied.
        return sessionpool.TargetAnswer(
            result_code,
            ['row'],
            'signed',
            '',
            self.state,
            self.target.process.position,
        )


class Process(front.EntryProcess):
    """Simulate an entry process whose targets all answer in virtual time."""

    def __init__(self, consistency, max_age_s=1.5, objective_s=2.5):
        self.lag_s = 0.09
        self.position = Position(1, 10)
        self.writes = [(0.0, 10)]
        super().__init__(consistency, connections_each=8)
        self.configure(consistency)
        route = self.state.config.route('db')
        route.max_age_s, route.objective_s = max_age_s, objective_s
        route.timeout_s = 2.0
        self.targets = {n: Target(self, n == 'p') for n in TARGETS}
        for name, target in self.targets.items():
            self.backend(name).rtt_s = target.rtt_s
        self.state.lease_valid = self.state.config_valid = lambda: True

    def write(self):
        self.position = Position(1, self.position.index + 1)
        self.writes.append((clocks.boottime(), self.position.index))

    async def open(self, info, account, timeout_s):
        await asyncio.sleep(0.012)
        await super().open(info, account, timeout_s)
        return Connection(self.targets[info.server], account)

    async def serve(self, seconds, rate, stmt):
        """Run ``rate`` statements a second; return times and failures."""
        results = []

        async def run_one():
            started = clocks.boottime()
            (result,) = [await self.session().execute(stmt())]
            results.append((clocks.boottime() - started, result.failure))

        tasks = []
        for _ in range(int(seconds * rate)):
            tasks.append(asyncio.ensure_future(run_one()))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return results

    def counts(self):
        """Return the reads served since the last call, by target."""
        found = {name: t.reads for name, t in self.targets.items()}
        for target in self.targets.values():
            target.reads = 0
        return found


@pytest.fixture
def loop(monkeypatch):
    loop = virtualtime.VirtualTimeLoop()
    monkeypatch.setattr(clocks, 'boottime', loop.time)
    learned = functools.partial(
        sessionstate.SessionEntryState, learned_limits=True
    )
    monkeypatch.setattr(sessionstate, 'SessionEntryState', learned)
    yield loop
    loop.close()


def run_for(loop, process, seconds, rate, stmt=front.read):
    """Serve a load beside writes that keep the primary's position known."""

    async def work():
        writes = asyncio.ensure_future(process.serve(seconds, 20, front.write))
        results = await process.serve(seconds, rate, stmt)
        await writes
        return results

    return loop.run_until_complete(work())


class TestReplicasFirst:
    """Load: 40 reads and 20 writes a second in one process."""

    def test_reads_leave_the_primary_to_writes(self, loop):
        """Guards against reads that take slots only the primary has."""
        process = Process(configuration.BOUNDED_AGE)
        run_for(loop, process, 3, 40)
        process.counts()
        run_for(loop, process, 5, 40)
        assert process.counts()['p'] == 0

    def test_a_slow_replica_gets_less_but_not_nothing(self, loop):
        """Guards against a slow target with as many reads as a fast one."""
        process = Process(configuration.BOUNDED_AGE)
        run_for(loop, process, 3, 40)
        process.targets['s'].factor = 3.0
        run_for(loop, process, 1, 40)
        process.counts()
        run_for(loop, process, 6, 40)
        counts = process.counts()
        assert 2 <= counts['s'] <= 0.35 * counts['r']
        process.targets['s'].factor = 1.0
        run_for(loop, process, 3, 40)
        process.counts()
        run_for(loop, process, 3, 40)
        counts = process.counts()
        assert counts['s'] >= 0.5 * counts['r']

    def test_a_read_of_an_own_write_waits_for_a_replica(self, loop):
        """Guards against each read of an own write taking a primary's slot.

        Load: 20 sessions a second that write and read at once, with a
        replica lag of 90 ms and an objective of 1 s.
        """
        process = Process(configuration.SESSION, objective_s=1.0)
        run_for(loop, process, 2, 10)
        process.counts()
        seconds = []

        async def one():
            session = process.session()
            await session.execute(front.write())
            started = clocks.boottime()
            result = await session.execute(front.read())
            assert result.failure is None
            seconds.append(clocks.boottime() - started)

        async def all_sessions():
            tasks = []
            for _ in range(100):
                tasks.append(asyncio.ensure_future(one()))
                await asyncio.sleep(0.05)
            await asyncio.gather(*tasks)

        loop.run_until_complete(all_sessions())
        assert max(seconds) < 1.0
        assert process.counts()['p'] <= 10


class TestLaggingReplicas:
    """Load: 30 reads a second, lag at 40 to 120 times the usual 90 ms."""

    @pytest.mark.parametrize('factor', [40, 120])
    def test_reads_meet_their_objective_and_return(self, loop, factor):
        """Guards against reads that wait in vain, and against staying away."""
        process = Process(configuration.BOUNDED_AGE)
        run_for(loop, process, 3, 30)
        process.lag_s *= factor
        results = run_for(loop, process, 4, 30)
        results += run_for(loop, process, 6, 30)
        assert {failure for _, failure in results} == {None}
        assert max(seconds for seconds, _ in results) < 2.0
        late = [seconds for seconds, _ in results[-90:]]
        assert sum(late) / len(late) < 0.25
        rejected = sum(t.rejected for t in process.targets.values())
        assert rejected <= 0.3 * len(results)
        process.lag_s = 0.09
        run_for(loop, process, 2, 30)
        process.counts()
        run_for(loop, process, 3, 30)
        assert process.counts()['p'] == 0


class TestStall:
    @pytest.mark.parametrize(
        'result_code, limit',
        [(None, 1), (ResultCode.BEHIND, 8), (ResultCode.NOT_PRIMARY, 8)],
    )
    def test_only_answers_end_a_stall(self, loop, result_code, limit):
        """Guards against a stall hidden by statements that are given up.

        Load: a statement that hangs, and one more every 0.1 s that ends.
        """
        load = targetload.TargetLoad(
            'p', 'g', targetcapacity.UsualTimes(), loopdelay.LoopDelay()
        )
        kind = targetload.read_kind('db')

        async def work():
            load.started('hangs', kind, 0.001)
            for _ in range(10):
                load.started('ends', kind, 0.001)
                await asyncio.sleep(0.1)
                load.ended('ends', result_code)

        loop.run_until_complete(work())
        assert load.limit(8) == limit


class TestFullTarget:
    def test_connections_are_opened_one_at_a_time_after_a_rejection(
        self, loop
    ):
        """Guards against thousands of connections that a target rejects.

        Load: eight accounts that need a connection each at the same time.
        """
        process = Process(configuration.PRIMARY)
        backend = process.backend('p')
        process.refusals_left = 1
        opening = []

        async def use(account):
            conn = await backend.acquire(
                account, scheduling.UNIFORM, clocks.boottime() + 5, {}
            )
            opening.append(backend.pool.opening)
            backend.statement_ended(conn, ResultCode.DONE)
            backend.release(conn, clean=True)

        async def work():
            with pytest.raises(sessionpool.TargetRefusedError):
                await use('a')
            refused_at = clocks.boottime()
            await asyncio.sleep(sessionpool.FULL_BACKOFF_S + 0.01)
            await asyncio.gather(*(use(f'a{n}') for n in range(8)))
            assert clocks.boottime() > refused_at + 8 * 0.012
            assert max(opening) <= 1

        loop.run_until_complete(work())
        assert process.opened == 9

    def test_openings_in_progress_halve_the_limit_once(self, loop):
        """Guards against a limit of one after one event of a full target.

        Load: four accounts whose connections the target rejects one after
        the other, all of them opened before the first rejection.
        """
        process = Process(configuration.PRIMARY)
        backend = process.backend('p')
        process.refusals_left = 4
        opened = process.open

        async def open_later(info, account, timeout_s):
            await asyncio.sleep(0.01 * int(account))
            return await opened(info, account, timeout_s)

        process.open = open_later

        async def work():
            limit = backend.statement_limit()
            results = await asyncio.gather(
                *(
                    backend.acquire(
                        str(n), scheduling.UNIFORM, clocks.boottime() + 1, {}
                    )
                    for n in range(4)
                ),
                return_exceptions=True,
            )
            refused = sessionpool.TargetRefusedError
            assert all(isinstance(result, refused) for result in results)
            assert backend.statement_limit() == limit // 2

        loop.run_until_complete(work())

    def test_idle_connections_serve_while_one_is_opened(self, loop):
        """Guards against a stop of all statements after a rejection.

        Load: two accounts, one of which has a connection, at a target that
        was full and opens connections slowly.
        """
        process = Process(configuration.PRIMARY)
        backend = process.backend('p')

        async def acquire(account):
            return await backend.acquire(
                account, scheduling.UNIFORM, clocks.boottime() + 1, {}
            )

        async def work():
            backend.pool.limit = 3
            held = [await acquire('a'), await acquire('a')]
            for conn in held:
                backend.statement_ended(conn)
            backend._full_until = clocks.boottime()
            await asyncio.sleep(0.01)
            opening = asyncio.ensure_future(acquire('b'))
            await asyncio.sleep(0.001)
            waiting = asyncio.ensure_future(acquire('a'))
            await asyncio.sleep(0.001)
            backend.release(held[0], clean=True)
            assert await waiting is held[0]
            assert not opening.done()
            await opening

        loop.run_until_complete(work())


class TestSlowProcess:
    """Load: 20 reads a second on a VM at a fifth of its speed."""

    def test_a_late_process_does_not_blame_its_targets(self, loop):
        """Guards against limits of one because answers are read late."""
        process = Process(configuration.BOUNDED_AGE)
        run_for(loop, process, 3, 20)
        for target in process.targets.values():
            target.local_s = 0.06
        for _ in range(20):
            process.state.loop_delay.record(0.06)
        run_for(loop, process, 3, 20)
        for name in ('r', 's'):
            assert process.backend(name).statement_limit() >= 3
            assert process.backend(name).load.relative_speed() > 0.8


class TestReporting:
    def test_a_change_of_the_speed_class_is_logged_once(
        self, loop, monkeypatch
    ):
        """Guards against a log line for each slow statement."""
        events = []
        monkeypatch.setattr(
            logs, 'log_event', lambda name, **fields: events.append(name)
        )
        process = Process(configuration.BOUNDED_AGE)
        run_for(loop, process, 3, 40)
        process.targets['s'].factor = 3.0
        run_for(loop, process, 10, 40)
        assert events.count('target_speed_changed') <= 2
        assert 'target_speed_changed' in events

    def test_metrics_show_the_limit_and_the_speed(self, loop):
        process = Process(configuration.BOUNDED_AGE)
        counters = metrics.Metrics()
        for gauge in targetload.target_gauges(process.state.measured_targets):
            counters.register(gauge)
        run_for(loop, process, 1, 10)
        text = counters.render().decode()
        labels = '{group="g",target="p"}'
        assert f'target_statement_limit{labels} 4.0' in text
        assert f'target_relative_speed{labels} 1.0' in text

    def test_metrics_leave_the_caches_of_the_engine_alone(self, loop):
        """Guards against an outdated cache stored by the metrics thread."""
        state = Process(configuration.BOUNDED_AGE).state
        state._serving_sets.clear()
        state._served_cache = None
        state.backends['g', 'r'].serving = False
        servers = {target.info.server for target in state.measured_targets()}
        assert servers == {'p', 's'}
        assert not state._serving_sets
        assert state._served_cache is None


def test_by_default_nothing_is_learned():
    """Guards against a changed behaviour of existing deployments."""
    process = front.EntryProcess(configuration.BOUNDED_AGE)
    assert {process.backend(n).load for n in TARGETS} == {None}
