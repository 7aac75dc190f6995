"""Selection of the target for a read."""

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
    """Define the random number source, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class Candidate:
    """Store the known state of a target that might serve a request.

    ``allowed`` is false while the target's circuit is open or it is leaving.
    ``limit`` is the number of statements in flight from which on the target
    is full; zero means no limit.
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

    def has_free_slot(self) -> bool:
        """Return whether a statement would run without queueing."""
        return self.limit <= 0 or self.in_flight < self.limit

    def __repr__(self) -> str:
        return f'Candidate({self.server!r}, {self.zone!r}, {self.role!r})'


class ReadRequirements:
    """Store the requirements of a read; ``max_age_s`` is in seconds.

    With ``primary``, only the primary may serve the read. ``position`` is None
    for a session without a token; every target satisfies that.
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

    def is_satisfied_by(
        self,
        term: int,
        applied: int,
        starts: Mapping[int, int],
        age: Callable[[int, int], float],
    ) -> bool:
        """Return whether a target's applied position provably suffices.

        ``starts`` maps the group's terms to their start index. ``age`` returns
        an upper bound on the age of a target's data, given its term and
        applied index.
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

    All candidates must satisfy the read's requirements. Replicas are preferred
    to the primary, whose capacity is reserved for writes. Among them, those
    with a free slot are preferred, then those in the nearest zone. Of two
    random ones that remain, the one with fewer statements in flight is
    returned: if all entry processes chose the least loaded target, they would
    all send requests to the same one until their load figures were updated.
    ``zone_order`` lists zones from near to far; ``exclude`` contains the
    servers on which an earlier attempt failed.
    """
    known = [c for c in candidates if c.server not in exclude]
    if not known:
        return model.NO_TARGET
    usable = [c for c in known if c.allowed]
    if not usable:
        return CIRCUIT_OPEN
    preferred = [c for c in usable if c.role == 'replica'] or usable
    preferred = [c for c in preferred if c.has_free_slot()] or preferred
    return _less_loaded(_nearest(preferred, home_zone, zone_order), rng)


def _nearest(
    candidates: list[Candidate], home_zone: str, zone_order: Sequence[str]
) -> list[Candidate]:
    for zone in (home_zone, *zone_order):
        near = [c for c in candidates if c.zone == zone]
        if near:
            return near
    return candidates


def _less_loaded(candidates: list[Candidate], rng: Random) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    index = int(rng.random() * len(candidates))
    other = int(rng.random() * (len(candidates) - 1))
    first = candidates[index]
    second = candidates[other + (other >= index)]
    return second if second.in_flight < first.in_flight else first
