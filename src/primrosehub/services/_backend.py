"""The state of one backend server, as known to this entry daemon."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from primrosehub.border.http_client import HttpEndpoint
from primrosehub.core.platform import Host
from primrosehub.policy.routing import BackendLoad

INITIAL_MEAN_S = 0.02
MEAN_WEIGHT = 0.1  # of the newest answer in the moving average
FAILURES_TO_EJECT = 3  # consecutive failures
SLOW_START_ANSWERS = 5  # answers after which slow start ends


@dataclass(slots=True)
class Backend:
    """Hold the requests in flight at a backend server, its answer times and failures.

    ``limit`` is the number of slots there that this daemon may use. ``mean_s`` is the
    moving average of the answer times in seconds, ``failures`` counts consecutive
    failures, and ``slow_start_left`` the answers until slow start ends.
    """

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
        """Return the state that routing needs."""
        return BackendLoad(
            name=self.host.name,
            limit=0 if self.host.leaving else self.limit,
            in_flight=self.in_flight,
            mean_s=self.mean_s,
            ejected=self.ejected,
            slow_start=self.slow_start_left > 0,
        )

    def note_answer(self, seconds: float) -> None:
        """Record a complete answer."""
        self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)
        self.failures = 0
        self.answered_at = time.monotonic()
        self.slow_start_left = max(0, self.slow_start_left - 1)

    def note_failure(self, seconds: float) -> None:
        """Record a failed request or check; the mean answer time can only rise."""
        self.failures += 1
        self.mean_s += MEAN_WEIGHT * (max(seconds, self.mean_s) - self.mean_s)

    @property
    def should_eject(self) -> bool:
        """Return whether the server has failed too often in a row to stay in use."""
        return self.failures >= FAILURES_TO_EJECT

    def readmit(self) -> None:
        """Put an ejected server back into use, in slow start.

        One more failure makes it a candidate for ejection again.
        """
        self.ejected = False
        self.failures = FAILURES_TO_EJECT - 1
        self.slow_start_left = SLOW_START_ANSWERS
        self.answered_at = time.monotonic()
