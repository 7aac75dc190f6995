"""Tests that the stated outcome is correct when a part fails mid-request."""

import threading
import time
import uuid

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1',), ('z1', 'z2'))


class TestLostAnswer:
    def test_write_runs_once_when_its_answer_is_lost(self, system):
        """Guards against running a write twice after a lost answer."""
        primary = system.group.primary()
        for value in range(100, 105):
            primary.set_faults(drop_answers=1)
            answer = system.insert(value)
            assert answer.status == 200, answer
            assert answer.body['replayed'] is True
        assert system.values().count(100) == 1

    def test_crossed_and_cut_answers_reach_no_caller(self, system):
        """Guards against returning the answer of another request."""
        primary = system.group.primary()
        for number, fault in enumerate(('wrong_ids', 'cut_answers')):
            primary.set_faults(**{fault: 1})
            answer = system.insert(200 + number)
            assert answer.status == 200, answer
        assert {200, 201} <= set(system.values())
        for fault in ('wrong_ids', 'cut_answers'):
            for server in system.group.servers.values():
                server.set_faults(**{fault: 1})
            for value in (200, 201):
                answer = system.caller(0).read(
                    ('SELECT a FROM t WHERE a = ?', [value])
                )
                assert answer.rows == [[value]]


class TestResend:
    def test_same_key_through_another_entry_process_runs_once(self, system):
        """Guards against running a resent request twice."""
        request_id = str(uuid.uuid4())
        first = system.insert(300, 0, idempotency_key=request_id)
        second = system.insert(300, 1, idempotency_key=request_id)
        assert first.status == second.status == 200, (first, second)
        assert second.body['replayed'] is True
        assert system.values().count(300) == 1

    def test_same_key_with_another_request_is_refused(self, system):
        """Guards against answering a new request with an earlier result."""
        request_id = str(uuid.uuid4())
        assert system.insert(310, idempotency_key=request_id).status == 200
        answer = system.insert(311, idempotency_key=request_id)
        assert answer.status == 409
        assert answer.kind == 'request_conflict'
        assert 311 not in system.values()

    def test_old_time_ordered_key_is_refused(self, system):
        """Guards against running a resent request whose record was deleted."""
        old = '0190163d-8694-739b-aea5-966c26f8ad91'
        answer = system.insert(320, idempotency_key=old)
        assert answer.status == 409
        assert answer.body['error']['outcome'] == 'not_run'
        assert 320 not in system.values()


class TestStatementError:
    def test_failed_statement_rolls_back_its_batch(self, system):
        """Guards against keeping a part of a failed batch."""
        answer = system.caller(0).statements(
            'INSERT INTO t VALUES (400)', 'INSERT INTO missing VALUES (1)'
        )
        assert answer.status == 400
        assert answer.body['error']['outcome'] == 'not_run'
        assert 400 not in system.values()

    def test_read_access_cannot_write(self, system):
        """Guards against a write that is sent to a replica as a read."""
        answer = system.caller(0).read('INSERT INTO t VALUES (410)')
        assert answer.status == 400
        assert 410 not in system.values()


class TestTransactions:
    def test_statements_of_two_transactions_do_not_mix(self, system):
        """Guards against two transactions that share a connection."""
        first_caller, second_caller = system.caller(0), system.caller(0)
        first = first_caller.begin(access='read')
        second = second_caller.begin()
        assert first.begin_answer.status == second.begin_answer.status == 201
        assert second.statements('INSERT INTO t VALUES (500)').status == 200
        assert first.rollback().status == 200
        assert second.commit().status == 200
        assert 500 in system.values()

    def test_commit_with_a_lost_answer_is_resolved(self, system):
        """Guards against a wrong outcome when a commit's answer is lost."""
        tx = system.caller(0).begin()
        assert tx.statements('INSERT INTO t VALUES (510)').status == 200
        system.group.primary().set_faults(drop_answers=1)
        answer = tx.commit()
        assert answer.status == 200, answer
        assert 510 in system.values()

    def test_commit_after_rollback_says_not_run(self, system):
        """Guards against accepting a commit after the transaction ended."""
        tx = system.caller(0).begin()
        assert tx.statements('INSERT INTO t VALUES (520)').status == 200
        assert tx.rollback().status == 200
        answer = tx.commit()
        assert answer.kind == 'transaction_lost', answer
        assert answer.body['error']['outcome'] == 'not_run'
        assert 520 not in system.values()


class TestEntryProcessKilled:
    def test_open_transaction_is_rolled_back_and_resend_is_true(self, system):
        """Guards against a transaction left open by a killed process."""
        node = system.node(0)
        tx = system.caller(0).begin()
        assert tx.statements('INSERT INTO t VALUES (600)').status == 200
        node.process.kill()
        tx._caller = system.caller(1)
        answer = tx.commit()
        assert answer.kind == 'transaction_lost', answer
        node.process.start()
        system.deployment.wait_ready(node)
        assert 600 not in system.values()
        harness.wait_until(
            lambda: system.insert(601).status == 200, 10, 'insert'
        )

    def test_resend_after_a_kill_runs_once(self, system):
        """Guards against running a write twice when its process is killed."""
        node = system.node(0)
        primary = system.group.primary()
        primary.set_faults(delay_answers_ms=400)
        request_id = str(uuid.uuid4())
        results = []

        def send():
            try:
                results.append(
                    system.insert(610, 0, idempotency_key=request_id)
                )
            except callers.NoAnswer as exc:
                results.append(exc)

        thread = threading.Thread(target=send)
        thread.start()
        time.sleep(0.2)
        node.process.kill()
        thread.join()
        primary.set_faults(delay_answers_ms=0)
        answer = system.insert(610, 1, idempotency_key=request_id)
        assert answer.status == 200, answer
        assert isinstance(results[0], callers.NoAnswer)
        node.process.start()
        system.deployment.wait_ready(node)
        assert system.values().count(610) == 1


class TestSilentConnections:
    @pytest.mark.parametrize('mode', ['drop', 'run'])
    def test_requests_go_on_while_open_connections_are_silent(
        self, system, mode
    ):
        """Guards against waiting for connections that no longer answer."""
        first_value = 700 if mode == 'drop' else 720
        for value in range(first_value, first_value + 4):
            assert system.insert(value).status == 200
        for server in system.group.servers.values():
            server.set_faults(stall_connections=mode)
        started = time.monotonic()
        answer = system.insert(first_value + 10, deadline_ms=6000)
        assert answer.status == 200, answer
        answer = system.caller(0).read('SELECT count(*) FROM t')
        assert answer.status == 200, answer
        assert time.monotonic() - started < 4.0
        assert system.values().count(first_value + 10) == 1


class TestPlannedStop:
    def test_stop_under_load_cuts_no_request(self, system):
        """Guards against a planned stop that interrupts requests."""
        node = system.node(0)
        caller = system.caller(0)
        tx = caller.begin()
        assert tx.statements('INSERT INTO t VALUES (800)').status == 200
        node.process.terminate()
        answers = []
        while system.deployment.is_ready(node):
            answers.append(caller.read('SELECT 1'))
        answers.append(caller.read('SELECT 1'))
        assert all(answer.status == 200 for answer in answers), answers
        # The load balancer now sends requests elsewhere. The process waits for
        # its open transaction long after it reported itself as not ready.
        tx._caller = system.caller(1)
        started = time.monotonic()
        while time.monotonic() - started < 2.0:
            assert tx.statements('SELECT 1').status == 200
        answer = tx.commit()
        assert answer.status == 200, answer
        assert node.process.wait_exit() == 0
        assert (
            800
            in system.caller(1)
            .read('SELECT a FROM t WHERE a = 800', consistency='primary')
            .rows[0]
        )
        node.process.start()
        system.deployment.wait_ready(node)
