"""The delay with which this process handles what has arrived for it.

On a VM that gets little processor time, answers wait here before they are
read. That wait must not be taken for a slow target.
"""

import asyncio

from sassafrasridge_node import clocks

# Interval of the measurements. Each costs about 30 us of processor time.
INTERVAL_S = 0.05
# Weight of one measurement in the mean, which follows within about 0.25 s.
WEIGHT = 0.2


class LoopDelay:
    """Measure how late the event loop runs what is due."""

    __slots__ = ('_mean_s', '_due_at')

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._due_at = float('inf')

    def seconds(self) -> float:
        """Return the mean delay, or the present one if it is longer."""
        return max(self._mean_s, clocks.boottime() - self._due_at)

    async def run(self) -> None:
        """Measure the delay until cancelled."""
        while True:
            self._due_at = clocks.boottime() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record(max(0.0, clocks.boottime() - self._due_at))

    def record(self, delay_s: float) -> None:
        """Add a measured delay in seconds."""
        self._mean_s += WEIGHT * (delay_s - self._mean_s)
