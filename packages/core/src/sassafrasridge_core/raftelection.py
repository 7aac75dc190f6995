"""Votes: the voter's rules and the candidate's count."""

import typing

from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


class Uniform(typing.Protocol):
    """Stand for a random source such as ``random.Random``."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""


class Voter:
    """Hold the term and the vote, and decide on requests for votes.

    ``heard_at`` is when a leader was last heard, None for never.
    """

    __slots__ = ('hard', 'heard_at', 'name', 'disk_id', '_log', '_silence_s')

    def __init__(
        self,
        name: str,
        disk_id: str,
        log: raftlog.Log,
        hard: raftlog.HardState,
        silence_s: float,
        now: float,
    ) -> None:
        self.hard = hard
        self.name = name
        self.disk_id = disk_id
        self._log = log
        self._silence_s = silence_s
        # Before the restart this member may have confirmed a leader, whose
        # lease counts on its refusing votes; term 0 proves that it has not.
        self.heard_at = now if hard.term else None

    def is_voter(self) -> bool:
        """Tell whether the newest membership lists this disk as a voter."""
        return raftmembers.votes(self._log.members, self.name, self.disk_id)

    def may_campaign(self) -> bool:
        """Tell whether this member may ask for votes.

        A voter whose removal is not known to be committed still may: when it
        alone holds that entry, no member without the entry gets its vote.
        """
        committed = self._log.members_at(self._log.commit)
        return self.is_voter() or raftmembers.votes(
            committed, self.name, self.disk_id
        )

    def hears_leader(self, now: float) -> bool:
        """Tell whether a leader may still count on this member."""
        return (
            self.heard_at is not None and now < self.heard_at + self._silence_s
        )

    def vote_for_itself(self) -> None:
        """Begin the next term with the own vote."""
        vote = _identity(self.name, self.disk_id)
        self.hard = raftlog.HardState(self.hard.term + 1, vote)

    def is_ahead(self, message: raftmessages.Message) -> bool:
        """Tell whether a candidate has entries that this member lacks.

        Only such a candidate may know of a membership that this member does
        not know. So it may be unlisted here, and this member may be a voter
        without knowing of its promotion; the candidate counts only votes of
        voters that its own membership lists with their disks.
        """
        return (message.log_term, message.index) > self._log.last

    def knows(self, message: raftmessages.Message) -> bool:
        """Tell whether a candidate may be a voter."""
        return self.is_ahead(message) or raftmembers.votes(
            self._log.members, message.sender, message.disk_id
        )

    def grant(self, message: raftmessages.Message) -> bool:
        """Decide on a request of a known candidate; record the vote.

        A granted pre-vote is no promise, so nothing is recorded for it.
        """
        if not (self.is_ahead(message) or self.is_voter()):
            return False
        if (message.log_term, message.index) < self._log.last:
            return False
        if message.kind == raftmessages.PREVOTE:
            return message.term > self.hard.term
        # The vote names the disk too: a member with a new disk is another
        # candidate, which must not win a term that its former disk has won.
        vote = _identity(message.sender, message.disk_id)
        if message.term != self.hard.term or self.hard.vote not in ('', vote):
            return False
        self.hard = raftlog.HardState(message.term, vote)
        return True


class Candidacy:
    """Count the votes for this member, first the pre-votes.

    ``ballots`` maps names to the disk ids that voted.
    """

    __slots__ = ('prevoting', 'ballots', '_refused', '_log')

    def __init__(
        self, log: raftlog.Log, voter: Voter, prevoting: bool
    ) -> None:
        self.prevoting = prevoting
        self.ballots: dict[str, str] = {}
        self._refused: set[str] = set()
        if voter.is_voter():
            self.ballots[voter.name] = voter.disk_id
        self._log = log

    def count(self, message: raftmessages.Message, term: int) -> None:
        """Count a vote that was granted in ``term``."""
        if (
            message.granted
            and self.prevoting == (message.kind == raftmessages.PREVOTE_ACK)
            and message.term == (term + 1 if self.prevoting else term)
            and raftmembers.votes(
                self._log.members, message.sender, message.disk_id
            )
        ):
            self.ballots[message.sender] = message.disk_id
        elif (
            not message.granted
            and not self.prevoting
            and message.kind == raftmessages.VOTE_ACK
            and message.term == term
        ):
            self._refused.add(message.sender)

    def lost(self) -> bool:
        """Tell whether too many have refused their vote in this term."""
        voters = raftmembers.voters(self._log.members)
        refused = self._refused.intersection(voters)
        quorum = raftmembers.quorum(self._log.members)
        return len(voters) - len(refused) < quorum

    def won(self) -> bool:
        """Tell whether the votes suffice."""
        return len(self.ballots) >= raftmembers.quorum(self._log.members)


def _identity(name: str, disk_id: str) -> str:
    return f'{name}/{disk_id}'
