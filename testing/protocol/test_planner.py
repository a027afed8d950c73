import pytest

from primrosehub.core.resources import Resources
from testing.builders.cluster import a_step
from testing.builders.planner_harness import LONG_QUEUE, PlannerHarness


@pytest.fixture
def cells():
    made = []

    def make(**layout):
        made.append(PlannerHarness(**layout))
        return made[-1]

    yield make
    for cell in made:
        cell.tasks.close()


def test_one_free_place_lets_one_waiting_step_renew_its_tickets(cells):
    cell = cells(hosts=2, callers=9)
    full = cell.fill_all_hosts(0)
    cell.plan_until_settled()
    waiting = [cell.add(number, a_step(cpu_m=8000)) for number in range(1, 9)]
    for job in waiting:
        cell.expire_tickets(job)
    cell.plan_until_settled()
    assert cell.advising.calls == []
    cell.end(full.tasks[0])
    cell.plan_until_settled()
    assert cell.advising.calls == waiting[:1]


def test_no_advice_is_asked_for_a_step_whose_team_is_at_its_limit(cells):
    cell = cells(hosts=3, callers=9, limit=Resources(24_000))
    cell.fill_all_hosts(0)
    cell.plan_until_settled()
    before = list(cell.advising.calls)
    for number in range(1, 9):
        cell.add(number, a_step())
    cell.plan_until_settled()
    assert cell.advising.calls == before


def test_no_more_calls_are_under_way_than_daemons_can_make(cells):
    cell = cells(hosts=4, callers=2)
    for number in range(8):
        cell.add(number, a_step())
    cell.plan_until_settled()
    assert len(cell.advising.under_way) == 2


def test_advice_for_a_quick_job_does_not_queue_behind_long_jobs(cells):
    cell = cells(hosts=8, callers=1)
    audits = [
        cell.add(number, a_step(cpu_m=4000, estimate_s=5.0), LONG_QUEUE)
        for number in range(5)
    ]
    cell.plan_until_settled()
    quick = cell.add(9, a_step(estimate_s=0.5))
    cell.plan_until_settled()
    cell.advising.answer(audits[0])
    cell.plan_until_settled()
    assert cell.advising.calls == [audits[0], quick]


def test_the_only_host_with_room_is_asked_about(cells):
    cell = cells(hosts=30)
    full = cell.fill_all_hosts(0)
    cell.end(full.tasks[-1])
    cell.add(1, a_step(cpu_m=8000))
    cell.plan_until_settled()
    assert "h29" in cell.advising.hosts_asked
