"""Queues of requests that wait for one target in an entry process."""

import abc
import collections
from collections.abc import Callable
from collections.abc import Mapping
import heapq
import itertools
import math
import typing

from sassafrasridge_core import model

# Cost added to an account's deficit in each round of deficit round robin.
QUANTUM_COST = 1.0
MAX_PER_ACCOUNT = 256
MAX_TOTAL = 1024
MAX_WAIT_S = 5.0
# Time constant of the service rate estimate.
RATE_DECAY_S = 1.0
# A longer gap between two served requests is treated as an outage, such as a
# change of primary, which does not predict the rate after it.
MAX_SERVICE_GAP_S = 0.25
# A request is refused only if the estimated wait, divided by this factor,
# misses its deadline: refusing a request that would have been served is worse
# than queueing one that expires.
WAIT_ERROR_FACTOR = 1.25


class Entry:
    """Hold a queued request; ``removed`` entries are skipped later."""

    __slots__ = ('account', 'item', 'cost', 'deadline', 'removed')

    def __init__(
        self, account: str, item: typing.Any, cost: float, deadline: float
    ) -> None:
        self.account = account
        self.item = item
        self.cost = cost
        self.deadline = deadline
        self.removed = False


class ServiceRate:
    """Estimate the cost served per second while requests wait."""

    __slots__ = ('_cost', '_busy_s', '_last_at')

    def __init__(self) -> None:
        self._cost = 0.0
        self._busy_s = 0.0
        self._last_at = -math.inf

    def mark_idle(self) -> None:
        """Stop measuring, because no request waits any more."""
        self._last_at = -math.inf

    def mark_waiting(self, now: float) -> None:
        """Start measuring, because a request waits."""
        if self._last_at == -math.inf:
            self._last_at = now

    def record_served(self, now: float, cost: float) -> None:
        """Count the cost of a request taken from the queue."""
        gap = min(max(0.0, now - self._last_at), MAX_SERVICE_GAP_S)
        kept = math.exp(-gap / RATE_DECAY_S)
        self._cost = self._cost * kept + cost
        self._busy_s = self._busy_s * kept + gap
        self._last_at = now

    def measured_s(self) -> float:
        """Return the recent time in seconds that the estimate rests on."""
        return self._busy_s

    def rate(self) -> float:
        """Return the estimate, infinite until enough time was measured."""
        if self._busy_s < 0.01:
            return math.inf
        return self._cost / self._busy_s


class Queue(abc.ABC):
    """Queue requests with bounds on their number and on their wait."""

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
        self._by_deadline: list[tuple[float, int, Entry]] = []
        self._numbers = itertools.count()
        self._expired: list[typing.Any] = []
        self._service = ServiceRate()
        self._create_order()

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
        """Queue a request and return None, or return why it is refused.

        A refused request is never run. ``cost`` is relative to a simple
        statement.
        """
        if self._lengths[account] >= self._max_per_account:
            return model.QUEUE_FULL
        if self._total >= self._max_total:
            return model.QUEUE_FULL
        if deadline <= now:
            return model.DEADLINE
        if (
            self._total
            and now + self.expected_wait_s(account, cost) > deadline
        ):
            return model.DEADLINE
        limit = min(deadline, now + self._max_wait_s)
        self._add(now, Entry(account, item, cost, limit))
        return None

    def _add(self, now: float, entry: Entry) -> None:
        self._lengths[entry.account] += 1
        self._costs[entry.account] += entry.cost  # type: ignore[assignment]
        self._total += 1
        self._service.mark_waiting(now)
        number = next(self._numbers)
        heapq.heappush(self._by_deadline, (entry.deadline, number, entry))
        self._insert(entry)

    def expected_wait_s(self, account: str, cost: float) -> float:
        """Return a lower estimate of a new request's wait in seconds."""
        return (
            self._cost_until_served(account, cost)
            / self._service.rate()
            / WAIT_ERROR_FACTOR
        )

    def pop(self, now: float) -> typing.Any | None:
        """Remove and return the next request before its deadline, or None."""
        while self._total:
            entry = self._take_next()
            if entry.deadline > now:
                self._service.record_served(now, entry.cost)
                self._remove(entry)
                return entry.item
            self._remove(entry)
            self._expired.append(entry.item)
        return None

    def expire(self, now: float) -> list[typing.Any]:
        """Remove and return the requests whose deadline has passed."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def _collect_expired(self, now: float) -> None:
        while self._by_deadline:
            deadline, _, entry = self._by_deadline[0]
            if not entry.removed and deadline > now:
                break
            heapq.heappop(self._by_deadline)
            if not entry.removed:
                self._remove(entry)
                self._expired.append(entry.item)

    def cancel(
        self, predicate: Callable[[typing.Any], bool]
    ) -> list[typing.Any]:
        """Remove and return the requests that match ``predicate``."""
        cancelled = []
        for _, _, entry in self._by_deadline:
            if not entry.removed and predicate(entry.item):
                self._remove(entry)
                cancelled.append(entry.item)
        return cancelled

    def _remove(self, entry: Entry) -> None:
        entry.removed = True
        self._total -= 1
        self._lengths[entry.account] -= 1
        self._costs[entry.account] -= entry.cost  # type: ignore[assignment]
        if not self._lengths[entry.account]:
            del self._lengths[entry.account]
            del self._costs[entry.account]
        if not self._total:
            self._service.mark_idle()

    @abc.abstractmethod
    def _create_order(self) -> None:
        """Create the data structure that holds the order of service."""

    @abc.abstractmethod
    def _insert(self, entry: Entry) -> None:
        """Add an entry to the order of service."""

    @abc.abstractmethod
    def _take_next(self) -> Entry:
        """Take the next entry that is not removed; one must exist."""

    @abc.abstractmethod
    def _cost_until_served(self, account: str, cost: float) -> float:
        """Return the cost to serve up to and including a new request."""


class FifoQueue(Queue):
    """Serve requests in order of arrival, as a baseline for comparison."""

    def _create_order(self) -> None:
        self._entries: collections.deque[Entry] = collections.deque()

    def _insert(self, entry: Entry) -> None:
        self._entries.append(entry)

    def _take_next(self) -> Entry:
        while True:
            entry = self._entries.popleft()
            if not entry.removed:
                return entry

    def _cost_until_served(self, account: str, cost: float) -> float:
        return sum(self._costs.values()) + cost


class AccountRotation:
    """Share service between accounts by deficit round robin.

    ``is_live`` tells whether an entry still waits here.
    """

    __slots__ = ('_is_live', '_queues', '_rotation', '_deficits')

    def __init__(self, is_live: Callable[[Entry], bool]) -> None:
        self._is_live = is_live
        self._queues: dict[str, collections.deque[Entry]] = {}
        self._rotation: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}

    def add(self, entry: Entry) -> None:
        """Add an entry after the others of its account."""
        if entry.account not in self._queues:
            self._queues[entry.account] = collections.deque()
            self._rotation.append(entry.account)
            self._deficits[entry.account] = 0.0
        self._queues[entry.account].append(entry)

    def take(self) -> Entry | None:
        """Take the next live entry, or return None if there is none."""
        while self._rotation:
            account = self._rotation[0]
            queue = self._queues[account]
            while queue and not self._is_live(queue[0]):
                queue.popleft()
            if not queue:
                # Drop the unused deficit of an account without requests. If
                # it accumulated, the account could delay others later.
                self._rotation.popleft()
                del self._queues[account]
                del self._deficits[account]
            elif self._deficits[account] + 1e-9 < queue[0].cost:
                self._deficits[account] += QUANTUM_COST
                self._rotation.rotate(-1)
            else:
                entry = queue.popleft()
                self._deficits[account] -= entry.cost
                return entry
        return None


def fair_cost(costs: Mapping[str, float], account: str, cost: float) -> float:
    """Return the cost served up to and including an account's new request.

    ``costs`` holds the waiting cost of each account of one rotation.
    """
    own = costs.get(account, 0.0) + cost
    others = sum(
        min(waiting, own + QUANTUM_COST)
        for name, waiting in costs.items()
        if name != account
    )
    return own + others


class FairQueue(Queue):
    """Share service between the accounts by deficit round robin."""

    def _create_order(self) -> None:
        self._order = AccountRotation(lambda entry: not entry.removed)

    def _insert(self, entry: Entry) -> None:
        self._order.add(entry)

    def _take_next(self) -> Entry:
        entry = self._order.take()
        if entry is None:
            raise IndexError('the queue is empty')
        return entry

    def _cost_until_served(self, account: str, cost: float) -> float:
        return fair_cost(self._costs, account, cost)
