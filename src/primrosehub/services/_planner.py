"""Turn waiting steps into orders: gather demands, plan, bind and send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.policy.advice_need import advice_requests
from primrosehub.policy.host_pace import fleet_mean_slowness, slowness
from primrosehub.policy.packing import (
    Demand,
    HostSpace,
    Placement,
    TeamQuotas,
    plan,
)
from primrosehub.policy.urgency import Urgency, critical_paths_s, objective_s, urgency
from primrosehub.services._advice_calls import READVISE_S, AdviceCalls
from primrosehub.services._host_session import HostSession
from primrosehub.services._job_book import StepRun, TaskPhase
from primrosehub.services._wait_report import WaitReport

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

GATHER_S = 0.004  # changes within this time share a plan
GATHER_SHARE = 3.0  # of a plan's own time, so that plans take a quarter of the time
IDLE_S = 0.25  # plan at least so often: due times and suspensions pass unnoticed
TICKET_MARGIN_S = 0.3  # a ticket must outlive the order's way to the host
LISTING_GRACE_S = 2.5
_DEFAULT_TARGET_S = 1.0


class Planner:
    """Plan whenever something has changed."""

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self.changed = Event()
        self._report = WaitReport(term.metrics)
        self._calls = AdviceCalls(term, self.changed)
        self._took_s = 0.0

    def run(self) -> None:
        """Plan until the term ends."""
        while True:
            self.changed.wait(IDLE_S)
            gevent.sleep(max(GATHER_S, GATHER_SHARE * self._took_s))
            self.changed.clear()
            if self._term.may_order:
                began = steady_s()
                self.plan_once()
                self._took_s = steady_s() - began

    def plan_once(self) -> None:
        """Place what fits now, and ask for the advice that is missing."""
        began = steady_s()
        term = self._term
        config = term.config.current
        steps = self._eligible(began, unix_ms())
        if not steps:
            return
        by_service: dict[str, list[StepRun]] = {}
        for step in steps:
            by_service.setdefault(_service(step, config), []).append(step)
        teams = _team_room(config, term.book.used_by_team)
        for service, group in by_service.items():
            spaces = self._spaces(service, began)
            self._plan_service(config, began, group, spaces, teams)
        term.metrics.observe("plan_seconds", steady_s() - began)

    def _eligible(self, now: float, now_ms: int) -> list[StepRun]:
        term = self._term
        confirmed = term.ownership.confirmed_by_store_at
        ranked = []
        for step in term.book.open_steps.values():
            job = step.job
            if job.final or step.due_ms > now_ms:
                continue
            if not job.found_at_take_over and job.learned_at > confirmed:
                continue
            waiting = step.waiting
            if not waiting or (step.spec.gang and len(waiting) < len(step.tasks)):
                continue
            ranked.append((self._urgency(step, now), job.accepted.job, id(step), step))
        ranked.sort()
        return [row[-1] for row in ranked]

    def _urgency(self, step: StepRun, now: float) -> Urgency:
        job = step.job
        steps = job.accepted.spec.steps
        slack = job.queue.slack_factor if job.queue else 1.0
        target = job.queue.target_s if job.queue else _DEFAULT_TARGET_S
        return urgency(
            now,
            job.submitted_at,
            objective_s(steps, slack, target),
            critical_paths_s(steps)[step.number],
            job.beyond_share,
        )

    def _spaces(self, service: str, now: float) -> list[HostSpace]:
        sessions = [
            session
            for session in self._term.sessions.values()
            if session.info.service == service
        ]
        mean = fleet_mean_slowness(session.pace for session in sessions)
        return [
            _space(session, mean)
            for session in sessions
            if session.accepts_starts(now, LISTING_GRACE_S)
        ]

    def _plan_service(
        self,
        config: ClusterConfig,
        now: float,
        steps: list[StepRun],
        spaces: list[HostSpace],
        teams: TeamQuotas,
    ) -> None:
        result = plan([_demand(step, now) for step in steps], spaces, teams)
        self._send(result.placements)
        self._report.note(result, steps, now)
        self._calls.make(advice_requests(result.waiting, spaces, teams), spaces, now)

    def _send(self, placements: tuple[Placement, ...]) -> None:
        term = self._term
        gang_attempts: dict[int, int] = {}
        for placement in placements:
            step: StepRun = placement.key
            task = step.tasks[placement.task]
            attempt = gang_attempts.get(id(step))
            if attempt is None:
                members = step.tasks if step.spec.gang else [task]
                attempt = term.book.next_attempt(members)
                if step.spec.gang:
                    gang_attempts[id(step)] = attempt
            step.unplaced_since = None
            session = term.sessions[placement.host]
            term.book.bind(task, session.host, attempt, TaskPhase.STARTING)
            session.assigned_tasks[task] = None
            session.start(task)


def _service(step: StepRun, config: ClusterConfig) -> str:
    """Return the service of the step's queue now, or at submission if it is gone."""
    queue = config.queue_named(step.job.accepted.queue)
    if queue is not None:
        step.job.queue = queue
        return queue.service
    return step.job.accepted.service


def _space(session: HostSession, fleet_mean: float) -> HostSpace:
    free = session.info.capacity - session.used
    return HostSpace(
        host=session.host,
        cpu_m=free.cpu_m,
        memory_mb=free.memory_mb,
        accelerators=free.accelerators,
        total=session.info.capacity,
        rack=session.info.rack,
        labels=session.info.labels,
        risk=session.trust.risk,
        slowness=slowness(session.pace, fleet_mean),
    )


def _team_room(config: ClusterConfig, used: dict[str, Resources]) -> TeamQuotas:
    limits = {
        name: team.limit
        for name, team in config.teams.items()
        if team.limit != NO_RESOURCES
    }
    left = {
        name: limit - used.get(name, NO_RESOURCES) for name, limit in limits.items()
    }
    return TeamQuotas(left, limits)


def _demand(step: StepRun, now: float) -> Demand:
    waiting = step.waiting
    placed: dict[str, int] = {}
    if step.spec.max_per_host:
        for task in step.tasks:
            if task.host:
                placed[task.host] = placed.get(task.host, 0) + 1
    allowed, expired, refused = None, frozenset(), frozenset()
    if step.job.queue and step.job.queue.advice:
        allowed = frozenset(
            host
            for host, ticket in step.tickets.items()
            if ticket.valid_until - now > TICKET_MARGIN_S
        )
        known = step.allowed or frozenset()
        expired, refused = known - allowed, step.asked - known
    return Demand(
        key=step,
        team=step.job.accepted.team,
        need=step.spec.need,
        tasks=[task.id.index for task in waiting],
        gang=step.spec.gang,
        label=step.spec.label,
        data_rack=step.spec.data_rack,
        one_rack=step.spec.one_rack,
        max_per_host=step.spec.max_per_host,
        failed_on={task.id.index: task.failed_on for task in waiting if task.failed_on},
        allowed=allowed,
        expired=expired,
        refused=frozenset(refused),
        may_ask=not step.advising and now - step.advised_at >= READVISE_S,
        placed=placed,
        estimate_s=step.spec.estimate_s,
    )
