"""Tests of the JSON encoding of group records."""

import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import grouprecords
from sassafrasridge_core import model


class TestPromotionOrder:
    def record(self):
        order = model.PromotionOrder('b', 4, model.Position(3, 9))
        view = model.GroupView('g', 4, 'a', {'a': 'x'}, promotion=order)
        return grouprecords.as_json(view)

    def test_it_outlives_a_restart(self):
        """Guards against a leader that forgets a former leader's order."""
        order = grouprecords.from_json(self.record()).promotion
        assert (order.server, order.view_term) == ('b', 4)
        assert order.position == model.Position(3, 9)

    def test_records_of_earlier_builds_have_none(self):
        record = self.record()
        del record['promotion']
        assert grouprecords.from_json(record).promotion is None

    @pytest.mark.parametrize(
        'order',
        [
            {'server': 'b'},
            {'server': 7, 'view_term': 4, 'term': 3, 'index': 9},
            {'server': 'b', 'view_term': 4, 'term': 'x', 'index': 9},
        ],
    )
    def test_malformed_ones_are_refused(self, order):
        with pytest.raises(errors.BadRequestError):
            grouprecords.from_json({**self.record(), 'promotion': order})
