"""A cell whose daemons are processes, and the trouble that befalls it."""

from __future__ import annotations

import signal
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import gevent
import orjson

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub.kernel.clock import steady_s
from primrosehub_standins.hub_cell import HOST_CAPACITY, HubCell
from primrosehub_standins.row_store import EndpointState, StoreEndpoint
from primrosehub_standins.soak.daemon import DaemonProcess
from primrosehub_standins.soak.isolation import STORE, Nodes, cut_of
from primrosehub_standins.soak.links import Links, Relay
from primrosehub_standins.soak.plan import (
    ALL_DAEMONS,
    CutHost,
    CutLink,
    CutNodes,
    CutOwner,
    CutZone,
    FreezeDaemon,
    Isolation,
    KillDaemon,
    KillOwner,
    LoseStoreAnswers,
    Plan,
    RefuseStoreCalls,
    ReloadDaemon,
    RemoveRoute,
    RestartHost,
    SlowStore,
    StopDaemon,
    Trouble,
)
from primrosehub_standins.soak.record import Disruption, Record, Run
from primrosehub_standins.worker_host import WorkerHostStandin

READY_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 6.0  # the grace period, after which the platform kills a process
CHECK_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3.0
MAX_SEED_PEERS = 3
_READY_PATH = "/primrosehub/readyz"
_STORE_STATES = {
    "busy": EndpointState.BUSY,
    "silent": EndpointState.SILENT,
    "reset": EndpointState.RESET,
}


class SystemNotReady(Exception):
    """Report that the daemons do not serve before any trouble."""


class SoakCell:
    """Hold the stand-ins and the daemons of a run, and play its trouble."""

    def __init__(self, plan: Plan, checkout: Path, out: Path) -> None:
        self.record = Record(capacity_m=HOST_CAPACITY["cpu"], host_count=plan.hosts)
        self.cell = HubCell(hubs=0, hosts=plan.hosts)
        self._nodes = Nodes(plan.daemons, plan.hosts, plan.zones)
        self.daemons = [
            self._new_daemon(number, checkout, out) for number in range(plan.daemons)
        ]
        for host in self.cell.hosts:
            self.cell.list_host(host, zone=self._nodes.zone_name(host.host))
        self._links = Links()
        self._relay = Relay(self._links, self._node_of_each_address())
        self._plan = plan
        self._seeds = tuple(
            daemon.settings.peer for daemon in self.daemons[:MAX_SEED_PEERS]
        )
        self._tasks: list[gevent.Greenlet] = []

    def __enter__(self) -> SoakCell:
        with ExitStack() as stack:
            stack.callback(self.cell.__exit__)
            stack.enter_context(self._relay)
            for daemon in self.daemons:
                stack.callback(daemon.kill)
                daemon.start(self._seeds, self._relay.port)
            stack.callback(self._end_tasks)
            self._wait_until_ready()
            self._tasks.append(gevent.spawn(self._watch_daemons))
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    @property
    def serving(self) -> list[DaemonProcess]:
        """Return the daemons to which a load balancer would send callers."""
        return [one for one in self.daemons if one.serves]

    def owner(self) -> DaemonProcess | None:
        """Return the daemon that the owner row names."""
        row = self.cell.store.value("owner", "s", "cell")
        name = row["name"] if row and row.get("incarnation") else ""
        return next((one for one in self.daemons if one.name == name), None)

    def call(
        self, address: str, method: str, path: str, body: bytes, **headers: str
    ) -> Response | None:
        """Send a request; return None if there was no answer."""
        ip, _, port = address.rpartition(":")
        endpoint = HttpEndpoint(ip, int(port))
        try:
            return endpoint.exchange(
                method, path, tuple(headers.items()), body, timeout_s=CALL_TIMEOUT_S
            )
        except (NotSent, NoAnswer):
            return None
        finally:
            endpoint.close()

    def play_troubles(self) -> None:
        """Spawn each trouble of the plan at its time."""
        for trouble in self._plan.troubles:
            greenlet = gevent.spawn_later(trouble.at_s, self._play, trouble)
            self._tasks.append(greenlet)

    def complete_record(self) -> Record:
        """Add what the worker hosts and the store have seen, and return the record."""
        self.record.runs = _runs_of(self.cell.hosts, self.cell.journal)
        for change in self.cell.store.history:
            if change.key[0] == "owner" and change.value:
                row = orjson.loads(change.value)
                self.record.owners[row["epoch"]] = row["name"]
        return self.record

    def _wait_until_ready(self) -> None:
        end = steady_s() + READY_TIMEOUT_S
        waiting = list(self.daemons)
        while waiting or self.owner() is None:
            if steady_s() > end:
                names = ", ".join(daemon.name for daemon in waiting)
                raise SystemNotReady(f"not ready: {names or 'no owner'}")
            gevent.sleep(CHECK_INTERVAL_S)
            waiting = [one for one in waiting if not self._is_ready(one)]

    def _is_ready(self, daemon: DaemonProcess) -> bool:
        answer = self.call(daemon.settings.ready, "GET", _READY_PATH, b"")
        return answer is not None and answer.status == 200

    def _watch_daemons(self) -> None:
        """Note the memory of the daemons, and each that ends by itself."""
        known = set(self.daemons)
        while True:
            for daemon in self.daemons:
                peak = max(
                    daemon.memory_mb, self.record.memory_mb.get(daemon.name, 0.0)
                )
                self.record.memory_mb[daemon.name] = peak
                if daemon.runs:
                    known.add(daemon)
                elif daemon in known and not daemon.disturbed:
                    known.discard(daemon)
                    self.record.own_ends.append(daemon.name)
                    daemon.start(self._seeds, self._relay.port)
            gevent.sleep(CHECK_INTERVAL_S)

    def _end_tasks(self) -> None:
        gevent.killall(self._tasks)

    def _play(self, trouble: Trouble) -> None:
        match trouble:
            case KillDaemon(daemon=number, for_s=for_s):
                for daemon in self._chosen(number):
                    self._tasks.append(gevent.spawn(self._kill, daemon, for_s))
            case KillOwner(for_s=for_s):
                owner = self.owner()
                if owner is not None:
                    self._kill(owner, for_s)
            case StopDaemon(daemon=number):
                self._stop(self.daemons[number])
            case ReloadDaemon(daemon=number):
                self.daemons[number].signal(signal.SIGHUP)
            case FreezeDaemon(daemon=number, for_s=for_s):
                self._freeze(self.daemons[number], for_s)
            case RestartHost(host=number, for_s=for_s):
                host = self.cell.hosts[number]
                host.lose_power()
                gevent.sleep(for_s)
                host.silent = False
            case CutHost(host=number, for_s=for_s):
                host = self.cell.hosts[number]
                host.silent = True
                gevent.sleep(for_s)
                host.silent = False
            case RefuseStoreCalls(daemon=number, for_s=for_s, how=how):
                self._refuse_store_calls(number, for_s, _STORE_STATES[how])
            case SlowStore(for_s=for_s, answer_s=answer_s):
                self._slow_store(for_s, answer_s)
            case LoseStoreAnswers(count=count):
                for daemon in self.daemons:
                    daemon.endpoint.lose_answers = count
                self._note_disruption("", steady_s(), "store answers lost")
            case RemoveRoute(for_s=for_s):
                self.cell.configure(routes=[self.cell.route("others")])
                gevent.sleep(for_s)
                self.cell.configure()
            case CutOwner():
                owner = self.owner()
                if owner is not None:
                    self._cut_links(trouble, owner.name)
            case CutZone() | CutNodes() | CutLink():
                self._cut_links(trouble)

    def _chosen(self, number: int) -> list[DaemonProcess]:
        return self.daemons if number == ALL_DAEMONS else [self.daemons[number]]

    def _kill(self, daemon: DaemonProcess, for_s: float) -> None:
        if daemon.disturbed:
            return
        began_at, daemon.disturbed = steady_s(), True
        daemon.kill()
        gevent.sleep(for_s)
        self._restart(daemon, began_at, "killed")

    def _stop(self, daemon: DaemonProcess) -> None:
        if daemon.disturbed:
            return
        began_at, daemon.disturbed = steady_s(), True
        daemon.signal(signal.SIGTERM)
        daemon.wait_for_exit(EXIT_TIMEOUT_S)
        daemon.kill()
        self._restart(daemon, began_at, "stopped")

    def _restart(self, daemon: DaemonProcess, began_at: float, what: str) -> None:
        daemon.start(self._seeds, self._relay.port)
        end = steady_s() + READY_TIMEOUT_S
        while daemon.runs and not self._is_ready(daemon) and steady_s() < end:
            gevent.sleep(CHECK_INTERVAL_S)
        daemon.disturbed = False
        self._note_disruption(daemon.name, began_at, what)

    def _freeze(self, daemon: DaemonProcess, for_s: float) -> None:
        if daemon.disturbed:
            return
        began_at, daemon.disturbed = steady_s(), True
        daemon.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        daemon.signal(signal.SIGCONT)
        daemon.disturbed = False
        self._note_disruption(daemon.name, began_at, "frozen")

    def _refuse_store_calls(
        self, number: int, for_s: float, state: EndpointState
    ) -> None:
        chosen, began_at = self._chosen(number), steady_s()
        for daemon in chosen:
            daemon.endpoint.state = state
        gevent.sleep(for_s)
        for daemon in chosen:
            daemon.endpoint.state = EndpointState.OPEN
            self._note_disruption(daemon.name, began_at, f"store {state.name.lower()}")

    def _slow_store(self, for_s: float, answer_s: float) -> None:
        began_at = steady_s()
        for daemon in self.daemons:
            daemon.endpoint.answer_delay_s = answer_s
        gevent.sleep(for_s)
        for daemon in self.daemons:
            daemon.endpoint.answer_delay_s = 0.0
        self._note_disruption("", began_at, "store slow")

    def _cut_links(self, trouble: Isolation, owner: str = "") -> None:
        near, cut = cut_of(trouble, self._nodes, owner)
        touched = [daemon for daemon in self.daemons if daemon.name in near]
        began_at = steady_s()
        with self._links.cut(cut):
            for daemon in touched:
                daemon.cuts += 1
            gevent.sleep(trouble.for_s)
        for daemon in touched:
            daemon.cuts -= 1
        for name in near:
            self._note_disruption(name, began_at, f"cut off, {trouble.direction}")

    def _new_daemon(self, number: int, checkout: Path, out: Path) -> DaemonProcess:
        endpoint = StoreEndpoint()
        settings = self.cell.new_settings(number, endpoint)
        zone = self._nodes.zone_name(settings.name)
        settings = settings.model_copy(update={"zone": zone})
        return DaemonProcess(settings, endpoint, checkout, out)

    def _node_of_each_address(self) -> dict[str, str]:
        nodes = {self.cell.address_of(host): host.host for host in self.cell.hosts}
        for daemon in self.daemons:
            settings = daemon.settings
            nodes |= {settings.peer: daemon.name, settings.store: STORE}
        return nodes

    def _note_disruption(self, node: str, began_at: float, what: str) -> None:
        self.record.disruptions.append(Disruption(node, began_at, steady_s(), what))


def _runs_of(hosts: list[WorkerHostStandin], journal: list[Any]) -> list[Run]:
    """Return the attempts that the hosts have run, with their ends."""
    runs: list[Run] = []
    latest: dict[tuple[str, str, int], Run] = {}
    for event in sorted(journal, key=lambda event: event.at):
        key = (event.host, event.task, event.attempt)
        if event.kind == "start":
            run = Run(event.task, event.attempt, event.host, event.epoch, event.at)
            runs.append(run)
            latest[key] = run
        elif (run := latest.get(key)) is not None:
            run.ended_at, run.how = event.at, event.kind
    for host in hosts:
        for noted in host.acknowledgements:
            run = latest.get((host.host, noted.task, noted.attempt))
            if run is not None:
                run.noted_at, run.lapsed = noted.at, noted.lapsed
    return runs
