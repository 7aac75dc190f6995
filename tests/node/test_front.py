"""Tests of the HTTP front over TCP connections."""

import concurrent.futures
import socket
import struct
import threading
import time

import hypothesis
from hypothesis import strategies as st
import pytest


class TestDetachedRequests:
    def test_waiting_requests_hold_no_worker_thread(self, node):
        """Guards against slow requests that block all others."""
        waiting = [node.client() for _ in range(40)]
        for number, client in enumerate(waiting):
            client.send(node.statement(f'select {number}', 'slow'))
        node.wait_for(lambda: len(node.port.waiting) == 40)
        status, _, body = node.client().call()
        assert (status, body) == (200, {'echo': ['select 1']})
        assert node.value('requests_in_flight') == 40
        node.release()
        for number, client in enumerate(waiting):
            status, _, body = client.receive()
            assert (status, body) == (200, {'echo': [f'select {number}']})
        node.wait_for(lambda: node.value('requests_in_flight') == 0)

    def test_completion_before_worker_returns_the_connection(self, node):
        """Guards against two worker threads that use the same connection."""
        put = node.front.server.put_conn

        def late_put(conn):
            # Give the request time to complete, which it must not do before
            # the worker has returned the connection.
            end = time.monotonic() + 0.02
            while time.monotonic() < end and conn.deferred is not None:
                time.sleep(0.001)
            put(conn)

        node.front.server.put_conn = late_put
        client = node.client()
        for number in range(20):
            client.send(node.statement(f'select {number}'))
            status, _, body = client.receive()
            assert (status, body) == (200, {'echo': [f'select {number}']})

    def test_many_callers_get_their_own_responses(self, node):
        """Guards against lost wake-ups and swapped responses (G8)."""

        def caller(name):
            client = node.client()
            for number in range(60):
                sql = f'{name}-{number}'
                client.send(node.statement(sql))
                assert client.receive()[2] == {'echo': [sql]}

        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            for fut in [pool.submit(caller, n) for n in range(12)]:
                fut.result(timeout=60)

    def test_pipelined_requests_are_answered_in_order(self, node):
        """Guards against a fast response that overtakes a slow one."""
        client = node.client()
        client.send(
            node.statement('first', 'slow')
            + node.statement('second')
            + node.request('/v1/services/quotes/none')
            + node.request('/healthz', method='GET')
            + node.statement('third')
        )
        node.wait_for(lambda: node.port.waiting)
        assert node.port.finished == []
        node.release()
        answers = [client.receive() for _ in range(5)]
        assert [a[0] for a in answers] == [200, 200, 404, 200, 200]
        assert answers[1][2] == {'echo': ['second']}
        assert answers[4][2] == {'echo': ['third']}

    def test_unread_input_does_not_wake_the_selector(self, node):
        """Guards against a selector that spins while a request waits."""
        selector = node.front.server._connections._selector
        select = selector.select
        calls = []
        selector.select = lambda timeout: (calls.append(1), select(timeout))[1]
        first, second, other = (node.client() for _ in range(3))
        # The second connection's socket is re-armed rather than registered,
        # which is a separate code path.
        assert second.call()[0] == 200
        for client in (first, second):
            client.send(node.statement('x', 'slow'))
        node.wait_for(lambda: len(node.port.waiting) == 2)
        for client in (first, second):
            client.send(node.statement('y'))
            del calls[:]
            for _ in range(5):
                assert other.call()[0] == 200
            # A request takes one or two calls of select(); a busy loop makes
            # hundreds in the same time.
            assert len(calls) < 30
        node.release()
        for client in (first, second):
            assert [client.receive()[0] for _ in range(2)] == [200, 200]

    def test_disconnect_does_not_cancel_the_request(self, node):
        """Guards against cancelling a write that was already sent."""
        client = node.client()
        client.send(node.statement('insert', 'slow'))
        node.wait_for(lambda: node.port.waiting)
        req = node.port.waiting[0]
        assert not req.client_closed()
        client.close()
        node.wait_for(req.client_closed)
        node.release()
        node.wait_for(lambda: node.port.undelivered_requests == [req])
        assert node.port.finished == [req]
        assert node.port.cancelled == 0
        assert node.value('undelivered_responses_total') == 1
        node.wait_for(lambda: node.value('http_connections') == 0)
        assert node.value('requests_in_flight') == 0

    def test_abandoned_requests_are_cleaned_up(self, node):
        """Guards against leaked connections and wrong counts."""
        clients = [node.client() for _ in range(60)]
        for client in clients:
            client.send(node.statement('x', 'slow') * 2)
        node.wait_for(lambda: len(node.port.waiting) == 60)
        for client in clients[::2]:
            client.close()
        for client in clients[1::4]:
            client.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            client.close()
        node.release()
        for client in clients[3::4]:
            assert [client.receive()[0] for _ in range(2)] == [200, 200]
            client.close()
        node.wait_for(lambda: node.value('http_connections') == 0)
        assert node.value('requests_in_flight') == 0
        assert node.port.cancelled == 0
        assert node.value('internal_failures_total') == 0

    def test_requests_over_the_limit_are_refused(self, start_node):
        """Guards against unbounded memory use under overload."""
        node = start_node(threads=2, max_in_flight=3)
        for _ in range(3):
            node.client().send(node.statement('x', 'slow'))
        node.wait_for(lambda: len(node.port.waiting) == 3)
        client = node.client()
        status, headers, body = client.call()
        assert (status, headers['retry-after']) == (503, '1')
        assert body['error']['kind'] == 'overloaded'
        assert body['error']['outcome'] == 'not_run'
        node.release()
        node.wait_for(lambda: node.value('requests_in_flight') == 0)
        assert client.call()[0] == 200


class TestSlowPeers:
    def test_partial_requests_hold_no_worker_thread(self, start_node):
        """Guards against clients that send a request byte by byte."""
        node = start_node(threads=1)
        data = node.statement('slowly')
        slow = [node.client() for _ in range(20)]
        for client in slow:
            client.send(data[:-20])
        assert node.client().call()[0] == 200
        for byte in data[-20:]:
            for client in slow:
                client.send(bytes([byte]))
        for client in slow:
            assert client.receive()[2] == {'echo': ['slowly']}

    def test_slow_reader_holds_no_worker_thread(self, start_node):
        """Guards against a client that reads a large response slowly."""
        node = start_node(threads=1)
        reader = node.client()
        reader.send(node.statement('x', 'large'))
        node.wait_for(lambda: node.port.finished)
        assert node.client().call()[0] == 200
        status, _, body = reader.receive()
        assert status == 200 and len(body['rows']) == 16_000
        assert reader.call()[0] == 200

    def test_client_that_stops_reading_is_disconnected(self, start_node):
        """Guards against responses that stay in memory forever."""
        node = start_node(threads=1, write_timeout_s=0.2)
        node.client().send(node.statement('x', 'large'))
        node.wait_for(lambda: node.port.undelivered_requests)
        node.wait_for(lambda: node.value('http_connections') == 0)

    def test_partial_request_times_out_before_an_idle_connection(
        self, start_node
    ):
        """Guards against using the idle time-out for incomplete requests."""
        node = start_node(threads=1, read_timeout_s=0.2, idle_timeout_s=60)
        idle, partial = node.client(), node.client()
        partial.send(b'POST /v1/services')
        assert partial.receive() is None
        assert idle.call()[0] == 200

    def test_idle_connection_times_out(self, start_node):
        """Guards against connections that outlive their client."""
        node = start_node(threads=1, idle_timeout_s=0.2)
        client = node.client()
        assert client.call()[0] == 200
        assert client.receive() is None

    def test_idle_connections_stay_usable(self, start_node):
        """Guards against a low connection limit or a thread per connection."""
        node = start_node(threads=2)
        idle = [node.client() for _ in range(600)]
        for client in idle[:300]:
            assert client.call()[0] == 200
        node.wait_for(lambda: node.value('http_connections') == 600)
        for client in idle:
            assert client.call()[0] == 200
        assert threading.active_count() < 20

    def test_connections_over_the_limit_are_closed(self, start_node):
        """Guards against running out of file descriptors."""
        node = start_node(threads=1, max_connections=5)
        kept = [node.client() for _ in range(5)]
        node.wait_for(lambda: node.value('http_connections') == 5)
        refused = node.client()
        node.wait_for(
            lambda: node.value('errors_total', kind='too_many_connections')
        )
        with pytest.raises((ConnectionError, TypeError)):
            refused.call()[0]
        # At the limit, a response also closes its connection.
        assert kept[0].call()[1]['connection'] == 'close'


def _head(*lines):
    return '\r\n'.join(
        ['POST /v1/services/quotes/statements HTTP/1.1', *lines, '', '']
    ).encode()


_MALFORMED = [
    _head('Content-Length: 2', 'Content-Length: 3') + b'{}',
    _head('Content-Length: -1'),
    _head('Content-Length: +2') + b'{}',
    _head('Content-Length : 2') + b'{}',
    _head('Content-Length: 2', 'Transfer-Encoding: chunked') + b'{}',
    _head('Transfer-Encoding: chunked') + b'0\r\n\r\n',
    _head('X: 1', ' folded: 2'),
    _head('X_Y: 1'),
    _head('no colon'),
    _head('X: 1\nY: 2'),
    _head('Authorization: Bearer aaaaaaaa', 'Authorization: Bearer b'),
    b'POST /v1 HTTP/1.1\nHost: x\r\n\r\n',
    b'POST //[ HTTP/1.1\r\n\r\n',
    b'POST http://x/v1 HTTP/1.1\r\n\r\n',
    b'POST /v1 HTTP/2.0\r\n\r\n',
    b'POST /v1\r\n\r\n',
    b'\x16\x03\x01\x02\x00\x01',
    b'get / HTTP/1.1\r\n\r\n',
]


class TestMalformedInput:
    def test_json_error_and_close(self, node):
        """Guards against input that two parsers could frame differently."""
        for count, data in enumerate(_MALFORMED, 1):
            client = node.client()
            client.send(data + node.statement('smuggled'))
            status, headers, body = client.receive()
            assert status == 400, data
            assert headers['connection'] == 'close', data
            assert body['error']['kind'] == 'bad_request', data
            assert body['error']['outcome'] == 'not_run'
            assert client.receive() is None, data
            assert node.value('errors_total', kind='bad_request') == count
        assert node.port.finished == []

    def test_oversized_body_is_refused_before_it_is_read(self, start_node):
        """Guards against buffering a body over the limit."""
        node = start_node(threads=1, max_body=1000)
        client = node.client()
        client.send(_head('Content-Length: 1001'))
        status, _, body = client.receive()
        assert (status, body['error']['kind']) == (413, 'too_large')
        # The client may still be sending; a reset could discard the response.
        for _ in range(5):
            client.send(b' ' * 100_000)
        assert client.receive() is None
        assert node.client().call()[0] == 200

    def test_oversized_header_is_refused(self, start_node):
        """Guards against buffering an unlimited header."""
        node = start_node(threads=1, max_header=1000)
        for end in (b'', b'\r\n\r\n'):
            client = node.client()
            client.send(b'GET / HTTP/1.1\r\nX: ' + b'x' * 2000 + end)
            assert client.receive()[0] == 413

    def test_expect_100_continue_is_answered(self, node):
        """Guards against a client that waits forever for 100 Continue."""
        client = node.client()
        data = node.statement('x', headers=['Expect: 100-continue'])
        head, body = data.split(b'\r\n\r\n')
        client.send(head + b'\r\n\r\n')
        assert client.file.readline() == b'HTTP/1.1 100 Continue\r\n'
        assert client.file.readline() == b'\r\n'
        client.send(body)
        assert client.receive()[0] == 200

    def test_random_bytes_do_not_break_the_server(self, node):
        """Guards against input that stops a worker thread or the selector."""
        parts = st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [
                    b'POST /v1/services/quotes/statements HTTP/1.1\r\n',
                    b'Content-Length: 5\r\n',
                    b'Content-Length: 99999999999999999999\r\n',
                    b'Authorization: Bearer \xff\r\n',
                    b'\r\n\r\n',
                    b'{"statements": [{"sql": "\xed\xa0\x80"}]}',
                ]
            ),
        )

        @hypothesis.settings(max_examples=150, deadline=None)
        @hypothesis.given(st.lists(parts, max_size=8))
        def run(chunks):
            client = node.client()
            client.send(b''.join(chunks))
            client.sock.shutdown(socket.SHUT_WR)
            while (answer := client.receive()) is not None:
                assert answer[0] in (400, 401, 404, 413)
            client.close()

        run()
        node.wait_for(lambda: node.value('http_connections') == 0)
        assert node.client().call()[0] == 200
        assert node.value('internal_failures_total') == 0
        assert node.value('errors_total', kind='internal') == 0


class TestStop:
    def test_requests_in_flight_are_answered(self, start_node):
        """Guards against a planned stop that interrupts requests (G12)."""
        node = start_node(threads=2)
        client, idle = node.client(), node.client()
        assert idle.call()[0] == 200
        client.send(node.statement('x', 'slow'))
        node.wait_for(lambda: node.port.waiting)
        stopped = []
        thread = threading.Thread(
            target=lambda: stopped.append(node.front.stop(10.0))
        )
        thread.start()
        node.wait_for(lambda: node.front.server.socket.fileno() < 0)
        with pytest.raises(ConnectionError):
            node.client()
        # An open idle connection is still served for one request.
        status, headers, _ = idle.call()
        assert (status, headers['connection']) == (200, 'close')
        node.release()
        status, headers, _ = client.receive()
        assert (status, headers['connection']) == (200, 'close')
        thread.join(10)
        assert stopped == [True]

    def test_stop_does_not_wait_beyond_the_grace_period(self, start_node):
        """Guards against a stop that hangs on an unfinished request."""
        node = start_node(threads=1)
        client = node.client()
        client.send(node.statement('x', 'slow'))
        node.wait_for(lambda: node.port.waiting)
        assert node.front.stop(0.1) is False
        assert client.receive() is None
        node.release()
        node.wait_for(lambda: node.value('requests_in_flight') == 0)


class TestSettings:
    def test_two_processes_may_share_a_port(self, start_node):
        """Guards against starting through CherryPy without SO_REUSEPORT."""
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            other.bind(('127.0.0.1', 0))
            other.listen()
            port = other.getsockname()[1]
            node = start_node(port=port, reuse_port=True)
        assert node.client().call()[0] == 200
