"""Find what breaks the users' rules in a soak's record.

Nothing here reads what the daemons say of themselves.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from primrosehub_standins.soak.lost import why_lost
from primrosehub_standins.soak.record import (
    CANCEL_S,
    MAX_MEMORY_MB,
    Record,
    Run,
)


@dataclass(frozen=True, slots=True)
class Breach:
    """Hold one broken rule, for a job or a daemon."""

    rule: str
    subject: str
    detail: str


def find_breaches(record: Record) -> list[Breach]:
    """Return all broken rules, those of each job in the order of its starts."""
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(record.runs, key=lambda run: run.started_at):
        by_task[run.task].append(run)
    found = [breach for runs in by_task.values() for breach in _double_runs(runs)]
    for run in record.runs:
        found += _unwanted_start(record, run)
    found += _early_starts(record, by_task)
    found += _overfull_hosts(record)
    for job in record.jobs.values():
        if why := why_lost(record, job):
            found.append(Breach("LOST", job.id, why))
    found += [
        Breach("FAULT", name, "the process ended by itself") for name in record.own_ends
    ]
    found += [
        Breach("FAULT", name, f"{peak:.0f} MB of memory")
        for name, peak in record.memory_mb.items()
        if peak > MAX_MEMORY_MB
    ]
    return found


def _double_runs(runs: list[Run]) -> Iterator[Breach]:
    for number, run in enumerate(runs):
        for earlier in runs[:number]:
            if earlier.ended_at > run.started_at:
                where = f"{earlier.host} (attempt {earlier.attempt})"
                yield Breach(
                    "TWICE", run.task, f"{_start(run)} while it ran on {where}"
                )
            elif earlier.how == "done" and earlier.noted_at and not earlier.lapsed:
                yield Breach(
                    "TWICE",
                    run.task,
                    f"{_start(run)} after attempt {earlier.attempt} was done on "
                    f"{earlier.host} at {earlier.ended_at:.3f}, noted at "
                    f"{earlier.noted_at:.3f}",
                )


def _unwanted_start(record: Record, run: Run) -> Iterator[Breach]:
    job = record.jobs.get(run.job)
    if job is None or run.step >= len(job.tasks):
        yield Breach("UNASKED", run.task, f"{_start(run)}; nobody sent it")
        return
    if job.rejected:
        yield Breach("REFUSED", run.task, f"{_start(run)}; every attempt was rejected")
    if job.cancelled_at is None or run.started_at <= job.cancelled_at + CANCEL_S:
        return
    if record.in_touch(record.owners.get(run.epoch, ""), run.started_at):
        yield Breach(
            "UNASKED", run.task, f"{_start(run)}; cancelled at {job.cancelled_at:.3f}"
        )


def _early_starts(record: Record, by_task: dict[str, list[Run]]) -> Iterator[Breach]:
    done_at: dict[str, float] = {
        task: min((run.ended_at for run in runs if run.how == "done"), default=1e18)
        for task, runs in by_task.items()
    }
    for task, runs in by_task.items():
        job = record.jobs.get(runs[0].job)
        if job is None or runs[0].step >= len(job.tasks):
            continue
        for step in job.after[runs[0].step]:
            for index in range(job.tasks[step]):
                earlier = f"{job.id}.0.{step}.{index}"
                if done_at.get(earlier, 1e18) > runs[0].started_at:
                    yield Breach("ORDER", task, f"{_start(runs[0])} before {earlier}")


def _overfull_hosts(record: Record) -> Iterator[Breach]:
    by_host: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        if (job := record.jobs.get(run.job)) and run.step < len(job.cpu_m):
            by_host[run.host].append(run)
    for host, runs in by_host.items():
        changes = [(run.started_at, 1, run) for run in runs]
        changes += [(run.ended_at, -1, run) for run in runs]
        used_m = 0
        for at, sign, run in sorted(changes, key=lambda change: change[:2]):
            used_m += sign * record.jobs[run.job].cpu_m[run.step]
            if sign > 0 and used_m > record.capacity_m:
                yield Breach("LIMIT", run.task, f"{host} has {used_m} m at {at:.3f}")


def _start(run: Run) -> str:
    return (
        f"attempt {run.attempt} (epoch {run.epoch}) started on {run.host} at "
        f"{run.started_at:.3f}"
    )
