"""Partitions between availability zones, with real processes.

Each of three zones has a control member, an entry process and a server of
the group. Faults are injected on the paths between the zones.
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
GAP_LIMIT_S = 8.0
WITHDRAWAL_LIMIT_S = 8.0
RETURN_LIMIT_S = 1.0
LEASE_S = 1.2
CONFIG_TTL_S = 4.0
RENEW_INTERVAL_S = 0.3


class System:
    """Hold a deployment in three zones and its database group."""

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
        """Return a caller's client of an entry process."""
        return self.deployment.caller(self.deployment.entries[name], key)

    def leader(self):
        """Return the control member that leads, and its term."""
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

    def wait_leader(self, timeout_s=GAP_LIMIT_S):
        """Return the control leader and its term."""
        return harness.wait_until(self.leader, timeout_s, 'control leader')

    def status(self):
        """Return what the control leader reports."""
        return self.deployment.status()

    def wait_settled(self):
        """Wait until every target has its place and every entry a lease."""

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

        harness.wait_until(settled, 20, 'settled group')

    def recover(self):
        """End all faults and wait until every entry process writes."""
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
        """Return all values at the primary."""
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
    """Return the system without faults, also after a failed test."""
    yield shared
    for process in shared.kit.processes:
        process.resume()
    for server in shared.group.servers.values():
        if not server.process.running:
            server.restart()
    shared.recover()


class Write:
    """Hold one write and what its caller was told."""

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


class Load:
    """Insert distinct values through entry processes until stopped."""

    _next = 1000

    def __init__(self, system, entries=None, deadline_ms=2000):
        self._system = system
        self._deadline_ms = deadline_ms
        self._stop = threading.Event()
        self.writes = []
        self._threads = []
        for name in entries or system.entries:
            Load._next += 100_000
            self._threads.append(
                threading.Thread(target=self._run, args=(name, Load._next))
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
        """Return acknowledged writes that were sent after a moment."""
        return [
            w
            for w in list(self.writes)
            if w.outcome == 'done'
            and w.sent > since
            and entry in (None, w.entry)
            and w.term >= term
        ]

    def wait_acknowledged(self, entries, since=None, timeout_s=GAP_LIMIT_S):
        """Wait until each of the entry processes acknowledged a write."""
        since = time.monotonic() if since is None else since
        harness.wait_until(
            lambda: all(self.acknowledged(since, e) for e in entries),
            timeout_s,
            f'acknowledged writes through {entries}',
        )

    def longest_gap(self, since, until, entries=None):
        """Return the longest time that an entry process was silent."""
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
        """Check every answer against what the primary holds."""
        own = {w.value for w in self.writes}
        stored = [v for v in stored if v in own]
        assert len(stored) == len(set(stored)), 'a write ran twice'
        held = set(stored)
        lost = [
            w.value
            for w in self.writes
            if w.outcome == 'done' and w.value not in held
        ]
        assert not lost, f'acknowledged writes are lost: {lost}'
        false = [
            (w.value, w.entry, w.kind)
            for w in self.writes
            if w.outcome == 'not_run' and w.value in held
        ]
        assert not false, f'"not run" was said of {false}'


class TestPrimaryZoneCutOff:
    def test_no_acknowledgement_there_and_no_loss(self, system):
        """Guards against acknowledging in a zone whose primary is replaced."""
        former = system.group.primary()
        term = system.status()['groups'][0]['term']
        inside = system.entry_in(former.zone)
        outside = [name for name in system.entries if name != inside]
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            system.network.cut_zone(former.zone)
            cut_at = time.monotonic()
            load.wait_acknowledged(outside, cut_at)
            harness.wait_until(
                lambda: any(
                    w.kind == 'no_lease' and w.sent > cut_at + LEASE_S
                    for w in list(load.writes)
                ),
                GAP_LIMIT_S,
                'refusal without a lease',
            )
            tail = former.status()
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
        assert gap < GAP_LIMIT_S
        # The former primary follows, and what only it held is gone.
        system.group.wait_replicated()
        assert former.status()['role'] == 'replica'
        assert tail['role'] == 'primary', tail


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
            found = system.caller(inside, key)
            found.token = token
            return found

        kinds = {
            'far': lambda: session(None).route('far', query, access='read'),
            'near': lambda: session(None).route('near', query, access='read'),
            'key': lambda: session().read(query),
            'leaver': lambda: session('leaver-key-1').read(query),
            'write': lambda: session().statements(
                'INSERT INTO t VALUES (502)', deadline_ms=50
            ),
        }
        # Reads without control are served within the share held, and a share
        # is given to a process that uses the key.
        for _ in range(20):
            answer = session('leaver-key-1').read(query)
            assert answer.status == 200, answer
        seen = []
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
            for name, call in kinds.items():
                sent = time.monotonic() - cut_at
                seen.append((name, sent, call(), time.monotonic() - cut_at))
            time.sleep(0.02)
        withdrawal.join()
        for name, sent, answer, answered in seen:
            case = (name, sent, answer)
            if answer.status == 200 and name != 'write':
                assert answer.rows == [[value]], case
            if answer.status != 200 and name != 'write':
                assert answer.body['error']['outcome'] == 'not_run', case
                # A read that waits for its share while the limit passes is
                # refused by its rate.
                if not sent < CONFIG_TTL_S <= answered + RENEW_INTERVAL_S:
                    assert answer.kind == 'no_lease', case
            if name == 'far':
                assert answer.status == 200, case
            elif name == 'write':
                if sent >= LEASE_S:
                    assert answer.kind == 'no_lease', case
                    assert answer.body['error']['outcome'] == 'not_run', case
            elif answered < CONFIG_TTL_S - RENEW_INTERVAL_S - 0.2:
                # The last renewal may have been sent an interval earlier.
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
        """Guards against a returning member that forces an election."""
        lead, term = system.wait_leader()
        member = next(
            n for n in system.deployment.control.values() if n is not lead
        )
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            began = time.monotonic()
            self._isolate(system, member, 3.0)
            system.deployment.note(
                added=deployments.account('unseen', 'unseen-key-1', []),
                node=lead,
            )
            number = system.deployment._note_number
            operator = system.deployment.operator(member)
            operator.timeout_s = 6.0
            try:
                old = operator.get('/v1/status').status
            except callers.NoAnswer:
                old = None
            system.network.isolate()
            returned = time.monotonic()
            harness.wait_until(
                lambda: self._caught_up(system, lead, member),
                GAP_LIMIT_S,
                'returning member',
            )
            time.sleep(1.0)
            ended = time.monotonic()
        load.check(system.values())
        assert old != 200, 'an isolated member answered from old state'
        assert system.wait_leader() == (lead, term)
        assert load.longest_gap(began, ended) < RETURN_LIMIT_S
        assert load.longest_gap(returned, ended) < RETURN_LIMIT_S
        found = system.deployment.operator(member).get(f'/v1/notes/{number}')
        assert found.status == 200, found

    @staticmethod
    def _caught_up(system, lead, member):
        body = system.deployment.operator(lead).get('/v1/members').body
        if 'members' not in body:
            return False
        index = {m['name']: m['index'] for m in body['members']}
        return index[member.name] == max(index.values())

    def test_leader_is_replaced_once(self, system):
        """Guards against an isolated leader that acts or comes back."""
        lead, term = system.wait_leader()
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            began = time.monotonic()
            system.network.isolate(lead.http, lead.rpc)
            others = [
                n for n in system.deployment.control.values() if n is not lead
            ]
            answer = system.deployment.note(
                added=deployments.account('later', 'later-key-1', []),
                node=others[0],
            )
            assert answer.status == 200, answer
            operator = system.deployment.operator(lead)
            operator.timeout_s = 6.0
            try:
                old = operator.get('/v1/status').status
            except callers.NoAnswer:
                old = None
            load.wait_acknowledged(system.entries)
            new, new_term = system.wait_leader()
            system.network.isolate()
            returned = time.monotonic()
            harness.wait_until(
                lambda: self._caught_up(system, new, lead),
                GAP_LIMIT_S,
                'returning member',
            )
            time.sleep(1.0)
            ended = time.monotonic()
        load.check(system.values())
        assert old != 200, 'an isolated leader answered from old state'
        assert new is not lead
        assert system.wait_leader() == (new, new_term)
        assert new_term > term
        assert load.longest_gap(began, returned) < GAP_LIMIT_S
        assert load.longest_gap(returned, ended) < RETURN_LIMIT_S


class TestLeaderCutOffWhilePrimaryIsKilled:
    def test_primary_changes_in_time(self, system):
        """Guards against a change of primary that needs the old leader."""
        lead, _ = system.wait_leader()
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            victim = system.group.primary()
            system.network.isolate(lead.http, lead.rpc)
            moment = time.monotonic()
            victim.process.kill()
            load.wait_acknowledged(system.entries, moment, 12.0)
            ended = time.monotonic()
        assert load.longest_gap(moment, ended) < GAP_LIMIT_S
        system.network.isolate()
        victim.restart()
        system.wait_settled()
        load.check(system.values())


class TestPartialPartition:
    @pytest.mark.parametrize('both', [False, True])
    def test_two_zones_apart_that_reach_a_third(self, system, both):
        """Guards against an outage for all when one path fails."""
        primary = system.group.primary()
        far, third = (z for z in ZONES if z != primary.zone)
        term = system.status()['groups'][0]['term']
        near = [system.entry_in(primary.zone), system.entry_in(third)]
        reader = system.caller(system.entry_in(far))
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            system.network.cut(far, primary.zone, both=both)
            began = time.monotonic()
            reads = []
            while time.monotonic() < began + 3.0:
                answer = reader.read('SELECT 1', deadline_ms=2000)
                reads.append(answer)
                time.sleep(0.05)
            load.wait_acknowledged(near)
            ended = time.monotonic()
            system.network.heal_all()
            load.wait_acknowledged(system.entries)
        system.wait_settled()
        load.check(system.values())
        assert load.longest_gap(began, ended, near) < GAP_LIMIT_S
        # A majority reaches the primary, so it stays.
        assert system.status()['groups'][0]['term'] == term
        refused = [answer for answer in reads if answer.status != 200]
        assert not refused, refused


class TestConnectionsBetweenZonesSilent:
    def test_everything_goes_on(self, system):
        """Guards against waiting for good on silent connections."""
        with Load(system) as load:
            load.wait_acknowledged(system.entries)
            for pair in (('z1', 'z2'), ('z1', 'z3'), ('z2', 'z3')):
                system.network.silence(*pair)
                system.network.silence(*pair[::-1])
            moment = time.monotonic()
            load.wait_acknowledged(system.entries, moment)
            reply = system.deployment.note(
                added=deployments.account('silent', 'silent-key-1', [])
            )
            assert reply.status == 200, reply
            system.deployment.wait_in_force()
            ended = time.monotonic()
        assert ended - moment < GAP_LIMIT_S
        assert load.longest_gap(moment, ended) < GAP_LIMIT_S
        system.wait_settled()
        load.check(system.values())


class TestClosingRouteWithPartitionReads:
    def test_it_waits_for_every_registered_process(self, system):
        """Guards against closing a route that a cut-off zone serves."""
        item = {
            'kind': 'route',
            'path': 'closing',
            'service': SERVICE,
            'open': True,
            'partition_reads': True,
        }
        system.deployment.note(added=[item])
        system.deployment.wait_in_force()
        lead, _ = system.wait_leader()
        primary = system.group.primary()
        zone = next(z for z in ZONES if z not in (lead.zone, primary.zone))
        away = system.deployment.entries[system.entry_in(zone)]
        system.network.cut_zone(zone)
        system.deployment.note(
            changed=[{**item, 'partition_reads': False}], node=lead
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
                lead,
            )

        assert withdraw().status == 400
        # Beyond this, control has forgotten the lease but not the process.
        time.sleep(CONFIG_TTL_S * 1.02 + 0.2)
        assert withdraw().status == 400
        answer = system.caller(away.name, None).route(
            'closing', 'SELECT 1', access='read'
        )
        assert answer.status == 200, answer
        system.network.heal_zone(zone)
        harness.wait_until(
            lambda: withdraw().status == 200, GAP_LIMIT_S, 'accepted note'
        )
        harness.wait_until(
            lambda: (
                system.caller(away.name, None)
                .route('closing', 'SELECT 1', access='read')
                .status
                == 404
            ),
            GAP_LIMIT_S,
            'end of the route',
        )


class TestEntryProcessPaused:
    def test_a_write_in_flight_is_told_the_truth(self, system):
        """Guards against acknowledging after the lease ran out."""
        primary = system.group.primary()
        zone = next(z for z in ZONES if z != primary.zone)
        node = system.deployment.entries[system.entry_in(zone)]
        process = node.process
        with Load(system, [node.name], deadline_ms=8000) as load:
            load.wait_acknowledged([node.name])
            primary.faults(delay_answers_ms=300)
            time.sleep(0.4)
            process.pause()
            primary.faults(delay_answers_ms=0, stop_replication=True)
            paused_at = time.monotonic()
            primary.process.kill()
            harness.wait_until(
                lambda: (
                    system.group.primary() not in (None, primary)
                    and time.monotonic() > paused_at + 2 * LEASE_S
                ),
                GAP_LIMIT_S,
                'change of primary',
            )
            process.resume()
            load.wait_acknowledged([node.name])
        primary.restart()
        system.wait_settled()
        load.check(system.values())

    def test_rate_holds_when_a_holder_resumes(self, system):
        """Guards against spending a share that was given to another."""
        rate, burst, waiting = 20.0, 20.0, 20
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
        threads = start(holder, waiting)
        harness.wait_until(lambda: len(spans) > burst, 5, 'use of the burst')
        process.pause()
        try:
            # The share returns, and the burst is full again.
            time.sleep(CONFIG_TTL_S * 1.02 + 0.5 + burst / rate)
            before = len(spans)
            threads += start(other, 4)
            harness.wait_until(
                lambda: len(spans) - before >= burst, 2, 'use by the other'
            )
        finally:
            process.resume()
        time.sleep(1.0)
        stop.set()
        for thread in threads:
            thread.join()
        assert oracle.overrun(rate, burst, spans) == 0.0
