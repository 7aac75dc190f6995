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
        tracker.renewed('a', 7, -1)
        tracker.renewed('a', 3, -1)
        assert tracker.renewed('a', 3, tracker.clock) == [7]
        assert tracker.is_retired('a', 7)
        assert not tracker.is_retired('a', 3)

    def test_complete_needs_every_registered_name(self):
        tracker = incarnations.Incarnations()
        tracker.renewed('a', 1, 0)
        assert not tracker.complete(['a', 'b'])
        tracker.renewed('b', 1, 0)
        assert tracker.complete(['a', 'b'])

    def test_a_clock_of_another_leader_counts_for_nothing(self):
        """Guards against a message that was sent before the election."""
        earlier, tracker = (incarnations.Incarnations(term) for term in (4, 5))
        earlier.renewed('a', 1, -1)
        earlier.renewed('a', 2, earlier.clock)
        tracker.renewed('a', 1, -1)
        assert tracker.renewed('a', 2, earlier.clock) == []
        assert not tracker.complete(['a'])


class TestDelayedRenewals:
    """Pattern: renewals of an ended process arrive at any later time.

    Two processes of a name ran one after the other: the first one got a reply
    of this leader before it ended, and its last two renewals are held up.
    """

    def setup_method(self):
        self.tracker = incarnations.Incarnations(5)
        self.tracker.renewed('a', 1, -1)
        self.held_up = self.tracker.clock

    def test_they_never_retire_the_running_process(self):
        """Guards against a running process that gets no lease."""
        self.tracker.renewed('a', 2, -1)
        clock = self.tracker.clock
        for _ in range(2):
            assert self.tracker.renewed('a', 1, self.held_up) == []
        assert not self.tracker.is_retired('a', 2)
        assert self.tracker.renewed('a', 2, clock) == [1]

    def test_they_do_not_confirm_the_ended_process_again(self):
        """Guards against counting the use of shares of an ended process."""
        self.tracker.renewed('a', 2, -1)
        self.tracker.renewed('a', 2, self.tracker.clock)
        assert self.tracker.is_retired('a', 1)
        assert self.tracker.is_confirmed('a', 2)

    def test_an_unknown_one_is_retired_by_the_next_renewal(self):
        """Guards against shares for an ended process that nobody takes back.

        The one that is held up is of a process that this leader never heard.
        """
        self.tracker.renewed('a', 1, self.tracker.clock)
        assert self.tracker.renewed('a', 0, -1) == []
        assert self.tracker.renewed('a', 1, self.held_up) == []
        assert self.tracker.renewed('a', 1, self.tracker.clock) == [0]

    def test_a_bounded_number_is_remembered(self):
        """Guards against memory that grows with every restart."""
        for incarnation in range(2, 1000):
            self.tracker.renewed('a', incarnation, -1)
        ended = self.tracker.renewed('a', 999, self.tracker.clock)
        assert len(ended) < incarnations.MAX_REMEMBERED


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
