"""Tests of the process harness and the callers' client."""

import pathlib
import sys
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness

READY = "print('{}', flush=True); import time; time.sleep(60)"


class TestProcess:
    def test_process_without_a_ready_line_is_reported(self, kit):
        """Guards against a start failure reported without the log."""
        argv = [sys.executable, '-c', "raise SystemExit('no such setting')"]
        with pytest.raises(harness.DeadlinePassed, match='no such setting'):
            kit.prepare('broken', argv).start()

    def test_signals_reach_the_process(self, kit):
        """Guards against tests whose kills and pauses have no effect."""
        process = kit.prepare('p', [sys.executable, '-c', READY]).start()
        process.pause()
        stat = pathlib.Path(f'/proc/{process.pid}/stat')

        def state():
            return stat.read_text().rsplit(')', 1)[1].split()[0]

        harness.wait_until(lambda: state() == 'T')
        process.resume()
        harness.wait_until(lambda: state() != 'T')
        assert process.running
        process.kill()
        assert not process.running

    def test_closing_ends_paused_processes(self):
        """Guards against processes that outlive their test."""
        with harness.Harness() as kit:
            process = kit.prepare('p', [sys.executable, '-c', READY]).start()
            process.pause()
        assert not process.running

    def test_daemon_is_started_from_its_settings(self, kit):
        """Guards against daemons started with other arguments."""
        process = kit.prepare_daemon(kit.folder / 'entry1.ini')

        options = ['-m', 'sassafrasridge_node.main', '--settings']
        assert process.name == 'entry1'
        assert process.argv[1:] == [*options, str(kit.folder / 'entry1.ini')]


class TestWaitUntil:
    def test_deadline_is_kept_and_named(self):
        """Guards against a wait that hangs or fails without a reason."""
        began = time.monotonic()
        with pytest.raises(harness.DeadlinePassed, match='the rows'):
            harness.wait_until(lambda: [], 0.05, 'the rows')
        assert time.monotonic() - began < 2


class TestCaller:
    def test_key_session_and_ids_are_sent(self, entry):
        """Guards against requests sent without key, session token or id."""
        caller = callers.Caller(entry.address, 'key', 'orders')
        caller.statements(('SELECT ?', [1]), idempotency_key='i1')
        caller.read('SELECT 2', consistency='primary')
        transaction = caller.begin(access='write')
        transaction.statements('SELECT 3')
        transaction.commit('i2')
        caller.route('public/prices', 'SELECT 4')
        caller.close()
        paths = [item[0].removeprefix('/v1/') for item in entry.seen]

        assert paths[:2] == ['services/orders/statements'] * 2
        assert paths[2] == 'services/orders/transactions'
        assert paths[3:5] == [
            f'{paths[2]}/t1/statements',
            f'{paths[2]}/t1/commit',
        ]
        assert paths[5] == 'routes/public/prices'
        headers = [item[1] for item in entry.seen]
        assert {item['Authorization'] for item in headers} == {'Bearer key'}
        tokens = [item.get('Session-Token') for item in headers]
        assert tokens == [None, *(f'token{n}' for n in range(1, 6))]
        ids = [item.get('Idempotency-Key') for item in headers]
        assert ids == ['i1', None, None, None, 'i2', None]
        assert entry.seen[0][2] == {
            'statements': [{'sql': 'SELECT ?', 'params': [1]}]
        }
        assert entry.seen[1][2]['consistency'] == 'primary'
