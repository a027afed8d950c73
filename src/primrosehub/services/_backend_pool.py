"""The backend servers of all services: their slots, lines, checks and ejection."""

from __future__ import annotations

import time
from collections import defaultdict, deque

import gevent
from gevent.event import Event

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.logs import log
from primrosehub.core.platform import Host
from primrosehub.core.rendezvous import choose
from primrosehub.kernel import TaskGroup
from primrosehub.policy.routing import (
    RefuseLate,
    RefuseNoBackend,
    SendTo,
    WaitForSlot,
    may_eject,
    route,
)
from primrosehub.services._backend import Backend
from primrosehub.services.names import Metrics
from primrosehub.services.names.v1 import HostList, Membership

MAX_WAITING_PER_SERVICE = 1000
MAX_EJECTED_SHARE = 0.5
FOLLOW_S = 1.0
QUIET_CHECK_S = 5.0
PROBE_S = 1.0
PROBE_TIMEOUT_S = 1.0
_OK = 200


class BackendPool:
    """Follow the host list with one task for each backend server."""

    def __init__(
        self,
        hosts: HostList,
        membership: Membership,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        self._hosts = hosts
        self._membership = membership
        self._metrics = metrics
        self._tasks = tasks
        self._backends: dict[str, Backend] = {}
        self._waiting: dict[str, deque[Event]] = defaultdict(deque)

    def start(self) -> None:
        """Read the host list once, then follow it."""
        self._follow_once()
        self._tasks.spawn("backends", self._follow)

    def close(self) -> None:
        """Close all connections."""
        for backend in self._backends.values():
            backend.endpoint.close()

    def take_slot(
        self, service: str, tried: frozenset[str], deadline: float
    ) -> Backend:
        """Return a backend server with one slot taken; raise HubError."""
        line = self._waiting[service]
        first = False
        while True:
            left_s = deadline - time.monotonic()
            loads = [b.load for b in self._of_service(service)]
            match route(loads, tried, 0 if first else len(line), left_s):
                case SendTo(name):
                    backend = self._backends[name]
                    backend.in_flight += 1
                    return backend
                case WaitForSlot():
                    self._wait_in_line(line, left_s, at_front=first)
                    first = True
                case RefuseLate(expected_s):
                    self._metrics.count("quick_refused", reason="deadline")
                    raise HubError(
                        ErrorKind.DEADLINE_TOO_SHORT,
                        f"the wait for a slot would be about {expected_s:.3f} s",
                    )
                case RefuseNoBackend():
                    self._metrics.count("quick_refused", reason="no_backend")
                    raise HubError(
                        ErrorKind.UNAVAILABLE,
                        f"no backend server of service {service} is usable; try again",
                    )

    def release_slot(self, backend: Backend) -> None:
        """Give a slot back to the next in line."""
        backend.in_flight -= 1
        self._wake_line(backend.host.service)

    def note_failure(self, backend: Backend, seconds: float) -> None:
        """Record an exchange without a good answer; eject after several."""
        backend.note_failure(seconds)
        self._metrics.count("quick_failures", backend=backend.host.name)
        if not backend.suspect or backend.ejected:
            return
        group = self._of_service(backend.host.service)
        if may_eject(sum(b.ejected for b in group), len(group), MAX_EJECTED_SHARE):
            backend.ejected = True
            backend.endpoint.close()
            log("backend_ejected", backend=backend.host.name)
            self._metrics.count("backend_ejections", backend=backend.host.name)

    def _wait_in_line(self, line: deque[Event], left_s: float, at_front: bool) -> None:
        if len(line) >= MAX_WAITING_PER_SERVICE:
            raise HubError(ErrorKind.OVERLOADED, "too many requests wait; try later")
        turn = Event()
        if at_front:
            line.appendleft(turn)
        else:
            line.append(turn)
        try:
            if not turn.wait(max(0.0, left_s)):
                raise HubError(
                    ErrorKind.DEADLINE_TOO_SHORT, "no slot was free before the deadline"
                )
        finally:
            if turn in line:
                line.remove(turn)

    def _wake_line(self, service: str) -> None:
        line = self._waiting[service]
        if line:
            line.popleft().set()

    def _of_service(self, service: str) -> list[Backend]:
        return [b for b in self._backends.values() if b.host.service == service]

    def _follow(self) -> None:
        while True:
            gevent.sleep(FOLLOW_S)
            self._follow_once()

    def _follow_once(self) -> None:
        listed = {
            host.name: host
            for host in self._hosts.hosts().values()
            if host.kind == "backend"
        }
        for name in set(self._backends) - set(listed):
            self._backends.pop(name).endpoint.close()
        entries = self._entry_names()
        for host in listed.values():
            self._follow_host(
                host, owned_slots(self._membership.own_member.name, entries, host)
            )

    def _follow_host(self, host: Host, limit: int) -> None:
        if host.name not in self._backends:
            endpoint = HttpEndpoint(host.ip, host.port, host.connections)
            self._backends[host.name] = Backend(host, limit, endpoint)
            self._tasks.spawn(f"backend-{host.name}", self._watch, host.name)
        backend = self._backends[host.name]
        grown = limit > backend.limit
        backend.host, backend.limit = host, limit
        if grown:
            self._wake_line(host.service)

    def _entry_names(self) -> list[str]:
        live = self._membership.view.live
        names = {m.name for m in live if m.role == "entry" and not m.leaving}
        return sorted(names | {self._membership.own_member.name})

    def _watch(self, name: str) -> None:
        """Check one backend server over a new connection when it is quiet."""
        while name in self._backends:
            backend = self._backends[name]
            gevent.sleep(PROBE_S if backend.ejected else QUIET_CHECK_S)
            quiet_s = time.monotonic() - backend.answered_at
            if not backend.ejected and quiet_s < QUIET_CHECK_S:
                continue
            if not self._probe(backend):
                self.note_failure(backend, PROBE_TIMEOUT_S)
            elif backend.ejected:
                backend.readmit()
                self._wake_line(backend.host.service)
                log("backend_readmitted", backend=name)

    def _probe(self, backend: Backend) -> bool:
        try:
            response = backend.endpoint.exchange(
                "GET", "/health", timeout_s=PROBE_TIMEOUT_S, new_connection=True
            )
        except (NotSent, NoAnswer):
            return False
        return response.status == _OK


def owned_slots(me: str, entries: list[str], host: Host) -> int:
    """Return how many of a backend server's slots this entry daemon owns.

    Each slot goes to one live entry daemon, so that together they never send
    more than the slots there are and no request need be forwarded.
    """
    owners = (choose(entries, f"{host.name}/{slot}") for slot in range(host.slots))
    return sum(owner == me for owner in owners)
