"""Structured logs: JSON lines for state changes only."""

import queue
import sys
import threading
import time
import traceback
import typing

import eliot

PREFIX = 'sassafrasridge:'
FAILURE = PREFIX + 'failure'
LEVELS_WITH_CHANGES = ('debug', 'info')
"""Above them only failures are written."""
# A traceback in the log is for locating a fault, not for reading data.
MAX_FRAMES = 12


STANDARD_OUTPUT = '-'
LOG_DECISIONS_PER_S = 20
"""Log lines on single statements; the rest is counted only."""

MAX_QUEUED = 2000
"""Lines that wait for a slow reader; later ones are counted and dropped."""


class _QueuedFile:
    """Write lines in a thread of its own, so that no task waits for a pipe."""

    def __init__(self, file: typing.TextIO) -> None:
        self._file = file
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED)
        self.dropped = 0
        threading.Thread(target=self._run, name='logs', daemon=True).start()

    def write(self, text: str) -> None:
        """Queue a line, or drop it when too many wait."""
        if not isinstance(text, str):
            # eliot finds out this way whether a file takes text or bytes.
            raise TypeError('lines are texts')
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are written as soon as possible."""

    def drain(self, timeout_s: float) -> None:
        """Wait until what was queued is written, at most for a time."""
        end = time.monotonic() + timeout_s
        while self._lines.unfinished_tasks and time.monotonic() < end:
            time.sleep(0.01)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            dropped, self.dropped = self.dropped, 0
            try:
                self._write(line, dropped)
            except OSError:
                # There is nowhere to say so before the disk or the reader
                # is back; the next line tells how many are missing.
                self.dropped += dropped + 1
            self._lines.task_done()

    def _write(self, line: str, dropped: int) -> None:
        if dropped:
            self._file.write(f'{{"log_lines_dropped":{dropped}}}\n')
        self._file.write(line)
        if self._lines.empty():
            self._file.flush()


_queued: list[_QueuedFile] = []


def drain(timeout_s: float = 0.5) -> None:
    """Wait until queued lines are written, before the process ends."""
    for file in _queued:
        file.drain(timeout_s)


class LogSink:
    """Write log messages to a file, to standard output or standard error.

    With ``path`` None, lines go to standard error, with ``-`` to standard
    output without ever waiting for its reader. Levels above info leave out
    changes of state. ``fields`` are added to every message, such as the
    process's name and zone.
    """

    def __init__(
        self, path: str | None = None, level: str = 'info', **fields: str
    ) -> None:
        self._changes = level in LEVELS_WITH_CHANGES
        self._file: typing.TextIO | None = None
        target: typing.Any = sys.stderr
        if path == STANDARD_OUTPUT:
            target = _QueuedFile(sys.stdout)
            _queued.append(target)
        elif path is not None:
            # Line buffered: a crash loses no complete line.
            target = open(path, 'a', buffering=1, encoding='utf-8')
            self._file = target
        self._write = eliot.FileDestination(file=target)
        eliot.add_destinations(self._destination)
        if fields:
            eliot.add_global_fields(**fields)

    def _destination(self, message: dict[str, typing.Any]) -> None:
        if self._changes or message.get('message_type') == FAILURE:
            self._write(message)

    def close(self) -> None:
        """Stop writing."""
        eliot.remove_destination(self._destination)
        if self._file is not None:
            self._file.close()


def change(event: str, **fields: typing.Any) -> None:
    """Log a change of state."""
    eliot.log_message(message_type=PREFIX + event, **fields)


def failure(where: str) -> None:
    """Log the exception that is being handled.

    The exception's text is left out, because it may quote a request, and a
    request may hold a key; its type and the frames are enough to locate it.
    """
    kind, _, trace = sys.exc_info()
    frames = traceback.extract_tb(trace)[-MAX_FRAMES:]
    eliot.log_message(
        message_type=FAILURE,
        where=where,
        exception=kind.__name__ if kind else None,
        frames=[f'{f.filename}:{f.lineno}:{f.name}' for f in frames],
    )


class DecisionLog:
    """Log decisions on single statements, at most so many a second."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._second = 0
        self._count = 0
        self._left_out = 0

    def write(self, event: str, **fields: typing.Any) -> None:
        """Log one decision, or count it as left out."""
        second = int(self._now())
        if second != self._second:
            if self._left_out:
                change('decisions_left_out', count=self._left_out)
            self._second, self._count, self._left_out = second, 0, 0
        self._count += 1
        if self._count > LOG_DECISIONS_PER_S:
            self._left_out += 1
        else:
            change(event, **fields)
