"""Automatic removal of silent control members by the leader."""

import collections.abc

from sassafrasridge_core import raftmembers

# A member may be removed after this time without a response. It is twice the
# maximum election timeout, so that a healthy cluster keeps a member that was
# only paused briefly.
SILENCE_BEFORE_REMOVAL_S = 2.0


def surplus(
    members: raftmembers.Members,
    silence_s: collections.abc.Mapping[str, float],
    tolerated: int,
) -> str | None:
    """Return the name of a silent member that may be removed, or None.

    A voter may be removed only while at least ``2 * tolerated + 1`` other
    voters respond, so the cluster still tolerates ``tolerated`` losses
    afterwards. A silent learner has no vote and may be removed at any time.
    ``silence_s`` maps names to the time in s without a response.

    >>> three = {n: raftmembers.Member(n) for n in 'abc'}
    >>> surplus(three, {'c': 9.0}, 1)
    >>> surplus({**three, 'd': raftmembers.Member('d')}, {'c': 9.0}, 1)
    'c'
    """
    silent = [
        n for n, age in silence_s.items() if age > SILENCE_BEFORE_REMOVAL_S
    ]
    for name in silent:
        if name in members and not members[name].voter:
            return name
    answering = [n for n in raftmembers.voters(members) if n not in silent]
    if len(answering) < 2 * tolerated + 1:
        return None
    return next((n for n in silent if n in members), None)


class SilenceTracker:
    """Measure how long members have not responded to this leader.

    The time counts at the earliest from when this leader first saw the member
    listed with its disk: a learner that was just added may not have been sent
    any message yet.
    """

    __slots__ = ('_listed_at',)

    def __init__(self) -> None:
        self._listed_at: dict[tuple[str, str], float] = {}

    def silence(
        self,
        now: float,
        members: raftmembers.Members,
        progress: collections.abc.Mapping[str, tuple[int, float]],
    ) -> dict[str, float]:
        """Return the seconds without a response, per name in ``progress``.

        ``progress`` maps names to (match index, ack time in s).

        >>> tracker = SilenceTracker()
        >>> listed = {'b': raftmembers.Member('disk')}
        >>> tracker.silence(5.0, listed, {'b': (0, float('-inf'))})
        {'b': 0.0}
        >>> tracker.silence(7.0, listed, {'b': (3, 6.5)})
        {'b': 0.5}
        """
        identities = {(n, m.disk_id) for n, m in members.items()}
        self._listed_at = {
            identity: self._listed_at.get(identity, now)
            for identity in identities
        }
        return {
            name: now
            - max(acked_at, self._listed_at[name, members[name].disk_id])
            for name, (_, acked_at) in progress.items()
            if name in members
        }
