"""HTTP interface for operators, targets and load balancers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import concurrent.futures
import functools
import hashlib
import hmac
import threading
import typing

import cherrypy
import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import settings as core_settings
from sassafrasridge_node import front
from sassafrasridge_node import httpserver
from sassafrasridge_node import metrics as metrics_
from sassafrasridge_node import process

ANNOUNCE_PATH = process.ANNOUNCE_PATH
# Commands that an OperatorPort implements.
COMMANDS = (
    'submit_note',
    'check_note',
    'list_notes',
    'show_note',
    'status',
    'audit',
    'drain',
    'remove_entry',
    'list_members',
    'change_members',
    'drain_zone',
    'restore_zone',
    'list_zones',
)
# A command occupies a worker thread while it waits for the control members,
# so only a few may run concurrently.
MAX_CONCURRENT_COMMANDS = 3
COMMAND_TIMEOUT_S = 15.0
BUSY_RETRY_S = 1.0
MAX_FIELD_CHARS = 200

_CHERRYPY_CONFIG = {
    'engine.autoreload.on': False,
    'checker.on': False,
    'log.screen': False,
    'log.access_file': '',
    'log.error_file': '',
    # These tools log the headers of failed requests, which include operator
    # tokens.
    'tools.log_headers.on': False,
    'tools.log_tracebacks.on': False,
}
_AUDIT_FILTERS = frozenset(('who', 'kind', 'since', 'after'))
_JSON = 'application/json'


class TokenTable:
    """Authenticate bearer tokens by their SHA-256 digests.

    >>> digest = hashlib.sha256(b'secret').hexdigest()
    >>> table = TokenTable({'ann': digest})
    >>> who = table.authenticate
    >>> who('Bearer secret'), who('Bearer other'), who(None)
    ('ann', None, None)
    """

    def __init__(self, digests: Mapping[str, str]) -> None:
        self._digests = [
            (name, digest.lower().encode()) for name, digest in digests.items()
        ]

    def __bool__(self) -> bool:
        return bool(self._digests)

    def authenticate(self, header: str | None) -> str | None:
        """Return the name of the token's owner, or None if it is not valid."""
        scheme, _, token = (header or '').partition(' ')
        given = hashlib.sha256(token.encode('latin-1', 'replace')).hexdigest()
        found = None
        # Compare every digest, so that the time taken reveals nothing.
        for name, digest in self._digests:
            if hmac.compare_digest(digest, given.encode()):
                found = name
        return found if scheme.lower() == 'bearer' else None


class AnnounceApi:
    """Accept announcements from targets at ``ANNOUNCE_PATH`` (WSGI).

    It bypasses CherryPy's handlers for speed, because every target announces
    itself four times a second. ``digests`` maps names to SHA-256 hex digests
    of announce tokens; if it is empty, no token is required.
    """

    def __init__(
        self,
        port: front.OperatorPort,
        loop: asyncio.AbstractEventLoop,
        metrics: metrics_.Metrics,
        digests: Mapping[str, str] | None = None,
    ) -> None:
        self._port = port
        self._loop = loop
        self._metrics = metrics
        self._tokens = TokenTable(digests or {})

    def __call__(
        self, environ: dict[str, typing.Any], _start_response: object
    ) -> httpserver.Response:
        try:
            info = self._parse(environ)
            self._loop.call_soon_threadsafe(self._port.announce, info)
        except errors.RidgeError as exc:
            self._metrics.count_error(exc.kind)
            return httpserver.error_response(exc)
        except RuntimeError:
            exc = errors.UnavailableError('the process is stopping')
            return httpserver.error_response(exc)
        self._metrics.announcements.inc()
        return httpserver.Response(200, b'{}', (('Content-Type', _JSON),))

    def _parse(self, environ: dict[str, typing.Any]) -> model.TargetInfo:
        header = environ.get('HTTP_AUTHORIZATION')
        if self._tokens and self._tokens.authenticate(header) is None:
            self._metrics.operator_refusals.inc()
            raise errors.UnauthorizedError(
                'the announce token is missing or not valid'
            )
        if environ['REQUEST_METHOD'] != 'POST' or environ['PATH_INFO']:
            raise errors.BadRequestError(
                'announcements must be sent with POST'
            )
        return parse_announcement(environ['wsgi.input'].read())


# Highest values of the numbers in an announcement. Messages between daemons
# carry positions as 64-bit numbers.
_NUMBER_LIMITS = {
    'term': (1 << 63) - 1,
    'position': (1 << 63) - 1,
    'slots': model.MAX_COUNT,
    'connections': model.MAX_COUNT,
}


def parse_announcement(raw: bytes) -> model.TargetInfo:
    """Return the target that an announcement describes.

    Unknown fields are ignored, so that targets may run a newer release.
    Raises BadRequestError.
    """
    body = httpserver.parse_json_object(raw)
    texts = {}
    for field in ('group', 'server', 'role', 'address', 'zone'):
        value = body.get(field)
        if not isinstance(value, str) or not 0 < len(value) <= MAX_FIELD_CHARS:
            raise errors.BadRequestError(
                f"'{field}' must be a string of 1 to {MAX_FIELD_CHARS} "
                'characters'
            )
        texts[field] = value
    if texts['role'] not in ('primary', 'replica'):
        raise errors.BadRequestError("'role' must be 'primary' or 'replica'")
    if not core_settings.is_target_address(texts['address']):
        raise errors.BadRequestError(
            "'address' must be an IPv4 address and port"
        )
    numbers = {}
    for field, limit in _NUMBER_LIMITS.items():
        number = body.get(field)
        if type(number) is not int or not 0 <= number <= limit:
            raise errors.BadRequestError(
                f"'{field}' must be an integer from 0 to {limit}"
            )
        numbers[field] = number
    leaving = body.get('leaving', False)
    if not isinstance(leaving, bool):
        raise errors.BadRequestError("'leaving' must be true or false")
    return model.TargetInfo(leaving=leaving, **texts, **numbers)


class OperatorApi:
    """Serve operator commands through CherryPy handlers.

    ``digests`` maps operator names to SHA-256 hex digests of their tokens.
    """

    def __init__(
        self,
        port: front.OperatorPort,
        loop: asyncio.AbstractEventLoop,
        metrics: metrics_.Metrics,
        digests: Mapping[str, str],
        is_draining: Callable[[], bool] = lambda: False,
        command_timeout_s: float = COMMAND_TIMEOUT_S,
    ) -> None:
        self.port = port
        self.metrics = metrics
        self.is_draining = is_draining
        self._loop = loop
        self._tokens = TokenTable(digests)
        self._command_timeout_s = command_timeout_s
        self._command_slots = threading.BoundedSemaphore(
            MAX_CONCURRENT_COMMANDS
        )

    def app(self) -> typing.Any:
        """Return the WSGI application."""
        cherrypy.config.update(_CHERRYPY_CONFIG)
        app = cherrypy.Application(_Root(self))
        app.merge(self._config())
        return app

    def _config(self) -> dict[str, typing.Any]:
        return {
            '/': {
                # The handlers parse JSON bodies, which the server has already
                # limited in size.
                'request.process_request_body': False,
                'tools.trailing_slash.on': False,
                'error_page.default': self._error_page,
                'request.show_tracebacks': False,
            }
        }

    def run(self, kind: str, body: dict[str, typing.Any]) -> bytes:
        """Authenticate the operator, run a command and return its reply.

        Returns the JSON body and sets the status. Raises RidgeError.
        """
        header = cherrypy.request.headers.get('Authorization')
        who = self._tokens.authenticate(header)
        if who is None:
            self.metrics.operator_refusals.inc()
            raise errors.UnauthorizedError(
                'the operator token is missing or not valid',
                remedy='Send a valid operator token as a bearer token.',
            )
        reply = self._execute(kind, body, who, cherrypy.request.remote.ip)
        cherrypy.response.status = reply.status
        if reply.retry_after_s is not None:
            _set_retry_after(reply.retry_after_s)
        return orjson.dumps(reply.body)

    def _execute(
        self, kind: str, body: dict[str, typing.Any], who: str, address: str
    ) -> front.OperatorReply:
        if not self._command_slots.acquire(blocking=False):
            raise errors.UnavailableError(
                'too many operator commands are running',
                kind='overloaded',
                retry_after_s=BUSY_RETRY_S,
            )
        try:
            fut = asyncio.run_coroutine_threadsafe(
                self.port.command(kind, body, who, address), self._loop
            )
            return fut.result(self._command_timeout_s)
        except (TimeoutError, concurrent.futures.CancelledError):
            raise errors.OutcomeUnknownError(
                f'the command {kind} did not finish in '
                f'{self._command_timeout_s:g} s',
                remedy='Submit it again; a repeated note is applied once.',
            ) from None
        finally:
            self._command_slots.release()

    def _error_page(self, status: str, message: str, **_: object) -> bytes:
        # Handles errors that CherryPy raises, such as for an unknown path.
        cherrypy.response.headers['Content-Type'] = _JSON
        code = int(status[:3])
        exc: errors.RidgeError = errors.RidgeError('internal error')
        if code == 404:
            exc = errors.UnknownServiceError(
                'no such path', kind='not_found', remedy='Check the path.'
            )
        elif code < 500:
            exc = errors.BadRequestError(status)
        self.metrics.count_error(exc.kind)
        return orjson.dumps(exc.as_json())


def _set_retry_after(seconds: float) -> None:
    value = max(1, -int(-seconds // 1))
    cherrypy.response.headers['Retry-After'] = str(value)


def _expose(
    *methods: str,
) -> Callable[[Callable[..., bytes]], Callable[..., bytes]]:
    """Expose a handler for HTTP methods and return errors as JSON."""

    def decorate(handler: Callable[..., bytes]) -> Callable[..., bytes]:
        @functools.wraps(handler)
        def wrapper(self: '_Handlers', *args: str, **query: str) -> bytes:
            cherrypy.response.headers['Content-Type'] = _JSON
            try:
                if cherrypy.request.method not in methods:
                    raise cherrypy.HTTPError(405)
                return handler(self, *args, **query)
            except errors.RidgeError as exc:
                return self.error_body(exc)
            except cherrypy.CherryPyException:
                raise
            except Exception:
                self.api.metrics.record_exception('operator request')
                return self.error_body(errors.RidgeError('an internal error'))

        wrapper.exposed = True  # type: ignore[attr-defined]
        return wrapper

    return decorate


def _json_body() -> dict[str, typing.Any]:
    raw = cherrypy.request.rfile.read()
    return httpserver.parse_json_object(raw) if raw else {}


def _is_post() -> bool:
    return bool(cherrypy.request.method == 'POST')


class _Handlers:
    def __init__(self, api: OperatorApi) -> None:
        self.api = api

    def error_body(self, exc: errors.RidgeError) -> bytes:
        self.api.metrics.count_error(exc.kind)
        cherrypy.response.status = exc.status
        if exc.retry_after_s is not None:
            _set_retry_after(exc.retry_after_s)
        return orjson.dumps(exc.as_json())


class _Root(_Handlers):
    # Otherwise CherryPy serves its own icon from disk.
    favicon_ico = None

    def __init__(self, api: OperatorApi) -> None:
        super().__init__(api)
        self.v1 = _V1(api)

    @_expose('GET')
    def metrics(self) -> bytes:
        cherrypy.response.headers['Content-Type'] = (
            'text/plain; version=0.0.4; charset=utf-8'
        )
        return self.api.metrics.render()

    @_expose('GET')
    def healthz(self) -> bytes:
        return b'{"healthy":true}'

    @_expose('GET')
    def readyz(self) -> bytes:
        draining = self.api.is_draining()
        reason = 'draining' if draining else self.api.port.readiness()
        if reason is None:
            return b'{"ready":true}'
        cherrypy.response.status = 503
        return orjson.dumps({'ready': False, 'reason': reason})


class _V1(_Handlers):
    @_expose('GET', 'POST')
    def notes(self, name: str | None = None, *rest: str) -> bytes:
        if rest:
            raise cherrypy.NotFound()
        if _is_post():
            if name not in (None, 'check'):
                raise cherrypy.HTTPError(405)
            kind = 'submit_note' if name is None else 'check_note'
            return self.api.run(kind, _json_body())
        if name is None:
            return self.api.run('list_notes', {})
        if not name.isascii() or not name.isdigit() or len(name) > 18:
            raise errors.BadRequestError(
                'the note number must have 1 to 18 digits'
            )
        return self.api.run('show_note', {'number': int(name)})

    @_expose('GET')
    def status(self) -> bytes:
        return self.api.run('status', {})

    @_expose('GET')
    def audit(self, **filters: str) -> bytes:
        unknown = filters.keys() - _AUDIT_FILTERS
        if unknown or not all(isinstance(v, str) for v in filters.values()):
            raise errors.BadRequestError(
                "the filters are 'who', 'kind', 'since' and 'after', each once"
            )
        return self.api.run('audit', dict(filters))

    @_expose('POST')
    def drain(self) -> bytes:
        return self.api.run('drain', _json_body())

    @_expose('POST')
    def entries(self) -> bytes:
        return self.api.run('remove_entry', _json_body())

    @_expose('GET', 'POST')
    def members(self) -> bytes:
        if _is_post():
            return self.api.run('change_members', _json_body())
        return self.api.run('list_members', {})

    @_expose('GET', 'POST', 'DELETE')
    def zones(self, *path: str) -> bytes:
        method = cherrypy.request.method
        if not path:
            if method != 'GET':
                raise cherrypy.HTTPError(405)
            return self.api.run('list_zones', {})
        if len(path) != 2 or path[1] != 'drain':
            raise cherrypy.NotFound()
        if method == 'GET':
            raise cherrypy.HTTPError(405)
        kind = 'drain_zone' if method == 'POST' else 'restore_zone'
        return self.api.run(kind, {'zone': path[0]})
