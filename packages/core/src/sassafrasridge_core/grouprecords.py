"""Encoding of group records as JSON."""

from typing import Any

from sassafrasridge_core import errors
from sassafrasridge_core import model


def as_json(view: model.GroupView) -> dict[str, Any]:
    """Return a group record as JSON-able values."""
    return {
        'group': view.group,
        'term': view.term,
        'primary': view.primary,
        'members': dict(sorted(view.members.items())),
        'starts': {str(t): view.starts[t] for t in sorted(view.starts)},
        'changing': view.changing,
        'log_term': view.log_term,
        'promotion': _promotion_as_json(view.promotion),
    }


def same_view(record: model.GroupView, other: model.GroupView) -> bool:
    """Return whether two records differ in their promotion at most.

    Entry processes aren't told of the promotion.
    """
    return as_json(record) == as_json(
        other.replace(promotion=record.promotion)
    )


def _promotion_as_json(
    order: model.PromotionOrder | None,
) -> dict[str, Any] | None:
    if order is None:
        return None
    return {
        'server': order.server,
        'view_term': order.view_term,
        'term': order.position.term,
        'index': order.position.index,
    }


def _promotion_from_json(
    data: dict[str, Any] | None,
) -> model.PromotionOrder | None:
    if data is None:
        return None
    position = model.Position(data['term'], data['index'])
    return model.PromotionOrder(data['server'], data['view_term'], position)


def from_json(data: dict[str, Any]) -> model.GroupView:
    """Return the group record from JSON values; raise BadRequestError."""
    try:
        view = model.GroupView(
            data['group'],
            data['term'],
            data['primary'],
            data['members'],
            {int(term): start for term, start in data['starts'].items()},
            data['changing'],
            # Records of earlier builds don't have these.
            data.get('log_term', 0),
            _promotion_from_json(data.get('promotion')),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise errors.BadRequestError(f'malformed group record: {exc!r}')
    valid = (
        isinstance(view.group, str)
        and isinstance(view.term, int)
        and (view.primary is None or isinstance(view.primary, str))
        and all(isinstance(a, str) for a in view.members.values())
        and all(isinstance(start, int) for start in view.starts.values())
        and isinstance(view.changing, bool)
        and isinstance(view.log_term, int)
        and _is_valid_order(view.promotion)
    )
    if not valid:
        raise errors.BadRequestError(
            'a field of the group record has the wrong type'
        )
    return view


def _is_valid_order(order: model.PromotionOrder | None) -> bool:
    return order is None or (
        isinstance(order.server, str)
        and isinstance(order.view_term, int)
        and isinstance(order.position.term, int)
        and isinstance(order.position.index, int)
    )
