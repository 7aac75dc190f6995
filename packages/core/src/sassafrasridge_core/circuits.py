"""Circuit breaker for a target."""

import enum
import math

from sassafrasridge_core import retries

# Number of consecutive failures that opens a circuit.
CONSECUTIVE_FAILURES = 5
# Ratio of failures that opens a circuit, if there were at least MIN_CALLS
# recent calls.
FAILURE_RATIO = 0.5
MIN_CALLS = 20.0
# Time constant of the decaying counts of calls and failures.
WINDOW_S = 5.0
# Time from opening until the first probe. It doubles after each failed probe,
# up to MAX_OPEN_S.
INITIAL_OPEN_S = 0.25
MAX_OPEN_S = 4.0
# After this time without a result, another probe is allowed.
PROBE_TIMEOUT_S = 1.0
# Number of successful probes after which load is restored gradually.
REQUIRED_PROBES = 2
# Duration of the gradual increase and ratio of calls allowed at its start.
RAMP_S = 2.0
RAMP_START_RATIO = 0.1


class State(enum.Enum):
    """Enumerate the states of a circuit."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'
    RAMP = 'ramp'


class Circuit:
    """Stop calls to a failing target and restore load gradually."""

    __slots__ = (
        'state',
        '_consecutive_failures',
        '_calls',
        '_failures',
        '_decayed_at',
        '_open_s',
        '_open_until',
        '_probe_started_at',
        '_probes_left',
        '_ramp_started_at',
    )

    def __init__(self) -> None:
        self.state = State.CLOSED
        self._consecutive_failures = 0
        self._calls = 0.0
        self._failures = 0.0
        self._decayed_at = -math.inf
        self._open_s = INITIAL_OPEN_S
        self._open_until = -math.inf
        self._probe_started_at = -math.inf
        self._probes_left = REQUIRED_PROBES
        self._ramp_started_at = -math.inf

    def allow(self, now: float, rng: retries.Rng) -> bool:
        """Return whether a call may be sent to the target.

        Each allowed call must be followed by ``success`` or ``failure``.
        """
        if self.state is State.CLOSED:
            return True
        if self.state is State.OPEN:
            if now < self._open_until:
                return False
            self.state = State.HALF_OPEN
            self._probes_left = REQUIRED_PROBES
            self._probe_started_at = -math.inf
        if self.state is State.HALF_OPEN:
            return self._allow_probe(now)
        progress = (now - self._ramp_started_at) / RAMP_S
        if progress >= 1:
            self._close()
            return True
        return (
            rng.random() < RAMP_START_RATIO + (1 - RAMP_START_RATIO) * progress
        )

    def ready(self, now: float) -> bool:
        """Return whether a call might be allowed, without changing state."""
        if self.state is State.OPEN:
            return now >= self._open_until
        if self.state is State.HALF_OPEN:
            return now >= self._probe_started_at + PROBE_TIMEOUT_S
        return True

    def _allow_probe(self, now: float) -> bool:
        if now < self._probe_started_at + PROBE_TIMEOUT_S:
            return False
        self._probe_started_at = now
        return True

    def success(self, now: float, latency_s: float = 0.0) -> None:
        """Record a call that the target answered."""
        self._record_call(now, failed=False)
        if self.state is State.HALF_OPEN:
            self._probe_started_at = -math.inf
            self._probes_left -= 1
            if self._probes_left <= 0:
                self.state = State.RAMP
                self._ramp_started_at = now

    def failure(self, now: float) -> None:
        """Record a call that failed because of the target."""
        self._record_call(now, failed=True)
        if self.state is State.OPEN:
            return
        if self.state in (State.HALF_OPEN, State.RAMP):
            self._open_s = min(2 * self._open_s, MAX_OPEN_S)
            self._open(now)
        elif self._should_open():
            self._open(now)

    def _should_open(self) -> bool:
        if self._consecutive_failures >= CONSECUTIVE_FAILURES:
            return True
        return (
            self._calls >= MIN_CALLS
            and self._failures >= FAILURE_RATIO * self._calls
        )

    def _record_call(self, now: float, failed: bool) -> None:
        if now > self._decayed_at:
            decay = math.exp((self._decayed_at - now) / WINDOW_S)
            self._calls *= decay
            self._failures *= decay
            self._decayed_at = now
        self._calls += 1
        self._failures += failed
        self._consecutive_failures = (
            self._consecutive_failures + 1 if failed else 0
        )

    def _open(self, now: float) -> None:
        self.state = State.OPEN
        self._open_until = now + self._open_s
        self._calls = 0.0
        self._failures = 0.0
        self._consecutive_failures = 0

    def _close(self) -> None:
        self.state = State.CLOSED
        self._open_s = INITIAL_OPEN_S
