"""How fast worker hosts work, from attempts that ended well; no I/O and no clock."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

MIN_NEWEST_WEIGHT = 0.08  # estimates are far off; a host's mean needs tens of attempts
MIN_ATTEMPTS = 8  # before a host's mean says anything
MAX_RATIO = 8.0  # of an estimate; beyond, it tells of the estimate, not the host


@dataclass(slots=True)
class HostPace:
    """Hold the mean logarithm of time taken over time estimated."""

    mean: float = 0.0
    attempts: int = 0

    def note_done(self, took_s: float, estimate_s: float) -> None:
        """Take note of an attempt that ran from its beginning to a good end."""
        if took_s <= 0 or estimate_s <= 0:
            return
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, took_s / estimate_s))
        self.attempts += 1
        weight = max(MIN_NEWEST_WEIGHT, 1 / self.attempts)
        self.mean += weight * (math.log(ratio) - self.mean)


def fleet_mean_slowness(paces: Iterable[HostPace]) -> float:
    """Return the fleet's mean, to which a host's is compared."""
    known = [pace.mean for pace in paces if pace.attempts >= MIN_ATTEMPTS]
    return sum(known) / len(known) if known else 0.0


def slowness(pace: HostPace, fleet_mean: float) -> float:
    """Return a host's slowness: 0 for the usual pace, 0.7 for half of it."""
    return pace.mean - fleet_mean if pace.attempts >= MIN_ATTEMPTS else 0.0


def remaining_s(elapsed_s: float, percent: int, estimate_s: float) -> float:
    """Return how long an attempt will still take, by its progress or its estimate."""
    if percent > 0 and elapsed_s > 0:
        return elapsed_s * (100 - percent) / percent
    return max(0.0, estimate_s - elapsed_s)
