"""Measures what the parts of a deployment cost, for docs/CAPACITY.md.

Starts few real processes and small stand-ins, measures at least four sizes
of each cost, and writes a JSON file and a plot per cost. The figures are
processor times of processes, medians of repetitions; what a process uses
without the measured work is subtracted.
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

TIME_LIMIT_S = 420.0
"""No further part is started after this time."""

FOLDER = pathlib.Path('build/slopes')
PARTS: dict[
    str,
    collections.abc.Callable[[harness.Harness], list[slopefit.Slope]],
] = {
    'renewals': sloperenewals.measure,
    'entry': slopeentry.measure,
    'config': slopeconfig.measure,
    'groups': slopegroups.measure,
    'state': slopestate.measure,
}


def _say(text: str) -> None:
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
    plots: pathlib.Path | None,
) -> bool:
    """Measure parts; return whether all of them were measured."""
    started = time.monotonic()
    complete = True
    record: dict[str, object] = {'before': _environment()}
    for part in parts:
        at = time.monotonic()
        if at - started > TIME_LIMIT_S:
            _say(f'{part}: not measured, the time limit has passed')
            complete = False
            continue
        with harness.Harness() as kit:
            slopes = PARTS[part](kit)
        for slope in slopes:
            path = slope.write(folder)
            if plots is not None:
                _plot(slope, folder)
                _copy(path, plots)
                _copy(path.with_suffix('.png'), plots)
            line = slope.fit()
            _say(
                f'{slope.name}: {line.slope:.4g} +- {line.slope_error:.2g} '
                f'{slope.y_unit} per {slope.x_unit}, '
                f'{line.intercept:.4g} +- {line.intercept_error:.2g} at 0'
            )
        _say(f'{part}: {time.monotonic() - at:.1f} s')
        record[part] = round(time.monotonic() - at, 1)
    record['after'] = _environment()
    record['complete'] = complete
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / 'run.json'
    path.write_bytes(orjson.dumps(record, option=orjson.OPT_INDENT_2))
    if plots is not None:
        _copy(path, plots)
    return complete


def _plot(slope: slopefit.Slope, folder: pathlib.Path) -> None:
    # matplotlib is imported only when plots are wanted.
    from sassafrasridge_testkit import slopeplots

    slopeplots.plot(slope, folder)


def _copy(path: pathlib.Path, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(path, folder / path.name)


def main() -> None:
    """Measure; exit with 1 when the time limit cut the run short."""
    parser = argparse.ArgumentParser(description='Measure slopes of costs.')
    parser.add_argument('parts', nargs='*', help=', '.join(PARTS))
    parser.add_argument('--folder', type=pathlib.Path, default=FOLDER)
    parser.add_argument(
        '--plots',
        type=pathlib.Path,
        default=None,
        help='plot, and copy plots and JSON files to this folder',
    )
    args = parser.parse_args()
    unknown = set(args.parts) - set(PARTS)
    if unknown:
        parser.error(f'unknown parts {sorted(unknown)}')
    complete = run(args.parts or PARTS, args.folder, args.plots)
    sys.exit(0 if complete else 1)


if __name__ == '__main__':
    main()
