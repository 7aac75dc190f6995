"""In-memory state of the control leader: leases, shares and observations.

None of it is persisted. A new leader rebuilds it from the renewals of lease
holders, and grants nothing that a lease of an earlier leader may still cover.
"""

import collections.abc
import typing

from sassafrasridge_core import acknowledged as commits
from sassafrasridge_core import coldlimits
from sassafrasridge_core import directory
from sassafrasridge_core import incarnations
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import placement
from sassafrasridge_core import promotion
from sassafrasridge_core import shares
from sassafrasridge_core import slots
from sassafrasridge_core import state as core_state
from sassafrasridge_node import codec
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc

# Observer name for announcements that control processes received directly.
CONTROL_OBSERVER = 'control'
# Interval of the scan for expired leases. A change that a renewal reports is
# applied with that renewal and does not wait for the scan.
LIVE_SCAN_INTERVAL_S = 0.05
# A revision holds a counter in this many low bits and the term above them, so
# that lists of different leaders never have the same revision.
REVISION_COUNTER_BITS = 32
# Limit of the configuration changes in a reply, and in the replies to a batch
# of renewals. A change that exceeds it is sent alone. The rest of a frame is
# for that change and the other parts of the replies.
MAX_CONFIG_BYTES = rpc.MAX_FRAME_BYTES // 4


class LiveEntries:
    """Maintain the list of live entry processes and its revision."""

    def __init__(self, table: leases.LeaseTable, term: int) -> None:
        self._records: list[typing.Any] = []
        self._lease_table = table
        self._term = term
        self._revision = term << REVISION_COUNTER_BITS
        self._listed_fields: dict[str, tuple[typing.Any, ...]] = {}
        self._next_rebuild_at = float('-inf')
        # Sets of the processes that take new work.
        self._serving_sets = placement.ServingSets()

    def refresh(self, now: float, holder: leases.LeaseHolder) -> int:
        """Update the list after a holder's renewal; return its revision."""
        changed = self._listed_fields.get(holder.name) != self._entry_fields(
            holder
        )
        if changed or now >= self._next_rebuild_at:
            self._rebuild(now)
        return self._revision

    def _rebuild(self, now: float) -> None:
        self._next_rebuild_at = now + LIVE_SCAN_INTERVAL_S
        live = self._lease_table.live(now)
        known = {holder.name: self._entry_fields(holder) for holder in live}
        if known == self._listed_fields:
            return
        self._listed_fields = known
        self._revision += 1
        self._records = [
            rpc.idl.EntryAddress(
                entry=h.entry,
                zone=h.zone,
                address=h.address,
                draining=h.draining,
            )
            for h in live
        ]
        self._serving_sets.update(
            {h.entry: h.zone for h in live if not h.draining}
        )

    def is_complete(self, now: float) -> bool:
        """Return whether all processes that may hold a lease are listed."""
        return self._lease_table.earlier_leases_expired(now)

    def records_for(
        self, now: float, revision: int
    ) -> list[typing.Any] | None:
        """Return the list for a process that has one of a given revision.

        Returns None if it is to keep its list. That of an earlier leader is
        kept until this one is complete: processes that are missing in it
        still serve, and all others would take their groups over.
        """
        if revision == self._revision:
            return None
        earlier = 0 < revision >> REVISION_COUNTER_BITS < self._term
        if earlier and not self.is_complete(now):
            return None
        return self._records

    def serving_set(self, group: str, entry: str, zone: str) -> list[str]:
        """Return the serving set that a process derives from the list.

        A process that shuts down counts itself until its statements end.
        """
        known = self._serving_sets.zones
        if entry in known:
            return self._serving_sets.get(group)
        zones = {**known, entry: zone}
        return placement.serving_set(group, [*zones], zones=zones)

    @staticmethod
    def _entry_fields(holder: leases.LeaseHolder) -> tuple[typing.Any, ...]:
        return holder.entry, holder.zone, holder.address, holder.draining


class Leadership:
    """Hold the leader's in-memory state for one term."""

    def __init__(
        self,
        state: core_state.State,
        times: leases.LeaseTimes,
        suspect_after_s: float,
        term: int,
        now: float,
        policy: str,
        counters: metrics.Metrics,
        exclusive_names: bool = False,
        order_connections: int = 0,
        acknowledged: commits.AcknowledgedCommits | None = None,
    ) -> None:
        # Connections that control itself may have open to a target.
        self._order_connections = order_connections
        self._incarnations: incarnations.Incarnations | None = None
        if exclusive_names:
            self._incarnations = incarnations.Incarnations(term)
        self._all_holders_known = False
        self.term = term
        self.lease_table = leases.LeaseTable(times, now, acknowledged)
        self.detector = promotion.FailureDetector(suspect_after_s)
        self._live = LiveEntries(self.lease_table, term)
        self.directory = directory.TargetDirectory(
            now, term << REVISION_COUNTER_BITS
        )
        self.member_addresses: collections.abc.Callable[[], list[str]] = list
        self._service_budgets: dict[str, tuple[int, int]] = {}
        self._announced_budgets: dict[tuple[str, str], tuple[int, int]] = {}
        self._metrics = counters
        self._state = state
        self._times = times
        self._started_at = now
        self._allocator = shares.create_allocator(
            policy, now, term, times.config_ttl_s
        )
        self._ledgers: dict[tuple[str, str], slots.ConnectionLedger] = {}
        self._cold_rates = coldlimits.ColdRates(now, times.lease_s)
        # Rates of cold targets in statements/s, by group.
        self._service_rates: dict[str, float] = {}
        self._synced_revision = -1
        self._entries_without_lease = 0
        self._known_accounts: set[str] = set()
        self._no_earlier_changes = not len(state.answers)
        self._count_cold_targets()

    def may_grant(self, now: float, req: typing.Any) -> bool:
        """Return whether a process gets a lease with the next reply.

        It gets none while it doesn't receive the replies.
        """
        name = holder_name(req.entry, req.incarnation)
        was_suspended = self.lease_table.is_suspended(name)
        granted = self.lease_table.may_grant(
            now, name, req.sequence, req.received_sequence
        )
        suspended = self.lease_table.is_suspended(name)
        if suspended != was_suspended:
            logs.log_event(
                'grants_suspended' if suspended else 'grants_resumed',
                entry=req.entry,
                sequence=req.sequence,
                received_sequence=req.received_sequence,
                revision=req.revision,
                view_revision=req.view_revision,
            )
        if not granted:
            # Its reports of commits matter as long as clients rely on them.
            self._record_acknowledged(name, req)
        return granted

    def renew(
        self,
        now: float,
        req: typing.Any,
        relayed: bool = False,
        config_bytes: int = MAX_CONFIG_BYTES,
    ) -> typing.Any:
        """Grant a renewal and return its reply.

        A relayed reply has no full copy of the configuration, and no changes
        if ``config_bytes`` is 0; the relaying member adds what is missing. The
        copies of one batch would not fit into a frame.
        """
        self.expire(now)
        self._track_incarnation(now, req)
        name = holder_name(req.entry, req.incarnation)
        holder = self.lease_table.grant(now, name, req.entry)
        holder.zone = req.zone
        holder.address = req.address
        holder.revision = req.revision
        holder.view_revision = req.view_revision
        holder.draining = req.draining
        self._record_acknowledged(name, req)
        reply = rpc.idl.RenewReply(
            granted=True,
            reason='',
            leader_term=self.term,
            sequence=req.sequence,
            leader_clock=self.clock(),
        )
        for obs in req.observations or []:
            self.detector.report(
                name,
                obs.group,
                obs.server,
                codec.observation_from_wire(now, obs),
            )
        self.detector.drop_unwatched(
            name, {(o.group, o.server) for o in req.observations or []}
        )
        self._add_config(reply, req, relayed, config_bytes)
        reply.shares = [
            codec.grant_to_wire(grant)
            for grant in self._allocator.renew(
                now,
                req.entry,
                req.accounts or [],
                req.incarnation,
                req.sequence,
            )
        ]
        reply.entries_revision = self._live.refresh(now, holder)
        reply.connections = self._grant_all_connections(now, req)
        reply.entries = self._live.records_for(now, req.entries_revision or 0)
        self._add_targets(now, reply, req)
        reply.members = self.member_addresses()
        self._metrics.renewals.labels('granted').inc()
        return reply

    def _add_targets(
        self, now: float, reply: typing.Any, req: typing.Any
    ) -> None:
        for server in self.directory.expire(
            now,
            lambda info: self.detector.answered_within(
                now, info.group, info.server, directory.EXPIRE_AFTER_S
            ),
        ):
            logs.log_event('target_expired', server=server)
            self._count_cold_targets()
        reply.targets_revision = self.directory.revision
        reply.targets_complete = self.directory.complete(now)
        if req.targets_revision != self.directory.revision:
            reply.targets = [
                codec.target_to_wire(info) for info in self.directory.targets()
            ]

    def register(
        self, now: float, announcement: directory.Announcement
    ) -> None:
        """Register a target that announced itself to a control member."""
        info = announcement.info
        revision = self.directory.revision
        was_cold = self.directory.is_cold(info.server) or False
        known = self.directory.announce(now, announcement)
        if known and was_cold != (info.cold_s > 0):
            self._count_cold_targets()
            logs.log_event(
                'target_warm' if was_cold else 'target_cold',
                server=info.server,
                group=info.group,
                remaining_s=info.cold_s,
                rate=self._service_rates.get(info.group, 0.0),
            )
        if not known or self.directory.revision != revision:
            logs.log_event(
                'target_registered' if known else 'announcement_outdated',
                server=info.server,
                group=info.group,
                address=info.address,
                role=info.role,
                leaving=info.leaving,
                sequence=announcement.sequence,
            )

    def _count_cold_targets(self) -> None:
        self._metrics.cold_targets.set(self.directory.cold_count())

    def unregister(self, server: str) -> None:
        """Remove a target that shut down."""
        removed = self.directory.leave(server)
        self._count_cold_targets()
        logs.log_event('target_left', server=server, removed=removed)

    def is_retired(self, req: typing.Any) -> bool:
        """Return whether a renewal is from a replaced incarnation."""
        known = self._incarnations
        return known is not None and known.is_retired(
            req.entry, req.incarnation
        )

    def clock(self) -> int | None:
        """Return the clock for the next reply, None if names aren't exclusive.

        Processes return it with their next renewal.
        """
        return None if self._incarnations is None else self._incarnations.clock

    def _track_incarnation(self, now: float, req: typing.Any) -> None:
        known = self._incarnations
        if known is None:
            return
        returned_clock = req.leader_clock
        if returned_clock is None:
            # The first renewal of a process, or one of an earlier release.
            returned_clock = -1
        for ended in known.renewed(req.entry, req.incarnation, returned_clock):
            # Its lease still counts until it has run out.
            self._release_shares(now, req.entry, ended)
        if self._all_holders_known or not known.is_confirmed(
            req.entry, req.incarnation
        ):
            return
        known.report_unused(
            now, req.entry, req.incarnation, req.unused_s or 0.0
        )
        if known.complete(self._state.entries):
            self._all_holders_known = True
            unused_s = known.unused_s(now, self._state.entries.keys())
            self.lease_table.end_grace_period()
            self._allocator.end_grace_period(now, unused_s)
            for ledger in self._ledgers.values():
                ledger.end_grace_period(now)
            self._cold_rates.all_holders_known()
            logs.log_event(
                'holders_complete',
                term=self.term,
                unused_s=round(unused_s, 3),
            )

    def release(self, now: float, req: typing.Any) -> None:
        """Release the lease and all grants of a holder that shuts down."""
        name = holder_name(req.entry, req.incarnation)
        self._record_acknowledged(name, req)
        self._release_shares(now, req.entry, req.incarnation)
        self.lease_table.release(name)

    def _record_acknowledged(self, name: str, req: typing.Any) -> None:
        self.lease_table.report_acknowledged(
            codec.acknowledged_from_wire(req.acknowledged)
        )
        self.lease_table.report_counts(
            name, codec.commit_counts_from_wire(req.acknowledged)
        )

    def _release_shares(
        self, now: float, entry: str, incarnation: int
    ) -> None:
        self._allocator.release(now, entry, incarnation)
        for ledger in self._ledgers.values():
            ledger.release(entry, incarnation)
        self.detector.forget(holder_name(entry, incarnation))

    def expire(self, now: float) -> None:
        """Drop expired leases; apply changes of accounts and services."""
        for holder in self.lease_table.expire(now):
            self.detector.forget(holder.name)
        known = {holder.entry for holder in self.lease_table.holders.values()}
        # A partitioned entry process keeps one connection per target for
        # reads, so one connection per target is reserved for each entry
        # process without a lease.
        self._entries_without_lease = len(self._state.entries.keys() - known)
        self._allocator.tick(now)
        if self._synced_revision != self._state.revision:
            self._sync_accounts(now)
            self._service_budgets = slots.service_budgets(
                self._state.services()
            )
            self._service_rates = coldlimits.service_rates(
                self._state.services()
            )

    def record_announcement(self, at: float, info: model.TargetInfo) -> None:
        """Record an announcement that a control process received at ``at``."""
        self.detector.report(
            CONTROL_OBSERVER,
            info.group,
            info.server,
            promotion.TargetObservation(at, 0.0, float('inf'), info),
        )

    def _sync_accounts(self, now: float) -> None:
        first = self._synced_revision < 0
        self._synced_revision = self._state.revision
        accounts = {a.name: a for a in self._state.accounts()}
        for name in self._known_accounts - set(accounts):
            self._allocator.withdraw_account(now, name)
        for account in accounts.values():
            # Only an account that was added during this leadership starts
            # with a full burst. The burst of any other account may have been
            # used already, also by holders of shares of a removed account
            # with the same name.
            created = (
                not first
                and account.name not in self._known_accounts
                and (
                    self._no_earlier_changes
                    or self.lease_table.earlier_shares_expired(now)
                )
            )
            self._allocator.set_account(
                now, account.name, account.rate, account.burst, created
            )
        self._known_accounts = set(accounts)

    def _grant_all_connections(
        self, now: float, req: typing.Any
    ) -> list[typing.Any]:
        """Return the grants for the targets that a process is to serve.

        While processes start, each derives its serving sets from the list of
        those that started before it, so it reports targets of others.
        """
        grants = []
        for obs in req.observations or []:
            if not obs.serves:
                continue
            serving = self._live.serving_set(obs.group, req.entry, req.zone)
            if req.entry in serving:
                grants.append(self._grant_connections(now, req, obs, serving))
        return grants

    def _grant_connections(
        self,
        now: float,
        req: typing.Any,
        obs: typing.Any,
        serving: list[str],
    ) -> typing.Any:
        key = (obs.group, obs.server)
        ledger = self._ledgers.get(key)
        if ledger is None:
            ledger = self._ledgers[key] = slots.ConnectionLedger(
                self._started_at, self.term, self._times.lease_s
            )
            if self._all_holders_known:
                ledger.end_grace_period(now)
        budget, slot_count = self._connection_budget(obs)
        limit = ledger.renew(
            now,
            req.entry,
            req.incarnation,
            obs.limit_version,
            obs.limit,
            obs.demand,
            budget,
            slot_count,
            serving,
        )
        return rpc.idl.ConnectionGrant(
            group=obs.group,
            server=obs.server,
            base=limit.base,
            version=limit.version,
            connections=limit.connections,
            in_flight=limit.in_flight,
            rate=self._cold_rate(now, req, obs, ledger) or None,
        )

    def _cold_rate(
        self,
        now: float,
        req: typing.Any,
        obs: typing.Any,
        ledger: slots.ConnectionLedger,
    ) -> float:
        """Return the rate in statements/s that a holder may send."""
        total = self._service_rates.get(obs.group, 0.0)
        if not total:
            return coldlimits.NOT_LIMITED
        return self._cold_rates.rate(
            now,
            (obs.group, obs.server),
            (req.entry, req.incarnation),
            ledger.holders(),
            total,
            self.directory.is_cold(obs.server),
            coldlimits.Report(
                obs.limit > 0,
                obs.rate or coldlimits.NOT_LIMITED,
                slots.term_of_version(obs.limit_version) == self.term,
            ),
        )

    def _connection_budget(self, obs: typing.Any) -> tuple[int, int]:
        """Return connections and slots; service settings take precedence."""
        connections, slot_count = self._service_budgets.get(obs.group, (0, 0))
        announced = self._announced_budget(obs)
        budget = slots.usable_connections(connections or announced[0])
        budget -= self._entries_without_lease + self._order_connections
        return max(1, budget), slot_count or announced[1]

    def _announced_budget(self, obs: typing.Any) -> tuple[int, int]:
        """Return the connections and slots that the target last announced.

        A target announces itself to a few entry processes only; the others
        report zero connections.
        """
        key = (obs.group, obs.server)
        if obs.connections:
            self._announced_budgets[key] = (obs.connections, obs.slots)
        return self._announced_budgets.get(key, (1, 1))

    def _add_config(
        self,
        reply: typing.Any,
        req: typing.Any,
        relayed: bool,
        config_bytes: int,
    ) -> None:
        reply.revision = self._state.revision
        reply.deltas = []
        if not relayed:
            add_changes(reply, req.revision, self._state)
        elif req.revision > 0 and config_bytes > 0:
            reply.deltas = (
                self._state.deltas_since(req.revision, config_bytes) or []
            )
        reply.view_revision = self._state.groups_revision
        reply.groups = [
            codec.group_to_wire(view)
            for view in self._state.groups_since(req.view_revision)
        ]


def add_changes(
    reply: typing.Any, revision: int, state: core_state.State
) -> None:
    """Add the configuration changes after a revision to a renewal reply.

    They are cut to what fits into a frame, so that a process which missed many
    of them gets the rest with its next renewals.
    """
    if revision >= state.revision:
        return
    deltas = None
    if revision > 0:
        deltas = state.deltas_since(revision, MAX_CONFIG_BYTES)
    if deltas is None:
        reply.full = state.full()
    else:
        reply.deltas = deltas


def holder_name(entry: str, incarnation: int) -> str:
    """Return the name of a lease holder, one process incarnation."""
    return f'{entry}#{incarnation}'
