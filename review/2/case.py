"""More than 500 tasks end on one executor while the store is down."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, EndpointState, gevent, run_case

TASKS = 640  # of 0.1 cores, on an executor of 64 cores
WORK_S = 5.0
OUTAGE_S = 4.5


def play(case: Case) -> list[str]:
    """Run one wide job; let the store be down while its tasks end."""
    cell = case.cell
    case.watch_leases()
    step = {"count": TASKS, "cpu": 100, "mem-mb": 64, "estimated-runtime-ms": 5000}
    job = case.submit(case.follower(), step, spec=f"run {WORK_S}")
    case.until(lambda: len(cell.starts(job)) >= TASKS, "not all tasks started")
    starts = cell.starts(job)
    case.note(
        f"{len(starts)} tasks started within {starts[-1].at - starts[0].at:.2f} s, "
        f"on {sorted({event.host for event in starts})}"
    )
    case.until(lambda: any(e.kind == "done" for e in cell.journal), "no task ended")
    if TROUBLE:
        case.note(f"the store answers 503 for {OUTAGE_S} s")
        case.store_state(EndpointState.BUSY)
    gevent.sleep(OUTAGE_S)
    case.store_state(EndpointState.OPEN)
    case.note("the store serves again")
    case.until(
        lambda: case.state(case.follower(), job) == "completed", "not completed", 40.0
    )
    gevent.sleep(1.0)
    case.record_starts(job)
    return starts_after_done(case, job)


def starts_after_done(case: Case, job: str) -> list[str]:
    """Return each start of a task after a run that ended done and was noted."""
    not_noted = {
        (host.host, end[1], end[2]) for host in case.cell.hosts for end in host._ends
    }
    done: dict[str, tuple[str, str, float]] = {}
    breaks = []
    for event in sorted(case.cell.journal, key=lambda event: event.at):
        if not event.task.startswith(job):
            continue
        if event.kind == "start" and event.task in done:
            told, host, at = done[event.task]
            # An end isn't taken note of if the lease lapsed before ack-cursor came.
            if not case.lapsed_since(host, at):
                breaks.append(
                    f"{event.task}: attempt {event.attempt} started on {event.host} "
                    f"after {told}"
                )
        noted = (event.host, event.task, event.attempt) not in not_noted
        if event.kind == "done" and noted:
            told = f"attempt {event.attempt} ended done on {event.host}"
            done[event.task] = (told, event.host, event.at)
    return breaks


if __name__ == "__main__":
    run_case(__file__, hosts=3, daemons=3, play=play)
