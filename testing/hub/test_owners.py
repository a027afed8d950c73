"""Failure, stop and replacement of the owner while tasks run and callers wait."""

import socket

import gevent

from primrosehub.binaries.hub import leave
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import PREFIX, follower
from primrosehub_standins.row_store import EndpointState


def test_running_work_survives_the_death_of_its_owner(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    jobs = [cell.submit(leader, spec="run 3") for _ in range(6)]
    cell.until(lambda: len(cell.journal) >= 6, "the jobs did not start")
    leader.kill()
    new_owner = cell.leader()
    for job in jobs:
        cell.wait_for(new_owner, job, "completed")
        assert len(cell.starts(job)) == 1


def test_a_job_is_shown_as_completed_after_all_daemons_lost_power(start_hubs):
    cell = start_hubs()
    job = cell.submit(cell.leader(), spec="run 1")
    for hub in cell.hubs:
        hub.kill()
    gevent.sleep(1.5)
    for hub in cell.hubs:
        hub.start()
    cell.leader()
    cell.wait_for(cell.hubs[0], job, "completed")


def test_a_leaving_owner_hands_over_while_it_still_runs(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    leader.kernel.stopping.set()
    gevent.spawn(leave, leader.kernel)
    cell.until(
        lambda: next((h for h in cell.hubs if h.leading and h is not leader), None),
        "no other daemon took over while the owner still ran",
    )


def test_a_planned_stop_hands_over_and_stops_no_task(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    jobs = [cell.submit(leader, spec="run 1.5") for _ in range(4)]
    stopping = gevent.spawn(leader.stop)
    new_owner = cell.until(
        lambda: next((h for h in cell.hubs if h.leading and h is not leader), None),
        "no other daemon took over",
    )
    for job in jobs:
        cell.wait_for(new_owner, job, "completed")
        assert len(cell.starts(job)) == 1
    stopping.join()


def test_a_stopping_daemon_closes_each_connection_after_its_answer(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.kernel.stopping.set()
    ip, _, port = hub.settings.callers.rpartition(":")
    with socket.create_connection((ip, int(port)), timeout=5) as sock:
        sock.sendall(b"GET /nowhere HTTP/1.1\r\nHost: nowhere\r\n\r\n")
        answer = b""
        while data := sock.recv(4096):
            answer += data
    assert answer.startswith(b"HTTP/1.1 404")


def test_a_request_that_was_read_is_answered_while_the_daemon_closes(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.store_endpoint.state = EndpointState.SILENT
    body = b'{"spec":"run 0.1","phases":[{"count":1}]}'
    wait = {"Primrosehub-Deadline-Ms": "1500"}
    path = PREFIX + cell.new_id()
    front = hub.kernel.find(cluster.CALLER_FRONT)
    request = gevent.spawn(cell.call, hub, "POST", path, body, **wait)
    cell.until(lambda: front.in_flight == 1, "the request was not read")
    hub.kill()
    # A real daemon process exits when this call returns.
    assert front.in_flight == 0
    request.join()
    assert request.value.status in (503, 504)


def test_a_refusal_of_an_earlier_epochs_order_ends_no_later_term(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    ownership = leader.kernel.find(cluster.OWNERSHIP)
    epoch = ownership.known_owner.epoch
    ownership.step_down(epoch - 1, "an order of an earlier epoch was refused")
    assert leader.leading
    assert ownership.may_order(epoch)
    assert not ownership.may_order(epoch - 1)


def test_a_failure_listed_again_to_a_new_owner_counts_once(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    host_failed = cell.submit(leader, spec="fail 1.0")
    cell.until(lambda: len(cell.starts(host_failed)) == 2, "no second attempt started")
    leader.kill()
    cell.wait_for(cell.leader(), host_failed, "failed", 15.0)
    assert len(cell.starts(host_failed)) == 3


def test_a_cancelled_job_stops_and_stays_cancelled_through_a_take_over(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    job = cell.submit(leader, spec="last")
    cell.until(lambda: cell.starts(job), "the job did not start")
    assert cell.call(follower(cell), "DELETE", PREFIX + job).status == 200
    leader.kill()
    cell.until(
        lambda: not any(host.running() for host in cell.hosts), "the task still runs"
    )
    cell.leader()
    cell.wait_for(follower(cell), job, "cancelled")


def test_room_of_a_cancelled_task_that_still_runs_is_counted_by_a_new_owner(start_hubs):
    cell = start_hubs(hubs=3, hosts=1)
    leader = cell.leader()
    large_phase = {"count": 1, "cpu": 6000, "mem-mb": 64}
    job = cell.submit(leader, large_phase, spec="last")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.hosts[0].stop_s = 4.0
    assert cell.call(leader, "DELETE", PREFIX + job).status == 200
    cell.until(lambda: cell.state(leader, job) == "cancelled", "not cancelled")
    leader.kill()
    new_owner = cell.leader()
    later = cell.submit(new_owner, large_phase)
    cell.wait_for(new_owner, later, "completed")
    (stopped,) = (e for e in cell.journal if e.kind in ("stopped", "lapsed"))
    (started,) = cell.starts(later)
    assert started.at >= stopped.at
