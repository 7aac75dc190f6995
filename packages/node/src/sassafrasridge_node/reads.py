"""Routes reads to replicas, with the primary as fallback."""

import asyncio
import random
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import retries
from sassafrasridge_core import routing
from sassafrasridge_node import admission
from sassafrasridge_node import answers
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import metrics
from sassafrasridge_node import regionrules

# Maximum data age for session reads that specify none. Without it, a session
# without a token would accept data of any age.
SESSION_MAX_AGE_S = 5.0

# Held reads are re-evaluated at this interval, because no event signals that a
# circuit closed or a replica caught up.
HELD_READ_POLL_S = 0.05

# Mean delay before a retry that exceeds the retry budget.
OVER_BUDGET_DELAY_S = 0.2

# A target that has not answered for longer is tried last.
RECENT_CONTACT_S = 1.0

# Reads are safe to repeat, so a read is retried on another target if the
# answer takes longer.
ATTEMPT_TIMEOUT_S = 1.0


class Reader:
    """Route the reads of one entry process to targets."""

    def __init__(
        self,
        state: entry.EntryState,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._metrics = counters
        self._rng = rng
        self._budgets: dict[str, retries.RetryBudget] = {}

    async def read(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Run a read and return its reply.

        Raises RidgeError with the outcome ``not_run``.
        """
        need = self._build_requirements(req, adm, tokens)
        budget = self._budgets.setdefault(
            adm.service.name, retries.RetryBudget()
        )
        budget.record(clocks.boottime())
        tried: set[str] = set()
        while True:
            backend = await self._wait_for_target(req, adm, need, tried)
            body = await self._attempt_read(req, adm, need, backend)
            if body is not None:
                self._count_read(body)
                return answers.done_reply(
                    self._state, adm.group, tokens, backend, body
                )
            tried.add(backend.info.server)
            await self._delay_retry(req, budget)

    async def _delay_retry(
        self, req: front.DataRequest, budget: retries.RetryBudget
    ) -> None:
        now = clocks.boottime()
        if now >= req.deadline:
            raise backends.refusal_error(model.DEADLINE)
        self._metrics.retries.inc()
        if not budget.allow(now):
            # Beyond the retry budget, reads are delayed rather than rejected.
            await asyncio.sleep(
                OVER_BUDGET_DELAY_S * (0.5 + self._rng.random())
            )

    async def _wait_for_target(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        need: routing.ReadRequirements,
        tried: set[str],
    ) -> backends.Backend:
        """Return a target; wait until the deadline for one to be available."""
        while True:
            changed = self._state.view_changed
            try:
                return self._choose_target(adm, need, tried)
            except regionrules.OutsideRegionsError:
                raise
            except errors.UnavailableError:
                # A lost lease is unlikely to be regained soon, and another
                # entry process may be able to serve the read.
                if not self._state.lease_valid():
                    raise
                if self._state.out_of_service(adm.group):
                    raise backends.refusal_error(model.ZONE_DRAINED)
                if clocks.boottime() >= req.deadline:
                    raise
            tried.clear()
            try:
                async with asyncio.timeout(HELD_READ_POLL_S):
                    await changed.wait()
            except TimeoutError:
                continue

    def _build_requirements(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> routing.ReadRequirements:
        position = tokens.get(adm.group)
        if req.consistency == 'primary' or self._state.plain:
            return routing.ReadRequirements(position, 0.0, True)
        if req.consistency == 'age':
            return routing.ReadRequirements(
                position, req.max_age_s or 0.0, False
            )
        age_unbounded = adm.partition_reads and not self._state.config_valid()
        age = float('inf') if age_unbounded else SESSION_MAX_AGE_S
        return routing.ReadRequirements(position, age, False)

    def _choose_target(
        self,
        adm: admission.Admission,
        need: routing.ReadRequirements,
        tried: set[str],
    ) -> backends.Backend:
        """Return a sufficiently fresh replica, otherwise the primary.

        Raises UnavailableError if neither can be reached. Announcements do
        not count as contact, because they may come from a target that this
        process cannot reach. Replicas without recent contact are chosen only
        if the primary has none either, since a probe may merely be late.
        """
        regionrules.require_target(
            self._state, adm.regions, adm.group, need.primary
        )
        if need.primary:
            return self._require_primary(adm)
        now = clocks.boottime()
        member = self._choose_fresh_member(
            now, adm, need, tried, RECENT_CONTACT_S
        )
        if member is None and not self._primary_recently_reached(
            now, adm.group
        ):
            member = self._choose_fresh_member(
                now, adm, need, tried, float('inf')
            )
            if member is None:
                self._require_primary(adm)
                raise backends.refusal_error(model.NO_TARGET)
        return member or self._require_primary(adm)

    def _primary_recently_reached(self, now: float, group: str) -> bool:
        backend = self._state.primary(group)
        return (
            backend is not None
            and now - backend.success_at <= RECENT_CONTACT_S
        )

    def _choose_fresh_member(
        self,
        now: float,
        adm: admission.Admission,
        need: routing.ReadRequirements,
        tried: set[str],
        contact_within_s: float,
    ) -> backends.Backend | None:
        state = self._state
        members = {b.info.server: b for b in state.members(adm.group)}
        candidates = [
            self._build_candidate(now, adm.group, need, backend)
            for server, backend in members.items()
            if server not in tried
            and regionrules.allows_target(state, adm.regions, backend)
            and now - backend.success_at <= contact_within_s
        ]
        chosen = routing.choose(
            [c for c in candidates if c is not None],
            state.zone,
            state.near_zones(),
            self._rng,
        )
        if isinstance(chosen, model.Refusal):
            return None
        backend = members[chosen.server]
        if backend.circuit.allow(now, self._rng):
            return backend
        return self._choose_fresh_member(
            now, adm, need, {*tried, chosen.server}, contact_within_s
        )

    def _require_primary(self, adm: admission.Admission) -> backends.Backend:
        if not self._state.lease_valid():
            raise admission.no_lease_error()
        backend = self._state.usable_primary(adm.group)
        if backend is None or not regionrules.allows_target(
            self._state, adm.regions, backend
        ):
            raise backends.refusal_error(model.NO_TARGET)
        return backend

    def _build_candidate(
        self,
        now: float,
        group: str,
        need: routing.ReadRequirements,
        backend: backends.Backend,
    ) -> routing.Candidate | None:
        if backend.drained or backend.leaving(now):
            return None
        if not self._may_be_fresh_enough(now, group, need, backend):
            return None
        view = self._state.groups.get(group)
        is_primary = view is not None and view.primary == backend.info.server
        return routing.Candidate(
            backend.info.server,
            backend.info.zone,
            'primary' if is_primary else 'replica',
            backend.log_term,
            backend.applied,
            int(backend.demand()),
            backend.circuit.ready(now),
            backend.limit.in_flight,
        )

    def _may_be_fresh_enough(
        self,
        now: float,
        group: str,
        need: routing.ReadRequirements,
        backend: backends.Backend,
    ) -> bool:
        term, applied = backend.log_term, backend.applied
        if self._is_fresh_enough(now, group, need, term, applied):
            return True
        # Only the position is predicted, not the age: each wrong prediction
        # for a lagging replica costs the read a round trip.
        age_need = routing.ReadRequirements(None, need.max_age_s, False)
        return (
            need.position is not None
            and term == need.position.term
            and self._is_fresh_enough(now, group, age_need, term, applied)
            and backend.coverage.should_try(self._rng)
        )

    def _is_fresh_enough(
        self,
        now: float,
        group: str,
        need: routing.ReadRequirements,
        term: int,
        applied: int,
    ) -> bool:
        view = self._state.groups.get(group)
        if view is None:
            return False

        def age(term: int, applied: int) -> float:
            timeline = self._state.timeline(group)
            return timeline.age(now, term, applied, view.starts)

        return need.is_satisfied_by(term, applied, view.starts, age)

    async def _attempt_read(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        need: routing.ReadRequirements,
        backend: backends.Backend,
    ) -> dict[str, typing.Any] | None:
        try:
            conn = await backend.connection(adm.account, req.deadline)
        except (backends.UnreachableError, backends.ReplacedError):
            return None
        sent = self._state.sent_request(adm.group, backend.info.server)
        started = sent.sent_at
        known_position = model.Position(backend.log_term, backend.applied)
        body = {
            'term': backend.term,
            'access': 'read',
            'statements': req.statements,
            'tx': 'auto',
        }
        clean = True
        try:
            adm.recheck()
            clean = False
            answer = await backend.call(
                conn,
                body,
                min(ATTEMPT_TIMEOUT_S, max(0.001, req.deadline - started)),
            )
            clean = True
        except connections.ConnectionLostError:
            backend.circuit.failure(clocks.boottime())
            return None
        finally:
            backend.release(conn, clean=clean)
        backend.update_from_answer(answer)
        if answer.status != 200:
            if self._error_is_conclusive(
                started, adm.group, need, backend, known_position
            ):
                answers.raise_for_error(answer)
            backend.coverage.record(covered=False)
            return None
        self._state.sample_primary(adm.group, backend.info.server, sent)
        backend.circuit.success(clocks.boottime(), clocks.boottime() - started)
        return self._body_if_fresh(
            started, adm.group, need, backend, answer.body
        )

    def _error_is_conclusive(
        self,
        started: float,
        group: str,
        need: routing.ReadRequirements,
        backend: backends.Backend,
        known_position: model.Position,
    ) -> bool:
        """Return whether an error may be reported to the caller.

        Error answers carry no position. A lagging replica may lack a table
        that the session created, so only a target that was known to be fresh
        enough before the read may report a failed statement.
        """
        view = self._state.groups.get(group)
        if view is not None and view.primary == backend.info.server:
            return True
        return self._is_fresh_enough(
            started, group, need, known_position.term, known_position.index
        )

    def _body_if_fresh(
        self,
        started: float,
        group: str,
        need: routing.ReadRequirements,
        backend: backends.Backend,
        body: dict[str, typing.Any],
    ) -> dict[str, typing.Any] | None:
        view = self._state.groups.get(group)
        term = int(body['term'])
        if (
            body.get('role') == 'primary'
            and view is not None
            and not view.changing
            and term == view.term
            and self._state.lease_valid()
        ):
            # The current primary holds every acknowledged write.
            return body
        if need.primary:
            return None
        fits = self._is_fresh_enough(
            started, group, need, term, int(body['position'])
        )
        return body if fits else None

    def _count_read(self, body: dict[str, typing.Any]) -> None:
        role = 'primary' if body.get('role') == 'primary' else 'replica'
        self._metrics.reads[role].inc()
