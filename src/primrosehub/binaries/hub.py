"""The hub daemon: serves callers, and schedules all jobs while it is elected."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import os
import signal
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import NoReturn

import gevent
from pydantic import ValidationError

from primrosehub.border.codec import describe_validation_error
from primrosehub.border.hub_settings import HubSettings
from primrosehub.kernel.clock import steady_s
from primrosehub.core.logs import log, log_to_stdout
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS
from primrosehub.services.names import cluster

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "PRIMROSEHUB_SETTINGS"
# The load balancer removes a daemon after two failed health checks, one a second.
BALANCER_REMOVAL_S = 2.3
DRAIN_QUIET_S = 0.4  # without requests, after which callers count as gone
EXIT_RESERVE_S = 0.8  # of the grace period, so that the process is not killed
CLOSE_RESERVE_S = 1.0  # for ending open connections, within what is left

MANIFEST = (
    (METRICS, "primrosehub.services.metrics:MetricsRegistry"),
    (cluster.STORE, "primrosehub.services.store:StoreService"),
    (
        cluster.CLUSTER_CONFIG,
        "primrosehub.services.cluster_config:ClusterConfigService",
    ),
    (cluster.PEERING, "primrosehub.services.peering:PeeringService"),
    (cluster.ADVISING, "primrosehub.services.advising:AdvisingService"),
    (cluster.SCHEDULER, "primrosehub.services.scheduler:SchedulerService"),
    (cluster.OWNERSHIP, "primrosehub.services.ownership:OwnershipService"),
    (cluster.INTAKE, "primrosehub.services.intake:IntakeService"),
    (cluster.CALLER_FRONT, "primrosehub.services.caller_front:CallerFront"),
    (cluster.HUB_OPS, "primrosehub.services.hub_ops:HubOps"),
)


def read_settings(path: Path) -> HubSettings:
    """Return the validated settings; raise ValueError naming each invalid field."""
    try:
        return HubSettings.model_validate_json(path.read_bytes())
    except ValidationError as error:
        raise ValueError(f"{path}: {describe_validation_error(error)}") from None


def leave(kernel: Kernel) -> None:
    """Hand the jobs over, then serve until callers have left or the grace ends."""
    log("leaving")
    deadline = steady_s() + max(0.0, kernel.settings.bounds.grace_s - EXIT_RESERVE_S)
    front = kernel.find(cluster.CALLER_FRONT)
    with ExitStack() as stack:
        ownership = kernel.find(cluster.OWNERSHIP)
        hand_over = kernel.tasks(stack).spawn("hand-over", ownership.release, deadline)
        time_for_callers_s = max(0.0, deadline - CLOSE_RESERVE_S - steady_s())
        gevent.sleep(min(BALANCER_REMOVAL_S, time_for_callers_s))
        front.wait_for_quiet(
            DRAIN_QUIET_S, max(0.0, deadline - CLOSE_RESERVE_S - steady_s())
        )
        ownership.stop_standing_by()
        hand_over.join(max(0.0, deadline - CLOSE_RESERVE_S - steady_s()))
        front.drain(max(0.0, deadline - steady_s()))


def _reload(path: Path, kernel: Kernel) -> None:
    """Validate changed settings and log the result; the next start applies them."""
    try:
        settings = read_settings(path)
    except (OSError, ValueError) as error:
        log("settings_rejected", reason=str(error)[:300])
        return
    log("settings_reloaded", changed=settings != kernel.settings)


def hub(*, settings: Path | None = None, check: bool = False) -> int:
    """Serve callers and schedule jobs.

    :param settings: the JSON file with the settings
    :param check: only check the settings, then exit
    """
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, "settings.json"))
    try:
        values = read_settings(path)
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{path}: the settings are valid")
        return 0
    flush_logs = log_to_stdout()
    kernel = Kernel(values)
    for name, factory in MANIFEST:
        kernel.load(name, factory)
    log("starting", daemon=values.name, zone=values.zone)
    gevent.signal_handler(signal.SIGHUP, _reload, path, kernel)
    try:
        return kernel.run(lambda: leave(kernel))
    finally:
        flush_logs()


def main() -> None:
    """Run the hub daemon."""
    if len(sys.argv) == 1:
        _exit_at_once(hub())
    # Importing defopt takes a fifth of the start-up time; a daemon that restarts
    # without arguments does not need it.
    import defopt

    _exit_at_once(defopt.run(hub))


def _exit_at_once(code: int) -> NoReturn:
    """End the process without the clean-up of the interpreter.

    It takes more processor time than a slow one has left of the grace period.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
