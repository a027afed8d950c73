import pytest
from testing.builders import (
    a_batch,
    a_job,
    a_job_spec,
    a_service,
    a_size,
    a_worker,
    an_all_at_once,
)

from primrosehub.core.resources import NO_RESOURCES
from primrosehub.core.work import Task, TaskState
from primrosehub.policy.outcomes import (
    HostRestarted,
    LeaseLapsed,
    Reported,
    task_after_attempt,
)
from primrosehub.policy.routing import (
    BackendLoad,
    RefuseLate,
    RefuseNoBackend,
    SendTo,
    WaitForSlot,
    route,
)
from primrosehub.policy.runnable import NeverRunnable, RunnableIn, check_runnable
from primrosehub.policy.spreading import choose_by_free_capacity

RUNNING = Task(0, TaskState.ASSIGNED, attempt=1, host="w1")
PENDING, SUCCEEDED, FAILED, CANCELLED, UNKNOWN = (
    TaskState.PENDING,
    TaskState.SUCCEEDED,
    TaskState.FAILED,
    TaskState.CANCELLED,
    TaskState.UNKNOWN,
)


@pytest.mark.parametrize(
    ("job", "end", "state"),
    [
        (a_job(), Reported("succeeded"), SUCCEEDED),
        (a_job(), Reported("failed"), PENDING),
        (a_job(idempotent=False), Reported("failed"), FAILED),
        (a_job(idempotent=False), Reported("refused"), PENDING),
        (a_job(idempotent=False), Reported("lapsed"), UNKNOWN),
        (a_job(idempotent=False), LeaseLapsed(), UNKNOWN),
        (a_job(idempotent=False), HostRestarted(), UNKNOWN),
        (a_job(), LeaseLapsed(), PENDING),
        (a_job(), HostRestarted(), PENDING),
        (a_job(work=a_service()), Reported("succeeded"), PENDING),
    ],
)
def test_state_of_a_task_after_an_attempt(job, end, state):
    assert task_after_attempt(job, RUNNING, end).state is state


def test_a_failing_task_is_given_up_after_three_attempts():
    third = Task(0, TaskState.ASSIGNED, attempt=3, host="w1")
    assert task_after_attempt(a_job(), third, Reported("failed")).state is FAILED


def a_load(name="b1", limit=2, in_flight=0, mean_s=0.1, **fields):
    return BackendLoad(name, limit, in_flight, mean_s, **fields)


@pytest.mark.parametrize(
    ("loads", "decision"),
    [
        ([], RefuseNoBackend()),
        ([a_load(ejected=True)], RefuseNoBackend()),
        ([a_load("a", mean_s=0.3), a_load("b")], SendTo("b")),
        ([a_load("a", in_flight=1), a_load("b")], SendTo("b")),
        ([a_load("a", in_flight=2), a_load("b", mean_s=0.9)], SendTo("b")),
        ([a_load("a", in_flight=2)], WaitForSlot(0.05)),
        ([a_load("a", in_flight=2, mean_s=30.0)], RefuseLate(15.0)),
        ([a_load("a", limit=4, in_flight=1, slow_start=True)], WaitForSlot(0.025)),
    ],
)
def test_routing_decision_for_a_request(loads, decision):
    assert route(loads, frozenset(), waiting=0, left_s=1.0) == decision


def test_a_retry_prefers_a_backend_server_not_yet_tried():
    loads = [a_load("a"), a_load("b", mean_s=0.9)]
    assert route(loads, frozenset({"a"}), 0, 1.0) == SendTo("b")


def test_a_job_is_tried_where_it_fits():
    shards = {"small": [a_worker()], "large": [a_worker(capacity=a_size(32, 64))]}
    spec = a_job_spec(size=a_size(20, 20))
    assert check_runnable(spec, shards, a_size(99, 99)) == RunnableIn(("large",))


@pytest.mark.parametrize(
    ("spec", "limit", "reason"),
    [
        (
            a_job_spec(size=a_size(9)),
            a_size(99, 99),
            "nearest worker host, worker-1, has 8",
        ),
        (
            a_job_spec(size=a_size(1, 1, 1)),
            a_size(9, 9, 9),
            "1 accelerators; the nearest",
        ),
        (a_job_spec(work=an_all_at_once(), tasks=9), a_size(99, 99), "shard holds 8"),
        (a_job_spec(work=a_batch(), size=a_size(2)), a_size(1, 9), "higher limit"),
    ],
)
def test_a_job_that_can_never_run_is_refused_with_a_reason(spec, limit, reason):
    match check_runnable(spec, {"s": [a_worker()]}, limit):
        case NeverRunnable(message):
            assert reason in message
        case other:
            pytest.fail(f"{other}")


def test_new_jobs_are_spread_by_free_capacity():
    rooms = {"a": 1.0, "b": 3.0, "full": -2.0}
    chosen = [choose_by_free_capacity(rooms, n / 100) for n in range(100)]
    assert chosen.count("full") == 0
    assert abs(chosen.count("b") - 75) <= 1
    assert choose_by_free_capacity({"full": 0.0}, 0.5) == "full"
    assert NO_RESOURCES.times_contained(a_size()) == 0
