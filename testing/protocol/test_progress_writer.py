from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from primrosehub.core.fleet import EndKind
from primrosehub.core.rows import StoreRefused
from primrosehub.services._job_book import JobBook, TaskPhase, apply_end
from primrosehub.services._progress_writer import ProgressWriter
from primrosehub.services._witnesses import Witnesses
from testing.builders.cluster import a_queue, a_task_id, an_accepted_job
from testing.fakes import BlockedOwnership, FakeMetrics


class FakeSession:
    def __init__(self):
        self.info = SimpleNamespace(address="10.0.0.1:80")
        self.last_received_end, self.last_stored_end = 0, 0
        self.ends_stored, self.enrolled = Event(), False


@pytest.fixture
def term():
    return SimpleNamespace(
        book=JobBook(1),
        sessions={"h1": FakeSession()},
        ownership=BlockedOwnership(),
        metrics=FakeMetrics(),
        wake=lambda: None,
        settled=False,
        witnesses=Witnesses(0.0),
    )


def end_a_task(term):
    term.book.add(an_accepted_job(), a_queue(), None, 0.0, False)
    task = term.book.task(a_task_id())
    term.book.bind(task, "h1", 1, TaskPhase.RUNNING)
    apply_end(term.book, task, EndKind.DONE, "h1", "")
    term.sessions["h1"].last_received_end = 1


def test_a_second_flush_acknowledges_nothing_that_the_first_has_not_stored(term):
    writer, session = ProgressWriter(term), term.sessions["h1"]
    term.ownership.may_commit.set()
    writer.flush()
    term.ownership.may_commit.clear()
    end_a_task(term)
    flushes = [gevent.spawn(writer.flush) for _ in range(2)]
    gevent.sleep(0.01)
    assert session.last_stored_end == 0
    term.ownership.may_commit.set()
    gevent.joinall(flushes)
    assert session.last_stored_end == 1


def test_an_end_that_could_not_be_stored_is_not_acknowledged(term):
    writer, session = ProgressWriter(term), term.sessions["h1"]
    end_a_task(term)
    term.ownership.refuse = True
    term.ownership.may_commit.set()
    with pytest.raises(StoreRefused):
        writer.flush()
    assert session.last_stored_end == 0
    term.ownership.refuse = False
    writer.flush()
    assert session.last_stored_end == 1


def test_a_host_is_used_only_after_the_roster_names_it(term):
    writer, session = ProgressWriter(term), term.sessions["h1"]
    flush = gevent.spawn(writer.flush)
    gevent.sleep(0.01)
    assert not session.enrolled
    term.ownership.may_commit.set()
    flush.join()
    assert session.enrolled
    assert any(
        write.key.table == "roster"
        for transaction in term.ownership.commits
        for write in transaction.writes
    )


def test_a_job_is_shown_as_completed_only_once_that_is_stored(term):
    writer = ProgressWriter(term)
    end_a_task(term)
    (job,) = term.book.jobs.values()
    flush = gevent.spawn(writer.flush)
    gevent.sleep(0.01)
    assert job.visible_state != "completed"
    term.ownership.may_commit.set()
    flush.join()
    assert job.visible_state == "completed"
