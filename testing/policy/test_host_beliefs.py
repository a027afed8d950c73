import pytest
from testing.builders.cluster import a_step

from primrosehub.policy.host_pace import (
    HostPace,
    fleet_mean_slowness,
    remaining_s,
    slowness,
)
from primrosehub.policy.host_trust import (
    SUSPEND_S,
    HostTrust,
    Progress,
    is_stuck,
)
from primrosehub.policy.own_pace import SlowProcessorDetector
from primrosehub.policy.urgency import TokenBucket, critical_paths_s, urgency


def test_two_failures_in_a_row_suspend_a_host_for_a_while():
    trust = HostTrust()
    assert not trust.note_failure(0.0)
    assert trust.note_failure(1.0)
    assert not trust.usable(1.5)
    assert trust.usable(1.0 + SUSPEND_S)


def test_one_more_failure_after_a_suspension_suspends_again():
    trust = HostTrust()
    trust.note_failure(0.0)
    trust.note_failure(0.0)
    assert trust.note_failure(4.0)


def test_successes_between_failures_keep_a_host_in_use():
    trust = HostTrust()
    for _ in range(20):
        assert not trust.note_failure(0.0)
        trust.note_success()
        trust.note_success()


def some_progress(unchanged_s, percent=40, reached_s=1.0, estimate_s=2.5, **fields):
    return Progress(percent, 0, reached_s, unchanged_s, estimate_s, **fields)


def test_a_task_is_stuck_after_a_while_without_progress():
    assert not is_stuck(some_progress(1.0))
    assert is_stuck(some_progress(3.0))
    assert not is_stuck(some_progress(3.0, percent=100))


@pytest.mark.parametrize("estimate_s", [0.0, 0.05, 1.0, 5.0])
def test_a_task_of_seconds_that_makes_no_progress_is_stuck_within_two(estimate_s):
    assert is_stuck(some_progress(2.0, percent=0, reached_s=0.0, estimate_s=estimate_s))


def stuck_stops(task_s, estimate_s):
    """Return how often a task is stopped as stuck until it has ended.

    A host reports each second, in whole percents; 0.3 s pass before the task works.
    """
    for stops in range(20):
        reports = ((t, int(max(0, t - 0.3) * 100 / task_s)) for t in range(task_s + 2))
        percent_at = percent = 0
        for now, shown in reports:
            if shown != percent:
                percent, percent_at = shown, now
            progress = Progress(
                percent, 0, percent_at, now - percent_at, estimate_s, stops
            )
            if is_stuck(progress):
                break
        else:
            return stops
    raise AssertionError("the task does not get on")


# Guards against stopping long tasks, whose percent stays the same for a long time.
@pytest.mark.parametrize("task_s", [10, 240, 3600])
@pytest.mark.parametrize("error", [0.1, 1.0, 10.0])
def test_a_long_task_is_not_stuck_though_its_estimate_is_wrong(task_s, error):
    assert stuck_stops(task_s, task_s * error) == 0


@pytest.mark.parametrize(("task_s", "most"), [(10, 0), (240, 1), (3600, 5)])
def test_a_task_without_an_estimate_gets_on_after_a_few_stops(task_s, most):
    assert stuck_stops(task_s, 0.0) <= most


def test_a_hosts_pace_is_compared_with_the_fleets():
    fast, slow = HostPace(), HostPace()
    for _ in range(20):
        fast.note_done(1.0, 1.0)
        slow.note_done(2.0, 1.0)
    mean = fleet_mean_slowness([fast, slow])
    assert slowness(fast, mean) < 0 < slowness(slow, mean)
    assert slowness(HostPace(), mean) == 0.0


def test_the_remaining_time_comes_from_progress_or_else_from_the_estimate():
    assert remaining_s(3.0, 75, 100.0) == 1.0
    assert remaining_s(3.0, 0, 5.0) == 2.0


def test_a_daemon_is_slow_after_several_slow_samples():
    pace = SlowProcessorDetector()
    for _ in range(10):
        pace.note(0.001)
    pace.note(0.009)
    assert not pace.slow
    pace.note(0.009)
    pace.note(0.009)
    assert pace.slow
    pace.note(0.001)
    assert not pace.slow


def test_one_fast_sample_does_not_make_usual_ones_count_as_slow():
    pace = SlowProcessorDetector()
    for took_us in (105, 101, 103, 105, 102, 104, 33, 101, 105, 103, 105, 102):
        pace.note(took_us / 1e6)
        assert not pace.slow


def test_a_critical_path_includes_the_steps_after_a_step():
    steps = (a_step(estimate_s=1.0), a_step(estimate_s=2.0, after=(0,)), a_step())
    assert critical_paths_s(steps) == [3.0, 2.0, 1.0]


def test_jobs_in_time_go_before_late_ones_and_least_slack_first():
    soon = urgency(0.0, 0.0, 5.0, 4.0, False)
    later = urgency(0.0, 0.0, 9.0, 4.0, False)
    late = urgency(9.0, 0.0, 5.0, 4.0, False)
    beyond = urgency(0.0, 0.0, 5.0, 4.0, True)
    assert sorted([beyond, late, later, soon]) == [soon, later, late, beyond]


def test_jobs_above_a_teams_weight_are_beyond_its_share():
    bucket = TokenBucket()
    beyond_share = [bucket.note_job(0.0, 2.0) for _ in range(5)]
    assert beyond_share == [False, False, False, False, True]
    assert not bucket.note_job(1.0, 2.0)


def test_a_job_reported_after_a_later_one_is_within_its_teams_share():
    bucket = TokenBucket()
    assert not bucket.note_job(9.0, 1.0)
    assert not bucket.note_job(8.5, 1.0)
