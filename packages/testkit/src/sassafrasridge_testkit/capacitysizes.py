"""The stated size that docs/CAPACITY.md answers for, and its limits."""

import dataclasses

DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Hold stated sizes, chosen sizes and intervals of the design."""

    # Stated.
    nodes: int = 640
    groups: int = 1200
    servers: int = 3
    connections: float = 1.5e6
    statements_per_s: float = 780_000.0
    changes_per_day: float = 1700.0
    primary_changes_per_day: float = 3.0
    restarts_per_day: float = 380.0
    zones: int = 6
    regions: int = 2
    control_vms: int = 8
    # Chosen here, because no size is stated.
    accounts: int = 2000
    accounts_in_use: int = 100
    read_share: float = 0.9
    # Of the design.
    voters: int = 5
    serving_set: int = 7
    renew_interval_s: float = 0.3
    probe_interval_s: float = 0.2
    announce_interval_s: float = 1.0
    announced_to: int = 2
    batch_interval_s: float = 0.05
    kept_answers: int = 100_000
    kept_audit: int = 20_000

    @property
    def targets(self) -> float:
        """Return the targets that an entry process serves on average."""
        return self.groups * self.serving_set / self.nodes * self.servers

    @property
    def renewals_per_s(self) -> float:
        """Return the renewals of one entry process."""
        return 1 / self.renew_interval_s

    @property
    def fleet_renewals_per_s(self) -> float:
        """Return the renewals that reach the leader."""
        return self.nodes * self.renewals_per_s

    @property
    def announcements_per_s(self) -> float:
        """Return the announcements that an entry process takes."""
        targets = self.groups * self.servers / self.nodes
        return targets * self.announced_to / self.announce_interval_s

    @property
    def probes_per_s(self) -> float:
        """Return the probes of an entry process without any statement."""
        return self.targets / self.probe_interval_s

    @property
    def relays(self) -> int:
        """Return the control members that do not lead."""
        return self.control_vms - 1

    @property
    def relayed_per_s(self) -> float:
        """Return the renewals through one relay."""
        return self.fleet_renewals_per_s / self.relays

    @property
    def batch(self) -> float:
        """Return the renewals in one batch of a relay."""
        return self.relayed_per_s * self.batch_interval_s

    @property
    def relayed_share(self) -> float:
        """Return the share of statements that arrive outside the set."""
        return 1 - self.serving_set / self.nodes

    @property
    def statements(self) -> float:
        """Return the statements a second of one node."""
        return self.statements_per_s / self.nodes

    @property
    def commits_per_s(self) -> float:
        """Return mean committed changes: notes, views, registrations."""
        views = 3 * self.primary_changes_per_day
        commits = self.changes_per_day + views + self.restarts_per_day
        return commits / DAY_S


@dataclasses.dataclass(frozen=True)
class Limits:
    """Hold the stated limits; ``core`` is one processor core."""

    node_cpu: float = 0.014
    node_memory: float = 128e6
    node_bytes_per_s: float = 28e3
    core: float = 1.0
    restart_s: float = 2.0
    in_force_s: float = 8.0
    frame_bytes: float = 4 * 1024 * 1024
