"""Whole daemons against stand-ins of the platform, with faults."""

import socket

import gevent
import pytest

from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import PREFIX, HubCell, overlaps
from primrosehub_standins.row_store import DoorState


@pytest.fixture
def start_hubs():
    cells = []

    def start(**layout):
        cell = HubCell(**layout)
        cells.append(cell)
        cell.leader()
        cell.until(
            lambda: all(
                cell.call(hub, "GET", PREFIX).status == 200 for hub in cell.hubs
            ),
            "a daemon does not serve",
        )
        return cell

    yield start
    for cell in cells:
        cell.__exit__()
        assert overlaps(cell.journal) == []


def follower(cell):
    return next(hub for hub in cell.hubs if hub.kernel and not hub.leading)


def test_a_job_of_two_steps_runs_in_order(start_hubs):
    cell = start_hubs()
    first = {"count": 2, "cpu": 500, "mem-mb": 64}
    job = cell.submit(follower(cell), first, first | {"after": [0]})
    cell.wait_for(follower(cell), job, "completed")
    tasks = [event.task.split(".", 2)[2] for event in cell.starts(job)]
    assert sorted(tasks[:2]) == ["0.0", "0.1"]
    assert sorted(tasks[2:]) == ["1.0", "1.1"]


def test_running_work_survives_the_death_of_its_owner(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    jobs = [cell.submit(leader, spec="run 3") for _ in range(6)]
    cell.until(lambda: len(cell.journal) >= 6, "the jobs did not start")
    leader.kill()
    heir = cell.leader()
    for job in jobs:
        cell.wait_for(heir, job, "completed")
        assert len(cell.starts(job)) == 1


def test_work_on_a_host_that_a_new_owner_can_not_reach_starts_nowhere_else(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    jobs = [
        cell.submit(leader, {"count": 1, "cpu": 5000}, spec="run 6") for _ in range(3)
    ]
    cell.until(lambda: len(cell.journal) == 3, "the jobs did not start")
    cell.hosts[0].silent = True
    leader.kill()
    heir = cell.leader()
    gevent.sleep(2.0)
    assert len(cell.journal) == 3
    cell.hosts[0].silent = False
    for job in jobs:
        cell.wait_for(heir, job, "completed", 15.0)
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


def test_a_planned_stop_hands_over_and_stops_no_task(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    jobs = [cell.submit(leader, spec="run 1.5") for _ in range(4)]
    stopping = gevent.spawn(leader.stop)
    heir = cell.until(
        lambda: next((h for h in cell.hubs if h.leading and h is not leader), None),
        "no heir",
    )
    for job in jobs:
        cell.wait_for(heir, job, "completed")
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
    hub.door.state = DoorState.SILENT
    body = b'{"spec":"run 0.1","phases":[{"count":1}]}'
    wait = {"Primrosehub-Deadline-Ms": "1500"}
    path = PREFIX + cell.new_id()
    front = hub.kernel.find(cluster.CALLER_FRONT)
    request = gevent.spawn(cell.call, hub, "POST", path, body, **wait)
    cell.until(lambda: front.in_flight == 1, "the request was not read")
    hub.kill()
    # With the end of this call a real daemon's process ends.
    assert front.in_flight == 0
    request.join()
    assert request.value.status in (503, 504)


def test_a_refusal_of_an_earlier_epochs_order_ends_no_later_term(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    ownership = leader.kernel.find(cluster.OWNERSHIP)
    epoch = ownership.seen.epoch
    ownership.deposed(epoch - 1, "an order of an earlier epoch was refused")
    assert leader.leading
    assert ownership.may_order(epoch)
    assert not ownership.may_order(epoch - 1)


def test_an_unanswered_start_is_settled_before_the_task_starts_elsewhere(start_hubs):
    cell = start_hubs(hosts=2)
    for host in cell.hosts:
        host.late_starts, host.late_s, host.stop_s = 2, 1.0, 1.0
    whole_host = {"count": 1, "cpu": 8000, "mem-mb": 64}
    job = cell.submit(cell.leader(), whole_host, spec="run 3")
    cell.wait_for(cell.leader(), job, "completed", 20.0)
    assert len(cell.starts(job)) > 1


def test_a_start_whose_answer_is_lost_runs_once(start_hubs):
    cell = start_hubs()
    for host in cell.hosts:
        host.lose_answers = 1
    jobs = [cell.submit(cell.leader(), spec="run 0.3") for _ in range(6)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
        assert len(cell.starts(job)) == 1


def test_a_start_on_a_host_that_falls_mute_is_not_repeated_elsewhere(start_hubs):
    cell = start_hubs(hosts=2)
    leader = cell.leader()
    cell.hosts[0].mute = True
    # Some orders leave just before the owner finds out, and wait for their answers.
    jobs = []
    for _ in range(12):
        jobs.append(cell.submit(leader, {"count": 1, "cpu": 500}, spec="run 4"))
        gevent.sleep(0.2)
    cell.hosts[0].mute = False
    for job in jobs:
        cell.wait_for(leader, job, "completed", 20.0)
    assert overlaps(cell.journal) == []


def test_a_host_that_starts_again_under_its_id_gets_the_work_anew(start_hubs):
    cell = start_hubs(hosts=1)
    before = cell.submit(cell.leader())
    cell.wait_for(cell.leader(), before, "completed")
    job = cell.submit(cell.leader(), spec="run 1")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.hosts[0].crash()
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 2


def test_work_on_a_silent_host_moves_after_its_lease(start_hubs):
    cell = start_hubs()
    job = cell.submit(cell.leader(), spec="run 20")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    host = next(host for host in cell.hosts if host.host == start.host)
    host.silent = True
    cell.until(lambda: len(cell.starts(job)) == 2, "the work did not move", 15.0)


def test_a_failing_task_ends_its_job_after_the_allowed_attempts(start_hubs):
    cell = start_hubs()
    job = cell.submit(cell.leader(), spec="fail 0.05")
    cell.wait_for(cell.leader(), job, "failed")
    assert len(cell.starts(job)) == 3


def test_a_failure_listed_again_to_a_new_owner_counts_once(start_hubs):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    host_failed = cell.submit(leader, spec="fail 1.0")
    cell.until(lambda: len(cell.starts(host_failed)) == 2, "no second attempt")
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
        lambda: not any(host.running() for host in cell.hosts), "the task runs on"
    )
    cell.leader()
    cell.wait_for(follower(cell), job, "cancelled")


def test_room_of_a_cancelled_task_that_still_runs_is_counted_by_a_new_owner(start_hubs):
    cell = start_hubs(hubs=3, hosts=1)
    leader = cell.leader()
    wide = {"count": 1, "cpu": 6000, "mem-mb": 64}
    job = cell.submit(leader, wide, spec="last")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.hosts[0].stop_s = 4.0
    assert cell.call(leader, "DELETE", PREFIX + job).status == 200
    cell.until(lambda: cell.state(leader, job) == "cancelled", "not cancelled")
    leader.kill()
    heir = cell.leader()
    later = cell.submit(heir, wide)
    cell.wait_for(heir, later, "completed")
    (stopped,) = (e for e in cell.journal if e.what in ("stopped", "lapsed"))
    (started,) = cell.starts(later)
    assert started.at >= stopped.at


def test_a_submission_sent_twice_is_one_job(start_hubs):
    cell = start_hubs()
    job = cell.new_id()
    body = b'{"spec":"run 0.1","phases":[{"count":1,"cpu":100}]}'
    for hub in (*cell.hubs, *cell.hubs):
        assert cell.call(hub, "POST", PREFIX + job, body).status == 200
    cell.wait_for(cell.hubs[0], job, "completed")
    assert len(cell.starts(job)) == 1


def test_a_submission_whose_answer_the_store_loses_is_accepted_once(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.door.lose_answers = 1
    job = cell.submit(hub)
    cell.wait_for(hub, job, "completed")
    assert len(cell.starts(job)) == 1


def test_a_refused_submission_never_runs(start_hubs):
    cell = start_hubs()
    for hub in cell.hubs:
        hub.door.state = DoorState.BUSY
    job = cell.new_id()
    body = b'{"spec":"run 0.1","phases":[{"count":1}]}'
    answer = cell.call(cell.hubs[0], "POST", PREFIX + job, body)
    assert (answer.status, answer.header("Retry-After")) == (503, "1")
    for hub in cell.hubs:
        hub.door.state = DoorState.OPEN
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
        hub.door.state = DoorState.BUSY
    for hub in cell.hubs:
        assert cell.call(hub, "POST", PREFIX + job, body).status == 504


def test_running_work_goes_on_while_the_store_is_down(start_hubs):
    cell = start_hubs()
    leader = cell.leader()
    job = cell.submit(leader, spec="run 8")
    cell.until(lambda: cell.starts(job), "the job did not start")
    for hub in cell.hubs:
        hub.door.state = DoorState.SILENT
    gevent.sleep(7.0)
    for hub in cell.hubs:
        hub.door.state = DoorState.OPEN
    cell.wait_for(leader, job, "completed")
    assert len(cell.starts(job)) == 1


@pytest.mark.parametrize("state", [DoorState.BUSY, DoorState.RESET, DoorState.SILENT])
def test_a_daemon_that_the_store_turns_away_serves_through_a_peer(start_hubs, state):
    cell = start_hubs(hubs=3)
    leader = cell.leader()
    leader.door.state = state
    gevent.sleep(1.6)
    jobs = [cell.submit(hub, spec="run 0.2") for hub in (leader, *cell.hubs)]
    for job in jobs:
        cell.wait_for(leader, job, "completed")


def test_a_daemon_that_the_store_turns_away_learns_that_a_key_is_gone(start_hubs):
    cell = start_hubs()
    hub = follower(cell)
    hub.door.state = DoorState.BUSY
    cell.configure(tenants=[])
    cell.until(
        lambda: cell.call(hub, "GET", PREFIX).status == 401, "the key works on", 2.0
    )


def test_a_configuration_is_found_again_after_the_history_is_lost(start_hubs):
    cell = start_hubs()
    cell.configure(tenants=[])
    cell.store.forget_history()
    for hub in cell.hubs:
        cell.until(
            lambda hub=hub: cell.call(hub, "GET", PREFIX).status == 401,
            "the key works on",
            2.0,
        )


def test_a_draining_host_gets_no_new_work(start_hubs):
    cell = start_hubs(hosts=2)
    leaving = cell.hosts[0]
    cell.list_host(leaving, state="draining")
    gevent.sleep(0.3)
    jobs = [cell.submit(cell.leader()) for _ in range(8)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
        assert {event.host for event in cell.starts(job)} == {cell.hosts[1].host}


def test_a_host_that_fails_everything_is_passed_over(start_hubs):
    cell = start_hubs()
    cell.hosts[0].fail_all = True
    jobs = [cell.submit(cell.leader()) for _ in range(20)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")


def test_a_task_without_progress_is_moved(start_hubs):
    cell = start_hubs(hosts=2)
    cell.hosts[0].hang_all = True
    jobs = [cell.submit(cell.leader(), spec="run 0.2") for _ in range(8)]
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed", 15.0)


def test_a_gang_starts_whole_and_under_one_attempt(start_hubs):
    cell = start_hubs(hosts=2)
    gang = {"count": 4, "cpu": 4000, "mem-mb": 64, "gang-scheduled": True}
    job = cell.submit(cell.leader(), gang, spec="run 0.5")
    cell.wait_for(cell.leader(), job, "completed")
    starts = cell.starts(job)
    assert len(starts) == 4
    assert {event.attempt for event in starts} == {1}
    assert max(e.at for e in starts) - min(e.at for e in starts) < 0.5


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
        host.tickets = True
    job = cell.submit(cell.leader(), {"count": 6, "cpu": 2000}, spec="run 0.2")
    cell.wait_for(cell.leader(), job, "completed")
    allowed = set(cell.advised[0]["workers"][:2])
    assert {event.host for event in cell.starts(job)} <= allowed
    assert all("ticket" not in host.refusals for host in cell.hosts)
