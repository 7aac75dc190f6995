"""Upper bounds on the age of a replica's data, from primary positions."""

import bisect
from collections.abc import Mapping
import math

from sassafrasridge_core import model
from sassafrasridge_core import sessions

# Levels of a timeline: seconds between samples, and number of samples. The
# finest level gives precise ages of fresh replicas. The coarser ones cover ten
# minutes, for callers that accept old data, with bounded memory.
LEVELS = ((0.01, 128), (0.25, 128), (5.0, 120))


class _Sample:
    __slots__ = ('sent_at', 'position')

    def __init__(self, sent_at: float, position: model.Position) -> None:
        self.sent_at = sent_at
        self.position = position


class _Level:
    """Store a bounded list of samples in order of time and position."""

    __slots__ = ('samples', '_spacing_s', '_size')

    def __init__(self, spacing_s: float, size: int) -> None:
        self.samples: list[_Sample] = []
        self._spacing_s = spacing_s
        self._size = size

    def add(self, sample: _Sample) -> _Sample | None:
        """Add the newest sample; return the oldest one if it is evicted."""
        samples = self.samples
        while samples and samples[-1].position >= sample.position:
            # The earlier sample is older and requires at least the same
            # position, so it can never prove a lower age.
            samples.pop()
        if (
            len(samples) > 1
            and sample.sent_at - samples[-2].sent_at < self._spacing_s
        ):
            samples[-1] = sample
        else:
            samples.append(sample)
        return samples.pop(0) if len(samples) > self._size else None


class PrimaryTimeline:
    """Record the positions of a group's primary over time.

    A sample states that every write acknowledged before ``sent_at`` is at or
    below the position in the primary's response. Therefore the data of a
    server that has applied this position is at most ``now - sent_at`` seconds
    old.

    >>> timeline = PrimaryTimeline()
    >>> timeline.sample(10.0, term=1, index=5)
    >>> timeline.age(10.25, term=1, applied=5)
    0.25
    >>> timeline.age(10.25, term=1, applied=4)
    inf
    """

    def __init__(self) -> None:
        self._levels = [_Level(spacing, size) for spacing, size in LEVELS]
        self._newest = _Sample(-math.inf, model.Position(0, 0))

    def sample(self, sent_at: float, term: int, index: int) -> None:
        """Add the position from a response to a request sent at ``sent_at``.

        The response must come from the primary. From the sending of the
        request until the response arrives, the caller must hold a valid lease
        and have the same view of the group: a replaced primary does not know
        of later writes, and a replica does not know of all earlier ones.
        """
        position = model.Position(term, index)
        newest = self._newest
        if sent_at < newest.sent_at or term < newest.position.term:
            return
        sample: _Sample | None = _Sample(sent_at, position)
        assert sample is not None  # noqa: S101
        self._newest = sample
        for level in self._levels:
            sample = level.add(sample)
            if sample is None:
                return

    def floor(self, now: float, max_age_s: float) -> model.Position | None:
        """Return a position that covers all writes older than ``max_age_s``.

        It is the lowest such position that is known, or None if no sample is
        recent enough.

        >>> timeline = PrimaryTimeline()
        >>> timeline.sample(10.0, term=1, index=5)
        >>> timeline.sample(11.0, term=1, index=8)
        >>> timeline.floor(11.5, 2.0), timeline.floor(11.5, 1.0)
        (Position(1, 5), Position(1, 8))
        >>> timeline.floor(13.0, 1.0)
        """
        since = now - max_age_s
        for level in reversed(self._levels):
            start = bisect.bisect_left(
                level.samples, since, key=lambda sample: sample.sent_at
            )
            if start < len(level.samples):
                return level.samples[start].position
        return None

    def newest(self) -> model.Position | None:
        """Return the position of the last sample, None without one.

        >>> timeline = PrimaryTimeline()
        >>> timeline.newest()
        >>> timeline.sample(10.0, term=1, index=5)
        >>> timeline.newest()
        Position(1, 5)
        """
        newest = self._newest
        return None if newest.sent_at == -math.inf else newest.position

    def first_seen(self, position: model.Position) -> float | None:
        """Return when the primary is first known to have had a position.

        >>> timeline = PrimaryTimeline()
        >>> timeline.sample(10.0, term=1, index=5)
        >>> timeline.sample(11.0, term=1, index=8)
        >>> timeline.first_seen(model.Position(1, 6))
        11.0
        """
        for level in reversed(self._levels):
            start = bisect.bisect_left(
                level.samples, position, key=lambda sample: sample.position
            )
            if start < len(level.samples):
                return level.samples[start].sent_at
        return None

    def forget(self) -> None:
        """Drop all samples after a change of primary."""
        self._levels = [_Level(spacing, size) for spacing, size in LEVELS]
        self._newest = _Sample(-math.inf, model.Position(0, 0))

    def age(
        self,
        now: float,
        term: int,
        applied: int,
        starts: Mapping[int, int] | None = None,
    ) -> float:
        """Return an upper bound on the age of a server's data in seconds.

        The result is infinite if no sample proves an age. ``starts`` contains
        the start index of each term as in ``sessions.covers``; without it, a
        server in a later term than a sample must have applied the sample's
        full index.
        """
        known = starts or {}

        def lacks(sample: _Sample) -> bool:
            return not sessions.covers(sample.position, term, applied, known)

        for level in self._levels:
            # Samples are in ascending order, so the covered ones come first.
            # If unknown term starts break this order, the result is still
            # valid: the search ends next to a sample that it found covered.
            end = bisect.bisect_left(level.samples, True, key=lacks)
            if end:
                return max(0.0, now - level.samples[end - 1].sent_at)
        return math.inf
