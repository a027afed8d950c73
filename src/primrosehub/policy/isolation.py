"""Decide whether an owner goes on without the store, and when earlier owners stopped.

Worker hosts are the witnesses, as each refuses calls of an epoch below the highest that
it has seen. A stored row names them. An owner that the store does not confirm needs
answers of more than half of them, and a successor relies on at least half having
answered it, so one witness is in both groups: it refuses the earlier owner from then
on. If it restarts and forgets, it does not count for an owner until the store has
confirmed that owner since, which it never does for an earlier one.

A successor that fewer have answered waits for as long as an owner may go on without the
store. So the wait has an end, also if most of the hosts are lost for good.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

CONFIRMATION_VALID_S = 2.0  # orders are sent for this long after a confirmation
UNCONFIRMED_LIMIT_S = 3600.0  # how long an owner goes on without the store
MIN_DAEMON_CLOCK_RATE = 0.98  # of a daemon's clock, compared with another's


@dataclass(frozen=True, slots=True)
class ConfirmedByStore:
    """Say that the store has confirmed the ownership recently."""


@dataclass(frozen=True, slots=True)
class ConfirmedByHosts:
    """Say that so many witnesses have seen no later owner."""

    answered: int


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Say that a later owner may exist, as only so many witnesses deny it."""

    answered: int


Confirmation = ConfirmedByStore | ConfirmedByHosts | Unconfirmed


def assess_confirmation(
    store_age_s: float, electorates: Sequence[Set[str]], answered: Set[str]
) -> Confirmation:
    """Tell what confirms the ownership of the daemon that asks.

    ``store_age_s`` is the age of the store's last confirmation. ``electorates`` are
    the witnesses, and also the next ones while it is not known which of them are
    stored. ``answered`` are the hosts that answered a call which was sent within
    ``CONFIRMATION_VALID_S``.
    """
    if store_age_s < CONFIRMATION_VALID_S:
        return ConfirmedByStore()
    count = len(answered & frozenset().union(*electorates))
    in_time = store_age_s < UNCONFIRMED_LIMIT_S
    if in_time and all(2 * len(one & answered) > len(one) for one in electorates):
        return ConfirmedByHosts(count)
    return Unconfirmed(count)


def orders_end_at(
    witnesses: Set[str] | None, informed_at: Mapping[str, float], began_at: float
) -> float:
    """Return from when no earlier owner sends orders.

    ``informed_at`` holds when each host first answered the present owner, whose term
    began at ``began_at``. ``witnesses`` are None if they are not known.
    """
    longest_at = began_at + UNCONFIRMED_LIMIT_S / MIN_DAEMON_CLOCK_RATE
    if witnesses is None:
        return longest_at + CONFIRMATION_VALID_S
    times = sorted(informed_at[host] for host in witnesses if host in informed_at)
    needed = (len(witnesses) + 1) // 2
    half_at = [began_at, *times][needed] if needed <= len(times) else longest_at
    return CONFIRMATION_VALID_S + min(half_at, longest_at)
