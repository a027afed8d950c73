"""How long to wait for the store's answer to a call; no I/O and no clock.

Load pattern: a store that is slow for seconds and answers just around a fixed timeout.
Calls that it carries out then end as unknown, callers send them again, and the daemon
takes a store that works for lost. Without slow answers the timeout stays short, so that
a store that went silent is noticed as soon as before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MIN_TIMEOUT_S = 1.0  # well above the answers of a store that is not slow
MAX_TIMEOUT_S = 2.0  # within the wait of a caller
SLOWEST_FACTOR = 2.0  # of the slowest answer seen
WINDOW_S = 3.0  # for which an answer counts


@dataclass(frozen=True, slots=True)
class _Answer:
    at: float
    took_s: float


@dataclass(slots=True)
class AnswerTimeout:
    """Follow the slowest answer of the last seconds."""

    _slow: deque[_Answer] = field(default_factory=deque)

    def note_answer(self, now: float, took_s: float) -> None:
        """Record an answer and the time from its call."""
        if took_s * SLOWEST_FACTOR > MIN_TIMEOUT_S:
            self._slow.append(_Answer(now, took_s))

    def timeout_s(self, now: float) -> float:
        """Return the timeout of a call that is sent now."""
        while self._slow and self._slow[0].at < now - WINDOW_S:
            self._slow.popleft()
        slowest_s = max((answer.took_s for answer in self._slow), default=0.0)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, SLOWEST_FACTOR * slowest_s))
