"""Specify which daemon may start a task on the platform, without storing starts.

Epochs, fences, leases and the ends that hosts list take the place of stored starts.
There are one task, two daemons and two worker hosts. A daemon assumes that it owns the
jobs until it learns otherwise; orders may arrive late or never; a host that is not
reached may still run the task; a host that restarts runs nothing and has forgotten the
fence and all attempts. The end of a lease is one step: an owner may rely on it only
after everything that it or an earlier owner sent to that host has lapsed, which stands
for the time bound. That earlier owners stop is what ``model/isolation.py`` shows.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

DAEMONS = (0, 1)
HOSTS = (0, 1)
MAX_EPOCH = 3
MAX_ATTEMPTS_PER_EPOCH = 2
UNSEEN = -1


class Order(NamedTuple):
    """Hold a start order in transit to an incarnation of a host."""

    host: int
    incarnation: int
    epoch: int
    attempt: int


class Host(NamedTuple):
    """Hold a host; ``running_attempt`` is 0 if it runs nothing.

    ``fence`` is the lowest epoch that it accepts. ``ended`` is set until the end of the
    task is acknowledged.
    """

    incarnation: int = 0
    fence: int = 0
    running_attempt: int = 0
    highest_attempt: int = 0
    ended: bool = False


class Owner(NamedTuple):
    """Hold what a daemon knows; epoch 0 means that it does not own the jobs.

    ``seen`` are the incarnations of the hosts that it has reached, and ``confirmed``
    tells for which of them the store has confirmed the ownership since.
    ``bound_host`` is the host to which the task is bound, -1 for none, and ``lost``
    tells that it was bound to an earlier incarnation of that host. ``settled`` is set
    once the daemon has reached each host, or the lease of that host has lapsed.
    """

    epoch: int = 0
    seen: tuple[int, int] = (UNSEEN, UNSEEN)
    confirmed: tuple[bool, bool] = (False, False)
    settled: bool = False
    bound_host: int = -1
    lost: bool = False
    attempt: int = 0
    done: bool = False


class State(NamedTuple):
    """Hold the whole state; ``violation`` is set by a start that is not allowed."""

    epoch: int = 0
    done: bool = False
    acknowledged: bool = False
    owners: tuple[Owner, Owner] = (Owner(), Owner())
    hosts: tuple[Host, Host] = (Host(), Host())
    orders: frozenset[Order] = frozenset()
    violation: str = ""


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration; ``prefix`` names the steps that lead to the first state."""

    max_restarts: int
    max_depth: int
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the state after the prefix."""
        state = State()
        for name in self.prefix:
            state = dict(steps(state, Guards(self)))[name]
        return state


OWNED = (
    "daemon 0 takes over",
    "daemon 0 reaches host 0",
    "daemon 0 reaches host 1",
    "the store confirms daemon 0",
)
RUNNING = (
    *OWNED,
    "daemon 0 starts on host 0",
    "Order(host=0, incarnation=0, epoch=1, attempt=1) arrives",
)
SUCCEEDED = (*OWNED, "daemon 1 takes over", "daemon 1 reaches host 0")
SCOPES = (
    Scope(max_restarts=1, max_depth=10, prefix=RUNNING),
    Scope(max_restarts=1, max_depth=10, prefix=SUCCEEDED),
    Scope(max_restarts=1, max_depth=11, prefix=OWNED),
    Scope(max_restarts=0, max_depth=13, prefix=OWNED),
    Scope(max_restarts=0, max_depth=13),
)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards; the checker disables them one by one."""

    scope: Scope

    ask_all_hosts_first: bool = True
    # Relies on the stop of earlier owners, which model/isolation.py shows.
    wait_for_leases_of_unreached: bool = True
    wait_for_lease_of_silent: bool = True
    store_confirms_before_settling: bool = True
    store_confirms_before_freeing_silent: bool = True
    store_confirms_before_freeing_lost: bool = True
    store_confirms_incarnation: bool = True
    order_names_incarnation: bool = True
    fence_before_orders: bool = True
    stop_before_start_elsewhere: bool = True
    read_ends_before_freeing: bool = True
    store_expects_epoch: bool = True
    store_before_acknowledge: bool = True


def find_violation(state: State) -> str | None:
    """Return a description of the invariant that the state violates, or None."""
    return state.violation or None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the name of each possible next step and the state after it."""
    for number in DAEMONS:
        yield from _take_over(state, number)
        yield from _release(state, number)
        owner = state.owners[number]
        if 0 < owner.epoch < state.epoch:
            yield (
                f"daemon {number} stops sending orders",
                _set_owner(state, number, Owner()),
            )
        if owner.epoch:
            yield from _confirm(state, number)
            for host in HOSTS:
                yield from _reach(state, number, host, guards)
                yield from _start(state, number, host, guards)
                yield from _stop(state, number, host, guards)
                yield from _give_up_silent(state, number, host, guards)
            yield from _settle(state, number, guards)
    for order in state.orders:
        yield f"order {order} lapses", _without_order(state, order)
        yield from _deliver(state, order, guards)
    for host in HOSTS:
        yield from _host_steps(state, host, guards)


def _host_steps(
    state: State, number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield what happens to a host by itself."""
    if state.hosts[number].running_attempt:
        yield (
            f"the task ends on host {number}",
            _set_host(state, number, running_attempt=0, ended=True),
        )
        yield (
            f"the lease on host {number} ends",
            _set_host(state, number, running_attempt=0),
        )
    if sum(host.incarnation for host in state.hosts) < guards.scope.max_restarts:
        restarted = Host(incarnation=state.hosts[number].incarnation + 1)
        yield (
            f"host {number} restarts",
            _set_host(state, number, **restarted._asdict()),
        )


def _take_over(state: State, number: int) -> Iterator[tuple[str, State]]:
    if state.epoch < MAX_EPOCH and state.owners[number].epoch < state.epoch + 1:
        epoch = state.epoch + 1
        owner = Owner(epoch=epoch, done=state.done, settled=epoch == 1)
        yield (
            f"daemon {number} takes over",
            _set_owner(state, number, owner)._replace(epoch=epoch),
        )


def _release(state: State, number: int) -> Iterator[tuple[str, State]]:
    """Yield the release of a leaving owner; until then it acts as any owner does."""
    if 0 < state.owners[number].epoch == state.epoch:
        yield f"daemon {number} releases", _set_owner(state, number, Owner())


def _confirm(state: State, number: int) -> Iterator[tuple[str, State]]:
    """Yield the answer of the store to a request sent after hosts were reached.

    What was bound to an earlier incarnation is free only then: a later owner may have
    acknowledged its end before the host restarted.
    """
    owner = state.owners[number]
    confirmed = tuple(incarnation != UNSEEN for incarnation in owner.seen)
    if owner.epoch == state.epoch and (owner.confirmed != confirmed or owner.lost):
        owner = owner._replace(confirmed=confirmed)
        yield (
            f"the store confirms daemon {number}",
            _set_owner(state, number, _unbind(owner) if owner.lost else owner),
        )


def _reach(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner, host = state.owners[number], state.hosts[host_number]
    if owner.epoch < host.fence:
        yield (
            f"daemon {number} is refused by host {host_number}",
            _set_owner(state, number, Owner()),
        )
        return
    owner = _see(owner, host_number, host.incarnation)
    if owner.lost and not guards.store_confirms_before_freeing_lost:
        owner = _unbind(owner)
    if host.running_attempt and owner.bound_host == -1:
        owner = owner._replace(bound_host=host_number, attempt=host.running_attempt)
    if host.ended and guards.read_ends_before_freeing:
        owner = _note_end(owner, host_number)
    fence = owner.epoch if guards.fence_before_orders else host.fence
    reached_state = _set_host(
        _set_owner(state, number, owner), host_number, fence=fence
    )
    yield f"daemon {number} reaches host {host_number}", reached_state
    if host.ended:
        yield from _acknowledge_end(reached_state, number, host_number, guards)


def _see(owner: Owner, host_number: int, incarnation: int) -> Owner:
    """Return the owner after it has reached an incarnation of a host."""
    if owner.seen[host_number] == incarnation:
        return owner
    return owner._replace(
        seen=_set_at(owner.seen, host_number, incarnation),
        confirmed=_set_at(owner.confirmed, host_number, False),
        lost=owner.bound_host == host_number or owner.lost,
    )


def _note_end(owner: Owner, host_number: int) -> Owner:
    """Return the owner after it has read that the task is done on a host."""
    if owner.bound_host == host_number:
        owner = _unbind(owner)
    return owner._replace(done=True)


def _unbind(owner: Owner) -> Owner:
    return owner._replace(bound_host=-1, lost=False)


def _acknowledge_end(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner = state.owners[number]
    if guards.store_expects_epoch and owner.epoch != state.epoch:
        stored = state
        if guards.store_before_acknowledge:
            return
    else:
        stored = state._replace(done=True)
    if not guards.store_before_acknowledge:
        stored = state
    owner = _note_end(owner, host_number)
    noted = _set_host(_set_owner(stored, number, owner), host_number, ended=False)
    yield (
        f"daemon {number} acknowledges the end on host {host_number}",
        noted._replace(acknowledged=True),
    )


def _settle(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    owner = state.owners[number]
    if owner.settled:
        return
    if owner.epoch != state.epoch and guards.store_confirms_before_settling:
        return
    for host in HOSTS:
        if owner.seen[host] != UNSEEN or not guards.wait_for_leases_of_unreached:
            continue
        # The wait of the current owner is over only when no earlier one may send an
        # order any more: this is what model/isolation.py shows.
        if any(0 < other.epoch < owner.epoch for other in state.owners):
            return
        if _may_hold_leases(state, owner, host):
            return
        state = _lapse(state, owner, host)
    yield (
        f"daemon {number} settles",
        _set_owner(state, number, owner._replace(settled=True)),
    )


def _give_up_silent(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield that an owner frees the task on a silent host when its lease has ended."""
    owner = state.owners[number]
    if owner.bound_host != host_number:
        return
    if owner.epoch != state.epoch and guards.store_confirms_before_freeing_silent:
        return
    if guards.wait_for_lease_of_silent:
        if _may_hold_leases(state, owner, host_number):
            return
        state = _lapse(state, owner, host_number)
    yield (
        f"daemon {number} gives up silent host {host_number}",
        _set_owner(state, number, _unbind(owner)),
    )


def _may_hold_leases(state: State, owner: Owner, host_number: int) -> bool:
    """Return whether what this or an earlier owner sent to a host may still be valid.

    An owner can't wait for what a later one sends: that is renewed again and again.
    """
    host = state.hosts[host_number]
    runs = host.running_attempt and host.fence <= owner.epoch
    return runs or any(
        order.host == host_number and order.epoch <= owner.epoch
        for order in state.orders
    )


def _lapse(state: State, owner: Owner, host_number: int) -> State:
    """Return the state in which a host's lease has ended.

    The platform discards an end that was listed before that.
    """
    if state.hosts[host_number].fence > owner.epoch:
        return state
    return _set_host(state, host_number, ended=False)


def _start(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner = state.owners[number]
    ready = owner.settled or not guards.ask_all_hosts_first
    first_attempt = (owner.epoch - 1) * MAX_ATTEMPTS_PER_EPOCH + 1
    attempt = max(owner.attempt + 1, first_attempt)
    if (
        owner.bound_host != -1
        or owner.done
        or owner.seen[host_number] == UNSEEN
        or not (owner.confirmed[host_number] or not guards.store_confirms_incarnation)
        or not ready
    ):
        return
    if attempt >= first_attempt + MAX_ATTEMPTS_PER_EPOCH:
        return
    bound = owner._replace(bound_host=host_number, attempt=attempt)
    order = Order(host_number, owner.seen[host_number], owner.epoch, attempt)
    yield (
        f"daemon {number} starts on host {host_number}",
        _set_owner(state, number, bound)._replace(orders=state.orders | {order}),
    )


def _stop(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner, host = state.owners[number], state.hosts[host_number]
    if owner.bound_host != host_number or owner.lost:
        return
    freed = _set_owner(state, number, _unbind(owner))
    if not guards.stop_before_start_elsewhere:
        yield f"daemon {number} gives up on host {host_number}", freed
    elif host.ended and guards.read_ends_before_freeing:
        return
    elif owner.epoch >= host.fence and owner.seen[host_number] == host.incarnation:
        highest_attempt = max(host.highest_attempt, owner.attempt)
        running_attempt = (
            0 if host.running_attempt <= owner.attempt else host.running_attempt
        )
        yield (
            f"daemon {number} stops on host {host_number}",
            _set_host(
                freed,
                host_number,
                running_attempt=running_attempt,
                highest_attempt=highest_attempt,
            ),
        )


def _deliver(state: State, order: Order, guards: Guards) -> Iterator[tuple[str, State]]:
    host, remaining = state.hosts[order.host], _without_order(state, order)
    if (
        order.epoch < host.fence
        or order.attempt <= host.highest_attempt
        or host.running_attempt
        or (order.incarnation != host.incarnation and guards.order_names_incarnation)
    ):
        yield f"{order} is refused", remaining
        return
    started = _set_host(
        remaining,
        order.host,
        running_attempt=order.attempt,
        highest_attempt=order.attempt,
        fence=order.epoch,
    )
    violation = ""
    if any(
        other.running_attempt for n, other in enumerate(state.hosts) if n != order.host
    ):
        violation = "the task runs in two places"
    elif state.acknowledged:
        violation = "the task starts after its end was acknowledged"
    yield f"{order} arrives", started._replace(violation=violation)


def _without_order(state: State, order: Order) -> State:
    return state._replace(orders=state.orders - {order})


def _set_at(values: tuple, index: int, value: object) -> tuple:
    return tuple(value if n == index else one for n, one in enumerate(values))


def _set_owner(state: State, number: int, owner: Owner) -> State:
    owners = _set_at(state.owners, number, owner)
    return state._replace(owners=owners)


def _set_host(state: State, host_number: int, **fields: object) -> State:
    hosts = tuple(
        host._replace(**fields) if n == host_number else host
        for n, host in enumerate(state.hosts)
    )
    return state._replace(hosts=hosts)
