"""Transactions of a session."""

import asyncio
import collections.abc
import typing

from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import connections
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionprimary
from sassafrasridge_node import sessionrelaying
from sassafrasridge_node import sessionrouting
from sassafrasridge_node import sessiontargets

StatementKind = statements.StatementKind
ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState
Result = statements.Result

# Timeout of a rollback: many times a round trip between regions plus the
# processing time at the target.
ROLLBACK_TIMEOUT_S = 1.0


class TransactionSession(
    sessionprimary.PrimarySession, sessionrelaying.RelayingSession
):
    """Run the transaction of a session on one connection."""

    def begin(self, access: sessionrouting.Access, read_only: bool) -> None:
        """Open a transaction; no target is involved until one is needed."""
        self.transaction = sessionbase.Transaction(access, read_only)

    async def _run_in_transaction(
        self,
        stmt: statements.Statement,
        tx: sessionbase.Transaction,
        started: float,
    ) -> Result:
        self._check_key(tx.access)
        op = sessionbase.Operation(
            stmt, self._find_prepared(stmt), tx.access, started
        )
        commits = stmt.kind is StatementKind.COMMIT
        tx.has_writes = tx.has_writes or op.writes
        serves = self._runs_here(tx.access.group)
        if tx.owner or (tx.conn is None and not serves):
            return await self._relay_in_transaction(op, tx)
        if tx.conn is None:
            try:
                await self._begin_on_target(op, tx)
            except sessionbase.ServedElsewhereError:
                return await self._relay_in_transaction(op, tx)
        if tx.backend is not None:
            await self._wait_for_rate(tx.backend, op)
        conn, backend = tx.conn, tx.backend
        if conn is None or backend is None or conn.closed:
            raise sessionbase.SessionError(
                StatementFailure.ABORTED, 'the connection was lost'
            )
        if (
            commits
            and not tx.read_only
            and not self._is_same_primary(backend, tx.access, tx.term)
        ):
            raise sessionbase.SessionError(
                StatementFailure.ABORTED, 'the primary was replaced'
            )
        commands = self._build_commands(conn, op, None)
        writes = commits and tx.has_writes
        tx.committing = commits
        answer = await self._send(
            backend, conn, commands, op.deadline, writes, keep=True
        )
        lost = conn.closed
        if lost:
            # Closed by ``_send`` after a failed setup, or with the pool.
            backend.release(conn, clean=False)
            tx.conn = None
        if commits:
            return await self._finish_commit(tx, op, backend, answer)
        if answer.result_code is ResultCode.DONE:
            if lost:
                # The target rolls the transaction back, so a later COMMIT
                # must not succeed.
                raise sessionbase.SessionError(
                    StatementFailure.ABORTED, 'the connection was lost'
                )
            return sessiontargets.success(answer)
        raise self._statement_error(answer)

    def _check_key(self, access: sessionrouting.Access) -> None:
        """Raise SessionError if the transaction's key is no longer valid.

        A withdrawn key ends the transaction; a changed route applies only
        from the next transaction on.
        """
        if not self._state.config_valid():
            raise sessionbase.SessionError(
                StatementFailure.ABORTED,
                'this entry process has no valid lease',
            )
        if access.account == admission.ANONYMOUS:
            return
        account = self._state.config.account_by_key_digest(self._digest)
        if account is None or account.name != access.account:
            raise sessionbase.SessionError(
                StatementFailure.UNAUTHORIZED, 'the key was withdrawn'
            )

    def _statement_error(
        self, answer: sessionpool.TargetAnswer
    ) -> sessionbase.SessionError:
        """Return the error of a statement whose transaction is rolled back."""
        if answer.result_code in (ResultCode.LOST, ResultCode.TIMED_OUT):
            # The connection closed before COMMIT, so nothing was committed.
            return sessionbase.SessionError(
                StatementFailure.ABORTED, answer.detail
            )
        return sessiontargets.target_error(answer)

    async def _begin_on_target(
        self, op: sessionbase.Operation, tx: sessionbase.Transaction
    ) -> None:
        """Choose a target and begin the transaction there."""
        access = tx.access
        floor = await self._await_floor(op) if tx.read_only else None
        backend = self._router.choose_target(access, floor) if floor else None
        if backend is None:
            backend, tx.term, conn = await self._acquire_primary(op)
        else:
            tx.term = self._view_term(access)
            conn = await self._acquire(backend, op, needs_primary=False)
        is_primary = self._state.primary(access.group) is backend
        required = floor
        if is_primary:
            required = self._state.reported_position(backend)
        commands = self._build_setup(conn, None)
        commands.append(sessionpool.Begin(tx.read_only, required))
        decision = self._service.read_log.sending(
            op.stmt.id, backend, required, self.own_writes, is_primary
        )
        answer = await self._send(
            backend, conn, commands, op.deadline, False, keep=True
        )
        self._service.read_log.answered(decision, answer)
        if answer.result_code is ResultCode.DONE:
            tx.backend, tx.conn = backend, conn
            return
        backend.release(conn, clean=False)
        raise self._statement_error(answer)

    async def _finish_commit(
        self,
        tx: sessionbase.Transaction,
        op: sessionbase.Operation,
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
                return sessiontargets.success(answer)
            return await self._acknowledge(backend, op, tx.term, answer)
        if not tx.has_writes and answer.result_code is not ResultCode.REFUSED:
            raise sessionbase.SessionError(
                StatementFailure.ABORTED, answer.detail
            )
        self._raise_unless_retryable(answer)
        raise sessionbase.SessionError(StatementFailure.ABORTED, answer.detail)

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

    def _roll_back_open(self, tx: sessionbase.Transaction) -> None:
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
