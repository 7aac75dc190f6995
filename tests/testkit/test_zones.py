"""Tests of deployments in availability zones."""

import contextlib
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import zones

ZONES = ('z1', 'z2', 'z3')
DELAY_MS = 5.0
KEY = 'zone-key'


class System:
    """Run a deployment in three availability zones with one service."""

    def __init__(self, kit):
        self.deployment = zones.ZoneDeployment(
            kit, ZONES, ZONES, delay_ms=DELAY_MS
        ).start()
        self.network = self.deployment.network
        self.group = self.deployment.start_group('orders-db')
        self.deployment.note(
            added=[
                deployments.service('orders', 'orders-db'),
                *deployments.account('shop', KEY, ['orders']),
            ]
        )
        self.deployment.wait_in_force()
        answer = self.caller('e1').statements(
            'CREATE TABLE t (a INTEGER)', deadline_ms=10_000
        )
        assert answer.status == 200, answer

    def caller(self, name):
        return self.deployment.caller(self.deployment.entries[name], KEY)


@pytest.fixture(scope='module')
def system():
    with harness.Harness() as kit:
        yield System(kit)


class TestZoneDeployment:
    def test_entries_are_reached_by_proxied_addresses(self, system):
        """Guards against daemons that report unproxied addresses."""
        links = system.network.proxy.status()
        reach = {link['address'] for link in links.values()}
        for node in system.deployment.entries.values():
            assert node.advertised_rpc in reach
            assert node.advertised_rpc != node.rpc
        assert all(
            server.address in reach for server in system.group.servers.values()
        )

    def test_delay_between_zones(self, system):
        """Guards against connections that the proxy assigns to no zone."""
        caller = system.caller('e2')
        caller.statements('INSERT INTO t VALUES (1)')
        started = time.monotonic()
        answer = caller.statements('INSERT INTO t VALUES (2)')
        took_s = time.monotonic() - started
        assert answer.status == 200, answer
        # Round trips from zone 2 to the primary in zone 1 and from there to a
        # replica.
        assert took_s >= 4 * DELAY_MS / 1000

    def test_zone_cut_off(self, system):
        """Guards against a cut that leaves a path into the zone open."""
        system.network.cut_zone('z3')
        try:
            harness.wait_until(
                lambda: (
                    not system.deployment.is_ready(
                        system.deployment.entries['e3']
                    )
                    or system.caller('e3')
                    .statements('INSERT INTO t VALUES (3)', deadline_ms=300)
                    .kind
                    == 'no_lease'
                ),
                10,
                'lost lease',
            )
            answer = system.caller('e1').statements('INSERT INTO t VALUES (4)')
            assert answer.status == 200, answer
        finally:
            system.network.heal_zone('z3')
        harness.wait_until(
            lambda: (
                system.caller('e3')
                .statements('INSERT INTO t VALUES (5)', deadline_ms=1000)
                .status
                == 200
            ),
            10,
            'recovery',
        )


class TestPaths:
    @pytest.fixture
    def network(self, kit):
        return zones.ZoneNetwork(kit, ZONES, delay_ms=0.0)

    def _client(self, network, kit):
        group = kit.start_group(
            'g', ZONES, proxy=network.proxy, host=network.host
        )
        server = group['g2']
        return group, callers.TargetClient(server.address, 0.5)

    def test_replication_follows_cuts_in_one_direction(self, network, kit):
        """Guards against cuts that affect the wrong direction or zone."""
        group, _ = self._client(network, kit)
        client = group['g1'].client()
        client.execute(1, 'CREATE TABLE t (a)')
        network.cut('z1', 'z3', both=False)
        client.execute(1, 'INSERT INTO t VALUES (1)')
        harness.wait_until(lambda: group['g2'].status()['received'] == 2)
        assert group['g3'].status()['received'] == 1
        network.heal('z1', 'z3', both=False)
        group.wait_replicated()

    def test_silenced_connections_stay_open(self, network, kit):
        """Guards against silence that also affects new connections."""
        group, _ = self._client(network, kit)
        network.silence('z1', 'z2')
        client = group['g1'].client()
        client.execute(1, 'CREATE TABLE t (a)')
        # After a timeout the primary opens a new connection, which works.
        group.wait_replicated()
        with contextlib.closing(client):
            assert group['g2'].status()['received'] == 1
