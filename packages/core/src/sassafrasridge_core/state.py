"""The replicated state machine and the configuration copy of its readers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import Any

import orjson

from sassafrasridge_core import answers
from sassafrasridge_core import audit
from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import grouprecords
from sassafrasridge_core import model
from sassafrasridge_core import notes
from sassafrasridge_core import wholeconfig
from sassafrasridge_core import zonedrain

# An entry process that lacks more revisions than this gets a full copy.
MAX_DELTAS = 2_000
MIN_SECRET_BYTES = 32
SNAPSHOT_FORMAT = 1

_Command = dict[str, Any]


class StaleNumberError(errors.ConflictError):
    """Report a note number that is not above the last accepted one."""

    kind = 'stale_number'
    remedy = 'Submit the note with a number above the last accepted one.'


class NumberTakenError(errors.ConflictError):
    """Report a note number that was accepted with other content."""

    kind = 'number_taken'
    remedy = 'Read the accepted note, then submit yours with a higher number.'


class StaleGroupError(errors.ConflictError):
    """Report a group record that conflicts with the stored one."""

    kind = 'stale_group'
    remedy = 'Read the group record again and base the change on it.'


class RevisionGapError(errors.UnavailableError):
    """Report a delta that is not the next one after the copy's revision."""

    kind = 'revision_gap'
    remedy = 'Request a full copy.'


class Reply:
    """Hold the result of a command.

    ``status`` is an HTTP status code, ``body`` is JSON-able.
    """

    __slots__ = ('ok', 'status', 'body')

    def __init__(self, ok: bool, status: int, body: dict[str, Any]) -> None:
        self.ok = ok
        self.status = status
        self.body = body

    @classmethod
    def from_error(cls, error: errors.RidgeError) -> 'Reply':
        """Return the reply that reports an error."""
        return cls(False, error.status, error.as_json())


class EntryProcess:
    """Hold a registered entry process.

    ``entry`` is its name, ``revision`` the configuration revision when it
    registered.
    """

    __slots__ = ('entry', 'zone', 'address', 'revision')

    def __init__(
        self, entry: str, zone: str, address: str, revision: int
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.address = address
        self.revision = revision

    def as_json(self) -> dict[str, Any]:
        """Return the fields as JSON-able values."""
        return {name: getattr(self, name) for name in self.__slots__}


class State:
    """Apply committed commands deterministically.

    Members that apply the same commands have the same encoded state.

    Attributes to read: ``index`` (last applied log index), ``revision`` (of
    the configuration), ``groups``, ``groups_revision``, ``entries`` (the
    registered entry processes), ``entries_revision``, ``session_secret``
    (hex, empty before ``init``), ``tables``, ``answers``, ``trail``,
    ``whole_number`` (number of the last complete configuration, -1 before the
    first one) and ``whole_source`` (its text as submitted).
    """

    def __init__(
        self,
        *,
        answer_limit: int = answers.MAX_ANSWERS,
        audit_limit: int = audit.MAX_AUDIT_ENTRIES,
        delta_limit: int = MAX_DELTAS,
    ) -> None:
        self.index = 0
        self.revision = 0
        self.session_secret = ''
        self.tables = configuration.Tables()
        self.withdrawn_ids: set[str] = set()
        self.withdrawn_digests: set[str] = set()
        self.groups: dict[str, model.GroupView] = {}
        self.groups_revision = 0
        self.group_revisions: dict[str, int] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.entries_revision = 0
        self.answers = answers.AnswerLog(answer_limit)
        self.trail = audit.AuditTrail(audit_limit)
        self.whole_number = -1
        self.whole_source = ''
        self._deltas: collections.deque[bytes] = collections.deque(
            maxlen=delta_limit
        )
        self._handlers: dict[str, Callable[[_Command], Reply]] = {
            'init': self._apply_init,
            'note': self._apply_note,
            'refused_note': self._apply_refused_note,
            'configuration': self._apply_configuration,
            'group': self._apply_group,
            'entry': self._apply_entry,
            'audit': self._apply_audit,
            'zone': self._apply_zone,
        }

    def apply(self, index: int, command: bytes) -> Reply:
        """Apply the command of a log entry and return its reply.

        An index that is already applied is refused and changes nothing. A
        malformed command is refused and changes only the index.
        """
        if index <= self.index:
            message = f'log entry {index} is already applied'
            return Reply.from_error(errors.ConflictError(message))
        self.index = index
        try:
            body = orjson.loads(command)
            handler = self._handlers[body['type']]
        except (ValueError, KeyError, TypeError):
            error = errors.BadRequestError('unknown or malformed command')
            return Reply.from_error(error)
        try:
            return handler(body)
        except errors.RidgeError as exc:
            return Reply.from_error(exc)

    # Commands

    def _apply_init(self, body: _Command) -> Reply:
        if self.session_secret:
            return Reply(True, 200, {'created': False})
        secret = _text_field(body, 'session_secret')
        try:
            long_enough = len(bytes.fromhex(secret)) >= MIN_SECRET_BYTES
        except ValueError:
            long_enough = False
        if not long_enough:
            raise errors.BadRequestError(
                'the session secret is not a hex string of at least '
                f'{MIN_SECRET_BYTES} bytes'
            )
        self.session_secret = secret
        self._add_delta([['session_secret', '', secret]])
        self._append_to_trail(body, 'init', True, 'created the session secret')
        return Reply(True, 200, {'created': True})

    def _apply_note(self, body: _Command) -> Reply:
        number = _note_number(body.get('note'))
        try:
            note = self._parse_note(body)
            previous = self._accepted_answer(note)
            if previous is not None:
                return Reply(True, 200, previous.as_json())
            validation = self._validate_note(note, body)
        except errors.RidgeError as exc:
            # The message becomes part of the replicated state: members whose
            # versions word it differently have different encoded states.
            self._append_to_trail(body, 'note', False, exc.message, number)
            raise
        self.withdrawn_ids |= validation.withdrawn_ids
        self.withdrawn_digests |= validation.withdrawn_digests
        for change in validation.changes:
            self.tables.put(change.kind, change.key, change.values)
        self._add_delta([change.as_list() for change in validation.changes])
        answer = answers.Answer(
            note.number,
            self.revision,
            _time_field(body),
            note.operator,
            note.digest(),
        )
        self.answers.append(answer)
        self._append_to_trail(body, 'note', True, note.summary(), number)
        return Reply(True, 200, answer.as_json())

    def check_note(
        self, body: Any, operator: str | None, confirmed_revision: int
    ) -> Reply:
        """Return the reply that a note would get, without applying it."""
        command = {
            'note': body,
            'operator': operator,
            'confirmed_revision': confirmed_revision,
        }
        try:
            note = self._parse_note(command)
            previous = self._accepted_answer(note)
            if previous is not None:
                return Reply(True, 200, previous.as_json())
            validation = self._validate_note(note, command)
        except errors.RidgeError as exc:
            return Reply.from_error(exc)
        changes = [f'{c.kind} {c.key}' for c in validation.changes]
        answer = {'number': note.number, 'digest': note.digest()}
        return Reply(True, 200, {**answer, 'changes': changes})

    def _parse_note(self, body: _Command) -> notes.Note:
        note = notes.parse(body.get('note'), body.get('operator'))
        digest = body.get('digest')
        if digest is not None and digest != note.digest():
            raise errors.BadRequestError(
                'the digest of the request differs from that of the note',
                kind='digest_mismatch',
            )
        return note

    def _accepted_answer(self, note: notes.Note) -> answers.Answer | None:
        last = self.answers.last()
        if last is None or note.number > last.number:
            return None
        answer = self.answers.get(note.number)
        if answer is None:
            raise StaleNumberError(
                f'note number {note.number} is not above {last.number}, the '
                'last accepted one, and no kept answer has it'
            )
        if answer.digest != note.digest():
            raise NumberTakenError(
                f'note number {note.number} was accepted from '
                f'{answer.operator!r} with other content, digest '
                f'{answer.digest}'
            )
        return answer

    def _validate_note(
        self, note: notes.Note, body: _Command
    ) -> notes.ValidationResult:
        confirmed = body.get('confirmed_revision')
        if not isinstance(confirmed, int):
            confirmed = 0
        # An entry process starts with the revision at its registration or a
        # later one, so it has confirmed at least that revision.
        confirmed = min(
            (max(confirmed, e.revision) for e in self.entries.values()),
            default=self.revision,
        )
        validator = notes.Validator(
            self.tables,
            self.withdrawn_ids,
            self.withdrawn_digests,
            self.revision + 1,
            confirmed,
        )
        return validator.validate(note)

    def _apply_configuration(self, body: _Command) -> Reply:
        """Apply a complete configuration if its number is a new maximum."""
        whole = wholeconfig.parse(body.get('configuration'))
        source = _text_field(body, 'source')
        if whole.number <= self.whole_number:
            return Reply(
                True, 200, {'number': self.whole_number, 'changed': False}
            )
        changes = whole.changes(self.tables)
        for change in changes:
            self.tables.put(change.kind, change.key, change.values)
        self.whole_number = whole.number
        self.whole_source = source
        self._add_delta([change.as_list() for change in changes])
        what = f'{len(changes)} records changed'
        self._append_to_trail(body, 'configuration', True, what, whole.number)
        return Reply(True, 200, {'number': whole.number, 'changed': True})

    def _apply_refused_note(self, body: _Command) -> Reply:
        what = _text_field(body, 'what')
        number = body.get('number')
        if not isinstance(number, int):
            number = None
        self._append_to_trail(body, 'note', False, what, number)
        return Reply(True, 200, {})

    def _apply_group(self, body: _Command) -> Reply:
        view = grouprecords.from_json(body.get('group') or {})
        previous = self.groups.get(view.group)
        if previous is not None:
            _check_group_successor(previous, view)
            if grouprecords.same_view(previous, view):
                # Members of earlier releases count no change here either.
                self.groups[view.group] = view
                revision = self.groups_revision
                return Reply(True, 200, {'groups_revision': revision})
        self.groups_revision += 1
        self.groups[view.group] = view
        self.group_revisions[view.group] = self.groups_revision
        what = (
            f'group {view.group} term {view.term} primary '
            f'{view.primary or "none"}{" changing" if view.changing else ""}'
            f' members {" ".join(sorted(view.members)) or "none"}'
        )
        self._append_to_trail(body, 'group', True, what)
        return Reply(True, 200, {'groups_revision': self.groups_revision})

    def _apply_entry(self, body: _Command) -> Reply:
        entry = _text_field(body, 'entry')
        action = body.get('action')
        if action == 'register':
            changed = self._register_entry(entry, body)
        elif action == 'remove':
            changed = self.entries.pop(entry, None) is not None
        else:
            message = (
                f"action {notes.show(action)} is not 'register' or 'remove'"
            )
            raise errors.BadRequestError(message)
        if changed:
            self.entries_revision += 1
            self._append_to_trail(body, 'entry', True, f'{action} {entry}')
        return Reply(True, 200, {'entries_revision': self.entries_revision})

    def _register_entry(self, entry: str, body: _Command) -> bool:
        zone = _text_field(body, 'zone')
        address = _text_field(body, 'address')
        previous = self.entries.get(entry)
        if previous is not None:
            if (previous.zone, previous.address) == (zone, address):
                return False
            previous.zone = zone
            previous.address = address
            return True
        process = EntryProcess(entry, zone, address, self.revision)
        self.entries[entry] = process
        return True

    def _apply_audit(self, body: _Command) -> Reply:
        accepted = body.get('accepted', True) is True
        self._append_to_trail(
            body,
            _text_field(body, 'kind'),
            accepted,
            _text_field(body, 'what'),
        )
        return Reply(True, 200, {})

    def _apply_zone(self, body: _Command) -> Reply:
        order = zonedrain.ZoneOrder(self.tables, body)
        if order.changes:
            self._add_delta(order.changes)
            self._append_to_trail(body, 'zone', True, order.summary)
        return Reply(True, 200, order.answer)

    def _append_to_trail(
        self,
        body: _Command,
        kind: str,
        accepted: bool,
        what: str,
        number: int | None = None,
    ) -> None:
        self.trail.append(
            time=_time_field(body),
            who=str(body.get('operator') or 'system'),
            address=str(body.get('address') or ''),
            kind=kind,
            accepted=accepted,
            revision=self.revision,
            what=what,
            number=number,
        )

    def _add_delta(self, changes: list[list[Any]]) -> None:
        self.revision += 1
        delta = {'revision': self.revision, 'changes': changes}
        self._deltas.append(orjson.dumps(delta))

    # Reads by members and entry processes

    def accounts(self) -> Iterable[configuration.Account]:
        """Return all client accounts."""
        return self.tables.all(configuration.ACCOUNT)

    def services(self) -> Iterable[configuration.Service]:
        """Return all services."""
        return self.tables.all(configuration.SERVICE)

    def deltas_since(
        self, revision: int, max_bytes: int | None = None
    ) -> list[bytes] | None:
        """Return the deltas after a revision, None if a full copy is needed.

        With ``max_bytes`` only the first deltas that fit are returned, but at
        least one. The list is empty for a revision ahead of this member's.
        """
        missing = self.revision - revision
        if missing <= 0:
            return []
        if missing > len(self._deltas):
            return None
        start = len(self._deltas) - missing
        deltas = list(itertools.islice(self._deltas, start, None))
        if max_bytes is None:
            return deltas
        size = 0
        for position, delta in enumerate(deltas):
            size += len(delta)
            if size > max_bytes and position:
                return deltas[:position]
        return deltas

    def full(self) -> bytes:
        """Return the full configuration, encoded for an entry process."""
        return orjson.dumps(
            {
                'revision': self.revision,
                'session_secret': self.session_secret,
                'tables': self.tables.dump(),
            }
        )

    def groups_since(self, groups_revision: int) -> list[model.GroupView]:
        """Return the groups that changed after a ``groups_revision``."""
        return [
            self.groups[name]
            for name, revision in sorted(self.group_revisions.items())
            if revision > groups_revision
        ]

    def encode(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        entries = [
            self.entries[name].as_json() for name in sorted(self.entries)
        ]
        groups = [
            grouprecords.as_json(self.groups[name])
            for name in sorted(self.groups)
        ]
        return orjson.dumps(
            {
                'format': SNAPSHOT_FORMAT,
                'index': self.index,
                'revision': self.revision,
                'session_secret': self.session_secret,
                'tables': self.tables.dump(),
                'withdrawn_ids': sorted(self.withdrawn_ids),
                'withdrawn_digests': sorted(self.withdrawn_digests),
                'groups': groups,
                'groups_revision': self.groups_revision,
                'group_revisions': self.group_revisions,
                'entries': entries,
                'entries_revision': self.entries_revision,
                'answers': self.answers.dump(),
                'trail': self.trail.dump(),
                'whole_number': self.whole_number,
                'whole_source': self.whole_source,
                'deltas': [orjson.Fragment(delta) for delta in self._deltas],
            },
            option=orjson.OPT_SORT_KEYS,
        )

    @classmethod
    def decode(
        cls,
        data: bytes,
        *,
        answer_limit: int = answers.MAX_ANSWERS,
        audit_limit: int = audit.MAX_AUDIT_ENTRIES,
        delta_limit: int = MAX_DELTAS,
    ) -> 'State':
        """Return the state in a snapshot; raise StorageError if damaged."""
        state = cls(
            answer_limit=answer_limit,
            audit_limit=audit_limit,
            delta_limit=delta_limit,
        )
        try:
            state._load(orjson.loads(data), answer_limit, audit_limit)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise errors.StorageError(f'the snapshot is damaged: {exc!r}')
        return state

    def _load(
        self, body: dict[str, Any], answer_limit: int, audit_limit: int
    ) -> None:
        if body['format'] != SNAPSHOT_FORMAT:
            raise ValueError(f'unknown format {body["format"]}')
        self.index = body['index']
        self.revision = body['revision']
        self.session_secret = body['session_secret']
        self.tables = configuration.Tables.load(body['tables'])
        self.withdrawn_ids = set(body['withdrawn_ids'])
        self.withdrawn_digests = set(body['withdrawn_digests'])
        views = [grouprecords.from_json(group) for group in body['groups']]
        self.groups = {view.group: view for view in views}
        self.groups_revision = body['groups_revision']
        self.group_revisions = body['group_revisions']
        processes = [EntryProcess(**entry) for entry in body['entries']]
        self.entries = {process.entry: process for process in processes}
        self.entries_revision = body['entries_revision']
        self.answers = answers.AnswerLog.load(body['answers'], answer_limit)
        self.trail = audit.AuditTrail.load(body['trail'], audit_limit)
        # Missing in snapshots of versions without complete configurations.
        self.whole_number = body.get('whole_number', -1)
        self.whole_source = body.get('whole_source', '')
        self._deltas.extend(orjson.dumps(delta) for delta in body['deltas'])


def _check_group_successor(
    previous: model.GroupView, view: model.GroupView
) -> None:
    """Refuse a record that would allow two primaries in one term."""
    if view.term < previous.term:
        raise StaleGroupError(
            f'term {view.term} of group {view.group!r} is below the stored '
            f'term {previous.term}'
        )
    for term, start in view.starts.items():
        if previous.starts.get(term, start) != start:
            raise StaleGroupError(
                f'term {term} of group {view.group!r} started at '
                f'{previous.starts[term]}, not at {start}'
            )
    same_term = view.term == previous.term
    chosen = previous.primary is not None
    if same_term and chosen and view.primary != previous.primary:
        raise StaleGroupError(
            f'term {view.term} of group {view.group!r} already has the '
            f'primary {previous.primary!r}'
        )


def _note_number(note: Any) -> int | None:
    number = note.get('number') if isinstance(note, dict) else None
    valid = isinstance(number, int) and abs(number) <= notes.MAX_SAFE_INTEGER
    return number if valid else None


def _text_field(body: _Command, name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str):
        message = f'field {name!r} of the command is not a string'
        raise errors.BadRequestError(message)
    return value


def _time_field(body: _Command) -> float:
    value = body.get('time')
    return float(value) if isinstance(value, int | float) else 0.0


class ConfigView:
    """Hold the configuration copy of an entry process.

    ``revision`` is 0 before the first copy and never decreases.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.session_secret = b''
        self._tables = configuration.Tables()

    def load(self, full: bytes) -> None:
        """Replace the copy by a full copy, unless that is older."""
        body = orjson.loads(full)
        if body['revision'] < self.revision:
            return
        self._tables = configuration.Tables.load(body['tables'])
        self.session_secret = bytes.fromhex(body['session_secret'])
        self.revision = body['revision']

    def apply(self, delta: bytes) -> None:
        """Apply the next delta and ignore older ones.

        Raises RevisionGapError if a delta in between is missing.
        """
        body = orjson.loads(delta)
        if body['revision'] <= self.revision:
            return
        if body['revision'] != self.revision + 1:
            raise RevisionGapError(
                f'delta {body["revision"]} does not follow revision '
                f'{self.revision}'
            )
        for kind, key, values in body['changes']:
            if kind == 'session_secret':
                self.session_secret = bytes.fromhex(values)
            else:
                self._tables.put(kind, key, values)
        self.revision = body['revision']

    def account_by_key_digest(
        self, secret_digest: str
    ) -> configuration.Account | None:
        """Return the client account of a key by its SHA-256 hex digest."""
        key = self._tables.key_by_digest(secret_digest)
        if key is None:
            return None
        return self.account(key.account)

    def account(self, name: str) -> configuration.Account | None:
        """Return a client account or None."""
        account: configuration.Account | None = self._tables.get(
            configuration.ACCOUNT, name
        )
        return account

    def service(self, name: str) -> configuration.Service | None:
        """Return a service or None."""
        service: configuration.Service | None = self._tables.get(
            configuration.SERVICE, name
        )
        return service

    def route(self, path: str) -> configuration.Route | None:
        """Return a route or None."""
        route: configuration.Route | None = self._tables.get(
            configuration.ROUTE, path
        )
        return route

    def may_use(self, account: str, service: str) -> bool:
        """Return whether the account may use the service."""
        return self._tables.is_granted(account, service)

    def accounts(self) -> Iterable[configuration.Account]:
        """Return all client accounts."""
        return self._tables.all(configuration.ACCOUNT)

    def routes(self) -> Iterable[configuration.Route]:
        """Return the routes, ordered by path."""
        return self._tables.all(configuration.ROUTE)

    def services(self) -> Iterable[configuration.Service]:
        """Return all services."""
        return self._tables.all(configuration.SERVICE)

    def drained_zones(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        return self._tables.drained_zones()
