"""Decides for whom a request runs, and charges it."""

import asyncio
import collections
import collections.abc

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import front

MAX_RATE_WAIT_S = 1.0
"""A request inside its client account's rate gets a token sooner, also when
its share has to move here from another entry process."""

RATE_POLL_S = 0.02
ANONYMOUS = ''
"""Account name under which requests without a key share a queue."""


class NoLeaseError(errors.UnavailableError):
    """Report a process that is cut off from control."""

    kind = 'no_lease'
    remedy = 'Send again through another entry process.'


class Admission:
    """Hold for whom and on what a request runs.

    ``partition_reads`` tells whether reads go on without a lease.
    ``recheck`` raises RidgeError when the request may no longer run, for
    example because its key was withdrawn while it waited.
    """

    __slots__ = ('account', 'service', 'partition_reads', 'recheck')

    def __init__(
        self,
        account: str,
        service: configuration.Service,
        partition_reads: bool,
    ) -> None:
        self.account = account
        self.service = service
        self.partition_reads = partition_reads
        self.recheck: collections.abc.Callable[[], None] = _nothing

    @property
    def group(self) -> str:
        """Return the database group of the service."""
        return self.service.group


def _nothing() -> None:
    return None


class Admitter:
    """Check keys, grants, leases and rates."""

    def __init__(self, state: entry.EntryState) -> None:
        self._state = state
        self._queues: dict[str, RateQueue] = {}

    def identify(self, req: front.DataRequest) -> Admission:
        """Return for whom a request runs; raises RidgeError, not run."""
        adm = self._identify(req)
        adm.recheck = lambda: self._recheck(req, adm)
        return adm

    def _recheck(self, req: front.DataRequest, adm: Admission) -> None:
        now = self._identify(req)
        if (now.account, now.group) != (adm.account, adm.group):
            raise errors.ForbiddenError('the access was changed meanwhile')

    def _identify(self, req: front.DataRequest) -> Admission:
        state = self._state
        if state.config.revision == 0:
            raise no_lease()
        service, route = self._target(req)
        if route is not None and route.open:
            return self._open(req, service, route)
        if not state.config_valid():
            raise no_lease()
        account = self._account(req)
        if account is None:
            raise errors.UnauthorizedError('the request carries no key')
        if not state.config.allowed(account, service.name):
            raise errors.ForbiddenError(
                f'client account {account!r} may not use service '
                f'{service.name!r}'
            )
        return Admission(account, service, False)

    def _target(
        self, req: front.DataRequest
    ) -> tuple[configuration.Service, configuration.Route | None]:
        config = self._state.config
        route = None
        name = req.service
        if req.route is not None:
            route = config.route(req.route)
            if route is None:
                raise errors.UnknownServiceError(
                    f'route {req.route!r} does not exist'
                )
            name = route.service
        service = config.service(name or '')
        if service is None:
            raise errors.UnknownServiceError(
                f'service {name!r} does not exist'
            )
        return service, route

    def _open(
        self,
        req: front.DataRequest,
        service: configuration.Service,
        route: configuration.Route,
    ) -> Admission:
        if not self._state.config_valid():
            if not route.partition_reads or req.access != 'read':
                raise no_lease()
            # A key can't be verified without a lease; the route needs none.
            return Admission(ANONYMOUS, service, True)
        account = self._account(req)
        return Admission(account or ANONYMOUS, service, route.partition_reads)

    def _account(self, req: front.DataRequest) -> str | None:
        if req.key_digest is None:
            return None
        account = self._state.config.account_of(req.key_digest)
        if account is None:
            raise errors.UnauthorizedError('the key is unknown or withdrawn')
        return account.name

    async def charge(
        self, admission: Admission, req: front.DataRequest
    ) -> None:
        """Take a token of the client account; wait briefly for one.

        Raises RateLimitedError, not run.
        """
        await self.charge_account(admission.account, req.deadline)

    async def charge_account(self, account: str, deadline: float) -> None:
        """Take a token of a client account; wait briefly for one.

        Raises RateLimitedError, not run.
        """
        if account == ANONYMOUS:
            return
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = RateQueue(self._state, account)
        await queue.take(deadline)


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
            wait_s = len(self._waiting) / max(account.rate, 1e-9)
            raise limited(self._account, wait_s)
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


def limited(account: str, wait_s: float) -> errors.RateLimitedError:
    """Return the error of a request above its account's limits."""
    return errors.RateLimitedError(
        f'client account {account!r} is above its rate and burst',
        retry_after_s=max(1.0, wait_s),
    )


def no_lease() -> NoLeaseError:
    """Return the error of a process without a lease."""
    return NoLeaseError(
        'this process is cut off from control', retry_after_s=1.0
    )
