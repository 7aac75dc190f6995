"""Tests of the commands for availability zones."""

import json

REPLY = {'zone': 'z 1', 'drained': True, 'changed': True, 'targets': 2}
PATH = '/v1/zones/z%201/drain'


class TestOrders:
    def test_an_order_is_sent_again_after_a_lost_response(
        self, fake_server, run
    ):
        """Guards against an order whose leader is killed before it answers."""
        again = {**REPLY, 'changed': False}
        fake_server.on('POST', PATH, run.lost, (200, again))
        result = run('zone drain', '"z 1"')
        assert (result.code, result.out) == (0, 'z 1 is already drained\n')
        assert len(fake_server.requests) == 2

    def test_an_unknown_zone_is_named(self, fake_server, run):
        """Guards against a misspelt zone that stays in service."""
        fake_server.on('POST', PATH, (200, {**REPLY, 'targets': 0}))
        assert 'No target is known' in run('zone drain', '"z 1"').out
        assert run('zone drain', 'a/b').code == 2

    def test_restore_withdraws_the_order(self, fake_server, run):
        """Guards against a restore that drains."""
        reply = {**REPLY, 'drained': False}
        fake_server.on('DELETE', PATH, (200, reply))
        result = run('zone restore', '"z 1" --json')
        assert json.loads(result.out) == reply
        assert run('zone restore', '"z 1"').out == 'z 1 is in service\n'


class TestList:
    def test_drained_zones_are_marked(self, fake_server, run):
        """Guards against a list that hides an order."""
        z1 = {'zone': 'z1', 'drained': True, 'ordered_at': 0.0, 'targets': 1}
        z2 = {'zone': 'z2', 'drained': False, 'ordered_at': None}
        fake_server.on('GET', '/v1/zones', (200, {'zones': [z1, z2]}))
        out = run('zone list').out
        assert 'yes' in out and '1970-01-01T00:00:00+00:00' in out
        assert json.loads(run('zone list', '--json').out) == [z1, z2]
