"""Call the operators' HTTP API, with failover between addresses."""

from collections.abc import Callable
import time
from typing import Any

import requests

from sassafrasridge_core import errors

CONNECT_TIMEOUT_S = 2.0
# The daemon aborts a command after 15 s.
READ_TIMEOUT_S = 16.0
# Rounds over all addresses. An election of a control leader takes up to 1 s.
MAX_ROUNDS = 4
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
    """Report the error in a response, together with the response body."""

    def __init__(self, error: errors.RidgeError, body: Body) -> None:
        super().__init__(error.message)
        self.error = error
        self.body = body


def remote_error(status: int, body: Any) -> RemoteError:
    """Return the error that a response describes."""
    body = body if isinstance(body, dict) else {}
    error_class = _BY_STATUS.get(status, errors.RidgeError)
    detail = body.get('error')
    if not isinstance(detail, dict):
        return RemoteError(
            error_class(f'the server responded with {status}'), body
        )
    error = error_class(
        str(detail.get('message', f'the server responded with {status}')),
        kind=str(detail.get('kind', error_class.kind)),
        remedy=str(detail.get('remedy', error_class.remedy)),
    )
    return RemoteError(error, body)


class Client:
    """Send requests to the first address that answers."""

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
        # Ignore proxies and .netrc of the environment: they must not get the
        # token.
        self._session.trust_env = False
        self._session.headers['Authorization'] = f'Bearer {token}'

    def get(self, path: str, **query: str | None) -> Body:
        """Return a resource; raise RemoteError or UnavailableError."""
        return self._call('GET', path, True, params=query)

    def post(self, path: str, body: Body, idempotent: bool) -> Body:
        """Send a command.

        If the response is lost, an idempotent command is sent again; any
        other command raises OutcomeUnknownError.
        """
        return self._call('POST', path, idempotent, json=body)

    def delete(self, path: str) -> Body:
        """Withdraw a resource; the request is sent again if necessary."""
        return self._call('DELETE', path, True)

    def _call(
        self, method: str, path: str, idempotent: bool, **request_args: Any
    ) -> Body:
        failure: Exception | None = None
        for attempt in range(MAX_ROUNDS * len(self._servers)):
            if attempt and attempt % len(self._servers) == 0:
                self._sleep(ROUND_DELAY_S)
            server = self._servers[attempt % len(self._servers)]
            try:
                return self._send(method, server, path, request_args)
            except RemoteError as exc:
                if not _should_retry(exc, idempotent):
                    raise
                failure = exc
            except requests.RequestException as exc:
                if not idempotent and not _is_unsent(exc):
                    raise errors.OutcomeUnknownError(
                        f'{server} did not respond to the command',
                        remedy='Check the effect with status or audit.',
                    )
                failure = failure or errors.UnavailableError(
                    f'none of {", ".join(self._servers)} responded: '
                    f'{type(exc).__name__}',
                    remedy='Check the addresses and that a daemon runs there.',
                )
        assert failure is not None
        raise failure

    def _send(
        self, method: str, server: str, path: str, request_args: Body
    ) -> Body:
        response = self._session.request(
            method,
            f'http://{server}{path}',
            timeout=self._timeouts,
            allow_redirects=False,
            **request_args,
        )
        try:
            body = response.json()
        except requests.JSONDecodeError:
            body = None
        if response.status_code >= 300 or not isinstance(body, dict):
            raise remote_error(response.status_code, body)
        return body


def _is_unsent(exc: requests.RequestException) -> bool:
    """Return whether the connection failed, so nothing was sent."""
    if isinstance(exc, requests.ConnectTimeout):
        return True
    reason = exc.args[0] if exc.args else None
    name = type(getattr(reason, 'reason', None)).__name__
    return name == 'NewConnectionError'


def _should_retry(exc: RemoteError, idempotent: bool) -> bool:
    if exc.error.status == 503:
        return True
    return exc.error.status == 504 and idempotent
