"""Tests that only writes stored by a majority are acknowledged."""

import time

import pytest

from sassafrasridge_testkit import harness


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1', 'z2', 'z3'), ('z1', 'z2', 'z3'))


class TestUnreplicatedWrite:
    def test_write_without_a_majority_is_not_acknowledged(self, system):
        """Guards against acknowledging a write that only one server has."""
        primary = system.group.primary()
        assert system.insert(1).status == 200
        primary.set_faults(stop_replication=True)
        answer = system.insert(2, deadline_ms=1500)
        assert answer.status == 504, answer
        assert answer.body['error']['outcome'] == 'unknown'
        primary.process.kill()
        harness.wait_until(
            lambda: system.insert(3, deadline_ms=3000).status == 200,
            10,
            'write after the change of primary',
        )
        assert {1, 3} <= set(system.values())
        primary.restart()
        system.wait_settled()
        # The former primary has discarded the write that it alone had.
        assert 2 not in system.values()

    def test_resend_after_the_change_tells_the_truth(self, system):
        """Guards against answering a resend from a discarded log entry."""
        primary = system.group.primary()
        primary.set_faults(stop_replication=True)
        answer = system.insert(10, deadline_ms=1500, idempotency_key='w-10')
        assert answer.status == 504, answer
        primary.process.kill()
        answer = harness.wait_until(
            lambda: (
                (
                    result := system.insert(
                        10, 1, deadline_ms=3000, idempotency_key='w-10'
                    )
                ).status
                == 200
                and result
            ),
            10,
            'answer to the resend',
        )
        assert answer.body['replayed'] is False
        assert system.values().count(10) == 1
        primary.restart()
        system.wait_settled()


class TestMajorityLost:
    def test_writes_are_refused_and_reads_are_served(self, system):
        """Guards against a promotion without a majority of the group."""
        servers = list(system.group.servers.values())
        primary = system.group.primary()
        others = [s for s in servers if s is not primary]
        assert system.insert(20).status == 200
        for server in (primary, others[0]):
            server.process.kill()
        time.sleep(2.0)
        answer = system.insert(21, deadline_ms=1000)
        assert answer.status in (503, 504), answer
        group = system.status()['groups'][0]
        assert group['group_majority_lost'], group
        assert group['primary'] is None
        answer = system.caller(0).read('SELECT max(a) FROM t')
        assert answer.status == 200, answer
        for server in (primary, others[0]):
            server.restart()
        system.wait_settled()
        assert {1, 3, 10, 20} <= set(system.values())
