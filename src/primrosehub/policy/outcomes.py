"""Decide the next state of a task after an attempt at it has ended."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import assert_never

from primrosehub.core.platform import Outcome
from primrosehub.core.work import (
    MAX_ATTEMPTS,
    Job,
    Service,
    Task,
    TaskState,
)


@dataclass(frozen=True, slots=True)
class Reported:
    """Say that the worker host reported how the attempt ended."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """Say that the worker host's lease has lapsed, so that nothing runs there."""


@dataclass(frozen=True, slots=True)
class HostRestarted:
    """Say that the worker host has restarted and knows nothing of the attempt."""


AttemptEnd = Reported | LeaseLapsed | HostRestarted


def task_after_attempt(job: Job, task: Task, end: AttemptEnd) -> Task:
    """Return the task in its next state.

    A job that is not idempotent is never started twice: if an attempt may have run
    and its end was not reported, the task becomes unknown.
    """
    match end:
        case Reported("succeeded"):
            state = TaskState.SUCCEEDED
        case Reported("failed"):
            state = TaskState.FAILED
        case Reported("refused"):
            return _after_refusal(job, task)
        case Reported("stopped" | "lapsed") | LeaseLapsed() | HostRestarted():
            return _after_interruption(job, task)
        case _:
            assert_never(end)
    if _starts_again(job, task, state):
        return _pending(task)
    return replace(task, state=state)


def _starts_again(job: Job, task: Task, state: TaskState) -> bool:
    if job.cancel_requested:
        return False
    if isinstance(job.spec.work, Service):
        return True
    failed = state is TaskState.FAILED
    return failed and job.spec.idempotent and task.attempt < MAX_ATTEMPTS


def _after_refusal(job: Job, task: Task) -> Task:
    if job.cancel_requested:
        return replace(task, state=TaskState.CANCELLED)
    return _pending(task)


def _after_interruption(job: Job, task: Task) -> Task:
    if job.cancel_requested:
        return replace(task, state=TaskState.CANCELLED)
    if not job.spec.idempotent:
        return replace(task, state=TaskState.UNKNOWN)
    return _pending(task)


def _pending(task: Task) -> Task:
    return replace(task, state=TaskState.PENDING, host="", host_incarnation="")
