"""The backend servers of all services: slots, queues, health checks, ejection."""

from __future__ import annotations

import time
from collections import defaultdict, deque

import gevent
from gevent.event import Event

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.core.errors import ErrorKind, HubError, RequestAbandoned
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

MAX_WAITING_PER_SERVICE = 1000  # requests
MAX_EJECTED_SHARE = 0.5  # of a service's backend servers
HOST_LIST_READ_INTERVAL_S = 1.0
IDLE_CHECK_INTERVAL_S = 5.0  # also the time without an answer that counts as idle
EJECTED_CHECK_INTERVAL_S = 1.0
HEALTH_CHECK_TIMEOUT_S = 1.0
_OK = 200


class BackendPool:
    """Hold the backend servers of the host list; one task checks the health of each."""

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
        """Read the host list, then start the task that reads it regularly."""
        self._apply_host_list()
        self._tasks.spawn("backends", self._follow_host_list)

    def close(self) -> None:
        """Close all connections."""
        for backend in self._backends.values():
            backend.endpoint.close()

    def take_slot(
        self, service: str, tried: frozenset[str], deadline: float
    ) -> Backend:
        """Wait for a slot, take it and return its backend server; raise HubError."""
        queue = self._waiting[service]
        was_woken = False
        while True:
            left_s = deadline - time.monotonic()
            loads = [b.load for b in self._backends_of(service)]
            match route(loads, tried, 0 if was_woken else len(queue), left_s):
                case SendTo(name):
                    backend = self._backends[name]
                    backend.in_flight += 1
                    return backend
                case WaitForSlot():
                    self._wait_in_queue(queue, left_s, at_front=was_woken)
                    was_woken = True
                case RefuseLate(expected_s):
                    self._metrics.count("quick_refused", reason="deadline")
                    raise HubError(
                        ErrorKind.DEADLINE_TOO_SHORT,
                        f"the wait for a free slot would be about {expected_s:.3f} s; "
                        "set a later deadline or try again",
                    )
                case RefuseNoBackend():
                    self._metrics.count("quick_refused", reason="no_backend")
                    raise HubError(
                        ErrorKind.UNAVAILABLE,
                        f"service {service!r} has no usable backend server; try again",
                    )

    def release_slot(self, backend: Backend) -> None:
        """Free a slot and wake the first request in the queue."""
        backend.in_flight -= 1
        self._wake_next(backend.host.service)

    def note_failure(self, backend: Backend, seconds: float) -> None:
        """Record a failed request or health check; eject after several in a row."""
        backend.note_failure(seconds)
        self._metrics.count("quick_failures", backend=backend.host.name)
        if not backend.should_eject or backend.ejected:
            return
        group = self._backends_of(backend.host.service)
        if may_eject(sum(b.ejected for b in group), len(group), MAX_EJECTED_SHARE):
            backend.ejected = True
            backend.endpoint.close()
            log("backend_ejected", backend=backend.host.name)
            self._metrics.count("backend_ejections", backend=backend.host.name)

    def _wait_in_queue(
        self, queue: deque[Event], left_s: float, at_front: bool
    ) -> None:
        if len(queue) >= MAX_WAITING_PER_SERVICE:
            raise HubError(
                ErrorKind.OVERLOADED,
                f"{len(queue)} requests are already waiting for this service; "
                "try again later",
            )
        slot_freed = Event()
        if at_front:
            queue.appendleft(slot_freed)
        else:
            queue.append(slot_freed)
        try:
            if not slot_freed.wait(max(0.0, left_s)):
                raise HubError(
                    ErrorKind.DEADLINE_TOO_SHORT,
                    "no slot became free before the deadline; set a later deadline or "
                    "try again",
                )
        except RequestAbandoned:
            raise HubError(
                ErrorKind.UNAVAILABLE,
                "this entry daemon stopped before a slot became free; try again",
            ) from None
        finally:
            if slot_freed in queue:
                queue.remove(slot_freed)

    def _wake_next(self, service: str) -> None:
        queue = self._waiting[service]
        if queue:
            queue.popleft().set()

    def _backends_of(self, service: str) -> list[Backend]:
        return [b for b in self._backends.values() if b.host.service == service]

    def _follow_host_list(self) -> None:
        while True:
            gevent.sleep(HOST_LIST_READ_INTERVAL_S)
            self._apply_host_list()

    def _apply_host_list(self) -> None:
        listed = {
            host.name: host
            for host in self._hosts.hosts().values()
            if host.kind == "backend"
        }
        for name in set(self._backends) - set(listed):
            self._backends.pop(name).endpoint.close()
        entry_daemons = self._entry_daemon_names()
        for host in listed.values():
            self._update_backend(
                host, owned_slots(self._membership.own_member.name, entry_daemons, host)
            )

    def _update_backend(self, host: Host, limit: int) -> None:
        if host.name not in self._backends:
            endpoint = HttpEndpoint(host.ip, host.port, host.connections)
            self._backends[host.name] = Backend(host, limit, endpoint)
            self._tasks.spawn(f"backend-{host.name}", self._monitor_health, host.name)
        backend = self._backends[host.name]
        limit_raised = limit > backend.limit
        backend.host, backend.limit = host, limit
        if limit_raised:
            self._wake_next(host.service)

    def _entry_daemon_names(self) -> list[str]:
        live = self._membership.view.live
        names = {m.name for m in live if m.role == "entry" and not m.leaving}
        return sorted(names | {self._membership.own_member.name})

    def _monitor_health(self, name: str) -> None:
        """Check a backend server's health while it is ejected or idle.

        Each check uses a new connection.
        """
        while name in self._backends:
            backend = self._backends[name]
            gevent.sleep(
                EJECTED_CHECK_INTERVAL_S if backend.ejected else IDLE_CHECK_INTERVAL_S
            )
            idle_s = time.monotonic() - backend.answered_at
            if not backend.ejected and idle_s < IDLE_CHECK_INTERVAL_S:
                continue
            if not self._is_healthy(backend):
                self.note_failure(backend, HEALTH_CHECK_TIMEOUT_S)
            elif backend.ejected:
                backend.readmit()
                self._wake_next(backend.host.service)
                log("backend_readmitted", backend=name)

    def _is_healthy(self, backend: Backend) -> bool:
        try:
            response = backend.endpoint.exchange(
                "GET", "/health", timeout_s=HEALTH_CHECK_TIMEOUT_S, new_connection=True
            )
        except (NotSent, NoAnswer):
            return False
        return response.status == _OK


def owned_slots(own_name: str, entry_daemons: list[str], host: Host) -> int:
    """Return how many of a backend server's slots this entry daemon owns.

    Each slot belongs to one live entry daemon. So together they never send more
    requests than there are slots, and none has to forward a request to another.
    """
    owners = (
        choose(entry_daemons, f"{host.name}/{slot}") for slot in range(host.slots)
    )
    return sum(owner == own_name for owner in owners)
