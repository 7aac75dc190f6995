"""Tests of the latency measurements of ``make figures``."""

import pytest

from sassafrasridge_testkit import figures


class TestLatency:
    def test_one_sample_above_the_limit_is_reported(self):
        """Guards against a limit check that ignores the worst sample."""
        assert figures.Latency('gap', [1.0, 1.0, 8.0], 8.0).within_limit
        assert not figures.Latency('gap', [1.0, 1.0, 8.1], 8.0).within_limit

    def test_latency_without_a_limit(self):
        """Guards against a failed limit check if no limit is stated."""
        assert figures.Latency('gap', [100.0]).within_limit


class TestWriteLoop:
    @pytest.mark.parametrize(
        ('acknowledged', 'gap'),
        [
            # Sent before the fault and acknowledged late: the gap goes on.
            ([(0.0, 0.1), (0.9, 2.0)], None),
            ([(0.0, 0.1), (2.0, 2.5)], 2.4),
            # A write in flight during the fault is acknowledged after it.
            ([(0.0, 0.1), (0.9, 1.1), (1.2, 3.0)], 1.9),
        ],
    )
    def test_acknowledgement_gap(self, acknowledged, gap):
        """Guards against a gap ended by a write sent before the fault."""
        writer = figures.WriteLoop(None)
        writer.acknowledged_writes = acknowledged
        found = writer.acknowledgement_gap(1.0)
        assert found == (gap if gap is None else pytest.approx(gap))
