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

KEY = 'slope-key'
STATEMENTS = (100, 200, 400, 800)
WRITES = (40, 80, 160, 320)
ANNOUNCEMENTS = (100, 200, 400, 800)
CONNECTIONS = (0, 100, 200, 400, 800)
CALLERS = 4
PHANTOMS = 12
PHANTOM_INTERVAL_S = 1.0
MEMORY_S = 1.0
DEADLINE_MS = 3000


class Phantoms:
    """Keep stand-ins live whose statements go to one real process."""

    def __init__(self, member: str, address: str, secret: bytes) -> None:
        self.names = [f'phantom-{number}' for number in range(PHANTOMS)]
        self._member = member
        self._address = address
        self._secret = secret
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Renew in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Stop renewing."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        asyncio.run(self._renew())

    async def _renew(self) -> None:
        holders = [
            slopelab.Holder(name, self._member, self._secret)
            for name in self.names
        ]
        for holder in holders:
            holder.renewer._address = self._address
            holder.ignore_groups()
        await asyncio.gather(*(holder.join() for holder in holders))
        while not self._stop.is_set():
            await asyncio.gather(*(holder.renew() for holder in holders))
            await asyncio.sleep(PHANTOM_INTERVAL_S)
        for holder in holders:
            holder.close()


def group_served_by(inside: str, outside: str, names: list[str]) -> str:
    """Return a group name whose serving set holds one process of two."""
    number = 0
    while True:
        chosen = placement.serving_set(f'group-{number}', names)
        if inside in chosen and outside not in chosen:
            return f'group-{number}'
        number += 1


class EntryLab:
    """Own two entry processes; only the second serves the group."""

    def __init__(self, kit: harness.Harness) -> None:
        self._kit = kit
        self.refused: collections.Counter[str] = collections.Counter()
        self.deployment = deployments.Deployment(
            kit, ('z1',), ('z1', 'z1'), slopelab.TIMING
        )
        self.deployment.start()
        self.relay, self.owner = self.deployment.entries.values()
        (member,) = self.deployment.control.values()
        secret = slopelab.secret_of(kit.folder)
        self.phantoms = Phantoms(member.rpc, self.owner.rpc, secret)
        self.phantoms.start()
        names = [*self.deployment.entries, *self.phantoms.names]
        group = group_served_by(self.owner.name, self.relay.name, names)
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
                    'shop', KEY, ['orders'], rate=1e6, burst=1e6
                ),
            ]
        )
        self.deployment.wait_in_force()
        self._prepare()

    def _prepare(self) -> None:
        caller = self.deployment.caller(self.owner, KEY)

        def created() -> bool:
            answer = caller.statements(
                'CREATE TABLE IF NOT EXISTS t (n INTEGER, item TEXT)',
                deadline_ms=8000,
            )
            return answer.status == 200

        deployments.processes.wait_until(created, 15.0, 'a table')
        deployments.processes.wait_until(
            lambda: self._run_reads(self.relay, 20) == 20, 15.0, 'reads'
        )

    def _run_reads(self, node: deployments.Node, count: int) -> int:
        return self._run(
            node,
            count,
            lambda caller: caller.read(
                'SELECT 1',
                consistency={'max_age_ms': 5000},
                deadline_ms=DEADLINE_MS,
            ),
        )

    def _run_writes(self, node: deployments.Node, count: int) -> int:
        return self._run(
            node,
            count,
            lambda caller: caller.statements(
                ('INSERT INTO t VALUES (?, ?)', [1, 'lamp']),
                deadline_ms=DEADLINE_MS,
            ),
        )

    def _run(self, node, count, ask) -> int:  # noqa: ANN001
        """Return how many of the requests were done."""

        def work() -> int:
            caller = self.deployment.caller(node, KEY)
            answers = [ask(caller) for _ in range(count // CALLERS)]
            caller.close()
            self.refused.update(
                str(answer.kind) for answer in answers if answer.status != 200
            )
            return sum(answer.status == 200 for answer in answers)

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            futures = [pool.submit(work) for _ in range(CALLERS)]
            return sum(fut.result() for fut in futures)

    def cost(self, nodes, counts, run, slopes) -> None:  # noqa: ANN001
        """Add the processor time of requests at each process."""
        meter = slopemeters.CpuMeter(*(n.process.pid for n in nodes))
        for count in counts:
            for _ in range(slopelab.REPETITIONS):
                idle = meter.rates(slopelab.IDLE_S)
                meter.start()
                done = run(count)
                elapsed, used = meter.stop()
                if done != count:
                    raise AssertionError(
                        f'{done} of {count} were done, refused {self.refused}'
                    )
                for slope, rate, value in zip(slopes, idle, used, strict=True):
                    slope.add(count, value - rate * elapsed)

    def statements(self) -> list[slopefit.Slope]:
        """Measure reads and writes, at the owner and relayed to it."""
        note = f'{CALLERS} connections, one request at a time on each'
        found = []
        for kind, counts, ask in (
            ('read', STATEMENTS, self._run_reads),
            ('write', WRITES, self._run_writes),
        ):
            for hops, nodes in (
                ('direct', [self.owner]),
                ('relayed', [self.relay, self.owner]),
            ):
                roles = ['owner'] if hops == 'direct' else ['relay', 'owner']
                slopes = [
                    slopefit.Slope(
                        f'{kind}_{hops}_{role}_cpu',
                        f'Processor time of {kind}s, {hops}, at the {role}',
                        kind,
                        's',
                        note=note,
                    )
                    for role in roles
                ]
                first = nodes[0]
                self.cost(
                    nodes,
                    counts,
                    lambda n, ask=ask, first=first: ask(first, n),
                    slopes,
                )
                found += slopes
        return found

    def announcements(self) -> slopefit.Slope:
        """Measure announcements of a target that is known."""
        slope = slopefit.Slope(
            'announcement_cpu',
            'Processor time of announcements at an entry process',
            'announcement',
            's',
        )
        client = callers.HttpClient(self.owner.http)
        body = _announcement()

        def run(count: int) -> int:
            return sum(
                client.post('/v1/announce', body).status < 300
                for _ in range(count)
            )

        run(10)
        self.cost([self.owner], ANNOUNCEMENTS, run, [slope])
        client.close()
        return slope

    def announcement_bytes(self) -> slopefit.Slope:
        """Count what a target sends and receives for announcements."""
        slope = slopefit.Slope(
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
            for count in ANNOUNCEMENTS:
                sent = received = 0
                for _ in range(count):
                    sock.sendall(request)
                    sent += len(request)
                    received += len(sock.recv(65536))
                slope.add(count, float(sent + received))
        return slope

    def connections(self) -> list[slopefit.Slope]:
        """Measure idle keep-alive connections of callers."""
        memory = slopefit.Slope(
            'connection_memory',
            'Resident memory of an entry process, by idle connections',
            'connection',
            'bytes',
        )
        cpu = slopefit.Slope(
            'connection_idle_cpu',
            'Processor time a second, by idle connections',
            'connection',
            's/s',
        )
        host, port = self.relay.http.rsplit(':', 1)
        pid = self.relay.process.pid
        meter = slopemeters.CpuMeter(pid)
        open_now: list[socket.socket] = []
        for count in CONNECTIONS:
            while len(open_now) < count:
                sock = socket.create_connection((host, int(port)), 5.0)
                sock.sendall(b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n')
                sock.recv(4096)
                open_now.append(sock)
            for _ in range(slopelab.REPETITIONS):
                (rate,) = meter.rates(MEMORY_S)
                cpu.add(count, rate)
                memory.add(count, float(slopemeters.rss_bytes(pid)))
        for sock in open_now:
            sock.close()
        return [memory, cpu]


def _announcement() -> dict[str, typing.Any]:
    info = slopelab.target(1)
    return {
        name: getattr(info, name)
        for name in (
            *('group', 'server', 'role', 'term', 'position'),
            *('address', 'zone', 'slots', 'connections', 'leaving'),
        )
    }


def measure(kit: harness.Harness) -> list[slopefit.Slope]:
    """Return the slopes of the data path."""
    lab = EntryLab(kit)
    found = lab.statements()
    found.append(lab.announcements())
    found.append(lab.announcement_bytes())
    found += lab.connections()
    lab.phantoms.stop()
    return found
