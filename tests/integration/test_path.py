"""Tests of the whole request path: consistency, transactions and keys."""

import time

import pytest

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

KEY = 'caller-key-1'


@pytest.fixture(scope='module')
def system():
    with harness.Harness() as kit:
        deployment = deployments.Deployment(kit).start()
        group = kit.start_group(
            'orders-db', announce=deployment.announce_addresses
        )
        deployment.note(
            added=[
                deployments.service('orders', 'orders-db'),
                *deployments.account('shop', KEY, ['orders']),
            ]
        )
        deployment.wait_in_force()
        yield deployment, group


class TestPath:
    def test_a_roaming_session_reads_its_own_write(self, system):
        """Guards against a session that loses its write on another process."""
        deployment, _ = system
        first, second = deployment.entries.values()
        writer = deployment.caller(first, KEY)
        answer = writer.statements(
            'CREATE TABLE t (a INTEGER)', deadline_ms=8000
        )
        assert answer.status == 200, answer
        reader = deployment.caller(second, KEY)
        for value in range(20):
            answer = writer.statements(('INSERT INTO t VALUES (?)', [value]))
            assert answer.status == 200, answer
            reader.token = writer.token
            answer = reader.read('SELECT max(a) FROM t')
            assert answer.status == 200, answer
            assert answer.rows == [[value]]

    def test_a_session_is_not_served_by_a_replica_behind_it(self, system):
        """Guards against reading outdated data from a replica that lags."""
        deployment, group = system
        for server in group.servers.values():
            server.set_faults(apply_lag_ms=300)
        writer, reader = (
            deployment.caller(node, KEY)
            for node in deployment.entries.values()
        )
        roles = set()
        for value in range(100, 130):
            answer = writer.statements(('INSERT INTO t VALUES (?)', [value]))
            assert answer.status == 200, answer
            reader.token = writer.token
            answer = reader.read('SELECT max(a) FROM t')
            assert answer.rows == [[value]]
            roles.add(answer.body['served_by']['role'])
        assert 'primary' in roles
        for server in group.servers.values():
            server.set_faults(apply_lag_ms=0)

    def test_an_error_of_a_replica_behind_the_session_is_not_shown(
        self, system
    ):
        """Guards against "no such table" for a table the session created."""
        deployment, group = system
        for server in group.servers.values():
            server.set_faults(apply_lag_ms=300)
        writer, reader = (
            deployment.caller(node, KEY)
            for node in deployment.entries.values()
        )
        for number in range(15):
            answer = writer.statements(f'CREATE TABLE n{number} (a INTEGER)')
            assert answer.status == 200, answer
            reader.token = writer.token
            answer = reader.read(f'SELECT count(*) FROM n{number}')
            assert answer.status == 200, answer
        for server in group.servers.values():
            server.set_faults(apply_lag_ms=0)

    def test_a_read_of_bounded_age_is_not_older(self, system):
        """Guards against data older than the read accepts."""
        deployment, group = system
        caller = deployment.caller(
            next(iter(deployment.entries.values())), KEY
        )
        replicas = [
            s
            for s in group.servers.values()
            if s.status()['role'] == 'replica'
        ]
        for server in replicas:
            server.set_faults(stop_applying=True)
        for value in range(200, 230):
            answer = caller.statements(('INSERT INTO t VALUES (?)', [value]))
            assert answer.status == 200, answer
            caller.token = None
            time.sleep(0.05)
            answer = caller.read(
                'SELECT max(a) FROM t', consistency={'max_age_ms': 20}
            )
            assert answer.rows == [[value]]
            assert answer.body['served_by']['role'] == 'primary'
        for server in replicas:
            server.set_faults(stop_applying=False)

    def test_a_transaction_commits_through_another_entry_process(self, system):
        """Guards against failing when the load balancer switches processes."""
        deployment, _ = system
        first, second = deployment.entries.values()
        caller = deployment.caller(first, KEY)
        tx = caller.begin()
        assert tx.begin_answer.status == 201, tx.begin_answer
        answer = tx.statements('CREATE TABLE u (a INTEGER)')
        assert answer.status == 200, answer
        tx._caller = deployment.caller(second, KEY)
        assert tx.statements('INSERT INTO u VALUES (7)').status == 200
        answer = tx.commit()
        assert answer.status == 200, answer
        answer = tx._caller.read('SELECT a FROM u')
        assert answer.rows == [[7]]

    def test_unknown_key_is_refused(self, system):
        """Guards against serving a request without a valid key."""
        deployment, _ = system
        first = next(iter(deployment.entries.values()))
        for key in (None, 'wrong'):
            answer = deployment.caller(first, key).read('SELECT 1')
            assert answer.status == 401
            assert answer.body['error']['outcome'] == 'not_run'

    def test_no_target_sees_a_key(self, system):
        """Guards against forwarding a caller's key to a target."""
        _, group = system
        for server in group.servers.values():
            assert KEY not in str(server.observations())
