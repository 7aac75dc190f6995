"""Tests of keys: access, rates and the time until a withdrawal applies."""

import time

import pytest

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from tests.integration import conftest

MAX_WITHDRAWAL_S = 8.0


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1',), ('z1', 'z2'))


def add_account(system, name, key, **limits):
    system.deployment.note(
        added=deployments.account(name, key, [conftest.SERVICE], **limits)
    )
    system.deployment.wait_in_force()


def withdraw(system, name):
    system.deployment.note(withdrawn=[{'kind': 'key', 'id': f'{name}-1'}])


class TestWithdrawnKey:
    def test_connected_caller_and_open_transaction_stop(self, system):
        """Guards against open connections that accept a withdrawn key."""
        add_account(system, 'leaver', 'leaver-key-1')
        caller = system.caller(0, 'leaver-key-1')
        assert caller.read('SELECT 1').status == 200
        tx = system.caller(1, 'leaver-key-1').begin()
        assert tx.begin_answer.status == 201
        assert tx.statements('INSERT INTO t VALUES (777)').status == 200
        moment = time.monotonic()
        withdraw(system, 'leaver')
        harness.wait_until(
            lambda: caller.read('SELECT 1').status == 401,
            MAX_WITHDRAWAL_S,
            'refusal of the withdrawn key',
        )
        # The other entry process may learn of it one lease renewal later.
        system.deployment.wait_in_force()
        assert time.monotonic() - moment < MAX_WITHDRAWAL_S
        # The transaction held the target's only write lock. It must end before
        # the target's own limit of 5 s.
        answer = system.insert(778, deadline_ms=2000)
        assert answer.status == 200, answer
        answer = tx.commit()
        assert answer.status == 401, answer
        assert 777 not in system.values()

    def test_withdrawn_key_never_comes_back(self, system):
        """Guards against a later note that adds a withdrawn key again."""
        add_account(system, 'once', 'once-key-001')
        withdraw(system, 'once')
        number = system.deployment._note_number + 1
        answer = system.deployment.operator().submit(
            {
                'number': number,
                'operator': 'operator',
                'added': deployments.account('once2', 'once-key-001', []),
                'changed': [],
                'withdrawn': [],
            }
        )
        assert answer.status == 400, answer

    def test_withdrawal_holds_at_an_entry_process_that_cannot_hear(
        self, system
    ):
        """Guards against a key that stays valid without contact to control."""
        add_account(system, 'remote', 'remote-key-1')
        caller = system.caller(1, 'remote-key-1')
        assert caller.read('SELECT 1').status == 200
        control = system.deployment.control['c1'].process
        control.pause()
        moment = time.monotonic()
        try:
            harness.wait_until(
                lambda: caller.read('SELECT 1').status == 503,
                MAX_WITHDRAWAL_S,
                'refusal without control',
            )
        finally:
            control.resume()
        # Reads with a key are served for over 1 s, then refused in time.
        assert 1.0 < time.monotonic() - moment < MAX_WITHDRAWAL_S
        system.deployment.wait_ready(system.node(1))


class TestAccess:
    def test_account_without_grant_is_refused(self, system):
        """Guards against running a request for the wrong client account."""
        system.deployment.note(
            added=deployments.account('stranger', 'stranger-key', [])
        )
        system.deployment.wait_in_force()
        answer = system.caller(0, 'stranger-key').read('SELECT 1')
        assert answer.status == 403
        assert answer.body['error']['outcome'] == 'not_run'

    def test_open_route_needs_no_key(self, system):
        """Guards against requiring a key on an open route."""
        system.deployment.note(
            added=[
                {
                    'kind': 'route',
                    'path': 'catalogue',
                    'service': conftest.SERVICE,
                    'open': True,
                    'partition_reads': False,
                }
            ]
        )
        system.deployment.wait_in_force()
        answer = system.caller(0, None).route(
            'catalogue', 'SELECT 1', access='read'
        )
        assert answer.status == 200, answer

    def test_no_target_sees_a_key(self, system):
        """Guards against forwarding a caller's key to a target."""
        for server in system.group.servers.values():
            received = str(server.observations())
            assert conftest.KEY not in received
            assert 'authorization' not in received.lower()


class TestRate:
    def test_rate_and_burst_hold_over_all_entry_processes(self, system):
        """Guards against giving each entry process the whole rate."""
        rate, burst, seconds = 40.0, 20.0, 3.0
        add_account(system, 'busy', 'busy-key-001', rate=rate, burst=burst)
        callers = [system.caller(n, 'busy-key-001') for n in (0, 1)]
        started = time.monotonic()
        served = 0
        while time.monotonic() - started < seconds:
            for caller in callers:
                answer = caller.read('SELECT 1', deadline_ms=100)
                served += answer.status == 200
        elapsed = time.monotonic() - started
        assert served <= burst + rate * elapsed
        assert served >= 0.8 * rate * elapsed
