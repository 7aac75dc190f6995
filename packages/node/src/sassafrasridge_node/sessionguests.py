"""Runs statements that other entry processes pass on."""

import typing

from sassafrasridge_core import statements
from sassafrasridge_node import logs
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting

Failure = statements.Failure
Kind = statements.Kind

IDLE_MARGIN_S = 1.0
"""The process of the session ends an idle transaction first; this one does
so when that process is gone."""

MAX_GUESTS = 1000
"""Statements and transactions of other processes at a time: a multiple of
the connections that all targets of a group take."""


class Guest(sessionfront.Session):
    """Run one statement or transaction of another process's session.

    ``ending`` tells that the transaction is to end after the statement that
    runs, and ``forget`` is called once it has ended while idle.
    """

    ending = False
    forget: typing.Callable[[], None]

    async def _charge(
        self, access: sessionrouting.Access, started: float
    ) -> None:
        """The process of the session has charged the account."""

    def _serves(self, group: str) -> bool:
        """Run it here in any case: two processes that see different serving
        sets would pass a statement back and forth.
        """
        return True

    def load(self, req: sessionrelay.RelayedStatement) -> None:
        """Take over what the session holds."""
        self._values = dict(req.values)
        if req.prepared is not None:
            text, writes = req.prepared
            name = req.statement.name
            self._prepared[name] = sessionfront.Prepared(text, writes)
        if req.floor is not None:
            self.floor = req.floor

    def is_open(self) -> bool:
        """Return whether a transaction is open and not broken."""
        return self.session_state() is statements.State.OPEN

    def expire(self, now: float) -> None:
        """End a transaction that its own process did not end."""
        super().expire(now - IDLE_MARGIN_S)
        if not self.busy and not self.is_open():
            self.forget()


class Guests:
    """Keep the transactions that other processes began here."""

    def __init__(self, service: sessionfront.Service) -> None:
        self._service = service
        self._guests: dict[int, Guest] = {}
        self._running = 0

    async def relay(self, call: typing.Any) -> typing.Any:
        """Carry out a statement call."""
        req = sessionrelay.RelayedStatement.decode(call.body)
        return sessionrelay.reply_to(await self.run(req))

    async def run(
        self, req: sessionrelay.RelayedStatement
    ) -> sessionrelay.RelayedResult:
        """Run a statement and return its result."""
        if req.transaction and req.begin is None:
            guest = self._guests.get(req.transaction)
            if guest is None:
                return sessionrelay.refusal(
                    Failure.ABORTED, 'the transaction has ended'
                )
            if guest.busy or req.statement.kind is Kind.ROLLBACK:
                return self._roll_back(req, guest)
        else:
            if self._running + len(self._guests) >= MAX_GUESTS:
                return sessionrelay.refusal(
                    Failure.BUSY, 'too many statements of other processes'
                )
            try:
                guest = self._open(req)
            except sessionfront.Problem as exc:
                return sessionrelay.refusal(exc.failure, exc.detail)
        return await self._run(guest, req)

    def _open(self, req: sessionrelay.RelayedStatement) -> Guest:
        number = req.transaction
        guest = Guest(self._service, 0, req.database, req.digest)
        guest.forget = lambda: self._forget(number, guest)
        access = guest.access()
        if req.begin is not None:
            guest.begin(access, req.begin is Kind.BEGIN_READ)
            self._guests[number] = guest
        self._service.add(guest)
        return guest

    async def _run(
        self, guest: Guest, req: sessionrelay.RelayedStatement
    ) -> sessionrelay.RelayedResult:
        guest.load(req)
        self._running += 1
        try:
            result = await guest.execute(req.statement, req.waited_s)
        finally:
            self._running -= 1
            if guest.ending or not guest.is_open():
                self._end(req.transaction, guest)
        still_open = guest.transaction is not None
        return sessionrelay.RelayedResult(result, guest.floor, still_open)

    def _roll_back(
        self, req: sessionrelay.RelayedStatement, guest: Guest
    ) -> sessionrelay.RelayedResult:
        """End a transaction, after the statement that runs.

        Only a rollback is done with that. A session runs one statement at a
        time, so any other beside one that runs is refused.
        """
        guest.ending = True
        if not guest.busy:
            self._end(req.transaction, guest)
        if req.statement.kind is Kind.ROLLBACK:
            return sessionrelay.RelayedResult(statements.Result())
        return sessionrelay.refusal(
            Failure.ABORTED, 'another statement of the transaction runs'
        )

    def _end(self, number: int, guest: Guest) -> None:
        self._guests.pop(number, None)
        self._service.closed(guest)

    def _forget(self, number: int, guest: Guest) -> None:
        logs.change(
            'guest_transaction_ended', number=number, idle_s=IDLE_MARGIN_S
        )
        self._end(number, guest)
