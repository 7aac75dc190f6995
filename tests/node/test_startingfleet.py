"""Load: a fleet that starts while all callers wait.

Each process renews its lease before the leader has heard of all others, so its
first list of processes is incomplete, and it believes that it serves groups of
others. Callers send their statements at once.
"""

import asyncio

import orjson

from sassafrasridge_core import leases
from sassafrasridge_core import placement
from sassafrasridge_core import state as core_state
from sassafrasridge_node import clocks
from sassafrasridge_node import leadership
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc
from tests.node import test_sessionfront as front
from tests.node import test_sessionrelay as relay

SIZE = 79
CONNECTIONS = 78
# Control keeps one of the connections that are divided for its own orders.
DIVIDED = 58
# Statements that wait at the first processes that renew.
WAITING = 9.0


def request(name, **fields):
    return rpc.idl.RenewRequest(
        entry=name,
        incarnation=2,
        zone='z',
        address=f'{name}:1',
        revision=0,
        view_revision=0,
        sequence=1,
        **{'draining': False, **fields},
    )


class StartingFleet:
    """Renew the leases of a fleet with a leader that has just begun."""

    def __init__(self, size=SIZE):
        self.names = [f'entry-{number}' for number in range(size)]
        state = core_state.State()
        for index, name in enumerate(self.names, start=1):
            command = {
                'type': 'entry',
                'action': 'register',
                'entry': name,
                'zone': 'z',
                'address': f'{name}:1',
                'who': name,
                'time': 1.0,
            }
            assert state.apply(index, orjson.dumps(command)).ok
        self.leader = leadership.Leadership(
            state,
            leases.LeaseTimes(0.4, 1.5, 4.0),
            1.2,
            2,
            0.0,
            'demand',
            metrics.Metrics(),
            exclusive_names=True,
            order_connections=1,
        )
        # Version and connections of the last grant, by process.
        self.grants = dict.fromkeys(self.names, (0, 0))
        # Clocks of the last replies, by process.
        self.clocks = {}

    def renew(self, now, name, serves=False, demand=0.0, draining=False):
        """Renew one lease; return the names that the reply lists."""
        version, limit = self.grants[name]
        obs = rpc.idl.Observation(
            group='g',
            server='s',
            connections=CONNECTIONS,
            slots=5,
            demand=demand,
            announcement_age_s=0.0,
            success_age_s=0.0,
            term=0,
            position=0,
            limit_version=version,
            limit=limit,
            serves=serves,
        )
        reply = self.leader.renew(
            now,
            request(
                name,
                draining=draining,
                unused_s=0.3,
                leader_clock=self.clocks.get(name),
                observations=[obs] if serves else [],
            ),
        )
        self.clocks[name] = reply.leader_clock
        for grant in reply.connections:
            self.grants[name] = grant.version, grant.connections
        return [record.entry for record in reply.entries]

    def start(self):
        """Renew each lease; return who believes to serve the group.

        A process that starts renews again as soon as it has a reply.
        """
        mistaken = []
        for number, name in enumerate(self.names):
            listed = self.renew(number * 1e-4, name)
            if name in placement.serving_set('g', listed):
                mistaken.append(name)
        for name in self.names:
            self.renew(0.01, name)
        return mistaken

    def limits(self, names):
        return [self.grants[name][1] for name in names]


class TestConnectionsOfAStartingFleet:
    def setup_method(self):
        self.fleet = StartingFleet()
        self.claims = self.fleet.start()
        self.serving = placement.serving_set('g', self.fleet.names)

    def test_only_the_serving_set_gets_connections(self):
        """Guards against a process that takes all connections of others.

        It keeps them until its lease ends, and the serving set has none.
        """
        assert set(self.claims) > set(self.serving)
        for name in self.claims:
            self.fleet.renew(0.02, name, serves=True)
        others = set(self.claims) - set(self.serving)
        assert not any(self.fleet.limits(others))
        assert sum(self.fleet.limits(self.serving)) == DIVIDED

    def test_the_first_to_renew_gets_an_equal_part(self):
        """Guards against processes that wait until the first one returns."""
        first, *others = self.serving
        self.fleet.renew(0.02, first, serves=True, demand=WAITING)
        (limit,) = self.fleet.limits([first])
        assert limit <= DIVIDED // len(self.serving) + 1
        for name in others:
            self.fleet.renew(0.021, name, serves=True, demand=WAITING)
        assert min(self.fleet.limits(others)) >= DIVIDED // len(self.serving)

    def test_demand_decides_once_all_have_reported(self):
        """Guards against equal parts for unequal demand."""
        for turn in range(6):
            for number, name in enumerate(self.serving):
                demand = WAITING if number == 0 else 0.0
                self.fleet.renew(0.02 + 0.1 * turn, name, True, demand)
        first, *others = self.fleet.limits(self.serving)
        assert first > DIVIDED // 2
        assert min(others) == 1

    def test_a_process_that_shuts_down_keeps_its_connections(self):
        """Guards against a planned stop that interrupts statements."""
        name = self.serving[0]
        self.fleet.renew(0.02, name, serves=True, demand=WAITING)
        self.fleet.renew(0.1, name, True, demand=WAITING, draining=True)
        assert self.fleet.grants[name][1] > 0


class TestStatementsOfAStartingFleet:
    """Pattern: the list is completed while a statement waits here."""

    def run(self, *stmts):
        pair = relay.Pair()
        near = pair.near
        near.backend('p').pool.limit = 0
        serving = [True]
        near.state.serves = lambda group: serving[0]

        async def complete_list():
            await asyncio.sleep(0.05)
            serving[0] = False

        async def work():
            task = asyncio.ensure_future(complete_list())
            session = near.session()
            results = [await session.execute(stmt) for stmt in stmts]
            await task
            return results

        return pair, asyncio.run(work())

    def test_a_waiting_statement_goes_to_a_process_that_serves(self):
        """Guards against waiting for connections that never come."""
        pair, (result,) = self.run(front.write())
        assert result.failure is None
        assert len(relay.forwarded(pair.first)) == 1

    def test_a_waiting_transaction_begins_there(self):
        """Guards against the same wait of a transaction's first statement."""
        pair, results = self.run(front.BEGIN, front.write(), front.COMMIT)
        assert [r.failure for r in results] == [None] * 3
        assert len(relay.forwarded(pair.first)) == 2

    def test_a_relayed_statement_is_refused_at_once(self):
        """Guards against a wait at a process that can't run the statement."""
        pair = relay.Pair()
        process = pair.first.process
        process.state.serves = lambda group: False
        process.backend('p').pool.limit = 0
        started = clocks.boottime()
        (result,) = pair.run(front.write())
        # Half of the time-out, which is how long a primary is waited for, is
        # longer.
        assert clocks.boottime() - started < 0.15
        assert result.failure is None
        assert len(relay.forwarded(pair.second)) == 1


class TestListsOfANewLeader:
    """Pattern: control's leader is replaced while all processes serve."""

    def setup_method(self):
        self.fleet = StartingFleet()
        # Lists of the former leader, of term 1.
        self.former = 1 << leadership.REVISION_COUNTER_BITS | 7

    def renew(self, now, name, revision):
        return self.fleet.leader.renew(
            now, request(name, entries_revision=revision)
        )

    def test_an_incomplete_list_does_not_replace_a_former_one(self):
        """Guards against processes that take over the groups of others.

        Each of them would open connections to targets of these groups, and
        relay statements to processes that have none.
        """
        for number, name in enumerate(self.fleet.names[:40]):
            reply = self.renew(0.2 + number * 0.01, name, self.former)
            assert reply.entries is None

    def test_a_complete_list_replaces_it(self):
        """Guards against lists that name lost processes for ever."""
        for name in self.fleet.names[:40]:
            self.renew(1.0, name, self.former)
        reply = self.renew(1.6, self.fleet.names[0], self.former)
        assert len(reply.entries) == 40

    def test_a_process_without_a_list_gets_what_is_known(self):
        """Guards against a restarted process that can't relay anything."""
        self.renew(0.2, self.fleet.names[0], self.former)
        reply = self.renew(0.3, self.fleet.names[1], 0)
        assert len(reply.entries) == 2
        self.renew(0.4, self.fleet.names[2], self.former)
        again = self.renew(0.5, self.fleet.names[1], reply.entries_revision)
        assert len(again.entries) == 3
