"""Specify when an owner that is cut off from the store stops, and who may rely on it.

There are a few daemons, some of which are voters, and one worker host, which stands for
all that a successor may fail to reach. Any message may be late or lost, so isolation is
a choice of the explorer, as are restarts: a daemon or host that restarts has forgotten
all that it knew. Each daemon name belongs to one process at a time, and an order names
the incarnation of its host.

There are no clocks. "2 s pass" ends all confirmations of before the wait of the current
owner, and "leases lapse" ends all orders of before that; both are steps that a wait
needs. What was confirmed or sent later stays, and is what the rules have to prevent.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

FIRST_EPOCH = 1
UNKNOWN_EPOCH = 0  # of a daemon that has restarted and not read the store since

NOT_WAITING = ""
SHORT_WAIT = "2 s"  # since half of the voters told that they know the epoch
LONG_WAIT = "600 s"  # since one voter told it
CONFIRMATIONS_ENDED = "leases"

Voters = frozenset[int]


class Order(NamedTuple):
    """Hold a start or lease that is valid or on its way.

    ``late`` means that it was sent after the current owner saw the confirmations end.
    """

    epoch: int
    late: bool = False


class Owner(NamedTuple):
    """Hold what an owner, deposed or not, knows.

    ``proposed`` are the voters of a write whose outcome it does not know, and
    ``proposal_stored`` is set once the store has applied it. ``by_store`` means that
    the store confirmed it within 2 s, ``recent`` that it did within 600 s. ``answers``
    are the daemons whose answers of the last 2 s confirm it, ``old_answers`` those that
    answered before the wait of the current owner began. ``told`` are the daemons that
    have told it that they know its epoch. ``checked`` is set only where the validity of
    an order doesn't count from the check that it may be sent.
    """

    epoch: int
    voters: Voters
    proposed: Voters | None = None
    proposal_stored: bool = False
    by_store: bool = True
    recent: bool = True
    answers: frozenset[int] = frozenset()
    old_answers: frozenset[int] = frozenset()
    told: frozenset[int] = frozenset()
    wait: str = NOT_WAITING
    settled: bool = False
    reached_host: bool = False
    confirmed_host: bool = False
    checked: bool = False


class Daemon(NamedTuple):
    """Hold a daemon, the highest epoch that it knows, and its ownership if any."""

    known_epoch: int = FIRST_EPOCH
    owner: Owner | None = None


class Host(NamedTuple):
    """Hold the host; ``fence`` is the lowest epoch that it accepts."""

    fence: int = FIRST_EPOCH
    orders: frozenset[Order] = frozenset()


class State(NamedTuple):
    """Hold the whole state; ``epoch`` and ``voters`` are stored in the owner row."""

    epoch: int
    voters: Voters
    daemons: tuple[Daemon, ...]
    host: Host = Host()
    settled_epoch: int = FIRST_EPOCH
    violation: str = ""


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration; daemon 0 is the first owner.

    ``other_voters`` are the sets to which an owner may change the voters.
    """

    daemons: int
    voters: Voters
    other_voters: tuple[Voters, ...] = ()
    max_epoch: int = 3
    max_depth: int = 1000
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the state in which daemon 0 is the settled owner."""
        owner = Owner(
            FIRST_EPOCH,
            self.voters,
            settled=True,
            reached_host=True,
            confirmed_host=True,
        )
        others = (Daemon(),) * (self.daemons - 1)
        return State(FIRST_EPOCH, self.voters, (Daemon(owner=owner), *others))


SCOPES = (
    Scope(3, Voters({0, 1, 2})),
    Scope(3, Voters({0, 1})),
    Scope(4, Voters({0, 1, 2, 3}), max_epoch=2),
    Scope(3, Voters({0, 1}), (Voters({2}), Voters({1, 2})), max_epoch=2),
    Scope(3, Voters({0, 1}), (Voters({2}),)),
    Scope(3, Voters({0, 1}), (Voters({1, 2}),)),
)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the rules; the checker disables them one by one."""

    scope: Scope

    # When an owner that the store does not confirm may send orders:
    majority_confirms: bool = True
    only_voters_count: bool = True
    end_without_unanimity: bool = True
    answers_count_from_request: bool = True
    higher_epoch_does_not_confirm: bool = True
    read_store_before_confirming: bool = True
    validity_counts_from_check: bool = True
    # When a successor may free what may run on a host that it has not reached:
    half_told_before_short_wait: bool = True
    one_told_before_long_wait: bool = True
    wait_for_confirmations: bool = True
    wait_for_leases: bool = True
    store_confirms_before_freeing: bool = True
    # How the voters change:
    keep_voters_at_take_over: bool = True
    settle_before_changing_voters: bool = True
    change_voters_conditionally: bool = True
    both_sets_confirm_while_unknown: bool = True
    # A host that restarts has forgotten the fence:
    store_confirms_incarnation: bool = True


def find_violation(state: State) -> str | None:
    """Return a description of the invariant that the state violates, or None."""
    return state.violation or None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the name of each possible next step and the state after it."""
    for number, daemon in enumerate(state.daemons):
        yield from _daemon_steps(state, number, daemon, guards)
        if daemon.owner:
            for other in range(guards.scope.daemons):
                yield from _tell(state, number, other, guards)
                yield from _confirm_deposed(state, number, other, guards)
            yield from _wait(state, number, guards)
            yield from _settle(state, number, guards)
            yield from _check(state, number, guards)
            yield from _order(state, number, guards)
            yield from _reach(state, number)
            yield from _change_voters(state, number, guards)
    if state.host != Host(fence=0):
        yield "the host restarts", _restart_host(state)


def _daemon_steps(
    state: State, number: int, daemon: Daemon, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield what a daemon does with the store, and its restart."""
    owner = daemon.owner
    if owner and owner.epoch == state.epoch:
        # The answer to a take-over confirms no host: the owner reaches them after it.
        confirmed = owner._replace(confirmed_host=owner.reached_host)
        if confirmed != owner:
            yield (
                f"the store confirms daemon {number}",
                _set_owner(state, number, confirmed),
            )
    else:
        yield from _take_over(state, number, guards)
        if daemon.known_epoch == UNKNOWN_EPOCH:
            yield (
                f"daemon {number} reads the store",
                _set_daemon(state, number, Daemon(state.epoch)),
            )
    forgotten = Daemon(UNKNOWN_EPOCH)
    if daemon != forgotten:
        yield f"daemon {number} restarts", _set_daemon(state, number, forgotten)


def _take_over(
    state: State, number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    if state.epoch == guards.scope.max_epoch:
        return
    epoch = state.epoch + 1
    choices = {state.voters}
    if not guards.keep_voters_at_take_over:
        choices |= {*guards.scope.other_voters, Voters({number})}
    for voters in sorted(choices, key=sorted):
        owner = Owner(epoch, voters, told=frozenset({number}))
        taken = _forget_waits(state)._replace(epoch=epoch, voters=voters)
        kept = "" if voters == state.voters else f" with voters {sorted(voters)}"
        yield (
            f"daemon {number} takes over{kept}",
            _set_daemon(taken, number, Daemon(epoch, owner)),
        )


def _forget_waits(state: State) -> State:
    """Return the state in which no confirmation or order counts as late or old.

    Only the current owner waits, so each take-over begins with this.
    """
    for number, daemon in enumerate(state.daemons):
        if daemon.owner:
            ended = daemon.owner.wait == CONFIRMATIONS_ENDED
            owner = daemon.owner._replace(
                old_answers=frozenset(),
                told=frozenset(),
                wait=CONFIRMATIONS_ENDED if ended else NOT_WAITING,
            )
            state = _set_owner(state, number, owner)
    orders = frozenset(Order(order.epoch) for order in state.host.orders)
    return state._replace(host=state.host._replace(orders=orders))


def _tell(
    state: State, number: int, teller: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield that a daemon answers the current owner, whose ping told it the epoch."""
    owner, told = state.daemons[number].owner, state.daemons[teller]
    if owner.epoch != state.epoch or owner.settled or teller in owner.told:
        return
    if told.known_epoch == UNKNOWN_EPOCH and guards.read_store_before_confirming:
        return
    knows = told if told.known_epoch == owner.epoch else Daemon(owner.epoch)
    noted = _set_owner(state, number, owner._replace(told=owner.told | {teller}))
    yield (
        f"daemon {teller} tells daemon {number} that it knows epoch {owner.epoch}",
        _set_daemon(noted, teller, knows),
    )


def _confirm_deposed(
    state: State, number: int, voter: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield that a daemon answers a deposed owner's ping, and so confirms it.

    The current owner needs no answers, and a deposed one none before the confirmation
    by the store ends: what is answered until the wait begins ends no later.
    """
    owner, asked = state.daemons[number].owner, state.daemons[voter]
    if owner.epoch == state.epoch or number == voter:
        return
    needless = owner.by_store and not _current_wait(state)
    if needless and guards.answers_count_from_request:
        return
    if asked.known_epoch == UNKNOWN_EPOCH and guards.read_store_before_confirming:
        return
    if asked.known_epoch > owner.epoch and guards.higher_epoch_does_not_confirm:
        return
    if asked.known_epoch < owner.epoch:
        asked = Daemon(owner.epoch)
    answers, old_answers = owner.answers | {voter}, owner.old_answers - {voter}
    confirmed = owner._replace(answers=answers, old_answers=old_answers)
    if confirmed != owner:
        yield (
            f"daemon {voter} confirms daemon {number}",
            _set_owner(_set_daemon(state, voter, asked), number, confirmed),
        )


def _current_wait(state: State) -> str:
    """Return what the current owner waits for."""
    owners = (d.owner for d in state.daemons if d.owner)
    return next((o.wait for o in owners if o.epoch == state.epoch), NOT_WAITING)


def may_order(number: int, owner: Owner, guards: Guards) -> bool:
    """Return whether an owner may send orders."""
    if owner.by_store:
        return True
    sets = [owner.voters]
    if owner.proposed is not None:
        both = guards.both_sets_confirm_while_unknown
        sets = [owner.voters, owner.proposed] if both else [owner.proposed]
    return all(_confirm(voters, number, owner, guards) for voters in sets)


def _confirm(voters: Voters, number: int, owner: Owner, guards: Guards) -> bool:
    agreeing = owner.answers | {number}
    if guards.only_voters_count:
        agreeing &= voters
    if not guards.majority_confirms:
        return len(agreeing) > 1
    unanimous = agreeing >= voters
    in_time = unanimous or owner.recent or not guards.end_without_unanimity
    return 2 * len(agreeing) > len(voters) and in_time


def _wait(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the steps of the current owner's wait for the end of earlier owners."""
    owner = state.daemons[number].owner
    if owner.settled or owner.epoch != state.epoch:
        return
    told = len(owner.told & owner.voters)
    half = 2 * told >= len(owner.voters) or not guards.half_told_before_short_wait
    if half and owner.wait in (NOT_WAITING, LONG_WAIT):
        yield (
            f"the short wait of daemon {number} begins",
            _begin_wait(state, number, SHORT_WAIT),
        )
    one = told or not guards.one_told_before_long_wait
    if one and owner.wait == NOT_WAITING:
        yield (
            f"the long wait of daemon {number} begins",
            _begin_wait(state, number, LONG_WAIT),
        )
    if owner.wait in (SHORT_WAIT, LONG_WAIT):
        yield (
            f"{owner.wait} of daemon {number} pass",
            _end_confirmations(state, number, guards),
        )


def _begin_wait(state: State, number: int, wait: str) -> State:
    for other, daemon in enumerate(state.daemons):
        if daemon.owner:
            marked = daemon.owner._replace(old_answers=daemon.owner.answers)
            state = _set_owner(state, other, marked)
    owner = state.daemons[number].owner
    return _set_owner(state, number, owner._replace(wait=wait))


def _end_confirmations(state: State, number: int, guards: Guards) -> State:
    """Return the state after the confirmations of before the wait have ended."""
    waiting = state.daemons[number].owner
    for other, daemon in enumerate(state.daemons):
        owner = daemon.owner
        if not owner or owner.epoch >= waiting.epoch:
            continue
        if guards.wait_for_confirmations:
            owner = owner._replace(by_store=False)
            if guards.answers_count_from_request:
                answers = owner.answers - owner.old_answers
                owner = owner._replace(answers=answers, old_answers=frozenset())
        if waiting.wait == LONG_WAIT:
            owner = owner._replace(recent=False)
        state = _set_owner(state, other, owner)
    return _set_owner(state, number, waiting._replace(wait=CONFIRMATIONS_ENDED))


def _settle(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield that an owner frees what may run on the host that it has not reached."""
    owner = state.daemons[number].owner
    if owner.settled or owner.wait != CONFIRMATIONS_ENDED:
        return
    if owner.epoch != state.epoch and guards.store_confirms_before_freeing:
        return
    orders = state.host.orders
    if guards.wait_for_leases:
        orders = frozenset(o for o in orders if o.late or o.epoch > owner.epoch)
    settled = owner._replace(settled=True, wait=NOT_WAITING, told=frozenset())
    freed = _set_owner(state, number, settled)._replace(
        host=state.host._replace(orders=orders),
        settled_epoch=max(state.settled_epoch, owner.epoch),
    )
    if orders:
        freed = freed._replace(violation="what may still run is freed")
    yield f"leases lapse, daemon {number} settles", freed


def _check(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield that an owner checks that it may order, to send the order later.

    While the validity of an order counts from the check, this is one step with sending.
    """
    owner = state.daemons[number].owner
    if guards.validity_counts_from_check or owner.checked:
        return
    if may_order(number, owner, guards):
        yield (
            f"daemon {number} checks that it may order",
            _set_owner(state, number, owner._replace(checked=True)),
        )


def _order(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    owner, host = state.daemons[number].owner, state.host
    ready = owner.confirmed_host or not guards.store_confirms_incarnation
    if not owner.reached_host or not ready or owner.epoch < host.fence:
        return
    if not (owner.checked or may_order(number, owner, guards)):
        return
    late = owner.epoch < state.epoch and _current_wait(state) == CONFIRMATIONS_ENDED
    orders = host.orders | {Order(owner.epoch, late)}
    ordered = state._replace(host=host._replace(orders=orders))
    if owner.epoch < state.settled_epoch:
        ordered = ordered._replace(violation="an order follows a later owner's start")
    if ordered != state:
        yield f"daemon {number} sends an order", ordered


def _reach(state: State, number: int) -> Iterator[tuple[str, State]]:
    """Yield that an owner reaches the host, and goes on with what runs there."""
    owner, host = state.daemons[number].owner, state.host
    if owner.epoch < host.fence or (owner.reached_host and owner.epoch == host.fence):
        return
    orders = frozenset(order._replace(epoch=owner.epoch) for order in host.orders)
    reached = owner._replace(
        reached_host=True, settled=True, wait=NOT_WAITING, told=frozenset()
    )
    yield (
        f"daemon {number} reaches the host",
        _set_owner(state, number, reached)._replace(
            host=Host(owner.epoch, orders),
            settled_epoch=max(state.settled_epoch, owner.epoch),
        ),
    )


def _restart_host(state: State) -> State:
    for number, daemon in enumerate(state.daemons):
        if daemon.owner:
            owner = daemon.owner._replace(reached_host=False, confirmed_host=False)
            state = _set_owner(state, number, owner)
    return state._replace(host=Host(fence=0))


def _change_voters(
    state: State, number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield the steps of a write whose outcome the owner does not know at first."""
    owner = state.daemons[number].owner
    if owner.proposed is None:
        yield from _write_voters(state, number, guards)
    elif owner.proposal_stored:
        known = owner._replace(
            voters=owner.proposed, proposed=None, proposal_stored=False
        )
        yield (
            f"daemon {number} learns that its voters are stored",
            _set_owner(state, number, known),
        )
    elif owner.epoch == state.epoch or not guards.change_voters_conditionally:
        stored = _set_owner(state, number, owner._replace(proposal_stored=True))
        yield (
            f"the store takes the voters of daemon {number}",
            stored._replace(voters=owner.proposed),
        )


def _write_voters(
    state: State, number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner = state.daemons[number].owner
    if not owner.settled and guards.settle_before_changing_voters:
        return
    for voters in guards.scope.other_voters:
        if voters != owner.voters:
            yield (
                f"daemon {number} writes voters {sorted(voters)}",
                _set_owner(state, number, owner._replace(proposed=voters)),
            )


def _set_owner(state: State, number: int, owner: Owner) -> State:
    return _set_daemon(state, number, state.daemons[number]._replace(owner=owner))


def _set_daemon(state: State, number: int, daemon: Daemon) -> State:
    daemons = tuple(daemon if n == number else d for n, d in enumerate(state.daemons))
    return state._replace(daemons=daemons)
