"""Check the INI settings of the daemon; the caller reads the files."""

from collections.abc import Callable
import configparser
import ipaddress
import pathlib
import re
from typing import Any
from typing import TypeVar

from sassafrasridge_core import errors
from sassafrasridge_core import notes

ROLES = ('entry', 'control')
POLICIES = ('adaptive', 'plain')
LEVELS = ('debug', 'info', 'warning', 'error')
MIN_SECRET_BYTES = 16
STANDARD_OUTPUT = '-'
"""Stands for standard output in place of a log file."""

# Targets announce themselves every 0.25 s; one lost announcement alone must
# not make a primary suspect.
MIN_SUSPECT_S = 0.5
# An accepted configuration is in force within 8 s, clock drift included.
MAX_CONFIG_TTL_S = 7.5
# A lease survives one lost renewal.
RENEWALS_PER_LEASE = 2

_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s|min)')
_DURATION_UNITS = {'ms': 0.001, 's': 1.0, 'min': 60.0}
_SIZE = re.compile(r'([0-9]+)(B|KiB|MiB)')
_SIZE_UNITS = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
_HEADER = re.compile(r'\[(?P<name>.+)\]')
_FLAGS = {'true': True, 'false': False}


class Mistake:
    """Describe one mistake of a settings file."""

    __slots__ = ('file', 'section', 'key', 'found', 'allowed')

    def __init__(
        self, file: str, section: str, key: str, found: str, allowed: str
    ) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.found = found
        self.allowed = allowed

    def as_json(self) -> dict[str, str]:
        """Return a JSON-able form."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self) -> str:
        section = f'[{self.section}]' if self.section else ''
        place = ' '.join(part for part in (section, self.key) if part)
        where = f'{self.file}: {place}' if place else self.file
        return f'{where}: found {self.found}, allowed: {self.allowed}'


class InvalidSettingsError(errors.SettingsError):
    """Report every mistake of a settings file."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        listed = '\n'.join(str(mistake) for mistake in mistakes)
        super().__init__(listed)
        self.mistakes = mistakes


class NodeSettings:
    """Hold section [node]; ``cluster_secret`` is the content of its file.

    ``advertise_rpc`` is the address under which other daemons reach
    ``rpc``; empty when it is the same. ``cluster_secret_text`` stands for the
    file where none can be provided.
    """

    __slots__ = (
        'name',
        'zone',
        'region',
        'http',
        'rpc',
        'advertise_rpc',
        'data_folder',
        'roles',
        'cluster_secret_file',
        'cluster_secret_text',
        'cluster_secret',
    )

    name: str
    zone: str
    region: str
    http: str
    rpc: str
    advertise_rpc: str
    data_folder: str
    roles: frozenset[str]
    cluster_secret_file: str
    cluster_secret_text: str
    cluster_secret: bytes


class ControlSettings:
    """Hold section [control]; ``members`` maps names to rpc addresses.

    ``policy`` is how rates are shared: 'adaptive' by demand, 'plain' in
    equal, constant parts. With ``seeds``, HTTP addresses of some members,
    the members change without an operator, and ``tolerated`` losses of
    members at a time must be borne. With ``exclusive_names`` the deployment
    never runs two entry processes of one name at a time.
    """

    __slots__ = (
        'members',
        'bootstrap',
        'policy',
        'seeds',
        'tolerated',
        'exclusive_names',
    )

    members: dict[str, str]
    bootstrap: bool
    policy: str
    seeds: list[str]
    tolerated: int
    exclusive_names: bool


class EntrySettings:
    """Hold section [entry]; ``control`` maps zones to rpc addresses.

    ``max_body`` is in bytes, ``max_wait`` and ``drain_timeout`` are in s.
    ``seeds`` are HTTP addresses of some control members, for deployments
    whose members change without an operator; ``sessions`` is the address for
    sessions, empty for none.
    With ``policy`` 'plain' requests are served first in, first out, and all
    reads go to the primary.
    """

    __slots__ = (
        'control',
        'worker_threads',
        'max_connections',
        'max_body',
        'max_queue',
        'max_wait',
        'drain_timeout',
        'policy',
        'seeds',
        'sessions',
    )

    control: dict[str, list[str]]
    worker_threads: int
    max_connections: int
    max_body: int
    max_queue: int
    max_wait: float
    drain_timeout: float
    policy: str
    seeds: list[str]
    sessions: str


class TargetSettings:
    """Hold section [targets]; the digest is empty when none is set."""

    __slots__ = ('announce_token_digest',)

    announce_token_digest: str


class TimingSettings:
    """Hold section [timing], in seconds.

    ``log_heartbeat`` is the interval of the control leader's heartbeats; an
    election begins after five to ten of them are missing.
    """

    __slots__ = (
        'renew_interval',
        'lease',
        'config_ttl',
        'suspect_after',
        'log_heartbeat',
    )

    renew_interval: float
    lease: float
    config_ttl: float
    suspect_after: float
    log_heartbeat: float


class LogSettings:
    """Hold section [log].

    An empty ``file`` means standard error, ``-`` standard output.
    """

    __slots__ = ('file', 'level')

    file: str
    level: str


class Settings:
    """Hold checked settings; ``operators`` maps names to token digests."""

    __slots__ = (
        'node',
        'control',
        'entry',
        'operators',
        'targets',
        'timing',
        'log',
    )

    def __init__(self) -> None:
        self.node = NodeSettings()
        self.control: ControlSettings | None = None
        self.entry: EntrySettings | None = None
        self.operators: dict[str, str] = {}
        self.targets = TargetSettings()
        self.timing = TimingSettings()
        self.log = LogSettings()


class _Wrong(Exception):
    """Carry what was found and what is allowed."""

    def __init__(self, allowed: str, found: str | None = None) -> None:
        super().__init__(allowed)
        self.allowed = allowed
        self.found = found


_Parse = Callable[[str], Any]
_Target = TypeVar('_Target')


class _Key:
    """Describe a key; ``absent`` is its value when another stands for it."""

    __slots__ = ('parse', 'default', 'private', 'absent')

    def __init__(
        self,
        parse: _Parse,
        default: str | None = None,
        private: bool = False,
        absent: Any = None,
    ) -> None:
        self.parse = parse
        self.default = default
        self.private = private
        self.absent = absent


def parse_duration(text: str, low: float, high: float) -> float:
    """Return seconds; both bounds are included.

    >>> parse_duration('300ms', 0.0, 1.0)
    0.3
    """
    match = _DURATION.fullmatch(text)
    if match:
        value = float(match[1]) * _DURATION_UNITS[match[2]]
        if low <= value <= high:
            return round(value, 6)
    raise _Wrong(
        f'a duration from {low:g}s to {high:g}s with the unit ms, s or min, '
        'for example 300ms or 1.2s'
    )


def parse_size(text: str, low: int, high: int) -> int:
    """Return bytes; both bounds are included.

    >>> parse_size('64KiB', 1, 1 << 20)
    65536
    """
    match = _SIZE.fullmatch(text)
    if match:
        value = int(match[1]) * _SIZE_UNITS[match[2]]
        if low <= value <= high:
            return value
    raise _Wrong(
        f'a size from {low}B to {high}B with the unit B, KiB or MiB, for '
        'example 1MiB'
    )


def split_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port; ValueError if it is neither.

    >>> split_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(':')
    address = str(ipaddress.IPv4Address(host))
    if not re.fullmatch(r'[0-9]{1,5}', port) or int(port) > 65535:
        raise ValueError(f'{port!r} is not a port')
    return address, int(port)


def _address(text: str) -> str:
    try:
        split_address(text)
    except ValueError:
        raise _Wrong('an IPv4 address and a port, for example 127.0.0.1:7001')
    return text


def _name(text: str) -> str:
    if not notes.is_name(text):
        raise _Wrong(notes.NAME_TEXT)
    return text


def _digest(text: str) -> str:
    if not notes.is_digest(text):
        raise _Wrong('the SHA-256 of the token as 64 lowercase hex digits')
    return text


def _optional_digest(text: str) -> str:
    return _digest(text) if text else ''


def _flag(text: str) -> bool:
    if text not in _FLAGS:
        raise _Wrong('true or false')
    return _FLAGS[text]


def _path(text: str) -> str:
    if not text or '\0' in text:
        raise _Wrong('the path of a file or folder')
    return text


def _optional(text: str) -> str:
    return _path(text) if text else ''


def _level(text: str) -> str:
    if text not in LEVELS:
        raise _Wrong('one of ' + ', '.join(LEVELS))
    return text


def _policy(text: str) -> str:
    if text not in POLICIES:
        raise _Wrong('one of ' + ', '.join(POLICIES))
    return text


def _optional_address(text: str) -> str:
    return _address(text) if text else ''


def _integer(low: int, high: int) -> _Parse:
    def parse(text: str) -> int:
        if re.fullmatch(r'[0-9]{1,9}', text) and low <= int(text) <= high:
            return int(text)
        raise _Wrong(f'an integer from {low} to {high}, without a unit')

    return parse


def _duration(low: float, high: float) -> _Parse:
    return lambda text: parse_duration(text, low, high)


def _parts(text: str, separators: str) -> list[str]:
    parts = re.split(f'[{separators}]', text)
    return [part.strip() for part in parts if part.strip()]


def _roles(text: str) -> frozenset[str]:
    roles = _parts(text, ',')
    if not roles or set(roles) - set(ROLES) or len(set(roles)) < len(roles):
        raise _Wrong("'entry', 'control' or 'entry, control'")
    return frozenset(roles)


def _seeds(text: str) -> list[str]:
    return [_address(part) for part in _parts(text, ',\n')]


def _members(text: str) -> dict[str, str]:
    members: dict[str, str] = {}
    for part in _parts(text, ',\n'):
        name, separator, address = part.partition('=')
        name, address = name.strip(), address.strip()
        try:
            if not separator or _name(name) in members:
                raise _Wrong('')
            members[name] = _address(address)
        except _Wrong:
            raise _Wrong(
                'name=IP:port of each member once, separated by commas',
                notes.show(part),
            )
    if not members:
        raise _Wrong('at least one name=IP:port')
    if len(set(members.values())) < len(members):
        raise _Wrong('a different address for each member')
    return members


def _zones(text: str) -> dict[str, list[str]]:
    zones: dict[str, list[str]] = {}
    for line in _parts(text, ';\n'):
        name, separator, listed = line.partition('=')
        name = name.strip()
        addresses = _parts(listed, ',')
        try:
            if not separator or _name(name) in zones or not addresses:
                raise _Wrong('')
            zones[name] = [_address(address) for address in addresses]
        except _Wrong:
            raise _Wrong(
                'a line for each zone once: zone = IP:port, IP:port',
                notes.show(line),
            )
    if not zones:
        raise _Wrong('at least one line zone = IP:port')
    return zones


# Keys that may be left out when another key is there.
_INSTEAD = {
    ('control', 'members'): 'seeds',
    ('entry', 'control'): 'seeds',
    ('node', 'cluster_secret_file'): 'cluster_secret_text',
}

_SECTIONS: dict[str, dict[str, _Key]] = {
    'node': {
        'name': _Key(_name),
        'zone': _Key(_name),
        'region': _Key(_name),
        'http': _Key(_address),
        'rpc': _Key(_address),
        'advertise_rpc': _Key(_optional_address, ''),
        'data_folder': _Key(_optional, ''),
        'roles': _Key(_roles),
        'cluster_secret_file': _Key(_path, private=True, absent=''),
        'cluster_secret_text': _Key(str, '', private=True),
    },
    'control': {
        'members': _Key(_members, absent={}),
        'bootstrap': _Key(_flag, 'false'),
        'policy': _Key(_policy, 'adaptive'),
        'seeds': _Key(_seeds, ''),
        'tolerated': _Key(_integer(0, 15), '1'),
        'exclusive_names': _Key(_flag, 'false'),
    },
    'entry': {
        'control': _Key(_zones, absent={}),
        'seeds': _Key(_seeds, ''),
        'sessions': _Key(_optional_address, ''),
        'worker_threads': _Key(_integer(1, 256), '10'),
        'max_connections': _Key(_integer(1, 100_000), '4000'),
        'max_body': _Key(
            lambda text: parse_size(text, 1024, 3 * 1024 * 1024), '1MiB'
        ),
        'max_queue': _Key(_integer(1, 100_000), '1024'),
        'max_wait': _Key(_duration(0.01, 60.0), '5s'),
        'drain_timeout': _Key(_duration(0.1, 3600.0), '30s'),
        'policy': _Key(_policy, 'adaptive'),
    },
    'targets': {
        'announce_token_digest': _Key(_optional_digest, '', private=True),
    },
    'timing': {
        'renew_interval': _Key(_duration(0.02, 2.0), '300ms'),
        'lease': _Key(_duration(0.1, MAX_CONFIG_TTL_S), '1.2s'),
        'config_ttl': _Key(_duration(0.2, MAX_CONFIG_TTL_S), '4s'),
        'suspect_after': _Key(_duration(MIN_SUSPECT_S, 5.0), '800ms'),
        'log_heartbeat': _Key(_duration(0.02, 1.0), '100ms'),
    },
    'log': {
        'file': _Key(_optional, ''),
        'level': _Key(_level, 'info'),
    },
}


def check(
    text: str,
    file: str,
    read: Callable[[str], bytes],
    folder: str = '.',
) -> Settings:
    """Return the settings; InvalidSettingsError names every mistake.

    ``read`` returns the content of a file or raises OSError. Relative paths
    are relative to ``folder``, the folder of the settings file.
    """
    return _Checker(text, file, read, folder).run()


class _Checker:
    __slots__ = ('_file', '_read', '_folder', '_mistakes', '_parser', '_wrong')

    def __init__(
        self, text: str, file: str, read: Callable[[str], bytes], folder: str
    ) -> None:
        self._file = file
        self._read = read
        self._folder = pathlib.PurePath(folder)
        self._mistakes: list[Mistake] = []
        self._wrong: set[tuple[str, str]] = set()
        self._find_duplicates(text)
        self._parser = self._parse(text)

    def run(self) -> Settings:
        for section in self._parser.sections():
            if section not in _SECTIONS and section != 'operators':
                known = ', '.join(f'[{name}]' for name in _all_sections())
                self._add(section, '', 'an unknown section', f'one of {known}')
        settings = Settings()
        self._fill('node', settings.node)
        roles: frozenset[str] = getattr(settings.node, 'roles', frozenset())
        settings.control = self._fill_role('control', ControlSettings(), roles)
        settings.entry = self._fill_role('entry', EntrySettings(), roles)
        self._fill('targets', settings.targets)
        self._fill('timing', settings.timing)
        self._fill('log', settings.log)
        settings.operators = self._operators()
        self._check_node(settings)
        self._check_timing(settings.timing)
        self._resolve(settings.node, 'data_folder')
        self._resolve(settings.log, 'file')
        self._read_secret(settings.node)
        if self._mistakes:
            raise InvalidSettingsError(self._mistakes)
        return settings

    def _add(self, section: str, key: str, found: str, allowed: str) -> None:
        self._wrong.add((section, key))
        mistake = Mistake(self._file, section, key, found, allowed)
        self._mistakes.append(mistake)

    def _find_duplicates(self, text: str) -> None:
        # The strict mode of configparser stops at the first duplicate.
        section = ''
        seen: set[tuple[str, str]] = set()
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip() or line[0] in '#; \t':
                continue
            header = _HEADER.match(line)
            key = '' if header else line.partition('=')[0].strip()
            if header:
                section = header['name']
            if (section, key) in seen:
                noun = 'section' if header else 'key'
                found = f'the {noun} again in line {number}'
                self._add(section, key, found, f'each {noun} once')
            seen.add((section, key))

    def _parse(self, text: str) -> configparser.RawConfigParser:
        lines = text.splitlines()
        while True:
            parser = configparser.RawConfigParser(
                strict=False,
                delimiters=('=',),
                default_section='',
                empty_lines_in_values=False,
            )
            parser.optionxform = str  # type: ignore
            try:
                parser.read_string('\n'.join(lines))
            except configparser.MissingSectionHeaderError as exc:
                found = f'line {exc.lineno} before the first section'
                self._add('', '', found, 'a [section] first')
                lines[exc.lineno - 1] = '#'
                continue
            except configparser.ParsingError as exc:
                for number, _ in exc.errors:
                    found = f'line {number}, which is not key = value'
                    self._add('', '', found, '[section] or key = value')
            return parser

    def _fill(self, section: str, target: object) -> None:
        keys = _SECTIONS[section]
        present: dict[str, str] = {}
        if self._parser.has_section(section):
            present = dict(self._parser.items(section))
        for name in present:
            if name not in keys:
                allowed = 'one of ' + ', '.join(keys)
                self._add(section, name, 'an unknown key', allowed)
        for name, key in keys.items():
            text = present.get(name, key.default)
            instead = _INSTEAD.get((section, name))
            if text is None and instead in present:
                setattr(target, name, key.absent)
                continue
            if text is None:
                self._add(section, name, 'nothing', self._allowed(key))
                continue
            value = self._value(section, name, key, text)
            if (section, name) not in self._wrong:
                setattr(target, name, value)

    def _fill_role(
        self, role: str, target: _Target, roles: frozenset[str]
    ) -> _Target | None:
        present = self._parser.has_section(role)
        if role in roles or present:
            self._fill(role, target)
        if role in roles:
            return target
        if present and roles:
            allowed = f'this section only with the role {role}'
            self._add(role, '', 'this section', allowed)
        return None

    def _allowed(self, key: _Key) -> str:
        try:
            key.parse('')
        except _Wrong as exc:
            return exc.allowed
        return 'a value'

    def _value(self, section: str, name: str, key: _Key, text: str) -> Any:
        try:
            return key.parse(text)
        except _Wrong as exc:
            found = exc.found or notes.show(text)
            if key.private:
                found = f'a value of {len(text)} characters'
            self._add(section, name, found, exc.allowed)
            return None

    def _operators(self) -> dict[str, str]:
        operators = {}
        if self._parser.has_section('operators'):
            for name, text in self._parser.items('operators'):
                key = _Key(_digest, private=True)
                if not notes.is_name(name):
                    allowed = f'as the name of an operator {notes.NAME_TEXT}'
                    self._add('operators', name, 'this name', allowed)
                operators[name] = self._value('operators', name, key, text)
        # An equal digest would make the audit trail name the wrong operator.
        first: dict[str, str] = {}
        for name, digest in operators.items():
            if digest and first.setdefault(digest, name) != name:
                found = f'the digest of {first[digest]!r} again'
                self._add('operators', name, found, 'a token of its own')
        return operators

    def _check_node(self, settings: Settings) -> None:
        node, control = settings.node, settings.control
        if control is None:
            return
        if not getattr(node, 'data_folder', '-'):
            allowed = 'the path of a folder, for the role control'
            self._add('node', 'data_folder', 'nothing', allowed)
        members = getattr(control, 'members', None)
        name = getattr(node, 'name', None)
        rpc = getattr(node, 'advertise_rpc', '') or getattr(node, 'rpc', None)
        if members is None or name is None or rpc is None:
            return
        if members.get(name, rpc) != rpc:
            found = f'{name}={members[name]}'
            self._add('control', 'members', found, f'{name}={rpc}')
        seeds = getattr(control, 'seeds', None)
        if (
            getattr(control, 'bootstrap', False)
            and name not in members
            and not seeds
        ):
            allowed = f'{name}={rpc} among the members, for bootstrap = true'
            self._add('control', 'members', f'no {name}', allowed)

    def _check_timing(self, timing: TimingSettings) -> None:
        renew = getattr(timing, 'renew_interval', None)
        lease = getattr(timing, 'lease', None)
        ttl = getattr(timing, 'config_ttl', None)
        if renew and lease and lease < renew * RENEWALS_PER_LEASE:
            allowed = f'at least {RENEWALS_PER_LEASE} times renew_interval'
            self._add('timing', 'lease', f'{lease:g}s', allowed)
        if lease and ttl and ttl < lease:
            allowed = f'at least the lease, {lease:g}s'
            self._add('timing', 'config_ttl', f'{ttl:g}s', allowed)

    def _resolve(self, target: object, name: str) -> None:
        path = getattr(target, name, '')
        if path and path != STANDARD_OUTPUT:
            setattr(target, name, str(self._folder / path))

    def _read_secret(self, node: NodeSettings) -> None:
        self._resolve(node, 'cluster_secret_file')
        path = getattr(node, 'cluster_secret_file', None)
        text = getattr(node, 'cluster_secret_text', '')
        if path is None:
            return
        if text and len(text) < MIN_SECRET_BYTES:
            found = f'a text of {len(text)} characters'
            allowed = f'at least {MIN_SECRET_BYTES} characters'
            self._add('node', 'cluster_secret_text', found, allowed)
        if text:
            node.cluster_secret = text.encode()
            return
        allowed = f'a readable file of at least {MIN_SECRET_BYTES} bytes'
        try:
            secret = self._read(path).strip()
        except OSError as exc:
            # The value may be the secret itself, set by mistake.
            found = f'a path that cannot be read: {exc.strerror}'
            self._add('node', 'cluster_secret_file', found, allowed)
            return
        if len(secret) < MIN_SECRET_BYTES:
            found = f'a file of {len(secret)} bytes'
            self._add('node', 'cluster_secret_file', found, allowed)
            return
        node.cluster_secret = secret


def _all_sections() -> list[str]:
    return [*_SECTIONS, 'operators']


def unreadable(file: str, reason: str) -> InvalidSettingsError:
    """Return the error of a settings file that cannot be read."""
    found = f'a file that cannot be read: {reason}'
    mistake = Mistake(file, '', '', found, 'a readable UTF-8 file')
    return InvalidSettingsError([mistake])
