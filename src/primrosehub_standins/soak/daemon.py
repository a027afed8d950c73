"""A hub daemon of a checkout, run as a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import gevent
import orjson

from primrosehub.border.hub_settings import HubSettings
from primrosehub.kernel.clock import steady_s
from primrosehub_standins.row_store import StoreEndpoint

_STARTER = Path(__file__).with_name("linked_daemon.py")


class DaemonProcess:
    """Run a hub daemon of a checkout as a process."""

    def __init__(
        self, settings: HubSettings, endpoint: StoreEndpoint, checkout: Path, out: Path
    ) -> None:
        self.settings = settings
        self.endpoint = endpoint
        self.name = settings.name
        self.disturbed = False
        self.cuts = 0  # that touch it at the time
        self._checkout = checkout
        self._settings_path = out / f"{self.name}.json"
        self._log_path = out / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def runs(self) -> bool:
        """Tell whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def serves(self) -> bool:
        """Tell whether a load balancer would send callers to it."""
        return self.runs and not self.disturbed and not self.cuts

    @property
    def memory_mb(self) -> float:
        """Return the peak of the memory of the process, 0 if it is gone."""
        if self._process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((one for one in status.splitlines() if "VmHWM" in one), "")
        return int(line.split()[1]) / 1024 if line else 0.0

    def start(self, seed_peers: tuple[str, ...], relay_port: int) -> None:
        """Start the process, with its connections through the relay."""
        settings = self.settings.model_copy(update={"seed_peers": seed_peers})
        self._settings_path.write_bytes(orjson.dumps(settings.model_dump()))
        environment = os.environ | {
            "PRIMROSEHUB_SETTINGS": str(self._settings_path),
            "PYTHONPATH": str(self._checkout / "src"),
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    *(sys.executable, "-P", str(_STARTER)),
                    *(self.name, str(relay_port)),
                    str(self._checkout / "src" / "hub_main.py"),
                ],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.runs:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()
            self._process = None

    def wait_for_exit(self, timeout_s: float) -> None:
        """Wait until the process has exited, at most for a time."""
        end = steady_s() + timeout_s
        while self.runs and steady_s() < end:
            gevent.sleep(0.02)
