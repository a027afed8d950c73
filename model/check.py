"""Explore the specifications with all guards and with each guard disabled."""

from __future__ import annotations

import sys
import time
from collections.abc import Hashable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, fields, replace
from functools import partial
from types import ModuleType

import defopt

from model import grants, hub, isolation, ownership
from model.explore import Explored, explore

SPECIFICATIONS: tuple[ModuleType, ...] = (ownership, grants, hub, isolation)


def check(
    spec: ModuleType, number: int, exhaustive: bool, without: str | None
) -> Explored:
    """Return the result of exploring one scope, with one guard disabled if named."""
    scope = spec.SCOPES[number]
    guards = spec.Guards(scope)
    if without:
        guards = replace(guards, **{without: False})
    max_depth = sys.maxsize if exhaustive else scope.max_depth
    next_steps = partial(_next_steps, spec, guards)
    return explore(scope.initial(), next_steps, spec.find_violation, max_depth)


def _next_steps(spec: ModuleType, guards: object, state: Hashable) -> object:
    return spec.steps(state, guards)


def guard_names(spec: ModuleType) -> list[str]:
    """Return the names of a specification's guards."""
    return [f.name for f in fields(spec.Guards) if f.name != "scope"]


def _check_scope(module: str, number: int, exhaustive: bool) -> Explored:
    return check(sys.modules[module], number, exhaustive, None)


def _check_without(module: str, guard: str) -> Explored:
    """Return the first result with a violation over all scopes without the guard."""
    spec = sys.modules[module]
    found = Explored(0)
    for number in range(len(spec.SCOPES)):
        found = check(spec, number, False, guard)
        if found.violation:
            break
    return found


def report_scope(name: str, scope: object, found: Explored) -> bool:
    """Print the result of exploring a scope; return True if no violation was found."""
    extent = "all states" if found.complete else f"all within {scope.max_depth} steps"
    verdict = found.violation or "all invariants hold"
    print(f"{name}: {found.states} states, {extent}: {verdict}")
    print(f"    {replace(scope, prefix=scope.prefix[-1:])}")
    for line in found.trace:
        print(f"    {line}")
    return found.violation is None


def report_guard(name: str, found: Explored) -> bool:
    """Print the result without a guard; return True if a violation was found."""
    summary = f"{found.violation}, {len(found.trace)} steps"
    print(f"  without {name}: {summary if found.violation else 'NOT FOUND'}")
    return found.violation is not None


@dataclass(frozen=True, slots=True)
class Runs:
    """Hold the explorations of a specification: by scope, and without each guard."""

    by_scope: list[Future[Explored]]
    without: dict[str, Future[Explored]]


def _submit(pool: ProcessPoolExecutor, spec: ModuleType, whole: bool) -> Runs:
    module, numbers = spec.__name__, range(len(spec.SCOPES))
    by_scope = [pool.submit(_check_scope, module, n, whole) for n in numbers]
    without = {
        name: pool.submit(_check_without, module, name) for name in guard_names(spec)
    }
    return Runs(by_scope, without)


def _report(spec: ModuleType, runs: Runs) -> bool:
    """Print the results as they come; return True if all are as expected."""
    as_expected = True
    for scope, run in zip(spec.SCOPES, runs.by_scope, strict=True):
        as_expected &= report_scope(spec.__name__, scope, run.result())
    for name, run in runs.without.items():
        as_expected &= report_guard(name, run.result())
    return as_expected


def main(*, whole: bool = False) -> int:
    """Explore the specifications' scopes, and again with each guard disabled.

    :param whole: explore all states, which takes some minutes
    """
    started = time.monotonic()
    with ProcessPoolExecutor() as pool:
        runs = [_submit(pool, spec, whole) for spec in SPECIFICATIONS]
        as_expected = [
            _report(spec, its_runs)
            for spec, its_runs in zip(SPECIFICATIONS, runs, strict=True)
        ]
    print(f"{time.monotonic() - started:.1f} s")
    return 0 if all(as_expected) else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
