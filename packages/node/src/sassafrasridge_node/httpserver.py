"""HTTP server on cheroot that holds no thread for a waiting request.

A connection is always in one of three places: the selector (idle, or waiting
for input or for space in the socket's send buffer), a worker thread, or the
engine's loop (a detached request). All sockets are non-blocking, so a slow
peer never occupies a worker thread.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import email.utils
import errno
import functools
import http
import io
import queue
import re
import select
import selectors
import socket
import sys
import threading
import time
import typing

from cheroot import connections
from cheroot import server
from cheroot import wsgi
import orjson

from sassafrasridge_core import errors
from sassafrasridge_node import metrics as metrics_

RECV_BYTES = 16 * 1024
SEND_BYTES = 256 * 1024
# After an error response, input is read and discarded for this long, up to
# this many bytes, before the socket is closed.
LINGER_S = 2.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
# Retry-After of requests refused for too many requests in flight.
OVERLOAD_RETRY_S = 1.0
# Pause of the accept loop when file descriptors or buffers have run out.
ACCEPT_PAUSE_S = 0.02

_METHOD_PREFIX = re.compile(rb'[A-Z]{1,16}(?: |\Z)')
# A request line without escapes, query or authority needs no URL parser.
_SIMPLE_REQUEST_LINE = re.compile(
    rb'(POST|GET) (/(?!/)[A-Za-z0-9_./~:-]*) HTTP/1\.1\r\n'
)
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_CONTENT_LENGTH = re.compile(rb'\r\nContent-Length([^\r\n]*)', re.IGNORECASE)
_CONTENT_LENGTH_VALUE = re.compile(rb':[ \t]*([0-9]{1,15})[ \t]*')
_TRANSFER_ENCODING = re.compile(
    rb'\r\nTransfer-Encoding[ \t]*:', re.IGNORECASE
)
_EXPECT_CONTINUE = re.compile(rb'\r\nExpect:[ \t]*100-continue', re.IGNORECASE)
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# If one of these headers is repeated, the request is refused: taking one of
# the values silently could take the wrong one.
_SINGLE_VALUE_HEADERS = frozenset(
    (b'Authorization', b'Idempotency-Key', b'Session-Token', b'Host')
)
_STATUS_TEXTS = {s.value: f'{s.value} {s.phrase}' for s in http.HTTPStatus}


class Response:
    """Hold a complete HTTP response."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class DeferredResponse:
    """Represent, as a WSGI result, a response that a coroutine will produce.

    ``call`` creates the coroutine on the engine's loop. ``finish`` gets the
    coroutine's result or exception in a worker thread and returns the
    response. ``on_undelivered`` is called on the loop if the client does not
    receive the response. The attribute ``client_closed`` of ``req`` is set to
    the ``peer_closed`` method of the connection.
    """

    __slots__ = ('req', 'call', 'finish', 'on_undelivered')

    def __init__(
        self,
        req: typing.Any,
        call: Callable[[], Coroutine[typing.Any, typing.Any, typing.Any]],
        finish: Callable[[typing.Any, BaseException | None], Response],
        on_undelivered: Callable[[], None] | None = None,
    ) -> None:
        self.req = req
        self.call = call
        self.finish = finish
        self.on_undelivered = on_undelivered


def parse_json_object(raw: bytes) -> dict[str, typing.Any]:
    """Parse a request body; raise BadRequestError if not a JSON object."""
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise errors.BadRequestError(
            f'the body is not JSON (line {exc.lineno}, column {exc.colno})'
        ) from None
    if not isinstance(body, dict):
        raise errors.BadRequestError('the body must be a JSON object')
    return body


def error_response(exc: errors.RidgeError) -> Response:
    """Return an error as a JSON response."""
    headers: tuple[tuple[str, str], ...] = (
        ('Content-Type', 'application/json'),
    )
    if exc.retry_after_s is not None:
        # Retry-After is in whole seconds; round up so that no client retries
        # too early.
        seconds = max(1, -int(-exc.retry_after_s // 1))
        headers += (('Retry-After', str(seconds)),)
    return Response(exc.status, orjson.dumps(exc.as_json()), headers)


class RequestBuffer:
    """Buffer the input of a connection and split it into requests."""

    __slots__ = (
        'buffer',
        'closed',
        'eof',
        'partial_since',
        '_head',
        '_request_bytes',
        '_scanned_bytes',
        '_max_header',
        '_max_body',
        'expects_continue',
    )

    def __init__(self, max_header: int, max_body: int) -> None:
        self.buffer = bytearray()
        self.closed = False
        self.eof = False
        # Time at which the buffered request was first seen to be incomplete,
        # or None.
        self.partial_since: float | None = None
        self.expects_continue = False
        self._head = b''
        self._request_bytes = 0
        self._scanned_bytes = 0
        self._max_header = max_header
        self._max_body = max_body

    def has_data(self) -> bool:
        """Return whether the buffer holds input."""
        return bool(self.buffer)

    def close(self) -> None:
        """Discard the buffer."""
        self.closed = True
        self.buffer = bytearray()

    def receive(self, sock: socket.socket) -> None:
        """Read the available input without blocking."""
        bound = max(self._request_bytes, self._max_header) + RECV_BYTES
        while True:
            try:
                data = sock.recv(RECV_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            if not data:
                self.eof = True
                return
            self.buffer += data
            if len(data) < RECV_BYTES or len(self.buffer) > bound:
                return

    def has_complete_request(self) -> bool:
        """Return whether a complete request is buffered.

        Raises BadRequestError and TooLargeError. Only this class decides
        where a request ends, and it refuses any input that two parsers could
        split differently (request smuggling).
        """
        if not self._request_bytes and not self._parse_head():
            return False
        return len(self.buffer) >= self._request_bytes

    def take_request(self) -> tuple[bytes, bytes]:
        """Remove a complete request and return its head and body."""
        head = self._head
        body = bytes(self.buffer[len(head) : self._request_bytes])
        del self.buffer[: self._request_bytes]
        self._head = b''
        self._request_bytes = self._scanned_bytes = 0
        self.partial_since = None
        self.expects_continue = False
        return head, body

    def _parse_head(self) -> bool:
        buffer = self.buffer
        while buffer[:2] == b'\r\n':
            # RFC 9112 2.2: ignore empty lines before a request line.
            del buffer[:2]
        end = buffer.find(b'\r\n\r\n', max(0, self._scanned_bytes - 3))
        if end < 0:
            self._scanned_bytes = len(buffer)
            self._check_incomplete_head()
            return False
        if end + 4 > self._max_header:
            raise _header_too_large(self._max_header)
        head = bytes(buffer[: end + 4])
        if not _METHOD_PREFIX.match(head):
            raise errors.BadRequestError('the request line is malformed')
        length = _body_length(head)
        if length > self._max_body:
            raise errors.TooLargeError(
                f'the body of {length} bytes exceeds the limit of '
                f'{self._max_body}'
            )
        self._head = head
        self._request_bytes = end + 4 + length
        self.expects_continue = (
            bool(length) and _EXPECT_CONTINUE.search(head) is not None
        )
        return True

    def _check_incomplete_head(self) -> None:
        if len(self.buffer) > self._max_header:
            raise _header_too_large(self._max_header)
        if self.buffer and not _METHOD_PREFIX.match(self.buffer):
            line = self.buffer[:17]
            if len(line) > 16 or not line.isalpha() or not line.isupper():
                raise errors.BadRequestError(
                    'the input is not an HTTP request'
                )


def _header_too_large(limit: int) -> errors.TooLargeError:
    return errors.TooLargeError(
        f'the request header exceeds the limit of {limit} bytes',
        remedy='Send fewer or smaller headers.',
    )


def _body_length(head: bytes) -> int:
    if head.count(b'\n') != head.count(b'\r\n'):
        raise errors.BadRequestError('header lines must end with CR LF')
    if b'\r\n ' in head or b'\r\n\t' in head:
        raise errors.BadRequestError('folded header lines are not supported')
    if _TRANSFER_ENCODING.search(head):
        raise errors.BadRequestError(
            'transfer encodings are not supported in requests',
            remedy='Send the body with Content-Length.',
        )
    found = _CONTENT_LENGTH.findall(head)
    if not found:
        return 0
    match = _CONTENT_LENGTH_VALUE.fullmatch(found[0])
    if len(found) > 1 or match is None:
        raise errors.BadRequestError('the Content-Length header is malformed')
    return int(match[1])


class _OutputBuffer:
    """Collect the output that cheroot writes for the connection to send."""

    __slots__ = ('output',)

    def __init__(self, output: bytearray) -> None:
        self.output = output

    def write(self, data: bytes) -> int:
        self.output += data
        return len(data)


class Request(server.HTTPRequest):
    """Parse a request that is completely buffered."""

    def __init__(self, server_: 'Server', conn: 'Connection') -> None:
        super().__init__(server_, conn, proxy_mode=False, strict_mode=True)
        self._head = self._body = b''

    def read_request_line(self) -> bool:
        """Parse the request line; return whether it is valid."""
        match = _SIMPLE_REQUEST_LINE.match(self._head)
        if match is None:
            return bool(super().read_request_line())
        self.rfile.seek(match.end())
        self.started_request = True
        self.method = match[1]
        self.uri = self.path = match[2]
        self.qs = self.authority = b''
        self.request_protocol = b'HTTP/1.1'
        self.response_protocol = 'HTTP/1.1'
        return True

    def parse_request(self) -> None:
        """Parse the buffered request."""
        self._head, self._body = self.conn.rfile.take_request()
        self.rfile = io.BytesIO(self._head)
        try:
            self.ready = (
                self.read_request_line() and self.read_request_headers()
            )
        except ValueError:
            # urlsplit raises for some URIs, such as one with an unclosed
            # bracket.
            self.simple_response('400 Bad Request', 'malformed request URI')

    @staticmethod
    def header_reader(
        rfile: io.BytesIO, headers: dict[bytes, bytes]
    ) -> dict[bytes, bytes]:
        """Read the header lines into a dict with names in title case."""
        for line in rfile.read().split(b'\r\n'):
            if not line:
                continue
            name, sep, value = line.partition(b':')
            if not sep or not _FIELD_NAME.fullmatch(name):
                # Underscores are refused too: the WSGI environment cannot
                # distinguish them from hyphens.
                raise ValueError('malformed header line')
            name = name.title()
            value = value.strip(b' \t')
            if name in headers:
                if name in _SINGLE_VALUE_HEADERS:
                    raise ValueError(f'repeated header {name.decode()}')
                value = headers[name] + b', ' + value
            headers[name] = value
        # The connection sends 100 Continue itself, before the body arrives.
        headers.pop(b'Expect', None)
        return headers

    def respond(self) -> None:
        """Call the application and write its response unless deferred."""
        self.rfile = io.BytesIO(self._body)
        self.server.gateway(self).respond()
        if self.conn.deferred is not None:
            return
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send a JSON error for a status line; close the connection."""
        status = str(status)
        code = int(status[:3])
        msg = str(msg) or status[4:]
        exc: errors.RidgeError
        if code in (413, 414):
            exc = errors.TooLargeError(msg)
        elif code >= 500 and code not in (501, 505):
            exc = errors.RidgeError(msg)
        else:
            exc = errors.BadRequestError(msg)
        self.fail(exc)

    def fail(self, exc: errors.RidgeError) -> None:
        """Send a JSON error and close the connection."""
        self.server.metrics.count_error(exc.kind)
        self.close_connection = True
        self.conn.linger_after_close = True
        self.send(error_response(exc))

    def send(self, response: Response) -> None:
        """Write a complete response."""
        self.sent_headers = True
        if self.server.draining or self.server.at_connection_limit:
            self.close_connection = True
        lines = [
            f'HTTP/1.1 {_STATUS_TEXTS[response.status]}\r\n'
            f'Date: {self.server.date_header()}\r\n'
            f'Content-Length: {len(response.body)}\r\n'
        ]
        lines += [f'{k}: {v}\r\n' for k, v in response.headers]
        if self.close_connection:
            lines.append('Connection: close\r\n')
        elif self.response_protocol == 'HTTP/1.0':
            lines.append('Connection: Keep-Alive\r\n')
        lines.append('\r\n')
        self.conn.output += ''.join(lines).encode('latin-1')
        self.conn.output += response.body


@functools.lru_cache(maxsize=256)
def _environ_name(name: bytes) -> str:
    """Return the name of a header in the WSGI environment.

    >>> _environ_name(b'Session-Token'), _environ_name(b'Content-Type')
    ('HTTP_SESSION_TOKEN', 'CONTENT_TYPE')
    """
    variable = name.decode('latin-1').upper().replace('-', '_')
    if variable in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        return variable
    return 'HTTP_' + variable


class Gateway(wsgi.Gateway_10):
    """Call the WSGI application, which may return a DeferredResponse."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment.

        The base class computes every value again for each request, which
        took one seventh of the time per request.
        """
        req = self.req
        env = req.server.environ.copy()
        env['PATH_INFO'] = req.path.decode('latin-1')
        env['QUERY_STRING'] = req.qs.decode('latin-1')
        env['REMOTE_ADDR'] = req.conn.remote_addr or ''
        env['REMOTE_PORT'] = str(req.conn.remote_port or '')
        env['REQUEST_METHOD'] = req.method.decode('latin-1')
        env['REQUEST_URI'] = req.uri.decode('latin-1')
        env['SERVER_PROTOCOL'] = req.request_protocol.decode('latin-1')
        env['wsgi.input'] = req.rfile
        for name, value in req.inheaders.items():
            env[_environ_name(name)] = value.decode('latin-1')
        return env

    def respond(self) -> None:
        """Write the response, or register a deferred response."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        if isinstance(response, DeferredResponse):
            self._defer(response)
        elif isinstance(response, Response):
            self.req.send(response)
        else:
            self._write_all(response)

    def _defer(self, deferred: DeferredResponse) -> None:
        if self.req.server.try_begin_request():
            self.req.conn.defer(deferred, self.req)
            return
        exc = errors.UnavailableError(
            'too many requests are in flight in this process',
            kind='overloaded',
            retry_after_s=OVERLOAD_RETRY_S,
        )
        self.req.server.metrics.count_error(exc.kind)
        self.req.send(error_response(exc))

    def _write_all(self, response: typing.Any) -> None:
        try:
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
            if hasattr(response, 'close'):
                response.close()


class Connection(server.HTTPConnection):
    """Process a connection in steps that never block."""

    RequestHandlerClass = Request

    # The base class's constructor is not called: it creates two caches and
    # two buffered files per connection, which idle connections do not need.
    def __init__(
        self, server_: 'Server', sock: socket.socket, _makefile: object = None
    ) -> None:
        sock.setblocking(False)
        self.server = server_
        self.socket = sock
        self.output = bytearray()
        self.rfile = RequestBuffer(
            server_.max_request_header_size, server_.max_request_body_size
        )
        self.wfile = _OutputBuffer(self.output)
        self.requests_seen = 0
        # Whether the connection has not been in the selector yet.
        self.is_new = True
        # Whether the socket is registered with epoll, armed or not.
        self.in_epoll = False
        self.close_after_output = False
        # 1 plus the number of input bytes discarded since the output was
        # shut down; 0 before that.
        self.discarded_bytes = 0
        self.linger_after_close = False
        self.expires_at = 0.0
        self.deferred: DeferredResponse | None = None
        self.result: tuple[typing.Any, BaseException | None] | None = None
        self._request: Request | None = None
        # The deferred response that is not completely sent yet.
        self._unsent_response: DeferredResponse | None = None
        server_.count_connection(1)

    def communicate(self) -> bool:
        """Process available input and output; return whether to keep open."""
        try:
            return self._advance()
        except OSError:
            return False

    def close(self) -> None:
        """Close the socket."""
        if self.rfile.closed:
            return
        self.server.count_connection(-1)
        if self._unsent_response is not None:
            self.server.report_undelivered(self._unsent_response)
        super().close()

    def defer(self, deferred: DeferredResponse, req: Request) -> None:
        """Register the deferred response to a request."""
        deferred.req.client_closed = self.peer_closed
        self.deferred = deferred
        self._request = req

    def peer_closed(self) -> bool:
        """Return whether the client has closed or reset the connection."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def events(self) -> int:
        """Return the socket event that the connection waits for."""
        if self.output:
            return selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def wait_deadline(self, now: float) -> float:
        """Return the monotonic time at which waiting in the selector ends."""
        if self.discarded_bytes:
            return self.expires_at or now + LINGER_S
        if self.output:
            return now + self.server.write_timeout_s
        if self.rfile.has_data():
            if self.rfile.partial_since is None:
                self.rfile.partial_since = now
            return self.rfile.partial_since + self.server.read_timeout_s
        return now + self.server.timeout

    def _advance(self) -> bool:
        if self.discarded_bytes:
            return self._discard_input()
        if self.result is not None:
            self._write_deferred()
        elif not self.output:
            self.rfile.receive(self.socket)
        while True:
            if self.output and not self._flush():
                return True
            self._unsent_response = None
            if self.deferred is not None:
                return True
            if self.close_after_output:
                return self._start_lingering()
            if not self._handle_next_request():
                return not self.rfile.eof

    def _handle_next_request(self) -> bool:
        """Handle the next request; return False if none is complete."""
        try:
            if not self.rfile.has_complete_request():
                if self.rfile.expects_continue:
                    self.rfile.expects_continue = False
                    self.socket.send(_CONTINUE_RESPONSE)
                return False
        except errors.RidgeError as exc:
            req = self.RequestHandlerClass(self.server, self)
            req.fail(exc)
            self.close_after_output = True
            return True
        self.expires_at = 0.0
        req = self.RequestHandlerClass(self.server, self)
        try:
            req.parse_request()
            if req.ready:
                req.respond()
        except Exception:
            self.server.metrics.count_error('internal')
            self.server.error_log('request failed', traceback=True)
            self._conditional_error(req, '500 Internal Server Error')
            req.close_connection = True
        self.close_after_output = req.close_connection or not req.ready
        return True

    def _write_deferred(self) -> None:
        deferred, req, result = self.deferred, self._request, self.result
        assert deferred is not None and req is not None  # noqa: S101
        assert result is not None  # noqa: S101
        self.result = None
        self.server.end_request()
        req.send(deferred.finish(*result))
        self.close_after_output = req.close_connection
        self._request = None
        self.deferred = None
        if self.peer_closed():
            self.server.report_undelivered(deferred)
            self.rfile.eof = True
        else:
            self._unsent_response = deferred

    def _flush(self) -> bool:
        """Send the output; return False if the send buffer is full."""
        output = self.output
        while output:
            try:
                with memoryview(output) as view:
                    sent = self.socket.send(view[:SEND_BYTES])
            except (BlockingIOError, InterruptedError):
                return False
            del output[:sent]
        return True

    def _start_lingering(self) -> bool:
        # Closing a socket with unread input resets the connection, and the
        # client may lose the response. Send FIN and keep reading for a while.
        if not self.linger_after_close or self.rfile.eof:
            return False
        self.socket.shutdown(socket.SHUT_WR)
        self.discarded_bytes = 1
        self.expires_at = time.monotonic() + LINGER_S
        return self._discard_input()

    def _discard_input(self) -> bool:
        while self.discarded_bytes < MAX_LINGER_BYTES:
            try:
                data = self.socket.recv(RECV_BYTES)
            except BlockingIOError:
                return True
            if not data:
                return False
            self.discarded_bytes += len(data)
        return False


class _Selector:
    """Wait for sockets with epoll; connections are armed for one event.

    It replaces cheroot's selector, which adds and removes a socket for every
    request; re-arming a socket takes a quarter of the time. Worker threads
    may call register(); only the selector's thread calls select() and
    unregister().
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._data: dict[int, typing.Any] = {}

    def __len__(self) -> int:
        return len(self._data)

    @property
    def connections(self) -> list[tuple[int, typing.Any]]:
        """Return the file descriptors and data of all registered sockets."""
        # Workers register concurrently; dict.copy() is atomic.
        return list(self._data.copy().items())

    def register(self, fd: int, events: int, data: typing.Any = None) -> None:
        """Start to wait for an event of a socket."""
        flags = (
            select.EPOLLOUT
            if events == selectors.EVENT_WRITE
            else select.EPOLLIN
        )
        self._data[fd] = data
        if not isinstance(data, Connection):
            self._epoll.register(fd, flags)
        elif data.in_epoll:
            self._epoll.modify(fd, flags | select.EPOLLONESHOT)
        else:
            data.in_epoll = True
            self._epoll.register(fd, flags | select.EPOLLONESHOT)

    def unregister(self, fd: int) -> None:
        """Remove a socket.

        The socket of a connection stays in epoll: it is already disarmed, or
        about to be closed.
        """
        if not isinstance(self._data.pop(fd), Connection):
            self._epoll.unregister(fd)

    def select(self, timeout: float) -> list[tuple[int, typing.Any]]:
        """Return the sockets that are ready."""
        data = self._data
        ready = self._epoll.poll(timeout)
        return [(fd, data[fd]) for fd, _ in ready if fd in data]

    def close(self) -> None:
        """Release the file descriptor."""
        self._epoll.close()


class _ConnectionManager(connections.ConnectionManager):
    """Hold the connections that wait for a socket event."""

    def __init__(self, server_: 'Server') -> None:
        super().__init__(server_)
        self._selector.close()
        self._selector = _Selector()
        self._selector.register(
            server_.socket.fileno(), selectors.EVENT_READ, server_
        )

    def put(self, conn: Connection) -> None:
        """Wait for the next event of a connection's socket."""
        conn.expires_at = conn.wait_deadline(time.monotonic())
        try:
            self._selector.register(conn.socket.fileno(), conn.events(), conn)
        except (ValueError, KeyError, OSError):
            # A concurrent stop() has closed the selector.
            conn.close()

    def stop(self) -> None:
        """Stop the selector's loop without waiting for its timeout."""
        waker, other = socket.socketpair()
        with waker, other:
            self._stop_requested = True
            # A writable socket without a connection wakes the selector.
            fd = waker.fileno()
            self._selector.register(fd, selectors.EVENT_WRITE)
            super().stop()
            with contextlib.suppress(KeyError):
                self._selector.unregister(fd)

    def has_unfinished(self) -> bool:
        """Return whether any connection has a partial request or response."""
        return any(
            conn.output or conn.rfile.has_data()
            for _, conn in self._selector.connections
            if isinstance(conn, Connection)
        )

    def _expire(self, threshold: float) -> None:
        now = time.monotonic()
        for fd, conn in self._selector.connections:
            if isinstance(conn, Connection) and conn.expires_at < now:
                self._selector.unregister(fd)
                conn.close()

    def _from_server_socket(
        self, server_socket: socket.socket
    ) -> Connection | None:
        try:
            conn = super()._from_server_socket(server_socket)
        except OSError as exc:
            self.server.metrics.count_error('accept_failed')
            if exc.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                time.sleep(ACCEPT_PAUSE_S)
            return None
        if conn is not None and self.server.over_connection_limit:
            self.server.metrics.count_error('too_many_connections')
            conn.close()
            return None
        return conn


class DeferredRunner:
    """Run deferred requests on the engine's loop, from any thread.

    ``complete`` is called on the loop with the connection when its
    ``result`` is set.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        complete: Callable[[Connection], None],
    ) -> None:
        self.loop = loop
        self._complete = complete
        self._lock = threading.Lock()
        self._submitted: collections.deque[Connection] = collections.deque()
        self._start_scheduled = False
        # Keeps the tasks alive: the loop holds only weak references to them.
        self._tasks: dict[Connection, asyncio.Task[None]] = {}

    def submit(self, conn: Connection) -> None:
        """Schedule the deferred request of a connection."""
        with self._lock:
            self._submitted.append(conn)
            # One callback starts all requests submitted before it runs.
            must_schedule = not self._start_scheduled
            self._start_scheduled = True
        if must_schedule:
            try:
                self.loop.call_soon_threadsafe(self._start_tasks)
            except RuntimeError:
                self._fail_submitted()

    def connections(self) -> list[Connection]:
        """Return the connections whose requests are running."""
        return list(self._tasks)

    def _take_submitted(self) -> collections.deque[Connection]:
        with self._lock:
            submitted = self._submitted
            self._submitted = collections.deque()
            self._start_scheduled = False
        return submitted

    def _start_tasks(self) -> None:
        for conn in self._take_submitted():
            self._tasks[conn] = self.loop.create_task(self._run(conn))

    async def _run(self, conn: Connection) -> None:
        assert conn.deferred is not None  # noqa: S101
        try:
            conn.result = (await conn.deferred.call(), None)
        except BaseException as exc:
            conn.result = (None, exc)
            if not isinstance(exc, (Exception, asyncio.CancelledError)):
                raise
        finally:
            del self._tasks[conn]
            self._complete(conn)

    def _fail_submitted(self) -> None:
        for conn in self._take_submitted():
            exc = errors.UnavailableError(
                'the process is stopping', kind='draining', retry_after_s=1.0
            )
            conn.result = (None, exc)
            self._complete(conn)


class Server(wsgi.Server):
    """Serve HTTP for a WSGI application.

    Times are in seconds, ``max_header`` and ``max_body`` in bytes.
    """

    ConnectionClass = Connection

    def __init__(
        self,
        bind_addr: tuple[str, int],
        wsgi_app: Callable[..., typing.Any],
        loop: asyncio.AbstractEventLoop,
        metrics: metrics_.Metrics,
        *,
        threads: int,
        backlog: int,
        idle_timeout_s: float,
        read_timeout_s: float,
        write_timeout_s: float,
        max_header: int,
        max_body: int,
        max_connections: int,
        max_in_flight: int,
        shutdown_timeout_s: float = 5.0,
        reuse_port: bool = False,
    ) -> None:
        super().__init__(
            bind_addr,
            wsgi_app,
            numthreads=threads,
            max=threads,
            server_name='sassafrasridge',
            request_queue_size=backlog,
            timeout=idle_timeout_s,
            shutdown_timeout=shutdown_timeout_s,
            reuse_port=reuse_port,
        )
        self.gateway = Gateway
        self.software = 'sassafrasridge'
        # SimpleQueue is implemented in C. The thread pool's own queue, with
        # three condition variables in Python, took a tenth of the time per
        # request.
        self.requests._queue = queue.SimpleQueue()
        self.requests.get = self.requests._queue.get
        self.environ: dict[str, typing.Any] = {}
        self.metrics = metrics
        self.read_timeout_s = read_timeout_s
        self.write_timeout_s = write_timeout_s
        self.max_request_header_size = max_header
        self.max_request_body_size = max_body
        self.keep_alive_conn_limit = max_connections
        self.max_in_flight = max_in_flight
        self.draining = False
        self.deferred_runner = DeferredRunner(loop, self._on_deferred_done)
        self._count_lock = threading.Lock()
        self.open_connections = 0
        self.in_flight = 0
        self._cached_date = (0, '')

    @property
    def at_connection_limit(self) -> bool:
        """Return whether connections must close after their response."""
        return self.open_connections >= self.keep_alive_conn_limit

    @property
    def over_connection_limit(self) -> bool:
        """Return whether the connection limit is exceeded."""
        return self.open_connections > self.keep_alive_conn_limit

    def date_header(self) -> str:
        """Return the value of the Date header, cached for one second."""
        now = int(time.time())
        if self._cached_date[0] != now:
            self._cached_date = (now, email.utils.formatdate(now, usegmt=True))
        return self._cached_date[1]

    def count_connection(self, delta: int) -> None:
        """Add to the number of open connections."""
        with self._count_lock:
            self.open_connections += delta

    def try_begin_request(self) -> bool:
        """Count a request in flight; return False if at the limit."""
        with self._count_lock:
            if self.in_flight >= self.max_in_flight:
                return False
            self.in_flight += 1
            return True

    def end_request(self) -> None:
        """Count a request in flight as finished."""
        with self._count_lock:
            self.in_flight -= 1

    def has_unfinished_work(self) -> bool:
        """Return whether any request or response is unfinished."""
        return (
            self.in_flight > 0
            or self.requests.qsize > 0
            or any(t.conn is not None for t in self.requests._threads)
            or self._connections.has_unfinished()
        )

    def report_undelivered(self, deferred: DeferredResponse) -> None:
        """Report a response that the client did not receive."""
        self.metrics.undelivered.inc()
        if deferred.on_undelivered is not None:
            try:
                self.deferred_runner.loop.call_soon_threadsafe(
                    deferred.on_undelivered
                )
            except RuntimeError:
                # The loop is closed, so there is no engine left to notify.
                return

    def prepare(self) -> None:
        """Bind the socket and start the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)
        self.environ = {
            'ACTUAL_SERVER_PROTOCOL': self.protocol,
            'SCRIPT_NAME': '',
            'SERVER_NAME': self.server_name,
            'SERVER_PORT': str(self.bind_addr[1]),
            'SERVER_SOFTWARE': self.software,
            'wsgi.errors': sys.stderr,
            'wsgi.input_terminated': False,
            'wsgi.multiprocess': False,
            'wsgi.multithread': True,
            'wsgi.run_once': False,
            'wsgi.url_scheme': 'http',
            'wsgi.version': (1, 0),
        }

    def process_conn(self, conn: Connection | None) -> None:
        """Queue a connection for a worker thread.

        A new connection waits for input in the selector first, so a client
        that connects without sending anything occupies no worker thread.
        """
        if conn is None:
            # stop() woke the selector.
            return
        if conn.is_new:
            conn.is_new = False
            self._connections.put(conn)
        else:
            self.requests.put(conn)

    def put_conn(self, conn: Connection) -> None:
        """Take a connection back from a worker thread.

        The worker must not use the connection afterwards. Deferred requests
        must not be submitted earlier: before submit() returns, the request
        may complete and another worker may already handle the connection.
        """
        if not self.ready:
            if conn.deferred is not None:
                self.end_request()
            conn.close()
        elif conn.deferred is not None:
            self.deferred_runner.submit(conn)
        else:
            self._connections.put(conn)

    def _on_deferred_done(self, conn: Connection) -> None:
        if self.ready:
            self.requests.put(conn)
        else:
            self.end_request()
            conn.close()

    def stop(self) -> None:
        """Close all connections and stop the worker threads."""
        super().stop()
        for conn in self.deferred_runner.connections():
            conn.close()

    def close_listener(self) -> None:
        """Stop accepting connections."""
        sock = self.socket
        if self.ready and sock is not None and sock.fileno() >= 0:
            self._connections._selector.unregister(sock.fileno())
            sock.close()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Count and log an exception; ignore messages without traceback."""
        if traceback:
            self.metrics.record_exception('http server: ' + msg)
