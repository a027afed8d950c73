"""The clocks of a process."""

from __future__ import annotations

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_s() -> float:
    """Return monotonic seconds, which include time spent in suspend where supported."""
    return time.clock_gettime(_CLOCK_ID)


def unix_ms() -> int:
    """Return the Unix time in milliseconds, which may jump when the clock is set."""
    return int(time.time() * 1000)
