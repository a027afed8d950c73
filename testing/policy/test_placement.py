import pytest
from testing.builders import a_job, a_service, a_size, an_all_at_once

from primrosehub.core.resources import NO_RESOURCES
from primrosehub.policy.placement import (
    BehindReservation,
    HostRoom,
    NoRoom,
    OverGrant,
    TeamState,
    plan,
)

CELL = a_size(64, 64, 4)
PLENTY = a_size(1000, 1000, 10)


def a_team(share=1, used=NO_RESOURCES, headroom=PLENTY):
    return TeamState(share, used, headroom)


def some_rooms(*cpus, racks=("rack-1",)):
    return [
        HostRoom(f"w{n}", racks[n % len(racks)], a_size(c, 64))
        for n, c in enumerate(cpus)
    ]


def planned(jobs, rooms, now_s=0.0, **teams):
    teams = teams or {"blue": a_team(), "green": a_team()}
    return plan(jobs, rooms, teams, CELL, now_s)


def hosts(result):
    return [placement.host for placement in result.placements]


def test_a_task_goes_where_least_is_left_over():
    assert hosts(planned([a_job()], some_rooms(8, 2, 4))) == ["w1"]


def test_a_job_is_tried_away_from_hosts_on_which_it_failed():
    teams = {"blue": a_team()}
    for rooms, host in ((some_rooms(8, 2), "w0"), (some_rooms(0, 2), "w1")):
        avoid = {"blue.1": frozenset({"w1"})}
        assert hosts(plan([a_job()], rooms, teams, CELL, 0.0, avoid)) == [host]


def test_an_accelerator_is_kept_for_work_that_asks_for_one():
    rooms = [HostRoom("gpu", "r", a_size(1, 1, 1)), HostRoom("cpu", "r", a_size(8, 8))]
    assert hosts(planned([a_job()], rooms)) == ["cpu"]


def test_no_host_gets_more_than_it_has_free():
    result = planned([a_job(tasks=5)], some_rooms(2, 1))
    assert sorted(hosts(result)) == ["w0", "w0", "w1"]
    assert result.blocked == {"blue.1": NoRoom(a_size())}


def test_a_team_is_never_placed_beyond_its_grant():
    result = planned(
        [a_job(tasks=5)], some_rooms(8), blue=a_team(headroom=a_size(2, 9))
    )
    assert len(result.placements) == 2
    assert result.blocked == {"blue.1": OverGrant(a_size())}


def test_all_at_once_starts_all_or_none():
    job = a_job(work=an_all_at_once(), tasks=4)
    assert planned([job], some_rooms(2, 1)).placements == []
    assert sorted(hosts(planned([job], some_rooms(2, 2)))) == ["w0", "w0", "w1", "w1"]


def test_an_old_all_at_once_job_reserves_room_against_later_jobs():
    old = a_job("blue.1", work=an_all_at_once(), tasks=4)
    late = a_job("blue.2", submitted_s=5.0)
    rooms = [HostRoom("w0", "r", a_size(2, 9), reclaimable=a_size(2, 9))]
    assert hosts(planned([old, late], [*rooms], now_s=10.0)) == ["w0"]
    rooms = [HostRoom("w0", "r", a_size(2, 9), reclaimable=a_size(2, 9))]
    result = planned([old, late], rooms, now_s=100.0)
    assert result.blocked["blue.2"] == BehindReservation("blue.1")


# Guards against an all-at-once job that can never start holding the hosts it asks for.
def test_an_all_at_once_job_that_never_fits_reserves_nothing():
    old = a_job("blue.1", work=an_all_at_once(), tasks=5)
    late = a_job("blue.2", submitted_s=5.0)
    rooms = [HostRoom("w0", "r", a_size(2, 9), reclaimable=a_size(2, 9))]
    assert hosts(planned([old, late], rooms, now_s=100.0)) == ["w0"]


# Guards against waiting for room that a service holds until it is cancelled.
def test_room_of_services_is_not_expected_to_be_free_for_an_all_at_once_job():
    service = a_job("blue.0", work=a_service(), size=a_size(2))
    old = a_job("blue.1", work=an_all_at_once(), tasks=4, submitted_s=1.0)
    late = a_job("blue.2", submitted_s=5.0)
    rooms = [HostRoom("w0", "r", a_size(4, 9))]
    result = planned([service, old, late], rooms, now_s=100.0)
    assert [p.job for p in result.placements] == ["blue.0", "blue.2"]


def test_service_tasks_spread_over_racks():
    rooms = some_rooms(8, 8, 8, 8, racks=("a", "b"))
    result = planned([a_job(work=a_service(), tasks=2)], rooms)
    assert {int(name[1]) % 2 for name in hosts(result)} == {0, 1}


def test_the_team_furthest_below_its_share_goes_first():
    jobs = [a_job("blue.1"), a_job("green.1", submitted_s=9.0)]
    teams = {"blue": a_team(used=a_size(4)), "green": a_team(used=a_size(1))}
    result = planned(jobs, some_rooms(1), **teams)
    assert [p.job for p in result.placements] == ["green.1"]


@pytest.mark.parametrize(("share", "expected"), [(1, 4), (3, 6)])
def test_a_full_cell_is_split_by_weight(share, expected):
    jobs = [a_job(f"{t}.{n}") for t in ("blue", "green") for n in range(9)]
    teams = {"blue": a_team(share=share), "green": a_team()}
    result = planned(jobs, some_rooms(8), **teams)
    assert sum(p.job.startswith("blue") for p in result.placements) == expected


def test_urgent_jobs_go_before_all_shares():
    jobs = [a_job("blue.1"), a_job("green.1", submitted_s=9.0, urgent=True)]
    assert planned(jobs, some_rooms(1)).placements[0].job == "green.1"
