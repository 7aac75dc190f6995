"""Which other entry processes gave no answer a moment ago."""

from sassafrasridge_node import clocks

SILENT_S = 1.0
"""Time for which a process that gave no answer is not asked, or asked last:
control takes it off the list of live processes within a lease and a
renewal."""


class SilentPeers:
    """Remember entry processes that gave no answer."""

    __slots__ = ('_until',)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def note(self, entry: str) -> None:
        """Record that a process gave no answer."""
        self._until[entry] = clocks.boottime() + SILENT_S

    def __contains__(self, entry: str) -> bool:
        return self._until.get(entry, float('-inf')) > clocks.boottime()
