"""Base classes of the commands: options, output and errors."""

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

JSON_OPTION = option('json', None, 'Print the output as JSON.')
SERVER_OPTIONS = [
    option(
        'server',
        's',
        'Address of a daemon, for example 127.0.0.1:8080; may be repeated.',
        flag=False,
        multiple=True,
    ),
    option('token-file', 't', 'File with the operator token.', flag=False),
]


class BaseCommand(Command):
    """Run a command; convert its errors to messages and exit codes."""

    options = [JSON_OPTION]
    examples: tuple[str, ...] = ()

    def __init__(self) -> None:
        if self.examples:
            lines = '\n'.join(f'  {text}' for text in self.examples)
            self.help = f'{self.description}\n\nExamples:\n{lines}'
        super().__init__()

    def handle(self) -> int:
        """Run the command, print an error; return the exit code."""
        try:
            return self.execute_command()
        except client.RemoteError as exc:
            self._print_error(exc.error, exc.body)
            return exc.error.exit_code
        except errors.RidgeError as exc:
            self._print_error(exc, exc.as_json())
            return exc.exit_code

    def execute_command(self) -> int:
        """Run the command; return the exit code or raise RidgeError."""
        raise NotImplementedError

    @property
    def json_output(self) -> bool:
        """Return whether --json is set."""
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
        """Print rows as a table with headers."""
        table = Table(self.io, style='compact')
        table.set_headers(list(headers))
        table.set_rows(
            [[_format_cell(value) for value in row] for row in rows]
        )
        table.render()

    def _print_error(
        self, error: errors.RidgeError, body: client.Body
    ) -> None:
        mistakes = body.get('mistakes')
        if self.json_output:
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


class ServerCommand(BaseCommand):
    """Base class of commands that call a daemon."""

    options = [*SERVER_OPTIONS, JSON_OPTION]

    def connect(self, servers: list[str] | None = None) -> client.Client:
        """Return a client for servers, by default the configured ones."""
        cfg = userconfig.load(
            servers or self.option('server'),
            self.option('token-file'),
            os.environ,
        )
        return client.Client(cfg.servers, cfg.token())


def _format_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(Formatter.escape(str(value)))


def read_note(path: str) -> client.Body:
    """Read a JSON object from a file, or from standard input for '-'."""
    try:
        if path == '-':
            data = sys.stdin.buffer.read()
        else:
            data = pathlib.Path(path).read_bytes()
        note = orjson.loads(data)
    except OSError as exc:
        raise errors.BadRequestError(
            f'{path!r} cannot be read: {exc.strerror}',
            remedy='Use a readable file.',
        )
    except orjson.JSONDecodeError as exc:
        raise errors.BadRequestError(
            f'{path!r} is not JSON (line {exc.lineno}, column {exc.colno})',
            remedy='Correct the JSON syntax.',
        )
    if not isinstance(note, dict):
        raise errors.BadRequestError(
            f'{path!r} is not a JSON object',
            remedy='Write a note as in docs/api.md.',
        )
    return note


def parse_whole_number(text: str, name: str) -> int:
    """Parse a non-negative integer; raise BadRequestError."""
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise errors.BadRequestError(
            f'{name} {text[:80]!r} is not an integer of up to 16 digits',
            remedy=f'Write {name} with decimal digits only.',
        )
    return int(text)
