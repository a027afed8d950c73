"""Decode the rows of jobs and their progress.

Only daemons of this project write them, but any program can write to the store.
"""

from __future__ import annotations

import re

from primrosehub.border.codec import decode
from primrosehub.core.batch import (
    JOB_ID,
    MAX_AMOUNT,
    MAX_OCCURRENCES,
    MAX_STEPS,
    MAX_TASKS,
    MAX_TIME_MS,
    AcceptedJob,
    BatchSpec,
    JobProgress,
    StepSpec,
)

_STEP_NAME = re.compile(r"[0-9]{1,9}\.[0-9]{1,9}")
_TASK_NAME = re.compile(r"[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}")


def decode_stored_job(job: str, value: bytes) -> AcceptedJob:
    """Return the job stored under this id; raise ValueError if the row is invalid."""
    accepted = decode(AcceptedJob, value)
    if accepted.job != job or not JOB_ID.fullmatch(job):
        raise ValueError(f"id: the row of {job!r:.60} holds {accepted.job!r:.60}")
    _check_range("accepted_ms", accepted.accepted_ms, MAX_TIME_MS)
    _check_range("max_attempts", accepted.max_attempts, MAX_AMOUNT)
    _check_spec(accepted.spec)
    return accepted


def decode_progress(value: bytes) -> JobProgress:
    """Return a job's progress; raise ValueError if the row is invalid."""
    progress = decode(JobProgress, value)
    for names, pattern in (
        (progress.done, _STEP_NAME),
        (progress.failures, _TASK_NAME),
        (progress.checkpoints, _TASK_NAME),
    ):
        for name in names:
            if not pattern.fullmatch(name):
                raise ValueError(f"{name!r:.60} names no step or task")
    return progress


def _check_spec(spec: BatchSpec) -> None:
    _check_range("steps", len(spec.steps), MAX_STEPS, least=1)
    _check_range("occurrences", spec.occurrences, MAX_OCCURRENCES)
    _check_range("first_due_ms", spec.first_due_ms, MAX_TIME_MS)
    _check_range("interval_ms", spec.interval_ms, MAX_AMOUNT)
    for number, step in enumerate(spec.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"steps.{number}.after: may only name earlier steps")
        _check_step(f"steps.{number}", step)


def _check_step(place: str, step: StepSpec) -> None:
    _check_range(f"{place}.tasks", step.tasks, MAX_TASKS, least=1)
    for name, amount in (
        ("need.cpu_m", step.need.cpu_m),
        ("need.memory_mb", step.need.memory_mb),
        ("need.accelerators", step.need.accelerators),
        ("estimate_s", step.estimate_s),
        ("max_per_host", step.max_per_host),
        ("target_ms", step.target_ms),
        ("max_unavailable", step.max_unavailable),
    ):
        _check_range(f"{place}.{name}", amount, MAX_AMOUNT)


def _check_range(name: str, value: float, most: int, least: int = 0) -> None:
    # NaN is outside too, as it compares as false.
    if not least <= value <= most:
        raise ValueError(f"{name}: must be from {least} to {most}")
