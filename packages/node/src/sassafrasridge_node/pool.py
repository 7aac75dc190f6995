"""The connections to one target."""

import asyncio
import collections
import collections.abc

from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics

OPEN_RETRY_S = 0.1


class Pool:
    """Own the connections to one target, within a leased limit."""

    def __init__(
        self,
        address: str,
        dialer: connections.Dialer,
        on_change: collections.abc.Callable[[], None],
        on_failure: collections.abc.Callable[[], None],
        counters: metrics.Metrics,
    ) -> None:
        self.address = address
        self._dialer = dialer
        self._metrics = counters
        self._on_failure = on_failure
        self.limit = 0
        self._on_change = on_change
        self._idle: collections.deque[connections.TargetConnection] = (
            collections.deque()
        )
        self._all: set[connections.TargetConnection] = set()
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._suspect_before = float('-inf')
        self._retry_at = float('-inf')

    @property
    def held(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._all) + self._opening

    def __len__(self) -> int:
        return len(self._all)

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return len(self._idle)

    def take(self) -> connections.TargetConnection | None:
        """Return an idle connection, the one used last first."""
        while self._idle:
            conn = self._idle.pop()
            if conn.closed:
                continue
            if conn.last_answer_at < self._suspect_before:
                conn.close()
                continue
            return conn
        return None

    def take_oldest(self) -> connections.TargetConnection | None:
        """Return the idle connection that was not used for longest."""
        while self._idle:
            conn = self._idle.popleft()
            if not conn.closed:
                return conn
        return None

    def put_back(self, conn: connections.TargetConnection) -> None:
        """Return a connection that was taken and not used."""
        self._idle.append(conn)

    def give_back(self, conn: connections.TargetConnection) -> None:
        """Take back a connection whose state is known to be clean."""
        if conn.closed or conn not in self._all:
            return
        if len(self._all) > self.limit:
            conn.close()
        else:
            self._idle.append(conn)
            self._on_change()

    def fill(self, wanted: int) -> None:
        """Open connections in the background up to a number wanted."""
        now = clocks.boottime()
        if now < self._retry_at:
            return
        missing = min(wanted, self.limit) - len(self._all) - self._opening
        for _ in range(missing):
            self._opening += 1
            task = asyncio.ensure_future(self._open())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def shrink(self) -> None:
        """Close idle connections above the limit."""
        while self._idle and len(self._all) + self._opening > self.limit:
            self._idle.popleft().close()

    def suspect_all(self, before: float) -> None:
        """Close every connection without an answer since a time.

        A device between the two ends that lost track of connections loses
        them all at once, so one silent connection casts doubt on the rest.
        """
        self._suspect_before = max(self._suspect_before, before)
        for conn in list(self._all):
            if conn.last_answer_at < before:
                conn.fail(f'connections to {self.address} went silent')

    def fail_all(self, reason: str) -> None:
        """Close all connections and fail the calls on them."""
        for conn in list(self._all):
            conn.fail(reason)

    def close(self) -> None:
        """Close all connections."""
        self.limit = 0
        for conn in list(self._all):
            conn.close()
        for task in self._tasks:
            task.cancel()

    async def _open(self) -> None:
        try:
            conn = await self._dialer.open(self.address)
            # The first answer comes once the target has finished opening.
            answer = await conn.call(
                '/status', {}, connections.CONNECT_TIMEOUT_S
            )
            if answer.status != 200:
                conn.close()
                raise connections.ConnectionLostError(
                    'connection refused', sent=False
                )
        except connections.ConnectionLostError:
            self._retry_at = clocks.boottime() + OPEN_RETRY_S
            self._metrics.connection_failures.inc()
            self._on_failure()
            return
        finally:
            self._opening -= 1
        self._all.add(conn)
        conn.lost.add_done_callback(lambda _: self._forget(conn))
        self._idle.append(conn)
        self._on_change()

    def _forget(self, conn: connections.TargetConnection) -> None:
        self._all.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._on_change()
