"""The entry daemon: serves callers' quick requests and accepts durable jobs."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

from primrosehub.binaries._daemon import run_daemon
from primrosehub.border.settings import EntrySettings
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS, v1

MANIFEST = (
    (METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (v1.TABLE, "primrosehub.services.table:TableClient"),
    (v1.HOST_LIST, "primrosehub.services.host_list:HostListClient"),
    (v1.CONFIGURATION, "primrosehub.services.configuration:ConfigurationPoller"),
    (v1.MEMBERSHIP, "primrosehub.services.membership:MembershipService"),
    (v1.PEERS, "primrosehub.services.peers:PeersService"),
    (v1.ADMISSION, "primrosehub.services.admission:AdmissionService"),
    (v1.QUICK, "primrosehub.services.quick:QuickService"),
    (v1.JOBS, "primrosehub.services.jobs:JobsService"),
    (v1.OPS_HTTP, "primrosehub.services.ops_http:OpsServer"),
    (v1.CALLERS_HTTP, "primrosehub.services.callers_http:CallersServer"),
)


def leave(kernel: Kernel) -> None:
    """Announce the stop and finish the requests in flight."""
    kernel.find(v1.MEMBERSHIP).leave()
    kernel.find(v1.QUICK).drain(kernel.settings.drain_s)


def main() -> None:
    """Run the entry daemon."""
    run_daemon(EntrySettings, MANIFEST, leave, "Serve callers on this host.")


if __name__ == "__main__":
    main()
