"""Tests of the structured log."""

import json

from sassafrasridge_node import logs


class TestLogSink:
    def test_lines_are_json_with_the_process_fields(self, tmp_path):
        """Guards against lines that can't be told apart by process."""
        path = tmp_path / 'log'
        sink = logs.LogSink(str(path), entry='e1')
        logs.change('lease_lost', revision=7)
        sink.close()
        logs.change('after_close')
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        assert len(lines) == 1
        assert lines[0]['message_type'] == 'sassafrasridge:lease_lost'
        assert (lines[0]['entry'], lines[0]['revision']) == ('e1', 7)
