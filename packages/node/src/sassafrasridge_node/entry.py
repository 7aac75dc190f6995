"""State of an entry process, owned by the engine's event loop."""

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
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from sassafrasridge_node import logs
from sassafrasridge_node import metrics

ANNOUNCEMENT_TTL_S = 3.0


class EntryState:
    """Hold configuration, lease, views of groups, shares and backends.

    With ``plain`` requests are served first in, first out, and all reads go
    to the primary. The queue of each target holds ``max_queue`` requests for
    up to ``max_wait_s``.
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
        self.view_revision = 0
        self.view_changed = asyncio.Event()
        # Set once a first lease with a configuration was granted.
        self.configured = asyncio.Event()
        self.backends: dict[tuple[str, str], backends.Backend] = {}
        self.timelines: dict[str, freshness.PrimaryTimeline] = {}
        self.shares = shares.BucketSet(times.config_ttl_s)
        self.entries: dict[str, str] = {}
        self.entries_revision = 0
        self.targets_revision = 0
        self._serving: set[str] = set()
        self._zones: dict[str, str] = {}
        self._serving_sets: dict[str, list[str]] = {}
        self._charging: dict[str, str] = {}
        self._served: list[tuple[tuple[str, str], backends.Backend]] | None
        self._served = None
        self._members: dict[str, list[backends.Backend]] = {}
        self._near_zones: list[str] | None = None
        self.draining = False
        self.renew_now: collections.abc.Callable[[], None] = lambda: None
        self._signer: sessions.TokenSigner | None = None

    # What holds now.

    def lease_valid(self) -> bool:
        """Return whether writes may be served and acknowledged."""
        return self.lease.valid(clocks.boottime())

    def config_valid(self) -> bool:
        """Return whether keyed reads may be served."""
        return self.lease.config_valid(clocks.boottime())

    def signer(self) -> sessions.TokenSigner:
        """Return the signer of session tokens."""
        if self._signer is None:
            self._signer = sessions.TokenSigner(self.config.session_secret)
        return self._signer

    def primary(self, group: str) -> backends.Backend | None:
        """Return the backend of a group's primary, if one may serve."""
        view = self.groups.get(group)
        if view is None or view.changing or view.primary is None:
            return None
        return self.backends.get((group, view.primary))

    def members(self, group: str) -> list[backends.Backend]:
        """Return the backends of a group."""
        found = self._members.get(group)
        if found is None:
            found = [b for (g, _), b in self.backends.items() if g == group]
            self._members[group] = found
        return found

    def near_zones(self) -> list[str]:
        """Return the other availability zones of targets, nearest first.

        Distances are not known, so it is the order of their names.
        """
        if self._near_zones is None:
            zones = {b.info.zone for b in self.backends.values()}
            self._near_zones = sorted(zones - {self.zone})
        return self._near_zones

    def _backends_changed(self) -> None:
        """Forget what was derived from the set of backends."""
        self._served = None
        self._members.clear()
        self._near_zones = None

    def serves(self, group: str) -> bool:
        """Return whether this process keeps connections to the group."""
        return self.name in self.serving_set(group)

    def zone_of(self, entry: str) -> str:
        """Return the availability zone of an entry process."""
        return self._zones.get(entry, '')

    def serving_set(self, group: str) -> list[str]:
        """Return the entry processes that keep connections to a group."""
        found = self._serving_sets.get(group)
        if found is None:
            names = sorted({*self._serving, self.name})
            found = placement.serving_set(group, names, zones=self._zones)
            self._serving_sets[group] = found
        return found

    def near_serving_set(self, group: str, rng: random.Random) -> list[str]:
        """Return the serving set, own zone first, random within a zone."""
        return sorted(
            self.serving_set(group),
            key=lambda entry: (self.zone_of(entry) != self.zone, rng.random()),
        )

    def charging_entry(self, account: str) -> str | None:
        """Return the other entry process that charges an account, if any."""
        record = self.config.account(account)
        if record is None:
            return None
        known = self._charging.get(account)
        if known is None:
            entries = {*self._serving, self.name}
            known = placement.charging_entry(account, record.burst, entries)
            if known is None:
                return None
            self._charging[account] = known
        return None if known == self.name else known

    def served(self) -> list[tuple[tuple[str, str], backends.Backend]]:
        """Return the keys and backends of the groups served here."""
        if self._served is None:
            self._served = [
                (key, backend)
                for key, backend in self.backends.items()
                if self.serves(key[0])
            ]
        return self._served

    def observed(
        self,
    ) -> collections.abc.Iterable[tuple[tuple[str, str], backends.Backend]]:
        """Return the keys and backends that control is told of."""
        return self.backends.items()

    def served_groups(self) -> set[str]:
        """Return the groups with known targets that are served here."""
        return {group for (group, _), _ in self.served()}

    def timeline(self, group: str) -> freshness.PrimaryTimeline:
        """Return the timeline of a group's primary."""
        return self.timelines.setdefault(group, freshness.PrimaryTimeline())

    def bucket(self, account: str) -> shares.Bucket:
        """Return the bucket of a client account."""
        return self.shares.bucket(account)

    def new_backend(self, info: model.TargetInfo) -> backends.Backend:
        """Return the backend of a target that was not known."""
        return backends.Backend(
            info, self._dialer, self.metrics, self.times.lease_s
        )

    def _backend(self, info: model.TargetInfo) -> backends.Backend:
        backend = self.new_backend(info)
        kind: type[queueing.Queue] = queueing.FairQueue
        if self.plain:
            kind = queueing.FifoQueue
        backend.queue = kind(
            min(queueing.MAX_PER_ACCOUNT, self._max_queue),
            self._max_queue,
            self._max_wait_s,
        )
        return backend

    def sample_primary(self, group: str, server: str, sent_at: float) -> None:
        """Record a position of the primary, for the age of replicas.

        It proves something only while no other primary can acknowledge
        writes, which the lease ensures.
        """
        view = self.groups.get(group)
        backend = self.backends.get((group, server))
        if view is None or backend is None or not self.lease_valid():
            return
        if view.primary == server and backend.log_term == view.term:
            self.timeline(group).sample(
                sent_at, backend.log_term, backend.applied
            )

    # Changes.

    def announced(self, info: model.TargetInfo) -> None:
        """Record the announcement of a target."""
        key = (info.group, info.server)
        backend = self.backends.get(key)
        if backend is not None and backend.info.address != info.address:
            backend.pool.close()
            backend = None
        if backend is None:
            backend = self.backends[key] = self._backend(info)
            self._backends_changed()
        if backend.info.zone != info.zone:
            self._near_zones = None
        backend.learn_announcement(info)

    def apply_config(self, reply: typing.Any) -> bool:
        """Apply configuration of a renewal; return whether it is current."""
        before = self.config.revision
        try:
            if reply.full:
                self.config.load(reply.full)
            for delta in reply.deltas or []:
                self.config.apply(delta)
        except core_state.RevisionGapError:
            # The next renewal names the revision in force here, and control
            # sends what follows it.
            self.metrics.error('revision_gap')
        if self.config.revision != before:
            self._signer = None
            self._charging.clear()
            self.metrics.revision.set(self.config.revision)
        return self.config.revision >= reply.revision

    def apply_groups(self, reply: typing.Any) -> None:
        """Apply views of groups; an older view never replaces a newer."""
        for record in reply.groups or []:
            view = codec.group_from_wire(record)
            known = self.groups.get(view.group)
            if known is None or view.term >= known.term:
                self.groups[view.group] = view
                if known is None or known.term != view.term:
                    logs.change(
                        'group_view_changed',
                        group=view.group,
                        term=view.term,
                        primary=view.primary,
                        changing=view.changing,
                    )
                self._follow_view(view)
                if known is not None and known.primary is not None:
                    self._leave_primary(known, view)
        if reply.view_revision > self.view_revision:
            self.view_revision = reply.view_revision
            changed, self.view_changed = self.view_changed, asyncio.Event()
            changed.set()

    def _leave_primary(
        self, known: model.GroupView, view: model.GroupView
    ) -> None:
        backend = self.backends.get((view.group, known.primary or ''))
        if backend is not None and view.term > known.term:
            backend.replaced()

    def _follow_serving_sets(self) -> None:
        """Keep backends only of groups that this process serves."""
        for view in self.groups.values():
            self._follow_view(view)
        now = clocks.boottime()
        for key, backend in list(self.backends.items()):
            idle = now - backend.announced_at > ANNOUNCEMENT_TTL_S
            if not self.serves(key[0]) and idle and not backend.demand():
                backend.pool.close()
                del self.backends[key]
                self._backends_changed()

    def _follow_view(self, view: model.GroupView) -> None:
        if not self.serves(view.group):
            return
        for server, address in view.members.items():
            key = (view.group, server)
            if key not in self.backends:
                self.backends[key] = self._backend(
                    model.TargetInfo(
                        server, view.group, '', address, '', 0, 0, 0, 0
                    )
                )
                self._backends_changed()

    def apply_targets(self, reply: typing.Any) -> None:
        """Ignore the directory: targets announce themselves here."""

    def apply_connections(self, grants: typing.Any, sent_at: float) -> None:
        """Apply the limits that answer a renewal sent at ``sent_at``."""
        for grant in grants or []:
            backend = self.backends.get((grant.group, grant.server))
            if backend is not None:
                backend.take_grant(grant, sent_at)

    def apply_entries(self, reply: typing.Any) -> None:
        """Record the live entry processes, if the reply lists them."""
        if reply.entries is None:
            return
        self.entries_revision = reply.entries_revision or 0
        self.entries = {e.entry: e.address for e in reply.entries}
        self._zones = {e.entry: e.zone for e in reply.entries}
        self._zones[self.name] = self.zone
        serving = {e.entry for e in reply.entries if not e.draining}
        if serving != self._serving:
            self._serving = serving
            self._serving_sets.clear()
            self._charging.clear()
            self._served = None
            self._follow_serving_sets()
