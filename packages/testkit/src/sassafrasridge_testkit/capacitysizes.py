"""The deployment size assumed in docs/CAPACITY.md, and its limits."""

import dataclasses

DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Hold the sizes, rates and intervals of the deployment."""

    # Stated requirements.
    nodes: int = 640
    groups: int = 1200
    servers_per_group: int = 3
    connections: float = 1.5e6
    statements_per_s: float = 780_000.0
    config_changes_per_day: float = 1700.0
    primary_changes_per_day: float = 3.0
    restarts_per_day: float = 380.0
    zones: int = 6
    regions: int = 2
    control_vms: int = 8
    # Assumptions, because no size is stated.
    accounts: int = 2000
    accounts_in_use: int = 100
    read_share: float = 0.9
    # Values of the design.
    voters: int = 5
    serving_set_size: int = 7
    renew_interval_s: float = 0.3
    probe_interval_s: float = 0.2
    announce_interval_s: float = 1.0
    announcement_receivers: int = 2
    batch_interval_s: float = 0.05
    retained_answers: int = 100_000
    retained_audit_entries: int = 20_000

    @property
    def targets_per_entry(self) -> float:
        """Return the mean number of targets that an entry process serves."""
        return (
            self.groups
            * self.serving_set_size
            / self.nodes
            * self.servers_per_group
        )

    @property
    def renewals_per_s(self) -> float:
        """Return the rate of lease renewals sent by one entry process."""
        return 1 / self.renew_interval_s

    @property
    def fleet_renewals_per_s(self) -> float:
        """Return the rate of lease renewals that reach the leader."""
        return self.nodes * self.renewals_per_s

    @property
    def announcements_per_s(self) -> float:
        """Return the rate of announcements received by an entry process."""
        targets = self.groups * self.servers_per_group / self.nodes
        return targets * self.announcement_receivers / self.announce_interval_s

    @property
    def probes_per_s(self) -> float:
        """Return the probe rate of an entry process without statements."""
        return self.targets_per_entry / self.probe_interval_s

    @property
    def relay_count(self) -> int:
        """Return the number of control members other than the leader."""
        return self.control_vms - 1

    @property
    def relay_renewals_per_s(self) -> float:
        """Return the rate of renewals forwarded by one relay."""
        return self.fleet_renewals_per_s / self.relay_count

    @property
    def renewals_per_batch(self) -> float:
        """Return the mean number of renewals in one batch of a relay."""
        return self.relay_renewals_per_s * self.batch_interval_s

    @property
    def relayed_share(self) -> float:
        """Return the share of statements received outside the serving set."""
        return 1 - self.serving_set_size / self.nodes

    @property
    def node_statements_per_s(self) -> float:
        """Return the rate of statements received by one node."""
        return self.statements_per_s / self.nodes

    @property
    def commits_per_s(self) -> float:
        """Return the mean rate of committed notes, views and registrations."""
        views = 3 * self.primary_changes_per_day
        commits = self.config_changes_per_day + views + self.restarts_per_day
        return commits / DAY_S


@dataclasses.dataclass(frozen=True)
class Limits:
    """Hold the stated limits; ``core_limit`` applies to a single process."""

    node_cpu_cores: float = 0.014
    node_memory_bytes: float = 128e6
    node_bytes_per_s: float = 28e3
    core_limit: float = 1.0
    restart_s: float = 2.0
    in_force_s: float = 8.0
    frame_bytes: float = 4 * 1024 * 1024
