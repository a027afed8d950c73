"""Detect that this daemon's processor has become slow; no I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Times the usual duration: above the noise of a shared processor, below a harmful
# slowness.
SLOW_FACTOR = 3.0
SLOW_SAMPLES = 3  # in a row, so that one interruption causes no hand-over
WINDOW = 60  # samples from which the usual duration is computed
USUAL_QUANTILE = 0.2  # of the samples, so that a few fast ones do not set the usual one
MIN_SAMPLES = 6  # needed before a sample can count as slow


@dataclass(slots=True)
class SlowProcessorDetector:
    """Compare the duration of a fixed piece of work with its recent usual duration."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW))
    slow_in_a_row: int = 0

    def note(self, took_s: float) -> None:
        """Record how long the work took."""
        slow = len(self.samples) >= MIN_SAMPLES and took_s > SLOW_FACTOR * self.usual_s
        self.slow_in_a_row = self.slow_in_a_row + 1 if slow else 0
        self.samples.append(took_s)

    @property
    def usual_s(self) -> float:
        """Return how long the work takes when nothing slows it down."""
        if not self.samples:
            return 0.0
        return sorted(self.samples)[int(USUAL_QUANTILE * len(self.samples))]

    @property
    def slow(self) -> bool:
        """Tell whether the last ``SLOW_SAMPLES`` samples or more were slow."""
        return self.slow_in_a_row >= SLOW_SAMPLES
