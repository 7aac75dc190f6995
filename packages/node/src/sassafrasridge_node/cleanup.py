"""Deletes expired request records, which hold the ids of past writes."""

import asyncio
import time

from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import gateway
from sassafrasridge_node import writes

CLEANUP_INTERVAL_S = 600.0
DELETE_TIMEOUT_S = 10.0

# Records are kept this much longer than promised, because the wall clocks of
# VMs differ.
CLOCK_SKEW_MARGIN_S = 3600.0

# Account under which the clean-up's own writes are recorded.
CLEANUP_ACCOUNT = 'sassafrasridge'
DELETE_SQL = 'DELETE FROM sassafras_requests WHERE created < ?'


class RequestRecordCleaner:
    """Delete expired request records from the groups assigned to this process.

    A group is assigned to the first process of its serving set.
    """

    def __init__(self, state: entry.EntryState, writer: writes.Writer) -> None:
        self._state = state
        self._writer = writer

    async def run(self) -> None:
        """Delete expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            for group in list(self._state.groups):
                if self._state.serving_set(group)[0] == self._state.name:
                    await self.delete_expired(group)

    async def delete_expired(self, group: str) -> None:
        """Delete the expired records of a group."""
        cutoff = time.time() - gateway.REQUEST_ID_TTL_S - CLOCK_SKEW_MARGIN_S
        attempt = writes.Attempt(
            CLEANUP_ACCOUNT,
            writes.new_request_id(),
            '',
            [{'sql': DELETE_SQL, 'params': [cutoff]}],
        )
        try:
            await self._writer.submit(
                group,
                attempt,
                clocks.boottime() + DELETE_TIMEOUT_S,
                lambda: None,
            )
        except errors.RidgeError as exc:
            # The next round tries again; expired records are harmless.
            self._state.metrics.count_error(exc.kind)
