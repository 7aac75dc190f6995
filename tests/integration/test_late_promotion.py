"""Tests of promotions that take effect late, with real processes.

Each test uses database groups of its own: a promotion without an answer
restricts the later promotions of its group for a while.
"""

import contextlib
import pathlib
import threading
import time

import pytest

from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

# Delays of the platform. The first one exceeds the time for which a leader
# waits for a promotion, the second one that of an election.
ABANDONED_S = 5.5
HANDED_OVER_S = 4.0
SHORT_DELAY_S = 0.2
MAX_RECOVERY_S = 12.0
# Writers to a group at each entry process.
WRITERS = 2


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('late')),
        entries=3,
        groups=7,
        control_proxied=True,
    )
    try:
        found.start()
        yield found
    finally:
        found.stop()


class Writers:
    """Write to a group through all entry processes until stopped.

    ``acknowledged`` has the id of each acknowledged write, when its answer
    arrived and the entry process.
    """

    def __init__(self, cluster, group):
        self.acknowledged = []
        self._cluster = cluster
        self._group = group
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(node, number))
            for node in cluster.entries
            for number in range(WRITERS)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        self.wait_writing(self._cluster.entries)
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self, node, since=0.0):
        """Return how many writes through a process were acknowledged."""
        return sum(
            name == node.name and when > since
            for _, when, name in list(self.acknowledged)
        )

    def wait_writing(self, nodes):
        """Wait until writes are acknowledged by each of the processes."""
        since = time.monotonic()
        for node in nodes:
            processes.wait_until(
                lambda n=node: self.count(n, since) >= 5,
                MAX_RECOVERY_S,
                f'writes to {self._group} through {node.name}',
            )

    def _run(self, node, number):
        caller = None
        while not self._stopped.is_set():
            try:
                caller = caller or self._cluster.caller(
                    node, f'{self._group}-primary'
                )
                id = caller.next_id()
                caller.query(f'STORE {node.name}-{number} {id}')
                self.acknowledged.append((id, time.monotonic(), node.name))
            except linecaller.ErrorReply:
                # Let other threads run while writes are refused at once.
                self._stopped.wait(0.01)
            except OSError:
                caller = None
                self._stopped.wait(0.01)


def faults(cluster, server='', **changes):
    cluster.post_to_platform('/faults', server=server, **changes)


def promotions(cluster, kind, group):
    """Return the calls for a group, or the effects that they had."""
    key = 'service' if kind == 'promotions' else 'group'
    found = cluster.post_to_platform('/promotions')[kind]
    return [item for item in found if item[key] == group]


def wait_promotion(cluster, kind, group):
    """Return the first call for a group, or the first effect."""
    return processes.wait_until(
        lambda: promotions(cluster, kind, group),
        MAX_RECOVERY_S,
        f'{kind} of {group}',
    )[0]


def hide_primary(cluster, group):
    """Make the primary of a group dark; return its name."""
    name = cluster.primary(group)['server']
    faults(cluster, name, dark=True)
    return name


def lost_writes(cluster, group, writers):
    """Return acknowledged writes that a promoted server or the end lacks."""
    lost = {}
    for effect in promotions(cluster, 'effects', group):
        before = {
            id
            for id, when, _ in writers.acknowledged
            if when < effect['monotonic_s']
        }
        lost[effect['server']] = before - set(effect['ids'])
    stored = {
        id for commit in cluster.primary(group)['commits'] for id in commit[3]
    }
    lost['end'] = {id for id, _, _ in writers.acknowledged} - stored
    return {name: len(ids) for name, ids in lost.items() if ids}


class TestLatePromotion:
    def test_the_primary_works_again_before_the_order_is_handled(
        self, cluster
    ):
        """Guards against writes at a primary that is replaced later.

        The leader gives up waiting for the platform's answer, and the primary
        works again. The promotion takes effect after that.
        """
        with Writers(cluster, 'group0') as writers:
            faults(cluster, platform_delay_s=ABANDONED_S)
            former = hide_primary(cluster, 'group0')
            target = wait_promotion(cluster, 'promotions', 'group0')['id']
            faults(cluster, target, receiving=False)
            faults(cluster, former, dark=False)
            wait_promotion(cluster, 'effects', 'group0')
            faults(cluster, target, receiving=True, platform_delay_s=0.0)
            writers.wait_writing(cluster.entries)
        assert lost_writes(cluster, 'group0', writers) == {}

    def test_the_answer_of_the_platform_is_lost(self, cluster):
        """Guards against a group that forgets a promotion without answer."""
        with Writers(cluster, 'group5') as writers:
            faults(cluster, lose_answers=True)
            former = hide_primary(cluster, 'group5')
            wait_promotion(cluster, 'promotions', 'group5')
            faults(cluster, former, dark=False)
            wait_promotion(cluster, 'effects', 'group5')
            writers.wait_writing(cluster.entries)
            faults(cluster, lose_answers=False)
        calls = promotions(cluster, 'promotions', 'group5')
        assert len({call['id'] for call in calls}) == 1
        assert lost_writes(cluster, 'group5', writers) == {}


@pytest.fixture(scope='class')
def handed_over(cluster):
    """Kill a leader between its orders and their effects.

    Returns the writers of each group. The primary of the first group works
    again before the promotion takes effect, the others don't.
    """
    groups = TestKilledLeader.GROUPS
    with contextlib.ExitStack() as stack:
        writers = {
            group: stack.enter_context(Writers(cluster, group))
            for group in groups
        }
        faults(cluster, platform_delay_s=HANDED_OVER_S)
        former = [hide_primary(cluster, group) for group in groups]
        calls = [wait_promotion(cluster, 'promotions', g) for g in groups]
        leader = next(
            n for n in cluster.control if n.name == calls[0]['holder']
        )
        leader.process.kill()
        assert not promotions(cluster, 'effects', groups[0])
        faults(cluster, calls[0]['id'], receiving=False)
        faults(cluster, former[0], dark=False)
        for group in groups:
            wait_promotion(cluster, 'effects', group)
        faults(cluster, calls[0]['id'], receiving=True)
        faults(cluster, platform_delay_s=0.0)
        leader.process.start()
        for name in former:
            faults(cluster, name, dark=False)
        for found in writers.values():
            found.wait_writing(cluster.entries)
    return writers


class TestKilledLeader:
    # A leader prefers replicas in its own zone. The primaries of the last
    # three groups are in different zones, so two leaders would choose
    # different replicas of at least one group.
    GROUPS = ('group1', 'group2', 'group3', 'group4')

    @pytest.mark.parametrize('group', GROUPS)
    def test_no_acknowledged_commit_is_lost(self, cluster, handed_over, group):
        """Guards against a successor that goes back to the old primary."""
        assert lost_writes(cluster, group, handed_over[group]) == {}

    @pytest.mark.parametrize('group', GROUPS)
    @pytest.mark.usefixtures('handed_over')
    def test_one_target_is_ordered(self, cluster, group):
        """Guards against a successor that orders another target."""
        calls = promotions(cluster, 'promotions', group)
        assert len({call['id'] for call in calls}) == 1


class TestEntryProcessCutOff:
    """A replica that isn't paused confirms commits during a promotion.

    An entry process is cut off from control and still reaches the primary.
    """

    @pytest.mark.parametrize('change', ['restart', 'join'])
    def test_no_acknowledged_commit_is_lost(self, cluster, change):
        """Guards against a proof that is too old when it takes effect."""
        group = 'group6'
        last = len(promotions(cluster, 'effects', group))
        alone, *others = cluster.entries
        former = cluster.primary(group)['server']
        with Writers(cluster, group) as writers:
            faults(cluster, platform_delay_s=SHORT_DELAY_S)
            calls = len(promotions(cluster, 'promotions', group))
            cluster.cut_from_control(alone, True)
            cut_at = time.monotonic()
            hosts = [n.host for n in others] + cluster.control_hosts
            faults(cluster, former, cut_hosts=hosts)
            target = processes.wait_until(
                lambda: promotions(cluster, 'promotions', group)[calls:],
                MAX_RECOVERY_S,
                'order to promote',
            )[0]['id']
            if change == 'join':
                address = f'127.0.0.1:{processes.free_port()}'
                faults(cluster, join=group, address=address)
            else:
                replica = next(
                    s['server']
                    for s in cluster.servers(group)
                    if s['server'] not in (former, target)
                )
                faults(cluster, replica, crash=True)
                faults(cluster, replica, start=True)
            processes.wait_until(
                lambda: promotions(cluster, 'effects', group)[last:],
                MAX_RECOVERY_S,
                'promotion',
            )
            assert writers.count(alone, cut_at) > 0
            cluster.cut_from_control(alone, False)
            faults(cluster, former, cut_hosts=[], platform_delay_s=0.0)
            writers.wait_writing(cluster.entries)
        assert lost_writes(cluster, group, writers) == {}
