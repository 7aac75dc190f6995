"""Tests of holders that don't receive the replies to their renewals."""

from hypothesis import given
from hypothesis import strategies as st

from sassafrasridge_core import leases
from sassafrasridge_core import replytracking

TIMES = leases.LeaseTimes(0.3, 1.2, 4.0)
LONGEST_S = 60.0


class Holder:
    """Renew one at a time, like a process, and lose or delay replies.

    ``fate`` returns the delay of a reply, None if it is lost.
    """

    def __init__(self, table, fate):
        self.table, self.fate = table, fate
        self.lease = leases.HolderLease(TIMES)
        self.sequence = self.received = 0

    def renew(self, now):
        """Send a renewal; return the time of the next one."""
        self.sequence += 1
        self.lease.sent(now, self.sequence)
        granted = self.table.may_grant(now, 'e', self.sequence, self.received)
        if granted:
            self.table.grant(now, 'e', 'e')
        delay_s = self.fate(now, granted)
        if delay_s is None or delay_s > 0.45:
            return now + 0.45
        self.received = self.sequence
        if granted:
            self.lease.granted(self.sequence)
        return now + max(delay_s, 0.3 if granted else 0.05)

    def is_live(self, now):
        """Return whether the grantor counts the lease as valid."""
        return bool(self.table.live(now))


def play(fate, seconds):
    """Return a holder, and the times at which the grantor counts a lease."""
    holder = Holder(leases.LeaseTable(TIMES, float('-inf')), fate)
    now, next_at, live = 0.0, 0.0, []
    while now < seconds:
        if now >= next_at:
            next_at = holder.renew(now)
        assert holder.is_live(now) or not holder.lease.valid(now)
        live.append((now, holder.is_live(now)))
        now += 0.05
    return holder, live


def longest_live_s(live, since):
    """Return for how long a lease counted without a pause."""
    longest_s, started = 0.0, None
    for now, is_live in live:
        if now < since:
            continue
        started = (now if started is None else started) if is_live else None
        if started is not None:
            longest_s = max(longest_s, now - started)
    return longest_s


class TestHolderWithoutReplies:
    def test_it_counts_for_a_limited_time(self):
        """Guards against a change of primary that waits for it for good."""
        _, live = play(lambda now, granted: None, 10.0)
        assert longest_live_s(live, 0.0) < 3.0
        assert not any(is_live for now, is_live in live if now > 4.0)

    def test_it_counts_with_pauses_if_only_grants_are_lost(self):
        """Guards against the same where small replies arrive."""
        _, live = play(lambda now, granted: None if granted else 0.02, 30.0)
        assert longest_live_s(live, 0.0) < 4.0
        assert longest_live_s(live, 4.0) < 1.5

    def test_it_gets_a_lease_once_replies_arrive(self):
        """Guards against a process that stays without a lease."""
        holder, _ = play(lambda now, granted: None if now < 5.0 else 0.02, 6.0)
        assert holder.lease.valid(6.0)

    def test_it_gets_a_lease_once_grants_arrive(self):
        holder, _ = play(
            lambda now, granted: None if granted and now < 8.0 else 0.02, 12.0
        )
        assert holder.lease.valid(12.0)

    def test_single_lost_replies_change_nothing(self):
        """Guards against refusing a process whose path is only lossy."""
        holder, live = play(
            lambda now, granted: None if int(now / 0.6) % 2 else 0.02, 20.0
        )
        assert all(is_live for _, is_live in live)
        assert not holder.table.is_suspended('e')

    def test_a_pause_of_the_holder_changes_nothing(self):
        """Guards against refusing a process that was frozen or cut off."""
        replies = replytracking.ReplyTracker(1.2)
        assert replies.may_grant(0.0, 1, 0)
        assert replies.may_grant(0.3, 2, 1)
        assert replies.may_grant(9.0, 3, 1)
        assert replies.may_grant(9.5, 4, 3)

    def test_an_earlier_build_is_not_tracked(self):
        table = leases.LeaseTable(TIMES, float('-inf'))
        for turn in range(20):
            assert table.may_grant(turn * 0.3, 'e', turn, None)

    def test_a_renewal_that_was_held_up_grants_nothing(self):
        """Guards against a lease for a process that gets no replies."""
        replies = replytracking.ReplyTracker(1.2)
        for turn in range(1, 8):
            replies.may_grant(turn * 0.45, turn, 0)
        assert replies.suspended
        assert not replies.may_grant(3.2, 3, 0)


class TestLeases:
    @given(
        fates=st.lists(
            st.sampled_from([0.0, 0.02, 0.2, 0.44, None]), min_size=1
        ),
        outages=st.lists(
            st.tuples(
                st.floats(0.0, LONGEST_S),
                st.floats(0.1, 9.0),
                st.booleans(),
            ),
            max_size=4,
        ),
    )
    def test_the_holder_stops_before_the_grantor(self, fates, outages):
        """Guards against a lease that is taken for ended too early."""
        turn = 0

        def fate(now, granted):
            nonlocal turn
            turn += 1
            for start, seconds, small_arrive in outages:
                if start <= now < start + seconds:
                    if granted or not small_arrive:
                        return None
            return fates[turn % len(fates)]

        play(fate, LONGEST_S)
