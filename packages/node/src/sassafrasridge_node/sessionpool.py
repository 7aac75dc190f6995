"""Pools of target connections, each owned by one client account."""

import abc
import asyncio
import functools
import math
import typing

from sassafrasridge_core import directory
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_core import slots
from sassafrasridge_core import statements
from sassafrasridge_core import targetcapacity
from sassafrasridge_node import accountpool
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import coldtargets
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionturns
from sassafrasridge_node import targetcommands
from sassafrasridge_node import targetload

Command = targetcommands.Command
Reset = targetcommands.Reset
SetValue = targetcommands.SetValue
Prepare = targetcommands.Prepare
Begin = targetcommands.Begin
Rollback = targetcommands.Rollback
Forward = targetcommands.Forward

# A target opens a connection within a round trip and about 30 ms.
OPEN_TIMEOUT_S = 0.5

# One round trip to connect and one to send the account to the target.
ROUND_TRIPS_TO_OPEN = 2

# A primary that has not answered anything for this long is asked for its
# status.
PROBE_INTERVAL_S = 0.5

# Longer than the longest round trip, shorter than the probe interval.
STATUS_TIMEOUT_S = 0.4

# A primary that leaves a write unanswered for this long counts as silent. A
# commit takes two round trips between regions.
WRITE_SILENT_AFTER_S = 0.7

# Period for which a target that rejected a statement as busy is avoided.
BUSY_AVOID_S = 0.05

# Period for which no connection is opened to a target that has reached its
# connection limit. Connections of lost VMs end within 3 s, one by one.
FULL_BACKOFF_S = 0.5

# Period after that for which connections to the target are added one at a
# time: a multiple of the time in which connections of lost VMs end.
FULL_CAUTION_S = 5.0

# Period for which a replica that had not reached a required log position is
# avoided: a multiple of the usual replication delay.
BEHIND_AVOID_S = 0.15

# Period after its last use for which an account's connection is likely to be
# used again.
ACCOUNT_ACTIVE_WINDOW_S = 5.0

STATEMENT_STALL_S = sessionturns.STATEMENT_STALL_S

# Round-trip time assumed before the first connection to a target.
DEFAULT_RTT_S = 0.05


class TargetAnswer:
    """Hold a target's answer to the last command of a batch.

    ``failed_setup`` tells whether an earlier command of the batch failed.
    """

    __slots__ = (
        'result_code',
        'rows',
        'signature',
        'detail',
        'state',
        'position',
        'failed_setup',
    )

    def __init__(
        self,
        result_code: statements.ResultCode,
        rows: list[str],
        signature: str,
        detail: str,
        state: statements.TransactionState,
        position: model.Position | None,
        failed_setup: bool = False,
    ) -> None:
        self.result_code = result_code
        self.rows = rows
        self.signature = signature
        self.detail = detail
        self.state = state
        self.position = position
        self.failed_setup = failed_setup


class SessionConnection(abc.ABC):
    """Own one connection to a target for one client account.

    ``values`` and ``prepared`` mirror the session values and the names of
    prepared statements that the target holds for the connection.
    ``answer_pending`` is true while an answer is outstanding. ``position`` is
    the end of the log that statements at the target see, and ``received`` the
    end of the log that it has received, as of its last status if known.
    """

    def __init__(self, account: str) -> None:
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.used_at = self.opened_at = clocks.boottime()
        self.rtt_s = DEFAULT_RTT_S
        self.closed = False
        self.position: model.Position | None = None
        self.received: model.Position | None = None
        self.answer_pending = False
        # Set if the target closed the connection.
        self.broke = False
        self.on_close: typing.Callable[[], None] = lambda: None

    @abc.abstractmethod
    async def run(
        self, commands: typing.Sequence[Command], timeout_s: float
    ) -> TargetAnswer:
        """Send commands in one batch and return the answer to the last.

        Raises ConnectionLostError after closing the connection.
        """

    @abc.abstractmethod
    async def status(self, timeout_s: float) -> bool:
        """Ask for the target's status; return whether it answered."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionDialer(abc.ABC):
    """Define how connections to targets are opened."""

    @abc.abstractmethod
    async def open(
        self, info: model.TargetInfo, account: str, timeout_s: float
    ) -> SessionConnection:
        """Open a connection.

        Raises ConnectionLostError or TargetRefusedError.
        """


class TargetRefusedError(Exception):
    """Report that a target answered and refused a connection."""

    def __init__(self, result_code: statements.ResultCode) -> None:
        super().__init__(result_code.value)
        self.result_code = result_code


class SessionBackend(
    coldtargets.RateLimitedBackend, sessionturns.QueuedBackend
):
    """Own one target whose connections each belong to a client account."""

    def __init__(
        self,
        info: model.TargetInfo,
        dialer: SessionDialer,
        counters: metrics.Metrics,
        lease_s: float = slots.LEASE_S,
    ) -> None:
        super().__init__(info, connections.Dialer(), counters, lease_s)
        self._session_dialer = dialer
        self.pool = accountpool.AccountPool()  # type: ignore[assignment]
        self.position: model.Position | None = None
        # Position in the answer to the last probe, if it had one.
        self.probed_position: model.Position | None = None
        # End of the log that the target had received at its last status.
        self.received: model.Position | None = None
        # Whether the target didn't answer the last request for it.
        self.status_failed = False
        # Set if the limit of statements is learned.
        self.load: targetload.TargetLoad | None = None
        self.avoid_until = float('-inf')
        self.rtt_s = DEFAULT_RTT_S
        self._pending_writes: dict[object, float] = {}
        self._in_use: set[SessionConnection] = set()
        self._account_used_at: dict[str, float] = {}
        self._reachable = True
        # First refused connection since the last answer, if it is later.
        self._refused_at = float('-inf')
        # When the primary was found to lack positions that it had reported.
        self.lost_log_at = -math.inf
        self.status_due = False
        self.serving = True
        self._full_until = float('-inf')
        self.is_primary: typing.Callable[[], bool] = lambda: False
        self.probe_account: typing.Callable[[], str] = str
        # Returns the connection limit of the target, 0 if unknown.
        self.connection_budget: typing.Callable[[], int] = int

    # State of the target.

    def apply_announcement(self, info: model.TargetInfo) -> None:
        """Record the target information that control reported."""
        self.info = info
        self.role = info.role

    def silent(self, now: float) -> bool:
        """Return whether the target has been silent for unusually long."""
        return (
            now - self.last_progress_at() > PROBE_INTERVAL_S + STATUS_TIMEOUT_S
        )

    def refused_s(self, now: float) -> float:
        """Return for how many seconds connections have been refused.

        Returns 0 if none was refused since the last answer.
        """
        if self._refused_at <= self.success_at:
            return 0.0
        return now - self._refused_at

    def _record_refused(self) -> None:
        """Record that nothing listens at the target's address."""
        if self._refused_at <= self.success_at:
            self._refused_at = clocks.boottime()

    def info_to_report(self) -> model.TargetInfo:
        """Return the target's identity for control.

        Control gets the rest from the target itself.
        """
        return model.TargetInfo(
            self.info.server, self.info.group, '', '', '', 0, 0, 0, 0
        )

    def demand(self) -> float:
        """Return the number of connections that this process can use.

        A connection serves one account only, so each recently active account
        needs one. The statements in flight count if they are more, and the
        waiting ones in addition. Those of the most urgent class count double,
        so that connections move to where urgent work waits.
        """
        since = clocks.boottime() - ACCOUNT_ACTIVE_WINDOW_S
        self._account_used_at = {
            a: t for a, t in self._account_used_at.items() if t > since
        }
        waiting = len(self.queue)
        if isinstance(self.queue, scheduling.PriorityQueue):
            waiting += self.queue.urgent_waiting()
        in_flight = self.in_flight + self._turns.urgent()
        return float(max(len(self._account_used_at), in_flight) + waiting)

    def leaving(self, now: float) -> bool:
        """Return whether the target accepts no new work."""
        return self.info.leaving

    def answered(self, position: model.Position | None) -> None:
        """Record that the target answered, with its log position if given."""
        self.success_at = clocks.boottime()
        if position is not None:
            self.position = position

    def has_received(self, position: model.Position) -> bool:
        """Return whether the target told that it has received a position.

        The log of another term may lack it.
        """
        return any(
            known is not None
            and known.term == position.term
            and known >= position
            for known in (self.received, self.position)
        )

    def write_started(self, token: object) -> None:
        """Record a write that was sent and awaits its answer."""
        self._pending_writes[token] = clocks.boottime()

    def write_ended(self, token: object) -> None:
        """Record that a write no longer awaits an answer."""
        self._pending_writes.pop(token, None)

    def last_progress_at(self) -> float:
        """Return the time at which the target was last known to work.

        A primary that answers reads but not writes can't reach its replicas,
        so its oldest unanswered write counts. One that has lost its log does
        not work either.
        """
        now = clocks.boottime()
        oldest_write_at = min(self._pending_writes.values(), default=now)
        if now - oldest_write_at <= WRITE_SILENT_AFTER_S:
            oldest_write_at = now
        progress_at = min(oldest_write_at, self.success_at)
        if self.has_lost_log(now):
            progress_at = min(progress_at, self.lost_log_at)
        return progress_at

    def has_lost_log(self, now: float) -> bool:
        """Return whether a primary lacks what it reported before.

        It is used again if no replica can replace it within the time for
        which control waits for acknowledged commits.
        """
        return now < self.lost_log_at + directory.EXPIRE_AFTER_S

    def avoid(self, seconds: float) -> None:
        """Prefer other targets for the given number of seconds."""
        self.avoid_until = clocks.boottime() + seconds

    # Connections.

    def refresh_limits(self, now: float) -> None:
        """Apply the current limits.

        Once this process neither serves the group nor has statements in
        flight, an expired grant leaves no connections.
        """
        if not self.serving and self.in_flight == 0:
            self._had_grant = False
        super().refresh_limits(now)
        if len(self.queue):
            self._dispatch_waiting()

    def is_full(self, now: float) -> bool:
        """Return whether the target recently reported too many connections."""
        return now < self._full_until

    async def acquire(
        self,
        account: str,
        work: scheduling.Work,
        deadline: float,
        values: dict[str, str],
    ) -> SessionConnection:
        """Return a connection of the account, opening one if necessary.

        Waits while this process has as many statements at the target as it
        may. Raises UnavailableError (nothing was run), UnreachableError,
        TargetRefusedError, or ReplacedError if the work needs the primary
        and the target is not the primary any more.
        """
        self.require_rate(deadline)
        conn = None
        if self._may_start(work):
            self._turns.begin(work)
            conn = await self._take_or_open(account, work, deadline, values)
        while conn is None:
            await self._wait_for_turn(account, work, deadline)
            conn = await self._take_or_open(account, work, deadline, values)
        self._in_use.add(conn)
        self._turns.add(conn, work)
        self.in_flight = len(self._in_use)
        try:
            # A drain or a change of primary fails only queued statements.
            check = functools.partial(self.require_usable, work.needs_primary)
            check()
            await self.wait_for_rate(deadline, check)
        except BaseException:
            self.release(conn, clean=True)
            raise
        now = self._running[conn] = clocks.boottime()
        self._account_used_at[account] = now
        if len(self.queue):
            self._dispatch_waiting()
        return conn

    async def _take_or_open(
        self,
        account: str,
        work: scheduling.Work,
        deadline: float,
        values: dict[str, str],
    ) -> SessionConnection | None:
        """Return a connection, or None if the work has to wait for one.

        Ends the turn of the work.
        """
        try:
            conn = self.pool.take(account, values)
            if conn is not None:
                return conn
            now = clocks.boottime()
            if self.is_full(now) and not self.pool.held:
                raise TargetRefusedError(
                    statements.ResultCode.TOO_MANY_CONNECTIONS
                )
            if self._room(now) <= 0 and not self.pool.evict():
                return None
            return await self._open(account, deadline)
        finally:
            self._turns.end(work)

    def statement_limit(self) -> int:
        """Return how many statements this process may have at the target."""
        limit = slots.statement_limit(
            self.info.slots, self.connection_budget(), self.pool.limit
        )
        return limit if self.load is None else self.load.limit(limit)

    def _free_statements(self) -> int:
        """Return how many more statements may be sent to the target now."""
        stalled_since = clocks.boottime() - self._stall_s()
        running = sum(at > stalled_since for at in self._running.values())
        limit = self.statement_limit()
        return limit - running - self.pool.opening - self._admitted

    def _stall_s(self) -> float:
        if self.load is None:
            return super()._stall_s()
        return self.load.stall_s()

    def _room(self, now: float) -> int:
        """Return how many connections may be added now, none if not above 0.

        With learned limits, connections to a target that was full recently
        are added one at a time. Replacing an idle one adds none.
        """
        if self.is_full(now):
            return 0
        room = self.pool.limit - self.pool.held
        if self.load is None or now > self._full_until + FULL_CAUTION_S:
            return room
        return min(room, max(0, 1 - self.pool.opening))

    def statement_started(
        self,
        conn: SessionConnection,
        kind: targetcapacity.Kind | None = None,
    ) -> None:
        """Record that a statement is sent on a connection in use."""
        self._running[conn] = clocks.boottime()
        if self.load is not None and kind is not None:
            self.load.started(conn, kind, conn.rtt_s)

    def statement_ended(
        self,
        conn: SessionConnection,
        result_code: statements.ResultCode | None = None,
    ) -> None:
        """Record an answer or failure; let a waiting statement go on.

        ``result_code`` is None if the statement was given up or not sent.
        """
        self._running.pop(conn, None)
        if self.load is not None:
            self.load.ended(conn, result_code)
        self._dispatch_waiting()

    def _cancel_wait(self, fut: asyncio.Future[typing.Any]) -> None:
        super()._cancel_wait(fut)
        self._dispatch_waiting()

    async def _open(self, account: str, deadline: float) -> SessionConnection:
        if self.drained:
            raise backends.UnreachableError(backends.DRAINED_REASON)
        remaining_s = deadline - clocks.boottime()
        if (
            remaining_s < ROUND_TRIPS_TO_OPEN * self.rtt_s
            and self.pool.connections
        ):
            raise backends.refusal_error(model.DEADLINE)
        started = clocks.boottime()
        self.pool.opening += 1
        opened = False
        try:
            conn = await self._session_dialer.open(
                self.info,
                account,
                min(OPEN_TIMEOUT_S, max(0.001, remaining_s)),
            )
            opened = True
        except connections.ConnectionLostError as exc:
            if remaining_s < OPEN_TIMEOUT_S and clocks.boottime() >= deadline:
                # The caller's deadline was shorter than the usual timeout, so
                # this is no evidence against the target.
                raise backends.refusal_error(model.DEADLINE)
            self.circuit.failure(clocks.boottime())
            if self.load is not None:
                # Waiting for one attempt after the other would take longer
                # than the statements have.
                self._full_until = float('-inf')
            self._metrics.connection_failures.inc()
            if exc.refused:
                self._record_refused()
            self._set_reachable(False, str(exc))
            reason = str(exc)
            if not self.pool.connections:
                # The waiting statements may be served elsewhere, or wait for
                # another primary.
                sessionturns.fail_tickets(
                    self.queue.cancel(lambda _: True),
                    lambda: backends.UnreachableError(reason),
                )
            raise backends.UnreachableError(reason)
        except TargetRefusedError as exc:
            if exc.result_code is statements.ResultCode.TOO_MANY_CONNECTIONS:
                self._mark_full(started)
            raise
        finally:
            self.pool.opening -= 1
            if not opened:
                self._dispatch_waiting()
        # The caller dispatches once the connection counts as in use or idle;
        # until then, its place would be given to another statement.
        self.pool.connections.add(conn)
        self._set_reachable(True)
        self.rtt_s = conn.rtt_s
        self.cold.connected(clocks.boottime())
        conn.on_close = lambda: self._connection_closed(conn)
        self.success_at = clocks.boottime()
        self._metrics.connections_opened.inc()
        return conn

    def _connection_closed(self, conn: SessionConnection) -> None:
        self.pool.discard(conn)
        if conn.broke:
            self.connection_broke(c.opened_at for c in self.pool.connections)

    def _mark_full(self, started: float) -> None:
        now = clocks.boottime()
        if not self.is_full(now):
            logs.log_event(
                'target_full',
                server=self.info.server,
                held=self.pool.held,
                limit=self.pool.limit,
            )
        self._full_until = now + FULL_BACKOFF_S
        if self.load is not None:
            self.load.rejected(started)

    def _set_reachable(self, reachable: bool, reason: str = '') -> None:
        """Record whether connections can be opened, and log a change."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        logs.log_event(
            'target_regained' if reachable else 'target_lost',
            server=self.info.server,
            group=self.info.group,
            address=self.info.address,
            last_answer_age_s=round(clocks.boottime() - self.success_at, 3),
            reason=reason,
        )

    def release(  # type: ignore[override]
        self, conn: SessionConnection, *, clean: bool
    ) -> None:
        """Return a connection to the pool; repeated calls have no effect."""
        if conn not in self._in_use:
            return
        self._in_use.discard(conn)
        self._running.pop(conn, None)
        self._turns.remove(conn)
        self.in_flight = len(self._in_use)
        if clean:
            self.pool.give_back(conn)
        else:
            self.pool.discard(conn)
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        now = clocks.boottime()
        self.refuse_expired(now)
        available = self.pool.idle + self._room(now)
        free = self._free_statements()
        available = min(available - self._admitted, free)
        free_lower = self._free_lower(free)
        while available > 0 and len(self.queue):
            ticket = self._next_turn(now, free_lower <= 0)
            if ticket is None:
                return
            ticket.fut.set_result(ticket.work)
            self._turns.begin(ticket.work)
            self._admitted += 1
            available -= 1
            free_lower -= not ticket.work.urgent

    # Probes.

    async def probe(self) -> bool:
        """Ask a primary that was silent for its status.

        Returns whether it answered; False if no probe was due.
        """
        self.pool.shrink()
        now = clocks.boottime()
        if self._probing or not self.is_primary():
            return False
        if now - self.success_at < PROBE_INTERVAL_S:
            return False
        self._probing = True
        try:
            return await self._probe_status()
        finally:
            self._probing = False

    async def request_received(self) -> model.Position | None:
        """Ask a replica for the end of the log that it has received.

        Returns None if it doesn't answer, or if all connections are in use.
        """
        if not self.pool.idle and self._room(clocks.boottime()) <= 0:
            return None
        answered = await self._probe_status()
        self.status_failed = not answered
        return self.received if answered else None

    async def _probe_status(self) -> bool:
        conn = self.pool.take_newest_idle()
        try:
            if conn is None:
                conn = await self._open(
                    self.probe_account(), clocks.boottime() + PROBE_INTERVAL_S
                )
                self._dispatch_waiting()
            answered = await conn.status(STATUS_TIMEOUT_S)
        except (
            connections.ConnectionLostError,
            backends.UnreachableError,
            TargetRefusedError,
            errors.UnavailableError,
        ):
            answered = False
        if conn is not None:
            if answered:
                self.probed_position = conn.position
                self.received = conn.received
                self.answered(conn.position)
                self.circuit.success(self.success_at)
            # Closes a connection that was lost; a refusal leaves it usable.
            self.pool.give_back(conn)
            self._dispatch_waiting()
        return answered
