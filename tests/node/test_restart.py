"""Tests of the election after a restart of all control members.

Pattern of load: all VMs lose power at once. Every caller waits until a
control leader is elected, and no member may vote before a lease that it may
have confirmed before the restart has run out.
"""

import random
import types

import pytest

from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_node import clocks
from sassafrasridge_node import main
from sassafrasridge_node import storage

START_S = 0.4


def open_log(folder, exclusive_names, member=None):
    """Open the log of a member that has taken part in an election."""
    files = storage.Storage(str(folder), lambda: 'd1')
    stored = files.load({'m': raft.Member(disk_id='d1')})
    ready = raft.Ready()
    ready.hard_state = raftlog.HardState(3, '')
    files.persist(ready)
    assert stored.hard_state.term == 0
    files.close()
    cfg = types.SimpleNamespace(
        exclusive_names=exclusive_names,
        bootstrap=False,
        members={},
        seeds=[],
    )
    daemon = main.Daemon.__new__(main.Daemon)
    daemon.cfg = types.SimpleNamespace(
        node=types.SimpleNamespace(data_folder=str(folder)),
        timing=types.SimpleNamespace(log_heartbeat=0.1),
    )
    daemon.member = member
    daemon._rng = random.Random(1)
    files, log, _ = daemon._open_log('m', cfg)
    files.close()
    return log


class TestNoVoteSince:
    @pytest.fixture(autouse=True)
    def process_start(self, monkeypatch):
        self.started_at = clocks.boottime() - START_S
        monkeypatch.setattr(clocks, 'PROCESS_STARTED_AT', self.started_at)

    def test_the_time_of_the_start_counts(self, tmp_path):
        """Guards against callers that wait for the start twice."""
        log = open_log(tmp_path, True)
        assert log._voter.leader_heard_at == self.started_at
        assert log._voter.heard_leader_recently(self.started_at + 0.49)
        assert not log._voter.heard_leader_recently(self.started_at + 0.51)

    def test_without_exclusive_names_the_start_does_not_count(self, tmp_path):
        """Guards against a vote while the former process may still run."""
        opened_at = clocks.boottime()
        log = open_log(tmp_path, False)
        assert log._voter.leader_heard_at >= opened_at

    def test_a_log_that_is_opened_again_waits_from_then_on(self, tmp_path):
        """Guards against a vote after a disk error of a running member."""
        opened_at = clocks.boottime()
        log = open_log(tmp_path, True, member=object())
        assert log._voter.leader_heard_at >= opened_at
