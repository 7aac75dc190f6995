"""The callers' HTTP interface: parsing, checks and responses."""

import asyncio
from collections.abc import Callable
import hashlib
import re
import time
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import front
from sassafrasridge_node import httpserver
from sassafrasridge_node import metrics as metrics_

SERVICES_PATH = '/v1/services'
ROUTES_PATH = '/v1/routes'
MAX_STATEMENTS = 1000
MAX_PARAMS = 10_000
MAX_SQL_CHARS = 256 * 1024
MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 120_000
# Ages beyond a day need no proxy to judge them.
MAX_AGE_MS = 86_400_000
MAX_TOKEN_CHARS = 4096

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
_ROUTE = re.compile(r'[A-Za-z0-9_.-]+(?:/[A-Za-z0-9_.-]+)*')
_MAX_ROUTE_CHARS = 200
_TRANSACTION = re.compile(r'[A-Za-z0-9_.:~-]{1,200}')
_KEY = re.compile(r'[!-~]{8,256}')
_REQUEST_ID = re.compile(r'[!-~]{1,128}')
_TOKEN = re.compile(r'[!-~]+')
_ENDS = {'statements': 'in', 'commit': 'commit', 'rollback': 'rollback'}
_SCALARS = (str, int, float, bool, type(None))
_JSON = ('Content-Type', 'application/json')

# The fields that a body may have, by kind of request.
_FIELDS = {
    'statements': frozenset(
        ('statements', 'access', 'consistency', 'idempotent', 'deadline_ms')
    ),
    'begin': frozenset(('access', 'consistency', 'deadline_ms')),
    'in': frozenset(('statements', 'deadline_ms')),
    'commit': frozenset(('deadline_ms',)),
    'rollback': frozenset(('deadline_ms',)),
}

Body = dict[str, typing.Any]


class DataApi:
    """Parse data requests and pass them to the engine.

    ``services`` and ``routes`` are the WSGI callables to graft.
    ``default_deadline_ms`` applies to requests without ``deadline_ms``.
    """

    def __init__(
        self,
        port: front.DataPort,
        metrics: metrics_.Metrics,
        default_deadline_ms: int = 10_000,
    ) -> None:
        self._port = port
        self._metrics = metrics
        self._default_ms = default_deadline_ms

    def services(self, environ: Body, _start: object) -> typing.Any:
        """Answer a request below /v1/services (WSGI)."""
        return self._answer(environ, parse_service)

    def routes(self, environ: Body, _start: object) -> typing.Any:
        """Answer a request below /v1/routes (WSGI)."""
        return self._answer(environ, parse_route)

    def _answer(
        self,
        environ: Body,
        parse: Callable[[Body, int], front.DataRequest],
    ) -> typing.Any:
        try:
            req = parse(environ, self._default_ms)
        except errors.RidgeError as exc:
            self._metrics.error(exc.kind)
            return httpserver.error_response(exc)
        return self._deferred(req)

    def _deferred(self, req: front.DataRequest) -> httpserver.Deferred:
        started = time.monotonic()

        def finish(
            reply: front.DataReply | None, exc: BaseException | None
        ) -> httpserver.Response:
            taken = time.monotonic() - started
            self._metrics.request_seconds[req.kind].observe(taken)
            return self._finish(req, reply, exc)

        return httpserver.Deferred(
            req,
            lambda: self._port.call(req),
            finish,
            lambda: self._port.undelivered(req),
        )

    def _finish(
        self,
        req: front.DataRequest,
        reply: front.DataReply | None,
        exc: BaseException | None,
    ) -> httpserver.Response:
        try:
            if exc is not None:
                raise exc
            return _success(typing.cast(front.DataReply, reply))
        except errors.RidgeError as known:
            error = known
        except asyncio.CancelledError:
            error = _unresolved(req, 'the process stopped')
        except Exception:
            self._metrics.failure('data request')
            error = _unresolved(req, 'an internal error occurred')
        self._metrics.error(error.kind)
        return httpserver.error_response(error)


def _unresolved(req: front.DataRequest, why: str) -> errors.RidgeError:
    """Return the error for a request whose execution is not known.

    The front can't tell how far the engine got, so only "may have run" is
    true.
    """
    return errors.OutcomeUnknownError(f'{why} during a {req.kind} request')


def _success(reply: front.DataReply) -> httpserver.Response:
    body = reply.body
    if not isinstance(body, bytes):
        body = orjson.dumps(body)
    headers: tuple[tuple[str, str], ...] = (_JSON,)
    if reply.session is not None:
        headers = (_JSON, ('Session-Token', reply.session))
    return httpserver.Response(reply.status, body, headers)


def parse_service(environ: Body, default_ms: int) -> front.DataRequest:
    """Return the request of a path below /v1/services.

    Raises BadRequestError, UnauthorizedError and UnknownServiceError.
    """
    parts = environ['PATH_INFO'].split('/')
    kind, service, transaction = _service_path(parts)
    _require_post(environ)
    req = _parse(environ, kind, default_ms)
    if req.key_digest is None:
        raise errors.UnauthorizedError('the request carries no key')
    req.service = service
    req.transaction = transaction
    req.digest = _digest(service, req)
    return req


def parse_route(environ: Body, default_ms: int) -> front.DataRequest:
    """Return the request of a path below /v1/routes.

    Raises BadRequestError, UnauthorizedError and UnknownServiceError.
    """
    path = environ['PATH_INFO'][1:]
    if len(path) > _MAX_ROUTE_CHARS or not _ROUTE.fullmatch(path):
        raise errors.UnknownServiceError('the route path is malformed')
    _require_post(environ)
    req = _parse(environ, 'statements', default_ms)
    req.route = path
    req.digest = _digest('/' + path, req)
    return req


def _service_path(parts: list[str]) -> tuple[str, str, str | None]:
    """Return kind, service and transaction of a path.

    >>> _service_path(['', 'quotes', 'transactions', 't1', 'commit'])
    ('commit', 'quotes', 't1')
    """
    size = len(parts)
    if size >= 3 and _NAME.fullmatch(parts[1]):
        if size == 3 and parts[2] == 'statements':
            return 'statements', parts[1], None
        if size == 3 and parts[2] == 'transactions':
            return 'begin', parts[1], None
        if size == 5 and parts[2] == 'transactions' and parts[4] in _ENDS:
            if not _TRANSACTION.fullmatch(parts[3]):
                raise errors.UnknownTransactionError(
                    'the transaction id is malformed'
                )
            return _ENDS[parts[4]], parts[1], parts[3]
    raise errors.UnknownServiceError(
        'no such path below /v1/services',
        remedy='Use /v1/services/{service}/statements or /transactions.',
    )


def _require_post(environ: Body) -> None:
    if environ['REQUEST_METHOD'] != 'POST':
        raise errors.BadRequestError('the method must be POST')
    if environ.get('QUERY_STRING'):
        raise errors.BadRequestError('query parameters are not supported')


def _parse(environ: Body, kind: str, default_ms: int) -> front.DataRequest:
    now = clocks.boottime()
    body = _json_object(environ['wsgi.input'].read(), kind)
    unknown = body.keys() - _FIELDS[kind]
    if unknown:
        raise errors.BadRequestError(
            f'unknown field {_quote(min(unknown))} in the body'
        )
    consistency, max_age_s = _consistency(body.get('consistency', 'session'))
    deadline_ms = body.get('deadline_ms', default_ms)
    _check_integer(
        'deadline_ms', deadline_ms, MIN_DEADLINE_MS, MAX_DEADLINE_MS
    )
    return front.DataRequest(
        kind,
        statements=_statements(body) if 'statements' in _FIELDS[kind] else [],
        access=_choice(body, 'access', ('write', 'read')),
        consistency=consistency,
        max_age_s=max_age_s,
        idempotent=_boolean(body, 'idempotent'),
        key_digest=_key_digest(environ.get('HTTP_AUTHORIZATION')),
        session=_header(
            environ, 'HTTP_SESSION_TOKEN', _TOKEN, MAX_TOKEN_CHARS
        ),
        request_id=_header(environ, 'HTTP_IDEMPOTENCY_KEY', _REQUEST_ID, 128),
        received_at=now,
        deadline=now + deadline_ms / 1000.0,
    )


def _json_object(raw: bytes, kind: str) -> Body:
    if not raw and kind not in ('statements', 'in'):
        return {}
    return httpserver.json_object(raw)


def _statements(body: Body) -> list[Body]:
    statements = body.get('statements')
    if not isinstance(statements, list) or not statements:
        raise errors.BadRequestError("'statements' must be a non-empty list")
    if len(statements) > MAX_STATEMENTS:
        raise errors.BadRequestError(
            f"'statements' has over {MAX_STATEMENTS} entries"
        )
    for number, statement in enumerate(statements):
        _check_statement(number, statement)
    return statements


def _check_statement(number: int, statement: typing.Any) -> None:
    where = f'statement {number}'
    if not isinstance(statement, dict):
        raise errors.BadRequestError(f'{where} must be an object')
    for field in statement:
        if field not in ('sql', 'params'):
            raise errors.BadRequestError(
                f'{where} has the unknown field {_quote(field)}'
            )
    sql = statement.get('sql')
    if not isinstance(sql, str) or not sql.strip():
        raise errors.BadRequestError(f"{where}: 'sql' must be a text")
    if len(sql) > MAX_SQL_CHARS:
        raise errors.BadRequestError(
            f"{where}: 'sql' has over {MAX_SQL_CHARS} characters"
        )
    params = statement.setdefault('params', [])
    if not isinstance(params, list) or len(params) > MAX_PARAMS:
        raise errors.BadRequestError(
            f"{where}: 'params' must be a list of at most {MAX_PARAMS}"
        )
    for param in params:
        if not isinstance(param, _SCALARS):
            raise errors.BadRequestError(
                f"{where}: 'params' may hold text, numbers, booleans and null"
            )


def _consistency(value: typing.Any) -> tuple[str, float | None]:
    """Return the kind of consistency and the maximum age in seconds.

    >>> _consistency({'max_age_ms': 250})
    ('age', 0.25)
    """
    if value in ('primary', 'session'):
        return value, None
    if isinstance(value, dict) and value.keys() == {'max_age_ms'}:
        age_ms = value['max_age_ms']
        _check_integer('max_age_ms', age_ms, 0, MAX_AGE_MS)
        return 'age', age_ms / 1000.0
    raise errors.BadRequestError(
        "'consistency' must be 'primary', 'session' or {'max_age_ms': N}"
    )


def _choice(body: Body, field: str, choices: tuple[str, ...]) -> str:
    value = body.get(field, choices[0])
    if value not in choices:
        names = ' or '.join(repr(choice) for choice in choices)
        raise errors.BadRequestError(f"'{field}' must be {names}")
    return typing.cast(str, value)


def _boolean(body: Body, field: str) -> bool:
    value = body.get(field, False)
    if not isinstance(value, bool):
        raise errors.BadRequestError(f"'{field}' must be true or false")
    return value


def _check_integer(field: str, value: object, low: int, high: int) -> None:
    if type(value) is not int or not low <= value <= high:
        raise errors.BadRequestError(
            f"'{field}' must be an integer from {low} to {high}"
        )


def _key_digest(header: str | None) -> str | None:
    """Return the SHA-256 hex digest of the key in a header, if any."""
    if header is None:
        return None
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not _KEY.fullmatch(key):
        # The header is not quoted: it may hold a key.
        raise errors.UnauthorizedError('the Authorization header is malformed')
    return hashlib.sha256(key.encode()).hexdigest()


def _header(
    environ: Body, name: str, pattern: re.Pattern[str], limit: int
) -> str | None:
    value = environ.get(name)
    if value is None:
        return None
    if len(value) > limit or not pattern.fullmatch(value):
        title = name[5:].replace('_', '-').title()
        raise errors.BadRequestError(f'the {title} header is malformed')
    return typing.cast(str, value)


def _digest(target: str, req: front.DataRequest) -> str:
    """Return the digest that repeated requests with one id must share."""
    if req.access == 'read':
        return ''
    content = [target, req.kind, req.transaction, req.statements]
    packed = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(packed, digest_size=16).hexdigest()


def _quote(text: str) -> str:
    # Fields are chosen by the caller; a long one would flood the message.
    return repr(text[:40])
