"""Sends writes to the primary, at most once, through changes of primary."""

import asyncio
import random
import typing
import uuid

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import retries
from sassafrasridge_node import admission
from sassafrasridge_node import answers
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import metrics

CONFIRM_INTERVAL_S = 0.05
ABANDONED = 'abandoned'
"""Digest of the row that keeps a lost transaction from committing later."""


def new_request_id() -> str:
    """Return an id for a write whose caller gave none."""
    return f'auto:{uuid.uuid4().hex}'


class Attempt:
    """Hold one write that must run at most once."""

    __slots__ = ('account', 'request_id', 'digest', 'statements', 'in_doubt')

    def __init__(
        self,
        account: str,
        request_id: str,
        digest: str,
        statements: list[dict[str, typing.Any]],
    ) -> None:
        self.account = account
        self.request_id = request_id
        self.digest = digest
        self.statements = statements
        self.in_doubt = False

    def body(self, term: int) -> dict[str, typing.Any]:
        """Return the request for the target."""
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
    """Carry out writes of one entry process.

    A write carries a request id that the target records in the write's own
    transaction. So sending it again, also to another primary, runs it at
    most once, and every doubt can be settled by sending it again.
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
        """Return the result of a write; raises RidgeError."""
        attempt = Attempt(
            adm.account,
            req.request_id or new_request_id(),
            req.digest,
            req.statements,
        )
        try:
            backend, body = await self.run(
                adm.group, attempt, req.deadline, adm.recheck
            )
        except errors.StatementError:
            if not attempt.in_doubt:
                raise
            found = await self.settle(
                adm.group, attempt, req.deadline, adm.recheck
            )
            if found is None:
                raise
            backend, body = found
        return answers.done(self._state, adm.group, tokens, backend, body)

    async def settle(
        self,
        group: str,
        attempt: Attempt,
        deadline: float,
        recheck: typing.Callable[[], None],
    ) -> tuple[backends.Backend, dict[str, typing.Any]] | None:
        """Return the answer to a request in doubt, None if it can't run.

        Sends an empty write under the request's id. If it is accepted, it has
        taken the id, so that no earlier try can be recorded later. If the id
        is taken, the request is sent again for its recorded answer; when its
        record was lost with a replaced primary, this starts over.
        """
        attempt.in_doubt = True
        while clocks.boottime() < deadline:
            marker = Attempt(
                attempt.account, attempt.request_id, ABANDONED, []
            )
            marker.in_doubt = True
            try:
                await self.run(group, marker, deadline, recheck)
                return None
            except answers.IdConflictError:
                pass
            except errors.StatementError as exc:
                raise answers.unknown(exc.message)
            try:
                return await self.run(group, attempt, deadline, recheck)
            except (answers.IdConflictError, errors.StatementError):
                continue
        raise self._late(attempt)

    async def run(
        self,
        group: str,
        attempt: Attempt,
        deadline: float,
        recheck: typing.Callable[[], None],
    ) -> tuple[backends.Backend, dict[str, typing.Any]]:
        """Send a write until its outcome is certain.

        Raises OutcomeUnknownError when it is still in doubt at the deadline,
        and other RidgeErrors, not run.
        """
        tries = 0
        while True:
            backend = await self._primary(group, attempt, deadline)
            body = await self._send(group, attempt, backend, deadline, recheck)
            if body is not None:
                return backend, body
            if clocks.boottime() >= deadline:
                raise self._late(attempt)
            await self._wait(group, self._backoff.delay(tries, self._rng))
            tries += 1
            self._metrics.retries.inc()

    def _late(self, attempt: Attempt) -> errors.RidgeError:
        if attempt.in_doubt:
            return answers.unknown('the deadline passed with no answer')
        return backends.refused(model.DEADLINE)

    async def _wait(self, group: str, delay_s: float) -> None:
        changed = self._state.view_changed
        try:
            async with asyncio.timeout(delay_s):
                await changed.wait()
        except TimeoutError:
            return

    async def _primary(
        self, group: str, attempt: Attempt, deadline: float
    ) -> backends.Backend:
        """Wait until the group has a primary and this process a lease.

        A lapsed configuration means more than a change of control leader,
        so another entry process should get the request at once.
        """
        while True:
            backend = self._state.primary(group)
            if backend is not None and self._state.lease_valid():
                return backend
            cut_off = not self._state.config_valid() and not attempt.in_doubt
            if cut_off or clocks.boottime() >= deadline:
                if attempt.in_doubt:
                    raise self._late(attempt)
                if not self._state.lease_valid():
                    raise admission.no_lease()
                raise backends.refused(model.NO_TARGET)
            await self._wait(group, CONFIRM_INTERVAL_S)

    async def _send(
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
                raise answers.unknown(exc.message)
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
            answer = await self._call(attempt, backend, conn, body, deadline)
            clean = answer is not None
        finally:
            backend.release(conn, clean=clean)
        if answer is None:
            return None
        return self.judge(group, attempt, view.term, answer)

    async def _call(
        self,
        attempt: Attempt,
        backend: backends.Backend,
        conn: connections.TargetConnection,
        body: dict[str, typing.Any],
        deadline: float,
    ) -> connections.Answer | None:
        started = clocks.boottime()
        try:
            answer = await backend.call(
                conn, body, max(0.001, deadline - started)
            )
        except connections.ConnectionLostError as exc:
            attempt.in_doubt = attempt.in_doubt or exc.sent
            backend.circuit.failure(clocks.boottime())
            return None
        backend.learn_answer(answer)
        # While writes answer, no probe does, and the age of replicas is
        # known only from the positions in these answers.
        self._state.sample_primary(
            backend.info.group, backend.info.server, started
        )
        backend.circuit.success(clocks.boottime(), clocks.boottime() - started)
        return answer

    def judge(
        self,
        group: str,
        attempt: Attempt,
        term: int,
        answer: connections.Answer,
    ) -> dict[str, typing.Any] | None:
        """Return the body of a write that may be acknowledged."""
        # A failed statement says nothing of earlier tries, which may still
        # reach the target after this one.
        answers.check(answer)
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
