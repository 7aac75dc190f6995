"""Load: a fleet that starts while targets count its former connections.

All VMs lose their power at once and start again a second later. The targets
count the connections of the former processes until three seconds after the
loss, and callers wait at every new process.
"""

import pytest

from sassafrasridge_core import slots

# Statements in flight or waiting at one process.
DEMAND = 50.0


class Fleet:
    """Divide the connections to one target between seven processes."""

    def __init__(self, accepted, term, slot_count):
        self.ledger = slots.ConnectionLedger(0.0, term)
        self.ledger.end_grace_period(0.0)
        self.slot_count = slot_count
        self.budget = slots.usable_connections(accepted)
        self.grants = dict.fromkeys((f'e{n}' for n in range(7)), (0, 0))

    def renew(self, rounds):
        """Renew each lease several times; return the connections granted."""
        for number in range(rounds):
            for entry, (version, limit) in self.grants.items():
                grant = self.ledger.renew(
                    0.1 * number,
                    entry,
                    1,
                    version,
                    limit,
                    DEMAND,
                    self.budget,
                    self.slot_count,
                )
                self.grants[entry] = grant.version, grant.connections
        return [connections for _, connections in self.grants.values()]


@pytest.mark.parametrize('accepted, slot_count', [(21, 3), (30, 2), (78, 5)])
class TestRestartedFleet:
    def test_free_connections_fill_the_slots(self, accepted, slot_count):
        """Guards against a restart in which a target rejects all callers."""
        former = sum(Fleet(accepted, 1, slot_count).renew(5))
        assert accepted - former >= slot_count
        assert sum(Fleet(accepted, 2, slot_count).renew(5)) >= slot_count

    def test_statements_are_not_limited_before(self, accepted, slot_count):
        """Guards against a reserve that slows the usual load."""
        used = sum(Fleet(accepted, 1, slot_count).renew(5))
        assert used >= slots.STATEMENTS_PER_SLOT * slot_count
