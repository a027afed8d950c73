"""Run one shard as its owner: a single task changes the rows of its jobs."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from itertools import islice

from gevent.event import Event

from primrosehub.border.settings import Timing
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.members import ShardSummary
from primrosehub.core.table import (
    Applied,
    Conflicted,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
)
from primrosehub.core.work import Job, Service, Task, TaskState
from primrosehub.kernel import TaskGroup
from primrosehub.policy.host_failures import FailureRecords
from primrosehub.services._job_changes import JobChanges
from primrosehub.services._placer import Placer
from primrosehub.services._shard_context import Ownership, ShardServices
from primrosehub.services._shard_state import Draft, ShardState
from primrosehub.services._worker_session import Report
from primrosehub.services._worker_sessions import WorkerSessions
from primrosehub.services.names.v1 import Keys, Prefix

MAX_JOBS_PER_READ = 50
MAX_INBOX_ROWS = 200
HOUSEKEEPING_PERIOD_S = 1.0  # and the wait after the table was unavailable
MIN_PAUSE_S = 0.02  # minimum wait if no event arrives


class ShardRun:
    """Load a shard's jobs, then place their tasks and record how these end."""

    def __init__(
        self,
        ownership: Ownership,
        services: ShardServices,
        timing: Timing,
        tasks: TaskGroup,
    ) -> None:
        self.ownership = ownership
        self.closed = False
        self.summary = ShardSummary(ownership.shard, ownership.epoch)
        self._services = services
        self._timing = timing
        self._state = ShardState(ownership.shard)
        self._wake = Event()
        self._sessions = WorkerSessions(
            ownership, services, timing, tasks, self._wake.set
        )
        failures = FailureRecords()
        self._changes = JobChanges(
            self._state, self._sessions, failures, services.metrics
        )
        self._placer = Placer(
            ownership, services, self._state, self._sessions, failures
        )
        self._inbox: dict[str, Row] = {}
        self._jobs_to_reload: set[str] = set()
        self._next_inbox_read_at = 0.0
        self._next_housekeeping_at = 0.0

    @property
    def syncs(self) -> int:
        """Return how many synchronizations with worker hosts have succeeded."""
        return self._sessions.syncs

    def close(self) -> None:
        """Stop acting for this shard."""
        self.closed = True
        self._sessions.close()
        self._wake.set()

    def inbox_changed(self) -> None:
        """Read the inbox now."""
        self._next_inbox_read_at = 0.0
        self._wake.set()

    def run(self) -> None:
        """Load the shard, then reconcile its jobs at each event until closed."""
        while not self.closed and not self._run_with_table(self._load_shard):
            self._wake.wait(HOUSEKEEPING_PERIOD_S)
        while not self.closed:
            self._wake.wait(self._pause_s())
            self._wake.clear()
            if not self.closed:
                self._update_sessions()
                self._run_with_table(self._reconcile)

    def _pause_s(self) -> float:
        next_action_at = min(self._next_inbox_read_at, self._next_housekeeping_at)
        return max(MIN_PAUSE_S, next_action_at - time.monotonic())

    def _run_with_table(self, action: Callable[[], None]) -> bool:
        """Run an action; return whether the table was available.

        If it was not, the next inbox read and the next housekeeping are postponed.
        """
        try:
            action()
        except TableUnavailable as error:
            now = time.monotonic()
            self._next_inbox_read_at = self._next_housekeeping_at = (
                now + HOUSEKEEPING_PERIOD_S
            )
            log("shard_waits", shard=self.ownership.shard, reason=str(error))
            return False
        return True

    def _load_shard(self) -> None:
        shard = self.ownership.shard
        self._services.grants.load(shard)
        prefix = keys.open_job(shard)
        rows = self._services.table.read_all(prefix)
        self._load_jobs(
            [row.key.removeprefix(prefix) for row in rows], has_open_row=True
        )
        log("shard_adopted", shard=shard, jobs=len(self._state.entries))

    def _load_jobs(self, ids: Iterable[str], has_open_row: bool) -> None:
        """Read jobs and keep those that are open and belong to this shard."""
        remaining = iter(ids)
        while chunk := list(islice(remaining, MAX_JOBS_PER_READ)):
            query = Keys(tuple(keys.job(job_id) for job_id in chunk))
            for row in self._services.table.read(query)[0]:
                self._state.update_from_row(row, has_open_row)

    def _update_sessions(self) -> None:
        hosts = self._services.hosts(self.ownership.shard)
        self._sessions.update_hosts(hosts, self._state.hosts_in_use())
        for name, host in hosts.items():
            if host.leaving:
                self._stop_services_on(name)

    def _stop_services_on(self, host: str) -> None:
        """Stop services on a leaving worker host; they start again elsewhere."""
        for ref in self._state.assigned_to(host):
            if isinstance(self._state.entries[ref.job].job.spec.work, Service):
                self._sessions.order_stop(host, ref)

    def _reconcile(self) -> None:
        """Update the rows from the reports and the inbox, and start what fits."""
        self._reload_jobs()
        now = time.monotonic()
        if now >= self._next_inbox_read_at:
            self._next_inbox_read_at = now + self._timing.inbox_poll_s
            self._read_inbox()
        reports = self._sessions.take_reports()
        committed = False
        try:
            committed = self._commit_changes(reports, now)
        finally:
            # A worker host reports a change only once, so a report whose changes
            # were not committed is kept, also if an exception was raised.
            if not committed:
                self._sessions.put_back(reports)

    def _commit_changes(self, reports: dict[str, Report], now: float) -> bool:
        """Draft the changes and commit them; return whether they were committed."""
        draft = Draft()
        acks = self._changes.apply_reports(reports, draft)
        self._changes.apply_lapses(draft)
        self._changes.apply_cancellations(draft)
        planned = self._placer.place(draft, self._changes.retry_at)
        if now >= self._next_housekeeping_at:
            self._next_housekeeping_at = now + HOUSEKEEPING_PERIOD_S
            self._placer.move_blocked(planned, draft)
            self.summary = self._placer.summary(planned)
            self._placer.shrink_idle_grants()
        draft.inbox = dict(islice(self._inbox.items(), MAX_INBOX_ROWS))
        if not self._commit(draft):
            return False
        self._sessions.acknowledge(acks)
        return True

    def _reload_jobs(self) -> None:
        """Read the jobs whose last write had an unknown outcome or a conflict."""
        if not self._jobs_to_reload:
            return
        self._load_jobs(self._jobs_to_reload, has_open_row=False)
        self._jobs_to_reload.clear()
        # A reloaded task may be assigned although its start was never ordered. Only a
        # full report shows whether the worker host knows of it.
        self._sessions.request_full_report()

    def _read_inbox(self) -> None:
        query = Prefix(keys.inbox(self.ownership.shard), limit=MAX_INBOX_ROWS)
        rows = self._services.table.read(query)[0]
        if rows:
            ids = [row.key.removeprefix(query.prefix) for row in rows]
            self._load_jobs(ids, has_open_row=False)
            self._inbox = {row.key: row for row in rows}

    def _commit(self, draft: Draft) -> bool:
        """Commit a draft; return whether it was applied."""
        if not draft:
            return True
        transaction = self._state.transaction(draft, self.ownership.row)
        try:
            outcome = self._services.table.commit(transaction)
        except TableOutcomeUnknown:
            self._jobs_to_reload |= set(draft.jobs)
            return False
        match outcome:
            case Applied(version):
                self._apply_committed(draft, version)
                return True
            case Conflicted(conflicts):
                self._handle_conflicts(conflicts, draft)
                return False

    def _apply_committed(self, draft: Draft, version: int) -> None:
        assigned = self._newly_assigned(draft)
        self._state.apply_committed(draft, version)
        self._changes.forget_ended(draft)
        for key in draft.inbox:
            self._inbox.pop(key, None)
        if self._inbox or assigned:
            # One draft is limited in size, so there may be more to place.
            self._wake.set()
        for job, task in assigned:
            self._sessions.order_start(task.host, job, job.ref(task))
            waited_s = time.time() - job.submitted_s
            kind = job.spec.work.kind
            self._services.metrics.observe("start_wait_seconds", waited_s, kind=kind)
        for job in draft.jobs.values():
            if job.shard != self.ownership.shard:
                self._services.peers.notify_inbox(job.shard)

    def _handle_conflicts(self, conflicts: tuple[str, ...], draft: Draft) -> None:
        """Reload jobs changed by others, or stop if the shard has another owner."""
        if self.ownership.row.key in conflicts:
            log("shard_lost", shard=self.ownership.shard)
            self.close()
            self._services.membership.refresh()
            return
        self._inbox.clear()
        self._next_inbox_read_at = 0.0
        conflicting = {key.removeprefix(keys.JOB) for key in conflicts}
        self._jobs_to_reload |= conflicting & set(draft.jobs)
        self._wake.set()

    def _newly_assigned(self, draft: Draft) -> list[tuple[Job, Task]]:
        """Return the tasks that the draft assigns, each with its job."""
        return [
            (job, task)
            for job in draft.jobs.values()
            for task in job.tasks
            if task.state is TaskState.ASSIGNED
            and self._state.entries[job.id].job.tasks[task.index] != task
        ]
