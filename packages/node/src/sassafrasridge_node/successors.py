"""Replicas that can take over from a primary which isn't to stay one.

A target that is leaving, or whose zone is drained, has to lead if it alone
holds the last commits of its group. It is published as the primary only if no
other target can replace it in time.
"""

import asyncio
import collections.abc

from sassafrasridge_core import model
from sassafrasridge_core import primarywait
from sassafrasridge_node import clocks
from sassafrasridge_node import grouporders
from sassafrasridge_node import logs
from sassafrasridge_node import pausedreplicas

# Longest time for which a promoted target is not published. Statements wait
# for a change of primary for as long.
MAX_WITHHELD_S = primarywait.MAX_EXPECTED_S

# Longest wait for a replica to reach the position of a primary that is to step
# down, before the next attempt. The usual replication delay is below 0.1 s.
SUCCESSOR_WAIT_S = 1.0


class Successors:
    """Decide whether acting primaries can be replaced by other targets."""

    def __init__(
        self,
        orders: grouporders.GroupOrders,
        paused_replicas: pausedreplicas.PausedReplicas,
        is_drained: collections.abc.Callable[[float, model.TargetInfo], bool],
        may_use: collections.abc.Callable[[model.TargetInfo], bool],
    ) -> None:
        self._orders = orders
        self._paused_replicas = paused_replicas
        self._is_drained = is_drained
        self._may_use = may_use
        # Since when promoted targets are not published, by group.
        self._withheld_since: dict[str, float] = {}
        # Groups whose leaving primary was published without a successor.
        self._lacking: set[str] = set()
        # Groups for which a wait outside drained zones was logged.
        self._logged: set[str] = set()

    def is_lacking(self, group: str) -> bool:
        """Return whether a leaving target leads for want of a successor."""
        return group in self._lacking

    def published(self, primary: model.TargetInfo) -> None:
        """Note that the group's view has a primary again."""
        now = clocks.boottime()
        since = self._withheld_since.pop(primary.group, None)
        if not primary.leaving:
            self._lacking.discard(primary.group)
        elif since is not None:
            self._lacking.add(primary.group)
        if not self._may_stay(primary):
            logs.log_event(
                'leaving_primary_published',
                group=primary.group,
                server=primary.server,
                leaving=primary.leaving,
                withheld_s=0.0 if since is None else round(now - since, 3),
            )

    async def may_step_down(
        self,
        targets: dict[str, model.TargetInfo],
        primary: grouporders.ServerStatus,
        statuses: list[grouporders.ServerStatus],
    ) -> bool:
        """Return whether a working primary may step down.

        Once it has stepped down, replicas receive no more, and only the
        furthest of all can be promoted. So one in a drained zone must not do
        so before a replica outside is as far as any other, nor one that is
        leaving before a replica has its log, if another target is silent.
        """
        now, info = clocks.boottime(), targets[primary.server]
        if not self._needs_successor(now, info):
            return True
        drained = self._is_drained(now, info)
        answered = {s.server for s in statuses}
        if info.group not in self._lacking and all(
            other.server in answered and (self._may_use(other) or not drained)
            for other in targets.values()
            if other.server != primary.server
        ):
            return True
        deadline = now + SUCCESSOR_WAIT_S
        while self._needs_successor(clocks.boottime(), info):
            if self.found(targets, primary, statuses):
                self._logged.discard(info.group)
                return True
            if clocks.boottime() > deadline:
                found = {s.server for s in statuses}
                self._log_no_successor(info, sorted(set(targets) - found))
                if info.leaving:
                    self._lacking.add(info.group)
                return False
            await asyncio.sleep(grouporders.STATUS_POLL_INTERVAL_S)
            statuses = await self._request_statuses(targets)
        # The order was withdrawn, so the primary may keep its role.
        return False

    async def withhold(
        self,
        targets: dict[str, model.TargetInfo],
        primary: grouporders.ServerStatus,
    ) -> bool:
        """Return, and record, whether a promoted target isn't published."""
        now, info = clocks.boottime(), targets[primary.server]
        if self._may_stay(info):
            return False
        since = self._withheld_since.get(info.group, now)
        others = {
            name: other
            for name, other in targets.items()
            if name != primary.server and self._may_stay(other)
        }
        found = []
        if now <= since + MAX_WITHHELD_S:
            found = await grouporders.request_statuses(
                self._orders, others, grouporders.STATUS_WAIT_S
            )
        if found:
            self._withheld_since.setdefault(info.group, now)
            logs.log_event(
                'promoted_target_withheld',
                group=info.group,
                server=info.server,
                leaving=info.leaving,
                received=model.position_text(primary.received),
                successors={
                    s.server: model.position_text(s.received) for s in found
                },
                withheld_s=round(now - since, 3),
            )
        return bool(found)

    async def catch_up(
        self,
        targets: dict[str, model.TargetInfo],
        primary: grouporders.ServerStatus,
        failed: str,
    ) -> list[grouporders.ServerStatus]:
        """Wait until a replica can replace a target that isn't published.

        Returns the last statuses when there is one, the wait was too long, the
        target no longer acts as primary, or it may stay the primary by now.
        """
        info = targets[primary.server]
        deadline = self._withheld_since[info.group] + MAX_WITHHELD_S
        while True:
            statuses = await self._request_statuses(targets, failed)
            leads = any(
                s.server == primary.server
                and s.primary
                and s.term == primary.term
                for s in statuses
            )
            if (
                not leads
                or self.found(targets, primary, statuses)
                or self._may_stay(info)
                or clocks.boottime() > deadline
            ):
                return statuses
            await self._paused_replicas.resume(
                targets[s.server] for s in statuses if s.held_term
            )
            await asyncio.sleep(grouporders.STATUS_POLL_INTERVAL_S)

    def found(
        self,
        targets: dict[str, model.TargetInfo],
        primary: grouporders.ServerStatus,
        statuses: list[grouporders.ServerStatus],
    ) -> bool:
        """Return whether a replica that may lead has the primary's log."""
        found = {s.server: s.received for s in statuses}
        needed = found.get(primary.server, primary.received)
        return any(
            s.received >= needed and self._may_stay(targets[s.server])
            for s in statuses
            if s.server != primary.server
        )

    def _may_stay(self, info: model.TargetInfo) -> bool:
        """Return whether a target may lead without being replaced soon."""
        return self._may_use(info) and not info.leaving

    def _needs_successor(self, now: float, primary: model.TargetInfo) -> bool:
        return primary.leaving or self._is_drained(now, primary)

    async def _request_statuses(
        self, targets: dict[str, model.TargetInfo], failed: str = ''
    ) -> list[grouporders.ServerStatus]:
        return await grouporders.request_statuses(
            self._orders, targets, grouporders.STATUS_WAIT_S, failed
        )

    def _log_no_successor(
        self, primary: model.TargetInfo, silent: list[str]
    ) -> None:
        """Log once for each planned change that it waits for a replica."""
        if primary.group not in self._logged:
            self._logged.add(primary.group)
            logs.log_event(
                'no_successor_for_leaving_primary'
                if primary.leaving
                else 'no_successor_outside_drained_zones',
                group=primary.group,
                primary=primary.server,
                silent=silent,
            )
