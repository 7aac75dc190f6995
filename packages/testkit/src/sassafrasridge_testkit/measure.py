"""Measure the two deployments of the design under load and faults.

Run ``python -m sassafrasridge_testkit.measure``; see docs/measurements.md.
Exits with 1 when a guarantee was violated in any scenario.
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
DEFAULT_FOLDER = pathlib.Path('build/measure')
# Record fields that count violations of a guarantee.
GUARANTEES = (
    'read_your_writes_violations',
    'lost_acknowledged_writes',
    'doubled_requests',
    'false_not_run',
    'crossed_answers',
)
# Table columns as (title, record field, format).
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


class MeasurementRun:
    """Run the scenarios on one system per platform and policy."""

    def __init__(self, seed: int, logs: pathlib.Path) -> None:
        self.seed = seed
        self.failed: list[str] = []
        self._logs = logs

    def platform(
        self, name: str, wanted: collections.abc.Collection[str]
    ) -> list[Record]:
        """Measure a platform with both policies and return the records."""
        records = []
        for policy in ('adaptive', 'plain'):
            scenario_classes = [
                scenario_class
                for scenario_class in scenarios.SCENARIOS.values()
                if scenario_class.name in wanted
                and (scenario_class.with_plain_policy or policy != 'plain')
            ]
            if scenario_classes:
                records += self._run_policy(name, policy, scenario_classes)
        return records

    def _run_policy(
        self,
        name: str,
        policy: str,
        scenario_classes: collections.abc.Sequence[type[scenarios.Scenario]],
    ) -> list[Record]:
        records = []
        folder = self._logs / f'{name}-{policy}'
        _delete_files(folder)
        with harness.Harness(folder) as kit:
            system = platforms.RunningDeployment(
                kit, platforms.PLATFORMS[name], policy, self.seed
            )
            for scenario_class in scenario_classes:
                record = {
                    'scenario': scenario_class.name,
                    'platform': name,
                    'policy': policy,
                    'seed': self.seed,
                }
                record |= self._run_scenario(system, scenario_class)
                records.append(record)
                _print(f'{name} {policy}: {_summary(record)}')
                if record['error']:
                    # Later scenarios on this system would hit the same fault.
                    self.failed.append(
                        f'{name} {policy} {scenario_class.name}'
                    )
                    break
        return records

    def _run_scenario(
        self,
        system: platforms.RunningDeployment,
        scenario_class: type[scenarios.Scenario],
    ) -> Record:
        scenario = scenario_class(system)
        balancer = workload.Balancer(system.deployment.entries)
        load = workload.Load(
            scenario_class.name,
            system.platform.accounts,
            system.platform.services,
            balancer,
            self.seed,
            system.platform.settle_s,
            scenario.choose_entries,
            scenario.rate_factor,
        )
        error = ''
        try:
            asyncio.run(_run_load(scenario, load, balancer))
            scenario.undo_faults()
            system.wait_settled()
            time.sleep(scenario_class.recovery_s)
            stored = system.stored(scenario_class.name)
        except (AssertionError, OSError) as exc:
            # Without the table contents the guarantees on writes can't be
            # checked.
            error = f'{exc!r}'[:500]
            stored = []
        record = oracle.evaluate_load(load, stored)
        record['error'] = error
        record |= _write_gaps(scenario, load, system.platform.services)
        return record


async def _run_load(
    scenario: scenarios.Scenario,
    load: workload.Load,
    balancer: workload.Balancer,
) -> None:
    watching = asyncio.create_task(balancer.run())
    try:
        await asyncio.gather(
            load.run(scenario.duration_s), scenario.inject_faults(load)
        )
    finally:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        balancer.close()


def _write_gaps(
    scenario: scenarios.Scenario,
    load: workload.Load,
    services: collections.abc.Sequence[str],
) -> Record:
    since = scenario.fault_at or load.began
    gaps = {
        service: round(
            oracle.longest_write_gap(
                load.requests, service, since, load.ended
            ),
            3,
        )
        for service in services
    }
    affected = [gaps[service] for service in scenario.affected_services]
    return {
        'failover_gap_s': max(affected) if affected else None,
        'write_gaps_s': gaps,
    }


def count_violations(record: Record) -> int:
    """Return the number of violations of all guarantees in a record."""
    return sum(record[name] for name in GUARANTEES)


def _summary(record: Record) -> str:
    text = f'{record["scenario"]}: {record["done"]}/{record["requests"]} done'
    if count_violations(record):
        text += f', {count_violations(record)} guarantee violations'
    if record['error']:
        text += f', error: {record["error"]}'
    return text


def table(records: collections.abc.Sequence[Record]) -> str:
    """Format the records as a text table."""
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


def _delete_files(folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.rglob('*'):
        if path.is_file():
            path.unlink()


def _print(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run the measurements and return the exit code."""
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
    parser.add_argument('--folder', type=pathlib.Path, default=DEFAULT_FOLDER)
    args = parser.parse_args(argv)
    started = time.monotonic()
    run = MeasurementRun(args.seed, (args.folder / 'logs').absolute())
    count = 0
    for name in args.platform or platforms.PLATFORMS:
        records = run.platform(name, args.scenario or scenarios.SCENARIOS)
        path = args.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(records, option=orjson.OPT_INDENT_2))
        _print(f'\n{name}, seed {args.seed}\n{table(records)}\n')
        count += sum(count_violations(record) for record in records)
    seconds = time.monotonic() - started
    _print(f'{count} guarantee violations, took {seconds:.0f} s')
    for failure in run.failed:
        _print(f'failed: {failure}')
    return 1 if count or run.failed else 0


if __name__ == '__main__':
    sys.exit(main())
