"""Build a planner with jobs and worker hosts, without a daemon."""

from types import SimpleNamespace

import gevent

from primrosehub.core.fleet import EndKind, Ticket
from primrosehub.core.resources import NO_RESOURCES
from primrosehub.kernel.clock import steady_s
from primrosehub.services._job_book import JobBook, TaskPhase, apply_end
from primrosehub.services._planner import Planner
from primrosehub.services._queue_report import QueueReport
from testing.builders.cluster import (
    a_cluster_config,
    a_queue,
    a_step,
    a_worker_host,
    an_accepted_job,
    an_advice_cost,
)
from testing.fakes import FakeAdvising, FakeHostSession, FakeMetrics, FakeTasks

QUICK_QUEUE = a_queue(advice=an_advice_cost())
LONG_QUEUE = a_queue(name="audits", prefix="/audits/", advice=an_advice_cost(0.4))


class PlannerHarness:
    """Plan for a few worker hosts of eight cores; the test answers calls for advice."""

    def __init__(self, hosts=2, callers=1, staying=None, limit=NO_RESOURCES):
        self.advising = FakeAdvising(callers, staying)
        self.book = JobBook(1)
        self.tasks = FakeTasks()
        infos = [a_worker_host(f"h{number}") for number in range(hosts)]
        self.term = SimpleNamespace(
            book=self.book,
            config=SimpleNamespace(
                current=a_cluster_config(QUICK_QUEUE, LONG_QUEUE, limit=limit)
            ),
            ownership=SimpleNamespace(confirmed_by_store_at=steady_s() + 1000),
            sessions={info.host: FakeHostSession(info) for info in infos},
            advising=self.advising,
            metrics=FakeMetrics(),
            tasks=self.tasks,
            may_order=True,
            settled=True,
        )
        self.term.queue_report = QueueReport(self.term)
        self.planner = Planner(self.term)

    def add(self, number, step, queue=QUICK_QUEUE):
        accepted = an_accepted_job(step, job=f"{number:016x}", queue=queue.name)
        job = self.book.add(accepted, queue, None, 0.0, False)
        job.submitted_at = steady_s()
        return accepted.job

    def fill_all_hosts(self, number):
        """Add a running job that fills every worker host."""
        job = self.add(number, a_step(tasks=len(self.term.sessions), cpu_m=8000))
        (step,) = self.book.jobs[job].steps.values()
        for task, session in zip(step.tasks, self.term.sessions.values(), strict=True):
            self.book.bind(task, session.host, 1, TaskPhase.RUNNING)
            session.assigned_tasks[task] = None
        return step

    def end(self, task):
        session = self.term.sessions[task.host]
        del session.assigned_tasks[task]
        apply_end(self.book, task, EndKind.DONE, session.host, "")

    def expire_tickets(self, job):
        """Give a step hosts that it may use and only expired tickets."""
        (step,) = self.book.jobs[job].steps.values()
        hosts = frozenset(self.term.sessions)
        step.allowed_hosts, step.hosts_asked_about = hosts, set(hosts)
        step.tickets = {host: Ticket("old", 0.0) for host in hosts}

    def plan_until_settled(self):
        """Plan until answers to calls for advice take effect and new calls are made."""
        for _ in range(4):
            self.planner.plan_once()
            gevent.sleep(0)
