"""Store job progress in batches, before ends are acknowledged to worker hosts."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from gevent.lock import RLock

from primrosehub.border.codec import encode
from primrosehub.core.logs import log
from primrosehub.core.rows import PutRow, RowsTransaction, StoreRefused
from primrosehub.kernel.clock import steady_s
from primrosehub.services._job_rows import ROSTER_KEY, progress_key
from primrosehub.services.names.cluster import OwnershipLost

if TYPE_CHECKING:
    from primrosehub.services._host_session import HostSession
    from primrosehub.services._owner_term import OwnerTerm

BATCH_DELAY_S = 0.02  # ends within this time share a transaction
MAX_ROWS = 90  # leaves space for the owner row within the store's 100 entries
RETRY_S = 0.1


class ProgressWriter:
    """Write changed jobs and the roster, then allow ends to be acknowledged.

    The roster is the stored list of hosts that may run tasks.
    """

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self._wake = Event()
        self._flushing = RLock()
        self._roster: dict[str, str] = {}

    def wake(self) -> None:
        """Request a write."""
        self._wake.set()

    def run(self) -> None:
        """Write whenever there is something to write."""
        while True:
            self._wake.wait()
            gevent.sleep(BATCH_DELAY_S)
            self._wake.clear()
            try:
                self.flush()
            except StoreRefused as error:
                log("progress_not_stored", reason=str(error)[:120])
                gevent.sleep(RETRY_S)
                self._wake.set()
            except OwnershipLost:
                return

    def flush(self) -> None:
        """Store all progress; raise StoreRefused or OwnershipLost.

        Only one flush runs at a time. A concurrent second flush would treat rows that
        the first has not stored yet as stored, and acknowledge their ends.
        """
        with self._flushing:
            self._flush()

    def _flush(self) -> None:
        term = self._term
        roster_changed = self._current_roster() != self._roster
        roster_changed |= self._next_witnesses() != term.witnesses.stored
        noted_ends = [
            (session, session.last_received_end) for session in term.sessions.values()
        ]
        while term.book.dirty or roster_changed:
            self._write_batch(roster_changed)
            roster_changed = False
        for session, noted_end in noted_ends:
            if noted_end > session.last_stored_end:
                session.last_stored_end = min(noted_end, session.last_received_end)
                session.ends_stored.set()

    def _current_roster(self) -> dict[str, str]:
        return {host: s.info.address for host, s in self._term.sessions.items()}

    def _next_witnesses(self) -> frozenset[str] | None:
        """Return the hosts that are reached, once earlier owners have stopped."""
        term = self._term
        if not term.settled:
            return term.witnesses.stored
        return frozenset(host for host, one in term.sessions.items() if one.reached)

    def _write_batch(self, roster_changed: bool) -> None:
        term, book = self._term, self._term.book
        began = steady_s()
        ids = [book.dirty.pop() for _ in range(min(MAX_ROWS, len(book.dirty)))]
        jobs = [book.jobs[job_id] for job_id in ids if job_id in book.jobs]
        states = [job.state for job in jobs]
        writes = [
            PutRow(
                progress_key(job.accepted.job),
                encode(book.progress_of(job)),
            )
            for job in jobs
        ]
        roster = self._current_roster()
        enrolled: list[HostSession] = []
        if roster_changed:
            writes.append(PutRow(ROSTER_KEY, encode_roster(roster)))
            enrolled = list(term.sessions.values())
        witnesses = self._next_witnesses()
        try:
            with ExitStack() as stack:
                if witnesses is not None and witnesses != term.witnesses.stored:
                    change = term.witnesses.change_to(witnesses)
                    writes.append(stack.enter_context(change))
                term.ownership.commit(RowsTransaction(writes=tuple(writes)))
        except BaseException:
            book.dirty.update(ids)
            raise
        now = steady_s()
        for job, state in zip(jobs, states, strict=True):
            job.visible_state = state
            if job.ended_at and not job.stored_at:
                job.stored_at = now
                term.metrics.observe("end_stored_seconds", now - job.ended_at)
        if roster_changed:
            self._roster = roster
            for session in enrolled:
                session.enrolled = True
            term.wake()
        term.metrics.observe("progress_write_seconds", now - began)


def encode_roster(roster: dict[str, str]) -> bytes:
    """Encode the addresses of the hosts that may run tasks, by host id."""
    return encode(roster)
