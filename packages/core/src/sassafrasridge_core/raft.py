"""Replicated log (Raft) as a state machine without I/O.

Four inputs move it: ``tick``, ``receive``, ``propose`` and ``change_members``.
``ready`` returns what the caller has to do, in this order: persist it, then
send the messages and apply the committed entries. Calling ``ready`` again
states that everything of the previous one is persisted, so the caller repeats
it until it returns nothing. When persisting fails, the caller must stop.
"""

import typing

from sassafrasridge_core import errors
from sassafrasridge_core import raftfollower
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages
from sassafrasridge_core.raftelection import Candidacy
from sassafrasridge_core.raftelection import Uniform
from sassafrasridge_core.raftelection import Voter
from sassafrasridge_core.raftleader import Leadership
from sassafrasridge_core.raftleader import RaftConfig
from sassafrasridge_core.raftlog import Entry
from sassafrasridge_core.raftlog import HardState
from sassafrasridge_core.raftlog import Snapshot
from sassafrasridge_core.raftmembers import AddLearner
from sassafrasridge_core.raftmembers import Member
from sassafrasridge_core.raftmembers import MembershipError
from sassafrasridge_core.raftmembers import Promote
from sassafrasridge_core.raftmembers import Remove
from sassafrasridge_core.raftmessages import MalformedMessageError
from sassafrasridge_core.raftmessages import Message
from sassafrasridge_core.raftready import NotLeaderError
from sassafrasridge_core.raftready import Ready
from sassafrasridge_core.raftready import Stored

__all__ = [
    'AddLearner',
    'Entry',
    'HardState',
    'MalformedMessageError',
    'Member',
    'MembershipError',
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

START_SPREAD = 0.4
"""Part of the spread of election timeouts that is used after a start."""

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'
LEARNER = 'learner'


class Raft:
    """Take part in the replicated log as one member.

    ``leader`` is the name of the known leader or None. ``unlisted`` maps
    names to disk ids that contacted this member without being listed;
    ``refused`` tells that another member answered that this disk is not
    listed.
    """

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
        self.unlisted: dict[str, str] = {}
        self.refused = False
        self._cfg = cfg
        self._rng = rng
        self._now = now
        self._log = raftlog.Log(
            stored.members, stored.snapshot, stored.entries
        )
        self._voter = Voter(
            name,
            disk_id,
            self._log,
            stored.hard_state,
            cfg.election_min_s,
            now,
        )
        self._receiver = raftfollower.Receiver(
            self._log, cfg.max_snapshot_bytes
        )
        self._candidacy: Candidacy | None = None
        self._leadership: Leadership | None = None
        self._saved = stored.hard_state
        self._saved_snapshot = stored.snapshot
        self._applied = self._log.commit
        self._messages: list[Message] = []
        self._deadline = now
        if raftmembers.voters(self.members) != [name]:
            self._wait_after_start(now)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._voter.hard.term

    @property
    def role(self) -> str:
        """Return 'follower', 'candidate', 'leader' or 'learner'."""
        if self._leadership is not None:
            return LEADER
        if self._candidacy is not None:
            return CANDIDATE
        return FOLLOWER if self._voter.is_voter() else LEARNER

    @property
    def members(self) -> raftmembers.Members:
        """Return the newest membership in the log."""
        return self._log.members

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._log.commit

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
                self._leadership.tick(now)
            else:
                self._follow(now, self.term)
        elif now >= self._deadline and self._voter.may_campaign():
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
        if isinstance(change, AddLearner) and change.name == self.name:
            raise MembershipError(f'{self.name!r} leads with its own disk')
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
        for name in self.members:
            found = self._leadership and self._leadership.progress(name)
            if found:
                result[name] = (found.match, found.acked_at)
        return result

    def ready(self) -> Ready:
        """Return what to persist, send and apply; see the module."""
        self._log.stable = self._log.handed
        if self._leadership is not None:
            self._advance_commit(self._now, self._leadership)
        ready = Ready(messages=self._messages)
        self._messages = []
        if self._voter.hard != self._saved:
            ready.hard_state = self._saved = self._voter.hard
        if self._log.snapshot is not self._saved_snapshot:
            ready.snapshot = self._saved_snapshot = self._log.snapshot
            ready.restore = self._receiver.restored
            self._receiver.restored = False
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

    def _wait(self, now: float) -> None:
        self._deadline = now + self._rng.uniform(
            self._cfg.election_min_s, self._cfg.election_max_s
        )

    def _wait_after_start(self, now: float) -> None:
        """Wait as long as a voter must, and little longer.

        Members that start together have no leader to wait for.
        """
        least, most = self._cfg.election_min_s, self._cfg.election_max_s
        self._deadline = now + self._rng.uniform(
            least, least + START_SPREAD * (most - least)
        )

    def _follow(self, now: float, term: int) -> None:
        """Become a follower, of ``term`` when it is a later one."""
        if term > self.term:
            self._voter.hard = HardState(term)
            self.leader = None
        if self._leadership is not None:
            self.leader = None
            self._wait(now)
        self._leadership = None
        self._candidacy = None

    def _campaign(self, now: float) -> None:
        """Ask whether an election could be won before raising the term."""
        self.leader = None
        self._candidacy = Candidacy(self._log, self._voter, prevoting=True)
        self._retry_soon(now)
        self._ask(raftmessages.PREVOTE, self.term + 1)
        self._count(now, self._candidacy)

    def _retry_soon(self, now: float) -> None:
        self._deadline = now + self._rng.uniform(
            self._cfg.prevote_retry_min_s, self._cfg.prevote_retry_max_s
        )

    def _elect(self, now: float) -> None:
        self._voter.vote_for_itself()
        self._candidacy = Candidacy(self._log, self._voter, prevoting=False)
        self._wait(now)
        self._ask(raftmessages.VOTE, self.term)
        self._count(now, self._candidacy)

    def _ask(self, kind: str, term: int) -> None:
        log_term, index = self._log.last
        for name in raftmembers.voters(self.members):
            if name != self.name:
                self._send(
                    kind, name, term=term, index=index, log_term=log_term
                )

    def _count(self, now: float, candidacy: Candidacy) -> None:
        if not candidacy.won():
            return
        if candidacy.prevoting:
            self._elect(now)
        else:
            self._lead(now, candidacy)

    def _lead(self, now: float, candidacy: Candidacy) -> None:
        self._candidacy = None
        self.leader = self.name
        self.refused = False
        self._leadership = Leadership(
            self.name, self._log, self._cfg, self._send, now
        )
        if self._log.last_index == 0:
            # The first entry records the membership and binds the disks.
            members = raftmembers.bind(self.members, candidacy.ballots)
            payload = raftmembers.encode(members)
            self._append(now, raftlog.MEMBERS, payload)
        else:
            self._append(now, raftlog.NOOP, b'')
        self._leadership.heartbeat(now)

    def _on_vote(self, now: float, message: Message) -> None:
        if not self._voter.knows(message):
            self._note_unlisted(message)
            self._send(raftmessages.UNLISTED, message.sender)
            return
        if self._leadership is not None:
            if self._leadership.has_lease(now):
                return
        elif self._voter.hears_leader(now):
            return
        prevote = message.kind == raftmessages.PREVOTE
        if not prevote and message.term > self.term:
            self._follow(now, message.term)
        granted = self._voter.grant(message)
        if granted and not prevote:
            self._wait(now)
        elif granted and self._candidacy is None:
            # Another member is about to win; campaigns at a time split votes.
            self._deadline = max(
                self._deadline, now + self._cfg.prevote_retry_max_s
            )
        self._send(
            raftmessages.PREVOTE_ACK if prevote else raftmessages.VOTE_ACK,
            message.sender,
            term=message.term if granted else self.term,
            granted=granted,
        )

    def _note_unlisted(self, message: Message) -> None:
        known = message.sender in self.unlisted
        if known or len(self.unlisted) < raftmembers.MAX_MEMBERS:
            self.unlisted[message.sender] = message.disk_id

    # Leader

    def _on_answer(self, now: float, message: Message) -> None:
        prevoted = message.kind == raftmessages.PREVOTE_ACK and message.granted
        if message.term > self.term and not prevoted:
            self._follow(now, message.term)
        elif message.kind in (
            raftmessages.PREVOTE_ACK,
            raftmessages.VOTE_ACK,
        ):
            if self._candidacy is not None:
                self._candidacy.count(message, self.term)
                self._count(now, self._candidacy)
            if self._candidacy is not None and self._candidacy.lost():
                # All have voted, so nothing is gained by waiting.
                self._candidacy = None
                self._retry_soon(now)
        elif message.term == self.term and self._leadership is not None:
            self._leadership.acknowledged(now, message)
            self._advance_commit(now, self._leadership)

    def _append(
        self, now: float, kind: str, payload: bytes
    ) -> tuple[int, int]:
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        pending = self._log.last_index - self._log.commit
        if kind == raftlog.COMMAND and (
            pending >= self._cfg.max_pending_entries
            or self._log.pending_bytes >= self._cfg.max_pending_bytes
        ):
            raise errors.UnavailableError(
                f'{pending} changes wait for a majority of control members',
                kind='log_busy',
                retry_after_s=self._cfg.election_max_s,
            )
        index = self._log.last_index + 1
        self._log.append(Entry(index, self.term, kind, payload))
        if kind == raftlog.MEMBERS or index == self._leadership.first_index:
            self._leadership.sync_members()
        self._leadership.replicate(now)
        return self.term, index

    def _advance_commit(self, now: float, leadership: Leadership) -> None:
        index = leadership.quorum_index()
        # An entry of an older term may still be replaced although a majority
        # holds it; an entry of this term on top of it makes it safe.
        if index <= self._log.commit or self._log.term_at(index) != self.term:
            return
        self._log.commit_to(index)
        leadership.heartbeat(now)
        listed = self._log.members_at(index)
        if not raftmembers.votes(listed, self.name, self.disk_id):
            self._follow(now, self.term)

    # Follower

    def _on_leader(self, now: float, message: Message) -> None:
        if message.term < self.term:
            # The answer's term makes a leader of an older term step down.
            self._send(raftmessages.HEARTBEAT_ACK, message.sender)
            return
        if message.term == self.term and self._leadership is not None:
            return
        self._follow(now, message.term)
        self.leader = message.sender
        self._voter.heard_at = now
        self._wait(now)
        self._answer(message)
        if self._voter.is_voter():
            self.refused = False

    def _answer(self, message: Message) -> None:
        fields: raftfollower.Fields | None
        if message.kind == raftmessages.APPEND:
            kind = raftmessages.APPEND_ACK
            fields = self._receiver.append(message)
        elif message.kind == raftmessages.SNAPSHOT:
            kind = raftmessages.SNAPSHOT_ACK
            fields = self._receiver.snapshot(message)
        else:
            kind = raftmessages.HEARTBEAT_ACK
            self._log.commit_to(message.commit)
            fields = {}
        if fields is not None:
            self._send(kind, message.sender, sent_at=message.sent_at, **fields)

    def _send(self, kind: str, recipient: str, **fields: typing.Any) -> None:
        term = fields.pop('term', self.term)
        self._messages.append(
            Message(kind, self.name, self.disk_id, recipient, term, **fields)
        )
