"""The owner's state of jobs, steps and tasks in memory, and its transitions.

Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from primrosehub.core.batch import (
    FINAL_STATES,
    AcceptedJob,
    JobProgress,
    JobState,
    StepSpec,
    TaskId,
)
from primrosehub.core.clusterconfig import Queue
from primrosehub.core.fleet import EndKind, Ticket
from primrosehub.core.resources import NO_RESOURCES, Resources

# Each epoch numbers its attempts from a range of its own, so that attempts of different
# epochs never share a number.
ATTEMPTS_PER_EPOCH = 1000


class TaskPhase(Enum):
    """Name the state of a task as far as the owner knows it.

    The attempt of a lost task has ended, unless a later owner knows better.
    """

    WAITING = auto()
    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()
    LOST = auto()
    DONE = auto()


@dataclass(slots=True, eq=False)
class TaskRun:
    """Hold one task.

    ``host`` is set while an attempt may use resources on that host.
    ``possibly_started`` is set while an attempt of an earlier owner may be running on a
    host that has not reported yet. ``start_in_doubt`` is set while a start order of the
    attempt has got no answer, so that it may still arrive. ``missing`` counts the
    host's consecutive reports without the started attempt, ``stuck_attempts`` the
    attempts that this owner has stopped as stuck. Times are on this owner's monotonic
    clock.
    """

    id: TaskId
    step: StepRun
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    host: str = ""
    failed_attempts: set[int] = field(default_factory=set)
    checkpoint: str = ""
    failed_on: set[str] = field(default_factory=set)
    possibly_started: bool = False
    start_in_doubt: bool = False
    started_at: float = 0.0
    percent: float = 0
    percent_at: float = 0.0
    first_percent: float = -1
    first_percent_at: float = 0.0
    stuck_attempts: int = 0
    resumed: bool = False
    stop_answered_at: float | None = None
    missing: int = 0


@dataclass(slots=True, eq=False)
class StepRun:
    """Hold one occurrence of a step.

    ``blockers`` are the numbers of the steps that must be completed first.
    ``remaining`` counts the tasks that are not done. ``allowed_hosts`` are all hosts
    that advice has ever allowed, None before the first advice.
    """

    job: JobRun
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[TaskRun] = field(default_factory=list)
    blockers: set[int] = field(default_factory=set)
    due_ms: int = 0
    remaining: int = 0
    tickets: dict[str, Ticket] = field(default_factory=dict)
    allowed_hosts: frozenset[str] | None = None
    hosts_asked_about: set[str] = field(default_factory=set)
    advice_pending: bool = False
    advised_at: float = float("-inf")
    unplaced_since: float | None = None
    wait_logged_at: float = float("-inf")

    @property
    def waiting(self) -> list[TaskRun]:
        """Return the tasks without an attempt that is or may be running."""
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING
            and not task.host
            and not task.possibly_started
        ]


@dataclass(slots=True, eq=False)
class JobRun:
    """Hold one job.

    All times are on this owner's monotonic clock: ``learned_at`` is when this owner
    first learned of the job, ``submitted_at`` when the caller submitted it,
    ``ended_at`` when it ended and ``stored_at`` when its end was stored, 0 before.
    ``visible_state`` is the state that callers are shown, which follows ``state`` once
    it is stored. ``end_reported`` is set once a caller has been shown the end.
    ``beyond_share`` marks a job that exceeds its team's share. ``has_started`` is set
    once a host has confirmed or listed an attempt; an order alone may be refused.
    """

    accepted: AcceptedJob
    queue: Queue | None
    learned_at: float
    found_at_take_over: bool
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    visible_state: JobState = JobState.QUEUED
    cancelled: bool = False
    has_started: bool = False
    submitted_at: float = 0.0
    beyond_share: bool = False
    ended_at: float = 0.0
    stored_at: float = 0.0
    end_reported: bool = False

    @property
    def max_attempts(self) -> int:
        """Return after how many failed attempts of a task the job fails.

        Without its queue, this is as it was when the job was submitted.
        """
        if self.queue is not None:
            return self.queue.max_attempts
        return max(1, self.accepted.max_attempts)

    @property
    def final(self) -> bool:
        """Return whether no more tasks of the job are to be started."""
        return self.cancelled or self.state in FINAL_STATES


@dataclass(frozen=True, slots=True)
class StopTask:
    """Request that a task's attempt be stopped, for a reason."""

    task: TaskRun
    reason: str


class JobBook:
    """Hold all jobs that the owner knows.

    ``unfinished`` are those of the jobs that are not final. ``open_steps`` are the
    steps that are not blocked and not done. ``dirty`` holds the
    ids of jobs whose progress is not stored yet. ``withheld`` holds the ids of jobs
    whose stored progress is unreadable, which therefore must not run. Jobs and
    cancellations arrive independently, so a cancellation may precede its job.
    """

    def __init__(self, epoch: int) -> None:
        self._first_attempt = (epoch - 1) * ATTEMPTS_PER_EPOCH + 1
        self.jobs: dict[str, JobRun] = {}
        self.unfinished: dict[str, JobRun] = {}
        self.withheld: set[str] = set()
        self._early_cancellations: set[str] = set()
        self.open_steps: dict[tuple[str, int, int], StepRun] = {}
        self.dirty: set[str] = set()
        self.used_by_team: dict[str, Resources] = {}
        self.long_running_by_team: dict[str, Resources] = {}

    def add(
        self,
        accepted: AcceptedJob,
        queue: Queue | None,
        progress: JobProgress | None,
        learned_at: float,
        found_at_take_over: bool,
    ) -> JobRun:
        """Add a stored job and return it; return an existing job unchanged.

        Raise ValueError if the progress does not fit the job, which then is not added:
        its tasks may be done already.
        """
        existing = self.jobs.get(accepted.job)
        if existing is not None:
            return existing
        job = JobRun(accepted, queue, learned_at, found_at_take_over)
        self.jobs[accepted.job] = job
        if progress is not None and progress.state in FINAL_STATES:
            job.state = job.visible_state = progress.state
            return job
        self.unfinished[accepted.job] = job
        self._add_steps(job)
        if progress is not None:
            try:
                self._restore(job, progress)
            except (LookupError, ValueError) as error:
                self._discard(job)
                raise ValueError(f"the progress does not fit: {error!r}") from None
        if found_at_take_over:
            for step in job.steps.values():
                for task in step.tasks:
                    task.possibly_started = task.phase is TaskPhase.WAITING
        if accepted.job in self._early_cancellations:
            self._early_cancellations.discard(accepted.job)
            self._cancel(job)
        return job

    def cancel(self, job_id: str) -> list[StopTask]:
        """Mark a job as cancelled; return the attempts to stop."""
        job = self.jobs.get(job_id)
        if job is None:
            self._early_cancellations.add(job_id)
            return []
        if job.final:
            return []
        self._cancel(job)
        return self._stops_for(job, "cancelled")

    def task(self, task_id: TaskId) -> TaskRun | None:
        """Return a task, or None for an unknown one."""
        job = self.jobs.get(task_id.job)
        step = job.steps.get((task_id.occurrence, task_id.step)) if job else None
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def need_of(self, task_id: TaskId) -> Resources | None:
        """Return the resources that a task needs, None if the task is unknown.

        The need is also known after the job has ended.
        """
        job = self.jobs.get(task_id.job)
        if job is None or task_id.step >= len(job.accepted.spec.steps):
            return None
        return job.accepted.spec.steps[task_id.step].need

    def bind(self, task: TaskRun, host: str, attempt: int, phase: TaskPhase) -> None:
        """Assign an attempt of a task to a host and count its need for the team."""
        task.host, task.attempt, task.phase = host, attempt, phase
        task.possibly_started = task.start_in_doubt = False
        task.stop_answered_at, task.missing = None, 0
        task.percent, task.first_percent = 0, -1
        task.resumed = bool(task.checkpoint) or phase is TaskPhase.RUNNING
        if phase is TaskPhase.RUNNING:
            task.step.job.has_started = True
        self._add_usage(task, 1)

    def unbind(self, task: TaskRun) -> None:
        """Record that no attempt of the task uses resources any more."""
        self._add_usage(task, -1)
        task.host = ""
        task.stop_answered_at = None

    def next_attempt(self, tasks: Iterable[TaskRun]) -> int:
        """Return a number greater than those of all earlier attempts of the tasks."""
        tasks = list(tasks)
        highest = max(task.attempt for task in tasks) + 1
        if tasks[0].step.job.found_at_take_over:
            return max(highest, self._first_attempt)
        return highest

    def end_done(self, task: TaskRun) -> list[StopTask]:
        """Record that a task, or its whole gang, has succeeded."""
        step = task.step
        finished = step.tasks if step.spec.gang else [task]
        stops = []
        for member in finished:
            if member.phase is not TaskPhase.DONE:
                if member.host and not step.spec.gang:
                    stops.append(StopTask(member, "already done"))
                member.phase = TaskPhase.DONE
                member.possibly_started = False
                step.remaining -= 1
        job = step.job
        self.dirty.add(job.accepted.job)
        if step.remaining == 0:
            self.open_steps.pop(_key(step), None)
            self._unblock(step)
            if all(other.remaining == 0 for other in job.steps.values()):
                self._finish(job, JobState.COMPLETED)
        return stops

    def end_failed(self, task: TaskRun, attempt: int, host: str) -> list[StopTask]:
        """Record that an attempt failed; fail the job if no attempts are left.

        A host lists an end until it is acknowledged, so a new owner may receive one
        that was counted before. Several ends of the same gang attempt count once.
        """
        step = task.step
        counted_task = step.tasks[0] if step.spec.gang else task
        if attempt in counted_task.failed_attempts:
            return []
        counted_task.failed_attempts.add(attempt)
        for member in step.tasks if step.spec.gang else (task,):
            member.failed_on.add(host)
        job = step.job
        self.dirty.add(job.accepted.job)
        if (
            step.spec.long_running
            or len(counted_task.failed_attempts) < job.max_attempts
            or job.final
        ):
            return []
        self._finish(job, JobState.FAILED)
        return self._stops_for(job, "job failed")

    def progress_of(self, job: JobRun) -> JobProgress:
        """Return the part of a job's progress that is stored."""
        if job.state in FINAL_STATES:
            return JobProgress(state=job.state)
        done: dict[str, list[int]] = {}
        failures: dict[str, list[int]] = {}
        checkpoints: dict[str, str] = {}
        for (occurrence, number), step in job.steps.items():
            ended = [t.id.index for t in step.tasks if t.phase is TaskPhase.DONE]
            if ended:
                done[f"{occurrence}.{number}"] = ended
            for task in step.tasks:
                name = f"{occurrence}.{number}.{task.id.index}"
                if task.failed_attempts:
                    failures[name] = sorted(task.failed_attempts)
                if task.checkpoint and not task.host:
                    checkpoints[name] = task.checkpoint
        state = JobState.RUNNING if job.has_started else JobState.QUEUED
        return JobProgress(state, done, failures, checkpoints)

    def possibly_used_by_team(self) -> dict[str, Resources]:
        """Return the needs of tasks that an earlier owner may have started."""
        used: dict[str, Resources] = {}
        for job in self.unfinished.values():
            team = job.accepted.team
            for step in job.steps.values():
                count = sum(task.possibly_started for task in step.tasks)
                used[team] = used.get(team, NO_RESOURCES) + step.spec.need * count
        return used

    def settle(self) -> list[StopTask]:
        """Free tasks that no host runs; call this once all hosts have reported."""
        stops = []
        for job in self.unfinished.values():
            for step in job.steps.values():
                for task in step.tasks:
                    task.possibly_started = False
                stops += _incomplete_gang_stops(step)
        return stops

    def waiting_in(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return sum(
            1
            for job in self.unfinished.values()
            if not job.has_started and job.accepted.queue == queue
        )

    def waiting_since(self) -> dict[str, list[float]]:
        """Return by queue when its jobs that have not started were submitted."""
        waiting: dict[str, list[float]] = {}
        for job in self.unfinished.values():
            if not job.has_started:
                waiting.setdefault(job.accepted.queue, []).append(job.submitted_at)
        return waiting

    def _add_steps(self, job: JobRun) -> None:
        spec = job.accepted.spec
        for occurrence in range(max(1, spec.occurrences)):
            due = spec.first_due_ms + occurrence * spec.interval_ms
            for number, step_spec in enumerate(spec.steps):
                step = StepRun(job, occurrence, number, step_spec)
                step.blockers = set(step_spec.after)
                step.due_ms = due if spec.occurrences else 0
                step.remaining = step_spec.tasks
                step.tasks = [
                    TaskRun(TaskId(job.accepted.job, occurrence, number, index), step)
                    for index in range(step_spec.tasks)
                ]
                job.steps[(occurrence, number)] = step
                if not step.blockers:
                    self.open_steps[_key(step)] = step

    def _cancel(self, job: JobRun) -> None:
        job.cancelled = True
        job.state = JobState.CANCELLED
        self._close(job)

    def _discard(self, job: JobRun) -> None:
        del self.jobs[job.accepted.job]
        self.unfinished.pop(job.accepted.job, None)
        self.dirty.discard(job.accepted.job)
        for step in job.steps.values():
            self.open_steps.pop(_key(step), None)

    def _restore(self, job: JobRun, progress: JobProgress) -> None:
        job.has_started = progress.state is not JobState.QUEUED
        for name, attempts in progress.failures.items():
            self._task_named(job, name).failed_attempts.update(attempts)
        for name, checkpoint in progress.checkpoints.items():
            self._task_named(job, name).checkpoint = checkpoint
        for name, indexes in progress.done.items():
            occurrence, number = (int(part) for part in name.split("."))
            step = job.steps[(occurrence, number)]
            for index in indexes:
                _check_index(step, index)
                if step.tasks[index].phase is not TaskPhase.DONE:
                    self.end_done(step.tasks[index])

    def _task_named(self, job: JobRun, name: str) -> TaskRun:
        occurrence, number, index = (int(part) for part in name.split("."))
        step = job.steps[(occurrence, number)]
        _check_index(step, index)
        return step.tasks[index]

    def _unblock(self, done: StepRun) -> None:
        for (occurrence, _), step in done.job.steps.items():
            if occurrence == done.occurrence and done.number in step.blockers:
                step.blockers.discard(done.number)
                if not step.blockers and step.remaining:
                    self.open_steps[_key(step)] = step

    def _finish(self, job: JobRun, state: JobState) -> None:
        job.state = state
        self._close(job)

    def _close(self, job: JobRun) -> None:
        self.dirty.add(job.accepted.job)
        self.unfinished.pop(job.accepted.job, None)
        for step in job.steps.values():
            self.open_steps.pop(_key(step), None)

    def _stops_for(self, job: JobRun, reason: str) -> list[StopTask]:
        return [
            StopTask(task, reason)
            for step in job.steps.values()
            for task in step.tasks
            if task.host
        ]

    def _add_usage(self, task: TaskRun, sign: int) -> None:
        team, spec = task.step.job.accepted.team, task.step.spec
        changed = [self.used_by_team]
        if spec.long_running:
            changed.append(self.long_running_by_team)
        for used in changed:
            used[team] = used.get(team, NO_RESOURCES) + spec.need * sign


def _check_index(step: StepRun, index: int) -> None:
    if not 0 <= index < len(step.tasks):
        raise LookupError(f"step {step.number} has no task {index}")


def _key(step: StepRun) -> tuple[str, int, int]:
    return (step.job.accepted.job, step.occurrence, step.number)


def _incomplete_gang_stops(step: StepRun) -> list[StopTask]:
    """Return the attempts to stop if a gang does not run whole in one attempt."""
    if not step.spec.gang or step.remaining == 0:
        return []
    bound = [task for task in step.tasks if task.host]
    if not bound:
        return []
    if len(bound) == len(step.tasks) and len({task.attempt for task in bound}) == 1:
        return []
    return [
        StopTask(task, "gang incomplete")
        for task in bound
        if task.phase is not TaskPhase.STOPPING
    ]


def apply_end(
    book: JobBook, task: TaskRun, kind: EndKind, host: str, checkpoint: str
) -> list[StopTask]:
    """Record the end of a task's current attempt; return the attempts to stop."""
    book.unbind(task)
    if task.phase is TaskPhase.DONE:
        return []
    task.phase = TaskPhase.WAITING
    if checkpoint:
        keep_checkpoint(task, checkpoint)
    match kind:
        case EndKind.DONE if not task.step.spec.long_running:
            return book.end_done(task)
        case EndKind.FAILED:
            stops = book.end_failed(task, task.attempt, host)
        case _:
            book.dirty.add(task.id.job)
            stops = []
    return stops + _incomplete_gang_stops(task.step)


def keep_checkpoint(task: TaskRun, checkpoint: str) -> None:
    """Set the checkpoint from which the task, or its whole gang, continues."""
    for member in task.step.tasks if task.step.spec.gang else (task,):
        member.checkpoint = checkpoint
