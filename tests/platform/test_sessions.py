"""Tests of the session server with a fake session service."""

import asyncio

from sassafrasridge_core import statements
from sassafrasridge_platform import sessions


class FakeSession:
    transaction = None

    async def execute(self, stmt):
        return statements.Result(['x' * 100_000], 'signed')


class FakeService:
    def __init__(self):
        self.closed_sessions = 0

    async def open_when_ready(self, database, key):
        return FakeSession()

    def remove(self, session):
        self.closed_sessions += 1


async def start(max_clients):
    service, server = FakeService(), sessions.LineServer()
    await server.start(service, '127.0.0.1:0', max_clients)
    port = server._listener.sockets[0].getsockname()[1]
    return service, server, port


async def connect(port):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, limit=1 << 20
    )
    writer.write(b'STARTUP db key\r\n')
    return reader, writer


class TestLineServer:
    def test_sessions_above_the_limit_are_refused_with_busy(self):
        """Guards against running out of file descriptors."""

        async def run():
            _, server, port = await start(1)
            first, _ = await connect(port)
            assert await first.readline() == b'READY I -\r\n'
            second, _ = await connect(port)
            assert (await second.readline()).startswith(b'ERROR BUSY')
            assert await second.read() == b''
            server.close_all()

        asyncio.run(run())

    def test_statements_that_were_read_are_answered_before_the_close(self):
        """Guards against a stop that drops a statement that was queued."""

        async def run():
            _, server, port = await start(2)
            reader, writer = await connect(port)
            assert await reader.readline() == b'READY I -\r\n'
            writer.write(b'QUERY 1 FETCH a\r\nQUERY 2 FETCH b\r\n')
            while not server.clients or any(
                client.is_idle for client in server.clients
            ):
                await asyncio.sleep(0)
            server.close_idle()
            answers = await reader.read()
            assert answers.count(b'COMPLETE signed') == 2

        asyncio.run(run())

    def test_statements_wait_while_client_does_not_read(self):
        """Guards against answers that accumulate in memory."""

        async def run():
            _, server, port = await start(5)
            reader, writer = await connect(port)
            await reader.readline()
            reader._transport.pause_reading()
            writer.write(b'QUERY 1 FETCH x\r\n' * 60)
            await asyncio.sleep(0.3)
            (client,) = server.clients
            assert client._transport.get_write_buffer_size() < 1_000_000
            assert client._pending_lines
            reader._transport.resume_reading()
            for _ in range(60):
                assert (await reader.readline()).startswith(b'DATAROW')
                await reader.readline()
                await reader.readline()
            server.close_all()

        asyncio.run(run())

    def test_malformed_input_gets_an_error_and_closes_the_session(self):
        async def run():
            service, server, port = await start(5)
            reader, writer = await connect(port)
            await reader.readline()
            writer.write(b'DROP everything\r\n')
            assert (await reader.readline()).startswith(b'ERROR MALFORMED')
            assert await reader.read() == b''
            assert service.closed_sessions == 1
            server.close_all()

        asyncio.run(run())

    def test_close_idle_closes_idle_sessions(self):
        async def run():
            _, server, port = await start(5)
            reader, _ = await connect(port)
            await reader.readline()
            server.close_idle()
            assert await reader.read() == b''

        asyncio.run(run())
