"""The leader's side of the replicated log: replication, quorum and lease."""

import collections.abc
import dataclasses
import math
import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


@dataclasses.dataclass(slots=True, frozen=True)
class RaftConfig:
    """Hold the times (seconds) and bounds of the replicated log.

    The lease is shorter than the shortest election timeout by the margin for
    clocks that drift apart, because voters measure the timeout by their own
    clocks.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    # A refused pre-vote changes no term, so it may be repeated soon.
    prevote_retry_min_s: float = 0.1
    prevote_retry_max_s: float = 0.3
    resend_s: float = 0.3
    drift_margin: float = 0.02
    max_entry_bytes: int = 1024 * 1024
    max_message_bytes: int = 1024 * 1024
    max_message_entries: int = raftmessages.MAX_ENTRIES
    max_in_flight: int = 8
    max_pending_entries: int = 4096
    max_pending_bytes: int = 16 * 1024 * 1024
    snapshot_part_bytes: int = 1024 * 1024
    max_snapshot_bytes: int = 256 * 1024 * 1024

    @property
    def lease_s(self) -> float:
        """Return how long an answered heartbeat proves leadership."""
        return self.election_min_s * (1 - self.drift_margin)


class Send(typing.Protocol):
    """Queue a message; the sender adds its identity and term."""

    def __call__(
        self, kind: str, recipient: str, **fields: typing.Any
    ) -> None:
        """Queue a message of ``kind`` for ``recipient``."""


class Progress:
    """Track what one other member holds.

    While ``probing``, empty messages look for the last entry that matches.
    ``waiting_since`` is when the oldest unanswered message was sent.
    """

    __slots__ = (
        'disk_id',
        'match',
        'next',
        'in_flight',
        'probing',
        'waiting_since',
        'acked_at',
        'snapshot',
        'offset',
    )

    def __init__(self, disk_id: str, next_index: int) -> None:
        self.disk_id = disk_id
        self.match = 0
        self.next = next_index
        self.in_flight: list[int] = []
        self.probing = False
        self.waiting_since: float | None = None
        self.acked_at = -math.inf
        self.snapshot: raftlog.Snapshot | None = None
        self.offset = 0

    def matched(self, now: float, index: int) -> None:
        """Record that the member holds the log up to ``index``."""
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.in_flight = [item for item in self.in_flight if item > self.match]
        self.probing = False
        self.waiting_since = now if self.in_flight else None

    def probe(self, next_index: int) -> None:
        """Forget what is in flight and look for the last matching entry."""
        self.next = max(next_index, self.match + 1)
        self.in_flight = []
        self.probing = True
        self.waiting_since = None


class Leadership:
    """Replicate the log during one term as leader."""

    __slots__ = (
        'first_index',
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
        self.first_index = log.last_index + 1
        self._name = name
        self._log = log
        self._cfg = cfg
        self._send = send
        self._elected_at = now
        self._heartbeat_at = now
        self._progress: dict[str, Progress] = {}

    def sync_members(self) -> None:
        """Track exactly the other members; a new disk starts afresh."""
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

    def progress(self, name: str) -> Progress | None:
        """Return what another member holds, None when it isn't one."""
        return self._progress.get(name)

    def quorum_index(self) -> int:
        """Return the highest index that a majority has persisted."""
        return int(
            self._quorum(self._log.stable, lambda progress: progress.match)
        )

    def confirmed_at(self, now: float) -> float:
        """Return when the newest message that a majority answered was sent."""
        return self._quorum(now, lambda progress: progress.acked_at)

    def has_quorum(self, now: float) -> bool:
        """Tell whether a majority answered recently enough to go on."""
        latest = max(self.confirmed_at(now), self._elected_at)
        return now - latest <= self._cfg.election_max_s

    def has_lease(self, now: float) -> bool:
        """Tell whether no other member can have been elected by now."""
        return now < self.confirmed_at(now) + self._cfg.lease_s

    def _quorum(
        self, own: float, value: collections.abc.Callable[[Progress], float]
    ) -> float:
        members = self._log.members
        values = [
            own if name == self._name else value(self._progress[name])
            for name in raftmembers.voters(members)
        ]
        values.sort(reverse=True)
        return values[raftmembers.quorum(members) - 1]

    def heartbeat(self, now: float) -> None:
        """Tell all members the commit index and ask them to confirm."""
        self._heartbeat_at = now
        for name, progress in self._progress.items():
            self._send(
                raftmessages.HEARTBEAT,
                name,
                commit=min(self._log.commit, progress.match),
                sent_at=now,
            )

    def tick(self, now: float) -> None:
        """Send heartbeats when due and repeat what got no answer."""
        if now >= self._heartbeat_at + self._cfg.heartbeat_s:
            self.heartbeat(now)
        for progress in self._progress.values():
            since = progress.waiting_since
            if since is not None and now - since >= self._cfg.resend_s:
                if progress.snapshot is None:
                    self._probe_again(progress)
                progress.waiting_since = None
        self.replicate(now)

    def _probe_again(self, progress: Progress) -> None:
        if progress.probing:
            progress.probe(progress.next)
        elif progress.match:
            progress.probe(progress.match + 1)
        else:
            # Nothing is known yet: the member's refusal says where to look.
            # Starting at entry 1 would send it everything once more.
            progress.probe(self.first_index)

    def replicate(self, now: float) -> None:
        """Send every member what it lacks, within the bounds."""
        for name in self._progress:
            self._feed(now, name)

    def acknowledged(self, now: float, message: raftmessages.Message) -> None:
        """Use the answer of a member that the membership lists."""
        progress = self._progress[message.sender]
        progress.acked_at = max(progress.acked_at, min(message.sent_at, now))
        if message.kind == raftmessages.APPEND_ACK:
            if message.granted:
                progress.matched(now, min(message.index, self._log.last_index))
            else:
                self._refused(progress, message)
        elif message.kind == raftmessages.SNAPSHOT_ACK:
            self._snapshot_answered(now, progress, message)
        self._feed(now, message.sender)

    def _refused(
        self, progress: Progress, message: raftmessages.Message
    ) -> None:
        # A refusal older than what is known since is of no use.
        refused = message.offset
        if refused <= progress.match or progress.snapshot is not None:
            return
        if progress.probing and refused != progress.next - 1:
            return
        index = min(message.index, refused - 1, self._log.last_index)
        while index > progress.match:
            term = self._log.term_at(index)
            if term is None or term <= message.log_term:
                break
            index -= 1
        progress.probe(index + 1)

    def _snapshot_answered(
        self, now: float, progress: Progress, message: raftmessages.Message
    ) -> None:
        if message.granted:
            progress.snapshot = None
            progress.matched(now, min(message.index, self._log.last_index))
        elif (
            progress.snapshot is not None
            and message.index == progress.snapshot.index
        ):
            progress.offset = min(message.offset, len(progress.snapshot.data))
            progress.waiting_since = None

    def _feed(self, now: float, name: str) -> None:
        progress = self._progress[name]
        if progress.snapshot is not None:
            self._feed_snapshot(now, name, progress)
            return
        while progress.probing or progress.next <= self._log.last_index:
            term = self._log.term_at(progress.next - 1)
            if term is None:
                progress.snapshot = self._log.snapshot
                progress.offset = 0
                progress.waiting_since = None
                self._feed_snapshot(now, name, progress)
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
        before = progress.next - 1
        if not progress.probing:
            entries = self._log.batch(
                progress.next,
                self._cfg.max_message_entries,
                self._cfg.max_message_bytes,
            )
            progress.next = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)
        if progress.waiting_since is None:
            progress.waiting_since = now
        self._send(
            raftmessages.APPEND,
            name,
            index=before,
            log_term=log_term,
            commit=self._log.commit,
            entries=entries,
            sent_at=now,
        )

    def _feed_snapshot(
        self, now: float, name: str, progress: Progress
    ) -> None:
        snapshot = progress.snapshot
        if snapshot is None or progress.waiting_since is not None:
            return
        progress.waiting_since = now
        end = progress.offset + self._cfg.snapshot_part_bytes
        self._send(
            raftmessages.SNAPSHOT,
            name,
            index=snapshot.index,
            log_term=snapshot.term,
            members=snapshot.members,
            offset=progress.offset,
            total=len(snapshot.data),
            data=snapshot.data[progress.offset : end],
            sent_at=now,
        )
