"""Stand in for the platform's table service, with faults to inject."""

from __future__ import annotations

import bisect
from typing import Any

import gevent

from primrosehub_standins.journal import Journal
from primrosehub_standins.web import CloseConnection, StartResponse, json_of, reply_json


class TableStandin:
    """Keep rows in memory; each commit is atomic and gets the next version."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._rows: dict[str, tuple[Any, int]] = {}
        self._keys: list[str] = []
        self._version = 0
        self._down = False
        self._slow_s = 0.0
        self._lose_replies = 0
        self._commit_to_lose = -1
        self.counts = {"reads": 0, "rows_read": 0, "commits": 0, "rows_written": 0}

    def app(self, environ: dict[str, Any], start: StartResponse) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/fault":
            return reply_json(start, self._set_fault(json_of(environ)))
        if path == "/counts":
            return reply_json(start, self.counts)
        request = json_of(environ)
        if self._slow_s:
            gevent.sleep(self._slow_s)
        if self._down:
            raise CloseConnection
        if path == "/v1/read":
            return reply_json(start, {"results": self._read(request["queries"])})
        conflicts = self._commit(request["expects"], request["writes"])
        if self._loses_reply():
            self._journal.write("reply_lost", keys=[w[0] for w in request["writes"]])
            raise CloseConnection
        if conflicts:
            return reply_json(start, {"keys": conflicts}, "409 Conflict")
        return reply_json(start, {"version": self._version})

    def _set_fault(self, fault: dict[str, Any]) -> dict[str, Any]:
        self._down = fault.get("down", self._down)
        self._slow_s = fault.get("slow_s", self._slow_s)
        self._lose_replies = fault.get("lose_replies", self._lose_replies)
        if "lose_reply_of_commit" in fault:
            self._commit_to_lose = (
                self.counts["commits"] + fault["lose_reply_of_commit"]
            )
        self._journal.write("fault", **fault)
        return self.counts

    def _loses_reply(self) -> bool:
        if self.counts["commits"] == self._commit_to_lose:
            return True
        if self._lose_replies > 0:
            self._lose_replies -= 1
            return True
        return False

    def _read(self, queries: list[dict[str, Any]]) -> list[list[Any]]:
        self.counts["reads"] += len(queries)
        results = [self._read_one(query) for query in queries]
        self.counts["rows_read"] += sum(len(rows) for rows in results)
        return results

    def _read_one(self, query: dict[str, Any]) -> list[Any]:
        if "keys" in query:
            return [[k, *self._rows[k]] for k in query["keys"] if k in self._rows]
        prefix = query["prefix"]
        first = max(prefix, query["after"])
        index = bisect.bisect_left(self._keys, first)
        rows: list[Any] = []
        for key in self._keys[index:]:
            if not key.startswith(prefix) or len(rows) >= query["limit"]:
                break
            if key != query["after"]:
                rows.append([key, *self._rows[key]])
        return rows

    def _commit(self, expects: list[Any], writes: list[Any]) -> list[str]:
        self.counts["commits"] += 1
        conflicts = [
            key
            for key, version in expects
            if self._rows.get(key, (None, 0))[1] != version
        ]
        if conflicts:
            return conflicts
        self._version += 1
        self.counts["rows_written"] += len(writes)
        for key, value in writes:
            self._write(key, value)
        return []

    def _write(self, key: str, value: Any) -> None:
        if value is None:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, key)]
            return
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = (value, self._version)
