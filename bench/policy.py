"""Measure the placement decisions on a workload generated from a fixed seed.

Time is simulated: arrivals and ends are fed to the decision code in order, with one
plan every half second. Only decisions are measured; no cluster runs.
"""

from __future__ import annotations

import heapq
import json
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

import defopt

from primrosehub.core.resources import NO_RESOURCES, Resources, total
from primrosehub.core.work import (
    AllAtOnce,
    Batch,
    Job,
    JobSpec,
    Service,
    Task,
    TaskState,
)
from primrosehub.policy.placement import HostRoom, Placement, TeamState, plan
from primrosehub_standins.load import quantile

SEED = 20261204
PLAN_EVERY_S = 0.5  # of simulated time
TEAMS = 24
SHARES = (1, 1, 2, 4)  # given to the teams in turn
Policy = Callable[[list[Job], list[HostRoom], "Workload"], list[Placement]]


@dataclass(slots=True)
class Workload:
    """Hold the inputs of a simulation and what runs at the moment."""

    hosts: list[HostRoom]
    jobs: list[Job]
    shares: dict[str, int]
    cell: Resources
    used: dict[str, Resources] = field(default_factory=lambda: defaultdict(Resources))
    now_s: float = 0.0


def make_workload(hosts: int, jobs: int, seed: int = SEED) -> Workload:
    """Return a workload that needs about 1.3 times the worker hosts' capacity."""
    rng = random.Random(seed)
    rooms = [
        HostRoom(
            f"w{n}",
            f"rack-{n // 6}",
            Resources(64000, rng.choice((131072, 262144)), 4 if n % 3 == 0 else 0),
        )
        for n in range(hosts)
    ]
    shares = {f"t{n}": SHARES[n % len(SHARES)] for n in range(TEAMS)}
    names = list(shares)
    weights = [1 / (n + 1) for n in range(TEAMS)]
    generated = [
        _make_job(rng, rng.choices(names, weights)[0], number, jobs)
        for number in range(jobs)
    ]
    generated.sort(key=lambda job: job.submitted_s)
    return Workload(rooms, generated, shares, total([room.free for room in rooms]))


def _make_job(rng: random.Random, team: str, number: int, jobs: int) -> Job:
    runtime_s = rng.lognormvariate(3.0, 0.8)
    draw = rng.random()
    if draw < 0.1:
        work, tasks = AllAtOnce("all_at_once", runtime_s), rng.randint(4, 16)
    elif draw < 0.15:
        work, tasks = Service("service"), rng.randint(1, 4)
        runtime_s = 400.0
    else:
        work, tasks = Batch("batch", runtime_s), rng.randint(1, 8)
    accelerators = int(rng.random() < 0.05)
    cpus = rng.choice((1, 2, 4, 8, 16))
    size = Resources(cpus * 1000, cpus * rng.choice((1024, 2048, 4096)), accelerators)
    spec = JobSpec(
        team=team,
        queue="q",
        work=work,
        tasks=tasks,
        size=size,
        command=f"{runtime_s}",
        urgent=rng.random() < 0.03,
    )
    at = rng.random() * 300.0
    tasks_row = tuple(Task(index) for index in range(tasks))
    return Job(f"{team}.{number}", spec, "", "s", at, tasks_row)


def ours(jobs: list[Job], rooms: list[HostRoom], workload: Workload) -> list[Placement]:
    """Place as the scheduler does."""
    teams = {
        name: TeamState(share, workload.used[name], workload.cell)
        for name, share in workload.shares.items()
    }
    return plan(jobs, rooms, teams, workload.cell, workload.now_s).placements


def _place_in_arrival_order(
    jobs: list[Job], rooms: list[HostRoom], pick: Callable[[list[HostRoom]], HostRoom]
) -> list[Placement]:
    placements = []
    for job in jobs:
        size = job.spec.size
        pending = [t.index for t in job.tasks if t.state is TaskState.PENDING]
        is_gang = isinstance(job.spec.work, AllAtOnce)
        if is_gang and sum(r.free.times_contained(size) for r in rooms) < len(pending):
            continue
        for index in pending:
            fitting = [room for room in rooms if size.fits_in(room.free)]
            if not fitting:
                break
            room = pick(fitting)
            room.free -= size
            placements.append(Placement(job.id, index, room.name))
    return placements


def first_fit(
    jobs: list[Job], rooms: list[HostRoom], workload: Workload
) -> list[Placement]:
    """Place in the order of arrival on the first worker host that fits."""
    return _place_in_arrival_order(jobs, rooms, lambda fitting: fitting[0])


def random_fit(
    jobs: list[Job], rooms: list[HostRoom], workload: Workload
) -> list[Placement]:
    """Place in the order of arrival on any worker host that fits."""
    rng = random.Random(int(workload.now_s * 1000))
    return _place_in_arrival_order(jobs, rooms, rng.choice)


def simulate(workload: Workload, policy: Policy) -> dict[str, Any]:
    """Feed a workload to a policy and return the figures of its placements."""
    ends: list[tuple[float, int, str, str, Resources]] = []
    sequence = count()
    arrivals = list(reversed(workload.jobs))
    waiting: dict[str, Job] = {}
    rooms = {room.name: replace(room) for room in workload.hosts}
    workload.used.clear()
    waits: dict[str, list[float]] = defaultdict(list)
    decisions, planning_s, step_ms, errors, packing = 0, 0.0, [], [], []
    workload.now_s = 0.0
    while workload.now_s < 420.0:
        workload.now_s += PLAN_EVERY_S
        while ends and ends[0][0] <= workload.now_s:
            _, _, host, team, size = heapq.heappop(ends)
            rooms[host].free += size
            workload.used[team] -= size
        while arrivals and arrivals[-1].submitted_s <= workload.now_s:
            job = arrivals.pop()
            waiting[job.id] = job
        started = time.perf_counter()
        placements = policy(
            list(waiting.values()), [replace(r) for r in rooms.values()], workload
        )
        took = time.perf_counter() - started
        planning_s += took
        if placements:
            decisions += len(placements)
            step_ms.append(1000 * took / len(placements))
        for placement in placements:
            job = waiting[placement.job]
            size, team = job.spec.size, job.spec.team
            rooms[placement.host].free -= size
            workload.used[team] += size
            end = workload.now_s + float(job.spec.command)
            heapq.heappush(ends, (end, next(sequence), placement.host, team, size))
            name = "urgent" if job.spec.urgent else job.spec.work.kind
            waits[name].append(workload.now_s - job.submitted_s)
            task = replace(
                job.tasks[placement.index],
                state=TaskState.ASSIGNED,
                host=placement.host,
            )
            waiting[job.id] = job.with_task(task)
        waiting = {
            name: job
            for name, job in waiting.items()
            if any(task.state is TaskState.PENDING for task in job.tasks)
        }
        if waiting:
            errors.append(_share_error(workload, waiting))
            packing.append(_packing(rooms, workload))
    return {
        "wait_p50_s": {k: round(quantile(v, 0.5), 2) for k, v in sorted(waits.items())},
        "wait_p99_s": {
            k: round(quantile(v, 0.99), 2) for k, v in sorted(waits.items())
        },
        "share_error_mean": round(sum(errors) / max(1, len(errors)), 4),
        "share_error_max": round(max(errors, default=0.0), 4),
        "packing": round(sum(packing) / max(1, len(packing)), 4),
        "placed": decisions,
        "decisions_per_s": round(decisions / planning_s),
        "decision_p99_ms": round(quantile(step_ms, 0.99), 3),
    }


def _share_error(workload: Workload, waiting: dict[str, Job]) -> float:
    """Return the largest shortfall of a waiting team from its weighted share."""
    waiting_teams = {job.spec.team for job in waiting.values()}
    active = waiting_teams | {
        team for team, used in workload.used.items() if used != NO_RESOURCES
    }
    total_share = sum(workload.shares[team] for team in active)
    return max(
        max(
            0.0,
            workload.shares[team] / total_share
            - workload.used[team].dominant_share(workload.cell),
        )
        for team in waiting_teams
    )


def _packing(rooms: dict[str, HostRoom], workload: Workload) -> float:
    free = total([room.free for room in rooms.values()])
    return 1 - free.cpu_m / workload.cell.cpu_m


def main(*, hosts: int = 60, jobs: int = 2500) -> None:
    """Print one JSON line for each policy, on the same workload.

    :param hosts: how many worker hosts
    :param jobs: how many jobs arrive in 300 s
    """
    for policy in (ours, first_fit, random_fit):
        result = simulate(make_workload(hosts, jobs), policy)
        print(
            json.dumps({"policy": policy.__name__, "hosts": hosts} | result), flush=True
        )


if __name__ == "__main__":
    defopt.run(main)
