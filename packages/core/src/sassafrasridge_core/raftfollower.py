"""The follower's side of Raft: appending entries and receiving snapshots."""

import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmessages

ResponseFields = dict[str, typing.Any]


class LogReceiver:
    """Apply the leader's append and snapshot messages to the log.

    The methods return the fields of the response message. ``restored`` is set
    when a snapshot was installed; the caller clears it.
    """

    __slots__ = (
        'restored',
        '_log',
        '_max_snapshot_bytes',
        '_transfer_id',
        '_received',
    )

    def __init__(self, log: raftlog.Log, max_snapshot_bytes: int) -> None:
        self.restored = False
        self._log = log
        self._max_snapshot_bytes = max_snapshot_bytes
        self._transfer_id: tuple[str, int, int, int, int] | None = None
        self._received = bytearray()

    def handle_append(self, message: raftmessages.Message) -> ResponseFields:
        """Append the entries if the entry before them matches.

        Otherwise return a rejection with a hint for the next probe.
        """
        log = self._log
        previous_index = message.index
        if (
            previous_index > log.commit_index
            and log.term_at(previous_index) != message.log_term
        ):
            return self._reject(previous_index, message.log_term)
        for entry in message.entries:
            # Committed entries match already. Matching entries stay: a
            # delayed message must not remove entries that a later message
            # has appended.
            if (
                entry.index > log.commit_index
                and log.term_at(entry.index) != entry.term
            ):
                log.append(entry)
        matched = previous_index + len(message.entries)
        log.commit_to(min(message.commit, matched))
        return {'index': max(matched, log.commit_index), 'granted': True}

    def _reject(self, previous_index: int, log_term: int) -> ResponseFields:
        """Return a rejection with the last entry that may match.

        The leader thereby skips whole terms instead of single entries.
        """
        index = min(self._log.last_index, previous_index)
        while index > self._log.commit_index:
            if (self._log.term_at(index) or 0) <= log_term:
                break
            index -= 1
        return {
            'index': index,
            'log_term': self._log.term_at(index) or 0,
            'offset': previous_index,
        }

    def handle_snapshot(
        self, message: raftmessages.Message
    ) -> ResponseFields | None:
        """Collect snapshot chunks; install the snapshot when complete.

        Returns None, for no response, when the snapshot is too large.
        """
        if message.total > self._max_snapshot_bytes:
            return None
        if message.index > self._log.commit_index:
            self._store_chunk(message)
            if len(self._received) < message.total:
                return {'index': message.index, 'offset': len(self._received)}
            self._install_snapshot(message)
        return {'index': self._log.commit_index, 'granted': True}

    def _store_chunk(self, message: raftmessages.Message) -> None:
        transfer_id = (
            message.sender,
            message.term,
            message.index,
            message.log_term,
            message.total,
        )
        if self._transfer_id != transfer_id:
            self._transfer_id = transfer_id
            self._received = bytearray()
        size = len(self._received)
        if (
            message.offset == size
            and size + len(message.data) <= message.total
        ):
            self._received += message.data

    def _install_snapshot(self, message: raftmessages.Message) -> None:
        self._log.restore(
            raftlog.Snapshot(
                message.index,
                message.log_term,
                message.members or {},
                bytes(self._received),
            )
        )
        self._transfer_id = None
        self._received = bytearray()
        self.restored = True
