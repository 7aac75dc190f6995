"""Execute statements and transactions of one database connection."""

import asyncio
import collections.abc
import contextlib
import time
import typing

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import faults
from sassafrasridge_testkit import replication
from sassafrasridge_testkit import webserver

Results = list[dict[str, typing.Any]]


class Limits:
    """Simulated costs and limits of a server.

    ``slots`` is the number of calls executed at once, ``connections`` the
    maximum of open connections.
    """

    __slots__ = (
        'slots',
        'connections',
        'statement_cost_s',
        'connect_cost_s',
        'majority_timeout_s',
        'writer_wait_s',
        'idle_transaction_s',
    )

    def __init__(self) -> None:
        self.slots = 5
        self.connections = 30
        self.statement_cost_s = 0.001
        self.connect_cost_s = 0.0
        self.majority_timeout_s = 1.0
        self.writer_wait_s = 1.0
        self.idle_transaction_s = 5.0


class ServerContext:
    """Hold the server state that all its sessions share."""

    __slots__ = (
        'limits',
        'replication',
        'faults',
        'observations',
        '_slots',
        'writer_lock',
        'open_sessions',
    )

    def __init__(
        self,
        limits: Limits,
        repl: replication.Replication,
        switches: faults.Faults,
        observations: faults.Observations,
    ) -> None:
        self.limits = limits
        self.replication = repl
        self.faults = switches
        self.observations = observations
        self._slots = asyncio.Semaphore(limits.slots)
        self.writer_lock = asyncio.Lock()
        self.open_sessions: set[Session] = set()

    @contextlib.asynccontextmanager
    async def slot(self) -> collections.abc.AsyncIterator[None]:
        """Wait for an execution slot and hold it."""
        with self.observations.count_waiting():
            await self._slots.acquire()
        try:
            yield
        finally:
            self._slots.release()

    def step_down(self) -> None:
        """Roll back every open write transaction."""
        for session in self.open_sessions:
            session.roll_back_write()


class ExecuteRequest:
    """A decoded body of ``/execute``; raises Refused if malformed."""

    __slots__ = ('id', 'term', 'access', 'statements', 'tx', 'request')

    def __init__(self, body: dict[str, typing.Any]) -> None:
        try:
            self.id = body['id']
            self.term = int(body['term'])
            self.access = body.get('access', 'write')
            self.tx = body.get('tx', 'auto')
            self.statements = [
                engine.Statement(str(item['sql']), _params(item))
                for item in body.get('statements') or []
            ]
            self.request = body.get('request')
            if self.request is not None:
                for name in ('account', 'id', 'digest'):
                    self.request[name] = str(self.request[name])
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            raise replication.Refused('bad_request', repr(exc), 400)
        if self.access not in ('read', 'write') or self.tx not in (
            'auto',
            'begin',
            'in',
            'commit',
            'rollback',
        ):
            raise replication.Refused(
                'bad_request', 'unknown value of access or tx', 400
            )


def _params(item: dict[str, typing.Any]) -> list[typing.Any]:
    params = item.get('params') or []
    if not isinstance(params, list):
        raise TypeError('params is not a list')
    return params


class _Transaction:
    __slots__ = ('access', 'statements', 'request', 'idle_timer')

    def __init__(
        self, call: ExecuteRequest, timer: asyncio.TimerHandle
    ) -> None:
        self.access = call.access
        self.statements: list[engine.Statement] = []
        self.request = call.request
        self.idle_timer = timer


class Session:
    """Run the calls of one connection and keep its transaction."""

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._transaction: _Transaction | None = None
        self._holds_writer_lock = False

    def close(self) -> None:
        """Roll back the open transaction after the connection was closed."""
        self._end_transaction()
        self._context.open_sessions.discard(self)

    def roll_back_write(self) -> None:
        """Roll back the open transaction if it is a write transaction."""
        if self._transaction and self._transaction.access == 'write':
            self._end_transaction()

    async def execute(self, call: ExecuteRequest) -> webserver.Answer | None:
        """Run a call; a result of None closes the connection unanswered."""
        run: collections.abc.Callable[
            [ExecuteRequest],
            collections.abc.Awaitable[webserver.Answer | None],
        ] = getattr(self, f'_{call.tx}')
        if call.tx != 'rollback':
            self._check_allowed(call)
        return await run(call)

    async def _auto(self, call: ExecuteRequest) -> webserver.Answer | None:
        if self._transaction is not None:
            raise replication.Refused(
                'transaction_open', 'a transaction is already open'
            )
        if call.access == 'read':
            async with self._context.slot():
                await self._simulate_cost(call)
                self._check_allowed(call)
                results = self._read(call)
            self._context.observations.count_call('read')
            return self._answer(call, results)
        stored = self._find_stored_request(call.request)
        if stored is not None:
            return await self._replay(call, stored)
        await self._acquire_writer_lock()
        try:
            self._check_allowed(call)
            async with self._context.slot():
                await self._simulate_cost(call)
                self._check_allowed(call)
                stored = self._find_stored_request(call.request)
                if stored is None:
                    results, index = self._run_and_commit(call)
        finally:
            self._release_writer_lock()
        if stored is not None:
            return await self._replay(call, stored)
        return await self._acknowledge(call, results, index)

    async def _begin(self, call: ExecuteRequest) -> webserver.Answer | None:
        if self._transaction is not None:
            raise replication.Refused(
                'transaction_open', 'a transaction is already open'
            )
        if call.access == 'write':
            await self._acquire_writer_lock()
            try:
                self._check_allowed(call)
                self._context.replication.engine.begin()
            except BaseException:
                self._release_writer_lock()
                raise
        timer = asyncio.get_running_loop().call_later(
            self._context.limits.idle_transaction_s, self._end_transaction
        )
        self._transaction = _Transaction(call, timer)
        try:
            return await self._in(call)
        except replication.Refused:
            # A refused call ran no statement, so it must not leave a
            # transaction open.
            self._end_transaction()
            raise

    async def _in(self, call: ExecuteRequest) -> webserver.Answer | None:
        results = await self._run_in_transaction(call)
        return self._answer(call, results)

    async def _commit(self, call: ExecuteRequest) -> webserver.Answer | None:
        tx = self._transaction
        if tx is None:
            stored = self._find_stored_request(call.request)
            if stored is None:
                raise replication.Refused(
                    'no_transaction', 'no transaction is open'
                )
            return await self._replay(call, stored)
        request = call.request or tx.request
        try:
            stored = self._find_stored_request(request)
        except replication.Refused:
            self._end_transaction()
            raise
        if stored is not None:
            self._end_transaction()
            return await self._replay(call, stored)
        results = await self._run_in_transaction(call)
        if tx.access == 'read' or not (tx.statements or request):
            self._end_transaction()
            return self._answer(call, results)
        index = self._commit_write(tx.statements, request, results)
        self._end_transaction()
        return await self._acknowledge(call, results, index)

    async def _rollback(self, call: ExecuteRequest) -> webserver.Answer | None:
        self._end_transaction()
        return self._answer(call, [])

    async def _run_in_transaction(self, call: ExecuteRequest) -> Results:
        tx = self._transaction
        if tx is None:
            raise replication.Refused(
                'no_transaction', 'no transaction is open'
            )
        self._restart_idle_timer(tx)
        async with self._context.slot():
            await self._simulate_cost(call)
            if self._transaction is not tx:
                raise replication.Refused(
                    'no_transaction', 'the transaction was rolled back'
                )
            self._check_allowed(call)
            try:
                if tx.access == 'read':
                    self._context.observations.count_call('read')
                    return self._read(call)
                results = self._context.replication.engine.run(
                    call.statements, call.access == 'read'
                )
            except engine.StatementFailed:
                self._end_transaction()
                raise
            self._record_executions(call)
            if call.access == 'write':
                tx.statements += call.statements
            return results

    def _read(self, call: ExecuteRequest) -> Results:
        self._record_executions(call)
        return self._context.replication.engine.read(call.statements)

    def _run_and_commit(self, call: ExecuteRequest) -> tuple[Results, int]:
        repl = self._context.replication
        repl.engine.begin()
        try:
            results = repl.engine.run(call.statements)
            self._record_executions(call)
            return results, self._commit_write(
                call.statements, call.request, results
            )
        finally:
            repl.engine.rollback()

    def _commit_write(
        self,
        statements: list[engine.Statement],
        request: dict[str, typing.Any] | None,
        results: Results,
    ) -> int:
        row = None
        if request is not None:
            row = engine.RequestRow(
                request['account'],
                request['id'],
                request['digest'],
                engine.encode_answer(results, request.get('answer_limit')),
                time.time(),
            )
        index = self._context.replication.commit(statements, row)
        self._context.observations.count_call('write')
        if row is not None:
            self._context.observations.commits[f'{row.account}/{row.id}'] += 1
        return index

    async def _acknowledge(
        self, call: ExecuteRequest, results: Results, index: int
    ) -> webserver.Answer | None:
        majority = await self._context.replication.wait_majority(
            index, self._context.limits.majority_timeout_s
        )
        if self._context.faults.consume('drop_answers'):
            return None
        return self._answer(call, results, index, majority)

    async def _replay(
        self, call: ExecuteRequest, stored: engine.RequestRow
    ) -> webserver.Answer:
        index = self._context.replication.log.request_index(
            stored.account, stored.id
        )
        majority = await self._context.replication.wait_majority(
            index, self._context.limits.majority_timeout_s
        )
        self._context.observations.count_call('replayed')
        results = None
        if stored.answer is not None:
            results = engine.decode_answer(stored.answer)
        return self._answer(call, results, index, majority, True)

    def _answer(
        self,
        call: ExecuteRequest,
        results: Results | None,
        index: int | None = None,
        majority: int | None = None,
        replayed: bool = False,
    ) -> webserver.Answer:
        repl = self._context.replication
        # Use the term of the last log entry, so that (term, position)
        # identifies a state even while the server is fenced and has not
        # started to follow the new primary.
        body = {
            'id': call.id,
            'term': call.term if index is not None else repl.log.last_term,
            'position': repl.applied if index is None else index,
            'role': repl.log.role,
            'results': results,
            'majority_position': repl.majority
            if majority is None
            else majority,
            'replayed': replayed,
        }
        return webserver.Answer(200, body)

    def _find_stored_request(
        self, request: dict[str, typing.Any] | None
    ) -> engine.RequestRow | None:
        if request is None:
            return None
        row = self._context.replication.engine.stored_request(
            request['account'], request['id']
        )
        if row is not None and row.digest != request['digest']:
            raise replication.Refused(
                'request_conflict',
                'the request id was used with another digest',
            )
        return row

    def _check_allowed(self, call: ExecuteRequest) -> None:
        log = self._context.replication.log
        if call.term != log.term:
            raise replication.Refused(
                'wrong_term', f'this server is in term {log.term}'
            )
        tx = self._transaction
        reads = call.access == 'read' or (tx and tx.access == 'read')
        if not reads and log.role != 'primary':
            raise replication.Refused('not_primary', f'role is {log.role}')
        if tx and call.tx == 'in' and call.access != tx.access == 'read':
            raise replication.Refused(
                'read_only', 'write call in a read transaction'
            )

    async def _simulate_cost(self, call: ExecuteRequest) -> None:
        cost = self._context.limits.statement_cost_s * len(call.statements)
        if cost:
            await asyncio.sleep(cost)

    def _record_executions(self, call: ExecuteRequest) -> None:
        if self._context.faults.record:
            for statement in call.statements:
                self._context.observations.executions[statement.sql] += 1

    async def _acquire_writer_lock(self) -> None:
        try:
            async with asyncio.timeout(self._context.limits.writer_wait_s):
                await self._context.writer_lock.acquire()
        except TimeoutError:
            raise replication.Refused(
                'writer_busy', 'another write transaction is open'
            )
        self._holds_writer_lock = True

    def _release_writer_lock(self) -> None:
        if self._holds_writer_lock:
            self._holds_writer_lock = False
            self._context.writer_lock.release()

    def _restart_idle_timer(self, tx: _Transaction) -> None:
        tx.idle_timer.cancel()
        tx.idle_timer = asyncio.get_running_loop().call_later(
            self._context.limits.idle_transaction_s, self._end_transaction
        )

    def _end_transaction(self) -> None:
        tx = self._transaction
        if tx is None:
            return
        self._transaction = None
        tx.idle_timer.cancel()
        if tx.access == 'write':
            self._context.replication.engine.rollback()
            self._release_writer_lock()
