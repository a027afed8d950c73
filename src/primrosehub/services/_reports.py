"""Compare a worker host's report with the owner's state and act on differences."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosehub.core.fleet import (
    EndedAttempt,
    EndKind,
    HostReport,
    RunningAttempt,
    StopOrder,
)
from primrosehub.core.logs import log
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.host_trust import Progress, is_stuck
from primrosehub.services._host_session import HostSession
from primrosehub.services._job_book import (
    TaskPhase,
    TaskRun,
    apply_end,
    keep_checkpoint,
)

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

# An attempt missing from this many reports has vanished from its host.
VANISHED_AFTER_REPORTS = 2


def apply_report(
    term: OwnerTerm, session: HostSession, report: HostReport, sent_at: float
) -> None:
    """Process a report's ends and progress, and its untracked and missing attempts.

    ``sent_at`` is the time at which the report was requested. While a report does not
    list all ends, an attempt that is missing may have ended, so it is left as it is.
    """
    for end in report.ended:
        if end.number > session.last_received_end:
            session.last_received_end = end.number
            _process_end(term, session, end)
    reported = set()
    for run in report.running:
        reported.add((run.task, run.attempt))
        _process_running(term, session, run)
    for order in [
        one
        for one in session.untracked_attempts
        if (one.task, one.attempt) not in reported
    ]:
        del session.untracked_attempts[order]
    if report.ends_complete:
        for task in list(session.assigned_tasks):
            if (task.id, task.attempt) not in reported:
                _process_absent(term, session, task, sent_at)
    if report.remaining_ms is not None:
        session.leaves_at = steady_s() + report.remaining_ms / 1000
    if report.draining and not session.draining:
        term.host_draining(session)
    if session.last_received_end > session.last_stored_end:
        term.progress.wake()


def _process_end(term: OwnerTerm, session: HostSession, end: EndedAttempt) -> None:
    session.untracked_attempts.pop(StopOrder(end.task, end.attempt), None)
    task = term.book.task(end.task)
    if task is None:
        return
    log(
        "attempt_ended",
        job=end.task.job,
        step=end.task.step,
        task=end.task.index,
        attempt=end.attempt,
        host=session.host,
        how=end.kind,
    )
    term.metrics.count("attempts_ended", how=str(end.kind))
    if task.host == session.host and task.attempt == end.attempt:
        session.assigned_tasks.pop(task, None)
        term.note_running(task)
        _update_host_statistics(term, session, task, end.kind)
        stops = apply_end(term.book, task, end.kind, session.host, end.checkpoint)
    elif task.phase is TaskPhase.DONE:
        stops = []
    else:
        stops = _process_untracked_end(term, task, end, session.host)
    job = task.step.job
    if job.final and not job.ended_at:
        job.ended_at = steady_s()
    for stop in stops:
        term.stop(stop.task, stop.reason)
    term.wake()


def _process_untracked_end(
    term: OwnerTerm, task: TaskRun, end: EndedAttempt, host: str
) -> list:
    """Process the end of an attempt that this owner does not track."""
    task.step.job.has_started = True
    task.attempt = max(task.attempt, end.attempt) if not task.host else task.attempt
    if end.checkpoint and not task.host and not task.checkpoint:
        task.checkpoint = end.checkpoint
    match end.kind:
        case EndKind.DONE if not task.step.spec.long_running:
            return term.book.end_done(task)
        case EndKind.FAILED:
            return term.book.end_failed(task, end.attempt, host)
    return []


def _update_host_statistics(
    term: OwnerTerm, session: HostSession, task: TaskRun, kind: EndKind
) -> None:
    match kind:
        case EndKind.DONE:
            session.trust.note_success()
            if not task.resumed:
                took_s = steady_s() - task.started_at
                session.pace.note_done(took_s, task.step.spec.estimate_s)
        case EndKind.FAILED:
            for host in task.failed_on:
                if host in term.sessions:
                    term.sessions[host].trust.halve_failure_rate()
            if not task.failed_on and session.trust.note_failure(steady_s()):
                log("host_suspended", host=session.host, reason="failed attempts")


def _process_running(
    term: OwnerTerm, session: HostSession, run: RunningAttempt
) -> None:
    task = term.book.task(run.task)
    if task is not None and task.host == session.host and task.attempt == run.attempt:
        _update_progress(term, session, task, run)
        return
    can_be_adopted = (
        task is not None
        and not task.host
        and task.phase is TaskPhase.WAITING
        and task.possibly_started
        and not task.step.job.final
    )
    if can_be_adopted:
        term.adopt(session, task, run)
        return
    # The attempt of an unknown job is counted as using the whole host.
    need = term.book.need_of(run.task) or session.info.capacity
    session.stop_untracked(StopOrder(run.task, run.attempt), need, "not assigned")


def _update_progress(
    term: OwnerTerm, session: HostSession, task: TaskRun, run: RunningAttempt
) -> None:
    now = steady_s()
    term.note_running(task)
    task.missing = 0
    if run.checkpoint:
        keep_checkpoint(task, run.checkpoint)
    if run.percent != task.percent or task.first_percent < 0:
        if task.first_percent < 0:
            task.first_percent, task.first_percent_at = run.percent, now
        task.percent, task.percent_at = run.percent, now
    if task.phase is TaskPhase.STARTING:
        task.phase = TaskPhase.RUNNING
    can_be_stuck = task.phase is TaskPhase.RUNNING and not task.step.spec.long_running
    if can_be_stuck and is_stuck(_progress_of(task, now)):
        task.stuck_attempts += 1
        session.trust.note_stuck(now)
        log("attempt_stuck", job=task.id.job, host=session.host, percent=task.percent)
        term.stop(task, "stuck")


def _progress_of(task: TaskRun, now: float) -> Progress:
    return Progress(
        percent=task.percent,
        first_percent=task.first_percent,
        reached_s=task.percent_at - task.first_percent_at,
        unchanged_s=now - task.percent_at,
        estimate_s=task.step.spec.estimate_s,
        stuck_before=task.stuck_attempts,
    )


def _process_absent(
    term: OwnerTerm, session: HostSession, task: TaskRun, sent_at: float
) -> None:
    """Stop or free a task whose attempt is missing from the report.

    What a host has forgotten in a restart, a later owner may know.
    """
    if not session.incarnation_confirmed:
        return
    answered = task.stop_answered_at
    if answered is not None:
        if sent_at > answered + term.stop_timeout_s:
            session.assigned_tasks.pop(task, None)
            apply_end(term.book, task, EndKind.STOPPED, session.host, "")
            term.wake()
        return
    if task.phase is TaskPhase.RUNNING and sent_at > task.started_at:
        task.missing += 1
        if task.missing >= VANISHED_AFTER_REPORTS:
            log("attempt_vanished", job=task.id.job, host=session.host)
            term.stop(task, "vanished")
