"""Find jobs of a soak that were lost, which those that are only late are not."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from itertools import pairwise

from primrosehub_standins.soak.record import IDLE_S, Record, Run, SentJob

COMPLETED = "completed"
WORKING_STATES = ("queued", "running")
ROOM_FACTOR = 2  # an idle step counts while there is room for this many of it
MAX_SHARE_IN_USE = 0.5  # of all hosts' capacity, while an idle step counts


def why_lost(record: Record, job: SentJob) -> str:
    """Return in which way an accepted job was lost, "" if it was not."""
    if job.accepted_at is None or job.cancel_sent or job.state == COMPLETED:
        return ""
    for state in (job.state, job.later_state):
        if state not in (*WORKING_STATES, COMPLETED):
            return f"shown as {state!r} at the end"
    for began_at, ended_at in _idle_spans(record, job):
        if ended_at - began_at >= IDLE_S:
            return f"shown as {job.state!r}, nothing ran from {began_at:.3f} on"
    return ""


def _idle_spans(record: Record, job: SentJob) -> list[tuple[float, float]]:
    """Return the spans after the question in which a job waited without cause.

    It waited for a start though there was room, or to be shown as completed.
    """
    runs = [run for run in record.runs if run.job == job.id]
    times = {record.asked_at, record.looked_until}
    for run in record.runs:
        times |= {run.started_at, run.ended_at}
    spans: list[tuple[float, float]] = []
    for began_at, ended_at in pairwise(sorted(times)):
        if began_at < record.asked_at or ended_at > record.looked_until:
            continue
        if any(_runs_at(run, began_at) for run in runs):
            continue
        due = _steps_due(job, runs, began_at)
        if due and not _has_room(record, job, due, began_at):
            continue
        if not due and job.later_state == COMPLETED:
            continue
        if spans and spans[-1][1] == began_at:
            spans[-1] = (spans[-1][0], ended_at)
        else:
            spans.append((began_at, ended_at))
    return spans


def _runs_at(run: Run, at: float) -> bool:
    return run.started_at <= at < run.ended_at


def _steps_due(job: SentJob, runs: Sequence[Run], at: float) -> dict[int, int]:
    """Return the steps whose turn has come, with how many of their tasks wait."""
    done = {run.task for run in runs if run.how == "done" and run.ended_at <= at}
    waiting = {
        step: sum(f"{job.id}.0.{step}.{index}" not in done for index in range(count))
        for step, count in enumerate(job.tasks)
    }
    return {
        step: count
        for step, count in waiting.items()
        if count and not any(waiting[earlier] for earlier in job.after[step])
    }


def _has_room(record: Record, job: SentJob, due: dict[int, int], at: float) -> bool:
    """Tell whether the hosts have room for a step that is due."""
    used_m: dict[str, int] = defaultdict(int)
    for run in record.runs:
        job_of_run = record.jobs.get(run.job)
        if job_of_run and run.step < len(job_of_run.cpu_m) and _runs_at(run, at):
            used_m[run.host] += job_of_run.cpu_m[run.step]
    whole_m = record.host_count * record.capacity_m
    if sum(used_m.values()) >= whole_m * MAX_SHARE_IN_USE:
        return False
    unused_hosts = record.host_count - len(used_m)
    free_m = [record.capacity_m - used for used in used_m.values()]
    free_m += [record.capacity_m] * unused_hosts
    return any(
        sum(free // job.cpu_m[step] for free in free_m)
        >= ROOM_FACTOR * (count if job.gang else 1)
        for step, count in due.items()
    )
