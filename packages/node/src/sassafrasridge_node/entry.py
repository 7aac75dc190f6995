"""State of an entry process; accessed only from the engine's event loop."""

import asyncio
import collections.abc
import random
import typing

from sassafrasridge_core import freshness
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import placement
from sassafrasridge_core import queueing
from sassafrasridge_core import sessions
from sassafrasridge_core import shares
from sassafrasridge_core import state as core_state
from sassafrasridge_core import zonedrain
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

# An unused target of a group that is not served here is dropped if it has not
# announced itself for this long.
ANNOUNCEMENT_TTL_S = 3.0
# Limit on the names that one log line lists.
MAX_LOGGED_NAMES = 20


class SentRequest:
    """Hold when a request was sent to a target, and whether as the primary.

    ``primary_term`` is the term of the view in which the target was the
    primary and this process held a lease, None otherwise. ``known_position``
    is the last one that the primary had reported in that view, if any.
    """

    __slots__ = ('sent_at', 'primary_term', 'known_position')

    def __init__(
        self,
        sent_at: float,
        primary_term: int | None,
        known_position: model.Position | None = None,
    ) -> None:
        self.sent_at = sent_at
        self.primary_term = primary_term
        self.known_position = known_position


class EntryState:
    """Hold the configuration, lease, group views, rate shares and backends.

    If ``plain`` is set, requests are queued in FIFO order and all reads go to
    the primary. The queue of each target holds up to ``max_queue`` requests,
    each for at most ``max_wait_s`` seconds.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        times: leases.LeaseTimes,
        dialer: connections.Dialer,
        counters: metrics.Metrics,
        plain: bool = False,
        max_queue: int = queueing.MAX_TOTAL,
        max_wait_s: float = queueing.MAX_WAIT_S,
    ) -> None:
        self._max_queue = max_queue
        self._max_wait_s = max_wait_s
        self.metrics = counters
        self.plain = plain
        self._dialer = dialer
        self.name = name
        self.zone = zone
        self.times = times
        self.lease = leases.HolderLease(times)
        self.config = core_state.ConfigView()
        self.groups: dict[str, model.GroupView] = {}
        # Last commits that a client was told of, by group.
        self.acknowledged: dict[str, model.Position] = {}
        # Newest term of acknowledged commits, and their number, by group.
        self.commit_counts: dict[str, tuple[int, int]] = {}
        self.view_revision = 0
        self.view_changed = asyncio.Event()
        # Set when the first lease that includes a configuration is granted.
        self.configured = asyncio.Event()
        self.backends: dict[tuple[str, str], backends.Backend] = {}
        self.timelines: dict[str, freshness.PrimaryTimeline] = {}
        self.shares = shares.BucketSet(times.config_ttl_s)
        self.entries: dict[str, str] = {}
        self.entries_revision = 0
        self.targets_revision = 0
        self._serving_entries: set[str] = set()
        self._entry_zones: dict[str, str] = {}
        # Regions by zone, from the settings.
        self.regions: dict[str, str] = {}
        self._serving_sets: dict[str, list[str]] = {}
        self._charging_entries: dict[str, str] = {}
        self._served_cache: (
            list[tuple[tuple[str, str], backends.Backend]] | None
        )
        self._served_cache = None
        self._members_by_group: dict[str, list[backends.Backend]] = {}
        self._near_zones: list[str] | None = None
        self.draining = False
        self.drains = zonedrain.DrainTracker()
        self.renew_now: collections.abc.Callable[[], None] = lambda: None
        self._signer: sessions.TokenSigner | None = None

    # Current state.

    def lease_valid(self) -> bool:
        """Return whether writes may be served and acknowledged."""
        return self.lease.valid(clocks.boottime())

    def config_valid(self) -> bool:
        """Return whether the configuration may still be used for reads."""
        return self.lease.config_valid(clocks.boottime())

    def signer(self) -> sessions.TokenSigner:
        """Return the signer of session tokens."""
        if self._signer is None:
            self._signer = sessions.TokenSigner(self.config.session_secret)
        return self._signer

    def primary(self, group: str) -> backends.Backend | None:
        """Return the backend of a group's primary.

        Returns None during a change of primary or if the target is unknown.
        """
        view = self.groups.get(group)
        if view is None or view.changing or view.primary is None:
            return None
        return self.backends.get((group, view.primary))

    def usable_primary(self, group: str) -> backends.Backend | None:
        """Return the primary, or None if it must not be used."""
        found = self.primary(group)
        return None if found is None or found.drained else found

    def available_targets(
        self, group: str
    ) -> collections.abc.Sequence[backends.Backend]:
        """Return the targets of a group that accept new work."""
        now = clocks.boottime()
        return [
            backend
            for backend in self.members(group)
            if not backend.drained and not backend.leaving(now)
        ]

    def out_of_service(self, group: str) -> bool:
        """Return whether drained zones leave no target of a group."""
        if not self.drains:
            return False
        now, found = clocks.boottime(), False
        for backend in self.members(group):
            if self.drains.drained(backend.info.zone):
                found = True
            elif not backend.leaving(now):
                return False
        return found

    def may_probe(self) -> bool:
        """Return whether targets may be probed.

        Without control, reads of open routes may go on and need the answers.
        """
        return True

    def members(self, group: str) -> list[backends.Backend]:
        """Return the backends of all known targets of a group."""
        found = self._members_by_group.get(group)
        if found is None:
            found = [b for (g, _), b in self.backends.items() if g == group]
            self._members_by_group[group] = found
        return found

    def near_zones(self) -> list[str]:
        """Return the other availability zones of targets in fallback order.

        Network distances are unknown, so the zones are sorted by name.
        """
        if self._near_zones is None:
            zones = {b.info.zone for b in self.backends.values()}
            self._near_zones = sorted(zones - {self.zone})
        return self._near_zones

    def _clear_backend_caches(self) -> None:
        """Clear the caches derived from the set of backends."""
        self._served_cache = None
        self._members_by_group.clear()
        self._near_zones = None

    def serves(self, group: str) -> bool:
        """Return whether this process is in the group's serving set."""
        return self.name in self.serving_set(group)

    def zone_of(self, entry: str) -> str:
        """Return an entry process's availability zone, '' if unknown."""
        return self._entry_zones.get(entry, '')

    def region_of(self, zone: str) -> str:
        """Return the region of an availability zone, '' if unknown."""
        return self.regions.get(zone, '')

    def serving_set(self, group: str) -> list[str]:
        """Return the entry processes that hold connections to a group."""
        found = self._serving_sets.get(group)
        if found is None:
            names = sorted({*self._serving_entries, self.name})
            found = placement.serving_set(
                group, names, zones=self._entry_zones
            )
            self._serving_sets[group] = found
        return found

    def near_serving_set(self, group: str, rng: random.Random) -> list[str]:
        """Return the serving set in random order, own zone first."""
        return sorted(
            self.serving_set(group),
            key=lambda entry: (self.zone_of(entry) != self.zone, rng.random()),
        )

    def relay_order(self, group: str, account: str, zone: str) -> list[str]:
        """Return the serving set, the best process for an account first.

        The processes in the region of ``zone`` come first. Among them, an
        account always prefers the same one: connections to targets belong to
        one account, and a process has fewer of them than there are accounts.
        """
        region = self.region_of(zone) or zone
        near, far = [], []
        for entry in self.serving_set(group):
            entry_zone = self.zone_of(entry)
            is_near = (self.region_of(entry_zone) or entry_zone) == region
            (near if is_near else far).append(entry)
        return [
            *placement.account_order(account, near),
            *placement.account_order(account, far),
        ]

    def charging_entry(self, account: str) -> str | None:
        """Return the other entry process that charges an account.

        Returns None if no other process does or the account is unknown.
        """
        record = self.config.account(account)
        if record is None:
            return None
        charger = self._charging_entries.get(account)
        if charger is None:
            entries = {*self._serving_entries, self.name}
            charger = placement.charging_entry(account, record.burst, entries)
            if charger is None:
                return None
            self._charging_entries[account] = charger
        return None if charger == self.name else charger

    def served_backends(
        self,
    ) -> list[tuple[tuple[str, str], backends.Backend]]:
        """Return the backends of the groups served here, by key."""
        if self._served_cache is None:
            self._served_cache = [
                (key, backend)
                for key, backend in self.backends.items()
                if self.serves(key[0])
            ]
        return self._served_cache

    def reported_backends(
        self,
    ) -> collections.abc.Iterable[tuple[tuple[str, str], backends.Backend]]:
        """Return the backends reported to the control leader, by key."""
        return self.backends.items()

    def served_groups(self) -> set[str]:
        """Return the groups served here that have known targets."""
        return {group for (group, _), _ in self.served_backends()}

    def timeline(self, group: str) -> freshness.PrimaryTimeline:
        """Return the position history of a group's primary."""
        return self.timelines.setdefault(group, freshness.PrimaryTimeline())

    def bucket(self, account: str) -> shares.Bucket:
        """Return the token bucket of a client account."""
        return self.shares.bucket(account)

    def new_backend(self, info: model.TargetInfo) -> backends.Backend:
        """Create the backend of a target; subclasses override its type."""
        return backends.Backend(
            info, self._dialer, self.metrics, self.times.lease_s
        )

    def queue_kind(self) -> type[queueing.Queue]:
        """Return the kind of queue that requests wait in."""
        return queueing.FifoQueue if self.plain else queueing.FairQueue

    def _create_backend(self, info: model.TargetInfo) -> backends.Backend:
        backend = self.new_backend(info)
        backend.queue = self.queue_kind()(
            min(queueing.MAX_PER_ACCOUNT, self._max_queue),
            self._max_queue,
            self._max_wait_s,
        )
        backend.set_drained(not self.drains.usable(info.zone))
        return backend

    def sent_request(self, group: str, server: str) -> SentRequest:
        """Return the record of a request that is sent to a target now."""
        return SentRequest(
            clocks.boottime(),
            self._primary_term(group, server),
            self.timeline(group).newest(),
        )

    def _primary_term(self, group: str, server: str) -> int | None:
        view = self.groups.get(group)
        if view is None or view.changing or view.primary != server:
            return None
        return view.term if self.lease_valid() else None

    def covers_commits(
        self, group: str, server: str, sent: SentRequest
    ) -> bool:
        """Return whether an answer covers commits acknowledged before.

        Its position does if no other target could acknowledge commits when the
        request was sent, nor since. A replica that was promoted in between may
        have answered before that.
        """
        return (
            sent.primary_term is not None
            and sent.primary_term == self._primary_term(group, server)
        )

    def sample_primary(
        self, group: str, server: str, sent: SentRequest
    ) -> None:
        """Record a position of the primary, used to compute replica age."""
        backend = self.backends.get((group, server))
        if backend is None or not self.covers_commits(group, server, sent):
            return
        if backend.log_term == sent.primary_term:
            self.timeline(group).sample(
                sent.sent_at, backend.log_term, backend.applied
            )

    # State changes.

    def record_announcement(self, info: model.TargetInfo) -> None:
        """Apply an announcement; recreate the backend on a new address."""
        key = (info.group, info.server)
        backend = self.backends.get(key)
        if backend is not None and backend.info.address != info.address:
            backend.close()
            backend = None
        if backend is None:
            backend = self.backends[key] = self._create_backend(info)
            self._clear_backend_caches()
        if backend.info.zone != info.zone:
            self._near_zones = None
        backend.apply_announcement(info)
        backend.set_drained(not self.drains.usable(info.zone))

    def apply_config(self, reply: typing.Any) -> bool:
        """Apply the configuration in a renewal reply.

        Returns whether the local revision is now up to date.
        """
        before = self.config.revision
        try:
            if reply.full:
                self.config.load(reply.full)
            for delta in reply.deltas or []:
                self.config.apply(delta)
        except core_state.RevisionGapError:
            # The next renewal reports the local revision, and the control
            # leader then sends the missing changes.
            self.metrics.count_error('revision_gap')
        if self.config.revision != before:
            self._signer = None
            self._charging_entries.clear()
            self.metrics.revision.set(self.config.revision)
            self._apply_drained_zones()
        return self.config.revision >= reply.revision

    def _apply_drained_zones(self) -> None:
        """Stop using targets of zones that are drained now."""
        now, zones = clocks.boottime(), self.config.drained_zones()
        if not self.drains.update(now, zones, self.lease.age(now)):
            return
        for backend in self.backends.values():
            backend.set_drained(not self.drains.usable(backend.info.zone))
        self.metrics.drained_zones.set(len(zones))
        ended = [g for g in sorted(self.groups) if self.out_of_service(g)]
        logs.log_event(
            'drained_zones_changed',
            revision=self.config.revision,
            count=len(zones),
            zones=sorted(zones)[:MAX_LOGGED_NAMES],
            groups_without_targets=ended[:MAX_LOGGED_NAMES],
        )
        self._on_drained_zones_change()

    def _on_drained_zones_change(self) -> None:
        """React to a change of the drained zones; for subclasses."""

    def apply_groups(self, reply: typing.Any) -> None:
        """Apply group views; a view of an older term is ignored."""
        for record in reply.groups or []:
            view = codec.group_from_wire(record)
            previous = self.groups.get(view.group)
            if previous is None or view.term >= previous.term:
                self.groups[view.group] = view
                if previous is None or previous.term != view.term:
                    logs.log_event(
                        'group_view_changed',
                        group=view.group,
                        term=view.term,
                        primary=view.primary,
                        changing=view.changing,
                    )
                self._add_view_members(view)
                if previous is not None and previous.primary is not None:
                    self._on_primary_change(previous, view)
        if reply.view_revision > self.view_revision:
            self.view_revision = reply.view_revision
            changed, self.view_changed = self.view_changed, asyncio.Event()
            changed.set()

    def _on_primary_change(
        self, previous: model.GroupView, view: model.GroupView
    ) -> None:
        backend = self.backends.get((view.group, previous.primary or ''))
        if backend is not None and view.term > previous.term:
            backend.on_primary_replaced()

    def _on_serving_sets_change(self) -> None:
        """Add backends of groups now served here; drop idle unserved ones."""
        for view in self.groups.values():
            self._add_view_members(view)
        now = clocks.boottime()
        for key, backend in list(self.backends.items()):
            idle = now - backend.announced_at > ANNOUNCEMENT_TTL_S
            if not self.serves(key[0]) and idle and not backend.demand():
                backend.close()
                del self.backends[key]
                self._clear_backend_caches()

    def _add_view_members(self, view: model.GroupView) -> None:
        if not self.serves(view.group):
            return
        for server, address in view.members.items():
            key = (view.group, server)
            if key not in self.backends:
                self.backends[key] = self._create_backend(
                    model.TargetInfo(
                        server, view.group, '', address, '', 0, 0, 0, 0
                    )
                )
                self._clear_backend_caches()

    def apply_targets(self, reply: typing.Any) -> None:
        """Ignore the target directory; targets announce themselves here."""

    def apply_connection_grants(
        self, grants: typing.Any, sent_at: float
    ) -> None:
        """Apply connection limits; the renewal was sent at ``sent_at``."""
        for grant in grants or []:
            backend = self.backends.get((grant.group, grant.server))
            if backend is not None:
                backend.apply_grant(grant, sent_at)

    def apply_entries(self, reply: typing.Any) -> None:
        """Update the live entry processes if the reply lists them."""
        if reply.entries is None:
            return
        self.entries_revision = reply.entries_revision or 0
        self.entries = {e.entry: e.address for e in reply.entries}
        self._entry_zones = {e.entry: e.zone for e in reply.entries}
        self._entry_zones[self.name] = self.zone
        serving = {e.entry for e in reply.entries if not e.draining}
        if serving != self._serving_entries:
            self._serving_entries = serving
            self._serving_sets.clear()
            self._charging_entries.clear()
            self._served_cache = None
            self._on_serving_sets_change()
