"""Limits on the number and the timing of retries."""

import math
import typing

# Highest ratio of retries to recent requests.
RETRY_RATIO = 0.1
# Retries allowed regardless of the number of requests, so that even a single
# request that reaches a failing target can be retried.
MIN_RETRIES = 2.0
# Time constant of the decaying request and retry counts.
RETRY_WINDOW_S = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
# Random part of the time after which callers return, as a share of the rest.
MAX_SPREAD = 0.5


class Rng(typing.Protocol):
    """Define the random number source, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


class RetryBudget:
    """Limit retries to a ratio of the recent requests."""

    __slots__ = (
        '_ratio',
        '_min_retries',
        '_window_s',
        '_requests',
        '_retries',
        '_decayed_at',
    )

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_retries: float = MIN_RETRIES,
        window_s: float = RETRY_WINDOW_S,
    ) -> None:
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_s = window_s
        self._requests = 0.0
        self._retries = 0.0
        self._decayed_at = -math.inf

    def _decay(self, now: float) -> None:
        if now > self._decayed_at:
            decay = math.exp((self._decayed_at - now) / self._window_s)
            self._requests *= decay
            self._retries *= decay
            self._decayed_at = now

    def record(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._decay(now)
        self._requests += 1

    def allow(self, now: float) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        self._decay(now)
        if self._retries + 1 > max(
            self._requests * self._ratio, self._min_retries
        ):
            return False
        self._retries += 1
        return True


class Backoff:
    """Compute exponential backoff delays with full jitter.

    Full jitter spreads the retries of callers that failed at the same time.
    """

    __slots__ = ('_base_s', '_cap_s')

    def __init__(
        self, base_s: float = BACKOFF_BASE_S, cap_s: float = BACKOFF_CAP_S
    ) -> None:
        self._base_s = base_s
        self._cap_s = cap_s

    def max_delay_s(self, attempt: int) -> float:
        """Return the longest possible delay in seconds before a retry.

        >>> backoff = Backoff(0.1, 1.0)
        >>> backoff.max_delay_s(0), backoff.max_delay_s(9)
        (0.1, 1.0)
        """
        return min(self._cap_s, self._base_s * 2.0 ** min(attempt, 60))

    def delay(self, attempt: int, rng: Rng) -> float:
        """Return a random delay in seconds; ``attempt`` starts at zero."""
        return rng.random() * self.max_delay_s(attempt)


def retry_after_s(wait_s: float, rank: int, rng: Rng) -> int:
    """Return when a refused caller should return, in whole seconds.

    ``wait_s`` is the expected wait of its class and ``rank`` the number of
    more urgent classes, which return first. Up to half of the time is random,
    so that callers that were refused together don't return together.
    """
    least = max(1, math.ceil(wait_s)) * (1 + rank)
    spread = least * (1 + MAX_SPREAD * rng.random())
    # Round at random, so that short times are spread as well.
    return math.floor(spread + rng.random())
