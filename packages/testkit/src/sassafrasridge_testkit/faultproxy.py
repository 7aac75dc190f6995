"""A TCP proxy that injects network faults, one link per destination.

Use ``Proxy`` within an event loop, or run ``python -m
sassafrasridge_testkit.faultproxy`` and send JSON to its control address:

- ``POST /links {"name", "target", "host", "port", "zone"}`` adds a link, or
  changes the target of an existing link, and returns its address;
- ``POST /zones {"zones": {zone: address prefix}}`` sets the address prefixes
  that map the peer address of a connection to its source zone;
- ``POST /paths {"paths": [[from, to], ...], "delay_ms", "cut"}`` sets the
  faults for packets from one zone to another;
- ``POST /isolated {"hosts": [...]}`` replaces the set of addresses that can
  neither send nor receive;
- ``POST /rules {"links": [...], rule: value, ...}`` sets rules of the named
  links, or of all links when ``links`` is absent;
- ``POST /actions {"links": [...], "action": "silence" | "reset"}``; with
  ``"between": [[zone, zone], ...]`` silence affects only the connections
  between these zones;
- ``POST /status`` returns the state of all links.

Held bytes are delivered on release, as TCP retransmits after an outage. Lost
bytes never arrive, and a connection that lost bytes delivers nothing more in
that direction, because a byte stream can't continue after a gap.
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
# Limit on chunks buffered per direction; when it is reached, the proxy stops
# reading and the sender blocks.
MAX_QUEUED_CHUNKS = 256
# Items are (delivery time in s, bytes); empty bytes mean end of stream, None
# means that the connection was reset.
_ChunkQueue = asyncio.Queue[tuple[float, bytes | None]]
_TCP_ESTABLISHED = 1  # TCP_ESTABLISHED of the Linux header tcp.h
# SO_LINGER enabled with timeout 0: close() sends RST.
_LINGER_RESET = struct.pack('ii', 1, 0)


class Rules:
    """Store the faults of a link.

    ``delay_ms`` plus a uniform random part up to ``jitter_ms`` delays each
    direction. ``hold`` and ``lose`` list the directions whose bytes are
    buffered or discarded. ``cut`` holds both directions, including the end
    of connections. ``refuse`` resets new connections.
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
        """Set rules by name; raises ValueError for an unknown name."""
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f'unknown rule {name!r}')
            if name in ('hold', 'lose') and set(value) - set(DIRECTIONS):
                raise ValueError(f'unknown direction in {value!r}')
        for name, value in changes.items():
            setattr(self, name, value)

    def is_held(self, direction: str) -> bool:
        """Return whether bytes of a direction are held back."""
        return self.cut or direction in self.hold

    def as_json(self) -> dict[str, typing.Any]:
        """Return all rules by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class PathFaults:
    """Store the faults from one zone to another, in this direction only.

    ``delay_ms`` is the one-way delay. On a cut path packets are dropped while
    connections stay open; bytes sent during the cut arrive after it, because
    TCP retransmits them.
    """

    __slots__ = ('delay_ms', 'cut')

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.cut = False

    def change(self, changes: dict[str, typing.Any]) -> None:
        """Set faults by name; raises ValueError for an unknown name."""
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f'unknown fault of a path {name!r}')
            setattr(self, name, value)


NO_PATH_FAULTS = PathFaults()


class ZoneTable:
    """Map addresses to zones and pairs of zones to their path faults."""

    __slots__ = ('prefixes', 'paths', 'isolated')

    def __init__(self) -> None:
        self.isolated: set[str] = set()
        self.prefixes: dict[str, str] = {}
        self.paths: dict[tuple[str, str], PathFaults] = {}

    def zone_of(self, host: str) -> str:
        """Return the zone of an address, '' if no prefix matches."""
        for zone, prefix in self.prefixes.items():
            if host.startswith(prefix):
                return zone
        return ''

    def path(self, source: str, destination: str) -> PathFaults:
        """Return the path faults between two zones; later changes apply."""
        if not source or not destination:
            return NO_PATH_FAULTS
        return self.paths.setdefault((source, destination), PathFaults())


class Link:
    """Forward connections from one listening address to one target."""

    def __init__(
        self,
        name: str,
        target: str,
        rng: random.Random,
        zone: str = '',
        zones: ZoneTable | None = None,
    ) -> None:
        self.name = name
        self.target = target
        self.zone = zone
        self.zones = zones or ZoneTable()
        self.address = ''
        self.rules = Rules()
        self.accepted = 0
        self.state_changed = asyncio.Condition()
        self._rng = rng
        self._open_connections: set[_ProxiedConnection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen for connections."""
        self._listener = await asyncio.start_server(self._accept, host, port)
        own = self._listener.sockets[0].getsockname()
        self.address = f'{own[0]}:{own[1]}'

    async def change(self, changes: dict[str, typing.Any]) -> None:
        """Change rules and deliver the bytes that are no longer held."""
        self.rules.change(changes)
        await self.notify()

    async def set_target(self, target: str) -> None:
        """Forward new connections to another target."""
        self.target = target
        await self.notify()

    async def silence(self) -> None:
        """Discard all further bytes of the open connections."""
        for conn in self._open_connections:
            conn.silenced.update(DIRECTIONS)
        await self.notify()

    async def silence_from_zone(self, source: str) -> None:
        """Discard all further bytes of open connections from a zone."""
        for conn in self._open_connections:
            if conn.source_zone == source:
                conn.silenced.update(DIRECTIONS)
        await self.notify()

    def reset(self) -> None:
        """Reset the open connections."""
        for conn in list(self._open_connections):
            conn.reset()

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset()

    def as_json(self) -> dict[str, typing.Any]:
        """Return the state of the link."""
        return {
            'address': self.address,
            'target': self.target,
            'accepted': self.accepted,
            'open': len(self._open_connections),
            'rules': self.rules.as_json(),
        }

    def delay_s(self) -> float:
        """Return the delay of the next chunk in s, with random jitter."""
        jitter = self._rng.uniform(0, self.rules.jitter_ms)
        return (self.rules.delay_ms + jitter) / 1000

    def should_reset(self) -> bool:
        """Return at random whether a chunk resets its connection."""
        chance = self.rules.reset_chance
        return chance > 0 and self._rng.random() < chance

    async def notify(self) -> None:
        """Wake the connections that wait for changed rules."""
        async with self.state_changed:
            self.state_changed.notify_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.rules.refuse:
            _reset(writer)
            return
        conn = _ProxiedConnection(self, reader, writer)
        self._open_connections.add(conn)
        try:
            await conn.run()
        finally:
            self._open_connections.discard(conn)


class _ProxiedConnection:
    """Relay one accepted connection to its target connection."""

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.silenced: set[str] = set()
        self._link = link
        peer = writer.get_extra_info('peername')
        self._peer = peer[0] if peer else ''
        self.source_zone = link.zones.zone_of(self._peer)
        self._paths = {
            'to_target': link.zones.path(self.source_zone, link.zone),
            'to_client': link.zones.path(link.zone, self.source_zone),
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
                    queue: _ChunkQueue = asyncio.Queue(MAX_QUEUED_CHUNKS)
                    group.create_task(self._receive(direction, source, queue))
                    group.create_task(self._deliver(direction, queue, sink))
        except* (OSError, ValueError):
            self._abort()
        except* asyncio.CancelledError:
            # reset() cancels this task, and so does the loop when it closes.
            self._abort()
        finally:
            self._close()

    def reset(self) -> None:
        """Reset both connections."""
        self._abort()
        if self._task is not None:
            self._task.cancel()

    async def _handshake(self) -> None:
        """Wait for the round trip of a TCP handshake, and for open paths."""
        delay_ms = sum(path.delay_ms for path in self._paths.values())
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        while not self._can_open():
            async with self._link.state_changed:
                await self._link.state_changed.wait_for(self._can_open)
            if self._client_has_closed():
                # On a real network the client would have received no SYN-ACK
                # and sent no data, so the target may receive none of it.
                raise ConnectionResetError('client closed during the cut')

    def _can_open(self) -> bool:
        cut = self._paths['to_client'].cut and 'to_client' not in self.silenced
        return self._can_deliver('to_target') and not cut

    def _client_has_closed(self) -> bool:
        sock = self._client[1].get_extra_info('socket')
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(info[0] != _TCP_ESTABLISHED)

    def _delay_s(self, direction: str) -> float:
        return self._link.delay_s() + self._paths[direction].delay_ms / 1000

    async def _receive(
        self,
        direction: str,
        source: asyncio.StreamReader,
        queue: _ChunkQueue,
    ) -> None:
        loop = asyncio.get_running_loop()
        data: bytes | None = b'-'
        while data:
            try:
                data = await source.read(CHUNK_BYTES)
            except OSError:
                # Queue the reset like data, so that a cut also holds it back.
                data = None
            await queue.put((loop.time() + self._delay_s(direction), data))

    async def _deliver(
        self,
        direction: str,
        queue: _ChunkQueue,
        sink: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await self._wait_until_deliverable(direction)
            if self._link.should_reset():
                raise ConnectionResetError('reset by reset_chance')
            if direction in self._link.rules.lose:
                self.silenced.add(direction)
            if direction in self.silenced:
                if not data:
                    # The end of the stream is discarded as well: the other
                    # side keeps its connection open until it times out.
                    return
                continue
            if data is None:
                raise ConnectionResetError('reset by the peer')
            if not data:
                if sink.can_write_eof():
                    sink.write_eof()
                return
            sink.write(data)
            await sink.drain()

    async def _wait_until_deliverable(self, direction: str) -> None:
        if self._can_deliver(direction):
            return
        async with self._link.state_changed:
            await self._link.state_changed.wait_for(
                lambda: self._can_deliver(direction)
            )

    def _can_deliver(self, direction: str) -> bool:
        link = self._link
        if direction in self.silenced:
            return True
        if not link.target or self._paths[direction].cut:
            return False
        isolated = link.zones.isolated
        if isolated and (
            self._peer in isolated or link.target.split(':')[0] in isolated
        ):
            return False
        return not link.rules.is_held(direction)

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
    """Manage the links; ``seed`` makes random faults reproducible."""

    def __init__(self, seed: int = 0) -> None:
        self.links: dict[str, Link] = {}
        self.zones = ZoneTable()
        self._seed = seed

    async def add_link(
        self,
        name: str,
        target: str,
        port: int = 0,
        zone: str = '',
        host: str = '127.0.0.1',
    ) -> str:
        """Add a link, or change its target, and return its address.

        Connections to a link with an empty target wait until it is set.
        ``zone`` is the zone of the target.
        """
        link = self.links.get(name)
        if link is not None:
            await link.set_target(target)
            return link.address
        rng = random.Random(f'{self._seed}/{name}')
        link = Link(name, target, rng, zone, self.zones)
        await link.start(host, port)
        self.links[name] = link
        return link.address

    async def change(
        self, names: collections.abc.Iterable[str] | None, **rules: typing.Any
    ) -> None:
        """Change rules of the named links, or of all when None."""
        for link in self._select_links(names):
            await link.change(rules)

    async def change_paths(
        self,
        pairs: collections.abc.Iterable[collections.abc.Sequence[str]],
        **changes: typing.Any,
    ) -> None:
        """Change the path faults of (source, destination) zone pairs."""
        for source, destination in pairs:
            self.zones.path(source, destination).change(changes)
        for link in self.links.values():
            await link.notify()

    async def isolate(self, hosts: collections.abc.Iterable[str]) -> None:
        """Isolate these addresses and end the isolation of all others."""
        self.zones.isolated = set(hosts)
        for link in self.links.values():
            await link.notify()

    async def silence_between(
        self, pairs: collections.abc.Iterable[collections.abc.Sequence[str]]
    ) -> None:
        """Discard bytes of open connections between zones, not of new ones."""
        for pair in pairs:
            for source, destination in {tuple(pair), tuple(reversed(pair))}:
                for link in self.links.values():
                    if link.zone == destination:
                        await link.silence_from_zone(source)

    async def silence(
        self, names: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Discard bytes of open connections of links, not of new ones."""
        for link in self._select_links(names):
            await link.silence()

    def reset(
        self, names: collections.abc.Iterable[str] | None = None
    ) -> None:
        """Reset the open connections of links."""
        for link in self._select_links(names):
            link.reset()

    async def stop(self) -> None:
        """Stop all links."""
        for link in self.links.values():
            await link.stop()

    def _select_links(
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
        """Listen for control connections."""
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
            return webserver.Answer(200, await self._dispatch(req.path, body))
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            return webserver.Answer(
                400, webserver.error(None, 'bad_request', repr(exc))
            )

    async def _dispatch(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        if path == '/links':
            address = await self._proxy.add_link(
                body['name'],
                body['target'],
                body.get('port', 0),
                body.get('zone', ''),
                body.get('host', '127.0.0.1'),
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
        # Without SO_LINGER 0 the kernel closes with FIN instead of RST.
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
