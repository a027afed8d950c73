"""Batch jobs as callers submit them and as they are stored."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import StrEnum

from primrosehub.core.resources import Resources

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_STEPS = 64  # of one job
MAX_TASKS = 10_000  # of one step
MAX_OCCURRENCES = 100_000  # of one job
MAX_AMOUNT = 2**40  # of a resource, a count or a duration in milliseconds
MAX_TIME_MS = 2**53  # of a clock, exact as a float and within 64 bits


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Describe the tasks of one step.

    ``after`` lists the earlier steps that must complete first. ``gang`` tasks start
    together; ``one_rack`` tasks run slower when spread over several racks;
    ``data_rack`` is the rack closest to the step's data; the worker host must have
    ``label``. ``speculative`` allows duplicate attempts, ``long_running`` tasks are
    restarted until the job is cancelled, and a ``filler`` step uses only resources
    that other tasks leave. ``need`` is the amount of resources for each task.
    """

    tasks: int
    need: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_host: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    filler: bool = False
    max_unavailable: int = 0


@dataclass(frozen=True, slots=True)
class BatchSpec:
    """Describe a job: its steps and, if it is scheduled, its occurrences.

    Occurrence K is due at the Unix time ``first_due_ms + K * interval_ms``.
    """

    command: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """Hold an accepted job as stored; ``accepted_ms`` is a Unix time.

    ``max_attempts`` is that of the queue at the time; rows of older builds lack it.
    """

    job: str
    team: str
    queue: str
    service: str
    accepted_ms: int
    spec: BatchSpec
    max_attempts: int = 0


class JobState(StrEnum):
    """List the job states that are reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class JobProgress:
    """Hold the stored part of a job's progress.

    ``done`` maps ``OCCURRENCE.STEP`` to the indexes of the tasks that succeeded.
    ``failures`` maps ``OCCURRENCE.STEP.INDEX`` to the numbers of the failed attempts.
    ``checkpoints`` maps ``OCCURRENCE.STEP.INDEX`` to the latest checkpoint of a task
    that is not running.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = field(default_factory=dict)
    failures: dict[str, list[int]] = field(default_factory=dict)
    checkpoints: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, order=True, slots=True)
class TaskId:
    """Identify one task of one occurrence of a step."""

    job: str
    occurrence: int
    step: int
    index: int
