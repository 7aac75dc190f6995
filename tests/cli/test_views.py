"""Tests of the commands that show the status and the audit trail."""

import json

ENTRY = {
    'sequence': 1,
    'time': 86400.0,
    'who': 'ana',
    'address': '127.0.0.1',
    'kind': 'note',
    'accepted': False,
    'revision': 1,
    'number': 2,
    'what': 'a <b> c',
}
STATUS = {
    'leader': 'c1',
    'revision': 5,
    'nodes': [{'entry': 'e1', 'zone': 'z1', 'lease': True}],
    'targets': [],
    'groups': [{'group': 'g', 'term': 2, 'primary': None}],
    'accounts': [{'name': 'shop', 'rate': 1.0, 'burst': 2.0}],
}


class TestStatus:
    def test_sections(self, fake_server, run):
        """Guards against a status section that is not shown."""
        fake_server.on('GET', '/v1/status', (200, STATUS))
        out = run('status').out
        for text in ('leader: c1', 'e1', 'shop', 'targets:', 'yes', '-'):
            assert text in out
        groups = json.loads(run('status', 'groups --json').out)
        assert groups == STATUS['groups']
        assert run('status', 'x').code == 2


class TestAudit:
    def test_filters(self, fake_server, run):
        """Guards against filters that are dropped or changed."""
        fake_server.on('GET', '/v1/audit', (200, {'entries': [ENTRY]}))
        result = run('audit', '--who ana --since 1970-01-02 --kind note')
        assert fake_server.requests[0][2] == 'who=ana&kind=note&since=86400.0'
        assert 'a <b> c' in result.out
        assert '1970-01-02 00:00:00+00:00' in result.out
        printed = json.loads(run('audit', '--json').out)
        assert printed == [ENTRY]
        assert run('audit', '--since yesterday').code == 2

    def test_export_keeps_existing_files(self, fake_server, run, tmp_path):
        """Guards against an export that overwrites an earlier one."""
        fake_server.on('GET', '/v1/audit', (200, {'entries': [ENTRY]}))
        path = tmp_path / 'audit.jsonl'
        assert run('audit', f'--export {path}').code == 0
        assert json.loads(path.read_text()) == ENTRY
        assert run('audit', f'--export {path}').code == 2
