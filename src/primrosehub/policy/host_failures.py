"""Tell worker hosts that fail their tasks apart from jobs that fail on any host."""

from __future__ import annotations

from dataclasses import dataclass, field

FAILED_JOBS_TO_QUARANTINE = 3
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0
HOSTS_FOR_FAILING_JOB = 2  # a job that failed on so many hosts is itself at fault


@dataclass(slots=True)
class _HostRecord:
    failed_jobs: set[str] = field(default_factory=set)
    until_s: float = 0.0
    quarantine_s: float = FIRST_QUARANTINE_S
    probing: bool = False


@dataclass(slots=True)
class FailureRecords:
    """Record which jobs failed on each worker host since the host's last success.

    A job that failed on several worker hosts is itself at fault and counts against none
    of them. Times are seconds of any one clock.
    """

    _hosts: dict[str, _HostRecord] = field(default_factory=dict)
    _failed_on: dict[str, set[str]] = field(default_factory=dict)

    def note_success(self, host: str) -> None:
        """Record that an attempt succeeded on a worker host."""
        self._hosts.pop(host, None)

    def note_failure(self, host: str, job: str, now_s: float) -> bool:
        """Record that an attempt failed; tell whether this quarantines the host."""
        hosts = self._failed_on.setdefault(job, set())
        hosts.add(host)
        if len(hosts) >= HOSTS_FOR_FAILING_JOB:
            self._discard_failures(hosts, job)
            return False
        record = self._hosts.setdefault(host, _HostRecord())
        record.failed_jobs.add(job)
        enough = 1 if record.probing else FAILED_JOBS_TO_QUARANTINE
        if len(record.failed_jobs) < enough or now_s < record.until_s:
            return False
        record.until_s = now_s + record.quarantine_s
        record.quarantine_s = min(MAX_QUARANTINE_S, 2 * record.quarantine_s)
        record.probing = True
        return True

    def _discard_failures(self, hosts: set[str], job: str) -> None:
        """Discard a job's failures; end quarantines left with too few."""
        for host in hosts & set(self._hosts):
            record = self._hosts[host]
            record.failed_jobs.discard(job)
            if len(record.failed_jobs) < FAILED_JOBS_TO_QUARANTINE:
                record.until_s = 0.0
                record.probing = False
                record.quarantine_s = FIRST_QUARANTINE_S

    def forget_job(self, job: str) -> None:
        """Forget a job that has ended."""
        self._failed_on.pop(job, None)

    def failed_on(self, job: str) -> frozenset[str]:
        """Return the worker hosts on which a job has failed."""
        return frozenset(self._failed_on.get(job, ()))

    def may_start(self, host: str, running: int, now_s: float) -> bool:
        """Tell whether a worker host may be given work.

        A host whose quarantine has ended gets one task at a time until one succeeds.
        """
        record = self._hosts.get(host)
        if record is None:
            return True
        return now_s >= record.until_s and not (record.probing and running)
