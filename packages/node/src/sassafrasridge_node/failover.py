"""Changes of primary where targets replicate by themselves.

The targets of such a group pass on commits and know their positions. What
this module adds is the decision who leads: it pauses the replicas, so that
the former primary can acknowledge nothing more, proves that one of them holds
every acknowledged commit, and has it promoted.
"""

import abc
import asyncio
import enum
import typing

from sassafrasridge_core import directory
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import groups
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

GRACE_S = 2.0
"""Time after a change in which the new primary is not suspected: entry
processes learn of it and probe it within two renewals and two probes."""

PROMOTED_WITHIN_S = 2.5
"""Longest wait for a promotion to take effect; twice the longest that the
users state."""

STATUS_POLL_S = 0.1
RETRY_S = 0.25
"""Pause after a change that could not be finished."""


class ServerStatus:
    """Hold what a target says of itself.

    ``held_term`` is the term in which it was paused, 0 when it is not.
    ``received`` is the end of its log.
    """

    __slots__ = ('server', 'primary', 'term', 'held_term', 'received')

    def __init__(
        self,
        server: str,
        primary: bool,
        term: int,
        held_term: int,
        received: model.Position,
    ) -> None:
        self.server = server
        self.primary = primary
        self.term = term
        self.held_term = held_term
        self.received = received


class Promotion(enum.Enum):
    """Say how an order to promote was answered."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class GroupOrders(abc.ABC):
    """Port to the targets of groups and to who promotes them.

    A method that returns a status returns None when there is no answer.
    """

    @abc.abstractmethod
    async def status(self, info: model.TargetInfo) -> ServerStatus | None:
        """Ask a target for its status."""

    @abc.abstractmethod
    async def pause(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Stop a replica from receiving commits of terms below ``term``."""

    @abc.abstractmethod
    async def resume(self, info: model.TargetInfo) -> ServerStatus | None:
        """Let a paused replica receive again."""

    @abc.abstractmethod
    async def step_down(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Make a primary of a term below ``term`` a replica."""

    @abc.abstractmethod
    async def promote(self, info: model.TargetInfo, token: int) -> Promotion:
        """Have a target promoted, as the holder of a fencing token."""


class Proof:
    """Hold the replicas of which one holds every acknowledged commit."""

    __slots__ = ('candidates', 'reason')

    def __init__(
        self, candidates: list[ServerStatus], reason: str = ''
    ) -> None:
        self.candidates = candidates
        self.reason = reason


def prove(
    members: typing.Collection[str],
    former: str | None,
    paused: typing.Sequence[ServerStatus],
    stepped_down: ServerStatus | None,
) -> Proof:
    """Return the replicas that may be promoted; none without proof.

    A commit is acknowledged once one replica has received it. So if every
    member but the former primary is paused, the furthest of them has all. If
    one is missing, the former primary's own position, after it stepped down,
    is what a replica must have reached.

    >>> at = lambda s, n: ServerStatus(s, False, 1, 2, model.Position(1, n))
    >>> both = prove(['a', 'b', 'c'], 'a', [at('b', 5), at('c', 7)], None)
    >>> [status.server for status in both.candidates]
    ['c']
    >>> prove(['a', 'b', 'c'], 'a', [at('b', 5)], None).candidates
    []
    >>> prove(['a', 'b', 'c'], 'a', [at('b', 5)], at('a', 5)).reason
    'former_position'
    """
    answered = {status.server for status in paused}
    missing = set(members) - answered - {former}
    if paused and not missing:
        furthest = max(status.received for status in paused)
        return Proof(
            [s for s in paused if s.received == furthest], 'all_paused'
        )
    if stepped_down is not None:
        return Proof(
            [s for s in paused if s.received >= stepped_down.received],
            'former_position',
        )
    return Proof([], 'not_proved')


class FailoverKeeper(groups.Keeper):
    """Keep a primary in each group of targets that replicate themselves.

    While a group's view is ``changing``, its ``primary`` is the former one.
    """

    def __init__(
        self,
        store: groups.GroupStore,
        detector: promotion.Detector,
        table: leases.LeaseTable,
        zone: str,
        counters: metrics.Metrics,
        targets: directory.Directory,
        orders: GroupOrders,
        token: int,
    ) -> None:
        super().__init__(store, detector, table, zone, counters)
        self._targets = targets
        self._orders = orders
        self._token = token
        self._changed_at: dict[str, float] = {}

    def _groups(self) -> set[str]:
        known = {info.group for info in self._targets.targets()}
        return set(self._store.names()) | known

    def _at_rest(self, group: str, live: set[str]) -> bool:
        view = self._store.view(group)
        if view is None or view.changing:
            return False
        if self._members(view) != view.members:
            return False
        if self._usurpers(view):
            return False
        return not self._reason_to_change(view, live)

    async def _step(self, group: str) -> None:
        view = self._store.view(group)
        if view is None:
            await self._adopt(group)
            return
        if not view.changing:
            reason = self._reason_to_change(view, self._live())
            if reason is None:
                await self._reconcile(view)
                return
            view = await self._begin_change(view, reason)
        if not await self._replace(view):
            await asyncio.sleep(RETRY_S)

    async def _adopt(self, group: str) -> None:
        """Record the first view of a group whose primary announced itself."""
        known = self._targets.group(group)
        primaries = [i for i in known.values() if i.role == 'primary']
        if len(primaries) != 1:
            return
        await self._commit(
            model.GroupView(
                group, 1, primaries[0].server, _addresses(known.values())
            ),
            'adopted',
        )

    def _members(self, view: model.GroupView) -> dict[str, str]:
        """Return the members that the view should name."""
        return _addresses(self._known(view).values()) or view.members

    def _is_new(self, view: model.GroupView, now: float) -> bool:
        """Return whether the primary was changed a moment ago."""
        changed_at = self._changed_at.get(view.group, float('-inf'))
        return now < changed_at + GRACE_S

    def _usurpers(self, view: model.GroupView) -> list[model.TargetInfo]:
        """Return targets that lead although they were replaced."""
        if self._is_new(view, clocks.boottime()):
            return []
        return [
            info
            for info in self._targets.group(view.group).values()
            if info.role == 'primary' and info.server != view.primary
        ]

    def _reason_to_change(
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
        if not others or not self._table.settled(now):
            return None
        if info is not None and info.leaving:
            return 'primary_leaving'
        if info is None and self._targets.complete(now):
            return 'primary_gone'
        if self._is_new(view, now):
            return None
        if self._detector.failed(now, view.group, view.primary or '', live):
            return 'primary_failed'
        if (
            info is not None
            and info.role == 'replica'
            and self._usurpers(view)
        ):
            return 'primary_replaced'
        return None

    async def _begin_change(
        self, view: model.GroupView, reason: str
    ) -> model.GroupView:
        marked = model.GroupView(
            view.group,
            view.term + 1,
            view.primary,
            self._members(view),
            changing=True,
        )
        await self._commit(marked, reason)
        return marked

    async def _replace(self, view: model.GroupView) -> bool:
        """Finish a change; return False to try again later."""
        revision = self._store.revision()
        started = clocks.boottime()
        targets = self._known(view)
        statuses = await self._ask_all(targets)
        leading = [s for s in statuses if s.primary]
        newest = max((max(s.term, s.held_term) for s in statuses), default=0)
        successor = max(leading, key=lambda s: s.term, default=None)
        if successor is not None and successor.server != view.primary:
            # An earlier order took effect after its answer was lost.
            await self._confirmed(revision)
            await self._finish(view, targets, successor, started)
            return True
        if await self._cancelled(view, targets, leading):
            return True
        paused = await self._pause(targets, statuses, newest + 1)
        await self._confirmed(revision)
        stepped_down = None
        if paused and successor is not None:
            stepped_down = await self._orders.step_down(
                targets[successor.server], newest + 1
            )
        proof = prove(targets, view.primary, paused, stepped_down)
        chosen = self._choose(targets, proof)
        logs.change(
            'promotion_considered',
            group=view.group,
            term=view.term,
            proof=proof.reason,
            paused={
                s.server: f'{s.received.term}.{s.received.index}'
                for s in paused
            },
            silent=sorted(set(targets) - {s.server for s in statuses}),
            chosen=None if chosen is None else chosen.server,
        )
        if chosen is None or not await self._promote(targets, chosen, newest):
            await self._resume(targets, paused)
            return False
        await self._finish(view, targets, chosen, started)
        return True

    def _known(self, view: model.GroupView) -> dict[str, model.TargetInfo]:
        """Return the group's targets.

        A member that is not in the directory of a new leader is kept until
        the leader has heard of every target.
        """
        found = self._targets.group(view.group)
        if self._targets.complete(clocks.boottime()):
            return found
        for server, address in view.members.items():
            if server not in found:
                found[server] = model.TargetInfo(
                    server, view.group, '', address, '', 0, 0, 0, 0
                )
        return found

    async def _ask_all(
        self, targets: dict[str, model.TargetInfo]
    ) -> list[ServerStatus]:
        answers = await asyncio.gather(
            *(self._orders.status(info) for info in targets.values())
        )
        return [status for status in answers if status is not None]

    async def _cancelled(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        leading: list[ServerStatus],
    ) -> bool:
        """Keep the primary when nothing speaks against it any more."""
        info = targets.get(view.primary or '')
        if info is None or info.leaving or not leading:
            return False
        if self._detector.failed(
            clocks.boottime(), view.group, info.server, self._live()
        ):
            return False
        await self._finish(view, targets, leading[0], clocks.boottime())
        return True

    async def _pause(
        self,
        targets: dict[str, model.TargetInfo],
        statuses: list[ServerStatus],
        term: int,
    ) -> list[ServerStatus]:
        answers = await asyncio.gather(
            *(
                self._orders.pause(targets[status.server], term)
                for status in statuses
                if not status.primary
            )
        )
        return [s for s in answers if s is not None and not s.primary]

    async def _resume(
        self,
        targets: dict[str, model.TargetInfo],
        paused: list[ServerStatus],
    ) -> None:
        names = {s.server for s in paused} or set(targets)
        await asyncio.gather(
            *(self._orders.resume(targets[name]) for name in names)
        )

    def _choose(
        self, targets: dict[str, model.TargetInfo], proof: Proof
    ) -> ServerStatus | None:
        """Prefer targets that stay, then those in the zone of control."""
        return min(
            proof.candidates,
            key=lambda s: (
                targets[s.server].leaving,
                targets[s.server].zone != self._zone,
                s.server,
            ),
            default=None,
        )

    async def _promote(
        self,
        targets: dict[str, model.TargetInfo],
        chosen: ServerStatus,
        newest: int,
    ) -> bool:
        """Have a target promoted; return whether it leads now."""
        info = targets[chosen.server]
        answer = await self._orders.promote(info, self._token)
        logs.change(
            'promotion_ordered',
            group=info.group,
            server=info.server,
            token=self._token,
            answer=answer.value,
        )
        if answer is Promotion.REFUSED:
            return False
        end = clocks.boottime() + PROMOTED_WITHIN_S
        while clocks.boottime() < end:
            status = await self._orders.status(info)
            if status is not None and status.primary and status.term > newest:
                return True
            await asyncio.sleep(STATUS_POLL_S)
        return False

    async def _finish(
        self,
        view: model.GroupView,
        targets: dict[str, model.TargetInfo],
        chosen: ServerStatus,
        started: float,
    ) -> None:
        done = model.GroupView(
            view.group, view.term + 1, chosen.server, view.members
        )
        self._changed_at[view.group] = clocks.boottime()
        await self._commit(done, 'changed', clocks.boottime() - started)
        self._metrics.promotions.inc()
        others = [i for i in targets.values() if i.server != chosen.server]
        await asyncio.gather(*(self._orders.resume(info) for info in others))
        await self._reconcile(done)

    async def _reconcile(self, view: model.GroupView) -> None:
        members = self._members(view)
        if members != view.members:
            view = model.GroupView(
                view.group, view.term, view.primary, members
            )
            await self._commit(view, 'members')
        for info in self._usurpers(view):
            primary = self._targets.group(view.group).get(view.primary or '')
            status = primary and await self._orders.status(primary)
            if status and status.primary:
                await self._orders.step_down(info, status.term)
                logs.change(
                    'step_down_ordered', group=view.group, server=info.server
                )

    async def _commit(
        self, view: model.GroupView, reason: str, seconds: float = 0.0
    ) -> None:
        await self._store.commit(view)
        logs.change(
            'group_view_committed',
            group=view.group,
            term=view.term,
            primary=view.primary,
            changing=view.changing,
            members=sorted(view.members),
            reason=reason,
            seconds=round(seconds, 3),
        )


def _addresses(
    targets: typing.Iterable[model.TargetInfo],
) -> dict[str, str]:
    return {info.server: info.address for info in targets}
