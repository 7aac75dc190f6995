"""The control member: replicated log, operator commands and leases.

One task drives the log and the state. Handlers of remote calls and of
operator commands run as coroutines on the same event loop.
"""

import asyncio
import collections.abc
import random
import time
import typing

import orjson

from sassafrasridge_core import acknowledged
from sassafrasridge_core import directory
from sassafrasridge_core import errors
from sassafrasridge_core import grouprecords
from sassafrasridge_core import leases
from sassafrasridge_core import membership
from sassafrasridge_core import model
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages
from sassafrasridge_core import state as core_state
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import commitreports
from sassafrasridge_node import connections
from sassafrasridge_node import groups
from sassafrasridge_node import leadership
from sassafrasridge_node import logmessages
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import relays
from sassafrasridge_node import rpc
from sassafrasridge_node import storage

LostLeadershipError = errors.LostLeadershipError
unknown_outcome_error = errors.unknown_outcome_error

# Longest time between two calls of the replicated log's tick().
TICK_INTERVAL_S = 0.02
# Time a proposal may take to be committed and applied.
COMMIT_TIMEOUT_S = 3.0
# Number of log entries applied between two snapshots. It bounds the number of
# entries to replay, and so the duration of a restart.
SNAPSHOT_INTERVAL_ENTRIES = 1000
# Interval at which the leader looks for failed members to remove.
MEMBER_CHECK_INTERVAL_S = 0.25
# A target waits 1 s for the answer to its announcement, so forwarding it to
# the leader must take less.
REGISTER_TIMEOUT_S = 0.7
# Time between two attempts to reopen a data folder after a disk error.
REOPEN_INTERVAL_S = 0.5

StorageOpener = collections.abc.Callable[
    [], tuple[storage.Storage, raft.Raft, core_state.State]
]
ReconcilerFactory = collections.abc.Callable[
    ['ControlMember', leadership.Leadership], groups.Reconciler
]


class NoLeaderError(errors.UnavailableError):
    """Report that no control leader is known."""

    kind = 'no_leader'
    remedy = 'Wait for the election of a leader, or check the members.'


class PendingProposal:
    """Hold a proposal's term and the future that gets its reply."""

    __slots__ = ('term', 'fut')

    def __init__(
        self, term: int, fut: 'asyncio.Future[core_state.Reply]'
    ) -> None:
        self.term = term
        self.fut = fut


class ControlMember(groups.GroupStore):
    """Run one control member: its log, state and, as leader, its leadership.

    The default reconciler of database groups sends orders to targets by HTTP.
    Without a function that reopens the data folder after a disk error, such
    an error ends the process. If ``tolerated`` is set, members join by
    themselves, and the leader removes failed members while the rest still
    tolerates that many failures. If it is None, only operator commands change
    the membership.
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
        open_storage: StorageOpener | None = None,
        tolerated: int | None = None,
        exclusive_names: bool = False,
        create_reconciler: ReconcilerFactory | None = None,
    ) -> None:
        self.name = name
        self._dialer = dialer
        self._metrics = counters
        self.state = state
        self.acknowledged = acknowledged.AcknowledgedCommits()
        self.acknowledged.follow(state.groups.values())
        self._commit_reports = commitreports.CommitReports(self.acknowledged)
        self._messages = logmessages.MessageSender(
            self.address, pool, self._commit_reports
        )
        self.log = log
        self.leadership: leadership.Leadership | None = None
        self._zone = zone
        self._storage = files
        self.peers = peers
        self._pool = pool
        self._lease_times = times
        self._suspect_after_s = suspect_after_s
        self._share_policy = policy
        # Leadership state of the last term in which this member led.
        self._last_leadership: leadership.Leadership | None = None
        self._pending_proposals: dict[int, PendingProposal] = {}
        self._wake = asyncio.Event()
        self.applied_index = self._snapshot_index = log.snapshot_index
        self._reconciler_task: asyncio.Task[None] | None = None
        self.reconciler: groups.Reconciler | None = None
        self._relay = relays.RenewalRelay(name, self._leader_client, counters)
        self._announcements: dict[
            tuple[str, str], tuple[float, model.TargetInfo]
        ] = {}
        self._registering_entries: set[str] = set()
        self._commands = commands or {}
        self.rpc_address = ''
        self._open_storage = open_storage
        self.suspended = False
        self._exclusive_names = exclusive_names
        self._create_reconciler = (
            create_reconciler or ControlMember._create_group_reconciler
        )
        # The default reconciler closes its connection after each order.
        self._order_connections = 0 if create_reconciler is None else 1
        self._tolerated_losses = tolerated
        self._membership_task: asyncio.Task[None] | None = None

    # Main loop.

    def wake(self) -> None:
        """Make the main loop process a change without delay."""
        self._wake.set()

    async def run(self) -> None:
        """Drive the log until cancelled.

        Raises StorageError after a disk error if there is no function that
        reopens the data folder.
        """
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
        self._process_ready()
        self._update_leadership()
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _reopen(self, exc: errors.StorageError) -> None:
        """Suspend this member until the data folder can be written again.

        The state is reloaded from disk. The log in memory may hold entries
        that were never persisted, so it is discarded. A member that took part
        before it can write would win elections that it can't complete, and
        the members that support it wait for it.
        """
        if self._open_storage is None:
            raise exc
        logs.log_event('disk_failed', reason=exc.message)
        self.suspended = True
        self._end_leadership()
        self._last_leadership = None
        self._storage.close()
        while True:
            await asyncio.sleep(REOPEN_INTERVAL_S)
            try:
                self._storage, self.log, self.state = self._open_storage()
                self._storage.check_writable()
                break
            except errors.StorageError as failure:
                logs.log_event('disk_failed', reason=failure.message)
                self._storage.close()
        self.applied_index = self._snapshot_index = self.log.snapshot_index
        self.suspended = False
        logs.log_event('disk_works', disk_id=self.log.disk_id)

    def _process_ready(self) -> None:
        while True:
            ready = self.log.ready()
            if not ready:
                return
            self._storage.persist(ready)
            if ready.restore and ready.snapshot is not None:
                self._restore(ready.snapshot)
            for message in ready.messages:
                voters = raftmembers.voters(self.log.members)
                self._messages.send(message, message.recipient in voters)
            for entry in ready.committed:
                self._apply(entry)
            self._maybe_snapshot()

    def address(self, name: str) -> str | None:
        """Return the thrift address of a member, None if unknown.

        If members change without an operator, a member's name is its address:
        a new member must be able to answer a leader before it has received
        any membership.
        """
        if self._tolerated_losses is not None:
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

    def _restore(self, snapshot: raft.Snapshot) -> None:
        self.state = core_state.State.decode(snapshot.data)
        self.acknowledged.follow(self.state.groups.values())
        self.applied_index = self._snapshot_index = snapshot.index
        self._fail_pending_proposals()

    def _apply(self, entry: raft.Entry) -> None:
        self.applied_index = entry.index
        reply = None
        if entry.kind == raftlog.COMMAND:
            known = self.state.groups_revision
            reply = self.state.apply(entry.index, entry.payload)
            if self.state.groups_revision != known:
                self.acknowledged.follow(self.state.groups_since(known))
            self._metrics.revision.set(self.state.revision)
        waiter = self._pending_proposals.pop(entry.index, None)
        if waiter is None or waiter.fut.done():
            return
        if waiter.term == entry.term and reply is not None:
            waiter.fut.set_result(reply)
        else:
            waiter.fut.set_exception(unknown_outcome_error())

    def _maybe_snapshot(self) -> None:
        if (
            self.applied_index - self._snapshot_index
            >= SNAPSHOT_INTERVAL_ENTRIES
        ):
            self.log.compact(self.applied_index, self.state.encode())
            self._snapshot_index = self.applied_index

    def _fail_pending_proposals(self) -> None:
        for waiter in self._pending_proposals.values():
            if not waiter.fut.done():
                waiter.fut.set_exception(unknown_outcome_error())
        self._pending_proposals.clear()

    # Leadership.

    def _update_leadership(self) -> None:
        now = clocks.boottime()
        leads = self.log.can_serve_as_leader(now)
        current = self.leadership
        if current is not None and (
            not leads or current.term != self.log.term
        ):
            self._end_leadership()
        if leads and self.leadership is None:
            self._begin_leadership(now)

    def _begin_leadership(self, now: float) -> None:
        self.leadership = (
            self._leadership_of_current_term()
            or leadership.Leadership(
                self.state,
                self._lease_times,
                self._suspect_after_s,
                self.log.term,
                now,
                self._share_policy,
                self._metrics,
                self._exclusive_names,
                self._order_connections,
                self.acknowledged,
            )
        )
        for at, info in self._announcements.values():
            self.leadership.record_announcement(at, info)
        self.leadership.member_addresses = self.addresses
        self.reconciler = self._create_reconciler(self, self.leadership)
        self._reconciler_task = asyncio.ensure_future(self.reconciler.run())
        if self._tolerated_losses is not None:
            self._membership_task = asyncio.ensure_future(
                self._remove_failed_members(self._tolerated_losses)
            )
        self._metrics.is_leader.set(1)
        logs.log_event('leadership_began', term=self.log.term)
        if not self.state.session_secret:
            asyncio.ensure_future(self._initialise())

    def _create_group_reconciler(
        self, current: leadership.Leadership
    ) -> groups.Reconciler:
        return groups.HttpGroupReconciler(
            self,
            current.detector,
            current.lease_table,
            self._zone,
            self._dialer,
            self._metrics,
        )

    async def _remove_failed_members(self, tolerated: int) -> None:
        """Remove failed members until cancelled; runs on the leader only."""
        tracker = membership.SilenceTracker()
        while True:
            await asyncio.sleep(MEMBER_CHECK_INTERVAL_S)
            now = clocks.boottime()
            silence_s = tracker.silence(
                now, self.log.members, self.log.peer_progress()
            )
            name = membership.surplus(self.log.members, silence_s, tolerated)
            if name is None:
                continue
            try:
                self.log.change_members(now, raft.Remove(name))
            except errors.RidgeError as exc:
                logs.log_event('member_kept', member=name, reason=exc.kind)
                continue
            self._wake.set()
            logs.log_event(
                'member_removed',
                member=name,
                silent_s=round(silence_s[name], 3),
                members=sorted(self.log.members),
            )

    def _leadership_of_current_term(self) -> leadership.Leadership | None:
        """Return the earlier leadership state of this term, None if none.

        A majority has just confirmed that this term is still current, so no
        other member led in between and the recorded grants are complete. A
        new Leadership would grant no rate shares for several seconds.
        """
        earlier = self._last_leadership
        if earlier is not None and earlier.term == self.log.term:
            return earlier
        return None

    def _end_leadership(self) -> None:
        if self.leadership is None:
            return
        self._last_leadership = self.leadership
        logs.log_event('leadership_ended', term=self.leadership.term)
        self._metrics.is_leader.set(0)
        self.leadership = None
        self.reconciler = None
        for task in (self._reconciler_task, self._membership_task):
            if task is not None:
                task.cancel()
        self._fail_pending_proposals()

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

        Raises NoLeaderError if this member doesn't lead and nothing was
        proposed, and LostLeadershipError if the outcome is unknown.
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
        self._pending_proposals[index] = PendingProposal(term, fut)
        self._wake.set()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await fut
        except TimeoutError:
            raise unknown_outcome_error()
        finally:
            self._pending_proposals.pop(index, None)

    # GroupStore, which the group reconciler uses.

    def view(self, group: str) -> model.GroupView | None:
        """Return the committed view of a group."""
        return self.state.groups.get(group)

    def revision(self) -> int:
        """Return the revision of all group views."""
        return self.state.groups_revision

    def names(self) -> list[str]:
        """Return the names of all groups."""
        return list(self.state.groups)

    def drained_zones(self) -> frozenset[str]:
        """Return the zones whose targets must not be used."""
        return self.state.tables.drained_zones()

    async def commit(self, view: model.GroupView) -> None:
        """Commit the view of a group."""
        reply = await self.propose(
            {
                'type': 'group',
                'group': grouprecords.as_json(view),
                'time': time.time(),
            }
        )
        if not reply.ok:
            raise errors.ConflictError(f'group {view.group!r}: {reply.body}')

    # Remote calls.

    async def log_message(self, message: typing.Any) -> bool:
        """Process a message of the replicated log; False if it was dropped."""
        if self.suspended:
            return False
        try:
            decoded = raftmessages.decode(message.body)
            if message.acknowledged:
                self._commit_reports.receive(message.acknowledged)
        except errors.BadRequestError:
            rpc.MALFORMED_FRAMES.inc()
            return False
        self.log.receive(clocks.boottime(), decoded)
        self._wake.set()
        return True

    async def renew(self, req: typing.Any) -> typing.Any:
        """Renew a lease, as the leader or by relaying to the leader."""
        if self.leadership is not None:
            reply = await self._renew_as_leader(req)
        else:
            self.acknowledged.report(
                codec.acknowledged_from_wire(req.acknowledged)
            )
            reply = await self._relay.renew(req)
            if reply.granted:
                self._add_own_changes(req, reply)
        reply.member_zone = self._zone
        return reply

    async def renew_batch(self, batch: typing.Any) -> typing.Any:
        """Process a batch of renewals that another member relayed."""
        replies, config_bytes = [], leadership.MAX_CONFIG_BYTES
        for req in batch.requests:
            reply = await self._renew_as_leader(req, True, config_bytes)
            config_bytes -= sum(map(len, reply.deltas or ()))
            replies.append(reply)
        return rpc.idl.RenewBatchReply(replies=replies)

    async def _renew_as_leader(
        self,
        req: typing.Any,
        relayed: bool = False,
        config_bytes: int = leadership.MAX_CONFIG_BYTES,
    ) -> typing.Any:
        now = clocks.boottime()
        current = self.leadership
        if current is None or not self.log.can_serve_as_leader(now):
            return relays.refusal(req, 'no_leader')
        if req.draining and not req.accounts and not req.observations:
            current.release(now, req)
            return relays.refusal(req, 'released')
        if current.is_retired(req):
            return relays.refusal(req, 'retired')
        if req.entry not in self.state.entries:
            await self._register_entry(req)
            return relays.refusal(req, 'registering', current.clock())
        if not current.may_grant(now, req):
            return relays.refusal(
                req, 'replies_lost', current.clock(), current.term
            )
        return current.renew(now, req, relayed, config_bytes)

    async def _register_entry(self, req: typing.Any) -> None:
        if req.entry in self._registering_entries:
            return
        self._registering_entries.add(req.entry)
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
            self._registering_entries.discard(req.entry)

    def _add_own_changes(self, req: typing.Any, reply: typing.Any) -> None:
        """Add configuration changes that the leader left out.

        It leaves out full copies, and changes that don't fit into the frame
        of a batch. This member has them too if it is recent enough.
        """
        if reply.deltas or reply.full or reply.revision <= req.revision:
            return
        if self.state.revision >= reply.revision:
            leadership.add_changes(reply, req.revision, self.state)
            reply.revision = self.state.revision

    def _leader_client(self) -> rpc.Client | None:
        leader = self.log.leader
        if leader is None or leader == self.name:
            return None
        address = self.address(leader)
        return None if address is None else self._pool.get(address)

    # Announcements.

    def record_announcement(self, now: float, info: model.TargetInfo) -> None:
        """Record the announcement of a target at the time ``now``."""
        self._announcements[info.group, info.server] = (now, info)
        if self.leadership is not None:
            self.leadership.record_announcement(now, info)

    async def register(self, announcement: directory.Announcement) -> bool:
        """Register a target that announced itself, forwarding to the leader.

        Returns True once the leader has processed the announcement; an
        outdated one counts as processed and changes nothing. Raises
        NoLeaderError if no leader has processed it.
        """
        current = self.leadership
        if current is not None:
            self.require_confirmed_leadership()
            current.register(clocks.boottime(), announcement)
            return True
        info = announcement.info
        body = {name: getattr(info, name) for name in info.__slots__}
        body |= {'born': announcement.born, 'sequence': announcement.sequence}
        return await self._send_to_leader('register', body)

    def is_confirmed_leader(self, current: leadership.Leadership) -> bool:
        """Return whether a leadership of this member is still in force."""
        return (
            self.leadership is current
            and current.term == self.log.term
            and self.log.can_serve_as_leader(clocks.boottime())
        )

    def require_confirmed_leadership(self) -> None:
        """Raise NoLeaderError unless this leader was recently confirmed."""
        if not self.log.can_serve_as_leader(clocks.boottime()):
            raise NoLeaderError(
                'no majority has recently confirmed this member as leader'
            )

    async def unregister(self, server: str) -> bool:
        """Remove a target that shut down, forwarding to the leader.

        Raises NoLeaderError if no leader has processed it.
        """
        if self.leadership is not None:
            self.require_confirmed_leadership()
            self.leadership.unregister(server)
            return True
        return await self._send_to_leader('unregister', {'server': server})

    async def _send_to_leader(
        self, kind: str, body: dict[str, typing.Any]
    ) -> bool:
        reply = await self._forward_command(
            kind, orjson.dumps(body), REGISTER_TIMEOUT_S
        )
        if not reply.ok:
            raise NoLeaderError(
                'the control leader did not process the request'
            )
        return True

    def leader_host(self) -> str | None:
        """Return the IP address of the leader, None if unknown."""
        if self.leadership is not None:
            return self.rpc_address.rpartition(':')[0]
        leader = self.log.leader
        address = self.address(leader) if leader is not None else None
        return None if address is None else address.rpartition(':')[0]

    # Commands.

    async def command(
        self, kind: str, body: bytes, deadline_s: float
    ) -> typing.Any:
        """Execute an operator command, or forward it to the leader."""
        if self.leadership is None:
            return await self._forward_command(kind, body, deadline_s)
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

    async def _forward_command(
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
                unknown_outcome_error()
                if exc.sent
                else NoLeaderError(exc.message)
            )
            return _command_error(error)


def _command_error(exc: errors.RidgeError) -> typing.Any:
    return rpc.idl.CommandReply(
        ok=False,
        leader='',
        body=orjson.dumps(exc.as_json()),
        status=exc.status,
    )
