"""Tests of network partitions between availability zones.

Each of three zones has a control member, an entry process and a server of
the group, all real processes. Faults are injected on the links between zones.
"""

import threading
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import oracle
from sassafrasridge_testkit import zones

ZONES = ('z1', 'z2', 'z3')
KEY = 'partition-key-1'
SERVICE = 'orders'
GROUP = 'orders-db'
MAX_RECOVERY_S = 8.0
WITHDRAWAL_LIMIT_S = 8.0
MAX_RETURN_GAP_S = 1.0
LEASE_S = 1.2
CONFIG_TTL_S = 4.0
RENEW_INTERVAL_S = 0.3


class System:
    """Run a deployment in three zones with one database group."""

    def __init__(self, kit):
        self.kit = kit
        self.deployment = zones.ZoneDeployment(kit, ZONES, ZONES).start()
        self.network = self.deployment.network
        self.group = self.deployment.start_group(GROUP)
        self.deployment.note(
            added=[
                deployments.service(SERVICE, GROUP),
                *deployments.account(
                    'shop', KEY, [SERVICE], rate=5000.0, burst=5000.0
                ),
            ]
        )
        self.deployment.wait_in_force()
        self.wait_settled()
        answer = self.caller('e1').statements(
            'CREATE TABLE t (a INTEGER)', deadline_ms=8000
        )
        assert answer.status == 200, answer

    @property
    def entries(self):
        """Return the names of the entry processes."""
        return list(self.deployment.entries)

    def entry_in(self, zone):
        """Return the name of a zone's entry process."""
        return next(
            name
            for name, node in self.deployment.entries.items()
            if node.zone == zone
        )

    def caller(self, name, key=KEY):
        """Return a client of an entry process."""
        return self.deployment.caller(self.deployment.entries[name], key)

    def leader(self):
        """Return the control member that is leader and its term, or None."""
        for node in self.deployment.control.values():
            operator = self.deployment.operator(node)
            operator.timeout_s = 1.0
            try:
                body = operator.get('/v1/status').body
            except callers.NoAnswer:
                continue
            if body and 'leader' in body:
                leader = self.deployment.control[body['leader']]
                return leader, body['term']
        return None

    def wait_leader(self, timeout_s=MAX_RECOVERY_S):
        """Return the control leader and its term."""
        return harness.wait_until(self.leader, timeout_s, 'control leader')

    def status(self):
        """Return the status that the control leader reports."""
        return self.deployment.status()

    def wait_settled(self):
        """Wait until all targets have the term and all processes a lease."""

        def settled():
            try:
                body = self.status()
            except AssertionError:
                return False
            groups = body.get('groups')
            if not groups:
                return False
            group = groups[0]
            nodes = [node for node in body['nodes'] if node['lease']]
            return (
                len(group['members']) == len(self.group.servers)
                and not group['changing']
                and len(nodes) == len(self.entries)
                and [t['role'] for t in body['targets']].count('primary') == 1
                and all(t['term'] == group['term'] for t in body['targets'])
            )

        harness.wait_until(settled, 20, 'all targets in the current term')

    def recover(self):
        """End all faults and wait until every entry process accepts writes."""
        self.network.isolate()
        self.network.heal_all()
        self.wait_settled()
        for name in self.entries:
            harness.wait_until(
                lambda name=name: (
                    self.caller(name)
                    .statements(
                        ('UPDATE t SET a = a WHERE a < 0'), deadline_ms=1000
                    )
                    .status
                    == 200
                ),
                10,
                f'write through {name}',
            )

    def values(self):
        """Return all values that the primary stores."""
        primary = harness.wait_until(self.group.primary, 5, 'primary')
        term = primary.status()['term']
        answer = primary.client().read(term, 'SELECT a FROM t')
        assert answer.status == 200, answer
        return [row[0] for row in answer.rows]


@pytest.fixture(scope='module')
def shared():
    with harness.Harness() as kit:
        yield System(kit)


@pytest.fixture
def system(shared):
    """Return the system, and end all faults even after a failed test."""
    yield shared
    for process in shared.kit.processes:
        process.resume()
    for server in shared.group.servers.values():
        if not server.process.running:
            server.restart()
    shared.recover()


class Write:
    """Record one write and the answer to it."""

    def __init__(self, value, entry, sent, answer):
        self.value = value
        self.entry = entry
        self.sent = sent
        self.answered = time.monotonic()
        self.status = answer.status
        self.kind = answer.kind
        self.term = None
        self.outcome = 'done'
        if answer.status == 200:
            self.term = answer.body['served_by']['term']
        else:
            self.outcome = answer.body['error']['outcome']


class WriteLoad:
    """Insert distinct values through entry processes until stopped."""

    _next = 1000

    def __init__(self, system, entries=None, deadline_ms=2000):
        self._system = system
        self._deadline_ms = deadline_ms
        self._stop = threading.Event()
        self.writes = []
        self._threads = []
        for name in entries or system.entries:
            WriteLoad._next += 100_000
            self._threads.append(
                threading.Thread(
                    target=self._run, args=(name, WriteLoad._next)
                )
            )

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *args):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name, value):
        caller = self._system.caller(name)
        while not self._stop.is_set():
            value += 1
            sent = time.monotonic()
            answer = caller.statements(
                ('INSERT INTO t VALUES (?)', [value]),
                deadline_ms=self._deadline_ms,
            )
            self.writes.append(Write(value, name, sent, answer))
            time.sleep(0.01)

    def acknowledged(self, since=0.0, entry=None, term=0):
        """Return the acknowledged writes that were sent after a moment."""
        return [
            w
            for w in list(self.writes)
            if w.outcome == 'done'
            and w.sent > since
            and entry in (None, w.entry)
            and w.term >= term
        ]

    def wait_acknowledged(self, entries, since=None, timeout_s=MAX_RECOVERY_S):
        """Wait until each entry process has acknowledged a write."""
        since = time.monotonic() if since is None else since
        harness.wait_until(
            lambda: all(self.acknowledged(since, e) for e in entries),
            timeout_s,
            f'acknowledged writes through {entries}',
        )

    def longest_gap(self, since, until, entries=None):
        """Return the longest time without an acknowledgement, in seconds."""
        return max(
            self._gap(since, until, name)
            for name in entries or self._system.entries
        )

    def _gap(self, since, until, entry):
        moments = sorted(
            w.answered
            for w in self.acknowledged(entry=entry)
            if since < w.answered < until
        )
        edges = [since, *moments, until]
        gap = max(b - a for a, b in zip(edges, edges[1:], strict=False))
        print(f'longest gap through {entry}: {gap:.3f} s')
        return gap

    def check(self, stored):
        """Check every answer against the values that the primary stores."""
        sent = {w.value for w in self.writes}
        stored = [v for v in stored if v in sent]
        assert len(stored) == len(set(stored)), 'a write ran twice'
        stored_set = set(stored)
        lost = [
            w.value
            for w in self.writes
            if w.outcome == 'done' and w.value not in stored_set
        ]
        assert not lost, f'acknowledged writes are lost: {lost}'
        false_not_run = [
            (w.value, w.entry, w.kind)
            for w in self.writes
            if w.outcome == 'not_run' and w.value in stored_set
        ]
        assert not false_not_run, (
            f'writes ran but were answered "not_run": {false_not_run}'
        )


class TestPrimaryZoneCutOff:
    def test_no_acknowledgement_there_and_no_loss(self, system):
        """Guards against acknowledgements by a cut-off, replaced primary."""
        former = system.group.primary()
        term = system.status()['groups'][0]['term']
        inside = system.entry_in(former.zone)
        outside = [name for name in system.entries if name != inside]
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            system.network.cut_zone(former.zone)
            cut_at = time.monotonic()
            load.wait_acknowledged(outside, cut_at)
            harness.wait_until(
                lambda: any(
                    w.kind == 'no_lease' and w.sent > cut_at + LEASE_S
                    for w in list(load.writes)
                ),
                MAX_RECOVERY_S,
                'refusal without a lease',
            )
            cut_off_status = former.status()
            system.network.heal_zone(former.zone)
            healed_at = time.monotonic()
            load.wait_acknowledged(system.entries, healed_at, 10.0)
        system.wait_settled()
        load.check(system.values())
        promoted = min(w.answered for w in load.acknowledged(term=term + 1))
        late = [
            w.value
            for w in load.acknowledged(entry=inside)
            if w.term == term and w.answered > promoted
        ]
        assert not late, f'the former primary acknowledged {late}'
        gap = load.longest_gap(cut_at - 0.1, healed_at, outside)
        assert gap < MAX_RECOVERY_S
        # The former primary is a replica and has discarded its own writes.
        system.group.wait_replicated()
        assert former.status()['role'] == 'replica'
        assert cut_off_status['role'] == 'primary', cut_off_status


class TestCutOffZone:
    def test_it_serves_what_the_design_says(self, system):
        """Guards against serving too much or too little without control."""
        system.deployment.note(
            added=[
                {
                    'kind': 'route',
                    'path': path,
                    'service': SERVICE,
                    'open': True,
                    'partition_reads': partition_reads,
                }
                for path, partition_reads in (('far', True), ('near', False))
            ]
            + deployments.account('leaver', 'leaver-key-1', [SERVICE])
        )
        system.deployment.wait_in_force()
        zone = next(z for z in ZONES if z != system.group.primary().zone)
        inside = system.entry_in(zone)
        caller = system.caller(inside)
        value = 500
        answer = caller.statements(('INSERT INTO t VALUES (?)', [value]))
        assert answer.status == 200, answer
        token = caller.token
        tx = system.caller(inside).begin()
        assert tx.statements('INSERT INTO t VALUES (501)').status == 200
        system.group.wait_replicated()
        query = f'SELECT a FROM t WHERE a = {value}'

        def session(key=KEY):
            client = system.caller(inside, key)
            client.token = token
            return client

        requests = {
            'far': lambda: session(None).route('far', query, access='read'),
            'near': lambda: session(None).route('near', query, access='read'),
            'key': lambda: session().read(query),
            'leaver': lambda: session('leaver-key-1').read(query),
            'write': lambda: session().statements(
                'INSERT INTO t VALUES (502)', deadline_ms=50
            ),
        }
        # Without control, reads are served within the rate share that the
        # process holds. Control gives a share to a process that uses the key.
        for _ in range(20):
            answer = session('leaver-key-1').read(query)
            assert answer.status == 200, answer
        answers = []
        system.network.cut_zone(zone)
        cut_at = time.monotonic()
        outside = next(
            node
            for node in system.deployment.control.values()
            if node.zone != zone
        )
        withdrawal = threading.Thread(
            target=system.deployment.note,
            kwargs={
                'withdrawn': [{'kind': 'key', 'id': 'leaver-1'}],
                'node': outside,
            },
        )
        withdrawal.start()
        while time.monotonic() < cut_at + CONFIG_TTL_S + 1.5:
            for name, call in requests.items():
                sent = time.monotonic() - cut_at
                answers.append((name, sent, call(), time.monotonic() - cut_at))
            time.sleep(0.02)
        withdrawal.join()
        for name, sent, answer, answered in answers:
            case = (name, sent, answer)
            if answer.status == 200 and name != 'write':
                assert answer.rows == [[value]], case
            if answer.status != 200 and name != 'write':
                assert answer.body['error']['outcome'] == 'not_run', case
                # A read that waits for rate tokens when the time limit passes
                # is refused by the rate limit.
                if not sent < CONFIG_TTL_S <= answered + RENEW_INTERVAL_S:
                    assert answer.kind == 'no_lease', case
            if name == 'far':
                assert answer.status == 200, case
            elif name == 'write':
                if sent >= LEASE_S:
                    assert answer.kind == 'no_lease', case
                    assert answer.body['error']['outcome'] == 'not_run', case
            elif answered < CONFIG_TTL_S - RENEW_INTERVAL_S - 0.2:
                # The last renewal may have been sent one interval earlier.
                assert answer.status == 200, case
            elif sent >= CONFIG_TTL_S:
                assert answer.status == 503, case
        commit = tx.commit()
        system.network.heal_zone(zone)
        assert commit.kind in ('transaction_lost', 'no_lease'), commit
        assert commit.body['error']['outcome'] == 'not_run'
        system.recover()
        assert 501 not in system.values()
        answer = system.caller(inside, 'leaver-key-1').read('SELECT 1')
        assert answer.status == 401, answer


class TestControlMemberIsolated:
    def _isolate(self, system, node, seconds):
        system.network.isolate(node.http, node.rpc)
        time.sleep(seconds)

    def test_follower_disturbs_no_one(self, system):
        """Guards against a returning follower that forces an election."""
        leader, term = system.wait_leader()
        member = next(
            n for n in system.deployment.control.values() if n is not leader
        )
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            started = time.monotonic()
            self._isolate(system, member, 3.0)
            system.deployment.note(
                added=deployments.account('unseen', 'unseen-key-1', []),
                node=leader,
            )
            number = system.deployment._note_number
            operator = system.deployment.operator(member)
            operator.timeout_s = 6.0
            try:
                status = operator.get('/v1/status').status
            except callers.NoAnswer:
                status = None
            system.network.isolate()
            returned = time.monotonic()
            harness.wait_until(
                lambda: self._caught_up(system, leader, member),
                MAX_RECOVERY_S,
                'catching up of the returned member',
            )
            time.sleep(1.0)
            ended = time.monotonic()
        load.check(system.values())
        assert status != 200, 'an isolated member answered from outdated state'
        assert system.wait_leader() == (leader, term)
        assert load.longest_gap(started, ended) < MAX_RETURN_GAP_S
        assert load.longest_gap(returned, ended) < MAX_RETURN_GAP_S
        found = system.deployment.operator(member).get(f'/v1/notes/{number}')
        assert found.status == 200, found

    @staticmethod
    def _caught_up(system, leader, member):
        body = system.deployment.operator(leader).get('/v1/members').body
        if 'members' not in body:
            return False
        index = {m['name']: m['index'] for m in body['members']}
        return index[member.name] == max(index.values())

    def test_leader_is_replaced_once(self, system):
        """Guards against an isolated leader that acts or leads again."""
        leader, term = system.wait_leader()
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            started = time.monotonic()
            system.network.isolate(leader.http, leader.rpc)
            others = [
                n
                for n in system.deployment.control.values()
                if n is not leader
            ]
            answer = system.deployment.note(
                added=deployments.account('later', 'later-key-1', []),
                node=others[0],
            )
            assert answer.status == 200, answer
            operator = system.deployment.operator(leader)
            operator.timeout_s = 6.0
            try:
                status = operator.get('/v1/status').status
            except callers.NoAnswer:
                status = None
            load.wait_acknowledged(system.entries)
            new, new_term = system.wait_leader()
            system.network.isolate()
            returned = time.monotonic()
            harness.wait_until(
                lambda: self._caught_up(system, new, leader),
                MAX_RECOVERY_S,
                'catching up of the returned member',
            )
            time.sleep(1.0)
            ended = time.monotonic()
        load.check(system.values())
        assert status != 200, 'an isolated leader answered from outdated state'
        assert new is not leader
        assert system.wait_leader() == (new, new_term)
        assert new_term > term
        assert load.longest_gap(started, returned) < MAX_RECOVERY_S
        assert load.longest_gap(returned, ended) < MAX_RETURN_GAP_S


class TestLeaderCutOffWhilePrimaryIsKilled:
    def test_primary_changes_in_time(self, system):
        """Guards against a change of primary that needs the former leader."""
        leader, _ = system.wait_leader()
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            victim = system.group.primary()
            system.network.isolate(leader.http, leader.rpc)
            killed_at = time.monotonic()
            victim.process.kill()
            load.wait_acknowledged(system.entries, killed_at, 12.0)
            ended = time.monotonic()
        assert load.longest_gap(killed_at, ended) < MAX_RECOVERY_S
        system.network.isolate()
        victim.restart()
        system.wait_settled()
        load.check(system.values())


class TestPartialPartition:
    @pytest.mark.parametrize('both', [False, True])
    def test_two_zones_apart_that_reach_a_third(self, system, both):
        """Guards against an outage of all zones when one link fails."""
        primary = system.group.primary()
        remote, third = (z for z in ZONES if z != primary.zone)
        term = system.status()['groups'][0]['term']
        connected = [system.entry_in(primary.zone), system.entry_in(third)]
        reader = system.caller(system.entry_in(remote))
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            system.network.cut(remote, primary.zone, both=both)
            started = time.monotonic()
            reads = []
            while time.monotonic() < started + 3.0:
                answer = reader.read('SELECT 1', deadline_ms=2000)
                reads.append(answer)
                time.sleep(0.05)
            load.wait_acknowledged(connected)
            ended = time.monotonic()
            system.network.heal_all()
            load.wait_acknowledged(system.entries)
        system.wait_settled()
        load.check(system.values())
        assert load.longest_gap(started, ended, connected) < MAX_RECOVERY_S
        # The primary still reaches a majority, so it is not replaced.
        assert system.status()['groups'][0]['term'] == term
        refused = [answer for answer in reads if answer.status != 200]
        assert not refused, refused


class TestConnectionsBetweenZonesSilent:
    def test_everything_goes_on(self, system):
        """Guards against waiting indefinitely for silent connections."""
        with WriteLoad(system) as load:
            load.wait_acknowledged(system.entries)
            for pair in (('z1', 'z2'), ('z1', 'z3'), ('z2', 'z3')):
                system.network.silence(*pair)
                system.network.silence(*pair[::-1])
            silenced_at = time.monotonic()
            load.wait_acknowledged(system.entries, silenced_at)
            reply = system.deployment.note(
                added=deployments.account('silent', 'silent-key-1', [])
            )
            assert reply.status == 200, reply
            system.deployment.wait_in_force()
            ended = time.monotonic()
        assert ended - silenced_at < MAX_RECOVERY_S
        assert load.longest_gap(silenced_at, ended) < MAX_RECOVERY_S
        system.wait_settled()
        load.check(system.values())


class TestClosingRouteWithPartitionReads:
    def test_it_waits_for_every_registered_process(self, system):
        """Guards against withdrawing a route that a cut-off zone serves."""
        item = {
            'kind': 'route',
            'path': 'closing',
            'service': SERVICE,
            'open': True,
            'partition_reads': True,
        }
        system.deployment.note(added=[item])
        system.deployment.wait_in_force()
        leader, _ = system.wait_leader()
        primary = system.group.primary()
        zone = next(z for z in ZONES if z not in (leader.zone, primary.zone))
        cut_off = system.deployment.entries[system.entry_in(zone)]
        system.network.cut_zone(zone)
        system.deployment.note(
            changed=[{**item, 'partition_reads': False}], node=leader
        )

        def withdraw():
            system.deployment._note_number += 1
            return system.deployment.submit(
                {
                    'number': system.deployment._note_number,
                    'operator': 'ana',
                    'added': [],
                    'changed': [],
                    'withdrawn': [{'kind': 'route', 'path': 'closing'}],
                },
                leader,
            )

        assert withdraw().status == 400
        # After this the lease has expired, but the process stays registered.
        time.sleep(CONFIG_TTL_S * 1.02 + 0.2)
        assert withdraw().status == 400
        answer = system.caller(cut_off.name, None).route(
            'closing', 'SELECT 1', access='read'
        )
        assert answer.status == 200, answer
        system.network.heal_zone(zone)
        harness.wait_until(
            lambda: withdraw().status == 200,
            MAX_RECOVERY_S,
            'accepted withdrawal',
        )
        harness.wait_until(
            lambda: (
                system.caller(cut_off.name, None)
                .route('closing', 'SELECT 1', access='read')
                .status
                == 404
            ),
            MAX_RECOVERY_S,
            'refusal of the withdrawn route',
        )


class TestEntryProcessPaused:
    def test_a_write_in_flight_is_told_the_truth(self, system):
        """Guards against acknowledging a write after the lease has expired."""
        primary = system.group.primary()
        zone = next(z for z in ZONES if z != primary.zone)
        node = system.deployment.entries[system.entry_in(zone)]
        process = node.process
        with WriteLoad(system, [node.name], deadline_ms=8000) as load:
            load.wait_acknowledged([node.name])
            primary.set_faults(delay_answers_ms=300)
            time.sleep(0.4)
            process.pause()
            primary.set_faults(delay_answers_ms=0, stop_replication=True)
            paused_at = time.monotonic()
            primary.process.kill()
            harness.wait_until(
                lambda: (
                    system.group.primary() not in (None, primary)
                    and time.monotonic() > paused_at + 2 * LEASE_S
                ),
                MAX_RECOVERY_S,
                'change of primary',
            )
            process.resume()
            load.wait_acknowledged([node.name])
        primary.restart()
        system.wait_settled()
        load.check(system.values())

    def test_rate_holds_when_a_holder_resumes(self, system):
        """Guards against using a rate share that another process now holds."""
        rate, burst, holder_threads = 20.0, 20.0, 20
        key = 'paused-key-1'
        system.deployment.note(
            added=deployments.account(
                'paused', key, [SERVICE], rate=rate, burst=burst
            )
        )
        system.deployment.wait_in_force()
        spans = []
        stop = threading.Event()

        def run(name):
            caller = system.caller(name, key)
            while not stop.is_set():
                sent = time.monotonic()
                answer = caller.read('SELECT 1', deadline_ms=100)
                if answer.status == 200:
                    spans.append((sent, time.monotonic()))
                else:
                    time.sleep(0.01)

        def start(name, count):
            threads = [
                threading.Thread(target=run, args=(name,))
                for _ in range(count)
            ]
            for thread in threads:
                thread.start()
            return threads

        holder, other = system.entries[:2]
        process = system.deployment.entries[holder].process
        threads = start(holder, holder_threads)
        harness.wait_until(
            lambda: len(spans) > burst, 5, 'use of the burst by the holder'
        )
        process.pause()
        try:
            # The share expires and the burst refills.
            time.sleep(CONFIG_TTL_S * 1.02 + 0.5 + burst / rate)
            before = len(spans)
            threads += start(other, 4)
            harness.wait_until(
                lambda: len(spans) - before >= burst,
                2,
                'use of the burst by the other',
            )
        finally:
            process.resume()
        time.sleep(1.0)
        stop.set()
        for thread in threads:
            thread.join()
        assert oracle.overrun(rate, burst, spans) == 0.0
