"""The entry daemon: serves callers' quick requests and accepts durable jobs."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

from contextlib import ExitStack

from primrosehub.binaries._daemon import run_daemon
from primrosehub.border.settings import EntrySettings
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
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
    """Announce the stop and answer the requests that have arrived."""
    deadline = steady_s() + kernel.settings.drain_s
    with ExitStack() as stack:
        membership = kernel.find(v1.MEMBERSHIP)
        announcement = kernel.tasks(stack).spawn("leave", membership.leave)
        kernel.find(v1.QUICK).refuse_new()
        kernel.find(v1.CALLERS_HTTP).drain(kernel.settings.drain_s)
        announcement.join(max(0.0, deadline - steady_s()))


def main() -> None:
    """Run the entry daemon."""
    run_daemon(EntrySettings, MANIFEST, leave, "Serve callers on this host.")


if __name__ == "__main__":
    main()
