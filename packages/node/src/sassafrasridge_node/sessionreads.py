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


# Maximum number of attempts to run a read on replicas, with a pause after each
# replica was tried, while the primary is outside the regions of the read.
MAX_REPLICA_ATTEMPTS = 24
# Share of the objective that a read may wait for a replica's position. The
# rest is for the primary if the replica is later than expected.
REPLICA_WAIT_SHARE = 0.4


class ReadingSession(sessionprimary.PrimarySession):
    """Run the single reads of a session on replicas or the primary."""

    async def _read(self, op: sessionbase.Operation) -> Result:
        tried: set[sessionpool.SessionBackend] = set()
        behind: set[sessionpool.SessionBackend] = set()
        floor = await self._await_floor(op)
        error = sessionbase.SessionError(
            StatementFailure.BUSY, 'no target is available for the read'
        )
        attempts = sessionbase.MAX_ATTEMPTS
        if floor is not None and self._only_replicas_allowed(op):
            attempts = MAX_REPLICA_ATTEMPTS
        for attempt in range(attempts):
            if floor is None:
                backend, _, conn = await self._acquire_primary(op)
            else:
                if attempt < attempts - 1:
                    await self._wait_for_replica(op, floor, tried)
                else:
                    # The last attempt is for a target that certainly is not
                    # behind, which is the primary if all replicas were.
                    tried |= behind
                if attempts == MAX_REPLICA_ATTEMPTS and not (
                    self._router.choose_target(op.access, floor, tried)
                ):
                    # The primary is outside the regions, so only the replicas
                    # in them are left, which may have caught up meanwhile.
                    if clocks.boottime() >= self._objective_at(op):
                        break
                    tried.clear()
                    await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
                    continue
                backend, has_others = await self._choose_for_read(
                    op, floor, tried
                )
                if backend in tried:
                    await self._pause_before_retry(op, backend, attempt, error)
                tried.add(backend)
                try:
                    conn = await self._acquire(backend, op, False, has_others)
                except sessionbase.SessionError as exc:
                    error = exc
                    self._log_retry(op.stmt, backend, floor, error)
                    continue
            is_primary = self._state.primary(op.access.group) is backend
            required = floor
            if is_primary:
                required = self._state.reported_position(backend)
            commands = self._build_commands(conn, op, required)
            decision = self._service.read_log.sending(
                op.stmt.id, backend, required, self.own_writes, is_primary
            )
            sent_at = clocks.boottime()
            answer = await self._send(
                backend, conn, commands, op.deadline, False
            )
            self._service.read_log.answered(decision, answer)
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

    async def _choose_for_read(
        self,
        op: sessionbase.Operation,
        floor: model.Position,
        tried: set[sessionpool.SessionBackend],
    ) -> tuple[sessionpool.SessionBackend, bool]:
        """Return the next target for a read, and whether there are others.

        Waits for a target if none can serve the read. Raises SessionError.
        """
        choose = self._router.choose_target
        backend = choose(op.access, floor, tried)
        if backend is not None:
            others = choose(op.access, floor, {*tried, backend})
            return backend, others is not None
        # Every target was tried, or none is usable.
        backend = await self._wait_for_target(
            op, lambda: choose(op.access, floor)
        )
        return backend, False

    async def _wait_for_replica(
        self,
        op: sessionbase.Operation,
        floor: model.Position,
        tried: set[sessionpool.SessionBackend],
    ) -> None:
        """Wait while no replica has the position, as long as that helps.

        Replicas that were behind may be tried again afterwards.
        """
        wait_s = op.access.route.objective_s * REPLICA_WAIT_SHARE
        until = min(op.started + wait_s, self._latest_answer(op))
        while True:
            pause_s = self._router.replica_wait_s(
                op.access, floor, tried, until
            )
            if not pause_s:
                return
            await asyncio.sleep(pause_s)
            tried.difference_update(self._router.replicas(op.access))
