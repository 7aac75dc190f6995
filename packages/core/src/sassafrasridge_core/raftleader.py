"""The leader's side of Raft: replication, quorum and lease."""

import collections.abc
import dataclasses
import math
import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


@dataclasses.dataclass(slots=True, frozen=True)
class RaftConfig:
    """Hold the timeouts and limits of the replicated log.

    The leader lease is shorter than the minimum election timeout by
    ``clock_drift_margin`` (a fraction), because voters measure the timeout
    with their own clocks, which run at slightly different rates.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    # A pre-vote does not change any term, so it can be retried early.
    prevote_retry_min_s: float = 0.1
    prevote_retry_max_s: float = 0.3
    resend_s: float = 0.3
    clock_drift_margin: float = 0.02
    max_entry_bytes: int = 1024 * 1024
    max_message_bytes: int = 1024 * 1024
    max_message_entries: int = raftmessages.MAX_MESSAGE_ENTRIES
    max_in_flight: int = 8
    max_pending_entries: int = 4096
    max_pending_bytes: int = 16 * 1024 * 1024
    snapshot_chunk_bytes: int = 1024 * 1024
    max_snapshot_bytes: int = 256 * 1024 * 1024

    @property
    def lease_s(self) -> float:
        """Return how long a quorum's acknowledgement is valid, in s.

        It counts from when the acknowledged message was sent.
        """
        return self.election_min_s * (1 - self.clock_drift_margin)


class Send(typing.Protocol):
    """Describe the callback that queues an outgoing message.

    It fills in the sender, its disk id and, unless given, the term.
    """

    def __call__(
        self, kind: str, recipient: str, **fields: typing.Any
    ) -> None:
        """Queue a message of ``kind`` for ``recipient``."""


class Progress:
    """Track the replication to one other member.

    While ``probing``, append messages without entries search for the last
    matching entry. ``waiting_since`` is when the oldest message without a
    response was sent, None when there is none. ``acked_at`` is when the newest
    acknowledged message was sent, by the leader's clock. ``in_flight`` holds
    the last index of each unacknowledged append message.
    """

    __slots__ = (
        'disk_id',
        'match_index',
        'next_index',
        'in_flight',
        'probing',
        'waiting_since',
        'acked_at',
        'snapshot',
        'snapshot_offset',
    )

    def __init__(self, disk_id: str, next_index: int) -> None:
        self.disk_id = disk_id
        self.match_index = 0
        self.next_index = next_index
        self.in_flight: list[int] = []
        self.probing = False
        self.waiting_since: float | None = None
        self.acked_at = -math.inf
        self.snapshot: raftlog.Snapshot | None = None
        self.snapshot_offset = 0

    def record_match(self, now: float, index: int) -> None:
        """Record that the member's log matches up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight = [
            item for item in self.in_flight if item > self.match_index
        ]
        self.probing = False
        self.waiting_since = now if self.in_flight else None

    def start_probing(self, next_index: int) -> None:
        """Discard the in-flight state and probe from ``next_index``."""
        self.next_index = max(next_index, self.match_index + 1)
        self.in_flight = []
        self.probing = True
        self.waiting_since = None


class Leadership:
    """Replicate the log as the leader of one term.

    ``term_start_index`` is the index of the first entry of this term.
    """

    __slots__ = (
        'term_start_index',
        '_name',
        '_log',
        '_cfg',
        '_send',
        '_elected_at',
        '_heartbeat_at',
        '_progress',
    )

    def __init__(
        self,
        name: str,
        log: raftlog.Log,
        cfg: RaftConfig,
        send: Send,
        now: float,
    ) -> None:
        self.term_start_index = log.last_index + 1
        self._name = name
        self._log = log
        self._cfg = cfg
        self._send = send
        self._elected_at = now
        self._heartbeat_at = now
        self._progress: dict[str, Progress] = {}

    def sync_members(self) -> None:
        """Update the tracked members; reset one whose disk was replaced."""
        members = self._log.members
        for name in list(self._progress):
            member = members.get(name)
            if (
                member is None
                or member.disk_id != self._progress[name].disk_id
            ):
                del self._progress[name]
        for name, member in members.items():
            if name != self._name and name not in self._progress:
                self._progress[name] = Progress(
                    member.disk_id, self._log.last_index
                )

    def progress_of(self, name: str) -> Progress | None:
        """Return the progress of another member, None if not tracked."""
        return self._progress.get(name)

    def quorum_index(self) -> int:
        """Return the highest index that a quorum has persisted."""
        return int(
            self._quorum_value(
                self._log.persisted_index,
                lambda progress: progress.match_index,
            )
        )

    def quorum_acked_at(self, now: float) -> float:
        """Return the latest send time, in s, acknowledged by a quorum."""
        return self._quorum_value(now, lambda progress: progress.acked_at)

    def has_quorum(self, now: float) -> bool:
        """Return whether a quorum responded within the election timeout.

        A leader without it steps down.
        """
        latest = max(self.quorum_acked_at(now), self._elected_at)
        return now - latest <= self._cfg.election_max_s

    def has_lease(self, now: float) -> bool:
        """Return whether no other member can have been elected yet."""
        return now < self.quorum_acked_at(now) + self._cfg.lease_s

    def _quorum_value(
        self, own: float, value: collections.abc.Callable[[Progress], float]
    ) -> float:
        members = self._log.members
        values = [
            own if name == self._name else value(self._progress[name])
            for name in raftmembers.voters(members)
        ]
        values.sort(reverse=True)
        return values[raftmembers.quorum(members) - 1]

    def send_heartbeats(self, now: float) -> None:
        """Send the commit index to all members and request a response."""
        self._heartbeat_at = now
        for name, progress in self._progress.items():
            self._send(
                raftmessages.HEARTBEAT,
                name,
                commit=min(self._log.commit_index, progress.match_index),
                sent_at=now,
            )

    def tick(self, now: float) -> None:
        """Send due heartbeats and resend unacknowledged messages."""
        if now >= self._heartbeat_at + self._cfg.heartbeat_s:
            self.send_heartbeats(now)
        for progress in self._progress.values():
            since = progress.waiting_since
            if since is not None and now - since >= self._cfg.resend_s:
                if progress.snapshot is None:
                    self._restart_probing(progress)
                progress.waiting_since = None
        self.replicate(now)

    def _restart_probing(self, progress: Progress) -> None:
        if progress.probing:
            progress.start_probing(progress.next_index)
        elif progress.match_index:
            progress.start_probing(progress.match_index + 1)
        else:
            # No match is known yet. The rejection of this probe contains a
            # hint, whereas starting at entry 1 would resend the whole log.
            progress.start_probing(self.term_start_index)

    def replicate(self, now: float) -> None:
        """Send each member its missing entries, within the limits."""
        for name in self._progress:
            self._replicate_to(now, name)

    def handle_response(
        self, now: float, message: raftmessages.Message
    ) -> None:
        """Process a response of a listed member."""
        progress = self._progress[message.sender]
        progress.acked_at = max(progress.acked_at, min(message.sent_at, now))
        if message.kind == raftmessages.APPEND_ACK:
            if message.granted:
                progress.record_match(
                    now, min(message.index, self._log.last_index)
                )
            else:
                self._on_append_rejected(progress, message)
        elif message.kind == raftmessages.SNAPSHOT_ACK:
            self._on_snapshot_response(now, progress, message)
        self._replicate_to(now, message.sender)

    def _on_append_rejected(
        self, progress: Progress, message: raftmessages.Message
    ) -> None:
        # Ignore an outdated rejection: the member has matched this index
        # since, gets a snapshot, or is probed at another index.
        rejected_index = message.offset
        if (
            rejected_index <= progress.match_index
            or progress.snapshot is not None
        ):
            return
        if progress.probing and rejected_index != progress.next_index - 1:
            return
        index = min(message.index, rejected_index - 1, self._log.last_index)
        while index > progress.match_index:
            term = self._log.term_at(index)
            if term is None or term <= message.log_term:
                break
            index -= 1
        progress.start_probing(index + 1)

    def _on_snapshot_response(
        self, now: float, progress: Progress, message: raftmessages.Message
    ) -> None:
        if message.granted:
            progress.snapshot = None
            progress.record_match(
                now, min(message.index, self._log.last_index)
            )
        elif (
            progress.snapshot is not None
            and message.index == progress.snapshot.index
        ):
            progress.snapshot_offset = min(
                message.offset, len(progress.snapshot.data)
            )
            progress.waiting_since = None

    def _replicate_to(self, now: float, name: str) -> None:
        progress = self._progress[name]
        if progress.snapshot is not None:
            self._send_snapshot_chunk(now, name, progress)
            return
        while progress.probing or progress.next_index <= self._log.last_index:
            term = self._log.term_at(progress.next_index - 1)
            if term is None:
                progress.snapshot = self._log.snapshot
                progress.snapshot_offset = 0
                progress.waiting_since = None
                self._send_snapshot_chunk(now, name, progress)
                return
            if progress.probing and progress.waiting_since is not None:
                return
            if len(progress.in_flight) >= self._cfg.max_in_flight:
                return
            self._send_entries(now, name, progress, term)
            if progress.probing:
                return

    def _send_entries(
        self, now: float, name: str, progress: Progress, log_term: int
    ) -> None:
        entries: list[raftlog.Entry] = []
        before = progress.next_index - 1
        if not progress.probing:
            entries = self._log.batch(
                progress.next_index,
                self._cfg.max_message_entries,
                self._cfg.max_message_bytes,
            )
            progress.next_index = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)
        if progress.waiting_since is None:
            progress.waiting_since = now
        self._send(
            raftmessages.APPEND,
            name,
            index=before,
            log_term=log_term,
            commit=self._log.commit_index,
            entries=entries,
            sent_at=now,
        )

    def _send_snapshot_chunk(
        self, now: float, name: str, progress: Progress
    ) -> None:
        snapshot = progress.snapshot
        if snapshot is None or progress.waiting_since is not None:
            return
        progress.waiting_since = now
        end = progress.snapshot_offset + self._cfg.snapshot_chunk_bytes
        self._send(
            raftmessages.SNAPSHOT,
            name,
            index=snapshot.index,
            log_term=snapshot.term,
            members=snapshot.members,
            offset=progress.snapshot_offset,
            total=len(snapshot.data),
            data=snapshot.data[progress.snapshot_offset : end],
            sent_at=now,
        )
