"""Start deployments of control members, entry processes and targets."""

import collections.abc
import hashlib
import pathlib
import secrets
import typing

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import processes

OPERATOR = 'operator'
OPERATORS = (OPERATOR, 'ana', 'ben')
START_TIMEOUT_S = 15.0
SUBMIT_TIMEOUT_S = 5.0
# HTTP statuses that tell whether a note was accepted.
DEFINITE_STATUSES = (200, 400, 409)
CONTROL_INI = """
[control]
members = {members}
bootstrap = {bootstrap}
policy = {policy}
"""
ENTRY_INI = """
[entry]
control =
{control}
drain_timeout = {drain_timeout}
policy = {policy}
"""
NODE_INI = """
[node]
name = {name}
zone = {zone}
region = {zone}
http = {http}
rpc = {rpc}
advertise_rpc = {advertise_rpc}
data_folder = {folder}
roles = {roles}
cluster_secret_file = {secret_file}

[operators]
{operators}

[timing]
{timing}
"""


class Node:
    """Describe one daemon of a deployment and its addresses."""

    def __init__(
        self,
        name: str,
        zone: str,
        http: str,
        rpc: str,
        ini: pathlib.Path,
        process: processes.Process,
    ) -> None:
        self.name = name
        self.zone = zone
        self.http = http
        self.rpc = rpc
        # Addresses under which other processes connect to this one.
        self.advertised_http = http
        self.advertised_rpc = rpc
        self.ini = ini
        self.process = process


class Network:
    """Assign addresses to processes; by default all use 127.0.0.1."""

    def host(self, name: str, zone: str) -> str:
        """Return the IP address that a process listens on."""
        return '127.0.0.1'

    def reach(self, name: str, zone: str, listen: str) -> str:
        """Return the address under which others connect to a listener."""
        return listen


class Deployment:
    """Configure and start the daemons of a test.

    The harness ``kit`` owns their processes.
    """

    def __init__(
        self,
        kit: harness.Harness,
        control_zones: collections.abc.Sequence[str] = ('z1',),
        entry_zones: collections.abc.Sequence[str] = ('z1', 'z2'),
        timing: collections.abc.Mapping[str, str] | None = None,
        drain_timeout: str = '10s',
        control_addresses: collections.abc.Callable[[str, str], str]
        | None = None,
        network: Network | None = None,
        policy: str = 'adaptive',
    ) -> None:
        self.kit = kit
        self._network = network or Network()
        self._policy = policy
        self.tokens = {name: secrets.token_hex(16) for name in OPERATORS}
        self.control: dict[str, Node] = {}
        self.entries: dict[str, Node] = {}
        self._timing = dict(timing or {})
        self._drain_timeout = drain_timeout
        self._note_number = 0
        # Maps (entry process, control member address) to the address that the
        # entry process uses, so that a test can insert a fault proxy.
        self._control_address = control_addresses or (
            lambda entry, address: address
        )
        self._secret_file = kit.folder / 'cluster-secret'
        self._secret_file.write_text(secrets.token_hex(32))
        for number, zone in enumerate(control_zones, 1):
            self._add(f'c{number}', zone, self.control)
        for number, zone in enumerate(entry_zones, 1):
            self._add(f'e{number}', zone, self.entries)

    def _add(self, name: str, zone: str, nodes: dict[str, Node]) -> None:
        ini = self.kit.folder / f'{name}.ini'
        process = self.kit.prepare(
            name,
            [
                processes.sys.executable,
                '-m',
                'sassafrasridge_node.main',
                '--settings',
                str(ini),
            ],
        )
        host = self._network.host(name, zone)
        node = nodes[name] = Node(
            name,
            zone,
            f'{host}:{processes.free_port(host)}',
            f'{host}:{processes.free_port(host)}',
            ini,
            process,
        )
        reach = self._network.reach
        node.advertised_http = reach(f'{name}.http', zone, node.http)
        node.advertised_rpc = reach(f'{name}.rpc', zone, node.rpc)

    # Settings.

    def write_settings(self, node: Node, bootstrap: bool = True) -> None:
        """Write the INI file of a daemon."""
        is_control = node.name in self.control
        text = NODE_INI.format(
            name=node.name,
            zone=node.zone,
            http=node.http,
            rpc=node.rpc,
            advertise_rpc=node.advertised_rpc,
            folder=self.kit.folder / f'{node.name}.data',
            roles='control' if is_control else 'entry',
            secret_file=self._secret_file,
            operators='\n'.join(
                f'{name} = {hashlib.sha256(token.encode()).hexdigest()}'
                for name, token in self.tokens.items()
            ),
            timing='\n'.join(f'{k} = {v}' for k, v in self._timing.items()),
        )
        if is_control:
            text += CONTROL_INI.format(
                members=', '.join(
                    f'{n.name}={n.advertised_rpc}'
                    for n in self.control.values()
                ),
                bootstrap='true' if bootstrap else 'false',
                policy=self._policy,
            )
        else:
            text += ENTRY_INI.format(
                control=self._control_lines(node),
                drain_timeout=self._drain_timeout,
                policy=self._policy,
            )
        node.ini.write_text(text)

    def _control_lines(self, entry: Node) -> str:
        zones: dict[str, list[str]] = {}
        for node in self.control.values():
            address = self._control_address(entry.name, node.advertised_rpc)
            zones.setdefault(node.zone, []).append(address)
        return '\n'.join(
            f'    {zone} = {", ".join(addresses)}'
            for zone, addresses in zones.items()
        )

    # Life cycle.

    def start(self) -> 'Deployment':
        """Start all daemons and wait until the entry processes are ready."""
        nodes = [*self.control.values(), *self.entries.values()]
        for node in nodes:
            self.write_settings(node)
            node.process.launch()
        for node in nodes:
            node.process.wait_ready()
        for node in self.entries.values():
            self.wait_ready(node)
        return self

    def wait_ready(
        self, node: Node, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a daemon reports that it is ready."""
        processes.wait_until(
            lambda: self.is_ready(node), timeout_s, f'readiness of {node.name}'
        )

    def is_ready(self, node: Node) -> bool:
        """Return whether ``/readyz`` of a daemon answers 200."""
        client = callers.HttpClient(node.http, 2.0)
        try:
            return client.get('/readyz').status == 200
        except callers.NoAnswer:
            return False
        finally:
            client.close()

    @property
    def announce_addresses(self) -> list[str]:
        """Return the addresses to which targets announce themselves."""
        return [node.advertised_http for node in self.entries.values()]

    # Operators.

    def operator(
        self, node: Node | None = None, name: str = OPERATOR
    ) -> 'Operator':
        """Return an operator client of a daemon.

        The default daemon is the first control member.
        """
        node = node or next(iter(self.control.values()))
        return Operator(node.http, self.tokens[name])

    def note(
        self,
        added: collections.abc.Sequence[typing.Any] = (),
        changed: collections.abc.Sequence[typing.Any] = (),
        withdrawn: collections.abc.Sequence[typing.Any] = (),
        node: Node | None = None,
    ) -> callers.Answer:
        """Submit the next release note; raises AssertionError if refused."""
        self._note_number += 1
        body = {
            'number': self._note_number,
            'operator': OPERATOR,
            'added': list(added),
            'changed': list(changed),
            'withdrawn': list(withdrawn),
        }
        answer = self.submit(body, node)
        if answer.status != 200:
            raise AssertionError(f'release note refused: {answer}')
        return answer

    def submit(
        self, body: callers.Json, node: Node | None = None
    ) -> callers.Answer:
        """Submit a note until the answer shows whether it was accepted."""

        def submit_once() -> callers.Answer | None:
            operator = self.operator(node, body['operator'])
            operator.timeout_s = SUBMIT_TIMEOUT_S
            try:
                answer = operator.submit(body)
            except callers.NoAnswer:
                return None
            return answer if answer.status in DEFINITE_STATUSES else None

        found = processes.wait_until(submit_once, START_TIMEOUT_S, 'note')
        if found is None:
            raise AssertionError('no definite answer to a release note')
        return found

    def status(self) -> callers.Json:
        """Poll the control members until one returns the status."""

        def fetch_status() -> callers.Json | None:
            for node in self.control.values():
                operator = self.operator(node)
                operator.timeout_s = SUBMIT_TIMEOUT_S
                try:
                    answer = operator.get('/v1/status')
                except callers.NoAnswer:
                    continue
                if answer.status == 200:
                    body: callers.Json = answer.body
                    return body
            return None

        found = processes.wait_until(fetch_status, START_TIMEOUT_S, 'status')
        if found is None:
            raise AssertionError('no control member returned a status')
        return found

    def wait_in_force(self, number: int | None = None) -> None:
        """Wait until a note is in force at every entry process."""
        wanted = number or self._note_number
        operator = self.operator()

        def in_force() -> bool:
            try:
                body = operator.get(f'/v1/notes/{wanted}').body
            except callers.NoAnswer:
                return False
            places = body.get('in_force_at', [])
            return bool(
                body.get('in_force') and len(places) >= len(self.entries)
            )

        processes.wait_until(in_force, START_TIMEOUT_S, f'note {wanted}')

    def caller(
        self, node: Node, key: str | None, service: str = 'orders'
    ) -> callers.Caller:
        """Return a client of the callers' API of an entry process."""
        return callers.Caller(node.http, key, service)


class Operator(callers.HttpClient):
    """Call the operators' HTTP API with an operator token."""

    def __init__(self, address: str, token: str) -> None:
        super().__init__(address, 15.0)
        self._headers = {'Authorization': f'Bearer {token}'}

    def submit(self, note: callers.Json) -> callers.Answer:
        """Submit a release note."""
        return self.post('/v1/notes', note, self._headers)

    def get(
        self, path: str, headers: dict[str, str] | None = None
    ) -> callers.Answer:
        """Send a GET request with the operator's token."""
        return super().get(path, {**self._headers, **(headers or {})})

    def command(self, path: str, body: callers.Json) -> callers.Answer:
        """Send a POST request with the operator's token."""
        return self.post(path, body, self._headers)


def account(
    name: str,
    key: str,
    services: collections.abc.Iterable[str],
    **limits: float,
) -> list[dict[str, typing.Any]]:
    """Return note items that add a client account, its key and grants."""
    values = {'rate': 1000.0, 'burst': 1000.0, **limits}
    digest = hashlib.sha256(key.encode()).hexdigest()
    return [
        {'kind': 'account', 'name': name, **values},
        {'kind': 'key', 'id': f'{name}-1', 'account': name, 'digest': digest},
        *(
            {'kind': 'grant', 'account': name, 'service': service}
            for service in services
        ),
    ]


def service(name: str, group: str) -> dict[str, typing.Any]:
    """Return the note item that adds a service."""
    return {'kind': 'service', 'name': name, 'group': group}
