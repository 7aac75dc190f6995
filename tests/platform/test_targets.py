"""Tests of the client of targets."""

import asyncio

import pytest

from sassafrasridge_core import model
from sassafrasridge_node import grouporders
from sassafrasridge_platform import targets


class TestPresence:
    """Guards against taking any refusal for that of another server."""

    def find(self, answer):
        """Return what a server that sends an answer to STARTUP shows."""
        received = []

        async def serve(reader, writer):
            received.append(await reader.readline())
            writer.write(answer)
            await writer.drain()
            writer.close()

        async def run():
            server = await asyncio.start_server(serve, '127.0.0.1')
            host, port = server.sockets[0].getsockname()
            info = model.TargetInfo(
                'i-1', 'g', '', f'{host}:{port}', '', 0, 0, 0, 0
            )
            orders = targets.TargetOrders(
                targets.Dialer('127.0.0.1'), None, lambda: 'a'
            )
            async with server:
                presence = await orders.find_presence(info)
            assert await orders.find_presence(info) is (
                grouporders.Presence.UNKNOWN
            )
            return presence

        presence = asyncio.run(run())
        assert received == [b'STARTUP g a i-1\r\n']
        return presence

    @pytest.mark.parametrize(
        ('answer', 'presence'),
        [
            (b'READY I 1.5\r\n', grouporders.Presence.PRESENT),
            (b'ERROR MISROUTED i-2\r\n', grouporders.Presence.REPLACED),
            (b'ERROR TOOMANY -\r\n', grouporders.Presence.UNKNOWN),
            (b'ERROR FAILED -\r\n', grouporders.Presence.UNKNOWN),
            (b'nonsense\r\n', grouporders.Presence.UNKNOWN),
            (b'', grouporders.Presence.UNKNOWN),
        ],
    )
    def test_only_a_named_refusal_tells(self, answer, presence):
        assert self.find(answer) is presence
