"""Plots of measured costs and their fitted lines."""

import pathlib

import matplotlib

matplotlib.use('Agg')

import matplotlib.pyplot  # noqa: E402
import numpy  # noqa: E402

from sassafrasridge_testkit import slopefit  # noqa: E402

SIZE_INCHES = (4.0, 2.6)
DPI = 70


def plot(series: slopefit.CostSeries, folder: pathlib.Path) -> pathlib.Path:
    """Write a PNG of all samples and the fitted line; return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    figure, axes = matplotlib.pyplot.subplots(figsize=SIZE_INCHES)
    for x, ys in sorted(series.samples.items()):
        axes.plot([x] * len(ys), ys, 'k.', markersize=3)
    line = series.fit()
    xs = numpy.linspace(0, max(series.samples), 20)
    axes.plot(xs, line.intercept + line.slope * xs, 'b-', linewidth=1)
    error = line.intercept_error + line.slope_error * xs
    fitted = line.intercept + line.slope * xs
    axes.fill_between(xs, fitted - error, fitted + error, alpha=0.2)
    axes.set_title(series.name, fontsize=8)
    axes.set_xlabel(series.x_unit, fontsize=7)
    axes.set_ylabel(series.y_unit, fontsize=7)
    axes.tick_params(labelsize=6)
    figure.tight_layout()
    path = folder / f'{series.name}.png'
    figure.savefig(path, dpi=DPI, metadata={'Software': None})
    matplotlib.pyplot.close(figure)
    return path
