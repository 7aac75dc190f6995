"""A small deployment of the product on loopback addresses.

It starts the roles of ``deploy/system.toml`` with their commands and
templates, stand-in database servers of the test kit, and clients. It is run
with ``target/deps``, ``packages/testkit/src`` and ``review`` on Python's
path.
"""

import collections
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTKIT = ROOT / 'packages' / 'testkit' / 'src'
# Zones, each in a region of its own. The stand-in servers use the same names.
ZONES = {'z0': 'r0', 'z1': 'r1', 'z2': 'r2'}
KEY = 'key-of-the-review'
START_TIMEOUT_S = 25.0

Fields = dict[str, typing.Any]


class CannotRun(Exception):
    """Report that a case could not be set up."""


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            seconds = time.monotonic() - self._started
            self._file.write(f'{seconds:8.3f} {text}\n')
            self._file.flush()


# Settings of a process, rendered from the templates of the deploy file.


def _look_up(fields: Fields, name: str) -> typing.Any:
    value: typing.Any = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _as_text(value: typing.Any) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ','.join(map(str, value))
    return str(value)


def render(text: str, fields: Fields) -> str:
    """Return a template with the fields of a process filled in."""

    def section(match: re.Match[str]) -> str:
        value, body = _look_up(fields, match[1]), match[2]
        if isinstance(value, dict):
            return ''.join(
                body.replace('{{@}}', key).replace('{{.}}', str(item))
                for key, item in value.items()
            )
        return render(body, fields) if value else ''

    text = re.sub(
        r'\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?', section, text, flags=re.S
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}',
        lambda match: _as_text(_look_up(fields, match[1])),
        text,
    )


# Processes.


class Process:
    """Run one process of the case and remember how to start it again."""

    def __init__(
        self, name: str, argv: list[str], env: dict[str, str], folder: str
    ) -> None:
        self.name = name
        self._argv, self._env, self._folder = argv, env, folder
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output goes to a file."""
        path = pathlib.Path(self._folder) / f'{self.name}.log'
        with path.open('ab') as output:
            self._child = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                env=self._env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def running(self) -> bool:
        """Return whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._child is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._child.wait()


class Node:
    """A machine of the system: its address, its process and its folder."""

    def __init__(self, name: str, zone: str, ip: str, role: str) -> None:
        self.name, self.zone, self.ip, self.role = name, zone, ip, role
        self.process: Process
        self.data_folder = ''
        self.settings_path = ''
        self.frontend = self.ready = self.control = ''


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    found: list[int] = []
    held = []
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        sockets = []
        try:
            for ip in ips:
                sock = socket.socket()
                sockets.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((ip, port))
        except OSError:
            for sock in sockets:
                sock.close()
            continue
        held += sockets
        found.append(port)
        if len(found) == count:
            break
    for sock in held:
        sock.close()
    if len(found) < count:
        raise CannotRun('no free ports')
    return found


class Deployment:
    """Three control machines, some entry machines and one service."""

    def __init__(
        self, record: Record, entry_zones: list[str], service: str = 'orders'
    ) -> None:
        self.record = record
        self.service = service
        self.folder = tempfile.mkdtemp(prefix='review-')
        network = (
            f'127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}'
        )
        self._deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.control = [
            Node(f'core-{zone}', zone, f'{network}.{n + 1}', 'control')
            for n, zone in enumerate(ZONES)
        ]
        self.entries = [
            Node(f'edge-{n}', zone, f'{network}.{n + 11}', 'entry')
            for n, zone in enumerate(entry_zones)
        ]
        nodes = [*self.control, *self.entries]
        ips = [node.ip for node in nodes]
        self._ports = _free_ports(ips, 4)
        self.platform_address = f'{network}.100:{self._ports[0]}'
        self._server_ips = [f'{network}.{n + 101}' for n in range(3)]
        for node in nodes:
            self._prepare(node, bootstrap=True)
        self.platform = self._platform_process()
        self.version = 0

    # Life cycle.

    def _prepare(self, node: Node, bootstrap: bool) -> None:
        """Write a machine's settings and create its process."""
        frontend, ready, control, internal = self._ports
        node.frontend = f'{node.ip}:{frontend}'
        node.ready = f'{node.ip}:{ready}'
        node.control = f'{node.ip}:{control}'
        is_control = node.role == 'control'
        node.data_folder = os.path.join(self.folder, f'data-{node.name}')
        fields: Fields = {
            'nodeName': node.name,
            'zone': node.zone,
            'region': ZONES[node.zone],
            'zones': ZONES,
            'ip': node.ip,
            'bindAddrs': {
                'frontend': node.frontend,
                'ready': node.ready,
                'controlPlane': node.control,
            },
            'internalPorts': [internal, internal + 15],
            'seeds': [f'{n.ip}:{control}' for n in self.control],
            'bootstrap': bootstrap,
            'faultTolerance': {'machines': 1},
            'limits': {'memoryMb': 296 if is_control else 300},
            'dataDir': node.data_folder if is_control else '',
            'cloudApi': {'address': self.platform_address},
        }
        role = self._deploy['roles'][node.role]
        text = (ROOT / role['template']).read_text()
        node.settings_path = os.path.join(self.folder, f'{node.name}.ini')
        pathlib.Path(node.settings_path).write_text(render(text, fields))
        argv = [render(word, fields) for word in role['run'].split()]
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SASSAFRASRIDGE_BOOT'] = node.settings_path
        node.process = Process(node.name, argv, env, self.folder)

    def _platform_process(self) -> Process:
        """Return the process of the stand-in servers and platform."""
        (port,) = _free_ports(self._server_ips, 1)
        servers = ','.join(f'{ip}:{port}' for ip in self._server_ips)
        argv = [
            sys.executable,
            '-m',
            'sassafrasridge_testkit.linegroup',
            '--listen',
            self.platform_address,
            '--control',
            ','.join(node.control for node in self.control),
            '--group',
            f'{self.service}={servers}',
        ]
        env = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': f'{ROOT / "target" / "deps"}:{TESTKIT}',
        }
        return Process('platform', argv, env, self.folder)

    def start(self) -> None:
        """Start everything and wait until each entry machine serves."""
        # Ends the processes too if the case itself hangs.
        watchdog = threading.Timer(WATCHDOG_S, self._give_up)
        watchdog.daemon = True
        watchdog.start()
        for node in [*self.control, *self.entries]:
            node.process.start()
        self.platform.start()
        self.wait_until(
            lambda: self.put_configuration(self.next_configuration()),
            'the first configuration is acknowledged',
        )
        for node in self.entries:
            self.wait_until(
                lambda n=node: accepts_writes(n, self.service),
                f'{node.name} serves',
            )
        self.record.write('all machines serve')

    def stop(self) -> None:
        """End every process and remove the temporary folder."""
        for node in [*self.entries, *self.control]:
            node.process.kill()
        self.platform.kill()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _give_up(self) -> None:
        self.record.write('the case could not run: it took too long')
        self.stop()
        os._exit(2)

    def restart(self, nodes: list[Node], down_s: float) -> None:
        """Start killed machines again, after some time, with their disks."""
        time.sleep(down_s)
        for node in nodes:
            self._prepare(node, bootstrap=False)
            node.process.start()

    @staticmethod
    def wipe(node: Node) -> None:
        """Empty the disk of a killed control machine."""
        shutil.rmtree(node.data_folder, ignore_errors=True)

    @staticmethod
    def wait_until(
        condition: typing.Callable[[], bool],
        what: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a condition; raise CannotRun if it isn't met in time."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f'not within {timeout_s} s: {what}')
            time.sleep(0.1)

    # The stand-in servers.

    def order_platform(self, body: Fields) -> None:
        """Send an order to the stand-in servers."""
        data = json.dumps(body).encode()
        if http_call(self.platform_address, 'POST', '/faults', data)[0] != 200:
            raise CannotRun(f'the stand-in refused {body}')

    def primaries(self) -> list[str]:
        """Return the running servers that act as primary."""
        status, raw = http_call(self.platform_address, 'GET', '/state')
        if status != 200:
            raise CannotRun('the stand-in gave no answer')
        servers = json.loads(raw)['servers']
        return [s['server'] for s in servers if s['primary'] and s['running']]

    def new_address(self) -> str:
        """Return a free address for one more server."""
        ip = f'{self._server_ips[0].rpartition(".")[0]}.120'
        return f'{ip}:{_free_ports([ip], 1)[0]}'

    # The operator.

    def next_configuration(self, **changes: typing.Any) -> Fields:
        """Return the next version of the configuration."""
        self.version += 1
        kinds = ('primary', 'bounded_staleness', 'read_your_writes')
        routes = [
            {
                'name': f'r-{kind}',
                'host': f'{self.service}-{kind}',
                'pathPrefix': '/',
                'type': kind,
                'timeoutMs': 1000,
                'targetLatencyMs': 800,
                'priority': 1,
                'service': self.service,
                'maxAttempts': 2,
                'maxStalenessMs': 1500,
                'public': False,
            }
            for kind in kinds
        ]
        service = {
            'name': self.service,
            'healthPath': '/healthz',
            'maxConnections': 30,
            'protocol': 'h1',
            'tls': False,
            'syncReplicas': 1,
        }
        tenant = {
            'name': 'tenant-0',
            'apiKeys': [KEY],
            'priority': 1,
            'ratePerS': 500,
            'burst': 500,
        }
        return {
            'version': self.version,
            'routes': routes,
            'services': [service],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
                'txIdleMs': 3000,
            },
            'tenants': [tenant],
            **changes,
        }

    def put_configuration(self, body: Fields) -> bool:
        """Send a configuration to each node in turn until one accepts it."""
        data = json.dumps(body, separators=(',', ':')).encode()
        for node in self.control:
            status = http_call(node.control, 'PUT', '/api/config', data)[0]
            if status == 200:
                return True
        return False

    def read_version(self) -> int | None:
        """Return the version that a node reads back, None without one."""
        for node in self.control:
            status, raw = http_call(node.control, 'GET', '/api/config')
            if status == 200:
                return int(json.loads(raw)['version'])
        return None


def http_call(
    address: str, method: str, path: str, body: bytes | None = None
) -> tuple[int, bytes]:
    """Return status and body of a call, status 0 without an answer."""
    host, port = address.rsplit(':', 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=1.5)
    headers = {'Content-Type': 'application/json'}
    try:
        conn.request(method, path, body, headers)
        answer = conn.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b''
    finally:
        conn.close()


# Clients.


class Session:
    """A client's session on the line protocol."""

    def __init__(self, address: str, database: str) -> None:
        host, port = address.rsplit(':', 1)
        self._sock = socket.create_connection((host, int(port)), 2.0)
        self._file = self._sock.makefile('rwb')
        self.answer = self._send(f'STARTUP {database} {KEY}')

    def query(self, id: str, text: str) -> list[str]:
        """Send a statement and return the lines of its answer."""
        return self._send(f'QUERY {id} {text}')

    def _send(self, line: str) -> list[str]:
        self._file.write(f'{line}\r\n'.encode())
        self._file.flush()
        answer: list[str] = []
        while not answer or not answer[-1].startswith('READY'):
            raw = self._file.readline()
            if not raw.endswith(b'\r\n'):
                if answer:
                    return answer
                raise ConnectionError('the connection was closed')
            answer.append(raw.decode().rstrip('\r\n'))
        return answer

    def close(self) -> None:
        """End the session."""
        self._file.close()
        self._sock.close()


def run_operation(address: str, database: str, id: str, text: str) -> str:
    """Run one statement in a session of its own.

    Returns ``served`` or what the client got instead.
    """
    try:
        session = Session(address, database)
    except OSError as exc:
        return f'no session: {type(exc).__name__}'
    try:
        if session.answer[0].startswith('ERROR'):
            return session.answer[0]
        answer = session.query(id, text)
    except OSError as exc:
        return f'no answer: {type(exc).__name__}'
    finally:
        session.close()
    for line in answer:
        if line.startswith('COMPLETE') and line != 'COMPLETE -':
            return 'served'
    return answer[0]


def accepts_writes(node: Node, service: str) -> bool:
    """Return whether a machine serves a write."""
    result = run_operation(
        node.frontend, f'{service}-primary', '00', 'STORE a 1'
    )
    return result == 'served'


class Clients:
    """Clients that send reads at a steady rate, each with two retries.

    Like behind the platform's balancer, an attempt goes to a machine that is
    ready; if fewer than half of the machines are, to any of them. Retries
    reach other machines.
    """

    def __init__(self, deployment: Deployment, per_s: float = 20.0) -> None:
        self._deployment = deployment
        self._interval_s = 1.0 / per_s
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._ready: list[Node] = list(deployment.entries)
        # Time of each operation and whether it was served.
        self.outcomes: list[tuple[float, bool]] = []
        self._threads = [
            threading.Thread(target=self._probe, daemon=True),
            threading.Thread(target=self._run, daemon=True),
        ]
        self._workers: list[threading.Thread] = []

    def start(self) -> None:
        """Start to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        for thread in self._workers:
            thread.join(12.0)

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many operations of a span were served, and all."""
        with self._lock:
            found = [ok for at, ok in self.outcomes if since <= at < until]
        return sum(found), len(found)

    def _probe(self) -> None:
        misses: collections.Counter[str] = collections.Counter()
        while not self._stopped.wait(1.0):
            ready = []
            for node in self._deployment.entries:
                status, _ = http_call(node.ready, 'GET', '/api/readyz')
                misses[node.name] = (
                    0 if status == 200 else (misses[node.name] + 1)
                )
                if misses[node.name] < 2:
                    ready.append(node)
            if 2 * len(ready) < len(self._deployment.entries):
                ready = list(self._deployment.entries)
            self._ready = ready

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(self._interval_s):
            number += 1
            thread = threading.Thread(
                target=self._operate, args=(number,), daemon=True
            )
            thread.start()
            self._workers.append(thread)

    def _operate(self, number: int) -> None:
        started = time.monotonic()
        served = False
        for attempt in range(3):
            nodes = self._ready
            node = nodes[(number + attempt) % len(nodes)]
            id = f'{number:08x}{attempt:02x}'
            database = f'{self._deployment.service}-bounded_staleness'
            result = run_operation(node.frontend, database, id, 'FETCH a')
            self._deployment.record.write(
                f'client {id} at {node.name}: FETCH a -> {result}'
            )
            if result == 'served':
                served = True
                break
            time.sleep(0.3)
        with self._lock:
            self.outcomes.append((started, served))


# A storm of large configurations.

# Routes beside those of the clients, in a body below 262,144 bytes.
IDLE_ROUTES = 1400
# The dose of the site's day scale-1: 25 changes in 1.5 s. A storm takes longer
# if the answers do, but not as long as the site's freeze.
STORM_GAP_S = 0.06
STORM_CHANGES = 25
STORM_S = 3.2


def large_configuration(
    deployment: Deployment,
) -> Fields:
    """Return the next version, with many routes and another idle time-out."""
    body = deployment.next_configuration()
    for number in range(IDLE_ROUTES):
        route = dict(body['routes'][0])
        route['name'], route['host'] = f'r{number:04}', f'idle{number:04}'
        del route['maxStalenessMs']
        body['routes'].append(route)
    body['limits']['txIdleMs'] = 3000 + body['version']
    return body


def storm(deployment: Deployment) -> int:
    """Send changes in quick succession; return how many were accepted."""
    accepted = 0
    deadline = time.monotonic() + STORM_S
    for _ in range(STORM_CHANGES):
        if time.monotonic() > deadline:
            break
        begun = time.monotonic()
        body = large_configuration(deployment)
        if deployment.put_configuration(body):
            accepted += 1
            deployment.record.write(f'configuration {body["version"]}: 200')
        rest_s = STORM_GAP_S - (time.monotonic() - begun)
        time.sleep(max(0.0, rest_s))
    return accepted


# The check of RECOVER, and the frame of a case.

RECOVERY_S = 12.0
JUDGED_S = 8.0
# A case ends by itself before the 120 s that it may take.
WATCHDOG_S = 116.0


def judge_recovery(
    record: Record,
    clients: Clients,
    begun: float,
    ended: float,
    back: float,
) -> bool:
    """Return whether enough is served again some time after a final fault.

    The clients began at ``begun``, the final fault struck at ``ended``, and
    all machines were back at ``back``. Waits until the rule can be judged.
    """
    since = back + RECOVERY_S
    until = since + JUDGED_S
    time.sleep(max(0.0, until - time.monotonic()))
    clients.stop()
    before, after = clients.served(begun, ended), clients.served(since, until)
    record.write(f'served before the final fault: {before[0]} of {before[1]}')
    record.write(
        f'served later than {RECOVERY_S:.0f} s after it: '
        f'{after[0]} of {after[1]}'
    )
    if not before[1] or not after[1] or 4 * before[0] < before[1]:
        raise CannotRun('too little was served before the final fault')
    return 4 * after[0] >= after[1]


def run_case(
    folder: pathlib.Path, run: typing.Callable[[Record], bool], rule: str
) -> int:
    """Run a case and return the exit code of its script."""
    record = Record(folder / 'record.txt')
    try:
        held = run(record)
    except CannotRun as exc:
        record.write(f'the case could not run: {exc}')
        return 2
    record.write('the rule held' if held else f'{rule} is broken')
    return 0 if held else 1
