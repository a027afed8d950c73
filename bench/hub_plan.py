"""Measure how long one plan of the hub's owner takes.

The numbers of worker hosts and waiting steps are given. Only the decisions are
measured: what a plan reads of each host, the placement, and which steps to ask advice
about; no orders are sent and no calls made.
"""

from __future__ import annotations

import json
import random
import time

import defopt

from primrosehub.core.resources import NO_RESOURCES, Resources, total
from primrosehub.policy.advice_need import advice_requests
from primrosehub.policy.packing import Demand, HostSpace, TeamQuotas, plan

SEED = 20261204
HOST_CAPACITY = Resources(64_000, 262_144)
TASKS_PER_HOST = 8
TASK_NEED = Resources(5_600, 16_000)
ADVISED_HOSTS = 8  # of a step that was advised before
ADVICE_CALLERS = 7  # daemons that can ask for advice at the same time


def make_host(number: int, running: list[Resources]) -> HostSpace:
    """Return the free space of a host that runs these tasks."""
    free = HOST_CAPACITY - total(running)
    name = f"h{number}"
    return HostSpace(
        name,
        free.cpu_m,
        free.memory_mb,
        0,
        HOST_CAPACITY,
        f"r{number // 6}",
        (f"r{number}",),
    )


def make_demand(rng: random.Random, hosts: int) -> Demand:
    """Return a step of three tasks; half of the steps were advised before."""
    known = frozenset(f"h{n}" for n in rng.sample(range(hosts), ADVISED_HOSTS))
    expired = known if rng.random() < 0.5 else frozenset()
    return Demand(
        key=object(),
        team="blue",
        need=TASK_NEED,
        tasks=[0, 1, 2],
        gang=False,
        allowed=frozenset(),
        expired=expired,
    )


def time_plan(hosts: int, demands: list[Demand], full: bool) -> float:
    """Return the seconds that one plan takes."""
    load = HOST_CAPACITY if full else TASK_NEED * (TASKS_PER_HOST - 1)
    running = [load, *[NO_RESOURCES] * (TASKS_PER_HOST - 1)]
    teams = TeamQuotas({}, {})
    started = time.perf_counter()
    spaces = [make_host(number, running) for number in range(hosts)]
    result = plan(demands, spaces, teams)
    for _, _ in zip(
        range(ADVICE_CALLERS),
        advice_requests(result.waiting, spaces, teams),
        strict=False,
    ):
        pass
    return time.perf_counter() - started


def main(*, hosts: int = 176, waiting: int = 100, repeats: int = 20) -> None:
    """Print one JSON line for full hosts and one for hosts with room.

    :param hosts: how many worker hosts
    :param waiting: how many steps wait
    :param repeats: how many plans; the fastest and the median are printed
    """
    rng = random.Random(SEED)
    demands = [make_demand(rng, hosts) for _ in range(waiting)]
    for full in (True, False):
        durations = sorted(time_plan(hosts, demands, full) for _ in range(repeats))
        print(
            json.dumps(
                {
                    "hosts": hosts,
                    "waiting": waiting,
                    "full": full,
                    "best_ms": round(durations[0] * 1000, 2),
                    "median_ms": round(durations[len(durations) // 2] * 1000, 2),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    defopt.run(main)
