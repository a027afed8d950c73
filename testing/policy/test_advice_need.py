from testing.builders.cluster import a_demand, a_host_space

from primrosehub.core.resources import Resources
from primrosehub.policy.advice_need import AdviceRequest, advice_requests
from primrosehub.policy.look_budget import LookBudget
from primrosehub.policy.packing import TeamQuotas, plan

NO_LIMITS = TeamQuotas({}, {})
NONE = frozenset()


def an_advised_demand(tasks=1, cpu_m=8000, allowed=(), expired=(), **fields):
    hosts = {"allowed": frozenset(allowed), "expired": frozenset(expired)}
    return a_demand(tasks, cpu_m, **(hosts | fields))


def wanted(demands, spaces, teams=NO_LIMITS):
    result = plan(demands, spaces, teams)
    return list(advice_requests(result.waiting, spaces, teams))


def test_a_step_that_only_lacks_tickets_is_requested():
    demand = an_advised_demand(expired={"h1"})
    assert wanted([demand], [a_host_space()]) == [
        AdviceRequest("step", frozenset({"h1"}))
    ]


def test_a_step_that_was_never_asked_about_is_requested_if_it_would_fit():
    assert wanted([an_advised_demand()], [a_host_space()]) != []
    assert wanted([an_advised_demand(cpu_m=9000)], [a_host_space()]) == []


def test_a_step_without_advice_is_not_requested():
    assert wanted([a_demand(cpu_m=9000)], [a_host_space()]) == []


def test_only_the_first_of_two_steps_for_one_place_is_requested():
    demands = [an_advised_demand(key=key) for key in ("first", "second")]
    assert [one.key for one in wanted(demands, [a_host_space()])] == ["first"]


def test_room_that_a_pending_call_may_fill_is_not_requested_again():
    demands = [an_advised_demand(may_ask=False), an_advised_demand(key="second")]
    assert wanted(demands, [a_host_space()]) == []


def test_only_as_many_steps_of_a_team_are_requested_as_its_limit_lets_start():
    teams = TeamQuotas({"blue": Resources(5000)}, {"blue": Resources(9000)})
    demands = [an_advised_demand(cpu_m=4000, key=key) for key in ("first", "second")]
    assert [one.key for one in wanted(demands, [a_host_space()], teams)] == ["first"]


def test_a_host_that_advice_refuses_is_not_used_for_the_step():
    demand = an_advised_demand(refused=frozenset({"h1"}))
    assert wanted([demand], [a_host_space()]) == []
    (one,) = wanted([demand], [a_host_space(), a_host_space("h2")])
    assert one.hosts == {"h2"}


def test_allowed_hosts_come_before_hosts_not_asked_about():
    demand = an_advised_demand(expired={"h2"})
    (one,) = wanted([demand], [a_host_space(), a_host_space("h2")])
    assert one.hosts == {"h2"}


def test_a_gang_with_too_few_allowed_hosts_is_requested_while_all_are_full():
    busy = a_host_space()
    busy.take(Resources(8000))
    gang = an_advised_demand(2, 4000, gang=True)
    assert wanted([gang], [busy]) == [AdviceRequest("step", NONE)]


def test_a_gang_with_enough_allowed_hosts_is_not_requested_while_they_are_full():
    busy = a_host_space()
    busy.take(Resources(8000))
    gang = an_advised_demand(2, 4000, gang=True, expired={"h1"})
    assert wanted([gang], [busy]) == []


def test_a_gang_is_requested_for_the_hosts_that_are_reserved_for_it():
    busy = a_host_space()
    busy.take(Resources(4000))
    waiting = an_advised_demand(2, 4000, gang=True, expired={"h1"}, key="gang")
    assert wanted([waiting], [busy]) == []
    busy.take(Resources(4000), -1)
    (one,) = wanted([waiting], [busy])
    assert one == AdviceRequest("gang", frozenset({"h1"}))


def test_a_teams_quota_is_reserved_for_a_gang_from_later_steps_only():
    teams = TeamQuotas({"blue": Resources(3000)}, {"blue": Resources(9000)})
    first, last = (an_advised_demand(cpu_m=1000, key=key) for key in ("first", "last"))
    gang = an_advised_demand(4, 1000, gang=True, key="gang")
    assert [
        one.key for one in wanted([first, gang, last], [a_host_space()], teams)
    ] == ["first"]


def test_hosts_are_reserved_for_a_gang_from_later_steps_only():
    busy = a_host_space()
    busy.take(Resources(5000))
    first, last = (an_advised_demand(cpu_m=1000, key=key) for key in ("first", "last"))
    gang = an_advised_demand(2, 4000, gang=True, expired={"h1"}, key="gang")
    assert [one.key for one in wanted([first, gang, last], [busy])] == ["first"]


# Guards against steps that are never asked about behind many that can't start.
def test_a_step_is_requested_behind_many_whose_team_is_at_its_limit():
    teams = TeamQuotas({"blue": Resources(500)}, {"blue": Resources(9000)})
    limited = [an_advised_demand(cpu_m=1000, key=number) for number in range(2000)]
    last = an_advised_demand(cpu_m=1000, key="last", team="green")
    found = wanted([*limited, last], [a_host_space()], teams)
    assert [one.key for one in found] == ["last"]


def test_each_step_is_considered_within_a_few_passes_however_many_wait():
    budget = LookBudget(limit=100)
    refused = frozenset({"h1"})
    demands = [an_advised_demand(key=n, refused=refused) for n in range(2000)]
    demands.append(an_advised_demand(key="last"))
    found, passes = [], 0
    while not found and passes < 50:
        passes += 1
        found = list(advice_requests(demands, [a_host_space()], NO_LIMITS, budget))
    assert [one.key for one in found] == ["last"]
