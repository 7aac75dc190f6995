"""Start database groups, fault proxies and daemons as real processes."""

import collections.abc
import contextlib
import pathlib
import sys
import tempfile
import types
import typing

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import processes

# Re-exported, so that tests only need to import this module.
wait_until = processes.wait_until
free_port = processes.free_port
DeadlinePassed = processes.DeadlinePassed

DAEMON_MODULE = 'sassafrasridge_node.main'


class DatabaseServer:
    """A server process of a database group.

    ``address`` is the one that it announces and that other servers connect
    to; ``listen`` bypasses the fault proxy.
    """

    def __init__(
        self, name: str, zone: str, process: processes.Process
    ) -> None:
        self.name = name
        self.zone = zone
        self.process = process

    @property
    def address(self) -> str:
        """Return the announced address; a fault proxy link if proxied."""
        address: str = self.process.ready['address']
        return address

    @property
    def listen(self) -> str:
        """Return the address that the process listens on."""
        address: str = self.process.ready['listen']
        return address

    def client(self, timeout_s: float = 10.0) -> callers.TargetClient:
        """Return a new client that bypasses the fault proxy."""
        return callers.TargetClient(self.listen, timeout_s)

    def status(self) -> callers.Json:
        """Return the body of ``/status``."""
        return self._request('/status')

    def set_faults(self, **changes: typing.Any) -> callers.Json:
        """Set faults of the server and return all of them."""
        return self._request('/faults', **changes)

    def observations(self) -> callers.Json:
        """Return the counters and requests that the server recorded."""
        return self._request('/observations')

    def send_command(self, path: str, **body: typing.Any) -> callers.Json:
        """Send a control command such as ``/fence`` and return its body."""
        return self._request(path, **body)

    def restart(self, port: str | None = None) -> None:
        """Start a killed server again, by default on the same port."""
        port = port or self.listen.rsplit(':', 1)[1]
        argv = self.process.argv
        argv[argv.index('--port') + 1] = port
        self.process.start()

    def _request(self, path: str, **body: typing.Any) -> callers.Json:
        client = self.client()
        with contextlib.closing(client):
            answer: callers.Json = client.send_command(path, **body).body
            return answer


class DatabaseGroup:
    """The servers of a group; the first starts as primary of term 1."""

    def __init__(self, name: str, servers: list[DatabaseServer]) -> None:
        self.name = name
        self.servers = {server.name: server for server in servers}

    @property
    def members(self) -> dict[str, str]:
        """Return the announced address of each server by name."""
        return {name: item.address for name, item in self.servers.items()}

    def __getitem__(self, name: str) -> DatabaseServer:
        return self.servers[name]

    def primary(self) -> DatabaseServer | None:
        """Return the reachable primary with the highest term, or None."""
        best: tuple[int, DatabaseServer] | None = None
        for server in self.servers.values():
            with contextlib.suppress(callers.NoAnswer):
                status = server.status()
                if status['role'] == 'primary' and (
                    best is None or status['term'] > best[0]
                ):
                    best = (status['term'], server)
        return best[1] if best else None

    def wait_replicated(self, timeout_s: float = 10.0) -> None:
        """Wait until all servers have received and applied the same log."""

        def is_replicated() -> bool:
            seen = set()
            for server in self.servers.values():
                status = server.status()
                seen.add((status['last_term'], status['received']))
                seen.add((status['last_term'], status['applied']))
            return len(seen) == 1

        processes.wait_until(
            is_replicated, timeout_s, f'replication of {self.name}'
        )

    def change_primary(
        self, term: int, fence: collections.abc.Iterable[str]
    ) -> DatabaseServer:
        """Fail over as control does: fence, promote one, others follow."""
        return self.promote(term, self.fence(term, fence), follow=True)

    def fence(
        self, term: int, names: collections.abc.Iterable[str]
    ) -> dict[str, callers.Json]:
        """Fence servers and return their answers by name."""
        return {
            name: self[name].send_command('/fence', term=term)
            for name in names
        }

    def promote(
        self, term: int, fenced: dict[str, callers.Json], follow: bool
    ) -> DatabaseServer:
        """Promote the fenced server with the longest log.

        With ``follow`` the other fenced servers replicate from it.
        """
        chosen = max(
            fenced,
            key=lambda name: (
                fenced[name]['last_term'],
                fenced[name]['received'],
            ),
        )
        start = fenced[chosen]['received']
        self[chosen].send_command(
            '/promote', term=term, start=start, members=self.members
        )
        for name in fenced:
            if follow and name != chosen:
                self[name].send_command(
                    '/follow',
                    term=term,
                    start=start,
                    primary=self[chosen].address,
                )
        return self[chosen]


class FaultProxy:
    """A fault proxy process and a client of its control API."""

    def __init__(self, process: processes.Process) -> None:
        self.process = process
        self._client = callers.HttpClient(process.ready['control'])

    def add_link(
        self,
        name: str,
        target: str = '',
        zone: str = '',
        **listen: typing.Any,
    ) -> str:
        """Add a link, or set its target, and return its address.

        ``host`` and ``port`` choose the address of a new link.
        """
        body = self._post(
            '/links', name=name, target=target, zone=zone, **listen
        )
        address: str = body['address']
        return address

    def set_rules(self, *links: str, **rules: typing.Any) -> None:
        """Change rules of the named links, or of all when none is named."""
        self._post('/rules', links=links or None, **rules)

    def set_zone_prefixes(
        self, prefixes: collections.abc.Mapping[str, str]
    ) -> None:
        """Set the address prefix of each zone."""
        self._post('/zones', zones=prefixes)

    def set_path_faults(
        self,
        pairs: collections.abc.Iterable[tuple[str, str]],
        **changes: typing.Any,
    ) -> None:
        """Set ``delay_ms`` or ``cut`` for (source, destination) zones."""
        self._post('/paths', paths=list(pairs), **changes)

    def isolate(self, hosts: collections.abc.Iterable[str]) -> None:
        """Isolate these addresses and end the isolation of all others."""
        self._post('/isolated', hosts=list(hosts))

    def silence_between(
        self, pairs: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        """Discard bytes of open connections between zones, not of new ones."""
        self._post('/actions', action='silence', between=list(pairs))

    def silence(self, *links: str) -> None:
        """Discard bytes of open connections of links, not of new ones."""
        self._post('/actions', links=links or None, action='silence')

    def reset(self, *links: str) -> None:
        """Reset the open connections of links."""
        self._post('/actions', links=links or None, action='reset')

    def status(self) -> callers.Json:
        """Return the state of each link by name."""
        links: callers.Json = self._post('/status')['links']
        return links

    def _post(self, path: str, **body: typing.Any) -> callers.Json:
        answer = self._client.post(path, body)
        if answer.status != 200:
            raise ValueError(str(answer))
        decoded: callers.Json = answer.body
        return decoded


class Harness:
    """Manage child processes and the folder that holds their files.

    Use it as a context manager: leaving it kills all its processes.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix='testkit-')
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self.processes: list[processes.Process] = []

    def __enter__(self) -> 'Harness':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and delete the folder if it is temporary."""
        for process in reversed(self.processes):
            process.kill()
        if self._temporary is not None:
            self._temporary.cleanup()

    def prepare(
        self, name: str, argv: collections.abc.Sequence[str]
    ) -> processes.Process:
        """Register a process without starting it."""
        process = processes.Process(name, argv, self.folder)
        self.processes.append(process)
        return process

    def start_module(
        self, name: str, module: str, *args: str
    ) -> processes.Process:
        """Run a Python module as a process and wait for its ready line."""
        argv = [sys.executable, '-m', module, *args]
        return self.prepare(name, argv).start()

    def prepare_daemon(
        self, ini_path: pathlib.Path, name: str | None = None
    ) -> processes.Process:
        """Register a daemon process without starting it."""
        argv = [
            sys.executable,
            '-m',
            DAEMON_MODULE,
            '--settings',
            str(ini_path),
        ]
        return self.prepare(name or ini_path.stem, argv)

    def start_daemon(
        self, ini_path: pathlib.Path, name: str | None = None
    ) -> processes.Process:
        """Start a daemon; ``ready`` holds its ``http`` and ``rpc`` address."""
        return self.prepare_daemon(ini_path, name).start()

    def start_proxy(self, name: str = 'proxy', seed: int = 0) -> FaultProxy:
        """Start a fault proxy without links."""
        return FaultProxy(
            self.start_module(
                name,
                'sassafrasridge_testkit.faultproxy',
                *('--seed', str(seed)),
            )
        )

    def start_group(
        self,
        group: str = 'g',
        zones: collections.abc.Sequence[str] = ('z1', 'z2', 'z3'),
        announce: collections.abc.Iterable[str] = (),
        announce_token: str | None = None,
        durable: bool = True,
        options: collections.abc.Sequence[str] = ('--record',),
        proxy: FaultProxy | None = None,
        host: collections.abc.Callable[[str, str], str] | None = None,
    ) -> DatabaseGroup:
        """Start a server per zone, named ``{group}1``, ``{group}2``...

        A durable server keeps its log in a file and can be restarted;
        ``options`` are extra arguments of every server. With a proxy, each
        server announces the address of a proxy link of the same name.
        ``host`` maps the name and zone of a server to its listen address.
        """
        servers = []
        for number, zone in enumerate(zones, 1):
            name = f'{group}{number}'
            argv = [
                sys.executable,
                '-m',
                'sassafrasridge_testkit.database',
                *('--group', group, '--server', name, '--zone', zone),
                *('--port', '0', '--announce', ','.join(announce)),
                *options,
            ]
            if announce_token is not None:
                argv += ['--announce-token', announce_token]
            if host is not None:
                argv += ['--host', host(name, zone)]
            if durable:
                argv += ['--data', str(self.folder / f'{name}.log')]
            if proxy is not None:
                argv += ['--advertise', proxy.add_link(name, zone=zone)]
            process = self.prepare(name, argv)
            process.launch()
            servers.append(DatabaseServer(name, zone, process))
        for server in servers:
            server.process.wait_ready()
            if proxy is not None:
                proxy.add_link(server.name, server.listen)
        result = DatabaseGroup(group, servers)
        servers[0].send_command(
            '/promote', term=1, start=0, members=result.members
        )
        result.wait_replicated()
        return result
