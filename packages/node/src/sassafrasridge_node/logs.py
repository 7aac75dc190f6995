"""Structured logs: JSON lines for state changes only."""

import sys
import traceback
import typing

import eliot

PREFIX = 'sassafrasridge:'
FAILURE = PREFIX + 'failure'
LEVELS_WITH_CHANGES = ('debug', 'info')
"""Above them only failures are written."""
# A traceback in the log is for locating a fault, not for reading data.
MAX_FRAMES = 12


class LogSink:
    """Write log messages to a file or to standard error.

    With ``path`` None, lines go to standard error. Levels above info leave
    out changes of state. ``fields`` are added to every message, such as the
    process's name and zone.
    """

    def __init__(
        self, path: str | None = None, level: str = 'info', **fields: str
    ) -> None:
        self._changes = level in LEVELS_WITH_CHANGES
        self._file: typing.TextIO | None = None
        if path is not None:
            # Line buffered: a crash loses no complete line.
            self._file = open(path, 'a', buffering=1, encoding='utf-8')
        self._write = eliot.FileDestination(file=self._file or sys.stderr)
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
