"""Clocks of the daemon."""

import time


def boottime() -> float:
    """Return seconds on a clock that counts suspended time.

    Leases depend on it: a process resumed after a pause must find its lease
    expired, which CLOCK_MONOTONIC does not promise for a suspended machine.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
