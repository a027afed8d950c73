"""The memory of each owner in turn exceeds its limit for one job that repeats."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, CouldNotRun, gevent, run_case

MEMORY_MB = 300  # limits.memory-mb
RESTART_S = 0.5
REPETITIONS = 86_400 if TROUBLE else 60  # of a job each minute: 60 days, or an hour
TASKS = 8
TRAFFIC_S = 36.0
FINISH_S = 14.0
ENDS_ALLOWED = 3
MACHINES_ALLOWED = 2
TURN_S = 3.0


class Platform:
    """End each process that exceeds its memory, and start it again."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.ends = {daemon.name: 0 for daemon in case.daemons}

    def watch(self) -> None:
        """Look at the memory of the processes, until killed."""
        case = self._case
        while True:
            for daemon in case.daemons:
                memory_mb = daemon.memory_mb
                if daemon.runs and memory_mb <= MEMORY_MB:
                    continue
                case.note(f"{daemon.name} ends: {memory_mb:.0f} MB")
                daemon.kill()
                self.ends[daemon.name] += 1
                gevent.spawn_later(
                    RESTART_S, daemon.start, [one.settings.peer for one in case.daemons]
                )
                gevent.sleep(RESTART_S + 0.1)
            gevent.sleep(0.05)


def play(case: Case) -> list[str]:
    """Submit the job that repeats, then small jobs of other callers."""
    cell = case.cell
    platform = Platform(case)
    watching = gevent.spawn(platform.watch)
    small = {"count": 1, "cpu": 1000, "mem-mb": 64, "estimated-runtime-ms": 100}
    step = small | {"count": TASKS}
    case.submit(
        case.follower(),
        step,
        spec="run 0.1",
        **{
            "repetitions": REPETITIONS,
            "interval-ms": 60_000,
            "start-time-ms": int(time.time() * 1000) + 3_600_000,
        },
    )
    gevent.sleep(3.0)
    accepted: dict[str, float] = {}
    began = time.monotonic()
    while time.monotonic() - began < TRAFFIC_S:
        for daemon in [one for one in case.daemons if one.runs]:
            body = b'{"spec":"run 0.1","phases":[{"count":1,"cpu":1000,"mem-mb":64}]}'
            job = cell.new_id()
            answer = case.call(daemon, "POST", f"/quotes/{job}", body)
            if answer is not None and answer.status == 200:
                accepted[job] = time.monotonic()
                case.note(f"POST /quotes/{job} to {daemon.name}: 200")
        gevent.sleep(4.0)
    if not accepted:
        raise CouldNotRun("no small job was accepted")
    gevent.sleep(FINISH_S + TURN_S)
    watching.kill()
    started = {event.task.partition(".")[0] for event in cell.journal}
    waiting = [job for job in accepted if job not in started]
    case.note(
        f"ends by memory: {platform.ends}; {len(accepted)} small jobs accepted, "
        f"{len(waiting)} never started"
    )
    often = [name for name, ends in platform.ends.items() if ends >= ENDS_ALLOWED]
    if len(often) >= MACHINES_ALLOWED:
        case.note(f"Fault: {often} ended by themselves {ENDS_ALLOWED} times or more")
    return [
        f"{job} was accepted {time.monotonic() - at:.1f} s ago and has not started; "
        "all executors are idle"
        for job, at in accepted.items()
        if job in waiting
    ]


if __name__ == "__main__":
    run_case(__file__, hosts=3, daemons=3, play=play)
