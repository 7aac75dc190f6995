"""Open transactions: each holds one connection from begin to end."""

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
from sassafrasridge_node import writes

IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 0.1
MAX_PER_ACCOUNT = 64
SEPARATOR = '.'
NOT_RECORDED = 'the commit is not recorded'
"""A statement that no target can run: only a recorded answer succeeds."""


class Transaction:
    """Hold an open transaction."""

    __slots__ = ('id', 'adm', 'backend', 'conn', 'term', 'busy', 'used_at')

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
        self.used_at = clocks.boottime()


class Transactions:
    """Own the open transactions of one entry process."""

    def __init__(self, state: entry.EntryState, writer: writes.Writer) -> None:
        self._state = state
        self._writer = writer
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def owner(self, transaction: str) -> str:
        """Return the entry process that a transaction's id names."""
        return transaction.rpartition(SEPARATOR)[0]

    async def run(self) -> None:
        """Roll back transactions that may not go on, until cancelled."""
        while True:
            now = clocks.boottime()
            for tx in list(self._open.values()):
                if not tx.busy and not self._may_go_on(tx, now):
                    self._drop(tx)
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def _may_go_on(self, tx: Transaction, now: float) -> bool:
        if tx.conn.closed or now - tx.used_at > IDLE_TIMEOUT_S:
            return False
        if not self._state.lease_valid() or not self._in_term(tx):
            return False
        try:
            tx.adm.recheck()
        except errors.RidgeError:
            return False
        return True

    def _in_term(self, tx: Transaction) -> bool:
        view = self._state.groups.get(tx.adm.group)
        return view is not None and view.term == tx.term

    def _drop(self, tx: Transaction) -> None:
        self._open.pop(tx.id, None)
        tx.conn.close()

    async def begin(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> front.DataReply:
        """Open a transaction on the primary."""
        if self._count(adm.account) >= MAX_PER_ACCOUNT:
            raise errors.UnavailableError(
                f'client account {adm.account!r} has {MAX_PER_ACCOUNT} open '
                'transactions',
                kind='too_many_transactions',
                retry_after_s=1.0,
            )
        while True:
            tx = await self._begin(req, adm)
            if tx is not None:
                self._open[tx.id] = tx
                return front.DataReply(
                    {'outcome': 'done', 'transaction': tx.id}, status=201
                )
            if clocks.boottime() >= req.deadline:
                raise backends.refused(model.DEADLINE)
            await asyncio.sleep(writes.CONFIRM_INTERVAL_S)

    def _count(self, account: str) -> int:
        return sum(tx.adm.account == account for tx in self._open.values())

    async def _begin(
        self, req: front.DataRequest, adm: admission.Admission
    ) -> Transaction | None:
        backend = self._state.primary(adm.group)
        if backend is None or not self._state.lease_valid():
            return None
        term = self._state.groups[adm.group].term
        try:
            conn = await backend.connection(
                adm.account, req.deadline, primary=True
            )
        except backends.ReplacedError:
            return None
        kept = False
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
            answers.check(answer)
            kept = answer.status == 200
        except connections.ConnectionLostError:
            return None
        finally:
            if kept:
                backend.detach()
            else:
                backend.release(conn, clean=False)
        if not kept:
            return None
        name = f'{self._state.name}{SEPARATOR}{secrets.token_hex(12)}'
        return Transaction(name, adm, backend, conn, term)

    async def execute(self, req: front.DataRequest) -> front.DataReply:
        """Run statements inside an open transaction."""
        with self._using(req) as tx:
            answer = await self._call(req, tx, 'in')
            if answer is None or answers.retryable(answer):
                self._drop(tx)
                raise lost(tx.id)
            try:
                answers.check(answer)
            except errors.RidgeError:
                self._drop(tx)
                raise
            return front.DataReply(
                {
                    'outcome': 'done',
                    'results': answer.body.get('results', []),
                    'transaction': tx.id,
                }
            )

    async def rollback(self, req: front.DataRequest) -> front.DataReply:
        """Roll a transaction back."""
        with self._using(req) as tx:
            answer = await self._call(req, tx, 'rollback')
            self._finish(tx, clean=answer is not None)
            return front.DataReply({'outcome': 'done', 'transaction': tx.id})

    async def commit(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Commit a transaction; settle the outcome when an answer is lost."""
        attempt = commit_attempt(req, adm)
        if req.transaction not in self._open:
            return await self.settle(req, adm, attempt, tokens)
        with self._using(req) as tx:
            attempt.in_doubt = True
            answer = await self._call(req, tx, 'commit', attempt)
            self._finish(tx, clean=answer is not None)
        if answer is not None:
            if answer.error_kind == 'statement_failed':
                answers.check(answer)
            body = self._writer.judge(adm.group, attempt, tx.term, answer)
            if body is not None:
                return answers.done(
                    self._state, adm.group, tokens, tx.backend, body
                )
        return await self.settle(req, adm, attempt, tokens)

    async def settle(
        self,
        req: front.DataRequest,
        adm: admission.Admission,
        attempt: writes.Attempt,
        tokens: dict[str, model.Position],
    ) -> front.DataReply:
        """Find out what became of a commit whose answer was lost."""
        # Without a record nothing may be recorded as the commit, since the
        # statements of the transaction are not at hand.
        attempt.statements = [{'sql': NOT_RECORDED, 'params': []}]
        found = await self._writer.settle(
            adm.group, attempt, req.deadline, adm.recheck
        )
        if found is None:
            raise lost(str(req.transaction))
        backend, body = found
        return answers.done(self._state, adm.group, tokens, backend, body)

    def _finish(self, tx: Transaction, *, clean: bool) -> None:
        self._open.pop(tx.id, None)
        if clean:
            tx.backend.give_back(tx.conn)
        else:
            tx.conn.close()

    def _using(self, req: front.DataRequest) -> '_Use':
        tx = self._open.get(req.transaction or '')
        if tx is None:
            raise lost(req.transaction or '')
        if tx.busy:
            raise errors.ConflictError(
                'the transaction is running another statement',
                kind='transaction_busy',
                remedy='Wait for the answer to the statement before.',
            )
        if not self._may_go_on(tx, clocks.boottime()):
            self._drop(tx)
            raise lost(tx.id)
        return _Use(tx)

    async def _call(
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
            self._drop(tx)


class _Use(typing.ContextManager[Transaction]):
    """Mark a transaction as busy while one call uses it."""

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
    """Return the attempt that records a commit under the transaction's id."""
    return writes.Attempt(
        adm.account, f'tx:{req.transaction}', f'tx:{req.transaction}', []
    )


def lost(transaction: str) -> errors.RidgeError:
    """Return the error for a transaction that was rolled back."""
    return answers.TransactionLostError(
        f'transaction {transaction!r} is not open; it was rolled back'
    )
