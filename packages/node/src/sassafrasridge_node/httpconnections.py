"""HTTP connections that never block, and the selector they wait in."""

import contextlib
import errno
import select
import selectors
import socket
import time
import typing

from cheroot import connections
from cheroot import server

from sassafrasridge_core import errors
from sassafrasridge_node import httprequests
from sassafrasridge_node import httpresponses

if typing.TYPE_CHECKING:
    from sassafrasridge_node import httpserver

SEND_BYTES = 256 * 1024
# After an error response, input is read and discarded for this long, up to
# this many bytes, before the socket is closed.
LINGER_S = 2.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
# Pause of the accept loop when file descriptors or buffers have run out.
ACCEPT_PAUSE_S = 0.02
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Connection(server.HTTPConnection):
    """Process a connection in steps that never block."""

    RequestHandlerClass = httprequests.Request

    # The base class's constructor is not called: it creates two caches and
    # two buffered files per connection, which idle connections do not need.
    def __init__(
        self,
        server_: 'httpserver.Server',
        sock: socket.socket,
        _makefile: object = None,
    ) -> None:
        sock.setblocking(False)
        self.server = server_
        self.socket = sock
        self.output = bytearray()
        self.rfile = httprequests.RequestBuffer(
            server_.max_request_header_size, server_.max_request_body_size
        )
        self.wfile = httprequests.OutputBuffer(self.output)
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
        self.deferred: httpresponses.DeferredResponse | None = None
        self.result: tuple[typing.Any, BaseException | None] | None = None
        self._request: httprequests.Request | None = None
        # The deferred response that is not completely sent yet.
        self._unsent_response: httpresponses.DeferredResponse | None = None
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

    def defer(
        self,
        deferred: httpresponses.DeferredResponse,
        req: httprequests.Request,
    ) -> None:
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
                data = self.socket.recv(httprequests.RECV_BYTES)
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


class ConnectionManager(connections.ConnectionManager):
    """Hold the connections that wait for a socket event."""

    def __init__(self, server_: 'httpserver.Server') -> None:
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
