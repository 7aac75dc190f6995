"""Server addresses and operator token: options, environment and file."""

from collections.abc import Mapping
import configparser
import pathlib

from sassafrasridge_core import errors
from sassafrasridge_core import settings

SERVERS_VARIABLE = 'SASSAFRASRIDGE_SERVERS'
TOKEN_FILE_VARIABLE = 'SASSAFRASRIDGE_TOKEN_FILE'
CONFIG_SECTION = 'sassafrasridge'
CONFIG_KEYS = ('servers', 'token_file')
DEFAULT_SERVERS = ['127.0.0.1:8080']


class UserConfig:
    """Server addresses in order of preference, and the token file or ''."""

    __slots__ = ('servers', 'token_file')

    def __init__(self, servers: list[str], token_file: str) -> None:
        self.servers = servers
        self.token_file = token_file

    def token(self) -> str:
        """Read the operator token; raise SettingsError."""
        if not self.token_file:
            raise errors.SettingsError(
                'no operator token file is configured',
                remedy=f'Set --token-file, {TOKEN_FILE_VARIABLE} or '
                'token_file in the configuration file.',
            )
        try:
            token = pathlib.Path(self.token_file).read_text('utf-8').strip()
        except (OSError, UnicodeDecodeError) as exc:
            reason = getattr(exc, 'strerror', None) or 'it is not UTF-8'
            raise errors.SettingsError(
                f'the operator token file {self.token_file!r} cannot be '
                f'read: {reason}',
                remedy='Use a readable file with the token.',
            )
        if not token.isascii() or not token.isprintable() or not token:
            raise errors.SettingsError(
                f'the operator token file {self.token_file!r} does not hold '
                'a single line of printable ASCII characters',
                remedy='Write the token into the file.',
            )
        return token


def default_path(environ: Mapping[str, str]) -> pathlib.Path:
    """Return the path of the user's configuration file."""
    folder = environ.get('XDG_CONFIG_HOME') or '~/.config'
    return pathlib.Path(folder).expanduser() / 'sassafrasridge/config.ini'


def load(
    servers: list[str],
    token_file: str | None,
    environ: Mapping[str, str],
) -> UserConfig:
    """Return the configuration; raise SettingsError.

    Options override the environment, which overrides the configuration file
    of the user.
    """
    stored = _read_file(default_path(environ))
    addresses = (
        servers
        or _split_addresses(environ.get(SERVERS_VARIABLE, ''))
        or _split_addresses(stored.get('servers', ''))
        or DEFAULT_SERVERS
    )
    for address in addresses:
        _check_address(address)
    token_path = (
        token_file
        or environ.get(TOKEN_FILE_VARIABLE)
        or stored.get('token_file', '')
    )
    if token_path:
        token_path = str(pathlib.Path(token_path).expanduser())
    return UserConfig(addresses, token_path)


def _split_addresses(text: str) -> list[str]:
    return [part for part in text.replace(',', ' ').split() if part]


def _check_address(address: str) -> None:
    try:
        settings.split_address(address)
    except ValueError:
        raise errors.SettingsError(
            f'server address {address[:80]!r} is not an IPv4 address and port',
            remedy='Use a form like 127.0.0.1:8080.',
        )


def _read_file(path: pathlib.Path) -> dict[str, str]:
    parser = configparser.RawConfigParser(delimiters=('=',))
    try:
        parser.read_string(path.read_text('utf-8'), str(path))
    except FileNotFoundError:
        return {}
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise errors.SettingsError(
            f'the configuration file {str(path)!r} cannot be read or parsed: '
            f'{type(exc).__name__}',
            remedy=f'Use a section [{CONFIG_SECTION}] with the keys '
            f'{" and ".join(CONFIG_KEYS)}.',
        )
    if not parser.has_section(CONFIG_SECTION):
        return {}
    stored = dict(parser.items(CONFIG_SECTION))
    unknown = sorted(set(stored) - set(CONFIG_KEYS))
    if unknown:
        raise errors.SettingsError(
            f'the configuration file {str(path)!r} has unknown keys: '
            f'{", ".join(unknown)}',
            remedy=f'Use only {" and ".join(CONFIG_KEYS)}.',
        )
    return stored
