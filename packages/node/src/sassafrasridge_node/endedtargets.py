"""Targets of recorded promotions whose processes are known to have ended."""

import collections.abc

from sassafrasridge_core import directory
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import grouporders
from sassafrasridge_node import logs


class EndedTargets:
    """Establish that the target of a recorded promotion has ended.

    Either another server answers at its address on a new connection, or it
    announced that it leaves, then that it has left, and nobody answers there.
    Silence, refused connections and announcements of other servers prove
    nothing, nor does a later start under its name: the promotion names no
    process, so it may promote the later one.
    """

    def __init__(
        self,
        orders: grouporders.GroupOrders,
        targets: directory.TargetDirectory,
    ) -> None:
        self._orders = orders
        self._targets = targets
        # Target that has ended and when the check began, by group.
        self._ended: dict[str, tuple[str, float]] = {}
        # Last known target of a recorded promotion, by group.
        self._ordered: dict[str, model.TargetInfo] = {}

    def has_ended(self, view: model.GroupView) -> bool:
        """Return whether the target of the record's promotion has ended.

        An announcement since the check may be from a later process.
        """
        if view.promotion is None or view.group not in self._ended:
            return False
        server, checked_at = self._ended[view.group]
        return (
            server == view.promotion.server
            and self._targets.heard_at(server) < checked_at
        )

    def forget(self, group: str) -> None:
        """Forget the target of a group's promotion."""
        self._ended.pop(group, None)
        self._ordered.pop(group, None)

    async def check(
        self,
        view: model.GroupView,
        answered: collections.abc.Container[str] = (),
    ) -> bool:
        """Return whether the promotion's target has ended; ask if unknown.

        ``answered`` are the targets that just answered under their names.
        """
        if view.promotion is None:
            return False
        server, checked_at = view.promotion.server, clocks.boottime()
        if server in answered:
            self._ended.pop(view.group, None)
            return False
        if self.has_ended(view):
            return True
        info = self._find(view, server)
        presence = grouporders.Presence.UNKNOWN
        if info is not None:
            presence = await self._orders.find_presence(info)
        if presence is grouporders.Presence.REPLACED:
            evidence = 'another_server_answers'
        elif (
            presence is grouporders.Presence.UNKNOWN
            and self._targets.has_left(server)
        ):
            evidence = 'left'
        else:
            self._ended.pop(view.group, None)
            return False
        self._ended[view.group] = server, checked_at
        logs.log_event(
            'promotion_target_ended',
            group=view.group,
            server=server,
            address=info and info.address,
            evidence=evidence,
        )
        return self.has_ended(view)

    def _find(
        self, view: model.GroupView, server: str
    ) -> model.TargetInfo | None:
        """Return the target with its last known address."""
        info = self._targets.group(view.group).get(server)
        if info is None and server in view.members:
            info = model.TargetInfo(
                server, view.group, '', view.members[server], '', 0, 0, 0, 0
            )
        if info is not None:
            self._ordered[view.group] = info
            return info
        known = self._ordered.get(view.group)
        return known if known and known.server == server else None
