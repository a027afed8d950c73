"""One shard in the hands of its owner: one task that changes its jobs' rows."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import islice

from gevent.event import Event

from primrosehub.border.settings import Timing
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.members import ShardSummary
from primrosehub.core.platform import Finished, Host, StartTask
from primrosehub.core.resources import NOTHING, Resources, total
from primrosehub.core.table import (
    Applied,
    Conflicted,
    Expect,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
)
from primrosehub.core.work import (
    Job,
    JobState,
    Service,
    Task,
    TaskRef,
    TaskState,
)
from primrosehub.kernel import TaskGroup
from primrosehub.policy.outcomes import HostRestarted, LeaseLapsed, Reported, after
from primrosehub.policy.placement import (
    Blocked,
    HostRoom,
    NoRoom,
    OverGrant,
    Plan,
    TeamState,
    plan,
)
from primrosehub.services._shard_state import Draft, ShardState
from primrosehub.services._worker_session import Report, WorkerSession
from primrosehub.services.names import (
    ConfigurationService,
    GrantLedger,
    Keys,
    Membership,
    Metrics,
    Peers,
    Prefix,
    Table,
)

READ_CHUNK = 50
MAX_DRAFT_JOBS = 40
MAX_INBOX_ROWS = 200
HOUSEKEEPING_S = 1.0
GRANT_IDLE_S = 5.0
MOVE_AFTER_S = 3.0
MAX_MOVES = 10
CRASH_BACKOFF_S = 1.0
MAX_CRASH_BACKOFF_S = 60.0


@dataclass(frozen=True, slots=True)
class Ownership:
    """Hold the right by which a shard run acts."""

    shard: str
    epoch: int
    version: int
    released: bool

    @property
    def row(self) -> Expect:
        """Return the expectation that guards every write of this owner."""
        return Expect(keys.shard(self.shard), self.version)


@dataclass(frozen=True, slots=True)
class Colleagues:
    """Hold the services that a shard run works with, found by name."""

    configuration: ConfigurationService
    grants: GrantLedger
    membership: Membership
    metrics: Metrics
    peers: Peers
    table: Table
    hosts: Callable[[str], dict[str, Host]]
    capacity: Callable[[], Resources]


@dataclass(slots=True)
class _Moments:
    inbox: float = 0.0
    housekeeping: float = 0.0
    grants_busy: dict[str, float] = field(default_factory=dict)
    retry_job: dict[str, float] = field(default_factory=dict)


class ShardRun:
    """Adopt a shard's jobs, then place, follow and finish them."""

    def __init__(
        self,
        ownership: Ownership,
        colleagues: Colleagues,
        timing: Timing,
        tasks: TaskGroup,
    ) -> None:
        self.ownership = ownership
        self.closed = False
        self.summary = ShardSummary(ownership.shard, ownership.epoch)
        self.blocked: dict[str, Blocked] = {}
        self._with = colleagues
        self._timing = timing
        self._tasks = tasks
        self._state = ShardState(ownership.shard)
        self._sessions: dict[str, WorkerSession] = {}
        self._reports: dict[str, Report] = {}
        self._inbox: dict[str, Row] = {}
        self._reload: set[str] = set()
        self._wake = Event()
        self._at = _Moments()
        self._taken_at = time.monotonic()

    def close(self) -> None:
        """Send nothing more for this shard."""
        self.closed = True
        for session in self._sessions.values():
            session.close()
        self._wake.set()

    def inbox_changed(self) -> None:
        """Look into the inbox now."""
        self._at.inbox = 0.0
        self._wake.set()

    @property
    def syncs(self) -> int:
        """Return how many exchanges with worker hosts have succeeded."""
        return sum(session.syncs for session in self._sessions.values())

    def run(self) -> None:
        """Adopt what runs, then act on each report until closed."""
        while not self.closed and not self._try(self._adopt):
            self._wake.wait(HOUSEKEEPING_S)
        while not self.closed:
            self._wake.wait(self._pause_s())
            self._wake.clear()
            if not self.closed:
                self._follow_hosts()
                self._try(self._step)

    def _pause_s(self) -> float:
        now = time.monotonic()
        return max(0.02, min(self._at.inbox, self._at.housekeeping) - now)

    def _try(self, action: Callable[[], None]) -> bool:
        try:
            action()
        except TableUnavailable as error:
            now = time.monotonic()
            self._at.inbox = self._at.housekeeping = now + HOUSEKEEPING_S
            log("shard_waits", shard=self.ownership.shard, reason=str(error))
            return False
        return True

    def _adopt(self) -> None:
        shard = self.ownership.shard
        self._with.grants.load(shard)
        prefix = keys.open_job(shard)
        rows = self._with.table.read_all(prefix)
        self._load_jobs([row.key.removeprefix(prefix) for row in rows], listed=True)
        log("shard_adopted", shard=shard, jobs=len(self._state.entries))

    def _load_jobs(self, ids: Iterable[str], listed: bool) -> None:
        """Read jobs and take over those that are open and of this shard."""
        remaining = iter(ids)
        while chunk := list(islice(remaining, READ_CHUNK)):
            query = Keys(tuple(keys.job(job_id) for job_id in chunk))
            found = self._with.table.read(query)[0]
            for row in found:
                job_id = row.key.removeprefix(keys.JOB)
                entry = self._state.entries.get(job_id)
                is_listed = listed or (entry is not None and entry.listed)
                job = self._state.put_row(row, is_listed)
                if job.state is not JobState.OPEN or job.shard != self.ownership.shard:
                    self._state.drop(job_id)

    def _step(self) -> None:
        """Bring the rows in line with what is known and start what fits."""
        if self._reload:
            self._load_jobs(self._reload, listed=False)
            self._reload.clear()
            # What was read back may be assigned and never ordered; only a whole
            # report tells.
            for session in self._sessions.values():
                session.ask_again()
        now = time.monotonic()
        if now >= self._at.inbox:
            self._at.inbox = now + self._timing.inbox_poll_s
            self._read_inbox()
        reports, self._reports = self._reports, {}
        draft = Draft()
        acks = self._apply_reports(reports, draft)
        self._apply_lapses(draft)
        self._apply_cancellations(draft)
        planned = self._plan(draft)
        if now >= self._at.housekeeping:
            self._at.housekeeping = now + HOUSEKEEPING_S
            self._move_stuck(planned, draft)
            self._publish(planned)
            self._return_grants()
        draft.inbox = dict(islice(self._inbox.items(), MAX_INBOX_ROWS))
        if self._commit(draft):
            self._give_orders(acks)
        else:
            self._reports = reports | self._reports

    def _read_inbox(self) -> None:
        query = Prefix(keys.inbox(self.ownership.shard), limit=MAX_INBOX_ROWS)
        rows = self._with.table.read(query)[0]
        if rows:
            ids = [row.key.removeprefix(query.prefix) for row in rows]
            self._load_jobs(ids, listed=False)
            self._inbox = {row.key: row for row in rows}

    def _job(self, draft: Draft, job_id: str) -> Job | None:
        if job_id in draft.jobs:
            return draft.jobs[job_id]
        entry = self._state.entries.get(job_id)
        return entry.job if entry else None

    def _current_task(self, job: Job | None, ref: TaskRef, host: str) -> Task | None:
        """Return the task if this very attempt is assigned to this worker host."""
        if job is None or ref.index >= len(job.tasks):
            return None
        task = job.tasks[ref.index]
        same = task.attempt == ref.attempt and task.host == host
        return task if same and task.state is TaskState.ASSIGNED else None

    def _apply_reports(
        self, reports: dict[str, Report], draft: Draft
    ) -> dict[str, set[TaskRef]]:
        """Draft what the reports say; return what to acknowledge to each host."""
        acks: dict[str, set[TaskRef]] = {}
        for name, report in reports.items():
            session = self._sessions.get(name)
            if session is None:
                continue
            acks[name] = {finished.ref for finished in report.finished}
            for finished in report.finished:
                self._apply_finished(draft, name, finished)
            for ref in report.running:
                job = self._job(draft, ref.job)
                if self._current_task(job, ref, name) is None:
                    session.stops.add(ref)
                    session.wake()
            self._find_absent(draft, session, report)
        return acks

    def _apply_finished(self, draft: Draft, host: str, finished: Finished) -> None:
        job = self._job(draft, finished.ref.job)
        task = self._current_task(job, finished.ref, host)
        if job is None or task is None:
            return
        self._with.metrics.count("attempts_ended", outcome=finished.outcome)
        if finished.outcome == "failed" or isinstance(job.spec.work, Service):
            pause_s = min(MAX_CRASH_BACKOFF_S, CRASH_BACKOFF_S * 2**task.attempt)
            self._at.retry_job[job.id] = time.monotonic() + pause_s
        ended = after(job, task, Reported(finished.outcome))
        draft.jobs[job.id] = job.with_task(ended)

    def _find_absent(
        self, draft: Draft, session: WorkerSession, report: Report
    ) -> None:
        """Start again, or give up, attempts that the worker host does not know.

        A host that was not restarted since the assignment remembers every attempt
        it was ever ordered to start, so one that it does not know never ran.
        """
        known = set(report.running) | {f.ref for f in report.finished}
        host = session.host.name
        for ref, task in list(self._state.assigned_to(host).items()):
            if ref in known or ref in session.starts:
                continue
            job = self._job(draft, ref.job)
            if self._current_task(job, ref, host) is None or job is None:
                continue
            if task.host_incarnation == report.incarnation:
                self._order_start(session, job, ref)
            else:
                draft.jobs[job.id] = job.with_task(after(job, task, HostRestarted()))

    def _apply_lapses(self, draft: Draft) -> None:
        for session in self._sessions.values():
            if not session.lapsed:
                continue
            session.starts.clear()
            for ref, task in list(self._state.assigned_to(session.host.name).items()):
                job = self._job(draft, ref.job)
                if job is not None and self._current_task(job, ref, task.host):
                    log("lease_lapsed", worker=session.host.name, job=ref.job)
                    draft.jobs[job.id] = job.with_task(after(job, task, LeaseLapsed()))

    def _apply_cancellations(self, draft: Draft) -> None:
        for entry in list(self._state.entries.values()):
            if not entry.job.cancel_requested:
                continue
            job = self._job(draft, entry.job.id)
            if job is None:
                continue
            for task in job.tasks:
                if task.state is TaskState.PENDING:
                    cancelled = replace(task, state=TaskState.CANCELLED)
                    job = job.with_task(cancelled)
                    draft.jobs[job.id] = job
                elif task.state is TaskState.ASSIGNED:
                    self._order_stop(job.ref(task), task.host)

    def _order_stop(self, ref: TaskRef, host: str) -> None:
        session = self._sessions.get(host)
        if session and ref not in session.stops:
            session.stops.add(ref)
            session.wake()

    def _plan(self, draft: Draft) -> Plan:
        """Place pending tasks, asking for more of a team's limit where it binds."""
        now = time.monotonic()
        jobs = [
            job
            for job in self._pending(draft)
            if self._at.retry_job.get(job.id, 0.0) <= now
        ]
        if not jobs:
            self.blocked = {}
            return Plan()
        used = self._used_by_team(draft)
        planned = plan(
            jobs,
            self._rooms(draft),
            self._teams(used),
            self._with.capacity(),
            time.time(),
        )
        if self._raise_grants(jobs, planned, used):
            planned = plan(
                jobs,
                self._rooms(draft),
                self._teams(used),
                self._with.capacity(),
                time.time(),
            )
        self.blocked = planned.blocked
        for placement in planned.placements:
            job = self._job(draft, placement.job)
            if job is None:
                continue
            if placement.job not in draft.jobs and len(draft.jobs) >= MAX_DRAFT_JOBS:
                self._wake.set()
                break
            task = job.tasks[placement.index]
            session = self._sessions[placement.host]
            assigned = replace(
                task,
                state=TaskState.ASSIGNED,
                attempt=task.attempt + 1,
                host=placement.host,
                host_incarnation=session.incarnation,
            )
            draft.jobs[job.id] = job.with_task(assigned)
        return planned

    def _pending(self, draft: Draft) -> list[Job]:
        unchanged = (j for j in self._state.pending() if j.id not in draft.jobs)
        changed = (
            job
            for job in draft.jobs.values()
            if any(task.state is TaskState.PENDING for task in job.tasks)
        )
        return [*unchanged, *changed]

    def _rooms(self, draft: Draft) -> list[HostRoom]:
        """Return what each usable worker host has free.

        A host counts only while it is reached under this epoch. What ended in the
        draft frees its room only when the draft is committed.
        """
        rooms = []
        for session in self._sessions.values():
            host = session.host
            if session.fenced and session.reachable and not host.leaving:
                used = self._state.used_on(host.name)
                rooms.append(HostRoom(host.name, host.rack, host.capacity - used, used))
        return rooms

    def _used_by_team(self, draft: Draft) -> dict[str, Resources]:
        return self._state.used_by_team()

    def _teams(self, used: dict[str, Resources]) -> dict[str, TeamState]:
        shard = self.ownership.shard
        elsewhere: dict[str, list[Resources]] = {}
        for summary in self._with.peers.summaries().values():
            if summary.shard != shard:
                for team, amount in summary.usage.items():
                    elsewhere.setdefault(team, []).append(amount)
        return {
            name: TeamState(
                share=team.share,
                used=used.get(name, NOTHING) + total(elsewhere.get(name, [])),
                headroom=self._with.grants.granted(shard, name)
                - used.get(name, NOTHING),
            )
            for name, team in self._with.configuration.current.teams.items()
        }

    def _raise_grants(
        self, jobs: list[Job], planned: Plan, used: dict[str, Resources]
    ) -> bool:
        """Ask for what the jobs held back by their grant need; tell if any was."""
        needed: dict[str, Resources] = {}
        for job in jobs:
            if isinstance(planned.blocked.get(job.id), OverGrant):
                waiting = sum(t.state is TaskState.PENDING for t in job.tasks)
                team = job.spec.team
                needed[team] = needed.get(team, NOTHING) + job.spec.size * waiting
        shard = self.ownership.shard
        raised = False
        for team, amount in needed.items():
            before = self._with.grants.granted(shard, team)
            room = self._free().cut_to(amount)
            wanted = used.get(team, NOTHING) + room
            self._with.grants.request(shard, team, wanted)
            raised |= self._with.grants.granted(shard, team) != before
            self._at.grants_busy[team] = time.monotonic()
        return raised

    def _free(self) -> Resources:
        return total([room.free for room in self._rooms(Draft())])

    def _return_grants(self) -> None:
        """Shrink grants that were not raised of late to what is in use."""
        if self._reload:
            return
        now = time.monotonic()
        used = self._state.used_by_team()
        for team in self._with.configuration.current.teams:
            if now - self._at.grants_busy.get(team, 0.0) > GRANT_IDLE_S:
                amount = used.get(team, NOTHING)
                self._with.grants.shrink(self.ownership.shard, team, amount)

    def _move_stuck(self, planned: Plan, draft: Draft) -> None:
        """Send jobs that find no room here to a shard that has some."""
        if time.monotonic() - self._taken_at < MOVE_AFTER_S:
            return
        moves = 0
        for job_id, reason in planned.blocked.items():
            entry = self._state.entries.get(job_id)
            if not isinstance(reason, NoRoom) or entry is None or moves >= MAX_MOVES:
                continue
            job = entry.job
            waited_s = time.time() - job.submitted_s
            if job_id in draft.jobs or waited_s < MOVE_AFTER_S or not _unstarted(job):
                continue
            for summary in self._with.peers.summaries().values():
                if summary.shard != job.shard and _has_room(summary, job):
                    draft.jobs[job_id] = replace(job, shard=summary.shard)
                    moves += 1
                    break

    def _publish(self, planned: Plan) -> None:
        self.summary = ShardSummary(
            shard=self.ownership.shard,
            epoch=self.ownership.epoch,
            free=self._free(),
            pending=len(planned.blocked),
            usage=self._state.used_by_team(),
        )

    def _commit(self, draft: Draft) -> bool:
        """Commit a draft; tell whether it took effect."""
        if not draft:
            return True
        transaction = self._state.transaction(draft, self.ownership.row)
        try:
            outcome = self._with.table.commit(transaction)
        except TableOutcomeUnknown:
            self._reload |= set(draft.jobs)
            return False
        match outcome:
            case Applied(version):
                assigned = self._newly_assigned(draft)
                self._state.committed(draft, version)
                for key in draft.inbox:
                    self._inbox.pop(key, None)
                if self._inbox:
                    self._wake.set()
                self._start(assigned)
                for job in draft.jobs.values():
                    if job.shard != self.ownership.shard:
                        self._with.peers.nudge_inbox(job.shard)
                return True
            case Conflicted(conflicts):
                self._resolve(conflicts, draft)
                return False

    def _resolve(self, conflicts: tuple[str, ...], draft: Draft) -> None:
        if self.ownership.row.key in conflicts:
            log("shard_lost", shard=self.ownership.shard)
            self.close()
            self._with.membership.refresh()
            return
        self._inbox.clear()
        self._at.inbox = 0.0
        conflicting = {key.removeprefix(keys.JOB) for key in conflicts}
        self._reload |= conflicting & set(draft.jobs)
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

    def _start(self, assigned: list[tuple[Job, Task]]) -> None:
        """Order the starts that a committed draft assigned."""
        for job, task in assigned:
            session = self._sessions.get(task.host)
            if session:
                self._order_start(session, job, job.ref(task))
            waited_s = time.time() - job.submitted_s
            kind = job.spec.work.kind
            self._with.metrics.observe("start_wait_seconds", waited_s, kind=kind)

    def _order_start(self, session: WorkerSession, job: Job, ref: TaskRef) -> None:
        session.starts[ref] = StartTask(
            ref=ref,
            size=job.spec.size,
            command=job.spec.command,
            host_incarnation=job.tasks[ref.index].host_incarnation,
        )
        session.wake()

    def _give_orders(self, acks: dict[str, set[TaskRef]]) -> None:
        for name, refs in acks.items():
            session = self._sessions.get(name)
            if session and refs:
                session.acks |= refs

    def _follow_hosts(self) -> None:
        """Keep one task for each worker host listed or in use."""
        hosts = self._with.hosts(self.ownership.shard)
        for name, host in hosts.items():
            if name in self._sessions:
                self._sessions[name].host = host
            else:
                self._open_session(host)
        for name in set(self._sessions) - set(hosts) - self._state.hosts_in_use():
            self._sessions.pop(name).close()
        for name, host in hosts.items():
            if host.leaving:
                self._stop_services(name)

    def _stop_services(self, host: str) -> None:
        for ref in self._state.assigned_to(host):
            if isinstance(self._state.entries[ref.job].job.spec.work, Service):
                self._order_stop(ref, host)

    def _open_session(self, host: Host) -> None:
        timing = self._timing
        before_s = 0.0 if self.ownership.released else timing.blind_s
        free_at = self._taken_at + before_s + timing.lease_s + timing.drift_s
        session = WorkerSession(
            host=host,
            shard=self.ownership.shard,
            epoch=self.ownership.epoch,
            timing=timing,
            free_at=free_at,
            may_renew=self._may_renew,
            report=self._take_report,
            superseded=self._superseded,
            meter=self._with.metrics.meter("worker"),
        )
        self._sessions[host.name] = session
        self._tasks.spawn(f"worker-{host.name}", session.run)
        self._tasks.spawn(f"watch-{host.name}", session.watch)

    def _may_renew(self) -> bool:
        confirmed_at = self._with.membership.view.confirmed_at
        return time.monotonic() - confirmed_at < self._timing.blind_s

    def _take_report(self, report: Report) -> None:
        self._reports[report.host] = report
        self._wake.set()

    def _superseded(self, epoch: int) -> None:
        self._with.membership.refresh()


def _unstarted(job: Job) -> bool:
    return all(task.state is TaskState.PENDING for task in job.tasks)


def _has_room(summary: ShardSummary, job: Job) -> bool:
    room = summary.free.times_contained(job.spec.size)
    return room > summary.pending + job.spec.tasks
