"""Statements that only the primary may run, and the wait for it."""

import asyncio
import collections.abc
import itertools

from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import confirmations
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionregions
from sassafrasridge_node import sessiontargets

ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
Result = statements.Result


class PrimarySession(
    sessiontargets.TargetSession, sessionregions.RegionSession
):
    """Run the statements of a session that need the primary."""

    async def _write(self, op: sessionbase.Operation) -> Result:
        for attempt in itertools.count(1):
            backend, term, conn = await self._acquire_primary(op)
            commands = self._build_commands(conn, op, None)
            answer = await self._send(
                backend, conn, commands, op.deadline, True
            )
            if answer.result_code is ResultCode.DONE:
                return await self._acknowledge(backend, op, term, answer)
            self._raise_unless_retryable(answer)
            error = sessiontargets.target_error(answer)
            limited = answer.result_code is not ResultCode.NOT_PRIMARY
            if limited and attempt >= sessionbase.MAX_ATTEMPTS:
                raise error
            await self._pause_before_retry(op, backend, attempt, error)
        raise AssertionError

    async def _acquire_primary(
        self, op: sessionbase.Operation
    ) -> tuple[sessionpool.SessionBackend, int, sessionpool.SessionConnection]:
        """Wait for the primary and a connection to it.

        Returns the primary, the term of its view and the connection. Raises
        SessionError.
        """
        for attempt in itertools.count(1):
            backend = await self._wait_for_primary(op)
            term = self._view_term(op.access)
            try:
                conn = await self._acquire(backend, op, needs_primary=True)
            except sessionbase.RefusedError:
                raise
            except sessionbase.SessionError as exc:
                await self._pause_before_retry(op, backend, attempt, exc)
                continue
            return backend, term, conn
        raise AssertionError

    async def _pause_before_retry(
        self,
        op: sessionbase.Operation,
        backend: sessionpool.SessionBackend,
        attempt: int,
        error: sessionbase.SessionError,
    ) -> None:
        """Wait before a statement is retried that the primary did not run.

        Raises ``error`` if a retry can't be served in time.
        """
        now = clocks.boottime()
        changes, group = self._state.primary_changes, op.access.group
        if backend.silent(now):
            changes.suspect(now, group)
        until = changes.retry_until(now, group, self._wait_deadline(op))
        if until is None or until <= now:
            raise error
        self._log_retry(op.stmt, backend, None, error)
        pause_s = min(
            sessionbase.RETRY_PAUSE_S * 2 ** (attempt - 1),
            sessionbase.MAX_RETRY_PAUSE_S,
            until - now,
        )
        await self._wait_for_view(pause_s)

    async def _wait_for_view(self, timeout_s: float) -> None:
        """Wait until a new view arrives, at most for the given time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._state.view_changed.wait()
        except TimeoutError:
            return

    def _wait_deadline(self, op: sessionbase.Operation) -> float:
        """Return the deadline on which a wait for the primary is based."""
        return self._latest_answer(op)

    async def _wait_for_primary(
        self, op: sessionbase.Operation
    ) -> sessionpool.SessionBackend:
        """Wait for a usable primary; raise SessionError."""
        return await self._wait_for_target(
            op, lambda: self._router.usable_primary(op.access)
        )

    async def _wait_for_target(
        self,
        op: sessionbase.Operation,
        find: collections.abc.Callable[[], sessionpool.SessionBackend | None],
    ) -> sessionpool.SessionBackend:
        """Wait until ``find`` returns a target.

        Raises SessionError or ServedElsewhereError.
        """
        changes, group = self._state.primary_changes, op.access.group
        while True:
            backend = find()
            if backend is not None:
                return backend
            self._require_serving(group)
            self._require_target(op.access)
            self._require_region(op.access)
            now = clocks.boottime()
            if self._state.usable_primary(group) is None:
                changes.suspect(now, group)
            until = changes.retry_until(now, group, self._wait_deadline(op))
            if until is None or until <= now or not self._state.lease_valid():
                raise sessionbase.SessionError(
                    StatementFailure.NO_PRIMARY, 'no primary is available'
                )
            await self._wait_for_view(
                min(until - now, sessionbase.RETRY_PAUSE_S)
            )

    async def _acknowledge(
        self,
        backend: sessionpool.SessionBackend,
        op: sessionbase.Operation,
        term: int,
        answer: sessionpool.TargetAnswer,
    ) -> Result:
        """Return a write's result once a listed replica has received it.

        Raises SessionError if that isn't certain or the primary changed.
        """
        access = op.access
        if answer.position is not None:
            found = await self._state.confirmations.wait(
                access.group,
                answer.position,
                op.deadline,
                lambda: self._is_same_primary(backend, access, term),
            )
            self._service.metrics.count_confirmation(found.value)
            if found is confirmations.Confirmation.LACKING:
                raise sessionbase.SessionError(
                    StatementFailure.IN_DOUBT,
                    'no listed replica is known to have received the commit',
                )
        if not self._is_same_primary(backend, access, term):
            raise sessionbase.SessionError(
                StatementFailure.IN_DOUBT, 'the primary was replaced meanwhile'
            )
        self.own_writes.record(access.group, answer.position)
        if answer.position is not None:
            self._state.record_acknowledged(access.group, answer.position)
        return sessiontargets.success(answer)

    def _raise_unless_retryable(
        self, answer: sessionpool.TargetAnswer
    ) -> None:
        """Raise SessionError unless nothing ran and a retry may succeed."""
        if answer.result_code is ResultCode.TIMED_OUT:
            raise sessionbase.SessionError(
                StatementFailure.TIMED_OUT, answer.detail
            )
        if answer.result_code is ResultCode.FAILED:
            raise sessionbase.SessionError(
                StatementFailure.FAILED, answer.detail
            )
        if answer.result_code is ResultCode.LOST:
            raise sessionbase.SessionError(
                StatementFailure.IN_DOUBT, answer.detail
            )
        if answer.result_code is ResultCode.REFUSED:
            raise sessionbase.SessionError(
                StatementFailure.MALFORMED, answer.detail
            )
