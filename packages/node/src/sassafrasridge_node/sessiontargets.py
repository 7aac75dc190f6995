"""Execution of statements on the connections of targets."""

import asyncio

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_core import statements
from sassafrasridge_core import targetcapacity
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrouting
from sassafrasridge_node import targetload

ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState
Result = statements.Result

# Share of the remaining time that a read may wait for one target while there
# are others, so that it can move on from a long queue and be served in time.
TARGET_WAIT_SHARE = 0.5

# Lower limit of that wait: opening a connection to a target in another region
# takes three round trips of 40 ms and processing time at the target.
MIN_TARGET_WAIT_S = 0.25


class TargetSession(sessionbase.SessionBase):
    """Run the statements of a session on connections to targets."""

    async def _acquire(
        self,
        backend: sessionpool.SessionBackend,
        op: sessionbase.Operation,
        needs_primary: bool,
        has_others: bool = False,
    ) -> sessionpool.SessionConnection:
        """Wait for a connection as long as the statement can be served.

        ``has_others`` tells that other targets may run the statement. Raises
        SessionError; the statement has not run.
        """
        work = self._work(backend, op.access, op.started, needs_primary)
        now = clocks.boottime()
        wait_until = self._latest_answer(op) - work.run_s
        if has_others:
            wait_s = (wait_until - now) * TARGET_WAIT_SHARE
            wait_s = max(wait_s, MIN_TARGET_WAIT_S)
            wait_until = min(wait_until, now + wait_s)
        account = op.access.account
        try:
            conn = await backend.acquire(
                account, work, wait_until, self._values
            )
        except backends.ReplacedError:
            raise sessionbase.SessionError(
                StatementFailure.NO_PRIMARY, 'the primary was replaced'
            )
        except backends.UnreachableError as exc:
            self._suspect_change(backend)
            if needs_primary:
                raise sessionbase.SessionError(
                    StatementFailure.NO_PRIMARY, f'the primary: {exc}'
                )
            raise sessionbase.SessionError(
                StatementFailure.BUSY, f'{backend.info.server}: {exc}'
            )
        except sessionpool.TargetRefusedError as exc:
            backend.avoid(sessionpool.BUSY_AVOID_S)
            raise sessionbase.SessionError(
                StatementFailure.BUSY,
                f'{backend.info.server}: {exc.result_code.value}',
            )
        except errors.UnavailableError as exc:
            self._service.metrics.count_refusal(exc.kind)
            raise sessionbase.RefusedError(StatementFailure.BUSY, exc.message)
        if op.deadline - clocks.boottime() < conn.rtt_s:
            # An answer can't arrive before the deadline, so send nothing.
            backend.release(conn, clean=True)
            raise sessionbase.RefusedError(
                StatementFailure.BUSY,
                'too little time is left before the deadline',
            )
        return conn

    async def _wait_for_rate(
        self, backend: sessionpool.SessionBackend, op: sessionbase.Operation
    ) -> None:
        """Wait until a cold target may get a transaction's next statement."""
        try:
            await backend.wait_for_rate(op.deadline)
        except errors.UnavailableError as exc:
            raise sessionbase.SessionError(StatementFailure.BUSY, exc.message)

    def _latest_answer(self, op: sessionbase.Operation) -> float:
        """Return the time by which the statement has to be answered here."""
        return op.deadline

    def _work(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        started: float,
        needs_primary: bool,
    ) -> scheduling.Work:
        """Return the description of a statement for the target's queue."""
        classes = self._state.work_classes
        work_class = classes.work_class(access.account, access.route)
        return classes.work(
            access.account,
            access.route,
            access.group,
            started,
            backend.run_times.expected_s(work_class.priority),
            self.transaction is not None,
            needs_primary,
        )

    def _build_setup(
        self,
        conn: sessionpool.SessionConnection,
        prepared: sessionbase.PreparedStatement | None,
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
        op: sessionbase.Operation,
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
        info = backend.info
        sent = self._state.sent_request(info.group, info.server)
        token = object()
        if writes:
            backend.write_started(token)
        kind = _statement_kind(self.database, commands, writes, keep)
        ended_with: ResultCode | None = None
        backend.statement_started(conn, kind)
        try:
            answer = await conn.run(
                commands, max(0.001, deadline - sent.sent_at)
            )
            ended_with = answer.result_code
        except connections.ConnectionLostError as exc:
            backend.circuit.failure(clocks.boottime())
            self._suspect_change(backend)
            result_code = ResultCode.LOST
            if clocks.boottime() >= deadline:
                result_code = ResultCode.TIMED_OUT
            ended_with = result_code
            if not exc.sent:
                result_code, ended_with = ResultCode.BUSY, None
            backend.statement_ended(conn, ended_with)
            backend.release(conn, clean=False)
            return sessionpool.TargetAnswer(
                result_code, [], '', str(exc), TransactionState.BROKEN, None
            )
        except asyncio.CancelledError:
            backend.release(conn, clean=False)
            raise
        finally:
            backend.write_ended(token)
            backend.statement_ended(conn, ended_with)
        if answer.result_code is ResultCode.DONE:
            backend.statement_done(conn, clocks.boottime() - sent.sent_at)
        self._record_answer(backend, answer, sent)
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
        sent: entry.SentRequest,
    ) -> None:
        backend.answered(answer.position)
        self._state.check_log(backend, answer.position, sent)
        now = clocks.boottime()
        if answer.result_code is ResultCode.NOT_PRIMARY:
            self._suspect_change(backend)
        if answer.result_code is ResultCode.DONE:
            self._state.primary_reached(backend)
            backend.circuit.success(now, now - sent.sent_at)
            self._state.sample_position(backend, answer.position, sent)
        elif answer.result_code is ResultCode.FAILED:
            backend.circuit.failure(now)
        elif answer.result_code is ResultCode.BEHIND:
            if backend.load is None:
                backend.avoid(sessionpool.BEHIND_AVOID_S)
        elif answer.result_code in statements.NOT_RUN_CODES:
            backend.avoid(sessionpool.BUSY_AVOID_S)

    def _suspect_change(self, backend: sessionpool.SessionBackend) -> None:
        """Record a sign that a target, if it is a primary, is replaced."""
        group = backend.info.group
        if self._state.primary(group) is backend:
            self._state.primary_changes.suspect(clocks.boottime(), group)


def _statement_kind(
    database: str,
    commands: list[sessionpool.Command],
    writes: bool,
    in_transaction: bool,
) -> targetcapacity.Kind:
    """Return the kind by which a statement's time is learned."""
    stmt = next(
        (c.statement for c in commands if isinstance(c, sessionpool.Forward)),
        None,
    )
    return targetload.statement_kind(database, stmt, writes, in_transaction)


def success(answer: sessionpool.TargetAnswer) -> Result:
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


def target_error(answer: sessionpool.TargetAnswer) -> sessionbase.SessionError:
    return sessionbase.SessionError(
        _FAILURE_BY_RESULT_CODE[answer.result_code], answer.detail
    )
