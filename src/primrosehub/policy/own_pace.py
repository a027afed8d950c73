"""Whether this daemon's processor has become slow; no I/O and no clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SLOW_FACTOR = 3.0  # above the noise of a shared processor, below a harmful slowness
SLOW_SAMPLES = 3  # in a row, so that one interruption is no reason to hand over
WINDOW = 60  # samples among which the fastest is the yardstick
MIN_SAMPLES = 6


@dataclass(slots=True)
class OwnPace:
    """Compare the time of a fixed piece of work with the fastest seen lately."""

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
        return min(self.samples, default=0.0)

    @property
    def slow(self) -> bool:
        """Tell whether the processor has been slow for some samples."""
        return self.slow_in_a_row >= SLOW_SAMPLES
