"""Blocking client of the line protocol, for tests."""

import secrets
import socket
import typing


class ErrorReply(Exception):
    """Report an ERROR answer with its protocol code.

    ``state`` is the session state, empty if the connection was closed.
    """

    def __init__(self, code: str, detail: str, state: str) -> None:
        super().__init__(f'{code} {detail}')
        self.code = code
        self.state = state


class Answer(typing.NamedTuple):
    """Result of a statement and the state of the session after it."""

    rows: list[str]
    signature: str
    state: str
    position: str


class LineCaller:
    """A session; the connection opens at once and calls block."""

    def __init__(
        self, address: str, database: str, key: str, timeout_s: float = 5.0
    ) -> None:
        host, port = address.rsplit(':', 1)
        self._sock = socket.create_connection((host, int(port)), timeout_s)
        self._file = self._sock.makefile('rwb')
        self._id_prefix = secrets.token_hex(6)
        self._statement_number = 0
        self.database = database
        self.wrote = False
        self._send(f'STARTUP {database} {key}')
        self._read_answer()

    def query(self, text: str) -> Answer:
        """Run a statement and return its result.

        Raises OSError if the connection is lost, and this module's
        exception for an ERROR answer.
        """
        id = self.next_id()
        self._statement_number += 1
        self._send(f'QUERY {id} {text}')
        answer = self._read_answer()
        self.wrote = self.wrote or text.startswith('STORE')
        return answer

    def next_id(self) -> str:
        """Return the id that the next statement will have."""
        return f'{self._id_prefix}-{self._statement_number}'

    def close(self) -> None:
        """Close the connection without sending TERMINATE."""
        self._file.close()
        self._sock.close()

    def _send(self, line: str) -> None:
        self._file.write(line.encode() + b'\r\n')
        self._file.flush()

    def _read_answer(self) -> Answer:
        rows: list[str] = []
        signature = ''
        error: tuple[str, str] | None = None
        while True:
            line = self._file.readline().decode()
            if not line.endswith('\r\n'):
                if error is not None:
                    raise ErrorReply(*error, '')
                raise ConnectionError(
                    'the connection was closed before the answer ended'
                )
            command, _, rest = line[:-2].partition(' ')
            if command == 'DATAROW':
                rows.append(rest)
            elif command == 'COMPLETE':
                signature = rest
            elif command == 'ERROR':
                code, _, detail = rest.partition(' ')
                error = code, detail
            elif command == 'READY':
                state, _, position = rest.partition(' ')
                if error is not None:
                    raise ErrorReply(*error, state)
                return Answer(rows, signature, state, position)
