"""Tests of entry processes when availability zones are drained.

The stand-in process has primary p in zone z1, replica r in z2 and s in z3.
"""

import asyncio
import functools
import random
import types

import orjson
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import slots
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import backends
from sassafrasridge_node import clocks
from sassafrasridge_node import metrics
from sassafrasridge_node import reads
from sassafrasridge_node import renewal
from sassafrasridge_node import sessiondrain
from sassafrasridge_node import sessionpool
from sassafrasridge_node import transactions
from sassafrasridge_node import writes
from tests.node import test_sessionfront as front
from tests.node import test_writes

StatementFailure = statements.StatementFailure
ALL_ZONES = ('z1', 'z2', 'z3')


def order(state, *zones):
    """Apply a delta after which just these zones are drained."""
    revision = state.config.revision + 1
    changes = [
        [configuration.DRAINED_ZONE, zone, None]
        for zone in state.config.drained_zones()
    ]
    for zone in zones:
        record = {'zone': zone, 'ordered_at': 1.0, 'operator': 'ana'}
        changes.append([configuration.DRAINED_ZONE, zone, record])
    delta = orjson.dumps({'revision': revision, 'changes': changes})
    state.apply_config(
        types.SimpleNamespace(full=None, deltas=[delta], revision=revision)
    )


class Process(front.EntryProcess):
    def __init__(self, consistency=configuration.PRIMARY):
        super().__init__(consistency)
        for name, zone in zip('prs', ALL_ZONES, strict=True):
            self.announce(name, zone)
            self.backend(name).limit = slots.Limit(4, 4)
        self.state.timeline('g').sample(clocks.boottime(), 1, 10)

    def announce(self, name, zone):
        address = f'10.0.0.1:{ord(name)}'
        self.state.record_announcement(
            model.TargetInfo(name, 'g', zone, address, '', 0, 0, 5, 0)
        )

    def order(self, *zones):
        order(self.state, *zones)

    def sent_to(self):
        """Return the targets that were sent anything."""
        return {n for n, target in self.targets.items() if target.commands}


class TestChoice:
    def test_reads_leave_a_drained_zone_and_return(self):
        """Guards against reads that go on there, or never come back."""
        process = Process(configuration.BOUNDED_AGE)
        process.order('z2')
        found = process.state.available_targets('g')
        assert [b.info.server for b in found] == ['p', 's']
        process.run(front.read(), front.read())
        assert process.sent_to() == {'p'}
        process.order()
        process.backend('r').pool.limit = 4
        process.run(front.read())
        assert process.sent_to() == {'p', 'r'}

    def test_a_write_waits_for_the_planned_change(self):
        """Guards against refusals while the primary is being replaced."""
        process = Process()

        async def work():
            session = process.session()
            process.order('z1')
            task = asyncio.ensure_future(session.execute(front.write()))
            await asyncio.sleep(0.25)
            assert not task.done()
            process.state.groups['g'] = model.GroupView('g', 3, 'r')
            return await task

        process.configure(configuration.PRIMARY)
        route = process.state.config.route('db')
        route.timeout_s = 2.0
        assert asyncio.run(work()).failure is None
        assert process.sent_to() == {'r'}

    @pytest.mark.parametrize('stmt', [front.read(), front.write()])
    def test_without_a_target_requests_are_refused_at_once(self, stmt):
        """Guards against a refusal that takes until the deadline."""
        process = Process(configuration.BOUNDED_AGE)
        process.order(*ALL_ZONES)
        charged = []
        session = process.session()
        process.service.admitter.charge_account = charged.append
        started = clocks.boottime()
        results = process.run(stmt, front.BEGIN, session=session)
        assert clocks.boottime() - started < 0.1
        assert {r.failure for r in results} == {StatementFailure.BUSY}
        assert 'drained' in results[0].detail
        assert not process.sent_to() and not charged

    def test_drained_home_regions_are_refused_at_once(self):
        """Guards against waits for targets that a route may not use."""
        process = Process(configuration.BOUNDED_AGE)
        process.state.regions = {'z1': 'north', 'z2': 'south', 'z3': 'south'}
        process.state.config.route('db').regions = ('north',)
        process.state.config.route('db').timeout_s = 2.0
        process.order('z1')
        started = clocks.boottime()
        (result,) = process.run(front.read())
        assert clocks.boottime() - started < 0.1
        assert 'outside drained zones' in result.detail
        assert not process.sent_to()

    def test_a_target_of_unknown_zone_is_not_used(self):
        """Guards against use of a drained zone after a restart of all VMs.

        The group view names targets before they have announced themselves.
        """
        process = Process(configuration.BOUNDED_AGE)
        process.order('z9')
        process.announce('p', '')
        assert process.state.usable_primary('g') is None
        assert not process.state.out_of_service('g')
        process.announce('p', 'z1')
        process.backend('p').pool.limit = 4
        assert process.state.usable_primary('g') is process.backend('p')

    def test_a_waiting_statement_goes_elsewhere_at_once(self):
        """Guards against statements that wait for a drained target."""
        process = Process(configuration.BOUNDED_AGE)
        backend = process.backend('r')

        async def work():
            session = process.session()
            backend._admitted = 100
            task = asyncio.ensure_future(session.execute(front.read()))
            await asyncio.sleep(0.01)
            assert len(backend.queue) == 1
            process.order('z2')
            async with asyncio.timeout(0.1):
                return await task

        assert asyncio.run(work()).failure is None
        assert process.sent_to() <= {'p', 's'}

    def test_an_order_ends_the_wait_for_a_primary(self):
        """Guards against statements held for a change that can't be made.

        The order for the last zone arrives during the planned change.
        """
        process = Process()
        process.state.config.route('db').timeout_s = 2.0

        async def work():
            session = process.session()
            process.order('z1')
            task = asyncio.ensure_future(session.execute(front.write()))
            await asyncio.sleep(0.01)
            process.order(*ALL_ZONES)
            async with asyncio.timeout(0.1):
                return await task

        result = asyncio.run(work())
        assert result.failure is StatementFailure.BUSY
        assert 'drained' in result.detail


class TestConnections:
    def test_idle_ones_close_and_none_is_opened(self):
        """Guards against connections that keep a server of the zone busy."""
        process = Process()
        process.run(front.read())
        backend = process.backend('p')
        (conn,) = backend.pool.connections
        process.order('z1')
        assert conn.closed and not backend.pool.held
        with pytest.raises(backends.UnreachableError):
            asyncio.run(backend._open('acme', clocks.boottime() + 1))
        assert process.opened == 1

    @pytest.mark.parametrize('lease_age_s', [0.0, 4.1])
    def test_drained_targets_are_not_probed(self, lease_age_s):
        """Guards against probes by a process that learned, or could not."""
        process = Process()
        if not lease_age_s:
            process.order('z1')
        process.state.lease._renewal_sent_at -= lease_age_s

        async def work():
            task = asyncio.ensure_future(
                renewal.TargetProber(process.state).run()
            )
            await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(work())
        assert process.opened == 0

    def test_a_drained_primary_does_not_speed_up_renewals(self):
        """Guards against three times the control traffic during a drain."""
        process = Process()
        process.order('z1')
        renewer = renewal.LeaseRenewer(process.state, None, ['c'], 1, '')
        assert renewer._next_interval_s() == renewer._regular_interval_s()


class TestTransactions:
    def sweep(self, process, seconds):
        """Run the check for transactions some seconds from now."""
        sessiondrain.abort_transactions(
            process.state,
            process.service.sessions,
            clocks.boottime() + seconds,
        )

    def test_an_open_one_may_end_within_two_seconds(self):
        """Guards against a commit reported in doubt because of an order."""
        process = Process()
        session = process.session()

        async def work():
            await session.execute(front.BEGIN)
            await session.execute(front.write())
            process.order('z1')
            self.sweep(process, 1.9)
            return await session.execute(front.COMMIT)

        assert asyncio.run(work()).failure is None

    @pytest.mark.parametrize('cause', ['order', 'cut_off'])
    def test_an_open_one_is_aborted(self, cause):
        """Guards against one that outlasts the order.

        A process that is cut off can't learn of an order.
        """
        process = Process()
        session = process.session()

        async def work():
            await session.execute(front.BEGIN)
            await session.execute(front.write())
            if cause == 'order':
                process.order('z1')
                self.sweep(process, 2.0)
            else:
                process.state.lease._renewal_sent_at -= 4.1
                self.sweep(process, 0.0)
            await asyncio.sleep(0.01)
            return await session.execute(front.COMMIT)

        assert asyncio.run(work()).failure is StatementFailure.ABORTED
        sent = process.targets['p'].sent()
        assert isinstance(sent[-1], sessionpool.Rollback)
        assert process.backend('p').in_flight == 0
        counter = process.state.metrics.drained_transactions
        assert counter.value == (cause == 'order')

    def test_a_write_that_was_sent_is_acknowledged(self):
        """Guards against an answer in doubt that is ready for delivery."""
        process = Process()

        class OrderedTarget(front.FakeTarget):
            def next_result_code(self):
                process.order('z1')
                return statements.ResultCode.DONE

        process.targets['p'] = OrderedTarget(0.02)
        (result,) = process.run(front.write())
        assert result.failure is None


class TestHttpPath:
    """The same rules for requests by HTTP."""

    def setup_method(self):
        writer = test_writes.TestWriter()
        writer.setup_method()
        self.state, self.writer = writer.state, writer.writer
        for name, zone in (('a', 'z1'), ('b', 'z2')):
            self.state.record_announcement(
                model.TargetInfo(name, 'g', zone, 'x', 'replica', 1, 0, 5, 9)
            )

    def test_without_a_target_nothing_waits(self):
        """Guards against requests that are held until their deadline."""
        order(self.state, 'z1', 'z2')
        assert not self.state.available_targets('g')
        deadline = clocks.boottime() + 5.0
        req = types.SimpleNamespace(deadline=deadline, consistency='primary')
        adm = types.SimpleNamespace(
            group='g',
            account='shop',
            regions=None,
            service=types.SimpleNamespace(name='s'),
            partition_reads=False,
        )
        reader = reads.Reader(self.state, metrics.Metrics(), random.Random(1))
        held = transactions.Transactions(self.state, self.writer)
        attempt = writes.Attempt('shop', 'id', 'digest', [])
        for work in (
            lambda: self.writer.submit('g', attempt, deadline, lambda: None),
            lambda: reader.read(req, adm, {}),
            lambda: held.begin(req, adm),
        ):
            with pytest.raises(errors.UnavailableError) as caught:
                asyncio.run(work())
            assert caught.value.kind == 'zone_drained'
        assert clocks.boottime() < deadline - 4.0

    def test_drained_targets_are_not_probed(self):
        """Guards against probes, for which connections are opened."""
        probed = []

        async def probe(server):
            probed.append(server)

        async def work():
            for backend in self.state.members('g'):
                backend.probe = functools.partial(probe, backend.info.server)
            order(self.state, 'z1')
            task = asyncio.ensure_future(
                renewal.TargetProber(self.state).run()
            )
            await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(work())
        assert probed == ['b']

    def test_replicas_outside_serve_reads(self):
        """Guards against reads from a replica of a drained zone."""
        reader = reads.Reader(self.state, metrics.Metrics(), random.Random(1))
        need = types.SimpleNamespace(position=None, max_age_s=1.0)
        reader._may_be_fresh_enough = lambda *args: True
        order(self.state, 'z2')
        found = {
            backend.info.server: reader._build_candidate(
                clocks.boottime(), 'g', need, backend
            )
            for backend in self.state.members('g')
        }
        assert found['a'] is not None and found['b'] is None

    def test_a_transaction_is_aborted_but_not_during_its_commit(self):
        """Guards against one that runs a long statement there."""
        held = transactions.Transactions(self.state, self.writer)
        conn = types.SimpleNamespace(closed=False, close=lambda: None)
        backend = self.state.backends['g', 'a']
        tx = transactions.Transaction(
            't', admission.Admission('shop', None, False), backend, conn, 1
        )
        tx.busy = True
        order(self.state, 'z1')
        now = clocks.boottime()
        assert not held._must_leave_zone(tx, now + 1.0)
        assert held._must_leave_zone(tx, now + 2.0)
        tx.committing = True
        assert not held._must_leave_zone(tx, now + 2.0)
