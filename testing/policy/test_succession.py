import pytest
from testing.builders.cluster import a_heard_pong, a_peer_card, an_owner_row

from primrosehub.policy.succession import (
    RANK_DELAY_S,
    REFUSED_S,
    SILENCE_S,
    OwnerAlive,
    OwnerGone,
    OwnerSilent,
    OwnView,
    assess_owner,
    candidate_rank,
    same_term,
    take_over_delay_s,
)

ME = a_peer_card("hub-2")
OWNER = an_owner_row("hub-1", epoch=3)


def assess(heard_s, *news, row=OWNER, refused_s=0.0):
    return assess_owner(row, OwnView(ME, heard_s, refused_s), news)


def test_an_owner_heard_recently_is_alive():
    assert assess(SILENCE_S / 2) == OwnerAlive()


def test_an_owner_that_a_peer_has_heard_is_alive():
    assert (
        assess(9.0, a_heard_pong("hub-3", 0.2, owner=OWNER, heard_s=0.3))
        == OwnerAlive()
    )


def test_silence_adds_the_age_of_a_peers_report_to_the_silence_it_reports():
    status = assess(9.0, a_heard_pong("hub-3", 0.5, owner=OWNER, heard_s=0.75))
    assert status == OwnerSilent(1.25)


def test_a_pong_of_the_owner_itself_counts_by_its_age():
    assert assess(9.0, a_heard_pong("hub-1", 0.25, owner=OWNER)) == OwnerAlive()
    assert assess(9.0, a_heard_pong("hub-1", 1.5, owner=OWNER)) == OwnerSilent(1.5)


def test_a_peers_report_about_another_owner_is_ignored():
    other = an_owner_row("hub-4", epoch=2)
    news = a_heard_pong("hub-3", 0.1, owner=other, heard_s=0.0)
    assert assess(1.5, news) == OwnerSilent(1.5)


@pytest.mark.parametrize(
    "row",
    [an_owner_row("", epoch=3, incarnation=""), an_owner_row("hub-2", epoch=3)],
    ids=["vacant", "own-earlier-incarnation"],
)
def test_a_vacant_row_and_an_own_earlier_incarnation_are_gone(row):
    assert assess(0.0, row=row) == OwnerGone()


def test_an_owner_replaced_by_a_new_incarnation_is_gone():
    replaced = a_heard_pong("hub-1", 0.1, incarnation="second-incarnation")
    assert assess(0.0, replaced) == OwnerGone()


def test_an_owner_that_refuses_connections_is_gone_after_the_second_time():
    assert assess(0.2, refused_s=REFUSED_S / 2) == OwnerAlive()
    assert assess(0.2, refused_s=REFUSED_S) == OwnerGone()


def test_the_first_candidate_takes_over_without_delay():
    assert take_over_delay_s(OwnerAlive(), 0) is None
    assert take_over_delay_s(OwnerSilent(1.0), 0) == 0.0
    assert take_over_delay_s(OwnerGone(), 0) == 0.0


def test_later_candidates_wait_for_those_before_them():
    assert take_over_delay_s(OwnerSilent(1.0), 2) == 2 * RANK_DELAY_S
    assert take_over_delay_s(OwnerGone(), 1) > RANK_DELAY_S


def test_the_strongest_able_peer_comes_first():
    strong = a_heard_pong("hub-3", 0.1, power=2.0)
    assert candidate_rank(ME, True, OWNER, [strong, a_heard_pong("hub-4", 0.1)]) == 1


@pytest.mark.parametrize(
    "state", [{"store_reached": False}, {"leaving": True}, {"slow": True}]
)
def test_peers_that_cannot_own_the_jobs_are_not_waited_for(state):
    assert candidate_rank(ME, True, OWNER, [a_heard_pong("hub-0", 0.1, **state)]) == 0


def test_the_silent_owner_is_no_candidate():
    assert candidate_rank(ME, True, OWNER, [a_heard_pong("hub-1", 0.1, power=2.0)]) == 0


def test_a_daemon_that_is_not_able_waits_for_all_others():
    assert (
        candidate_rank(
            ME, False, OWNER, [a_heard_pong("hub-3", 0.1), a_heard_pong("hub-4", 0.1)]
        )
        == 2
    )


def test_writes_of_the_owner_do_not_start_a_new_term():
    later = an_owner_row("hub-1", epoch=3, number=99)
    assert same_term(OWNER, later)
    assert not same_term(OWNER, an_owner_row("hub-1", epoch=4))
