"""Parse and validate the INI settings of the daemon.

This module reads no files; the caller passes their content.
"""

from collections.abc import Callable
import configparser
import ipaddress
import pathlib
import re
from typing import Any
from typing import TypeVar

from sassafrasridge_core import errors
from sassafrasridge_core import notes
from sassafrasridge_core import regions
from sassafrasridge_core import settingsections

NodeSettings = settingsections.NodeSettings
ControlSettings = settingsections.ControlSettings
EntrySettings = settingsections.EntrySettings
TargetSettings = settingsections.TargetSettings
TimingSettings = settingsections.TimingSettings
LogSettings = settingsections.LogSettings
Settings = settingsections.Settings

ROLES = ('entry', 'control')
POLICIES = ('adaptive', 'plain')
LIMITS = ('fixed', 'learned')
LEVELS = ('debug', 'info', 'warning', 'error')
MIN_SECRET_BYTES = 16
# Log file name that means standard output.
STANDARD_OUTPUT = '-'

# Targets announce themselves every 0.25 s. A single lost announcement must not
# make a primary suspect.
MIN_SUSPECT_S = 0.5
# An accepted configuration must be in force within 8 s, clock drift included.
MAX_CONFIG_TTL_S = 7.5
# Shortest lease in renewal intervals, so that one lost renewal does not end
# the lease.
RENEWALS_PER_LEASE = 2

_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s|min)')
_SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0, 'min': 60.0}
MAX_MEMORY_BYTES = 1 << 40
_SIZE = re.compile(r'([0-9]+)(B|KiB|MiB)')
_BYTES_PER_UNIT = {'B': 1, 'KiB': 1024, 'MiB': 1024 * 1024}
_SECTION_HEADER = re.compile(r'\[(?P<name>.+)\]')
_FLAGS = {'true': True, 'false': False}


class Mistake:
    """Describe one mistake in a settings file."""

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
        """Return the fields as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self) -> str:
        section = f'[{self.section}]' if self.section else ''
        place = ' '.join(part for part in (section, self.key) if part)
        where = f'{self.file}: {place}' if place else self.file
        return f'{where}: found {self.found}, allowed: {self.allowed}'


class InvalidSettingsError(errors.SettingsError):
    """Report all mistakes in a settings file."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        listed = '\n'.join(str(mistake) for mistake in mistakes)
        super().__init__(listed)
        self.mistakes = mistakes


class _InvalidValueError(Exception):
    """Report an invalid value by what is allowed and what was found."""

    def __init__(self, allowed: str, found: str | None = None) -> None:
        super().__init__(allowed)
        self.allowed = allowed
        self.found = found


_ValueParser = Callable[[str], Any]
_RoleSettings = TypeVar('_RoleSettings')


class _Key:
    """Describe a key of a section.

    ``parse`` returns the value or raises _InvalidValueError, ``private`` hides
    the text in errors, and ``value_if_omitted`` is the value when the key is
    omitted because its alternative key is set.
    """

    __slots__ = ('parse', 'default', 'private', 'value_if_omitted')

    def __init__(
        self,
        parse: _ValueParser,
        default: str | None = None,
        private: bool = False,
        value_if_omitted: Any = None,
    ) -> None:
        self.parse = parse
        self.default = default
        self.private = private
        self.value_if_omitted = value_if_omitted


def parse_duration(text: str, low: float, high: float) -> float:
    """Return a duration in seconds, from ``low`` to ``high`` inclusive.

    >>> parse_duration('300ms', 0.0, 1.0)
    0.3
    """
    match = _DURATION.fullmatch(text)
    if match:
        value = float(match[1]) * _SECONDS_PER_UNIT[match[2]]
        if low <= value <= high:
            return round(value, 6)
    raise _InvalidValueError(
        f'a duration from {low:g}s to {high:g}s with the unit ms, s or min, '
        'for example 300ms or 1.2s'
    )


def parse_size(text: str, low: int, high: int) -> int:
    """Return a size in bytes, from ``low`` to ``high`` inclusive.

    >>> parse_size('64KiB', 1, 1 << 20)
    65536
    """
    match = _SIZE.fullmatch(text)
    if match:
        value = int(match[1]) * _BYTES_PER_UNIT[match[2]]
        if low <= value <= high:
            return value
    raise _InvalidValueError(
        f'a size from {low}B to {high}B with the unit B, KiB or MiB, for '
        'example 1MiB'
    )


def split_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port; raise ValueError if invalid.

    >>> split_address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(':')
    address = str(ipaddress.IPv4Address(host))
    if not re.fullmatch(r'[0-9]{1,5}', port) or int(port) > 65535:
        raise ValueError(f'{port!r} is not a port')
    return address, int(port)


def is_target_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port to connect to.

    >>> is_target_address('10.0.0.1:80'), is_target_address('10.0.0.1:0')
    (True, False)
    >>> is_target_address('10.0.0.1:99999'), is_target_address('db1')
    (False, False)
    """
    try:
        _, port = split_address(text)
    except ValueError:
        return False
    return port > 0


def _parse_address(text: str) -> str:
    try:
        split_address(text)
    except ValueError:
        raise _InvalidValueError(
            'an IPv4 address and a port, for example 127.0.0.1:7001'
        )
    return text


def _parse_name(text: str) -> str:
    if not notes.is_name(text):
        raise _InvalidValueError(notes.NAME_TEXT)
    return text


def _parse_digest(text: str) -> str:
    if not notes.is_digest(text):
        raise _InvalidValueError(
            'the SHA-256 of the token as 64 lowercase hex digits'
        )
    return text


def _parse_optional_digest(text: str) -> str:
    return _parse_digest(text) if text else ''


def _parse_flag(text: str) -> bool:
    if text not in _FLAGS:
        raise _InvalidValueError('true or false')
    return _FLAGS[text]


def _parse_path(text: str) -> str:
    if not text or '\0' in text:
        raise _InvalidValueError('the path of a file or folder')
    return text


def _parse_optional_path(text: str) -> str:
    return _parse_path(text) if text else ''


def _parse_level(text: str) -> str:
    if text not in LEVELS:
        raise _InvalidValueError('one of ' + ', '.join(LEVELS))
    return text


def _parse_policy(text: str) -> str:
    if text not in POLICIES:
        raise _InvalidValueError('one of ' + ', '.join(POLICIES))
    return text


def _parse_limits(text: str) -> str:
    if text not in LIMITS:
        raise _InvalidValueError('one of ' + ', '.join(LIMITS))
    return text


def _parse_optional_address(text: str) -> str:
    return _parse_address(text) if text else ''


def _parse_memory(text: str) -> int:
    return parse_size(text, 1, MAX_MEMORY_BYTES) if text else 0


def _integer_parser(low: int, high: int) -> _ValueParser:
    def parse(text: str) -> int:
        if re.fullmatch(r'[0-9]{1,9}', text) and low <= int(text) <= high:
            return int(text)
        raise _InvalidValueError(
            f'an integer from {low} to {high}, without a unit'
        )

    return parse


def _duration_parser(low: float, high: float) -> _ValueParser:
    return lambda text: parse_duration(text, low, high)


def _split_list(text: str, separators: str) -> list[str]:
    parts = re.split(f'[{separators}]', text)
    return [part.strip() for part in parts if part.strip()]


def _parse_roles(text: str) -> frozenset[str]:
    roles = _split_list(text, ',')
    if not roles or set(roles) - set(ROLES) or len(set(roles)) < len(roles):
        raise _InvalidValueError("'entry', 'control' or 'entry, control'")
    return frozenset(roles)


def _parse_seeds(text: str) -> list[str]:
    return [_parse_address(part) for part in _split_list(text, ',\n')]


def _parse_members(text: str) -> dict[str, str]:
    members: dict[str, str] = {}
    for part in _split_list(text, ',\n'):
        name, separator, address = part.partition('=')
        name, address = name.strip(), address.strip()
        try:
            if not separator or _parse_name(name) in members:
                raise _InvalidValueError('')
            members[name] = _parse_address(address)
        except _InvalidValueError:
            raise _InvalidValueError(
                'name=IP:port of each member once, separated by commas',
                notes.show(part),
            )
    if not members:
        raise _InvalidValueError('at least one name=IP:port')
    if len(set(members.values())) < len(members):
        raise _InvalidValueError('a different address for each member')
    return members


def _parse_zones(text: str) -> dict[str, list[str]]:
    zones: dict[str, list[str]] = {}
    for line in _split_list(text, ';\n'):
        name, separator, listed = line.partition('=')
        name = name.strip()
        addresses = _split_list(listed, ',')
        try:
            if not separator or _parse_name(name) in zones or not addresses:
                raise _InvalidValueError('')
            zones[name] = [_parse_address(address) for address in addresses]
        except _InvalidValueError:
            raise _InvalidValueError(
                'a line for each zone once: zone = IP:port, IP:port',
                notes.show(line),
            )
    if not zones:
        raise _InvalidValueError('at least one line zone = IP:port')
    return zones


# Alternatives: a key may be omitted if the key it maps to is present.
_ALTERNATIVE_KEYS = {
    ('control', 'members'): 'seeds',
    ('entry', 'control'): 'seeds',
    ('node', 'cluster_secret_file'): 'cluster_secret_text',
}

_SECTIONS: dict[str, dict[str, _Key]] = {
    'node': {
        'name': _Key(_parse_name),
        'zone': _Key(_parse_name),
        'region': _Key(_parse_name),
        'http': _Key(_parse_address),
        'rpc': _Key(_parse_address),
        'advertise_rpc': _Key(_parse_optional_address, ''),
        'data_folder': _Key(_parse_optional_path, ''),
        'roles': _Key(_parse_roles),
        'cluster_secret_file': _Key(
            _parse_path, private=True, value_if_omitted=''
        ),
        'cluster_secret_text': _Key(str, '', private=True),
    },
    'control': {
        'members': _Key(_parse_members, value_if_omitted={}),
        'bootstrap': _Key(_parse_flag, 'false'),
        'policy': _Key(_parse_policy, 'adaptive'),
        'seeds': _Key(_parse_seeds, ''),
        'tolerated': _Key(_integer_parser(0, 15), '1'),
        'exclusive_names': _Key(_parse_flag, 'false'),
    },
    'entry': {
        'control': _Key(_parse_zones, value_if_omitted={}),
        'seeds': _Key(_parse_seeds, ''),
        'sessions': _Key(_parse_optional_address, ''),
        'worker_threads': _Key(_integer_parser(1, 256), '10'),
        'max_connections': _Key(_integer_parser(1, 100_000), '4000'),
        'memory': _Key(_parse_memory, ''),
        'max_body': _Key(
            lambda text: parse_size(text, 1024, 3 * 1024 * 1024), '1MiB'
        ),
        'max_queue': _Key(_integer_parser(1, 100_000), '1024'),
        'max_wait': _Key(_duration_parser(0.01, 60.0), '5s'),
        'drain_timeout': _Key(_duration_parser(0.1, 3600.0), '30s'),
        'policy': _Key(_parse_policy, 'adaptive'),
        'target_limits': _Key(_parse_limits, 'fixed'),
    },
    'targets': {
        'announce_token_digest': _Key(
            _parse_optional_digest, '', private=True
        ),
    },
    'timing': {
        'renew_interval': _Key(_duration_parser(0.02, 2.0), '300ms'),
        'lease': _Key(_duration_parser(0.1, MAX_CONFIG_TTL_S), '1.2s'),
        'config_ttl': _Key(_duration_parser(0.2, MAX_CONFIG_TTL_S), '4s'),
        'suspect_after': _Key(_duration_parser(MIN_SUSPECT_S, 5.0), '800ms'),
        'log_heartbeat': _Key(_duration_parser(0.02, 1.0), '100ms'),
    },
    'log': {
        'file': _Key(_parse_optional_path, ''),
        'level': _Key(_parse_level, 'info'),
    },
}


def parse_settings(
    text: str,
    file: str,
    read: Callable[[str], bytes],
    folder: str = '.',
) -> Settings:
    """Return the validated settings of ``text``, the content of ``file``.

    ``read`` returns the content of a file or raises OSError. Relative paths
    are resolved against ``folder``, the folder of the settings file. Raises
    InvalidSettingsError with all mistakes.
    """
    return _Checker(text, file, read, folder).run()


class _Checker:
    __slots__ = (
        '_file',
        '_read_file',
        '_folder',
        '_mistakes',
        '_parser',
        '_invalid_keys',
    )

    def __init__(
        self, text: str, file: str, read: Callable[[str], bytes], folder: str
    ) -> None:
        self._file = file
        self._read_file = read
        self._folder = pathlib.PurePath(folder)
        self._mistakes: list[Mistake] = []
        self._invalid_keys: set[tuple[str, str]] = set()
        self._find_duplicates(text)
        self._parser = self._parse_ini(text)

    def run(self) -> Settings:
        for section in self._parser.sections():
            if section not in _all_sections():
                known = ', '.join(f'[{name}]' for name in _all_sections())
                self._add_mistake(
                    section, '', 'an unknown section', f'one of {known}'
                )
        settings = Settings()
        self._fill_section('node', settings.node)
        roles: frozenset[str] = getattr(settings.node, 'roles', frozenset())
        settings.control = self._fill_role('control', ControlSettings(), roles)
        settings.entry = self._fill_role('entry', EntrySettings(), roles)
        self._fill_section('targets', settings.targets)
        self._fill_section('timing', settings.timing)
        self._fill_section('log', settings.log)
        settings.operators = self._parse_operators()
        settings.regions = self._parse_regions()
        self._check_control_role(settings)
        self._check_timing(settings.timing)
        self._resolve_path(settings.node, 'data_folder')
        self._resolve_path(settings.log, 'file')
        self._load_cluster_secret(settings.node)
        if self._mistakes:
            raise InvalidSettingsError(self._mistakes)
        return settings

    def _add_mistake(
        self, section: str, key: str, found: str, allowed: str
    ) -> None:
        self._invalid_keys.add((section, key))
        mistake = Mistake(self._file, section, key, found, allowed)
        self._mistakes.append(mistake)

    def _find_duplicates(self, text: str) -> None:
        # In strict mode, configparser would stop at the first duplicate.
        section = ''
        seen: set[tuple[str, str]] = set()
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip() or line[0] in '#; \t':
                continue
            header = _SECTION_HEADER.match(line)
            key = '' if header else line.partition('=')[0].strip()
            if header:
                section = header['name']
            if (section, key) in seen:
                noun = 'section' if header else 'key'
                found = f'the {noun} repeated in line {number}'
                self._add_mistake(section, key, found, f'each {noun} once')
            seen.add((section, key))

    def _parse_ini(self, text: str) -> configparser.RawConfigParser:
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
                self._add_mistake('', '', found, 'a [section] first')
                lines[exc.lineno - 1] = '#'
                continue
            except configparser.ParsingError as exc:
                for number, _ in exc.errors:
                    found = f'line {number}, which is not key = value'
                    self._add_mistake(
                        '', '', found, '[section] or key = value'
                    )
            return parser

    def _fill_section(self, section: str, values: object) -> None:
        keys = _SECTIONS[section]
        present: dict[str, str] = {}
        if self._parser.has_section(section):
            present = dict(self._parser.items(section))
        for name in present:
            if name not in keys:
                allowed = 'one of ' + ', '.join(keys)
                self._add_mistake(section, name, 'an unknown key', allowed)
        for name, key in keys.items():
            text = present.get(name, key.default)
            alternative = _ALTERNATIVE_KEYS.get((section, name))
            if text is None and alternative in present:
                setattr(values, name, key.value_if_omitted)
                continue
            if text is None:
                self._add_mistake(
                    section, name, 'nothing', self._describe_allowed(key)
                )
                continue
            value = self._parse_value(section, name, key, text)
            if (section, name) not in self._invalid_keys:
                setattr(values, name, value)

    def _fill_role(
        self, role: str, values: _RoleSettings, roles: frozenset[str]
    ) -> _RoleSettings | None:
        present = self._parser.has_section(role)
        if role in roles or present:
            self._fill_section(role, values)
        if role in roles:
            return values
        if present and roles:
            allowed = f'this section only with the role {role}'
            self._add_mistake(role, '', 'this section', allowed)
        return None

    def _describe_allowed(self, key: _Key) -> str:
        try:
            key.parse('')
        except _InvalidValueError as exc:
            return exc.allowed
        return 'a value'

    def _parse_value(
        self, section: str, name: str, key: _Key, text: str
    ) -> Any:
        try:
            return key.parse(text)
        except _InvalidValueError as exc:
            found = exc.found or notes.show(text)
            if key.private:
                found = f'a value of {len(text)} characters'
            self._add_mistake(section, name, found, exc.allowed)
            return None

    def _parse_operators(self) -> dict[str, str]:
        operators = {}
        if self._parser.has_section('operators'):
            for name, text in self._parser.items('operators'):
                key = _Key(_parse_digest, private=True)
                if not notes.is_name(name):
                    allowed = f'an operator name of {notes.NAME_TEXT}'
                    self._add_mistake('operators', name, 'this name', allowed)
                operators[name] = self._parse_value(
                    'operators', name, key, text
                )
        # With equal digests the audit trail could name the wrong operator.
        owners: dict[str, str] = {}
        for name, digest in operators.items():
            if digest and owners.setdefault(digest, name) != name:
                found = f'the same digest as operator {owners[digest]!r}'
                self._add_mistake(
                    'operators',
                    name,
                    found,
                    'a different token for each operator',
                )
        return operators

    def _parse_regions(self) -> dict[str, str]:
        if not self._parser.has_section('regions'):
            return {}
        parsed, invalid = regions.parse_section(self._parser.items('regions'))
        for line in invalid:
            self._add_mistake('regions', line.zone, line.found, line.allowed)
        return parsed

    def _check_control_role(self, settings: Settings) -> None:
        node, control = settings.node, settings.control
        if control is None:
            return
        if not getattr(node, 'data_folder', '-'):
            allowed = 'the path of a folder, for the role control'
            self._add_mistake('node', 'data_folder', 'nothing', allowed)
        members = getattr(control, 'members', None)
        name = getattr(node, 'name', None)
        rpc = getattr(node, 'advertise_rpc', '') or getattr(node, 'rpc', None)
        if members is None or name is None or rpc is None:
            return
        if members.get(name, rpc) != rpc:
            found = f'{name}={members[name]}'
            self._add_mistake('control', 'members', found, f'{name}={rpc}')
        seeds = getattr(control, 'seeds', None)
        if (
            getattr(control, 'bootstrap', False)
            and name not in members
            and not seeds
        ):
            allowed = f'{name}={rpc} among the members, for bootstrap = true'
            self._add_mistake(
                'control', 'members', f'no member {name}', allowed
            )

    def _check_timing(self, timing: TimingSettings) -> None:
        renew = getattr(timing, 'renew_interval', None)
        lease = getattr(timing, 'lease', None)
        ttl = getattr(timing, 'config_ttl', None)
        if renew and lease and lease < renew * RENEWALS_PER_LEASE:
            allowed = f'at least {RENEWALS_PER_LEASE} times renew_interval'
            self._add_mistake('timing', 'lease', f'{lease:g}s', allowed)
        if lease and ttl and ttl < lease:
            allowed = f'at least the lease, {lease:g}s'
            self._add_mistake('timing', 'config_ttl', f'{ttl:g}s', allowed)

    def _resolve_path(self, values: object, name: str) -> None:
        path = getattr(values, name, '')
        if path and path != STANDARD_OUTPUT:
            setattr(values, name, str(self._folder / path))

    def _load_cluster_secret(self, node: NodeSettings) -> None:
        self._resolve_path(node, 'cluster_secret_file')
        path = getattr(node, 'cluster_secret_file', None)
        text = getattr(node, 'cluster_secret_text', '')
        if path is None:
            return
        if text and len(text) < MIN_SECRET_BYTES:
            found = f'a text of {len(text)} characters'
            allowed = f'at least {MIN_SECRET_BYTES} characters'
            self._add_mistake('node', 'cluster_secret_text', found, allowed)
        if text:
            node.cluster_secret = text.encode()
            return
        allowed = f'a readable file of at least {MIN_SECRET_BYTES} bytes'
        try:
            secret = self._read_file(path).strip()
        except OSError as exc:
            # The path is not shown: it may be the secret, entered by mistake.
            found = f'a path that cannot be read: {exc.strerror}'
            self._add_mistake('node', 'cluster_secret_file', found, allowed)
            return
        if len(secret) < MIN_SECRET_BYTES:
            found = f'a file of {len(secret)} bytes'
            self._add_mistake('node', 'cluster_secret_file', found, allowed)
            return
        node.cluster_secret = secret


def _all_sections() -> list[str]:
    return [*_SECTIONS, 'operators', 'regions']


def unreadable_file_error(file: str, reason: str) -> InvalidSettingsError:
    """Return the error for a settings file that cannot be read."""
    found = f'a file that cannot be read: {reason}'
    mistake = Mistake(file, '', '', found, 'a readable UTF-8 file')
    return InvalidSettingsError([mistake])
