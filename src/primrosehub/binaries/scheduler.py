"""The scheduler daemon: owns shards of worker hosts and runs their jobs."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

from primrosehub.binaries._daemon import run_daemon
from primrosehub.border.settings import SchedulerSettings
from primrosehub.kernel import Kernel
from primrosehub.services import names

MANIFEST = (
    (names.METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (names.TABLE, "primrosehub.services.table:TableClient"),
    (names.HOST_LIST, "primrosehub.services.host_list:HostListClient"),
    (names.CONFIGURATION, "primrosehub.services.configuration:ConfigurationPoller"),
    (names.MEMBERSHIP, "primrosehub.services.membership:MembershipService"),
    (names.GRANTS, "primrosehub.services.grants:GrantsService"),
    (names.PEERS, "primrosehub.services.peers:PeersService"),
    (names.DISPATCH, "primrosehub.services.dispatch:DispatchService"),
    (names.SHARDS, "primrosehub.services.shards:ShardsService"),
    (names.OPS_HTTP, "primrosehub.services.ops_http:OpsServer"),
)


def leave(kernel: Kernel) -> None:
    """Announce the stop and hand all shards over."""
    kernel.find(names.MEMBERSHIP).leave()
    kernel.find(names.SHARDS).release_all()


def main() -> None:
    """Run the scheduler daemon."""
    run_daemon(SchedulerSettings, MANIFEST, leave, "Schedule jobs on worker hosts.")


if __name__ == "__main__":
    main()
