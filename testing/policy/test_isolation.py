"""When an owner goes on without the store, and when earlier owners have stopped."""

from itertools import combinations

import pytest

from primrosehub.policy.isolation import (
    CONFIRMATION_VALID_S,
    MAX_UNSTORED_S,
    VOTER_SILENT_S,
    ConfirmedByStore,
    ConfirmedByVoters,
    Unconfirmed,
    assess_confirmation,
    next_voters,
    orders_end_at,
)

NAMES = ("a", "b", "c", "d", "e", "f", "g")
UNSTORED_S = 10.0


def groups(names):
    """Return all sets of the names."""
    sizes = range(len(names) + 1)
    return [set(group) for size in sizes for group in combinations(names, size)]


def confirmed(voters, agreeing, store_age_s=UNSTORED_S):
    confirmation = assess_confirmation(store_age_s, [voters], agreeing)
    return not isinstance(confirmation, Unconfirmed)


def ended(voters, informed, now):
    return orders_end_at(voters, dict.fromkeys(informed, 0.0)) <= now


def test_the_store_alone_confirms_for_as_long_as_orders_are_valid():
    voters = {"a", "b", "c"}
    just_now = assess_confirmation(CONFIRMATION_VALID_S - 0.1, [voters], set())
    assert just_now == ConfirmedByStore()
    assert not confirmed(voters, {"a"}, CONFIRMATION_VALID_S)


@pytest.mark.parametrize("count", range(1, 8))
def test_no_owner_is_confirmed_by_voters_of_whom_half_know_a_later_one(count):
    voters = set(NAMES[:count])
    for informed in groups(voters):
        waited_s = CONFIRMATION_VALID_S + MAX_UNSTORED_S / 2
        if ended(voters, informed, waited_s):
            assert not confirmed(voters, voters - informed)


@pytest.mark.parametrize("count", range(1, 8))
def test_no_owner_goes_on_for_ever_while_a_voter_knows_a_later_one(count):
    voters = set(NAMES[:count])
    for informed in groups(voters):
        if informed:
            assert ended(voters, informed, 1.1 * MAX_UNSTORED_S)
            assert not confirmed(voters, voters - informed, MAX_UNSTORED_S)


def test_all_voters_confirm_an_owner_without_limit():
    assert confirmed({"a", "b"}, {"a", "b", "c"}, 10 * MAX_UNSTORED_S)


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
    assert ended(set(voters), informed, CONFIRMATION_VALID_S)


def test_daemons_that_are_no_voters_count_for_nobody():
    assert not confirmed({"a", "b", "c"}, {"a", "x", "y"})
    assert not ended({"a", "b", "c"}, {"x", "y"}, float("1e9"))


def test_no_voter_confirms_an_owner_whose_row_has_none():
    assert not confirmed(set(), {"a", "b"})


def test_an_owner_needs_both_groups_while_it_is_not_known_which_is_stored():
    before, after = {"a", "b", "c"}, {"a", "d", "e"}
    for agreeing, enough in (({"a", "b"}, False), ({"a", "b", "d"}, True)):
        found = assess_confirmation(UNSTORED_S, [before, after], agreeing)
        assert isinstance(found, ConfirmedByVoters) is enough


def test_the_wait_for_earlier_owners_begins_when_the_last_needed_voter_knows():
    informed_at = {"a": 1.0, "b": 7.0, "c": 9.0}
    assert orders_end_at({"a", "b", "c"}, informed_at) == 7.0 + CONFIRMATION_VALID_S


def test_a_silent_voter_stays_for_a_time_and_a_new_daemon_is_one_at_once():
    voters, heard = {"a", "b"}, {"a", "c"}
    early = next_voters(voters, heard, heard, VOTER_SILENT_S / 2)
    assert early == {"a", "b", "c"}
    assert next_voters(voters, heard, heard, VOTER_SILENT_S) == {"a", "c"}
    assert next_voters(voters, heard, {"a", "b"}, VOTER_SILENT_S) == {"a", "b", "c"}
