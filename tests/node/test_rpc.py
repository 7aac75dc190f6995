"""Tests of the framed thrift calls."""

import asyncio
import struct
import zlib

import pytest

from sassafrasridge_node import rpc

SECRET = b'test secret'


class _Handler:
    async def renew(self, req):
        await asyncio.sleep(0.02 if req.entry == 'slow' else 0)
        return rpc.idl.RenewReply(granted=True, reason=req.entry)

    async def command(self, kind, body, deadline_s):
        await asyncio.sleep(10)


async def _started_pair():
    server = rpc.Server(rpc.idl.Control, _Handler(), SECRET)
    await server.start('127.0.0.1', 0)
    return server, rpc.Client(rpc.idl.Control, server.address, SECRET)


class TestClient:
    def test_replies_are_matched_to_their_calls(self):
        """Guards against returning the reply of a faster concurrent call."""

        async def run():
            server, client = await _started_pair()
            replies = await asyncio.gather(
                *(
                    client.call(
                        'renew', rpc.idl.RenewRequest(entry=name), timeout_s=2
                    )
                    for name in ('slow', 'a', 'b')
                )
            )
            client.close()
            await server.stop()
            return [reply.reason for reply in replies]

        assert asyncio.run(run()) == ['slow', 'a', 'b']

    def test_time_out_is_reported_as_sent(self):
        """Guards against reporting a call without a reply as not sent."""

        async def run():
            server, client = await _started_pair()
            with pytest.raises(rpc.RpcError) as info:
                await client.call('command', 'x', b'{}', 0.1, timeout_s=0.1)
            await server.stop()
            return info.value.sent

        assert asyncio.run(run()) is True

    def test_refused_connection_is_reported_as_not_sent(self):
        """Guards against reporting a call that was never sent as in doubt."""

        async def run():
            server, client = await _started_pair()
            await server.stop()
            with pytest.raises(rpc.RpcError) as info:
                await client.call('command', 'x', b'{}', 0.1, timeout_s=0.5)
            return info.value.sent

        assert asyncio.run(run()) is False


class TestSlowPeer:
    """Pattern: a VM is frozen for a moment while several calls are open."""

    def test_a_timed_out_call_leaves_the_others_to_their_replies(self):
        """Guards against doubt about work because another call gave up."""

        class Handler:
            async def renew(self, req):
                await asyncio.sleep(0.3)
                return rpc.idl.RenewReply(granted=True, reason=req.entry)

        async def run():
            server = rpc.Server(rpc.idl.Control, Handler(), SECRET)
            await server.start('127.0.0.1', 0)
            client = rpc.Client(rpc.idl.Control, server.address, SECRET)
            req = rpc.idl.RenewRequest(entry='patient')
            patient = asyncio.ensure_future(
                client.call('renew', req, timeout_s=2)
            )
            with pytest.raises(rpc.RpcError):
                await client.call('renew', req, timeout_s=0.05)
            later = await client.call('renew', req, timeout_s=2)
            reply = await patient
            open_connections = (
                len(server._server.sockets),
                len(client._connections),
            )
            client.close()
            await server.stop()
            return reply.reason, later.reason, open_connections[1]

        assert asyncio.run(run()) == ('patient', 'patient', 1)


class TestServer:
    def test_a_reply_above_the_limit_is_an_error_of_the_call(self):
        """Guards against failing the other calls on the connection."""

        class Handler:
            async def renew(self, req):
                if req.entry == 'slow':
                    await asyncio.sleep(0.1)
                    return rpc.idl.RenewReply(granted=True)
                return rpc.idl.RenewReply(full=bytes(rpc.MAX_FRAME_BYTES))

        async def run():
            server = rpc.Server(rpc.idl.Control, Handler(), SECRET)
            await server.start('127.0.0.1', 0)
            client = rpc.Client(rpc.idl.Control, server.address, SECRET)
            slow = asyncio.ensure_future(
                client.call(
                    'renew', rpc.idl.RenewRequest(entry='slow'), timeout_s=2
                )
            )
            with pytest.raises(rpc.RemoteCallError, match='limit'):
                await client.call(
                    'renew', rpc.idl.RenewRequest(entry='a'), timeout_s=2
                )
            reply = await slow
            client.close()
            await server.stop()
            return reply.granted

        assert asyncio.run(run())

    def test_unknown_method_is_an_error_of_the_call(self):
        """Guards against a crash on a call that a newer release added."""

        async def run():
            server, client = await _started_pair()
            relay = rpc.Client(rpc.idl.Entry, server.address, SECRET)
            with pytest.raises(rpc.RemoteCallError):
                await relay.call('relay', rpc.idl.StatementCall(), timeout_s=2)
            relay.close()
            client.close()
            await server.stop()

        asyncio.run(run())

    @pytest.mark.parametrize(
        'data',
        [
            struct.pack('>I', 0xFFFFFFFF),
            struct.pack('>I', 8) + b'\xff' * 8,
            struct.pack('>I', 20) + b'\x80\x01\x00\x01\x7f\xff\xff\xff' * 3,
        ],
    )
    def test_malformed_frame_is_counted_and_others_are_served(self, data):
        """Guards against a crash or huge allocation on a malformed frame."""

        async def run():
            server, client = await _started_pair()
            before = rpc.MALFORMED_FRAMES.value
            reader, writer = await asyncio.open_connection(
                *server.address.split(':')
            )
            writer.write(data)
            assert await asyncio.wait_for(reader.read(), 2) == b''
            reply = await client.call(
                'renew', rpc.idl.RenewRequest(entry='a'), timeout_s=2
            )
            client.close()
            await server.stop()
            return reply.granted, rpc.MALFORMED_FRAMES.value - before

        assert asyncio.run(run()) == (True, 1)


class TestStream:
    def exchange(self, *payloads):
        framing = rpc.Framing(b'secret')

        async def run():
            reader = asyncio.StreamReader()
            sender, receiver = framing.new_codec(), framing.new_codec()
            frames = [sender.pack(payload) for payload in payloads]
            reader.feed_data(b''.join(frames))
            read = [await receiver.read(reader) for _ in frames]
            return frames, read

        return asyncio.run(run())

    def test_messages_of_one_connection_arrive_in_order(self):
        payloads = [b'one', b'', b'two' * 5000, b'three']
        assert self.exchange(*payloads)[1] == payloads

    def test_a_repeated_message_is_far_smaller(self):
        """Guards against renewals that use more traffic between regions."""
        message = bytes(range(256)) * 4
        first, second = self.exchange(message, message)[0]
        assert len(second) < len(first) / 4

    def test_a_message_above_the_limit_is_refused(self):
        framing = rpc.Framing(b'secret')
        huge = zlib.compressobj(9, zlib.DEFLATED, -15)
        data = huge.compress(bytes(rpc.MAX_FRAME_BYTES + 1000))
        data += huge.flush(zlib.Z_SYNC_FLUSH)

        async def run():
            reader = asyncio.StreamReader()
            reader.feed_data(framing.frame(b'z' + data))
            await framing.new_codec().read(reader)

        with pytest.raises(ValueError):
            asyncio.run(run())

    def test_an_unknown_mark_is_refused(self):
        framing = rpc.Framing(b'secret')

        async def run():
            reader = asyncio.StreamReader()
            reader.feed_data(framing.frame(b'?body'))
            await framing.new_codec().read(reader)

        with pytest.raises(ValueError):
            asyncio.run(run())
