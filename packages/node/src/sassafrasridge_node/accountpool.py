"""The connections of all client accounts to one target."""

import collections
import typing

from sassafrasridge_node import clocks

if typing.TYPE_CHECKING:
    from sassafrasridge_node import sessionpool

# Targets close connections that are idle for one minute.
MAX_IDLE_S = 45.0


class AccountPool:
    """Hold the connections of all accounts, within one common limit."""

    def __init__(self) -> None:
        self.limit = 0
        self.opening = 0
        self.connections: set[sessionpool.SessionConnection] = set()
        # Connections of all accounts, least recently used first.
        self._idle: collections.OrderedDict[typing.Any, None] = (
            collections.OrderedDict()
        )

    @property
    def held(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self.connections) + self.opening

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return len(self._idle)

    def has_idle(self, account: str) -> bool:
        """Return whether an account has an idle connection."""
        return any(conn.account == account for conn in self._idle)

    def take(
        self, account: str, values: dict[str, str]
    ) -> 'sessionpool.SessionConnection | None':
        """Take an idle connection of an account, or return None.

        Prefers one with the same session values, then the most recently
        used one.
        """
        found = None
        for conn in reversed(self._idle):
            if conn.account == account and not conn.closed:
                found = found or conn
                if conn.values == values:
                    found = conn
                    break
        if found is not None:
            del self._idle[found]
        return found

    def take_newest_idle(self) -> 'sessionpool.SessionConnection | None':
        """Take the most recently used idle connection of any account."""
        if not self._idle:
            return None
        conn, _ = self._idle.popitem()
        return conn

    def evict(self) -> bool:
        """Close the longest idle connection; return whether there was one."""
        if not self._idle:
            return False
        conn, _ = self._idle.popitem(last=False)
        self.discard(conn)
        return True

    def give_back(self, conn: 'sessionpool.SessionConnection') -> None:
        """Take back a clean connection; close it if above the limit."""
        if conn.closed or conn not in self.connections:
            self.discard(conn)
        elif self.held > self.limit:
            self.discard(conn)
        else:
            conn.used_at = clocks.boottime()
            self._idle[conn] = None

    def discard(self, conn: 'sessionpool.SessionConnection') -> None:
        """Close a connection and remove it from the pool."""
        conn.close()
        self._idle.pop(conn, None)
        self.connections.discard(conn)

    def shrink(self) -> None:
        """Close idle connections above the limit or idle for too long."""
        while self.held > self.limit and self.evict():
            continue
        oldest = clocks.boottime() - MAX_IDLE_S
        while self._idle and next(iter(self._idle)).used_at < oldest:
            self.evict()

    def close(self) -> None:
        """Close all connections, failing their calls; allow no new ones."""
        self.limit = 0
        for conn in list(self.connections):
            self.discard(conn)
