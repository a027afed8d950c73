"""Failure, stop and replacement of the owner while tasks run and callers wait."""

import socket

import gevent
import pytest

from primrosehub.binaries.hub import leave
from primrosehub.border.frames import FrameClient, FrameServer
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import IP, PREFIX, follower, free_port
from primrosehub_standins.row_store import EndpointState
from testing.builders.cluster import an_older_builds_news


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


@pytest.mark.parametrize("hubs", [1, 3])
def test_the_owner_starts_jobs_while_all_daemons_leave(start_hubs, hubs):
    cell = start_hubs(hubs=hubs)
    leader = cell.leader()
    stopping = [gevent.spawn(hub.stop) for hub in cell.hubs]
    gevent.sleep(1.0)
    assert leader.leading
    job = cell.submit(leader)
    cell.until(lambda: cell.starts(job), "the job did not start", 1.0)
    gevent.joinall(stopping, raise_error=True)
    stored = cell.store.value("owner", "s", "cell")
    assert stored["incarnation"] == ""


def test_jobs_start_while_all_daemons_but_one_leave_in_overlap(start_hubs):
    cell = start_hubs(hubs=4)
    leader = cell.leader()
    staying = follower(cell)
    leaving = [leader, *(h for h in cell.hubs if h not in (leader, staying))]
    stopping, jobs = [], []
    for hub in leaving:
        stopping.append(gevent.spawn(hub.stop))
        for _ in range(4):
            jobs.append(cell.submit(staying))
            gevent.sleep(0.1)
    for job in jobs:
        cell.wait_for(staying, job, "completed")
        assert len(cell.starts(job)) == 1
    gevent.joinall(stopping, raise_error=True)
    assert staying.leading


def test_a_leaving_owner_goes_on_until_a_peer_has_started(start_hubs):
    cell = start_hubs(hubs=3)
    first = cell.leader()
    stopping = [gevent.spawn(first.stop)]
    second = cell.until(
        lambda: next((h for h in cell.hubs if h.leading and h is not first), None),
        "no other daemon took over",
    )
    third = next(h for h in cell.hubs if h not in (first, second))
    stopping += [gevent.spawn(third.stop), gevent.spawn(second.stop)]
    gevent.sleep(1.0)
    assert second.leading
    started = cell.add_hub(3)
    cell.until(lambda: started.leading, "the started daemon did not take over")
    assert second.kernel is not None
    assert not second.leading
    gevent.joinall(stopping, raise_error=True)
    assert started.leading


def test_a_leaving_daemon_takes_over_when_all_leave_and_the_owner_dies(start_hubs):
    cell = start_hubs()
    leader, heir = cell.leader(), follower(cell)
    stopping = [gevent.spawn(hub.stop) for hub in (leader, heir)]
    gevent.sleep(0.3)
    stopping[0].kill()
    leader.kill()
    cell.until(lambda: heir.leading, "the leaving daemon did not take over", 2.0)
    job = cell.submit(heir)
    cell.until(lambda: cell.starts(job), "the job did not start")
    stopping[1].join()
    assert cell.store.value("owner", "s", "cell")["incarnation"] == ""


def test_a_daemon_that_has_left_does_not_take_over_again(start_hubs):
    cell = start_hubs()
    first, second = cell.leader(), follower(cell)
    first.kernel.stopping.set()
    leaving = gevent.spawn(leave, first.kernel)
    cell.until(lambda: second.leading, "the other daemon did not take over")
    second.kill()
    leaving.join()
    assert not first.leading


def test_a_release_that_the_store_refuses_is_repeated(start_hubs):
    cell = start_hubs()
    first, second = cell.leader(), follower(cell)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    first.kernel.stopping.set()
    leaving = gevent.spawn(leave, first.kernel)
    gevent.sleep(0.5)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.until(lambda: second.leading, "the other daemon did not take over")
    assert not leaving.dead, "taken over only after the daemon had left"
    leaving.join()
    assert not first.leading


@pytest.mark.parametrize("after_s", [1.0, 1.1, 1.2])
def test_a_daemon_that_ends_in_a_take_over_leaves_no_row_that_names_it(
    start_hubs, after_s
):
    cell = start_hubs()
    owner, heir = cell.leader(), follower(cell)
    ownership = heir.kernel.find(cluster.OWNERSHIP)
    heir.kernel.stopping.set()
    leaving = gevent.spawn(ownership.release, steady_s() + 5.0)
    heir.store_endpoint.answer_delay_s = 0.3
    gevent.sleep(0.1)
    owner.kill()
    gevent.sleep(after_s)
    ownership.stop_standing_by()
    leaving.join()
    gevent.sleep(1.0)  # longer than a call to the store
    name = cell.store.value("owner", "s", "cell")["incarnation"]
    assert name != heir.kernel.find(cluster.PEERING).own_card.incarnation
    assert not heir.leading


def test_a_daemon_that_has_released_learns_of_the_next_owner(start_hubs):
    cell = start_hubs()
    first, second = cell.leader(), follower(cell)
    first.kernel.stopping.set()
    leaving = gevent.spawn(leave, first.kernel)
    cell.until(lambda: second.leading, "the other daemon did not take over")
    ownership = first.kernel.find(cluster.OWNERSHIP)
    cell.until(
        lambda: ownership.known_owner.name == second.settings.name,
        "the leaving daemon did not learn of the new owner",
        1.0,
    )
    leaving.join()


def test_a_pong_that_does_not_tell_leaving_is_of_a_daemon_that_stays(start_hubs):
    cell = start_hubs(hubs=1)
    (leader,) = cell.hubs
    stopping = gevent.spawn(leader.stop)
    gevent.sleep(0.5)
    assert leader.leading
    address = f"{IP}:{free_port()}"
    news = an_older_builds_news("older-build", address)
    server = FrameServer(*address_pair(address), lambda _: b"Pong\n" + news, 8)
    server.start()
    ping(leader, news)
    cell.until(lambda: not leader.leading, "not released to the older build", 1.0)
    stopping.join()
    server.stop()


def test_a_late_pong_does_not_take_back_that_a_peer_leaves(start_hubs):
    cell = start_hubs(hubs=1)
    (hub,) = cell.hubs
    address = f"{IP}:{free_port()}"

    def told_leaving():
        pongs = hub.kernel.find(cluster.PEERING).recent_pongs(9.0)
        return [pong.leaving for pong in pongs]

    ping(hub, an_older_builds_news("hub-9", address, leaving=True))
    assert told_leaving() == [True]
    ping(hub, an_older_builds_news("hub-9", address, leaving=False))
    assert told_leaving() == [True]
    ping(hub, an_older_builds_news("hub-9", address, incarnation="second"))
    assert told_leaving() == [False]


def address_pair(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def ping(hub, news):
    client = FrameClient(*address_pair(hub.settings.peer))
    client.call(b"Ping\n" + news, 1.0)
    client.close()


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


# Guards against failing a job early because its route is away at a take-over.
def test_a_job_keeps_its_attempts_while_its_route_is_away(start_hubs):
    cell = start_hubs(hubs=3)
    job = cell.submit(cell.leader(), spec="fail 1")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.configure(routes=[cell.route("others")])
    cell.leader().kill()
    cell.leader()
    cell.until(lambda: len(cell.starts(job)) == 2, "the task is not started again")
    cell.configure()
    cell.until(
        lambda: cell.state(cell.leader(), job) == "failed", "the job has not failed"
    )
    assert len(cell.starts(job)) == 3


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
