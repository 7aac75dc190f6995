"""Fixtures for the tests of the test kit."""

import http.server
import threading

import orjson
import pytest

from sassafrasridge_testkit import harness


@pytest.fixture
def kit():
    with harness.Harness() as result:
        yield result


@pytest.fixture
def group(kit):
    result = kit.start_group(
        options=('--record', '--majority-timeout-ms', '200')
    )
    result['g1'].client().execute(1, 'CREATE TABLE t (a PRIMARY KEY)')
    result.wait_replicated()
    return result


class _RecordingHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_POST(self):
        content_length = int(self.headers['Content-Length'])
        body = orjson.loads(self.rfile.read(content_length))
        request = (self.path, dict(self.headers.items()), body)
        self.server.seen.append(request)
        data = orjson.dumps({'transaction': 't1'})
        self.send_response(200)
        self.send_header('Session-Token', f'token{len(self.server.seen)}')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        pass


@pytest.fixture
def entry():
    """Start a fake entry process; ``seen`` holds (path, headers, body)."""
    server = http.server.ThreadingHTTPServer(
        ('127.0.0.1', 0), _RecordingHandler
    )
    server.daemon_threads = True
    server.seen = []
    server.address = f'127.0.0.1:{server.server_port}'
    threading.Thread(target=server.serve_forever, args=(0.02,)).start()
    yield server
    server.shutdown()
    server.server_close()
