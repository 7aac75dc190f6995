"""Tests of the fault-injecting proxy."""

import asyncio
import random

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import faultproxy
from sassafrasridge_testkit import harness

WAIT_S = 5.0
SILENCE_S = 0.15


class _Echo:
    """A target that returns what it receives."""

    def __init__(self):
        self.received = b''
        self.ended = 0

    async def start(self):
        self.server = await asyncio.start_server(self._run, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def _run(self, reader, writer):
        try:
            while data := await reader.read(4096):
                self.received += data
                writer.write(data)
        except OSError:
            pass
        self.ended += 1
        writer.close()


class _Peer:
    """A connection through the proxy."""

    async def open(self, address):
        self.reader, self.writer = await asyncio.open_connection(
            *address.split(':')
        )
        return self

    async def echo(self, data):
        self.writer.write(data)
        return await asyncio.wait_for(
            self.reader.readexactly(len(data)), WAIT_S
        )

    async def silent(self):
        try:
            await asyncio.wait_for(self.reader.read(1), SILENCE_S)
        except TimeoutError:
            return True
        return False


async def _until(predicate):
    async with asyncio.timeout(WAIT_S):
        while not predicate():
            await asyncio.sleep(0.005)


def _run(scenario, seed=0):
    async def run():
        echo = _Echo()
        proxy = faultproxy.Proxy(seed)
        address = await proxy.add_link('a', await echo.start())
        try:
            await scenario(proxy, address, echo)
        finally:
            await proxy.stop()
            echo.server.close()

    asyncio.run(run())


class TestLink:
    def test_bytes_arrive_unchanged_and_end_is_passed_on(self):
        """Guards against a proxy that alters what it carries."""

        async def scenario(proxy, address, echo):
            peer = await _Peer().open(address)
            data = random.Random(1).randbytes(500_000)
            assert await peer.echo(data) == data
            peer.writer.write_eof()
            assert await asyncio.wait_for(peer.reader.read(), WAIT_S) == b''
            await _until(lambda: echo.ended == 1)

        _run(scenario)

    def test_delay_applies_to_each_direction(self):
        """Guards against latencies that are half of the stated ones."""

        async def scenario(proxy, address, echo):
            peer = await _Peer().open(address)
            await peer.echo(b'warm')
            await proxy.change(['a'], delay_ms=50)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await peer.echo(b'slow')
            assert 0.1 <= loop.time() - began < 0.5

        _run(scenario)

    def test_loss_of_answers_still_delivers_requests(self):
        """Guards against a one-way loss that cuts both ways."""

        async def scenario(proxy, address, echo):
            peer = await _Peer().open(address)
            await proxy.change(None, lose=['to_client'])
            peer.writer.write(b'request')
            await _until(lambda: echo.received == b'request')
            assert await peer.silent()
            await proxy.change(None, lose=[])
            # The stream has a hole, so only new connections work again.
            peer.writer.write(b'more')
            assert await peer.silent()
            assert await (await _Peer().open(address)).echo(b'x') == b'x'

        _run(scenario)

    def test_silence_spares_new_connections(self):
        """Guards against a silence that looks like a full partition."""

        async def scenario(proxy, address, echo):
            peer = await _Peer().open(address)
            await peer.echo(b'x')
            await proxy.silence(['a'])
            peer.writer.write(b'gone')
            assert await peer.silent()
            assert await (await _Peer().open(address)).echo(b'new') == b'new'
            assert echo.received == b'xnew'

        _run(scenario)

    def test_cut_holds_bytes_and_ends_until_it_heals(self):
        """Guards against a partition that tells the target of a close."""

        async def scenario(proxy, address, echo):
            closer = await _Peer().open(address)
            peer = await _Peer().open(address)
            await closer.echo(b'x')
            await peer.echo(b'y')
            await proxy.change(['a'], cut=True)
            closer.writer.transport.abort()
            peer.writer.write(b'held')
            late = await _Peer().open(address)
            late.writer.write(b'late')
            assert await peer.silent()
            assert (echo.received, echo.ended) == (b'xy', 0)
            await proxy.change(['a'], cut=False)
            assert await asyncio.wait_for(peer.reader.read(4), WAIT_S)
            assert await asyncio.wait_for(late.reader.read(4), WAIT_S)
            await _until(lambda: echo.ended == 1)

        _run(scenario)

    def test_held_answers_arrive_late_and_in_order(self):
        """Guards against late answers that the proxy drops."""

        async def scenario(proxy, address, echo):
            peer = await _Peer().open(address)
            await proxy.change(['a'], hold=['to_client'])
            peer.writer.write(b'one')
            await _until(lambda: echo.received == b'one')
            peer.writer.write(b'two')
            assert await peer.silent()
            await proxy.change(['a'], hold=[])
            assert await asyncio.wait_for(
                peer.reader.readexactly(6), WAIT_S
            ) == (b'onetwo')

        _run(scenario)

    @pytest.mark.parametrize('refuse', [False, True])
    def test_reset_is_seen_as_a_reset(self, refuse):
        """Guards against a reset that looks like an orderly end."""

        async def scenario(proxy, address, echo):
            if refuse:
                await proxy.change(None, refuse=True)
            peer = await _Peer().open(address)
            if not refuse:
                await peer.echo(b'x')
                proxy.reset()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(peer.reader.read(1), WAIT_S)

        _run(scenario)

    def test_random_faults_repeat_with_the_seed(self):
        """Guards against failures that can't be run again."""
        counts = []

        async def scenario(proxy, address, echo):
            await proxy.change(None, reset_chance=0.1)
            peer = await _Peer().open(address)
            count = 0
            try:
                while count < 500:
                    await peer.echo(b'x')
                    count += 1
            except (OSError, asyncio.IncompleteReadError):
                pass
            counts.append(count)

        for seed in (3, 3, 4):
            _run(scenario, seed)

        assert counts[0] == counts[1] < 500
        assert counts[0] != counts[2]

    def test_unknown_rules_are_refused(self):
        """Guards against a misspelt fault that is never in force."""
        rules = faultproxy.Rules()
        for changes in ({'dely_ms': 1}, {'cut': True, 'hold': ['up']}):
            with pytest.raises(ValueError):
                rules.change(changes)
        assert not rules.cut


class TestProcess:
    def test_group_behind_a_proxy_can_be_partitioned(self, kit):
        """Guards against partitions that replication bypasses."""
        proxy = kit.start_proxy()
        group = kit.start_group(
            proxy=proxy, options=('--majority-timeout-ms', '200')
        )
        client = group['g1'].client()
        client.execute(1, 'CREATE TABLE t (a)')
        proxy.rules('g2', 'g3', cut=True)
        body = client.execute(1, 'INSERT INTO t VALUES (1)').body
        assert body['majority_position'] < body['position']
        proxy.rules(cut=False)
        group.wait_replicated()
        through = callers.TargetClient(group['g3'].address)
        assert through.read(1, 'SELECT * FROM t').rows == [[1]]
        proxy.silence('g3')
        through.timeout_s = 0.2
        proxy.reset('g3')
        with pytest.raises(callers.NoAnswer):
            through.read(1, 'SELECT 1')
        harness.wait_until(lambda: proxy.status()['g3']['accepted'] >= 2)
        with pytest.raises(ValueError, match='misspelt'):
            proxy.rules('g3', misspelt=1)


class TestZones:
    """Connections from zone a, by their address, to a target in zone b."""

    def _run(self, scenario):
        async def in_zones(proxy, address, echo):
            proxy.zones.prefixes = {'a': '127.0.11.', 'c': '127.0.13.'}
            zoned = await proxy.add_link('b', proxy.links['a'].target, 0, 'b')
            await scenario(proxy, zoned, echo)

        _run(in_zones)

    @staticmethod
    async def _open(address, host='127.0.11.9'):
        peer = _Peer()
        name, port = address.split(':')
        peer.reader, peer.writer = await asyncio.open_connection(
            name, port, local_addr=(host, 0)
        )
        return peer

    @pytest.mark.parametrize('path', [('a', 'b'), ('b', 'a')])
    def test_cut_of_one_direction(self, path):
        """Guards against cuts of the wrong direction or of other zones."""

        async def scenario(proxy, address, echo):
            peer = await self._open(address)
            other = await self._open(address, '127.0.13.9')
            assert await peer.echo(b'1') == b'1'
            await proxy.change_paths([path], cut=True)
            assert await other.echo(b'2') == b'2'
            peer.writer.write(b'3')
            assert await peer.silent()
            assert (b'3' in echo.received) == (path == ('b', 'a'))
            await proxy.change_paths([path], cut=False)
            assert await peer.reader.readexactly(1) == b'3'

        self._run(scenario)

    def test_connection_given_up_during_a_cut_never_arrives(self):
        """Guards against requests that were never sent over the network.

        Without an answer to its first packet a client sends no data, so
        nothing of a connection that it gave up may arrive after the cut.
        """

        async def scenario(proxy, address, echo):
            await proxy.change_paths([('a', 'b')], cut=True)
            gone = await self._open(address)
            gone.writer.write(b'gone')
            gone.writer.close()
            await gone.writer.wait_closed()
            waiting = await self._open(address)
            waiting.writer.write(b'here')
            link = proxy.links['b']
            await _until(lambda: link.as_json()['open'] == 2)
            await proxy.change_paths([('a', 'b')], cut=False)
            assert await waiting.reader.readexactly(4) == b'here'
            await _until(lambda: link.as_json()['open'] == 1)
            assert echo.received == b'here'

        self._run(scenario)

    def test_silence_between_zones(self):
        """Guards against silence of other zones or new connections."""

        async def scenario(proxy, address, echo):
            peer = await self._open(address)
            other = await self._open(address, '127.0.13.9')
            assert await peer.echo(b'1') == b'1'
            await proxy.silence_between([('a', 'b')])
            peer.writer.write(b'2')
            assert await peer.silent()
            assert await other.echo(b'3') == b'3'
            assert await (await self._open(address)).echo(b'4') == b'4'

        self._run(scenario)

    def test_isolated_host(self):
        """Guards against an isolated process that is reached by others."""

        async def scenario(proxy, address, echo):
            peer = await self._open(address)
            other = await self._open(address, '127.0.11.8')
            assert await peer.echo(b'1') == b'1'
            await proxy.isolate(['127.0.11.9'])
            peer.writer.write(b'2')
            assert await peer.silent()
            assert await other.echo(b'3') == b'3'
            await proxy.isolate([])
            assert await peer.reader.readexactly(1) == b'2'

        self._run(scenario)


class TestZoneControl:
    def test_paths_of_a_process(self, kit):
        """Guards against control requests that change nothing."""
        proxy = kit.start_proxy()
        proxy.zones({'a': '127.0.11.'})
        with pytest.raises(ValueError, match='unknown fault of a path'):
            proxy.paths([('a', 'b')], lag=1)
        with pytest.raises(ValueError, match='unknown action'):
            proxy._post('/actions', action='reset', between=[('a', 'b')])
