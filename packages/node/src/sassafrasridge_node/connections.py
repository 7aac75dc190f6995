"""Connections to targets: HTTP/1.1 with JSON over keep-alive.

Each connection corresponds to one database connection. It carries one call at
a time and is closed, never reused, as soon as its state is uncertain.
"""

import asyncio
import collections.abc
import itertools
import typing

import httptools
import orjson

from sassafrasridge_core import settings
from sassafrasridge_node import clocks

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5

# Integer fields required in successful answers to /execute and /status.
EXECUTE_INT_FIELDS = ('term', 'position', 'majority_position')
STATUS_INT_FIELDS = ('term', 'last_term', 'received', 'applied')

_Protocol = typing.TypeVar('_Protocol', bound=asyncio.BaseProtocol)
_Answer = typing.TypeVar('_Answer')


class ConnectionLostError(Exception):
    """Report a connection that could not be opened or failed in a call.

    ``sent`` is set if the target may have received the request, ``refused``
    if the target's host answered that nothing listens at the address.
    """

    def __init__(
        self, message: str, *, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class Answer:
    """Hold the HTTP status and decoded JSON body of a target's answer."""

    __slots__ = ('status', 'body')

    def __init__(self, status: int, body: dict[str, typing.Any]) -> None:
        self.status = status
        self.body = body

    @property
    def error_kind(self) -> str:
        """Return the error kind, or an empty string."""
        error = self.body.get('error')
        return str(error.get('kind', '')) if isinstance(error, dict) else ''

    @property
    def error_message(self) -> str:
        """Return the error message, or an empty string."""
        error = self.body.get('error')
        return str(error.get('message', '')) if isinstance(error, dict) else ''


class TargetConnection(asyncio.Protocol):
    """Manage one connection to a target and its socket."""

    _call_ids = itertools.count(1)

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
        self._answer_fut: asyncio.Future[Answer] | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._host = address.encode()

    async def call(
        self, path: str, body: dict[str, typing.Any], timeout_s: float
    ) -> Answer:
        """Send one request and return its answer.

        Each request carries a unique id. The connection is closed if the
        answer has another id or takes longer than ``timeout_s`` seconds.
        Raises ConnectionLostError.
        """
        if self.closed or self._transport is None:
            raise ConnectionLostError('the connection is closed', sent=False)
        if self._answer_fut is not None:
            raise RuntimeError('a connection carries one call at a time')
        call_id = f'{id(self):x}-{next(self._call_ids)}'
        payload = orjson.dumps({**body, 'id': call_id})
        self._answer_fut = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(self._request_head(path, len(payload)) + payload)
        try:
            answer = await wait_for_answer(
                timeout_s, self._answer_fut, self.address, self.close
            )
        finally:
            self._answer_fut = None
        if answer.body.get('id') != call_id:
            self.close()
            raise ConnectionLostError(
                f'{self.address} answered another request', sent=True
            )
        int_fields = (
            EXECUTE_INT_FIELDS if path == '/execute' else STATUS_INT_FIELDS
        )
        if answer.status == 200 and not all(
            type(answer.body.get(name)) is int for name in int_fields
        ):
            self.close()
            raise ConnectionLostError(
                f'{self.address} sent an answer without integers {int_fields}',
                sent=True,
            )
        self.last_answer_at = clocks.boottime()
        return answer

    def close(self) -> None:
        """Close the socket; the target then rolls back an open transaction."""
        if not self.closed:
            self.closed = True
            if self._transport is not None:
                self._transport.abort()
            if not self.lost.done():
                self.lost.set_result(None)

    def fail(self, reason: str) -> None:
        """Close the connection and fail the call in progress."""
        self.close()
        self._fail_call(reason)

    def _request_head(self, path: str, length: int) -> bytes:
        return (
            b'POST %s HTTP/1.1\r\nHost: %s\r\n'
            b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n'
        ) % (path.encode(), self._host, length)

    def _fail_call(self, reason: str) -> None:
        if self._answer_fut is not None and not self._answer_fut.done():
            self._answer_fut.set_exception(
                ConnectionLostError(reason, sent=True)
            )

    # asyncio.Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        self.close()
        self._fail_call(f'{self.address} closed the connection')

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on unsolicited data."""
        if self._answer_fut is None or self._parser is None:
            self.fail(f'{self.address} sent an answer to no request')
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.fail(f'{self.address} sent a malformed answer: {exc}')

    # httptools parser callbacks.

    def on_message_begin(self) -> None:
        """Start an answer; close the connection on a second answer."""
        if self._answer_fut is None or self._answer_fut.done():
            self.fail(f'{self.address} sent an answer to no request')
            return
        self._body_chunks = []
        self._body_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body; enforce the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self.fail(f'{self.address} sent an answer over the size limit')
            return
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Decode the answer and pass it to the waiting call."""
        parser, fut = self._parser, self._answer_fut
        if parser is None or fut is None or fut.done():
            return
        try:
            body = orjson.loads(b''.join(self._body_chunks))
            answer = Answer(parser.get_status_code(), dict(body))
        except (ValueError, TypeError):
            self.fail(f'{self.address} sent a body that is not a JSON object')
            return
        if not parser.should_keep_alive():
            self.close()
        fut.set_result(answer)


async def wait_for_answer(
    timeout_s: float,
    fut: 'asyncio.Future[_Answer]',
    peer: str,
    close: collections.abc.Callable[[], None],
) -> _Answer:
    """Wait for an answer; close the connection on timeout or cancellation.

    Raises ConnectionLostError if there is none within ``timeout_s`` seconds.
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
    """Open connections to targets from a given address of this VM.

    On a VM with several networks, the source address selects the network. If
    it is empty, the operating system selects it.
    """

    __slots__ = ('source',)

    def __init__(self, source: str = '') -> None:
        self.source = source

    async def open(
        self, address: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Open a connection to a target; raises ConnectionLostError."""
        return await self.connect(
            lambda: TargetConnection(address), address, timeout_s
        )

    async def connect(
        self,
        create: collections.abc.Callable[[], _Protocol],
        address: str,
        timeout_s: float,
    ) -> _Protocol:
        """Connect a protocol instance; raises ConnectionLostError."""
        loop = asyncio.get_running_loop()
        local = (self.source, 0) if self.source else None
        try:
            host, port = settings.split_address(address)
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    create, host, port, local_addr=local
                )
        except (OSError, ValueError) as exc:
            raise ConnectionLostError(
                f'connecting to {address}: {exc or "timed out"}',
                sent=False,
                refused=isinstance(exc, ConnectionRefusedError),
            )
        return conn
