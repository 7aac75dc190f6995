"""Tests of line fits of measured costs."""

import orjson
import pytest

from sassafrasridge_testkit import slopefit

NOISE = (0.5, -0.5, -0.5, 0.5)


class TestFit:
    def test_line_is_found_exactly(self):
        """Guards against a wrong slope or intercept."""
        line = slopefit.fit_line([0, 1, 2, 4], [3, 5, 7, 11])
        assert line.slope == pytest.approx(2.0)
        assert line.intercept == pytest.approx(3.0)
        assert line.slope_error == pytest.approx(0.0, abs=1e-9)
        assert line.value_at(10) == pytest.approx(23.0)

    def test_errors_are_those_of_least_squares(self):
        """Guards against errors that are too small for the scatter."""
        xs = [0.0, 1.0, 2.0, 3.0]
        line = slopefit.fit_line(
            xs, [2 * x + e for x, e in zip(xs, NOISE, strict=True)]
        )
        # Residual variance 1/2; sum of squared deviations of x 5.
        assert line.residual == pytest.approx(0.5**0.5)
        assert line.slope_error == pytest.approx((0.5 / 5) ** 0.5)
        assert line.intercept_error == pytest.approx((0.5 * 3.5 / 5) ** 0.5)
        assert line.error_bound_at(10) == pytest.approx(
            line.intercept_error + 10 * line.slope_error
        )

    @pytest.mark.parametrize(
        ('xs', 'ys'),
        [
            ([1, 2, 3], [1, 2, 3]),
            ([1, 1, 1, 1], [1, 2, 3, 4]),
            ([1, 2, 3, 4], [1, 2, 3]),
        ],
    )
    def test_invalid_points_raise(self, xs, ys):
        """Guards against a fit of too few or inconsistent points."""
        with pytest.raises(ValueError):
            slopefit.fit_line(xs, ys)


class TestSlope:
    def make_series(self):
        series = slopefit.CostSeries('cost', 'Cost', 'item', 's')
        for x in (3, 1, 2, 4):
            series.add(x, 2.0 * x, 2.0 * x + 0.1, 100.0)
        return series

    def test_outlier_does_not_move_the_line(self):
        """Guards against one disturbed repetition changing the fit."""
        series = self.make_series()
        assert series.points() == [(x, 2.0 * x + 0.1) for x in (1, 2, 3, 4)]
        assert series.fit().slope == pytest.approx(2.0)

    def test_written_file_is_read_back(self, tmp_path):
        """Guards against a file that gives back a different fit."""
        series = self.make_series()
        data = orjson.loads(series.write(tmp_path).read_bytes())
        assert data['unit'] == 's per item'
        assert data['command'] == 'make slopes'
        assert len(data['points']) == 4
        assert data['samples'][0] == [1.0, [2.0, 2.1, 100.0]]
        line = slopefit.read_fit(tmp_path, 'cost')
        assert line.as_json() == series.fit().as_json()
