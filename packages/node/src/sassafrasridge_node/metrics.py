"""Prometheus metrics of the daemon.

Label values come from fixed sets or are names of configured services. Client
accounts, keys and text from requests are never labels.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import typing

from sassafrasridge_core import statements
from sassafrasridge_node import logs
from sassafrasridge_node import meters

# Error kinds used as label values; all others are counted as 'other'.
ERROR_KINDS = frozenset(
    (
        'accept_failed',
        'bad_request',
        'circuit_open',
        'conflict',
        'deadline',
        'draining',
        'forbidden',
        'group_majority_lost',
        'internal',
        'no_lease',
        'no_target',
        'not_fresh',
        'not_found',
        'outcome_unknown',
        'outside_regions',
        'overloaded',
        'queue_full',
        'rate_limited',
        'session_expired',
        'session_forged',
        'statement_failed',
        'too_large',
        'too_many_connections',
        'transaction_lost',
        'unauthorized',
        'unavailable',
        'unknown_service',
        'unknown_transaction',
        'zone_drained',
    )
)
# Reasons to refuse a statement of a session at a target; others are counted
# as the last.
REFUSAL_REASONS = ('deadline', 'queue_full', 'zone_drained', 'other')
# Values of ``confirmations.Confirmation``.
CONFIRMATION_RESULTS = ('received', 'unanswered', 'lacking')
# Priorities used as label values; less urgent ones count as the last.
PRIORITIES = range(10)
# What lets a target serve a read: that it is the primary, or that its log has
# a position that the age limit or the session's last write requires.
READ_BASES = ('primary', 'age', 'session')
REQUEST_KINDS = ('statements', 'begin', 'in', 'commit', 'rollback')
# Histogram buckets of request times in seconds, from a local read to a
# failover.
TIME_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    8.0,
)


class Metrics:
    """Hold all metrics of a daemon."""

    def __init__(self) -> None:
        self._collector = meters.MeterCollector()
        self._errors = self.counter(
            'errors', 'Requests answered with an error, by kind', ('kind',)
        )
        self._error_counters = {
            kind: self._errors.labels(kind)
            for kind in sorted(ERROR_KINDS | {'other'})
        }
        seconds = self._histogram(
            'request_seconds',
            'Time from the complete request to its result, by kind',
        )
        self.request_seconds = {k: seconds.labels(k) for k in REQUEST_KINDS}
        self.undelivered = self.counter(
            'undelivered_responses', 'Responses whose client had gone'
        )
        self._failures = self.counter(
            'internal_failures', 'Unexpected exceptions'
        )
        self.announcements = self.counter(
            'announcements', 'Announcements of targets'
        )
        self.operator_refusals = self.counter(
            'operator_refusals', 'Operator requests without a valid token'
        )
        self._reads = self.counter(
            'reads', 'Reads served, by the role of the target', ('role',)
        )
        self.reads = {
            role: self._reads.labels(role) for role in ('primary', 'replica')
        }
        self.retries = self.counter('retries', 'Statements sent again')
        self.replayed = self.counter(
            'replayed', 'Responses from the table of request ids'
        )
        self.lease_valid = self.gauge(
            'lease_valid', 'Whether the entry process holds its lease'
        )
        self.revision = self.gauge(
            'config_revision', 'Configuration revision in force here'
        )
        self.queued = self.gauge('queued_requests', 'Requests in queues')
        self.renewals = self.counter(
            'lease_renewals', 'Renewals, by result', ('result',)
        )
        self.renewal_batches = self.counter(
            'renewal_batches', 'Batches of renewals passed to the leader'
        )
        self.connection_failures = self.counter(
            'connection_failures', 'Connections to targets that failed to open'
        )
        self.connections_opened = self.counter(
            'connections_opened', 'Connections to targets that were opened'
        )
        operations = self.counter(
            'session_statements',
            'Statements of sessions, by result',
            ('result',),
        )
        # Counters by failure; None is for successful statements.
        self.operations = {
            failure: operations.labels(failure.value if failure else 'done')
            for failure in (None, *statements.StatementFailure)
        }
        waiting = self.gauge(
            'waiting_statements',
            'Statements that wait for a target, by priority',
            ('priority',),
        )
        self._waiting = [0 for _ in PRIORITIES]
        for label in PRIORITIES:
            waiting.labels(str(label)).set_function(
                functools.partial(self._waiting.__getitem__, label)
            )
        served = self.counter(
            'served_statements',
            'Statements that a target has run, by priority',
            ('priority',),
        )
        self._served = [served.labels(str(label)) for label in PRIORITIES]
        refusals = self.counter(
            'statement_refusals',
            'Statements refused without being sent, by reason',
            ('reason',),
        )
        self._refusals = {
            reason: refusals.labels(reason) for reason in REFUSAL_REASONS
        }
        self.sessions = self.gauge('sessions', 'Open sessions')
        session_reads = self.counter(
            'session_reads',
            'Reads of sessions sent to a target, by what lets it serve them',
            ('basis',),
        )
        self.session_reads = {
            basis: session_reads.labels(basis) for basis in READ_BASES
        }
        session_seconds = self._histogram(
            'session_statement_seconds',
            'Time from a complete statement to its result, by kind',
        )
        self.session_seconds = {
            kind: session_seconds.labels(kind.value)
            for kind in statements.StatementKind
        }
        self.cold_delays = self.counter(
            'cold_delays', 'Statements delayed by the rate of a cold target'
        )
        self.cold_refusals = self.counter(
            'cold_refusals', 'Statements that a cold target could not take'
        )
        self.cold_targets = self.gauge(
            'cold_targets', 'Cold targets that the control leader knows'
        )
        self.silent_batches = self.counter(
            'silent_batches', 'Times that connections went silent together'
        )
        self.drained_zones = self.gauge(
            'drained_zones', 'Availability zones that are out of service'
        )
        self.drained_transactions = self.counter(
            'drained_transactions',
            'Transactions aborted because the zone of their target is drained',
        )
        commit_confirmations = self.counter(
            'commit_confirmations',
            'Commits of sessions by what listed replicas told of them',
            ('result',),
        )
        self._confirmations = {
            result: commit_confirmations.labels(result)
            for result in CONFIRMATION_RESULTS
        }
        self.lost_logs = self.counter(
            'lost_logs',
            'Primaries found to lack log positions that they had reported',
        )
        self.is_leader = self.gauge(
            'control_leader', 'Whether this member is the control leader'
        )
        self.promotions = self.counter(
            'promotions', 'Changes of a primary ordered here'
        )
        self.unknown_promotions = self.counter(
            'unknown_promotions',
            'Promotions ordered here whose outcome was not learned in time',
        )
        self.missing_commits = self.counter(
            'missing_commits',
            'Promotions of a target that lacks an acknowledged commit',
        )

    def count_refusal(self, reason: str) -> None:
        """Count a statement that was refused without being sent."""
        other = self._refusals[REFUSAL_REASONS[-1]]
        self._refusals.get(reason, other).inc()

    def count_confirmation(self, result: str) -> None:
        """Count a commit by what listed replicas told of it."""
        self._confirmations[result].inc()

    def count_served(self, priority: int) -> None:
        """Count a statement of a priority that a target has run."""
        self._served[priority_label(priority)].inc()

    @contextlib.contextmanager
    def waiting(self, priority: int) -> Iterator[None]:
        """Count a statement of a priority as waiting."""
        label = priority_label(priority)
        self._waiting[label] += 1
        try:
            yield
        finally:
            self._waiting[label] -= 1

    def counter(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> meters.Counter:
        """Add a counter; label values must come from a fixed set."""
        counter = meters.Counter(f'sassafrasridge_{name}', text, labels)
        self._collector.add(counter)
        return counter

    def gauge(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> meters.Gauge:
        """Add a gauge; label values must come from a fixed set."""
        gauge = meters.Gauge(f'sassafrasridge_{name}', text, labels)
        self._collector.add(gauge)
        return gauge

    def _histogram(self, name: str, text: str) -> meters.Histogram:
        """Add a histogram of times by kind."""
        histogram = meters.Histogram(
            f'sassafrasridge_{name}', text, ('kind',), bounds=TIME_BUCKETS
        )
        self._collector.add(histogram)
        return histogram

    def register(self, meter: meters.Meter) -> None:
        """Add a metric of another module."""
        self._collector.add(meter)

    def add_callback_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge that calls ``read`` when the metrics are rendered."""
        self.gauge(name, text).set_function(read)

    def count_error(self, kind: str) -> None:
        """Count an error by its kind.

        >>> metrics = Metrics()
        >>> metrics.count_error('made up by a caller')
        >>> b'{kind="other"} 1.0' in metrics.render()
        True
        """
        counters = self._error_counters
        counters.get(kind, counters['other']).inc()

    def record_exception(self, where: str) -> None:
        """Count and log the exception that is being handled."""
        self._failures.inc()
        logs.record_exception(where)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        import prometheus_client

        return prometheus_client.generate_latest(self.registry)

    @functools.cached_property
    def registry(self) -> typing.Any:
        """Return a registry of prometheus_client with all metrics."""
        from prometheus_client import registry

        found = registry.CollectorRegistry()
        found.register(self._collector)
        return found


def priority_label(priority: int) -> int:
    """Return the label of a priority.

    >>> priority_label(2), priority_label(400), priority_label(-1)
    (2, 9, 0)
    """
    return min(max(priority, PRIORITIES[0]), PRIORITIES[-1])
