"""Commands on release notes."""

import time
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_core import errors

NOTES_PATH = '/v1/notes'
POLL_S = 0.2
# A note is in force within 8 s, or the process has stopped serving.
DEFAULT_WAIT_S = 10
NUMBER_ATTEMPTS = 5

_FILE = argument('file', "A JSON file with the note, or '-'.")
_NUMBER = argument('number', 'The number of the note.')
_TIMEOUT = option(
    'timeout', None, 'Seconds to wait.', flag=False, default=DEFAULT_WAIT_S
)


class NotInForceError(errors.UnavailableError):
    """Report a note that is not in force everywhere yet."""

    kind = 'not_in_force'
    remedy = 'Wait longer, or check the listed processes.'


def submit(connection: client.Client, note: client.Body) -> client.Body:
    """Submit a note; give one without a number the next free number.

    A resend is safe: the same number with the same content is applied once.
    """
    if 'number' in note:
        return connection.post(NOTES_PATH, note, repeatable=True)
    for attempt in range(NUMBER_ATTEMPTS):
        listed = connection.get(NOTES_PATH)['notes']
        number = listed[0]['number'] + 1 if listed else 1
        numbered = {'number': number, **note}
        try:
            return connection.post(NOTES_PATH, numbered, repeatable=True)
        except client.RemoteError as exc:
            # Another operator took the number; this note was not applied.
            taken = exc.error.kind in ('number_taken', 'stale_number')
            if not taken or attempt == NUMBER_ATTEMPTS - 1:
                raise
    raise AssertionError('unreachable')


class _NoteCommand(commands.ServerCommand):
    def wait(self, connection: client.Client, number: int) -> client.Body:
        """Return the note once it is in force everywhere."""
        limit_s = commands.whole_number(str(self.option('timeout')), 'timeout')
        end = time.monotonic() + limit_s
        while True:
            note = connection.get(f'{NOTES_PATH}/{number}')
            if note['in_force']:
                return note
            if time.monotonic() > end:
                waiting = note['not_in_force_at']
                self._show_waiting(note, waiting)
                raise NotInForceError(
                    f'note {number} is not in force at {len(waiting)} '
                    f'processes after {limit_s} s'
                )
            time.sleep(POLL_S)

    def _show_waiting(
        self, note: client.Body, waiting: list[client.Body]
    ) -> None:
        if self.wants_json:
            self.print_json(note)
        else:
            self.show_places(waiting)

    def show_places(self, places: list[client.Body]) -> None:
        """Print entry processes."""
        self.print_table(
            ('not in force at', 'zone', 'revision', 'last renewal (s ago)'),
            (
                (
                    place['entry'],
                    place['zone'],
                    place['revision'],
                    place['seconds_since_renewal'],
                )
                for place in places
            ),
        )

    def show_note(self, note: client.Body) -> None:
        """Print a note's answer."""
        if self.wants_json:
            self.print_json(note)
            return
        for name in ('number', 'revision', 'operator', 'digest'):
            self.print(f'{name}: {note.get(name)}')
        if 'in_force' in note:
            self.print(f'in force: {"yes" if note["in_force"] else "no"}')
        if note.get('not_in_force_at'):
            self.show_places(note['not_in_force_at'])


class NoteSubmit(_NoteCommand):
    """Submit a note."""

    name = 'note submit'
    description = 'Submit a release note; a resend is safe.'
    arguments = [_FILE]
    options = [
        *commands.ServerCommand.options,
        option('wait', 'w', 'Wait until it is in force everywhere.'),
        _TIMEOUT,
    ]
    examples = (
        'sassafrasridge note submit note.json',
        'sassafrasridge note submit --wait --timeout 20 note.json',
    )

    def execute_command(self) -> int:
        """Submit the note of a file."""
        note = commands.read_note(self.argument('file'))
        connection = self.connect()
        answer = submit(connection, note)
        if self.option('wait'):
            answer = self.wait(connection, answer['number'])
        self.show_note(answer)
        return 0


class NoteCheck(_NoteCommand):
    """Check a note."""

    name = 'note check'
    description = 'List every mistake of a release note, change nothing.'
    arguments = [_FILE]
    examples = ('sassafrasridge note check note.json',)

    def execute_command(self) -> int:
        """Check the note of a file."""
        note = commands.read_note(self.argument('file'))
        path = f'{NOTES_PATH}/check'
        answer = self.connect().post(path, note, repeatable=True)
        if self.wants_json:
            self.print_json(answer)
            return 0
        self.print(f'note {answer["number"]} is right, it would change:')
        for change in answer.get('changes', []):
            self.print(f'  {change}')
        return 0


class NoteShow(_NoteCommand):
    """Show a note."""

    name = 'note show'
    description = 'Show an accepted note and where it is in force.'
    arguments = [_NUMBER]
    examples = ('sassafrasridge note show 7',)

    def execute_command(self) -> int:
        """Show a note."""
        number = commands.whole_number(self.argument('number'), 'number')
        self.show_note(self.connect().get(f'{NOTES_PATH}/{number}'))
        return 0


class NoteList(_NoteCommand):
    """List the notes."""

    name = 'note list'
    description = 'List the last accepted notes, newest first.'
    examples = ('sassafrasridge note list --json',)

    def execute_command(self) -> int:
        """List the notes."""
        listed: list[Any] = self.connect().get(NOTES_PATH)['notes']
        if self.wants_json:
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
    arguments = [_NUMBER]
    options = [*commands.ServerCommand.options, _TIMEOUT]
    examples = ('sassafrasridge note wait 7 --timeout 20',)

    def execute_command(self) -> int:
        """Wait until the note is in force or print where it is not."""
        number = commands.whole_number(self.argument('number'), 'number')
        self.show_note(self.wait(self.connect(), number))
        return 0
