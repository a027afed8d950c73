"""The callers of a soak: each sends one job, asks again, and may cancel it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import gevent
import orjson

from primrosehub.border.http_client import Response
from primrosehub.kernel.clock import steady_s
from primrosehub_standins.hub_cell import API_KEY, HOST_NAME, PREFIX
from primrosehub_standins.soak.cell import SoakCell
from primrosehub_standins.soak.lost import WORKING_STATES
from primrosehub_standins.soak.plan import Plan
from primrosehub_standins.soak.record import SentJob

ATTEMPTS = 5  # a caller's first attempt and its four retries
RETRY_S = 0.4
MAX_CANCEL_ATTEMPTS = 10
LOOK_ON_S = 10.0  # at jobs that are still at work when they are asked for
CANCEL_AFTER_S = (None, None, 0.0, 0.05, 0.5, 2.0, 4.0)
_ACCEPTED, _REJECTED, _CANCELLED = (200,), (404, 429, 503), (200, 410)
_LONG = "run 20"  # beyond the leases of hosts that are cut off
_ENDS_IN_TIME = ("run 0.1", "run 0.4", "run 1", "run 3", "run 6")


@dataclass(frozen=True, slots=True)
class Draft:
    """Hold what a caller is going to send."""

    body: bytes
    job: SentJob
    cancel_after_s: float | None
    submit_twice: bool


def draw_job(choices: random.Random, job_id: str, long: bool = False) -> Draft:
    """Return a job of a kind that callers send."""
    first = _step(choices.randint(1, 4), choices.choice((500, 2000, 4000)))
    match choices.choice(("quick", "batch", "chain", "gang")):
        case "quick":
            steps = [_step(1, 1000)]
        case "batch":
            steps = [first]
        case "chain":
            steps = [first, _step(2, 1000) | {"after": [0]}]
        case _:
            steps = [first | {"gang-scheduled": True}]
    spec = choices.choice(_ENDS_IN_TIME)
    body = orjson.dumps({"spec": _LONG if long else spec, "phases": steps})
    job = SentJob(
        job_id,
        tasks=tuple(step["count"] for step in steps),
        cpu_m=tuple(step["cpu"] for step in steps),
        after=tuple(tuple(step.get("after", ())) for step in steps),
        gang="gang-scheduled" in steps[0],
    )
    return Draft(body, job, choices.choice(CANCEL_AFTER_S), choices.random() < 0.1)


def _step(count: int, cpu_m: int) -> dict[str, Any]:
    return {"count": count, "cpu": cpu_m, "mem-mb": 64, "estimated-runtime-ms": 500}


class Clients:
    """Send the jobs of a plan at their times."""

    def __init__(self, cell: SoakCell, plan: Plan) -> None:
        self._cell = cell
        self._plan = plan
        self._choices = random.Random(f"jobs of {plan.seed}")
        self._long_choices = random.Random(f"long jobs of {plan.seed}")
        self._calls: list[gevent.Greenlet] = []

    def send(self) -> None:
        """Begin new jobs for the plan's time, then wait until each caller is done."""
        end = steady_s() + self._plan.seconds
        while steady_s() < end:
            long = self._long_choices.random() < self._plan.long_share
            draft = draw_job(self._choices, self._cell.cell.new_id(), long)
            self._cell.record.jobs[draft.job.id] = draft.job
            self._calls.append(gevent.spawn(self._play, draft))
            gevent.sleep(self._choices.expovariate(self._plan.jobs_per_s))
        gevent.joinall(self._calls)

    def read_states(self) -> None:
        """Ask for each accepted job, and again for those that are still at work."""
        record = self._cell.record
        record.asked_at = steady_s()
        for job in record.jobs.values():
            if job.accepted_at is not None and not job.cancel_sent:
                job.state = self._read_state(job)
        late = [job for job in record.jobs.values() if job.state in WORKING_STATES]
        if late:
            gevent.sleep(LOOK_ON_S)
        record.looked_until = steady_s()
        for job in late:
            job.later_state = self._read_state(job)

    def _play(self, draft: Draft) -> None:
        if not self._submit(draft):
            return
        if draft.submit_twice:
            self._call("POST", draft.job.id, draft.body)
        if draft.cancel_after_s is not None:
            gevent.sleep(draft.cancel_after_s)
            self._cancel(draft.job)

    def _submit(self, draft: Draft) -> bool:
        statuses = []
        for _ in range(ATTEMPTS):
            answer = self._call("POST", draft.job.id, draft.body)
            statuses.append(answer.status if answer else 0)
            if statuses[-1] in _ACCEPTED:
                draft.job.accepted_at = steady_s()
                return True
            gevent.sleep(RETRY_S)
        draft.job.rejected = all(status in _REJECTED for status in statuses)
        return False

    def _cancel(self, job: SentJob) -> None:
        job.cancel_sent = True
        for _ in range(MAX_CANCEL_ATTEMPTS):
            answer = self._call("DELETE", job.id)
            if answer is not None and answer.status in _CANCELLED:
                job.cancelled_at = steady_s()
                return
            gevent.sleep(RETRY_S)

    def _read_state(self, job: SentJob) -> str:
        shown = ""
        for _ in range(ATTEMPTS):
            answer = self._call("GET", job.id)
            if answer is not None and answer.status == 200:
                return orjson.loads(answer.body)["state"]
            shown = str(answer.status) if answer else "no answer"
            gevent.sleep(RETRY_S)
        return shown

    def _call(self, method: str, job_id: str, body: bytes = b"") -> Response | None:
        serving = self._cell.serving
        if not serving:
            return None
        daemon = self._choices.choice(serving)
        return self._cell.call(
            daemon.settings.callers,
            method,
            PREFIX + job_id,
            body,
            Host=HOST_NAME,
            Authorization=f"Bearer {API_KEY}",
        )
