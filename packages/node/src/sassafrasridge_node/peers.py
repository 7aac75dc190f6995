"""Tracks which other entry processes failed to answer recently."""

from sassafrasridge_node import clocks

# Time for which a process that failed to answer is skipped or tried last.
# Control removes it from the list of live processes within the duration of a
# lease and a renewal interval.
SILENT_PEER_AVOIDANCE_S = 1.0


class UnresponsivePeers:
    """Track the entry processes that failed to answer recently."""

    __slots__ = ('_until',)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record_failure(self, entry: str) -> None:
        """Record that a process failed to answer."""
        self._until[entry] = clocks.boottime() + SILENT_PEER_AVOIDANCE_S

    def __contains__(self, entry: str) -> bool:
        return self._until.get(entry, float('-inf')) > clocks.boottime()
