"""Load: many accounts whose statements reach the fleet at random processes.

A connection to a target belongs to one account. A target accepts fewer
connections than there are accounts, and opening one takes half as long as a
statement, so a fleet that opens one for every second statement serves a third
less.
"""

import random
import types

import pytest

from sassafrasridge_core import leases
from sassafrasridge_node import accountpool
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import metrics
from sassafrasridge_node import rpc
from sassafrasridge_node import sessionrelay

ACCOUNTS = [f'account{n}' for n in range(82)]
REGIONS = ('r0', 'r1', 'r2')
# Connections of one process to a target.
CONNECTIONS = 11


class Connection:
    """Stand for an open connection in a pool."""

    closed = False
    used_at = 0.0

    def __init__(self, account):
        self.account = account
        self.values = {}

    def close(self):
        self.closed = True


class Fleet:
    """Hold the state of 60 processes in six zones of three regions."""

    def __init__(self):
        self.zones = {f'z{n}': REGIONS[n % 3] for n in range(6)}
        self.entry_zones = {f'e{n}': f'z{n % 6}' for n in range(60)}
        primary = types.SimpleNamespace(info=types.SimpleNamespace(zone='z4'))
        self.states = {}
        for name, zone in self.entry_zones.items():
            state = self.states[name] = entry.EntryState(
                name,
                zone,
                leases.LeaseTimes(),
                connections.Dialer(),
                metrics.Metrics(),
            )
            state.regions = self.zones
            state._entry_zones = self.entry_zones
            state._serving_entries = set(self.entry_zones)
            state.primary = lambda group: primary
        self.rng = random.Random(1)

    def candidates(self, name, account, needs_primary):
        relay = sessionrelay.StatementRelay(
            self.states[name], rpc.ClientPool, self.rng
        )
        return relay.candidates('g', account, needs_primary)

    def region(self, name):
        return self.zones[self.entry_zones[name]]


@pytest.fixture(scope='class')
def fleet():
    return Fleet()


class TestRelayOrder:
    def test_an_account_keeps_its_process(self, fleet):
        """Guards against connections of an account at every process."""
        for account in ACCOUNTS[:20]:
            found = {
                fleet.candidates(name, account, False)[0]
                for name in fleet.states
                if fleet.region(name) == 'r0'
            }
            assert len(found) == 1

    def test_reads_stay_in_the_region(self, fleet):
        """Guards against reads that cross regions without need."""
        for name in fleet.states:
            best = fleet.candidates(name, 'account1', False)[0]
            assert fleet.region(best) == fleet.region(name)

    def test_what_needs_the_primary_goes_to_its_region(self, fleet):
        """Guards against connections that take round trips to open."""
        for name in fleet.states:
            best = fleet.candidates(name, 'account1', True)[0]
            assert fleet.region(best) == fleet.zones['z4']

    def test_every_process_of_a_region_gets_accounts(self, fleet):
        """Guards against one process that carries a region's load."""
        members = fleet.states['e0'].serving_set('g')
        near = [m for m in members if fleet.region(m) == 'r0']
        counts = dict.fromkeys(near, 0)
        for account in ACCOUNTS:
            counts[fleet.candidates('e0', account, False)[0]] += 1
        assert min(counts.values()) >= 0.5 * len(ACCOUNTS) / len(near)

    def test_the_others_follow_if_a_process_is_silent(self, fleet):
        """Guards against an account without service for a lost process."""
        relay = sessionrelay.StatementRelay(
            fleet.states['e0'], rpc.ClientPool, fleet.rng
        )
        first, second, *_ = relay.candidates('g', 'account1', False)
        relay._silent_peers.record_failure(first)
        found = relay.candidates('g', 'account1', False)
        assert found[0] == second
        assert found[-1] == first


class TestConnectionsOpened:
    def test_most_statements_find_a_connection(self, fleet):
        """Guards against a connection opened for every second statement.

        Load: 6,000 statements that need the primary, of 82 accounts whose
        sizes differ, at random processes; the processes near the primary
        share its 78 connections.
        """
        members = [
            m
            for m in fleet.states['e0'].serving_set('g')
            if fleet.region(m) == fleet.zones['z4']
        ]
        pools = {}
        for member in members:
            pools[member] = accountpool.AccountPool()
            pools[member].limit = 7 * CONNECTIONS // len(members)
        weights = [1 / (n + 4) for n in range(len(ACCOUNTS))]
        opened = 0
        for account in fleet.rng.choices(ACCOUNTS, weights, k=6000):
            name = fleet.rng.choice(list(fleet.states))
            pool = pools[fleet.candidates(name, account, True)[0]]
            conn = pool.take(account, {})
            if conn is None:
                if pool.held >= pool.limit:
                    pool.evict()
                conn = Connection(account)
                pool.connections.add(conn)
                opened += 1
            pool.give_back(conn)
        assert opened <= 0.1 * 6000
