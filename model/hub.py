"""Who may start a task on the platform: epochs, fences, leases, ends; no written start.

One task, two daemons, two worker hosts. A daemon believes to own the jobs until it is
told otherwise; orders may arrive late or never; a host that is not reached may still
run the task. A lease's end is one step: an owner may count on it only after all that an
earlier owner sent to that host has lapsed, which stands for the time bound.
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
    """Hold a start order on its way."""

    host: int
    epoch: int
    attempt: int


class Host(NamedTuple):
    """Hold a host: the run is an attempt or 0, an end waits until it is noted."""

    fence: int = 0
    running_attempt: int = 0
    highest_attempt: int = 0
    ended: bool = False


class Owner(NamedTuple):
    """Hold what a daemon believes; epoch 0 means that it does not lead.

    ``bound_host`` is the host to which the task is bound, -1 for none.
    """

    epoch: int = 0
    reached: tuple[bool, bool] = (False, False)
    settled: bool = False
    bound_host: int = -1
    attempt: int = 0
    done: bool = False


class State(NamedTuple):
    """Hold everything; ``violation`` is set by a start that breaks the promise."""

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
        """Return the first state."""
        return State()


SCOPES = (Scope(),)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards; the checker takes them out one by one."""

    scope: Scope

    ask_all_hosts_first: bool = True
    wait_for_leases_of_unreached: bool = True
    fence_before_orders: bool = True
    stop_before_start_elsewhere: bool = True
    read_ends_before_freeing: bool = True
    store_expects_epoch: bool = True
    store_before_acknowledge: bool = True


def find_violation(state: State) -> str | None:
    """Return the promise that the state breaks, if any."""
    return state.violation or None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield each step that can follow."""
    for number in DAEMONS:
        yield from _take_over(state, number)
        owner = state.owners[number]
        if 0 < owner.epoch < state.epoch:
            yield f"{number} stops ordering", _set_owner(state, number, Owner())
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
                f"the task ends on {host}",
                _set_host(state, host, running_attempt=0, ended=True),
            )
            yield f"the lease on {host} ends", _set_host(state, host, running_attempt=0)


def _take_over(state: State, number: int) -> Iterator[tuple[str, State]]:
    if state.epoch < MAX_EPOCH and state.owners[number].epoch < state.epoch + 1:
        epoch = state.epoch + 1
        owner = Owner(epoch=epoch, done=state.done, settled=epoch == 1)
        yield (
            f"{number} takes over",
            _set_owner(state, number, owner)._replace(epoch=epoch),
        )


def _reach(
    state: State, number: int, host_number: int, guards: Guards
) -> Iterator[tuple[str, State]]:
    owner, host = state.owners[number], state.hosts[host_number]
    if owner.epoch < host.fence:
        yield (
            f"{number} is refused by {host_number}",
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
    yield f"{number} reaches {host_number}", reached_state
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
    yield f"{number} notes the end on {host_number}", noted._replace(acknowledged=True)


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
            # A deposed owner stops ordering long before the bound has passed.
            if busy or deposed_owner or owner.epoch != state.epoch:
                return
            # The platform voids an end that was listed before the lease's end.
            state = _set_host(state, host, ended=False)
    yield f"{number} settles", _set_owner(state, number, owner._replace(settled=True))


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
        f"{number} starts on {host_number}",
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
        yield f"{number} gives up on {host_number}", freed
    elif host.ended and guards.read_ends_before_freeing:
        return
    elif owner.epoch >= host.fence:
        highest_attempt = max(host.highest_attempt, owner.attempt)
        running_attempt = (
            0 if host.running_attempt <= owner.attempt else host.running_attempt
        )
        yield (
            f"{number} stops on {host_number}",
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
