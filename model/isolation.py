"""Specify when an owner that is cut off from the store stops, and who may rely on it.

Worker hosts are the witnesses: each refuses calls of an epoch below the highest that it
has seen. An owner that the store does not confirm goes on only while more than half of
the witnesses answer it, and a successor relies on half of them having answered it.

There are a few hosts. Host 0 stands for one that a successor may fail to reach; the
others are only witnesses here. Any message may be late or lost, so isolation is a
choice of the explorer, as are restarts of hosts, which then have forgotten all that
they knew. An order names the incarnation of its host. Daemons have no part in this: an
owner is an epoch, and one that is lost takes no more steps.

There are no clocks. "2 s pass" ends all confirmations of before the wait of the current
owner, and "leases lapse" ends all orders of before that; both are steps that a wait
needs. What was confirmed or sent later stays, and is what the rules have to prevent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

FIRST_EPOCH = 1
AT_STAKE = 0  # the host that a successor may fail to reach

NOT_WAITING = ""
SHORT_WAIT = "2 s"  # since half of the witnesses answered
LONG_WAIT = "3600 s"  # since the take-over
CONFIRMATIONS_ENDED = "leases"

Hosts = frozenset[int]
NONE: Hosts = frozenset()


class Order(NamedTuple):
    """Hold a start or lease that is valid or on its way.

    ``late`` means that it was sent after the current owner saw the confirmations end.
    """

    epoch: int
    late: bool = False


class Owner(NamedTuple):
    """Hold what an owner, deposed or not, knows.

    ``proposed`` are the witnesses of a write whose outcome it does not know, and
    ``proposal_stored`` is set once the store has applied it. ``by_store`` means that
    the store confirmed it within 2 s, ``recent`` that it did within 3600 s. ``seen``
    are the hosts whose present incarnation it has looked at, ``confirmed`` those whose
    incarnation it had seen when it asked the store that confirmed it. ``answers`` are
    the witnesses that answered calls of the last 2 s, ``old_answers`` those of before
    the wait of the current owner. ``told`` have answered it at any time in its term.
    ``checked`` is set only where the validity of an order doesn't count from the check
    that it may be sent.
    """

    epoch: int
    witnesses: Hosts
    proposed: Hosts | None = None
    proposal_stored: bool = False
    by_store: bool = True
    recent: bool = True
    seen: Hosts = NONE
    confirmed: Hosts = NONE
    answers: Hosts = NONE
    old_answers: Hosts = NONE
    told: Hosts = NONE
    wait: str = NOT_WAITING
    settled: bool = False
    checked: bool = False


class State(NamedTuple):
    """Hold the whole state; ``epoch`` and ``witnesses`` are stored.

    ``owners`` are in the order of their epochs. ``fences`` holds the lowest epoch that
    each host accepts, ``orders`` what is valid or on its way at the host at stake.
    """

    epoch: int
    witnesses: Hosts
    owners: tuple[Owner, ...]
    fences: tuple[int, ...]
    orders: frozenset[Order] = frozenset()
    settled_epoch: int = FIRST_EPOCH
    violation: str = ""


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration.

    ``other_witnesses`` are the sets to which an owner may change the witnesses.
    """

    hosts: int
    witnesses: Hosts
    other_witnesses: tuple[Hosts, ...] = ()
    max_epoch: int = 2
    max_depth: int = 1000
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the state in which the first owner has settled."""
        everyone = frozenset(range(self.hosts))
        owner = Owner(
            FIRST_EPOCH, self.witnesses, seen=everyone, confirmed=everyone, settled=True
        )
        fences = (FIRST_EPOCH,) * self.hosts
        return State(FIRST_EPOCH, self.witnesses, (owner,), fences)


SCOPES = (
    Scope(3, Hosts({0, 1, 2})),
    Scope(2, Hosts({0, 1}), max_epoch=3),
    Scope(1, Hosts({0}), max_epoch=3),
    Scope(2, Hosts({1}), max_epoch=3),
    Scope(3, Hosts({0, 1}), (Hosts({2}),)),
    Scope(3, Hosts({0, 1}), (Hosts({1, 2}),)),
    Scope(2, Hosts({1}), (Hosts({0, 1}),), max_epoch=3, max_depth=12),
)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the rules; the checker disables them one by one."""

    scope: Scope

    # When an owner that the store does not confirm may send orders:
    majority_confirms: bool = True
    only_witnesses_count: bool = True
    only_confirmed_incarnations_count: bool = True
    answers_count_from_request: bool = True
    fence_refuses_earlier_owners: bool = True
    end_without_store: bool = True
    validity_counts_from_check: bool = True
    # When a successor may free what may run on a host that it has not reached:
    half_told_before_short_wait: bool = True
    wait_for_confirmations: bool = True
    wait_for_leases: bool = True
    store_confirms_before_freeing: bool = True
    # How the witnesses change:
    settle_before_changing_witnesses: bool = True
    change_witnesses_conditionally: bool = True
    both_sets_confirm_while_unknown: bool = True
    # A host that restarts has forgotten the fence:
    store_confirms_incarnation: bool = True


def find_violation(state: State) -> str | None:
    """Return a description of the invariant that the state violates, or None."""
    return state.violation or None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the name of each possible next step and the state after it."""
    yield from _take_over(state, guards)
    for owner in state.owners:
        yield from _confirm_by_store(state, owner)
        for host in range(guards.scope.hosts):
            yield from _look(state, owner, host)
            yield from _confirm_deposed(state, owner, host, guards)
        yield from _wait(state, owner, guards)
        yield from _settle(state, owner, guards)
        yield from _check(state, owner, guards)
        yield from _order(state, owner, guards)
        yield from _change_witnesses(state, owner, guards)
    for host in range(guards.scope.hosts):
        if state.fences[host] or (host == AT_STAKE and state.orders):
            yield f"host {host} restarts", _restart_host(state, host)


def _take_over(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield that a daemon takes over, which then reads the stored witnesses.

    No confirmation or order counts as late or old then, as only the current owner
    waits. What a deposed owner has seen unconfirmed is never confirmed.
    """
    if state.epoch == guards.scope.max_epoch:
        return
    epoch = state.epoch + 1
    deposed = tuple(
        owner._replace(
            seen=owner.seen & (owner.confirmed | {AT_STAKE}),
            old_answers=NONE,
            told=NONE,
            wait=CONFIRMATIONS_ENDED
            if owner.wait == CONFIRMATIONS_ENDED
            else NOT_WAITING,
        )
        for owner in state.owners
    )
    orders = frozenset(Order(order.epoch) for order in state.orders)
    owners = (*deposed, Owner(epoch, state.witnesses))
    yield (
        f"owner {epoch} takes over",
        state._replace(epoch=epoch, owners=owners, orders=orders),
    )


def _confirm_by_store(state: State, owner: Owner) -> Iterator[tuple[str, State]]:
    if owner.epoch == state.epoch and owner.confirmed != owner.seen:
        confirmed = owner._replace(confirmed=owner.seen)
        yield f"the store confirms owner {owner.epoch}", _set(state, confirmed)


def _look(state: State, owner: Owner, host: int) -> Iterator[tuple[str, State]]:
    """Yield that an owner looks at a host, and goes on with what runs there."""
    fence = state.fences[host]
    if owner.epoch < fence or (host in owner.seen and fence == owner.epoch):
        return
    looked = owner._replace(seen=owner.seen | {host})
    if owner.epoch == state.epoch and not owner.settled:
        looked = looked._replace(told=owner.told | {host})
    fences = (*state.fences[:host], owner.epoch, *state.fences[host + 1 :])
    after = state._replace(fences=fences)
    if host == AT_STAKE:
        looked = looked._replace(settled=True, wait=NOT_WAITING, told=NONE)
        after = after._replace(
            orders=frozenset(
                order._replace(epoch=owner.epoch) for order in after.orders
            ),
            settled_epoch=max(state.settled_epoch, owner.epoch),
        )
    yield f"owner {owner.epoch} looks at host {host}", _set(after, looked)


def _confirm_deposed(
    state: State, owner: Owner, host: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield that a host answers a deposed owner, and so confirms it.

    The current owner needs no answers, and a deposed one none before the confirmation
    by the store ends: what is answered until the wait begins ends no later.
    """
    if owner.epoch == state.epoch:
        return
    needless = owner.by_store and state.owners[-1].wait == NOT_WAITING
    if needless and guards.answers_count_from_request:
        return
    if owner.epoch < state.fences[host] and guards.fence_refuses_earlier_owners:
        return
    if host not in owner.confirmed and guards.only_confirmed_incarnations_count:
        return
    answers, old_answers = owner.answers | {host}, owner.old_answers - {host}
    confirmed = owner._replace(answers=answers, old_answers=old_answers)
    if confirmed != owner:
        yield f"host {host} answers owner {owner.epoch}", _set(state, confirmed)


def may_order(owner: Owner, guards: Guards) -> bool:
    """Return whether an owner may send orders."""
    if owner.by_store:
        return True
    sets = [owner.witnesses]
    if owner.proposed is not None:
        both = guards.both_sets_confirm_while_unknown
        sets = [owner.witnesses, owner.proposed] if both else [owner.proposed]
    in_time = owner.recent or not guards.end_without_store
    return in_time and all(_confirm(hosts, owner, guards) for hosts in sets)


def _confirm(witnesses: Hosts, owner: Owner, guards: Guards) -> bool:
    answers = owner.answers
    if guards.only_witnesses_count:
        answers &= witnesses
    if not guards.majority_confirms:
        return bool(answers)
    return 2 * len(answers) > len(witnesses)


def _wait(state: State, owner: Owner, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the steps of the current owner's wait for the end of earlier owners."""
    if owner.settled or owner.epoch != state.epoch:
        return
    told = len(owner.told & owner.witnesses)
    half = 2 * told >= len(owner.witnesses) or not guards.half_told_before_short_wait
    if half and owner.wait in (NOT_WAITING, LONG_WAIT):
        yield (
            f"the short wait of owner {owner.epoch} begins",
            _begin_wait(state, owner, SHORT_WAIT),
        )
    if owner.wait == NOT_WAITING:
        yield (
            f"the long wait of owner {owner.epoch} begins",
            _begin_wait(state, owner, LONG_WAIT),
        )
    if owner.wait in (SHORT_WAIT, LONG_WAIT):
        yield (
            f"{owner.wait} of owner {owner.epoch} pass",
            _end_confirmations(state, owner, guards),
        )


def _begin_wait(state: State, owner: Owner, wait: str) -> State:
    marked = tuple(one._replace(old_answers=one.answers) for one in state.owners)
    return _set(state._replace(owners=marked), owner._replace(wait=wait))


def _end_confirmations(state: State, waiting: Owner, guards: Guards) -> State:
    """Return the state after the confirmations of before the wait have ended."""
    for owner in state.owners:
        if owner.epoch >= waiting.epoch:
            continue
        if guards.wait_for_confirmations:
            owner = owner._replace(by_store=False)
            if guards.answers_count_from_request:
                answers = owner.answers - owner.old_answers
                owner = owner._replace(answers=answers, old_answers=NONE)
        if waiting.wait == LONG_WAIT:
            owner = owner._replace(recent=False)
        state = _set(state, owner)
    return _set(state, waiting._replace(wait=CONFIRMATIONS_ENDED))


def _settle(state: State, owner: Owner, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield that an owner frees what may run on the host that it has not reached."""
    if owner.settled or owner.wait != CONFIRMATIONS_ENDED:
        return
    if owner.epoch != state.epoch and guards.store_confirms_before_freeing:
        return
    orders = state.orders
    if guards.wait_for_leases:
        orders = frozenset(o for o in orders if o.late or o.epoch > owner.epoch)
    settled = owner._replace(settled=True, wait=NOT_WAITING, told=NONE)
    freed = _set(state, settled)._replace(
        orders=orders, settled_epoch=max(state.settled_epoch, owner.epoch)
    )
    if orders:
        freed = freed._replace(violation="what may still run is freed")
    yield f"leases lapse, owner {owner.epoch} settles", freed


def _check(state: State, owner: Owner, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield that an owner checks that it may order, to send the order later.

    While the validity of an order counts from the check, this is one step with sending.
    """
    if guards.validity_counts_from_check or owner.checked:
        return
    if may_order(owner, guards):
        yield (
            f"owner {owner.epoch} checks that it may order",
            _set(state, owner._replace(checked=True)),
        )


def _order(state: State, owner: Owner, guards: Guards) -> Iterator[tuple[str, State]]:
    confirmed = AT_STAKE in owner.confirmed or not guards.store_confirms_incarnation
    ready = AT_STAKE in owner.seen and confirmed
    if not ready or owner.epoch < state.fences[AT_STAKE]:
        return
    if not (owner.checked or may_order(owner, guards)):
        return
    current = state.owners[-1]
    late = owner.epoch < state.epoch and current.wait == CONFIRMATIONS_ENDED
    ordered = state._replace(orders=state.orders | {Order(owner.epoch, late)})
    if owner.epoch < state.settled_epoch:
        ordered = ordered._replace(violation="an order follows a later owner's start")
    if ordered != state:
        yield f"owner {owner.epoch} sends an order", ordered


def _restart_host(state: State, host: int) -> State:
    owners = tuple(
        owner._replace(seen=owner.seen - {host}, confirmed=owner.confirmed - {host})
        for owner in state.owners
    )
    fences = (*state.fences[:host], 0, *state.fences[host + 1 :])
    orders = frozenset() if host == AT_STAKE else state.orders
    return state._replace(owners=owners, fences=fences, orders=orders)


def _change_witnesses(
    state: State, owner: Owner, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield the steps of a write whose outcome the owner does not know at first."""
    if owner.proposed is None:
        yield from _write_witnesses(state, owner, guards)
    elif owner.proposal_stored:
        known = owner._replace(
            witnesses=owner.proposed, proposed=None, proposal_stored=False
        )
        yield (
            f"owner {owner.epoch} learns that its witnesses are stored",
            _set(state, known),
        )
    elif owner.epoch == state.epoch or not guards.change_witnesses_conditionally:
        stored = _set(state, owner._replace(proposal_stored=True))
        yield (
            f"the store takes the witnesses of owner {owner.epoch}",
            stored._replace(witnesses=owner.proposed),
        )


def _write_witnesses(
    state: State, owner: Owner, guards: Guards
) -> Iterator[tuple[str, State]]:
    if not owner.settled and guards.settle_before_changing_witnesses:
        return
    for witnesses in guards.scope.other_witnesses:
        if witnesses != owner.witnesses:
            yield (
                f"owner {owner.epoch} writes witnesses {sorted(witnesses)}",
                _set(state, owner._replace(proposed=witnesses)),
            )


def _set(state: State, owner: Owner) -> State:
    owners = tuple(owner if o.epoch == owner.epoch else o for o in state.owners)
    return state._replace(owners=owners)
