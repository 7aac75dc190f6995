"""Stateful test of the outcomes of writes and commits despite lost answers."""

import asyncio
import random
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrasridge_core import circuits
from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import sessions
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import metrics
from sassafrasridge_node import transactions
from sassafrasridge_node import writes
from sassafrasridge_testkit import virtualtime

GROUP = 'g'
NAMES = ('a', 'b', 'c')
BEHAVIOURS = ('ok', 'ok', 'refused', 'lost', 'late', 'slow', 'twice', 'failed')


class Record:
    """Represent one entry of a server's log."""

    def __init__(self, term, request, tag):
        self.term, self.tag = term, tag
        self.id, self.digest = request['id'], request['digest']


class Server:
    """Represent one server of the simulated group."""

    def __init__(self, name):
        self.name = name
        self.term = self.last_term = 1
        self.role = 'replica'
        self.log = []

    def promotion_key(self):
        return self.last_term, len(self.log)


class Group:
    """Simulate a group: execute and replicate writes, change the primary."""

    def __init__(self):
        self.servers = {name: Server(name) for name in NAMES}
        self.primary = self.servers['a']
        self.primary.role = 'primary'
        self.term = 1
        self.connected = set(NAMES)

    def replicate(self, source):
        for server in self.servers.values():
            if server is source or server.term != source.term:
                continue
            if server.name in self.connected and source.name in self.connected:
                self.copy_log(server, source)

    def copy_log(self, server, source):
        server.role = 'replica'
        server.last_term = source.last_term
        server.log = list(source.log)

    def majority(self, source):
        """Return the number of log entries that a majority holds."""
        replicated = 0
        for index in range(len(source.log)):
            copies = sum(
                len(server.log) > index
                and server.log[index] is source.log[index]
                for server in self.servers.values()
            )
            replicated = index + 1 if copies >= 2 else replicated
        return replicated

    def execute(self, server, body, tag, fails=False):
        if body['term'] != server.term:
            return error_answer('wrong_term')
        if server.role != 'primary':
            return error_answer('not_primary')
        request = body['request']
        recorded_index = next(
            (n for n, r in enumerate(server.log) if r.id == request['id']),
            None,
        )
        if recorded_index is not None:
            if server.log[recorded_index].digest != request['digest']:
                return error_answer('request_conflict')
        elif fails:
            return error_answer('statement_failed')
        else:
            server.log.append(Record(server.term, request, tag))
        self.replicate(server)
        position = (
            len(server.log) if recorded_index is None else recorded_index + 1
        )
        return connections.Answer(
            200,
            {
                'term': server.term,
                'position': position,
                'majority_position': self.majority(server),
                'role': 'primary',
                'results': [],
                'replayed': recorded_index is not None,
            },
        )

    def promote(self, fenced):
        """Fence a majority and promote its most up-to-date server."""
        self.term += 1
        for name in fenced:
            self.servers[name].term = self.term
            self.servers[name].role = 'replica'
        self.primary = max(
            (self.servers[name] for name in sorted(fenced)),
            key=Server.promotion_key,
        )
        self.primary.role = 'primary'
        self.primary.last_term = self.term

    def heal(self, name):
        """Make a server follow the current primary."""
        server = self.servers[name]
        if server is not self.primary:
            server.term = self.term
            self.copy_log(server, self.primary)


def error_answer(kind):
    return connections.Answer(409, {'error': {'kind': kind}})


class Connection:
    """Simulate a connection; ``tag`` identifies its transaction."""

    def __init__(self):
        self.closed = False
        self.tag = None

    def close(self):
        self.closed = True


class Backend:
    """Pass calls to a simulated server, each with its own behaviour."""

    def __init__(self, group, server, behaviours):
        self.group, self.server, self.behaviours = group, server, behaviours
        self.info = types.SimpleNamespace(
            group='g', server=server.name, zone='z'
        )
        self.drained = False
        self.log_term = self.applied = 0
        self.circuit = circuits.Circuit()
        self.in_flight = 0
        self.pending = set()

    async def connection(self, account, deadline, *, primary=False):
        await asyncio.sleep(0)
        self.in_flight += 1
        return Connection()

    def release(self, conn, *, clean):
        self.in_flight -= 1
        conn.close()

    def release_slot(self):
        self.in_flight -= 1

    def give_back(self, conn):
        conn.close()

    def update_from_answer(self, answer):
        assert answer.status

    def on_primary_replaced(self):
        for fut in self.pending:
            if not fut.done():
                fut.set_exception(connection_lost_error())

    def run(self, conn, body, fails=False):
        if body['tx'] in ('begin', 'in'):
            return connections.Answer(200, {'results': []})
        tag = conn.tag
        if body['statements']:
            tag = body['statements'][0]['sql']
        fails = fails or tag == transactions.INVALID_COMMIT_SQL
        if body['request']['digest'] == writes.ABANDONED_DIGEST:
            tag = None
        return self.group.execute(self.server, body, tag, fails)

    async def call(self, conn, body, timeout_s):
        assert not conn.closed, 'use of a closed connection'
        behaviour, delay = (
            self.behaviours.pop(0) if self.behaviours else ('ok', 0.01)
        )
        if body['tx'] in ('begin', 'in'):
            conn.tag = body['statements'][0]['sql']
            behaviour = 'ok'
        loop = asyncio.get_running_loop()
        if behaviour == 'refused':
            conn.close()
            raise connections.ConnectionLostError('', sent=False)
        if behaviour in ('lost', 'late'):
            wait = 0.0 if behaviour == 'lost' else delay
            loop.call_later(wait, self.run, conn, body)
            await asyncio.sleep(0)
            conn.close()
            raise connection_lost_error()
        if behaviour == 'twice':
            # The connection delivers the first answer; the duplicate request
            # runs later.
            loop.call_later(0.01 + delay, self.run, conn, body)
        fut = loop.create_future()
        self.pending.add(fut)

        def answer():
            result = self.run(conn, body, behaviour == 'failed')
            if not fut.done():
                fut.set_result(result)

        loop.call_later(delay if behaviour == 'slow' else 0.01, answer)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            conn.close()
            raise connection_lost_error()
        finally:
            self.pending.discard(fut)


def connection_lost_error():
    return connections.ConnectionLostError('', sent=True)


class Call:
    """Track a caller's request and the outcome reported for it."""

    def __init__(self, tag, request_id):
        self.tag, self.request_id = tag, request_id
        self.outcome = None

    async def track(self, reply):
        try:
            await reply
            self.outcome = errors.Outcome.DONE
        except errors.RidgeError as exc:
            self.outcome = exc.outcome


class OutcomesMachine(stateful.RuleBasedStateMachine):
    """Guards against losing a `done` request and running a `not_run` one.

    Also guards against running a request twice (G9, G10, G14).
    """

    def __init__(self):
        super().__init__()
        self.loop = virtualtime.VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.loop_errors = []
        self.loop.set_exception_handler(
            lambda _, c: self.loop_errors.append(c)
        )
        self.boottime, clocks.boottime = clocks.boottime, self.loop.time
        self.group = Group()
        self.behaviours = []
        counters = metrics.Metrics()
        self.state = entry.EntryState(
            'e', 'z', leases.LeaseTimes(), connections.Dialer(), counters
        )
        self.state._signer = sessions.TokenSigner(b'x' * 32)
        self.state.backends = {
            (GROUP, s.name): Backend(self.group, s, self.behaviours)
            for s in self.group.servers.values()
        }
        self.sequence = 0
        self.lease_lost = False
        self.writer = writes.Writer(self.state, counters, random.Random(1))
        self.transactions = transactions.Transactions(self.state, self.writer)
        self.adm = types.SimpleNamespace(
            account='shop',
            group=GROUP,
            regions=None,
            recheck=lambda: None,
        )
        self.calls = []
        self.tasks = []
        self.renew()

    def renew(self):
        self.lease_lost = False
        self.sequence += 1
        self.state.lease.sent(self.loop.time(), self.sequence)
        self.state.lease.granted(self.sequence)
        self.set_view(self.group.term, self.group.primary.name)

    def set_view(self, term, primary):
        """Set the entry process's view of the group."""
        self.state.groups[GROUP] = model.GroupView(
            GROUP, term, primary, dict.fromkeys(NAMES, ''), {}, primary is None
        )
        changed, self.state.view_changed = (
            self.state.view_changed,
            asyncio.Event(),
        )
        changed.set()

    def request(self, call, kind, deadline_s, **options):
        return front.DataRequest(
            kind,
            service='s',
            statements=[{'sql': call.tag}] if kind != 'commit' else [],
            request_id=call.request_id,
            digest=f'digest of {call.request_id}',
            deadline=self.loop.time() + deadline_s,
            **options,
        )

    def start(self, call, coroutine):
        self.calls.append(call)
        self.tasks.append(self.loop.create_task(call.track(coroutine)))

    @stateful.rule(
        behaviours=st.lists(
            st.tuples(st.sampled_from(BEHAVIOURS), st.floats(0.01, 4)),
            min_size=1,
            max_size=4,
        )
    )
    def set_behaviours(self, behaviours):
        self.behaviours[:] = behaviours

    @stateful.rule(
        request_id=st.sampled_from([None, 'x', 'y']),
        deadline_s=st.floats(0.05, 3),
    )
    def write(self, request_id, deadline_s):
        call = Call(f'call {len(self.calls)}', request_id)
        req = self.request(call, 'statements', deadline_s)
        self.start(call, self.writer.write(req, self.adm, {}))

    @stateful.rule(deadline_s=st.floats(0.05, 3), resend=st.booleans())
    def commit_transaction(self, deadline_s, resend):
        call = Call(f'call {len(self.calls)}', None)
        self.start(call, self.run_transaction(call, deadline_s, resend))

    async def run_transaction(self, call, deadline_s, resend):
        begin = self.request(call, 'begin', deadline_s)
        reply = await self.transactions.begin(begin, self.adm)
        name = reply.body['transaction']
        commit = self.request(call, 'commit', deadline_s, transaction=name)
        try:
            return await self.transactions.commit(commit, self.adm, {})
        except errors.OutcomeUnknownError:
            if not resend:
                raise
        commit = self.request(call, 'commit', deadline_s, transaction=name)
        return await self.transactions.commit(commit, self.adm, {})

    @stateful.rule(seconds=st.sampled_from([0.0, 0.005, 0.02, 0.2, 1.0]))
    def advance(self, seconds):
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            if not self.lease_lost:
                self.renew_lease()
            self.loop.advance(min(0.3, max(0.001, end - self.loop.time())))

    def renew_lease(self):
        self.sequence += 1
        self.state.lease.sent(self.loop.time(), self.sequence)
        self.state.lease.granted(self.sequence)

    @stateful.rule(connected=st.sets(st.sampled_from(NAMES)))
    def partition(self, connected):
        self.group.connected = connected

    @stateful.rule(
        fenced=st.sets(st.sampled_from(NAMES), min_size=2),
        announced=st.booleans(),
        with_delay=st.booleans(),
    )
    def promote(self, fenced, announced, with_delay):
        if announced:
            before = self.group.primary.name
            self.set_view(self.group.term + 1, None)
            self.state.backends[GROUP, before].on_primary_replaced()
            if with_delay:
                self.loop.advance(0.03)
        else:
            # Control waits until the lease has expired.
            self.state.lease.end()
            self.lease_lost = True
        self.group.promote(fenced)
        if announced:
            self.set_view(self.group.term, self.group.primary.name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def heal(self, name):
        self.group.heal(name)

    @stateful.rule()
    def reconnect(self):
        self.renew()

    @stateful.invariant()
    def no_id_twice_in_a_log(self):
        for server in self.group.servers.values():
            ids = [record.id for record in server.log]
            assert len(ids) == len(set(ids))

    def teardown(self):
        try:
            self.loop.finish(self.tasks)
            self.loop.advance(20)
            self.check()
        finally:
            clocks.boottime = self.boottime
            asyncio.set_event_loop(None)
            self.loop.close()

    def check(self):
        assert not self.loop_errors, self.loop_errors
        self.group.promote(NAMES)
        ids = [record.id for record in self.group.primary.log]
        tags = [r.tag for r in self.group.primary.log if r.tag is not None]
        assert len(tags) == len(set(tags)), 'a request ran twice'
        for task in self.tasks:
            task.result()
        for call in self.calls:
            if call.outcome is errors.Outcome.NOT_RUN:
                assert call.tag not in tags, f'{call.tag} ran'
            elif call.outcome is errors.Outcome.DONE:
                kept = call.request_id or call.tag
                assert kept in ids + tags, f'{call.tag} was lost'
        for backend in self.state.backends.values():
            assert backend.in_flight == 0
            assert not backend.pending


TestOutcomesMachine = OutcomesMachine.TestCase
TestOutcomesMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=25
)


class TestTraces:
    """Minimal examples of faults found by the state machine."""

    def test_late_try_after_a_failed_statement(self):
        """Guards against "not run" for a write whose first try runs late."""
        machine = OutcomesMachine()
        machine.set_behaviours([('late', 1.0), ('failed', 1.0)])
        machine.write(None, 3.0)
        machine.teardown()

    def test_commit_on_a_replaced_primary(self):
        """Guards against `done` for a commit lost with its primary."""
        machine = OutcomesMachine()
        machine.partition(set())
        machine.commit_transaction(3.0, False)
        machine.advance(0.2)
        machine.partition(set(NAMES))
        machine.promote({'b', 'c'}, announced=True, with_delay=False)
        machine.heal('c')
        machine.advance(1.0)
        machine.teardown()
