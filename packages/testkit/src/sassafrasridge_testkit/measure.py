"""Measures the two deployments of the design under load and faults.

Run ``python -m sassafrasridge_testkit.measure``; see docs/measurements.md.
Exits with 1 when a promise was broken in any scenario.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import pathlib
import sys
import time
import typing

import orjson

from sassafrasridge_testkit import harness
from sassafrasridge_testkit import oracle
from sassafrasridge_testkit import platforms
from sassafrasridge_testkit import scenarios
from sassafrasridge_testkit import workload

DEFAULT_SEED = 1
FOLDER = pathlib.Path('build/measure')
PROMISES = (
    'read_your_writes_violations',
    'lost_acknowledged_writes',
    'doubled_requests',
    'false_not_run',
    'crossed_answers',
)
COLUMNS = (
    ('scenario', 'scenario', '{}'),
    ('policy', 'policy', '{}'),
    ('offered/s', 'offered_per_s', '{:.0f}'),
    ('replica', 'replica_read_share', '{:.3f}'),
    ('eligible', 'eligible_read_share', '{:.3f}'),
    ('gap s', 'failover_gap_s', '{:.2f}'),
    ('worst goodput', 'worst_account_goodput_ratio', '{:.3f}'),
    ('in rate', 'in_rate_requests', '{}'),
    ('wrongful', 'wrongful_refusals', '{}'),
    ('shortfall', 'admission_shortfall', '{}'),
    ('overrun', 'rate_overrun_ratio', '{:.3f}'),
    ('ryw', 'read_your_writes_violations', '{}'),
    ('lost', 'lost_acknowledged_writes', '{}'),
    ('doubled', 'doubled_requests', '{}'),
    ('false not run', 'false_not_run', '{}'),
    ('crossed', 'crossed_answers', '{}'),
)

Record = dict[str, typing.Any]


class Run:
    """Run scenarios on one system after the other."""

    def __init__(self, seed: int, logs: pathlib.Path) -> None:
        self.seed = seed
        self.failed: list[str] = []
        self._logs = logs

    def platform(
        self, name: str, wanted: collections.abc.Collection[str]
    ) -> list[Record]:
        """Return the records of a platform, both policies."""
        records = []
        for policy in ('adaptive', 'plain'):
            kinds = [
                kind
                for kind in scenarios.SCENARIOS.values()
                if kind.name in wanted and (kind.plain or policy != 'plain')
            ]
            if kinds:
                records += self._policy(name, policy, kinds)
        return records

    def _policy(
        self,
        name: str,
        policy: str,
        kinds: collections.abc.Sequence[type[scenarios.Scenario]],
    ) -> list[Record]:
        records = []
        folder = self._logs / f'{name}-{policy}'
        _empty(folder)
        with harness.Harness(folder) as kit:
            system = platforms.System(
                kit, platforms.PLATFORMS[name], policy, self.seed
            )
            for kind in kinds:
                record = {
                    'scenario': kind.name,
                    'platform': name,
                    'policy': policy,
                    'seed': self.seed,
                }
                record |= self._scenario(system, kind)
                records.append(record)
                _say(f'{name} {policy}: {_broken_text(record)}')
                if record['error']:
                    # The next scenario would measure the same fault again.
                    self.failed.append(f'{name} {policy} {kind.name}')
                    break
        return records

    def _scenario(
        self, system: platforms.System, kind: type[scenarios.Scenario]
    ) -> Record:
        scenario = kind(system)
        balancer = workload.Balancer(system.deployment.entries)
        load = workload.Load(
            kind.name,
            system.platform.accounts,
            system.platform.services,
            balancer,
            self.seed,
            system.platform.settle_s,
            scenario.choose,
            scenario.factor,
        )
        error = ''
        try:
            asyncio.run(_drive(scenario, load, balancer))
            scenario.repair()
            system.wait_settled()
            time.sleep(kind.recovery_s)
            stored = system.stored(kind.name)
        except (AssertionError, OSError) as exc:
            # Without the tables the promises on writes can't be judged.
            error = f'{exc!r}'[:500]
            stored = []
        record = oracle.judge(load, stored)
        record['error'] = error
        record |= _gaps(scenario, load, system.platform.services)
        return record


async def _drive(
    scenario: scenarios.Scenario,
    load: workload.Load,
    balancer: workload.Balancer,
) -> None:
    watching = asyncio.create_task(balancer.run())
    try:
        await asyncio.gather(
            load.run(scenario.duration_s), scenario.disturb(load)
        )
    finally:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        balancer.close()


def _gaps(
    scenario: scenarios.Scenario,
    load: workload.Load,
    services: collections.abc.Sequence[str],
) -> Record:
    since = scenario.fault_at or load.began
    gaps = {
        service: round(
            oracle.longest_gap(load.requests, service, since, load.ended), 3
        )
        for service in services
    }
    affected = [gaps[service] for service in scenario.affected]
    return {
        'failover_gap_s': max(affected) if affected else None,
        'write_gaps_s': gaps,
    }


def broken(record: Record) -> int:
    """Return how many promises were broken, over all kinds."""
    return sum(record[name] for name in PROMISES)


def _broken_text(record: Record) -> str:
    text = f'{record["scenario"]}: {record["done"]}/{record["requests"]} done'
    if broken(record):
        text += f', {broken(record)} broken promises'
    if record['error']:
        text += f', error: {record["error"]}'
    return text


def table(records: collections.abc.Sequence[Record]) -> str:
    """Return the records as a table for people."""
    rows = [[title for title, _, _ in COLUMNS]]
    for record in records:
        rows.append(
            [
                '-' if record[key] is None else form.format(record[key])
                for _, key, form in COLUMNS
            ]
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _empty(folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.rglob('*'):
        if path.is_file():
            path.unlink()


def _say(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Measure and return the exit code."""
    parser = argparse.ArgumentParser(description='Measure the deployments')
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    parser.add_argument(
        '--scenario',
        action='append',
        choices=list(scenarios.SCENARIOS),
        help='only this scenario; may be repeated',
    )
    parser.add_argument(
        '--platform', action='append', choices=list(platforms.PLATFORMS)
    )
    parser.add_argument('--folder', type=pathlib.Path, default=FOLDER)
    args = parser.parse_args(argv)
    started = time.monotonic()
    run = Run(args.seed, (args.folder / 'logs').absolute())
    count = 0
    for name in args.platform or platforms.PLATFORMS:
        records = run.platform(name, args.scenario or scenarios.SCENARIOS)
        path = args.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(records, option=orjson.OPT_INDENT_2))
        _say(f'\n{name}, seed {args.seed}\n{table(records)}\n')
        count += sum(broken(record) for record in records)
    seconds = time.monotonic() - started
    _say(f'{count} broken promises, took {seconds:.0f} s')
    for failure in run.failed:
        _say(f'not finished: {failure}')
    return 1 if count or run.failed else 0


if __name__ == '__main__':
    sys.exit(main())
