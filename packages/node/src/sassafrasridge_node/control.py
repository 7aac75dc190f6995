"""The control member: replicated log, commands, leases.

One task owns the log and the state. Remote calls and operators' commands
reach it as coroutines on the same event loop.
"""

import asyncio
import collections.abc
import random
import time
import typing

import orjson

from sassafrasridge_core import directory
from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import membership
from sassafrasridge_core import model
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmessages
from sassafrasridge_core import state as core_state
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import groups
from sassafrasridge_node import leadership
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import relays
from sassafrasridge_node import rpc
from sassafrasridge_node import storage

TICK_S = 0.02
COMMIT_TIMEOUT_S = 3.0
MESSAGE_TIMEOUT_S = 0.3
"""Shorter than the shortest election timeout, so that a connection that went
silent is replaced before a follower starts an election."""

SNAPSHOT_EVERY = 1000
"""Entries applied between two snapshots; bounds the time of a restart."""


MEMBER_CHECK_S = 0.25
"""Interval at which the leader looks for members that are gone."""

REGISTER_TIMEOUT_S = 0.7
"""A target waits a second for the answer to its announcement."""

REOPEN_INTERVAL_S = 0.5
"""Time between two attempts to use a disk that failed."""

Opener = collections.abc.Callable[
    [], tuple[storage.Storage, raft.Raft, core_state.State]
]
KeeperFactory = collections.abc.Callable[
    ['ControlMember', leadership.Leadership], groups.Keeper
]


class LostLeadershipError(errors.RidgeError):
    """Report a change whose outcome this member can't tell."""

    kind = 'leader_changed'
    status = 503
    outcome = errors.Outcome.UNKNOWN
    remedy = 'Send the same note again; its number makes that safe.'


class NoLeaderError(errors.UnavailableError):
    """Report that no control leader is known."""

    kind = 'no_leader'
    remedy = 'Wait for the election of a leader, or check the members.'


class Waiter:
    """Stand for a proposal that waits to be applied."""

    __slots__ = ('term', 'fut')

    def __init__(
        self, term: int, fut: 'asyncio.Future[core_state.Reply]'
    ) -> None:
        self.term = term
        self.fut = fut


class ControlMember(groups.GroupStore):
    """Own one member's log, state and, while it leads, its leadership.

    Groups are kept as those that take orders by HTTP unless ``create_keeper``
    says otherwise. ``opener`` reads the disk again after it failed; without
    one the process ends then. With ``tolerated`` members come and go by
    themselves, so that the loss of so many is tolerated; without, by
    operators' commands only.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        log: raft.Raft,
        files: storage.Storage,
        state: core_state.State,
        peers: dict[str, str],
        pool: rpc.ClientPool,
        times: leases.LeaseTimes,
        suspect_after_s: float,
        policy: str,
        dialer: connections.Dialer,
        counters: metrics.Metrics,
        *,
        commands: collections.abc.Mapping[str, typing.Any] | None = None,
        opener: Opener | None = None,
        tolerated: int | None = None,
        exclusive_names: bool = False,
        create_keeper: KeeperFactory | None = None,
    ) -> None:
        self.name = name
        self._dialer = dialer
        self._metrics = counters
        self.state = state
        self.log = log
        self.leadership: leadership.Leadership | None = None
        self._zone = zone
        self._files = files
        self.peers = peers
        self._pool = pool
        self._times = times
        self._suspect_after_s = suspect_after_s
        self._policy = policy
        # Of the term in which this member led last.
        self._resumable: leadership.Leadership | None = None
        self._waiters: dict[int, Waiter] = {}
        self._wake = asyncio.Event()
        self.applied = self._snapshot_index = log.snapshot_index
        self._keeper: asyncio.Task[None] | None = None
        self.keeper: groups.Keeper | None = None
        self._relay = relays.RenewalRelay(name, self._leader_client, counters)
        self._announced: dict[
            tuple[str, str], tuple[float, model.TargetInfo]
        ] = {}
        self._registering: set[str] = set()
        self._sending: set[asyncio.Task[None]] = set()
        self._commands = commands or {}
        self.rpc_address = ''
        self._opener = opener
        self.suspended = False
        self._exclusive_names = exclusive_names
        self._create_keeper = create_keeper or ControlMember._group_keeper
        self._tolerated = tolerated
        self._member_task: asyncio.Task[None] | None = None

    # The task.

    def wake(self) -> None:
        """Let the task act on a change at once."""
        self._wake.set()

    async def run(self) -> None:
        """Drive the log until cancelled."""
        try:
            while True:
                try:
                    await self._step()
                except errors.StorageError as exc:
                    await self._reopen(exc)
        finally:
            self._end_leadership()

    async def _step(self) -> None:
        self._wake.clear()
        self.log.tick(clocks.boottime())
        self._drain()
        self._update_leadership()
        try:
            async with asyncio.timeout(TICK_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _reopen(self, exc: errors.StorageError) -> None:
        """Take no part until the disk works, then go on from its contents.

        What the log holds in memory was not persisted, so it is dropped.
        """
        if self._opener is None:
            raise exc
        logs.change('disk_failed', reason=exc.message)
        self.suspended = True
        self._end_leadership()
        self._resumable = None
        self._files.close()
        while True:
            await asyncio.sleep(REOPEN_INTERVAL_S)
            try:
                self._files, self.log, self.state = self._opener()
                break
            except errors.StorageError as failure:
                logs.change('disk_failed', reason=failure.message)
        self.applied = self._snapshot_index = self.log.snapshot_index
        self.suspended = False
        logs.change('disk_works', disk_id=self.log.disk_id)

    def _drain(self) -> None:
        while True:
            ready = self.log.ready()
            if not ready:
                return
            self._files.persist(ready)
            if ready.restore and ready.snapshot is not None:
                self._restore(ready.snapshot)
            for message in ready.messages:
                self._send(message)
            for entry in ready.committed:
                self._apply(entry)
            self._maybe_snapshot()

    def _send(self, message: raft.Message) -> None:
        address = self.address(message.recipient)
        if address is None:
            return
        wire = rpc.idl.LogMessage(
            sender=message.sender,
            recipient=message.recipient,
            body=message.encode(),
        )
        task = asyncio.ensure_future(self._deliver(address, wire))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def address(self, name: str) -> str | None:
        """Return the thrift address of a member, None when not known.

        Where members change without an operator, the name is the address: a
        new member must answer a leader before it knows any membership.
        """
        if self._tolerated is not None:
            return name
        listed = self.log.members.get(name)
        recorded = listed.address if listed is not None else ''
        return self.peers.get(name) or recorded or None

    def addresses(self) -> list[str]:
        """Return the thrift addresses of all members, the leader's first."""
        names = sorted(
            self.log.members, key=lambda name: (name != self.log.leader, name)
        )
        found = [
            self.address(name) or self._own_address(name) for name in names
        ]
        return [address for address in found if address]

    def _own_address(self, name: str) -> str:
        return self.rpc_address if name == self.name else ''

    async def _deliver(self, address: str, wire: typing.Any) -> None:
        # The log repeats what is lost, so a failure is not an error here.
        try:
            await self._pool.get(address).call(
                'log_message', wire, timeout_s=MESSAGE_TIMEOUT_S
            )
        except (rpc.RpcError, rpc.RemoteCallError):
            return

    def _restore(self, snapshot: raft.Snapshot) -> None:
        self.state = core_state.State.decode(snapshot.data)
        self.applied = self._snapshot_index = snapshot.index
        self._fail_waiters()

    def _apply(self, entry: raft.Entry) -> None:
        self.applied = entry.index
        reply = None
        if entry.kind == raftlog.COMMAND:
            reply = self.state.apply(entry.index, entry.payload)
            self._metrics.revision.set(self.state.revision)
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None or waiter.fut.done():
            return
        if waiter.term == entry.term and reply is not None:
            waiter.fut.set_result(reply)
        else:
            waiter.fut.set_exception(lost())

    def _maybe_snapshot(self) -> None:
        if self.applied - self._snapshot_index >= SNAPSHOT_EVERY:
            self.log.compact(self.applied, self.state.encode())
            self._snapshot_index = self.applied

    def _fail_waiters(self) -> None:
        for waiter in self._waiters.values():
            if not waiter.fut.done():
                waiter.fut.set_exception(lost())
        self._waiters.clear()

    # Leadership.

    def _update_leadership(self) -> None:
        now = clocks.boottime()
        leads = self.log.leads(now)
        current = self.leadership
        if current is not None and (
            not leads or current.term != self.log.term
        ):
            self._end_leadership()
        if leads and self.leadership is None:
            self._begin_leadership(now)

    def _begin_leadership(self, now: float) -> None:
        self.leadership = self._resumed() or leadership.Leadership(
            self.state,
            self._times,
            self._suspect_after_s,
            self.log.term,
            now,
            self._policy,
            self._metrics,
            self._exclusive_names,
        )
        for at, info in self._announced.values():
            self.leadership.announced(at, info)
        self.leadership.members = self.addresses
        self.keeper = self._create_keeper(self, self.leadership)
        self._keeper = asyncio.ensure_future(self.keeper.run())
        if self._tolerated is not None:
            self._member_task = asyncio.ensure_future(
                self._keep_members(self._tolerated)
            )
        self._metrics.is_leader.set(1)
        logs.change('leadership_began', term=self.log.term)
        if not self.state.session_secret:
            asyncio.ensure_future(self._initialise())

    def _group_keeper(self, current: leadership.Leadership) -> groups.Keeper:
        return groups.GroupKeeper(
            self,
            current.detector,
            current.table,
            self._zone,
            self._dialer,
            self._metrics,
        )

    async def _keep_members(self, tolerated: int) -> None:
        """Remove members that are gone, while this member leads."""
        tracker = membership.SilenceTracker()
        while True:
            await asyncio.sleep(MEMBER_CHECK_S)
            now = clocks.boottime()
            silence_s = tracker.silence(
                now, self.log.members, self.log.progress()
            )
            name = membership.surplus(self.log.members, silence_s, tolerated)
            if name is None:
                continue
            try:
                self.log.change_members(now, raft.Remove(name))
            except errors.RidgeError as exc:
                logs.change('member_kept', member=name, reason=exc.kind)
                continue
            self._wake.set()
            logs.change(
                'member_removed',
                member=name,
                silent_s=round(silence_s[name], 3),
                members=sorted(self.log.members),
            )

    def _resumed(self) -> leadership.Leadership | None:
        """Return what is known from earlier in this term.

        A majority has just confirmed the term, so no other member led
        meanwhile, and what was granted is still all that is held. A new
        leadership would give away no share of a rate for several seconds.
        """
        earlier = self._resumable
        if earlier is not None and earlier.term == self.log.term:
            return earlier
        return None

    def _end_leadership(self) -> None:
        if self.leadership is None:
            return
        self._resumable = self.leadership
        logs.change('leadership_ended', term=self.leadership.term)
        self._metrics.is_leader.set(0)
        self.leadership = None
        self.keeper = None
        for task in (self._keeper, self._member_task):
            if task is not None:
                task.cancel()
        self._fail_waiters()

    async def _initialise(self) -> None:
        secret = random.SystemRandom().randbytes(32).hex()
        await self.propose(
            {
                'type': 'init',
                'session_secret': secret,
                'time': time.time(),
            }
        )

    # Proposals.

    async def propose(
        self, command: dict[str, typing.Any]
    ) -> core_state.Reply:
        """Commit and apply a command.

        Raises NoLeaderError when nothing was proposed and
        LostLeadershipError when the outcome is not known.
        """
        try:
            term, index = self.log.propose(
                clocks.boottime(), orjson.dumps(command)
            )
        except raft.NotLeaderError:
            raise NoLeaderError('this member is not the control leader')
        fut: asyncio.Future[core_state.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[index] = Waiter(term, fut)
        self._wake.set()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await fut
        except TimeoutError:
            raise lost()
        finally:
            self._waiters.pop(index, None)

    # Port of the group keeper.

    def view(self, group: str) -> model.GroupView | None:
        """Return the committed view of a group."""
        return self.state.groups.get(group)

    def revision(self) -> int:
        """Return the revision of all group views."""
        return self.state.groups_revision

    def names(self) -> list[str]:
        """Return the names of all groups."""
        return list(self.state.groups)

    async def commit(self, view: model.GroupView) -> None:
        """Commit the view of a group."""
        reply = await self.propose(
            {
                'type': 'group',
                'group': core_state.group_as_json(view),
                'time': time.time(),
            }
        )
        if not reply.ok:
            raise errors.ConflictError(f'group {view.group!r}: {reply.body}')

    # Remote calls.

    async def log_message(self, message: typing.Any) -> bool:
        """Take a message of the replicated log."""
        if self.suspended:
            return False
        try:
            decoded = raftmessages.decode(message.body)
        except raft.MalformedMessageError:
            rpc.MALFORMED_FRAMES.inc()
            return False
        self.log.receive(clocks.boottime(), decoded)
        self._wake.set()
        return True

    async def renew(self, req: typing.Any) -> typing.Any:
        """Renew a lease, here or through the leader."""
        if self.leadership is not None:
            return await self._renew_here(req)
        reply = await self._relay.renew(req)
        if reply.granted and reply.revision > req.revision:
            self._add_full_copy(reply)
        return reply

    async def renew_batch(self, batch: typing.Any) -> typing.Any:
        """Renew the leases that another member collected."""
        replies = [
            await self._renew_here(req, relayed=True) for req in batch.requests
        ]
        return rpc.idl.RenewBatchReply(replies=replies)

    async def _renew_here(
        self, req: typing.Any, relayed: bool = False
    ) -> typing.Any:
        now = clocks.boottime()
        current = self.leadership
        if current is None or not self.log.leads(now):
            return relays.refusal(req, 'no_leader')
        if req.draining and not req.accounts and not req.observations:
            current.release(now, req)
            return relays.refusal(req, 'released')
        if current.is_retired(req):
            return relays.refusal(req, 'retired')
        if req.entry not in self.state.entries:
            await self._register(req)
            return relays.refusal(req, 'registering')
        return current.renew(now, req, relayed)

    async def _register(self, req: typing.Any) -> None:
        if req.entry in self._registering:
            return
        self._registering.add(req.entry)
        try:
            await self.propose(
                {
                    'type': 'entry',
                    'action': 'register',
                    'entry': req.entry,
                    'zone': req.zone,
                    'address': req.address,
                    'time': time.time(),
                }
            )
        except errors.RidgeError:
            return
        finally:
            self._registering.discard(req.entry)

    def _add_full_copy(self, reply: typing.Any) -> None:
        # The leader sends no full copy to a relay, to spare its own link.
        if not reply.deltas and not reply.full:
            if self.state.revision >= reply.revision:
                reply.full = self.state.full()
                reply.revision = self.state.revision

    def _leader_client(self) -> rpc.Client | None:
        leader = self.log.leader
        if leader is None or leader == self.name:
            return None
        address = self.address(leader)
        return None if address is None else self._pool.get(address)

    # Announcements.

    def announced(self, now: float, info: model.TargetInfo) -> None:
        """Record the announcement of a target."""
        self._announced[info.group, info.server] = (now, info)
        if self.leadership is not None:
            self.leadership.announced(now, info)

    async def register(self, announcement: directory.Announcement) -> bool:
        """Record a target that announced itself, here or at the leader.

        Returns whether the leader has it; an outdated announcement counts as
        recorded and changes nothing. Raises RidgeError when no leader has it.
        """
        current = self.leadership
        if current is not None:
            self.require_lead()
            current.register(clocks.boottime(), announcement)
            return True
        info = announcement.info
        body = {name: getattr(info, name) for name in info.__slots__}
        body |= {'born': announcement.born, 'sequence': announcement.sequence}
        return await self._tell_leader('register', body)

    def require_lead(self) -> None:
        """Raise NoLeaderError unless a majority confirmed the lead lately."""
        if not self.log.leads(clocks.boottime()):
            raise NoLeaderError('this member is not sure that it leads')

    async def unregister(self, server: str) -> bool:
        """Forget a target that has ended, here or at the leader."""
        if self.leadership is not None:
            self.leadership.unregister(server)
            return True
        return await self._tell_leader('unregister', {'server': server})

    async def _tell_leader(
        self, kind: str, body: dict[str, typing.Any]
    ) -> bool:
        reply = await self._forward(
            kind, orjson.dumps(body), REGISTER_TIMEOUT_S
        )
        if not reply.ok:
            raise NoLeaderError('the control leader did not answer')
        return True

    def leader_host(self) -> str | None:
        """Return the IP address of the leader, None when not known."""
        if self.leadership is not None:
            return self.rpc_address.rpartition(':')[0]
        leader = self.log.leader
        address = self.address(leader) if leader is not None else None
        return None if address is None else address.rpartition(':')[0]

    # Commands.

    async def command(
        self, kind: str, body: bytes, deadline_s: float
    ) -> typing.Any:
        """Carry out an operator's command, here or at the leader."""
        if self.leadership is None:
            return await self._forward(kind, body, deadline_s)
        handler = self._commands.get(kind)
        if handler is None:
            return _command_error(
                errors.BadRequestError(f'command {kind!r} does not exist')
            )
        try:
            reply = await handler(self, orjson.loads(body))
        except errors.RidgeError as exc:
            return _command_error(exc)
        return rpc.idl.CommandReply(
            ok=reply.ok,
            leader=self.name,
            body=orjson.dumps(reply.body),
            status=reply.status,
        )

    async def _forward(
        self, kind: str, body: bytes, deadline_s: float
    ) -> typing.Any:
        client = self._leader_client()
        if client is None:
            return _command_error(NoLeaderError('no control leader is known'))
        try:
            return await client.call(
                'command', kind, body, deadline_s, timeout_s=deadline_s
            )
        except rpc.RpcError as exc:
            error: errors.RidgeError = (
                lost() if exc.sent else NoLeaderError(exc.message)
            )
            return _command_error(error)


def lost() -> LostLeadershipError:
    """Return the error of a change whose outcome is not known."""
    return LostLeadershipError(
        'leadership changed before the command was applied'
    )


def _command_error(exc: errors.RidgeError) -> typing.Any:
    return rpc.idl.CommandReply(
        ok=False,
        leader='',
        body=orjson.dumps(exc.as_json()),
        status=exc.status,
    )
