"""Place a shard's pending tasks within its grants and its free capacity."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import replace

from primrosehub.core.members import ShardSummary
from primrosehub.core.resources import NO_RESOURCES, Resources, total
from primrosehub.core.work import Job, TaskState
from primrosehub.policy.host_failures import FailureRecords
from primrosehub.policy.placement import (
    HostRoom,
    NoRoom,
    OverGrant,
    Plan,
    TeamState,
    plan,
)
from primrosehub.services._shard_context import Ownership, ShardServices
from primrosehub.services._shard_state import Draft, ShardState
from primrosehub.services._worker_sessions import WorkerSessions

MAX_JOBS_PER_DRAFT = 40
IDLE_GRANT_S = 5.0
MOVE_AFTER_S = 3.0
MAX_MOVES_PER_CALL = 10


class Placer:
    """Draft assignments, raise and shrink grants, and move jobs to other shards."""

    def __init__(
        self,
        ownership: Ownership,
        services: ShardServices,
        state: ShardState,
        sessions: WorkerSessions,
        failures: FailureRecords,
    ) -> None:
        self._ownership = ownership
        self._services = services
        self._state = state
        self._sessions = sessions
        self._failures = failures
        self._grant_requested_at: dict[str, float] = {}
        self._created_at = time.monotonic()

    def place(self, draft: Draft, retry_at: dict[str, float]) -> Plan:
        """Draft assignments of pending tasks; raise grants that limit them.

        ``retry_at`` maps a job to the monotonic time before which it is not started.
        """
        now = time.monotonic()
        pending = self._state.pending(draft)
        jobs = [job for job in pending if retry_at.get(job.id, 0.0) <= now]
        if not jobs:
            return Plan()
        planned = self._plan(jobs)
        if self._raise_grants(jobs, planned):
            planned = self._plan(jobs)
        self._assign(planned, draft)
        return planned

    def move_blocked(self, planned: Plan, draft: Draft) -> None:
        """Move jobs for which this shard has no capacity to one that has enough."""
        if time.monotonic() - self._created_at < MOVE_AFTER_S:
            return
        blocked = [
            entry.job
            for job_id, reason in planned.blocked.items()
            if isinstance(reason, NoRoom) and job_id not in draft.jobs
            for entry in [self._state.entries.get(job_id)]
            if entry and _all_pending(entry.job)
        ]
        waited = [
            job for job in blocked if time.time() - job.submitted_s >= MOVE_AFTER_S
        ]
        for job in waited[:MAX_MOVES_PER_CALL]:
            for summary in self._services.peers.summaries().values():
                if summary.shard != job.shard and _fits_in_shard(summary, job):
                    draft.jobs[job.id] = replace(job, shard=summary.shard)
                    break

    def shrink_idle_grants(self) -> None:
        """Shrink the grants not requested lately to the amounts in use."""
        now = time.monotonic()
        used = self._state.used_by_team()
        for team in self._services.configuration.current.teams:
            if now - self._grant_requested_at.get(team, 0.0) > IDLE_GRANT_S:
                amount = used.get(team, NO_RESOURCES)
                self._services.grants.shrink(self._ownership.shard, team, amount)

    def summary(self, planned: Plan) -> ShardSummary:
        """Return the summary of the shard for the peers."""
        return ShardSummary(
            shard=self._ownership.shard,
            epoch=self._ownership.epoch,
            free=self._free_total(),
            pending=len(planned.blocked),
            usage=self._state.used_by_team(),
        )

    def _plan(self, jobs: list[Job]) -> Plan:
        return plan(
            jobs,
            self._free_by_host(),
            self._team_states(),
            self._services.capacity(),
            time.time(),
            {job.id: self._failures.failed_on(job.id) for job in jobs},
        )

    def _assign(self, planned: Plan, draft: Draft) -> None:
        for placement in planned.placements:
            job = self._state.latest(draft, placement.job)
            if job is None:
                continue
            if job.id not in draft.jobs and len(draft.jobs) >= MAX_JOBS_PER_DRAFT:
                return
            task = job.tasks[placement.index]
            assigned = replace(
                task,
                state=TaskState.ASSIGNED,
                attempt=task.attempt + 1,
                host=placement.host,
                host_incarnation=self._sessions.by_host[placement.host].incarnation,
            )
            draft.jobs[job.id] = job.with_task(assigned)

    def _free_by_host(self) -> list[HostRoom]:
        """Return the free capacity of each usable worker host.

        A host is usable only while it answers under this epoch. An attempt that ends
        in a draft frees its resources only when the draft is committed.
        """
        now = time.monotonic()
        free_by_host = []
        for session in self._sessions.by_host.values():
            host = session.host
            running = len(self._state.assigned_to(host.name))
            usable = session.fenced and session.reachable and not host.leaving
            if usable and self._failures.may_start(host.name, running, now):
                used = self._state.used_on(host.name)
                reclaimable = self._state.reclaimable_on(host.name)
                free_by_host.append(
                    HostRoom(host.name, host.rack, host.capacity - used, reclaimable)
                )
        return free_by_host

    def _free_total(self) -> Resources:
        return total([host.free for host in self._free_by_host()])

    def _team_states(self) -> dict[str, TeamState]:
        shard = self._ownership.shard
        used = self._state.used_by_team()
        elsewhere: dict[str, Resources] = defaultdict(Resources)
        for summary in self._services.peers.summaries().values():
            if summary.shard != shard:
                for team, amount in summary.usage.items():
                    elsewhere[team] += amount
        return {
            name: TeamState(
                share=team.share,
                used=used.get(name, NO_RESOURCES) + elsewhere[name],
                headroom=self._services.grants.granted(shard, name)
                - used.get(name, NO_RESOURCES),
            )
            for name, team in self._services.configuration.current.teams.items()
        }

    def _raise_grants(self, jobs: list[Job], planned: Plan) -> bool:
        """Request grants for jobs that exceed theirs; return whether any changed."""
        needed: dict[str, Resources] = defaultdict(Resources)
        for job in jobs:
            if isinstance(planned.blocked.get(job.id), OverGrant):
                waiting = sum(task.state is TaskState.PENDING for task in job.tasks)
                needed[job.spec.team] += job.spec.size * waiting
        used = self._state.used_by_team()
        free = self._free_total() if needed else NO_RESOURCES
        shard = self._ownership.shard
        raised = False
        for team, amount in needed.items():
            before = self._services.grants.granted(shard, team)
            amount_to_request = used.get(team, NO_RESOURCES) + free.clamped_to(amount)
            self._services.grants.request(shard, team, amount_to_request)
            raised |= self._services.grants.granted(shard, team) != before
            self._grant_requested_at[team] = time.monotonic()
        return raised


def _all_pending(job: Job) -> bool:
    return all(task.state is TaskState.PENDING for task in job.tasks)


def _fits_in_shard(summary: ShardSummary, job: Job) -> bool:
    tasks_that_fit = summary.free.times_contained(job.spec.size)
    return tasks_that_fit > summary.pending + job.spec.tasks
