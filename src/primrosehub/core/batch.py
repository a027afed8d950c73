"""Jobs of steps and tasks as callers submit them, and what is stored of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Describe the tasks of one step.

    ``after`` lists the earlier steps that must be done first. ``gang`` tasks start
    together; ``one_rack`` tasks slow down when spread over racks; ``data_rack`` is the
    rack near the step's data; ``label`` is required of the worker host.
    ``speculative`` allows copies, ``long_running`` tasks are restarted until the job
    is cancelled, and a ``filler`` uses only what other tasks leave.
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
    """Describe a job: its steps, and its occurrences if it is scheduled.

    Occurrence K is due at ``first_due_ms`` (Unix time) + K x ``interval_ms``.
    """

    command: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """Hold an accepted job as stored; ``accepted_ms`` is Unix time."""

    job: str
    team: str
    queue: str
    service: str
    accepted_ms: int
    spec: BatchSpec


class JobState(StrEnum):
    """Name the states that a caller is told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class JobProgress:
    """Hold the durable part of a job's progress.

    ``done`` maps ``OCCURRENCE.STEP`` to the indexes of tasks that ended well,
    ``failures`` maps ``OCCURRENCE.STEP.INDEX`` to the numbers of failed attempts and
    ``checkpoints`` likewise to the newest checkpoint of a task that is not running.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = field(default_factory=dict)
    failures: dict[str, list[int]] = field(default_factory=dict)
    checkpoints: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, order=True, slots=True)
class TaskId:
    """Name one task of one occurrence of a step."""

    job: str
    occurrence: int
    step: int
    index: int
