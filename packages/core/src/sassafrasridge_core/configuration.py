"""The active configuration: accounts, keys, services, routes and grants.

The zones that operators have taken out of service are stored with it.
"""

from collections.abc import Iterable
from typing import Any

ACCOUNT = 'account'
KEY = 'key'
SERVICE = 'service'
ROUTE = 'route'
GRANT = 'grant'
# Kinds that release notes and whole configurations list.
KINDS = (ACCOUNT, KEY, SERVICE, ROUTE, GRANT)
# Changed only by orders of operators, so no note or configuration removes it.
DRAINED_ZONE = 'drained_zone'

PRIMARY = 'primary'
BOUNDED_AGE = 'bounded_age'
SESSION = 'session'
# Which writes the reads of a session must see: all writes, all writes older
# than the route's ``max_age_s``, or those and the session's own writes.
CONSISTENCIES = (PRIMARY, BOUNDED_AGE, SESSION)


class Account:
    """Hold a client account.

    ``rate`` is in statements/s, ``burst`` in statements. ``priority`` 0 is
    the highest. ``regions`` are those whose targets may run its statements,
    empty for all.
    """

    __slots__ = ('name', 'rate', 'burst', 'priority', 'regions')

    def __init__(
        self,
        name: str,
        rate: float,
        burst: float,
        priority: int = 0,
        regions: Iterable[str] = (),
    ) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority
        self.regions = tuple(regions)


class Key:
    """Hold a key of a client account.

    ``digest`` is the SHA-256 hex digest of the secret; the secret itself is
    never stored.
    """

    __slots__ = ('id', 'account', 'digest')

    def __init__(self, id: str, account: str, digest: str) -> None:
        self.id = id
        self.account = account
        self.digest = digest


class Service:
    """Hold a service.

    ``slots`` and ``connections`` are None if the targets announce them.
    ``cold_rate`` is the maximum rate in statements/s of a target that reports
    to be cold, 0 for no limit.
    """

    __slots__ = (
        'name',
        'group',
        'slots',
        'connections',
        'policy',
        'cold_rate',
    )

    def __init__(
        self,
        name: str,
        group: str,
        slots: int | None,
        connections: int | None,
        policy: str,
        cold_rate: float = 0.0,
    ) -> None:
        self.name = name
        self.group = group
        self.slots = slots
        self.connections = connections
        self.policy = policy
        self.cold_rate = cold_rate


class Route:
    """Hold a route.

    ``reads_ended`` is the revision that last changed ``partition_reads`` from
    true to false, 0 if none did. The following fields apply to sessions:
    ``consistency`` is one of CONSISTENCIES, ``max_age_s`` the maximum age of
    the data, ``timeout_s`` that of a statement, ``objective_s`` the latency
    objective of an operation, ``idle_s`` the idle timeout of an open
    transaction, and ``priority`` 0 the highest. ``regions`` are those whose
    targets may run the route's statements, empty for all.
    """

    __slots__ = (
        'path',
        'service',
        'open',
        'partition_reads',
        'reads_ended',
        'consistency',
        'max_age_s',
        'timeout_s',
        'objective_s',
        'idle_s',
        'priority',
        'regions',
    )

    def __init__(
        self,
        path: str,
        service: str,
        open: bool,
        partition_reads: bool,
        reads_ended: int = 0,
        consistency: str = PRIMARY,
        max_age_s: float = 0.0,
        timeout_s: float = 5.0,
        objective_s: float = 1.0,
        idle_s: float = 10.0,
        priority: int = 0,
        regions: Iterable[str] = (),
    ) -> None:
        self.path = path
        self.service = service
        self.open = open
        self.partition_reads = partition_reads
        self.reads_ended = reads_ended
        self.consistency = consistency
        self.max_age_s = max_age_s
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.idle_s = idle_s
        self.priority = priority
        self.regions = tuple(regions)


class Grant:
    """Allow a client account to use a service."""

    __slots__ = ('account', 'service')

    def __init__(self, account: str, service: str) -> None:
        self.account = account
        self.service = service


class DrainedZone:
    """Hold an availability zone whose targets must not be used.

    ``ordered_at`` is the wall time in s at which ``operator`` ordered it.
    """

    __slots__ = ('zone', 'ordered_at', 'operator')

    def __init__(self, zone: str, ordered_at: float, operator: str) -> None:
        self.zone = zone
        self.ordered_at = ordered_at
        self.operator = operator


Record = Account | Key | Service | Route | Grant | DrainedZone

_RECORD_CLASSES: dict[str, type[Any]] = {
    ACCOUNT: Account,
    KEY: Key,
    SERVICE: Service,
    ROUTE: Route,
    GRANT: Grant,
    DRAINED_ZONE: DrainedZone,
}


# Values with which a field is left out of a stored record: the release before
# the field was added can then still read the record.
_OMITTED_VALUES: dict[str, Any] = {'regions': (), 'cold_rate': 0.0}


def as_dict(record: Record) -> dict[str, Any]:
    """Return the fields of a record as JSON-able values."""
    values = {name: getattr(record, name) for name in record.__slots__}
    for name, omitted in _OMITTED_VALUES.items():
        if values.get(name) == omitted:
            del values[name]
    return values


class Change:
    """Describe setting one record, or removing it if ``values`` is None."""

    __slots__ = ('kind', 'key', 'values')

    def __init__(
        self, kind: str, key: str, values: dict[str, Any] | None
    ) -> None:
        self.kind = kind
        self.key = key
        self.values = values

    def as_list(self) -> list[Any]:
        """Return the change as it is stored in a delta."""
        return [self.kind, self.key, self.values]


class Tables:
    """Hold the records of a configuration, by kind and key."""

    __slots__ = ('_records', '_key_id_by_digest', '_grants')

    def __init__(self) -> None:
        self._records: dict[str, dict[str, Any]] = {
            kind: {} for kind in _RECORD_CLASSES
        }
        self._key_id_by_digest: dict[str, str] = {}
        self._grants: set[tuple[str, str]] = set()

    def get(self, kind: str, key: str) -> Any:
        """Return a record or None."""
        return self._records[kind].get(key)

    def all(self, kind: str) -> Iterable[Any]:
        """Return the records of a kind, ordered by key."""
        return [record for _, record in self.items(kind)]

    def items(self, kind: str) -> Iterable[tuple[str, Any]]:
        """Return the keys and records of a kind, ordered by key.

        The order is explicit because a snapshot does not preserve insertion
        order, and applying a command must not depend on it.
        """
        return sorted(self._records[kind].items())

    def key_by_digest(self, digest: str) -> Key | None:
        """Return the key with this secret digest, or None."""
        id = self._key_id_by_digest.get(digest)
        return None if id is None else self._records[KEY].get(id)

    def drained_zones(self) -> frozenset[str]:
        """Return the availability zones that are out of service."""
        return frozenset(self._records[DRAINED_ZONE])

    def is_granted(self, account: str, service: str) -> bool:
        """Return whether the account may use the service."""
        return (account, service) in self._grants

    def put(self, kind: str, key: str, values: dict[str, Any] | None) -> None:
        """Set a record, or remove it if ``values`` is None."""
        table = self._records[kind]
        previous = table.pop(key, None)
        if kind == KEY and previous is not None:
            self._key_id_by_digest.pop(previous.digest, None)
        if kind == GRANT and previous is not None:
            self._grants.discard((previous.account, previous.service))
        if values is None:
            return
        record = table[key] = _RECORD_CLASSES[kind](**values)
        if kind == KEY:
            self._key_id_by_digest[record.digest] = key
        if kind == GRANT:
            self._grants.add((record.account, record.service))

    def dump(self) -> dict[str, Any]:
        """Return all records as JSON-able values in a fixed order."""
        return {
            kind: {key: as_dict(table[key]) for key in sorted(table)}
            for kind, table in self._records.items()
        }

    @classmethod
    def load(cls, data: dict[str, Any]) -> 'Tables':
        """Return the tables from the values of :meth:`dump`."""
        tables = cls()
        for kind, records in data.items():
            for key, values in records.items():
                tables.put(kind, key, values)
        return tables
