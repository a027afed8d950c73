from types import SimpleNamespace

import gevent
import pytest

from primrosehub.core.fleet import EndKind, Ticket
from primrosehub.core.resources import NOTHING, Resources
from primrosehub.kernel.clock import steady_s
from primrosehub.services._job_book import JobBook, TaskPhase, apply_end
from primrosehub.services._planner import Planner
from testing.builders.cluster import (
    a_config,
    a_host,
    a_queue,
    a_step,
    an_accepted_job,
    an_advice_cost,
)
from testing.fakes import FakeAdvising, FakeHostSession, FakeMetrics, FakeTasks

QUICK = a_queue(advice=an_advice_cost())
LONG = a_queue(name="audits", prefix="/audits/", advice=an_advice_cost(0.4))


class PlannedCell:
    """Plan for a few worker hosts of eight cores, with advice held back."""

    def __init__(self, hosts=2, callers=1, limit=NOTHING):
        self.advising = FakeAdvising(callers)
        self.book = JobBook(1)
        self.tasks = FakeTasks()
        infos = [a_host(f"h{number}") for number in range(hosts)]
        self.term = SimpleNamespace(
            book=self.book,
            config=SimpleNamespace(current=a_config(QUICK, LONG, limit=limit)),
            ownership=SimpleNamespace(confirmed_by_store_at=steady_s() + 1000),
            sessions={info.host: FakeHostSession(info) for info in infos},
            advising=self.advising,
            metrics=FakeMetrics(),
            tasks=self.tasks,
        )
        self.planner = Planner(self.term)

    def add(self, number, step, queue=QUICK):
        accepted = an_accepted_job(step, job=f"{number:016x}", queue=queue.name)
        job = self.book.add(accepted, queue, None, 0.0, False)
        job.submitted_at = steady_s()
        return accepted.job

    def start_all_over(self, number):
        """Add a job that fills every worker host and runs already."""
        job = self.add(number, a_step(tasks=len(self.term.sessions), cpu_m=8000))
        (step,) = self.book.jobs[job].steps.values()
        for task, session in zip(step.tasks, self.term.sessions.values(), strict=True):
            self.book.bind(task, session.host, 1, TaskPhase.RUNNING)
            session.bound[task] = None
        return step

    def end(self, task):
        session = self.term.sessions[task.host]
        del session.bound[task]
        apply_end(self.book, task, EndKind.DONE, session.host, "")

    def let_tickets_expire(self, job):
        """Leave a step with hosts that it may use and no valid ticket."""
        (step,) = self.book.jobs[job].steps.values()
        hosts = frozenset(self.term.sessions)
        step.allowed, step.asked = hosts, set(hosts)
        step.tickets = {host: Ticket("old", 0.0) for host in hosts}

    def settle(self):
        """Plan until the calls that were answered and begun have had their effect."""
        for _ in range(4):
            self.planner.plan_once()
            gevent.sleep(0)


@pytest.fixture
def cells():
    made = []

    def make(**layout):
        made.append(PlannedCell(**layout))
        return made[-1]

    yield make
    for cell in made:
        cell.tasks.close()


def test_one_free_place_lets_one_waiting_step_renew_its_tickets(cells):
    cell = cells(hosts=2, callers=9)
    full = cell.start_all_over(0)
    cell.settle()
    waiting = [cell.add(number, a_step(cpu_m=8000)) for number in range(1, 9)]
    for job in waiting:
        cell.let_tickets_expire(job)
    cell.settle()
    assert cell.advising.calls == []
    cell.end(full.tasks[0])
    cell.settle()
    assert cell.advising.calls == waiting[:1]


def test_no_advice_is_asked_for_a_step_whose_team_is_at_its_limit(cells):
    cell = cells(hosts=3, callers=9, limit=Resources(24_000))
    cell.start_all_over(0)
    cell.settle()
    before = list(cell.advising.calls)
    for number in range(1, 9):
        cell.add(number, a_step())
    cell.settle()
    assert cell.advising.calls == before


def test_no_more_calls_are_under_way_than_daemons_can_make(cells):
    cell = cells(hosts=4, callers=2)
    for number in range(8):
        cell.add(number, a_step())
    cell.settle()
    assert len(cell.advising.under_way) == 2


def test_advice_for_a_quick_job_does_not_queue_behind_long_jobs(cells):
    cell = cells(hosts=8, callers=1)
    audits = [
        cell.add(number, a_step(cpu_m=4000, estimate_s=5.0), LONG)
        for number in range(5)
    ]
    cell.settle()
    quick = cell.add(9, a_step(estimate_s=0.5))
    cell.settle()
    cell.advising.answer(audits[0])
    cell.settle()
    assert cell.advising.calls == [audits[0], quick]


def test_the_only_host_with_room_is_asked_about(cells):
    cell = cells(hosts=30)
    full = cell.start_all_over(0)
    cell.end(full.tasks[-1])
    cell.add(1, a_step(cpu_m=8000))
    cell.settle()
    assert "h29" in cell.advising.hosts_asked
