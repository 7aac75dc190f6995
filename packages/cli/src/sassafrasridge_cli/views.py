"""Commands that show the status and the audit trail."""

import datetime
import pathlib

from cleo.helpers import argument
from cleo.helpers import option
import orjson

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_core import errors

_NODES = ('entry', 'zone', 'address', 'revision', 'lease', 'draining')
_TARGETS = (
    'group',
    'server',
    'zone',
    'role',
    'term',
    'position',
    'leaving',
    'seconds_since_heard',
)
_GROUPS = ('group', 'term', 'primary', 'changing', 'group_majority_lost')
_ACCOUNTS = ('name', 'rate', 'burst')
_SECTIONS = {
    'nodes': _NODES,
    'targets': _TARGETS,
    'groups': _GROUPS,
    'accounts': _ACCOUNTS,
}
_AUDIT = ('time', 'who', 'address', 'kind', 'accepted', 'number', 'what')


class Status(commands.ServerCommand):
    """Show the status."""

    name = 'status'
    description = 'Show nodes, targets, groups and client accounts.'
    arguments = [
        argument('section', f'One of {", ".join(_SECTIONS)}.', optional=True)
    ]
    examples = ('sassafrasridge status', 'sassafrasridge status targets')

    def execute_command(self) -> int:
        """Show all sections or one."""
        wanted = self.argument('section')
        if wanted is not None and wanted not in _SECTIONS:
            raise errors.BadRequestError(
                f'section {wanted!r} does not exist',
                remedy=f'Name one of {", ".join(_SECTIONS)}.',
            )
        body = self.connect().get('/v1/status')
        if self.wants_json:
            self.print_json(body if wanted is None else body[wanted])
            return 0
        if wanted is None:
            self.print(f'leader: {body.get("leader")}')
            self.print(f'revision: {body.get("revision")}')
        for name in [wanted] if wanted else _SECTIONS:
            self.print(f'{name}:')
            columns = _SECTIONS[name]
            self.print_table(columns, _rows(body.get(name, []), columns))
        return 0


class Audit(commands.ServerCommand):
    """Show the audit trail."""

    name = 'audit'
    description = 'Show accepted and refused changes, oldest first.'
    options = [
        *commands.ServerCommand.options,
        option('who', None, 'Only changes of this operator.', flag=False),
        option('kind', None, 'Only this kind, such as note.', flag=False),
        option(
            'since',
            None,
            'Only since this time: seconds since 1970, or ISO 8601 (UTC '
            'without an offset).',
            flag=False,
        ),
        option('export', 'o', 'Write JSON lines to a new file.', flag=False),
    ]
    examples = (
        'sassafrasridge audit --who ana --since 2030-01-31T12:00',
        'sassafrasridge audit --kind note --export audit.jsonl',
    )

    def execute_command(self) -> int:
        """Show or export the entries."""
        path = self.option('export')
        entries = self._entries() if path is None else self._all_entries()
        if path is not None:
            _export(path, entries)
            self.print(f'{len(entries)} entries are in {path}')
        elif self.wants_json:
            self.print_json(entries)
        else:
            shown = [{**e, 'time': _utc(e['time'])} for e in entries]
            self.print_table(_AUDIT, _rows(shown, _AUDIT))
        return 0

    def _entries(self, after: str | None = None) -> list[dict[str, object]]:
        since = self.option('since')
        body = self.connect().get(
            '/v1/audit',
            who=self.option('who'),
            kind=self.option('kind'),
            since=None if since is None else str(parse_time(since)),
            after=after,
        )
        return list(body['entries'])

    def _all_entries(self) -> list[dict[str, object]]:
        """Return all matching entries; one answer holds only a part."""
        found: list[dict[str, object]] = []
        after = 0
        while True:
            page = [
                entry
                for entry in self._entries(str(after))
                if _sequence(entry) > after
            ]
            if not page:
                return found
            found += page
            after = _sequence(page[-1])


def _sequence(entry: dict[str, object]) -> int:
    sequence = entry['sequence']
    return sequence if isinstance(sequence, int) else 0


def parse_time(text: str) -> float:
    """Return a wall time in s.

    >>> parse_time('1970-01-01T01:00'), parse_time('12.5')
    (3600.0, 12.5)
    """
    try:
        return float(text)
    except ValueError:
        pass
    try:
        when = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise errors.BadRequestError(
            f'{text[:80]!r} is not a time',
            remedy='Write seconds since 1970 or ISO 8601.',
        )
    if when.tzinfo is None:
        when = when.replace(tzinfo=datetime.UTC)
    return when.timestamp()


def _utc(seconds: float) -> str:
    if not seconds:
        return '-'
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.isoformat(' ', 'seconds')


def _rows(
    items: list[client.Body], columns: tuple[str, ...]
) -> list[list[object]]:
    return [[item.get(column) for column in columns] for item in items]


def _export(path: str, entries: list[client.Body]) -> None:
    lines = b''.join(orjson.dumps(entry) + b'\n' for entry in entries)
    try:
        # An existing file may be an earlier export.
        with pathlib.Path(path).open('xb') as file:
            file.write(lines)
    except OSError as exc:
        raise errors.BadRequestError(
            f'{path!r} cannot be written: {exc.strerror}',
            remedy='Name a new file in a writable folder.',
        )
