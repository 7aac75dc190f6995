"""Entries, snapshots and the in-memory part of the replicated log."""

import collections.abc
import dataclasses

from sassafrasridge_core import raftmembers

COMMAND = 'command'
MEMBERS = 'members'
NOOP = 'noop'
KINDS = (COMMAND, MEMBERS, NOOP)


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Hold one entry of the log; ``kind`` is one of KINDS."""

    index: int
    term: int
    kind: str
    payload: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Hold the state after the entry ``index`` of ``term``."""

    index: int
    term: int
    members: raftmembers.Members
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class HardState:
    """Hold the term and the vote in it (a name, '' for none)."""

    term: int = 0
    vote: str = ''


class Log:
    """Keep the entries after the snapshot and know which are persisted.

    ``stable`` is the last index known to be persisted, ``handed`` the last
    index that was given to the storage, ``commit`` the last committed index,
    ``pending_bytes`` the size of the payloads after it.
    """

    __slots__ = (
        'snapshot',
        'stable',
        'handed',
        'commit',
        'pending_bytes',
        '_base',
        '_entries',
        '_truncated',
        '_configs',
    )

    def __init__(
        self,
        members: raftmembers.Members,
        snapshot: Snapshot | None,
        entries: collections.abc.Iterable[Entry],
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        self._base = (0, 0)
        if snapshot is not None:
            self._base = (snapshot.index, snapshot.term)
            members = snapshot.members
        self.commit = self._base[0]
        self.pending_bytes = 0
        self._configs = [(self._base[0], members)]
        for entry in self._entries:
            self._note(entry)
        self.stable = self.handed = self.last_index
        self._truncated: int | None = None

    @property
    def base_index(self) -> int:
        """Return the index that the snapshot covers, 0 without one."""
        return self._base[0]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base[0] + len(self._entries)

    @property
    def last(self) -> tuple[int, int]:
        """Return (term, index) of the last entry."""
        term = self._entries[-1].term if self._entries else self._base[1]
        return term, self.last_index

    @property
    def members(self) -> raftmembers.Members:
        """Return the newest membership, committed or not."""
        return self._configs[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry with the newest membership."""
        return self._configs[-1][0]

    def members_at(self, index: int) -> raftmembers.Members:
        """Return the membership that is in force after ``index``."""
        found = self._configs[0][1]
        for position, members in self._configs:
            if position <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when it isn't held."""
        if index == self._base[0]:
            return self._base[1]
        offset = index - self._base[0] - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        start = self._base[0] + 1
        return self._entries[max(first - start, 0) : max(last - start + 1, 0)]

    def batch(self, first: int, limit: int, limit_bytes: int) -> list[Entry]:
        """Return entries from ``first``, at least one when it exists."""
        chosen: list[Entry] = []
        size = 0
        for entry in self.between(first, first + limit - 1):
            size += len(entry.payload)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: Entry) -> None:
        """Add an entry, and drop what it replaces."""
        if entry.index <= self.last_index:
            self._truncate(entry.index)
        self._entries.append(entry)
        self._note(entry)

    def commit_to(self, index: int) -> None:
        """Raise the commit index, at most to the last entry."""
        index = min(index, self.last_index)
        for entry in self.between(self.commit + 1, index):
            self.pending_bytes -= len(entry.payload)
        self.commit = max(self.commit, index)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by it."""
        members = self.members_at(snapshot.index)
        del self._entries[: snapshot.index - self._base[0]]
        self._base = (snapshot.index, snapshot.term)
        self._configs = [(snapshot.index, members)] + [
            item for item in self._configs if item[0] > snapshot.index
        ]
        self.snapshot = snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Take a snapshot of the leader; keep a suffix that continues it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.commit_to(snapshot.index)
            self.compact(snapshot)
        else:
            self._entries = []
            self._base = (snapshot.index, snapshot.term)
            self._configs = [(snapshot.index, snapshot.members)]
            self.snapshot = snapshot
            self.commit = snapshot.index
            self.pending_bytes = 0
            self._truncated = snapshot.index + 1
            self.stable = self.handed = snapshot.index
        self.stable = max(self.stable, snapshot.index)
        self.handed = max(self.handed, snapshot.index)

    def hand_out(self) -> tuple[int | None, list[Entry]]:
        """Return (truncate_from, entries) that the storage lacks."""
        truncated, self._truncated = self._truncated, None
        entries = self.between(self.handed + 1, self.last_index)
        self.handed = self.last_index
        return truncated, entries

    def _truncate(self, index: int) -> None:
        for entry in self.between(index, self.last_index):
            self.pending_bytes -= len(entry.payload)
        del self._entries[index - self._base[0] - 1 :]
        while len(self._configs) > 1 and self._configs[-1][0] >= index:
            self._configs.pop()
        if index <= self.handed:
            self._truncated = min(index, self._truncated or index)
        self.handed = min(self.handed, index - 1)
        self.stable = min(self.stable, index - 1)

    def _note(self, entry: Entry) -> None:
        self.pending_bytes += len(entry.payload)
        if entry.kind == MEMBERS:
            members = raftmembers.decode(entry.payload)
            self._configs.append((entry.index, members))
