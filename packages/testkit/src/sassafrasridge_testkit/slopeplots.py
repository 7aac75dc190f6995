"""Plots of measured slopes."""

import pathlib

import matplotlib

matplotlib.use('Agg')

import matplotlib.pyplot  # noqa: E402
import numpy  # noqa: E402

from sassafrasridge_testkit import slopefit  # noqa: E402

SIZE_INCHES = (4.0, 2.6)
DPI = 70


def plot(slope: slopefit.Slope, folder: pathlib.Path) -> pathlib.Path:
    """Write a PNG with all samples and the line through the medians."""
    folder.mkdir(parents=True, exist_ok=True)
    figure, axes = matplotlib.pyplot.subplots(figsize=SIZE_INCHES)
    for x, ys in sorted(slope.samples.items()):
        axes.plot([x] * len(ys), ys, 'k.', markersize=3)
    line = slope.fit()
    xs = numpy.linspace(0, max(slope.samples), 20)
    axes.plot(xs, line.intercept + line.slope * xs, 'b-', linewidth=1)
    error = line.intercept_error + line.slope_error * xs
    middle = line.intercept + line.slope * xs
    axes.fill_between(xs, middle - error, middle + error, alpha=0.2)
    axes.set_title(slope.name, fontsize=8)
    axes.set_xlabel(slope.x_unit, fontsize=7)
    axes.set_ylabel(slope.y_unit, fontsize=7)
    axes.tick_params(labelsize=6)
    figure.tight_layout()
    path = folder / f'{slope.name}.png'
    figure.savefig(path, dpi=DPI, metadata={'Software': None})
    matplotlib.pyplot.close(figure)
    return path
