from types import SimpleNamespace

import gevent
import pytest

from primrosehub.border.codec import encode
from primrosehub.border.hub_settings import Bounds
from primrosehub.core.rows import HistoryLost, RowKey, RowsPage, StoredRow
from primrosehub.kernel.clock import unix_ms
from primrosehub.services._owner_term import OwnerTerm
from primrosehub.services._term_rows import ROWS_PER_TURN
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import (
    ADVISING,
    CLUSTER_CONFIG,
    OWNERSHIP,
    STORE,
)
from testing.builders.cluster import a_cluster_config, an_accepted_job
from testing.fakes import FakeAdvising, FakeKernel, FakeMetrics, FakeTasks

PART = "hub-1"


class JobRows:
    """Return stored jobs in the order of their keys, as the store does."""

    def __init__(self, jobs):
        self._rows = tuple(
            StoredRow(RowKey("job", PART, job.job), encode(job), 1)
            for job in sorted(jobs, key=lambda job: job.job)
        )

    def parts(self, table):
        return [PART]

    def read_part(self, table, part):
        return RowsPage(self._rows if table == "job" else (), 1)

    def read_one(self, key):
        return None


class RowsOfAPartThatBegins:
    """Begin the only part of a table right after its parts are listed."""

    def __init__(self, job):
        self._row = StoredRow(RowKey("job", PART, job.job), encode(job), 2)
        self._begun = False
        self._history_lost = True

    def parts(self, table):
        found = [PART] if self._begun else []
        self._begun = True
        return found

    def read_part(self, table, part):
        rows = (self._row,) if self._begun and table == "job" else ()
        return RowsPage(rows, 2 if self._begun else 1)

    def changes(self, table, after, wait_s):
        if self._history_lost:
            self._history_lost = False
            raise HistoryLost
        gevent.sleep(0.01)
        return RowsPage((self._row,) if after < self._row.version else (), 2)


def a_term(store, weight=100.0):
    services = {
        STORE: store,
        OWNERSHIP: SimpleNamespace(),
        CLUSTER_CONFIG: SimpleNamespace(current=a_cluster_config(weight=weight)),
        ADVISING: FakeAdvising(),
        METRICS: FakeMetrics(),
    }
    kernel = FakeKernel(services, SimpleNamespace(bounds=Bounds()))
    return OwnerTerm(kernel, 2, FakeTasks())


@pytest.fixture
def take_over():
    def load(jobs, weight):
        term = a_term(JobRows(jobs), weight)
        term.rows.load()
        return term.book.jobs

    return load


# Guards against a daemon that answers no pings while it loads the rows of a long day.
def test_other_tasks_get_turns_while_a_term_loads():
    jobs = [an_accepted_job(job=f"{number:016x}") for number in range(1000)]
    term = a_term(JobRows(jobs))
    turns = []

    def take_turns():
        while True:
            turns.append(len(term.book.jobs))
            gevent.sleep(0)

    other = gevent.spawn(take_turns)
    term.rows.load()
    other.kill()
    assert len({jobs for jobs in turns if 0 < jobs < 1000}) >= 1000 // ROWS_PER_TURN - 1


# Guards against missing a job or cancellation of a daemon that has just begun to store.
def test_rows_of_a_part_that_begins_while_all_rows_are_read_again_are_found():
    job = an_accepted_job()
    term = a_term(RowsOfAPartThatBegins(job))
    follower = gevent.spawn(term.rows._follow, "job", 0, term.rows._apply_job_row)
    with gevent.Timeout(5.0, AssertionError("the job is not found")):
        while job.job not in term.book.jobs:
            gevent.sleep(0.01)
    follower.kill()


def test_jobs_within_their_teams_share_stay_so_after_a_take_over(take_over):
    # One job per second, in an order that differs from the order of the ids.
    began_ms = unix_ms() - 30_000
    jobs = [
        an_accepted_job(job=f"{number * 7 % 30:016x}", at_ms=began_ms + number * 1000)
        for number in range(30)
    ]
    found = take_over(jobs, weight=1.0)
    assert len(found) == 30
    assert not any(job.beyond_share for job in found.values())
