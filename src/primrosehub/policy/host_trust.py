"""Suspend worker hosts whose attempts fail or get stuck; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

NEWEST_WEIGHT = 0.3  # of the newest outcome in the moving average
SUSPEND_ABOVE_RATE = 0.5  # two failures in a row exceed it
SUSPEND_S = 3.0  # about half the length of the faults that users list
RATE_AFTER_SUSPENSION = 0.35  # one more failure suspends again
RISKY_ABOVE_RATE = 0.25  # above it, a host is used only as a second choice


@dataclass(slots=True)
class HostTrust:
    """Hold a moving average of failed attempts, 0 to 1."""

    failure_rate: float = 0.0
    suspended_until: float = float("-inf")

    def note_success(self) -> None:
        """Record a successful attempt."""
        self.failure_rate *= 1 - NEWEST_WEIGHT

    def note_failure(self, now: float) -> bool:
        """Record a failed attempt; tell whether this suspends the host."""
        self.failure_rate += (1 - self.failure_rate) * NEWEST_WEIGHT
        if self.failure_rate <= SUSPEND_ABOVE_RATE:
            return False
        self.suspended_until = now + SUSPEND_S
        self.failure_rate = RATE_AFTER_SUSPENSION
        return True

    def note_stuck(self, now: float) -> None:
        """Suspend a host on which a task made no progress."""
        self.suspended_until = now + SUSPEND_S
        self.failure_rate = max(self.failure_rate, RATE_AFTER_SUSPENSION)

    def halve_failure_rate(self) -> None:
        """Halve the failure rate, as the task has failed on another host too."""
        self.failure_rate /= 2

    def usable(self, now: float) -> bool:
        """Tell whether new attempts may start on the host."""
        return now >= self.suspended_until

    @property
    def risk(self) -> float:
        """Return 1 for a host of second choice, else 0."""
        return 1.0 if self.failure_rate > RISKY_ABOVE_RATE else 0.0


STUCK_AFTER_S = 1.8  # longer than the report interval and a task's startup


def is_stuck(now: float, percent_at: float, percent: int) -> bool:
    """Tell whether a running attempt has made no progress for too long."""
    return percent < 100 and now - percent_at > STUCK_AFTER_S
