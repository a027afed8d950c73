"""State of the cell in the specification of ownership."""

from __future__ import annotations

from typing import NamedTuple

NO_TOKEN = -1
PENDING, ASSIGNED, DONE, UNKNOWN = "pending", "assigned", "done", "unknown"


class Task(NamedTuple):
    """Hold a task's row in the table."""

    state: str = PENDING
    attempt: int = 0
    host: int = -1
    host_incarnation: int = 0


class StartTask(NamedTuple):
    """Order the start of one attempt."""

    task: int
    attempt: int
    host_incarnation: int


class SyncRequest(NamedTuple):
    """Hold a request in transit to a worker host.

    The token is identified by its age in ticks.
    """

    epoch: int
    host: int
    token_age: int
    token_incarnation: int
    start: StartTask | None


class Host(NamedTuple):
    """Hold a worker host: the rest of its lease, and pairs of task and attempt.

    ``running`` holds the pairs that it runs, ``seen`` all that it was ordered to start.
    """

    epoch: int = 0
    lease_ticks: int = 0
    incarnation: int = 0
    running: frozenset[tuple[int, int]] = frozenset()
    seen: frozenset[tuple[int, int]] = frozenset()


class Session(NamedTuple):
    """Hold what an owner knows of a worker host.

    ``fenced`` is set once the host has answered this owner. The host's lease has lapsed
    after ``ticks_to_lapse`` ticks. ``starts`` are the orders to send.
    """

    fenced: bool = False
    token_age: int = NO_TOKEN
    token_incarnation: int = 0
    ticks_to_lapse: int = 0
    starts: frozenset[StartTask] = frozenset()


class Owner(NamedTuple):
    """Hold an owner: its epoch, 0 for none, and the ticks since it read the table."""

    epoch: int = 0
    unconfirmed_ticks: int = 0
    sessions: tuple[Session, Session] = (Session(), Session())


class State(NamedTuple):
    """Hold the whole state; ``starts`` counts those of tasks that are not idempotent.

    Owner 0 is the first owner. The owners are interchangeable, so no case is missed.
    """

    epoch: int = 1
    tasks: tuple[Task, ...] = (Task(),)
    hosts: tuple[Host, Host] = (Host(), Host())
    owners: tuple[Owner, Owner] = (Owner(epoch=1), Owner())
    messages: frozenset[SyncRequest] = frozenset()
    starts: tuple[int, ...] = (0,)
