from testing.builders.cluster import a_host_space, an_advice_cost

from primrosehub.core.resources import Resources
from primrosehub.policy.advice_choice import (
    LONG_CALL_S,
    hosts_to_ask_about,
    may_call,
)

NEED = Resources(1000, 256)


def some_spaces(count):
    return [a_host_space(f"h{number}") for number in range(count)]


def hosts_in_call(spaces, count=1, decide_s=0.01, asked=(), first=()):
    cost = an_advice_cost(decide_s)
    hosts = set(asked), frozenset(first)
    return hosts_to_ask_about(NEED, count, "", False, spaces, *hosts, cost)


def test_a_call_covers_enough_hosts_for_all_tasks():
    assert len(hosts_in_call(some_spaces(30), count=32, decide_s=0.0)) == 15


def test_a_slow_decision_is_asked_about_more_hosts_at_once():
    assert len(hosts_in_call(some_spaces(30))) == 3
    assert len(hosts_in_call(some_spaces(30), decide_s=0.05)) == 15


def test_hosts_with_free_room_come_first_and_hosts_asked_about_are_left_out():
    spaces = some_spaces(4)
    spaces[0].take(Resources(8000))
    assert hosts_in_call(spaces, asked=("h1",)) == ["h2", "h3", "h0"]


def test_the_hosts_that_a_step_is_to_start_on_come_before_all_others():
    assert hosts_in_call(some_spaces(4), first=("h3",)) == ["h3", "h0", "h1"]


def test_half_of_the_daemons_may_make_long_calls():
    long_s = LONG_CALL_S
    assert may_call(long_s, 2, 7)
    assert not may_call(long_s, 3, 7)
    assert not may_call(long_s, 1, 3)
    assert may_call(0.9 * long_s, 3, 3)


def test_one_long_call_is_always_allowed():
    assert may_call(LONG_CALL_S, 0, 1)
