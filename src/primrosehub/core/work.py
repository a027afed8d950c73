"""Jobs of the /v1 interface, their tasks, and the kinds of work."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Literal

from primrosehub.core.resources import Resources

MAX_ATTEMPTS = 3  # for each task of an idempotent job


@dataclass(frozen=True, slots=True)
class Service:
    """Define work that runs until it is cancelled, spread over racks.

    ``kind`` has no default: the encoding omits default values, and the decoder needs
    ``kind`` to choose the class.
    """

    kind: Literal["service"]


@dataclass(frozen=True, slots=True)
class Batch:
    """Define work whose tasks run to completion, independently of each other."""

    kind: Literal["batch"]
    runtime_s: float


@dataclass(frozen=True, slots=True)
class AllAtOnce:
    """Define work whose tasks must all start together or not at all."""

    kind: Literal["all_at_once"]
    runtime_s: float


WorkKind = Service | Batch | AllAtOnce


class TaskState(StrEnum):
    """List the states of a task."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class JobState(StrEnum):
    """List the states of a job as reported to callers."""

    OPEN = "open"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TaskRef:
    """Identify one attempt of one task."""

    job: str
    index: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Task:
    """Hold the stored state of one task; ``host`` is set while it is assigned."""

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    host: str = ""
    host_incarnation: str = ""

    @property
    def done(self) -> bool:
        """Return whether the task has ended for good."""
        return self.state not in (TaskState.PENDING, TaskState.ASSIGNED)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Hold a job as the caller specified it; ``size`` is the need of each task."""

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
    """Hold the stored state of one job."""

    id: str
    spec: JobSpec
    digest: str
    shard: str
    submitted_s: float
    tasks: tuple[Task, ...]
    state: JobState = JobState.OPEN
    cancel_requested: bool = False

    def ref(self, task: Task) -> TaskRef:
        """Return a reference to the task's current attempt."""
        return TaskRef(self.id, task.index, task.attempt)

    def with_task(self, task: Task) -> Job:
        """Return the job with one task replaced and its state recomputed."""
        tasks = (*self.tasks[: task.index], task, *self.tasks[task.index + 1 :])
        return replace(self, tasks=tasks, state=derive_state(tasks))


def derive_state(tasks: tuple[Task, ...]) -> JobState:
    """Return the job state that follows from the states of its tasks."""
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
