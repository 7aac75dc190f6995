"""A blocking client of the line protocol, for tests."""

import itertools
import secrets
import socket
import typing


class Failed(Exception):
    """Report an error answer; ``code`` is the protocol's word."""

    def __init__(self, code: str, detail: str, state: str) -> None:
        super().__init__(f'{code} {detail}')
        self.code = code
        self.state = state


class Answer(typing.NamedTuple):
    """Rows, signature and the state of the session."""

    rows: list[str]
    signature: str
    state: str
    position: str


class LineCaller:
    """One session."""

    def __init__(
        self, address: str, database: str, key: str, timeout_s: float = 5.0
    ) -> None:
        host, port = address.rsplit(':', 1)
        self._sock = socket.create_connection((host, int(port)), timeout_s)
        self._file = self._sock.makefile('rwb')
        self._prefix = secrets.token_hex(6)
        self._ids = itertools.count()
        self._send(f'STARTUP {database} {key}')
        self._answer()

    def query(self, text: str) -> Answer:
        """Run a statement; raise Failed, or OSError when cut off."""
        self._send(f'QUERY {self._prefix}{next(self._ids)} {text}')
        return self._answer()

    def close(self) -> None:
        """Close the connection without a word."""
        self._file.close()
        self._sock.close()

    def _send(self, line: str) -> None:
        self._file.write(line.encode() + b'\r\n')
        self._file.flush()

    def _answer(self) -> Answer:
        rows: list[str] = []
        signature = ''
        error: tuple[str, str] | None = None
        while True:
            line = self._file.readline().decode()
            if not line.endswith('\r\n'):
                if error is not None:
                    raise Failed(*error, '')
                raise ConnectionError('the session was cut off')
            word, _, rest = line[:-2].partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'COMPLETE':
                signature = rest
            elif word == 'ERROR':
                code, _, detail = rest.partition(' ')
                error = code, detail
            elif word == 'READY':
                state, _, position = rest.partition(' ')
                if error is not None:
                    raise Failed(*error, state)
                return Answer(rows, signature, state, position)
