"""When and how often a request may be tried again."""

import math
import typing

# Share of retries among recent requests.
RETRY_RATIO = 0.1
# Retries allowed however few requests there were: a single request that hits
# a failing target must get another chance.
RETRY_FLOOR = 2.0
# Time constant of "recent".
RETRY_WINDOW_S = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0


class Rng(typing.Protocol):
    """Give random numbers, as ``random.Random`` does."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class RetryBudget:
    """Allow retries up to a share of the recent requests."""

    __slots__ = (
        '_ratio',
        '_floor',
        '_window_s',
        '_requests',
        '_retries',
        '_at',
    )

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        floor: float = RETRY_FLOOR,
        window_s: float = RETRY_WINDOW_S,
    ) -> None:
        self._ratio = ratio
        self._floor = floor
        self._window_s = window_s
        self._requests = 0.0
        self._retries = 0.0
        self._at = -math.inf

    def _decay(self, now: float) -> None:
        if now > self._at:
            kept = math.exp((self._at - now) / self._window_s)
            self._requests *= kept
            self._retries *= kept
            self._at = now

    def record(self, now: float) -> None:
        """Count a first attempt."""
        self._decay(now)
        self._requests += 1

    def allow(self, now: float) -> bool:
        """Count and allow a retry, or refuse it."""
        self._decay(now)
        if self._retries + 1 > max(self._requests * self._ratio, self._floor):
            return False
        self._retries += 1
        return True


class Backoff:
    """Compute delays with full jitter.

    Full jitter spreads the retries of many callers that failed together.
    """

    __slots__ = ('_base_s', '_cap_s')

    def __init__(
        self, base_s: float = BACKOFF_BASE_S, cap_s: float = BACKOFF_CAP_S
    ) -> None:
        self._base_s = base_s
        self._cap_s = cap_s

    def limit(self, attempt: int) -> float:
        """Return the longest delay in seconds before a retry.

        >>> Backoff(0.1, 1.0).limit(0), Backoff(0.1, 1.0).limit(9)
        (0.1, 1.0)
        """
        return min(self._cap_s, self._base_s * 2.0 ** min(attempt, 60))

    def delay(self, attempt: int, rng: Rng) -> float:
        """Return a delay in seconds; ``attempt`` counts from zero."""
        return rng.random() * self.limit(attempt)
