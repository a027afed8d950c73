"""The scheduler daemon: owns shards of worker hosts and runs their jobs."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

from primrosehub.binaries._daemon import run_daemon
from primrosehub.border.settings import SchedulerSettings
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS, v1

MANIFEST = (
    (METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (v1.TABLE, "primrosehub.services.table:TableClient"),
    (v1.HOST_LIST, "primrosehub.services.host_list:HostListClient"),
    (v1.CONFIGURATION, "primrosehub.services.configuration:ConfigurationPoller"),
    (v1.MEMBERSHIP, "primrosehub.services.membership:MembershipService"),
    (v1.GRANTS, "primrosehub.services.grants:GrantsService"),
    (v1.PEERS, "primrosehub.services.peers:PeersService"),
    (v1.DISPATCH, "primrosehub.services.dispatch:DispatchService"),
    (v1.SHARDS, "primrosehub.services.shards:ShardsService"),
    (v1.OPS_HTTP, "primrosehub.services.ops_http:OpsServer"),
)


def leave(kernel: Kernel) -> None:
    """Announce the stop and release all shards to other schedulers."""
    kernel.find(v1.MEMBERSHIP).leave()
    kernel.find(v1.SHARDS).release_all()


def main() -> None:
    """Run the scheduler daemon."""
    run_daemon(SchedulerSettings, MANIFEST, leave, "Schedule jobs on worker hosts.")


if __name__ == "__main__":
    main()
