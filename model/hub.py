"""Specify which daemon may start a task on the platform, without storing starts.

Epochs, fences, leases and the ends that hosts list take the place of stored starts.
There are one task, two daemons and two worker hosts. A daemon assumes that it owns the
jobs until it learns otherwise; orders may arrive late or never; a host that is not
reached may still run the task. The end of a lease is one step: an owner may rely on it
only after everything that an earlier owner sent to that host has lapsed, which stands
for the time bound.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

DAEMONS = (0, 1)
HOSTS = (0, 1)
MAX_EPOCH = 3
MAX_ATTEMPTS_PER_EPOCH = 2


class Order(NamedTuple):
    """Hold a start order in transit."""

    host: int
    epoch: int
    attempt: int


class Host(NamedTuple):
    """Hold a host; ``running_attempt`` is 0 if it runs nothing.

    ``fence`` is the lowest epoch that it accepts. ``ended`` is set until the end of the
    task is acknowledged.
    """

    fence: int = 0
    running_attempt: int = 0
    highest_attempt: int = 0
    ended: bool = False


class Owner(NamedTuple):
    """Hold what a daemon knows; epoch 0 means that it does not own the jobs.

    ``bound_host`` is the host to which the task is bound, -1 for none. ``settled`` is
    set once the daemon has reached each host, or the lease of that host has lapsed.
    """

    epoch: int = 0
    reached: tuple[bool, bool] = (False, False)
    settled: bool = False
    bound_host: int = -1
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
    """Bound an exploration."""

    max_depth: int = 12
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the initial state."""
        return State()


SCOPES = (Scope(),)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards; the checker disables them one by one."""

    scope: Scope

    ask_all_hosts_first: bool = True
    wait_for_leases_of_unreached: bool = True
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
            for host in HOSTS:
                yield from _reach(state, number, host, guards)
                yield from _start(state, number, host, guards)
                yield from _stop(state, number, host, guards)
            yield from _settle(state, number, guards)
    for order in state.orders:
        yield f"order {order} lapses", _without_order(state, order)
        yield from _deliver(state, order, guards)
    for host in HOSTS:
        if state.hosts[host].running_attempt:
            yield (
                f"the task ends on host {host}",
                _set_host(state, host, running_attempt=0, ended=True),
            )
            yield (
                f"the lease on host {host} ends",
                _set_host(state, host, running_attempt=0),
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
    reached = tuple(flag or n == host_number for n, flag in enumerate(owner.reached))
    owner = owner._replace(reached=reached)
    if host.running_attempt and owner.bound_host == -1:
        owner = owner._replace(bound_host=host_number, attempt=host.running_attempt)
    if host.ended and guards.read_ends_before_freeing:
        owner = owner._replace(
            done=True,
            bound_host=-1 if owner.bound_host == host_number else owner.bound_host,
        )
    fence = owner.epoch if guards.fence_before_orders else host.fence
    reached_state = _set_host(
        _set_owner(state, number, owner), host_number, fence=fence
    )
    yield f"daemon {number} reaches host {host_number}", reached_state
    if host.ended:
        yield from _acknowledge_end(reached_state, number, host_number, guards)


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
    owner = owner._replace(
        done=True,
        bound_host=-1 if owner.bound_host == host_number else owner.bound_host,
    )
    noted = _set_host(_set_owner(stored, number, owner), host_number, ended=False)
    yield (
        f"daemon {number} acknowledges the end on host {host_number}",
        noted._replace(acknowledged=True),
    )


def _settle(state: State, number: int, guards: Guards) -> Iterator[tuple[str, State]]:
    owner = state.owners[number]
    if owner.settled:
        return
    for host in HOSTS:
        if owner.reached[host]:
            continue
        busy = state.hosts[host].running_attempt or any(
            o.host == host for o in state.orders
        )
        deposed_owner = any(0 < other.epoch < owner.epoch for other in state.owners)
        if guards.wait_for_leases_of_unreached:
            # A deposed owner stops sending orders long before the bound has passed.
            if busy or deposed_owner or owner.epoch != state.epoch:
                return
            # The platform discards an end that was listed before the lease ended.
            state = _set_host(state, host, ended=False)
    yield (
        f"daemon {number} settles",
        _set_owner(state, number, owner._replace(settled=True)),
    )


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
        or not owner.reached[host_number]
        or not ready
    ):
        return
    if attempt >= first_attempt + MAX_ATTEMPTS_PER_EPOCH:
        return
    bound = owner._replace(bound_host=host_number, attempt=attempt)
    orders = state.orders | {Order(host_number, owner.epoch, attempt)}
    yield (
        f"daemon {number} starts on host {host_number}",
        _set_owner(state, number, bound)._replace(orders=orders),
    )


def _stop(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner, host = state.owners[number], state.hosts[host_number]
    if owner.bound_host != host_number:
        return
    freed = _set_owner(state, number, owner._replace(bound_host=-1))
    if not guards.stop_before_start_elsewhere:
        yield f"daemon {number} gives up on host {host_number}", freed
    elif host.ended and guards.read_ends_before_freeing:
        return
    elif owner.epoch >= host.fence:
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


def _set_owner(state: State, number: int, owner: Owner) -> State:
    owners = tuple(owner if n == number else o for n, o in enumerate(state.owners))
    return state._replace(owners=owners)


def _set_host(state: State, host_number: int, **fields: object) -> State:
    hosts = tuple(
        host._replace(**fields) if n == host_number else host
        for n, host in enumerate(state.hosts)
    )
    return state._replace(hosts=hosts)
