"""Options of the whole test run: known failures and random seeds.

Without an option the tests listed in KNOWN-RED.txt are passed over and
printed, and every hypothesis test uses a fixed seed. ``--known-red`` runs
exactly the listed tests. ``--fuzz SECONDS`` runs the hypothesis tests in
random order with a random seed, until the time is over.
"""

import pathlib
import random
import time

import hypothesis
import pytest

KNOWN_RED = 'KNOWN-RED.txt'
ENTRY = 'test:'
"""Each entry names its test in a line ``test: NODE-ID``."""

OVER = 'the time for fuzzing is over'

hypothesis.settings.register_profile(
    'fixed', derandomize=True, database=None, deadline=None
)
hypothesis.settings.register_profile(
    'random', derandomize=False, database=None, deadline=None, print_blob=True
)


def pytest_addoption(parser):
    parser.addoption('--known-red', action='store_true')
    parser.addoption('--fuzz', type=float, metavar='SECONDS')


def pytest_configure(config):
    config.addinivalue_line(
        'markers', 'fuzz: runs a hypothesis state machine; part of make fuzz'
    )
    # Test modules derive their settings from this profile, so it must be in
    # force before they are imported.
    fuzz = config.getoption('--fuzz') is not None
    hypothesis.settings.load_profile('random' if fuzz else 'fixed')
    config.known_red = known_red(config.rootpath)
    config.passed_over = []
    if fuzz:
        config.fuzz_end = time.monotonic() + config.getoption('--fuzz')


def known_red(folder: pathlib.Path) -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    try:
        text = (folder / KNOWN_RED).read_text('utf-8')
    except FileNotFoundError:
        return []
    return [
        line.removeprefix(ENTRY).strip()
        for line in text.splitlines()
        if line.startswith(ENTRY)
    ]


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    listed = set(config.known_red)
    red = [item for item in items if item.nodeid in listed]
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    missing = listed - {item.nodeid for item in red}
    if whole and missing:
        raise pytest.UsageError(
            f'{KNOWN_RED} lists tests that do not exist: {sorted(missing)}'
        )
    if config.getoption('--known-red'):
        kept = red
    else:
        kept = [item for item in items if item.nodeid not in listed]
        config.passed_over = [item.nodeid for item in red]
    if config.getoption('--fuzz') is not None:
        kept = [item for item in kept if is_fuzz_test(item)]
        seed = config.getoption('--hypothesis-seed')
        random.Random(str(seed)).shuffle(kept)
    dropped = set(items) - set(kept)
    if dropped:
        config.hook.pytest_deselected(items=list(dropped))
    items[:] = kept


def is_fuzz_test(item) -> bool:
    return any(item.iter_markers('hypothesis')) or any(
        item.iter_markers('fuzz')
    )


def pytest_runtest_teardown(item):
    end = getattr(item.config, 'fuzz_end', None)
    if end is not None and time.monotonic() > end:
        item.session.shouldstop = OVER


def pytest_sessionfinish(session, exitstatus):
    no_tests = exitstatus == pytest.ExitCode.NO_TESTS_COLLECTED
    if no_tests and session.config.getoption('--known-red'):
        session.exitstatus = pytest.ExitCode.OK
    # Stopping at the end of the time is no failure.
    interrupted = exitstatus == pytest.ExitCode.INTERRUPTED
    if interrupted and session.shouldstop == OVER:
        failed = pytest.ExitCode.TESTS_FAILED
        session.exitstatus = failed if session.testsfailed else 0


def pytest_terminal_summary(terminalreporter, config):
    if config.getoption('--known-red') and not config.known_red:
        terminalreporter.write_line(f'{KNOWN_RED} lists no test')
    for nodeid in config.passed_over:
        terminalreporter.write_line(f'passed over, known red: {nodeid}')
