"""The command line against real daemons."""

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

    def execute(*arguments, text=None):
        return subprocess.run(
            [sys.executable, '-m', 'sassafrasridge_cli.main', *arguments],
            env=env,
            input=text,
            capture_output=True,
            text=True,
            timeout=60,
        )

    return execute


class TestCommands:
    def test_an_operators_day(self, system, run):
        """Guards against commands that the daemon does not understand."""
        account = {'kind': 'account', 'name': 'shop', 'rate': 5, 'burst': 5}
        note = json.dumps({'number': 1, 'added': [account]})
        checked = run('note', 'check', '-', text=note)
        assert (checked.returncode, checked.stderr) == (0, '')
        first = run('note', 'submit', '--wait', '--json', '-', text=note)
        assert (first.returncode, first.stderr) == (0, '')
        again = run('note', 'submit', '--json', '-', text=note)
        answer = json.loads(again.stdout)
        assert answer.items() <= json.loads(first.stdout).items()
        other = note.replace('shop', 'mart')
        taken = run('note', 'submit', '-', text=other)
        assert taken.returncode == 4
        assert answer['digest'] in taken.stderr

        made = run('key', 'create', 'shop', '--id', 'k1', '--json')
        assert (made.returncode, made.stderr) == (0, '')
        assert json.loads(made.stdout)['note']['number'] == 2
        assert run('key', 'withdraw', 'k1').returncode == 0
        back = {'kind': 'key', **json.loads(made.stdout)['item']}
        note = json.dumps({'number': 4, 'added': [back]})
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
        trail = json.loads(run('audit', '--kind', 'note', '--json').stdout)
        assert [e['accepted'] for e in trail] == [1, 0, 1, 1, 0]
        secret = json.loads(made.stdout)['secret']
        assert secret not in json.dumps(trail)

    def test_drain(self, system, run):
        """Guards against a drain command that leaves the process running."""
        deployment, _, _ = system
        (node,) = deployment.entries.values()
        assert run('drain', node.http).returncode == 0
        assert node.process.wait_exit(20.0) == 0
