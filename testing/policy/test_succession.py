import pytest
from testing.builders.cluster import a_heard_pong, a_peer_card, an_owner_row

from primrosehub.policy.succession import (
    MIN_TERM_S,
    OVERLAP_S,
    RANK_DELAY_S,
    REFUSED_S,
    RELEASE_RESERVE_S,
    SAME_STOP_S,
    SILENCE_S,
    HeirReady,
    KeepOwnership,
    Leaving,
    OutOfTime,
    OwnerAlive,
    OwnerGone,
    OwnerSilent,
    OwnView,
    assess_owner,
    candidate_rank,
    decide_release,
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


def leaving(for_s=1.0, left_s=RELEASE_RESERVE_S + 2.0):
    return Leaving(for_s, left_s)


def test_a_leaving_owner_releases_to_a_peer_that_stays():
    assert decide_release(leaving(), [a_heard_pong("hub-3", 0.1)]) == HeirReady("hub-3")


@pytest.mark.parametrize(
    "state",
    [
        {"store_reached": False},
        {"leaving": True},
        {"slow": True},
        {"config_version": 0},
    ],
    ids=["cut-from-store", "leaving", "slow", "not-ready"],
)
def test_a_leaving_owner_goes_on_beside_peers_that_cannot_take_over(state):
    news = a_heard_pong("hub-3", 0.1, **state)
    assert decide_release(leaving(), [news]) == KeepOwnership()


def test_a_leaving_owner_chooses_by_no_pong_from_before_its_stop():
    news = a_heard_pong("hub-3", 0.3)
    assert decide_release(leaving(for_s=0.2), [news]) == KeepOwnership()
    assert decide_release(leaving(for_s=0.4), [news]) == HeirReady("hub-3")


def test_a_leaving_owner_without_an_heir_releases_before_its_time_is_over():
    news = a_heard_pong("hub-3", 0.1, leaving=True)
    nearly_over = leaving(left_s=RELEASE_RESERVE_S - 0.1)
    assert decide_release(nearly_over, [news]) == OutOfTime()
    assert decide_release(leaving(left_s=RELEASE_RESERVE_S + 0.1), []) == (
        KeepOwnership()
    )


def test_a_leaving_owner_goes_on_while_stops_follow_each_other():
    heir = a_heard_pong("hub-3", 0.1)

    def decide(stopped_s, **time):
        stopped = a_heard_pong("hub-4", 0.1, leaving=True, leaving_s=stopped_s)
        return decide_release(leaving(**time), [heir, stopped])

    assert decide(OVERLAP_S - 0.1) == KeepOwnership()
    assert decide(OVERLAP_S + 0.1) == HeirReady("hub-3")
    nearly_over_s = RELEASE_RESERVE_S - 0.1
    assert decide(OVERLAP_S - 0.1, left_s=nearly_over_s) == HeirReady("hub-3")


def test_a_leaving_daemon_takes_over_where_all_leave():
    news = a_heard_pong("hub-3", 0.1, leaving=True, leaving_s=3.0)
    assert candidate_rank(ME, True, OWNER, [news], leaving()) == 0


def test_a_leaving_daemon_does_not_take_over_beside_an_able_peer_that_stays():
    news = a_heard_pong("hub-3", 0.1)
    assert candidate_rank(ME, True, OWNER, [news], leaving()) is None
    assert take_over_delay_s(OwnerGone(), None) is None


def test_a_leaving_daemon_comes_after_a_slow_peer_that_stays():
    news = a_heard_pong("hub-3", 0.1, slow=True)
    assert candidate_rank(ME, True, OWNER, [news], leaving()) == 1


def test_a_leaving_daemon_with_little_time_left_does_not_take_over():
    enough_s = RELEASE_RESERVE_S + MIN_TERM_S
    assert candidate_rank(ME, True, OWNER, [], leaving(left_s=enough_s + 0.1)) == 0
    assert candidate_rank(ME, True, OWNER, [], leaving(left_s=enough_s - 0.1)) is None


def test_of_leaving_daemons_the_one_stopped_last_comes_first():
    later = a_heard_pong("hub-3", 0.1, leaving=True, leaving_s=0.1)
    earlier = a_heard_pong("hub-1", 0.1, leaving=True, leaving_s=2.0)
    heard = [later, earlier]
    row = an_owner_row("hub-9")
    assert candidate_rank(ME, True, row, heard, leaving(for_s=1.0)) == 1
    assert candidate_rank(ME, True, row, heard[1:], leaving(for_s=1.0)) == 0


def test_leaving_daemons_stopped_together_are_ranked_as_those_that_stay():
    together_s = 1.0 + SAME_STOP_S / 2
    stronger = a_heard_pong("hub-3", 0.1, power=2.0, leaving=True, leaving_s=together_s)
    weaker = a_heard_pong("hub-4", 0.1, leaving=True, leaving_s=1.0 - SAME_STOP_S / 2)
    assert candidate_rank(ME, True, OWNER, [stronger, weaker], leaving(1.0)) == 1


def test_a_leaving_daemon_that_is_not_able_waits_for_all_others():
    news = a_heard_pong("hub-3", 0.1, leaving=True, leaving_s=3.0)
    assert candidate_rank(ME, False, OWNER, [news], leaving()) == 1
