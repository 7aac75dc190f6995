"""An asyncio HTTP/1.1 server that passes connections to its handler."""

import asyncio
import collections
import collections.abc
import http
import traceback
import typing

import httptools
import orjson

from sassafrasridge_testkit import engine

MAX_BODY_BYTES = 16 * 1024 * 1024


class Request:
    """A request with its undecoded body."""

    __slots__ = ('method', 'path', 'headers', 'parts', 'body', 'keep_alive')

    def __init__(self) -> None:
        self.method = ''
        self.path = ''
        self.headers: list[tuple[str, str]] = []
        self.parts: list[bytes] = []
        self.body = b''
        self.keep_alive = True


class Answer:
    """A response; a truncated one closes the connection."""

    __slots__ = ('status', 'body', 'close', 'truncated', 'delay_s')

    def __init__(
        self, status: int, body: dict[str, typing.Any], close: bool = False
    ) -> None:
        self.status = status
        self.body = body
        self.close = close
        # Send only a part of the body, then close the connection.
        self.truncated = False
        self.delay_s = 0.0


Handler = collections.abc.Callable[
    ['Connection', Request], collections.abc.Awaitable[Answer | None]
]


class Connection(asyncio.Protocol):
    """Parse the requests of one connection and answer them in order."""

    def __init__(
        self,
        handler: Handler,
        connections: set['Connection'],
    ) -> None:
        # '' for normal operation, 'drop' to ignore received bytes, 'run' to
        # handle requests without answering them.
        self.stall_mode = ''
        self.session: typing.Any = None
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[Request] = collections.deque()
        self._current = Request()
        self._task: asyncio.Task[None] | None = None
        self._transport: typing.Any = None
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request and close the session."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        if self.session is not None:
            self.session.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close on a malformed request."""
        if self.stall_mode == 'drop':
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._write(
                Answer(400, error(None, 'bad_request', 'malformed HTTP'))
            )
            self.close()

    def on_message_begin(self) -> None:
        """Start collecting a request."""
        self._body_bytes = 0
        self._current = Request()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the path."""
        self._current.path += url.decode('latin-1')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._current.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_body(self, data: bytes) -> None:
        """Append a fragment of the body; refuse one that is too large."""
        if self._transport.is_closing():
            return
        self._current.parts.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._write(
                Answer(
                    413,
                    error(
                        None,
                        'too_large',
                        f'body exceeds {MAX_BODY_BYTES} bytes',
                    ),
                )
            )
            self.close()

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self._transport.is_closing():
            return
        self._current.body = b''.join(self._current.parts)
        self._current.method = self._parser.get_method().decode('latin-1')
        self._current.keep_alive = self._parser.should_keep_alive()
        self._requests.append(self._current)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(
                self._answer_requests()
            )

    def close(self) -> None:
        """Close the connection after the pending writes."""
        self._transport.close()

    async def _answer_requests(self) -> None:
        while self._requests:
            req = self._requests.popleft()
            try:
                answer = await self._handler(self, req)
            except Exception:
                traceback.print_exc()
                answer = Answer(500, error(None, 'internal', 'see log'), True)
            if answer is None:
                self._transport.abort()
                return
            if answer.delay_s:
                await asyncio.sleep(answer.delay_s)
            if self.stall_mode:
                continue
            self._write(answer)
            if answer.close or answer.truncated or not req.keep_alive:
                self.close()
                return
        self._task = None

    def _write(self, answer: Answer) -> None:
        body = orjson.dumps(answer.body, default=engine.encode_blob)
        reason = http.HTTPStatus(answer.status).phrase
        head = (
            f'HTTP/1.1 {answer.status} {reason}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
        )
        if answer.close:
            head += 'Connection: close\r\n'
        data = head.encode() + b'\r\n' + body
        self._transport.write(
            data[: -len(body) // 2] if answer.truncated else data
        )


def error(id_: object, kind: str, message: str) -> dict[str, typing.Any]:
    """Return the body of an error answer."""
    return {'id': id_, 'error': {'kind': kind, 'message': message}}
