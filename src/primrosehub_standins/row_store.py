"""Stand in for the platform's row store, with faults to inject at each endpoint.

An endpoint is one port; each daemon gets its own, so that a fault can affect it alone.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any
from urllib.parse import parse_qs

import gevent
import orjson
from gevent.event import Event

from primrosehub.kernel.clock import steady_s
from primrosehub_standins.web import (
    CloseConnection,
    Hang,
    StartResponse,
    body_of,
    json_of,
    reply_json,
)

Key = tuple[str, str, str]


class EndpointState(Enum):
    """Say how an endpoint treats calls: serve, answer 503, hang or disconnect."""

    OPEN = auto()
    BUSY = auto()
    SILENT = auto()
    RESET = auto()


@dataclass(slots=True)
class StoreEndpoint:
    """Hold the faults of one endpoint and the number of its calls.

    ``lose_answers`` is the number of writes to apply without an answer. After a delay
    of ``lost_write_delay_s``, such a write is applied if its condition still holds.
    Each answer is delayed by ``answer_delay_s``.
    """

    state: EndpointState = EndpointState.OPEN
    lose_answers: int = 0
    lost_write_delay_s: float = 0.0
    answer_delay_s: float = 0.0
    calls: int = 0


@dataclass(slots=True)
class _StoredRow:
    value: bytes
    version: int


@dataclass(slots=True)
class _Change:
    key: Key
    version: int
    value: bytes | None


@dataclass(slots=True)
class RowStoreStandin:
    """Keep rows, apply transactions, and serve changes to waiting readers."""

    rows: dict[Key, _StoredRow] = field(default_factory=dict)
    version: int = 0
    history: list[_Change] = field(default_factory=list)
    history_start_version: int = 0
    _changed: Event = field(default_factory=Event)

    def app(
        self, endpoint: StoreEndpoint
    ) -> Callable[[dict[str, Any], StartResponse], list[bytes]]:
        """Return the WSGI application of an endpoint."""

        def answer(environ: dict[str, Any], start: StartResponse) -> list[bytes]:
            endpoint.calls += 1
            match endpoint.state:
                case EndpointState.BUSY:
                    return reply_json(start, {}, "503 Busy")
                case EndpointState.SILENT:
                    raise Hang
                case EndpointState.RESET:
                    raise CloseConnection
            gevent.sleep(endpoint.answer_delay_s)
            return self._route(endpoint, environ, start)

        return answer

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a worker host does; return its version."""
        self._apply({(table, "", key): orjson.dumps(value)}, ())
        return self.version

    def put_raw(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write any bytes to a row, as another writer may."""
        self._apply({(table, part, key): value}, ())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply({}, ((table, "", key),))

    def forget_history(self) -> None:
        """Drop all changes, so that each follower has to read all rows again."""
        self.history.clear()
        self.history_start_version = self.version
        self._wake_waiters()

    def value(self, table: str, part: str, key: str) -> Any:
        """Return a row's decoded value, or None."""
        stored = self.rows.get((table, part, key))
        return orjson.loads(stored.value) if stored else None

    def _route(
        self, endpoint: StoreEndpoint, environ: dict[str, Any], start: StartResponse
    ) -> list[bytes]:
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        match environ["PATH_INFO"]:
            case "/primrosehub/rows-tx":
                return self._transact(endpoint, json_of(environ), start)
            case "/primrosehub/rows-get":
                return self._get(query, start)
            case "/primrosehub/rows-parts":
                table = query["table-name"]
                parts = sorted({key[1] for key in self.rows if key[0] == table})
                return reply_json(start, {"parts": parts, "has-more": False})
            case "/primrosehub/rows-feed":
                return self._feed(query, start)
        body_of(environ)
        return reply_json(start, {}, "404 Not Found")

    def _transact(
        self, endpoint: StoreEndpoint, body: Any, start: StartResponse
    ) -> list[bytes]:
        if endpoint.lose_answers > 0:
            endpoint.lose_answers -= 1
            if endpoint.lost_write_delay_s:
                gevent.spawn_later(endpoint.lost_write_delay_s, self._commit, body)
            else:
                self._commit(body)
            raise Hang if endpoint.lost_write_delay_s else CloseConnection
        conflicts = self._commit(body)
        answer = self._with_version({})
        if conflicts is None:
            return reply_json(start, answer)
        answer["rows"] = [self._row(key) for key in conflicts if key in self.rows]
        return reply_json(start, answer, "412 Conflict")

    def _commit(self, body: Any) -> list[Key] | None:
        expects = [(_key(row), row["row-version"]) for row in body["expected-revision"]]
        parts = {key[1] for key, _ in expects} | {row["part"] for row in body["write"]}
        assert len(parts) <= 1, f"a transaction over several parts: {parts}"
        for key, version in expects:
            stored = self.rows.get(key)
            if (stored.version if stored else 0) != version:
                return [key for key, _ in expects]
        writes = {_key(row): b64decode(row["value"]) for row in body["write"]}
        self._apply(writes, tuple(_key(row) for row in body["remove"]))
        return None

    def _apply(self, writes: dict[Key, bytes], removes: tuple[Key, ...]) -> None:
        self.version += 1
        for key, value in writes.items():
            self.rows[key] = _StoredRow(value, self.version)
            self.history.append(_Change(key, self.version, value))
        for key in removes:
            if self.rows.pop(key, None):
                self.history.append(_Change(key, self.version, None))
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _get(self, query: dict[str, str], start: StartResponse) -> list[bytes]:
        table, part = query["table-name"], query.get("part", "")
        first_key, end_key = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= first_key
            and (not end_key or key[2] < end_key)
        )
        limit = int(query.get("result-limit", 500))
        answer = self._with_version({"rows": [self._row(key) for key in keys[:limit]]})
        return reply_json(start, answer | {"has-more": len(keys) > limit})

    def _feed(self, query: dict[str, str], start: StartResponse) -> list[bytes]:
        table, after = query["table-name"], int(query["after"])
        deadline = steady_s() + int(query["wait-ms"]) / 1000
        while True:
            if after < self.history_start_version:
                return reply_json(start, {}, "410 Gone")
            changes = [
                change
                for change in self.history
                if change.version > after and change.key[0] == table
            ]
            left_s = deadline - steady_s()
            if changes or left_s <= 0:
                rows = [_change_row(change) for change in changes]
                return reply_json(start, self._with_version({"rows": rows}))
            self._changed.wait(left_s)

    def _row(self, key: Key) -> dict[str, Any]:
        stored = self.rows[key]
        return _change_row(_Change(key, stored.version, stored.value))

    def _with_version(self, answer: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(steady_s() * 1000)
        return answer | {"row-version": self.version, "current-time-ms": now_ms}


def _key(row: Any) -> Key:
    return (row["table-name"], row.get("part", ""), row["key"])


def _change_row(change: _Change) -> dict[str, Any]:
    table, part, key = change.key
    row: dict[str, Any] = {"table-name": table, "part": part, "key": key}
    row["row-version"] = change.version
    if change.value is None:
        return row | {"deleted": True}
    return row | {"value": b64encode(change.value).decode()}
