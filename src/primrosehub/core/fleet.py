"""Worker hosts as the platform lists them, and what they answer to orders."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from primrosehub.core.batch import TaskId
from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class WorkerHost:
    """Hold a worker host's own report; ``capacity`` is all that it can run at once.

    ``born_ms`` is the Unix time of its start: a new value is a new incarnation.
    ``remaining_ms`` is the least time left while it is draining.
    """

    host: str
    service: str
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int = 0
    remaining_ms: int | None = None

    @property
    def rack(self) -> str:
        """Return the rack, the last of its labels."""
        return self.labels[-1] if self.labels else ""


class EndKind(StrEnum):
    """Name how an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """Hold one attempt that runs; ``percent`` is its progress."""

    task: TaskId
    attempt: int
    checkpoint: str
    percent: int
    usage: int = 0


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Hold one attempt that ended; ``number`` counts the host's ends from 1."""

    number: int
    task: TaskId
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """Hold what a worker host says it runs and has run."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    draining: bool = False
    remaining_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one attempt; the order is void after ``valid_until_ms`` of the host."""

    task: TaskId
    attempt: int
    command: str
    checkpoint: str
    ticket: str
    valid_until_ms: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one attempt, or keep it from starting later."""

    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """Say that the host has carried the order out."""

    clock_ms: int


class RefusalReason(StrEnum):
    """Name why a host refused an order."""

    STALE_EPOCH = "stale_epoch"
    OLD_ATTEMPT = "old_attempt"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Say that the host did nothing, and why."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Say that the order never left."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """Say that the order may be carried out, now or later."""

    detail: str


OrderOutcome = OrderDone | OrderRefused | OrderNotSent | OrderUnanswered


class AdviceCause(StrEnum):
    """Name why advice is asked for."""

    FIRST = "first"
    RENEWAL = "renewal"
    MORE_HOSTS = "more_hosts"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Allow a step on a worker host until ``valid_until`` (monotonic seconds)."""

    value: str
    valid_until: float


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold the worker hosts that may run a step, each with its ticket.

    ``valid_s`` counts from the answer.
    """

    tickets: dict[str, str]
    valid_s: float
