"""State of client sessions.

A front end decodes statements, passes them to a Session one at a time, and
encodes the results. Session values, prepared statements and BEGIN are stored
here; they are sent to a target together with the first statement that needs
them.
"""

import asyncio
import hashlib
import random
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_core import ownwrites
from sassafrasridge_core import regions
from sassafrasridge_core import statements
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import metrics
from sassafrasridge_node import readlog
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting
from sassafrasridge_node import sessionstate

StatementKind = statements.StatementKind
StatementFailure = statements.StatementFailure
TransactionState = statements.TransactionState

# Maximum number of targets tried for a read, and of attempts to run a write
# that the target has not run.
MAX_ATTEMPTS = 4

# Pause before a busy target is tried again.
RETRY_PAUSE_S = 0.03

# Upper limit of the pause, which doubles with each attempt, so that the
# statements that wait for an unreachable primary don't load it.
MAX_RETRY_PAUSE_S = 0.24


class SessionError(Exception):
    """Report why a statement or the opening of a session failed."""

    def __init__(self, failure: StatementFailure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class RefusedError(SessionError):
    """Report that a target can't run a statement in time; it has not run."""


class ServedElsewhereError(Exception):
    """Report that other processes serve the group; nothing has run here."""


class PreparedStatement:
    """Hold a prepared statement of a session.

    ``name`` is the name under which targets know it. It is derived from the
    text, not the name that the client chose.
    """

    __slots__ = ('text', 'writes', 'name')

    def __init__(self, text: str, writes: bool) -> None:
        self.text = text
        self.writes = writes
        self.name = (
            'p' + hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        )


class Transaction:
    """Hold an open transaction.

    ``conn`` is None until the first statement needs a target. If another
    entry process runs the transaction, ``owner`` is that process and
    ``number`` identifies the transaction there. ``abort_reason`` is empty
    unless the transaction has been aborted.
    """

    __slots__ = (
        'access',
        'read_only',
        'backend',
        'conn',
        'owner',
        'number',
        'term',
        'abort_reason',
        'has_writes',
        'committing',
        'used_at',
    )

    def __init__(self, access: sessionrouting.Access, read_only: bool) -> None:
        self.access = access
        self.read_only = read_only
        self.backend: sessionpool.SessionBackend | None = None
        self.conn: sessionpool.SessionConnection | None = None
        self.owner = ''
        self.number = 0
        self.term = 0
        self.abort_reason = ''
        self.has_writes = False
        self.committing = False
        self.used_at = clocks.boottime()


class Operation:
    """Hold a statement to run on a target, and its time of arrival.

    ``access`` is what the session was authorized for when the statement
    arrived or, inside a transaction, when the transaction began.
    """

    __slots__ = ('stmt', 'prepared', 'access', 'started')

    def __init__(
        self,
        stmt: statements.Statement,
        prepared: PreparedStatement | None,
        access: sessionrouting.Access,
        started: float,
    ) -> None:
        self.stmt = stmt
        self.prepared = prepared
        self.access = access
        self.started = started

    @property
    def writes(self) -> bool:
        """Return whether the statement itself writes data."""
        prepared = self.prepared
        return self.stmt.kind is StatementKind.WRITE or (
            prepared is not None and prepared.writes
        )

    @property
    def deadline(self) -> float:
        """Return the time at which the statement times out."""
        return self.started + self.access.route.timeout_s


class SessionContext:
    """Hold what the sessions of this process share."""

    def __init__(
        self,
        state: sessionstate.SessionEntryState,
        counters: metrics.Metrics,
        rng: random.Random,
        admitter: admission.Admitter,
        relays: sessionrelay.StatementRelay,
    ) -> None:
        self.state = state
        self.metrics = counters
        self.router = sessionrouting.Router(state, rng)
        self.admitter = admitter
        self.relays = relays
        self.decisions = logs.DecisionLog(clocks.boottime)
        self.read_log = readlog.ReadLog(state)


class SessionBase:
    """Own the values, prepared statements and transaction of one client.

    ``own_writes`` are the log positions of the session's acknowledged writes.
    """

    def __init__(
        self, service: SessionContext, number: int, database: str, digest: str
    ) -> None:
        self.number = number
        self.database = database
        self.busy = False
        self.transaction: Transaction | None = None
        self._service = service
        self._state = service.state
        self._router = service.router
        self._digest = digest
        self._values: dict[str, str] = {}
        self._prepared: dict[str, PreparedStatement] = {}
        self.own_writes = ownwrites.OwnWrites()
        self._cleanup_tasks: set[asyncio.Task[None]] = set()

    def authorize(self) -> sessionrouting.Access:
        """Authorize the client by its key and route; raise SessionError."""
        config = self._state.config
        if config.revision == 0 or not self._state.config_valid():
            raise SessionError(
                StatementFailure.BUSY, 'no configuration is in force here'
            )
        route, service = self._find_route()
        if route is None or service is None:
            raise SessionError(
                StatementFailure.UNKNOWN_SERVICE,
                f'database {self.database} does not exist',
            )
        account = config.account_by_key_digest(self._digest)
        if account is None and not route.open:
            raise SessionError(
                StatementFailure.UNAUTHORIZED,
                'the key is unknown or withdrawn',
            )
        allowed = regions.intersect(
            route.regions, account.regions if account else ()
        )
        if allowed is not None:
            self._state.regions_in_use = True
        return sessionrouting.Access(
            account.name if account else admission.ANONYMOUS,
            route,
            service.group,
            allowed,
        )

    def _find_route(
        self,
    ) -> tuple[configuration.Route | None, configuration.Service | None]:
        """Return the current route and service of the database."""
        config = self._state.config
        route = config.route(self.database)
        return route, None if route is None else config.service(route.service)

    def _decision_context(self) -> dict[str, typing.Any]:
        """Return the state that decisions are based on, for the log."""
        route, service = self._find_route()
        view = self._state.groups.get(service.group) if service else None
        now = clocks.boottime()
        return {
            'session': self.number,
            'database': self.database,
            'revision': self._state.config.revision,
            'lease': self._state.lease_valid(),
            'lease_age_s': round(self._state.lease.age(now), 3),
            'view_term': view.term if view else 0,
            'primary': view.primary if view else None,
            'changing': view.changing if view else None,
            'priority': route.priority if route else None,
            'expected_wait_s': self._expected_wait_s(route, service),
        }

    def _expected_wait_s(
        self,
        route: configuration.Route | None,
        service: configuration.Service | None,
    ) -> float | None:
        """Return the expected wait of the session's class at the primary."""
        if route is None or service is None:
            return None
        backend = self._state.primary(service.group)
        if not isinstance(backend, sessionpool.SessionBackend):
            return None
        found = self._state.config.account_by_key_digest(self._digest)
        account = admission.ANONYMOUS if found is None else found.name
        work = self._state.work_classes.work(
            account,
            route,
            service.group,
            clocks.boottime(),
            backend.run_times.expected_s(route.priority),
            self.transaction is not None,
            needs_primary=False,
        )
        return round(backend.expected_wait_s(account, work), 3)

    def _log_retry(
        self,
        stmt: statements.Statement,
        backend: sessionpool.SessionBackend,
        floor: model.Position | None,
        error: SessionError,
    ) -> None:
        """Log that a statement is retried, possibly on another target."""
        self._service.metrics.retries.inc()
        self._service.decisions.write(
            'statement_moved',
            self._decision_context,
            id=stmt.id,
            target=backend.info.server,
            floor=repr(floor) if floor else None,
            target_position=repr(backend.position),
            target_age_s=round(clocks.boottime() - backend.success_at, 3),
            reason=error.failure.value,
            detail=error.detail,
        )

    def session_state(self) -> TransactionState:
        """Return the transaction state that the client is told."""
        if self.transaction is None:
            return TransactionState.IDLE
        return (
            TransactionState.BROKEN
            if self.transaction.abort_reason
            else TransactionState.OPEN
        )

    def _find_prepared(
        self, stmt: statements.Statement
    ) -> PreparedStatement | None:
        if stmt.kind is not StatementKind.EXECUTE:
            return None
        found = self._prepared.get(stmt.name)
        if found is None:
            raise SessionError(
                StatementFailure.MALFORMED,
                f'prepared statement {stmt.name} does not exist',
            )
        return found

    def _view_term(self, access: sessionrouting.Access) -> int:
        view = self._state.groups.get(access.group)
        return view.term if view is not None else 0

    def _is_same_primary(
        self,
        backend: sessionpool.SessionBackend,
        access: sessionrouting.Access,
        term: int,
    ) -> bool:
        """Return whether a target is still the acting primary of a term."""
        same_term = self._view_term(access) == term
        return (
            same_term and self._state.acting_primary(access.group) is backend
        )

    def _require_target(self, access: sessionrouting.Access) -> None:
        """Raise SessionError if drained zones leave no target."""
        if self._state.out_of_service(access.group):
            raise SessionError(
                StatementFailure.BUSY,
                'all targets are in drained availability zones',
            )

    def _runs_here(self, group: str) -> bool:
        """Return whether this process runs statements for a group."""
        return self._state.serves(group)

    def _require_serving(self, group: str) -> None:
        """Raise ServedElsewhereError if other processes serve a group.

        A process that has just started learns of the others after its first
        statements have arrived.
        """
        if not self._state.serves(group):
            raise ServedElsewhereError()
