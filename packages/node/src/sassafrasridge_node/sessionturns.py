"""The part of a target's statements that less urgent classes may use."""

import typing

from sassafrasridge_core import scheduling


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
