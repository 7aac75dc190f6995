"""Whole configurations: complete replacements of the configuration in force.

A release note lists changes; a whole configuration lists all records. It is
validated completely, compared with the records in force, and the differences
are applied as one change.
"""

import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import notes

MAX_NAME_CHARS = 200
MAX_CONFIG_NUMBER = 2**62

_JsonObject = dict[str, typing.Any]
# Values of a record by its kind and key.
Records = dict[tuple[str, str], dict[str, typing.Any]]


class InvalidConfigurationError(errors.BadRequestError):
    """Report all mistakes in a whole configuration."""

    kind = 'invalid_configuration'
    remedy = 'Correct the mistakes and send the configuration again.'

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__('; '.join(mistakes))
        self.mistakes = mistakes


class _FieldReader:
    """Read typed fields and collect mistakes.

    Methods return a placeholder for an invalid value, so that reading goes on.
    """

    def __init__(self) -> None:
        self.mistakes: list[str] = []

    def add_mistake(self, where: str, found: object, allowed: str) -> None:
        self.mistakes.append(f'{where} is {notes.show(found)}, not {allowed}')

    def read_name(self, where: str, value: object) -> str:
        if isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS:
            return value
        self.add_mistake(where, value, 'a name')
        return ''

    def read_number(self, where: str, value: object, minimum: float) -> float:
        is_number = isinstance(value, int | float) and not isinstance(
            value, bool
        )
        if is_number and minimum <= typing.cast(float, value) < 1e12:
            return float(typing.cast(float, value))
        self.add_mistake(where, value, f'a number of at least {minimum:g}')
        return 0.0

    def read_optional_number(self, where: str, value: object) -> float:
        """Return a number of at least 0; None is 0."""
        return 0.0 if value is None else self.read_number(where, value, 0)

    def read_flag(self, where: str, value: object) -> bool:
        if isinstance(value, bool):
            return value
        self.add_mistake(where, value, 'true or false')
        return False

    def read_names(self, where: str, value: object) -> tuple[str, ...]:
        """Return the sorted names of a list; None is an empty list."""
        if value is None:
            return ()
        if not isinstance(value, list):
            self.add_mistake(where, value, 'a list of names')
            return ()
        return tuple(sorted({self.read_name(where, name) for name in value}))

    def read_objects(self, where: str, value: object) -> list[_JsonObject]:
        if not isinstance(value, list):
            self.add_mistake(where, value, 'a list')
            return []
        found = []
        for index, entry in enumerate(value):
            if isinstance(entry, dict):
                found.append(entry)
            else:
                self.add_mistake(f'{where}[{index}]', entry, 'an object')
        return found


class WholeConfiguration:
    """Hold a validated configuration.

    ``records`` maps the kind and key of a record to its values.
    """

    __slots__ = ('number', 'records')

    def __init__(self, number: int, records: Records) -> None:
        self.number = number
        self.records = records

    def changes(
        self, tables: configuration.Tables
    ) -> list[configuration.Change]:
        """Return the changes that turn ``tables`` into this configuration."""
        found = []
        for kind in configuration.KINDS:
            current = {
                key: configuration.as_dict(record)
                for key, record in tables.items(kind)
            }
            desired = {
                key: values
                for (record_kind, key), values in self.records.items()
                if record_kind == kind
            }
            for key in sorted(current.keys() | desired.keys()):
                if current.get(key) != desired.get(key):
                    found.append(
                        configuration.Change(kind, key, desired.get(key))
                    )
        return found


def parse(body: object) -> WholeConfiguration:
    """Return the validated configuration.

    Raises InvalidConfigurationError with all mistakes.
    """
    reader = _FieldReader()
    if not isinstance(body, dict):
        raise InvalidConfigurationError(['the configuration is no object'])
    number = body.get('number')
    if type(number) is not int or not 0 <= number <= MAX_CONFIG_NUMBER:
        reader.add_mistake(
            'number', number, f'an integer from 0 to {MAX_CONFIG_NUMBER}'
        )
        number = 0
    records: Records = {}
    services = _read_services(reader, body, records)
    _read_routes(reader, body, services, records)
    accounts = _read_accounts(reader, body, records)
    for account in accounts:
        for service in services:
            _put_record(
                records,
                configuration.Grant(account, service),
                configuration.GRANT,
                f'{account} {service}',
            )
    if reader.mistakes:
        raise InvalidConfigurationError(reader.mistakes)
    return WholeConfiguration(number, records)


def _put_record(
    records: Records, record: configuration.Record, kind: str, key: str
) -> None:
    records[kind, key] = configuration.as_dict(record)


def _read_services(
    reader: _FieldReader, body: _JsonObject, records: Records
) -> list[str]:
    names: list[str] = []
    for entry in reader.read_objects('services', body.get('services')):
        name = reader.read_name('service name', entry.get('name'))
        connections = reader.read_number(
            f'connections of service {name}', entry.get('connections'), 1
        )
        if name in names:
            reader.mistakes.append(f'service {name!r} is listed twice')
        names.append(name)
        service = configuration.Service(
            name,
            name,
            None,
            int(connections),
            'adaptive',
            reader.read_optional_number(
                f'cold_rate of service {name}', entry.get('cold_rate')
            ),
        )
        # Checked only: the target itself reports when it is cold.
        reader.read_optional_number(
            f'cold_start_s of service {name}', entry.get('cold_start_s')
        )
        _put_record(records, service, configuration.SERVICE, name)
    return names


def _read_routes(
    reader: _FieldReader,
    body: _JsonObject,
    services: list[str],
    records: Records,
) -> None:
    seen: set[tuple[str, str]] = set()
    for entry in reader.read_objects('routes', body.get('routes')):
        path = reader.read_name('route path', entry.get('path'))
        where = f'of route {path}'
        service = entry.get('service')
        if service not in services:
            reader.add_mistake(f'service {where}', service, 'a listed service')
        location = (path, str(entry.get('prefix', '')))
        if location in seen:
            reader.mistakes.append(f'route {path!r} is listed twice')
        seen.add(location)
        consistency = entry.get('consistency')
        if consistency not in configuration.CONSISTENCIES:
            allowed = ', '.join(configuration.CONSISTENCIES)
            reader.add_mistake(f'consistency {where}', consistency, allowed)
        timeout_s = reader.read_number(
            f'timeout_s {where}', entry.get('timeout_s'), 0
        )
        if not timeout_s:
            reader.mistakes.append(f'timeout_s {where} is 0')
        route = configuration.Route(
            path,
            str(service),
            reader.read_flag(f'open {where}', entry.get('open')),
            False,
            0,
            str(consistency),
            reader.read_number(
                f'max_age_s {where}', entry.get('max_age_s'), 0
            ),
            timeout_s,
            reader.read_number(
                f'objective_s {where}', entry.get('objective_s'), 0
            ),
            reader.read_number(f'idle_s {where}', entry.get('idle_s'), 0),
            int(
                reader.read_number(
                    f'priority {where}', entry.get('priority'), 0
                )
            ),
            reader.read_names(f'regions {where}', entry.get('regions')),
        )
        _put_record(records, route, configuration.ROUTE, path)


def _read_accounts(
    reader: _FieldReader, body: _JsonObject, records: Records
) -> list[str]:
    names: list[str] = []
    owners: dict[str, str] = {}
    for entry in reader.read_objects('accounts', body.get('accounts')):
        name = reader.read_name('account name', entry.get('name'))
        if name in names:
            reader.mistakes.append(f'account {name!r} is listed twice')
        names.append(name)
        account = configuration.Account(
            name,
            reader.read_number(
                f'rate of account {name}', entry.get('rate'), 0
            ),
            reader.read_number(
                f'burst of account {name}', entry.get('burst'), 0
            ),
            int(
                reader.read_number(
                    f'priority of account {name}', entry.get('priority'), 0
                )
            ),
            reader.read_names(
                f'regions of account {name}', entry.get('regions')
            ),
        )
        _put_record(records, account, configuration.ACCOUNT, name)
        digests = entry.get('key_digests')
        if not isinstance(digests, list):
            reader.add_mistake(
                f'key_digests of account {name}', digests, 'a list'
            )
            continue
        for digest in digests:
            if not isinstance(digest, str) or not notes.is_digest(digest):
                reader.add_mistake(
                    f'a key of account {name}', digest, 'a digest'
                )
                continue
            if owners.setdefault(digest, name) != name:
                reader.mistakes.append(
                    f'accounts {owners[digest]!r} and {name!r} share a key'
                )
            key = configuration.Key(digest[:32], name, digest)
            _put_record(records, key, configuration.KEY, key.id)
    return names
