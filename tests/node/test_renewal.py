"""Tests of the renewals that an entry process sends."""

import asyncio

import pytest

from sassafrasridge_core import leases
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import metrics
from sassafrasridge_node import renewal
from sassafrasridge_node import rpc
from sassafrasridge_testkit import virtualtime

TIMES = leases.LeaseTimes(0.3, 1.2, 4.0)
# Time of a renewal and its reply.
ROUND_TRIP_S = 0.01


class Leader:
    """Grant all renewals, and record them with their times."""

    def __init__(self, loop):
        self.loop = loop
        self.clock = 3 << 32
        self.requests = []
        # Revision of the leader, and which calls get no reply.
        self.revision = 0
        self.is_lost = lambda req: False

    def get(self, _address):
        return self

    async def call(self, _method, req, timeout_s):
        self.requests.append((self.loop.time(), req))
        await asyncio.sleep(ROUND_TRIP_S)
        if self.is_lost(req):
            raise rpc.RpcError('lost', sent=True)
        return rpc.idl.RenewReply(
            granted=True,
            leader_term=3,
            sequence=req.sequence,
            revision=self.revision,
            view_revision=0,
            deltas=[],
            groups=[],
            shares=[],
            connections=[],
            leader_clock=self.clock,
        )


@pytest.fixture
def loop(monkeypatch):
    """Return a loop in virtual time that ends after its test."""
    loop = virtualtime.VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    monkeypatch.setattr(clocks, 'boottime', loop.time)
    yield loop
    asyncio.set_event_loop(None)
    loop.close()


class TestLeaderClock:
    """Pattern: a leader divides shares once all have returned its clock."""

    @pytest.fixture(autouse=True)
    def _start(self, loop):
        self.loop, self.leader = loop, Leader(loop)
        self.state = entry.EntryState(
            'e1', 'z1', TIMES, connections.Dialer(), metrics.Metrics()
        )
        renewer = renewal.LeaseRenewer(self.state, self.leader, ['c'], 1, '')
        task = loop.create_task(renewer.run())
        yield
        assert not task.done()
        task.cancel()
        loop.advance(0.0)

    def clocks(self):
        return [req.leader_clock for _, req in self.leader.requests]

    def test_a_process_that_starts_returns_it_at_once(self):
        """Guards against a start that waits for another interval."""
        self.loop.advance(3 * ROUND_TRIP_S)
        assert self.clocks() == [None, self.leader.clock]

    def test_the_last_one_is_returned(self):
        """Guards against an ended incarnation that keeps its shares."""
        self.loop.advance(0.4)
        self.leader.clock += 1
        self.loop.advance(0.8)
        assert self.clocks()[-1] == self.leader.clock

    def test_the_last_reply_that_arrived_is_reported(self):
        """Guards against a leader that waits for a process without replies."""
        self.leader.is_lost = lambda req: 3 <= req.sequence < 6
        self.loop.advance(4.0)
        received = [req.received_sequence for _, req in self.leader.requests]
        assert received[:8] == [0, 1, 2, 2, 2, 2, 6, 7]

    def test_missing_changes_are_fetched_without_delay(self):
        """Guards against a process that stays behind while it catches up."""
        self.loop.advance(0.4)
        self.state.shares.ever_granted = True
        self.leader.revision = 9
        self.loop.advance(0.9)
        times = [at for at, _ in self.leader.requests][-4:]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(gaps) < TIMES.renew_interval_s / 2

    def test_a_process_with_shares_keeps_its_interval(self):
        """Guards against twice the renewals right after an election."""
        self.loop.advance(0.4)
        self.state.shares.ever_granted = True
        self.leader.clock = 4 << 32
        self.loop.advance(1.2)
        times = [at for at, _ in self.leader.requests][2:]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert min(gaps) > 0.9 * TIMES.renew_interval_s
