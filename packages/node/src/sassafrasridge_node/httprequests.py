"""Parsing of HTTP requests, and calls of the application."""

import functools
import http
import io
import re
import socket
import typing

from cheroot import server
from cheroot import wsgi

from sassafrasridge_core import errors
from sassafrasridge_node import httpresponses

if typing.TYPE_CHECKING:
    from sassafrasridge_node import httpconnections
    from sassafrasridge_node import httpserver

RECV_BYTES = 16 * 1024
# Retry-After of requests refused for too many requests in flight.
OVERLOAD_RETRY_S = 1.0
_METHOD_PREFIX = re.compile(rb'[A-Z]{1,16}(?: |\Z)')
# A request line without escapes, query or authority needs no URL parser.
_SIMPLE_REQUEST_LINE = re.compile(
    rb'(POST|GET) (/(?!/)[A-Za-z0-9_./~:-]*) HTTP/1\.1\r\n'
)
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_CONTENT_LENGTH = re.compile(rb'\r\nContent-Length([^\r\n]*)', re.IGNORECASE)
_CONTENT_LENGTH_VALUE = re.compile(rb':[ \t]*([0-9]{1,15})[ \t]*')
_TRANSFER_ENCODING = re.compile(
    rb'\r\nTransfer-Encoding[ \t]*:', re.IGNORECASE
)
_EXPECT_CONTINUE = re.compile(rb'\r\nExpect:[ \t]*100-continue', re.IGNORECASE)
# If one of these headers is repeated, the request is refused: taking one of
# the values silently could take the wrong one.
_SINGLE_VALUE_HEADERS = frozenset(
    (b'Authorization', b'Idempotency-Key', b'Session-Token', b'Host')
)
_STATUS_TEXTS = {s.value: f'{s.value} {s.phrase}' for s in http.HTTPStatus}


class RequestBuffer:
    """Buffer the input of a connection and split it into requests."""

    __slots__ = (
        'buffer',
        'closed',
        'eof',
        'partial_since',
        '_head',
        '_request_bytes',
        '_scanned_bytes',
        '_max_header',
        '_max_body',
        'expects_continue',
    )

    def __init__(self, max_header: int, max_body: int) -> None:
        self.buffer = bytearray()
        self.closed = False
        self.eof = False
        # Time at which the buffered request was first seen to be incomplete,
        # or None.
        self.partial_since: float | None = None
        self.expects_continue = False
        self._head = b''
        self._request_bytes = 0
        self._scanned_bytes = 0
        self._max_header = max_header
        self._max_body = max_body

    def has_data(self) -> bool:
        """Return whether the buffer holds input."""
        return bool(self.buffer)

    def close(self) -> None:
        """Discard the buffer."""
        self.closed = True
        self.buffer = bytearray()

    def receive(self, sock: socket.socket) -> None:
        """Read the available input without blocking."""
        bound = max(self._request_bytes, self._max_header) + RECV_BYTES
        while True:
            try:
                data = sock.recv(RECV_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            if not data:
                self.eof = True
                return
            self.buffer += data
            if len(data) < RECV_BYTES or len(self.buffer) > bound:
                return

    def has_complete_request(self) -> bool:
        """Return whether a complete request is buffered.

        Raises BadRequestError and TooLargeError. Only this class decides
        where a request ends, and it refuses any input that two parsers could
        split differently (request smuggling).
        """
        if not self._request_bytes and not self._parse_head():
            return False
        return len(self.buffer) >= self._request_bytes

    def take_request(self) -> tuple[bytes, bytes]:
        """Remove a complete request and return its head and body."""
        head = self._head
        body = bytes(self.buffer[len(head) : self._request_bytes])
        del self.buffer[: self._request_bytes]
        self._head = b''
        self._request_bytes = self._scanned_bytes = 0
        self.partial_since = None
        self.expects_continue = False
        return head, body

    def _parse_head(self) -> bool:
        buffer = self.buffer
        while buffer[:2] == b'\r\n':
            # RFC 9112 2.2: ignore empty lines before a request line.
            del buffer[:2]
        end = buffer.find(b'\r\n\r\n', max(0, self._scanned_bytes - 3))
        if end < 0:
            self._scanned_bytes = len(buffer)
            self._check_incomplete_head()
            return False
        if end + 4 > self._max_header:
            raise _header_too_large(self._max_header)
        head = bytes(buffer[: end + 4])
        if not _METHOD_PREFIX.match(head):
            raise errors.BadRequestError('the request line is malformed')
        length = _body_length(head)
        if length > self._max_body:
            raise errors.TooLargeError(
                f'the body of {length} bytes exceeds the limit of '
                f'{self._max_body}'
            )
        self._head = head
        self._request_bytes = end + 4 + length
        self.expects_continue = (
            bool(length) and _EXPECT_CONTINUE.search(head) is not None
        )
        return True

    def _check_incomplete_head(self) -> None:
        if len(self.buffer) > self._max_header:
            raise _header_too_large(self._max_header)
        if self.buffer and not _METHOD_PREFIX.match(self.buffer):
            line = self.buffer[:17]
            if len(line) > 16 or not line.isalpha() or not line.isupper():
                raise errors.BadRequestError(
                    'the input is not an HTTP request'
                )


def _header_too_large(limit: int) -> errors.TooLargeError:
    return errors.TooLargeError(
        f'the request header exceeds the limit of {limit} bytes',
        remedy='Send fewer or smaller headers.',
    )


def _body_length(head: bytes) -> int:
    if head.count(b'\n') != head.count(b'\r\n'):
        raise errors.BadRequestError('header lines must end with CR LF')
    if b'\r\n ' in head or b'\r\n\t' in head:
        raise errors.BadRequestError('folded header lines are not supported')
    if _TRANSFER_ENCODING.search(head):
        raise errors.BadRequestError(
            'transfer encodings are not supported in requests',
            remedy='Send the body with Content-Length.',
        )
    found = _CONTENT_LENGTH.findall(head)
    if not found:
        return 0
    match = _CONTENT_LENGTH_VALUE.fullmatch(found[0])
    if len(found) > 1 or match is None:
        raise errors.BadRequestError('the Content-Length header is malformed')
    return int(match[1])


class OutputBuffer:
    """Collect the output that cheroot writes for the connection to send."""

    __slots__ = ('output',)

    def __init__(self, output: bytearray) -> None:
        self.output = output

    def write(self, data: bytes) -> int:
        self.output += data
        return len(data)


class Request(server.HTTPRequest):
    """Parse a request that is completely buffered."""

    def __init__(
        self, server_: 'httpserver.Server', conn: 'httpconnections.Connection'
    ) -> None:
        super().__init__(server_, conn, proxy_mode=False, strict_mode=True)
        self._head = self._body = b''

    def read_request_line(self) -> bool:
        """Parse the request line; return whether it is valid."""
        match = _SIMPLE_REQUEST_LINE.match(self._head)
        if match is None:
            return bool(super().read_request_line())
        self.rfile.seek(match.end())
        self.started_request = True
        self.method = match[1]
        self.uri = self.path = match[2]
        self.qs = self.authority = b''
        self.request_protocol = b'HTTP/1.1'
        self.response_protocol = 'HTTP/1.1'
        return True

    def parse_request(self) -> None:
        """Parse the buffered request."""
        self._head, self._body = self.conn.rfile.take_request()
        self.rfile = io.BytesIO(self._head)
        try:
            self.ready = (
                self.read_request_line() and self.read_request_headers()
            )
        except ValueError:
            # urlsplit raises for some URIs, such as one with an unclosed
            # bracket.
            self.simple_response('400 Bad Request', 'malformed request URI')

    @staticmethod
    def header_reader(
        rfile: io.BytesIO, headers: dict[bytes, bytes]
    ) -> dict[bytes, bytes]:
        """Read the header lines into a dict with names in title case."""
        for line in rfile.read().split(b'\r\n'):
            if not line:
                continue
            name, sep, value = line.partition(b':')
            if not sep or not _FIELD_NAME.fullmatch(name):
                # Underscores are refused too: the WSGI environment cannot
                # distinguish them from hyphens.
                raise ValueError('malformed header line')
            name = name.title()
            value = value.strip(b' \t')
            if name in headers:
                if name in _SINGLE_VALUE_HEADERS:
                    raise ValueError(f'repeated header {name.decode()}')
                value = headers[name] + b', ' + value
            headers[name] = value
        # The connection sends 100 Continue itself, before the body arrives.
        headers.pop(b'Expect', None)
        return headers

    def respond(self) -> None:
        """Call the application and write its response unless deferred."""
        self.rfile = io.BytesIO(self._body)
        self.server.gateway(self).respond()
        if self.conn.deferred is not None:
            return
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send a JSON error for a status line; close the connection."""
        status = str(status)
        code = int(status[:3])
        msg = str(msg) or status[4:]
        exc: errors.RidgeError
        if code in (413, 414):
            exc = errors.TooLargeError(msg)
        elif code >= 500 and code not in (501, 505):
            exc = errors.RidgeError(msg)
        else:
            exc = errors.BadRequestError(msg)
        self.fail(exc)

    def fail(self, exc: errors.RidgeError) -> None:
        """Send a JSON error and close the connection."""
        self.server.metrics.count_error(exc.kind)
        self.close_connection = True
        self.conn.linger_after_close = True
        self.send(httpresponses.error_response(exc))

    def send(self, response: httpresponses.Response) -> None:
        """Write a complete response."""
        self.sent_headers = True
        if self.server.draining or self.server.at_connection_limit:
            self.close_connection = True
        lines = [
            f'HTTP/1.1 {_STATUS_TEXTS[response.status]}\r\n'
            f'Date: {self.server.date_header()}\r\n'
            f'Content-Length: {len(response.body)}\r\n'
        ]
        lines += [f'{k}: {v}\r\n' for k, v in response.headers]
        if self.close_connection:
            lines.append('Connection: close\r\n')
        elif self.response_protocol == 'HTTP/1.0':
            lines.append('Connection: Keep-Alive\r\n')
        lines.append('\r\n')
        self.conn.output += ''.join(lines).encode('latin-1')
        self.conn.output += response.body


@functools.lru_cache(maxsize=256)
def _environ_name(name: bytes) -> str:
    """Return the name of a header in the WSGI environment.

    >>> _environ_name(b'Session-Token'), _environ_name(b'Content-Type')
    ('HTTP_SESSION_TOKEN', 'CONTENT_TYPE')
    """
    variable = name.decode('latin-1').upper().replace('-', '_')
    if variable in ('CONTENT_TYPE', 'CONTENT_LENGTH'):
        return variable
    return 'HTTP_' + variable


class Gateway(wsgi.Gateway_10):
    """Call the WSGI application, which may return a DeferredResponse."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment.

        The base class computes every value again for each request, which
        took one seventh of the time per request.
        """
        req = self.req
        env = req.server.environ.copy()
        env['PATH_INFO'] = req.path.decode('latin-1')
        env['QUERY_STRING'] = req.qs.decode('latin-1')
        env['REMOTE_ADDR'] = req.conn.remote_addr or ''
        env['REMOTE_PORT'] = str(req.conn.remote_port or '')
        env['REQUEST_METHOD'] = req.method.decode('latin-1')
        env['REQUEST_URI'] = req.uri.decode('latin-1')
        env['SERVER_PROTOCOL'] = req.request_protocol.decode('latin-1')
        env['wsgi.input'] = req.rfile
        for name, value in req.inheaders.items():
            env[_environ_name(name)] = value.decode('latin-1')
        return env

    def respond(self) -> None:
        """Write the response, or register a deferred response."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        if isinstance(response, httpresponses.DeferredResponse):
            self._defer(response)
        elif isinstance(response, httpresponses.Response):
            self.req.send(response)
        else:
            self._write_all(response)

    def _defer(self, deferred: httpresponses.DeferredResponse) -> None:
        if self.req.server.try_begin_request():
            self.req.conn.defer(deferred, self.req)
            return
        exc = errors.UnavailableError(
            'too many requests are in flight in this process',
            kind='overloaded',
            retry_after_s=OVERLOAD_RETRY_S,
        )
        self.req.server.metrics.count_error(exc.kind)
        self.req.send(httpresponses.error_response(exc))

    def _write_all(self, response: typing.Any) -> None:
        try:
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            self.req.ensure_headers_sent()
            if hasattr(response, 'close'):
                response.close()
