from itertools import pairwise
from typing import get_args

import orjson
import pytest
from testing.builders.soak import (
    JOB,
    a_disruption,
    a_late_job,
    a_record,
    a_run,
    a_sent_job,
    an_isolation,
)

from primrosehub_standins.soak.checker import find_breaches
from primrosehub_standins.soak.draw import TEARDOWN_S, draw_plan
from primrosehub_standins.soak.main import EXIT_BAD_PLAN, soak
from primrosehub_standins.soak.plan import (
    Isolation,
    KillOwner,
    Plan,
    encode_plan,
    read_plan,
)

CANCELLED = a_sent_job(cancel_sent=True, cancelled_at=1.0, state="cancelled")

FILLER = "7700000000000001"


def a_record_beside(used_m, *entries):
    """Return a record of a job that waits beside another on one of two hosts."""
    return a_record(
        *entries,
        a_sent_job(FILLER, tasks=(1,), cpu_m=(used_m,), after=((),)),
        a_run(90.0, 111.0, task=f"{FILLER}.0.0.0"),
    )


BROKEN = {
    "TWICE": [
        # No disruption excuses it.
        a_record(
            *(a_run(), a_run(1.5, 2.5, host="i-1", attempt=2, epoch=2)),
            *(a_disruption(0.0, 9.0), a_disruption(0.0, 9.0, "i-0")),
        ),
        a_record(a_run(), a_run(1.5, 2.5, host="i-1", attempt=2)),
        a_record(a_run(noted_at=9.0), a_run(3.0, 4.0, attempt=2)),
    ],
    "UNASKED": [
        a_record(a_run(task="0000000000000000.0.0.0")),
        a_record(a_run(), a_run(2.5, 3.0, step=2)),
        a_record(CANCELLED, a_run(4.1, 5.0)),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(0.5, 1.0)),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(4.0, 5.0, "hub-1")),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(4.0, 5.0, "i-0")),
    ],
    "REFUSED": [a_record(a_sent_job(accepted_at=None, rejected=True), a_run())],
    "ORDER": [a_record(a_run(), a_run(1.9, 3.0, step=1))],
    "LIMIT": [a_record(a_sent_job(cpu_m=(8001, 1)), a_run())],
    "LOST": [
        a_record(a_sent_job(state="410")),
        a_record(a_sent_job(state="running")),
        a_record(a_sent_job(state="failed")),
        a_record(a_sent_job(state="cancelled")),
        a_record(a_sent_job(state="no answer")),
        a_record(a_late_job(later_state="410")),
        a_record(a_late_job(later_state="failed")),
        # Nothing ran for 3 s: at the end, between two steps, with no start ever.
        a_record(a_late_job(later_state="running"), a_run(90.0, 107.0)),
        a_record(a_late_job(), a_run(90.0, 104.0), a_run(107.0, 108.0, step=1)),
        a_record(a_late_job(), a_run(103.0, 104.0), a_run(104.0, 105.0, step=1)),
        # All tasks are done, and it isn't shown for 3 s.
        a_record(
            a_late_job(later_state="running"),
            *(a_run(90.0, 104.0), a_run(104.0, 107.0, step=1)),
        ),
        # Room for it twice over, and under half of all room in use.
        a_record_beside(7999, a_late_job(tasks=(1,), cpu_m=(4000,), after=((),))),
        a_record_beside(
            7999, a_late_job(tasks=(2,), cpu_m=(2000,), after=((),), gang=True)
        ),
    ],
    "FAULT": [a_record(own_ends=["hub-0"]), a_record(memory_mb={"hub-0": 301.0})],
}
HOLDING = {
    "TWICE": [
        a_record(a_run(), a_run(2.0, 2.5, host="i-1", attempt=2)),
        a_record(a_run(how="lost", noted_at=None), a_run(3.0, 4.0, attempt=2)),
        a_record(a_run(), a_run(3.0, 4.0, attempt=2)),
        a_record(a_run(noted_at=9.0, lapsed=True), a_run(3.0, 4.0, attempt=2)),
        a_record(a_run(how="failed", noted_at=2.1), a_run(3.0, 4.0, attempt=2)),
    ],
    "UNASKED": [
        a_record(CANCELLED, a_run(4.0, 5.0)),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(0.5, 1.2)),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(4.0, 5.0)),
        a_record(CANCELLED, a_run(4.1, 5.0), a_disruption(4.0, 5.0, "")),
    ],
    "REFUSED": [a_record(a_sent_job(accepted_at=None), a_run())],
    "ORDER": [a_record(a_run(), a_run(2.0, 3.0, step=1))],
    "LIMIT": [
        a_record(a_sent_job(cpu_m=(8000, 1)), a_run()),
        a_record(a_sent_job(cpu_m=(8000, 8000)), a_run(), a_run(2.0, 3.0, step=1)),
    ],
    "LOST": [
        a_record(a_sent_job(accepted_at=None, state="")),
        a_record(a_sent_job(cancel_sent=True, state="cancelled")),
        a_record(a_late_job(), a_run(90.0, 104.0), a_run(106.9, 108.0, step=1)),
        a_record(a_late_job(later_state="running"), a_run(90.0, 107.1)),
        a_record(a_late_job(), a_run(102.9, 104.0), a_run(104.0, 105.0, step=1)),
        a_record(
            a_late_job(later_state="running"),
            *(a_run(90.0, 104.0), a_run(104.0, 107.1, step=1)),
        ),
        a_record(a_late_job(), a_run(90.0, 101.0), a_run(101.0, 102.0, step=1)),
        # It waited before the question, and may wait after the last look.
        a_record(a_late_job(), a_run(90.0, 98.0), a_run(102.9, 108.0, step=1)),
        a_record_beside(1, a_late_job(later_state="running"), a_run(90.0, 107.1)),
        a_record_beside(7999, a_late_job(tasks=(1,), cpu_m=(4001,), after=((),))),
        a_record_beside(8000, a_late_job(tasks=(1,), cpu_m=(4000,), after=((),))),
        a_record_beside(
            7999, a_late_job(tasks=(2,), cpu_m=(2001,), after=((),), gang=True)
        ),
    ],
    "FAULT": [a_record(memory_mb={"hub-0": 300.0})],
}


@pytest.mark.parametrize(
    ("rule", "record"), [(rule, one) for rule, ones in BROKEN.items() for one in ones]
)
def test_a_record_that_breaks_a_rule_is_found(rule, record):
    assert {breach.rule for breach in find_breaches(record)} == {rule}


@pytest.mark.parametrize(
    ("rule", "record"), [(rule, one) for rule, ones in HOLDING.items() for one in ones]
)
def test_a_record_that_just_holds_a_rule_is_not_found(rule, record):
    assert find_breaches(record) == []


def test_a_breach_names_its_task():
    record = a_record(a_run(), a_run(1.5, 2.5, host="i-1", attempt=2))
    assert [breach.subject for breach in find_breaches(record)] == [f"{JOB}.0.0.0"]


def test_a_seed_draws_the_same_plan_each_time():
    assert draw_plan(7, 30.0) == draw_plan(7, 30.0)
    assert draw_plan(7, 30.0) != draw_plan(8, 30.0)


def test_a_plan_that_was_written_is_read_as_it_was(tmp_path):
    plan = draw_plan(7, 60.0, daemons=5, hosts=12)
    assert plan.troubles
    (tmp_path / "plan.json").write_bytes(encode_plan(plan))
    assert read_plan(tmp_path / "plan.json") == plan


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"seconds": 99_999}, "seconds: Input should be less than or equal to 3600"),
        ({"jobs": 3}, "jobs: "),
        ({"troubles": [{"kind": "flood", "at_s": 1}]}, "troubles.0: "),
        ({"troubles": [{"kind": "kill-owner", "at_s": 1}]}, "for_s: Field required"),
        (
            {"troubles": [{"kind": "stop-daemon", "at_s": 1, "daemon": 3}]},
            "troubles.0.daemon: must be less than 3",
        ),
        (an_isolation("cut-zone", zone=1), "troubles.0.zone: must be less than 1"),
        (an_isolation("cut-zone", zone=0, for_s=31), "less than or equal to 30"),
        (an_isolation("cut-zone", zone=0, direction="up"), "direction: "),
        (an_isolation("cut-owner", daemons=3, hosts=0), "daemons: must be less than 3"),
        (an_isolation("cut-owner", daemons=0, hosts=9), "hosts: must be less than 9"),
        (
            an_isolation("cut-nodes", daemon_numbers=[0, 3], host_numbers=[]),
            "daemon_numbers: must be less than 3",
        ),
        (
            an_isolation("cut-nodes", daemon_numbers=[0], host_numbers=[8]),
            "host_numbers: must be less than 8",
        ),
        (an_isolation("cut-link", daemon=0, other="hub-3"), "other: must be less than"),
        (an_isolation("cut-link", daemon=0, other="i-8"), "other: must be less than 8"),
        (an_isolation("cut-link", daemon=0, other="moon"), "other: "),
    ],
)
def test_a_plan_that_can_not_be_played_is_rejected_in_one_line(
    tmp_path, capsys, change, words
):
    path = tmp_path / "plan.json"
    path.write_bytes(orjson.dumps({"seed": 1, "seconds": 5.0} | change))
    assert soak(plan=path) == EXIT_BAD_PLAN
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"{path}: ")
    assert words in line


def test_isolations_of_a_seed_follow_each_other_within_the_run():
    plan = draw_plan(7, 120.0, daemons=6)
    isolations = [one for one in plan.troubles if isinstance(one, Isolation)]
    assert isolations
    for one, following in pairwise(isolations):
        assert one.at_s + one.for_s < following.at_s
    assert isolations[-1].at_s + isolations[-1].for_s <= 120.0 - TEARDOWN_S


def test_all_kinds_of_isolation_are_drawn():
    plans = [draw_plan(seed, 60.0, daemons=6) for seed in range(20)]
    drawn = {type(one) for plan in plans for one in plan.troubles}
    assert drawn >= set(get_args(Isolation))


def test_a_missing_plan_and_a_size_beyond_its_bounds_are_rejected(tmp_path, capsys):
    assert soak(plan=tmp_path / "none.json") == EXIT_BAD_PLAN
    assert soak(daemons=41) == EXIT_BAD_PLAN
    missing, beyond = capsys.readouterr().err.splitlines()
    assert missing.endswith("No such file or directory")
    assert beyond.startswith("daemons: ")


def test_no_system_of_another_place_is_started_for_a_bad_plan(tmp_path):
    plan = Plan(1, 5.0, daemons=1, troubles=(KillOwner(1.0, 11.0),))
    (tmp_path / "plan.json").write_bytes(encode_plan(plan))
    out = tmp_path / "out"
    assert soak(plan=tmp_path / "plan.json", out=out) == EXIT_BAD_PLAN
    assert not out.exists()
