"""Tests of the configuration of servers and token."""

import pytest

from sassafrasridge_cli import userconfig
from sassafrasridge_core import errors


@pytest.fixture
def environ(tmp_path):
    folder = tmp_path / 'sassafrasridge'
    folder.mkdir()
    (folder / 'config.ini').write_text(
        '[sassafrasridge]\nservers = 127.0.0.1:1, 127.0.0.1:2\n'
        'token_file = /stored\n'
    )
    return {'XDG_CONFIG_HOME': str(tmp_path)}


class TestLoad:
    def test_precedence(self, environ):
        """Guards against sending commands to the wrong system."""
        cfg = userconfig.load([], None, environ)
        assert cfg.servers == ['127.0.0.1:1', '127.0.0.1:2']
        assert cfg.token_file == '/stored'
        environ[userconfig.SERVERS_VARIABLE] = '127.0.0.1:3'
        environ[userconfig.TOKEN_FILE_VARIABLE] = '/env'
        cfg = userconfig.load([], None, environ)
        assert (cfg.servers, cfg.token_file) == (['127.0.0.1:3'], '/env')
        cfg = userconfig.load(['127.0.0.1:4'], '/option', environ)
        assert (cfg.servers, cfg.token_file) == (['127.0.0.1:4'], '/option')

    def test_invalid_configuration(self, environ, tmp_path):
        """Guards against silently ignored settings."""
        with pytest.raises(errors.SettingsError):
            userconfig.load(['example.org'], None, environ)
        path = tmp_path / 'sassafrasridge/config.ini'
        for text in ('servers = x\n', '[sassafrasridge]\nserver = x\n'):
            path.write_text(text)
            with pytest.raises(errors.SettingsError):
                userconfig.load([], None, environ)


class TestToken:
    @pytest.mark.parametrize('content', [b'', b'a\nb', b'\xff'])
    def test_invalid_token_file_raises_settings_error(self, tmp_path, content):
        """Guards against requests with a malformed header."""
        path = tmp_path / 'token'
        path.write_bytes(content)
        for name in ('', str(path), f'{path}.missing'):
            with pytest.raises(errors.SettingsError):
                userconfig.UserConfig([], name).token()
