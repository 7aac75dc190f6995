"""Confirmation that a listed replica has received a commit.

A primary acknowledges a commit once any replica has received it. That may be a
replica which control doesn't list yet, and which a change of primary doesn't
compare. So a client is told of a commit only once a listed replica has
received the end of the log in the primary's answer. The position of the commit
itself isn't told, but it isn't behind that end.
"""

import asyncio
import collections.abc
import enum
import typing

from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionpool

if typing.TYPE_CHECKING:
    from sassafrasridge_node import sessionstate

# Shortest interval between two requests to a replica.
REQUEST_INTERVAL_S = 0.02
# Time without a confirmation after which all replicas are asked, and not only
# the nearest one. It is longer than a round trip between regions.
ASK_ALL_AFTER_S = 0.06
# Time after which a commit counts as unconfirmed if no replica has told the
# end of its log. It allows for an attempt to connect to each replica.
UNANSWERED_AFTER_S = 0.6

StateCheck = collections.abc.Callable[[], bool]


class Confirmation(enum.Enum):
    """Represent what listed replicas told of a commit."""

    # A listed replica has received it.
    RECEIVED = 'received'
    # No listed replica can be asked.
    UNANSWERED = 'unanswered'
    # Listed replicas answer and lack it, or the primary was replaced.
    LACKING = 'lacking'


class _Wait:
    """Hold a commit that waits for a replica."""

    __slots__ = ('position', 'started', 'deadline', 'is_current', 'fut')

    def __init__(
        self,
        position: model.Position,
        deadline: float,
        is_current: StateCheck,
    ) -> None:
        self.position = position
        self.started = clocks.boottime()
        self.deadline = deadline
        self.is_current = is_current
        self.fut: asyncio.Future[Confirmation] = (
            asyncio.get_running_loop().create_future()
        )

    def end(self, result: Confirmation) -> None:
        """Report the result, unless the client doesn't wait any more."""
        if not self.fut.done():
            self.fut.set_result(result)


class _GroupWaits:
    """Hold the commits of a group that wait.

    ``answered`` is set when a replica has answered. ``lacking_at`` is the time
    of the last request whose answer showed that a waiting commit is missing.
    """

    __slots__ = ('waits', 'answered', 'lacking_at')

    def __init__(self) -> None:
        self.waits: list[_Wait] = []
        self.answered = asyncio.Event()
        self.lacking_at = float('-inf')


class CommitConfirmations:
    """Ask the listed replicas of groups which commits they have received.

    Replicas are asked only while commits wait, once for all of a group.
    """

    def __init__(self, state: 'sessionstate.SessionEntryState') -> None:
        self._state = state
        self._groups: dict[str, _GroupWaits] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Replicas that are being asked.
        self._asked: set[sessionpool.SessionBackend] = set()

    async def wait(
        self,
        group: str,
        position: model.Position,
        deadline: float,
        is_current: StateCheck,
    ) -> Confirmation:
        """Wait until a listed replica has received a position.

        ``is_current`` returns whether the primary that told the position may
        still acknowledge commits. The wait ends by ``deadline``.
        """
        wait = _Wait(position, deadline, is_current)
        found = self._result(wait, self._replicas(group), float('-inf'))
        if found is not None:
            return found
        known = self._groups.get(group)
        if known is None:
            known = self._groups[group] = _GroupWaits()
            self._start(self._poll(group, known))
        known.waits.append(wait)
        try:
            return await wait.fut
        finally:
            if wait in known.waits:
                known.waits.remove(wait)

    def _start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, group: str, known: _GroupWaits) -> None:
        """Ask replicas until no commit of a group waits."""
        try:
            while known.waits:
                known.answered.clear()
                self._ask(group, known)
                try:
                    async with asyncio.timeout(REQUEST_INTERVAL_S):
                        await known.answered.wait()
                except TimeoutError:
                    # Other answers of replicas tell positions too.
                    pass
                self._settle(group, known)
        finally:
            del self._groups[group]
            for wait in known.waits:
                # Nothing is certain if the poll was cancelled.
                wait.end(Confirmation.LACKING)

    def _settle(self, group: str, known: _GroupWaits) -> None:
        """End the waits that are over."""
        replicas = self._replicas(group)
        for wait in list(known.waits):
            found = self._result(wait, replicas, known.lacking_at)
            if found is not None:
                known.waits.remove(wait)
                wait.end(found)

    def _result(
        self,
        wait: _Wait,
        replicas: list[sessionpool.SessionBackend],
        lacking_at: float,
    ) -> Confirmation | None:
        """Return the result of a wait that is over, else None."""
        now = clocks.boottime()
        if not wait.is_current():
            return Confirmation.LACKING
        if any(r.has_received(wait.position) for r in replicas):
            return Confirmation.RECEIVED
        if lacking_at >= wait.started:
            return Confirmation.LACKING if now >= wait.deadline else None
        unanswered_at = min(wait.deadline, wait.started + UNANSWERED_AFTER_S)
        if now >= unanswered_at or not replicas:
            return Confirmation.UNANSWERED
        return None

    def _replicas(self, group: str) -> list[sessionpool.SessionBackend]:
        """Return the listed replicas that may be asked, nearest first."""
        primary = self._state.primary(group)
        found = [
            backend
            for backend in self._state.members(group)
            if isinstance(backend, sessionpool.SessionBackend)
            and backend is not primary
            and not backend.drained
        ]
        return sorted(
            found,
            key=lambda b: (
                b.status_failed,
                b.info.zone != self._state.zone,
                b.rtt_s,
                b.info.server,
            ),
        )

    def _ask(self, group: str, known: _GroupWaits) -> None:
        """Ask the nearest replica, or all if that isn't enough."""
        replicas = self._replicas(group)
        oldest = min(wait.started for wait in known.waits)
        if (
            known.lacking_at < oldest
            and clocks.boottime() < oldest + ASK_ALL_AFTER_S
        ):
            replicas = replicas[:1]
        for backend in replicas:
            if backend not in self._asked:
                self._asked.add(backend)
                self._start(self._request(backend, known))

    async def _request(
        self, backend: sessionpool.SessionBackend, known: _GroupWaits
    ) -> None:
        """Ask a replica for the end of its log."""
        sent_at = clocks.boottime()
        try:
            received = await backend.request_received()
            if received is not None and any(
                wait.started <= sent_at
                and not backend.has_received(wait.position)
                for wait in known.waits
            ):
                known.lacking_at = sent_at
            known.answered.set()
            pause_s = sent_at + REQUEST_INTERVAL_S - clocks.boottime()
            await asyncio.sleep(max(0.0, pause_s))
        finally:
            self._asked.discard(backend)
