"""Tests of the stand-in database server as a separate process."""

import concurrent.futures
import functools
import random
import socket
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness

INSERT = 'INSERT INTO t VALUES (?) RETURNING a'
SELECT_ALL = 'SELECT a FROM t ORDER BY a'


def _request(id_, digest='d', limit=1000):
    body = {'account': 'acme', 'id': id_, 'digest': digest}
    return {**body, 'answer_limit': limit}


def _insert(client, value, term=1, **options):
    return client.execute(term, (INSERT, [value]), **options)


def _start_single_server(kit, *options):
    """Start a group with a single server and a table."""
    server = kit.start_group(zones=['z1'], options=options)['g1']
    server.client().execute(1, 'CREATE TABLE t (a)')
    return server


def _has_majority(answer):
    return answer.body['majority_position'] >= answer.body['position']


class TestExecute:
    def test_answers_repeat_id_and_position(self, group):
        """Guards against answers that can't be matched to their request."""
        answer = _insert(group['g1'].client(), 7)

        results = [{'columns': ['a'], 'rows': [[7]]}]
        where = {'term': 1, 'position': 2, 'majority_position': 2}
        rest = {'id': 'r1', 'role': 'primary', 'replayed': False}
        assert answer.body == {'results': results, **where, **rest}

    def test_refusals_run_nothing(self, group):
        """Guards against a refused statement that was executed."""
        primary = group['g1'].client()
        replica = group['g2'].client()
        answers = [
            primary.execute(2, (INSERT, [1])),
            replica.execute(1, (INSERT, [1])),
            primary.read(1, (INSERT, [1])),
            primary.send_command('/execute', term=1, group='other'),
            primary.send_command('/execute', term=1, tx='sometimes'),
            primary.execute(1, (INSERT, [1]), tx='in'),
            primary.execute(1, (INSERT, [1]), 'SELEC'),
        ]

        assert [(item.status, item.kind) for item in answers] == [
            (409, 'wrong_term'),
            (409, 'not_primary'),
            (409, 'read_only'),
            (409, 'wrong_group'),
            (400, 'bad_request'),
            (409, 'no_transaction'),
            (400, 'statement_failed'),
        ]
        ids = [item.body['id'] for item in answers]
        assert ids == [f'r{number}' for number in (1, 1, 2, 3, 4, 5, 6)]
        assert primary.read(1, SELECT_ALL).rows == []

    def test_malformed_http_closes_only_its_connection(self, group):
        """Guards against malformed input that stops the stand-in."""
        client = group['g1'].client()
        bad = callers.HttpClient(group['g1'].listen)
        for body in ([1], {'id': 1}, {'id': 1, 'term': 'x'}, None):
            assert bad.post('/execute', body).status == 400
        assert bad.post('/unknown').status == 404
        with socket.create_connection(group['g1'].listen.split(':')) as sock:
            sock.sendall(b'\0\0 not HTTP\r\n\r\n')
            assert sock.recv(64).startswith(b'HTTP/1.1 400')
        assert client.read(1, 'SELECT 1').rows == [[1]]

    def test_slots_limit_concurrent_statements(self, kit):
        """Guards against unlimited concurrency at a target."""
        server = _start_single_server(kit, '--slots', '2', '--cost-ms', '100')
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            started_s = time.monotonic()
            for _ in range(6):
                pool.submit(server.client().read, 1, 'SELECT 1')
            pool.shutdown()
            elapsed_s = time.monotonic() - started_s

        assert elapsed_s >= 0.3
        assert server.observations()['peak_waiting'] >= 3

    def test_connections_over_the_limit_are_refused(self, kit):
        """Guards against missing a proxy that opens too many connections."""
        server = _start_single_server(
            kit, '--connections', '2', '--connect-cost-ms', '50'
        )
        clients = [server.client() for _ in range(3)]
        started_s = time.monotonic()
        answers = [client.read(1, 'SELECT 1') for client in clients]
        elapsed_s = time.monotonic() - started_s

        assert [item.status for item in answers] == [200, 200, 503]
        assert answers[2].kind == 'too_many_connections'
        assert answers[2].headers['connection'] == 'close'
        assert elapsed_s >= 0.1
        seen = server.observations()
        assert seen['peak_connections'] == 2
        assert seen['counts'] == {'write': 1, 'read': 2, answers[2].kind: 1}
        assert seen['last_work_age_s'] < 10
        # Orders of the control process need no free connection.
        assert server.send_command('/fence', term=2)['term'] == 2
        clients[0].close()
        harness.wait_until(
            lambda: clients[2].read(2, SELECT_ALL).status == 200
        )


class TestRequestIds:
    def test_resend_is_replayed(self, group):
        """Guards against a resent request that runs twice."""
        client = group['g1'].client()
        first = _insert(client, 1, request=_request('a'))
        replay = _insert(group['g1'].client(), 1, request=_request('a'))
        other = _insert(client, 2, request=_request('a', 'other'))

        assert (first.body['replayed'], replay.body['replayed']) == (0, 1)
        assert replay.rows == first.rows == [[1]]
        assert replay.body['position'] == first.body['position']
        assert (other.status, other.kind) == (409, 'request_conflict')
        commits = group['g1'].observations()['commits']
        assert commits == {'acme/a': 1}

    def test_row_survives_a_change_of_primary(self, group):
        """Guards against a promotion that loses the request ids."""
        first = _insert(group['g1'].client(), 1, request=_request('a'))
        group['g1'].process.kill()
        primary = group.change_primary(2, ['g2', 'g3'])
        replay = _insert(primary.client(), 1, 2, request=_request('a'))

        assert replay.body['replayed'] is True
        assert replay.body['position'] == first.body['position']
        assert _has_majority(replay)

    def test_answer_over_the_limit_is_replayed_without_results(self, group):
        """Guards against a replay with results that were not stored."""
        client = group['g1'].client()
        _insert(client, 'x' * 99, request=_request('a', limit=10))
        replay = _insert(client, 'x' * 99, request=_request('a', limit=10))

        assert replay.body['replayed'] is True
        assert replay.body['results'] is None


class TestTransactions:
    def test_commit_is_stored_by_its_request_id(self, group):
        """Guards against a commit whose lost answer can't be looked up."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        assert group['g1'].client().read(1, SELECT_ALL).rows == []
        _insert(client, 2, tx='in')
        done = client.execute(1, tx='commit', request=_request('c'))
        other = group['g1'].client()
        replay = other.execute(1, tx='commit', request=_request('c'))
        not_run = other.execute(1, tx='commit', request=_request('d'))
        group.wait_replicated()

        assert (done.status, replay.body['replayed']) == (200, True)
        assert not_run.kind == 'no_transaction'
        assert group['g2'].client().read(1, SELECT_ALL).rows == [[1], [2]]

    def test_closed_connection_rolls_back(self, group):
        """Guards against an abandoned transaction that blocks writers."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        client.close()
        answer = _insert(group['g1'].client(), 2)

        assert answer.status == 200
        assert group['g1'].client().read(1, SELECT_ALL).rows == [[2]]

    def test_failed_statement_rolls_back_all(self, group):
        """Guards against a partial commit."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        failed = _insert(client, 1, tx='in')
        after = client.execute(1, tx='commit')

        assert failed.kind == 'statement_failed'
        assert after.kind == 'no_transaction'
        assert client.read(1, SELECT_ALL).rows == []

    def test_second_writer_waits_up_to_the_limit(self, kit):
        """Guards against interleaved writers and unbounded waits."""
        server = _start_single_server(kit, '--writer-wait-ms', '100')
        holder = server.client()
        _insert(holder, 1, tx='begin')
        refused = _insert(server.client(), 2)
        holder.execute(1, tx='rollback')

        assert (refused.status, refused.kind) == (409, 'writer_busy')
        assert _insert(server.client(), 3).status == 200

    def test_idle_transaction_ends(self, kit):
        """Guards against an idle connection that blocks all writers."""
        server = _start_single_server(kit, '--idle-transaction-ms', '100')
        holder = server.client()
        _insert(holder, 1, tx='begin')

        assert _insert(server.client(), 2).status == 200
        assert holder.execute(1, tx='commit').kind == 'no_transaction'

    def test_read_transaction_works_on_a_replica(self, group):
        """Guards against sending every transaction to the primary."""
        run = functools.partial(group['g2'].client().execute, 1, access='read')
        answers = [
            run(SELECT_ALL, tx='begin'),
            run((INSERT, [1]), tx='in'),
            run(SELECT_ALL, tx='begin'),
            run(tx='commit'),
        ]

        kinds = [item.kind for item in answers]
        assert kinds == [None, 'read_only', None, None]


class TestReplication:
    def test_write_without_a_majority_is_reported(self, group):
        """Guards against reporting a local write as replicated."""
        for name in ('g2', 'g3'):
            group[name].set_faults(refuse_replication=True)
        answer = _insert(group['g1'].client(), 1, request=_request('a'))
        assert not _has_majority(answer)
        # One replica is enough for a majority while the other is down.
        group['g2'].set_faults(refuse_replication=False)
        group['g3'].process.kill()
        replay = _insert(group['g1'].client(), 1, request=_request('a'))
        assert _has_majority(replay)

    def test_received_is_ahead_of_applied_while_a_replica_lags(self, group):
        """Guards against reporting received entries as applied."""
        group['g2'].set_faults(apply_lag_ms=60_000)
        before = group['g2'].status()['applied']
        body = _insert(group['g1'].client(), 1).body
        harness.wait_until(
            lambda: group['g2'].status()['received'] == body['position']
        )
        answer = group['g2'].client().read(1, SELECT_ALL)
        assert (answer.rows, answer.body['position']) == ([], before)
        group['g2'].set_faults(apply_lag_ms=0)
        assert group['g2'].client().read(1, SELECT_ALL).rows == [[1]]


class TestChangeOfPrimary:
    def test_fenced_server_refuses_the_old_term(self, group):
        """Guards against a replaced primary that still accepts writes."""
        holder = group['g1'].client()
        _insert(holder, 1, tx='begin')
        status = group['g1'].send_command('/fence', term=2)
        answers = [
            holder.execute(1, tx='commit', request=_request('c')),
            _insert(group['g1'].client(), 2),
            group['g1'].client().execute(2, SELECT_ALL),
        ]
        stale = group['g1'].client().send_command('/fence', term=1)

        assert (status['role'], status['term']) == ('replica', 2)
        assert status['last_term'] == 1
        kinds = [item.kind for item in answers]
        assert kinds == ['wrong_term', 'wrong_term', 'not_primary']
        assert stale.kind == 'wrong_term'

    def test_fence_ends_a_waiting_write_without_majority(self, group):
        """Guards against acknowledging a write after the fence."""
        group['g1'].set_faults(stop_replication=True)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(_insert, group['g1'].client(), 1)
            harness.wait_until(lambda: group['g1'].status()['received'] == 2)
            group['g1'].send_command('/fence', term=2)
            body = fut.result().body

        assert body['term'] == 1
        assert body['majority_position'] < body['position']

    def test_former_primary_drops_unreplicated_entries(self, group):
        """Guards against keeping a write that was never replicated."""
        group['g1'].set_faults(stop_replication=True)
        _insert(group['g1'].client(), 'lost', request=_request('a'))
        primary = group.change_primary(2, ['g2', 'g3'])
        body = _insert(primary.client(), 'kept', 2).body
        group['g1'].send_command(
            '/follow', term=2, start=1, primary=primary.address
        )
        group.wait_replicated()
        client = group['g1'].client()

        assert body['majority_position'] == body['position']
        assert client.read(2, SELECT_ALL).rows == [['kept']]
        assert group['g1'].status()['role'] == 'replica'

    def test_killed_primary_restarts_with_its_term_and_log(self, group):
        """Guards against a restart that loses the role, term or log."""
        _insert(group['g1'].client(), 1)
        group['g1'].process.kill()
        group['g1'].restart()
        assert group['g1'].status()['role'] == 'primary'
        assert _insert(group['g1'].client(), 2).status == 200
        group['g1'].process.kill()
        group.change_primary(2, ['g2', 'g3'])
        group['g1'].restart()
        group.wait_replicated()

        assert group['g1'].client().read(2, SELECT_ALL).rows == [[1], [2]]

    def test_orders_are_idempotent_and_checked(self, group):
        """Guards against a resent order that changes the state again."""
        first, other = (
            group[name].client().send_command for name in ('g1', 'g2')
        )
        members = group.members
        replay = first('/promote', term=1, start=0, members=members)
        refused = [
            first('/promote', term=1, start=5, members=members),
            other('/promote', term=2, start=9, members=members),
            other('/promote', term=1, start=0, members=members),
            first('/follow', term=1, start=0, primary='x'),
        ]

        assert replay.body['role'] == 'primary'
        assert [item.kind for item in refused] == [
            'already_promoted',
            'position_missing',
            'already_started',
            'already_promoted',
        ]

    @pytest.mark.parametrize('seed', range(3))
    def test_acknowledged_writes_survive_random_changes(self, group, seed):
        """Guards against write loss by partitions, kills and promotions."""
        rng = random.Random(seed)
        names = list(group.servers)
        acknowledged = set()
        term = 1
        for number in range(30):
            for server in group.servers.values():
                unreachable = rng.sample(names, rng.choice([0, 0, 1, 2]))
                server.set_faults(
                    refuse_replication=rng.random() < 0.35,
                    stop_replication=unreachable,
                )
            for server in group.servers.values():
                status = server.status()
                # A replaced primary that was not fenced still accepts writes.
                if status['role'] == 'primary' and rng.random() < 0.8:
                    value = rng.randint(0, number)
                    request = _request(str(value))
                    body = _insert(
                        server.client(), value, status['term'], request=request
                    ).body
                    if body['majority_position'] >= body['position']:
                        acknowledged.add(value)
            if rng.random() < 0.25:
                victim = group[rng.choice(names)]
                victim.process.kill()
                victim.restart()
            if rng.random() < 0.5:
                term += 1
                fenced = group.fence(term, rng.sample(names, 2))
                if rng.random() < 0.8:
                    group.promote(term, fenced, follow=False)
        for server in group.servers.values():
            server.set_faults(refuse_replication=False, stop_replication=False)
        group.change_primary(term + 1, names)
        group.wait_replicated()
        answers = [group[n].client().read(term + 1, SELECT_ALL) for n in names]
        rows = [answer.rows for answer in answers]

        assert len(acknowledged) > 3
        assert acknowledged <= {row[0] for row in rows[0]}
        assert rows[0] == rows[1] == rows[2]


class TestMembers:
    def test_group_starts_from_options_and_learns_members(self, kit):
        """Guards against a server that can't start without the harness."""
        module = 'sassafrasridge_testkit.database'
        ready = [
            kit.start_module(
                name, module, '--group', 'h', '--server', name, *options
            ).ready
            for name, *options in (('h1', '--primary'), ('h2',))
        ]
        h1, h2 = (callers.TargetClient(item['address']) for item in ready)
        h1.execute(1, 'CREATE TABLE t (a)')
        members = {item['server']: item['address'] for item in ready}
        assert h1.send_command('/members', members=members).status == 200
        assert _has_majority(_insert(h1, 1))
        assert h2.read(1, SELECT_ALL).rows == [[1]]

    def test_follower_with_a_new_address_is_found(self, group):
        """Guards against a primary that keeps using the old address."""
        group['g3'].process.kill()
        group['g3'].restart(port='0')
        _insert(group['g1'].client(), 1)
        group['g3'].send_command(
            '/follow', term=1, start=0, primary=group['g1'].address
        )
        group.wait_replicated()
        assert group['g3'].client().read(1, SELECT_ALL).rows == [[1]]


class TestFaults:
    def test_dropped_answer_is_committed(self, group):
        """Guards against dropping the answer of a write that did not run."""
        group['g1'].set_faults(drop_answers=1)
        client = group['g1'].client()
        with pytest.raises(callers.NoAnswer):
            _insert(client, 1, request=_request('a'))

        assert client.read(1, SELECT_ALL).rows == [[1]]

    def test_answer_faults_are_applied(self, group):
        """Guards against faults that are reported as on but have no effect."""
        client = group['g1'].client()
        group['g1'].set_faults(wrong_ids=1, cut_answers=0)
        assert client.read(1, SELECT_ALL).body['id'] == 'id-of-another-request'
        group['g1'].set_faults(cut_answers=1)
        with pytest.raises(callers.NoAnswer):
            client.read(1, SELECT_ALL)
        group['g1'].set_faults(delay_answers_ms=200)
        started_s = time.monotonic()
        client.read(1, SELECT_ALL)
        assert time.monotonic() - started_s >= 0.2
        assert client.set_faults(misspelt=1).status == 400

    @pytest.mark.parametrize(('mode', 'rows'), [('drop', []), ('run', [[1]])])
    def test_stalled_connections_are_silent(self, group, mode, rows):
        """Guards against a stall that also affects new connections."""
        old = group['g1'].client(timeout_s=0.3)
        old.read(1, SELECT_ALL)
        group['g1'].set_faults(stall_connections=mode)
        with pytest.raises(callers.NoAnswer):
            _insert(old, 1)

        assert group['g1'].client().read(1, SELECT_ALL).rows == rows

    def test_observations_show_every_header_and_text(self, group):
        """Guards against missing a client's key that reaches a target."""
        group['g1'].set_faults(watch=['secret-key', 'unseen'])
        client = group['g1'].client()
        client.post('/status', {'id': 1}, {'X-Leak': 'my secret-key'})
        _insert(client, 'secret-key')
        seen = group['g1'].observations()

        assert ['x-leak', 'my secret-key'] in seen['headers']
        assert seen['watched'] == {'secret-key': 2, 'unseen': 0}
        assert seen['executions'][INSERT] == 1


class TestAnnouncements:
    def test_server_announces_itself(self, kit, entry):
        """Guards against targets that the proxy can't discover."""
        group = kit.start_group(
            zones=['z1'],
            announce=[entry.address, f'{entry.address}@127.0.0.9:1'],
            announce_token='token',
        )
        group['g1'].set_faults(leaving=True)
        harness.wait_until(lambda: entry.seen and entry.seen[-1][2]['leaving'])
        path, headers, body = entry.seen[-1]
        token = headers['Authorization']
        addresses = {item[2]['address'] for item in entry.seen}

        assert (path, token) == ('/v1/announce', 'Bearer token')
        assert addresses == {group['g1'].address, '127.0.0.9:1'}
        body.pop('address')
        numbers = {'term': 1, 'last_term': 1, 'position': 0}
        names = {'group': 'g', 'server': 'g1', 'zone': 'z1', 'role': 'primary'}
        limits = {'slots': 5, 'connections': 30, 'leaving': True}
        assert body == {**numbers, **names, **limits}
