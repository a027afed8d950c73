"""Accept, read and cancel jobs on behalf of callers, on every daemon."""

from __future__ import annotations

from contextlib import ExitStack

import gevent

from primrosehub.border.codec import encode
from primrosehub.border.stored_jobs import decode_progress, decode_stored_job
from primrosehub.core.batch import (
    FINAL_STATES,
    JOB_ID,
    AcceptedJob,
    BatchSpec,
    JobState,
)
from primrosehub.core.clusterconfig import Queue
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.logs import log
from primrosehub.core.peering import (
    AskState,
    AskWaiting,
    JobCancelled,
    JobsAccepted,
    Noted,
    PeerMessage,
    StateIs,
    WaitingIs,
)
from primrosehub.core.rows import RowKey, StoreRefused
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.services._insert_batch import (
    PARALLEL_TRANSACTIONS,
    InsertBatch,
    Inserted,
    NotInserted,
)
from primrosehub.services._job_rows import CANCEL_TABLE, JOB_TABLE, progress_key
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import (
    CLUSTER_CONFIG,
    OWNERSHIP,
    PEERING,
    SCHEDULER,
    STORE,
    PeerSilent,
)

# Share of the caller's wait after which an insert is given up, so that half of the wait
# is left when its outcome is unknown.
MAX_SHARE_OF_WAIT = 0.48
# A quarter of the shortest objective of the users, because callers retry immediately.
REFUSE_AFTER_S = 0.4
ASK_OWNER_TIMEOUT_S = 0.6
NOTIFY_OWNER_TIMEOUT_S = 0.5
# A cancellation has to take effect within seconds, however late the feed is.
CANCEL_NOTICE_ATTEMPTS = 10
CANCEL_NOTICE_RETRY_S = 0.2
KEEP_UNKNOWN_S = 60.0  # much longer than callers go on repeating a request
MAX_COUNT_AGE_S = 1.5  # an older count of waiting jobs is not returned


class IntakeService:
    """Store jobs and cancellations, notify the owner, and answer queries about jobs."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._unknown_since: dict[str, float] = {}
        self._waiting_counts: dict[str, tuple[float, int]] = {}

    def start(self, stack: ExitStack) -> None:
        """Look up the other services and start sending inserts."""
        self._store = self._kernel.find(STORE)
        self._config = self._kernel.find(CLUSTER_CONFIG)
        self._ownership = self._kernel.find(OWNERSHIP)
        self._peering = self._kernel.find(PEERING)
        self._scheduler = self._kernel.find(SCHEDULER)
        self._metrics = self._kernel.find(METRICS)
        self._own_part = self._peering.own_card.name
        self._insert_batch = InsertBatch(self._store)
        self._tasks = self._kernel.tasks(stack)
        for number in range(PARALLEL_TRANSACTIONS):
            self._tasks.spawn_restarting(
                f"insert-batch {number}", self._insert_batch.run
            )

    def submit(
        self, host: str, path: str, secret: str | None, spec: BatchSpec, wait_s: float
    ) -> None:
        """Store a job once."""
        queue, team, job_id = self._authorize(host, path, secret)
        self._require_job_id(job_id)
        accepted = AcceptedJob(
            job=job_id,
            team=team,
            queue=queue.name,
            service=queue.service,
            accepted_ms=unix_ms(),
            spec=spec,
            max_attempts=queue.max_attempts,
        )
        started_at = steady_s()
        stored = self._insert_job(accepted, wait_s)
        log(
            "job_accepted",
            job=job_id,
            queue=queue.name,
            team=team,
            config=self._config.current.version,
            new=stored,
            took_ms=round((steady_s() - started_at) * 1000),
        )
        self._metrics.count("jobs_accepted", queue=queue.name)
        self._metrics.observe("accept_seconds", steady_s() - started_at)
        self._tasks.spawn("tell-owner", self._notify_owner, JobsAccepted((accepted,)))

    def state(
        self, host: str, path: str, secret: str | None, wait_s: float
    ) -> JobState:
        """Return a job's state."""
        _, team, job_id = self._authorize(host, path, secret)
        if not JOB_ID.fullmatch(job_id):
            raise HubError(ErrorKind.NO_SUCH_JOB, f"{job_id!r} is not a job's id")
        match self._ask_owner(AskState(job_id, team)):
            case StateIs(JobState() as state):
                return state
        return self._state_from_store(job_id, team)

    def cancel(self, host: str, path: str, secret: str | None, wait_s: float) -> None:
        """Store a job's cancellation."""
        _, team, job_id = self._authorize(host, path, secret)
        if not JOB_ID.fullmatch(job_id):
            raise HubError(ErrorKind.NO_SUCH_JOB, f"{job_id!r} is not a job's id")
        known = self._ask_owner(AskState(job_id, team))
        if not (isinstance(known, StateIs) and known.state):
            self._state_from_store(job_id, team)
        self._insert_once(CANCEL_TABLE, job_id, team, b"{}", wait_s)
        log("cancel_accepted", job=job_id, team=team)
        self._tasks.spawn("tell-owner", self._notify_cancelled, JobCancelled(job_id))

    def waiting(self, host: str, path: str, secret: str | None, wait_s: float) -> int:
        """Return how many jobs of a queue have not started."""
        queue, _, _ = self._authorize(host, path, secret)
        match self._ask_owner(AskWaiting(queue.name)):
            case WaitingIs(count):
                self._waiting_counts[queue.name] = (steady_s(), count)
                return count
        at, count = self._waiting_counts.get(queue.name, (float("-inf"), 0))
        if steady_s() - at < MAX_COUNT_AGE_S:
            return count
        raise HubError(ErrorKind.UNAVAILABLE, "the jobs have no owner at the moment")

    def _authorize(
        self, host: str, path: str, secret: str | None
    ) -> tuple[Queue, str, str]:
        """Return the queue, the team and the rest of the path; raise HubError."""
        config = self._config.current
        if not config.version:
            raise HubError(ErrorKind.UNAVAILABLE, "no configuration was received yet")
        queue = config.queue_for(host, path)
        if queue is None:
            raise HubError(ErrorKind.NOT_FOUND, f"no queue at {host}{path}")
        team = config.team_of_key.get(secret or "", "")
        if queue.team_required and not team:
            raise HubError(ErrorKind.UNAUTHENTICATED, "the key is missing or unknown")
        return queue, team, path.removeprefix(queue.prefix)

    def _require_job_id(self, job_id: str) -> None:
        if not JOB_ID.fullmatch(job_id):
            raise HubError(
                ErrorKind.BAD_REQUEST, "a job's id is 16 lower-case hexadecimal digits"
            )

    def _insert_job(self, accepted: AcceptedJob, wait_s: float) -> bool:
        """Store the job; return whether it is new, False if it was already stored.

        Raise HubError if another job is stored under this id.
        """
        value = encode(accepted)
        stored = self._insert_once(
            JOB_TABLE, accepted.job, accepted.team, value, wait_s
        )
        if stored == value:
            return True
        try:
            earlier = decode_stored_job(accepted.job, stored)
        except ValueError as error:
            log("job_row_unreadable", job=accepted.job, reason=str(error)[:200])
            raise HubError(ErrorKind.CONFLICT, "another job has this id") from None
        same = (earlier.team, earlier.queue, earlier.spec) == (
            accepted.team,
            accepted.queue,
            accepted.spec,
        )
        if not same:
            raise HubError(ErrorKind.CONFLICT, "another job has this id")
        return False

    def _insert_once(
        self, table: str, job: str, team: str, value: bytes, wait_s: float
    ) -> bytes:
        """Insert a row unless one exists; return the value that is stored then."""
        key = RowKey(table, self._own_part, job)
        result = self._insert_batch.insert(
            key, value, REFUSE_AFTER_S, max(REFUSE_AFTER_S, wait_s * MAX_SHARE_OF_WAIT)
        )
        match result:
            case Inserted(existing):
                self._unknown_since.pop(job, None)
                return value if existing is None else existing
            case NotInserted(unknown, reason):
                if unknown:
                    self._remember_unknown(job)
                may_be_stored = job in self._unknown_since or self._may_be_stored(
                    job, team
                )
                raise self._build_not_stored_error(key, may_be_stored, reason)

    def _remember_unknown(self, job: str) -> None:
        now = steady_s()
        self._unknown_since[job] = now
        for other, since in list(self._unknown_since.items()):
            if now - since > KEEP_UNKNOWN_S:
                del self._unknown_since[other]

    def _may_be_stored(self, job: str, team: str) -> bool:
        """Return whether a job may be stored; only the owner can rule it out."""
        return self._ask_owner(AskState(job, team)) != StateIs(None)

    def _build_not_stored_error(
        self, key: RowKey, may_be_stored: bool, reason: str
    ) -> HubError:
        log(
            "not_stored",
            job=key.key,
            table=key.table,
            unknown=may_be_stored,
            reason=reason,
        )
        if may_be_stored:
            return HubError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the store did not answer; send it again",
            )
        return HubError(
            ErrorKind.UNAVAILABLE,
            "the store takes no jobs at the moment",
        )

    def _state_from_store(self, job_id: str, team: str) -> JobState:
        try:
            stored = self._find_row(JOB_TABLE, job_id)
            if stored is None or decode_stored_job(job_id, stored).team != team:
                raise HubError(ErrorKind.NO_SUCH_JOB, f"no job {job_id}")
            progress = self._store.read_one(progress_key(job_id))
            if progress is None and self._find_row(CANCEL_TABLE, job_id) is not None:
                return JobState.CANCELLED
            state = decode_progress(progress.value).state if progress else None
        except StoreRefused as error:
            raise HubError(ErrorKind.UNAVAILABLE, f"the job's state: {error}") from None
        except ValueError as error:
            log("job_row_unreadable", job=job_id, reason=str(error)[:200])
            raise HubError(
                ErrorKind.UNAVAILABLE, "the job's stored state is unreadable"
            ) from None
        if state is None:
            return JobState.QUEUED
        return state if state in FINAL_STATES else JobState.RUNNING

    def _find_row(self, table: str, job: str) -> bytes | None:
        """Return the value of a job's row, searching the parts of all daemons."""
        for part in self._store.parts(table):
            row = self._store.read_one(RowKey(table, part, job))
            if row is not None:
                return row.value
        return None

    def _ask_owner(self, message: AskState | AskWaiting) -> PeerMessage | None:
        if self._ownership.is_owner:
            try:
                match message:
                    case AskState(job, team):
                        return StateIs(self._scheduler.state_of(job, team))
                    case AskWaiting(queue):
                        return WaitingIs(self._scheduler.waiting_in(queue))
            except LookupError:
                return None
        try:
            return self._peering.call(
                self._ownership.known_owner.name, message, ASK_OWNER_TIMEOUT_S
            )
        except PeerSilent:
            return None  # then the store or the last known count is used

    def _notify_cancelled(self, message: JobCancelled) -> None:
        """Notify the owner of the moment until one has noted the cancellation."""
        for _ in range(CANCEL_NOTICE_ATTEMPTS):
            if self._notify_owner(message):
                return
            gevent.sleep(CANCEL_NOTICE_RETRY_S)

    def _notify_owner(self, message: JobsAccepted | JobCancelled) -> bool:
        """Notify the owner, so that it need not wait for the store's feed of changes.

        The feed brings the change to the owner in any case. Return whether the owner
        has noted it.
        """
        try:
            if self._ownership.is_owner:
                match message:
                    case JobsAccepted(jobs):
                        self._scheduler.add_jobs(jobs)
                    case JobCancelled(job):
                        self._scheduler.cancel(job)
                return True
            name = self._ownership.known_owner.name
            answer = self._peering.call(name, message, NOTIFY_OWNER_TIMEOUT_S)
        except (PeerSilent, LookupError) as error:
            log("owner_not_told", reason=str(error))
            return False
        if answer != Noted():
            log("owner_not_told", reason=f"{name} does not own the jobs")
            return False
        return True
