"""Stand-in for the users' platform: database groups and the promote call.

One process runs all servers of its groups on addresses of 127.0.0.0/8. The
servers replicate, announce themselves and can be told to crash, to fall
behind and to leave. ``GET /state`` of its control address tells what they
committed and who promoted; ``POST /faults`` changes what they do.
"""

import argparse
import asyncio
import contextlib
import itertools
import secrets
import sys
import time
import typing

import orjson

from sassafrasridge_testkit import webserver

HEARTBEAT_S = 0.5
READ_S = 0.003
WRITE_S = 0.003
PROMOTE_S = 0.2
SLOTS = 5
MAX_CONNECTIONS = 30
ACK_POLL_S = 0.002


class Entry(typing.NamedTuple):
    """A commit: term, number, and what it wrote."""

    term: int
    number: int
    writes: dict[str, str]
    ids: list[str]


class Connection:
    """State of one connection at a server."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.open = False
        self.failed = False
        self.read_only = False
        self.pending: dict[str, str] = {}
        self.ids: list[str] = []


class Refused(Exception):
    """Answer a statement with an error code."""


class Server:
    """One database server."""

    def __init__(
        self,
        group: 'Group',
        name: str,
        zone: str,
        address: str,
        announced: str = '',
    ) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.announced = announced or address
        self.primary = False
        self.term = 1
        self.held_term = 0
        self.log: list[Entry] = []
        self.applied = 0
        self.apply_delay_s = 0.002
        self.leaving = False
        self.dark = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beat_at = ''
        self.busy = 0
        self.connections = 0
        self.statements: list[tuple[str, str, str]] = []
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.rsplit(':', 1)
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    def stop(self) -> None:
        """Crash: close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def running(self) -> bool:
        """Tell whether the server listens."""
        return self._listener is not None

    def position(self) -> tuple[int, int]:
        """Return the end of the log."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def data(self) -> dict[str, str]:
        """Return what reads find."""
        found: dict[str, str] = {}
        for entry in self.log[: self.applied]:
            found.update(entry.writes)
        return found

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._session(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await reader.readuntil(b'\r\n')).decode().split()
        wrong = fields[1] != self.group.name or fields[3:] not in (
            [],
            [self.name],
        )
        if wrong or self.connections > MAX_CONNECTIONS:
            code = 'MISROUTED' if wrong else 'TOOMANY'
            writer.write(f'ERROR {code} {self.name}\r\n'.encode())
            return
        conn = Connection(fields[2])
        self._ready(writer, conn)
        while True:
            line = (await reader.readuntil(b'\r\n')).decode()[:-2]
            word, _, rest = line.partition(' ')
            if word == 'TERMINATE':
                return
            id, _, text = rest.partition(' ')
            while self.dark:
                await asyncio.sleep(ACK_POLL_S)
            try:
                rows, signature = await self._run(conn, id, text)
                for row in rows:
                    writer.write(f'DATAROW {row}\r\n'.encode())
                writer.write(f'COMPLETE {signature}\r\n'.encode())
            except Refused as exc:
                writer.write(f'ERROR {exc} {self.name}\r\n'.encode())
            self._ready(writer, conn)

    def _ready(self, writer: asyncio.StreamWriter, conn: Connection) -> None:
        state = 'E' if conn.failed else 'T' if conn.open else 'I'
        term, number = self.position()
        writer.write(f'READY {state} {term}.{number}\r\n'.encode())

    async def _run(
        self, conn: Connection, id: str, text: str
    ) -> tuple[list[str], str]:
        self.statements.append((conn.account, id, text))
        verb, _, rest = text.partition(' ')
        if verb == 'WAITLSN':
            floor, _, text = rest.partition(' ')
            term, number = map(int, floor.split('.'))
            if self._applied_position() < (term, number):
                raise Refused('LAGGING')
            verb, _, rest = text.partition(' ')
        if conn.failed and verb not in ('COMMIT', 'ROLLBACK'):
            raise Refused('MALFORMED')
        if verb in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            return [self._order(verb, rest)], '-'
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in conn.prepared:
                raise Refused('NOSTMT')
            verb = conn.prepared[name].split()[0]
        return await self._statement(conn, id, verb, rest)

    def _applied_position(self) -> tuple[int, int]:
        if not self.applied:
            return (1, 0)
        last = self.log[self.applied - 1]
        return last.term, last.number

    def _order(self, verb: str, rest: str) -> str:
        if verb == 'PAUSE' and not self.primary:
            self.held_term = int(rest)
        elif verb == 'RESUME':
            self.held_term = 0
        elif verb == 'STEPDOWN' and self.term < int(rest):
            self.primary = False
        role = 'primary' if self.primary else 'replica'
        term, number = self.position()
        return (
            f'{role} {self.term} {term}.{number} {self.held_term} 1 '
            f'{self.busy} {self.connections}'
        )

    async def _statement(
        self, conn: Connection, id: str, verb: str, rest: str
    ) -> tuple[list[str], str]:
        if verb == 'SET':
            name, _, value = rest.partition(' ')
            conn.values[name] = value
        elif verb == 'PREPARE':
            name, _, shape = rest.partition(' ')
            conn.prepared[name] = shape
        elif verb == 'DEALLOCATE':
            conn.prepared.pop(rest, None)
        elif verb == 'DISCARD':
            conn.values, conn.prepared = {}, {}
        elif verb == 'BEGIN':
            if not rest and not self.primary:
                raise Refused('READONLY')
            conn.open, conn.read_only = True, bool(rest)
        elif verb == 'ROLLBACK':
            self._end(conn)
        else:
            return await self._work(conn, id, verb, rest)
        return [], '-'

    def _end(self, conn: Connection) -> None:
        conn.open = conn.failed = False
        conn.pending, conn.ids = {}, []

    async def _work(
        self, conn: Connection, id: str, verb: str, rest: str
    ) -> tuple[list[str], str]:
        self.busy += 1
        try:
            await asyncio.sleep(READ_S if verb == 'FETCH' else WRITE_S)
            if verb == 'FETCH':
                data = {**self.data(), **conn.pending}
                return [data.get(rest, 'none')], self._sign()
            if verb == 'STORE':
                await self._store(conn, id, rest)
                return [], self._sign()
            if verb == 'COMMIT':
                await self._commit(conn)
                return [], self._sign()
        finally:
            self.busy -= 1
        conn.failed = conn.open
        raise Refused('MALFORMED')

    def _sign(self) -> str:
        signature = f'{self.name}.{secrets.token_hex(8)}'
        self.group.platform.signatures.add(signature)
        return signature

    async def _store(self, conn: Connection, id: str, rest: str) -> None:
        if not self.primary or conn.read_only:
            conn.failed = conn.open
            raise Refused('READONLY')
        item, _, data = rest.partition(' ')
        if conn.open:
            conn.pending[item] = data
            conn.ids.append(id)
        else:
            await self._append({item: data}, [id])

    async def _commit(self, conn: Connection) -> None:
        failed, writes, ids = conn.failed, conn.pending, conn.ids
        self._end(conn)
        if failed:
            raise Refused('ABORTED')
        if writes:
            if not self.primary:
                raise Refused('READONLY')
            await self._append(writes, ids)

    async def _append(self, writes: dict[str, str], ids: list[str]) -> None:
        number = self.position()[1] + 1
        self.log.append(Entry(self.term, number, writes, ids))
        self.applied = len(self.log)
        while not any(
            other.running and other.position() >= (self.term, number)
            for other in self.group.servers
            if other is not self
        ):
            await asyncio.sleep(ACK_POLL_S)
            if not self.running:
                raise ConnectionResetError('the server crashed')


class Group:
    """Servers that replicate one database."""

    def __init__(self, platform: 'Platform', name: str) -> None:
        self.platform = platform
        self.name = name
        self.servers: list[Server] = []

    def leader(self) -> Server | None:
        """Return the running primary of the highest term."""
        leading = [s for s in self.servers if s.primary and s.running]
        return max(leading, key=lambda s: s.term, default=None)

    async def replicate(self) -> None:
        """Pass on commits and apply them, until cancelled."""
        while True:
            await asyncio.sleep(ACK_POLL_S)
            leader = self.leader()
            if leader is None or leader.dark:
                continue
            for server in self.servers:
                if server is leader or not server.running:
                    continue
                if server.primary:
                    server.primary = False
                if server.held_term <= leader.term and not server.dark:
                    self._follow(leader, server)

    def _follow(self, leader: Server, server: Server) -> None:
        server.term = leader.term
        same = len(server.log) <= len(leader.log) and (
            not server.log or server.log[-1] == leader.log[len(server.log) - 1]
        )
        if not same:
            server.log = list(leader.log)
            server.applied = min(server.applied, len(server.log))
        server.log = server.log + leader.log[len(server.log) :]
        asyncio.get_running_loop().call_later(
            server.apply_delay_s, self._apply, server, len(server.log)
        )

    @staticmethod
    def _apply(server: Server, length: int) -> None:
        if length <= len(server.log):
            server.applied = max(server.applied, length)

    async def promote(self, name: str) -> bool:
        """Let a server lead the next term with the log it holds."""
        server = next((s for s in self.servers if s.name == name), None)
        if server is None or not server.running:
            return False
        if server is self.leader():
            return True
        await asyncio.sleep(PROMOTE_S)
        server.term = max(s.term for s in self.servers) + 1
        server.applied = len(server.log)
        server.primary, server.held_term = True, 0
        return True


class Platform:
    """All groups, the heartbeats and the platform's own interface."""

    def __init__(self, control: list[str]) -> None:
        self.control = control
        self.groups: dict[str, Group] = {}
        self.promotions: list[dict[str, str]] = []
        self.signatures: set[str] = set()

    async def beat(self, server: Server) -> None:
        """Announce a server until cancelled."""
        for turn in itertools.count():
            await asyncio.sleep(HEARTBEAT_S)
            if server.running and not server.dark:
                address = (
                    server.beat_at or self.control[turn % len(self.control)]
                )
                server.beat_at = await self._announce(server, address)

    async def _announce(self, server: Server, address: str) -> str:
        server.sequence += 1
        body = {
            'service': server.group.name,
            'address': server.announced,
            'zone': server.zone,
            'version': 'v1',
            'capacity': SLOTS,
            'state': 'draining' if server.leaving else 'ready',
            'coldRemainingMs': 0,
            'dbRole': 'primary' if server.primary else 'replica',
            'sequence': server.sequence,
            'born': server.born,
        }
        path = f'/api/instances/{server.name}'
        status, answer = await http(address, 'PUT', path, body)
        if status != 200:
            return ''
        return str(answer.get('heartbeatEndpoint', address))

    async def answer(
        self, method: str, path: str, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Answer a request to the control address."""
        if path == '/failover':
            self.promotions.append(body)
            group = self.groups.get(str(body.get('service')))
            done = group is not None and await group.promote(str(body['id']))
            return (200 if done else 409), {}
        if path == '/faults':
            return 200, await self._faults(body)
        return 200, self._state()

    async def _faults(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        for group in self.groups.values():
            for server in group.servers:
                if server.name == body.get('server'):
                    await self._fault(server, body)
        return {}

    async def _fault(
        self, server: Server, body: dict[str, typing.Any]
    ) -> None:
        for name in ('dark', 'leaving', 'apply_delay_s'):
            if name in body:
                setattr(server, name, body[name])
        if body.get('crash'):
            server.stop()
        if body.get('start') and not server.running:
            server.born = int(time.time() * 1000)
            server.sequence = 0
            await server.start()

    def _state(self) -> dict[str, typing.Any]:
        return {
            'promotions': self.promotions,
            'signatures': sorted(self.signatures),
            'servers': [
                {
                    'group': group.name,
                    'server': s.name,
                    'address': s.address,
                    'primary': s.primary,
                    'term': s.term,
                    'running': s.running,
                    'held_term': s.held_term,
                    'commits': [
                        [e.term, e.number, e.writes, e.ids] for e in s.log
                    ],
                    'statements': s.statements,
                }
                for group in self.groups.values()
                for s in group.servers
            ],
        }


async def http(
    address: str, method: str, path: str, body: object
) -> tuple[int, dict[str, typing.Any]]:
    """Send a request; return its status and JSON body, 0 without one."""
    host, port = address.rsplit(':', 1)
    data = orjson.dumps(body)
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
        f'Content-Length: {len(data)}\r\nConnection: close\r\n\r\n'
    )
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            raw = await reader.read()
            writer.close()
    except OSError:
        return 0, {}
    top, _, rest = raw.partition(b'\r\n\r\n')
    with contextlib.suppress(ValueError, IndexError):
        answer = orjson.loads(rest) if rest else {}
        return int(top.split()[1]), answer
    return 0, {}


async def _serve(args: argparse.Namespace) -> None:
    platform = Platform(args.control.split(','))
    tasks = []
    for number, text in enumerate(args.group):
        name, addresses = text.split('=')
        group = platform.groups[name] = Group(platform, name)
        for place, pair in enumerate(addresses.split(',')):
            address, _, announced = pair.partition('@')
            server = Server(
                group, f'{name}-{place}', f'z{place}', address, announced
            )
            server.primary = place == number % 3
            await server.start()
            group.servers.append(server)
            tasks.append(asyncio.ensure_future(platform.beat(server)))
        tasks.append(asyncio.ensure_future(group.replicate()))

    async def handle(
        conn: webserver.Connection, req: webserver.Request
    ) -> webserver.Answer:
        body = orjson.loads(req.body) if req.body else {}
        status, answer = await platform.answer(req.method, req.path, body)
        return webserver.Answer(status, answer)

    host, port = args.listen.rsplit(':', 1)
    open_connections: set[webserver.Connection] = set()
    await asyncio.get_running_loop().create_server(
        lambda: webserver.Connection(handle, open_connections), host, int(port)
    )
    sys.stdout.write(orjson.dumps({'listen': args.listen}).decode() + '\n')
    sys.stdout.flush()
    await asyncio.gather(*tasks)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument(
        '--group',
        action='append',
        default=[],
        help='name=address@announced,... (without @: the address itself)',
    )
    asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
