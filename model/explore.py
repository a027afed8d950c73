"""Explore the states of a specification breadth-first."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

Step = tuple[str, Hashable]


@dataclass(frozen=True, slots=True)
class Explored:
    """Hold how many states were visited, and the trace to a violation if any."""

    states: int
    complete: bool = True
    violation: str | None = None
    trace: tuple[str, ...] = ()


def explore(
    initial: Hashable,
    steps: Callable[[Hashable], Iterable[Step]],
    find_violation: Callable[[Hashable], str | None],
    max_depth: int,
) -> Explored:
    """Return the shortest trace to a violation, or the number of states.

    States more than ``max_depth`` steps from the initial one are not visited.
    """
    came_from: dict[Hashable, tuple[Hashable, str] | None] = {initial: None}
    frontier = [initial]
    depth = 0
    while frontier and depth <= max_depth:
        depth += 1
        next_frontier = []
        for state in frontier:
            violation = find_violation(state)
            if violation:
                trace = _trace(came_from, state)
                return Explored(len(came_from), False, violation, trace)
            for name, successor in steps(state):
                if successor not in came_from:
                    came_from[successor] = (state, name)
                    next_frontier.append(successor)
        frontier = next_frontier
    return Explored(len(came_from), complete=not frontier)


def _trace(
    came_from: dict[Hashable, tuple[Hashable, str] | None], state: Hashable
) -> tuple[str, ...]:
    names = []
    origin = came_from[state]
    while origin is not None:
        state, name = origin
        names.append(name)
        origin = came_from[state]
    return tuple(reversed(names))
