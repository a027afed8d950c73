"""After a crash a worker host is back as another kind and gets tasks of the old one."""

from __future__ import annotations

from standins_2 import (  # isort: skip - patches the standard library
    BROKEN,
    HELD,
    Cell,
    route,
    run_case,
    tenant,
)

import sys
from pathlib import Path

import gevent

TRAFFIC_S = 50.0
CRASH_INTERVAL_S = 5.0
CRASHES = 8
DOWN_S = 1.0
JOBS_PER_S = 14.0
CHECK = {"count": 2, "cpu": 5600, "mem-mb": 16_000, "estimated-runtime-ms": 2000}
OTHER_KIND = {"a": "b", "b": "a"}


def play(case: Path, trouble: bool) -> int:
    """Send jobs that require a kind while single hosts crash and change theirs."""
    cell = Cell(case, hosts=8)
    required: dict[str, str] = {}

    def send(kind: str) -> None:
        step = CHECK | {"requirements": kind}
        sent = cell.submit("checks", "blue", step, "run 2")
        required[sent.job] = kind

    try:
        cell.configure([route("checks", priority=0)], [tenant("blue", 30)])
        cell.start_daemons(4)
        began = cell.record.now
        crash_at, turn = began + CRASH_INTERVAL_S, 0
        while cell.record.now < began + TRAFFIC_S:
            for kind in "ab":
                gevent.spawn(send, kind)
            if trouble and cell.record.now > crash_at and turn < CRASHES:
                host = cell.hosts[turn]
                gevent.spawn(host.crash, DOWN_S, OTHER_KIND[host.kind])
                crash_at, turn = crash_at + CRASH_INTERVAL_S, turn + 1
            gevent.sleep(2 / JOBS_PER_S)
        gevent.sleep(3.0)
        starts = [start for host in cell.hosts for start in host.starts]
        wrong = [one for one in starts if one.kind != required[one.task.split(".")[0]]]
        for one in wrong:
            cell.record.note(
                "wrong_start",
                host=one.host,
                kind=one.kind,
                task=one.task,
                attempt=one.attempt,
                required=required[one.task.split(".")[0]],
            )
        cell.record.say(
            f"{len(starts)} starts, {len(wrong)} of them on a worker host without the "
            "label that the step requires"
        )
        return BROKEN if wrong else HELD
    finally:
        cell.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
