"""Client of the platform's row store."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import orjson
from pydantic import TypeAdapter, ValidationError

from primrosehub.core.rows import (
    HistoryLost,
    RowKey,
    RowsOutcome,
    RowsPage,
    RowsTransaction,
    StoredRow,
    StoreOutcomeUnknown,
    StoreRefused,
    TransactionApplied,
    TransactionConflicted,
)
from primrosehub.platform import wire

MAX_PAGE_ROWS = 500  # the store's own limit for one read


@dataclass(frozen=True, slots=True)
class StoreCall:
    """Hold one encoded call; a call that only reads may be resent at any time.

    ``waits`` marks a call that the store answers only after a change.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float
    waits: bool = False


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Hold the store's response to a call."""

    status: int
    body: bytes


# Sends a call to the store; raises StoreRefused or StoreOutcomeUnknown.
StoreTransport = Callable[[StoreCall], StoreReply]


class _InvalidResponse(StoreRefused):
    """Signal a response that can not be decoded."""


class _Row(wire.WireModel):
    table_name: str
    part: str = ""
    key: str
    value: str = ""  # in Base64
    row_version: int
    deleted: bool = False

    def to_stored_row(self) -> StoredRow:
        key = RowKey(self.table_name, self.part, self.key)
        try:
            value = b64decode(self.value)
        except ValueError:
            value = b""  # which no decoder accepts, so that only this row is lost
        return StoredRow(key, value, self.row_version, self.deleted)


class _Rows(wire.WireModel):
    rows: list[_Row] = []
    row_version: int = 0
    has_more: bool = False


class _Parts(wire.WireModel):
    parts: list[str] = []
    has_more: bool = False


_Page = TypeVar("_Page", _Rows, _Parts)
_ROWS = TypeAdapter(_Rows)
_PARTS = TypeAdapter(_Parts)


class RowStore:
    """Read rows and commit transactions through a transport."""

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport

    def commit(self, transaction: RowsTransaction, timeout_s: float) -> RowsOutcome:
        """Apply a transaction; raise StoreRefused or StoreOutcomeUnknown."""
        try:
            return self._commit(transaction, timeout_s)
        except _InvalidResponse as error:
            raise StoreOutcomeUnknown(str(error)) from None

    def _commit(self, transaction: RowsTransaction, timeout_s: float) -> RowsOutcome:
        call = StoreCall(
            "POST", wire.ROWS_TX_PATH, _encode_transaction(transaction), timeout_s
        )
        reply = self._transport(call)
        match reply.status:
            case 200:
                return TransactionApplied(_decode(_ROWS, reply).row_version)
            case 412:
                rows = _decode(_ROWS, reply).rows
                return TransactionConflicted(tuple(row.to_stored_row() for row in rows))
        raise StoreRefused(f"unexpected status {reply.status}: {reply.body[:200]!r}")

    def read(
        self, table: str, part: str, timeout_s: float, *, start: str = "", end: str = ""
    ) -> RowsPage:
        """Return one page of a part's rows in key order; raise StoreRefused."""
        query = {"table-name": table, "part": part, "result-limit": MAX_PAGE_ROWS}
        if start:
            query["from"] = start
        if end:
            query["target"] = end  # the first key beyond the range
        return self._read_page(wire.ROWS_GET_PATH, query, timeout_s)

    def read_one(self, key: RowKey, timeout_s: float) -> StoredRow | None:
        """Return a row, or None if there is none; raise StoreRefused."""
        page = self.read(
            key.table, key.part, timeout_s, start=key.key, end=key.key + "\0"
        )
        return page.rows[0] if page.rows else None

    def read_part(self, table: str, part: str, timeout_s: float) -> RowsPage:
        """Return all rows of a part, page by page, and the first page's version."""
        page = self.read(table, part, timeout_s)
        rows, version = list(page.rows), page.version
        while page.has_more:
            after = rows[-1].key.key + "\0"
            page = self.read(table, part, timeout_s, start=after)
            rows.extend(page.rows)
        return RowsPage(tuple(rows), version)

    def parts(self, table: str, timeout_s: float) -> list[str]:
        """Return the parts of a table; raise StoreRefused."""
        found: list[str] = []
        more = True
        while more:
            query = {"table-name": table}
            if found:
                query["after"] = found[-1]
            target = f"{wire.ROWS_PARTS_PATH}?{urlencode(query)}"
            reply = self._send_read(StoreCall("GET", target, b"", timeout_s))
            page = _decode(_PARTS, reply)
            found.extend(page.parts)
            more = page.has_more and bool(page.parts)
        return found

    def changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> RowsPage:
        """Return changes after a version; raise HistoryLost or StoreRefused."""
        query = {"table-name": table, "after": after, "wait-ms": int(wait_s * 1000)}
        return self._read_page(wire.ROWS_FEED_PATH, query, timeout_s, waits=True)

    def _read_page(
        self,
        path: str,
        query: dict[str, object],
        timeout_s: float,
        *,
        waits: bool = False,
    ) -> RowsPage:
        call = StoreCall("GET", f"{path}?{urlencode(query)}", b"", timeout_s, waits)
        rows = _decode(_ROWS, self._send_read(call))
        decoded = tuple(row.to_stored_row() for row in rows.rows)
        return RowsPage(decoded, rows.row_version, rows.has_more)

    def _send_read(self, call: StoreCall) -> StoreReply:
        try:
            reply = self._transport(call)
        except StoreOutcomeUnknown as error:
            raise StoreRefused(str(error)) from None
        if reply.status == 410:
            raise HistoryLost
        if reply.status != 200:
            raise StoreRefused(
                f"unexpected status {reply.status}: {reply.body[:200]!r}"
            )
        return reply


def _decode(adapter: TypeAdapter[_Page], reply: StoreReply) -> _Page:
    try:
        return adapter.validate_json(reply.body)
    except ValidationError as error:
        raise _InvalidResponse(f"invalid response: {error}") from None


def _encode_transaction(transaction: RowsTransaction) -> bytes:
    return orjson.dumps(
        {
            "expected-revision": [
                # The version that a row must have, not a revision of the store.
                _encode_key(expect.key) | {"row-version": expect.version}
                for expect in transaction.expects
            ],
            "write": [
                _encode_key(write.key) | {"value": b64encode(write.value).decode()}
                for write in transaction.writes
            ],
            "remove": [_encode_key(key) for key in transaction.removes],
        }
    )


def _encode_key(key: RowKey) -> dict[str, object]:
    return {"table-name": key.table, "part": key.part, "key": key.key}
