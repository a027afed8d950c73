"""The clocks of a process."""

from __future__ import annotations

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_s() -> float:
    """Return seconds on a steady clock that also counts a suspended machine's time."""
    return time.clock_gettime(_CLOCK_ID)


def unix_ms() -> int:
    """Return the time of day in milliseconds; it may jump."""
    return int(time.time() * 1000)
