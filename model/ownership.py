"""Specify which owner may act and where a task runs.

There are 2 owners, 2 worker hosts and 1 or 2 tasks. Time is counted in ticks. Any owner
may act late or never, which covers pauses and outages. A message may be lost, delayed
or delivered twice; a reply may be lost after its request took effect. Each scope is
explored on its own, since all of them combined have too many states.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from model.cell_state import (
    ASSIGNED,
    NO_TOKEN,
    PENDING,
    UNKNOWN,
    Host,
    Owner,
    Session,
    StartTask,
    State,
    SyncRequest,
    Task,
)

LEASE_TICKS = 2
MAX_EPOCH = 2
MAX_MESSAGES = 1  # in transit at a time


@dataclass(frozen=True, slots=True)
class Scope:
    """Bound an exploration; ``idempotent`` has an entry for each task.

    ``unconfirmed`` is how many ticks an owner may act without reading the table, and
    ``prefix`` names the steps that lead to the initial state.
    """

    idempotent: tuple[bool, ...]
    max_attempt: int
    max_restarts: int
    max_depth: int
    unconfirmed: int = 1
    prefix: tuple[str, ...] = ()

    def initial(self) -> State:
        """Return the state after the prefix."""
        count = len(self.idempotent)
        state = State(tasks=(Task(),) * count, starts=(0,) * count)
        for name in self.prefix:
            state = dict(steps(state, Guards(self)))[name]
        return state


FENCED = (
    "owner 0 sends SyncRequest to host 0",
    "host 0 takes SyncRequest of epoch 1, SyncReply to owner 0",
    "owner 0 sends SyncRequest to host 1",
    "host 1 takes SyncRequest of epoch 1, SyncReply to owner 0",
)
RUNNING = (
    *FENCED,
    "owner 0 assigns task 0 to host 0",
    "owner 0 sends SyncRequest to host 0 with StartTask 0",
    "host 0 takes SyncRequest of epoch 1, SyncReply to owner 0",
)
TAKEN_OVER = (
    *RUNNING,
    "owner 1 takes over",
    "owner 1 sends SyncRequest to host 1",
    "host 1 takes SyncRequest of epoch 2, SyncReply to owner 1",
)
SCOPES = (
    Scope(
        (True,),
        max_attempt=2,
        max_restarts=0,
        max_depth=1000,
        unconfirmed=2,
        prefix=TAKEN_OVER,
    ),
    Scope((True,), max_attempt=2, max_restarts=1, max_depth=12, prefix=RUNNING),
    Scope((True, False), max_attempt=1, max_restarts=0, max_depth=11),
    Scope((False,), max_attempt=2, max_restarts=1, max_depth=10),
    Scope((False,), max_attempt=2, max_restarts=0, max_depth=14),
    Scope((True,), max_attempt=2, max_restarts=0, max_depth=14),
)


@dataclass(frozen=True, slots=True)
class Guards:
    """Hold the guards of the protocol; the checker disables them one by one."""

    scope: Scope

    epoch_fence: bool = True
    guarded_writes: bool = True
    token_freshness: bool = True
    wait_for_lapse: bool = True
    unconfirmed_bound: bool = True
    wait_out_predecessor: bool = True
    attempt_memory: bool = True
    incarnation_check: bool = True
    unknown_when_not_idempotent: bool = True
    drop_orders: bool = True


def find_violation(state: State) -> str | None:
    """Return a description of the invariant that the state violates, or None."""
    for number, starts in enumerate(state.starts):
        places = sum(t == number for h in state.hosts for t, _ in h.running)
        if places > 1:
            return f"task {number} runs in two places"
        if starts > 1:
            return f"task {number} is not idempotent and ran twice"
    if any(len(host.running) > 1 for host in state.hosts):
        return "a worker host runs more than it can hold"
    return None


def steps(state: State, guards: Guards) -> Iterator[tuple[str, State]]:
    """Yield the name of each possible next step and the state after it."""
    yield "tick", _tick(state, guards.scope.unconfirmed)
    for number, owner in enumerate(state.owners):
        yield from _table_steps(state, guards, number, owner)
        if owner.epoch:
            yield from _send_steps(state, guards, number, owner)
    for message in state.messages:
        yield "SyncRequest lost", state._replace(messages=state.messages - {message})
        yield from _deliver(state, guards, message)
    restarts = sum(host.incarnation for host in state.hosts)
    for number, host in enumerate(state.hosts):
        if restarts < guards.scope.max_restarts:
            fresh = Host(incarnation=host.incarnation + 1)
            yield f"host {number} restarts", _with_host(state, number, fresh)


def _tick(state: State, max_unconfirmed: int) -> State:
    def host(h: Host) -> Host:
        lease_ticks = max(0, h.lease_ticks - 1)
        return h._replace(
            lease_ticks=lease_ticks, running=h.running if lease_ticks else frozenset()
        )

    def session(s: Session) -> Session:
        age = _token_age_after_tick(s.token_age)
        return s._replace(token_age=age, ticks_to_lapse=max(0, s.ticks_to_lapse - 1))

    def owner(o: Owner) -> Owner:
        first, second = o.sessions
        sessions = (session(first), session(second))
        return o._replace(
            unconfirmed_ticks=min(max_unconfirmed, o.unconfirmed_ticks + 1),
            sessions=sessions,
        )

    def message(m: SyncRequest) -> SyncRequest:
        return m._replace(token_age=_token_age_after_tick(m.token_age))

    return state._replace(
        hosts=tuple(host(h) for h in state.hosts),
        owners=tuple(owner(o) for o in state.owners),
        messages=frozenset(message(m) for m in state.messages),
    )


def _token_age_after_tick(token_age: int) -> int:
    """Return the token's age after a tick, or NO_TOKEN once it is too old to use."""
    if token_age == NO_TOKEN or token_age + 1 >= LEASE_TICKS:
        return NO_TOKEN
    return token_age + 1


def _count_start(
    scope: Scope, starts: tuple[int, ...], started: int
) -> tuple[int, ...]:
    return tuple(
        min(2, n + (i == started and not scope.idempotent[i]))
        for i, n in enumerate(starts)
    )


def _table_steps(
    state: State, guards: Guards, number: int, owner: Owner
) -> Iterator[tuple[str, State]]:
    owns = owner.epoch == state.epoch and owner.epoch > 0
    if not owns and state.epoch < MAX_EPOCH:
        yield f"owner {number} takes over", _take_over(state, guards, number)
    if owner.epoch and not owns:
        yield f"owner {number} stops acting", _with_owner(state, number, Owner())
    if owns and owner.unconfirmed_ticks:
        confirmed = owner._replace(unconfirmed_ticks=0)
        yield f"owner {number} reads the table", _with_owner(state, number, confirmed)
    if not owner.epoch or (guards.guarded_writes and not owns):
        return
    for index, task in enumerate(state.tasks):
        if task.state == PENDING:
            if task.attempt < guards.scope.max_attempt:
                yield from _assign(state, number, owner, index, task)
        elif task.state == ASSIGNED:
            yield from _give_up(state, guards, number, owner, index, task)


def _take_over(state: State, guards: Guards, number: int) -> State:
    wait = guards.scope.unconfirmed + LEASE_TICKS if guards.wait_out_predecessor else 0
    session = Session(ticks_to_lapse=wait)
    owner = Owner(epoch=state.epoch + 1, sessions=(session, session))
    return _with_owner(state, number, owner)._replace(epoch=state.epoch + 1)


def _assign(
    state: State, number: int, owner: Owner, index: int, task: Task
) -> Iterator[tuple[str, State]]:
    for host_number, session in enumerate(owner.sessions):
        busy = any(t.state == ASSIGNED and t.host == host_number for t in state.tasks)
        if not session.fenced or busy:
            continue
        assigned = Task(
            ASSIGNED, task.attempt + 1, host_number, session.token_incarnation
        )
        written = _with_task(state, index, assigned)
        start = StartTask(index, assigned.attempt, assigned.host_incarnation)
        ordered = session._replace(starts=session.starts | {start})
        name = f"owner {number} assigns task {index} to host {host_number}"
        yield name, _with_session(written, number, host_number, ordered)
        yield f"{name}, reply lost", written


def _give_up(
    state: State, guards: Guards, number: int, owner: Owner, index: int, task: Task
) -> Iterator[tuple[str, State]]:
    """Give up an assigned task once no attempt of it can still run."""
    session = owner.sessions[task.host]
    if session.ticks_to_lapse == 0 or not guards.wait_for_lapse:
        starts = frozenset(s for s in session.starts if s.task != index)
        cleared = session if not guards.drop_orders else session._replace(starts=starts)
        yield (
            f"owner {number} gives up task {index}, lease lapsed",
            _with_session(
                _with_task(state, index, _given_up(guards, index, task)),
                number,
                task.host,
                cleared,
            ),
        )


def _given_up(guards: Guards, index: int, task: Task) -> Task:
    if guards.unknown_when_not_idempotent and not guards.scope.idempotent[index]:
        return task._replace(state=UNKNOWN)
    return Task(PENDING, task.attempt)


def _send_steps(
    state: State, guards: Guards, number: int, owner: Owner
) -> Iterator[tuple[str, State]]:
    if guards.unconfirmed_bound and owner.unconfirmed_ticks >= guards.scope.unconfirmed:
        return
    if len(state.messages) >= MAX_MESSAGES:
        return
    for host_number, session in enumerate(owner.sessions):
        age = session.token_age
        starts = session.starts if session.fenced else frozenset()
        for start in (None, *starts):
            message = SyncRequest(
                owner.epoch, host_number, age, session.token_incarnation, start
            )
            ticks_to_lapse = session.ticks_to_lapse
            if age != NO_TOKEN:
                ticks_to_lapse = max(ticks_to_lapse, LEASE_TICKS - age)
            sent = state._replace(messages=state.messages | {message})
            yield (
                f"owner {number} sends SyncRequest to host {host_number}"
                + (f" with StartTask {start.task}" if start else ""),
                _with_session(
                    sent,
                    number,
                    host_number,
                    session._replace(ticks_to_lapse=ticks_to_lapse),
                ),
            )


def _deliver(
    state: State, guards: Guards, message: SyncRequest
) -> Iterator[tuple[str, State]]:
    """Deliver a request to its host; it may stay in transit and arrive again."""
    host = state.hosts[message.host]
    name = f"host {message.host} takes SyncRequest of epoch {message.epoch}"
    if guards.epoch_fence and message.epoch < host.epoch:
        yield f"{name}, refused", state._replace(messages=state.messages - {message})
        return
    after, started = _apply_request(guards, host, message)
    reached = _with_host(state, message.host, after)
    if started is not None:
        reached = reached._replace(
            starts=_count_start(guards.scope, state.starts, started)
        )
    gone = reached._replace(messages=reached.messages - {message})
    yield f"{name}, SyncReply lost", gone
    yield f"{name}, SyncReply lost, SyncRequest duplicated", reached
    for number, owner in enumerate(state.owners):
        if owner.epoch == message.epoch:
            answered = _apply_reply(guards, gone, number, message, after)
            yield f"{name}, SyncReply to owner {number}", answered


def _apply_request(
    guards: Guards, host: Host, message: SyncRequest
) -> tuple[Host, int | None]:
    host = host._replace(epoch=max(host.epoch, message.epoch))
    fresh = message.token_age != NO_TOKEN and (
        message.token_age < LEASE_TICKS
        and message.token_incarnation == host.incarnation
    )
    if message.token_age != NO_TOKEN and not guards.token_freshness:
        fresh = True
    if fresh:
        age = message.token_age if guards.token_freshness else 0
        host = host._replace(lease_ticks=max(host.lease_ticks, LEASE_TICKS - age))
    start = message.start
    if start is None:
        return host, None
    ref = (start.task, start.attempt)
    if ref in host.seen and guards.attempt_memory:
        return host, None
    if guards.incarnation_check and start.host_incarnation != host.incarnation:
        fresh = False
    host = host._replace(seen=host.seen | {ref})
    if not fresh or host.lease_ticks == 0:
        return host, None
    return host._replace(running=host.running | {ref}), start.task


def _apply_reply(
    guards: Guards, state: State, number: int, message: SyncRequest, host: Host
) -> State:
    """Take a fresh token, then update the tasks by the host's report."""
    session = state.owners[number].sessions[message.host]
    starts = session.starts - {message.start}
    # Once the host is fenced, only tokens issued before can extend an earlier lease.
    ticks_to_lapse = session.ticks_to_lapse if session.fenced else LEASE_TICKS
    renewed = Session(True, 0, host.incarnation, ticks_to_lapse, starts)
    state = _with_session(state, number, message.host, renewed)
    if state.owners[number].epoch != state.epoch and guards.guarded_writes:
        return state
    for index, task in enumerate(state.tasks):
        if task.state == ASSIGNED and task.host == message.host:
            state = _apply_report(guards, state, number, index, host, message.start)
    return state


def _apply_report(
    guards: Guards,
    state: State,
    number: int,
    index: int,
    host: Host,
    sent: StartTask | None,
) -> State:
    task = state.tasks[index]
    session = state.owners[number].sessions[task.host]
    start = StartTask(index, task.attempt, task.host_incarnation)
    ref = (index, task.attempt)
    if ref in host.running or start in session.starts:
        return state
    if task.host_incarnation == host.incarnation and ref not in host.seen:
        ordered = session._replace(starts=session.starts | {start})
        return _with_session(state, number, task.host, ordered)
    return _with_task(state, index, _given_up(guards, index, task))


def _with_task(state: State, index: int, task: Task) -> State:
    tasks = list(state.tasks)
    tasks[index] = task
    return state._replace(tasks=tuple(tasks))


def _with_host(state: State, number: int, host: Host) -> State:
    hosts = list(state.hosts)
    hosts[number] = host
    return state._replace(hosts=tuple(hosts))


def _with_owner(state: State, number: int, owner: Owner) -> State:
    owners = list(state.owners)
    owners[number] = owner
    return state._replace(owners=tuple(owners))


def _with_session(
    state: State, number: int, host_number: int, session: Session
) -> State:
    owner = state.owners[number]
    sessions = list(owner.sessions)
    sessions[host_number] = session
    return _with_owner(state, number, owner._replace(sessions=tuple(sessions)))
