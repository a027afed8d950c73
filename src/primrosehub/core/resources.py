"""Amounts of processors, memory and accelerators."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of each resource: millicores, MiB, number of accelerators."""

    cpu_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_m + other.cpu_m,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_m - other.cpu_m,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> Resources:
        return Resources(
            self.cpu_m * count, self.memory_mb * count, self.accelerators * count
        )

    def fits_in(self, available: Resources) -> bool:
        """Return whether no resource of this amount exceeds the available one."""
        return (
            self.cpu_m <= available.cpu_m
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def clamped_to(self, upper: Resources) -> Resources:
        """Return this amount with each resource limited to the range 0 to ``upper``."""
        return Resources(
            max(0, min(self.cpu_m, upper.cpu_m)),
            max(0, min(self.memory_mb, upper.memory_mb)),
            max(0, min(self.accelerators, upper.accelerators)),
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of the total among the resources, 0 to 1."""
        return max(
            self.cpu_m / total.cpu_m if total.cpu_m else 0.0,
            self.memory_mb / total.memory_mb if total.memory_mb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )

    def times_contained(self, size: Resources) -> int:
        """Return how many times the given size fits into this amount."""
        ratios = [
            amount // need
            for amount, need in (
                (self.cpu_m, size.cpu_m),
                (self.memory_mb, size.memory_mb),
                (self.accelerators, size.accelerators),
            )
            if need
        ]
        return max(0, min(ratios)) if ratios else 0


NO_RESOURCES = Resources()


def total(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of the amounts."""
    cpu_m = memory_mb = accelerators = 0
    for amount in amounts:
        cpu_m += amount.cpu_m
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cpu_m, memory_mb, accelerators)
