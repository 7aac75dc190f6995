"""Executes writes at most once, across changes of the primary."""

import asyncio
import random
import typing
import uuid

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import regions
from sassafrasridge_core import retries
from sassafrasridge_node import admission
from sassafrasridge_node import answers
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import metrics
from sassafrasridge_node import regionrules

# Interval at which a waiting write checks again for a primary and a lease.
PRIMARY_POLL_S = 0.05

# Digest of the request record that prevents an abandoned request from being
# committed later.
ABANDONED_DIGEST = 'abandoned'


def new_request_id() -> str:
    """Generate a request id for a write whose caller provided none."""
    return f'auto:{uuid.uuid4().hex}'


class Attempt:
    """Hold one write that must run at most once.

    ``in_doubt`` is set once an earlier try may have run. ``regions`` are the
    allowed regions of targets, None for all.
    """

    __slots__ = (
        'account',
        'request_id',
        'digest',
        'statements',
        'in_doubt',
        'regions',
    )

    def __init__(
        self,
        account: str,
        request_id: str,
        digest: str,
        statements: list[dict[str, typing.Any]],
        allowed: regions.Allowed = None,
    ) -> None:
        self.account = account
        self.request_id = request_id
        self.digest = digest
        self.statements = statements
        self.in_doubt = False
        self.regions = allowed

    def body(self, term: int) -> dict[str, typing.Any]:
        """Return the body of the request to the target."""
        return {
            'term': term,
            'access': 'write',
            'statements': self.statements,
            'tx': 'auto',
            'request': {
                'account': self.account,
                'id': self.request_id,
                'digest': self.digest,
            },
        }


class Writer:
    """Execute the writes of one entry process.

    Each write carries a request id that the target records in the same
    transaction. Sending it again, even to another primary, therefore runs it
    at most once, and an unknown outcome is resolved by sending it again.
    """

    def __init__(
        self,
        state: entry.EntryState,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._metrics = counters
        self._rng = rng
        self._backoff = retries.Backoff()

    async def write(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Execute a write and return its reply; raises RidgeError."""
        attempt = Attempt(
            adm.account,
            req.request_id or new_request_id(),
            req.digest,
            req.statements,
            adm.regions,
        )
        try:
            backend, body = await self.submit(
                adm.group, attempt, req.deadline, adm.recheck
            )
        except errors.StatementError:
            if not attempt.in_doubt:
                raise
            resolved = await self.resolve_outcome(
                adm.group, attempt, req.deadline, adm.recheck
            )
            if resolved is None:
                raise
            backend, body = resolved
        return answers.done_reply(
            self._state, adm.group, tokens, backend, body
        )

    async def resolve_outcome(
        self,
        group: str,
        attempt: Attempt,
        deadline: float,
        recheck: typing.Callable[[], None],
    ) -> tuple[backends.Backend, dict[str, typing.Any]] | None:
        """Resolve a request in doubt; return None if it can no longer run.

        Sends an empty write under the request's id. An accepted empty write
        occupies the id, so no earlier try can be recorded later. If the id is
        already recorded, the request is sent again to get its recorded
        answer. If that record was lost with a replaced primary, the procedure
        starts over. Raises OutcomeUnknownError at the deadline.
        """
        attempt.in_doubt = True
        while clocks.boottime() < deadline:
            marker = Attempt(
                attempt.account, attempt.request_id, ABANDONED_DIGEST, []
            )
            marker.in_doubt = True
            try:
                await self.submit(group, marker, deadline, recheck)
                return None
            except answers.IdConflictError:
                pass
            except errors.StatementError as exc:
                raise answers.outcome_unknown_error(exc.message)
            try:
                return await self.submit(group, attempt, deadline, recheck)
            except (answers.IdConflictError, errors.StatementError):
                continue
        raise self._deadline_error(attempt)

    async def submit(
        self,
        group: str,
        attempt: Attempt,
        deadline: float,
        recheck: typing.Callable[[], None],
    ) -> tuple[backends.Backend, dict[str, typing.Any]]:
        """Send a write, with retries, until its outcome is certain.

        Raises OutcomeUnknownError if the write is in doubt at the deadline,
        and other RidgeErrors with the outcome ``not_run``.
        """
        tries = 0
        while True:
            backend = await self._wait_for_primary(group, attempt, deadline)
            body = await self._send_once(
                group, attempt, backend, deadline, recheck
            )
            if body is not None:
                return backend, body
            if clocks.boottime() >= deadline:
                raise self._deadline_error(attempt)
            await self._wait_for_view_change(
                group, self._backoff.delay(tries, self._rng)
            )
            tries += 1
            self._metrics.retries.inc()

    def _deadline_error(self, attempt: Attempt) -> errors.RidgeError:
        if attempt.in_doubt:
            return answers.outcome_unknown_error(
                'the deadline passed with no answer'
            )
        return backends.refusal_error(model.DEADLINE)

    async def _wait_for_view_change(self, group: str, delay_s: float) -> None:
        changed = self._state.view_changed
        try:
            async with asyncio.timeout(delay_s):
                await changed.wait()
        except TimeoutError:
            return

    async def _wait_for_primary(
        self, group: str, attempt: Attempt, deadline: float
    ) -> backends.Backend:
        """Wait until the group has a primary and this process has a lease.

        An expired configuration means that this process lost contact with
        control for longer than a change of control leader takes. The request
        then fails at once, so that another entry process can serve it.
        """
        while True:
            self._require_region(group, attempt)
            backend = self._state.usable_primary(group)
            if (
                backend is not None
                and self._state.lease_valid()
                and regionrules.allows_target(
                    self._state, attempt.regions, backend
                )
            ):
                return backend
            no_target = self._state.out_of_service(group)
            fail_now = not attempt.in_doubt and (
                no_target or not self._state.config_valid()
            )
            if fail_now or clocks.boottime() >= deadline:
                if attempt.in_doubt:
                    raise self._deadline_error(attempt)
                if not self._state.lease_valid():
                    raise admission.no_lease_error()
                raise backends.refusal_error(
                    model.ZONE_DRAINED if no_target else model.NO_TARGET
                )
            await self._wait_for_view_change(group, PRIMARY_POLL_S)

    def _require_region(self, group: str, attempt: Attempt) -> None:
        """Raise RidgeError if the primary is outside the write's regions.

        An empty write that resolves an outcome has no text and no regions.
        """
        try:
            regionrules.require_target(
                self._state, attempt.regions, group, primary=True
            )
        except regionrules.OutsideRegionsError as exc:
            if attempt.in_doubt:
                raise answers.outcome_unknown_error(exc.message)
            raise

    async def _send_once(
        self,
        group: str,
        attempt: Attempt,
        backend: backends.Backend,
        deadline: float,
        recheck: typing.Callable[[], None],
    ) -> dict[str, typing.Any] | None:
        try:
            conn = await backend.connection(
                attempt.account, deadline, primary=True
            )
        except backends.ReplacedError:
            return None
        except errors.UnavailableError as exc:
            if attempt.in_doubt:
                raise answers.outcome_unknown_error(exc.message)
            if self._state.primary(group) is not backend:
                return None
            raise
        clean = True
        try:
            view = self._state.groups[group]
            if view.changing or not self._state.lease_valid():
                return None
            if not attempt.in_doubt:
                recheck()
            body = attempt.body(view.term)
            clean = False
            answer = await self._call_target(
                attempt, backend, conn, body, deadline
            )
            clean = answer is not None
        finally:
            backend.release(conn, clean=clean)
        if answer is None:
            return None
        return self.acknowledged_body(group, attempt, view.term, answer)

    async def _call_target(
        self,
        attempt: Attempt,
        backend: backends.Backend,
        conn: connections.TargetConnection,
        body: dict[str, typing.Any],
        deadline: float,
    ) -> connections.Answer | None:
        info = backend.info
        sent = self._state.sent_request(info.group, info.server)
        started = sent.sent_at
        try:
            answer = await backend.call(
                conn, body, max(0.001, deadline - started)
            )
        except connections.ConnectionLostError as exc:
            attempt.in_doubt = attempt.in_doubt or exc.sent
            backend.circuit.failure(clocks.boottime())
            return None
        backend.update_from_answer(answer)
        # No probes are sent while writes are answered, so replica age can be
        # computed only from the positions in these answers.
        if answer.status == 200:
            self._state.sample_primary(info.group, info.server, sent)
        backend.circuit.success(clocks.boottime(), clocks.boottime() - started)
        return answer

    def acknowledged_body(
        self,
        group: str,
        attempt: Attempt,
        term: int,
        answer: connections.Answer,
    ) -> dict[str, typing.Any] | None:
        """Return the body of an answer that may be acknowledged, else None.

        Raises RidgeError for a definitive error of the target.
        """
        # A failed statement does not determine the outcome of earlier tries,
        # which may still reach the target after this one.
        answers.raise_for_error(answer)
        if answer.status != 200:
            return None
        attempt.in_doubt = True
        body = answer.body
        view = self._state.groups[group]
        acknowledged = (
            int(body['term']) == term
            and int(body['majority_position']) >= int(body['position'])
            and view.term == term
            and not view.changing
            and self._state.lease_valid()
        )
        if not acknowledged:
            return None
        if body.get('replayed'):
            self._metrics.replayed.inc()
        return body
