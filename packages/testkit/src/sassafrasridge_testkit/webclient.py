"""An asyncio HTTP/1.1 client with a single keep-alive connection."""

import asyncio
import collections.abc
import typing

import httptools
import orjson


class CallFailed(Exception):
    """Report a call that got no complete answer.

    ``sent`` is False only if the server can't have received the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class _ResponseCollector:
    def __init__(self) -> None:
        self.body = b''
        self.complete = False
        self.keep_alive = False
        self.parser: httptools.HttpResponseParser | None = None
        self.headers: dict[str, str] = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True
        # The parser resets should_keep_alive() to false after this callback.
        if self.parser is not None:
            self.keep_alive = self.parser.should_keep_alive()


class Client:
    """Send JSON over one keep-alive connection, opened on demand."""

    def __init__(self, address: str, source: str = '') -> None:
        self.address = address
        self.headers: dict[str, str] = {}
        self._request_sent = False
        self._local_address = (source, 0) if source else None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def post(
        self,
        path: str,
        body: dict[str, typing.Any],
        timeout_s: float,
        token: str | None = None,
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a POST request and return status and body of the answer.

        After a failure the connection is closed, so that a late answer is
        not taken for that of the next request. Raises CallFailed.
        """
        headers = {'Authorization': f'Bearer {token}'} if token else {}
        return await self.call('POST', path, body, timeout_s, headers)

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None,
        timeout_s: float,
        headers: collections.abc.Mapping[str, str],
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a request and return status and body of the answer.

        Stores the response headers in ``headers``. Raises CallFailed.
        """
        self._request_sent = False
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, path, body, headers)
        except (OSError, httptools.HttpParserError, ValueError) as exc:
            self.close()
            raise CallFailed(
                f'{self.address}{path}: {exc!r}', self._request_sent
            ) from exc
        except asyncio.CancelledError:
            self.close()
            raise

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None,
        headers: collections.abc.Mapping[str, str],
    ) -> tuple[int, dict[str, typing.Any]]:
        if self._reader is not None and self._reader.at_eof():
            # The server closed the idle connection, so a request would fail.
            self.close()
        if self._writer is None or self._reader is None:
            host, port = self.address.rsplit(':', 1)
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), local_addr=self._local_address
            )
        data = b'' if body is None else orjson.dumps(body)
        lines = ''.join(
            f'{name}: {text}\r\n' for name, text in headers.items()
        )
        self._request_sent = True
        self._writer.write(
            (
                f'{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n'
                f'Content-Type: application/json\r\n{lines}'
                f'Content-Length: {len(data)}\r\n\r\n'
            ).encode()
            + data
        )
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        collector.parser = parser
        while not collector.complete:
            received = await self._reader.read(65536)
            if not received:
                raise ConnectionResetError(
                    'connection closed before the answer'
                )
            parser.feed_data(received)
        self.headers = collector.headers
        if not collector.keep_alive:
            self.close()
        return parser.get_status_code(), orjson.loads(collector.body or b'{}')

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
