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
# Time without an answer after which writes have failed.
STALLED_S = 0.8
MAX_RECOVERY_S = 12.0
# Writers to a group at each entry process.
WRITERS = 2


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('late')),
        entries=3,
        groups=5,
        control_proxied=True,
    )
    try:
        found.start()
        yield found
    finally:
        found.stop()


@pytest.fixture(autouse=True)
def faults_ended(cluster):
    """End the faults of the platform even after a failed test."""
    yield
    faults(cluster, platform_delay_s=0.0, lose_answers=False)
    cluster.cut_from_control(cluster.entries[0], False)


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
        try:
            self.wait_writing(self._cluster.entries)
        except processes.DeadlinePassed:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self, nodes, since):
        """Return how many writes were acknowledged since a time."""
        names = [node.name for node in nodes]
        return sum(
            name in names and when > since
            for _, when, name in list(self.acknowledged)
        )

    def wait_writing(self, nodes):
        """Wait until writes are acknowledged by each of the processes."""
        since = time.monotonic()
        for node in nodes:
            processes.wait_until(
                lambda n=node: self.count([n], since) >= 5,
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


def mark_leaving(cluster, group):
    """Have the first replica by name leave; return its name."""
    name = min(s['server'] for s in cluster.servers(group) if not s['primary'])
    faults(cluster, name, leaving=True)
    announced = f'"server":"{name}"'

    def is_listed():
        return any(
            announced in line and '"leaving":true' in line
            for node in cluster.control
            for line in node.process.err_path.read_text().splitlines()
        )

    processes.wait_until(is_listed, MAX_RECOVERY_S, f'{name} leaving')
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
            faults(cluster, target, receiving=True)
            writers.wait_writing(cluster.entries)
        assert lost_writes(cluster, 'group0', writers) == {}

    def test_the_answer_of_the_platform_is_lost(self, cluster):
        """Guards against a group that forgets a promotion without answer."""
        with Writers(cluster, 'group3') as writers:
            faults(cluster, lose_answers=True)
            former = hide_primary(cluster, 'group3')
            wait_promotion(cluster, 'promotions', 'group3')
            faults(cluster, former, dark=False)
            wait_promotion(cluster, 'effects', 'group3')
            writers.wait_writing(cluster.entries)
        calls = promotions(cluster, 'promotions', 'group3')
        assert len({call['id'] for call in calls}) == 1
        assert lost_writes(cluster, 'group3', writers) == {}


@pytest.fixture(scope='class')
def handed_over(cluster):
    """Kill a leader between its orders and their effects.

    Returns the writers of each group. The primary of the first group works
    again before the promotion takes effect, that of the second one doesn't.
    """
    groups = TestKilledLeader.GROUPS
    with contextlib.ExitStack() as stack:
        writers = {
            group: stack.enter_context(Writers(cluster, group))
            for group in groups
        }
        faults(cluster, platform_delay_s=HANDED_OVER_S)
        # The next leader prefers this replica, as it no longer leaves then.
        other = mark_leaving(cluster, groups[1])
        former = [hide_primary(cluster, group) for group in groups]
        calls = [wait_promotion(cluster, 'promotions', g) for g in groups]
        assert calls[1]['id'] != other
        leader = next(
            n for n in cluster.control if n.name == calls[0]['holder']
        )
        leader.process.kill()
        assert not any(promotions(cluster, 'effects', g) for g in groups)
        faults(cluster, other, leaving=False)
        faults(cluster, calls[0]['id'], receiving=False)
        faults(cluster, former[0], dark=False)
        for group in groups:
            wait_promotion(cluster, 'effects', group)
        faults(cluster, calls[0]['id'], receiving=True)
        faults(cluster, former[1], dark=False)
        leader.process.start()
        for found in writers.values():
            found.wait_writing(cluster.entries)
    return writers


class TestKilledLeader:
    GROUPS = ('group1', 'group2')

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
        group = 'group4'
        last = len(promotions(cluster, 'effects', group))
        alone, *others = cluster.entries
        former = cluster.primary(group)['server']
        with Writers(cluster, group) as writers:
            faults(cluster, platform_delay_s=SHORT_DELAY_S)
            calls = len(promotions(cluster, 'promotions', group))
            hosts = [n.host for n in others] + cluster.control_hosts
            faults(cluster, former, cut_hosts=hosts)
            # The lease of the process that is cut off then ends after the
            # change has begun.
            processes.wait_until(
                lambda: (
                    not writers.count(others, time.monotonic() - STALLED_S)
                ),
                MAX_RECOVERY_S,
                'failure of writes through the other processes',
            )
            cluster.cut_from_control(alone, True)
            cut_at = time.monotonic()
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
            assert writers.count([alone], cut_at) > 0
            cluster.cut_from_control(alone, False)
            faults(cluster, former, cut_hosts=[])
            writers.wait_writing(cluster.entries)
        assert lost_writes(cluster, group, writers) == {}
