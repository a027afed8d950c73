"""Insert concurrently submitted rows in one transaction, up to two in parallel."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult, Event

from primrosehub.core.rows import (
    ABSENT,
    ExpectRow,
    PutRow,
    RowKey,
    RowsTransaction,
    StoreOutcomeUnknown,
    StoreRefused,
    TransactionApplied,
    TransactionConflicted,
)
from primrosehub.kernel.clock import steady_s
from primrosehub.services.names.cluster import Store

MAX_ROWS = 45  # two entries each (expect and write); the store takes up to 100
MAX_BYTES = 400_000  # of values; in base64 below the store's limit of 1 MB a call
RETRY_INTERVAL_S = 0.1
PARALLEL_TRANSACTIONS = 2


@dataclass(frozen=True, slots=True)
class Inserted:
    """Report that a row with this key is stored.

    ``existing`` is the value of a row that existed before, possibly from an earlier try
    of this insert; None if this insert stored the row.
    """

    existing: bytes | None


@dataclass(frozen=True, slots=True)
class NotInserted:
    """Report that the row was not stored in time; ``unknown`` if it still may be."""

    unknown: bool
    reason: str


@dataclass(slots=True, eq=False)
class _PendingInsert:
    key: RowKey
    value: bytes
    refuse_at: float
    give_up_at: float
    unknown: bool = False
    sending: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)


class InsertBatch:
    """Collect inserts from many callers and send them in batches.

    ``PARALLEL_TRANSACTIONS`` tasks may call ``run``, so that when the store is slow, an
    insert waits for only half of the duration of the call before it.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._pending: list[_PendingInsert] = []
        self._insert_added = Event()

    def insert(
        self, key: RowKey, value: bytes, refuse_after_s: float, give_up_after_s: float
    ) -> Inserted | NotInserted:
        """Insert a row and return the result.

        The insert is retried for ``refuse_after_s`` seconds while it is certain that
        the row is not stored, and for ``give_up_after_s`` once that is unknown.
        """
        if self._store.unreachable_s:
            return NotInserted(False, "no daemon reaches the store")
        now = steady_s()
        item = _PendingInsert(key, value, now + refuse_after_s, now + give_up_after_s)
        self._pending.append(item)
        self._insert_added.set()
        with gevent.Timeout(give_up_after_s, False):
            return item.result.get()
        if item in self._pending:
            self._pending.remove(item)
        return NotInserted(item.unknown, "the store did not answer in time")

    def run(self) -> None:
        """Send batches until the task is killed."""
        while True:
            batch = self._next_batch()
            if batch:
                self._send(batch)
            else:
                self._insert_added.wait()
                self._insert_added.clear()

    def _next_batch(self) -> list[_PendingInsert]:
        batch: list[_PendingInsert] = []
        size = 0
        for item in [one for one in self._pending if not one.sending]:
            same_key = any(other.key == item.key for other in batch)
            if len(batch) >= MAX_ROWS or size > MAX_BYTES or same_key:
                break
            batch.append(item)
            size += len(item.value)
        return batch

    def _send(self, batch: list[_PendingInsert]) -> None:
        transaction = RowsTransaction(
            tuple(ExpectRow(item.key, ABSENT) for item in batch),
            tuple(PutRow(item.key, item.value) for item in batch),
        )
        unknown_before = [item.unknown for item in batch]
        for item in batch:
            item.sending = item.unknown = True  # until the store has answered
        try:
            outcome = self._store.commit(transaction)
        except StoreOutcomeUnknown as error:
            self._finish_expired(batch, str(error))
        except StoreRefused as error:
            for item, unknown in zip(batch, unknown_before, strict=True):
                item.unknown = unknown
            self._finish_expired(batch, str(error))
        else:
            self._handle_outcome(batch, outcome)
        finally:
            for item in batch:
                item.sending = False

    def _handle_outcome(
        self,
        batch: list[_PendingInsert],
        outcome: TransactionApplied | TransactionConflicted,
    ) -> None:
        match outcome:
            case TransactionApplied():
                for item in batch:
                    self._finish(item, Inserted(None))
            case TransactionConflicted(rows):
                values = {row.key: row.value for row in rows}
                for item in batch:
                    if item.key in values:
                        self._finish(item, Inserted(values[item.key]))

    def _finish_expired(self, batch: list[_PendingInsert], reason: str) -> None:
        now, unreachable = steady_s(), self._store.unreachable_s > 0
        for item in list(self._pending) if unreachable else batch:
            limit = item.give_up_at if item.unknown else item.refuse_at
            if (unreachable and not item.unknown) or now + RETRY_INTERVAL_S > limit:
                self._finish(item, NotInserted(item.unknown, reason))
        gevent.sleep(RETRY_INTERVAL_S)

    def _finish(self, item: _PendingInsert, result: Inserted | NotInserted) -> None:
        if item in self._pending:
            self._pending.remove(item)
        item.result.set(result)
