"""Whether a job can ever run, and in which shard it should be tried."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from primrosehub.core.platform import Host
from primrosehub.core.resources import Resources
from primrosehub.core.work import AllAtOnce, JobSpec


@dataclass(frozen=True, slots=True)
class NeverRunnable:
    """Say why no worker host can ever run the job."""

    reason: str


@dataclass(frozen=True, slots=True)
class RunnableIn:
    """Name the shards that could hold the job when empty."""

    shards: tuple[str, ...]


Runnability = NeverRunnable | RunnableIn


def check_runnable(
    spec: JobSpec, shards: Mapping[str, list[Host]], limit: Resources
) -> Runnability:
    """Return the shards that could run the job, or why none ever can."""
    together = spec.tasks if isinstance(spec.work, AllAtOnce) else 1
    needed = spec.size * together
    if not needed.fits_in(limit):
        return NeverRunnable(
            f"team {spec.team} may run at most {_format_resources(limit)} at once, "
            f"and the job needs {_format_resources(needed)}; "
            "ask an operator for a higher limit"
        )
    fitting = tuple(
        shard
        for shard, hosts in shards.items()
        if _tasks_that_fit(hosts, spec.size) >= together
    )
    if fitting:
        return RunnableIn(fitting)
    return NeverRunnable(_reason(spec, shards, together))


def _tasks_that_fit(hosts: Iterable[Host], size: Resources) -> int:
    return sum(h.capacity.times_contained(size) for h in hosts if not h.leaving)


def _reason(spec: JobSpec, shards: Mapping[str, list[Host]], together: int) -> str:
    hosts = [host for group in shards.values() for host in group if not host.leaving]
    if not hosts:
        return "the platform lists no worker host"
    nearest = max(hosts, key=lambda host: _closeness(spec.size, host.capacity))
    if not spec.size.fits_in(nearest.capacity):
        return (
            f"a task needs {_format_resources(spec.size)}; the nearest worker host, "
            f"{nearest.name}, has {_format_resources(nearest.capacity)}"
        )
    most = max(_tasks_that_fit(group, spec.size) for group in shards.values())
    return (
        f"{together} tasks must start together and the largest shard holds {most}; "
        "submit smaller jobs or smaller tasks"
    )


def _closeness(size: Resources, capacity: Resources) -> float:
    return -size.dominant_share(
        Resources(
            max(capacity.cpu_m, 1),
            max(capacity.memory_mb, 1),
            max(capacity.accelerators, 1),
        )
    )


def _format_resources(amount: Resources) -> str:
    return (
        f"{amount.cpu_m / 1000:g} cpus, {amount.memory_mb / 1024:g} GB and "
        f"{amount.accelerators} accelerators"
    )
