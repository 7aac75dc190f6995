"""Tests of the limit on client connections."""

import pytest

from sassafrasridge_core import connectionlimit

MIB = 1 << 20


class TestConnectionLimits:
    @pytest.mark.parametrize(
        ('setting', 'files', 'memory', 'clients'),
        [
            (3500, 4300, 0, 3500),
            (3500, 1605, 152 * MIB, 1230),
            (3500, 4400, 56 * MIB, 341),
            (5, 100_000, 152 * MIB, 5),
        ],
    )
    def test_limit_fits_files_and_memory(
        self, setting, files, memory, clients
    ):
        """Guards against accepting clients until files or memory run out."""
        limits = connectionlimit.connection_limits(setting, files, memory)
        assert limits.clients == clients
        used = clients + limits.http + connectionlimit.RESERVED_FILES
        assert used < files

    @pytest.mark.parametrize(
        ('files', 'memory', 'remedy'),
        [(315, 0, 'ulimit -n'), (4300, 48 * MIB, 'bytes')],
    )
    def test_too_little_is_refused(self, files, memory, remedy):
        """Guards against a process that starts and refuses every client."""
        with pytest.raises(connectionlimit.ConnectionLimitError) as caught:
            connectionlimit.connection_limits(3500, files, memory)
        assert remedy in caught.value.remedy
