"""The state and tasks of one term of ownership.

A term lasts from the take-over until the daemon gives up or loses the ownership.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

import gevent
from gevent.event import Event

from primrosehub.core.batch import AcceptedJob, JobProgress
from primrosehub.core.fleet import (
    EndKind,
    RunningAttempt,
    WitnessAnswers,
    WorkerHost,
)
from primrosehub.core.logs import log
from primrosehub.core.rows import StoreRefused
from primrosehub.kernel import Kernel, TaskGroup
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.policy.host_pace import remaining_s
from primrosehub.policy.urgency import TokenBucket
from primrosehub.services import _reports
from primrosehub.services._host_session import LEASE_S, MIN_HOST_CLOCK_RATE, HostSession
from primrosehub.services._job_book import (
    JobBook,
    TaskPhase,
    TaskRun,
    apply_end,
)
from primrosehub.services._planner import Planner
from primrosehub.services._progress_writer import ProgressWriter
from primrosehub.services._queue_report import QueueReport
from primrosehub.services._term_rows import TermRows
from primrosehub.services._witnesses import Witnesses
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import (
    ADVISING,
    CLUSTER_CONFIG,
    OWNERSHIP,
    STORE,
)

RETRY_S = 0.2
# A lease lasts at most LEASE_S on a host's clock, which may run slow. So this long
# after the last orders of earlier owners, no attempt of theirs runs on a host that was
# not reached.
LAST_LEASE_S = LEASE_S / MIN_HOST_CLOCK_RATE + 0.5
MAX_JOB_AGE_MS = 3_600_000  # limits the error in a job's age after a clock jump


class OwnerTerm:
    """Hold the state of one term and run its tasks."""

    def __init__(self, kernel: Kernel, epoch: int, tasks: TaskGroup) -> None:
        self.epoch = epoch
        self.store = kernel.find(STORE)
        self.ownership = kernel.find(OWNERSHIP)
        self.config = kernel.find(CLUSTER_CONFIG)
        self.advising = kernel.find(ADVISING)
        self.metrics = kernel.find(METRICS)
        self.max_lease_ms = kernel.settings.bounds.max_lease_ms
        self.lease_ms = min(int(LEASE_S * 1000), self.max_lease_ms)
        self.drain_s = kernel.settings.bounds.host_drain_ms / 1000
        self.stop_timeout_s = kernel.settings.bounds.stop_timeout_ms / 1000
        self.book = JobBook(epoch)
        self.sessions: dict[str, HostSession] = {}
        self.progress = ProgressWriter(self)
        self.queue_report = QueueReport(self)
        self.planner = Planner(self)
        self.rows = TermRows(self)
        self.loaded = Event()
        self.settled = False
        self.roster_known = True
        self.began_at = steady_s()
        self.witnesses = Witnesses(self.began_at)
        self.tasks = tasks
        self._confirm_requested = Event()
        self._lost_at: dict[TaskRun, float] = {}
        self._hosts_changed_at = float("-inf")
        self._token_buckets: dict[str, TokenBucket] = {}

    @property
    def may_order(self) -> bool:
        """Return whether orders of this term may still be sent."""
        return self.ownership.may_order(self.epoch)

    def witness_answers(self, within_s: float) -> WitnessAnswers:
        """Return which hosts answered a call sent in the last ``within_s`` s."""
        since = steady_s() - within_s
        return WitnessAnswers(
            self.witnesses.electorates,
            frozenset(
                host for host, one in self.sessions.items() if one.confirms_since(since)
            ),
        )

    def step_down(self, reason: str) -> None:
        """Give up the ownership, because a host has seen a higher epoch."""
        self.ownership.step_down(self.epoch, reason)

    def run(self) -> None:
        """Load the stored state, start the tasks of the term and watch the hosts."""
        version = self.rows.load()
        self.loaded.set()
        self.rows.follow(version)
        self.tasks.spawn_restarting("progress", self.progress.run)
        self.tasks.spawn_restarting("planner", self.planner.run)
        self.tasks.spawn_restarting("confirm", self._confirm_on_request)
        self.tasks.spawn_restarting("queue-report", self.queue_report.run)
        self.progress.wake()
        self._watch_hosts()

    def close(self) -> None:
        """End the term immediately."""
        for session in self.sessions.values():
            session.close()
        self.queue_report.clear()
        self.tasks.close()

    def request_confirmation(self) -> None:
        """Request that the store confirm the ownership at once."""
        self._confirm_requested.set()

    def wake(self) -> None:
        """Request a plan."""
        self.planner.changed.set()

    def add_job(
        self, accepted: AcceptedJob, progress: JobProgress | None, at_take_over: bool
    ) -> None:
        """Add a stored job."""
        if accepted.job in self.book.jobs or accepted.job in self.book.withheld:
            return
        now = steady_s()
        queue = self.config.current.queue_named(accepted.queue)
        job = self.book.add(accepted, queue, progress, now, at_take_over)
        age_ms = max(0, min(MAX_JOB_AGE_MS, unix_ms() - accepted.accepted_ms))
        job.submitted_at = now - (age_ms / 1000 if at_take_over else 0.0)
        team = self.config.current.teams.get(accepted.team)
        if team is not None:
            bucket = self._token_buckets.setdefault(accepted.team, TokenBucket())
            job.beyond_share = bucket.note_job(job.submitted_at, team.weight)
            if job.beyond_share:
                log(
                    "job_beyond_share",
                    job=accepted.job,
                    team=accepted.team,
                    weight=team.weight,
                )
        if job.cancelled:
            log("job_cancelled_before_it_was_known", job=accepted.job)
            self.progress.wake()
        if not at_take_over:
            self.request_confirmation()
        self.wake()

    def cancel(self, job_id: str) -> None:
        """Apply a stored cancellation."""
        stops = self.book.cancel(job_id)
        if job_id in self.book.jobs:
            log("job_cancelled", job=job_id, stops=len(stops))
        for stop in stops:
            self.stop(stop.task, stop.reason)
        self.progress.wake()
        self.wake()

    def stop(self, task: TaskRun, reason: str) -> None:
        """Stop the current attempt of a task on its host."""
        session = self.sessions.get(task.host)
        if session is not None and task.phase is not TaskPhase.STOPPING:
            session.stop(task, reason)

    def started(
        self, session: HostSession, task: TaskRun, sent: float, planned_at: float
    ) -> None:
        """Record that a host has started an attempt."""
        now = steady_s()
        if task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
        task.started_at, task.percent_at = sent, now
        self.note_running(task)
        job = task.step.job
        log(
            "attempt_started",
            job=task.id.job,
            step=task.id.step,
            task=task.id.index,
            attempt=task.attempt,
            host=session.host,
            epoch=self.epoch,
            order_ms=round((now - planned_at) * 1000),
            age_ms=round((now - job.submitted_at) * 1000),
        )
        self.metrics.count("attempts_started")
        self.metrics.observe("order_seconds", now - planned_at)
        if task.attempt == 1:
            self.metrics.observe(
                "start_wait_seconds", now - job.submitted_at, queue=job.accepted.queue
            )
        if job.final:
            self.stop(task, "job ended meanwhile")

    def note_running(self, task: TaskRun) -> None:
        """Record that an attempt of this owner has started; count a job's first."""
        job = task.step.job
        if job.has_started:
            return
        job.has_started = True
        now = steady_s()
        self.queue_report.waits.note_started(
            job.accepted.queue, now, now - job.submitted_at
        )

    def not_started(self, session: HostSession, task: TaskRun, reason: str) -> None:
        """Free the resources of an attempt that certainly did not start."""
        log("not_started", job=task.id.job, host=session.host, reason=reason)
        session.assigned_tasks.pop(task, None)
        for stop in apply_end(self.book, task, EndKind.STOPPED, session.host, ""):
            self.stop(stop.task, stop.reason)
        self.wake()

    def adopt(self, session: HostSession, task: TaskRun, run: RunningAttempt) -> None:
        """Continue an attempt that an earlier owner started."""
        self.book.bind(task, session.host, run.attempt, TaskPhase.RUNNING)
        session.assigned_tasks[task] = None
        now = steady_s()
        task.started_at = task.percent_at = task.first_percent_at = now
        task.percent = task.first_percent = run.percent
        if run.checkpoint:
            task.checkpoint = run.checkpoint

    def apply_report(self, session: HostSession, report: object, sent: float) -> None:
        """Apply a host's report to the state of its tasks."""
        _reports.apply_report(self, session, report, sent)

    def open_session(self, info: WorkerHost) -> HostSession:
        """Open a session with a host."""
        session = HostSession(self, info)
        self.sessions[info.host] = session
        session.open(self.tasks)
        self.progress.wake()
        return session

    def host_moved(self, session: HostSession) -> None:
        """Close a session whose host has registered again at another address."""
        session.close()
        self.host_lost_tasks(session, "moved")

    def host_reached(self, session: HostSession) -> None:
        """Handle the first report of a host, and the first that lists all its ends."""
        self._note_hosts_changed()
        self.progress.wake()
        self.wake()

    def host_draining(self, session: HostSession) -> None:
        """Stop sending starts to a host that is leaving."""
        log("host_draining", host=session.host, running=len(session.assigned_tasks))
        session.info = replace(session.info, draining=True)
        if session.leaves_at is None:
            session.leaves_at = steady_s() + self.drain_s

    def forget_tickets(self, host: str) -> None:
        """Drop the tickets for a host, which are void in its next incarnation."""
        for step in self.book.open_steps.values():
            step.tickets.pop(host, None)

    def host_lost_tasks(
        self, session: HostSession, reason: str, kept: Collection[TaskRun] = ()
    ) -> None:
        """Free all tasks of a host but ``kept``, once that is confirmed.

        They no longer run there. But a later owner may have reached the host before
        they lapsed, and keep them running, or know what the host has done since. So the
        store has to confirm, by a later request, that there is none.
        """
        now = steady_s()
        lost = [task for task in session.assigned_tasks if task not in kept]
        log(
            "host_lost_work",
            host=session.host,
            tasks=len(lost),
            kept=len(kept),
            reason=reason,
        )
        session.assigned_tasks = dict.fromkeys(kept)
        session.untracked_attempts.clear()
        for task in lost:
            for stop in apply_end(self.book, task, EndKind.LAPSED, session.host, ""):
                self.stop(stop.task, stop.reason)
            if task.phase is TaskPhase.WAITING:
                task.phase = TaskPhase.LOST
                self._lost_at[task] = now
        self.progress.wake()
        self.request_confirmation()

    def _free_lost_tasks(self) -> None:
        """Let tasks start again that were lost before the last confirmation."""
        confirmed_at = self.ownership.confirmed_by_store_at
        for task, lost_at in list(self._lost_at.items()):
            if lost_at < confirmed_at:
                del self._lost_at[task]
                if task.phase is TaskPhase.LOST:
                    task.phase = TaskPhase.WAITING

    def host_replaced(self, session: HostSession) -> None:
        """Drop a session whose address now belongs to another incarnation."""
        if session.closed:
            return
        log("host_replaced", host=session.host)
        session.listed, session.unlisted_at = False, float("-inf")
        self.host_lost_tasks(session, "replaced")
        self._drop_session(session)

    def _drop_session(self, session: HostSession) -> None:
        session.close()
        if self.sessions.get(session.host) is session:
            del self.sessions[session.host]
        self._note_hosts_changed()
        self.progress.wake()

    def _earlier_leases_expired(self) -> bool:
        """Return whether there was no later owner when the last lease had expired."""
        expired_at = self.witnesses.earlier_orders_end_at + LAST_LEASE_S
        return self.ownership.confirmed_by_store_at > expired_at

    def _note_hosts_changed(self) -> None:
        self._hosts_changed_at = steady_s()
        self.request_confirmation()

    def _unreached_hosts(self) -> list[str]:
        return [host for host, one in self.sessions.items() if not one.reached]

    def _confirm_on_request(self) -> None:
        """Confirm the ownership, so that new jobs and lost tasks may start."""
        while True:
            self._confirm_requested.wait()
            self._confirm_requested.clear()
            try:
                self.ownership.confirm()
            except StoreRefused:
                gevent.sleep(RETRY_S)
                self._confirm_requested.set()
            self._free_lost_tasks()
            self._check_settled()
            self.wake()

    def _watch_hosts(self) -> None:
        """Evacuate draining hosts and drop departed ones until the term ends.

        Also settle the term once no host can still run unknown attempts.
        """
        while True:
            gevent.sleep(0.25)
            now = steady_s()
            for session in list(self.sessions.values()):
                if session.draining:
                    self._evacuate(session, now)
                departed = not session.listed and not session.answering
                lapsed = self._earlier_leases_expired()
                if departed and lapsed and session.lease_has_expired(now):
                    log("host_dropped", host=session.host)
                    self.host_lost_tasks(session, "gone")
                    self._drop_session(session)
            self._free_lost_tasks()
            self._check_settled()

    def _evacuate(self, session: HostSession, now: float) -> None:
        """Stop attempts that will not end before the host leaves.

        Their tasks then continue on other hosts.
        """
        left_s = (session.leaves_at or now) - now
        for task in list(session.assigned_tasks):
            if task.phase is not TaskPhase.RUNNING:
                continue
            needs_s = remaining_s(
                now - task.started_at, task.percent, task.step.spec.estimate_s
            )
            if needs_s > left_s:
                self.stop(task, "host leaves")

    def _check_settled(self) -> None:
        """Free tasks that no host reported, once all hosts have listed all their ends.

        Once the leases of earlier owners have expired, the silent ones are left out.
        A host may have restarted, and list nothing of what a later owner knows, so the
        store has to confirm, by a later request, that there is none.
        """
        if self.settled or not self.loaded.is_set():
            return
        confirmed_at = self.ownership.confirmed_by_store_at
        if confirmed_at <= self._hosts_changed_at:
            return
        overdue = self._earlier_leases_expired()
        # Without the roster, a host that is not listed may still run tasks.
        all_known = (self.roster_known or overdue) and all(
            session.ends_listed
            or (
                overdue
                and not session.answering
                and session.lease_has_expired(confirmed_at)
            )
            for session in self.sessions.values()
        )
        if all_known:
            self.settled = True
            stops = self.book.settle()
            log(
                "term_settled",
                epoch=self.epoch,
                overdue=overdue,
                stops=len(stops),
                unreached=",".join(sorted(self._unreached_hosts())),
            )
            self.progress.wake()  # the witnesses may change now
            for stop in stops:
                self.stop(stop.task, stop.reason)
            self.wake()
