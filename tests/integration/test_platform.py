"""Tests of the product on a simulation of the users' platform."""

import pathlib
import threading
import time

import orjson
import pytest

from sassafrasridge_testkit import linecaller
from sassafrasridge_testkit import linecluster
from sassafrasridge_testkit import processes


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    found = linecluster.LineCluster(
        pathlib.Path(tmp_path_factory.mktemp('platform'))
    )
    try:
        found.start()
        yield found
    finally:
        found.stop()


def retry_until_success(operation, timeout_s=20.0):
    """Repeat an idempotent operation until it succeeds."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            return operation()
        except linecaller.ErrorReply:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)


class TestSessions:
    def test_reads_own_writes_through_replicas(self, cluster):
        caller = cluster.caller(cluster.entries[0], 'group0-read_your_writes')
        for number in range(30):
            caller.query(f'STORE own{number} v{number}')
            assert caller.query(f'FETCH own{number}').rows == [f'v{number}']

    def test_signature_comes_from_the_target(self, cluster):
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        signature = caller.query('FETCH ready').signature
        assert signature in cluster.post_to_platform('/state')['signatures']

    def test_prepared_names_of_two_sessions_do_not_collide(self, cluster):
        """Guards against executing another session's prepared statement."""
        first = cluster.caller(cluster.entries[0], 'group0-primary')
        second = cluster.caller(cluster.entries[0], 'group0-primary')
        first.query('PREPARE s1 STORE q1')
        second.query('PREPARE s1 FETCH q2')
        first.query('EXECUTE s1 prepared yes')
        assert second.query('EXECUTE s1 prepared').rows == ['yes']

    def test_session_values_reach_the_target(self, cluster):
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        caller.query('SET tone deep')
        caller.query('FETCH ready')
        texts = [
            text
            for server in cluster.servers('group0')
            for _, _, text in server['statements']
        ]
        assert 'SET tone deep' in texts

    def test_session_values_do_not_reach_the_next_session(self, cluster):
        """Guards against a pooled connection that keeps another's values."""
        first = cluster.caller(cluster.entries[1], 'group1-primary', 'birch')
        first.query('SET tone shrill')
        first.query('FETCH ready')
        first.close()
        second = cluster.caller(cluster.entries[1], 'group1-primary', 'birch')
        second.query('FETCH ready')
        for server in cluster.servers('group1'):
            texts = [t for a, _, t in server['statements'] if a == 'birch']
            if 'SET tone shrill' in texts:
                after = texts[texts.index('SET tone shrill') :]
                assert 'DISCARD' in after

    def test_transaction_is_atomic_on_one_connection(self, cluster):
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        other = cluster.caller(cluster.entries[1], 'group0-primary')
        assert caller.query('BEGIN').state == 'T'
        caller.query('STORE left 1')
        caller.query('STORE right 1')
        assert other.query('FETCH left').rows == ['none']
        assert caller.query('COMMIT').state == 'I'
        assert other.query('FETCH right').rows == ['1']

    def test_rollback_keeps_nothing(self, cluster):
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        caller.query('BEGIN')
        caller.query('STORE undone 1')
        caller.query('ROLLBACK')
        assert caller.query('FETCH undone').rows == ['none']

    def test_idle_transaction_is_rolled_back(self, cluster):
        """Guards against connections that idle clients hold indefinitely."""
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        caller.query('BEGIN')
        caller.query('STORE idle 1')
        time.sleep(2.2)
        with pytest.raises(linecaller.ErrorReply) as caught:
            caller.query('COMMIT')
        assert caught.value.code == 'ABORTED'
        assert caller.query('FETCH idle').rows == ['none']

    def test_unknown_database_and_key(self, cluster):
        with pytest.raises(linecaller.ErrorReply, match='NODB'):
            cluster.caller(cluster.entries[0], 'nowhere')
        with pytest.raises(linecaller.ErrorReply, match='UNAUTH'):
            cluster.caller(cluster.entries[0], 'group0-primary', 'nobody')

    def test_targets_never_see_a_key(self, cluster):
        for name in cluster.group_names:
            for server in cluster.servers(name):
                for account, _, text in server['statements']:
                    assert 'key-' not in account + text


class TestConfiguration:
    def test_repeated_configuration_is_acknowledged_by_every_member(
        self, cluster
    ):
        body = cluster.configure()
        for node in cluster.control:
            processes.wait_until(
                lambda n=node: n.call('PUT', '/api/config', body)[0] == 200,
                3.0,
                'answer to the repeated configuration',
            )

    def test_lower_version_changes_nothing(self, cluster):
        body = cluster.configure()
        older = {**body, 'version': body['version'] - 1, 'tenants': []}
        assert cluster.control[0].call('PUT', '/api/config', older)[0] == 200
        for node in cluster.control:
            status, raw = node.call('GET', '/api/config')
            assert status == 200
            assert orjson.loads(raw) == body

    @pytest.mark.parametrize(
        'change',
        [
            {'routes': [{'host': 'x', 'service': 'missing'}]},
            {'tenants': 'none'},
            {'services': []},
            {'version': 'seven'},
        ],
    )
    def test_invalid_configuration_is_refused(self, cluster, change):
        body = {**cluster.next_configuration(), **change}
        status, _ = cluster.control[1].call('PUT', '/api/config', body)
        assert 400 <= status < 500

    def test_zero_timeout_shared_key_and_truncated_body_are_refused(
        self, cluster
    ):
        body = cluster.next_configuration()
        body['routes'][0]['timeoutMs'] = 0
        assert cluster.control[0].call('PUT', '/api/config', body)[0] == 400
        body = cluster.next_configuration()
        body['tenants'][1]['apiKeys'] = body['tenants'][0]['apiKeys']
        assert cluster.control[0].call('PUT', '/api/config', body)[0] == 400
        truncated = orjson.dumps(cluster.next_configuration())[:-5]
        assert (
            cluster.control[0].call('PUT', '/api/config', truncated)[0] == 400
        )

    def test_withdrawn_key_stops_an_open_session(self, cluster):
        """Guards against sessions that go on after their key is withdrawn."""
        caller = cluster.caller(cluster.entries[1], 'group0-primary', 'birch')
        caller.query('FETCH ready')
        body = cluster.next_configuration()
        body['tenants'][1]['apiKeys'] = ['key-other']
        cluster.configure(body)

        def refused():
            try:
                caller.query('FETCH ready')
            except linecaller.ErrorReply as exc:
                return exc.code == 'UNAUTH'
            return False

        processes.wait_until(refused, 5.0, 'refusal of the withdrawn key')
        cluster.configure()


class TestHeartbeats:
    @pytest.mark.parametrize(
        'body',
        [b'{', b'[]', b'{}', b'\xff', b'{"service": 5, "state": "ready"}'],
    )
    def test_malformed_heartbeat_is_refused_and_changes_nothing(
        self, cluster, body
    ):
        node = cluster.control[0]
        name = cluster.servers('group0')[0]['server']
        status, _ = node.call('PUT', f'/api/instances/{name}', body)
        assert status == 400
        caller = cluster.caller(cluster.entries[0], 'group0-primary')
        assert caller.query('FETCH ready').rows == ['yes']


class TestStop:
    def test_open_transaction_is_finished_before_the_stop(self, tmp_path):
        cluster = linecluster.LineCluster(tmp_path, entries=1, groups=1)
        try:
            cluster.start()
            node = cluster.entries[0]
            caller = cluster.caller(node, 'group0-primary')
            answers = []

            def run_transaction():
                caller.query('BEGIN')
                for number in range(20):
                    answers.append(caller.query(f'STORE n{number} 1'))
                    time.sleep(0.02)
                answers.append(caller.query('COMMIT'))

            thread = threading.Thread(target=run_transaction)
            thread.start()
            processes.wait_until(lambda: len(answers) > 3)
            node.process.terminate()
            processes.wait_until(
                lambda: node.call('GET', '/api/readyz')[0] != 200,
                1.0,
                'end of readiness',
            )
            thread.join(10)
            assert answers[-1].state == 'I'
            assert len(answers) == 21
            assert node.process.wait_exit(6.0) == 0
        finally:
            cluster.stop()


class TestFailover:
    def test_crashed_primary_is_replaced_without_losing_a_commit(
        self, tmp_path
    ):
        cluster = linecluster.LineCluster(tmp_path, entries=2, groups=1)
        try:
            cluster.start()
            caller = cluster.caller(cluster.entries[0], 'group0-primary')
            acknowledged = []
            for number in range(20):
                caller.query(f'STORE kept{number} 1')
                acknowledged.append(f'kept{number}')
            former = cluster.primary('group0')
            cluster.post_to_platform(
                '/faults', server=former['server'], crash=True
            )
            started = time.monotonic()
            retry_until_success(lambda: caller.query('STORE after 1'))
            assert time.monotonic() - started < 8.0
            current = cluster.primary('group0')
            assert current['server'] != former['server']
            stored = {k for c in current['commits'] for k in c[2]}
            assert set(acknowledged) <= stored
        finally:
            cluster.stop()

    def test_leaving_primary_is_replaced(self, tmp_path):
        cluster = linecluster.LineCluster(tmp_path, entries=1, groups=1)
        try:
            cluster.start()
            former = cluster.primary('group0')['server']
            cluster.post_to_platform('/faults', server=former, leaving=True)
            processes.wait_until(
                lambda: (
                    (cluster.primary('group0') or {}).get('server')
                    not in (None, former)
                ),
                8.0,
                'change of primary',
            )
            caller = cluster.caller(cluster.entries[0], 'group0-primary')
            retry_until_success(lambda: caller.query('STORE moved 1'))
        finally:
            cluster.stop()


class TestMembers:
    def test_replaced_members_join_without_a_command(self, tmp_path):
        """Guards against a wiped or a moved member that never joins again."""
        cluster = linecluster.LineCluster(tmp_path, entries=1, groups=1)
        try:
            cluster.start()
            body = cluster.configure()
            wiped = cluster.control[0]
            wiped.process.kill()
            folder = cluster.folder / f'data-{wiped.host}'
            for file in folder.iterdir():
                file.unlink()
            settings_file = cluster.folder / f'{wiped.name}.ini'
            text = settings_file.read_text()
            settings_file.write_text(
                text.replace('bootstrap = true', 'bootstrap = false')
            )
            wiped.process.start()
            processes.wait_until(
                lambda: 'Promote' in _control_logs(cluster),
                4.0,
                'rejoined member',
            )
            cluster.add_control('z1')
            removed = cluster.control[1]
            removed.process.kill()
            processes.wait_until(
                lambda: 'member_removed' in _control_logs(cluster),
                8.0,
                'removal of the lost member',
            )
            # A change that is acknowledged now is committed after the removal.
            # Before that, losing a second member exceeds the tolerance.
            cluster.configure()
            # The two members left after this are a majority of three voters.
            cluster.control[2].process.kill()
            newer = cluster.configure()
            assert newer['version'] > body['version']
        finally:
            cluster.stop()


def _control_logs(cluster):
    return ''.join(
        node.process.err_path.read_text() for node in cluster.control
    )
