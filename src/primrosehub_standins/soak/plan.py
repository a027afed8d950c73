"""What a soak does to the system and when, as a file says it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from primrosehub.border.codec import describe_validation_error

MAX_DAEMONS, MAX_HOSTS, MAX_ZONES, MAX_SECONDS = 40, 100, 8, 3600
ALL_DAEMONS = -1

Moment = Annotated[float, Field(ge=0, le=MAX_SECONDS)]
# The longest disruptions that the users' sites list are a little shorter.
Duration = Annotated[float, Field(ge=0, le=10)]
# What an isolated owner does wrong shows once leases of 10 s have ended.
IsolationTime = Annotated[float, Field(ge=0, le=30)]
DaemonNumber = Annotated[int, Field(ge=ALL_DAEMONS, lt=MAX_DAEMONS)]
HostNumber = Annotated[int, Field(ge=0, lt=MAX_HOSTS)]
# Which bytes are withheld, as seen from those that are cut off.
Direction = Literal["both", "outgoing", "incoming"]


class _Strict:
    """Reject fields that are not known, which may be misspelt ones."""

    __slots__ = ()
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True)
class KillDaemon(_Strict):
    """Kill a daemon and start it again; number -1 kills all at once."""

    at_s: Moment
    daemon: DaemonNumber
    for_s: Duration
    kind: Literal["kill-daemon"] = "kill-daemon"


@dataclass(frozen=True, slots=True)
class KillOwner(_Strict):
    """Kill the daemon that owns the jobs at the time, and start it again."""

    at_s: Moment
    for_s: Duration
    kind: Literal["kill-owner"] = "kill-owner"


@dataclass(frozen=True, slots=True)
class StopDaemon(_Strict):
    """End a daemon with SIGTERM and start it again once it has exited."""

    at_s: Moment
    daemon: Annotated[int, Field(ge=0, lt=MAX_DAEMONS)]
    kind: Literal["stop-daemon"] = "stop-daemon"


@dataclass(frozen=True, slots=True)
class ReloadDaemon(_Strict):
    """Send SIGHUP to a daemon."""

    at_s: Moment
    daemon: Annotated[int, Field(ge=0, lt=MAX_DAEMONS)]
    kind: Literal["reload-daemon"] = "reload-daemon"


@dataclass(frozen=True, slots=True)
class FreezeDaemon(_Strict):
    """Suspend a daemon's process for a time."""

    at_s: Moment
    daemon: Annotated[int, Field(ge=0, lt=MAX_DAEMONS)]
    for_s: Duration
    kind: Literal["freeze-daemon"] = "freeze-daemon"


@dataclass(frozen=True, slots=True)
class RestartHost(_Strict):
    """Let a worker host lose power, and restart it under its id."""

    at_s: Moment
    host: HostNumber
    for_s: Duration
    kind: Literal["restart-host"] = "restart-host"


@dataclass(frozen=True, slots=True)
class CutHost(_Strict):
    """Let a worker host receive nothing for a time, while its tasks run on."""

    at_s: Moment
    host: HostNumber
    for_s: Duration
    kind: Literal["cut-host"] = "cut-host"


@dataclass(frozen=True, slots=True)
class RefuseStoreCalls(_Strict):
    """Let the store refuse, ignore or disconnect a daemon, or all with number -1."""

    at_s: Moment
    daemon: DaemonNumber
    for_s: Duration
    how: Literal["busy", "silent", "reset"]
    kind: Literal["refuse-store-calls"] = "refuse-store-calls"


@dataclass(frozen=True, slots=True)
class SlowStore(_Strict):
    """Delay each answer of the store by ``answer_s``."""

    at_s: Moment
    for_s: Duration
    answer_s: Annotated[float, Field(ge=0, le=2)]
    kind: Literal["slow-store"] = "slow-store"


@dataclass(frozen=True, slots=True)
class LoseStoreAnswers(_Strict):
    """Let the store apply some writes of each daemon without an answer."""

    at_s: Moment
    count: Annotated[int, Field(ge=1, le=20)]
    kind: Literal["lose-store-answers"] = "lose-store-answers"


@dataclass(frozen=True, slots=True)
class RemoveRoute(_Strict):
    """Remove the route of all jobs from the configuration, and put it back."""

    at_s: Moment
    for_s: Duration
    kind: Literal["remove-route"] = "remove-route"


@dataclass(frozen=True, slots=True)
class CutZone(_Strict):
    """Cut the daemons and hosts of a zone off from all others, and from the store."""

    at_s: Moment
    zone: Annotated[int, Field(ge=0, lt=MAX_ZONES)]
    for_s: IsolationTime
    direction: Direction = "both"
    keep_store: bool = False
    kind: Literal["cut-zone"] = "cut-zone"


@dataclass(frozen=True, slots=True)
class CutOwner(_Strict):
    """Cut the owner off with as many daemons and hosts, those of its zone first."""

    at_s: Moment
    daemons: Annotated[int, Field(ge=0, lt=MAX_DAEMONS)]
    hosts: Annotated[int, Field(ge=0, le=MAX_HOSTS)]
    for_s: IsolationTime
    direction: Direction = "both"
    keep_store: bool = False
    kind: Literal["cut-owner"] = "cut-owner"


@dataclass(frozen=True, slots=True)
class CutNodes(_Strict):
    """Cut some daemons and hosts off together from all others, and from the store."""

    at_s: Moment
    daemon_numbers: tuple[Annotated[int, Field(ge=0, lt=MAX_DAEMONS)], ...]
    host_numbers: tuple[HostNumber, ...]
    for_s: IsolationTime
    direction: Direction = "both"
    keep_store: bool = False
    kind: Literal["cut-nodes"] = "cut-nodes"


@dataclass(frozen=True, slots=True)
class CutLink(_Strict):
    """Cut the link between a daemon and one other daemon, a host or the store."""

    at_s: Moment
    daemon: Annotated[int, Field(ge=0, lt=MAX_DAEMONS)]
    other: Annotated[str, Field(pattern=r"^(hub-\d{1,2}|i-\d{1,2}|store)$")]
    for_s: IsolationTime
    direction: Direction = "both"
    kind: Literal["cut-link"] = "cut-link"


Isolation = CutZone | CutOwner | CutNodes | CutLink
Trouble = (
    KillDaemon
    | KillOwner
    | StopDaemon
    | ReloadDaemon
    | FreezeDaemon
    | RestartHost
    | CutHost
    | RefuseStoreCalls
    | SlowStore
    | LoseStoreAnswers
    | RemoveRoute
    | Isolation
)


@dataclass(frozen=True, slots=True)
class Plan(_Strict):
    """Hold all that a run draws; the same plan makes the same jobs and trouble.

    ``long_share`` is that of the jobs whose tasks run on while leases end.
    """

    seed: int
    seconds: Annotated[float, Field(gt=0, le=MAX_SECONDS)]
    daemons: Annotated[int, Field(ge=1, le=MAX_DAEMONS)] = 3
    hosts: Annotated[int, Field(ge=1, le=MAX_HOSTS)] = 8
    jobs_per_s: Annotated[float, Field(gt=0, le=100)] = 6.0
    zones: Annotated[int, Field(ge=1, le=MAX_ZONES)] = 1
    long_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    troubles: tuple[Annotated[Trouble, Field(discriminator="kind")], ...] = ()


_PLAN = TypeAdapter(Plan)


def encode_plan(plan: Plan) -> bytes:
    """Return the plan as JSON."""
    return _PLAN.dump_json(plan, indent=1)


def read_plan(path: Path) -> Plan:
    """Return the plan of a file; raise ValueError that names file, field and value."""
    try:
        return check_plan(path.read_bytes())
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def check_plan(text: bytes) -> Plan:
    """Return the plan of a JSON text; raise ValueError that names field and value."""
    try:
        plan = _PLAN.validate_json(text)
    except ValidationError as error:
        raise ValueError(describe_validation_error(error)) from None
    for number, trouble in enumerate(plan.troubles):
        for field, value, limit in _numbers_of(trouble, plan):
            if value >= limit:
                raise ValueError(
                    f"troubles.{number}.{field}: must be less than {limit}, as many as "
                    f"the plan has, not {value}"
                )
    return plan


def _numbers_of(trouble: Trouble, plan: Plan) -> Iterator[tuple[str, int, int]]:
    """Yield the numbers of daemons, hosts and zones with their fields and limits."""
    limits = {"daemon": plan.daemons, "host": plan.hosts, "zone": plan.zones}
    for field, limit in limits.items():
        yield field, getattr(trouble, field, 0), limit
    match trouble:
        case CutOwner(daemons=daemons, hosts=hosts):
            yield "daemons", daemons, plan.daemons
            yield "hosts", hosts, plan.hosts + 1
        case CutNodes(daemon_numbers=daemons, host_numbers=hosts):
            yield from (("daemon_numbers", one, plan.daemons) for one in daemons)
            yield from (("host_numbers", one, plan.hosts) for one in hosts)
        case CutLink(other=other):
            kind, _, number = other.partition("-")
            if number:
                yield (
                    "other",
                    int(number),
                    limits["daemon" if kind == "hub" else "host"],
                )
