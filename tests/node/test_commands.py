"""Tests of the commands that the control leader executes."""

import asyncio

import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import state as core_state
from sassafrasridge_node import commands
from sassafrasridge_node import control

ORDER = {'zone': 'z1', 'who': 'ana', 'address': '127.0.0.1'}


class Member:
    """A leader that loses its leadership before or after a commit."""

    leadership = None

    def __init__(self, commits):
        self.commits = commits
        self.proposed = []
        self.state = core_state.State()

    async def propose(self, command):
        self.proposed.append(command)
        if not self.commits:
            raise control.unknown_outcome_error()
        answer = {'zone': 'z1', 'drained': True, 'changed': True}
        return core_state.Reply(True, 200, answer)


class TestZoneOrders:
    def test_only_a_commit_is_acknowledged(self):
        """Guards against an acknowledged order that no majority has."""
        with pytest.raises(control.LostLeadershipError):
            asyncio.run(commands.drain_zone(Member(False), ORDER))

    def test_a_commit_is_acknowledged_without_the_leadership(self):
        """Guards against a refusal of an order that is in force."""
        member = Member(True)
        reply = asyncio.run(commands.drain_zone(member, ORDER))
        assert (reply.status, reply.body['targets']) == (200, None)
        assert member.proposed[0]['operator'] == 'ana'

    def test_a_malformed_zone_is_not_proposed(self):
        """Guards against log entries that every member refuses."""
        member = Member(True)
        with pytest.raises(errors.BadRequestError):
            asyncio.run(commands.restore_zone(member, {**ORDER, 'zone': ''}))
        assert not member.proposed
