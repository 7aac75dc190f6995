"""The SQL engine of a stand-in server, on sqlite3 in memory.

Two databases are kept. Committed transactions are applied to the visible one,
which answers reads. A primary also has a writable one, in which the current
write transaction runs, so that no read sees its uncommitted changes. (One
shared in-memory database would lock readers out during a transaction.)
Transactions are replicated as statements, so statements must be
deterministic.
"""

import collections.abc
import math
import sqlite3
import time
import typing

import orjson

REQUESTS_TABLE = 'sassafras_requests'
_SCHEMA = (
    f'CREATE TABLE {REQUESTS_TABLE} (account TEXT NOT NULL,'
    ' id TEXT NOT NULL, digest TEXT NOT NULL, answer TEXT,'
    ' created REAL NOT NULL, PRIMARY KEY (account, id))'
)
_DENIED_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        # query_only does not cover temporary tables.
        sqlite3.SQLITE_CREATE_TEMP_TABLE,
        sqlite3.SQLITE_CREATE_TEMP_VIEW,
        sqlite3.SQLITE_CREATE_TEMP_TRIGGER,
        sqlite3.SQLITE_CREATE_TEMP_INDEX,
    )
)
# Replicas would compute other values for them.
_DENIED_FUNCTIONS = frozenset(
    (
        'random',
        'randomblob',
        'current_date',
        'current_time',
        'current_timestamp',
    )
)
# Keeps a statement without an end from blocking the server's event loop.
STATEMENT_LIMIT_S = 0.5
_PROGRESS_STEPS = 100_000
# Faults of a statement that sqlite3 reports by exceptions of other classes:
# integers over 64 bits and embedded null characters.
_STATEMENT_FAULTS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


class Statement(typing.NamedTuple):
    """One SQL statement with its positional parameters."""

    sql: str
    params: list[typing.Any]


class RequestRow(typing.NamedTuple):
    """A row of the table of request ids; ``created`` in Unix seconds."""

    account: str
    id: str
    digest: str
    answer: str | None
    created: float


class StatementFailed(Exception):
    """Report a statement that sqlite refused."""

    kind = 'statement_failed'


class ReadOnlyViolation(StatementFailed):
    """Report a change within a read-only transaction."""

    kind = 'read_only'


class _Connection:
    """One sqlite connection whose statements can't control transactions."""

    __slots__ = ('_db', '_internal', '_writes', '_deadline')

    def __init__(self, writes: bool = False) -> None:
        # Cached statements would bypass the authorizer.
        self._db = sqlite3.connect(
            ':memory:', isolation_level=None, cached_statements=0
        )
        self._internal = False
        self._writes = writes
        self._deadline = math.inf
        self._db.set_authorizer(self._authorize)
        self._db.set_progress_handler(self._late, _PROGRESS_STEPS)

    def _authorize(self, action: int, *args: str | None) -> int:
        if action in _DENIED_ACTIONS and not self._internal:
            return sqlite3.SQLITE_DENY
        if (
            self._writes
            and action == sqlite3.SQLITE_FUNCTION
            and args[1] in _DENIED_FUNCTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    def _late(self) -> bool:
        return time.monotonic() > self._deadline

    def control(self, sql: str) -> None:
        """Run a statement of the engine itself."""
        self._internal = True
        try:
            self._db.execute(sql)
        finally:
            self._internal = False

    def run(
        self, statement: Statement, limit_s: float = STATEMENT_LIMIT_S
    ) -> dict[str, typing.Any]:
        """Run a caller's statement and return its columns and rows."""
        self._deadline = time.monotonic() + limit_s
        try:
            cursor = self._db.execute(statement.sql, statement.params)
            rows = cursor.fetchall()
        except _STATEMENT_FAULTS as exc:
            name = getattr(exc, 'sqlite_errorname', '') or ''
            if name.startswith('SQLITE_READONLY'):
                raise ReadOnlyViolation(str(exc)) from exc
            raise StatementFailed(str(exc)) from exc
        finally:
            self._deadline = math.inf
        columns = [item[0] for item in cursor.description or ()]
        return {'columns': columns, 'rows': rows}

    def query_only(self, enabled: bool) -> None:
        self.control(f'PRAGMA query_only = {int(enabled)}')

    def insert_request(self, row: RequestRow) -> None:
        self._db.execute(
            f'INSERT INTO {REQUESTS_TABLE} VALUES (?, ?, ?, ?, ?)', row
        )

    def request(self, account: str, id_: str) -> RequestRow | None:
        row = self._db.execute(
            f'SELECT * FROM {REQUESTS_TABLE} WHERE account = ? AND id = ?',
            (account, id_),
        ).fetchone()
        return RequestRow(*row) if row else None

    def copy_to(self, other: '_Connection') -> None:
        self._db.backup(other._db)

    def close(self) -> None:
        self._db.close()


class Engine:
    """Run transactions and apply replicated ones."""

    __slots__ = ('_visible', '_writable')

    def __init__(self) -> None:
        self._visible = _new_database()
        self._writable: _Connection | None = None

    @property
    def accepts_writes(self) -> bool:
        """Tell whether write transactions are possible."""
        return self._writable is not None

    def reset(self) -> None:
        """Return to the empty database."""
        self.end_writing()
        self._visible.close()
        self._visible = _new_database()

    def begin_writing(self) -> None:
        """Prepare for write transactions, on a copy of the visible state."""
        self.end_writing()
        self._writable = _Connection(writes=True)
        self._visible.copy_to(self._writable)

    def end_writing(self) -> None:
        """Give up write transactions, with the one that is open."""
        if self._writable is not None:
            self._writable.close()
            self._writable = None

    def read(
        self, statements: collections.abc.Iterable[Statement]
    ) -> list[dict[str, typing.Any]]:
        """Run statements on the visible state; changes are refused."""
        return _run_read_only(self._visible, statements)

    def begin(self) -> None:
        """Begin the write transaction."""
        self._writer().control('BEGIN IMMEDIATE')

    def run(
        self,
        statements: collections.abc.Iterable[Statement],
        read_only: bool = False,
    ) -> list[dict[str, typing.Any]]:
        """Run statements in the write transaction."""
        if read_only:
            return _run_read_only(self._writer(), statements)
        return [self._writer().run(statement) for statement in statements]

    def rollback(self) -> None:
        """Roll the write transaction back if one is open."""
        if self._writable is not None and self._writable._db.in_transaction:
            self._writable.control('ROLLBACK')

    def commit(self, row: RequestRow | None) -> None:
        """Commit the write transaction, with the row of its request id."""
        if row is not None:
            self._writer().insert_request(row)
        self._writer().control('COMMIT')

    def apply(
        self,
        statements: collections.abc.Iterable[Statement],
        row: RequestRow | None,
    ) -> None:
        """Apply a committed transaction to the visible state."""
        self._visible.control('BEGIN IMMEDIATE')
        for statement in statements:
            self._visible.run(statement, math.inf)
        if row is not None:
            self._visible.insert_request(row)
        self._visible.control('COMMIT')

    def stored_request(self, account: str, id_: str) -> RequestRow | None:
        """Return the row of a request that was committed."""
        return self._visible.request(account, id_)

    def _writer(self) -> _Connection:
        if self._writable is None:
            raise StatementFailed('this server does not accept writes')
        return self._writable


def encode_answer(
    results: list[dict[str, typing.Any]], limit: int | None
) -> str | None:
    """Return results as stored text, or None when over ``limit`` bytes."""
    data = orjson.dumps(results, default=encode_value)
    if limit is not None and len(data) > limit:
        return None
    return data.decode()


def decode_answer(text: str) -> list[dict[str, typing.Any]]:
    """Return results that ``encode_answer`` stored."""
    results: list[dict[str, typing.Any]] = orjson.loads(text)
    return results


def encode_value(value: object) -> str:
    """Represent a blob as hexadecimal digits in JSON."""
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(type(value).__name__)


def _new_database() -> _Connection:
    conn = _Connection()
    conn.control(_SCHEMA)
    return conn


def _run_read_only(
    conn: _Connection, statements: collections.abc.Iterable[Statement]
) -> list[dict[str, typing.Any]]:
    conn.query_only(True)
    try:
        return [conn.run(statement) for statement in statements]
    finally:
        conn.query_only(False)
