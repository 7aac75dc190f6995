"""Tests of the pytest options that the root conftest.py adds."""

import textwrap

import hypothesis
import pytest

pytest_plugins = ['pytester']

SAMPLE_TESTS = """
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
def project(pytester, request):
    """Return a project with the repository's conftest.py and three tests."""
    source = request.config.rootpath / 'conftest.py'
    pytester.makeconftest(source.read_text('utf-8'))
    pytester.makeini('[pytest]\ntestpaths = tests\n')
    tests = pytester.mkdir('tests') / 'test_it.py'
    tests.write_text(textwrap.dedent(SAMPLE_TESTS))
    return pytester


def run_pytest(project, *options):
    return project.runpytest_subprocess('-p', 'no:cacheprovider', *options)


def write_known_red(project, name):
    entry = f'test: tests/test_it.py::{name}\nseen: it fails\n'
    (project.path / 'KNOWN-RED.txt').write_text(entry)


class TestKnownRed:
    def test_without_the_file_every_test_runs(self, project):
        """Guards against deselecting a test that is not listed."""
        result = run_pytest(project)
        assert result.ret == pytest.ExitCode.TESTS_FAILED
        result.assert_outcomes(passed=2, failed=1)

    def test_listed_test_is_deselected_and_printed(self, project):
        """Guards against known failures that the output does not show."""
        write_known_red(project, 'test_red')
        result = run_pytest(project)
        assert result.ret == 0
        result.assert_outcomes(passed=2, deselected=1)
        result.stdout.fnmatch_lines(['deselected, known failure: *::test_red'])

    def test_only_listed_tests_run(self, project):
        """Guards against a known failure that is never run again."""
        write_known_red(project, 'test_red')
        result = run_pytest(project, '--known-red')
        assert result.ret == pytest.ExitCode.TESTS_FAILED
        result.assert_outcomes(failed=1, deselected=2)
        write_known_red(project, 'test_green')
        assert run_pytest(project, '--known-red').ret == 0

    def test_entry_of_a_missing_test_is_an_error(self, project):
        """Guards against an entry that is outdated after a rename."""
        write_known_red(project, 'test_gone')
        assert run_pytest(project).ret == pytest.ExitCode.USAGE_ERROR


class TestSeeds:
    def test_seeds_are_fixed_without_fuzz(self, project):
        """Guards against a test run that can't be reproduced."""
        assert run_pytest(project, '-s').stdout.str().count('derandomize True')
        fuzz = run_pytest(
            project, '-s', '--fuzz', '60', '--hypothesis-seed', '1'
        )
        assert fuzz.stdout.str().count('derandomize False')
        fuzz.assert_outcomes(passed=1, deselected=2)

    def test_default_profile_is_derandomized(self, request):
        """Guards against another module that loads its own profile."""
        if request.config.getoption('--fuzz') is None:
            assert hypothesis.settings.default.derandomize
