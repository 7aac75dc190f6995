"""Tests of connections to targets against a scripted server."""

import asyncio

import orjson
import pytest

from sassafrasridge_node import connections


class Script:
    """Answer each request with what the test says."""

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


def reply(body, **fields):
    data = orjson.dumps({'id': body['id'], **fields})
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(data) + data


def run(script, *calls, timeout_s=1.0):
    """Return the results of calls on one connection, or their errors."""

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
        """Guards against a late answer handed to the next request."""
        script = Script(
            lambda body: reply({'id': 'other'}, value=1),
            lambda body: reply(body, value=2),
        )
        first, second = run(script, 'a', 'b')
        assert isinstance(first, connections.ConnectionLostError)
        assert first.sent
        assert isinstance(second, connections.ConnectionLostError)
        assert not second.sent

    def test_answer_to_no_request_closes_the_connection(self):
        """Guards against a second answer that waits for the next request."""
        script = Script(
            lambda body: reply(body, value=1) + reply(body, value=9)
        )
        first, second = run(script, 'a', 'b')
        assert isinstance(second, connections.ConnectionLostError)

    def test_time_out_closes_the_connection(self):
        """Guards against reusing a connection whose answer may still come."""
        script = Script(lambda body: None, lambda body: reply(body))
        first, second = run(script, 'a', 'b', timeout_s=0.1)
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
        """Guards against taking a malformed answer for a result."""
        (result,) = run(Script(lambda body: answer), 'a')
        assert isinstance(result, connections.ConnectionLostError)
        assert result.sent

    def test_cut_short_answer_is_lost_after_sending(self):
        """Guards against returning a part of an answer."""

        def cut(body):
            return reply(body, value='x' * 100)[:-20]

        (result,) = run(Script(cut), 'a', timeout_s=0.2)
        assert isinstance(result, connections.ConnectionLostError)
        assert result.sent
