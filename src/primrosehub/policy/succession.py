"""Decide whether the owner of the jobs is gone and when this daemon takes over.

Decide also when an owner that leaves releases the ownership.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from primrosehub.core.peering import OwnerRow, OwnerSeen, PeerCard, ReceivedPong

# Three ping intervals of 0.3 s; a third of the 3 s that users allow for a take-over.
SILENCE_S = 1.0
# Two refused connections in a row, as one may coincide with a change of the address.
REFUSED_S = 0.15
# A candidate needs about 20 ms to write the row; the rest allows for slow processors.
RANK_DELAY_S = 0.4
# Lets the first candidate go ahead of one whose rank is only due to a late ping.
OWNER_GONE_DELAY_S = 0.15
# Of a leaving owner's time, for its last flush and the release beside a slow store.
RELEASE_RESERVE_S = 1.5
# The term that a leaving daemon must have left before that to take over.
MIN_TERM_S = 1.0
# A peer that began to leave this recently makes it likely that others follow.
OVERLAP_S = 1.0
# Daemons that were stopped within this time count as stopped together.
SAME_STOP_S = 0.2


@dataclass(frozen=True, slots=True)
class OwnerAlive:
    """Say that the owner was heard recently, here or by a peer."""


@dataclass(frozen=True, slots=True)
class OwnerSilent:
    """Say that no reachable daemon, this one included, heard the owner for a time."""

    silence_s: float


@dataclass(frozen=True, slots=True)
class OwnerGone:
    """Say that the owner certainly no longer runs, or has released the ownership."""


@dataclass(frozen=True, slots=True)
class OwnView:
    """Hold what this daemon has observed of the owner itself.

    ``heard_s`` is the time since this daemon last heard the owner, at most the time
    since this owner became known. ``refused_s`` is how long connections to it have
    been refused, 0 while they are not.
    """

    me: PeerCard
    heard_s: float
    refused_s: float = 0.0


OwnerStatus = OwnerAlive | OwnerSilent | OwnerGone


@dataclass(frozen=True, slots=True)
class Staying:
    """Say that this daemon was not told to stop."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """Say for how long this daemon has been leaving, and how long it still runs."""

    for_s: float
    left_s: float


Tenure = Staying | Leaving
STAYING = Staying()


@dataclass(frozen=True, slots=True)
class KeepOwnership:
    """Say that a leaving owner goes on, as no daemon that stays could take over."""


@dataclass(frozen=True, slots=True)
class HeirReady:
    """Say that a leaving owner releases, as this daemon is ready to take over."""

    heir: str


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """Say that a leaving owner releases, as it ends soon."""


ReleaseDecision = KeepOwnership | HeirReady | OutOfTime


def same_term(row: OwnerRow | OwnerSeen, other: OwnerRow | OwnerSeen) -> bool:
    """Tell whether both name the same term of the same owner."""
    return (row.epoch, row.incarnation) == (other.epoch, other.incarnation)


def assess_owner(
    row: OwnerRow, view: OwnView, heard: Sequence[ReceivedPong]
) -> OwnerStatus:
    """Tell from this daemon's and the peers' news whether the owner is alive."""
    if not row.incarnation or row.name == view.me.name:
        return OwnerGone()
    if any(_is_new_incarnation(news, row) for news in heard):
        return OwnerGone()
    if view.refused_s >= REFUSED_S:
        return OwnerGone()
    silence_s = min(
        [view.heard_s, *(_reported_silence_s(news, row) for news in heard)],
    )
    return OwnerAlive() if silence_s < SILENCE_S else OwnerSilent(silence_s)


def decide_release(leaving: Leaving, heard: Sequence[ReceivedPong]) -> ReleaseDecision:
    """Tell whether a leaving owner releases the ownership now.

    A pong from before this daemon began to leave does not count: its sender may have
    been told to stop at the same moment. While stops follow each other, the heir may
    be next, and each new owner has to load the jobs first.
    """
    heir = next((news for news in heard if _is_heir(news, leaving.for_s)), None)
    follow = any(news.pong.leaving and news.leaving_s < OVERLAP_S for news in heard)
    in_time = leaving.left_s > RELEASE_RESERVE_S
    if heir is not None and not (follow and in_time):
        return HeirReady(heir.pong.sender.name)
    return KeepOwnership() if in_time else OutOfTime()


def may_take_over(leaving: Leaving) -> bool:
    """Tell whether a leaving daemon has the time for a term of its own."""
    return leaving.left_s >= RELEASE_RESERVE_S + MIN_TERM_S


def take_over_delay_s(status: OwnerStatus, rank: int | None) -> float | None:
    """Return how long this status has to last before a take-over, None for never."""
    if rank is None:
        return None
    match status:
        case OwnerAlive():
            return None
        case OwnerSilent():
            return rank * RANK_DELAY_S
        case OwnerGone():
            return rank * RANK_DELAY_S + (OWNER_GONE_DELAY_S if rank else 0.0)


def candidate_rank(
    me: PeerCard,
    able: bool,
    row: OwnerRow,
    heard: Sequence[ReceivedPong],
    tenure: Tenure = STAYING,
) -> int | None:
    """Return this daemon's rank among the candidates, counted from 0.

    The candidate with the highest ``power`` comes first. A daemon that is not able,
    being slow or rejected by the store, comes after all others. A daemon that leaves
    is a candidate only where no able one stays, and returns None otherwise.
    """
    others = [news for news in heard if news.pong.sender.incarnation != row.incarnation]
    staying = [news for news in others if not news.pong.leaving]
    able_staying = [news for news in staying if _is_able(news)]
    match tenure:
        case Staying():
            before = sum(_order(news.pong.sender) < _order(me) for news in able_staying)
            return before + (0 if able else len(able_staying))
        case Leaving() if able_staying or not may_take_over(tenure):
            return None
        case Leaving(for_s):
            leaving = [news for news in others if news.pong.leaving and _is_able(news)]
            before = sum(_comes_before(news, me, for_s) for news in leaving)
            slow = sum(news.pong.store_reached for news in staying)
            return slow + before + (0 if able else len(leaving))


def _is_heir(news: ReceivedPong, max_age_s: float) -> bool:
    ready = news.pong.config_version > 0 and news.age_s <= max_age_s
    return ready and _is_able(news) and not news.pong.leaving


def _is_able(news: ReceivedPong) -> bool:
    return news.pong.store_reached and not news.pong.slow


def _order(card: PeerCard) -> tuple[float, str]:
    return (-card.power, card.name)


def _comes_before(news: ReceivedPong, me: PeerCard, for_s: float) -> bool:
    """Tell whether a leaving peer comes before this daemon, which leaves too."""
    if abs(news.leaving_s - for_s) <= SAME_STOP_S:
        return _order(news.pong.sender) < _order(me)
    return news.leaving_s < for_s


def _is_new_incarnation(news: ReceivedPong, row: OwnerRow) -> bool:
    sender = news.pong.sender
    return sender.name == row.name and sender.incarnation != row.incarnation


def _reported_silence_s(news: ReceivedPong, row: OwnerRow) -> float:
    """Return how long the owner has been silent according to a peer."""
    pong = news.pong
    if pong.owner.incarnation != row.incarnation:
        return float("inf")
    if pong.sender.incarnation == row.incarnation:
        return news.age_s
    return news.age_s + pong.owner.heard_s
