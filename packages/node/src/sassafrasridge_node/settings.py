"""Loading of the daemon's INI settings file."""

import pathlib

from sassafrasridge_core import settings

Settings = settings.Settings
ControlSettings = settings.ControlSettings
InvalidSettingsError = settings.InvalidSettingsError
split_address = settings.split_address


def load(path: str) -> Settings:
    """Return the settings of a file.

    Raises InvalidSettingsError, which lists every mistake, also if a file
    cannot be read.
    """
    file = pathlib.Path(path)
    try:
        text = file.read_text(encoding='utf-8')
    except OSError as exc:
        raise settings.unreadable_file_error(
            path, exc.strerror or 'unknown error'
        )
    except UnicodeDecodeError:
        raise settings.unreadable_file_error(path, 'it is not UTF-8')
    return settings.parse_settings(text, path, _read, str(file.parent))


def _read(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
