"""Assign the tasks of waiting steps to worker hosts and send the start orders."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from primrosehub.core.clusterconfig import ClusterConfig
from primrosehub.core.resources import NO_RESOURCES, total
from primrosehub.kernel.clock import steady_s, unix_ms
from primrosehub.policy.advice_need import AdviceRequest, advice_requests
from primrosehub.policy.host_pace import fleet_mean_slowness, slowness
from primrosehub.policy.look_budget import LookBudget
from primrosehub.policy.packing import (
    Demand,
    HostSpace,
    Placement,
    TeamQuotas,
    plan,
)
from primrosehub.policy.urgency import Urgency, critical_paths_s, objective_s, urgency
from primrosehub.services._advice_calls import READVISE_INTERVAL_S, AdviceCalls
from primrosehub.services._host_session import HostSession
from primrosehub.services._job_book import StepRun, TaskPhase
from primrosehub.services._wait_report import WaitReport

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

BATCH_DELAY_S = 0.004  # changes within this time are planned together
# Waiting three times as long as the last plan took limits planning to a quarter of the
# time.
BATCH_DELAY_FACTOR = 3.0
# Due times and the ends of host suspensions set no event, so the planner also runs at
# this interval.
MAX_PLAN_INTERVAL_S = 0.25
MIN_TICKET_VALIDITY_S = 0.3  # a ticket must still be valid when the host gets the order
UNLISTED_GRACE_S = 2.5  # a host that is no longer listed gets starts for this long
_DEFAULT_TARGET_S = 1.0  # for a job whose queue is not in the configuration


class Planner:
    """Compute a plan after each change of jobs, hosts or advice.

    ``changed`` is set by whatever changes them.
    """

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self.changed = Event()
        self._wait_report = WaitReport(term.metrics)
        self._advice_calls = AdviceCalls(term, self.changed)
        self._last_plan_s = 0.0
        # Each by service; they remember where a pass over many steps has ended.
        self._plan_budgets: defaultdict[str, LookBudget] = defaultdict(LookBudget)
        self._advice_budgets: defaultdict[str, LookBudget] = defaultdict(LookBudget)

    def run(self) -> None:
        """Plan until the term ends."""
        while True:
            self.changed.wait(MAX_PLAN_INTERVAL_S)
            gevent.sleep(max(BATCH_DELAY_S, BATCH_DELAY_FACTOR * self._last_plan_s))
            self.changed.clear()
            if self._term.may_order:
                began = steady_s()
                self.plan_once()
                self._last_plan_s = steady_s() - began

    def plan_once(self) -> None:
        """Start the tasks that fit now and ask for the advice that is missing."""
        began = steady_s()
        term = self._term
        config = term.config.current
        steps = self._eligible(began, unix_ms())
        if not steps:
            self._advice_calls.make(iter(()))
            return
        by_service: dict[str, list[StepRun]] = {}
        for step in steps:
            by_service.setdefault(_service_of(step, config), []).append(step)
        quotas = _team_quotas(config, term)
        requests = []
        for service, service_steps in by_service.items():
            spaces = self._host_spaces(service, began)
            requests.append(
                self._plan_service(service, began, service_steps, spaces, quotas)
            )
        self._advice_calls.make(chain.from_iterable(requests))
        term.metrics.observe("plan_seconds", steady_s() - began)

    def _eligible(self, now: float, now_ms: int) -> list[StepRun]:
        """Return the steps that may start tasks now, in the order of service.

        A job learned during the term is eligible only after the store has confirmed
        the ownership since. A gang step is eligible only if all its tasks wait.
        """
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

    def _host_spaces(self, service: str, now: float) -> list[HostSpace]:
        sessions = [
            session
            for session in self._term.sessions.values()
            if session.info.service == service
        ]
        mean = fleet_mean_slowness(session.pace for session in sessions)
        return [
            _host_space(session, mean)
            for session in sessions
            if session.accepts_starts(now, UNLISTED_GRACE_S)
        ]

    def _plan_service(
        self,
        service: str,
        now: float,
        steps: list[StepRun],
        spaces: list[HostSpace],
        quotas: TeamQuotas,
    ) -> Iterator[tuple[AdviceRequest, list[HostSpace]]]:
        """Send the start orders of a service; return the requests for advice."""
        demands = [_demand(step, now) for step in steps]
        result = plan(demands, spaces, quotas, self._plan_budgets[service])
        self._send(result.placements)
        self._wait_report.note(result, steps, now)
        requests = advice_requests(
            result.waiting, spaces, quotas, self._advice_budgets[service]
        )
        return ((request, spaces) for request in requests)

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


def _service_of(step: StepRun, config: ClusterConfig) -> str:
    """Return the service of the step's queue.

    If the queue no longer exists, return its service at the job's submission.
    """
    queue = config.queue_named(step.job.accepted.queue)
    if queue is not None:
        step.job.queue = queue
        return queue.service
    return step.job.accepted.service


def _host_space(session: HostSession, fleet_mean: float) -> HostSpace:
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
        long_running=total(
            task.step.spec.need
            for task in session.assigned_tasks
            if task.step.spec.long_running
        ),
    )


def _team_quotas(config: ClusterConfig, term: OwnerTerm) -> TeamQuotas:
    """Return what each limited team may still start.

    What may run on hosts that an unsettled term has not reached counts as used.
    """
    limits = {
        name: team.limit
        for name, team in config.teams.items()
        if team.limit != NO_RESOURCES
    }
    book = term.book
    possibly = book.possibly_used_by_team() if limits and not term.settled else {}
    remaining = {
        name: limit
        - book.used_by_team.get(name, NO_RESOURCES)
        - possibly.get(name, NO_RESOURCES)
        for name, limit in limits.items()
    }
    return TeamQuotas(remaining, limits, book.long_running_by_team)


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
            if ticket.valid_until - now > MIN_TICKET_VALIDITY_S
        )
        ever_allowed = step.allowed_hosts or frozenset()
        expired, refused = ever_allowed - allowed, step.hosts_asked_about - ever_allowed
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
        may_ask=not step.advice_pending
        and now - step.advised_at >= READVISE_INTERVAL_S,
        placed=placed,
        estimate_s=step.spec.estimate_s,
    )
