"""Tests of incarnations of entry processes with exclusive names."""

from sassafrasridge_core import incarnations
from sassafrasridge_core import leases
from sassafrasridge_core import shares
from sassafrasridge_core import slots


class TestIncarnations:
    def test_replaced_incarnation_is_retired(self):
        """Guards against a delayed renewal that revives an ended lease."""
        tracker = incarnations.Incarnations()
        tracker.renewed('a', 7)
        assert tracker.renewed('a', 3) == 7
        assert tracker.is_retired('a', 7)
        assert not tracker.is_retired('a', 3)

    def test_complete_needs_every_registered_name(self):
        tracker = incarnations.Incarnations()
        tracker.renewed('a', 1)
        assert not tracker.complete(['a', 'b'])
        tracker.renewed('b', 1)
        assert tracker.complete(['a', 'b'])


class TestEarlyOpening:
    """Test ``open`` after all processes restarted and no share is held."""

    def test_a_new_leader_serves_at_the_full_rate_at_once(self):
        """Guards against 4 s without tokens after a power loss."""
        allocator = shares.create_allocator('demand', 0.0, 3, 4.0)
        allocator.set_account(0.0, 'acme', 100.0, 100.0)
        allocator.end_grace_period(0.1)
        pool = allocator.pool('acme')
        pool.refill(1.1)
        assert pool.free_rate(1.1) == 100.0
        assert 99.0 <= pool.tokens <= 100.0

    def test_without_opening_nothing_is_granted_for_one_time_to_live(self):
        allocator = shares.create_allocator('demand', 0.0, 3, 4.0)
        allocator.set_account(0.0, 'acme', 100.0, 100.0)
        pool = allocator.pool('acme')
        pool.refill(1.1)
        assert pool.free_rate(1.1) == 0.0

    def test_views_are_confirmed_without_waiting_for_unknown_leases(self):
        table = leases.LeaseTable(leases.LeaseTimes(), 10.0)
        assert not table.earlier_leases_expired(10.1)
        table.end_grace_period()
        assert table.earlier_leases_expired(10.1)

    def test_connections_are_divided_at_once(self):
        ledger = slots.ConnectionLedger(0.0, 1, 1.2)
        ledger.end_grace_period(0.0)
        limit = ledger.renew(0.1, 'a', 1, 0, 0, 2.0, 30, 5)
        assert limit.connections > 0
