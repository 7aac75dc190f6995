"""Start deployments of real processes for the integration tests."""

import pytest

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

KEY = 'caller-key-1'
SERVICE = 'orders'
GROUP = 'orders-db'


class System:
    """Run a deployment with one database group and one client account."""

    def __init__(self, kit, control_zones, entry_zones, **options):
        self.kit = kit
        self.key = KEY
        self.deployment = deployments.Deployment(
            kit, control_zones, entry_zones, **options
        ).start()
        self.group = kit.start_group(
            GROUP, announce=self.deployment.announce_addresses
        )
        self.deployment.note(
            added=[
                deployments.service(SERVICE, GROUP),
                *deployments.account('shop', KEY, [SERVICE]),
            ]
        )
        self.deployment.wait_in_force()
        self.wait_settled()
        caller = self.caller(0)
        answer = caller.statements(
            'CREATE TABLE t (a INTEGER PRIMARY KEY)', deadline_ms=8000
        )
        assert answer.status == 200, answer

    def node(self, index):
        """Return an entry process by its index."""
        return list(self.deployment.entries.values())[index]

    def caller(self, index=0, key=KEY):
        """Return a client of the entry process with an index."""
        return self.deployment.caller(self.node(index), key)

    def status(self):
        """Return the status that the control members report."""
        return self.deployment.status()

    def wait_settled(self, timeout_s=15.0):
        """Wait until one target is primary and all have the group's term."""

        def settled():
            body = self.status()
            groups = body.get('groups')
            if not groups:
                return False
            group = groups[0]
            roles = [t['role'] for t in body['targets']]
            return (
                len(group['members']) == len(self.group.servers)
                and not group['changing']
                and roles.count('primary') == 1
                and all(t['term'] == group['term'] for t in body['targets'])
            )

        harness.wait_until(
            settled, timeout_s, 'all targets in the current term'
        )

    def insert(self, value, index=0, **options):
        """Insert a value through an entry process and return the answer."""
        return self.caller(index).statements(
            ('INSERT INTO t VALUES (?)', [value]), **options
        )

    def values(self):
        """Return all values that the current primary stores."""
        answer = self.caller(0).read(
            'SELECT a FROM t ORDER BY a', consistency='primary'
        )
        assert answer.status == 200, answer
        return [row[0] for row in answer.rows]


@pytest.fixture(scope='module')
def make_system():
    """Return a function that starts a system; it stops after the module."""
    with harness.Harness() as kit:
        yield lambda *zones, **options: System(kit, *zones, **options)
