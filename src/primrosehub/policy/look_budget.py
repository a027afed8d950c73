"""Bound the work of a pass over the waiting steps; no I/O and no clock.

Load pattern: thousands of steps wait that can't start, as their teams are at their
limits, no host fits them, or the hosts that they may use are full. A list cut off at a
length would be full of them, and a step behind them would never be looked at.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

T = TypeVar("T")
MAX_HOST_LOOKS = 40_000  # in one pass, each of one step at one host


class LookBudget:
    """Count at how many hosts a pass looks, and end it at a limit.

    Half of the looks are for the first steps in the order of service. The others begin
    where the last pass ended, so that each step gets its turn.
    """

    def __init__(self, limit: int = MAX_HOST_LOOKS) -> None:
        self._limit = limit
        self._spent = 0
        self._resume_at = 0

    def spend(self, looks: int) -> None:
        """Count looks at hosts."""
        self._spent += looks

    def each(self, steps: Sequence[T]) -> Iterator[T]:
        """Yield the steps of one pass."""
        self._spent = 0
        at = 0
        while at < len(steps) and 2 * self._spent < self._limit:
            yield steps[at]
            at += 1
        at = max(at, self._resume_at)
        while at < len(steps) and self._spent < self._limit:
            self._resume_at = at + 1
            yield steps[at]
            at += 1
        if at >= len(steps):
            self._resume_at = 0
