"""The entry daemon: callers' HTTP, quick requests and durable submissions."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

from primrosehub.binaries._daemon import run_daemon
from primrosehub.border.settings import EntrySettings
from primrosehub.kernel import Kernel
from primrosehub.services import names

MANIFEST = (
    (names.METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (names.TABLE, "primrosehub.services.table:TableClient"),
    (names.HOST_LIST, "primrosehub.services.host_list:HostListClient"),
    (names.CONFIGURATION, "primrosehub.services.configuration:ConfigurationPoller"),
    (names.MEMBERSHIP, "primrosehub.services.membership:MembershipService"),
    (names.PEERS, "primrosehub.services.peers:PeersService"),
    (names.ADMISSION, "primrosehub.services.admission:AdmissionService"),
    (names.QUICK, "primrosehub.services.quick:QuickService"),
    (names.JOBS, "primrosehub.services.jobs:JobsService"),
    (names.OPS_HTTP, "primrosehub.services.ops_http:OpsServer"),
    (names.CALLERS_HTTP, "primrosehub.services.callers_http:CallersServer"),
)


def leave(kernel: Kernel) -> None:
    """Announce the stop and finish the requests in flight."""
    kernel.find(names.MEMBERSHIP).leave()
    kernel.find(names.QUICK).drain(kernel.settings.drain_s)


def main() -> None:
    """Run the entry daemon."""
    run_daemon(EntrySettings, MANIFEST, leave, "Serve callers on this host.")


if __name__ == "__main__":
    main()
