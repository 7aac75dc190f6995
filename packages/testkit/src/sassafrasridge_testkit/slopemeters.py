"""Measures the processor time and memory of other processes."""

import os
import pathlib
import time

# CPUCLOCK_SCHED of the kernel: the clock type in the low bits of the clock id
# of another process's processor time.
CPU_CLOCK_SCHED = 2


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds.

    Reads the clock behind /proc/<pid>/stat with nanosecond resolution.
    """
    return time.clock_gettime((~pid << 3) | CPU_CLOCK_SCHED)


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


class CpuMeter:
    """Measure the processor time of processes over an interval."""

    def __init__(self, *pids: int) -> None:
        self._pids = pids
        self._cpu_before_s: list[float] = []
        self._started = 0.0
        self.start()

    def start(self) -> None:
        """Start a new interval."""
        self._started = time.monotonic()
        self._cpu_before_s = [cpu_s(pid) for pid in self._pids]

    def stop(self) -> tuple[float, list[float]]:
        """Return elapsed seconds and the processor seconds of each process."""
        used = [
            cpu_s(pid) - before
            for pid, before in zip(self._pids, self._cpu_before_s, strict=True)
        ]
        return time.monotonic() - self._started, used

    def idle_rates(self, duration_s: float) -> list[float]:
        """Return processor seconds per second of each process while idle."""
        self.start()
        time.sleep(duration_s)
        elapsed, used = self.stop()
        return [value / elapsed for value in used]
