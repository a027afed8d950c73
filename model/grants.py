"""Specify how a team's upper limit is split between the owners of 2 shards.

Each owner caches its grant in memory. A write of unknown outcome may have been applied
or not. An owner that dies is replaced by one that reads the grant from the table; the
tasks of its predecessor go on running.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

LIMIT = 2  # running tasks of the team


class ShardState(NamedTuple):
    """Hold a shard's grant in the table and in its owner's memory, and what runs.

    ``read_sum`` is the sum of grants that the owner read in an earlier transaction.
    """

    stored_grant: int = 0
    cached_grant: int = 0
    running: int = 0
    read_sum: int | None = None


class State(NamedTuple):
    """Hold both shards and the stored sum of their grants."""

    shards: tuple[ShardState, ShardState] = (ShardState(), ShardState())
    stored_sum: int = 0


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration; ``LIMIT`` keeps the number of states finite."""

    max_depth: int = 1000
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the initial state."""
        return State()


SCOPES = (Scope(),)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards of grants; the checker disables them one by one."""

    scope: Scope

    sum_in_same_transaction: bool = True
    lower_memory_before_write: bool = True
    raise_memory_after_write: bool = True
    shrink_only_unused: bool = True


def find_violation(state: State) -> str | None:
    """Return a description of the invariant that the state violates, or None."""
    if sum(shard.running for shard in state.shards) > LIMIT:
        return "the team runs more than its limit"
    return None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the name of each possible next step and the state after it."""
    for number, shard in enumerate(state.shards):
        if shard.running < shard.cached_grant:
            started = shard._replace(running=shard.running + 1)
            yield f"shard {number} starts a task", _with(state, number, started)
        if shard.running:
            ended = shard._replace(running=shard.running - 1)
            yield f"shard {number} ends a task", _with(state, number, ended)
        yield from _raise(state, guards, number, shard)
        yield from _shrink(state, guards, number, shard)
        successor = shard._replace(cached_grant=shard.stored_grant, read_sum=None)
        yield f"shard {number} gets a new owner", _with(state, number, successor)


def _raise(
    state: State, guards: Guards, number: int, shard: ShardState
) -> Iterator[tuple[str, State]]:
    known_sum = state.stored_sum
    if not guards.sum_in_same_transaction:
        if shard.read_sum is None:
            read = shard._replace(read_sum=state.stored_sum)
            yield f"shard {number} reads the sum", _with(state, number, read)
            return
        known_sum = shard.read_sum
    if known_sum >= LIMIT:
        return
    raised = shard._replace(stored_grant=shard.stored_grant + 1, read_sum=None)
    with_higher_sum = state._replace(stored_sum=known_sum + 1)
    name = f"shard {number} raises its grant"
    yield (
        name,
        _with(
            with_higher_sum, number, raised._replace(cached_grant=raised.stored_grant)
        ),
    )
    yield f"{name}, reply lost", _with(with_higher_sum, number, raised)
    if not guards.raise_memory_after_write:
        raised_early = shard._replace(cached_grant=shard.stored_grant + 1)
        yield f"{name}, not written", _with(state, number, raised_early)


def _shrink(
    state: State, guards: Guards, number: int, shard: ShardState
) -> Iterator[tuple[str, State]]:
    used = shard.running if guards.shrink_only_unused else 0
    if shard.stored_grant <= used:
        return
    shrunk = shard._replace(stored_grant=used, read_sum=None)
    with_lower_sum = state._replace(
        stored_sum=state.stored_sum - shard.stored_grant + used
    )
    name = f"shard {number} shrinks its grant"
    yield name, _with(with_lower_sum, number, shrunk._replace(cached_grant=used))
    cached_after_loss = used if guards.lower_memory_before_write else shard.cached_grant
    yield (
        f"{name}, reply lost",
        _with(with_lower_sum, number, shrunk._replace(cached_grant=cached_after_loss)),
    )
    yield (
        f"{name}, not written",
        _with(state, number, shard._replace(cached_grant=cached_after_loss)),
    )


def _with(state: State, number: int, shard: ShardState) -> State:
    shards = list(state.shards)
    shards[number] = shard
    return state._replace(shards=tuple(shards))
