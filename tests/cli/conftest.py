"""Fake of the operators' HTTP API, and a runner of commands."""

import collections
import http.server
import json
import threading

from cleo.testers.command_tester import CommandTester
import pytest

from sassafrasridge_cli import main
from sassafrasridge_cli import notes

# The server records the request and closes without a response.
LOST = object()


class FakeServer:
    """Answer requests with scripted (status, body) by method and path."""

    def __init__(self):
        self.requests = []
        self.script = collections.defaultdict(collections.deque)
        fake_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                fake_server.answer(self)

            do_POST = do_GET
            do_DELETE = do_GET

            def log_message(self, *args):
                pass

        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), Handler
        )
        self.address = f'127.0.0.1:{self._server.server_address[1]}'
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        )
        self._thread.start()

    def stop(self):
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def on(self, method, path, *answers):
        """Script the answers in order; the last one is repeated."""
        self.script[method, path].extend(answers)

    def answer(self, handler):
        size = int(handler.headers.get('Content-Length', 0))
        body = json.loads(handler.rfile.read(size) or b'null')
        path, _, query = handler.path.partition('?')
        token = handler.headers.get('Authorization')
        self.requests.append((handler.command, path, query, body, token))
        answers = self.script[handler.command, path]
        answer = answers.popleft() if len(answers) > 1 else answers[0]
        if answer is LOST:
            handler.close_connection = True
            return
        status, reply = answer
        data = json.dumps(reply).encode()
        handler.send_response(status)
        handler.send_header('Content-Length', str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def bodies(self, method='POST'):
        """Return the request bodies that were sent with a method."""
        return [r[3] for r in self.requests if r[0] == method]


def error(kind, message='no', **more):
    """Return the response body of an error."""
    detail = {'kind': kind, 'outcome': 'not_run', 'message': message}
    return {'error': {**detail, 'remedy': 'Do this.'}, **more}


@pytest.fixture
def fake_server():
    result = FakeServer()
    yield result
    result.stop()


@pytest.fixture
def other_server():
    result = FakeServer()
    yield result
    result.stop()


@pytest.fixture
def closed_address():
    """Return an address where no server listens."""
    result = FakeServer()
    result.stop()
    return result.address


class CommandResult:
    """Exit code and output of a command."""

    def __init__(self, tester):
        self.code = tester.status_code
        self.out = tester.io.fetch_output()
        self.err = tester.io.fetch_error()
        self.text = self.out + self.err


@pytest.fixture
def run(fake_server, tmp_path, monkeypatch):
    """Return a function that runs a command, by default on fake_server."""
    token = tmp_path / 'token'
    token.write_text('operator-token\n')
    monkeypatch.setenv('XDG_CONFIG_HOME', str(tmp_path))
    monkeypatch.setenv('SASSAFRASRIDGE_SERVERS', fake_server.address)
    monkeypatch.setenv('SASSAFRASRIDGE_TOKEN_FILE', str(token))
    monkeypatch.setattr(notes, 'POLL_INTERVAL_S', 0.01)

    def execute(name, arguments=''):
        tester = CommandTester(main.application().find(name))
        tester.execute(arguments)
        return CommandResult(tester)

    execute.error = error
    execute.lost = LOST
    return execute
