"""Decide whether the owner of the jobs is gone and when this daemon takes over."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from primrosehub.core.peering import OwnerRow, PeerCard, ReceivedPong

# Three ping intervals of 0.3 s; a third of the 3 s that users allow for a take-over.
SILENCE_S = 1.0
# Two refused connections in a row, as one may coincide with a change of the address.
REFUSED_S = 0.15
# A candidate needs about 20 ms to write the row; the rest allows for slow processors.
RANK_DELAY_S = 0.4
# Lets the first candidate go ahead of one whose rank is only due to a late ping.
OWNER_GONE_DELAY_S = 0.15


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


def same_term(row: OwnerRow, other: OwnerRow) -> bool:
    """Tell whether two rows name the same term; the number of writes may differ."""
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


def take_over_delay_s(status: OwnerStatus, rank: int) -> float | None:
    """Return how long this status has to last before a take-over, None for never."""
    match status:
        case OwnerAlive():
            return None
        case OwnerSilent():
            return rank * RANK_DELAY_S
        case OwnerGone():
            return rank * RANK_DELAY_S + (OWNER_GONE_DELAY_S if rank else 0.0)


def candidate_rank(
    me: PeerCard, able: bool, row: OwnerRow, heard: Sequence[ReceivedPong]
) -> int:
    """Return this daemon's rank among the candidates, counted from 0.

    The candidate with the highest ``power`` comes first. A daemon that is not able,
    being slow or rejected by the store, comes after all others.
    """
    others = [
        news.pong.sender
        for news in heard
        if news.pong.store_reached
        and not news.pong.leaving
        and not news.pong.slow
        and news.pong.sender.incarnation != row.incarnation
    ]
    ranked = sorted([me, *others], key=lambda card: (-card.power, card.name))
    return ranked.index(me) + (0 if able else len(others))


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
