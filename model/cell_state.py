"""The state of the cell that the specification of ownership explores."""

from __future__ import annotations

from typing import NamedTuple

NO_TOKEN = -1
PENDING, ASSIGNED, DONE, UNKNOWN = "pending", "assigned", "done", "unknown"


class Task(NamedTuple):
    """Hold a task's row."""

    state: str = PENDING
    attempt: int = 0
    host: int = -1
    host_incarnation: int = 0


class StartTask(NamedTuple):
    """Order one attempt."""

    task: int
    attempt: int
    host_incarnation: int


class SyncRequest(NamedTuple):
    """Hold a message on its way to a worker host; the token is known by its age."""

    epoch: int
    host: int
    token_age: int
    token_incarnation: int
    start: StartTask | None


class Host(NamedTuple):
    """Hold a worker host: remaining ticks of its lease, what it runs and has seen."""

    epoch: int = 0
    lease_ticks: int = 0
    incarnation: int = 0
    running: frozenset[tuple[int, int]] = frozenset()
    seen: frozenset[tuple[int, int]] = frozenset()


class Session(NamedTuple):
    """Hold an owner's side of a worker host; ``ticks_to_lapse`` counts down."""

    fenced: bool = False
    token_age: int = NO_TOKEN
    token_incarnation: int = 0
    ticks_to_lapse: int = 0
    starts: frozenset[StartTask] = frozenset()


class Owner(NamedTuple):
    """Hold an owner: its epoch, 0 for none, and ticks since its last table read."""

    epoch: int = 0
    unconfirmed_ticks: int = 0
    sessions: tuple[Session, Session] = (Session(), Session())


class State(NamedTuple):
    """Hold everything; ``starts`` counts those of tasks that are not idempotent.

    Owner 0 has taken over first; that it is so costs nothing, as owners are alike.
    """

    epoch: int = 1
    tasks: tuple[Task, ...] = (Task(),)
    hosts: tuple[Host, Host] = (Host(), Host())
    owners: tuple[Owner, Owner] = (Owner(epoch=1), Owner())
    messages: frozenset[SyncRequest] = frozenset()
    starts: tuple[int, ...] = (0,)
