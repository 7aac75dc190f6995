"""Raft consensus as a state machine without I/O.

It has four inputs: ``tick``, ``receive``, ``propose`` and ``change_members``.
After an input the caller calls ``ready`` and processes the result in this
order: persist the state, then send the messages and apply the committed
entries. The next call of ``ready`` acknowledges that everything in the
previous result is persisted, so the caller repeats it until the result is
empty. If persisting fails, the caller must stop using this object.
"""

import typing

from sassafrasridge_core import errors
from sassafrasridge_core import raftfollower
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages
from sassafrasridge_core.raftelection import Candidacy
from sassafrasridge_core.raftelection import RandomSource
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

# Longest time in s until a member asks for pre-votes after its start. Members
# that start together have no leader to wait for.
MAX_START_DELAY_S = 0.1
# Longest time between pre-votes of a member that has known no leader since
# its start, as a multiple of the shortest.
START_RETRY_FACTOR = 1.5

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'
LEARNER = 'learner'


class Raft:
    """Run one member of the Raft group.

    ``leader`` is the name of the known leader or None. ``unlisted`` maps the
    names of senders that are not in the membership to their disk ids.
    ``reported_unlisted`` is true after another member answered that this
    member and its disk are not in its membership.
    """

    def __init__(
        self,
        name: str,
        disk_id: str,
        stored: Stored,
        cfg: RaftConfig,
        now: float,
        rng: RandomSource,
    ) -> None:
        self.name = name
        self.disk_id = disk_id
        self.leader: str | None = None
        self.unlisted: dict[str, str] = {}
        self.reported_unlisted = False
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
        self._receiver = raftfollower.LogReceiver(
            self._log, cfg.max_snapshot_bytes
        )
        self._candidacy: Candidacy | None = None
        self._leadership: Leadership | None = None
        self._reported_hard_state = stored.hard_state
        self._reported_snapshot = stored.snapshot
        self._applied_index = self._log.commit_index
        self._messages: list[Message] = []
        self._election_deadline = now
        if raftmembers.voters(self.members) != [name]:
            self._set_start_deadline(now)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._voter.hard_state.term

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
        return self._log.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, persisted or not."""
        return self._log.last_index

    @property
    def snapshot_index(self) -> int:
        """Return the last index in the snapshot, 0 without a snapshot."""
        return self._log.base_index

    def tick(self, now: float) -> None:
        """Process timeouts; call it at least every 20 ms.

        ``now`` is in seconds, here and in all other methods.
        """
        self._now = now
        if self._leadership is not None:
            if self._leadership.has_quorum(now):
                self._leadership.tick(now)
            else:
                self._become_follower(now, self.term)
        elif now >= self._election_deadline and self._voter.may_campaign():
            self._start_prevote(now)

    def can_serve_as_leader(self, now: float) -> bool:
        """Return whether this is the only leader and knows every commit.

        It holds a valid leader lease and has committed an entry of its term.
        The caller applies up to ``commit_index`` before it serves a read.
        """
        return (
            self._leadership is not None
            and self.commit_index >= self._leadership.term_start_index
            and self._leadership.has_lease(now)
        )

    def propose(self, now: float, payload: bytes) -> tuple[int, int]:
        """Append a command and return its (term, index).

        The command is committed when the entry at this index is committed
        with this term; a committed entry of another term at this index means
        that the command was discarded. Raises NotLeaderError, TooLargeError,
        and UnavailableError when too many entries are uncommitted.
        """
        if len(payload) > self._cfg.max_entry_bytes:
            raise errors.TooLargeError(
                f'the command has {len(payload)} bytes, the limit is '
                f'{self._cfg.max_entry_bytes}'
            )
        return self._append_entry(now, raftlog.COMMAND, payload)

    def change_members(
        self, now: float, change: raftmembers.Change
    ) -> tuple[int, int]:
        """Append one membership change and return its (term, index).

        Raises NotLeaderError, MembershipError, and UnavailableError while
        another change is uncommitted or the learner has not caught up.
        """
        leadership = self._leadership
        if leadership is None:
            raise NotLeaderError(self.leader)
        # The first entry of this term must be committed too: otherwise two
        # successive leaders could each commit a change of the same old
        # membership, and the resulting majorities need not overlap.
        if self.commit_index < max(
            leadership.term_start_index, self._log.members_index
        ):
            raise errors.UnavailableError(
                'another membership change is not committed yet',
                kind='membership_busy',
                retry_after_s=self._cfg.heartbeat_s,
            )
        changed = raftmembers.apply_change(self.members, change)
        if isinstance(change, AddLearner) and change.name == self.name:
            raise MembershipError(
                f'{self.name!r} is the leader, its disk cannot be replaced'
            )
        if isinstance(change, Promote) and not self.caught_up(change.name):
            raise errors.UnavailableError(
                f'{change.name!r} has not caught up yet',
                kind='membership_busy',
                retry_after_s=self._cfg.heartbeat_s,
            )
        return self._append_entry(
            now, raftlog.MEMBERS, raftmembers.encode(changed)
        )

    def caught_up(self, name: str) -> bool:
        """Return whether a member responds and has all committed entries.

        Only the leader tracks this; other members return False.
        """
        if self._leadership is None:
            return False
        if name == self.name:
            return True
        progress = self._leadership.progress_of(name)
        return (
            progress is not None
            and progress.match_index >= self.commit_index
            and self._now - progress.acked_at <= self._cfg.election_max_s
        )

    def peer_progress(self) -> dict[str, tuple[int, float]]:
        """Return (match index, ack time in s) of each other member.

        The ack time is when the newest acknowledged message was sent; -inf
        before the first one. Empty unless this member is the leader.
        """
        result = {}
        for name in self.members:
            found = self._leadership and self._leadership.progress_of(name)
            if found:
                result[name] = (found.match_index, found.acked_at)
        return result

    def ready(self) -> Ready:
        """Return what to persist, send and apply; see the module docs."""
        self._log.persisted_index = self._log.handed_out_index
        if self._leadership is not None:
            self._advance_commit(self._now, self._leadership)
        ready = Ready(messages=self._messages)
        self._messages = []
        if self._voter.hard_state != self._reported_hard_state:
            ready.hard_state = self._reported_hard_state = (
                self._voter.hard_state
            )
        if self._log.snapshot is not self._reported_snapshot:
            ready.snapshot = self._reported_snapshot = self._log.snapshot
            ready.restore = self._receiver.restored
            self._receiver.restored = False
        ready.truncate_from, ready.entries = self._log.take_unpersisted()
        self._applied_index = max(self._applied_index, self._log.base_index)
        ready.committed = self._log.entries_between(
            self._applied_index + 1, self.commit_index
        )
        self._applied_index = self.commit_index
        return ready

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replace the log up to an applied ``index`` by a snapshot.

        ``snapshot`` is the encoded state after that entry. Raises ValueError.
        """
        if not self._log.base_index < index <= self._applied_index:
            raise ValueError(
                f'index {index} is not applied yet or already compacted'
            )
        term = self._log.term_at(index)
        assert term is not None
        members = self._log.members_at(index)
        self._log.compact(Snapshot(index, term, members, snapshot))

    def receive(self, now: float, message: Message) -> None:
        """Process a message from another member."""
        self._now = now
        if message.recipient != self.name or message.sender == self.name:
            return
        if message.kind in (raftmessages.PREVOTE, raftmessages.VOTE):
            self._on_vote_request(now, message)
        elif message.kind in raftmessages.FROM_LEADER:
            self._on_leader_message(now, message)
        elif message.kind == raftmessages.UNLISTED:
            self.reported_unlisted = True
        elif raftmembers.is_member(
            self.members, message.sender, message.disk_id
        ):
            self._on_response(now, message)
        else:
            self._record_unlisted(message)

    # Elections

    def _reset_election_deadline(self, now: float) -> None:
        self._election_deadline = now + self._rng.uniform(
            self._cfg.election_min_s, self._cfg.election_max_s
        )

    def _set_start_deadline(self, now: float) -> None:
        """Set the time of the first pre-vote after the start.

        Other members grant it only if they know of no leader either, or once
        the lease that they may have confirmed before a restart has run out.
        """
        self._election_deadline = now + self._rng.uniform(
            0.0, MAX_START_DELAY_S
        )

    def _become_follower(self, now: float, term: int) -> None:
        """Become a follower; adopt ``term`` when it is higher."""
        if term > self.term:
            self._voter.hard_state = HardState(term)
            self.leader = None
        if self._leadership is not None:
            self.leader = None
            self._reset_election_deadline(now)
        self._leadership = None
        self._candidacy = None

    def _start_prevote(self, now: float) -> None:
        """Ask for pre-votes, which do not raise the term."""
        self.leader = None
        self._candidacy = Candidacy(
            self._log, self._voter, prevoting=True, started_at=now
        )
        self._schedule_prevote_retry(now)
        self._request_votes(
            raftmessages.PREVOTE,
            self.term + 1,
            sent_at=now,
            restarted=not self._voter.knew_leader,
        )
        self._check_candidacy(now, self._candidacy)

    def _schedule_prevote_retry(self, now: float) -> None:
        least, most = (
            self._cfg.prevote_retry_min_s,
            self._cfg.prevote_retry_max_s,
        )
        if not self._voter.knew_leader:
            # Other members may have started meanwhile.
            most = START_RETRY_FACTOR * least
        self._election_deadline = now + self._rng.uniform(least, most)

    def _start_election(self, now: float, all_restarted: bool) -> None:
        self._voter.start_term_with_own_vote()
        self._candidacy = Candidacy(self._log, self._voter, prevoting=False)
        self._reset_election_deadline(now)
        self._request_votes(
            raftmessages.VOTE, self.term, restarted=all_restarted
        )
        self._check_candidacy(now, self._candidacy)

    def _request_votes(
        self, kind: str, term: int, **fields: typing.Any
    ) -> None:
        log_term, index = self._log.last_term_and_index
        for name in raftmembers.voters(self.members):
            if name != self.name:
                self._send(
                    kind,
                    name,
                    term=term,
                    index=index,
                    log_term=log_term,
                    **fields,
                )

    def _check_candidacy(self, now: float, candidacy: Candidacy) -> None:
        if not candidacy.prevoting:
            if candidacy.is_won():
                self._become_leader(now, candidacy)
        elif candidacy.all_restarted() and not self._voter.knew_leader:
            self._start_election(now, all_restarted=True)
        elif candidacy.is_won() and not self._voter.heard_leader_recently(now):
            # The own vote, too, must not end a lease that this member has
            # confirmed.
            self._start_election(now, all_restarted=False)

    def _become_leader(self, now: float, candidacy: Candidacy) -> None:
        self._candidacy = None
        self.leader = self.name
        self._voter.knew_leader = True
        self.reported_unlisted = False
        self._leadership = Leadership(
            self.name, self._log, self._cfg, self._send, now
        )
        if self._log.last_index == 0:
            # The first entry records the membership with the disk ids that
            # the votes reported.
            members = raftmembers.bind_disks(
                self.members, candidacy.granted_by
            )
            payload = raftmembers.encode(members)
            self._append_entry(now, raftlog.MEMBERS, payload)
        else:
            self._append_entry(now, raftlog.NOOP, b'')
        self._leadership.send_heartbeats(now)

    def _on_vote_request(self, now: float, message: Message) -> None:
        if not self._voter.may_be_voter(message):
            self._record_unlisted(message)
            self._send(raftmessages.UNLISTED, message.sender)
            return
        if self._leadership is not None:
            if self._leadership.has_lease(now):
                return
        elif self._voter.must_wait(now, message):
            return
        prevote = message.kind == raftmessages.PREVOTE
        if not prevote and message.term > self.term:
            self._become_follower(now, message.term)
        granted = acceptable = self._voter.grant_vote(message)
        if prevote and self._voter.heard_leader_recently(now):
            # The lease that this member may have confirmed is still waited
            # for; its report counts only if all voters have restarted.
            granted = False
        if granted and not prevote:
            self._reset_election_deadline(now)
        elif granted and self._candidacy is None:
            # The other member is likely to win; a concurrent campaign of
            # this member could split the votes.
            self._delay_campaign(now)
        elif acceptable and not granted and self._yields_to(message):
            self._candidacy = None
            self._delay_campaign(now)
        self._send(
            raftmessages.PREVOTE_ACK if prevote else raftmessages.VOTE_ACK,
            message.sender,
            term=message.term if granted else self.term,
            granted=granted,
            sent_at=message.sent_at,
            restarted=prevote and acceptable and not self._voter.knew_leader,
        )

    def _delay_campaign(self, now: float) -> None:
        self._election_deadline = max(
            self._election_deadline, now + self._cfg.prevote_retry_max_s
        )

    def _yields_to(self, message: Message) -> bool:
        """Return whether to leave the election to another candidate.

        Members that restart together all ask for pre-votes at once. Only the
        first by log and name goes on, so that the votes aren't split.
        """
        own_log = self._log.last_term_and_index
        return (message.log_term, message.index) > own_log or (
            message.sender < self.name
        )

    def _record_unlisted(self, message: Message) -> None:
        known = message.sender in self.unlisted
        if known or len(self.unlisted) < raftmembers.MAX_MEMBERS:
            self.unlisted[message.sender] = message.disk_id

    # Leader

    def _on_response(self, now: float, message: Message) -> None:
        prevoted = message.kind == raftmessages.PREVOTE_ACK and message.granted
        if message.term > self.term and not prevoted:
            self._become_follower(now, message.term)
        elif message.kind in (
            raftmessages.PREVOTE_ACK,
            raftmessages.VOTE_ACK,
        ):
            if self._candidacy is not None:
                self._candidacy.record_response(message, self.term)
                self._check_candidacy(now, self._candidacy)
            if self._candidacy is not None and self._candidacy.is_lost():
                # Too many voters refused to still win this election, so
                # there is no reason to wait for its timeout.
                self._candidacy = None
                self._schedule_prevote_retry(now)
        elif message.term == self.term and self._leadership is not None:
            self._leadership.handle_response(now, message)
            self._advance_commit(now, self._leadership)

    def _append_entry(
        self, now: float, kind: str, payload: bytes
    ) -> tuple[int, int]:
        if self._leadership is None:
            raise NotLeaderError(self.leader)
        pending = self._log.last_index - self._log.commit_index
        if kind == raftlog.COMMAND and (
            pending >= self._cfg.max_pending_entries
            or self._log.uncommitted_bytes >= self._cfg.max_pending_bytes
        ):
            raise errors.UnavailableError(
                f'{pending} changes wait for a majority of control members',
                kind='log_busy',
                retry_after_s=self._cfg.election_max_s,
            )
        index = self._log.last_index + 1
        self._log.append(Entry(index, self.term, kind, payload))
        if (
            kind == raftlog.MEMBERS
            or index == self._leadership.term_start_index
        ):
            self._leadership.sync_members()
        self._leadership.replicate(now)
        return self.term, index

    def _advance_commit(self, now: float, leadership: Leadership) -> None:
        index = leadership.quorum_index()
        # An entry of an older term can still be overwritten although a
        # majority has it. Only committing an entry of the current term also
        # commits the entries before it (Raft paper, section 5.4.2).
        if (
            index <= self._log.commit_index
            or self._log.term_at(index) != self.term
        ):
            return
        self._log.commit_to(index)
        leadership.send_heartbeats(now)
        listed = self._log.members_at(index)
        if not raftmembers.is_voter(listed, self.name, self.disk_id):
            self._become_follower(now, self.term)

    # Follower

    def _on_leader_message(self, now: float, message: Message) -> None:
        if message.term < self.term:
            # The term in the response makes the outdated leader step down.
            self._send(raftmessages.HEARTBEAT_ACK, message.sender)
            return
        if message.term == self.term and self._leadership is not None:
            return
        self._become_follower(now, message.term)
        self.leader = message.sender
        self._voter.leader_heard_at = now
        self._voter.knew_leader = True
        self._reset_election_deadline(now)
        self._respond(message)
        if self._voter.is_voter():
            self.reported_unlisted = False

    def _respond(self, message: Message) -> None:
        fields: raftfollower.ResponseFields | None
        if message.kind == raftmessages.APPEND:
            kind = raftmessages.APPEND_ACK
            fields = self._receiver.handle_append(message)
        elif message.kind == raftmessages.SNAPSHOT:
            kind = raftmessages.SNAPSHOT_ACK
            fields = self._receiver.handle_snapshot(message)
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
