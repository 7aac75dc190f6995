"""Tests of the commands for daemons."""

import json
import pathlib

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class TestMembers:
    def test_replace(self, fake_server, run):
        """Guards against replacing a different member."""
        members = [{'name': 'c2', 'voter': True}]
        fake_server.on('POST', '/v1/members', (200, {'members': members}))
        result = run('member replace', 'c2')
        assert result.code == 0
        assert 'c2' in result.out
        assert fake_server.bodies() == [{'action': 'replace', 'name': 'c2'}]

    def test_removal_is_not_resent_after_lost_response(self, fake_server, run):
        """Guards against running a removal twice."""
        fake_server.on('POST', '/v1/members', run.lost)
        assert run('member remove', 'c2').code == 6
        assert len(fake_server.requests) == 1


class TestDrain:
    def test_only_the_named_process(self, fake_server, other_server, run):
        """Guards against failover to another process of the list."""
        other_server.on('POST', '/v1/drain', (202, {'draining': True}))
        assert run('drain', other_server.address).code == 0
        assert not fake_server.requests


class TestSettingsCheck:
    def test_mistakes_and_exit_code(self, run, tmp_path):
        """Guards against deploying invalid settings."""
        path = tmp_path / 'entry.ini'
        path.write_text((EXAMPLES / 'entry.ini').read_text())
        result = run('settings check', str(path))
        assert result.code == 2
        assert '[node] cluster_secret_file' in result.err
        (tmp_path / 'cluster-secret').write_text('s' * 32)
        assert run('settings check', str(path)).code == 0
        path.write_text('[node]\nname = a b\n')
        result = run('settings check', f'{path} --json')
        mistakes = json.loads(result.err)['mistakes']
        assert {'name', 'zone', 'roles'} <= {m['key'] for m in mistakes}
        assert run('settings check', f'{path}.missing').code == 2
