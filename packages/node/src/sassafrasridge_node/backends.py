"""Per-target state of an entry process: pool, queue, circuit, position."""

import asyncio
import typing

from sassafrasridge_core import circuits
from sassafrasridge_core import coverage
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import queueing
from sassafrasridge_core import scheduling
from sassafrasridge_core import slots
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import pool

# A probe that takes longer counts as failed.
PROBE_TIMEOUT_S = 0.3

# Idle connections kept open, so that requests need not wait for a new one.
MIN_IDLE_CONNECTIONS = 1

# A target not heard from for longer counts as silent. Targets announce
# themselves several times a second.
TARGET_SILENT_AFTER_S = 0.4

# Limit of connections and statements in flight after the grant has expired,
# for reads that need no lease.
EXPIRED_GRANT_LIMIT = slots.Limit(1, 1)

# A call unanswered for this long triggers a check whether its connection is
# silent. Most statements are far shorter.
STALL_CHECK_AFTER_S = 0.4

# A call unanswered for this long is considered lost if a new connection works
# and there is no older idle connection to compare with.
CONNECTION_SILENT_AFTER_S = 1.5

DRAINED_REASON = 'the availability zone is drained'
REMOVED_REASON = 'the target was removed or has a new address'
# Limit for a target of a drained availability zone.
DRAINED_LIMIT = slots.Limit(0, 0)

# How long the leaving flag of a target stays valid after the target was last
# heard from. A target may come back after it left.
LEAVING_FLAG_TTL_S = 3.0


class ReplacedError(Exception):
    """Report that another target became primary while a request waited."""


class UnreachableError(Exception):
    """Report that no connection to the target can be opened."""


class Ticket:
    """Represent a queued request that waits for a connection.

    ``primary`` is set if the request can be served only by the primary.
    ``work`` describes the statement of a session.
    """

    __slots__ = ('fut', 'primary', 'work')

    def __init__(
        self,
        fut: 'asyncio.Future[connections.TargetConnection]',
        primary: bool,
        work: scheduling.Work = scheduling.UNIFORM,
    ) -> None:
        self.fut = fut
        self.primary = primary
        self.work = work


class Backend:
    """Manage one target: its pool, its fair queue and its last known state."""

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
            info.address,
            dialer,
            self._dispatch_waiting,
            self._on_open_failure,
            counters,
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
        # Whether the target must not be used, because its zone is drained.
        self.drained = False
        # Whether the target was removed or replaced by one at a new address.
        self.closed = False
        self.role = info.role
        # The term for which the server accepts calls. While the server is
        # fenced, it is higher than the term of the server's log.
        self.term = info.term
        self.log_term = 0
        # Set when a probe is needed although statements are being answered:
        # only a status or an announcement reports the term.
        self.status_due = True
        self.applied = 0
        self._probing = False
        self._silence_checks: set[asyncio.Task[None]] = set()

    async def connection(
        self, account: str, deadline: float, *, primary: bool = False
    ) -> connections.TargetConnection:
        """Wait in the fair queue for a connection and an in-flight slot.

        Raises UnavailableError with the outcome ``not_run`` if the queue is
        full or the deadline cannot be met. Raises ReplacedError if ``primary``
        is set and another target becomes primary, and UnreachableError if it
        is not set and no connection can be opened.
        """
        return typing.cast(
            connections.TargetConnection,
            await self._wait_in_queue(account, deadline, primary),
        )

    async def _wait_in_queue(
        self,
        account: str,
        deadline: float,
        primary: bool,
        work: scheduling.Work = scheduling.UNIFORM,
    ) -> typing.Any:
        """Wait in the queue; return what the ticket's future holds.

        Raises UnavailableError if the queue is full or the deadline passes.
        """
        if self.closed:
            # The queue of a removed target is never served again.
            raise _lost_target_error(primary, REMOVED_REASON)
        now = clocks.boottime()
        fut: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        ticket = Ticket(fut, primary, work)
        refusal = self._push(now, account, ticket, deadline)
        if refusal is not None:
            raise refusal_error(refusal)
        self._dispatch_waiting()
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await fut
        except TimeoutError:
            self._cancel_wait(fut)
            raise refusal_error(model.DEADLINE)
        except asyncio.CancelledError:
            self._cancel_wait(fut)
            raise

    def _push(
        self, now: float, account: str, ticket: Ticket, deadline: float
    ) -> model.Refusal | None:
        return self.queue.push(now, account, ticket, 1.0, deadline)

    def _cancel_wait(self, fut: 'asyncio.Future[typing.Any]') -> None:
        # The future may have got its result in the same event loop step in
        # which the waiting task was cancelled.
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self._return_unused(fut.result())
        else:
            fut.cancel()

    def _return_unused(self, result: typing.Any) -> None:
        """Take back what a request got that no longer waits for it."""
        self.release(result, clean=True)

    def release(
        self, conn: connections.TargetConnection, *, clean: bool
    ) -> None:
        """Free an in-flight slot; return the connection or close it."""
        self.in_flight -= 1
        if clean:
            self.pool.give_back(conn)
        else:
            conn.close()
        self._dispatch_waiting()

    def apply_grant(self, grant: typing.Any, sent_at: float) -> bool:
        """Apply granted limits of connections and statements in flight.

        Returns whether the grant is in force, which a late one is not.
        """
        now = clocks.boottime()
        if not self.share.apply_grant(
            now,
            sent_at,
            grant.base,
            grant.version,
            grant.connections,
            grant.in_flight,
        ):
            return False
        self._had_grant = True
        self.refresh_limits(now)
        return True

    def granted_rate(self) -> float:
        """Return the rate of the last grant in statements/s, 0 for none."""
        return 0.0

    def refresh_limits(self, now: float) -> None:
        """Apply the limits in effect now; they expire with the lease."""
        limit = self.share.limit(now)
        if not limit.connections and self._had_grant:
            limit = EXPIRED_GRANT_LIMIT
        if self.drained:
            limit = DRAINED_LIMIT
        if limit != self.limit:
            self.limit = limit
            self.pool.limit = limit.connections
            self.pool.shrink()
            self._dispatch_waiting()

    def set_drained(self, drained: bool) -> None:
        """Stop using the target, or use it again.

        Idle connections close and waiting requests are sent elsewhere at
        once. Answers to requests that were sent are still delivered.
        """
        if drained == self.drained:
            return
        self.drained = drained
        self.refresh_limits(clocks.boottime())
        if not drained:
            return
        self._fail_waiting(DRAINED_REASON)

    def close(self) -> None:
        """Close the connections of a target that is no longer used.

        Waiting requests are sent elsewhere at once.
        """
        self.closed = True
        self._fail_waiting(REMOVED_REASON)
        self.pool.close()

    def require_usable(self, primary: bool) -> None:
        """Raise ReplacedError or UnreachableError if it must not be used.

        ``primary`` is set if the request can be served only by the primary.
        """
        if self.closed:
            raise _lost_target_error(primary, REMOVED_REASON)
        if self.drained:
            raise _lost_target_error(primary, DRAINED_REASON)

    def _fail_waiting(self, reason: str) -> None:
        """End the wait of all requests."""
        for ticket in self.queue.cancel(lambda _: True):
            if not ticket.fut.done():
                ticket.fut.set_exception(
                    _lost_target_error(ticket.primary, reason)
                )

    def demand(self) -> float:
        """Return the number of statements in flight or waiting."""
        return float(self.in_flight + len(self.queue))

    def heard_at(self) -> float:
        """Return when the target last answered or announced itself."""
        return max(self.announced_at, self.success_at)

    def last_progress_at(self) -> float:
        """Return when the target last proved that it works."""
        return self.success_at

    def refused_s(self, now: float) -> float:
        """Return for how many seconds connections have been refused."""
        return 0.0

    def silent(self, now: float) -> bool:
        """Return whether the target has not been heard from for too long."""
        return now - self.heard_at() > TARGET_SILENT_AFTER_S

    def leaving(self, now: float) -> bool:
        """Return whether the target accepts no new work."""
        return self.info.leaving and now - self.heard_at() < LEAVING_FLAG_TTL_S

    def current_info(self) -> model.TargetInfo:
        """Return the last announcement, updated with later answers."""
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
        """Return the target information to report to the control leader."""
        return self.current_info()

    def apply_announcement(self, info: model.TargetInfo) -> None:
        """Apply an announcement of the target."""
        self.announced_at = clocks.boottime()
        self.info = info
        if info.term >= self.term:
            self.term = info.term
            self.role = info.role

    def update_from_status(self, body: dict[str, typing.Any]) -> None:
        """Apply the body of a status answer."""
        self.success_at = clocks.boottime()
        self.status_due = False
        self.term = int(body['term'])
        self.role = str(body.get('role', ''))
        self.info.leaving = bool(body.get('leaving', False))
        self._advance_position(int(body['last_term']), int(body['applied']))

    def update_from_answer(self, answer: connections.Answer) -> None:
        """Apply the position reported in an answer."""
        self.success_at = clocks.boottime()
        if answer.status == 200:
            body = answer.body
            self._advance_position(int(body['term']), int(body['position']))
        elif answer.error_kind == 'wrong_term':
            self.status_due = True

    def _advance_position(self, term: int, applied: int) -> None:
        if term > self.log_term:
            self.log_term, self.applied = term, applied
        elif term == self.log_term:
            self.applied = max(self.applied, applied)

    def _on_open_failure(self) -> None:
        now = clocks.boottime()
        self.circuit.failure(now)
        if len(self.pool) or now - self.heard_at() < STALL_CHECK_AFTER_S:
            return
        # A read can be served by another target; a write cannot.
        for ticket in self.queue.cancel(lambda item: not item.primary):
            if not ticket.fut.done():
                ticket.fut.set_exception(UnreachableError())

    async def call(
        self,
        conn: connections.TargetConnection,
        body: dict[str, typing.Any],
        timeout_s: float,
    ) -> connections.Answer:
        """Send statements and detect a silent connection while waiting.

        Raises ConnectionLostError if the connection fails or goes silent.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            STALL_CHECK_AFTER_S, self._start_silence_check, conn
        )
        try:
            return await conn.call('/execute', body, timeout_s)
        finally:
            timer.cancel()

    def _start_silence_check(self, conn: connections.TargetConnection) -> None:
        if self.drained:
            # The check would open a connection.
            return
        task = asyncio.ensure_future(self._check_silence(conn))
        self._silence_checks.add(task)
        task.add_done_callback(self._silence_checks.discard)

    async def _check_silence(self, conn: connections.TargetConnection) -> None:
        started = clocks.boottime()
        last_answer_at = conn.last_answer_at
        idle = self.pool.take_least_recently_used()
        if idle is not None:
            opened_before = idle.opened_at <= last_answer_at
            if await self._probe_idle(idle, started) and opened_before:
                # A connection that is at least as old still answers, so the
                # statement is merely slow.
                return
        elif not await self._probe_new(None):
            return
        await asyncio.sleep(CONNECTION_SILENT_AFTER_S - STALL_CHECK_AFTER_S)
        if not conn.closed and conn.last_answer_at == last_answer_at:
            conn.fail(f'a connection to {self.info.address} went silent')

    def on_primary_replaced(self) -> None:
        """Fail all work because another target became primary.

        Waiting requests are sent elsewhere at once. The outcome of requests
        already sent is resolved at the new primary, which holds every
        acknowledged write.
        """
        for ticket in self.queue.cancel(lambda item: item.primary):
            if not ticket.fut.done():
                ticket.fut.set_exception(ReplacedError())
        self.pool.fail_all('the primary was replaced')

    def release_slot(self) -> None:
        """Free the in-flight slot of a connection that stays in use."""
        self.in_flight -= 1
        self._dispatch_waiting()

    def give_back(self, conn: connections.TargetConnection) -> None:
        """Return a connection to the pool after ``release_slot``."""
        self.pool.give_back(conn)
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        now = clocks.boottime()
        for ticket in self.queue.expire(now):
            if not ticket.fut.done():
                ticket.fut.set_exception(refusal_error(model.DEADLINE))
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
            + MIN_IDLE_CONNECTIONS
        )

    def _next_ticket(self, now: float) -> Ticket | None:
        while True:
            ticket = self.queue.pop(now)
            if ticket is None:
                return None
            if not ticket.fut.done():
                return typing.cast(Ticket, ticket)

    async def probe(self) -> bool:
        """Request the status; return whether the target answered.

        Also detects silent connections, on which the target does not answer
        while it does on new connections.
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
        conn = self.pool.take_least_recently_used()
        if conn is None:
            return await self._probe_new(None)
        return await self._probe_idle(conn, started)

    async def _probe_idle(
        self, conn: connections.TargetConnection, started: float
    ) -> bool:
        """Probe an idle connection; if it does not answer, probe a new one."""
        try:
            answer = await conn.call('/status', {}, PROBE_TIMEOUT_S)
        except connections.ConnectionLostError:
            return await self._probe_new(started)
        if answer.status != 200:
            conn.close()
            return False
        self.update_from_status(answer.body)
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
        self.update_from_status(answer.body)
        if silent_since is not None:
            self._metrics.silent_batches.inc()
            self.pool.fail_silent_since(silent_since)
        return True


def _lost_target_error(primary: bool, reason: str) -> Exception:
    """Return the error of a request whose target must not be used."""
    return ReplacedError() if primary else UnreachableError(reason)


def refusal_error(refusal: model.Refusal) -> errors.UnavailableError:
    """Return the error for a request refused for the given reason."""
    messages = {
        'queue_full': 'the queue of the target is full',
        'deadline': 'the deadline passed before the request was sent',
        'no_lease': 'this process has no valid lease',
        'no_target': 'no target can serve the request',
        'draining': 'this process is shutting down',
        'zone_drained': 'all targets are in drained availability zones',
        'target_cold': 'the target is cold and takes no more statements now',
    }
    return errors.UnavailableError(
        messages.get(refusal.reason, refusal.reason),
        kind=refusal.reason,
        retry_after_s=1.0,
    )
