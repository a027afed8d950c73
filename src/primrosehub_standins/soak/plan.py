"""What a soak does to the system and when: drawn from a seed, or read from a file."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from primrosehub.border.codec import describe_validation_error

MAX_DAEMONS, MAX_HOSTS, MAX_SECONDS = 40, 100, 3600
ALL_DAEMONS = -1
MIN_PAUSE_S, MAX_PAUSE_S = 0.4, 2.5  # between the beginnings of two troubles
TEARDOWN_S = 4.0  # at the end of a run, without new trouble

Moment = Annotated[float, Field(ge=0, le=MAX_SECONDS)]
# The longest disruptions that the users' sites list are a little shorter.
Duration = Annotated[float, Field(ge=0, le=10)]
DaemonNumber = Annotated[int, Field(ge=ALL_DAEMONS, lt=MAX_DAEMONS)]
HostNumber = Annotated[int, Field(ge=0, lt=MAX_HOSTS)]


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
)


@dataclass(frozen=True, slots=True)
class Plan(_Strict):
    """Hold all that a run draws; the same plan makes the same jobs and trouble."""

    seed: int
    seconds: Annotated[float, Field(gt=0, le=MAX_SECONDS)]
    daemons: Annotated[int, Field(ge=1, le=MAX_DAEMONS)] = 3
    hosts: Annotated[int, Field(ge=1, le=MAX_HOSTS)] = 8
    jobs_per_s: Annotated[float, Field(gt=0, le=100)] = 6.0
    troubles: tuple[Annotated[Trouble, Field(discriminator="kind")], ...] = ()


_PLAN = TypeAdapter(Plan)


def draw_plan(
    seed: int, seconds: float, daemons: int = 3, hosts: int = 8, jobs_per_s: float = 6.0
) -> Plan:
    """Return the plan of a seed; raise ValueError if a size is beyond its bounds."""
    check_plan(encode_plan(Plan(seed, seconds, daemons, hosts, jobs_per_s)))
    choices = random.Random(seed)
    troubles: list[Trouble] = []
    at_s = choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at_s < seconds - TEARDOWN_S:
        troubles.append(_draw_trouble(choices, round(at_s, 3), daemons, hosts))
        at_s += choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return Plan(seed, seconds, daemons, hosts, jobs_per_s, tuple(troubles))


def _draw_trouble(
    choices: random.Random, at_s: float, daemons: int, hosts: int
) -> Trouble:
    daemon, host = choices.randrange(daemons), choices.randrange(hosts)
    for_s = choices.choice((0.1, 0.3, 0.5, 1.0, 2.0, 4.5))
    some_or_all = choices.choice((daemon, ALL_DAEMONS))
    how = choices.choice(("busy", "silent", "reset"))
    # What has found most stands in the list more than once.
    return choices.choice(
        (
            RestartHost(at_s, host, for_s),
            RestartHost(at_s, host, min(for_s, 0.5)),
            RestartHost(at_s, (host + 1) % hosts, for_s),
            CutHost(at_s, host, choices.choice((2.0, 4.5, 8.0))),
            CutHost(at_s, (host + 2) % hosts, choices.choice((4.5, 8.0))),
            KillOwner(at_s, min(for_s, 1.0)),
            KillDaemon(at_s, daemon, min(for_s, 1.0)),
            KillDaemon(at_s, ALL_DAEMONS, min(for_s, 2.0)),
            StopDaemon(at_s, daemon),
            ReloadDaemon(at_s, daemon),
            FreezeDaemon(at_s, daemon, for_s),
            RefuseStoreCalls(at_s, some_or_all, for_s, how),
            SlowStore(at_s, for_s, choices.choice((0.1, 0.3, 0.8))),
            LoseStoreAnswers(at_s, choices.randint(1, 4)),
            RemoveRoute(at_s, min(for_s, 2.0)),
        )
    )


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
        for field, limit in (("daemon", plan.daemons), ("host", plan.hosts)):
            value = getattr(trouble, field, 0)
            if value >= limit:
                raise ValueError(
                    f"troubles.{number}.{field}: must be less than {limit}, as many as "
                    f"the plan has, not {value}"
                )
    return plan
