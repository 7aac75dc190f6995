"""Authorizes requests and charges the client accounts that send them."""

import asyncio
import collections
import collections.abc
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import queueing
from sassafrasridge_core import regions
from sassafrasridge_node import clocks
from sassafrasridge_node import entry

if typing.TYPE_CHECKING:
    from sassafrasridge_node import ports

# Maximum wait for a rate token. A request within its client account's rate
# gets one sooner, even if the account's share has to move here from another
# entry process.
MAX_RATE_WAIT_S = 1.0

RATE_POLL_S = 0.02

# Tokens arrive in steps, with each renewal. The rate measured in a shorter
# time does not show what this process gets.
MIN_MEASURED_S = 0.5

# Account name of requests without a key; they share one queue.
ANONYMOUS = ''


class NoLeaseError(errors.UnavailableError):
    """Report that this process has no valid lease from control."""

    kind = 'no_lease'
    remedy = 'Send again through another entry process.'


class Admission:
    """Hold the client account and the service that a request may use.

    ``regions`` are the allowed regions of targets, None for all.
    ``partition_reads`` tells whether reads are allowed without a lease.
    ``recheck`` raises RidgeError if the request is no longer allowed, for
    example because its key was withdrawn while the request waited.
    ``priority`` is that of the route, 0 being the highest.
    """

    __slots__ = (
        'account',
        'service',
        'partition_reads',
        'regions',
        'recheck',
        'priority',
    )

    def __init__(
        self,
        account: str,
        service: configuration.Service,
        partition_reads: bool,
        allowed: regions.Allowed = None,
    ) -> None:
        self.account = account
        self.service = service
        self.partition_reads = partition_reads
        self.regions = allowed
        self.recheck: collections.abc.Callable[[], None] = _allow
        self.priority = 0

    @property
    def group(self) -> str:
        """Return the database group of the service."""
        return self.service.group


def _allow() -> None:
    return None


class Admitter:
    """Check the key, grant, lease and rate of requests."""

    def __init__(self, state: entry.EntryState) -> None:
        self._state = state
        self._queues: dict[str, RateQueue] = {}

    def authorize(self, req: 'ports.DataRequest') -> Admission:
        """Return what a request is authorized for.

        Raises RidgeError; the request was not run.
        """
        adm = self._authorize(req)
        adm.recheck = lambda: self._recheck(req, adm)
        route = self._state.config.route(req.route or '')
        adm.priority = route.priority if route is not None else 0
        return adm

    def _recheck(self, req: 'ports.DataRequest', adm: Admission) -> None:
        current = self._authorize(req)
        if (current.account, current.group, current.regions) != (
            adm.account,
            adm.group,
            adm.regions,
        ):
            raise errors.ForbiddenError(
                'access was changed while the request waited'
            )

    def _authorize(self, req: 'ports.DataRequest') -> Admission:
        state = self._state
        if state.config.revision == 0:
            raise no_lease_error()
        service, route = self._find_service(req)
        if route is not None and route.open:
            return self._admit_open_route(req, service, route)
        if not state.config_valid():
            raise no_lease_error()
        account = self._account_of_key(req)
        if account is None:
            raise errors.UnauthorizedError('the request carries no key')
        if not state.config.may_use(account, service.name):
            raise errors.ForbiddenError(
                f'client account {account!r} may not use service '
                f'{service.name!r}'
            )
        return Admission(
            account, service, False, self._allowed_regions(route, account)
        )

    def _allowed_regions(
        self, route: configuration.Route | None, account: str | None
    ) -> regions.Allowed:
        record = self._state.config.account(account) if account else None
        return regions.intersect(
            route.regions if route else (), record.regions if record else ()
        )

    def _find_service(
        self, req: 'ports.DataRequest'
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

    def _admit_open_route(
        self,
        req: 'ports.DataRequest',
        service: configuration.Service,
        route: configuration.Route,
    ) -> Admission:
        if not self._state.config_valid():
            if not route.partition_reads or req.access != 'read':
                raise no_lease_error()
            # Without a lease no key can be verified; this route needs no key.
            return Admission(
                ANONYMOUS, service, True, self._allowed_regions(route, None)
            )
        account = self._account_of_key(req)
        return Admission(
            account or ANONYMOUS,
            service,
            route.partition_reads,
            self._allowed_regions(route, account),
        )

    def _account_of_key(self, req: 'ports.DataRequest') -> str | None:
        if req.key_digest is None:
            return None
        account = self._state.config.account_by_key_digest(req.key_digest)
        if account is None:
            raise errors.UnauthorizedError('the key is unknown or withdrawn')
        return account.name

    async def charge(
        self, admission: Admission, req: 'ports.DataRequest'
    ) -> None:
        """Take a rate token of the client account, waiting briefly for one.

        Raises RateLimitedError; the request was not run.
        """
        await self.charge_account(
            admission.account, req.deadline, admission.priority
        )

    async def charge_account(
        self, account: str, deadline: float, priority: int = 0
    ) -> None:
        """Take a rate token of a client account, waiting briefly for one.

        Requests of a lower ``priority`` number get their tokens first. Raises
        RateLimitedError; the request was not run.
        """
        if account == ANONYMOUS:
            return
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = RateQueue(self._state, account)
        await queue.take(deadline, priority)


class RateQueue:
    """Give rate tokens to one client account's requests.

    The most urgent requests come first, those of a priority in order.
    """

    def __init__(self, state: entry.EntryState, account: str) -> None:
        self._state = state
        self._account = account
        # Requests of each priority with their time-outs, in order of arrival.
        self._waiting: dict[
            int, collections.OrderedDict[asyncio.Future[None], float]
        ] = {}
        self._service = queueing.ServiceRate()
        self._task: asyncio.Task[None] | None = None

    def _expected_wait_s(self, priority: int, rate: float) -> float:
        """Return a lower estimate of a new request's wait in seconds.

        The account's rate bounds all processes together. This process may
        have a part of it, which shows in the rate measured here.
        """
        ahead = sum(len(w) for p, w in self._waiting.items() if p <= priority)
        wait_s = ahead / max(rate, 1e-9)
        if self._service.measured_s() < MIN_MEASURED_S:
            return wait_s
        measured = self._service.rate() * queueing.WAIT_ERROR_FACTOR
        return max(wait_s, ahead / measured)

    def _refuse_last(self, now: float, priority: int, rate: float) -> None:
        """Refuse the last request if more urgent ones leave it no token."""
        found = self._last()
        if found is None:
            return
        last, fut = found
        # The last request itself is not ahead of it.
        ahead = sum(map(len, self._waiting.values())) - 1
        wait_s = ahead / max(rate, 1e-9)
        if last > priority and now + wait_s > self._waiting[last][fut]:
            self._remove(last, fut)
            fut.set_exception(rate_limited_error(self._account, wait_s))

    def _first(self) -> tuple[int, asyncio.Future[None]] | None:
        """Return the request to serve next, dropping those that ended."""
        while self._waiting:
            priority = min(self._waiting)
            fut = next(iter(self._waiting[priority]))
            if not fut.done():
                return priority, fut
            self._remove(priority, fut)
        return None

    def _last(self) -> tuple[int, asyncio.Future[None]] | None:
        """Return the request to serve last, dropping those that ended."""
        while self._waiting:
            priority = max(self._waiting)
            fut = next(reversed(self._waiting[priority]))
            if not fut.done():
                return priority, fut
            self._remove(priority, fut)
        return None

    def _remove(self, priority: int, fut: asyncio.Future[None]) -> None:
        """Remove a request; repeated calls have no effect."""
        waiting = self._waiting.get(priority)
        if waiting is None:
            return
        waiting.pop(fut, None)
        if not waiting:
            del self._waiting[priority]

    async def take(self, deadline: float, priority: int = 0) -> None:
        """Take a token, waiting for one if necessary.

        A request that can't get one in time is refused at once. Raises
        RateLimitedError, or UnauthorizedError if the account is gone.
        """
        now = clocks.boottime()
        bucket = self._state.bucket(self._account)
        if bucket.take(now):
            return
        account = self._state.config.account(self._account)
        if account is None:
            raise errors.UnauthorizedError('the key is unknown or withdrawn')
        limit = min(MAX_RATE_WAIT_S, deadline - now)
        wait_s = self._expected_wait_s(priority, account.rate)
        if account.rate <= 0 or wait_s > limit:
            raise rate_limited_error(self._account, wait_s)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(priority, collections.OrderedDict())
        waiting[fut] = now + limit
        self._refuse_last(now, priority, account.rate)
        self._service.mark_waiting(now)
        bucket.begin_wait()
        self._state.renew_now()
        self._start_serving()
        try:
            async with asyncio.timeout(limit):
                await fut
        except TimeoutError:
            raise rate_limited_error(self._account, MAX_RATE_WAIT_S)
        finally:
            bucket.end_wait()
            self._remove(priority, fut)

    def _start_serving(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while (found := self._first()) is not None:
            priority, fut = found
            now = clocks.boottime()
            bucket = self._state.bucket(self._account)
            if bucket.take(now, waited=True):
                self._remove(priority, fut)
                fut.set_result(None)
                self._service.record_served(now, 1.0)
                continue
            self._state.renew_now()
            await asyncio.sleep(min(RATE_POLL_S, bucket.wait_time(now)))
        self._service.mark_idle()


def rate_limited_error(account: str, wait_s: float) -> errors.RateLimitedError:
    """Return the error for a request above its account's rate limit."""
    return errors.RateLimitedError(
        f'client account {account!r} exceeds its rate and burst',
        retry_after_s=max(1.0, wait_s),
    )


def no_lease_error() -> NoLeaseError:
    """Return the error for a request that needs a lease."""
    return NoLeaseError(
        'this entry process has no valid lease', retry_after_s=1.0
    )
