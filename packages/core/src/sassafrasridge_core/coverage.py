"""Estimate whether a replica covers a session despite an old position."""

from sassafrasridge_core import retries

# From this ratio of successful attempts on, an attempt saves more than it
# costs.
MIN_COVERED_RATIO = 0.6
# Weight of one attempt in the moving average of that ratio.
SAMPLE_WEIGHT = 0.1
# Ratio of reads that still try a replica below MIN_COVERED_RATIO, to detect
# that its lag has fallen.
EXPLORATION_RATIO = 0.02


class CoverageHistory:
    """Track how often a replica covered a session without proof in advance.

    The known position of a replica is as old as its last answer. A replica
    with little lag has applied more since then, so a read may be sent to it
    anyway and verified by the position in the answer.

    >>> history = CoverageHistory()
    >>> for _ in range(20):
    ...     history.record(covered=False)
    >>> import random
    >>> history.should_try(random.Random(1))
    False
    """

    __slots__ = ('_covered_ratio',)

    def __init__(self) -> None:
        self._covered_ratio = 1.0

    def record(self, *, covered: bool) -> None:
        """Record whether an attempt found the session covered."""
        self._covered_ratio += SAMPLE_WEIGHT * (
            float(covered) - self._covered_ratio
        )

    def should_try(self, rng: retries.Rng) -> bool:
        """Return whether to try the read on the replica."""
        return (
            self._covered_ratio >= MIN_COVERED_RATIO
            or rng.random() < EXPLORATION_RATIO
        )
