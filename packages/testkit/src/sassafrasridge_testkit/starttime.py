"""Measure the start of processes of the product on the users' platform.

python -m sassafrasridge_testkit.starttime --runs 5
"""

import argparse
import collections
import contextlib
import pathlib
import statistics
import sys
import tempfile
import time

import orjson

from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

MODULE = 'sassafrasridge_platform.program'
HOSTS = {'entry': '127.0.0.1', 'control': '127.0.0.2'}
# Longer than an entry process keeps its log lines after it listens.
LOG_TIMEOUT_S = 10.0
TIMES = (
    'interpreter_ms',
    'imports_ms',
    'listening_ms',
    'http_ms',
    'imports_processor_ms',
    'listening_processor_ms',
    'processor_ms',
    'first_lease_ms',
    'memory_kb',
)
MAX_PACKAGES = 15
Phases = dict[str, float]


class Lab:
    """Start processes that differ only in their role and options."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._rpc = processes.free_port('127.0.0.1')
        self._control_port = processes.free_port('127.0.0.1')
        self._started = 0

    def create(self, role: str, *options: str) -> processes.Process:
        """Return a process; ``options`` are those of the interpreter."""
        self._started += 1
        name = f'{role}{self._started}'
        host = HOSTS[role]
        text = (
            linecluster.ENTRY_SETTINGS
            if role == 'entry'
            else linecluster.CONTROL_SETTINGS
        ).format(
            name=name,
            zone='z0',
            host=host,
            http=f'{host}:{self._control_port}',
            rpc_host=host,
            rpc=self._rpc,
            peers=f'{host}:{self._rpc}',
            secret=linecluster.SECRET,
            seeds=f'{HOSTS["control"]}:{self._control_port}',
            sessions=f'{host}:{processes.free_port(host)}',
            folder=self._folder / f'data-{name}',
            bootstrap='true',
        )
        path = self._folder / f'{name}.ini'
        path.write_text(text + '[log]\nfile = -\n')
        argv = [sys.executable, *options, '-m', MODULE, '--settings']
        return processes.Process(name, [*argv, str(path)], self._folder)


def log_line(process: processes.Process, event: str) -> Phases | None:
    """Return the first log line of an event, or None if there is none."""
    wanted = f'sassafrasridge:{event}'
    for line in process.out_path.read_bytes().splitlines():
        with contextlib.suppress(orjson.JSONDecodeError):
            found: Phases = orjson.loads(line)
            if found.get('message_type') == wanted:
                return found
    return None


def imports(process: processes.Process) -> dict[str, int]:
    """Return the microseconds of each module that a process imported.

    The process must run with the interpreter's option -X importtime.
    """
    found = {}
    for line in process.err_path.read_text().splitlines():
        own, _, rest = line.removeprefix('import time:').partition('|')
        if own.strip().isdigit():
            found[rest.rpartition('|')[2].strip()] = int(own)
    return found


def start_phases(process: processes.Process, leases: bool) -> Phases:
    """Start a process, return its phases and kill it."""
    begun_at = time.time()
    process.start()
    try:
        events = ['started', 'lease_gained'] if leases else ['started']
        processes.wait_until(
            lambda: all(log_line(process, event) for event in events),
            LOG_TIMEOUT_S,
            f'log lines of {process}',
        )
        phases = dict(log_line(process, 'started') or {})
        lease = log_line(process, 'lease_gained')
        if lease is not None:
            phases['first_lease_ms'] = 1000 * (lease['timestamp'] - begun_at)
        return phases
    finally:
        process.kill()


def print_phases(role: str, runs: list[Phases]) -> None:
    """Print the minimum and the median of each phase."""
    print(f'{role}, {len(runs)} starts: minimum, median')
    for name in TIMES:
        values = [run[name] for run in runs if name in run]
        if values:
            median = statistics.median(values)
            print(f'  {name:24} {min(values):10.1f} {median:10.1f}')


def print_imports(role: str, modules: dict[str, int]) -> None:
    """Print the time of a role's imports by package."""
    totals: collections.Counter[str] = collections.Counter()
    for module, microseconds in modules.items():
        totals[module.partition('.')[0]] += microseconds
    print(f'{role}, imports until listening: {len(modules)} modules')
    for package, microseconds in totals.most_common(MAX_PACKAGES):
        print(f'  {package:24} {microseconds / 1000:10.1f} ms')


def main() -> None:
    """Measure starts of both roles and print their phases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=5)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        lab = Lab(pathlib.Path(name))
        for role in HOSTS:
            with contextlib.ExitStack() as stack:
                process = lab.create(role, '-X', 'importtime').start()
                stack.callback(process.kill)
                print_imports(role, imports(process))
        control = [
            start_phases(lab.create('control'), leases=False)
            for _ in range(args.runs)
        ]
        print_phases('control', control)
        leader = lab.create('control').start()
        try:
            processes.wait_until(
                lambda: log_line(leader, 'leadership_began') is not None,
                LOG_TIMEOUT_S,
                'a control leader',
            )
            entry = [
                start_phases(lab.create('entry'), leases=True)
                for _ in range(args.runs)
            ]
        finally:
            leader.kill()
        print_phases('entry', entry)


if __name__ == '__main__':
    main()
