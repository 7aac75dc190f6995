"""Learning how many statements each target of a group handles well.

A process compares the time that a target takes for a statement with the usual
time of statements of the same kind in the group. Where statements take much
longer than usual, fewer of them are sent. Times exclude the way to the target
and the opening of connections.
"""

import enum
import math

# A statement's kind: statements of one kind take about the same time on a
# target of usual speed. For example the route's path and the effect.
Kind = tuple[str, str]

# Relative time above which fewer statements are sent: as long waiting at the
# target as running there, so that a slot always has a next statement.
HIGH_RATIO = 2.0
# Relative time below which more statements may be sent.
LOW_RATIO = 1.5
# Statements that a change of the limit is based on. With 10 statements a
# second, a target at a third of its speed is noticed within 0.6 s.
DECISION_STATEMENTS = 6
# Fewer statements are enough after this time.
DECISION_S = 0.4
MIN_DECISION_STATEMENTS = 3
# Factor of the largest reduction in one step. The next step waits for the
# answers to statements that are sent after this one, which takes up to 0.3 s
# at a full target of a third of its speed.
MAX_REDUCTION = 0.3
# Factor after a rejection.
REJECTION_FACTOR = 0.5
# Steps in which the limit grows.
GROWTH_FACTOR = 1.25
MIN_GROWTH = 0.5
# Growth between LOW_RATIO and HIGH_RATIO. Reductions are proportional and this
# growth is not, so the limits of processes that share a target become equal.
STEADY_GROWTH = 0.1

# Statements whose mean is compared with the usual time. Fewer make the lowest
# mean too low where times vary widely.
USUAL_STATEMENTS = 24
# Statements whose mean is the first usual time.
FIRST_USUAL_STATEMENTS = 6
# Part of the difference by which a usual time follows a lower mean.
USUAL_FALL = 0.25
# Time constant with which a usual time follows a higher mean. A disturbance
# of a minute raises it by a fifth; data that has grown counts within minutes.
USUAL_RISE_S = 300.0
# A silence longer than this doesn't add to the rise.
MAX_RISE_STEP_S = 10.0
# Limit of the number of kinds; the kind learned longest ago is dropped.
MAX_KINDS = 512

# Times below this can't be told from delays on the way and in this process.
MIN_TIME_S = 0.004
# Limit of the relative time of one statement, so that a single statement that
# was stuck doesn't outweigh many.
MAX_RATIO = 10.0
# Time constant of the mean relative time, and the limits of the weight of a
# single statement in it.
RATIO_S = 0.3
MIN_WEIGHT = 0.1
MAX_WEIGHT = 0.5
# The same for the relative speed that is reported, which a few long statements
# must not change.
REPORTED_S = 2.0
MIN_REPORTED_WEIGHT = 0.03
MAX_REPORTED_WEIGHT = 0.4

# A target that answers nothing for this long, or for a multiple of the time
# that a statement takes there, counts as stalled.
STALL_S = 0.3
STALL_FACTOR = 4.0

# Without statements, a relative time approaches 1 with this time constant, so
# that a slow target gets a read every few seconds and its recovery is noticed.
# With 2 s, a target at a third of its speed got one read in 6 s.
FORGET_S = 1.0
# It then falls below 1 by this much per second, because a target of usual
# speed that is idle would always be preferred otherwise.
PROBE_GAIN = 0.1
MAX_PROBE_GAIN = 0.3
# Silence before that begins.
FORGET_AFTER_S = 0.5
# Silence after which the learned limit is dropped.
LIMIT_TTL_S = 10.0

# Relative speeds below which a target counts as slow and as very slow. A full
# target of usual speed has about 0.5.
SLOW_SPEED = 0.45
VERY_SLOW_SPEED = 0.2
# Factor by which a speed must pass a bound for another class.
CLASS_HYSTERESIS = 1.15
# Least time between two reported changes of a target's class.
CLASS_INTERVAL_S = 5.0


class Outcome(enum.Enum):
    """Tell what a statement at a target says about the target's load."""

    ANSWERED = 'answered'
    # The target is full or sheds statements.
    REJECTED = 'rejected'
    # The statement timed out or its connection broke.
    UNANSWERED = 'unanswered'
    # The statement ended early, for a reason other than load.
    NOT_RUN = 'not_run'
    # The statement was given up or not sent; the target answered nothing.
    GIVEN_UP = 'given_up'


class SpeedClass(enum.Enum):
    """Classify a target by its relative speed."""

    USUAL = 'usual'
    SLOW = 'slow'
    VERY_SLOW = 'very_slow'


class _Usual:
    __slots__ = ('seconds', 'at')

    def __init__(self, seconds: float, at: float) -> None:
        self.seconds = seconds
        self.at = at


class UsualTimes:
    """Hold the usual time of each kind of statement in a group.

    It is the lowest mean of any of the group's targets, and rises slowly.

    >>> times = UsualTimes()
    >>> times.offer(10.0, ('db', 'read'), 0.02)
    >>> times.offer(11.0, ('db', 'read'), 0.06)
    >>> round(times.get(('db', 'read')), 4)
    0.0201
    """

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: dict[Kind, _Usual] = {}

    def offer(self, now: float, kind: Kind, mean_s: float) -> None:
        """Apply the mean time in seconds that one target took lately."""
        known = self._times.pop(kind, None)
        if known is None:
            if len(self._times) >= MAX_KINDS:
                del self._times[next(iter(self._times))]
            self._times[kind] = _Usual(mean_s, now)
            return
        if mean_s < known.seconds:
            known.seconds += USUAL_FALL * (mean_s - known.seconds)
        else:
            passed_s = min(max(0.0, now - known.at), MAX_RISE_STEP_S)
            rise = math.exp(passed_s / USUAL_RISE_S)
            known.seconds = min(mean_s, known.seconds * rise)
        known.at = now
        self._times[kind] = known

    def get(self, kind: Kind) -> float | None:
        """Return the usual time in seconds, None if it is unknown."""
        known = self._times.get(kind)
        return None if known is None else known.seconds

    def forget(self, effects: frozenset[str]) -> None:
        """Drop the times of all kinds with one of the given effects.

        The time of a commit depends on where the primary is.
        """
        for kind in [k for k in self._times if k[1] in effects]:
            del self._times[kind]


class Running:
    """Represent a statement at a target."""

    __slots__ = ('kind', 'started')

    def __init__(self, kind: Kind, started: float) -> None:
        self.kind = kind
        self.started = started


class _Mean:
    __slots__ = ('count', 'total', 'since')

    def __init__(self, since: float) -> None:
        self.count = 0
        self.total = 0.0
        self.since = since

    def add(self, value: float) -> None:
        self.count += 1
        self.total += value

    @property
    def value(self) -> float:
        return self.total / self.count


class CapacityEstimator:
    """Learn how long one target takes and how many statements it takes well.

    The limit counts the statements that are at the target itself, so a
    process far away may have more in flight.
    """

    __slots__ = (
        '_usual',
        '_running',
        '_level',
        '_most',
        '_ratio',
        '_reported_ratio',
        '_mean_s',
        '_network_s',
        '_answered_at',
        '_changed_at',
        '_decision',
        '_means',
        '_class',
        '_class_at',
    )

    def __init__(self, usual: UsualTimes) -> None:
        self._usual = usual
        # Statements at the target, the oldest first.
        self._running: dict[Running, None] = {}
        # Learned number of statements at the target, infinite if not limited.
        self._level = math.inf
        self._most = 1
        self._ratio = 1.0
        # Without the return to 1, for the metrics and the log.
        self._reported_ratio = 1.0
        self._mean_s = 0.0
        self._network_s = 0.0
        self._answered_at = -math.inf
        self._changed_at = -math.inf
        self._decision = _Mean(-math.inf)
        self._means: dict[Kind, _Mean] = {}
        self._class = SpeedClass.USUAL
        self._class_at = -math.inf

    # Statements.

    def started(self, now: float, kind: Kind) -> Running:
        """Record that a statement is sent; return it for ``ended``."""
        self._ratio = self._current_ratio(now)
        running = Running(kind, now)
        self._running[running] = None
        return running

    def ended(
        self,
        now: float,
        running: Running,
        outcome: Outcome,
        network_s: float = 0.0,
    ) -> None:
        """Record the end of a statement.

        ``network_s`` is the time in seconds that it spent elsewhere: on the
        way to and from the target.
        """
        if self._running.pop(running, self) is self:
            return
        if outcome is Outcome.GIVEN_UP:
            return
        idle_s = now - self._answered_at
        if outcome is not Outcome.UNANSWERED:
            self._answered_at = now
        if outcome is Outcome.REJECTED:
            self.rejected(now, running.started)
        if outcome in (Outcome.REJECTED, Outcome.NOT_RUN):
            return
        self._network_s = network_s
        seconds = max(MIN_TIME_S, now - running.started - network_s)
        known_s = self._usual.get(running.kind)
        if outcome is Outcome.ANSWERED:
            self._add_time(now, running.kind, seconds, known_s is None)
        if known_s is None:
            return
        ratio = min(MAX_RATIO, seconds / known_s)
        if outcome is Outcome.UNANSWERED and ratio < self._ratio:
            # A statement that broke off early tells nothing about the time.
            return
        weight = min(
            MAX_WEIGHT, max(MIN_WEIGHT, 1 - math.exp(-idle_s / RATIO_S))
        )
        self._ratio += weight * (ratio - self._ratio)
        weight = min(
            MAX_REPORTED_WEIGHT,
            max(MIN_REPORTED_WEIGHT, 1 - math.exp(-idle_s / REPORTED_S)),
        )
        self._reported_ratio += weight * (ratio - self._reported_ratio)
        self._mean_s += weight * (seconds - self._mean_s)
        self._decide(now, running.started, ratio)

    def rejected(self, now: float, started: float) -> None:
        """Halve the limit: the target rejected a statement or connection.

        ``started`` is the time at which it was sent. Rejections of what was
        sent before the last change of the limit have no further effect.
        """
        if started >= self._changed_at:
            self._reduce(now, REJECTION_FACTOR)

    def _add_time(
        self, now: float, kind: Kind, seconds: float, first: bool
    ) -> None:
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= MAX_KINDS:
                del self._means[next(iter(self._means))]
            mean = self._means[kind] = _Mean(now)
        mean.add(seconds)
        enough = FIRST_USUAL_STATEMENTS if first else USUAL_STATEMENTS
        if mean.count >= enough:
            self._usual.offer(now, kind, mean.value)
            del self._means[kind]

    def _decide(self, now: float, started: float, ratio: float) -> None:
        """Change the limit once enough statements show its effect."""
        if started < self._changed_at:
            return
        decision = self._decision
        if not decision.count:
            decision.since = now
        decision.add(ratio)
        if decision.count < DECISION_STATEMENTS and (
            decision.count < MIN_DECISION_STATEMENTS
            or now - decision.since < DECISION_S
        ):
            return
        self._decision = _Mean(now)
        if decision.value > HIGH_RATIO:
            self._reduce(now, max(MAX_REDUCTION, HIGH_RATIO / decision.value))
        elif self._level < math.inf:
            self._grow(now, decision.value)

    def _grow(self, now: float, ratio: float) -> None:
        growth = STEADY_GROWTH
        if ratio < LOW_RATIO:
            growth = max(MIN_GROWTH, self._level * (GROWTH_FACTOR - 1))
        self._level += growth
        self._changed_at = now
        if self._level >= self._most_at_target():
            self._level = math.inf

    def _reduce(self, now: float, factor: float) -> None:
        level = min(self._level, self._most_at_target())
        self._level = max(1.0, level * factor)
        self._changed_at = now
        self._decision = _Mean(now)

    # What was learned.

    def limit(self, now: float, most: int) -> int:
        """Return how many statements may be in flight, 1 to ``most``.

        ``most`` is the fixed limit.
        """
        self._most = max(1, most)
        if self.stalled(now):
            if self._level > 1:
                self._reduce(now, 0.0)
            return 1
        if now - max(self._answered_at, self._changed_at) > LIMIT_TTL_S:
            self._level = math.inf
        if self._level == math.inf:
            return self._most
        return max(
            1, min(self._most, round(self._level * self._in_flight_factor()))
        )

    def _in_flight_factor(self) -> float:
        """Return statements in flight for each one that is at the target."""
        return 1 + self._network_s / max(MIN_TIME_S, self._mean_s)

    def _most_at_target(self) -> float:
        return max(1.0, self._most / self._in_flight_factor())

    def stall_s(self) -> float:
        """Return after how many seconds an answer is overdue."""
        return max(STALL_S, STALL_FACTOR * self._mean_s)

    def stalled(self, now: float) -> bool:
        """Return whether the target has not answered for unusually long."""
        return self._unanswered_s(now) > self.stall_s()

    def _unanswered_s(self, now: float) -> float:
        oldest = next(iter(self._running), None)
        if oldest is None:
            return 0.0
        return now - max(oldest.started, self._answered_at)

    def expected_s(self, now: float, kind: Kind, fallback_s: float) -> float:
        """Return the expected time of a statement at the target in seconds.

        ``fallback_s`` is the usual time to assume if it is unknown.
        """
        usual_s = self._usual.get(kind) or fallback_s
        expected_s = usual_s * self._current_ratio(now)
        if self.stalled(now):
            return max(expected_s, self._unanswered_s(now))
        return expected_s

    def is_busy(self, now: float) -> bool:
        """Return whether statements take clearly longer than usual."""
        return self.stalled(now) or self._current_ratio(now) > LOW_RATIO

    def _current_ratio(self, now: float) -> float:
        idle_s = now - self._answered_at - FORGET_AFTER_S
        if self._running or idle_s <= 0:
            return self._ratio
        rest = (self._ratio - 1) * math.exp(-idle_s / FORGET_S)
        return 1 + rest - min(MAX_PROBE_GAIN, PROBE_GAIN * idle_s)

    def relative_speed(self) -> float:
        """Return the usual time divided by the time taken lately."""
        return 1 / max(1 / MAX_RATIO, self._reported_ratio)

    def new_speed_class(self, now: float) -> SpeedClass | None:
        """Return the speed class if it changed, at most every few seconds."""
        if now - self._class_at < CLASS_INTERVAL_S:
            return None
        speed = self.relative_speed()
        found = _classify(speed)
        if found is self._class:
            return None
        # The speed must be clearly inside the new class.
        if (
            _classify(speed * CLASS_HYSTERESIS) is self._class
            or _classify(speed / CLASS_HYSTERESIS) is self._class
        ):
            return None
        self._class, self._class_at = found, now
        return found


def _classify(speed: float) -> SpeedClass:
    if speed < VERY_SLOW_SPEED:
        return SpeedClass.VERY_SLOW
    return SpeedClass.SLOW if speed < SLOW_SPEED else SpeedClass.USUAL
