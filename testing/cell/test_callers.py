import hashlib

import orjson
import pytest

from primrosehub.core.errors import ANSWERS, ErrorKind
from testing.cell.callers import problem_kind


@pytest.fixture(scope="module")
def cell_and_callers(tmp_path_factory):
    from primrosehub_standins.cell import Cell
    from primrosehub_standins.layout import Layout
    from testing.builders import a_rule_file
    from testing.cell.callers import Callers
    from testing.conftest import FAST_TIMING

    folder = tmp_path_factory.mktemp("cell")
    rules = folder / "rules.txt"
    rules.write_text(a_rule_file())
    layout = Layout(
        entries=1,
        schedulers=1,
        workers_per_rack=1,
        backends=2,
        shards=2,
        timing=FAST_TIMING,
    )
    with Cell(folder, layout) as cell:
        cell.start(rules)
        yield cell, Callers(cell)


@pytest.fixture
def callers(cell_and_callers):
    return cell_and_callers[1]


def test_a_quick_request_returns_the_complete_answer(callers):
    body = {"text": "x" * 200_000}
    answer = callers.call("/v1/call/quotes/a/b?ms=1&c=%20d", "POST", body=body)
    assert answer.status == 200
    assert orjson.loads(answer.body) == body


def test_a_job_is_stored_once_and_finishes(callers):
    first = callers.submit("once", tasks=2)
    again = callers.submit("once", tasks=2)
    assert (first.status, again.status) == (201, 200)
    job_id = orjson.loads(first.body)["id"]
    assert orjson.loads(again.body)["id"] == job_id
    assert callers.wait_done(job_id) == "succeeded"
    assert len(callers.starts(job_id)) == 2


def test_an_idempotency_key_reused_for_another_job_is_a_conflict(callers):
    callers.submit("same")
    assert problem_kind(callers.submit("same", tasks=2)) == "conflict"


def test_a_running_job_is_cancelled(callers):
    job_id = callers.submit_id("long", command="sleep 600")
    callers.wait_running(job_id)
    assert callers.call(f"/v1/jobs/{job_id}", "DELETE").status == 202
    assert callers.wait_done(job_id) == "cancelled"


def test_jobs_are_listed_page_by_page(callers):
    ids = {callers.submit_id(f"listed-{n}") for n in range(3)}
    seen, after = set(), ""
    while after is not None:
        page = orjson.loads(callers.call(f"/v1/jobs?limit=2&after={after}").body)
        seen |= {job["id"] for job in page["jobs"]}
        after = page["next"]
    assert ids <= seen


def test_a_failing_job_ends_as_failed(callers):
    job_id = callers.submit_id("fails", command="fail 0", idempotent=False)
    assert callers.wait_done(job_id) == "failed"
    assert len(callers.starts(job_id)) == 1


def test_an_open_queue_needs_no_key(callers):
    answer = callers.call(
        "/v1/jobs",
        "POST",
        secret=None,
        headers=[("Idempotency-Key", "anyone")],
        body={"queue": "suggestions", "kind": "batch", "command": "sleep 0"},
    )
    assert answer.status == 201


JOB = {"queue": "nightly", "kind": "batch", "command": "sleep 0"}
IDEMPOTENCY_HEADER = [("Idempotency-Key", "k")]


@pytest.mark.parametrize(
    ("options", "kind"),
    [
        ({"secret": None}, "unauthenticated"),
        ({"secret": "wrong"}, "unauthenticated"),
        ({"secret": "green"}, "forbidden"),
        ({"target": "/v1/call/none/x"}, "not_found"),
        ({"target": "/v2"}, "not_found"),
        ({"target": "/v1/jobs/green.1"}, "not_found"),
        ({"target": "/v1/jobs", "method": "PUT"}, "method_not_allowed"),
        ({"target": "/v1/jobs?limit=0"}, "bad_request"),
        ({"headers": [("Primrosehub-Deadline-Ms", "-1")]}, "bad_request"),
        ({"headers": [("Primrosehub-Idempotent", "maybe")]}, "bad_request"),
        ({"headers": [("Idempotency-Key", "k" * 256)]}, "bad_request"),
        ({"method": "POST", "body": "x" * 2_000_000}, "too_large"),
        ({"body": JOB}, "bad_request"),
        ({"body": "text", "headers": IDEMPOTENCY_HEADER}, "bad_request"),
        ({"body": JOB | {"colour": 1}, "headers": IDEMPOTENCY_HEADER}, "bad_request"),
        ({"body": JOB | {"tasks": -1}, "headers": IDEMPOTENCY_HEADER}, "bad_request"),
        (
            {"body": JOB | {"tasks": 10**9}, "headers": IDEMPOTENCY_HEADER},
            "bad_request",
        ),
        ({"body": JOB | {"tasks": "2"}, "headers": IDEMPOTENCY_HEADER}, "bad_request"),
        ({"body": JOB | {"queue": "none"}, "headers": IDEMPOTENCY_HEADER}, "not_found"),
        (
            {
                "body": JOB | {"size": {"cpus": 4000, "memory_gb": 1}},
                "headers": IDEMPOTENCY_HEADER,
            },
            "unrunnable",
        ),
    ],
)
def test_an_invalid_request_is_refused_with_a_reason(callers, options, kind):
    if "body" in options and "method" not in options:
        options = {"target": "/v1/jobs", "method": "POST"} | options
    answer = callers.call(**options)
    document = orjson.loads(answer.body)
    assert document["kind"] == kind
    assert document["not_run"] is True
    assert document["detail"]
    assert answer.status == ANSWERS[ErrorKind(kind)].status


def test_a_call_that_outlasts_its_deadline_has_an_unknown_outcome(cell_and_callers):
    cell, callers = cell_and_callers
    target = "/v1/call/quotes/x?ms=5000"
    answer = callers.call(target, headers=[("Primrosehub-Deadline-Ms", "100")])
    assert problem_kind(answer) == "outcome_unknown"
    assert "not_run" not in orjson.loads(answer.body)


def test_a_withdrawn_key_stops_working(cell_and_callers, tmp_path):
    cell, callers = cell_and_callers
    rules = cell.operator("rules", "show")
    digest = hashlib.sha256(b"green").hexdigest()
    kept = [line for line in rules.splitlines() if digest not in line]
    edited = tmp_path / "rules.txt"
    edited.write_text("\n".join(kept) + "\n")
    assert callers.call("/v1/jobs", secret="green").status == 200
    assert "in force at 2 daemons" in cell.operator("rules", "apply", str(edited))
    answer = callers.call("/v1/jobs", secret="green")
    assert problem_kind(answer) == "unauthenticated"
    assert f"- key sha256:{digest}" in cell.operator("audit")


def test_the_second_of_two_operators_sees_the_conflict(cell_and_callers, tmp_path):
    cell, _ = cell_and_callers
    rules = cell.operator("rules", "show")
    for name in ("one", "two"):
        line = f"queue {name} teams=blue  # Tests: operator {name}\n"
        (tmp_path / name).write_text(rules + line)
    cell.operator("rules", "apply", str(tmp_path / "one"))
    output = cell.operator("rules", "apply", str(tmp_path / "two"), check=False)
    assert "+queue one teams=blue" in output
    assert "queue two" not in cell.operator("rules", "show")


def test_daemons_serve_health_and_metrics_to_operators(cell_and_callers):
    cell, _ = cell_and_callers
    for daemon in cell.daemons.values():
        address = daemon.address("ops")
        assert cell.request(address, "GET", "/healthz").status == 200
        assert cell.metrics(daemon.name)["primrosehub_members_live"] == 2
        assert cell.request(address, "GET", "/other").status == 404


def test_status_lists_the_scheduler_and_explain_describes_a_job(cell_and_callers):
    cell, callers = cell_and_callers
    assert "scheduler scheduler-1" in cell.operator("status")
    job_id = callers.submit_id("explained", tasks=9, size={"cpus": 4, "memory_gb": 1})
    output = cell.operator("explain", job_id)
    assert f"job {job_id}" in output
    callers.call(f"/v1/jobs/{job_id}", "DELETE")
