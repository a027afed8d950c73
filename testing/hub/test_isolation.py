"""An owner that is cut off, alone or with other daemons and worker hosts."""

import gevent
import pytest

from primrosehub.border.codec import encode
from primrosehub.border.frames import FrameClient
from primrosehub.core.peering import Ping
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.isolation import UNCONFIRMED_LIMIT_S
from primrosehub.services.names import cluster
from primrosehub.services.peering import PING_TIMEOUT_S
from primrosehub_standins.hub_cell import find_double_runs, follower
from primrosehub_standins.row_store import EndpointState
from primrosehub_standins.worker_host import WorkerHostStandin

ANSWER_DELAY_S = 0.3
LEASES_ENDED_S = 9.0  # then a task of an owner that has stopped may run elsewhere


def start_tasks_and_cut_off(cell, hubs_with_owner, hosts=1):
    """Cut the owner off with other daemons and hosts; return whom and the jobs."""
    owner = cell.leader()
    jobs = [cell.submit(owner, spec="run 30") for _ in range(6)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    others = [hub for hub in cell.hubs if hub is not owner]
    isolated = [owner, *others[:hubs_with_owner]]
    cell.cut_off(isolated, cell.hosts[:hosts])
    outside = others[hubs_with_owner:]
    next_leader(cell, outside)
    return isolated, jobs


# Guards against an owner that goes on because a peer that is cut off with it does.
@pytest.mark.parametrize(("hubs", "hubs_with_owner"), [(3, 0), (4, 1), (5, 1), (5, 3)])
def test_tasks_of_an_owner_cut_off_with_peers_run_once(
    start_hubs, hubs, hubs_with_owner
):
    cell = start_hubs(hubs=hubs, hosts=3)
    start_tasks_and_cut_off(cell, hubs_with_owner)
    gevent.sleep(LEASES_ENDED_S + 2.0)
    assert find_double_runs(cell.journal) == []


# Guards against freeing what a later owner has found running and keeps alive.
def test_a_replaced_owner_frees_no_task_that_a_later_one_has_found(start_hubs):
    cell = start_hubs(hubs=5, hosts=3)
    first = cell.leader()
    job = cell.submit(first, spec="run 30")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    with_task = next(host for host in cell.hosts if host.host == start.host)
    others = [host for host in cell.hosts if host is not with_task]
    cell.cut_off([first], [with_task])
    staying = [hub for hub in cell.hubs if hub is not first]
    second = next_leader(cell, staying)
    gevent.sleep(1.0)  # until it may start tasks on the other hosts
    third, *with_second = [hub for hub in staying if hub is not second]
    for hub in (second, *with_second):
        hub.store_endpoint.state = EndpointState.SILENT
    cell.separate([first], [second, *with_second], [third])
    with_task.reachable_epochs = [3]
    for host in others:  # more than half, so that the second owner goes on
        host.reachable_epochs = [2]
    assert next_leader(cell, [third]) is third
    gevent.sleep(LEASES_ENDED_S + 3.0)
    assert may_order(second)
    assert len(cell.starts(job)) == 1


# Guards against taking what a new incarnation says for news of the one before.
@pytest.mark.parametrize("new_id", ["", "i-9"])
def test_a_replaced_owner_frees_nothing_by_what_a_restarted_host_says(
    start_hubs, new_id
):
    cell = start_hubs(hubs=5, hosts=3)
    first = cell.leader()
    job = cell.submit(first, spec="run 30")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    with_task = next(host for host in cell.hosts if host.host == start.host)
    inside, outside = (host for host in cell.hosts if host is not with_task)
    cell.store.remove("servers", with_task.host)  # so that it gets no more starts
    with_task.reachable_epochs = [1, 3]
    first.kill()
    second = cell.leader()
    third, *with_second = [hub for hub in cell.hubs if hub not in (first, second)]
    gevent.sleep(1.0)  # until the second owner has reached the other hosts
    for hub in (second, *with_second):
        hub.store_endpoint.state = EndpointState.SILENT
    cell.separate([second, *with_second], [third])
    inside.reachable_epochs, outside.reachable_epochs = [2], [3]
    cell.until(lambda: third.leading, "the third daemon did not take over")
    gevent.sleep(1.0)  # until it has found the task
    with_task.reachable_epochs = [2]
    with_task.crash()
    with_task.host = new_id or with_task.host
    gevent.sleep(3.0)
    with_task.reachable_epochs = [3]
    gevent.sleep(3.0)
    assert find_double_runs(cell.journal) == []


# Guards against freeing by time what a later owner has found and keeps running.
def test_a_replaced_owner_frees_no_task_of_a_host_that_fell_silent(start_hubs):
    cell = start_hubs(hubs=5, hosts=3)
    first, *others = sorted(cell.hubs, key=lambda hub: not hub.leading)
    job = cell.submit(first, spec="run 30")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    cell.cut_off([first, *others[:2]], [h for h in cell.hosts if h.host != start.host])
    gevent.sleep(13.0)
    assert may_order(first)
    assert len(cell.starts(job)) == 1


def test_tasks_run_on_through_an_outage_of_the_store_for_all(start_hubs):
    cell = start_hubs(hubs=3)
    owner = cell.leader()
    jobs = [cell.submit(owner, spec="run 16") for _ in range(4)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    gevent.sleep(1.0)
    follower(cell).kill()  # one of three, so that two go on
    gevent.sleep(12.0)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    for job in jobs:
        cell.wait_for(owner, job, "completed")
        assert len(cell.starts(job)) == 1


# Guards against an owner that stops as it asks its hosts too seldom.
def test_an_owner_of_many_hosts_goes_on_without_the_store(start_hubs):
    cell = start_hubs(hubs=2, hosts=16)
    wait_for_witnesses(cell, cell.hosts)
    owner = cell.leader()
    follower(cell).kill()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    for host in cell.hosts[:7]:  # fewer than half
        host.silent = True
    for _ in range(80):
        gevent.sleep(0.1)
        assert may_order(owner)


# Guards against an owner that never asks its hosts again once it has stopped.
def test_an_owner_goes_on_once_it_reaches_most_hosts_again(start_hubs):
    cell = start_hubs(hubs=2, hosts=3)
    wait_for_witnesses(cell, cell.hosts)
    owner = cell.leader()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    for host in cell.hosts:
        host.silent = True
    cell.until(lambda: not may_order(owner), "the owner goes on without hosts")
    for host in cell.hosts[:2]:
        host.silent = False
    cell.until(lambda: may_order(owner), "the owner does not go on")


# Guards against an end of sound work, as its owner can't tell a cut from an outage.
def test_tasks_of_an_owner_cut_off_with_most_hosts_run_on_and_once(start_hubs):
    cell = start_hubs(hubs=4, hosts=3)
    (owner,), jobs = start_tasks_and_cut_off(cell, hubs_with_owner=0, hosts=2)
    gevent.sleep(LEASES_ENDED_S + 2.0)
    assert may_order(owner)
    assert find_double_runs(cell.journal) == []
    running = {task for host in cell.hosts for task, _ in host.running()}
    assert len(running) == len(jobs)


# Guards against jobs that stand still once all daemons and a host are lost for good.
def test_jobs_run_on_after_all_daemons_and_a_host_are_lost_for_good(start_hubs):
    cell = start_hubs(hubs=2, hosts=2)
    owner = cell.leader()
    running = [cell.submit(owner, spec="run 3") for _ in range(8)]
    waiting = [cell.submit(owner, spec="run 0.1") for _ in range(16)]
    cell.until(lambda: len(cell.journal) >= len(running), "the jobs did not start")
    for hub in cell.hubs:
        hub.kill()
    cell.hosts[0].lose_power()
    cell.store.remove("servers", cell.hosts[0].host)
    heir = cell.add_hub(2)
    for job in running + waiting:
        cell.wait_for(heir, job, "completed", timeout_s=40.0)


def test_an_owner_that_reaches_too_few_hosts_stops_its_orders(start_hubs):
    cell = start_hubs(hubs=4, hosts=3)
    (owner, *_), _ = start_tasks_and_cut_off(cell, hubs_with_owner=1)
    cell.until(lambda: not may_order(owner), "the owner goes on", 3.0)


# Guards against an owner that goes on because of news from before a suspension.
def test_a_ping_that_was_not_asked_for_confirms_no_owner(start_hubs):
    cell = start_hubs()
    owner, peer = cell.leader(), follower(cell)
    news = encode(
        Ping(
            sender=peer.kernel.find(cluster.PEERING).own_card,
            owner=peer.kernel.find(cluster.OWNERSHIP).known_owner,
            config_version=1,
            store_reached=False,
        )
    )
    peer.kill()
    owner.store_endpoint.state = EndpointState.SILENT
    for host in cell.hosts:
        host.silent = True
    cell.until(lambda: not may_order(owner), "the owner goes on alone")
    send_to(owner, b"Ping\n" + news)
    assert not may_order(owner)


# Guards against an owner that counts a late answer from when it came.
def test_an_answer_of_a_host_is_as_old_as_the_call(start_hubs, monkeypatch):
    cell = start_hubs()
    owner = cell.leader()
    wait_for_witnesses(cell, cell.hosts)
    hold = WorkerHostStandin._hold

    def hold_late(host, body):
        gevent.sleep(ANSWER_DELAY_S)
        return hold(host, body)

    monkeypatch.setattr(WorkerHostStandin, "_hold", hold_late)
    scheduler = owner.kernel.find(cluster.SCHEDULER)
    gevent.sleep(2.0)  # until no answer of before counts
    for _ in range(100):
        gevent.sleep(0.01)
        assert not scheduler.witness_answers(ANSWER_DELAY_S).answered
    assert scheduler.witness_answers(10 * ANSWER_DELAY_S).answered


# Guards against a host that confirms an owner after it has forgotten a later one.
def test_a_restarted_host_confirms_no_owner_before_the_store_has(start_hubs):
    cell = start_hubs(hosts=2)
    wait_for_witnesses(cell, cell.hosts)
    owner = cell.leader()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    gevent.sleep(3.0)
    assert may_order(owner)
    cell.hosts[0].crash()
    cell.until(lambda: not may_order(owner), "the owner goes on")
    for _ in range(20):
        gevent.sleep(0.1)
        assert not may_order(owner)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.until(lambda: may_order(cell.leader()), "no owner goes on")


def test_a_host_that_joins_is_stored_as_a_witness_and_a_lost_one_is_not(start_hubs):
    cell = start_hubs(hosts=3)
    joining, staying, lost = cell.hosts
    cell.store.remove("servers", joining.host)
    joining.silent = True
    wait_for_witnesses(cell, [staying, lost])
    joining.silent = False
    cell.list_host(joining)
    wait_for_witnesses(cell, cell.hosts)
    lost.silent = True
    cell.store.remove("servers", lost.host)
    wait_for_witnesses(cell, [joining, staying])


# Guards against counting which hosts answered an earlier term of the same daemon.
def test_a_daemon_that_takes_over_again_waits_for_the_hosts_again(start_hubs):
    cell = start_hubs(hubs=1, hosts=2)
    (hub,) = cell.hubs
    wait_for_witnesses(cell, cell.hosts)
    for host in cell.hosts:
        host.silent = True
    hub.kernel.find(cluster.OWNERSHIP)._hand_over()
    cell.leader()
    scheduler = hub.kernel.find(cluster.SCHEDULER)
    cell.until(lambda: scheduler._term.loaded.is_set(), "the term is not loaded")
    left_s = scheduler._term.witnesses.earlier_orders_end_at - steady_s()
    assert left_s > UNCONFIRMED_LIMIT_S / 2


def next_leader(cell, hubs):
    """Return which of these daemons takes over."""
    return cell.until(
        lambda: next((hub for hub in hubs if hub.leading), None), "none took over"
    )


def may_order(hub):
    ownership = hub.kernel.find(cluster.OWNERSHIP)
    return ownership.may_order(ownership.known_owner.epoch)


def wait_for_witnesses(cell, hosts):
    """Wait until just these hosts are stored as the witnesses."""
    names = sorted(host.host for host in hosts)
    cell.until(
        lambda: cell.store.value("roster", "s", "witnesses") == names,
        f"the witnesses are not {names}",
        15.0,
    )


def send_to(hub, message):
    ip, _, port = hub.settings.peer.rpartition(":")
    client = FrameClient(ip, int(port))
    client.call(message, 1.0)
    client.close()


# Guards against taking two processes of one name for one, on both sides of a cut.
def test_two_daemons_of_one_name_do_not_confirm_two_owners(start_hubs):
    cell = start_hubs(hubs=3, hosts=2)
    first = cell.leader()
    jobs = [cell.submit(first, spec="run 30") for _ in range(6)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    with_first, staying = [hub for hub in cell.hubs if hub is not first]
    cell.cut_off([first, with_first], cell.hosts[:1])
    second = cell.add_hub(int(with_first.settings.name.removeprefix("hub-")))
    separate_processes([first, with_first], [staying, second])
    cell.until(lambda: staying.leading or second.leading, "none took over")
    gevent.sleep(11.0)
    assert find_double_runs(cell.journal) == []


def separate_processes(*groups):
    """Let pings reach processes of the same group only, also if names are the same."""
    for group in groups:
        incarnations = {
            hub.kernel.find(cluster.PEERING).own_card.incarnation for hub in group
        }
        for hub in group:
            answer_only(hub.kernel.find(cluster.PEERING), incarnations)


def answer_only(peering, incarnations):
    def answer(ping):
        if ping.sender.incarnation not in incarnations:
            gevent.sleep(PING_TIMEOUT_S)
            raise ValueError("lost")
        return peering.answer_ping(ping)

    peering.register_handler(Ping, answer)
