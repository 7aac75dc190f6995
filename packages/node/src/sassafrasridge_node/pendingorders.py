"""Promotions that were ordered and whose outcome isn't known."""

from sassafrasridge_core import model

# Time after which an order that was sent and not answered no longer takes
# effect. The service that handles orders states no limit of its own.
MAX_ORDER_DELAY_S = 15.0


class PendingOrders:
    """Track until when ordered promotions may take effect, by group.

    The orders themselves are part of the groups' records. This control leader
    adds what it knows of their answers; orders of earlier leaders count as
    sent at ``started_at``, when its leadership began.

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

    __slots__ = ('_started_at', '_unanswered_at')

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
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
        if view.promotion is None:
            return False
        sent_at = self._unanswered_at.get(view.group, self._started_at)
        return now <= sent_at + MAX_ORDER_DELAY_S

    def remaining(
        self, now: float, view: model.GroupView
    ) -> model.PromotionOrder | None:
        """Return the promotion that the next record must keep, if any."""
        return view.promotion if self.may_take_effect(now, view) else None
