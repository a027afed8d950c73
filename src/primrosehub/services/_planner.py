"""Turn waiting steps into orders: gather demands, plan, bind and send."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from primrosehub.core.clusterconfig import AdviceCost, ClusterConfig
from primrosehub.core.fleet import AdviceCause, Ticket
from primrosehub.core.logs import log
from primrosehub.core.resources import NOTHING, Resources
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.policy.advice_choice import hosts_to_name
from primrosehub.policy.advice_need import AdviceWanted, wanted_advice
from primrosehub.policy.host_pace import relative_slowness, slowness
from primrosehub.policy.packing import (
    QUICK_S,
    Demand,
    HostSpace,
    Placement,
    TeamRoom,
    plan,
)
from primrosehub.policy.urgency import Urgency, chain_after, objective_s, urgency
from primrosehub.services._host_session import HostSession
from primrosehub.services._job_book import StepRun, TaskPhase
from primrosehub.services._wait_report import WaitReport

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

GATHER_S = 0.004  # changes within this time share a plan
GATHER_SHARE = 3.0  # of a plan's own time, so that plans take a quarter of the time
IDLE_S = 0.25  # plan at least so often: due times and suspensions pass unnoticed
TICKET_MARGIN_S = 0.3  # a ticket must outlive the order's way to the host
READVISE_S = 0.3  # between calls for one step
LISTING_GRACE_S = 2.5
_DEFAULT_TARGET_S = 1.0


class Planner:
    """Plan whenever something has changed."""

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self.changed = Event()
        self._report = WaitReport(term.metrics)
        self._calls = 0
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
            chain_after(steps)[step.number],
            job.beyond_share,
        )

    def _spaces(self, service: str, now: float) -> list[HostSpace]:
        sessions = [
            session
            for session in self._term.sessions.values()
            if session.info.service == service
        ]
        mean = relative_slowness(session.pace for session in sessions)
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
        teams: TeamRoom,
    ) -> None:
        demands = []
        for step in steps:
            demands.append(_demand(step, now))
        result = plan(demands, spaces, teams)
        term = self._term
        self._send(result.placements)
        self._report.note(result, steps, now)
        most = term.advising.callers
        wanted = wanted_advice(result.waiting, spaces, teams)
        while self._calls < most and (one := next(wanted, None)) is not None:
            self._ask_for(one, spaces, now)

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
            session.bound[task] = None
            session.start(task)

    def _ask_for(
        self, wanted: AdviceWanted, spaces: list[HostSpace], now: float
    ) -> None:
        step: StepRun = wanted.key
        known = step.allowed or frozenset()
        if wanted.hosts and wanted.hosts <= known:
            self._ask(step, sorted(known), AdviceCause.RENEWAL, now)
            return
        cause = AdviceCause.FIRST if step.allowed is None else AdviceCause.MORE_HOSTS
        hosts = hosts_to_name(
            step.spec.need,
            len(step.waiting),
            step.spec.label,
            step.spec.estimate_s < QUICK_S,
            spaces,
            step.asked,
            step.job.queue.advice,
        )
        if hosts:
            self._ask(step, hosts, cause, now)

    def _ask(
        self, step: StepRun, hosts: list[str], cause: AdviceCause, now: float
    ) -> None:
        step.advising, step.advised_at = True, now
        self._calls += 1
        cost = step.job.queue.advice
        self._term.tasks.spawn("advice", self._advise, step, cost, hosts, cause)

    def _advise(
        self, step: StepRun, cost: AdviceCost, hosts: list[str], cause: AdviceCause
    ) -> None:
        began = steady_s()
        try:
            advice = self._term.advising.advise(
                step.job.accepted.job,
                step.occurrence,
                step.number,
                hosts,
                cost.decide_s + cost.per_host_s * len(hosts),
            )
        finally:
            step.advising = False
            self._calls -= 1
            self.changed.set()
        step.advised_at = steady_s()
        if advice is None:
            return
        step.asked.update(hosts)
        until = step.advised_at + (advice.valid_s or cost.valid_s)
        for host, value in advice.tickets.items():
            step.tickets[host] = Ticket(value, until)
        step.allowed = (step.allowed or frozenset()) | frozenset(advice.tickets)
        self._term.metrics.observe(
            "advice_seconds", step.advised_at - began, cause=str(cause)
        )
        log(
            "advised",
            job=step.job.accepted.job,
            step=step.number,
            cause=cause,
            age_ms=round((step.advised_at - step.job.submitted_at) * 1000),
            asked=len(hosts),
            allowed=len(advice.tickets),
            took_ms=round((step.advised_at - began) * 1000),
        )


def _service(step: StepRun, config: ClusterConfig) -> str:
    """Return the service of the step's queue now, or at submission if it is gone."""
    queue = config.queue_named(step.job.accepted.queue)
    if queue is not None:
        step.job.queue = queue
        return queue.service
    return step.job.accepted.service


def _space(session: HostSession, fleet_mean: float) -> HostSpace:
    free = session.info.room - session.used
    return HostSpace(
        host=session.host,
        cpu_m=free.cpu_m,
        memory_mb=free.memory_mb,
        accelerators=free.accelerators,
        total=session.info.room,
        rack=session.info.rack,
        labels=session.info.labels,
        risk=session.trust.risk,
        slowness=slowness(session.pace, fleet_mean),
    )


def _team_room(config: ClusterConfig, used: dict[str, Resources]) -> TeamRoom:
    limits = {
        name: team.limit for name, team in config.teams.items() if team.limit != NOTHING
    }
    left = {name: limit - used.get(name, NOTHING) for name, limit in limits.items()}
    return TeamRoom(left, limits)


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
