"""Parse release notes and validate them against the configuration."""

import hashlib
from typing import Any

import orjson

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import notefields
from sassafrasridge_core.configuration import ACCOUNT
from sassafrasridge_core.configuration import GRANT
from sassafrasridge_core.configuration import KEY
from sassafrasridge_core.configuration import ROUTE
from sassafrasridge_core.configuration import SERVICE

# A delta of this many items stays far below the frame limit of 4 MiB.
MAX_ITEMS = 1000
# Largest integer that every JSON implementation represents exactly.
MAX_SAFE_INTEGER = 2**53 - 1
# Longer values are cut to this length in messages.
MAX_SHOWN_CHARS = 80
# With this many mistakes a response stays below the frame limit of 4 MiB.
MAX_MISTAKES = 1000
MAX_MISTAKES_IN_MESSAGE = 10
# Fields of a note that hold a list of items.
ITEM_LISTS = ('added', 'changed', 'withdrawn')

# Also used by other modules that check names and digests.
NAME_TEXT = notefields.NAME_TEXT
is_name = notefields.is_name
is_digest = notefields.is_digest


class Mistake:
    """Describe an invalid value: its path, what was found, what is allowed."""

    __slots__ = ('path', 'found', 'allowed')

    def __init__(self, path: str, found: str, allowed: str) -> None:
        self.path = path
        self.found = found
        self.allowed = allowed

    def as_json(self) -> dict[str, str]:
        """Return the fields as a JSON object."""
        return {
            'path': self.path,
            'found': self.found,
            'allowed': self.allowed,
        }

    def __str__(self) -> str:
        return f'{self.path}: found {self.found}, allowed: {self.allowed}'


class NoteError(errors.BadRequestError):
    """Report the mistakes in a release note, at most MAX_MISTAKES of them."""

    kind = 'bad_note'
    remedy = 'Correct the listed mistakes and submit the note again.'

    def __init__(self, mistakes: list[Mistake]) -> None:
        count = len(mistakes)
        noun = 'mistake' if count == 1 else 'mistakes'
        shown = [
            str(mistake) for mistake in mistakes[:MAX_MISTAKES_IN_MESSAGE]
        ]
        if count > len(shown):
            shown.append('...')
        super().__init__(f'the note has {count} {noun}: {"; ".join(shown)}')
        self.mistakes = mistakes[:MAX_MISTAKES]

    def as_json(self) -> dict[str, object]:
        """Return the JSON body of the HTTP response, with the mistakes."""
        body = super().as_json()
        body['mistakes'] = [mistake.as_json() for mistake in self.mistakes]
        return body


class Item:
    """Hold an item of a note; ``key`` is the key of its record."""

    __slots__ = ('path', 'kind', 'key', 'values')

    def __init__(
        self, path: str, kind: str, key: str, values: dict[str, Any]
    ) -> None:
        self.path = path
        self.kind = kind
        self.key = key
        self.values = values


class Note:
    """Hold a well-formed release note."""

    __slots__ = ('number', 'operator', 'added', 'changed', 'withdrawn')

    def __init__(
        self,
        number: int,
        operator: str,
        added: list[Item],
        changed: list[Item],
        withdrawn: list[Item],
    ) -> None:
        self.number = number
        self.operator = operator
        self.added = added
        self.changed = changed
        self.withdrawn = withdrawn

    def as_json(self) -> dict[str, Any]:
        """Return the note as a JSON object, with defaults filled in."""
        body: dict[str, Any] = {
            'number': self.number,
            'operator': self.operator,
        }
        for name in ITEM_LISTS:
            body[name] = [
                {'kind': item.kind, **item.values}
                for item in getattr(self, name)
            ]
        return body

    def digest(self) -> str:
        """Return the SHA-256 hex digest of the note's content.

        Notes that differ only in white space, field order, omitted defaults
        or the notation of a number have the same digest.
        """
        return content_digest(self.as_json())

    def summary(self, limit: int = 20) -> str:
        """Return a list of the items for the audit trail, without digests.

        Only the first ``limit`` items are named.
        """
        parts = [
            f'{name} {item.kind} {item.key}'
            for name in ITEM_LISTS
            for item in getattr(self, name)
        ]
        more = len(parts) - limit
        if more > 0:
            parts[limit:] = [f'{more} more']
        return ', '.join(parts) or 'nothing'


def content_digest(body: Any) -> str:
    """Return the SHA-256 hex digest of a JSON value in canonical form."""
    data = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def show(value: Any) -> str:
    """Return a short description of an invalid value for a message.

    >>> show('a' * 100) == repr('a' * 80)[:-1] + "...'"
    True
    """
    if value is None or isinstance(value, bool):
        return {None: 'null', True: 'true', False: 'false'}[value]
    if isinstance(value, str):
        cut = value[:MAX_SHOWN_CHARS]
        return repr(cut if cut == value else cut + '...')
    if isinstance(value, int | float):
        return repr(value)[:MAX_SHOWN_CHARS]
    return 'a list' if isinstance(value, list) else 'an object'


def _format_private_value(value: Any) -> str:
    if isinstance(value, str):
        return f'a string of {len(value)} characters'
    return show(value) if value is None else 'a value that is not a string'


def parse(body: Any, operator: str | None = None) -> Note:
    """Return the note; raise NoteError with all mistakes in its form.

    ``operator`` is the authenticated operator. It is the default of the field
    ``operator``; naming another operator there is a mistake.
    """
    return _Parser(operator).parse(body)


class _Parser:
    __slots__ = ('_operator', '_mistakes', '_path_by_item')

    def __init__(self, operator: str | None) -> None:
        self._operator = operator
        self._mistakes: list[Mistake] = []
        self._path_by_item: dict[tuple[str, str], str] = {}

    def parse(self, body: Any) -> Note:
        if not isinstance(body, dict):
            raise NoteError([Mistake('note', show(body), 'an object')])
        self._reject_unknown_fields(
            '', body, ('number', 'operator', *ITEM_LISTS)
        )
        number = body.get('number')
        if not notefields.is_int(number, 1, MAX_SAFE_INTEGER):
            found = show(number) if 'number' in body else 'nothing'
            self._add_mistake(
                'number', found, f'an integer from 1 to {MAX_SAFE_INTEGER}'
            )
        operator = self._parse_operator(body)
        lists = {name: self._parse_list(name, body) for name in ITEM_LISTS}
        if not self._mistakes and not any(lists.values()):
            self._add_mistake('note', 'no items', f'1 to {MAX_ITEMS} items')
        if self._mistakes:
            raise NoteError(self._mistakes)
        assert isinstance(number, int)
        return Note(number, operator, **lists)

    def _add_mistake(self, path: str, found: str, allowed: str) -> None:
        self._mistakes.append(Mistake(path, found, allowed))

    def _reject_unknown_fields(
        self, prefix: str, body: dict[str, Any], known: tuple[str, ...]
    ) -> None:
        for name in body:
            if name not in known:
                allowed = 'only ' + ', '.join(known)
                # The value may be a secret, so the message has only the name.
                self._add_mistake(
                    prefix + name[:MAX_SHOWN_CHARS], 'this field', allowed
                )

    def _parse_operator(self, body: dict[str, Any]) -> str:
        value = body.get('operator', self._operator)
        if not is_name(value):
            found = show(value) if 'operator' in body else 'nothing'
            self._add_mistake('operator', found, NAME_TEXT)
            return ''
        if self._operator is not None and value != self._operator:
            allowed = f'{self._operator!r}, whose token submits the note'
            self._add_mistake('operator', show(value), allowed)
        return str(value)

    def _parse_list(self, name: str, body: dict[str, Any]) -> list[Item]:
        raw = body.get(name, [])
        if not isinstance(raw, list):
            self._add_mistake(name, show(raw), 'a list of items')
            return []
        if len(raw) > MAX_ITEMS:
            allowed = f'at most {MAX_ITEMS} items; use several notes'
            self._add_mistake(name, f'{len(raw)} items', allowed)
            return []
        items = [
            self._parse_item(name, f'{name}[{index}]', value)
            for index, value in enumerate(raw)
        ]
        return [item for item in items if item is not None]

    def _parse_item(self, name: str, path: str, raw: Any) -> Item | None:
        if not isinstance(raw, dict):
            self._add_mistake(path, show(raw), 'an object')
            return None
        value = raw.get('kind')
        kind = notefields.KINDS.get(value) if isinstance(value, str) else None
        if name == 'changed' and kind is not None and not kind.changeable:
            kind = None
        if kind is None:
            allowed = ', '.join(
                key
                for key, other in notefields.KINDS.items()
                if name != 'changed' or other.changeable
            )
            found = show(value) if 'kind' in raw else 'nothing'
            self._add_mistake(f'{path}.kind', found, f'one of {allowed}')
            return None
        values = self._parse_fields(name, path, kind, raw)
        if values is None:
            return None
        key = '/'.join(values[part] for part in kind.identity)
        return self._reject_duplicate(Item(path, str(value), key, values))

    def _parse_fields(
        self, name: str, path: str, kind: notefields.Kind, raw: dict[str, Any]
    ) -> dict[str, Any] | None:
        before = len(self._mistakes)
        known = kind.identity if name == 'withdrawn' else tuple(kind.fields)
        self._reject_unknown_fields(f'{path}.', raw, ('kind', *known))
        values = {}
        for field_name in known:
            field = kind.fields[field_name]
            optional = name == 'changed' and field_name in kind.changeable
            if field_name not in raw:
                if optional:
                    continue
                if field.omit_default:
                    continue
                if field.default is not notefields.REQUIRED:
                    values[field_name] = field.default
                    continue
                self._add_mistake(
                    f'{path}.{field_name}', 'nothing', field.allowed
                )
                continue
            value = raw[field_name]
            if not field.accepts(value):
                shown = (
                    _format_private_value(value)
                    if field.private
                    else show(value)
                )
                self._add_mistake(f'{path}.{field_name}', shown, field.allowed)
                continue
            if field.convert is not None:
                value = field.convert(value)
            if not (
                name == 'added'
                and field.omit_default
                and value == field.default
            ):
                values[field_name] = value
        if len(self._mistakes) > before:
            return None
        if name == 'changed' and len(values) == len(kind.identity):
            allowed = 'at least one of ' + ', '.join(kind.changeable)
            self._add_mistake(path, 'no change', allowed)
            return None
        return values

    def _reject_duplicate(self, item: Item) -> Item:
        first = self._path_by_item.setdefault((item.kind, item.key), item.path)
        if first != item.path:
            found = f'{item.kind} {item.key!r} again'
            allowed = f'each item once; it is also at {first}'
            self._add_mistake(item.path, found, allowed)
        return item


class ValidationResult:
    """Hold the changes of an accepted note, with dependent withdrawals.

    ``withdrawn_ids`` and ``withdrawn_digests`` belong to the withdrawn keys.
    """

    __slots__ = ('changes', 'withdrawn_ids', 'withdrawn_digests')

    def __init__(self) -> None:
        self.changes: list[configuration.Change] = []
        self.withdrawn_ids: set[str] = set()
        self.withdrawn_digests: set[str] = set()


class Validator:
    """Validate a note against the configuration in force.

    ``withdrawn_ids`` and ``withdrawn_digests`` belong to keys that earlier
    notes withdrew. ``revision`` is the revision that the note would create,
    ``confirmed_revision`` the one that every registered entry process has
    confirmed.
    """

    def __init__(
        self,
        tables: configuration.Tables,
        withdrawn_ids: set[str],
        withdrawn_digests: set[str],
        revision: int,
        confirmed_revision: int,
    ) -> None:
        self._tables = tables
        self._withdrawn_ids = withdrawn_ids
        self._withdrawn_digests = withdrawn_digests
        self._revision = revision
        self._confirmed_revision = confirmed_revision
        self._planned: dict[tuple[str, str], dict[str, Any] | None] = {}
        self._new_digests: dict[str, str] = {}
        self._mistakes: list[Mistake] = []
        self._result = ValidationResult()

    def validate(self, note: Note) -> ValidationResult:
        """Return the changes; raise NoteError with all mistakes."""
        for item in note.withdrawn:
            self._withdraw_item(item)
        for item in note.changed:
            self._change_item(item)
        for item in note.added:
            self._add_item(item)
        for item in note.changed + note.added:
            self._check_references(item)
        for item in note.withdrawn:
            self._check_referrers(item)
        if self._mistakes:
            raise NoteError(self._mistakes)
        self._result.changes = [
            configuration.Change(kind, key, values)
            for (kind, key), values in self._planned.items()
        ]
        return self._result

    def _add_mistake(self, path: str, found: str, allowed: str) -> None:
        self._mistakes.append(Mistake(path, found, allowed))

    def _planned_record(self, kind: str, key: str) -> dict[str, Any] | None:
        if (kind, key) in self._planned:
            return self._planned[(kind, key)]
        record = self._tables.get(kind, key)
        return None if record is None else configuration.as_dict(record)

    def _plan_removal(self, kind: str, key: str) -> None:
        if kind == KEY:
            record = self._tables.get(KEY, key)
            self._result.withdrawn_ids.add(key)
            self._result.withdrawn_digests.add(record.digest)
        self._planned[(kind, key)] = None

    def _withdraw_item(self, item: Item) -> None:
        record = self._tables.get(item.kind, item.key)
        if record is None:
            self._add_mistake(
                item.path, repr(item.key), f'an existing {item.kind}'
            )
            return
        if item.kind == ROUTE:
            self._check_partition_reads(item.path, record)
        self._plan_removal(item.kind, item.key)
        if item.kind in (ACCOUNT, SERVICE):
            self._withdraw_dependents(item)

    def _withdraw_dependents(self, item: Item) -> None:
        for key, record in self._tables.items(GRANT):
            if getattr(record, item.kind) == item.key:
                self._plan_removal(GRANT, key)
        if item.kind == ACCOUNT:
            for key, record in self._tables.items(KEY):
                if record.account == item.key:
                    self._plan_removal(KEY, key)

    def _change_item(self, item: Item) -> None:
        record = self._tables.get(item.kind, item.key)
        if record is None:
            self._add_mistake(
                item.path, repr(item.key), f'an existing {item.kind}'
            )
            return
        values = {**configuration.as_dict(record), **item.values}
        if item.kind == ROUTE:
            if record.open != values['open'] and record.open:
                self._check_partition_reads(f'{item.path}.open', record)
            elif record.service != values['service']:
                self._check_partition_reads(f'{item.path}.service', record)
            if record.partition_reads and not values['partition_reads']:
                values['reads_ended'] = self._revision
        if item.kind == SERVICE and record.group != values['group']:
            for route in self._tables.all(ROUTE):
                if route.service == item.key:
                    self._check_partition_reads(f'{item.path}.group', route)
        self._planned[(item.kind, item.key)] = values

    def _check_partition_reads(
        self, path: str, route: configuration.Route
    ) -> None:
        # A partitioned entry process serves such a route for hours, so it
        # must have confirmed the end of partition_reads before this change.
        if route.partition_reads:
            self._add_mistake(
                path,
                f'route {route.path!r} with partition_reads true',
                'an earlier note that sets partition_reads to false and that '
                'every registered entry process has confirmed',
            )
        elif route.reads_ended > self._confirmed_revision:
            self._add_mistake(
                path,
                f'route {route.path!r} whose partition_reads ended at '
                f'revision {route.reads_ended}, confirmed everywhere is '
                f'revision {self._confirmed_revision}',
                'this change once every registered entry process has '
                'confirmed that revision',
            )

    def _add_item(self, item: Item) -> None:
        if self._tables.get(item.kind, item.key) is not None:
            allowed = f'a {item.kind} that does not exist; use changed'
            self._add_mistake(item.path, repr(item.key), allowed)
        if item.kind == KEY:
            self._check_new_key(item)
        self._planned[(item.kind, item.key)] = item.values

    def _check_new_key(self, item: Item) -> None:
        digest = item.values['digest']
        if item.key in self._withdrawn_ids:
            self._add_mistake(
                f'{item.path}.id',
                f'{item.key!r}, which was withdrawn',
                'an id that was never used',
            )
        in_use = self._tables.key_by_digest(digest)
        withdrawn = digest in self._withdrawn_digests
        first = self._new_digests.setdefault(digest, item.path)
        if withdrawn or in_use is not None or first != item.path:
            why = 'withdrawn' if withdrawn else 'already in use'
            self._add_mistake(
                f'{item.path}.digest',
                f'a digest that is {why}',
                'the digest of a secret that was never used',
            )

    def _check_references(self, item: Item) -> None:
        values = self._planned.get((item.kind, item.key))
        if values is None:
            return
        for kind in (ACCOUNT, SERVICE):
            name = values.get(kind)
            if name is not None and self._planned_record(kind, name) is None:
                noun = 'client account' if kind == ACCOUNT else kind
                allowed = f'an existing {noun} that this note keeps'
                self._add_mistake(f'{item.path}.{kind}', repr(name), allowed)
        if values.get('partition_reads') and not values['open']:
            self._add_mistake(
                f'{item.path}.partition_reads',
                'true on a route that is not open',
                'true only with open true',
            )

    def _check_referrers(self, item: Item) -> None:
        if item.kind != SERVICE:
            return
        for key, _ in self._tables.items(ROUTE):
            route = self._planned_record(ROUTE, key)
            if route is not None and route['service'] == item.key:
                self._add_mistake(
                    item.path,
                    f'service {item.key!r} of route {key!r}',
                    'a service without routes; withdraw or change them too',
                )
