"""Whether this daemon's processor has become slow; no I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SLOW_FACTOR = 3.0  # above the noise of a shared processor, below a harmful slowness
SLOW_SAMPLES = 3  # in a row, so that one interruption is no reason to hand over
WINDOW = 60  # samples among which the yardstick is found
USUAL_QUANTILE = 0.2  # of the samples, so that a few fast ones are no yardstick
MIN_SAMPLES = 6


@dataclass(slots=True)
class SlowProcessorDetector:
    """Compare the time of a fixed piece of work with the usual one of late."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW))
    slow_in_a_row: int = 0

    def note(self, took_s: float) -> None:
        """Take note of how long the work took."""
        slow = len(self.samples) >= MIN_SAMPLES and took_s > SLOW_FACTOR * self.usual_s
        self.slow_in_a_row = self.slow_in_a_row + 1 if slow else 0
        self.samples.append(took_s)

    @property
    def usual_s(self) -> float:
        """Return the time that the work takes when nothing slows it."""
        if not self.samples:
            return 0.0
        return sorted(self.samples)[int(USUAL_QUANTILE * len(self.samples))]

    @property
    def slow(self) -> bool:
        """Tell whether the processor has been slow for some samples."""
        return self.slow_in_a_row >= SLOW_SAMPLES
