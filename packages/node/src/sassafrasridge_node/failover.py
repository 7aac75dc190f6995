"""Changes of primary for groups whose targets manage replication.

The targets of such a group replicate commits and report their positions.
This module selects the primary. It waits until no entry process acknowledges
commits of the former primary, pauses the replicas, proves that one of them
holds every acknowledged commit, and has that replica promoted.
"""

import asyncio

from sassafrasridge_core import directory
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import endedtargets
from sassafrasridge_node import grouporders
from sassafrasridge_node import groups
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import pausedreplicas
from sassafrasridge_node import pendingorders
from sassafrasridge_node import promotionproof
from sassafrasridge_node import requiredcommits
from sassafrasridge_node import successors

# Time after a change during which the new primary is not considered failed.
# Entry processes learn of it and probe it within two renewals and two probes.
NEW_PRIMARY_GRACE_S = 2.0
# Longest wait for a promotion to take effect: twice the longest duration that
# the users' specification states.
PROMOTION_TIMEOUT_S = 2.5
# Interval between two orders to step down to the same target.
STEP_DOWN_REPEAT_S = 0.3
# Delay before the next attempt after a change that could not be finished.
RETRY_DELAY_S = 0.25


class FailoverReconciler(groups.Reconciler):
    """Reconcile groups whose targets manage replication themselves.

    While a group's view is ``changing``, its ``primary`` is the former one.
    """

    def __init__(
        self,
        store: groups.GroupStore,
        detector: promotion.FailureDetector,
        table: leases.LeaseTable,
        zone: str,
        counters: metrics.Metrics,
        targets: directory.TargetDirectory,
        orders: grouporders.GroupOrders,
        token: int,
    ) -> None:
        super().__init__(store, detector, table, zone, counters)
        self._targets = targets
        self._orders = orders
        self._token = token
        self.paused_replicas = pausedreplicas.PausedReplicas(
            orders, store, targets
        )
        self._ended = endedtargets.EndedTargets(orders, targets)
        self._pending = pendingorders.PendingOrders(
            clocks.boottime(), self._ended.has_ended
        )
        self._changed_at: dict[str, float] = {}
        self._required = requiredcommits.RequiredCommits(table)
        self._successors = successors.Successors(
            orders, self.paused_replicas, self._is_drained, self._may_use
        )

    async def run(self) -> None:
        """Start a step for each group that needs one, until cancelled."""
        checks = asyncio.ensure_future(self.paused_replicas.run())
        try:
            await super().run()
        finally:
            checks.cancel()
            self._orders.close()

    def _group_names(self) -> set[str]:
        known = {info.group for info in self._targets.targets()}
        return set(self._store.names()) | known

    def _is_reconciled(self, group: str, live: set[str]) -> bool:
        view = self._store.view(group)
        if view is None or view.changing:
            return False
        if self._current_members(view) != view.members:
            return False
        if self._stale_primaries(view) or self._has_ended_order(view):
            return False
        return not self._change_reason(view, live)

    def _has_ended_order(self, view: model.GroupView) -> bool:
        """Return whether the record holds an order that is over."""
        return view.promotion is not None and not (
            self._pending.may_take_effect(clocks.boottime(), view)
        )

    async def _step(self, group: str) -> None:
        view = self._store.view(group)
        if view is None:
            await self._adopt(group)
            return
        if not view.changing:
            reason = self._change_reason(view, self._live_holder_names())
            if reason is None:
                await self._reconcile(view)
                return
            view = await self._begin_primary_change(view, reason)
        if not await self._replace_primary(view):
            await asyncio.sleep(RETRY_DELAY_S)

    async def _adopt(self, group: str) -> None:
        """Commit the first view of a group with exactly one primary."""
        known = self._targets.group(group)
        primaries = [i for i in known.values() if i.role == 'primary']
        if len(primaries) != 1:
            return
        # No entry process uses the group before this view, so its commits
        # can be counted from the present end of the log.
        status = await self._orders.status(primaries[0])
        view = model.GroupView(
            group, 1, members=directory.addresses(known.values())
        )
        if status is not None and status.primary:
            view = requiredcommits.follow_log(view, status)
        await self._commit_view(
            view.replace(primary=primaries[0].server), 'adopted'
        )

    def _current_members(self, view: model.GroupView) -> dict[str, str]:
        """Return the members that the view should list."""
        return (
            directory.addresses(self._group_targets(view).values())
            or view.members
        )

    def _changed_recently(self, view: model.GroupView, now: float) -> bool:
        """Return whether the primary was changed within the grace period."""
        changed_at = self._changed_at.get(view.group, float('-inf'))
        return now < changed_at + NEW_PRIMARY_GRACE_S

    def _stale_primaries(
        self, view: model.GroupView
    ) -> list[model.TargetInfo]:
        """Return targets that act as primary but aren't the view's primary."""
        if self._changed_recently(view, clocks.boottime()):
            return []
        return [
            info
            for info in self._targets.group(view.group).values()
            if info.role == 'primary' and info.server != view.primary
        ]

    def _change_reason(
        self, view: model.GroupView, live: set[str]
    ) -> str | None:
        now = clocks.boottime()
        targets = self._targets.group(view.group)
        info = targets.get(view.primary or '')
        others = [
            t
            for t in targets.values()
            if t.server != view.primary and not t.leaving
        ]
        if not others or not self._lease_table.earlier_leases_expired(now):
            return None
        if info is None and self._targets.complete(now):
            return 'primary_gone'
        # A working primary isn't replaced while an order may promote it again.
        movable = not self._pending.may_take_effect(now, view)
        if movable and info is not None and info.leaving:
            lacking = self._successors.is_lacking(view.group)
            if lacking and self._changed_recently(view, now):
                return None
            return 'primary_leaving'
        if movable and info is not None and self._is_drained(now, info):
            found = any(self._may_use(target) for target in others)
            return 'primary_drained' if found else None
        if self._changed_recently(view, now):
            return None
        if self._primary_failed(now, view, live):
            return 'primary_failed'
        if info is not None and self._has_stepped_down(info):
            return 'primary_stepped_down'
        return None

    def _has_stepped_down(self, primary: model.TargetInfo) -> bool:
        """Return whether a primary announced since its change that it isn't.

        It was replaced, or an order of an earlier change reached it late.
        """
        changed_at = self._changed_at.get(primary.group, float('-inf'))
        return primary.role == 'replica' and (
            self._targets.heard_at(primary.server) > changed_at
        )

    async def _begin_primary_change(
        self, view: model.GroupView, reason: str
    ) -> model.GroupView:
        changing_view = view.replace(
            term=view.term + 1,
            members=self._current_members(view),
            changing=True,
        )
        await self._commit_view(changing_view, reason)
        return changing_view

    async def _replace_primary(self, view: model.GroupView) -> bool:
        """Finish a change; return False if it must be tried again."""
        started = clocks.boottime()
        # From then on no entry process acknowledges a commit of the former
        # primary. So what is proved below holds until the promotion takes
        # effect, even if a replica is no longer paused by then.
        await self._wait_until_confirmed(self._store.revision())
        targets = self._group_targets(view)
        ordered = pendingorders.is_ordered(view)
        if ordered and not self._pending.target_ended(started, view):
            return await self._continue_promotion(view, targets, started)
        statuses = await self._request_statuses(
            targets, self._failed_primary(view)
        )
        if self._pending.is_recent(clocks.boottime(), view):
            await self._ended.check(view, {s.server for s in statuses})
        acting_primary = promotionproof.find_acting_primary(view, statuses)
        if (
            acting_primary is not None
            and acting_primary.server != view.primary
        ):
            # An earlier promotion took effect, but its answer was lost, or
            # its target isn't published.
            return await self._complete_change(
                view, targets, acting_primary, started
            )
        if acting_primary is not None and await self._keep_working_primary(
            view, targets, acting_primary
        ):
            return True
        if (
            acting_primary is not None
            and not await self._successors.may_step_down(
                targets, acting_primary, statuses
            )
        ):
            if not self._successors.is_lacking(view.group):
                return False
            await self._finish_change(view, targets, acting_primary, started)
            return True
        return await self._promote_proved(
            view, targets, statuses, acting_primary, started
        )

    async def _promote_proved(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        statuses: list[grouporders.ServerStatus],
        acting_primary: grouporders.ServerStatus | None,
        started: float,
    ) -> bool:
        """Promote a replica with every acknowledged commit, if one is proved.

        The acting primary, if any, steps down for it. Returns False if the
        change must be tried again.
        """
        highest_term = max(
            view.log_term, *(max(s.term, s.held_term) for s in statuses), 0
        )
        replicas = await self._demote_former_primaries(
            targets, statuses, acting_primary, highest_term + 1
        )
        self.paused_replicas.forget(view.group)
        paused = await self._pause_replicas(
            targets, replicas, highest_term + 1
        )
        stepped_down = None
        if paused and acting_primary is not None:
            stepped_down = await self._orders.step_down(
                targets[acting_primary.server], highest_term + 1
            )
        acknowledged = self._required.required(view)
        proof = promotionproof.prove_candidates(
            targets, view.primary, paused, stepped_down, acknowledged
        )
        if proof.reason == promotionproof.LACKS_ACKNOWLEDGED:
            self._required.found_lacking(view.group)
        chosen = self._choose_candidate(
            targets,
            [
                s
                for s in proof.candidates
                if self._pending.may_promote(
                    clocks.boottime(), view, s.server, s.received
                )
            ],
        )
        logs.log_event(
            'promotion_considered',
            group=view.group,
            term=view.term,
            proof=proof.reason,
            paused={s.server: model.position_text(s.received) for s in paused},
            silent=sorted(set(targets) - {s.server for s in statuses}),
            stepped_down=model.position_text(
                stepped_down and stepped_down.received
            ),
            acknowledged=model.position_text(acknowledged),
            chosen=None if chosen is None else chosen.server,
        )
        if chosen is None:
            await self._resume_replicas(targets, paused)
            return False
        newest_term = max(view.log_term, *(s.term for s in statuses))
        ordered_view = view.replace(
            log_term=newest_term,
            promotion=model.PromotionOrder(
                chosen.server, view.term, chosen.received
            ),
        )
        await self._commit_view(ordered_view, 'promotion_ordered')
        self._pending.recorded(clocks.boottime(), view)
        self._ended.forget(view.group)
        return await self._continue_promotion(
            ordered_view, targets, started, chosen
        )

    async def _continue_promotion(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        started: float,
        status: grouporders.ServerStatus | None = None,
    ) -> bool:
        """Bring about the recorded promotion; return whether it took effect.

        No other target leads the group before that, nor does the former
        primary, unless it is certain that the order has no effect. ``status``
        is that of the target if it was just requested.
        """
        assert view.promotion is not None
        info = targets.get(view.promotion.server)
        if info is not None and status is None:
            status = await self._orders.status(info)
        if (
            info is not None
            and status
            and not promotionproof.leads(status, view)
        ):
            status = await self._promote(view, info, status)
        if info is not None and status and promotionproof.leads(status, view):
            await self._check_acknowledged(view, targets)
            return await self._complete_change(view, targets, status, started)
        if not self._pending.is_recent(clocks.boottime(), view):
            await self._commit_view(
                view.replace(promotion=None), 'promotion_withdrawn'
            )
            await self._resume_replicas(targets, [])
        elif status is None:
            await self._ended.check(view)
        return False

    async def _check_acknowledged(
        self,
        view: model.GroupView,
        compared: dict[str, model.TargetInfo],
    ) -> None:
        """Log if a commit was acknowledged that the proof didn't include."""
        assert view.promotion is not None
        group, order = view.group, view.promotion
        acknowledged = self._required.last_known(view)
        if acknowledged is None or acknowledged <= order.position:
            return
        self._metrics.missing_commits.inc()
        listed = self._targets.group(group)
        statuses = await self._request_statuses(listed)
        logs.log_event(
            'acknowledged_commit_missing',
            group=group,
            server=order.server,
            received=model.position_text(order.position),
            acknowledged=model.position_text(acknowledged),
            joined=sorted(set(listed) - set(compared)),
            not_paused=sorted(s.server for s in statuses if not s.held_term),
        )

    def _group_targets(
        self, view: model.GroupView
    ) -> dict[str, model.TargetInfo]:
        """Return the group's targets by server name.

        A new leader's directory lacks targets that have been silent since
        before its election. Members of the view are added with their recorded
        addresses for as long as silent targets stay listed, unless they have
        left or another target has replaced them there.
        """
        found, now = self._targets.group(view.group), clocks.boottime()
        if self._targets.earlier_targets_expired(now):
            return found
        complete = self._targets.complete(now)
        replaced = {info.address for info in found.values()}
        for server, address in view.members.items():
            left = complete and self._targets.has_left(server)
            if server not in found and address not in replaced and not left:
                found[server] = model.TargetInfo(
                    server, view.group, '', address, '', 0, 0, 0, 0
                )
        return found

    def _failed_primary(self, view: model.GroupView) -> str:
        """Return the primary's name if it counts as failed, else ''."""
        now, name = clocks.boottime(), view.primary or ''
        info = self._targets.group(view.group).get(name)
        if info is not None and self._is_drained(now, info):
            return ''
        failed = self._primary_failed(now, view, self._live_holder_names())
        return name if failed else ''

    async def _request_statuses(
        self, targets: dict[str, model.TargetInfo], failed: str = ''
    ) -> list[grouporders.ServerStatus]:
        """Return the statuses that arrive in time."""
        return await grouporders.request_statuses(
            self._orders, targets, grouporders.STATUS_WAIT_S, failed
        )

    async def _keep_working_primary(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        acting_primary: grouporders.ServerStatus,
    ) -> bool:
        """End the change if the primary works; return whether it did."""
        now = clocks.boottime()
        info = targets.get(view.primary or '')
        if info is None or info.leaving:
            return False
        acknowledged = self._required.required(view)
        if acknowledged and acting_primary.received < acknowledged:
            # It has started again with a part of its log.
            return False
        if pendingorders.is_ordered(view) and self._pending.is_recent(
            now, view
        ):
            # The target may have led before it ended, and its successor does.
            return False
        if self._is_drained(now, info) and any(
            self._may_use(t) and not t.leaving for t in targets.values()
        ):
            return False
        if self._primary_failed(now, view, self._live_holder_names()):
            return False
        await self._finish_change(
            view, targets, acting_primary, clocks.boottime()
        )
        return True

    async def _demote_former_primaries(
        self,
        targets: dict[str, model.TargetInfo],
        statuses: list[grouporders.ServerStatus],
        acting_primary: grouporders.ServerStatus | None,
        term: int,
    ) -> list[grouporders.ServerStatus]:
        """Demote primaries of earlier terms; return all replicas.

        One that was cut off while it was replaced acts as primary until it is
        told. As a replica it can be paused and its position counts.
        """
        replicas = []
        for status in statuses:
            if status.primary and status is not acting_primary:
                info = targets[status.server]
                answer = await self._orders.step_down(info, term)
                logs.log_event(
                    'step_down_ordered',
                    group=info.group,
                    server=info.server,
                    log_term=status.term,
                    answered=answer is not None,
                )
                if answer is None:
                    continue
                status = answer
            if not status.primary:
                replicas.append(status)
        return replicas

    async def _pause_replicas(
        self,
        targets: dict[str, model.TargetInfo],
        replicas: list[grouporders.ServerStatus],
        term: int,
    ) -> list[grouporders.ServerStatus]:
        answers = await asyncio.gather(
            *(
                self._orders.pause(targets[status.server], term)
                for status in replicas
            )
        )
        return [s for s in answers if s is not None and not s.primary]

    async def _resume_replicas(
        self,
        targets: dict[str, model.TargetInfo],
        paused: list[grouporders.ServerStatus],
    ) -> None:
        names = {s.server for s in paused} or set(targets)
        await self.paused_replicas.resume(targets[name] for name in names)

    def _choose_candidate(
        self,
        targets: dict[str, model.TargetInfo],
        candidates: list[grouporders.ServerStatus],
    ) -> grouporders.ServerStatus | None:
        """Choose a candidate; prefer usable, not leaving, in this zone."""
        return min(
            candidates,
            key=lambda s: (
                not self._may_use(targets[s.server]),
                targets[s.server].leaving,
                targets[s.server].zone != self._zone,
                s.server,
            ),
            default=None,
        )

    async def _promote(
        self,
        view: model.GroupView,
        info: model.TargetInfo,
        status: grouporders.ServerStatus,
    ) -> grouporders.ServerStatus | None:
        """Have a target promoted; return its status as the primary.

        Returns None if the promotion was refused, didn't take effect in time,
        or isn't ordered because the target has lost part of its log.
        """
        assert view.promotion is not None
        if status.received < view.promotion.position:
            logs.log_event(
                'promotion_target_behind',
                group=info.group,
                server=info.server,
                received=model.position_text(status.received),
                proved=model.position_text(view.promotion.position),
            )
            return None
        answer = await self._orders.promote(info, self._token)
        logs.log_event(
            'promotion_ordered',
            group=info.group,
            server=info.server,
            token=self._token,
            answer=answer.value,
        )
        if answer is grouporders.PromotionAnswer.REFUSED:
            return None
        deadline = clocks.boottime() + PROMOTION_TIMEOUT_S
        while clocks.boottime() < deadline:
            found = await self._orders.status(info)
            if found is not None and promotionproof.leads(found, view):
                if answer is grouporders.PromotionAnswer.UNKNOWN:
                    self._pending.unanswered(clocks.boottime(), info.group)
                return found
            if found is None and await self._ended.check(view):
                break
            await asyncio.sleep(grouporders.STATUS_POLL_INTERVAL_S)
        self._pending.unanswered(clocks.boottime(), info.group)
        self._metrics.unknown_promotions.inc()
        logs.log_event(
            'promotion_outcome_unknown', group=info.group, server=info.server
        )
        return None

    async def _complete_change(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        promoted: grouporders.ServerStatus,
        started: float,
    ) -> bool:
        """Publish a promoted target, or another one that replaces it.

        Until then the view is the one of the former primary, so that nobody
        acknowledges a commit of the promoted target. Returns False if the
        change must be tried again.
        """
        # Targets may have joined, or begun to leave, since they were paused.
        targets = {**targets, **self._group_targets(view)}
        now = clocks.boottime()
        if view.log_term >= promoted.term and not self._targets.complete(now):
            if promoted.server not in self._targets.group(view.group):
                # An earlier leader withheld it; this one doesn't know why yet.
                return False
        if self._pending.may_take_effect(
            now, view
        ) or not await self._successors.withhold(targets, promoted):
            await self._finish_change(view, targets, promoted, started)
            return True
        self._lease_table.report_acknowledged({view.group: promoted.received})
        if view.promotion is not None or view.log_term < promoted.term:
            view = requiredcommits.follow_log(view, promoted)
            view = view.replace(promotion=None)
            await self._commit_view(view, 'primary_withheld')
        statuses = await self._successors.catch_up(
            targets, promoted, self._failed_primary(view)
        )
        acting_primary = promotionproof.find_acting_primary(view, statuses)
        if acting_primary is None or acting_primary.server != promoted.server:
            return False
        if not self._successors.found(targets, acting_primary, statuses):
            await self._finish_change(view, targets, acting_primary, started)
            return True
        return await self._promote_proved(
            view, targets, statuses, acting_primary, started
        )

    async def _finish_change(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        chosen: grouporders.ServerStatus,
        started: float,
    ) -> None:
        new_view = requiredcommits.follow_log(view, chosen).replace(
            term=view.term + 1,
            primary=chosen.server,
            changing=False,
            promotion=self._pending.remaining(clocks.boottime(), view),
        )
        self._changed_at[view.group] = clocks.boottime()
        self._required.change_finished(view.group)
        self._successors.published(targets[chosen.server])
        reason = 'kept' if chosen.server == view.primary else 'changed'
        await self._commit_view(new_view, reason, clocks.boottime() - started)
        if chosen.server != view.primary:
            self._lease_table.forget_acknowledged(view.group)
        self._metrics.promotions.inc()
        await self.paused_replicas.resume(
            i for i in targets.values() if i.server != chosen.server
        )
        await self._reconcile(new_view)

    async def _reconcile(self, view: model.GroupView) -> None:
        members = self._current_members(view)
        if members != view.members:
            view = view.replace(members=members)
            await self._commit_view(view, 'members')
        if self._has_ended_order(view):
            view = view.replace(promotion=None)
            await self._commit_view(view, 'promotion_ended')
        for info in self._stale_primaries(view):
            primary = self._targets.group(view.group).get(view.primary or '')
            status = primary and await self._orders.status(primary)
            if status and status.primary:
                await self._orders.step_down(info, status.term)
                logs.log_event(
                    'step_down_ordered', group=view.group, server=info.server
                )
                # The target's next announcement tells whether it obeyed.
                await asyncio.sleep(STEP_DOWN_REPEAT_S)

    async def _commit_view(
        self, view: model.GroupView, reason: str, seconds: float = 0.0
    ) -> None:
        await self._store.commit(view)
        logs.log_event(
            'group_view_committed',
            group=view.group,
            term=view.term,
            primary=view.primary,
            changing=view.changing,
            members=sorted(view.members),
            reason=reason,
            seconds=round(seconds, 3),
        )
