"""When an owner goes on without the store, and when earlier owners have stopped."""

from itertools import combinations

import pytest

from primrosehub.policy.isolation import (
    ALL_VOTERS_LIMIT_S,
    CONFIRMATION_VALID_S,
    FEW_MISSING_LIMIT_S,
    MANY_MISSING_LIMIT_S,
    MIN_DAEMON_CLOCK_RATE,
    VOTER_SILENT_S,
    ConfirmedByStore,
    ConfirmedByVoters,
    Unconfirmed,
    assess_confirmation,
    next_voters,
    orders_end_at,
)

NAMES = ("a", "b", "c", "d", "e", "f", "g")
NAMES_OF_MANY = tuple(f"hub-{number}" for number in range(44))
UNSTORED_S = 10.0


def groups(names):
    """Return all sets of the names."""
    sizes = range(len(names) + 1)
    return [set(group) for size in sizes for group in combinations(names, size)]


def confirmed(voters, agreeing, store_age_s=UNSTORED_S):
    confirmation = assess_confirmation(store_age_s, [voters], agreeing)
    return not isinstance(confirmation, Unconfirmed)


def ended_at(voters, informed):
    return orders_end_at(set(voters), dict.fromkeys(informed, 0.0), 0.0)


def test_the_store_alone_confirms_for_as_long_as_orders_are_valid():
    voters = {"a", "b", "c"}
    just_now = assess_confirmation(CONFIRMATION_VALID_S - 0.1, [voters], set())
    assert just_now == ConfirmedByStore()
    assert not confirmed(voters, {"a"}, CONFIRMATION_VALID_S)


# An owner that the store has confirmed last when the next one took over, at 0 s.
@pytest.mark.parametrize("count", range(1, 8))
def test_no_owner_is_confirmed_once_its_successor_takes_it_for_stopped(count):
    voters = set(NAMES[:count])
    for informed in groups(voters):
        last_s = ended_at(voters, informed) - CONFIRMATION_VALID_S
        assert not confirmed(voters, voters - informed, last_s + CONFIRMATION_VALID_S)


# Guards against a successor whose clock is faster than that of the earlier owner.
def test_the_longest_wait_allows_for_an_earlier_owner_with_a_slow_clock():
    slow_owners_s = MANY_MISSING_LIMIT_S / MIN_DAEMON_CLOCK_RATE
    waited_s = orders_end_at({"a", "b", "c"}, {"a": 5.0}, 5.0) - 5.0
    assert waited_s == slow_owners_s + CONFIRMATION_VALID_S


def test_the_wait_has_an_end_however_many_voters_are_lost():
    for count in (1, 2, 6, 44):
        for informed in range(count + 1):
            waited_s = ended_at(NAMES_OF_MANY[:count], NAMES_OF_MANY[:informed])
            assert waited_s <= 1.1 * ALL_VOTERS_LIMIT_S


@pytest.mark.parametrize(
    ("count", "missing", "limit_s"),
    [
        (6, 0, ALL_VOTERS_LIMIT_S),
        (6, 1, MANY_MISSING_LIMIT_S),
        (6, 2, MANY_MISSING_LIMIT_S),
        (44, 4, FEW_MISSING_LIMIT_S),
        (44, 5, MANY_MISSING_LIMIT_S),
    ],
)
def test_an_owner_stops_the_sooner_the_more_voters_it_misses(count, missing, limit_s):
    voters = set(NAMES_OF_MANY[:count])
    agreeing = set(NAMES_OF_MANY[: count - missing])
    assert confirmed(voters, agreeing, limit_s - 0.1)
    assert not confirmed(voters, agreeing, limit_s)


@pytest.mark.parametrize("count", range(1, 8))
def test_half_of_the_voters_confirm_no_owner(count):
    voters = NAMES[:count]
    assert not confirmed(set(voters), set(voters[: count // 2]))


@pytest.mark.parametrize("count", range(1, 8))
def test_an_owner_goes_on_while_fewer_than_half_of_the_voters_are_missing(count):
    voters = NAMES[:count]
    missing = (count - 1) // 2
    agreeing = set(voters[: count - missing])
    found = assess_confirmation(UNSTORED_S, [set(voters)], agreeing)
    assert found == ConfirmedByVoters(frozenset(agreeing))


@pytest.mark.parametrize("count", range(1, 8))
def test_a_successor_needs_no_more_than_half_of_the_voters(count):
    voters = NAMES[:count]
    informed = voters[: (count + 1) // 2]
    assert ended_at(voters, informed) == CONFIRMATION_VALID_S


def test_daemons_that_are_no_voters_count_for_nobody():
    assert not confirmed({"a", "b", "c"}, {"a", "x", "y"})
    assert ended_at({"a", "b", "c"}, {"x", "y"}) == ended_at({"a", "b", "c"}, set())


def test_no_voter_confirms_an_owner_whose_row_has_none():
    assert not confirmed(set(), {"a", "b"})


def test_an_owner_needs_both_groups_while_it_is_not_known_which_is_stored():
    before, after = {"a", "b", "c"}, {"a", "d", "e"}
    for agreeing, enough in (({"a", "b"}, False), ({"a", "b", "d"}, True)):
        found = assess_confirmation(UNSTORED_S, [before, after], agreeing)
        assert isinstance(found, ConfirmedByVoters) is enough


def test_the_wait_for_earlier_owners_begins_when_the_last_needed_voter_knows():
    informed_at = {"a": 1.0, "b": 7.0, "c": 9.0}
    ended = orders_end_at({"a", "b", "c"}, informed_at, 0.0)
    assert ended == 7.0 + CONFIRMATION_VALID_S


def test_a_silent_voter_stays_for_a_time_and_a_new_daemon_is_one_at_once():
    voters, heard = {"a", "b"}, {"a", "c"}
    early = next_voters(voters, heard, heard, VOTER_SILENT_S / 2)
    assert early == {"a", "b", "c"}
    assert next_voters(voters, heard, heard, VOTER_SILENT_S) == {"a", "c"}
    assert next_voters(voters, heard, {"a", "b"}, VOTER_SILENT_S) == {"a", "b", "c"}
