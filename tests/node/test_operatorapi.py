"""Tests of the HTTP interface for operators, targets and load balancers."""

import hashlib

import pytest

from sassafrasridge_core import errors
from sassafrasridge_node import operatorapi

ANNOUNCEMENT = {
    'group': 'g',
    'server': 's1',
    'role': 'replica',
    'term': 3,
    'position': 41,
    'address': '127.0.0.1:1',
    'zone': 'z1',
    'slots': 5,
    'connections': 30,
    'leaving': False,
}


class TestOperatorApi:
    @pytest.mark.parametrize(
        ('method', 'path', 'body', 'kind', 'content'),
        [
            ('POST', '/notes', {'number': 1}, 'submit_note', {'number': 1}),
            ('POST', '/notes/check', {'n': 1}, 'check_note', {'n': 1}),
            ('GET', '/notes', None, 'list_notes', {}),
            ('GET', '/notes/7', None, 'show_note', {'number': 7}),
            ('GET', '/status', None, 'status', {}),
            ('GET', '/audit?who=ann', None, 'audit', {'who': 'ann'}),
            ('POST', '/drain', b'', 'drain', {}),
            ('GET', '/members', None, 'list_members', {}),
            ('POST', '/members', {'add': 'm'}, 'change_members', {'add': 'm'}),
            ('GET', '/zones', None, 'list_zones', {}),
            ('POST', '/zones/a%20b/drain', {}, 'drain_zone', {'zone': 'a b'}),
            ('DELETE', '/zones/z/drain', None, 'restore_zone', {'zone': 'z'}),
        ],
    )
    def test_path_selects_the_command(
        self, node, method, path, body, kind, content
    ):
        """Guards against a path that runs the wrong command."""
        status, _, answer = node.client().call(
            '/v1' + path, body, method, node.operator, key=None
        )
        assert status == 200
        assert answer == {'kind': kind, 'body': content, 'who': 'ann'}
        assert kind in operatorapi.COMMANDS

    def test_only_operators_may_command(self, node):
        """Guards against commands without a valid operator token."""
        client = node.client()
        for key in (None, node.key, 'operator-token-5eCr3T'):
            status, _, body = client.call('/v1/drain', {}, key=key)
            assert (status, body['error']['kind']) == (401, 'unauthorized')
        assert node.value('operator_refusals_total') == 3

    @pytest.mark.parametrize(
        ('method', 'path', 'body', 'status'),
        [
            ('POST', '/v1/notes', b'{', 400),
            ('POST', '/v1/notes', [], 400),
            ('POST', '/v1/notes/7', {}, 405),
            ('GET', '/v1/notes/x', None, 400),
            ('GET', '/v1/notes/7/8', None, 404),
            ('GET', '/v1/audit?where=x', None, 400),
            ('GET', '/v1/audit?who=x&who=y', None, 400),
            ('DELETE', '/v1/status', None, 405),
            ('DELETE', '/v1/zones', None, 405),
            ('GET', '/v1/zones/z/drain', None, 405),
            ('POST', '/v1/zones/z', {}, 404),
            ('GET', '/v2', None, 404),
        ],
    )
    def test_malformed_requests(self, node, method, path, body, status):
        """Guards against CherryPy's error pages in place of JSON errors."""
        answer = node.client().call(path, body, method, node.operator, None)
        assert answer[0] == status
        assert set(answer[2]['error']) >= {'kind', 'outcome', 'remedy'}

    def test_commands_leave_worker_threads_for_data_requests(self, start_node):
        """Guards against commands that wait in all worker threads."""
        node = start_node(threads=operatorapi.MAX_CONCURRENT_COMMANDS + 1)
        waiting = [
            node.client() for _ in range(operatorapi.MAX_CONCURRENT_COMMANDS)
        ]
        for client in waiting:
            client.send(
                node.request(
                    '/v1/notes', {'wait': 1}, 'POST', node.operator, None
                )
            )
        node.wait_for(lambda: node.port.commands == len(waiting))
        status, _, body = node.client().call(
            '/v1/notes', {}, 'POST', node.operator, None
        )
        assert (status, body['error']['kind']) == (503, 'overloaded')
        assert node.client().call()[0] == 200
        for client in waiting:
            status, _, body = client.receive()
            assert (status, body['error']['outcome']) == (504, 'unknown')

    def test_readiness(self, node):
        """Guards against routing traffic to a process that cannot serve it."""
        client = node.client()

        def ready():
            answer = client.call('/readyz', None, 'GET', key=None)
            return answer[0], answer[2].get('reason')

        assert ready() == (200, None)
        node.port.reason = 'no_lease'
        assert ready() == (503, 'no_lease')
        assert client.call('/healthz', None, 'GET')[0] == 200
        node.port.reason = None
        node.front.drain()
        assert ready() == (503, 'draining')

    def test_failed_request_logs_no_token(self, node, caplog):
        """Guards against CherryPy logging the headers of failed requests."""
        node.metrics.render = None
        node.metrics.record_exception = None
        answer = node.client().call(
            '/metrics', None, 'GET', node.operator, None
        )
        assert (answer[0], answer[2]['error']['kind']) == (500, 'internal')
        assert node.operator[0].split()[-1] not in caplog.text

    def test_typed_error_of_a_command(self, node):
        """Guards against replacing the engine's error by another one."""
        node.port.error = errors.ConflictError('note 3 exists')
        status, _, body = node.client().call(
            '/v1/notes', {}, 'POST', node.operator, None
        )
        assert (status, body['error']['message']) == (409, 'note 3 exists')


class TestAnnounceApi:
    def test_announcement_reaches_the_engine(self, node):
        """Guards against fields that are lost, swapped or not checked."""
        client = node.client()
        assert client.call('/v1/announce', ANNOUNCEMENT, key=None)[0] == 200
        node.wait_for(lambda: node.port.announced)
        info = node.port.announced[0]
        for field, value in ANNOUNCEMENT.items():
            assert getattr(info, field) == value
        for field in ANNOUNCEMENT.keys() - {'leaving'}:
            wrong = {**ANNOUNCEMENT, field: None}
            assert client.call('/v1/announce', wrong)[0] == 400
        # Numbers that don't fit into messages, and a port out of range.
        for odd in (
            {'slots': 1 << 31},
            {'connections': 1 << 31},
            {'address': '127.0.0.1:65536'},
            {'address': '127.0.0.1:0'},
        ):
            assert client.call('/v1/announce', ANNOUNCEMENT | odd)[0] == 400
        assert len(node.port.announced) == 1

    def test_token_is_required_if_settings_have_one(self, start_node):
        """Guards against announcements of targets without a valid token."""
        digest = hashlib.sha256(b'announce-token').hexdigest()
        node = start_node(announce_digests={'targets': digest})
        client = node.client()
        refused = client.call('/v1/announce', ANNOUNCEMENT, key='other-token')
        assert refused[0] == 401
        answer = client.call(
            '/v1/announce', ANNOUNCEMENT, key='announce-token'
        )
        assert answer[0] == 200
