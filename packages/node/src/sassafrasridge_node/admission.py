"""Decides for whom a request runs."""

import collections.abc

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_node import entry
from sassafrasridge_node import front

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
    """Check keys, grants and leases."""

    def __init__(self, state: entry.EntryState) -> None:
        self._state = state

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


def no_lease() -> NoLeaseError:
    """Return the error of a process without a lease."""
    return NoLeaseError(
        'this process is cut off from control', retry_after_s=1.0
    )
