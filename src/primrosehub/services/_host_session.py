"""The owner's session with one worker host: lease renewals, reports and orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from gevent.queue import Queue

from primrosehub.core.fleet import (
    HostReport,
    OrderDone,
    OrderNotSent,
    OrderOutcome,
    OrderRefused,
    OrderUnanswered,
    RefusalReason,
    StartOrder,
    StopOrder,
    WorkerHost,
)
from primrosehub.core.logs import log
from primrosehub.core.resources import Resources, total
from primrosehub.kernel import TaskGroup
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.hosts import (
    HostClient,
    HostReportUnavailable,
    LeaseRenewalRefused,
)
from primrosehub.policy.host_pace import HostPace
from primrosehub.policy.host_trust import HostTrust
from primrosehub.services._job_book import TaskPhase, TaskRun

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

LEASE_S = 6.0  # outlasts a take-over (3 s) and a pause of all daemons
MIN_HOST_CLOCK_RATE = 0.98  # host seconds per second of this daemon's clock
START_ORDER_VALID_S = 1.5  # hosts refuse start orders that arrive later
# How late a call may arrive at a later incarnation, whose clock is another.
LATE_CALL_S = 5.0
REPORT_WAIT_S = 1.0  # how long a host may delay its report while no attempt ends
# The same once the store has not confirmed the owner for ASK_HOSTS_AFTER_S, so that
# answers of the hosts are there before that confirmation expires, and none is too old.
SHORT_REPORT_WAIT_S = 0.5
ASK_HOSTS_AFTER_S = 1.0
REPORT_TIMEOUT_S = 1.0  # in addition to the requested delay of the report
ORDER_TIMEOUT_S = 0.8
RETRY_S = 0.25
ENDS_STORED_TIMEOUT_S = 0.5  # for storing ended attempts before the next renewal
MAX_PARALLEL_ORDERS = 3  # to one host
MAX_IDLE_CONNECTIONS = MAX_PARALLEL_ORDERS + 2


@dataclass(frozen=True, slots=True)
class _StartRequest:
    """Request the start of an attempt that is assigned to this host."""

    task: TaskRun
    attempt: int
    planned_at: float


@dataclass(frozen=True, slots=True)
class _StopRequest:
    """Request the stop of an attempt, repeated until the host answers.

    ``task`` is None if the attempt belongs to no task that is assigned to this host.
    """

    task: TaskRun | None
    order: StopOrder
    reason: str


@dataclass(slots=True)
class _ClockReading:
    """Hold a reading of the host's clock.

    ``sent_at`` is the time of the request, ``received_at`` that of its response.
    """

    reading_ms: int
    sent_at: float
    received_at: float

    def latest_ms(self, now: float) -> int:
        """Return the latest time that the host's clock may show now."""
        return self.reading_ms + int((now - self.sent_at) * 1000)

    def earliest_ms(self, now: float) -> int:
        """Return the earliest time that the host's clock may show now."""
        return self.reading_ms + int(
            (now - self.received_at) * 1000 * MIN_HOST_CLOCK_RATE
        )


class HostSession:
    """Renew the lease of one worker host and send it a few orders at a time.

    ``untracked_attempts`` are being stopped; they belong to no task assigned here.
    ``leaves_at`` is when a draining host stops, on this daemon's clock. ``listed``
    tells whether the store lists the host, ``enrolled`` whether the stored roster
    names it. ``reached`` tells whether the host has ever reported in this term,
    ``ends_listed`` whether it has ever listed all ends that the owner had not stored,
    ``answering`` whether it answered the last renewal. A host numbers the ends of its
    attempts: ``last_received_end`` and ``last_stored_end`` are the highest numbers
    received and stored; ``ends_stored`` is set after storing. ``client`` leads to one
    incarnation of the host and is replaced once another one answers, so that no order,
    lease or acknowledgement reaches an incarnation that it was not meant for. ``info``
    is the newest entry, which may describe an incarnation before or after that one.

    A new incarnation knows no epoch, so it would accept starts of an owner that was
    replaced without noticing. It gets starts only after the store has confirmed the
    ownership by a request that was sent after the first look at it: whoever takes over
    later looks at this incarnation or a later one.
    """

    def __init__(self, term: OwnerTerm, info: WorkerHost) -> None:
        self._term = term
        self.info = info
        self.client = self._new_client()
        self.assigned_tasks: dict[TaskRun, None] = {}
        self.untracked_attempts: dict[StopOrder, Resources] = {}
        self.trust = HostTrust()
        self.pace = HostPace()
        self.leaves_at: float | None = None
        self.listed = True
        self.unlisted_at = 0.0
        self.enrolled = False
        self.reached = False
        self.ends_listed = False
        self.closed = False
        self.answering = False
        self.last_received_end = 0
        self.last_stored_end = 0
        self._last_acked_end = 0
        self.ends_stored = Event()
        self._born_ms = 0
        self._clock_reading: _ClockReading | None = None
        self._max_lease_until_ms = 0
        self._orders: Queue = Queue()
        self._unanswered_since = steady_s()
        self._no_starts_until = 0.0
        self._incarnation_seen_at = float("inf")
        self._answered_at = float("-inf")
        self._logged_obstacle = ""

    @property
    def host(self) -> str:
        """Return the host's id."""
        return self.info.host

    @property
    def described(self) -> bool:
        """Return whether the entry may be of the incarnation that answers.

        Another one may be of another kind, service, rack or capacity.
        """
        born_ms = self.info.born_ms
        return not born_ms or not self._born_ms or born_ms == self._born_ms

    @property
    def draining(self) -> bool:
        """Return whether the incarnation that answers is about to leave."""
        return self.info.draining and self.described

    @property
    def used(self) -> Resources:
        """Return the resources in use, or possibly in use, on the host."""
        needs = [task.step.spec.need for task in self.assigned_tasks]
        return total([*needs, *self.untracked_attempts.values()])

    @property
    def incarnation_confirmed(self) -> bool:
        """Return whether the store has confirmed the ownership since the first look.

        That is the first look at the incarnation of the host that answers now.
        """
        return self._term.ownership.confirmed_by_store_at > self._incarnation_seen_at

    def confirms_since(self, since: float) -> bool:
        """Return whether a call that was sent since then shows no later owner.

        An incarnation counts only if the store has confirmed the ownership since the
        first look at it, as it may have forgotten a later owner.
        """
        return self._answered_at >= since and self.incarnation_confirmed

    def accepts_starts(self, now: float, listing_grace_s: float) -> bool:
        """Return whether new attempts may be started on the host.

        Log why not if it has been reached, and each change.
        """
        obstacle = self._obstacle_to_starts(now, listing_grace_s)
        if self.reached and obstacle != self._logged_obstacle:
            self._logged_obstacle = obstacle
            log("host_starts", host=self.host, allowed=not obstacle, obstacle=obstacle)
        return not obstacle

    def _obstacle_to_starts(self, now: float, listing_grace_s: float) -> str:
        if not self.listed and now - self.unlisted_at >= listing_grace_s:
            return "unlisted"
        if not self.enrolled:
            return "not in the roster"
        if not self.reached or not self.answering:
            return "silent"
        if not self.incarnation_confirmed:
            return "ownership unconfirmed since its start"
        if not self.described:
            return "entry of another incarnation"
        if self.info.draining:
            return "draining"
        if now < self._no_starts_until:
            return "unhealthy"
        return "" if self.trust.usable(now) else "suspended"

    def open(self, tasks: TaskGroup) -> None:
        """Spawn the tasks that renew the lease and send orders."""
        tasks.spawn_restarting(f"host {self.host}", self._keep_lease)
        for number in range(MAX_PARALLEL_ORDERS):
            tasks.spawn_restarting(f"orders {self.host} {number}", self._send_orders)

    def close(self) -> None:
        """End the session."""
        self.closed = True
        self.client.close()
        for _ in range(MAX_PARALLEL_ORDERS):
            self._orders.put(None)

    def start(self, task: TaskRun) -> None:
        """Queue a start order for a task that is assigned to this host."""
        self._orders.put(_StartRequest(task, task.attempt, steady_s()))

    def stop(self, task: TaskRun, reason: str) -> None:
        """Queue a stop order for the task's attempt, repeated until it is answered."""
        task.phase = (
            TaskPhase.DONE if task.phase is TaskPhase.DONE else TaskPhase.STOPPING
        )
        order = StopOrder(task.id, task.attempt)
        self._orders.put(_StopRequest(task, order, reason))

    def stop_untracked(self, order: StopOrder, need: Resources, reason: str) -> None:
        """Stop an attempt of no task assigned here, and count its resources as used."""
        if order not in self.untracked_attempts:
            self.untracked_attempts[order] = need
            self._orders.put(_StopRequest(None, order, reason))

    def lease_has_expired(self, now: float) -> bool:
        """Return whether no lease or start order given to the host can be valid now."""
        if self._clock_reading is None:
            return not self.assigned_tasks
        return self._clock_reading.earliest_ms(now) > self._max_lease_until_ms

    @property
    def silent_s(self) -> float:
        """Return for how long the host has not answered, 0 if it answers."""
        return 0.0 if self.answering else steady_s() - self._unanswered_since

    def _keep_lease(self) -> None:
        while not self.closed:
            checked_at = steady_s()
            if not self._term.may_order:
                self._ask_for_confirmation()
                continue
            pending = self.last_received_end > self.last_stored_end
            wait_s = 0.0 if pending or not self.reached else self._report_wait_s()
            self.ends_stored.clear()
            client = self.client
            try:
                self._renew_lease(client, wait_s, checked_at)
            except HostReportUnavailable as error:
                if client is not self.client:
                    continue  # the host has restarted
                self._handle_no_report(str(error))
                gevent.sleep(RETRY_S)
            except LeaseRenewalRefused as error:
                self._handle_renewal_refused(error.reason)
                gevent.sleep(RETRY_S)
            else:
                if self.last_received_end > self.last_stored_end:
                    self.ends_stored.wait(ENDS_STORED_TIMEOUT_S)

    def _report_wait_s(self) -> float:
        unconfirmed_s = steady_s() - self._term.ownership.confirmed_by_store_at
        late = unconfirmed_s >= ASK_HOSTS_AFTER_S
        return SHORT_REPORT_WAIT_S if late else REPORT_WAIT_S

    def _ask_for_confirmation(self) -> None:
        """Ask, without lease or acknowledgement, if the host has seen a later owner.

        An owner that may send no orders for want of answers gets them so.
        """
        client, sent_at = self.client, steady_s()
        try:
            if client.connected:
                report = client.renew_lease(0, 0, 0.0, REPORT_TIMEOUT_S)
            else:
                report = client.look(REPORT_TIMEOUT_S)
        except HostReportUnavailable:
            client.close()
        except LeaseRenewalRefused as error:
            self._handle_renewal_refused(error.reason)
        else:
            if self._is_known_incarnation(report.born_ms):
                self._answered_at = sent_at
            else:
                client.close()  # the next look handles the restart
        gevent.sleep(RETRY_S)

    def _renew_lease(
        self, client: HostClient, wait_s: float, checked_at: float
    ) -> None:
        """Renew the lease as of the time at which the ownership was checked."""
        sent_at = steady_s()
        acked_end = 0
        if client.connected:
            # A hold is under way nearly always, and one that arrives after a restart
            # would acknowledge ends of the next incarnation, so none is repeated.
            if self.last_stored_end > self._last_acked_end:
                acked_end = self.last_stored_end
            report = client.renew_lease(
                acked_end,
                self._offer_lease(checked_at),
                wait_s,
                wait_s + REPORT_TIMEOUT_S,
            )
        else:
            report = client.look(REPORT_TIMEOUT_S)
        received_at = steady_s()
        if self.closed or client is not self.client:
            return
        self._last_acked_end = max(self._last_acked_end, acked_end)
        reading = _ClockReading(report.clock_ms, sent_at, received_at)
        if not self._is_known_incarnation(report.born_ms):
            self._note_restart(report, reading)
        elif not self.reached:
            self._note_new_incarnation()
            # An earlier owner may have given a lease until just before this look.
            self._max_lease_until_ms = report.clock_ms + self._term.lease_ms
        self._born_ms, self._clock_reading = report.born_ms, reading
        self._answered_at = sent_at
        self._term.witnesses.note_informed(self.host, received_at)
        if not self.answering:
            self.answering = True
            log(
                "host_reached",
                host=self.host,
                running=len(report.running),
                ended=len(report.ended),
                silent_s=round(received_at - self._unanswered_since, 3),
            )
        first, listed_before = not self.reached, self.ends_listed
        self.reached = True
        self.ends_listed |= report.ends_complete
        self._term.apply_report(self, report, sent_at)
        if first or self.ends_listed != listed_before:
            self._term.host_reached(self)

    def _offer_lease(self, now: float) -> int:
        """Return until when a lease is offered, on the host's clock; 0 for no lease.

        A host that does not answer may still receive renewals, so none is offered: its
        lease has to expire before its tasks are started elsewhere.
        """
        if self._clock_reading is None or not self.answering:
            return 0
        # From the earliest time, so that no lease lasts longer than a successor waits.
        lease_until_ms = self._clock_reading.earliest_ms(now) + self._term.lease_ms
        self._max_lease_until_ms = max(self._max_lease_until_ms, lease_until_ms)
        return lease_until_ms

    def _new_client(self) -> HostClient:
        return HostClient(
            self.info.host, self.info.address, self._term.epoch, MAX_IDLE_CONNECTIONS
        )

    def _is_known_incarnation(self, born_ms: int) -> bool:
        return not self._born_ms or born_ms == self._born_ms

    def _note_restart(self, report: HostReport, reading: _ClockReading) -> None:
        """Begin anew with another incarnation, which lists what it runs.

        It may be another machine, so what was learned of the last one does not count.
        Starts that the last one left unanswered may still arrive, so their tasks are
        stopped here before they are freed.
        """
        log("host_reborn", host=self.host, born=report.born_ms)
        self.client.abort()
        self.client = self._new_client()
        self.last_received_end = self.last_stored_end = self._last_acked_end = 0
        self.leaves_at = None
        self.trust, self.pace, self._no_starts_until = HostTrust(), HostPace(), 0.0
        self._born_ms, self._clock_reading = report.born_ms, reading
        if self.info.born_ms and self.draining:
            self._term.host_draining(self)
        self._term.forget_tickets(self.host)
        self._note_new_incarnation()
        listed = {(run.task, run.attempt) for run in report.running}
        kept = [
            task
            for task in self.assigned_tasks
            if task.start_in_doubt or (task.id, task.attempt) in listed
        ]
        self._max_lease_until_ms = self._latest_lease_of_late_call_ms()
        self._term.host_lost_tasks(self, "restarted", kept)
        for task in kept:
            if task.start_in_doubt:
                task.stop_answered_at = None
                self.stop(task, "start unanswered before a restart")

    def _latest_lease_of_late_call_ms(self) -> int:
        """Return until when a call meant for an earlier incarnation may give a lease.

        Its time limit is on another clock, so only the host's own limit holds.
        """
        latest_call_ms = self._clock_reading.latest_ms(steady_s() + LATE_CALL_S)
        return latest_call_ms + self._term.max_lease_ms

    def _note_new_incarnation(self) -> None:
        self._incarnation_seen_at = steady_s()
        self._term.request_confirmation()

    def _connect(self) -> bool:
        """Open a connection if there is none; tell whether the host can be ordered.

        It can't if it turns out to have restarted. Raise LeaseRenewalRefused or
        HostReportUnavailable.
        """
        client, sent_at = self.client, steady_s()
        if client.connected:
            return True
        report = client.look(ORDER_TIMEOUT_S)
        if self.closed or client is not self.client:
            return False
        if self._is_known_incarnation(report.born_ms):
            return True
        reading = _ClockReading(report.clock_ms, sent_at, steady_s())
        self._note_restart(report, reading)
        return False

    def _send_order(self, send: Callable[[HostClient], OrderOutcome]) -> OrderOutcome:
        """Send an order to the known incarnation of the host, and to no other."""
        try:
            if not self._connect():
                return OrderNotSent("the host has restarted")
        except HostReportUnavailable as error:
            return OrderNotSent(str(error))
        except LeaseRenewalRefused as error:
            return OrderRefused(error.reason)
        client = self.client
        outcome = send(client)
        if isinstance(outcome, OrderUnanswered):
            client.close()  # the host may have restarted and know none of them
        return outcome

    def _handle_no_report(self, reason: str) -> None:
        now = steady_s()
        self.client.close()  # the host may have restarted and know none of them
        if self.answering:
            self.answering = False
            self._unanswered_since = now
            log("host_silent", host=self.host, reason=reason)
        if self.assigned_tasks and self._clock_reading and self.lease_has_expired(now):
            self._term.host_lost_tasks(self, "lease expired")

    def _handle_renewal_refused(self, reason: RefusalReason) -> None:
        log("lease_refused", host=self.host, reason=reason)
        match reason:
            case RefusalReason.STALE_EPOCH:
                self._term.step_down(f"{self.host} knows a higher epoch")
            case RefusalReason.OTHER_INCARNATION:
                self._term.host_replaced(self)
            case _:
                self._handle_no_report(str(reason))

    def _send_orders(self) -> None:
        while not self.closed:
            match self._orders.get():
                case _StartRequest(task, attempt, planned_at):
                    self._send_start(task, attempt, planned_at)
                case _StopRequest(task, order, reason):
                    self._send_stop(task, order, reason)

    def _send_start(self, task: TaskRun, attempt: int, planned_at: float) -> None:
        if not self._is_still_starting(task, attempt):
            return
        checked_at = steady_s()
        may_start = self._term.may_order and self.incarnation_confirmed
        if not may_start or not self.answering:
            self._term.not_started(self, task, "host silent or ownership unconfirmed")
            return
        order = self._build_start_order(task, checked_at)
        sent_at = steady_s()
        task.start_in_doubt = True
        outcome = self._send_order(lambda client: client.start(order, ORDER_TIMEOUT_S))
        if not isinstance(outcome, OrderUnanswered):
            task.start_in_doubt = False
        else:
            log("start_unanswered", **_attempt_fields(task), host=self.host)
            # The host may still carry out the order. Unless a repeated order is done,
            # only a stop makes sure that the attempt does not run.
            if self._is_still_starting(task, attempt) and self._term.may_order:
                again = self._send_order(
                    lambda client: client.start(order, ORDER_TIMEOUT_S)
                )
                outcome = again if isinstance(again, OrderDone) else outcome
        if self.closed or task.host != self.host or task.attempt != attempt:
            return
        match outcome:
            case OrderDone():
                self._term.started(self, task, sent_at, planned_at)
            case OrderRefused(reason):
                self._handle_start_refused(task, reason)
            case OrderNotSent(detail):
                self._term.not_started(self, task, detail)
            case OrderUnanswered():
                self.stop(task, "start unanswered")

    def _is_still_starting(self, task: TaskRun, attempt: int) -> bool:
        """Return whether this attempt is still to be started on this host."""
        assigned = task.host == self.host and task.attempt == attempt
        return assigned and not self.closed and task.phase is TaskPhase.STARTING

    def _build_start_order(self, task: TaskRun, checked_at: float) -> StartOrder:
        """Return an order that is valid as of the last check of the ownership."""
        step = task.step
        ticket = step.tickets.get(self.host)
        valid_until = self._clock_reading.latest_ms(checked_at) + int(
            START_ORDER_VALID_S * 1000
        )
        self._max_lease_until_ms = max(self._max_lease_until_ms, valid_until)
        return StartOrder(
            task=task.id,
            attempt=task.attempt,
            command=step.job.accepted.spec.command,
            checkpoint=task.checkpoint,
            ticket=ticket.value if ticket else "",
            valid_until_ms=valid_until,
        )

    def _handle_start_refused(self, task: TaskRun, reason: RefusalReason) -> None:
        log("start_refused", **_attempt_fields(task), host=self.host, reason=reason)
        match reason:
            case RefusalReason.STALE_EPOCH:
                self._term.step_down(f"{self.host} knows a higher epoch")
                return
            case RefusalReason.NO_TICKET:
                task.step.tickets.pop(self.host, None)
            case RefusalReason.UNHEALTHY:
                self._no_starts_until = steady_s() + 1.0
            case RefusalReason.OTHER_INCARNATION:
                self._term.host_replaced(self)
                return
        self._term.not_started(self, task, reason)

    def _send_stop(self, task: TaskRun | None, order: StopOrder, reason: str) -> None:
        while not self.closed:
            if task is not None and (
                task.host != self.host or task.attempt != order.attempt
            ):
                return
            if self._term.may_order:
                outcome = self._send_order(
                    lambda client: client.stop(order, ORDER_TIMEOUT_S)
                )
                if self._is_stop_settled(task, order, outcome, reason):
                    return
            gevent.sleep(RETRY_S)

    def _is_stop_settled(
        self, task: TaskRun | None, order: StopOrder, outcome: object, reason: str
    ) -> bool:
        match outcome:
            case OrderDone():
                log(
                    "stopping", job=order.task.job, attempt=order.attempt, reason=reason
                )
                if task is not None:
                    task.stop_answered_at = steady_s()
                return True
            case OrderRefused(RefusalReason.STALE_EPOCH):
                self._term.step_down(f"{self.host} knows a higher epoch")
                return True
            case OrderRefused(RefusalReason.OTHER_INCARNATION):
                self._term.host_replaced(self)
                return True
        return False


def _attempt_fields(task: TaskRun) -> dict[str, object]:
    return {
        "job": task.id.job,
        "step": task.id.step,
        "task": task.id.index,
        "attempt": task.attempt,
    }
