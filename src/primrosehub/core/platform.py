"""Hosts as the platform lists them, and the messages to and from worker hosts."""

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

    A host of another incarnation refuses the order: it cannot know whether the attempt
    was started before its restart or has been given up since.
    """

    ref: TaskRef
    size: Resources
    command: str
    host_incarnation: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Carry all orders and acknowledgements of a shard's owner to one worker host.

    ``token`` repeats the one in the host's last reply. The lease starts when the host
    issued that token, so a request that arrives late cannot prolong the lease.
    ``seen`` repeats ``changes`` of the last reply, or is 0 to request a full report.
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
    """Report an ended attempt until it is acknowledged."""

    ref: TaskRef
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Changes:
    """Count the attempts that have ended on a worker host since it started."""

    ends: int


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Report the attempts that the worker host runs and has finished.

    If ``installed_epoch`` is above the request's epoch, the request had no effect.
    ``changes`` counts starts, ends and acknowledgements. ``finished`` is None if
    nothing has changed since ``seen``, and ``running`` is None unless ``seen`` was 0.
    """

    incarnation: str
    installed_epoch: int
    token: int
    changes: int
    running: tuple[TaskRef, ...] | None = None
    finished: tuple[Finished, ...] | None = None
