"""Works out what each role spends at the stated size.

Every figure is a sum of measured lines at stated or chosen sizes. Its error
adds the errors of the lines, so it is an upper bound of their effect.
"""

import collections.abc
import dataclasses
import pathlib

from sassafrasridge_node import relays
from sassafrasridge_testkit import capacitysizes
from sassafrasridge_testkit import slopefit

WITHIN = 2.0
"""Errors by which a figure must keep away from its limit."""

HOLDS = 'holds'
BREAKS = 'breaks'
UNDECIDED = 'not decided: within the error'


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Hold a value, its error and the files that it comes from."""

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


def total(parts: collections.abc.Iterable[Estimate]) -> Estimate:
    """Return the sum of estimates."""
    result = Estimate(0.0)
    for part in parts:
        result = result + part
    return result


class Measured:
    """Read the lines that ``make slopes`` wrote."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def at(self, name: str, x: float) -> Estimate:
        """Return the value of a line."""
        line = slopefit.read_fit(self._folder, name)
        return Estimate(line.at(x), line.error_at(x), frozenset([name]))

    def per(self, name: str, count: float = 1.0) -> Estimate:
        """Return the slope of a line, times a count."""
        line = slopefit.read_fit(self._folder, name)
        return (
            Estimate(line.slope, line.slope_error, frozenset([name])) * count
        )

    def base(self, name: str) -> Estimate:
        """Return the intercept of a line."""
        return self.at(name, 0.0)


@dataclasses.dataclass(frozen=True)
class Figure:
    """Hold one row of the page; ``limit`` None means that none is stated."""

    what: str
    unit: str
    estimate: Estimate
    limit: float | None = None

    def verdict(self) -> str:
        """Return whether the limit holds beyond the error."""
        if self.limit is None:
            return ''
        distance = WITHIN * self.estimate.error
        if self.estimate.value + distance <= self.limit:
            return HOLDS
        if self.estimate.value - distance > self.limit:
            return BREAKS
        return UNDECIDED


class Roles:
    """Work out the figures of each role."""

    def __init__(
        self,
        measured: Measured,
        sizes: capacitysizes.Sizes,
        limits: capacitysizes.Limits,
    ) -> None:
        self.measured = measured
        self.sizes = sizes
        self.limits = limits

    def renewal(self, cost: str) -> Estimate:
        """Return a cost of one renewal at the stated size.

        The base of a renewal is in all three lines and counts once.
        """
        sizes, measured = self.sizes, self.measured
        return (
            measured.at(f'renewal_accounts_{cost}', sizes.accounts_in_use)
            + measured.per(f'renewal_targets_{cost}', sizes.targets)
            + measured.per(f'renewal_live_{cost}', sizes.nodes)
        )

    # One entry process.

    def entry(self) -> list[Figure]:
        """Return the figures of control work at an entry process."""
        limits = self.limits
        cpu = self._entry_cpu()
        traffic = self._entry_bytes()
        return [
            Figure(
                'configuration copy (bytes of a full copy)',
                'bytes',
                self.measured.at('full_copy_bytes', self.sizes.accounts),
                limits.frame_bytes,
            ),
            Figure(
                'group views and targets',
                'bytes',
                self.measured.per('group_entry_memory', self.sizes.groups),
            ),
            Figure(
                'memory of the process with configuration, views and '
                'connections',
                'bytes',
                self._entry_memory(),
                limits.node_memory,
            ),
            *(Figure(what, 'core', value) for what, value in cpu.items()),
            Figure(
                'processor time for control',
                'core',
                total(cpu.values()),
                limits.node_cpu,
            ),
            *(Figure(what, 'bytes/s', v) for what, v in traffic.items()),
            Figure(
                'traffic for control, both ways',
                'bytes/s',
                total(traffic.values()),
                limits.node_bytes_per_s,
            ),
        ]

    def _entry_memory(self) -> Estimate:
        sizes, measured = self.sizes, self.measured
        return (
            measured.at('account_entry_memory', sizes.accounts)
            + measured.per('group_entry_memory', sizes.groups)
            + measured.per(
                'connection_memory', sizes.connections / sizes.nodes
            )
        )

    def _entry_cpu(self) -> dict[str, Estimate]:
        sizes, measured = self.sizes, self.measured
        changes = sizes.changes_per_day / capacitysizes.DAY_S
        return {
            f'renewals, {sizes.renewals_per_s:.3g}/s': (
                self.renewal('entry_cpu') * sizes.renewals_per_s
            ),
            f'announcements, {sizes.announcements_per_s:.0f}/s': (
                measured.per('announcement_cpu', sizes.announcements_per_s)
            ),
            f'probes, at most {sizes.probes_per_s:.0f}/s': (
                measured.per('probe_cpu', sizes.probes_per_s)
            ),
            f'configuration deltas, {changes:.2g}/s': (
                measured.per('renewal_deltas_entry_cpu', changes)
            ),
        }

    def _entry_bytes(self) -> dict[str, Estimate]:
        sizes, measured = self.sizes, self.measured
        changes = sizes.changes_per_day / capacitysizes.DAY_S
        lists = 2 * sizes.restarts_per_day / capacitysizes.DAY_S
        return {
            'renewals sent': (
                self.renewal('sent_bytes') * sizes.renewals_per_s
            ),
            'renewals received': (
                self.renewal('received_bytes') * sizes.renewals_per_s
            ),
            'announcements': measured.per(
                'announcement_bytes', sizes.announcements_per_s
            ),
            'configuration deltas': measured.per(
                'renewal_deltas_received_bytes', changes
            ),
            'lists of entry processes after restarts': (
                measured.at('entry_list_bytes', sizes.nodes) * lists
            ),
        }

    # The data path of one node.

    def data(self) -> list[Figure]:
        """Return the figures of statements and connections of a node."""
        sizes = self.sizes
        mixed = self._statement(sizes.relayed_share)
        direct = self._statement(0.0)
        return [
            Figure(
                'statements as they arrive (98.9% relayed), both processes',
                'core',
                mixed * sizes.statements,
                self.limits.core,
            ),
            Figure(
                'the same if every statement arrived at its serving set',
                'core',
                direct * sizes.statements,
                self.limits.core,
            ),
            Figure(
                'statements/s that fill one core, as they arrive',
                '/s',
                _inverse(mixed),
            ),
            Figure(
                'statements/s that fill one core, none relayed',
                '/s',
                _inverse(direct),
            ),
            Figure(
                'memory of idle caller connections',
                'bytes',
                self.measured.per(
                    'connection_memory', sizes.connections / sizes.nodes
                ),
            ),
            Figure(
                'processor time of idle caller connections',
                'core',
                self.measured.per(
                    'connection_idle_cpu', sizes.connections / sizes.nodes
                ),
            ),
        ]

    def _statement(self, relayed_share: float) -> Estimate:
        def kind(name: str) -> Estimate:
            measured = self.measured
            hop = measured.per(f'{name}_relayed_relay_cpu') + measured.per(
                f'{name}_relayed_owner_cpu'
            )
            direct = measured.per(f'{name}_direct_owner_cpu')
            return hop * relayed_share + direct * (1 - relayed_share)

        reads = self.sizes.read_share
        return kind('read') * reads + kind('write') * (1 - reads)

    # Control.

    def relay(self) -> list[Figure]:
        """Return the figures of a relaying member."""
        sizes, measured = self.sizes, self.measured
        batches = 1 / sizes.batch_interval_s
        both = self.renewal('sent_bytes') + self.renewal('received_bytes')
        return [
            Figure(
                f'{batches:.0f} batches/s of {sizes.batch:.1f} renewals '
                '(10 accounts in use each)',
                'core',
                measured.at('relay_batch_39_relay_cpu', sizes.batch) * batches,
                self.limits.core,
            ),
            Figure(
                'request frame of a batch',
                'bytes',
                self.renewal('sent_bytes') * sizes.batch,
                self.limits.frame_bytes,
            ),
            Figure(
                f'request frame of a full batch of {relays.MAX_BATCH}',
                'bytes',
                self.renewal('sent_bytes') * relays.MAX_BATCH,
                self.limits.frame_bytes,
            ),
            Figure(
                'traffic with entry processes and leader',
                'bytes/s',
                both * (2 * sizes.relayed_per_s),
            ),
            Figure(
                'memory: as a voter, see below',
                'bytes',
                measured.at('account_leader_memory', sizes.accounts),
            ),
        ]

    def leader(self) -> list[Figure]:
        """Return the figures of the control leader."""
        sizes, measured = self.sizes, self.measured
        fleet = sizes.fleet_renewals_per_s
        batched = sizes.relays / sizes.batch_interval_s
        both = self.renewal('sent_bytes') + self.renewal('received_bytes')
        parts = {
            f'renewals, {fleet:.0f}/s, {sizes.accounts_in_use} accounts in '
            f'use and {sizes.targets:.1f} targets each': (
                self.renewal('leader_cpu') * fleet
            ),
            f'check of {sizes.groups} groups': (
                measured.at('group_keeper_cpu', sizes.groups)
            ),
            f'committed changes, {sizes.commits_per_s:.2g}/s': (
                measured.per('commit_leader_cpu', sizes.commits_per_s)
            ),
            'heartbeats and timers': measured.base('account_leader_idle_cpu'),
        }
        return [
            *(Figure(what, 'core', value) for what, value in parts.items()),
            Figure('sum', 'core', total(parts.values()), self.limits.core),
            Figure(
                f'for comparison: {batched:.0f} batches/s, 10 accounts in '
                'use each',
                'core',
                measured.at('relay_batch_39_leader_cpu', sizes.batch)
                * batched,
                self.limits.core,
            ),
            Figure('traffic of renewals', 'bytes/s', both * fleet),
            Figure(
                'memory without connection ledgers (not measured)',
                'bytes',
                measured.at('account_leader_memory', sizes.accounts)
                + measured.per('group_leader_memory', sizes.groups),
            ),
        ]

    def voter(self) -> list[Figure]:
        """Return the figures of a voter that follows."""
        sizes, measured = self.sizes, self.measured
        return [
            Figure(
                f'committed changes, {sizes.commits_per_s:.2g}/s',
                'core',
                measured.per('commit_follower_cpu', sizes.commits_per_s),
                self.limits.core,
            ),
            Figure(
                'log received from the leader',
                'bytes/s',
                measured.per('commit_bytes', sizes.commits_per_s),
            ),
            Figure(
                'snapshot after 100,000 notes, an upper bound',
                'bytes',
                self._snapshot(),
            ),
            Figure(
                'pause of the event loop to encode that snapshot',
                's',
                measured.at('snapshot_note_cpu', sizes.kept_answers),
            ),
            Figure(
                'memory without notes',
                'bytes',
                measured.at('account_leader_memory', sizes.accounts),
            ),
            Figure(
                'restart after 10,000 changes',
                's',
                measured.at('restart_seconds', 10_000),
                self.limits.restart_s,
            ),
        ]

    def _snapshot(self) -> Estimate:
        sizes, measured = self.sizes, self.measured
        return (
            measured.per('snapshot_account_bytes', sizes.accounts)
            + measured.per('snapshot_key_bytes', sizes.accounts)
            + measured.per('snapshot_note_bytes', sizes.kept_answers)
            + measured.per('snapshot_group_bytes', sizes.groups)
            + measured.per('snapshot_entry_process_bytes', sizes.nodes)
        )

    # Events.

    def restart_of_all(self) -> list[Figure]:
        """Return what a restart of all entry processes costs."""
        sizes, measured = self.sizes, self.measured
        per_relay = sizes.nodes / sizes.relays
        copy = measured.at('full_copy_bytes', sizes.accounts)
        return [
            Figure(
                'registrations at the leader (upper bound: as notes)',
                'core s',
                measured.per('commit_leader_cpu', sizes.nodes),
            ),
            Figure(
                'full copies at one relay',
                'core s',
                measured.at('full_copy_leader_cpu', sizes.accounts)
                * per_relay,
            ),
            Figure('full copies from one relay', 'bytes', copy * per_relay),
            Figure(
                'full copy at an entry process',
                'core s',
                measured.at('full_copy_entry_cpu', sizes.accounts),
            ),
            Figure(
                'lists from the leader, each time that the list changes',
                'bytes',
                measured.at('entry_list_bytes', sizes.nodes) * sizes.nodes,
            ),
            Figure(
                'announcements during the start, at each entry process',
                'core',
                measured.per('announcement_cpu', sizes.announcements_per_s),
            ),
        ]

    def new_node(self) -> list[Figure]:
        """Return the time until a new node is ready."""
        return [
            Figure(
                'start until ready, with one control member at rest',
                's',
                self.measured.at('entry_ready_seconds', self.sizes.accounts),
                self.limits.in_force_s,
            )
        ]

    def losses(self) -> list[Figure]:
        """Return what the loss of a zone or a region costs the rest."""
        sizes, measured = self.sizes, self.measured
        found = []
        for name, share in (
            ('a zone', 1 / sizes.zones),
            ('a region', 1 / sizes.regions),
        ):
            rest = 1 - share
            statement = self._statement(sizes.relayed_share)
            found += [
                Figure(
                    f'{name}: commits of {sizes.groups * share:.0f} changes '
                    'of primary at the leader, two each',
                    'core s',
                    measured.per(
                        'commit_leader_cpu', 2 * sizes.groups * share
                    ),
                ),
                Figure(
                    f'{name}: statements at each remaining node, '
                    f'{sizes.statements / rest:.0f}/s',
                    'core',
                    statement * (sizes.statements / rest),
                    self.limits.core,
                ),
                Figure(
                    f'{name}: memory of connections at each remaining node, '
                    f'{sizes.connections / sizes.nodes / rest:.0f}',
                    'bytes',
                    measured.per(
                        'connection_memory',
                        sizes.connections / sizes.nodes / rest,
                    ),
                ),
            ]
        return found


def _inverse(estimate: Estimate) -> Estimate:
    return Estimate(
        1 / estimate.value,
        estimate.error / estimate.value**2,
        estimate.sources,
    )
