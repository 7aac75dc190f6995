"""Limits and phases of the start of a process."""

import os
import pathlib
import resource
import time

from sassafrasridge_core import connectionlimit
from sassafrasridge_core import settings
from sassafrasridge_node import clocks

# Field of /proc/PID/stat, counted after the name of the command, that holds
# the time from boot to the start of the process in clock ticks.
_START_FIELD = 19
# More than any setting of max_connections.
UNLIMITED_FILES = 1_000_000


class Point:
    """Hold the time since boot and the processor time used so far, in s."""

    __slots__ = ('at', 'processor')

    def __init__(self) -> None:
        self.at = clocks.boottime()
        self.processor = time.process_time()


def phases(imported: Point, listening: Point) -> dict[str, float]:
    """Return the phases of the start, which ends now, in milliseconds.

    ``imported`` is when the first modules had been imported, ``listening``
    when the engine accepted sessions and calls. Processor times are those of
    all threads since the start of the process; ``memory_kb`` is the largest
    resident memory so far.
    """
    now = Point()
    return {
        'interpreter_ms': _ms(clocks.PROCESS_STARTED_AT - _started_at()),
        'imports_ms': _ms(imported.at - clocks.PROCESS_STARTED_AT),
        'listening_ms': _ms(listening.at - imported.at),
        'http_ms': _ms(now.at - listening.at),
        'imports_processor_ms': _ms(imported.processor),
        'listening_processor_ms': _ms(listening.processor),
        'processor_ms': _ms(now.processor),
        'memory_kb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    }


def _ms(seconds: float) -> float:
    return round(1000 * seconds, 1)


def _started_at() -> float:
    """Return when the kernel created this process, in seconds since boot."""
    stat = pathlib.Path('/proc/self/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return int(fields[_START_FIELD]) / os.sysconf('SC_CLK_TCK')


def derive_limits(cfg: settings.EntrySettings) -> int:
    """Lower ``max_connections`` to what this process can serve.

    Returns the number of HTTP connections beside those of sessions. Raises
    ConnectionLimitError.
    """
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if files == resource.RLIM_INFINITY:
        files = UNLIMITED_FILES
    limits = connectionlimit.connection_limits(
        cfg.max_connections, files, cfg.memory
    )
    cfg.max_connections = limits.clients
    # Without sessions the clients are those of the HTTP server.
    return limits.http if cfg.sessions else limits.clients
