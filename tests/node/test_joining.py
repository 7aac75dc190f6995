"""Tests of a control member that asks for its vote."""

import asyncio

import orjson

from sassafrasridge_core import raftmembers
from sassafrasridge_node import joining


class FakeLog:
    def __init__(self, voter):
        self.name, self.disk_id = '10.0.0.1:1', 'disk'
        self.members = {self.name: raftmembers.Member('disk', voter)}


class FakeMember:
    rpc_address = '10.0.0.1:1'

    def __init__(self):
        self.log = FakeLog(voter=True)

    def addresses(self):
        return [self.rpc_address]


class FakePool:
    """Refuse every request; ``asked`` counts them."""

    def __init__(self):
        self.asked = 0

    def get(self, address):
        return self

    async def call(self, api, *args, timeout_s):
        self.asked += 1

        class Reply:
            ok = False
            body = orjson.dumps({'error': {'kind': 'no_leader'}})

        return Reply()


class TestJoin:
    def test_a_vote_lost_while_the_disk_failed_is_asked_for(self, monkeypatch):
        """Guards against a member that watches the log it had before."""
        monkeypatch.setattr(joining, 'JOIN_INTERVAL_S', 0.001)
        member, pool = FakeMember(), FakePool()

        async def run():
            task = asyncio.ensure_future(
                joining.join(member, ['10.0.0.2:1'], pool)
            )
            await asyncio.sleep(0.05)
            assert not pool.asked
            # What the member does after its disk works again.
            member.log = FakeLog(voter=False)
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(run())
        assert pool.asked
