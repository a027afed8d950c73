import pytest
from testing.builders.cluster import a_demand, a_host_space

from primrosehub.core.resources import Resources
from primrosehub.policy.look_budget import LookBudget
from primrosehub.policy.packing import TeamQuotas, plan

NO_LIMITS = TeamQuotas({}, {})


def hosts_of(result):
    return [placement.host for placement in result.placements]


def test_no_host_gets_more_than_it_has_room_for():
    result = plan(
        [a_demand(tasks=20, cpu_m=3000)],
        [a_host_space(), a_host_space("h2")],
        NO_LIMITS,
    )
    assert sorted(hosts_of(result)) == ["h1", "h1", "h2", "h2"]


def test_a_gang_is_placed_whole_or_not_at_all():
    for tasks, placed in ((5, 0), (4, 4)):
        gang = a_demand(tasks, 3000, gang=True)
        result = plan([gang], [a_host_space(), a_host_space("h2")], NO_LIMITS)
        assert len(hosts_of(result)) == placed


def test_room_is_kept_for_a_gang_that_does_not_fit_yet():
    busy = a_host_space()
    busy.take(Resources(6000, 0))
    gang, later = a_demand(2, 4000, gang=True), a_demand(1, 1000, key="later")
    assert hosts_of(plan([gang, later], [busy], NO_LIMITS)) == []


# Guards against idle hosts while a gang that can never start holds them.
def test_no_room_is_kept_for_a_gang_that_never_fits():
    busy = a_host_space()
    busy.take(Resources(6000, 0))
    gang, later = a_demand(3, 4000, gang=True), a_demand(1, 1000, key="later")
    assert hosts_of(plan([gang, later], [busy], NO_LIMITS)) == ["h1"]


# As above, with hosts enough of which the gang may use too few.
def test_no_room_is_kept_for_a_gang_on_hosts_that_it_can_not_use():
    limits = (
        {"label": "b"},
        {"max_per_host": 1},
        {"one_rack": True},
        {"allowed": frozenset({"h1"})},
        {"allowed": frozenset(), "refused": frozenset({"h1", "h2"})},
    )
    for limit in limits:
        spaces = [a_host_space("h1"), a_host_space("h2", rack="r2")]
        for space in spaces:
            space.take(Resources(4000, 0))
        gang = a_demand(4, 4000, gang=True, **limit)
        later = a_demand(1, 1000, key="later")
        assert len(hosts_of(plan([gang, later], spaces, NO_LIMITS))) == 1, limit


# Guards against waiting for room that is only free once its job is cancelled.
def test_no_room_is_kept_for_a_gang_that_waits_for_long_running_tasks():
    busy = a_host_space(long_running=Resources(6000, 0))
    busy.take(Resources(6000, 0))
    gang, later = a_demand(2, 4000, gang=True), a_demand(1, 1000, key="later")
    assert hosts_of(plan([gang, later], [busy], NO_LIMITS)) == ["h1"]


def test_a_gang_reserves_hosts_of_a_single_rack_that_can_hold_it():
    spaces = [a_host_space("h1"), *(a_host_space(f"s{n}", rack="r2") for n in (1, 2))]
    for space, used_m in zip(spaces, (1000, 6000, 6000), strict=True):
        space.take(Resources(used_m, 0))
    gang = a_demand(4, 4000, gang=True, one_rack=True)
    later = a_demand(9, 1000, key="later")
    assert set(hosts_of(plan([gang, later], spaces, NO_LIMITS))) == {"h1"}


# Guards against a gang that no host can hold keeping back its team's other jobs.
def test_no_room_below_a_limit_is_kept_for_a_gang_that_never_fits():
    teams = TeamQuotas({"blue": Resources(3000)}, {"blue": Resources(90_000)})
    gang, later = a_demand(9, 1000, gang=True), a_demand(1, key="later")
    assert hosts_of(plan([gang, later], [a_host_space()], teams)) == ["h1"]


def test_no_room_below_a_limit_is_kept_for_a_gang_that_waits_for_long_running_tasks():
    limit, used = {"blue": Resources(9000)}, {"blue": Resources(6000)}
    teams = TeamQuotas({"blue": Resources(3000)}, limit, long_running=used)
    gang, later = a_demand(4, 1000, gang=True), a_demand(1, key="later")
    assert hosts_of(plan([gang, later], [a_host_space()], teams)) == ["h1"]


def test_a_team_starts_no_more_than_its_limit_leaves():
    teams = TeamQuotas({"blue": Resources(2500)}, {"blue": Resources(9000)})
    assert len(hosts_of(plan([a_demand(5)], [a_host_space()], teams))) == 2


def test_room_below_a_teams_limit_is_kept_for_its_gang():
    teams = TeamQuotas({"blue": Resources(3000)}, {"blue": Resources(9000)})
    gang, later = a_demand(4, 1000, gang=True), a_demand(1, key="later")
    result = plan([gang, later], [a_host_space()], teams)
    assert hosts_of(result) == []
    assert result.limited == ("step", "later")


def test_no_room_is_kept_for_a_gang_above_its_teams_limit():
    teams = TeamQuotas({"blue": Resources(3000)}, {"blue": Resources(3000)})
    gang, later = a_demand(4, 1000, gang=True), a_demand(1, key="later")
    assert len(hosts_of(plan([gang, later], [a_host_space()], teams))) == 1


def test_a_gang_that_waits_for_its_limit_does_not_delay_other_teams():
    limits = {"blue": Resources(9000), "green": Resources(9000)}
    teams = TeamQuotas({"blue": Resources(3000), "green": Resources(9000)}, limits)
    gang, later = a_demand(4, 1000, gang=True), a_demand(1, team="green")
    assert len(hosts_of(plan([gang, later], [a_host_space()], teams))) == 1


def test_an_unlimited_resource_does_not_bound_a_team():
    teams = TeamQuotas({"blue": Resources(9000)}, {"blue": Resources(9000)})
    assert len(hosts_of(plan([a_demand(5)], [a_host_space()], teams))) == 5


def test_only_allowed_hosts_with_the_label_are_used():
    spaces = [
        a_host_space("h1"),
        a_host_space("h2", labels=("b", "r1")),
        a_host_space("h3"),
    ]
    demand = a_demand(9, allowed=frozenset({"h1", "h2"}), label="a")
    assert set(hosts_of(plan([demand], spaces, NO_LIMITS))) == {"h1"}


def test_a_step_places_at_most_max_per_host_tasks_on_a_host():
    demand = a_demand(4, max_per_host=1, placed={"h1": 1})
    assert hosts_of(
        plan([demand], [a_host_space(), a_host_space("h2")], NO_LIMITS)
    ) == ["h2"]


def test_a_host_in_the_rack_of_the_data_comes_first():
    spaces = [a_host_space("h1", rack="r1"), a_host_space("h2", rack="r2")]
    assert hosts_of(plan([a_demand(data_rack="r2")], spaces, NO_LIMITS)) == ["h2"]


def test_a_host_on_which_the_task_failed_is_used_only_as_a_last_choice():
    demand = a_demand(failed_on={0: {"h1"}})
    assert hosts_of(
        plan([demand], [a_host_space(), a_host_space("h2")], NO_LIMITS)
    ) == ["h2"]
    assert hosts_of(plan([demand], [a_host_space()], NO_LIMITS)) == ["h1"]


def test_a_step_of_one_rack_stays_in_the_rack_with_most_room():
    spaces = [a_host_space("h1", 2000, rack="r1")]
    spaces += [a_host_space(name, 4000, rack="r2") for name in ("h2", "h3")]
    chosen = hosts_of(plan([a_demand(6, one_rack=True)], spaces, NO_LIMITS))
    assert set(chosen) == {"h2", "h3"}


def test_a_quick_task_goes_to_a_fast_host():
    spaces = [a_host_space("h1", 2000), a_host_space("h2", slowness=-0.2)]
    quick = a_demand(estimate_s=0.5)
    assert hosts_of(plan([quick], spaces, NO_LIMITS)) == ["h2"]


MANY = 2000  # steps that wait


def hopeless_demands(kind):
    """Return demands that can't start, and the limits of teams."""
    limits = NO_LIMITS
    fields = [{"key": f"hopeless-{number}"} for number in range(MANY)]
    match kind:
        case "team at its limit":
            limits = TeamQuotas({"blue": Resources(500)}, {"blue": Resources(9000)})
        case "too large for any host":
            fields = [one | {"cpu_m": 9000} for one in fields]
        case "larger one by one":
            fields = [one | {"cpu_m": 9000 + n} for n, one in enumerate(fields)]
        case "label of no host":
            fields = [one | {"label": "c"} for one in fields]
        case "allowed on full hosts":
            fields = [one | {"allowed": frozenset({"full"})} for one in fields]
        case "as many on each host as may be":
            placed = {"h1": 1, "full": 1}
            fields = [one | {"max_per_host": 1, "placed": placed} for one in fields]
        case "gang too large for all hosts":
            fields = [one | {"gang": True, "tasks": 99} for one in fields]
    return [a_demand(**one) for one in fields], limits


# Guards against a list of steps, cut off at a length, that these fill.
@pytest.mark.parametrize(
    "kind",
    [
        "team at its limit",
        "too large for any host",
        "larger one by one",
        "label of no host",
        "allowed on full hosts",
        "as many on each host as may be",
        "gang too large for all hosts",
    ],
)
def test_steps_that_can_not_start_keep_no_later_step_from_starting(kind):
    full = a_host_space("full")
    full.take(Resources(8000, 0))
    demands, limits = hopeless_demands(kind)
    last = a_demand(key="last", team="green")
    result = plan([*demands, last], [a_host_space(), full], limits)
    assert [one.key for one in result.placements] == ["last"]
    assert len(result.waiting) == MANY


def test_equal_steps_without_room_cost_one_look_at_the_hosts():
    looks = LookBudget(limit=10)
    spaces = [a_host_space(f"h{number}", 500) for number in range(4)]
    demands = [a_demand(key=number) for number in range(MANY)]
    assert plan(demands, spaces, NO_LIMITS, looks).postponed == 0


# Guards against a step that is never looked at, as those before it use up each plan.
def test_each_step_is_looked_at_within_a_few_plans_however_many_wait():
    budget = LookBudget(limit=100)
    placed = {"h1": 1}
    blocked = [
        a_demand(key=number, max_per_host=1, placed=placed) for number in range(MANY)
    ]
    demands = [*blocked, a_demand(key="last")]
    plans = [plan(demands, [a_host_space()], NO_LIMITS, budget) for _ in range(41)]
    assert all(len(one.waiting) <= 100 for one in plans)
    assert any(one.placements for one in plans)
