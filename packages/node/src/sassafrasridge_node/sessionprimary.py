"""Statements that only the primary may run, and the wait for it."""

import asyncio
import itertools

from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionregions
from sassafrasridge_node import sessionrouting
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
                return self._acknowledge(backend, op.access, term, answer)
            self._raise_unless_retryable(answer)
            if (
                attempt >= sessionbase.MAX_ATTEMPTS
                or not self._may_wait_for_primary(op)
            ):
                raise sessiontargets.target_error(answer)
            self._log_retry(
                op.stmt, backend, None, sessiontargets.target_error(answer)
            )
            await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
        raise AssertionError

    async def _acquire_primary(
        self, op: sessionbase.Operation
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
            except sessionbase.SessionError as exc:
                if not self._may_wait_for_primary(op):
                    raise
                self._log_retry(op.stmt, backend, None, exc)
                await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
                continue
            return backend, term, conn

    async def _wait_for_primary(
        self, op: sessionbase.Operation
    ) -> sessionpool.SessionBackend:
        """Wait briefly for a usable primary; raise SessionError."""
        while True:
            backend = self._router.usable_primary(op.access)
            if backend is not None:
                return backend
            self._require_target(op.access)
            self._require_region(op.access)
            remaining_s = self._primary_wait_s(op)
            if remaining_s <= 0 or not self._state.lease_valid():
                raise sessionbase.SessionError(
                    StatementFailure.NO_PRIMARY, 'no primary is available'
                )
            try:
                async with asyncio.timeout(
                    min(remaining_s, sessionbase.RETRY_PAUSE_S)
                ):
                    await self._state.view_changed.wait()
            except TimeoutError:
                continue

    def _primary_wait_s(self, op: sessionbase.Operation) -> float:
        """Return the seconds that a statement may still wait for a primary."""
        until = op.primary_wait_until(self._state.primary_changes)
        return until - clocks.boottime()

    def _may_wait_for_primary(self, op: sessionbase.Operation) -> bool:
        return self._primary_wait_s(op) > 0

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
            raise sessionbase.SessionError(
                StatementFailure.IN_DOUBT, 'the primary was replaced meanwhile'
            )
        if answer.position is not None:
            self.floor = answer.position
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
