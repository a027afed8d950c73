"""Planned stops of all daemons that follow each other while callers submit jobs."""

import random

import gevent
import pytest

from primrosehub.border.http_client import NotSent
from primrosehub_standins.hub_cell import PREFIX

HUBS = 7
STOP_INTERVAL_S = 0.4
JOB = b'{"spec":"run 0.1","phases":[{"count":1,"cpu":500,"mem-mb":64}]}'


def restart(hub, down_s):
    hub.stop()
    gevent.sleep(down_s)
    hub.start()


def submit_until_taken(cell, rng, job):
    """Submit to daemons in turn, as callers do while some refuse connections."""
    while True:
        running = [hub for hub in cell.hubs if hub.kernel]
        ready = [hub for hub in running if not hub.kernel.stopping.is_set()]
        try:
            answer = cell.call(rng.choice(ready or running), "POST", PREFIX + job, JOB)
        except NotSent:
            gevent.sleep(0.02)
            continue
        # Any other failure of the exchange is a request without an answer.
        if answer.status == 200:
            return
        assert answer.status in (503, 504), answer
        gevent.sleep(0.1)


@pytest.mark.parametrize("seed", [1, 2])
def test_stops_that_overlap_lose_no_request_and_no_job(start_hubs, seed):
    rng = random.Random(seed)
    cell = start_hubs(hubs=HUBS, hosts=4)
    stops = [
        gevent.spawn_later(
            number * STOP_INTERVAL_S + rng.uniform(0.0, STOP_INTERVAL_S),
            restart,
            hub,
            rng.uniform(0.3, 1.5),
        )
        for number, hub in enumerate(rng.sample(cell.hubs, HUBS))
    ]
    jobs, callers = [], []
    while not all(stop.ready() for stop in stops):
        jobs.append(cell.new_id())
        callers.append(gevent.spawn(submit_until_taken, cell, rng, jobs[-1]))
        gevent.sleep(0.05)
    gevent.joinall([*stops, *callers], raise_error=True)
    leader = cell.leader()
    for job in jobs:
        cell.wait_for(leader, job, "completed")
        assert len(cell.starts(job)) == 1
