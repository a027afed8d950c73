"""Read the stored rows at the start of a term, then follow their changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, TypeVar

import gevent

from primrosehub.border.address import parse_address
from primrosehub.border.codec import decode
from primrosehub.border.stored_jobs import decode_progress, decode_stored_job
from primrosehub.core.batch import AcceptedJob, JobProgress
from primrosehub.core.fleet import WorkerHost
from primrosehub.core.logs import log
from primrosehub.core.resources import NO_RESOURCES
from primrosehub.core.rows import (
    HistoryLost,
    RowKey,
    RowsPage,
    StoredRow,
    StoreRefused,
)
from primrosehub.kernel.clock import steady_s
from primrosehub.platform.hosts import decode_host
from primrosehub.platform.wire import HOSTS_TABLE
from primrosehub.services._job_rows import (
    CANCEL_TABLE,
    JOB_TABLE,
    OWNER_PART,
    PROGRESS_TABLE,
    ROSTER_KEY,
    WITNESSES_KEY,
)

if TYPE_CHECKING:
    from primrosehub.services._owner_term import OwnerTerm

T = TypeVar("T")
FEED_WAIT_S = 2.0  # how long the store waits for a change before it answers
RETRY_S = 0.2
# Each call to the store has a cost, so changes are fetched in batches. The delay does
# no harm: hosts write a row only every second or two, and daemons notify the owner of
# new jobs directly.
FEED_PAUSE_S = 0.2
MAX_LOGGED_KEY_CHARS = 80
ROWS_PER_TURN = 100  # decoded before pings and callers get a turn, some milliseconds


class TermRows:
    """Read and follow the rows of jobs, cancellations and worker hosts."""

    def __init__(self, term: OwnerTerm) -> None:
        self._term = term
        self._logged_versions: dict[RowKey, int] = {}
        self._roster_hosts: tuple[str, ...] = ()

    def load(self) -> int:
        """Read all rows once and return the version from which to follow them."""
        while True:
            try:
                return self._load_once()
            except StoreRefused as error:
                log("load_failed", epoch=self._term.epoch, reason=str(error)[:120])
                gevent.sleep(RETRY_S)

    def _load_once(self) -> int:
        began = steady_s()
        parts = [(HOSTS_TABLE, ""), (PROGRESS_TABLE, OWNER_PART)]
        # Read before the parts are listed, so that the feed includes any part created
        # after the listing.
        version = self._term.store.read_part(HOSTS_TABLE, "").version
        for table in (JOB_TABLE, CANCEL_TABLE):
            parts += [(table, part) for part in self._term.store.parts(table)]
        reads = {key: gevent.spawn(self._read_part, *key) for key in parts}
        pages = {key: read.get() for key, read in reads.items()}
        for page in pages.values():
            if isinstance(page, StoreRefused):
                raise page
        roster = self._term.store.read_one(ROSTER_KEY)
        witnesses = self._term.store.read_one(WITNESSES_KEY)
        self._apply_loaded(pages, roster)
        known = self._term.roster_known
        self._term.witnesses.load(witnesses, self._roster_hosts if known else None)
        log(
            "term_loaded",
            epoch=self._term.epoch,
            jobs=len(self._term.book.jobs),
            open=len(self._term.book.unfinished),
            hosts=len(self._term.sessions),
            took_s=round(steady_s() - began, 3),
        )
        return version

    def _read_part(self, table: str, part: str) -> RowsPage | StoreRefused:
        try:
            return self._term.store.read_part(table, part)
        except StoreRefused as error:
            return error

    def _apply_loaded(
        self, pages: dict[tuple[str, str], RowsPage], roster: StoredRow | None
    ) -> None:
        # Pages are dropped once they are decoded, as they are the most of the memory.
        progress = self._decode_all_progress(pages.pop((PROGRESS_TABLE, OWNER_PART)))
        jobs = [
            job
            for key in [key for key in pages if key[0] == JOB_TABLE]
            for row in _in_turns(pages.pop(key).rows)
            if (job := self._decode_job(row)) is not None
        ]
        # Jobs count against their teams' shares in the order of submission.
        jobs.sort(key=lambda job: job.accepted_ms)
        for job in _in_turns(jobs):
            self._add_loaded_job(job, progress.get(job.job))
        for (table, _), page in pages.items():
            if table == CANCEL_TABLE:
                self._apply_each(page.rows, self._apply_cancel_row)
        if roster is not None:
            self._open_roster(roster)
        self._apply_each(pages[(HOSTS_TABLE, "")].rows, self._apply_host_row)

    def _decode_all_progress(self, page: RowsPage) -> dict[str, JobProgress]:
        """Return the progress of each job; withhold those whose row is unreadable."""
        progress: dict[str, JobProgress] = {}
        for row in _in_turns(page.rows):
            try:
                progress[row.key.key] = decode_progress(row.value)
            except ValueError as error:
                self._log_unreadable("progress_row_unreadable", row, error)
                self._term.book.withheld.add(row.key.key)
        return progress

    def _add_loaded_job(self, job: AcceptedJob, progress: JobProgress | None) -> None:
        try:
            self._term.add_job(job, progress, True)
        except ValueError as error:
            log("job_not_loaded", job=job.job, reason=str(error)[:200])
            self._term.book.withheld.add(job.job)

    def _open_roster(self, roster: StoredRow) -> None:
        """Open sessions with the hosts that earlier owners may have used."""
        try:
            addresses = decode(dict[str, str], roster.value)
        except ValueError as error:
            self._log_unreadable("roster_unreadable", roster, error)
            self._term.roster_known = False
            return
        self._roster_hosts = tuple(addresses)
        for host, address in addresses.items():
            try:
                parse_address(address)
            except ValueError as error:
                log("roster_entry_unreadable", host=host, reason=str(error)[:200])
                continue
            self._open_unlisted(host, address)

    def _open_unlisted(self, host: str, address: str) -> None:
        info = WorkerHost(host, "", address, "", False, NO_RESOURCES, ())
        session = self._term.open_session(info)
        session.listed, session.unlisted_at = False, float("-inf")

    def follow(self, version: int) -> None:
        """Spawn a task that follows the changes of each table."""
        for table, apply_row in (
            (JOB_TABLE, self._apply_job_row),
            (CANCEL_TABLE, self._apply_cancel_row),
            (HOSTS_TABLE, self._apply_host_row),
        ):
            self._term.tasks.spawn_restarting(
                f"feed {table}", self._follow, table, version, apply_row
            )

    def _follow(
        self, table: str, after: int, apply_row: Callable[[StoredRow], None]
    ) -> None:
        while True:
            try:
                page = self._term.store.changes(table, after, FEED_WAIT_S)
            except HistoryLost:
                log("history_lost", table=table, after=after)
                after = self._reread(table, apply_row)
            except StoreRefused:
                gevent.sleep(RETRY_S)
            else:
                self._apply_each(page.rows, apply_row)
                after = max(after, page.version)
                gevent.sleep(FEED_PAUSE_S)

    def _reread(self, table: str, apply_row: Callable[[StoredRow], None]) -> int:
        while True:
            try:
                # As at the start of a term, before the parts are listed.
                version = self._term.store.read_part(HOSTS_TABLE, "").version
                parts = [""] if table == HOSTS_TABLE else self._term.store.parts(table)
                pages = [self._term.store.read_part(table, part) for part in parts]
            except StoreRefused:
                gevent.sleep(RETRY_S)
                continue
            for page in pages:
                self._apply_each(page.rows, apply_row)
            if table == HOSTS_TABLE:
                self._mark_unlisted({row.key.key for row in pages[0].rows})
            return version

    def _apply_each(
        self, rows: Iterable[StoredRow], apply_row: Callable[[StoredRow], None]
    ) -> None:
        """Apply rows one by one, so that one that fails costs only itself."""
        for row in rows:
            try:
                apply_row(row)
            except Exception as error:  # noqa: BLE001 - logged; the other rows hold
                self._log_unreadable("row_failed", row, error)

    def _apply_job_row(self, row: StoredRow) -> None:
        if row.deleted or row.key.key in self._term.book.jobs:
            return
        job = self._decode_job(row)
        if job is not None:
            self._term.add_job(job, None, False)

    def _apply_cancel_row(self, row: StoredRow) -> None:
        if not row.deleted:
            self._term.cancel(row.key.key)

    def _apply_host_row(self, row: StoredRow) -> None:
        host = row.key.key
        session = self._term.sessions.get(host)
        if row.deleted:
            self._mark_unlisted(set(self._term.sessions) - {host})
            return
        try:
            info = decode_host(host, row.value)
        except ValueError as error:
            self._log_unreadable("host_row_unreadable", row, error)
            # The entry names no host any more, so no tasks are started there.
            self._mark_unlisted(set(self._term.sessions) - {host})
            return
        if session is not None and session.info.address != info.address:
            self._term.host_moved(session)
            session = None
        if session is None:
            session = self._term.open_session(info)
            log("host_listed", host=host, draining=info.draining, labels=info.labels)
            return
        if not session.listed or session.info != info:
            self._term.wake()
        was_draining = session.draining
        session.listed = True
        session.info = info
        if session.draining and not was_draining:
            session.leaves_at = None
            self._term.host_draining(session)

    def _mark_unlisted(self, listed: set[str]) -> None:
        now = steady_s()
        for host, session in self._term.sessions.items():
            if host not in listed and session.listed:
                session.listed, session.unlisted_at = False, now
                log("host_unlisted", host=host, running=len(session.assigned_tasks))

    def _decode_job(self, row: StoredRow) -> AcceptedJob | None:
        try:
            return decode_stored_job(row.key.key, row.value)
        except ValueError as error:
            self._log_unreadable("job_row_unreadable", row, error)
            return None

    def _log_unreadable(self, event: str, row: StoredRow, error: Exception) -> None:
        """Log a row's error once for each version of the row."""
        if self._logged_versions.get(row.key) == row.version:
            return
        self._logged_versions[row.key] = row.version
        log(
            event,
            table=row.key.table,
            key=row.key.key[:MAX_LOGGED_KEY_CHARS],
            version=row.version,
            reason=str(error)[:200] or repr(error),
        )


def _in_turns(items: Iterable[T]) -> Iterator[T]:
    """Yield the items, with a turn for other tasks after every few.

    A daemon that answers no pings while it loads would be taken for lost.
    """
    for number, item in enumerate(items, start=1):
        yield item
        if number % ROWS_PER_TURN == 0:
            gevent.sleep(0)
