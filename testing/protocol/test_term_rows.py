from types import SimpleNamespace

import pytest

from primrosehub.border.codec import encode
from primrosehub.border.hub_settings import Bounds
from primrosehub.core.rows import RowKey, RowsPage, StoredRow
from primrosehub.kernel.clock import unix_ms
from primrosehub.services._owner_term import OwnerTerm
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


@pytest.fixture
def take_over():
    def load(jobs, weight):
        services = {
            STORE: JobRows(jobs),
            OWNERSHIP: SimpleNamespace(),
            CLUSTER_CONFIG: SimpleNamespace(current=a_cluster_config(weight=weight)),
            ADVISING: FakeAdvising(),
            METRICS: FakeMetrics(),
        }
        kernel = FakeKernel(services, SimpleNamespace(bounds=Bounds()))
        term = OwnerTerm(kernel, 2, FakeTasks())
        term.rows.load()
        return term.book.jobs

    return load


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
