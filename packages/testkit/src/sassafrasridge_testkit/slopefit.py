"""Linear fits of measured costs, and reading and writing their files."""

import collections.abc
import math
import pathlib
import typing

import numpy
import orjson

MIN_POINTS = 4


class LineFit:
    """Hold a least-squares line; errors are one standard deviation each."""

    __slots__ = (
        'slope',
        'intercept',
        'slope_error',
        'intercept_error',
        'residual',
    )

    def __init__(
        self,
        slope: float,
        intercept: float,
        slope_error: float,
        intercept_error: float,
        residual: float,
    ) -> None:
        self.slope = slope
        self.intercept = intercept
        self.slope_error = slope_error
        self.intercept_error = intercept_error
        self.residual = residual

    def value_at(self, x: float) -> float:
        """Return the value of the line at x."""
        return self.intercept + self.slope * x

    def error_bound_at(self, x: float) -> float:
        """Return an upper bound of the error at x: the sum of both errors."""
        return self.intercept_error + self.slope_error * abs(x)

    def as_json(self) -> dict[str, float]:
        """Return a JSON-serializable form."""
        return {name: getattr(self, name) for name in self.__slots__}


def fit_line(
    xs: collections.abc.Sequence[float], ys: collections.abc.Sequence[float]
) -> LineFit:
    """Return the least-squares line through the points.

    Raises ValueError for fewer than four points, for lists of different
    lengths, or if all ``xs`` are equal.
    """
    if len(xs) != len(ys) or len(xs) < MIN_POINTS:
        raise ValueError(
            f'a fit needs as many xs as ys and at least {MIN_POINTS} points, '
            f'got {len(xs)} xs and {len(ys)} ys'
        )
    x = numpy.asarray(xs, dtype=float)
    y = numpy.asarray(ys, dtype=float)
    x_deviation_squares = float(((x - x.mean()) ** 2).sum())
    if x_deviation_squares == 0:
        raise ValueError(f'all {len(xs)} points have the same x')
    slope = (
        float(((x - x.mean()) * (y - y.mean())).sum()) / x_deviation_squares
    )
    intercept = float(y.mean()) - slope * float(x.mean())
    residual_squares = float(((y - intercept - slope * x) ** 2).sum())
    variance = residual_squares / (len(x) - 2)
    x_mean_square = float((x**2).mean())
    return LineFit(
        slope,
        intercept,
        math.sqrt(variance / x_deviation_squares),
        math.sqrt(variance * x_mean_square / x_deviation_squares),
        math.sqrt(variance),
    )


class CostSeries:
    """Hold samples of one cost measured at several sizes."""

    def __init__(
        self,
        name: str,
        title: str,
        x_unit: str,
        y_unit: str,
        command: str = 'make slopes',
        note: str = '',
    ) -> None:
        self.name = name
        self.title = title
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.command = command
        self.note = note
        self.samples: dict[float, list[float]] = {}

    def add(self, x: float, *ys: float) -> None:
        """Add one or more samples measured at size x."""
        self.samples.setdefault(float(x), []).extend(ys)

    def points(self) -> list[tuple[float, float]]:
        """Return the sizes in ascending order, each with its median sample."""
        return [
            (x, float(numpy.median(ys)))
            for x, ys in sorted(self.samples.items())
        ]

    def fit(self) -> LineFit:
        """Return the least-squares line through the medians."""
        points = self.points()
        return fit_line([x for x, _ in points], [y for _, y in points])

    def as_json(self) -> dict[str, typing.Any]:
        """Return a JSON-serializable form."""
        return {
            'name': self.name,
            'title': self.title,
            'command': self.command,
            'note': self.note,
            'unit': f'{self.y_unit} per {self.x_unit}',
            'x_unit': self.x_unit,
            'y_unit': self.y_unit,
            'points': self.points(),
            'samples': [[x, ys] for x, ys in sorted(self.samples.items())],
            'fit': self.fit().as_json(),
        }

    def write(self, folder: pathlib.Path) -> pathlib.Path:
        """Write the series as ``NAME.json`` and return the path."""
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f'{self.name}.json'
        path.write_bytes(
            orjson.dumps(self.as_json(), option=orjson.OPT_INDENT_2)
        )
        return path


def read_fit(folder: pathlib.Path, name: str) -> LineFit:
    """Return the fit from a file written by ``CostSeries.write``."""
    data = orjson.loads((folder / f'{name}.json').read_bytes())
    return LineFit(**data['fit'])
