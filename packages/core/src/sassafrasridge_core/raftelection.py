"""Elections: the rules for granting votes and the counting of votes."""

import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


class RandomSource(typing.Protocol):
    """Describe a source of random numbers such as ``random.Random``."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between ``a`` and ``b``."""


class Voter:
    """Hold the term and the vote, and decide on vote requests.

    ``leader_heard_at`` is the time in s of the last message from a leader,
    None before the first one. ``knew_leader`` tells whether this member has
    followed or been a leader since its start.
    """

    __slots__ = (
        'hard_state',
        'leader_heard_at',
        'knew_leader',
        'name',
        'disk_id',
        '_log',
        '_min_election_timeout_s',
    )

    def __init__(
        self,
        name: str,
        disk_id: str,
        log: raftlog.Log,
        hard_state: raftlog.HardState,
        min_election_timeout_s: float,
        now: float,
    ) -> None:
        self.hard_state = hard_state
        self.name = name
        self.disk_id = disk_id
        self._log = log
        self._min_election_timeout_s = min_election_timeout_s
        # This member may have acknowledged a leader right before a restart.
        # That leader's lease relies on this member refusing votes for one
        # election timeout. With term 0 it has never acknowledged one.
        self.leader_heard_at = now if hard_state.term else None
        self.knew_leader = False

    def is_voter(self) -> bool:
        """Return whether this disk is a voter in the newest membership."""
        return raftmembers.is_voter(self._log.members, self.name, self.disk_id)

    def may_campaign(self) -> bool:
        """Return whether this member may ask for votes.

        This includes a voter whose removal is not known to be committed. It
        may be the only member with the entry that removes it. Then it refuses
        its vote to the members without that entry, so no leader could be
        elected if it did not campaign itself.
        """
        committed = self._log.members_at(self._log.commit_index)
        return self.is_voter() or raftmembers.is_voter(
            committed, self.name, self.disk_id
        )

    def heard_leader_recently(self, now: float) -> bool:
        """Return whether a leader's lease may rely on this member."""
        return (
            self.leader_heard_at is not None
            and now < self.leader_heard_at + self._min_election_timeout_s
        )

    def must_wait(self, now: float, message: raftmessages.Message) -> bool:
        """Return whether a vote request must be left without an answer.

        A leader's lease may rely on that. No leader can hold a lease if every
        voter has restarted and known none since: each of them reported so
        within one pre-vote, and a leader elected after its report would have
        committed an entry that the candidate doesn't have.
        """
        if message.restarted and not self.knew_leader:
            return False
        return self.heard_leader_recently(now)

    def start_term_with_own_vote(self) -> None:
        """Increment the term and vote for this member in it."""
        vote = _candidate_id(self.name, self.disk_id)
        self.hard_state = raftlog.HardState(self.hard_state.term + 1, vote)

    def candidate_is_ahead(self, message: raftmessages.Message) -> bool:
        """Return whether a candidate's log is newer than this member's.

        Only such a candidate may know a newer membership. In that membership
        the candidate may be a voter although it is not listed here, and this
        member may have been promoted to voter. This is safe because the
        candidate counts only the votes of voters in its own membership, with
        matching disk ids.
        """
        return (
            message.log_term,
            message.index,
        ) > self._log.last_term_and_index

    def may_be_voter(self, message: raftmessages.Message) -> bool:
        """Return whether a candidate is a voter or may have become one."""
        return self.candidate_is_ahead(message) or raftmembers.is_voter(
            self._log.members, message.sender, message.disk_id
        )

    def grant_vote(self, message: raftmessages.Message) -> bool:
        """Return whether the vote is granted, and record it.

        The caller has checked :meth:`may_be_voter`. A pre-vote is not binding
        and is not recorded.
        """
        if not (self.candidate_is_ahead(message) or self.is_voter()):
            return False
        if (message.log_term, message.index) < self._log.last_term_and_index:
            return False
        if message.kind == raftmessages.PREVOTE:
            return message.term > self.hard_state.term
        # The vote includes the disk id: a member with a new disk is another
        # candidate. It must not win a term that it won with its former disk.
        vote = _candidate_id(message.sender, message.disk_id)
        if (
            message.term != self.hard_state.term
            or self.hard_state.vote not in ('', vote)
        ):
            return False
        self.hard_state = raftlog.HardState(message.term, vote)
        return True


class Candidacy:
    """Count the pre-votes or the votes for this member.

    ``granted_by`` maps the names of the voters that granted their vote to
    their disk ids. ``started_at`` identifies this candidacy in pre-votes and
    the responses to them.
    """

    __slots__ = (
        'prevoting',
        'granted_by',
        'started_at',
        '_restarted',
        '_rejected_by',
        '_log',
    )

    def __init__(
        self,
        log: raftlog.Log,
        voter: Voter,
        prevoting: bool,
        started_at: float = 0.0,
    ) -> None:
        self.prevoting = prevoting
        self.granted_by: dict[str, str] = {}
        self.started_at = started_at
        # Voters that have restarted and known no leader since.
        self._restarted: set[str] = set()
        self._rejected_by: set[str] = set()
        if voter.is_voter():
            self.granted_by[voter.name] = voter.disk_id
            if not voter.knew_leader:
                self._restarted.add(voter.name)
        self._log = log

    def record_response(
        self, message: raftmessages.Message, term: int
    ) -> None:
        """Record a response to a vote request sent in ``term``."""
        listed = raftmembers.is_voter(
            self._log.members, message.sender, message.disk_id
        )
        if (
            message.restarted
            and listed
            and self.prevoting
            and message.kind == raftmessages.PREVOTE_ACK
            and message.sent_at == self.started_at
        ):
            self._restarted.add(message.sender)
        if (
            message.granted
            and listed
            and self.prevoting == (message.kind == raftmessages.PREVOTE_ACK)
            and message.term == (term + 1 if self.prevoting else term)
        ):
            self.granted_by[message.sender] = message.disk_id
        elif (
            not message.granted
            and not self.prevoting
            and message.kind == raftmessages.VOTE_ACK
            and message.term == term
        ):
            self._rejected_by.add(message.sender)

    def is_lost(self) -> bool:
        """Return whether too many voters refused for a quorum to remain."""
        voters = raftmembers.voters(self._log.members)
        rejected = self._rejected_by.intersection(voters)
        quorum = raftmembers.quorum(self._log.members)
        return len(voters) - len(rejected) < quorum

    def all_restarted(self) -> bool:
        """Return whether every voter reported that it knew no leader."""
        voters = raftmembers.voters(self._log.members)
        return self.prevoting and self._restarted.issuperset(voters)

    def is_won(self) -> bool:
        """Return whether a quorum granted its votes."""
        return len(self.granted_by) >= raftmembers.quorum(self._log.members)


def _candidate_id(name: str, disk_id: str) -> str:
    return f'{name}/{disk_id}'
