"""The start of the entry and scheduler daemons: settings, logs and the kernel."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import defopt

from primrosehub.border.settings import DaemonSettings, SettingsError, read_settings
from primrosehub.core.logs import log, log_to
from primrosehub.kernel import Kernel, ServiceName

EXIT_BAD_SETTINGS = 2
S = TypeVar("S", bound=DaemonSettings)
Manifest = tuple[tuple[ServiceName, str], ...]


def run_daemon(
    model: type[S],
    manifest: Manifest,
    leave: Callable[[Kernel], None],
    describe: str,
) -> None:
    """Parse the command line, then check the settings or run the daemon."""

    def daemon(*, settings: Path, check: bool = False) -> int:
        """Run the daemon.

        :param settings: the JSON file with the settings
        :param check: only check the settings, then exit
        """
        try:
            values = read_settings(model, settings)
        except SettingsError as error:
            print(error, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        if check:
            print(f"{settings}: the settings are valid")
            return 0
        return _run(values, manifest, leave)

    daemon.__doc__ = (daemon.__doc__ or "").replace("Run the daemon.", describe, 1)
    sys.exit(defopt.run(daemon))


def _run(
    settings: DaemonSettings, manifest: Manifest, leave: Callable[[Kernel], None]
) -> int:
    log_to()
    kernel = Kernel(settings)
    for name, factory in manifest:
        kernel.load(name, factory)
    log("starting", daemon=settings.name, role=settings.role)
    return kernel.run(lambda: leave(kernel))
