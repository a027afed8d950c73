"""Call the platform's table service over HTTP and JSON."""

from __future__ import annotations

import random
import time
import uuid
from contextlib import ExitStack
from typing import Any

import gevent
import orjson

from primrosehub.border.http_client import HttpEndpoint, NoAnswer, NotSent, Response
from primrosehub.core.logs import log
from primrosehub.core.table import (
    Applied,
    CommitOutcome,
    Conflicted,
    Row,
    TableOutcomeUnknown,
    TableUnavailable,
    Transaction,
    Write,
)
from primrosehub.kernel import Kernel
from primrosehub.services.names import METRICS, Metrics
from primrosehub.services.names.v1 import Keys, Prefix

MAX_TRIES = 4
FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 2.0
BREAKER_FAILURES = 4
_HEADERS = (("Content-Type", "application/json"),)
_OK, _CONFLICT = 200, 409


class TableClient:
    """Read and commit with timeouts and retries.

    An outcome that is not certain is reported as unknown. After several failures in a
    row a circuit breaker rejects calls for a while.
    """

    def __init__(self, kernel: Kernel) -> None:
        platform = kernel.settings.platform
        self._kernel = kernel
        self._timeout_s: float = platform.table_timeout_s
        self._endpoint = HttpEndpoint(str(platform.table.ip), platform.table.port)
        self._random = random.Random()
        self._confirmed_at = float("-inf")
        self._failures = 0
        self._blocked_until = 0.0
        self._metrics: Metrics | None = None

    @property
    def age_s(self) -> float:
        """Return the time since the last answered read was sent."""
        return time.monotonic() - self._confirmed_at

    def start(self, stack: ExitStack) -> None:
        """Look up the metrics and register the closing of connections."""
        self._metrics = self._kernel.find(METRICS)
        self._endpoint.on_bytes_transferred = self._metrics.byte_counter("table")
        stack.callback(self._endpoint.close)

    def read(self, *queries: Prefix | Keys) -> list[list[Row]]:
        """Return the rows of each query; raise TableUnavailable."""
        sent_at = time.monotonic()
        body = orjson.dumps({"queries": [_query(query) for query in queries]})
        try:
            response = self._exchange("/v1/read", body)
        except (NotSent, NoAnswer) as error:
            raise TableUnavailable(str(error)) from None
        self._confirmed_at = max(self._confirmed_at, sent_at)
        results = orjson.loads(response.body)["results"]
        return [[_row(item) for item in rows] for rows in results]

    def read_all(self, prefix: str) -> list[Row]:
        """Return all rows under a prefix, page by page; raise TableUnavailable."""
        rows: list[Row] = []
        while True:
            query = Prefix(prefix, rows[-1].key if rows else "")
            page = self.read(query)[0]
            rows.extend(page)
            if len(page) < query.limit:
                return rows

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; raise TableUnavailable or TableOutcomeUnknown.

        All tries write the same attempt id into their rows. After a try of unknown
        outcome, a conflict may come from that try itself; the id is then read back to
        find out.
        """
        attempt = uuid.uuid4().hex[:16]
        body = _commit_body(transaction, attempt)
        unknown = False
        if time.monotonic() < self._blocked_until:
            raise TableUnavailable(
                "calls to the table are paused after repeated failures"
            )
        for tries in range(MAX_TRIES):
            if tries:
                self._pause(tries)
            try:
                response = self._exchange("/v1/commit", body)
            except NotSent:
                continue
            except NoAnswer:
                unknown = True
                continue
            answer = orjson.loads(response.body)
            if response.status == _OK:
                return Applied(answer["version"])
            if unknown:
                return self._resolve_conflict(
                    transaction, attempt, tuple(answer["keys"])
                )
            return Conflicted(tuple(answer["keys"]))
        if unknown:
            raise TableOutcomeUnknown("the table did not answer a write")
        raise TableUnavailable("the table cannot be reached")

    def _resolve_conflict(
        self, transaction: Transaction, attempt: str, conflicts: tuple[str, ...]
    ) -> CommitOutcome:
        keys = tuple(w.key for w in transaction.writes if w.value is not None)
        body = orjson.dumps({"queries": [{"keys": keys}]})
        try:
            response = self._exchange("/v1/read", body)
        except (NotSent, NoAnswer) as error:
            raise TableOutcomeUnknown(str(error)) from None
        for item in orjson.loads(response.body)["results"][0]:
            if item[1].get("attempt") == attempt:
                log("table_write_settled", attempt=attempt)
                return Applied(item[2])
        return Conflicted(conflicts)

    def _exchange(self, path: str, body: bytes) -> Response:
        now = time.monotonic()
        if now < self._blocked_until:
            raise NotSent("calls to the table are paused after repeated failures")
        try:
            response = self._endpoint.exchange(
                "POST", path, _HEADERS, body, timeout_s=self._timeout_s
            )
            if response.status not in (_OK, _CONFLICT):
                raise NoAnswer(f"the table answered with status {response.status}")
        except (NotSent, NoAnswer):
            self._note_failure()
            raise
        finally:
            if self._metrics:
                self._metrics.count("table_requests", path=path)
                seconds = time.monotonic() - now
                self._metrics.observe("table_seconds", seconds, path=path)
        self._failures = 0
        return response

    def _note_failure(self) -> None:
        self._failures += 1
        if self._failures >= BREAKER_FAILURES:
            pause_s = _backoff_s(self._failures - BREAKER_FAILURES, self._random)
            self._blocked_until = time.monotonic() + pause_s

    def _pause(self, tries: int) -> None:
        left_s = self._blocked_until - time.monotonic()
        gevent.sleep(max(left_s, _backoff_s(tries, self._random)))


def _backoff_s(tries: int, source: random.Random) -> float:
    ceiling = min(MAX_RETRY_PAUSE_S, FIRST_RETRY_PAUSE_S * 2 ** min(tries, 10))
    return ceiling * source.uniform(0.5, 1.0)


def _query(query: Prefix | Keys) -> dict[str, Any]:
    match query:
        case Prefix(prefix, after, limit):
            return {"prefix": prefix, "after": after, "limit": limit}
        case Keys(keys):
            return {"keys": keys}


def _row(item: list[Any]) -> Row:
    key, value, version = item
    return Row(key, value["data"], version)


def _commit_body(transaction: Transaction, attempt: str) -> bytes:
    def wrap(write: Write) -> list[Any]:
        if write.value is None:
            return [write.key, None]
        return [write.key, {"attempt": attempt, "data": write.value}]

    return orjson.dumps(
        {
            "expects": [[e.key, e.version] for e in transaction.expects],
            "writes": [wrap(write) for write in transaction.writes],
        }
    )
