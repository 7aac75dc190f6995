"""Tests of the state of an entry process."""

import pytest

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import queueing
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import metrics


def entry_state(plain):
    return entry.EntryState(
        'e1',
        'z1',
        leases.LeaseTimes(0.3, 1.2, 4.0),
        connections.Dialer(''),
        metrics.Metrics(),
        plain=plain,
    )


class TestPolicy:
    @pytest.mark.parametrize(
        ('plain', 'kind'),
        [(False, queueing.FairQueue), (True, queueing.FifoQueue)],
    )
    def test_plain_selects_the_queue_type(self, plain, kind):
        """Guards against ``plain`` having no effect on the queue type.

        A comparison of the two policies would then compare one with itself.
        """
        state = entry_state(plain)
        state.record_announcement(
            model.TargetInfo('g1', 'g', 'z1', '127.0.0.1:1', '', 0, 0, 5, 30)
        )
        (backend,) = state.members('g')
        assert type(backend.queue) is kind
