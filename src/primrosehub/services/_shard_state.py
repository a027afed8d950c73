"""Hold the jobs of one shard: their committed rows and the drafted changes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from primrosehub.border.codec import from_plain, to_plain
from primrosehub.core import keys
from primrosehub.core.resources import NO_RESOURCES, Resources, total
from primrosehub.core.table import Expect, Row, Transaction, Write
from primrosehub.core.work import Job, JobState, Service, Task, TaskRef, TaskState


@dataclass(frozen=True, slots=True)
class JobEntry:
    """Hold a committed job.

    The open row lists the job among the open jobs of the shard, so that the next owner
    finds it. ``has_open_row`` tells whether it is known to exist.
    """

    job: Job
    version: int
    has_open_row: bool


@dataclass(slots=True)
class Draft:
    """Collect changed jobs and processed inbox rows for one transaction."""

    jobs: dict[str, Job] = field(default_factory=dict)
    inbox: dict[str, Row] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.jobs or self.inbox)


class ShardState:
    """Hold every open job of a shard, and the attempts assigned to each worker host."""

    def __init__(self, shard: str) -> None:
        self.shard = shard
        self.entries: dict[str, JobEntry] = {}
        self._by_host: dict[str, dict[TaskRef, Task]] = defaultdict(dict)

    def put(self, entry: JobEntry) -> None:
        """Store a committed job."""
        self.drop(entry.job.id)
        self.entries[entry.job.id] = entry
        for task in entry.job.tasks:
            if task.state is TaskState.ASSIGNED:
                self._by_host[task.host][entry.job.ref(task)] = task

    def update_from_row(self, row: Row, has_open_row: bool) -> None:
        """Store a job that was read if it is open and of this shard; else drop it.

        ``has_open_row`` tells whether it was found by its open row.
        """
        job = from_plain(Job, row.value)
        earlier = self.entries.get(job.id)
        if job.state is JobState.OPEN and job.shard == self.shard:
            had_open_row = earlier is not None and earlier.has_open_row
            self.put(JobEntry(job, row.version, has_open_row or had_open_row))
        else:
            self.drop(job.id)

    def latest(self, draft: Draft, job_id: str) -> Job | None:
        """Return a job as drafted, or as committed if the draft does not change it."""
        if job_id in draft.jobs:
            return draft.jobs[job_id]
        entry = self.entries.get(job_id)
        return entry.job if entry else None

    def drop(self, job_id: str) -> None:
        """Forget a job."""
        entry = self.entries.pop(job_id, None)
        if entry is None:
            return
        for task in entry.job.tasks:
            if task.state is TaskState.ASSIGNED:
                self._by_host[task.host].pop(entry.job.ref(task), None)

    def assigned_to(self, host: str) -> dict[TaskRef, Task]:
        """Return the attempts assigned to a worker host."""
        return self._by_host.get(host, {})

    def hosts_in_use(self) -> set[str]:
        """Return the worker hosts that have an attempt assigned."""
        return {host for host, refs in self._by_host.items() if refs}

    def used_on(self, host: str) -> Resources:
        """Return the resources of the attempts assigned to a worker host."""
        used = NO_RESOURCES
        for ref in self.assigned_to(host):
            used += self.entries[ref.job].job.spec.size
        return used

    def reclaimable_on(self, host: str) -> Resources:
        """Return what attempts that end by themselves use on a worker host."""
        return total(
            spec.size
            for ref in self.assigned_to(host)
            for spec in [self.entries[ref.job].job.spec]
            if not isinstance(spec.work, Service)
        )

    def used_by_team(self) -> dict[str, Resources]:
        """Return the resources of each team's assigned attempts in this shard."""
        used: dict[str, Resources] = defaultdict(Resources)
        for refs in self._by_host.values():
            for ref in refs:
                spec = self.entries[ref.job].job.spec
                used[spec.team] += spec.size
        return dict(used)

    def pending(self, draft: Draft) -> list[Job]:
        """Return the latest state of the jobs that have a pending task."""
        jobs = [self.latest(draft, job_id) for job_id in self.entries]
        return [
            job
            for job in jobs
            if job and any(task.state is TaskState.PENDING for task in job.tasks)
        ]

    def transaction(self, draft: Draft, shard_row: Expect) -> Transaction:
        """Return the transaction for a draft; it fails if ``shard_row`` has changed."""
        expects = [shard_row]
        writes: list[Write] = []
        for job in draft.jobs.values():
            entry = self.entries[job.id]
            expects.append(Expect(keys.job(job.id), entry.version))
            writes.append(Write(keys.job(job.id), to_plain(job)))
            writes.extend(self._index_writes(job, entry.has_open_row))
        for row in draft.inbox.values():
            expects.append(Expect(row.key, row.version))
            writes.append(Write(row.key, None))
        # A waiting job without an open row would not be found by the next owner.
        for job_id in self._jobs_without_open_row(draft):
            writes.append(Write(keys.open_job(self.shard, job_id), {}))
        return Transaction(tuple(expects), tuple(writes))

    def _jobs_without_open_row(self, draft: Draft) -> list[str]:
        """Return the unchanged jobs that lose their inbox row and have no open row."""
        prefix = keys.inbox(self.shard)
        inbox_jobs = [key.removeprefix(prefix) for key in draft.inbox]
        return [
            job_id
            for job_id in inbox_jobs
            if job_id in self.entries
            and job_id not in draft.jobs
            and not self.entries[job_id].has_open_row
        ]

    def _index_writes(self, job: Job, has_open_row: bool) -> Iterator[Write]:
        """Yield the writes of the open row, and of a new shard's inbox row."""
        belongs_here = job.state is JobState.OPEN and job.shard == self.shard
        if belongs_here and not has_open_row:
            yield Write(keys.open_job(self.shard, job.id), {})
        if not belongs_here:
            # The row may exist even if the reply to its write was lost, so it is
            # always removed.
            yield Write(keys.open_job(self.shard, job.id), None)
        if job.shard != self.shard:
            yield Write(keys.inbox(job.shard, job.id), {})

    def apply_committed(self, draft: Draft, version: int) -> None:
        """Update the state from a draft whose transaction was applied."""
        for job_id in self._jobs_without_open_row(draft):
            self.entries[job_id] = replace(self.entries[job_id], has_open_row=True)
        for job in draft.jobs.values():
            if job.state is JobState.OPEN and job.shard == self.shard:
                self.put(JobEntry(job, version, has_open_row=True))
            else:
                self.drop(job.id)
