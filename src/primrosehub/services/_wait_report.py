"""Report why steps wait: a log line for each long wait, and totals."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from primrosehub.core.logs import log
from primrosehub.policy.packing import Plan
from primrosehub.services._job_book import StepRun
from primrosehub.services.names import Metrics

# The minimum wait before a step is logged, and the time between two lines of the same
# step and between two totals.
LOG_INTERVAL_S = 1.0
MAX_LOGGED_STEPS = 100  # in each interval, the first in the order of service


class WaitReport:
    """Report waiting steps in the log and the metrics, at a limited rate."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._totals_logged_at = float("-inf")
        self._steps_logged = 0

    def note(self, plan: Plan, steps: Sequence[StepRun], now: float) -> None:
        """Report the waiting demands of a plan.

        ``steps`` are all steps that the plan considered, in the order of service.
        """
        limited = set(plan.limited)
        totals = Counter(team_limit=0, room=0, advice=0, postponed=plan.postponed)
        for demand in plan.waiting:
            if demand.key in limited:
                reason = "team_limit"
            else:
                reason = "room" if demand.may_ask else "advice"
            totals[reason] += 1
            self._log_wait(demand.key, reason, now)
        if now - self._totals_logged_at >= LOG_INTERVAL_S:
            self._totals_logged_at, self._steps_logged = now, 0
            self._report_totals(totals, steps, now)

    def _log_wait(self, step: StepRun, reason: str, now: float) -> None:
        if step.unplaced_since is None:
            step.unplaced_since = now
        if now - max(step.unplaced_since, step.wait_logged_at) < LOG_INTERVAL_S:
            return
        if self._steps_logged >= MAX_LOGGED_STEPS:
            return
        self._steps_logged += 1
        step.wait_logged_at = now
        log(
            "step_waits",
            job=step.job.accepted.job,
            step=step.number,
            tasks=len(step.waiting),
            reason=reason,
            waited_s=round(now - step.unplaced_since, 1),
            advised_hosts=len(step.allowed_hosts or ()),
            advising=step.advice_pending,
        )

    def _report_totals(
        self, totals: Counter[str], steps: Sequence[StepRun], now: float
    ) -> None:
        totals["never_advised"] = sum(_lacks_advice(step) for step in steps)
        for reason, count in totals.items():
            self._metrics.gauge("steps_waiting", count, reason=reason)
        oldest_s = max((now - step.job.submitted_at for step in steps), default=0.0)
        log("steps_waiting", **totals, oldest_s=round(oldest_s, 1))


def _lacks_advice(step: StepRun) -> bool:
    queue = step.job.queue
    return queue is not None and queue.advice is not None and step.allowed_hosts is None
