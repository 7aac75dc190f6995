"""Estimates the resource use of each role at the stated deployment size.

Every figure is a sum of fitted lines, evaluated at stated or assumed sizes.
Its error is the sum of the errors of the lines, which is an upper bound of
their combined effect.
"""

import collections.abc
import dataclasses
import pathlib

from sassafrasridge_node import relays
from sassafrasridge_testkit import capacitysizes
from sassafrasridge_testkit import slopefit

# Distance between a figure and its limit, in multiples of the figure's error,
# from which on the verdict is decided.
DECISION_MARGIN_ERRORS = 2.0

LIMIT_HOLDS = 'holds'
LIMIT_EXCEEDED = 'breaks'
LIMIT_UNDECIDED = 'not decided: within the error'


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Hold a value, its error and the slope files that it is based on."""

    value: float
    error: float = 0.0
    sources: frozenset[str] = frozenset()

    def __add__(self, other: 'Estimate') -> 'Estimate':
        return Estimate(
            self.value + other.value,
            self.error + other.error,
            self.sources | other.sources,
        )

    def __mul__(self, factor: float) -> 'Estimate':
        return Estimate(
            self.value * factor, abs(self.error * factor), self.sources
        )


def sum_estimates(estimates: collections.abc.Iterable[Estimate]) -> Estimate:
    """Return the sum of estimates, zero if there are none."""
    result = Estimate(0.0)
    for estimate in estimates:
        result = result + estimate
    return result


class FittedCosts:
    """Read fitted lines from the files that ``make slopes`` wrote."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def value_at(self, name: str, x: float) -> Estimate:
        """Return the value of a line at a size."""
        line = slopefit.read_fit(self._folder, name)
        return Estimate(
            line.value_at(x), line.error_bound_at(x), frozenset([name])
        )

    def slope_times(self, name: str, count: float = 1.0) -> Estimate:
        """Return the slope of a line (cost of one unit) times a count."""
        line = slopefit.read_fit(self._folder, name)
        return (
            Estimate(line.slope, line.slope_error, frozenset([name])) * count
        )

    def intercept(self, name: str) -> Estimate:
        """Return the value of a line at size 0."""
        return self.value_at(name, 0.0)


@dataclasses.dataclass(frozen=True)
class CapacityFigure:
    """Hold one table row; ``limit`` is None if no limit is stated."""

    description: str
    unit: str
    estimate: Estimate
    limit: float | None = None

    def verdict(self) -> str:
        """Return the verdict with the error considered; "" without a limit."""
        if self.limit is None:
            return ''
        margin = DECISION_MARGIN_ERRORS * self.estimate.error
        if self.estimate.value + margin <= self.limit:
            return LIMIT_HOLDS
        if self.estimate.value - margin > self.limit:
            return LIMIT_EXCEEDED
        return LIMIT_UNDECIDED


class RoleFigures:
    """Compute the figures of each role."""

    def __init__(
        self,
        fitted: FittedCosts,
        sizes: capacitysizes.Sizes,
        limits: capacitysizes.Limits,
    ) -> None:
        self.fitted = fitted
        self.sizes = sizes
        self.limits = limits

    def renewal_cost(self, cost: str) -> Estimate:
        """Return a cost of one lease renewal at the stated size.

        The fixed cost of a renewal is part of the intercepts of all three
        lines, so the intercept of only one line is added.
        """
        sizes, fitted = self.sizes, self.fitted
        return (
            fitted.value_at(f'renewal_accounts_{cost}', sizes.accounts_in_use)
            + fitted.slope_times(
                f'renewal_targets_{cost}', sizes.targets_per_entry
            )
            + fitted.slope_times(f'renewal_live_{cost}', sizes.nodes)
        )

    # Control work of one entry process.

    def entry_process_figures(self) -> list[CapacityFigure]:
        """Return the figures of control work in an entry process."""
        limits = self.limits
        cpu_by_work = self._entry_cpu()
        traffic_by_kind = self._entry_bytes_per_s()
        return [
            CapacityFigure(
                'configuration copy (bytes of a full copy)',
                'bytes',
                self.fitted.value_at('full_copy_bytes', self.sizes.accounts),
                limits.frame_bytes,
            ),
            CapacityFigure(
                'group views and targets',
                'bytes',
                self.fitted.slope_times(
                    'group_entry_memory', self.sizes.groups
                ),
            ),
            CapacityFigure(
                'memory of the process with configuration, views and '
                'connections',
                'bytes',
                self._entry_memory_bytes(),
                limits.node_memory_bytes,
            ),
            *(
                CapacityFigure(what, 'core', value)
                for what, value in cpu_by_work.items()
            ),
            CapacityFigure(
                'processor time for control',
                'core',
                sum_estimates(cpu_by_work.values()),
                limits.node_cpu_cores,
            ),
            *(
                CapacityFigure(what, 'bytes/s', v)
                for what, v in traffic_by_kind.items()
            ),
            CapacityFigure(
                'traffic for control, both ways',
                'bytes/s',
                sum_estimates(traffic_by_kind.values()),
                limits.node_bytes_per_s,
            ),
        ]

    def _entry_memory_bytes(self) -> Estimate:
        sizes, fitted = self.sizes, self.fitted
        return (
            fitted.value_at('account_entry_memory', sizes.accounts)
            + fitted.slope_times('group_entry_memory', sizes.groups)
            + fitted.slope_times(
                'connection_memory', sizes.connections / sizes.nodes
            )
        )

    def _entry_cpu(self) -> dict[str, Estimate]:
        sizes, fitted = self.sizes, self.fitted
        changes_per_s = sizes.config_changes_per_day / capacitysizes.DAY_S
        return {
            f'renewals, {sizes.renewals_per_s:.3g}/s': (
                self.renewal_cost('entry_cpu') * sizes.renewals_per_s
            ),
            f'announcements, {sizes.announcements_per_s:.0f}/s': (
                fitted.slope_times(
                    'announcement_cpu', sizes.announcements_per_s
                )
            ),
            f'probes, at most {sizes.probes_per_s:.0f}/s': (
                fitted.slope_times('probe_cpu', sizes.probes_per_s)
            ),
            f'configuration deltas, {changes_per_s:.2g}/s': (
                fitted.slope_times('renewal_deltas_entry_cpu', changes_per_s)
            ),
        }

    def _entry_bytes_per_s(self) -> dict[str, Estimate]:
        sizes, fitted = self.sizes, self.fitted
        changes_per_s = sizes.config_changes_per_day / capacitysizes.DAY_S
        lists_per_s = 2 * sizes.restarts_per_day / capacitysizes.DAY_S
        return {
            'renewals sent': (
                self.renewal_cost('sent_bytes') * sizes.renewals_per_s
            ),
            'renewals received': (
                self.renewal_cost('received_bytes') * sizes.renewals_per_s
            ),
            'announcements': fitted.slope_times(
                'announcement_bytes', sizes.announcements_per_s
            ),
            'configuration deltas': fitted.slope_times(
                'renewal_deltas_received_bytes', changes_per_s
            ),
            'lists of entry processes after restarts': (
                fitted.value_at('entry_list_bytes', sizes.nodes) * lists_per_s
            ),
        }

    # The data path of one node.

    def data_path_figures(self) -> list[CapacityFigure]:
        """Return the figures of statements and connections on a node."""
        sizes = self.sizes
        cost_with_relaying = self._statement_cost(sizes.relayed_share)
        direct_cost = self._statement_cost(0.0)
        return [
            CapacityFigure(
                'statements as they arrive (98.9% relayed), both processes',
                'core',
                cost_with_relaying * sizes.node_statements_per_s,
                self.limits.core_limit,
            ),
            CapacityFigure(
                'the same if every statement arrived at its serving set',
                'core',
                direct_cost * sizes.node_statements_per_s,
                self.limits.core_limit,
            ),
            CapacityFigure(
                'statements/s that fill one core, as they arrive',
                '/s',
                _reciprocal(cost_with_relaying),
            ),
            CapacityFigure(
                'statements/s that fill one core, none relayed',
                '/s',
                _reciprocal(direct_cost),
            ),
            CapacityFigure(
                'memory of idle caller connections',
                'bytes',
                self.fitted.slope_times(
                    'connection_memory', sizes.connections / sizes.nodes
                ),
            ),
            CapacityFigure(
                'processor time of idle caller connections',
                'core',
                self.fitted.slope_times(
                    'connection_idle_cpu', sizes.connections / sizes.nodes
                ),
            ),
        ]

    def _statement_cost(self, relayed_share: float) -> Estimate:
        def cost_of_kind(name: str) -> Estimate:
            fitted = self.fitted
            relayed_cost = fitted.slope_times(
                f'{name}_relayed_relay_cpu'
            ) + fitted.slope_times(f'{name}_relayed_owner_cpu')
            direct_cost = fitted.slope_times(f'{name}_direct_owner_cpu')
            return relayed_cost * relayed_share + direct_cost * (
                1 - relayed_share
            )

        read_share = self.sizes.read_share
        return cost_of_kind('read') * read_share + cost_of_kind('write') * (
            1 - read_share
        )

    # Control members.

    def relay_figures(self) -> list[CapacityFigure]:
        """Return the figures of a control member that relays renewals."""
        sizes, fitted = self.sizes, self.fitted
        batches_per_s = 1 / sizes.batch_interval_s
        bytes_per_renewal = self.renewal_cost(
            'sent_bytes'
        ) + self.renewal_cost('received_bytes')
        return [
            CapacityFigure(
                f'{batches_per_s:.0f} batches/s '
                f'of {sizes.renewals_per_batch:.1f} renewals '
                '(10 accounts in use each)',
                'core',
                fitted.value_at(
                    'relay_batch_39_relay_cpu', sizes.renewals_per_batch
                )
                * batches_per_s,
                self.limits.core_limit,
            ),
            CapacityFigure(
                'request frame of a batch',
                'bytes',
                self.renewal_cost('sent_bytes') * sizes.renewals_per_batch,
                self.limits.frame_bytes,
            ),
            CapacityFigure(
                f'request frame of a full batch of {relays.MAX_BATCH}',
                'bytes',
                self.renewal_cost('sent_bytes') * relays.MAX_BATCH,
                self.limits.frame_bytes,
            ),
            CapacityFigure(
                'traffic with entry processes and leader',
                'bytes/s',
                bytes_per_renewal * (2 * sizes.relay_renewals_per_s),
            ),
            CapacityFigure(
                'memory: as a voter, see below',
                'bytes',
                fitted.value_at('account_leader_memory', sizes.accounts),
            ),
        ]

    def leader_figures(self) -> list[CapacityFigure]:
        """Return the figures of the control leader."""
        sizes, fitted = self.sizes, self.fitted
        fleet_per_s = sizes.fleet_renewals_per_s
        batches_per_s = sizes.relay_count / sizes.batch_interval_s
        bytes_per_renewal = self.renewal_cost(
            'sent_bytes'
        ) + self.renewal_cost('received_bytes')
        cpu_by_work = {
            f'renewals, {fleet_per_s:.0f}/s, '
            f'{sizes.accounts_in_use} accounts in use and '
            f'{sizes.targets_per_entry:.1f} targets each': (
                self.renewal_cost('leader_cpu') * fleet_per_s
            ),
            f'check of {sizes.groups} groups': (
                fitted.value_at('group_keeper_cpu', sizes.groups)
            ),
            f'committed changes, {sizes.commits_per_s:.2g}/s': (
                fitted.slope_times('commit_leader_cpu', sizes.commits_per_s)
            ),
            'heartbeats and timers': fitted.intercept(
                'account_leader_idle_cpu'
            ),
        }
        return [
            *(
                CapacityFigure(what, 'core', value)
                for what, value in cpu_by_work.items()
            ),
            CapacityFigure(
                'sum',
                'core',
                sum_estimates(cpu_by_work.values()),
                self.limits.core_limit,
            ),
            CapacityFigure(
                f'for comparison: {batches_per_s:.0f} batches/s, '
                '10 accounts in use each',
                'core',
                fitted.value_at(
                    'relay_batch_39_leader_cpu', sizes.renewals_per_batch
                )
                * batches_per_s,
                self.limits.core_limit,
            ),
            CapacityFigure(
                'traffic of renewals',
                'bytes/s',
                bytes_per_renewal * fleet_per_s,
            ),
            CapacityFigure(
                'memory without connection ledgers (not measured)',
                'bytes',
                fitted.value_at('account_leader_memory', sizes.accounts)
                + fitted.slope_times('group_leader_memory', sizes.groups),
            ),
        ]

    def voter_figures(self) -> list[CapacityFigure]:
        """Return the figures of a voter that is a follower."""
        sizes, fitted = self.sizes, self.fitted
        return [
            CapacityFigure(
                f'committed changes, {sizes.commits_per_s:.2g}/s',
                'core',
                fitted.slope_times('commit_follower_cpu', sizes.commits_per_s),
                self.limits.core_limit,
            ),
            CapacityFigure(
                'log received from the leader',
                'bytes/s',
                fitted.slope_times('commit_bytes', sizes.commits_per_s),
            ),
            CapacityFigure(
                'snapshot after 100,000 notes, an upper bound',
                'bytes',
                self._snapshot_bytes(),
            ),
            CapacityFigure(
                'pause of the event loop to encode that snapshot',
                's',
                fitted.value_at('snapshot_note_cpu', sizes.retained_answers),
            ),
            CapacityFigure(
                'memory without notes',
                'bytes',
                fitted.value_at('account_leader_memory', sizes.accounts),
            ),
            CapacityFigure(
                'restart after 10,000 changes',
                's',
                fitted.value_at('restart_seconds', 10_000),
                self.limits.restart_s,
            ),
        ]

    def _snapshot_bytes(self) -> Estimate:
        sizes, fitted = self.sizes, self.fitted
        return (
            fitted.slope_times('snapshot_account_bytes', sizes.accounts)
            + fitted.slope_times('snapshot_key_bytes', sizes.accounts)
            + fitted.slope_times('snapshot_note_bytes', sizes.retained_answers)
            + fitted.slope_times('snapshot_group_bytes', sizes.groups)
            + fitted.slope_times('snapshot_entry_process_bytes', sizes.nodes)
        )

    # Restarts and failures.

    def full_restart_figures(self) -> list[CapacityFigure]:
        """Return the cost of restarting all entry processes at once."""
        sizes, fitted = self.sizes, self.fitted
        entries_per_relay = sizes.nodes / sizes.relay_count
        full_copy_bytes = fitted.value_at('full_copy_bytes', sizes.accounts)
        return [
            CapacityFigure(
                'registrations at the leader (upper bound: as notes)',
                'core s',
                fitted.slope_times('commit_leader_cpu', sizes.nodes),
            ),
            CapacityFigure(
                'full copies at one relay',
                'core s',
                fitted.value_at('full_copy_leader_cpu', sizes.accounts)
                * entries_per_relay,
            ),
            CapacityFigure(
                'full copies from one relay',
                'bytes',
                full_copy_bytes * entries_per_relay,
            ),
            CapacityFigure(
                'full copy at an entry process',
                'core s',
                fitted.value_at('full_copy_entry_cpu', sizes.accounts),
            ),
            CapacityFigure(
                'lists from the leader, each time that the list changes',
                'bytes',
                fitted.value_at('entry_list_bytes', sizes.nodes) * sizes.nodes,
            ),
            CapacityFigure(
                'announcements during the start, at each entry process',
                'core',
                fitted.slope_times(
                    'announcement_cpu', sizes.announcements_per_s
                ),
            ),
        ]

    def new_node_figures(self) -> list[CapacityFigure]:
        """Return the time from the start of a new node until it is ready."""
        return [
            CapacityFigure(
                'start until ready, with one control member at rest',
                's',
                self.fitted.value_at(
                    'entry_ready_seconds', self.sizes.accounts
                ),
                self.limits.in_force_s,
            )
        ]

    def loss_figures(self) -> list[CapacityFigure]:
        """Return the load on the other nodes after losing a zone or region."""
        sizes, fitted = self.sizes, self.fitted
        figures = []
        for name, share in (
            ('a zone', 1 / sizes.zones),
            ('a region', 1 / sizes.regions),
        ):
            remaining_share = 1 - share
            statement_cost = self._statement_cost(sizes.relayed_share)
            figures += [
                CapacityFigure(
                    f'{name}: commits of {sizes.groups * share:.0f} changes '
                    'of primary at the leader, two each',
                    'core s',
                    fitted.slope_times(
                        'commit_leader_cpu', 2 * sizes.groups * share
                    ),
                ),
                CapacityFigure(
                    f'{name}: statements at each remaining node, '
                    f'{sizes.node_statements_per_s / remaining_share:.0f}/s',
                    'core',
                    statement_cost
                    * (sizes.node_statements_per_s / remaining_share),
                    self.limits.core_limit,
                ),
                CapacityFigure(
                    f'{name}: memory of connections at each remaining node, '
                    f'{sizes.connections / sizes.nodes / remaining_share:.0f}',
                    'bytes',
                    fitted.slope_times(
                        'connection_memory',
                        sizes.connections / sizes.nodes / remaining_share,
                    ),
                ),
            ]
        return figures


def _reciprocal(estimate: Estimate) -> Estimate:
    return Estimate(
        1 / estimate.value,
        estimate.error / estimate.value**2,
        estimate.sources,
    )
