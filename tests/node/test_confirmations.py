"""Tests of the wait until a listed replica has received a commit."""

import asyncio
import time

import pytest

from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import confirmations
from tests.node import test_sessionfront as front

Position = model.Position
StatementFailure = statements.StatementFailure
# End of the log in the primary's answers.
END, BEHIND = Position(1, 20), Position(1, 19)


@pytest.fixture
def process():
    """Return a process whose replicas lack the last commit."""
    process = front.EntryProcess()
    process.targets['p'].position = END
    process.targets['r'].received = process.targets['s'].received = BEHIND
    return process


def later(process, seconds, change):
    """Return a write during which something changes after a time."""

    async def work():
        asyncio.get_running_loop().call_later(seconds, change)
        return await process.session().execute(front.write())

    return asyncio.run(work())


class TestCommits:
    def test_one_that_no_listed_replica_has_is_not_acknowledged(self, process):
        """Guards against losing it: an unlisted replica confirmed it."""
        (result,) = process.run(front.write())
        assert result.failure is StatementFailure.IN_DOUBT
        assert process.state.acknowledged == {}

    def test_the_commit_of_a_transaction_waits_as_well(self, process):
        """Guards against the same for transactions."""
        results = process.run(front.BEGIN, front.write(), front.COMMIT)
        assert results[-1].failure is StatementFailure.IN_DOUBT
        assert process.state.acknowledged == {}

    def test_it_is_acknowledged_once_a_replica_has_it(self, process):
        """Guards against a proof that waits for commits that nobody has."""
        replica = process.targets['r']
        result = later(process, 0.1, lambda: setattr(replica, 'received', END))
        assert result.failure is None
        assert process.state.acknowledged == {'g': END}

    def test_any_listed_replica_is_enough(self, process):
        """Guards against waiting for a replica that receives nothing."""
        process.targets['s'].received = END
        started = time.monotonic()
        (result,) = process.run(front.write())
        assert result.failure is None
        assert time.monotonic() - started < 0.5

    def test_a_silent_replica_delays_the_others_only_briefly(self, process):
        process.targets['r'].answers_status = False
        process.targets['s'].received = END
        (result,) = process.run(front.write())
        assert result.failure is None

    def test_it_ends_with_the_primary(self, process):
        """Guards against acknowledging a commit that a failover discards."""

        def replace():
            process.state.groups['g'] = model.GroupView('g', 3, 'r')
            process.targets['s'].received = END

        started = time.monotonic()
        result = later(process, 0.1, replace)
        assert result.failure is StatementFailure.IN_DOUBT
        assert time.monotonic() - started < 0.5

    def test_without_an_answer_of_a_replica_it_is_reported(self, process):
        """Guards against refusing writes while replicas can't be asked.

        Control then requires the end of the log that the primary told.
        """
        for name in ('r', 's'):
            process.targets[name].answers_status = False
        (result,) = process.run(front.write())
        assert result.failure is None
        assert process.state.acknowledged == {'g': END}

    def test_positions_of_another_term_confirm_nothing(self, process):
        """Guards against a log in which the commit was replaced."""
        for name in ('r', 's'):
            process.targets[name].received = Position(2, 30)
        (result,) = process.run(front.write())
        assert result.failure is StatementFailure.IN_DOUBT


class TestRequests:
    def test_waiting_commits_share_them(self, process):
        """Guards against a request for each commit."""
        count = 0
        process.targets['r'].received = None

        async def request():
            nonlocal count
            count += 1
            await asyncio.sleep(0.02)
            return END

        backend = process.backend('r')
        backend.request_received = request
        backend.has_received = lambda position: count > 0
        backend.rtt_s = 0.0

        async def work():
            wait = process.state.confirmations.wait
            deadline = clocks.boottime() + 1.0
            return await asyncio.gather(
                *(wait('g', END, deadline, lambda: True) for _ in range(20))
            )

        found = asyncio.run(work())
        assert set(found) == {confirmations.Confirmation.RECEIVED}
        assert count == 1

    def test_connections_in_use_are_left_alone(self, process):
        """Guards against connections above the limit, and evicted work."""
        backend = process.backend('r')
        backend.pool.limit = 0
        assert asyncio.run(backend.request_received()) is None
        assert 'r' not in process.opened_to
