"""Client of the worker hosts, and the format of their entries in the store."""

from __future__ import annotations

import re
from typing import Annotated

import orjson
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from primrosehub.border.address import parse_address
from primrosehub.border.codec import describe_validation_error
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
_HOST_ID = re.compile(r"[!-~]{1,200}")  # printable ASCII without spaces
_TASK_NAME = re.compile(r"([^.]{1,200})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")
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


# Any program may write an entry, so a field of another type is not converted.
class _HostCapacity(wire.WireAmount):
    model_config = ConfigDict(strict=True)


class _HostEntry(wire.WireModel):
    model_config = ConfigDict(strict=True)

    service: wire.Text
    address: wire.Text
    zone: wire.Text = ""
    state: wire.Text
    # The host's total capacity, regardless of what runs there.
    free_capacity: _HostCapacity
    # The last one names the rack.
    labels: Annotated[list[wire.Text], Field(max_length=wire.MAX_LABELS)] = []
    born: wire.TimeMs = 0  # Unix time of the host's start, in milliseconds
    remaining_ms: wire.Amount | None = None


# The parameters of _decode_running, in order; the last one may be absent.
_RunningRow = tuple[wire.Text, wire.Amount, wire.Token, wire.Finite]
_RunningRowWithUsage = tuple[
    wire.Text, wire.Amount, wire.Token, wire.Finite, wire.Finite
]
# The parameters of _decode_ended, in order.
_EndedRow = tuple[wire.Amount, wire.Text, wire.Amount, wire.Text, wire.Token]


class _HoldAnswer(wire.WireModel):
    clock_ms: wire.TimeMs
    born: wire.TimeMs = 0  # Unix time of the host's start, in milliseconds
    state: wire.Text = ""
    remaining_ms: wire.Amount | None = None
    active: list[_RunningRow | _RunningRowWithUsage] = []
    ended: list[_EndedRow] = []


class _OrderAnswer(wire.WireModel):
    clock_ms: wire.TimeMs = 0
    reason: wire.Text = ""


_ENTRY_ADAPTER = TypeAdapter(_HostEntry)
_HOLD_ADAPTER = TypeAdapter(_HoldAnswer)
_ORDER_ADAPTER = TypeAdapter(_OrderAnswer)


def decode_host(host: str, value: bytes) -> WorkerHost:
    """Return the host of a store entry; raise ValueError if the entry is invalid."""
    if not _HOST_ID.fullmatch(host):
        raise ValueError(f"id: {host!r:.60} can not stand in a header")
    try:
        entry = _ENTRY_ADAPTER.validate_json(value)
    except ValidationError as error:
        raise ValueError(describe_validation_error(error)) from None
    if entry.state not in _STATES:
        raise ValueError(f"state: {entry.state!r:.60} is none of {_STATES}")
    try:
        parse_address(entry.address)
    except ValueError as error:
        raise ValueError(f"address: {error}") from None
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
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"{name!r:.60} is not the name of a task")
    job, occurrence, step, index = match.groups()
    return TaskId(job, int(occurrence), int(step), int(index))


class HostClient:
    """Send orders to one worker host, all with the epoch of one owner.

    No connection outlasts an incarnation of the host, and a new one may lead to the
    next. So only ``look`` opens connections, and it changes nothing on the host; all
    other calls use a connection that a look has left open.
    """

    def __init__(self, host: str, address: str, epoch: int, max_idle: int) -> None:
        parsed = parse_address(address)
        self._endpoint = HttpEndpoint(parsed.ip, parsed.port, max_idle)
        self._epoch = epoch
        self._headers = (*wire.JSON_HEADERS, (wire.EXPECTED_INSTANCE_HEADER, host))

    @property
    def connected(self) -> bool:
        """Tell whether a connection that a look has left open can be used."""
        return self._endpoint.has_idle

    def close(self) -> None:
        """Close the idle connections."""
        self._endpoint.close()

    def abort(self) -> None:
        """Close all connections; calls in progress get no answer."""
        self._endpoint.abort()

    def look(self, timeout_s: float) -> HostReport:
        """Return the host's report over a new connection, which stays open.

        No lease is renewed and no end acknowledged. Raise LeaseRenewalRefused or
        HostReportUnavailable.
        """
        body = {"fencing-token": self._epoch, "ack-cursor": 0}
        return self._read_report(body, timeout_s, new_connection=True)

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
        return self._read_report(body, timeout_s, new_connection=False)

    def _read_report(
        self, body: dict[str, object], timeout_s: float, new_connection: bool
    ) -> HostReport:
        try:
            response = self._post(wire.HOLD_PATH, body, timeout_s, new_connection)
        except (NotSent, NoAnswer) as error:
            raise HostReportUnavailable(str(error)) from None
        if response.status != 200:
            raise LeaseRenewalRefused(_refusal_reason(response))
        return decode_report(response.body)

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

    def _post(
        self,
        path: str,
        body: dict[str, object],
        timeout_s: float,
        new_connection: bool = False,
    ) -> Response:
        return self._endpoint.exchange(
            "POST",
            path,
            self._headers,
            orjson.dumps(body),
            timeout_s=timeout_s,
            new_connection=new_connection,
            kept_connection=not new_connection,
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


def decode_report(body: bytes) -> HostReport:
    """Return the report; raise HostReportUnavailable if it is invalid."""
    try:
        answer = _HOLD_ADAPTER.validate_json(body)
        return HostReport(
            clock_ms=answer.clock_ms,
            born_ms=answer.born,
            running=tuple(_decode_running(*row) for row in answer.active),
            ended=tuple(_decode_ended(*row) for row in answer.ended),
            draining=answer.state == _DRAINING,
            remaining_ms=answer.remaining_ms,
            ends_complete=len(answer.ended) < wire.MAX_LISTED_ENDS,
        )
    except (ValueError, TypeError) as error:
        raise HostReportUnavailable(f"invalid response: {error}") from None


def _decode_running(
    task: str, attempt: int, checkpoint: str, percent: float, usage: float = 0
) -> RunningAttempt:
    return RunningAttempt(decode_task(task), attempt, checkpoint, percent, int(usage))


def _decode_ended(
    number: int, task: str, attempt: int, how: str, checkpoint: str
) -> EndedAttempt:
    return EndedAttempt(number, decode_task(task), attempt, EndKind(how), checkpoint)
