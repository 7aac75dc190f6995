"""Orders to the targets of a group, as a change of primary sends them."""

import abc
import asyncio
import collections.abc
import enum
import typing

from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import logs

# Interval of status requests while waiting for a target.
STATUS_POLL_INTERVAL_S = 0.1
# Time within which a target that works answers a status request: three round
# trips between regions and the time to open a connection. The status of a
# failed primary is not waited for longer.
STATUS_WAIT_S = 0.25


class ServerStatus:
    """Hold the status that a target reports.

    ``held_term`` is the term for which it is paused, 0 if it isn't paused.
    ``received`` is the position of the end of its log.
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


class PromotionAnswer(enum.Enum):
    """Enumerate the answers to a promotion order."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Presence(enum.Enum):
    """Enumerate who was found at a target's address."""

    PRESENT = 'present'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'


class GroupOrders(abc.ABC):
    """Interface to targets and to the service that promotes them.

    A method that returns a status returns None if the target doesn't answer.
    """

    @abc.abstractmethod
    async def status(self, info: model.TargetInfo) -> ServerStatus | None:
        """Request the status of a target."""

    @abc.abstractmethod
    async def find_presence(self, info: model.TargetInfo) -> Presence:
        """Find out whether a target still is at its address.

        Opens a new connection: an earlier one may lead to an earlier process.
        """

    @abc.abstractmethod
    async def pause(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Stop a replica from receiving commits of terms below ``term``."""

    @abc.abstractmethod
    async def resume(self, info: model.TargetInfo) -> ServerStatus | None:
        """Let a paused replica receive commits again."""

    @abc.abstractmethod
    async def step_down(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Demote a primary of a term below ``term`` to a replica."""

    @abc.abstractmethod
    async def promote(
        self, info: model.TargetInfo, token: int
    ) -> PromotionAnswer:
        """Have a target promoted with a fencing token."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections to targets, which count for their limits."""


async def request_statuses(
    orders: GroupOrders,
    targets: dict[str, model.TargetInfo],
    timeout_s: float,
    failed: str = '',
) -> list[ServerStatus]:
    """Return the statuses that arrive within a timeout in seconds.

    The status of the ``failed`` target is not waited for once all others have
    answered: their positions are the proof then.
    """
    tasks = {
        server: asyncio.ensure_future(orders.status(info))
        for server, info in targets.items()
    }
    others = [task for name, task in tasks.items() if name != failed]
    deadline = clocks.boottime() + timeout_s
    await _wait_for(others, deadline)
    if not all(_has_status(task) for task in others):
        await _wait_for(tasks.values(), deadline)
    statuses = []
    for task in tasks.values():
        if _has_status(task):
            statuses.append(task.result())
        else:
            task.cancel()
    return [status for status in statuses if status is not None]


async def _wait_for(
    tasks: typing.Collection['asyncio.Task[typing.Any]'], deadline: float
) -> None:
    """Wait until all tasks have ended or the deadline passes."""
    if tasks:
        remaining_s = max(0.0, deadline - clocks.boottime())
        await asyncio.wait(tasks, timeout=remaining_s)


def _has_status(task: 'asyncio.Task[ServerStatus | None]') -> bool:
    """Return whether a status request was answered."""
    return task.done() and task.result() is not None


class ConfirmedOrders(GroupOrders):
    """Send orders only while this member is the confirmed control leader.

    A leader that was frozen would otherwise send what it had decided before,
    and undo what its successor has ordered since.
    """

    def __init__(
        self,
        orders: GroupOrders,
        is_confirmed: collections.abc.Callable[[], bool],
    ) -> None:
        self._orders = orders
        self._is_confirmed = is_confirmed

    async def status(self, info: model.TargetInfo) -> ServerStatus | None:
        """Request the status of a target."""
        return await self._orders.status(info)

    async def find_presence(self, info: model.TargetInfo) -> Presence:
        """Find out whether a target still is at its address."""
        return await self._orders.find_presence(info)

    async def pause(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Stop a replica from receiving commits of terms below ``term``."""
        if not self._may_send('pause', info):
            return None
        return await self._orders.pause(info, term)

    async def resume(self, info: model.TargetInfo) -> ServerStatus | None:
        """Let a paused replica receive commits again."""
        if not self._may_send('resume', info):
            return None
        return await self._orders.resume(info)

    async def step_down(
        self, info: model.TargetInfo, term: int
    ) -> ServerStatus | None:
        """Demote a primary of a term below ``term`` to a replica."""
        if not self._may_send('step_down', info):
            return None
        return await self._orders.step_down(info, term)

    async def promote(
        self, info: model.TargetInfo, token: int
    ) -> PromotionAnswer:
        """Have a target promoted with a fencing token."""
        if not self._may_send('promote', info):
            return PromotionAnswer.REFUSED
        return await self._orders.promote(info, token)

    def close(self) -> None:
        """Close the connections to targets."""
        self._orders.close()

    def _may_send(self, order: str, info: model.TargetInfo) -> bool:
        confirmed = self._is_confirmed()
        if not confirmed:
            logs.log_event(
                'order_withheld',
                order=order,
                group=info.group,
                server=info.server,
                reason='leadership_not_confirmed',
            )
        return confirmed
