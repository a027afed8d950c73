import gevent
import pytest

from primrosehub.core.resources import Resources
from testing.builders.cluster import a_step
from testing.builders.planner_harness import LONG_QUEUE, PlannerHarness


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**layout):
        harnesses.append(PlannerHarness(**layout))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.tasks.close()


def test_one_free_place_lets_one_waiting_step_renew_its_tickets(make_harness):
    harness = make_harness(hosts=2, callers=9)
    running = harness.fill_all_hosts(0)
    harness.plan_until_settled()
    waiting = [harness.add(number, a_step(cpu_m=8000)) for number in range(1, 9)]
    for job in waiting:
        harness.expire_tickets(job)
    harness.plan_until_settled()
    assert harness.advising.calls == []
    harness.end(running.tasks[0])
    harness.plan_until_settled()
    assert harness.advising.calls == waiting[:1]


def test_no_advice_is_asked_for_a_step_whose_team_is_at_its_limit(make_harness):
    harness = make_harness(hosts=3, callers=9, limit=Resources(24_000))
    harness.fill_all_hosts(0)
    harness.plan_until_settled()
    calls_before = list(harness.advising.calls)
    for number in range(1, 9):
        harness.add(number, a_step())
    harness.plan_until_settled()
    assert harness.advising.calls == calls_before


def test_no_more_calls_are_under_way_than_daemons_can_make(make_harness):
    harness = make_harness(hosts=4, callers=2)
    for number in range(8):
        harness.add(number, a_step())
    harness.plan_until_settled()
    assert len(harness.advising.under_way) == 2


def test_advice_for_a_quick_job_does_not_queue_behind_long_jobs(make_harness):
    harness = make_harness(hosts=8, callers=1)
    long_jobs = [
        harness.add(number, a_step(cpu_m=4000, estimate_s=5.0), LONG_QUEUE)
        for number in range(5)
    ]
    harness.plan_until_settled()
    quick_job = harness.add(9, a_step(estimate_s=0.5))
    harness.plan_until_settled()
    harness.advising.answer(long_jobs[0])
    harness.plan_until_settled()
    assert harness.advising.calls == [long_jobs[0], quick_job]


def test_the_only_host_with_room_is_asked_about(make_harness):
    harness = make_harness(hosts=30)
    running = harness.fill_all_hosts(0)
    harness.end(running.tasks[-1])
    harness.add(1, a_step(cpu_m=8000))
    harness.plan_until_settled()
    assert "h29" in harness.advising.hosts_asked


def test_long_calls_leave_daemons_for_quick_jobs(make_harness):
    harness = make_harness(hosts=8, callers=3)
    long_jobs = [
        harness.add(number, a_step(cpu_m=4000, estimate_s=5.0), LONG_QUEUE)
        for number in range(5)
    ]
    harness.plan_until_settled()
    quick_jobs = [harness.add(number, a_step(estimate_s=0.5)) for number in (8, 9)]
    harness.plan_until_settled()
    assert harness.advising.under_way == [long_jobs[0], *quick_jobs]


def test_daemons_that_leave_allow_no_more_long_calls(make_harness):
    harness = make_harness(hosts=8, callers=7, staying=3)
    for number in range(5):
        harness.add(number, a_step(cpu_m=4000, estimate_s=5.0), LONG_QUEUE)
    harness.plan_until_settled()
    assert len(harness.advising.under_way) == 1


def test_a_single_daemon_makes_long_calls_too(make_harness):
    harness = make_harness(hosts=8, callers=1)
    job = harness.add(1, a_step(cpu_m=4000, estimate_s=5.0), LONG_QUEUE)
    harness.plan_until_settled()
    assert harness.advising.under_way == [job]


def test_the_next_call_does_not_wait_for_a_plan(make_harness):
    harness = make_harness(hosts=4, callers=1)
    jobs = [harness.add(number, a_step()) for number in range(3)]
    harness.plan_until_settled()
    harness.advising.answer(jobs[0])
    gevent.sleep(0.01)
    assert harness.advising.calls == jobs[:2]


def test_no_call_is_made_for_a_job_cancelled_since_the_plan(make_harness):
    harness = make_harness(hosts=4, callers=1)
    jobs = [harness.add(number, a_step()) for number in range(3)]
    harness.plan_until_settled()
    harness.book.cancel(jobs[1])
    harness.advising.answer(jobs[0])
    gevent.sleep(0.01)
    assert harness.advising.calls == [jobs[0], jobs[2]]
