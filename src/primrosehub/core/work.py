"""Jobs, their tasks, and the kinds of work."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Literal

from primrosehub.core.resources import Resources

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Service:
    """Mark work that runs until it is cancelled, spread over racks.

    ``kind`` has no default, as encoding leaves defaults out and it tells the
    classes apart.
    """

    kind: Literal["service"]


@dataclass(frozen=True, slots=True)
class Batch:
    """Mark work whose tasks run to their end, each on its own."""

    kind: Literal["batch"]
    runtime_s: float


@dataclass(frozen=True, slots=True)
class AllAtOnce:
    """Mark work whose tasks must all start together or not at all."""

    kind: Literal["all_at_once"]
    runtime_s: float


WorkKind = Service | Batch | AllAtOnce


class TaskState(StrEnum):
    """Name the states of a task."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class JobState(StrEnum):
    """Name the states of a job, as callers read them."""

    OPEN = "open"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identify one attempt at one task."""

    job: str
    index: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Task:
    """Hold the durable state of one task; ``host`` is set while assigned."""

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    host: str = ""
    host_incarnation: str = ""

    @property
    def done(self) -> bool:
        """Tell whether the task will never run again."""
        return self.state not in (TaskState.PENDING, TaskState.ASSIGNED)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Hold what the caller asked for."""

    team: str
    queue: str
    work: WorkKind
    tasks: int
    size: Resources
    command: str
    urgent: bool = False
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Job:
    """Hold the durable state of one job."""

    id: str
    spec: JobSpec
    digest: str
    shard: str
    submitted_s: float
    tasks: tuple[Task, ...]
    state: JobState = JobState.OPEN
    cancel_requested: bool = False

    def ref(self, task: Task) -> TaskRef:
        """Return the reference of the task's current attempt."""
        return TaskRef(self.id, task.index, task.attempt)

    def with_task(self, task: Task) -> Job:
        """Return the job with one task replaced and its state derived."""
        tasks = (*self.tasks[: task.index], task, *self.tasks[task.index + 1 :])
        return replace(self, tasks=tasks, state=derive_state(tasks))


def derive_state(tasks: tuple[Task, ...]) -> JobState:
    """Return the job state that the states of its tasks amount to."""
    states = {task.state for task in tasks}
    if states & {TaskState.PENDING, TaskState.ASSIGNED}:
        return JobState.OPEN
    for task_state, job_state in (
        (TaskState.UNKNOWN, JobState.UNKNOWN),
        (TaskState.FAILED, JobState.FAILED),
        (TaskState.CANCELLED, JobState.CANCELLED),
    ):
        if task_state in states:
            return job_state
    return JobState.SUCCEEDED
