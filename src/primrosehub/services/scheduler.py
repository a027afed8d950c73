"""Run the jobs while this daemon owns them, and answer queries about them."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import ExitStack

from primrosehub.core.batch import AcceptedJob, JobState
from primrosehub.core.fleet import WitnessAnswers
from primrosehub.core.logs import log
from primrosehub.core.peering import (
    AskState,
    AskWaiting,
    JobCancelled,
    JobsAccepted,
    Noted,
    NotOwner,
    StateIs,
    WaitingIs,
)
from primrosehub.kernel import Kernel, TaskGroup, log_task_error
from primrosehub.kernel.clock import steady_s
from primrosehub.services._job_book import JobRun
from primrosehub.services._owner_term import OwnerTerm
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import PEERING


class SchedulerService:
    """Hold the current term while this daemon is the owner."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._term: OwnerTerm | None = None

    @property
    def settled(self) -> bool:
        """Return whether nothing that earlier owners started is unaccounted for."""
        return self._term is not None and self._term.settled

    def witness_answers(self, within_s: float) -> WitnessAnswers:
        """Return which hosts answered a call sent in the last ``within_s`` s."""
        if self._term is None:
            return WitnessAnswers((frozenset(),))
        return self._term.witness_answers(within_s)

    def start(self, stack: ExitStack) -> None:
        """Register handlers for the messages that peers send to the owner."""
        self._metrics = self._kernel.find(METRICS)
        peering = self._kernel.find(PEERING)
        peering.register_handler(JobsAccepted, self._on_accepted)
        peering.register_handler(JobCancelled, self._on_cancelled)
        peering.register_handler(AskState, self._on_state)
        peering.register_handler(AskWaiting, self._on_waiting)
        stack.callback(self.end_term)

    def start_term(self, epoch: int) -> None:
        """Begin a term of ownership."""
        self.end_term()
        tasks = TaskGroup(log_task_error)
        term = OwnerTerm(self._kernel, epoch, tasks)
        self._term = term
        log("term_begins", epoch=epoch)
        tasks.spawn_restarting("term", term.run)

    def end_term(self) -> None:
        """End the term immediately."""
        term, self._term = self._term, None
        if term is not None:
            log(
                "term_ends",
                epoch=term.epoch,
                lasted_s=round(steady_s() - term.began_at),
            )
            term.close()

    def flush(self) -> None:
        """Store all progress that is not yet stored; raise StoreRefused."""
        if self._term is not None and self._term.loaded.is_set():
            self._term.progress.flush()

    def state_of(self, job: str, team: str) -> JobState | None:
        """Return a job's state, None if unknown; raise LookupError without a term."""
        known = self._loaded_term().book.jobs.get(job)
        if known is None or known.accepted.team != team:
            return None
        if (
            known.visible_state is JobState.QUEUED
            and known.has_started
            and not known.final
        ):
            return JobState.RUNNING
        if known.final and known.visible_state is not known.state:
            return JobState.RUNNING
        self._record_first_report(known)
        return known.visible_state

    def waiting_in(self, queue: str) -> int:
        """Return how many jobs of a queue have not started.

        Raise LookupError without a term.
        """
        return self._loaded_term().book.waiting_in(queue)

    def add_jobs(self, jobs: Sequence[AcceptedJob]) -> None:
        """Add jobs that are already stored; raise LookupError without a term."""
        term = self._loaded_term()
        for job in jobs:
            term.add_job(job, None, False)

    def cancel(self, job: str) -> None:
        """Apply a stored cancellation; raise LookupError without a term."""
        self._loaded_term().cancel(job)

    def _record_first_report(self, job: JobRun) -> None:
        """Record the first answer to a caller that shows a job's end."""
        if not job.stored_at or job.end_reported:
            return
        job.end_reported = True
        now = steady_s()
        self._metrics.observe("stored_told_seconds", now - job.stored_at)
        log(
            "job_end_told",
            job=job.accepted.job,
            state=job.visible_state,
            age_ms=round((now - job.submitted_at) * 1000),
            ended_to_stored_ms=round((job.stored_at - job.ended_at) * 1000),
            stored_to_told_ms=round((now - job.stored_at) * 1000),
        )

    def _loaded_term(self) -> OwnerTerm:
        if self._term is None or not self._term.loaded.is_set():
            raise LookupError("this daemon does not own the jobs")
        return self._term

    def _on_accepted(self, message: JobsAccepted) -> Noted | NotOwner:
        try:
            self.add_jobs(message.jobs)
        except LookupError:
            return NotOwner()
        return Noted()

    def _on_cancelled(self, message: JobCancelled) -> Noted | NotOwner:
        try:
            self.cancel(message.job)
        except LookupError:
            return NotOwner()
        return Noted()

    def _on_state(self, message: AskState) -> StateIs | NotOwner:
        try:
            return StateIs(self.state_of(message.job, message.team))
        except LookupError:
            return NotOwner()

    def _on_waiting(self, message: AskWaiting) -> WaitingIs | NotOwner:
        try:
            return WaitingIs(self.waiting_in(message.queue))
        except LookupError:
            return NotOwner()
