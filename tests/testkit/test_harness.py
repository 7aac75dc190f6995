"""Tests of the process harness and the callers' client."""

import http.server
import sys
import threading
import time

import orjson
import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness

READY = "print('{}', flush=True); import time; time.sleep(60)"


class TestProcess:
    def test_process_without_a_ready_line_is_reported(self, kit):
        """Guards against a test that waits without saying for what."""
        argv = [sys.executable, '-c', "raise SystemExit('no such setting')"]
        with pytest.raises(harness.DeadlinePassed, match='no such setting'):
            kit.prepare('broken', argv).start()

    def test_signals_reach_the_process(self, kit):
        """Guards against tests whose kills and pauses have no effect."""
        process = kit.prepare('p', [sys.executable, '-c', READY]).start()
        process.pause()
        path = f'/proc/{process.pid}/stat'

        def state():
            with open(path) as file:
                return file.read().rsplit(')', 1)[1].split()[0]

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
        """Guards against a harness that starts daemons another way."""
        process = kit.prepare_daemon(kit.folder / 'entry1.ini')

        assert process.name == 'entry1'
        assert process.argv[1:] == [
            '-m',
            'sassafrasridge_node.main',
            '--settings',
            str(kit.folder / 'entry1.ini'),
        ]


class TestWaitUntil:
    def test_deadline_is_kept_and_named(self):
        """Guards against a test that hangs or fails without a reason."""
        began = time.monotonic()
        with pytest.raises(harness.DeadlinePassed, match='the rows'):
            harness.wait_until(lambda: [], 0.05, 'the rows')
        assert time.monotonic() - began < 2

    def test_value_is_returned(self):
        """Guards against asking twice for a value that may change."""
        values = iter([0, None, 7, 8])
        assert harness.wait_until(lambda: next(values)) == 7


class _Entry(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_POST(self):
        size = int(self.headers['Content-Length'])
        body = orjson.loads(self.rfile.read(size))
        seen = (self.path, dict(self.headers.items()), body)
        self.server.seen.append(seen)
        data = orjson.dumps({'transaction': 't1'})
        self.send_response(200)
        self.send_header('Session-Token', f'token{len(self.server.seen)}')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        pass


class TestCaller:
    def test_key_session_and_ids_are_sent(self):
        """Guards against consistency tests that carry no session."""
        server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Entry)
        server.seen = []
        threading.Thread(target=server.serve_forever, daemon=True).start()
        caller = callers.Caller(
            f'127.0.0.1:{server.server_port}', 'key', 'orders'
        )
        caller.statements(('SELECT ?', [1]), idempotency_key='i1')
        caller.read('SELECT 2', consistency='primary')
        transaction = caller.begin(access='write')
        transaction.statements('SELECT 3')
        transaction.commit('i2')
        caller.route('public/prices', 'SELECT 4')
        caller.close()
        server.shutdown()
        server.server_close()
        base = '/v1/services/orders'

        assert [item[0] for item in server.seen] == [
            f'{base}/statements',
            f'{base}/statements',
            f'{base}/transactions',
            f'{base}/transactions/t1/statements',
            f'{base}/transactions/t1/commit',
            '/v1/routes/public/prices',
        ]
        headers = [item[1] for item in server.seen]
        assert {item['Authorization'] for item in headers} == {'Bearer key'}
        assert [item.get('Session-Token') for item in headers] == [
            None,
            *(f'token{number}' for number in range(1, 6)),
        ]
        assert [item.get('Idempotency-Key') for item in headers] == [
            'i1',
            None,
            None,
            None,
            'i2',
            None,
        ]
        assert server.seen[0][2] == {
            'statements': [{'sql': 'SELECT ?', 'params': [1]}]
        }
        assert server.seen[1][2]['consistency'] == 'primary'
