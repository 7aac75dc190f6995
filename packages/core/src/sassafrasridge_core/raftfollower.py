"""The follower's side of the replicated log: what a leader sends."""

import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmessages

Fields = dict[str, typing.Any]


class Receiver:
    """Write the leader's entries and snapshots to the log.

    The methods return the fields of the answer. ``restored`` is set when a
    snapshot has replaced the state, until the caller clears it.
    """

    __slots__ = ('restored', '_log', '_limit_bytes', '_key', '_part')

    def __init__(self, log: raftlog.Log, limit_bytes: int) -> None:
        self.restored = False
        self._log = log
        self._limit_bytes = limit_bytes
        self._key: tuple[str, int, int, int, int] | None = None
        self._part = bytearray()

    def append(self, message: raftmessages.Message) -> Fields:
        """Take entries whose predecessor matches, else say where to look."""
        log = self._log
        before = message.index
        if before > log.commit and log.term_at(before) != message.log_term:
            return self._refuse(before, message.log_term)
        for entry in message.entries:
            # Committed entries match already; a delayed message must not
            # drop entries that a later one has added.
            if (
                entry.index > log.commit
                and log.term_at(entry.index) != entry.term
            ):
                log.append(entry)
        matched = before + len(message.entries)
        log.commit_to(min(message.commit, matched))
        return {'index': max(matched, log.commit), 'granted': True}

    def _refuse(self, before: int, log_term: int) -> Fields:
        """Name the last entry that may match, to skip terms at once."""
        index = min(self._log.last_index, before)
        while index > self._log.commit:
            if (self._log.term_at(index) or 0) <= log_term:
                break
            index -= 1
        return {
            'index': index,
            'log_term': self._log.term_at(index) or 0,
            'offset': before,
        }

    def snapshot(self, message: raftmessages.Message) -> Fields | None:
        """Collect the parts of a snapshot and install it when complete."""
        if message.total > self._limit_bytes:
            return None
        if message.index > self._log.commit:
            self._collect(message)
            if len(self._part) < message.total:
                return {'index': message.index, 'offset': len(self._part)}
            self._install(message)
        return {'index': self._log.commit, 'granted': True}

    def _collect(self, message: raftmessages.Message) -> None:
        key = (
            message.sender,
            message.term,
            message.index,
            message.log_term,
            message.total,
        )
        if self._key != key:
            self._key = key
            self._part = bytearray()
        size = len(self._part)
        if (
            message.offset == size
            and size + len(message.data) <= message.total
        ):
            self._part += message.data

    def _install(self, message: raftmessages.Message) -> None:
        self._log.restore(
            raftlog.Snapshot(
                message.index,
                message.log_term,
                message.members or {},
                bytes(self._part),
            )
        )
        self._key = None
        self._part = bytearray()
        self.restored = True
