"""Find the waiting steps that advice would let start; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from primrosehub.core.resources import Resources
from primrosehub.policy.look_budget import LookBudget
from primrosehub.policy.packing import (
    Demand,
    HostSpace,
    TeamQuotas,
    assign_hosts,
    candidates,
    fits_on_advised,
    keep_quota,
)


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask for advice about a step, which could then start on these hosts.

    ``hosts`` is empty for a gang that is allowed on too few hosts to ever start.
    """

    key: object
    hosts: frozenset[str] = frozenset()


def advice_requests(
    waiting: Sequence[Demand],
    spaces: list[HostSpace],
    teams: TeamQuotas,
    budget: LookBudget | None = None,
) -> Iterator[AdviceRequest]:
    """Yield the requests for advice in the order of the demands.

    ``spaces`` and ``teams`` hold what a plan has left. Each step that may start once it
    is advised takes what it needs from them, so that no later step asks for the same.
    What is reserved for a gang is withheld from later steps only. Steps beyond the
    budget get their turn when it is used again.
    """
    budget = budget or LookBudget()
    by_host = {space.host: space for space in spaces}
    teams = teams.copy_without_reservations()
    later = {demand.key for demand in waiting}
    widest = _widest(spaces)
    for demand in budget.each(waiting):
        later.discard(demand.key)
        if demand.allowed is None:
            continue
        count = min(len(demand.tasks), teams.max_tasks(demand.team, demand.need))
        if count == 0 or (demand.gang and count < len(demand.tasks)):
            keep_quota(demand, spaces, teams, budget)
            continue
        hosts = []
        if demand.need.fits_in(widest):
            budget.spend(len(spaces))
            hosts = _claim_room(demand, by_host, count, later)
        teams.take(demand.team, demand.need, len(hosts))
        if not demand.may_ask:
            continue
        if hosts or (demand.gang and _lacks_hosts(demand, spaces, budget)):
            yield AdviceRequest(demand.key, frozenset(hosts))


def _lacks_hosts(gang: Demand, spaces: list[HostSpace], budget: LookBudget) -> bool:
    budget.spend(len(spaces))
    return not fits_on_advised(gang, spaces)


def _widest(spaces: Sequence[HostSpace]) -> Resources:
    """Return the largest free amount of each resource on any host.

    While the hosts are full, this check alone rules out most steps.
    """
    return Resources(
        max((space.cpu_m for space in spaces), default=0),
        max((space.memory_mb for space in spaces), default=0),
        max((space.accelerators for space in spaces), default=0),
    )


def _claim_room(
    demand: Demand, by_host: dict[str, HostSpace], count: int, later: set[object]
) -> list[str]:
    """Take room on allowed hosts, or else on any that advice has not refused."""
    chosen = assign_hosts(
        demand, candidates(demand, by_host, demand.allowed_or_expired, later), count
    )
    if not chosen:
        possible = [host for host in by_host if host not in demand.refused]
        chosen = assign_hosts(
            demand, candidates(demand, by_host, possible, later), count
        )
    return [space.host for _, space in chosen]
