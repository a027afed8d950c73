"""Worker hosts that restart under their id while an owner or an order is behind."""

import gevent
import pytest

from primrosehub.kernel.clock import steady_s
from primrosehub.services._host_session import REPORT_WAIT_S
from primrosehub.services.names import cluster
from primrosehub_standins.hub_cell import find_double_runs
from primrosehub_standins.row_store import EndpointState
from primrosehub_standins.worker_host import ALL_EPOCHS, MAX_LEASE_MS

CONFIRMATION_ENDED_S = 2.5  # then an owner that is cut off sends no more orders
WHOLE_HOST = {"count": 1, "cpu": 8000, "mem-mb": 64}
LONG_TASK = WHOLE_HOST | {"estimated-runtime-ms": 30_000}
URGENT_TASK = WHOLE_HOST | {"estimated-runtime-ms": 10_000}


def wait_for_confirmation(cell, owner):
    """Wait until the store has just confirmed the ownership."""
    ownership = owner.kernel.find(cluster.OWNERSHIP)
    cell.until(
        lambda: steady_s() - ownership.confirmed_by_store_at < 0.1, "not confirmed"
    )


# Guards against a replaced owner that starts tasks on a host that forgot the fence.
def test_a_replaced_owner_starts_nothing_on_a_restarted_host(start_hubs):
    cell = start_hubs(hubs=2, hosts=2)
    restarting, other = cell.hosts
    owner = cell.leader()
    cell.list_host(other, state="draining")
    gevent.sleep(0.5)
    long = cell.submit(owner, LONG_TASK, spec="run 30")
    cell.until(lambda: cell.starts(long), "the long task did not start")
    waiting = cell.submit(owner, URGENT_TASK, spec="run 10")
    wait_for_confirmation(cell, owner)
    cell.cut_off([owner], [restarting])
    inside = restarting.reachable_epochs
    restarting.reachable_epochs = ALL_EPOCHS
    # The owner still gets one change of the list, which it has asked for before.
    cell.list_host(other, state="draining")
    gevent.sleep(0.1)
    cell.list_host(other)
    cell.until(lambda: cell.starts(waiting), "no other daemon started the task")
    restarting.reachable_epochs = inside
    restarting.crash()
    gevent.sleep(CONFIRMATION_ENDED_S)
    assert find_double_runs(cell.journal) == []


# Guards against waiting with all work because a host can't be given starts.
def test_work_goes_on_and_a_restarted_host_waits_while_the_store_is_away(start_hubs):
    cell = start_hubs(hubs=2, hosts=2)
    restarting, other = cell.hosts
    jobs = [cell.submit(cell.leader(), WHOLE_HOST, spec="run 3") for _ in range(2)]
    cell.until(lambda: len(cell.journal) == len(jobs), "the jobs did not start")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    restarting.crash()
    gevent.sleep(1.5)
    assert not restarting.running()
    assert other.running()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.until(restarting.running, "the restarted host got no start")
    for job in jobs:
        cell.wait_for(cell.leader(), job, "completed")


# Guards against starting a task elsewhere while an order for it may still arrive. The
# owner looks at the restarted host after 0.25 s, so the orders arrive before and after.
@pytest.mark.parametrize("delay_s", [0.1, 0.6, 2.0])
def test_a_start_that_arrives_after_a_restart_runs_beside_no_other(start_hubs, delay_s):
    cell = start_hubs(hosts=2)
    for host in cell.hosts:
        host.starts_to_delay, host.start_delay_s = 1, delay_s
        host.delayed_starts_outlast_crash = True
    gevent.sleep(delay_s)  # the new clock is behind the last one when orders arrive
    job = cell.submit(cell.leader(), WHOLE_HOST, spec="run 4")
    restarting = cell.until(
        lambda: next((h for h in cell.hosts if not h.starts_to_delay), None),
        "no start was sent",
    )
    for host in cell.hosts:
        host.starts_to_delay = 0
    cell.list_host(restarting, state="draining")  # so the task starts elsewhere
    restarting.crash()
    cell.wait_for(cell.leader(), job, "completed", 20.0)
    assert find_double_runs(cell.journal) == []


# Guards against a rule for restarts only: a host that a new owner reaches late may have
# forgotten the fence of one that has followed since.
def test_a_host_reached_late_gets_starts_once_the_store_has_confirmed(start_hubs):
    cell = start_hubs(hubs=3, hosts=2)
    late, other = cell.hosts
    late.silent = True
    cell.leader().kill()
    owner = cell.leader()
    jobs = [cell.submit(owner, WHOLE_HOST, spec="run 4") for _ in range(2)]
    cell.until(other.running, "no job started")
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.BUSY
    gevent.sleep(0.5)
    late.silent = False
    gevent.sleep(1.5)
    assert not late.running()
    for hub in cell.hubs:
        hub.store_endpoint.state = EndpointState.OPEN
    cell.until(late.running, "the host that was reached late got no start")
    for job in jobs:
        cell.wait_for(owner, job, "completed")


# Guards against starts by what the entry says of the incarnation before.
@pytest.mark.parametrize("taken_over", [False, True])
def test_a_host_that_is_back_as_another_kind_gets_only_its_tasks(
    start_hubs, taken_over
):
    cell = start_hubs(hubs=2, hosts=1)
    cell.register_lag_s = 2.0
    (host,) = cell.hosts
    step = {"count": 1, "cpu": 1000, "mem-mb": 16}
    before = cell.submit(cell.leader(), step | {"requirements": "a"}, spec="run 0.1")
    cell.wait_for(cell.leader(), before, "completed")
    host.labels = ("b", "r1")
    host.crash()
    if taken_over:
        cell.leader().kill()
    old_kind = cell.submit(cell.leader(), step | {"requirements": "a"})
    new_kind = cell.submit(cell.leader(), step | {"requirements": "b"})
    cell.wait_for(cell.leader(), new_kind, "completed")
    assert cell.starts(old_kind) == []


# Guards against waiting for an entry that tells no start of its host.
def test_a_restarted_host_whose_entries_lack_their_birth_gets_tasks(start_hubs):
    cell = start_hubs(hosts=1)
    (host,) = cell.hosts
    entry = cell.store.value("servers", "", host.host)
    del entry["born"]
    cell.store.put("servers", host.host, entry)
    host.register = lambda: None
    gevent.sleep(0.5)  # until the owner has read it
    host.crash()
    cell.wait_for(cell.leader(), cell.submit(cell.leader()), "completed")


# Guards against stopping tasks as an earlier incarnation was about to leave.
def test_a_host_that_is_back_is_not_taken_for_draining(start_hubs):
    cell = start_hubs(hosts=1)
    cell.register_lag_s = 0.5
    (host,) = cell.hosts
    cell.list_host(host, state="draining")
    gevent.sleep(cell.hubs[0].settings.bounds.host_drain_ms / 1000)
    host.crash()
    gevent.spawn_later(0.6, cell.list_host, host)
    task = {"count": 1, "cpu": 1000, "estimated-runtime-ms": 5000}
    job = cell.submit(cell.leader(), task, spec="run 2")
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 1


# Guards against taking the end of an earlier incarnation for that of the next.
def test_a_host_that_drains_again_after_a_restart_keeps_its_tasks(start_hubs):
    cell = start_hubs(hosts=1)
    (host,) = cell.hosts
    cell.list_host(host, state="draining")
    gevent.sleep(cell.hubs[0].settings.bounds.host_drain_ms / 1000)
    host.crash()
    cell.list_host(host)
    task = {"count": 1, "cpu": 1000, "estimated-runtime-ms": 1000}
    job = cell.submit(cell.leader(), task, spec="run 1")
    cell.until(lambda: cell.starts(job), "the job did not start")
    cell.list_host(host, state="draining")
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 1


# Guards against an acknowledgement that makes a later incarnation forget unread ends.
def test_an_end_outlives_a_hold_that_arrives_after_a_restart(start_hubs):
    cell = start_hubs(hosts=1)
    (host,) = cell.hosts
    for _ in range(3):
        cell.wait_for(cell.leader(), cell.submit(cell.leader()), "completed")
    gevent.sleep(REPORT_WAIT_S)
    host.crash()
    job = cell.submit(cell.leader(), spec="run 1")
    cell.until(lambda: cell.starts(job), "the job did not start")
    host.silent = True
    cell.until(lambda: not host.running(), "the job did not end")
    host.receive_late_hold()
    host.silent = False
    cell.wait_for(cell.leader(), job, "completed")
    assert len(cell.starts(job)) == 1


# Guards against taking a lease for ended that a late hold gave to a later incarnation.
def test_a_task_moves_only_after_the_lease_of_a_hold_that_arrived_late(start_hubs):
    cell = start_hubs(hosts=2)
    restarting, other = cell.hosts
    cell.list_host(other, state="draining")
    cell.until(lambda: restarting.clock_ms > MAX_LEASE_MS / 2, "the clock stands")
    restarting.crash()
    job = cell.submit(cell.leader(), WHOLE_HOST, spec="run 30")
    cell.until(lambda: cell.starts(job), "the job did not start")
    restarting.silent = True
    restarting.receive_late_hold()
    cell.list_host(other)
    cell.until(other.running, "the task did not move", 25.0)
    assert find_double_runs(cell.journal) == []
