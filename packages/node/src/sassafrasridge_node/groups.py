"""Reconciles database groups: each is to have one working primary.

Runs on the control leader. Every decision is committed to the replicated log
before any target receives an order, so a new leader can continue a change
that the previous leader did not finish.
"""

import abc
import asyncio
import typing

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_core import zonedrain
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

# Interval at which each group is checked.
STEP_INTERVAL_S = 0.05
# Timeout for connecting to a target, and again for its answer.
ORDER_TIMEOUT_S = 0.3
# Longest wait for a new member to catch up, before the next step tries again.
CATCH_UP_TIMEOUT_S = 2.0
# Shortest time between two orders to the same target, to limit its load.
ORDER_REPEAT_INTERVAL_S = 0.3
# Poll interval while waiting for entry processes to confirm a view.
CONFIRM_POLL_INTERVAL_S = 0.01
# Time after which a primary whose zone was drained may be considered failed.
# Entry processes learn that they may use it again and probe it before that.
RESTORED_GRACE_S = 2.0
# Shortest time between two attempts to move a primary out of a drained zone.
# Replicas that are behind can receive from the primary in between.
DRAIN_RETRY_INTERVAL_S = 1.0
# Number of terms whose start positions are kept. Session tokens refer to them
# and expire long before this many terms have passed.
MAX_TERM_STARTS = 64


def _latest_starts(starts: dict[int, int]) -> dict[int, int]:
    return dict(sorted(starts.items())[-MAX_TERM_STARTS:])


class GroupStore(abc.ABC):
    """Interface to the replicated views of groups."""

    @abc.abstractmethod
    def view(self, group: str) -> model.GroupView | None:
        """Return the committed view of a group."""

    @abc.abstractmethod
    def revision(self) -> int:
        """Return the revision of all group views."""

    @abc.abstractmethod
    async def commit(self, view: model.GroupView) -> None:
        """Commit a view; raise RidgeError if the commit isn't certain."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of all groups."""

    def drained_zones(self) -> frozenset[str]:
        """Return the zones whose targets must not be used."""
        return frozenset()


class Reconciler(abc.ABC):
    """Run a reconcile loop for all groups, one step at a time per group."""

    def __init__(
        self,
        store: GroupStore,
        detector: promotion.FailureDetector,
        table: leases.LeaseTable,
        zone: str,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._store = store
        self._detector = detector
        self._lease_table = table
        self._zone = zone
        self._step_tasks: dict[str, asyncio.Task[None]] = {}
        self.groups_without_majority: set[str] = set()
        # When a group's primary was last seen in a drained zone.
        self._drained_at: dict[str, float] = {}

    async def run(self) -> None:
        """Start a step for each group that needs one, until cancelled."""
        try:
            while True:
                live = self._live_holder_names()
                for group in self._group_names():
                    if not self._is_reconciled(group, live):
                        self._start_step(group)
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            for task in self._step_tasks.values():
                task.cancel()

    def _group_names(self) -> set[str]:
        return set(self._store.names()) | self._detector.groups()

    def _live_holder_names(self) -> set[str]:
        now = clocks.boottime()
        return {holder.name for holder in self._lease_table.live(now)}

    def _may_use(self, info: model.TargetInfo) -> bool:
        """Return whether entry processes may use a target."""
        return zonedrain.usable(info.zone, self._store.drained_zones())

    def _is_drained(self, now: float, primary: model.TargetInfo) -> bool:
        """Return, and record, whether a primary is in a drained zone."""
        if primary.zone not in self._store.drained_zones():
            return False
        self._drained_at[primary.group] = now
        return True

    def _primary_failed(
        self, now: float, view: model.GroupView, live: set[str]
    ) -> bool:
        """Return whether the primary failed.

        Entry processes don't contact a target of a drained zone, so that they
        don't hear it is no evidence.
        """
        drained_at = self._drained_at.get(view.group, float('-inf'))
        return now > drained_at + RESTORED_GRACE_S and self._detector.failed(
            now, view.group, view.primary or '', live
        )

    def _start_step(self, group: str) -> None:
        task = self._step_tasks.get(group)
        if task is None or task.done():
            if task is not None and not task.cancelled():
                exc = task.exception()
                if exc is not None:
                    logs.log_event(
                        'group_step_failed', group=group, exc=repr(exc)
                    )
            self._step_tasks[group] = asyncio.ensure_future(self._step(group))

    async def _wait_until_confirmed(self, revision: int) -> None:
        """Wait until all valid leases confirm a revision of the views."""
        while not self._lease_table.view_confirmed(
            clocks.boottime(), revision
        ):
            await asyncio.sleep(CONFIRM_POLL_INTERVAL_S)

    @abc.abstractmethod
    def _is_reconciled(self, group: str, live: set[str]) -> bool:
        """Return whether a step would change nothing."""

    @abc.abstractmethod
    async def _step(self, group: str) -> None:
        """Run one reconcile step for a group."""


class HttpGroupReconciler(Reconciler):
    """Replace failed primaries and assign roles by orders over HTTP."""

    def __init__(
        self,
        store: GroupStore,
        detector: promotion.FailureDetector,
        table: leases.LeaseTable,
        zone: str,
        dialer: connections.Dialer,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__(store, detector, table, zone, counters)
        self._dialer = dialer
        self._ordered_at: dict[tuple[str, str], float] = {}
        # When a change of primary last began, by group.
        self._begun_at: dict[str, float] = {}

    def _is_reconciled(self, group: str, live: set[str]) -> bool:
        """Return whether a step would change nothing.

        This check avoids one task per group and interval, which would be
        most of the cost of a group that needs no change.
        """
        view = self._store.view(group)
        if view is None or view.changing or view.primary is None:
            return False
        targets = {t.server: t for t in self._detector.targets(group)}
        for server, address in view.members.items():
            info = targets.get(server)
            if info is None or info.address != address:
                return False
            if not self._has_assigned_role(view, info):
                return False
        if any(
            t.server not in view.members and not t.leaving
            for t in targets.values()
        ):
            return False
        return not self._needs_new_primary(view, targets, live)

    async def _step(self, group: str) -> None:
        view = self._store.view(group)
        targets = {t.server: t for t in self._detector.targets(group)}
        if view is None:
            await self._adopt(group, targets)
        elif view.changing:
            await self._replace_primary(view, targets)
        elif self._needs_new_primary(view, targets, self._live_holder_names()):
            await self._begin_primary_change(view, targets)
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
        logs.log_event('group_adopted', group=group, primary=first.server)

    def _needs_new_primary(
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
        if info is not None and self._is_drained(now, info):
            return self._may_hand_over(now, view, info, targets)
        return self._lease_table.earlier_leases_expired(
            now
        ) and self._primary_failed(now, view, live)

    def _may_hand_over(
        self,
        now: float,
        view: model.GroupView,
        primary: model.TargetInfo,
        targets: dict[str, model.TargetInfo],
    ) -> bool:
        """Return whether a member outside drained zones has caught up.

        The furthest member is promoted, so an earlier change would promote a
        member of a drained zone again.
        """
        begun_at = self._begun_at.get(view.group, float('-inf'))
        if now < begun_at + DRAIN_RETRY_INTERVAL_S:
            return False
        return any(
            info.server in view.members
            and not info.leaving
            and self._may_use(info)
            and (info.term, info.position) >= (primary.term, primary.position)
            for info in targets.values()
        )

    async def _begin_primary_change(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        changing_view = model.GroupView(
            view.group,
            view.term + 1,
            None,
            view.members,
            view.starts,
            changing=True,
        )
        self._begun_at[view.group] = clocks.boottime()
        await self._store.commit(changing_view)
        logs.log_event(
            'primary_change_started',
            group=view.group,
            term=changing_view.term,
            former=view.primary,
        )
        await self._replace_primary(changing_view, targets)

    async def _replace_primary(
        self, view: model.GroupView, targets: dict[str, model.TargetInfo]
    ) -> None:
        revision = self._store.revision()
        started = clocks.boottime()
        fenced = await self._fence_members(view)
        avoid = {
            t.server
            for t in targets.values()
            if t.leaving or not self._may_use(t)
        }
        chosen = promotion.choose_primary(view, fenced, avoid, self._zone)
        if chosen is None:
            self.groups_without_majority.add(view.group)
            await asyncio.sleep(STEP_INTERVAL_S)
            return
        self.groups_without_majority.discard(view.group)
        await self._wait_until_confirmed(revision)
        new_view = model.GroupView(
            view.group,
            view.term,
            chosen.server,
            view.members,
            _latest_starts({**view.starts, view.term: chosen.received}),
        )
        await self._store.commit(new_view)
        await self._reconcile(new_view, targets)
        self._metrics.promotions.inc()
        logs.log_event(
            'primary_changed',
            group=view.group,
            term=new_view.term,
            primary=chosen.server,
            seconds=clocks.boottime() - started,
        )

    async def _fence_members(
        self, view: model.GroupView
    ) -> list[promotion.FenceReply]:
        body = {'group': view.group, 'term': view.term}
        answers = await asyncio.gather(
            *(
                self._send_order(address, '/fence', body)
                for address in view.members.values()
            )
        )
        return [
            promotion.FenceReply(
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
        if primary is None or not self._has_assigned_role(view, primary):
            await self._promote(view)
        elif primary.term == view.term:
            await self._add_member(view, targets)
        await asyncio.gather(
            *(
                self._follow(view, server)
                for server in view.members
                if server != view.primary
                and not self._has_assigned_role(view, targets.get(server))
            )
        )

    @staticmethod
    def _has_assigned_role(
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
                await self._add_when_caught_up(view, info)
                return

    async def _add_when_caught_up(
        self, view: model.GroupView, info: model.TargetInfo
    ) -> None:
        """Add a server as a member once it has caught up with the primary.

        Only then does every majority that includes the new server overlap
        with every majority that acknowledged an earlier write.
        """
        primary = view.members[typing.cast(str, view.primary)]
        members = {**view.members, info.server: info.address}
        if not await self._send_members(view, members):
            return
        await self._follow(view, info.server, info.address)
        primary_status = await self._send_order(
            primary, '/status', {'group': view.group}
        )
        if primary_status is None or primary_status['last_term'] != view.term:
            return
        deadline = clocks.boottime() + CATCH_UP_TIMEOUT_S
        while clocks.boottime() < deadline:
            status = await self._send_order(
                info.address, '/status', {'group': view.group}
            )
            if status is None:
                return
            if (
                status['last_term'] == view.term
                and status['received'] >= primary_status['received']
            ):
                await self._commit_members(view, members)
                return
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _change_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> model.GroupView:
        # The primary receives the new members before they are committed, so
        # that every write quorum of the primary overlaps with every majority
        # that can be fenced.
        if not await self._send_members(view, members):
            return view
        return await self._commit_members(view, members)

    async def _send_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> bool:
        primary = members[typing.cast(str, view.primary)]
        body = {'group': view.group, 'members': members}
        return await self._send_order(primary, '/members', body) is not None

    async def _commit_members(
        self, view: model.GroupView, members: dict[str, str]
    ) -> model.GroupView:
        changed = model.GroupView(
            view.group, view.term, view.primary, members, view.starts
        )
        await self._store.commit(changed)
        logs.log_event(
            'group_members_changed', group=view.group, members=sorted(members)
        )
        return changed

    async def _promote(self, view: model.GroupView) -> None:
        server = typing.cast(str, view.primary)
        if not self._may_send_order(view.group, server):
            return
        body = {
            'group': view.group,
            'term': view.term,
            'start': view.starts.get(view.term, 0),
            'members': view.members,
        }
        await self._send_order(view.members[server], '/promote', body)

    async def _follow(
        self, view: model.GroupView, server: str, address: str | None = None
    ) -> None:
        if not self._may_send_order(view.group, server):
            return
        body = {
            'group': view.group,
            'term': view.term,
            'start': view.starts.get(view.term, 0),
            'primary': view.members[typing.cast(str, view.primary)],
        }
        await self._send_order(
            address or view.members[server], '/follow', body
        )

    def _may_send_order(self, group: str, server: str) -> bool:
        """Return whether an order is due; if so, record it as sent."""
        now = clocks.boottime()
        if (
            now - self._ordered_at.get((group, server), 0.0)
            < ORDER_REPEAT_INTERVAL_S
        ):
            return False
        self._ordered_at[group, server] = now
        return True

    async def _send_order(
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
