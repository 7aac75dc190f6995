"""HTTP server on cheroot that holds no thread for a waiting request.

A connection is always in one of three places: the selector (idle, or waiting
for input or for space in the socket's send buffer), a worker thread, or the
engine's loop (a detached request). All sockets are non-blocking, so a slow
peer never occupies a worker thread.
"""

import asyncio
import collections
from collections.abc import Callable
import email.utils
import queue
import sys
import threading
import time
import typing

from cheroot import wsgi

from sassafrasridge_core import errors
from sassafrasridge_node import httpconnections
from sassafrasridge_node import httprequests
from sassafrasridge_node import httpresponses
from sassafrasridge_node import metrics as metrics_

Response = httpresponses.Response
DeferredResponse = httpresponses.DeferredResponse
parse_json_object = httpresponses.parse_json_object
error_response = httpresponses.error_response


class DeferredRunner:
    """Run deferred requests on the engine's loop, from any thread.

    ``complete`` is called on the loop with the connection when its
    ``result`` is set.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        complete: Callable[[httpconnections.Connection], None],
    ) -> None:
        self.loop = loop
        self._complete = complete
        self._lock = threading.Lock()
        self._submitted: collections.deque[httpconnections.Connection] = (
            collections.deque()
        )
        self._start_scheduled = False
        # Keeps the tasks alive: the loop holds only weak references to them.
        self._tasks: dict[httpconnections.Connection, asyncio.Task[None]] = {}

    def submit(self, conn: httpconnections.Connection) -> None:
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

    def connections(self) -> list[httpconnections.Connection]:
        """Return the connections whose requests are running."""
        return list(self._tasks)

    def _take_submitted(self) -> collections.deque[httpconnections.Connection]:
        with self._lock:
            submitted = self._submitted
            self._submitted = collections.deque()
            self._start_scheduled = False
        return submitted

    def _start_tasks(self) -> None:
        for conn in self._take_submitted():
            self._tasks[conn] = self.loop.create_task(self._run(conn))

    async def _run(self, conn: httpconnections.Connection) -> None:
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

    ConnectionClass = httpconnections.Connection

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
        self.gateway = httprequests.Gateway
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
        self._connections = httpconnections.ConnectionManager(self)
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

    def process_conn(self, conn: httpconnections.Connection | None) -> None:
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

    def put_conn(self, conn: httpconnections.Connection) -> None:
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

    def _on_deferred_done(self, conn: httpconnections.Connection) -> None:
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
