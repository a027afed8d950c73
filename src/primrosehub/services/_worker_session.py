"""Hold a shard owner's session with one worker host: lease, orders and reports."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from pydantic import ValidationError

from primrosehub.border.codec import decode, describe_validation_error, encode
from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent
from primrosehub.border.settings import Timing
from primrosehub.core.logs import log
from primrosehub.core.platform import (
    Changes,
    Finished,
    Host,
    StartTask,
    SyncReply,
    SyncRequest,
)
from primrosehub.core.work import TaskRef

SYNC_TIMEOUT_S = 2.0
LONG_POLL_S = 50.0
RETRY_PAUSE_S = 1.0
MAX_ORDERS_PER_SYNC = 200
_OK = 200


@dataclass(frozen=True, slots=True)
class Report:
    """Hold the attempts that a worker host has finished.

    ``running`` are those that it runs; it is None unless this is a full report.
    """

    host: str
    incarnation: str
    running: tuple[TaskRef, ...] | None
    finished: tuple[Finished, ...]


@dataclass(slots=True)
class WorkerSession:
    """Synchronize with one worker host until closed.

    ``lease_over_at`` is the monotonic time after which no attempt that was started
    under a lease given so far can still run there. The worker host's lease starts when
    it issued the token, which was before the token was received here; so sending the
    same token again does not prolong the lease. ``fenced`` tells whether the host has
    installed this epoch, after which it refuses the orders of earlier owners.
    """

    host: Host
    shard: str
    epoch: int
    timing: Timing
    lease_over_at: float
    may_renew: Callable[[], bool]
    on_report: Callable[[Report], None]
    on_superseded: Callable[[int], None]
    on_bytes_transferred: Callable[[int], None]
    starts: dict[TaskRef, StartTask] = field(default_factory=dict)
    stops: set[TaskRef] = field(default_factory=set)
    acks: set[TaskRef] = field(default_factory=set)
    incarnation: str = ""
    fenced: bool = False
    reachable: bool = False
    closed: bool = False
    syncs: int = 0
    _token: int | None = None
    _token_received_at: float = 0.0
    _seen: int = 0
    _wants_full_report: bool = True
    _wake: Event = field(default_factory=Event)

    def wake(self) -> None:
        """Synchronize immediately."""
        self._wake.set()

    def request_full_report(self) -> None:
        """Request a full report now, and again until one arrives."""
        self._wants_full_report = True
        self._wake.set()

    def close(self) -> None:
        """Send nothing more."""
        self.closed = True
        self._wake.set()

    @property
    def lapsed(self) -> bool:
        """Return whether the lease has certainly lapsed."""
        return not self.reachable and time.monotonic() > self.lease_over_at

    def run(self) -> None:
        """Synchronize now, then periodically, for new orders, and after failures."""
        endpoint = HttpEndpoint(
            self.host.ip,
            self.host.port,
            max_idle=1,
            on_bytes_transferred=self.on_bytes_transferred,
        )
        try:
            while not self.closed:
                first = not self.fenced
                if self.may_renew():
                    self.reachable = self._sync(endpoint)
                if not (first and self.fenced):
                    self._wake.wait(
                        self.timing.sync_s if self.reachable else RETRY_PAUSE_S
                    )
                self._wake.clear()
        finally:
            endpoint.close()

    def watch(self) -> None:
        """Synchronize as soon as the worker host announces an ended attempt.

        A long poll on a second connection carries these announcements. They are only
        hints: a lost or late one delays the report by one synchronization period at
        most, and a repeated one only causes another synchronization.
        """
        endpoint = HttpEndpoint(
            self.host.ip,
            self.host.port,
            max_idle=1,
            on_bytes_transferred=self.on_bytes_transferred,
        )
        ends = 0
        try:
            while not self.closed:
                seen = self._wait_for_change(endpoint, ends)
                if seen is None:
                    gevent.sleep(self.timing.sync_s)
                elif seen != ends:
                    ends = seen
                    self.wake()
        finally:
            endpoint.close()

    def _wait_for_change(self, endpoint: HttpEndpoint, ends: int) -> int | None:
        target = f"/v1/changes?after={ends}&wait_s={LONG_POLL_S:g}"
        try:
            response = endpoint.exchange(
                "GET", target, timeout_s=LONG_POLL_S + SYNC_TIMEOUT_S
            )
            return decode(Changes, response.body).ends
        except (NotSent, NoAnswer, ValidationError):
            return None

    def _sync(self, endpoint: HttpEndpoint) -> bool:
        request = self._next_request()
        if request.token is not None:
            lease_s = self.timing.lease_s + self.timing.drift_s
            self.lease_over_at = max(
                self.lease_over_at, self._token_received_at + lease_s
            )
        try:
            response = endpoint.exchange(
                "POST", "/v1/sync", body=encode(request), timeout_s=SYNC_TIMEOUT_S
            )
            if response.status != _OK:
                raise NoAnswer(
                    f"the worker host answered with status {response.status}"
                )
            reply = decode(SyncReply, response.body)
        except (NotSent, NoAnswer) as error:
            if self.reachable:
                log("worker_silent", worker=self.host.name, reason=str(error))
            return False
        except ValidationError as error:
            reason = describe_validation_error(error)[:200]
            log("worker_malformed", worker=self.host.name, reason=reason)
            return False
        self.syncs += 1
        return self._apply_reply(request, reply)

    def _next_request(self) -> SyncRequest:
        if not self.fenced:
            return SyncRequest(self.shard, self.epoch, None, self.timing.lease_s)
        return SyncRequest(
            shard=self.shard,
            epoch=self.epoch,
            token=self._token,
            lease_s=self.timing.lease_s,
            seen=0 if self._wants_full_report else self._seen,
            starts=tuple(self.starts.values())[:MAX_ORDERS_PER_SYNC],
            stops=tuple(self.stops)[:MAX_ORDERS_PER_SYNC],
            acks=tuple(self.acks)[:MAX_ORDERS_PER_SYNC],
        )

    def _apply_reply(self, request: SyncRequest, reply: SyncReply) -> bool:
        if self.closed:
            return False
        if reply.installed_epoch != self.epoch:
            log("worker_refused_epoch", worker=self.host.name, epoch=self.epoch)
            self.on_superseded(reply.installed_epoch)
            return False
        if not self.fenced:
            # The host now rejects the requests of earlier owners. The lease that they
            # last renewed depends on a token that was issued before now.
            lease_s = self.timing.lease_s + self.timing.drift_s
            self.lease_over_at = time.monotonic() + lease_s
        self.fenced = True
        self._token = reply.token
        self._token_received_at = time.monotonic()
        restarted = reply.incarnation != self.incarnation
        self.incarnation = reply.incarnation
        for start in request.starts:
            self.starts.pop(start.ref, None)
        self.stops.difference_update(request.stops)
        self.acks.difference_update(request.acks)
        if self.starts or self.stops or len(self.acks) >= MAX_ORDERS_PER_SYNC:
            self._wake.set()
        self._seen = reply.changes
        if reply.running is not None:
            self._wants_full_report = False
        elif restarted:
            self.request_full_report()
        if reply.finished is not None:
            report = Report(
                self.host.name, reply.incarnation, reply.running, reply.finished
            )
            self.on_report(report)
        return True
