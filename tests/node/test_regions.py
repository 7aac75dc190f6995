"""Tests of home regions: targets and processes that may get a statement."""

import asyncio
import random
import types

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import gateway
from sassafrasridge_node import reads
from sassafrasridge_node import regionrules
from sassafrasridge_node import writes
from tests.node import test_sessionfront as front
from tests.node import test_sessionrelay as relaying

OUTSIDE = statements.StatementFailure.OUTSIDE_REGIONS
BUSY = statements.ResultCode.BUSY
REGIONS = {'z': 'home', 'far': 'abroad'}


def restrict(process, far=('p',), regions=('home',)):
    """Name the route's regions and move some targets out of them."""
    state = process.state
    state.regions = REGIONS
    state.config.route('db').regions = regions
    for name in far:
        process.backend(name).info.zone = 'far'
    return process


def entry_process(consistency=configuration.BOUNDED_AGE, **kwargs):
    process = front.EntryProcess(consistency)
    process.state.timeline('g').sample(clocks.boottime(), 1, 10)
    return restrict(process, **kwargs)


def sent_to(process):
    return {name for name, t in process.targets.items() if t.commands}


class TestTargets:
    def test_a_write_to_a_primary_elsewhere_is_refused_at_once(self):
        """Guards against data that leaves its regions, and a futile wait."""
        process = entry_process()
        started = clocks.boottime()
        (result,) = process.run(front.write())
        assert result.failure is OUTSIDE
        assert 'the primary p in zone far' in result.detail
        assert clocks.boottime() - started < 0.1
        assert sent_to(process) == set()
        begun = process.run(front.BEGIN, front.write())[1]
        assert begun.failure is OUTSIDE
        assert sent_to(process) == set()

    def test_reads_stay_on_the_replicas_of_the_region(self):
        """Guards against a retry outside the regions of a shedding replica."""
        process = entry_process(far=('p', 's'))
        process.targets['r'].result_codes = [BUSY] * 2
        (result,) = process.run(front.read())
        assert (result.failure, sent_to(process)) == (None, {'r'})
        process.targets['r'].result_codes = [BUSY] * 30
        (result,) = process.run(front.read())
        assert result.failure is statements.StatementFailure.BUSY
        assert sent_to(process) == {'r'}

    def test_account_and_route_must_both_allow_a_known_region(self):
        """Guards against a route that widens what its account allows."""
        process = entry_process(far=())
        process.state.regions = {}
        (unknown,) = process.run(front.read())
        process.state.regions = REGIONS
        process.state.config.account('acme').regions = ('abroad',)
        (disjoint,) = process.run(front.read())
        assert unknown.failure is disjoint.failure is OUTSIDE
        assert sent_to(process) == set()

    def test_a_write_does_not_follow_a_failover_out_of_its_regions(self):
        """Guards against a held write that is sent to the new primary."""
        process = entry_process(far=('s',))
        state = process.state
        state.config.route('db').timeout_s = 5.0
        state.groups['g'] = model.GroupView('g', 2, None, changing=True)
        state.primary_changes.begin(clocks.boottime(), 'g')

        async def work():
            task = asyncio.ensure_future(
                process.session().execute(front.write())
            )
            await asyncio.sleep(0.05)
            assert not task.done()
            state.groups['g'] = model.GroupView('g', 2, 's')
            return await task

        assert asyncio.run(work()).failure is OUTSIDE
        assert sent_to(process) == set()

    def test_a_primary_that_has_not_announced_itself_is_waited_for(self):
        """Guards against refusals after a restart of all processes."""
        process = entry_process(configuration.PRIMARY, far=())
        process.backend('p').info.zone = ''
        (result,) = process.run(front.write())
        assert result.failure is statements.StatementFailure.NO_PRIMARY

    def test_probes_let_replicas_serve_where_no_statement_may_go(self):
        """Guards against reads that nothing but other traffic lets through."""
        process = entry_process()
        state, backend = process.state, process.backend('p')
        state.timeline('g').forget()

        async def work():
            task = asyncio.ensure_future(
                process.session().execute(front.read())
            )
            await asyncio.sleep(0.05)
            sent = state.sent_request('g', 'p')
            assert await backend.probe()
            state.sample_primary('g', 'p', sent)
            return await task

        assert asyncio.run(work()).failure is None
        assert 'p' not in sent_to(process)


class TestRelays:
    def pair(self, zones):
        pair = relaying.Pair()
        restrict(pair.near, far=())
        pair.near.state._entry_zones = zones
        return pair

    def test_the_text_goes_to_no_process_elsewhere(self):
        """Guards against a text that a failed process makes leave a region."""
        pair = self.pair({'s1': 'far', 's2': 'z'})
        pair.second.faults = [relaying.UNREACHED]
        (result,) = pair.run(front.read())
        assert result.failure is statements.StatementFailure.BUSY
        assert (pair.first.calls, pair.second.calls) == (0, 1)

    def test_without_a_process_in_the_regions_it_is_refused(self):
        pair = self.pair({'s1': 'far'})
        results = pair.run(front.write(), front.BEGIN, front.write())
        assert [r.failure for r in results] == [OUTSIDE, None, OUTSIDE]
        assert pair.first.calls == pair.second.calls == 0

    def test_the_serving_process_checks_again(self):
        """Guards against a sender whose configuration is older."""
        pair = self.pair({'s1': 'z', 's2': 'z'})
        restrict(pair.first.process, far=(), regions=('abroad',))
        (result,) = pair.run(front.write())
        assert (result.failure, sent_to(pair.first.process)) == (
            OUTSIDE,
            set(),
        )


class TestRequests:
    """The HTTP data path."""

    def setup_method(self):
        self.process = entry_process()
        self.state = self.process.state
        self.adm = admission.Admission(
            'acme', self.state.config.service('g'), False, frozenset({'home'})
        )

    def submit(self, in_doubt):
        writer = writes.Writer(
            self.state, self.state.metrics, random.Random(1)
        )
        attempt = writes.Attempt('acme', 'id', 'd', [], self.adm.regions)
        attempt.in_doubt = in_doubt
        deadline = clocks.boottime() + 5.0
        with pytest.raises(errors.RidgeError) as caught:
            asyncio.run(writer.submit('g', attempt, deadline, lambda: None))
        assert clocks.boottime() < deadline - 4.0
        return caught.value

    def test_a_write_is_refused_unless_it_may_have_run(self):
        """Guards against a refusal that says of a sent write: not run."""
        assert self.submit(in_doubt=False).kind == 'outside_regions'
        unknown = self.submit(in_doubt=True)
        assert unknown.outcome is errors.Outcome.UNKNOWN

    def test_a_read_of_the_primary_is_refused_at_once(self):
        reader = reads.Reader(self.state, self.state.metrics, random.Random(1))
        req = types.SimpleNamespace(
            consistency='primary', deadline=clocks.boottime() + 5.0
        )
        with pytest.raises(regionrules.OutsideRegionsError):
            asyncio.run(reader.read(req, self.adm, {}))

    def test_only_processes_in_the_regions_get_the_text(self):
        port = gateway.Gateway(self.state, None, random.Random(1))
        self.state.serves = lambda group: False
        self.state.near_serving_set = lambda group, rng: ['a', 'b']
        self.state._entry_zones = {'a': 'far', 'b': 'z'}
        self.state.entries = {'a': 'a', 'b': 'b'}
        req = types.SimpleNamespace(kind='statements', transaction=None)
        assert port._find_owners(req, self.adm) == ['b']
        req = types.SimpleNamespace(kind='in', transaction='a.1')
        with pytest.raises(regionrules.OutsideRegionsError):
            port._find_owners(req, self.adm)
        req.kind = 'rollback'
        assert port._find_owners(req, self.adm) == ['a']
