"""Processor time and memory of processes."""

import os
import pathlib
import time

CPU_CLOCK = 2
"""Scheduler clock in the id of another process's processor-time clock."""


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds.

    This is the clock behind /proc/<pid>/stat, read in nanoseconds.
    """
    return time.clock_gettime((~pid << 3) | CPU_CLOCK)


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


class CpuMeter:
    """Measure the processor time of processes between two moments."""

    def __init__(self, *pids: int) -> None:
        self._pids = pids
        self._cpu: list[float] = []
        self._at = 0.0
        self.start()

    def start(self) -> None:
        """Begin a measurement."""
        self._at = time.monotonic()
        self._cpu = [cpu_s(pid) for pid in self._pids]

    def stop(self) -> tuple[float, list[float]]:
        """Return the seconds passed and the processor time of each."""
        used = [
            cpu_s(pid) - before
            for pid, before in zip(self._pids, self._cpu, strict=True)
        ]
        return time.monotonic() - self._at, used

    def rates(self, duration_s: float) -> list[float]:
        """Return processor seconds per second while nothing is asked."""
        self.start()
        time.sleep(duration_s)
        elapsed, used = self.stop()
        return [value / elapsed for value in used]
