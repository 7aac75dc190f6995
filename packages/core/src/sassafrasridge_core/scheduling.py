"""Order of service of the statements that wait for one target.

The statements of a class share service between client accounts. More urgent
classes are served first, but every waiting route priority gets a bounded part
of the turns, and every account priority a bounded part of the turns of its
route priority, so that none starves behind one that is always busy.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import heapq
import math
import typing

from sassafrasridge_core import model
from sassafrasridge_core import queueing

# A waiting route priority gets at least one of any so many consecutive turns,
# a waiting account priority one of any so many turns of its route priority.
# If classes shared the turns directly, three priorities of each kind would
# leave no turn to decide by urgency.
MAX_TURNS = 8

# Number of recent turns from which the part of each class is estimated.
SERVED_WINDOW = 32
# Least part of the service assumed for less urgent classes.
MIN_PART = 0.5

# Classes other than the most urgent one use at most this share of the
# statements that a process may have at a target.
LOWER_SHARE = 0.75

# Running time assumed before one was measured, in s: a statement of 8 to
# 47 ms and a round trip between regions.
DEFAULT_RUN_S = 0.06
# Upper limit of the expected running time in s. Without it, a target that
# was slow for a while would leave no time to wait for, and thus no statement
# that shows its recovery.
MAX_RUN_S = 0.3
# Weight of a new measurement of the running time.
RUN_WEIGHT = 0.1


class WorkClass(typing.NamedTuple):
    """Order statements by urgency: the lowest value is the most urgent.

    >>> WorkClass(0, 5) < WorkClass(1, 0) < WorkClass(1, 2)
    True
    """

    priority: int = 0
    account_priority: int = 0


class Work:
    """Describe a statement that is to run on a target.

    ``due_at`` is the time by which its objective is met and ``run_s`` its
    expected running time. ``urgent`` is set for the most urgent class of the
    target, if there is more than one. ``needs_primary`` is set if no replica
    may run the statement, ``in_transaction`` if a transaction is open.
    """

    __slots__ = (
        'work_class',
        'due_at',
        'run_s',
        'in_transaction',
        'urgent',
        'needs_primary',
    )

    def __init__(
        self,
        work_class: WorkClass = WorkClass(),
        due_at: float = math.inf,
        run_s: float = DEFAULT_RUN_S,
        in_transaction: bool = False,
        urgent: bool = False,
        needs_primary: bool = False,
    ) -> None:
        self.work_class = work_class
        self.due_at = due_at
        self.run_s = run_s
        self.in_transaction = in_transaction
        self.urgent = urgent
        self.needs_primary = needs_primary

    @property
    def start_by(self) -> float:
        """Return the latest start that meets the objective."""
        return self.due_at - self.run_s


# Work in a deployment that has only one class.
UNIFORM = Work()


class RunTimes:
    """Estimate the running time of statements at one target, by priority.

    >>> times = RunTimes()
    >>> times.record(1, 5.0)
    >>> times.expected_s(0), times.expected_s(1)
    (0.06, 0.3)
    """

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: dict[int, float] = {}

    def record(self, priority: int, seconds: float) -> None:
        """Record the time in which the target answered a statement."""
        mean = self._means.setdefault(priority, seconds)
        self._means[priority] = mean + RUN_WEIGHT * (seconds - mean)

    def expected_s(self, priority: int) -> float:
        """Return the expected running time in seconds."""
        return min(MAX_RUN_S, self._means.get(priority, DEFAULT_RUN_S))


def lower_limit(limit: int) -> int:
    """Return how many statements of all but the most urgent class may run.

    >>> [lower_limit(limit) for limit in (1, 2, 3, 4, 8)]
    [1, 1, 2, 3, 6]
    """
    return max(1, int(limit * LOWER_SHARE))


# Lanes of a class in order of service: statements of open transactions, those
# that can still meet their objective, and the others.
_TRANSACTION, _ON_TIME, _LATE = range(3)


class _WorkEntry(queueing.Entry):
    __slots__ = ('work', 'lane')

    def __init__(
        self,
        account: str,
        item: typing.Any,
        cost: float,
        deadline: float,
        work: Work,
        lane: int,
    ) -> None:
        super().__init__(account, item, cost, deadline)
        self.work = work
        self.lane = lane


class _Turns:
    """Give turns to waiting priorities, the most urgent first.

    Each waiting priority gets one of any MAX_TURNS consecutive turns, or of
    as many turns as there are priorities if these are more.
    """

    __slots__ = ('_left',)

    def __init__(self) -> None:
        # Number of turns within which each priority has to be served.
        self._left: dict[int, int] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, priority: int) -> None:
        self._left.setdefault(priority, MAX_TURNS)

    def remove(self, priority: int) -> None:
        del self._left[priority]

    def first(self) -> int:
        return min(self._left)

    def take(self) -> int:
        """Return the priority that has the next turn, and count the turn."""
        priority = self._next()
        for other in self._left:
            self._left[other] -= 1
        self._left[priority] = max(MAX_TURNS, len(self._left))
        return priority

    def _next(self) -> int:
        """Return the most urgent priority that may have the next turn.

        It is passed over if the others could then not be served within their
        turns.
        """
        first = min(self._left)
        others = sorted(n for p, n in self._left.items() if p != first)
        if all(left > place for place, left in enumerate(others, start=1)):
            return first
        return min(sorted(self._left), key=self._left.__getitem__)


class _ClassQueue:
    """Hold the waiting statements of one class, in order of arrival."""

    __slots__ = ('entries', 'costs', '_lanes')

    def __init__(self) -> None:
        self.entries: dict[_WorkEntry, None] = {}
        # Waiting cost by account, for each lane.
        self.costs: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(3)
        ]
        self._lanes = [_rotation(lane) for lane in range(3)]

    def add(self, entry: _WorkEntry) -> None:
        self.entries[entry] = None
        self._enter(entry)

    def _enter(self, entry: _WorkEntry) -> None:
        costs = self.costs[entry.lane]
        costs[entry.account] += entry.cost  # type: ignore[assignment]
        self._lanes[entry.lane].add(entry)

    def remove(self, entry: _WorkEntry) -> None:
        del self.entries[entry]
        self._leave(entry)

    def _leave(self, entry: _WorkEntry) -> None:
        costs = self.costs[entry.lane]
        costs[entry.account] -= entry.cost  # type: ignore[assignment]
        if costs[entry.account] <= 0:
            del costs[entry.account]

    def mark_late(self, entry: _WorkEntry) -> None:
        self._leave(entry)
        entry.lane = _LATE
        self._enter(entry)

    def take(self) -> _WorkEntry:
        for lane in self._lanes:
            entry = lane.take()
            if entry is not None:
                return typing.cast(_WorkEntry, entry)
        raise IndexError('the class has no waiting statement')

    def cost(self) -> float:
        return sum(sum(costs.values()) for costs in self.costs)

    def cost_until_served(self, account: str, cost: float, lane: int) -> float:
        """Return the cost of the class up to and including a new statement."""
        before = sum(sum(costs.values()) for costs in self.costs[:lane])
        return before + queueing.fair_cost(self.costs[lane], account, cost)


def _rotation(lane: int) -> queueing.AccountRotation:
    return queueing.AccountRotation(
        lambda entry: (
            not entry.removed and typing.cast(_WorkEntry, entry).lane == lane
        )
    )


class PriorityQueue(queueing.Queue):
    """Serve more urgent classes first, accounts of one class fairly.

    If all statements have the same class and no due time, the order is that
    of FairQueue.
    """

    def _create_order(self) -> None:
        self._classes: dict[WorkClass, _ClassQueue] = {}
        # Turns of the route priorities, and in each of the accounts'.
        self._route_turns = _Turns()
        self._account_turns: dict[int, _Turns] = {}
        self._by_start: list[tuple[float, int, _WorkEntry]] = []
        self._displaced: list[typing.Any] = []
        self._urgent_count = 0
        # Cost served recently, by class.
        self._served: dict[WorkClass, float] = {}
        # Whether the turn being given is open to all classes.
        self._full_turn = True

    def push(
        self,
        now: float,
        account: str,
        item: typing.Any,
        cost: float,
        deadline: float,
        work: Work = UNIFORM,
    ) -> model.Refusal | None:
        """Queue a statement and return None, or return why it is refused.

        A refused statement is never run. A full queue gives up its least
        urgent, latest statement instead, if it is less urgent than the new
        one; take_displaced() returns it.
        """
        if deadline <= now:
            return model.DEADLINE
        if (
            self._total
            and now + self.expected_wait_s(account, cost, work, now) > deadline
        ):
            return model.DEADLINE
        if not self._make_room(account, work.work_class):
            return model.QUEUE_FULL
        lane = _lane(work, now)
        limit = min(deadline, now + self._max_wait_s)
        self._add(now, _WorkEntry(account, item, cost, limit, work, lane))
        return None

    def _make_room(self, account: str, work_class: WorkClass) -> bool:
        if self._lengths[account] >= self._max_per_account:
            found = self._find_latest(work_class, account)
        elif self._total >= self._max_total:
            found = self._find_latest(work_class)
        else:
            return True
        if found is None:
            return False
        self._remove(found)
        self._displaced.append(found.item)
        return True

    def _find_latest(
        self, above: WorkClass, account: str | None = None
    ) -> _WorkEntry | None:
        """Return the latest statement of the least urgent class."""
        for work_class in sorted(self._classes, reverse=True):
            if work_class <= above:
                return None
            for entry in reversed(self._classes[work_class].entries):
                if account in (None, entry.account):
                    return entry
        return None

    def take_displaced(self) -> list[typing.Any]:
        """Remove and return the statements that gave way to others."""
        displaced, self._displaced = self._displaced, []
        return displaced

    def expected_wait_s(
        self,
        account: str,
        cost: float,
        work: Work = UNIFORM,
        now: float = -math.inf,
    ) -> float:
        """Return a lower estimate of a new statement's wait in seconds."""
        ahead = self._cost_ahead(account, cost, work, now)
        rate = self._service.rate() * self._part(work.work_class)
        return ahead / rate / queueing.WAIT_ERROR_FACTOR

    def _part(self, work_class: WorkClass) -> float:
        """Return the part of the service that more urgent classes leave.

        It is what they left recently, but at least MIN_PART: most of a burst
        of urgent statements is over before a later one is served.
        """
        total = sum(self._served.values())
        above = sum(n for c, n in self._served.items() if c < work_class)
        return max(MIN_PART, 1 - above / total) if total else 1.0

    def _count_served(self, work_class: WorkClass, cost: float) -> None:
        kept = 1 - 1 / SERVED_WINDOW
        self._served = {c: n * kept for c, n in self._served.items()}
        self._served[work_class] = self._served.get(work_class, 0.0) + cost

    def _cost_ahead(
        self, account: str, cost: float, work: Work, now: float
    ) -> float:
        own = self._classes.get(work.work_class)
        ahead = cost
        if own is not None:
            ahead = own.cost_until_served(account, cost, _lane(work, now))
        priority = work.work_class.priority
        above = 0.0
        # Cost of less urgent accounts, and by less urgent route priority.
        accounts: list[float] = []
        routes: dict[int, float] = collections.defaultdict(float)
        for work_class, found in self._classes.items():
            if work_class.priority > priority:
                routes[work_class.priority] += found.cost()
            elif work_class.priority < priority:
                above += found.cost()
            elif work_class < work.work_class:
                ahead += found.cost()
            elif work_class > work.work_class:
                accounts.append(found.cost())
        # The less urgent ones get one turn each of so many.
        ahead += _cost_between(accounts, ahead) + above
        return ahead + _cost_between(routes.values(), ahead)

    def pop(self, now: float, urgent_only: bool = False) -> typing.Any | None:
        """Remove and return the next statement before its deadline, or None.

        With ``urgent_only``, only the most urgent route priority of the
        target is served, which doesn't count as a turn of the others.
        """
        self._collect_expired(now)
        self._mark_late(now)
        if urgent_only and not self.urgent_waiting():
            return None
        self._full_turn = not urgent_only
        return super().pop(now)

    def _take_next(self) -> queueing.Entry:
        turns = self._route_turns
        priority = turns.take() if self._full_turn else turns.first()
        account_priority = self._account_turns[priority].take()
        work_class = WorkClass(priority, account_priority)
        entry = self._classes[work_class].take()
        self._count_served(work_class, entry.cost)
        return entry

    def waiting(self) -> dict[WorkClass, int]:
        """Return the number of waiting statements of the waiting classes."""
        return {
            work_class: len(found.entries)
            for work_class, found in self._classes.items()
            if found.entries
        }

    def urgent_waiting(self) -> int:
        """Return how many statements of the most urgent class wait."""
        return self._urgent_count

    def _mark_late(self, now: float) -> None:
        while self._by_start and self._by_start[0][0] < now:
            _, _, entry = heapq.heappop(self._by_start)
            if not entry.removed and entry.lane == _ON_TIME:
                self._classes[entry.work.work_class].mark_late(entry)

    def _insert(self, entry: queueing.Entry) -> None:
        added = typing.cast(_WorkEntry, entry)
        work_class = added.work.work_class
        found = self._classes.get(work_class)
        if found is None:
            found = self._classes[work_class] = _ClassQueue()
        if not found.entries:
            self._add_turns(work_class)
        found.add(added)
        self._urgent_count += added.work.urgent
        if added.lane == _ON_TIME and added.work.due_at < math.inf:
            heapq.heappush(
                self._by_start,
                (added.work.start_by, next(self._numbers), added),
            )

    def _remove(self, entry: queueing.Entry) -> None:
        super()._remove(entry)
        removed = typing.cast(_WorkEntry, entry)
        work_class = removed.work.work_class
        found = self._classes[work_class]
        found.remove(removed)
        if not found.entries:
            self._remove_turns(work_class)
            # The last class keeps the order of its accounts while it is
            # empty, as FairQueue does.
            if len(self._classes) > 1:
                del self._classes[work_class]
        self._urgent_count -= removed.work.urgent

    def _add_turns(self, work_class: WorkClass) -> None:
        priority, account_priority = work_class
        self._route_turns.add(priority)
        turns = self._account_turns.setdefault(priority, _Turns())
        turns.add(account_priority)

    def _remove_turns(self, work_class: WorkClass) -> None:
        priority, account_priority = work_class
        turns = self._account_turns[priority]
        turns.remove(account_priority)
        if not turns:
            del self._account_turns[priority]
            self._route_turns.remove(priority)

    def _cost_until_served(self, account: str, cost: float) -> float:
        return self._cost_ahead(account, cost, UNIFORM, -math.inf)


def _cost_between(costs: Iterable[float], ahead: float) -> float:
    """Return the cost served in the turns of less urgent priorities."""
    return sum(min(cost, ahead / (MAX_TURNS - 1)) for cost in costs)


def _lane(work: Work, now: float) -> int:
    if work.in_transaction:
        return _TRANSACTION
    return _ON_TIME if work.start_by >= now else _LATE


def most_urgent(priorities: Collection[int]) -> int | None:
    """Return the most urgent priority, None if all are the same.

    >>> most_urgent([2, 1, 2]), most_urgent([2, 2]), most_urgent([])
    (1, None, None)
    """
    found = set(priorities)
    return min(found) if len(found) > 1 else None
