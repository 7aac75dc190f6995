"""Relays session statements to entry processes that serve a group.

An entry process keeps connections only to groups whose serving set it belongs
to. A statement for another group is relayed together with the session state
that it needs. A transaction stays at the process that ran its first
statement, identified by a number that the session's process chose.
"""

import asyncio
import random
import typing

import orjson

from sassafrasridge_core import model
from sassafrasridge_core import ownwrites
from sassafrasridge_core import regions
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import peers
from sassafrasridge_node import regionrules
from sassafrasridge_node import rpc

StatementFailure = statements.StatementFailure
StatementKind = statements.StatementKind

# Distinguishes statement calls of sessions from those of HTTP requests.
RELAY_KIND = 'session'

# Time beyond the statement's deadline to wait for the reply that reports a
# failure: longer than the longest round trip and the queueing of calls at the
# other process.
ANSWER_MARGIN_S = 0.4

# Share of the remaining time, and its lower limit, that one process gets for a
# read before the next one is tried. It is several times the usual response
# time.
READ_ATTEMPT_SHARE = 0.5
MIN_READ_ATTEMPT_S = 0.3

# Number of processes that may say that they have no primary, or a long queue
# of reads, before the statement is refused: one that is cut off from the
# primary or from control says so, another one may still serve it.
MAX_REFUSALS = 3

# Length of random transaction numbers: collisions are negligible, and the
# numbers fit into 64 bits.
TRANSACTION_NUMBER_BITS = 62


class RelayedStatement:
    """Hold a statement and the session state that it needs.

    ``transaction`` is the number of its transaction, or 0 outside one. On the
    first relayed statement of a transaction, ``begin`` is the kind of the
    BEGIN statement. ``waited_s`` is the time since the statement arrived.

    ``own_writes`` are the writes of the session, None from an earlier build.
    Earlier builds know only ``floor``, the position of the last write.
    """

    __slots__ = (
        'database',
        'digest',
        'statement',
        'values',
        'prepared',
        'own_writes',
        'floor',
        'begin',
        'transaction',
        'waited_s',
    )

    def __init__(
        self,
        database: str,
        digest: str,
        statement: statements.Statement,
        values: dict[str, str],
        prepared: tuple[str, bool] | None = None,
        own_writes: ownwrites.OwnWrites | None = None,
        floor: model.Position | None = None,
        begin: StatementKind | None = None,
        transaction: int = 0,
        waited_s: float = 0.0,
    ) -> None:
        self.database = database
        self.digest = digest
        self.statement = statement
        self.values = values
        self.prepared = prepared
        self.own_writes = own_writes
        self.floor = floor
        self.begin = begin
        self.transaction = transaction
        self.waited_s = waited_s

    def encode(self) -> bytes:
        """Return the encoded body of a call."""
        stmt = self.statement
        return orjson.dumps(
            {
                'database': self.database,
                'digest': self.digest,
                'kind': stmt.kind.value,
                'id': stmt.id,
                'text': stmt.text,
                'name': stmt.name,
                'value': stmt.value,
                'writes': stmt.writes,
                'values': self.values,
                'prepared': self.prepared,
                'own_writes': self.own_writes and self.own_writes.dump(),
                'floor': _position_to_json(self.floor),
                'begin': self.begin and self.begin.value,
                'transaction': self.transaction,
                'waited_s': self.waited_s,
            }
        )

    @classmethod
    def decode(cls, body: bytes) -> 'RelayedStatement':
        """Return the statement that the body of a call holds."""
        found = orjson.loads(body)
        stmt = statements.Statement(
            StatementKind(found['kind']),
            found['id'],
            found['text'],
            found['name'],
            found['value'],
            found['writes'],
        )
        prepared, begin = found['prepared'], found['begin']
        return cls(
            found['database'],
            found['digest'],
            stmt,
            found['values'],
            None if prepared is None else (prepared[0], prepared[1]),
            _own_writes_from_json(found),
            _position_from_json(found['floor']),
            None if begin is None else StatementKind(begin),
            found['transaction'],
            found['waited_s'],
        )


class RelayedResult:
    """Hold a statement's result and the updated state of its session.

    ``own_writes`` and ``floor`` are those of RelayedStatement, after the
    statement. ``open`` tells whether the transaction may still be open at the
    other process.
    """

    __slots__ = ('result', 'own_writes', 'floor', 'open')

    def __init__(
        self,
        result: statements.Result,
        own_writes: ownwrites.OwnWrites | None = None,
        floor: model.Position | None = None,
        open: bool = False,
    ) -> None:
        self.result = result
        self.own_writes = own_writes
        self.floor = floor
        self.open = open

    def encode(self) -> bytes:
        """Return the encoded body of a reply."""
        result = self.result
        return orjson.dumps(
            {
                'rows': result.rows,
                'signature': result.signature,
                'failure': result.failure and result.failure.value,
                'detail': result.detail,
                'position': _position_to_json(result.position),
                'own_writes': self.own_writes and self.own_writes.dump(),
                'floor': _position_to_json(self.floor),
                'open': self.open,
            }
        )

    @classmethod
    def decode(cls, body: bytes) -> 'RelayedResult':
        """Return the result that the body of a reply holds."""
        found = orjson.loads(body)
        failure = found['failure']
        result = statements.Result(
            found['rows'],
            found['signature'],
            None if failure is None else StatementFailure(failure),
            found['detail'],
            position=_position_from_json(found['position']),
        )
        floor = _position_from_json(found['floor'])
        return cls(result, _own_writes_from_json(found), floor, found['open'])


def _position_to_json(
    position: model.Position | None,
) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.index)


def _own_writes_from_json(
    found: dict[str, typing.Any],
) -> ownwrites.OwnWrites | None:
    """Return the field of a message, None from an earlier build."""
    dumped = found.get('own_writes')
    return None if dumped is None else ownwrites.OwnWrites.load(dumped)


def _position_from_json(found: list[int] | None) -> model.Position | None:
    return None if found is None else model.Position(found[0], found[1])


def failed_result(failure: StatementFailure, detail: str) -> RelayedResult:
    """Return the relayed result of a failed statement."""
    return RelayedResult(statements.Result(failure=failure, detail=detail))


class StatementRelay:
    """Relay statements to other entry processes."""

    def __init__(
        self,
        state: entry.EntryState,
        pool: rpc.ClientPool,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._pool = pool
        self._rng = rng
        self._silent_peers = peers.UnresponsivePeers()
        self._rollbacks: set[asyncio.Task[None]] = set()

    def new_transaction_number(self) -> int:
        """Return a random number that identifies a transaction."""
        return self._rng.getrandbits(TRANSACTION_NUMBER_BITS) + 1

    def candidates(
        self,
        group: str,
        account: str,
        needs_primary: bool,
        allowed: regions.Allowed = None,
    ) -> list[str]:
        """Return the entry processes that serve a group, best one first.

        A statement that needs the primary crosses regions once, on the way
        to a process near the primary, whose connections need no round trips
        between regions to open. Raises OutsideRegionsError if none is in the
        allowed regions.
        """
        zone = self._state.zone
        primary = self._state.primary(group) if needs_primary else None
        if primary is not None and primary.info.zone:
            zone = primary.info.zone
        return sorted(
            regionrules.serving_entries(
                self._state,
                allowed,
                self._state.relay_order(group, account, zone),
            ),
            key=self._silent_peers.__contains__,
        )

    async def run(
        self,
        entry_names: list[str],
        req: RelayedStatement,
        deadline: float,
        unanswered: StatementFailure,
    ) -> tuple[str, RelayedResult]:
        """Relay a statement to the first of some processes that answers.

        Returns the name of the process tried last, and the result.
        ``unanswered`` is the failure to report for a statement that was sent
        but not answered. A read (FAILED) and the first statement of a
        transaction are then retried at the next process: nothing of them is
        kept without a COMMIT. Any other statement is retried only if it was
        not sent, or if the process answered that it has no primary.
        """
        failure, detail = (
            StatementFailure.BUSY,
            'no process serves the database now',
        )
        if req.transaction and req.begin is None:
            failure = StatementFailure.ABORTED
        repeatable = (
            unanswered is StatementFailure.FAILED or req.begin is not None
        )
        refusals = 0
        entry_name, arrived = '', clocks.boottime() - req.waited_s
        for entry_name in entry_names:
            address = self._state.entries.get(entry_name)
            now = clocks.boottime()
            if address is None or now >= deadline:
                continue
            req.waited_s = now - arrived
            remaining_s = deadline - now
            try:
                async with asyncio.timeout(
                    attempt_timeout_s(remaining_s) if repeatable else None
                ):
                    answer = await self._call(address, req, remaining_s)
                if not _may_run_elsewhere(answer, repeatable):
                    return entry_name, answer
                refusals += 1
                failure, detail = answer.result.failure, answer.result.detail
                if refusals >= MAX_REFUSALS:
                    return entry_name, answer
                continue
            except TimeoutError:
                # Keep the connection: other calls on it may still be answered.
                self._note_failure(
                    entry_name,
                    req,
                    True,
                    'no answer within the time of one attempt',
                )
                failure, detail = unanswered, 'no answer in time'
            except rpc.RpcError as exc:
                self._note_failure(entry_name, req, exc.sent, exc.message)
                if not exc.sent:
                    continue
                failure, detail = unanswered, exc.message
            except rpc.RemoteCallError as exc:
                self._note_failure(entry_name, req, True, str(exc))
                failure, detail = unanswered, str(exc)
            if not repeatable:
                answer = failed_result(failure, detail)
                answer.open = True
                return entry_name, answer
            if req.begin is not None:
                self._abandon(entry_name, req.transaction)
        return entry_name, failed_result(failure, detail)

    def _abandon(self, entry_name: str, number: int) -> None:
        """Roll back what a process that did not answer may have begun."""
        task = asyncio.ensure_future(self.roll_back(entry_name, number))
        self._rollbacks.add(task)
        task.add_done_callback(self._rollbacks.discard)

    async def _call(
        self, address: str, req: RelayedStatement, remaining_s: float
    ) -> RelayedResult:
        call = rpc.idl.StatementCall(
            kind=RELAY_KIND, body=req.encode(), deadline_s=remaining_s, hops=1
        )
        reply = await self._pool.get(address).call(
            'relay', call, timeout_s=remaining_s + ANSWER_MARGIN_S
        )
        return RelayedResult.decode(reply.body)

    def _note_failure(
        self, entry_name: str, req: RelayedStatement, sent: bool, reason: str
    ) -> None:
        self._silent_peers.record_failure(entry_name)
        self._state.metrics.retries.inc()
        logs.log_event(
            'relay_failed',
            id=req.statement.id,
            entry=entry_name,
            sent=sent,
            reason=reason,
            entries_revision=self._state.entries_revision,
        )

    async def roll_back(self, entry_name: str, number: int) -> None:
        """Roll back a transaction at another process, without retries.

        If the call fails, the other process rolls the transaction back once
        it has been idle for too long.
        """
        address = self._state.entries.get(entry_name)
        if address is None:
            return
        stmt = statements.Statement(StatementKind.ROLLBACK, '-', '')
        req = RelayedStatement('', '', stmt, {}, transaction=number)
        try:
            await self._call(address, req, ANSWER_MARGIN_S)
        except (rpc.RpcError, rpc.RemoteCallError) as exc:
            self._note_failure(entry_name, req, True, str(exc))


def _may_run_elsewhere(answer: RelayedResult, repeatable: bool) -> bool:
    """Return whether a process ran nothing and another one should be tried.

    Others may have a primary. A process refuses a read that has waited for
    its part of the time; another one may have no queue.
    """
    failures = {StatementFailure.NO_PRIMARY}
    if repeatable:
        failures.add(StatementFailure.BUSY)
    return answer.result.failure in failures and not answer.open


def attempt_timeout_s(remaining_s: float) -> float:
    """Return the time in seconds that one process gets for a read.

    >>> attempt_timeout_s(2.0), attempt_timeout_s(0.4)
    (1.0, 0.3)
    """
    return max(MIN_READ_ATTEMPT_S, remaining_s * READ_ATTEMPT_SHARE)


def encode_reply(result: RelayedResult) -> typing.Any:
    """Return the reply to a statement call."""
    return rpc.idl.StatementReply(
        status=200, body=result.encode(), session_token='', retry_after_s=0.0
    )
