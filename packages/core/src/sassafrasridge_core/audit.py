"""The bounded audit trail of changes."""

import collections
from collections.abc import Iterator
from typing import Any

import orjson

# The oldest entries are dropped beyond this many: 11 days of 1,700 changes.
AUDIT_LIMIT = 20_000
MAX_TEXT = 2_000


class Trail:
    """Hold who changed or tried to change what, oldest first.

    An entry has ``sequence``, ``time`` (wall time in s), ``who``,
    ``address``, ``kind``, ``accepted``, ``revision``, ``number`` and
    ``what``. It never holds a secret or the digest of a key.
    """

    __slots__ = ('_entries', '_sequence')

    def __init__(self, limit: int = AUDIT_LIMIT) -> None:
        self._entries: collections.deque[bytes] = collections.deque(
            maxlen=limit
        )
        self._sequence = 0

    def append(
        self,
        *,
        time: float,
        who: str,
        address: str,
        kind: str,
        accepted: bool,
        revision: int,
        what: str,
        number: int | None = None,
    ) -> None:
        """Add an entry and drop the oldest one beyond the limit."""
        self._sequence += 1
        entry = {
            'sequence': self._sequence,
            'time': time,
            'who': who,
            'address': address,
            'kind': kind,
            'accepted': accepted,
            'revision': revision,
            'number': number,
            'what': what[:MAX_TEXT],
        }
        # Encoded entries take a third of the memory of dictionaries.
        self._entries.append(orjson.dumps(entry))

    def select(
        self,
        who: str | None = None,
        kind: str | None = None,
        since: float | None = None,
        limit: int | None = None,
        after: int | None = None,
    ) -> list[dict[str, Any]]:
        """Return the matching entries, oldest first, at most the last limit.

        ``since`` is a wall time in s; entries at it are included. With
        ``after``, a sequence, the first ``limit`` entries after it.
        """
        found: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=None if after is not None else limit
        )
        for data in self._entries:
            if after is not None and len(found) == limit:
                break
            entry = orjson.loads(data)
            if after is not None and entry['sequence'] <= after:
                continue
            if who is not None and entry['who'] != who:
                continue
            if kind is not None and entry['kind'] != kind:
                continue
            if since is not None and entry['time'] < since:
                continue
            found.append(entry)
        return list(found)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._entries)

    def dump(self) -> dict[str, Any]:
        """Return the trail as values that orjson encodes."""
        entries = [orjson.Fragment(data) for data in self._entries]
        return {'sequence': self._sequence, 'entries': entries}

    @classmethod
    def load(cls, data: dict[str, Any], limit: int = AUDIT_LIMIT) -> 'Trail':
        """Return the trail that :meth:`dump` described."""
        trail = cls(limit)
        trail._sequence = data['sequence']
        trail._entries.extend(orjson.dumps(entry) for entry in data['entries'])
        return trail
