"""Which pending tasks start on which worker hosts."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.core.work import AllAtOnce, Batch, Job, Service, TaskState

RESERVE_AFTER_S = 60.0  # age at which an all-at-once job reserves worker hosts
NO_COUNT = 1_000_000_000  # stands for no known count: above that of any job


@dataclass(slots=True)
class HostRoom:
    """Hold the free resources of a worker host; each placement subtracts from them.

    ``reclaimable`` is in use by tasks that end by themselves, as services do not.
    """

    name: str
    rack: str
    free: Resources
    reclaimable: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class TeamState:
    """Hold a team's weight, its use in the whole cell and what its grant has left."""

    share: int
    used: Resources
    headroom: Resources


@dataclass(frozen=True, slots=True)
class Placement:
    """Start one task of a job on a worker host."""

    job: str
    index: int
    host: str


@dataclass(frozen=True, slots=True)
class NoRoom:
    """Say that no worker host has this much free."""

    needed: Resources


@dataclass(frozen=True, slots=True)
class OverGrant:
    """Say that the team's grant does not cover this much more."""

    needed: Resources


@dataclass(frozen=True, slots=True)
class BehindReservation:
    """Say that the free worker hosts are reserved for an older all-at-once job."""

    job: str


Blocked = NoRoom | OverGrant | BehindReservation


@dataclass(slots=True)
class Plan:
    """Hold the placements, and for each job that waits the reason."""

    placements: list[Placement] = field(default_factory=list)
    blocked: dict[str, Blocked] = field(default_factory=dict)


def plan(
    jobs: Iterable[Job],
    rooms: Sequence[HostRoom],
    teams: Mapping[str, TeamState],
    cell: Resources,
    now_s: float,
    avoid: Mapping[str, frozenset[str]] | None = None,
) -> Plan:
    """Return the placements of the pending tasks; ``rooms`` is changed.

    Urgent jobs go first. Then the team furthest below its weighted dominant share
    of the cell goes next, its jobs in the order of their submission. A job that does
    not fit lets later ones pass, except that an all-at-once job older than
    ``RESERVE_AFTER_S`` reserves the worker hosts with the most room, if they can hold
    it once free. ``avoid`` names, by job, worker hosts to use only if no other fits.
    """
    planner = _Planner(rooms, teams, cell, now_s, avoid or {})
    planner.run(jobs)
    return planner.plan


class _Planner:
    def __init__(
        self,
        rooms: Sequence[HostRoom],
        teams: Mapping[str, TeamState],
        cell: Resources,
        now_s: float,
        avoid: Mapping[str, frozenset[str]],
    ) -> None:
        self.plan = Plan()
        self._rooms = list(rooms)
        self._teams = teams
        self._cell = cell
        self._now_s = now_s
        self._avoid = avoid
        self._used = {name: team.used for name, team in teams.items()}
        self._headroom = {name: team.headroom for name, team in teams.items()}
        self._unplaceable_sizes: set[Resources] = set()
        self._unplaceable_counts: dict[Resources, int] = {}
        self._never_fitting_counts: dict[Resources, int] = {}
        self._reserved_for = ""

    def run(self, jobs: Iterable[Job]) -> None:
        by_team: dict[str, list[Job]] = {}
        urgent: list[Job] = []
        for job in sorted(jobs, key=lambda job: (job.submitted_s, job.id)):
            if job.spec.urgent:
                urgent.append(job)
            else:
                by_team.setdefault(job.spec.team, []).append(job)
        for job in urgent:
            self._place(job)
        heap = [(self._deficit(team), team, 0) for team in by_team]
        heapq.heapify(heap)
        while heap:
            _, team, position = heapq.heappop(heap)
            jobs_of_team = by_team[team]
            self._place(jobs_of_team[position])
            position += 1
            while position < len(jobs_of_team) and self._known_not_to_fit(
                jobs_of_team[position]
            ):
                self._block(jobs_of_team[position])
                position += 1
            if position < len(jobs_of_team):
                heapq.heappush(heap, (self._deficit(team), team, position))

    def _known_not_to_fit(self, job: Job) -> bool:
        """Tell whether a job of this size was found not to fit in this plan.

        Room only shrinks while a plan is made, so this check alone rules out most of
        a long queue of jobs.
        """
        size = job.spec.size
        if isinstance(job.spec.work, AllAtOnce):
            known = self._unplaceable_counts.get(size, NO_COUNT)
            aged = self._now_s - job.submitted_s > RESERVE_AFTER_S
            may_reserve = (
                aged
                and not self._reserved_for
                and job.spec.tasks < self._never_fitting_counts.get(size, NO_COUNT)
            )
            if job.spec.tasks < known or may_reserve:
                return False
            return len(_pending(job)) >= known
        return size in self._unplaceable_sizes

    def _deficit(self, team: str) -> float:
        """Return the team's weighted dominant share; the lowest goes next."""
        share = self._teams[team].share if team in self._teams else 1
        return self._used.get(team, NO_RESOURCES).dominant_share(self._cell) / share

    def _place(self, job: Job) -> None:
        pending = _pending(job)
        match job.spec.work:
            case Batch():
                room: HostRoom | None = None
                for index in pending:
                    # The best fit has even less left over now and stays the best.
                    if room is None or not job.spec.size.fits_in(room.free):
                        room = self._best_room(job)
                    if not self._place_one(job, index, room):
                        return
            case Service():
                racks = Counter(
                    room.rack
                    for room in self._rooms
                    for task in job.tasks
                    if task.host == room.name and task.state is TaskState.ASSIGNED
                )
                for index in pending:
                    room = self._best_room_by_rack(job, racks)
                    if not self._place_one(job, index, room):
                        return
                    racks[room.rack] += 1
            case AllAtOnce():
                self._place_all_at_once(job, pending)

    def _place_one(self, job: Job, index: int, room: HostRoom | None) -> bool:
        size = job.spec.size
        if not size.fits_in(self._headroom.get(job.spec.team, NO_RESOURCES)):
            self.plan.blocked[job.id] = OverGrant(size)
            return False
        if room is None:
            self._block(job)
            return False
        self._record_placement(job, index, room)
        return True

    def _place_all_at_once(self, job: Job, pending: list[int]) -> None:
        needed = job.spec.size * len(pending)
        if not needed.fits_in(self._headroom.get(job.spec.team, NO_RESOURCES)):
            self.plan.blocked[job.id] = OverGrant(needed)
            return
        chosen = self._rooms_for_all(job.spec.size, len(pending))
        if chosen is None:
            self._block(job)
            if len(pending) == job.spec.tasks:
                known = self._unplaceable_counts.get(job.spec.size, NO_COUNT)
                self._unplaceable_counts[job.spec.size] = min(known, len(pending))
            if (
                self._now_s - job.submitted_s > RESERVE_AFTER_S
                and not self._reserved_for
            ):
                self._reserve(job, len(pending))
            return
        for index, room in zip(pending, chosen, strict=True):
            self._record_placement(job, index, room)

    def _rooms_for_all(self, size: Resources, count: int) -> list[HostRoom] | None:
        """Return one room for each task, rooms with the least left over first."""
        chosen: list[HostRoom] = []
        for room in sorted(self._rooms, key=lambda room: self._left_over(room, size)):
            fits = min(room.free.times_contained(size), count - len(chosen))
            chosen.extend([room] * fits)
            if len(chosen) == count:
                return chosen
        return None

    def _reserve(self, job: Job, count: int) -> None:
        """Reserve the worker hosts with the most room, enough to hold the job.

        A job that does not fit even on free hosts reserves none: it would keep them
        from other jobs without ever starting.
        """
        size = job.spec.size
        capacity = 0
        chosen: list[HostRoom] = []
        for room in sorted(self._rooms, key=lambda r: -self._left_over(r, size)):
            if capacity >= count:
                break
            capacity += (room.free + room.reclaimable).times_contained(size)
            chosen.append(room)
        if capacity < count:
            self._never_fitting_counts[size] = count
            return
        self._reserved_for = job.id
        for room in chosen:
            self._rooms.remove(room)

    def _block(self, job: Job) -> None:
        if self._reserved_for:
            self.plan.blocked[job.id] = BehindReservation(self._reserved_for)
        else:
            self.plan.blocked[job.id] = NoRoom(job.spec.size)

    def _best_room(self, job: Job) -> HostRoom | None:
        """Return the best fit, if possible on a host where the job has not failed."""
        avoided = self._avoid.get(job.id)
        if avoided:
            elsewhere = [room for room in self._rooms if room.name not in avoided]
            room = self._best_fit(job, elsewhere)
            if room is not None:
                return room
        room = self._best_fit(job, self._rooms)
        if room is None:
            self._unplaceable_sizes.add(job.spec.size)
        return room

    def _best_fit(self, job: Job, rooms: Sequence[HostRoom]) -> HostRoom | None:
        """Return the room with the least left over."""
        size = job.spec.size
        best: HostRoom | None = None
        best_left = float("inf")
        cpu_m, memory_mb = size.cpu_m, size.memory_mb
        for room in rooms:
            # The cheapest comparisons come first: this loop is most of a plan's time.
            free = room.free
            if free.cpu_m < cpu_m or free.memory_mb < memory_mb:
                continue
            if free.accelerators < size.accelerators:
                continue
            left = self._left_over(room, size)
            if left < best_left:
                best, best_left = room, left
        return best

    def _best_room_by_rack(self, job: Job, racks: Counter[str]) -> HostRoom | None:
        size = job.spec.size
        fitting = [room for room in self._rooms if size.fits_in(room.free)]
        return min(
            fitting,
            key=lambda room: (racks[room.rack], self._left_over(room, size)),
            default=None,
        )

    def _left_over(self, room: HostRoom, size: Resources) -> float:
        """Return the fractions of the cell that would stay free there, added up.

        Each accelerator left idle counts 1, usually more than the rest, so that work
        that asks for none goes elsewhere.
        """
        free, cell = room.free, self._cell
        left = (free.cpu_m - size.cpu_m) / (cell.cpu_m or 1)
        left += (free.memory_mb - size.memory_mb) / (cell.memory_mb or 1)
        return left + (free.accelerators - size.accelerators)

    def _record_placement(self, job: Job, index: int, room: HostRoom) -> None:
        size, team = job.spec.size, job.spec.team
        room.free -= size
        if not isinstance(job.spec.work, Service):
            room.reclaimable += size
        self._headroom[team] -= size
        self._used[team] = self._used.get(team, NO_RESOURCES) + size
        self.plan.placements.append(Placement(job.id, index, room.name))


def _pending(job: Job) -> list[int]:
    return [task.index for task in job.tasks if task.state is TaskState.PENDING]
