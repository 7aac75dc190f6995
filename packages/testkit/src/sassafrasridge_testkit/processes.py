"""Child processes: start, wait for the ready line, send signals."""

import collections.abc
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import orjson

READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01

T = typing.TypeVar('T')


class DeadlinePassed(AssertionError):
    """Report a condition that was not met before its deadline."""


def wait_until(
    predicate: collections.abc.Callable[[], T],
    timeout_s: float = 10.0,
    what: str = 'condition',
) -> T:
    """Poll until ``predicate`` is true, return it; raises DeadlinePassed."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = predicate()
        if value:
            return value
        if time.monotonic() > deadline:
            raise DeadlinePassed(
                f'{what} not met in {timeout_s} s; last value {value!r}'
            )
        time.sleep(POLL_INTERVAL_S)


_reserved_sockets: list[socket.socket] = []


def free_port(host: str = '127.0.0.1') -> int:
    """Return a port that stays reserved for the life of this process.

    A bound socket that does not listen keeps the kernel from assigning the
    port to another listener or an outgoing connection, even while the daemon
    that uses it restarts. The daemon can still bind the port, because both
    sockets set SO_REUSEADDR.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    _reserved_sockets.append(sock)
    port: int = sock.getsockname()[1]
    return port


class Process:
    """Run a child process whose output goes to files.

    ``ready`` is the JSON object on the first line of its standard output.
    """

    def __init__(
        self,
        name: str,
        argv: collections.abc.Sequence[str],
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.argv = list(argv)
        self.out_path = folder / f'{name}.out'
        self.err_path = folder / f'{name}.err'
        self.ready: dict[str, typing.Any] = {}
        self._child: subprocess.Popen[bytes] | None = None
        self._ready_offset = 0

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._child is None:
            raise ValueError(f'{self.name} was not started')
        return self._child.pid

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self._child is not None and self._child.poll() is None

    def launch(self) -> None:
        """Start the process without waiting for its ready line."""
        if self.running:
            raise ValueError(f'{self.name} is already running')
        env = dict(os.environ)
        env['PYTHONPATH'] = os.pathsep.join(item for item in sys.path if item)
        with self.out_path.open('ab') as out, self.err_path.open('ab') as err:
            self._ready_offset = out.tell()
            self._child = subprocess.Popen(
                self.argv,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=env,
            )

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait for the ready line; raises DeadlinePassed with the log end."""
        try:
            wait_until(self._read_ready, timeout_s, f'ready line of {self}')
        except DeadlinePassed as exc:
            raise DeadlinePassed(f'{exc}\n{self.log_tail()}') from None

    def start(self) -> 'Process':
        """Start the process and wait for its ready line."""
        self.launch()
        self.wait_ready()
        return self

    def kill(self) -> None:
        """Send SIGKILL, as in a crash, and wait for the exit."""
        self._signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the exit."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def wait_exit(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit and return the exit code."""
        if self._child is None:
            raise ValueError(f'{self.name} was not started')
        return self._child.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Stop with SIGTERM; after the timeout kill it and return None."""
        if self._child is None or not self.running:
            return self._child.poll() if self._child else None
        self.resume()
        self.terminate()
        try:
            return self.wait_exit(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log_tail(self, size: int = 4000) -> str:
        """Return the last ``size`` characters of standard error."""
        return self.err_path.read_text(errors='replace')[-size:]

    def __str__(self) -> str:
        return self.name

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def _read_ready(self) -> bool:
        with self.out_path.open('rb') as file:
            file.seek(self._ready_offset)
            line = file.readline()
        if line.endswith(b'\n'):
            self.ready = orjson.loads(line)
            return True
        if not self.running:
            raise DeadlinePassed(f'{self} exited before it was ready')
        return False
