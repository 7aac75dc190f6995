"""HTTP front: paths and the server life cycle."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import re
import threading
import time
import typing

from sassafrasridge_core import errors
from sassafrasridge_node import httpserver
from sassafrasridge_node import metrics as metrics_
from sassafrasridge_node import ports

DataReply = ports.DataReply
DataRequest = ports.DataRequest
DataPort = ports.DataPort
Json = ports.Json
OperatorReply = ports.OperatorReply
OperatorPort = ports.OperatorPort
WsgiApp = Callable[..., typing.Any]

# Interval of the check for unfinished requests while the front stops.
_IDLE_POLL_S = 0.01
_REPEATED_SLASHES = re.compile('//+')


class FrontConfig:
    """Hold the settings of the HTTP front; times are in seconds.

    ``idle_timeout_s`` limits how long a keep-alive connection may have no
    request, ``read_timeout_s`` how long a request may be incomplete and
    ``write_timeout_s`` how long a client may accept no output.
    ``max_header`` and ``max_body`` are in bytes. ``max_connections`` limits
    the open connections and ``max_in_flight`` the detached requests (those
    that wait for the engine without a worker thread) of this process.
    """

    __slots__ = (
        'host',
        'port',
        'threads',
        'backlog',
        'idle_timeout_s',
        'read_timeout_s',
        'write_timeout_s',
        'max_header',
        'max_body',
        'max_connections',
        'max_in_flight',
        'reuse_port',
    )

    def __init__(
        self,
        host: str = '127.0.0.1',
        port: int = 0,
        *,
        threads: int = 8,
        backlog: int = 1024,
        idle_timeout_s: float = 120.0,
        read_timeout_s: float = 10.0,
        write_timeout_s: float = 10.0,
        max_header: int = 16 * 1024,
        max_body: int = 1024 * 1024,
        max_connections: int = 4096,
        max_in_flight: int = 2048,
        reuse_port: bool = False,
    ) -> None:
        self.host = host
        self.port = port
        self.threads = threads
        self.backlog = backlog
        self.idle_timeout_s = idle_timeout_s
        self.read_timeout_s = read_timeout_s
        self.write_timeout_s = write_timeout_s
        self.max_header = max_header
        self.max_body = max_body
        self.max_connections = max_connections
        self.max_in_flight = max_in_flight
        self.reuse_port = reuse_port


class LazyApp:
    """Load a WSGI application when its first request arrives.

    If that fails, each request gets an error and the next one tries again.
    """

    def __init__(
        self, load: Callable[[], WsgiApp], metrics: metrics_.Metrics
    ) -> None:
        self._load = load
        self._metrics = metrics
        self._lock = threading.Lock()
        self._app: WsgiApp | None = None

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Any:
        try:
            with self._lock:
                if self._app is None:
                    self._app = self._load()
        except Exception:
            self._metrics.record_exception(
                'loading of ' + environ['PATH_INFO']
            )
            exc = errors.UnavailableError(
                'this interface could not be loaded',
                remedy='Look for a failure in the log and reinstall the '
                'dependencies of the daemon.',
            )
            self._metrics.count_error(exc.kind)
            return httpserver.error_response(exc)
        return self._app(environ, start_response)


class _Paths:
    """Pass each request to the WSGI application of its path prefix."""

    def __init__(self) -> None:
        self.apps: dict[str, WsgiApp] = {}

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Any:
        path = _REPEATED_SLASHES.sub('/', environ['PATH_INFO'])
        prefix = path
        while prefix and prefix not in self.apps:
            prefix = prefix[: prefix.rfind('/')]
        app = self.apps.get(prefix)
        if app is None:
            exc = errors.UnknownServiceError(
                'no such path', kind='not_found', remedy='Check the path.'
            )
            return httpserver.error_response(exc)
        environ['SCRIPT_NAME'] = prefix
        environ['PATH_INFO'] = path[len(prefix) :]
        return app(environ, start_response)


class Front:
    """Run the HTTP server in a thread of its own."""

    def __init__(
        self,
        cfg: FrontConfig,
        loop: asyncio.AbstractEventLoop,
        metrics: metrics_.Metrics,
    ) -> None:
        self.cfg = cfg
        self._stopped = threading.Event()
        self._metrics = metrics
        self._paths = _Paths()
        self._thread = threading.Thread(
            target=self._serve, name='http', daemon=True
        )
        self.server = httpserver.Server(
            (cfg.host, cfg.port),
            self._paths,
            loop,
            metrics,
            threads=cfg.threads,
            backlog=cfg.backlog,
            idle_timeout_s=cfg.idle_timeout_s,
            read_timeout_s=cfg.read_timeout_s,
            write_timeout_s=cfg.write_timeout_s,
            max_header=cfg.max_header,
            max_body=cfg.max_body,
            max_connections=cfg.max_connections,
            max_in_flight=cfg.max_in_flight,
            reuse_port=cfg.reuse_port,
        )
        metrics.add_callback_gauge(
            'http_connections',
            'Open HTTP connections',
            lambda: self.server.open_connections,
        )
        metrics.add_callback_gauge(
            'requests_in_flight',
            'Detached data requests',
            lambda: self.server.in_flight,
        )

    @property
    def address(self) -> str:
        """Return the bound address as host:port."""
        host, port = self.server.bind_addr
        return f'{host}:{port}'

    @property
    def draining(self) -> bool:
        """Return whether the server is draining."""
        return bool(self.server.draining)

    def start(
        self,
        wsgi_apps: Mapping[str, WsgiApp],
        load_pages: Callable[[], WsgiApp] | None = None,
    ) -> None:
        """Serve WSGI applications by path prefix.

        ``load_pages`` returns the application for all other paths; it is
        called when the first request for one arrives. Raises OSError if the
        address cannot be bound.
        """
        self._paths.apps.update(wsgi_apps)
        if load_pages is not None:
            self._paths.apps[''] = LazyApp(load_pages, self._metrics)
        self.server.prepare()
        self._thread.start()

    def _serve(self) -> None:
        try:
            self.server.serve()
        except Exception:
            self._metrics.record_exception('http server')

    def drain(self) -> None:
        """Close every connection after its next response."""
        self.server.draining = True

    def stop(self, grace_s: float = 10.0) -> bool:
        """Wait for the requests in flight, then close all connections.

        Returns whether all requests finished within ``grace_s``. Must not be
        called on the engine's loop, because the requests still run there. A
        request that arrives on an idle connection while it is being closed
        gets no response, so call drain() first and give the load balancer
        time to notice.
        """
        if self._stopped.is_set():
            return True
        self._stopped.set()
        self.drain()
        self.server.close_listener()
        finished = self._wait_until_idle(time.monotonic() + grace_s)
        self.server.stop()
        return finished

    def _wait_until_idle(self, deadline: float) -> bool:
        # A single check can miss a connection that a worker thread has just
        # taken from the queue but not yet stored as its current one, so two
        # idle checks in a row are required.
        idle_checks = 0
        while idle_checks < 2:
            idle_checks = (
                0 if self.server.has_unfinished_work() else idle_checks + 1
            )
            if time.monotonic() >= deadline:
                return False
            time.sleep(_IDLE_POLL_S)
        return True
