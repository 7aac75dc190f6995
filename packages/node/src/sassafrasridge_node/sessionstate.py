"""State of an entry process that serves client sessions."""

import collections.abc
import math
import typing

from sassafrasridge_core import coldlimits
from sassafrasridge_core import model
from sassafrasridge_core import primarywait
from sassafrasridge_core import queueing
from sassafrasridge_core import scheduling
from sassafrasridge_core import slots
from sassafrasridge_core import targetcapacity
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import confirmations
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import loopdelay
from sassafrasridge_node import sessionpool
from sassafrasridge_node import targetload
from sassafrasridge_node import workclasses


class SessionEntryState(entry.EntryState):
    """Hold the state of an entry process that serves client sessions.

    All its targets are SessionBackend objects. ``dialer`` opens connections
    for client accounts; it must be set before the first target is added.
    ``learned_limits`` stands for the setting target_limits = learned.
    """

    dialer: sessionpool.SessionDialer

    def __init__(
        self,
        *args: typing.Any,
        learned_limits: bool = False,
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.primary_changes = primarywait.ChangeTracker()
        self.confirmations = confirmations.CommitConfirmations(self)
        # When the term of a group's view last changed.
        self.view_changed_at: dict[str, float] = {}
        self.work_classes = workclasses.WorkClasses(self.config)
        self.learned_limits = learned_limits
        self.loop_delay = loopdelay.LoopDelay()
        # Usual times of statements by group.
        self._usual_times: dict[str, targetcapacity.UsualTimes] = {}
        # Connections and slots by group, in a configuration revision.
        self._budgets: dict[str, tuple[int, int]] = {}
        self._budgets_revision = -1
        # Rates of cold targets by group, in a configuration revision.
        self._cold_rates: dict[str, float] = {}
        self._cold_rates_revision = -1
        # Whether a session was authorized for some regions only.
        self.regions_in_use = False

    def new_backend(self, info: model.TargetInfo) -> backends.Backend:
        """Return a new backend for a target."""
        backend = sessionpool.SessionBackend(
            info, self.dialer, self.metrics, self.times.lease_s
        )
        backend.is_primary = lambda: self._is_primary(info.group, info.server)
        backend.is_current_primary = lambda: (
            self.primary(info.group) is backend
        )
        backend.probe_account = self._any_account
        backend.connection_budget = lambda: self._connection_budget(info.group)
        backend.cold_fallback = lambda: self._cold_fallback(info.group)
        backend.reserves = lambda: self.work_classes.reserves(
            info.group, self._is_primary(info.group, info.server)
        )
        backend.serving = self.serves(info.group)
        if self.learned_limits:
            backend.load = targetload.TargetLoad(
                info.server,
                info.group,
                self._group_times(info.group),
                self.loop_delay,
            )
        return backend

    def _group_times(self, group: str) -> targetcapacity.UsualTimes:
        return self._usual_times.setdefault(group, targetcapacity.UsualTimes())

    def queue_kind(self) -> type[queueing.Queue]:
        """Return the kind of queue that statements wait in."""
        return super().queue_kind() if self.plain else scheduling.PriorityQueue

    def _is_primary(self, group: str, server: str) -> bool:
        view = self.groups.get(group)
        return view is not None and view.primary == server

    def _connection_budget(self, group: str) -> int:
        """Return the connections to each target of a group to be divided.

        Returns 0 if the configuration doesn't tell.
        """
        if self._budgets_revision != self.config.revision:
            self._budgets_revision = self.config.revision
            self._budgets = slots.service_budgets(self.config.services())
        connections, _ = self._budgets.get(group, (0, 0))
        return slots.usable_connections(connections)

    def _cold_fallback(self, group: str) -> int | None:
        """Return an equal part of a group's cold rate in statements/s.

        Returns None if its services set no rate.
        """
        if self._cold_rates_revision != self.config.revision:
            self._cold_rates_revision = self.config.revision
            self._cold_rates = coldlimits.service_rates(self.config.services())
        rate = self._cold_rates.get(group)
        if rate is None:
            return None
        # Without a statement no connection is opened, and the end of the doubt
        # depends on one.
        return max(1, int(rate) // max(1, len(self.serving_set(group))))

    def _any_account(self) -> str:
        return next((a.name for a in self.config.accounts()), '')

    def apply_targets(self, reply: typing.Any) -> None:
        """Apply the list of targets that control sent, if any."""
        if reply.targets is None:
            return
        listed = {(t.group, t.server) for t in reply.targets}
        for record in reply.targets:
            self.record_announcement(codec.target_from_wire(record))
        if not reply.targets_complete:
            # A new control leader has not received the announcement of every
            # target yet, so the list may not remove any.
            return
        self.targets_revision = reply.targets_revision
        for key in list(self.backends):
            if key not in listed:
                self.backends.pop(key).close()
                self._clear_backend_caches()

    def reported_backends(
        self,
    ) -> collections.abc.Iterable[tuple[tuple[str, str], backends.Backend]]:
        """Return the targets to report to control: those served here.

        Control learns of targets from their own announcements.
        """
        return self.served_backends()

    def measured_targets(self) -> list[sessionpool.SessionBackend]:
        """Return the targets whose load the metrics show.

        It is called in the thread that renders the metrics, so it must not
        use ``serves``, which fills caches.
        """
        return [
            backend
            for backend in list(self.backends.values())
            if isinstance(backend, sessionpool.SessionBackend)
            and backend.serving
        ]

    def _on_serving_sets_change(self) -> None:
        """Stop using targets of groups that other processes serve now.

        Statements in progress end within the current lease on connections,
        which is not renewed.
        """
        for key, backend in self.backends.items():
            if isinstance(backend, sessionpool.SessionBackend):
                backend.serving = self.serves(key[0])

    def _add_view_members(self, view: model.GroupView) -> None:
        """Add view members that the list of targets does not contain yet.

        After a restart of all processes, the control leader learns of targets
        only from their next announcements.
        """
        for server, address in view.members.items():
            if (view.group, server) in self.backends:
                continue
            role = 'primary' if server == view.primary else 'replica'
            self.record_announcement(
                model.TargetInfo(
                    server, view.group, '', address, role, 0, 0, 0, 0
                )
            )

    def _on_primary_change(
        self, known: model.GroupView, view: model.GroupView
    ) -> None:
        # Log positions of the former primary may refer to commits that were
        # discarded at the failover.
        if view.term != known.term:
            self.view_changed_at[view.group] = clocks.boottime()
        # The same primary may have been replaced in views missed here.
        if view.term != known.term or view.changing:
            self.timeline(view.group).forget()
            self._group_times(view.group).forget(targetload.COMMITTING)
        if view.changing or view.primary != known.primary:
            former = self.backends.get((known.group, known.primary or ''))
            if former is not None:
                former.on_primary_replaced()
        if view.changing:
            self.primary_changes.begin(clocks.boottime(), view.group)
        else:
            if view.primary != known.primary:
                self.acknowledged.pop(view.group, None)
            if view.term != known.term:
                self._clear_lost_logs(view.group)
            self.primary_changes.end(clocks.boottime(), view.group)

    def _clear_lost_logs(self, group: str) -> None:
        for backend in self.members(group):
            if isinstance(backend, sessionpool.SessionBackend):
                backend.lost_log_at = -math.inf

    def record_acknowledged(
        self, group: str, position: model.Position
    ) -> None:
        """Record a commit that a client is told of.

        ``position`` is the end of the log in the primary's answer, so the
        commit isn't behind it.
        """
        term = position.term
        newest, count = self.commit_counts.get(group, (term, 0))
        if term == newest:
            self.commit_counts[group] = term, count + 1
        elif term > newest:
            self.commit_counts[group] = term, 1
        known = self.acknowledged.get(group)
        if known is None or known < position:
            self.acknowledged[group] = position

    def primary_reached(self, backend: sessionpool.SessionBackend) -> None:
        """Record that a target answered; it matters if it is a primary."""
        if self.primary(backend.info.group) is backend:
            self.primary_changes.reached(backend.info.group)

    def _on_drained_zones_change(self) -> None:
        """Expect a change of each primary that is in a drained zone."""
        now = clocks.boottime()
        for group, view in self.groups.items():
            if view.changing:
                continue
            found = self.primary(group)
            if (
                found is not None
                and found.drained
                and not self.out_of_service(group)
            ):
                self.primary_changes.begin(now, group)
            else:
                self.primary_changes.end(now, group)

    def may_probe(self) -> bool:
        """Return whether targets may be probed.

        Without a valid configuration, this process doesn't know which zones
        are drained.
        """
        return self.config_valid()

    def acting_primary(self, group: str) -> sessionpool.SessionBackend | None:
        """Return the primary whose answers this process may deliver.

        It may be in a drained zone: statements that were sent before the
        order, and open transactions, still end there.
        """
        if not self.lease_valid():
            return None
        found = self.primary(group)
        if not isinstance(found, sessionpool.SessionBackend):
            return None
        if found.has_lost_log(clocks.boottime()):
            return None
        return found if found.pool.limit or found.drained else None

    def usable_primary(self, group: str) -> sessionpool.SessionBackend | None:
        """Return the primary, or None if this process may not use it."""
        found = self.acting_primary(group)
        return None if found is None or found.drained else found

    def available_targets(
        self, group: str
    ) -> list[sessionpool.SessionBackend]:
        """Return the targets of a group that accept new work."""
        now = clocks.boottime()
        return [
            backend
            for backend in self.members(group)
            if isinstance(backend, sessionpool.SessionBackend)
            and not backend.drained
            and not backend.leaving(now)
        ]

    def sample_primary(
        self, group: str, server: str, sent: entry.SentRequest
    ) -> None:
        """Check and record the log position that a probe reported.

        A process whose statements don't go to the primary learns its position
        from probes only.
        """
        backend = self.backends.get((group, server))
        if not isinstance(backend, sessionpool.SessionBackend):
            return
        self.check_log(backend, backend.probed_position, sent)
        self.sample_position(backend, backend.probed_position, sent)

    def sample_position(
        self,
        backend: sessionpool.SessionBackend,
        position: model.Position | None,
        sent: entry.SentRequest,
    ) -> None:
        """Record the log position of an answer if the primary sent it."""
        info = backend.info
        if backend.has_lost_log(clocks.boottime()):
            return
        if position is None or not self.covers_commits(
            info.group, info.server, sent
        ):
            return
        self.timeline(info.group).sample(
            sent.sent_at, position.term, position.index
        )

    def reported_position(
        self, backend: sessionpool.SessionBackend
    ) -> model.Position | None:
        """Return the position that a read requires of the primary.

        A primary that started again with less refuses the read.
        """
        return self.timeline(backend.info.group).newest()

    def check_log(
        self,
        backend: sessionpool.SessionBackend,
        position: model.Position | None,
        sent: entry.SentRequest,
    ) -> None:
        """Stop using a primary that lacks what it reported before.

        It has started again without its log, or with a part of it, under its
        name. Control learns that the primary makes no progress any more, and
        replaces it by a replica that has every acknowledged commit.
        """
        info, known, now = backend.info, sent.known_position, clocks.boottime()
        if position is None or known is None or position >= known:
            return
        if backend.has_lost_log(now) or not self.covers_commits(
            info.group, info.server, sent
        ):
            return
        backend.lost_log_at = now
        # Later positions count from the shorter log.
        self.timeline(info.group).forget()
        self.primary_changes.suspect(now, info.group)
        self.metrics.lost_logs.inc()
        logs.log_event(
            'primary_lost_log',
            group=info.group,
            server=info.server,
            view_term=sent.primary_term,
            position=model.position_text(position),
            reported=model.position_text(known),
        )
