"""Serves reads from replicas, or from the primary as the fall-back."""

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

SESSION_MAX_AGE_S = 5.0
"""Highest age of data for a session read that states none. A session without
a token would otherwise accept data of any age."""

HOLD_POLL_S = 0.05
"""A held read also looks again in between: circuits close and replicas catch
up without an event."""

SLOW_RETRY_S = 0.2
CONTACT_WITHIN_S = 1.0
"""A target without an answer for longer is tried last."""

TRY_TIMEOUT_S = 1.0
"""A read is repeatable, so it is tried elsewhere when an answer is late."""


class Reader:
    """Route reads of one entry process."""

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
        """Return the result of a read; raises RidgeError, not run."""
        need = self._need(req, adm, tokens)
        budget = self._budgets.setdefault(
            adm.service.name, retries.RetryBudget()
        )
        budget.record(clocks.boottime())
        tried: set[str] = set()
        while True:
            backend = await self._wait_for_target(req, adm, need, tried)
            body = await self._try(req, adm, need, backend)
            if body is not None:
                self._count(body)
                return answers.done(
                    self._state, adm.group, tokens, backend, body
                )
            tried.add(backend.info.server)
            await self._before_retry(req, budget)

    async def _before_retry(
        self, req: front.DataRequest, budget: retries.RetryBudget
    ) -> None:
        now = clocks.boottime()
        if now >= req.deadline:
            raise backends.refused(model.DEADLINE)
        self._metrics.retries.inc()
        if not budget.allow(now):
            # Over the budget a read is not refused but slowed down.
            await asyncio.sleep(SLOW_RETRY_S * (0.5 + self._rng.random()))

    async def _wait_for_target(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        need: routing.Need,
        tried: set[str],
    ) -> backends.Backend:
        """Return a target; hold the read while there is none."""
        while True:
            changed = self._state.view_changed
            try:
                return self._choose(adm, need, tried)
            except errors.UnavailableError:
                # Without a lease nothing changes for the better soon, and
                # another entry process may serve the read.
                if not self._state.lease_valid():
                    raise
                if clocks.boottime() >= req.deadline:
                    raise
            tried.clear()
            try:
                async with asyncio.timeout(HOLD_POLL_S):
                    await changed.wait()
            except TimeoutError:
                continue

    def _need(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> routing.Need:
        position = tokens.get(adm.group)
        if req.consistency == 'primary' or self._state.plain:
            return routing.Need(position, 0.0, True)
        if req.consistency == 'age':
            return routing.Need(position, req.max_age_s or 0.0, False)
        unbounded = adm.partition_reads and not self._state.config_valid()
        age = float('inf') if unbounded else SESSION_MAX_AGE_S
        return routing.Need(position, age, False)

    def _choose(
        self, adm: admission.Admission, need: routing.Need, tried: set[str]
    ) -> backends.Backend:
        """Return a replica that fits, else the primary.

        Raises UnavailableError when neither can be reached. Announcements
        don't count as contact: they may arrive from a target that this
        process can't reach. Replicas without recent contact are chosen only
        when the primary has none either, since a probe may just be late.
        """
        if need.primary:
            return self._primary(adm.group)
        now = clocks.boottime()
        found = self._replica(now, adm, need, tried, CONTACT_WITHIN_S)
        if found is None and not self._primary_reached(now, adm.group):
            found = self._replica(now, adm, need, tried, float('inf'))
            if found is None:
                self._primary(adm.group)
                raise backends.refused(model.NO_TARGET)
        return found or self._primary(adm.group)

    def _primary_reached(self, now: float, group: str) -> bool:
        backend = self._state.primary(group)
        return (
            backend is not None
            and now - backend.success_at <= CONTACT_WITHIN_S
        )

    def _replica(
        self,
        now: float,
        adm: admission.Admission,
        need: routing.Need,
        tried: set[str],
        contact_within_s: float,
    ) -> backends.Backend | None:
        state = self._state
        members = {b.info.server: b for b in state.members(adm.group)}
        candidates = [
            self._candidate(now, adm.group, need, backend)
            for server, backend in members.items()
            if server not in tried
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
        return self._replica(
            now, adm, need, {*tried, chosen.server}, contact_within_s
        )

    def _primary(self, group: str) -> backends.Backend:
        if not self._state.lease_valid():
            raise admission.no_lease()
        backend = self._state.primary(group)
        if backend is None:
            raise backends.refused(model.NO_TARGET)
        return backend

    def _candidate(
        self,
        now: float,
        group: str,
        need: routing.Need,
        backend: backends.Backend,
    ) -> routing.Candidate | None:
        if backend.leaving(now):
            return None
        if not self._may_fit(now, group, need, backend):
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

    def _may_fit(
        self,
        now: float,
        group: str,
        need: routing.Need,
        backend: backends.Backend,
    ) -> bool:
        term, applied = backend.log_term, backend.applied
        if self._fits(now, group, need, term, applied):
            return True
        # The age of what a replica has is not guessed, because a wrong guess
        # about a lagging replica costs the read a round trip each time.
        known = routing.Need(None, need.max_age_s, False)
        return (
            need.position is not None
            and term == need.position.term
            and self._fits(now, group, known, term, applied)
            and backend.coverage.likely(self._rng)
        )

    def _fits(
        self,
        now: float,
        group: str,
        need: routing.Need,
        term: int,
        applied: int,
    ) -> bool:
        view = self._state.groups.get(group)
        if view is None:
            return False

        def age(term: int, applied: int) -> float:
            timeline = self._state.timeline(group)
            return timeline.age(now, term, applied, view.starts)

        return need.fits(term, applied, view.starts, age)

    async def _try(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        need: routing.Need,
        backend: backends.Backend,
    ) -> dict[str, typing.Any] | None:
        try:
            conn = await backend.connection(adm.account, req.deadline)
        except (backends.UnreachableError, backends.ReplacedError):
            return None
        started = clocks.boottime()
        known = model.Position(backend.log_term, backend.applied)
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
                min(TRY_TIMEOUT_S, max(0.001, req.deadline - started)),
            )
            clean = True
        except connections.ConnectionLostError:
            backend.circuit.failure(clocks.boottime())
            return None
        finally:
            backend.release(conn, clean=clean)
        backend.learn_answer(answer)
        if answer.status != 200:
            if self._error_counts(started, adm.group, need, backend, known):
                answers.check(answer)
            backend.coverage.record(covered=False)
            return None
        self._state.sample_primary(adm.group, backend.info.server, started)
        backend.circuit.success(clocks.boottime(), clocks.boottime() - started)
        return self._checked(started, adm.group, need, backend, answer.body)

    def _error_counts(
        self,
        started: float,
        group: str,
        need: routing.Need,
        backend: backends.Backend,
        known: model.Position,
    ) -> bool:
        """Return whether an error is one that the session should see.

        An error names no position. A replica that lags may lack a table that
        the session created, so only a target that was known to fit before
        the read may report a failed statement.
        """
        view = self._state.groups.get(group)
        if view is not None and view.primary == backend.info.server:
            return True
        return self._fits(started, group, need, known.term, known.index)

    def _checked(
        self,
        started: float,
        group: str,
        need: routing.Need,
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
            # The current primary has every acknowledged write.
            return body
        if need.primary:
            return None
        fits = self._fits(started, group, need, term, int(body['position']))
        return body if fits else None

    def _count(self, body: dict[str, typing.Any]) -> None:
        role = 'primary' if body.get('role') == 'primary' else 'replica'
        self._metrics.reads[role].inc()
