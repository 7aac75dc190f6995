"""Passes reports of acknowledged commits on between control members.

They are attached to messages of the replicated log, so that a leader's reports
don't end with it: each heartbeat carries what is new since the last delivered
one, and each member that votes for a leader or follows it sends it all it has
once.
"""

from sassafrasridge_core import acknowledged
from sassafrasridge_core import raftmessages

# Limit for one follower. More commits than this in a heartbeat interval are
# sent less often: their number grows with that of the groups.
MAX_COMMITS_PER_S = 3000
# Interval at which a follower is sent everything again: it may have restarted.
REFRESH_INTERVAL_S = 5.0


class Attachment:
    """Hold encoded commits for a member, and what their delivery shows."""

    __slots__ = ('member', 'body', 'version', 'is_full', 'term')

    def __init__(
        self, member: str, body: bytes, version: int, is_full: bool, term: int
    ) -> None:
        self.member = member
        self.body = body
        self.version = version
        self.is_full = is_full
        self.term = term


class CommitReports:
    """Choose which reported commits a message carries."""

    def __init__(self, known: acknowledged.AcknowledgedCommits) -> None:
        self._known = known
        # Last versions that followers have.
        self._delivered: dict[str, int] = {}
        self._refresh_at: dict[str, float] = {}
        # Earliest times of the next commits for followers.
        self._next_at: dict[str, float] = {}
        # Terms in which everything was delivered to a leader or candidate.
        self._full_terms: dict[str, int] = {}
        # Versions between which the encoded commits were reported.
        self._encoded_versions = (0, 0)
        self._encoded = acknowledged.encode({})
        self._encoded_count = 0

    def attachment(
        self, now: float, message: raftmessages.Message, to_voter: bool
    ) -> Attachment | None:
        """Return what a message is to carry, None if nothing is new.

        Only a voter may become the next leader.
        """
        member, version = message.recipient, self._known.version
        if message.kind == raftmessages.HEARTBEAT and to_voter:
            if now < self._next_at.get(member, now):
                return None
            is_full = now >= self._refresh_at.get(member, now)
            since = 0 if is_full else self._delivered.get(member, 0)
        elif message.kind == raftmessages.HEARTBEAT_ACK or (
            message.kind == raftmessages.VOTE_ACK and message.granted
        ):
            if self._full_terms.get(member) == message.term:
                return None
            since, is_full = 0, False
        else:
            return None
        if since == version:
            return None
        body = self._encode(since)
        pause_s = self._encoded_count / MAX_COMMITS_PER_S
        self._next_at[member] = now + pause_s
        return Attachment(member, body, version, is_full, message.term)

    def _encode(self, since: int) -> bytes:
        # Most followers have the same version.
        versions = since, self._known.version
        if versions != self._encoded_versions:
            self._encoded_versions = versions
            changes = self._known.changes(since)
            self._encoded = acknowledged.encode(changes)
            self._encoded_count = len(changes)
        return self._encoded

    def delivered(self, now: float, sent: Attachment) -> None:
        """Record that a member has processed a message."""
        known = self._delivered.get(sent.member, 0)
        self._delivered[sent.member] = max(known, sent.version)
        self._full_terms[sent.member] = sent.term
        if sent.is_full:
            self._refresh_at[sent.member] = now + REFRESH_INTERVAL_S

    def receive(self, body: bytes) -> None:
        """Record what a message of another member carried.

        Raises BadRequestError.
        """
        self._known.report(acknowledged.decode(body))
