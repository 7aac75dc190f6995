"""Interfaces between the HTTP front and the engine."""

import abc
from collections.abc import Callable
import typing

from sassafrasridge_core import model

Json = typing.Any


class DataRequest:
    """Hold a data request that passed all syntax checks.

    ``kind`` is statements, begin, in, commit or rollback. Exactly one of
    ``service`` and ``route`` is set; ``transaction`` is set for in, commit
    and rollback. ``consistency`` is primary, session or age; ``max_age_s``
    is set for age only. ``key_digest`` is the SHA-256 hex digest of the API
    key, or None if the request has no key; the key itself never leaves the
    parser. ``digest`` covers the parts that a retry with the same request id
    must share with the first request. ``received_at`` and ``deadline`` are
    in seconds of ``clocks.boottime``.
    """

    __slots__ = (
        'kind',
        'service',
        'route',
        'transaction',
        'statements',
        'access',
        'consistency',
        'max_age_s',
        'idempotent',
        'key_digest',
        'session',
        'request_id',
        'digest',
        'received_at',
        'deadline',
        'client_closed',
    )

    def __init__(
        self,
        kind: str,
        *,
        service: str | None = None,
        route: str | None = None,
        transaction: str | None = None,
        statements: list[dict[str, Json]] | None = None,
        access: str = 'write',
        consistency: str = 'session',
        max_age_s: float | None = None,
        idempotent: bool = False,
        key_digest: str | None = None,
        session: str | None = None,
        request_id: str | None = None,
        digest: str = '',
        received_at: float = 0.0,
        deadline: float = 0.0,
    ) -> None:
        self.kind = kind
        self.service = service
        self.route = route
        self.transaction = transaction
        self.statements = statements or []
        self.access = access
        self.consistency = consistency
        self.max_age_s = max_age_s
        self.idempotent = idempotent
        self.key_digest = key_digest
        self.session = session
        self.request_id = request_id
        self.digest = digest
        self.received_at = received_at
        self.deadline = deadline
        # Returns whether the client has closed its connection. It never
        # blocks and may be called from any thread.
        self.client_closed: Callable[[], bool] = _never_closed


def _never_closed() -> bool:
    return False


class DataReply:
    """Hold the result of a successful data request.

    ``body`` is a JSON-serializable value, which a worker thread encodes, or
    bytes that already hold JSON. ``session`` is the new session token.
    """

    __slots__ = ('body', 'session', 'status')

    def __init__(
        self, body: Json, session: str | None = None, status: int = 200
    ) -> None:
        self.body = body
        self.session = session
        self.status = status


class OperatorReply:
    """Hold the result of an operator command as a JSON-serializable body."""

    __slots__ = ('body', 'status', 'retry_after_s')

    def __init__(
        self,
        body: Json,
        status: int = 200,
        retry_after_s: float | None = None,
    ) -> None:
        self.body = body
        self.status = status
        self.retry_after_s = retry_after_s


class DataPort(abc.ABC):
    """Define what the engine offers data requests, on the engine's loop."""

    @abc.abstractmethod
    async def call(self, req: DataRequest) -> DataReply:
        """Execute a request; raise RidgeError.

        The front never cancels this call, even if the client disconnects:
        the outcome of a write that was sent must still be determined.
        """

    def on_undelivered(self, req: DataRequest) -> None:  # noqa: B027
        """Handle a response that could not be delivered to the client."""


class OperatorPort(abc.ABC):
    """Define what the engine offers operators, targets and load balancers."""

    @abc.abstractmethod
    async def command(
        self, kind: str, body: dict[str, Json], who: str, address: str
    ) -> OperatorReply:
        """Execute an operator command on the engine's loop.

        ``kind`` is one of ``operatorapi.COMMANDS``, ``who`` is the name of
        the operator and ``address`` the client address of the request.
        Raises RidgeError.
        """

    @abc.abstractmethod
    def announce(self, info: model.TargetInfo) -> None:
        """Process the announcement of a target, on the engine's loop."""

    @abc.abstractmethod
    def readiness(self) -> str | None:
        """Return why the process is not ready, or None if it is.

        It may be called from any thread. The reason is a short identifier,
        such as no_lease for an entry process without a valid lease.
        """
