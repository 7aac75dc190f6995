"""Deletes records of request ids that are past their time."""

import asyncio
import time

from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import gateway
from sassafrasridge_node import writes

INTERVAL_S = 600.0
TIMEOUT_S = 10.0
MARGIN_S = 3600.0
"""Kept longer than promised, for VMs whose wall clocks differ."""

ACCOUNT = 'sassafrasridge'
DELETE = 'DELETE FROM sassafras_requests WHERE created < ?'


class Cleaner:
    """Clean the groups for which this process comes first."""

    def __init__(self, state: entry.EntryState, writer: writes.Writer) -> None:
        self._state = state
        self._writer = writer

    async def run(self) -> None:
        """Clean until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for group in list(self._state.groups):
                if self._state.serving_set(group)[0] == self._state.name:
                    await self.clean(group)

    async def clean(self, group: str) -> None:
        """Delete the old records of a group."""
        oldest = time.time() - gateway.REQUEST_ID_TTL_S - MARGIN_S
        attempt = writes.Attempt(
            ACCOUNT,
            writes.new_request_id(),
            '',
            [{'sql': DELETE, 'params': [oldest]}],
        )
        try:
            await self._writer.run(
                group,
                attempt,
                clocks.boottime() + TIMEOUT_S,
                lambda: None,
            )
        except errors.RidgeError as exc:
            # The next round tries again; old records do no harm.
            self._state.metrics.error(exc.kind)
