"""Blocking HTTP clients for targets and for the callers' API."""

import http.client
import itertools
import typing

import orjson

Json = dict[str, typing.Any]


class NoAnswer(Exception):
    """Report a request that got no complete answer."""


class Answer:
    """A response with its decoded body."""

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: dict[str, str], body: typing.Any
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def kind(self) -> str | None:
        """Return the error kind of an error answer, else None."""
        if not isinstance(self.body, dict):
            return None
        error = self.body.get('error')
        return error['kind'] if error else None

    @property
    def rows(self) -> list[typing.Any]:
        """Return the rows of the last statement."""
        rows: list[typing.Any] = self.body['results'][-1]['rows']
        return rows

    def __repr__(self) -> str:
        return f'Answer({self.status}, {self.body!r})'


class HttpClient:
    """Send JSON over one keep-alive connection; never retry."""

    def __init__(self, address: str, timeout_s: float = 10.0) -> None:
        self.address = address
        self.timeout_s = timeout_s
        # Local IP address of the connection; '' lets the kernel choose.
        self.source = ''
        self._conn: http.client.HTTPConnection | None = None

    def request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Return the answer.

        Raises NoAnswer on a network error, after closing the connection.
        """
        if self._conn is None:
            self._conn = http.client.HTTPConnection(
                self.address,
                timeout=self.timeout_s,
                source_address=(self.source, 0) if self.source else None,
            )
        data = None if body is None else orjson.dumps(body)
        all_headers = {'Content-Type': 'application/json', **(headers or {})}
        try:
            self._conn.request(method, path, data, all_headers)
            response = self._conn.getresponse()
            content = response.read()
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            raise NoAnswer(f'{self.address}{path}: {exc!r}') from exc
        try:
            decoded = orjson.loads(content) if content else None
        except ValueError:
            decoded = content.decode(errors='replace')
        return Answer(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            decoded,
        )

    def post(
        self,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a POST request."""
        return self.request('POST', path, body, headers)

    def get(self, path: str, headers: dict[str, str] | None = None) -> Answer:
        """Send a GET request."""
        return self.request('GET', path, None, headers)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class TargetClient(HttpClient):
    """Call one server of a database group directly."""

    def __init__(self, address: str, timeout_s: float = 10.0) -> None:
        super().__init__(address, timeout_s)
        self._ids = itertools.count(1)

    def execute(
        self,
        term: int,
        *statements: str | tuple[str, list[typing.Any]],
        access: str = 'write',
        tx: str = 'auto',
        request: Json | None = None,
    ) -> Answer:
        """Run statements: SQL texts or (text, parameters) pairs."""
        body = {
            'id': f'r{next(self._ids)}',
            'term': term,
            'access': access,
            'statements': _statements(statements),
            'tx': tx,
            'request': request,
        }
        return self.post('/execute', body)

    def read(
        self, term: int, *statements: str | tuple[str, list[typing.Any]]
    ) -> Answer:
        """Run statements with read access."""
        return self.execute(term, *statements, access='read')

    def send_command(self, path: str, **body: typing.Any) -> Answer:
        """Send a control command such as ``/fence`` with its fields."""
        return self.post(path, {'id': f'r{next(self._ids)}', **body})

    def status(self) -> Json:
        """Return the body of ``/status``."""
        body: Json = self.send_command('/status').body
        return body

    def set_faults(self, **changes: typing.Any) -> Answer:
        """Set faults of the server."""
        return self.send_command('/faults', **changes)

    def observations(self) -> Json:
        """Return the counters and requests that the server recorded."""
        body: Json = self.send_command('/observations').body
        return body


class Caller(HttpClient):
    """Call the callers' API and keep the session token."""

    def __init__(
        self,
        address: str,
        key: str | None = None,
        service: str = '',
        timeout_s: float = 10.0,
        token: str | None = None,
    ) -> None:
        super().__init__(address, timeout_s)
        self.key = key
        self.service = service
        self.token = token

    def statements(
        self,
        *statements: str | tuple[str, list[typing.Any]],
        idempotency_key: str | None = None,
        **options: typing.Any,
    ) -> Answer:
        """Run statements; ``options`` are body fields such as ``access``."""
        path = f'/v1/services/{self.service}/statements'
        return self._call(path, statements, idempotency_key, options)

    def read(
        self,
        *statements: str | tuple[str, list[typing.Any]],
        **options: typing.Any,
    ) -> Answer:
        """Run statements with read access."""
        return self.statements(*statements, access='read', **options)

    def route(
        self,
        path: str,
        *statements: str | tuple[str, list[typing.Any]],
        idempotency_key: str | None = None,
        **options: typing.Any,
    ) -> Answer:
        """Run statements on the service that a route maps to."""
        return self._call(
            f'/v1/routes/{path}', statements, idempotency_key, options
        )

    def begin(self, **options: typing.Any) -> 'Transaction':
        """Begin a transaction; the result also holds the answer."""
        path = f'/v1/services/{self.service}/transactions'
        answer = self.send(path, options)
        return Transaction(self, path, answer)

    def send(
        self, path: str, body: Json, idempotency_key: str | None = None
    ) -> Answer:
        """POST a body with the client key and the session token."""
        headers = {}
        if self.key is not None:
            headers['Authorization'] = f'Bearer {self.key}'
        if self.token is not None:
            headers['Session-Token'] = self.token
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        answer = self.post(path, body, headers)
        self.token = answer.headers.get('session-token', self.token)
        return answer

    def _call(
        self,
        path: str,
        statements: tuple[str | tuple[str, list[typing.Any]], ...],
        idempotency_key: str | None,
        options: Json,
    ) -> Answer:
        body = {'statements': _statements(statements), **options}
        return self.send(path, body, idempotency_key)


class Transaction:
    """A transaction that a caller has begun."""

    def __init__(self, caller: Caller, path: str, opened: Answer) -> None:
        self.begin_answer = opened
        self.id = (
            opened.body.get('transaction')
            if isinstance(opened.body, dict)
            else None
        )
        self._caller = caller
        self._path = f'{path}/{self.id}'

    def statements(
        self,
        *statements: str | tuple[str, list[typing.Any]],
        **options: typing.Any,
    ) -> Answer:
        """Run statements in the transaction."""
        body = {'statements': _statements(statements), **options}
        return self._caller.send(f'{self._path}/statements', body)

    def commit(self, idempotency_key: str | None = None) -> Answer:
        """Commit the transaction."""
        return self._caller.send(f'{self._path}/commit', {}, idempotency_key)

    def rollback(self) -> Answer:
        """Roll the transaction back."""
        return self._caller.send(f'{self._path}/rollback', {})


def _statements(
    statements: tuple[str | tuple[str, list[typing.Any]], ...],
) -> list[Json]:
    return [
        {'sql': item, 'params': []}
        if isinstance(item, str)
        else {'sql': item[0], 'params': list(item[1])}
        for item in statements
    ]
