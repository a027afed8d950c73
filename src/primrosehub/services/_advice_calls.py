"""Call for advice about waiting steps, with at most one call per available daemon."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from gevent.event import Event

from primrosehub.core.clusterconfig import AdviceCost
from primrosehub.core.fleet import AdviceCause, Ticket
from primrosehub.core.logs import log
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.advice_choice import hosts_to_ask_about
from primrosehub.policy.advice_need import AdviceRequest
from primrosehub.policy.packing import QUICK_S, HostSpace
from primrosehub.services._job_book import StepRun

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

READVISE_INTERVAL_S = 0.3  # the minimum time between calls for the same step


class AdviceCalls:
    """Make calls in separate tasks and count those in progress.

    The event ``answered`` is set when a call ends. Requests beyond the limit are not
    queued here: the next plan makes them again, in the order of service at that time.
    """

    def __init__(self, term: OwnerTerm, answered: Event) -> None:
        self._term = term
        self._answered = answered
        self._under_way = 0

    def make(
        self, requests: Iterator[AdviceRequest], spaces: list[HostSpace], now: float
    ) -> None:
        """Make calls for the first requests, up to one per available daemon."""
        max_calls = self._term.advising.available_daemons
        while (
            self._under_way < max_calls
            and (request := next(requests, None)) is not None
        ):
            self._make_call(request, spaces, now)

    def _make_call(
        self, request: AdviceRequest, spaces: list[HostSpace], now: float
    ) -> None:
        step: StepRun = request.key
        allowed_hosts = step.allowed_hosts or frozenset()
        if request.hosts and request.hosts <= allowed_hosts:
            self._spawn(step, sorted(allowed_hosts), AdviceCause.RENEWAL, now)
            return
        cause = (
            AdviceCause.FIRST if step.allowed_hosts is None else AdviceCause.MORE_HOSTS
        )
        hosts = hosts_to_ask_about(
            step.spec.need,
            len(step.waiting),
            step.spec.label,
            step.spec.estimate_s < QUICK_S,
            spaces,
            step.hosts_asked_about,
            request.hosts,
            step.job.queue.advice,
        )
        if hosts:
            self._spawn(step, hosts, cause, now)

    def _spawn(
        self, step: StepRun, hosts: list[str], cause: AdviceCause, now: float
    ) -> None:
        step.advice_pending, step.advised_at = True, now
        self._under_way += 1
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
            step.advice_pending = False
            self._under_way -= 1
            self._answered.set()
        step.advised_at = steady_s()
        if advice is None:
            return
        step.hosts_asked_about.update(hosts)
        valid_until = step.advised_at + (advice.valid_s or cost.valid_s)
        for host, value in advice.tickets.items():
            step.tickets[host] = Ticket(value, valid_until)
        step.allowed_hosts = (step.allowed_hosts or frozenset()) | frozenset(
            advice.tickets
        )
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
