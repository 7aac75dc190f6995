"""Where the command line finds the servers and the operator token."""

from collections.abc import Mapping
import configparser
import pathlib

from sassafrasridge_core import errors
from sassafrasridge_core import settings

SERVERS_VARIABLE = 'SASSAFRASRIDGE_SERVERS'
TOKEN_FILE_VARIABLE = 'SASSAFRASRIDGE_TOKEN_FILE'
SECTION = 'sassafrasridge'
KEYS = ('servers', 'token_file')
DEFAULT_SERVERS = ['127.0.0.1:8080']


class UserConfig:
    """Hold the addresses to try in order, and the token file or ''."""

    __slots__ = ('servers', 'token_file')

    def __init__(self, servers: list[str], token_file: str) -> None:
        self.servers = servers
        self.token_file = token_file

    def token(self) -> str:
        """Return the operator token; SettingsError if there is none."""
        if not self.token_file:
            raise errors.SettingsError(
                'no operator token file is set',
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
                remedy='Name a readable file that holds the token.',
            )
        if not token.isascii() or not token.isprintable() or not token:
            raise errors.SettingsError(
                f'the operator token file {self.token_file!r} does not hold '
                'one line of ASCII characters',
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
    """Return the configuration.

    Options have precedence over the environment, and the environment over
    the user's configuration file.
    """
    stored = _read(default_path(environ))
    chosen = (
        servers
        or _split(environ.get(SERVERS_VARIABLE, ''))
        or _split(stored.get('servers', ''))
        or DEFAULT_SERVERS
    )
    for address in chosen:
        _check(address)
    chosen_file = (
        token_file
        or environ.get(TOKEN_FILE_VARIABLE)
        or stored.get('token_file', '')
    )
    if chosen_file:
        chosen_file = str(pathlib.Path(chosen_file).expanduser())
    return UserConfig(chosen, chosen_file)


def _split(text: str) -> list[str]:
    return [part for part in text.replace(',', ' ').split() if part]


def _check(address: str) -> None:
    try:
        settings.split_address(address)
    except ValueError:
        raise errors.SettingsError(
            f'server address {address[:80]!r} is not an IPv4 address and port',
            remedy='Write it like 127.0.0.1:8080.',
        )


def _read(path: pathlib.Path) -> dict[str, str]:
    parser = configparser.RawConfigParser(delimiters=('=',))
    try:
        parser.read_string(path.read_text('utf-8'), str(path))
    except FileNotFoundError:
        return {}
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise errors.SettingsError(
            f'the configuration file {str(path)!r} is unusable: '
            f'{type(exc).__name__}',
            remedy=f'Write section [{SECTION}] with the keys '
            f'{" and ".join(KEYS)}.',
        )
    if not parser.has_section(SECTION):
        return {}
    stored = dict(parser.items(SECTION))
    unknown = sorted(set(stored) - set(KEYS))
    if unknown:
        raise errors.SettingsError(
            f'the configuration file {str(path)!r} has unknown keys: '
            f'{", ".join(unknown)}',
            remedy=f'Use only {" and ".join(KEYS)}.',
        )
    return stored
