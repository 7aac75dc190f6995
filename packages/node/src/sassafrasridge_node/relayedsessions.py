"""Runs statements that other entry processes relay to this one."""

import typing

from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import regionrules
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting

StatementFailure = statements.StatementFailure
StatementKind = statements.StatementKind

# Time beyond a transaction's idle limit after which this process ends it. The
# process that owns the session normally ends it first; this limit applies when
# that process is gone.
IDLE_MARGIN_S = 1.0

# Time for a call and its reply between two regions.
REPLY_MARGIN_S = 0.05

# Maximum number of relayed statements and transactions at a time: a multiple
# of the connections that all targets of a group accept.
MAX_RELAYED = 1000


class RelayedSession(sessionfront.Session):
    """Run one statement or transaction of another process's session.

    ``ends_after_statement`` tells that the transaction is to end after the
    statement in progress. ``on_idle_end`` is called when the transaction has
    ended because it was idle. ``group`` is that of the statement.
    """

    ends_after_statement = False
    _arrived_at = 0.0
    _repeatable = False
    on_idle_end: typing.Callable[[], None]
    group: str

    async def _charge(
        self, access: sessionrouting.Access, started: float
    ) -> None:
        """Do nothing: the session's own process has charged the account."""

    def _runs_here(self, group: str) -> bool:
        """Return True, so that a relayed statement is never relayed again.

        Two processes that see different serving sets would otherwise relay a
        statement back and forth.
        """
        return True

    def _require_serving(self, group: str) -> None:
        """Raise SessionError if other processes serve a group.

        The session's own process sends the statement to the next one.
        """
        if not self._state.serves(group):
            raise sessionbase.SessionError(
                StatementFailure.NO_PRIMARY,
                'this process does not serve the database',
            )

    def _wait_deadline(self, op: sessionbase.Operation) -> float:
        """Return the deadline on which a wait for the primary is based.

        If only this process can't reach the primary, another one may still
        serve the statement, so half of the time is left for it. A known
        change is waited for here, since the other processes wait as well.
        """
        latest = self._latest_answer(op)
        if self._state.primary_changes.in_progress(op.access.group):
            return latest
        return min(latest, (self._arrived_at + op.deadline) / 2)

    def _latest_answer(self, op: sessionbase.Operation) -> float:
        """Return the time by which the statement has to be answered here.

        The session's own process sends a read to another process after that.
        """
        if not self._repeatable:
            return op.deadline
        remaining_s = op.deadline - self._arrived_at
        attempt_s = sessionrelay.attempt_timeout_s(remaining_s)
        return min(op.deadline, self._arrived_at + attempt_s - REPLY_MARGIN_S)

    def load_session(self, req: sessionrelay.RelayedStatement) -> None:
        """Load the session state that came with a relayed statement."""
        self._arrived_at = clocks.boottime()
        writes = req.statement.kind is StatementKind.WRITE
        if req.prepared is not None:
            writes = req.prepared[1]
        self._repeatable = req.begin is not None or not writes
        self._values = dict(req.values)
        if req.prepared is not None:
            text, writes = req.prepared
            name = req.statement.name
            self._prepared[name] = sessionbase.PreparedStatement(text, writes)
        if req.own_writes is not None:
            self.own_writes = req.own_writes
        elif req.floor is not None:
            self.own_writes.record(self.group, req.floor)

    def is_open(self) -> bool:
        """Return whether a transaction is open and not aborted."""
        return self.session_state() is statements.TransactionState.OPEN

    def expire(self, now: float) -> None:
        """End an idle transaction that its own process did not end."""
        super().expire(now - IDLE_MARGIN_S)
        if not self.busy and not self.is_open():
            self.on_idle_end()


class RelayedSessions:
    """Run relayed statements; keep the transactions that they began."""

    def __init__(self, service: sessionfront.SessionService) -> None:
        self._service = service
        self._transactions: dict[int, RelayedSession] = {}
        self._running = 0

    async def relay(self, call: typing.Any) -> typing.Any:
        """Serve a statement call of another entry process."""
        req = sessionrelay.RelayedStatement.decode(call.body)
        return sessionrelay.encode_reply(await self.run(req))

    async def run(
        self, req: sessionrelay.RelayedStatement
    ) -> sessionrelay.RelayedResult:
        """Run a statement and return its result."""
        if req.transaction and req.begin is None:
            session = self._transactions.get(req.transaction)
            if session is None:
                return sessionrelay.failed_result(
                    StatementFailure.ABORTED, 'the transaction has ended'
                )
            if session.busy or req.statement.kind is StatementKind.ROLLBACK:
                return self._roll_back(req, session)
        else:
            if self._running + len(self._transactions) >= MAX_RELAYED:
                return sessionrelay.failed_result(
                    StatementFailure.BUSY,
                    'too many relayed statements and transactions',
                )
            try:
                session = self._open(req)
            except sessionbase.SessionError as exc:
                return sessionrelay.failed_result(exc.failure, exc.detail)
        return await self._run(session, req)

    def _open(self, req: sessionrelay.RelayedStatement) -> RelayedSession:
        number = req.transaction
        session = RelayedSession(self._service, 0, req.database, req.digest)
        session.on_idle_end = lambda: self._end_idle(number, session)
        access = session.authorize()
        session.group = access.group
        try:
            regionrules.require_own_region(self._service.state, access.regions)
        except regionrules.OutsideRegionsError as exc:
            raise sessionbase.SessionError(
                StatementFailure.OUTSIDE_REGIONS, exc.message
            )
        if req.begin is not None:
            session.begin(access, req.begin is StatementKind.BEGIN_READ)
            self._transactions[number] = session
        self._service.add(session)
        return session

    async def _run(
        self, session: RelayedSession, req: sessionrelay.RelayedStatement
    ) -> sessionrelay.RelayedResult:
        session.load_session(req)
        self._running += 1
        try:
            result = await session.execute(req.statement, req.waited_s)
        finally:
            self._running -= 1
            if session.ends_after_statement or not session.is_open():
                self._end(req.transaction, session)
        still_open = session.transaction is not None
        return sessionrelay.RelayedResult(
            result,
            session.own_writes,
            session.own_writes.position(session.group),
            still_open,
        )

    def _roll_back(
        self, req: sessionrelay.RelayedStatement, session: RelayedSession
    ) -> sessionrelay.RelayedResult:
        """End a transaction, after its statement in progress if any.

        This completes a ROLLBACK. Any other statement arrived while one was
        in progress and is refused, since a session runs one at a time.
        """
        session.ends_after_statement = True
        if not session.busy:
            self._end(req.transaction, session)
        if req.statement.kind is StatementKind.ROLLBACK:
            return sessionrelay.RelayedResult(statements.Result())
        return sessionrelay.failed_result(
            StatementFailure.ABORTED,
            'another statement of the transaction is in progress',
        )

    def _end(self, number: int, session: RelayedSession) -> None:
        self._transactions.pop(number, None)
        self._service.remove(session)

    def _end_idle(self, number: int, session: RelayedSession) -> None:
        logs.log_event(
            'guest_transaction_ended', number=number, idle_s=IDLE_MARGIN_S
        )
        self._end(number, session)
