"""Tests of loading settings files."""

import pathlib
import shutil

import pytest

from sassafrasridge_node import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class TestLoad:
    def test_relative_paths_start_at_the_settings_file(self, tmp_path):
        """Guards against paths relative to the working directory."""
        text = (EXAMPLES / 'both.ini').read_text()
        text = text.replace('/var/lib/sassafrasridge', 'data')
        (tmp_path / 'both.ini').write_text(text)
        (tmp_path / 'cluster-secret').write_text('s' * 32)
        result = settings.load(str(tmp_path / 'both.ini'))
        assert result.node.cluster_secret == b's' * 32
        assert result.node.data_folder == str(tmp_path / 'data')

    def test_unreadable_files(self, tmp_path):
        """Guards against a traceback in place of an error with a remedy."""
        shutil.copy(EXAMPLES / 'both.ini', tmp_path / 'both.ini')
        for name in ('missing.ini', 'both.ini'):
            with pytest.raises(settings.InvalidSettingsError) as caught:
                settings.load(str(tmp_path / name))
            assert 'cannot be read' in caught.value.render()
