"""Stateful test of pools with late, mismatched and corrupt answers."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc
from sassafrasridge_testkit import virtualtime

ADDRESS = '127.0.0.1:1'
RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
BEHAVIOURS = (
    'ok',
    'ok',
    'split',
    'slow',
    'silent',
    'crossed',
    'damaged',
    'doubled',
    'again',
    'closed',
    'no object',
    'no numbers',
)
ANSWER_DELAY_S = 0.01


class Transport:
    """Simulate the transport of one connection and its scripted server."""

    def __init__(self, server):
        self.server, self.conn = server, None
        self.open = True
        self.waiting = None
        self.in_doubt = False
        server.transports.append(self)

    def write(self, data):
        assert self.open, 'write to a closed connection'
        assert self.waiting is None, (
            'second request sent before the answer to the first'
        )
        assert not self.in_doubt, 'connection of uncertain state was reused'
        head, _, payload = data.partition(b'\r\n\r\n')
        self.waiting = orjson.loads(payload)
        behaviour, delay = self.server.next_behaviour()
        if b'/status' in head and behaviour not in (
            'ok',
            'silent',
            'closed',
            'no numbers',
        ):
            behaviour = 'ok'
        self.in_doubt = behaviour not in ('ok', 'split', 'slow', 'again')
        delay = delay if behaviour == 'slow' else ANSWER_DELAY_S
        self.server.loop.call_later(delay, self.answer, behaviour)

    def answer(self, behaviour):
        if not self.open or behaviour == 'silent':
            return
        if behaviour == 'closed':
            self.abort()
            return
        body, self.waiting = self.waiting, None
        if behaviour == 'crossed':
            body = self.server.request_of_other(self)
        data = orjson.dumps(
            {
                'id': body['id'],
                'majority_position': None if behaviour == 'no numbers' else 5,
                'received': 'x' if behaviour == 'no numbers' else 5,
                'echo': body.get('number'),
                'term': 1,
                'last_term': 1,
                'role': 'primary',
                'applied': 5,
                'position': 5,
            }
        )
        if behaviour == 'no object':
            data = b'[1]'
        message = RESPONSE_HEAD % len(data) + data
        if behaviour == 'damaged':
            message = b'\x00\xff' + message
        if behaviour == 'doubled':
            message += message
        if behaviour == 'again':
            self.server.loop.call_later(0.05, self.send_again, message)
        cut = len(message) // 2 if behaviour == 'split' else len(message)
        self.conn.data_received(message[:cut])
        if cut < len(message):
            self.conn.data_received(message[cut:])

    def send_again(self, message):
        if self.open:
            self.in_doubt = True
            self.conn.data_received(message)

    def abort(self):
        if self.open:
            self.open = False
            self.server.loop.call_soon(self.conn.connection_lost, None)


class Server:
    """Open simulated connections and choose the behaviour for each request."""

    def __init__(self, loop):
        self.loop = loop
        self.transports = []
        self.behaviours = []
        self.refuses_connections = False

    def next_behaviour(self):
        return (
            self.behaviours.pop(0)
            if self.behaviours
            else ('ok', ANSWER_DELAY_S)
        )

    def request_of_other(self, own):
        """Return a pending request of another connection, or a dummy."""
        for transport in self.transports:
            if transport is not own and transport.waiting is not None:
                return transport.waiting
        return {'id': 'none', 'number': -1}

    async def open(self, address, timeout_s=1.0):
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.refuses_connections:
            raise connections.ConnectionLostError('refused', sent=False)
        conn = connections.TargetConnection(address)
        transport = Transport(self)
        transport.conn = conn
        conn.connection_made(transport)
        return conn


class PoolMachine(stateful.RuleBasedStateMachine):
    """Guards against delivering an answer to the wrong request (G3, G8).

    Also guards against reusing connections of uncertain state, exceeding
    limits and leaking connections.
    """

    def __init__(self):
        super().__init__()
        self.loop = virtualtime.VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.loop_errors = []
        self.loop.set_exception_handler(
            lambda _, c: self.loop_errors.append(c)
        )
        self.boottime, clocks.boottime = clocks.boottime, self.loop.time
        self.server = Server(self.loop)
        info = model.TargetInfo('a', 'g', 'z', ADDRESS, 'primary', 1, 5, 2, 9)
        self.backend = backends.Backend(
            info, self.server, metrics.Metrics(), 1e6
        )
        self.version = 1
        self.granted_limits = (0, 0)
        self.loop.run_until_complete(self.apply_limits(4, 2))
        self.tasks = []
        self.running = 0

    async def apply_limits(self, conns, in_flight):
        self.version += 1
        grant = rpc.idl.ConnectionGrant(
            base=0 if self.version == 2 else self.version - 1,
            version=self.version,
            connections=conns,
            in_flight=in_flight,
        )
        self.backend.apply_grant(grant, clocks.boottime())
        self.granted_limits = (conns, in_flight)

    async def request(self, number, wait_s, timeout_s):
        try:
            conn = await self.backend.connection(
                f'account {number % 2}', clocks.boottime() + wait_s
            )
        except (errors.UnavailableError, backends.ReplacedError):
            return
        except backends.UnreachableError:
            return
        self.running += 1
        clean = False
        try:
            answer = await self.backend.call(
                conn, {'number': number}, timeout_s
            )
            assert answer.body['echo'] == number, (
                'an answer reached the wrong request'
            )
            clean = True
        except connections.ConnectionLostError:
            pass
        finally:
            self.running -= 1
            self.backend.release(conn, clean=clean)

    @stateful.rule(
        behaviours=st.lists(
            st.tuples(st.sampled_from(BEHAVIOURS), st.floats(0.01, 3)),
            max_size=8,
        )
    )
    def set_behaviours(self, behaviours):
        self.server.behaviours[:] = behaviours

    @stateful.rule(
        count=st.integers(1, 6),
        wait_s=st.floats(0.0, 2),
        timeout_s=st.floats(0.01, 4),
    )
    def send(self, count, wait_s, timeout_s):
        for _ in range(count):
            number = len(self.tasks)
            self.tasks.append(
                self.loop.create_task(self.request(number, wait_s, timeout_s))
            )

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(
        data=st.data(), delay=st.sampled_from([0.0, 0.01, 0.02, 0.03])
    )
    def cancel(self, data, delay):
        task = data.draw(st.sampled_from(self.tasks[-6:]))
        self.loop.call_later(delay, task.cancel)

    @stateful.rule(seconds=st.sampled_from([0.0, 0.005, 0.02, 0.3, 2.0]))
    def advance(self, seconds):
        self.loop.advance(seconds)

    @stateful.rule(conns=st.integers(1, 5), in_flight=st.integers(1, 4))
    def grant(self, conns, in_flight):
        self.loop.run_until_complete(self.apply_limits(conns, in_flight))

    @stateful.rule(refuses_connections=st.booleans())
    def refuse(self, refuses_connections):
        self.server.refuses_connections = refuses_connections

    @stateful.rule()
    def replace_primary(self):
        self.loop.call_soon(self.backend.on_primary_replaced)
        self.loop.advance(0)

    @stateful.rule()
    def probe(self):
        self.tasks.append(self.loop.create_task(self.backend.probe()))

    @stateful.invariant()
    def counters_are_consistent(self):
        assert not self.loop_errors, self.loop_errors
        assert 0 <= self.running <= self.backend.in_flight
        open_transports = [t for t in self.server.transports if t.open]
        # Probes may open two connections beyond the pool's own.
        assert len(open_transports) <= max(5, self.granted_limits[0]) + 4
        assert self.backend.pool.idle <= len(self.backend.pool)

    def teardown(self):
        try:
            self.server.refuses_connections = False
            self.loop.finish(self.tasks)
            self.loop.advance(10)
            assert not self.loop_errors, self.loop_errors
            for task in self.tasks:
                if not task.cancelled():
                    task.result()
            assert self.backend.in_flight == 0
            # Expired requests are removed when the queue is next processed.
            self.backend._dispatch_waiting()
            assert not len(self.backend.queue)
            self.check_still_serves()
            self.backend.pool.close()
            self.loop.advance(10)
            assert not any(t.open for t in self.server.transports), (
                'connection leaked'
            )
            assert not asyncio.all_tasks(self.loop)
            assert self.backend.pool.held == 0
        finally:
            clocks.boottime = self.boottime
            asyncio.set_event_loop(None)
            self.loop.close()

    def check_still_serves(self):
        """Check that requests still succeed: slots are not leaked."""
        self.server.behaviours.clear()
        self.running = 0
        used = []

        async def use_once():
            deadline = clocks.boottime() + 5
            conn = await self.backend.connection('shop', deadline)
            await self.backend.call(conn, {'number': 0}, 5.0)
            used.append(conn)
            peak.append(self.backend.in_flight)
            self.backend.release(conn, clean=True)

        peak = []
        limit = self.backend.limit.in_flight
        tasks = [self.loop.create_task(use_once()) for _ in range(6)]
        self.loop.finish(tasks)
        for task in tasks:
            task.result()
        assert len(used) == 6
        assert max(peak) <= limit, 'in-flight limit exceeded'


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25
)
