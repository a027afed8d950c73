"""Build jobs, steps, hosts and reports for tests of the hub's services."""

from dataclasses import replace

from primrosehub.border.codec import encode
from primrosehub.core.batch import AcceptedJob, BatchSpec, StepSpec, TaskId
from primrosehub.core.clusterconfig import (
    AdviceCost,
    ClusterConfig,
    Queue,
    TeamEntitlement,
)
from primrosehub.core.fleet import (
    EndedAttempt,
    EndKind,
    HostReport,
    RunningAttempt,
    WorkerHost,
)
from primrosehub.core.peering import OwnerRow, OwnerSeen, PeerCard, Pong, ReceivedPong
from primrosehub.core.resources import NO_RESOURCES, Resources
from primrosehub.policy.packing import Demand, HostSpace

JOB_ID = "5c0e7a21d94b36f8"


def a_step(tasks=1, cpu_m=1000, **fields):
    fields.setdefault("estimate_s", 1.0)
    return StepSpec(tasks=tasks, need=Resources(cpu_m, 256), **fields)


def an_accepted_job(*steps, job=JOB_ID, team="blue", queue="quotes", at_ms=0, **fields):
    spec = BatchSpec("run 1", steps or (a_step(),), **fields)
    return AcceptedJob(job, team, queue, "workshop", at_ms, spec)


def a_queue(max_attempts=3, **fields):
    values = {
        "name": "quotes",
        "host": "jobs.example",
        "prefix": "/quotes/",
        "service": "workshop",
        "team_required": True,
        "priority": 0,
        "max_attempts": max_attempts,
        "slack_factor": 2.0,
        "target_s": 0.5,
        "timeout_s": 3.0,
    }
    return Queue(**(values | fields))


def an_advice_cost(decide_s=0.01):
    return AdviceCost(decide_s, per_host_s=0.001, valid_s=2.0)


def a_cluster_config(*queues, limit=NO_RESOURCES, weight=100.0):
    team = TeamEntitlement("blue", weight=weight, limit=limit)
    return ClusterConfig(1, queues or (a_queue(),), {"blue": team})


def a_worker_host(name="h1", cpu_m=8000):
    capacity = Resources(cpu_m, 16384)
    return WorkerHost(name, "workshop", "", "north", False, capacity, ("a", "r1"))


def a_task_id(index=0, step=0, job=JOB_ID):
    return TaskId(job, 0, step, index)


def an_ended_attempt(number=1, index=0, attempt=1, kind=EndKind.DONE, step=0):
    return EndedAttempt(number, a_task_id(index, step), attempt, kind, "")


def a_running_attempt(index=0, attempt=1, percent=10, step=0):
    return RunningAttempt(a_task_id(index, step), attempt, "", percent)


def a_report(*entries, clock_ms=1000, born_ms=7):
    runs = tuple(entry for entry in entries if isinstance(entry, RunningAttempt))
    ends = tuple(entry for entry in entries if isinstance(entry, EndedAttempt))
    return HostReport(clock_ms, born_ms, runs, ends)


def a_host_space(host="h1", cpu_m=8000, **fields):
    total = Resources(cpu_m, 16384)
    values = {"rack": "r1", "labels": ("a", "r1")} | fields
    return HostSpace(host, cpu_m, 16384, 0, total, **values)


def a_demand(tasks=1, cpu_m=1000, **fields):
    values = {"key": "step", "team": "blue", "gang": False} | fields
    need = Resources(cpu_m, 256)
    return Demand(need=need, tasks=list(range(tasks)), **values)


def a_peer_card(name, incarnation=None, power=1.0):
    return PeerCard(name, f"{name}:7000", "north", incarnation or f"of-{name}", power)


def an_owner_row(name, epoch=1, incarnation=None, number=0):
    row_incarnation = f"of-{name}" if incarnation is None else incarnation
    return OwnerRow(epoch, row_incarnation, name, number)


def a_heard_pong(
    name,
    age_s,
    owner=None,
    heard_s=1e9,
    incarnation=None,
    power=1.0,
    leaving_s=0.0,
    **state,
):
    row = owner or an_owner_row("hub-1")
    seen = OwnerSeen(row.epoch, row.incarnation, row.name, heard_s)
    values = {"config_version": 1, "store_reached": True} | state
    pong = Pong(a_peer_card(name, incarnation, power), seen, **values)
    return ReceivedPong(pong, age_s, leaving_s)


def pongs_that_know(names, epoch, incarnation):
    """Return pongs of daemons that know this owner."""
    seen = OwnerSeen(epoch, incarnation, "hub-1")
    return [Pong(a_peer_card(name), seen, 1, True) for name in names]


def an_older_builds_news(name, address, incarnation=None, **state):
    """Return the body of a ping or pong, without fields that came later."""
    values = {
        "sender": replace(a_peer_card(name, incarnation), address=address),
        "owner": OwnerSeen(),
        "config_version": 1,
        "store_reached": True,
    }
    return encode(values | state)
