"""How many client connections an entry process can serve."""

from sassafrasridge_core import errors

# Files that the platform and the interpreter use of a process's limit.
RESERVED_FILES = 200
# Part of the remaining files for connections to targets and other daemons,
# for probes and for operators. With the least number, a process still holds
# a few connections to each target of four groups.
OTHER_FILES_SHARE = 1 / 8
MIN_OTHER_FILES = 100
# Memory of an entry process without clients, with some configuration.
# Measured at rest: 35 MB.
BASE_MEMORY_BYTES = 48 * 1024 * 1024
# Memory of a client connection: 4.3 KB measured without a session; the rest
# is for the session, a statement that runs and its answer.
CONNECTION_BYTES = 24 * 1024
# With fewer connections a process refuses most clients that the load balancer
# sends, which is worse than no process.
MIN_CONNECTIONS = 16


class ConnectionLimitError(errors.RidgeError):
    """Report that a process may use too little to serve clients."""

    kind = 'limits'
    exit_code = 2


class ConnectionLimits:
    """Hold the limits on client connections and on other HTTP connections."""

    __slots__ = ('clients', 'http')

    def __init__(self, clients: int, http: int) -> None:
        self.clients = clients
        self.http = http


def connection_limits(
    setting: int, files: int, memory_bytes: int = 0
) -> ConnectionLimits:
    """Return the limits of a process that serves sessions.

    ``setting`` is the upper bound, ``files`` the limit of open files and
    ``memory_bytes`` the memory that the process may use, or 0 if unknown.
    Raises ConnectionLimitError if clients cannot be served.

    >>> connection_limits(4000, 1605, 152 << 20).clients
    1230
    """
    least = min(MIN_CONNECTIONS, setting)
    usable = files - RESERVED_FILES
    other = max(MIN_OTHER_FILES, int(usable * OTHER_FILES_SHARE))
    if usable - other < least:
        needed = RESERVED_FILES + MIN_OTHER_FILES + least
        raise ConnectionLimitError(
            f'the limit of {files} open files is too low to serve clients',
            remedy=f'Raise it to at least {needed} (ulimit -n).',
        )
    clients = min(setting, usable - other)
    if memory_bytes:
        room = (memory_bytes - BASE_MEMORY_BYTES) // CONNECTION_BYTES
        if room < least:
            needed = BASE_MEMORY_BYTES + least * CONNECTION_BYTES
            raise ConnectionLimitError(
                f"the memory of {memory_bytes} bytes in 'memory' of [entry] "
                'is too small to serve clients',
                remedy=f'Provide at least {needed} bytes and correct the '
                'setting.',
            )
        clients = min(clients, room)
    return ConnectionLimits(clients, other // 2)
