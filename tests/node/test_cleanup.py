"""Tests of the deletion of expired request records."""

import asyncio
import sqlite3
import time

from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_node import cleanup
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import gateway
from sassafrasridge_node import metrics


class FakeWriter:
    """Run the statements of a write on a table of request records."""

    def __init__(self, fails=False):
        self.fails = fails
        self.table = sqlite3.connect(':memory:')
        self.table.execute(
            'CREATE TABLE sassafras_requests (id TEXT, created REAL)'
        )

    async def submit(self, group, attempt, deadline, recheck):
        if self.fails:
            raise errors.UnavailableError('no primary')
        for statement in attempt.statements:
            self.table.execute(statement['sql'], statement['params'])

    def ids(self):
        rows = self.table.execute('SELECT id FROM sassafras_requests')
        return {row[0] for row in rows}


def entry_state():
    return entry.EntryState(
        'e1',
        'z1',
        leases.LeaseTimes(),
        connections.Dialer(''),
        metrics.Metrics(),
    )


class TestCleaner:
    def test_unexpired_records_are_kept(self):
        """Guards against running a request again when it is resent."""
        writer = FakeWriter()
        now = time.time()
        ages = {
            'new': 0.0,
            'kept': gateway.REQUEST_ID_TTL_S + 60,
            'old': gateway.REQUEST_ID_TTL_S + cleanup.CLOCK_SKEW_MARGIN_S + 60,
        }
        for name, age in ages.items():
            writer.table.execute(
                'INSERT INTO sassafras_requests VALUES (?, ?)',
                (name, now - age),
            )
        asyncio.run(
            cleanup.RequestRecordCleaner(entry_state(), writer).delete_expired(
                'g'
            )
        )
        assert writer.ids() == {'new', 'kept'}

    def test_failure_ends_only_the_round(self):
        """Guards against ending the task when a group has no primary."""
        cleaner = cleanup.RequestRecordCleaner(
            entry_state(), FakeWriter(fails=True)
        )
        asyncio.run(cleaner.delete_expired('g'))
