"""Commands that show the system status and the audit trail."""

import datetime
import pathlib

from cleo.helpers import argument
from cleo.helpers import option
import orjson

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_core import errors

_NODE_COLUMNS = ('entry', 'zone', 'address', 'revision', 'lease', 'draining')
_TARGET_COLUMNS = (
    'group',
    'server',
    'zone',
    'role',
    'term',
    'position',
    'leaving',
    'seconds_since_heard',
)
_GROUP_COLUMNS = (
    'group',
    'term',
    'primary',
    'changing',
    'group_majority_lost',
)
_ACCOUNT_COLUMNS = ('name', 'rate', 'burst')
_COLUMNS_BY_SECTION = {
    'nodes': _NODE_COLUMNS,
    'targets': _TARGET_COLUMNS,
    'groups': _GROUP_COLUMNS,
    'accounts': _ACCOUNT_COLUMNS,
}
_AUDIT_COLUMNS = (
    'time',
    'who',
    'address',
    'kind',
    'accepted',
    'number',
    'what',
)


class Status(commands.ServerCommand):
    """Show the system status."""

    name = 'status'
    description = 'Show nodes, targets, groups and client accounts.'
    arguments = [
        argument(
            'section',
            f'One of {", ".join(_COLUMNS_BY_SECTION)}.',
            optional=True,
        )
    ]
    examples = ('sassafrasridge status', 'sassafrasridge status targets')

    def execute_command(self) -> int:
        """Print one section, or all of them."""
        section = self.argument('section')
        if section is not None and section not in _COLUMNS_BY_SECTION:
            raise errors.BadRequestError(
                f'section {section!r} does not exist',
                remedy=f'Use one of {", ".join(_COLUMNS_BY_SECTION)}.',
            )
        body = self.connect().get('/v1/status')
        if self.json_output:
            self.print_json(body if section is None else body[section])
            return 0
        if section is None:
            self.print(f'leader: {body.get("leader")}')
            self.print(f'revision: {body.get("revision")}')
        for name in [section] if section else _COLUMNS_BY_SECTION:
            self.print(f'{name}:')
            columns = _COLUMNS_BY_SECTION[name]
            self.print_table(columns, _table_rows(body.get(name, []), columns))
        return 0


class Audit(commands.ServerCommand):
    """Show or export the audit trail."""

    name = 'audit'
    description = 'Show accepted and refused changes, oldest first.'
    options = [
        *commands.ServerCommand.options,
        option('who', None, 'Show only changes by this operator.', flag=False),
        option(
            'kind',
            None,
            'Show only changes of this kind, for example note.',
            flag=False,
        ),
        option(
            'since',
            None,
            'Show only changes since this time: seconds since 1970 or ISO '
            '8601 (UTC unless it has an offset).',
            flag=False,
        ),
        option(
            'export',
            'o',
            'Write the entries to a new file as JSON lines.',
            flag=False,
        ),
    ]
    examples = (
        'sassafrasridge audit --who ana --since 2030-01-31T12:00',
        'sassafrasridge audit --kind note --export audit.jsonl',
    )

    def execute_command(self) -> int:
        """Print or export the audit entries."""
        path = self.option('export')
        entries = self._get_page() if path is None else self._get_all()
        if path is not None:
            _export(path, entries)
            self.print(f'wrote {len(entries)} entries to {path}')
        elif self.json_output:
            self.print_json(entries)
        else:
            shown = [{**e, 'time': _format_utc(e['time'])} for e in entries]
            self.print_table(
                _AUDIT_COLUMNS, _table_rows(shown, _AUDIT_COLUMNS)
            )
        return 0

    def _get_page(self, after: str | None = None) -> list[dict[str, object]]:
        since = self.option('since')
        body = self.connect().get(
            '/v1/audit',
            who=self.option('who'),
            kind=self.option('kind'),
            since=None if since is None else str(parse_time(since)),
            after=after,
        )
        return list(body['entries'])

    def _get_all(self) -> list[dict[str, object]]:
        """Return all matching entries; a response holds one page."""
        found: list[dict[str, object]] = []
        after = 0
        while True:
            page = [
                entry
                for entry in self._get_page(str(after))
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
    """Parse a time; return seconds since 1970 or raise BadRequestError.

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
            f'{text[:80]!r} is not a valid time',
            remedy='Use seconds since 1970 or ISO 8601.',
        )
    if when.tzinfo is None:
        when = when.replace(tzinfo=datetime.UTC)
    return when.timestamp()


def _format_utc(seconds: float) -> str:
    if not seconds:
        return '-'
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.isoformat(' ', 'seconds')


def _table_rows(
    items: list[client.Body], columns: tuple[str, ...]
) -> list[list[object]]:
    return [[item.get(column) for column in columns] for item in items]


def _export(path: str, entries: list[client.Body]) -> None:
    lines = b''.join(orjson.dumps(entry) + b'\n' for entry in entries)
    try:
        # Do not overwrite an existing file; it may be an earlier export.
        with pathlib.Path(path).open('xb') as file:
            file.write(lines)
    except OSError as exc:
        raise errors.BadRequestError(
            f'{path!r} cannot be written: {exc.strerror}',
            remedy='Use a new file in a writable folder.',
        )
