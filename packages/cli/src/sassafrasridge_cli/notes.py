"""Commands that submit, check and show release notes."""

import time
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_core import errors

NOTES_PATH = '/v1/notes'
POLL_INTERVAL_S = 0.2
# Within 8 s each process has applied a note or has stopped serving.
DEFAULT_WAIT_S = 10
# Other operators may take the same number at the same time.
MAX_NUMBER_ATTEMPTS = 5

_FILE_ARGUMENT = argument(
    'file', "JSON file with the note, or '-' for standard input."
)
_NUMBER_ARGUMENT = argument('number', 'Number of the note.')
_TIMEOUT_OPTION = option(
    'timeout',
    None,
    'Seconds to wait until the note is in force.',
    flag=False,
    default=DEFAULT_WAIT_S,
)


class NotInForceError(errors.UnavailableError):
    """Report a note that is not in force everywhere yet."""

    kind = 'not_in_force'
    remedy = 'Wait longer, or check the listed processes.'


def submit_note(api_client: client.Client, note: client.Body) -> client.Body:
    """Submit a note; without a number it gets the next free one.

    Sending it again is safe: a number with the same content is applied once.
    """
    if 'number' in note:
        return api_client.post(NOTES_PATH, note, idempotent=True)
    for attempt in range(MAX_NUMBER_ATTEMPTS):
        listed = api_client.get(NOTES_PATH)['notes']
        number = listed[0]['number'] + 1 if listed else 1
        numbered = {'number': number, **note}
        try:
            return api_client.post(NOTES_PATH, numbered, idempotent=True)
        except client.RemoteError as exc:
            # Another operator took the number; this note was not applied.
            taken = exc.error.kind in ('number_taken', 'stale_number')
            if not taken or attempt == MAX_NUMBER_ATTEMPTS - 1:
                raise
    raise AssertionError('unreachable')


class _NoteCommand(commands.ServerCommand):
    def wait(self, api_client: client.Client, number: int) -> client.Body:
        """Poll until the note is in force everywhere, and return it."""
        limit_s = commands.parse_whole_number(
            str(self.option('timeout')), 'timeout'
        )
        deadline = time.monotonic() + limit_s
        while True:
            note = api_client.get(f'{NOTES_PATH}/{number}')
            if note['in_force']:
                return note
            if time.monotonic() > deadline:
                lagging = note['not_in_force_at']
                self._print_lagging(note, lagging)
                raise NotInForceError(
                    f'note {number} is not in force at {len(lagging)} '
                    f'processes after {limit_s} s'
                )
            time.sleep(POLL_INTERVAL_S)

    def _print_lagging(
        self, note: client.Body, lagging: list[client.Body]
    ) -> None:
        if self.json_output:
            self.print_json(note)
        else:
            self.print_processes(lagging)

    def print_processes(self, processes: list[client.Body]) -> None:
        """Print the entry processes where a note is not in force."""
        self.print_table(
            ('not in force at', 'zone', 'revision', 'last renewal (s ago)'),
            (
                (
                    process['entry'],
                    process['zone'],
                    process['revision'],
                    process['seconds_since_renewal'],
                )
                for process in processes
            ),
        )

    def print_note(self, note: client.Body) -> None:
        """Print the note of a response."""
        if self.json_output:
            self.print_json(note)
            return
        for name in ('number', 'revision', 'operator', 'digest'):
            self.print(f'{name}: {note.get(name)}')
        if 'in_force' in note:
            self.print(f'in force: {"yes" if note["in_force"] else "no"}')
        if note.get('not_in_force_at'):
            self.print_processes(note['not_in_force_at'])


class NoteSubmit(_NoteCommand):
    """Submit a note."""

    name = 'note submit'
    description = 'Submit a release note; it is safe to submit it again.'
    arguments = [_FILE_ARGUMENT]
    options = [
        *commands.ServerCommand.options,
        option('wait', 'w', 'Wait until the note is in force everywhere.'),
        _TIMEOUT_OPTION,
    ]
    examples = (
        'sassafrasridge note submit note.json',
        'sassafrasridge note submit --wait --timeout 20 note.json',
    )

    def execute_command(self) -> int:
        """Submit the note in the file."""
        note = commands.read_note(self.argument('file'))
        api_client = self.connect()
        answer = submit_note(api_client, note)
        if self.option('wait'):
            answer = self.wait(api_client, answer['number'])
        self.print_note(answer)
        return 0


class NoteCheck(_NoteCommand):
    """Check a note."""

    name = 'note check'
    description = 'List all mistakes in a release note without submitting it.'
    arguments = [_FILE_ARGUMENT]
    examples = ('sassafrasridge note check note.json',)

    def execute_command(self) -> int:
        """Check the note in the file."""
        note = commands.read_note(self.argument('file'))
        path = f'{NOTES_PATH}/check'
        answer = self.connect().post(path, note, idempotent=True)
        if self.json_output:
            self.print_json(answer)
            return 0
        self.print(f'note {answer["number"]} is valid; it would change:')
        for change in answer.get('changes', []):
            self.print(f'  {change}')
        return 0


class NoteShow(_NoteCommand):
    """Show a note."""

    name = 'note show'
    description = 'Show an accepted note and where it is not yet in force.'
    arguments = [_NUMBER_ARGUMENT]
    examples = ('sassafrasridge note show 7',)

    def execute_command(self) -> int:
        """Show a note."""
        number = commands.parse_whole_number(self.argument('number'), 'number')
        self.print_note(self.connect().get(f'{NOTES_PATH}/{number}'))
        return 0


class NoteList(_NoteCommand):
    """List the notes."""

    name = 'note list'
    description = 'List the most recent accepted notes, newest first.'
    examples = ('sassafrasridge note list --json',)

    def execute_command(self) -> int:
        """List the notes."""
        listed: list[Any] = self.connect().get(NOTES_PATH)['notes']
        if self.json_output:
            self.print_json(listed)
            return 0
        self.print_table(
            ('number', 'revision', 'operator', 'digest'),
            (
                (n['number'], n['revision'], n['operator'], n['digest'])
                for n in listed
            ),
        )
        return 0


class NoteWait(_NoteCommand):
    """Wait for a note."""

    name = 'note wait'
    description = 'Wait until a note is in force everywhere.'
    arguments = [_NUMBER_ARGUMENT]
    options = [*commands.ServerCommand.options, _TIMEOUT_OPTION]
    examples = ('sassafrasridge note wait 7 --timeout 20',)

    def execute_command(self) -> int:
        """Wait until the note is in force, or print where it is not."""
        number = commands.parse_whole_number(self.argument('number'), 'number')
        self.print_note(self.wait(self.connect(), number))
        return 0
