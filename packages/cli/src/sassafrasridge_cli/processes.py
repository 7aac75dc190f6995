"""Commands for control members, entry processes, draining and settings."""

import pathlib

from cleo.helpers import argument
from cleo.io.outputs.output import Type
import orjson

from sassafrasridge_cli import commands
from sassafrasridge_core import settings

MEMBERS_PATH = '/v1/members'
_NAME_ARGUMENT = argument('name', 'Name of the control member.')


class _MemberCommand(commands.ServerCommand):
    def print_members(self, members: list[dict[str, object]]) -> None:
        """Print control members."""
        if self.json_output:
            self.print_json(members)
            return
        columns = ('name', 'disk_id', 'voter', 'address', 'index')
        self.print_table(
            columns, [[m.get(column) for column in columns] for m in members]
        )

    def change_members(self, action: str) -> int:
        """Add, replace or remove a member; removing is not idempotent."""
        body = {'action': action, 'name': self.argument('name')}
        answer = self.connect().post(
            MEMBERS_PATH, body, idempotent=action != 'remove'
        )
        self.print_members(answer['members'])
        return 0


class MemberList(_MemberCommand):
    """List the members."""

    name = 'member list'
    description = 'List the control members.'
    examples = ('sassafrasridge member list',)

    def execute_command(self) -> int:
        """List the members."""
        self.print_members(self.connect().get(MEMBERS_PATH)['members'])
        return 0


class MemberAdd(_MemberCommand):
    """Add a member."""

    name = 'member add'
    description = 'Add a running control member and wait until it is a voter.'
    arguments = [_NAME_ARGUMENT]
    examples = ('sassafrasridge member add control4',)

    def execute_command(self) -> int:
        """Add the member."""
        return self.change_members('add')


class MemberReplace(_MemberCommand):
    """Replace a member."""

    name = 'member replace'
    description = (
        'Accept the new disk of a control member and wait until it is a '
        'voter that holds all committed entries.'
    )
    arguments = [_NAME_ARGUMENT]
    examples = ('sassafrasridge member replace control2',)

    def execute_command(self) -> int:
        """Replace the member."""
        return self.change_members('replace')


class MemberRemove(_MemberCommand):
    """Remove a member."""

    name = 'member remove'
    description = 'Remove a control member.'
    arguments = [_NAME_ARGUMENT]
    examples = ('sassafrasridge member remove control2',)

    def execute_command(self) -> int:
        """Remove the member."""
        return self.change_members('remove')


class EntryRemove(commands.ServerCommand):
    """Remove an entry process from the registry."""

    name = 'entry remove'
    description = 'Remove an entry process that is permanently gone.'
    arguments = [argument('name', 'Name of the entry process.')]
    examples = ('sassafrasridge entry remove entry4',)

    def execute_command(self) -> int:
        """Remove the process; refused while it holds a lease."""
        name = self.argument('name')
        answer = self.connect().post(
            '/v1/entries',
            {'action': 'remove', 'name': name},
            idempotent=False,
        )
        if self.json_output:
            self.print_json(answer)
        else:
            self.print(f'{name} was removed')
        return 0


class Drain(commands.ServerCommand):
    """Shut a process down gracefully."""

    name = 'drain'
    description = 'Shut one process down gracefully.'
    arguments = [argument('address', 'HTTP address of the process.')]
    examples = ('sassafrasridge drain 127.0.0.1:8080',)

    def execute_command(self) -> int:
        """Drain the given address only, without failover to another."""
        address = self.argument('address')
        answer = self.connect([address]).post('/v1/drain', {}, idempotent=True)
        if self.json_output:
            self.print_json(answer)
        else:
            self.print(f'{address} is draining')
        return 0


class SettingsCheck(commands.BaseCommand):
    """Check a settings file."""

    name = 'settings check'
    description = 'List all mistakes in a settings file of the daemon.'
    arguments = [argument('file', 'INI file with the settings.')]
    examples = ('sassafrasridge settings check /etc/sassafrasridge/entry.ini',)

    def execute_command(self) -> int:
        """Check the file."""
        path = pathlib.Path(self.argument('file'))
        try:
            self._check_file(path)
        except settings.InvalidSettingsError as exc:
            self._print_mistakes(exc)
            return exc.exit_code
        if self.json_output:
            self.print_json({'mistakes': []})
        else:
            self.print(f'{path}: no mistakes')
        return 0

    def _check_file(self, path: pathlib.Path) -> None:
        try:
            text = path.read_text('utf-8')
        except OSError as exc:
            raise settings.unreadable_file_error(
                str(path), exc.strerror or 'unknown'
            )
        except UnicodeDecodeError:
            raise settings.unreadable_file_error(str(path), 'it is not UTF-8')
        settings.parse_settings(
            text,
            str(path),
            lambda name: pathlib.Path(name).read_bytes(),
            str(path.parent),
        )

    def _print_mistakes(self, exc: settings.InvalidSettingsError) -> None:
        if self.json_output:
            mistakes = [mistake.as_json() for mistake in exc.mistakes]
            text = orjson.dumps({'mistakes': mistakes}).decode()
            self.io.write_error_line(text, type=Type.RAW)
            return
        for mistake in exc.mistakes:
            self.io.write_error_line(str(mistake), type=Type.RAW)
