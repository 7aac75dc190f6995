"""HTTP interface for data requests: parsing, validation and responses."""

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
# One day; a longer limit on staleness needs no check by a proxy.
MAX_AGE_MS = 86_400_000
MAX_TOKEN_CHARS = 4096

_SERVICE_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
_ROUTE_PATH = re.compile(r'[A-Za-z0-9_.-]+(?:/[A-Za-z0-9_.-]+)*')
_MAX_ROUTE_CHARS = 200
_TRANSACTION_ID = re.compile(r'[A-Za-z0-9_.:~-]{1,200}')
_API_KEY = re.compile(r'[!-~]{8,256}')
_REQUEST_ID = re.compile(r'[!-~]{1,128}')
_SESSION_TOKEN = re.compile(r'[!-~]+')
# Kind of request by the last part of a path below a transaction.
_KIND_BY_ACTION = {
    'statements': 'in',
    'commit': 'commit',
    'rollback': 'rollback',
}
_PARAM_TYPES = (str, int, float, bool, type(None))
_JSON_HEADER = ('Content-Type', 'application/json')

# Fields allowed in a request body, by kind of request.
_BODY_FIELDS = {
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
        self._default_deadline_ms = default_deadline_ms

    def services(self, environ: Body, _start_response: object) -> typing.Any:
        """Handle a WSGI request below /v1/services."""
        return self._handle(environ, parse_service)

    def routes(self, environ: Body, _start_response: object) -> typing.Any:
        """Handle a WSGI request below /v1/routes."""
        return self._handle(environ, parse_route)

    def _handle(
        self,
        environ: Body,
        parse: Callable[[Body, int], front.DataRequest],
    ) -> typing.Any:
        try:
            req = parse(environ, self._default_deadline_ms)
        except errors.RidgeError as exc:
            self._metrics.count_error(exc.kind)
            return httpserver.error_response(exc)
        return self._defer(req)

    def _defer(self, req: front.DataRequest) -> httpserver.DeferredResponse:
        started = time.monotonic()

        def finish(
            reply: front.DataReply | None, exc: BaseException | None
        ) -> httpserver.Response:
            elapsed_s = time.monotonic() - started
            self._metrics.request_seconds[req.kind].observe(elapsed_s)
            return self._respond(req, reply, exc)

        return httpserver.DeferredResponse(
            req,
            lambda: self._port.call(req),
            finish,
            lambda: self._port.on_undelivered(req),
        )

    def _respond(
        self,
        req: front.DataRequest,
        reply: front.DataReply | None,
        exc: BaseException | None,
    ) -> httpserver.Response:
        try:
            if exc is not None:
                raise exc
            return _success_response(typing.cast(front.DataReply, reply))
        except errors.RidgeError as ridge_error:
            error = ridge_error
        except asyncio.CancelledError:
            error = _outcome_unknown_error(req, 'the process stopped')
        except Exception:
            self._metrics.record_exception('data request')
            error = _outcome_unknown_error(req, 'an internal error occurred')
        self._metrics.count_error(error.kind)
        return httpserver.error_response(error)


def _outcome_unknown_error(
    req: front.DataRequest, why: str
) -> errors.RidgeError:
    """Return the error for a request whose outcome is not known.

    The front cannot tell how far the engine got, so it must report that the
    request may have run.
    """
    return errors.OutcomeUnknownError(f'{why} during a {req.kind} request')


def _success_response(reply: front.DataReply) -> httpserver.Response:
    body = reply.body
    if not isinstance(body, bytes):
        body = orjson.dumps(body)
    headers: tuple[tuple[str, str], ...] = (_JSON_HEADER,)
    if reply.session is not None:
        headers = (_JSON_HEADER, ('Session-Token', reply.session))
    return httpserver.Response(reply.status, body, headers)


def parse_service(
    environ: Body, default_deadline_ms: int
) -> front.DataRequest:
    """Return the request of a path below /v1/services.

    Raises BadRequestError, UnauthorizedError and UnknownServiceError.
    """
    parts = environ['PATH_INFO'].split('/')
    kind, service, transaction = _service_path(parts)
    _require_post(environ)
    req = _parse(environ, kind, default_deadline_ms)
    if req.key_digest is None:
        raise errors.UnauthorizedError('the request has no API key')
    req.service = service
    req.transaction = transaction
    req.digest = _request_digest(service, req)
    return req


def parse_route(environ: Body, default_deadline_ms: int) -> front.DataRequest:
    """Return the request of a path below /v1/routes.

    Raises BadRequestError, UnauthorizedError and UnknownServiceError.
    """
    path = environ['PATH_INFO'][1:]
    if len(path) > _MAX_ROUTE_CHARS or not _ROUTE_PATH.fullmatch(path):
        raise errors.UnknownServiceError('the route path is malformed')
    _require_post(environ)
    req = _parse(environ, 'statements', default_deadline_ms)
    req.route = path
    req.digest = _request_digest('/' + path, req)
    return req


def _service_path(parts: list[str]) -> tuple[str, str, str | None]:
    """Return the kind, service and transaction id of a path.

    >>> _service_path(['', 'quotes', 'transactions', 't1', 'commit'])
    ('commit', 'quotes', 't1')
    """
    size = len(parts)
    if size >= 3 and _SERVICE_NAME.fullmatch(parts[1]):
        if size == 3 and parts[2] == 'statements':
            return 'statements', parts[1], None
        if size == 3 and parts[2] == 'transactions':
            return 'begin', parts[1], None
        if (
            size == 5
            and parts[2] == 'transactions'
            and parts[4] in _KIND_BY_ACTION
        ):
            if not _TRANSACTION_ID.fullmatch(parts[3]):
                raise errors.UnknownTransactionError(
                    'the transaction id is malformed'
                )
            return _KIND_BY_ACTION[parts[4]], parts[1], parts[3]
    raise errors.UnknownServiceError(
        'no such path below /v1/services',
        remedy='Use /v1/services/{service}/statements or /transactions.',
    )


def _require_post(environ: Body) -> None:
    if environ['REQUEST_METHOD'] != 'POST':
        raise errors.BadRequestError('the method must be POST')
    if environ.get('QUERY_STRING'):
        raise errors.BadRequestError('query parameters are not supported')


def _parse(
    environ: Body, kind: str, default_deadline_ms: int
) -> front.DataRequest:
    now = clocks.boottime()
    body = _json_object(environ['wsgi.input'].read(), kind)
    unknown = body.keys() - _BODY_FIELDS[kind]
    if unknown:
        raise errors.BadRequestError(
            f'unknown field {_quote_short(min(unknown))} in the body'
        )
    consistency, max_age_s = _consistency(body.get('consistency', 'session'))
    deadline_ms = body.get('deadline_ms', default_deadline_ms)
    _check_integer(
        'deadline_ms', deadline_ms, MIN_DEADLINE_MS, MAX_DEADLINE_MS
    )
    return front.DataRequest(
        kind,
        statements=_statements(body)
        if 'statements' in _BODY_FIELDS[kind]
        else [],
        access=_enum_field(body, 'access', ('write', 'read')),
        consistency=consistency,
        max_age_s=max_age_s,
        idempotent=_boolean_field(body, 'idempotent'),
        key_digest=_key_digest(environ.get('HTTP_AUTHORIZATION')),
        session=_header(
            environ, 'HTTP_SESSION_TOKEN', _SESSION_TOKEN, MAX_TOKEN_CHARS
        ),
        request_id=_header(environ, 'HTTP_IDEMPOTENCY_KEY', _REQUEST_ID, 128),
        received_at=now,
        deadline=now + deadline_ms / 1000.0,
    )


def _json_object(raw: bytes, kind: str) -> Body:
    if not raw and kind not in ('statements', 'in'):
        return {}
    return httpserver.parse_json_object(raw)


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
                f'{where} has the unknown field {_quote_short(field)}'
            )
    sql = statement.get('sql')
    if not isinstance(sql, str) or not sql.strip():
        raise errors.BadRequestError(
            f"{where}: 'sql' must be a non-empty string"
        )
    if len(sql) > MAX_SQL_CHARS:
        raise errors.BadRequestError(
            f"{where}: 'sql' has over {MAX_SQL_CHARS} characters"
        )
    params = statement.setdefault('params', [])
    if not isinstance(params, list) or len(params) > MAX_PARAMS:
        raise errors.BadRequestError(
            f"{where}: 'params' must be a list of at most {MAX_PARAMS} values"
        )
    for param in params:
        if not isinstance(param, _PARAM_TYPES):
            raise errors.BadRequestError(
                f"{where}: 'params' may hold strings, numbers, booleans and "
                'null'
            )


def _consistency(value: typing.Any) -> tuple[str, float | None]:
    """Return the consistency kind and, for age, the maximum age in seconds.

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


def _enum_field(body: Body, field: str, choices: tuple[str, ...]) -> str:
    value = body.get(field, choices[0])
    if value not in choices:
        names = ' or '.join(repr(choice) for choice in choices)
        raise errors.BadRequestError(f"'{field}' must be {names}")
    return typing.cast(str, value)


def _boolean_field(body: Body, field: str) -> bool:
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
    """Return the SHA-256 hex digest of the API key, or None without header."""
    if header is None:
        return None
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not _API_KEY.fullmatch(key):
        # The message does not quote the header, which may hold a key.
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


def _request_digest(scope: str, req: front.DataRequest) -> str:
    """Return the digest that must match in retries with one request id."""
    if req.access == 'read':
        return ''
    content = [scope, req.kind, req.transaction, req.statements]
    packed = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(packed, digest_size=16).hexdigest()


def _quote_short(text: str) -> str:
    # The caller chooses the field name, so its length is unbounded.
    return repr(text[:40])
