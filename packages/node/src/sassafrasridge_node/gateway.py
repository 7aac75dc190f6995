"""Executes callers' requests at an entry process or relays them."""

import random
import time
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import retries
from sassafrasridge_node import admission
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import logs
from sassafrasridge_node import reads
from sassafrasridge_node import regionrules
from sassafrasridge_node import rpc
from sassafrasridge_node import transactions
from sassafrasridge_node import workclasses
from sassafrasridge_node import writes

# Fields of a request that are valid in this process only.
LOCAL_FIELDS = ('received_at', 'deadline', 'client_closed')

RELAYED_FIELDS = tuple(
    name for name in front.DataRequest.__slots__ if name not in LOCAL_FIELDS
)

# Time that one entry process gets to answer before the next one is tried. It
# is long enough for a change of primary.
RELAY_ATTEMPT_TIMEOUT_S = 3.0

# Kinds of requests that belong to an open transaction.
TRANSACTION_KINDS = ('in', 'commit', 'rollback')

# Kinds of requests that carry the text of statements, or begin a transaction
# whose later requests do.
TEXT_KINDS = ('statements', 'begin', 'in')
UUID7_VERSION = '7'
REQUEST_ID_TTL_S = 24 * 3600


class ExpiredIdError(errors.ConflictError):
    """Report an Idempotency-Key whose record may have expired."""

    kind = 'request_id_expired'
    remedy = 'Find out what became of the request, then use a new key.'


class Gateway(front.DataPort):
    """Execute callers' requests here or at another entry process."""

    def __init__(
        self,
        state: entry.EntryState,
        pool: rpc.ClientPool,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._pool = pool
        self._rng = rng
        self._admitter = admission.Admitter(state)
        self._classes = workclasses.WorkClasses(state.config)
        self._decisions = logs.DecisionLog(clocks.boottime)
        self._reader = reads.Reader(state, state.metrics, rng)
        self.writer = writes.Writer(state, state.metrics, rng)
        self.transactions = transactions.Transactions(state, self.writer)

    async def call(self, req: front.DataRequest) -> front.DataReply:
        """Execute a caller's request."""
        adm = self._admitter.authorize(req)
        try:
            return await self._call(req, adm)
        except errors.RidgeError as exc:
            if exc.retry_after_s is not None:
                exc.retry_after_s = self._retry_after_s(exc, adm)
            raise

    def _retry_after_s(
        self, exc: errors.RidgeError, adm: admission.Admission
    ) -> int:
        """Return when the caller of a failed request should return."""
        wait_s = exc.retry_after_s or 0.0
        if exc.kind in (model.DEADLINE.reason, model.QUEUE_FULL.reason):
            wait_s = min(
                (
                    backend.queue.expected_wait_s(adm.account, 1.0)
                    for backend in self._state.members(adm.group)
                ),
                default=wait_s,
            )
        rank = self._classes.rank(adm.priority)
        return retries.retry_after_s(wait_s, rank, self._rng)

    async def _call(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> front.DataReply:
        check_request_id(req.request_id, time.time())
        if req.kind in ('statements', 'begin', 'in'):
            await self._admitter.charge(adm, req)
        try:
            owners = self._find_owners(req, adm)
            if owners is not None:
                return await self._relay(req, adm, owners)
            return await self.execute(req, adm)
        except regionrules.OutsideRegionsError as exc:
            self._log_outside_regions(adm, exc)
            raise

    def _log_outside_regions(
        self,
        adm: admission.Admission,
        exc: regionrules.OutsideRegionsError,
    ) -> None:
        view = self._state.groups.get(adm.group)
        self._decisions.write(
            'request_outside_regions',
            service=adm.service.name,
            revision=self._state.config.revision,
            primary=view.primary if view else None,
            reason=exc.message,
        )

    def _find_owners(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> list[str] | None:
        """Return the other entry processes that may execute a request.

        Returns None if this process executes it.
        """
        state = self._state
        if req.kind in TRANSACTION_KINDS:
            owner = self.transactions.owning_entry(req.transaction or '')
            if owner == state.name:
                return None
            if req.kind != 'in' or owner not in state.entries:
                # No statement's text is relayed.
                return [owner]
            return regionrules.serving_entries(state, adm.regions, [owner])
        if state.serves(adm.group):
            return None
        return regionrules.serving_entries(
            state,
            adm.regions,
            state.near_serving_set(adm.group, self._rng),
        )

    async def execute(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> front.DataReply:
        """Execute a request that was authorized and charged."""
        tokens = self._load_positions(req)
        if req.kind == 'begin':
            return await self.transactions.begin(req, adm)
        if req.kind == 'in':
            return await self.transactions.execute(req)
        if req.kind == 'commit':
            return await self.transactions.commit(req, adm, tokens)
        if req.kind == 'rollback':
            return await self.transactions.rollback(req)
        if req.access == 'read':
            return await self._reader.read(req, adm, tokens)
        return await self.writer.write(req, adm, tokens)

    def _load_positions(
        self, req: front.DataRequest
    ) -> dict[str, model.Position]:
        if req.session is None:
            return {}
        return self._state.signer().load(req.session, time.time())

    async def _relay(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        owners: list[str],
    ) -> front.DataReply:
        if req.kind == 'statements' and req.access == 'write':
            # With a request id, a write runs at most once even if it is sent
            # to several processes.
            req.request_id = req.request_id or writes.new_request_id()
        for owner in owners:
            address = self._state.entries.get(owner)
            if address is None:
                continue
            try:
                return await self._relay_to(req, address)
            except rpc.RpcError as exc:
                if exc.sent and req.kind == 'in':
                    raise errors.OutcomeUnknownError(exc.message)
        if req.kind == 'commit':
            # The owner did not answer; the target knows the outcome.
            return await self.transactions.resolve_outcome(
                req,
                adm,
                transactions.commit_attempt(req, adm),
                self._load_positions(req),
            )
        if req.kind in TRANSACTION_KINDS:
            raise transactions.transaction_lost_error(req.transaction or '')
        raise self._relay_error(req)

    @staticmethod
    def _relay_error(req: front.DataRequest) -> errors.RidgeError:
        if req.kind == 'statements' and req.access == 'write':
            return errors.OutcomeUnknownError('no entry process answered')
        return backends.refusal_error(model.NO_TARGET)

    async def _relay_to(
        self, req: front.DataRequest, address: str
    ) -> front.DataReply:
        remaining_s = max(0.001, req.deadline - clocks.boottime())
        if req.kind != 'commit':
            remaining_s = min(remaining_s, RELAY_ATTEMPT_TIMEOUT_S)
        call = rpc.idl.StatementCall(
            kind=req.kind,
            body=orjson.dumps(
                {name: getattr(req, name) for name in RELAYED_FIELDS}
            ),
            deadline_s=remaining_s,
            hops=1,
        )
        reply = await self._pool.get(address).call(
            'relay', call, timeout_s=remaining_s
        )
        if reply.status >= 400:
            raise relayed_error(reply)
        return front.DataReply(
            reply.body,
            session=reply.session_token or None,
            status=reply.status,
        )

    async def relay(self, call: typing.Any) -> typing.Any:
        """Execute a request that another entry process relayed."""
        try:
            req = front.DataRequest(**orjson.loads(call.body))
            req.received_at = clocks.boottime()
            req.deadline = req.received_at + call.deadline_s
            adm = self._admitter.authorize(req)
            if req.kind in TEXT_KINDS:
                regionrules.require_own_region(self._state, adm.regions)
            reply = await self.execute(req, adm)
        except errors.RidgeError as exc:
            if isinstance(exc, regionrules.OutsideRegionsError):
                self._log_outside_regions(adm, exc)
            return rpc.idl.StatementReply(
                status=exc.status,
                body=orjson.dumps(exc.as_json()),
                session_token='',
                retry_after_s=exc.retry_after_s or 0.0,
            )
        body = reply.body
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        return rpc.idl.StatementReply(
            status=reply.status,
            body=body,
            session_token=reply.session or '',
            retry_after_s=0.0,
        )


def relayed_error(reply: typing.Any) -> errors.RidgeError:
    """Return the error that another entry process reported."""
    body = orjson.loads(reply.body)['error']
    exc = errors.RidgeError(
        body['message'],
        kind=body['kind'],
        remedy=body['remedy'],
        outcome=errors.Outcome(body['outcome']),
        retry_after_s=reply.retry_after_s or None,
    )
    exc.status = reply.status
    return exc


def check_request_id(request_id: str | None, now: float) -> None:
    """Raise ExpiredIdError for a UUIDv7 whose record may have expired.

    >>> check_request_id('0190163d-8694-739b-aea5-966c26f8ad91', 2e9)
    Traceback (most recent call last):
    ...
    sassafrasridge_node.gateway.ExpiredIdError: the Idempotency-Key is too old
    """
    if request_id is None:
        return
    digits = request_id.replace('-', '')
    if len(digits) != 32 or digits[12] != UUID7_VERSION:
        return
    try:
        created = int(digits[:12], 16) / 1000
    except ValueError:
        return
    if now - created > REQUEST_ID_TTL_S:
        raise ExpiredIdError('the Idempotency-Key is too old')
