"""Tests of the join requests of a control member."""

import asyncio

import orjson

from sassafrasridge_core import raftmembers
from sassafrasridge_node import joining


class FakeLog:
    reported_unlisted = False

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
    """Refuse every request; ``request_count`` counts them."""

    def __init__(self):
        self.request_count = 0

    def get(self, address):
        return self

    async def call(self, api, *args, timeout_s):
        self.request_count += 1

        class Reply:
            ok = False
            body = orjson.dumps({'error': {'kind': 'no_leader'}})

        return Reply()


class TestJoin:
    def test_rejoins_after_losing_its_vote_in_a_disk_error(self, monkeypatch):
        """Guards against checking the log object from before the error."""
        monkeypatch.setattr(joining, 'JOIN_INTERVAL_S', 0.001)
        member, pool = FakeMember(), FakePool()

        async def run():
            task = asyncio.ensure_future(
                joining.join(member, ['10.0.0.2:1'], pool)
            )
            await asyncio.sleep(0.05)
            assert not pool.request_count
            # A member replaces its log object after the disk error.
            member.log = FakeLog(voter=False)
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(run())
        assert pool.request_count

    def test_a_member_that_was_removed_while_it_was_frozen_rejoins(
        self, monkeypatch
    ):
        """Guards against giving up a member that was only silent.

        Its own log still lists it as a voter, because it didn't receive the
        removal. The other members answer that it is not listed.
        """
        monkeypatch.setattr(joining, 'JOIN_INTERVAL_S', 0.001)
        member, pool = FakeMember(), FakePool()

        async def run():
            task = asyncio.ensure_future(
                joining.join(member, ['10.0.0.2:1'], pool)
            )
            member.log.reported_unlisted = True
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(run())
        assert pool.request_count
