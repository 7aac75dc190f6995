"""Tests of the commands on keys."""

import hashlib
import json

ANSWER = {'number': 3, 'revision': 4, 'operator': 'ana', 'digest': 'd'}


class TestCreate:
    def test_only_the_digest_is_sent(self, stand_in, run):
        """Guards against a secret that leaves the operator's screen."""
        stand_in.on('POST', '/v1/notes', (200, ANSWER))
        result = run('key create', 'shop --id k1 --number 3 --json')
        secret = json.loads(result.out)['secret']
        digest = hashlib.sha256(secret.encode()).hexdigest()
        item = {'kind': 'key', 'id': 'k1', 'account': 'shop'}
        expected = {'added': [{**item, 'digest': digest}], 'number': 3}
        assert stand_in.bodies() == [expected]
        assert len(secret) >= 43

    def test_secrets_differ(self, run):
        """Guards against a secret that others know."""
        results = [run('key create', 'shop --item --json') for _ in range(2)]
        bodies = [json.loads(result.out) for result in results]
        assert bodies[0]['secret'] != bodies[1]['secret']
        assert bodies[0]['item']['id'] != bodies[1]['item']['id']

    def test_secret_is_shown_once(self, stand_in, run):
        """Guards against a key whose secret nobody got."""
        stand_in.on('POST', '/v1/notes', (200, ANSWER))
        out = run('key create', 'shop --number 3').out
        secret = out.splitlines()[0].removeprefix('secret: ')
        assert out.count(secret) == 1
        assert secret not in json.dumps(stand_in.bodies())


class TestWithdraw:
    def test_note(self, stand_in, run):
        """Guards against a key that stays in force."""
        stand_in.on('POST', '/v1/notes', (200, ANSWER))
        assert run('key withdraw', 'k1 --number 3').code == 0
        item = {'kind': 'key', 'id': 'k1'}
        assert stand_in.bodies() == [{'withdrawn': [item], 'number': 3}]
