"""Reads outside a transaction."""

import asyncio

from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import replicareads
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionprimary
from sassafrasridge_node import sessiontargets

ResultCode = statements.ResultCode
StatementFailure = statements.StatementFailure
Result = statements.Result


class ReadingSession(sessionprimary.PrimarySession):
    """Run the single reads of a session on replicas or the primary."""

    async def _read(self, op: sessionbase.Operation) -> Result:
        tried: set[sessionpool.SessionBackend] = set()
        behind: set[sessionpool.SessionBackend] = set()
        floor = self._router.required_position(op.access, self.floor)
        error = sessionbase.SessionError(
            StatementFailure.BUSY, 'no target is available for the read'
        )
        for attempt in range(sessionbase.MAX_ATTEMPTS):
            if attempt < sessionbase.MAX_ATTEMPTS - 1:
                await self._wait_for_replica(op, floor, tried)
            else:
                # The last attempt is for a target that certainly is not
                # behind, which is the primary if all replicas were.
                tried |= behind
            backend = self._router.choose_target(op.access, floor, tried)
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
            sent_at = clocks.boottime()
            answer = await self._send(
                backend, conn, commands, op.deadline, False
            )
            if floor is not None and not is_primary:
                replicareads.record_read(
                    backend,
                    self._state.timeline(op.access.group),
                    floor,
                    sent_at,
                    answer.result_code,
                )
            if answer.result_code is ResultCode.DONE:
                return sessiontargets.success(answer)
            error = sessiontargets.target_error(answer)
            if answer.result_code is ResultCode.BEHIND:
                behind.add(backend)
            if answer.result_code in (
                ResultCode.TIMED_OUT,
                ResultCode.REFUSED,
            ):
                break
            if clocks.boottime() >= op.deadline:
                break
            self._log_retry(op.stmt, backend, floor, error)
        raise error

    async def _wait_for_replica(
        self,
        op: sessionbase.Operation,
        floor: model.Position | None,
        tried: set[sessionpool.SessionBackend],
    ) -> None:
        """Wait while no replica has the position, as long as that helps.

        Replicas that were behind may be tried again afterwards.
        """
        route = op.access.route
        until = op.started + min(route.objective_s, route.timeout_s)
        while True:
            wait_s = self._router.replica_wait_s(
                op.access, floor, tried, until
            )
            if not wait_s:
                return
            await asyncio.sleep(wait_s)
            tried.difference_update(self._router.replicas(op.access))
