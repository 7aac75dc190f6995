"""Tests of a backend's pool and queue against a scripted target."""

import asyncio
import contextlib
import time

import orjson
import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc


class Target:
    """Simulate a target that can be slow or leave requests unanswered."""

    def __init__(self):
        self.silent_writers = set()
        self.delay_s = 0.0
        self.executed = 0
        self._writers = []

    async def start(self):
        self.server = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def silence(self):
        """Leave requests on all currently open connections unanswered."""
        self.silent_writers.update(self._writers)

    async def _handle_connection(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                size = int(head.lower().split(b'length: ')[1].split()[0])
                body = orjson.loads(await reader.readexactly(size))
                execute = b'/execute' in head
                if execute:
                    self.executed += 1
                    await asyncio.sleep(self.delay_s)
                if writer in self.silent_writers:
                    continue
                answer = orjson.dumps(
                    {
                        'id': body['id'],
                        'term': 1,
                        'last_term': 1,
                        'role': 'primary',
                        'applied': 5,
                        'position': 5,
                        'majority_position': 5,
                        'received': 5,
                    }
                )
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                    % len(answer)
                    + answer
                )
        writer.close()


def run(test, conns=4, in_flight=2):
    """Run a test coroutine with a simulated target and its backend."""

    async def main():
        target = Target()
        await target.start()
        info = model.TargetInfo(
            'a', 'g', 'z', target.address, 'primary', 1, 5, 2, 30
        )
        backend = backends.Backend(
            info, connections.Dialer('127.0.0.1'), metrics.Metrics(), 60.0
        )
        backend.apply_grant(
            rpc.idl.ConnectionGrant(
                base=0, version=2, connections=conns, in_flight=in_flight
            ),
            clocks.boottime(),
        )
        try:
            return await test(target, backend)
        finally:
            backend.pool.close()
            target.server.close()

    return asyncio.run(main())


async def take(backend, **options):
    return await backend.connection('shop', clocks.boottime() + 5, **options)


class TestSilence:
    def test_silent_call_fails_long_before_its_time_out(self):
        """Guards against waiting until the deadline on a dead connection."""

        async def test(target, backend):
            conn = await take(backend)
            while not backend.pool.idle:
                await asyncio.sleep(0.01)
            target.silence()
            started = time.monotonic()
            with pytest.raises(connections.ConnectionLostError) as info:
                await backend.call(conn, {}, 10.0)
            assert info.value.sent
            return time.monotonic() - started

        assert (
            run(test)
            < backends.STALL_CHECK_AFTER_S + 3 * backends.PROBE_TIMEOUT_S
        )

    def test_slow_statement_does_not_count_as_silent(self):
        """Guards against retrying a slow statement repeatedly."""

        async def test(target, backend):
            conn = await take(backend)
            while not backend.pool.idle:
                await asyncio.sleep(0.01)
            target.delay_s = backends.CONNECTION_SILENT_AFTER_S + 0.5
            answer = await backend.call(conn, {}, 10.0)
            assert answer.status == 200
            assert target.executed == 1

        run(test)

    def test_connection_opened_later_does_not_clear_a_silent_one(self):
        """Guards against further waiting if a newer connection answers.

        A connection opened after the call began proves nothing about the
        connection of the call.
        """

        async def test(target, backend):
            conn = await take(backend)
            target.silence()
            for idle in list(backend.pool._idle):
                idle.close()
            call = asyncio.ensure_future(backend.call(conn, {}, 10.0))
            while not backend.pool.idle:
                await asyncio.sleep(0.01)
            started = time.monotonic()
            with pytest.raises(connections.ConnectionLostError):
                await call
            return time.monotonic() - started

        assert (
            run(test)
            < backends.CONNECTION_SILENT_AFTER_S + 3 * backends.PROBE_TIMEOUT_S
        )


class TestReplaced:
    def test_queued_and_sent_statements_fail_at_once(self):
        """Guards against waiting for a primary that was replaced."""

        async def test(target, backend):
            conn = await take(backend)
            target.delay_s = 5.0
            sent = asyncio.ensure_future(backend.call(conn, {}, 10.0))
            waiting = asyncio.ensure_future(take(backend, primary=True))
            await asyncio.sleep(0.05)
            backend.on_primary_replaced()
            with pytest.raises(connections.ConnectionLostError) as info:
                await sent
            assert info.value.sent
            with pytest.raises(backends.ReplacedError):
                await waiting

        run(test, in_flight=1)


class TestQueue:
    def test_abandoned_request_leaks_no_connection(self):
        """Guards against losing connections to cancelled requests."""

        async def test(target, backend):
            for _ in range(20):
                task = asyncio.ensure_future(take(backend))
                await asyncio.sleep(0)
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    # A free connection is assigned without waiting.
                    backend.release(await task, clean=True)
            conn = await take(backend)
            backend.release(conn, clean=True)
            assert backend.in_flight == 0

        run(test)

    def test_statement_that_expires_in_the_queue_is_not_run(self):
        """Guards against waiting in the queue beyond the deadline."""

        async def test(target, backend):
            conn = await take(backend)
            with pytest.raises(errors.UnavailableError) as info:
                await backend.connection('shop', clocks.boottime() + 0.1)
            assert info.value.outcome is errors.Outcome.NOT_RUN
            backend.release(conn, clean=True)

        run(test, in_flight=1)

    def test_limits_expire_with_the_lease(self):
        """Guards against keeping connections granted to other processes."""

        async def test(target, backend):
            conns = [await take(backend) for _ in range(2)]
            for conn in conns:
                backend.release(conn, clean=True)
            backend.refresh_limits(clocks.boottime() + 100.0)
            await asyncio.sleep(0.05)
            assert backend.limit.connections == 1
            assert len(backend.pool) <= 1

        run(test)
