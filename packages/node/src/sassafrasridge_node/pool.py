"""Connection pool of one target."""

import asyncio
import collections
import collections.abc

from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import metrics

# Minimum delay before another attempt after opening a connection failed.
OPEN_RETRY_DELAY_S = 0.1


class Pool:
    """Manage the connections to one target within a granted limit."""

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
        self._open_conns: set[connections.TargetConnection] = set()
        self._opening_count = 0
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._stale_before = float('-inf')
        self._retry_at = float('-inf')

    @property
    def held(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open_conns) + self._opening_count

    def __len__(self) -> int:
        return len(self._open_conns)

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def take(self) -> connections.TargetConnection | None:
        """Remove and return the most recently used idle connection."""
        while self._idle:
            conn = self._idle.pop()
            if conn.closed:
                continue
            if conn.last_answer_at < self._stale_before:
                conn.close()
                continue
            return conn
        return None

    def take_least_recently_used(self) -> connections.TargetConnection | None:
        """Remove and return the least recently used idle connection."""
        while self._idle:
            conn = self._idle.popleft()
            if not conn.closed:
                return conn
        return None

    def put_back(self, conn: connections.TargetConnection) -> None:
        """Put back a connection that was taken but not used."""
        self._idle.append(conn)

    def give_back(self, conn: connections.TargetConnection) -> None:
        """Return a connection in a clean state; close it if over the limit."""
        if conn.closed or conn not in self._open_conns:
            return
        if len(self._open_conns) > self.limit:
            conn.close()
        else:
            self._idle.append(conn)
            self._on_change()

    def fill(self, wanted: int) -> None:
        """Open connections in the background, up to ``wanted`` in total."""
        now = clocks.boottime()
        if now < self._retry_at:
            return
        missing = (
            min(wanted, self.limit)
            - len(self._open_conns)
            - self._opening_count
        )
        for _ in range(missing):
            self._opening_count += 1
            task = asyncio.ensure_future(self._open_connection())
            self._open_tasks.add(task)
            task.add_done_callback(self._open_tasks.discard)

    def shrink(self) -> None:
        """Close idle connections above the limit."""
        while (
            self._idle
            and len(self._open_conns) + self._opening_count > self.limit
        ):
            self._idle.popleft().close()

    def fail_silent_since(self, before: float) -> None:
        """Close every connection that has had no answer since ``before``.

        A network device that drops its connection state drops all of it at
        once, so one silent connection makes the others suspect as well.
        """
        self._stale_before = max(self._stale_before, before)
        for conn in list(self._open_conns):
            if conn.last_answer_at < before:
                conn.fail(f'connections to {self.address} went silent')

    def fail_all(self, reason: str) -> None:
        """Close all connections and fail the calls on them."""
        for conn in list(self._open_conns):
            conn.fail(reason)

    def close(self) -> None:
        """Close all connections."""
        self.limit = 0
        for conn in list(self._open_conns):
            conn.close()
        for task in self._open_tasks:
            task.cancel()

    async def _open_connection(self) -> None:
        try:
            conn = await self._dialer.open(self.address)
            # The target answers once it has finished opening the connection.
            answer = await conn.call(
                '/status', {}, connections.CONNECT_TIMEOUT_S
            )
            if answer.status != 200:
                conn.close()
                raise connections.ConnectionLostError(
                    'connection refused', sent=False
                )
        except connections.ConnectionLostError:
            self._retry_at = clocks.boottime() + OPEN_RETRY_DELAY_S
            self._metrics.connection_failures.inc()
            self._on_failure()
            return
        finally:
            self._opening_count -= 1
        self._open_conns.add(conn)
        conn.lost.add_done_callback(lambda _: self._remove(conn))
        self._idle.append(conn)
        self._on_change()

    def _remove(self, conn: connections.TargetConnection) -> None:
        self._open_conns.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._on_change()
