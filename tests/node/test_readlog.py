"""Tests of the log lines on reads after a change of primary."""

import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import model
from sassafrasridge_node import logs
from sassafrasridge_node import readlog
from tests.node import test_sessionfront as front


@pytest.fixture
def lines(monkeypatch):
    """Return the fields of all lines on reads, in order."""
    found = []

    def log_event(event, **fields):
        if event == 'read_decided':
            found.append(fields)

    monkeypatch.setattr(logs, 'log_event', log_event)
    return found


def change_primary(process, term, primary):
    state = process.state
    known, view = state.groups['g'], model.GroupView('g', term, primary)
    state.groups['g'] = view
    state._on_primary_change(known, view)


class TestReadLog:
    def test_a_read_after_a_change_says_what_decided_it(self, lines):
        """Guards against a stale read whose cause can't be told."""
        process = front.EntryProcess(configuration.SESSION)
        process.run(front.read())
        change_primary(process, 3, 's')
        process.run(front.read(), front.write(), front.read())
        assert [line['basis'] for line in lines] == ['primary', 'session']
        first, second = lines
        assert (first['target'], first['view_term']) == ('s', 3)
        assert (second['floor'], second['result']) == ('1.10', 'done')
        assert second['floor_age_s'] < 1.0

    def test_reads_without_a_change_are_only_counted(self, lines):
        """Guards against a line for each read of a usual day."""
        process = front.EntryProcess()
        process.run(front.read(), front.read())
        assert not lines
        assert process.state.metrics.session_reads['primary'].value == 2

    def test_the_lines_of_a_change_are_limited(self, lines):
        process = front.EntryProcess()
        process.run(front.read())
        change_primary(process, 3, 'r')
        process.run(*[front.read()] * (readlog.MAX_LOGGED_READS + 5))
        assert len(lines) == readlog.MAX_LOGGED_READS

    def test_the_first_read_of_a_group_may_follow_a_change(self, lines):
        """Guards against a change without lines in a group seldom read."""
        process = front.EntryProcess(configuration.SESSION)
        change_primary(process, 3, 's')
        process.run(front.read())
        assert len(lines) == 1
