"""One backend server as one entry daemon sees it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from primrosehub.border.http_client import HttpEndpoint
from primrosehub.core.platform import Host
from primrosehub.policy.routing import BackendLoad

INITIAL_MEAN_S = 0.02
MEAN_WEIGHT = 0.1
FAILURES_TO_EJECT = 3
SLOW_START_ANSWERS = 5


@dataclass(slots=True)
class Backend:
    """Count what is in flight at a backend server and how it has answered."""

    host: Host
    limit: int
    endpoint: HttpEndpoint
    in_flight: int = 0
    mean_s: float = INITIAL_MEAN_S
    failures: int = 0
    ejected: bool = False
    slow_start_left: int = 0
    answered_at: float = field(default_factory=time.monotonic)

    @property
    def load(self) -> BackendLoad:
        """Return the part that routing decides by."""
        return BackendLoad(
            name=self.host.name,
            limit=0 if self.host.leaving else self.limit,
            in_flight=self.in_flight,
            mean_s=self.mean_s,
            ejected=self.ejected,
            slow_start=self.slow_start_left > 0,
        )

    def note_answer(self, seconds: float) -> None:
        """Record a whole answer."""
        self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)
        self.failures = 0
        self.answered_at = time.monotonic()
        self.slow_start_left = max(0, self.slow_start_left - 1)

    def note_failure(self, seconds: float) -> None:
        """Record an exchange without a whole answer."""
        self.failures += 1
        self.mean_s += MEAN_WEIGHT * (max(seconds, self.mean_s) - self.mean_s)

    @property
    def should_eject(self) -> bool:
        """Tell whether it should be taken out of use."""
        return self.failures >= FAILURES_TO_EJECT

    def readmit(self) -> None:
        """Put it back into use, a few requests at a time."""
        self.ejected = False
        self.failures = FAILURES_TO_EJECT - 1
        self.slow_start_left = SLOW_START_ANSWERS
        self.answered_at = time.monotonic()
