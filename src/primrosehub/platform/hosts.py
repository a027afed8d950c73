"""Client of the worker hosts, and the format of their entries in the store."""

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
_REASON_OF_CONFLICT = {
    "fence": RefusalReason.STALE_EPOCH,
    "old": RefusalReason.OLD_ATTEMPT,
    "late": RefusalReason.EXPIRED,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.NO_TICKET,
}


class LeaseRenewalRefused(Exception):
    """Report that a host refused to renew its lease, and why."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(str(reason))
        self.reason = reason


class HostReportUnavailable(Exception):
    """Report that a host gave no valid response."""


class _HostEntry(wire.WireModel):
    service: str
    address: str
    zone: str = ""
    state: str
    # The host's total capacity, regardless of what runs there.
    free_capacity: wire.WireAmount
    labels: list[str] = []  # the last one names the rack
    born: int = 0  # Unix time of the host's start, in milliseconds
    remaining_ms: int | None = None


class _HoldAnswer(wire.WireModel):
    clock_ms: int
    born: int = 0  # Unix time of the host's start, in milliseconds
    state: str = ""
    remaining_ms: int | None = None
    active: list[list[Any]] = []  # rows of the parameters of _decode_running
    ended: list[list[Any]] = []  # rows of the parameters of _decode_ended


class _OrderAnswer(wire.WireModel):
    clock_ms: int = 0
    reason: str = ""


_ENTRY_ADAPTER = TypeAdapter(_HostEntry)
_HOLD_ADAPTER = TypeAdapter(_HoldAnswer)
_ORDER_ADAPTER = TypeAdapter(_OrderAnswer)


def decode_host(host: str, value: bytes) -> WorkerHost:
    """Return the host of a store entry; raise ValueError if the entry is invalid."""
    entry = _ENTRY_ADAPTER.validate_json(value)
    ip, _, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not ip or not port.isdigit():
        raise ValueError(f"invalid state {entry.state!r} or address {entry.address!r}")
    return WorkerHost(
        host=host,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        draining=entry.state == _DRAINING,
        capacity=decode_amount(entry.free_capacity),
        labels=tuple(entry.labels),
        born_ms=entry.born,
        remaining_ms=entry.remaining_ms,
    )


def decode_amount(amount: wire.WireAmount) -> Resources:
    """Return the platform's amount as Resources."""
    return Resources(amount.cpu, amount.mem_mb, amount.gpu)


def encode_task(task: TaskId) -> str:
    """Return the platform's name of a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(name: str) -> TaskId:
    """Return the task that a platform's name stands for; raise ValueError."""
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


class HostClient:
    """Send orders to one worker host, all with the epoch of one owner."""

    def __init__(self, host: str, address: str, epoch: int, max_idle: int) -> None:
        ip, _, port = address.rpartition(":")
        self._endpoint = HttpEndpoint(ip, int(port), max_idle)
        self._epoch = epoch
        self._headers = (*wire.JSON_HEADERS, (wire.EXPECTED_INSTANCE_HEADER, host))

    def close(self) -> None:
        """Close the idle connections."""
        self._endpoint.close()

    def start(self, order: StartOrder, timeout_s: float) -> OrderOutcome:
        """Order the start of an attempt."""
        body = {
            "task": encode_task(order.task),
            "attempt": order.attempt,
            "spec": order.command,
            # The time on the host's clock after which the order is void.
            "deadline-ms": order.valid_until_ms,
            "fencing-token": self._epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._send_order(wire.START_PATH, body, timeout_s)

    def stop(self, order: StopOrder, timeout_s: float) -> OrderOutcome:
        """Order the stop of an attempt."""
        body = {
            "task": encode_task(order.task),
            "attempt": order.attempt,
            "fencing-token": self._epoch,
        }
        return self._send_order(wire.STOP_PATH, body, timeout_s)

    def renew_lease(
        self, acked_end: int, lease_until_ms: int, wait_s: float, timeout_s: float
    ) -> HostReport:
        """Renew the lease, acknowledge ended attempts and return the host's report.

        The host forgets ends up to number ``acked_end``. With ``lease_until_ms`` 0 no
        lease is renewed. Raise LeaseRenewalRefused or HostReportUnavailable.
        """
        body = {"fencing-token": self._epoch, "ack-cursor": acked_end}
        if lease_until_ms:
            # Here it is the end of the lease on the host's clock.
            body["deadline-ms"] = lease_until_ms
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        try:
            response = self._post(wire.HOLD_PATH, body, timeout_s)
        except (NotSent, NoAnswer) as error:
            raise HostReportUnavailable(str(error)) from None
        if response.status != 200:
            raise LeaseRenewalRefused(_refusal_reason(response))
        return _decode_report(response.body)

    def _send_order(
        self, path: str, body: dict[str, object], timeout_s: float
    ) -> OrderOutcome:
        try:
            response = self._post(path, body, timeout_s)
        except NotSent as error:
            return OrderNotSent(str(error))
        except NoAnswer as error:
            return OrderUnanswered(str(error))
        if response.status != 200:
            return OrderRefused(_refusal_reason(response))
        try:
            return OrderDone(_ORDER_ADAPTER.validate_json(response.body).clock_ms)
        except ValidationError as error:
            return OrderUnanswered(f"invalid response: {error}")

    def _post(self, path: str, body: dict[str, object], timeout_s: float) -> Response:
        return self._endpoint.exchange(
            "POST", path, self._headers, orjson.dumps(body), timeout_s=timeout_s
        )


def _refusal_reason(response: Response) -> RefusalReason:
    match response.status:
        case 409:
            try:
                answer = _ORDER_ADAPTER.validate_json(response.body)
            except ValidationError:
                return RefusalReason.MALFORMED
            return _REASON_OF_CONFLICT.get(answer.reason, RefusalReason.MALFORMED)
        case 421:
            return RefusalReason.OTHER_INCARNATION
        case 429 | 503:
            return RefusalReason.UNHEALTHY
    return RefusalReason.MALFORMED


def _decode_report(body: bytes) -> HostReport:
    try:
        answer = _HOLD_ADAPTER.validate_json(body)
        return HostReport(
            clock_ms=answer.clock_ms,
            born_ms=answer.born,
            running=tuple(_decode_running(*row) for row in answer.active),
            ended=tuple(_decode_ended(*row) for row in answer.ended),
            draining=answer.state == _DRAINING,
            remaining_ms=answer.remaining_ms,
        )
    except (ValueError, TypeError) as error:
        raise HostReportUnavailable(f"invalid response: {error}") from None


def _decode_running(
    task: str, attempt: int, checkpoint: str, percent: int, usage: int = 0
) -> RunningAttempt:
    return RunningAttempt(decode_task(task), attempt, checkpoint, percent, usage)


def _decode_ended(
    number: int, task: str, attempt: int, how: str, checkpoint: str
) -> EndedAttempt:
    return EndedAttempt(number, decode_task(task), attempt, EndKind(how), checkpoint)
