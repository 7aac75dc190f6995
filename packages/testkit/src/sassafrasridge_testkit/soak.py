"""A randomized fault-injection soak test on the simulated platform.

Real processes are killed, paused, stopped and restarted, lose their disks or
can't write to them; links are delayed, reset, silenced or cut one way; targets
crash, stop answering and announce that they leave; the platform handles
promotions late. Clients run meanwhile, and a checker compares the answers they
got with what was committed.
``python -m sassafrasridge_testkit.soak --seed N`` repeats a run; ``--count``
runs that many seeds.
"""

import argparse
import contextlib
import pathlib
import random
import resource
import sys
import tempfile
import threading
import time
import typing

from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

DEFAULT_SECONDS = 12.0
CLIENT_COUNT = 6
# Choices for the number of entry processes; with nine, some of them relay
# statements to others.
ENTRY_COUNTS = (3, 3, 9)
DIRECTIONS = ('to_target', 'to_client')
NO_FAULTS: dict[str, typing.Any] = {
    'delay_ms': 0,
    'jitter_ms': 0,
    'hold': [],
    'lose': [],
    'cut': False,
    'refuse': False,
    'reset_chance': 0,
}
# Enough for a member to rejoin: an election and a few lease renewals.
REJOIN_TIMEOUT_S = 10.0
# Time within which everything must serve again after the last fault.
RECOVERY_TIMEOUT_S = 15.0
# Error codes that guarantee that a statement had no effect.
NOT_EXECUTED_CODES = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY')
)


class ClientRecord:
    """Collect the outcomes reported to a client, by statement id."""

    def __init__(self) -> None:
        self.acknowledged: dict[str, str] = {}
        self.reported_not_run: dict[str, str] = {}
        self.problems: list[str] = []
        self.statements = 0


class Client(threading.Thread):
    """Write increasing numbers to the client's own item and read them."""

    def __init__(
        self, cluster: linecluster.LineCluster, number: int, seed: int
    ) -> None:
        super().__init__(daemon=True)
        self.record = ClientRecord()
        self.stopping = threading.Event()
        self._cluster = cluster
        self._rng = random.Random(f'{seed}-{number}')
        self._item = f'item{number}'
        self._group = cluster.group_names[number % len(cluster.group_names)]
        self._value = 0
        self._last_acknowledged = 0

    def run(self) -> None:
        """Run operations until ``stopping`` is set."""
        while not self.stopping.is_set():
            kind = self._rng.choice(('primary', 'read_your_writes'))
            node = self._rng.choice(self._cluster.entries)
            try:
                caller = self._cluster.caller(node, f'{self._group}-{kind}')
            except (OSError, linecaller.ErrorReply):
                time.sleep(0.05)
                continue
            try:
                for _ in range(self._rng.randint(1, 20)):
                    self._run_operation(caller)
                    if self.stopping.is_set():
                        break
            except OSError:
                continue
            finally:
                caller.close()

    def _run_operation(self, caller: linecaller.LineCaller) -> None:
        self.record.statements += 1
        try:
            if self._rng.random() < 0.5:
                self._write(caller, self._rng.random() < 0.3)
            else:
                self._read(caller)
        except linecaller.ErrorReply:
            time.sleep(0.02)

    def _write(self, caller: linecaller.LineCaller, transaction: bool) -> None:
        self._value += 1
        text = f'STORE {self._item} {self._value}'
        id = caller.next_id()
        try:
            if transaction:
                caller.query('BEGIN')
                id = caller.next_id()
                caller.query(text)
                caller.query('COMMIT')
            else:
                caller.query(text)
        except linecaller.ErrorReply as exc:
            if exc.code in NOT_EXECUTED_CODES:
                self.record.reported_not_run[id] = f'{exc.code} {text}'
            if exc.state not in ('I', ''):
                caller.query('ROLLBACK')
            raise
        self.record.acknowledged[id] = text
        self._last_acknowledged = self._value

    def _read(self, caller: linecaller.LineCaller) -> None:
        lowest_allowed = self._last_acknowledged
        if not caller.wrote and caller.database.endswith('your_writes'):
            # A session that has not written may read data up to the maximum
            # age.
            lowest_allowed = 0
        rows = caller.query(f'FETCH {self._item}').rows
        found = 0 if rows == ['none'] else int(rows[0])
        if found < lowest_allowed:
            self.record.problems.append(
                f'{caller.database}: read {found},'
                f' acknowledged {lowest_allowed}'
            )


class FaultInjector:
    """Choose and inject random faults; each one undoes itself."""

    def __init__(
        self, cluster: linecluster.LineCluster, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self.log: list[str] = []
        # Serializes faults of control members: while one has lost its disk,
        # no other member may be down.
        self._member_lock = threading.Lock()
        # All threads share one control connection to the proxy.
        self._proxy_lock = threading.Lock()

    def inject(self) -> None:
        """Inject one fault, or two at the same time."""
        fault_methods = (
            self._disturb_link,
            self._disturb_link,
            self._reset_link,
            self._lose_disk,
            self._fill_disk,
            self._kill_entry,
            self._stop_entry,
            self._pause_random,
            self._kill_control,
            self._crash_target,
            self._silence_target,
            self._announce_leaving,
            self._slow_platform,
            self._change_configuration,
        )
        threads = [
            threading.Thread(
                target=self._rng.choice(fault_methods), daemon=True
            )
            for _ in range(self._rng.choice((1, 1, 2)))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)

    def _log_fault(self, text: str) -> None:
        self.log.append(f'{time.monotonic():.2f} {text}')

    def _restart(self, node: linecluster.Node, planned: bool) -> None:
        self._log_fault(f'{"stop" if planned else "kill"} {node.name}')
        if planned:
            node.process.stop(8.0)
        else:
            node.process.kill()
        time.sleep(self._rng.uniform(0.0, 1.0))
        if not node.process.running:
            node.process.start()

    def _kill_entry(self) -> None:
        self._restart(self._rng.choice(self._cluster.entries), False)

    def _stop_entry(self) -> None:
        self._restart(self._rng.choice(self._cluster.entries), True)

    def _kill_control(self) -> None:
        with self._member_lock:
            self._restart(self._rng.choice(self._cluster.control), False)

    def _lose_disk(self) -> None:
        with self._member_lock:
            node = self._rng.choice(self._cluster.control)
            self._log_fault(f'{node.name} loses its disk')
            self._cluster.restart_with_empty_disk(node)
            self._wait_until_rejoined(node)

    def _fill_disk(self) -> None:
        with self._member_lock:
            node = self._rng.choice(self._cluster.control)
            self._log_fault(f'{node.name} cannot write to its disk')
            pid = node.process.pid
            before = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, before[1]))
            time.sleep(self._rng.uniform(0.5, 2.0))
            if node.process.running:
                resource.prlimit(pid, resource.RLIMIT_FSIZE, before)
            else:
                self._log_fault(f'{node.name} exited')
                node.process.start()
            self._wait_until_rejoined(node)

    def _wait_until_rejoined(self, node: linecluster.Node) -> None:
        """Wait until a control member answers requests again."""
        with contextlib.suppress(processes.DeadlinePassed):
            processes.wait_until(
                lambda: node.call('GET', '/api/config')[0] == 200,
                REJOIN_TIMEOUT_S,
                f'{node.name} to rejoin',
            )
            return
        self._log_fault(
            f'{node.name} did not rejoin within {REJOIN_TIMEOUT_S} s'
        )

    def _random_link(self) -> str:
        return self._rng.choice(self._cluster.links)

    def _disturb_link(self) -> None:
        link, direction = self._random_link(), self._rng.choice(DIRECTIONS)
        rules = self._rng.choice(
            (
                {'delay_ms': self._rng.uniform(5, 200), 'jitter_ms': 50},
                {'hold': [direction]},
                {'lose': [direction]},
                {'cut': True},
                {'refuse': True},
                {'reset_chance': 0.05},
            )
        )
        self._log_fault(f'link {link}: {rules}')
        self._set_rules(link, rules)
        time.sleep(self._rng.uniform(0.2, 3.0))
        self._set_rules(link, NO_FAULTS)

    def _set_rules(self, link: str, rules: dict[str, typing.Any]) -> None:
        with self._proxy_lock:
            self._cluster.proxy.set_rules(link, **rules)

    def _reset_link(self) -> None:
        link = self._random_link()
        silence = self._rng.random() < 0.5
        self._log_fault(f'link {link}: {"silenced" if silence else "reset"}')
        with self._proxy_lock:
            if silence:
                self._cluster.proxy.silence(link)
            else:
                self._cluster.proxy.reset(link)

    def _pause_random(self) -> None:
        if self._rng.random() < 0.3:
            with self._member_lock:
                self._pause_process(self._rng.choice(self._cluster.control))
        else:
            self._pause_process(self._rng.choice(self._cluster.entries))

    def _pause_process(self, node: linecluster.Node) -> None:
        self._log_fault(f'pause {node.name}')
        node.process.pause()
        time.sleep(self._rng.uniform(0.2, 3.0))
        node.process.resume()

    def _random_target(self) -> str:
        group = self._rng.choice(self._cluster.group_names)
        found: str = self._rng.choice(self._cluster.servers(group))['server']
        return found

    def _crash_target(self) -> None:
        server = self._random_target()
        self._log_fault(f'crash {server}')
        self._cluster.post_to_platform('/faults', server=server, crash=True)
        time.sleep(self._rng.uniform(0.5, 4.0))
        self._cluster.post_to_platform('/faults', server=server, start=True)

    def _silence_target(self) -> None:
        server = self._random_target()
        self._log_fault(f'silence {server}')
        self._cluster.post_to_platform('/faults', server=server, dark=True)
        time.sleep(self._rng.uniform(0.5, 4.0))
        self._cluster.post_to_platform('/faults', server=server, dark=False)

    def _announce_leaving(self) -> None:
        server = self._random_target()
        self._log_fault(f'{server} leaves')
        self._cluster.post_to_platform('/faults', server=server, leaving=True)
        time.sleep(2.5)
        self._cluster.post_to_platform('/faults', server=server, leaving=False)

    def _slow_platform(self) -> None:
        """Have a primary fail while promotions are handled late."""
        delay_s = self._rng.uniform(0.0, 6.0)
        lose_answers = self._rng.random() < 0.5
        self._log_fault(f'slow platform, {delay_s:.1f} s, {lose_answers=}')
        self._cluster.post_to_platform(
            '/faults', platform_delay_s=delay_s, lose_answers=lose_answers
        )
        primary = self._cluster.primary(
            self._rng.choice(self._cluster.group_names)
        )
        if primary is not None:
            server = primary['server']
            self._log_fault(f'silence {server}')
            self._cluster.post_to_platform('/faults', server=server, dark=True)
            time.sleep(self._rng.uniform(1.0, 3.0))
            self._cluster.post_to_platform(
                '/faults', server=server, dark=False
            )
        self._cluster.post_to_platform(
            '/faults', platform_delay_s=0.0, lose_answers=False
        )

    def _change_configuration(self) -> None:
        self._log_fault('change the configuration')
        self._cluster.configure()


def find_violations(
    cluster: linecluster.LineCluster, records: list[ClientRecord]
) -> list[str]:
    """Return a message for each violated guarantee."""
    problems = [problem for record in records for problem in record.problems]
    commit_counts: dict[str, int] = {}
    for group in cluster.group_names:
        primary = cluster.primary(group)
        if primary is None:
            problems.append(f'{group} has no primary')
            continue
        for _, _, _, ids in primary['commits']:
            for id in ids:
                commit_counts[id] = commit_counts.get(id, 0) + 1
        for server in cluster.servers(group):
            for account, _, text in server['statements']:
                if 'key-' in account + text:
                    problems.append('a target received a client key')
    problems += [
        f'{id}: committed more than once'
        for id, n in commit_counts.items()
        if n > 1
    ]
    for record in records:
        for id, text in record.acknowledged.items():
            if id not in commit_counts:
                problems.append(f'{id} {text}: acknowledged but not committed')
        for id, text in record.reported_not_run.items():
            if id in commit_counts:
                problems.append(
                    f'{id} {text}: reported as not executed but committed'
                )
    version = cluster.version
    for node in cluster.control:
        status, raw = node.call('GET', '/api/config')
        if status == 200 and b'"version":%d,' % version not in raw:
            problems.append(f'{node.name} has an outdated configuration')
    return problems


def run(
    seed: int, seconds: float, folder: pathlib.Path
) -> tuple[list[str], list[str], int]:
    """Run one seed; return problems, fault log and statement count."""
    rng = random.Random(seed)
    cluster = linecluster.LineCluster(
        folder, rng.choice(ENTRY_COUNTS), groups=2, proxied=True
    )
    faults = FaultInjector(cluster, rng)
    try:
        cluster.start()
        clients = [Client(cluster, n, seed) for n in range(CLIENT_COUNT)]
        for client in clients:
            client.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            faults.inject()
            time.sleep(rng.uniform(0.0, 1.0))
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.join(10)
        problems = _wait_for_recovery(cluster)
        problems += find_violations(
            cluster, [client.record for client in clients]
        )
        return problems, faults.log, sum(c.record.statements for c in clients)
    finally:
        cluster.stop()


def _wait_for_recovery(cluster: linecluster.LineCluster) -> list[str]:
    try:
        cluster.configure()
        cluster.wait_serving(RECOVERY_TIMEOUT_S)
    except processes.DeadlinePassed as exc:
        return [
            f'no service {RECOVERY_TIMEOUT_S} s after the last fault: {exc}'
        ]
    return []


def main(argv: list[str] | None = None) -> int:
    """Run the seeds; return 1 when one of them failed."""
    parser = argparse.ArgumentParser(
        description='Run the fault-injection soak test.'
    )
    parser.add_argument('--seed', type=int, default=None)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    args = parser.parse_args(argv)
    first = args.seed
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    failed = 0
    for seed in range(first, first + args.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        problems, log, statements = run(seed, args.seconds, folder)
        failed += bool(problems)
        _report(seed, problems, log, statements, folder)
    return 1 if failed else 0


def _report(
    seed: int,
    problems: list[str],
    log: list[str],
    statements: int,
    folder: pathlib.Path,
) -> None:
    write: typing.Callable[[str], object] = sys.stdout.write
    verdict = 'FAILED' if problems else 'ok'
    write(f'seed {seed}: {verdict}, {statements} statements\n')
    if problems:
        write(f'  logs in {folder}\n')
    for line in [*problems[:10], *(log if problems else [])]:
        write(f'  {line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
