"""A route is removed and put back, and the owner is replaced in between."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import SERVICE, TROUBLE, Case, gevent, run_case

MAX_ATTEMPTS = 3
CONFIG_APPLY_S = 2.0
ROUTE = "surveys"
PREFIX = f"/{ROUTE}/"


def play(case: Case) -> list[str]:
    """Submit a job; its route is away while the owner ends and the first run fails."""
    cell = case.cell
    with_route = [cell.route("quotes"), cell.route(ROUTE)]
    without_route = [cell.route("quotes")]
    configure(case, with_route)
    step = {"count": 1, "cpu": 4000, "mem-mb": 1024, "estimated-runtime-ms": 8000}
    job = case.submit(case.follower(), step, spec="fail 8", prefix=PREFIX)
    case.until(lambda: cell.starts(job), "the task did not start")
    if TROUBLE:
        configure(case, without_route)
        owner = case.owner()
        case.note(f"SIGKILL to {owner.name}, the owner")
        owner.kill()
        case.until(lambda: case.owner() is not owner, "no new owner")
        case.note(f"the owner is {case.owner().name}")
    else:
        gevent.sleep(CONFIG_APPLY_S + 1.0)
    case.until(
        lambda: any(
            event.kind == "failed" and event.task.startswith(job)
            for event in cell.journal
        ),
        "the first run did not fail",
    )
    gevent.sleep(1.0)
    if TROUBLE:
        configure(case, with_route)
    gevent.sleep(6.0)
    state = case.state(case.follower(), job, prefix=PREFIX)
    failed = [
        event
        for event in cell.journal
        if event.kind == "failed" and event.task.startswith(job)
    ]
    starts = cell.starts(job)
    case.note(f"{job}: {len(starts)} starts, {len(failed)} failed; shown as {state}")
    case.record_starts(job)
    breaks = []
    if state == "failed" and len(failed) < MAX_ATTEMPTS:
        breaks.append(
            f"{job} is shown as failed after {len(failed)} failed run of "
            f"{MAX_ATTEMPTS} (max-attempts of its queue in each configuration)"
        )
    return breaks


def configure(case: Case, routes: list[dict[str, object]]) -> None:
    """Write a configuration, and wait until it has to be in force."""
    case.cell.configure(routes=routes, services=[{"name": SERVICE}])
    names = [route["name"] for route in routes]
    case.note(f"configuration {case.cell.version}: routes {names}")
    gevent.sleep(CONFIG_APPLY_S + 0.5)


if __name__ == "__main__":
    run_case(__file__, hosts=3, daemons=3, play=play)
