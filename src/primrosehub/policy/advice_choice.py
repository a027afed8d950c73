"""Which worker hosts to ask advice about; no I/O and no clock."""

from __future__ import annotations

from primrosehub.core.clusterconfig import AdviceCost
from primrosehub.core.resources import Resources
from primrosehub.policy.packing import HostSpace

ALLOWED_SHARE = 0.35  # the least share of named hosts that the sites' advice allows
MARGIN = 1.3  # so that one call mostly names enough
# Of the time that a decision takes by itself, spent on naming hosts beyond the need:
# a second call would cost that time again.
EXTRA_SHARE = 0.3
MAX_NAMED = 100  # the advice service's own bound on one call


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
    cheap = (
        int(EXTRA_SHARE * cost.decide_s / cost.per_host_s)
        if cost.per_host_s
        else MAX_NAMED
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
    wanted = count * MARGIN / ALLOWED_SHARE
    named = sorted(first)
    for space in [*free, *full]:
        enough = wanted <= 0 and len(named) >= cheap
        if enough or len(named) >= MAX_NAMED:
            break
        named.append(space.host)
        room = _free_room(space) if space.fits(need) else space.total
        wanted -= room.times_contained(need)
    return named


def _free_room(space: HostSpace) -> Resources:
    return Resources(space.cpu_m, space.memory_mb, space.accelerators)
