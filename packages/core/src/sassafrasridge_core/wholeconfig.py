"""Whole configurations: an operator's complete statement of what is in force.

A release note lists changes; a whole configuration lists everything. It is
checked completely, compared with what is in force, and applied as one change.
"""

import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import notes

MAX_NAME_CHARS = 200
MAX_NUMBER = 2**62

_Body = dict[str, typing.Any]
Records = dict[tuple[str, str], dict[str, typing.Any]]


class InvalidConfigurationError(errors.BadRequestError):
    """Report every mistake of a whole configuration."""

    kind = 'invalid_configuration'
    remedy = 'Correct the mistakes and send the configuration again.'

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__('; '.join(mistakes))
        self.mistakes = mistakes


class _Reader:
    """Read typed fields and collect mistakes."""

    def __init__(self) -> None:
        self.mistakes: list[str] = []

    def wrong(self, where: str, found: object, allowed: str) -> None:
        self.mistakes.append(f'{where} is {notes.show(found)}, not {allowed}')

    def name(self, where: str, value: object) -> str:
        if isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS:
            return value
        self.wrong(where, value, 'a name')
        return ''

    def number(self, where: str, value: object, least: float) -> float:
        right = isinstance(value, int | float) and not isinstance(value, bool)
        if right and least <= typing.cast(float, value) < 1e12:
            return float(typing.cast(float, value))
        self.wrong(where, value, f'a number of at least {least:g}')
        return 0.0

    def flag(self, where: str, value: object) -> bool:
        if isinstance(value, bool):
            return value
        self.wrong(where, value, 'true or false')
        return False

    def entries(self, where: str, value: object) -> list[_Body]:
        if not isinstance(value, list):
            self.wrong(where, value, 'a list')
            return []
        found = []
        for place, entry in enumerate(value):
            if isinstance(entry, dict):
                found.append(entry)
            else:
                self.wrong(f'{where}[{place}]', entry, 'an object')
        return found


class WholeConfiguration:
    """Hold a checked configuration.

    ``records`` maps (kind, key) to the values of one record.
    """

    __slots__ = ('number', 'records')

    def __init__(self, number: int, records: Records) -> None:
        self.number = number
        self.records = records

    def changes(
        self, tables: configuration.Tables
    ) -> list[configuration.Change]:
        """Return what leads from the records in force to these."""
        found = []
        for kind in configuration.KINDS:
            held = {
                key: configuration.as_dict(record)
                for key, record in tables.items(kind)
            }
            wanted = {
                key: values
                for (of_kind, key), values in self.records.items()
                if of_kind == kind
            }
            for key in sorted(held.keys() | wanted.keys()):
                if held.get(key) != wanted.get(key):
                    found.append(
                        configuration.Change(kind, key, wanted.get(key))
                    )
        return found


def parse(body: object) -> WholeConfiguration:
    """Return the configuration; InvalidConfigurationError lists mistakes."""
    reader = _Reader()
    if not isinstance(body, dict):
        raise InvalidConfigurationError(['the configuration is no object'])
    number = body.get('number')
    if type(number) is not int or not 0 <= number <= MAX_NUMBER:
        reader.wrong('number', number, f'an integer from 0 to {MAX_NUMBER}')
        number = 0
    records: Records = {}
    services = _services(reader, body, records)
    _routes(reader, body, services, records)
    accounts = _accounts(reader, body, records)
    for account in accounts:
        for service in services:
            _put(
                records,
                configuration.Grant(account, service),
                configuration.GRANT,
                f'{account} {service}',
            )
    if reader.mistakes:
        raise InvalidConfigurationError(reader.mistakes)
    return WholeConfiguration(number, records)


def _put(
    records: Records, record: configuration.Record, kind: str, key: str
) -> None:
    records[kind, key] = configuration.as_dict(record)


def _services(reader: _Reader, body: _Body, records: Records) -> list[str]:
    names: list[str] = []
    for entry in reader.entries('services', body.get('services')):
        name = reader.name('service name', entry.get('name'))
        connections = reader.number(
            f'connections of service {name}', entry.get('connections'), 1
        )
        if name in names:
            reader.mistakes.append(f'service {name!r} is listed twice')
        names.append(name)
        service = configuration.Service(
            name, name, None, int(connections), 'adaptive'
        )
        _put(records, service, configuration.SERVICE, name)
    return names


def _routes(
    reader: _Reader, body: _Body, services: list[str], records: Records
) -> None:
    places: set[tuple[str, str]] = set()
    for entry in reader.entries('routes', body.get('routes')):
        path = reader.name('route path', entry.get('path'))
        where = f'of route {path}'
        service = entry.get('service')
        if service not in services:
            reader.wrong(f'service {where}', service, 'a listed service')
        place = (path, str(entry.get('prefix', '')))
        if place in places:
            reader.mistakes.append(f'route {path!r} is listed twice')
        places.add(place)
        consistency = entry.get('consistency')
        if consistency not in configuration.CONSISTENCIES:
            allowed = ', '.join(configuration.CONSISTENCIES)
            reader.wrong(f'consistency {where}', consistency, allowed)
        timeout_s = reader.number(
            f'timeout_s {where}', entry.get('timeout_s'), 0
        )
        if not timeout_s:
            reader.mistakes.append(f'timeout_s {where} is 0')
        route = configuration.Route(
            path,
            str(service),
            reader.flag(f'open {where}', entry.get('open')),
            False,
            0,
            str(consistency),
            reader.number(f'max_age_s {where}', entry.get('max_age_s'), 0),
            timeout_s,
            reader.number(f'objective_s {where}', entry.get('objective_s'), 0),
            reader.number(f'idle_s {where}', entry.get('idle_s'), 0),
            int(reader.number(f'priority {where}', entry.get('priority'), 0)),
        )
        _put(records, route, configuration.ROUTE, path)


def _accounts(reader: _Reader, body: _Body, records: Records) -> list[str]:
    names: list[str] = []
    holders: dict[str, str] = {}
    for entry in reader.entries('accounts', body.get('accounts')):
        name = reader.name('account name', entry.get('name'))
        if name in names:
            reader.mistakes.append(f'account {name!r} is listed twice')
        names.append(name)
        account = configuration.Account(
            name,
            reader.number(f'rate of account {name}', entry.get('rate'), 0),
            reader.number(f'burst of account {name}', entry.get('burst'), 0),
            int(
                reader.number(
                    f'priority of account {name}', entry.get('priority'), 0
                )
            ),
        )
        _put(records, account, configuration.ACCOUNT, name)
        digests = entry.get('key_digests')
        if not isinstance(digests, list):
            reader.wrong(f'key_digests of account {name}', digests, 'a list')
            continue
        for digest in digests:
            if not isinstance(digest, str) or not notes.is_digest(digest):
                reader.wrong(f'a key of account {name}', digest, 'a digest')
                continue
            if holders.setdefault(digest, name) != name:
                reader.mistakes.append(
                    f'accounts {holders[digest]!r} and {name!r} share a key'
                )
            key = configuration.Key(digest[:32], name, digest)
            _put(records, key, configuration.KEY, key.id)
    return names
