"""When an owner goes on without the store, and when earlier owners have stopped."""

from itertools import combinations

import pytest

from primrosehub.policy.isolation import (
    CONFIRMATION_VALID_S,
    MIN_DAEMON_CLOCK_RATE,
    UNCONFIRMED_LIMIT_S,
    ConfirmedByHosts,
    ConfirmedByStore,
    Unconfirmed,
    assess_confirmation,
    orders_end_at,
)

NAMES = ("a", "b", "c", "d", "e", "f", "g")
NAMES_OF_MANY = tuple(f"host-{number}" for number in range(176))
UNSTORED_S = 10.0


def groups(names):
    """Return all sets of the names."""
    sizes = range(len(names) + 1)
    return [set(group) for size in sizes for group in combinations(names, size)]


def confirmed(witnesses, answered, store_age_s=UNSTORED_S):
    confirmation = assess_confirmation(store_age_s, [witnesses], answered)
    return not isinstance(confirmation, Unconfirmed)


def ended_at(witnesses, informed):
    return orders_end_at(set(witnesses), dict.fromkeys(informed, 0.0), 0.0)


def test_the_store_alone_confirms_for_as_long_as_orders_are_valid():
    witnesses = {"a", "b", "c"}
    just_now = assess_confirmation(CONFIRMATION_VALID_S - 0.1, [witnesses], set())
    assert just_now == ConfirmedByStore()
    assert not confirmed(witnesses, {"a"}, CONFIRMATION_VALID_S)


# An owner that the store has confirmed last when the next one took over, at 0 s.
@pytest.mark.parametrize("count", range(8))
def test_no_owner_is_confirmed_once_its_successor_takes_it_for_stopped(count):
    witnesses = set(NAMES[:count])
    for informed in groups(witnesses):
        last_s = ended_at(witnesses, informed) - CONFIRMATION_VALID_S
        age_s = last_s + CONFIRMATION_VALID_S
        assert not confirmed(witnesses, witnesses - informed, age_s)


# Guards against a successor whose clock is faster than that of the earlier owner.
def test_the_longest_wait_allows_for_an_earlier_owner_with_a_slow_clock():
    slow_owners_s = UNCONFIRMED_LIMIT_S / MIN_DAEMON_CLOCK_RATE
    waited_s = orders_end_at({"a", "b", "c"}, {"a": 5.0}, 5.0) - 5.0
    assert waited_s == slow_owners_s + CONFIRMATION_VALID_S


def test_the_wait_has_an_end_however_many_hosts_are_lost():
    for count in (0, 1, 2, 6, 176):
        for informed in range(count + 1):
            waited_s = ended_at(NAMES_OF_MANY[:count], NAMES_OF_MANY[:informed])
            assert waited_s <= 1.1 * UNCONFIRMED_LIMIT_S


# Guards against a shorter end, at which work of an owner that is not cut off is lost.
@pytest.mark.parametrize(("count", "missing"), [(6, 0), (6, 2), (176, 0), (176, 87)])
def test_an_owner_with_most_hosts_goes_on_for_as_long_as_a_successor_waits(
    count, missing
):
    witnesses = set(NAMES_OF_MANY[:count])
    answered = set(NAMES_OF_MANY[: count - missing])
    assert confirmed(witnesses, answered, UNCONFIRMED_LIMIT_S - 0.1)
    assert not confirmed(witnesses, answered, UNCONFIRMED_LIMIT_S)


@pytest.mark.parametrize("count", range(1, 8))
def test_half_of_the_hosts_confirm_no_owner(count):
    witnesses = NAMES[:count]
    assert not confirmed(set(witnesses), set(witnesses[: count // 2]))


@pytest.mark.parametrize("count", range(1, 8))
def test_an_owner_goes_on_while_fewer_than_half_of_the_hosts_are_missing(count):
    witnesses = NAMES[:count]
    answered = set(witnesses[: count - (count - 1) // 2])
    found = assess_confirmation(UNSTORED_S, [set(witnesses)], answered)
    assert found == ConfirmedByHosts(len(answered))


@pytest.mark.parametrize("count", range(1, 8))
def test_a_successor_needs_no_more_than_half_of_the_hosts(count):
    witnesses = NAMES[:count]
    informed = witnesses[: (count + 1) // 2]
    assert ended_at(witnesses, informed) == CONFIRMATION_VALID_S


def test_hosts_that_are_no_witnesses_count_for_nobody():
    assert not confirmed({"a", "b", "c"}, {"a", "x", "y"})
    assert ended_at({"a", "b", "c"}, {"x", "y"}) == ended_at({"a", "b", "c"}, set())


def test_no_host_confirms_an_owner_without_witnesses():
    assert not confirmed(set(), {"a", "b"})


# Guards against taking unreadable witnesses for none, for whom nobody has to wait.
def test_a_successor_that_does_not_know_the_witnesses_waits_the_longest():
    informed_at = dict.fromkeys(NAMES, 0.0)
    assert orders_end_at(None, informed_at, 0.0) > UNCONFIRMED_LIMIT_S


def test_an_owner_needs_both_groups_while_it_is_not_known_which_is_stored():
    before, after = {"a", "b", "c"}, {"a", "d", "e"}
    for answered, enough in (({"a", "b"}, False), ({"a", "b", "d"}, True)):
        found = assess_confirmation(UNSTORED_S, [before, after], answered)
        assert isinstance(found, ConfirmedByHosts) is enough


def test_the_wait_for_earlier_owners_begins_when_the_last_needed_host_answers():
    informed_at = {"a": 1.0, "b": 7.0, "c": 9.0}
    ended = orders_end_at({"a", "b", "c"}, informed_at, 0.0)
    assert ended == 7.0 + CONFIRMATION_VALID_S
