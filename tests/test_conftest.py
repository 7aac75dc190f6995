"""Tests of the options of the test run."""

import textwrap

import hypothesis
import pytest

pytest_plugins = ['pytester']

TESTS = """
    import hypothesis
    from hypothesis import strategies as st

    def test_red():
        assert False

    def test_green():
        pass

    @hypothesis.given(st.integers())
    def test_property(number):
        assert hypothesis.settings.default.derandomize in (True, False)
        print('derandomize', hypothesis.settings.default.derandomize)
"""


@pytest.fixture
def folder(pytester, request):
    """Return a folder with the repository's conftest.py and three tests."""
    source = request.config.rootpath / 'conftest.py'
    pytester.makeconftest(source.read_text('utf-8'))
    pytester.makeini('[pytest]\ntestpaths = tests\n')
    tests = pytester.mkdir('tests') / 'test_it.py'
    tests.write_text(textwrap.dedent(TESTS))
    return pytester


def run(folder, *options):
    return folder.runpytest_subprocess('-p', 'no:cacheprovider', *options)


def list_red(folder, name):
    entry = f'test: tests/test_it.py::{name}\nseen: it fails\n'
    (folder.path / 'KNOWN-RED.txt').write_text(entry)


class TestKnownRed:
    def test_without_the_file_every_test_counts(self, folder):
        """Guards against passing over tests that nobody listed."""
        result = run(folder)
        assert result.ret == pytest.ExitCode.TESTS_FAILED
        result.assert_outcomes(passed=2, failed=1)

    def test_listed_test_is_passed_over_and_printed(self, folder):
        """Guards against known failures that nobody sees."""
        list_red(folder, 'test_red')
        result = run(folder)
        assert result.ret == 0
        result.assert_outcomes(passed=2, deselected=1)
        result.stdout.fnmatch_lines(['passed over, known red: *::test_red'])

    def test_only_listed_tests_run(self, folder):
        """Guards against a known failure that is never tried again."""
        list_red(folder, 'test_red')
        result = run(folder, '--known-red')
        assert result.ret == pytest.ExitCode.TESTS_FAILED
        result.assert_outcomes(failed=1, deselected=2)
        list_red(folder, 'test_green')
        assert run(folder, '--known-red').ret == 0

    def test_entry_without_a_test_is_an_error(self, folder):
        """Guards against an entry that hides a renamed test."""
        list_red(folder, 'test_gone')
        assert run(folder).ret == pytest.ExitCode.USAGE_ERROR


class TestSeeds:
    def test_seeds_are_fixed(self, folder):
        """Guards against a test run that can't be repeated."""
        assert run(folder, '-s').stdout.str().count('derandomize True')
        fuzz = run(folder, '-s', '--fuzz', '60', '--hypothesis-seed', '1')
        assert fuzz.stdout.str().count('derandomize False')
        fuzz.assert_outcomes(passed=1, deselected=2)

    def test_default_profile_is_derandomized(self, request):
        """Guards against a profile that another module replaced."""
        if request.config.getoption('--fuzz') is None:
            assert hypothesis.settings.default.derandomize
