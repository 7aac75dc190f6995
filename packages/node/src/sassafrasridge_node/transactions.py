"""Interactive transactions, each bound to one connection to the primary."""

import asyncio
import secrets
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import admission
from sassafrasridge_node import answers
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import regionrules
from sassafrasridge_node import writes

# An open transaction that is unused for longer is rolled back.
IDLE_TIMEOUT_S = 30.0

# Interval of the check for transactions that must be rolled back.
SWEEP_INTERVAL_S = 0.1

# Limit of open transactions of one client account.
MAX_OPEN_PER_ACCOUNT = 64

# Separates the entry process from the random part of a transaction id.
ID_SEPARATOR = '.'

# Invalid SQL that is sent to query the outcome of a commit: it succeeds only
# if the target has a recorded answer for the request id.
INVALID_COMMIT_SQL = 'the commit is not recorded'


class Transaction:
    """Hold an open transaction and its connection."""

    __slots__ = (
        'id',
        'adm',
        'backend',
        'conn',
        'term',
        'busy',
        'committing',
        'used_at',
    )

    def __init__(
        self,
        id: str,
        adm: admission.Admission,
        backend: backends.Backend,
        conn: connections.TargetConnection,
        term: int,
    ) -> None:
        self.id = id
        self.adm = adm
        self.backend = backend
        self.conn = conn
        self.term = term
        self.busy = False
        self.committing = False
        self.used_at = clocks.boottime()


class Transactions:
    """Manage the open transactions of one entry process."""

    def __init__(self, state: entry.EntryState, writer: writes.Writer) -> None:
        self._state = state
        self._writer = writer
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def owning_entry(self, transaction: str) -> str:
        """Return the entry process named in a transaction id, '' if none."""
        return transaction.rpartition(ID_SEPARATOR)[0]

    async def run(self) -> None:
        """Roll back expired or invalid transactions until cancelled."""
        while True:
            now = clocks.boottime()
            for tx in list(self._open.values()):
                if self._must_leave_zone(tx, now):
                    self._state.metrics.drained_transactions.inc()
                    self._roll_back(tx)
                elif not tx.busy and not self._may_continue(tx, now):
                    self._roll_back(tx)
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def _must_leave_zone(self, tx: Transaction, now: float) -> bool:
        """Return whether to abort a transaction, except during its commit."""
        zone = tx.backend.info.zone
        return not tx.committing and self._state.drains.abort_due(now, zone)

    def _may_continue(self, tx: Transaction, now: float) -> bool:
        if tx.conn.closed or now - tx.used_at > IDLE_TIMEOUT_S:
            return False
        if not self._state.lease_valid() or not self._is_current_term(tx):
            return False
        try:
            tx.adm.recheck()
        except errors.RidgeError:
            return False
        return True

    def _is_current_term(self, tx: Transaction) -> bool:
        view = self._state.groups.get(tx.adm.group)
        return view is not None and view.term == tx.term

    def _roll_back(self, tx: Transaction) -> None:
        self._open.pop(tx.id, None)
        tx.conn.close()

    async def begin(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> front.DataReply:
        """Open a transaction on the primary.

        Raises RidgeError, in particular UnavailableError if the client account
        has too many open transactions.
        """
        if self._open_count(adm.account) >= MAX_OPEN_PER_ACCOUNT:
            raise errors.UnavailableError(
                f'client account {adm.account!r} has {MAX_OPEN_PER_ACCOUNT} '
                'open transactions',
                kind='too_many_transactions',
                retry_after_s=1.0,
            )
        while True:
            tx = await self._try_begin(req, adm)
            if tx is not None:
                self._open[tx.id] = tx
                return front.DataReply(
                    {'outcome': 'done', 'transaction': tx.id}, status=201
                )
            if clocks.boottime() >= req.deadline:
                raise backends.refusal_error(model.DEADLINE)
            await asyncio.sleep(writes.PRIMARY_POLL_S)

    def _open_count(self, account: str) -> int:
        return sum(tx.adm.account == account for tx in self._open.values())

    async def _try_begin(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> Transaction | None:
        if self._state.out_of_service(adm.group):
            raise backends.refusal_error(model.ZONE_DRAINED)
        regionrules.require_target(
            self._state, adm.regions, adm.group, primary=True
        )
        backend = self._state.usable_primary(adm.group)
        if (
            backend is None
            or not self._state.lease_valid()
            or not regionrules.allows_target(self._state, adm.regions, backend)
        ):
            return None
        term = self._state.groups[adm.group].term
        try:
            conn = await backend.connection(
                adm.account, req.deadline, primary=True
            )
        except backends.ReplacedError:
            return None
        begun = False
        try:
            adm.recheck()
            answer = await backend.call(
                conn,
                {
                    'term': term,
                    'access': req.access,
                    'statements': req.statements,
                    'tx': 'begin',
                },
                max(0.001, req.deadline - clocks.boottime()),
            )
            answers.raise_for_error(answer)
            begun = answer.status == 200
        except connections.ConnectionLostError:
            return None
        finally:
            if begun:
                backend.release_slot()
            else:
                backend.release(conn, clean=False)
        if not begun:
            return None
        name = f'{self._state.name}{ID_SEPARATOR}{secrets.token_hex(12)}'
        return Transaction(name, adm, backend, conn, term)

    async def execute(self, req: front.DataRequest) -> front.DataReply:
        """Run statements in an open transaction; raises RidgeError."""
        with self._acquire(req) as tx:
            answer = await self._call_target(req, tx, 'in')
            if answer is None or answers.is_retryable(answer):
                self._roll_back(tx)
                raise transaction_lost_error(tx.id)
            try:
                answers.raise_for_error(answer)
            except errors.RidgeError:
                self._roll_back(tx)
                raise
            return front.DataReply(
                {
                    'outcome': 'done',
                    'results': answer.body.get('results', []),
                    'transaction': tx.id,
                }
            )

    async def rollback(self, req: front.DataRequest) -> front.DataReply:
        """Roll a transaction back; raises RidgeError if it is not open."""
        with self._acquire(req) as tx:
            answer = await self._call_target(req, tx, 'rollback')
            self._end(tx, clean=answer is not None)
            return front.DataReply({'outcome': 'done', 'transaction': tx.id})

    async def commit(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Commit a transaction; resolve the outcome if the answer is lost."""
        attempt = commit_attempt(req, adm)
        if req.transaction not in self._open:
            return await self.resolve_outcome(req, adm, attempt, tokens)
        with self._acquire(req) as tx:
            attempt.in_doubt = True
            tx.committing = True
            answer = await self._call_target(req, tx, 'commit', attempt)
            self._end(tx, clean=answer is not None)
        if answer is not None:
            if answer.error_kind == 'statement_failed':
                answers.raise_for_error(answer)
            body = self._writer.acknowledged_body(
                adm.group, attempt, tx.term, answer
            )
            if body is not None:
                return answers.done_reply(
                    self._state, adm.group, tokens, tx.backend, body
                )
        return await self.resolve_outcome(req, adm, attempt, tokens)

    async def resolve_outcome(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        attempt: writes.Attempt,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Determine the outcome of a commit whose answer was lost."""
        # The transaction's statements are no longer available, so the request
        # must fail unless the commit is already recorded.
        attempt.statements = [{'sql': INVALID_COMMIT_SQL, 'params': []}]
        resolved = await self._writer.resolve_outcome(
            adm.group, attempt, req.deadline, adm.recheck
        )
        if resolved is None:
            raise transaction_lost_error(str(req.transaction))
        backend, body = resolved
        return answers.done_reply(
            self._state, adm.group, tokens, backend, body
        )

    def _end(self, tx: Transaction, *, clean: bool) -> None:
        self._open.pop(tx.id, None)
        if clean:
            tx.backend.give_back(tx.conn)
        else:
            tx.conn.close()

    def _acquire(self, req: front.DataRequest) -> '_BusyGuard':
        tx = self._open.get(req.transaction or '')
        if tx is None:
            raise transaction_lost_error(req.transaction or '')
        if tx.busy:
            raise errors.ConflictError(
                'the transaction is running another statement',
                kind='transaction_busy',
                remedy='Wait for the answer to the previous statement.',
            )
        if not self._may_continue(tx, clocks.boottime()):
            self._roll_back(tx)
            raise transaction_lost_error(tx.id)
        return _BusyGuard(tx)

    async def _call_target(
        self,
        req: front.DataRequest,
        tx: Transaction,
        step: str,
        attempt: writes.Attempt | None = None,
    ) -> connections.Answer | None:
        body: dict[str, typing.Any] = {
            'term': tx.term,
            'access': 'write',
            'statements': req.statements,
            'tx': step,
        }
        if attempt is not None:
            body['request'] = attempt.body(tx.term)['request']
        try:
            return await tx.backend.call(
                tx.conn,
                body,
                max(0.001, req.deadline - clocks.boottime()),
            )
        except connections.ConnectionLostError:
            return None

    def close_all(self) -> None:
        """Roll back every open transaction."""
        for tx in list(self._open.values()):
            self._roll_back(tx)


class _BusyGuard(typing.ContextManager[Transaction]):
    """Mark a transaction as busy for the duration of one call."""

    __slots__ = ('_tx',)

    def __init__(self, tx: Transaction) -> None:
        self._tx = tx

    def __enter__(self) -> Transaction:
        self._tx.busy = True
        return self._tx

    def __exit__(self, *args: object) -> None:
        self._tx.busy = False
        self._tx.used_at = clocks.boottime()


def commit_attempt(
    req: front.DataRequest, adm: admission.Admission
) -> writes.Attempt:
    """Return the write that records a commit under the transaction id."""
    return writes.Attempt(
        adm.account, f'tx:{req.transaction}', f'tx:{req.transaction}', []
    )


def transaction_lost_error(transaction: str) -> errors.RidgeError:
    """Return the error for a transaction that was rolled back."""
    return answers.TransactionLostError(
        f'transaction {transaction!r} is not open; it was rolled back'
    )
