from primrosehub.policy.host_failures import FailureRecords


def failed(*pairs, now_s=0.0):
    records = FailureRecords()
    for host, job in pairs:
        records.note_failure(host, job, now_s)
    return records


def test_a_host_that_fails_three_jobs_is_quarantined():
    records = failed(("w1", "a"), ("w1", "b"))
    assert records.may_start("w1", 0, 1.0)
    assert records.note_failure("w1", "c", 1.0)
    assert not records.may_start("w1", 0, 2.0)


def test_one_job_that_fails_often_is_no_evidence_against_a_host():
    assert failed(("w1", "a"), ("w1", "a"), ("w1", "a")).may_start("w1", 0, 1.0)


def test_a_job_that_fails_on_two_hosts_counts_against_neither():
    records = failed(("w1", "a"), ("w1", "b"), ("w2", "a"), ("w2", "b"), ("w1", "c"))
    assert records.may_start("w1", 0, 1.0)
    assert records.failed_on("a") == {"w1", "w2"}


def test_a_quarantine_for_jobs_that_fail_anywhere_is_lifted():
    records = failed(("w1", "a"), ("w1", "b"), ("w1", "c"))
    assert not records.may_start("w1", 0, 1.0)
    records.note_failure("w2", "a", 2.0)
    assert records.may_start("w1", 0, 2.0)


def test_a_quarantined_host_is_tried_with_one_task_then_trusted_again():
    records = failed(("w1", "a"), ("w1", "b"), ("w1", "c"))
    assert records.may_start("w1", 0, 31.0)
    assert not records.may_start("w1", 1, 31.0)
    records.note_success("w1")
    assert records.may_start("w1", 5, 32.0)


def test_a_failed_trial_doubles_the_quarantine():
    records = failed(("w1", "a"), ("w1", "b"), ("w1", "c"))
    assert records.note_failure("w1", "d", 31.0)
    assert not records.may_start("w1", 0, 31.0 + 59.0)
    assert records.may_start("w1", 0, 31.0 + 61.0)
