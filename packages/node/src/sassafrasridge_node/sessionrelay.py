"""Passes statements of sessions on to entry processes that serve a group.

An entry process keeps connections only to groups of whose serving set it is
a member. A statement for another group goes on with what its session holds.
A transaction stays at the process that began it, under a number that its
session's process chose.
"""

import asyncio
import random
import typing

import orjson

from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import peers
from sassafrasridge_node import rpc

Failure = statements.Failure
Kind = statements.Kind

KIND = 'session'
"""Marks a statement call of a session among those of HTTP callers."""

ANSWER_MARGIN_S = 0.4
"""Time beyond a statement's own in which its refusal arrives: longer than
the farthest round trip and a queue of calls at the other process."""

READ_TRY_SHARE = 0.5
MIN_READ_TRY_S = 0.3
"""Part of the time left, and the least, for which one process may take for a
read before the next is asked: several times a usual answer."""

NUMBER_BITS = 62
"""Random numbers of this length don't repeat; they fit into 64 bits."""


class RelayedStatement:
    """Hold a statement with all of its session that it needs.

    ``begin`` is the kind of statement that began the transaction if this is
    its first one, and ``transaction`` its number or 0. ``waited_s`` is the
    time since the statement arrived.
    """

    __slots__ = (
        'database',
        'digest',
        'statement',
        'values',
        'prepared',
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
        floor: model.Position | None = None,
        begin: Kind | None = None,
        transaction: int = 0,
        waited_s: float = 0.0,
    ) -> None:
        self.database = database
        self.digest = digest
        self.statement = statement
        self.values = values
        self.prepared = prepared
        self.floor = floor
        self.begin = begin
        self.transaction = transaction
        self.waited_s = waited_s

    def encode(self) -> bytes:
        """Return the body of a call."""
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
                'floor': _position_to_json(self.floor),
                'begin': self.begin and self.begin.value,
                'transaction': self.transaction,
                'waited_s': self.waited_s,
            }
        )

    @classmethod
    def decode(cls, body: bytes) -> 'RelayedStatement':
        """Return the statement of a call's body."""
        found = orjson.loads(body)
        stmt = statements.Statement(
            Kind(found['kind']),
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
            _position_from_json(found['floor']),
            None if begin is None else Kind(begin),
            found['transaction'],
            found['waited_s'],
        )


class RelayedResult:
    """Hold a statement's result and what the session learns with it.

    ``open`` tells whether the transaction may go on at the other process.
    """

    __slots__ = ('result', 'floor', 'open')

    def __init__(
        self,
        result: statements.Result,
        floor: model.Position | None = None,
        open: bool = False,
    ) -> None:
        self.result = result
        self.floor = floor
        self.open = open

    def encode(self) -> bytes:
        """Return the body of a reply."""
        result = self.result
        return orjson.dumps(
            {
                'rows': result.rows,
                'signature': result.signature,
                'failure': result.failure and result.failure.value,
                'detail': result.detail,
                'position': _position_to_json(result.position),
                'floor': _position_to_json(self.floor),
                'open': self.open,
            }
        )

    @classmethod
    def decode(cls, body: bytes) -> 'RelayedResult':
        """Return the result of a reply's body."""
        found = orjson.loads(body)
        failure = found['failure']
        result = statements.Result(
            found['rows'],
            found['signature'],
            None if failure is None else Failure(failure),
            found['detail'],
            position=_position_from_json(found['position']),
        )
        floor = _position_from_json(found['floor'])
        return cls(result, floor, found['open'])


def _position_to_json(
    position: model.Position | None,
) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.index)


def _position_from_json(found: list[int] | None) -> model.Position | None:
    return None if found is None else model.Position(found[0], found[1])


def refusal(failure: Failure, detail: str) -> RelayedResult:
    """Return the result of a statement that failed."""
    return RelayedResult(statements.Result(failure=failure, detail=detail))


class Relays:
    """Pass statements on, and find what became of them."""

    def __init__(
        self,
        state: entry.EntryState,
        pool: rpc.ClientPool,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._pool = pool
        self._rng = rng
        self._silent = peers.SilentPeers()

    def new_number(self) -> int:
        """Return a number for a transaction."""
        return self._rng.getrandbits(NUMBER_BITS) + 1

    def candidates(self, group: str) -> list[str]:
        """Return who serves a group, the best one to ask first."""
        return sorted(
            self._state.near_serving_set(group, self._rng),
            key=self._silent.__contains__,
        )

    async def run(
        self,
        owners: list[str],
        req: RelayedStatement,
        deadline: float,
        unanswered: Failure,
    ) -> tuple[str, RelayedResult]:
        """Have the first of some processes that answers run a statement.

        Returns the process that was asked last. ``unanswered`` is what a
        statement that was sent and not answered counts as; one that only
        reads is sent again and counts as FAILED.
        """
        failure, detail = Failure.BUSY, 'no process serves the database now'
        if req.transaction and req.begin is None:
            failure = Failure.ABORTED
        owner, arrived = '', clocks.boottime() - req.waited_s
        for owner in owners:
            address = self._state.entries.get(owner)
            now = clocks.boottime()
            if address is None or now >= deadline:
                continue
            req.waited_s = now - arrived
            left_s = deadline - now
            reads = unanswered is Failure.FAILED
            try:
                async with asyncio.timeout(_try_s(left_s) if reads else None):
                    return owner, await self._call(address, req, left_s)
            except TimeoutError:
                # The connection stays: other calls on it may be answered.
                self._note_failure(owner, req, True, 'no answer yet')
                failure, detail = unanswered, 'no answer in time'
            except rpc.RpcError as exc:
                self._note_failure(owner, req, exc.sent, exc.message)
                if not exc.sent:
                    continue
                failure, detail = unanswered, exc.message
            except rpc.RemoteCallError as exc:
                self._note_failure(owner, req, True, str(exc))
                failure, detail = unanswered, str(exc)
            if failure is not Failure.FAILED:
                answer = refusal(failure, detail)
                answer.open = True
                return owner, answer
        return owner, refusal(failure, detail)

    async def _call(
        self, address: str, req: RelayedStatement, left_s: float
    ) -> RelayedResult:
        call = rpc.idl.StatementCall(
            kind=KIND, body=req.encode(), deadline_s=left_s, hops=1
        )
        reply = await self._pool.get(address).call(
            'relay', call, timeout_s=left_s + ANSWER_MARGIN_S
        )
        return RelayedResult.decode(reply.body)

    def _note_failure(
        self, owner: str, req: RelayedStatement, sent: bool, reason: str
    ) -> None:
        self._silent.note(owner)
        self._state.metrics.retries.inc()
        logs.change(
            'relay_failed',
            id=req.statement.id,
            entry=owner,
            sent=sent,
            reason=reason,
            entries_revision=self._state.entries_revision,
        )

    async def roll_back(self, owner: str, number: int) -> None:
        """End a transaction; the other process does so itself when idle."""
        address = self._state.entries.get(owner)
        if address is None:
            return
        stmt = statements.Statement(Kind.ROLLBACK, '-', '')
        req = RelayedStatement('', '', stmt, {}, transaction=number)
        try:
            await self._call(address, req, ANSWER_MARGIN_S)
        except (rpc.RpcError, rpc.RemoteCallError) as exc:
            self._note_failure(owner, req, True, str(exc))


def _try_s(left_s: float) -> float:
    """Return how long one process may take for a read.

    >>> _try_s(2.0), _try_s(0.4)
    (1.0, 0.3)
    """
    return max(MIN_READ_TRY_S, left_s * READ_TRY_SHARE)


def reply_to(result: RelayedResult) -> typing.Any:
    """Return the reply to a call."""
    return rpc.idl.StatementReply(
        status=200, body=result.encode(), session_token='', retry_after_s=0.0
    )
