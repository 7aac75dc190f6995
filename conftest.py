"""Add pytest options for known failures and for random seeds.

By default the tests listed in KNOWN-RED.txt are deselected and their ids are
printed, and every hypothesis test uses a fixed seed. ``--known-red`` runs only
the listed tests. ``--fuzz SECONDS`` runs the hypothesis tests in random order
with a random seed until the time limit is reached.
"""

import pathlib
import random
import time

import hypothesis
import pytest

KNOWN_RED_FILE = 'KNOWN-RED.txt'
# An entry of the file names its test in a line "test: NODE-ID".
TEST_LINE_PREFIX = 'test:'

FUZZ_TIME_OVER = 'the time limit for fuzzing was reached'

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
        'markers',
        'fuzz: runs a hypothesis state machine; included in make fuzz',
    )
    # Test modules derive their settings from this profile, so it must be
    # loaded before they are imported.
    fuzzing = config.getoption('--fuzz') is not None
    hypothesis.settings.load_profile('random' if fuzzing else 'fixed')
    config.known_red_ids = read_known_red(config.rootpath)
    config.deselected_known_red = []
    if fuzzing:
        config.fuzz_deadline = time.monotonic() + config.getoption('--fuzz')


def read_known_red(folder: pathlib.Path) -> list[str]:
    """Return the node ids that KNOWN-RED.txt lists; none without a file."""
    try:
        text = (folder / KNOWN_RED_FILE).read_text('utf-8')
    except FileNotFoundError:
        return []
    return [
        line.removeprefix(TEST_LINE_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_LINE_PREFIX)
    ]


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config, items):
    listed_ids = set(config.known_red_ids)
    listed_items = [item for item in items if item.nodeid in listed_ids]
    full_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    unknown_ids = listed_ids - {item.nodeid for item in listed_items}
    if full_run and unknown_ids:
        raise pytest.UsageError(
            f'{KNOWN_RED_FILE} lists tests that do not exist: '
            f'{sorted(unknown_ids)}'
        )
    if config.getoption('--known-red'):
        selected = listed_items
    else:
        selected = [item for item in items if item.nodeid not in listed_ids]
        config.deselected_known_red = [item.nodeid for item in listed_items]
    if config.getoption('--fuzz') is not None:
        selected = [item for item in selected if is_fuzz_test(item)]
        seed = config.getoption('--hypothesis-seed')
        random.Random(str(seed)).shuffle(selected)
    deselected = set(items) - set(selected)
    if deselected:
        config.hook.pytest_deselected(items=list(deselected))
    items[:] = selected


def is_fuzz_test(item) -> bool:
    return any(item.iter_markers('hypothesis')) or any(
        item.iter_markers('fuzz')
    )


def pytest_runtest_teardown(item):
    deadline = getattr(item.config, 'fuzz_deadline', None)
    if deadline is not None and time.monotonic() > deadline:
        item.session.shouldstop = FUZZ_TIME_OVER


def pytest_sessionfinish(session, exitstatus):
    no_tests = exitstatus == pytest.ExitCode.NO_TESTS_COLLECTED
    if no_tests and session.config.getoption('--known-red'):
        session.exitstatus = pytest.ExitCode.OK
    # Reaching the time limit is not a failure.
    interrupted = exitstatus == pytest.ExitCode.INTERRUPTED
    if interrupted and session.shouldstop == FUZZ_TIME_OVER:
        failed = pytest.ExitCode.TESTS_FAILED
        session.exitstatus = failed if session.testsfailed else 0


def pytest_terminal_summary(terminalreporter, config):
    if config.getoption('--known-red') and not config.known_red_ids:
        terminalreporter.write_line(f'{KNOWN_RED_FILE} lists no tests')
    for nodeid in config.deselected_known_red:
        terminalreporter.write_line(f'deselected, known failure: {nodeid}')
