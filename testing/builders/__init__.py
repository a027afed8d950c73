"""Build test data; a test passes only the fields that matter to it."""

import hashlib

from primrosehub.core.members import Member
from primrosehub.core.platform import Host
from primrosehub.core.resources import Resources
from primrosehub.core.work import (
    AllAtOnce,
    Batch,
    Job,
    JobSpec,
    Service,
    Task,
    WorkKind,
)

SECRET = "test-secret"


def a_size(cpus=1, memory_gb=1, accelerators=0):
    return Resources(cpus * 1000, memory_gb * 1024, accelerators)


def a_batch(runtime_s=60.0):
    return Batch("batch", runtime_s)


def an_all_at_once(runtime_s=60.0):
    return AllAtOnce("all_at_once", runtime_s)


def a_service():
    return Service("service")


def a_job_spec(team="blue", work: WorkKind | None = None, tasks=1, **fields):
    fields.setdefault("size", a_size())
    return JobSpec(
        team=team,
        queue="q",
        work=work or a_batch(),
        tasks=tasks,
        command="sleep 1",
        **fields,
    )


def a_job(name="blue.1", submitted_s=0.0, states=None, **spec):
    team = name.partition(".")[0]
    tasks = spec.pop("tasks", 1)
    return Job(
        id=name,
        spec=a_job_spec(team=team, tasks=tasks, **spec),
        digest="",
        shard="region-1-000",
        submitted_s=submitted_s,
        tasks=tuple(states or (Task(index) for index in range(tasks))),
    )


def a_member(name="scheduler-1", role="scheduler", **fields):
    return Member(
        name=name,
        incarnation=f"i-{name}",
        role=role,
        peer_address="127.0.0.1:1",
        zone="zone-1",
        **fields,
    )


def a_worker(name="worker-1", capacity=None, rack="rack-1", **fields):
    return Host(
        name=name,
        kind="worker",
        ip="127.0.0.1",
        port=1,
        zone="zone-1",
        rack=rack,
        capacity=capacity or a_size(8, 16),
        **fields,
    )


def a_rule_file(secret=SECRET, cpus=16):
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return f"""\
team blue share=2 cpus={cpus} memory_gb=64  # Tests: the usual team
team green share=1 cpus=8 memory_gb=32  # Tests: another team
key sha256:{digest} team=blue  # Tests: blue's key
key sha256:{hashlib.sha256(b"green").hexdigest()} team=green  # Tests: green's key
service quotes teams=blue deadline_ms=3000  # Tests: quick work
service hints open team=green  # Tests: for everyone
queue nightly teams=blue  # Tests: blue's batch work
queue suggestions open team=green  # Tests: for everyone
default batch cpus=1 memory_gb=1 runtime_s=60  # Tests: small tasks
"""


def a_submission(**fields):
    return {"queue": "nightly", "kind": "batch", "command": "sleep 0.1"} | fields


def a_journal_event(event, at, task=0, attempt=1, host="w1", cpus=1, **fields):
    """Return a worker host's journal line about a task of job blue.1."""
    return {
        "event": event,
        "at": at,
        "host": host,
        "ref": ["blue.1", task, attempt],
        "size": {"cpu_m": cpus * 1000},
        **fields,
    }
