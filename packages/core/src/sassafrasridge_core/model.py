"""Data types shared by several modules."""

import functools
import typing

# Highest number of statements or connections that a target may accept, and
# highest priority. Messages between daemons carry them, and small multiples of
# them, as 32-bit numbers.
MAX_COUNT = 1_000_000


@functools.total_ordering
class Position:
    """Identify an entry of a group's log, ordered by term, then index.

    >>> Position(1, 9) < Position(2, 3)
    True
    """

    __slots__ = ('term', 'index')

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Position):
            return NotImplemented
        return (self.term, self.index) == (other.term, other.index)

    def __lt__(self, other: 'Position') -> bool:
        return (self.term, self.index) < (other.term, other.index)

    def __hash__(self) -> int:
        return hash((self.term, self.index))

    def __repr__(self) -> str:
        return f'Position({self.term}, {self.index})'


def position_text(position: Position | None) -> str | None:
    """Return a position as TERM.INDEX for the log.

    >>> position_text(Position(2, 7)), position_text(None)
    ('2.7', None)
    """
    return None if position is None else f'{position.term}.{position.index}'


class Refusal:
    """Represent a refused request: a falsy sentinel with a reason."""

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f'Refusal({self.reason!r})'


NO_LEASE = Refusal('no_lease')
QUEUE_FULL = Refusal('queue_full')
DEADLINE = Refusal('deadline')
NO_TARGET = Refusal('no_target')
RATE_LIMITED = Refusal('rate_limited')
DRAINING = Refusal('draining')
ZONE_DRAINED = Refusal('zone_drained')
TARGET_COLD = Refusal('target_cold')


class TargetInfo:
    """Hold the last announcement of a target.

    ``cold_s`` is the time in seconds for which it still is cold, 0 if warm.
    """

    __slots__ = (
        'server',
        'group',
        'zone',
        'address',
        'role',
        'term',
        'position',
        'slots',
        'connections',
        'leaving',
        'cold_s',
    )

    def __init__(
        self,
        server: str,
        group: str,
        zone: str,
        address: str,
        role: str,
        term: int,
        position: int,
        slots: int,
        connections: int,
        leaving: bool = False,
        cold_s: float = 0.0,
    ) -> None:
        self.server = server
        self.group = group
        self.zone = zone
        self.address = address
        self.role = role
        self.term = term
        self.position = position
        self.slots = slots
        self.connections = connections
        self.leaving = leaving
        self.cold_s = cold_s


class PromotionOrder:
    """Hold a promotion that was ordered and may still take effect.

    ``view_term`` is the term of the group's view in whose change it was
    ordered. ``position`` is the end of the target's log that was proved to
    include every acknowledged commit.
    """

    __slots__ = ('server', 'view_term', 'position')

    def __init__(
        self, server: str, view_term: int, position: Position
    ) -> None:
        self.server = server
        self.view_term = view_term
        self.position = position


class GroupView:
    """Hold the primary, the term and the members of a database group.

    ``primary`` is None while no server may act as primary. ``members`` maps
    server names to addresses. ``starts`` maps a term to the log index at which
    it began: terms of the view, or of the log if the group manages replication
    itself. ``changing`` is true from the decision to replace the primary
    until the next one is chosen. ``log_term`` is the term that the primary of
    a group that manages replication itself began in its log, 0 if unknown.
    ``promotion`` is committed before its order is sent, and removed only when
    the order can no longer take effect.
    """

    __slots__ = (
        'group',
        'term',
        'primary',
        'members',
        'starts',
        'changing',
        'log_term',
        'promotion',
    )

    def __init__(
        self,
        group: str,
        term: int = 0,
        primary: str | None = None,
        members: dict[str, str] | None = None,
        starts: dict[int, int] | None = None,
        changing: bool = False,
        log_term: int = 0,
        promotion: PromotionOrder | None = None,
    ) -> None:
        self.group = group
        self.term = term
        self.primary = primary
        self.members = dict(members or {})
        self.starts = dict(starts or {})
        self.changing = changing
        self.log_term = log_term
        self.promotion = promotion

    def replace(self, **fields: typing.Any) -> 'GroupView':
        """Return a copy with some fields replaced.

        >>> view = GroupView('g', 1, 'a', log_term=3).replace(term=2)
        >>> view.term, view.primary, view.log_term
        (2, 'a', 3)
        """
        held = {name: getattr(self, name) for name in self.__slots__}
        return GroupView(**{**held, **fields})

    def majority(self) -> int:
        """Return how many members form a majority."""
        return len(self.members) // 2 + 1
