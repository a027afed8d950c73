"""Names and interfaces of services; this module holds those that all daemons run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from primrosehub.kernel import ServiceName


class Metrics(Protocol):
    """Record the metrics of the daemon."""

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add one duration to a histogram."""

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""

    def byte_counter(self, part: str) -> Callable[[int], None]:
        """Return a function that counts bytes of control traffic under this label."""


METRICS: ServiceName[Metrics] = ServiceName("metrics")
