"""Worker hosts that stop answering, lose responses, fail, drain or restart."""

import random

import gevent
import pytest

from primrosehub.kernel.clock import steady_s
from primrosehub.platform import wire
from primrosehub.services._host_session import LEASE_S, MIN_HOST_CLOCK_RATE
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import find_double_runs
from primrosehub_standins.row_store import EndpointState

SUSPENSION_S = 1.0


def test_tasks_on_a_host_that_a_new_owner_cannot_reach_start_nowhere_else(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    jobs = [
        cell.submit(leader, {"count": 1, "cpu": 5000}, spec="run 6") for _ in range(3)
    ]
    cell.until(lambda: len(cell.journal) == 3, "the jobs did not start")
    cell.hosts[0].silent = True
    leader.kill()
    new_leader = cell.leader()
    gevent.sleep(2.0)
    assert len(cell.journal) == 3
    cell.hosts[0].silent = False
    for job in jobs:
        cell.wait_for(new_leader, job, "completed", 15.0)
        assert len(cell.starts(job)) == 1


def test_an_unanswered_start_is_stopped_before_the_task_starts_elsewhere(start_hubs):
    cell = start_hubs(hosts=2)
    for host in cell.hosts:
        host.starts_to_delay, host.start_delay_s, host.stop_s = 2, 1.0, 1.0
    whole_host = {"count": 1, "cpu": 8000, "mem-mb": 64}
    job = cell.submit(cell.leader(), whole_host, spec="run 3")
    cell.wait_for(cell.leader(), job, "completed", 20.0)
    assert len(cell.starts(job)) > 1


def test_a_start_whose_response_is_lost_runs_once(start_hubs):
    cell = start_hubs()
    for host in cell.hosts:
        host.lose_answers = 1
    jobs = [cell.submit(cell.leader(), spec="run 0.3") for _ in range(6)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
        assert len(cell.starts(job)) == 1


def test_a_start_on_a_host_that_stops_answering_is_not_repeated_elsewhere(start_hubs):
    cell = start_hubs(hosts=2)
    leader = cell.leader()
    cell.hosts[0].mute = True
    # Some orders are sent just before the owner notices, and wait for their responses.
    jobs = []
    for _ in range(12):
        jobs.append(cell.submit(leader, {"count": 1, "cpu": 500}, spec="run 4"))
        gevent.sleep(0.2)
    cell.hosts[0].mute = False
    for job in jobs:
        cell.wait_for(leader, job, "completed", 20.0)
    assert find_double_runs(cell.journal) == []


def test_a_host_that_restarts_under_its_id_gets_its_task_again(start_hubs):
    cell = start_hubs(hosts=1)
    before = cell.submit(cell.leader())
    cell.wait_for(cell.leader(), before, "completed")
    job = cell.submit(cell.leader(), spec="run 1")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.hosts[0].crash()
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 2


# Guards against freeing tasks that were started since a restart that is noticed late,
# and against acknowledging their ends with a number of the incarnation before.
def test_tasks_started_after_an_unnoticed_restart_run_once(start_hubs):
    cell = start_hubs(hosts=1)
    host = cell.hosts[0]
    for _ in range(3):
        cell.wait_for(cell.leader(), cell.submit(cell.leader()), "completed")
    gevent.sleep(0.3)  # until the owner waits for the next report
    host.lose_power()
    gevent.sleep(0.3)
    host.silent = False
    long = cell.submit(cell.leader(), spec="run 3")
    short = cell.submit(cell.leader(), spec="run 0.2")
    for job in (long, short):
        cell.wait_for(cell.leader(), job, "completed")
        assert len(cell.starts(job)) == 1


def test_jobs_complete_and_run_at_one_place_while_hosts_restart(start_hubs):
    cell = start_hubs(hosts=3)
    choices = random.Random(36)
    jobs = []
    for _ in range(15):
        jobs += [cell.submit(cell.leader(), spec=f"run {s}") for s in (0.1, 0.8)]
        host = choices.choice(cell.hosts)
        host.lose_power()
        gevent.sleep(choices.uniform(0.0, 0.4))
        host.silent = False
        gevent.sleep(choices.uniform(0.0, 0.3))
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")


@pytest.fixture
def start_hubs_with_short_lists(start_hubs, monkeypatch):
    """Start a cell whose hosts list a few ends at a time."""
    most = 5
    monkeypatch.setattr(wire, "MAX_LISTED_ENDS", most)

    def start(**layout):
        cell = start_hubs(**layout)
        for host in cell.hosts:
            host.max_listed_ends = most
        return cell

    return start


MANY_TASKS = {"count": 16, "cpu": 500, "mem-mb": 16}


# Guards against taking an attempt for vanished whose end a full list leaves out.
def test_tasks_whose_ends_a_host_does_not_list_yet_run_once(
    start_hubs_with_short_lists,
):
    cell = start_hubs_with_short_lists(hosts=1)
    job = cell.submit(cell.leader(), MANY_TASKS, spec="run 1")
    cell.until(lambda: len(cell.starts(job)) == 16, "not all tasks started")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    gevent.sleep(5.0)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 16


# Guards against freeing, after a take-over, tasks whose ends are not listed yet.
def test_a_new_owner_waits_for_all_ends_before_it_frees_tasks(
    start_hubs_with_short_lists,
):
    cell = start_hubs_with_short_lists(hosts=1)
    job = cell.submit(cell.leader(), MANY_TASKS, spec="run 1.5")
    cell.until(lambda: len(cell.starts(job)) == 16, "not all tasks started")
    for hub in cell.hubs:
        hub.kill()
    cell.until(lambda: not cell.hosts[0].running(), "the tasks do not end")
    for hub in cell.hubs:
        hub.start()
    cell.until(
        lambda: cell.state(cell.hubs[0], job) == "completed", "not completed", 20.0
    )
    assert len(cell.starts(job)) == 16


def test_a_task_on_a_silent_host_moves_after_the_lease_expires(start_hubs):
    cell = start_hubs()
    job = cell.submit(cell.leader(), spec="run 20")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    host = next(host for host in cell.hosts if host.host == start.host)
    host.silent = True
    cell.until(lambda: len(cell.starts(job)) == 2, "the task did not move", 15.0)


def test_a_draining_host_gets_no_new_tasks(start_hubs):
    cell = start_hubs(hosts=2)
    draining = cell.hosts[0]
    cell.list_host(draining, state="draining")
    gevent.sleep(0.3)
    jobs = [cell.submit(cell.leader()) for _ in range(8)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
        assert {event.host for event in cell.starts(job)} == {cell.hosts[1].host}


def test_a_host_on_which_every_task_fails_is_avoided(start_hubs):
    cell = start_hubs()
    cell.hosts[0].fail_all = True
    jobs = [cell.submit(cell.leader()) for _ in range(20)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")


# Guards against stopping a long task, whose percent stays the same for seconds.
def test_a_long_task_is_not_taken_for_stuck(start_hubs):
    cell = start_hubs(hosts=1)
    step = {"count": 1, "cpu": 1000, "estimated-runtime-ms": 400_000}
    job = cell.submit(cell.leader(), step, spec="run 400")
    cell.until(lambda: cell.starts(job), "the job did not start")
    gevent.sleep(7.0)
    assert len(cell.starts(job)) == 1
    assert cell.hosts[0].running()


def test_a_task_without_progress_is_moved(start_hubs):
    cell = start_hubs(hosts=2)
    cell.hosts[0].hang_all = True
    jobs = [cell.submit(cell.leader(), spec="run 0.2") for _ in range(8)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed", 15.0)


# Guards against a lease that outlasts the time after which a successor frees tasks.
def test_a_lease_lasts_no_longer_than_it_was_meant_to(start_hubs):
    cell = start_hubs(hubs=2, hosts=1)
    host = cell.hosts[0]
    job = cell.submit(cell.leader(), spec="run 30")
    cell.until(lambda: cell.starts(job), "the job did not start")
    gevent.sleep(2.5)  # until renewals wait for their answers
    for hub in cell.hubs:
        hub.kill()
    killed_at = steady_s()
    cell.until(lambda: not host.running(), "the task runs on", 12.0)
    assert cell.journal[-1].at - killed_at <= LEASE_S / MIN_HOST_CLOCK_RATE


# Guards against a lease of an owner that was suspended after it had checked its epoch.
def test_a_lease_counts_from_the_check_of_the_ownership(start_hubs):
    cell = start_hubs(hubs=2, hosts=1)
    host, leader = cell.hosts[0], cell.leader()
    job = cell.submit(leader, spec="run 30")
    cell.until(lambda: cell.starts(job), "the job did not start")
    ownership, checked_at = leader.kernel.find(cluster.OWNERSHIP), []

    def may_order_slowly(epoch):
        begun_at = steady_s()
        gevent.sleep(SUSPENSION_S)
        checked_at.append(begun_at)
        return True

    ownership.may_order = may_order_slowly
    cell.until(lambda: len(checked_at) == 3, "no lease was renewed")
    gevent.sleep(SUSPENSION_S / 4)
    for hub in cell.hubs:
        hub.kill()
    cell.until(lambda: not host.running(), "the task runs on", 12.0)
    assert cell.journal[-1].at - checked_at[2] <= LEASE_S / MIN_HOST_CLOCK_RATE
