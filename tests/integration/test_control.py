"""Tests of control members: races, pauses, restarts and lost disks."""

import shutil
import threading
import time

import pytest

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import harness


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1', 'z2', 'z3'), ('z1', 'z2'))


def find_leader(system):
    """Return the control member that is leader, or None."""
    for node in system.deployment.control.values():
        operator = system.deployment.operator(node)
        # A member that a test has paused does not answer.
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
        lambda: (node := find_leader(system)) is not other_than and node,
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
    """Submit a note and retry until its outcome is known."""
    return system.deployment.submit(body, node)


def next_number(system):
    system.deployment._note_number += 1
    return system.deployment._note_number


class TestNoteRace:
    def test_one_of_two_operators_wins_during_a_change_of_leader(self, system):
        """Guards against accepting two notes with the same number."""
        old_leader = wait_leader(system)
        others = [
            n
            for n in system.deployment.control.values()
            if n is not old_leader
        ]
        number = next_number(system)
        bodies = [
            note(number, 'ana', account('race-a')),
            note(number, 'ben', account('race-b')),
        ]
        answers = {}

        def run(index):
            answers[index] = submit(system, others[index], bodies[index])

        threads = [threading.Thread(target=run, args=(n,)) for n in (0, 1)]
        old_leader.process.pause()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        old_leader.process.resume()
        statuses = sorted(answer.status for answer in answers.values())
        assert statuses == [200, 409], answers
        winner = next(n for n in (0, 1) if answers[n].status == 200)
        refused = answers[1 - winner]
        assert answers[winner].body['digest'] in str(refused.body)
        # A resend through any member gets the same answer as the first time.
        for node in system.deployment.control.values():
            again = submit(system, node, bodies[winner])
            assert again.body == answers[winner].body
            again = submit(system, node, bodies[1 - winner])
            assert again.status == 409
        names = {a['name'] for a in system.status()['accounts']}
        assert f'race-{"ab"[winner]}' in names
        assert f'race-{"ab"[1 - winner]}' not in names

    def test_every_error_is_listed_and_nothing_is_applied(self, system):
        """Guards against applying part of an invalid note."""
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
        """Guards against a paused leader that acts on an expired lease."""
        old_leader = wait_leader(system)
        old_leader.process.pause()
        wait_leader(system, old_leader)
        number = next_number(system)
        new = wait_leader(system, old_leader)
        body = note(number, 'ana', account('during-pause'))
        assert submit(system, new, body).status == 200
        old_leader.process.resume()
        late = submit(system, old_leader, note(number, 'ben', account('late')))
        assert late.status == 409
        names = {a['name'] for a in system.status()['accounts']}
        assert 'during-pause' in names
        assert 'late' not in names
        system.deployment.wait_ready(system.node(0))


class TestMemberKilled:
    def test_each_member_in_turn_during_submissions(self, system):
        """Guards against losing an accepted note when a member is killed."""
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
        """Guards against a restart that reverts the configuration."""
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
        """Guards against confirming a repair before the log is complete."""
        wait_leader(system)
        number = next_number(system)
        body = note(number, 'ana', account('before-repair'))
        assert submit(system, wait_leader(system), body).status == 200
        leader = wait_leader(system)
        first, second = (
            n for n in system.deployment.control.values() if n is not leader
        )
        first.process.kill()
        shutil.rmtree(system.kit.folder / f'{first.name}.data')
        first.process.start()
        answer = system.deployment.operator(leader).command(
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
        """Guards against a vote by a member that lost its log."""
        wait_leader(system)
        leader = wait_leader(system)
        first, second = (
            n for n in system.deployment.control.values() if n is not leader
        )
        first.process.kill()
        shutil.rmtree(system.kit.folder / f'{first.name}.data')
        leader.process.kill()
        first.process.start()
        # Only one member of three has the log, so no note may be accepted.
        end = time.monotonic() + 3.0
        while time.monotonic() < end:
            answer = system.deployment.operator(second, 'ana').submit(
                note(next_number(system), 'ana', account('minority'))
            )
            assert answer.status == 503, answer
        leader.process.start()
        node = wait_leader(system)
        answer = system.deployment.operator(node).command(
            '/v1/members', {'action': 'replace', 'name': first.name}
        )
        assert answer.status == 200, answer


class TestAudit:
    def test_accepted_and_refused_changes_are_recorded(self, system):
        """Guards against a change that is missing from the audit trail."""
        node = wait_leader(system)
        operator = system.deployment.operator(node)
        number = next_number(system)
        accepted = note(number, 'ana', account('audited'))
        assert submit(system, node, accepted).status == 200
        refused = note(number, 'ana', account('refused'))
        assert submit(system, node, refused).status == 409
        entries = operator.get('/v1/audit?kind=note').body['entries']
        recorded = [e for e in entries if e['number'] == number]
        assert [e['accepted'] for e in recorded] == [True, False]
        assert all(e['address'] for e in recorded)
        assert {e['who'] for e in recorded} == {'ana'}


class TestEntryRemoved:
    def test_only_a_process_without_a_lease_is_removed(self, system):
        """Guards against removing a process that still serves requests."""
        wait_leader(system)
        name, node = list(system.deployment.entries.items())[-1]
        body = {'action': 'remove', 'name': name}

        def remove():
            operator = system.deployment.operator(wait_leader(system), 'ana')
            return operator.command('/v1/entries', body)

        answer = harness.wait_until(
            lambda: (result := remove()).status != 503 and result, 10, 'answer'
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
        # A removed process that starts again registers anew.
        node.process.start()
        system.deployment.wait_ready(node)


class TestAuditPages:
    def test_pages_are_contiguous(self, system):
        """Guards against an export that misses or repeats entries."""
        operator = system.deployment.operator(wait_leader(system))
        entries = operator.get('/v1/audit').body['entries']
        middle = entries[len(entries) // 2]['sequence']
        rest = operator.get(f'/v1/audit?after={middle}').body['entries']
        assert [e['sequence'] for e in rest[:3]] == [
            middle + 1,
            middle + 2,
            middle + 3,
        ]
        last = entries[-1]['sequence']
        newer = operator.get(f'/v1/audit?after={last}').body['entries']
        assert all(e['sequence'] > last for e in newer)


class TestDrainRecorded:
    def test_drain_is_in_the_audit_trail(self, system):
        """Guards against a drain that is missing from the audit trail."""
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
