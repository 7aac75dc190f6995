"""Costs of statements, announcements and connections at entry processes."""

import asyncio
import collections
import concurrent.futures
import socket
import threading
import typing

import orjson

from sassafrasridge_core import placement
from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters

API_KEY = 'slope-key'
READ_COUNTS = (100, 200, 400, 800)
WRITE_COUNTS = (40, 80, 160, 320)
ANNOUNCEMENT_COUNTS = (100, 200, 400, 800)
CONNECTION_COUNTS = (0, 100, 200, 400, 800)
CALLER_COUNT = 4
SIMULATED_ENTRY_COUNT = 12
SIMULATED_RENEW_INTERVAL_S = 1.0
IDLE_CONNECTIONS_SAMPLE_S = 1.0
DEADLINE_MS = 3000


class SimulatedEntries:
    """Simulate live entry processes, so that placement has more members.

    They renew their leases with the address of one real entry process, so
    statements relayed to them go there.
    """

    def __init__(self, member: str, address: str, secret: bytes) -> None:
        self.names = [
            f'phantom-{number}' for number in range(SIMULATED_ENTRY_COUNT)
        ]
        self._member = member
        self._address = address
        self._secret = secret
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start renewing leases in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing and wait for the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._renew_until_stopped())

    async def _renew_until_stopped(self) -> None:
        clients = [
            slopelab.LeaseClient(name, self._member, self._secret)
            for name in self.names
        ]
        for client in clients:
            client.renewer._address = self._address
            client.ignore_groups()
        await asyncio.gather(*(client.acquire_lease() for client in clients))
        while not self._stop.is_set():
            await asyncio.gather(*(client.renew() for client in clients))
            await asyncio.sleep(SIMULATED_RENEW_INTERVAL_S)
        for client in clients:
            client.close()


def find_group_name(serving: str, not_serving: str, names: list[str]) -> str:
    """Return a group that one process serves and another does not."""
    number = 0
    while True:
        serving_set = placement.serving_set(f'group-{number}', names)
        if serving in serving_set and not_serving not in serving_set:
            return f'group-{number}'
        number += 1


class EntryMeasurement:
    """Run two entry processes, of which only the second serves the group."""

    def __init__(self, kit: harness.Harness) -> None:
        self._kit = kit
        self.refusal_counts: collections.Counter[str] = collections.Counter()
        self.deployment = deployments.Deployment(
            kit, ('z1',), ('z1', 'z1'), slopelab.LONG_LEASE_SETTINGS
        )
        self.deployment.start()
        self.relay, self.owner = self.deployment.entries.values()
        (member,) = self.deployment.control.values()
        secret = slopelab.cluster_secret(kit.folder)
        self.simulated_entries = SimulatedEntries(
            member.rpc, self.owner.rpc, secret
        )
        self.simulated_entries.start()
        names = [*self.deployment.entries, *self.simulated_entries.names]
        group = find_group_name(self.owner.name, self.relay.name, names)
        kit.start_group(
            group,
            announce=self.deployment.announce_addresses,
            durable=False,
            options=('--cost-ms', '0'),
        )
        self.deployment.note(
            added=[
                deployments.service('orders', group),
                *deployments.account(
                    'shop', API_KEY, ['orders'], rate=1e6, burst=1e6
                ),
            ]
        )
        self.deployment.wait_in_force()
        self._wait_serving()

    def _wait_serving(self) -> None:
        caller = self.deployment.caller(self.owner, API_KEY)

        def created() -> bool:
            answer = caller.statements(
                'CREATE TABLE IF NOT EXISTS t (n INTEGER, item TEXT)',
                deadline_ms=8000,
            )
            return answer.status == 200

        deployments.processes.wait_until(created, 15.0, 'a table')
        deployments.processes.wait_until(
            lambda: self._send_reads(self.relay, 20) == 20, 15.0, 'reads'
        )

    def _send_reads(self, node: deployments.Node, count: int) -> int:
        return self._send_requests(
            node,
            count,
            lambda caller: caller.read(
                'SELECT 1',
                consistency={'max_age_ms': 5000},
                deadline_ms=DEADLINE_MS,
            ),
        )

    def _send_writes(self, node: deployments.Node, count: int) -> int:
        return self._send_requests(
            node,
            count,
            lambda caller: caller.statements(
                ('INSERT INTO t VALUES (?, ?)', [1, 'lamp']),
                deadline_ms=DEADLINE_MS,
            ),
        )

    def _send_requests(self, node, count, send_request) -> int:  # noqa: ANN001
        """Send requests over concurrent connections; return the successes."""

        def send_share() -> int:
            caller = self.deployment.caller(node, API_KEY)
            answers = [
                send_request(caller) for _ in range(count // CALLER_COUNT)
            ]
            caller.close()
            self.refusal_counts.update(
                str(answer.kind) for answer in answers if answer.status != 200
            )
            return sum(answer.status == 200 for answer in answers)

        with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
            futures = [pool.submit(send_share) for _ in range(CALLER_COUNT)]
            return sum(fut.result() for fut in futures)

    def add_cpu_cost(self, nodes, counts, send, costs) -> None:  # noqa: ANN001
        """Measure the processor time of requests in each process."""
        meter = slopemeters.CpuMeter(*(n.process.pid for n in nodes))
        for count in counts:
            for _ in range(slopelab.REPETITIONS):
                idle = meter.idle_rates(slopelab.IDLE_SAMPLE_S)
                meter.start()
                succeeded = send(count)
                elapsed, used = meter.stop()
                if succeeded != count:
                    raise AssertionError(
                        f'{succeeded} of {count} requests succeeded, '
                        f'refused: {self.refusal_counts}'
                    )
                for series, rate, value in zip(costs, idle, used, strict=True):
                    series.add(count, value - rate * elapsed)

    def measure_statements(self) -> list[slopefit.CostSeries]:
        """Measure reads and writes, sent or relayed to the serving process."""
        note = f'{CALLER_COUNT} connections, one request at a time on each'
        result = []
        for kind, counts, send in (
            ('read', READ_COUNTS, self._send_reads),
            ('write', WRITE_COUNTS, self._send_writes),
        ):
            for path, nodes in (
                ('direct', [self.owner]),
                ('relayed', [self.relay, self.owner]),
            ):
                roles = ['owner'] if path == 'direct' else ['relay', 'owner']
                series_list = [
                    slopefit.CostSeries(
                        f'{kind}_{path}_{role}_cpu',
                        f'Processor time of {kind}s, {path}, at the {role}',
                        kind,
                        's',
                        note=note,
                    )
                    for role in roles
                ]
                first = nodes[0]
                self.add_cpu_cost(
                    nodes,
                    counts,
                    lambda n, send=send, first=first: send(first, n),
                    series_list,
                )
                result += series_list
        return result

    def measure_announcements(self) -> slopefit.CostSeries:
        """Measure announcements of an already known target."""
        series = slopefit.CostSeries(
            'announcement_cpu',
            'Processor time of announcements at an entry process',
            'announcement',
            's',
        )
        client = callers.HttpClient(self.owner.http)
        body = _announcement()

        def send_requests(count: int) -> int:
            return sum(
                client.post('/v1/announce', body).status < 300
                for _ in range(count)
            )

        send_requests(10)
        self.add_cpu_cost(
            [self.owner], ANNOUNCEMENT_COUNTS, send_requests, [series]
        )
        client.close()
        return series

    def measure_announcement_bytes(self) -> slopefit.CostSeries:
        """Count the bytes a target sends and receives for announcements."""
        series = slopefit.CostSeries(
            'announcement_bytes',
            'Bytes of announcements, both ways, on a kept connection',
            'announcement',
            'bytes',
            note='HTTP headers included, no TCP headers',
        )
        body = orjson.dumps(_announcement())
        host, port = self.owner.http.rsplit(':', 1)
        # The shortest headers that the entry process accepts.
        request = (
            f'POST /v1/announce HTTP/1.1\r\nHost: {self.owner.http}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sent = received = 0
            for count in ANNOUNCEMENT_COUNTS:
                sent = received = 0
                for _ in range(count):
                    sock.sendall(request)
                    sent += len(request)
                    received += len(sock.recv(65536))
                series.add(count, float(sent + received))
        return series

    def measure_connections(self) -> list[slopefit.CostSeries]:
        """Measure the memory and processor time of idle caller connections."""
        memory = slopefit.CostSeries(
            'connection_memory',
            'Resident memory of an entry process, by idle connections',
            'connection',
            'bytes',
        )
        cpu = slopefit.CostSeries(
            'connection_idle_cpu',
            'Processor time a second, by idle connections',
            'connection',
            's/s',
        )
        host, port = self.relay.http.rsplit(':', 1)
        pid = self.relay.process.pid
        meter = slopemeters.CpuMeter(pid)
        open_sockets: list[socket.socket] = []
        for count in CONNECTION_COUNTS:
            while len(open_sockets) < count:
                sock = socket.create_connection((host, int(port)), 5.0)
                sock.sendall(b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n')
                sock.recv(4096)
                open_sockets.append(sock)
            for _ in range(slopelab.REPETITIONS):
                (rate,) = meter.idle_rates(IDLE_CONNECTIONS_SAMPLE_S)
                cpu.add(count, rate)
                memory.add(count, float(slopemeters.rss_bytes(pid)))
        for sock in open_sockets:
            sock.close()
        return [memory, cpu]


def _announcement() -> dict[str, typing.Any]:
    target = slopelab.target_info(1)
    return {
        name: getattr(target, name)
        for name in (
            *('group', 'server', 'role', 'term', 'position'),
            *('address', 'zone', 'slots', 'connections', 'leaving'),
        )
    }


def measure(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the costs of the data path."""
    measurement = EntryMeasurement(kit)
    series_list = measurement.measure_statements()
    series_list.append(measurement.measure_announcements())
    series_list.append(measurement.measure_announcement_bytes())
    series_list += measurement.measure_connections()
    measurement.simulated_entries.stop()
    return series_list
