"""Control members: races, restarts, lost disks, isolation."""

import shutil
import threading
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1', 'z2', 'z3'), ('z1', 'z2'))


def leader(system):
    """Return the control member that leads."""
    for node in system.deployment.control.values():
        operator = system.deployment.operator(node)
        # A member that a test paused never answers.
        operator.timeout_s = 1.0
        try:
            body = operator.get('/v1/members').body
        except callers.NoAnswer:
            continue
        if body and 'leader' in body:
            return system.deployment.control[body['leader']]
    return None


def wait_leader(system, other_than=None):
    return harness.wait_until(
        lambda: (node := leader(system)) is not other_than and node,
        15,
        'control leader',
    )


def note(number, operator, *items):
    return {
        'number': number,
        'operator': operator,
        'added': list(items),
        'changed': [],
        'withdrawn': [],
    }


def account(name):
    return {'kind': 'account', 'name': name, 'rate': 1.0, 'burst': 1.0}


def submit(system, node, body):
    """Submit until the answer is certain."""
    return system.deployment.submit(body, node)


def next_number(system):
    system.deployment._note_number += 1
    return system.deployment._note_number


class TestNoteRace:
    def test_one_of_two_operators_wins_during_a_change_of_leader(self, system):
        """Guards against accepting two notes under one number."""
        old = wait_leader(system)
        others = [
            n for n in system.deployment.control.values() if n is not old
        ]
        number = next_number(system)
        bodies = [
            note(number, 'ana', account('race-a')),
            note(number, 'ben', account('race-b')),
        ]
        found = {}

        def run(place):
            found[place] = submit(system, others[place], bodies[place])

        threads = [threading.Thread(target=run, args=(n,)) for n in (0, 1)]
        old.process.pause()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        old.process.resume()
        statuses = sorted(answer.status for answer in found.values())
        assert statuses == [200, 409], found
        winner = next(n for n in (0, 1) if found[n].status == 200)
        refused = found[1 - winner]
        assert found[winner].body['digest'] in str(refused.body)
        # A resend through any member gets the first answer again.
        for node in system.deployment.control.values():
            again = submit(system, node, bodies[winner])
            assert again.body == found[winner].body
            again = submit(system, node, bodies[1 - winner])
            assert again.status == 409
        names = {a['name'] for a in system.status()['accounts']}
        assert f'race-{"ab"[winner]}' in names
        assert f'race-{"ab"[1 - winner]}' not in names

    def test_every_mistake_is_listed_and_nothing_applied(self, system):
        """Guards against applying a part of a wrong note."""
        number = next_number(system)
        items = [account('fine')] + [
            {'kind': 'account', 'name': f'bad{n}', 'rate': -1.0, 'burst': 1.0}
            for n in range(10)
        ]
        before = system.status()['revision']
        answer = submit(
            system, wait_leader(system), note(number, 'ana', *items)
        )
        assert answer.status == 400
        message = answer.body['error']['message']
        assert all(f'added[{n}]' in message for n in range(1, 11)), message
        assert system.status()['revision'] == before
        system.deployment._note_number -= 1


class TestLeaderPaused:
    def test_resumed_leader_grants_and_accepts_nothing(self, system):
        """Guards against a leader that acts after its lease."""
        old = wait_leader(system)
        old.process.pause()
        wait_leader(system, old)
        number = next_number(system)
        new = wait_leader(system, old)
        body = note(number, 'ana', account('during-pause'))
        assert submit(system, new, body).status == 200
        old.process.resume()
        taken = submit(system, old, note(number, 'ben', account('late')))
        assert taken.status == 409
        names = {a['name'] for a in system.status()['accounts']}
        assert 'during-pause' in names
        assert 'late' not in names
        system.deployment.wait_ready(system.node(0))


class TestMemberKilled:
    def test_each_member_in_turn_under_changes(self, system):
        """Guards against losing an accepted note when a member dies."""
        accepted = []
        for victim in list(system.deployment.control.values()):
            wait_leader(system)
            victim.process.kill()
            for _ in range(5):
                number = next_number(system)
                name = f'kill-{number}'
                node = wait_leader(system)
                answer = submit(
                    system, node, note(number, 'ana', account(name))
                )
                assert answer.status == 200, answer
                accepted.append(name)
            victim.process.start()
        wait_leader(system)
        names = {a['name'] for a in system.status()['accounts']}
        assert set(accepted) <= names

    def test_restart_of_everything_keeps_the_configuration(self, system):
        """Guards against reverting the configuration by a restart."""
        wait_leader(system)
        before = system.status()
        nodes = [
            *system.deployment.control.values(),
            *system.deployment.entries.values(),
        ]
        for node in nodes:
            node.process.kill()
        for node in nodes:
            node.process.launch()
        for node in nodes:
            node.process.wait_ready()
        wait_leader(system)
        for node in system.deployment.entries.values():
            system.deployment.wait_ready(node)
        after = system.status()
        assert after['revision'] == before['revision']
        assert after['accounts'] == before['accounts']
        system.wait_settled()
        assert system.insert(next_number(system)).status in (200, 429)


class TestDiskLost:
    def test_second_member_lost_right_after_the_repair(self, system):
        """Guards against a repair that claims success too early."""
        wait_leader(system)
        number = next_number(system)
        body = note(number, 'ana', account('before-repair'))
        assert submit(system, wait_leader(system), body).status == 200
        lead = wait_leader(system)
        first, second = (
            n for n in system.deployment.control.values() if n is not lead
        )
        first.process.kill()
        shutil.rmtree(system.kit.folder / f'{first.name}.data')
        first.process.start()
        answer = system.deployment.operator(lead).command(
            '/v1/members', {'action': 'replace', 'name': first.name}
        )
        assert answer.status == 200, answer
        second.process.kill()
        number = next_number(system)
        body = note(number, 'ana', account('after-repair'))
        assert submit(system, wait_leader(system), body).status == 200
        names = {a['name'] for a in system.status()['accounts']}
        assert {'before-repair', 'after-repair'} <= names
        second.process.start()

    def test_member_with_an_empty_disk_does_not_vote(self, system):
        """Guards against a vote by a member that forgot what it held."""
        wait_leader(system)
        lead = wait_leader(system)
        first, second = (
            n for n in system.deployment.control.values() if n is not lead
        )
        first.process.kill()
        shutil.rmtree(system.kit.folder / f'{first.name}.data')
        lead.process.kill()
        first.process.start()
        # Only one member of three holds the log, so nothing may be accepted.
        end = time.monotonic() + 3.0
        while time.monotonic() < end:
            answer = system.deployment.operator(second, 'ana').submit(
                note(next_number(system), 'ana', account('minority'))
            )
            assert answer.status == 503, answer
        lead.process.start()
        node = wait_leader(system)
        answer = system.deployment.operator(node).command(
            '/v1/members', {'action': 'replace', 'name': first.name}
        )
        assert answer.status == 200, answer


class TestAudit:
    def test_accepted_and_refused_changes_are_recorded(self, system):
        """Guards against a change that leaves no trace."""
        node = wait_leader(system)
        operator = system.deployment.operator(node)
        number = next_number(system)
        good = note(number, 'ana', account('audited'))
        assert submit(system, node, good).status == 200
        bad = note(number, 'ana', account('refused'))
        assert submit(system, node, bad).status == 409
        entries = operator.get('/v1/audit?kind=note').body['entries']
        mine = [e for e in entries if e['number'] == number]
        assert [e['accepted'] for e in mine] == [True, False]
        assert all(e['address'] for e in mine)
        assert {e['who'] for e in mine} == {'ana'}


class TestEntryRemoved:
    def test_only_a_process_without_a_lease_is_removed(self, system):
        """Guards against forgetting a process that still serves."""
        wait_leader(system)
        name, node = list(system.deployment.entries.items())[-1]
        body = {'action': 'remove', 'name': name}

        def remove():
            operator = system.deployment.operator(wait_leader(system), 'ana')
            return operator.command('/v1/entries', body)

        answer = harness.wait_until(
            lambda: (found := remove()).status != 503 and found, 10, 'answer'
        )
        assert answer.status == 409, answer
        node.process.kill()
        harness.wait_until(lambda: remove().status == 200, 15, 'removal')
        assert name not in {n['entry'] for n in system.status()['nodes']}
        entries = (
            system.deployment.operator(wait_leader(system))
            .get('/v1/audit?kind=entry&who=ana')
            .body['entries']
        )
        assert entries[-1]['what'] == f'remove {name}'
        # It may come back: it registers again.
        node.process.start()
        system.deployment.wait_ready(node)


class TestAuditPages:
    def test_pages_follow_each_other(self, system):
        """Guards against an export that misses or repeats entries."""
        operator = system.deployment.operator(wait_leader(system))
        whole = operator.get('/v1/audit').body['entries']
        middle = whole[len(whole) // 2]['sequence']
        rest = operator.get(f'/v1/audit?after={middle}').body['entries']
        assert [e['sequence'] for e in rest[:3]] == [
            middle + 1,
            middle + 2,
            middle + 3,
        ]
        last = whole[-1]['sequence']
        later = operator.get(f'/v1/audit?after={last}').body['entries']
        assert all(e['sequence'] > last for e in later)


class TestDrainRecorded:
    def test_drain_is_in_the_audit_trail(self, system):
        """Guards against a planned stop that leaves no trace."""
        node = list(system.deployment.entries.values())[-1]
        operator = system.deployment.operator(node, 'ben')
        answer = operator.command('/v1/drain', {})
        assert answer.status == 202
        assert answer.body['recorded'] is True
        assert node.process.wait_exit(20) == 0
        node.process.start()
        system.deployment.wait_ready(node)
        entries = (
            system.deployment.operator(wait_leader(system))
            .get('/v1/audit?kind=drain&who=ben')
            .body['entries']
        )
        assert entries[-1]['what'] == f'drain {node.name}'
