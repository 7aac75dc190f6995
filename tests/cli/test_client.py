"""Tests of calling the operators' HTTP interface."""

import pytest

from sassafrasridge_cli import client
from sassafrasridge_core import errors

PATH = '/v1/x'


def make(*servers):
    return client.Client(list(servers), 'secret', sleep=lambda seconds: None)


class TestClient:
    def test_next_address(self, stand_in, refusing):
        """Guards against a command that needs one certain VM."""
        stand_in.on('GET', PATH, (200, {'a': 1}))
        assert make(refusing, stand_in.address).get(PATH) == {'a': 1}
        assert stand_in.requests[0][4] == 'Bearer secret'

    def test_lost_response_of_a_repeatable_command(self, stand_in, run):
        """Guards against an operator who must guess what happened."""
        stand_in.on('POST', PATH, run.lost, (200, {'a': 1}))
        body = {'number': 1}
        answer = make(stand_in.address).post(PATH, body, repeatable=True)
        assert answer == {'a': 1}
        assert stand_in.bodies() == [body, body]

    def test_lost_response_of_another_command(self, stand_in, other, run):
        """Guards against a command that runs twice."""
        stand_in.on('POST', PATH, run.lost)
        with pytest.raises(errors.OutcomeUnknownError):
            make(stand_in.address, other.address).post(PATH, {}, False)
        assert len(stand_in.requests) == 1
        assert not other.requests

    def test_unsent_command_goes_to_the_next_address(self, stand_in, refusing):
        """Guards against giving up on a command that was not sent."""
        stand_in.on('POST', PATH, (200, {}))
        make(refusing, stand_in.address).post(PATH, {}, repeatable=False)
        assert len(stand_in.requests) == 1

    def test_election_is_waited_for(self, stand_in, run):
        """Guards against a failure during a change of leader."""
        busy = (503, run.error('no_leader'))
        stand_in.on('GET', PATH, busy, busy, (200, {}))
        assert make(stand_in.address).get(PATH) == {}

    def test_nobody_answers(self, refusing):
        """Guards against endless retries."""
        with pytest.raises(errors.UnavailableError) as caught:
            make(refusing).get(PATH)
        assert refusing in caught.value.message

    @pytest.mark.parametrize(
        ('status', 'code'), [(400, 2), (401, 3), (409, 4), (500, 1)]
    )
    def test_refusals_are_final(self, stand_in, run, status, code):
        """Guards against refused commands that are sent again."""
        stand_in.on('POST', PATH, (status, run.error('x', 'why')))
        with pytest.raises(client.RemoteError) as caught:
            make(stand_in.address).post(PATH, {}, repeatable=True)
        assert caught.value.error.exit_code == code
        assert caught.value.error.render() == 'why. Do this.'
        assert len(stand_in.requests) == 1
