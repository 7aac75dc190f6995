"""Tests of sessions whose route moves to another service."""

import asyncio

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import relayedsessions
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from tests.node import test_sessionfront as front
from tests.node import test_sessionrelay as relay

BEGIN_READ = front.simple(statements.StatementKind.BEGIN_READ)
Position = model.Position


class TwoGroupProcess(front.EntryProcess):
    """Simulate an entry process with the groups g and h.

    The primary of h is hp, its replica, which is nearer, is hr.
    """

    def __init__(self, consistency=configuration.SESSION):
        self.service_of_route = 'g'
        super().__init__(consistency)
        self.state.groups['h'] = model.GroupView('h', 1, 'hp')
        self.targets['hp'] = front.FakeTarget(0.02)
        self.targets['hr'] = front.FakeTarget(0.001)
        for port, name in ((1, 'hp'), (2, 'hr')):
            self.state.record_announcement(
                model.TargetInfo(
                    name, 'h', 'z', f'10.0.0.2:{port}', '', 0, 0, 5, 0
                )
            )
            backend = self.state.backends['h', name]
            backend.pool.limit = 4
            backend.rtt_s = self.targets[name].rtt_s
        for group in ('g', 'h'):
            self.state.timeline(group).sample(clocks.boottime(), 1, 1)

    def services(self):
        return [
            configuration.Service(n, n, 5, 40, 'adaptive') for n in ('g', 'h')
        ]

    def routes(self, consistency):
        (route,) = super().routes(consistency)
        route.service = self.service_of_route
        return [route]

    def move_route(self, service):
        self.service_of_route = service
        self.configure(configuration.SESSION)

    def floors(self, *names):
        """Return the positions that reads at targets required."""
        return [
            command.floor
            for name in names
            for command in self.targets[name].sent()
            if isinstance(command, sessionpool.Begin)
            or isinstance(command, sessionpool.Forward)
            and command.statement.kind is statements.StatementKind.READ
        ]


class TestReads:
    def test_the_own_write_is_required_after_a_write_in_another_group(self):
        """Guards against losing sight of a write when the route returns.

        A session kept one position for all groups.
        """
        process = TwoGroupProcess()
        process.targets['p'].position = Position(1, 42)
        process.targets['hp'].position = Position(1, 5)
        session = process.session()
        process.run(front.write(), session=session)
        process.move_route('h')
        process.run(front.write(), session=session)
        process.move_route('g')
        process.run(front.read(), session=session)
        assert process.floors('r') == [Position(1, 42)]

    def test_a_position_of_another_group_is_not_required(self):
        """Guards against a position that the replicas never reach."""
        process = TwoGroupProcess()
        process.targets['p'].position = Position(7, 42)
        session = process.session()
        process.run(front.write(), session=session)
        process.move_route('h')
        process.run(front.read(), session=session)
        assert process.floors('hr') == [Position(1, 1)]

    def test_a_transaction_that_ends_after_the_move(self):
        """Guards against taking its position for one of the new group."""
        process = TwoGroupProcess()
        process.targets['p'].position = Position(1, 42)
        session = process.session()
        process.run(front.BEGIN, front.write(), session=session)
        process.move_route('h')
        process.run(front.COMMIT, front.read(), session=session)
        assert process.floors('hr') == [Position(1, 1)]
        process.move_route('g')
        process.run(BEGIN_READ, front.read(), session=session)
        assert process.floors('r')[0] == Position(1, 42)

    def test_a_write_whose_answer_arrives_after_the_move(self):
        process = TwoGroupProcess()

        class MovingTarget(front.FakeTarget):
            def next_result_code(self):
                process.move_route('h')
                return statements.ResultCode.DONE

        process.targets['p'] = MovingTarget(0.02)
        process.targets['p'].position = Position(1, 42)
        session = process.session()
        process.run(front.write(), session=session)
        process.move_route('g')
        process.run(front.read(), session=session)
        assert process.floors('r') == [Position(1, 42)]

    def test_after_a_write_without_a_position_the_primary_serves(self):
        """Guards against taking it for a session that wrote nothing."""
        process = TwoGroupProcess()
        process.targets['p'].position = None
        session = process.session()
        process.run(front.write(), front.read(), session=session)
        assert process.floors('r', 's') == []
        assert len(process.floors('p')) == 1


class Pair(relay.Pair):
    """Connect a process to those that serve its groups.

    Its statements go to the first one, ``far``.
    """

    process_type = TwoGroupProcess

    def __init__(self):
        super().__init__(configuration.SESSION)
        self.far = self.first.process

    def move_route(self, service):
        self.near.move_route(service)
        self.far.move_route(service)


class TestRelayedStatements:
    def test_the_own_write_is_required_after_a_write_in_another_group(self):
        pair = Pair()
        pair.far.targets['p'].position = Position(1, 42)
        session = pair.near.session()
        pair.run(front.write(), session=session)
        pair.move_route('h')
        pair.run(front.write(), session=session)
        pair.move_route('g')
        pair.run(front.read(), session=session)
        assert pair.far.floors('r') == [Position(1, 42)]

    def test_the_other_process_runs_the_write_in_its_own_group(self):
        """Guards against the group of another configuration revision."""
        pair = Pair()
        pair.far.targets['hp'].position = Position(3, 7)
        session = pair.near.session()
        pair.far.move_route('h')
        pair.run(front.write(), session=session)
        assert session.own_writes.position('g') is None
        assert session.own_writes.position('h') == Position(3, 7)

    def test_a_result_of_an_earlier_build(self):
        """Guards against reads that miss a write of which no group is known.

        It may have run in the group of another configuration revision.
        """
        pair = Pair()
        session = pair.near.session()
        session.own_writes.record('g', Position(4, 20))
        result = sessionrelay.RelayedResult(
            statements.Result(), None, Position(1, 3)
        )
        decoded = sessionrelay.RelayedResult.decode(result.encode())
        session._accept_relay_result('g', decoded)
        assert session.own_writes.position('g') == Position(4, 20)
        assert not session.own_writes.known('h')

    @pytest.mark.parametrize('begins', [False, True])
    def test_a_statement_of_an_earlier_build(self, begins):
        process = TwoGroupProcess()
        session = process.session()
        req = sessionrelay.RelayedStatement(
            session.database,
            session._digest,
            front.read(),
            {},
            floor=Position(1, 42),
            begin=BEGIN_READ.kind if begins else None,
            transaction=int(begins),
        )
        decoded = sessionrelay.RelayedStatement.decode(req.encode())

        async def run():
            peer = relayedsessions.RelayedSessions(process.service)
            return await peer.run(decoded)

        assert asyncio.run(run()).result.failure is None
        assert process.floors('r')[0] == Position(1, 42)
