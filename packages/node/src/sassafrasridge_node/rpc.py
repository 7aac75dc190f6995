"""Framed thrift calls over asyncio streams.

A frame is a 4-byte length, a 16-byte keyed digest, and a message in thrift's
binary protocol. The digest is checked before decoding: thriftpy2's compiled
decoder allocates what a length field claims and can crash on random bytes, so
it only sees messages of daemons that know the cluster secret. Sequence numbers
pair answers with calls, so that one connection carries many calls at a time.
"""

import asyncio
import collections.abc
import hashlib
import hmac
import importlib.resources
import itertools
import struct
import types
import typing
import zlib

import prometheus_client
import thriftpy2
from thriftpy2 import thrift
from thriftpy2.protocol import cybin
from thriftpy2.transport import TCyMemoryBuffer

from sassafrasridge_core import errors
from sassafrasridge_node import thriftcheck

MAX_FRAME_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16
CONNECT_TIMEOUT_S = 0.5
_HEADER = struct.Struct('>I')

COMPRESSION_LEVEL = 6
WINDOW_BITS = 13
MEMORY_LEVEL = 5
"""A window of 8 KiB holds the last few renewals of an entry process; a
connection then takes about 40 KiB at each end."""

_PLAIN = b'p'
_COMPRESSED = b'z'

MALFORMED_FRAMES = prometheus_client.Counter(
    'sassafrasridge_rpc_malformed_frames_total',
    'Frames of other daemons that could not be decoded',
)


def _load() -> types.ModuleType:
    folder = importlib.resources.files('sassafrasridge_node')
    with importlib.resources.as_file(folder / 'ridge.thrift') as path:
        return thriftpy2.load(str(path), module_name='ridge_thrift')


idl: typing.Any = _load()


class RpcError(errors.RidgeError):
    """Report a call to another daemon that failed.

    ``sent`` tells whether the call may have reached the other daemon.
    """

    kind = 'rpc'
    status = 503
    remedy = 'Check that the other daemon runs and can be reached.'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class RemoteCallError(Exception):
    """Report a method that the other daemon could not carry out."""


def _inflate(decoder: typing.Any, data: bytes) -> bytes:
    """Return a compressed message; raise ValueError when not allowed."""
    try:
        payload: bytes = decoder.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise ValueError(f'a compressed message is damaged: {exc}')
    if decoder.unconsumed_tail:
        raise ValueError('a compressed message is too long')
    return payload


class Framing:
    """Write and read frames that carry a digest keyed by a secret."""

    __slots__ = ('_secret',)

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._secret, digest_size=DIGEST_BYTES
        ).digest()

    def frame(self, marked: bytes) -> bytes:
        """Return the frame of a marked message."""
        header = _HEADER.pack(DIGEST_BYTES + len(marked))
        return header + self._digest(marked) + marked

    async def read_marked(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next marked message; raise ValueError on a bad frame."""
        (length,) = _HEADER.unpack(await reader.readexactly(_HEADER.size))
        if not DIGEST_BYTES <= length <= MAX_FRAME_BYTES:
            raise ValueError(f'frame length {length} is out of bounds')
        frame = await reader.readexactly(length)
        digest, marked = frame[:DIGEST_BYTES], frame[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(marked)):
            raise ValueError('frame digest does not match')
        return marked

    def pack(self, payload: bytes) -> bytes:
        """Return the frame of a message that stands alone."""
        return self.frame(_PLAIN + payload)

    def stream(self) -> 'Stream':
        """Return the state of one new connection."""
        return Stream(self)


class Stream:
    """Write and read the frames of one connection.

    Consecutive messages repeat most of each other, so each is compressed
    with what went before it. A peer that sends plain messages gets plain
    ones.
    """

    __slots__ = ('_framing', '_encoder', '_decoder', '_plain')

    def __init__(self, framing: Framing) -> None:
        self._framing = framing
        self._encoder = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._decoder = zlib.decompressobj(-WINDOW_BITS)
        self._plain = False

    def pack(self, payload: bytes) -> bytes:
        """Return the frame of the next message."""
        if self._plain:
            return self._framing.pack(payload)
        data = self._encoder.compress(payload)
        data += self._encoder.flush(zlib.Z_SYNC_FLUSH)
        return self._framing.frame(_COMPRESSED + data)

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next message; raise ValueError on a bad frame."""
        marked = await self._framing.read_marked(reader)
        mark, body = marked[:1], marked[1:]
        if mark == _COMPRESSED:
            return _inflate(self._decoder, body)
        if mark != _PLAIN:
            raise ValueError(f'{mark!r} does not mark a message')
        self._plain = True
        return body


def _reader(payload: bytes) -> cybin.TCyBinaryProtocol:
    """Return a decoder; raise ValueError when decoding is not safe."""
    thriftcheck.check_message(payload)
    protocol = cybin.TCyBinaryProtocol(TCyMemoryBuffer(payload))
    return protocol


def _encode(name: str, kind: int, seqid: int, body: typing.Any) -> bytes:
    buffer = TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer)
    protocol.write_message_begin(name, kind, seqid)
    body.write(protocol)
    protocol.write_message_end()
    buffer.flush()
    return typing.cast(bytes, buffer.getvalue())


class Server:
    """Serve one thrift service with a handler of coroutine methods."""

    def __init__(
        self, service: typing.Any, handler: object, secret: bytes
    ) -> None:
        self._framing = Framing(secret)
        self._processor = thrift.TProcessor(service, handler)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ''

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 lets the system choose."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_FRAME_BYTES
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and cancel the calls in progress."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        stream = self._framing.stream()
        try:
            while True:
                payload = await stream.read(reader)
                self._serve_frame(payload, writer, stream)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        except Exception:
            # Decoders raise many kinds of errors on malformed input.
            MALFORMED_FRAMES.inc()
        finally:
            if task is not None:
                self._tasks.discard(task)
            writer.close()

    def _serve_frame(
        self, payload: bytes, writer: asyncio.StreamWriter, stream: Stream
    ) -> None:
        api, seqid, result, call = self._processor.process_in(_reader(payload))
        if call is None:
            MALFORMED_FRAMES.inc()
            reply = _encode(api, thrift.TMessageType.EXCEPTION, seqid, result)
            writer.write(stream.pack(reply))
            return
        task = asyncio.ensure_future(
            self._answer(api, seqid, result, call, writer, stream)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self,
        api: str,
        seqid: int,
        result: typing.Any,
        call: collections.abc.Callable[[], typing.Awaitable[typing.Any]],
        writer: asyncio.StreamWriter,
        stream: Stream,
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
        writer.write(stream.pack(_encode(api, kind, seqid, body)))


class Client:
    """Call one thrift service of another daemon.

    Calls share one connection, opened on demand. A call that times out
    closes it, since a connection that is silent may be dead.
    """

    def __init__(
        self,
        service: typing.Any,
        address: str,
        secret: bytes,
        source: str = '',
    ) -> None:
        self.address = address
        self._local = (source, 0) if source else None
        self._framing = Framing(secret)
        self._service = service
        self._seqids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[typing.Any]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._stream = self._framing.stream()
        self._lock = asyncio.Lock()

    async def call(
        self, api: str, *args: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Call a method; raise RpcError when no answer arrives in time."""
        sent = False
        seqid = next(self._seqids) & 0x7FFFFFFF
        fut: asyncio.Future[typing.Any] = (
            asyncio.get_running_loop().create_future()
        )
        try:
            async with asyncio.timeout(timeout_s):
                writer = await self._connected()
                self._pending[seqid] = fut
                payload = self._encode_call(api, seqid, args)
                writer.write(self._stream.pack(payload))
                sent = True
                return await fut
        except TimeoutError:
            self.close()
            raise RpcError(
                f'{api} at {self.address} gave no answer in {timeout_s:.3g} s',
                sent=sent,
            )
        except OSError as exc:
            self.close()
            raise RpcError(f'{api} at {self.address}: {exc}', sent=sent)
        finally:
            self._pending.pop(seqid, None)

    def close(self) -> None:
        """Close the connection and fail the calls in progress."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError('connection closed'))

    def _encode_call(
        self, api: str, seqid: int, args: tuple[typing.Any, ...]
    ) -> bytes:
        oneway = getattr(self._service, api + '_result').oneway
        body = getattr(self._service, api + '_args')()
        spec = body.thrift_spec
        for value, key in zip(args, sorted(spec), strict=True):
            setattr(body, spec[key][1], value)
        kind = (
            thrift.TMessageType.ONEWAY if oneway else thrift.TMessageType.CALL
        )
        return _encode(api, kind, seqid, body)

    async def _connected(self) -> asyncio.StreamWriter:
        async with self._lock:
            if self._writer is None or self._writer.is_closing():
                host, port = self.address.rsplit(':', 1)
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        host,
                        int(port),
                        limit=MAX_FRAME_BYTES,
                        local_addr=self._local,
                    )
                self._writer = writer
                self._stream = self._framing.stream()
                asyncio.ensure_future(
                    self._receive(reader, writer, self._stream)
                )
            return self._writer

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stream: Stream,
    ) -> None:
        try:
            while True:
                self._dispatch(await stream.read(reader))
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Exception:
            # Decoders raise many kinds of errors on malformed input.
            MALFORMED_FRAMES.inc()
        finally:
            writer.close()
            if self._writer is writer:
                self.close()

    def _dispatch(self, payload: bytes) -> None:
        protocol = _reader(payload)
        api, kind, seqid = protocol.read_message_begin()
        fut = self._pending.get(seqid)
        if fut is None or fut.done():
            return
        if kind == thrift.TMessageType.EXCEPTION:
            exc = thrift.TApplicationException()
            exc.read(protocol)
            fut.set_exception(RemoteCallError(exc.message))
            return
        result = getattr(self._service, api + '_result')()
        result.read(protocol)
        fut.set_result(result.success)


class ClientPool:
    """Keep one client per address."""

    def __init__(
        self, service: typing.Any, secret: bytes, source: str = ''
    ) -> None:
        self._service = service
        self._secret = secret
        self._source = source
        self._clients: dict[str, Client] = {}

    def get(self, address: str) -> Client:
        """Return the client of an address."""
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
