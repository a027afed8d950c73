from contextlib import ExitStack

import gevent
import pytest

from primrosehub.border.codec import from_plain, to_plain
from primrosehub.border.rule_file import parse_rules
from primrosehub.border.settings import Timing
from primrosehub.core import keys
from primrosehub.core.members import ShardOwner
from primrosehub.core.table import ABSENT, Expect, Transaction, Write
from primrosehub.core.work import Job, JobState, TaskState
from primrosehub.kernel import TaskGroup
from primrosehub.services._shard_context import Ownership, ShardServices
from primrosehub.services._shard_run import ShardRun
from primrosehub.services.grants import GrantsService
from primrosehub.services.names import METRICS, v1
from primrosehub.services.names.v1 import CellView
from primrosehub_standins.journal import Journal
from primrosehub_standins.web import serve
from primrosehub_standins.worker import WorkerStandin
from testing.builders import a_job, a_rule_file, a_size, a_worker
from testing.conftest import FAST_TIMING
from testing.fakes import FakeConfiguration, FakeKernel, FakeMetrics, FakeTable

SHARD = "region-1-000"


class FakePeers:
    def summaries(self):
        return {}

    def notify_inbox(self, shard):
        pass


class FakeMembership:
    def __init__(self):
        self.view = CellView(confirmed_at=float("inf"))

    def refresh(self):
        pass


class Shard:
    """Run one shard on a table in memory and one worker host on loopback."""

    def __init__(self, stack):
        self.table = FakeTable()
        self.worker = WorkerStandin(
            "worker-1", {"cpu_m": 8000, "memory_mb": 16384}, Journal(None)
        )
        server = serve("127.0.0.1", 0, self.worker.app)
        stack.callback(server.stop)
        host = a_worker(capacity=a_size(8, 16))
        self.host = type(host)(
            **{f: getattr(host, f) for f in host.__slots__}
            | {"port": server.server_port}
        )
        self.tasks = TaskGroup(self.record_error)
        stack.callback(self.tasks.close)
        self.errors = []
        configuration = FakeConfiguration(parse_rules(a_rule_file()))
        grants = GrantsService(
            FakeKernel(
                {
                    v1.TABLE: self.table,
                    METRICS: FakeMetrics(),
                    v1.CONFIGURATION: configuration,
                }
            )
        )
        grants.start(ExitStack())
        self.services = ShardServices(
            configuration=configuration,
            grants=grants,
            membership=FakeMembership(),
            metrics=FakeMetrics(),
            peers=FakePeers(),
            table=self.table,
            hosts=lambda shard: {"worker-1": self.host},
            capacity=lambda: a_size(8, 16),
        )

    def record_error(self, name, error):
        self.errors.append((name, error))

    def start_owner(self, epoch):
        row = self.table.rows.get(keys.shard(SHARD))
        expect = Expect(keys.shard(SHARD), row.version if row else ABSENT)
        owner = Write(keys.shard(SHARD), to_plain(ShardOwner(f"owner-{epoch}", epoch)))
        version = self.table.commit(Transaction((expect,), (owner,))).version
        ownership = Ownership(SHARD, epoch, version, released=True)
        run = ShardRun(ownership, self.services, Timing(**FAST_TIMING), self.tasks)
        self.tasks.spawn("run", run.run)
        return run

    def submit(self, job):
        rows = (
            Write(keys.job(job.id), to_plain(job)),
            Write(keys.inbox(SHARD, job.id), {}),
        )
        self.table.commit(Transaction((), rows))

    def job(self, job_id):
        return from_plain(Job, self.table.rows[keys.job(job_id)].value)

    def wait(self, condition):
        with gevent.Timeout(20):
            while not condition():
                assert not self.errors
                gevent.sleep(0.02)


@pytest.fixture
def shard():
    with ExitStack() as stack:
        yield Shard(stack)


def assigns(transaction):
    """Tell whether a transaction assigns a task to a worker host."""
    jobs = [
        w.value for w in transaction.writes if w.key.startswith(keys.JOB) and w.value
    ]
    return any(
        task.get("state") == "assigned" for job in jobs for task in job.get("tasks", ())
    )


def test_a_job_runs_to_its_end_and_leaves_no_open_row(shard):
    shard.start_owner(epoch=1)
    shard.submit(a_job())
    shard.wait(lambda: shard.job("blue.1").state is JobState.SUCCEEDED)
    left = [k for k in shard.table.rows if k.startswith(("open/", "inbox/"))]
    assert left == []


def test_an_assignment_of_unknown_outcome_is_read_back_and_ordered(shard):
    shard.start_owner(epoch=1)
    gevent.sleep(0.5)
    lost = []

    def lose_first_assignment(transaction):
        if assigns(transaction) and not lost:
            lost.append(transaction)
            return "reply lost"
        return None

    shard.table.failure_for = lose_first_assignment
    shard.submit(a_job())
    shard.wait(lambda: shard.job("blue.1").state is JobState.SUCCEEDED)
    assert lost
    assert shard.job("blue.1").tasks[0].attempt == 1


def test_a_job_that_waits_is_found_by_the_next_owner(shard):
    old = shard.start_owner(epoch=1)
    shard.submit(a_job("blue.1", tasks=8))
    shard.submit(a_job("blue.2"))
    inbox = [keys.inbox(SHARD, name) for name in ("blue.1", "blue.2")]
    shard.wait(lambda: not any(key in shard.table.rows for key in inbox))
    assert shard.job("blue.2").tasks[0].state is TaskState.PENDING
    old.close()
    shard.start_owner(epoch=2)
    shard.wait(lambda: shard.job("blue.2").state is JobState.SUCCEEDED)
    left = [k for k in shard.table.rows if k.startswith(("open/", "inbox/"))]
    assert left == []


def test_an_owner_that_lost_its_shard_changes_nothing_more(shard):
    shard.start_owner(epoch=1)
    gevent.sleep(0.3)
    shard.start_owner(epoch=2)
    for number in range(5):
        shard.submit(a_job(f"blue.{number}"))
        shard.wait(lambda n=number: shard.job(f"blue.{n}").state is JobState.SUCCEEDED)
        assert shard.job(f"blue.{number}").tasks[0].attempt == 1


def test_an_owner_that_lost_its_shard_writes_nothing(shard):
    old = shard.start_owner(epoch=1)
    gevent.sleep(0.3)
    shard.start_owner(epoch=2).close()
    shard.submit(a_job())
    shard.wait(lambda: old.closed)
    assert shard.job("blue.1").tasks[0].state is TaskState.PENDING


def test_a_task_assigned_by_a_crashed_owner_and_never_ordered_is_started(shard):
    first = shard.start_owner(epoch=1)
    shard.wait(lambda: first.syncs >= 2)
    shard.table.failure_for = lambda t: first.close() if assigns(t) else None
    shard.submit(a_job())
    shard.wait(lambda: shard.job("blue.1").tasks[0].state is TaskState.ASSIGNED)
    shard.table.failure_for = lambda t: None
    shard.start_owner(epoch=2)
    shard.wait(lambda: shard.job("blue.1").state is JobState.SUCCEEDED)
    assert shard.job("blue.1").tasks[0].attempt == 1


def test_a_worker_host_refuses_an_older_epoch(shard):
    shard.start_owner(epoch=2)
    shard.wait(lambda: shard.worker._epoch == 2)
    stale = {"shard": SHARD, "epoch": 1, "token": 1, "lease_s": 3.0, "stops": []}
    assert shard.worker.sync(stale)["installed_epoch"] == 2


@pytest.mark.parametrize("failure", ["unavailable", "reply lost"])
def test_an_end_reported_while_commits_fail_is_not_lost(shard, failure):
    shard.start_owner(epoch=1)
    failures = []

    def fail_twice(transaction):
        if any(
            '"succeeded"' in str(w.value).replace("'", '"') for w in transaction.writes
        ):
            failures.append(transaction)
        return failure if failures and len(failures) <= 2 else None

    shard.table.failure_for = fail_twice
    shard.submit(a_job())
    shard.wait(lambda: shard.job("blue.1").state is JobState.SUCCEEDED)
    assert failures
