"""Framed thrift calls over asyncio streams.

A frame consists of a 4-byte length, a 16-byte keyed digest, a 1-byte mark
(plain or compressed) and a message in thrift's binary protocol. The digest is
verified before decoding: thriftpy2's compiled decoder allocates whatever a
length field claims and can crash on random bytes, so it only gets messages
from daemons that know the cluster secret. Sequence numbers match replies to
calls, so one connection carries many concurrent calls.
"""

import asyncio
import collections.abc
import hashlib
import hmac
import itertools
import struct
import typing
import zlib

from thriftpy2 import thrift
from thriftpy2.protocol import cybin
from thriftpy2.transport import TCyMemoryBuffer

from sassafrasridge_core import errors
from sassafrasridge_node import idl as ridge_idl
from sassafrasridge_node import logs
from sassafrasridge_node import meters
from sassafrasridge_node import thriftcheck

MAX_FRAME_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16
# The rest of a frame holds the digest and the mark, and what compression adds
# to a message that can't be compressed.
MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - 4096
CONNECT_TIMEOUT_S = 0.5
_HEADER = struct.Struct('>I')

# A window of 8 KiB holds the last few renewals of an entry process; each end
# of a connection then uses about 40 KiB for compression.
COMPRESSION_LEVEL = 6
COMPRESSION_WINDOW_BITS = 13
COMPRESSION_MEMORY_LEVEL = 5

# First byte of a frame's body: whether the rest is plain or compressed.
_PLAIN_MARK = b'p'
_COMPRESSED_MARK = b'z'

MALFORMED_FRAMES = meters.Counter(
    'sassafrasridge_rpc_malformed_frames_total',
    'Frames of other daemons that could not be decoded',
)


idl: typing.Any = ridge_idl.load()


class RpcError(errors.RidgeError):
    """Report that a call to another daemon failed in transport.

    ``sent`` is whether the call may have reached the other daemon.
    """

    kind = 'rpc'
    status = 503
    remedy = 'Check that the other daemon is running and reachable.'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RemoteCallError(Exception):
    """Report that the other daemon raised an error in a call."""


def _decompress(decoder: typing.Any, data: bytes) -> bytes:
    """Decompress a message; raise ValueError if damaged or too long."""
    try:
        payload: bytes = decoder.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise ValueError(f'cannot decompress the message: {exc}')
    if decoder.unconsumed_tail:
        raise ValueError(
            f'the decompressed message is over {MAX_FRAME_BYTES} bytes'
        )
    return payload


class Framing:
    """Encode and read frames authenticated with a shared secret."""

    __slots__ = ('_secret',)

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._secret, digest_size=DIGEST_BYTES
        ).digest()

    def frame(self, body: bytes) -> bytes:
        """Return the frame of a body, which is a mark and a message."""
        header = _HEADER.pack(DIGEST_BYTES + len(body))
        return header + self._digest(body) + body

    async def read_frame_body(self, reader: asyncio.StreamReader) -> bytes:
        """Return the body of the next frame; raise ValueError if invalid."""
        (length,) = _HEADER.unpack(await reader.readexactly(_HEADER.size))
        if not DIGEST_BYTES <= length <= MAX_FRAME_BYTES:
            raise ValueError(
                f'frame length {length} is not between {DIGEST_BYTES} and '
                f'{MAX_FRAME_BYTES}'
            )
        frame = await reader.readexactly(length)
        digest, body = frame[:DIGEST_BYTES], frame[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise ValueError('frame digest does not match')
        return body

    def pack(self, payload: bytes) -> bytes:
        """Return the frame of an uncompressed message."""
        return self.frame(_PLAIN_MARK + payload)

    def new_codec(self) -> 'ConnectionCodec':
        """Return a codec for a new connection."""
        return ConnectionCodec(self)


class ConnectionCodec:
    """Encode and read the frames of one connection.

    Consecutive messages are largely identical, so each one is compressed
    with the previous messages as dictionary. A peer that sends uncompressed
    messages gets uncompressed ones.
    """

    __slots__ = ('_framing', '_encoder', '_decoder', '_send_plain')

    def __init__(self, framing: Framing) -> None:
        self._framing = framing
        self._encoder = zlib.compressobj(
            COMPRESSION_LEVEL,
            zlib.DEFLATED,
            -COMPRESSION_WINDOW_BITS,
            COMPRESSION_MEMORY_LEVEL,
        )
        self._decoder = zlib.decompressobj(-COMPRESSION_WINDOW_BITS)
        self._send_plain = False

    def pack(self, payload: bytes) -> bytes:
        """Return the frame of the next message."""
        if self._send_plain:
            return self._framing.pack(payload)
        data = self._encoder.compress(payload)
        data += self._encoder.flush(zlib.Z_SYNC_FLUSH)
        return self._framing.frame(_COMPRESSED_MARK + data)

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next message; raise ValueError on a bad frame."""
        frame_body = await self._framing.read_frame_body(reader)
        mark, body = frame_body[:1], frame_body[1:]
        if mark == _COMPRESSED_MARK:
            return _decompress(self._decoder, body)
        if mark != _PLAIN_MARK:
            raise ValueError(f'unknown message mark {mark!r}')
        self._send_plain = True
        return body


def _checked_decoder(payload: bytes) -> cybin.TCyBinaryProtocol:
    """Return a decoder of a message; raise ValueError if it is unsafe."""
    thriftcheck.check_message(payload)
    protocol = cybin.TCyBinaryProtocol(TCyMemoryBuffer(payload))
    return protocol


def encode_message(
    name: str, kind: int, seqid: int, body: typing.Any
) -> bytes:
    buffer = TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer)
    protocol.write_message_begin(name, kind, seqid)
    body.write(protocol)
    protocol.write_message_end()
    buffer.flush()
    return typing.cast(bytes, buffer.getvalue())


class Server:
    """Serve a thrift service with a handler whose methods are coroutines."""

    def __init__(
        self, service: typing.Any, handler: object, secret: bytes
    ) -> None:
        self._framing = Framing(secret)
        self._processor = thrift.TProcessor(service, handler)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ''

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; with port 0 the system chooses a port."""
        self._server = await asyncio.start_server(
            self._serve_connection, host, port, limit=MAX_FRAME_BYTES
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and cancel the calls in progress."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        codec = self._framing.new_codec()
        try:
            while True:
                payload = await codec.read(reader)
                self._start_call(payload, writer, codec)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception:
            # Decoders raise many exception types on malformed input.
            MALFORMED_FRAMES.inc()
        finally:
            if task is not None:
                self._tasks.discard(task)
            writer.close()

    def _start_call(
        self,
        payload: bytes,
        writer: asyncio.StreamWriter,
        codec: ConnectionCodec,
    ) -> None:
        method, seqid, result, call = self._processor.process_in(
            _checked_decoder(payload)
        )
        if call is None:
            MALFORMED_FRAMES.inc()
            reply = encode_message(
                method, thrift.TMessageType.EXCEPTION, seqid, result
            )
            writer.write(codec.pack(reply))
            return
        task = asyncio.ensure_future(
            self._answer_call(method, seqid, result, call, writer, codec)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_call(
        self,
        method: str,
        seqid: int,
        result: typing.Any,
        call: collections.abc.Callable[[], typing.Awaitable[typing.Any]],
        writer: asyncio.StreamWriter,
        codec: ConnectionCodec,
    ) -> None:
        kind, body = thrift.TMessageType.REPLY, result
        try:
            result.success = await call()
        except Exception as exc:
            kind = thrift.TMessageType.EXCEPTION
            body = thrift.TApplicationException(
                thrift.TApplicationException.INTERNAL_ERROR, repr(exc)
            )
        if result.oneway or writer.is_closing():
            return
        message = encode_message(method, kind, seqid, body)
        if len(message) > MAX_MESSAGE_BYTES:
            # The caller would close the connection, and all calls on it fail.
            logs.log_event(
                'reply_too_large', method=method, bytes=len(message)
            )
            message = encode_message(
                method,
                thrift.TMessageType.EXCEPTION,
                seqid,
                thrift.TApplicationException(
                    thrift.TApplicationException.INTERNAL_ERROR,
                    f'the reply has {len(message)} bytes, the limit is '
                    f'{MAX_MESSAGE_BYTES}',
                ),
            )
        writer.write(codec.pack(message))


class _Connection:
    """Own one connection of a client, with its calls that await a reply."""

    def __init__(
        self, writer: asyncio.StreamWriter, codec: ConnectionCodec
    ) -> None:
        self.pending: dict[int, asyncio.Future[typing.Any]] = {}
        self._writer = writer
        self._codec = codec
        self._retired = False

    def is_usable(self) -> bool:
        """Return whether new calls may use the connection."""
        return not self._retired and not self._writer.is_closing()

    def send(self, payload: bytes) -> None:
        """Send a message."""
        self._writer.write(self._codec.pack(payload))

    def retire(self) -> None:
        """Take no new calls; close once no call awaits its reply."""
        self._retired = True
        self._close_if_unused()

    def forget(self, seqid: int) -> None:
        """Remove a call that has ended."""
        self.pending.pop(seqid, None)
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._retired and not self.pending:
            self._writer.close()

    def close(self) -> None:
        """Close the connection and fail the pending calls."""
        self._retired = True
        self._writer.close()
        for fut in self.pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError('connection closed'))

    async def read_replies(
        self,
        reader: asyncio.StreamReader,
        complete: collections.abc.Callable[['_Connection', bytes], None],
    ) -> None:
        """Pass replies on until the connection ends."""
        try:
            while True:
                complete(self, await self._codec.read(reader))
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Exception:
            # Decoders raise many exception types on malformed input.
            MALFORMED_FRAMES.inc()
        finally:
            self.close()


class Client:
    """Call a thrift service of another daemon.

    All calls share one connection, which is opened on demand. After a call
    that timed out, new calls open another one, because an unresponsive
    connection may be broken. Calls that were sent earlier still get their
    replies: the other daemon may only be slow.
    """

    def __init__(
        self,
        service: typing.Any,
        address: str,
        secret: bytes,
        source: str = '',
    ) -> None:
        self.address = address
        self._local_addr = (source, 0) if source else None
        self._framing = Framing(secret)
        self._service = service
        self._seqids = itertools.count(1)
        self._conn: _Connection | None = None
        self._connections: set[_Connection] = set()
        self._lock = asyncio.Lock()

    async def call(
        self, method: str, *args: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Call a method and return its reply.

        Raises RpcError if no reply arrives within ``timeout_s`` seconds, and
        RemoteCallError if the other daemon reports an error.
        """
        conn: _Connection | None = None
        sent = False
        seqid = next(self._seqids) & 0x7FFFFFFF
        fut: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._connect()
                conn.pending[seqid] = fut
                payload = self._encode_call(method, seqid, args)
                conn.send(payload)
                sent = True
                return await fut
        except TimeoutError:
            if conn is not None:
                conn.retire()
            raise RpcError(
                f'{method} at {self.address} gave no answer in '
                f'{timeout_s:.3g} s',
                sent=sent,
            )
        except OSError as exc:
            if conn is not None:
                conn.close()
            raise RpcError(f'{method} at {self.address}: {exc}', sent=sent)
        finally:
            if conn is not None:
                conn.forget(seqid)

    def close(self) -> None:
        """Close all connections and fail the pending calls."""
        for conn in list(self._connections):
            conn.close()

    def _encode_call(
        self, method: str, seqid: int, args: tuple[typing.Any, ...]
    ) -> bytes:
        oneway = getattr(self._service, method + '_result').oneway
        body = getattr(self._service, method + '_args')()
        spec = body.thrift_spec
        for value, key in zip(args, sorted(spec), strict=True):
            setattr(body, spec[key][1], value)
        kind = (
            thrift.TMessageType.ONEWAY if oneway else thrift.TMessageType.CALL
        )
        return encode_message(method, kind, seqid, body)

    async def _connect(self) -> _Connection:
        async with self._lock:
            if self._conn is None or not self._conn.is_usable():
                host, port = self.address.rsplit(':', 1)
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        host,
                        int(port),
                        limit=MAX_FRAME_BYTES,
                        local_addr=self._local_addr,
                    )
                self._conn = _Connection(writer, self._framing.new_codec())
                self._connections.add(self._conn)
                asyncio.ensure_future(self._read_replies(self._conn, reader))
            return self._conn

    async def _read_replies(
        self, conn: _Connection, reader: asyncio.StreamReader
    ) -> None:
        try:
            await conn.read_replies(reader, self._complete_call)
        finally:
            self._connections.discard(conn)

    def _complete_call(self, conn: _Connection, payload: bytes) -> None:
        protocol = _checked_decoder(payload)
        method, kind, seqid = protocol.read_message_begin()
        fut = conn.pending.get(seqid)
        if fut is None or fut.done():
            return
        if kind == thrift.TMessageType.EXCEPTION:
            exc = thrift.TApplicationException()
            exc.read(protocol)
            fut.set_exception(RemoteCallError(exc.message))
            return
        result = getattr(self._service, method + '_result')()
        result.read(protocol)
        fut.set_result(result.success)


class ClientPool:
    """Hold one client for each address."""

    def __init__(
        self, service: typing.Any, secret: bytes, source: str = ''
    ) -> None:
        self._service = service
        self._secret = secret
        self._source = source
        self._clients: dict[str, Client] = {}

    def get(self, address: str) -> Client:
        """Return the client for an address."""
        if address not in self._clients:
            self._clients[address] = Client(
                self._service, address, self._secret, self._source
            )
        return self._clients[address]

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
