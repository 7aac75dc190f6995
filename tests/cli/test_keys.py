"""Tests of the commands that create and withdraw keys."""

import hashlib
import json

ANSWER = {'number': 3, 'revision': 4, 'operator': 'ana', 'digest': 'd'}


class TestCreate:
    def test_only_the_digest_is_sent(self, fake_server, run):
        """Guards against sending the secret to the server."""
        fake_server.on('POST', '/v1/notes', (200, ANSWER))
        result = run('key create', 'shop --id k1 --number 3 --json')
        secret = json.loads(result.out)['secret']
        digest = hashlib.sha256(secret.encode()).hexdigest()
        item = {'kind': 'key', 'id': 'k1', 'account': 'shop'}
        expected = {'added': [{**item, 'digest': digest}], 'number': 3}
        assert fake_server.bodies() == [expected]
        assert len(secret) >= 43

    def test_secrets_differ(self, run):
        """Guards against issuing the same secret twice."""
        results = [run('key create', 'shop --item --json') for _ in range(2)]
        bodies = [json.loads(result.out) for result in results]
        assert bodies[0]['secret'] != bodies[1]['secret']
        assert bodies[0]['item']['id'] != bodies[1]['item']['id']

    def test_secret_is_shown_once(self, fake_server, run):
        """Guards against a key whose secret was never printed."""
        fake_server.on('POST', '/v1/notes', (200, ANSWER))
        out = run('key create', 'shop --number 3').out
        secret = out.splitlines()[0].removeprefix('secret: ')
        assert out.count(secret) == 1
        assert secret not in json.dumps(fake_server.bodies())


class TestWithdraw:
    def test_note_withdraws_the_key(self, fake_server, run):
        """Guards against a withdrawn key that stays in force."""
        fake_server.on('POST', '/v1/notes', (200, ANSWER))
        assert run('key withdraw', 'k1 --number 3').code == 0
        item = {'kind': 'key', 'id': 'k1'}
        assert fake_server.bodies() == [{'withdrawn': [item], 'number': 3}]
