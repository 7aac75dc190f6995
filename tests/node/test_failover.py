"""Tests of changes of primary for targets that manage replication."""

import asyncio

import pytest

from sassafrasridge_core import directory
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import failover
from sassafrasridge_node import grouporders
from sassafrasridge_node import groups
from sassafrasridge_node import metrics
from sassafrasridge_node import pendingorders
from sassafrasridge_node import promotionproof
from sassafrasridge_node import successors

Position = model.Position


class Store(groups.GroupStore):
    def __init__(self):
        self.views = {}
        self.history = []
        self.drained = frozenset()

    def drained_zones(self):
        return self.drained

    def view(self, group):
        return self.views.get(group)

    def revision(self):
        return len(self.history)

    async def commit(self, view):
        self.views[view.group] = view
        self.history.append(view)

    @property
    def changed_at(self):
        """Return the revision of the last change of primary that began."""
        changing = [v.changing for v in self.history]
        return changing.index(True) + 1

    def names(self):
        return list(self.views)


class FakeServer:
    def __init__(self, index, primary=False):
        self.primary = primary
        self.term = 1
        self.held_term = 0
        self.received = Position(1, index)
        self.reachable = True


class Orders(grouporders.GroupOrders):
    """In-memory targets; ``sent_orders`` lists the orders in sequence."""

    def __init__(self, servers):
        self.servers = servers
        self.sent_orders = []
        self.answer = grouporders.PromotionAnswer.ACCEPTED
        self.takes_effect = True
        # Targets whose status never arrives.
        self.hanging = set()
        # Targets at whose addresses other servers answer.
        self.replaced = set()

    def _status(self, name):
        server = self.servers[name]
        if not server.reachable:
            return None
        return grouporders.ServerStatus(
            name,
            server.primary,
            server.term,
            server.held_term,
            server.received,
        )

    async def status(self, info):
        if info.server in self.hanging:
            await asyncio.Event().wait()
        return self._status(info.server)

    async def find_presence(self, info):
        if info.server in self.replaced:
            return grouporders.Presence.REPLACED
        if self.servers[info.server].reachable:
            return grouporders.Presence.PRESENT
        return grouporders.Presence.UNKNOWN

    async def pause(self, info, term):
        self.sent_orders.append(('pause', info.server))
        if self.servers[info.server].reachable:
            self.servers[info.server].held_term = term
        return self._status(info.server)

    async def resume(self, info):
        self.sent_orders.append(('resume', info.server))
        if self.servers[info.server].reachable:
            self.servers[info.server].held_term = 0
        return self._status(info.server)

    async def step_down(self, info, term):
        self.sent_orders.append(('step_down', info.server))
        if self.servers[info.server].reachable:
            self.servers[info.server].primary = False
        return self._status(info.server)

    async def promote(self, info, token):
        self.sent_orders.append(('promote', info.server))
        if self.takes_effect:
            self.lead(info.server)
        return self.answer

    def lead(self, name):
        """Make a target the primary of the next term."""
        for server in self.servers.values():
            server.primary = server.primary and not server.reachable
        chosen = self.servers[name]
        chosen.primary, chosen.held_term = True, 0
        chosen.term = max(s.term for s in self.servers.values()) + 1

    def close(self):
        """Do nothing: there are no connections."""


class Cluster:
    """A reconciler of group ``g`` with primary a and replicas b and c."""

    def __init__(self, servers, zones=None):
        self.zones = zones or {}
        self.orders = Orders(servers)
        self.store = Store()
        self.detector = promotion.FailureDetector(0.5)
        self.table = leases.LeaseTable(leases.LeaseTimes(), float('-inf'))
        self.directory = directory.TargetDirectory(float('-inf'))
        for name, server in servers.items():
            self.announce(name, server)
        self.start_leader('z')
        self.store.views['g'] = model.GroupView(
            'g', 1, 'a', {n: f'10.0.0.1:{ord(n)}' for n in servers}
        )

    def start_leader(self, zone):
        """Replace the control leader by one in a zone."""
        self.reconciler = failover.FailoverReconciler(
            self.store,
            self.detector,
            self.table,
            zone,
            metrics.Metrics(),
            self.directory,
            self.orders,
            3,
        )

    def announce(self, name, server, sequence=1, leaving=False):
        info = model.TargetInfo(
            name,
            'g',
            self.zones.get(name, 'z'),
            f'10.0.0.1:{ord(name)}',
            'primary' if server.primary else 'replica',
            0,
            0,
            5,
            0,
            leaving,
        )
        self.directory.announce(
            clocks.boottime(), directory.Announcement(info, 1, sequence)
        )

    def fail(self, name):
        now = clocks.boottime()
        for observer in ('e1#1', 'e2#1'):
            self.table.grant(now, observer, observer[:2]).view_revision = 99
            info = model.TargetInfo(name, 'g', '', '', '', 0, 0, 0, 0)
            sighting = promotion.TargetObservation(now, 1e6, 5.0, info)
            self.detector.report(observer, 'g', name, sighting)

    def step(self):
        asyncio.run(self.reconciler._step('g'))
        return self.store.views['g']


@pytest.fixture
def servers():
    return {
        'a': FakeServer(9, primary=True),
        'b': FakeServer(7),
        'c': FakeServer(9),
    }


class TestPromotionProof:
    def prove_behind_former(self, acknowledged):
        """Return the proof if both replicas are at 7, the former one at 9."""
        paused = [
            grouporders.ServerStatus(name, False, 1, 2, Position(1, 7))
            for name in 'bc'
        ]
        former = grouporders.ServerStatus('a', False, 1, 0, Position(1, 9))
        return promotionproof.prove_candidates(
            'abc', 'a', paused, former, acknowledged
        )

    def test_no_proof_if_a_replica_is_missing(self):
        """Guards against losing a commit that only that replica has."""
        at = grouporders.ServerStatus('b', False, 1, 2, Position(1, 7))
        assert not promotionproof.prove_candidates(
            ['a', 'b', 'c'], 'a', [at], None
        ).candidates

    def test_replicas_behind_the_former_primary_are_excluded(self):
        at = grouporders.ServerStatus('b', False, 1, 2, Position(1, 7))
        former = grouporders.ServerStatus('a', False, 1, 0, Position(1, 9))
        assert not promotionproof.prove_candidates(
            'abc', 'a', [at], former
        ).candidates

    def test_a_listed_replica_behind_the_former_primary_is_no_proof(self):
        """Guards against losing commits that only an unlisted replica has."""
        proof = self.prove_behind_former(Position(1, 8))
        assert proof.candidates == []
        assert proof.reason == 'lacks_acknowledged'

    def test_a_former_primary_without_its_log_is_no_proof(self):
        """Guards against b, which only reached what the primary still has."""
        paused = [
            grouporders.ServerStatus('b', False, 1, 2, Position(1, 5)),
            grouporders.ServerStatus('c', False, 1, 2, Position(1, 7)),
        ]
        former = grouporders.ServerStatus('a', False, 1, 0, Position(1, 0))
        proof = promotionproof.prove_candidates(
            'abc', 'a', paused, former, Position(1, 7)
        )
        assert [s.server for s in proof.candidates] == ['c']

    def test_commits_that_nobody_was_told_of_may_be_discarded(self):
        """Guards against waiting for a primary that replicates no more."""
        proof = self.prove_behind_former(Position(1, 7))
        assert len(proof.candidates) == 2


class TestStartOfTerm:
    def test_the_first_view_holds_the_end_of_the_log(self, servers):
        """Guards against commits that can't be counted from anything."""
        cluster = Cluster(servers)
        cluster.store.views.clear()
        view = cluster.step()
        assert (view.primary, view.log_term, view.starts) == ('a', 1, {1: 9})

    def test_a_primary_that_does_not_answer_is_adopted(self, servers):
        cluster = Cluster(servers)
        cluster.store.views.clear()
        servers['a'].reachable = False
        view = cluster.step()
        assert (view.primary, view.log_term, view.starts) == ('a', 0, {})

    def test_a_promoted_target_begins_a_term(self, servers):
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        view = cluster.step()
        assert (view.primary, view.log_term, view.starts) == ('c', 2, {2: 9})


class TestUnlistedReplica:
    """Pattern: a primary is replaced before control knows its newest replica.

    The replica's first announcement went to a control member that is frozen.
    It confirms commits, so the primary acknowledges them although control has
    paused all replicas that it knows.
    """

    def cluster(self, servers):
        cluster = Cluster(servers)
        servers['d'] = FakeServer(12)
        servers['a'].received = Position(1, 12)
        now = clocks.boottime()
        cluster.table.grant(now, 'e1#1', 'e1').view_revision = 99
        cluster.table.report_acknowledged({'g': Position(1, 12)})
        return cluster

    def test_a_planned_change_keeps_its_commits(self, servers):
        """Guards against promoting a replica that lacks them."""
        cluster = self.cluster(servers)
        cluster.announce('a', servers['a'], sequence=2, leaving=True)
        assert cluster.step().changing
        assert not servers['b'].primary and not servers['c'].primary
        cluster.announce('d', servers['d'])
        assert cluster.step().primary == 'd'

    def test_a_replica_that_joins_during_the_wait_is_paused(self, servers):
        """Guards against orders to the members known at the beginning."""
        cluster = self.cluster(servers)
        cluster.announce('a', servers['a'], sequence=2, leaving=True)
        wait = cluster.reconciler._wait_until_confirmed

        async def wait_and_join(revision):
            cluster.announce('d', servers['d'])
            await wait(revision)

        cluster.reconciler._wait_until_confirmed = wait_and_join
        assert cluster.step().primary == 'd'

    def test_a_failed_primary_is_not_replaced_by_one_behind(self, servers):
        """Guards against the same loss if the primary doesn't answer."""
        cluster = self.cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        assert cluster.step().changing
        assert not [o for o in cluster.orders.sent_orders if o[0] == 'promote']
        cluster.announce('d', servers['d'])
        assert cluster.step().primary == 'd'

    def test_commits_that_were_on_their_way_together_are_counted(
        self, servers
    ):
        """Guards against a report that is too low by concurrent commits."""
        cluster = Cluster(servers)
        servers['d'] = FakeServer(12)
        servers['a'].reachable = False
        view = cluster.store.views['g']
        cluster.store.views['g'] = view.replace(log_term=1, starts={1: 4})
        cluster.fail('a')
        cluster.table.report_acknowledged({'g': Position(1, 9)})
        cluster.table.report_counts('e1#1', {'g': (1, 5)})
        cluster.table.report_counts('e2#1', {'g': (1, 3)})
        assert cluster.step().changing
        assert not [o for o in cluster.orders.sent_orders if o[0] == 'promote']
        cluster.announce('d', servers['d'])
        assert cluster.step().primary == 'd'

    def test_commits_without_an_answer_are_not_waited_for(self, servers):
        """Guards against 15 s without a primary after a usual crash.

        Replicas have received commits that nobody was told of.
        """
        cluster = Cluster(servers)
        servers['a'].reachable = False
        view = cluster.store.views['g']
        cluster.store.views['g'] = view.replace(log_term=1, starts={1: 4})
        cluster.fail('a')
        cluster.table.report_counts('e1#1', {'g': (1, 5)})
        assert cluster.step().primary == 'c'

    def test_a_replica_that_is_gone_is_not_waited_for(self, servers):
        """Guards against a group that never has a primary again."""
        cluster = self.cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        assert cluster.step().changing
        since = clocks.boottime() - directory.EXPIRE_AFTER_S - 1.0
        cluster.reconciler._required._lacking_since['g'] = since
        assert cluster.step().primary == 'c'


class TestReplacedPrimary:
    """Pattern: a primary is replaced while it is cut off, then returns.

    It acts as primary in its term until it is told. Its successor b, whose
    commits c has, goes dark meanwhile.
    """

    def cluster(self, servers, log_term=2):
        cluster = Cluster(servers)
        servers['b'].term, servers['b'].primary = 2, True
        servers['b'].received = servers['c'].received = Position(2, 12)
        cluster.store.views['g'] = model.GroupView(
            'g',
            3,
            'b',
            cluster.store.views['g'].members,
            log_term=log_term,
        )
        servers['b'].reachable = False
        cluster.announce('b', servers['b'], sequence=2)
        cluster.fail('b')
        return cluster

    def test_it_does_not_become_the_primary_again(self, servers):
        """Guards against reads that miss commits of its successor."""
        cluster = self.cluster(servers)
        view = cluster.step()
        assert (view.primary, view.log_term) == ('c', 3)
        assert not servers['a'].primary

    def test_a_replica_that_knows_a_newer_term_is_enough(self, servers):
        """Guards against the same with a record of an earlier build."""
        cluster = self.cluster(servers, log_term=0)
        servers['c'].term = 2
        assert cluster.step().primary == 'c'

    def test_without_proof_it_does_not_become_the_primary_either(
        self, servers
    ):
        """Guards against adopting the only target that answers."""
        cluster = self.cluster(servers)
        servers['c'].reachable = False
        assert cluster.step().changing
        assert not [o for o in cluster.orders.sent_orders if o[0] == 'promote']

    def test_a_working_successor_is_kept(self, servers):
        """Guards against keeping the first of two primaries that answer."""
        cluster = self.cluster(servers)
        servers['b'].reachable = True
        cluster.detector.forget('e1#1')
        cluster.detector.forget('e2#1')
        view = cluster.store.views['g']
        cluster.store.views['g'] = model.GroupView(
            'g', 4, 'b', view.members, changing=True, log_term=2
        )
        view = cluster.step()
        assert (view.primary, view.log_term) == ('b', 2)

    def test_the_term_outlives_a_change_of_members(self, servers):
        """Guards against forgetting the term before the primary returns."""
        cluster = self.cluster(servers)
        servers['b'].reachable = True
        cluster.detector.forget('e1#1')
        cluster.detector.forget('e2#1')
        servers['d'] = FakeServer(9)
        cluster.announce('d', servers['d'])
        view = cluster.step()
        assert (len(view.members), view.log_term) == (4, 2)


class TestPrimaryWithoutLog:
    """Pattern: a primary starts again under its name without its log."""

    def test_it_is_not_kept(self, servers):
        """Guards against a change that gives it its role back.

        The next leader has no reports of its failure yet, or the processes
        that found the loss are no majority.
        """
        cluster = Cluster(servers)
        servers['a'].received, servers['b'].received = (
            Position(1, 3),
            Position(1, 9),
        )
        now = clocks.boottime()
        cluster.table.grant(now, 'e1#1', 'e1').view_revision = 99
        cluster.table.report_acknowledged({'g': Position(1, 9)})
        view = cluster.store.views['g']
        cluster.store.views['g'] = view.replace(term=2, changing=True)
        view = cluster.step()
        assert (view.changing, view.primary) == (False, 'b')


class TestFailoverReconciler:
    def test_a_failed_primary_is_replaced_by_the_latest_replica(self, servers):
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        view = cluster.step()
        assert (view.primary, view.changing, view.term) == ('c', False, 3)
        assert cluster.orders.sent_orders.index(('pause', 'b')) < (
            cluster.orders.sent_orders.index(('promote', 'c'))
        )

    def test_a_dead_primary_that_never_answers_delays_nothing(self, servers):
        """Guards against waiting for the status of a primary without power."""
        cluster = Cluster(servers)
        cluster.orders.hanging = {'a'}
        cluster.fail('a')
        started = clocks.boottime()
        assert cluster.step().primary == 'c'
        assert clocks.boottime() - started < grouporders.STATUS_WAIT_S

    def test_nothing_is_promoted_while_a_replica_is_silent_too(self, servers):
        """Guards against promoting a replica that lacks a commit."""
        cluster = Cluster(servers)
        servers['a'].reachable = servers['c'].reachable = False
        cluster.fail('a')
        view = cluster.step()
        assert view.changing
        assert ('promote', 'b') not in cluster.orders.sent_orders
        assert ('resume', 'b') in cluster.orders.sent_orders

    def test_a_primary_that_works_again_is_kept(self, servers):
        """Guards against a group that remains without a primary."""
        cluster = Cluster(servers)
        servers['c'].reachable = False
        cluster.store.views['g'] = model.GroupView(
            'g', 2, 'a', cluster.store.views['g'].members, changing=True
        )
        view = cluster.step()
        assert (view.primary, view.changing) == ('a', False)

    def test_a_leaving_primary_hands_over_before_it_ends(self, servers):
        cluster = Cluster(servers)
        cluster.announce('a', servers['a'], sequence=2, leaving=True)
        view = cluster.step()
        assert view.primary == 'c'
        assert not servers['a'].primary

    def test_a_refused_promotion_resumes_the_replicas(self, servers):
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.orders.answer = grouporders.PromotionAnswer.REFUSED
        cluster.orders.takes_effect = False
        cluster.fail('a')
        assert cluster.step().changing
        assert ('resume', 'c') in cluster.orders.sent_orders

    def test_a_promotion_whose_answer_was_lost_is_detected(self, servers):
        """Guards against a second promotion after a change of leader."""
        cluster = Cluster(servers)
        servers['a'].reachable = False
        servers['c'].primary, servers['c'].term = True, 2
        cluster.store.views['g'] = model.GroupView(
            'g', 2, 'a', cluster.store.views['g'].members, changing=True
        )
        assert cluster.step().primary == 'c'
        assert ('promote', 'c') not in cluster.orders.sent_orders

    def test_a_new_leader_asks_members_missing_from_its_directory(
        self, servers
    ):
        """Guards against a proof from an incomplete directory."""
        cluster = Cluster(servers)
        cluster.directory._started_at = clocks.boottime()
        cluster.announce('c', servers['c'], sequence=2, leaving=True)
        cluster.directory.leave('c')
        servers['a'].reachable = servers['c'].reachable = False
        cluster.fail('a')
        assert cluster.step().changing
        assert not [o for o in cluster.orders.sent_orders if o[0] == 'promote']


class UnansweredOrder:
    """A cluster whose order to promote c has no effect and no answer."""

    @pytest.fixture
    def unanswered(self, servers, monkeypatch):
        monkeypatch.setattr(failover, 'PROMOTION_TIMEOUT_S', 0.05)
        # Both replicas are as far; the first leader prefers c, its zone.
        servers['b'].received = Position(1, 9)
        cluster = Cluster(servers, {'b': 'y', 'c': 'z'})
        cluster.orders.answer = grouporders.PromotionAnswer.UNKNOWN
        cluster.orders.takes_effect = False
        servers['a'].reachable = False
        cluster.fail('a')
        assert cluster.step().changing
        assert self.promoted(cluster) == {'c'}
        return cluster

    def return_former_primary(self, cluster):
        cluster.orders.servers['a'].reachable = True
        cluster.detector.forget('e1#1')
        cluster.detector.forget('e2#1')

    def promoted(self, cluster):
        orders = cluster.orders.sent_orders
        return {server for order, server in orders if order == 'promote'}


class TestUnknownOutcome(UnansweredOrder):
    """Pattern: the platform handles an order to promote late.

    Clients write to the former primary, if the group goes back to it, until
    the promotion takes effect. The promoted target lacks these commits.
    """

    @pytest.fixture
    def cluster(self, unanswered):
        return unanswered

    def test_the_former_primary_is_not_kept(self, cluster):
        """Guards against writes to it before the promotion takes effect."""
        self.return_former_primary(cluster)
        assert cluster.step().changing
        cluster.orders.lead('c')
        assert cluster.step().primary == 'c'

    def test_replicas_stay_paused(self, cluster):
        """Guards against commits that a resumed replica confirms."""
        cluster.step()
        assert 'resume' not in {o for o, _ in cluster.orders.sent_orders}

    def test_the_next_leader_keeps_to_the_order(self, cluster):
        """Guards against two promotions that take effect one after another.

        The next leader is in the zone of b and would prefer it.
        """
        cluster.start_leader('y')
        self.return_former_primary(cluster)
        assert cluster.step().changing
        assert self.promoted(cluster) == {'c'}
        cluster.orders.takes_effect = True
        assert cluster.step().primary == 'c'
        assert self.promoted(cluster) == {'c'}

    def test_the_record_precedes_the_order(self, servers):
        """Guards against an order that the next leader doesn't know of."""
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        recorded = []
        promote = cluster.orders.promote

        async def check_record(info, token):
            recorded.append(cluster.store.views['g'].promotion)
            return await promote(info, token)

        cluster.orders.promote = check_record
        assert cluster.step().promotion is None
        assert [(o.server, o.position) for o in recorded] == [
            ('c', Position(1, 9))
        ]

    def test_a_target_that_lost_its_log_is_not_ordered_again(self, cluster):
        """Guards against a promotion of a target that started empty."""
        cluster.orders.sent_orders.clear()
        cluster.orders.servers['c'].received = Position(1, 2)
        assert cluster.step().changing
        assert not self.promoted(cluster)

    def test_an_order_without_effect_is_withdrawn(self, cluster, monkeypatch):
        """Guards against a group that never has a primary again."""
        cluster.orders.servers['c'].reachable = False
        assert cluster.step().promotion.server == 'c'
        monkeypatch.setattr(pendingorders, 'MAX_ORDER_DELAY_S', 0.0)
        assert cluster.step().promotion is None
        self.return_former_primary(cluster)
        assert cluster.step().primary == 'a'

    def test_a_repeated_refusal_withdraws_nothing(self, cluster):
        """Guards against forgetting the first order, which isn't refused."""
        cluster.orders.answer = grouporders.PromotionAnswer.REFUSED
        assert cluster.step().promotion.server == 'c'

    def test_the_new_primary_stays_until_the_order_has_ended(
        self, cluster, monkeypatch
    ):
        """Guards against a first order that promotes c again later.

        The second order takes effect, so c leads, and then it leaves.
        """
        cluster.orders.lead('c')
        assert cluster.step().primary == 'c'
        server = cluster.orders.servers['c']
        cluster.announce('c', server, sequence=2, leaving=True)
        cluster.announce('a', cluster.orders.servers['a'], sequence=2)
        assert cluster.step().primary == 'c'
        monkeypatch.setattr(pendingorders, 'MAX_ORDER_DELAY_S', 0.0)
        self.return_former_primary(cluster)
        cluster.orders.takes_effect = True
        assert cluster.step().primary != 'c'

    def test_a_failed_new_primary_is_not_replaced_before(self, cluster):
        """Guards against the same if c fails and another target leads."""
        cluster.orders.lead('c')
        assert cluster.step().primary == 'c'
        cluster.orders.sent_orders.clear()
        cluster.orders.servers['c'].reachable = False
        cluster.reconciler._changed_at.clear()
        cluster.fail('c')
        self.return_former_primary(cluster)
        cluster.fail('c')
        assert cluster.step().changing
        assert not self.promoted(cluster)


class TestEndedOrders:
    """Pattern: an order that was answered late is over, and much later the
    control leader changes.
    """

    @pytest.fixture
    def cluster(self, servers):
        """Return a cluster whose primary c was promoted without an answer."""
        servers['b'].received = Position(1, 9)
        cluster = Cluster(servers, {'b': 'y'})
        cluster.orders.answer = grouporders.PromotionAnswer.UNKNOWN
        servers['a'].reachable = False
        cluster.fail('a')
        assert cluster.step().primary == 'c'
        servers['a'].reachable = True
        cluster.announce('a', servers['a'], sequence=2)
        return cluster

    def test_an_order_that_is_over_leaves_the_record(
        self, cluster, monkeypatch
    ):
        """Guards against a later leader that takes it for a recent one."""
        monkeypatch.setattr(pendingorders, 'MAX_ORDER_DELAY_S', 0.0)
        assert not cluster.reconciler._is_reconciled('g', set())
        assert cluster.step().promotion is None

    def test_the_next_leader_replaces_a_failed_primary(
        self, cluster, monkeypatch
    ):
        """Guards against a group without a primary for 15 s.

        The order ends while the group's record is reconciled.
        """
        monkeypatch.setattr(pendingorders, 'MAX_ORDER_DELAY_S', 0.0)
        cluster.step()
        monkeypatch.setattr(pendingorders, 'MAX_ORDER_DELAY_S', 15.0)
        cluster.start_leader('z')
        cluster.orders.servers['c'].reachable = False
        cluster.fail('c')
        assert cluster.step().changing is False


class TestEndedTarget(UnansweredOrder):
    """Pattern: the target of an order ends before the order takes effect.

    Its successor d has its address and its log.
    """

    @pytest.fixture
    def cluster(self, unanswered):
        cluster = unanswered
        cluster.orders.takes_effect = True
        cluster.orders.answer = grouporders.PromotionAnswer.ACCEPTED
        cluster.orders.sent_orders.clear()
        cluster.orders.servers['c'].reachable = False
        return cluster

    def start_successor(self, cluster, received=None, group='g'):
        """Let d announce itself at the address of c."""
        server = FakeServer(9)
        server.received = received or server.received
        cluster.orders.servers['d'] = server
        cluster.orders.replaced.add('c')
        info = model.TargetInfo(
            'd', group, 'z', f'10.0.0.1:{ord("c")}', 'replica', 0, 0, 5, 0
        )
        cluster.directory.announce(
            clocks.boottime(), directory.Announcement(info, 2, 1)
        )

    def test_its_successor_ends_the_order(self, cluster):
        """Guards against a group without a primary for 15 s."""
        self.start_successor(cluster)
        cluster.step()
        assert cluster.step().primary in ('b', 'd')
        assert cluster.store.views['g'].promotion is None

    def test_the_next_leader_learns_of_its_end(self, cluster):
        """Guards against a wait that begins anew with each leader."""
        cluster.start_leader('z')
        self.start_successor(cluster)
        cluster.step()
        assert cluster.step().primary in ('b', 'd')

    def test_the_wait_for_the_effect_ends_too(self, servers):
        """Guards against 2.5 s without a primary for each such order."""
        servers['b'].received = Position(1, 9)
        cluster = Cluster(servers)
        cluster.orders.takes_effect = False
        servers['a'].reachable = False
        cluster.fail('a')
        promote = cluster.orders.promote

        async def promote_and_end(info, token):
            servers[info.server].reachable = False
            cluster.orders.replaced.add(info.server)
            return await promote(info, token)

        cluster.orders.promote = promote_and_end
        started = clocks.boottime()
        assert cluster.step().changing
        assert clocks.boottime() - started < 1.0

    def test_a_target_that_left_ends_the_order(self, cluster):
        """Guards against a wait for a target that has shut down."""
        server = cluster.orders.servers['c']
        cluster.announce('c', server, sequence=2, leaving=True)
        cluster.directory.leave('c')
        cluster.step()
        assert cluster.step().primary == 'b'

    def test_a_late_report_of_an_earlier_process_is_no_evidence(self, cluster):
        """Guards against a report that c, which isn't leaving, has left."""
        cluster.directory.leave('c')
        cluster.step()
        assert cluster.step().promotion.server == 'c'
        assert not self.promoted(cluster)

    def test_a_target_that_left_and_still_answers_is_waited_for(self, cluster):
        """Guards against an order that takes effect before its exit."""
        server = cluster.orders.servers['c']
        cluster.announce('c', server, sequence=2, leaving=True)
        cluster.directory.leave('c')
        server.reachable, cluster.orders.hanging = True, {'c'}
        presence = asyncio.run(
            cluster.reconciler._ended.check(cluster.store.views['g'])
        )
        assert not presence

    def test_silence_is_no_evidence(self, cluster):
        """Guards against a promotion of b while c is only cut off."""
        cluster.step()
        assert cluster.step().promotion.server == 'c'
        assert not self.promoted(cluster)

    def test_a_start_under_its_name_is_no_evidence(self, cluster):
        """Guards against the order, which the later process may execute."""
        info = cluster.directory.group('g')['c']
        cluster.directory.announce(
            clocks.boottime(), directory.Announcement(info, 2, 1)
        )
        cluster.step()
        assert cluster.step().promotion.server == 'c'
        assert not self.promoted(cluster)

    def test_an_announcement_alone_is_no_evidence(self, cluster):
        """Guards against an ended server whose clock was ahead.

        Its late announcement names the address that c has since.
        """
        self.start_successor(cluster)
        cluster.orders.replaced.clear()
        cluster.step()
        assert cluster.step().promotion.server == 'c'
        assert not self.promoted(cluster)

    def test_a_later_announcement_of_it_ends_the_evidence(self, cluster):
        """Guards against a target that runs again, at another address."""
        cluster.orders.replaced.add('c')
        cluster.step()
        view = cluster.store.views['g']
        assert cluster.reconciler._ended.has_ended(view)
        info = cluster.directory.group('g')['c']
        cluster.directory.announce(
            clocks.boottime(), directory.Announcement(info, 2, 1)
        )
        assert not cluster.reconciler._ended.has_ended(view)

    def test_a_successor_that_is_not_listed_yet_is_waited_for(self, cluster):
        """Guards against the loss of commits that only its log has."""
        cluster.orders.replaced.add('c')
        cluster.orders.servers['b'].received = Position(1, 7)
        for _ in range(3):
            cluster.step()
        assert not self.promoted(cluster)

    def test_nobody_behind_the_target_is_promoted(self, cluster):
        """Guards against the same if another group's server is there."""
        cluster.orders.servers['b'].received = Position(1, 7)
        self.start_successor(cluster, group='h')
        for _ in range(3):
            cluster.step()
        assert not self.promoted(cluster)

    def test_another_group_at_its_address_ends_the_order(self, cluster):
        """Guards against a wait for a server that has been replaced."""
        self.start_successor(cluster, group='h')
        cluster.step()
        assert cluster.step().primary == 'b'

    def test_a_former_primary_that_works_steps_down(self, cluster):
        """Guards against keeping it while the target's successor leads.

        The promotion took effect just before the target ended.
        """
        self.return_former_primary(cluster)
        self.start_successor(cluster)
        cluster.step()
        assert cluster.step().primary in ('b', 'd')
        assert not cluster.orders.servers['a'].primary

    def test_a_successor_that_leads_is_kept(self, cluster):
        """Guards against another promotion if the order took effect."""
        self.start_successor(cluster)
        successor = cluster.orders.servers['d']
        successor.primary, successor.term = True, 2
        cluster.step()
        assert cluster.step().primary == 'd'
        assert not self.promoted(cluster)


class TestBusyTarget:
    """Pattern: a target under load answers one status request with BUSY.

    It has just answered the order to pause.
    """

    def test_a_proved_target_is_ordered_at_once(self, servers):
        """Guards against a change that begins again without need."""
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        status, refused = cluster.orders.status, []

        async def answer_busy_once(info):
            recorded = cluster.store.views['g'].promotion is not None
            if recorded and not refused:
                refused.append(info.server)
                return None
            return await status(info)

        cluster.orders.status = answer_busy_once
        assert cluster.step().primary == 'c'
        reasons = [(v.changing, v.promotion) for v in cluster.store.history]
        assert (True, None) not in reasons[1:]


class TestRepeatedTarget:
    """Pattern: a target is ordered again in the next change.

    It led after an order without an answer, failed, and is a replica again.
    """

    def cluster(self, servers, zones):
        servers['b'].received = Position(1, 9)
        cluster = Cluster(servers, zones)
        order = model.PromotionOrder('c', 2, Position(1, 9))
        servers['a'].primary = False
        for server in servers.values():
            server.term = 2
        cluster.store.views['g'] = model.GroupView(
            'g',
            4,
            'c',
            cluster.store.views['g'].members,
            changing=True,
            log_term=2,
            promotion=order,
        )
        cluster.store.history.append(cluster.store.views['g'])
        # The leader has begun, so the order of its predecessor may still
        # take effect.
        cluster.fail('c')
        return cluster

    def test_a_refusal_does_not_withdraw_the_earlier_order(self, servers):
        """Guards against a promotion of another target meanwhile."""
        cluster = self.cluster(servers, {'a': 'x', 'b': 'x', 'c': 'z'})
        cluster.orders.answer = grouporders.PromotionAnswer.REFUSED
        cluster.orders.takes_effect = False
        assert cluster.step().promotion is not None

    def test_the_ordered_target_is_preferred(self, servers):
        """Guards against a group without a primary until the order ends."""
        cluster = self.cluster(servers, {'a': 'z', 'b': 'z', 'c': 'x'})
        assert cluster.step().primary == 'c'
        assert ('promote', 'c') in cluster.orders.sent_orders


class TestMembersOfEarlierLeaders:
    """Pattern: a zone with the leader, the primary and a replica is cut off.

    The replica confirms commits until the lease of the entry process there
    runs out. The next leader never hears the replica.
    """

    def test_a_silent_member_counts_as_long_as_with_one_leader(self, servers):
        """Guards against promoting a replica that lacks its commits."""
        cluster = Cluster(servers)
        started = clocks.boottime() - directory.COMPLETE_AFTER_S - 0.5
        cluster.directory = directory.TargetDirectory(started)
        cluster.announce('b', servers['b'])
        cluster.start_leader('z')
        servers['a'].reachable = servers['c'].reachable = False
        cluster.fail('a')
        assert cluster.step().changing
        assert not [o for o in cluster.orders.sent_orders if o[0] == 'promote']

    @pytest.mark.parametrize('replaced', [False, True])
    def test_a_member_that_is_gone_is_not_waited_for(self, servers, replaced):
        """Guards against a group without a primary after a planned stop."""
        cluster = Cluster(servers)
        started = clocks.boottime() - directory.COMPLETE_AFTER_S - 0.5
        cluster.directory = directory.TargetDirectory(started)
        cluster.announce('b', servers['b'])
        if replaced:
            view = cluster.store.views['g']
            view.members['c'] = view.members['b']
        else:
            cluster.announce('c', servers['c'], leaving=True)
            cluster.directory.leave('c')
        cluster.start_leader('z')
        servers['a'].reachable = servers['c'].reachable = False
        cluster.fail('a')
        assert cluster.step().primary == 'b'


class TestOrdersWithoutAnswer:
    """Pattern: an order to a target takes effect, or gets lost, after the
    leader has stopped waiting for its answer.
    """

    def test_a_primary_that_stepped_down_late_is_replaced(self, servers):
        """Guards against a group without a primary that answers status.

        The view keeps a, and then an earlier order to step down arrives.
        """
        cluster = Cluster(servers)
        servers['a'].primary = False
        cluster.announce('a', servers['a'], sequence=2)
        assert not cluster.reconciler._is_reconciled('g', set())
        cluster.table.grant(clocks.boottime(), 'e1#1', 'e1').view_revision = 99
        cluster.step()
        assert any(server.primary for server in servers.values())

    def test_a_late_announcement_replaces_nothing(self, servers):
        """Guards against a change each time that news of a primary is late.

        The target announced itself as a replica before it was promoted, and
        control hears nothing of it since.
        """
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        assert cluster.step().primary == 'c'
        since = clocks.boottime() - failover.NEW_PRIMARY_GRACE_S - 1.0
        cluster.reconciler._changed_at['g'] = since
        cluster.directory._entries['c'].heard_at = since - 1.0
        cluster.directory._entries['a'].announcement.info.role = 'replica'
        assert cluster.reconciler._is_reconciled('g', set())


class TestPausedReplicas:
    """Pattern: an order to resume a replica, or its answer, is lost."""

    def check(self, cluster):
        asyncio.run(cluster.reconciler.paused_replicas.check_all())

    def test_a_replica_that_missed_the_resume_is_resumed(self, servers):
        """Guards against a replica that stays paused after a kept primary."""
        cluster = Cluster(servers)
        servers['b'].held_term = 2
        cluster.store.views['g'] = cluster.store.views['g'].replace(
            term=2, changing=True
        )
        resume = cluster.orders.resume

        async def lose_order(info):
            return None if info.server == 'b' else await resume(info)

        cluster.orders.resume = lose_order
        assert cluster.step().primary == 'a'
        cluster.orders.resume = resume
        self.check(cluster)
        assert servers['b'].held_term == 0

    def test_the_next_leader_resumes_it(self, servers):
        """Guards against the same if the leader is replaced at once."""
        cluster = Cluster(servers)
        servers['b'].held_term = 2
        self.check(cluster)
        assert servers['b'].held_term == 0

    def test_a_silent_replica_is_asked_again(self, servers):
        """Guards against one that is reached again after a while."""
        cluster = Cluster(servers)
        servers['b'].held_term, servers['b'].reachable = 2, False
        self.check(cluster)
        servers['b'].reachable = True
        self.check(cluster)
        assert servers['b'].held_term == 0

    def test_replicas_of_a_change_stay_paused(self, servers):
        """Guards against resuming what a change has just paused."""
        cluster = Cluster(servers)
        servers['b'].held_term = 2
        cluster.store.views['g'] = cluster.store.views['g'].replace(
            term=2, changing=True
        )
        self.check(cluster)
        assert servers['b'].held_term == 2

    def test_those_that_answered_are_not_asked_again(self, servers):
        """Guards against requests that use the targets' slots for nothing."""
        cluster = Cluster(servers)
        self.check(cluster)
        cluster.orders.hanging = {'a', 'b', 'c'}
        self.check(cluster)


class TestLeavingReplica:
    """Pattern: a replica leaves, and confirms commits until its end."""

    @pytest.fixture
    def cluster(self, servers):
        cluster = Cluster(servers)
        cluster.announce('c', servers['c'], 2, leaving=True)
        return cluster

    def check(self, cluster):
        asyncio.run(cluster.reconciler.paused_replicas.check_all())
        return cluster.orders.servers['c'].held_term

    def test_it_is_paused_while_another_one_follows(self, cluster):
        """Guards against commits that leave together with it."""
        cluster.orders.servers['b'].received = Position(1, 9)
        assert self.check(cluster) == 2
        cluster.orders.sent_orders.clear()
        assert self.check(cluster) == 2
        assert not cluster.orders.sent_orders

    def test_it_is_not_paused_before_the_other_one_has_its_commits(
        self, cluster
    ):
        """Guards against writes that nobody confirms."""
        assert self.check(cluster) == 0

    def test_it_confirms_again_without_the_other_one(self, cluster):
        """Guards against the same if the other one ends first."""
        cluster.orders.servers['b'].received = Position(1, 9)
        self.check(cluster)
        cluster.orders.servers['b'].reachable = False
        assert self.check(cluster) == 0

    def test_a_change_of_primary_is_left_alone(self, cluster):
        """Guards against orders that mix with those of a change."""
        cluster.orders.servers['b'].received = Position(1, 9)
        view = cluster.store.views['g']
        cluster.store.views['g'] = view.replace(term=2, changing=True)
        assert self.check(cluster) == 0

    def test_it_confirms_again_if_the_other_one_stops_following(self, cluster):
        """Guards against the same if only the primary's link is cut."""
        servers = cluster.orders.servers
        servers['b'].received = Position(1, 9)
        self.check(cluster)
        servers['a'].received = Position(1, 12)
        self.check(cluster)
        assert self.check(cluster) == 0

    def test_it_is_resumed_if_it_stays(self, cluster):
        """Guards against a replica that stays paused for good."""
        cluster.announce('c', cluster.orders.servers['c'], 3)
        self.check(cluster)
        cluster.announce('c', cluster.orders.servers['c'], 4, leaving=True)
        cluster.orders.servers['b'].received = Position(1, 9)
        assert self.check(cluster) == 2
        cluster.announce('c', cluster.orders.servers['c'], 5)
        assert self.check(cluster) == 0


class TestProofUntilEffect:
    """Pattern: a replica confirms commits between proof and promotion.

    It restarted, joined, or was resumed by a late order, so it isn't paused.
    An entry process that is cut off from control writes to the former primary
    until its lease runs out.
    """

    def test_no_commit_is_acknowledged_after_the_proof(self, servers):
        """Guards against a promoted target without that commit."""
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        cluster.table.grant(clocks.boottime(), 'cut-off#1', 'cut-off')
        acknowledged = []
        promote = cluster.orders.promote

        async def promote_after_restart(info, token):
            now = clocks.boottime()
            if not cluster.table.view_confirmed(now, cluster.store.changed_at):
                servers['b'].received = Position(1, 12)
                acknowledged.append(servers['b'].received)
            return await promote(info, token)

        cluster.orders.promote = promote_after_restart
        assert cluster.step().primary == 'c'
        assert all(servers['c'].received >= p for p in acknowledged)


class TestEndOfLeadership:
    def test_connections_for_orders_are_closed(self, servers):
        """Guards against connections of former leaders that targets count."""
        cluster = Cluster(servers)
        closed = []
        cluster.orders.close = lambda: closed.append(True)

        async def run():
            task = asyncio.ensure_future(cluster.reconciler.run())
            await asyncio.sleep(0.01)
            assert not closed
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        assert closed == [True]


class TestLeasesBeforePromotion:
    """Pattern: a primary fails together with part of the entry VMs.

    Until their leases run out, these may acknowledge commits of the former
    primary, which a proof made earlier doesn't include.
    """

    def run_change(self, servers, begun_elsewhere, cut_off):
        cluster = Cluster(servers)
        times = {}
        promote, commit = cluster.orders.promote, cluster.store.commit

        async def timed_promote(info, token):
            times['promoted'] = clocks.boottime()
            return await promote(info, token)

        async def timed_commit(view):
            times['committed'] = clocks.boottime()
            await commit(view)

        cluster.orders.promote = timed_promote
        cluster.store.commit = timed_commit
        servers['a'].reachable = False
        cluster.fail('a')
        if begun_elsewhere:
            cluster.store.views['g'] = model.GroupView(
                'g', 2, 'a', cluster.store.views['g'].members, changing=True
            )
            cluster.store.history.append(cluster.store.views['g'])
        started = clocks.boottime()
        if cut_off:
            cluster.table.grant(started, 'cut-off#1', 'cut-off')
        view = cluster.step()
        assert (view.primary, view.changing) == ('c', False)
        return (
            times['promoted'] - started,
            times['committed'] - times['promoted'],
        )

    @pytest.mark.parametrize('begun_elsewhere', [False, True])
    def test_no_order_while_a_lease_of_the_former_view_runs(
        self, servers, begun_elsewhere
    ):
        """Guards against a promotion without a commit that is acknowledged."""
        promoted_s, _ = self.run_change(servers, begun_elsewhere, True)
        assert promoted_s > leases.LeaseTimes().lease_s

    @pytest.mark.parametrize('begun_elsewhere', [False, True])
    def test_holders_that_have_the_view_delay_nothing(
        self, servers, begun_elsewhere
    ):
        """Guards against a longer gap than the leases require."""
        promoted_s, _ = self.run_change(servers, begun_elsewhere, False)
        assert promoted_s < grouporders.STATUS_WAIT_S

    def test_nothing_is_waited_for_after_the_promotion(self, servers):
        """Guards against waiting for the leases twice."""
        _, committed_s = self.run_change(servers, False, True)
        assert committed_s < grouporders.STATUS_WAIT_S


class TestSilentPrimary:
    """Pattern: a primary goes dark, and every request to it times out."""

    def test_its_status_is_not_waited_for(self, servers):
        """Guards against a longer gap because the failed target is asked."""
        cluster = Cluster(servers)
        servers['a'].reachable = False
        cluster.fail('a')
        status = cluster.orders.status

        async def slow_status(info):
            if info.server == 'a':
                await asyncio.sleep(2.0)
            return await status(info)

        cluster.orders.status = slow_status
        started = clocks.boottime()
        view = cluster.step()
        assert view.primary == 'c'
        assert clocks.boottime() - started < 0.5


class TestConfirmedOrders:
    """Pattern: a control leader is frozen during a change and wakes up.

    Its successor has paused the replicas, so a late order to resume them
    would let the former primary acknowledge a commit that is then lost.
    """

    def test_a_former_leader_sends_no_order(self, servers):
        orders = Orders(servers)
        guarded = grouporders.ConfirmedOrders(orders, lambda: False)
        info = model.TargetInfo('b', 'g', 'z', '10.0.0.1:1', '', 0, 0, 5, 0)

        async def send_all():
            assert await guarded.pause(info, 2) is None
            assert await guarded.resume(info) is None
            assert await guarded.step_down(info, 2) is None
            return await guarded.promote(info, 3)

        answer = asyncio.run(send_all())
        assert answer is grouporders.PromotionAnswer.REFUSED
        assert orders.sent_orders == []

    def test_the_leader_sends_its_orders(self, servers):
        orders = Orders(servers)
        guarded = grouporders.ConfirmedOrders(orders, lambda: True)
        info = model.TargetInfo('b', 'g', 'z', '10.0.0.1:1', '', 0, 0, 5, 0)

        async def send_all():
            assert (await guarded.status(info)).server == 'b'
            await guarded.pause(info, 2)
            await guarded.resume(info)
            await guarded.step_down(info, 2)
            await guarded.promote(info, 3)

        asyncio.run(send_all())
        assert [order for order, _ in orders.sent_orders] == [
            'pause',
            'resume',
            'step_down',
            'promote',
        ]


class TestDrainedZone:
    """Pattern: the zone of primary a is drained; c is in another zone."""

    ZONES = {'a': 'z1', 'b': 'z1', 'c': 'z2'}

    def cluster(self, servers, zones=None):
        cluster = Cluster(servers, zones or self.ZONES)
        cluster.store.drained = frozenset(['z1'])
        return cluster

    def test_the_primary_moves_to_another_zone(self, servers):
        """Guards against b, in the drained zone, because it is as far."""
        servers['b'].received = Position(1, 9)
        cluster = self.cluster(servers)
        assert cluster.step().primary == 'c'
        assert cluster.reconciler._is_reconciled('g', set())

    def test_it_waits_until_the_replica_has_every_commit(self, servers):
        """Guards against losing an acknowledged commit that only b has."""
        servers['b'].received = Position(1, 9)
        servers['c'].received = Position(1, 5)
        cluster = self.cluster(servers)
        status = cluster.orders.status

        async def replicating_status(info):
            c = servers['c']
            c.received = Position(1, min(9, c.received.index + 1))
            return await status(info)

        cluster.orders.status = replicating_status
        assert cluster.step().primary == 'c'
        assert ('promote', 'b') not in cluster.orders.sent_orders

    def test_the_next_leader_waits_for_the_replica_too(self, servers):
        """Guards against b, whose position is known first.

        The leader is killed during the planned change. Its successor only
        hears that no entry process has contacted the primary.
        """
        servers['b'].received = Position(1, 9)
        servers['c'].received = Position(1, 5)
        cluster = self.cluster(servers)
        cluster.fail('a')
        cluster.store.views['g'] = model.GroupView(
            'g', 2, 'a', cluster.store.views['g'].members, changing=True
        )
        status = cluster.orders.status

        async def slow_status(info):
            if info.server == 'a':
                await asyncio.sleep(0.02)
                servers['c'].received = Position(1, 9)
            return await status(info)

        cluster.orders.status = slow_status
        assert cluster.step().primary == 'c'

    def test_without_an_answer_from_outside_it_keeps_its_role(
        self, servers, monkeypatch
    ):
        """Guards against a group whose replication ends for good.

        The links to the other zone are cut. Then the order is withdrawn.
        """
        monkeypatch.setattr(successors, 'SUCCESSOR_WAIT_S', 0.05)
        servers['c'].reachable = False
        cluster = self.cluster(servers)
        assert cluster.step().changing
        assert not cluster.orders.sent_orders
        cluster.fail('a')
        cluster.store.drained = frozenset()
        view = cluster.step()
        assert (view.primary, view.changing) == ('a', False)

    def test_after_a_crash_only_a_proven_replica_is_promoted(self, servers):
        """Guards against losing a commit for the sake of the order.

        The primary crashes during its planned change. Only b, in the drained
        zone, has the last commit; c follows it and replaces it then.
        """
        servers['a'].reachable = False
        servers['b'].received = Position(1, 9)
        servers['c'].received = Position(1, 7)
        cluster = self.cluster(servers)
        assert cluster.step().primary == 'b'
        servers['c'].received = servers['b'].received
        assert cluster.step().primary == 'c'

    def test_if_all_zones_are_drained_the_primary_stays(self, servers):
        """Guards against promotions among targets that nobody may use.

        No entry process contacts the primary, so all report its silence.
        """
        cluster = self.cluster(servers, dict.fromkeys('abc', 'z1'))
        cluster.fail('a')
        assert cluster.reconciler._is_reconciled('g', {'e1#1', 'e2#1'})
        cluster.store.drained = frozenset()
        assert cluster.step().primary == 'a'
        assert not cluster.orders.sent_orders

    def test_a_change_in_progress_ends_outside(self, servers):
        """Guards against a change that an order makes end where it began.

        The order arrives when a failed primary is being replaced, and the
        primary answers again.
        """
        cluster = self.cluster(servers)
        cluster.store.views['g'] = model.GroupView(
            'g', 2, 'a', cluster.store.views['g'].members, changing=True
        )
        view = cluster.step()
        assert (view.primary, view.changing, view.term) == ('c', False, 3)
