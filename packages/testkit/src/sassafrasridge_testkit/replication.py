"""Log replication between stand-in servers: terms, roles and majorities.

A primary sends entries together with the (term, index) of the preceding
entry; a replica removes entries of its own that conflict with them. The
majority position advances only in the primary's own term and only once it
reaches the start position of that term: a log that holds an older entry but
not the start of the term may still lose that entry in the next change of
primary.
"""

import asyncio
import collections.abc
import time
import typing

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import faults
from sassafrasridge_testkit import txlog
from sassafrasridge_testkit import webclient

HEARTBEAT_INTERVAL_S = 0.1
SEND_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05
MAX_BATCH_ENTRIES = 500


class Refused(Exception):
    """Report a refused request, which ran and changed nothing.

    ``status`` is the HTTP status of the answer.
    """

    def __init__(self, kind: str, message: str, status: int = 409) -> None:
        super().__init__(message)
        self.kind = kind
        self.status = status


class Replication:
    """Manage the log and the engine of one server.

    ``applied`` and ``majority`` are log positions. ``on_step_down`` is called
    when the server stops being primary.
    """

    def __init__(
        self,
        server: str,
        group: str,
        log: txlog.Log,
        active_faults: faults.Faults,
        on_step_down: collections.abc.Callable[[], None],
    ) -> None:
        self.server = server
        self.group = group
        self.log = log
        self.engine = engine.Engine()
        self.applied = 0
        self.majority = 0
        self.apply_lag_s = 0.0
        # Local address of connections to other servers; '' for any address.
        self.source_host = ''
        self._faults = active_faults
        self._on_step_down = on_step_down
        self._waiters: list[tuple[int, asyncio.Future[int]]] = []
        self._links: dict[str, _MemberLink] = {}
        self._apply_timer: asyncio.TimerHandle | None = None

    @property
    def is_primary(self) -> bool:
        """Tell whether this server is the primary of its term."""
        return self.log.role == 'primary'

    def restore_role(self, as_primary: bool) -> None:
        """Apply the stored log; restore the role of primary if allowed."""
        self._apply_until(len(self.log))
        if self.is_primary and as_primary:
            self._start_leading()
        else:
            self.log.role = 'replica'
            self.log.save_state()

    # Commands of the control process.

    def fence(self, term: int) -> None:
        """Reject statements and replication of terms below ``term``."""
        self._check_term(term)
        if term > self.log.term:
            self._enter_term(term)

    def promote(
        self, term: int, start: int, members: dict[str, str] | None
    ) -> None:
        """Become primary of a term that begins after position ``start``."""
        self._check_term(term)
        if term == self.log.term and self.is_primary:
            if start != self.log.start:
                raise Refused(
                    'already_promoted',
                    f'term {term} started at position {self.log.start}',
                )
            return
        if term == self.log.last_term:
            # Entries of this term may already be acknowledged, so the term
            # can't be started again.
            raise Refused(
                'already_started', f'term {term} already started here'
            )
        if len(self.log) < start:
            raise Refused(
                'position_missing',
                f'the log ends at position {len(self.log)}, before {start}',
            )
        self._enter_term(term)
        self._truncate(start)
        self._apply_until(start)
        if members:
            self.log.members = dict(members)
        self.log.role = 'primary'
        self.log.enter_term(term, start)
        self.log.save_state()
        self._start_leading()

    def follow(self, term: int, start: int) -> None:
        """Become a replica in a term that begins after ``start``."""
        self._check_term(term)
        if term == self.log.term and self.is_primary:
            raise Refused(
                'already_promoted', f'already primary of term {term}'
            )
        self._enter_term(term)
        self._truncate_older_terms(term, start)

    def set_members(self, members: dict[str, str]) -> None:
        """Replace the names and addresses of the group's servers."""
        self.log.members = dict(members)
        self.log.save_state()
        if self.is_primary:
            self._start_leading()

    # Operations of a primary.

    def commit(
        self,
        statements: list[engine.Statement],
        row: engine.RequestRow | None,
    ) -> int:
        """Commit the open write transaction and return its log position."""
        self.engine.commit(row)
        index = self.log.append(txlog.Entry(self.log.term, statements, row))
        self._apply_until(index)
        self.update_majority()
        for link in self._links.values():
            link.wake()
        return index

    async def wait_majority(self, index: int, timeout_s: float) -> int:
        """Return the majority position once it reaches ``index``.

        The returned position is below ``index`` when the timeout expires or
        the server is no longer primary.
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

    # Operations of a replica.

    def replicate(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Store entries of the primary and return how far the logs match."""
        term = body['term']
        self._check_term(term)
        if self.is_primary and term == self.log.term:
            raise Refused('not_replica', f'already primary of term {term}')
        if term > self.log.term:
            self._enter_term(term)
        self._truncate_older_terms(term, body['start'])
        previous_index = body['previous_index']
        if previous_index > len(self.log):
            return {'matches': False, 'received': len(self.log)}
        if self.log.term_at(previous_index) != body['previous_term']:
            conflicting_term = self.log.term_at(previous_index)
            while (
                previous_index
                and self.log.term_at(previous_index) == conflicting_term
            ):
                previous_index -= 1
            return {'matches': False, 'received': previous_index}
        matched_length = self._merge_entries(previous_index, body['entries'])
        if matched_length >= body['start']:
            self.log.enter_term(term, body['start'])
        self.majority = max(
            self.majority, min(body['majority'], matched_length)
        )
        if body['members'] != self.log.members:
            self.log.members = body['members']
            self.log.save_state()
        self.apply_due()
        return {'matches': True, 'received': matched_length}

    def apply_due(self) -> None:
        """Apply the entries that were received at least the apply lag ago."""
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
                'wrong_term',
                f'term {term} is below the current {self.log.term}',
            )

    def _enter_term(self, term: int) -> None:
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

    def _start_leading(self) -> None:
        if not self.engine.accepts_writes:
            self.engine.begin_writing()
        wanted_addresses = {
            name: address
            for name, address in self.log.members.items()
            if name != self.server
        }
        for name, link in list(self._links.items()):
            if wanted_addresses.get(name) != link.address:
                link.stop()
                del self._links[name]
        for name, address in wanted_addresses.items():
            if name not in self._links:
                self._links[name] = _MemberLink(
                    self, name, address, self._faults
                )
        self.update_majority()

    def update_majority(self) -> None:
        """Advance to the highest position that a majority of logs holds."""
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

    def _merge_entries(
        self, previous_index: int, entries: list[dict[str, typing.Any]]
    ) -> int:
        index = previous_index
        for data in entries:
            index += 1
            if index <= len(self.log):
                if self.log.term_at(index) == data['term']:
                    continue
                self._truncate(index - 1)
            self.log.append(txlog.Entry.decode(data))
        return index

    def _truncate_older_terms(self, term: int, start: int) -> None:
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


class _MemberLink:
    """Replicate the log of a primary to one member.

    ``matched`` is the highest position known to match at the member.
    """

    def __init__(
        self,
        replication: Replication,
        member: str,
        address: str,
        active_faults: faults.Faults,
    ) -> None:
        self.address = address
        self.matched = 0
        self._replication = replication
        self._member = member
        self._faults = active_faults
        self._next_position = len(replication.log)
        self._client = webclient.Client(address, replication.source_host)
        self._entries_added = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def wake(self) -> None:
        """Send new entries without waiting for the next heartbeat."""
        self._entries_added.set()

    def stop(self) -> None:
        """Stop replicating to the member."""
        self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            if self._faults.replication_stopped(self._member):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._entries_added.clear()
            try:
                status, body = await self._send()
            except webclient.CallFailed:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if status != 200 or 'matches' not in body:
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            self._handle_reply(body)
            if self._next_position >= len(self._replication.log):
                await self._wait_for_entries()

    async def _send(self) -> tuple[int, dict[str, typing.Any]]:
        log = self._replication.log
        entries = log.entries[
            self._next_position : self._next_position + MAX_BATCH_ENTRIES
        ]
        return await self._client.post(
            '/replicate',
            {
                'id': f'{self._replication.server}-{self._next_position}',
                'group': self._replication.group,
                'term': log.term,
                'start': log.start,
                'previous_index': self._next_position,
                'previous_term': log.term_at(self._next_position),
                'entries': [entry.encode() for entry in entries],
                'majority': self._replication.majority,
                'members': log.members,
            },
            SEND_TIMEOUT_S,
        )

    def _handle_reply(self, body: dict[str, typing.Any]) -> None:
        if not body['matches']:
            self._next_position = max(
                0, min(body['received'], self._next_position - 1)
            )
            # A member that restarted without its log holds fewer entries
            # than it did before.
            self.matched = min(self.matched, self._next_position)
            return
        self._next_position = max(self._next_position, body['received'])
        self.matched = max(self.matched, body['received'])
        self._replication.update_majority()

    async def _wait_for_entries(self) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._entries_added.wait()
        except TimeoutError:
            pass
