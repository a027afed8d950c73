"""Membership: each daemon renews a row in the table, and the others watch it.

Whether a member is alive is measured on the clock of the daemon that watches.
"""

from __future__ import annotations

import time
import uuid
from contextlib import ExitStack
from dataclasses import replace

import gevent
from gevent.event import Event

from primrosehub.border.codec import from_plain, to_plain
from primrosehub.core import keys
from primrosehub.core.logs import log
from primrosehub.core.members import Member, ShardOwner
from primrosehub.core.table import (
    Expect,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.kernel import Kernel
from primrosehub.services.names.v1 import CONFIGURATION, TABLE, CellView, Prefix

REMOVE_AFTER_TAKE_OVERS = 10  # times ``take_over_s``; then a silent row is deleted


class MembershipService:
    """Renew this daemon's row and track the rows of the other members."""

    def __init__(self, kernel: Kernel) -> None:
        settings = kernel.settings
        self._kernel = kernel
        self._timing = settings.timing
        self._own_member = Member(
            name=settings.name,
            incarnation=uuid.uuid4().hex[:12],
            role=settings.role,
            peer_address=str(settings.peer),
            zone=settings.zone,
        )
        self._liveness = LivenessTracker(
            self._timing.take_over_s, 2 * self._timing.renew_s
        )
        self._view = CellView()
        self._changed = Event()
        self._read_requested = Event()

    @property
    def own_member(self) -> Member:
        """Return this daemon's own row."""
        return self._own_member

    @property
    def view(self) -> CellView:
        """Return the last confirmed view."""
        return self._view

    def start(self, stack: ExitStack) -> None:
        """Write this daemon's row and renew it until the stack closes."""
        self._table = self._kernel.find(TABLE)
        self._renew()
        self._read()
        stack.callback(self._remove_own_row)
        self._kernel.tasks(stack).spawn("membership", self._run)

    def next_view(self, after: int, timeout_s: float) -> CellView:
        """Return a view newer than ``after``, or the current one at the timeout."""
        if self._view.number <= after:
            self._changed.wait(timeout_s)
        return self._view

    def refresh(self) -> None:
        """Trigger an immediate read of the table."""
        self._read_requested.set()

    def leave(self) -> None:
        """Announce that this daemon is leaving."""
        self._own_member = replace(self._own_member, leaving=True)
        self._renew()

    def _run(self) -> None:
        renew_at = time.monotonic() + self._timing.renew_s
        while True:
            if self._read_requested.wait(max(0.0, renew_at - time.monotonic())):
                self._read_requested.clear()
            if time.monotonic() >= renew_at:
                renew_at = time.monotonic() + self._timing.renew_s
                self._renew()
            self._read()

    def _renew(self) -> None:
        version = self._kernel.find(CONFIGURATION).current.version
        counter = self._own_member.counter + 1
        self._own_member = replace(
            self._own_member, counter=counter, config_version=version
        )
        row = Write(
            keys.member(self._own_member.incarnation), to_plain(self._own_member)
        )
        try:
            self._table.commit(Transaction((), (row,)))
        except (TableUnavailable, TableOutcomeUnknown) as error:
            log("membership_not_renewed", reason=str(error))

    def _read(self) -> None:
        sent_at = time.monotonic()
        queries = (Prefix(keys.MEMBER), Prefix(keys.SHARD))
        try:
            member_rows, shard_rows = self._table.read(*queries)
        except TableUnavailable:
            return
        members = {row.key: from_plain(Member, row.value) for row in member_rows}
        now = time.monotonic()
        self._liveness.observe(list(members.values()), now)
        self._remove_silent_rows(member_rows, members, now)
        live = [m for m in members.values() if self._liveness.is_live(m, now)]
        owners = {
            row.key.removeprefix(keys.SHARD): (
                from_plain(ShardOwner, row.value),
                row.version,
            )
            for row in shard_rows
        }
        self._view = CellView(
            number=self._view.number + 1,
            confirmed_at=sent_at,
            live=tuple(sorted(live, key=lambda m: m.incarnation)),
            known=tuple(members.values()),
            owners=owners,
        )
        self._changed.set()
        self._changed.clear()

    def _remove_silent_rows(
        self, rows: list[Row], members: dict[str, Member], now: float
    ) -> None:
        limit_s = REMOVE_AFTER_TAKE_OVERS * self._timing.take_over_s
        for row in rows:
            if self._liveness.silence_s(members[row.key], now) > limit_s:
                self._delete_row(row.key, row.version)

    def _delete_row(self, key: str, version: int) -> None:
        delete = Transaction((Expect(key, version),), (Write(key, None),))
        try:
            self._table.commit(delete)
        except (TableUnavailable, TableOutcomeUnknown) as error:
            log("member_not_removed", key=key, reason=str(error))

    def _remove_own_row(self) -> None:
        with gevent.Timeout(self._timing.renew_s, False):
            try:
                key = keys.member(self._own_member.incarnation)
                self._table.commit(Transaction((), (Write(key, None),)))
            except (TableUnavailable, TableOutcomeUnknown) as error:
                log("member_not_removed", reason=str(error))


class LivenessTracker:
    """Measure how long each member has been silent, while the table answers.

    A member is silent while the counter in its row does not change. A gap of more
    than ``max_gap_s`` between two answered reads restarts every measurement: during
    an outage of the table or a pause of this process, members may be alive unseen.
    """

    def __init__(self, take_over_s: float, max_gap_s: float) -> None:
        self._take_over_s = take_over_s
        self._max_gap_s = max_gap_s
        self._last_read_at = float("-inf")
        self._counters: dict[str, tuple[int, float]] = {}

    def observe(self, members: list[Member], now: float) -> None:
        """Record the members' counters from one answered read."""
        restart = now - self._last_read_at > self._max_gap_s
        self._last_read_at = now
        previous = self._counters
        self._counters = {}
        for member in members:
            counter, since = previous.get(member.incarnation, (None, now))
            if restart or counter != member.counter:
                since = now
            self._counters[member.incarnation] = (member.counter, since)

    def silence_s(self, member: Member, now: float) -> float:
        """Return how long the member's counter has not changed, in seconds."""
        return now - self._counters[member.incarnation][1]

    def is_live(self, member: Member, now: float) -> bool:
        """Return whether the member counts as alive."""
        return self.silence_s(member, now) < self._take_over_s
