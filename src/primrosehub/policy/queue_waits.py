"""The expected wait of a new job in each queue; no I/O and no clock.

Load pattern: jobs arrive faster than they start, so that a queue grows for seconds
before the first of them is late. The number of waiting jobs divided by the rate of
starts tells the wait of a job that is submitted now, before anyone has waited as long.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW_S = 10.0  # over which the rate of starts is measured


@dataclass(frozen=True, slots=True)
class QueueWait:
    """Hold the waiting jobs of a queue and the expected wait of a new one."""

    queue: str
    waiting: int
    oldest_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class _Start:
    at: float
    waited_s: float


class QueueWaits:
    """Record when the jobs of each queue start."""

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._starts: dict[str, deque[_Start]] = {}

    @property
    def queues(self) -> tuple[str, ...]:
        """Return the queues whose jobs have started."""
        return tuple(self._starts)

    def note_started(self, queue: str, now: float, waited_s: float) -> None:
        """Record the first start of a job."""
        self._starts.setdefault(queue, deque()).append(_Start(now, waited_s))

    def estimate(
        self, queue: str, waiting: int, oldest_s: float, now: float
    ) -> QueueWait:
        """Return the expected wait of a job that is submitted now."""
        starts = self._starts.get(queue, deque())
        while starts and starts[0].at < now - WINDOW_S:
            starts.popleft()
        if not waiting:
            waits = [start.waited_s for start in starts]
            expected_s = sum(waits) / len(waits) if waits else 0.0
        elif starts:
            window_s = max(1.0, min(WINDOW_S, now - self._began_at))
            expected_s = waiting * window_s / len(starts)
        else:
            expected_s = max(oldest_s, WINDOW_S)
        return QueueWait(queue, waiting, oldest_s, expected_s)
