"""Estimate the speed of worker hosts from successful attempts; no I/O and no clock."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

# The least weight of the newest attempt. Estimates are far off, so that a host's mean
# needs tens of attempts.
MIN_NEWEST_WEIGHT = 0.08
MIN_ATTEMPTS = 8  # with fewer, a host's mean is not used
# Of time taken to time estimated; a larger one is due to the estimate, not the host.
MAX_RATIO = 8.0


@dataclass(slots=True)
class HostPace:
    """Hold the mean logarithm of the ratio of time taken to time estimated."""

    mean: float = 0.0
    attempts: int = 0

    def note_done(self, took_s: float, estimate_s: float) -> None:
        """Record a successful attempt that resumed from no checkpoint."""
        if took_s <= 0 or estimate_s <= 0:
            return
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, took_s / estimate_s))
        self.attempts += 1
        weight = max(MIN_NEWEST_WEIGHT, 1 / self.attempts)
        self.mean += weight * (math.log(ratio) - self.mean)


def fleet_mean_slowness(paces: Iterable[HostPace]) -> float:
    """Return the fleet's mean, with which a host's mean is compared."""
    known = [pace.mean for pace in paces if pace.attempts >= MIN_ATTEMPTS]
    return sum(known) / len(known) if known else 0.0


def slowness(pace: HostPace, fleet_mean: float) -> float:
    """Return a host's slowness: 0 at the fleet's mean speed, 0.7 at half of it."""
    return pace.mean - fleet_mean if pace.attempts >= MIN_ATTEMPTS else 0.0


def remaining_s(elapsed_s: float, percent: float, estimate_s: float) -> float:
    """Return an attempt's remaining time by its progress, or else by its estimate."""
    if percent > 0 and elapsed_s > 0:
        return elapsed_s * (100 - percent) / percent
    return max(0.0, estimate_s - elapsed_s)
