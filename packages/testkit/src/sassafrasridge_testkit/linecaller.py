"""A blocking client of the line protocol, for tests."""

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
        self._number = 0
        self.database = database
        self.wrote = False
        self._send(f'STARTUP {database} {key}')
        self._answer()

    def query(self, text: str) -> Answer:
        """Run a statement; raise Failed, or OSError when cut off."""
        id = self.next_id()
        self._number += 1
        self._send(f'QUERY {id} {text}')
        answer = self._answer()
        self.wrote = self.wrote or text.startswith('STORE')
        return answer

    def next_id(self) -> str:
        """Return the id of the next statement."""
        return f'{self._prefix}-{self._number}'

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
