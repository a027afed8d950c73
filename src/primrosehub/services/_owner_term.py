"""One term of ownership: from the take-over until a higher epoch or the end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import gevent
from gevent.event import Event

from primrosehub.border.codec import decode
from primrosehub.core.batch import AcceptedJob, JobProgress
from primrosehub.core.fleet import EndKind, RunningAttempt, WorkerHost
from primrosehub.core.logs import log
from primrosehub.core.resources import NOTHING
from primrosehub.core.rows import (
    HistoryLost,
    RowsPage,
    StoredRow,
    StoreRefused,
)
from primrosehub.kernel import Kernel, TaskGroup
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.platform.hosts import decode_host
from primrosehub.platform.wire import HOSTS_TABLE
from primrosehub.policy.host_pace import remaining_s
from primrosehub.policy.urgency import ShareMeter
from primrosehub.services import _reports
from primrosehub.services._host_session import CLOCK_RATE, LEASE_S, HostSession
from primrosehub.services._job_book import (
    JobBook,
    TaskPhase,
    TaskRun,
    apply_end,
)
from primrosehub.services._job_rows import (
    CANCEL_TABLE,
    JOB_TABLE,
    OWNER_PART,
    PROGRESS_TABLE,
    ROSTER_KEY,
)
from primrosehub.services._planner import Planner
from primrosehub.services._progress_writer import ProgressWriter
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import (
    ADVISING,
    CLUSTER_CONFIG,
    OWNERSHIP,
    STORE,
)

FEED_WAIT_S = 2.0
RETRY_S = 0.2
# An earlier owner sends orders for at most 2 s after its last confirmation.
UNREACHED_S = LEASE_S / CLOCK_RATE + 2.0 + 0.5
LISTING_GRACE_S = 2.5  # a living host's entry is back by then after an outage
LIMIT_AGE_MS = 3_600_000


class OwnerTerm:
    """Hold what one term knows and run its tasks."""

    def __init__(self, kernel: Kernel, epoch: int, tasks: TaskGroup) -> None:
        self.epoch = epoch
        self.store = kernel.find(STORE)
        self.ownership = kernel.find(OWNERSHIP)
        self.config = kernel.find(CLUSTER_CONFIG)
        self.advising = kernel.find(ADVISING)
        self.metrics = kernel.find(METRICS)
        self.drain_s = kernel.settings.bounds.host_drain_ms / 1000
        self.stop_timeout_s = kernel.settings.bounds.stop_timeout_ms / 1000
        self.book = JobBook(epoch)
        self.sessions: dict[str, HostSession] = {}
        self.progress = ProgressWriter(self)
        self.planner = Planner(self)
        self.loaded = Event()
        self.settled = False
        self.began_at = steady_s()
        self.tasks = tasks
        self._confirm_wanted = Event()
        self._shares: dict[str, ShareMeter] = {}

    def run(self) -> None:
        """Load the stored state, reach the hosts, then follow the feeds."""
        version = self._load()
        self.loaded.set()
        for table, note in (
            (JOB_TABLE, self._note_job_row),
            (CANCEL_TABLE, self._note_cancel_row),
            (HOSTS_TABLE, self._note_host_row),
        ):
            self.tasks.spawn_lasting(
                f"feed {table}", self._follow, table, version, note
            )
        self.tasks.spawn_lasting("progress", self.progress.run)
        self.tasks.spawn_lasting("planner", self.planner.run)
        self.tasks.spawn_lasting("confirm", self._confirm_new_jobs)
        self.progress.wake()
        self._settle()

    def close(self) -> None:
        """End the term at once."""
        for session in self.sessions.values():
            session.close()
        self.tasks.close()

    def wake(self) -> None:
        """Plan soon."""
        self.planner.changed.set()

    def add_job(
        self, accepted: AcceptedJob, progress: JobProgress | None, at_take_over: bool
    ) -> None:
        """Take note of a stored job."""
        if accepted.job in self.book.jobs:
            return
        now = steady_s()
        queue = self.config.current.queue_named(accepted.queue)
        job = self.book.add(accepted, queue, progress, now, at_take_over)
        age_ms = max(0, min(LIMIT_AGE_MS, unix_ms() - accepted.accepted_ms))
        job.submitted_at = now - (age_ms / 1000 if at_take_over else 0.0)
        team = self.config.current.teams.get(accepted.team)
        if team is not None:
            meter = self._shares.setdefault(accepted.team, ShareMeter())
            job.beyond_share = meter.note_job(job.submitted_at, team.weight)
        if not at_take_over:
            self._confirm_wanted.set()
        self.wake()

    def cancel(self, job_id: str) -> None:
        """Take note of a stored cancellation."""
        stops = self.book.cancel(job_id)
        if job_id in self.book.jobs:
            log("job_cancelled", job=job_id, stops=len(stops))
        for stop in stops:
            self.stop(stop.task, stop.reason)
        self.progress.wake()
        self.wake()

    def stop(self, task: TaskRun, reason: str) -> None:
        """Stop the attempt of a task, wherever it is."""
        session = self.sessions.get(task.host)
        if session is not None and task.phase is not TaskPhase.STOPPING:
            session.stop(task, reason)

    def started(
        self, session: HostSession, task: TaskRun, sent: float, planned_at: float
    ) -> None:
        """Take note that a host has begun an attempt."""
        now = steady_s()
        if task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
        task.started_at, task.percent_at = sent, now
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
        )
        self.metrics.count("attempts_started")
        self.metrics.observe("order_seconds", now - planned_at)
        if task.attempt == 1:
            self.metrics.observe("start_wait_seconds", now - job.submitted_at)
        if job.final:
            self.stop(task, "job ended meanwhile")

    def not_started(self, session: HostSession, task: TaskRun, reason: str) -> None:
        """Free the room of an attempt that surely did not start."""
        log("not_started", job=task.id.job, host=session.host, reason=reason)
        session.bound.pop(task, None)
        for stop in apply_end(self.book, task, EndKind.STOPPED, session.host, ""):
            self.stop(stop.task, stop.reason)
        self.wake()

    def adopt(self, session: HostSession, task: TaskRun, run: RunningAttempt) -> None:
        """Count an attempt that an earlier owner started."""
        self.book.bind(task, session.host, run.attempt, TaskPhase.RUNNING)
        session.bound[task] = None
        now = steady_s()
        task.started_at = task.percent_at = now
        task.percent = task.first_percent = run.percent
        if run.checkpoint:
            task.checkpoint = run.checkpoint

    def apply_report(self, session: HostSession, report: object, sent: float) -> None:
        """Compare a host's report with what is believed of it."""
        _reports.apply_report(self, session, report, sent)

    def host_reached(self, session: HostSession) -> None:
        """Take note of a host's first report in this term."""
        self._check_settled()
        self.wake()

    def host_draining(self, session: HostSession) -> None:
        """Send no more starts to a host that is leaving."""
        log("host_draining", host=session.host, running=len(session.bound))
        session.info = replace(session.info, draining=True)
        if session.leaves_at is None:
            session.leaves_at = steady_s() + self.drain_s

    def host_lost_all(self, session: HostSession, reason: str) -> None:
        """Free all tasks of a host on which they surely no longer run."""
        lost = list(session.bound)
        log("host_lost_work", host=session.host, tasks=len(lost), reason=reason)
        session.bound.clear()
        session.foreign.clear()
        for task in lost:
            for stop in apply_end(self.book, task, EndKind.LAPSED, session.host, ""):
                self.stop(stop.task, stop.reason)
        self.progress.wake()
        self.wake()

    def host_replaced(self, session: HostSession) -> None:
        """Drop a session whose address now belongs to another incarnation."""
        if session.closed:
            return
        log("host_replaced", host=session.host)
        session.listed, session.unlisted_at = False, float("-inf")
        self.host_lost_all(session, "replaced")
        self._drop(session)

    def _drop(self, session: HostSession) -> None:
        session.close()
        if self.sessions.get(session.host) is session:
            del self.sessions[session.host]
        self._check_settled()
        self.progress.wake()

    def _load(self) -> int:
        while True:
            try:
                return self._load_once()
            except StoreRefused as error:
                log("load_failed", epoch=self.epoch, reason=str(error)[:120])
                gevent.sleep(RETRY_S)

    def _load_once(self) -> int:
        began = steady_s()
        parts = [(HOSTS_TABLE, ""), (PROGRESS_TABLE, OWNER_PART)]
        # Taken before the parts are listed: a part that is new since then is fed.
        version = self.store.read_part(HOSTS_TABLE, "").version
        for table in (JOB_TABLE, CANCEL_TABLE):
            parts += [(table, part) for part in self.store.parts(table)]
        reads = {key: gevent.spawn(self._read_part, *key) for key in parts}
        pages = {key: read.get() for key, read in reads.items()}
        for page in pages.values():
            if isinstance(page, StoreRefused):
                raise page
        roster = self.store.read_one(ROSTER_KEY)
        self._apply_loaded(pages, roster)
        log(
            "term_loaded",
            epoch=self.epoch,
            jobs=len(self.book.jobs),
            open=sum(not job.final for job in self.book.jobs.values()),
            hosts=len(self.sessions),
            took_s=round(steady_s() - began, 3),
        )
        return version

    def _read_part(self, table: str, part: str) -> RowsPage | StoreRefused:
        try:
            return self.store.read_part(table, part)
        except StoreRefused as error:
            return error

    def _apply_loaded(
        self, pages: dict[tuple[str, str], RowsPage], roster: StoredRow | None
    ) -> None:
        progress = {}
        for row in pages[(PROGRESS_TABLE, OWNER_PART)].rows:
            progress[row.key.key] = decode(JobProgress, row.value)
        for (table, _), page in pages.items():
            if table == JOB_TABLE:
                for row in page.rows:
                    accepted = decode(AcceptedJob, row.value)
                    self.add_job(accepted, progress.get(accepted.job), True)
        for (table, _), page in pages.items():
            if table == CANCEL_TABLE:
                for row in page.rows:
                    self.cancel(row.key.key)
        if roster is not None:
            for host, address in decode(dict[str, str], roster.value).items():
                self._open_unlisted(host, address)
        for row in pages[(HOSTS_TABLE, "")].rows:
            self._note_host_row(row)

    def _open_unlisted(self, host: str, address: str) -> None:
        info = WorkerHost(host, "", address, "", False, NOTHING, ())
        session = self._open(info)
        session.listed, session.unlisted_at = False, float("-inf")

    def _open(self, info: WorkerHost) -> HostSession:
        session = HostSession(self, info)
        self.sessions[info.host] = session
        session.open(self.tasks)
        self.progress.wake()
        return session

    def _follow(
        self, table: str, after: int, note: Callable[[StoredRow], None]
    ) -> None:
        while True:
            try:
                page = self.store.changes(table, after, FEED_WAIT_S)
            except HistoryLost:
                log("history_lost", table=table, after=after)
                after = self._reread(table, note)
            except StoreRefused:
                gevent.sleep(RETRY_S)
            else:
                for row in page.rows:
                    note(row)
                after = max(after, page.version)

    def _reread(self, table: str, note: Callable[[StoredRow], None]) -> int:
        while True:
            try:
                parts = [""] if table == HOSTS_TABLE else self.store.parts(table)
                version = self.store.read_part(HOSTS_TABLE, "").version
                pages = [self.store.read_part(table, part) for part in parts]
            except StoreRefused:
                gevent.sleep(RETRY_S)
                continue
            for page in pages:
                for row in page.rows:
                    note(row)
            if table == HOSTS_TABLE:
                self._note_missing({row.key.key for row in pages[0].rows})
            return version

    def _note_job_row(self, row: StoredRow) -> None:
        if not row.deleted and row.key.key not in self.book.jobs:
            self.add_job(decode(AcceptedJob, row.value), None, False)

    def _note_cancel_row(self, row: StoredRow) -> None:
        if not row.deleted:
            self.cancel(row.key.key)

    def _note_host_row(self, row: StoredRow) -> None:
        host = row.key.key
        session = self.sessions.get(host)
        if row.deleted:
            self._note_missing(set(self.sessions) - {host})
            return
        try:
            info = decode_host(host, row.value)
        except ValueError as error:
            log("host_row_unreadable", host=host, reason=str(error)[:200])
            return
        if session is not None and session.info.address != info.address:
            session.close()
            self.host_lost_all(session, "moved")
            session = None
        if session is None:
            session = self._open(info)
            log("host_listed", host=host, draining=info.draining, labels=info.labels)
            return
        if info.draining and not session.info.draining:
            self.host_draining(session)
        if not session.listed or session.info != info:
            self.wake()
        session.listed = True
        session.info = info

    def _note_missing(self, listed: set[str]) -> None:
        now = steady_s()
        for host, session in self.sessions.items():
            if host not in listed and session.listed:
                session.listed, session.unlisted_at = False, now
                log("host_unlisted", host=host, running=len(session.bound))

    def _confirm_new_jobs(self) -> None:
        """Confirm the ownership after new jobs are learned, before they start."""
        while True:
            self._confirm_wanted.wait()
            self._confirm_wanted.clear()
            try:
                self.ownership.confirm()
            except StoreRefused:
                gevent.sleep(RETRY_S)
                self._confirm_wanted.set()
            self.wake()

    def _settle(self) -> None:
        """Watch unreached and departed hosts until the term ends."""
        while True:
            gevent.sleep(0.25)
            now = steady_s()
            for session in list(self.sessions.values()):
                if session.info.draining:
                    self._evacuate(session, now)
                gone = not session.listed and not session.answering
                over = now - self.began_at > UNREACHED_S
                if gone and over and session.lease_surely_over(now):
                    log("host_dropped", host=session.host)
                    self.host_lost_all(session, "gone")
                    self._drop(session)
            self._check_settled()

    def _evacuate(self, session: HostSession, now: float) -> None:
        """Stop what will not end before a host leaves, so that it goes on elsewhere."""
        left_s = (session.leaves_at or now) - now
        for task in list(session.bound):
            if task.phase is not TaskPhase.RUNNING:
                continue
            needs_s = remaining_s(
                now - task.started_at, task.percent, task.step.spec.estimate_s
            )
            if needs_s > left_s:
                self.stop(task, "host leaves")

    def _check_settled(self) -> None:
        if self.settled or not self.loaded.is_set():
            return
        overdue = steady_s() - self.began_at > UNREACHED_S
        if overdue or all(session.reached for session in self.sessions.values()):
            self.settled = True
            stops = self.book.settle()
            log("term_settled", epoch=self.epoch, overdue=overdue, stops=len(stops))
            for stop in stops:
                self.stop(stop.task, stop.reason)
            self.wake()
