"""Open-loop load of many client accounts on entry processes.

Requests arrive by a seeded Poisson process for each account, whether or not
earlier ones have been answered. Each request belongs to a session, which
moves between entry processes; a session has one request at a time.
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
CLIENT_DELAY_S = 0.001
DEADLINE_MS = 4000
# Later than the deadline, so that the product's own answer is seen.
ANSWER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 4
GIVE_UP_S = 8.0
RETRY_PAUSE_S = 0.05
IDLE_CONNECTION_S = 5.0
MAX_SESSIONS = 400
READY_POLL_S = 0.25
FINISH_TIMEOUT_S = 30.0
WRITE_SHARE = 0.3
KEYED_SHARE = 0.7
# Consistency of reads, with its weight.
CONSISTENCIES: tuple[tuple[typing.Any, float], ...] = (
    ('session', 0.6),
    ({'max_age_ms': 1000}, 0.3),
    ('primary', 0.1),
)
# A resend can't better these.
FINAL_KINDS = (
    'rate_limited',
    'bad_request',
    'unauthorized',
    'forbidden',
    'request_conflict',
    'statement_failed',
)

Chooser = collections.abc.Callable[[float, random.Random], list[str]]


class Account:
    """A client account; rates in requests per second."""

    __slots__ = ('name', 'key', 'rate', 'burst', 'offered')

    def __init__(
        self, name: str, rate: float, burst: float, offered: float
    ) -> None:
        self.name = name
        self.key = f'key-of-{name}'
        self.rate = rate
        self.burst = burst
        self.offered = offered


class Attempt:
    """One sending of a request; times of the monotonic clock.

    ``outcome`` is 'done', 'not_run' or 'unknown'; ``value`` is what a write
    inserts.
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
        # Whether an entry process may have received it.
        self.reached = True


class Request:
    """What one caller wants, with all its attempts."""

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
        """Tell whether the caller got its result."""
        return bool(self.attempts) and self.attempts[-1].outcome == 'done'


class _Session:
    __slots__ = ('name', 'token', 'written', 'stored', 'moved_at')

    def __init__(self, name: str) -> None:
        self.name = name
        self.token: str | None = None
        self.written = 0
        # By service: the highest number acknowledged or seen, and when the
        # session's position last moved.
        self.stored: dict[str, int] = {}
        self.moved_at: dict[str, float] = {}


class Balancer:
    """Choose among the entry processes that say that they are ready."""

    def __init__(self, nodes: dict[str, deployments.Node]) -> None:
        self.nodes = nodes
        self.ready = set(nodes)
        self._idle: dict[str, list[tuple[float, webclient.Client]]] = {}

    async def run(self) -> None:
        """Ask for readiness until cancelled."""
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

    def pick(
        self,
        rng: random.Random,
        wanted: collections.abc.Sequence[str],
        tried: collections.abc.Container[str],
    ) -> str:
        """Return an entry process, one not tried before if possible."""
        ready = [name for name in wanted if name in self.ready]
        fresh = [name for name in ready if name not in tried]
        return rng.choice(fresh or ready or sorted(self.ready) or list(wanted))

    def connection(self, name: str) -> webclient.Client:
        """Return an idle or a new connection to an entry process."""
        idle = self._idle.setdefault(name, [])
        while idle:
            since, client = idle.pop()
            if time.monotonic() - since < IDLE_CONNECTION_S:
                return client
            client.close()
        return webclient.Client(self.nodes[name].http)

    def give_back(self, name: str, client: webclient.Client) -> None:
        """Keep a connection for a later request."""
        self._idle.setdefault(name, []).append((time.monotonic(), client))

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for _, client in idle:
                client.close()
        self._idle.clear()


class Load:
    """Offer load for a time and record every request.

    ``settle_s`` is the time after which a replica has surely applied what
    the primary acknowledged; ``choose`` returns the entry processes for a
    moment, ``factor`` what an account's rate is multiplied with.
    """

    def __init__(
        self,
        name: str,
        accounts: collections.abc.Sequence[Account],
        services: collections.abc.Sequence[str],
        balancer: Balancer,
        seed: int,
        settle_s: float,
        choose: Chooser | None = None,
        factor: collections.abc.Callable[[float, str], float] | None = None,
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
        self._choose = choose or (lambda at, rng: list(balancer.nodes))
        self._factor = factor or (lambda at, account: 1.0)
        self._idle: dict[str, list[_Session]] = {}
        self._sessions = 0
        self._stop = asyncio.Event()

    def arrivals(self, duration_s: float) -> list[tuple[float, str]]:
        """Return (time from the start, account) of all requests."""
        result = []
        for account in self.accounts.values():
            at = 0.0
            while True:
                rate = account.offered * self._factor(at, account.name)
                at += self._rng.expovariate(rate)
                if at >= duration_s:
                    break
                result.append((at, account.name))
        return sorted(result)

    def stop(self) -> None:
        """Offer nothing any more."""
        self._stop.set()

    async def run(self, duration_s: float) -> None:
        """Offer the load, then wait for what is in progress."""
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
            task = asyncio.create_task(self._request(at, account))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        self.ended = time.monotonic()
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_S)
            self.unfinished = len(late)
            for task in late:
                task.cancel()

    # One request.

    async def _request(self, at: float, account: str) -> None:
        idle = self._idle.setdefault(account, [])
        if idle:
            session = idle.pop(self._rng.randrange(len(idle)))
        else:
            self._sessions += 1
            session = _Session(f'{self.name}/{account}/{self._sessions}')
        request = self._new(account)
        await self._carry_out(at, request, session)
        if len(idle) < MAX_SESSIONS:
            idle.append(session)

    def _new(self, account: str) -> Request:
        rng = self._rng
        write = rng.random() < WRITE_SHARE
        kinds = [kind for kind, _ in CONSISTENCIES]
        weights = [weight for _, weight in CONSISTENCIES]
        request = Request(
            f'{self.name}-{rng.getrandbits(64):016x}',
            account,
            rng.choice(self._services),
            'write' if write else 'read',
            write and rng.random() < KEYED_SHARE,
            rng.choices(kinds, weights)[0],
        )
        self.requests.append(request)
        return request

    async def _carry_out(
        self, at: float, request: Request, session: _Session
    ) -> None:
        began = time.monotonic()
        tried: set[str] = set()
        if request.access == 'write':
            session.written += 1
        number = session.written
        while True:
            wanted = self._choose(time.monotonic() - self.began, self._rng)
            entry = self._balancer.pick(self._rng, wanted, tried)
            tried.add(entry)
            value = request.id
            if not request.keyed:
                value += f'/{len(request.attempts)}'
            attempt = Attempt(entry, value)
            request.attempts.append(attempt)
            await self._attempt(request, attempt, session, number)
            attempt.answered = time.monotonic()
            if (
                not self._resend(request, attempt)
                or len(request.attempts) >= MAX_ATTEMPTS
                or time.monotonic() - began > GIVE_UP_S
            ):
                return
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self._rng.random()))

    @staticmethod
    def _resend(request: Request, attempt: Attempt) -> bool:
        if attempt.outcome == 'done' or attempt.kind in FINAL_KINDS:
            return False
        if attempt.outcome == 'not_run':
            return True
        return request.access == 'read' or request.keyed

    async def _attempt(
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
        self._note_eligibility(request, attempt, session)
        try:
            status, body = await client.call(
                'POST',
                f'/v1/services/{request.service}/statements',
                self._body(request, attempt, session, number),
                ANSWER_TIMEOUT_S,
                headers,
            )
        except webclient.CallFailed as exc:
            attempt.reached = exc.sent
            attempt.outcome = 'unknown' if exc.sent else 'not_run'
            attempt.kind = 'connection_lost' if exc.sent else 'unreachable'
            return
        received = client.headers
        self._balancer.give_back(attempt.entry, client)
        await asyncio.sleep(CLIENT_DELAY_S)
        if status == 200:
            session.token = received.get('session-token', session.token)
            self._done(request, attempt, session, number, body)
        else:
            error = body.get('error', {})
            attempt.outcome = error.get('outcome') or 'unknown'
            attempt.kind = error.get('kind', f'status_{status}')

    def _body(
        self,
        request: Request,
        attempt: Attempt,
        session: _Session,
        number: int,
    ) -> dict[str, typing.Any]:
        # Every answer repeats the value, so that an answer to another
        # request is noticed.
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

    def _note_eligibility(
        self, request: Request, attempt: Attempt, session: _Session
    ) -> None:
        """Tell whether replicas surely have what a read needs."""
        moved_at = session.moved_at.get(request.service, 0.0)
        request.eligible = (
            request.access == 'read'
            and request.consistency != 'primary'
            and attempt.sent - moved_at > self._settle_s
        )

    def _done(
        self,
        request: Request,
        attempt: Attempt,
        session: _Session,
        number: int,
        body: dict[str, typing.Any],
    ) -> None:
        attempt.outcome = 'done'
        request.role = body['served_by']['role']
        session.moved_at[request.service] = time.monotonic()
        try:
            row = body['results'][-1]['rows'][0]
            crossed = row[0] != attempt.value
        except (IndexError, KeyError, TypeError):
            crossed = True
        if crossed:
            self.crossed_answers += 1
            return
        known = session.stored.get(request.service, 0)
        if request.access == 'write':
            session.stored[request.service] = max(known, number)
            return
        if row[1] < known:
            self.read_your_writes_violations += 1
        session.stored[request.service] = max(known, row[1])
