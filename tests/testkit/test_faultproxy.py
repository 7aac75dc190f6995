"""Tests of the fault-injecting proxy."""

import asyncio
import random

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import faultproxy
from sassafrasridge_testkit import harness

WAIT_S = 5.0
SILENCE_S = 0.15


class _Network:
    """A proxy in front of a target that returns what it receives."""

    async def start(self, seed):
        self.received = b''
        self.ended = 0
        self.proxy = faultproxy.Proxy(seed)
        self._server = await asyncio.start_server(self._echo, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = await self.proxy.add_link('a', f'127.0.0.1:{port}')

    async def connect(self):
        return _Peer(*await asyncio.open_connection(*self._address.split(':')))

    async def stop(self):
        await self.proxy.stop()
        self._server.close()

    async def _echo(self, reader, writer):
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

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def read(self, size):
        return await asyncio.wait_for(self.reader.readexactly(size), WAIT_S)

    async def echo(self, data):
        self.writer.write(data)
        return await self.read(len(data))

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


def _scenario(method, seed=0):
    """Run a coroutine test method with its own ``_Network``."""

    def test(self):
        async def run():
            net = _Network()
            await net.start(seed)
            try:
                return await method(self, net)
            finally:
                await net.stop()

        return asyncio.run(run())

    test.__doc__ = method.__doc__
    return test


class TestLink:
    @_scenario
    async def test_bytes_arrive_unchanged_and_end_is_passed_on(self, net):
        """Guards against a proxy that alters the bytes that it forwards."""
        peer = await net.connect()
        data = random.Random(1).randbytes(500_000)
        assert await peer.echo(data) == data
        peer.writer.write_eof()
        assert await asyncio.wait_for(peer.reader.read(), WAIT_S) == b''
        await _until(lambda: net.ended == 1)

    @_scenario
    async def test_delay_applies_to_each_direction(self, net):
        """Guards against delays that apply to one direction only."""
        peer = await net.connect()
        await peer.echo(b'warm')
        await net.proxy.change(['a'], delay_ms=50)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await peer.echo(b'slow')
        assert 0.1 <= loop.time() - began < 0.5

    @_scenario
    async def test_loss_of_answers_still_delivers_requests(self, net):
        """Guards against a one-way loss that affects both directions."""
        peer = await net.connect()
        await net.proxy.change(None, lose=['to_client'])
        peer.writer.write(b'request')
        await _until(lambda: net.received == b'request')
        assert await peer.silent()
        await net.proxy.change(None, lose=[])
        # The byte stream has a gap, so only new connections work again.
        peer.writer.write(b'more')
        assert await peer.silent()
        assert await (await net.connect()).echo(b'x') == b'x'

    @_scenario
    async def test_silence_spares_new_connections(self, net):
        """Guards against silence that also affects new connections."""
        peer = await net.connect()
        await peer.echo(b'x')
        await net.proxy.silence(['a'])
        peer.writer.write(b'gone')
        assert await peer.silent()
        assert await (await net.connect()).echo(b'new') == b'new'
        assert net.received == b'xnew'

    @_scenario
    async def test_cut_holds_bytes_and_ends_until_it_heals(self, net):
        """Guards against a cut that passes the close on to the target."""
        closer = await net.connect()
        peer = await net.connect()
        await closer.echo(b'x')
        await peer.echo(b'y')
        await net.proxy.change(['a'], cut=True)
        closer.writer.transport.abort()
        peer.writer.write(b'held')
        late = await net.connect()
        late.writer.write(b'late')
        assert await peer.silent()
        assert (net.received, net.ended) == (b'xy', 0)
        await net.proxy.change(['a'], cut=False)
        assert await peer.read(4) == b'held'
        assert await late.read(4) == b'late'
        await _until(lambda: net.ended == 1)

    @_scenario
    async def test_held_answers_arrive_late_and_in_order(self, net):
        """Guards against held answers that the proxy drops."""
        peer = await net.connect()
        await net.proxy.change(['a'], hold=['to_client'])
        peer.writer.write(b'one')
        await _until(lambda: net.received == b'one')
        peer.writer.write(b'two')
        assert await peer.silent()
        await net.proxy.change(['a'], hold=[])
        assert await peer.read(6) == b'onetwo'

    @_scenario
    async def test_reset_is_seen_as_a_reset(self, net):
        """Guards against a reset that arrives as an end of stream."""
        peer = await net.connect()
        await peer.echo(b'x')
        net.proxy.reset()
        with pytest.raises(ConnectionResetError):
            await peer.read(1)
        await net.proxy.change(None, refuse=True)
        peer = await net.connect()
        with pytest.raises(ConnectionResetError):
            await peer.read(1)

    def test_random_faults_repeat_with_the_seed(self):
        """Guards against random faults that a seed does not reproduce."""

        async def count_echoes(self, net):
            await net.proxy.change(None, reset_chance=0.1)
            peer = await net.connect()
            for count in range(500):
                try:
                    await peer.echo(b'x')
                except (OSError, asyncio.IncompleteReadError):
                    return count
            return 500

        counts = [_scenario(count_echoes, seed)(self) for seed in (3, 3, 4)]

        assert counts[0] == counts[1] < 500
        assert counts[0] != counts[2]


class TestProcess:
    def test_group_behind_a_proxy_can_be_partitioned(self, kit):
        """Guards against replication that bypasses the proxy."""
        proxy = kit.start_proxy()
        group = kit.start_group(
            proxy=proxy, options=('--majority-timeout-ms', '200')
        )
        client = group['g1'].client()
        client.execute(1, 'CREATE TABLE t (a)')
        proxy.set_rules('g2', 'g3', cut=True)
        body = client.execute(1, 'INSERT INTO t VALUES (1)').body
        assert body['majority_position'] < body['position']
        proxy.set_rules(cut=False)
        group.wait_replicated()
        through = callers.TargetClient(group['g3'].address)
        assert through.read(1, 'SELECT * FROM t').rows == [[1]]
        proxy.silence('g3')
        through.timeout_s = 0.2
        proxy.reset('g3')
        with pytest.raises(callers.NoAnswer):
            through.read(1, 'SELECT 1')
        harness.wait_until(lambda: proxy.status()['g3']['accepted'] >= 2)
        for wrong in ({'misspelt': 1}, {'cut': True, 'hold': ['misspelt']}):
            with pytest.raises(ValueError, match='misspelt'):
                proxy.set_rules('g3', **wrong)
        assert proxy.status()['g3']['rules']['cut'] is False


class TestZones:
    """Connections from a source address in zone a to a target in zone b."""

    def _run(self, scenario):
        async def in_zones(proxy, address, echo):
            proxy.zones.prefixes = {'a': '127.0.11.', 'c': '127.0.13.'}
            zoned = await proxy.add_link('b', proxy.links['a'].target, 0, 'b')
            await scenario(proxy, zoned, echo)

        async def run():
            net = _Network()
            await net.start(0)
            try:
                await in_zones(net.proxy, net._address, net)
            finally:
                await net.stop()

        asyncio.run(run())

    @staticmethod
    async def _open(address, host='127.0.11.9'):
        name, port = address.split(':')
        return _Peer(
            *await asyncio.open_connection(name, port, local_addr=(host, 0))
        )

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
        """Guards against delivery of data that a real client never sends.

        Without an answer to its SYN a client sends no data, so nothing of a
        connection that it closed during the cut may arrive after the cut.
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
        """Guards against silence that affects other zones or connections."""

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
        """Guards against an isolated process that others still reach."""

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
        """Guards against invalid control requests that are accepted."""
        proxy = kit.start_proxy()
        proxy.set_zone_prefixes({'a': '127.0.11.'})
        with pytest.raises(ValueError, match='unknown fault of a path'):
            proxy.set_path_faults([('a', 'b')], lag=1)
        with pytest.raises(ValueError, match='unknown action'):
            proxy._post('/actions', action='reset', between=[('a', 'b')])
