"""Which worker hosts to ask advice about; no I/O and no clock."""

from __future__ import annotations

from primrosehub.core.clusterconfig import AdviceCost
from primrosehub.core.resources import Resources
from primrosehub.policy.packing import HostSpace

MIN_ALLOWED_SHARE = 0.35  # of the hosts in a call, by the users' advice services
SAFETY_FACTOR = 1.3  # so that one call mostly names enough
# Of the time that a decision takes by itself, spent on naming hosts beyond the need:
# a second call would cost that time again.
MAX_EXTRA_TIME_SHARE = 0.3
MAX_HOSTS_PER_CALL = 100  # the advice service's own bound on one call


def hosts_to_ask_about(
    need: Resources,
    count: int,
    label: str,
    quick: bool,
    spaces: list[HostSpace],
    asked: set[str],
    first: frozenset[str],
    cost: AdviceCost,
) -> list[str]:
    """Return hosts that probably hold room for ``count`` tasks once advised.

    After the hosts in ``first`` come those with free room, for a quick task the fastest
    of them, then full ones, none of them ``asked`` about before. A call takes longer
    with each host named, so beyond the need only as many are named as add little to it.
    """
    low_cost_count = (
        int(MAX_EXTRA_TIME_SHARE * cost.decide_s / cost.per_host_s)
        if cost.per_host_s
        else MAX_HOSTS_PER_CALL
    )
    fitting = [
        space
        for space in spaces
        if space.host not in asked
        and space.host not in first
        and need.fits_in(space.total)
        and (not label or label in space.labels)
    ]
    free = [space for space in fitting if space.fits(need)]
    free.sort(key=lambda space: (space.risk, space.slowness if quick else 0.0))
    full = [space for space in fitting if not space.fits(need)]
    full.sort(key=lambda space: -space.cpu_m)
    wanted = count * SAFETY_FACTOR / MIN_ALLOWED_SHARE
    named = sorted(first)
    for space in [*free, *full]:
        enough = wanted <= 0 and len(named) >= low_cost_count
        if enough or len(named) >= MAX_HOSTS_PER_CALL:
            break
        named.append(space.host)
        room = _free_room(space) if space.fits(need) else space.total
        wanted -= room.times_contained(need)
    return named


def _free_room(space: HostSpace) -> Resources:
    return Resources(space.cpu_m, space.memory_mb, space.accelerators)
