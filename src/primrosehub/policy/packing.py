"""Choose worker hosts for waiting tasks; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field, replace

from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.policy.look_budget import LookBudget

QUICK_S = 1.5  # tasks with a shorter estimate go where they end soonest
QUICK_PACE_WEIGHT = 3.0  # of slowness against free room, for quick tasks
PACE_WEIGHT = 0.3  # the same for other tasks, for which tight packing matters most
MAX_RESERVATIONS = 2  # gangs for which hosts are reserved while they do not fit


@dataclass(slots=True)
class HostSpace:
    """Hold the free room of one host.

    ``risk`` above 0 makes the host a second choice. ``slowness`` is the logarithm of
    the ratio of its time for a task to the fleet's mean. ``reserved_for`` is the key of
    the gang for which the host is reserved. ``long_running`` is in use by tasks that
    run until they are cancelled.
    """

    host: str
    cpu_m: int
    memory_mb: int
    accelerators: int
    total: Resources
    rack: str
    labels: tuple[str, ...]
    risk: float = 0.0
    slowness: float = 0.0
    reserved_for: object = None
    long_running: Resources = NO_RESOURCES

    def fits(self, need: Resources) -> bool:
        """Tell whether the need fits into the free room."""
        return (
            need.cpu_m <= self.cpu_m
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def take(self, need: Resources, count: int = 1) -> None:
        """Use room, or give it back with a negative count."""
        self.cpu_m -= need.cpu_m * count
        self.memory_mb -= need.memory_mb * count
        self.accelerators -= need.accelerators * count

    def free_share_after(self, need: Resources) -> float:
        """Return the largest share of a resource that stays free, 0 to 1."""
        cpu = (self.cpu_m - need.cpu_m) / max(1, self.total.cpu_m)
        memory = (self.memory_mb - need.memory_mb) / max(1, self.total.memory_mb)
        return max(cpu, memory)

    def times_once_free(self, need: Resources) -> int:
        """Return how often the need fits once all tasks that end have ended."""
        return (self.total - self.long_running).times_contained(need)


@dataclass(slots=True)
class Demand:
    """Hold the waiting tasks of one step, all of the same need.

    ``tasks`` are indexes into the step. ``failed_on`` names for each task the hosts on
    which it failed, which are used only if no other has room.
    ``allowed`` names hosts with a valid ticket; None allows any host. ``expired`` names
    hosts that would be allowed with a new ticket, ``refused`` those that advice does
    not allow; nothing is known about all others. ``may_ask`` is false while a call for
    advice is in progress. ``placed`` counts tasks of the step on each host. Demands are
    listed in the order in which they are to be served.
    """

    key: object
    team: str
    need: Resources
    tasks: list[int]
    gang: bool
    label: str = ""
    data_rack: str = ""
    one_rack: bool = False
    max_per_host: int = 0
    failed_on: dict[int, set[str]] = field(default_factory=dict)
    allowed: frozenset[str] | None = None
    expired: frozenset[str] = frozenset()
    refused: frozenset[str] = frozenset()
    may_ask: bool = True
    placed: dict[str, int] = field(default_factory=dict)
    estimate_s: float = 0.0

    @property
    def allowed_or_expired(self) -> frozenset[str]:
        """Return the hosts that advice allows, with a valid ticket or without."""
        return (self.allowed or frozenset()) | self.expired


@dataclass(frozen=True, slots=True)
class Placement:
    """Start one task of a demand on a host."""

    key: object
    task: int
    host: str


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the placements, and which demands were not placed completely.

    ``waiting`` holds these demands in their order, with the tasks that remain;
    ``limited`` holds the keys of those that wait because of their team's limit.
    ``postponed`` counts the demands that are left to the next plans.
    """

    placements: tuple[Placement, ...]
    waiting: tuple[Demand, ...] = ()
    limited: tuple[object, ...] = ()
    postponed: int = 0


class TeamQuotas:
    """Hold the rest of each team's quota; a team without a limit is not listed.

    ``long_running`` is what each team's tasks use that run until they are cancelled.
    """

    def __init__(
        self,
        left: dict[str, Resources],
        limits: dict[str, Resources],
        long_running: dict[str, Resources] | None = None,
    ) -> None:
        self._left = left
        self._limits = limits
        self._long_running = long_running or {}
        self._kept: set[str] = set()

    def copy_without_reservations(self) -> TeamQuotas:
        """Return an independent copy in which nothing is reserved for gangs."""
        return TeamQuotas(dict(self._left), self._limits, self._long_running)

    def max_tasks(self, team: str, need: Resources) -> int:
        """Return how many tasks of the need the team may still start."""
        left, limit = self._left.get(team), self._limits.get(team)
        if left is None or limit is None:
            return 1 << 30
        if team in self._kept:
            return 0
        counts = [
            room // size
            for room, size, bound in (
                (left.cpu_m, need.cpu_m, limit.cpu_m),
                (left.memory_mb, need.memory_mb, limit.memory_mb),
                (left.accelerators, need.accelerators, limit.accelerators),
            )
            if bound and size
        ]
        return max(0, min(counts, default=1 << 30))

    def holds_back(self, team: str) -> bool:
        """Tell whether the rest of the team's quota is kept for a gang."""
        return team in self._kept

    def take(self, team: str, need: Resources, count: int) -> None:
        """Subtract started tasks from the team's quota."""
        if team in self._left:
            self._left[team] = self._left[team] - need * count

    def reserve_for(self, demand: Demand) -> None:
        """Hold back later demands of the team if its quota will ever hold this one."""
        once_free = {
            team: limit - self._long_running.get(team, NO_RESOURCES)
            for team, limit in self._limits.items()
        }
        quotas = TeamQuotas(once_free, self._limits)
        if quotas.max_tasks(demand.team, demand.need) >= len(demand.tasks):
            self._kept.add(demand.team)


class _NoRoom:
    """Remember needs for which no host has room, by the label that they require.

    Room only shrinks while a plan is made, so a need that is no smaller finds none
    either.
    """

    def __init__(self) -> None:
        self._needs: dict[str, list[Resources]] = {}

    def rules_out(self, demand: Demand) -> bool:
        """Tell whether certainly no host has room for a task of the demand."""
        return any(
            need.fits_in(demand.need)
            for label in {"", demand.label}
            for need in self._needs.get(label, ())
        )

    def note_unplaced(self, demand: Demand, hosts: Iterable[HostSpace]) -> None:
        """Record that some of the demand was not placed on the hosts it may use."""
        if demand.allowed is None and not any(one.fits(demand.need) for one in hosts):
            self._needs.setdefault(demand.label, []).append(demand.need)


def plan(
    demands: Sequence[Demand],
    spaces: list[HostSpace],
    teams: TeamQuotas,
    budget: LookBudget | None = None,
) -> Plan:
    """Place as many tasks as fit, in the order of the demands.

    A demand that certainly can't be placed costs no look at the hosts. Those beyond the
    budget are left to the next plans that are made with it.
    """
    budget = budget or LookBudget()
    by_host = {space.host: space for space in spaces}
    no_room = _NoRoom()
    placements: list[Placement] = []
    waiting: list[Demand] = []
    limited: list[object] = []
    planned = reservations = 0
    for demand in budget.each(demands):
        planned += 1
        count = min(len(demand.tasks), teams.max_tasks(demand.team, demand.need))
        if count == 0 or (demand.gang and count < len(demand.tasks)):
            limited.append(demand.key)
            waiting.append(demand)
            keep_quota(demand, spaces, teams, budget)
            continue
        may_reserve = demand.gang and reservations < MAX_RESERVATIONS
        if not may_reserve and no_room.rules_out(demand):
            waiting.append(demand)
            continue
        budget.spend(len(by_host) if demand.allowed is None else len(demand.allowed))
        hosts = candidates(demand, by_host, demand.allowed)
        assigned = assign_hosts(demand, hosts, count)
        for task, space in assigned:
            placements.append(Placement(demand.key, task, space.host))
        teams.take(demand.team, demand.need, len(assigned))
        if len(assigned) == count:
            continue
        no_room.note_unplaced(demand, hosts)
        waiting.append(_without(demand, {task for task, _ in assigned}))
        if may_reserve:
            budget.spend(len(by_host))
            reservations += _reserve(demand, by_host)
    return Plan(
        tuple(placements), tuple(waiting), tuple(limited), len(demands) - planned
    )


def keep_quota(
    gang: Demand, spaces: list[HostSpace], teams: TeamQuotas, budget: LookBudget
) -> None:
    """Keep the rest of a team's quota for a demand if that is a gang that may fit."""
    if not gang.gang or teams.holds_back(gang.team):
        return
    budget.spend(len(spaces))
    if may_ever_fit(gang, spaces):
        teams.reserve_for(gang)


def _without(demand: Demand, started: set[int]) -> Demand:
    if not started:
        return demand
    remaining = [task for task in demand.tasks if task not in started]
    return replace(demand, tasks=remaining)


def candidates(
    demand: Demand,
    by_host: dict[str, HostSpace],
    hosts: Iterable[str] | None,
    later: Container[object] = (),
) -> list[HostSpace]:
    """Return those of the hosts (None means any) on which one task fits.

    A reservation for one of ``later``, the keys of later demands, is ignored.
    """
    if hosts is None:
        pool = list(by_host.values())
    else:
        pool = [by_host[host] for host in hosts if host in by_host]
    return [
        space
        for space in pool
        if (space.reserved_for in (None, demand.key) or space.reserved_for in later)
        and space.fits(demand.need)
        and (not demand.label or demand.label in space.labels)
    ]


def assign_hosts(
    demand: Demand, hosts: list[HostSpace], count: int
) -> list[tuple[int, HostSpace]]:
    """Return hosts for up to ``count`` tasks, for a gang all or none; take the room."""
    if demand.one_rack:
        hosts = _best_rack(demand, hosts)
    placed = dict(demand.placed)
    assigned: list[tuple[int, HostSpace]] = []
    for task in demand.tasks[:count]:
        space = _best_host(demand, hosts, demand.failed_on.get(task, ()), placed)
        if space is None:
            break  # no other task of the step finds room either
        space.take(demand.need)
        placed[space.host] = placed.get(space.host, 0) + 1
        assigned.append((task, space))
    if demand.gang and len(assigned) < count:
        for _, space in assigned:
            space.take(demand.need, -1)
        return []
    return assigned


def _best_host(
    demand: Demand,
    candidates: list[HostSpace],
    failed_on: set[str] | tuple[()],
    placed: dict[str, int],
) -> HostSpace | None:
    weight = QUICK_PACE_WEIGHT if demand.estimate_s < QUICK_S else PACE_WEIGHT
    best, best_score = None, (True, True, 0.0, 0.0)
    for space in candidates:
        if not space.fits(demand.need):
            continue
        if demand.max_per_host and placed.get(space.host, 0) >= demand.max_per_host:
            continue
        off_data_rack = bool(demand.data_rack) and space.rack != demand.data_rack
        failed_here = space.host in failed_on
        cost = space.free_share_after(demand.need) + weight * space.slowness
        score = (failed_here, off_data_rack, space.risk, cost)
        if best is None or score < best_score:
            best, best_score = space, score
    return best


def _best_rack(demand: Demand, candidates: list[HostSpace]) -> list[HostSpace]:
    """Return the hosts of the rack with room for the most tasks."""
    racks: dict[str, list[HostSpace]] = {}
    for space in candidates:
        racks.setdefault(space.rack, []).append(space)
    return max(
        racks.values(),
        key=lambda hosts: sum(_times(space, demand.need) for space in hosts),
        default=[],
    )


def _times(space: HostSpace, need: Resources) -> int:
    room = Resources(space.cpu_m, space.memory_mb, space.accelerators)
    return room.times_contained(need)


def may_ever_fit(demand: Demand, spaces: Iterable[HostSpace]) -> bool:
    """Tell whether a gang fits on hosts that advice has not refused, once free."""
    possible = [space for space in spaces if space.host not in demand.refused]
    return bool(_hosts_once_free(demand, possible))


def fits_on_advised(demand: Demand, spaces: Iterable[HostSpace]) -> bool:
    """Tell whether a gang fits on the hosts that advice allows, once free."""
    return bool(_hosts_once_free(demand, _advised(demand, spaces)))


def _advised(demand: Demand, spaces: Iterable[HostSpace]) -> list[HostSpace]:
    if demand.allowed is None:
        return list(spaces)
    allowed = demand.allowed_or_expired
    return [space for space in spaces if space.host in allowed]


def _hosts_once_free(demand: Demand, spaces: Iterable[HostSpace]) -> list[HostSpace]:
    """Return hosts that hold a whole gang once free, none if it never fits.

    Hosts with more free room come first, as they will probably be free sooner.
    """
    pools: dict[str, list[HostSpace]] = {}
    for space in sorted(spaces, key=lambda space: -space.cpu_m):
        if not demand.label or demand.label in space.labels:
            pools.setdefault(space.rack if demand.one_rack else "", []).append(space)
    for pool in pools.values():
        chosen, missing = [], len(demand.tasks)
        for space in pool:
            times = space.times_once_free(demand.need)
            if demand.max_per_host:
                times = min(times, demand.max_per_host)
            if times > 0:
                chosen.append(space)
                missing -= times
            if missing <= 0:
                return chosen
    return []


def _reserve(demand: Demand, by_host: dict[str, HostSpace]) -> int:
    """Reserve the hosts that will probably have room for a gang soonest.

    A gang that does not fit even on free hosts reserves none: it would keep them from
    other steps without ever starting. Return the number of reservations made, 0 or 1.
    """
    unreserved = [space for space in by_host.values() if space.reserved_for is None]
    chosen = _hosts_once_free(demand, _advised(demand, unreserved))
    for space in chosen:
        space.reserved_for = demand.key
    return 1 if chosen else 0
