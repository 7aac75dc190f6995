"""Tests of the client of the operators' HTTP API."""

import pytest

from sassafrasridge_cli import client
from sassafrasridge_core import errors

PATH = '/v1/x'


def make_client(*servers):
    return client.Client(list(servers), 'secret', sleep=lambda seconds: None)


class TestClient:
    def test_get_fails_over_to_next_address(self, fake_server, closed_address):
        """Guards against commands that fail when one VM is down."""
        fake_server.on('GET', PATH, (200, {'a': 1}))
        assert make_client(closed_address, fake_server.address).get(PATH) == {
            'a': 1
        }
        assert fake_server.requests[0][4] == 'Bearer secret'

    def test_idempotent_command_is_resent_after_lost_response(
        self, fake_server, run
    ):
        """Guards against an unknown outcome where a resend would be safe."""
        fake_server.on('POST', PATH, run.lost, (200, {'a': 1}))
        body = {'number': 1}
        answer = make_client(fake_server.address).post(
            PATH, body, idempotent=True
        )
        assert answer == {'a': 1}
        assert fake_server.bodies() == [body, body]

    def test_other_command_is_not_resent_after_lost_response(
        self, fake_server, other_server, run
    ):
        """Guards against running a command twice."""
        fake_server.on('POST', PATH, run.lost)
        with pytest.raises(errors.OutcomeUnknownError):
            make_client(fake_server.address, other_server.address).post(
                PATH, {}, False
            )
        assert len(fake_server.requests) == 1
        assert not other_server.requests

    def test_unsent_command_fails_over_to_next_address(
        self, fake_server, closed_address
    ):
        """Guards against giving up on a command that was not sent."""
        fake_server.on('POST', PATH, (200, {}))
        make_client(closed_address, fake_server.address).post(
            PATH, {}, idempotent=False
        )
        assert len(fake_server.requests) == 1

    def test_client_retries_during_an_election(self, fake_server, run):
        """Guards against commands that fail during a change of leader."""
        busy = (503, run.error('no_leader'))
        fake_server.on('GET', PATH, busy, busy, (200, {}))
        assert make_client(fake_server.address).get(PATH) == {}

    def test_no_server_answers(self, closed_address):
        """Guards against endless retries."""
        with pytest.raises(errors.UnavailableError) as caught:
            make_client(closed_address).get(PATH)
        assert closed_address in caught.value.message

    @pytest.mark.parametrize(
        ('status', 'code'), [(400, 2), (401, 3), (409, 4), (500, 1)]
    )
    def test_refused_command_is_not_resent(
        self, fake_server, run, status, code
    ):
        """Guards against resending refused commands."""
        fake_server.on('POST', PATH, (status, run.error('x', 'why')))
        with pytest.raises(client.RemoteError) as caught:
            make_client(fake_server.address).post(PATH, {}, idempotent=True)
        assert caught.value.error.exit_code == code
        assert caught.value.error.render() == 'why. Do this.'
        assert len(fake_server.requests) == 1
