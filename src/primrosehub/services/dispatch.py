"""Run the shards that this daemon owns, one task for each."""

from __future__ import annotations

from contextlib import ExitStack

import gevent

from primrosehub.core.platform import Host
from primrosehub.core.rendezvous import shard_of
from primrosehub.core.resources import Resources, total
from primrosehub.kernel import Kernel
from primrosehub.services._shard_context import Ownership, ShardServices
from primrosehub.services._shard_run import ShardRun
from primrosehub.services.names import METRICS
from primrosehub.services.names.v1 import (
    CONFIGURATION,
    GRANTS,
    HOST_LIST,
    MEMBERSHIP,
    PEERS,
    TABLE,
)

PUBLISH_PERIOD_S = 1.0


class DispatchService:
    """Start and stop shard runs, and publish their summaries."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings
        self._runs: dict[str, ShardRun] = {}

    def start(self, stack: ExitStack) -> None:
        """Look up the services that shard runs use."""
        self._hosts = self._kernel.find(HOST_LIST)
        self._metrics = self._kernel.find(METRICS)
        self._peers = self._kernel.find(PEERS)
        self._tasks = self._kernel.tasks(stack)
        self._services = ShardServices(
            configuration=self._kernel.find(CONFIGURATION),
            grants=self._kernel.find(GRANTS),
            membership=self._kernel.find(MEMBERSHIP),
            metrics=self._metrics,
            peers=self._peers,
            table=self._kernel.find(TABLE),
            hosts=self._hosts_of,
            capacity=self._cell_capacity,
        )
        self._tasks.spawn("publish", self._publish_summaries)

    def acquire(self, shard: str, epoch: int, version: int, released: bool) -> None:
        """Start acting as the owner of a shard.

        ``released`` tells whether the last owner released it.
        """
        self.release(shard)
        ownership = Ownership(shard, epoch, version, released)
        run = ShardRun(ownership, self._services, self._settings.timing, self._tasks)
        self._runs[shard] = run
        self._tasks.spawn(f"shard-{shard}", run.run)

    def release(self, shard: str) -> None:
        """Stop acting as the owner of a shard immediately."""
        run = self._runs.pop(shard, None)
        if run:
            run.close()

    def inbox_changed(self, shard: str) -> None:
        """Read a shard's inbox now."""
        run = self._runs.get(shard)
        if run:
            run.inbox_changed()

    def _hosts_of(self, shard: str) -> dict[str, Host]:
        return {
            host.name: host
            for host in self._hosts.hosts().values()
            if host.kind == "worker" and self._shard_of(host) == shard
        }

    def _shard_of(self, host: Host) -> str:
        settings = self._settings
        return shard_of(settings.region, host.zone, host.rack, settings.shards)

    def _cell_capacity(self) -> Resources:
        hosts = self._hosts.hosts().values()
        return total([host.capacity for host in hosts if host.kind == "worker"])

    def _publish_summaries(self) -> None:
        while True:
            gevent.sleep(PUBLISH_PERIOD_S)
            runs = list(self._runs.values())
            self._peers.publish([run.summary for run in runs])
            pending = sum(run.summary.pending for run in runs)
            self._metrics.gauge("jobs_waiting", pending)
            self._metrics.gauge("worker_syncs", sum(run.syncs for run in runs))
