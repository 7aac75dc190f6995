"""Tests of the data API: parsing, errors and secrecy of keys."""

import asyncio
import hashlib
import io
import math

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import dataapi
from sassafrasridge_node import logs

KEY = 'caller-key-5eCr3t'
ONE_STATEMENT = {'statements': [{'sql': 'select 1'}]}


def _environ(path='/quotes/statements', body=ONE_STATEMENT, **headers):
    raw = body if isinstance(body, bytes) else orjson.dumps(body)
    return {
        'PATH_INFO': path,
        'REQUEST_METHOD': 'POST',
        'wsgi.input': io.BytesIO(raw),
        'HTTP_AUTHORIZATION': f'Bearer {KEY}',
        **headers,
    }


def _parse(*args, **kwargs):
    return dataapi.parse_service(_environ(*args, **kwargs), 10_000)


class TestParseService:
    def test_defaults(self):
        """Guards against defaults that differ from the documented ones."""
        before = clocks.boottime()
        req = _parse()
        assert (req.kind, req.service, req.access) == (
            'statements',
            'quotes',
            'write',
        )
        assert (req.consistency, req.max_age_s) == ('session', None)
        assert req.idempotent is False and req.session is None
        assert req.statements == [{'sql': 'select 1', 'params': []}]
        assert before + 10 <= req.deadline <= clocks.boottime() + 10
        assert req.key_digest == hashlib.sha256(KEY.encode()).hexdigest()

    def test_transaction_paths(self):
        """Guards against parsing a path as the wrong kind of request."""
        for path, kind, body in (
            ('/q/transactions', 'begin', b''),
            ('/q/transactions/e1.7/statements', 'in', ONE_STATEMENT),
            ('/q/transactions/e1.7/commit', 'commit', b''),
            ('/q/transactions/e1.7/rollback', 'rollback', b'{}'),
        ):
            req = _parse(path, body)
            assert req.kind == kind
            assert req.transaction == (None if kind == 'begin' else 'e1.7')

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{',
            b'\xff',
            b'[]',
            {},
            {'statements': []},
            {'statements': {}},
            {'statements': ['select 1']},
            {'statements': [{'sql': ''}]},
            {'statements': [{'sql': 1}]},
            {'statements': [{'sql': 'x', 'params': {}}]},
            {'statements': [{'sql': 'x', 'params': [[]]}]},
            {'statements': [{'sql': 'x', 'parameters': []}]},
            {'statements': [{'sql': 'x'}] * (dataapi.MAX_STATEMENTS + 1)},
            {**ONE_STATEMENT, 'acess': 'read'},
            {**ONE_STATEMENT, 'access': 'both'},
            {**ONE_STATEMENT, 'access': ['read']},
            {**ONE_STATEMENT, 'consistency': 'eventual'},
            {**ONE_STATEMENT, 'consistency': {'max_age_ms': -1}},
            {**ONE_STATEMENT, 'consistency': {'max_age_ms': 1.5}},
            {**ONE_STATEMENT, 'consistency': {'max_age_ms': 1, 'x': 1}},
            {**ONE_STATEMENT, 'idempotent': 1},
            {**ONE_STATEMENT, 'deadline_ms': 0},
            {**ONE_STATEMENT, 'deadline_ms': True},
            {**ONE_STATEMENT, 'deadline_ms': '5'},
            {**ONE_STATEMENT, 'deadline_ms': dataapi.MAX_DEADLINE_MS + 1},
        ],
    )
    def test_malformed_body(self, body):
        """Guards against accepting a malformed request."""
        with pytest.raises(errors.BadRequestError) as info:
            _parse(body=body)
        assert info.value.kind == 'bad_request'

    @pytest.mark.parametrize(
        ('path', 'headers', 'status'),
        [
            ('/quotes', {}, 404),
            ('/', {}, 404),
            ('/../statements', {}, 404),
            ('/q/transactions/a b/commit', {}, 404),
            ('/q/transactions/t/undo', {}, 404),
            ('/q/statements', {'REQUEST_METHOD': 'GET'}, 400),
            ('/q/statements', {'QUERY_STRING': 'a=1'}, 400),
            ('/q/statements', {'HTTP_AUTHORIZATION': None}, 401),
            ('/q/statements', {'HTTP_AUTHORIZATION': 'Basic abcdefgh'}, 401),
            ('/q/statements', {'HTTP_AUTHORIZATION': 'Bearer x y'}, 401),
            ('/q/statements', {'HTTP_SESSION_TOKEN': 'x' * 5000}, 400),
            ('/q/statements', {'HTTP_SESSION_TOKEN': 'a b'}, 400),
            ('/q/statements', {'HTTP_IDEMPOTENCY_KEY': ''}, 400),
            ('/q/statements', {'HTTP_IDEMPOTENCY_KEY': 'x' * 129}, 400),
        ],
    )
    def test_malformed_path_or_header(self, path, headers, status):
        """Guards against an error with the wrong status or outcome."""
        with pytest.raises(errors.RidgeError) as info:
            _parse(path, **headers)
        assert info.value.status == status
        assert info.value.outcome is errors.Outcome.NOT_RUN

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(
                ['statements', 'access', 'consistency', 'idempotent']
                + ['deadline_ms', 'sql']
            ),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(),
                lambda x: (
                    st.lists(x, max_size=3)
                    | st.dictionaries(
                        st.sampled_from(['sql', 'params', 'max_age_ms']), x
                    )
                ),
                max_leaves=8,
            ),
        )
    )
    def test_any_json_is_parsed_or_refused(self, body):
        """Guards against an exception that is not a RidgeError."""
        try:
            raw = orjson.dumps(body)
        except TypeError:
            return  # an integer over 64 bits, or a lone surrogate
        try:
            req = _parse(body=raw)
        except errors.RidgeError:
            return
        assert req.statements and math.isfinite(req.deadline)

    def test_digest_distinguishes_requests(self):
        """Guards against replaying the response of another request."""
        digests = [
            _parse(path, body).digest
            for path, body in (
                ('/a/statements', ONE_STATEMENT),
                ('/b/statements', ONE_STATEMENT),
                ('/a/statements', {'statements': [{'sql': 'select 2'}]}),
                ('/a/transactions/t/statements', ONE_STATEMENT),
                ('/a/transactions/u/statements', ONE_STATEMENT),
            )
        ]
        assert len(set(digests)) == 5 and all(digests)
        assert (
            _parse('/a/statements', {**ONE_STATEMENT, 'deadline_ms': 5}).digest
            == (digests[0])
        )


class TestParseRoute:
    def test_key_is_optional(self):
        """Guards against refusing a request without key to a public route."""
        environ = _environ('/prices/latest', HTTP_AUTHORIZATION=None)
        req = dataapi.parse_route(environ, 1000)
        assert (req.route, req.key_digest) == ('prices/latest', None)
        with pytest.raises(errors.UnknownServiceError):
            dataapi.parse_route(_environ('/a//b'), 1000)


class TestDataApi:
    def test_session_and_errors_reach_the_caller(self, node):
        """Guards against losing response headers or the kind of an error."""
        client = node.client()
        _, headers, _ = client.call()
        assert headers['session-token'] == 'token-1'
        assert headers['content-type'] == 'application/json'
        node.port.error = errors.UnavailableError(
            'no lease', kind='no_lease', retry_after_s=0.2
        )
        status, headers, body = client.call()
        assert (status, headers['retry-after']) == (503, '1')
        assert body['error']['kind'] == 'no_lease'
        assert node.value('errors_total', kind='no_lease') == 1

    def test_unexpected_exception_is_not_called_not_run(self, node):
        """Guards against reporting "not run" when that is not known (G9)."""
        node.port.error = RuntimeError('boom')
        status, _, body = node.client().call()
        assert (status, body['error']['outcome']) == (504, 'unknown')
        assert node.value('internal_failures_total') == 1

    def test_cancelled_request_is_not_called_not_run(self, node):
        """Guards against reporting "not run" when the engine cancels tasks."""
        client = node.client()
        client.send(node.statement('x', 'slow'))
        node.wait_for(lambda: node.port.waiting)

        def cancel():
            for task in asyncio.all_tasks(node.loop):
                task.cancel()

        node.loop.call_soon_threadsafe(cancel)
        status, _, body = client.receive()
        assert (status, body['error']['outcome']) == (504, 'unknown')

    def test_key_appears_nowhere(self, node, tmp_path, caplog, capfd):
        """Guards against API keys in logs, metrics and error messages."""
        path = tmp_path / 'log'
        sink = logs.LogSink(str(path))
        try:
            client = node.client()
            texts = [client.call(body={'statements': 1})[2]]
            bad = 'Authorization: Bearer   ' + node.key
            texts.append(client.call(key=None, headers=[bad])[2])
            texts.append(client.call('/v1/nothing')[2])
            texts.append(client.call('/v1/status', method='GET')[2])
            node.port.error = RuntimeError('failed for ' + node.key)
            texts.append(client.call()[2])
            texts.append(client.call('/v1/status', method='GET', key=None)[2])
            client.send(
                b'GET / HTTP/1.1\r\n' + node.key.encode() + b'\r\n\r\n'
            )
            texts.append(client.receive()[2])
        finally:
            sink.close()
        written = path.read_text()
        assert 'RuntimeError' in written
        output = capfd.readouterr()
        everything = [written, caplog.text, output.out, output.err]
        everything.append(node.metrics.render().decode())
        for text in [*everything, repr(texts)]:
            assert node.key not in text
