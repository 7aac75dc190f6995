"""Open-loop load of many client accounts on entry processes.

Requests arrive by a seeded Poisson process per client account, whether or not
earlier ones have been answered. Each request belongs to a session that moves
between entry processes; a session has at most one request in progress.
"""

import asyncio
import collections.abc
import contextlib
import random
import time
import typing

from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import webclient

TABLE = 'measured'
# Simulated one-way delay between a client and an entry process.
CLIENT_DELAY_S = 0.001
DEADLINE_MS = 4000
# Longer than the deadline, so that the answer of the entry process arrives
# before the client times out.
ANSWER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 4
# A request is not retried after this time from its first attempt.
MAX_RETRY_DURATION_S = 8.0
RETRY_PAUSE_S = 0.05
MAX_CONNECTION_IDLE_S = 5.0
MAX_IDLE_SESSIONS_PER_ACCOUNT = 400
READY_POLL_S = 0.25
FINISH_TIMEOUT_S = 30.0
WRITE_SHARE = 0.3
KEYED_WRITE_SHARE = 0.7
# Read consistency levels with their probabilities.
CONSISTENCIES: tuple[tuple[typing.Any, float], ...] = (
    ('session', 0.6),
    ({'max_age_ms': 1000}, 0.3),
    ('primary', 0.1),
)
# Error kinds for which a retry would fail again.
NON_RETRYABLE_KINDS = (
    'rate_limited',
    'bad_request',
    'unauthorized',
    'forbidden',
    'request_conflict',
    'statement_failed',
)

EntryChooser = collections.abc.Callable[[float, random.Random], list[str]]


class Account:
    """A client account; rates are in requests per second."""

    __slots__ = ('name', 'key', 'rate', 'burst', 'offered_rate')

    def __init__(
        self, name: str, rate: float, burst: float, offered_rate: float
    ) -> None:
        self.name = name
        self.key = f'key-of-{name}'
        self.rate = rate
        self.burst = burst
        self.offered_rate = offered_rate


class Attempt:
    """One transmission of a request; times are of the monotonic clock.

    ``outcome`` is 'done', 'not_run' or 'unknown'; ``value`` identifies the
    attempt in the answer and is what a write inserts.
    """

    __slots__ = (
        'sent',
        'answered',
        'outcome',
        'kind',
        'entry',
        'value',
        'reached',
    )

    def __init__(self, entry: str, value: str) -> None:
        self.sent = time.monotonic()
        self.answered = self.sent
        self.outcome = 'unknown'
        self.kind = ''
        self.entry = entry
        self.value = value
        # False only if no entry process can have received the attempt.
        self.reached = True


class Request:
    """A request of a client account with all its attempts.

    ``keyed`` requests have an idempotency key. ``eligible`` reads could be
    served by any replica.
    """

    __slots__ = (
        'id',
        'account',
        'service',
        'access',
        'keyed',
        'consistency',
        'attempts',
        'role',
        'eligible',
    )

    def __init__(
        self,
        id_: str,
        account: str,
        service: str,
        access: str,
        keyed: bool,
        consistency: typing.Any,
    ) -> None:
        self.id = id_
        self.account = account
        self.service = service
        self.access = access
        self.keyed = keyed
        self.consistency = consistency
        self.attempts: list[Attempt] = []
        self.role = ''
        self.eligible = False

    @property
    def done(self) -> bool:
        """Return whether the last attempt succeeded."""
        return bool(self.attempts) and self.attempts[-1].outcome == 'done'


class _Session:
    __slots__ = (
        'name',
        'token',
        'last_written',
        'highest_known',
        'position_moved_at',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.token: str | None = None
        self.last_written = 0
        # By service: the highest number acknowledged or read, and the time
        # when the session's log position last advanced.
        self.highest_known: dict[str, int] = {}
        self.position_moved_at: dict[str, float] = {}


class Balancer:
    """Choose among the entry processes that report readiness."""

    def __init__(self, nodes: dict[str, deployments.Node]) -> None:
        self.nodes = nodes
        self.ready = set(nodes)
        self._idle: dict[str, list[tuple[float, webclient.Client]]] = {}

    async def run(self) -> None:
        """Poll ``/readyz`` of every entry process until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, node in self.nodes.items():
                group.create_task(self._watch(name, node))

    async def _watch(self, name: str, node: deployments.Node) -> None:
        client = webclient.Client(node.http)
        while True:
            try:
                status, _ = await client.call('GET', '/readyz', None, 1.0, {})
            except webclient.CallFailed:
                status = 0
            (self.ready.add if status == 200 else self.ready.discard)(name)
            await asyncio.sleep(READY_POLL_S)

    def choose_entry(
        self,
        rng: random.Random,
        wanted: collections.abc.Sequence[str],
        tried: collections.abc.Container[str],
    ) -> str:
        """Return a random entry process, preferring ready and untried."""
        ready = [name for name in wanted if name in self.ready]
        fresh = [name for name in ready if name not in tried]
        return rng.choice(fresh or ready or sorted(self.ready) or list(wanted))

    def connection(self, name: str) -> webclient.Client:
        """Return an idle or new connection to an entry process."""
        idle = self._idle.setdefault(name, [])
        while idle:
            since, client = idle.pop()
            if time.monotonic() - since < MAX_CONNECTION_IDLE_S:
                return client
            client.close()
        return webclient.Client(self.nodes[name].http)

    def release_connection(self, name: str, client: webclient.Client) -> None:
        """Keep a connection for reuse by a later request."""
        self._idle.setdefault(name, []).append((time.monotonic(), client))

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for _, client in idle:
                client.close()
        self._idle.clear()


class Load:
    """Generate load for a time and record every request.

    ``settle_s`` is the time after which every replica has applied what the
    primary acknowledged. ``choose_entries`` returns the entry processes in
    use at a time, ``rate_factor`` the factor on an account's rate.
    """

    def __init__(
        self,
        name: str,
        accounts: collections.abc.Sequence[Account],
        services: collections.abc.Sequence[str],
        balancer: Balancer,
        seed: int,
        settle_s: float,
        choose_entries: EntryChooser | None = None,
        rate_factor: collections.abc.Callable[[float, str], float]
        | None = None,
    ) -> None:
        self.name = name
        self.accounts = {account.name: account for account in accounts}
        self.requests: list[Request] = []
        self.read_your_writes_violations = 0
        self.crossed_answers = 0
        self.unfinished = 0
        self.began = 0.0
        self.ended = 0.0
        self._services = list(services)
        self._balancer = balancer
        self._settle_s = settle_s
        self._rng = random.Random(f'{seed}/{name}')  # noqa: S311
        self._choose_entries = choose_entries or (
            lambda at, rng: list(balancer.nodes)
        )
        self._rate_factor = rate_factor or (lambda at, account: 1.0)
        self._idle: dict[str, list[_Session]] = {}
        self._sessions = 0
        self._stop = asyncio.Event()

    def arrivals(self, duration_s: float) -> list[tuple[float, str]]:
        """Return (seconds from the start, account) of all requests."""
        result = []
        for account in self.accounts.values():
            at = 0.0
            while True:
                rate = account.offered_rate * self._rate_factor(
                    at, account.name
                )
                at += self._rng.expovariate(rate)
                if at >= duration_s:
                    break
                result.append((at, account.name))
        return sorted(result)

    def stop(self) -> None:
        """Stop sending new requests."""
        self._stop.set()

    async def run(self, duration_s: float) -> None:
        """Send the requests, then wait for those in progress."""
        self.began = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()
        for at, account in self.arrivals(duration_s):
            delay = self.began + at - time.monotonic()
            if delay > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay):
                        await self._stop.wait()
            if self._stop.is_set():
                break
            task = asyncio.create_task(self._run_request(at, account))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        self.ended = time.monotonic()
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
            self.unfinished = len(late)
            for task in late:
                task.cancel()

    # Execution of one request.

    async def _run_request(self, at: float, account: str) -> None:
        idle = self._idle.setdefault(account, [])
        if idle:
            session = idle.pop(self._rng.randrange(len(idle)))
        else:
            self._sessions += 1
            session = _Session(f'{self.name}/{account}/{self._sessions}')
        request = self._new_request(account)
        await self._send_until_final(at, request, session)
        if len(idle) < MAX_IDLE_SESSIONS_PER_ACCOUNT:
            idle.append(session)

    def _new_request(self, account: str) -> Request:
        rng = self._rng
        write = rng.random() < WRITE_SHARE
        kinds = [kind for kind, _ in CONSISTENCIES]
        weights = [weight for _, weight in CONSISTENCIES]
        request = Request(
            f'{self.name}-{rng.getrandbits(64):016x}',
            account,
            rng.choice(self._services),
            'write' if write else 'read',
            write and rng.random() < KEYED_WRITE_SHARE,
            rng.choices(kinds, weights)[0],
        )
        self.requests.append(request)
        return request

    async def _send_until_final(
        self, at: float, request: Request, session: _Session
    ) -> None:
        began = time.monotonic()
        tried: set[str] = set()
        if request.access == 'write':
            session.last_written += 1
        number = session.last_written
        while True:
            wanted = self._choose_entries(
                time.monotonic() - self.began, self._rng
            )
            entry = self._balancer.choose_entry(self._rng, wanted, tried)
            tried.add(entry)
            value = request.id
            if not request.keyed:
                value += f'/{len(request.attempts)}'
            attempt = Attempt(entry, value)
            request.attempts.append(attempt)
            await self._send_attempt(request, attempt, session, number)
            attempt.answered = time.monotonic()
            if (
                not self._should_resend(request, attempt)
                or len(request.attempts) >= MAX_ATTEMPTS
                or time.monotonic() - began > MAX_RETRY_DURATION_S
            ):
                return
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self._rng.random()))

    @staticmethod
    def _should_resend(request: Request, attempt: Attempt) -> bool:
        if attempt.outcome == 'done' or attempt.kind in NON_RETRYABLE_KINDS:
            return False
        if attempt.outcome == 'not_run':
            return True
        return request.access == 'read' or request.keyed

    async def _send_attempt(
        self,
        request: Request,
        attempt: Attempt,
        session: _Session,
        number: int,
    ) -> None:
        headers = {
            'Authorization': f'Bearer {self.accounts[request.account].key}'
        }
        if session.token:
            headers['Session-Token'] = session.token
        if request.keyed:
            headers['Idempotency-Key'] = request.id
        client = self._balancer.connection(attempt.entry)
        await asyncio.sleep(CLIENT_DELAY_S)
        attempt.sent = time.monotonic()
        self._set_eligibility(request, attempt, session)
        try:
            status, body = await client.call(
                'POST',
                f'/v1/services/{request.service}/statements',
                self._build_body(request, attempt, session, number),
                ANSWER_TIMEOUT_S,
                headers,
            )
        except webclient.CallFailed as exc:
            attempt.reached = exc.sent
            attempt.outcome = 'unknown' if exc.sent else 'not_run'
            attempt.kind = 'connection_lost' if exc.sent else 'unreachable'
            return
        received = client.headers
        self._balancer.release_connection(attempt.entry, client)
        await asyncio.sleep(CLIENT_DELAY_S)
        if status == 200:
            session.token = received.get('session-token', session.token)
            self._record_result(request, attempt, session, number, body)
        else:
            error = body.get('error', {})
            attempt.outcome = error.get('outcome') or 'unknown'
            attempt.kind = error.get('kind', f'status_{status}')

    def _build_body(
        self,
        request: Request,
        attempt: Attempt,
        session: _Session,
        number: int,
    ) -> dict[str, typing.Any]:
        # Every answer repeats the value of its attempt, so that an answer to
        # another request is detected.
        if request.access == 'write':
            row = [self.name, attempt.value, session.name, number]
            return {
                'deadline_ms': DEADLINE_MS,
                'statements': [
                    {
                        'sql': f'INSERT INTO {TABLE} VALUES (?, ?, ?, ?)',
                        'params': row,
                    },
                    {'sql': 'SELECT ?', 'params': [attempt.value]},
                ],
            }
        return {
            'deadline_ms': DEADLINE_MS,
            'access': 'read',
            'consistency': request.consistency,
            'statements': [
                {
                    'sql': 'SELECT ?, coalesce(max(number), 0)'
                    f' FROM {TABLE} WHERE session = ?',
                    'params': [attempt.value, session.name],
                }
            ],
        }

    def _set_eligibility(
        self, request: Request, attempt: Attempt, session: _Session
    ) -> None:
        """Record whether all replicas must hold the data of a read."""
        position_moved_at = session.position_moved_at.get(request.service, 0.0)
        request.eligible = (
            request.access == 'read'
            and request.consistency != 'primary'
            and attempt.sent - position_moved_at > self._settle_s
        )

    def _record_result(
        self,
        request: Request,
        attempt: Attempt,
        session: _Session,
        number: int,
        body: dict[str, typing.Any],
    ) -> None:
        attempt.outcome = 'done'
        request.role = body['served_by']['role']
        session.position_moved_at[request.service] = time.monotonic()
        try:
            row = body['results'][-1]['rows'][0]
            crossed = row[0] != attempt.value
        except (IndexError, KeyError, TypeError):
            crossed = True
        if crossed:
            self.crossed_answers += 1
            return
        known = session.highest_known.get(request.service, 0)
        if request.access == 'write':
            session.highest_known[request.service] = max(known, number)
            return
        if row[1] < known:
            self.read_your_writes_violations += 1
        session.highest_known[request.service] = max(known, row[1])
