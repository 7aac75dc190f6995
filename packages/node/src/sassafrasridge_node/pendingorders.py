"""Promotions that were ordered and whose outcome isn't known."""

import collections.abc

from sassafrasridge_core import model

# Time after which an order that was sent and not answered no longer takes
# effect. The service that handles orders states no limit of its own.
MAX_ORDER_DELAY_S = 15.0


class PendingOrders:
    """Track until when ordered promotions may take effect, by group.

    The orders themselves are part of the groups' records. This control leader
    adds what it knows of their answers; orders of earlier leaders count as
    sent at ``started_at``, when its leadership began. ``has_ended`` tells
    whether the target of a view's promotion is known to have ended.

    >>> orders = PendingOrders(started_at=0.0)
    >>> order = model.PromotionOrder('b', 2, model.Position(1, 9))
    >>> view = model.GroupView('g', 2, promotion=order)
    >>> orders.may_take_effect(14.0, view), orders.may_take_effect(16.0, view)
    (True, False)
    >>> orders.recorded(14.0, view)
    >>> orders.may_take_effect(14.0, view)
    True
    >>> orders.recorded(16.0, view)
    >>> orders.may_take_effect(14.0, view)
    False
    >>> orders.unanswered(20.0, 'g')
    >>> orders.may_take_effect(30.0, view)
    True
    """

    __slots__ = ('_started_at', '_has_ended', '_unanswered_at')

    def __init__(
        self,
        started_at: float,
        has_ended: collections.abc.Callable[[model.GroupView], bool] = (
            lambda view: False
        ),
    ) -> None:
        self._started_at = started_at
        self._has_ended = has_ended
        # When an order that has no definite answer was last sent. A group
        # whose promotion an earlier leader recorded is missing.
        self._unanswered_at: dict[str, float] = {}

    def recorded(self, now: float, replaced: model.GroupView) -> None:
        """Note that this leader recorded a promotion, but sent no order.

        An order in the ``replaced`` record, to the same target, stays
        unanswered.
        """
        if not self.may_take_effect(now, replaced):
            self._unanswered_at[replaced.group] = float('-inf')

    def unanswered(self, now: float, group: str) -> None:
        """Note that an order was sent whose outcome isn't known."""
        self._unanswered_at[group] = now

    def may_take_effect(self, now: float, view: model.GroupView) -> bool:
        """Return whether the promotion of a view's record may still happen."""
        return self.is_recent(now, view) and not self._has_ended(view)

    def is_recent(self, now: float, view: model.GroupView) -> bool:
        """Return whether the promotion may happen if its target still runs."""
        if view.promotion is None:
            return False
        sent_at = self._unanswered_at.get(view.group, self._started_at)
        return now <= sent_at + MAX_ORDER_DELAY_S

    def target_ended(self, now: float, view: model.GroupView) -> bool:
        """Return whether only the end of its target ends a promotion."""
        return self.is_recent(now, view) and self._has_ended(view)

    def may_promote(
        self,
        now: float,
        view: model.GroupView,
        server: str,
        end: model.Position,
    ) -> bool:
        """Return whether a target whose log has this end may be promoted.

        Nobody else is while an earlier order may take effect. If the target of
        that order has ended, its successor may hold commits that no other
        target has, so another one must be as far as it was.
        """
        if view.promotion is None or not self.is_recent(now, view):
            return True
        if self._has_ended(view):
            return end >= view.promotion.position
        return server == view.promotion.server

    def remaining(
        self, now: float, view: model.GroupView
    ) -> model.PromotionOrder | None:
        """Return the promotion that the next record must keep, if any."""
        return view.promotion if self.may_take_effect(now, view) else None


def is_ordered(view: model.GroupView) -> bool:
    """Return whether a promotion was recorded in this change."""
    return view.promotion is not None and view.promotion.view_term == view.term
