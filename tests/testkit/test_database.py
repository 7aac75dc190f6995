"""Tests of the stand-in database server, as a process."""

import concurrent.futures
import http.server
import random
import threading
import time

import orjson
import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness

INSERT = 'INSERT INTO t VALUES (?) RETURNING a'
ALL = 'SELECT a FROM t ORDER BY a'


def _request(id_, digest='d', limit=1000):
    return {
        'account': 'acme',
        'id': id_,
        'digest': digest,
        'answer_limit': limit,
    }


def _insert(client, value, term=1, **options):
    return client.execute(term, (INSERT, [value]), **options)


class TestExecute:
    def test_answers_repeat_id_and_position(self, group):
        """Guards against answers that can't be matched to their request."""
        answer = _insert(group['g1'].client(), 7)

        assert answer.body == {
            'id': 'r1',
            'term': 1,
            'position': 2,
            'role': 'primary',
            'results': [{'columns': ['a'], 'rows': [[7]]}],
            'majority_position': 2,
            'replayed': False,
        }

    def test_refusals_run_nothing(self, group):
        """Guards against a refusal that is not true."""
        primary = group['g1'].client()
        replica = group['g2'].client()
        answers = [
            primary.execute(2, (INSERT, [1])),
            replica.execute(1, (INSERT, [1])),
            primary.read(1, (INSERT, [1])),
            primary.order('/execute', term=1, group='other'),
            primary.order('/execute', term=1, tx='sometimes'),
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
        assert [item.body['id'] for item in answers] == [
            'r1',
            'r1',
            'r2',
            'r3',
            'r4',
            'r5',
            'r6',
        ]
        assert primary.read(1, ALL).rows == []

    def test_malformed_http_closes_only_its_connection(self, group):
        """Guards against a stand-in that stops by bad input."""
        client = group['g1'].client()
        bad = callers.HttpClient(group['g1'].listen)
        answers = [
            bad.request('POST', '/execute', body, None)
            for body in ([1], {'id': 1}, {'id': 1, 'term': 'x'}, None)
        ]
        assert {item.status for item in answers} == {400}
        assert bad.post('/unknown').status == 404
        assert client.read(1, 'SELECT 1').rows == [[1]]

    def test_slots_limit_concurrent_statements(self, kit):
        """Guards against a target without a capacity limit."""
        group = kit.start_group(
            zones=['z1'], options=('--slots', '2', '--cost-ms', '100')
        )
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            began = time.monotonic()
            list(
                pool.map(
                    lambda _: group['g1'].client().read(1, 'SELECT 1'),
                    range(6),
                )
            )
            took = time.monotonic() - began

        assert took >= 0.3

    def test_connections_over_the_limit_are_refused(self, kit):
        """Guards against hiding a proxy that opens too many connections."""
        group = kit.start_group(
            zones=['z1'],
            options=('--connections', '2', '--connect-cost-ms', '50'),
        )
        clients = [group['g1'].client() for _ in range(3)]
        began = time.monotonic()
        answers = [client.read(1, 'SELECT 1') for client in clients]
        took = time.monotonic() - began

        assert [item.status for item in answers] == [200, 200, 503]
        assert answers[2].kind == 'too_many_connections'
        assert answers[2].headers['connection'] == 'close'
        assert took >= 0.1
        # Control needs no connection of the budget.
        assert group['g1'].order('/fence', term=2)['term'] == 2
        clients[0].close()
        harness.wait_until(
            lambda: clients[2].read(2, 'SELECT 1').status == 200, 5
        )


class TestRequestIds:
    def test_resend_is_replayed(self, group):
        """Guards against a resend that runs twice."""
        client = group['g1'].client()
        first = _insert(client, 1, request=_request('a'))
        again = _insert(group['g1'].client(), 1, request=_request('a'))
        other = _insert(client, 2, request=_request('a', 'other'))

        assert (first.body['replayed'], again.body['replayed']) == (0, 1)
        assert again.rows == first.rows == [[1]]
        assert again.body['position'] == first.body['position']
        assert (other.status, other.kind) == (409, 'request_conflict')
        commits = group['g1'].observations()['commits']
        assert commits == {'acme/a': 1}

    def test_row_survives_a_change_of_primary(self, group):
        """Guards against a promotion that forgets what already ran."""
        first = _insert(group['g1'].client(), 1, request=_request('a'))
        group['g1'].process.kill()
        primary = group.change_primary(2, ['g2', 'g3'])
        again = _insert(primary.client(), 1, 2, request=_request('a'))

        assert again.body['replayed'] is True
        assert again.body['position'] == first.body['position']
        assert again.body['majority_position'] >= again.body['position']

    def test_answer_over_the_limit_is_replayed_without_results(self, group):
        """Guards against a replay that repeats another answer."""
        client = group['g1'].client()
        _insert(client, 'x' * 99, request=_request('a', limit=10))
        again = _insert(client, 'x' * 99, request=_request('a', limit=10))

        assert again.body['replayed'] is True
        assert again.body['results'] is None


class TestTransactions:
    def test_commit_is_stored_by_its_request_id(self, group):
        """Guards against a commit whose lost answer can't be resolved."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        assert group['g1'].client().read(1, ALL).rows == []
        _insert(client, 2, tx='in')
        done = client.execute(1, tx='commit', request=_request('c'))
        other = group['g1'].client()
        again = other.execute(1, tx='commit', request=_request('c'))
        never = other.execute(1, tx='commit', request=_request('d'))
        group.wait_replicated()

        assert (done.status, again.body['replayed']) == (200, True)
        assert never.kind == 'no_transaction'
        assert group['g2'].client().read(1, ALL).rows == [[1], [2]]

    def test_closed_connection_rolls_back(self, group):
        """Guards against a lost caller's transaction that blocks others."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        client.close()
        answer = _insert(group['g1'].client(), 2)

        assert answer.status == 200
        assert group['g1'].client().read(1, ALL).rows == [[2]]

    def test_failed_statement_rolls_back_all(self, group):
        """Guards against committing a part of a transaction."""
        client = group['g1'].client()
        _insert(client, 1, tx='begin')
        failed = _insert(client, 1, tx='in')
        after = client.execute(1, tx='commit')

        assert (failed.kind, after.kind) == (
            'statement_failed',
            'no_transaction',
        )
        assert client.read(1, ALL).rows == []

    def test_second_writer_waits_up_to_a_bound(self, kit):
        """Guards against interleaved writers and endless waits."""
        group = kit.start_group(
            zones=['z1'], options=('--writer-wait-ms', '100')
        )
        holder = group['g1'].client()
        holder.execute(1, 'CREATE TABLE t (a)')
        _insert(holder, 1, tx='begin')
        refused = _insert(group['g1'].client(), 2)
        holder.execute(1, tx='rollback')

        assert (refused.status, refused.kind) == (409, 'writer_busy')
        assert _insert(group['g1'].client(), 3).status == 200

    def test_idle_transaction_ends(self, kit):
        """Guards against a silent connection that blocks all writers."""
        group = kit.start_group(
            zones=['z1'], options=('--idle-transaction-ms', '100')
        )
        holder = group['g1'].client()
        holder.execute(1, 'CREATE TABLE t (a)')
        _insert(holder, 1, tx='begin')

        assert _insert(group['g1'].client(), 2).status == 200
        assert holder.execute(1, tx='commit').kind == 'no_transaction'

    def test_read_transaction_works_on_a_replica(self, group):
        """Guards against sending every transaction to the primary."""
        client = group['g2'].client()
        options = {'access': 'read'}
        answers = [
            client.execute(1, ALL, tx='begin', **options),
            client.execute(1, (INSERT, [1]), tx='in', **options),
            client.execute(1, ALL, tx='begin', **options),
            client.execute(1, tx='commit', **options),
        ]

        assert [item.kind for item in answers] == [
            None,
            'read_only',
            None,
            None,
        ]


class TestReplication:
    def test_write_without_a_majority_says_so(self, group):
        """Guards against taking a local write for a durable one."""
        for name in ('g2', 'g3'):
            group[name].faults(refuse_replication=True)
        answer = _insert(group['g1'].client(), 1, request=_request('a'))
        assert answer.body['majority_position'] < answer.body['position']
        group['g2'].faults(refuse_replication=False)
        again = _insert(group['g1'].client(), 1, request=_request('a'))
        assert again.body['majority_position'] >= again.body['position']

    def test_one_received_copy_makes_a_majority(self, group):
        """Guards against waiting for a replica that is down."""
        group['g3'].process.kill()
        body = _insert(group['g1'].client(), 1).body

        assert body['majority_position'] == body['position']

    def test_received_is_ahead_of_applied_while_a_replica_lags(self, group):
        """Guards against a lagging replica that looks current."""
        group['g2'].faults(apply_lag_ms=60_000)
        before = group['g2'].status()['applied']
        body = _insert(group['g1'].client(), 1).body
        harness.wait_until(
            lambda: group['g2'].status()['received'] == body['position']
        )
        answer = group['g2'].client().read(1, ALL)
        assert (answer.rows, answer.body['position']) == ([], before)
        group['g2'].faults(apply_lag_ms=0)
        assert group['g2'].client().read(1, ALL).rows == [[1]]

    def test_restarted_replica_catches_up_from_its_file(self, group):
        """Guards against a restart that loses or repeats entries."""
        _insert(group['g1'].client(), 1)
        group['g2'].process.kill()
        _insert(group['g1'].client(), 2)
        group['g2'].restart()
        group.wait_replicated()

        assert group['g2'].client().read(1, ALL).rows == [[1], [2]]


class TestChangeOfPrimary:
    def test_fenced_server_refuses_the_old_term(self, group):
        """Guards against a replaced primary that goes on."""
        holder = group['g1'].client()
        _insert(holder, 1, tx='begin')
        status = group['g1'].order('/fence', term=2)
        answers = [
            holder.execute(1, tx='commit', request=_request('c')),
            _insert(group['g1'].client(), 2),
            group['g1'].client().execute(2, ALL),
        ]
        stale = group['g1'].client().order('/fence', term=1)

        assert (status['role'], status['term']) == ('replica', 2)
        assert status['last_term'] == 1
        assert [item.kind for item in answers] == [
            'wrong_term',
            'wrong_term',
            'not_primary',
        ]
        assert stale.kind == 'wrong_term'

    def test_fenced_majority_blocks_acknowledgement(self, group):
        """Guards against a write acknowledged by a replaced primary."""
        for name in ('g2', 'g3'):
            group[name].order('/fence', term=2)
        body = _insert(group['g1'].client(), 1).body

        assert body['majority_position'] < body['position']

    def test_fence_ends_a_waiting_write_without_majority(self, group):
        """Guards against an acknowledgement after the fence."""
        group['g1'].faults(stop_replication=True)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(_insert, group['g1'].client(), 1)
            harness.wait_until(lambda: group['g1'].status()['received'] == 2)
            group['g1'].order('/fence', term=2)
            body = fut.result().body

        assert body['term'] == 1
        assert body['majority_position'] < body['position']

    def test_former_primary_drops_its_tail(self, group):
        """Guards against a write that only the former primary holds."""
        group['g1'].faults(stop_replication=True)
        _insert(group['g1'].client(), 'lost', request=_request('a'))
        primary = group.change_primary(2, ['g2', 'g3'])
        body = _insert(primary.client(), 'kept', 2).body
        group['g1'].order('/follow', term=2, start=1, primary=primary.address)
        group.wait_replicated()
        client = group['g1'].client()

        assert body['majority_position'] == body['position']
        assert client.read(2, ALL).rows == [['kept']]
        assert group['g1'].status()['role'] == 'replica'

    def test_killed_primary_returns_with_its_term_and_log(self, group):
        """Guards against a test that never meets a returning primary."""
        _insert(group['g1'].client(), 1)
        group['g1'].process.kill()
        group['g1'].restart()
        assert group['g1'].status()['role'] == 'primary'
        assert _insert(group['g1'].client(), 2).status == 200
        group['g1'].process.kill()
        group.change_primary(2, ['g2', 'g3'])
        group['g1'].restart()
        group.wait_replicated()

        assert group['g1'].client().read(2, ALL).rows == [[1], [2]]

    def test_orders_are_idempotent_and_checked(self, group):
        """Guards against a resent order that does harm."""
        members = group.members
        order = group['g1'].client().order
        again = order('/promote', term=1, start=0, members=members)
        other = order('/promote', term=1, start=5, members=members)
        ahead = (
            group['g2']
            .client()
            .order('/promote', term=2, start=9, members=members)
        )
        second = (
            group['g2']
            .client()
            .order('/promote', term=1, start=0, members=members)
        )
        follow = order('/follow', term=1, start=0, primary='x')

        assert again.body['role'] == 'primary'
        assert [item.kind for item in (other, ahead, second, follow)] == [
            'already_promoted',
            'position_missing',
            'already_started',
            'already_promoted',
        ]

    @pytest.mark.parametrize('seed', range(3))
    def test_acknowledged_writes_survive_random_changes(self, group, seed):
        """Guards against losing writes by partitions and restarts."""
        rng = random.Random(seed)
        names = list(group.servers)
        acknowledged = set()
        term = 1
        for number in range(30):
            _partition(group, rng)
            for server in group.servers.values():
                status = server.status()
                # A replaced primary that was not fenced goes on writing.
                if status['role'] == 'primary' and rng.random() < 0.8:
                    value = rng.randint(0, number)
                    body = _insert(
                        server.client(),
                        value,
                        status['term'],
                        request=_request(str(value)),
                    ).body
                    if body['majority_position'] >= body['position']:
                        acknowledged.add(value)
            if rng.random() < 0.25:
                victim = group[rng.choice(names)]
                victim.process.kill()
                victim.restart()
            if rng.random() < 0.5:
                term += 1
                _change_primary_partly(group, rng, term)
        for server in group.servers.values():
            server.faults(refuse_replication=False, stop_replication=False)
        group.change_primary(term + 1, names)
        group.wait_replicated()
        rows = [
            group[name].client().read(term + 1, ALL).rows for name in names
        ]

        assert len(acknowledged) > 3
        assert acknowledged <= {row[0] for row in rows[0]}
        assert rows[0] == rows[1] == rows[2]


def _partition(group, rng):
    for server in group.servers.values():
        unreachable = rng.sample(list(group.servers), rng.choice([0, 0, 1, 2]))
        server.faults(
            refuse_replication=rng.random() < 0.35,
            stop_replication=unreachable,
        )


def _change_primary_partly(group, rng, term):
    """Fence two servers; promote the better one or stop before that."""
    fenced = {
        name: group[name].order('/fence', term=term)
        for name in rng.sample(list(group.servers), 2)
    }
    chosen = max(
        fenced,
        key=lambda name: (
            fenced[name]['last_term'],
            fenced[name]['received'],
        ),
    )
    if rng.random() < 0.8:
        start = fenced[chosen]['received']
        group[chosen].order(
            '/promote', term=term, start=start, members=group.members
        )


class TestFaults:
    def test_dropped_answer_is_committed(self, group):
        """Guards against a drop that hides whether the write ran."""
        group['g1'].faults(drop_answers=1)
        client = group['g1'].client()
        with pytest.raises(callers.NoAnswer):
            _insert(client, 1, request=_request('a'))

        assert client.read(1, ALL).rows == [[1]]

    def test_spoiled_answers(self, group):
        """Guards against faults that are reported as on but have no effect."""
        client = group['g1'].client()
        group['g1'].faults(wrong_ids=1, cut_answers=0)
        assert client.read(1, ALL).body['id'] == 'id-of-another-request'
        group['g1'].faults(cut_answers=1)
        with pytest.raises(callers.NoAnswer):
            client.read(1, ALL)
        group['g1'].faults(delay_answers_ms=200)
        began = time.monotonic()
        client.read(1, ALL)
        assert time.monotonic() - began >= 0.2
        assert client.faults(misspelt=1).status == 400

    @pytest.mark.parametrize(('mode', 'rows'), [('drop', []), ('run', [[1]])])
    def test_stalled_connections_are_silent(self, group, mode, rows):
        """Guards against a silence that also stops new connections."""
        old = group['g1'].client(timeout_s=0.3)
        old.read(1, ALL)
        group['g1'].faults(stall_connections=mode)
        with pytest.raises(callers.NoAnswer):
            _insert(old, 1)

        assert group['g1'].client().read(1, ALL).rows == rows

    def test_observations_show_every_header_and_text(self, group):
        """Guards against a caller's key that reaches a target unseen."""
        group['g1'].faults(watch=['secret-key', 'unseen'])
        client = group['g1'].client()
        client.post('/status', {'id': 1}, {'X-Leak': 'my secret-key'})
        _insert(client, 'secret-key')
        seen = group['g1'].observations()

        assert ['x-leak', 'my secret-key'] in seen['headers']
        assert seen['watched'] == {'secret-key': 2, 'unseen': 0}
        assert seen['executions'][INSERT] == 1


class _Listener(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        data = self.rfile.read(int(self.headers['Content-Length']))
        self.server.seen.append(
            (self.path, self.headers['Authorization'], orjson.loads(data))
        )
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.end_headers()

    def log_message(self, *args):
        pass


class TestAnnouncements:
    def test_server_announces_itself(self, kit):
        """Guards against targets that the proxy can't find."""
        server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Listener)
        server.seen = []
        threading.Thread(target=server.serve_forever, daemon=True).start()
        address = f'127.0.0.1:{server.server_port}'
        group = kit.start_group(
            zones=['z1'],
            announce=[address, f'{address}@127.0.0.9:1'],
            announce_token='token',
        )
        group['g1'].faults(leaving=True)
        harness.wait_until(
            lambda: server.seen and server.seen[-1][2]['leaving']
        )
        server.shutdown()
        server.server_close()
        path, token, body = server.seen[-1]
        addresses = {item[2]['address'] for item in server.seen}

        assert (path, token) == ('/v1/announce', 'Bearer token')
        assert addresses == {group['g1'].address, '127.0.0.9:1'}
        assert {**body, 'address': ''} == {
            'group': 'g',
            'server': 'g1',
            'role': 'primary',
            'term': 1,
            'last_term': 1,
            'position': 0,
            'address': '',
            'zone': 'z1',
            'slots': 5,
            'connections': 30,
            'leaving': True,
        }
