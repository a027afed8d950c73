"""Decide whether an owner goes on without the store, and when earlier owners stopped.

The stored row of the owner names the voters. An owner that the store does not confirm
needs more than half of them, and a successor relies on at least half of them, so one
voter is in both groups. A voter that knows the higher epoch does not confirm the lower
one any more, not even after a restart, since it reads the row before it confirms.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

CONFIRMATION_VALID_S = 2.0  # orders are sent for this long after a confirmation
# An owner that misses a voter stops this long after the store's last confirmation. It
# ends the wait of a successor that half of the voters never hear.
MAX_UNSTORED_S = 600.0
MIN_DAEMON_CLOCK_RATE = 0.98  # of a daemon's clock, compared with another's
VOTER_SILENT_S = 120.0  # after which a daemon is no voter any more


@dataclass(frozen=True, slots=True)
class ConfirmedByStore:
    """Say that the store has confirmed the ownership recently."""


@dataclass(frozen=True, slots=True)
class ConfirmedByVoters:
    """Say that enough voters, the owner included, know of no later owner."""

    voters: frozenset[str]


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Say that a later owner may exist."""

    voters: frozenset[str]


Confirmation = ConfirmedByStore | ConfirmedByVoters | Unconfirmed


def assess_confirmation(
    store_age_s: float, electorates: Sequence[Set[str]], agreeing: Set[str]
) -> Confirmation:
    """Tell what confirms the ownership of the daemon that asks.

    ``store_age_s`` is the age of the store's last confirmation. ``electorates`` are
    the voters, and also the next ones while it is not known which of them are stored.
    ``agreeing`` are the daemons, the owner included, that confirmed the ownership
    within ``CONFIRMATION_VALID_S``.
    """
    if store_age_s < CONFIRMATION_VALID_S:
        return ConfirmedByStore()
    confirming = frozenset(agreeing).intersection(set().union(*electorates))
    if all(_suffices(voters, agreeing, store_age_s) for voters in electorates):
        return ConfirmedByVoters(confirming)
    return Unconfirmed(confirming)


def orders_end_at(voters: Set[str], informed_at: Mapping[str, float]) -> float:
    """Return from when no earlier owner sends orders, infinity if nothing tells yet.

    ``informed_at`` holds when each daemon was known to know the present epoch.
    """
    times = sorted(informed_at[name] for name in voters if name in informed_at)
    half = (len(voters) + 1) // 2
    if not times:
        return float("inf")
    at = times[0] + MAX_UNSTORED_S / MIN_DAEMON_CLOCK_RATE
    if len(times) >= half:
        at = min(at, times[half - 1])
    return at + CONFIRMATION_VALID_S


def next_voters(
    voters: Set[str], heard: Set[str], heard_lately: Set[str], term_s: float
) -> frozenset[str]:
    """Return who should be the voters of an owner whose earlier owners have stopped.

    ``heard`` are the daemons that are there now, ``heard_lately`` those heard within
    ``VOTER_SILENT_S``, the owner included in both.
    """
    kept = voters if term_s < VOTER_SILENT_S else voters & heard_lately
    return frozenset(heard | kept)


def _suffices(voters: Set[str], agreeing: Set[str], store_age_s: float) -> bool:
    if voters <= agreeing:
        return bool(voters)
    return store_age_s < MAX_UNSTORED_S and 2 * len(voters & agreeing) > len(voters)
