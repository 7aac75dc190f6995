"""Tests of leases on the holder's and the grantor's side."""

from hypothesis import given
from hypothesis import strategies as st

from sassafrasridge_core import leases
from sassafrasridge_core import model

TIMES = leases.LeaseTimes(0.3, 1.2, 4.0)


class TestHolderLease:
    def test_lease_counts_from_sending_the_renewal(self):
        """Guards against a lease that expires after the grantor's record."""
        lease = leases.HolderLease(TIMES)
        lease.sent(10.0, 1)
        lease.granted(1)
        assert lease.valid(11.19)
        assert not lease.valid(11.2)

    def test_older_answer_does_not_shorten_the_lease(self):
        """Guards against answers that arrive out of order."""
        lease = leases.HolderLease(TIMES)
        lease.sent(10.0, 1)
        lease.sent(10.5, 2)
        lease.granted(2)
        lease.granted(1)
        assert lease.valid(11.6)

    def test_ended_lease_is_never_renewed(self):
        """Guards against a late answer after a planned stop."""
        lease = leases.HolderLease(TIMES)
        lease.sent(10.0, 1)
        lease.end()
        lease.granted(1)
        assert not lease.valid(10.1)


class TestLeaseTable:
    def test_view_counts_only_when_every_live_holder_has_it(self):
        """Guards against promoting while a process has an older view."""
        table = leases.LeaseTable(TIMES, 0.0)
        table.grant(10.0, 'a#1', 'a').view_revision = 5
        table.grant(10.0, 'b#1', 'b').view_revision = 4
        assert not table.view_confirmed(10.1, 5)
        assert table.view_confirmed(11.3, 5)

    def test_new_leader_waits_for_leases_it_does_not_know(self):
        """Guards against promoting while an unknown lease is valid."""
        table = leases.LeaseTable(TIMES, 100.0)
        assert not table.view_confirmed(101.2, 0)
        assert table.view_confirmed(101.3, 0)

    def test_restarted_process_does_not_inherit_a_lease(self):
        """Guards against dropping a paused incarnation too early."""
        table = leases.LeaseTable(TIMES, 0.0)
        table.grant(10.0, 'a#1', 'a')
        table.grant(10.5, 'a#2', 'a')
        assert {h.name for h in table.live(10.6)} == {'a#1', 'a#2'}
        assert {h.name for h in table.live(11.5)} == {'a#2'}

    @given(
        sent=st.floats(0, 100),
        delay=st.floats(0, 10),
        speed=st.floats(1 - leases.MAX_CLOCK_DRIFT, 1.0),
        later=st.floats(0, 20),
    )
    def test_holder_stops_before_the_grantor_gives_away(
        self, sent, delay, speed, later
    ):
        """Guards against two holders of one share, with clocks that drift."""
        holder = leases.HolderLease(TIMES)
        holder.sent(sent * speed, 1)
        table = leases.LeaseTable(TIMES, -100.0)
        record = table.grant(sent + delay, 'a#1', 'a')
        holder.granted(1)
        now = sent + delay + later
        if not table.may_be_valid(now, record):
            assert not holder.valid(now * speed)


class TestAcknowledgedCommits:
    """Pattern: the entry process that acknowledged a commit ends.

    The replica that confirmed the commit isn't listed, so the report is all
    that tells of it.
    """

    def table(self):
        table = leases.LeaseTable(leases.LeaseTimes(), float('-inf'))
        table.grant(0.0, 'e1#1', 'e1')
        table.report_acknowledged({'g': model.Position(1, 12)})
        return table

    def test_a_report_outlives_the_lease(self):
        """Guards against a promotion without that commit after 4 s."""
        table = self.table()
        assert table.expire(100.0)
        assert table.acknowledged('g') == model.Position(1, 12)

    def test_a_report_outlives_a_planned_stop(self):
        """Guards against the same loss after a restart of the process."""
        table = self.table()
        table.release('e1#1')
        assert table.acknowledged('g') == model.Position(1, 12)

    def test_an_earlier_report_replaces_nothing(self):
        """Guards against a holder that acknowledged less than another."""
        table = self.table()
        table.report_acknowledged({'g': model.Position(1, 11)})
        assert table.acknowledged('g') == model.Position(1, 12)
