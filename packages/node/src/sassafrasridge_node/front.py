"""The HTTP front: ports to the engine and the server's life cycle."""

import abc
import asyncio
import atexit
from collections.abc import Callable
from collections.abc import Mapping
import threading
import time
import typing

import cherrypy

from sassafrasridge_core import model
from sassafrasridge_node import httpserver
from sassafrasridge_node import metrics as metrics_

Json = typing.Any

_POLL_S = 0.01


class DataRequest:
    """Hold a caller's request that passed all checks of form.

    ``kind`` is statements, begin, in, commit or rollback; ``service`` or
    ``route`` is set, never both; ``transaction`` is set for the last three
    kinds. ``consistency`` is primary, session or age, with ``max_age_s`` for
    age. ``key_digest`` is the SHA-256 hex digest of the key, or None without
    one; the key itself goes no further than the parser. ``digest`` is the
    digest of what a repeated request must have in common with the first one.
    ``received_at`` and ``deadline`` are seconds of ``clocks.boottime``.
    """

    __slots__ = (
        'kind',
        'service',
        'route',
        'transaction',
        'statements',
        'access',
        'consistency',
        'max_age_s',
        'idempotent',
        'key_digest',
        'session',
        'request_id',
        'digest',
        'received_at',
        'deadline',
        'client_closed',
    )

    def __init__(
        self,
        kind: str,
        *,
        service: str | None = None,
        route: str | None = None,
        transaction: str | None = None,
        statements: list[dict[str, Json]] | None = None,
        access: str = 'write',
        consistency: str = 'session',
        max_age_s: float | None = None,
        idempotent: bool = False,
        key_digest: str | None = None,
        session: str | None = None,
        request_id: str | None = None,
        digest: str = '',
        received_at: float = 0.0,
        deadline: float = 0.0,
    ) -> None:
        self.kind = kind
        self.service = service
        self.route = route
        self.transaction = transaction
        self.statements = statements or []
        self.access = access
        self.consistency = consistency
        self.max_age_s = max_age_s
        self.idempotent = idempotent
        self.key_digest = key_digest
        self.session = session
        self.request_id = request_id
        self.digest = digest
        self.received_at = received_at
        self.deadline = deadline
        # Returns whether the client has closed its connection; any thread
        # may call it, and it never waits.
        self.client_closed: Callable[[], bool] = _never


def _never() -> bool:
    return False


class DataReply:
    """Hold the engine's successful result.

    ``body`` is a JSON-able value, encoded by a worker thread, or bytes that
    are JSON already. ``session`` is the new session token.
    """

    __slots__ = ('body', 'session', 'status')

    def __init__(
        self, body: Json, session: str | None = None, status: int = 200
    ) -> None:
        self.body = body
        self.session = session
        self.status = status


class OperatorReply:
    """Hold the result of an operator's command; ``body`` is JSON-able."""

    __slots__ = ('body', 'status', 'retry_after_s')

    def __init__(
        self,
        body: Json,
        status: int = 200,
        retry_after_s: float | None = None,
    ) -> None:
        self.body = body
        self.status = status
        self.retry_after_s = retry_after_s


class DataPort(abc.ABC):
    """The engine as callers' requests see it; used on the engine's loop."""

    @abc.abstractmethod
    async def call(self, req: DataRequest) -> DataReply:
        """Execute a request; raises RidgeError.

        The front never cancels this call, not even when the client closes
        its connection: a write that was sent must be resolved.
        """

    def undelivered(self, req: DataRequest) -> None:  # noqa: B027
        """Learn that the client did not get the response to a request."""


class OperatorPort(abc.ABC):
    """The engine as operators, targets and load balancers see it."""

    @abc.abstractmethod
    async def command(
        self, kind: str, body: dict[str, Json], who: str, address: str
    ) -> OperatorReply:
        """Execute an operator's command on the engine's loop.

        ``kind`` is one of ``operatorapi.COMMANDS``, ``who`` the operator's
        name and ``address`` the address that the request came from. Raises
        RidgeError.
        """

    @abc.abstractmethod
    def announce(self, info: model.TargetInfo) -> None:
        """Take a target's announcement, on the engine's loop."""

    @abc.abstractmethod
    def readiness(self) -> str | None:
        """Return why the process is not ready, or None if it is.

        Any thread may call it. The reason is no_lease while an entry
        process holds none, or another short word.
        """


class FrontConfig:
    """Hold the settings of the HTTP front; times in seconds.

    ``idle_timeout_s`` closes keep-alive connections without a request,
    ``read_timeout_s`` those that sent part of one, ``write_timeout_s`` those
    that take no output. ``max_connections`` bounds the open connections and
    ``max_in_flight`` the detached requests of this process.
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


class Front:
    """Run the HTTP server through CherryPy.

    CherryPy keeps its server and its tree per process, so a process has at
    most one started Front at a time.
    """

    def __init__(
        self,
        cfg: FrontConfig,
        loop: asyncio.AbstractEventLoop,
        metrics: metrics_.Metrics,
    ) -> None:
        self.cfg = cfg
        self._stopped = threading.Event()
        self.server = httpserver.Server(
            (cfg.host, cfg.port),
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
        metrics.watch(
            'http_connections',
            'Open HTTP connections',
            lambda: self.server.open_connections,
        )
        metrics.watch(
            'requests_in_flight',
            'Detached data requests',
            lambda: self.server.in_flight,
        )

    @property
    def address(self) -> str:
        """Return host:port as bound."""
        host, port = self.server.bind_addr
        return f'{host}:{port}'

    @property
    def draining(self) -> bool:
        """Return whether drain() was called."""
        return bool(self.server.draining)

    def start(
        self,
        grafts: Mapping[str, Callable[..., typing.Any]],
        root: object | None = None,
        root_config: dict[str, typing.Any] | None = None,
    ) -> None:
        """Serve WSGI callables by path prefix, and CherryPy handlers."""
        cherrypy.config.update(
            {
                'engine.autoreload.on': False,
                'checker.on': False,
                'log.screen': False,
                'log.access_file': '',
                'log.error_file': '',
                # CherryPy would log the headers of failed requests, and
                # with them operators' tokens.
                'tools.log_headers.on': False,
                'tools.log_tracebacks.on': False,
            }
        )
        for path, app in grafts.items():
            cherrypy.tree.graft(app, path)
        if root is not None:
            cherrypy.tree.mount(root, '', root_config)
        cherrypy.server.httpserver = self.server
        # Without an address CherryPy does not probe the port, which would
        # fail when SO_REUSEPORT shares it between processes.
        cherrypy.server.bind_addr = None
        cherrypy.server.subscribe()
        cherrypy.engine.start()

    def drain(self) -> None:
        """Let every connection close with its next response."""
        self.server.draining = True

    def stop(self, grace_s: float = 10.0) -> bool:
        """Finish the requests in flight, then close everything.

        Returns whether all of them finished within ``grace_s``. It must not
        be called on the engine's loop, which the requests still need. A
        request that an idle connection sends at the moment of closing gets
        no response, so call drain() and give the load balancer time first.
        """
        if self._stopped.is_set():
            return True
        self._stopped.set()
        self.drain()
        self.server.close_listener()
        finished = self._wait_until_idle(time.monotonic() + grace_s)
        cherrypy.engine.stop()
        cherrypy.server.unsubscribe()
        cherrypy.server.httpserver = None
        cherrypy.tree.apps.clear()
        # Else the bus warns at exit that nobody called its block().
        atexit.unregister(cherrypy.engine._clean_exit)
        return finished

    def _wait_until_idle(self, end: float) -> bool:
        # One look can miss a connection that a worker has just taken from
        # the queue and not yet noted as its own; two in a row can't.
        idle = 0
        while idle < 2:
            idle = 0 if self.server.busy() else idle + 1
            if time.monotonic() >= end:
                return False
            time.sleep(_POLL_S)
        return True
