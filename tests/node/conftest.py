"""Fixtures that run an HTTP front with an engine controlled by the test."""

import asyncio
import contextlib
import hashlib
import socket
import threading
import time

import orjson
import pytest

from sassafrasridge_node import dataapi
from sassafrasridge_node import front
from sassafrasridge_node import metrics as metrics_
from sassafrasridge_node import operatorapi

KEY = 'caller-key-5eCr3t'
OPERATOR_TOKEN = 'operator-token-5eCr3t'  # noqa: S105


def wait_for(condition, timeout_s=10.0):
    """Wait until a condition holds; fail after ``timeout_s`` seconds."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, 'timed out waiting for the condition'
        time.sleep(0.005)


class FakeEngine(front.DataPort, front.OperatorPort):
    """Echo the statements of a request.

    The service ``slow`` waits until ``release`` is set, and the service
    ``large`` returns a large reply.
    """

    def __init__(self):
        self.release = asyncio.Event()
        self.waiting = []
        self.finished = []
        self.cancelled = 0
        self.undelivered_requests = []
        self.announced = []
        self.commands = 0
        self.reason = None
        self.error = None

    async def call(self, req):
        try:
            if req.service == 'slow':
                self.waiting.append(req)
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        self.finished.append(req)
        if self.error is not None:
            raise self.error
        if req.service == 'large':
            return front.DataReply({'rows': ['x' * 1000] * 16_000})
        return front.DataReply(
            {'echo': [s['sql'] for s in req.statements]}, session='token-1'
        )

    def on_undelivered(self, req):
        self.undelivered_requests.append(req)

    async def command(self, kind, body, who, address):
        if self.error is not None:
            raise self.error
        self.commands += 1
        if body.get('wait'):
            await self.release.wait()
        return front.OperatorReply({'kind': kind, 'body': body, 'who': who})

    def announce(self, info):
        self.announced.append(info)

    def readiness(self):
        return self.reason


class Client:
    """Send raw HTTP over one connection."""

    def __init__(self, address):
        host, port = address.split(':')
        self.sock = socket.create_connection((host, int(port)), timeout=20)
        self.file = self.sock.makefile('rb')

    def send(self, data):
        self.sock.sendall(data)

    def receive(self):
        """Return status, headers and body, or None if the connection ended."""
        line = self.file.readline()
        if not line:
            return None
        version, status = line.split()[:2]
        assert version == b'HTTP/1.1'
        headers = {}
        while (line := self.file.readline()) != b'\r\n':
            name, value = line.decode().split(':', 1)
            headers[name.lower()] = value.strip()
        body = self.file.read(int(headers['content-length']))
        if headers.get('content-type') == 'application/json':
            body = orjson.loads(body)
        return int(status), headers, body

    def call(self, *args, **kwargs):
        self.send(request(*args, **kwargs))
        return self.receive()

    def close(self):
        self.file.close()
        self.sock.close()


def request(
    path='/v1/services/quotes/statements',
    body=None,
    method='POST',
    headers=(),
    key=KEY,
):
    """Return the bytes of an HTTP request."""
    if body is None and method == 'POST':
        body = {'statements': [{'sql': 'select 1'}]}
    if not isinstance(body, bytes):
        body = b'' if body is None else orjson.dumps(body)
    lines = [f'{method} {path} HTTP/1.1', 'Host: x', *headers]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def statement(sql, service='quotes', headers=()):
    """Return the bytes of an HTTP request that runs one statement."""
    return request(
        f'/v1/services/{service}/statements',
        {'statements': [{'sql': sql}]},
        headers=headers,
    )


class Node:
    """Run a front, its WSGI applications and the engine's event loop."""

    request = staticmethod(request)
    statement = staticmethod(statement)
    wait_for = staticmethod(wait_for)
    key = KEY
    operator = (f'Authorization: Bearer {OPERATOR_TOKEN}',)

    def __init__(self, announce_digests=None, **settings):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.port = FakeEngine()
        self.metrics = metrics_.Metrics()
        self.front = front.Front(
            front.FrontConfig(**settings), self.loop, self.metrics
        )
        data = dataapi.DataApi(self.port, self.metrics)
        operators = operatorapi.OperatorApi(
            self.port,
            self.loop,
            self.metrics,
            {'ann': hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()},
            lambda: self.front.draining,
            command_timeout_s=1.0,
        )
        announce = operatorapi.AnnounceApi(
            self.port, self.loop, self.metrics, announce_digests
        )
        self.front.start(
            {
                dataapi.SERVICES_PATH: data.services,
                dataapi.ROUTES_PATH: data.routes,
                operatorapi.ANNOUNCE_PATH: announce,
            },
            operators.app,
        )
        self.clients = contextlib.ExitStack()

    def client(self):
        client = Client(self.front.address)
        self.clients.callback(client.close)
        return client

    def release(self):
        self.loop.call_soon_threadsafe(self.port.release.set)

    def value(self, name, **labels):
        return self.metrics.registry.get_sample_value(
            f'sassafrasridge_{name}', labels
        )

    def close(self):
        self.release()
        self.clients.close()
        self.front.stop(grace_s=5.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.fixture
def start_node():
    """Return a function that starts a node with given front settings."""
    with contextlib.ExitStack() as stack:

        def start(**settings):
            node = Node(**settings)
            stack.callback(node.close)
            return node

        yield start


@pytest.fixture
def node(start_node):
    """Return a node with two worker threads."""
    return start_node(threads=2)
