"""Tests of targets that announce themselves to only some processes."""

import concurrent.futures

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from tests.integration import conftest

MAX_CONNECTIONS = 30


@pytest.fixture(scope='module')
def system():
    with harness.Harness() as kit:
        deployment = deployments.Deployment(kit, ('z1',), ('z1', 'z2', 'z3'))
        deployment.start()
        kit.start_group(
            conftest.GROUP,
            announce=deployment.announce_addresses[:1],
            options=('--record', '--cost-ms', '20'),
        )
        deployment.note(
            added=[
                deployments.service(conftest.SERVICE, conftest.GROUP),
                *deployments.account('shop', conftest.KEY, [conftest.SERVICE]),
            ]
        )
        deployment.wait_in_force()
        yield deployment


class TestFewAnnouncements:
    def test_other_processes_get_their_share_of_connections(self, system):
        """Guards against one connection only where no announcement arrives."""
        remote = list(system.entries.values())[-1]
        caller = system.caller(remote, conftest.KEY)
        answer = caller.statements('CREATE TABLE t (a)', deadline_ms=8000)
        assert answer.status == 200, answer

        def read(_):
            client = system.caller(remote, conftest.KEY)
            return client.read('SELECT 1', consistency='primary').status

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            assert set(pool.map(read, range(80))) == {200}
        operator = system.operator()
        targets = operator.get('/v1/status').body['targets']
        primary = next(t for t in targets if t['role'] == 'primary')
        target = callers.TargetClient(primary['address'])
        connections = target.observations()['connections']
        assert 2 <= connections <= MAX_CONNECTIONS
