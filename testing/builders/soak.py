"""Build records of a soak, and the plans of one."""

from primrosehub_standins.soak.plan import CutNodes, CutOwner, CutZone
from primrosehub_standins.soak.record import Disruption, Record, Run, SentJob

JOB = "5c0e7a21d94b36f8"


def a_sent_job(job=JOB, **fields):
    """Return an accepted job of two steps; what is shown last is shown to the end."""
    values = {
        "tasks": (1, 1),
        "cpu_m": (1000, 1000),
        "after": ((), (0,)),
        "accepted_at": 0.0,
        "state": "completed",
    }
    values |= fields
    return SentJob(job, **({"later_state": values["state"]} | values))


def a_late_job(**fields):
    """Return a job that was at work when it was asked for, and completed later."""
    return a_sent_job(**({"state": "running", "later_state": "completed"} | fields))


def a_run(started_at=1.0, ended_at=2.0, how="done", step=0, host="i-0", **fields):
    values = {"attempt": 1, "epoch": 1, "task": f"{JOB}.0.{step}.0"} | fields
    return Run(host=host, started_at=started_at, ended_at=ended_at, how=how, **values)


def a_disruption(began_at, ended_at, node="hub-0"):
    return Disruption(node, began_at, ended_at, "killed")


def an_isolation(kind, **fields):
    """Return the part of a plan's file that lists one isolation."""
    return {"troubles": [{"kind": kind, "at_s": 1, "for_s": 12} | fields]}


def a_record(*entries, **fields):
    """Return a record of a job that holds all rules, changed by the entries."""
    runs = [one for one in entries if isinstance(one, Run)]
    jobs = [one for one in entries if isinstance(one, SentJob)] or [a_sent_job()]
    looks = {"host_count": 2, "asked_at": 100.0, "looked_until": 110.0}
    return Record(
        jobs={job.id: job for job in jobs},
        runs=runs or [a_run(), a_run(2.5, 3.0, step=1)],
        disruptions=[one for one in entries if isinstance(one, Disruption)],
        owners={1: "hub-0", 2: "hub-1"},
        capacity_m=8000,
        **(looks | fields),
    )


def a_cut_zone(zone, **fields):
    return CutZone(1.0, zone, 12.0, **fields)


def a_cut_owner(daemons, hosts, **fields):
    return CutOwner(1.0, daemons, hosts, 12.0, **fields)


def a_cut_nodes(daemons, hosts, **fields):
    return CutNodes(1.0, daemons, hosts, 12.0, **fields)
