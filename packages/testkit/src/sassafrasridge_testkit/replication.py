"""Replication of a stand-in server: terms, roles, log, majority.

A primary sends its entries with the (term, index) of the entry before them; a
replica drops what contradicts them. A write counts as received by a majority
only in the primary's own term, and a position from before the term's start
only together with that start, because a log that merely holds an older entry
may still lose it in the next change of primary.
"""

import asyncio
import collections.abc
import time
import typing

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import faults
from sassafrasridge_testkit import txlog
from sassafrasridge_testkit import webclient

HEARTBEAT_S = 0.1
SEND_TIMEOUT_S = 0.5
RETRY_S = 0.05
BATCH_ENTRIES = 500


class Refused(Exception):
    """Report a request that was refused; nothing was run or changed."""

    def __init__(self, kind: str, message: str, status: int = 409) -> None:
        super().__init__(message)
        self.kind = kind
        self.status = status


class Replication:
    """Own the log and the engine of one server.

    ``on_step_down`` is called when the server stops being primary.
    """

    def __init__(
        self,
        server: str,
        group: str,
        log: txlog.Log,
        switches: faults.Faults,
        on_step_down: collections.abc.Callable[[], None],
    ) -> None:
        self.server = server
        self.group = group
        self.log = log
        self.engine = engine.Engine()
        self.applied = 0
        self.majority = 0
        self.apply_lag_s = 0.0
        # Address that connections to other servers come from, '' for any.
        self.source = ''
        self._faults = switches
        self._on_step_down = on_step_down
        self._waiters: list[tuple[int, asyncio.Future[int]]] = []
        self._links: dict[str, _Link] = {}
        self._apply_timer: asyncio.TimerHandle | None = None

    @property
    def is_primary(self) -> bool:
        """Tell whether this server is the primary of its term."""
        return self.log.role == 'primary'

    def resume(self, as_primary: bool) -> None:
        """Apply a log that was read from a file and take the stored role."""
        self._apply_until(len(self.log))
        if self.is_primary and as_primary:
            self._lead()
        else:
            self.log.role = 'replica'
            self.log.save_state()

    # Orders of control.

    def fence(self, term: int) -> None:
        """Refuse work and replication below a term from now on."""
        self._check_term(term)
        if term > self.log.term:
            self._enter(term)

    def promote(
        self, term: int, start: int, members: dict[str, str] | None
    ) -> None:
        """Become primary of a term that begins after position ``start``."""
        self._check_term(term)
        if term == self.log.term and self.is_primary:
            if start != self.log.start:
                raise Refused(
                    'already_promoted',
                    f'term {term} started at {self.log.start}',
                )
            return
        if term == self.log.last_term:
            # Its entries may be acknowledged, so the term can't start again.
            raise Refused('already_started', f'term {term} has entries here')
        if len(self.log) < start:
            raise Refused(
                'position_missing',
                f'the log ends at {len(self.log)}, before {start}',
            )
        self._enter(term)
        self._truncate(start)
        self._apply_until(start)
        if members:
            self.log.members = dict(members)
        self.log.role = 'primary'
        self.log.enter_term(term, start)
        self.log.save_state()
        self._lead()

    def follow(self, term: int, start: int) -> None:
        """Follow the primary of a term that begins after ``start``."""
        self._check_term(term)
        if term == self.log.term and self.is_primary:
            raise Refused('already_promoted', f'primary of term {term}')
        self._enter(term)
        self._drop_older_tail(term, start)

    def set_members(self, members: dict[str, str]) -> None:
        """Replace the addresses of the group's servers."""
        self.log.members = dict(members)
        self.log.save_state()
        if self.is_primary:
            self._lead()

    # The primary's side.

    def commit(
        self,
        statements: list[engine.Statement],
        row: engine.RequestRow | None,
    ) -> int:
        """Commit the open write transaction and return its position."""
        self.engine.commit(row)
        index = self.log.append(txlog.Entry(self.log.term, statements, row))
        self._apply_until(index)
        self.count_majority()
        for link in self._links.values():
            link.wake()
        return index

    async def wait_majority(self, index: int, timeout_s: float) -> int:
        """Return the majority's position once it covers ``index``.

        After the timeout, or when the server is no longer primary, the
        returned position is below ``index``.
        """
        if self.majority >= index:
            return self.majority
        if not self.is_primary:
            return self.majority
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        waiter = (index, fut)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return min(self.majority, index - 1)
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    # The replica's side.

    def replicate(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Take entries of the primary and return what is held of its log."""
        term = body['term']
        self._check_term(term)
        if self.is_primary and term == self.log.term:
            raise Refused('not_replica', f'primary of term {term}')
        if term > self.log.term:
            self._enter(term)
        self._drop_older_tail(term, body['start'])
        previous = body['previous_index']
        if previous > len(self.log):
            return {'matches': False, 'received': len(self.log)}
        if self.log.term_at(previous) != body['previous_term']:
            wrong = self.log.term_at(previous)
            while previous and self.log.term_at(previous) == wrong:
                previous -= 1
            return {'matches': False, 'received': previous}
        verified = self._take_entries(previous, body['entries'])
        if verified >= body['start']:
            self.log.enter_term(term, body['start'])
        self.majority = max(self.majority, min(body['majority'], verified))
        if body['members'] != self.log.members:
            self.log.members = body['members']
            self.log.save_state()
        self.apply_due()
        return {'matches': True, 'received': verified}

    def apply_due(self) -> None:
        """Apply received entries that are older than the apply lag."""
        if self._apply_timer is not None:
            self._apply_timer.cancel()
            self._apply_timer = None
        if self._faults.stop_applying or self.is_primary:
            return
        now = time.monotonic()
        while self.applied < len(self.log):
            entry = self.log.entries[self.applied]
            due = entry.received_at + self.apply_lag_s
            if due > now:
                self._apply_timer = asyncio.get_running_loop().call_later(
                    due - now, self.apply_due
                )
                return
            self._apply_until(self.applied + 1)

    def _check_term(self, term: int) -> None:
        if term < self.log.term:
            raise Refused(
                'wrong_term', f'term {term} is below {self.log.term}'
            )

    def _enter(self, term: int) -> None:
        if self.is_primary:
            self._step_down()
        self.log.term = term
        self.log.role = 'replica'
        self.log.save_state()

    def _step_down(self) -> None:
        for link in self._links.values():
            link.stop()
        self._links.clear()
        for index, fut in self._waiters:
            if not fut.done():
                fut.set_result(min(self.majority, index - 1))
        self._waiters.clear()
        self._on_step_down()
        self.engine.end_writing()

    def _lead(self) -> None:
        if not self.engine.accepts_writes:
            self.engine.begin_writing()
        wanted = {
            name: address
            for name, address in self.log.members.items()
            if name != self.server
        }
        for name, link in list(self._links.items()):
            if wanted.get(name) != link.address:
                link.stop()
                del self._links[name]
        for name, address in wanted.items():
            if name not in self._links:
                self._links[name] = _Link(self, name, address, self._faults)
        self.count_majority()

    def count_majority(self) -> None:
        """Raise the majority's position by what the members hold."""
        positions = sorted(
            [len(self.log), *(link.matched for link in self._links.values())],
            reverse=True,
        )
        position = positions[len(positions) // 2]
        if position < self.log.start or position <= self.majority:
            return
        self.majority = position
        for index, fut in self._waiters:
            if index <= position and not fut.done():
                fut.set_result(position)

    def _take_entries(
        self, previous: int, entries: list[dict[str, typing.Any]]
    ) -> int:
        index = previous
        for data in entries:
            index += 1
            if index <= len(self.log):
                if self.log.term_at(index) == data['term']:
                    continue
                self._truncate(index - 1)
            self.log.append(txlog.Entry.decode(data))
        return index

    def _drop_older_tail(self, term: int, start: int) -> None:
        if len(self.log) > start and self.log.term_at(start + 1) < term:
            self._truncate(start)

    def _truncate(self, length: int) -> None:
        if length >= len(self.log):
            return
        self.log.truncate(length)
        if self.applied > length:
            self.engine.reset()
            self.applied = 0
            self._apply_until(length)

    def _apply_until(self, index: int) -> None:
        while self.applied < index:
            entry = self.log.entries[self.applied]
            self.engine.apply(entry.statements, entry.request)
            self.applied += 1


class _Link:
    """Send the log of a primary to one member."""

    def __init__(
        self,
        owner: Replication,
        member: str,
        address: str,
        switches: faults.Faults,
    ) -> None:
        self.address = address
        self.matched = 0
        self._owner = owner
        self._member = member
        self._faults = switches
        self._next = len(owner.log)
        self._client = webclient.Client(address, owner.source)
        self._event = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def wake(self) -> None:
        """Send new entries now."""
        self._event.set()

    def stop(self) -> None:
        """Send nothing any more."""
        self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            if self._faults.replication_stopped(self._member):
                await asyncio.sleep(RETRY_S)
                continue
            self._event.clear()
            try:
                status, body = await self._send()
            except webclient.CallFailed:
                await asyncio.sleep(RETRY_S)
                continue
            if status != 200 or 'matches' not in body:
                await asyncio.sleep(HEARTBEAT_S)
                continue
            self._take(body)
            if self._next >= len(self._owner.log):
                await self._pause()

    async def _send(self) -> tuple[int, dict[str, typing.Any]]:
        log = self._owner.log
        entries = log.entries[self._next : self._next + BATCH_ENTRIES]
        return await self._client.post(
            '/replicate',
            {
                'id': f'{self._owner.server}-{self._next}',
                'group': self._owner.group,
                'term': log.term,
                'start': log.start,
                'previous_index': self._next,
                'previous_term': log.term_at(self._next),
                'entries': [entry.encode() for entry in entries],
                'majority': self._owner.majority,
                'members': log.members,
            },
            SEND_TIMEOUT_S,
        )

    def _take(self, body: dict[str, typing.Any]) -> None:
        if not body['matches']:
            self._next = max(0, min(body['received'], self._next - 1))
            # A member that restarted without its log holds less than before.
            self.matched = min(self.matched, self._next)
            return
        self._next = max(self._next, body['received'])
        self.matched = max(self.matched, body['received'])
        self._owner.count_majority()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await self._event.wait()
        except TimeoutError:
            pass
