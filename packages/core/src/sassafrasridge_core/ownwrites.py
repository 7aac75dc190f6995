"""Log positions of a session's own writes, by group.

The route of a session may lead to one group after another. The logs of two
groups have nothing in common, so each position belongs to its group.
"""

from sassafrasridge_core import model

# Maximum number of groups whose positions a session keeps.
MAX_GROUPS = 16


class OwnWrites:
    """Hold the position of a session's last write in each group.

    >>> writes = OwnWrites()
    >>> writes.record('g', model.Position(1, 9))
    >>> writes.record('h', model.Position(1, 2))
    >>> writes.position('g'), writes.position('h'), writes.position('i')
    (Position(1, 9), Position(1, 2), None)
    """

    __slots__ = ('_positions', '_complete')

    def __init__(self) -> None:
        # Groups in the order of their last writes; None is a position that
        # the target didn't tell.
        self._positions: dict[str, model.Position | None] = {}
        # Whether the session wrote in no other group.
        self._complete = True

    def record(self, group: str, position: model.Position | None) -> None:
        """Record an acknowledged write, with None for an unknown position.

        A lower position than before is that of a log that began anew.
        """
        self._positions.pop(group, None)
        self._positions[group] = position
        if len(self._positions) > MAX_GROUPS:
            del self._positions[next(iter(self._positions))]
            self._complete = False

    def record_unattributed(
        self, group: str, position: model.Position
    ) -> None:
        """Record a write in a group that isn't known, probably ``group``.

        >>> writes = OwnWrites()
        >>> writes.record('g', model.Position(1, 9))
        >>> writes.record_unattributed('g', model.Position(1, 2))
        >>> writes.position('g'), writes.known('g'), writes.known('h')
        (Position(1, 9), True, False)
        """
        known = self._positions.get(group, position)
        self.record(group, known and max(known, position))
        self._complete = False

    def known(self, group: str) -> bool:
        """Return whether the positions of all writes in a group are known.

        >>> writes = OwnWrites()
        >>> writes.record('g', None)
        >>> writes.known('g'), writes.known('h')
        (False, True)
        """
        if group in self._positions:
            return self._positions[group] is not None
        return self._complete

    def position(self, group: str) -> model.Position | None:
        """Return the position of the last write in a group, if any.

        Returns None as well if the position isn't known.
        """
        return self._positions.get(group)

    def dump(self) -> dict[str, object]:
        """Return the content as JSON values.

        >>> writes = OwnWrites()
        >>> writes.record('g', model.Position(1, 9))
        >>> writes.dump()
        {'positions': {'g': (1, 9)}, 'complete': True}
        """
        return {
            'positions': {
                group: position and (position.term, position.index)
                for group, position in self._positions.items()
            },
            'complete': self._complete,
        }

    @classmethod
    def load(cls, dumped: dict[str, object]) -> 'OwnWrites':
        """Return the content that dump() returned.

        >>> writes = OwnWrites.load(
        ...     {'positions': {'g': [1, 9], 'h': None}, 'complete': False}
        ... )
        >>> writes.position('g'), writes.known('h'), writes.known('i')
        (Position(1, 9), False, False)
        """
        writes = cls()
        positions = dumped['positions']
        assert isinstance(positions, dict)  # noqa: S101
        for group, pair in positions.items():
            writes._positions[group] = pair and model.Position(*pair)
        writes._complete = bool(dumped['complete'])
        return writes
