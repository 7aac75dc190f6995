"""Child processes: start by argv, wait for the ready line, signal by id."""

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
POLL_S = 0.01

T = typing.TypeVar('T')


class DeadlinePassed(AssertionError):
    """Report a condition that did not come true in time."""


def wait_until(
    predicate: collections.abc.Callable[[], T],
    timeout_s: float = 10.0,
    what: str = 'condition',
) -> T:
    """Return the first true value of ``predicate``; raises DeadlinePassed."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = predicate()
        if value:
            return value
        if time.monotonic() > deadline:
            raise DeadlinePassed(
                f'{what} not met in {timeout_s} s; last value {value!r}'
            )
        time.sleep(POLL_S)


_reservations: list[socket.socket] = []


def free_port(host: str = '127.0.0.1') -> int:
    """Return a port that stays reserved for the life of this process.

    A bound socket that does not listen keeps the system from giving the port
    to another listener or to an outgoing connection, also while the daemon
    that uses the port is restarted. The daemon itself can bind it, because
    both sides set SO_REUSEADDR.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    _reservations.append(sock)
    port: int = sock.getsockname()[1]
    return port


class Process:
    """One child process with its logs in files.

    ``ready`` is the JSON object of the first line of its standard output.
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
        self._ready_from = 0

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._child is None:
            raise ValueError(f'{self.name} was not started')
        return self._child.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has been started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def launch(self) -> None:
        """Start the process without waiting for it."""
        if self.running:
            raise ValueError(f'{self.name} runs already')
        env = dict(os.environ)
        env['PYTHONPATH'] = os.pathsep.join(item for item in sys.path if item)
        with self.out_path.open('ab') as out, self.err_path.open('ab') as err:
            self._ready_from = out.tell()
            self._child = subprocess.Popen(
                self.argv,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=env,
            )

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Read the ready line; raises DeadlinePassed with the log's end."""
        try:
            wait_until(self._read_ready, timeout_s, f'ready line of {self}')
        except DeadlinePassed as exc:
            raise DeadlinePassed(f'{exc}\n{self.log_end()}') from None

    def start(self) -> 'Process':
        """Start the process and wait for its ready line."""
        self.launch()
        self.wait_ready()
        return self

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self._signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Ask the process to stop, without waiting."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a suspended process run again."""
        self._signal(signal.SIGCONT)

    def wait_exit(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code of the process once it has ended."""
        if self._child is None:
            raise ValueError(f'{self.name} was not started')
        return self._child.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Stop the process gracefully, by force after the timeout."""
        if self._child is None or not self.running:
            return self._child.poll() if self._child else None
        self.resume()
        self.terminate()
        try:
            return self.wait_exit(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log_end(self, size: int = 4000) -> str:
        """Return the end of the process's standard error."""
        return self.err_path.read_text(errors='replace')[-size:]

    def __str__(self) -> str:
        return self.name

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def _read_ready(self) -> bool:
        with self.out_path.open('rb') as file:
            file.seek(self._ready_from)
            line = file.readline()
        if line.endswith(b'\n'):
            self.ready = orjson.loads(line)
            return True
        if not self.running:
            raise DeadlinePassed(f'{self} ended before it was ready')
        return False
