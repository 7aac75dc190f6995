"""Tests of the command line against real daemons."""

import json
import subprocess
import sys

import pytest

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness


@pytest.fixture(scope='module')
def system():
    with harness.Harness() as kit:
        deployment = deployments.Deployment(kit, entry_zones=('z1',))
        deployment.start()
        token = kit.folder / 'operator-token'
        token.write_text(deployment.tokens['operator'])
        servers = [n.http for n in deployment.control.values()]
        yield deployment, servers, token


@pytest.fixture
def run(system, tmp_path):
    _, servers, token = system
    env = {
        'PYTHONPATH': ':'.join(sys.path),
        'XDG_CONFIG_HOME': str(tmp_path),
        'SASSAFRASRIDGE_SERVERS': ','.join(servers),
        'SASSAFRASRIDGE_TOKEN_FILE': str(token),
    }

    def run_cli(*arguments, text=None):
        return subprocess.run(
            [sys.executable, '-m', 'sassafrasridge_cli.main', *arguments],
            env=env,
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
        )

    return run_cli


class TestCommands:
    def test_note_key_member_and_audit_commands(self, system, run):
        """Guards against commands that a real daemon rejects."""
        account = {'kind': 'account', 'name': 'shop', 'rate': 5, 'burst': 5}
        note = json.dumps({'number': 1, 'added': [account]})
        checked = run('note', 'check', '-', text=note)
        assert (checked.returncode, checked.stderr) == (0, '')
        submitted = run('note', 'submit', '--wait', '--json', '-', text=note)
        assert (submitted.returncode, submitted.stderr) == (0, '')
        resent = run('note', 'submit', '--json', '-', text=note)
        answer = json.loads(resent.stdout)
        assert answer.items() <= json.loads(submitted.stdout).items()
        conflicting = note.replace('shop', 'mart')
        conflict = run('note', 'submit', '-', text=conflicting)
        assert conflict.returncode == 4
        assert answer['digest'] in conflict.stderr

        created = run('key', 'create', 'shop', '--id', 'k1', '--json')
        assert (created.returncode, created.stderr) == (0, '')
        assert json.loads(created.stdout)['note']['number'] == 2
        assert run('key', 'withdraw', 'k1').returncode == 0
        withdrawn_key = {'kind': 'key', **json.loads(created.stdout)['item']}
        note = json.dumps({'number': 4, 'added': [withdrawn_key]})
        refused = run('note', 'submit', '-', text=note)
        assert refused.returncode == 2
        assert 'added[0].id' in refused.stderr

        listed = json.loads(run('note', 'list', '--json').stdout)
        assert [n['number'] for n in listed] == [3, 2, 1]
        status = json.loads(run('status', '--json').stdout)
        assert [a['name'] for a in status['accounts']] == ['shop']
        assert run('status').returncode == 0
        members = json.loads(run('member', 'list', '--json').stdout)
        assert [m['name'] for m in members] == ['c1']
        audit_entries = json.loads(
            run('audit', '--kind', 'note', '--json').stdout
        )
        assert [e['accepted'] for e in audit_entries] == [1, 0, 1, 1, 0]
        secret = json.loads(created.stdout)['secret']
        assert secret not in json.dumps(audit_entries)

    def test_drain(self, system, run):
        """Guards against a drain command that leaves the process running."""
        deployment, _, _ = system
        (node,) = deployment.entries.values()
        assert run('drain', node.http).returncode == 0
        assert node.process.wait_exit(20.0) == 0
