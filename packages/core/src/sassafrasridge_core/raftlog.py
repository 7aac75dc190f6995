"""Log entries, snapshots and the in-memory log of a Raft member."""

import collections.abc
import dataclasses

from sassafrasridge_core import raftmembers

COMMAND = 'command'
MEMBERS = 'members'
NOOP = 'noop'
ENTRY_KINDS = (COMMAND, MEMBERS, NOOP)


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """Hold one log entry; ``kind`` is one of ENTRY_KINDS."""

    index: int
    term: int
    kind: str
    payload: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Hold the encoded state after the entry at ``index``."""

    index: int
    term: int
    members: raftmembers.Members
    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class HardState:
    """Hold the current term and the vote in it.

    ``vote`` is 'name/disk id' of the candidate, '' for no vote.
    """

    term: int = 0
    vote: str = ''


class Log:
    """Hold the entries after the snapshot and what is persisted of them.

    ``persisted_index`` is the last index known to be persisted,
    ``handed_out_index`` the last index returned to the caller for persisting
    and ``commit_index`` the last committed index. ``uncommitted_bytes`` is the
    total payload size of the uncommitted entries.
    """

    __slots__ = (
        'snapshot',
        'persisted_index',
        'handed_out_index',
        'commit_index',
        'uncommitted_bytes',
        '_base',
        '_entries',
        '_truncate_from',
        '_memberships',
    )

    def __init__(
        self,
        members: raftmembers.Members,
        snapshot: Snapshot | None,
        entries: collections.abc.Iterable[Entry],
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        # (index, term) of the last entry in the snapshot
        self._base = (0, 0)
        if snapshot is not None:
            self._base = (snapshot.index, snapshot.term)
            members = snapshot.members
        self.commit_index = self._base[0]
        self.uncommitted_bytes = 0
        # (index, members): each membership with the entry that set it
        self._memberships = [(self._base[0], members)]
        for entry in self._entries:
            self._track_entry(entry)
        self.persisted_index = self.handed_out_index = self.last_index
        self._truncate_from: int | None = None

    @property
    def base_index(self) -> int:
        """Return the last index in the snapshot, 0 without a snapshot."""
        return self._base[0]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base[0] + len(self._entries)

    @property
    def last_term_and_index(self) -> tuple[int, int]:
        """Return (term, index) of the last entry."""
        term = self._entries[-1].term if self._entries else self._base[1]
        return term, self.last_index

    @property
    def members(self) -> raftmembers.Members:
        """Return the newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the newest membership entry."""
        return self._memberships[-1][0]

    def members_at(self, index: int) -> raftmembers.Members:
        """Return the membership in effect after the entry at ``index``."""
        found = self._memberships[0][1]
        for position, members in self._memberships:
            if position <= index:
                found = members
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not in the log."""
        if index == self._base[0]:
            return self._base[1]
        offset = index - self._base[0] - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        start = self._base[0] + 1
        return self._entries[max(first - start, 0) : max(last - start + 1, 0)]

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> list[Entry]:
        """Return entries from ``first`` within the limits.

        At least one entry is returned if there is one.
        """
        chosen: list[Entry] = []
        size = 0
        for entry in self.entries_between(first, first + max_entries - 1):
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: Entry) -> None:
        """Append an entry; first remove existing entries from its index on."""
        if entry.index <= self.last_index:
            self._truncate(entry.index)
        self._entries.append(entry)
        self._track_entry(entry)

    def commit_to(self, index: int) -> None:
        """Advance the commit index, at most to the last entry."""
        index = min(index, self.last_index)
        for entry in self.entries_between(self.commit_index + 1, index):
            self.uncommitted_bytes -= len(entry.payload)
        self.commit_index = max(self.commit_index, index)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        members = self.members_at(snapshot.index)
        del self._entries[: snapshot.index - self._base[0]]
        self._base = (snapshot.index, snapshot.term)
        self._memberships = [(snapshot.index, members)] + [
            item for item in self._memberships if item[0] > snapshot.index
        ]
        self.snapshot = snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """Install the leader's snapshot; keep later entries if they match."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.commit_to(snapshot.index)
            self.compact(snapshot)
        else:
            self._entries = []
            self._base = (snapshot.index, snapshot.term)
            self._memberships = [(snapshot.index, snapshot.members)]
            self.snapshot = snapshot
            self.commit_index = snapshot.index
            self.uncommitted_bytes = 0
            self._truncate_from = snapshot.index + 1
            self.persisted_index = self.handed_out_index = snapshot.index
        self.persisted_index = max(self.persisted_index, snapshot.index)
        self.handed_out_index = max(self.handed_out_index, snapshot.index)

    def take_unpersisted(self) -> tuple[int | None, list[Entry]]:
        """Return (truncate_from, entries) to persist next.

        ``truncate_from`` is the first index of persisted entries to remove,
        None for none.
        """
        truncated, self._truncate_from = self._truncate_from, None
        entries = self.entries_between(
            self.handed_out_index + 1, self.last_index
        )
        self.handed_out_index = self.last_index
        return truncated, entries

    def _truncate(self, index: int) -> None:
        for entry in self.entries_between(index, self.last_index):
            self.uncommitted_bytes -= len(entry.payload)
        del self._entries[index - self._base[0] - 1 :]
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()
        if index <= self.handed_out_index:
            self._truncate_from = min(index, self._truncate_from or index)
        self.handed_out_index = min(self.handed_out_index, index - 1)
        self.persisted_index = min(self.persisted_index, index - 1)

    def _track_entry(self, entry: Entry) -> None:
        self.uncommitted_bytes += len(entry.payload)
        if entry.kind == MEMBERS:
            members = raftmembers.decode(entry.payload)
            self._memberships.append((entry.index, members))
