"""Stand-in for the users' platform: database groups and the promote call.

One process runs the servers of all its groups on addresses in 127.0.0.0/8.
The servers replicate and send heartbeats, and tests can make them crash, lag,
leave or join. On the control address, ``GET /state`` returns the commits and
the promotions, ``GET /promotions`` only these, ``POST /faults`` injects
faults, and ``POST /failover`` promotes a server.
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

HEARTBEAT_INTERVAL_S = 0.5
# Simulated durations of statements and of a promotion.
READ_COST_S = 0.003
WRITE_COST_S = 0.003
PROMOTION_DELAY_S = 0.2
SLOTS = 5
MAX_CONNECTIONS = 30
POLL_INTERVAL_S = 0.002


# First words of the statements that take a slot.
LOAD_VERBS = ('BEGIN', 'COMMIT', 'EXECUTE', 'FETCH', 'STORE', 'WAITLSN')


class Entry(typing.NamedTuple):
    """A commit; ``ids`` are the ids of the statements that wrote."""

    term: int
    number: int
    writes: dict[str, str]
    ids: list[str]


class Connection:
    """Client connection; ``open`` is True during a transaction."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.open = False
        self.failed = False
        self.read_only = False
        self.pending: dict[str, str] = {}
        self.ids: list[str] = []


class StatementRefused(Exception):
    """Report a refused statement; the message is the error code."""


class Server:
    """A database server of a group.

    While ``dark``, it runs no statements, sends no heartbeats and does not
    replicate. ``cut_hosts`` are cut off from it in the same way, while other
    hosts and servers still reach it. While not ``receiving``, or while
    ``held_term`` is above the primary's term, it accepts no log entries.
    """

    def __init__(
        self,
        group: 'Group',
        name: str,
        zone: str,
        address: str,
        announced_address: str = '',
    ) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.announced_address = announced_address or address
        self.primary = False
        self.term = 1
        self.held_term = 0
        self.log: list[Entry] = []
        self.applied = 0
        self.apply_delay_s = 0.002
        self.leaving = False
        self.dark = False
        self.receiving = True
        self.cut_hosts: list[str] = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.heartbeat_address = ''
        self.busy = 0
        self.connections = 0
        self.statements: list[tuple[str, str, str]] = []
        # Times of the statements that take a slot.
        self.load_times: list[float] = []
        # Time until which the server reports to be cold.
        self.cold_until = 0.0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        host, port = self.address.rsplit(':', 1)
        self._listener = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    def crash(self) -> None:
        """Simulate a crash: close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def running(self) -> bool:
        """Tell whether the server accepts connections."""
        return self._listener is not None

    def log_end(self) -> tuple[int, int]:
        """Return the term and number of the last log entry."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def visible_data(self) -> dict[str, str]:
        """Return the values that reads see, from the applied entries."""
        applied: dict[str, str] = {}
        for entry in self.log[: self.applied]:
            applied.update(entry.writes)
        return applied

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._serve_session(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await reader.readuntil(b'\r\n')).decode().split()
        misrouted = fields[1] != self.group.name or fields[3:] not in (
            [],
            [self.name],
        )
        if misrouted or self.connections > MAX_CONNECTIONS:
            code = 'MISROUTED' if misrouted else 'TOOMANY'
            writer.write(f'ERROR {code} {self.name}\r\n'.encode())
            return
        conn = Connection(fields[2])
        self._send_ready(writer, conn)
        while True:
            line = (await reader.readuntil(b'\r\n')).decode()[:-2]
            word, _, rest = line.partition(' ')
            if word == 'TERMINATE':
                return
            id, _, text = rest.partition(' ')
            peer = writer.get_extra_info('peername')[0]
            while self.dark or peer in self.cut_hosts:
                await asyncio.sleep(POLL_INTERVAL_S)
            try:
                rows, signature = await self._run_statement(conn, id, text)
                for row in rows:
                    writer.write(f'DATAROW {row}\r\n'.encode())
                writer.write(f'COMPLETE {signature}\r\n'.encode())
            except StatementRefused as exc:
                writer.write(f'ERROR {exc} {self.name}\r\n'.encode())
            self._send_ready(writer, conn)

    def _send_ready(
        self, writer: asyncio.StreamWriter, conn: Connection
    ) -> None:
        state = 'E' if conn.failed else 'T' if conn.open else 'I'
        term, number = self.log_end()
        writer.write(f'READY {state} {term}.{number}\r\n'.encode())

    async def _run_statement(
        self, conn: Connection, id: str, text: str
    ) -> tuple[list[str], str]:
        self.statements.append((conn.account, id, text))
        verb, _, rest = text.partition(' ')
        if verb in LOAD_VERBS:
            self.load_times.append(time.monotonic())
        if verb == 'WAITLSN':
            floor, _, text = rest.partition(' ')
            term, number = map(int, floor.split('.'))
            if self._applied_position() < (term, number):
                raise StatementRefused('LAGGING')
            verb, _, rest = text.partition(' ')
        if conn.failed and verb not in ('COMMIT', 'ROLLBACK'):
            raise StatementRefused('MALFORMED')
        if verb in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            return [self._run_command(verb, rest)], '-'
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in conn.prepared:
                raise StatementRefused('NOSTMT')
            verb = conn.prepared[name].split()[0]
        return await self._change_session(conn, id, verb, rest)

    def _applied_position(self) -> tuple[int, int]:
        if not self.applied:
            return (1, 0)
        last = self.log[self.applied - 1]
        return last.term, last.number

    def _run_command(self, verb: str, rest: str) -> str:
        if verb == 'PAUSE' and not self.primary:
            self.held_term = int(rest)
        elif verb == 'RESUME':
            self.held_term = 0
        elif verb == 'STEPDOWN' and self.term < int(rest):
            self.primary = False
        role = 'primary' if self.primary else 'replica'
        term, number = self.log_end()
        return (
            f'{role} {self.term} {term}.{number} {self.held_term} 1 '
            f'{self.busy} {self.connections}'
        )

    async def _change_session(
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
                raise StatementRefused('READONLY')
            conn.open, conn.read_only = True, bool(rest)
        elif verb == 'ROLLBACK':
            self._end_transaction(conn)
        else:
            return await self._access_data(conn, id, verb, rest)
        return [], '-'

    def _end_transaction(self, conn: Connection) -> None:
        conn.open = conn.failed = False
        conn.pending, conn.ids = {}, []

    async def _access_data(
        self, conn: Connection, id: str, verb: str, rest: str
    ) -> tuple[list[str], str]:
        self.busy += 1
        try:
            await asyncio.sleep(
                READ_COST_S if verb == 'FETCH' else WRITE_COST_S
            )
            if verb == 'FETCH':
                data = {**self.visible_data(), **conn.pending}
                return [data.get(rest, 'none')], self._issue_signature()
            if verb == 'STORE':
                await self._store(conn, id, rest)
                return [], self._issue_signature()
            if verb == 'COMMIT':
                await self._commit(conn)
                return [], self._issue_signature()
        finally:
            self.busy -= 1
        conn.failed = conn.open
        raise StatementRefused('MALFORMED')

    def _issue_signature(self) -> str:
        signature = f'{self.name}.{secrets.token_hex(8)}'
        self.group.platform.signatures.add(signature)
        return signature

    async def _store(self, conn: Connection, id: str, rest: str) -> None:
        if not self.primary or conn.read_only:
            conn.failed = conn.open
            raise StatementRefused('READONLY')
        item, _, data = rest.partition(' ')
        if conn.open:
            conn.pending[item] = data
            conn.ids.append(id)
        else:
            await self._append({item: data}, [id])

    async def _commit(self, conn: Connection) -> None:
        failed, writes, ids = conn.failed, conn.pending, conn.ids
        self._end_transaction(conn)
        if failed:
            raise StatementRefused('ABORTED')
        if writes:
            if not self.primary:
                raise StatementRefused('READONLY')
            await self._append(writes, ids)

    async def _append(self, writes: dict[str, str], ids: list[str]) -> None:
        entry = Entry(self.term, self.log_end()[1] + 1, writes, ids)
        self.log.append(entry)
        self.applied = len(self.log)
        while not any(
            other.running and other.has_entry(entry)
            for other in self.group.servers
            if other is not self
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self.running or not self.has_entry(entry):
                raise ConnectionResetError(
                    'the server crashed or was replaced before replication'
                )

    def has_entry(self, entry: Entry) -> bool:
        """Return whether the log has a commit at its position."""
        return self.log[entry.number - 1 : entry.number] == [entry]


class Group:
    """The servers that replicate one database."""

    def __init__(self, platform: 'Platform', name: str) -> None:
        self.platform = platform
        self.name = name
        self.servers: list[Server] = []

    def current_primary(self) -> Server | None:
        """Return the running primary with the highest term, if any."""
        running_primaries = [
            s for s in self.servers if s.primary and s.running
        ]
        return max(running_primaries, key=lambda s: s.term, default=None)

    async def replicate(self) -> None:
        """Replicate commits of the primary until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            primary = self.current_primary()
            if primary is None or primary.dark:
                continue
            for server in self.servers:
                if server is primary or not server.running:
                    continue
                if server.primary:
                    server.primary = False
                paused = server.held_term > primary.term
                if server.receiving and not paused and not server.dark:
                    self._copy_log(primary, server)

    def _copy_log(self, primary: Server, server: Server) -> None:
        server.term = primary.term
        is_prefix = len(server.log) <= len(primary.log) and (
            not server.log
            or server.log[-1] == primary.log[len(server.log) - 1]
        )
        if not is_prefix:
            server.log = list(primary.log)
            server.applied = min(server.applied, len(server.log))
        server.log = server.log + primary.log[len(server.log) :]
        asyncio.get_running_loop().call_later(
            server.apply_delay_s, self._apply, server, len(server.log)
        )

    @staticmethod
    def _apply(server: Server, length: int) -> None:
        if length <= len(server.log):
            server.applied = max(server.applied, length)

    def find_running(self, name: str) -> Server | None:
        """Return a server by name if it is running."""
        return next(
            (s for s in self.servers if s.name == name and s.running), None
        )

    def lead(self, server: Server) -> None:
        """Make a server primary of the next term, with the log it has."""
        server.term = max(s.term for s in self.servers) + 1
        server.applied = len(server.log)
        server.primary, server.held_term = True, 0


class Platform:
    """All groups, their heartbeats and the control interface.

    ``promotions`` are the calls as they arrived, with their ``holder``, and
    ``effects`` what the log of each promoted server held when its promotion
    took effect. A call is handled ``platform_delay_s`` after it arrived, even
    if its caller has given up. With ``lose_answers``, callers get no answer.
    """

    def __init__(self, control: list[str]) -> None:
        self.control = control
        self.groups: dict[str, Group] = {}
        self.promotions: list[dict[str, str]] = []
        self.effects: list[dict[str, typing.Any]] = []
        self.signatures: set[str] = set()
        self.platform_delay_s = 0.0
        self.lose_answers = False
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def run_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> 'asyncio.Task[typing.Any]':
        """Run a coroutine beside the requests."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_server(
        self, group: Group, address: str, announced_address: str = ''
    ) -> Server:
        """Start the next server of a group, with an empty log."""
        index = len(group.servers)
        server = Server(
            group,
            f'{group.name}-{index}',
            f'z{index % 3}',
            address,
            announced_address,
        )
        await server.start()
        group.servers.append(server)
        self.run_task(self.send_heartbeats(server))
        return server

    async def send_heartbeats(self, server: Server) -> None:
        """Send the heartbeats of a server until cancelled."""
        for turn in itertools.count():
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if server.running and not server.dark:
                address = (
                    server.heartbeat_address
                    or self.control[turn % len(self.control)]
                )
                if address.split(':')[0] in server.cut_hosts:
                    server.heartbeat_address = ''
                    continue
                server.heartbeat_address = await self._send_heartbeat(
                    server, address
                )

    async def _send_heartbeat(self, server: Server, address: str) -> str:
        server.sequence += 1
        body = {
            'service': server.group.name,
            'address': server.announced_address,
            'zone': server.zone,
            'version': 'v1',
            'capacity': SLOTS,
            'state': 'draining' if server.leaving else 'ready',
            'coldRemainingMs': int(
                max(0.0, server.cold_until - time.monotonic()) * 1000
            ),
            'dbRole': 'primary' if server.primary else 'replica',
            'sequence': server.sequence,
            'born': server.born,
        }
        path = f'/api/instances/{server.name}'
        status, answer = await send_json(address, 'PUT', path, body)
        if status != 200:
            return ''
        return str(answer.get('heartbeatEndpoint', address))

    async def handle_request(
        self, method: str, path: str, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Handle a control request; return the HTTP status and body."""
        if path == '/failover':
            self.promotions.append(body)
            # A request is cancelled when its caller closes the connection.
            done = await asyncio.shield(self.run_task(self._promote(body)))
            return (200 if done else 409), {}
        if path == '/faults':
            return 200, await self._apply_faults(body)
        if path == '/promotions':
            return 200, self._describe_promotions()
        return 200, self._describe_state()

    async def _promote(self, body: dict[str, typing.Any]) -> bool:
        """Handle a promotion; return False if the server isn't running."""
        await asyncio.sleep(self.platform_delay_s)
        group = self.groups.get(str(body.get('service')))
        if group is None:
            return False
        server = group.find_running(str(body['id']))
        if server is None:
            return False
        if server is not group.current_primary():
            asyncio.get_running_loop().call_later(
                PROMOTION_DELAY_S, self._take_effect, group, server
            )
        return True

    def _take_effect(self, group: Group, server: Server) -> None:
        if not server.running or server is group.current_primary():
            return
        group.lead(server)
        self.effects.append(
            {
                'group': group.name,
                'server': server.name,
                'term': server.term,
                'monotonic_s': time.monotonic(),
                'ids': [id for entry in server.log for id in entry.ids],
            }
        )

    async def _apply_faults(
        self, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        for name in ('platform_delay_s', 'lose_answers'):
            if name in body:
                setattr(self, name, body[name])
        if 'join' in body:
            await self.add_server(self.groups[body['join']], body['address'])
        for group in self.groups.values():
            for server in group.servers:
                if server.name == body.get('server'):
                    await self._apply_fault(server, body)
        return {}

    async def _apply_fault(
        self, server: Server, body: dict[str, typing.Any]
    ) -> None:
        for name in (
            'dark',
            'leaving',
            'apply_delay_s',
            'receiving',
            'cut_hosts',
        ):
            if name in body:
                setattr(server, name, body[name])
        if body.get('crash'):
            server.crash()
        if body.get('start') and not server.running:
            server.born = int(time.time() * 1000)
            server.sequence = server.held_term = 0
            server.cold_until = time.monotonic() + body.get('cold_s', 0.0)
            await server.start()

    def _describe_promotions(self) -> dict[str, typing.Any]:
        return {'promotions': self.promotions, 'effects': self.effects}

    def _describe_state(self) -> dict[str, typing.Any]:
        return {
            **self._describe_promotions(),
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
                    'load_times': s.load_times,
                }
                for group in self.groups.values()
                for s in group.servers
            ],
        }


async def send_json(
    address: str, method: str, path: str, body: object
) -> tuple[int, dict[str, typing.Any]]:
    """Send a request; return the status, 0 on failure, and JSON body."""
    host, port = address.rsplit(':', 1)
    data = orjson.dumps(body)
    request_head = (
        f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
        f'Content-Length: {len(data)}\r\nConnection: close\r\n\r\n'
    )
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_head.encode() + data)
            raw = await reader.read()
            writer.close()
    except OSError:
        return 0, {}
    head_bytes, _, rest = raw.partition(b'\r\n\r\n')
    with contextlib.suppress(ValueError, IndexError):
        answer = orjson.loads(rest) if rest else {}
        return int(head_bytes.split()[1]), answer
    return 0, {}


async def _serve_platform(args: argparse.Namespace) -> None:
    platform = Platform(args.control.split(','))
    for number, text in enumerate(args.group):
        name, addresses = text.split('=')
        group = platform.groups[name] = Group(platform, name)
        for index, pair in enumerate(addresses.split(',')):
            address, _, announced_address = pair.partition('@')
            server = await platform.add_server(
                group, address, announced_address
            )
            server.primary = index == number % 3
        platform.run_task(group.replicate())

    async def handle(
        conn: webserver.Connection, req: webserver.Request
    ) -> webserver.Answer:
        body = orjson.loads(req.body) if req.body else {}
        if req.path == '/failover':
            body['holder'] = dict(req.headers).get('lease-holder', '')
        status, answer = await platform.handle_request(
            req.method, req.path, body
        )
        if req.path == '/failover' and platform.lose_answers:
            conn.stall_mode = 'run'
        return webserver.Answer(status, answer)

    host, port = args.listen.rsplit(':', 1)
    open_connections: set[webserver.Connection] = set()
    await asyncio.get_running_loop().create_server(
        lambda: webserver.Connection(handle, open_connections), host, int(port)
    )
    sys.stdout.write(orjson.dumps({'listen': args.listen}).decode() + '\n')
    sys.stdout.flush()
    await asyncio.gather(*platform.tasks)


def main() -> None:
    """Run the stand-in platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument(
        '--group',
        action='append',
        default=[],
        help='name=address@announced,... (announced defaults to address)',
    )
    asyncio.run(_serve_platform(parser.parse_args()))


if __name__ == '__main__':
    main()
