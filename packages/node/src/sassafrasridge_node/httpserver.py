"""An HTTP server of cheroot whose waiting requests hold no thread.

A connection moves between three places: the selector (idle, or waiting for
input or for room in the socket's send buffer), a worker thread, and the
engine's loop (detached). Sockets are non-blocking throughout, so a slow peer
never occupies a worker thread.
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
import cherrypy
import orjson

from sassafrasridge_core import errors
from sassafrasridge_node import metrics as metrics_

RECV_BYTES = 16 * 1024
SEND_BYTES = 256 * 1024
# A peer gets this long to read an error response before the close.
LINGER_S = 2.0
LINGER_BYTES = 4 * 1024 * 1024
OVERLOAD_RETRY_S = 1.0
# Pause of the accept loop when no file descriptor is left.
ACCEPT_PAUSE_S = 0.02

_METHOD = re.compile(rb'[A-Z]{1,16}(?: |\Z)')
# Request lines without escapes, query or authority need no URL parser.
_PLAIN_LINE = re.compile(
    rb'(POST|GET) (/(?!/)[A-Za-z0-9_./~:-]*) HTTP/1\.1\r\n'
)
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_LENGTH = re.compile(rb'\r\nContent-Length([^\r\n]*)', re.IGNORECASE)
_LENGTH_VALUE = re.compile(rb':[ \t]*([0-9]{1,15})[ \t]*')
_TRANSFER = re.compile(rb'\r\nTransfer-Encoding[ \t]*:', re.IGNORECASE)
_EXPECT = re.compile(rb'\r\nExpect:[ \t]*100-continue', re.IGNORECASE)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Two different values of these must not be chosen between silently.
_SINGLE = frozenset(
    (b'Authorization', b'Idempotency-Key', b'Session-Token', b'Host')
)
_REASONS = {s.value: f'{s.value} {s.phrase}' for s in http.HTTPStatus}


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


class Deferred:
    """Stand in a WSGI result for a response that a coroutine will give.

    ``item`` gets the connection's ``peer_closed`` as its attribute
    ``client_closed``. ``call`` makes the coroutine on the engine's loop.
    ``finish`` gets its result or its exception in a worker thread and makes
    the response.
    ``undelivered`` is called on the loop if the client no longer reads.
    """

    __slots__ = ('item', 'call', 'finish', 'undelivered')

    def __init__(
        self,
        item: typing.Any,
        call: Callable[[], Coroutine[typing.Any, typing.Any, typing.Any]],
        finish: Callable[[typing.Any, BaseException | None], Response],
        undelivered: Callable[[], None] | None = None,
    ) -> None:
        self.item = item
        self.call = call
        self.finish = finish
        self.undelivered = undelivered


def json_object(raw: bytes) -> dict[str, typing.Any]:
    """Return the JSON object of a request's body; BadRequestError if none."""
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
        # Retry-After has whole seconds; rounding down would be too early.
        seconds = max(1, -int(-exc.retry_after_s // 1))
        headers += (('Retry-After', str(seconds)),)
    return Response(exc.status, orjson.dumps(exc.as_json()), headers)


class Reader:
    """Buffer the input of a connection and find where requests end."""

    __slots__ = (
        'buffer',
        'closed',
        'eof',
        'started',
        '_head',
        '_need',
        '_scanned',
        '_max_header',
        '_max_body',
        'expects',
    )

    def __init__(self, max_header: int, max_body: int) -> None:
        self.buffer = bytearray()
        self.closed = False
        self.eof = False
        # When the first byte of an incomplete request came, or None.
        self.started: float | None = None
        self.expects = False
        self._head = b''
        self._need = 0
        self._scanned = 0
        self._max_header = max_header
        self._max_body = max_body

    def has_data(self) -> bool:
        """Return whether input is buffered."""
        return bool(self.buffer)

    def close(self) -> None:
        """Drop the buffer."""
        self.closed = True
        self.buffer = bytearray()

    def fill(self, sock: socket.socket) -> None:
        """Read what the socket has, without waiting."""
        bound = max(self._need, self._max_header) + RECV_BYTES
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

    def complete(self) -> bool:
        """Return whether a whole request is buffered.

        Raises BadRequestError and TooLargeError. Framing is decided here
        alone; anything that two parsers may frame differently is refused.
        """
        if not self._need and not self._find_head():
            return False
        return len(self.buffer) >= self._need

    def take(self) -> tuple[bytes, bytes]:
        """Remove a complete request and return its head and body."""
        head = self._head
        body = bytes(self.buffer[len(head) : self._need])
        del self.buffer[: self._need]
        self._head = b''
        self._need = self._scanned = 0
        self.started = None
        self.expects = False
        return head, body

    def _find_head(self) -> bool:
        buffer = self.buffer
        while buffer[:2] == b'\r\n':
            # RFC 9112 2.2: ignore empty lines before a request line.
            del buffer[:2]
        end = buffer.find(b'\r\n\r\n', max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(buffer)
            self._check_partial()
            return False
        if end + 4 > self._max_header:
            raise _header_too_large(self._max_header)
        head = bytes(buffer[: end + 4])
        if not _METHOD.match(head):
            raise errors.BadRequestError('the request line is malformed')
        length = _body_length(head)
        if length > self._max_body:
            raise errors.TooLargeError(
                f'the body has {length} bytes, over the limit of '
                f'{self._max_body}'
            )
        self._head = head
        self._need = end + 4 + length
        self.expects = bool(length) and _EXPECT.search(head) is not None
        return True

    def _check_partial(self) -> None:
        if len(self.buffer) > self._max_header:
            raise _header_too_large(self._max_header)
        if self.buffer and not _METHOD.match(self.buffer):
            line = self.buffer[:17]
            if len(line) > 16 or not line.isalpha() or not line.isupper():
                raise errors.BadRequestError('the input is not HTTP')


def _header_too_large(limit: int) -> errors.TooLargeError:
    return errors.TooLargeError(
        f'the request header is over the limit of {limit} bytes',
        remedy='Send fewer or smaller headers.',
    )


def _body_length(head: bytes) -> int:
    if head.count(b'\n') != head.count(b'\r\n'):
        raise errors.BadRequestError('header lines must end with CR LF')
    if b'\r\n ' in head or b'\r\n\t' in head:
        raise errors.BadRequestError('folded header lines are not supported')
    if _TRANSFER.search(head):
        raise errors.BadRequestError(
            'transfer encodings are not supported in requests',
            remedy='Send the body with Content-Length.',
        )
    found = _LENGTH.findall(head)
    if not found:
        return 0
    match = _LENGTH_VALUE.fullmatch(found[0])
    if len(found) > 1 or match is None:
        raise errors.BadRequestError('the Content-Length header is malformed')
    return int(match[1])


class _Writer:
    """Collect the output of cheroot until the connection sends it."""

    __slots__ = ('output',)

    def __init__(self, output: bytearray) -> None:
        self.output = output

    def write(self, data: bytes) -> int:
        self.output += data
        return len(data)


class Request(server.HTTPRequest):
    """Parse a request that is already in memory."""

    def __init__(self, server_: 'Server', conn: 'Connection') -> None:
        super().__init__(server_, conn, proxy_mode=False, strict_mode=True)
        self._head = self._body = b''

    def read_request_line(self) -> bool:
        """Parse the request line; return whether it is valid."""
        match = _PLAIN_LINE.match(self._head)
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
        self._head, self._body = self.conn.rfile.take()
        self.rfile = io.BytesIO(self._head)
        try:
            self.ready = (
                self.read_request_line() and self.read_request_headers()
            )
        except ValueError:
            # urlsplit refuses some addresses, such as an unclosed bracket.
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
                # An underscore is refused too: the WSGI environment would
                # mix it up with a hyphen.
                raise ValueError('malformed header line')
            name = name.title()
            value = value.strip(b' \t')
            if name in headers:
                if name in _SINGLE:
                    raise ValueError(f'repeated header {name.decode()}')
                value = headers[name] + b', ' + value
            headers[name] = value
        # The connection sends 100 Continue itself, before the body comes.
        headers.pop(b'Expect', None)
        return headers

    def respond(self) -> None:
        """Call the application; write its response unless it is deferred."""
        self.rfile = io.BytesIO(self._body)
        self.server.gateway(self).respond()
        if self.conn.deferred is not None:
            return
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer with a typed error and close the connection."""
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
        """Answer with a typed error and close the connection."""
        self.server.metrics.error(exc.kind)
        self.close_connection = True
        self.conn.linger_after_close = True
        self.send(error_response(exc))

    def send(self, response: Response) -> None:
        """Write a complete response."""
        self.sent_headers = True
        if self.server.draining or self.server.full:
            self.close_connection = True
        lines = [
            f'HTTP/1.1 {_REASONS[response.status]}\r\n'
            f'Date: {self.server.date()}\r\n'
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
def _variable(name: bytes) -> str:
    """Return the variable of the WSGI environment for a header.

    >>> _variable(b'Session-Token'), _variable(b'Content-Type')
    ('HTTP_SESSION_TOKEN', 'CONTENT_TYPE')
    """
    variable = name.decode('latin-1').upper().replace('-', '_')
    if variable in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        return variable
    return 'HTTP_' + variable


class Gateway(wsgi.Gateway_10):
    """Call the WSGI application; it may answer with a Deferred."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment.

        The base class formats every value anew, which took a seventh of a
        request's time.
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
            env[_variable(name)] = value.decode('latin-1')
        return env

    def respond(self) -> None:
        """Write the response, or leave it to the deferred result."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        if isinstance(response, Deferred):
            self._defer(response)
        elif isinstance(response, Response):
            self.req.send(response)
        else:
            self._write_all(response)

    def _defer(self, deferred: Deferred) -> None:
        if self.req.server.begin():
            self.req.conn.defer(deferred, self.req)
            return
        exc = errors.UnavailableError(
            'the process has too many requests in flight',
            kind='overloaded',
            retry_after_s=OVERLOAD_RETRY_S,
        )
        self.req.server.metrics.error(exc.kind)
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
    """A connection that is advanced in steps, none of which waits."""

    RequestHandlerClass = Request

    # The base class's constructor is not called: it makes two caches and
    # two buffered files per connection, which idle connections never use.
    def __init__(
        self, server_: 'Server', sock: socket.socket, _makefile: object = None
    ) -> None:
        sock.setblocking(False)
        self.server = server_
        self.socket = sock
        self.output = bytearray()
        self.rfile = Reader(
            server_.max_request_header_size, server_.max_request_body_size
        )
        self.wfile = _Writer(self.output)
        self.requests_seen = 0
        self.fresh = True
        self.polled = False
        self.closing = False
        self.lingering = 0
        self.linger_after_close = False
        self.expires = 0.0
        self.deferred: Deferred | None = None
        self.result: tuple[typing.Any, BaseException | None] | None = None
        self._request: Request | None = None
        # The deferred request whose response is not completely sent yet.
        self._answered: Deferred | None = None
        server_.count_connection(1)

    def communicate(self) -> bool:
        """Advance as far as possible; return whether to keep it open."""
        try:
            return self._advance()
        except OSError:
            return False

    def close(self) -> None:
        """Close the socket."""
        if self.rfile.closed:
            return
        self.server.count_connection(-1)
        if self._answered is not None:
            self.server.undelivered(self._answered)
        super().close()

    def defer(self, deferred: Deferred, req: Request) -> None:
        """Note that the response to a request comes later."""
        deferred.item.client_closed = self.peer_closed
        self.deferred = deferred
        self._request = req

    def peer_closed(self) -> bool:
        """Return whether the client has closed its side."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def events(self) -> int:
        """Return which event of the socket the connection waits for."""
        if self.output:
            return selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def expiry(self, now: float) -> float:
        """Return when to give up waiting in the selector."""
        if self.lingering:
            return self.expires or now + LINGER_S
        if self.output:
            return now + self.server.write_timeout_s
        if self.rfile.has_data():
            if self.rfile.started is None:
                self.rfile.started = now
            return self.rfile.started + self.server.read_timeout_s
        return now + self.server.timeout

    def _advance(self) -> bool:
        if self.lingering:
            return self._discard()
        if self.result is not None:
            self._finish()
        elif not self.output:
            self.rfile.fill(self.socket)
        while True:
            if self.output and not self._flush():
                return True
            self._answered = None
            if self.deferred is not None:
                return True
            if self.closing:
                return self._linger()
            if not self._next_request():
                return not self.rfile.eof

    def _next_request(self) -> bool:
        """Handle a request if a complete one is buffered."""
        try:
            if not self.rfile.complete():
                if self.rfile.expects:
                    self.rfile.expects = False
                    self.socket.send(_CONTINUE)
                return False
        except errors.RidgeError as exc:
            req = self.RequestHandlerClass(self.server, self)
            req.fail(exc)
            self.closing = True
            return True
        self.expires = 0.0
        req = self.RequestHandlerClass(self.server, self)
        try:
            req.parse_request()
            if req.ready:
                req.respond()
        except Exception:
            self.server.metrics.error('internal')
            self.server.error_log('request failed', traceback=True)
            self._conditional_error(req, '500 Internal Server Error')
            req.close_connection = True
        self.closing = req.close_connection or not req.ready
        return True

    def _finish(self) -> None:
        deferred, req, result = self.deferred, self._request, self.result
        assert deferred is not None and req is not None  # noqa: S101
        assert result is not None  # noqa: S101
        self.result = None
        self.server.finished()
        req.send(deferred.finish(*result))
        self.closing = req.close_connection
        self._request = None
        self.deferred = None
        if self.peer_closed():
            self.server.undelivered(deferred)
            self.rfile.eof = True
        else:
            self._answered = deferred

    def _flush(self) -> bool:
        """Send output until it is gone or the send buffer is full."""
        output = self.output
        while output:
            try:
                with memoryview(output) as view:
                    sent = self.socket.send(view[:SEND_BYTES])
            except (BlockingIOError, InterruptedError):
                return False
            del output[:sent]
        return True

    def _linger(self) -> bool:
        # Closing with unread input resets the connection, and the client
        # may then lose the response: send FIN and read on for a moment.
        if not self.linger_after_close or self.rfile.eof:
            return False
        self.socket.shutdown(socket.SHUT_WR)
        self.lingering = 1
        self.expires = time.monotonic() + LINGER_S
        return self._discard()

    def _discard(self) -> bool:
        while self.lingering < LINGER_BYTES:
            try:
                data = self.socket.recv(RECV_BYTES)
            except BlockingIOError:
                return True
            if not data:
                return False
            self.lingering += len(data)
        return False


class _Selector:
    """Wait for sockets with epoll; connections are reported once.

    It replaces cheroot's selector, which adds and removes a socket for
    every request: re-arming a socket takes a quarter of that time. Workers
    register; only the selector's thread selects and unregisters.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._data: dict[int, typing.Any] = {}

    def __len__(self) -> int:
        return len(self._data)

    @property
    def connections(self) -> list[tuple[int, typing.Any]]:
        """Return what is registered, with its file descriptor."""
        # A dict's copy is atomic, while workers register.
        return list(self._data.copy().items())

    def register(self, fd: int, events: int, data: typing.Any = None) -> None:
        """Wait for an event of a socket."""
        flags = (
            select.EPOLLOUT
            if events == selectors.EVENT_WRITE
            else select.EPOLLIN
        )
        self._data[fd] = data
        if not isinstance(data, Connection):
            self._epoll.register(fd, flags)
        elif data.polled:
            self._epoll.modify(fd, flags | select.EPOLLONESHOT)
        else:
            data.polled = True
            self._epoll.register(fd, flags | select.EPOLLONESHOT)

    def unregister(self, fd: int) -> None:
        """Forget a socket; a connection's is disarmed already or closes."""
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


class _Manager(connections.ConnectionManager):
    """Keep the connections that wait for their socket."""

    def __init__(self, server_: 'Server') -> None:
        super().__init__(server_)
        self._selector.close()
        self._selector = _Selector()
        self._selector.register(
            server_.socket.fileno(), selectors.EVENT_READ, server_
        )

    def put(self, conn: Connection) -> None:
        """Wait until the connection's socket is ready."""
        conn.expires = conn.expiry(time.monotonic())
        try:
            self._selector.register(conn.socket.fileno(), conn.events(), conn)
        except (ValueError, KeyError, OSError):
            # The selector was closed by a concurrent stop.
            conn.close()

    def stop(self) -> None:
        """End the selector's loop without waiting for its time-out."""
        waker, other = socket.socketpair()
        with waker, other:
            self._stop_requested = True
            # A writable socket ends the wait at once; it has no connection.
            fd = waker.fileno()
            self._selector.register(fd, selectors.EVENT_WRITE)
            super().stop()
            with contextlib.suppress(KeyError):
                self._selector.unregister(fd)

    def unfinished(self) -> bool:
        """Return whether a connection has part of a request or response."""
        return any(
            conn.output or conn.rfile.has_data()
            for _, conn in self._selector.connections
            if isinstance(conn, Connection)
        )

    def _expire(self, threshold: float) -> None:
        now = time.monotonic()
        for fd, conn in self._selector.connections:
            if isinstance(conn, Connection) and conn.expires < now:
                self._selector.unregister(fd)
                conn.close()

    def _from_server_socket(
        self, server_socket: socket.socket
    ) -> Connection | None:
        try:
            conn = super()._from_server_socket(server_socket)
        except OSError as exc:
            self.server.metrics.error('accept_failed')
            if exc.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
                time.sleep(ACCEPT_PAUSE_S)
            return None
        if conn is not None and self.server.over_limit:
            self.server.metrics.error('too_many_connections')
            conn.close()
            return None
        return conn


class Bridge:
    """Run deferred requests on the engine's loop, from any thread.

    ``complete`` is called on the loop with a connection whose result is set.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        complete: Callable[[Connection], None],
    ) -> None:
        self.loop = loop
        self._complete = complete
        self._lock = threading.Lock()
        self._inbox: collections.deque[Connection] = collections.deque()
        self._awake = False
        # The loop itself keeps only weak references to tasks.
        self._tasks: dict[Connection, asyncio.Task[None]] = {}

    def submit(self, conn: Connection) -> None:
        """Start a connection's deferred request."""
        with self._lock:
            self._inbox.append(conn)
            # One wake-up serves all requests submitted before it runs.
            wake = not self._awake
            self._awake = True
        if wake:
            try:
                self.loop.call_soon_threadsafe(self._start)
            except RuntimeError:
                self._refuse()

    def connections(self) -> list[Connection]:
        """Return the connections whose requests are running."""
        return list(self._tasks)

    def _take(self) -> collections.deque[Connection]:
        with self._lock:
            inbox = self._inbox
            self._inbox = collections.deque()
            self._awake = False
        return inbox

    def _start(self) -> None:
        for conn in self._take():
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

    def _refuse(self) -> None:
        for conn in self._take():
            exc = errors.UnavailableError(
                'the process is stopping', kind='draining', retry_after_s=1.0
            )
            conn.result = (None, exc)
            self._complete(conn)


class Server(wsgi.Server):
    """An HTTP server that CherryPy manages."""

    ConnectionClass = Connection

    def __init__(
        self,
        bind_addr: tuple[str, int],
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
            cherrypy.tree,
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
        # A queue in C: the pool's own one, with its three conditions in
        # Python, cost a tenth of a request's time.
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
        self.bridge = Bridge(loop, self._completed)
        self._count_lock = threading.Lock()
        self.open_connections = 0
        self.in_flight = 0
        self._date = (0, '')

    @property
    def full(self) -> bool:
        """Return whether keep-alive must give way to new connections."""
        return self.open_connections >= self.keep_alive_conn_limit

    @property
    def over_limit(self) -> bool:
        """Return whether there are more connections than allowed."""
        return self.open_connections > self.keep_alive_conn_limit

    def date(self) -> str:
        """Return the value of the Date header, made once a second."""
        now = int(time.time())
        if self._date[0] != now:
            self._date = (now, email.utils.formatdate(now, usegmt=True))
        return self._date[1]

    def count_connection(self, change: int) -> None:
        """Count a connection that was opened or closed."""
        with self._count_lock:
            self.open_connections += change

    def begin(self) -> bool:
        """Count a request in flight; return False if there are too many."""
        with self._count_lock:
            if self.in_flight >= self.max_in_flight:
                return False
            self.in_flight += 1
            return True

    def finished(self) -> None:
        """Count the end of a request in flight."""
        with self._count_lock:
            self.in_flight -= 1

    def busy(self) -> bool:
        """Return whether a request or a response is unfinished."""
        return (
            self.in_flight > 0
            or self.requests.qsize > 0
            or any(t.conn is not None for t in self.requests._threads)
            or self._connections.unfinished()
        )

    def undelivered(self, deferred: Deferred) -> None:
        """Report a response that its client does not read."""
        self.metrics.undelivered.inc()
        if deferred.undelivered is not None:
            try:
                self.bridge.loop.call_soon_threadsafe(deferred.undelivered)
            except RuntimeError:
                # The loop has ended, and nobody is left to be told.
                return

    def prepare(self) -> None:
        """Bind the socket and start the worker threads."""
        super().prepare()
        self._connections.close()
        self._connections = _Manager(self)
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

        A new connection first waits for input in the selector, so a client
        that connects and sends nothing never occupies a worker thread.
        """
        if conn is None:
            # The selector was woken to stop.
            return
        if conn.fresh:
            conn.fresh = False
            self._connections.put(conn)
        else:
            self.requests.put(conn)

    def put_conn(self, conn: Connection) -> None:
        """Take a connection back from a worker thread.

        This is the worker's last use of the connection. Deferred requests
        are submitted here and no earlier: their result may be complete, and
        another worker may hold the connection, before submit() returns.
        """
        if not self.ready:
            if conn.deferred is not None:
                self.finished()
            conn.close()
        elif conn.deferred is not None:
            self.bridge.submit(conn)
        else:
            self._connections.put(conn)

    def _completed(self, conn: Connection) -> None:
        if self.ready:
            self.requests.put(conn)
        else:
            self.finished()
            conn.close()

    def stop(self) -> None:
        """Close all connections and end the worker threads."""
        super().stop()
        for conn in self.bridge.connections():
            conn.close()

    def close_listener(self) -> None:
        """Accept no more connections."""
        sock = self.socket
        if self.ready and sock is not None and sock.fileno() >= 0:
            self._connections._selector.unregister(sock.fileno())
            sock.close()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Pass server errors to the log; connection errors are counted."""
        if traceback:
            self.metrics.failure('http server: ' + msg)
