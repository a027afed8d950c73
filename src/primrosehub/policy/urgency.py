"""The order in which waiting steps are served; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from primrosehub.core.batch import StepSpec


@dataclass(frozen=True, order=True, slots=True)
class Urgency:
    """Sort steps in the order in which they are served.

    Steps within their team's share come first, then steps that are still in time, then
    the steps with the least slack.
    """

    beyond_share: bool
    late: bool
    latest_start: float


def critical_paths_s(steps: tuple[StepSpec, ...]) -> list[float]:
    """Return the estimated length of the critical path from each step's start."""
    lengths = [step.estimate_s for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            lengths[earlier] = max(
                lengths[earlier], steps[earlier].estimate_s + lengths[number]
            )
    return lengths


def objective_s(steps: tuple[StepSpec, ...], slack: float, target_s: float) -> float:
    """Return how long a job may take from its submission."""
    return slack * max(critical_paths_s(steps), default=0.0) + target_s


def urgency(
    now: float,
    submitted_at: float,
    objective: float,
    critical_path: float,
    beyond_share: bool,
) -> Urgency:
    """Return the urgency of a step with this critical path from its own start."""
    latest = submitted_at + objective - critical_path
    return Urgency(beyond_share, latest < now, latest)


@dataclass(slots=True)
class TokenBucket:
    """Tell which of a team's jobs exceed its share, its weight in jobs per second."""

    tokens: float = 0.0
    updated_at: float = float("-inf")

    def note_job(self, now: float, weight: float) -> bool:
        """Count a job; tell whether it is beyond the team's share."""
        burst = max(1.0, 2 * weight)
        # Daemons report jobs to the owner independently, so a later call may be of an
        # earlier job.
        latest = max(self.updated_at, now)
        self.tokens = min(burst, self.tokens + (latest - self.updated_at) * weight)
        self.updated_at = latest
        if self.tokens < 1.0:
            return True
        self.tokens -= 1.0
        return False
