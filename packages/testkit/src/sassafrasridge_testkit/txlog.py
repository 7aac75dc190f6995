"""Log of the committed transactions of a stand-in server.

An entry is identified by (term, index). ``last_term`` is the newest term
whose start position this log has reached: it is raised only once every entry
up to that position is present. Comparing logs by (last_term, length) therefore
never prefers a log that lacks a write that a majority has received.
"""

import pathlib
import time
import typing

import orjson

from sassafrasridge_testkit import engine


class Entry:
    """A committed transaction in the form in which it is replicated."""

    __slots__ = ('term', 'statements', 'request', 'received_at')

    def __init__(
        self,
        term: int,
        statements: list[engine.Statement],
        request: engine.RequestRow | None,
    ) -> None:
        self.term = term
        self.statements = statements
        self.request = request
        self.received_at = time.monotonic()

    def encode(self) -> dict[str, typing.Any]:
        """Return the entry as JSON-serializable data."""
        return {
            'term': self.term,
            'statements': [list(item) for item in self.statements],
            'request': list(self.request) if self.request else None,
        }

    @classmethod
    def decode(cls, data: dict[str, typing.Any]) -> 'Entry':
        """Return the entry that ``encode`` encoded."""
        request = data['request']
        return cls(
            data['term'],
            [engine.Statement(*item) for item in data['statements']],
            engine.RequestRow(*request) if request else None,
        )


class Log:
    """Store the entries, numbered from 1, and the state of this server.

    ``start`` is the position after which ``last_term`` begins.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.entries: list[Entry] = []
        self.term = 0
        self.last_term = 0
        self.start = 0
        self.role = 'replica'
        self.members: dict[str, str] = {}
        self._request_indexes: dict[tuple[str, str], int] = {}
        self._file: typing.BinaryIO | None = None
        if path is not None:
            self._load(path)
            self._file = path.open('ab', buffering=0)

    def __len__(self) -> int:
        return len(self.entries)

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or 0 for index 0."""
        return self.entries[index - 1].term if index else 0

    def request_index(self, account: str, id_: str) -> int:
        """Return the index of the entry of a request, or 0 if unknown."""
        return self._request_indexes.get((account, id_), 0)

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self._append_in_memory(entry)
        self._write_record({'entry': entry.encode()})
        return len(self.entries)

    def truncate(self, length: int) -> None:
        """Remove all entries after the first ``length``."""
        if length >= len(self.entries):
            return
        self._truncate_in_memory(length)
        self._write_record({'length': length})
        if length < self.start:
            self.last_term = self.term_at(length)
            self.start = length
            self.save_state()

    def enter_term(self, term: int, start: int) -> None:
        """Record that all entries up to the start of a term are present."""
        if (self.last_term, self.start) != (term, start):
            self.last_term = term
            self.start = start
            self.save_state()

    def save_state(self) -> None:
        """Write the terms, the role and the members to the file."""
        self._write_record(
            {
                'state': {
                    'term': self.term,
                    'last_term': self.last_term,
                    'start': self.start,
                    'role': self.role,
                    'members': self.members,
                }
            }
        )

    def _append_in_memory(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.request is not None:
            key = (entry.request.account, entry.request.id)
            self._request_indexes[key] = len(self.entries)

    def _truncate_in_memory(self, length: int) -> None:
        for entry in self.entries[length:]:
            if entry.request is not None:
                key = (entry.request.account, entry.request.id)
                self._request_indexes.pop(key, None)
        del self.entries[length:]

    def _write_record(self, record: dict[str, typing.Any]) -> None:
        if self._file is not None:
            self._file.write(orjson.dumps(record) + b'\n')

    def _load(self, path: pathlib.Path) -> None:
        if not path.exists():
            return
        data = path.read_bytes()
        complete_bytes = data.rfind(b'\n') + 1
        if complete_bytes < len(data):
            # A process killed during a write leaves a partial last record.
            with path.open('r+b') as file:
                file.truncate(complete_bytes)
        for line in data[:complete_bytes].splitlines():
            record = orjson.loads(line)
            if 'entry' in record:
                self._append_in_memory(Entry.decode(record['entry']))
            elif 'length' in record:
                self._truncate_in_memory(record['length'])
            else:
                for name, value in record['state'].items():
                    setattr(self, name, value)
