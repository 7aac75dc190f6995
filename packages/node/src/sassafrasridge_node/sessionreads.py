"""Reads outside a transaction."""

import asyncio

from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionprimary
from sassafrasridge_node import sessiontargets

ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
Result = statements.Result


# Maximum number of attempts to run a read on replicas, with a pause after each
# replica was tried, while the primary is outside the regions of the read.
MAX_REPLICA_ATTEMPTS = 24


class ReadingSession(sessionprimary.PrimarySession):
    """Run the single reads of a session on replicas or the primary."""

    async def _read(self, op: sessionbase.Operation) -> Result:
        tried: set[sessionpool.SessionBackend] = set()
        floor = await self._await_floor(op)
        error = sessionbase.SessionError(
            StatementFailure.BUSY, 'no target is available for the read'
        )
        attempts = sessionbase.MAX_ATTEMPTS
        if floor is not None and self._only_replicas_allowed(op):
            attempts = MAX_REPLICA_ATTEMPTS
        for attempt in range(attempts):
            backend = self._router.choose_target(op.access, floor, tried)
            if backend is None and attempts == MAX_REPLICA_ATTEMPTS:
                # The primary is outside the regions, so only the replicas in
                # them are left, which may have caught up meanwhile.
                if clocks.boottime() >= self._objective_at(op):
                    break
                tried.clear()
                await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
                continue
            if backend is None:
                if attempt and not self._may_wait_for_primary(op):
                    break
                backend = await self._wait_for_primary(op)
            if backend in tried:
                await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
            tried.add(backend)
            is_primary = self._state.primary(op.access.group) is backend
            try:
                conn = await self._acquire(backend, op)
            except sessionbase.SessionError as exc:
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
                return sessiontargets.success(answer)
            error = sessiontargets.target_error(answer)
            if answer.result_code in (
                ResultCode.TIMED_OUT,
                ResultCode.REFUSED,
            ):
                break
            if clocks.boottime() >= op.deadline:
                break
            self._log_retry(op.stmt, backend, floor, error)
        raise error
