"""Waiting jobs of a tenant at its limit keep the late jobs of others from starting."""

from __future__ import annotations

from standins_2 import (  # isort: skip - patches the standard library
    BROKEN,
    FINISH_S,
    HELD,
    Cell,
    route,
    run_case,
    tenant,
)

import sys
from pathlib import Path

import gevent

LOWERED_AT_S = 3.0
BURST_AT_S = 60.0
BURST = 6  # jobs, 1.8 times the rate of the site's large ones
BURST_INTERVAL_S = 0.62
TRAFFIC_S = 68.0
CHECKS_PER_S = 12.0  # of the large tenant, within its weight
CHECK = {"count": 1, "cpu": 5600, "mem-mb": 16_000, "estimated-runtime-ms": 640}
SURVEY = {"count": 8, "cpu": 21_000, "mem-mb": 68_000, "estimated-runtime-ms": 4000}


def play(case: Path, trouble: bool) -> int:
    """Lower one tenant's limit, then let another tenant's jobs wait."""
    cell = Cell(case, hosts=6)

    def configure(cpu: int) -> None:
        cell.configure(
            [route("surveys"), route("checks", priority=0)],
            [tenant("red", 14, cpu), tenant("blue", 14)],
        )

    def send_checks(name: str, per_s: float) -> None:
        while cell.record.now < began + TRAFFIC_S:
            gevent.spawn(cell.submit, "checks", name, CHECK, "run 0.6")
            gevent.sleep(1 / per_s)

    try:
        configure(128_000)
        cell.start_daemons(4)
        began = cell.record.now
        gevent.spawn(send_checks, "red", CHECKS_PER_S)
        gevent.spawn(send_checks, "blue", 2.0)
        gevent.sleep(LOWERED_AT_S)
        if trouble:
            configure(8_000)
        gevent.sleep(began + BURST_AT_S - cell.record.now)
        for _ in range(BURST):
            gevent.spawn(cell.submit, "surveys", "blue", SURVEY, "run 6")
            gevent.sleep(BURST_INTERVAL_S)
        gevent.sleep(began + TRAFFIC_S - cell.record.now)
        cell.record.say("traffic ends")
        gevent.sleep(FINISH_S)
        lost = cell.find_lost()
        for sent in lost:
            cell.record.note("at_the_end", job=sent.job, shown=cell.ask(sent))
        for name in ("red", "blue"):
            jobs = [sent for sent in cell.jobs.values() if sent.tenant == name]
            cell.record.say(
                f"{name}: {len(jobs)} jobs accepted, {sum(map(cell.is_done, jobs))} "
                f"done, {sum(sent in jobs for sent in lost)} with nothing running for "
                "3 s while there is room"
            )
        return BROKEN if any(sent.tenant == "blue" for sent in lost) else HELD
    finally:
        cell.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
