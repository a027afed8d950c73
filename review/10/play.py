"""Jobs that never started are left out of the count of pending jobs."""

from __future__ import annotations

from standins_2 import (  # isort: skip - patches the standard library
    BROKEN,
    HELD,
    VISIBLE_S,
    Cell,
    route,
    run_case,
    tenant,
)

import sys
from pathlib import Path

import gevent

LATER_S = VISIBLE_S + 2.0  # after the acceptance, from when a job has to be counted
GREY_S = 6.4  # how long one worker host refuses all starts
SURVEY = {"count": 33, "cpu": 21_000, "mem-mb": 68_000, "estimated-runtime-ms": 10_000}
CHECK = {"count": 2, "cpu": 5600, "mem-mb": 16_000, "estimated-runtime-ms": 640}
CHECKS = 5


def play(case: Path, trouble: bool) -> int:
    """Fill all hosts but the one that refuses starts, then compare the counts."""
    cell = Cell(case, hosts=12)
    try:
        cell.configure(
            [route("surveys"), route("checks", priority=0)], [tenant("blue", 30)]
        )
        cell.start_daemons(4)
        cell.submit("surveys", "blue", SURVEY, "run 10")
        gevent.sleep(2.0)
        idle = min(cell.hosts, key=lambda host: len(host.running))
        cell.record.say(f"{len(idle.running)} tasks run on {idle.name}")
        idle.refuse_starts = trouble
        end = cell.record.now + GREY_S
        for _ in range(CHECKS):
            gevent.spawn(cell.submit, "checks", "blue", CHECK, "run 0.6")
        gevent.sleep(LATER_S)
        broken = 0
        while cell.record.now < end:
            broken += _compare(cell)
            gevent.sleep(0.1)
        idle.refuse_starts = False
        cell.record.say(f"{broken} answers gave under half of the jobs that must count")
        return BROKEN if broken else HELD
    finally:
        cell.close()


def _compare(cell: Cell) -> int:
    """Ask each daemon for the count; return how many gave too few."""
    broken = 0
    for daemon in cell.daemons:
        due = [
            sent
            for sent in cell.jobs.values()
            if sent.prefix == "/checks/"
            and sent.accepted_at is not None
            and sent.accepted_at < cell.record.now - LATER_S
        ]
        due = [sent for sent in due if not cell.has_begun(sent)]
        status, answer = cell.call(daemon, "GET", "/checks/", "key-of-blue")
        # Those that began before the answer do not count.
        waiting = [sent for sent in due if not cell.has_begun(sent)]
        if status == 200 and 2 * answer["pending"] < len(waiting):
            broken += 1
            cell.record.say(
                f"{daemon.name} gives pending {answer['pending']}; {len(waiting)} jobs "
                f"that were accepted over {LATER_S:.0f} s before have not begun"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
