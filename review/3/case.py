"""A gang that never fits keeps idle executors from the jobs that waited."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import SERVICE, TROUBLE, Case, gevent, run_case

HOSTS = 6
CORES = 30  # of a member of the gang, so that two fit on an executor of 64 cores
PLACES = 2 * HOSTS
MEMBERS = PLACES + 1 if TROUBLE else PLACES
OTHERS = 20  # gangs that fit, so that the hopeless one is less than 5 in 100
JOBS = 7  # in one second, of a tenant of weight 50
FINISH_S = 14.0
TURN_S = 3.0
KEYS = {"green": "key-of-green", "blue": "key-of-blue"}


def play(case: Case) -> list[str]:
    """Submit the gang, then the small jobs, and wait."""
    cell = case.cell
    cell.configure(
        tenants=[
            {"name": name, "api-keys": [KEYS[name]], "weight": 50} for name in KEYS
        ],
        services=[{"name": SERVICE}],
    )
    gevent.sleep(2.5)
    member = {
        "count": MEMBERS,
        "cpu": CORES * 1000,
        "mem-mb": 1024,
        "estimated-runtime-ms": 2000,
        "gang-scheduled": True,
    }
    fitting = member | {"count": 2, "cpu": 1000, "estimated-runtime-ms": 300}
    for _ in range(OTHERS):
        case.submit(case.follower(), fitting, spec="run 0.3", key=KEYS["green"])
        gevent.sleep(0.1)
    gang = case.submit(case.follower(), member, spec="run 2", key=KEYS["green"])
    case.note(f"{gang}: a gang of {MEMBERS} tasks of {CORES} cores, {HOSTS} executors")
    gevent.sleep(4.0)
    large = {
        "count": PLACES,
        "cpu": CORES * 1000,
        "mem-mb": 1024,
        "estimated-runtime-ms": 5000,
    }
    filling = case.submit(case.follower(), large, spec="run 5", key=KEYS["green"])
    case.until(
        lambda: len(cell.starts(filling)) == PLACES, "the large job didn't start"
    )
    case.note(f"{filling}: a job of {PLACES} tasks of {CORES} cores runs for 5 s")
    gevent.sleep(1.0)
    small = {"count": 1, "cpu": 8000, "mem-mb": 64, "estimated-runtime-ms": 300}
    jobs = []
    for _ in range(JOBS):
        jobs.append(
            case.submit(case.follower(), small, spec="run 0.3", key=KEYS["blue"])
        )
        gevent.sleep(1.0 / JOBS)
    ended_at = time.monotonic()
    gevent.sleep(FINISH_S)
    running = [run for host in cell.hosts for run in host.running()]
    states = [case.state(case.follower(), job, key=KEYS["blue"]) for job in jobs]
    case.note(f"running on all executors: {running}")
    case.note(
        f"states {time.monotonic() - ended_at:.1f} s after the last job: {states}"
    )
    case.record_starts(gang)
    case.record_starts(filling)
    for job in jobs:
        case.record_starts(job)
    gevent.sleep(TURN_S)
    return [
        f"{job} has had no start for {time.monotonic() - ended_at:.1f} s, with "
        f"{len(running)} tasks running on {HOSTS} executors"
        for job in jobs
        if not cell.starts(job)
    ]


if __name__ == "__main__":
    run_case(__file__, hosts=HOSTS, daemons=3, play=play)
