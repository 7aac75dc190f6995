"""Stand-ins for the database servers and the platform of a review script.

Everything runs in one process on loopback addresses. The servers replicate
over links with a stated delay, and a script can cut links, stop servers and
delay the platform's calls. What the pages leave open, they do as a sound
server or platform would.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import time
import typing

WORK_S = 0.005
CONNECT_S = 0.012
SLOTS = 5
QUEUE = 40
MAX_CONNECTIONS = 32
# One way within a zone, and between zones, which lie in different regions.
ZONE_DELAY_S = 0.0001
REGION_DELAY_S = 0.02
APPLY_DELAY_S = 0.008
PROMOTE_S = 0.6
HEARTBEAT_S = 1.2
# Time after which the old primary steps down once it reaches the new one.
YIELD_S = 1.0
# Time after which a connection with a dark far end is dropped.
DARK_CLOSE_S = 3.0
POLL_S = 0.005
# Statements that occupy a slot.
LOAD_VERBS = ('FETCH', 'STORE', 'COMMIT')
STATUS_VERBS = ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN')

Json = dict[str, typing.Any]


class Entry:
    """A commit; ``ids`` are the ids of the statements that wrote."""

    __slots__ = ('term', 'number', 'writes', 'ids')

    def __init__(
        self, term: int, number: int, writes: dict[str, str], ids: list[str]
    ) -> None:
        self.term = term
        self.number = number
        self.writes = writes
        self.ids = ids


class Refused(Exception):
    """Report a statement that a server refuses; the text is the code."""


class Connection(asyncio.Protocol):
    """One connection to a server, from the machine ``peer``."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.peer = ''
        self.closed = False
        self.accepted = False
        self.account = ''
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.in_transaction = False
        self.failed = False
        self.read_only = False
        self.pending: dict[str, str] = {}
        self.ids: list[str] = []
        self._buffer = b''
        self._lines: asyncio.Queue[str] = asyncio.Queue()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        host = transport.get_extra_info('peername')[0]
        world = self.server.world
        self.peer = world.machine_of(host)
        self.delay_s = world.delay_s(self.server.zone, world.zones.get(host))
        self.server.connections.add(self)
        self._task = asyncio.ensure_future(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.server.connections.discard(self)
        self._task.cancel()

    def data_received(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b'\r\n')
        if lines:
            asyncio.get_running_loop().call_later(
                self.delay_s, self._receive, lines
            )

    def _receive(self, lines: list[bytes]) -> None:
        for line in lines:
            self._lines.put_nowait(line.decode())

    def drop(self) -> None:
        """Close without an answer; an open transaction is rolled back."""
        self.closed = True
        self.transport.abort()

    async def _await_path(self) -> None:
        """Wait while the link to the peer is cut or the server is dark."""
        started = time.monotonic()
        while not self.server.reaches(self.peer):
            if time.monotonic() - started > DARK_CLOSE_S:
                self.drop()
            await asyncio.sleep(POLL_S)

    async def _serve(self) -> None:
        while not self.closed:
            line = await self._lines.get()
            await self._await_path()
            answer = await self._answer(line)
            await self._await_path()
            if answer is None:
                self.drop()
            else:
                asyncio.get_running_loop().call_later(
                    self.delay_s, self._send, answer
                )

    def _send(self, answer: str) -> None:
        if not self.closed:
            self.transport.write(answer.encode())
            if answer.startswith(('ERROR MISROUTED', 'ERROR TOOMANY')):
                self.transport.close()

    async def _answer(self, line: str) -> str | None:
        word, _, rest = line.partition(' ')
        if not self.accepted:
            return await self._start(rest.split())
        if word != 'QUERY':
            return None
        statement_id, _, text = rest.partition(' ')
        try:
            rows, signature = await self.server.run(self, statement_id, text)
        except Refused as exc:
            return f'ERROR {exc} {self.server.name}\r\n{self._ready()}'
        except ConnectionError:
            return None
        data = ''.join(f'DATAROW {row}\r\n' for row in rows)
        return f'{data}COMPLETE {signature}\r\n{self._ready()}'

    async def _start(self, fields: list[str]) -> str:
        server = self.server
        if fields[0] != server.group.name or fields[2:] not in (
            [],
            [server.name],
        ):
            return f'ERROR MISROUTED {server.name}\r\n'
        if len(server.connections) > MAX_CONNECTIONS:
            return f'ERROR TOOMANY {server.name}\r\n'
        self.account = fields[1]
        self.accepted = True
        async with server.slots:
            await asyncio.sleep(CONNECT_S)
        return self._ready()

    def _ready(self) -> str:
        state = 'I'
        if self.in_transaction:
            state = 'E' if self.failed else 'T'
        term, number = self.server.end()
        return f'READY {state} {term}.{number}\r\n'

    def end_transaction(self) -> None:
        self.in_transaction = self.failed = self.read_only = False
        self.pending, self.ids = {}, []


class Server:
    """A database server; the primary of its group or a replica."""

    def __init__(
        self, world: World, group: Group, name: str, zone: str, address: str
    ) -> None:
        self.world = world
        self.group = group
        self.name = name
        self.zone = zone
        self.address = address
        self.primary = False
        self.term = 1
        self.held = 0
        self.log: list[Entry] = []
        self.data: dict[str, str] = {}
        self.applied = 0
        self.running = False
        self.dark = False
        self.deaf = False
        self.leaving = False
        self.gone = False
        # Number of the control machine that gets the first heartbeat.
        self.first_control = 0
        self.acked: dict[str, int] = {}
        self.yields_at: float | None = None
        self.connections: set[Connection] = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.endpoint = ''
        # Set when something changes that is reported at once.
        self._changed = asyncio.Event()

    async def start(self) -> None:
        host, port = self.address.split(':')
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), host, int(port)
        )
        self.running = True

    def reaches(self, machine: str) -> bool:
        """Return whether messages pass between this server and a machine."""
        return not self.dark and not self.world.is_cut(self.name, machine)

    def end(self) -> tuple[int, int]:
        """Return term and number of the last entry of the log."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    def ids(self) -> set[str]:
        """Return the ids of all statements whose writes the log holds."""
        return {i for entry in self.log for i in entry.ids}

    # Statements.

    async def run(
        self, conn: Connection, statement_id: str, text: str
    ) -> tuple[list[str], str]:
        self.world.ran(self, conn, statement_id, text)
        verb, _, rest = text.partition(' ')
        if verb == 'WAITLSN':
            floor, _, text = rest.partition(' ')
            if self._applied_end() < tuple(map(int, floor.split('.'))):
                raise Refused('LAGGING')
            verb, _, rest = text.partition(' ')
        if verb in STATUS_VERBS:
            return [self._command(verb, rest)], '-'
        if conn.failed and verb not in ('COMMIT', 'ROLLBACK'):
            raise Refused('MALFORMED')
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in conn.prepared:
                raise Refused('NOSTMT')
            verb = conn.prepared[name].split()[0]
        if verb not in LOAD_VERBS:
            return self._change_session(conn, verb, rest)
        if self.waiting >= QUEUE:
            raise Refused('BUSY')
        self.waiting += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.world.work_s(text))
                found = self._access(conn, statement_id, verb, rest)
        finally:
            self.waiting -= 1
        if isinstance(found, Entry):
            await self._await_copy(found)
            found = []
        return found, f'{self.name}.{statement_id}'

    def _applied_end(self) -> tuple[int, int]:
        if not self.applied:
            return (1, 0)
        last = self.log[self.applied - 1]
        return last.term, last.number

    def _command(self, verb: str, rest: str) -> str:
        if verb == 'PAUSE' and not self.primary and int(rest) > self.term:
            self.held = int(rest)
        elif verb == 'RESUME':
            self.held = 0
        elif verb == 'STEPDOWN' and self.primary and self.term < int(rest):
            self.step_down()
        role = 'primary' if self.primary else 'replica'
        term, number = self.end()
        row = (
            f'{role} {self.term} {term}.{number} {self.held} 8 '
            f'{self.waiting} {len(self.connections)}'
        )
        if verb != 'STATUS':
            self.world.record(f'{self.name} got {verb} {rest}: {row}')
        return row

    def _change_session(
        self, conn: Connection, verb: str, rest: str
    ) -> tuple[list[str], str]:
        name, _, value = rest.partition(' ')
        if verb == 'SET':
            conn.values[name] = value
        elif verb == 'PREPARE':
            conn.prepared[name] = value
        elif verb == 'DEALLOCATE':
            conn.prepared.pop(name, None)
        elif verb == 'DISCARD':
            conn.values, conn.prepared = {}, {}
        elif verb == 'BEGIN':
            if not rest and not self.primary:
                raise Refused('READONLY')
            conn.in_transaction, conn.read_only = True, bool(rest)
        elif verb == 'ROLLBACK':
            conn.end_transaction()
        else:
            raise Refused('MALFORMED')
        return [], '-'

    def _access(
        self, conn: Connection, statement_id: str, verb: str, rest: str
    ) -> Entry | list[str]:
        if verb == 'FETCH':
            item = rest.split()[0]
            self.world.check_read(self, statement_id)
            return [conn.pending.get(item, self.data.get(item, 'none'))]
        if verb == 'STORE':
            item, _, value = rest.partition(' ')
            if not self.primary or conn.read_only:
                conn.failed = conn.in_transaction
                raise Refused('READONLY')
            if not conn.in_transaction:
                return self._append({item: value}, [statement_id])
            conn.pending[item] = value
            conn.ids.append(statement_id)
            return []
        failed, writes, ids = conn.failed, conn.pending, conn.ids
        conn.end_transaction()
        if failed:
            raise Refused('FAILED')
        if not writes:
            return []
        if not self.primary:
            raise Refused('READONLY')
        return self._append(writes, ids)

    def _append(self, writes: dict[str, str], ids: list[str]) -> Entry:
        entry = Entry(self.term, self.end()[1] + 1, writes, ids)
        self.log.append(entry)
        self._apply(len(self.log))
        for statement_id in ids:
            self.world.committed[statement_id] = (self.name, self.term)
            self.world.entries[statement_id] = entry
        self.send_log()
        return entry

    async def _await_copy(self, entry: Entry) -> None:
        """Wait until one replica has received a commit."""
        index = entry.number
        while max(self.acked.values(), default=0) < index:
            if not self.primary or entry.term != self.term:
                raise ConnectionError
            await asyncio.sleep(POLL_S / 5)
        if not self.primary:
            raise ConnectionError

    # Replication.

    def send_log(self) -> None:
        """Send the log to all servers that can be reached."""
        loop = asyncio.get_running_loop()
        for other in self.group.servers:
            if other is not self and self.group.linked(self, other):
                loop.call_later(
                    self.world.delay_s(self.zone, other.zone),
                    other.receive_log,
                    self,
                    self.term,
                    self.log[:],
                )

    def receive_log(self, sender: Server, term: int, log: list[Entry]) -> None:
        """Take over a primary's log, and confirm what was received."""
        linked = self.group.linked(sender, self)
        if not linked or self.deaf or term < self.term or term < self.held:
            return
        if self.primary:
            if self.yields_at is None and term > self.term:
                self.yields_at = time.monotonic() + YIELD_S
            return
        new_term = term > self.term
        if new_term:
            self.term, self.held = term, 0
        common = min(len(self.log), len(log))
        conflict = common and self.log[common - 1] is not log[common - 1]
        if conflict or (new_term and len(self.log) > len(log)):
            self._roll_back(log)
        elif len(log) > len(self.log):
            self.log = log
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_DELAY_S, self._apply, len(self.log))
        loop.call_later(
            self.world.delay_s(self.zone, sender.zone),
            sender.receive_ack,
            self,
            term,
            len(self.log),
        )

    def _roll_back(self, log: list[Entry]) -> None:
        """Take over a log that lacks entries of the own one."""
        self.log, self.applied = log, min(self.applied, len(log))
        self.data = {}
        for entry in log[: self.applied]:
            self.data.update(entry.writes)

    def receive_ack(self, replica: Server, term: int, length: int) -> None:
        """Record how much of the log a replica has received."""
        if self.group.linked(replica, self) and self.primary:
            if term == self.term:
                self.acked[replica.name] = length

    def _apply(self, length: int) -> None:
        for entry in self.log[self.applied : length]:
            self.data.update(entry.writes)
        self.applied = max(self.applied, min(length, len(self.log)))

    def step_down(self) -> None:
        """Become a replica."""
        self.primary, self.yields_at, self.acked = False, None, {}
        self._changed.set()
        self.world.record(f'{self.name} stepped down in term {self.term}')

    def lead(self) -> None:
        """Become the primary of the next term with the log received."""
        if self is self.group.present_primary():
            return
        self.term = max(s.term for s in self.group.servers) + 1
        self.primary, self.held, self.acked = True, 0, {}
        self._changed.set()
        self._apply(len(self.log))
        self.world.promoted(self)
        self.send_log()

    async def replicate(self) -> None:
        """Repeat the log to replicas, and step down when it is due."""
        while True:
            await asyncio.sleep(0.05)
            if self.primary and not self.dark:
                due = self.yields_at
                if due is not None and time.monotonic() > due:
                    self.step_down()
                else:
                    self.send_log()

    # Heartbeats.

    async def announce(self) -> None:
        """Send heartbeats to control until this server is gone."""
        turn = self.first_control
        while not self.gone:
            control = self.world.control_addresses
            address = self.endpoint or control[turn % len(control)]
            if self.dark or self.world.is_cut(self.name, 'core'):
                self.endpoint = ''
                await asyncio.sleep(0.2)
                continue
            self._changed.clear()
            status, body = await call_http(
                address, 'PUT', f'/api/instances/{self.name}', self._beat()
            )
            if status == 200:
                self.endpoint = body.get('heartbeatEndpoint', address)
                try:
                    async with asyncio.timeout(HEARTBEAT_S):
                        await self._changed.wait()
                except TimeoutError:
                    pass
            else:
                # The next node is called.
                self.endpoint, turn = '', turn + 1
                await asyncio.sleep(0.05)

    def _beat(self) -> Json:
        return {
            'service': self.group.name,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': SLOTS,
            'state': 'draining' if self.leaving else 'ready',
            'coldRemainingMs': 0,
            'dbRole': 'primary' if self.primary else 'replica',
            'sequence': next(self.sequence),
            'born': self.born,
        }

    def drain(self) -> None:
        """Say that this server leaves; it goes on serving."""
        self.leaving = True
        self._changed.set()

    async def leave(self) -> None:
        """Unregister and end."""
        self.gone = True
        for address in [self.endpoint, *self.world.control_addresses]:
            if address:
                status, _ = await call_http(
                    address, 'DELETE', f'/api/instances/{self.name}', {}
                )
                if status == 200:
                    break
        self.dark = True
        self._listener.close()
        for conn in list(self.connections):
            conn.drop()


class Group:
    """The servers of one service."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.servers: list[Server] = []

    def linked(self, first: Server, second: Server) -> bool:
        """Return whether two servers reach each other."""
        return first.reaches(second.name) and not second.dark

    def present_primary(self) -> Server | None:
        """Return the primary of the newest term."""
        leading = [s for s in self.servers if s.primary]
        return max(leading, key=lambda s: s.term, default=None)


class World:
    """All stand-ins, the faults in force, and the record of the run."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = open(record_path, 'w', encoding='utf-8')
        self.groups: dict[str, Group] = {}
        # Names and zones of machines by address.
        self.machines: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.control_addresses: list[str] = []
        self.cuts: set[frozenset[str]] = set()
        # Server and term of each commit, and its entry, by statement.
        self.committed: dict[str, tuple[str, int]] = {}
        self.entries: dict[str, Entry] = {}
        # When clients sent their statements.
        self.sent: dict[str, float] = {}
        # Acknowledgements of commits to clients, in order of time.
        self.acknowledged: list[tuple[float, Entry]] = []
        # Reads whose server lacked a commit acknowledged before.
        self.stale_reads: list[tuple[float, str, str]] = []
        self.statements: list[tuple[float, Server, str, str]] = []
        self.promotions: list[
            tuple[float, Server, int, set[str], tuple[int, int]]
        ] = []
        self.calls: list[tuple[float, str, int, str]] = []
        # Delay before the platform handles a call, in s.
        self.platform_delay_s = 0.0
        # Returns how long a server works on a statement, in s.
        self.work_s = lambda text: WORK_S

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def record(self, text: str) -> None:
        """Write a line of the record."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def machine_of(self, host: str) -> str:
        """Return the machine with an address."""
        return self.machines.get(host, host)

    def delay_s(self, zone: str, other: str | None) -> float:
        """Return the one-way delay between two zones."""
        return REGION_DELAY_S if zone != other else ZONE_DELAY_S

    def cut(self, first: str, second: str) -> None:
        """Cut the link between two machines silently."""
        self.cuts.add(frozenset((first, second)))

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the link between two machines is cut."""
        return bool(self.cuts) and frozenset((first, second)) in self.cuts

    def ran(
        self, server: Server, conn: Connection, statement_id: str, text: str
    ) -> None:
        """Record a statement of a client that a server runs."""
        if statement_id != '-':
            self.statements.append((self.now(), server, statement_id, text))
            self.record(f'run {server.name} {statement_id} {text}')

    def acknowledge(self, statement_id: str) -> None:
        """Record that a client got the success of a commit."""
        entry = self.entries.get(statement_id)
        if entry is not None:
            self.acknowledged.append((self.now(), entry))

    def check_read(self, server: Server, statement_id: str) -> None:
        """Record a read whose server's log lacks an acknowledged commit."""
        sent_at = self.sent.get(statement_id, 0.0)
        before = [e for at, e in self.acknowledged[-500:] if at < sent_at]
        if not before:
            return
        last = max(before, key=lambda e: (e.term, e.number))
        log = server.log
        if last.number > len(log) or log[last.number - 1] is not last:
            self.stale_reads.append((self.now(), statement_id, server.name))
            self.record(
                f'stale read {statement_id} sent {sent_at:.3f} at '
                f'{server.name}, log {server.end()} lacks '
                f'{last.term}.{last.number}'
            )

    def promoted(self, server: Server) -> None:
        """Record a promotion and the log that the server has."""
        self.promotions.append(
            (self.now(), server, server.term, server.ids(), server.end())
        )
        self.record(
            f'promoted {server.name} term {server.term} log {server.end()}'
        )

    async def handle_failover(
        self, headers: dict[str, str], body: Json
    ) -> int:
        """Handle a call of the platform; return the HTTP status."""
        token = headers.get('fencing-token', '0')
        holder = headers.get('lease-holder', '')
        self.calls.append((self.now(), holder, int(token), body['id']))
        self.record(f'call failover {body} holder {holder} token {token}')
        if self.platform_delay_s:
            await asyncio.sleep(self.platform_delay_s)
        group = self.groups[body['service']]
        server = next((s for s in group.servers if s.name == body['id']), None)
        if server is None or server.dark:
            self.record(f'call for {body["id"]} handled: 409')
            return 409
        self.record(f'call for {body["id"]} handled: 200')
        if server is not group.present_primary():
            asyncio.get_running_loop().call_later(PROMOTE_S, server.lead)
        return 200

    async def serve_platform(self, address: str) -> asyncio.Server:
        """Serve the platform's calls at an address."""
        host, port = address.split(':')

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (
                        line.partition(':') for line in head.split('\r\n')[1:]
                    )
                }
                raw = await reader.readexactly(int(headers['content-length']))
                status = await self.handle_failover(headers, json.loads(raw))
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n'
                    'Content-Type: application/json\r\n\r\n{}'.encode()
                )
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(serve, host, int(port))


async def call_http(
    address: str,
    method: str,
    path: str,
    body: Json | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, Json]:
    """Send a request; return the status, 0 for none, and the JSON body."""
    host, port = address.split(':')
    data = b'' if body is None else json.dumps(body).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(data)}\r\nConnection: close\r\n\r\n'
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            raw = await reader.read()
    except (OSError, TimeoutError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    top, _, rest = raw.partition(b'\r\n\r\n')
    try:
        status = int(top.split()[1])
        found = json.loads(rest) if rest else {}
    except (ValueError, IndexError):
        return 0, {}
    return status, found if isinstance(found, dict) else {}
