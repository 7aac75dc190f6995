"""Call the operators' HTTP interface, at the next address if one fails."""

from collections.abc import Callable
import time
from typing import Any

import requests

from sassafrasridge_core import errors

CONNECT_TIMEOUT_S = 2.0
# The daemon gives a command up after 15 s.
READ_TIMEOUT_S = 16.0
# An election takes up to 1 s.
ROUNDS = 4
ROUND_DELAY_S = 0.5

_BY_STATUS: dict[int, type[errors.RidgeError]] = {
    400: errors.BadRequestError,
    401: errors.UnauthorizedError,
    403: errors.ForbiddenError,
    404: errors.UnknownServiceError,
    409: errors.ConflictError,
    413: errors.TooLargeError,
    429: errors.RateLimitedError,
    503: errors.UnavailableError,
    504: errors.OutcomeUnknownError,
}

Body = dict[str, Any]


class RemoteError(Exception):
    """Carry the error that a daemon reported, with its whole body."""

    def __init__(self, error: errors.RidgeError, body: Body) -> None:
        super().__init__(error.message)
        self.error = error
        self.body = body


def remote_error(status: int, body: Any) -> RemoteError:
    """Return the error of a response."""
    body = body if isinstance(body, dict) else {}
    cls = _BY_STATUS.get(status, errors.RidgeError)
    detail = body.get('error')
    if not isinstance(detail, dict):
        return RemoteError(cls(f'the server answered {status}'), body)
    error = cls(
        str(detail.get('message', f'the server answered {status}')),
        kind=str(detail.get('kind', cls.kind)),
        remedy=str(detail.get('remedy', cls.remedy)),
    )
    return RemoteError(error, body)


class Client:
    """Send commands to the first address that answers."""

    def __init__(
        self,
        servers: list[str],
        token: str,
        sleep: Callable[[float], None] = time.sleep,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._servers = servers
        self._sleep = sleep
        self._timeouts = (CONNECT_TIMEOUT_S, read_timeout_s)
        self._session = requests.Session()
        # Proxies and .netrc of the environment must not see the token.
        self._session.trust_env = False
        self._session.headers['Authorization'] = f'Bearer {token}'

    def get(self, path: str, **query: str | None) -> Body:
        """Return the body of a resource; RemoteError, UnavailableError."""
        return self._call('GET', path, True, params=query)

    def post(self, path: str, body: Body, repeatable: bool) -> Body:
        """Send a command.

        A repeatable command is sent again when its response was lost; for
        another one OutcomeUnknownError is raised.
        """
        return self._call('POST', path, repeatable, json=body)

    def _call(
        self, method: str, path: str, repeatable: bool, **fields: Any
    ) -> Body:
        failure: Exception | None = None
        for attempt in range(ROUNDS * len(self._servers)):
            if attempt and attempt % len(self._servers) == 0:
                self._sleep(ROUND_DELAY_S)
            server = self._servers[attempt % len(self._servers)]
            try:
                return self._send(method, server, path, fields)
            except RemoteError as exc:
                if not _worth_another(exc, repeatable):
                    raise
                failure = exc
            except requests.RequestException as exc:
                if not repeatable and not _unsent(exc):
                    raise errors.OutcomeUnknownError(
                        f'{server} gave no answer to the command',
                        remedy='Check with status or audit what it did.',
                    )
                failure = failure or errors.UnavailableError(
                    f'none of {", ".join(self._servers)} answers: '
                    f'{type(exc).__name__}',
                    remedy='Check the addresses and that a daemon runs there.',
                )
        assert failure is not None
        raise failure

    def _send(self, method: str, server: str, path: str, fields: Body) -> Body:
        response = self._session.request(
            method,
            f'http://{server}{path}',
            timeout=self._timeouts,
            allow_redirects=False,
            **fields,
        )
        try:
            body = response.json()
        except requests.JSONDecodeError:
            body = None
        if response.status_code >= 300 or not isinstance(body, dict):
            raise remote_error(response.status_code, body)
        return body


def _unsent(exc: requests.RequestException) -> bool:
    """Return whether no connection was made, so nothing was sent."""
    if isinstance(exc, requests.ConnectTimeout):
        return True
    reason = exc.args[0] if exc.args else None
    name = type(getattr(reason, 'reason', None)).__name__
    return name == 'NewConnectionError'


def _worth_another(exc: RemoteError, repeatable: bool) -> bool:
    if exc.error.status == 503:
        return True
    return exc.error.status == 504 and repeatable
