"""A store that refuses daemons, loses responses or history, or is down."""

import gevent
import pytest

from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import PREFIX, follower
from primrosehub_standins.row_store import EndpointState


def test_a_submission_sent_twice_is_one_job(start_hubs):
    cell = start_hubs()
    job = cell.new_id()
    body = b'{"spec":"run 0.1","phases":[{"count":1,"cpu":100}]}'
    for hub in (*cell.hubs, *cell.hubs):
        assert cell.call(hub, "POST", PREFIX + job, body).status == 200
    cell.wait_for(cell.hubs[0], job, "completed")
    assert len(cell.starts(job)) == 1


def test_a_submission_whose_store_response_is_lost_is_accepted_once(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.store_endpoint.lose_answers = 1
    job = cell.submit(hub)
    cell.wait_for(hub, job, "completed")
    assert len(cell.starts(job)) == 1


def test_a_refused_submission_never_runs(start_hubs):
    cell = start_hubs()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    job = cell.new_id()
    body = b'{"spec":"run 0.1","phases":[{"count":1}]}'
    answer = cell.call(cell.hubs[0], "POST", PREFIX + job, body)
    assert (answer.status, answer.header("Retry-After")) == (503, "1")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    gevent.sleep(1.5)
    assert cell.starts(job) == []
    assert cell.state(cell.hubs[0], job) == "410"


def test_a_stored_job_sent_again_is_not_refused_as_never_run(start_hubs):
    cell = start_hubs()
    body = b'{"spec":"run 3","phases":[{"count":1}]}'
    job = cell.new_id()
    assert cell.call(follower(cell), "POST", PREFIX + job, body).status == 200
    cell.until(lambda: cell.starts(job), "the job did not start")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    for hub in cell.hubs:
        assert cell.call(hub, "POST", PREFIX + job, body).status == 504


@pytest.mark.parametrize("end", ["stop", "kill"])
def test_a_stored_job_is_not_refused_as_never_run_while_nobody_owns_it(start_hubs, end):
    cell = start_hubs(hubs=3)
    body = b'{"spec":"run 9","phases":[{"count":1}]}'
    job = cell.new_id()
    leader = cell.leader()
    other = follower(cell)
    assert cell.call(other, "POST", PREFIX + job, body).status == 200
    cell.until(lambda: cell.starts(job), "the job did not start")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    ending = gevent.spawn(getattr(leader, end))
    statuses = set()
    for _ in range(30):
        statuses.add(cell.call(other, "POST", PREFIX + job, body).status)
        gevent.sleep(0.1)
    ending.join()
    statuses.add(cell.call(other, "POST", PREFIX + job, body).status)
    assert statuses == {504}


def test_running_tasks_continue_while_the_store_is_down(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    job = cell.submit(leader, spec="run 8")
    cell.until(lambda: cell.starts(job), "the job did not start")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    gevent.sleep(7.0)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.wait_for(leader, job, "completed")
    assert len(cell.starts(job)) == 1


@pytest.mark.parametrize(
    "state", [EndpointState.BUSY, EndpointState.RESET, EndpointState.SILENT]
)
def test_a_daemon_that_the_store_refuses_serves_through_a_peer(start_hubs, state):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    leader.store_endpoint.state = state
    gevent.sleep(1.6)
    jobs = [cell.submit(hub, spec="run 0.2") for hub in (leader, *cell.hubs)]
    for job in jobs:
        cell.wait_for(leader, job, "completed")


def test_a_daemon_that_the_store_refuses_learns_that_a_key_was_removed(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.store_endpoint.state = EndpointState.BUSY
    cell.configure(tenants=[])
    cell.until(
        lambda: cell.call(hub, "GET", PREFIX).status == 401,
        "the removed key still works",
        2.0,
    )


def test_an_older_configuration_never_replaces_a_newer_one(start_hubs):
    cell = start_hubs()

    def versions():
        config = cluster.CLUSTER_CONFIG
        return {hub.kernel.find(config).current.version for hub in cell.hubs}

    cell.configure()
    cell.until(lambda: versions() == {2}, "the second version is not in force")
    cell.version = 0
    cell.configure()
    gevent.sleep(1.0)
    assert versions() == {2}


def test_a_configuration_change_is_found_after_the_history_is_lost(start_hubs):
    cell = start_hubs()
    cell.configure(tenants=[])
    cell.store.forget_history()
    for hub in cell.hubs:
        cell.until(
            lambda hub=hub: cell.call(hub, "GET", PREFIX).status == 401,
            "the removed key still works",
            2.0,
        )


def test_a_store_that_turns_slow_still_takes_submissions(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    wait = {"Primrosehub-Deadline-Ms": "4000"}
    body = b'{"spec":"run 0.1","phases":[{"count":1,"cpu":100}]}'
    for delay_s in (0.8, 1.2, 1.2):
        hub.store_endpoint.answer_delay_s = delay_s
        answer = cell.call(hub, "POST", PREFIX + cell.new_id(), body, **wait)
        assert answer.status == 200
    assert hub.kernel.find(cluster.STORE).reached_directly
