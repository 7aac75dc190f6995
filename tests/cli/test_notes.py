"""Tests of the commands on release notes."""

import json

import pytest

ANSWER = {'number': 8, 'revision': 9, 'operator': 'ana', 'digest': 'd'}
PLACE = {'entry': 'e1', 'zone': 'z2', 'revision': 7}
WAITING = [{**PLACE, 'seconds_since_renewal': 3.5}]


@pytest.fixture
def note(tmp_path):
    path = tmp_path / 'note.json'
    path.write_text('{"added": []}')
    return path


class TestSubmit:
    def test_next_number_after_a_race(self, stand_in, run, note):
        """Guards against two operators with the same free number."""
        listed = [(200, {'notes': [{'number': n}]}) for n in (6, 7)]
        stand_in.on('GET', '/v1/notes', *listed)
        taken = (409, run.error('number_taken'))
        stand_in.on('POST', '/v1/notes', taken, (200, ANSWER))
        result = run('note submit', f'{note} --json')
        assert (result.code, json.loads(result.out)) == (0, ANSWER)
        assert [b['number'] for b in stand_in.bodies()] == [7, 8]

    def test_own_number_is_kept(self, stand_in, run, note):
        """Guards against a resend that becomes a second note."""
        note.write_text('{"number": 7}')
        stand_in.on('POST', '/v1/notes', (409, run.error('number_taken')))
        assert run('note submit', str(note)).code == 4
        assert stand_in.bodies() == [{'number': 7}]

    def test_every_mistake_is_printed(self, stand_in, run, note):
        """Guards against mistakes that the operator does not see."""
        mistake = {'path': 'added[0].rate', 'found': "'<b>'", 'allowed': 'x'}
        body = run.error('bad_note', mistakes=[mistake, mistake])
        stand_in.on('POST', '/v1/notes/check', (400, body))
        result = run('note check', str(note))
        assert result.code == 2
        assert result.err.count("added[0].rate: found '<b>', allowed: x") == 2

    @pytest.mark.parametrize('text', ['', '[1]', '{"a": }'])
    def test_file_that_is_not_a_note(self, run, note, text):
        """Guards against a traceback in place of a remedy."""
        note.write_text(text)
        assert run('note submit', str(note)).code == 2
        assert run('note submit', f'{note}.missing').code == 2


class TestWait:
    def test_until_in_force(self, stand_in, run):
        """Guards against an end before the note is in force."""
        behind = {**ANSWER, 'in_force': False, 'not_in_force_at': WAITING}
        done = {**ANSWER, 'in_force': True, 'not_in_force_at': []}
        path = '/v1/notes/8'
        stand_in.on('GET', path, (200, behind), (200, done))
        result = run('note wait', '8')
        assert result.code == 0
        assert 'in force: yes' in result.out
        assert len(stand_in.requests) == 2

    def test_timeout_names_the_processes(self, stand_in, run):
        """Guards against a wait that does not say where it stopped."""
        behind = {**ANSWER, 'in_force': False, 'not_in_force_at': WAITING}
        stand_in.on('GET', '/v1/notes/8', (200, behind))
        result = run('note wait', '8 --timeout 0')
        assert result.code == 5
        assert 'e1' in result.out
        assert 'not in force at 1 processes' in result.err


class TestList:
    def test_table_and_json(self, stand_in, run):
        """Guards against output that only one kind of reader can use."""
        stand_in.on('GET', '/v1/notes', (200, {'notes': [ANSWER]}))
        assert 'ana' in run('note list').out
        assert json.loads(run('note list', '--json').out) == [ANSWER]
