"""Tests of drained availability zones with real processes."""

import json
import subprocess
import sys
import time

import pytest

from sassafrasridge_testkit import harness
from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes

# Time after its acknowledgement at which an order must be in force.
IN_FORCE_S = 5.0
# Orders of the control leader to a target, which aren't work of clients.
ORDERS = ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN')


def send_order(cluster, method, zone, timeout_s=8.0):
    """Send an order to each member until one acknowledges it; return it."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        for node in cluster.control:
            if node.call(method, f'/api/drain/{zone}')[0] == 200:
                return node
        time.sleep(0.05)
    raise AssertionError(f'{method} for {zone} was not acknowledged')


def count_work(cluster, number):
    """Return how many statements a server has got, without orders."""
    statements = cluster.servers('group0')[number]['statements']
    return sum(text.split()[0] not in ORDERS for _, _, text in statements)


def read_everywhere(cluster):
    for node in cluster.entries:
        for kind in ('bounded_staleness', 'primary'):
            caller = cluster.caller(node, f'group0-{kind}')
            for _ in range(5):
                caller.query('FETCH ready')
            caller.close()


class TestPlatform:
    def test_an_order_outlives_every_process(self, tmp_path):
        """Guards against an order that is lost, or a commit lost by it.

        The member that acknowledged the order is killed at once and loses its
        disk; later all processes are killed together.
        """
        cluster = linecluster.LineCluster(tmp_path, entries=2, groups=1)
        try:
            cluster.start()
            assert cluster.primary('group0')['server'] == 'group0-0'
            caller = cluster.caller(cluster.entries[0], 'group0-primary')
            for number in range(20):
                caller.query(f'STORE kept{number} 1')
            held = cluster.caller(cluster.entries[1], 'group0-primary')
            held.query('BEGIN')
            held.query('STORE held 1')
            member = send_order(cluster, 'POST', 'z0')
            acknowledged_at = time.monotonic()
            cluster.restart_with_empty_disk(member)
            send_order(cluster, 'POST', 'z0')
            processes.wait_until(
                lambda: (
                    (cluster.primary('group0') or {}).get('server')
                    not in (None, 'group0-0')
                ),
                IN_FORCE_S,
                'primary in another zone',
            )
            stored = {
                key
                for commit in cluster.primary('group0')['commits']
                for key in commit[2]
            }
            assert {f'kept{number}' for number in range(20)} <= stored
            time.sleep(
                max(0.0, acknowledged_at + IN_FORCE_S - time.monotonic())
            )
            work = count_work(cluster, 0)
            with pytest.raises(linecaller.ErrorReply):
                held.query('COMMIT')
            cluster.configure()
            read_everywhere(cluster)
            for node in [*cluster.control, *cluster.entries]:
                node.process.kill()
            for node in [*cluster.control, *cluster.entries]:
                node.process.launch()
            cluster.wait_serving()
            read_everywhere(cluster)
            assert count_work(cluster, 0) == work
            send_order(cluster, 'DELETE', 'z0')
            send_order(cluster, 'DELETE', 'z0')

            # Idle processes read from targets that they are connected to, so
            # the use of the zone shows when no other is left.
            for zone in ('z1', 'z2'):
                send_order(cluster, 'POST', zone)
            cluster.wait_serving(8.0)
            read_everywhere(cluster)
            assert cluster.primary('group0')['server'] == 'group0-0'
            assert count_work(cluster, 0) > work
        finally:
            cluster.stop()

    def test_all_zones_and_an_unknown_one(self, tmp_path):
        """Guards against requests that wait when no target is left."""
        cluster = linecluster.LineCluster(tmp_path, entries=1, groups=1)
        try:
            cluster.start()
            for zone in ('nowhere', *linecluster.ZONES):
                send_order(cluster, 'POST', zone)
            node = cluster.entries[0]
            caller = cluster.caller(node, 'group0-primary')

            def is_refused():
                try:
                    caller.query('FETCH ready')
                except linecaller.ErrorReply:
                    return True
                return False

            processes.wait_until(is_refused, IN_FORCE_S, 'refusal')
            started = time.monotonic()
            assert is_refused()
            assert time.monotonic() - started < 0.2
            assert 'are in drained availability zones' in (
                node.process.err_path.read_text()
                + node.process.out_path.read_text()
            )
            for zone in linecluster.ZONES:
                send_order(cluster, 'DELETE', zone)
            cluster.wait_serving(8.0)
            assert cluster.primary('group0')['server'] == 'group0-0'
        finally:
            cluster.stop()


class TestHttpGroup:
    def test_the_primary_moves_by_the_command_line(
        self, make_system, tmp_path
    ):
        """Guards against HTTP groups that keep a primary there."""
        system = make_system(('z1', 'z2', 'z3'), ('z1', 'z2', 'z3'))
        token = tmp_path / 'operator-token'
        token.write_text(system.deployment.tokens['operator'])
        env = {
            'PYTHONPATH': ':'.join(sys.path),
            'SASSAFRASRIDGE_SERVERS': system.node(0).http,
            'SASSAFRASRIDGE_TOKEN_FILE': str(token),
            'XDG_CONFIG_HOME': str(tmp_path),
        }

        def run(*arguments):
            command = [sys.executable, '-m', 'sassafrasridge_cli.main']
            out = subprocess.run(
                [*command, *arguments, '--json'],
                env=env,
                check=True,
                capture_output=True,
                timeout=60,
            ).stdout
            return json.loads(out)

        assert system.insert(1).status == 200
        zone = system.group.primary().zone
        answer = run('zone', 'drain', zone)
        assert (answer['changed'], answer['targets']) == (True, 1)

        def has_moved():
            primary = system.group.primary()
            return primary is not None and primary.zone != zone

        harness.wait_until(has_moved, 10, 'primary in another zone')
        assert system.insert(2, deadline_ms=8000).status == 200
        assert system.values() == [1, 2]
        listed = {z['zone']: z['drained'] for z in run('zone', 'list')}
        assert listed == {z: z == zone for z in ('z1', 'z2', 'z3')}
        assert not run('zone', 'restore', zone)['drained']
