"""Tests of statements of several classes that wait, under one failure."""

import asyncio
import types

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from tests.node import test_sessionfront as front

StatementFailure = statements.StatementFailure

# Databases with their priority and consistency.
ROUTES = {
    'signoffs': (0, configuration.PRIMARY),
    'browsing': (2, configuration.BOUNDED_AGE),
    'reports': (2, configuration.PRIMARY),
}


class EntryProcess(front.EntryProcess):
    """Simulate an entry process with routes of several priorities.

    Statements at targets in ``stalled`` get no answer.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.stalled = set()
        self.unreachable = set()

    def routes(self, consistency):
        routes = []
        for path, (priority, needed) in ROUTES.items():
            route = configuration.Route(
                path, 'g', False, False, 0, needed, 1.5, 1.0, 0.5
            )
            route.priority = priority
            routes.append(route)
        return routes

    async def open(self, info, account, timeout_s):
        if info.server in self.unreachable:
            raise connections.ConnectionLostError('refused', sent=False)
        conn = await super().open(info, account, timeout_s)
        run = conn.run

        async def run_unless_stalled(commands, timeout_s):
            if info.server in self.stalled:
                self.targets[info.server].commands.append([conn, *commands])
                await asyncio.sleep(timeout_s)
                raise connections.ConnectionLostError('silent', sent=True)
            return await run(commands, timeout_s)

        conn.run = run_unless_stalled
        return conn

    def start(self, database, stmt):
        return asyncio.ensure_future(self.session(database).execute(stmt))

    def set_primary(self, term, primary, changing=False):
        known = self.state.groups['g']
        view = model.GroupView('g', term, primary, changing=changing)
        self.state.groups['g'] = view
        self.state._on_primary_change(known, view)
        changed = self.state.view_changed
        self.state.view_changed = asyncio.Event()
        changed.set()


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


class TestStalledTarget:
    """Failure: a target stops answering while statements wait for it."""

    def test_urgent_work_uses_the_reserve(self):
        """Guards against sign-offs that wait for reads to end."""
        # With 8 of 30 usable connections, 4 of the 15 statements for 5 slots.
        process = EntryProcess(connections_each=8)
        process.stalled.add('p')

        async def work():
            low = [process.start('reports', front.read()) for _ in range(6)]
            await settle()
            assert len(process.targets['p'].sent()) == 3
            urgent = process.start('signoffs', front.write())
            await settle()
            assert len(process.targets['p'].sent()) == 4
            assert process.backend('p').demand() == 4 + 1 + 3
            for fut in (*low, urgent):
                fut.cancel()

        asyncio.run(work())

    def test_waiting_statements_are_refused_as_not_run(self):
        """Guards against an unknown outcome of what was never sent."""
        process = EntryProcess(connections_each=1)
        process.stalled.add('p')

        async def work():
            futs = [process.start('signoffs', front.write()) for _ in '123']
            started = clocks.boottime()
            results = [await fut for fut in futs]
            return results, clocks.boottime() - started

        results, seconds = asyncio.run(work())
        failures = [result.failure for result in results]
        assert failures.count(StatementFailure.BUSY) == 2
        assert len(process.targets['p'].sent()) == 1
        assert seconds < 1.1

    def test_a_read_leaves_a_long_queue_for_another_target(self):
        """Guards against reads that wait at one target while others idle."""
        process = EntryProcess(connections_each=1)
        process.state.timeline('g').sample(clocks.boottime(), 1, 10)
        process.stalled.add('r')

        async def work():
            first = process.start('browsing', front.read())
            await settle()
            process.backend('p').avoid(9.0)
            process.backend('s').avoid(9.0)
            second = await process.start('browsing', front.read())
            first.cancel()
            return second

        assert asyncio.run(work()).failure is None
        assert len(process.targets['r'].sent()) == 1

    def test_a_full_queue_gives_up_the_least_urgent_statement(self):
        """Guards against urgent refusals while reads keep the queue full."""
        process = EntryProcess(connections_each=1)
        process.backend('p').queue = scheduling.PriorityQueue(max_total=2)
        process.stalled.add('p')

        async def work():
            held = process.start('signoffs', front.write())
            low = [process.start('reports', front.read()) for _ in range(2)]
            await settle()
            urgent = process.start('signoffs', front.write())
            await settle()
            assert [fut.done() for fut in low] == [False, True]
            assert low[1].result().failure is StatementFailure.BUSY
            assert not urgent.done()
            for fut in (held, low[0], urgent):
                fut.cancel()

        asyncio.run(work())


class TestReplacedPrimary:
    """Failure: the primary stops and is replaced while statements wait."""

    @pytest.mark.parametrize('stmt', [front.write(), front.read()])
    def test_waiting_statements_run_at_the_new_primary(self, stmt):
        """Guards against waiting in the queue of a former primary."""
        process = EntryProcess(connections_each=1)
        process.stalled.add('p')

        async def work():
            sent = process.start('signoffs', stmt)
            waiting = process.start('signoffs', stmt)
            await asyncio.sleep(0.1)
            process.set_primary(2, 'p', changing=True)
            await asyncio.sleep(0.2)
            assert not waiting.done()
            process.set_primary(3, 'r')
            started = clocks.boottime()
            result = await waiting
            assert clocks.boottime() - started < 0.1
            sent.cancel()
            return result

        assert asyncio.run(work()).failure is None
        assert len(process.targets['p'].sent()) == 1
        assert len(process.targets['r'].sent()) == 1

    @pytest.mark.parametrize('turn_has_come', [False, True])
    @pytest.mark.parametrize('removed', [False, True])
    def test_waiting_statements_leave_a_dropped_target(
        self, removed, turn_has_come
    ):
        """Guards against time-outs in the queue of a removed target."""
        process = EntryProcess(connections_each=1)
        process.stalled.add('p')

        async def work():
            sent = process.start('signoffs', front.write())
            await settle()
            waiting = process.start('signoffs', front.write())
            await settle()
            backend = process.backend('p')
            assert len(backend.queue) == 1
            process.stalled.clear()
            if turn_has_come:
                sent.cancel()
                while len(backend.queue):
                    await asyncio.sleep(0)
                assert backend._admitted == 1
            drop(process, removed)
            started = clocks.boottime()
            result = await waiting
            assert clocks.boottime() - started < 0.2
            sent.cancel()
            return result

        def drop(process, removed):
            if removed:
                infos = [process.backend(name).info for name in 'rs']
                reply = types.SimpleNamespace(
                    targets=[codec.target_to_wire(info) for info in infos],
                    targets_complete=True,
                    targets_revision=5,
                )
                process.state.apply_targets(reply)
                process.set_primary(3, 'r')
            else:
                process.state.record_announcement(
                    model.TargetInfo(
                        'p', 'g', 'z', '10.0.0.9:1', '', 0, 0, 5, 0
                    )
                )
                process.backend('p').pool.limit = 1

        assert asyncio.run(work()).failure is None

    @pytest.mark.parametrize('event', ['drained', 'replaced', 'removed'])
    def test_a_write_leaves_a_target_lost_while_opening(self, event):
        """Guards against a write sent where it must not run any more."""
        process = EntryProcess()
        opening, released = asyncio.Event(), asyncio.Event()
        open_conn = process.open

        async def open_slowly(info, account, timeout_s):
            opening.set()
            await released.wait()
            return await open_conn(info, account, timeout_s)

        process.open = open_slowly

        async def work():
            waiting = process.start('signoffs', front.write())
            await opening.wait()
            backend = process.backend('p')
            if event == 'drained':
                backend.set_drained(True)
            elif event == 'removed':
                backend.close()
            process.set_primary(3, 'r')
            released.set()
            result = await waiting
            assert backend.in_flight == 0
            return result

        assert asyncio.run(work()).failure is None
        assert not process.targets['p'].sent()

    def test_an_unreachable_primary_is_a_sign_of_a_change(self):
        """Guards against refusals just before the change is known."""
        process = EntryProcess()
        process.unreachable.add('p')

        async def work():
            fut = process.start('signoffs', front.write())
            await asyncio.sleep(0.4)
            assert not fut.done()
            process.set_primary(2, 'p', changing=True)
            await asyncio.sleep(0.2)
            process.set_primary(3, 'r')
            return await fut

        assert asyncio.run(work()).failure is None

    def test_without_a_change_the_refusal_comes_in_time(self):
        """Guards against time-outs of what was not run."""
        process = EntryProcess()
        process.unreachable.add('p')

        async def work():
            started = clocks.boottime()
            result = await process.start('signoffs', front.write())
            return result.failure, clocks.boottime() - started

        failure, seconds = asyncio.run(work())
        assert failure is StatementFailure.NO_PRIMARY
        assert 0.7 < seconds < 0.95


class TestRateTokens:
    """Load: one account at a multiple of its rate."""

    def take(self, rate, priorities, deadline_s=0.5):
        """Return the priorities in the order of their tokens, and waits."""
        process = EntryProcess()
        state = process.state
        state.config._tables.put(
            'account',
            'acme',
            configuration.as_dict(configuration.Account('acme', rate, 1.0)),
        )
        bucket = state.bucket('acme')
        bucket._validity.until = float('inf')
        admitter = admission.Admitter(state)
        order, refused_s = [], []

        async def one(priority):
            started = clocks.boottime()
            try:
                await admitter.charge_account(
                    'acme', started + deadline_s, priority
                )
            except errors.RateLimitedError:
                refused_s.append(clocks.boottime() - started)
            else:
                order.append(priority)

        async def work():
            futs = [asyncio.ensure_future(one(p)) for p in priorities]
            await settle()
            holding = bucket._holding
            holding.rate, holding.capacity = rate, 1.0
            await asyncio.gather(*futs)

        asyncio.run(work())
        return order, refused_s

    def test_the_most_urgent_class_gets_the_tokens_first(self):
        """Guards against sign-offs that a burst of reads makes late."""
        order, _ = self.take(40.0, [2, 2, 2, 1, 0, 0])
        assert order == [0, 0, 1, 2, 2, 2]

    def test_what_cannot_get_a_token_in_time_is_refused_at_once(self):
        """Guards against holding callers that the rate can't serve."""
        order, refused_s = self.take(10.0, [1] * 20 + [0] * 2)
        assert order[:2] == [0, 0]
        assert len(order) <= 7
        assert sum(seconds < 0.1 for seconds in refused_s) >= 15

    def test_a_request_that_timed_out_hides_no_live_one(self):
        """Guards against a wait until the time-out for no token.

        Load: urgent requests that leave no token to a less urgent one, after
        the least urgent one has timed out.
        """
        bucket = types.SimpleNamespace(
            take=lambda now, waited=False: False,
            begin_wait=lambda: None,
            end_wait=lambda: None,
            wait_time=lambda now: 0.02,
        )
        state = types.SimpleNamespace(
            bucket=lambda account: bucket,
            config=types.SimpleNamespace(
                account=lambda name: configuration.Account(name, 4.0, 1.0)
            ),
            renew_now=lambda: None,
        )

        async def work():
            queue = admission.RateQueue(state, 'acme')

            def start(priority, timeout_s):
                deadline = clocks.boottime() + timeout_s
                return asyncio.ensure_future(queue.take(deadline, priority))

            first = start(0, 1.0)
            await asyncio.sleep(0)
            await asyncio.wait([start(3, 0.3)])
            started = clocks.boottime()
            last = start(2, 1.0)
            await asyncio.sleep(0)
            urgent = [start(0, 1.0) for _ in range(3)]
            with pytest.raises(errors.RateLimitedError):
                await last
            waited_s = clocks.boottime() - started
            for fut in (first, *urgent):
                fut.cancel()
            await asyncio.wait([first, *urgent])
            return waited_s, queue

        waited_s, queue = asyncio.run(work())
        assert waited_s < 0.5
        assert not queue._waiting
