"""Tests of the client of the platform's cloud API."""

import asyncio
import socket

import pytest

from sassafrasridge_core import model
from sassafrasridge_node import grouporders
from sassafrasridge_node import pendingorders
from sassafrasridge_platform import calls

TARGET = model.TargetInfo('i-1', 'g', 'z', '10.0.0.1:1', '', 0, 0, 5, 0)
ANSWERS = grouporders.PromotionAnswer


class TestPromotion:
    def promote(self, handle):
        """Return the answer, and the errors of the handler."""
        errors = []

        async def serve(reader, writer):
            try:
                await reader.readuntil(b'\r\n\r\n')
                await handle(reader, writer)
            except ConnectionError as exc:
                errors.append(type(exc))
            finally:
                writer.close()

        async def run():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            client = calls.CloudClient(f'{host}:{port}', 'n1', '127.0.0.1')
            answer = await client.promote(TARGET, 3)
            await asyncio.sleep(0.05)
            server.close()
            return answer

        return asyncio.run(run()), errors

    @pytest.mark.parametrize(
        ('status', 'expected'),
        [
            (200, ANSWERS.ACCEPTED),
            (409, ANSWERS.REFUSED),
            (429, ANSWERS.REFUSED),
            (503, ANSWERS.UNKNOWN),
        ],
    )
    def test_the_status_decides(self, status, expected):
        async def answer(reader, writer):
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()

        assert self.promote(answer)[0] is expected

    def test_a_call_without_an_answer_is_reset(self, monkeypatch):
        """Guards against a call that arrives after a successor's."""
        monkeypatch.setattr(calls, 'PROMOTE_TIMEOUT_S', 0.1)

        async def hang(reader, writer):
            while await reader.read(100):
                pass

        assert self.promote(hang) == (ANSWERS.UNKNOWN, [ConnectionResetError])

    def test_a_cancelled_call_is_reset(self):
        """Guards against the same when the leadership ends meanwhile."""
        errors = []

        async def serve(reader, writer):
            try:
                while await reader.read(100):
                    pass
            except ConnectionError as exc:
                errors.append(type(exc))
            writer.close()

        async def run():
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            client = calls.CloudClient(f'{host}:{port}', 'n1', '127.0.0.1')
            call = asyncio.ensure_future(client.promote(TARGET, 3))
            await asyncio.sleep(0.1)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await asyncio.sleep(0.05)
            server.close()

        asyncio.run(run())
        assert errors == [ConnectionResetError]

    def test_a_held_up_call_of_an_ended_process_is_dropped(self):
        """Guards against a kernel that sends it again for minutes."""

        async def read_timeout():
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), '127.0.0.1', 0
            )
            host, port = server.sockets[0].getsockname()
            client = calls.CloudClient(f'{host}:{port}', 'n1', '127.0.0.1')
            _, writer = await client._connect()
            sock = writer.get_extra_info('socket')
            found = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            writer.close()
            server.close()
            return found

        timeout_ms = asyncio.run(read_timeout())
        assert 0 < timeout_ms / 1000 < pendingorders.MAX_ORDER_DELAY_S

    def test_a_call_that_was_not_sent_is_refused(self):
        """Guards against waiting for an order that was never given.

        The platform's host refuses connections.
        """
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{sock.getsockname()[1]}'
            client = calls.CloudClient(address, 'n1', '127.0.0.1')
            answer = asyncio.run(client.promote(TARGET, 3))
        assert answer is ANSWERS.REFUSED
