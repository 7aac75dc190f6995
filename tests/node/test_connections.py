"""Tests of connections to targets against a scripted server."""

import asyncio

import orjson
import pytest

from sassafrasridge_node import connections


class ScriptedServer:
    """Answer each request with the result of the next given function."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.bodies = []
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def _serve(self, reader, writer):
        try:
            while self._answers:
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(
                    head.lower().split(b'content-length: ')[1].split()[0]
                )
                body = orjson.loads(await reader.readexactly(length))
                self.bodies.append(body)
                answer = self._answers.pop(0)(body)
                if answer is not None:
                    writer.write(answer)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def ok_response(body, **fields):
    data = orjson.dumps({'id': body['id'], **fields})
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(data) + data


def call_all(script, *calls, timeout_s=1.0):
    """Return the result or the error of each call on one connection."""

    async def main():
        await script.start()
        conn = await connections.Dialer('127.0.0.1').open(script.address)
        results = []
        for call in calls:
            try:
                answer = await conn.call('/x', {'call': call}, timeout_s)
                results.append(answer.body)
            except connections.ConnectionLostError as exc:
                results.append(exc)
            await asyncio.sleep(0.02)
        conn.close()
        script.server.close()
        return results

    return asyncio.run(main())


class TestTargetConnection:
    def test_answer_of_another_request_is_never_returned(self):
        """Guards against delivering a late answer to the next request."""
        script = ScriptedServer(
            lambda body: ok_response({'id': 'other'}, value=1),
            lambda body: ok_response(body, value=2),
        )
        first, second = call_all(script, 'a', 'b')
        assert isinstance(first, connections.ConnectionLostError)
        assert first.sent
        assert isinstance(second, connections.ConnectionLostError)
        assert not second.sent

    def test_answer_to_no_request_closes_the_connection(self):
        """Guards against delivering a second answer to the next request."""
        script = ScriptedServer(
            lambda body: (
                ok_response(body, value=1) + ok_response(body, value=9)
            )
        )
        first, second = call_all(script, 'a', 'b')
        assert isinstance(second, connections.ConnectionLostError)

    def test_timeout_closes_the_connection(self):
        """Guards against reusing a connection with an outstanding answer."""
        script = ScriptedServer(
            lambda body: None, lambda body: ok_response(body)
        )
        first, second = call_all(script, 'a', 'b', timeout_s=0.1)
        assert first.sent
        assert not second.sent

    @pytest.mark.parametrize(
        'answer',
        [
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]',
            b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{"a"',
            b'\x00\x01\x02 nonsense\r\n\r\n',
        ],
    )
    def test_malformed_answer_is_lost_after_sending(self, answer):
        """Guards against accepting a malformed answer as a result."""
        (result,) = call_all(ScriptedServer(lambda body: answer), 'a')
        assert isinstance(result, connections.ConnectionLostError)
        assert result.sent

    def test_truncated_answer_is_lost_after_sending(self):
        """Guards against returning a truncated answer."""

        def truncated(body):
            return ok_response(body, value='x' * 100)[:-20]

        (result,) = call_all(ScriptedServer(truncated), 'a', timeout_s=0.2)
        assert isinstance(result, connections.ConnectionLostError)
        assert result.sent


class TestDialer:
    @pytest.mark.parametrize('address', ['127.0.0.1:65536', 'db1', 'db1:1'])
    def test_an_invalid_address_is_a_lost_connection(self, address):
        """Guards against an error that ends the task which connects."""
        with pytest.raises(connections.ConnectionLostError):
            asyncio.run(connections.Dialer().open(address, 1.0))
