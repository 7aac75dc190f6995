"""Charges requests to the rates of client accounts."""

import asyncio
import collections

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import placement
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import rpc

MAX_RATE_WAIT_S = 1.0
"""A request inside its client account's rate gets a token sooner, also when
its share has to move here from another entry process."""

RATE_POLL_S = 0.02
SMALL_BURST = 2.0
"""Tokens per entry process below which a burst is not divided."""

HOME_MARGIN_S = 0.2
HOME_PAUSE_S = 2.0
"""Time for which a home that did not answer is not asked again."""


class RateQueue:
    """Serve one client account's requests for tokens in order."""

    def __init__(self, state: entry.EntryState, account: str) -> None:
        self._state = state
        self._account = account
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._server: asyncio.Task[None] | None = None

    async def take(self, deadline: float) -> None:
        """Wait for a token; raises RateLimitedError."""
        now = clocks.boottime()
        bucket = self._state.bucket(self._account)
        if bucket.take(now):
            return
        account = self._state.config.account(self._account)
        if account is None:
            raise errors.UnauthorizedError('the key is unknown or withdrawn')
        limit = min(MAX_RATE_WAIT_S, deadline - now)
        if account.rate <= 0 or len(self._waiting) / account.rate > limit:
            raise limited(
                self._account, len(self._waiting) / max(account.rate, 1e-9)
            )
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        bucket.begin_wait()
        self._state.renew_now()
        self._serve()
        try:
            async with asyncio.timeout(limit):
                await fut
        except TimeoutError:
            raise limited(self._account, MAX_RATE_WAIT_S)
        finally:
            bucket.end_wait()

    def _serve(self) -> None:
        if self._server is None or self._server.done():
            self._server = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while self._waiting:
            fut = self._waiting[0]
            if fut.done():
                self._waiting.popleft()
                continue
            now = clocks.boottime()
            bucket = self._state.bucket(self._account)
            if bucket.take(now, waited=True):
                self._waiting.popleft()
                fut.set_result(None)
                continue
            self._state.renew_now()
            await asyncio.sleep(min(RATE_POLL_S, bucket.wait_time(now)))


class Meter:
    """Take tokens of client accounts.

    A burst that gives less than two tokens to each entry process can't be
    divided without refusing requests inside the rate: a token idles at one
    process while a request waits at another. So one process, its home, holds
    all of it, and the others ask there for each request. The home's share is
    leased like any other, so the rate holds whoever is taken for the home.
    """

    def __init__(self, state: entry.EntryState, pool: rpc.ClientPool) -> None:
        self._state = state
        self._pool = pool
        self._queues: dict[str, RateQueue] = {}
        self._avoid_until: dict[str, float] = {}

    async def charge(self, name: str, deadline: float) -> None:
        """Take a token; wait briefly for one.

        Raises RateLimitedError, not run.
        """
        account = self._state.config.account(name)
        if account is None:
            raise errors.UnauthorizedError('the key is unknown or withdrawn')
        home = self._home(account)
        if home is not None:
            granted = await self._ask(home, name, deadline)
            if granted:
                return
            if granted is not None:
                raise limited(name, 1.0 / max(account.rate, 1e-9))
        await self._queue(name).take(deadline)

    def _queue(self, name: str) -> 'RateQueue':
        if name not in self._queues:
            self._queues[name] = RateQueue(self._state, name)
        return self._queues[name]

    def _home(self, account: configuration.Account) -> str | None:
        """Return the other process to ask, or None to serve here."""
        names = self._state.serving_names()
        if account.burst >= SMALL_BURST * len(names):
            return None
        home = placement.serving_set(f'account {account.name}', names, 1)[0]
        if home == self._state.name or home not in self._state.entries:
            return None
        if clocks.boottime() < self._avoid_until.get(home, 0.0):
            return None
        return home

    async def _ask(
        self, home: str, account: str, deadline: float
    ) -> bool | None:
        """Return whether the home granted a token, None without an answer."""
        left = min(MAX_RATE_WAIT_S, deadline - clocks.boottime())
        client = self._pool.get(self._state.entries[home])
        try:
            granted = await client.call(
                'take_token', account, left, timeout_s=left + HOME_MARGIN_S
            )
        except (rpc.RpcError, rpc.RemoteCallError):
            self._avoid_until[home] = clocks.boottime() + HOME_PAUSE_S
            return None
        return bool(granted)

    async def take_token(self, account: str, wait_s: float) -> bool:
        """Take a token for another entry process."""
        try:
            await self._queue(account).take(clocks.boottime() + wait_s)
        except errors.RidgeError:
            return False
        return True


def limited(account: str, wait_s: float) -> errors.RateLimitedError:
    """Return the error of a request above its client account's rate."""
    return errors.RateLimitedError(
        f'client account {account!r} is above its rate and burst',
        retry_after_s=max(1.0, wait_s),
    )
