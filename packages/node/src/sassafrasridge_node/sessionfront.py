"""The service that opens client sessions, and the dispatch of statements.

The state of a session is described in ``sessionbase``.
"""

import asyncio
import hashlib
import itertools
import random

from sassafrasridge_core import errors
from sassafrasridge_core import primarywait
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import metrics
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessiondrain
from sassafrasridge_node import sessionreads
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting
from sassafrasridge_node import sessionstate
from sassafrasridge_node import sessiontransactions

StatementKind = statements.StatementKind
StatementFailure = statements.StatementFailure
Result = statements.Result

# Limits on the state of one session.
MAX_SESSION_VALUES = 64
MAX_PREPARED_STATEMENTS = 256

# Period after the start of this process during which new sessions wait for
# its first lease. When all VMs start together but one control member is
# missing, an election takes up to 1.2 s and a renewal up to 0.2 s; callers
# that are refused immediately would use up their retries before that, and
# they give up after 2 s.
START_WAIT_S = 1.6

# Interval between checks for idle transactions.
EXPIRE_INTERVAL_S = 0.25


class SessionService(sessionbase.SessionContext):
    """Open and track sessions, and end transactions at shutdown."""

    def __init__(
        self,
        state: sessionstate.SessionEntryState,
        counters: metrics.Metrics,
        rng: random.Random,
        admitter: admission.Admitter,
        relays: sessionrelay.StatementRelay,
    ) -> None:
        super().__init__(state, counters, rng, admitter, relays)
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
            sessiondrain.abort_transactions(self.state, self.sessions, now)

    def has_open_transactions(self) -> bool:
        """Return whether any transaction is open."""
        return any(s.transaction is not None for s in self.sessions)

    def abort_idle_transactions(self) -> None:
        """Abort every open transaction with no statement in progress."""
        for session in list(self.sessions):
            if not session.busy:
                session.abort('this process is shutting down')


class Session(
    sessionreads.ReadingSession, sessiontransactions.TransactionSession
):
    """Run the statements of one client in order."""

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
        except sessionbase.SessionError as exc:
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
                self._decision_context,
                id=stmt.id,
                statement=stmt.kind.value,
                failure=failure.value,
                detail=result.detail,
                seconds=round(seconds, 4),
            )

    def _fail(self, exc: sessionbase.SessionError) -> Result:
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
            raise sessionbase.SessionError(
                StatementFailure.MALFORMED, 'no transaction is open'
            )
        if tx is not None:
            return await self._run_in_transaction(stmt, tx, started)
        return await self._run_single(stmt, started)

    def _run_after_abort(
        self, stmt: statements.Statement, tx: sessionbase.Transaction
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

    def _run_locally(self, stmt: statements.Statement) -> Result | None:
        if stmt.kind is StatementKind.SET:
            if len(self._values) >= MAX_SESSION_VALUES:
                raise sessionbase.SessionError(
                    StatementFailure.MALFORMED, 'too many session values'
                )
            self._values[stmt.name] = stmt.value
        elif stmt.kind is StatementKind.PREPARE:
            if len(self._prepared) >= MAX_PREPARED_STATEMENTS:
                raise sessionbase.SessionError(
                    StatementFailure.MALFORMED, 'too many prepared statements'
                )
            self._prepared[stmt.name] = sessionbase.PreparedStatement(
                stmt.value, stmt.writes
            )
        elif stmt.kind is StatementKind.DEALLOCATE:
            if self._prepared.pop(stmt.name, None) is None:
                raise sessionbase.SessionError(
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
            raise sessionbase.SessionError(
                StatementFailure.MALFORMED, 'a transaction is already open'
            )
        access = self.authorize()
        self._require_target(access)
        await self._charge(access, started)
        self.begin(access, stmt.kind is StatementKind.BEGIN_READ)
        return Result()

    async def _charge(
        self, access: sessionrouting.Access, started: float
    ) -> None:
        try:
            await self._service.admitter.charge_account(
                access.account,
                started + access.route.timeout_s - primarywait.RUN_RESERVE_S,
                access.route.priority,
            )
        except errors.RidgeError as exc:
            raise sessionbase.SessionError(
                StatementFailure.RATE_LIMITED, exc.message
            )

    async def _run_single(
        self, stmt: statements.Statement, started: float
    ) -> Result:
        prepared = self._find_prepared(stmt)
        access = self.authorize()
        self._require_target(access)
        await self._charge(access, started)
        op = sessionbase.Operation(stmt, prepared, access, started)
        if not self._runs_here(access.group):
            return await self._relay_single(op)
        try:
            if op.writes:
                return await self._write(op)
            return await self._read(op)
        except sessionbase.ServedElsewhereError:
            return await self._relay_single(op)
