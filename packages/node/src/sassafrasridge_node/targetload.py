"""The load that this process sees at a target, and what it learns from it."""

import collections.abc
import typing

from sassafrasridge_core import model
from sassafrasridge_core import replicalag
from sassafrasridge_core import statements
from sassafrasridge_core import targetcapacity
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import loopdelay
from sassafrasridge_node import meters

Outcome = targetcapacity.Outcome
ResultCode = statements.ResultCode
StatementKind = statements.StatementKind

# Added to the effect of a statement in an open transaction: a write does not
# wait for replicas there, the commit does.
IN_TRANSACTION = '_in_transaction'

# Effects of statements that wait for replicas, which depends on where the
# primary is.
COMMITTING = frozenset(
    ('write', 'execute_write', StatementKind.COMMIT.value + IN_TRANSACTION)
)

_OUTCOMES = {
    ResultCode.DONE: Outcome.ANSWERED,
    ResultCode.BUSY: Outcome.REJECTED,
    ResultCode.TOO_MANY_CONNECTIONS: Outcome.REJECTED,
    ResultCode.TIMED_OUT: Outcome.UNANSWERED,
    ResultCode.LOST: Outcome.UNANSWERED,
}


def read_kind(database: str) -> targetcapacity.Kind:
    """Return the kind of a route's reads outside a transaction."""
    return database, StatementKind.READ.value


def statement_kind(
    database: str,
    stmt: statements.Statement | None,
    writes: bool,
    in_transaction: bool,
) -> targetcapacity.Kind:
    """Return the kind of a statement; None stands for a BEGIN.

    >>> stmt = statements.Statement(StatementKind.EXECUTE, '', '')
    >>> statement_kind('db', stmt, True, False)
    ('db', 'execute_write')
    """
    effect = (stmt.kind if stmt else StatementKind.BEGIN).value
    if stmt and stmt.kind is StatementKind.EXECUTE and writes:
        effect += '_write'
    return database, effect + IN_TRANSACTION if in_transaction else effect


class TargetLoad:
    """Learn a target's capacity from the statements sent to it.

    Statements are identified by the connection that they are sent on. ``lag``
    is what reads have shown of the target's lag as a replica, ``last_limit``
    the limit that was last applied, 0 before the first statement.
    """

    __slots__ = (
        'lag',
        'last_limit',
        '_server',
        '_group',
        '_capacity',
        '_running',
        '_rtt_s',
        '_loop_delay',
    )

    def __init__(
        self,
        server: str,
        group: str,
        usual: targetcapacity.UsualTimes,
        loop_delay: loopdelay.LoopDelay,
    ) -> None:
        self.lag = replicalag.ReplicaLag()
        self.last_limit = 0
        self._server = server
        self._group = group
        self._loop_delay = loop_delay
        self._capacity = targetcapacity.CapacityEstimator(usual)
        self._running: dict[object, targetcapacity.Running] = {}
        # Shortest round-trip time of a connection. A longer one may be due to
        # a delay in this process.
        self._rtt_s = float('inf')

    def started(
        self, conn: object, kind: targetcapacity.Kind, rtt_s: float
    ) -> None:
        """Record that a statement is sent."""
        self._rtt_s = min(self._rtt_s, rtt_s)
        self._running[conn] = self._capacity.started(clocks.boottime(), kind)

    def ended(self, conn: object, result_code: ResultCode | None) -> None:
        """Record the end of a statement, None if it was given up."""
        running = self._running.pop(conn, None)
        if running is None:
            return
        now = clocks.boottime()
        outcome = Outcome.GIVEN_UP
        if result_code is not None:
            outcome = _OUTCOMES.get(result_code, Outcome.NOT_RUN)
        elsewhere_s = self._rtt_s + self._loop_delay.seconds()
        self._capacity.ended(now, running, outcome, elsewhere_s)
        speed_class = self._capacity.new_speed_class(now)
        if speed_class is not None:
            logs.log_event(
                'target_speed_changed',
                server=self._server,
                group=self._group,
                speed_class=speed_class.value,
                relative_speed=round(self.relative_speed(), 2),
            )

    def rejected(self, started: float) -> None:
        """Record that the full target rejected a connection.

        ``started`` is the time at which its opening began.
        """
        self._capacity.rejected(clocks.boottime(), started)

    def limit(self, most: int) -> int:
        """Return the number of statements in flight, at most ``most``."""
        # While this process is late, answers may have arrived already.
        now = clocks.boottime() - self._loop_delay.seconds()
        self.last_limit = self._capacity.limit(now, most)
        return self.last_limit

    def stall_s(self) -> float:
        """Return after how many seconds an answer is overdue."""
        return self._capacity.stall_s()

    def expected_s(
        self, kind: targetcapacity.Kind, fallback_s: float
    ) -> float:
        """Return the expected time of a statement at the target."""
        return self._capacity.expected_s(clocks.boottime(), kind, fallback_s)

    def is_busy(self) -> bool:
        """Return whether statements wait at the target, or it is slow."""
        return self._capacity.is_busy(clocks.boottime())

    def relative_speed(self) -> float:
        """Return the usual time divided by the time taken lately."""
        return self._capacity.relative_speed()


class MeasuredTarget(typing.Protocol):
    """Describe what the metrics show of a target."""

    info: model.TargetInfo
    load: TargetLoad | None


class TargetGauge(meters.Meter):
    """Show a learned figure of each target that is served now.

    It is read in the thread that renders the metrics, so ``read`` must not
    change anything.
    """

    __slots__ = ('_targets', '_read')

    def __init__(
        self,
        name: str,
        text: str,
        targets: typing.Callable[[], collections.abc.Iterable[MeasuredTarget]],
        read: typing.Callable[[TargetLoad], float],
    ) -> None:
        super().__init__(name, text, ('group', 'target'))
        self._targets = targets
        self._read = read

    def _child(self) -> 'TargetGauge':
        raise NotImplementedError('the values are read when rendered')

    def family(self) -> typing.Any:
        """Return the values as a metric family of prometheus_client."""
        from prometheus_client import metrics_core

        found = metrics_core.GaugeMetricFamily(
            self.name, self.text, labels=self._label_names
        )
        for target in self._targets():
            if target.load is not None:
                labels = (target.info.group, target.info.server)
                found.add_metric(labels, self._read(target.load))
        return found


def target_gauges(
    targets: typing.Callable[[], collections.abc.Iterable[MeasuredTarget]],
) -> list[TargetGauge]:
    """Return the metrics of learned limits and relative speeds."""
    return [
        TargetGauge(
            'sassafrasridge_target_statement_limit',
            'Statements that this process may have in flight at a target',
            targets,
            lambda load: load.last_limit,
        ),
        TargetGauge(
            'sassafrasridge_target_relative_speed',
            'Usual time of statements divided by their time at a target',
            targets,
            lambda load: load.relative_speed(),
        ),
    ]
