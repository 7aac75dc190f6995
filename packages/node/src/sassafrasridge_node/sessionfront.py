"""Sessions: what a client's connection keeps, and how its statements run.

A front end decodes statements, hands them to a Session one at a time, and
encodes the results. Values, prepared statements and the begin of a
transaction are kept here; a target learns them with the first statement that
needs them.
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

Kind = statements.Kind
Verdict = statements.Verdict
Failure = statements.Failure
State = statements.State
Result = statements.Result

MAX_VALUES = 64
MAX_PREPARED = 256
"""Bounds of what one session may keep."""

MAX_TRIES = 4
"""Targets tried for a read, and resends of what a target turned away."""

RETRY_S = 0.03
"""Pause before a target that was busy is asked again."""

HOLD_SHARE = 0.2
"""Part of an operation's objective for which it waits for a primary; beyond
a quarter the caller is better off with a refusal and another process."""

RATE_HOLD_SHARE = 0.5
"""Part of the objective for which it waits for a token of its account: one
that another process holds arrives within two renewals."""

START_HOLD_S = 1.2
"""Time after the start of this process in which new sessions wait for its
first lease. After a start of all VMs an election takes up to 1 s and a renewal
up to 0.2 s; callers that are refused at once use up their retries before."""

CONNECTION_HOLD_SHARE = 0.4
"""Part of the objective for which it waits for a connection."""

OPENING_S = 0.25
"""Time in which a target between regions opens a connection: three round
trips of 40 ms and the target's own work."""

EXPIRE_INTERVAL_S = 0.25
"""Interval at which idle transactions are looked for."""

ROLLBACK_TIMEOUT_S = 1.0
"""A round trip between regions and the target's own work, many times over."""


class Problem(Exception):
    """Report why a statement has no result."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class Prepared:
    """Hold a prepared statement; ``name`` is the one that targets know."""

    __slots__ = ('text', 'writes', 'name')

    def __init__(self, text: str, writes: bool) -> None:
        self.text = text
        self.writes = writes
        self.name = (
            'p' + hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        )


class Transaction:
    """Hold an open transaction; ``conn`` is None until a target is needed.

    ``owner`` is the other entry process that runs it under ``number``, if
    there is one.
    """

    __slots__ = (
        'access',
        'read_only',
        'backend',
        'conn',
        'owner',
        'number',
        'term',
        'broken',
        'wrote',
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
        self.broken = ''
        self.wrote = False
        self.used_at = clocks.boottime()


class Operation:
    """Hold a statement that a target runs, and when it arrived.

    Its transaction, if it has one, was begun with ``access``.
    """

    __slots__ = ('stmt', 'prepared', 'access', 'started')

    def __init__(
        self,
        stmt: statements.Statement,
        prepared: Prepared | None,
        access: sessionrouting.Access,
        started: float,
    ) -> None:
        self.stmt = stmt
        self.prepared = prepared
        self.access = access
        self.started = started

    @property
    def writes(self) -> bool:
        """Return whether it writes by itself."""
        prepared = self.prepared
        return self.stmt.kind is Kind.WRITE or (
            prepared is not None and prepared.writes
        )

    @property
    def deadline(self) -> float:
        """Return when its time is over."""
        return self.started + self.access.route.timeout_s

    @property
    def hold_until(self) -> float:
        """Return until when it waits for a primary."""
        return self.started + self.access.route.objective_s * HOLD_SHARE

    def may_hold(self) -> bool:
        """Return whether it may wait for a primary still."""
        return clocks.boottime() < self.hold_until


class Service:
    """Open sessions, and end them at a planned stop."""

    def __init__(
        self,
        state: sessionstate.SessionEntryState,
        counters: metrics.Metrics,
        rng: random.Random,
        admitter: admission.Admitter,
        relays: sessionrelay.Relays,
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

    async def open_soon(self, database: str, key: str) -> 'Session':
        """Open a session; a process that has just started waits briefly.

        Raises Problem.
        """
        rest_s = self._started_at + START_HOLD_S - clocks.boottime()
        if rest_s > 0 and not self.state.configured.is_set():
            try:
                async with asyncio.timeout(rest_s):
                    await self.state.configured.wait()
            except TimeoutError:
                self.decisions.write('session_refused', database=database)
        return self.open(database, key)

    def open(self, database: str, key: str) -> 'Session':
        """Open a session; raise Problem when it may not exist."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        session = Session(self, next(self._numbers), database, digest)
        session.access()
        self.add(session)
        return session

    def add(self, session: 'Session') -> None:
        """Take care of a session until it is closed."""
        self.sessions.add(session)
        self.metrics.sessions.set(len(self.sessions))

    def closed(self, session: 'Session') -> None:
        """Forget a session whose client has gone."""
        session.end()
        self.sessions.discard(session)
        self.metrics.sessions.set(len(self.sessions))

    async def run(self) -> None:
        """End idle transactions until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = clocks.boottime()
            for session in list(self.sessions):
                session.expire(now)

    def open_transactions(self) -> bool:
        """Return whether any transaction is open."""
        return any(s.transaction is not None for s in self.sessions)

    def end_transactions(self) -> None:
        """Roll back every open transaction that is idle."""
        for session in list(self.sessions):
            if not session.busy:
                session.break_off('this process is shutting down')


class Session:
    """Own the values, prepared statements and transaction of a client."""

    def __init__(
        self, service: Service, number: int, database: str, digest: str
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
        self._prepared: dict[str, Prepared] = {}
        self.floor: model.Position | None = None
        self._cleanups: set[asyncio.Task[None]] = set()

    # What the client may do now.

    def access(self) -> sessionrouting.Access:
        """Return what key and route allow; raise Problem."""
        config = self._state.config
        if config.revision == 0 or not self._state.config_valid():
            raise Problem(Failure.BUSY, 'no configuration is in force here')
        route, service = self._place()
        if route is None or service is None:
            raise Problem(
                Failure.UNKNOWN_SERVICE, f'no database {self.database}'
            )
        account = config.account_of(self._digest)
        if account is not None:
            return sessionrouting.Access(account.name, route, service.group)
        if route.open:
            return sessionrouting.Access(
                admission.ANONYMOUS, route, service.group
            )
        raise Problem(Failure.UNAUTHORIZED, 'the key is not known')

    def _place(
        self,
    ) -> tuple[configuration.Route | None, configuration.Service | None]:
        """Return the route and the service of the database now."""
        config = self._state.config
        route = config.route(self.database)
        return route, None if route is None else config.service(route.service)

    async def execute(
        self, stmt: statements.Statement, waited_s: float = 0.0
    ) -> Result:
        """Run one statement that arrived a time ago; return its result."""
        started = clocks.boottime() - waited_s
        self.busy = True
        try:
            result = await self._execute(stmt, started)
        except Problem as exc:
            result = self._failed(exc)
        finally:
            self.busy = False
        if self.transaction is not None:
            self.transaction.used_at = clocks.boottime()
        result.state = self.session_state()
        self._account_for(stmt, result, started)
        return result

    def _account_for(
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
                **self._inputs(),
            )

    def _inputs(self) -> dict[str, typing.Any]:
        """Return what decisions of this session rest on now, for the log."""
        _, service = self._place()
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

    def _moved(
        self,
        stmt: statements.Statement,
        backend: sessionpool.SessionBackend,
        floor: model.Position | None,
        problem: Problem,
    ) -> None:
        """Log that a statement goes on to another target or is repeated."""
        self._service.metrics.retries.inc()
        self._service.decisions.write(
            'statement_moved',
            id=stmt.id,
            target=backend.info.server,
            floor=repr(floor) if floor else None,
            target_position=repr(backend.position),
            target_age_s=round(clocks.boottime() - backend.success_at, 3),
            reason=problem.failure.value,
            detail=problem.detail,
            **self._inputs(),
        )

    def session_state(self) -> State:
        """Return where the session is between two statements."""
        if self.transaction is None:
            return State.IDLE
        return State.BROKEN if self.transaction.broken else State.OPEN

    def _failed(self, exc: Problem) -> Result:
        tx = self.transaction
        if tx is not None and not tx.broken:
            self.break_off(exc.detail)
        return Result(failure=exc.failure, detail=exc.detail)

    async def _execute(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        tx = self.transaction
        if tx is not None and tx.broken:
            return self._after_failure(stmt, tx)
        local = self._local(stmt)
        if local is not None:
            return local
        if stmt.kind in (Kind.BEGIN, Kind.BEGIN_READ):
            return await self._begin(stmt, started)
        if stmt.kind is Kind.ROLLBACK:
            self.end()
            return Result()
        if tx is None and stmt.kind is Kind.COMMIT:
            raise Problem(Failure.MALFORMED, 'no transaction is open')
        if tx is not None:
            return await self._in_transaction(stmt, tx, started)
        return await self._single(stmt, started)

    def _after_failure(
        self, stmt: statements.Statement, tx: Transaction
    ) -> Result:
        if stmt.kind is Kind.ROLLBACK:
            self.end()
            return Result()
        if stmt.kind is Kind.COMMIT:
            detail = tx.broken
            self.end()
            return Result(failure=Failure.ABORTED, detail=detail)
        return Result(failure=Failure.MALFORMED, detail='transaction failed')

    # Statements that no target needs to see.

    def _local(self, stmt: statements.Statement) -> Result | None:
        if stmt.kind is Kind.SET:
            if len(self._values) >= MAX_VALUES:
                raise Problem(Failure.MALFORMED, 'too many session values')
            self._values[stmt.name] = stmt.value
        elif stmt.kind is Kind.PREPARE:
            if len(self._prepared) >= MAX_PREPARED:
                raise Problem(Failure.MALFORMED, 'too many statements')
            self._prepared[stmt.name] = Prepared(stmt.value, stmt.writes)
        elif stmt.kind is Kind.DEALLOCATE:
            if self._prepared.pop(stmt.name, None) is None:
                raise Problem(Failure.MALFORMED, f'no statement {stmt.name}')
        else:
            return None
        return Result()

    async def _begin(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        if self.transaction is not None:
            raise Problem(Failure.MALFORMED, 'a transaction is open already')
        access = self.access()
        await self._charge(access, started)
        self.begin(access, stmt.kind is Kind.BEGIN_READ)
        return Result()

    def begin(self, access: sessionrouting.Access, read_only: bool) -> None:
        """Open a transaction, on a target once one is needed."""
        self.transaction = Transaction(access, read_only)

    async def _charge(
        self, access: sessionrouting.Access, started: float
    ) -> None:
        try:
            await self._service.admitter.charge_account(
                access.account,
                started + access.route.objective_s * RATE_HOLD_SHARE,
            )
        except errors.RidgeError as exc:
            raise Problem(Failure.RATE_LIMITED, exc.message)

    # Single statements.

    async def _single(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        prepared = self._find_prepared(stmt)
        access = self.access()
        await self._charge(access, started)
        op = Operation(stmt, prepared, access, started)
        if not self._serves(access.group):
            return await self._relay_single(op)
        if op.writes:
            return await self._write(op)
        return await self._read(op)

    def _find_prepared(self, stmt: statements.Statement) -> Prepared | None:
        if stmt.kind is not Kind.EXECUTE:
            return None
        found = self._prepared.get(stmt.name)
        if found is None:
            raise Problem(Failure.MALFORMED, f'no statement {stmt.name}')
        return found

    async def _write(self, op: Operation) -> Result:
        for attempt in itertools.count(1):
            backend, term, conn = await self._acquire_primary(op)
            commands = self._commands(conn, op, None)
            answer = await self._send(
                backend, conn, commands, op.deadline, True
            )
            if answer.verdict is Verdict.DONE:
                return self._acknowledge(backend, op.access, term, answer)
            self._refuse_doubt(answer)
            if attempt >= MAX_TRIES or not op.may_hold():
                raise _problem(answer)
            self._moved(op.stmt, backend, None, _problem(answer))
            await asyncio.sleep(RETRY_S)
        raise AssertionError

    async def _acquire_primary(
        self, op: Operation
    ) -> tuple[sessionpool.SessionBackend, int, sessionpool.SessionConnection]:
        """Return the primary, its term and a connection; wait briefly."""
        while True:
            backend = await self._leader(op)
            term = self._term(op.access)
            try:
                conn = await self._acquire(backend, op)
            except Problem as exc:
                if not op.may_hold():
                    raise
                self._moved(op.stmt, backend, None, exc)
                await asyncio.sleep(RETRY_S)
                continue
            return backend, term, conn

    async def _leader(self, op: Operation) -> sessionpool.SessionBackend:
        """Wait briefly for a primary that may be used."""
        while True:
            backend = self._state.leader(op.access.group)
            if backend is not None:
                return backend
            rest = op.hold_until - clocks.boottime()
            if rest <= 0 or not self._state.lease_valid():
                raise Problem(Failure.NO_PRIMARY, 'no primary can be used now')
            try:
                async with asyncio.timeout(min(rest, RETRY_S)):
                    await self._state.view_changed.wait()
            except TimeoutError:
                continue

    def _term(self, access: sessionrouting.Access) -> int:
        view = self._state.groups.get(access.group)
        return view.term if view is not None else 0

    def _acknowledge(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        term: int,
        answer: sessionpool.TargetAnswer,
    ) -> Result:
        """Return a write's result, unless the primary may be replaced."""
        if not self._still_leads(backend, access, term):
            raise Problem(
                Failure.IN_DOUBT, 'the primary was replaced meanwhile'
            )
        if answer.position is not None:
            self.floor = answer.position
        return _done(answer)

    def _refuse_doubt(self, answer: sessionpool.TargetAnswer) -> None:
        """Raise unless the target promised that nothing was run."""
        if answer.verdict is Verdict.TIMED_OUT:
            raise Problem(Failure.TIMED_OUT, answer.detail)
        if answer.verdict is Verdict.FAILED:
            raise Problem(Failure.FAILED, answer.detail)
        if answer.verdict is Verdict.LOST:
            raise Problem(Failure.IN_DOUBT, answer.detail)
        if answer.verdict is Verdict.REFUSED:
            raise Problem(Failure.MALFORMED, answer.detail)

    async def _read(self, op: Operation) -> Result:
        tried: set[sessionpool.SessionBackend] = set()
        floor = self._router.floor(op.access, self.floor)
        problem = Problem(Failure.BUSY, 'no target can serve the read now')
        for attempt in range(MAX_TRIES):
            backend = self._router.choose(op.access, floor, tried)
            if backend is None:
                if attempt and not op.may_hold():
                    break
                backend = await self._leader(op)
            if backend in tried:
                await asyncio.sleep(RETRY_S)
            tried.add(backend)
            leads = self._state.primary(op.access.group) is backend
            try:
                conn = await self._acquire(backend, op)
            except Problem as exc:
                problem = exc
                self._moved(op.stmt, backend, floor, problem)
                continue
            commands = self._commands(conn, op, None if leads else floor)
            answer = await self._send(
                backend, conn, commands, op.deadline, False
            )
            if answer.verdict is Verdict.DONE:
                return _done(answer)
            problem = _problem(answer)
            if answer.verdict in (Verdict.TIMED_OUT, Verdict.REFUSED):
                break
            if clocks.boottime() >= op.deadline:
                break
            self._moved(op.stmt, backend, floor, problem)
        raise problem

    # Connections.

    async def _acquire(
        self, backend: sessionpool.SessionBackend, op: Operation
    ) -> sessionpool.SessionConnection:
        wait_s = max(
            OPENING_S, op.access.route.objective_s * CONNECTION_HOLD_SHARE
        )
        limit = min(op.deadline, clocks.boottime() + wait_s)
        account = op.access.account
        try:
            conn = await backend.acquire(account, limit, self._values)
        except backends.UnreachableError as exc:
            raise Problem(Failure.BUSY, f'{backend.info.server}: {exc}')
        except sessionpool.RefusedError as exc:
            backend.avoid(sessionpool.BUSY_S)
            raise Problem(
                Failure.BUSY, f'{backend.info.server}: {exc.verdict.value}'
            )
        except errors.UnavailableError as exc:
            raise Problem(Failure.BUSY, exc.message)
        if op.deadline - clocks.boottime() < conn.rtt_s:
            # No answer could arrive in time, so nothing is sent.
            backend.release(conn, clean=True)
            raise Problem(Failure.BUSY, 'too little time is left')
        return conn

    def _setup(
        self,
        conn: sessionpool.SessionConnection,
        prepared: Prepared | None,
    ) -> list[sessionpool.Command]:
        """Return what brings a connection to this session's state."""
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

    def _commands(
        self,
        conn: sessionpool.SessionConnection,
        op: Operation,
        floor: model.Position | None,
    ) -> list[sessionpool.Command]:
        """Return what runs a statement in this session's state."""
        name = '' if op.prepared is None else op.prepared.name
        forward = sessionpool.Forward(op.stmt, floor, name)
        return [*self._setup(conn, op.prepared), forward]

    async def _send(
        self,
        backend: sessionpool.SessionBackend,
        conn: sessionpool.SessionConnection,
        commands: list[sessionpool.Command],
        deadline: float,
        writes: bool,
        keep: bool = False,
    ) -> sessionpool.TargetAnswer:
        """Run commands; give the connection back unless ``keep`` is set."""
        sent_at = clocks.boottime()
        token = object()
        if writes:
            backend.write_started(token)
        try:
            answer = await conn.run(commands, max(0.001, deadline - sent_at))
        except connections.ConnectionLostError as exc:
            backend.circuit.failure(clocks.boottime())
            backend.release(conn, clean=False)
            verdict = Verdict.LOST
            if clocks.boottime() >= deadline:
                verdict = Verdict.TIMED_OUT
            if not exc.sent:
                verdict = Verdict.BUSY
            return sessionpool.TargetAnswer(
                verdict, [], '', str(exc), State.BROKEN, None
            )
        except asyncio.CancelledError:
            backend.release(conn, clean=False)
            raise
        finally:
            backend.write_ended(token)
        self._learn(backend, answer, sent_at)
        clean = answer.state is State.IDLE and not answer.failed_setup
        if not keep:
            backend.release(conn, clean=clean)
        elif answer.failed_setup:
            backend.release(conn, clean=False)
        return answer

    def _learn(
        self,
        backend: sessionpool.SessionBackend,
        answer: sessionpool.TargetAnswer,
        sent_at: float,
    ) -> None:
        backend.answered(answer.position)
        now = clocks.boottime()
        if answer.verdict is Verdict.DONE:
            backend.circuit.success(now, now - sent_at)
            self._state.sample(backend, sent_at)
        elif answer.verdict is Verdict.FAILED:
            backend.circuit.failure(now)
        elif answer.verdict is Verdict.BEHIND:
            backend.avoid(sessionpool.BEHIND_S)
        elif answer.verdict in statements.NOT_RUN:
            backend.avoid(sessionpool.BUSY_S)

    # Statements that another entry process runs.

    def _serves(self, group: str) -> bool:
        """Return whether statements for a group are run here."""
        return self._state.serves(group)

    def _relayed(self, op: Operation) -> sessionrelay.RelayedStatement:
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
            self._relayed(op),
            op.deadline,
            Failure.IN_DOUBT if op.writes else Failure.FAILED,
        )
        return self._relay_result(answer)

    async def _relay_in_transaction(
        self, op: Operation, tx: Transaction
    ) -> Result:
        relays = self._service.relays
        req = self._relayed(op)
        owners = [tx.owner]
        if not tx.owner:
            tx.number = relays.new_number()
            req.begin = Kind.BEGIN_READ if tx.read_only else Kind.BEGIN
            owners = relays.candidates(tx.access.group)
        req.transaction = tx.number
        commits = op.stmt.kind is Kind.COMMIT
        # Without a commit, a transaction whose process is silent is lost.
        unanswered = Failure.ABORTED
        if commits and tx.wrote:
            unanswered = Failure.IN_DOUBT
        tx.owner, answer = await relays.run(
            owners, req, op.deadline, unanswered
        )
        if not answer.open:
            tx.owner = ''
        if commits:
            self.transaction = None
        elif answer.result.failure is None and not answer.open:
            raise Problem(Failure.ABORTED, 'the transaction has ended')
        return self._relay_result(answer)

    def _relay_result(self, answer: sessionrelay.RelayedResult) -> Result:
        if answer.result.failure is not None:
            raise Problem(answer.result.failure, answer.result.detail)
        if answer.floor is not None:
            self.floor = answer.floor
        return answer.result

    # Transactions.

    async def _in_transaction(
        self, stmt: statements.Statement, tx: Transaction, started: float
    ) -> Result:
        self._check_key(tx.access)
        op = Operation(stmt, self._find_prepared(stmt), tx.access, started)
        commits = stmt.kind is Kind.COMMIT
        tx.wrote = tx.wrote or op.writes
        serves = self._serves(tx.access.group)
        if tx.owner or (tx.conn is None and not serves):
            return await self._relay_in_transaction(op, tx)
        if tx.conn is None:
            await self._bind(op, tx)
        conn, backend = tx.conn, tx.backend
        if conn is None or backend is None or conn.closed:
            raise Problem(Failure.ABORTED, 'the connection was lost')
        if (
            commits
            and not tx.read_only
            and not self._still_leads(backend, tx.access, tx.term)
        ):
            raise Problem(Failure.ABORTED, 'the primary was replaced')
        commands = self._commands(conn, op, None)
        writes = commits and tx.wrote
        answer = await self._send(
            backend, conn, commands, op.deadline, writes, keep=True
        )
        if conn.closed:
            tx.conn = None
        if commits:
            return self._committed(tx, backend, answer)
        if answer.verdict is Verdict.DONE:
            return _done(answer)
        raise self._statement_problem(answer)

    def _check_key(self, access: sessionrouting.Access) -> None:
        """Raise Problem unless the key of an open transaction still holds.

        A changed route applies from the next transaction on; a withdrawn key
        ends this one.
        """
        if not self._state.config_valid():
            raise Problem(
                Failure.ABORTED, 'this process is cut off from control'
            )
        if access.account == admission.ANONYMOUS:
            return
        account = self._state.config.account_of(self._digest)
        if account is None or account.name != access.account:
            raise Problem(Failure.UNAUTHORIZED, 'the key was withdrawn')

    def _still_leads(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        term: int,
    ) -> bool:
        """Return whether lease and view are those of an earlier dispatch."""
        same = self._term(access) == term
        return same and self._state.leader(access.group) is backend

    def _statement_problem(self, answer: sessionpool.TargetAnswer) -> Problem:
        """Return why a statement failed; its transaction is rolled back."""
        if answer.verdict in (Verdict.LOST, Verdict.TIMED_OUT):
            # Without a commit, closing the connection keeps nothing.
            return Problem(Failure.ABORTED, answer.detail)
        return _problem(answer)

    async def _bind(self, op: Operation, tx: Transaction) -> None:
        """Choose a target for the transaction and begin it there."""
        access = tx.access
        floor = (
            self._router.floor(access, self.floor) if tx.read_only else None
        )
        backend = self._router.choose(access, floor) if floor else None
        if backend is None:
            backend, tx.term, conn = await self._acquire_primary(op)
        else:
            tx.term = self._term(access)
            conn = await self._acquire(backend, op)
        leads = self._state.primary(access.group) is backend
        commands = self._setup(conn, None)
        commands.append(
            sessionpool.Begin(tx.read_only, None if leads else floor)
        )
        answer = await self._send(
            backend, conn, commands, op.deadline, False, keep=True
        )
        if answer.verdict is Verdict.DONE:
            tx.backend, tx.conn = backend, conn
            return
        backend.release(conn, clean=False)
        raise self._statement_problem(answer)

    def _committed(
        self,
        tx: Transaction,
        backend: sessionpool.SessionBackend,
        answer: sessionpool.TargetAnswer,
    ) -> Result:
        conn, self.transaction = tx.conn, None
        if conn is not None:
            clean = answer.state is State.IDLE and not answer.failed_setup
            backend.release(conn, clean=clean)
        if answer.verdict is Verdict.DONE:
            if not tx.wrote:
                return _done(answer)
            return self._acknowledge(backend, tx.access, tx.term, answer)
        if not tx.wrote and answer.verdict is not Verdict.REFUSED:
            raise Problem(Failure.ABORTED, answer.detail)
        self._refuse_doubt(answer)
        raise Problem(Failure.ABORTED, answer.detail)

    def break_off(self, reason: str) -> None:
        """Roll back the transaction; the client learns of it with COMMIT."""
        tx = self.transaction
        if tx is None or tx.broken:
            return
        self._let_go(tx)
        tx.broken = reason

    def end(self) -> None:
        """End the transaction, rolling back what is open."""
        tx, self.transaction = self.transaction, None
        if tx is not None:
            self._let_go(tx)

    def _let_go(self, tx: Transaction) -> None:
        conn, backend = tx.conn, tx.backend
        tx.conn = None
        if tx.owner:
            relays = self._service.relays
            self._clean_up(relays.roll_back(tx.owner, tx.number))
            tx.owner = ''
            return
        if conn is None or backend is None:
            return
        if conn.closed or conn.calling:
            # An answer may be outstanding, so the connection is in doubt.
            backend.release(conn, clean=False)
            return
        self._clean_up(_roll_back(backend, conn))

    def _clean_up(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(work)
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    def expire(self, now: float) -> None:
        """Roll back a transaction that was idle for too long."""
        tx = self.transaction
        if tx is None or tx.broken or self.busy:
            return
        if now - tx.used_at > tx.access.route.idle_s:
            self.break_off('the transaction was idle for too long')


async def _roll_back(
    backend: sessionpool.SessionBackend, conn: sessionpool.SessionConnection
) -> None:
    try:
        answer = await conn.run([sessionpool.Rollback()], ROLLBACK_TIMEOUT_S)
    except connections.ConnectionLostError:
        backend.release(conn, clean=False)
        return
    backend.release(conn, clean=answer.state is State.IDLE)


def _done(answer: sessionpool.TargetAnswer) -> Result:
    return Result(answer.rows, answer.signature, position=answer.position)


_FAILURES = {
    Verdict.BUSY: Failure.BUSY,
    Verdict.NOT_PREPARED: Failure.BUSY,
    Verdict.BEHIND: Failure.NOT_FRESH,
    Verdict.NOT_PRIMARY: Failure.NO_PRIMARY,
    Verdict.WRONG_SERVER: Failure.BUSY,
    Verdict.TOO_MANY_CONNECTIONS: Failure.BUSY,
    Verdict.REFUSED: Failure.MALFORMED,
    Verdict.FAILED: Failure.FAILED,
    Verdict.TIMED_OUT: Failure.TIMED_OUT,
    Verdict.LOST: Failure.FAILED,
}


def _problem(answer: sessionpool.TargetAnswer) -> Problem:
    return Problem(_FAILURES[answer.verdict], answer.detail)
