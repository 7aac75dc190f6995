"""Changes of control members that the leader makes without an operator."""

import collections.abc

from sassafrasridge_core import raftmembers

REMOVE_AFTER_S = 2.0
"""Silence of a member before it may be removed; twice the longest election
timeout, so that a paused member of a healthy cluster is kept."""


def surplus(
    members: raftmembers.Members,
    silence_s: collections.abc.Mapping[str, float],
    tolerated: int,
) -> str | None:
    """Return a silent member that the cluster is safer without.

    A voter is removed only while at least ``2 * tolerated + 1`` other voters
    answer, so the removal never lowers the number of losses to be borne. A
    silent learner holds no vote and may go at any time.

    >>> three = {n: raftmembers.Member(n) for n in 'abc'}
    >>> surplus(three, {'c': 9.0}, 1)
    >>> surplus({**three, 'd': raftmembers.Member('d')}, {'c': 9.0}, 1)
    'c'
    """
    silent = [n for n, age in silence_s.items() if age > REMOVE_AFTER_S]
    for name in silent:
        if name in members and not members[name].voter:
            return name
    answering = [n for n in raftmembers.voters(members) if n not in silent]
    if len(answering) < 2 * tolerated + 1:
        return None
    return next((n for n in silent if n in members), None)


class SilenceTracker:
    """Measure how long members have been silent towards the leader.

    A member counts from when this leader first saw it listed with its disk:
    a learner that was just added has not been asked anything yet.
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
        """Return the silence in seconds of each member with a progress.

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
