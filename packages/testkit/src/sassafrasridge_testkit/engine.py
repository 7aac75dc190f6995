"""SQL engine of a stand-in server, on in-memory sqlite3 databases.

The engine keeps two databases. Committed transactions are applied to the
visible database, which serves reads. A primary also has a writable database
that runs the current write transaction, so that reads don't see its
uncommitted changes. A single shared in-memory database would block readers
during a transaction. Transactions are replicated as statements, so the
statements must be deterministic.
"""

import collections.abc
import math
import sqlite3
import time
import typing

import orjson

REQUESTS_TABLE = 'sassafras_requests'
_CREATE_REQUESTS_TABLE = (
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
# These functions would return different values on each replica.
_DENIED_FUNCTIONS = frozenset(
    (
        'random',
        'randomblob',
        'current_date',
        'current_time',
        'current_timestamp',
    )
)
# Keeps an endless statement from blocking the server's event loop.
STATEMENT_TIMEOUT_S = 0.5
# Virtual machine instructions of SQLite between two deadline checks.
_PROGRESS_INTERVAL_INSTRUCTIONS = 100_000
# sqlite3 reports some statement errors by exceptions outside its own classes:
# integers over 64 bits and embedded null characters.
_STATEMENT_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


class Statement(typing.NamedTuple):
    """One SQL statement with its positional parameters."""

    sql: str
    params: list[typing.Any]


class RequestRow(typing.NamedTuple):
    """A row of the request table; ``created`` is in Unix seconds."""

    account: str
    id: str
    digest: str
    answer: str | None
    created: float


class StatementFailed(Exception):
    """Report a statement that SQLite rejected."""

    kind = 'statement_failed'


class ReadOnlyViolation(StatementFailed):
    """Report a write within a read-only transaction."""

    kind = 'read_only'


class _Connection:
    """A SQLite connection that denies transaction control to callers."""

    __slots__ = ('_db', '_internal', '_for_writing', '_deadline')

    def __init__(self, for_writing: bool = False) -> None:
        # Cached statements would bypass the authorizer.
        self._db = sqlite3.connect(
            ':memory:', isolation_level=None, cached_statements=0
        )
        self._internal = False
        self._for_writing = for_writing
        self._deadline = math.inf
        self._db.set_authorizer(self._authorize)
        self._db.set_progress_handler(
            self._is_past_deadline, _PROGRESS_INTERVAL_INSTRUCTIONS
        )

    def _authorize(self, action: int, *args: str | None) -> int:
        if action in _DENIED_ACTIONS and not self._internal:
            return sqlite3.SQLITE_DENY
        if (
            self._for_writing
            and action == sqlite3.SQLITE_FUNCTION
            and args[1] in _DENIED_FUNCTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK

    def _is_past_deadline(self) -> bool:
        return time.monotonic() > self._deadline

    def execute_internal(self, sql: str) -> None:
        """Run an internal statement without the checks on callers."""
        self._internal = True
        try:
            self._db.execute(sql)
        finally:
            self._internal = False

    def run(
        self, statement: Statement, timeout_s: float = STATEMENT_TIMEOUT_S
    ) -> dict[str, typing.Any]:
        """Run a caller's statement and return its columns and rows."""
        self._deadline = time.monotonic() + timeout_s
        try:
            cursor = self._db.execute(statement.sql, statement.params)
            rows = cursor.fetchall()
        except _STATEMENT_ERRORS as exc:
            name = getattr(exc, 'sqlite_errorname', '') or ''
            if name.startswith('SQLITE_READONLY'):
                raise ReadOnlyViolation(str(exc)) from exc
            raise StatementFailed(str(exc)) from exc
        finally:
            self._deadline = math.inf
        columns = [item[0] for item in cursor.description or ()]
        return {'columns': columns, 'rows': rows}

    def set_query_only(self, enabled: bool) -> None:
        self.execute_internal(f'PRAGMA query_only = {int(enabled)}')

    def insert_request(self, row: RequestRow) -> None:
        self._db.execute(
            f'INSERT INTO {REQUESTS_TABLE} VALUES (?, ?, ?, ?, ?)', row
        )

    def find_request(self, account: str, id_: str) -> RequestRow | None:
        row = self._db.execute(
            f'SELECT * FROM {REQUESTS_TABLE} WHERE account = ? AND id = ?',
            (account, id_),
        ).fetchone()
        return RequestRow(*row) if row else None

    def copy_to(self, destination: '_Connection') -> None:
        self._db.backup(destination._db)

    def close(self) -> None:
        self._db.close()


class Engine:
    """Run local transactions and apply replicated ones."""

    __slots__ = ('_visible', '_writable')

    def __init__(self) -> None:
        self._visible = _create_database()
        self._writable: _Connection | None = None

    @property
    def accepts_writes(self) -> bool:
        """Tell whether write transactions can be started."""
        return self._writable is not None

    def reset(self) -> None:
        """Discard all data and disable write transactions."""
        self.end_writing()
        self._visible.close()
        self._visible = _create_database()

    def begin_writing(self) -> None:
        """Enable write transactions on a copy of the visible database."""
        self.end_writing()
        self._writable = _Connection(for_writing=True)
        self._visible.copy_to(self._writable)

    def end_writing(self) -> None:
        """Disable write transactions and discard the open one."""
        if self._writable is not None:
            self._writable.close()
            self._writable = None

    def read(
        self, statements: collections.abc.Iterable[Statement]
    ) -> list[dict[str, typing.Any]]:
        """Run statements on the visible database; writes are refused."""
        return _run_read_only(self._visible, statements)

    def begin(self) -> None:
        """Begin a write transaction."""
        self._require_writable().execute_internal('BEGIN IMMEDIATE')

    def run(
        self,
        statements: collections.abc.Iterable[Statement],
        read_only: bool = False,
    ) -> list[dict[str, typing.Any]]:
        """Run statements in the write transaction."""
        if read_only:
            return _run_read_only(self._require_writable(), statements)
        return [
            self._require_writable().run(statement) for statement in statements
        ]

    def rollback(self) -> None:
        """Roll the write transaction back if one is open."""
        if self._writable is not None and self._writable._db.in_transaction:
            self._writable.execute_internal('ROLLBACK')

    def commit(self, row: RequestRow | None) -> None:
        """Commit the write transaction together with its request row."""
        if row is not None:
            self._require_writable().insert_request(row)
        self._require_writable().execute_internal('COMMIT')

    def apply(
        self,
        statements: collections.abc.Iterable[Statement],
        row: RequestRow | None,
    ) -> None:
        """Apply a committed transaction to the visible database."""
        self._visible.execute_internal('BEGIN IMMEDIATE')
        for statement in statements:
            self._visible.run(statement, math.inf)
        if row is not None:
            self._visible.insert_request(row)
        self._visible.execute_internal('COMMIT')

    def stored_request(self, account: str, id_: str) -> RequestRow | None:
        """Return the row of a committed request, or None."""
        return self._visible.find_request(account, id_)

    def _require_writable(self) -> _Connection:
        if self._writable is None:
            raise StatementFailed('this server does not accept writes')
        return self._writable


def encode_answer(
    results: list[dict[str, typing.Any]], limit: int | None
) -> str | None:
    """Encode results as JSON, or return None when over ``limit`` bytes."""
    data = orjson.dumps(results, default=encode_blob)
    if limit is not None and len(data) > limit:
        return None
    return data.decode()


def decode_answer(text: str) -> list[dict[str, typing.Any]]:
    """Decode results that ``encode_answer`` encoded."""
    results: list[dict[str, typing.Any]] = orjson.loads(text)
    return results


def encode_blob(value: object) -> str:
    """Encode a blob as hexadecimal digits; raises TypeError otherwise."""
    if isinstance(value, bytes):
        return value.hex()
    raise TypeError(f'{type(value).__name__} is not JSON serializable')


def _create_database() -> _Connection:
    conn = _Connection()
    conn.execute_internal(_CREATE_REQUESTS_TABLE)
    return conn


def _run_read_only(
    conn: _Connection, statements: collections.abc.Iterable[Statement]
) -> list[dict[str, typing.Any]]:
    conn.set_query_only(True)
    try:
        return [conn.run(statement) for statement in statements]
    finally:
        conn.set_query_only(False)
