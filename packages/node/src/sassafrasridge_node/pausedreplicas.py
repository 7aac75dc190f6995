"""Replicas that are paused outside changes of primary.

Those that a change left paused are resumed. Those that leave are paused, so
that they confirm no commits which would leave with them.
"""

import asyncio
import collections.abc

from sassafrasridge_core import directory
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import grouporders
from sassafrasridge_node import groups
from sassafrasridge_node import logs

# Interval at which replicas that may be paused are asked again.
CHECK_INTERVAL_S = 1.0
# Most replicas asked at once. A new leader of many groups asks all in turn.
CHECKS_AT_ONCE = 8


class PausedReplicas:
    """Resume replicas until each has answered that it isn't paused.

    An order to resume, or its answer, may be lost, and an earlier order to
    pause may arrive after it. A new control leader asks every replica once.

    A replica that leaves is paused while another one follows the primary.
    Commits that only the leaving one confirmed would be lost if the primary
    failed after its end.
    """

    def __init__(
        self,
        orders: grouporders.GroupOrders,
        store: groups.GroupStore,
        targets: directory.TargetDirectory,
    ) -> None:
        self._orders = orders
        self._store = store
        self._targets = targets
        # Replicas that answered since the last change, by group.
        self._receiving: dict[str, set[str]] = {}
        # Positions of primaries when leaving replicas were last checked.
        self._primary_positions: dict[str, model.Position] = {}
        # When a replica that hasn't answered was last asked.
        self._asked_at: dict[str, float] = {}

    def forget(self, group: str) -> None:
        """Forget the answers of a group, whose replicas are to be paused."""
        self._receiving.pop(group, None)
        self._primary_positions.pop(group, None)

    async def resume(
        self, replicas: collections.abc.Iterable[model.TargetInfo]
    ) -> None:
        """Order replicas to receive commits again, once."""
        await asyncio.gather(*(self._resume(info) for info in replicas))

    async def run(self) -> None:
        """Check all groups at intervals, until cancelled."""
        while True:
            await self.check_all()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check_all(self) -> None:
        """Check replicas of reconciled groups, the longest unasked first."""
        replicas = [
            info
            for info in self._targets.targets()
            if self._is_replica(info)
            and (
                info.leaving
                or info.server not in self._receiving.get(info.group, ())
            )
        ]
        replicas.sort(key=lambda info: self._asked_at.get(info.server, 0.0))
        await asyncio.gather(
            *(self._check(info) for info in replicas[:CHECKS_AT_ONCE])
        )

    def _is_replica(self, info: model.TargetInfo) -> bool:
        """Return whether a target is to follow the group's primary."""
        view = self._store.view(info.group)
        return (
            view is not None
            and not view.changing
            and view.primary != info.server
        )

    async def _check(self, info: model.TargetInfo) -> None:
        """Resume a replica that is still paused; pause one that leaves."""
        self._asked_at[info.server] = clocks.boottime()
        status = await self._orders.status(info)
        if status is None or not self._is_replica(info):
            return
        if info.leaving:
            await self._check_leaving(info, status)
        elif status.held_term:
            logs.log_event(
                'replica_still_paused', group=info.group, server=info.server
            )
            await self._resume(info)
        else:
            self._note_receiving(info)

    async def _check_leaving(
        self, info: model.TargetInfo, status: grouporders.ServerStatus
    ) -> None:
        """Pause a replica that leaves while another one has its commits.

        Without another one, commits need it until its end. The other one must
        also have received what the primary had at the last check.
        """
        statuses = await self._request_others(info)
        least = self._primary_positions.get(info.group, status.received)
        followers = [
            other
            for other in statuses
            if not other.primary
            and not other.held_term
            and other.received >= max(least, status.received)
        ]
        for other in statuses:
            if other.primary:
                self._primary_positions[info.group] = other.received
        view = self._store.view(info.group)
        if view is None or not self._is_replica(info):
            return
        if followers and not status.held_term:
            self._receiving.get(info.group, set()).discard(info.server)
            logs.log_event(
                'leaving_replica_paused', group=info.group, server=info.server
            )
            terms = [status.term, *(other.term for other in followers)]
            await self._orders.pause(info, max(view.log_term, *terms) + 1)
        elif status.held_term and not followers:
            logs.log_event(
                'leaving_replica_resumed', group=info.group, server=info.server
            )
            await self._resume(info)

    async def _request_others(
        self, info: model.TargetInfo
    ) -> list[grouporders.ServerStatus]:
        """Return the statuses of a group's other targets that stay."""
        statuses = await asyncio.gather(
            *(
                self._orders.status(other)
                for other in self._targets.group(info.group).values()
                if other.server != info.server and not other.leaving
            )
        )
        return [status for status in statuses if status is not None]

    async def _resume(self, info: model.TargetInfo) -> None:
        status = await self._orders.resume(info)
        if status is not None and not status.held_term:
            self._note_receiving(info)

    def _note_receiving(self, info: model.TargetInfo) -> None:
        self._asked_at.pop(info.server, None)
        self._receiving.setdefault(info.group, set()).add(info.server)
