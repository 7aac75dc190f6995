"""Targets as an entry process sees them: pool, queue, circuit, position."""

import asyncio
import typing

from sassafrasridge_core import circuits
from sassafrasridge_core import coverage
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import queueing
from sassafrasridge_core import slots
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import pool

PROBE_TIMEOUT_S = 0.3
"""A probe that takes longer counts as failed."""

SPARE_CONNECTIONS = 1
"""Idle connections kept open, so that requests don't wait for opening."""

SILENT_AFTER_S = 0.4
"""Silence of a target that announces itself several times a second."""

PARTITION_LIMIT = slots.Limit(1, 1)
"""What a process without a lease keeps, for reads that need none."""

STALL_S = 0.4
"""A call without an answer for so long raises the question whether its
connection is silent; most statements are far shorter."""

SILENT_S = 1.5
"""A call without an answer for so long is taken as lost when a new
connection works and no older idle one is there to compare with."""

LEAVING_TTL_S = 3.0
"""An announcement expires; a target may come back after it left."""


class ReplacedError(Exception):
    """Report that the target stopped being primary while a request waited."""


class UnreachableError(Exception):
    """Report that no connection to the target can be opened."""


class Ticket:
    """Stand for a request that waits for a connection.

    ``primary`` tells that it needs the primary.
    """

    __slots__ = ('fut', 'primary')

    def __init__(
        self,
        fut: 'asyncio.Future[connections.TargetConnection]',
        primary: bool,
    ) -> None:
        self.fut = fut
        self.primary = primary


class Backend:
    """Own one target: its pool, its fair queue and what is known of it."""

    def __init__(
        self,
        info: model.TargetInfo,
        dialer: connections.Dialer,
        counters: metrics.Metrics,
        lease_s: float = slots.LEASE_S,
    ) -> None:
        self.info = info
        self._dialer = dialer
        self._metrics = counters
        self.pool = pool.Pool(
            info.address, dialer, self._pump, self._open_failed, counters
        )
        self.queue: queueing.Queue = queueing.FairQueue()
        self.circuit = circuits.Circuit()
        self.coverage = coverage.CoverageHistory()
        self.in_flight = 0
        self.share = slots.ConnectionShare(lease_s)
        self.limit = slots.Limit(0, 0)
        self._had_grant = False
        self.announced_at = float('-inf')
        self.success_at = float('-inf')
        self.role = info.role
        # The term that the server accepts calls for. It is ahead of the term
        # of its log while the server is fenced.
        self.term = info.term
        self.log_term = 0
        # The term is known from a status or an announcement only, and answers
        # to statements keep probes away.
        self.status_due = True
        self.applied = 0
        self._probing = False
        self._checks: set[asyncio.Task[None]] = set()

    async def connection(
        self, account: str, deadline: float, *, primary: bool = False
    ) -> connections.TargetConnection:
        """Wait in the fair queue for a connection and a place in flight.

        Raises UnavailableError, not run, when the queue is full or the
        deadline can't be met, and ReplacedError when ``primary`` is set and
        another target became primary meanwhile.
        """
        now = clocks.boottime()
        fut: asyncio.Future[connections.TargetConnection] = (
            asyncio.get_running_loop().create_future()
        )
        ticket = Ticket(fut, primary)
        refusal = self.queue.push(now, account, ticket, 1.0, deadline)
        if refusal is not None:
            raise refused(refusal)
        self._pump()
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await fut
        except TimeoutError:
            self._abandon(fut)
            raise refused(model.DEADLINE)
        except asyncio.CancelledError:
            self._abandon(fut)
            raise

    def _abandon(
        self, fut: 'asyncio.Future[connections.TargetConnection]'
    ) -> None:
        # The connection may have been handed over in the same step in which
        # the waiting task was cancelled.
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(fut.result(), clean=True)
        else:
            fut.cancel()

    def release(
        self, conn: connections.TargetConnection, *, clean: bool
    ) -> None:
        """Give back a connection and its place in flight."""
        self.in_flight -= 1
        if clean:
            self.pool.give_back(conn)
        else:
            conn.close()
        self._pump()

    def take_grant(self, grant: typing.Any, sent_at: float) -> None:
        """Apply leased limits of connections and statements in flight."""
        now = clocks.boottime()
        if self.share.replace(
            now,
            sent_at,
            grant.base,
            grant.version,
            grant.connections,
            grant.in_flight,
        ):
            self._had_grant = True
            self.refresh_limits(now)

    def refresh_limits(self, now: float) -> None:
        """Apply the limits in effect now; they lapse with the lease."""
        limit = self.share.limit(now)
        if not limit.connections and self._had_grant:
            limit = PARTITION_LIMIT
        if limit != self.limit:
            self.limit = limit
            self.pool.limit = limit.connections
            self.pool.shrink()
            self._pump()

    def demand(self) -> float:
        """Return the statements in flight or waiting."""
        return float(self.in_flight + len(self.queue))

    def heard_at(self) -> float:
        """Return when the target last answered or announced itself."""
        return max(self.announced_at, self.success_at)

    def working_at(self) -> float:
        """Return when the target last showed that it works."""
        return self.success_at

    def silent(self, now: float) -> bool:
        """Return whether the target was not heard for unusually long."""
        return now - self.heard_at() > SILENT_AFTER_S

    def leaving(self, now: float) -> bool:
        """Return whether the target takes no new work."""
        return self.info.leaving and now - self.heard_at() < LEAVING_TTL_S

    def info_now(self) -> model.TargetInfo:
        """Return the last announcement with what answers told since."""
        info = self.info
        return model.TargetInfo(
            info.server,
            info.group,
            info.zone,
            info.address,
            self.role,
            self.term,
            self.applied,
            info.slots,
            info.connections,
            info.leaving,
        )

    def info_to_report(self) -> model.TargetInfo:
        """Return what control is told of the target."""
        return self.info_now()

    def learn_announcement(self, info: model.TargetInfo) -> None:
        """Record what a target announced of itself."""
        self.announced_at = clocks.boottime()
        self.info = info
        if info.term >= self.term:
            self.term = info.term
            self.role = info.role

    def learn_status(self, body: dict[str, typing.Any]) -> None:
        """Record the body of a status."""
        self.success_at = clocks.boottime()
        self.status_due = False
        self.term = int(body['term'])
        self.role = str(body.get('role', ''))
        self.info.leaving = bool(body.get('leaving', False))
        self._learn_position(int(body['last_term']), int(body['applied']))

    def learn_answer(self, answer: connections.Answer) -> None:
        """Record the position that an answer tells."""
        self.success_at = clocks.boottime()
        if answer.status == 200:
            body = answer.body
            self._learn_position(int(body['term']), int(body['position']))
        elif answer.error_kind == 'wrong_term':
            self.status_due = True

    def _learn_position(self, term: int, applied: int) -> None:
        if term > self.log_term:
            self.log_term, self.applied = term, applied
        elif term == self.log_term:
            self.applied = max(self.applied, applied)

    def _open_failed(self) -> None:
        now = clocks.boottime()
        self.circuit.failure(now)
        if len(self.pool) or now - self.heard_at() < STALL_S:
            return
        # A read may be served elsewhere; a write has only this target.
        for ticket in self.queue.cancel(lambda item: not item.primary):
            if not ticket.fut.done():
                ticket.fut.set_exception(UnreachableError())

    async def call(
        self,
        conn: connections.TargetConnection,
        body: dict[str, typing.Any],
        timeout_s: float,
    ) -> connections.Answer:
        """Send statements; notice when the connection has gone silent.

        Raises ConnectionLostError.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(STALL_S, self._stalled, conn)
        try:
            return await conn.call('/execute', body, timeout_s)
        finally:
            timer.cancel()

    def _stalled(self, conn: connections.TargetConnection) -> None:
        task = asyncio.ensure_future(self._check_silence(conn))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check_silence(self, conn: connections.TargetConnection) -> None:
        started = clocks.boottime()
        last_answer_at = conn.last_answer_at
        idle = self.pool.take_oldest()
        if idle is not None:
            alike = idle.opened_at <= last_answer_at
            if await self._probe_idle(idle, started) and alike:
                # A connection as old answers, so the statement is slow.
                return
        elif not await self._probe_new(None):
            return
        await asyncio.sleep(SILENT_S - STALL_S)
        if not conn.closed and conn.last_answer_at == last_answer_at:
            conn.fail(f'a connection to {self.info.address} went silent')

    def replaced(self) -> None:
        """Drop all work: another target became primary.

        What waits goes elsewhere at once, and what was sent is settled at
        the new primary, which holds every acknowledged write.
        """
        for ticket in self.queue.cancel(lambda item: item.primary):
            if not ticket.fut.done():
                ticket.fut.set_exception(ReplacedError())
        self.pool.fail_all('the primary was replaced')

    def detach(self) -> None:
        """Free the place in flight of a connection that stays in use."""
        self.in_flight -= 1
        self._pump()

    def give_back(self, conn: connections.TargetConnection) -> None:
        """Take back a connection that was detached."""
        self.pool.give_back(conn)
        self._pump()

    def _pump(self) -> None:
        now = clocks.boottime()
        for ticket in self.queue.expire(now):
            if not ticket.fut.done():
                ticket.fut.set_exception(refused(model.DEADLINE))
        while len(self.queue) and self.in_flight < self.limit.in_flight:
            conn = self.pool.take()
            if conn is None:
                break
            ticket = self._next_ticket(now)
            if ticket is None:
                self.pool.put_back(conn)
                break
            self.in_flight += 1
            ticket.fut.set_result(conn)
        self.pool.fill(
            self.pool.held
            - self.pool.idle
            + len(self.queue)
            + SPARE_CONNECTIONS
        )

    def _next_ticket(self, now: float) -> Ticket | None:
        while True:
            ticket = self.queue.pop(now)
            if ticket is None:
                return None
            if not ticket.fut.done():
                return typing.cast(Ticket, ticket)

    async def probe(self) -> bool:
        """Ask for the status; return whether the target answered.

        Detects connections that are silent while new ones work.
        """
        if self._probing:
            return False
        self._probing = True
        try:
            return await self._probe()
        finally:
            self._probing = False

    async def _probe(self) -> bool:
        started = clocks.boottime()
        conn = self.pool.take_oldest()
        if conn is None:
            return await self._probe_new(None)
        return await self._probe_idle(conn, started)

    async def _probe_idle(
        self, conn: connections.TargetConnection, started: float
    ) -> bool:
        """Probe an idle connection; when it is silent, probe a new one."""
        try:
            answer = await conn.call('/status', {}, PROBE_TIMEOUT_S)
        except connections.ConnectionLostError:
            return await self._probe_new(started)
        if answer.status != 200:
            conn.close()
            return False
        self.learn_status(answer.body)
        self.pool.give_back(conn)
        return True

    async def _probe_new(self, silent_since: float | None) -> bool:
        try:
            conn = await self._dialer.open(self.info.address, PROBE_TIMEOUT_S)
        except connections.ConnectionLostError:
            return False
        try:
            answer = await conn.call('/status', {}, PROBE_TIMEOUT_S)
        except connections.ConnectionLostError:
            return False
        finally:
            conn.close()
        if answer.status != 200:
            return False
        self.learn_status(answer.body)
        if silent_since is not None:
            self._metrics.silent_batches.inc()
            self.pool.suspect_all(silent_since)
        return True


def refused(refusal: model.Refusal) -> errors.UnavailableError:
    """Return the error for a refused request."""
    messages = {
        'queue_full': 'the queue of the target is full',
        'deadline': 'the deadline passed before the request was sent',
        'no_lease': 'this process has no valid lease',
        'no_target': 'no target can serve the request',
        'draining': 'this process is shutting down',
    }
    return errors.UnavailableError(
        messages.get(refusal.reason, refusal.reason),
        kind=refusal.reason,
        retry_after_s=1.0,
    )
