"""Clocks of the daemon."""

import time


def boottime() -> float:
    """Return the seconds since boot, including time spent suspended.

    Lease expiry depends on it: after a suspend, a process must find its lease
    expired, and CLOCK_MONOTONIC does not advance while the machine is
    suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Time in s since boot at which this process started, before it imported most
# of its modules.
PROCESS_STARTED_AT = boottime()
