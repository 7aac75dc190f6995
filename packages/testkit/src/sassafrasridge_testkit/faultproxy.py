"""A TCP proxy that injects network faults, one link per destination.

Use ``Proxy`` within an event loop, or run ``python -m
sassafrasridge_testkit.faultproxy`` and send JSON to its control address:

- ``POST /links {"name", "target", "port", "zone"}`` adds a link, or gives an
  existing one another target, and returns its address;
- ``POST /zones {"zones": {zone: address prefix}}`` tells by which peer
  addresses the source zone of a connection is recognised;
- ``POST /paths {"paths": [[from, to], ...], "delay_ms", "cut"}`` changes what
  happens to packets from one zone to another;
- ``POST /isolated {"hosts": [...]}`` cuts these addresses off from everyone;
- ``POST /rules {"links": [...], rule: value, ...}`` changes rules, of all
  links without ``links``;
- ``POST /actions {"links": [...], "action": "silence" | "reset"}``; with
  ``"between": [[zone, zone], ...]`` silence affects only the connections
  between these zones;
- ``POST /status``.

Held bytes are delivered on release, as TCP retransmits after an outage. Lost
bytes never arrive, and a connection that lost bytes stays silent in that
direction for good, because a stream can't continue after a hole.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import random
import signal
import socket
import struct
import sys
import typing

import orjson

from sassafrasridge_testkit import webserver

DIRECTIONS = ('to_target', 'to_client')
CHUNK_BYTES = 65536
# Bounds what a held connection buffers; beyond it the sender blocks.
QUEUE_CHUNKS = 256
# (due time, bytes); empty bytes end a direction, None resets it.
_Chunks = asyncio.Queue[tuple[float, bytes | None]]
_TCP_ESTABLISHED = 1  # TCP_ESTABLISHED of the Linux header tcp.h
_LINGER_RESET = struct.pack('ii', 1, 0)


class Rules:
    """Hold the faults of a link.

    ``delay_ms`` and ``jitter_ms`` (uniform, on top) apply to each direction.
    ``hold`` and ``lose`` list directions. ``cut`` holds both directions and
    the end of connections. ``refuse`` resets new connections.
    ``reset_chance`` is the probability that a chunk resets its connection.
    """

    __slots__ = (
        'delay_ms',
        'jitter_ms',
        'hold',
        'lose',
        'cut',
        'refuse',
        'reset_chance',
    )

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.jitter_ms = 0.0
        self.hold: list[str] = []
        self.lose: list[str] = []
        self.cut = False
        self.refuse = False
        self.reset_chance = 0.0

    def change(self, changes: dict[str, typing.Any]) -> None:
        """Set rules by name; raises ValueError for an unknown one."""
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f'unknown rule {name!r}')
            if name in ('hold', 'lose') and set(value) - set(DIRECTIONS):
                raise ValueError(f'unknown direction in {value!r}')
        for name, value in changes.items():
            setattr(self, name, value)

    def holds(self, direction: str) -> bool:
        """Tell whether bytes of a direction wait."""
        return self.cut or direction in self.hold

    def as_json(self) -> dict[str, typing.Any]:
        """Return all rules by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class Path:
    """Hold the faults from one zone to another, in this direction only.

    ``delay_ms`` is the one-way delay. On a cut path packets vanish while
    connections stay open; what was sent arrives after the cut, as TCP sends
    it again.
    """

    __slots__ = ('delay_ms', 'cut')

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.cut = False

    def change(self, changes: dict[str, typing.Any]) -> None:
        """Set faults by name; raises ValueError for an unknown one."""
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f'unknown fault of a path {name!r}')
            setattr(self, name, value)


NO_PATH = Path()


class Zones:
    """Know the zone of each address and the paths between zones."""

    __slots__ = ('prefixes', 'paths', 'isolated')

    def __init__(self) -> None:
        self.isolated: set[str] = set()
        self.prefixes: dict[str, str] = {}
        self.paths: dict[tuple[str, str], Path] = {}

    def zone_of(self, host: str) -> str:
        """Return the zone of an address, '' when it is in none."""
        for zone, prefix in self.prefixes.items():
            if host.startswith(prefix):
                return zone
        return ''

    def path(self, source: str, destination: str) -> Path:
        """Return the path between two zones; changes to it apply at once."""
        if not source or not destination:
            return NO_PATH
        return self.paths.setdefault((source, destination), Path())


class Link:
    """Forward connections from one listening address to one target."""

    def __init__(
        self,
        name: str,
        target: str,
        rng: random.Random,
        zone: str = '',
        zones: Zones | None = None,
    ) -> None:
        self.name = name
        self.target = target
        self.zone = zone
        self.zones = zones or Zones()
        self.address = ''
        self.rules = Rules()
        self.accepted = 0
        self.changed = asyncio.Condition()
        self._rng = rng
        self._pairs: set[_Pair] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Accept connections."""
        self._listener = await asyncio.start_server(self._accept, host, port)
        own = self._listener.sockets[0].getsockname()
        self.address = f'{own[0]}:{own[1]}'

    async def change(self, changes: dict[str, typing.Any]) -> None:
        """Change rules; what is no longer held is delivered."""
        self.rules.change(changes)
        await self.notify()

    async def set_target(self, target: str) -> None:
        """Forward new connections to another target."""
        self.target = target
        await self.notify()

    async def silence(self) -> None:
        """Lose all further bytes of the open connections."""
        for pair in self._pairs:
            pair.silent.update(DIRECTIONS)
        await self.notify()

    async def silence_from(self, source: str) -> None:
        """Lose all further bytes of the open connections from a zone."""
        for pair in self._pairs:
            if pair.source == source:
                pair.silent.update(DIRECTIONS)
        await self.notify()

    def reset(self) -> None:
        """Reset the open connections."""
        for pair in list(self._pairs):
            pair.reset()

    async def stop(self) -> None:
        """Accept nothing any more and reset what is open."""
        if self._listener is not None:
            self._listener.close()
        self.reset()

    def as_json(self) -> dict[str, typing.Any]:
        """Return the state of the link."""
        return {
            'address': self.address,
            'target': self.target,
            'accepted': self.accepted,
            'open': len(self._pairs),
            'rules': self.rules.as_json(),
        }

    def delay_s(self) -> float:
        """Return the delay of the next chunk."""
        jitter = self._rng.uniform(0, self.rules.jitter_ms)
        return (self.rules.delay_ms + jitter) / 1000

    def draws_reset(self) -> bool:
        """Draw whether a chunk resets its connection."""
        chance = self.rules.reset_chance
        return chance > 0 and self._rng.random() < chance

    async def notify(self) -> None:
        """Let connections look at the rules again."""
        async with self.changed:
            self.changed.notify_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.rules.refuse:
            _reset(writer)
            return
        pair = _Pair(self, reader, writer)
        self._pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    """One accepted connection and its connection to the target."""

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.silent: set[str] = set()
        self._link = link
        peer = writer.get_extra_info('peername')
        self._peer = peer[0] if peer else ''
        self.source = link.zones.zone_of(self._peer)
        self._paths = {
            'to_target': link.zones.path(self.source, link.zone),
            'to_client': link.zones.path(link.zone, self.source),
        }
        self._client = (reader, writer)
        self._target: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Forward until both directions have ended."""
        self._task = asyncio.current_task()
        try:
            await self._handshake()
            host, port = self._link.target.rsplit(':', 1)
            self._target = await asyncio.open_connection(host, int(port))
            async with asyncio.TaskGroup() as group:
                for direction, source, sink in (
                    ('to_target', self._client[0], self._target[1]),
                    ('to_client', self._target[0], self._client[1]),
                ):
                    queue: _Chunks = asyncio.Queue(QUEUE_CHUNKS)
                    group.create_task(self._receive(direction, source, queue))
                    group.create_task(self._deliver(direction, queue, sink))
        except* (OSError, ValueError):
            self._abort()
        except* asyncio.CancelledError:
            # reset() cancels this task; the loop's end does so as well.
            self._abort()
        finally:
            self._close()

    def reset(self) -> None:
        """Reset both connections."""
        self._abort()
        if self._task is not None:
            self._task.cancel()

    async def _handshake(self) -> None:
        """Spend the round trip that opening a connection takes."""
        delay_ms = sum(path.delay_ms for path in self._paths.values())
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        while not self._opens():
            async with self._link.changed:
                await self._link.changed.wait_for(self._opens)
            if self._client_left():
                # With nothing to answer its first packet, the client gave up
                # without having sent anything that could arrive later.
                raise ConnectionResetError('given up during the cut')

    def _opens(self) -> bool:
        cut = self._paths['to_client'].cut and 'to_client' not in self.silent
        return self._passes('to_target') and not cut

    def _client_left(self) -> bool:
        sock = self._client[1].get_extra_info('socket')
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(info[0] != _TCP_ESTABLISHED)

    def _delay_s(self, direction: str) -> float:
        return self._link.delay_s() + self._paths[direction].delay_ms / 1000

    async def _receive(
        self,
        direction: str,
        source: asyncio.StreamReader,
        queue: _Chunks,
    ) -> None:
        loop = asyncio.get_running_loop()
        data: bytes | None = b'-'
        while data:
            try:
                data = await source.read(CHUNK_BYTES)
            except OSError:
                # The reset travels like data: a cut link does not pass it on.
                data = None
            await queue.put((loop.time() + self._delay_s(direction), data))

    async def _deliver(
        self,
        direction: str,
        queue: _Chunks,
        sink: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await self._wait_for(direction)
            if self._link.draws_reset():
                raise ConnectionResetError('drawn')
            if direction in self._link.rules.lose:
                self.silent.add(direction)
            if direction in self.silent:
                if not data:
                    # The end of the connection is lost as well: the other
                    # side keeps its connection open until it gives up.
                    return
                continue
            if data is None:
                raise ConnectionResetError('reset by the other side')
            if not data:
                if sink.can_write_eof():
                    sink.write_eof()
                return
            sink.write(data)
            await sink.drain()

    async def _wait_for(self, direction: str) -> None:
        if self._passes(direction):
            return
        async with self._link.changed:
            await self._link.changed.wait_for(lambda: self._passes(direction))

    def _passes(self, direction: str) -> bool:
        link = self._link
        if direction in self.silent:
            return True
        if not link.target or self._paths[direction].cut:
            return False
        isolated = link.zones.isolated
        if isolated and (
            self._peer in isolated or link.target.split(':')[0] in isolated
        ):
            return False
        return not link.rules.holds(direction)

    def _writers(self) -> list[asyncio.StreamWriter]:
        writers = [self._client[1]]
        if self._target is not None:
            writers.append(self._target[1])
        return writers

    def _abort(self) -> None:
        for writer in self._writers():
            _reset(writer)

    def _close(self) -> None:
        for writer in self._writers():
            writer.close()


class Proxy:
    """Own the links; ``seed`` makes its random choices repeatable."""

    def __init__(self, seed: int = 0) -> None:
        self.links: dict[str, Link] = {}
        self.zones = Zones()
        self._seed = seed

    async def add_link(
        self, name: str, target: str, port: int = 0, zone: str = ''
    ) -> str:
        """Add a link, or change its target, and return its address.

        Connections to a link with an empty target wait for one. ``zone`` is
        the one of the target.
        """
        link = self.links.get(name)
        if link is not None:
            await link.set_target(target)
            return link.address
        rng = random.Random(f'{self._seed}/{name}')
        link = Link(name, target, rng, zone, self.zones)
        await link.start(port=port)
        self.links[name] = link
        return link.address

    async def change(
        self, names: collections.abc.Iterable[str] | None, **rules: typing.Any
    ) -> None:
        """Change rules of links, of all links when ``names`` is None."""
        for link in self._chosen(names):
            await link.change(rules)

    async def change_paths(
        self,
        pairs: collections.abc.Iterable[collections.abc.Sequence[str]],
        **changes: typing.Any,
    ) -> None:
        """Change the paths of ordered pairs of zones."""
        for source, destination in pairs:
            self.zones.path(source, destination).change(changes)
        for link in self.links.values():
            await link.notify()

    async def isolate(self, hosts: collections.abc.Iterable[str]) -> None:
        """Cut only these addresses off from everyone."""
        self.zones.isolated = set(hosts)
        for link in self.links.values():
            await link.notify()

    async def silence_between(
        self, pairs: collections.abc.Iterable[collections.abc.Sequence[str]]
    ) -> None:
        """Silence the open connections between zones; new ones work."""
        for pair in pairs:
            for source, destination in {tuple(pair), tuple(reversed(pair))}:
                for link in self.links.values():
                    if link.zone == destination:
                        await link.silence_from(source)

    async def silence(
        self, names: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Silence the open connections of links; new ones work."""
        for link in self._chosen(names):
            await link.silence()

    def reset(
        self, names: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Reset the open connections of links."""
        for link in self._chosen(names):
            link.reset()

    async def stop(self) -> None:
        """Stop all links."""
        for link in self.links.values():
            await link.stop()

    def _chosen(
        self, names: collections.abc.Iterable[str] | None
    ) -> list[Link]:
        if names is None:
            return list(self.links.values())
        return [self.links[name] for name in names]


class Control:
    """Answer the control requests of a proxy process."""

    def __init__(self, proxy: Proxy) -> None:
        self.address = ''
        self._proxy = proxy
        self._connections: set[webserver.Connection] = set()

    async def start(self, host: str, port: int) -> None:
        """Accept control connections."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: webserver.Connection(self._handle, self._connections),
            host,
            port,
        )
        own = listener.sockets[0].getsockname()
        self.address = f'{own[0]}:{own[1]}'

    async def _handle(
        self, conn: webserver.Connection, req: webserver.Request
    ) -> webserver.Answer:
        try:
            body = orjson.loads(req.body) if req.body else {}
            return webserver.Answer(200, await self._run(req.path, body))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return webserver.Answer(
                400, webserver.error(None, 'bad_request', repr(exc))
            )

    async def _run(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        if path == '/links':
            address = await self._proxy.add_link(
                body['name'],
                body['target'],
                body.get('port', 0),
                body.get('zone', ''),
            )
            return {'name': body['name'], 'address': address}
        if path == '/zones':
            self._proxy.zones.prefixes.update(body['zones'])
            return {'zones': self._proxy.zones.prefixes}
        if path == '/paths':
            await self._proxy.change_paths(body.pop('paths'), **body)
            return {}
        if path == '/isolated':
            await self._proxy.isolate(body['hosts'])
            return {}
        if path == '/actions' and 'between' in body:
            if body['action'] != 'silence':
                raise ValueError(f'unknown action {body["action"]!r}')
            await self._proxy.silence_between(body['between'])
            return {}
        names = body.pop('links', None)
        if path == '/rules':
            await self._proxy.change(names, **body)
        elif path == '/actions' and body['action'] == 'silence':
            await self._proxy.silence(names)
        elif path == '/actions' and body['action'] == 'reset':
            self._proxy.reset(names)
        elif path != '/status':
            raise ValueError(f'unknown request {path}')
        links = self._proxy.links.values()
        return {'links': {link.name: link.as_json() for link in links}}


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None:
        # Without it the kernel would end the connection in an orderly way.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()


async def run(argv: collections.abc.Sequence[str] | None = None) -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description='Fault-injecting TCP proxy')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument(
        '--link', action='append', default=[], help='name=host:port'
    )
    args = parser.parse_args(argv)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(args.seed)
    links = {}
    for text in args.link:
        name, target = text.split('=', 1)
        links[name] = await proxy.add_link(name, target)
    control = Control(proxy)
    await control.start(args.host, args.control_port)
    ready = {'control': control.address, 'links': links}
    sys.stdout.write(orjson.dumps(ready).decode() + '\n')
    sys.stdout.flush()
    await stop.wait()


if __name__ == '__main__':
    asyncio.run(run())
