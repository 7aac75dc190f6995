"""Keeps a primary in each database group.

Runs on the control leader. Every decision is committed in the replicated log
before a target is told, so a new leader continues where the last one stopped.
"""

import abc
import asyncio
import typing

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

STEP_INTERVAL_S = 0.05
ORDER_TIMEOUT_S = 0.3
CATCH_UP_TIMEOUT_S = 2.0
ORDER_REPEAT_S = 0.3
"""An order to a target is not repeated sooner, to spare the target."""

CONFIRM_POLL_S = 0.01


MAX_STARTS = 64
"""Terms whose start is kept; session tokens expire long before."""


def _recent(starts: dict[int, int]) -> dict[int, int]:
    return dict(sorted(starts.items())[-MAX_STARTS:])


class GroupStore(abc.ABC):
    """Port to the replicated state of groups."""

    @abc.abstractmethod
    def view(self, group: str) -> model.GroupView | None:
        """Return the committed view of a group."""

    @abc.abstractmethod
    def revision(self) -> int:
        """Return the revision of all group views."""

    @abc.abstractmethod
    async def commit(self, view: model.GroupView) -> None:
        """Commit a view; raise RidgeError when it is not certain."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of all groups."""


class Keeper(abc.ABC):
    """Keep a primary in each group, one step at a time per group."""

    def __init__(
        self,
        store: GroupStore,
        detector: promotion.Detector,
        table: leases.LeaseTable,
        zone: str,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._store = store
        self._detector = detector
        self._table = table
        self._zone = zone
        self._steps: dict[str, asyncio.Task[None]] = {}
        self.majority_lost: set[str] = set()

    async def run(self) -> None:
        """Check all groups until cancelled."""
        try:
            while True:
                live = self._live()
                for group in self._groups():
                    if not self._at_rest(group, live):
                        self._start_step(group)
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            for task in self._steps.values():
                task.cancel()

    def _groups(self) -> set[str]:
        return set(self._store.names()) | self._detector.groups()

    def _live(self) -> set[str]:
        now = clocks.boottime()
        return {holder.name for holder in self._table.live(now)}

    def _start_step(self, group: str) -> None:
        task = self._steps.get(group)
        if task is None or task.done():
            if task is not None and not task.cancelled():
                exc = task.exception()
                if exc is not None:
                    logs.change(
                        'group_step_failed', group=group, exc=repr(exc)
                    )
            self._steps[group] = asyncio.ensure_future(self._step(group))

    async def _confirmed(self, revision: int) -> None:
        """Wait until every lease in force has a revision of the views."""
        while not self._table.view_confirmed(clocks.boottime(), revision):
            await asyncio.sleep(CONFIRM_POLL_S)

    @abc.abstractmethod
    def _at_rest(self, group: str, live: set[str]) -> bool:
        """Return whether a step would do nothing."""

    @abc.abstractmethod
    async def _step(self, group: str) -> None:
        """Bring a group nearer to order."""


class GroupKeeper(Keeper):
    """Detect failed primaries, replace them, and keep members in place."""

    def __init__(
        self,
        store: GroupStore,
        detector: promotion.Detector,
        table: leases.LeaseTable,
        zone: str,
        dialer: connections.Dialer,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__(store, detector, table, zone, counters)
        self._dialer = dialer
        self._orders: dict[tuple[str, str], float] = {}

    def _at_rest(self, group: str, live: set[str]) -> bool:
        """Return whether a step would do nothing.

        It spares a task per group and interval, which is most of the cost
        of a group that is in order.
        """
        view = self._store.view(group)
        if view is None or view.changing or view.primary is None:
            return False
        targets = {t.server: t for t in self._detector.targets(group)}
        for server, address in view.members.items():
            info = targets.get(server)
            if info is None or info.address != address:
                return False
            if not self._in_place(view, info):
                return False
        if any(
            t.server not in view.members and not t.leaving
            for t in targets.values()
        ):
            return False
        return not self._must_change(view, targets, live)

    async def _step(self, group: str) -> None:
        view = self._store.view(group)
        targets = {t.server: t for t in self._detector.targets(group)}
        if view is None:
            await self._adopt(group, targets)
        elif view.changing:
            await self._replace(view, targets)
        elif self._must_change(view, targets, self._live()):
            await self._begin_change(view, targets)
        else:
            await self._reconcile(view, targets)

    async def _adopt(
        self, group: str, targets: dict[str, model.TargetInfo]
    ) -> None:
        primaries = [t for t in targets.values() if t.role == 'primary']
        if not primaries:
            return
        first = max(primaries, key=lambda t: t.term)
        await self._store.commit(
            model.GroupView(
                group,
                first.term,
                first.server,
                {first.server: first.address},
                {first.term: 0},
            )
        )
        logs.change('group_adopted', group=group, primary=first.server)

    def _must_change(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        live: set[str],
    ) -> bool:
        if view.primary is None:
            return True
        now = clocks.boottime()
        info = targets.get(view.primary)
        if info is not None and info.leaving:
            others = [t for t in targets.values() if not t.leaving]
            return any(t.server in view.members for t in others)
        return self._table.settled(now) and self._detector.failed(
            now, view.group, view.primary, live
        )

    async def _begin_change(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        marked = model.GroupView(
            view.group,
            view.term + 1,
            None,
            view.members,
            view.starts,
            changing=True,
        )
        await self._store.commit(marked)
        logs.change(
            'primary_change_started',
            group=view.group,
            term=marked.term,
            former=view.primary,
        )
        await self._replace(marked, targets)

    async def _replace(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        revision = self._store.revision()
        started = clocks.boottime()
        fenced = await self._fence(view)
        leaving = {t.server for t in targets.values() if t.leaving}
        chosen = promotion.choose_primary(view, fenced, leaving, self._zone)
        if chosen is None:
            self.majority_lost.add(view.group)
            await asyncio.sleep(STEP_INTERVAL_S)
            return
        self.majority_lost.discard(view.group)
        await self._confirmed(revision)
        done = model.GroupView(
            view.group,
            view.term,
            chosen.server,
            view.members,
            _recent({**view.starts, view.term: chosen.received}),
        )
        await self._store.commit(done)
        await self._reconcile(done, targets)
        self._metrics.promotions.inc()
        logs.change(
            'primary_changed',
            group=view.group,
            term=done.term,
            primary=chosen.server,
            seconds=clocks.boottime() - started,
        )

    async def _fence(self, view: model.GroupView) -> list[promotion.Fenced]:
        body = {'group': view.group, 'term': view.term}
        answers = await asyncio.gather(
            *(
                self._order(address, '/fence', body)
                for address in view.members.values()
            )
        )
        return [
            promotion.Fenced(
                str(status['server']),
                str(status.get('zone', '')),
                int(status['last_term']),
                int(status['received']),
            )
            for status in answers
            if status is not None and int(status['term']) == view.term
        ]

    async def _reconcile(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        if view.primary is None:
            return
        for info in targets.values():
            known = view.members.get(info.server)
            if known is not None and known != info.address:
                members = {**view.members, info.server: info.address}
                view = await self._change_members(view, members)
        primary = targets.get(view.primary)
        if primary is None or not self._in_place(view, primary):
            await self._promote(view)
        elif primary.term == view.term:
            await self._add_member(view, targets)
        await asyncio.gather(
            *(
                self._follow(view, server)
                for server in view.members
                if server != view.primary
                and not self._in_place(view, targets.get(server))
            )
        )

    @staticmethod
    def _in_place(
        view: model.GroupView, info: model.TargetInfo | None
    ) -> bool:
        if info is None or info.term != view.term:
            return False
        return (info.role == 'primary') == (info.server == view.primary)

    async def _add_member(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        for info in targets.values():
            if info.server not in view.members and not info.leaving:
                await self._admit(view, info)
                return

    async def _admit(
        self, view: model.GroupView, info: model.TargetInfo
    ) -> None:
        """Add a server that holds everything the primary holds.

        Only then does a majority that counts the new server meet every
        majority that acknowledged a write before.
        """
        primary = view.members[typing.cast(str, view.primary)]
        members = {**view.members, info.server: info.address}
        if not await self._tell_members(view, members):
            return
        await self._follow(view, info.server, info.address)
        held = await self._order(primary, '/status', {'group': view.group})
        if held is None or held['last_term'] != view.term:
            return
        deadline = clocks.boottime() + CATCH_UP_TIMEOUT_S
        while clocks.boottime() < deadline:
            status = await self._order(
                info.address, '/status', {'group': view.group}
            )
            if status is None:
                return
            if (
                status['last_term'] == view.term
                and status['received'] >= held['received']
            ):
                await self._commit_members(view, members)
                return
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _change_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> model.GroupView:
        # The primary learns of a new member before the record does. So every
        # write quorum of the primary meets every majority that is fenced.
        if not await self._tell_members(view, members):
            return view
        return await self._commit_members(view, members)

    async def _tell_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> bool:
        primary = members[typing.cast(str, view.primary)]
        body = {'group': view.group, 'members': members}
        return await self._order(primary, '/members', body) is not None

    async def _commit_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> model.GroupView:
        changed = model.GroupView(
            view.group, view.term, view.primary, members, view.starts
        )
        await self._store.commit(changed)
        logs.change(
            'group_members_changed', group=view.group, members=sorted(members)
        )
        return changed

    async def _promote(self, view: model.GroupView) -> None:
        server = typing.cast(str, view.primary)
        if not self._due(view.group, server):
            return
        body = {
            'group': view.group,
            'term': view.term,
            'start': view.starts.get(view.term, 0),
            'members': view.members,
        }
        await self._order(view.members[server], '/promote', body)

    async def _follow(
        self, view: model.GroupView, server: str, address: str | None = None
    ) -> None:
        if not self._due(view.group, server):
            return
        body = {
            'group': view.group,
            'term': view.term,
            'start': view.starts.get(view.term, 0),
            'primary': view.members[typing.cast(str, view.primary)],
        }
        await self._order(address or view.members[server], '/follow', body)

    def _due(self, group: str, server: str) -> bool:
        now = clocks.boottime()
        if now - self._orders.get((group, server), 0.0) < ORDER_REPEAT_S:
            return False
        self._orders[group, server] = now
        return True

    async def _order(
        self, address: str, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        try:
            conn = await self._dialer.open(address, ORDER_TIMEOUT_S)
        except connections.ConnectionLostError:
            return None
        try:
            answer = await conn.call(path, body, ORDER_TIMEOUT_S)
        except connections.ConnectionLostError:
            return None
        finally:
            conn.close()
        return answer.body if answer.status == 200 else None
