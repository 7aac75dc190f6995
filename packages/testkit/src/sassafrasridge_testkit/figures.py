"""Measures response times of a deployment of real processes.

Run ``python -m sassafrasridge_testkit.figures``. Prints a table and writes
``build/figures.json``.
Exits with 1 if a sample exceeds its stated limit.
"""

import argparse
import collections.abc
import datetime
import os
import pathlib
import statistics
import sys
import threading
import time
import typing

import orjson

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

OUTPUT = pathlib.Path('build/figures.json')
KEY = 'figures-key-1'
SERVICE = 'orders'
GROUP = 'orders-db'
ZONES = ('z1', 'z2', 'z3')
NOTE_COUNT = 50
WITHDRAWAL_COUNT = 20
FAILOVER_COUNT = 10
LEADER_CHANGE_COUNT = 10
RESTARTS_PER_SIZE = 3
CHANGE_COUNTS = (100, 1_000, 10_000)
WAIT_S = 20.0
# Sections 1.2 and 3 of docs/design.md.
IN_FORCE_LIMIT_S = 8.0
GAP_TARGET_S = 2.0
GAP_LIMIT_S = 8.0
RESTART_LIMIT_S = 2.0

JsonObject = dict[str, typing.Any]


class Latency:
    """Hold the samples of one latency in seconds.

    No sample of a correct system exceeds ``limit_s``; ``target_s`` is the
    objective for the median.
    """

    def __init__(
        self,
        name: str,
        samples: collections.abc.Sequence[float],
        limit_s: float | None = None,
        target_s: float | None = None,
    ) -> None:
        self.name = name
        self.samples = list(samples)
        self.limit_s = limit_s
        self.target_s = target_s

    @property
    def within_limit(self) -> bool:
        """Return whether no sample exceeds the limit."""
        return self.limit_s is None or max(self.samples) <= self.limit_s

    def as_json(self) -> JsonObject:
        """Return a JSON-serializable form with all samples."""
        return {
            'name': self.name,
            'count': len(self.samples),
            'median_s': round(statistics.median(self.samples), 3),
            'worst_s': round(max(self.samples), 3),
            'target_s': self.target_s,
            'limit_s': self.limit_s,
            'kept': self.within_limit,
            'samples_s': [round(sample, 3) for sample in self.samples],
        }


class WriteLoop(threading.Thread):
    """Insert rows through one entry process and record acknowledgements."""

    def __init__(self, caller: callers.Caller) -> None:
        super().__init__(daemon=True)
        self._caller = caller
        self._stop_requested = threading.Event()
        self.acknowledged_writes: list[tuple[float, float]] = []
        self.refused_count = 0

    def run(self) -> None:
        """Send inserts until ``stop`` is called."""
        value = 0
        while not self._stop_requested.is_set():
            value += 1
            sent = time.monotonic()
            answer = self._caller.statements(
                ('INSERT INTO t VALUES (?)', [value]), deadline_ms=8000
            )
            if answer.status == 200:
                self.acknowledged_writes.append((sent, time.monotonic()))
            else:
                self.refused_count += 1
            time.sleep(0.005)

    def stop(self) -> None:
        """Stop the thread and wait until it has ended."""
        self._stop_requested.set()
        self.join()

    def acknowledgement_gap(self, fault_time: float) -> float | None:
        """Return the longest gap between acknowledgements around a fault.

        Returns None until a write that was sent after the fault is
        acknowledged. Times are in seconds of the monotonic clock.
        """
        pairs = list(self.acknowledged_writes)
        after = [at for sent, at in pairs if sent > fault_time]
        if not after:
            return None
        acknowledged_at = sorted(at for _, at in pairs if at < after[0])
        edges = [
            max(
                [at for at in acknowledged_at if at < fault_time],
                default=fault_time,
            )
        ]
        edges += [at for at in acknowledged_at if at >= fault_time] + [
            after[0]
        ]
        return max(b - a for a, b in zip(edges, edges[1:], strict=False))


class MeasuredDeployment:
    """Start a deployment and measure its response times."""

    def __init__(self, kit: harness.Harness) -> None:
        self.deployment = deployments.Deployment(kit, ZONES, ZONES).start()
        self.group = kit.start_group(
            GROUP, announce=self.deployment.announce_addresses
        )
        self.deployment.note(
            added=[
                deployments.service(SERVICE, GROUP),
                *deployments.account(
                    'shop', KEY, [SERVICE], rate=5000.0, burst=5000.0
                ),
            ]
        )
        self.deployment.wait_in_force()
        self.wait_stable()
        answer = self.caller('e1').statements(
            'CREATE TABLE t (a INTEGER)', deadline_ms=8000
        )
        if answer.status != 200:
            raise AssertionError(str(answer))

    def caller(self, entry: str, key: str = KEY) -> callers.Caller:
        """Return a client of an entry process with a caller's key."""
        return self.deployment.caller(self.deployment.entries[entry], key)

    def wait_stable(self) -> None:
        """Wait until all servers follow and each entry process has a lease."""

        def stable() -> bool:
            try:
                body = self.deployment.status()
            except (AssertionError, callers.NoAnswer):
                return False
            groups = body.get('groups') or []
            return bool(groups) and (
                not groups[0]['changing']
                and len(groups[0]['members']) == len(ZONES)
                and sum(n['lease'] for n in body['nodes']) == len(ZONES)
                and len(body['targets']) == len(ZONES)
                and all(
                    t['term'] == groups[0]['term']
                    and (t['role'] == 'primary')
                    == (t['server'] == groups[0]['primary'])
                    for t in body['targets']
                )
            )

        harness.wait_until(stable, WAIT_S, 'stable group')

    def find_leader(self) -> deployments.Node:
        """Return the control leader."""

        def query_leader() -> deployments.Node | None:
            for node in self.deployment.control.values():
                try:
                    body = self.deployment.operator(node).get('/v1/members')
                except callers.NoAnswer:
                    continue
                if 'leader' in (body.body or {}):
                    return self.deployment.control[body.body['leader']]
            return None

        node = harness.wait_until(query_leader, WAIT_S, 'control leader')
        if node is None:
            raise AssertionError('no control leader')
        return node

    # Measurements.

    def measure_notes_in_force(self, count: int = NOTE_COUNT) -> Latency:
        """Measure from acceptance of a release note until it is in force.

        A note is in force when every entry process has reported its
        configuration revision to control.
        """
        samples = []
        for number in range(count):
            added = deployments.account(
                f'note-{number}', f'note-key-{number}', []
            )
            self.deployment.note(added=added)
            accepted = time.monotonic()
            self.deployment.wait_in_force()
            samples.append(time.monotonic() - accepted)
        return Latency('note in force everywhere', samples, IN_FORCE_LIMIT_S)

    def measure_withdrawals(self, count: int = WITHDRAWAL_COUNT) -> Latency:
        """Measure until a connected caller's withdrawn key is refused."""
        samples = []
        for number in range(count):
            name, key = f'leaver-{number}', f'leaver-key-{number}'
            self.deployment.note(
                added=deployments.account(name, key, [SERVICE])
            )
            self.deployment.wait_in_force()
            caller = self.caller(f'e{number % len(ZONES) + 1}', key)
            harness.wait_until(
                lambda caller=caller: caller.read('SELECT 1').status == 200,
                WAIT_S,
                'read before the withdrawal',
            )
            self.deployment.note(
                withdrawn=[{'kind': 'key', 'id': f'{name}-1'}]
            )
            accepted = time.monotonic()
            harness.wait_until(
                lambda caller=caller: caller.read('SELECT 1').status == 401,
                WAIT_S,
                'refusal of a withdrawn key',
            )
            samples.append(time.monotonic() - accepted)
        return Latency(
            'withdrawn key refused to a connected caller',
            samples,
            IN_FORCE_LIMIT_S,
        )

    def measure_failovers(
        self, paused: bool, count: int = FAILOVER_COUNT
    ) -> Latency:
        """Measure the failover gap, the longest one of three callers."""
        samples = [self._measure_failover(paused) for _ in range(count)]
        return Latency(
            f'failover gap, primary {"paused" if paused else "killed"}',
            samples,
            GAP_LIMIT_S,
            GAP_TARGET_S,
        )

    def _measure_failover(self, paused: bool) -> float:
        writers = [
            WriteLoop(self.caller(name)) for name in self.deployment.entries
        ]
        for writer in writers:
            writer.start()
        harness.wait_until(
            lambda: all(len(w.acknowledged_writes) > 20 for w in writers),
            WAIT_S,
            'writes before the fault',
        )
        primary = self.group.primary()
        if primary is None:
            raise AssertionError('no primary')
        fault_time = time.monotonic()
        if paused:
            primary.process.pause()
        else:
            primary.process.kill()
        harness.wait_until(
            lambda: all(
                w.acknowledgement_gap(fault_time) is not None for w in writers
            ),
            WAIT_S,
            'writes after the fault',
        )
        for writer in writers:
            writer.stop()
        if paused:
            primary.process.resume()
        else:
            primary.restart()
        self.wait_stable()
        return max(w.acknowledgement_gap(fault_time) or 0.0 for w in writers)

    def measure_leader_changes(
        self, count: int = LEADER_CHANGE_COUNT
    ) -> Latency:
        """Measure from the kill of the leader until a note is accepted."""
        samples = []
        for number in range(count):
            old_leader = self.find_leader()
            other = next(
                node
                for node in self.deployment.control.values()
                if node is not old_leader
            )
            added = deployments.account(
                f'lead-{number}', f'lead-key-{number}', []
            )
            fault_time = time.monotonic()
            old_leader.process.kill()
            self.deployment.note(added=added, node=other)
            samples.append(time.monotonic() - fault_time)
            old_leader.process.start()
            self.wait_stable()
        return Latency('control leader killed, next note accepted', samples)


class RestartMeasurement:
    """Measure restarts of a control member by the number of changes."""

    def __init__(self, kit: harness.Harness) -> None:
        self._deployment = deployments.Deployment(
            kit, ('z1',), ('z1',)
        ).start()
        self._node = self._deployment.control['c1']
        self._change_count = 0
        self._note_number = 1
        self._operator = self._deployment.operator()
        self._deployment.note(added=deployments.account('a', 'a-key-00', []))

    def measure(
        self, counts: collections.abc.Iterable[int] = CHANGE_COUNTS
    ) -> list[Latency]:
        """Return the restart latency for each number of changes."""
        result = []
        for count in counts:
            while self._change_count < count:
                self._submit_change()
            result.append(
                Latency(
                    f'control member restarted after {count} changes',
                    [
                        self._measure_restart()
                        for _ in range(RESTARTS_PER_SIZE)
                    ],
                    RESTART_LIMIT_S,
                )
            )
        return result

    def _submit_change(self) -> None:
        self._change_count += 1
        self._note_number += 1
        answer = self._operator.submit(
            {
                'number': self._note_number,
                'operator': deployments.OPERATOR,
                'added': [],
                'changed': [
                    {
                        'kind': 'account',
                        'name': 'a',
                        'rate': 1.0 + self._change_count,
                    }
                ],
                'withdrawn': [],
            }
        )
        if answer.status != 200:
            raise AssertionError(str(answer))

    def _measure_restart(self) -> float:
        self._operator.close()
        self._node.process.kill()
        started = time.monotonic()
        self._node.process.launch()

        def is_current() -> bool:
            try:
                body = self._operator.get(f'/v1/notes/{self._note_number}')
            except callers.NoAnswer:
                return False
            return body.status == 200

        harness.wait_until(is_current, WAIT_S, 'restarted member')
        return time.monotonic() - started


def measure_all() -> list[Latency]:
    """Run all measurements."""
    with harness.Harness() as kit:
        measured = MeasuredDeployment(kit)
        figures = [
            measured.measure_notes_in_force(),
            measured.measure_withdrawals(),
            measured.measure_failovers(paused=False),
            measured.measure_failovers(paused=True),
            measured.measure_leader_changes(),
        ]
    with harness.Harness() as kit:
        figures += RestartMeasurement(kit).measure()
    return figures


def format_table(figures: collections.abc.Iterable[Latency]) -> str:
    """Format latencies as a Markdown table.

    >>> print(format_table([Latency('gap', [1.0, 2.0, 1.5], 8.0, 2.0)]))
    | figure | samples | median s | worst s | target s | limit s |
    | --- | --- | --- | --- | --- | --- |
    | gap | 3 | 1.500 | 2.000 | 2.0 | 8.0 |
    """
    lines = [
        '| figure | samples | median s | worst s | target s | limit s |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for figure in figures:
        lines.append(
            f'| {figure.name} | {len(figure.samples)} '
            f'| {statistics.median(figure.samples):.3f} '
            f'| {max(figure.samples):.3f} '
            f'| {figure.target_s or "none"} | {figure.limit_s or "none"} |'
        )
    return '\n'.join(lines)


def main() -> int:
    """Run all measurements, print and store them; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    load_before = os.getloadavg()
    started = time.monotonic()
    figures = measure_all()
    record = {
        'date': datetime.datetime.now(datetime.UTC).isoformat('T', 'seconds'),
        'seconds': round(time.monotonic() - started, 1),
        'load_average_before': load_before,
        'load_average_after': os.getloadavg(),
        'figures': [figure.as_json() for figure in figures],
    }
    args.output.parent.mkdir(parents=True, exist_ok=True)
    args.output.write_bytes(orjson.dumps(record, option=orjson.OPT_INDENT_2))
    print(format_table(figures))
    print(
        f'{record["date"]}, {record["seconds"]} s, load average '
        f'{load_before[0]:.1f} before, {os.getloadavg()[0]:.1f} after'
    )
    return 0 if all(figure.within_limit for figure in figures) else 1


if __name__ == '__main__':
    sys.exit(main())
