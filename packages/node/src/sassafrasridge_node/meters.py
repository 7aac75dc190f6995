"""Counters, gauges and histograms that prometheus_client renders on demand.

A process counts from its start, but imports prometheus_client only when its
metrics are first requested: the import takes a tenth of the processor time of
a start, which is scarce when all VMs restart after a loss of power.
"""

import abc
import bisect
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import threading
import time
import typing

Labels = tuple[str, ...]


class Meter(abc.ABC):
    """Hold one metric: its values by the values of its labels."""

    __slots__ = ('name', 'text', '_label_names', '_children', '_lock')

    def __init__(self, name: str, text: str, labels: Labels = ()) -> None:
        self.name = name
        self.text = text
        self._label_names = labels
        self._children: dict[Labels, typing.Self] = {}
        self._lock = threading.Lock()

    @abc.abstractmethod
    def _child(self) -> typing.Self:
        """Return a new metric without labels."""

    def labels(self, *values: str) -> typing.Self:
        """Return the metric for values of the labels."""
        if len(values) != len(self._label_names):
            raise ValueError(f'{self.name} has labels {self._label_names}')
        with self._lock:
            child = self._children.get(values)
            if child is None:
                child = self._children[values] = self._child()
            return child

    def _items(self) -> list[tuple[Labels, typing.Self]]:
        """Return the metrics that hold values, by values of the labels."""
        if not self._label_names:
            return [((), self)]
        with self._lock:
            return list(self._children.items())

    @abc.abstractmethod
    def family(self) -> typing.Any:
        """Return the values as a metric family of prometheus_client."""


class Counter(Meter):
    """Count events."""

    __slots__ = ('value', '_created_at')

    def __init__(self, name: str, text: str, labels: Labels = ()) -> None:
        super().__init__(name, text, labels)
        self.value = 0.0
        self._created_at = time.time()

    def _child(self) -> 'Counter':
        return Counter(self.name, self.text)

    def inc(self, amount: float = 1) -> None:
        """Add to the counter."""
        with self._lock:
            self.value += amount

    def family(self) -> typing.Any:
        """Return the values as a metric family of prometheus_client."""
        from prometheus_client import metrics_core

        found = metrics_core.CounterMetricFamily(
            self.name, self.text, labels=self._label_names
        )
        for values, child in self._items():
            found.add_metric(values, child.value, child._created_at)
        return found


class Gauge(Meter):
    """Hold a value that is set, or read when the metrics are rendered."""

    __slots__ = ('_read',)

    def __init__(self, name: str, text: str, labels: Labels = ()) -> None:
        super().__init__(name, text, labels)
        self._read: Callable[[], float] = float

    def _child(self) -> 'Gauge':
        return Gauge(self.name, self.text)

    def set(self, value: float) -> None:
        """Set the value."""
        self._read = lambda: value

    def set_function(self, read: Callable[[], float]) -> None:
        """Call ``read`` for the value when the metrics are rendered."""
        self._read = read

    def family(self) -> typing.Any:
        """Return the values as a metric family of prometheus_client."""
        from prometheus_client import metrics_core

        found = metrics_core.GaugeMetricFamily(
            self.name, self.text, labels=self._label_names
        )
        for values, child in self._items():
            found.add_metric(values, float(child._read()))
        return found


class Histogram(Meter):
    """Count observed values by upper bound."""

    __slots__ = ('_bounds', '_counts', '_sum', '_created_at')

    def __init__(
        self,
        name: str,
        text: str,
        labels: Labels = (),
        *,
        bounds: Sequence[float],
    ) -> None:
        super().__init__(name, text, labels)
        self._bounds = (*bounds, float('inf'))
        self._counts = [0] * len(self._bounds)
        self._sum = 0.0
        self._created_at = time.time()

    def _child(self) -> 'Histogram':
        return Histogram(self.name, self.text, bounds=self._bounds[:-1])

    def observe(self, value: float) -> None:
        """Count a value."""
        with self._lock:
            self._counts[bisect.bisect_left(self._bounds, value)] += 1
            self._sum += value

    def family(self) -> typing.Any:
        """Return the values as a metric family of prometheus_client."""
        from prometheus_client import metrics_core
        from prometheus_client import utils

        found = metrics_core.HistogramMetricFamily(
            self.name, self.text, labels=self._label_names
        )
        for values, child in self._items():
            total = 0
            buckets = []
            for bound, count in zip(child._bounds, child._counts, strict=True):
                total += count
                buckets.append((utils.floatToGoString(bound), total))
            found.add_metric(values, buckets, child._sum)
            found.add_sample(
                self.name + '_created',
                dict(zip(self._label_names, values, strict=True)),
                child._created_at,
            )
        return found


class MeterCollector:
    """Collect metrics for a registry of prometheus_client."""

    def __init__(self) -> None:
        self._meters: list[Meter] = []

    def add(self, meter: Meter) -> None:
        """Add a metric."""
        self._meters.append(meter)

    def collect(self) -> Iterator[typing.Any]:
        """Return all metric families."""
        for meter in self._meters:
            yield meter.family()
