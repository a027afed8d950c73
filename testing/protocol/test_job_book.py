from dataclasses import replace

import pytest

from primrosehub.border.codec import decode, encode
from primrosehub.core.batch import JobProgress, JobState
from primrosehub.core.fleet import EndKind
from primrosehub.services._job_book import JobBook, TaskPhase, apply_end
from testing.builders.cluster import JOB_ID, a_queue, a_step, a_task_id, an_accepted_job


def a_book(*steps, epoch=1, progress=None, taken_over=False, queue=None):
    book = JobBook(epoch)
    accepted = an_accepted_job(*steps)
    book.add(accepted, queue or a_queue(), progress, 0.0, taken_over)
    return book


def run(book, index=0, step=0, host="h1"):
    task = book.task(a_task_id(index, step))
    book.bind(task, host, book.next_attempt([task]), TaskPhase.RUNNING)
    return task


def end(book, task, kind):
    return apply_end(book, task, kind, task.host, "")


def stored_and_loaded(book, **fields):
    progress = decode(JobProgress, encode(book.progress_of(book.jobs[JOB_ID])))
    steps = book.jobs[JOB_ID].accepted.spec.steps
    return a_book(*steps, progress=progress, taken_over=True, **fields)


def test_a_step_opens_when_all_before_it_are_done():
    book = a_book(a_step(2), a_step(after=(0,)))
    assert set(book.open_steps) == {(JOB_ID, 0, 0)}
    end(book, run(book, 0), EndKind.DONE)
    assert set(book.open_steps) == {(JOB_ID, 0, 0)}
    end(book, run(book, 1), EndKind.DONE)
    assert set(book.open_steps) == {(JOB_ID, 0, 1)}


# Guards against running a job whose cancellation reached the owner first.
def test_a_cancellation_that_precedes_its_job_is_applied_to_it():
    book = JobBook(1)
    assert book.cancel(JOB_ID) == []
    job = book.add(an_accepted_job(a_step(2)), a_queue(), None, 0.0, False)
    assert job.state is JobState.CANCELLED
    assert book.open_steps == {}
    assert book.dirty == {JOB_ID}


def test_a_job_fails_after_its_allowed_attempts_and_stops_the_rest():
    book = a_book(a_step(2), queue=a_queue(max_attempts=2))
    other = run(book, 1)
    end(book, run(book), EndKind.FAILED)
    stops = end(book, run(book), EndKind.FAILED)
    assert [stop.task for stop in stops] == [other]
    assert book.jobs[JOB_ID].state is JobState.FAILED
    assert not book.open_steps


# Guards against failing a job early because its route is away at a take-over.
@pytest.mark.parametrize(("accepted_with", "allowed"), [(3, 3), (0, 1)])
def test_a_job_without_its_queue_has_the_attempts_it_was_submitted_with(
    accepted_with, allowed
):
    book = JobBook(1)
    accepted = replace(an_accepted_job(), max_attempts=accepted_with)
    job = book.add(accepted, None, None, 0.0, True)
    for _ in range(allowed - 1):
        end(book, run(book), EndKind.FAILED)
        assert job.state is JobState.QUEUED
    end(book, run(book), EndKind.FAILED)
    assert job.state is JobState.FAILED


def test_a_failure_listed_again_after_a_take_over_counts_once():
    book = a_book(queue=a_queue(max_attempts=2))
    task = run(book)
    attempt = task.attempt
    end(book, task, EndKind.FAILED)
    reloaded = stored_and_loaded(book, epoch=2, queue=a_queue(max_attempts=2))
    assert reloaded.end_failed(reloaded.task(a_task_id()), attempt, "h1") == []
    assert reloaded.jobs[JOB_ID].state is not JobState.FAILED


def test_an_end_other_than_failed_costs_no_attempt():
    book = a_book(queue=a_queue(max_attempts=1))
    for kind in (EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE):
        end(book, run(book), kind)
    assert book.jobs[JOB_ID].state is JobState.QUEUED
    assert book.task(a_task_id()).phase is TaskPhase.WAITING


def test_attempts_of_a_new_epoch_are_above_all_of_the_one_before():
    book = a_book()
    first = run(book).attempt
    reloaded = stored_and_loaded(book, epoch=2)
    assert reloaded.next_attempt([reloaded.task(a_task_id())]) > first + 900


def test_after_a_take_over_no_task_waits_until_the_hosts_are_asked():
    book = a_book(a_step(3), epoch=2, taken_over=True)
    (step,) = book.open_steps.values()
    assert step.waiting == []
    book.settle()
    assert len(step.waiting) == 3


# Guards against a job that counts as begun at a take-over after a refused start.
def test_a_job_whose_only_start_was_refused_has_not_begun_after_a_take_over():
    book = a_book()
    task = book.task(a_task_id())
    book.bind(task, "h1", 1, TaskPhase.STARTING)
    end(book, task, EndKind.STOPPED)
    assert book.waiting_in("quotes") == 1
    assert stored_and_loaded(book, epoch=2).waiting_in("quotes") == 1


def test_a_job_that_has_begun_stays_so_through_a_take_over():
    book = a_book(a_step(2))
    end(book, run(book), EndKind.LAPSED)
    assert stored_and_loaded(book, epoch=2).waiting_in("quotes") == 0


def test_done_tasks_stay_done_through_a_take_over():
    book = a_book(a_step(2), a_step(after=(0,)))
    end(book, run(book, 0), EndKind.DONE)
    reloaded = stored_and_loaded(book, epoch=2)
    assert reloaded.task(a_task_id(0)).phase is TaskPhase.DONE
    assert reloaded.task(a_task_id(1)).phase is TaskPhase.WAITING


def test_one_success_of_a_gang_completes_the_whole_gang():
    book = a_book(a_step(3, gang=True))
    tasks = [run(book, index) for index in range(3)]
    end(book, tasks[0], EndKind.DONE)
    assert book.jobs[JOB_ID].state is JobState.COMPLETED


def test_a_gang_that_lost_a_member_is_stopped_whole():
    book = a_book(a_step(3, gang=True))
    tasks = [run(book, index) for index in range(3)]
    stops = end(book, tasks[0], EndKind.LAPSED)
    assert [stop.task for stop in stops] == tasks[1:]


def test_several_failed_ends_of_one_gang_attempt_count_once():
    book = a_book(a_step(2, gang=True), queue=a_queue(max_attempts=2))
    tasks = [run(book, index) for index in range(2)]
    end(book, tasks[0], EndKind.FAILED)
    end(book, tasks[1], EndKind.FAILED)
    assert book.jobs[JOB_ID].state is not JobState.FAILED


def test_room_of_a_team_is_counted_until_its_tasks_have_ended():
    book = a_book(a_step(2))
    tasks = [run(book, index) for index in range(2)]
    assert book.used_by_team["blue"].cpu_m == 2000
    end(book, tasks[0], EndKind.DONE)
    assert book.used_by_team["blue"].cpu_m == 1000


def test_a_cancelled_job_names_what_is_to_be_stopped_and_starts_nothing():
    book = a_book(a_step(2))
    task = run(book)
    assert [stop.task for stop in book.cancel(JOB_ID)] == [task]
    assert not book.open_steps
    assert book.cancel(JOB_ID) == []


def test_a_checkpoint_is_kept_for_the_next_attempt_and_stored():
    book = a_book(a_step(checkpoints=True))
    task = run(book)
    apply_end(book, task, EndKind.STOPPED, "h1", "saved-1")
    reloaded = stored_and_loaded(book, epoch=2)
    assert reloaded.task(a_task_id()).checkpoint == "saved-1"


def test_each_occurrence_of_a_job_has_tasks_of_its_own():
    book = JobBook(1)
    accepted = an_accepted_job(occurrences=3, first_due_ms=1000, interval_ms=500)
    book.add(accepted, a_queue(), None, 0.0, False)
    assert [step.due_ms for step in book.open_steps.values()] == [1000, 1500, 2000]


def test_the_need_of_a_task_is_known_after_its_job_has_ended():
    progress = JobProgress(state=JobState.CANCELLED)
    book = a_book(a_step(cpu_m=3000), progress=progress, taken_over=True)
    assert book.task(a_task_id()) is None
    assert book.need_of(a_task_id()).cpu_m == 3000
    assert book.need_of(a_task_id(job="0000000000000000")) is None
