"""Choice of the target for a request."""

import abc
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import typing

from sassafrasridge_core import model
from sassafrasridge_core import sessions

CIRCUIT_OPEN = model.Refusal('circuit_open')
NOT_FRESH = model.Refusal('not_fresh')


class Random(typing.Protocol):
    """A source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number from 0 to below 1."""


class Candidate:
    """Hold what is known of a target that might serve a request.

    ``allowed`` is false while its circuit is open or it is leaving. With
    ``limit`` above zero, a target with that many statements in flight has no
    room.
    """

    __slots__ = (
        'server',
        'zone',
        'role',
        'term',
        'applied',
        'in_flight',
        'allowed',
        'limit',
    )

    def __init__(
        self,
        server: str,
        zone: str,
        role: str,
        term: int,
        applied: int,
        in_flight: int = 0,
        allowed: bool = True,
        limit: int = 0,
    ) -> None:
        self.server = server
        self.zone = zone
        self.role = role
        self.term = term
        self.applied = applied
        self.in_flight = in_flight
        self.allowed = allowed
        self.limit = limit

    def has_room(self) -> bool:
        """Return whether a statement would run at once."""
        return self.limit <= 0 or self.in_flight < self.limit

    def __repr__(self) -> str:
        return f'Candidate({self.server!r}, {self.zone!r}, {self.role!r})'


class Need(abc.ABC):
    """What a request needs of its target."""

    @abc.abstractmethod
    def admits(self, candidate: Candidate) -> bool:
        """Return whether a target may serve the request."""


class Primary(Need):
    """The primary of a term: writes, transactions, strict reads."""

    __slots__ = ('term',)

    def __init__(self, term: int) -> None:
        self.term = term

    def admits(self, candidate: Candidate) -> bool:
        """Return whether a target is the primary of the term."""
        return candidate.role == 'primary' and candidate.term == self.term


class Covers(Need):
    """A target that has everything the session has seen.

    ``starts`` are the starts of the group's terms. A session without a
    token has seen ``Position(0, 0)``, which every target covers.
    """

    __slots__ = ('position', 'starts')

    def __init__(
        self, position: model.Position, starts: Mapping[int, int]
    ) -> None:
        self.position = position
        self.starts = starts

    def admits(self, candidate: Candidate) -> bool:
        """Return whether a target covers the position."""
        return sessions.covers(
            self.position, candidate.term, candidate.applied, self.starts
        )


class MaxAge(Need):
    """A target whose data is provably no older than a limit in seconds.

    ``age`` returns the age of what a target of a term has applied, usually
    ``PrimaryTimeline.age`` with the time filled in.
    """

    __slots__ = ('limit_s', 'age')

    def __init__(
        self, limit_s: float, age: Callable[[int, int], float]
    ) -> None:
        self.limit_s = limit_s
        self.age = age

    def admits(self, candidate: Candidate) -> bool:
        """Return whether a target's age is proven and within the limit."""
        return self.age(candidate.term, candidate.applied) <= self.limit_s


def choose(
    candidates: Iterable[Candidate],
    need: Need,
    home_zone: str,
    zone_order: Sequence[str],
    rng: Random,
    exclude: Container[str] = (),
) -> Candidate | model.Refusal:
    """Return the target for a request, or why there is none.

    Replicas come before the primary, whose capacity is for writes. Among
    replicas one with room comes first, then the nearest zone, and of two
    random ones there the one with fewer statements in flight: always taking
    the least loaded would send the requests of all entry processes to the
    same target until their figures catch up. ``zone_order`` lists zones from
    near to far; ``exclude`` has the servers that an attempt failed on.
    """
    known = [c for c in candidates if c.server not in exclude]
    if not known:
        return model.NO_TARGET
    fit = [c for c in known if need.admits(c)]
    if not fit:
        return model.NO_TARGET if isinstance(need, Primary) else NOT_FRESH
    usable = [c for c in fit if c.allowed]
    if not usable:
        return CIRCUIT_OPEN
    pool = [c for c in usable if c.role == 'replica'] or usable
    pool = [c for c in pool if c.has_room()] or pool
    return _less_loaded(_nearest(pool, home_zone, zone_order), rng)


def _nearest(
    pool: list[Candidate], home_zone: str, zone_order: Sequence[str]
) -> list[Candidate]:
    for zone in (home_zone, *zone_order):
        near = [c for c in pool if c.zone == zone]
        if near:
            return near
    return pool


def _less_loaded(pool: list[Candidate], rng: Random) -> Candidate:
    if len(pool) == 1:
        return pool[0]
    index = int(rng.random() * len(pool))
    other = int(rng.random() * (len(pool) - 1))
    first = pool[index]
    second = pool[other + (other >= index)]
    return second if second.in_flight < first.in_flight else first
