"""Accept, read, list and cancel the stored jobs of callers."""

from __future__ import annotations

import hashlib
import random
import time
from contextlib import ExitStack
from dataclasses import replace

from primrosehub.border.codec import encode, from_plain, to_plain
from primrosehub.core import keys
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.members import ShardSummary
from primrosehub.core.platform import Host
from primrosehub.core.rendezvous import shard_of
from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.core.table import (
    ABSENT,
    Applied,
    Conflicted,
    Expect,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.core.work import Job, JobSpec, JobState, Task
from primrosehub.kernel import Kernel
from primrosehub.policy.runnable import NeverRunnable, RunnableIn, check_runnable
from primrosehub.policy.spreading import choose_by_free_capacity
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import (
    CONFIGURATION,
    HOST_LIST,
    PEERS,
    TABLE,
    Keys,
    Prefix,
)

MAX_CANCEL_TRIES = 5
MAX_TABLE_AGE_S = 3.0  # submissions are refused if the last read is older


class JobsService:
    """Write jobs to the table and notify the owners of their shards."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._random = random.Random()
        self._last_summaries: dict[str, ShardSummary] = {}
        self._sent_since_summary: dict[str, Resources] = {}

    def start(self, stack: ExitStack) -> None:
        """Look up the services that jobs need."""
        self._configuration = self._kernel.find(CONFIGURATION)
        self._hosts = self._kernel.find(HOST_LIST)
        self._metrics = self._kernel.find(METRICS)
        self._peers = self._kernel.find(PEERS)
        self._table = self._kernel.find(TABLE)

    def submit(self, spec: JobSpec, idempotency_key: str) -> tuple[Job, bool]:
        """Store a job once per idempotency key; return it and whether it is new."""
        if self._table.age_s > MAX_TABLE_AGE_S:
            # If a write sent now got no answer, its outcome would be unknown. A refusal
            # here tells the caller for certain that nothing was stored.
            raise HubError(
                ErrorKind.UNAVAILABLE,
                "the table does not answer; nothing was stored; try again",
            )
        digest = hashlib.sha256(encode(spec)).hexdigest()
        name = hashlib.sha256(idempotency_key.encode()).hexdigest()[:20]
        job = Job(
            id=f"{spec.team}.{name}",
            spec=spec,
            digest=digest,
            shard=self._choose_shard(spec),
            submitted_s=time.time(),
            tasks=tuple(Task(index) for index in range(spec.tasks)),
        )
        key = keys.job(job.id)
        insert = Transaction(
            (Expect(key, ABSENT),),
            (Write(key, to_plain(job)), Write(keys.inbox(job.shard, job.id), {})),
        )
        match self._commit(insert):
            case Applied():
                self._metrics.count("jobs_accepted", kind=spec.work.kind)
                self._peers.notify_inbox(job.shard)
                return job, True
            case Conflicted():
                return self._existing_job(job), False

    def read(self, team: str, job_id: str) -> Job:
        """Return a job of the team; raise HubError."""
        row = self._read_row(team, job_id)
        return from_plain(Job, row.value)

    def list_jobs(self, team: str, after: str, limit: int) -> list[Job]:
        """Return the team's jobs with ids above ``after``, ordered by id."""
        start = keys.job(after) if after else ""
        query = Prefix(keys.job(f"{team}."), start, limit)
        try:
            rows = self._table.read(query)[0]
        except TableUnavailable as error:
            raise _unavailable(error) from None
        return [from_plain(Job, row.value) for row in rows]

    def cancel(self, team: str, job_id: str) -> Job:
        """Request a job's cancellation; return the job."""
        for _ in range(MAX_CANCEL_TRIES):
            row = self._read_row(team, job_id)
            job = from_plain(Job, row.value)
            if job.state is not JobState.OPEN or job.cancel_requested:
                return job
            job = replace(job, cancel_requested=True)
            update = Transaction(
                (Expect(row.key, row.version),),
                (
                    Write(row.key, to_plain(job)),
                    Write(keys.inbox(job.shard, job.id), {}),
                ),
            )
            if isinstance(self._commit(update), Applied):
                self._peers.notify_inbox(job.shard)
                return job
        raise HubError(ErrorKind.UNAVAILABLE, "the job keeps changing; try again")

    def _choose_shard(self, spec: JobSpec) -> str:
        shards: dict[str, list[Host]] = {}
        for host in self._hosts.hosts().values():
            if host.kind == "worker":
                name = shard_of(
                    self._settings.region, host.zone, host.rack, self._settings.shards
                )
                shards.setdefault(name, []).append(host)
        limit = self._configuration.current.teams[spec.team].limit
        match check_runnable(spec, shards, limit):
            case NeverRunnable(reason):
                raise HubError(ErrorKind.UNRUNNABLE, reason)
            case RunnableIn(names):
                free_tasks = {name: self._free_tasks(name, spec) for name in names}
                shard = choose_by_free_capacity(free_tasks, self._random.random())
                self._sent_since_summary[shard] = self._sent_since_summary.get(
                    shard, NO_RESOURCES
                ) + spec.size * (spec.tasks)
                return shard

    def _free_tasks(self, shard: str, spec: JobSpec) -> float:
        """Return how many more such tasks a shard can hold.

        Jobs sent there since its last summary are counted as held.
        """
        summary = self._peers.summaries().get(shard)
        if summary is None:
            return 1.0
        if self._last_summaries.get(shard) is not summary:
            self._last_summaries[shard] = summary
            self._sent_since_summary[shard] = NO_RESOURCES
        left = summary.free - self._sent_since_summary.get(shard, NO_RESOURCES)
        return float(left.times_contained(spec.size) - summary.pending)

    def _existing_job(self, job: Job) -> Job:
        existing = self.read(job.spec.team, job.id)
        if existing.digest != job.digest:
            raise HubError(
                ErrorKind.CONFLICT,
                "this Idempotency-Key was used for a different job; use a new one",
            )
        return existing

    def _read_row(self, team: str, job_id: str) -> Row:
        if not job_id.startswith(f"{team}."):
            raise HubError(ErrorKind.NOT_FOUND, f"team {team} has no job {job_id!r}")
        try:
            rows = self._table.read(Keys((keys.job(job_id),)))[0]
        except TableUnavailable as error:
            raise _unavailable(error) from None
        if not rows:
            raise HubError(ErrorKind.NOT_FOUND, f"team {team} has no job {job_id!r}")
        return rows[0]

    def _commit(self, transaction: Transaction) -> Applied | Conflicted:
        try:
            return self._table.commit(transaction)
        except TableUnavailable as error:
            raise _unavailable(error) from None
        except TableOutcomeUnknown:
            raise HubError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the table did not answer; send the request again with the same "
                "Idempotency-Key",
            ) from None


def _unavailable(error: TableUnavailable) -> HubError:
    return HubError(ErrorKind.UNAVAILABLE, f"{error}; nothing was stored; try again")
