"""Statements of a session and their results."""

import enum

from sassafrasridge_core import model


class StatementKind(enum.Enum):
    """Classify a statement by its effect."""

    BEGIN = 'begin'
    BEGIN_READ = 'begin_read'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


class Statement:
    """Hold one statement sent by a client.

    ``id`` and ``text`` are passed to the target unchanged. ``name`` is the
    name of a session value (SET) or of a prepared statement. ``value`` is
    the value to set, the text to prepare or the argument of EXECUTE.
    ``writes`` is true if the text to prepare is a write.
    """

    __slots__ = ('kind', 'id', 'text', 'name', 'value', 'writes')

    def __init__(
        self,
        kind: StatementKind,
        id: str,
        text: str,
        name: str = '',
        value: str = '',
        writes: bool = False,
    ) -> None:
        self.kind = kind
        self.id = id
        self.text = text
        self.name = name
        self.value = value
        self.writes = writes


class ResultCode(enum.Enum):
    """Classify a target's answer to a statement."""

    DONE = 'done'
    # The target did not run the statement.
    BUSY = 'busy'
    NOT_PREPARED = 'not_prepared'
    BEHIND = 'behind'
    NOT_PRIMARY = 'not_primary'
    WRONG_SERVER = 'wrong_server'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    REFUSED = 'refused'
    # The target may have run the statement.
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    LOST = 'lost'


# Not run because of the state of the target, not because of the statement.
NOT_RUN_CODES = frozenset(
    (
        ResultCode.BUSY,
        ResultCode.NOT_PREPARED,
        ResultCode.BEHIND,
        ResultCode.NOT_PRIMARY,
        ResultCode.WRONG_SERVER,
        ResultCode.TOO_MANY_CONNECTIONS,
    )
)


class StatementFailure(enum.Enum):
    """Tell why a statement of a session has no result.

    The values before FAILED guarantee that the operation had no effect. FAILED
    and the values after it guarantee nothing.
    """

    BUSY = 'busy'
    RATE_LIMITED = 'rate_limited'
    ABORTED = 'aborted'
    NOT_FRESH = 'not_fresh'
    NO_PRIMARY = 'no_primary'
    OUTSIDE_REGIONS = 'outside_regions'
    UNKNOWN_SERVICE = 'unknown_service'
    UNAUTHORIZED = 'unauthorized'
    MALFORMED = 'malformed'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    IN_DOUBT = 'in_doubt'


class TransactionState(enum.Enum):
    """Tell the state of a session's transaction between two statements."""

    IDLE = 'idle'
    OPEN = 'open'
    BROKEN = 'broken'


class Result:
    """Hold the result of a statement.

    ``rows`` and ``signature`` are returned as the target sent them.
    ``position`` is the end of the target's log, or None if it sent none.
    """

    __slots__ = (
        'rows',
        'signature',
        'failure',
        'detail',
        'state',
        'position',
    )

    def __init__(
        self,
        rows: list[str] | None = None,
        signature: str = '',
        failure: StatementFailure | None = None,
        detail: str = '',
        state: TransactionState = TransactionState.IDLE,
        position: model.Position | None = None,
    ) -> None:
        self.rows = rows or []
        self.signature = signature
        self.failure = failure
        self.detail = detail
        self.state = state
        self.position = position
