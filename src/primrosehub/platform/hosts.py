"""Calls to worker hosts, and their entries in the store."""

from __future__ import annotations

from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub.core.batch import TaskId
from primrosehub.core.fleet import (
    EndedAttempt,
    EndKind,
    HostReport,
    OrderDone,
    OrderNotSent,
    OrderOutcome,
    OrderRefused,
    OrderUnanswered,
    RefusalReason,
    RunningAttempt,
    StartOrder,
    StopOrder,
    WorkerHost,
)
from primrosehub.core.resources import Resources
from primrosehub.platform import wire

_DRAINING = "draining"
_STATES = ("ready", _DRAINING)
_CONFLICTS = {
    "fence": RefusalReason.STALE_EPOCH,
    "old": RefusalReason.OLD_ATTEMPT,
    "late": RefusalReason.EXPIRED,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.NO_TICKET,
}


class LeaseRenewalRefused(Exception):
    """Say that a host did not renew its lease for us, and why."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(str(reason))
        self.reason = reason


class HostReportUnavailable(Exception):
    """Say that a host gave no readable answer."""


class _HostEntry(wire.WireModel):
    service: str
    address: str
    zone: str = ""
    state: str
    # The whole room of the host, whatever runs there.
    free_capacity: wire.WireAmount
    labels: list[str] = []
    born: int = 0
    remaining_ms: int | None = None


class _HoldAnswer(wire.WireModel):
    clock_ms: int
    born: int = 0
    state: str = ""
    remaining_ms: int | None = None
    active: list[list[Any]] = []
    ended: list[list[Any]] = []


class _OrderAnswer(wire.WireModel):
    clock_ms: int = 0
    reason: str = ""


_ENTRY = TypeAdapter(_HostEntry)
_HOLD = TypeAdapter(_HoldAnswer)
_ORDER = TypeAdapter(_OrderAnswer)


def decode_host(host: str, value: bytes) -> WorkerHost:
    """Return a host from its entry; raise ValueError for one that names no host."""
    entry = _ENTRY.validate_json(value)
    ip, _, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not ip or not port.isdigit():
        raise ValueError(f"state {entry.state!r}, address {entry.address!r}")
    return WorkerHost(
        host=host,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        draining=entry.state == _DRAINING,
        room=decode_amount(entry.free_capacity),
        labels=tuple(entry.labels),
        born_ms=entry.born,
        remaining_ms=entry.remaining_ms,
    )


def decode_amount(amount: wire.WireAmount) -> Resources:
    """Return an amount in our own terms."""
    return Resources(amount.cpu, amount.mem_mb, amount.gpu)


def encode_task(task: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(name: str) -> TaskId:
    """Return the task of a platform's name; raise ValueError."""
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


class HostClient:
    """Send orders to one worker host under one epoch."""

    def __init__(self, host: str, address: str, epoch: int, max_idle: int) -> None:
        ip, _, port = address.rpartition(":")
        self._endpoint = HttpEndpoint(ip, int(port), max_idle)
        self._epoch = epoch
        self._headers = (*wire.JSON_HEADERS, (wire.EXPECTED_INSTANCE_HEADER, host))

    def close(self) -> None:
        """Close the idle connections."""
        self._endpoint.close()

    def start(self, order: StartOrder, timeout_s: float) -> OrderOutcome:
        """Send a start order."""
        body = {
            "task": encode_task(order.task),
            "attempt": order.attempt,
            "spec": order.command,
            "deadline-ms": order.valid_until_ms,
            "fencing-token": self._epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order(wire.START_PATH, body, timeout_s)

    def stop(self, order: StopOrder, timeout_s: float) -> OrderOutcome:
        """Send a stop order."""
        body = {
            "task": encode_task(order.task),
            "attempt": order.attempt,
            "fencing-token": self._epoch,
        }
        return self._order(wire.STOP_PATH, body, timeout_s)

    def renew_lease(
        self, acked_end: int, lease_until_ms: int, wait_s: float, timeout_s: float
    ) -> HostReport:
        """Renew the lease, acknowledge ended attempts and return the host's report.

        The host forgets ends up to number ``acked_end``. With ``lease_until_ms`` 0 no
        lease is renewed. Raise LeaseRenewalRefused or HostReportUnavailable.
        """
        body = {"fencing-token": self._epoch, "ack-cursor": acked_end}
        if lease_until_ms:
            body["deadline-ms"] = lease_until_ms
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        try:
            response = self._post(wire.HOLD_PATH, body, timeout_s)
        except (NotSent, NoAnswer) as error:
            raise HostReportUnavailable(str(error)) from None
        if response.status != 200:
            raise LeaseRenewalRefused(_reason(response))
        return _decode_report(response.body)

    def _order(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> OrderOutcome:
        try:
            response = self._post(path, body, timeout_s)
        except NotSent as error:
            return OrderNotSent(str(error))
        except NoAnswer as error:
            return OrderUnanswered(str(error))
        if response.status != 200:
            return OrderRefused(_reason(response))
        try:
            return OrderDone(_ORDER.validate_json(response.body).clock_ms)
        except ValidationError as error:
            return OrderUnanswered(f"unreadable answer: {error}")

    def _post(self, path: str, body: dict[str, object], timeout_s: float) -> Response:
        return self._endpoint.exchange(
            "POST", path, self._headers, orjson.dumps(body), timeout_s=timeout_s
        )


def _reason(response: Response) -> RefusalReason:
    match response.status:
        case 409:
            try:
                answer = _ORDER.validate_json(response.body)
            except ValidationError:
                return RefusalReason.MALFORMED
            return _CONFLICTS.get(answer.reason, RefusalReason.MALFORMED)
        case 421:
            return RefusalReason.OTHER_INCARNATION
        case 429 | 503:
            return RefusalReason.UNHEALTHY
    return RefusalReason.MALFORMED


def _decode_report(body: bytes) -> HostReport:
    try:
        answer = _HOLD.validate_json(body)
        return HostReport(
            clock_ms=answer.clock_ms,
            born_ms=answer.born,
            running=tuple(_running(*row) for row in answer.active),
            ended=tuple(_ended(*row) for row in answer.ended),
            draining=answer.state == _DRAINING,
            remaining_ms=answer.remaining_ms,
        )
    except (ValueError, TypeError) as error:
        raise HostReportUnavailable(f"unreadable answer: {error}") from None


def _running(
    task: str, attempt: int, checkpoint: str, percent: int, usage: int = 0
) -> RunningAttempt:
    return RunningAttempt(decode_task(task), attempt, checkpoint, percent, usage)


def _ended(
    number: int, task: str, attempt: int, how: str, checkpoint: str
) -> EndedAttempt:
    return EndedAttempt(number, decode_task(task), attempt, EndKind(how), checkpoint)
