"""Circuit breaker per target and detection of slow targets."""

import enum
import math

from sassafrasridge_core import retries

# Failures in a row that open a circuit.
FAILURES_IN_A_ROW = 5
# Share of failures that opens it, with at least so many recent calls.
FAILURE_SHARE = 0.5
MIN_CALLS = 20.0
# Time constant of "recent".
WINDOW_S = 5.0
# Time until the first probe; doubles with each probe that fails.
OPEN_S = 0.25
MAX_OPEN_S = 4.0
# A probe without result for this long counts as failed.
PROBE_TIMEOUT_S = 1.0
# Successful probes needed before load returns.
PROBES = 2
# Time over which load returns after that.
RAMP_S = 2.0
RAMP_START = 0.1


class State(enum.Enum):
    """Name the state of a circuit."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'
    RAMP = 'ramp'


class Circuit:
    """Stop calls to a failing target and let load back gently."""

    __slots__ = (
        'state',
        '_in_a_row',
        '_calls',
        '_failures',
        '_at',
        '_open_s',
        '_open_until',
        '_probe_at',
        '_probes_left',
        '_ramp_at',
    )

    def __init__(self) -> None:
        self.state = State.CLOSED
        self._in_a_row = 0
        self._calls = 0.0
        self._failures = 0.0
        self._at = -math.inf
        self._open_s = OPEN_S
        self._open_until = -math.inf
        self._probe_at = -math.inf
        self._probes_left = PROBES
        self._ramp_at = -math.inf

    def allow(self, now: float, rng: retries.Rng) -> bool:
        """Tell whether a call may go to the target.

        Each allowed call must be followed by ``success`` or ``failure``.
        """
        if self.state is State.CLOSED:
            return True
        if self.state is State.OPEN:
            if now < self._open_until:
                return False
            self.state = State.HALF_OPEN
            self._probes_left = PROBES
            self._probe_at = -math.inf
        if self.state is State.HALF_OPEN:
            return self._allow_probe(now)
        passed = (now - self._ramp_at) / RAMP_S
        if passed >= 1:
            self._close()
            return True
        return rng.random() < RAMP_START + (1 - RAMP_START) * passed

    def ready(self, now: float) -> bool:
        """Tell, without counting a call, whether one might be allowed."""
        if self.state is State.OPEN:
            return now >= self._open_until
        if self.state is State.HALF_OPEN:
            return now >= self._probe_at + PROBE_TIMEOUT_S
        return True

    def _allow_probe(self, now: float) -> bool:
        if now < self._probe_at + PROBE_TIMEOUT_S:
            return False
        self._probe_at = now
        return True

    def success(self, now: float, latency_s: float = 0.0) -> None:
        """Note a call that the target answered."""
        self._count(now, failed=False)
        if self.state is State.HALF_OPEN:
            self._probe_at = -math.inf
            self._probes_left -= 1
            if self._probes_left <= 0:
                self.state = State.RAMP
                self._ramp_at = now

    def failure(self, now: float) -> None:
        """Note a call that failed for a reason that lies in the target."""
        self._count(now, failed=True)
        if self.state is State.OPEN:
            return
        if self.state in (State.HALF_OPEN, State.RAMP):
            self._open_s = min(2 * self._open_s, MAX_OPEN_S)
            self._open(now)
        elif self._tripped():
            self._open(now)

    def _tripped(self) -> bool:
        if self._in_a_row >= FAILURES_IN_A_ROW:
            return True
        return (
            self._calls >= MIN_CALLS
            and self._failures >= FAILURE_SHARE * self._calls
        )

    def _count(self, now: float, failed: bool) -> None:
        if now > self._at:
            kept = math.exp((self._at - now) / WINDOW_S)
            self._calls *= kept
            self._failures *= kept
            self._at = now
        self._calls += 1
        self._failures += failed
        self._in_a_row = self._in_a_row + 1 if failed else 0

    def _open(self, now: float) -> None:
        self.state = State.OPEN
        self._open_until = now + self._open_s
        self._calls = 0.0
        self._failures = 0.0
        self._in_a_row = 0

    def _close(self) -> None:
        self.state = State.CLOSED
        self._open_s = OPEN_S
