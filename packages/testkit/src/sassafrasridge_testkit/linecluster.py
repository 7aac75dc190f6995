"""Run the product with a stand-in of the users' platform on 127.0.0.0/8."""

import http.client
import itertools
import os
import pathlib
import shutil
import sys
import time
import typing

import orjson

from sassafrasridge_testkit import harness
from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import processes

ZONES = ('z0', 'z1', 'z2')
# Cluster secret that is used only in tests.
SECRET = 'a secret of the tests only'

NODE_SETTINGS = """[timing]
suspect_after = 1200ms
[node]
name = {name}
zone = {zone}
region = {zone}
http = {http}
rpc = {rpc_host}:{rpc}
cluster_secret_text = {secret}
"""

ENTRY_SETTINGS = (
    NODE_SETTINGS
    + """roles = entry
advertise_rpc = {peers}
[entry]
seeds = {seeds}
sessions = {sessions}
worker_threads = 2
drain_timeout = 4s
[regions]
z0 = r0
z1 = r1
z2 = r2
"""
)

CONTROL_SETTINGS = (
    NODE_SETTINGS
    + """roles = control
advertise_rpc = {host}:{rpc}
data_folder = {folder}
[control]
seeds = {seeds}
bootstrap = {bootstrap}
tolerated = 1
exclusive_names = true
"""
)

Json = dict[str, typing.Any]

_network_numbers = itertools.count(1)


class Node:
    """A process of the product; ``http`` and ``sessions`` are addresses."""

    def __init__(
        self, name: str, host: str, http_address: str, process: typing.Any
    ) -> None:
        self.name = name
        self.host = host
        self.http = http_address
        self.process: processes.Process = process
        self.sessions = ''

    def call(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, bytes]:
        """Send a request; return status 0 and no body without an answer."""
        host, port = self.http.rsplit(':', 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=3)
        data = body if isinstance(body, bytes) else None
        if body is not None and data is None:
            data = orjson.dumps(body)
        try:
            conn.request(method, path, data)
            answer = conn.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b''
        finally:
            conn.close()


class LineCluster:
    """Control members, entry processes and the stand-in platform.

    With ``proxied``, connections to entry processes and database servers
    pass through the fault proxy, with ``control_proxied`` connections to
    control members.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 2,
        groups: int = 2,
        proxied: bool = False,
        control_proxied: bool = False,
    ) -> None:
        self.folder = folder
        self.proxy: harness.FaultProxy | None = None
        self.links: list[str] = []
        self._control_proxied = control_proxied
        self._proxied = proxied
        if proxied or control_proxied:
            self.proxy = self._start_proxy()
        self.rpc = processes.free_port('127.0.0.1')
        self.control_port = processes.free_port('127.0.0.1')
        self.group_names = [f'group{n}' for n in range(groups)]
        self.version = 0
        # Each cluster has a network of its own. Otherwise an outgoing
        # connection of another cluster could take the port of a process
        # while it restarts.
        network = (
            f'127.{16 + os.getpid() % 200}.{next(_network_numbers) % 250}'
        )
        self._unused_hosts = (f'{network}.{n}' for n in range(1, 200))
        # Local addresses of the connections that control members open.
        self.control_hosts: list[str] = []
        seeds = [next(self._unused_hosts) for _ in ZONES]
        self.seeds = ', '.join(f'{h}:{self.control_port}' for h in seeds)
        self.platform_address = f'127.0.0.1:{processes.free_port()}'
        self.control = [
            self._create_control(host, zone, bootstrap=True)
            for host, zone in zip(seeds, ZONES, strict=True)
        ]
        self.entries = [
            self._create_entry(f'entry{n}', ZONES[n % 3])
            for n in range(entries)
        ]
        self.platform = self._create_platform()

    def _start_proxy(self) -> harness.FaultProxy:
        argv = [sys.executable, '-m', 'sassafrasridge_testkit.faultproxy']
        process = processes.Process('proxy', argv, self.folder)
        return harness.FaultProxy(process.start())

    def _add_link(self, name: str, address: str) -> str:
        """Return a proxied address for ``address`` if there is a proxy."""
        if self.proxy is None or not self._proxied:
            return address
        self.links.append(name)
        return self.proxy.add_link(name, address)

    def _write_settings(self, name: str, text: str) -> str:
        path = self.folder / f'{name}.ini'
        path.write_text(text)
        return str(path)

    def _create_process(self, name: str, text: str) -> processes.Process:
        argv = [
            sys.executable,
            '-m',
            'sassafrasridge_platform.program',
            '--settings',
            self._write_settings(name, text),
            '--cloud',
            self.platform_address,
        ]
        return processes.Process(name, argv, self.folder)

    def _create_control(self, host: str, zone: str, bootstrap: bool) -> Node:
        name = f'control-{host}'
        address = f'{host}:{self.control_port}'
        rpc_host = host
        if self.proxy is not None and self._control_proxied:
            rpc_host = next(self._unused_hosts)
            self.proxy.add_link(
                name,
                f'{rpc_host}:{self.rpc}',
                'control',
                host=host,
                port=self.rpc,
            )
        self.control_hosts.append(rpc_host)
        text = CONTROL_SETTINGS.format(
            name=name,
            zone=zone,
            http=address,
            host=host,
            rpc_host=rpc_host,
            rpc=self.rpc,
            folder=self.folder / f'data-{host}',
            secret=SECRET,
            seeds=self.seeds,
            bootstrap=str(bootstrap).lower(),
        )
        return Node(name, host, address, self._create_process(name, text))

    def add_control(self, zone: str) -> Node:
        """Start a control member at a new address with an empty disk."""
        node = self._create_control(
            next(self._unused_hosts), zone, bootstrap=False
        )
        self.control.append(node)
        node.process.start()
        return node

    def restart_with_empty_disk(self, node: Node) -> None:
        """Kill a control member and start it again with an empty disk."""
        node.process.kill()
        shutil.rmtree(self.folder / f'data-{node.host}')
        zone = ZONES[self.control.index(node) % len(ZONES)]
        self._create_control(node.host, zone, bootstrap=False)
        node.process.start()

    def _create_entry(self, name: str, zone: str) -> Node:
        host = next(self._unused_hosts)
        if self.proxy is not None:
            self.proxy.set_zone_prefixes({name: host})
        address = f'{host}:{processes.free_port()}'
        sessions = f'{host}:{processes.free_port()}'
        text = ENTRY_SETTINGS.format(
            name=name,
            zone=zone,
            http=address,
            rpc_host=host,
            rpc=self.rpc,
            peers=self._add_link(f'peers of {name}', f'{host}:{self.rpc}'),
            secret=SECRET,
            seeds=self.seeds,
            sessions=sessions,
        )
        node = Node(name, host, address, self._create_process(name, text))
        node.sessions = self._add_link(f'clients of {name}', sessions)
        return node

    def _create_platform(self) -> processes.Process:
        argv = [
            sys.executable,
            '-m',
            'sassafrasridge_testkit.linegroup',
            '--listen',
            self.platform_address,
            '--control',
            ','.join(n.http for n in self.control),
        ]
        for name in self.group_names:
            addresses = []
            for index in range(len(ZONES)):
                address = f'127.0.0.1:{processes.free_port()}'
                announced = self._add_link(f'{name}-{index}', address)
                addresses.append(f'{address}@{announced}')
            argv += ['--group', f'{name}={",".join(addresses)}']
        return processes.Process('platform', argv, self.folder)

    def cut_from_control(self, node: Node, cut: bool) -> None:
        """Cut an entry process off from control members, or end the cut.

        This requires ``control_proxied``.
        """
        if self.proxy is None:
            raise ValueError('control members are not proxied')
        self.proxy.set_path_faults(
            [(node.name, 'control'), ('control', node.name)], cut=cut
        )

    # Process life cycle.

    def start(self) -> None:
        """Start and configure all processes; wait until they serve."""
        for node in [*self.control, *self.entries]:
            node.process.launch()
        self.platform.launch()
        for node in [*self.control, *self.entries]:
            node.process.wait_ready()
        self.platform.wait_ready()
        self.configure()
        self.wait_serving()

    def stop(self) -> None:
        """Kill every process."""
        for node in [*self.entries, *self.control]:
            node.process.kill()
        self.platform.kill()
        if self.proxy is not None:
            self.proxy.process.kill()

    def wait_serving(self, timeout_s: float = 15.0) -> None:
        """Wait until each entry process can write to each group."""
        for node in self.entries:
            for name in self.group_names:
                processes.wait_until(
                    lambda n=node, g=name: self._accepts_writes(n, g),
                    timeout_s,
                    f'{node.name} serves {name}',
                )

    def _accepts_writes(self, node: Node, group: str) -> bool:
        try:
            caller = self.caller(node, f'{group}-primary')
            caller.query('STORE ready yes')
            caller.close()
            return True
        except (OSError, linecaller.ErrorReply):
            time.sleep(0.05)
            return False

    # Requests of operators and clients.

    def next_configuration(self, **changes: typing.Any) -> Json:
        """Return a configuration with the next version number."""
        self.version += 1
        kinds = ('primary', 'bounded_staleness', 'read_your_writes')
        routes = [
            {
                'name': f'{group}-{kind}',
                'host': f'{group}-{kind}',
                'pathPrefix': '/',
                'type': kind,
                'timeoutMs': 2000,
                'targetLatencyMs': 1500,
                'priority': 1,
                'service': group,
                'maxAttempts': 2,
                'maxStalenessMs': 1500,
                'public': False,
            }
            for group in self.group_names
            for kind in kinds
        ]
        services = [
            {'name': g, 'maxConnections': 30, 'syncReplicas': 1}
            for g in self.group_names
        ]
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
        return {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': {'txIdleMs': 1500},
            'tenants': tenants,
            **changes,
        }

    def configure(self, body: Json | None = None) -> Json:
        """Send a configuration until a member accepts it; return it."""
        body = body or self.next_configuration()

        def is_acknowledged() -> bool:
            return any(
                node.call('PUT', '/api/config', body)[0] == 200
                for node in self.control
                if node.process.running
            )

        processes.wait_until(
            is_acknowledged, 15.0, 'configuration acknowledged'
        )
        return body

    def caller(
        self, node: Node, database: str, account: str = 'acme'
    ) -> linecaller.LineCaller:
        """Open a session at an entry process."""
        return linecaller.LineCaller(node.sessions, database, f'key-{account}')

    # Requests to the stand-in platform.

    def post_to_platform(self, path: str, **body: typing.Any) -> Json:
        """Send a request to the stand-in's control address.

        Raises AssertionError unless the status is 200.
        """
        node = Node('platform', '', self.platform_address, None)
        status, raw = node.call('POST', path, body)
        if status != 200:
            raise AssertionError(f'POST {path} returned status {status}')
        answer: Json = orjson.loads(raw)
        return answer

    def servers(self, group: str) -> list[Json]:
        """Return the state of each server of a group."""
        state = self.post_to_platform('/state')
        return [s for s in state['servers'] if s['group'] == group]

    def primary(self, group: str) -> Json | None:
        """Return the running primary with the highest term, if any."""
        running_primaries = [
            s for s in self.servers(group) if s['primary'] and s['running']
        ]
        return max(running_primaries, key=lambda s: s['term'], default=None)
