"""With all machines replaced and a worker host lost, jobs stand still for an hour."""

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

DAEMONS = 7
LOST_AT_S = 15.0
REPLACED_AFTER_S = 1.0
SURVEY_INTERVAL_S = 0.8
TRAFFIC_S = 25.0
WATCH_S = 40.0  # after the end of the traffic
SURVEY = {"count": 8, "cpu": 18_000, "mem-mb": 68_000, "estimated-runtime-ms": 4000}


def play(case: Path, trouble: bool) -> int:
    """Lose all machines and one worker host for good, and replace the machines."""
    cell = Cell(case, hosts=12)

    def send_surveys() -> None:
        while cell.record.now < began + TRAFFIC_S:
            gevent.spawn(cell.submit, "surveys", "blue", SURVEY, "run 4")
            gevent.sleep(SURVEY_INTERVAL_S)

    try:
        cell.configure([route("surveys")], [tenant("blue", 30)])
        cell.start_daemons(DAEMONS)
        began = cell.record.now
        gevent.spawn(send_surveys)
        gevent.sleep(LOST_AT_S)
        if trouble:
            _lose_all(cell)
        gevent.sleep(began + TRAFFIC_S - cell.record.now)
        cell.record.say("traffic ends")
        gevent.sleep(FINISH_S)
        lost = cell.find_lost()
        _tell(cell, lost)
        if lost:
            gevent.sleep(began + TRAFFIC_S + WATCH_S - cell.record.now)
            _tell(cell, cell.find_lost())
        for sent in lost:
            cell.record.note("at_the_end", job=sent.job, shown=cell.ask(sent))
        return BROKEN if lost else HELD
    finally:
        cell.close()


def _lose_all(cell: Cell) -> None:
    """Lose all daemons and one worker host; start daemons on as many new machines."""
    cell.record.say("all machines and one worker host are lost for good")
    busiest = max(cell.hosts, key=lambda host: len(host.running))
    gevent.spawn(busiest.vanish)
    for daemon in cell.daemons:
        daemon.kill()
    gevent.sleep(REPLACED_AFTER_S)
    cell.start_daemons(DAEMONS)
    cell.record.say("as many new machines are ready")


def _tell(cell: Cell, lost: list) -> None:
    accepted = [one for one in cell.jobs.values() if one.accepted_at is not None]
    cell.record.say(
        f"{len(accepted)} jobs accepted, {sum(map(cell.is_done, accepted))} done, "
        f"{len(lost)} with nothing running for 3 s while there is room"
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
