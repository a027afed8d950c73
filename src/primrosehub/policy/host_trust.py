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
REPORT_INTERVAL_S = 1.2  # at most, between two reports of a host on which nothing ends
MAX_ESTIMATE_ERROR = 10.0  # estimates are rough; a task may take ten times as long
MAX_SLOWDOWN = 4.0  # of a task beside others, against its own pace so far


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold the progress of a running attempt.

    ``percent`` was reached ``reached_s`` after the first report, which told
    ``first_percent``, and has not changed for ``unchanged_s``. ``stuck_before`` counts
    the attempts of the task that were stopped as stuck.
    """

    percent: float
    first_percent: float
    reached_s: float
    unchanged_s: float
    estimate_s: float
    stuck_before: int = 0


def is_stuck(progress: Progress) -> bool:
    """Tell whether a running attempt has made no progress for too long.

    Progress is reported in whole percents, so the time allowed grows with that of a
    percent: by the attempt's own pace once it is known, by the estimate before. It
    doubles with each attempt that was stopped, so that a task of any length gets on in
    the end.
    """
    if progress.percent >= 100:
        return False
    # The first percent may have been reached just before the first report.
    gained_in_sight = progress.percent - progress.first_percent - 1
    if gained_in_sight > 0:
        percent_s = MAX_SLOWDOWN * progress.reached_s / gained_in_sight
    else:
        percent_s = MAX_ESTIMATE_ERROR * progress.estimate_s / 100
    limit_s = max(STUCK_AFTER_S, percent_s + REPORT_INTERVAL_S)
    limit_s *= 2.0**progress.stuck_before
    return progress.unchanged_s > limit_s
