"""Connections to targets: HTTP/1.1 with JSON over keep-alive.

One connection is one database connection. It carries one call at a time, and
once its state is in doubt it is closed and never used again.
"""

import asyncio
import collections.abc
import itertools
import typing

import httptools
import orjson

from sassafrasridge_node import clocks

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
EXECUTE_NUMBERS = ('term', 'position', 'majority_position')
STATUS_NUMBERS = ('term', 'last_term', 'received', 'applied')
"""Integers that a target's accepted answers must have."""


_Protocol = typing.TypeVar('_Protocol', bound=asyncio.BaseProtocol)
_Answer = typing.TypeVar('_Answer')


class ConnectionLostError(Exception):
    """Report a connection that failed during a call.

    ``sent`` tells whether the target may have received the request.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Answer:
    """Hold a target's answer; ``body`` is decoded JSON."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: dict[str, typing.Any]) -> None:
        self.status = status
        self.body = body

    @property
    def error_kind(self) -> str:
        """Return the kind of error, or an empty string."""
        error = self.body.get('error')
        return str(error.get('kind', '')) if isinstance(error, dict) else ''

    @property
    def error_message(self) -> str:
        """Return the message of the error, or an empty string."""
        error = self.body.get('error')
        return str(error.get('message', '')) if isinstance(error, dict) else ''


class TargetConnection(asyncio.Protocol):
    """Own the socket of one connection to a target."""

    _ids = itertools.count(1)

    def __init__(self, address: str) -> None:
        self.address = address
        self.opened_at = clocks.boottime()
        self.last_answer_at = self.opened_at
        self.closed = False
        self.lost: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._fut: asyncio.Future[Answer] | None = None
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._host = address.encode()

    async def call(
        self, path: str, body: dict[str, typing.Any], timeout_s: float
    ) -> Answer:
        """Send one request and return its answer.

        The request gets an id of its own, and an answer with another id or a
        time-out closes the connection. Raises ConnectionLostError.
        """
        if self.closed or self._transport is None:
            raise ConnectionLostError('connection is closed', sent=False)
        if self._fut is not None:
            raise RuntimeError('a connection carries one call at a time')
        call_id = f'{id(self):x}-{next(self._ids)}'
        payload = orjson.dumps({**body, 'id': call_id})
        self._fut = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(self._head(path, len(payload)) + payload)
        try:
            answer = await answer_within(
                timeout_s, self._fut, self.address, self.close
            )
        finally:
            self._fut = None
        if answer.body.get('id') != call_id:
            self.close()
            raise ConnectionLostError(
                f'{self.address} answered another request', sent=True
            )
        numbers = EXECUTE_NUMBERS if path == '/execute' else STATUS_NUMBERS
        if answer.status == 200 and not all(
            type(answer.body.get(name)) is int for name in numbers
        ):
            self.close()
            raise ConnectionLostError(
                f'{self.address} sent an answer without {numbers}', sent=True
            )
        self.last_answer_at = clocks.boottime()
        return answer

    def close(self) -> None:
        """Close the socket; the target rolls back an open transaction."""
        if not self.closed:
            self.closed = True
            if self._transport is not None:
                self._transport.abort()
            if not self.lost.done():
                self.lost.set_result(None)

    def fail(self, reason: str) -> None:
        """Close the connection and fail the call in progress."""
        self.close()
        self._fail(reason)

    def _head(self, path: str, length: int) -> bytes:
        return (
            b'POST %s HTTP/1.1\r\nHost: %s\r\n'
            b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n'
        ) % (path.encode(), self._host, length)

    def _fail(self, reason: str) -> None:
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(ConnectionLostError(reason, sent=True))

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self.close()
        self._fail(f'{self.address} closed the connection')

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close on data that no request asked for."""
        if self._fut is None or self._parser is None:
            self.fail(f'{self.address} sent an answer to no request')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.fail(f'{self.address} sent a malformed answer: {exc}')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer; a second one closes the connection."""
        if self._fut is None or self._fut.done():
            self.fail(f'{self.address} sent an answer to no request')
            return
        self._chunks = []
        self._received_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._received_bytes += len(body)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self.fail(f'{self.address} sent an answer over the size limit')
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Decode the answer and hand it to the caller."""
        parser, fut = self._parser, self._fut
        if parser is None or fut is None or fut.done():
            return
        try:
            body = orjson.loads(b''.join(self._chunks))
            answer = Answer(parser.get_status_code(), dict(body))
        except (ValueError, TypeError):
            self.fail(f'{self.address} sent a body that is no JSON object')
            return
        if not parser.should_keep_alive():
            self.close()
        fut.set_result(answer)


async def answer_within(
    timeout_s: float,
    fut: 'asyncio.Future[_Answer]',
    peer: str,
    close: collections.abc.Callable[[], None],
) -> _Answer:
    """Return the answer on a connection; without one, close it.

    Raises ConnectionLostError.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await fut
    except TimeoutError:
        close()
        raise ConnectionLostError(
            f'{peer} gave no answer in {timeout_s:.3g} s', sent=True
        )
    except asyncio.CancelledError:
        close()
        raise


class Dialer:
    """Open connections to targets from this VM's own address.

    On a VM with several networks the source address decides which of them
    carries the connection; an empty one leaves the choice to the system.
    """

    __slots__ = ('source',)

    def __init__(self, source: str = '') -> None:
        self.source = source

    async def open(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Open a connection; raise ConnectionLostError when it fails."""
        return await self.connect(
            lambda: TargetConnection(address), address, timeout_s
        )

    async def connect(
        self,
        create: collections.abc.Callable[[], _Protocol],
        address: str,
        timeout_s: float,
    ) -> _Protocol:
        """Connect a protocol; raise ConnectionLostError when it fails."""
        host, port = address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        local = (self.source, 0) if self.source else None
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    create, host, int(port), local_addr=local
                )
        except (OSError, ValueError) as exc:
            raise ConnectionLostError(
                f'connecting to {address}: {exc or "timed out"}', sent=False
            )
        return conn
