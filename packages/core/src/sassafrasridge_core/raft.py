"""Replicated log (Raft) as a state machine without I/O.

Four inputs move it: ``tick``, ``receive``, ``propose`` and ``change_members``.
``ready`` returns what the caller has to do, in this order: persist it, then
send the messages and apply the committed entries. Calling ``ready`` again
states that everything of the previous one is persisted, so the caller repeats
it until it returns nothing. When persisting fails, the caller must stop.
"""

import dataclasses
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages
from sassafrasridge_core.raftleader import Leadership
from sassafrasridge_core.raftleader import RaftConfig
from sassafrasridge_core.raftlog import Entry
from sassafrasridge_core.raftlog import HardState
from sassafrasridge_core.raftlog import Snapshot
from sassafrasridge_core.raftmembers import AddLearner
from sassafrasridge_core.raftmembers import Member
from sassafrasridge_core.raftmembers import Promote
from sassafrasridge_core.raftmembers import Remove
from sassafrasridge_core.raftmessages import MalformedMessageError
from sassafrasridge_core.raftmessages import Message

__all__ = [
    'AddLearner',
    'Entry',
    'HardState',
    'MalformedMessageError',
    'Member',
    'Message',
    'NotLeaderError',
    'Promote',
    'Raft',
    'RaftConfig',
    'Ready',
    'Remove',
    'Snapshot',
    'Stored',
]

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'
LEARNER = 'learner'


class NotLeaderError(errors.UnavailableError):
    """Report a proposal to a member that is not the leader.

    ``leader`` is the name of the leader, None when it isn't known.
    """

    kind = 'not_leader'
    remedy = 'Send it to the leader, or again after an election.'

    def __init__(self, leader: str | None) -> None:
        super().__init__(f'the leader is {leader or "unknown"}')
        self.leader = leader


class Uniform(typing.Protocol):
    """Stand for a random source such as ``random.Random``."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""


@dataclasses.dataclass(slots=True)
class Stored:
    """Hold what a member has persisted.

    ``members`` is the membership at the first start; a snapshot or an entry
    of kind 'members' replaces it.
    """

    disk_id: str = ''
    members: raftmembers.Members = dataclasses.field(default_factory=dict)
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)

    @classmethod
    def empty(
        cls, members: raftmembers.Bootstrap, disk_id: str = ''
    ) -> 'Stored':
        """Return the state for the first start of a cluster.

        ``members`` maps names to disk ids, or to None when not known yet; all
        members must then take part in the first election. It is empty for a
        member that joins later.
        """
        return cls(disk_id, raftmembers.bootstrap(members))


@dataclasses.dataclass(slots=True)
class Ready:
    """List what to persist, then what to send and to apply.

    ``truncate_from`` is the first index of persisted entries to drop.
    ``restore`` says that ``snapshot`` came from the leader and replaces the
    caller's state before ``committed`` is applied.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore: bool = False
    truncate_from: int | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)
    messages: list[Message] = dataclasses.field(default_factory=list)
    committed: list[Entry] = dataclasses.field(default_factory=list)

    def must_persist(self) -> bool:
        """Tell whether anything is to be persisted."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.entries
            or self.truncate_from is not None
        )

    def __bool__(self) -> bool:
        return bool(self.must_persist() or self.messages or self.committed)


class Raft:
    """Take part in the replicated log as one member."""

    def __init__(
        self,
        name: str,
        disk_id: str,
        stored: Stored,
        cfg: RaftConfig,
        now: float,
        rng: Uniform,
    ) -> None:
        self.name = name
        self.disk_id = disk_id
        self.leader: str | None = None
        self.commit_index = 0
        # Disks that contacted this member without being listed, by name.
        self.unlisted: dict[str, str] = {}
        # Another member answered that this disk is not listed.
        self.refused = False
        self._cfg = cfg
        self._rng = rng
        self._now = now
        self._log = raftlog.Log(
            stored.members, stored.snapshot, stored.entries
        )
        self._hard = self._saved = stored.hard_state
        self._state = FOLLOWER
        self._prevoting = False
        self._ballots: dict[str, str] = {}
        self._leadership: Leadership | None = None
        self._pending_bytes = 0
        self._incoming: tuple[Message, bytearray] | None = None
        self._saved_snapshot = stored.snapshot
        self._restore = False
        self._messages: list[Message] = []
        self.commit_index = self._applied = self._log.base_index
        # Before the restart this member may have confirmed a leader, whose
        # lease counts on its refusing votes; term 0 proves that it has not.
        self._heard_at = now if self.term else None
        self._deadline = now
        if raftmembers.voters(self.members) != [name]:
            self._wait(now)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._hard.term

    @property
    def role(self) -> str:
        """Return 'follower', 'candidate', 'leader' or 'learner'."""
        if self._state == FOLLOWER and not self._is_voter():
            return LEARNER
        return self._state

    @property
    def members(self) -> raftmembers.Members:
        """Return the newest membership in the log."""
        return self._log.members

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, persisted or not."""
        return self._log.last_index

    @property
    def snapshot_index(self) -> int:
        """Return the index that the snapshot covers, 0 without one."""
        return self._log.base_index

    def tick(self, now: float) -> None:
        """Act on the time; call it at least every 20 ms."""
        self._now = now
        if self._leadership is not None:
            if self._leadership.has_quorum(now):
                self._leadership.tick(now, self.commit_index)
            else:
                self._become_follower(now, self.term)
        elif now >= self._deadline and self._is_voter():
            self._campaign(now)

    def leads(self, now: float) -> bool:
        """Tell whether this is the only leader and knows all commits.

        The caller applies up to ``commit_index`` before it serves a read.
        """
        return (
            self._leadership is not None
            and self.commit_index >= self._leadership.first_index
            and self._leadership.has_lease(now)
        )

    def propose(self, now: float, payload: bytes) -> tuple[int, int]:
        """Append a command and return its (term, index).

        It is committed when an entry with this term and index is; another
        term at this index means that it was dropped. Raises NotLeaderError,
        TooLargeError, and UnavailableError when too much is uncommitted.
        """
        if len(payload) > self._cfg.max_entry_bytes:
            raise errors.TooLargeError(
                f'a command has {len(payload)} bytes, the limit is '
                f'{self._cfg.max_entry_bytes}'
            )
        return self._append(now, raftlog.COMMAND, payload)

    def change_members(
        self, now: float, change: raftmembers.Change
    ) -> tuple[int, int]:
        """Append one change of members and return its (term, index).

        Raises NotLeaderError, MembershipError, and UnavailableError while
        another change is not committed or a learner has not caught up.
        """
        leadership = self._leadership
        if leadership is None:
            raise NotLeaderError(self.leader)
        # The first entry of the term must be committed too: without it, two
        # leaders can each commit a change of the same old membership.
        if self.commit_index < max(
            leadership.first_index, self._log.members_index
        ):
            raise errors.UnavailableError(
                'another change of members is not committed yet',
                kind='membership_busy',
                retry_after_s=self._cfg.heartbeat_s,
            )
        changed = raftmembers.changed(self.members, change)
        if isinstance(change, Promote) and not self.caught_up(change.name):
            raise errors.UnavailableError(
                f'{change.name!r} has not caught up yet',
                kind='membership_busy',
                retry_after_s=self._cfg.heartbeat_s,
            )
        return self._append(now, raftlog.MEMBERS, raftmembers.encode(changed))

    def caught_up(self, name: str) -> bool:
        """Tell whether a member answers and holds everything committed.

        Only the leader knows; False on other members.
        """
        if self._leadership is None:
            return False
        if name == self.name:
            return True
        progress = self._leadership.progress(name)
        return (
            progress is not None
            and progress.match >= self.commit_index
            and self._now - progress.acked_at <= self._cfg.election_max_s
        )

    def progress(self) -> dict[str, tuple[int, float]]:
        """Return (index held, time of the last answer) per other member."""
        result = {}
        for name in self._others():
            found = self._leadership and self._leadership.progress(name)
            if found:
                result[name] = (found.match, found.acked_at)
        return result

    def ready(self) -> Ready:
        """Return what to persist, send and apply; see the module."""
        self._log.stable = self._log.handed
        if self._leadership is not None:
            self._advance_commit(self._now)
        ready = Ready(messages=self._messages)
        self._messages = []
        if self._hard != self._saved:
            ready.hard_state = self._saved = self._hard
        if self._log.snapshot is not self._saved_snapshot:
            ready.snapshot = self._saved_snapshot = self._log.snapshot
            ready.restore, self._restore = self._restore, False
        ready.truncate_from, ready.entries = self._log.hand_out()
        self._applied = max(self._applied, self._log.base_index)
        ready.committed = self._log.between(
            self._applied + 1, self.commit_index
        )
        self._applied = self.commit_index
        return ready

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replace the log up to an applied ``index`` by the state after it."""
        if not self._log.base_index < index <= self._applied:
            raise ValueError(f'index {index} is not applied or is compacted')
        term = self._log.term_at(index)
        assert term is not None
        members = self._log.members_at(index)
        self._log.compact(Snapshot(index, term, members, snapshot))

    def receive(self, now: float, message: Message) -> None:
        """Act on a message of another member."""
        self._now = now
        if message.recipient != self.name or message.sender == self.name:
            return
        if message.kind in (raftmessages.PREVOTE, raftmessages.VOTE):
            self._on_vote(now, message)
        elif message.kind in raftmessages.FROM_LEADER:
            self._on_leader(now, message)
        elif message.kind == raftmessages.UNLISTED:
            self.refused = True
        elif raftmembers.lists(self.members, message.sender, message.disk_id):
            self._on_answer(now, message)
        else:
            self._note_unlisted(message)

    # Elections

    def _others(self) -> list[str]:
        return [name for name in self.members if name != self.name]

    def _is_voter(self) -> bool:
        return raftmembers.votes(self.members, self.name, self.disk_id)

    def _wait(self, now: float) -> None:
        self._deadline = now + self._rng.uniform(
            self._cfg.election_min_s, self._cfg.election_max_s
        )

    def _set_hard(self, term: int, vote: str) -> None:
        self._hard = HardState(term, vote)

    def _become_follower(self, now: float, term: int) -> None:
        if term > self.term:
            self._set_hard(term, '')
            self.leader = None
        if self._state == LEADER:
            self.leader = None
            self._wait(now)
        self._state = FOLLOWER
        self._leadership = None
        self._ballots = {}

    def _campaign(self, now: float) -> None:
        """Ask whether an election could be won before raising the term."""
        self.leader = None
        self._state = CANDIDATE
        self._prevoting = True
        self._ballots = {self.name: self.disk_id}
        self._deadline = now + self._rng.uniform(
            self._cfg.prevote_retry_min_s, self._cfg.prevote_retry_max_s
        )
        self._ask(raftmessages.PREVOTE, self.term + 1)
        self._count(now)

    def _elect(self, now: float) -> None:
        self._prevoting = False
        self._set_hard(self.term + 1, _identity(self.name, self.disk_id))
        self._ballots = {self.name: self.disk_id}
        self._wait(now)
        self._ask(raftmessages.VOTE, self.term)
        self._count(now)

    def _ask(self, kind: str, term: int) -> None:
        log_term, index = self._log.last
        for name in raftmembers.voters(self.members):
            if name != self.name:
                self._send(
                    kind, name, term=term, index=index, log_term=log_term
                )

    def _count(self, now: float) -> None:
        if len(self._ballots) < raftmembers.quorum(self.members):
            return
        if self._prevoting:
            self._elect(now)
        else:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self._state = LEADER
        self.leader = self.name
        self.refused = False
        self._leadership = Leadership(
            self.name,
            self._log,
            self._cfg,
            self._send,
            now,
            self.commit_index,
        )
        self._pending_bytes = sum(
            len(entry.payload)
            for entry in self._log.between(
                self.commit_index + 1, self._log.last_index
            )
        )
        if self._log.last_index == 0:
            # The first entry records the membership and binds the disks.
            members = raftmembers.bind(self.members, self._ballots)
            payload = raftmembers.encode(members)
            self._append(now, raftlog.MEMBERS, payload)
        else:
            self._append(now, raftlog.NOOP, b'')
        self._leadership.heartbeat(now, self.commit_index)

    def _hears_leader(self, now: float) -> bool:
        if self._leadership is not None:
            return self._leadership.has_lease(now)
        return (
            self._heard_at is not None
            and now < self._heard_at + self._cfg.election_min_s
        )

    def _on_vote(self, now: float, message: Message) -> None:
        # Only a candidate with entries that this member lacks may know of a
        # membership that this member does not know.
        ahead = (message.log_term, message.index) > self._log.last
        if not ahead and not raftmembers.votes(
            self.members, message.sender, message.disk_id
        ):
            self._note_unlisted(message)
            self._send(raftmessages.UNLISTED, message.sender)
            return
        if self._hears_leader(now):
            return
        prevote = message.kind == raftmessages.PREVOTE
        if not prevote and message.term > self.term:
            self._become_follower(now, message.term)
        voter = _identity(message.sender, message.disk_id)
        granted = (
            (message.log_term, message.index) >= self._log.last
            and (ahead or self._is_voter())
            and (
                message.term > self.term
                if prevote
                else message.term == self.term
                and self._hard.vote in ('', voter)
            )
        )
        if granted and not prevote:
            self._set_hard(self.term, voter)
            self._wait(now)
        self._send(
            raftmessages.PREVOTE_ACK if prevote else raftmessages.VOTE_ACK,
            message.sender,
            term=message.term if granted else self.term,
            granted=granted,
        )

    def _on_ballot(self, now: float, message: Message) -> None:
        prevote = message.kind == raftmessages.PREVOTE_ACK
        asked = self.term + 1 if prevote else self.term
        if (
            message.granted
            and self._state == CANDIDATE
            and self._prevoting == prevote
            and message.term == asked
            and raftmembers.votes(
                self.members, message.sender, message.disk_id
            )
        ):
            self._ballots[message.sender] = message.disk_id
            self._count(now)

    def _note_unlisted(self, message: Message) -> None:
        known = message.sender in self.unlisted
        if known or len(self.unlisted) < raftmembers.MAX_MEMBERS:
            self.unlisted[message.sender] = message.disk_id

    # Leader

    def _on_answer(self, now: float, message: Message) -> None:
        prevoted = message.kind == raftmessages.PREVOTE_ACK and message.granted
        if message.term > self.term and not prevoted:
            self._become_follower(now, message.term)
        elif message.kind in (
            raftmessages.PREVOTE_ACK,
            raftmessages.VOTE_ACK,
        ):
            self._on_ballot(now, message)
        elif message.term == self.term and self._leadership is not None:
            self._leadership.acknowledged(now, message)
            self._advance_commit(now)

    def _append(
        self, now: float, kind: str, payload: bytes
    ) -> tuple[int, int]:
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        pending = self._log.last_index - self.commit_index
        if kind == raftlog.COMMAND and (
            pending >= self._cfg.max_pending_entries
            or self._pending_bytes >= self._cfg.max_pending_bytes
        ):
            raise errors.UnavailableError(
                f'{pending} changes wait for a majority of control members',
                kind='log_busy',
                retry_after_s=self._cfg.election_max_s,
            )
        index = self._log.last_index + 1
        self._log.append(Entry(index, self.term, kind, payload))
        self._pending_bytes += len(payload)
        if kind == raftlog.MEMBERS or index == self._leadership.first_index:
            self._leadership.sync_members()
        self._leadership.replicate(now)
        return self.term, index

    def _advance_commit(self, now: float) -> None:
        leadership = self._leadership
        assert leadership is not None
        index = leadership.quorum_index()
        # An entry of an older term may still be replaced although a majority
        # holds it; an entry of this term on top of it makes it safe.
        if index <= self.commit_index or self._log.term_at(index) != self.term:
            return
        self._commit_to(index)
        leadership.heartbeat(now, self.commit_index)
        listed = self._log.members_at(self.commit_index)
        if not raftmembers.votes(listed, self.name, self.disk_id):
            self._become_follower(now, self.term)

    def _commit_to(self, index: int) -> None:
        index = min(index, self._log.last_index)
        if index > self.commit_index:
            for entry in self._log.between(self.commit_index + 1, index):
                self._pending_bytes -= len(entry.payload)
            self.commit_index = index

    # Follower

    def _on_leader(self, now: float, message: Message) -> None:
        if message.term < self.term:
            # The answer's term makes a leader of an older term step down.
            self._send(raftmessages.HEARTBEAT_ACK, message.sender)
            return
        if message.term == self.term and self._state == LEADER:
            return
        self._become_follower(now, message.term)
        self.leader = message.sender
        self._heard_at = now
        self._wait(now)
        if message.kind == raftmessages.APPEND:
            self._on_append(message)
        elif message.kind == raftmessages.SNAPSHOT:
            self._on_snapshot(message)
        else:
            self._commit_to(message.commit)
            self._answer(raftmessages.HEARTBEAT_ACK, message)
        if self._is_voter():
            self.refused = False

    def _on_append(self, message: Message) -> None:
        before = message.index
        if (
            before > self.commit_index
            and self._log.term_at(before) != message.log_term
        ):
            index = min(self._log.last_index, before)
            while index > self.commit_index:
                if (self._log.term_at(index) or 0) <= message.log_term:
                    break
                index -= 1
            self._answer(
                raftmessages.APPEND_ACK,
                message,
                index=index,
                log_term=self._log.term_at(index) or 0,
                offset=before,
            )
            return
        for entry in message.entries:
            if (
                entry.index > self.commit_index
                and self._log.term_at(entry.index) != entry.term
            ):
                self._log.append(entry)
        matched = before + len(message.entries)
        self._commit_to(min(message.commit, matched))
        self._answer(
            raftmessages.APPEND_ACK,
            message,
            index=max(matched, self.commit_index),
            granted=True,
        )

    def _on_snapshot(self, message: Message) -> None:
        if message.total > self._cfg.max_snapshot_bytes:
            return
        if message.index > self.commit_index:
            part = self._collect(message)
            if len(part) < message.total:
                self._answer(
                    raftmessages.SNAPSHOT_ACK,
                    message,
                    index=message.index,
                    offset=len(part),
                )
                return
            self._install(message, bytes(part))
        self._answer(
            raftmessages.SNAPSHOT_ACK,
            message,
            index=self.commit_index,
            granted=True,
        )

    def _collect(self, message: Message) -> bytearray:
        key = _snapshot_key(message)
        if self._incoming is None or _snapshot_key(self._incoming[0]) != key:
            self._incoming = (message, bytearray())
        part = self._incoming[1]
        if (
            message.offset == len(part)
            and len(part) + len(message.data) <= message.total
        ):
            part += message.data
        return part

    def _install(self, message: Message, data: bytes) -> None:
        self._incoming = None
        members = message.members or {}
        self._log.restore(
            Snapshot(message.index, message.log_term, members, data)
        )
        self.commit_index = message.index
        self._restore = True

    # Messages

    def _send(self, kind: str, recipient: str, **fields: typing.Any) -> None:
        term = fields.pop('term', self.term)
        self._messages.append(
            Message(kind, self.name, self.disk_id, recipient, term, **fields)
        )

    def _answer(
        self, kind: str, message: Message, **fields: typing.Any
    ) -> None:
        self._send(kind, message.sender, sent_at=message.sent_at, **fields)


def _identity(name: str, disk_id: str) -> str:
    return f'{name}/{disk_id}'


def _snapshot_key(message: Message) -> tuple[str, int, int, int, int]:
    return (
        message.sender,
        message.term,
        message.index,
        message.log_term,
        message.total,
    )
