"""Tests of the command-line application."""

import subprocess
import sys

from sassafrasridge_cli import main


def run(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'sassafrasridge_cli.main', *arguments],
        env={'PYTHONPATH': ':'.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=30,
    )


class TestApplication:
    def test_every_command_has_examples(self):
        """Guards against a command whose help has no example."""
        app = main.application()
        for command in main.COMMANDS:
            text = app.find(command.name).help
            assert f'sassafrasridge {command.name}' in text

    def test_version_and_completion(self):
        """Guards against a missing version or shell completion."""
        assert '0.1.0' in run('--version').stdout
        assert 'settings' in run('completions', 'bash').stdout

    def test_usage_error(self):
        """Guards against a usage error that scripts take for a failure."""
        result = run('note', 'submit')
        assert result.returncode == 2
        assert 'file' in result.stderr
        assert 'Traceback' not in result.stderr
