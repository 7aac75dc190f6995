"""Tests of incarnations of entry processes with exclusive names."""

import pytest

from sassafrasridge_core import holdings
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

    def test_the_time_that_nobody_used_counts(self):
        """Guards against refusing callers that come back all at once.

        They waited while everything was down, and each account's tokens have
        accrued since the last process started.
        """
        allocator = shares.create_allocator('demand', 0.0, 3, 4.0)
        allocator.set_account(0.0, 'acme', 20.0, 30.0)
        allocator.end_grace_period(0.1, 0.6)
        pool = allocator.pool('acme')
        assert pool.tokens == pytest.approx(12.0)
        allocator.end_grace_period(0.2, 60.0)
        assert pool.tokens == pytest.approx(12.0)

    def test_tokens_of_an_unused_time_never_exceed_the_burst(self):
        allocator = shares.create_allocator('demand', 0.0, 3, 4.0)
        allocator.set_account(0.0, 'acme', 20.0, 30.0)
        allocator.end_grace_period(0.1, 60.0)
        assert allocator.pool('acme').tokens == 30.0

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


class TestUnusedTime:
    """Test ``unused_s``: how long no process has held a share of a rate."""

    def test_it_counts_from_the_last_start(self):
        known = incarnations.Incarnations()
        known.report_unused(10.0, 'a', 1, 5.0)
        known.report_unused(10.1, 'b', 1, 0.5)
        assert known.unused_s(10.3, ['a', 'b']) == pytest.approx(0.7)

    def test_one_process_that_held_a_share_ends_it(self):
        """Guards against granting tokens that were used already."""
        known = incarnations.Incarnations()
        known.report_unused(10.0, 'a', 1, 5.0)
        known.report_unused(10.0, 'b', 1, 5.0)
        known.report_unused(10.1, 'b', 1, 0.0)
        assert known.unused_s(10.3, ['a', 'b']) == 0.0

    def test_a_delayed_report_does_not_revoke_the_use(self):
        """Guards against renewals that arrive out of order."""
        known = incarnations.Incarnations()
        known.report_unused(10.0, 'a', 1, 0.0)
        known.report_unused(10.1, 'a', 1, 5.0)
        assert known.unused_s(10.3, ['a']) == 0.0
        known.report_unused(10.4, 'a', 2, 0.1)
        assert known.unused_s(10.4, ['a']) == pytest.approx(0.1)

    def test_a_process_that_has_not_renewed_ends_it(self):
        known = incarnations.Incarnations()
        known.report_unused(10.0, 'a', 1, 5.0)
        assert known.unused_s(10.3, ['a', 'b']) == 0.0
        assert known.unused_s(10.3, []) == 0.0

    def test_a_delayed_report_never_makes_it_longer(self):
        known = incarnations.Incarnations()
        known.report_unused(10.0, 'a', 1, 1.0)
        known.report_unused(10.5, 'a', 1, 1.1)
        assert known.unused_s(10.5, ['a']) <= 1.5


class TestReportOfUse:
    """Test what a process says about its own use of shares."""

    def test_the_first_grant_ends_the_unused_time(self):
        buckets = holdings.BucketSet()
        buckets.build_reports(1.0, 1)
        buckets.apply_answer(1.1, 1, True, [])
        assert not buckets.ever_granted
        (report,) = [buckets.bucket('acme').report(1.2)]
        buckets.build_reports(1.2, 2)
        grant = holdings.Grant(
            'acme', report.version, report.version + 1, 5.0, 5.0, 1.0
        )
        buckets.apply_answer(1.3, 2, True, [grant])
        assert buckets.ever_granted
