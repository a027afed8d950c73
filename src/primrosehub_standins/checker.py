"""Check a run against the stand-ins' journals and the callers' own records.

The checker uses no data from the daemons, only what worker hosts and backend servers
recorded and which answers callers received.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Event = dict[str, Any]
TaskId = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Hold what the caller of a quick request sent and received.

    ``not_run`` is the answer's claim that the request was not run, if it made one.
    """

    id: str
    status: int
    sent: bytes
    received: bytes
    idempotent: bool = True
    not_run: bool | None = None


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Hold the last state that a caller read of a job."""

    id: str
    state: str
    tasks: int
    idempotent: bool = True
    is_service: bool = False


def check_workers(
    events: Iterable[Event], capacities: Mapping[str, Mapping[str, int]]
) -> list[str]:
    """Return each overload of a worker host and each task that ran in two places."""
    violations: list[str] = []
    running: dict[TaskId, tuple[str, int]] = {}
    used: dict[str, Counter[str]] = defaultdict(Counter)
    sizes: dict[tuple[str, int, int], dict[str, int]] = {}
    for event in sorted(events, key=lambda event: event["at"]):
        if event["event"] not in ("start", "end"):
            continue
        job, index, attempt = event["ref"]
        host = event["host"]
        if event["event"] == "start":
            if (job, index) in running:
                violations.append(
                    f"task {job}/{index} started on {host} while it ran on "
                    f"{running[job, index][0]}"
                )
            running[job, index] = (host, attempt)
            sizes[job, index, attempt] = event["size"]
            used[host].update(event["size"])
            for name, amount in used[host].items():
                if amount > capacities[host].get(name, 0):
                    violations.append(f"{host} was assigned {amount} of {name}")
        else:
            running.pop((job, index), None)
            used[host].subtract(sizes[job, index, attempt])
    return violations


def check_jobs(events: Iterable[Event], jobs: Iterable[JobRecord]) -> list[str]:
    """Return each job whose reported state contradicts the worker hosts' journals."""
    starts: Counter[TaskId] = Counter()
    successes: Counter[TaskId] = Counter()
    for event in events:
        if event["event"] in ("start", "end"):
            job, index, _ = event["ref"]
            starts[job, index] += event["event"] == "start"
            successes[job, index] += event.get("outcome") == "succeeded"
    violations = []
    for job in jobs:
        for index in range(job.tasks):
            task = (job.id, index)
            if job.state == "succeeded" and successes[task] != 1:
                violations.append(
                    f"task {job.id}/{index} was reported succeeded but succeeded "
                    f"{successes[task]} times"
                )
            if not job.idempotent and starts[task] > 1:
                violations.append(
                    f"task {job.id}/{index} may run only once but ran more often"
                )
    return violations


def check_limits(
    events: Iterable[Event],
    team_of_job: Mapping[str, str],
    limits: Mapping[str, Mapping[str, int]],
) -> list[str]:
    """Return each start that took a team's usage over its upper limit."""
    violations = []
    used: dict[str, Counter[str]] = defaultdict(Counter)
    sizes: dict[tuple[Any, ...], dict[str, int]] = {}
    for event in sorted(events, key=lambda event: event["at"]):
        if event["event"] not in ("start", "end"):
            continue
        ref = tuple(event["ref"])
        team = team_of_job[ref[0]]
        if event["event"] == "start":
            sizes[ref] = event["size"]
            used[team].update(event["size"])
            for name, amount in used[team].items():
                if amount > limits[team].get(name, 0):
                    violations.append(f"team {team} used {amount} of {name}")
        else:
            used[team].subtract(sizes[ref])
    return violations


def check_calls(events: Iterable[Event], calls: Iterable[CallRecord]) -> list[str]:
    """Return each call whose answer contradicts the backend servers' journals."""
    begins = Counter(event["id"] for event in events if event["event"] == "begin")
    violations = []
    for call in calls:
        if call.status == 200:
            if not begins[call.id]:
                violations.append(f"call {call.id} was answered but never ran")
            if call.sent and call.received != call.sent:
                violations.append(f"call {call.id} got a wrong or partial answer")
        if call.not_run and begins[call.id]:
            violations.append(f"call {call.id} was reported not run but ran")
        if not call.idempotent and begins[call.id] > 1:
            violations.append(
                f"call {call.id} may run only once but ran {begins[call.id]} times"
            )
    return violations
