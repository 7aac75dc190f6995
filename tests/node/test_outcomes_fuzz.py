"""Stateful test of outcomes: writes and commits through lost answers."""

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
FATES = ('ok', 'ok', 'refused', 'lost', 'late', 'slow', 'twice', 'failed')


class Record:
    """Hold one entry of a server's log."""

    def __init__(self, term, request, tag):
        self.term, self.tag = term, tag
        self.id, self.digest = request['id'], request['digest']


class Server:
    """Hold one server of the fake group."""

    def __init__(self, name):
        self.name = name
        self.term = self.last_term = 1
        self.role = 'replica'
        self.log = []

    def rank(self):
        return self.last_term, len(self.log)


class Group:
    """Execute and replicate writes, and change the primary."""

    def __init__(self):
        self.servers = {name: Server(name) for name in NAMES}
        self.primary = self.servers['a']
        self.primary.role = 'primary'
        self.term = 1
        self.reach = set(NAMES)

    def replicate(self, source):
        for server in self.servers.values():
            if server is source or server.term != source.term:
                continue
            if server.name in self.reach and source.name in self.reach:
                self.follow(server, source)

    def follow(self, server, source):
        server.role = 'replica'
        server.last_term = source.last_term
        server.log = list(source.log)

    def majority(self, source):
        """Return how many entries of a log a majority holds."""
        held = 0
        for index in range(len(source.log)):
            copies = sum(
                len(server.log) > index
                and server.log[index] is source.log[index]
                for server in self.servers.values()
            )
            held = index + 1 if copies >= 2 else held
        return held

    def execute(self, server, body, tag, fails=False):
        if body['term'] != server.term:
            return refusal('wrong_term')
        if server.role != 'primary':
            return refusal('not_primary')
        request = body['request']
        place = next(
            (n for n, r in enumerate(server.log) if r.id == request['id']),
            None,
        )
        if place is not None:
            if server.log[place].digest != request['digest']:
                return refusal('request_conflict')
        elif fails:
            return refusal('statement_failed')
        else:
            server.log.append(Record(server.term, request, tag))
        self.replicate(server)
        position = len(server.log) if place is None else place + 1
        return connections.Answer(
            200,
            {
                'term': server.term,
                'position': position,
                'majority_position': self.majority(server),
                'role': 'primary',
                'results': [],
                'replayed': place is not None,
            },
        )

    def promote(self, fenced):
        """Fence a majority and make its best server primary."""
        self.term += 1
        for name in fenced:
            self.servers[name].term = self.term
            self.servers[name].role = 'replica'
        self.primary = max(
            (self.servers[name] for name in sorted(fenced)), key=Server.rank
        )
        self.primary.role = 'primary'
        self.primary.last_term = self.term

    def heal(self, name):
        """Let a server follow the current primary."""
        server = self.servers[name]
        if server is not self.primary:
            server.term = self.term
            self.follow(server, self.primary)


def refusal(kind):
    return connections.Answer(409, {'error': {'kind': kind}})


class Connection:
    """Stand for a connection; remembers what it runs."""

    def __init__(self):
        self.closed = False
        self.tag = None

    def close(self):
        self.closed = True


class Backend:
    """Carry calls to a server, each with a fate of its own."""

    def __init__(self, group, server, fates):
        self.group, self.server, self.fates = group, server, fates
        self.info = types.SimpleNamespace(group='g', server=server.name)
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

    def detach(self):
        self.in_flight -= 1

    def give_back(self, conn):
        conn.close()

    def learn_answer(self, answer):
        assert answer.status

    def replaced(self):
        for fut in self.pending:
            if not fut.done():
                fut.set_exception(lost())

    def run(self, conn, body, fails=False):
        if body['tx'] in ('begin', 'in'):
            return connections.Answer(200, {'results': []})
        tag = conn.tag
        if body['statements']:
            tag = body['statements'][0]['sql']
        fails = fails or tag == transactions.NOT_RECORDED
        if body['request']['digest'] == writes.ABANDONED:
            tag = None
        return self.group.execute(self.server, body, tag, fails)

    async def call(self, conn, body, timeout_s):
        assert not conn.closed, 'a closed connection was used'
        fate, delay = self.fates.pop(0) if self.fates else ('ok', 0.01)
        if body['tx'] in ('begin', 'in'):
            conn.tag = body['statements'][0]['sql']
            fate = 'ok'
        loop = asyncio.get_running_loop()
        if fate == 'refused':
            conn.close()
            raise connections.ConnectionLostError('', sent=False)
        if fate in ('lost', 'late'):
            wait = 0.0 if fate == 'lost' else delay
            loop.call_later(wait, self.run, conn, body)
            await asyncio.sleep(0)
            conn.close()
            raise lost()
        if fate == 'twice':
            # A connection delivers the first answer; the copy runs later.
            loop.call_later(0.01 + delay, self.run, conn, body)
        fut = loop.create_future()
        self.pending.add(fut)

        def answer():
            result = self.run(conn, body, fate == 'failed')
            if not fut.done():
                fut.set_result(result)

        loop.call_later(delay if fate == 'slow' else 0.01, answer)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            conn.close()
            raise lost()
        finally:
            self.pending.discard(fut)


def lost():
    return connections.ConnectionLostError('', sent=True)


class Call:
    """Hold a caller's request and its outcome."""

    def __init__(self, tag, request_id):
        self.tag, self.request_id = tag, request_id
        self.outcome = None

    async def follow(self, reply):
        try:
            await reply
            self.outcome = errors.Outcome.DONE
        except errors.RidgeError as exc:
            self.outcome = exc.outcome


class OutcomesMachine(stateful.RuleBasedStateMachine):
    """Guards against a `done` that is lost and a `not_run` that ran.

    Also against a request that ran twice (G9, G10, G14).
    """

    def __init__(self):
        super().__init__()
        self.loop = virtualtime.VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.faults = []
        self.loop.set_exception_handler(lambda _, c: self.faults.append(c))
        self.boottime, clocks.boottime = clocks.boottime, self.loop.time
        self.group = Group()
        self.fates = []
        counters = metrics.Metrics()
        self.state = entry.EntryState(
            'e', 'z', leases.LeaseTimes(), connections.Dialer(), counters
        )
        self.state._signer = sessions.TokenSigner(b'x' * 32)
        self.state.backends = {
            (GROUP, s.name): Backend(self.group, s, self.fates)
            for s in self.group.servers.values()
        }
        self.sequence = 0
        self.lease_ends = False
        self.writer = writes.Writer(self.state, counters, random.Random(1))
        self.transactions = transactions.Transactions(self.state, self.writer)
        self.adm = types.SimpleNamespace(
            account='shop', group=GROUP, recheck=lambda: None
        )
        self.calls = []
        self.tasks = []
        self.renew()

    def renew(self):
        self.lease_ends = False
        self.sequence += 1
        self.state.lease.sent(self.loop.time(), self.sequence)
        self.state.lease.granted(self.sequence)
        self.show(self.group.term, self.group.primary.name)

    def show(self, term, primary):
        """Tell the entry process the view of the group."""
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
        self.tasks.append(self.loop.create_task(call.follow(coroutine)))

    @stateful.rule(
        fates=st.lists(
            st.tuples(st.sampled_from(FATES), st.floats(0.01, 4)),
            min_size=1,
            max_size=4,
        )
    )
    def set_fates(self, fates):
        self.fates[:] = fates

    @stateful.rule(
        request_id=st.sampled_from([None, 'x', 'y']),
        deadline_s=st.floats(0.05, 3),
    )
    def write(self, request_id, deadline_s):
        call = Call(f'call {len(self.calls)}', request_id)
        req = self.request(call, 'statements', deadline_s)
        self.start(call, self.writer.write(req, self.adm, {}))

    @stateful.rule(deadline_s=st.floats(0.05, 3), resend=st.booleans())
    def transact(self, deadline_s, resend):
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
            if not self.lease_ends:
                self.renew_lease_only()
            self.loop.advance(min(0.3, max(0.001, end - self.loop.time())))

    def renew_lease_only(self):
        self.sequence += 1
        self.state.lease.sent(self.loop.time(), self.sequence)
        self.state.lease.granted(self.sequence)

    @stateful.rule(reach=st.sets(st.sampled_from(NAMES)))
    def partition(self, reach):
        self.group.reach = reach

    @stateful.rule(
        fenced=st.sets(st.sampled_from(NAMES), min_size=2),
        told=st.booleans(),
        slowly=st.booleans(),
    )
    def promote(self, fenced, told, slowly):
        if told:
            before = self.group.primary.name
            self.show(self.group.term + 1, None)
            self.state.backends[GROUP, before].replaced()
            if slowly:
                self.loop.advance(0.03)
        else:
            # Control waits until the lease is over.
            self.state.lease.end()
            self.lease_ends = True
        self.group.promote(fenced)
        if told:
            self.show(self.group.term, self.group.primary.name)

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
        assert not self.faults, self.faults
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
    """Faults that the machine found, in their shortest form."""

    def test_late_try_after_a_failed_statement(self):
        """Guards against "not run" of a write whose first try comes late."""
        machine = OutcomesMachine()
        machine.set_fates([('late', 1.0), ('failed', 1.0)])
        machine.write(None, 3.0)
        machine.teardown()

    def test_commit_on_a_replaced_primary(self):
        """Guards against done for a commit that went with its primary."""
        machine = OutcomesMachine()
        machine.partition(set())
        machine.transact(3.0, False)
        machine.advance(0.2)
        machine.partition(set(NAMES))
        machine.promote({'b', 'c'}, told=True, slowly=False)
        machine.heal('c')
        machine.advance(1.0)
        machine.teardown()
