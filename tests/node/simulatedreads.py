"""Entry processes that read from a simulated group with the real read path.

The state, lease renewal, probes, routing and sessions of these processes are
real; their connections to the targets and to control are simulated.
"""

import asyncio
import contextvars
import heapq
import itertools
import random
import types

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import connections
from sassafrasridge_node import metrics
from sassafrasridge_node import renewal
from sassafrasridge_node import rpc
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionstate
from sassafrasridge_testkit import virtualtime
from tests.node import simulatedgroup
from tests.node import test_sessionfront as front

ResultCode = statements.ResultCode
StatementKind = statements.StatementKind
TransactionState = statements.TransactionState
GROUP, NETWORK_DELAY_S = simulatedgroup.GROUP, simulatedgroup.NETWORK_DELAY_S

# Connections of each process to each target.
CONNECTIONS = 12
# Maximum age of the data by database, 0 where only the primary may serve.
MAX_AGES_S = {
    'primary': 0.0,
    'age1': 1.5,
    'age6': 6.0,
    'session': 2.5,
    'moving': 2.5,
}
# Timeouts of statements. The longest exceeds most changes of primary.
TIMEOUTS_S = {
    'primary': 0.8,
    'age1': 1.5,
    'age6': 3.0,
    'session': 0.8,
    'moving': 0.8,
}
CONSISTENCIES = {
    'primary': configuration.PRIMARY,
    'session': configuration.SESSION,
    'moving': configuration.SESSION,
}
# Group of a process that the route of the database 'moving' may lead to.
OTHER_GROUP = 'h'
TRANSACTIONS = (
    (StatementKind.BEGIN_READ, 'age6'),
    (StatementKind.BEGIN, 'primary'),
)
# Time between the statements of a transaction.
THINK_TIME_S = 0.3

# The process whose code runs, None for control, targets and clients.
_running_process = contextvars.ContextVar('running_process', default=None)


class _Freezable:
    """Hold a callback back while the process that it belongs to is frozen."""

    __slots__ = ()

    def _run(self):
        process = self._context.get(_running_process)
        if process is not None and process.frozen(self._loop.time()):
            self._loop.defer(process, self)
        else:
            super()._run()


class _Handle(_Freezable, asyncio.Handle):
    __slots__ = ()


class _TimerHandle(_Freezable, asyncio.TimerHandle):
    __slots__ = ()


class FreezingLoop(virtualtime.VirtualTimeLoop):
    """Pass time for frozen processes without running their code."""

    def __init__(self):
        super().__init__()
        self._deferred = {}

    def _call_soon(self, callback, args, context):
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """Call back at a time, or once the process is no longer frozen."""
        timer = _TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def defer(self, process, handle):
        if process not in self._deferred:
            self._deferred[process] = []
            self._thaw_later(process)
        self._deferred[process].append(handle)

    def _thaw_later(self, process):
        self.call_at(
            process.frozen_until,
            self._thaw,
            process,
            context=contextvars.Context(),
        )

    def _thaw(self, process):
        if process.frozen(self.time()):
            self._thaw_later(process)
        else:
            self.thaw(process)

    def thaw(self, process):
        self._ready.extend(self._deferred.pop(process, ()))


class Read:
    """Represent a read, or the reads of a transaction, of one client.

    ``own`` is the last commit of the same session, if any.
    """

    def __init__(self, database, started, own=None):
        self.database, self.started, self.own = database, started, own

    def required(self, acknowledged):
        """Return the commits that the log of the target must have."""
        before = self.started - MAX_AGES_S[self.database]
        found = [c for c in acknowledged if c.acknowledged_at < before]
        return found if self.own is None else [*found, self.own]


class _Write:
    """Represent a write that waits for a replica."""

    def __init__(self, answer):
        self.answer = answer
        self.commit = None


class Status(sessionpool.Command):
    """Ask for the status of a target."""


class ReadGroup(simulatedgroup.ReplicatedGroup):
    """Run statements on logs that replicas apply later than they receive.

    ``reads`` and ``commits`` are those of the statements, by id.
    ``stale_reads`` describes the reads on logs that lacked a commit.
    """

    def __init__(self, *args, **kwargs):
        self.reads, self.commits, self.stale_reads = {}, {}, []
        super().__init__(*args, **kwargs)

    def add(self, log, address, zone):
        target = super().add(log, address, zone)
        target.applied, target.apply_lag_s = list(log), 0.0
        target.request_delay_s = target.answer_delay_s = 0.0
        target.connections = set()
        return target

    def visible(self, target):
        """Return the log that statements at a target see."""
        return target.log if target.primary else target.applied

    # Replication.

    def _sync(self, target):
        super()._sync(target)
        if target.running and not target.primary:
            self._apply_later(target)

    def _apply_later(self, target):
        while target.applied and not target.applied[-1].is_in(target.log):
            target.applied.pop()
        log, born = list(target.log), target.born

        def apply():
            if target.born == born and log[-1].is_in(target.log):
                if len(log) > len(target.applied):
                    target.applied = log

        self.loop.call_later(target.apply_lag_s, apply)

    def lead(self, target, call):
        super().lead(target, call)
        if self.leading is target:
            self.acknowledged = [
                c for c in self.acknowledged if c.is_in(target.log)
            ]

    def demote(self, target):
        target.applied = list(target.log)
        super().demote(target)

    def crash(self, target):
        super().crash(target)
        self.break_connections(target)

    def end(self, target, **place):
        self.break_connections(target)
        return super().end(target, **place)

    def restart(self, target):
        target.applied = list(self.visible(target))
        super().restart(target)

    def lose_log(self, target):
        """Drop all but the first commit of a target that isn't running."""
        del target.log[1:]
        target.applied, target.term = list(target.log), 1
        if target is self.leading:
            target.term = max(t.term for t in self.targets.values())
        self.history.add(f'{target.name} loses its log')

    def _source(self, target):
        # A primary that lost its log has nothing to send for some time.
        source = super()._source(target)
        if source is None or len(source.log) >= len(target.log):
            return source
        return None if source.log[-1].is_in(target.log) else source

    def break_connections(self, target):
        for conn in target.connections:
            self.loop.call_later(
                NETWORK_DELAY_S, conn.lost, context=conn.context
            )
        target.connections = set()

    # Statements.

    def run(self, conn, commands, answer):
        """Run the commands of a connection and answer the last one."""
        target = conn.target
        if conn not in target.connections:
            return
        for command in commands:
            code = self._run_command(conn, target, command, answer)
            if code is not ResultCode.DONE:
                break
        if code is not None:
            answer(code)

    def _run_command(self, conn, target, command, answer):
        """Return the result, None for a write, which is answered later."""
        floor = getattr(command, 'floor', None)
        if floor and self.visible(target)[-1].position < floor:
            return ResultCode.BEHIND
        if isinstance(command, sessionpool.Begin):
            if not command.read_only and not target.primary:
                return ResultCode.NOT_PRIMARY
            conn.transaction = command
        elif isinstance(command, sessionpool.Rollback):
            conn.transaction = None
        elif isinstance(command, sessionpool.Forward):
            return self._run_statement(conn, target, command.statement, answer)
        return ResultCode.DONE

    def _run_statement(self, conn, target, stmt, answer):
        if stmt.kind is StatementKind.COMMIT:
            conn.transaction = None
        elif stmt.kind is StatementKind.READ:
            tx = conn.transaction
            if tx is not None and not tx.read_only and not target.primary:
                return ResultCode.NOT_PRIMARY
            self._check_read(target, stmt.id)
        elif not target.primary:
            return ResultCode.NOT_PRIMARY
        else:
            write = _Write(lambda: answer(ResultCode.DONE))
            self.commit(target, write)
            self.commits[stmt.id] = write.commit
            return None
        return ResultCode.DONE

    def _check_read(self, target, stmt_id):
        read, log = self.reads[stmt_id], self.visible(target)
        lacking = [
            commit
            for commit in read.required(self.acknowledged)
            if not commit.is_in(log)
        ]
        if lacking:
            age_s = self.loop.time() - read.started
            text = (
                f'{stmt_id} ({read.database}, begun {age_s:.3f} before) ran'
                f' at {target.name} (primary={target.primary}, term'
                f' {target.term}, log at {log[-1]}), which lacks {lacking}'
            )
            self.history.add(f'STALE {text}')
            self.stale_reads.append(text)


class OtherGroup(ReadGroup):
    """Commit at a single target; reads aren't checked."""

    def __init__(self, loop, links, history, entry_name):
        super().__init__(loop, links, history, count=1)
        target = self.leading
        target.name = f'{OTHER_GROUP}-{entry_name}'
        target.address = '10.0.9.0:1'
        self.targets = {target.name: target}
        self.view = model.GroupView(
            OTHER_GROUP, 1, target.name, {target.name: target.address}
        )
        self.info = model.TargetInfo(
            target.name, OTHER_GROUP, '', target.address, '', 0, 0, 5, 0
        )

    def commit(self, target, write):
        super().commit(target, write)
        target.waiting.remove(write)
        write.answer()

    def _check_read(self, target, stmt_id):
        return


class SimulatedConnection(sessionpool.SessionConnection):
    """Connect an entry process to one incarnation of a target."""

    def __init__(self, entry, group, target, account):
        super().__init__(account)
        self.entry, self.target, self.group = entry, target, group
        self.rtt_s = 2 * NETWORK_DELAY_S
        self.transaction = None
        self.context = entry.process.context
        self._fut = None
        target.connections.add(self)

    def _connected(self):
        return self.group.links.up(self.entry.name, self.target.name)

    async def run(self, commands, timeout_s):
        if self.closed:
            raise connections.ConnectionLostError('closed', sent=False)
        loop, target = self.group.loop, self.target
        fut = self._fut = loop.create_future()
        self.answer_pending = True

        def receive(answer):
            if self._connected() and not fut.done():
                fut.set_result(answer)

        def answer(code):
            # The position is that of the log when the statement has run.
            loop.call_later(
                NETWORK_DELAY_S + target.answer_delay_s,
                receive,
                self._answer(code),
                context=self.context,
            )

        def arrive():
            if self._connected():
                self.group.run(self, commands, answer)

        loop.call_later(
            NETWORK_DELAY_S + target.request_delay_s,
            arrive,
            context=contextvars.Context(),
        )
        try:
            return await connections.wait_for_answer(
                timeout_s, fut, target.name, self.close
            )
        finally:
            self.answer_pending = False

    def _answer(self, code):
        state = TransactionState.IDLE
        if self.transaction is not None:
            done = code is ResultCode.DONE
            state = TransactionState.OPEN if done else TransactionState.BROKEN
        position = self.group.visible(self.target)[-1].position
        return sessionpool.TargetAnswer(
            code, [self.target.received], 'signed', '', state, position
        )

    async def status(self, timeout_s):
        answer = await self.run([Status()], timeout_s)
        self.position, (self.received,) = answer.position, answer.rows
        return True

    def lost(self):
        """Report that the target closed the connection."""
        if not self.closed:
            self.broke = True
            self.close()
            self.on_close()

    def close(self):
        self.closed = True
        self.target.connections.discard(self)
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(
                connections.ConnectionLostError('closed', sent=True)
            )


class Process(front.EntryProcess):
    """Run one incarnation of an entry process and its clients."""

    counters = metrics.Metrics()
    numbers = itertools.count(1)

    def __init__(self, entry):
        self.entry, self.group = entry, entry.group
        self.moved = False
        self.frozen_until = float('-inf')
        self.context = contextvars.Context()
        self.context.run(_running_process.set, self)
        self.state = sessionstate.SessionEntryState(
            entry.name,
            'z',
            simulatedgroup.TIMES,
            connections.Dialer(),
            self.counters,
            learned_limits=entry.learned_limits,
        )
        self.state.dialer = self
        self.configure(None)
        rng = random.Random(1)
        self.service = sessionfront.SessionService(
            self.state,
            self.counters,
            rng,
            admission.Admitter(self.state),
            sessionrelay.StatementRelay(self.state, None, rng),
        )
        self.renewer = renewal.LeaseRenewer(self.state, self, ['m'], 1, '')
        self.awaited_renewal = None
        self.tasks = set()
        self.start(self.renewer.run())
        self.start(renewal.TargetProber(self.state).run())

    def frozen(self, now):
        return now < self.frozen_until

    def start(self, work):
        """Run a part of the process, or a client of it."""
        task = self.group.loop.create_task(work, context=self.context.copy())
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.group.loop.call_exception_handler(
                {'message': 'a task failed', 'exception': task.exception()}
            )

    def stop(self):
        self.frozen_until = float('-inf')
        self.group.loop.thaw(self)
        for task in list(self.tasks):
            task.cancel()
        for backend in self.state.backends.values():
            backend.close()

    def services(self):
        return [
            configuration.Service(name, name, 5, 40, 'adaptive')
            for name in (GROUP, OTHER_GROUP)
        ]

    def routes(self, consistency):
        return [
            configuration.Route(
                name,
                OTHER_GROUP if name == 'moving' and self.moved else GROUP,
                False,
                False,
                0,
                CONSISTENCIES.get(name, configuration.BOUNDED_AGE),
                max_age_s,
                TIMEOUTS_S[name],
                TIMEOUTS_S[name],
            )
            for name, max_age_s in MAX_AGES_S.items()
        ]

    def move_route(self, moved):
        """Apply a configuration with the route to the other group or back."""
        self.moved = moved
        self.configure(None)

    # Connections to control, in place of rpc.ClientPool.

    def get(self, member):
        return self

    async def call(self, method, req, timeout_s):
        """Renew the lease with the simulated control."""
        self.awaited_renewal = req, self.group.loop.create_future()
        self.entry.send_renewal(req)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.awaited_renewal[1]
        except TimeoutError:
            raise rpc.RpcError('no answer', sent=True)

    def refused(self, sequence):
        req, fut = self.awaited_renewal
        if req.sequence == sequence and not fut.done():
            fut.set_result(
                types.SimpleNamespace(
                    granted=False,
                    reason='replies_lost',
                    sequence=sequence,
                    leader_clock=None,
                    leader_term=1,
                )
            )

    def renewed(self, sequence, revision, view, infos, complete):
        req, fut = self.awaited_renewal
        if req.sequence != sequence or fut.done():
            return
        fut.set_result(
            types.SimpleNamespace(
                granted=True,
                leader_term=1,
                sequence=sequence,
                revision=0,
                deltas=None,
                full=None,
                shares=None,
                entries=None,
                members=None,
                member_zone='',
                leader_clock=None,
                view_revision=revision,
                groups=[
                    codec.group_to_wire(v)
                    for v in (view, self.entry.other.view)
                ],
                targets=[
                    codec.target_to_wire(info)
                    for info in (*infos, self.entry.other.info)
                ],
                targets_revision=0,
                targets_complete=complete,
                connections=[
                    types.SimpleNamespace(
                        group=obs.group,
                        server=obs.server,
                        base=obs.limit_version,
                        version=obs.limit_version,
                        connections=CONNECTIONS,
                        in_flight=CONNECTIONS,
                        rate=None,
                    )
                    for obs in req.observations
                ],
            )
        )

    # Connections to targets.

    async def open(self, info, account, timeout_s):
        await asyncio.sleep(2 * NETWORK_DELAY_S)
        group = self.group
        if info.group == OTHER_GROUP:
            group = self.entry.other
        target = next(
            (t for t in group.running() if t.address == info.address), None
        )
        if target is None:
            raise connections.ConnectionLostError(
                'refused', sent=False, refused=True
            )
        if not self.group.links.up(self.entry.name, target.name):
            await asyncio.sleep(timeout_s)
            raise connections.ConnectionLostError('no answer', sent=False)
        if target.name != info.server:
            raise sessionpool.TargetRefusedError(ResultCode.WRONG_SERVER)
        return SimulatedConnection(self.entry, group, target, account)

    # Clients.

    async def _execute(self, session, kind, started, read=None):
        stmt_id = f'{self.entry.name}-{next(self.numbers)}'
        if read is not None:
            self.group.reads[stmt_id] = read
        stmt = statements.Statement(kind, stmt_id, f'{kind.value} x')
        waited_s = clocks.boottime() - started
        return stmt_id, await session.execute(stmt, waited_s)

    async def read(self, database, started):
        session = self.session(database)
        read = Read(database, started)
        await self._execute(session, StatementKind.READ, started, read)
        self.service.remove(session)

    def acknowledge(self, commit, position):
        """Record that a client was told of a commit."""
        primary = self.state.primary(GROUP)
        confirmed_by = next(
            (
                backend.info.server
                for backend in self.state.members(GROUP)
                if backend is not primary and backend.has_received(position)
            ),
            None,
        )
        self.group.acknowledge(commit, self.entry.holder, confirmed_by)

    async def write(self, started):
        """Write, and read in the same session."""
        session = self.session('session')
        stmt_id, result = await self._execute(
            session, StatementKind.WRITE, started
        )
        if result.failure is None:
            commit = self.group.commits[stmt_id]
            self.acknowledge(commit, result.position)
            now = clocks.boottime()
            read = Read('session', now, commit)
            await self._execute(session, StatementKind.READ, now, read)
        self.service.remove(session)

    async def write_across_move(self, started):
        """Write, write in the other group, return and read the first write.

        The routes of other clients of the process may move at the same time.
        """
        session = self.session('moving')
        stmt_id, result = await self._execute(
            session, StatementKind.WRITE, started
        )
        commit = self.group.commits.get(stmt_id)
        if result.failure is None and commit is not None:
            self.acknowledge(commit, result.position)
            self.move_route(True)
            await self._execute(
                session, StatementKind.WRITE, clocks.boottime()
            )
            self.move_route(False)
            now = clocks.boottime()
            read = Read('moving', now, commit)
            await self._execute(session, StatementKind.READ, now, read)
        self.service.remove(session)

    async def transact(self, database, begin, started):
        """Read twice in a transaction."""
        session = self.session(database)
        read = Read(database, started)
        for kind in (
            begin,
            StatementKind.READ,
            StatementKind.READ,
            StatementKind.COMMIT,
        ):
            now = max(started, clocks.boottime())
            _, result = await self._execute(session, kind, now, read)
            if result.failure is not None:
                break
            await asyncio.sleep(THINK_TIME_S)
        self.service.remove(session)

    async def serve(self, work, *args):
        try:
            await work(*args)
        except sessionbase.SessionError:
            # Nothing is in force at this process yet, or any more.
            return


class ReadingEntry(simulatedgroup.Entry):
    """Simulate the clients of an entry process whose read path is real."""

    def __init__(self, name, group, control):
        self.databases = itertools.cycle(
            ('age6', 'session', 'primary', 'age1')
        )
        self.transactions = itertools.cycle(TRANSACTIONS)
        # Processes with either kind of limits choose targets differently.
        self.learned_limits = name == 'e2'
        self.other = OtherGroup(group.loop, group.links, group.history, name)
        super().__init__(name, group, control)

    def start(self):
        # Leader whose reply arrived last.
        self.heard_leader = None
        self.holder = simulatedgroup.Holder(self.name, next(self.generation))
        self.running = True
        self.process = Process(self)

    def kill(self):
        super().kill()
        self.process.stop()

    def freeze(self, seconds):
        """Stop the process for some time, during which its clocks run."""
        self.cut_off()
        until = self.loop.time() + seconds
        self.process.frozen_until = max(self.process.frozen_until, until)

    def send_renewal(self, req):
        if self._reaches_control():
            positions = codec.acknowledged_from_wire(req.acknowledged)
            counts = codec.commit_counts_from_wire(req.acknowledged)
            self.loop.call_later(
                NETWORK_DELAY_S,
                self.control.renew,
                self,
                self.loop.time(),
                req.sequence,
                req.view_revision,
                positions.get(GROUP),
                counts.get(GROUP),
                lambda now: {
                    obs.server: codec.observation_from_wire(now, obs)
                    for obs in req.observations
                    if obs.group == GROUP
                },
                self.heard_leader,
                req.received_sequence,
                context=contextvars.Context(),
            )

    def write_across_move(self):
        """Let a client write in two groups and read its first write."""
        if self.running:
            work = self.process.write_across_move
            self.process.start(self.process.serve(work, self.loop.time()))

    def refused(self, sequence):
        if self._reaches_control() and self.receives(is_grant=False):
            self.loop.call_soon(
                self.process.refused, sequence, context=self.process.context
            )

    def granted(self, sequence, revision, view, leader):
        if not self._reaches_control() or not self.receives(is_grant=True):
            return
        self.heard_leader = leader
        self.holder.cut_off_at = float('inf')
        self.loop.call_soon(
            self.process.renewed,
            sequence,
            revision,
            view,
            list(leader.directory.targets()),
            leader.directory.complete(self.loop.time()),
            context=self.process.context,
        )

    def write(self):
        """Let clients write, read and run transactions."""
        if not self.running:
            return
        now, process = self.loop.time(), self.process
        begin, database = next(self.transactions)
        for work in (
            process.serve(process.write, now),
            process.serve(process.read, next(self.databases), now),
            process.serve(process.read, next(self.databases), now),
            process.serve(process.transact, database, begin, now),
        ):
            process.start(work)
