"""Tests of the transaction log of the stand-in database server."""

import pytest

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import txlog


def _entry(term, id_):
    row = engine.RequestRow('acme', id_, 'digest', None, 1.0)
    return txlog.Entry(term, [engine.Statement('SELECT ?', [id_])], row)


@pytest.fixture
def path(tmp_path):
    return tmp_path / 'g1.log'


class TestLog:
    def test_log_survives_a_restart(self, path):
        """Guards against a primary that restarts without its log."""
        log = txlog.Log(path)
        for number in range(4):
            log.append(_entry(1, str(number)))
        log.truncate(3)
        log.term = 2
        log.enter_term(2, 3)
        log.append(_entry(2, 'new'))
        reloaded = txlog.Log(path)

        assert [entry.encode() for entry in reloaded.entries] == [
            entry.encode() for entry in log.entries
        ]
        assert (reloaded.term, reloaded.last_term, reloaded.start) == (2, 2, 3)
        assert reloaded.request_index('acme', 'new') == 4
        assert reloaded.request_index('acme', '3') == 0

    def test_partial_last_record_is_dropped(self, path):
        """Guards against a server that can't start after a killed write."""
        log = txlog.Log(path)
        log.append(_entry(1, 'a'))
        with path.open('ab') as file:
            file.write(b'{"entry": {"ter')
        log = txlog.Log(path)
        log.append(_entry(1, 'b'))

        assert len(txlog.Log(path)) == 2

    def test_truncation_before_a_term_lowers_the_last_term(self):
        """Guards against a last term that is kept after its start is cut."""
        log = txlog.Log()
        for number in range(4):
            log.append(_entry(1, str(number)))
        log.enter_term(3, 4)
        log.truncate(4)
        assert log.last_term == 3
        log.truncate(2)
        assert log.last_term == 1
