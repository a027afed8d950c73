"""An owner that is cut off, alone or with other daemons and worker hosts."""

import gevent
import pytest

from primrosehub_standins.hub_cell import find_double_runs

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
    cell.until(lambda: any(h.leading for h in outside), "no other daemon took over")
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
