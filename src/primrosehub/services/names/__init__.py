"""The names of services and the interface behind each; here what all daemons have."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from primrosehub.kernel import ServiceName


class Metrics(Protocol):
    """Count and time what the daemon does."""

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add one duration to a histogram."""

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""

    def byte_counter(self, part: str) -> Callable[[int], None]:
        """Return a function that counts the bytes of a part of the control traffic."""


METRICS: ServiceName[Metrics] = ServiceName("metrics")
