"""Choose the worker hosts to ask advice about; no I/O and no clock."""

from __future__ import annotations

from primrosehub.core.clusterconfig import AdviceCost
from primrosehub.core.resources import Resources
from primrosehub.policy.packing import HostSpace

# The smallest share of the hosts in a call that the sites' advice allows.
MIN_ALLOWED_SHARE = 0.35
SAFETY_FACTOR = 1.3  # so that one call usually covers enough hosts
# The share of a call's fixed decision time that may be spent on hosts beyond the need:
# a second call would take that fixed time again.
MAX_EXTRA_TIME_SHARE = 0.3
MAX_HOSTS_PER_CALL = 100  # limit of the advice service
LONG_CALL_S = 0.3  # quick jobs are to start within this time
MAX_LONG_SHARE = 0.5  # of the daemons that call for advice, in calls that take longer


def may_call(call_s: float, long_calls: int, daemons: int) -> bool:
    """Return whether another call leaves enough daemons for quick jobs.

    ``long_calls`` are under way. One is always allowed, so that no step waits for ever.
    """
    max_long_calls = max(1, int(daemons * MAX_LONG_SHARE))
    return call_s < LONG_CALL_S or long_calls < max_long_calls


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
    """Return hosts that probably have room for ``count`` tasks once advised.

    The hosts in ``first`` are followed by hosts with free room, for a quick task the
    fastest first, and then by full ones, without those already ``asked`` about. A call
    takes longer with each host, so hosts beyond the need are added only while they
    lengthen it little.
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
    selected = sorted(first)
    for space in [*free, *full]:
        enough = wanted <= 0 and len(selected) >= low_cost_count
        if enough or len(selected) >= MAX_HOSTS_PER_CALL:
            break
        selected.append(space.host)
        room = _free_room(space) if space.fits(need) else space.total
        wanted -= room.times_contained(need)
    return selected


def _free_room(space: HostSpace) -> Resources:
    return Resources(space.cpu_m, space.memory_mb, space.accelerators)
