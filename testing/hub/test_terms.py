"""What an earlier term leaves behind: its leases, its late orders and its epoch."""

import gevent
import pytest

from primrosehub.core.rows import StoreRefused
from primrosehub.platform.hosts import HostClient
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import find_double_runs
from primrosehub_standins.row_store import EndpointState
from primrosehub_standins.worker_host import WorkerHostStandin

JUST_SENT_S = 0.03


# Guards against a lease that lasts longer than a successor waits for it.
@pytest.mark.parametrize("answer_delay_s", [0.0, 0.6])
def test_a_successor_waits_for_the_lease_of_a_host_that_answers_late(
    start_hubs, monkeypatch, answer_delay_s
):
    renewed_at = delay_reports(monkeypatch, answer_delay_s)
    cell = start_hubs(hubs=3, hosts=2)
    first = cell.leader()
    with_tasks, other = cell.hosts
    jobs = [cell.submit(first, spec="run 30") for _ in range(6)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    staying = [hub for hub in cell.hubs if hub is not first]
    with_tasks.reachable_epochs, other.reachable_epochs = [1], [2]
    taking_over = []
    for hub in staying:
        cut_off_before_take_over(cell, first, hub, with_tasks, renewed_at, taking_over)
    cell.separate([first], staying)
    second = cell.until(
        lambda: next((hub for hub in staying if hub.leading), None), "none took over"
    )
    keep_confirmed(second)
    gevent.sleep(11.0)
    assert find_double_runs(cell.journal) == []


def delay_reports(monkeypatch, answer_delay_s):
    """Let hosts answer each renewal late; return when each was renewed last."""
    renewed_at = {}
    hold = WorkerHostStandin._hold

    def hold_late(host, body):
        if body.get("deadline-ms"):
            renewed_at[host.host] = host.clock_ms
        answer = hold(host, body)
        if body.get("deadline-ms"):
            gevent.sleep(answer_delay_s)
        return answer

    monkeypatch.setattr(WorkerHostStandin, "_hold", hold_late)
    return renewed_at


def cut_off_before_take_over(cell, owner, hub, host, renewed_at, taking_over):
    """Cut the owner off from the store just before the first daemon follows it."""
    ownership = hub.kernel.find(cluster.OWNERSHIP)
    take_over = ownership._take_over

    def cut_off_and_take_over():
        if not taking_over:
            taking_over.append(hub)
            cell.until(
                lambda: host.clock_ms - renewed_at[host.host] < 1000 * JUST_SENT_S,
                "the host is not renewed",
            )
            owner.kernel.find(cluster.OWNERSHIP).confirm()
            owner.store_endpoint.state = EndpointState.SILENT
            take_over()

    ownership._take_over = cut_off_and_take_over


def keep_confirmed(hub):
    """Read the owner's row all the time, as a busy owner does."""
    ownership = hub.kernel.find(cluster.OWNERSHIP)

    def confirm():
        while hub.leading:
            ownership.confirm()
            gevent.sleep(0.05)

    gevent.spawn(confirm)


# Guards against two terms with one epoch, which no host can tell apart.
def test_a_daemon_that_could_not_hand_over_begins_a_new_epoch(start_hubs, monkeypatch):
    cell = start_hubs(hubs=2)
    owner = cell.leader()
    ownership = owner.kernel.find(cluster.OWNERSHIP)
    epoch = ownership.known_owner.epoch

    with monkeypatch.context() as patch:
        patch.setattr(owner.kernel.find(cluster.STORE), "commit", refuse)
        ownership._hand_over()
    assert cell.leader().kernel.find(cluster.OWNERSHIP).known_owner.epoch > epoch


# Guards against a late order of a term that a second one of its epoch can't refuse.
def test_a_start_of_before_a_failed_hand_over_runs_nothing_twice(
    start_hubs, monkeypatch
):
    cell = start_hubs(hubs=2, hosts=2)
    owner = cell.leader()
    for host in cell.hosts:
        host.starts_to_delay, host.start_delay_s = 1, 1.2
    cell.submit(owner, spec="run 5")
    cell.until(lambda: not all(host.starts_to_delay for host in cell.hosts), "no order")
    for host in cell.hosts:
        if not host.starts_to_delay:
            cell.list_host(host, "draining")  # so that the other gets the next start
        host.starts_to_delay = 0
    with monkeypatch.context() as patch:
        patch.setattr(owner.kernel.find(cluster.STORE), "commit", refuse)
        owner.kernel.find(cluster.OWNERSHIP)._hand_over()
    gevent.sleep(3.0)
    assert find_double_runs(cell.journal) == []


# Guards against starts beyond a team's limit while a host is not reached.
def test_a_new_owner_counts_what_may_run_on_a_host_that_it_cannot_reach(start_hubs):
    cell = start_hubs(hubs=3, hosts=2)
    limit = {"cpu": 2000, "mem-mb": 0, "gpu": 0}
    team = {"name": "blue", "api-keys": ["key-of-blue"], "max-count": limit}
    cell.configure(tenants=[team | {"weight": 50}])
    gevent.sleep(1.0)  # until all daemons have the configuration
    first = cell.leader()
    before = [cell.submit(first, spec="run 30") for _ in range(2)]
    cell.until(lambda: len(cell.journal) == len(before), "the jobs did not start")
    used = {event.host for event in cell.journal}
    for host in cell.hosts:
        host.reachable_epochs = [1] if host.host in used else [2]
    first.kill()
    second = cell.leader()
    for _ in range(2):
        cell.submit(second, spec="run 30")
    gevent.sleep(2.0)
    assert len(cell.journal) == len(before)


# Guards against a daemon that remains the owner without a term to run the jobs.
def test_tasks_run_on_though_the_store_is_lost_at_a_hand_over(start_hubs):
    cell = start_hubs(hubs=3)
    owner = cell.leader()
    jobs = [cell.submit(owner, spec="run 16") for _ in range(4)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    gevent.sleep(0.5)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.SILENT
    gevent.spawn(owner.kernel.find(cluster.OWNERSHIP)._hand_over)
    gevent.sleep(12.0)
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")
        assert len(cell.starts(job)) == 1


class FirstCallOf:
    """Say that a host is reached by epoch 1, and once by epoch 2."""

    def __init__(self):
        self.calls = 0

    def __contains__(self, epoch):
        self.calls += epoch > 1
        return epoch <= 1 or self.calls == 1


# Guards against taking a host's lease for ended that an earlier owner has given it.
def test_a_host_lost_after_the_first_look_keeps_the_lease_of_the_earlier_owner(
    start_hubs, monkeypatch
):
    cell = start_hubs(hubs=2, hosts=2)
    first = cell.leader()
    job = cell.submit(first, spec="run 30")
    (start,) = cell.until(lambda: cell.starts(job), "the job did not start")
    with_task = next(host for host in cell.hosts if host.host == start.host)
    gevent.sleep(1.0)
    with_task.reachable_epochs = FirstCallOf()
    look = HostClient.look

    def look_and_disconnect(client, timeout_s):
        report = look(client, timeout_s)
        if report.running:
            client.close()
        return report

    monkeypatch.setattr(HostClient, "look", look_and_disconnect)
    first.kill()
    cell.until(lambda: len(cell.starts(job)) == 2, "the task did not move", 15.0)
    assert find_double_runs(cell.journal) == []


def refuse(transaction):
    raise StoreRefused("busy")
