"""Proof that replicas hold every acknowledged commit of their group."""

import typing

from sassafrasridge_core import model
from sassafrasridge_node import grouporders

# Reason of a missing proof: no paused replica has every acknowledged commit.
LACKS_ACKNOWLEDGED = 'lacks_acknowledged'


class PromotionProof:
    """Hold the replicas that provably have every acknowledged commit."""

    __slots__ = ('candidates', 'reason')

    def __init__(
        self, candidates: list[grouporders.ServerStatus], reason: str = ''
    ) -> None:
        self.candidates = candidates
        self.reason = reason


def prove_candidates(
    members: typing.Collection[str],
    former: str | None,
    paused: typing.Sequence[grouporders.ServerStatus],
    stepped_down: grouporders.ServerStatus | None,
    acknowledged: model.Position | None = None,
) -> PromotionProof:
    """Return the replicas that are safe to promote, none without proof.

    Replicas that have reached the position at which the former primary
    stepped down hold all its commits. Otherwise all members except the former
    primary must be paused: a commit is acknowledged once one replica has
    received it, so those with the highest position hold every commit that a
    member confirmed. A replica that is not a member yet confirms commits too,
    so they must also have reached ``acknowledged``, the last commit that an
    entry process reported as acknowledged.

    >>> def at(server, index):
    ...     received = model.Position(1, index)
    ...     return grouporders.ServerStatus(server, False, 1, 2, received)
    >>> members = ['a', 'b', 'c']
    >>> both = prove_candidates(members, 'a', [at('b', 5), at('c', 7)], None)
    >>> [status.server for status in both.candidates]
    ['c']
    >>> prove_candidates(members, 'a', [at('b', 5)], None).candidates
    []
    >>> prove_candidates(members, 'a', [at('b', 5)], at('a', 5)).reason
    'former_position'
    >>> last = model.Position(1, 8)
    >>> paused = [at('b', 5), at('c', 7)]
    >>> prove_candidates(members, 'a', paused, None, last).reason
    'lacks_acknowledged'
    """
    # A primary that lost its log steps down behind what it acknowledged.
    if stepped_down is not None and (
        acknowledged is None or stepped_down.received >= acknowledged
    ):
        reached = [s for s in paused if s.received >= stepped_down.received]
        if reached:
            return PromotionProof(reached, 'former_position')
    answered = {status.server for status in paused}
    missing = set(members) - answered - {former}
    if not paused or missing:
        return PromotionProof([], 'not_proved')
    furthest = max(status.received for status in paused)
    if acknowledged is not None and furthest < acknowledged:
        return PromotionProof([], LACKS_ACKNOWLEDGED)
    return PromotionProof(
        [s for s in paused if s.received == furthest], 'all_paused'
    )


def find_acting_primary(
    view: model.GroupView,
    statuses: typing.Sequence[grouporders.ServerStatus],
) -> grouporders.ServerStatus | None:
    """Return the target that acts as primary in the newest known term.

    A primary that was replaced acts on until it is told, so one of an earlier
    term lacks commits of its successor.

    >>> position = model.Position(1, 5)
    >>> old = grouporders.ServerStatus('a', True, 1, 0, position)
    >>> find_acting_primary(model.GroupView('g', log_term=1), [old]).server
    'a'
    >>> find_acting_primary(model.GroupView('g', log_term=2), [old])
    """
    newest_term = max(view.log_term, *(s.term for s in statuses), 0)
    return next(
        (s for s in statuses if s.primary and s.term == newest_term), None
    )


def leads(status: grouporders.ServerStatus, view: model.GroupView) -> bool:
    """Return whether a target has taken over from the former primary."""
    return status.primary and status.term > view.log_term
