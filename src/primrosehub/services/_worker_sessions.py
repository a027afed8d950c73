"""Hold the sessions with a shard's worker hosts, and send orders through them."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from primrosehub.border.settings import Timing
from primrosehub.core.platform import Host, StartTask
from primrosehub.core.work import Job, TaskRef
from primrosehub.kernel import TaskGroup
from primrosehub.services._shard_context import Ownership, ShardServices
from primrosehub.services._worker_session import Report, WorkerSession


class WorkerSessions:
    """Keep a session with each worker host that is listed or in use.

    ``wake`` is called when a report has arrived.
    """

    def __init__(
        self,
        ownership: Ownership,
        services: ShardServices,
        timing: Timing,
        tasks: TaskGroup,
        wake: Callable[[], None],
    ) -> None:
        self.by_host: dict[str, WorkerSession] = {}
        self._reports: dict[str, Report] = {}
        self._ownership = ownership
        self._services = services
        self._timing = timing
        self._tasks = tasks
        self._wake = wake
        self._created_at = time.monotonic()

    @property
    def syncs(self) -> int:
        """Return how many synchronizations have succeeded."""
        return sum(session.syncs for session in self.by_host.values())

    def update_hosts(self, hosts: Mapping[str, Host], in_use: set[str]) -> None:
        """Open sessions of new worker hosts; close those neither listed nor in use."""
        for name, host in hosts.items():
            if name in self.by_host:
                self.by_host[name].host = host
            else:
                self._open(host)
        for name in set(self.by_host) - set(hosts) - in_use:
            self.by_host.pop(name).close()

    def take_reports(self) -> dict[str, Report]:
        """Return the newest report of each worker host since the last call."""
        reports, self._reports = self._reports, {}
        return reports

    def put_back(self, reports: Mapping[str, Report]) -> None:
        """Return reports to the queue, except for hosts that have reported since."""
        newer, self._reports = self._reports, dict(reports)
        for report in newer.values():
            self._store_report(report)

    def close(self) -> None:
        """Close all sessions."""
        for session in self.by_host.values():
            session.close()

    def request_full_report(self) -> None:
        """Request a full report from every worker host."""
        for session in self.by_host.values():
            session.request_full_report()

    def order_start(self, host: str, job: Job, ref: TaskRef) -> None:
        """Order the start of an attempt immediately."""
        session = self.by_host.get(host)
        if session is None:
            return
        session.starts[ref] = StartTask(
            ref=ref,
            size=job.spec.size,
            command=job.spec.command,
            host_incarnation=job.tasks[ref.index].host_incarnation,
        )
        session.wake()

    def order_stop(self, host: str, ref: TaskRef) -> None:
        """Order the stop of an attempt immediately."""
        session = self.by_host.get(host)
        if session and ref not in session.stops:
            session.stops.add(ref)
            session.wake()

    def acknowledge(self, refs: Mapping[str, set[TaskRef]]) -> None:
        """Acknowledge ended attempts, whose ends are in the table, to worker hosts."""
        for host, ended in refs.items():
            if host in self.by_host:
                self.by_host[host].acks |= ended

    def _open(self, host: Host) -> None:
        timing = self._timing
        # An owner that has not released the shard may renew leases for so long after
        # its last confirmed read of the table.
        earlier_owner_s = 0.0 if self._ownership.released else timing.unconfirmed_s
        session = WorkerSession(
            host=host,
            shard=self._ownership.shard,
            epoch=self._ownership.epoch,
            timing=timing,
            lease_over_at=self._created_at
            + earlier_owner_s
            + timing.lease_s
            + timing.drift_s,
            may_renew=self._may_renew,
            on_report=self._on_report,
            on_superseded=self._on_superseded,
            on_bytes_transferred=self._services.metrics.byte_counter("worker"),
        )
        self.by_host[host.name] = session
        self._tasks.spawn(f"worker-{host.name}", session.run)
        self._tasks.spawn(f"watch-{host.name}", session.watch)

    def _may_renew(self) -> bool:
        confirmed_at = self._services.membership.view.confirmed_at
        return time.monotonic() - confirmed_at < self._timing.unconfirmed_s

    def _on_report(self, report: Report) -> None:
        self._store_report(report)
        self._wake()

    def _store_report(self, report: Report) -> None:
        """Store a report in place of an older one of the same worker host.

        If this replaces a full report by one that is not, a full report is requested
        again.
        """
        older = self._reports.get(report.host)
        self._reports[report.host] = report
        if older and older.running is not None and report.running is None:
            self.by_host[report.host].request_full_report()

    def _on_superseded(self, epoch: int) -> None:
        self._services.membership.refresh()
