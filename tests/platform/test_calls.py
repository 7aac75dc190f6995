"""Tests of the calls of the users' platform."""

import concurrent.futures

import orjson
import pytest

from sassafrasridge_node import control
from sassafrasridge_node import rpc
from sassafrasridge_platform import calls


class Member:
    def __init__(self, status):
        self.status = status
        self.commands = []

    async def command(self, kind, body, deadline_s):
        self.commands.append((kind, orjson.loads(body)['zone']))
        if self.status is None:
            raise control.NoLeaderError('no control leader is known')
        return rpc.idl.CommandReply(
            ok=True, leader='c', body=b'{}', status=self.status
        )


def call(member, method, path):
    def run(coroutine):
        fut = concurrent.futures.Future()
        try:
            coroutine.send(None)
        except StopIteration as exc:
            fut.set_result(exc.value)
        except control.NoLeaderError as exc:
            fut.set_exception(exc)
        return fut

    environ = {'REQUEST_METHOD': method, 'PATH_INFO': path}
    return calls.DrainApi(member, run)(environ, None).status


class TestDrainApi:
    @pytest.mark.parametrize(
        ('method', 'kind'),
        [('POST', 'drain_zone'), ('DELETE', 'restore_zone')],
    )
    def test_the_method_selects_the_order(self, method, kind):
        """Guards against a restore that drains."""
        member = Member(200)
        assert call(member, method, '/z1') == 200
        assert member.commands == [(kind, 'z1')]

    def test_without_a_leader_the_caller_may_retry(self):
        """Guards against an acknowledgement during an election."""
        assert call(Member(None), 'POST', '/z1') == 503

    def test_other_methods_are_refused(self):
        """Guards against a drain by a request that only looks."""
        member = Member(200)
        assert call(member, 'GET', '/z1') == 400
        assert not member.commands
