"""Election of the daemon that owns the jobs and worker hosts.

One row of the store names the owner and its epoch. Every transaction of the owner
expects this row at the version that the owner last wrote, and writes it again with a
new number. A late copy of a transaction is therefore never applied a second time.
"""

from __future__ import annotations

import time
from contextlib import ExitStack
from dataclasses import replace

import gevent
from gevent.event import Event
from gevent.lock import RLock

from primrosehub.border.codec import decode, encode
from primrosehub.core.logs import log
from primrosehub.core.peering import OwnerRow, OwnerSeen, Pong, ReceivedPong
from primrosehub.core.rows import (
    ABSENT,
    ExpectRow,
    PutRow,
    RowKey,
    RowsTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
    TransactionApplied,
    TransactionConflicted,
)
from primrosehub.kernel import Kernel
from primrosehub.kernel.clock import steady_s
from primrosehub.policy.isolation import (
    CONFIRMATION_VALID_S,
    Confirmation,
    ConfirmedByHosts,
    ConfirmedByStore,
    Unconfirmed,
    assess_confirmation,
)
from primrosehub.policy.own_pace import SlowProcessorDetector
from primrosehub.policy.succession import (
    SILENCE_S,
    STAYING,
    HeirReady,
    KeepOwnership,
    Leaving,
    OutOfTime,
    OwnerAlive,
    OwnerStatus,
    OwnView,
    ReleaseDecision,
    assess_owner,
    candidate_rank,
    decide_release,
    may_take_over,
    same_term,
    take_over_delay_s,
)
from primrosehub.services.names import METRICS
from primrosehub.services.names.cluster import (
    PEERING,
    SCHEDULER,
    STORE,
    OwnershipLost,
)

CHECK_INTERVAL_S = 0.1  # between checks of the ownership
CONFIRM_INTERVAL_S = 0.7  # between an owner's confirmations from the store
RETRY_S = 0.1
# A longer time between two checks, five times CHECK_INTERVAL_S, means that this daemon
# was suspended.
SUSPENSION_THRESHOLD_S = 0.5
SPEED_CHECK_INTERVAL_S = 0.3
SPEED_CHECK_ITERATIONS = 2000  # of a trivial loop, which take tens of microseconds
SPEED_CHECK_REPEATS = 3  # only the fastest counts, to ignore interruptions
HAND_OVER_PAUSE_S = 5.0  # the minimum time between hand-overs for slowness
OWNER_KEY = RowKey("owner", "s", "cell")


class OwnershipService:
    """Monitor the owner, take over from a failed one, and write as the owner."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._row = OwnerRow(0, "", "")
        self._version = ABSENT
        self._leading = False
        self._held_epoch = 0
        self._confirmed_at = float("-inf")
        self._logged_confirmation: tuple[int, type] = (0, Unconfirmed)
        self._owner_heard_at = float("-inf")
        self._owner_known_since = steady_s()
        self._owner_status: OwnerStatus = OwnerAlive()
        self._owner_status_since = self._checked_at = steady_s()
        self._lock = RLock()
        self._leaving_since = self._leaves_at = float("inf")
        self._release_decision: ReleaseDecision | None = None
        self._standing_by = True
        self._taking_over = False
        self._released = False
        self._slow_detector = SlowProcessorDetector()
        self._handed_over_at = float("-inf")
        self._check_requested = Event()

    @property
    def known_owner(self) -> OwnerSeen:
        """Return the owner of the highest known epoch."""
        now = steady_s()
        heard_s = 0.0 if self._leading else now - self._owner_heard_at
        row = self._row
        if row.incarnation == self._peering.own_card.incarnation and not self._leading:
            row = replace(row, incarnation="")
        return OwnerSeen(row.epoch, row.incarnation, row.name, min(heard_s, 1e9))

    @property
    def is_owner(self) -> bool:
        """Return whether this daemon is the owner."""
        return self._leading

    @property
    def slow(self) -> bool:
        """Return whether this daemon's processor is too slow to own the jobs."""
        return self._slow_detector.slow

    @property
    def confirmed_by_store_at(self) -> float:
        """Return the send time of the last store call that confirmed the ownership."""
        return self._confirmed_at

    def may_order(self, epoch: int) -> bool:
        """Return whether this epoch was confirmed recently enough to send orders."""
        if not self._leading or epoch != self._row.epoch:
            return False
        confirmation = self._confirmation()
        self._log_confirmation(confirmation)
        return not isinstance(confirmation, Unconfirmed)

    def start(self, stack: ExitStack) -> None:
        """Start to monitor the owner and this daemon's processor."""
        self._store = self._kernel.find(STORE)
        self._peering = self._kernel.find(PEERING)
        self._scheduler = self._kernel.find(SCHEDULER)
        self._metrics = self._kernel.find(METRICS)
        tasks = self._kernel.tasks(stack)
        tasks.spawn("ownership", self._watch)
        tasks.spawn("confirm", self._confirm_repeatedly)
        tasks.spawn("own-pace", self._watch_processor_speed)

    def commit(self, transaction: RowsTransaction) -> None:
        """Apply the owner's transaction exactly once.

        Raise OwnershipLost or StoreRefused.
        """
        with self._lock:
            if not self._leading:
                raise OwnershipLost("not the owner")
            row = replace(self._row, number=self._row.number + 1)
            self._commit_row(row, transaction)

    def confirm(self) -> None:
        """Confirm the ownership with a read of the store; raise StoreRefused."""
        sent = steady_s()
        stored = self._store.read_one(OWNER_KEY)
        row = _decode(stored)
        if (row.epoch, row.incarnation) == (self._row.epoch, self._row.incarnation):
            self._confirmed_at = max(self._confirmed_at, sent)
        elif row.epoch > self._row.epoch:
            self.step_down(self._row.epoch, f"the store names epoch {row.epoch}")

    def step_down(self, epoch: int, reason: str) -> None:
        """Give up the ownership of this epoch, because a higher epoch exists."""
        if self._leading and epoch == self._row.epoch:
            self._leading = False
            log("ownership_lost", epoch=self._row.epoch, reason=reason)
            self._metrics.gauge("leading", 0)
            self._scheduler.end_term()
        self._check_requested.set()

    def release(self, deadline: float) -> None:
        """Give up the ownership once a peer can take over, or before the deadline.

        Until then this daemon goes on as the owner, or stands by to become it.
        """
        self._leaving_since, self._leaves_at = steady_s(), deadline
        self._peering.ping_now()
        while self._taking_over or self._goes_on():
            self._peering.wait_for_pong(CHECK_INTERVAL_S)
        self._released = True
        if self._leading:
            self._hand_over()

    def stop_standing_by(self) -> None:
        """Let ``release`` return now unless this daemon is the owner."""
        self._standing_by = False

    def _confirmation(self) -> Confirmation:
        store_age_s = steady_s() - self._confirmed_at
        if store_age_s < CONFIRMATION_VALID_S:
            return ConfirmedByStore()  # without a look at all hosts for each order
        answers = self._scheduler.witness_answers(CONFIRMATION_VALID_S)
        answered = answers.answered
        if self._peer_with_higher_epoch() is not None:
            answered = frozenset()
        return assess_confirmation(store_age_s, answers.electorates, answered)

    def _log_confirmation(self, confirmation: Confirmation) -> None:
        """Log a confirmation of another kind than before."""
        kind = (self._row.epoch, type(confirmation))
        if kind == self._logged_confirmation:
            return
        self._logged_confirmation = kind
        match confirmation:
            case ConfirmedByStore():
                source, hosts = "store", 0
            case ConfirmedByHosts(hosts):
                source = "hosts"
            case Unconfirmed(hosts):
                source = "nobody"
        self._metrics.gauge("ownership_confirmed_by_store", source == "store")
        log(
            "ownership_confirmed",
            epoch=self._row.epoch,
            by=source,
            by_store_s=round(steady_s() - self._confirmed_at, 3),
            hosts=hosts,
        )

    def _goes_on(self) -> bool:
        """Return whether this leaving daemon remains the owner or may become it."""
        leaving = self._leaving()
        if not self._leading:
            return self._standing_by and may_take_over(leaving)
        heard = self._peering.reachable_pongs(SILENCE_S)
        decision = decide_release(leaving, heard)
        if decision != self._release_decision:
            self._release_decision = decision
            log(
                "release_decided",
                decision=decision,
                left_s=round(leaving.left_s, 3),
                heard=len(heard),
                heard_leaving=sum(news.pong.leaving for news in heard),
            )
        match decision:
            case KeepOwnership():
                return True
            case HeirReady() | OutOfTime():
                return False

    def _leaving(self) -> Leaving:
        now = steady_s()
        return Leaving(now - self._leaving_since, self._leaves_at - now)

    def _hand_over(self) -> None:
        """Release the ownership; one that stays goes on while the store is away."""
        try:
            if not self._released:
                self.confirm()
        except StoreRefused as error:
            log("ownership_not_released", reason=str(error))
            return
        try:
            self._flush()
            with self._lock:
                if not self._leading:
                    return
                row = replace(self._row, incarnation="", number=self._row.number + 1)
                self._scheduler.end_term()
                self._vacate(row)
            log("ownership_released", epoch=row.epoch)
        except (StoreRefused, OwnershipLost) as error:
            log("ownership_not_released", reason=str(error))
            self._scheduler.end_term()
        self._leading = False
        self._metrics.gauge("leading", 0)
        self._owner_status = OwnerAlive()
        self._peering.ping_now()

    def _flush(self) -> None:
        """Store the last progress; hosts list what is refused to the next owner."""
        try:
            self._scheduler.flush()
        except StoreRefused as error:
            log("progress_not_stored", reason=str(error)[:120])

    def _vacate(self, row: OwnerRow) -> None:
        """Write the row; a daemon that leaves repeats what is refused until its end."""
        while True:
            try:
                self._commit_row(row, RowsTransaction())
                return
            except StoreRefused as error:
                if not self._released or steady_s() >= self._leaves_at:
                    raise
                log("release_refused", reason=str(error)[:120])
            gevent.sleep(RETRY_S)

    def _watch_processor_speed(self) -> None:
        while True:
            slept_at = steady_s()
            gevent.sleep(SPEED_CHECK_INTERVAL_S)
            slept_s = steady_s() - slept_at
            if slept_s > SPEED_CHECK_INTERVAL_S + SUSPENSION_THRESHOLD_S:
                log("daemon_suspended", for_s=round(slept_s, 3), leading=self._leading)
            was_slow = self._slow_detector.slow
            self._slow_detector.note(
                min(_time_fixed_work() for _ in range(SPEED_CHECK_REPEATS))
            )
            if self._slow_detector.slow != was_slow:
                log(
                    "own_pace",
                    slow=self._slow_detector.slow,
                    leading=self._leading,
                    latest_us=[round(s * 1e6) for s in self._slow_detector.samples][
                        -5:
                    ],
                    usual_us=round(self._slow_detector.usual_s * 1e6),
                )
            if self._slow_detector.slow and self._leading and self._may_hand_over():
                self._handed_over_at = steady_s()
                self._hand_over()

    def _may_hand_over(self) -> bool:
        """Return whether a peer that is not slow could take over now.

        Return False during the pause after a hand-over for slowness.
        """
        if steady_s() - self._handed_over_at < HAND_OVER_PAUSE_S:
            return False
        return any(
            pong.store_reached and not pong.leaving and not pong.slow
            for pong in self._peering.recent_pongs(SILENCE_S)
        )

    def _commit_row(self, row: OwnerRow, transaction: RowsTransaction) -> None:
        """Commit a transaction with the new owner row, until the outcome is known.

        A transaction that certainly was not applied is retried only if an earlier try
        may have been applied.
        """
        combined = RowsTransaction(
            (ExpectRow(OWNER_KEY, self._version), *transaction.expects),
            (PutRow(OWNER_KEY, encode(row)), *transaction.writes),
            transaction.removes,
        )
        in_doubt = False
        while True:
            sent = steady_s()
            try:
                outcome = self._store.commit(combined)
            except StoreOutcomeUnknown:
                in_doubt = True
            except StoreRefused:
                if not in_doubt:
                    raise
            else:
                self._apply_outcome(outcome, row, sent)
                return
            gevent.sleep(RETRY_S)
            if not self._leading:
                raise OwnershipLost(
                    "lost the ownership while a transaction's outcome was unknown"
                )

    def _apply_outcome(
        self,
        outcome: TransactionApplied | TransactionConflicted,
        row: OwnerRow,
        sent: float,
    ) -> None:
        match outcome:
            case TransactionApplied(version):
                self._row, self._version = row, version
            case TransactionConflicted(rows):
                stored = next((one for one in rows if one.key == OWNER_KEY), None)
                if stored is None or stored.value != encode(row):
                    held = repr(stored.value)[:120] if stored else "no row"
                    self.step_down(self._row.epoch, f"the store holds {held}")
                    raise OwnershipLost("the owner row has changed")
                self._row, self._version = row, stored.version
        self._confirmed_at = max(self._confirmed_at, sent)

    def _watch(self) -> None:
        while True:
            self._check_requested.wait(CHECK_INTERVAL_S)
            self._check_requested.clear()
            try:
                if self._leading:
                    self._check_own_term()
                else:
                    self._check_owner()
            except StoreRefused:
                gevent.sleep(RETRY_S)

    def _check_own_term(self) -> None:
        pong = self._peer_with_higher_epoch()
        if pong is not None:
            self.step_down(
                self._row.epoch, f"{pong.sender.name} knows epoch {pong.owner.epoch}"
            )

    def _peer_with_higher_epoch(self) -> Pong | None:
        """Return the news of a peer that knows a later owner, None if there is none."""
        pongs = self._peering.recent_pongs(CONFIRMATION_VALID_S)
        return next((p for p in pongs if p.owner.epoch > self._row.epoch), None)

    def _confirm_repeatedly(self) -> None:
        """Keep the ownership confirmed by the store."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            try:
                due = steady_s() - self._confirmed_at > CONFIRM_INTERVAL_S
                if self._leading and due:
                    self.confirm()
            except (StoreRefused, OwnershipLost):
                gevent.sleep(RETRY_S)

    def _check_owner(self) -> None:
        if self._row.epoch == 0:
            self._reread()
        pongs = self._peering.reachable_pongs(SILENCE_S)
        for received in pongs:
            self._apply_pong(received)
        self._peering.watch_closely(self._row.name)
        now = steady_s()
        if now - self._checked_at > SUSPENSION_THRESHOLD_S:
            # This daemon was suspended, so it may have missed messages of the owner.
            self._owner_known_since = now
        self._checked_at = now
        status = assess_owner(self._row, self._own_view(now), pongs)
        if type(status) is not type(self._owner_status):
            self._owner_status, self._owner_status_since = status, now
            if not isinstance(status, OwnerAlive):
                log("owner_missed", owner=self._row.name, verdict=status)
        if self._released or not self._standing_by:
            return
        me, store_reached = self._peering.own_card, self._store.reached_directly
        able = store_reached and not self._slow_detector.slow
        leaves = self._leaving_since <= now
        tenure = self._leaving() if leaves else STAYING
        rank = candidate_rank(me, able, self._row, pongs, tenure)
        delay_s = take_over_delay_s(status, rank)
        if delay_s is None or now - self._owner_status_since < delay_s:
            return
        assumed = self._row
        self._reread()
        # If the row names another owner, allow that owner the full time to respond.
        if same_term(self._row, assumed) or not self._row.incarnation:
            self._take_over()

    def _own_view(self, now: float) -> OwnView:
        return OwnView(
            self._peering.own_card,
            now - max(self._owner_heard_at, self._owner_known_since),
            self._peering.refused_s(self._row.name),
        )

    def _apply_pong(self, received: ReceivedPong) -> None:
        owner = received.pong.owner
        if owner.epoch > self._row.epoch or (
            owner.epoch == self._row.epoch and not owner.incarnation
        ):
            if self._row.incarnation != owner.incarnation:
                log("owner_seen", epoch=owner.epoch, owner=owner.name, by="peer")
            self._note_owner(OwnerRow(owner.epoch, owner.incarnation, owner.name))
        row = self._row
        if row.incarnation and received.pong.sender.incarnation == row.incarnation:
            at = steady_s() - received.age_s
            self._owner_heard_at = max(self._owner_heard_at, at)

    def _note_owner(self, row: OwnerRow) -> None:
        if not same_term(row, self._row):
            self._owner_known_since = steady_s()
            self._owner_heard_at = float("-inf")
        self._row = row

    def _reread(self) -> None:
        sent = steady_s()
        stored = self._store.read_one(OWNER_KEY)
        row = _decode(stored)
        self._version = stored.version if stored else ABSENT
        if row.epoch > self._row.epoch or row.incarnation != self._row.incarnation:
            log("owner_seen", epoch=row.epoch, owner=row.name, by="store")
        self._note_owner(row)
        # A term that this daemon has ended is not resumed: its orders may arrive late.
        own = row.incarnation == self._peering.own_card.incarnation
        if own and row.epoch > self._held_epoch:
            self._begin_term(sent)

    def _take_over(self) -> None:
        if self._leading or self._released:
            return
        self._taking_over = True  # ``release`` waits for the outcome
        try:
            self._write_own_row()
        finally:
            self._taking_over = False

    def _write_own_row(self) -> None:
        me = self._peering.own_card
        row = OwnerRow(self._row.epoch + 1, me.incarnation, me.name)
        sent = steady_s()
        transaction = RowsTransaction(
            (ExpectRow(OWNER_KEY, self._version),), (PutRow(OWNER_KEY, encode(row)),)
        )
        try:
            outcome = self._store.commit(transaction)
        except StoreOutcomeUnknown:
            self._reread()
            return
        match outcome:
            case TransactionApplied(version):
                log("taking_over", epoch=row.epoch, before=self._row.name)
                self._row, self._version = row, version
                self._begin_term(sent)
            case TransactionConflicted():
                self._reread()

    def _begin_term(self, confirmed_at: float) -> None:
        if self._leading or self._released:
            return
        self._leading = True
        self._confirmed_at = confirmed_at
        self._held_epoch = self._row.epoch
        self._metrics.gauge("leading", 1)
        self._metrics.count("take_overs")
        self._peering.ping_now()
        self._scheduler.start_term(self._row.epoch)


def _decode(stored: StoredRow | None) -> OwnerRow:
    """Return the row; raise StoreRefused if it is invalid.

    Nobody can take over then: the highest epoch that hosts have seen is not known.
    """
    if stored is None:
        return OwnerRow(0, "", "")
    try:
        return decode(OwnerRow, stored.value)
    except ValueError as error:
        log("owner_row_unreadable", version=stored.version, reason=str(error)[:200])
        raise StoreRefused("the owner row is unreadable") from None


def _time_fixed_work() -> float:
    began = time.perf_counter()
    total = 0
    for number in range(SPEED_CHECK_ITERATIONS):
        total += number
    return time.perf_counter() - began
