"""Scheduling rules for each kind of job, tested on complete daemons."""

import gevent
import orjson

from primrosehub.border.codec import encode
from primrosehub.core.peering import JobCancelled, Noted, NotOwner
from primrosehub.kernel.clock import unix_ms
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import PREFIX, follower
from testing.builders.cluster import an_accepted_job


def test_a_job_of_two_steps_runs_in_order(start_hubs):
    cell = start_hubs()
    first = {"count": 2, "cpu": 500, "mem-mb": 64}
    job = cell.submit(follower(cell), first, first | {"after": [0]})
    cell.wait_for(follower(cell), job, "completed")
    tasks = [event.task.split(".", 2)[2] for event in cell.starts(job)]
    assert sorted(tasks[:2]) == ["0.0", "0.1"]
    assert sorted(tasks[2:]) == ["1.0", "1.1"]


def test_a_failing_task_ends_its_job_after_the_allowed_attempts(start_hubs):
    cell = start_hubs()
    job = cell.submit(cell.leader(), spec="fail 0.05")
    cell.wait_for(cell.leader(), job, "failed")
    assert len(cell.starts(job)) == 3


def test_all_tasks_of_a_gang_start_together_with_one_attempt_number(start_hubs):
    cell = start_hubs(hosts=2)
    gang = {"count": 4, "cpu": 4000, "mem-mb": 64, "gang-scheduled": True}
    job = cell.submit(cell.leader(), gang, spec="run 0.5")
    cell.wait_for(cell.leader(), job, "completed")
    starts = cell.starts(job)
    assert len(starts) == 4
    assert {event.attempt for event in starts} == {1}
    assert max(e.at for e in starts) - min(e.at for e in starts) < 0.5


# Guards against hosts that stay idle while a gang waits that can never start.
def test_a_late_job_starts_beside_a_gang_that_never_fits(start_hubs):
    cell = start_hubs(hosts=2)
    hopeless = {"count": 5, "cpu": 4000, "mem-mb": 64, "gang-scheduled": True}
    cell.submit(cell.leader(), hopeless)
    gevent.sleep(1.0)  # until the gang is late, and so is the first to be planned
    filling = cell.submit(cell.leader(), {"count": 4, "cpu": 4000}, spec="run 2")
    cell.until(lambda: len(cell.starts(filling)) == 4, "the hosts are not full")
    late = cell.submit(cell.leader(), {"count": 1, "cpu": 4000})
    cell.wait_for(cell.leader(), late, "completed")


# Guards against jobs that count as begun, here and at a take-over, though every start
# of their tasks was refused.
def test_jobs_whose_starts_are_refused_stay_pending(start_hubs):
    cell = start_hubs(hosts=1)
    (host,) = cell.hosts
    host.refuse_starts = True
    first, jobs = cell.leader(), [cell.submit(cell.leader()) for _ in range(3)]
    cell.until(lambda: len(host.refusals) >= len(jobs), "no start is tried")
    gevent.sleep(0.5)  # until the progress is stored
    assert _pending(cell, PREFIX) == len(jobs)
    first.kill()
    assert cell.leader() is not first
    cell.until(lambda: _pending(cell, PREFIX) == len(jobs), "begun at the take-over")
    assert {cell.state(cell.leader(), job) for job in jobs} == {"queued"}
    host.refuse_starts = False
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
    assert _pending(cell, PREFIX) == 0


# Guards against running a job whose cancellation the owner reads from the store first.
def test_a_job_that_is_read_after_its_cancellation_never_starts(start_hubs):
    cell = start_hubs()
    accepted = an_accepted_job(job=cell.new_id(), at_ms=unix_ms())
    cell.store.put_raw("cancel", "hub-0", accepted.job, b"{}")
    gevent.sleep(0.6)  # until the owner has read it
    cell.store.put_raw("job", "hub-0", accepted.job, encode(accepted))
    cell.wait_for(cell.leader(), accepted.job, "cancelled")
    assert cell.starts(accepted.job) == []


# Guards against a cancellation that is told to a daemon that does not own the jobs yet.
def test_a_cancellation_is_told_again_until_an_owner_has_noted_it(start_hubs):
    cell = start_hubs()
    leader, other = cell.leader(), follower(cell)
    job = cell.submit(leader, spec="run 9")
    cell.until(lambda: cell.starts(job), "the job did not start")
    told = []

    def not_owner_at_first(message):
        told.append(message)
        if len(told) == 1:
            return NotOwner()
        leader.kernel.find(cluster.SCHEDULER).cancel(message.job)
        return Noted()

    peering = leader.kernel.find(cluster.PEERING)
    peering.register_handler(JobCancelled, not_owner_at_first)
    assert cell.call(other, "DELETE", PREFIX + job).status == 200
    cell.until(lambda: len(told) == 2, "the owner is not told again")
    gevent.sleep(0.5)
    assert len(told) == 2


def test_a_team_never_runs_more_than_its_limit(start_hubs):
    cell = start_hubs()
    limit = {"cpu": 2000}
    team = {"name": "blue", "api-keys": ["key-of-blue"], "max-count": limit}
    cell.configure(tenants=[team])
    gevent.sleep(0.3)
    steps = {"count": 6, "cpu": 1000, "mem-mb": 16}
    job = cell.submit(cell.leader(), steps, spec="run 0.3")
    most = 0
    while cell.state(cell.leader(), job) != "completed":
        most = max(most, sum(len(host.running()) for host in cell.hosts))
        gevent.sleep(0.02)
    assert most == 2


def test_a_step_starts_only_where_advice_allows_it_and_with_a_ticket(start_hubs):
    cell = start_hubs(hosts=4, advice=True)
    for host in cell.hosts:
        host.requires_ticket = True
    job = cell.submit(cell.leader(), {"count": 6, "cpu": 2000}, spec="run 0.2")
    cell.wait_for(cell.leader(), job, "completed")
    allowed = set(cell.advice.calls[0]["workers"][:2])
    assert {event.host for event in cell.starts(job)} <= allowed
    assert all("ticket" not in host.refusals for host in cell.hosts)


def test_advice_for_a_quick_job_is_asked_for_before_that_for_long_jobs(start_hubs):
    cell = start_hubs(hosts=4, advice=True)
    # The configured decision time is so long that no blocked call times out.
    audits = cell.route("audits", target_ms=60_000, decide_ms=20_000)
    cell.configure(routes=[cell.route("quotes"), audits])
    leader = cell.leader()
    cell.until(
        lambda: cell.call(leader, "GET", "/audits/").status == 200, "no new queue"
    )
    cell.advice.gate.clear()
    long = [cell.submit(leader, prefix="/audits/") for _ in range(8)]
    quick = cell.submit(leader)
    cell.until(
        lambda: _pending(cell, "/audits/") == len(long) and _pending(cell, PREFIX) == 1,
        "the owner was not told of all jobs",
    )
    cell.advice.gate.set()
    cell.wait_for(leader, quick, "completed")
    asked = [body["step-id"].partition(".")[0] for body in cell.advice.calls]
    assert asked.index(quick) <= len(cell.hubs)


def _pending(cell, prefix):
    return orjson.loads(cell.call(cell.leader(), "GET", prefix).body).get("pending")
