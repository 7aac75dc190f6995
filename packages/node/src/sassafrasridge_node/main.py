"""Entry point of the daemon, which creates and connects its components.

Modules that only one role needs are imported where that role is created: an
entry process has to serve soon after a loss of power, on a part of a core.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import secrets
import sys
import threading
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import state as core_state
from sassafrasridge_node import charging
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import extension
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import process
from sassafrasridge_node import relayedsessions
from sassafrasridge_node import renewal
from sassafrasridge_node import rpc
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionstate
from sassafrasridge_node import settings
from sassafrasridge_node import startup
from sassafrasridge_node import stopping
from sassafrasridge_node import targetload

if typing.TYPE_CHECKING:
    from sassafrasridge_core import raft
    from sassafrasridge_node import control
    from sassafrasridge_node import gateway
    from sassafrasridge_node import leadership
    from sassafrasridge_node import storage

ANY_ADDRESS = '0.0.0.0'  # noqa: S104
# Time for the load balancer to notice that the process is not ready, before
# its listener closes.
READINESS_PROPAGATION_S = 1.0
# Allocation policy for shares of client accounts' rates, by the setting.
SHARE_POLICIES = {'adaptive': 'demand', 'plain': 'static'}
# Missing heartbeats before an election, and before entries are resent.
ELECTION_MIN_HEARTBEATS = 5
ELECTION_MAX_HEARTBEATS = 10
RESEND_HEARTBEATS = 3


def raft_config(heartbeat_s: float) -> raft.RaftConfig:
    """Return the Raft time-outs for a heartbeat interval in seconds."""
    from sassafrasridge_core import raft

    return raft.RaftConfig(
        heartbeat_s=heartbeat_s,
        election_min_s=heartbeat_s * ELECTION_MIN_HEARTBEATS,
        election_max_s=heartbeat_s * ELECTION_MAX_HEARTBEATS,
        resend_s=heartbeat_s * RESEND_HEARTBEATS,
    )


class RpcHandler:
    """Serve calls from other daemons, for the control and entry roles.

    Only the methods of the roles that this process has are defined.
    """

    def __init__(
        self,
        member: control.ControlMember | None,
        data: gateway.Gateway | None,
        relayed_sessions: relayedsessions.RelayedSessions | None = None,
        admitter: charging.SharedAdmitter | None = None,
    ) -> None:
        if member is not None:
            self.renew = member.renew
            self.renew_batch = member.renew_batch
            self.log_message = member.log_message
            self.command = member.command
        if data is not None:
            self.relay = data.relay
        if relayed_sessions is not None:
            self.relay = relayed_sessions.relay
        if admitter is not None:
            self.charge = admitter.serve_charge


class Daemon:
    """Own the components of a process and manage their life cycle."""

    def __init__(
        self,
        cfg: settings.Settings,
        platform: extension.Platform | None = None,
    ) -> None:
        self.cfg = cfg
        self.platform = platform
        self.service: sessionfront.SessionService | None = None
        self._session_server: extension.SessionServer | None = None
        self._relayed_sessions: relayedsessions.RelayedSessions | None = None
        self._admitter: charging.SharedAdmitter | None = None
        self.metrics = metrics.Metrics()
        self.metrics.register(rpc.MALFORMED_FRAMES)
        self.loop = asyncio.new_event_loop()
        self.stop_requested = threading.Event()
        self._rng = random.Random()  # noqa: S311
        self._lease_times = leases.LeaseTimes(
            cfg.timing.renew_interval, cfg.timing.lease, cfg.timing.config_ttl
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._client_pools: list[rpc.ClientPool] = []
        self.member: control.ControlMember | None = None
        self.state: entry.EntryState | None = None
        self.gateway: gateway.Gateway | None = None
        self.renewer: renewal.LeaseRenewer | None = None
        self._storage: storage.Storage | None = None
        self._dialer = connections.Dialer()
        # When a planned stop was requested, 0 before that.
        self._drain_started = 0.0

    # Start, on the engine's loop.

    async def start(self) -> None:
        """Create the components and start their tasks."""
        secret = self.cfg.node.cluster_secret
        source = self.source_address()
        self._dialer = connections.Dialer(source)
        control_pool = rpc.ClientPool(rpc.idl.Control, secret, source)
        entry_pool = rpc.ClientPool(rpc.idl.Entry, secret, source)
        self._client_pools = [control_pool, entry_pool]
        if self.cfg.control is not None:
            self._start_control_member(control_pool)
        if self.cfg.entry is not None and self.platform is not None:
            self._create_session_state(self.platform, source, entry_pool)
        elif self.cfg.entry is not None:
            self.state = entry.EntryState(
                self.cfg.node.name,
                self.cfg.node.zone,
                self._lease_times,
                self._dialer,
                self.metrics,
                plain=self.cfg.entry.policy == 'plain',
                max_queue=self.cfg.entry.max_queue,
                max_wait_s=self.cfg.entry.max_wait,
            )
            from sassafrasridge_node import gateway

            self.gateway = gateway.Gateway(self.state, entry_pool, self._rng)
        await self._serve_rpc(secret)
        if self.member is not None:
            self.member.rpc_address = self.rpc_address()
        self._start_entry(control_pool)
        if self.service is not None and self._session_server is not None:
            self._start_task(self.service.run())
            cfg = self.cfg.entry
            await self._session_server.start(
                self.service, cfg.sessions, cfg.max_connections
            )

    def _create_session_state(
        self,
        platform: extension.Platform,
        source: str,
        entry_pool: rpc.ClientPool,
    ) -> None:
        cfg = self.cfg.entry
        state = sessionstate.SessionEntryState(
            self.cfg.node.name,
            self.cfg.node.zone,
            self._lease_times,
            self._dialer,
            self.metrics,
            max_queue=cfg.max_queue,
            max_wait_s=cfg.max_wait,
            learned_limits=cfg.target_limits == 'learned',
        )
        state.dialer = platform.dialer(source)
        if state.learned_limits:
            self._start_task(state.loop_delay.run())
            for gauge in targetload.target_gauges(state.measured_targets):
                self.metrics.register(gauge)
        self.state = state
        self._admitter = charging.SharedAdmitter(state, entry_pool)
        self.service = sessionfront.SessionService(
            state,
            self.metrics,
            self._rng,
            self._admitter,
            sessionrelay.StatementRelay(state, entry_pool, self._rng),
        )
        self._relayed_sessions = relayedsessions.RelayedSessions(self.service)
        self._session_server = platform.sessions()

    def rpc_address(self) -> str:
        """Return the address at which other daemons reach this process."""
        return self.cfg.node.advertise_rpc or self.rpc.address

    def source_address(self) -> str:
        """Return the local address of outgoing connections, or '' for any."""
        host, _ = settings.split_address(self.cfg.node.rpc)
        return '' if host == ANY_ADDRESS else host

    async def _serve_rpc(self, secret: bytes) -> None:
        handler = RpcHandler(
            self.member, self.gateway, self._relayed_sessions, self._admitter
        )
        self.rpc = rpc.Server(rpc.idl.Daemon, handler, secret)
        host, port = settings.split_address(self.cfg.node.rpc)
        await self.rpc.start(host, port)

    def _start_control_member(self, pool: rpc.ClientPool) -> None:
        from sassafrasridge_node import commands
        from sassafrasridge_node import control
        from sassafrasridge_node import joining

        cfg = self.cfg.control
        if cfg is None:
            return
        name = self.cfg.node.name
        if cfg.seeds:
            name = self.cfg.node.advertise_rpc or self.cfg.node.rpc
        self._storage, log, state = self._open_log(name, cfg)
        peers = {n: a for n, a in cfg.members.items() if n != name}
        create_reconciler = None
        if self.platform is not None:
            create_reconciler = self._failover_factory(self.platform)
        self.member = control.ControlMember(
            name,
            self.cfg.node.zone,
            log,
            self._storage,
            state,
            peers,
            pool,
            self._lease_times,
            self.cfg.timing.suspect_after,
            SHARE_POLICIES[cfg.policy],
            self._dialer,
            self.metrics,
            commands=commands.COMMANDS,
            open_storage=(lambda: self._open_log(name, cfg))
            if cfg.seeds
            else None,
            tolerated=cfg.tolerated if cfg.seeds else None,
            exclusive_names=bool(cfg.seeds) and cfg.exclusive_names,
            create_reconciler=create_reconciler,
        )
        if cfg.seeds:
            self._start_task(
                joining.join(self.member, self._seed_members(cfg.seeds), pool)
            )
        self._start_task(self.member.run())

    def _open_log(
        self, name: str, cfg: settings.ControlSettings
    ) -> tuple[storage.Storage, raft.Raft, core_state.State]:
        """Return the storage, and the log and the state loaded from it.

        Raises StorageError.
        """
        from sassafrasridge_core import raft
        from sassafrasridge_node import storage

        files = storage.Storage(
            self.cfg.node.data_folder, lambda: secrets.token_hex(8)
        )
        try:
            stored = files.load(self._first_members(name, cfg))
            state = core_state.State()
            if stored.snapshot is not None:
                state = core_state.State.decode(stored.snapshot.data)
        except errors.StorageError:
            files.close()
            raise
        log = raft.Raft(
            name,
            files.disk_id,
            stored,
            raft_config(self.cfg.timing.log_heartbeat),
            self._no_vote_since(cfg),
            self._rng,
        )
        return files, log, state

    def _no_vote_since(self, cfg: settings.ControlSettings) -> float:
        """Return since when this member has certainly confirmed no leader.

        With exclusive names, the former process of this member had ended
        before this one started. Counting from then makes an election after a
        restart of all members sooner by the time that the start took.
        """
        if cfg.exclusive_names and self.member is None:
            return clocks.PROCESS_STARTED_AT
        return clocks.boottime()

    def _first_members(
        self, name: str, cfg: settings.ControlSettings
    ) -> dict[str, typing.Any]:
        """Return the initial members of a new deployment.

        Empty if this process does not bootstrap one.
        """
        from sassafrasridge_core import raft

        if not cfg.bootstrap:
            return {}
        members: dict[str, typing.Any] = dict.fromkeys(cfg.members)
        for seed in self._seed_members(cfg.seeds):
            members[seed] = raft.Member(address=seed)
        # A process that is not a seed joins the existing members.
        return members if name in members or not cfg.seeds else {}

    def _failover_factory(
        self, platform: extension.Platform
    ) -> control.ReconcilerFactory:
        from sassafrasridge_node import failover
        from sassafrasridge_node import grouporders

        orders = platform.failover_client(
            self.source_address(), self.cfg.node.name
        )

        def create(
            member: control.ControlMember, current: leadership.Leadership
        ) -> failover.FailoverReconciler:
            return failover.FailoverReconciler(
                member,
                current.detector,
                current.lease_table,
                self.cfg.node.zone,
                self.metrics,
                current.directory,
                grouporders.ConfirmedOrders(
                    orders, lambda: member.is_confirmed_leader(current)
                ),
                current.term,
            )

        return create

    def _seed_members(self, seeds: list[str]) -> list[str]:
        """Return the thrift addresses of seeds; all use the same port."""
        _, port = settings.split_address(self.cfg.node.rpc)
        return [f'{settings.split_address(s)[0]}:{port}' for s in seeds]

    def _start_entry(self, pool: rpc.ClientPool) -> None:
        if self.state is None or self.cfg.entry is None:
            return
        self.state.regions = self.cfg.regions
        self.renewer = renewal.LeaseRenewer(
            self.state,
            pool,
            self.control_addresses(),
            secrets.randbits(62),
            self.rpc_address(),
            bool(self.cfg.entry.seeds),
        )
        self._start_task(self.renewer.run())
        self._start_task(renewal.TargetProber(self.state).run())
        if self.gateway is None:
            return
        from sassafrasridge_node import cleanup

        self._start_task(self.gateway.transactions.run())
        self._start_task(
            cleanup.RequestRecordCleaner(self.state, self.gateway.writer).run()
        )

    def control_addresses(self) -> list[str]:
        """Return the control members' addresses, own zone first."""
        if self.cfg.entry is None:
            return []
        zones = self.cfg.entry.control
        order = sorted(zones, key=lambda zone: zone != self.cfg.node.zone)
        listed = [address for zone in order for address in zones[zone]]
        return listed or self._seed_members(self.cfg.entry.seeds)

    def _start_task(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = self.loop.create_task(coroutine)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # Stop the process: a restart does less harm than a daemon that runs
        # without one of its tasks.
        try:
            task.result()
        except errors.RidgeError as exc:
            logs.log_event('task_failed', reason=exc.render())
        except Exception:
            self.metrics.record_exception('task')
        self.stop_requested.set()

    def reload(self, cfg: settings.Settings) -> None:
        """Apply new control addresses; other settings need a restart."""
        if cfg.entry is not None and self.cfg.entry is not None:
            self.cfg.entry.control = cfg.entry.control
            self.cfg.entry.seeds = cfg.entry.seeds
        if self.renewer is not None:
            self.renewer.choice.fallback = self.control_addresses()
        logs.log_event('reloaded', control=self.control_addresses())

    # Stop, on the engine's loop.

    def drain(self) -> None:
        """Start a planned stop: report not ready, then request the stop."""
        logs.log_event('stopping')
        self._drain_started = self._drain_started or clocks.boottime()
        if self.state is not None:
            self.state.draining = True
        self.loop.call_later(READINESS_PROPAGATION_S, self.stop_requested.set)

    def stop_deadline(self, timeout_s: float) -> float:
        """Return the time by which a stop has to end, from its request on."""
        return (self._drain_started or clocks.boottime()) + timeout_s

    async def finish_transactions(self, timeout_s: float) -> None:
        """Wait for open transactions; roll back those left at the time-out.

        ``timeout_s`` counts from the time at which the stop was requested.
        """
        deadline = self.stop_deadline(timeout_s)
        if self.service is not None and self._session_server is not None:
            await stopping.finish_sessions(
                self.service,
                self._session_server,
                deadline - timeout_s,
                timeout_s,
            )
        if self.gateway is None:
            return
        open_transactions = self.gateway.transactions
        await stopping.wait_while(
            lambda: len(open_transactions),
            deadline - timeout_s * (1 - stopping.CLOSE_SHARE),
        )
        open_transactions.close_all()

    async def stop(self) -> None:
        """Cancel all tasks, release the lease and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.renewer is not None and self.state is not None:
            for backend in self.state.backends.values():
                backend.pool.close()
            await self.renewer.release()
        await self.rpc.stop()
        for pool in self._client_pools:
            pool.close()
        if self._storage is not None:
            self._storage.close()


class _ShowVersion(argparse.Action):
    """Print the version of the package and exit."""

    def __call__(
        self, parser: argparse.ArgumentParser, *_args: object
    ) -> typing.NoReturn:
        import importlib.metadata

        sys.stdout.write(importlib.metadata.version('sassafrasridge-node'))
        sys.stdout.write('\n')
        parser.exit()


def main(argv: list[str] | None = None) -> None:
    """Parse the command line and run the daemon."""
    parser = argparse.ArgumentParser(
        prog='sassafrasridged',
        description='Run one process of the sassafrasridge database proxy.',
        epilog='Example: sassafrasridged --settings /etc/sassafrasridge.ini',
    )
    parser.add_argument('--settings', required=True, help='the INI file')
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    parser.add_argument('--version', action=_ShowVersion, nargs=0)
    args = parser.parse_args(argv)
    run(args.settings, check_only=args.check)


def run(
    path: str,
    platform: extension.Platform | None = None,
    check_only: bool = False,
) -> None:
    """Run the daemon that a settings file describes, then exit.

    With ``check_only`` only check the settings. Errors are written to
    standard error and end the process with the error's exit code.
    """
    imported = startup.Point()
    try:
        cfg = settings.load(path)
        if check_only:
            return
        http_connections = 0
        if cfg.entry is not None:
            http_connections = startup.derive_limits(cfg.entry)
        logs.delay()
        logs.LogSink(
            cfg.log.file or None,
            cfg.log.level,
            node=cfg.node.name,
            zone=cfg.node.zone,
        )
        daemon = Daemon(cfg, platform)
        code = process.Process(daemon, path, http_connections, imported).run()
    except errors.RidgeError as exc:
        logs.drain()
        sys.stderr.write(exc.render() + '\n')
        sys.exit(exc.exit_code)
    except Exception:
        logs.drain()
        raise
    logs.drain()
    sys.stdout.flush()
    os._exit(code)


if __name__ == '__main__':
    main()
