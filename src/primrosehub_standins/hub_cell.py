"""Run a cell in one process: the platform's stand-ins and any number of hub daemons.

Each daemon has its own kernel, ports and endpoint of the store; killing one closes its
sockets without a shutdown sequence, as the end of its process would.
"""

from __future__ import annotations

import itertools
import os
import random
import socket
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import gevent
import orjson

from primrosehub.binaries.hub import MANIFEST, leave
from primrosehub.border.http_client import HttpEndpoint, Response
from primrosehub.border.hub_settings import HubSettings
from primrosehub.core.peering import PeerMessage, Ping
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names import cluster
from primrosehub.services.peering import PING_TIMEOUT_S
from primrosehub_standins.advice import AdviceRecord, AdviceStandin
from primrosehub_standins.row_store import (
    EndpointState,
    RowStoreStandin,
    StoreEndpoint,
)
from primrosehub_standins.web import serve
from primrosehub_standins.worker_host import (
    ALL_EPOCHS,
    HostEvent,
    WorkerHostStandin,
)

IP = "127.0.0.1"
SERVICE = "workshop"
HOST_NAME = "jobs.example"
PREFIX = "/quotes/"
API_KEY = "key-of-blue"
REGISTER_LAG_S = 0.1  # from a host's start to its entry in the store
HOST_CAPACITY = {"cpu": 8000, "mem-mb": 16384, "gpu": 0}


# Below the ephemeral range, which the kernel uses for outgoing connections.
# Processes begin at different ports, as two may look for a free one at the same time.
_FIRST_PORT, _PORT_COUNT, _PORTS_PER_PROCESS = 20_000, 10_000, 100
_PORTS = (
    _FIRST_PORT + (os.getpid() * _PORTS_PER_PROCESS + number) % _PORT_COUNT
    for number in itertools.count()
)


def free_port() -> int:
    """Return a port that has no listener and is outside the ephemeral range."""
    for port in _PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((IP, port))
            except OSError:
                continue
        return port
    raise AssertionError("no free port")


@dataclass(slots=True)
class HubHandle:
    """Hold one daemon of the cell; ``kernel`` is None while it is stopped."""

    settings: HubSettings
    store_endpoint: StoreEndpoint
    kernel: Kernel | None = None
    stack: ExitStack = field(default_factory=ExitStack)

    @property
    def leading(self) -> bool:
        """Tell whether the daemon owns the jobs."""
        if self.kernel is None:
            return False
        return self.kernel.find(cluster.OWNERSHIP).is_owner

    def start(self) -> None:
        """Start the daemon as a new incarnation."""
        self.kernel = Kernel(self.settings)
        for name, factory in MANIFEST:
            self.kernel.load(name, factory)
        self.stack = ExitStack()
        self.kernel.start(self.stack)

    def hear_pings_of(self, names: list[str]) -> None:
        """Let pings of these daemons reach this one, and no others."""
        peering = self.kernel.find(cluster.PEERING)
        peering.register_handler(Ping, _only_of(names, peering.answer_ping))

    def kill(self) -> None:
        """End the daemon at once, without a shutdown sequence."""
        self.kernel = None
        self.stack.close()

    def stop(self) -> None:
        """End the daemon as SIGTERM does."""
        if self.kernel is not None:
            self.kernel.stopping.set()
            leave(self.kernel)
        self.kill()


class HubCell:
    """Start stand-ins and daemons, act as operator and caller, and keep a journal."""

    def __init__(self, hubs: int = 2, hosts: int = 3, advice: bool = False) -> None:
        self.store = RowStoreStandin()
        self.journal: list[HostEvent] = []
        self.hosts = [WorkerHostStandin(f"i-{n}", self.journal) for n in range(hosts)]
        self.hubs: list[HubHandle] = []
        self.advice = AdviceRecord()
        self.register_lag_s = REGISTER_LAG_S
        self._servers: list[Any] = []
        self._addresses: dict[str, str] = {}
        self._next_job = random.getrandbits(40)
        self._with_advice = advice
        for host in self.hosts:
            self._addresses[host.host] = f"{IP}:{self._serve(host.app)}"
            self.list_host(host)
            host.register = partial(self._register_later, host)
        self.version = 0
        self.configure()
        for number in range(hubs):
            self.add_hub(number)

    def __enter__(self) -> HubCell:
        return self

    def __exit__(self, *_: object) -> None:
        for hub in self.hubs:
            hub.kill()
        for server in self._servers:
            server.stop(timeout=0)

    def add_hub(self, number: int) -> HubHandle:
        """Add a daemon and start it."""
        store_endpoint = StoreEndpoint()
        hub = HubHandle(self.new_settings(number, store_endpoint), store_endpoint)
        self.hubs.append(hub)
        hub.start()
        return hub

    def new_settings(self, number: int, store_endpoint: StoreEndpoint) -> HubSettings:
        """Return the settings of a daemon that calls the store at this endpoint."""
        ports = [free_port() for _ in range(4)]
        return HubSettings(
            name=f"hub-{number}",
            zone=f"zone-{number % 2}",
            ip=IP,
            callers=f"{IP}:{ports[0]}",
            ready=f"{IP}:{ports[1]}",
            peer=f"{IP}:{ports[2]}",
            ops_ports=(ports[3],),
            store=f"{IP}:{self._serve(self.store.app(store_endpoint))}",
            advice=self._serve_advice() if self._with_advice else None,
        )

    def route(self, name: str, target_ms: int = 500, decide_ms: int = 10) -> Any:
        """Return a queue for a configuration."""
        route: dict[str, Any] = {
            "name": name,
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "service": SERVICE,
            "max-attempts": 3,
            "slack-factor": 2.0,
            "target-runtime-ms": target_ms,
        }
        if self._with_advice:
            route["recommendation"] = {
                "decide-latency-ms": decide_ms,
                "per-worker-ms": 1,
                "validity-ms": 2000,
            }
        return route

    def configure(self, **changes: Any) -> None:
        """Write a configuration of one queue, one team and one pool of hosts."""
        self.version += 1
        config = {
            "version": self.version,
            "routes": [self.route("quotes")],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "blue", "api-keys": [API_KEY], "weight": 50}],
        }
        self.store.put("op", "config", config | changes)

    def address_of(self, host: WorkerHostStandin) -> str:
        """Return the address of a host."""
        return self._addresses[host.host]

    def list_host(
        self, host: WorkerHostStandin, state: str = "ready", zone: str = "zone-0"
    ) -> None:
        """Write a host's entry of the host list."""
        entry = {
            "service": SERVICE,
            "address": self._addresses[host.host],
            "zone": zone,
            "state": state,
            "free-capacity": HOST_CAPACITY,
            "labels": host.labels,
            "born": host.born_ms,
        }
        self.store.put("servers", host.host, entry)

    def _register_later(self, host: WorkerHostStandin) -> None:
        """Let the entry of a host that has restarted follow after a time."""
        gevent.spawn_later(self.register_lag_s, self._register_again, host)

    def _register_again(self, host: WorkerHostStandin) -> None:
        listed = self.store.value("servers", "", host.host)
        if listed is not None:
            born = {"labels": host.labels, "born": host.born_ms}
            self.store.put("servers", host.host, listed | born)

    def cut_off(self, hubs: list[HubHandle], hosts: list[WorkerHostStandin]) -> None:
        """Cut the owner, other daemons and hosts off from the store and all others."""
        epoch = self.leader().kernel.find(cluster.OWNERSHIP).known_owner.epoch
        for hub in hubs:
            hub.store_endpoint.state = EndpointState.SILENT
        for host in self.hosts:
            inside = range(1, epoch + 1)
            outside = range(epoch + 1, ALL_EPOCHS.stop)
            host.reachable_epochs = inside if host in hosts else outside
        self.separate(hubs, [hub for hub in self.hubs if hub not in hubs])

    def separate(self, *groups: list[HubHandle]) -> None:
        """Let pings reach daemons of the same group only."""
        for group in groups:
            for hub in group:
                hub.hear_pings_of([one.settings.name for one in group])

    def leader(self, timeout_s: float = 8.0) -> HubHandle:
        """Return the daemon that owns the jobs, waiting for one."""
        return self.until(
            lambda: next((hub for hub in self.hubs if hub.leading), None),
            "no daemon took the ownership",
            timeout_s,
        )

    def until(self, probe: Any, failure: str, timeout_s: float = 10.0) -> Any:
        """Return the first true result of the probe; fail at the timeout."""
        end = steady_s() + timeout_s
        while steady_s() < end:
            result = probe()
            if result:
                return result
            gevent.sleep(0.02)
        raise AssertionError(f"{failure} within {timeout_s} s")

    def call(
        self, hub: HubHandle, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Response:
        """Send one caller's request to a daemon."""
        ip, _, port = hub.settings.callers.rpartition(":")
        endpoint = HttpEndpoint(ip, int(port))
        sent = {"Host": HOST_NAME, "Authorization": f"Bearer {API_KEY}"} | headers
        try:
            return endpoint.exchange(
                method, path, tuple(sent.items()), body, timeout_s=5.0
            )
        finally:
            endpoint.close()

    def new_id(self) -> str:
        """Return a job id that was not used before."""
        self._next_job += 1
        return f"{self._next_job:016x}"

    def submit(
        self,
        hub: HubHandle,
        *steps: dict[str, Any],
        spec: str = "run 0.1",
        prefix: str = PREFIX,
    ) -> str:
        """Submit a job that must be accepted; return its id."""
        job = self.new_id()
        phases = list(steps) or [{"count": 1, "cpu": 1000, "mem-mb": 256}]
        body = orjson.dumps({"spec": spec, "phases": phases})
        answer = self.call(hub, "POST", prefix + job, body)
        assert answer.status == 200, f"{answer.status} {answer.body!r}"
        return job

    def state(self, hub: HubHandle, job: str) -> str:
        """Return a job's state as a caller reads it, or the status of an error."""
        answer = self.call(hub, "GET", PREFIX + job)
        if answer.status != 200:
            return str(answer.status)
        return orjson.loads(answer.body)["state"]

    def wait_for(
        self, hub: HubHandle, job: str, state: str, timeout_s: float = 10.0
    ) -> None:
        """Wait until a job is shown in a state."""
        self.until(
            lambda: self.state(hub, job) == state,
            f"job {job} was not shown as {state}",
            timeout_s,
        )

    def starts(self, job: str) -> list[HostEvent]:
        """Return the starts of a job's tasks, in order."""
        return [
            event
            for event in self.journal
            if event.kind == "start" and event.task.startswith(job)
        ]

    def _serve(self, app: Any) -> int:
        server = serve(IP, 0, app)
        self._servers.append(server)
        return server.server_port

    def _serve_advice(self) -> str:
        return f"{IP}:{self._serve(AdviceStandin(self.advice).app)}"


def _only_of(
    names: list[str], answer: Callable[[Ping], PeerMessage]
) -> Callable[[Ping], PeerMessage]:
    """Return a function that answers only pings of the named daemons."""

    def answer_some(ping: Ping) -> PeerMessage:
        if ping.sender.name not in names:
            gevent.sleep(PING_TIMEOUT_S)
            raise ValueError("lost")
        return answer(ping)

    return answer_some


def find_double_runs(journal: list[HostEvent]) -> list[str]:
    """Return each start of a task that was still running elsewhere."""
    found: list[str] = []
    running: dict[str, str] = {}
    for event in sorted(journal, key=lambda event: event.at):
        if event.kind == "start":
            if event.task in running:
                where = f"on {event.host} beside {running[event.task]}"
                found.append(f"{event.task} started {where}")
            running[event.task] = event.host
        elif running.get(event.task) == event.host:
            del running[event.task]
    return found


def follower(cell: HubCell) -> HubHandle:
    """Return a running daemon that does not own the jobs."""
    return next(hub for hub in cell.hubs if hub.kernel and not hub.leading)
