"""Linear fits of measured costs, and the files that keep them."""

import collections.abc
import math
import pathlib
import typing

import numpy
import orjson

MIN_POINTS = 4


class Fit:
    """Hold a least-squares line; errors are one standard deviation."""

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

    def at(self, x: float) -> float:
        """Return the value of the line."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return a bound of the line's error: both errors added."""
        return self.intercept_error + self.slope_error * abs(x)

    def as_json(self) -> dict[str, float]:
        """Return a JSON-able form."""
        return {name: getattr(self, name) for name in self.__slots__}


def fit(
    xs: collections.abc.Sequence[float], ys: collections.abc.Sequence[float]
) -> Fit:
    """Return the least-squares line through the points.

    Raises ValueError for fewer than four points or for equal ``xs``.
    """
    if len(xs) != len(ys) or len(xs) < MIN_POINTS:
        raise ValueError(f'a fit needs at least {MIN_POINTS} points')
    x = numpy.asarray(xs, dtype=float)
    y = numpy.asarray(ys, dtype=float)
    spread = float(((x - x.mean()) ** 2).sum())
    if spread == 0:
        raise ValueError('the points have one x')
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * float(x.mean())
    squares = float(((y - intercept - slope * x) ** 2).sum())
    variance = squares / (len(x) - 2)
    mean_square = float((x**2).mean())
    return Fit(
        slope,
        intercept,
        math.sqrt(variance / spread),
        math.sqrt(variance * mean_square / spread),
        math.sqrt(variance),
    )


class Slope:
    """Hold the samples of one cost at several sizes."""

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
        """Record repetitions of the measurement at one size."""
        self.samples.setdefault(float(x), []).extend(ys)

    def points(self) -> list[tuple[float, float]]:
        """Return each size with the median of its samples."""
        return [
            (x, float(numpy.median(ys)))
            for x, ys in sorted(self.samples.items())
        ]

    def fit(self) -> Fit:
        """Return the line through the medians."""
        points = self.points()
        return fit([x for x, _ in points], [y for _, y in points])

    def as_json(self) -> dict[str, typing.Any]:
        """Return a JSON-able form."""
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
        """Write the JSON file of the slope and return its path."""
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f'{self.name}.json'
        path.write_bytes(
            orjson.dumps(self.as_json(), option=orjson.OPT_INDENT_2)
        )
        return path


def read_fit(folder: pathlib.Path, name: str) -> Fit:
    """Return the fit in a file that ``Slope.write`` wrote."""
    data = orjson.loads((folder / f'{name}.json').read_bytes())
    return Fit(**data['fit'])
