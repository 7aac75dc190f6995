"""Measures resource costs of a deployment for docs/CAPACITY.md.

Starts a few real processes and lightweight substitutes, measures each cost
at four or more sizes, and writes a JSON file and a plot per cost. Processor
times are those of the processes; each point is the median of repetitions.
The processor time that a process uses without the measured work is
subtracted.
"""

import argparse
import collections.abc
import os
import pathlib
import platform
import shutil
import sys
import time

import orjson

from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopeconfig
from sassafrasridge_testkit import slopeentry
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopegroups
from sassafrasridge_testkit import sloperenewals
from sassafrasridge_testkit import slopestate

# No further part is started once this time has passed.
TIME_LIMIT_S = 420.0

OUTPUT_FOLDER = pathlib.Path('build/slopes')
MEASURE_BY_PART: dict[
    str,
    collections.abc.Callable[[harness.Harness], list[slopefit.CostSeries]],
] = {
    'renewals': sloperenewals.measure,
    'entry': slopeentry.measure,
    'config': slopeconfig.measure,
    'groups': slopegroups.measure,
    'state': slopestate.measure,
}


def _print_line(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def _environment() -> dict[str, object]:
    return {
        'python': platform.python_version(),
        'machine': platform.machine(),
        'cores': os.cpu_count(),
        'load_1min': round(os.getloadavg()[0], 2),
    }


def run(
    parts: collections.abc.Iterable[str],
    folder: pathlib.Path,
    plots_folder: pathlib.Path | None,
) -> bool:
    """Measure parts and write results; return whether none was skipped."""
    started = time.monotonic()
    complete = True
    record: dict[str, object] = {'before': _environment()}
    for part in parts:
        part_started = time.monotonic()
        if part_started - started > TIME_LIMIT_S:
            _print_line(f'{part}: skipped, the time limit has passed')
            complete = False
            continue
        with harness.Harness() as kit:
            series_list = MEASURE_BY_PART[part](kit)
        for series in series_list:
            path = series.write(folder)
            if plots_folder is not None:
                _plot(series, folder)
                _copy_file(path, plots_folder)
                _copy_file(path.with_suffix('.png'), plots_folder)
            line = series.fit()
            _print_line(
                f'{series.name}: {line.slope:.4g} +- {line.slope_error:.2g} '
                f'{series.y_unit} per {series.x_unit}, '
                f'{line.intercept:.4g} +- {line.intercept_error:.2g} at 0'
            )
        _print_line(f'{part}: {time.monotonic() - part_started:.1f} s')
        record[part] = round(time.monotonic() - part_started, 1)
    record['after'] = _environment()
    record['complete'] = complete
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / 'run.json'
    path.write_bytes(orjson.dumps(record, option=orjson.OPT_INDENT_2))
    if plots_folder is not None:
        _copy_file(path, plots_folder)
    return complete


def _plot(series: slopefit.CostSeries, folder: pathlib.Path) -> None:
    # Imported here so that matplotlib is needed only for plots.
    from sassafrasridge_testkit import slopeplots

    slopeplots.plot(series, folder)


def _copy_file(path: pathlib.Path, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(path, folder / path.name)


def main() -> None:
    """Run the measurements; exit with 1 if the time limit cut them short."""
    parser = argparse.ArgumentParser(
        description='Measure resource costs at several sizes.'
    )
    parser.add_argument('parts', nargs='*', help=', '.join(MEASURE_BY_PART))
    parser.add_argument('--folder', type=pathlib.Path, default=OUTPUT_FOLDER)
    parser.add_argument(
        '--plots',
        type=pathlib.Path,
        default=None,
        help='draw plots and copy them and the JSON files to this folder',
    )
    args = parser.parse_args()
    unknown = set(args.parts) - set(MEASURE_BY_PART)
    if unknown:
        parser.error(f'unknown parts {sorted(unknown)}')
    complete = run(args.parts or MEASURE_BY_PART, args.folder, args.plots)
    sys.exit(0 if complete else 1)


if __name__ == '__main__':
    main()
