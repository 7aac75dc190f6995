"""Whether a replica whose position is not known yet is worth a try."""

from sassafrasridge_core import retries

LIKELY = 0.6
"""Share of covered tries above which a try saves more than it costs."""

WEIGHT = 0.1
EXPLORE = 0.02
"""Share of reads that try an unlikely replica, to notice that its lag fell."""


class CoverageHistory:
    """Learn how often a replica covered a session it was not known to cover.

    The position that is known of a replica is as old as its last answer. A
    replica with little lag has applied more since then, so a read may be
    sent to it and checked by the position in the answer.

    >>> history = CoverageHistory()
    >>> for _ in range(20):
    ...     history.record(covered=False)
    >>> import random
    >>> history.likely(random.Random(1))
    False
    """

    __slots__ = ('_share',)

    def __init__(self) -> None:
        self._share = 1.0

    def record(self, *, covered: bool) -> None:
        """Count a try."""
        self._share += WEIGHT * (float(covered) - self._share)

    def likely(self, rng: retries.Rng) -> bool:
        """Return whether to try the replica."""
        return self._share >= LIKELY or rng.random() < EXPLORE
