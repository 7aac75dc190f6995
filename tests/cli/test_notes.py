"""Tests of the commands for release notes."""

import json

import pytest

ANSWER = {'number': 8, 'revision': 9, 'operator': 'ana', 'digest': 'd'}
LAGGING_ENTRY = {'entry': 'e1', 'zone': 'z2', 'revision': 7}
LAGGING_ENTRIES = [{**LAGGING_ENTRY, 'seconds_since_renewal': 3.5}]


@pytest.fixture
def note(tmp_path):
    path = tmp_path / 'note.json'
    path.write_text('{"added": []}')
    return path


class TestSubmit:
    def test_next_number_is_used_after_a_conflict(
        self, fake_server, run, note
    ):
        """Guards against failing when another operator took the number."""
        listed = [(200, {'notes': [{'number': n}]}) for n in (6, 7)]
        fake_server.on('GET', '/v1/notes', *listed)
        taken = (409, run.error('number_taken'))
        fake_server.on('POST', '/v1/notes', taken, (200, ANSWER))
        result = run('note submit', f'{note} --json')
        assert (result.code, json.loads(result.out)) == (0, ANSWER)
        assert [b['number'] for b in fake_server.bodies()] == [7, 8]

    def test_given_number_is_kept(self, fake_server, run, note):
        """Guards against a resend that creates a second note."""
        note.write_text('{"number": 7}')
        fake_server.on('POST', '/v1/notes', (409, run.error('number_taken')))
        assert run('note submit', str(note)).code == 4
        assert fake_server.bodies() == [{'number': 7}]

    def test_every_mistake_is_printed(self, fake_server, run, note):
        """Guards against hiding mistakes from the operator."""
        mistake = {'path': 'added[0].rate', 'found': "'<b>'", 'allowed': 'x'}
        body = run.error('bad_note', mistakes=[mistake, mistake])
        fake_server.on('POST', '/v1/notes/check', (400, body))
        result = run('note check', str(note))
        assert result.code == 2
        assert result.err.count("added[0].rate: found '<b>', allowed: x") == 2

    @pytest.mark.parametrize('text', ['', '[1]', '{"a": }'])
    def test_file_that_is_not_a_note(self, run, note, text):
        """Guards against a traceback instead of an error message."""
        note.write_text(text)
        assert run('note submit', str(note)).code == 2
        assert run('note submit', f'{note}.missing').code == 2


class TestWait:
    def test_waits_until_in_force(self, fake_server, run):
        """Guards against returning before the note is in force."""
        behind = {
            **ANSWER,
            'in_force': False,
            'not_in_force_at': LAGGING_ENTRIES,
        }
        done = {**ANSWER, 'in_force': True, 'not_in_force_at': []}
        path = '/v1/notes/8'
        fake_server.on('GET', path, (200, behind), (200, done))
        result = run('note wait', '8')
        assert result.code == 0
        assert 'in force: yes' in result.out
        assert len(fake_server.requests) == 2

    def test_timeout_names_the_processes(self, fake_server, run):
        """Guards against a timeout that does not list the processes."""
        behind = {
            **ANSWER,
            'in_force': False,
            'not_in_force_at': LAGGING_ENTRIES,
        }
        fake_server.on('GET', '/v1/notes/8', (200, behind))
        result = run('note wait', '8 --timeout 0')
        assert result.code == 5
        assert 'e1' in result.out
        assert 'not in force at 1 processes' in result.err


class TestList:
    def test_table_and_json(self, fake_server, run):
        """Guards against output that lacks the table or the JSON form."""
        fake_server.on('GET', '/v1/notes', (200, {'notes': [ANSWER]}))
        assert 'ana' in run('note list').out
        assert json.loads(run('note list', '--json').out) == [ANSWER]
