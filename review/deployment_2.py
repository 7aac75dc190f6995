"""A small deployment of the project's programs, for the scripts of review 2.

It starts the roles with the commands and the settings templates of the deploy
file, each process on a loopback address of its own, together with the
project's stand-in of servers and platform.
"""

import datetime
import http.client
import itertools
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import sys
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('z0', 'z1', 'z2')
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 1.0

Json = dict[str, typing.Any]


class CannotRunError(Exception):
    """Report that the case could not be run."""


class Record:
    """Write what was sent and answered, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._started = time.monotonic()
        today = datetime.datetime.now(datetime.UTC)
        self.write(f'started {today.isoformat(timespec="seconds")}')

    def write(self, text: str) -> None:
        """Add a line and show it."""
        line = f'{time.monotonic() - self._started:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        sys.stdout.write(line + '\n')
        sys.stdout.flush()


def free_port(host: str) -> int:
    """Return a port that is free on a host."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def render(template: str, fields: Json) -> str:
    """Fill the fields and the sections of a settings template."""

    def section(match: re.Match[str]) -> str:
        found = fields[match[1]]
        return ''.join(
            match[2].replace('{{@}}', key).replace('{{.}}', value)
            for key, value in found.items()
        )

    text = re.sub(
        r'\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n', section, template, flags=re.S
    )
    return re.sub(r'\{\{([\w.]+)\}\}', lambda m: str(fields[m[1]]), text)


class Machine:
    """A process of the product on a loopback address of its own."""

    def __init__(
        self, name: str, argv: list[str], folder: pathlib.Path, settings: str
    ) -> None:
        self.name = name
        self.http = ''
        self.sessions = ''
        self._argv = argv
        self._folder = folder
        self._settings = folder / f'{name}.ini'
        self._settings.write_text(settings)
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SASSAFRASRIDGE_BOOT'] = str(self._settings)
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.child = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def ended(self) -> bool:
        """Return whether the process has ended by itself."""
        return self.child is not None and self.child.poll() is not None

    def log_lines(self, word: str) -> list[Json]:
        """Return the lines of the process's log that contain a word."""
        text = (self._folder / f'{self.name}.log').read_text(errors='replace')
        return [json.loads(x) for x in text.splitlines() if word in x]

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        if self.child is None or self.ended():
            return 0.0
        text = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found[1]) / 1024 if found else 0.0

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Send an HTTP request; return status 0 without an answer."""
        host, port = self.http.rsplit(':', 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            conn.request(method, path, body)
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            conn.close()


class Deployment:
    """Three core machines, some edge machines, and the stand-ins."""

    def __init__(
        self,
        folder: pathlib.Path,
        edge_zones: typing.Sequence[int] = (0, 1, 2),
        groups: tuple[str, ...] = ('svc0', 'svc1'),
        read_cost_s: float = 0.003,
    ) -> None:
        self._read_cost_s = read_cost_s
        self.folder = folder
        self.groups = groups
        network = f'127.{20 + os.getpid() % 200}'
        self._network = network
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']
        self._rpc_port = free_port(f'{network}.0.1')
        self._control_port = free_port(f'{network}.0.1')
        self.cloud = f'{network}.9.1:{free_port(f"{network}.9.1")}'
        hosts = [f'{network}.{number}.1' for number in range(3)]
        self._seeds = ','.join(f'{h}:{self._control_port}' for h in hosts)
        self.core = [
            self._create('control', f'core-{n}', host, n)
            for n, host in enumerate(hosts)
        ]
        self.edges = [
            self._create(
                'entry', f'edge-{n}', f'{network}.{zone}.{10 + n}', zone
            )
            for n, zone in enumerate(edge_zones)
        ]
        self.platform: subprocess.Popen[bytes] | None = None
        self._server_ports = {
            name: [free_port(f'{network}.{n}.50') for n in range(3)]
            for name in groups
        }

    def _create(
        self,
        role: str,
        name: str,
        host: str,
        number: int,
    ) -> Machine:
        data = self.folder / 'data' / name
        data.mkdir(parents=True)
        fields = {
            'nodeName': name,
            'zone': ZONES[number % 3],
            'region': f'r{number % 3}',
            'zones': {zone: f'r{n}' for n, zone in enumerate(ZONES)},
            'ip': host,
            'internalPorts.0': self._rpc_port,
            'bindAddrs.controlPlane': f'{host}:{self._control_port}',
            'bindAddrs.frontend': f'{host}:{free_port(host)}',
            'bindAddrs.ready': f'{host}:{free_port(host)}',
            'seeds': self._seeds,
            'bootstrap': 'true',
            'dataDir': str(data),
            'limits.memoryMb': 296 if role == 'control' else 300,
            'faultTolerance.machines': 1,
            'cloudApi.address': self.cloud,
        }
        described = self._roles[role]
        template = (ROOT / described['template']).read_text()
        argv = render(described['run'], fields).split()
        machine = Machine(name, argv, self.folder, render(template, fields))
        is_core = role == 'control'
        machine.http = fields[
            'bindAddrs.controlPlane' if is_core else 'bindAddrs.ready'
        ]
        machine.sessions = fields['bindAddrs.frontend']
        return machine

    def start(self) -> None:
        """Start all processes."""
        argv = [
            sys.executable,
            str(ROOT / 'review' / 'servers_2.py'),
            '--listen',
            self.cloud,
            '--control',
            ','.join(machine.http for machine in self.core),
        ]
        for name, ports in self._server_ports.items():
            addresses = ','.join(
                f'{self._network}.{n}.50:{port}'
                for n, port in enumerate(ports)
            )
            argv += ['--group', f'{name}={addresses}']
        env = dict(os.environ)
        env['PYTHONPATH'] = os.pathsep.join(
            str(ROOT / part)
            for part in ('target/deps', 'packages/testkit/src')
        )
        env['READ_COST_S'] = str(self._read_cost_s)
        with (self.folder / 'platform.log').open('ab') as log:
            self.platform = subprocess.Popen(
                argv, env=env, cwd=ROOT, stdout=log, stderr=log
            )
        for machine in [*self.core, *self.edges]:
            machine.start()

    def stop(self) -> None:
        """End all processes that were started here."""
        for machine in [*self.edges, *self.core]:
            machine.signal(signal.SIGCONT)
            machine.kill()
        if self.platform is not None:
            self.platform.kill()
            self.platform.wait()

    def configuration(
        self,
        version: int,
        extra_routes: int = 0,
        idle_ms: int = 3000,
        moved: dict[str, str] | None = None,
    ) -> bytes:
        """Return a configuration with additional routes without traffic.

        ``moved`` gives the services of the hosts that have another one.
        """
        kinds = ('primary', 'bounded_staleness', 'read_your_writes')
        hosts = [
            (f'{group}-{kind}', kind, group)
            for group in self.groups
            for kind in kinds
        ]
        hosts += [
            (f'idle-{n:05d}', kinds[n % 3], self.groups[n % len(self.groups)])
            for n in range(extra_routes)
        ]
        routes = [
            {
                'name': f'r-{host}',
                'host': host,
                'pathPrefix': '/',
                'type': kind,
                'timeoutMs': 1500,
                'targetLatencyMs': 800,
                'priority': 1,
                'service': (moved or {}).get(host, group),
                'maxAttempts': 2,
                'maxStalenessMs': 2500 if 'your' in kind else 1500,
                'public': False,
            }
            for host, kind, group in hosts
        ]
        services = [
            {
                'name': group,
                'healthPath': '/healthz',
                'maxConnections': 30,
                'protocol': 'h1',
                'tls': False,
                'syncReplicas': 1,
            }
            for group in self.groups
        ]
        limits = {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            'txIdleMs': idle_ms,
        }
        tenants = [
            {
                'name': name,
                'apiKeys': [f'key-{name}'],
                'priority': 1,
                'ratePerS': 500,
                'burst': 500,
            }
            for name in ('acme', 'birch')
        ]
        body = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': limits,
            'tenants': tenants,
        }
        return json.dumps(body, separators=(',', ':')).encode()

    def leader(self) -> Machine:
        """Return the core machine that last began to lead, by its log."""
        found = {}
        for machine in self.core:
            for line in machine.log_lines('leadership_began'):
                found[float(line['timestamp'])] = machine
        if not found:
            raise CannotRunError('no control leader is known')
        return found[max(found)]

    def fault(self, server: str, **fields: typing.Any) -> None:
        """Inject a fault into a server of the stand-in platform."""
        host, port = self.cloud.rsplit(':', 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=2.0)
        body = json.dumps({'server': server, **fields}).encode()
        conn.request('POST', '/faults', body)
        conn.getresponse().read()
        conn.close()

    def send(self, body: bytes, timeout_s: float = 10.0) -> bool:
        """Send a configuration until a machine acknowledges it."""
        deadline = time.monotonic() + timeout_s
        for machine in itertools.cycle(self.core):
            status, _ = machine.call('PUT', '/api/config', body, 2.0)
            if status == 200:
                return True
            if 400 <= status < 500 or time.monotonic() > deadline:
                return False
            time.sleep(0.05)
        return False

    def wait_serving(self) -> None:
        """Wait until every edge machine serves; raise CannotRunError."""
        for machine in self.edges:
            for group in self.groups:
                deadline = time.monotonic() + START_TIMEOUT_S
                while ask(machine, f'{group}-primary', 'FETCH a') != 'ok':
                    if time.monotonic() > deadline:
                        raise CannotRunError(f'{machine.name} does not serve')
                    time.sleep(0.1)


class Session:
    """A client session over the line protocol."""

    def __init__(
        self, address: str, database: str, key: str, timeout_s: float = 2.0
    ) -> None:
        host, port = address.rsplit(':', 1)
        self._sock = socket.create_connection((host, int(port)), timeout_s)
        self._file = self._sock.makefile('rwb')
        # Signature of the last answer; the stand-in servers begin it with
        # their name.
        self.signature = ''
        try:
            self.code, _ = self._exchange(f'STARTUP {database} {key}')
        except OSError:
            self.close()
            raise

    def query(self, text: str, id: str = '') -> tuple[str, list[str]]:
        """Run a statement; return 'ok' or the error code, and the rows."""
        return self._exchange(f'QUERY {id or secrets.token_hex(8)} {text}')

    def _exchange(self, line: str) -> tuple[str, list[str]]:
        self._file.write(line.encode() + b'\r\n')
        self._file.flush()
        code, rows = 'ok', []
        while True:
            answer = self._file.readline().decode()
            if not answer.endswith('\r\n'):
                if code != 'ok':
                    return code, rows
                raise ConnectionError('closed before the answer ended')
            word, _, rest = answer[:-2].partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                self.signature = rest
            elif word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                return code, rows

    def close(self) -> None:
        """Close the connection."""
        self._file.close()
        self._sock.close()


def ask(
    machine: Machine, database: str, text: str, key: str = 'key-acme'
) -> str:
    """Run one statement in a new session; return 'ok' or what failed."""
    try:
        session = Session(machine.sessions, database, key)
    except OSError as exc:
        return type(exc).__name__
    try:
        if session.code != 'ok':
            return session.code
        return session.query(text)[0]
    except OSError as exc:
        return type(exc).__name__
    finally:
        session.close()
