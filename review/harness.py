"""Run a small deployment with stand-ins, for the scripts of the review.

The programs are started with the commands and the settings templates of the
deploy file, each at an address of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import standins

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
GRACE_S = 6.0
KEY = 'key-of-the-review'
TENANT = 'tenant-a'
KINDS = ('primary', 'bounded_staleness', 'read_your_writes')

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Plays a case on a deployment; returns one of the codes above.
Play = typing.Callable[['Deployment'], typing.Awaitable[int]]


class CaseError(Exception):
    """Report that a case could not run."""


def trouble() -> bool:
    """Return whether the disruption is to be injected."""
    return os.environ.get('TROUBLE', '1') != '0'


def render(template: str, fields: standins.Json) -> str:
    """Fill in a settings template of the deploy file."""

    def find(name: str) -> typing.Any:
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else ''
            else:
                value = value.get(part, '')
        return value

    def text(value: typing.Any) -> str:
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ','.join(map(str, value))
        return str(value)

    def section(match: re.Match[str]) -> str:
        body = match[2]
        return ''.join(
            body.replace('{{@}}', key).replace('{{.}}', value)
            for key, value in find(match[1]).items()
        )

    template = re.sub(
        r'\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?',
        section,
        template,
        flags=re.DOTALL,
    )
    return re.sub(r'\{\{([\w.]+)\}\}', lambda m: text(find(m[1])), template)


class Node:
    """A process of the project, on a machine of its own."""

    def __init__(self, name: str, role: str, zone: str, host: str) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.host = host
        self.process: subprocess.Popen[bytes] | None = None
        self.frontend = self.ready = self.control = ''

    def signal(self, number: int) -> None:
        """Send a signal to the process, which this script started."""
        assert self.process is not None
        self.process.send_signal(number)


class Deployment:
    """Three control machines, some edge machines, and the stand-ins."""

    def __init__(
        self,
        case: str,
        edges: int = 5,
        services: typing.Sequence[str] = ('orders',),
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        path = pathlib.Path(case).resolve().parent / 'record.txt'
        self.world = standins.World(path)
        self.record = self.world.record
        network = f'127.{20 + secrets.randbelow(200)}.{os.getpid() % 250}'
        self._hosts = (f'{network}.{n}' for n in range(1, 250))
        self._port = free_port()
        self._rpc_port = free_port()
        self._ready_port = free_port()
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self._roles = tomllib.load(file)['roles']
        self.controls = [
            self._add_node(f'core-{zone}-1', 'control', zone) for zone in ZONES
        ]
        zones = itertools.cycle(ZONES)
        self.edges = [
            self._add_node(f'edge-{zone}-{n}', 'entry', zone)
            for n, zone in zip(range(edges), zones, strict=False)
        ]
        self.seeds = [node.control for node in self.controls]
        self.world.control_addresses = self.seeds
        self.platform = f'127.0.0.1:{free_port()}'
        for number, name in enumerate(services):
            self._add_group(name, number)
        self.version = 0
        self._tasks: list[asyncio.Task[None]] = []

    def _add_node(self, name: str, role: str, zone: str) -> Node:
        node = Node(name, role, zone, next(self._hosts))
        if role == 'control':
            node.control = f'{node.host}:{self._port}'
        else:
            node.frontend = f'{node.host}:{self._port}'
            node.ready = f'{node.host}:{self._ready_port}'
        self.world.zones[node.host] = zone
        # All control machines are one end of a link, as the core is.
        self.world.machines[node.host] = (
            'core' if role == 'control' else node.name
        )
        return node

    def _add_group(self, name: str, first: int) -> None:
        group = standins.Group(self.world, name)
        self.world.groups[name] = group
        for zone in ZONES:
            self.new_server(group, zone)
        group.servers[first].primary = True

    def new_server(self, group: standins.Group, zone: str) -> standins.Server:
        """Return a new server of a group; it isn't started."""
        address = f'{next(self._hosts)}:{self._port}'
        server = standins.Server(
            self.world,
            group,
            f'{group.name}-{len(group.servers)}',
            zone,
            address,
        )
        group.servers.append(server)
        return server

    # Processes.

    def launch(self, node: Node, bootstrap: bool = False) -> None:
        """Start the process of a node with the deploy file's command."""
        role = self._roles[node.role]
        data = self.folder / f'data-{node.name}'
        data.mkdir(exist_ok=True)
        fields = {
            'nodeName': node.name,
            'zone': node.zone,
            'region': ZONES[node.zone],
            'zones': ZONES,
            'ip': node.host,
            'internalPorts': [self._rpc_port, self._rpc_port],
            'bindAddrs': {
                'controlPlane': node.control,
                'frontend': node.frontend,
                'ready': node.ready,
            },
            'seeds': self.seeds,
            'bootstrap': bootstrap,
            'dataDir': str(data),
            'faultTolerance': {'machines': 1},
            'limits': {'memoryMb': 300},
            'cloudApi': {'address': self.platform},
        }
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        settings = self.folder / f'{node.name}.conf'
        settings.write_text(render(template, fields), encoding='utf-8')
        kept = ('PATH', 'HOME', 'LANG')
        env = {n: os.environ[n] for n in kept if n in os.environ}
        env['SASSAFRASRIDGE_BOOT'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self.folder / f'{node.name}.log', 'ab')
        node.process = subprocess.Popen(  # noqa: S603
            render(role['run'], fields).split(),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record(f'started {node.name} pid {node.process.pid}')

    async def start(self) -> None:
        """Start everything; return once all nodes serve all services."""
        if not (ROOT / 'target' / 'deps').exists():
            raise CaseError('the build of the deploy file is missing')
        world = self.world
        self._server = await world.serve_platform(self.platform)
        for group in world.groups.values():
            for server in group.servers:
                await self.start_server(server)
        for node in [*self.controls, *self.edges]:
            self.launch(node, bootstrap=True)
        await self.configure(self.configuration())
        for node in self.edges:
            for name in world.groups:
                await self._wait_serving(node, name)
        self.record('all machines serve')

    async def start_server(self, server: standins.Server) -> None:
        """Start a server, its heartbeats and its replication."""
        await server.start()
        self._spawn(server.announce())
        self._spawn(server.replicate())

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _wait_serving(self, node: Node, service: str) -> None:
        end = time.monotonic() + 30
        while time.monotonic() < end:
            session = Session(self.world, node.frontend, f'{service}-primary')
            try:
                await session.open()
                answer = await session.query('STORE ready yes')
                if answer.ok:
                    return
            except OSError:
                pass
            finally:
                session.close()
            await asyncio.sleep(0.2)
        raise CaseError(f'{node.name} does not serve {service}')

    def stop(self) -> None:
        """End all processes that this script started."""
        for task in self._tasks:
            task.cancel()
        for node in [*self.controls, *self.edges]:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait(10)
        if os.environ.get('KEEP'):
            sys.stderr.write(f'kept {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def configuration(
        self, timeout_ms: int = 1000, **changes: typing.Any
    ) -> standins.Json:
        """Return a configuration with the next version."""
        self.version += 1
        routes = [
            {
                'name': f'r-{name}-{kind}',
                'host': f'{name}-{kind}',
                'pathPrefix': '/',
                'type': kind,
                'timeoutMs': timeout_ms,
                'targetLatencyMs': 800,
                'priority': 1,
                'service': name,
                'maxAttempts': 2,
                'maxStalenessMs': 1500,
                'public': False,
            }
            for name in self.world.groups
            for kind in KINDS
        ]
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'healthPath': '/healthz',
                    'maxConnections': standins.MAX_CONNECTIONS,
                    'protocol': 'h1',
                    'tls': False,
                    'syncReplicas': 1,
                }
                for name in self.world.groups
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
                'txIdleMs': 3000,
            },
            'tenants': [
                {
                    'name': TENANT,
                    'apiKeys': [KEY],
                    'priority': 1,
                    'ratePerS': 400,
                    'burst': 400,
                }
            ],
            **changes,
        }

    async def configure(self, body: standins.Json) -> None:
        """Send a configuration until it is acknowledged."""
        end = time.monotonic() + 30
        for turn in itertools.count():
            address = self.seeds[turn % len(self.seeds)]
            status, _ = await standins.call_http(
                address, 'PUT', '/api/config', body
            )
            if status == 200:
                self.record(f'configuration {body["version"]} acknowledged')
                return
            if time.monotonic() > end:
                raise CaseError('no configuration was acknowledged')
            await asyncio.sleep(0.2)


class Answer:
    """The answer to a statement; ``code`` is empty for a success."""

    __slots__ = ('rows', 'signature', 'code', 'state')

    def __init__(
        self, rows: list[str], signature: str, code: str, state: str
    ) -> None:
        self.rows = rows
        self.signature = signature
        self.code = code
        self.state = state

    @property
    def ok(self) -> bool:
        """Return whether the statement succeeded."""
        return not self.code


class Session:
    """A client's session; OSError tells that the connection ended."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        world: standins.World,
        address: str,
        database: str,
        key: str = KEY,
    ) -> None:
        self._world = world
        self._address = address
        self._database = database
        self._key = key
        self._writer: asyncio.StreamWriter | None = None
        self._prefix = f'{next(self._numbers):04x}{secrets.token_hex(4)}'
        self._count = 0

    async def open(self) -> None:
        """Connect and start the session."""
        host, port = self._address.split(':')
        async with asyncio.timeout(2):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
            self._send(f'STARTUP {self._database} {self._key}')
            answer = await self._read()
        if not answer.ok:
            raise ConnectionError(answer.code)

    def _send(self, line: str) -> None:
        assert self._writer is not None
        self._writer.write(line.encode() + b'\r\n')

    def next_id(self) -> str:
        """Return the id of the next statement."""
        return f'{self._prefix}{self._count + 1:06x}'

    async def query(self, text: str, timeout_s: float = 4.0) -> Answer:
        """Run a statement; raise OSError without a complete answer."""
        self._count += 1
        statement_id = f'{self._prefix}{self._count:06x}'
        self._world.record(f'send {statement_id} {text}')
        self._world.sent[statement_id] = self._world.now()
        self._send(f'QUERY {statement_id} {text}')
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._read()
        except (OSError, TimeoutError) as exc:
            self._world.record(f'none {statement_id} {exc!r}')
            raise ConnectionError('no answer') from exc
        result = answer.code or f'ok {answer.signature} {answer.rows}'
        self._world.record(f'got  {statement_id} {result}')
        return answer

    async def _read(self) -> Answer:
        rows: list[str] = []
        signature = code = ''
        while True:
            raw = await self._reader.readline()
            if not raw.endswith(b'\r\n'):
                if code:
                    return Answer(rows, signature, code, '')
                raise ConnectionError('closed')
            word, _, rest = raw.decode()[:-2].partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                signature = rest
            elif word == 'ERROR':
                code = rest
            else:
                return Answer(rows, signature, code, rest.split(' ')[0])

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Writers:
    """Clients that write new items all the time, one after the other.

    With ``reads`` each write is followed by a read of its item.
    """

    def __init__(
        self,
        deployment: Deployment,
        database: str,
        count: int,
        pause_s: float = 0.01,
    ) -> None:
        # Whether each write is followed by a read.
        self.reads = False
        self._deployment = deployment
        self._database = database
        self._pause_s = pause_s
        # Time of the acknowledgement and item of each write, by id.
        self.acknowledged: dict[str, tuple[float, str]] = {}
        edges = itertools.cycle(deployment.edges)
        self._tasks = [
            asyncio.ensure_future(self._write(next(edges), number))
            for number in range(count)
        ]

    async def _write(self, node: Node, number: int) -> None:
        world = self._deployment.world
        for turn in itertools.count():
            session = Session(world, node.frontend, self._database)
            try:
                await session.open()
                while True:
                    item = f'w{number}t{turn}n{session.next_id()}'
                    statement_id = session.next_id()
                    answer = await session.query(f'STORE {item} data')
                    if answer.ok and answer.signature not in ('', '-'):
                        self.acknowledged[statement_id] = world.now(), item
                        world.acknowledge(statement_id)
                    await asyncio.sleep(self._pause_s if answer.ok else 0.1)
                    if self.reads:
                        await session.query(f'FETCH {item}')
                    if not answer.ok and answer.state != 'I':
                        break
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                session.close()

    def stop(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()


async def judge_promotions(
    deployment: Deployment, writers: Writers, service: str = 'orders'
) -> int:
    """Return whether each promoted server held all acknowledged commits.

    The commits that one lacked are read back through the proxy.
    """
    world = deployment.world
    broken = False
    for when, server, term, ids, _ in world.promotions:
        lost = [
            i
            for i in writers.acknowledged
            if world.committed[i][1] < term and i not in ids
        ]
        dump(
            deployment,
            f'promotion of {server.name} at {when:.3f}, acknowledged commits '
            'that its log lacks',
            lost,
        )
        broken = broken or bool(lost)
        for statement_id in lost[:5]:
            acknowledged_at, item = writers.acknowledged[statement_id]
            session = Session(
                world, deployment.edges[0].frontend, f'{service}-primary'
            )
            try:
                await session.open()
                answer = await session.query(f'FETCH {item}')
                deployment.record(
                    f'{statement_id} acknowledged at {acknowledged_at:.3f}, '
                    f'read back: {answer.rows or answer.code}'
                )
            except OSError as exc:
                deployment.record(f'{statement_id} read back: {exc!r}')
            finally:
                session.close()
    deployment.record(f'{len(writers.acknowledged)} writes acknowledged')
    if not writers.acknowledged or (trouble() and not world.promotions):
        return NOT_RUN
    return BROKEN if broken else HELD


def free_port() -> int:
    """Return a port that is free on all loopback addresses now."""
    with socket.socket() as sock:
        sock.bind(('0.0.0.0', 0))
        return sock.getsockname()[1]


async def at(deployment: Deployment, started: float, seconds: float) -> None:
    """Wait until a time after the start of the traffic."""
    await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))
    deployment.record(f'--- {seconds} s of traffic')


def run_case(case: str, play: Play, **options: typing.Any) -> typing.NoReturn:
    """Run a case and exit with 0, 1 or 2."""

    async def main() -> int:
        deployment = Deployment(case, **options)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                return await play(deployment)
        except Exception as exc:
            # An error of the script is no broken rule.
            deployment.record(f'not run: {exc!r}')
            return NOT_RUN
        finally:
            deployment.stop()

    code = asyncio.run(main())
    sys.stdout.write(
        {HELD: 'held\n', BROKEN: 'broken\n', NOT_RUN: 'not run\n'}[code]
    )
    sys.exit(code)


def dump(deployment: Deployment, name: str, value: typing.Any) -> None:
    """Write a finding into the record."""
    deployment.record(f'{name}: {json.dumps(value)}')
