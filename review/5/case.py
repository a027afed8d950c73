"""An executor loses power and is back before the owner has missed it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Case, DarkProxy, gevent, run_case

DARK_S = 0.5
STOP_S = 0.3  # of at most 0.4 s that an executor may take for a stop
ROUNDS = 5


def play(case: Case) -> list[str]:
    """Let an executor restart; submit a job of one large task just after that."""
    cell = case.cell
    case.watch_leases()
    proxies = {}
    for host in cell.hosts:
        host.stop_s = STOP_S
        port = int(cell._addresses[host.host].rpartition(":")[2])
        proxies[host.host] = DarkProxy(port)
        case.list_host(host, address=proxies[host.host].address, born=host._born_ms)
    gevent.sleep(4.0)
    step = {"count": 1, "cpu": 40_000, "mem-mb": 1024, "estimated-runtime-ms": 4000}
    small_step = step | {"cpu": 1000, "estimated-runtime-ms": 500}
    jobs: list[str] = []
    for _ in range(ROUNDS):
        # The executor that gets the next task, as long as nothing else runs.
        probe = case.submit(case.follower(), step, spec="run 0.2")
        case.until(lambda j=probe: cell.starts(j), "the probe did not start")
        name = cell.starts(probe)[0].host
        host = next(one for one in cell.hosts if one.host == name)
        gevent.sleep(1.5)
        if TROUBLE:
            case.note(f"executor {name} is dark for {DARK_S} s, and starts again")
            proxies[name].lose_power()
            host.crash()
            gevent.sleep(DARK_S)
            proxies[name].come_back()
            case.list_host(host, address=proxies[name].address, born=host._born_ms)
        long = case.submit(case.follower(), step, spec="run 4")
        short = case.submit(case.follower(), small_step, spec="run 0.5")
        gevent.sleep(9.0)
        for job in (long, short):
            jobs.append(job)
            case.note(f"{job} is {case.state(case.follower(), job)}")
            case.record_starts(job)
    for proxy in proxies.values():
        proxy.close()
    return [line for job in jobs for line in runs_twice(case, job)]


def runs_twice(case: Case, job: str) -> list[str]:
    """Return each start of a task that was running elsewhere or had ended done."""
    running: dict[str, dict[tuple[str, int], float]] = {}
    noted_done: dict[str, tuple[str, str, float]] = {}
    not_noted = {
        (host.host, end[1], end[2]) for host in case.cell.hosts for end in host._ends
    }
    breaks = []
    for event in sorted(case.cell.journal, key=lambda event: event.at):
        if not event.task.startswith(job):
            continue
        runs = running.setdefault(event.task, {})
        if event.kind == "start":
            breaks += [
                f"{event.task}: attempt {event.attempt} started on {event.host} while "
                f"attempt {attempt} was running on {host} since {event.at - at:.3f} s"
                for (host, attempt), at in runs.items()
            ]
            if event.task in noted_done:
                told, host, at = noted_done[event.task]
                # An end isn't taken note of if the lease lapsed before ack-cursor came.
                if not case.lapsed_since(host, at):
                    breaks.append(
                        f"{event.task}: attempt {event.attempt} started on "
                        f"{event.host} after {told}"
                    )
            runs[(event.host, event.attempt)] = event.at
        else:
            runs.pop((event.host, event.attempt), None)
            noted = (event.host, event.task, event.attempt) not in not_noted
            if event.kind == "done" and noted:
                told = (
                    f"attempt {event.attempt} ended done on {event.host}, "
                    "and ack-cursor reached that end"
                )
                noted_done[event.task] = (told, event.host, event.at)
    return breaks


if __name__ == "__main__":
    run_case(__file__, hosts=8, daemons=3, play=play)
