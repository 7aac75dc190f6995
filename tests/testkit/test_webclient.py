"""Tests of the asyncio HTTP client."""

import asyncio

import pytest

from sassafrasridge_testkit import webclient
from sassafrasridge_testkit import webserver


def _run(scenario, close=False):
    async def run():
        connections = set()

        async def handle(conn, req):
            return webserver.Answer(200, {'path': req.path}, close)

        opened = []

        def factory():
            opened.append(webserver.Connection(handle, connections))
            return opened[-1]

        loop = asyncio.get_running_loop()
        server = await loop.create_server(factory, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        client = webclient.Client(f'{host}:{port}')
        try:
            await scenario(client, opened)
        finally:
            client.close()
            server.close()

    asyncio.run(run())


class TestClient:
    @pytest.mark.parametrize(('close', 'count'), [(False, 1), (True, 3)])
    def test_connection_is_kept_unless_the_server_closes_it(
        self, close, count
    ):
        """Guards against opening a new connection for each call."""

        async def scenario(client, opened):
            for _ in range(3):
                assert await client.post('/a', {}, 2.0) == (
                    200,
                    {'path': '/a'},
                )
            assert len(opened) == count

        _run(scenario, close)

    def test_connection_closed_while_idle_is_not_used(self):
        """Guards against requests lost on a connection that has ended."""

        async def scenario(client, opened):
            await client.post('/a', {}, 2.0)
            reader = client._reader
            opened[0].close()
            async with asyncio.timeout(2.0):
                while not reader.at_eof():
                    await asyncio.sleep(0.001)
            await client.post('/a', {}, 2.0)
            assert len(opened) == 2

        _run(scenario)

    def test_failed_connect_was_not_sent(self):
        """Guards against reporting an unsent request as possibly sent."""

        async def scenario(client, opened):
            client.address = '127.0.0.1:1'
            with pytest.raises(webclient.CallFailed) as caught:
                await client.post('/a', {}, 2.0)
            assert not caught.value.sent

        _run(scenario)
