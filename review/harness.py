"""Run hub daemons as processes beside the project's stand-ins, for the cases here."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import os
import signal
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.server import StreamServer

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub.border.hub_settings import Bounds
from primrosehub.kernel.clock import steady_s
from primrosehub_standins.hub_cell import (
    API_KEY,
    HOST_NAME,
    PREFIX,
    SERVICE,
    HubCell,
)
from primrosehub_standins.row_store import EndpointState, RowStoreStandin, StoreEndpoint

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # run.sh turns 10 into 1, and all others into 2
MAX_RUN_S = 110.0
# The bounds of the site corrib-loft-ops that a hub daemon reads.
SITE_BOUNDS = Bounds(
    host_drain_ms=2000, grace_s=6, max_lease_ms=10_000, stop_timeout_ms=400
)
# An executor of that site: about 64 cores and 256 GB.
SITE_CAPACITY = {"cpu": 64_000, "mem-mb": 262_144, "gpu": 0}
CPU_SHARE, CORES = 0.537, 2


class Daemon:
    """A hub daemon, started with the command of the deploy file."""

    def __init__(self, case: Case, number: int) -> None:
        self._case = case
        self.endpoint = StoreEndpoint()
        settings = case.cell.new_settings(number, self.endpoint)
        self.settings = settings.model_copy(
            update={"cpu_share": CPU_SHARE, "cores": CORES, "bounds": SITE_BOUNDS}
        )
        self.name = self.settings.name
        self._path = case.folder / f"{self.name}.json"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, seed_peers: list[str]) -> None:
        """Start the process."""
        settings = self.settings.model_copy(update={"seed_peers": tuple(seed_peers)})
        self._path.write_bytes(orjson.dumps(settings.model_dump()))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        } | {
            "PRIMROSEHUB_SETTINGS": str(self._path),
            "PYTHONPATH": "target/deps",
        }
        with (self._case.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "target/app/hub_main.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()
            self._process = None

    @property
    def runs(self) -> bool:
        """Tell whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def memory_mb(self) -> float:
        """Return the memory of the process, 0 if it is gone."""
        if self._process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((one for one in status.splitlines() if "VmRSS" in one), "")
        return int(line.split()[1]) / 1024 if line else 0.0


class Case:
    """Hold the stand-ins, the daemons, and the record of one run."""

    def __init__(
        self,
        folder: Path,
        hosts: int,
        daemons: int,
        store: RowStoreStandin | None = None,
    ) -> None:
        self.began = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.cell = HubCell(hubs=0, hosts=hosts)
        if store is not None:
            self.cell.store = store
            self.cell.configure()
        for host in self.cell.hosts:
            self.list_host(host)
        self._tasks: list[gevent.Greenlet] = []
        self._lapses: list[tuple[str, float]] = []
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self.note(f"trouble: {'yes' if TROUBLE else 'no'}")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def watch_leases(self) -> None:
        """Note each lease that lapses, with or without a run, from now on."""
        self._tasks.append(gevent.spawn(self._watch_leases))

    def lapsed_since(self, host: str, at: float) -> bool:
        """Tell whether the lease of an executor has lapsed after a moment."""
        return any(name == host and lapse >= at for name, lapse in self._lapses)

    def _watch_leases(self) -> None:
        lapsed: set[tuple[str, int]] = set()
        while True:
            for host in self.cell.hosts:
                lease = (host.host, host._lease_end_ms)
                over = 0 < host._lease_end_ms < host.clock_ms
                if over and lease not in lapsed:
                    lapsed.add(lease)
                    self._lapses.append((host.host, steady_s()))
                    self.note(f"the lease of {host.host} has lapsed")
            gevent.sleep(0.02)

    def list_host(self, host: Any, **changes: Any) -> None:
        """Write an executor's entry, as large as an executor of the site."""
        entry = {
            "service": SERVICE,
            "address": self.cell._addresses[host.host],
            "zone": "zone-0",
            "state": "ready",
            "free-capacity": SITE_CAPACITY,
            "labels": ["a", "r1"],
        }
        self.cell.store.put("servers", host.host, entry | changes)

    def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready and one is the owner."""
        seeds = [daemon.settings.peer for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.start(seeds)
        for daemon in self.daemons:
            self.until(lambda d=daemon: self.is_ready(d), f"{daemon.name} not ready")
        self.until(self.owner, "no owner")
        gevent.sleep(1.5)
        self.note(f"all daemons are ready; the owner is {self.owner().name}")

    def is_ready(self, daemon: Daemon) -> bool:
        """Tell whether the daemon says that it is ready."""
        answer = self._exchange(daemon.settings.ready, "GET", "/primrosehub/readyz")
        return answer is not None and answer.status == 200

    def owner(self) -> Daemon | None:
        """Return the daemon that the owner row names."""
        row = self.cell.store.value("owner", "s", "cell")
        name = row["name"] if row and row.get("incarnation") else ""
        return next((one for one in self.daemons if one.name == name), None)

    def follower(self) -> Daemon:
        """Return a daemon that runs and is not the owner."""
        owner = self.owner()
        return next(one for one in self.daemons if one.runs and one is not owner)

    def call(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = API_KEY,
    ) -> Response | None:
        """Send a caller's request; return None if there was no answer."""
        headers = (
            ("Host", HOST_NAME),
            ("Authorization", f"Bearer {key}"),
            ("Content-Type", "application/json"),
            ("Primrosehub-Deadline-Ms", "3000"),
        )
        return self._exchange(daemon.settings.callers, method, path, headers, body)

    def submit(
        self,
        daemon: Daemon,
        *steps: dict[str, Any],
        spec: str,
        prefix: str = PREFIX,
        key: str = API_KEY,
        **fields: Any,
    ) -> str:
        """Submit a job that has to be accepted; return its id."""
        job = self.cell.new_id()
        body = orjson.dumps({"spec": spec, "phases": list(steps)} | fields)
        for _ in range(5):  # a client's first attempt and its four retries
            answer = self.call(daemon, "POST", prefix + job, body, key)
            shown = answer.status if answer else "no answer"
            self.note(f"POST {prefix}{job} to {daemon.name}: {shown}")
            if answer is not None and answer.status == 200:
                return job
            gevent.sleep(0.5)
        raise CouldNotRun("a job was not accepted")

    def state(
        self, daemon: Daemon, job: str, prefix: str = PREFIX, key: str = API_KEY
    ) -> str:
        """Return a job's state as a client sees it, or what else was answered."""
        answer = self.call(daemon, "GET", prefix + job, b"", key)
        if answer is None:
            return "no answer"
        if answer.status != 200:
            return str(answer.status)
        return orjson.loads(answer.body)["state"]

    def until(
        self, probe: Callable[[], Any], failure: str, timeout_s: float = 15.0
    ) -> Any:
        """Return the first true result of the probe; the case can't run without."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            result = probe()
            if result:
                return result
            gevent.sleep(0.02)
        raise CouldNotRun(f"{failure} within {timeout_s} s")

    def store_state(self, state: EndpointState) -> None:
        """Let the store treat the calls of all daemons so."""
        for daemon in self.daemons:
            daemon.endpoint.state = state

    def close(self) -> None:
        """End all processes and stand-ins."""
        gevent.killall(self._tasks)
        for daemon in self.daemons:
            daemon.kill()
        self.cell.__exit__()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()
        self._record.close()

    def record_starts(self, job: str) -> None:
        """Add all starts and ends of a job's tasks to the record."""
        first = self.cell.journal[0].at if self.cell.journal else 0.0
        for event in self.cell.journal:
            if event.task.startswith(job):
                self._record.write(
                    f"  +{event.at - first:7.3f} {event.host} {event.kind} "
                    f"{event.task} attempt {event.attempt}\n"
                )

    def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> Response | None:
        ip, _, port = address.rpartition(":")
        endpoint = HttpEndpoint(ip, int(port))
        try:
            return endpoint.exchange(method, path, headers, body, timeout_s=3.0)
        except (NotSent, NoAnswer):
            return None
        finally:
            endpoint.close()


class DarkProxy:
    """Forward connections to a stand-in that can lose power and come back.

    While it is dark, nothing is answered and nothing is reset. After that, its old
    connections are reset when something arrives on them, as by a host that has started
    again, and new ones are served.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._life = 0
        self.dark = False
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def lose_power(self) -> None:
        """Answer nothing from now on."""
        self.dark = True
        self._life += 1

    def come_back(self) -> None:
        """Serve new connections."""
        self.dark = False

    def close(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: Any) -> None:
        life = self._life
        if self.dark:
            self._reset_when_used(sock)
            return
        behind = socket.create_connection(("127.0.0.1", self._port))
        answers = gevent.spawn(self._forward_answers, behind, sock, life)
        try:
            while data := sock.recv(65_536):
                if life != self._life:
                    while self.dark:
                        gevent.sleep(0.01)
                    _reset(sock)
                    return
                behind.sendall(data)
        except OSError:
            pass
        finally:
            answers.kill(block=False)
            behind.close()

    def _forward_answers(
        self, behind: socket.socket, sock: socket.socket, life: int
    ) -> None:
        try:
            while data := behind.recv(65_536):
                if life != self._life:
                    return
                sock.sendall(data)
            if life == self._life:
                sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def _reset_when_used(self, sock: socket.socket) -> None:
        try:
            while sock.recv(65_536):
                if not self.dark:
                    break
        except OSError:
            return
        _reset(sock)


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class CouldNotRun(Exception):
    """Report that the case could not be played."""


def run_case(
    script: str,
    hosts: int,
    daemons: int,
    play: Callable[[Case], list[str]],
    store: RowStoreStandin | None = None,
) -> None:
    """Play a case; exit with BROKEN if it returns breaks, HELD if none."""
    case = Case(Path(script).resolve().parent, hosts, daemons, store)
    code = NOT_RUN
    try:
        with gevent.Timeout(MAX_RUN_S, CouldNotRun(f"not over after {MAX_RUN_S} s")):
            case.start_daemons()
            breaks = play(case)
        for line in breaks[:20]:
            case.note(f"BROKEN {line}")
        case.note(f"{len(breaks)} breaks" if breaks else "the rule held")
        code = BROKEN if breaks else HELD
    except CouldNotRun as error:
        case.note(f"could not run: {error}")
    except Exception:  # noqa: BLE001 - told by the exit code
        case.note("could not run:\n" + traceback.format_exc())
    finally:
        case.close()
    sys.exit(code)
