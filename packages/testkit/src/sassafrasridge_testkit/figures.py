"""Measures how fast a deployment of real processes reacts.

Run ``python -m sassafrasridge_testkit.figures``. Prints a table and writes
``build/figures.json``.
Exits with 1 when a figure is above its stated limit.
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
NOTES = 50
WITHDRAWALS = 20
FAILOVERS = 10
LEADER_CHANGES = 10
RESTARTS = 3
CHANGES = (100, 1_000, 10_000)
WAIT_S = 20.0
# Section 1.2 and 3 of docs/design.md.
IN_FORCE_LIMIT_S = 8.0
GAP_TARGET_S = 2.0
GAP_LIMIT_S = 8.0
RESTART_LIMIT_S = 2.0

Record = dict[str, typing.Any]


class Figure:
    """Hold the samples of one quantity in seconds.

    ``limit_s`` is never exceeded by a right system; ``target_s`` is the
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
    def kept(self) -> bool:
        """Return whether no sample is above the limit."""
        return self.limit_s is None or max(self.samples) <= self.limit_s

    def as_json(self) -> Record:
        """Return the figure with all samples."""
        return {
            'name': self.name,
            'count': len(self.samples),
            'median_s': round(statistics.median(self.samples), 3),
            'worst_s': round(max(self.samples), 3),
            'target_s': self.target_s,
            'limit_s': self.limit_s,
            'kept': self.kept,
            'samples_s': [round(sample, 3) for sample in self.samples],
        }


class Writer(threading.Thread):
    """Insert values through one entry process and note when it is told."""

    def __init__(self, caller: callers.Caller) -> None:
        super().__init__(daemon=True)
        self._caller = caller
        self._ended = threading.Event()
        self.acknowledged: list[tuple[float, float]] = []
        self.refused = 0

    def run(self) -> None:
        """Write until stopped."""
        value = 0
        while not self._ended.is_set():
            value += 1
            sent = time.monotonic()
            answer = self._caller.statements(
                ('INSERT INTO t VALUES (?)', [value]), deadline_ms=8000
            )
            if answer.status == 200:
                self.acknowledged.append((sent, time.monotonic()))
            else:
                self.refused += 1
            time.sleep(0.005)

    def stop(self) -> None:
        """End the writer and wait for it."""
        self._ended.set()
        self.join()

    def gap_after(self, moment: float) -> float | None:
        """Return the longest time without an acknowledgement around it.

        None as long as no write that was sent later is acknowledged.
        """
        pairs = list(self.acknowledged)
        after = [at for sent, at in pairs if sent > moment]
        if not after:
            return None
        known = sorted(at for _, at in pairs if at < after[0])
        edges = [max([at for at in known if at < moment], default=moment)]
        edges += [at for at in known if at >= moment] + [after[0]]
        return max(b - a for a, b in zip(edges, edges[1:], strict=False))


class System:
    """Run one deployment and measure it."""

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
        self.wait_settled()
        answer = self.caller('e1').statements(
            'CREATE TABLE t (a INTEGER)', deadline_ms=8000
        )
        if answer.status != 200:
            raise AssertionError(str(answer))

    def caller(self, entry: str, key: str = KEY) -> callers.Caller:
        """Return a caller's client of an entry process."""
        return self.deployment.caller(self.deployment.entries[entry], key)

    def wait_settled(self) -> None:
        """Wait until all servers follow and all entry processes renew."""

        def settled() -> bool:
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

        harness.wait_until(settled, WAIT_S, 'settled group')

    def leader(self) -> deployments.Node:
        """Return the control member that leads."""

        def found() -> deployments.Node | None:
            for node in self.deployment.control.values():
                try:
                    body = self.deployment.operator(node).get('/v1/members')
                except callers.NoAnswer:
                    continue
                if 'leader' in (body.body or {}):
                    return self.deployment.control[body.body['leader']]
            return None

        node = harness.wait_until(found, WAIT_S, 'control leader')
        if node is None:
            raise AssertionError('no control leader')
        return node

    # Figures.

    def notes_in_force(self, count: int = NOTES) -> Figure:
        """Measure from the acceptance of a note until control shows it.

        That is when every entry process has reported the revision.
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
        return Figure('note in force everywhere', samples, IN_FORCE_LIMIT_S)

    def withdrawals(self, count: int = WITHDRAWALS) -> Figure:
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
        return Figure(
            'withdrawn key refused to a connected caller',
            samples,
            IN_FORCE_LIMIT_S,
        )

    def failovers(self, paused: bool, count: int = FAILOVERS) -> Figure:
        """Measure the gap of the worst of three callers."""
        samples = [self._failover(paused) for _ in range(count)]
        return Figure(
            f'failover gap, primary {"paused" if paused else "killed"}',
            samples,
            GAP_LIMIT_S,
            GAP_TARGET_S,
        )

    def _failover(self, paused: bool) -> float:
        writers = [
            Writer(self.caller(name)) for name in self.deployment.entries
        ]
        for writer in writers:
            writer.start()
        harness.wait_until(
            lambda: all(len(w.acknowledged) > 20 for w in writers),
            WAIT_S,
            'writes before the fault',
        )
        victim = self.group.primary()
        if victim is None:
            raise AssertionError('no primary')
        moment = time.monotonic()
        if paused:
            victim.process.pause()
        else:
            victim.process.kill()
        harness.wait_until(
            lambda: all(w.gap_after(moment) is not None for w in writers),
            WAIT_S,
            'writes after the fault',
        )
        for writer in writers:
            writer.stop()
        if paused:
            victim.process.resume()
        else:
            victim.restart()
        self.wait_settled()
        return max(w.gap_after(moment) or 0.0 for w in writers)

    def leader_changes(self, count: int = LEADER_CHANGES) -> Figure:
        """Measure from the end of a leader until a note is accepted."""
        samples = []
        for number in range(count):
            victim = self.leader()
            other = next(
                node
                for node in self.deployment.control.values()
                if node is not victim
            )
            added = deployments.account(
                f'lead-{number}', f'lead-key-{number}', []
            )
            moment = time.monotonic()
            victim.process.kill()
            self.deployment.note(added=added, node=other)
            samples.append(time.monotonic() - moment)
            victim.process.start()
            self.wait_settled()
        return Figure('control leader killed, next note accepted', samples)


class Restarts:
    """Measure restarts of one control member with more and more changes."""

    def __init__(self, kit: harness.Harness) -> None:
        self._deployment = deployments.Deployment(
            kit, ('z1',), ('z1',)
        ).start()
        self._node = self._deployment.control['c1']
        self._submitted = 0
        self._number = 1
        self._operator = self._deployment.operator()
        self._deployment.note(added=deployments.account('a', 'a-key-00', []))

    def figures(
        self, counts: collections.abc.Iterable[int] = CHANGES
    ) -> list[Figure]:
        """Return one figure for each number of changes."""
        found = []
        for count in counts:
            while self._submitted < count:
                self._change()
            found.append(
                Figure(
                    f'control member restarted after {count} changes',
                    [self._restart() for _ in range(RESTARTS)],
                    RESTART_LIMIT_S,
                )
            )
        return found

    def _change(self) -> None:
        self._submitted += 1
        self._number += 1
        answer = self._operator.submit(
            {
                'number': self._number,
                'operator': deployments.OPERATOR,
                'added': [],
                'changed': [
                    {
                        'kind': 'account',
                        'name': 'a',
                        'rate': 1.0 + self._submitted,
                    }
                ],
                'withdrawn': [],
            }
        )
        if answer.status != 200:
            raise AssertionError(str(answer))

    def _restart(self) -> float:
        self._operator.close()
        self._node.process.kill()
        started = time.monotonic()
        self._node.process.launch()

        def current() -> bool:
            try:
                body = self._operator.get(f'/v1/notes/{self._number}')
            except callers.NoAnswer:
                return False
            return body.status == 200

        harness.wait_until(current, WAIT_S, 'restarted member')
        return time.monotonic() - started


def measure() -> list[Figure]:
    """Return all figures."""
    with harness.Harness() as kit:
        system = System(kit)
        figures = [
            system.notes_in_force(),
            system.withdrawals(),
            system.failovers(paused=False),
            system.failovers(paused=True),
            system.leader_changes(),
        ]
    with harness.Harness() as kit:
        figures += Restarts(kit).figures()
    return figures


def table(figures: collections.abc.Iterable[Figure]) -> str:
    """Return the figures as a table.

    >>> print(table([Figure('gap', [1.0, 2.0, 1.5], 8.0, 2.0)]))
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
    """Measure, print and store; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    load_before = os.getloadavg()
    started = time.monotonic()
    figures = measure()
    record = {
        'date': datetime.datetime.now(datetime.UTC).isoformat('T', 'seconds'),
        'seconds': round(time.monotonic() - started, 1),
        'load_average_before': load_before,
        'load_average_after': os.getloadavg(),
        'figures': [figure.as_json() for figure in figures],
    }
    args.output.parent.mkdir(parents=True, exist_ok=True)
    args.output.write_bytes(orjson.dumps(record, option=orjson.OPT_INDENT_2))
    print(table(figures))
    print(
        f'{record["date"]}, {record["seconds"]} s, load average '
        f'{load_before[0]:.1f} before, {os.getloadavg()[0]:.1f} after'
    )
    return 0 if all(figure.kept for figure in figures) else 1


if __name__ == '__main__':
    sys.exit(main())
