"""The audit trail of changes, limited to the newest entries."""

import collections
from collections.abc import Iterator
from typing import Any

import orjson

# Older entries are dropped. This covers 11 days at 1,700 changes per day.
MAX_AUDIT_ENTRIES = 20_000
# Longer ``what`` texts are cut to this many characters.
MAX_WHAT_LENGTH = 2_000


class AuditTrail:
    """Hold the accepted and refused changes and who made them, oldest first.

    An entry has ``sequence``, ``time`` (wall time in s), ``who`` (operator),
    ``address``, ``kind``, ``accepted``, ``revision``, ``number`` (of a note)
    and ``what`` (description). It never contains a secret or a key digest.
    """

    __slots__ = ('_entries', '_sequence')

    def __init__(self, limit: int = MAX_AUDIT_ENTRIES) -> None:
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
        """Append an entry; drop the oldest one if the trail is full."""
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
            'what': what[:MAX_WHAT_LENGTH],
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
        """Return the last ``limit`` matching entries, oldest first.

        ``since`` is an inclusive wall time in s. With ``after``, a sequence
        number, the first ``limit`` matching entries after it are returned.
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
        """Return the trail as values that orjson can encode."""
        entries = [orjson.Fragment(data) for data in self._entries]
        return {'sequence': self._sequence, 'entries': entries}

    @classmethod
    def load(
        cls, data: dict[str, Any], limit: int = MAX_AUDIT_ENTRIES
    ) -> 'AuditTrail':
        """Return the trail from the values of :meth:`dump`."""
        trail = cls(limit)
        trail._sequence = data['sequence']
        trail._entries.extend(orjson.dumps(entry) for entry in data['entries'])
        return trail
