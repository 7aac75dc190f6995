"""Tests of entry processes that relay statements to a serving process."""

import pytest

from sassafrasridge_core import placement
from tests.integration import conftest

ENTRIES = 9


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1',), [f'z{n % 3 + 1}' for n in range(ENTRIES)])


def relaying_indexes(system):
    """Return the indexes of entry processes outside the serving set."""
    nodes = list(system.deployment.entries.values())
    serving = placement.serving_set(
        conftest.GROUP,
        [node.name for node in nodes],
        zones={node.name: node.zone for node in nodes},
    )
    return [n for n, node in enumerate(nodes) if node.name not in serving]


class TestRelay:
    def test_every_entry_process_serves(self, system):
        """Guards against a refusal by a process outside the serving set."""
        assert (
            len(relaying_indexes(system))
            == ENTRIES - placement.SERVING_SET_SIZE
        )
        token = None
        for number in range(ENTRIES):
            caller = system.caller(number)
            caller.token = token
            answer = caller.statements(
                ('INSERT INTO t VALUES (?)', [number]), deadline_ms=5000
            )
            assert answer.status == 200, answer
            answer = caller.read('SELECT max(a) FROM t')
            assert answer.rows == [[number]], answer
            token = caller.token

    def test_connections_stay_within_the_budget(self, system):
        """Guards against connections from processes that only relay."""
        for server in system.group.servers.values():
            assert server.observations()['connections'] <= 30

    def test_errors_of_the_serving_process_are_returned(self, system):
        """Guards against replacing a statement error by an internal error."""
        caller = system.caller(relaying_indexes(system)[0])
        answer = caller.statements('INSERT INTO missing VALUES (1)')
        assert answer.status == 400
        assert answer.kind == 'statement_failed'
        tx = caller.begin()
        assert tx.begin_answer.status == 201
        assert tx.rollback().status == 200

    def test_relayed_write_survives_a_killed_process(self, system):
        """Guards against losing or repeating a relayed write."""
        caller = system.caller(relaying_indexes(system)[0])
        nodes = list(system.deployment.entries.values())
        names = [node.name for node in nodes]
        zones = {node.name: node.zone for node in nodes}
        first = placement.serving_set(conftest.GROUP, names, zones=zones)[0]
        victim = system.deployment.entries[first]
        victim.process.kill()
        for value in range(100, 110):
            answer = caller.statements(
                ('INSERT INTO t VALUES (?)', [value]), deadline_ms=8000
            )
            assert answer.status == 200, answer
        victim.process.start()
        system.deployment.wait_ready(victim)
        stored = [v for v in system.values() if v >= 100]
        assert stored == list(range(100, 110))
