"""Structured logs: one JSON line for each state change."""

import queue
import sys
import threading
import time
import traceback
import typing

MESSAGE_TYPE_PREFIX = 'sassafrasridge:'
FAILURE_MESSAGE_TYPE = MESSAGE_TYPE_PREFIX + 'failure'
# At other log levels only failures are written.
LEVELS_WITH_STATE_CHANGES = ('debug', 'info')
# The innermost frames are enough to locate a fault.
MAX_TRACEBACK_FRAMES = 12
STANDARD_OUTPUT = '-'
# Limit on log lines about single statements; lines above it are only counted.
MAX_DECISIONS_PER_S = 20
# Limit on lines queued for a slow reader; more are dropped and counted.
MAX_QUEUED_LINES = 2000


class _BackgroundWriter:
    """Write lines in a separate thread, so that no task blocks on a pipe."""

    def __init__(self, file: typing.TextIO) -> None:
        self._file = file
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self.dropped = 0
        threading.Thread(target=self._run, name='logs', daemon=True).start()

    def write(self, text: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if not isinstance(text, str):
            # eliot writes bytes first to detect whether a file takes text.
            raise TypeError('log lines must be str')
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, because the thread flushes when the queue is empty."""

    def drain(self, timeout_s: float) -> None:
        """Wait for up to ``timeout_s`` until the queued lines are written."""
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
                # The failure cannot be logged until the disk or the reader
                # works again; the next line reports the number of lost lines.
                self.dropped += dropped + 1
            self._lines.task_done()

    def _write(self, line: str, dropped: int) -> None:
        if dropped:
            self._file.write(f'{{"log_lines_dropped":{dropped}}}\n')
        self._file.write(line)
        if self._lines.empty():
            self._file.flush()


class _Delayed:
    """Keep messages from the start of the process until eliot is loaded.

    The import of eliot takes a tenth of the processor time of a start, so
    ``run`` of main lets it follow the start.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: list[dict[str, typing.Any]] | None = None
        self._sinks: list[typing.Callable[[], None]] = []

    def begin(self) -> None:
        """Keep messages from now on."""
        self._waiting = []

    def add_sink(self, attach: typing.Callable[[], None]) -> None:
        """Call ``attach`` once eliot is loaded, or now."""
        if self._waiting is None:
            attach()
        else:
            self._sinks.append(attach)

    def keep(self, message: dict[str, typing.Any]) -> bool:
        """Keep a message; return False if messages are not delayed now."""
        if self._waiting is None:
            return False
        with self._lock:
            if self._waiting is None:
                return False
            message['timestamp'] = time.time()
            self._waiting.append(message)
            return True

    def end(self) -> None:
        """Load eliot and write the kept messages in their order."""
        if self._waiting is None:
            return
        import uuid

        import eliot

        with self._lock:
            for attach in self._sinks:
                attach()
            self._sinks.clear()
            for message in self._waiting:
                eliot.Logger().write(
                    {
                        **message,
                        'task_uuid': str(uuid.uuid4()),
                        'task_level': [1],
                    }
                )
            self._waiting = None


_delayed = _Delayed()


def delay() -> None:
    """Keep messages until ``load`` is called."""
    _delayed.begin()


def load() -> None:
    """Load eliot and write the kept messages."""
    _delayed.end()


_background_writers: list[_BackgroundWriter] = []


def drain(timeout_s: float = 0.5) -> None:
    """Wait until queued lines are written; call before the process exits."""
    load()
    for file in _background_writers:
        file.drain(timeout_s)


class LogSink:
    """Write log messages to a file, standard output or standard error.

    If ``path`` is None, lines go to standard error; if it is ``-``, to
    standard output without ever blocking on its reader. Levels above info
    omit state changes. ``fields``, such as the name and zone of the process,
    are added to every message.
    """

    def __init__(
        self, path: str | None = None, level: str = 'info', **fields: str
    ) -> None:
        self._log_state_changes = level in LEVELS_WITH_STATE_CHANGES
        self._file: typing.TextIO | None = None
        output: typing.Any = sys.stderr
        if path == STANDARD_OUTPUT:
            output = _BackgroundWriter(sys.stdout)
            _background_writers.append(output)
        elif path is not None:
            # Line buffered, so that a crash loses no complete line.
            output = open(path, 'a', buffering=1, encoding='utf-8')
            self._file = output
        self._output = output
        self._fields = fields
        _delayed.add_sink(self._attach)

    def _attach(self) -> None:
        import eliot

        self._write = eliot.FileDestination(file=self._output)
        eliot.add_destinations(self._destination)
        if self._fields:
            eliot.add_global_fields(**self._fields)

    def _destination(self, message: dict[str, typing.Any]) -> None:
        if (
            self._log_state_changes
            or message.get('message_type') == FAILURE_MESSAGE_TYPE
        ):
            self._write(message)

    def close(self) -> None:
        """Stop logging and close the file."""
        import eliot

        eliot.remove_destination(self._destination)
        if self._file is not None:
            self._file.close()


def log_event(event: str, **fields: typing.Any) -> None:
    """Log a state change."""
    _log(message_type=MESSAGE_TYPE_PREFIX + event, **fields)


def _log(**message: typing.Any) -> None:
    if not _delayed.keep(message):
        import eliot

        eliot.log_message(**message)


def record_exception(where: str) -> None:
    """Log the exception that is being handled.

    The exception's message is omitted: it may quote a request, which may
    contain an API key. Its type and the frames are enough to locate the fault.
    """
    kind, _, trace = sys.exc_info()
    frames = traceback.extract_tb(trace)[-MAX_TRACEBACK_FRAMES:]
    _log(
        message_type=FAILURE_MESSAGE_TYPE,
        where=where,
        exception=kind.__name__ if kind else None,
        frames=[f'{f.filename}:{f.lineno}:{f.name}' for f in frames],
    )


class DecisionLog:
    """Log decisions on single statements, with a limit per second."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._second = 0
        self._count = 0
        self._suppressed = 0

    def write(
        self,
        event: str,
        context: typing.Callable[[], dict[str, typing.Any]] = dict,
        /,
        **fields: typing.Any,
    ) -> None:
        """Log a decision, or only count it above the limit.

        ``context`` returns more fields. It is called only for a decision that
        is logged, because most are left out when many statements fail.
        """
        second = int(self._now())
        if second != self._second:
            if self._suppressed:
                log_event('decisions_left_out', count=self._suppressed)
            self._second, self._count, self._suppressed = second, 0, 0
        self._count += 1
        if self._count > MAX_DECISIONS_PER_S:
            self._suppressed += 1
        else:
            log_event(event, **fields, **context())
