"""Call for advice about waiting steps, with at most one call per available daemon."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from gevent.event import Event

from primrosehub.core.clusterconfig import AdviceCost
from primrosehub.core.fleet import AdviceCause, Ticket
from primrosehub.core.logs import log
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.advice_choice import (
    LONG_CALL_S,
    hosts_to_ask_about,
    may_call,
)
from primrosehub.policy.advice_need import AdviceRequest
from primrosehub.policy.packing import QUICK_S, HostSpace
from primrosehub.services._job_book import StepRun

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

READVISE_INTERVAL_S = 0.3  # the minimum time between calls for the same step


class AdviceCalls:
    """Make calls in separate tasks and count those in progress.

    The event ``answered`` is set when a call ends. The daemon that made it then makes
    the next call of the last plan, because a new plan may take a few calls' time.
    """

    def __init__(self, term: OwnerTerm, answered: Event) -> None:
        self._term = term
        self._answered = answered
        self._requests: Iterator[tuple[AdviceRequest, list[HostSpace]]] = iter(())
        self._under_way = 0
        self._long_under_way = 0

    def make(self, requests: Iterator[tuple[AdviceRequest, list[HostSpace]]]) -> None:
        """Replace the requests of the last plan and make calls for the first ones.

        ``requests`` are in the order of service, each with the hosts' free room.
        """
        self._requests = requests
        self._make_next_calls()

    def _make_next_calls(self) -> None:
        """Make calls for the next requests, up to one per available daemon.

        Long calls are limited by the daemons that stay, as they outlast the others.
        """
        daemons = self._term.advising.available_daemons
        staying = self._term.advising.staying_daemons
        while (
            self._under_way < daemons
            and (following := next(self._requests, None)) is not None
        ):
            request, spaces = following
            step: StepRun = request.key
            if step.job.final or not step.waiting:
                continue  # since the plan
            cause, hosts = _cause_and_hosts(request, spaces)
            cost = step.job.queue.advice
            call_s = cost.call_s(len(hosts))
            if hosts and may_call(call_s, self._long_under_way, staying):
                step.advice_pending, step.advised_at = True, steady_s()
                self._under_way += 1
                self._long_under_way += call_s >= LONG_CALL_S
                self._term.tasks.spawn("advice", self._call, step, cost, hosts, cause)

    def _call(
        self, step: StepRun, cost: AdviceCost, hosts: list[str], cause: AdviceCause
    ) -> None:
        self._advise(step, cost, hosts, cause)
        if self._term.may_order:
            self._make_next_calls()

    def _advise(
        self, step: StepRun, cost: AdviceCost, hosts: list[str], cause: AdviceCause
    ) -> None:
        began = steady_s()
        call_s = cost.call_s(len(hosts))
        try:
            advice = self._term.advising.advise(
                step.job.accepted.job,
                step.occurrence,
                step.number,
                hosts,
                call_s,
            )
        finally:
            step.advice_pending = False
            self._under_way -= 1
            self._long_under_way -= call_s >= LONG_CALL_S
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


def _cause_and_hosts(
    request: AdviceRequest, spaces: list[HostSpace]
) -> tuple[AdviceCause, list[str]]:
    """Return why advice is needed, and which hosts to ask about."""
    step: StepRun = request.key
    allowed_hosts = step.allowed_hosts or frozenset()
    if request.hosts and request.hosts <= allowed_hosts:
        return AdviceCause.RENEWAL, sorted(allowed_hosts)
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
    if step.allowed_hosts is None:
        return AdviceCause.FIRST, hosts
    return AdviceCause.MORE_HOSTS, hosts
