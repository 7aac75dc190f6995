"""A running process: threads, signals, start and stop."""

from __future__ import annotations

import asyncio
import concurrent.futures
import gc
import signal
import sys
import threading
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import operators
from sassafrasridge_node import settings
from sassafrasridge_node import startup

if typing.TYPE_CHECKING:
    from sassafrasridge_node import front
    from sassafrasridge_node import main

ANNOUNCE_PATH = '/v1/announce'
# Limit on how long an entry process keeps its log lines while it waits for
# its first lease. Control has a leader again 0.8 s after a loss of power.
LOG_DELAY_S = 1.0
# Shortest time that HTTP requests in flight get at the end of a stop.
MIN_FRONT_STOP_S = 0.1


class Process:
    """Run a daemon with the engine's loop and HTTP in separate threads."""

    def __init__(
        self,
        daemon: main.Daemon,
        path: str,
        http_connections: int,
        imported: startup.Point,
    ) -> None:
        self.cfg = daemon.cfg
        self._settings_path = path
        self.daemon = daemon
        self._http_connections = http_connections
        self._imported = imported
        self._listening = imported
        self._thread = threading.Thread(
            target=self._run_loop, name='engine', daemon=True
        )
        self._front: front.Front

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self.daemon.loop)
        self.daemon.loop.run_forever()

    def _run_on_loop(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> typing.Any:
        return self._submit(coroutine).result()

    def _submit(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> typing.Any:
        """Run a coroutine on the engine's loop; return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.daemon.loop)

    def run(self) -> int:
        """Serve until stopped by a signal or command; return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self._thread.start()
        self._run_on_loop(self.daemon.start())
        self._listening = startup.Point()
        # From here on the engine requests the first lease and accepts
        # sessions, while this thread imports the HTTP server.
        self._start_front()
        self._report_ready()
        # Objects of the start live on, so collections need not visit them.
        gc.freeze()
        gc.enable()
        self._await_first_lease()
        logs.load()
        self.daemon.stop_requested.wait()
        return self._stop()

    def _await_first_lease(self) -> None:
        """Wait until an entry process serves, for a limited time."""
        if self.daemon.state is None:
            return
        configured = self.daemon.state.configured
        fut = self._submit(asyncio.wait_for(configured.wait(), LOG_DELAY_S))
        concurrent.futures.wait([fut])

    def _start_front(self) -> None:
        from sassafrasridge_node import front

        daemon = self.daemon
        host, http_port = settings.split_address(self.cfg.node.http)
        cfg = front.FrontConfig(host, http_port)
        if self.cfg.entry is not None:
            cfg.threads = self.cfg.entry.worker_threads
            cfg.max_connections = self._http_connections
            cfg.max_body = self.cfg.entry.max_body
        self._front = front.Front(cfg, daemon.loop, daemon.metrics)
        port = operators.Operators(
            daemon._client_pools[0],
            daemon.control_addresses(),
            daemon.state,
            daemon.member,
            daemon.drain,
            self.cfg.node.name,
        )
        wsgi_apps: dict[str, typing.Any] = {
            ANNOUNCE_PATH: front.LazyApp(
                lambda: self._announcements(port), daemon.metrics
            )
        }
        platform = daemon.platform
        if platform is not None and daemon.state is not None:
            wsgi_apps |= platform.entry_wsgi_apps(port.readiness)
        if platform is not None and daemon.member is not None:
            wsgi_apps |= platform.control_wsgi_apps(
                daemon.member, self._submit
            )
        if daemon.gateway is not None:
            from sassafrasridge_node import dataapi

            data = dataapi.DataApi(daemon.gateway, daemon.metrics)
            wsgi_apps['/v1/services'] = data.services
            wsgi_apps['/v1/routes'] = data.routes
        self._front.start(wsgi_apps, lambda: self._operator_pages(port))

    def _announcements(self, port: operators.Operators) -> typing.Any:
        """Return the application that takes the announcements of targets."""
        from sassafrasridge_node import operatorapi

        digest = self.cfg.targets.announce_token_digest
        return operatorapi.AnnounceApi(
            port,
            self.daemon.loop,
            self.daemon.metrics,
            {'target': digest} if digest else None,
        )

    def _operator_pages(self, port: operators.Operators) -> typing.Any:
        """Return the application that serves operators and metrics."""
        from sassafrasridge_node import operatorapi

        api = operatorapi.OperatorApi(
            port,
            self.daemon.loop,
            self.daemon.metrics,
            self.cfg.operators,
            lambda: self._front.draining,
        )
        return api.app()

    def _report_ready(self) -> None:
        line = {'http': self._front.address, 'rpc': self.daemon.rpc.address}
        sys.stdout.write(orjson.dumps(line).decode() + '\n')
        sys.stdout.flush()
        phases = startup.phases(self._imported, self._listening)
        if self.cfg.entry is not None:
            phases['max_connections'] = self.cfg.entry.max_connections
        logs.log_event('started', **line, **phases)

    def _on_reload_signal(self, number: int, frame: object) -> None:
        self.daemon.loop.call_soon_threadsafe(self._reload)

    def _reload(self) -> None:
        """Reload the settings file and apply what can change at run time."""
        try:
            cfg = settings.load(self._settings_path)
        except errors.RidgeError as exc:
            logs.log_event('reload_refused', reason=exc.render())
            return
        self.daemon.reload(cfg)

    def _on_stop_signal(self, number: int, frame: object) -> None:
        self.daemon.loop.call_soon_threadsafe(self.daemon.drain)

    def _stop(self) -> int:
        timeout_s = 1.0
        if self.cfg.entry is not None:
            timeout_s = self.cfg.entry.drain_timeout
        self._front.drain()
        self._run_on_loop(self.daemon.finish_transactions(timeout_s))
        remaining_s = self.daemon.stop_deadline(timeout_s) - clocks.boottime()
        finished = self._front.stop(max(MIN_FRONT_STOP_S, remaining_s))
        self._run_on_loop(self.daemon.stop())
        logs.log_event('stopped', finished=finished)
        return 0 if finished else 1
