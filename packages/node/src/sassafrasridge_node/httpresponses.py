"""HTTP responses, and bodies in JSON."""

from collections.abc import Callable
from collections.abc import Coroutine
import typing

import orjson

from sassafrasridge_core import errors

# Deepest nesting of a request body. Bodies are encoded again for other
# daemons, and the encoder allows less nesting than the decoder.
MAX_NESTING = 100


class Response:
    """Hold a complete HTTP response."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class DeferredResponse:
    """Represent, as a WSGI result, a response that a coroutine will produce.

    ``call`` creates the coroutine on the engine's loop. ``finish`` gets the
    coroutine's result or exception in a worker thread and returns the
    response. ``on_undelivered`` is called on the loop if the client does not
    receive the response. The attribute ``client_closed`` of ``req`` is set to
    the ``peer_closed`` method of the connection.
    """

    __slots__ = ('req', 'call', 'finish', 'on_undelivered')

    def __init__(
        self,
        req: typing.Any,
        call: Callable[[], Coroutine[typing.Any, typing.Any, typing.Any]],
        finish: Callable[[typing.Any, BaseException | None], Response],
        on_undelivered: Callable[[], None] | None = None,
    ) -> None:
        self.req = req
        self.call = call
        self.finish = finish
        self.on_undelivered = on_undelivered


def _is_nested_deeper(value: typing.Any, depth: int) -> bool:
    """Return whether lists and objects are nested deeper than ``depth``."""
    level = [value]
    for _ in range(depth):
        children: list[typing.Any] = []
        for item in level:
            if isinstance(item, dict):
                children.extend(item.values())
            elif isinstance(item, list):
                children.extend(item)
        level = [c for c in children if isinstance(c, dict | list)]
        if not level:
            return False
    return True


def parse_json_object(raw: bytes) -> dict[str, typing.Any]:
    """Parse a request body; raise BadRequestError if not a JSON object."""
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise errors.BadRequestError(
            f'the body is not JSON (line {exc.lineno}, column {exc.colno})'
        ) from None
    if not isinstance(body, dict):
        raise errors.BadRequestError('the body must be a JSON object')
    opening_brackets = raw.count(b'[') + raw.count(b'{')
    if opening_brackets > MAX_NESTING and _is_nested_deeper(body, MAX_NESTING):
        raise errors.BadRequestError(
            f'the body is nested deeper than {MAX_NESTING} levels'
        )
    return body


def error_response(exc: errors.RidgeError) -> Response:
    """Return an error as a JSON response."""
    headers: tuple[tuple[str, str], ...] = (
        ('Content-Type', 'application/json'),
    )
    if exc.retry_after_s is not None:
        # Retry-After is in whole seconds; round up so that no client retries
        # too early.
        seconds = max(1, -int(-exc.retry_after_s // 1))
        headers += (('Retry-After', str(seconds)),)
    return Response(exc.status, orjson.dumps(exc.as_json()), headers)
