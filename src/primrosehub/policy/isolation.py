"""Decide whether an owner goes on without the store, and when earlier owners stopped.

The stored row of the owner names the voters. An owner that the store does not confirm
needs more than half of them, and a successor relies on at least half of them, so one
voter is in both groups. A voter that knows the higher epoch does not confirm the lower
one any more, not even after a restart, since it reads the row before it confirms.

A successor that fewer voters know waits for as long as an owner that misses those may
go on. So each wait has an end, also if the other voters are lost for good.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

CONFIRMATION_VALID_S = 2.0  # orders are sent for this long after a confirmation
# How long an owner goes on after the store's last confirmation, by how many voters it
# misses. A large cell nearly always misses a few.
ALL_VOTERS_LIMIT_S = 3600.0
FEW_MISSING_LIMIT_S = 600.0
MANY_MISSING_LIMIT_S = 30.0
FEW_MISSING_SHARE = 0.1
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


def limit_s(missing: int, count: int) -> float:
    """Return how long an owner that misses some of the voters goes on unconfirmed."""
    if 2 * missing >= count:
        return 0.0
    if missing == 0:
        return ALL_VOTERS_LIMIT_S
    if missing <= FEW_MISSING_SHARE * count:
        return FEW_MISSING_LIMIT_S
    return MANY_MISSING_LIMIT_S


def orders_end_at(
    voters: Set[str], informed_at: Mapping[str, float], began_at: float
) -> float:
    """Return from when no earlier owner sends orders.

    ``informed_at`` holds when each daemon was known to know the epoch of the present
    owner, whose term began at ``began_at``. No informed voter confirms an earlier one.
    """
    times = [began_at]
    times += sorted(informed_at[name] for name in voters if name in informed_at)
    return CONFIRMATION_VALID_S + min(
        at + limit_s(informed, len(voters)) / MIN_DAEMON_CLOCK_RATE
        for informed, at in enumerate(times)
    )


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
    return store_age_s < limit_s(len(voters - agreeing), len(voters))
