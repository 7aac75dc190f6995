"""Client sessions: their state, and the execution of their statements.

A front end decodes statements, passes them to a Session one at a time, and
encodes the results. Session values, prepared statements and BEGIN are stored
here; they are sent to a target together with the first statement that needs
them.
"""

import asyncio
import collections.abc
import hashlib
import itertools
import random
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import primarywait
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting
from sassafrasridge_node import sessionstate

StatementKind = statements.StatementKind
ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState
Result = statements.Result

# Limits on the state of one session.
MAX_SESSION_VALUES = 64
MAX_PREPARED_STATEMENTS = 256

# Maximum number of targets tried for a read, and of attempts to run a write
# that the target has not run.
MAX_ATTEMPTS = 4

# Pause before a busy target is tried again.
RETRY_PAUSE_S = 0.03

# Share of the route's latency objective that an operation may wait for a
# primary, unless a change is expected to end in time. Beyond a quarter, an
# early refusal is better for the caller, who can then try another entry
# process.
PRIMARY_WAIT_SHARE = 0.2

# Share of the latency objective that an operation may wait for a rate token
# of its client account. A token that another entry process holds arrives
# within two lease renewals.
RATE_WAIT_SHARE = 0.5

# Period after the start of this process during which new sessions wait for
# its first lease. When all VMs start together but one control member is
# missing, an election takes up to 1.2 s and a renewal up to 0.2 s; callers
# that are refused immediately would use up their retries before that, and
# they give up after 2 s.
START_WAIT_S = 1.6

# Share of the latency objective that an operation may wait for a connection.
CONNECTION_WAIT_SHARE = 0.4

# Lower limit of the wait for a connection: opening one to a target in another
# region takes three round trips of 40 ms and processing time at the target.
MIN_CONNECTION_WAIT_S = 0.25

# Interval between checks for idle transactions.
EXPIRE_INTERVAL_S = 0.25

# Timeout of a rollback: many times a round trip between regions plus the
# processing time at the target.
ROLLBACK_TIMEOUT_S = 1.0


class SessionError(Exception):
    """Report why a statement or the opening of a session failed."""

    def __init__(self, failure: StatementFailure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class PreparedStatement:
    """Hold a prepared statement of a session.

    ``name`` is the name under which targets know it. It is derived from the
    text, not the name that the client chose.
    """

    __slots__ = ('text', 'writes', 'name')

    def __init__(self, text: str, writes: bool) -> None:
        self.text = text
        self.writes = writes
        self.name = (
            'p' + hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        )


class Transaction:
    """Hold an open transaction.

    ``conn`` is None until the first statement needs a target. If another
    entry process runs the transaction, ``owner`` is that process and
    ``number`` identifies the transaction there. ``abort_reason`` is empty
    unless the transaction has been aborted.
    """

    __slots__ = (
        'access',
        'read_only',
        'backend',
        'conn',
        'owner',
        'number',
        'term',
        'abort_reason',
        'has_writes',
        'used_at',
    )

    def __init__(self, access: sessionrouting.Access, read_only: bool) -> None:
        self.access = access
        self.read_only = read_only
        self.backend: sessionpool.SessionBackend | None = None
        self.conn: sessionpool.SessionConnection | None = None
        self.owner = ''
        self.number = 0
        self.term = 0
        self.abort_reason = ''
        self.has_writes = False
        self.used_at = clocks.boottime()


class Operation:
    """Hold a statement to run on a target, and its time of arrival.

    ``access`` is what the session was authorized for when the statement
    arrived or, inside a transaction, when the transaction began.
    """

    __slots__ = ('stmt', 'prepared', 'access', 'started')

    def __init__(
        self,
        stmt: statements.Statement,
        prepared: PreparedStatement | None,
        access: sessionrouting.Access,
        started: float,
    ) -> None:
        self.stmt = stmt
        self.prepared = prepared
        self.access = access
        self.started = started

    @property
    def writes(self) -> bool:
        """Return whether the statement itself writes data."""
        prepared = self.prepared
        return self.stmt.kind is StatementKind.WRITE or (
            prepared is not None and prepared.writes
        )

    @property
    def deadline(self) -> float:
        """Return the time at which the statement times out."""
        return self.started + self.access.route.timeout_s

    def primary_wait_until(self, changes: primarywait.ChangeTracker) -> float:
        """Return the time until which the statement may wait for a primary."""
        until = changes.wait_until(
            clocks.boottime(), self.access.group, self.deadline
        )
        if until is not None:
            return until
        return (
            self.started + self.access.route.objective_s * PRIMARY_WAIT_SHARE
        )


class SessionService:
    """Open and track sessions, and end transactions at shutdown."""

    def __init__(
        self,
        state: sessionstate.SessionEntryState,
        counters: metrics.Metrics,
        rng: random.Random,
        admitter: admission.Admitter,
        relays: sessionrelay.StatementRelay,
    ) -> None:
        self.state = state
        self.metrics = counters
        self.router = sessionrouting.Router(state, rng)
        self.admitter = admitter
        self.relays = relays
        self.decisions = logs.DecisionLog(clocks.boottime)
        self.sessions: set[Session] = set()
        self._started_at = clocks.boottime()
        self._numbers = itertools.count(1)

    async def open_when_ready(self, database: str, key: str) -> 'Session':
        """Open a session, waiting briefly if this process has just started.

        Raises SessionError.
        """
        remaining_s = self._started_at + START_WAIT_S - clocks.boottime()
        if remaining_s > 0 and not self.state.configured.is_set():
            try:
                async with asyncio.timeout(remaining_s):
                    await self.state.configured.wait()
            except TimeoutError:
                self.decisions.write('session_refused', database=database)
        return self.open(database, key)

    def open(self, database: str, key: str) -> 'Session':
        """Open a session; raise SessionError if that is not allowed."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        session = Session(self, next(self._numbers), database, digest)
        session.authorize()
        self.add(session)
        return session

    def add(self, session: 'Session') -> None:
        """Track a session until it is closed."""
        self.sessions.add(session)
        self.metrics.sessions.set(len(self.sessions))

    def remove(self, session: 'Session') -> None:
        """Remove a session and roll back its open transaction."""
        session.end_transaction()
        self.sessions.discard(session)
        self.metrics.sessions.set(len(self.sessions))

    async def run(self) -> None:
        """Abort transactions that exceed their idle time, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = clocks.boottime()
            for session in list(self.sessions):
                session.expire(now)

    def has_open_transactions(self) -> bool:
        """Return whether any transaction is open."""
        return any(s.transaction is not None for s in self.sessions)

    def abort_idle_transactions(self) -> None:
        """Abort every open transaction with no statement in progress."""
        for session in list(self.sessions):
            if not session.busy:
                session.abort('this process is shutting down')


class Session:
    """Own the values, prepared statements and transaction of one client.

    ``floor`` is the log position of the session's last write, if known.
    """

    def __init__(
        self, service: SessionService, number: int, database: str, digest: str
    ) -> None:
        self.number = number
        self.database = database
        self.busy = False
        self.transaction: Transaction | None = None
        self._service = service
        self._state = service.state
        self._router = service.router
        self._digest = digest
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self.floor: model.Position | None = None
        self._cleanup_tasks: set[asyncio.Task[None]] = set()

    # Authorization.

    def authorize(self) -> sessionrouting.Access:
        """Authorize the client by its key and route; raise SessionError."""
        config = self._state.config
        if config.revision == 0 or not self._state.config_valid():
            raise SessionError(
                StatementFailure.BUSY, 'no configuration is in force here'
            )
        route, service = self._find_route()
        if route is None or service is None:
            raise SessionError(
                StatementFailure.UNKNOWN_SERVICE,
                f'database {self.database} does not exist',
            )
        account = config.account_by_key_digest(self._digest)
        if account is not None:
            return sessionrouting.Access(account.name, route, service.group)
        if route.open:
            return sessionrouting.Access(
                admission.ANONYMOUS, route, service.group
            )
        raise SessionError(
            StatementFailure.UNAUTHORIZED, 'the key is unknown or withdrawn'
        )

    def _find_route(
        self,
    ) -> tuple[configuration.Route | None, configuration.Service | None]:
        """Return the current route and service of the database."""
        config = self._state.config
        route = config.route(self.database)
        return route, None if route is None else config.service(route.service)

    async def execute(
        self, stmt: statements.Statement, waited_s: float = 0.0
    ) -> Result:
        """Run one statement and return its result.

        ``waited_s`` is the time since the statement arrived.
        """
        started = clocks.boottime() - waited_s
        self.busy = True
        try:
            result = await self._execute(stmt, started)
        except SessionError as exc:
            result = self._fail(exc)
        finally:
            self.busy = False
        if self.transaction is not None:
            self.transaction.used_at = clocks.boottime()
        result.state = self.session_state()
        self._record_outcome(stmt, result, started)
        return result

    def _record_outcome(
        self, stmt: statements.Statement, result: Result, started: float
    ) -> None:
        seconds = clocks.boottime() - started
        counters = self._service.metrics
        counters.session_seconds[stmt.kind].observe(seconds)
        failure = result.failure
        counters.operations[failure].inc()
        if failure is not None:
            self._service.decisions.write(
                'statement_failed',
                id=stmt.id,
                statement=stmt.kind.value,
                failure=failure.value,
                detail=result.detail,
                seconds=round(seconds, 4),
                **self._decision_context(),
            )

    def _decision_context(self) -> dict[str, typing.Any]:
        """Return the state that decisions are based on, for the log."""
        _, service = self._find_route()
        view = self._state.groups.get(service.group) if service else None
        now = clocks.boottime()
        return {
            'session': self.number,
            'database': self.database,
            'revision': self._state.config.revision,
            'lease': self._state.lease_valid(),
            'lease_age_s': round(self._state.lease.age(now), 3),
            'view_term': view.term if view else 0,
            'primary': view.primary if view else None,
            'changing': view.changing if view else None,
        }

    def _log_retry(
        self,
        stmt: statements.Statement,
        backend: sessionpool.SessionBackend,
        floor: model.Position | None,
        error: SessionError,
    ) -> None:
        """Log that a statement is retried, possibly on another target."""
        self._service.metrics.retries.inc()
        self._service.decisions.write(
            'statement_moved',
            id=stmt.id,
            target=backend.info.server,
            floor=repr(floor) if floor else None,
            target_position=repr(backend.position),
            target_age_s=round(clocks.boottime() - backend.success_at, 3),
            reason=error.failure.value,
            detail=error.detail,
            **self._decision_context(),
        )

    def session_state(self) -> TransactionState:
        """Return the transaction state that the client is told."""
        if self.transaction is None:
            return TransactionState.IDLE
        return (
            TransactionState.BROKEN
            if self.transaction.abort_reason
            else TransactionState.OPEN
        )

    def _fail(self, exc: SessionError) -> Result:
        tx = self.transaction
        if tx is not None and not tx.abort_reason:
            self.abort(exc.detail)
        return Result(failure=exc.failure, detail=exc.detail)

    async def _execute(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        tx = self.transaction
        if tx is not None and tx.abort_reason:
            return self._run_after_abort(stmt, tx)
        local = self._run_locally(stmt)
        if local is not None:
            return local
        if stmt.kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ):
            return await self._begin(stmt, started)
        if stmt.kind is StatementKind.ROLLBACK:
            self.end_transaction()
            return Result()
        if tx is None and stmt.kind is StatementKind.COMMIT:
            raise SessionError(
                StatementFailure.MALFORMED, 'no transaction is open'
            )
        if tx is not None:
            return await self._run_in_transaction(stmt, tx, started)
        return await self._run_single(stmt, started)

    def _run_after_abort(
        self, stmt: statements.Statement, tx: Transaction
    ) -> Result:
        if stmt.kind is StatementKind.ROLLBACK:
            self.end_transaction()
            return Result()
        if stmt.kind is StatementKind.COMMIT:
            detail = tx.abort_reason
            self.end_transaction()
            return Result(failure=StatementFailure.ABORTED, detail=detail)
        return Result(
            failure=StatementFailure.MALFORMED,
            detail='the transaction was aborted',
        )

    # Statements that run without a target.

    def _run_locally(self, stmt: statements.Statement) -> Result | None:
        if stmt.kind is StatementKind.SET:
            if len(self._values) >= MAX_SESSION_VALUES:
                raise SessionError(
                    StatementFailure.MALFORMED, 'too many session values'
                )
            self._values[stmt.name] = stmt.value
        elif stmt.kind is StatementKind.PREPARE:
            if len(self._prepared) >= MAX_PREPARED_STATEMENTS:
                raise SessionError(
                    StatementFailure.MALFORMED, 'too many prepared statements'
                )
            self._prepared[stmt.name] = PreparedStatement(
                stmt.value, stmt.writes
            )
        elif stmt.kind is StatementKind.DEALLOCATE:
            if self._prepared.pop(stmt.name, None) is None:
                raise SessionError(
                    StatementFailure.MALFORMED,
                    f'prepared statement {stmt.name} does not exist',
                )
        else:
            return None
        return Result()

    async def _begin(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        if self.transaction is not None:
            raise SessionError(
                StatementFailure.MALFORMED, 'a transaction is already open'
            )
        access = self.authorize()
        await self._charge(access, started)
        self.begin(access, stmt.kind is StatementKind.BEGIN_READ)
        return Result()

    def begin(self, access: sessionrouting.Access, read_only: bool) -> None:
        """Open a transaction; no target is involved until one is needed."""
        self.transaction = Transaction(access, read_only)

    async def _charge(
        self, access: sessionrouting.Access, started: float
    ) -> None:
        try:
            await self._service.admitter.charge_account(
                access.account,
                started + access.route.objective_s * RATE_WAIT_SHARE,
            )
        except errors.RidgeError as exc:
            raise SessionError(StatementFailure.RATE_LIMITED, exc.message)

    # Statements outside a transaction.

    async def _run_single(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        prepared = self._find_prepared(stmt)
        access = self.authorize()
        await self._charge(access, started)
        op = Operation(stmt, prepared, access, started)
        if not self._runs_here(access.group):
            return await self._relay_single(op)
        if op.writes:
            return await self._write(op)
        return await self._read(op)

    def _find_prepared(
        self, stmt: statements.Statement
    ) -> PreparedStatement | None:
        if stmt.kind is not StatementKind.EXECUTE:
            return None
        found = self._prepared.get(stmt.name)
        if found is None:
            raise SessionError(
                StatementFailure.MALFORMED,
                f'prepared statement {stmt.name} does not exist',
            )
        return found

    async def _write(self, op: Operation) -> Result:
        for attempt in itertools.count(1):
            backend, term, conn = await self._acquire_primary(op)
            commands = self._build_commands(conn, op, None)
            answer = await self._send(
                backend, conn, commands, op.deadline, True
            )
            if answer.result_code is ResultCode.DONE:
                return self._acknowledge(backend, op.access, term, answer)
            self._raise_unless_retryable(answer)
            if attempt >= MAX_ATTEMPTS or not self._may_wait_for_primary(op):
                raise _target_error(answer)
            self._log_retry(op.stmt, backend, None, _target_error(answer))
            await asyncio.sleep(RETRY_PAUSE_S)
        raise AssertionError

    async def _acquire_primary(
        self, op: Operation
    ) -> tuple[sessionpool.SessionBackend, int, sessionpool.SessionConnection]:
        """Wait briefly for the primary and a connection to it.

        Returns the primary, the term of its view and the connection. Raises
        SessionError.
        """
        while True:
            backend = await self._wait_for_primary(op)
            term = self._view_term(op.access)
            try:
                conn = await self._acquire(backend, op)
            except SessionError as exc:
                if not self._may_wait_for_primary(op):
                    raise
                self._log_retry(op.stmt, backend, None, exc)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            return backend, term, conn

    async def _wait_for_primary(
        self, op: Operation
    ) -> sessionpool.SessionBackend:
        """Wait briefly for a usable primary; raise SessionError."""
        while True:
            backend = self._state.usable_primary(op.access.group)
            if backend is not None:
                return backend
            remaining_s = self._primary_wait_s(op)
            if remaining_s <= 0 or not self._state.lease_valid():
                raise SessionError(
                    StatementFailure.NO_PRIMARY, 'no primary is available'
                )
            try:
                async with asyncio.timeout(min(remaining_s, RETRY_PAUSE_S)):
                    await self._state.view_changed.wait()
            except TimeoutError:
                continue

    def _primary_wait_s(self, op: Operation) -> float:
        """Return the seconds that a statement may still wait for a primary."""
        until = op.primary_wait_until(self._state.primary_changes)
        return until - clocks.boottime()

    def _may_wait_for_primary(self, op: Operation) -> bool:
        return self._primary_wait_s(op) > 0

    def _view_term(self, access: sessionrouting.Access) -> int:
        view = self._state.groups.get(access.group)
        return view.term if view is not None else 0

    def _acknowledge(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        term: int,
        answer: sessionpool.TargetAnswer,
    ) -> Result:
        """Return a write's result, or raise if the primary changed.

        Raises SessionError.
        """
        if not self._is_same_primary(backend, access, term):
            raise SessionError(
                StatementFailure.IN_DOUBT, 'the primary was replaced meanwhile'
            )
        if answer.position is not None:
            self.floor = answer.position
        return _success(answer)

    def _raise_unless_retryable(
        self, answer: sessionpool.TargetAnswer
    ) -> None:
        """Raise SessionError unless nothing ran and a retry may succeed."""
        if answer.result_code is ResultCode.TIMED_OUT:
            raise SessionError(StatementFailure.TIMED_OUT, answer.detail)
        if answer.result_code is ResultCode.FAILED:
            raise SessionError(StatementFailure.FAILED, answer.detail)
        if answer.result_code is ResultCode.LOST:
            raise SessionError(StatementFailure.IN_DOUBT, answer.detail)
        if answer.result_code is ResultCode.REFUSED:
            raise SessionError(StatementFailure.MALFORMED, answer.detail)

    async def _read(self, op: Operation) -> Result:
        tried: set[sessionpool.SessionBackend] = set()
        floor = self._router.required_position(op.access, self.floor)
        error = SessionError(
            StatementFailure.BUSY, 'no target is available for the read'
        )
        for attempt in range(MAX_ATTEMPTS):
            backend = self._router.choose_target(op.access, floor, tried)
            if backend is None:
                if attempt and not self._may_wait_for_primary(op):
                    break
                backend = await self._wait_for_primary(op)
            if backend in tried:
                await asyncio.sleep(RETRY_PAUSE_S)
            tried.add(backend)
            is_primary = self._state.primary(op.access.group) is backend
            try:
                conn = await self._acquire(backend, op)
            except SessionError as exc:
                error = exc
                self._log_retry(op.stmt, backend, floor, error)
                continue
            commands = self._build_commands(
                conn, op, None if is_primary else floor
            )
            answer = await self._send(
                backend, conn, commands, op.deadline, False
            )
            if answer.result_code is ResultCode.DONE:
                return _success(answer)
            error = _target_error(answer)
            if answer.result_code in (
                ResultCode.TIMED_OUT,
                ResultCode.REFUSED,
            ):
                break
            if clocks.boottime() >= op.deadline:
                break
            self._log_retry(op.stmt, backend, floor, error)
        raise error

    # Connections.

    async def _acquire(
        self, backend: sessionpool.SessionBackend, op: Operation
    ) -> sessionpool.SessionConnection:
        wait_s = max(
            MIN_CONNECTION_WAIT_S,
            op.access.route.objective_s * CONNECTION_WAIT_SHARE,
        )
        wait_until = min(op.deadline, clocks.boottime() + wait_s)
        account = op.access.account
        try:
            conn = await backend.acquire(account, wait_until, self._values)
        except backends.UnreachableError as exc:
            raise SessionError(
                StatementFailure.BUSY, f'{backend.info.server}: {exc}'
            )
        except sessionpool.TargetRefusedError as exc:
            backend.avoid(sessionpool.BUSY_AVOID_S)
            raise SessionError(
                StatementFailure.BUSY,
                f'{backend.info.server}: {exc.result_code.value}',
            )
        except errors.UnavailableError as exc:
            raise SessionError(StatementFailure.BUSY, exc.message)
        if op.deadline - clocks.boottime() < conn.rtt_s:
            # An answer can't arrive before the deadline, so send nothing.
            backend.release(conn, clean=True)
            raise SessionError(
                StatementFailure.BUSY,
                'too little time is left before the deadline',
            )
        return conn

    def _build_setup(
        self,
        conn: sessionpool.SessionConnection,
        prepared: PreparedStatement | None,
    ) -> list[sessionpool.Command]:
        """Return the commands that apply the session to a connection."""
        commands: list[sessionpool.Command] = []
        if conn.values.keys() - self._values.keys():
            commands.append(sessionpool.Reset())
            conn.values.clear()
            conn.prepared.clear()
        for name, value in self._values.items():
            if conn.values.get(name) != value:
                commands.append(sessionpool.SetValue(name, value))
                conn.values[name] = value
        if prepared is not None and prepared.name not in conn.prepared:
            commands.append(sessionpool.Prepare(prepared.name, prepared.text))
            conn.prepared.add(prepared.name)
        return commands

    def _build_commands(
        self,
        conn: sessionpool.SessionConnection,
        op: Operation,
        floor: model.Position | None,
    ) -> list[sessionpool.Command]:
        """Return the commands that run a statement in the session."""
        name = '' if op.prepared is None else op.prepared.name
        forward = sessionpool.Forward(op.stmt, floor, name)
        return [*self._build_setup(conn, op.prepared), forward]

    async def _send(
        self,
        backend: sessionpool.SessionBackend,
        conn: sessionpool.SessionConnection,
        commands: list[sessionpool.Command],
        deadline: float,
        writes: bool,
        keep: bool = False,
    ) -> sessionpool.TargetAnswer:
        """Run commands; release the connection unless ``keep`` is set."""
        sent_at = clocks.boottime()
        token = object()
        if writes:
            backend.write_started(token)
        backend.statement_started(conn)
        try:
            answer = await conn.run(commands, max(0.001, deadline - sent_at))
        except connections.ConnectionLostError as exc:
            backend.circuit.failure(clocks.boottime())
            backend.release(conn, clean=False)
            result_code = ResultCode.LOST
            if clocks.boottime() >= deadline:
                result_code = ResultCode.TIMED_OUT
            if not exc.sent:
                result_code = ResultCode.BUSY
            return sessionpool.TargetAnswer(
                result_code, [], '', str(exc), TransactionState.BROKEN, None
            )
        except asyncio.CancelledError:
            backend.release(conn, clean=False)
            raise
        finally:
            backend.write_ended(token)
            backend.statement_ended(conn)
        self._record_answer(backend, answer, sent_at)
        clean = (
            answer.state is TransactionState.IDLE and not answer.failed_setup
        )
        if not keep:
            backend.release(conn, clean=clean)
        elif answer.failed_setup:
            backend.release(conn, clean=False)
        return answer

    def _record_answer(
        self,
        backend: sessionpool.SessionBackend,
        answer: sessionpool.TargetAnswer,
        sent_at: float,
    ) -> None:
        backend.answered(answer.position)
        now = clocks.boottime()
        if answer.result_code is ResultCode.DONE:
            backend.circuit.success(now, now - sent_at)
            self._state.sample_position(backend, sent_at)
        elif answer.result_code is ResultCode.FAILED:
            backend.circuit.failure(now)
        elif answer.result_code is ResultCode.BEHIND:
            backend.avoid(sessionpool.BEHIND_AVOID_S)
        elif answer.result_code in statements.NOT_RUN_CODES:
            backend.avoid(sessionpool.BUSY_AVOID_S)

    # Statements relayed to another entry process.

    def _runs_here(self, group: str) -> bool:
        """Return whether this process runs statements for a group."""
        return self._state.serves(group)

    def _relay_request(self, op: Operation) -> sessionrelay.RelayedStatement:
        prepared = op.prepared
        return sessionrelay.RelayedStatement(
            self.database,
            self._digest,
            op.stmt,
            self._values,
            prepared and (prepared.text, prepared.writes),
            self.floor,
            waited_s=clocks.boottime() - op.started,
        )

    async def _relay_single(self, op: Operation) -> Result:
        relays = self._service.relays
        _, answer = await relays.run(
            relays.candidates(op.access.group),
            self._relay_request(op),
            op.deadline,
            StatementFailure.IN_DOUBT
            if op.writes
            else StatementFailure.FAILED,
        )
        return self._accept_relay_result(answer)

    async def _relay_in_transaction(
        self, op: Operation, tx: Transaction
    ) -> Result:
        relays = self._service.relays
        req = self._relay_request(op)
        entry_names = [tx.owner]
        if not tx.owner:
            tx.number = relays.new_transaction_number()
            req.begin = (
                StatementKind.BEGIN_READ
                if tx.read_only
                else StatementKind.BEGIN
            )
            entry_names = relays.candidates(tx.access.group)
        req.transaction = tx.number
        commits = op.stmt.kind is StatementKind.COMMIT
        # Before COMMIT, a transaction is lost if the process that runs it does
        # not answer, and nothing was committed.
        unanswered = StatementFailure.ABORTED
        if commits and tx.has_writes:
            unanswered = StatementFailure.IN_DOUBT
        tx.owner, answer = await relays.run(
            entry_names, req, op.deadline, unanswered
        )
        if not answer.open:
            tx.owner = ''
        if commits:
            self.transaction = None
        elif answer.result.failure is None and not answer.open:
            raise SessionError(
                StatementFailure.ABORTED, 'the transaction has ended'
            )
        return self._accept_relay_result(answer)

    def _accept_relay_result(
        self, answer: sessionrelay.RelayedResult
    ) -> Result:
        if answer.result.failure is not None:
            raise SessionError(answer.result.failure, answer.result.detail)
        if answer.floor is not None:
            self.floor = answer.floor
        return answer.result

    # Transactions.

    async def _run_in_transaction(
        self, stmt: statements.Statement, tx: Transaction, started: float
    ) -> Result:
        self._check_key(tx.access)
        op = Operation(stmt, self._find_prepared(stmt), tx.access, started)
        commits = stmt.kind is StatementKind.COMMIT
        tx.has_writes = tx.has_writes or op.writes
        serves = self._runs_here(tx.access.group)
        if tx.owner or (tx.conn is None and not serves):
            return await self._relay_in_transaction(op, tx)
        if tx.conn is None:
            await self._begin_on_target(op, tx)
        conn, backend = tx.conn, tx.backend
        if conn is None or backend is None or conn.closed:
            raise SessionError(
                StatementFailure.ABORTED, 'the connection was lost'
            )
        if (
            commits
            and not tx.read_only
            and not self._is_same_primary(backend, tx.access, tx.term)
        ):
            raise SessionError(
                StatementFailure.ABORTED, 'the primary was replaced'
            )
        commands = self._build_commands(conn, op, None)
        writes = commits and tx.has_writes
        answer = await self._send(
            backend, conn, commands, op.deadline, writes, keep=True
        )
        if conn.closed:
            tx.conn = None
        if commits:
            return self._finish_commit(tx, backend, answer)
        if answer.result_code is ResultCode.DONE:
            return _success(answer)
        raise self._statement_error(answer)

    def _check_key(self, access: sessionrouting.Access) -> None:
        """Raise SessionError if the transaction's key is no longer valid.

        A withdrawn key ends the transaction; a changed route applies only
        from the next transaction on.
        """
        if not self._state.config_valid():
            raise SessionError(
                StatementFailure.ABORTED,
                'this entry process has no valid lease',
            )
        if access.account == admission.ANONYMOUS:
            return
        account = self._state.config.account_by_key_digest(self._digest)
        if account is None or account.name != access.account:
            raise SessionError(
                StatementFailure.UNAUTHORIZED, 'the key was withdrawn'
            )

    def _is_same_primary(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        term: int,
    ) -> bool:
        """Return whether a target is still the usable primary of a term."""
        same_term = self._view_term(access) == term
        return (
            same_term and self._state.usable_primary(access.group) is backend
        )

    def _statement_error(
        self, answer: sessionpool.TargetAnswer
    ) -> SessionError:
        """Return the error of a statement whose transaction is rolled back."""
        if answer.result_code in (ResultCode.LOST, ResultCode.TIMED_OUT):
            # The connection closed before COMMIT, so nothing was committed.
            return SessionError(StatementFailure.ABORTED, answer.detail)
        return _target_error(answer)

    async def _begin_on_target(self, op: Operation, tx: Transaction) -> None:
        """Choose a target and begin the transaction there."""
        access = tx.access
        floor = (
            self._router.required_position(access, self.floor)
            if tx.read_only
            else None
        )
        backend = self._router.choose_target(access, floor) if floor else None
        if backend is None:
            backend, tx.term, conn = await self._acquire_primary(op)
        else:
            tx.term = self._view_term(access)
            conn = await self._acquire(backend, op)
        is_primary = self._state.primary(access.group) is backend
        commands = self._build_setup(conn, None)
        commands.append(
            sessionpool.Begin(tx.read_only, None if is_primary else floor)
        )
        answer = await self._send(
            backend, conn, commands, op.deadline, False, keep=True
        )
        if answer.result_code is ResultCode.DONE:
            tx.backend, tx.conn = backend, conn
            return
        backend.release(conn, clean=False)
        raise self._statement_error(answer)

    def _finish_commit(
        self,
        tx: Transaction,
        backend: sessionpool.SessionBackend,
        answer: sessionpool.TargetAnswer,
    ) -> Result:
        conn, self.transaction = tx.conn, None
        if conn is not None:
            clean = (
                answer.state is TransactionState.IDLE
                and not answer.failed_setup
            )
            backend.release(conn, clean=clean)
        if answer.result_code is ResultCode.DONE:
            if not tx.has_writes:
                return _success(answer)
            return self._acknowledge(backend, tx.access, tx.term, answer)
        if not tx.has_writes and answer.result_code is not ResultCode.REFUSED:
            raise SessionError(StatementFailure.ABORTED, answer.detail)
        self._raise_unless_retryable(answer)
        raise SessionError(StatementFailure.ABORTED, answer.detail)

    def abort(self, reason: str) -> None:
        """Roll back the transaction and mark it as aborted.

        The client has to end it: COMMIT then reports ``reason``.
        """
        tx = self.transaction
        if tx is None or tx.abort_reason:
            return
        self._roll_back_open(tx)
        tx.abort_reason = reason

    def end_transaction(self) -> None:
        """End the transaction and roll it back if it is still open."""
        tx, self.transaction = self.transaction, None
        if tx is not None:
            self._roll_back_open(tx)

    def _roll_back_open(self, tx: Transaction) -> None:
        conn, backend = tx.conn, tx.backend
        tx.conn = None
        if tx.owner:
            relays = self._service.relays
            self._start_cleanup(relays.roll_back(tx.owner, tx.number))
            tx.owner = ''
            return
        if conn is None or backend is None:
            return
        if conn.closed or conn.answer_pending:
            # An answer may be outstanding, so the state of the connection is
            # unknown.
            backend.release(conn, clean=False)
            return
        self._start_cleanup(_roll_back(backend, conn))

    def _start_cleanup(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(work)
        self._cleanup_tasks.add(task)
        task.add_done_callback(self._cleanup_tasks.discard)

    def expire(self, now: float) -> None:
        """Abort a transaction that was idle for too long."""
        tx = self.transaction
        if tx is None or tx.abort_reason or self.busy:
            return
        if now - tx.used_at > tx.access.route.idle_s:
            self.abort('the transaction was idle for too long')


async def _roll_back(
    backend: sessionpool.SessionBackend, conn: sessionpool.SessionConnection
) -> None:
    try:
        answer = await conn.run([sessionpool.Rollback()], ROLLBACK_TIMEOUT_S)
    except connections.ConnectionLostError:
        backend.release(conn, clean=False)
        return
    backend.release(conn, clean=answer.state is TransactionState.IDLE)


def _success(answer: sessionpool.TargetAnswer) -> Result:
    return Result(answer.rows, answer.signature, position=answer.position)


_FAILURE_BY_RESULT_CODE = {
    ResultCode.BUSY: StatementFailure.BUSY,
    ResultCode.NOT_PREPARED: StatementFailure.BUSY,
    ResultCode.BEHIND: StatementFailure.NOT_FRESH,
    ResultCode.NOT_PRIMARY: StatementFailure.NO_PRIMARY,
    ResultCode.WRONG_SERVER: StatementFailure.BUSY,
    ResultCode.TOO_MANY_CONNECTIONS: StatementFailure.BUSY,
    ResultCode.REFUSED: StatementFailure.MALFORMED,
    ResultCode.FAILED: StatementFailure.FAILED,
    ResultCode.TIMED_OUT: StatementFailure.TIMED_OUT,
    ResultCode.LOST: StatementFailure.FAILED,
}


def _target_error(answer: sessionpool.TargetAnswer) -> SessionError:
    return SessionError(
        _FAILURE_BY_RESULT_CODE[answer.result_code], answer.detail
    )
