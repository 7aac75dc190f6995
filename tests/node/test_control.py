"""Tests of a control member's leadership."""

import asyncio

import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import state as core_state
from sassafrasridge_node import connections
from sassafrasridge_node import control
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc


class _Log:
    """Stub of a replicated log; the test sets whether it leads."""

    snapshot_index = 0
    disk_id = 'disk'
    leader = None

    def __init__(self):
        self.term = 1
        self.leading = True

    def can_serve_as_leader(self, now):
        return self.leading


def _member(log):
    state = core_state.State()
    state.session_secret = 's' * 64
    return control.ControlMember(
        'c1',
        'z1',
        log,
        None,
        state,
        {},
        rpc.ClientPool(rpc.idl.Control, b's' * 32),
        leases.LeaseTimes(0.3, 1.2, 4.0),
        0.8,
        'demand',
        connections.Dialer(''),
        metrics.Metrics(),
    )


class TestLeadership:
    @pytest.mark.parametrize(('term', 'resumed'), [(1, True), (2, False)])
    def test_resumed_only_in_the_same_term(self, term, resumed):
        """Guards against losing all rate shares when leadership lapses.

        In a later term another leader may have granted shares, so the state
        of the earlier term must not be reused.
        """

        async def run():
            log = _Log()
            member = _member(log)
            member._update_leadership()
            first = member.leadership
            assert first is not None
            log.leading = False
            member._update_leadership()
            assert member.leadership is None
            log.leading = True
            log.term = term
            member._update_leadership()
            assert (member.leadership is first) == resumed
            member._end_leadership()

        asyncio.run(run())


class TestTargetsThatLeave:
    def test_a_former_leader_acknowledges_none(self):
        """Guards against a target that the new leader lists on.

        It leaves once it is acknowledged, and the proof of a promotion waits
        for it until it has been silent for 15 s.
        """

        async def run():
            log = _Log()
            member = _member(log)
            member._update_leadership()
            log.leading = False
            try:
                with pytest.raises(control.NoLeaderError):
                    await member.unregister('i-1')
            finally:
                member._end_leadership()

        asyncio.run(run())


class _FullDisk:
    """Stub of a storage whose disk is full for some attempts to write."""

    def __init__(self, failures):
        self._failures = failures
        self.closed = 0

    def check_writable(self):
        if self._failures:
            self._failures.pop()
            raise errors.StorageError('no space left on device')

    def close(self):
        self.closed += 1


class TestFullDisk:
    def test_a_member_stays_suspended_until_it_can_write(self, monkeypatch):
        """Guards against a candidate that wins but can't record its vote.

        The members that support it wait for it, so nobody leads.
        """
        monkeypatch.setattr(control, 'REOPEN_INTERVAL_S', 0.01)
        failures = [1, 2]
        opened = []

        async def run():
            member = _member(_Log())
            member._storage = _FullDisk([])

            def open_storage():
                assert member.suspended
                opened.append(_FullDisk(failures))
                return opened[-1], _Log(), core_state.State()

            member._open_storage = open_storage
            await member._reopen(errors.StorageError('full'))
            assert not member.suspended

        asyncio.run(run())
        assert [storage.closed for storage in opened] == [1, 1, 0]
