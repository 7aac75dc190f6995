"""Connections to targets that belong to one client account each."""

import abc
import asyncio
import collections
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import slots
from sassafrasridge_core import statements
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

OPEN_TIMEOUT_S = 0.5
"""A target opens a connection within a round trip and some 30 ms."""

ROUND_TRIPS_TO_OPEN = 2
"""Connecting and introducing the account take one round trip each."""

PROBE_EVERY_S = 0.5
"""A primary that answered nothing for so long is asked for its status."""

STATUS_TIMEOUT_S = 0.4
"""Longer than the farthest round trip; shorter than a probe interval."""

SILENT_AFTER_S = 0.7
"""A write without an answer for so long counts as silence of the primary: a
commit takes two round trips between regions."""

BUSY_S = 0.05
"""Time for which a target that turned a statement away is avoided."""

FULL_S = 0.5
"""Time for which no connection is added at a target that has too many: those
of lost VMs end within 3 s, one after the other."""

BEHIND_S = 0.15
"""Time for which a replica that lacked a position is avoided, a multiple of
the usual delay of replicas."""

ACCOUNT_ACTIVE_S = 5.0
"""Time for which an account's connection is likely to be used again."""

IDLE_S = 45.0
"""Targets close idle connections after a minute."""

DEFAULT_RTT_S = 0.05
"""Assumed distance of a target before the first connection to it."""


class Command:
    """Stand for one thing that is sent to a target on a connection."""

    __slots__ = ()


class Reset(Command):
    """Drop all session values and prepared statements."""

    __slots__ = ()


class SetValue(Command):
    """Set one session value."""

    __slots__ = ('name', 'value')

    def __init__(self, name: str, value: str) -> None:
        self.name = name
        self.value = value


class Prepare(Command):
    """Prepare a statement under a name."""

    __slots__ = ('name', 'text')

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text


class Begin(Command):
    """Begin a transaction, on a log that holds ``floor`` if it is given."""

    __slots__ = ('read_only', 'floor')

    def __init__(self, read_only: bool, floor: model.Position | None) -> None:
        self.read_only = read_only
        self.floor = floor


class Rollback(Command):
    """Roll the transaction back."""

    __slots__ = ()


class Forward(Command):
    """Send a client's statement; ``prepared`` renames what it executes."""

    __slots__ = ('statement', 'floor', 'prepared')

    def __init__(
        self,
        statement: statements.Statement,
        floor: model.Position | None = None,
        prepared: str = '',
    ) -> None:
        self.statement = statement
        self.floor = floor
        self.prepared = prepared


class TargetAnswer:
    """Hold a target's answer to the last of the commands sent.

    ``failed_setup`` tells that an earlier command failed.
    """

    __slots__ = (
        'verdict',
        'rows',
        'signature',
        'detail',
        'state',
        'position',
        'failed_setup',
    )

    def __init__(
        self,
        verdict: statements.Verdict,
        rows: list[str],
        signature: str,
        detail: str,
        state: statements.State,
        position: model.Position | None,
        failed_setup: bool = False,
    ) -> None:
        self.verdict = verdict
        self.rows = rows
        self.signature = signature
        self.detail = detail
        self.state = state
        self.position = position
        self.failed_setup = failed_setup


class SessionConnection(abc.ABC):
    """Own one connection to a target for one client account.

    ``values`` and ``prepared`` are what the target holds for it, and
    ``calling`` tells that an answer is outstanding.
    """

    def __init__(self, account: str) -> None:
        self.account = account
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.used_at = clocks.boottime()
        self.rtt_s = DEFAULT_RTT_S
        self.closed = False
        self.calling = False
        self.on_close: typing.Callable[[], None] = lambda: None

    @abc.abstractmethod
    async def run(
        self, commands: typing.Sequence[Command], timeout_s: float
    ) -> TargetAnswer:
        """Send commands together and return the answer to the last.

        Raises ConnectionLostError; the connection is closed then.
        """

    @abc.abstractmethod
    async def status(self, timeout_s: float) -> bool:
        """Ask for the target's status; return whether it answered."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; the target rolls back what is open."""


class SessionDialer(abc.ABC):
    """Port that opens connections to targets."""

    @abc.abstractmethod
    async def open(
        self, info: model.TargetInfo, account: str, timeout_s: float
    ) -> SessionConnection:
        """Open a connection; raise ConnectionLostError or RefusedError."""


class RefusedError(Exception):
    """Report a target that answered and refused a connection."""

    def __init__(self, verdict: statements.Verdict) -> None:
        super().__init__(verdict.value)
        self.verdict = verdict


class AccountPool:
    """Hold idle connections by account, within one limit for all."""

    def __init__(self) -> None:
        self.limit = 0
        self.opening = 0
        self.connections: set[SessionConnection] = set()
        # Of all accounts, the one unused for longest first.
        self._idle: collections.OrderedDict[SessionConnection, None] = (
            collections.OrderedDict()
        )

    @property
    def held(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self.connections) + self.opening

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return len(self._idle)

    def has_idle(self, account: str) -> bool:
        """Return whether a connection of an account is idle."""
        return any(conn.account == account for conn in self._idle)

    def take(
        self, account: str, values: dict[str, str]
    ) -> SessionConnection | None:
        """Return an idle connection, best one with the same values."""
        found = None
        for conn in reversed(self._idle):
            if conn.account == account and not conn.closed:
                found = found or conn
                if conn.values == values:
                    found = conn
                    break
        if found is not None:
            del self._idle[found]
        return found

    def any_idle(self) -> SessionConnection | None:
        """Return the connection used last, of any account."""
        if not self._idle:
            return None
        conn, _ = self._idle.popitem()
        return conn

    def evict(self) -> bool:
        """Close the connection that was idle for longest."""
        if not self._idle:
            return False
        conn, _ = self._idle.popitem(last=False)
        self.discard(conn)
        return True

    def give_back(self, conn: SessionConnection) -> None:
        """Take back a connection whose state is known to be clean."""
        if conn.closed or conn not in self.connections:
            self.discard(conn)
        elif self.held > self.limit:
            self.discard(conn)
        else:
            conn.used_at = clocks.boottime()
            self._idle[conn] = None

    def discard(self, conn: SessionConnection) -> None:
        """Close a connection and forget it."""
        conn.close()
        self._idle.pop(conn, None)
        self.connections.discard(conn)

    def shrink(self) -> None:
        """Close idle connections above the limit or unused for long."""
        while self.held > self.limit and self.evict():
            continue
        oldest = clocks.boottime() - IDLE_S
        while self._idle and next(iter(self._idle)).used_at < oldest:
            self.evict()

    def close(self) -> None:
        """Close all connections and allow no more; calls on them fail."""
        self.limit = 0
        for conn in list(self.connections):
            self.discard(conn)


class SessionBackend(backends.Backend):
    """Own one target whose connections belong to client accounts."""

    def __init__(
        self,
        info: model.TargetInfo,
        dialer: SessionDialer,
        counters: metrics.Metrics,
        lease_s: float = slots.LEASE_S,
    ) -> None:
        super().__init__(info, connections.Dialer(), counters, lease_s)
        self._session_dialer = dialer
        self.pool: AccountPool = AccountPool()  # type: ignore[assignment]
        self.position: model.Position | None = None
        self.avoid_until = float('-inf')
        self.rtt_s = DEFAULT_RTT_S
        self._writes: dict[object, float] = {}
        self._lent: set[SessionConnection] = set()
        self._active: dict[str, float] = {}
        self._reachable = True
        self.status_due = False
        self.serving = True
        self._full_until = float('-inf')
        self.leads: typing.Callable[[], bool] = lambda: False
        self.probe_account: typing.Callable[[], str] = str

    # What is known of the target.

    def learn_announcement(self, info: model.TargetInfo) -> None:
        """Record what control knows of the target."""
        self.info = info
        self.role = info.role

    def silent(self, now: float) -> bool:
        """Return whether the target was not heard for unusually long."""
        return now - self.working_at() > PROBE_EVERY_S + STATUS_TIMEOUT_S

    def info_to_report(self) -> model.TargetInfo:
        """Return what control is told: it knows the rest from the target."""
        return model.TargetInfo(
            self.info.server, self.info.group, '', '', '', 0, 0, 0, 0
        )

    def demand(self) -> float:
        """Return how many connections are of use here.

        Connections belong to accounts, so each account that was served
        lately counts besides the statements in flight and waiting.
        """
        since = clocks.boottime() - ACCOUNT_ACTIVE_S
        self._active = {a: t for a, t in self._active.items() if t > since}
        return float(max(len(self._active), self.in_flight) + len(self.queue))

    def leaving(self, now: float) -> bool:
        """Return whether the target takes no new work."""
        return self.info.leaving

    def answered(self, position: model.Position | None) -> None:
        """Record an answer and the position it told."""
        self.success_at = clocks.boottime()
        if position is not None:
            self.position = position

    def write_started(self, token: object) -> None:
        """Note a write that waits for its answer."""
        self._writes[token] = clocks.boottime()

    def write_ended(self, token: object) -> None:
        """Note that a write is not waited for any more."""
        self._writes.pop(token, None)

    def working_at(self) -> float:
        """Return when the target last showed that it works.

        A primary that answers reads but leaves writes unanswered can't reach
        its replicas.
        """
        now = clocks.boottime()
        stuck = min(self._writes.values(), default=now)
        if now - stuck > SILENT_AFTER_S:
            return min(stuck, self.success_at)
        return self.success_at

    def avoid(self, seconds: float) -> None:
        """Prefer other targets for a time."""
        self.avoid_until = clocks.boottime() + seconds

    # Connections.

    def refresh_limits(self, now: float) -> None:
        """Apply the limits in effect; without service here, keep nothing."""
        if not self.serving and self.in_flight == 0:
            self._had_grant = False
        super().refresh_limits(now)
        if len(self.queue):
            self._pump()

    def full(self, now: float) -> bool:
        """Return whether the target has no place for a connection more."""
        return now < self._full_until

    async def acquire(
        self, account: str, deadline: float, values: dict[str, str]
    ) -> SessionConnection:
        """Return a connection of the account, opening one if necessary.

        Raises UnavailableError (not run), UnreachableError or RefusedError.
        """
        conn = self.pool.take(account, values)
        if conn is None:
            full = self.full(clocks.boottime())
            if full and not self.pool.held:
                raise RefusedError(statements.Verdict.TOO_MANY_CONNECTIONS)
            limited = full or self.pool.held >= self.pool.limit
            if limited and not self.pool.evict():
                return await self._wait(account, deadline, values)
            conn = await self._open(account, deadline)
        self._lent.add(conn)
        self._active[account] = clocks.boottime()
        self.in_flight = len(self._lent)
        return conn

    async def _wait(
        self, account: str, deadline: float, values: dict[str, str]
    ) -> SessionConnection:
        now = clocks.boottime()
        fut: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        ticket = backends.Ticket(fut, False)
        refusal = self.queue.push(now, account, ticket, 1.0, deadline)
        if refusal is not None:
            raise backends.refused(refusal)
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                await fut
        except TimeoutError:
            self._pump()
            raise backends.refused(model.DEADLINE)
        return await self.acquire(account, deadline, values)

    async def _open(self, account: str, deadline: float) -> SessionConnection:
        rest_s = deadline - clocks.boottime()
        if rest_s < ROUND_TRIPS_TO_OPEN * self.rtt_s and self.pool.connections:
            raise backends.refused(model.DEADLINE)
        self.pool.opening += 1
        try:
            conn = await self._session_dialer.open(
                self.info, account, min(OPEN_TIMEOUT_S, max(0.001, rest_s))
            )
        except connections.ConnectionLostError as exc:
            if rest_s < OPEN_TIMEOUT_S and clocks.boottime() >= deadline:
                # The time was too short to blame the target.
                raise backends.refused(model.DEADLINE)
            self.circuit.failure(clocks.boottime())
            self._metrics.connection_failures.inc()
            self._note_reachable(False, str(exc))
            raise backends.UnreachableError(str(exc))
        except RefusedError as exc:
            if exc.verdict is statements.Verdict.TOO_MANY_CONNECTIONS:
                self._note_full()
            raise
        finally:
            self.pool.opening -= 1
            self._pump()
        self._note_reachable(True)
        self.rtt_s = conn.rtt_s
        self.pool.connections.add(conn)
        conn.on_close = lambda: self.pool.discard(conn)
        self.success_at = clocks.boottime()
        self._metrics.connections_opened.inc()
        return conn

    def _note_full(self) -> None:
        now = clocks.boottime()
        if not self.full(now):
            logs.change(
                'target_full',
                server=self.info.server,
                held=self.pool.held,
                limit=self.pool.limit,
            )
        self._full_until = now + FULL_S

    def _note_reachable(self, reachable: bool, reason: str = '') -> None:
        """Log when connections to the target begin or cease to open."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        logs.change(
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
        """Give back a connection; a second time changes nothing."""
        if conn not in self._lent:
            return
        self._lent.discard(conn)
        self.in_flight = len(self._lent)
        if clean:
            self.pool.give_back(conn)
        else:
            self.pool.discard(conn)
        self._pump()

    def _pump(self) -> None:
        now = clocks.boottime()
        for ticket in self.queue.expire(now):
            if not ticket.fut.done():
                ticket.fut.set_exception(backends.refused(model.DEADLINE))
        room = self.pool.idle
        if not self.full(now):
            room += self.pool.limit - self.pool.held
        while room > 0 and len(self.queue):
            ticket = self._next_ticket(now)
            if ticket is None:
                return
            ticket.fut.set_result(None)
            room -= 1

    def replaced(self) -> None:
        """Keep the connections: a former primary serves reads again."""

    # Probes.

    async def probe(self) -> bool:
        """Ask a primary for its status when it was silent for a while."""
        self.pool.shrink()
        now = clocks.boottime()
        if self._probing or not self.leads():
            return False
        if now - self.success_at < PROBE_EVERY_S:
            return False
        self._probing = True
        try:
            return await self._ask_status()
        finally:
            self._probing = False

    async def _ask_status(self) -> bool:
        conn = self.pool.any_idle()
        try:
            if conn is None:
                conn = await self._open(
                    self.probe_account(), clocks.boottime() + PROBE_EVERY_S
                )
            answered = await conn.status(STATUS_TIMEOUT_S)
        except (
            connections.ConnectionLostError,
            backends.UnreachableError,
            RefusedError,
            errors.UnavailableError,
        ):
            answered = False
        if conn is not None:
            if answered:
                self.success_at = clocks.boottime()
                self.circuit.success(self.success_at)
                self.pool.give_back(conn)
            else:
                self.pool.discard(conn)
        return answered
