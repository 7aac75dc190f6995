"""The order in which the statements of a process get to one target."""

import abc
import collections.abc
import typing

from sassafrasridge_core import model
from sassafrasridge_core import scheduling
from sassafrasridge_node import backends
from sassafrasridge_node import clocks

# A statement that has had no answer for this long no longer counts as running
# at the target: its answer is probably lost. It is many times the usual time.
STATEMENT_STALL_S = 0.3


class Turns:
    """Track the class of the statements that a process has at a target.

    A statement has its turn from its admission until it has a connection,
    which then stands for it until the connection is released.
    """

    __slots__ = ('_lower_pending', '_by_conn')

    def __init__(self) -> None:
        self._lower_pending = 0
        self._by_conn: dict[typing.Any, scheduling.Work] = {}

    def begin(self, work: scheduling.Work) -> None:
        """Record that a statement was admitted."""
        self._lower_pending += not work.urgent

    def end(self, work: scheduling.Work) -> None:
        """Record that an admitted statement has a connection or failed."""
        self._lower_pending -= not work.urgent

    def add(self, conn: typing.Any, work: scheduling.Work) -> None:
        """Record the connection that a statement uses."""
        self._by_conn[conn] = work

    def work(self, conn: typing.Any) -> scheduling.Work:
        """Return the statement or transaction that uses a connection."""
        return self._by_conn.get(conn, scheduling.UNIFORM)

    def remove(self, conn: typing.Any) -> None:
        """Record that a connection was released."""
        self._by_conn.pop(conn, None)

    def urgent(self) -> int:
        """Return how many connections the most urgent class uses."""
        return sum(work.urgent for work in self._by_conn.values())

    def free_lower(
        self, limit: int, running: typing.Iterable[typing.Any]
    ) -> int:
        """Return how many more statements of lower classes may run.

        ``running`` are the connections with a statement at the target.
        """
        used = sum(not self.work(conn).urgent for conn in running)
        return scheduling.lower_limit(limit) - used - self._lower_pending


class QueuedBackend(backends.Backend, abc.ABC):
    """Give turns at a target to statements, by class."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        # Connections with a statement at the target, or about to send one, and
        # since when.
        self._running: dict[typing.Any, float] = {}
        # Statements whose turn has come and that have no connection yet.
        self._admitted = 0
        self._turns = Turns()
        self.run_times = scheduling.RunTimes()
        # Returns whether a part is reserved for the most urgent class.
        self.reserves: collections.abc.Callable[[], bool] = lambda: False
        # Returns whether the target is the primary and no change is under way.
        self.is_current_primary: collections.abc.Callable[[], bool] = lambda: (
            True
        )

    @abc.abstractmethod
    def _free_statements(self) -> int:
        """Return how many more statements may be sent to the target now."""

    def require_usable(self, primary: bool) -> None:
        """Raise ReplacedError or UnreachableError if it must not be used."""
        super().require_usable(primary)
        if primary and not self.is_current_primary():
            raise backends.ReplacedError()

    def _stall_s(self) -> float:
        """Return after how long a statement no longer counts as running."""
        return STATEMENT_STALL_S

    def _may_start(self, work: scheduling.Work) -> bool:
        """Return whether a new statement may be sent without waiting."""
        free = self._free_statements()
        return free > 0 and (work.urgent or self._free_lower(free) > 0)

    def _free_lower(self, free: int) -> int:
        """Return how many statements of lower classes may be sent now."""
        if not self.reserves():
            return free
        stalled_since = clocks.boottime() - self._stall_s()
        running = [c for c, at in self._running.items() if at > stalled_since]
        limit = free + len(running) + self.pool.opening + self._admitted
        limit = min(limit, self.pool.limit)
        return min(free, self._turns.free_lower(limit, running))

    def statement_done(self, conn: typing.Any, seconds: float) -> None:
        """Record the time in which the target ran a statement."""
        priority = self._turns.work(conn).work_class.priority
        self.run_times.record(priority, seconds)
        self._metrics.count_served(priority)

    async def _wait_for_turn(
        self, account: str, work: scheduling.Work, deadline: float
    ) -> None:
        """Wait in the queue until a statement may be sent.

        Its turn stays valid whatever is counted as running afterwards.
        """
        with self._metrics.waiting(work.work_class.priority):
            await self._wait_in_queue(
                account, deadline, work.needs_primary, work
            )
        self._admitted -= 1

    def expected_wait_s(self, account: str, work: scheduling.Work) -> float:
        """Return the expected wait of a new statement in seconds."""
        if self._may_start(work):
            return 0.0
        if isinstance(self.queue, scheduling.PriorityQueue):
            now = clocks.boottime()
            return self.queue.expected_wait_s(account, 1.0, work, now)
        return self.queue.expected_wait_s(account, 1.0)

    def _push(
        self,
        now: float,
        account: str,
        ticket: backends.Ticket,
        deadline: float,
    ) -> model.Refusal | None:
        queue = self.queue
        if not isinstance(queue, scheduling.PriorityQueue):
            return super()._push(now, account, ticket, deadline)
        refusal = queue.push(now, account, ticket, 1.0, deadline, ticket.work)
        fail_tickets(
            queue.take_displaced(),
            lambda: backends.refusal_error(model.QUEUE_FULL),
        )
        return refusal

    def _return_unused(self, result: typing.Any) -> None:
        """Pass the turn of a statement that no longer waits on."""
        self._admitted -= 1
        self._turns.end(result)

    def _next_turn(
        self, now: float, urgent_only: bool
    ) -> backends.Ticket | None:
        queue = self.queue
        if not isinstance(queue, scheduling.PriorityQueue):
            return self._next_ticket(now)
        while True:
            ticket = queue.pop(now, urgent_only)
            if ticket is None or not ticket.fut.done():
                return typing.cast(backends.Ticket | None, ticket)

    def on_primary_replaced(self) -> None:
        """Let statements that need the primary wait for the new one.

        The connections stay: a former primary still serves reads.
        """
        fail_tickets(
            self.queue.cancel(lambda ticket: ticket.primary),
            backends.ReplacedError,
        )

    def refuse_expired(self, now: float) -> None:
        """Refuse the statements whose deadline has passed."""
        fail_tickets(
            self.queue.expire(now),
            lambda: backends.refusal_error(model.DEADLINE),
        )


def fail_tickets(
    tickets: typing.Iterable[backends.Ticket],
    create_error: typing.Callable[[], Exception],
) -> None:
    """End the wait of tickets with an error."""
    for ticket in tickets:
        if not ticket.fut.done():
            ticket.fut.set_exception(create_error())
