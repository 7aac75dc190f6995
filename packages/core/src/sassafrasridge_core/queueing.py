"""Queues of requests for one target in an entry process."""

import abc
import collections
from collections.abc import Callable
import heapq
import itertools
import math
import typing

from sassafrasridge_core import model

# Cost that an account may use per round of the deficit round robin.
QUANTUM = 1.0
MAX_PER_ACCOUNT = 256
MAX_TOTAL = 1024
MAX_WAIT_S = 5.0
# Time constant of the service rate.
RATE_DECAY_S = 1.0
# A longer pause between two services is an outage, such as a change of
# primary, and says nothing on the rate that follows.
MAX_SERVICE_GAP_S = 0.25
# The estimate must miss the deadline by this factor: refusing a request that
# would have been served is worse than queueing one that expires.
DOUBT = 1.25


class _Entry:
    __slots__ = ('account', 'item', 'cost', 'deadline', 'gone')

    def __init__(
        self, account: str, item: typing.Any, cost: float, deadline: float
    ) -> None:
        self.account = account
        self.item = item
        self.cost = cost
        self.deadline = deadline
        self.gone = False


class ServiceRate:
    """Estimate the cost served per second while requests are waiting."""

    __slots__ = ('_cost', '_time', '_at')

    def __init__(self) -> None:
        self._cost = 0.0
        self._time = 0.0
        self._at = -math.inf

    def idle(self) -> None:
        """Note that nothing waits: the time until then does not count."""
        self._at = -math.inf

    def begin(self, now: float) -> None:
        """Note that requests begin to wait."""
        if self._at == -math.inf:
            self._at = now

    def served(self, now: float, cost: float) -> None:
        """Count a request taken from a queue."""
        gap = min(max(0.0, now - self._at), MAX_SERVICE_GAP_S)
        kept = math.exp(-gap / RATE_DECAY_S)
        self._cost = self._cost * kept + cost
        self._time = self._time * kept + gap
        self._at = now

    def rate(self) -> float:
        """Return the estimate; infinite until something is known."""
        if self._time < 0.01:
            return math.inf
        return self._cost / self._time


class Queue(abc.ABC):
    """Hold requests that wait; bounded in length and in time."""

    def __init__(
        self,
        max_per_account: int = MAX_PER_ACCOUNT,
        max_total: int = MAX_TOTAL,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._max_per_account = max_per_account
        self._max_total = max_total
        self._max_wait_s = max_wait_s
        self._lengths: collections.Counter[str] = collections.Counter()
        self._costs: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._by_deadline: list[tuple[float, int, _Entry]] = []
        self._numbers = itertools.count()
        self._expired: list[typing.Any] = []
        self._service = ServiceRate()
        self._prepare()

    def __len__(self) -> int:
        return self._total

    def push(
        self,
        now: float,
        account: str,
        item: typing.Any,
        cost: float,
        deadline: float,
    ) -> model.Refusal | None:
        """Queue a request, or return why it is refused as not run.

        ``cost`` is relative to a simple statement.
        """
        if self._lengths[account] >= self._max_per_account:
            return model.QUEUE_FULL
        if self._total >= self._max_total:
            return model.QUEUE_FULL
        if deadline <= now:
            return model.DEADLINE
        if self._total and now + self.wait(account, cost) > deadline:
            return model.DEADLINE
        limit = min(deadline, now + self._max_wait_s)
        entry = _Entry(account, item, cost, limit)
        self._lengths[account] += 1
        self._costs[account] += cost  # type: ignore[assignment]
        self._total += 1
        self._service.begin(now)
        number = next(self._numbers)
        heapq.heappush(self._by_deadline, (limit, number, entry))
        self._insert(entry)
        return None

    def wait(self, account: str, cost: float) -> float:
        """Return the expected wait of a new request, reduced for doubt."""
        return self._ahead(account, cost) / self._service.rate() / DOUBT

    def pop(self, now: float) -> typing.Any | None:
        """Take the next request that is still in time, or None."""
        while self._total:
            entry = self._next()
            if entry.deadline > now:
                self._service.served(now, entry.cost)
                self._remove(entry)
                return entry.item
            self._remove(entry)
            self._expired.append(entry.item)
        return None

    def expire(self, now: float) -> list[typing.Any]:
        """Remove and return the requests whose time is over."""
        while self._by_deadline:
            deadline, _, entry = self._by_deadline[0]
            if not entry.gone and deadline > now:
                break
            heapq.heappop(self._by_deadline)
            if not entry.gone:
                self._remove(entry)
                self._expired.append(entry.item)
        expired, self._expired = self._expired, []
        return expired

    def cancel(self, wanted: Callable[[typing.Any], bool]) -> list[typing.Any]:
        """Remove and return the requests for which ``wanted`` is true."""
        cancelled = []
        for _, _, entry in self._by_deadline:
            if not entry.gone and wanted(entry.item):
                self._remove(entry)
                cancelled.append(entry.item)
        return cancelled

    def _remove(self, entry: _Entry) -> None:
        entry.gone = True
        self._total -= 1
        self._lengths[entry.account] -= 1
        self._costs[entry.account] -= entry.cost  # type: ignore[assignment]
        if not self._lengths[entry.account]:
            del self._lengths[entry.account]
            del self._costs[entry.account]
        if not self._total:
            self._service.idle()

    @abc.abstractmethod
    def _prepare(self) -> None:
        """Create the empty order of service."""

    @abc.abstractmethod
    def _insert(self, entry: _Entry) -> None:
        """Add an entry to the order of service."""

    @abc.abstractmethod
    def _next(self) -> _Entry:
        """Return the next entry that is not gone; there is one."""

    @abc.abstractmethod
    def _ahead(self, account: str, cost: float) -> float:
        """Return the cost served until a new request would be finished."""


class FifoQueue(Queue):
    """Serve in order of arrival; for comparison."""

    def _prepare(self) -> None:
        self._entries: collections.deque[_Entry] = collections.deque()

    def _insert(self, entry: _Entry) -> None:
        self._entries.append(entry)

    def _next(self) -> _Entry:
        while True:
            entry = self._entries.popleft()
            if not entry.gone:
                return entry

    def _ahead(self, account: str, cost: float) -> float:
        return sum(self._costs.values()) + cost


class FairQueue(Queue):
    """Serve the accounts in turns, by deficit round robin."""

    def _prepare(self) -> None:
        self._queues: dict[str, collections.deque[_Entry]] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}

    def _insert(self, entry: _Entry) -> None:
        if entry.account not in self._queues:
            self._queues[entry.account] = collections.deque()
            self._turns.append(entry.account)
            self._deficits[entry.account] = 0.0
        self._queues[entry.account].append(entry)

    def _next(self) -> _Entry:
        while True:
            account = self._turns[0]
            queue = self._queues[account]
            while queue and queue[0].gone:
                queue.popleft()
            if not queue:
                # An account without requests keeps no deficit: saving it up
                # would let it delay the others later.
                self._turns.popleft()
                del self._queues[account]
                del self._deficits[account]
            elif self._deficits[account] + 1e-9 < queue[0].cost:
                self._deficits[account] += QUANTUM
                self._turns.rotate(-1)
            else:
                entry = queue.popleft()
                self._deficits[account] -= entry.cost
                return entry

    def _ahead(self, account: str, cost: float) -> float:
        own = self._costs[account] + cost
        others = sum(
            min(waiting, own + QUANTUM)
            for name, waiting in self._costs.items()
            if name != account
        )
        return own + others
