"""Hosts as the platform lists them, and what a worker host says."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.core.work import TaskRef


@dataclass(frozen=True, slots=True)
class Host:
    """Hold one entry of the platform's host list."""

    name: str
    kind: Literal["worker", "backend"]
    ip: str
    port: int
    zone: str
    rack: str
    leaving: bool = False
    capacity: Resources = NO_RESOURCES
    service: str = ""
    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order a worker host to start one attempt.

    A host of another incarnation refuses: it can not know whether the attempt was
    started before its restart, or given up since.
    """

    ref: TaskRef
    size: Resources
    command: str
    host_incarnation: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Carry everything the owner has for one worker host in one message.

    ``token`` echoes the host's last reply. The host times the lease from when it
    issued the token, so a request that arrives late can not prolong the lease.
    ``seen`` echoes the last reply's ``changes``, or is 0 to ask for a whole report.
    """

    shard: str
    epoch: int
    token: int | None
    lease_s: float
    seen: int = 0
    starts: tuple[StartTask, ...] = ()
    stops: tuple[TaskRef, ...] = ()
    acks: tuple[TaskRef, ...] = ()


Outcome = Literal["succeeded", "failed", "stopped", "lapsed", "refused"]


@dataclass(frozen=True, slots=True)
class Finished:
    """Report an attempt that has stopped and is not yet acknowledged."""

    ref: TaskRef
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Changes:
    """Count the attempts that have ended on a worker host since it started."""

    ends: int


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Report what the worker host runs and has finished.

    ``installed_epoch`` above the request's epoch means that nothing was done.
    ``changes`` counts starts, ends and acknowledgements. ``finished`` is left out,
    None, if nothing has changed since ``seen``; ``running`` unless ``seen`` was 0.
    """

    incarnation: str
    installed_epoch: int
    token: int
    changes: int
    running: tuple[TaskRef, ...] | None = None
    finished: tuple[Finished, ...] | None = None
