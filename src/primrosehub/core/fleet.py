"""Worker hosts as the platform lists them, orders to them, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from primrosehub.core.batch import TaskId
from primrosehub.core.resources import Resources


@dataclass(frozen=True, slots=True)
class WorkerHost:
    """Hold what a worker host reports about itself.

    ``capacity`` is everything it can run at once. ``born_ms`` is the Unix time of its
    start; a changed value means a new incarnation. ``remaining_ms`` is the least time
    left before it stops, if it is draining.
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
        """Return the rack, which is the last label."""
        return self.labels[-1] if self.labels else ""


class EndKind(StrEnum):
    """List the ways in which an attempt can end, as worker hosts report them.

    Only ``FAILED`` counts towards the limit of attempts. ``LAPSED`` means that the
    lease of the worker host expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """Hold one running attempt; ``percent`` is its progress."""

    task: TaskId
    attempt: int
    checkpoint: str
    percent: float
    usage: int = 0


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Hold one ended attempt; ``number`` counts the ends on its host from 1."""

    number: int
    task: TaskId
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HostReport:
    """Hold a worker host's report of its running and ended attempts.

    ``ends_complete`` is false if more attempts may have ended than the report lists.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    draining: bool = False
    remaining_ms: int | None = None
    ends_complete: bool = True


@dataclass(frozen=True, slots=True)
class WitnessAnswers:
    """Hold which hosts have answered an owner lately.

    ``electorates`` are the sets of witnesses of each of which more than half count.
    """

    electorates: tuple[frozenset[str], ...] = ()
    answered: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start one attempt; expires at ``valid_until_ms`` on the worker host's clock."""

    task: TaskId
    attempt: int
    command: str
    checkpoint: str
    ticket: str
    valid_until_ms: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one attempt, or prevent it from starting later."""

    task: TaskId
    attempt: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """Report that the host has carried out the order."""

    clock_ms: int


class RefusalReason(StrEnum):
    """List the reasons for which a host refuses an order."""

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
    """Report that the host did not carry out the order, and why."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class OrderNotSent:
    """Report that the order was not sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """Report that the order got no answer; it may still be carried out."""

    detail: str


OrderOutcome = OrderDone | OrderRefused | OrderNotSent | OrderUnanswered


class AdviceCause(StrEnum):
    """List the reasons for requesting advice."""

    FIRST = "first"
    RENEWAL = "renewal"
    MORE_HOSTS = "more_hosts"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Allow a step to run on a host until ``valid_until`` (monotonic seconds)."""

    value: str
    valid_until: float


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold the worker hosts that may run a step, each with its ticket.

    The tickets are valid for ``valid_s`` seconds after the answer.
    """

    tickets: dict[str, str]
    valid_s: float
