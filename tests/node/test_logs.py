"""Tests of the structured log."""

import json
import threading

import eliot
import pytest

from sassafrasridge_node import logs


@pytest.fixture(autouse=True)
def no_earlier_messages():
    """Discard messages that eliot buffered during other tests.

    Without a destination, eliot keeps messages and passes them to the first
    one that is added.
    """

    def drop(message):
        return None

    eliot.add_destinations(drop)
    eliot.remove_destination(drop)


class TestLogSink:
    def test_lines_are_json_with_the_process_fields(self, tmp_path):
        """Guards against lines that do not name the process they come from."""
        path = tmp_path / 'log'
        sink = logs.LogSink(str(path), entry='e1')
        logs.log_event('lease_lost', revision=7)
        sink.close()
        logs.log_event('after_close')
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        assert len(lines) == 1
        assert lines[0]['message_type'] == 'sassafrasridge:lease_lost'
        assert (lines[0]['entry'], lines[0]['revision']) == ('e1', 7)

    def test_standard_output_gets_lines_from_a_thread(self, capfd):
        """Guards against a writer thread that stops after its first line."""
        sink = logs.LogSink(logs.STANDARD_OUTPUT, entry='e2')
        logs.log_event('lease_lost', revision=7)
        logs.log_event('lease_gained', revision=8)
        logs.drain(5.0)
        sink.close()
        lines = capfd.readouterr().out.splitlines()
        kinds = [json.loads(line)['message_type'] for line in lines]
        assert kinds == [
            'sassafrasridge:lease_lost',
            'sassafrasridge:lease_gained',
        ]

    def test_blocked_reader_does_not_block_writers(self):
        """Guards against tasks that block on a full pipe."""
        blocked = threading.Event()
        unblock = threading.Event()

        class BlockedFile:
            def write(self, text):
                blocked.set()
                unblock.wait(10)

            def flush(self):
                pass

        file = logs._BackgroundWriter(BlockedFile())
        # Once the writer thread has taken a line and blocks, it cannot reset
        # the counter of dropped lines while the queue fills up.
        file.write('first\n')
        assert blocked.wait(10)
        for number in range(logs.MAX_QUEUED_LINES + 49):
            file.write(f'{number}\n')
        assert file.dropped == 49
        unblock.set()


class FullDisk:
    """A file whose writes fail while ``full`` is set."""

    def __init__(self):
        self.full = True
        self.written = []

    def write(self, text):
        if self.full:
            raise OSError(28, 'no space')
        self.written.append(text)

    def flush(self):
        return None


class TestBackgroundWriter:
    def test_logging_resumes_after_full_disk(self):
        """Guards against a writer thread that ends on a failed write."""
        disk = FullDisk()
        file = logs._BackgroundWriter(disk)
        file.write('one\n')
        file.write('two\n')
        file.drain(1.0)
        disk.full = False
        file.write('three\n')
        file.drain(1.0)
        assert disk.written == ['{"log_lines_dropped":2}\n', 'three\n']


class TestDecisionLog:
    def test_lines_above_the_limit_cost_no_context(self, monkeypatch):
        """Guards against work for lines that an overload leaves out."""
        lines, contexts = [], []
        monkeypatch.setattr(
            logs, 'log_event', lambda event, **fields: lines.append(fields)
        )
        decisions = logs.DecisionLog(lambda: 10.0)

        def context():
            contexts.append(1)
            return {'lease': True}

        for number in range(3 * logs.MAX_DECISIONS_PER_S):
            decisions.write('statement_failed', context, id=number)
        assert len(contexts) == len(lines) == logs.MAX_DECISIONS_PER_S
        assert lines[0] == {'id': 0, 'lease': True}
