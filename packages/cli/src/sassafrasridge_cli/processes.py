"""Commands on daemons: members, draining and settings files."""

import pathlib

from cleo.helpers import argument
from cleo.io.outputs.output import Type
import orjson

from sassafrasridge_cli import commands
from sassafrasridge_core import settings

MEMBERS_PATH = '/v1/members'
_NAME = argument('name', 'The name of the control member.')


class _MemberCommand(commands.ServerCommand):
    def show(self, members: list[dict[str, object]]) -> None:
        """Print control members."""
        if self.wants_json:
            self.print_json(members)
            return
        columns = ('name', 'disk_id', 'voter', 'address', 'index')
        self.print_table(
            columns, [[m.get(column) for column in columns] for m in members]
        )

    def change(self, action: str) -> int:
        """Change the members; adding is repeatable, removing is not."""
        body = {'action': action, 'name': self.argument('name')}
        answer = self.connect().post(
            MEMBERS_PATH, body, repeatable=action != 'remove'
        )
        self.show(answer['members'])
        return 0


class MemberList(_MemberCommand):
    """List the members."""

    name = 'member list'
    description = 'List the control members.'
    examples = ('sassafrasridge member list',)

    def execute_command(self) -> int:
        """List the members."""
        self.show(self.connect().get(MEMBERS_PATH)['members'])
        return 0


class MemberAdd(_MemberCommand):
    """Add a member."""

    name = 'member add'
    description = 'Add a started control member; ends once it is a voter.'
    arguments = [_NAME]
    examples = ('sassafrasridge member add control4',)

    def execute_command(self) -> int:
        """Add the member."""
        return self.change('add')


class MemberReplace(_MemberCommand):
    """Replace a member."""

    name = 'member replace'
    description = (
        'Accept the new disk of a control member; ends once it is a voter '
        'that holds everything committed.'
    )
    arguments = [_NAME]
    examples = ('sassafrasridge member replace control2',)

    def execute_command(self) -> int:
        """Replace the member."""
        return self.change('replace')


class MemberRemove(_MemberCommand):
    """Remove a member."""

    name = 'member remove'
    description = 'Remove a control member.'
    arguments = [_NAME]
    examples = ('sassafrasridge member remove control2',)

    def execute_command(self) -> int:
        """Remove the member."""
        return self.change('remove')


class EntryRemove(commands.ServerCommand):
    """Remove an entry process from the registry."""

    name = 'entry remove'
    description = 'Forget an entry process that is gone for good.'
    arguments = [argument('name', 'The name of the entry process.')]
    examples = ('sassafrasridge entry remove entry4',)

    def execute_command(self) -> int:
        """Remove the process; refused while it holds a lease."""
        name = self.argument('name')
        answer = self.connect().post(
            '/v1/entries',
            {'action': 'remove', 'name': name},
            repeatable=False,
        )
        if self.wants_json:
            self.print_json(answer)
        else:
            self.print(f'{name} is removed')
        return 0


class Drain(commands.ServerCommand):
    """Drain a process."""

    name = 'drain'
    description = 'Shut one process down gracefully.'
    arguments = [argument('address', 'The HTTP address of the process.')]
    examples = ('sassafrasridge drain 127.0.0.1:8080',)

    def execute_command(self) -> int:
        """Drain exactly the named process, never the next one."""
        address = self.argument('address')
        answer = self.connect([address]).post('/v1/drain', {}, repeatable=True)
        if self.wants_json:
            self.print_json(answer)
        else:
            self.print(f'{address} drains')
        return 0


class SettingsCheck(commands.RidgeCommand):
    """Check a settings file."""

    name = 'settings check'
    description = 'List every mistake of a settings file of the daemon.'
    arguments = [argument('file', 'The INI file.')]
    examples = ('sassafrasridge settings check /etc/sassafrasridge/entry.ini',)

    def execute_command(self) -> int:
        """Check the file."""
        path = pathlib.Path(self.argument('file'))
        try:
            self._check(path)
        except settings.InvalidSettingsError as exc:
            self._show(exc)
            return exc.exit_code
        if self.wants_json:
            self.print_json({'mistakes': []})
        else:
            self.print(f'{path}: no mistakes')
        return 0

    def _check(self, path: pathlib.Path) -> None:
        try:
            text = path.read_text('utf-8')
        except OSError as exc:
            raise settings.unreadable(str(path), exc.strerror or 'unknown')
        except UnicodeDecodeError:
            raise settings.unreadable(str(path), 'it is not UTF-8')
        settings.check(
            text,
            str(path),
            lambda name: pathlib.Path(name).read_bytes(),
            str(path.parent),
        )

    def _show(self, exc: settings.InvalidSettingsError) -> None:
        if self.wants_json:
            mistakes = [mistake.as_json() for mistake in exc.mistakes]
            text = orjson.dumps({'mistakes': mistakes}).decode()
            self.io.write_error_line(text, type=Type.RAW)
            return
        for mistake in exc.mistakes:
            self.io.write_error_line(str(mistake), type=Type.RAW)
