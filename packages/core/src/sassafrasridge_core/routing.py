"""Choice of the target for a request."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
import typing

from sassafrasridge_core import model
from sassafrasridge_core import sessions

CIRCUIT_OPEN = model.Refusal('circuit_open')


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


class Need:
    """Hold what a read accepts; ``max_age_s`` is in seconds.

    With ``primary`` only the primary may serve it. A session without a token
    has seen no position, which every target covers.
    """

    __slots__ = ('position', 'max_age_s', 'primary')

    def __init__(
        self,
        position: model.Position | None,
        max_age_s: float,
        primary: bool = False,
    ) -> None:
        self.position = position
        self.max_age_s = max_age_s
        self.primary = primary

    def fits(
        self,
        term: int,
        applied: int,
        starts: Mapping[int, int],
        age: Callable[[int, int], float],
    ) -> bool:
        """Return whether what a target has applied is proven to suffice.

        ``starts`` are the starts of the group's terms. ``age`` returns the
        age of what a target of a term has applied.
        """
        if self.position is not None and not sessions.covers(
            self.position, term, applied, starts
        ):
            return False
        if self.max_age_s == math.inf:
            return True
        return age(term, applied) <= self.max_age_s


def choose(
    candidates: Iterable[Candidate],
    home_zone: str,
    zone_order: Sequence[str],
    rng: Random,
    exclude: Container[str] = (),
) -> Candidate | model.Refusal:
    """Return the target for a read, or why there is none.

    All candidates fit what the read needs. Replicas come before the primary,
    whose capacity is for writes. Among replicas one with room comes first,
    then the nearest zone, and of two random ones there the one with fewer
    statements in flight: always taking the least loaded would send the
    requests of all entry processes to the same target until their figures
    catch up. ``zone_order`` lists zones from
    near to far; ``exclude`` has the servers that an attempt failed on.
    """
    known = [c for c in candidates if c.server not in exclude]
    if not known:
        return model.NO_TARGET
    usable = [c for c in known if c.allowed]
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
