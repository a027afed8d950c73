from testing.builders import a_journal_event

from primrosehub_standins.checker import (
    CallRecord,
    JobRecord,
    check_calls,
    check_jobs,
    check_limits,
    check_workers,
)

CAPACITY = {"w1": {"cpu_m": 2000}, "w2": {"cpu_m": 2000}}
VALID_EVENTS = [
    a_journal_event("start", 1.0),
    a_journal_event("end", 2.0, outcome="lapsed"),
    a_journal_event("start", 3.0, attempt=2, host="w2"),
    a_journal_event("end", 4.0, attempt=2, host="w2", outcome="succeeded"),
]
TEAMS = {"blue.1": "blue"}


def a_call(status=200, **fields):
    body = b"whole"
    return CallRecord("c1", status, body, fields.pop("received", body), **fields)


def begin_events(times):
    return [{"event": "begin", "id": "c1"}] * times


def test_a_good_run_has_no_violation():
    assert check_workers(VALID_EVENTS, CAPACITY) == []
    assert check_jobs(VALID_EVENTS, [JobRecord("blue.1", "succeeded", 1)]) == []
    assert check_limits(VALID_EVENTS, TEAMS, {"blue": {"cpu_m": 1000}}) == []
    assert check_calls(begin_events(1), [a_call()]) == []


def test_a_task_in_two_places_is_reported():
    events = [event for event in VALID_EVENTS if event.get("outcome") != "lapsed"]
    assert "while it ran on w1" in check_workers(events, CAPACITY)[0]


def test_an_overloaded_worker_host_is_reported():
    events = [a_journal_event("start", float(n), task=n) for n in range(3)]
    assert check_workers(events, CAPACITY) == ["w1 was assigned 3000 of cpu_m"]


def test_a_team_over_its_limit_is_reported():
    events = [a_journal_event("start", float(n), task=n) for n in range(2)]
    violations = check_limits(events, TEAMS, {"blue": {"cpu_m": 1000}})
    assert violations == ["team blue used 2000 of cpu_m"]


def test_a_job_reported_succeeded_that_did_not_succeed_once_is_a_violation():
    for events, times in ((VALID_EVENTS[:2], 0), (VALID_EVENTS + VALID_EVENTS[2:], 2)):
        violations = check_jobs(events, [JobRecord("blue.1", "succeeded", 1)])
        assert violations == [
            f"task blue.1/0 was reported succeeded but succeeded {times} times"
        ]


def test_a_non_idempotent_task_that_ran_twice_is_reported():
    violations = check_jobs(
        VALID_EVENTS, [JobRecord("blue.1", "unknown", 1, idempotent=False)]
    )
    assert violations == ["task blue.1/0 may run only once but ran more often"]


def test_calls_answered_wrongly_are_reported():
    for events, call, violation in (
        (begin_events(0), a_call(), "was answered but never ran"),
        (begin_events(1), a_call(received=b"who"), "wrong or partial answer"),
        (begin_events(1), a_call(503, not_run=True), "was reported not run but ran"),
        (
            begin_events(2),
            a_call(504, idempotent=False),
            "may run only once but ran 2 times",
        ),
    ):
        (reported,) = check_calls(events, [call])
        assert violation in reported
