"""How a team's upper limit is split: 2 shards, each owner with its memory.

A write of unknown outcome may have been applied or not. An owner that dies is
followed by one that reads its part from the table, and runs what its predecessor ran.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

LIMIT = 2


class Part(NamedTuple):
    """Hold a shard's part in the table, in its owner's memory, and what runs."""

    stored: int = 0
    held: int = 0
    running: int = 0
    old_sum: int | None = None


class State(NamedTuple):
    """Hold both parts, the stored sum and the version of the rows."""

    parts: tuple[Part, Part] = (Part(), Part())
    stored_sum: int = 0


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration; the limit bounds this one."""

    max_depth: int = 1000
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the first state."""
        return State()


SCOPES = (Scope(),)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards of grants; the checker takes them out one by one."""

    scope: Scope

    sum_in_same_transaction: bool = True
    lower_memory_before_write: bool = True
    raise_memory_after_write: bool = True
    shrink_only_unused: bool = True


def broken(state: State) -> str | None:
    """Return the promise that the state breaks, if any."""
    if sum(part.running for part in state.parts) > LIMIT:
        return "the team runs more than its limit"
    return None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Return every step that may come next, with its name."""
    for number, part in enumerate(state.parts):
        if part.running < part.held:
            started = part._replace(running=part.running + 1)
            yield f"shard {number} starts a task", _with(state, number, started)
        if part.running:
            ended = part._replace(running=part.running - 1)
            yield f"shard {number} ends a task", _with(state, number, ended)
        yield from _raise(state, guards, number, part)
        yield from _shrink(state, guards, number, part)
        successor = part._replace(held=part.stored, old_sum=None)
        yield f"shard {number} gets a new owner", _with(state, number, successor)


def _raise(
    state: State, guards: Guards, number: int, part: Part
) -> Iterator[tuple[str, State]]:
    known = state.stored_sum
    if not guards.sum_in_same_transaction:
        if part.old_sum is None:
            read = part._replace(old_sum=state.stored_sum)
            yield f"shard {number} reads the sum", _with(state, number, read)
            return
        known = part.old_sum
    if known >= LIMIT:
        return
    raised = part._replace(stored=part.stored + 1, old_sum=None)
    grown = state._replace(stored_sum=known + 1)
    name = f"shard {number} raises its grant"
    yield name, _with(grown, number, raised._replace(held=raised.stored))
    yield f"{name}, reply lost", _with(grown, number, raised)
    if not guards.raise_memory_after_write:
        early = part._replace(held=part.stored + 1)
        yield f"{name}, not written", _with(state, number, early)


def _shrink(
    state: State, guards: Guards, number: int, part: Part
) -> Iterator[tuple[str, State]]:
    used = part.running if guards.shrink_only_unused else 0
    if part.stored <= used:
        return
    shrunk = part._replace(stored=used, old_sum=None)
    less = state._replace(stored_sum=state.stored_sum - part.stored + used)
    name = f"shard {number} shrinks its grant"
    yield name, _with(less, number, shrunk._replace(held=used))
    lowered = used if guards.lower_memory_before_write else part.held
    yield f"{name}, reply lost", _with(less, number, shrunk._replace(held=lowered))
    yield f"{name}, not written", _with(state, number, part._replace(held=lowered))


def _with(state: State, number: int, part: Part) -> State:
    parts = list(state.parts)
    parts[number] = part
    return state._replace(parts=tuple(parts))
