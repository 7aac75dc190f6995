"""Effect of home regions on the statements of a session."""

import asyncio

from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionrouting

StatementFailure = statements.StatementFailure


class RegionSession(sessionbase.SessionBase):
    """Refuse or hold statements that few targets may run."""

    def _require_region(self, access: sessionrouting.Access) -> None:
        """Raise SessionError if the primary is outside the regions."""
        reason = self._router.refusal_reason(access, primary=True)
        if reason:
            raise sessionbase.SessionError(
                StatementFailure.OUTSIDE_REGIONS, reason
            )

    def _objective_at(self, op: sessionbase.Operation) -> float:
        return op.started + op.access.route.objective_s

    def _only_replicas_allowed(self, op: sessionbase.Operation) -> bool:
        """Return whether regions exclude the primary but not all targets."""
        reason = self._router.refusal_reason(op.access, primary=True)
        return bool(reason) and not self._router.refusal_reason(
            op.access, primary=False
        )

    async def _await_floor(
        self, op: sessionbase.Operation
    ) -> model.Position | None:
        """Return the log position that a replica needs for the read.

        Returns None if only the primary may serve the read. If the primary is
        outside the regions, waits for a sample of its position, which probes
        take while no statement does.
        """
        while True:
            floor = self._router.required_position(op.access, self.own_writes)
            if (
                floor is not None
                or op.access.regions is None
                or self._router.needs_primary(op.access, self.own_writes)
                or self._router.usable_primary(op.access) is not None
                or self._router.refusal_reason(op.access, primary=False)
                or clocks.boottime() >= self._objective_at(op)
            ):
                return floor
            await asyncio.sleep(sessionbase.RETRY_PAUSE_S)
