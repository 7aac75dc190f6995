"""Tests of the measurement of figures."""

import pytest

from sassafrasridge_testkit import figures


class TestFigure:
    def test_one_sample_above_the_limit_is_reported(self):
        """Guards against a worst case hidden by the median."""
        assert figures.Figure('gap', [1.0, 1.0, 8.0], 8.0).kept
        assert not figures.Figure('gap', [1.0, 1.0, 8.1], 8.0).kept

    def test_figure_without_a_limit(self):
        """Guards against judging by a limit that was never stated."""
        assert figures.Figure('gap', [100.0]).kept


class TestWriter:
    @pytest.mark.parametrize(
        ('acknowledged', 'gap'),
        [
            # Sent before the fault and answered late: not yet over.
            ([(0.0, 0.1), (0.9, 2.0)], None),
            ([(0.0, 0.1), (2.0, 2.5)], 2.4),
            # A write in flight is acknowledged after the fault.
            ([(0.0, 0.1), (0.9, 1.1), (1.2, 3.0)], 1.9),
        ],
    )
    def test_gap(self, acknowledged, gap):
        """Guards against ending a gap by a write from before the fault."""
        writer = figures.Writer(None)
        writer.acknowledged = acknowledged
        found = writer.gap_after(1.0)
        assert found == (gap if gap is None else pytest.approx(gap))
