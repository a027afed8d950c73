"""Counters, gauges and histograms, rendered for scraping."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from primrosehub.kernel import Kernel

_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0]


class MetricsRegistry:
    """Create each metric when it is first used."""

    def __init__(self, kernel: Kernel) -> None:
        self._registry = Registry()
        self._metrics: dict[str, Any] = {}

    def start(self, stack: ExitStack) -> None:
        """Do nothing, as there is nothing to start."""

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        self._get_or_create(Counter, f"primrosehub_{name}_total").add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        self._get_or_create(Gauge, f"primrosehub_{name}").set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add one duration to a histogram."""
        metric = self._get_or_create(
            Histogram, f"primrosehub_{name}", buckets=_BUCKETS_S
        )
        metric.observe(labels, seconds)

    def byte_counter(self, part: str) -> Callable[[int], None]:
        """Return a function that counts bytes of control traffic under this label."""

        def count_bytes(size: int) -> None:
            self.count("control_bytes", size, part=part)

        return count_bytes

    def render(self, accepts: str) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its headers."""
        return render(self._registry, [accepts])

    def _get_or_create(self, kind: type[Any], name: str, **options: Any) -> Any:
        metric = self._metrics.get(name)
        if metric is None:
            doc = name.replace("_", " ")
            metric = kind(name, doc, registry=self._registry, **options)
            self._metrics[name] = metric
        return metric
