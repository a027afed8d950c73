"""Start a cell, a whole cluster on loopback, with one process per daemon."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import orjson

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub_standins.layout import (
    Daemon,
    Layout,
    Ports,
    backend_entry,
    worker_entry,
)

START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 15.0
_OK = 200
_OPERATOR = "primrosehub.binaries.operator_command"


class CellError(Exception):
    """Report a part of the cell that did not start or respond."""


class Cell:
    """Start and own the processes of a cell; ``close`` ends them all."""

    def __init__(self, folder: Path, layout: Layout) -> None:
        self.folder = folder
        self.layout = layout
        self.daemons: dict[str, Daemon] = {}
        self.standins: dict[str, subprocess.Popen[bytes]] = {}
        self.hosts: list[dict[str, Any]] = []
        self._ports: dict[str, int] = {}
        self._endpoints: dict[tuple[str, int], HttpEndpoint] = {}
        self._stack = ExitStack()
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> Cell:
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def start(self, rules: Path) -> None:
        """Start all processes and apply the rules."""
        self._stack.callback(self._stop_all)
        self._choose_addresses()
        self._start_platform()
        self.wait_for(lambda: self.table_counts() is not None, "the table stand-in")
        self.operator("rules", "apply", str(rules), "--base", "0")
        for daemon in self.daemons.values():
            self.start_daemon(daemon.name)
        self.wait_ready()

    def close(self) -> None:
        """End all processes."""
        self._stack.close()

    def start_daemon(self, name: str) -> None:
        """Start or restart one daemon."""
        daemon = self.daemons[name]
        module = f"primrosehub.binaries.{daemon.role}"
        daemon.process = self._spawn(
            name, module, "--settings", str(daemon.settings_path)
        )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon or stand-in that this cell started."""
        self._process(name).send_signal(number)

    def stop(self, name: str, number: int = signal.SIGTERM) -> int:
        """End a daemon or stand-in and return its exit code."""
        process = self._process(name)
        process.send_signal(number)
        return process.wait(STOP_TIMEOUT_S)

    def operator(self, *words: str, check: bool = True) -> str:
        """Run the operators' command and return what it prints."""
        command = [sys.executable, "-m", _OPERATOR, *words]
        if words[:2] not in (("rules", "check"), ("key", "new")):
            command += ["--settings", str(self.folder / "operator.json")]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and done.returncode:
            raise CellError(done.stderr)
        return done.stdout + done.stderr

    def request(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: Any = None,
        timeout_s: float = 10.0,
        headers: Iterable[tuple[str, str]] = (),
    ) -> Response:
        """Send one request over HTTP."""
        endpoint = self._endpoints.setdefault(address, HttpEndpoint(*address))
        content = b"" if body is None else orjson.dumps(body)
        return endpoint.exchange(
            method, target, tuple(headers), content, timeout_s=timeout_s
        )

    def fault(self, target: str, **fault: Any) -> None:
        """Inject a fault into the table, the object store, a worker or a backend."""
        self.request(self.address_of(target), "POST", "/fault", fault)

    def address_of(self, target: str) -> tuple[str, int]:
        """Return the address of a platform stand-in or of a host."""
        if target in self._ports:
            return "127.0.0.1", self._ports[target]
        host = next(host for host in self.hosts if host["name"] == target)
        return host["ip"], host["port"]

    def table_counts(self) -> dict[str, int] | None:
        """Return the table stand-in's counters, or None if it does not answer."""
        try:
            response = self.request(self.address_of("table"), "GET", "/counts")
        except (NotSent, NoAnswer):
            return None
        return orjson.loads(response.body)

    def metrics(self, name: str) -> dict[str, float]:
        """Return a daemon's metrics by name and labels."""
        address = self.daemons[name].address("ops")
        text = self.request(address, "GET", "/metrics").body.decode()
        pairs = (line.rsplit(" ", 1) for line in text.splitlines() if line[:1] != "#")
        return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}

    def entries(self) -> list[Daemon]:
        """Return the entry daemons."""
        return [d for d in self.daemons.values() if d.role == "entry"]

    def schedulers(self) -> list[Daemon]:
        """Return the scheduler daemons."""
        return [d for d in self.daemons.values() if d.role == "scheduler"]

    def wait_ready(self, names: Iterable[str] | None = None) -> None:
        """Wait until the daemons are ready."""
        for name in names or self.daemons:
            self.wait_for(lambda name=name: self._is_ready(name), f"daemon {name}")

    def wait_for(
        self, condition: Any, what: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Poll a condition; raise CellError if it is still false at the timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise CellError(
            f"{what}: not reached within {timeout_s:g} s; see {self.folder}"
        )

    def journal(self, name: str) -> Path:
        """Return the path of a stand-in's journal."""
        return self.folder / f"{name}.journal"

    def _is_ready(self, name: str) -> bool:
        daemon = self.daemons[name]
        if daemon.process is not None and daemon.process.poll() is not None:
            log = (self.folder / f"{name}.log").read_text()[-2000:]
            raise CellError(f"daemon {name} has exited:\n{log}")
        try:
            ready = self.request(daemon.address("ops"), "GET", "/readyz")
            shards = self.metrics(name).get("primrosehub_shards_held", 0)
        except (NotSent, NoAnswer):
            return False
        return ready.status == _OK and (daemon.role == "entry" or shards >= 0)

    def _process(self, name: str) -> subprocess.Popen[bytes]:
        process = self.standins.get(name)
        if process is None:
            process = self.daemons[name].process
        if process is None:
            raise CellError(f"{name} was not started")
        return process

    def _spawn(self, name: str, module: str, *arguments: str) -> Any:
        log = self._stack.enter_context((self.folder / f"{name}.log").open("ab"))
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def _stop_all(self) -> None:
        daemons = [d.process for d in self.daemons.values() if d.process]
        for group in (daemons, list(self.standins.values())):
            for process in group:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGTERM)
            for process in group:
                with contextlib.suppress(subprocess.TimeoutExpired):
                    process.wait(STOP_TIMEOUT_S)
                if process.poll() is None:
                    process.kill()
                    process.wait()

    def _choose_addresses(self) -> None:
        ports = Ports()
        self._ports = {
            name: ports.take("127.0.0.1") for name in ("table", "objects", "host-list")
        }
        layout = self.layout
        for number in range(
            layout.zones * layout.racks_per_zone * layout.workers_per_rack
        ):
            self.hosts.append(worker_entry(layout, number, ports))
        for number in range(layout.backends):
            self.hosts.append(backend_entry(layout, number, ports))
        (self.folder / "hosts.json").write_bytes(orjson.dumps(self.hosts))
        platform = {
            name.replace("-", "_"): {"ip": "127.0.0.1", "port": port}
            for name, port in self._ports.items()
        } | {"host_poll_s": 1.0}
        (self.folder / "operator.json").write_bytes(
            orjson.dumps({"platform": platform})
        )
        names = [("entry", n) for n in range(1, layout.entries + 1)]
        names += [("scheduler", n) for n in range(1, layout.schedulers + 1)]
        for offset, (role, number) in enumerate(names):
            self._add_daemon(role, number, f"127.0.0.{10 + offset}", platform, ports)
        self._write_settings()

    def _add_daemon(
        self, role: str, number: int, ip: str, platform: dict[str, Any], ports: Ports
    ) -> None:
        name = f"{role}-{number}"
        settings = {
            "name": name,
            "zone": f"zone-{1 + (number - 1) % self.layout.zones}",
            "peer": {"ip": ip, "port": ports.take(ip)},
            "ops": {"ip": ip, "port": ports.take(ip)},
            "platform": platform,
            "timing": self.layout.timing,
            "shards": self.layout.shards,
        }
        if role == "entry":
            settings["callers"] = {"ip": ip, "port": ports.take(ip)}
            settings |= self.layout.entry_settings
        path = self.folder / f"{name}.json"
        self.daemons[name] = Daemon(name, role, settings, path)

    def _write_settings(self) -> None:
        for daemon in self.daemons.values():
            daemon.settings["seed_peers"] = [
                other.settings["peer"]
                for other in self.daemons.values()
                if other is not daemon
            ]
            daemon.settings_path.write_bytes(orjson.dumps(daemon.settings))

    def _start_platform(self) -> None:
        hosts = str(self.folder / "hosts.json")
        for role, port in self._ports.items():
            words = ["--role", role, "--port", str(port), "--hosts", hosts]
            self._start_standin(role, words)
        if self.layout.backends:
            self._start_standin("backend", ["--role", "backend", "--hosts", hosts])
        workers = [host["name"] for host in self.hosts if host["kind"] == "worker"]
        count = self.layout.worker_processes
        for number in range(count if workers else 0):
            names = ",".join(workers[number::count])
            words = ["--role", "worker", "--hosts", hosts, "--names", names]
            self._start_standin(f"worker-process-{number + 1}", words)

    def _start_standin(self, name: str, words: list[str]) -> None:
        words = [*words, "--journal", str(self.journal(name))]
        self.standins[name] = self._spawn(name, "primrosehub_standins.main", *words)
