"""The base of the commands: options, output and errors."""

from collections.abc import Iterable
from collections.abc import Sequence
import os
import pathlib
import sys
from typing import Any

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.outputs.output import Type
from cleo.ui.table import Table
import orjson

from sassafrasridge_cli import client
from sassafrasridge_cli import userconfig
from sassafrasridge_core import errors

JSON_OPTION = option('json', None, 'Print JSON for programs.')
SERVER_OPTIONS = [
    option(
        'server',
        's',
        'Address of a daemon, such as 127.0.0.1:8080; may be repeated.',
        flag=False,
        multiple=True,
    ),
    option(
        'token-file', 't', 'File that holds the operator token.', flag=False
    ),
]


class RidgeCommand(Command):
    """Run a command and turn its errors into messages and exit codes."""

    options = [JSON_OPTION]
    examples: tuple[str, ...] = ()

    def __init__(self) -> None:
        if self.examples:
            lines = '\n'.join(f'  {text}' for text in self.examples)
            self.help = f'{self.description}\n\nExamples:\n{lines}'
        super().__init__()

    def handle(self) -> int:
        """Execute the command; return the exit code."""
        try:
            return self.execute_command()
        except client.RemoteError as exc:
            self._report(exc.error, exc.body)
            return exc.error.exit_code
        except errors.RidgeError as exc:
            self._report(exc, exc.as_json())
            return exc.exit_code

    def execute_command(self) -> int:
        """Do the work of the command; return the exit code."""
        raise NotImplementedError

    @property
    def wants_json(self) -> bool:
        """Return whether the output is for a program."""
        return bool(self.option('json'))

    def print(self, text: str) -> None:
        """Print a line without interpreting style tags."""
        self.io.write_line(text, type=Type.RAW)

    def print_json(self, body: Any) -> None:
        """Print a JSON value."""
        data = orjson.dumps(body, option=orjson.OPT_INDENT_2)
        self.print(data.decode())

    def print_table(
        self, headers: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Print a table."""
        table = Table(self.io, style='compact')
        table.set_headers(list(headers))
        table.set_rows([[_cell(value) for value in row] for row in rows])
        table.render()

    def _report(self, error: errors.RidgeError, body: client.Body) -> None:
        mistakes = body.get('mistakes')
        if self.wants_json:
            text = orjson.dumps(body or error.as_json()).decode()
            self.io.write_error_line(text, type=Type.RAW)
            return
        if not isinstance(mistakes, list):
            text = f'error: {error.render()}'
            self.io.write_error_line(text, type=Type.RAW)
            return
        text = f'error: {len(mistakes)} mistakes. {error.remedy}'
        self.io.write_error_line(text, type=Type.RAW)
        for mistake in mistakes:
            text = (
                f'  {mistake["path"]}: found {mistake["found"]}, allowed: '
                f'{mistake["allowed"]}'
            )
            self.io.write_error_line(text, type=Type.RAW)


class ServerCommand(RidgeCommand):
    """Call a daemon."""

    options = [*SERVER_OPTIONS, JSON_OPTION]

    def connect(self, servers: list[str] | None = None) -> client.Client:
        """Return a client of the configured servers, or of others."""
        cfg = userconfig.load(
            servers or self.option('server'),
            self.option('token-file'),
            os.environ,
        )
        return client.Client(cfg.servers, cfg.token())


def _cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(Formatter.escape(str(value)))


def read_note(path: str) -> client.Body:
    """Return the JSON object of a file, or of standard input for '-'."""
    try:
        if path == '-':
            data = sys.stdin.buffer.read()
        else:
            data = pathlib.Path(path).read_bytes()
        note = orjson.loads(data)
    except OSError as exc:
        raise errors.BadRequestError(
            f'{path!r} cannot be read: {exc.strerror}',
            remedy='Name a readable file.',
        )
    except orjson.JSONDecodeError as exc:
        raise errors.BadRequestError(
            f'{path!r} is not JSON (line {exc.lineno}, column {exc.colno})',
            remedy='Correct the file.',
        )
    if not isinstance(note, dict):
        raise errors.BadRequestError(
            f'{path!r} is not a JSON object',
            remedy='Write a note as in docs/api.md.',
        )
    return note


def whole_number(text: str, name: str) -> int:
    """Return a positive integer."""
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise errors.BadRequestError(
            f'{name} {text[:80]!r} is not a positive integer',
            remedy=f'Write {name} in digits.',
        )
    return int(text)
