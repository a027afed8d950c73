"""Draft changes of jobs: ended attempts, lapsed leases and cancellations."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import replace

from primrosehub.core.logs import log
from primrosehub.core.platform import Finished
from primrosehub.core.work import Job, Service, Task, TaskRef, TaskState
from primrosehub.policy.host_failures import FailureRecords
from primrosehub.policy.outcomes import (
    HostRestarted,
    LeaseLapsed,
    Reported,
    task_after_attempt,
)
from primrosehub.services._shard_state import Draft, ShardState
from primrosehub.services._worker_session import Report, WorkerSession
from primrosehub.services._worker_sessions import WorkerSessions
from primrosehub.services.names import Metrics

CRASH_BACKOFF_S = 1.0
MAX_CRASH_BACKOFF_S = 60.0


class JobChanges:
    """Draft the changes of jobs from the state of their attempts.

    ``retry_at`` maps a job to the monotonic time before which it is not started again.
    """

    def __init__(
        self,
        state: ShardState,
        sessions: WorkerSessions,
        failures: FailureRecords,
        metrics: Metrics,
    ) -> None:
        self.retry_at: dict[str, float] = {}
        self._state = state
        self._sessions = sessions
        self._failures = failures
        self._metrics = metrics

    def apply_reports(
        self, reports: Mapping[str, Report], draft: Draft
    ) -> dict[str, set[TaskRef]]:
        """Draft the reported changes; return what to acknowledge to each host."""
        acks: dict[str, set[TaskRef]] = {}
        for name, report in reports.items():
            session = self._sessions.by_host.get(name)
            if session is None:
                continue
            acks[name] = {finished.ref for finished in report.finished}
            for finished in report.finished:
                self._apply_finished(draft, name, finished)
            if report.running is not None:
                self._stop_unassigned(draft, name, report.running)
                self._handle_missing(draft, session, report, report.running)
        return acks

    def apply_lapses(self, draft: Draft) -> None:
        """End the attempts on worker hosts whose lease has certainly lapsed."""
        for name, session in self._sessions.by_host.items():
            if not session.lapsed:
                continue
            # An order that is still queued could start an attempt that is ended here.
            session.starts.clear()
            for ref in list(self._state.assigned_to(name)):
                current = self._assigned(draft, ref, name)
                if current:
                    job, task = current
                    log("lease_lapsed", worker=name, job=ref.job)
                    draft.jobs[job.id] = job.with_task(
                        task_after_attempt(job, task, LeaseLapsed())
                    )

    def apply_cancellations(self, draft: Draft) -> None:
        """Cancel pending tasks and order the stop of running ones."""
        for entry in list(self._state.entries.values()):
            job = self._state.latest(draft, entry.job.id)
            if job is None or not job.cancel_requested:
                continue
            for task in job.tasks:
                if task.state is TaskState.PENDING:
                    job = job.with_task(replace(task, state=TaskState.CANCELLED))
                    draft.jobs[job.id] = job
                elif task.state is TaskState.ASSIGNED:
                    self._sessions.order_stop(task.host, job.ref(task))

    def forget_ended(self, draft: Draft) -> None:
        """Discard the records of jobs that have ended."""
        for job_id in draft.jobs:
            if job_id not in self._state.entries:
                self.retry_at.pop(job_id, None)
                self._failures.forget_job(job_id)

    def _assigned(
        self, draft: Draft, ref: TaskRef, host: str
    ) -> tuple[Job, Task] | None:
        """Return job and task if exactly this attempt is assigned to the host."""
        job = self._state.latest(draft, ref.job)
        if job is None or ref.index >= len(job.tasks):
            return None
        task = job.tasks[ref.index]
        same_attempt = task.attempt == ref.attempt and task.host == host
        return (
            (job, task) if same_attempt and task.state is TaskState.ASSIGNED else None
        )

    def _stop_unassigned(
        self, draft: Draft, host: str, running: tuple[TaskRef, ...]
    ) -> None:
        for ref in running:
            if self._assigned(draft, ref, host) is None:
                self._sessions.order_stop(host, ref)

    def _apply_finished(self, draft: Draft, host: str, finished: Finished) -> None:
        current = self._assigned(draft, finished.ref, host)
        if current is None:
            return
        job, task = current
        self._metrics.count("attempts_ended", outcome=finished.outcome)
        self._record_outcome(host, job, task, finished)
        ended = task_after_attempt(job, task, Reported(finished.outcome))
        draft.jobs[job.id] = job.with_task(ended)

    def _record_outcome(
        self, host: str, job: Job, task: Task, finished: Finished
    ) -> None:
        now = time.monotonic()
        failed = finished.outcome == "failed"
        if finished.outcome == "succeeded":
            self._failures.note_success(host)
        elif failed and self._failures.note_failure(host, job.id, now):
            log("worker_quarantined", worker=host)
            self._metrics.count("worker_quarantines", worker=host)
        if failed or isinstance(job.spec.work, Service):
            pause_s = min(MAX_CRASH_BACKOFF_S, CRASH_BACKOFF_S * 2**task.attempt)
            self.retry_at[job.id] = now + pause_s

    def _handle_missing(
        self,
        draft: Draft,
        session: WorkerSession,
        report: Report,
        running: tuple[TaskRef, ...],
    ) -> None:
        """Order again, or end, the attempts that the worker host does not know.

        A host that has not restarted since the assignment remembers every attempt it
        was ordered to start, so an attempt that it does not know never ran.
        """
        reported = set(running) | {finished.ref for finished in report.finished}
        host = session.host.name
        for ref in list(self._state.assigned_to(host)):
            if ref in reported or ref in session.starts:
                continue
            current = self._assigned(draft, ref, host)
            if current is None:
                continue
            job, task = current
            if task.host_incarnation == report.incarnation:
                self._sessions.order_start(host, job, ref)
            else:
                draft.jobs[job.id] = job.with_task(
                    task_after_attempt(job, task, HostRestarted())
                )
