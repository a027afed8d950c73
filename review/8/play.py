"""One scheduled job takes more memory than a machine has, on each owner in turn."""

from __future__ import annotations

from standins_2 import (  # isort: skip - patches the standard library
    BROKEN,
    HELD,
    Cell,
    Daemon,
    route,
    run_case,
    tenant,
)

import sys
import time
from pathlib import Path

import gevent

MEMORY_MB = 300  # of a machine; a process that exceeds it is killed
RESTART_S = 1.0
TRAFFIC_S = 45.0
MAX_ENDS = 3  # of a machine's processes, from which the rule counts the machine
MINUTE_MS = 60_000
OCCURRENCES = 43_200  # one a minute for thirty days
REPORT = {"count": 10, "cpu": 3900, "mem-mb": 14_000, "estimated-runtime-ms": 2000}
CHECK = {"count": 2, "cpu": 5600, "mem-mb": 16_000, "estimated-runtime-ms": 640}


def play(case: Path, trouble: bool) -> int:
    """Hand in a scheduled job beside ordinary ones, and end processes that grow."""
    cell = Cell(case, hosts=7)
    ends: dict[str, int] = {}
    try:
        cell.configure(
            [route("reports"), route("checks", priority=0)],
            [tenant("blue", 30), tenant("red", 30)],
        )
        cell.start_daemons(4)
        for daemon in cell.daemons:
            gevent.spawn(_limit_memory, cell, daemon, ends)
        began = cell.record.now
        schedule = {
            "repetitions": OCCURRENCES if trouble else 6,
            "start-time-ms": int(time.time() * 1000) + 2000,
            "interval-ms": MINUTE_MS,
        }
        cell.submit("reports", "red", REPORT, "run 2", **schedule)
        while cell.record.now < began + TRAFFIC_S:
            gevent.spawn(cell.submit, "checks", "blue", CHECK, "run 0.6")
            gevent.sleep(0.25)
        gevent.sleep(3.0)
        checks = [sent for sent in cell.jobs.values() if sent.tenant == "blue"]
        accepted = [sent for sent in checks if sent.accepted_at is not None]
        cell.record.say(
            f"of {len(checks)} checks, {len(accepted)} were accepted and "
            f"{sum(map(cell.is_done, checks))} are done; processes that ended over the "
            f"limit of memory: {ends}"
        )
        often = [name for name, count in ends.items() if count >= MAX_ENDS]
        return BROKEN if len(often) >= 2 else HELD
    finally:
        cell.close()


def _limit_memory(cell: Cell, daemon: Daemon, ends: dict[str, int]) -> None:
    """Kill and restart a process that exceeds the memory, as the platform does."""
    while True:
        gevent.sleep(0.05)
        if daemon.running and daemon.resident_mb > MEMORY_MB:
            size = daemon.resident_mb
            daemon.kill()
            ends[daemon.name] = ends.get(daemon.name, 0) + 1
            cell.record.say(f"{daemon.name} ended with {size:.0f} MB")
            gevent.sleep(RESTART_S)
            daemon.start()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
